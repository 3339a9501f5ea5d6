//! The binary codec of frames. The memory for a received frame is bounded by its stated length, and an error names the
//! frame, the field and the problem.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{
    DialledKey, DialogueId, LaunchNumber, LoadReport, ServerId, ServerNumber, ServerState,
};
use thiserror::Error;

use crate::frame::*;
use crate::member_codec;

/// Protocol version of this build. A peer with another version is notified and its link is closed.
pub const VERSION: u16 = 1;
/// Maximum bytes of a frame after its length.
pub const MAX_FRAME: usize = 64 * 1024;
/// Maximum bytes of an id, key, name or address.
pub const MAX_TEXT: usize = 128;
/// Maximum bytes of all unknown optional fields of a frame.
pub const MAX_EXTRA: usize = 256;
/// Longer times (over about 11 days) are rejected, so that sums of a few times never overflow.
const MAX_MICROS: u64 = 1_000_000_000_000;
/// Lowest tag of optional fields. A reader accepts an unknown tag from here on and rejects a lower one.
const FIRST_OPTIONAL_TAG: u8 = 128;

/// Why received bytes are not a valid frame.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TrunkError {
    /// The stated length exceeds [`MAX_FRAME`].
    #[error("frame of {0} bytes exceeds the maximum of {MAX_FRAME}")]
    TooLong(usize),
    /// The stated length is zero.
    #[error("empty frame")]
    Empty,
    /// No frame has this kind.
    #[error("unknown frame kind {0}")]
    UnknownKind(u8),
    /// A field extends beyond the end of the frame.
    #[error("{frame}: the field at byte {at} is truncated")]
    Truncated { frame: &'static str, at: usize },
    /// A mandatory field that the frame does not have.
    #[error("{frame}: unknown field {tag}")]
    UnknownField { frame: &'static str, tag: u8 },
    /// A field that may occur only once is repeated.
    #[error("{frame}: field {tag} is repeated")]
    RepeatedField { frame: &'static str, tag: u8 },
    /// A required field is missing.
    #[error("{frame}: field {tag} is missing")]
    MissingField { frame: &'static str, tag: u8 },
    /// A field has an invalid value.
    #[error("{frame}: field {tag} {problem}")]
    InvalidValue { frame: &'static str, tag: u8, problem: &'static str },
    /// The unknown optional fields exceed [`MAX_EXTRA`].
    #[error("{frame}: more than {MAX_EXTRA} bytes of unknown optional fields")]
    TooManyExtraBytes { frame: &'static str },
}

// Frame kinds on the wire. A number is never reused for another frame.
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
const TABLES_RESULT: u8 = 50;
/// Lowest kind of messages between members.
pub(crate) const FIRST_PEER_KIND: u8 = 64;
/// Lowest kind of messages between members and core servers.
pub(crate) const FIRST_AUDIT_KIND: u8 = 96;

/// The name of a frame kind, as in traffic records.
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
        TABLES_RESULT => "tabled",
        FIRST_PEER_KIND.. => return member_codec::kind_name(kind),
        _ => return None,
    })
}

// Field tags. A tag has the same meaning in all frames.
pub(crate) const DIALOGUE: u8 = 1;
pub(crate) const LAUNCH_NUMBER: u8 = 2;
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
pub(crate) const INCARNATION: u8 = 20;
const SENT_AT: u8 = 21;
pub(crate) const SERIAL: u8 = 22;
const REFERRED_SERIAL: u8 = 23;
pub(crate) const CALLED: u8 = 24;
const ROUTING: u8 = 25;
// Tags from 26 on are defined in `member_codec`.
// Optional tags from 128 to `LAST_RESERVED_OPTIONAL_TAG` are reserved for fields of this version and are never
// forwarded.
pub(crate) const OWNER: u8 = 128;
const LAST_RESERVED_OPTIONAL_TAG: u8 = 143;

/// Appends fields to a buffer.
pub(crate) struct Writer<'a>(pub &'a mut Vec<u8>);

impl Writer<'_> {
    pub fn bytes(&mut self, tag: u8, value: &[u8]) -> &mut Self {
        self.0.push(tag);
        write_leb128(self.0, value.len() as u64);
        self.0.extend_from_slice(value);
        self
    }

    pub fn text(&mut self, tag: u8, text: &str) -> &mut Self {
        self.bytes(tag, text.as_bytes())
    }

    /// Writes a little-endian integer without its leading zero bytes.
    pub fn integer(&mut self, tag: u8, value: u64) -> &mut Self {
        let raw = value.to_le_bytes();
        let used = 8 - value.leading_zeros() as usize / 8;
        self.bytes(tag, &raw[..used])
    }

    pub fn time(&mut self, tag: u8, time: Duration) -> &mut Self {
        self.integer(tag, (time.as_micros() as u64).min(MAX_MICROS))
    }

    fn float(&mut self, tag: u8, value: f64) -> &mut Self {
        self.bytes(tag, &value.to_le_bytes())
    }

    fn launch(&mut self, dialogue: &DialogueId, launch: LaunchNumber) -> &mut Self {
        self.text(DIALOGUE, &dialogue.0).integer(LAUNCH_NUMBER, launch.0.into())
    }

    /// Writes a bit mask of the figures present, followed by these figures. A report without figures is left out.
    fn report(&mut self, report: &LoadReport) -> &mut Self {
        let wait = report.processor_wait.map(|w| w.as_secs_f64());
        let figures = [
            report.free_lines,
            report.total_lines,
            report.processor_busy,
            report.processor_queue,
            wait,
            report.rate,
        ];
        if figures.iter().all(Option::is_none) {
            return self;
        }
        let mut value = vec![0];
        for (bit, figure) in figures.iter().enumerate() {
            if let Some(figure) = figure {
                value[0] |= 1 << bit;
                value.extend_from_slice(&figure.to_le_bytes());
            }
        }
        self.bytes(LOAD, &value)
    }
}

pub(crate) fn write_leb128(out: &mut Vec<u8>, mut value: u64) {
    while value >= 128 {
        out.push(value as u8 | 128);
        value >>= 7;
    }
    out.push(value as u8);
}

impl Message {
    /// Appends the frame with its length. The sender splits long lists beforehand, so that no frame exceeds
    /// [`MAX_FRAME`].
    pub fn encode(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&[0; 5]);
        let mut to = Writer(out);
        let kind = write_frame(&self.frame, &mut to);
        for extra in &self.extra {
            to.bytes(extra.tag, &extra.value);
        }
        let length = out.len() - start - 4;
        debug_assert!(
            length <= MAX_FRAME,
            "{} frame of {length} bytes exceeds the maximum",
            kind_name(kind).unwrap_or_default()
        );
        out[start..start + 4].copy_from_slice(&(length as u32).to_be_bytes());
        out[start + 4] = kind;
    }
}

/// Writes the fields of a frame and returns its kind.
fn write_frame(frame: &Frame, to: &mut Writer) -> u8 {
    match frame {
        Frame::Hello(hello) => {
            to.integer(PROTOCOL, hello.version.into())
                .integer(ROLE, hello.role as u64)
                .text(NAME, &hello.name);
            if let Some(sent_at) = hello.sent_at {
                to.time(SENT_AT, sent_at);
            }
            HELLO
        }
        Frame::Ping { nonce } => {
            to.integer(NONCE, *nonce);
            PING
        }
        Frame::Pong { nonce } => {
            to.integer(NONCE, *nonce);
            PONG
        }
        Frame::Bye { why } => {
            to.text(NAME, why);
            BYE
        }
        Frame::Dial(dial) => {
            to.text(DIALOGUE, &dial.dialogue.0).integer(PRODUCT, dial.product.into());
            if let Some(key) = &dial.key {
                to.text(KEY, &key.0);
            }
            if let Some(tenant) = dial.tenant {
                to.integer(TENANT, tenant.into());
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
            to.integer(NUMBER, dial.first_choice.0 as u64)
                .float(WIDTH, dial.width)
                .time(TIME, dial.time_left);
            let flags = [dial.is_retry, dial.redialled_after_cut, dial.is_repeat];
            to.integer(FLAGS, flags.iter().enumerate().map(|(bit, set)| u64::from(*set) << bit).sum());
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
        Frame::Refused { dialogue, retry_after } => {
            to.text(DIALOGUE, &dialogue.0);
            if let Some(retry_after) = retry_after {
                to.time(TIME, *retry_after);
            }
            REFUSED
        }
        Frame::Failed { dialogue } => {
            to.text(DIALOGUE, &dialogue.0);
            FAILED
        }
        Frame::Declined { dialogue, why, retry_after } => {
            to.text(DIALOGUE, &dialogue.0).integer(WHY, *why as u64);
            if let Some(retry_after) = retry_after {
                to.time(TIME, *retry_after);
            }
            DECLINED
        }
        Frame::Over { dialogue, end } => {
            to.text(DIALOGUE, &dialogue.0).integer(WHY, *end as u64);
            OVER
        }
        Frame::Launch(launch) => {
            to.launch(&launch.dialogue, launch.launch).integer(PRODUCT, launch.product.into());
            if let Some(key) = &launch.key {
                to.text(KEY, &key.0);
            }
            if let Some(number) = &launch.number {
                to.text(CALLED, number);
            }
            if let Some(routing) = &launch.routing {
                to.text(ROUTING, routing);
            }
            to.float(WIDTH, launch.width).time(TIME, launch.time_left);
            if let Some(owner) = &launch.owner {
                to.bytes(OWNER, &member_codec::encode_owner(owner));
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
            to.launch(dialogue, *launch).integer(WHY, *cause as u64).report(report);
            TURNED_BACK
        }
        Frame::BrokenOff { dialogue, launch, report } => {
            to.launch(dialogue, *launch).report(report);
            BROKEN_OFF
        }
        Frame::Ended { dialogue, launch, end, report } => {
            to.launch(dialogue, *launch).integer(WHY, *end as u64).report(report);
            ENDED
        }
        Frame::Report { report } => {
            to.report(report);
            REPORT
        }
        Frame::List { is_complete, entries } => {
            to.integer(FLAGS, (*is_complete).into());
            for entry in entries {
                let mut nested = Vec::new();
                let mut into = Writer(&mut nested);
                into.text(SERVER, &entry.server.0).text(ADDRESS, &entry.address);
                into.integer(NUMBER, entry.number.0 as u64).integer(WHY, entry.state as u64);
                into.integer(INCARNATION, entry.incarnation).time(TIME, entry.age);
                to.bytes(ENTRY, &nested);
            }
            LIST
        }
        Frame::Tables { serial, order } => {
            to.integer(SERIAL, *serial);
            write_order(order, to);
            TABLES
        }
        Frame::TablesResult { serial, in_force, name, why } => {
            to.integer(SERIAL, *serial).integer(REFERRED_SERIAL, *in_force);
            if let Some(name) = name {
                to.text(NAME, name);
            }
            if let Some(why) = why {
                to.text(CALLED, why);
            }
            TABLES_RESULT
        }
        Frame::PeerMessage(message) => member_codec::write_peer_message(message, to),
        Frame::AuditMessage(message) => member_codec::write_audit_message(message, to),
    }
}

/// The fields of a received frame, which are removed as they are read.
pub(crate) struct Fields<'a> {
    frame: &'static str,
    fields: Vec<(u8, &'a [u8])>,
    /// Index at which `take_in_order` continues.
    next_in_order: usize,
}

/// Marks a field that `take_in_order` has returned, in place of its tag; no field on the wire may have this tag.
const TAKEN_TAG: u8 = 0;

impl<'a> Fields<'a> {
    pub fn read(frame: &'static str, body: &'a [u8]) -> Result<Self, TrunkError> {
        let (mut fields, mut at) = (Vec::new(), 0);
        while at < body.len() {
            let truncated = TrunkError::Truncated { frame, at };
            let (tag, mut place, mut length, mut shift) = (body[at], at + 1, 0usize, 0);
            loop {
                let byte = *body.get(place).ok_or(truncated.clone())?;
                length |= usize::from(byte & 127) << shift;
                (place, shift) = (place + 1, shift + 7);
                if byte & 128 == 0 {
                    break;
                }
                if shift > 21 {
                    return Err(truncated);
                }
            }
            let value = body.get(place..place + length).ok_or(truncated)?;
            if tag == TAKEN_TAG {
                return Err(TrunkError::UnknownField { frame, tag });
            }
            if tag != ENTRY && tag < FIRST_OPTIONAL_TAG && fields.iter().any(|(t, _)| *t == tag) {
                return Err(TrunkError::RepeatedField { frame, tag });
            }
            fields.push((tag, value));
            at = place + length;
        }
        Ok(Self { frame, fields, next_in_order: 0 })
    }

    pub fn invalid(&self, tag: u8, problem: &'static str) -> TrunkError {
        TrunkError::InvalidValue { frame: self.frame, tag, problem }
    }

    pub fn take(&mut self, tag: u8) -> Option<&'a [u8]> {
        let place = self.fields.iter().position(|(t, _)| *t == tag)?;
        Some(self.fields.remove(place).1)
    }

    /// Takes the next of several fields with this tag, in order. Reading a list takes time linear in the number of
    /// fields.
    pub fn take_in_order(&mut self, tag: u8) -> Option<&'a [u8]> {
        let place =
            self.fields[self.next_in_order..].iter().position(|(t, _)| *t == tag)? + self.next_in_order;
        self.next_in_order = place + 1;
        let value = self.fields[place].1;
        self.fields[place].0 = TAKEN_TAG;
        Some(value)
    }

    pub fn optional<T>(
        &mut self, tag: u8, read: impl Fn(&'a [u8]) -> Result<T, &'static str>,
    ) -> Result<Option<T>, TrunkError> {
        let value = self.take(tag);
        value.map(read).transpose().map_err(|problem| self.invalid(tag, problem))
    }

    pub fn required<T>(
        &mut self, tag: u8, read: impl Fn(&'a [u8]) -> Result<T, &'static str>,
    ) -> Result<T, TrunkError> {
        self.optional(tag, read)?.ok_or(TrunkError::MissingField { frame: self.frame, tag })
    }

    pub fn dialogue(&mut self) -> Result<DialogueId, TrunkError> {
        self.required(DIALOGUE, read_text).map(DialogueId)
    }

    pub fn launch(&mut self) -> Result<LaunchNumber, TrunkError> {
        self.required(LAUNCH_NUMBER, read_integer).map(LaunchNumber)
    }

    fn report(&mut self) -> Result<LoadReport, TrunkError> {
        Ok(self.optional(LOAD, read_report)?.unwrap_or_default())
    }

    /// Returns the remaining fields; fails if one of them is not optional.
    pub fn finish(mut self) -> Result<Vec<Extra>, TrunkError> {
        let frame = self.frame;
        if let Some((tag, _)) =
            self.fields.iter().find(|(tag, _)| *tag != TAKEN_TAG && *tag < FIRST_OPTIONAL_TAG)
        {
            return Err(TrunkError::UnknownField { frame, tag: *tag });
        }
        // Reserved tags are not forwarded, so that a caller cannot pass off its fields as the edge proxy's.
        self.fields.retain(|(tag, _)| *tag > LAST_RESERVED_OPTIONAL_TAG);
        if self.fields.iter().map(|(_, value)| value.len() + 1).sum::<usize>() > MAX_EXTRA {
            return Err(TrunkError::TooManyExtraBytes { frame });
        }
        Ok(self.fields.into_iter().map(|(tag, value)| Extra { tag, value: value.to_vec() }).collect())
    }
}

/// Reads a non-empty text of at most [`MAX_TEXT`] bytes without control characters.
pub(crate) fn read_text(raw: &[u8]) -> Result<Arc<str>, &'static str> {
    let text = std::str::from_utf8(raw).map_err(|_| "is not valid UTF-8")?;
    match text.len() {
        0 => Err("is empty"),
        n if n > MAX_TEXT => Err("is too long"),
        _ if text.chars().any(char::is_control) => Err("contains control characters"),
        _ => Ok(Arc::from(text)),
    }
}

/// Reads a little-endian integer of up to 8 bytes.
pub(crate) fn read_u64(raw: &[u8]) -> Result<u64, &'static str> {
    let mut all = [0; 8];
    all.get_mut(..raw.len()).ok_or("is longer than 64 bits")?.copy_from_slice(raw);
    Ok(u64::from_le_bytes(all))
}

pub(crate) fn read_integer<T: TryFrom<u64>>(raw: &[u8]) -> Result<T, &'static str> {
    T::try_from(read_u64(raw)?).map_err(|_| "is too large")
}

pub(crate) fn read_time(raw: &[u8]) -> Result<Duration, &'static str> {
    Some(read_u64(raw)?)
        .filter(|t| *t <= MAX_MICROS)
        .map(Duration::from_micros)
        .ok_or("exceeds the maximum time")
}

fn read_f64(raw: &[u8]) -> Result<f64, &'static str> {
    let value = f64::from_le_bytes(raw.try_into().map_err(|_| "is not 8 bytes long")?);
    Some(value).filter(|v| v.is_finite() && *v >= 0.0).ok_or("is not a finite non-negative number")
}

fn read_report(raw: &[u8]) -> Result<LoadReport, &'static str> {
    let (present, mut encoded) = raw.split_first().ok_or("is empty")?;
    let mut figures = [None; 6];
    for (bit, figure) in figures.iter_mut().enumerate() {
        if present & (1 << bit) != 0 {
            let (value, rest) = encoded.split_at_checked(8).ok_or("is truncated")?;
            (*figure, encoded) = (Some(read_f64(value)?), rest);
        }
    }
    if *present >= 1 << 6 || !encoded.is_empty() {
        return Err("has unknown figures or trailing bytes");
    }
    let [free_lines, lines, busy, queue, wait, rate] = figures;
    let wait =
        wait.map(|w| Duration::try_from_secs_f64(w).ok().filter(|w| w.as_micros() < MAX_MICROS.into()));
    let wait = wait.map(|w| w.ok_or("exceeds the maximum time")).transpose()?;
    Ok(LoadReport {
        free_lines,
        total_lines: lines,
        processor_busy: busy,
        processor_queue: queue,
        processor_wait: wait,
        rate,
    })
}

/// Reads an index into the values of an enum.
fn read_one_of<T: Copy>(all: &'static [T]) -> impl Fn(&[u8]) -> Result<T, &'static str> {
    move |raw| {
        all.get(usize::try_from(read_u64(raw)?).unwrap_or(usize::MAX)).copied().ok_or("has an unknown value")
    }
}

const ROLES: &[Role] = &[Role::Caller, Role::Edge, Role::Core, Role::List];
const DECLINE_REASONS: &[DeclineReason] = &[
    DeclineReason::Full,
    DeclineReason::Concluded,
    DeclineReason::NotYours,
    DeclineReason::Unknown,
    DeclineReason::NotReady,
    DeclineReason::Unsure,
];
const TURN_BACK_CAUSES: &[TurnBackCause] =
    &[TurnBackCause::Processor, TurnBackCause::Lines, TurnBackCause::NumberBusy, TurnBackCause::Fault];
const DIALOGUE_ENDS: &[DialogueEnd] = &[DialogueEnd::Released, DialogueEnd::Cut];
const SERVER_STATES: &[ServerState] = &[ServerState::Active, ServerState::Draining, ServerState::Gone];

fn read_entry(frame: &'static str, raw: &[u8]) -> Result<Entry, TrunkError> {
    let mut f = Fields::read(frame, raw)?;
    let entry = Entry {
        server: f.required(SERVER, read_text).map(ServerId)?,
        number: f.required(NUMBER, read_u64).map(|n| ServerNumber(n as i64))?,
        address: f.required(ADDRESS, read_text)?,
        state: f.required(WHY, read_one_of(SERVER_STATES))?,
        incarnation: f.required(INCARNATION, read_u64)?,
        age: f.required(TIME, read_time)?,
    };
    f.finish()?;
    Ok(entry)
}

/// Decodes a frame without its length.
fn decode(raw: &[u8]) -> Result<Message, TrunkError> {
    let (kind, body) = raw.split_first().ok_or(TrunkError::Empty)?;
    let name = kind_name(*kind).ok_or(TrunkError::UnknownKind(*kind))?;
    let mut f = Fields::read(name, body)?;
    let frame = match *kind {
        HELLO => Frame::Hello(Hello {
            version: f.required(PROTOCOL, read_integer)?,
            role: f.required(ROLE, read_one_of(ROLES))?,
            name: f.required(NAME, read_text)?,
            sent_at: f.optional(SENT_AT, read_time)?,
        }),
        PING => Frame::Ping { nonce: f.required(NONCE, read_u64)? },
        PONG => Frame::Pong { nonce: f.required(NONCE, read_u64)? },
        BYE => Frame::Bye { why: f.required(NAME, read_text)? },
        DIAL => {
            let flags: u8 = f.required(FLAGS, read_integer)?;
            Frame::Dial(Dial {
                dialogue: f.dialogue()?,
                key: f.optional(KEY, read_text)?.map(DialledKey),
                product: f.required(PRODUCT, read_integer)?,
                tenant: f.optional(TENANT, read_integer)?,
                first_choice: f.required(NUMBER, read_u64).map(|n| ServerNumber(n as i64))?,
                width: f.required(WIDTH, read_f64)?,
                time_left: f.required(TIME, read_time)?,
                is_retry: flags & 1 != 0,
                redialled_after_cut: flags & 2 != 0,
                is_repeat: flags & 4 != 0,
                sent_at: f.optional(SENT_AT, read_time)?,
                try_of: f.optional(TRY_OF, read_text)?.map(DialogueId),
                dialled: f.optional(CALLED, read_text)?,
            })
        }
        HANG_UP => Frame::HangUp { dialogue: f.dialogue()? },
        STANDS => {
            Frame::Stands { dialogue: f.dialogue()?, server: f.required(SERVER, read_text).map(ServerId)? }
        }
        REFUSED => Frame::Refused { dialogue: f.dialogue()?, retry_after: f.optional(TIME, read_time)? },
        FAILED => Frame::Failed { dialogue: f.dialogue()? },
        DECLINED => Frame::Declined {
            dialogue: f.dialogue()?,
            why: f.required(WHY, read_one_of(DECLINE_REASONS))?,
            retry_after: f.optional(TIME, read_time)?,
        },
        OVER => Frame::Over { dialogue: f.dialogue()?, end: f.required(WHY, read_one_of(DIALOGUE_ENDS))? },
        LAUNCH => Frame::Launch(Launch {
            dialogue: f.dialogue()?,
            launch: f.launch()?,
            key: f.optional(KEY, read_text)?.map(DialledKey),
            product: f.required(PRODUCT, read_integer)?,
            width: f.required(WIDTH, read_f64)?,
            time_left: f.required(TIME, read_time)?,
            number: f.optional(CALLED, read_text)?,
            routing: f.optional(ROUTING, read_text)?,
            owner: f.optional(OWNER, member_codec::read_owner)?,
        }),
        CANCEL => Frame::Cancel { dialogue: f.dialogue()?, launch: f.launch()? },
        RELEASE => Frame::Release { dialogue: f.dialogue()?, launch: f.launch()? },
        STOOD => Frame::Stood { dialogue: f.dialogue()?, launch: f.launch()?, report: f.report()? },
        TURNED_BACK => Frame::TurnedBack {
            dialogue: f.dialogue()?,
            launch: f.launch()?,
            cause: f.required(WHY, read_one_of(TURN_BACK_CAUSES))?,
            report: f.report()?,
        },
        BROKEN_OFF => Frame::BrokenOff { dialogue: f.dialogue()?, launch: f.launch()?, report: f.report()? },
        ENDED => Frame::Ended {
            dialogue: f.dialogue()?,
            launch: f.launch()?,
            end: f.required(WHY, read_one_of(DIALOGUE_ENDS))?,
            report: f.report()?,
        },
        REPORT => Frame::Report { report: f.report()? },
        LIST => {
            let is_complete = f.required(FLAGS, read_integer::<u8>)? == 1;
            let mut entries = Vec::new();
            while let Some(raw) = f.take(ENTRY) {
                entries.push(read_entry(name, raw)?);
            }
            Frame::List { is_complete, entries }
        }
        TABLES => {
            let serial = f.required(SERIAL, read_u64)?;
            Frame::Tables { serial, order: read_order(&mut f)? }
        }
        TABLES_RESULT => Frame::TablesResult {
            serial: f.required(SERIAL, read_u64)?,
            in_force: f.required(REFERRED_SERIAL, read_u64)?,
            name: f.optional(NAME, read_text)?,
            why: f.optional(CALLED, read_text)?,
        },
        FIRST_AUDIT_KIND.. => Frame::AuditMessage(member_codec::read_audit_message(*kind, &mut f)?),
        FIRST_PEER_KIND.. => Frame::PeerMessage(member_codec::read_peer_message(*kind, &mut f)?),
        other => return Err(TrunkError::UnknownKind(other)),
    };
    Ok(Message { frame, extra: f.finish()? })
}

/// Splits a stream of bytes, received in pieces of any size, into frames. After an error it returns no more frames,
/// since the start of the next frame is unknown.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    consumed: usize,
    has_failed: bool,
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.consumed > 0 && (self.consumed == self.buffer.len() || self.consumed >= MAX_FRAME) {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        if !self.has_failed {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Buffered bytes that have not been returned as frames yet.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.consumed
    }

    /// Returns the next complete frame, or the error that ends the stream.
    pub fn next_frame(&mut self) -> Option<Result<Message, TrunkError>> {
        let unread = &self.buffer[self.consumed..];
        let length = u32::from_be_bytes(unread.get(..4)?.try_into().expect("four bytes")) as usize;
        if self.has_failed {
            return None;
        }
        let message = if length > MAX_FRAME {
            Err(TrunkError::TooLong(length))
        } else {
            let frame = unread.get(4..4 + length)?;
            self.consumed += 4 + length;
            decode(frame)
        };
        self.has_failed = message.is_err();
        Some(message)
    }
}

pub(crate) fn write_order(order: &TablesOrder, to: &mut Writer) {
    match order {
        TablesOrder::Load { name } => to.integer(WHY, 0).text(NAME, name),
        TablesOrder::Swap { name, after } => to.integer(WHY, 1).text(NAME, name).time(TIME, *after),
        TablesOrder::Undo { of, to: name } => {
            if let Some(name) = name {
                to.text(NAME, name);
            }
            to.integer(WHY, 2).integer(REFERRED_SERIAL, *of)
        }
        TablesOrder::Drop { of } => to.integer(WHY, 3).integer(REFERRED_SERIAL, *of),
    };
}

pub(crate) fn read_order(f: &mut Fields) -> Result<TablesOrder, TrunkError> {
    Ok(match f.required(WHY, read_u64)? {
        0 => TablesOrder::Load { name: f.required(NAME, read_text)? },
        1 => TablesOrder::Swap { name: f.required(NAME, read_text)?, after: f.required(TIME, read_time)? },
        2 => {
            TablesOrder::Undo { of: f.required(REFERRED_SERIAL, read_u64)?, to: f.optional(NAME, read_text)? }
        }
        3 => TablesOrder::Drop { of: f.required(REFERRED_SERIAL, read_u64)? },
        _ => return Err(f.invalid(WHY, "has an unknown value")),
    })
}
