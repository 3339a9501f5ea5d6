//! The messages between neighbours, and the reasons to refuse one.

use crate::MemberIndex;
use crate::register::MemberRegister;

/// The maximum number of registers in one message.
pub const MAX_REGISTERS: usize = 80;

/// The maximum number of buckets requested in one message.
pub const MAX_REQUESTED_BUCKETS: usize = 2;

/// The maximum number of bucket digests in one message: those of the largest fleet.
pub const MAX_BUCKETS: usize = crate::overlay::MAX_MEMBERS / crate::register_table::BUCKET_MEMBERS;

/// A message from one neighbour to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender is up.
    Heartbeat {
        /// The digest of all registers that the sender has.
        digest: u64,
    },
    /// Registers that the sender floods: its own, or newly received ones.
    Registers(Vec<MemberRegister>),
    /// The digests of the sender's buckets, all of them in order.
    BucketDigests(Vec<u32>),
    /// The sender requests these buckets.
    BucketRequest(Vec<u16>),
    /// The answer to a request.
    Bucket {
        /// The index of the bucket.
        bucket: u16,
        /// All registers of the bucket that the sender has.
        registers: Vec<MemberRegister>,
    },
}

/// Why the bytes of a message, or a message, are refused. A refused message has changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The message is longer than [`crate::MAX_MESSAGE_BYTES`].
    TooLong {
        /// The length of the message in bytes.
        bytes: usize,
    },
    /// The message ends before its content does.
    Truncated,
    /// Bytes follow the content.
    TrailingBytes,
    /// No message has this tag.
    UnknownTag(u8),
    /// A list is longer than its bound.
    TooManyEntries(u64),
    /// A number does not fit its field or is not in its shortest form.
    BadNumber,
    /// The sender is not a neighbour.
    NotANeighbour(MemberIndex),
    /// A register is of a member beyond the list.
    UnknownMember(MemberIndex),
    /// A register without an incarnation, or with bits for neighbours that the member does not have.
    BadRegister(MemberIndex),
    /// A bucket that the fleet does not have, or a register of another bucket.
    WrongBucket(u16),
    /// The number of bucket digests differs from the number of buckets of the fleet.
    WrongBucketCount(usize),
}

impl std::fmt::Display for MessageError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLong { bytes } => write!(formatter, "a message of {bytes} bytes is too long"),
            Self::Truncated => write!(formatter, "the message is truncated"),
            Self::TrailingBytes => write!(formatter, "bytes follow the message"),
            Self::UnknownTag(tag) => write!(formatter, "no message has the tag {tag}"),
            Self::TooManyEntries(count) => write!(formatter, "{count} entries are too many"),
            Self::BadNumber => {
                write!(formatter, "a number does not fit its field or is not in its shortest form")
            }
            Self::NotANeighbour(member) => write!(formatter, "member {member} is not a neighbour"),
            Self::UnknownMember(member) => write!(formatter, "member {member} is not in the list"),
            Self::BadRegister(member) => write!(formatter, "the register of member {member} is not valid"),
            Self::WrongBucket(bucket) => {
                write!(formatter, "bucket {bucket} does not exist or does not contain the register")
            }
            Self::WrongBucketCount(count) => {
                write!(formatter, "{count} bucket digests do not match the number of buckets of the fleet")
            }
        }
    }
}

impl std::error::Error for MessageError {}
