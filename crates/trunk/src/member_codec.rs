//! The binary codec of messages between members, and between members and core servers.

use lotussaddle::interface::{DialogueId, ServerId};

use crate::codec::*;
use crate::member::*;

// Frame kinds on the wire. A number is never reused for another frame.
const GREETING: u8 = FIRST_PEER_KIND;
const PROPOSE_INCARNATION: u8 = FIRST_PEER_KIND + 1;
const INCARNATION_REPLY: u8 = FIRST_PEER_KIND + 2;
// FIRST_PEER_KIND + 3 is retired: it was a heartbeat with a bit for each member.
const REPLICAS: u8 = FIRST_PEER_KIND + 4;
const ACKNOWLEDGE: u8 = FIRST_PEER_KIND + 5;
const RESUME: u8 = FIRST_PEER_KIND + 6;
const SNAPSHOT_CHUNK: u8 = FIRST_PEER_KIND + 7;
const ASK: u8 = FIRST_PEER_KIND + 8;
const ASK_REPLY: u8 = FIRST_PEER_KIND + 9;
const RANGE_DIGESTS: u8 = FIRST_PEER_KIND + 10;
const DIALOGUE_DIGESTS: u8 = FIRST_PEER_KIND + 11;
const REQUEST_REPLICAS: u8 = FIRST_PEER_KIND + 12;
const INQUIRE: u8 = FIRST_PEER_KIND + 13;
const INQUIRE_REPLY: u8 = FIRST_PEER_KIND + 14;
const DUTIES: u8 = FIRST_PEER_KIND + 15;
const CHECK_LINES: u8 = FIRST_PEER_KIND + 16;
const PEER_FENCED: u8 = FIRST_PEER_KIND + 17;
const PUBLISH: u8 = FIRST_PEER_KIND + 18;
const PUBLISHED: u8 = FIRST_PEER_KIND + 19;
const PUBLISH_REQUEST: u8 = FIRST_PEER_KIND + 20;
const MEMBERSHIP: u8 = FIRST_PEER_KIND + 21;
const DISK_COUNT: u8 = FIRST_PEER_KIND + 22;
const LIST_LINES: u8 = FIRST_AUDIT_KIND;
const LINES: u8 = FIRST_AUDIT_KIND + 1;
const ADOPT: u8 = FIRST_AUDIT_KIND + 2;
const ADOPTED: u8 = FIRST_AUDIT_KIND + 3;
const MOVED: u8 = FIRST_AUDIT_KIND + 4;
const FENCED: u8 = FIRST_AUDIT_KIND + 5;

/// The name of a frame kind, as in traffic records.
pub fn kind_name(kind: u8) -> Option<&'static str> {
    Some(match kind {
        GREETING => "here",
        PROPOSE_INCARNATION => "new_life",
        INCARNATION_REPLY => "life",
        REPLICAS => "copies",
        ACKNOWLEDGE => "kept",
        RESUME => "resume",
        SNAPSHOT_CHUNK => "piece",
        ASK => "ask",
        ASK_REPLY => "know",
        RANGE_DIGESTS => "sums",
        DIALOGUE_DIGESTS => "prints",
        REQUEST_REPLICAS => "want",
        INQUIRE => "inquire",
        INQUIRE_REPLY => "tell",
        DUTIES => "duties",
        CHECK_LINES => "check",
        PEER_FENCED | FENCED => "fenced",
        PUBLISH => "publish",
        PUBLISHED => "published",
        PUBLISH_REQUEST => "wanted",
        MEMBERSHIP => "membership",
        DISK_COUNT => "disk_count",
        LIST_LINES => "what",
        LINES => "holds",
        ADOPT => "adopt",
        ADOPTED => "adopted",
        MOVED => "moved",
        _ => return None,
    })
}

// Field tags, in addition to those of `codec`.
const GROUP: u8 = 26;
const MEMBER: u8 = 27;
const REMOTE_INCARNATION: u8 = 28;
const HIGHEST: u8 = 29;
const HASHES: u8 = 30;
const RECORD_OWNER: u8 = 31;
const RANGE_START: u8 = 32;
const STREAM_NUMBER: u8 = 33;
const NEXT_CHUNK_START: u8 = 34;
const LEVEL: u8 = 35;
const BLOB: u8 = 36;
const BLOCKED_FOR: u8 = 37;
const EXPIRES_IN: u8 = 38;
const CURRENT_OWNER: u8 = 39;
const ANSWER: u8 = 40;
const WRITE_COUNT: u8 = 41;
const ACTION: u8 = 42;
const DUTY: u8 = 43;

fn encode_action(action: &DutyAction) -> [u8; 20] {
    let mut raw = [0; 20];
    raw[..2].copy_from_slice(&action.duty.to_le_bytes());
    raw[2..10].copy_from_slice(&action.fencing_token.to_le_bytes());
    raw[10..12].copy_from_slice(&action.member.to_le_bytes());
    raw[12..].copy_from_slice(&action.incarnation.to_le_bytes());
    raw
}

fn read_action(raw: &[u8]) -> Result<DutyAction, &'static str> {
    let raw: &[u8; 20] = raw.try_into().map_err(|_| "is not a duty action")?;
    Ok(DutyAction {
        duty: u16::from_le_bytes(raw[..2].try_into().expect("two bytes")),
        fencing_token: u64::from_le_bytes(raw[2..10].try_into().expect("eight bytes")),
        member: u16::from_le_bytes(raw[10..12].try_into().expect("two bytes")),
        incarnation: u64::from_le_bytes(raw[12..].try_into().expect("eight bytes")),
    })
}

pub fn encode_owner(owner: &Owner) -> [u8; 14] {
    let mut raw = [0; 14];
    raw[..4].copy_from_slice(&owner.round.to_le_bytes());
    raw[4..6].copy_from_slice(&owner.member.to_le_bytes());
    raw[6..].copy_from_slice(&owner.incarnation.to_le_bytes());
    raw
}

pub fn read_owner(raw: &[u8]) -> Result<Owner, &'static str> {
    let raw: &[u8; 14] = raw.try_into().map_err(|_| "is not an owner")?;
    let round = u32::from_le_bytes(raw[..4].try_into().expect("four bytes"));
    let member = u16::from_le_bytes(raw[4..6].try_into().expect("two bytes"));
    Ok(Owner { round, member, incarnation: u64::from_le_bytes(raw[6..].try_into().expect("eight bytes")) })
}

/// Reads a sequence of integers of 8 bytes each.
fn read_integers(raw: &[u8]) -> Result<Vec<u64>, &'static str> {
    let (integers, remainder) = raw.as_chunks::<8>();
    if remainder.is_empty() {
        Ok(integers.iter().map(|integer| u64::from_le_bytes(*integer)).collect())
    } else {
        Err("is not a multiple of 8 bytes")
    }
}

fn write_integers(to: &mut Writer, tag: u8, integers: impl IntoIterator<Item = u64>) {
    let raw: Vec<u8> = integers.into_iter().flat_map(u64::to_le_bytes).collect();
    to.bytes(tag, &raw);
}

fn write_progress(to: &mut Writer, progress: &Progress) {
    match progress {
        Progress::Accepted => to.integer(WHY, 0),
        Progress::Launched { server, launch } => {
            to.integer(WHY, 1).text(SERVER, &server.0).integer(LAUNCH_NUMBER, launch.0.into())
        }
        Progress::Stands { server, launch } => {
            to.integer(WHY, 2).text(SERVER, &server.0).integer(LAUNCH_NUMBER, launch.0.into())
        }
        Progress::Ended => to.integer(WHY, 3),
    };
}

fn read_progress(f: &mut Fields) -> Result<Progress, TrunkError> {
    Ok(match f.required(WHY, read_u64)? {
        0 => Progress::Accepted,
        1 => Progress::Launched { server: f.required(SERVER, read_text).map(ServerId)?, launch: f.launch()? },
        2 => Progress::Stands { server: f.required(SERVER, read_text).map(ServerId)?, launch: f.launch()? },
        3 => Progress::Ended,
        _ => return Err(f.invalid(WHY, "has an unknown value")),
    })
}

fn write_replica(to: &mut Writer, replica: &ReplicaUpdate) {
    let (mut nested, mut inner) = (Vec::new(), Vec::new());
    let mut into = Writer(&mut nested);
    into.text(DIALOGUE, &replica.dialogue.0);
    for record in &replica.owner_records {
        inner.clear();
        let mut record_to = Writer(&mut inner);
        record_to.bytes(RECORD_OWNER, &encode_owner(&record.owner)).integer(SERIAL, record.version.into());
        write_progress(&mut record_to, &record.progress);
        if !record.blocked_for.is_zero() {
            record_to.time(BLOCKED_FOR, record.blocked_for);
        }
        record_to.time(EXPIRES_IN, record.expires_in);
        into.bytes(ENTRY, &inner);
    }
    for RecordedAnswer { owner, answer } in &replica.answers {
        inner.clear();
        let mut answer_to = Writer(&mut inner);
        answer_to.bytes(RECORD_OWNER, &encode_owner(owner));
        match answer {
            Answer::Stands { server } => answer_to.integer(ANSWER, 0).text(SERVER, &server.0),
            Answer::Refused { come_back: None } => answer_to.integer(ANSWER, 1),
            Answer::Refused { come_back: Some(time) } => answer_to.integer(ANSWER, 1).time(TIME, *time),
            Answer::Failed => answer_to.integer(ANSWER, 2),
        };
        into.bytes(ENTRY, &inner);
    }
    to.bytes(ENTRY, &nested);
}

/// Encodes a replica as in a frame, to store it or to split messages by size.
pub fn encode_replica(replica: &ReplicaUpdate) -> Vec<u8> {
    let mut raw = Vec::new();
    write_replica(&mut Writer(&mut raw), replica);
    raw
}

/// Decodes the output of [`encode_replica`]; an error names the field.
pub fn decode_replica(bytes: &[u8]) -> Result<ReplicaUpdate, TrunkError> {
    let mut f = Fields::read("copies", bytes)?;
    let replica = read_replicas("copies", &mut f)?
        .pop()
        .ok_or(TrunkError::MissingField { frame: "copies", tag: ENTRY })?;
    f.finish()?;
    Ok(replica)
}

/// Maximum number of owners and of answers in a replica; members never write more.
const MAX_REPLICA_RECORDS: usize = 16;

fn read_replica(frame: &'static str, raw: &[u8]) -> Result<ReplicaUpdate, TrunkError> {
    let mut f = Fields::read(frame, raw)?;
    let dialogue = f.dialogue()?;
    let (mut owner_records, mut answers) = (Vec::new(), Vec::new());
    while let Some(raw) = f.take(ENTRY) {
        let mut inner = Fields::read(frame, raw)?;
        match inner.optional(ANSWER, read_u64)? {
            None => owner_records.push(OwnerRecord {
                owner: inner.required(RECORD_OWNER, read_owner)?,
                version: inner.required(SERIAL, read_integer)?,
                progress: read_progress(&mut inner)?,
                blocked_for: inner.optional(BLOCKED_FOR, read_time)?.unwrap_or_default(),
                expires_in: inner.required(EXPIRES_IN, read_time)?,
            }),
            Some(kind) => {
                let owner = inner.required(RECORD_OWNER, read_owner)?;
                let answer = match kind {
                    0 => Answer::Stands { server: inner.required(SERVER, read_text).map(ServerId)? },
                    1 => Answer::Refused { come_back: inner.optional(TIME, read_time)? },
                    2 => Answer::Failed,
                    _ => return Err(inner.invalid(ANSWER, "has an unknown value")),
                };
                answers.push(RecordedAnswer { owner, answer });
            }
        }
        inner.finish()?;
        if owner_records.len() > MAX_REPLICA_RECORDS || answers.len() > MAX_REPLICA_RECORDS {
            return Err(f.invalid(ENTRY, "occurs too often"));
        }
    }
    f.finish()?;
    Ok(ReplicaUpdate { dialogue, owner_records, answers })
}

fn read_replicas(frame: &'static str, f: &mut Fields) -> Result<Vec<ReplicaUpdate>, TrunkError> {
    let mut all = Vec::new();
    while let Some(raw) = f.take_in_order(ENTRY) {
        all.push(read_replica(frame, raw)?);
    }
    Ok(all)
}

fn write_cursor(to: &mut Writer, cursor: &Cursor) {
    to.integer(STREAM_NUMBER, cursor.at).integer(RANGE_START, cursor.from);
}

/// Writes the fields of a message and returns its kind.
pub fn write_peer_message(message: &PeerMessage, to: &mut Writer) -> u8 {
    match message {
        PeerMessage::Greeting {
            group,
            member,
            incarnation,
            known_remote_incarnation,
            saved,
            last_seen_ago,
        } => {
            to.integer(GROUP, *group)
                .integer(MEMBER, (*member).into())
                .integer(INCARNATION, *incarnation)
                .integer(REMOTE_INCARNATION, *known_remote_incarnation);
            to.integer(WRITE_COUNT, *saved);
            if let Some(last_seen_ago) = last_seen_ago {
                to.time(TIME, *last_seen_ago);
            }
            GREETING
        }
        PeerMessage::ProposeIncarnation { incarnation } => {
            to.integer(INCARNATION, *incarnation);
            PROPOSE_INCARNATION
        }
        PeerMessage::IncarnationReply { incarnation, granted, highest } => {
            to.integer(INCARNATION, *incarnation)
                .integer(FLAGS, (*granted).into())
                .integer(HIGHEST, *highest);
            INCARNATION_REPLY
        }
        PeerMessage::Membership { message } => {
            debug_assert!(message.len() <= MAX_MEMBERSHIP_MESSAGE);
            to.bytes(BLOB, message);
            MEMBERSHIP
        }
        PeerMessage::DiskCount { saved } => {
            to.integer(WRITE_COUNT, *saved);
            DISK_COUNT
        }
        PeerMessage::Replicas { incarnation, first, replicas } => {
            to.integer(INCARNATION, *incarnation).integer(STREAM_NUMBER, *first);
            replicas.iter().for_each(|replica| write_replica(to, replica));
            REPLICAS
        }
        PeerMessage::Acknowledge { incarnation, up_to, saved, replaced } => {
            to.integer(INCARNATION, *incarnation).integer(STREAM_NUMBER, *up_to).integer(WRITE_COUNT, *saved);
            for replaced in replaced {
                let mut nested = Vec::new();
                Writer(&mut nested)
                    .text(DIALOGUE, &replaced.dialogue.0)
                    .bytes(RECORD_OWNER, &encode_owner(&replaced.by));
                to.bytes(ENTRY, &nested);
            }
            ACKNOWLEDGE
        }
        PeerMessage::Resume { incarnation, received_up_to, snapshot } => {
            to.integer(INCARNATION, *incarnation).integer(HIGHEST, *received_up_to);
            if let Some(cursor) = snapshot {
                write_cursor(to, cursor);
            }
            RESUME
        }
        PeerMessage::SnapshotChunk { incarnation, cursor, next, replicas } => {
            to.integer(INCARNATION, *incarnation);
            write_cursor(to, cursor);
            if let Some(next) = next {
                to.integer(NEXT_CHUNK_START, *next);
            }
            replicas.iter().for_each(|replica| write_replica(to, replica));
            SNAPSHOT_CHUNK
        }
        PeerMessage::Ask { serial, dialogue, owner } => {
            to.integer(SERIAL, *serial).text(DIALOGUE, &dialogue.0).bytes(RECORD_OWNER, &encode_owner(owner));
            ASK
        }
        PeerMessage::AskReply { serial, is_authoritative, higher, replica } => {
            to.integer(SERIAL, *serial).integer(FLAGS, (*is_authoritative).into());
            if let Some(higher) = higher {
                to.bytes(RECORD_OWNER, &encode_owner(higher));
            }
            if let Some(replica) = replica {
                write_replica(to, replica);
            }
            ASK_REPLY
        }
        PeerMessage::RangeDigests { level, from, digests } => {
            to.integer(LEVEL, (*level).into()).integer(RANGE_START, (*from).into());
            write_integers(to, HASHES, digests.iter().copied());
            RANGE_DIGESTS
        }
        PeerMessage::DialogueDigests { range, fingerprints } => {
            to.integer(RANGE_START, (*range).into());
            write_integers(
                to,
                HASHES,
                fingerprints.iter().flat_map(|(id_hash, fingerprint)| [*id_hash, *fingerprint]),
            );
            DIALOGUE_DIGESTS
        }
        PeerMessage::RequestReplicas { id_hashes } => {
            write_integers(to, HASHES, id_hashes.iter().copied());
            REQUEST_REPLICAS
        }
        PeerMessage::Inquire { query } => {
            to.text(NAME, query);
            INQUIRE
        }
        PeerMessage::InquireReply { more, text } => {
            to.integer(FLAGS, (*more).into()).bytes(BLOB, text.as_bytes());
            INQUIRE_REPLY
        }
        PeerMessage::Duties { message } => {
            to.bytes(BLOB, message);
            DUTIES
        }
        PeerMessage::CheckLines { action, server } => {
            to.bytes(ACTION, &encode_action(action)).text(SERVER, &server.0);
            CHECK_LINES
        }
        PeerMessage::Fenced { duty, highest } => {
            to.integer(DUTY, (*duty).into()).integer(HIGHEST, *highest);
            PEER_FENCED
        }
        PeerMessage::Publish { action, serial, order } => {
            to.bytes(ACTION, &encode_action(action)).integer(SERIAL, *serial);
            write_order(order, to);
            PUBLISH
        }
        PeerMessage::Published { serial, why } => {
            to.integer(SERIAL, *serial);
            if let Some(why) = why {
                to.text(CALLED, why);
            }
            PUBLISHED
        }
        PeerMessage::PublishRequest { name } => {
            to.text(NAME, name);
            PUBLISH_REQUEST
        }
    }
}

/// Maximum lines of a core server in one frame, given ids of up to 128 bytes.
const MAX_LINES_PER_FRAME: usize = 400;

/// Writes the fields of a message and returns its kind.
pub fn write_audit_message(message: &AuditMessage, to: &mut Writer) -> u8 {
    match message {
        AuditMessage::ListLines { serial, member, incarnation, after } => {
            to.integer(SERIAL, *serial).integer(MEMBER, (*member).into()).integer(INCARNATION, *incarnation);
            if let Some(after) = after {
                to.text(DIALOGUE, &after.0);
            }
            LIST_LINES
        }
        AuditMessage::Lines { serial, more, lines } => {
            debug_assert!(lines.len() <= MAX_LINES_PER_FRAME);
            to.integer(SERIAL, *serial).integer(FLAGS, (*more).into());
            for line in lines {
                let mut nested = Vec::new();
                Writer(&mut nested)
                    .text(DIALOGUE, &line.dialogue.0)
                    .integer(LAUNCH_NUMBER, line.launch.0.into())
                    .bytes(RECORD_OWNER, &encode_owner(&line.owner));
                to.bytes(ENTRY, &nested);
            }
            LINES
        }
        AuditMessage::Adopt { dialogue, owner, action } => {
            to.text(DIALOGUE, &dialogue.0).bytes(RECORD_OWNER, &encode_owner(owner));
            if let Some(action) = action {
                to.bytes(ACTION, &encode_action(action));
            }
            ADOPT
        }
        AuditMessage::Adopted { dialogue, owner, launch, by } => {
            to.text(DIALOGUE, &dialogue.0)
                .bytes(RECORD_OWNER, &encode_owner(owner))
                .bytes(CURRENT_OWNER, &encode_owner(by));
            if let Some(launch) = launch {
                to.integer(LAUNCH_NUMBER, (*launch).into());
            }
            ADOPTED
        }
        AuditMessage::Moved { dialogue, launch, by } => {
            to.text(DIALOGUE, &dialogue.0)
                .integer(LAUNCH_NUMBER, launch.0.into())
                .bytes(RECORD_OWNER, &encode_owner(by));
            MOVED
        }
        AuditMessage::Fenced { dialogue, duty, highest } => {
            to.text(DIALOGUE, &dialogue.0).integer(DUTY, (*duty).into()).integer(HIGHEST, *highest);
            FENCED
        }
    }
}

fn read_flag(f: &mut Fields) -> Result<bool, TrunkError> {
    Ok(f.required(FLAGS, read_integer::<u8>)? == 1)
}

fn read_cursor(f: &mut Fields) -> Result<Option<Cursor>, TrunkError> {
    Ok(f.optional(STREAM_NUMBER, read_u64)?
        .zip(f.optional(RANGE_START, read_u64)?)
        .map(|(at, from)| Cursor { at, from }))
}

/// Reads text of any length, which may be empty and contain control characters.
fn read_long_text(raw: &[u8]) -> Result<String, &'static str> {
    std::str::from_utf8(raw).map(String::from).map_err(|_| "is not valid UTF-8")
}

fn read_membership_message(raw: &[u8]) -> Result<Vec<u8>, &'static str> {
    if raw.len() > MAX_MEMBERSHIP_MESSAGE {
        return Err("is too long");
    }
    Ok(raw.to_vec())
}

pub fn read_peer_message(kind: u8, f: &mut Fields) -> Result<PeerMessage, TrunkError> {
    let name = kind_name(kind).ok_or(TrunkError::UnknownKind(kind))?;
    Ok(match kind {
        GREETING => PeerMessage::Greeting {
            group: f.required(GROUP, read_u64)?,
            member: f.required(MEMBER, read_integer)?,
            incarnation: f.required(INCARNATION, read_u64)?,
            known_remote_incarnation: f.required(REMOTE_INCARNATION, read_u64)?,
            saved: f.required(WRITE_COUNT, read_u64)?,
            last_seen_ago: f.optional(TIME, read_time)?,
        },
        PROPOSE_INCARNATION => {
            PeerMessage::ProposeIncarnation { incarnation: f.required(INCARNATION, read_u64)? }
        }
        INCARNATION_REPLY => PeerMessage::IncarnationReply {
            incarnation: f.required(INCARNATION, read_u64)?,
            granted: read_flag(f)?,
            highest: f.required(HIGHEST, read_u64)?,
        },
        MEMBERSHIP => PeerMessage::Membership { message: f.required(BLOB, read_membership_message)? },
        DISK_COUNT => PeerMessage::DiskCount { saved: f.required(WRITE_COUNT, read_u64)? },
        REPLICAS => PeerMessage::Replicas {
            incarnation: f.required(INCARNATION, read_u64)?,
            first: f.required(STREAM_NUMBER, read_u64)?,
            replicas: read_replicas(name, f)?,
        },
        ACKNOWLEDGE => {
            let (incarnation, up_to, saved) = (
                f.required(INCARNATION, read_u64)?,
                f.required(STREAM_NUMBER, read_u64)?,
                f.required(WRITE_COUNT, read_u64)?,
            );
            let mut replaced = Vec::new();
            while let Some(raw) = f.take_in_order(ENTRY) {
                let mut inner = Fields::read(name, raw)?;
                replaced.push(Replaced {
                    dialogue: inner.dialogue()?,
                    by: inner.required(RECORD_OWNER, read_owner)?,
                });
                inner.finish()?;
            }
            PeerMessage::Acknowledge { incarnation, up_to, saved, replaced }
        }
        RESUME => PeerMessage::Resume {
            incarnation: f.required(INCARNATION, read_u64)?,
            received_up_to: f.required(HIGHEST, read_u64)?,
            snapshot: read_cursor(f)?,
        },
        SNAPSHOT_CHUNK => PeerMessage::SnapshotChunk {
            incarnation: f.required(INCARNATION, read_u64)?,
            cursor: read_cursor(f)?.ok_or(TrunkError::MissingField { frame: name, tag: STREAM_NUMBER })?,
            next: f.optional(NEXT_CHUNK_START, read_u64)?,
            replicas: read_replicas(name, f)?,
        },
        ASK => PeerMessage::Ask {
            serial: f.required(SERIAL, read_u64)?,
            dialogue: f.dialogue()?,
            owner: f.required(RECORD_OWNER, read_owner)?,
        },
        ASK_REPLY => PeerMessage::AskReply {
            serial: f.required(SERIAL, read_u64)?,
            is_authoritative: read_flag(f)?,
            higher: f.optional(RECORD_OWNER, read_owner)?,
            replica: read_replicas(name, f)?.pop(),
        },
        RANGE_DIGESTS => PeerMessage::RangeDigests {
            level: f.required(LEVEL, read_integer)?,
            from: f.required(RANGE_START, read_integer)?,
            digests: f.required(HASHES, read_integers)?,
        },
        DIALOGUE_DIGESTS => {
            let range = f.required(RANGE_START, read_integer)?;
            let all = f.required(HASHES, read_integers)?;
            let (pairs, rest) = all.as_chunks::<2>();
            if !rest.is_empty() {
                return Err(f.invalid(HASHES, "is not a sequence of pairs"));
            }
            PeerMessage::DialogueDigests {
                range,
                fingerprints: pairs.iter().map(|[id_hash, fingerprint]| (*id_hash, *fingerprint)).collect(),
            }
        }
        REQUEST_REPLICAS => PeerMessage::RequestReplicas { id_hashes: f.required(HASHES, read_integers)? },
        INQUIRE => PeerMessage::Inquire { query: f.required(NAME, read_text)? },
        INQUIRE_REPLY => {
            PeerMessage::InquireReply { more: read_flag(f)?, text: f.required(BLOB, read_long_text)? }
        }
        DUTIES => {
            PeerMessage::Duties { message: f.required(BLOB, |raw| Ok::<_, &'static str>(raw.to_vec()))? }
        }
        CHECK_LINES => PeerMessage::CheckLines {
            action: f.required(ACTION, read_action)?,
            server: f.required(SERVER, read_text).map(ServerId)?,
        },
        PUBLISH => PeerMessage::Publish {
            action: f.required(ACTION, read_action)?,
            serial: f.required(SERIAL, read_u64)?,
            order: read_order(f)?,
        },
        PUBLISHED => PeerMessage::Published {
            serial: f.required(SERIAL, read_u64)?,
            why: f.optional(CALLED, read_text)?,
        },
        PUBLISH_REQUEST => PeerMessage::PublishRequest { name: f.required(NAME, read_text)? },
        PEER_FENCED => PeerMessage::Fenced {
            duty: f.required(DUTY, read_integer)?,
            highest: f.required(HIGHEST, read_u64)?,
        },
        other => return Err(TrunkError::UnknownKind(other)),
    })
}

pub fn read_audit_message(kind: u8, f: &mut Fields) -> Result<AuditMessage, TrunkError> {
    let name = kind_name(kind).ok_or(TrunkError::UnknownKind(kind))?;
    Ok(match kind {
        LIST_LINES => AuditMessage::ListLines {
            serial: f.required(SERIAL, read_u64)?,
            member: f.required(MEMBER, read_integer)?,
            incarnation: f.required(INCARNATION, read_u64)?,
            after: f.optional(DIALOGUE, read_text)?.map(DialogueId),
        },
        LINES => {
            let (serial, more) = (f.required(SERIAL, read_u64)?, read_flag(f)?);
            let mut lines = Vec::new();
            while let Some(raw) = f.take_in_order(ENTRY) {
                let mut inner = Fields::read(name, raw)?;
                lines.push(HeldLine {
                    dialogue: inner.dialogue()?,
                    launch: inner.launch()?,
                    owner: inner.required(RECORD_OWNER, read_owner)?,
                });
                inner.finish()?;
            }
            AuditMessage::Lines { serial, more, lines }
        }
        ADOPT => AuditMessage::Adopt {
            dialogue: f.dialogue()?,
            owner: f.required(RECORD_OWNER, read_owner)?,
            action: f.optional(ACTION, read_action)?,
        },
        ADOPTED => AuditMessage::Adopted {
            dialogue: f.dialogue()?,
            owner: f.required(RECORD_OWNER, read_owner)?,
            launch: f.optional(LAUNCH_NUMBER, read_integer)?,
            by: f.required(CURRENT_OWNER, read_owner)?,
        },
        MOVED => AuditMessage::Moved {
            dialogue: f.dialogue()?,
            launch: f.launch()?,
            by: f.required(RECORD_OWNER, read_owner)?,
        },
        FENCED => AuditMessage::Fenced {
            dialogue: f.dialogue()?,
            duty: f.required(DUTY, read_integer)?,
            highest: f.required(HIGHEST, read_u64)?,
        },
        other => return Err(TrunkError::UnknownKind(other)),
    })
}
