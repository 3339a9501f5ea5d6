//! Encoding and decoding of both protocols: JSON lines exchanged with callers, binary messages exchanged with
//! core servers; and the splitting of a byte stream into messages. Invalid input is rejected with a reason
//! and never guessed at.

use std::fmt;

use serde_json::Value;

use crate::json_message::{JsonMessage, Options, Scalar};

/// Maximum length of one message, without its length prefix or line feed.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Length of a binary message's header: type and tag.
const HEADER_BYTES: usize = 9;
/// Length of a parameter's header: code and length of the value.
const PARAMETER_HEADER_BYTES: usize = 3;
/// An empty receive buffer with a larger capacity than this is freed.
const MAX_IDLE_BUFFER_BYTES: usize = 4096;

/// Identifier of a call in both protocols: 16 hexadecimal digits as text, 8 bytes in binary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

impl Tag {
    /// Parses exactly the form that `Display` writes, so that one call has only one textual identifier.
    pub fn parse(text: &str) -> Option<Self> {
        let is_plain = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        is_plain.then(|| u64::from_str_radix(text, 16).ok().map(Self)).flatten()
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Cause codes of the protocol for the end of a call or of a set-up.
pub mod cause {
    /// The call ended normally.
    pub const NORMAL: u8 = 16;
    /// The called number is busy.
    pub const BUSY: u8 = 17;
    /// No capacity: the set-up was turned back.
    pub const FULL: u8 = 34;
    /// The call was cut, or the set-up failed.
    pub const RESET: u8 = 41;
    /// This edge proxy is overloaded or has no time left for the set-up.
    pub const CONGESTION: u8 = 42;
    /// The core server failed to process the set-up.
    pub const ERROR: u8 = 47;
    /// The message is invalid.
    pub const UNUSABLE: u8 = 95;
    /// The core server did not process the set-up; no call was started.
    pub const NOT_PROCESSED: u8 = 102;
}

/// A message from a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerMessage {
    /// A request to set up a call.
    Start(Start),
    /// The caller gives up a set-up or ends a call.
    Finish(Tag),
    /// The caller acknowledges a release.
    Finished(Tag),
    /// A health check.
    Echo(Tag),
    /// A message that needs no action.
    Ignored,
}

/// A set-up request; its values are checked as far as that is possible without the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The call's identifier.
    pub tag: Tag,
    /// Name of the product.
    pub class: String,
    /// Time until the caller gives up, in milliseconds.
    pub time_left_ms: f64,
    /// The caller marks this as a retry.
    pub is_retry: bool,
    /// The called number.
    pub key: Option<String>,
    /// Number of the server that is the first choice; -1 for none.
    pub first_choice: i64,
    /// Lines that the call takes.
    pub width: f64,
    /// The caller dials again after a cut.
    pub redialled_after_cut: bool,
    /// The core server at which the call already stands, if any.
    pub standing_at: Option<String>,
    /// The session description, passed on unchanged.
    pub description: String,
}

/// Why a message is invalid, and the call that it names, if that could be parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidMessage {
    /// The call named by the message; `None` where it could not be parsed.
    pub tag: Option<Tag>,
    /// The reason.
    pub reason: &'static str,
}

/// Parses one line from a caller.
pub fn parse_caller_message(line: &[u8]) -> Result<CallerMessage, InvalidMessage> {
    let unreadable = InvalidMessage { tag: None, reason: "not a message of this protocol" };
    let line: JsonMessage = serde_json::from_slice(line).map_err(|_| unreadable)?;
    let tag = line.tag.as_ref().and_then(Scalar::text).and_then(Tag::parse);
    let invalid = |reason| InvalidMessage { tag, reason };
    let tag =
        tag.ok_or(InvalidMessage { tag: None, reason: "tag is not 16 lower-case hexadecimal digits" })?;
    match &*line.verb {
        "START" => {
            let Some(Scalar::Text(description)) = line.blob else {
                return Err(invalid("missing description"));
            };
            parse_start(tag, &line.opts.unwrap_or_default(), description.into_owned())
                .map_err(invalid)
                .map(CallerMessage::Start)
        }
        "FINISH" => match line.rc.as_ref().map(Scalar::number) {
            Some(Some(rc)) if (0.0..=127.0).contains(&rc) => Ok(CallerMessage::Finish(tag)),
            _ => Err(invalid("missing or invalid cause")),
        },
        "ECHO" => Ok(CallerMessage::Echo(tag)),
        "FINISHED" => Ok(CallerMessage::Finished(tag)),
        "PENDING" | "ECHOED" => Ok(CallerMessage::Ignored),
        _ => Err(invalid("unknown message type")),
    }
}

fn parse_start(tag: Tag, options: &Options, description: String) -> Result<Start, &'static str> {
    if description.is_empty() {
        return Err("missing description");
    }
    let is_plain =
        |text: &str| !text.is_empty() && text.len() <= 64 && text.bytes().all(|b| b.is_ascii_graphic());
    let class = options.class.as_ref().and_then(Scalar::as_text).ok_or("missing class")?;
    let time_left_ms =
        options.left.as_ref().and_then(Scalar::number).filter(|left| (1.0..=1e7).contains(left));
    let is_retry = match options.retry.as_ref().map(Scalar::number) {
        None => false,
        Some(Some(0.0)) => false,
        Some(Some(1.0)) => true,
        Some(_) => return Err("retry is neither 0 nor 1"),
    };
    let key = match &options.key {
        None => None,
        Some(key) => Some(key.as_text().filter(|key| is_plain(key)).ok_or("invalid key")?),
    };
    let mut start = Start {
        tag,
        class,
        time_left_ms: time_left_ms.ok_or("missing or invalid time left")?,
        is_retry,
        key,
        first_choice: -1,
        width: 1.0,
        redialled_after_cut: false,
        standing_at: None,
        description,
    };
    let extras = match &options.extras {
        None => String::new(),
        Some(extras) => extras.as_text().ok_or("invalid extras")?,
    };
    for pair in extras.split(';').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or("extras: field without a value")?;
        let number = || {
            value.parse::<f64>().ok().filter(|value| value.is_finite()).ok_or("extras: value is not a number")
        };
        match name {
            "dest" => {
                start.first_choice =
                    value.parse().ok().filter(|d| (-1..=1_000_000).contains(d)).ok_or("invalid dest")?;
            }
            "width" => {
                start.width = Some(number()?).filter(|w| *w > 0.0 && *w <= 10_000.0).ok_or("invalid width")?
            }
            "again" => start.redialled_after_cut = number()? == 1.0,
            "at" => start.standing_at = Some(value.to_owned()).filter(|at| is_plain(at)),
            _ => {
                number()?;
            }
        }
    }
    Ok(start)
}

/// A message to a caller.
pub enum MessageToCaller<'a> {
    /// The call stands; holds the description given by the core server.
    Started(&'a str),
    /// The set-up has failed, or the call has ended.
    Finish {
        /// Cause code of the end.
        cause: u8,
        /// Time in milliseconds during which the caller should not retry.
        wait_ms: Option<u64>,
    },
    /// Acknowledges the end of a call.
    Finished,
    /// Answer to a health check: whether this edge proxy is healthy.
    Echoed(bool),
}

/// Appends a message to a caller to `out`, as one line.
pub fn write_caller_message(tag: Tag, message: MessageToCaller, out: &mut Vec<u8>) {
    use std::io::Write;
    let written = match message {
        MessageToCaller::Started(description) => {
            let blob = Value::from(description);
            writeln!(out, r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":{blob}}}"#)
        }
        MessageToCaller::Finish { cause, wait_ms: Some(wait) } => {
            writeln!(out, r#"{{"verb":"FINISH","tag":"{tag}","opts":{{"wait":"{wait}"}},"rc":{cause}}}"#)
        }
        MessageToCaller::Finish { cause, wait_ms: None } => {
            writeln!(out, r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":{cause}}}"#)
        }
        MessageToCaller::Finished => writeln!(out, r#"{{"verb":"FINISHED","tag":"{tag}","opts":{{}}}}"#),
        MessageToCaller::Echoed(healthy) => {
            writeln!(out, r#"{{"verb":"ECHOED","tag":"{tag}","opts":{{}},"rc":{}}}"#, u8::from(healthy))
        }
    };
    written.expect("writing to a vector cannot fail");
}

/// Types of binary messages.
pub mod kind {
    /// Request to set up a call.
    pub const START: u8 = 1;
    /// A set-up is in progress.
    pub const PENDING: u8 = 6;
    /// The call stands.
    pub const STARTED: u8 = 9;
    /// The end of a set-up or of a call.
    pub const FINISH: u8 = 12;
    /// Acknowledges an end.
    pub const FINISHED: u8 = 16;
    /// A load report sent without a request.
    pub const LOAD: u8 = 43;
    /// A health check.
    pub const ECHO: u8 = 52;
    /// Answer to a health check.
    pub const ECHOED: u8 = 53;
}

/// Codes of the parameters of binary messages.
pub mod code {
    /// Name of the product, as text.
    pub const CLASS: u8 = 180;
    /// Time until the caller gives up, in milliseconds, as decimal text.
    pub const LEFT: u8 = 182;
    /// The called number, as text.
    pub const KEY: u8 = 188;
    /// Detail of a cause, as text.
    pub const NOTE: u8 = 194;
    /// The core server's load report, as text.
    pub const LOAD: u8 = 198;
    /// Cause code, one byte.
    pub const CAUSE: u8 = 208;
    /// The session description.
    pub const DESCRIPTION: u8 = 210;
}

/// A decoded binary message that borrows its parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct BinaryMessage<'a> {
    /// One of [`kind`].
    pub kind: u8,
    /// The call's identifier.
    pub tag: Tag,
    /// Codes and values, in the order received.
    pub parameters: Vec<(u8, &'a [u8])>,
}

impl<'a> BinaryMessage<'a> {
    /// Decodes a message without its length prefix; the error is the reason why it is invalid.
    pub fn parse(message: &'a [u8]) -> Result<Self, &'static str> {
        let (head, mut rest) =
            message.split_at_checked(HEADER_BYTES).ok_or("message is shorter than its header")?;
        let tag = Tag(u64::from_be_bytes(head[1..].try_into().expect("the header holds eight bytes of tag")));
        let mut parameters = Vec::new();
        while !rest.is_empty() {
            let (head, after) =
                rest.split_at_checked(PARAMETER_HEADER_BYTES).ok_or("truncated parameter header")?;
            let length = usize::from(u16::from_be_bytes([head[1], head[2]]));
            let (value, after) =
                after.split_at_checked(length).ok_or("parameter is longer than the message")?;
            if parameters.iter().any(|(code, _)| *code == head[0]) {
                return Err("duplicate parameter");
            }
            parameters.push((head[0], value));
            rest = after;
        }
        Ok(Self { kind: head[0], tag, parameters })
    }

    /// The value of a parameter, if it is present.
    pub fn parameter(&self, code: u8) -> Option<&'a [u8]> {
        self.parameters.iter().find(|(found, _)| *found == code).map(|(_, value)| *value)
    }

    /// The cause code; an error unless it is present and one byte long.
    pub fn cause(&self) -> Result<u8, &'static str> {
        match self.parameter(code::CAUSE) {
            Some([cause]) => Ok(*cause),
            _ => Err("cause is missing or not one byte"),
        }
    }

    /// A parameter as text, empty where it is missing; an error unless it is UTF-8.
    pub fn text(&self, code: u8) -> Result<&'a str, &'static str> {
        std::str::from_utf8(self.parameter(code).unwrap_or_default())
            .map_err(|_| "text parameter is not UTF-8")
    }
}

/// Appends a binary message with its length prefix. Returns false and appends nothing if it would exceed
/// [`MAX_MESSAGE_BYTES`].
pub fn write_binary_message(kind: u8, tag: Tag, parameters: &[(u8, &[u8])], out: &mut Vec<u8>) -> bool {
    let length = HEADER_BYTES
        + parameters.iter().map(|(_, value)| PARAMETER_HEADER_BYTES + value.len()).sum::<usize>();
    if length > MAX_MESSAGE_BYTES {
        return false;
    }
    out.extend((length as u16).to_be_bytes());
    out.push(kind);
    out.extend(tag.0.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(*value);
    }
    true
}

/// How messages are delimited on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Lines of up to [`MAX_MESSAGE_BYTES`].
    Lines,
    /// Binary messages with a two-byte length prefix.
    Binary,
    /// Lines of up to this many bytes.
    LinesUpTo(usize),
}

/// Splits a byte stream into messages. Buffers at most one incomplete message and the bytes received after
/// it.
pub struct MessageSplitter {
    framing: Framing,
    buffer: Vec<u8>,
    read_offset: usize,
    /// Offset up to which the buffer has already been scanned for a line feed.
    scanned: usize,
}

impl MessageSplitter {
    /// Creates a splitter with an empty buffer.
    pub fn new(framing: Framing) -> Self {
        Self { framing, buffer: Vec::new(), read_offset: 0, scanned: 0 }
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.read_offset);
        self.scanned -= self.read_offset.min(self.scanned);
        self.read_offset = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of buffered bytes that have not been returned as a message.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.read_offset
    }

    /// The next complete message; `None` if more bytes are needed. An error means that the stream is invalid.
    pub fn next_message(&mut self) -> Result<Option<&[u8]>, &'static str> {
        let buffer = &self.buffer[self.read_offset..];
        let max_length = match self.framing {
            Framing::Binary => {
                let Some((length, rest)) = buffer.split_first_chunk::<2>() else { return Ok(None) };
                let length = usize::from(u16::from_be_bytes(*length));
                if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
                    return Err("message length out of range");
                }
                if rest.len() < length {
                    return Ok(None);
                }
                let from = self.read_offset + 2;
                self.read_offset = from + length;
                return Ok(Some(&self.buffer[from..self.read_offset]));
            }
            Framing::Lines => MAX_MESSAGE_BYTES,
            Framing::LinesUpTo(max_length) => max_length,
        };
        let from = self.scanned.max(self.read_offset);
        let Some(end) = self.buffer[from..].iter().position(|b| *b == b'\n').map(|end| from + end) else {
            self.scanned = self.buffer.len();
            return if buffer.len() > max_length {
                Err("unterminated line exceeds the maximum length")
            } else {
                Ok(None)
            };
        };
        let line = self.read_offset..end;
        (self.read_offset, self.scanned) = (end + 1, end + 1);
        if line.len() > max_length {
            Err("line exceeds the maximum length")
        } else {
            Ok(Some(&self.buffer[line]))
        }
    }
}
