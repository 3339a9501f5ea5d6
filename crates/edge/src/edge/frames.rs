//! Frames as they come in: who may say what on which link, and whose business it is.

use std::time::Duration;

use lotussaddle_trunk::{Frame, Hello, Message, Role, VERSION};

use super::Edge;
use crate::links::Peer;
use crate::{Decisions, EdgeEffects, LinkId};

impl<D: Decisions> Edge<D> {
    /// A message has come in on a link.
    pub fn frame_received(
        &mut self, now: Duration, link: LinkId, message: Message, effects: &mut dyn EdgeEffects,
    ) {
        self.state.now = now;
        // After a stall, what timed out meanwhile has timed out, though its answer lies in the queue.
        self.expire_deadlines(effects);
        self.numbers_due(effects);
        let Some(known) = self.state.links.get_mut(&link) else { return };
        (known.heard, known.asked) = (now, false);
        match (&known.kind, known.greeted, message.frame) {
            (_, _, Frame::Ping { nonce }) => self.signalling(effects).say(link, Frame::Pong { nonce }),
            (_, _, Frame::Pong { .. }) => {}
            (_, _, Frame::Bye { why }) => self.drop_link(link, &format!("said good-bye: {why}"), effects),
            (_, false, Frame::Hello(hello)) => self.greeted(link, hello, effects),
            (_, false, _) => self.drop_link(link, "spoke before it said hello", effects),
            (Peer::Caller(_), true, Frame::Dial(dial)) => self.dialled(link, dial, message.extra, effects),
            (Peer::Caller(_), true, Frame::HangUp { dialogue }) => {
                if self.state.pending.answer_link(&dialogue).is_some_and(|answers| *answers == link) {
                    self.state.pending.drop_of(&dialogue);
                }
                if self.state.held.get(&dialogue).is_some_and(|held| held.link == link) {
                    self.hung_up(&dialogue, effects);
                }
            }
            (Peer::Core(server), true, frame) => {
                let server = server.clone();
                if !self.core_frame(link, &server, frame, message.extra, effects) {
                    self.drop_link(link, "said what is not a core server's to say", effects);
                }
            }
            (Peer::List, true, Frame::List { is_complete: whole, entries }) => {
                self.listed(whole, entries, effects)
            }
            (Peer::List, true, Frame::Tables { serial, order }) => self.ordered(link, serial, order, effects),
            _ => self.drop_link(link, "said what is not its to say", effects),
        }
        self.settle(effects);
    }

    fn greeted(&mut self, link: LinkId, hello: Hello, effects: &mut dyn EdgeEffects) {
        let known = self.state.links.get_mut(&link).expect("it was looked up");
        let wrong = match (&known.kind, hello.role) {
            _ if hello.version != VERSION => Some(format!("speaks version {}, not {VERSION}", hello.version)),
            (Peer::Fresh, Role::Caller) => {
                known.kind = Peer::Caller(hello.name.clone());
                None
            }
            (Peer::Core(server), Role::Core) if server.0 != hello.name => {
                Some(format!("is {}, not {}", hello.name, server.0))
            }
            (Peer::Core(_), Role::Core) | (Peer::List, Role::List) => None,
            (_, role) => Some(format!("is a {role:?}")),
        };
        if let Some(wrong) = wrong {
            return self.drop_link(link, &wrong, effects);
        }
        known.greeted = true;
        if let Some(sent_at) = hello.sent_at {
            known.delay.of(self.state.now, sent_at);
        }
        match &known.kind {
            Peer::Caller(_) => {
                self.state.fresh.retain(|fresh| *fresh != link);
                let hello = Hello::new(Role::Edge, self.name.clone());
                self.signalling(effects).say(link, Frame::Hello(hello));
            }
            Peer::Core(_) => self.send_queued(link, effects),
            Peer::List | Peer::Fresh => {}
        }
    }
}
