//! The bytes of messages.

mod support;

use lotussaddle_membership::{
    MAX_BUCKETS, MAX_MESSAGE_BYTES, MAX_REGISTERS, MemberIndex, MemberRegister, Message, MessageError,
    Register,
};
use support::random::TestRandom;

fn registers(random: &mut TestRandom, count: usize) -> Vec<MemberRegister> {
    let mut member: MemberIndex = 0;
    let mut registers = Vec::new();
    for _ in 0..count {
        member += 1 + random.below(100) as MemberIndex;
        let register = Register {
            incarnation: random.next() >> random.below(64),
            sequence: (random.next() >> 32 >> random.below(32)) as u32,
            unheard: (random.next() >> 48) as u16,
            caught_up: random.percent(50),
        };
        registers.push(MemberRegister { member, register });
    }
    registers
}

fn random_message(random: &mut TestRandom) -> Message {
    let count = random.below(MAX_REGISTERS as u64 + 1) as usize;
    match random.below(5) {
        0 => Message::Heartbeat { digest: random.next() },
        1 => Message::Registers(registers(random, count)),
        2 => Message::BucketDigests((0..random.below(129)).map(|_| random.next() as u32).collect()),
        3 => Message::BucketRequest((0..random.below(3)).map(|_| random.next() as u16).collect()),
        _ => Message::Bucket { bucket: random.next() as u16, registers: registers(random, count) },
    }
}

#[test]
fn messages_round_trip_and_truncated_ones_are_refused() {
    let mut random = TestRandom::new(1);
    for _ in 0..500 {
        let message = random_message(&mut random);
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        assert_eq!(Message::decode(&bytes), Ok(message));
        for end in 0..bytes.len() {
            assert_eq!(Message::decode(&bytes[..end]), Err(MessageError::Truncated));
        }
        let mut longer = bytes;
        longer.push(0);
        assert!(Message::decode(&longer).is_err());
    }
}

#[test]
fn random_bytes_are_refused_or_are_a_canonical_message() {
    let mut random = TestRandom::new(2);
    let mut decoded = 0;
    for _ in 0..200_000 {
        let length = random.below(40);
        let mut bytes: Vec<u8> = (0..length).map(|_| (random.next() >> random.below(8)) as u8).collect();
        if let Some(tag) = bytes.first_mut() {
            *tag %= 7;
        }
        if let Ok(message) = Message::decode(&bytes) {
            decoded += 1;
            assert_eq!(message.encode(), bytes);
        }
    }
    assert!(decoded > 100, "{decoded} were messages");
}

#[test]
fn changed_bytes_are_refused_or_are_a_canonical_message() {
    let mut random = TestRandom::new(3);
    for _ in 0..20_000 {
        let mut bytes = random_message(&mut random).encode();
        let place = random.below(bytes.len() as u64) as usize;
        bytes[place] = random.next() as u8;
        if let Ok(message) = Message::decode(&bytes) {
            assert_eq!(message.encode(), bytes);
        }
    }
}

#[test]
fn the_longest_message_is_within_the_bound() {
    let largest = Register { incarnation: u64::MAX, sequence: u32::MAX, unheard: u16::MAX, caught_up: true };
    let first = MemberIndex::MAX - MAX_REGISTERS as MemberIndex;
    let members = first..MemberIndex::MAX;
    let registers = members.map(|member| MemberRegister { member, register: largest }).collect();
    let longest = Message::Bucket { bucket: u16::MAX, registers };
    let bytes = longest.encode();
    assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
    assert_eq!(Message::decode(&bytes), Ok(longest));
    let digests = Message::BucketDigests(vec![u32::MAX; MAX_BUCKETS]);
    assert!(digests.encode().len() <= MAX_MESSAGE_BYTES);
    assert_eq!(Message::decode(&digests.encode()), Ok(digests));
}

#[test]
fn entries_beyond_a_bound_are_refused_with_the_reason() {
    let entry = MemberRegister { member: 1, register: Register { incarnation: 1, ..Register::default() } };
    let many = |count: usize| {
        let entries = (0..count).map(|member| MemberRegister { member: member as MemberIndex, ..entry });
        entries.collect::<Vec<_>>()
    };
    let too_many = Message::Registers(many(MAX_REGISTERS + 1)).encode();
    assert_eq!(Message::decode(&too_many), Err(MessageError::TooManyEntries(81)));
    let too_many = Message::BucketDigests(vec![0; MAX_BUCKETS + 1]).encode();
    assert_eq!(Message::decode(&too_many), Err(MessageError::TooManyEntries(129)));
    let too_many = Message::BucketRequest(vec![0; 3]).encode();
    assert_eq!(Message::decode(&too_many), Err(MessageError::TooManyEntries(3)));
    let too_long = vec![1; MAX_MESSAGE_BYTES + 1];
    assert_eq!(Message::decode(&too_long), Err(MessageError::TooLong { bytes: MAX_MESSAGE_BYTES + 1 }));
    assert_eq!(Message::decode(&[]), Err(MessageError::Truncated));
    assert_eq!(Message::decode(&[0]), Err(MessageError::UnknownTag(0)));
    assert_eq!(Message::decode(&[6]), Err(MessageError::UnknownTag(6)));
    assert_eq!(Message::decode(&[4, 0, 9]), Err(MessageError::TrailingBytes));
}

#[test]
fn numbers_that_overflow_or_are_longer_than_needed_are_refused() {
    const NINE_FULL: [u8; 9] = [0xff; 9];
    let bucket = |bytes: &[u8]| Message::decode(&[&[4, 1], bytes].concat());
    assert_eq!(bucket(&[0x80, 0x00]), Err(MessageError::BadNumber));
    assert_eq!(bucket(&[0xff, 0xff, 0x03]), Ok(Message::BucketRequest(vec![u16::MAX])));
    assert_eq!(bucket(&[0x80, 0x80, 0x04]), Err(MessageError::BadNumber));
    assert_eq!(bucket(&[&NINE_FULL[..], &[0x02]].concat()), Err(MessageError::BadNumber));
    assert_eq!(bucket(&[&NINE_FULL[..], &[0x81, 0x01]].concat()), Err(MessageError::BadNumber));
    let register = |distance: &[u8], rest: &[u8]| Message::decode(&[&[2, 1], distance, rest].concat());
    assert!(register(&[0xff, 0xff, 0x03], &[1, 1, 0]).is_ok());
    assert_eq!(register(&[0x80, 0x80, 0x04], &[1, 1, 0]), Err(MessageError::BadNumber));
    assert_eq!(register(&[1], &[1, 1, 0xff, 0xff, 0x0f]), Err(MessageError::BadNumber));
    assert_eq!(register(&[1], &[1, 0xff, 0xff, 0xff, 0xff, 0x1f, 0]), Err(MessageError::BadNumber));
    let beyond = [&[2, 2, 1, 1, 1, 0], &NINE_FULL[..], &[0x01, 1, 1, 0]].concat();
    assert_eq!(Message::decode(&beyond), Err(MessageError::BadNumber));
}
