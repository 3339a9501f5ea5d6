//! Whether a link to a member still carries frames. Neighbours in the overlay send heartbeats; over other links nothing is sent
//! regularly, so that silence there says nothing. There a link is suspected once something was sent and nothing came back: a ping
//! asks, and without any frame in time the link is taken as dead.

use std::time::Duration;

use lotussaddle_trunk::{Frame, PeerMessage};

/// What is to be done about a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkCheck {
    /// Nothing: nothing was sent since the last frame, or not for long.
    Idle,
    /// Its other side is to be asked.
    Ping,
    /// It is to be closed.
    Dead,
}

/// What went over a link since the last frame came.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkLiveness {
    /// When the first frame was sent that nothing has followed.
    unanswered_since: Option<Duration>,
    is_pinged: bool,
}

impl LinkLiveness {
    /// A frame is sent. One that answers another wants no answer itself: whoever asked finds out that it does not come.
    pub fn sent(&mut self, now: Duration, frame: &Frame) {
        if is_answer(frame) {
            return;
        }
        self.is_pinged |= matches!(frame, Frame::Ping { .. });
        self.unanswered_since.get_or_insert(now);
    }

    /// A frame came.
    pub fn received(&mut self) {
        *self = Self::default();
    }

    /// What is to be done where an answer is awaited for so long before a ping, and before the link is given up.
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
