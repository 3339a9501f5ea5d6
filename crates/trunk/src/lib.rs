//! The trunk protocol: what caller, edge proxy, core server and pool list say to each other.
//!
//! It knows types and bytes and no socket, clock or thread. Start reading at [`Frame`]; [`Decoder`] takes
//! bytes as they come and gives frames, [`Message::encode`] is the way back.
//!
//! On the wire a frame is a length (four bytes, big-endian, of what follows; at most [`MAX_FRAME`]), a kind
//! (one byte) and fields: a tag (one byte), a length (LEB128) and the value. A reader that does not know a tag
//! below 128 closes the link; tags from 128 on are optional: unknown ones are kept and passed on (`extra`).

mod codec;
mod frame;
mod member;
mod member_codec;
mod texts;

pub use codec::{Decoder, MAX_EXTRA, MAX_FRAME, MAX_TEXT, TrunkError, VERSION};
pub use frame::*;
pub use member::*;
pub use member_codec::{decode_replica, encode_replica};
