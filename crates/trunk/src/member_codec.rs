//! Frames between members, and between member and core server, to bytes and back.

use lotussaddle::interface::{DialogueId, ServerId};

use crate::codec::*;
use crate::member::*;

// Kinds on the wire. A number is never given to another frame.
const HERE: u8 = PEER;
const NEW_LIFE: u8 = PEER + 1;
const LIFE_GIVEN: u8 = PEER + 2;
// PEER + 3 was a heartbeat with a bit for each member.
const COPIES: u8 = PEER + 4;
const KEPT: u8 = PEER + 5;
const RESUME: u8 = PEER + 6;
const PIECE: u8 = PEER + 7;
const ASK: u8 = PEER + 8;
const KNOW: u8 = PEER + 9;
const SUMS: u8 = PEER + 10;
const PRINTS: u8 = PEER + 11;
const WANT: u8 = PEER + 12;
const INQUIRE: u8 = PEER + 13;
const TELL: u8 = PEER + 14;
const DUTIES: u8 = PEER + 15;
const CHECK: u8 = PEER + 16;
const PEER_FENCED: u8 = PEER + 17;
const PUBLISH: u8 = PEER + 18;
const PUBLISHED: u8 = PEER + 19;
const WANTED: u8 = PEER + 20;
const MEMBERSHIP: u8 = PEER + 21;
const DISK_COUNT: u8 = PEER + 22;
const WHAT: u8 = AUDIT;
const HOLDS: u8 = AUDIT + 1;
const ADOPT: u8 = AUDIT + 2;
const ADOPTED: u8 = AUDIT + 3;
const MOVED: u8 = AUDIT + 4;
const FENCED: u8 = AUDIT + 5;

pub fn kind_name(kind: u8) -> Option<&'static str> {
    Some(match kind {
        HERE => "here",
        NEW_LIFE => "new_life",
        LIFE_GIVEN => "life",
        COPIES => "copies",
        KEPT => "kept",
        RESUME => "resume",
        PIECE => "piece",
        ASK => "ask",
        KNOW => "know",
        SUMS => "sums",
        PRINTS => "prints",
        WANT => "want",
        INQUIRE => "inquire",
        TELL => "tell",
        DUTIES => "duties",
        CHECK => "check",
        PEER_FENCED | FENCED => "fenced",
        PUBLISH => "publish",
        PUBLISHED => "published",
        WANTED => "wanted",
        MEMBERSHIP => "membership",
        DISK_COUNT => "disk_count",
        WHAT => "what",
        HOLDS => "holds",
        ADOPT => "adopt",
        ADOPTED => "adopted",
        MOVED => "moved",
        _ => return None,
    })
}

// Fields, beside those of `codec`.
const GROUP: u8 = 26;
const MEMBER: u8 = 27;
const YOURS: u8 = 28;
const HIGHEST: u8 = 29;
const WORDS: u8 = 30;
const OWN: u8 = 31;
const FROM: u8 = 32;
const AT: u8 = 33;
const NEXT: u8 = 34;
const LEVEL: u8 = 35;
const BLOB: u8 = 36;
const BAR: u8 = 37;
const LASTS: u8 = 38;
const PART: u8 = 39;
const VERDICT: u8 = 40;
const SAVED: u8 = 41;
const ACT: u8 = 42;
const DUTY: u8 = 43;

fn act_bytes(act: &DutyAction) -> [u8; 20] {
    let mut raw = [0; 20];
    raw[..2].copy_from_slice(&act.duty.to_le_bytes());
    raw[2..10].copy_from_slice(&act.fencing_token.to_le_bytes());
    raw[10..12].copy_from_slice(&act.member.to_le_bytes());
    raw[12..].copy_from_slice(&act.incarnation.to_le_bytes());
    raw
}

fn act(raw: &[u8]) -> Result<DutyAction, &'static str> {
    let raw: &[u8; 20] = raw.try_into().map_err(|_| "is no act")?;
    Ok(DutyAction {
        duty: u16::from_le_bytes(raw[..2].try_into().expect("two bytes")),
        fencing_token: u64::from_le_bytes(raw[2..10].try_into().expect("eight bytes")),
        member: u16::from_le_bytes(raw[10..12].try_into().expect("two bytes")),
        incarnation: u64::from_le_bytes(raw[12..].try_into().expect("eight bytes")),
    })
}

pub fn owner_bytes(owner: &Owner) -> [u8; 14] {
    let mut raw = [0; 14];
    raw[..4].copy_from_slice(&owner.round.to_le_bytes());
    raw[4..6].copy_from_slice(&owner.member.to_le_bytes());
    raw[6..].copy_from_slice(&owner.incarnation.to_le_bytes());
    raw
}

pub fn owner(raw: &[u8]) -> Result<Owner, &'static str> {
    let raw: &[u8; 14] = raw.try_into().map_err(|_| "is no owner")?;
    let round = u32::from_le_bytes(raw[..4].try_into().expect("four bytes"));
    let member = u16::from_le_bytes(raw[4..6].try_into().expect("two bytes"));
    Ok(Owner { round, member, incarnation: u64::from_le_bytes(raw[6..].try_into().expect("eight bytes")) })
}

fn words(raw: &[u8]) -> Result<Vec<u64>, &'static str> {
    let (words, rest) = raw.as_chunks::<8>();
    if rest.is_empty() {
        Ok(words.iter().map(|word| u64::from_le_bytes(*word)).collect())
    } else {
        Err("is not made of 8 bytes each")
    }
}

fn put_words(to: &mut Writer, tag: u8, words: impl IntoIterator<Item = u64>) {
    let raw: Vec<u8> = words.into_iter().flat_map(u64::to_le_bytes).collect();
    to.bytes(tag, &raw);
}

fn put_reached(to: &mut Writer, reached: &Progress) {
    match reached {
        Progress::Accepted => to.whole(WHY, 0),
        Progress::Launched { server, launch } => {
            to.whole(WHY, 1).text(SERVER, &server.0).whole(LAUNCH_NO, launch.0.into())
        }
        Progress::Stands { server, launch } => {
            to.whole(WHY, 2).text(SERVER, &server.0).whole(LAUNCH_NO, launch.0.into())
        }
        Progress::Ended => to.whole(WHY, 3),
    };
}

fn reached(f: &mut Fields) -> Result<Progress, TrunkError> {
    Ok(match f.need(WHY, whole)? {
        0 => Progress::Accepted,
        1 => Progress::Launched { server: f.need(SERVER, text).map(ServerId)?, launch: f.launch()? },
        2 => Progress::Stands { server: f.need(SERVER, text).map(ServerId)?, launch: f.launch()? },
        3 => Progress::Ended,
        _ => return Err(f.wrong(WHY, "is not known")),
    })
}

fn put_copy(to: &mut Writer, copy: &ReplicaUpdate) {
    let (mut nested, mut inner) = (Vec::new(), Vec::new());
    let mut into = Writer(&mut nested);
    into.text(DIALOGUE, &copy.dialogue.0);
    for part in &copy.owner_records {
        inner.clear();
        let mut part_to = Writer(&mut inner);
        part_to.bytes(OWN, &owner_bytes(&part.owner)).whole(SERIAL, part.version.into());
        put_reached(&mut part_to, &part.progress);
        if !part.blocked_for.is_zero() {
            part_to.time(BAR, part.blocked_for);
        }
        part_to.time(LASTS, part.expires_in);
        into.bytes(ENTRY, &inner);
    }
    for RecordedAnswer { owner, answer } in &copy.answers {
        inner.clear();
        let mut answer_to = Writer(&mut inner);
        answer_to.bytes(OWN, &owner_bytes(owner));
        match answer {
            Answer::Stands { server } => answer_to.whole(VERDICT, 0).text(SERVER, &server.0),
            Answer::Refused { come_back: None } => answer_to.whole(VERDICT, 1),
            Answer::Refused { come_back: Some(time) } => answer_to.whole(VERDICT, 1).time(TIME, *time),
            Answer::Failed => answer_to.whole(VERDICT, 2),
        };
        into.bytes(ENTRY, &inner);
    }
    to.bytes(ENTRY, &nested);
}

/// A copy as it stands in a frame, for whoever keeps it or cuts what is sent by its size.
pub fn encode_replica(copy: &ReplicaUpdate) -> Vec<u8> {
    let mut raw = Vec::new();
    put_copy(&mut Writer(&mut raw), copy);
    raw
}

/// A copy from `encode_replica`; an error names the field.
pub fn decode_replica(bytes: &[u8]) -> Result<ReplicaUpdate, TrunkError> {
    let mut f = Fields::read("copies", bytes)?;
    let copy = copies("copies", &mut f)?.pop().ok_or(TrunkError::Missing { frame: "copies", tag: ENTRY })?;
    f.rest()?;
    Ok(copy)
}

/// The most owners and answers that a copy may bring: more were never written.
const MOST_PARTS: usize = 16;

fn copy(frame: &'static str, raw: &[u8]) -> Result<ReplicaUpdate, TrunkError> {
    let mut f = Fields::read(frame, raw)?;
    let dialogue = f.dialogue()?;
    let (mut parts, mut answers) = (Vec::new(), Vec::new());
    while let Some(raw) = f.take(ENTRY) {
        let mut inner = Fields::read(frame, raw)?;
        match inner.maybe(VERDICT, whole)? {
            None => parts.push(OwnerRecord {
                owner: inner.need(OWN, owner)?,
                version: inner.need(SERIAL, small)?,
                progress: reached(&mut inner)?,
                blocked_for: inner.maybe(BAR, time)?.unwrap_or_default(),
                expires_in: inner.need(LASTS, time)?,
            }),
            Some(verdict) => {
                let owner = inner.need(OWN, owner)?;
                let answer = match verdict {
                    0 => Answer::Stands { server: inner.need(SERVER, text).map(ServerId)? },
                    1 => Answer::Refused { come_back: inner.maybe(TIME, time)? },
                    2 => Answer::Failed,
                    _ => return Err(inner.wrong(VERDICT, "is not known")),
                };
                answers.push(RecordedAnswer { owner, answer });
            }
        }
        inner.rest()?;
        if parts.len() > MOST_PARTS || answers.len() > MOST_PARTS {
            return Err(f.wrong(ENTRY, "comes too often"));
        }
    }
    f.rest()?;
    Ok(ReplicaUpdate { dialogue, owner_records: parts, answers })
}

fn copies(frame: &'static str, f: &mut Fields) -> Result<Vec<ReplicaUpdate>, TrunkError> {
    let mut all = Vec::new();
    while let Some(raw) = f.take_in_order(ENTRY) {
        all.push(copy(frame, raw)?);
    }
    Ok(all)
}

fn put_cursor(to: &mut Writer, cursor: &Cursor) {
    to.whole(AT, cursor.at).whole(FROM, cursor.from);
}

pub fn put_peer(peer: &PeerMessage, to: &mut Writer) -> u8 {
    match peer {
        PeerMessage::Greeting {
            group,
            member,
            incarnation: life,
            known_remote_incarnation: yours,
            saved,
            last_seen_ago: away,
        } => {
            to.whole(GROUP, *group).whole(MEMBER, (*member).into()).whole(LIFE, *life).whole(YOURS, *yours);
            to.whole(SAVED, *saved);
            if let Some(away) = away {
                to.time(TIME, *away);
            }
            HERE
        }
        PeerMessage::ProposeIncarnation { incarnation: life } => {
            to.whole(LIFE, *life);
            NEW_LIFE
        }
        PeerMessage::IncarnationReply { incarnation: life, granted: given, highest } => {
            to.whole(LIFE, *life).whole(FLAGS, (*given).into()).whole(HIGHEST, *highest);
            LIFE_GIVEN
        }
        PeerMessage::Membership { message } => {
            debug_assert!(message.len() <= MAX_MEMBERSHIP_MESSAGE);
            to.bytes(BLOB, message);
            MEMBERSHIP
        }
        PeerMessage::DiskCount { saved } => {
            to.whole(SAVED, *saved);
            DISK_COUNT
        }
        PeerMessage::Replicas { incarnation: life, first, replicas: copies } => {
            to.whole(LIFE, *life).whole(AT, *first);
            copies.iter().for_each(|copy| put_copy(to, copy));
            COPIES
        }
        PeerMessage::Acknowledge { incarnation: life, up_to, saved, replaced } => {
            to.whole(LIFE, *life).whole(AT, *up_to).whole(SAVED, *saved);
            for replaced in replaced {
                let mut nested = Vec::new();
                Writer(&mut nested)
                    .text(DIALOGUE, &replaced.dialogue.0)
                    .bytes(OWN, &owner_bytes(&replaced.by));
                to.bytes(ENTRY, &nested);
            }
            KEPT
        }
        PeerMessage::Resume { incarnation: life, received_up_to: have, snapshot } => {
            to.whole(LIFE, *life).whole(HIGHEST, *have);
            if let Some(cursor) = snapshot {
                put_cursor(to, cursor);
            }
            RESUME
        }
        PeerMessage::SnapshotChunk { incarnation: life, cursor, next, replicas: copies } => {
            to.whole(LIFE, *life);
            put_cursor(to, cursor);
            if let Some(next) = next {
                to.whole(NEXT, *next);
            }
            copies.iter().for_each(|copy| put_copy(to, copy));
            PIECE
        }
        PeerMessage::Ask { serial, dialogue, owner } => {
            to.whole(SERIAL, *serial).text(DIALOGUE, &dialogue.0).bytes(OWN, &owner_bytes(owner));
            ASK
        }
        PeerMessage::AskReply { serial, is_authoritative: sure, higher, replica: copy } => {
            to.whole(SERIAL, *serial).whole(FLAGS, (*sure).into());
            if let Some(higher) = higher {
                to.bytes(OWN, &owner_bytes(higher));
            }
            if let Some(copy) = copy {
                put_copy(to, copy);
            }
            KNOW
        }
        PeerMessage::RangeDigests { level, from, digests: sums } => {
            to.whole(LEVEL, (*level).into()).whole(FROM, (*from).into());
            put_words(to, WORDS, sums.iter().copied());
            SUMS
        }
        PeerMessage::DialogueDigests { range, fingerprints: prints } => {
            to.whole(FROM, (*range).into());
            put_words(to, WORDS, prints.iter().flat_map(|(id, digest)| [*id, *digest]));
            PRINTS
        }
        PeerMessage::RequestReplicas { id_hashes: ids } => {
            put_words(to, WORDS, ids.iter().copied());
            WANT
        }
        PeerMessage::Inquire { query: what } => {
            to.text(NAME, what);
            INQUIRE
        }
        PeerMessage::InquireReply { more, text } => {
            to.whole(FLAGS, (*more).into()).bytes(BLOB, text.as_bytes());
            TELL
        }
        PeerMessage::Duties { message: word } => {
            to.bytes(BLOB, word);
            DUTIES
        }
        PeerMessage::CheckLines { action: act, server } => {
            to.bytes(ACT, &act_bytes(act)).text(SERVER, &server.0);
            CHECK
        }
        PeerMessage::Fenced { duty, highest } => {
            to.whole(DUTY, (*duty).into()).whole(HIGHEST, *highest);
            PEER_FENCED
        }
        PeerMessage::Publish { action: act, serial, order } => {
            to.bytes(ACT, &act_bytes(act)).whole(SERIAL, *serial);
            put_order(order, to);
            PUBLISH
        }
        PeerMessage::Published { serial, why } => {
            to.whole(SERIAL, *serial);
            if let Some(why) = why {
                to.text(CALLED, why);
            }
            PUBLISHED
        }
        PeerMessage::PublishRequest { name } => {
            to.text(NAME, name);
            WANTED
        }
    }
}

/// Lines of a core server in one frame, at most: an id has up to 128 bytes.
const MOST_LINES: usize = 400;

pub fn put_audit(audit: &AuditMessage, to: &mut Writer) -> u8 {
    match audit {
        AuditMessage::ListLines { serial, member, incarnation: life, after } => {
            to.whole(SERIAL, *serial).whole(MEMBER, (*member).into()).whole(LIFE, *life);
            if let Some(after) = after {
                to.text(DIALOGUE, &after.0);
            }
            WHAT
        }
        AuditMessage::Lines { serial, more, lines } => {
            debug_assert!(lines.len() <= MOST_LINES);
            to.whole(SERIAL, *serial).whole(FLAGS, (*more).into());
            for line in lines {
                let mut nested = Vec::new();
                Writer(&mut nested)
                    .text(DIALOGUE, &line.dialogue.0)
                    .whole(LAUNCH_NO, line.launch.0.into())
                    .bytes(OWN, &owner_bytes(&line.owner));
                to.bytes(ENTRY, &nested);
            }
            HOLDS
        }
        AuditMessage::Adopt { dialogue, owner, action: act } => {
            to.text(DIALOGUE, &dialogue.0).bytes(OWN, &owner_bytes(owner));
            if let Some(act) = act {
                to.bytes(ACT, &act_bytes(act));
            }
            ADOPT
        }
        AuditMessage::Adopted { dialogue, owner, launch, by } => {
            to.text(DIALOGUE, &dialogue.0).bytes(OWN, &owner_bytes(owner)).bytes(PART, &owner_bytes(by));
            if let Some(launch) = launch {
                to.whole(LAUNCH_NO, (*launch).into());
            }
            ADOPTED
        }
        AuditMessage::Moved { dialogue, launch, by } => {
            to.text(DIALOGUE, &dialogue.0).whole(LAUNCH_NO, launch.0.into()).bytes(OWN, &owner_bytes(by));
            MOVED
        }
        AuditMessage::Fenced { dialogue, duty, highest } => {
            to.text(DIALOGUE, &dialogue.0).whole(DUTY, (*duty).into()).whole(HIGHEST, *highest);
            FENCED
        }
    }
}

fn flag(f: &mut Fields) -> Result<bool, TrunkError> {
    Ok(f.need(FLAGS, small::<u8>)? == 1)
}

fn cursor(f: &mut Fields) -> Result<Option<Cursor>, TrunkError> {
    Ok(f.maybe(AT, whole)?.zip(f.maybe(FROM, whole)?).map(|(at, from)| Cursor { at, from }))
}

fn blob(raw: &[u8]) -> Result<String, &'static str> {
    std::str::from_utf8(raw).map(String::from).map_err(|_| "is no UTF-8")
}

fn membership_message(raw: &[u8]) -> Result<Vec<u8>, &'static str> {
    if raw.len() > MAX_MEMBERSHIP_MESSAGE {
        return Err("is too long");
    }
    Ok(raw.to_vec())
}

pub fn peer(kind: u8, f: &mut Fields) -> Result<PeerMessage, TrunkError> {
    let name = kind_name(kind).ok_or(TrunkError::Kind(kind))?;
    Ok(match kind {
        HERE => PeerMessage::Greeting {
            group: f.need(GROUP, whole)?,
            member: f.need(MEMBER, small)?,
            incarnation: f.need(LIFE, whole)?,
            known_remote_incarnation: f.need(YOURS, whole)?,
            saved: f.need(SAVED, whole)?,
            last_seen_ago: f.maybe(TIME, time)?,
        },
        NEW_LIFE => PeerMessage::ProposeIncarnation { incarnation: f.need(LIFE, whole)? },
        LIFE_GIVEN => PeerMessage::IncarnationReply {
            incarnation: f.need(LIFE, whole)?,
            granted: flag(f)?,
            highest: f.need(HIGHEST, whole)?,
        },
        MEMBERSHIP => PeerMessage::Membership { message: f.need(BLOB, membership_message)? },
        DISK_COUNT => PeerMessage::DiskCount { saved: f.need(SAVED, whole)? },
        COPIES => PeerMessage::Replicas {
            incarnation: f.need(LIFE, whole)?,
            first: f.need(AT, whole)?,
            replicas: copies(name, f)?,
        },
        KEPT => {
            let (life, up_to, saved) = (f.need(LIFE, whole)?, f.need(AT, whole)?, f.need(SAVED, whole)?);
            let mut replaced = Vec::new();
            while let Some(raw) = f.take_in_order(ENTRY) {
                let mut inner = Fields::read(name, raw)?;
                replaced.push(Replaced { dialogue: inner.dialogue()?, by: inner.need(OWN, owner)? });
                inner.rest()?;
            }
            PeerMessage::Acknowledge { incarnation: life, up_to, saved, replaced }
        }
        RESUME => PeerMessage::Resume {
            incarnation: f.need(LIFE, whole)?,
            received_up_to: f.need(HIGHEST, whole)?,
            snapshot: cursor(f)?,
        },
        PIECE => PeerMessage::SnapshotChunk {
            incarnation: f.need(LIFE, whole)?,
            cursor: cursor(f)?.ok_or(TrunkError::Missing { frame: name, tag: AT })?,
            next: f.maybe(NEXT, whole)?,
            replicas: copies(name, f)?,
        },
        ASK => PeerMessage::Ask {
            serial: f.need(SERIAL, whole)?,
            dialogue: f.dialogue()?,
            owner: f.need(OWN, owner)?,
        },
        KNOW => PeerMessage::AskReply {
            serial: f.need(SERIAL, whole)?,
            is_authoritative: flag(f)?,
            higher: f.maybe(OWN, owner)?,
            replica: copies(name, f)?.pop(),
        },
        SUMS => PeerMessage::RangeDigests {
            level: f.need(LEVEL, small)?,
            from: f.need(FROM, small)?,
            digests: f.need(WORDS, words)?,
        },
        PRINTS => {
            let range = f.need(FROM, small)?;
            let all = f.need(WORDS, words)?;
            let (pairs, rest) = all.as_chunks::<2>();
            if !rest.is_empty() {
                return Err(f.wrong(WORDS, "is not made of pairs"));
            }
            PeerMessage::DialogueDigests {
                range,
                fingerprints: pairs.iter().map(|[id, digest]| (*id, *digest)).collect(),
            }
        }
        WANT => PeerMessage::RequestReplicas { id_hashes: f.need(WORDS, words)? },
        INQUIRE => PeerMessage::Inquire { query: f.need(NAME, text)? },
        TELL => PeerMessage::InquireReply { more: flag(f)?, text: f.need(BLOB, blob)? },
        DUTIES => PeerMessage::Duties { message: f.need(BLOB, |raw| Ok::<_, &'static str>(raw.to_vec()))? },
        CHECK => {
            PeerMessage::CheckLines { action: f.need(ACT, act)?, server: f.need(SERVER, text).map(ServerId)? }
        }
        PUBLISH => PeerMessage::Publish {
            action: f.need(ACT, act)?,
            serial: f.need(SERIAL, whole)?,
            order: order(f)?,
        },
        PUBLISHED => PeerMessage::Published { serial: f.need(SERIAL, whole)?, why: f.maybe(CALLED, text)? },
        WANTED => PeerMessage::PublishRequest { name: f.need(NAME, text)? },
        PEER_FENCED => PeerMessage::Fenced { duty: f.need(DUTY, small)?, highest: f.need(HIGHEST, whole)? },
        other => return Err(TrunkError::Kind(other)),
    })
}

pub fn audit(kind: u8, f: &mut Fields) -> Result<AuditMessage, TrunkError> {
    let name = kind_name(kind).ok_or(TrunkError::Kind(kind))?;
    Ok(match kind {
        WHAT => AuditMessage::ListLines {
            serial: f.need(SERIAL, whole)?,
            member: f.need(MEMBER, small)?,
            incarnation: f.need(LIFE, whole)?,
            after: f.maybe(DIALOGUE, text)?.map(DialogueId),
        },
        HOLDS => {
            let (serial, more) = (f.need(SERIAL, whole)?, flag(f)?);
            let mut lines = Vec::new();
            while let Some(raw) = f.take_in_order(ENTRY) {
                let mut inner = Fields::read(name, raw)?;
                lines.push(HeldLine {
                    dialogue: inner.dialogue()?,
                    launch: inner.launch()?,
                    owner: inner.need(OWN, owner)?,
                });
                inner.rest()?;
            }
            AuditMessage::Lines { serial, more, lines }
        }
        ADOPT => AuditMessage::Adopt {
            dialogue: f.dialogue()?,
            owner: f.need(OWN, owner)?,
            action: f.maybe(ACT, act)?,
        },
        ADOPTED => AuditMessage::Adopted {
            dialogue: f.dialogue()?,
            owner: f.need(OWN, owner)?,
            launch: f.maybe(LAUNCH_NO, small)?,
            by: f.need(PART, owner)?,
        },
        MOVED => {
            AuditMessage::Moved { dialogue: f.dialogue()?, launch: f.launch()?, by: f.need(OWN, owner)? }
        }
        FENCED => AuditMessage::Fenced {
            dialogue: f.dialogue()?,
            duty: f.need(DUTY, small)?,
            highest: f.need(HIGHEST, whole)?,
        },
        other => return Err(TrunkError::Kind(other)),
    })
}
