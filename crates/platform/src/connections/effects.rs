//! The edge's effects, translated into messages and connections.

use lotussaddle::interface::DialogueId;
use lotussaddle_edge::{EdgeEffects, LinkId, LogTopic};
use lotussaddle_trunk::{DeclineReason, DialogueEnd, Frame, Message};

use super::{ConnectionTable, tag_of};
use crate::Net;
use crate::codec::{MessageToCaller, cause, code};
use crate::cores::Incarnation;
use crate::recent_set_ups::Ending;

/// The connection table and the network, through which the edge carries out the effects of one input.
pub struct PlatformEffects<'a> {
    pub(super) connections: &'a mut ConnectionTable,
    pub(super) net: &'a mut dyn Net,
}

impl EdgeEffects for PlatformEffects<'_> {
    /// Always returns true: a message that cannot be sent is reported later as an ended launch or a lost
    /// caller connection.
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        let (connections, net) = (&mut *self.connections, &mut *self.net);
        match message.frame {
            Frame::Launch(launch) => connections.queue_set_up(net, link, launch, &message.extra),
            Frame::Cancel { dialogue, .. } => connections.cancel_launch(net, tag_of(&dialogue)),
            Frame::Release { dialogue, .. } => connections.release_call(net, link, tag_of(&dialogue)),
            Frame::Stands { dialogue, .. } => {
                let tag = tag_of(&dialogue);
                let description = message.extra.iter().find(|e| e.tag == code::DESCRIPTION);
                let description =
                    description.and_then(|e| std::str::from_utf8(&e.value).ok()).unwrap_or_default();
                connections.remember_ending(tag, Ending::Stands(description.to_owned()));
                connections.close_call(tag);
                connections.mark_standing(tag);
                connections.mark_answered(tag);
                for socket in connections.callers_of(tag) {
                    connections.send_answer(net, socket, tag, description);
                }
            }
            Frame::Refused { dialogue, retry_after } => {
                let wait_ms = retry_after.map(|time| time.as_millis() as u64);
                refuse(connections, net, &dialogue, cause::FULL, wait_ms);
            }
            Frame::Failed { dialogue } => refuse(connections, net, &dialogue, cause::RESET, None),
            Frame::Declined { dialogue, why, .. } => {
                let cause = if why == DeclineReason::Full { cause::CONGESTION } else { cause::UNUSABLE };
                refuse(connections, net, &dialogue, cause, None);
            }
            Frame::Over { dialogue, end } => {
                let tag = tag_of(&dialogue);
                let cause = if end == DialogueEnd::Released { cause::NORMAL } else { cause::RESET };
                let own_socket = connections.callers_of(tag).first().copied();
                connections.remove_call(tag);
                connections.release_caller(net, tag, cause, own_socket);
            }
            _ => {}
        }
        true
    }

    /// An empty address means the list; any other is an incarnation of a core server, formatted by
    /// [`Incarnation::format_address`].
    fn connect(&mut self, address: &str) -> LinkId {
        let link = self.connections.new_link();
        if address.is_empty() {
            self.connections.list_link = Some(link);
        } else if let Some(incarnation) = Incarnation::from_address(address, self.connections.now) {
            self.connections.incarnations.insert(link, incarnation);
            self.connections.choose_connection(self.net, link, None);
        }
        link
    }

    fn close(&mut self, link: LinkId, _why: &str) {
        self.connections.close_incarnation(self.net, link);
    }

    fn log(&mut self, _topic: LogTopic, line: &str) {
        self.net.log(line);
    }
}

fn refuse(
    connections: &mut ConnectionTable, net: &mut dyn Net, dialogue: &DialogueId, cause: u8,
    wait_ms: Option<u64>,
) {
    let tag = tag_of(dialogue);
    connections.remember_ending(tag, Ending::Refused { cause, wait_ms });
    let sockets = connections.callers_of(tag);
    connections.remove_call(tag);
    for socket in sockets {
        connections.send_to_caller(net, socket, tag, MessageToCaller::Finish { cause, wait_ms });
    }
}
