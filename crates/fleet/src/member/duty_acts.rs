//! Duties: actions received under a fencing token, and the messages, disk writes and steps that the lease requires.

use std::time::Duration;

use lotussaddle::interface::ServerId;
use lotussaddle_lease::Duty;
use lotussaddle_trunk::{DutyAction, Frame, PeerMessage};

use super::Member;
use super::interface::{Effects, Save};
use super::saves::AfterWrite;
use crate::duties::{Duties, DutyEffect, SWEEP};

impl Member {
    /// The holder of `circuits` requests that this member check its own lines at a core server.
    pub(super) fn check_lines(
        &mut self, member: u16, action: &DutyAction, server: &ServerId, effects: &mut dyn Effects,
    ) {
        let retry = || AfterWrite::CheckLines { from: member, act: *action, server: server.clone() };
        if !self.admits_duty_action(member, action, retry, effects) {
            return;
        }
        if self.incarnations.current() > 0 && self.connected_cores.contains(server) {
            let action = self.takeovers.check_own_lines(self.now, server);
            self.do_takeover_actions(action.into_iter().collect());
        }
    }

    /// Whether an action of a duty is admitted: its fencing token is no lower than the highest one seen, and a new one is
    /// on disk, so that this member refuses lower ones after its own restart too.
    pub(super) fn admits_duty_action(
        &mut self, from: u16, action: &DutyAction, retry: impl Fn() -> AfterWrite, effects: &mut dyn Effects,
    ) -> bool {
        let Some(duties) = self.duties.as_mut().filter(|_| action.member == from) else { return false };
        match duties.admit(action) {
            Err(highest) => {
                self.outgoing_messages.push((from, PeerMessage::Fenced { duty: action.duty, highest }));
                false
            }
            Ok(new) => {
                let fence = duties.fence();
                if new {
                    self.fencing_write = self.submit_disk_write(vec![Save::FencingTokens(fence)], effects);
                }
                // Actions that arrive under the token before it is on disk wait for the same write.
                let Some(number) = self.fencing_write.filter(|number| self.disk_writes.is_pending(*number))
                else {
                    return true;
                };
                self.disk_writes.wait_for(number, [retry()]);
                false
            }
        }
    }

    /// Carries out the effects of duties: messages, disk writes and actions.
    pub(super) fn settle_duties(&mut self, effects: &mut dyn Effects) {
        let (now, self_member) = (self.now, self.plan.self_member);
        let Some(mut duties) = self.duties.take() else { return };
        // A disk that fails counts as none, and its contents are older than what is sent from then on.
        self.has_disk |= effects.has_disk();
        let swept = duties.current_action(now, SWEEP).is_some();
        if swept != self.holds_sweep_duty {
            self.holds_sweep_duty = swept;
            self.takeovers.stop_sweeping();
        }
        loop {
            let actions = duties.take_effects(now);
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    DutyEffect::Send(to, message) => {
                        if let Some(link) = self.peers.link_to(to) {
                            self.send_to_link(
                                link,
                                Frame::PeerMessage(PeerMessage::Duties { message }),
                                effects,
                            );
                        }
                    }
                    DutyEffect::Persist(number, state) => {
                        match self.submit_disk_write(vec![Save::Duties(state)], effects) {
                            Some(order) => duties.disk_order_issued(order, number),
                            // Without a disk, promises last as long as memory; a disk that is too far behind promises nothing.
                            None => duties.state_persisted(now, number, !self.has_disk),
                        }
                    }
                    DutyEffect::Check(action, server) => {
                        for member in
                            (0..self.plan.members.len() as u16).filter(|member| *member != self_member)
                        {
                            if let Some(link) = self.peers.link_to(member) {
                                let check = PeerMessage::CheckLines { action, server: server.clone() };
                                self.send_to_link(link, Frame::PeerMessage(check), effects);
                            }
                        }
                        let action = self.takeovers.check_own_lines(now, &server);
                        self.do_takeover_actions(action.into_iter().collect());
                    }
                    DutyEffect::Log(line) => effects.log(&line),
                }
            }
        }
        let reachable_members = || -> Vec<(u16, u64)> {
            let all = (0..self.plan.members.len() as u16)
                .filter(|member| *member == self_member || self.can_reach(*member));
            let incarnation = |member: u16| {
                if member == self_member {
                    self.incarnations.current()
                } else {
                    self.view.incarnation(member)
                }
            };
            all.map(|member| (member, incarnation(member)))
                .filter(|(_, incarnation)| *incarnation > 0)
                .collect()
        };
        let orders = duties.due_publish_orders(now, reachable_members);
        self.duties = Some(duties);
        // Other members first, so that their orders are sent before this member carries out its own.
        let (own, others): (Vec<_>, Vec<_>) =
            orders.into_iter().partition(|(member, ..)| *member == self_member);
        for (member, action, serial, order) in others {
            if let Some(link) = self.peers.link_to(member) {
                self.send_to_link(
                    link,
                    Frame::PeerMessage(PeerMessage::Publish { action, serial, order }),
                    effects,
                );
            }
        }
        for (_, action, serial, order) in own {
            self.tables_order_received(self_member, &action, serial, order, effects);
        }
    }

    /// Hands a duty over to the given member, or to the next candidate, at an operator's request.
    pub(crate) fn hand_over(&mut self, duty: Duty, to: Option<u16>) {
        let now = self.now;
        self.duties.iter_mut().for_each(|duties| duties.hand_over(now, duty, to));
    }

    /// Changes the voters at an operator's request.
    pub(crate) fn change_voters(&mut self, voters: Vec<u16>) {
        let now = self.now;
        self.duties.iter_mut().for_each(|duties| duties.change_voters(now, voters.clone()));
    }

    pub(crate) fn duties(&self) -> Option<&Duties> {
        self.duties.as_ref()
    }

    /// The process is shutting down: the duties that it holds are handed over.
    pub fn begin_shutdown(&mut self, now: Duration) {
        self.now = now;
        self.duties.iter_mut().for_each(|duties| duties.shut_down(now));
    }

    /// Whether no duty is left to hand over to other members.
    pub fn is_shutdown_complete(&self) -> bool {
        self.duties.as_ref().is_none_or(Duties::is_shut_down)
    }
}
