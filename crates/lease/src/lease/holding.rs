//! The holder of duties: what the table gives it, for as long as its lease runs, and what it gives up.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Lease;
use super::interface::Effect;
use crate::clock::shortened_for_drift;
use crate::ids::{Duty, FencingToken};
use crate::messages::{Checkpoint, HandOver, Heartbeat, HeartbeatReply, LeaseMessage};
use crate::table::MAX_CHECKPOINT_BYTES;

/// Answers whose time of sending is remembered.
const MOST_SENT: usize = 64;
/// So often late by an eighth of a lease within one lease: this process falls behind, and gives its duties away.
const LATE: u32 = 3;
/// A member that gave its duties away since it fell behind takes none for so many leases.
const SHY: u32 = 4;

impl Lease {
    /// Does this member hold the duty, as far as its own clock tells? The number is what its acts bear.
    pub fn held_token(&self, now: Duration, duty: Duty) -> Option<FencingToken> {
        self.held.get(&duty).copied().filter(|_| now < self.lease_until)
    }

    /// How far this holder has come: [`Effect::CheckpointCommitted`] tells when whoever follows will know.
    pub fn report_checkpoint(&mut self, now: Duration, duty: Duty, mark: Vec<u8>) -> bool {
        self.now = now;
        let Some(number) = self.held_token(now, duty).filter(|_| mark.len() <= MAX_CHECKPOINT_BYTES) else {
            return false;
        };
        self.marks.insert(duty, Checkpoint { duty, token: number, data: mark });
        self.say_back();
        self.settle();
        true
    }

    /// A receiver refused an act, since it has seen this number.
    pub fn token_refused(&mut self, now: Duration, duty: Duty, highest: FencingToken) {
        self.now = now;
        // Where another has it by now that is no news.
        let Some(seat) = self.table().assignment(duty).filter(|seat| seat.member == self.plan.self_member)
        else {
            return;
        };
        if highest >= seat.token && seat.incarnation == self.life {
            self.refused.insert(duty, highest);
        }
        self.say_back();
        self.settle();
    }

    /// Gives a duty up, to that member if it can have it.
    pub fn hand_over(&mut self, now: Duration, duty: Duty, to: Option<u16>) {
        self.now = now;
        self.let_go(duty, to, "given up");
        self.say_back();
        self.settle();
    }

    pub(super) fn beat_came(&mut self, from: u16, beat: Heartbeat) {
        if beat.term.member() == from && beat.term <= self.resigned {
            return;
        }
        if beat.term.member() != from || !self.voter.hears(self.now, beat.term) {
            let (term, known) = (beat.term, self.voter.state.term.max(self.known));
            return self.say(
                from,
                LeaseMessage::VoteReply { term, granted: false, highest_term: known, newer_table: None },
            );
        }
        self.known = self.known.max(beat.term);
        if self.chair != Some((from, beat.term)) {
            (self.chair, self.beat) = (Some((from, beat.term)), 0);
        } else if beat.serial <= self.beat {
            return; // Said before, or on its way for long.
        }
        self.beat = beat.serial;
        self.waits_to_try();
        if from != self.plan.self_member {
            self.step_down("another is heard");
        }
        if let Some(table) = beat.full_table
            && table.id == beat.table
            && table.id > self.table().id
            && !table.is_malformed(self.plan.member_count)
        {
            self.voter.state.table = table;
            self.keep(Vec::new());
        }
        if self.table().id == beat.table {
            if let Some((_, at)) = self.sent.iter().find(|(back, _)| *back == beat.lease_from_reply) {
                self.lease_until = self.lease_until.max(*at + shortened_for_drift(self.plan.lease_duration));
            }
            if beat.is_committed {
                self.agreed = beat.table;
            }
            self.seats(beat.is_committed);
            for (duty, number) in beat.duties_to_release {
                if self.held.get(&duty) == Some(&number) {
                    self.let_go(duty, None, "asked for by the chair");
                }
            }
        }
        self.say_back();
    }

    /// Holds what the table gives it, and nothing else.
    fn seats(&mut self, agreed: bool) {
        let (me, life, now) = (self.plan.self_member, self.life, self.now);
        let mine: BTreeMap<Duty, (FencingToken, Vec<u8>)> = (self.voter.state.table.assignments.iter())
            .filter(|seat| seat.member == me && seat.incarnation == life && life > 0)
            .map(|seat| (seat.duty, (seat.token, seat.checkpoint.clone())))
            .collect();
        let gone =
            self.held.iter().filter(|(duty, number)| mine.get(duty).is_none_or(|seat| seat.0 != **number));
        for (duty, number) in gone.map(|(duty, number)| (*duty, *number)).collect::<Vec<_>>() {
            self.held.remove(&duty);
            self.out.push(Effect::DutyLost(duty, number, "another has it"));
        }
        let number_of = |duty: &Duty| mine.get(duty).map(|seat| seat.0);
        self.gives.retain(|duty, give| number_of(duty) == Some(give.token));
        self.marks.retain(|duty, mark| number_of(duty) == Some(mark.token));
        self.refused.retain(|duty, highest| number_of(duty).is_some_and(|number| number <= *highest));
        if !agreed || now >= self.lease_until {
            return;
        }
        for (duty, (number, seen)) in mine {
            if self.marks.get(&duty).is_some_and(|mark| mark.data == seen) {
                self.marks.remove(&duty);
                self.out.push(Effect::CheckpointCommitted(duty, number));
            }
            if !self.held.contains_key(&duty) && !self.gives.contains_key(&duty) {
                if self.held.is_empty() {
                    self.tick_at = now + self.plan.heartbeat_interval();
                }
                self.held.insert(duty, number);
                self.out.push(Effect::DutyAcquired(duty, number, seen));
            }
        }
    }

    fn let_go(&mut self, duty: Duty, to: Option<u16>, why: &'static str) {
        if let Some(number) = self.held.remove(&duty) {
            self.gives.insert(duty, HandOver { duty, token: number, to });
            self.out.push(Effect::DutyLost(duty, number, why));
        }
    }

    /// Gives all that it holds, and takes nothing more.
    pub(super) fn shed(&mut self, why: &'static str) {
        self.willing = false;
        // What it may not have begun, or whose lease ran out, is its own by the table all the same.
        let mine = self
            .voter
            .state
            .table
            .assignments
            .iter()
            .filter(|s| s.member == self.plan.self_member && s.incarnation == self.life);
        for seat in mine.map(|seat| (seat.duty, seat.token)).collect::<Vec<_>>() {
            self.held.insert(seat.0, seat.1);
            self.let_go(seat.0, None, why);
        }
        self.say_back();
    }

    pub(super) fn drop_all(&mut self, why: &'static str) {
        for (duty, number) in std::mem::take(&mut self.held) {
            self.out.push(Effect::DutyLost(duty, number, why));
        }
    }

    pub(super) fn say_back(&mut self) {
        self.back_at = self.now + self.plan.lease_duration / 2;
        let Some((chair, term)) = self.chair.filter(|_| self.life > 0) else { return };
        self.backs += 1;
        if self.sent.len() >= MOST_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((self.backs, self.now));
        // Those who do not vote need not keep it.
        let voter = self.table().is_voter(self.plan.self_member);
        let table = if voter { self.durable } else { self.table().id };
        let back = HeartbeatReply {
            term,
            heartbeat_serial: self.beat,
            table,
            reply_number: self.backs,
            incarnation: self.life,
            accepts_duties: self.willing,
            hand_overs: self.gives.values().copied().collect(),
            checkpoints: self.marks.values().cloned().collect(),
            refused_tokens: self.refused.iter().map(|(duty, number)| (*duty, *number)).collect(),
        };
        self.say(chair, LeaseMessage::HeartbeatReply(back));
    }

    /// A decision thread that falls behind gives its duties away before its lease suffers.
    pub(super) fn is_late(&mut self) {
        let late = self.now.saturating_sub(self.due) >= self.plan.heartbeat_interval();
        if !late || self.due.is_zero() {
            return;
        }
        if self.now >= self.late.1 + self.plan.lease_duration {
            self.late = (0, self.now);
        }
        self.late.0 += 1;
        if self.late.0 >= LATE && !self.held.is_empty() {
            self.late = (0, self.now);
            self.shy_until = self.now + self.plan.lease_duration * SHY;
            self.shed("this process falls behind");
        }
    }
}
