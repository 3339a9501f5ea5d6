//! Encodes and decodes messages. A number is written in base 128, its least significant digit first and without superfluous digits.
//! Registers are in the order of the member list; each states how many members of the list were skipped before it.

use crate::MemberIndex;
use crate::message::{MAX_BUCKETS, MAX_REGISTERS, MAX_REQUESTED_BUCKETS, Message, MessageError};
use crate::register::{MemberRegister, Register};

/// The maximum length of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1682;

const HEARTBEAT: u8 = 1;
const REGISTERS: u8 = 2;
const BUCKET_DIGESTS: u8 = 3;
const BUCKET_REQUEST: u8 = 4;
const BUCKET: u8 = 5;

const SEVEN_BITS: u64 = 0x7f;
const CONTINUATION_BIT: u8 = 0x80;
const MAX_NUMBER_BITS: u32 = 64;

impl Message {
    /// The bytes of this message.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        match self {
            Self::Heartbeat { digest } => {
                bytes.push(HEARTBEAT);
                bytes.extend(digest.to_le_bytes());
            }
            Self::Registers(registers) => {
                bytes.push(REGISTERS);
                write_registers(&mut bytes, registers);
            }
            Self::BucketDigests(digests) => {
                bytes.push(BUCKET_DIGESTS);
                write_number(&mut bytes, digests.len() as u64);
                digests.iter().for_each(|digest| bytes.extend(digest.to_le_bytes()));
            }
            Self::BucketRequest(buckets) => {
                bytes.push(BUCKET_REQUEST);
                write_number(&mut bytes, buckets.len() as u64);
                buckets.iter().for_each(|bucket| write_number(&mut bytes, u64::from(*bucket)));
            }
            Self::Bucket { bucket, registers } => {
                bytes.push(BUCKET);
                write_number(&mut bytes, u64::from(*bucket));
                write_registers(&mut bytes, registers);
            }
        }
        bytes
    }

    /// The message with these bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { bytes: bytes.len() });
        }
        let mut reader = Reader { remaining: bytes };
        let message = match reader.byte()? {
            HEARTBEAT => Self::Heartbeat { digest: u64::from_le_bytes(reader.array()?) },
            REGISTERS => Self::Registers(reader.registers()?),
            BUCKET_DIGESTS => Self::BucketDigests(reader.digests()?),
            BUCKET_REQUEST => Self::BucketRequest(reader.buckets()?),
            BUCKET => Self::Bucket { bucket: reader.number_of()?, registers: reader.registers()? },
            tag => return Err(MessageError::UnknownTag(tag)),
        };
        if !reader.remaining.is_empty() {
            return Err(MessageError::TrailingBytes);
        }
        Ok(message)
    }
}

fn write_number(bytes: &mut Vec<u8>, number: u64) {
    let mut remaining = number;
    while remaining > SEVEN_BITS {
        bytes.push((remaining & SEVEN_BITS) as u8 | CONTINUATION_BIT);
        remaining >>= 7;
    }
    bytes.push(remaining as u8);
}

fn write_registers(bytes: &mut Vec<u8>, registers: &[MemberRegister]) {
    write_number(bytes, registers.len() as u64);
    let mut min_member = 0;
    for entry in registers {
        write_number(bytes, u64::from(entry.member).wrapping_sub(min_member));
        write_number(bytes, entry.register.incarnation);
        write_number(bytes, u64::from(entry.register.sequence));
        let flags = u64::from(entry.register.unheard) << 1 | u64::from(entry.register.caught_up);
        write_number(bytes, flags);
        min_member = u64::from(entry.member) + 1;
    }
}

struct Reader<'a> {
    remaining: &'a [u8],
}

impl Reader<'_> {
    fn byte(&mut self) -> Result<u8, MessageError> {
        let [byte] = self.array()?;
        Ok(byte)
    }

    fn array<const LENGTH: usize>(&mut self) -> Result<[u8; LENGTH], MessageError> {
        let (array, remaining) = self.remaining.split_first_chunk().ok_or(MessageError::Truncated)?;
        self.remaining = remaining;
        Ok(*array)
    }

    fn number(&mut self) -> Result<u64, MessageError> {
        let mut number = 0;
        let mut shift = 0;
        loop {
            let byte = self.byte()?;
            let part = u64::from(byte) & SEVEN_BITS;
            let overflows = shift >= MAX_NUMBER_BITS || part << shift >> shift != part;
            let is_longer_than_needed = shift > 0 && byte == 0;
            if overflows || is_longer_than_needed {
                return Err(MessageError::BadNumber);
            }
            number |= part << shift;
            if byte & CONTINUATION_BIT == 0 {
                return Ok(number);
            }
            shift += 7;
        }
    }

    fn number_of<T: TryFrom<u64>>(&mut self) -> Result<T, MessageError> {
        T::try_from(self.number()?).map_err(|_| MessageError::BadNumber)
    }

    fn count(&mut self, max: usize) -> Result<usize, MessageError> {
        let count = self.number()?;
        if count > max as u64 {
            return Err(MessageError::TooManyEntries(count));
        }
        Ok(count as usize)
    }

    fn digests(&mut self) -> Result<Vec<u32>, MessageError> {
        let count = self.count(MAX_BUCKETS)?;
        (0..count).map(|_| self.array().map(u32::from_le_bytes)).collect()
    }

    fn buckets(&mut self) -> Result<Vec<u16>, MessageError> {
        let count = self.count(MAX_REQUESTED_BUCKETS)?;
        (0..count).map(|_| self.number_of()).collect()
    }

    fn registers(&mut self) -> Result<Vec<MemberRegister>, MessageError> {
        let count = self.count(MAX_REGISTERS)?;
        let mut min_member = 0;
        let mut registers = Vec::with_capacity(count);
        for _ in 0..count {
            let entry = self.register(min_member)?;
            min_member = u64::from(entry.member) + 1;
            registers.push(entry);
        }
        Ok(registers)
    }

    fn register(&mut self, min_member: u64) -> Result<MemberRegister, MessageError> {
        let member = min_member.checked_add(self.number()?).ok_or(MessageError::BadNumber)?;
        let member = MemberIndex::try_from(member).map_err(|_| MessageError::BadNumber)?;
        let incarnation = self.number()?;
        let sequence = self.number_of()?;
        let flags = self.number()?;
        let unheard = u16::try_from(flags >> 1).map_err(|_| MessageError::BadNumber)?;
        let register = Register { incarnation, sequence, unheard, caught_up: flags & 1 == 1 };
        Ok(MemberRegister { member, register })
    }
}
