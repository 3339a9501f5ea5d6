//! Frames to bytes and back. Whatever comes in, a frame's memory is bounded by its stated length, and an
//! error names the frame, the field and what is wrong with it.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{
    DialledKey, DialogueId, LaunchNumber, LoadReport, ServerId, ServerNumber, ServerState,
};
use thiserror::Error;

use crate::frame::*;
use crate::member_codec;

/// The version that this build speaks; a peer of another one is told so and its link is closed.
pub const VERSION: u16 = 1;
/// Bytes of a frame after its length, at most.
pub const MAX_FRAME: usize = 64 * 1024;
/// Bytes of an id, a key, a name or an address, at most.
pub const MAX_TEXT: usize = 128;
/// Bytes of all unknown optional fields of a frame, at most.
pub const MAX_EXTRA: usize = 256;
/// Times beyond this (some 11 days) are refused, so that sums of a few never overflow.
const MAX_MICROS: u64 = 1_000_000_000_000;
/// From this tag on a field may be unknown.
const OPTIONAL: u8 = 128;

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TrunkError {
    #[error("a frame of {0} bytes, over the {MAX_FRAME} allowed")]
    TooLong(usize),
    #[error("an empty frame")]
    Empty,
    #[error("frame kind {0} is not known")]
    Kind(u8),
    #[error("{frame}: the field at byte {at} is cut short")]
    CutShort { frame: &'static str, at: usize },
    #[error("{frame}: field {tag} is not known")]
    Tag { frame: &'static str, tag: u8 },
    #[error("{frame}: field {tag} comes twice")]
    Twice { frame: &'static str, tag: u8 },
    #[error("{frame}: field {tag} is missing")]
    Missing { frame: &'static str, tag: u8 },
    #[error("{frame}: field {tag} {problem}")]
    Value { frame: &'static str, tag: u8, problem: &'static str },
    #[error("{frame}: over {MAX_EXTRA} bytes of unknown optional fields")]
    Extra { frame: &'static str },
}

// Kinds on the wire. A number is never given to another frame.
const HELLO: u8 = 1;
const PING: u8 = 2;
const PONG: u8 = 3;
const BYE: u8 = 4;
const DIAL: u8 = 16;
const HANG_UP: u8 = 17;
const STANDS: u8 = 18;
const REFUSED: u8 = 19;
const FAILED: u8 = 20;
const DECLINED: u8 = 21;
const OVER: u8 = 22;
const LAUNCH: u8 = 32;
const CANCEL: u8 = 33;
const RELEASE: u8 = 34;
const STOOD: u8 = 35;
const TURNED_BACK: u8 = 36;
const BROKEN_OFF: u8 = 37;
const ENDED: u8 = 38;
const REPORT: u8 = 39;
const LIST: u8 = 48;
const TABLES: u8 = 49;
const TABLED: u8 = 50;
/// Kinds from here on are between members, those from `AUDIT` on between member and core server.
pub(crate) const PEER: u8 = 64;
pub(crate) const AUDIT: u8 = 96;

fn kind_name(kind: u8) -> Option<&'static str> {
    Some(match kind {
        HELLO => "hello",
        PING => "ping",
        PONG => "pong",
        BYE => "bye",
        DIAL => "dial",
        HANG_UP => "hang_up",
        STANDS => "stands",
        REFUSED => "refused",
        FAILED => "failed",
        DECLINED => "declined",
        OVER => "over",
        LAUNCH => "launch",
        CANCEL => "cancel",
        RELEASE => "release",
        STOOD => "stood",
        TURNED_BACK => "turned_back",
        BROKEN_OFF => "broken_off",
        ENDED => "ended",
        REPORT => "report",
        LIST => "list",
        TABLES => "tables",
        TABLED => "tabled",
        PEER.. => return member_codec::kind_name(kind),
        _ => return None,
    })
}

// Fields. A tag has one meaning in all frames.
pub(crate) const DIALOGUE: u8 = 1;
pub(crate) const LAUNCH_NO: u8 = 2;
pub(crate) const SERVER: u8 = 3;
pub(crate) const WHY: u8 = 4;
pub(crate) const TIME: u8 = 5;
const KEY: u8 = 6;
const PRODUCT: u8 = 7;
const TENANT: u8 = 8;
const NUMBER: u8 = 9;
const WIDTH: u8 = 10;
pub(crate) const FLAGS: u8 = 11;
const TRY_OF: u8 = 12;
const LOAD: u8 = 13;
const NONCE: u8 = 14;
const PROTOCOL: u8 = 15;
const ROLE: u8 = 16;
pub(crate) const NAME: u8 = 17;
pub(crate) const ENTRY: u8 = 18;
const ADDRESS: u8 = 19;
pub(crate) const LIFE: u8 = 20;
const SENT_AT: u8 = 21;
pub(crate) const SERIAL: u8 = 22;
const OF: u8 = 23;
pub(crate) const CALLED: u8 = 24;
const ROUTING: u8 = 25;
/// Fields from 26 on are `member_codec`'s; from 128 to 143 they are optional and known: they are never passed on.
pub(crate) const OWNER: u8 = 128;
const KNOWN_TO: u8 = 143;

pub(crate) struct Writer<'a>(pub &'a mut Vec<u8>);

impl Writer<'_> {
    pub fn bytes(&mut self, tag: u8, value: &[u8]) -> &mut Self {
        self.0.push(tag);
        leb(self.0, value.len() as u64);
        self.0.extend_from_slice(value);
        self
    }

    pub fn text(&mut self, tag: u8, text: &str) -> &mut Self {
        self.bytes(tag, text.as_bytes())
    }

    pub fn whole(&mut self, tag: u8, value: u64) -> &mut Self {
        let raw = value.to_le_bytes();
        let used = 8 - value.leading_zeros() as usize / 8;
        self.bytes(tag, &raw[..used])
    }

    pub fn time(&mut self, tag: u8, time: Duration) -> &mut Self {
        self.whole(tag, (time.as_micros() as u64).min(MAX_MICROS))
    }

    fn real(&mut self, tag: u8, value: f64) -> &mut Self {
        self.bytes(tag, &value.to_le_bytes())
    }

    fn launch(&mut self, dialogue: &DialogueId, launch: LaunchNumber) -> &mut Self {
        self.text(DIALOGUE, &dialogue.0).whole(LAUNCH_NO, launch.0.into())
    }

    /// Six figures; what is not told is left out, by a bit each.
    fn report(&mut self, report: &LoadReport) -> &mut Self {
        let wait = report.processor_wait.map(|w| w.as_secs_f64());
        let told = [
            report.free_lines,
            report.total_lines,
            report.processor_busy,
            report.processor_queue,
            wait,
            report.rate,
        ];
        if told.iter().all(Option::is_none) {
            return self;
        }
        let mut value = vec![0];
        for (bit, figure) in told.iter().enumerate() {
            if let Some(figure) = figure {
                value[0] |= 1 << bit;
                value.extend_from_slice(&figure.to_le_bytes());
            }
        }
        self.bytes(LOAD, &value)
    }
}

pub(crate) fn leb(out: &mut Vec<u8>, mut value: u64) {
    while value >= 128 {
        out.push(value as u8 | 128);
        value >>= 7;
    }
    out.push(value as u8);
}

impl Message {
    /// Appends the frame with its length. A frame that would be over [`MAX_FRAME`] is the sender's mistake:
    /// lists are cut into pieces before.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&[0; 5]);
        let mut to = Writer(out);
        let kind = put(&self.frame, &mut to);
        for extra in &self.extra {
            to.bytes(extra.tag, &extra.value);
        }
        let length = out.len() - start - 4;
        debug_assert!(
            length <= MAX_FRAME,
            "a {} frame of {length} bytes",
            kind_name(kind).unwrap_or_default()
        );
        out[start..start + 4].copy_from_slice(&(length as u32).to_be_bytes());
        out[start + 4] = kind;
    }
}

fn put(frame: &Frame, to: &mut Writer) -> u8 {
    match frame {
        Frame::Hello(hello) => {
            to.whole(PROTOCOL, hello.version.into()).whole(ROLE, hello.role as u64).text(NAME, &hello.name);
            if let Some(sent_at) = hello.sent_at {
                to.time(SENT_AT, sent_at);
            }
            HELLO
        }
        Frame::Ping { nonce } => {
            to.whole(NONCE, *nonce);
            PING
        }
        Frame::Pong { nonce } => {
            to.whole(NONCE, *nonce);
            PONG
        }
        Frame::Bye { why } => {
            to.text(NAME, why);
            BYE
        }
        Frame::Dial(dial) => {
            to.text(DIALOGUE, &dial.dialogue.0).whole(PRODUCT, dial.product.into());
            if let Some(key) = &dial.key {
                to.text(KEY, &key.0);
            }
            if let Some(tenant) = dial.tenant {
                to.whole(TENANT, tenant.into());
            }
            if let Some(first) = &dial.try_of {
                to.text(TRY_OF, &first.0);
            }
            if let Some(sent_at) = dial.sent_at {
                to.time(SENT_AT, sent_at);
            }
            if let Some(dialled) = &dial.dialled {
                to.text(CALLED, dialled);
            }
            to.whole(NUMBER, dial.first_choice.0 as u64).real(WIDTH, dial.width).time(TIME, dial.time_left);
            let flags = [dial.is_retry, dial.redialled_after_cut, dial.is_repeat];
            to.whole(FLAGS, flags.iter().enumerate().map(|(bit, set)| u64::from(*set) << bit).sum());
            DIAL
        }
        Frame::HangUp { dialogue } => {
            to.text(DIALOGUE, &dialogue.0);
            HANG_UP
        }
        Frame::Stands { dialogue, server } => {
            to.text(DIALOGUE, &dialogue.0).text(SERVER, &server.0);
            STANDS
        }
        Frame::Refused { dialogue, retry_after: come_back } => {
            to.text(DIALOGUE, &dialogue.0);
            if let Some(come_back) = come_back {
                to.time(TIME, *come_back);
            }
            REFUSED
        }
        Frame::Failed { dialogue } => {
            to.text(DIALOGUE, &dialogue.0);
            FAILED
        }
        Frame::Declined { dialogue, why, retry_after: come_back } => {
            to.text(DIALOGUE, &dialogue.0).whole(WHY, *why as u64);
            if let Some(come_back) = come_back {
                to.time(TIME, *come_back);
            }
            DECLINED
        }
        Frame::Over { dialogue, end } => {
            to.text(DIALOGUE, &dialogue.0).whole(WHY, *end as u64);
            OVER
        }
        Frame::Launch(launch) => {
            to.launch(&launch.dialogue, launch.launch).whole(PRODUCT, launch.product.into());
            if let Some(key) = &launch.key {
                to.text(KEY, &key.0);
            }
            if let Some(number) = &launch.number {
                to.text(CALLED, number);
            }
            if let Some(routing) = &launch.routing {
                to.text(ROUTING, routing);
            }
            to.real(WIDTH, launch.width).time(TIME, launch.time_left);
            if let Some(owner) = &launch.owner {
                to.bytes(OWNER, &member_codec::owner_bytes(owner));
            }
            LAUNCH
        }
        Frame::Cancel { dialogue, launch } => {
            to.launch(dialogue, *launch);
            CANCEL
        }
        Frame::Release { dialogue, launch } => {
            to.launch(dialogue, *launch);
            RELEASE
        }
        Frame::Stood { dialogue, launch, report } => {
            to.launch(dialogue, *launch).report(report);
            STOOD
        }
        Frame::TurnedBack { dialogue, launch, cause, report } => {
            to.launch(dialogue, *launch).whole(WHY, *cause as u64).report(report);
            TURNED_BACK
        }
        Frame::BrokenOff { dialogue, launch, report } => {
            to.launch(dialogue, *launch).report(report);
            BROKEN_OFF
        }
        Frame::Ended { dialogue, launch, end, report } => {
            to.launch(dialogue, *launch).whole(WHY, *end as u64).report(report);
            ENDED
        }
        Frame::Report { report } => {
            to.report(report);
            REPORT
        }
        Frame::List { is_complete: whole, entries } => {
            to.whole(FLAGS, (*whole).into());
            for entry in entries {
                let mut nested = Vec::new();
                let mut into = Writer(&mut nested);
                into.text(SERVER, &entry.server.0).text(ADDRESS, &entry.address);
                into.whole(NUMBER, entry.number.0 as u64).whole(WHY, entry.state as u64);
                into.whole(LIFE, entry.incarnation).time(TIME, entry.age);
                to.bytes(ENTRY, &nested);
            }
            LIST
        }
        Frame::Tables { serial, order } => {
            to.whole(SERIAL, *serial);
            put_order(order, to);
            TABLES
        }
        Frame::TablesResult { serial, in_force, name, why } => {
            to.whole(SERIAL, *serial).whole(OF, *in_force);
            if let Some(name) = name {
                to.text(NAME, name);
            }
            if let Some(why) = why {
                to.text(CALLED, why);
            }
            TABLED
        }
        Frame::PeerMessage(peer) => member_codec::put_peer(peer, to),
        Frame::AuditMessage(audit) => member_codec::put_audit(audit, to),
    }
}

/// The fields of one frame; each is taken out once.
pub(crate) struct Fields<'a> {
    frame: &'static str,
    fields: Vec<(u8, &'a [u8])>,
    /// Those before this one were looked at by `take_in_order`.
    next: usize,
}

/// Stands in the place of a field that was taken in order. No field has it.
const DONE: u8 = 0;

impl<'a> Fields<'a> {
    pub fn read(frame: &'static str, body: &'a [u8]) -> Result<Self, TrunkError> {
        let (mut fields, mut at) = (Vec::new(), 0);
        while at < body.len() {
            let short = TrunkError::CutShort { frame, at };
            let (tag, mut place, mut length, mut shift) = (body[at], at + 1, 0usize, 0);
            loop {
                let byte = *body.get(place).ok_or(short.clone())?;
                length |= usize::from(byte & 127) << shift;
                (place, shift) = (place + 1, shift + 7);
                if byte & 128 == 0 {
                    break;
                }
                if shift > 21 {
                    return Err(short);
                }
            }
            let value = body.get(place..place + length).ok_or(short)?;
            if tag == DONE {
                return Err(TrunkError::Tag { frame, tag });
            }
            if tag != ENTRY && tag < OPTIONAL && fields.iter().any(|(t, _)| *t == tag) {
                return Err(TrunkError::Twice { frame, tag });
            }
            fields.push((tag, value));
            at = place + length;
        }
        Ok(Self { frame, fields, next: 0 })
    }

    pub fn wrong(&self, tag: u8, what: &'static str) -> TrunkError {
        TrunkError::Value { frame: self.frame, tag, problem: what }
    }

    pub fn take(&mut self, tag: u8) -> Option<&'a [u8]> {
        let place = self.fields.iter().position(|(t, _)| *t == tag)?;
        Some(self.fields.remove(place).1)
    }

    /// The next of many of one tag. They are taken from the front, and a list of them costs no more than its length.
    pub fn take_in_order(&mut self, tag: u8) -> Option<&'a [u8]> {
        let place = self.fields[self.next..].iter().position(|(t, _)| *t == tag)? + self.next;
        self.next = place + 1;
        let value = self.fields[place].1;
        self.fields[place].0 = DONE;
        Some(value)
    }

    pub fn maybe<T>(
        &mut self, tag: u8, read: impl Fn(&'a [u8]) -> Result<T, &'static str>,
    ) -> Result<Option<T>, TrunkError> {
        let value = self.take(tag);
        value.map(read).transpose().map_err(|what| self.wrong(tag, what))
    }

    pub fn need<T>(
        &mut self, tag: u8, read: impl Fn(&'a [u8]) -> Result<T, &'static str>,
    ) -> Result<T, TrunkError> {
        self.maybe(tag, read)?.ok_or(TrunkError::Missing { frame: self.frame, tag })
    }

    pub fn dialogue(&mut self) -> Result<DialogueId, TrunkError> {
        self.need(DIALOGUE, text).map(DialogueId)
    }

    pub fn launch(&mut self) -> Result<LaunchNumber, TrunkError> {
        self.need(LAUNCH_NO, small).map(LaunchNumber)
    }

    fn report(&mut self) -> Result<LoadReport, TrunkError> {
        Ok(self.maybe(LOAD, report)?.unwrap_or_default())
    }

    /// What is left must be optional.
    pub fn rest(mut self) -> Result<Vec<Extra>, TrunkError> {
        let frame = self.frame;
        if let Some((tag, _)) = self.fields.iter().find(|(tag, _)| *tag != DONE && *tag < OPTIONAL) {
            return Err(TrunkError::Tag { frame, tag: *tag });
        }
        // A caller must not speak for the edge proxy that passes its fields on.
        self.fields.retain(|(tag, _)| *tag > KNOWN_TO);
        if self.fields.iter().map(|(_, value)| value.len() + 1).sum::<usize>() > MAX_EXTRA {
            return Err(TrunkError::Extra { frame });
        }
        Ok(self.fields.into_iter().map(|(tag, value)| Extra { tag, value: value.to_vec() }).collect())
    }
}

pub(crate) fn text(raw: &[u8]) -> Result<Arc<str>, &'static str> {
    let text = std::str::from_utf8(raw).map_err(|_| "is no UTF-8")?;
    match text.len() {
        0 => Err("is empty"),
        n if n > MAX_TEXT => Err("is too long"),
        _ if text.chars().any(char::is_control) => Err("has control characters"),
        _ => Ok(Arc::from(text)),
    }
}

pub(crate) fn whole(raw: &[u8]) -> Result<u64, &'static str> {
    let mut all = [0; 8];
    all.get_mut(..raw.len()).ok_or("is over 64 bits")?.copy_from_slice(raw);
    Ok(u64::from_le_bytes(all))
}

pub(crate) fn small<T: TryFrom<u64>>(raw: &[u8]) -> Result<T, &'static str> {
    T::try_from(whole(raw)?).map_err(|_| "is too large")
}

pub(crate) fn time(raw: &[u8]) -> Result<Duration, &'static str> {
    Some(whole(raw)?).filter(|t| *t <= MAX_MICROS).map(Duration::from_micros).ok_or("is too long a time")
}

fn real(raw: &[u8]) -> Result<f64, &'static str> {
    let value = f64::from_le_bytes(raw.try_into().map_err(|_| "has not 8 bytes")?);
    Some(value).filter(|v| v.is_finite() && *v >= 0.0).ok_or("is no figure")
}

fn report(raw: &[u8]) -> Result<LoadReport, &'static str> {
    let (bits, mut figures) = raw.split_first().ok_or("is empty")?;
    let mut told = [None; 6];
    for (bit, figure) in told.iter_mut().enumerate() {
        if bits & (1 << bit) != 0 {
            let (value, rest) = figures.split_at_checked(8).ok_or("is cut short")?;
            (*figure, figures) = (Some(real(value)?), rest);
        }
    }
    if *bits >= 1 << 6 || !figures.is_empty() {
        return Err("has more than is known");
    }
    let [free_lines, lines, busy, queue, wait, rate] = told;
    let wait =
        wait.map(|w| Duration::try_from_secs_f64(w).ok().filter(|w| w.as_micros() < MAX_MICROS.into()));
    let wait = wait.map(|w| w.ok_or("is too long a time")).transpose()?;
    Ok(LoadReport {
        free_lines,
        total_lines: lines,
        processor_busy: busy,
        processor_queue: queue,
        processor_wait: wait,
        rate,
    })
}

fn one_of<T: Copy>(all: &'static [T]) -> impl Fn(&[u8]) -> Result<T, &'static str> {
    move |raw| all.get(usize::try_from(whole(raw)?).unwrap_or(usize::MAX)).copied().ok_or("is not known")
}

const ROLES: &[Role] = &[Role::Caller, Role::Edge, Role::Core, Role::List];
const NOT_TAKEN: &[DeclineReason] = &[
    DeclineReason::Full,
    DeclineReason::Concluded,
    DeclineReason::NotYours,
    DeclineReason::Unknown,
    DeclineReason::NotReady,
    DeclineReason::Unsure,
];
const CAUSES: &[TurnBackCause] =
    &[TurnBackCause::Processor, TurnBackCause::Lines, TurnBackCause::NumberBusy, TurnBackCause::Fault];
const ENDS: &[DialogueEnd] = &[DialogueEnd::Released, DialogueEnd::Cut];
const LISTED: &[ServerState] = &[ServerState::Active, ServerState::Draining, ServerState::Gone];

fn entry(frame: &'static str, raw: &[u8]) -> Result<Entry, TrunkError> {
    let mut f = Fields::read(frame, raw)?;
    let entry = Entry {
        server: f.need(SERVER, text).map(ServerId)?,
        number: f.need(NUMBER, whole).map(|n| ServerNumber(n as i64))?,
        address: f.need(ADDRESS, text)?,
        state: f.need(WHY, one_of(LISTED))?,
        incarnation: f.need(LIFE, whole)?,
        age: f.need(TIME, time)?,
    };
    f.rest()?;
    Ok(entry)
}

/// Reads the frame after its length.
fn decode(raw: &[u8]) -> Result<Message, TrunkError> {
    let (kind, body) = raw.split_first().ok_or(TrunkError::Empty)?;
    let name = kind_name(*kind).ok_or(TrunkError::Kind(*kind))?;
    let mut f = Fields::read(name, body)?;
    let frame = match *kind {
        HELLO => Frame::Hello(Hello {
            version: f.need(PROTOCOL, small)?,
            role: f.need(ROLE, one_of(ROLES))?,
            name: f.need(NAME, text)?,
            sent_at: f.maybe(SENT_AT, time)?,
        }),
        PING => Frame::Ping { nonce: f.need(NONCE, whole)? },
        PONG => Frame::Pong { nonce: f.need(NONCE, whole)? },
        BYE => Frame::Bye { why: f.need(NAME, text)? },
        DIAL => {
            let flags: u8 = f.need(FLAGS, small)?;
            Frame::Dial(Dial {
                dialogue: f.dialogue()?,
                key: f.maybe(KEY, text)?.map(DialledKey),
                product: f.need(PRODUCT, small)?,
                tenant: f.maybe(TENANT, small)?,
                first_choice: f.need(NUMBER, whole).map(|n| ServerNumber(n as i64))?,
                width: f.need(WIDTH, real)?,
                time_left: f.need(TIME, time)?,
                is_retry: flags & 1 != 0,
                redialled_after_cut: flags & 2 != 0,
                is_repeat: flags & 4 != 0,
                sent_at: f.maybe(SENT_AT, time)?,
                try_of: f.maybe(TRY_OF, text)?.map(DialogueId),
                dialled: f.maybe(CALLED, text)?,
            })
        }
        HANG_UP => Frame::HangUp { dialogue: f.dialogue()? },
        STANDS => Frame::Stands { dialogue: f.dialogue()?, server: f.need(SERVER, text).map(ServerId)? },
        REFUSED => Frame::Refused { dialogue: f.dialogue()?, retry_after: f.maybe(TIME, time)? },
        FAILED => Frame::Failed { dialogue: f.dialogue()? },
        DECLINED => Frame::Declined {
            dialogue: f.dialogue()?,
            why: f.need(WHY, one_of(NOT_TAKEN))?,
            retry_after: f.maybe(TIME, time)?,
        },
        OVER => Frame::Over { dialogue: f.dialogue()?, end: f.need(WHY, one_of(ENDS))? },
        LAUNCH => Frame::Launch(Launch {
            dialogue: f.dialogue()?,
            launch: f.launch()?,
            key: f.maybe(KEY, text)?.map(DialledKey),
            product: f.need(PRODUCT, small)?,
            width: f.need(WIDTH, real)?,
            time_left: f.need(TIME, time)?,
            number: f.maybe(CALLED, text)?,
            routing: f.maybe(ROUTING, text)?,
            owner: f.maybe(OWNER, member_codec::owner)?,
        }),
        CANCEL => Frame::Cancel { dialogue: f.dialogue()?, launch: f.launch()? },
        RELEASE => Frame::Release { dialogue: f.dialogue()?, launch: f.launch()? },
        STOOD => Frame::Stood { dialogue: f.dialogue()?, launch: f.launch()?, report: f.report()? },
        TURNED_BACK => Frame::TurnedBack {
            dialogue: f.dialogue()?,
            launch: f.launch()?,
            cause: f.need(WHY, one_of(CAUSES))?,
            report: f.report()?,
        },
        BROKEN_OFF => Frame::BrokenOff { dialogue: f.dialogue()?, launch: f.launch()?, report: f.report()? },
        ENDED => Frame::Ended {
            dialogue: f.dialogue()?,
            launch: f.launch()?,
            end: f.need(WHY, one_of(ENDS))?,
            report: f.report()?,
        },
        REPORT => Frame::Report { report: f.report()? },
        LIST => {
            let whole = f.need(FLAGS, small::<u8>)? == 1;
            let mut entries = Vec::new();
            while let Some(raw) = f.take(ENTRY) {
                entries.push(entry(name, raw)?);
            }
            Frame::List { is_complete: whole, entries }
        }
        TABLES => {
            let serial = f.need(SERIAL, whole)?;
            Frame::Tables { serial, order: order(&mut f)? }
        }
        TABLED => Frame::TablesResult {
            serial: f.need(SERIAL, whole)?,
            in_force: f.need(OF, whole)?,
            name: f.maybe(NAME, text)?,
            why: f.maybe(CALLED, text)?,
        },
        AUDIT.. => Frame::AuditMessage(member_codec::audit(*kind, &mut f)?),
        PEER.. => Frame::PeerMessage(member_codec::peer(*kind, &mut f)?),
        other => return Err(TrunkError::Kind(other)),
    };
    Ok(Message { frame, extra: f.rest()? })
}

/// Takes bytes in whatever pieces they come and gives frames. After an error it gives nothing more: where the
/// next frame begins is not known.
#[derive(Default)]
pub struct Decoder {
    held: Vec<u8>,
    read: usize,
    broken: bool,
}

impl Decoder {
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.read > 0 && (self.read == self.held.len() || self.read >= MAX_FRAME) {
            self.held.drain(..self.read);
            self.read = 0;
        }
        if !self.broken {
            self.held.extend_from_slice(bytes);
        }
    }

    /// Bytes held of a frame that is not whole yet.
    pub fn pending(&self) -> usize {
        self.held.len() - self.read
    }

    pub fn next_frame(&mut self) -> Option<Result<Message, TrunkError>> {
        let held = &self.held[self.read..];
        let length = u32::from_be_bytes(held.get(..4)?.try_into().expect("four bytes")) as usize;
        if self.broken {
            return None;
        }
        let message = if length > MAX_FRAME {
            Err(TrunkError::TooLong(length))
        } else {
            let whole = held.get(4..4 + length)?;
            self.read += 4 + length;
            decode(whole)
        };
        self.broken = message.is_err();
        Some(message)
    }
}

pub(crate) fn put_order(order: &TablesOrder, to: &mut Writer) {
    match order {
        TablesOrder::Load { name } => to.whole(WHY, 0).text(NAME, name),
        TablesOrder::Swap { name, after } => to.whole(WHY, 1).text(NAME, name).time(TIME, *after),
        TablesOrder::Undo { of, to: name } => {
            if let Some(name) = name {
                to.text(NAME, name);
            }
            to.whole(WHY, 2).whole(OF, *of)
        }
        TablesOrder::Drop { of } => to.whole(WHY, 3).whole(OF, *of),
    };
}

pub(crate) fn order(f: &mut Fields) -> Result<TablesOrder, TrunkError> {
    Ok(match f.need(WHY, whole)? {
        0 => TablesOrder::Load { name: f.need(NAME, text)? },
        1 => TablesOrder::Swap { name: f.need(NAME, text)?, after: f.need(TIME, time)? },
        2 => TablesOrder::Undo { of: f.need(OF, whole)?, to: f.maybe(NAME, text)? },
        3 => TablesOrder::Drop { of: f.need(OF, whole)? },
        _ => return Err(f.wrong(WHY, "is not known")),
    })
}
