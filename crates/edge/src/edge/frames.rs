//! Incoming frames: which peer may send which frame, and who handles it.

use std::time::Duration;

use lotussaddle_trunk::{Frame, Hello, Message, Role, VERSION};

use super::Edge;
use crate::links::Peer;
use crate::{Decisions, EdgeEffects, LinkId};

impl<D: Decisions> Edge<D> {
    /// A message was received on a link.
    pub fn frame_received(
        &mut self, now: Duration, link: LinkId, message: Message, effects: &mut dyn EdgeEffects,
    ) {
        self.state.now = now;
        // After a stall, expired launches count as timed out even if their answers are in the queue.
        self.expire_deadlines(effects);
        self.process_number_analysis(effects);
        let Some(known) = self.state.links.get_mut(&link) else { return };
        (known.last_received, known.ping_sent) = (now, false);
        match (&known.peer, known.handshake_done, message.frame) {
            (_, _, Frame::Ping { nonce }) => self.signalling(effects).send_frame(link, Frame::Pong { nonce }),
            (_, _, Frame::Pong { .. }) => {}
            (_, _, Frame::Bye { why }) => self.drop_link(link, &format!("said good-bye: {why}"), effects),
            (_, false, Frame::Hello(hello)) => self.hello_received(link, hello, effects),
            (_, false, _) => self.drop_link(link, "spoke before it said hello", effects),
            (Peer::Caller(_), true, Frame::Dial(dial)) => {
                self.dial_received(link, dial, message.extra, effects)
            }
            (Peer::Caller(_), true, Frame::HangUp { dialogue }) => {
                if self.state.deferred.answer_link(&dialogue).is_some_and(|waiting| *waiting == link) {
                    self.state.deferred.remove_dialogue(&dialogue);
                }
                if self.state.held.get(&dialogue).is_some_and(|held| held.caller_link == link) {
                    self.caller_hung_up(&dialogue, effects);
                }
            }
            (Peer::Core(server), true, frame) => {
                let server = server.clone();
                if !self.core_frame_received(link, &server, frame, message.extra, effects) {
                    self.drop_link(link, "said what is not a core server's to say", effects);
                }
            }
            (Peer::List, true, Frame::List { is_complete, entries }) => {
                self.list_received(is_complete, entries, effects)
            }
            (Peer::List, true, Frame::Tables { serial, order }) => {
                self.tables_order_received(link, serial, order, effects)
            }
            _ => self.drop_link(link, "said what is not its to say", effects),
        }
        self.finish_input(effects);
    }

    /// Identifies the peer of a link by its hello, or closes the link if the hello does not match.
    fn hello_received(&mut self, link: LinkId, hello: Hello, effects: &mut dyn EdgeEffects) {
        let known = self.state.links.get_mut(&link).expect("it was found above");
        let mismatch = match (&known.peer, hello.role) {
            _ if hello.version != VERSION => Some(format!("speaks version {}, not {VERSION}", hello.version)),
            (Peer::Unidentified, Role::Caller) => {
                known.peer = Peer::Caller(hello.name.clone());
                None
            }
            (Peer::Core(server), Role::Core) if server.0 != hello.name => {
                Some(format!("is {}, not {}", hello.name, server.0))
            }
            (Peer::Core(_), Role::Core) | (Peer::List, Role::List) => None,
            (_, role) => Some(format!("is a {role:?}")),
        };
        if let Some(mismatch) = mismatch {
            return self.drop_link(link, &mismatch, effects);
        }
        known.handshake_done = true;
        if let Some(sent_at) = hello.sent_at {
            known.delay.measure(self.state.now, sent_at);
        }
        match &known.peer {
            Peer::Caller(_) => {
                self.state.unidentified.retain(|known| *known != link);
                let hello = Hello::new(Role::Edge, self.name.clone());
                self.signalling(effects).send_frame(link, Frame::Hello(hello));
            }
            Peer::Core(_) => self.send_queued_launches(link, effects),
            Peer::List | Peer::Unidentified => {}
        }
    }
}
