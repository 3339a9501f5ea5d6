//! The trunk protocol: the frames exchanged by callers, edge proxies, core servers and pool lists.
//!
//! The package holds types and their codec; it uses no socket, clock or thread. [`Frame`] is the entry point:
//! [`Decoder`] turns a stream of bytes into frames and [`Message::encode`] turns a frame into bytes.
//!
//! On the wire a frame is a length (four bytes, big-endian, of the bytes that follow; at most [`MAX_FRAME`]), a
//! kind (one byte) and fields. A field is a tag (one byte), a length (LEB128) and the value. A reader that does not
//! know a tag below 128 closes the link. Tags from 128 on are optional: unknown ones are retained and forwarded
//! (`extra`).

mod codec;
mod frame;
mod member;
mod member_codec;
mod texts;

pub use codec::{Decoder, MAX_EXTRA, MAX_FRAME, MAX_TEXT, TrunkError, VERSION};
pub use frame::*;
pub use member::*;
pub use member_codec::{decode_replica, encode_replica};
