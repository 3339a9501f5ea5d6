//! Detects links to members that no longer carry frames. Neighbours in the overlay send heartbeats; over other links nothing is sent
//! regularly, so an idle link is not a sign of failure. Such a link is suspected once a frame was sent and none was received in return: a ping is
//! sent, and if no frame arrives in time the link counts as dead.

use std::time::Duration;

use lotussaddle_trunk::{Frame, PeerMessage};

/// The action that a link needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkCheck {
    /// None: nothing was sent since the last received frame, or only recently.
    Idle,
    /// A ping is to be sent.
    Ping,
    /// The link is to be closed.
    Dead,
}

/// What was sent over a link since the last frame was received.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkLiveness {
    /// When the first frame was sent after the last received one.
    unanswered_since: Option<Duration>,
    is_pinged: bool,
}

impl LinkLiveness {
    /// A frame is sent. An answer expects no answer itself: the side that asked detects that it does not arrive.
    pub fn sent(&mut self, now: Duration, frame: &Frame) {
        if is_answer(frame) {
            return;
        }
        self.is_pinged |= matches!(frame, Frame::Ping { .. });
        self.unanswered_since.get_or_insert(now);
    }

    /// A frame was received.
    pub fn received(&mut self) {
        *self = Self::default();
    }

    /// The action due now: a ping after `ping_after` without an answer, closing after `dead_after`.
    pub fn check(&self, now: Duration, ping_after: Duration, dead_after: Duration) -> LinkCheck {
        let Some(since) = self.unanswered_since else { return LinkCheck::Idle };
        let unanswered = now.saturating_sub(since);
        if self.is_pinged && unanswered >= dead_after {
            LinkCheck::Dead
        } else if !self.is_pinged && unanswered >= ping_after {
            LinkCheck::Ping
        } else {
            LinkCheck::Idle
        }
    }
}

fn is_answer(frame: &Frame) -> bool {
    match frame {
        Frame::Pong { .. } => true,
        Frame::PeerMessage(peer) => matches!(
            peer,
            PeerMessage::Acknowledge { .. }
                | PeerMessage::AskReply { .. }
                | PeerMessage::IncarnationReply { .. }
                | PeerMessage::Published { .. }
                | PeerMessage::Fenced { .. }
                | PeerMessage::InquireReply { .. }
        ),
        _ => false,
    }
}

#[cfg(test)]
#[path = "../tests/unit/link_liveness.rs"]
mod tests;
