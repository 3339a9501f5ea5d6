//! Duties: acts that arrive under a fencing number, and the messages, disk writes and steps that the lease asks for.

use std::time::Duration;

use lotussaddle::interface::ServerId;
use lotussaddle_lease::Duty;
use lotussaddle_trunk::{DutyAction, Frame, PeerMessage};

use super::Member;
use super::interface::{Effects, Save};
use super::saves::AfterWrite;
use crate::duties::{Duties, DutyEffect, SWEEP};

impl Member {
    /// The holder of `circuits` has this member look after its own lines at a core server.
    pub(super) fn check_lines(
        &mut self, member: u16, act: &DutyAction, server: &ServerId, effects: &mut dyn Effects,
    ) {
        let again = || AfterWrite::CheckLines { from: member, act: *act, server: server.clone() };
        if !self.admits_duty_action(member, act, again, effects) {
            return;
        }
        if self.lives.current() > 0 && self.connected_cores.contains(server) {
            let action = self.takeovers.check_own_lines(self.now, server);
            self.do_takeover_actions(action.into_iter().collect());
        }
    }

    /// Whether an act of a duty may be done: its number is no lower than one that was seen, and where it is new it is on disk, so that
    /// this member refuses lower ones past its own restart.
    pub(super) fn admits_duty_action(
        &mut self, from: u16, act: &DutyAction, again: impl Fn() -> AfterWrite, effects: &mut dyn Effects,
    ) -> bool {
        let Some(duties) = self.duties.as_mut().filter(|_| act.member == from) else { return false };
        match duties.admit(act) {
            Err(highest) => {
                self.outgoing_messages.push((from, PeerMessage::Fenced { duty: act.duty, highest }));
                false
            }
            Ok(new) => {
                let fence = duties.fence();
                if new {
                    self.fencing_write = self.submit_disk_write(vec![Save::FencingTokens(fence)], effects);
                }
                // What comes under it before it is on disk waits behind the first.
                let Some(number) = self.fencing_write.filter(|number| self.disk_writes.is_pending(*number))
                else {
                    return true;
                };
                self.disk_writes.wait_for(number, [again()]);
                false
            }
        }
    }

    /// Carries out the effects of duties: messages, disk writes and actions.
    pub(super) fn settle_duties(&mut self, effects: &mut dyn Effects) {
        let (now, me) = (self.now, self.plan.self_member);
        let Some(mut duties) = self.duties.take() else { return };
        // A disk that fails leaves none, and what was on it is older than what is said from then on.
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
                    DutyEffect::Send(to, word) => {
                        if let Some(link) = self.peers.link_to(to) {
                            self.send_to_link(
                                link,
                                Frame::PeerMessage(PeerMessage::Duties { message: word }),
                                effects,
                            );
                        }
                    }
                    DutyEffect::Persist(number, kept) => {
                        match self.submit_disk_write(vec![Save::Duties(kept)], effects) {
                            Some(order) => duties.disk_order_issued(order, number),
                            // Where there is no disk, memory is all that is promised; one that is too far behind promises nothing.
                            None => duties.state_persisted(now, number, !self.has_disk),
                        }
                    }
                    DutyEffect::Check(act, server) => {
                        for member in (0..self.plan.members.len() as u16).filter(|member| *member != me) {
                            if let Some(link) = self.peers.link_to(member) {
                                let check = PeerMessage::CheckLines { action: act, server: server.clone() };
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
        let heard = || -> Vec<(u16, u64)> {
            let all =
                (0..self.plan.members.len() as u16).filter(|member| *member == me || self.can_reach(*member));
            let incarnation =
                |member: u16| if member == me { self.lives.current() } else { self.view.incarnation(member) };
            all.map(|member| (member, incarnation(member)))
                .filter(|(_, incarnation)| *incarnation > 0)
                .collect()
        };
        let orders = duties.due_publish_orders(now, heard);
        self.duties = Some(duties);
        // Others first, so that what this member does itself was seen to be ordered.
        let (own, others): (Vec<_>, Vec<_>) = orders.into_iter().partition(|(member, ..)| *member == me);
        for (member, act, serial, order) in others {
            if let Some(link) = self.peers.link_to(member) {
                self.send_to_link(
                    link,
                    Frame::PeerMessage(PeerMessage::Publish { action: act, serial, order }),
                    effects,
                );
            }
        }
        for (_, act, serial, order) in own {
            self.tables_order_received(me, &act, serial, order, effects);
        }
    }

    /// An operator wants a duty to go to that member, or to whoever is next.
    pub(crate) fn hand_over(&mut self, duty: Duty, to: Option<u16>) {
        let now = self.now;
        self.duties.iter_mut().for_each(|duties| duties.hand_over(now, duty, to));
    }

    /// An operator wants other voters.
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

    /// Whether nothing is left that other members would wait for.
    pub fn is_shutdown_complete(&self) -> bool {
        self.duties.as_ref().is_none_or(Duties::is_shut_down)
    }
}
