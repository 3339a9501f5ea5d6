//! Set-ups, their cancellation, and releases towards core servers.

use std::time::Duration;

use lotussaddle::interface::Outcome;
use lotussaddle_edge::LinkId;
use lotussaddle_trunk::Launch;

use super::{ConnectionTable, EndedLaunch, tag_of};
use crate::codec::{self, Tag, cause, code, kind};
use crate::cores::{OpenLaunch, SetUp};
use crate::{Net, SocketId};

/// Encodes a set-up for a core server; `None` if it is too long.
fn encode_set_up(set_up: &SetUp, now: Duration, classes: &[String]) -> Option<Vec<u8>> {
    let left = (set_up.deadline.saturating_sub(now).as_millis() as u64).max(1).to_string();
    let class = classes.get(usize::from(set_up.class)).map(String::as_str).unwrap_or_default();
    let mut parameters: Vec<(u8, &[u8])> =
        vec![(code::CLASS, class.as_bytes()), (code::LEFT, left.as_bytes())];
    parameters.extend(set_up.key.as_ref().map(|key| (code::KEY, key.as_bytes())));
    if !set_up.description.is_empty() {
        parameters.push((code::DESCRIPTION, &set_up.description));
    }
    let mut bytes = Vec::new();
    codec::write_binary_message(kind::START, set_up.tag, &parameters, &mut bytes).then_some(bytes)
}

impl ConnectionTable {
    /// Queues a set-up. It is sent at the end of the loop iteration, because a cancellation by the caller may
    /// be waiting to be read.
    pub(super) fn queue_set_up(
        &mut self, net: &mut dyn Net, link: LinkId, launch: Launch, extra: &[lotussaddle_trunk::Extra],
    ) {
        let tag = tag_of(&launch.dialogue);
        let Some(socket) = self.choose_connection(net, link, Some(tag)) else {
            let outcome = Outcome::Unreachable;
            return self.ended_launches.push_back(EndedLaunch { link, tag, launch: launch.launch, outcome });
        };
        let core = self.cores.get_mut(&socket).expect("the chosen connection exists");
        core.open_launches.insert(tag, OpenLaunch { number: launch.launch, sent_at: None });
        core.unsent_set_ups.push(SetUp {
            tag,
            deadline: self.now + launch.time_left,
            class: launch.product,
            key: launch.key.map(|key| key.0),
            description: extra
                .iter()
                .find(|e| e.tag == code::DESCRIPTION)
                .map(|e| e.value.clone())
                .unwrap_or_default(),
        });
        self.cores_with_unsent_set_ups.insert(socket);
        if let Some(call) = self.calls.get_mut(&tag) {
            call.core = Some((link, socket));
        }
    }

    /// Writes the waiting set-ups to connections that are up. Returns true if some of them ended instead.
    ///
    /// A set-up whose caller's connection has unread input is held back, because that input may cancel it: until the next
    /// iteration if a core server may have had it or two connections wait for it, otherwise it is put into
    /// [`Self::held_back`].
    pub fn send_set_ups(&mut self, net: &mut dyn Net) -> bool {
        let mut ended = false;
        for socket in std::mem::take(&mut self.cores_with_unsent_set_ups) {
            let Some(core) = self.cores.get_mut(&socket).filter(|core| core.is_up) else { continue };
            let (link, mut held_back) = (core.link, Vec::new());
            for set_up in std::mem::take(&mut core.unsent_set_ups) {
                let tag = set_up.tag;
                let Some(launch) = core.open_launches.get(&tag).map(|launch| launch.number) else { continue };
                let Some(call) = self.calls.get_mut(&tag) else {
                    core.open_launches.remove(&tag); // The caller has given up.
                    continue;
                };
                if self.now < set_up.deadline && call.sockets().any(|caller| net.has_unread(caller)) {
                    if call.was_launched || call.repeated_on.is_some() {
                        held_back.push(set_up);
                    } else {
                        self.held_back.push(set_up);
                    }
                    continue;
                }
                // The time spent waiting counts; the edge ends the launch if no time is left.
                let is_draining =
                    self.incarnations.get(&link).is_none_or(|incarnation| incarnation.is_draining);
                let outcome = if self.now >= set_up.deadline || is_draining {
                    Some(Outcome::Unreachable)
                } else {
                    let bytes = encode_set_up(&set_up, self.now, &self.classes);
                    match bytes.map(|bytes| net.send(socket, &bytes)) {
                        None => Some(Outcome::NotSent),
                        Some(false) => Some(Outcome::Unreachable),
                        Some(true) => None,
                    }
                };
                if let Some(outcome) = outcome {
                    core.open_launches.remove(&tag);
                    self.ended_launches.push_back(EndedLaunch { link, tag, launch, outcome });
                    ended = true;
                } else {
                    call.was_launched = true;
                    core.set_up_sent(tag, self.now);
                }
            }
            if !held_back.is_empty() {
                self.cores_with_unsent_set_ups.insert(socket);
            }
            core.unsent_set_ups = held_back;
        }
        ended
    }

    pub(super) fn cancel_launch(&mut self, net: &mut dyn Net, tag: Tag) {
        let Some((_, socket)) = self.calls.get_mut(&tag).and_then(|call| call.core.take()) else { return };
        let Some(core) = self.cores.get_mut(&socket) else { return };
        let Some(launch) = core.open_launches.remove(&tag) else { return };
        if launch.sent_at.is_none() {
            return core.unsent_set_ups.retain(|waiting| waiting.tag != tag);
        }
        let incarnation = self.incarnations.get(&core.link);
        if incarnation.is_some_and(|incarnation| incarnation.last_answered_sent_at > launch.sent_at) {
            core.liveness.overtaken_set_up_cancelled();
        }
        core.record_cancellation(tag);
        self.send_finish(net, socket, tag);
    }

    /// Gives up a set-up, or releases a standing call, towards a core server.
    pub fn send_finish(&mut self, net: &mut dyn Net, socket: SocketId, tag: Tag) -> bool {
        self.write_buffer.clear();
        codec::write_binary_message(
            kind::FINISH,
            tag,
            &[(code::CAUSE, &[cause::NORMAL])],
            &mut self.write_buffer,
        );
        let sent = net.send(socket, &self.write_buffer);
        if !sent {
            // A core server that does not read is not waited for: its connection is closed, and what is open
            // on it is given up.
            self.unwritable_cores.push(socket);
        }
        sent
    }

    pub(super) fn release_call(&mut self, net: &mut dyn Net, link: LinkId, tag: Tag) {
        let own_socket = self.calls.get(&tag).and_then(|call| call.core).map(|(_, socket)| socket);
        let Some(incarnation) = self.incarnations.get(&link) else { return };
        let known = incarnation.sockets.iter().filter_map(|id| Some((*id, self.cores.get(id)?)));
        let best = known
            .filter(|(_, core)| core.is_up)
            .min_by_key(|(id, core)| (!core.is_usable(), Some(*id) != own_socket));
        let socket = best.map(|(id, _)| id);
        if socket.is_some_and(|socket| self.send_finish(net, socket, tag)) {
            return;
        }
        let waiting: usize = self.incarnations.values().map(|incarnation| incarnation.releases.len()).sum();
        if waiting >= self.bounds.waiting_releases {
            return net.log(&format!("release of {tag} dropped: too many wait for a connection"));
        }
        if let Some(incarnation) = self.incarnations.get_mut(&link) {
            incarnation.releases.push(tag);
        }
    }

    /// Sends the releases that wait for a connection to an incarnation on one that is up. Those for which its write
    /// queue has no room go on waiting.
    pub fn send_waiting_releases(&mut self, net: &mut dyn Net, socket: SocketId, link: LinkId) {
        let Some(incarnation) = self.incarnations.get_mut(&link) else { return };
        let mut waiting = std::mem::take(&mut incarnation.releases).into_iter();
        let unsent = waiting.by_ref().find(|tag| !self.send_finish(net, socket, *tag));
        if let Some(incarnation) = self.incarnations.get_mut(&link) {
            incarnation.releases.extend(unsent.into_iter().chain(waiting));
        }
    }
}
