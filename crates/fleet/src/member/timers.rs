//! Work that is due at a time: connection attempts, heartbeats, retries, and the search for members that are gone.

use std::time::Duration;

use lotussaddle_replica::digest;
use lotussaddle_trunk::{Frame, PeerMessage};

use super::Member;
use super::interface::Effects;
use crate::duties::{Duties, SWEEP};
use crate::membership_view::MembershipMessage;
use crate::peers::{PeerLink, Way};
use crate::takeovers::TakeoverAction;

/// A link that says nothing of use for so long is closed.
const GREET_WITHIN: Duration = Duration::from_secs(2);

/// Hashed with a member's name to rank its successors; all members must have the same bytes.
const SUCCESSOR_SEED: &[u8] = b"estate";

impl Member {
    /// When `alarm` is to be called next.
    pub fn next_due(&self) -> Duration {
        let dues = [
            self.peers.next_due(),
            self.lives.next_due().map(|at| at.max(self.retired_until)),
            self.redials.next_due(),
            self.confirmations.next_due(),
            self.takeovers.next_due(),
            self.duties.as_ref().map(Duties::next_due),
            self.tasks.next_due(false),
            Some(self.look_at),
            Some(self.compare_at),
        ];
        dues.into_iter().flatten().fold(self.view.next_due(), Duration::min)
    }

    /// The time given by `next_due` has come.
    pub fn alarm(&mut self, now: Duration, effects: &mut dyn Effects) {
        self.now = now;
        for member in self.peers.to_begin(now) {
            let link = effects.connect(member);
            self.peers.begun(now, member, link);
        }
        self.ask_for_life(effects);
        if let Some(duties) = self.duties.as_mut().filter(|duties| duties.next_due() <= now) {
            duties.alarm(now, &self.cores);
        }
        let actions = self.redials.alarm(now);
        self.do_redial_actions(actions);
        self.unconfirmed();
        let actions = self.takeovers.alarm(now);
        self.do_takeover_actions(actions);
        if self.view.next_due() <= now {
            self.send_membership(effects);
        }
        if self.look_at <= now {
            self.look_at = now + self.plan.silence / 2;
            self.look_round(effects);
        }
        if self.compare_at <= now {
            self.compare_at = now + self.plan.compare_every;
            self.compare();
        }
        self.update_pending_tasks();
    }

    fn send_membership(&mut self, effects: &mut dyn Effects) {
        self.view.set_self(self.now, self.lives.mine(), self.caught_up());
        for MembershipMessage { to, is_heartbeat, bytes } in self.view.tick(self.now) {
            let Some(link) = self.peers.to(to) else { continue };
            self.tell(link, Frame::PeerMessage(PeerMessage::Membership { message: bytes }), effects);
            if is_heartbeat {
                self.tell_disk_count(link, effects);
            }
        }
    }

    /// Tells a neighbour how many writes the disk has had, where that is news to it.
    fn tell_disk_count(&mut self, link: PeerLink, effects: &mut dyn Effects) {
        let saved = self.writes.saved();
        let Some(known) = self.peers.links.get_mut(&link) else { return };
        if known.told_saved.replace(saved) != Some(saved) {
            self.tell(link, Frame::PeerMessage(PeerMessage::DiskCount { saved }), effects);
        }
    }

    /// Who is gone, which links are dead, what is left behind.
    fn look_round(&mut self, effects: &mut dyn Effects) {
        let now = self.now;
        for member in 0..self.plan.members.len() as u16 {
            let gone = self.view.gone(member);
            if gone && !self.was_gone.has(member) {
                self.was_gone.set(member);
                effects.log(&format!("member {} is not heard by a majority", self.name(member)));
                self.takeovers.ended(now, member, self.view.life(member));
            } else if !gone && self.was_gone.has(member) {
                self.was_gone.unset(member);
                effects.log(&format!("member {} is heard again", self.name(member)));
                let life = self.view.life(member);
                self.takeovers.returned(member, life);
                self.takeovers.ended(now, member, life.saturating_sub(1));
            }
        }
        self.review_links(effects);
        let slow = self.peers.links.iter().filter(|(_, known)| {
            let wait = if known.way == Way::Operator { GREET_WITHIN * 15 } else { GREET_WITHIN };
            known.way != Way::Here && now >= known.since + wait
        });
        for link in slow.map(|(link, _)| *link).collect::<Vec<_>>() {
            self.close(link, "no greeting in time", effects);
        }
        if self.lives.mine() > 0 {
            let live = |member: u16| !self.view.gone(member);
            let (group, plan, me) = (self.book.group(), &self.plan, self.plan.me);
            let is_successor_of = |member: u16| {
                let print = digest(&[SUCCESSOR_SEED, plan.members[usize::from(member)].as_bytes()]);
                group.ranked_members(print).into_iter().find(|member| live(*member)) == Some(me)
            };
            // One that hears no majority cannot tell who is gone.
            if self.view.with_majority() {
                // Where there are duties one member sweeps for all; else each ended incarnation has its own successor.
                let sweeps = self.duties.as_ref().map(|duties| duties.act(now, SWEEP).is_some());
                let is_successor_of = |member: u16| sweeps.unwrap_or_else(|| is_successor_of(member));
                let actions = self.takeovers.sweep(now, is_successor_of, &self.cores);
                let asked = actions.iter().rev().find_map(|action| match action {
                    TakeoverAction::What { server, member, .. } if *member != self.plan.me => {
                        Some((server, *member))
                    }
                    _ => None,
                });
                if let (Some((server, member)), Some(true)) = (asked, sweeps) {
                    let mark = format!("{} at {}", self.name(member), server.0);
                    self.duties.iter_mut().for_each(|duties| duties.mark(now, SWEEP, mark.clone()));
                }
                self.do_takeover_actions(actions);
            }
            if std::mem::take(&mut self.takeovers.look_again) && self.look_from.is_none() {
                self.look_from = Some(0);
            }
        }
    }
}
