//! Work that a member does at set times: connection attempts, heartbeats, retries, and the check for members that are gone.

use std::time::Duration;

use lotussaddle_replica::digest;
use lotussaddle_trunk::{Frame, PeerMessage};

use super::Member;
use super::interface::Effects;
use crate::duties::{Duties, SWEEP};
use crate::membership_view::MembershipMessage;
use crate::peers::{LinkState, PeerLink};
use crate::takeovers::TakeoverAction;

/// A link without a valid greeting after this time is closed.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Hashed with a member's name to rank its successors; all members must have the same bytes.
const SUCCESSOR_SEED: &[u8] = b"estate";

impl Member {
    /// When `timer_fired` is to be called next.
    pub fn next_due(&self) -> Duration {
        let due_times = [
            self.peers.next_due(),
            self.incarnations.next_due().map(|at| at.max(self.incarnation_requests_blocked_until)),
            self.redials.next_due(),
            self.confirmations.next_due(),
            self.takeovers.next_due(),
            self.duties.as_ref().map(Duties::next_due),
            self.tasks.next_due(false),
            Some(self.next_check_at),
            Some(self.next_comparison_at),
        ];
        due_times.into_iter().flatten().fold(self.view.next_due(), Duration::min)
    }

    /// Does the work that is due at the time given by `next_due`.
    pub fn timer_fired(&mut self, now: Duration, effects: &mut dyn Effects) {
        self.now = now;
        for member in self.peers.due_connections(now) {
            let link = effects.connect(member);
            self.peers.connection_started(now, member, link);
        }
        self.propose_incarnation(effects);
        if let Some(duties) = self.duties.as_mut().filter(|duties| duties.next_due() <= now) {
            duties.timer_fired(now, &self.connected_cores);
        }
        let actions = self.redials.timer_fired(now);
        self.do_redial_actions(actions);
        self.resolve_overdue_confirmations();
        let actions = self.takeovers.timer_fired(now);
        self.do_takeover_actions(actions);
        if self.view.next_due() <= now {
            self.send_membership(effects);
        }
        if self.next_check_at <= now {
            self.next_check_at = now + self.plan.response_timeout / 2;
            self.check_members_and_links(effects);
        }
        if self.next_comparison_at <= now {
            self.next_comparison_at = now + self.plan.compare_interval;
            self.start_comparisons();
        }
        self.request_background_tasks();
    }

    fn send_membership(&mut self, effects: &mut dyn Effects) {
        self.view.set_self(self.now, self.incarnations.current(), self.caught_up());
        for MembershipMessage { to, is_heartbeat, bytes } in self.view.tick(self.now) {
            let Some(link) = self.peers.link_to(to) else { continue };
            self.send_to_link(link, Frame::PeerMessage(PeerMessage::Membership { message: bytes }), effects);
            if is_heartbeat {
                self.send_disk_count(link, effects);
            }
        }
    }

    /// Reports the number of own disk writes to a neighbour if it has changed since the last report, and not before the neighbour
    /// has reported which number it knew of.
    fn send_disk_count(&mut self, link: PeerLink, effects: &mut dyn Effects) {
        let saved = self.disk_writes.saved();
        let Some(known) = self.peers.links.get_mut(&link) else { return };
        if !known.member.is_some_and(|member| self.incarnations.has_counted(member)) {
            return;
        }
        if known.sent_write_count.replace(saved) != Some(saved) {
            self.send_to_link(link, Frame::PeerMessage(PeerMessage::DiskCount { saved }), effects);
        }
    }

    /// Checks which members are gone, which links are dead and which dialogues are orphaned.
    fn check_members_and_links(&mut self, effects: &mut dyn Effects) {
        let now = self.now;
        for member in 0..self.plan.members.len() as u16 {
            let is_gone = self.view.is_gone(member);
            if is_gone && !self.members_seen_gone.has(member) {
                self.members_seen_gone.set(member);
                effects.log(&format!("member {} is not heard by a majority", self.name(member)));
                self.takeovers.incarnation_ended(now, member, self.view.incarnation(member));
            } else if !is_gone && self.members_seen_gone.has(member) {
                self.members_seen_gone.unset(member);
                effects.log(&format!("member {} is heard again", self.name(member)));
                let incarnation = self.view.incarnation(member);
                self.takeovers.member_returned(member, incarnation);
                self.takeovers.incarnation_ended(now, member, incarnation.saturating_sub(1));
            }
        }
        self.review_links(effects);
        let overdue = self.peers.links.iter().filter(|(_, known)| {
            let timeout =
                if known.state == LinkState::Operator { GREETING_TIMEOUT * 15 } else { GREETING_TIMEOUT };
            known.state != LinkState::Identified && now >= known.since + timeout
        });
        for link in overdue.map(|(link, _)| *link).collect::<Vec<_>>() {
            self.close(link, "no greeting in time", effects);
        }
        if self.incarnations.current() > 0 {
            let is_live = |member: u16| !self.view.is_gone(member);
            let (group, plan, self_member) = (self.replica_table.group(), &self.plan, self.plan.self_member);
            let is_successor_of = |member: u16| {
                let fingerprint = digest(&[SUCCESSOR_SEED, plan.members[usize::from(member)].as_bytes()]);
                group.ranked_members(fingerprint).into_iter().find(|member| is_live(*member))
                    == Some(self_member)
            };
            // A member that does not reach a majority cannot determine who is gone.
            if self.view.has_majority() {
                // In a fleet with duties the holder of the duty `sweep` acts for all; else each ended incarnation has its own successor.
                let holds_sweep =
                    self.duties.as_ref().map(|duties| duties.current_action(now, SWEEP).is_some());
                let is_successor_of = |member: u16| holds_sweep.unwrap_or_else(|| is_successor_of(member));
                let actions = self.takeovers.sweep(now, is_successor_of, &self.connected_cores);
                let last_query = actions.iter().rev().find_map(|action| match action {
                    TakeoverAction::ListLines { server, member, .. } if *member != self.plan.self_member => {
                        Some((server, *member))
                    }
                    _ => None,
                });
                if let (Some((server, member)), Some(true)) = (last_query, holds_sweep) {
                    let checkpoint = format!("{} at {}", self.name(member), server.0);
                    self.duties
                        .iter_mut()
                        .for_each(|duties| duties.report_checkpoint(now, SWEEP, checkpoint.clone()));
                }
                self.do_takeover_actions(actions);
            }
            if std::mem::take(&mut self.takeovers.rescan_needed) && self.orphan_cursor.is_none() {
                self.orphan_cursor = Some(0);
            }
        }
    }
}
