//! Checks that the members and buckets that a message names exist in the fleet, before any of it is applied.

use crate::message::{Message, MessageError};
use crate::overlay::Overlay;
use crate::register::MemberRegister;
use crate::register_table::{BUCKET_MEMBERS, bucket_of};

/// Whether the message can be applied in a fleet with this overlay.
pub(crate) fn message(overlay: &Overlay, message: &Message) -> Result<(), MessageError> {
    match message {
        Message::Heartbeat { .. } => Ok(()),
        Message::Registers(registers) => {
            registers.iter().try_for_each(|entry| check_register(overlay, entry))
        }
        Message::BucketDigests(digests) if digests.len() == bucket_count(overlay) => Ok(()),
        Message::BucketDigests(digests) => Err(MessageError::WrongBucketCount(digests.len())),
        Message::BucketRequest(requested) => {
            requested.iter().try_for_each(|index| check_bucket(overlay, *index))
        }
        Message::Bucket { bucket: index, registers } => {
            check_bucket(overlay, *index)?;
            registers.iter().try_for_each(|entry| check_register_of_bucket(overlay, entry, *index))
        }
    }
}

fn bucket_count(overlay: &Overlay) -> usize {
    overlay.members().div_ceil(BUCKET_MEMBERS)
}

fn check_bucket(overlay: &Overlay, index: u16) -> Result<(), MessageError> {
    if usize::from(index) < bucket_count(overlay) { Ok(()) } else { Err(MessageError::WrongBucket(index)) }
}

fn check_register_of_bucket(
    overlay: &Overlay, entry: &MemberRegister, index: u16,
) -> Result<(), MessageError> {
    if bucket_of(entry.member) != index {
        return Err(MessageError::WrongBucket(index));
    }
    check_register(overlay, entry)
}

fn check_register(overlay: &Overlay, entry: &MemberRegister) -> Result<(), MessageError> {
    if usize::from(entry.member) >= overlay.members() {
        return Err(MessageError::UnknownMember(entry.member));
    }
    let neighbours = overlay.neighbours(entry.member).len();
    let has_extra_bits = entry.register.unheard >> neighbours != 0;
    if has_extra_bits || !entry.register.is_known() {
        return Err(MessageError::BadRegister(entry.member));
    }
    Ok(())
}
