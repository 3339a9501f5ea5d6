//! What the chair of a term knows of the others, how long it may act, and what it makes of the table.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::{extended_for_drift, shortened_for_drift};
use crate::ids::{Duty, FencingToken, TableId, Term};
use crate::messages::{Checkpoint, HandOver, Heartbeat, HeartbeatReply};
use crate::plan::Plan;
use crate::table::{ChangeReason, MAX_CHECKPOINT_BYTES, NO_MEMBER, Table};

/// Beats whose time of sending is remembered; an answer to an older one counts for nothing.
const MOST_SENT: usize = 64;
/// A member that loses its duties by silence is passed over for so many leases at most.
const MOST_PASSED: u32 = 64;

#[derive(Clone, Default)]
struct Seen {
    /// The last answer, when it came, and which beat it answered.
    back: u64,
    back_at: Option<Duration>,
    serial: u64,
    /// When the last beat that it answered was sent: one that speaks and does not hear is not there.
    hears_at: Option<Duration>,
    table: TableId,
    life: u64,
    willing: bool,
    /// Until when its leases may run: those of this life, and of lives before it.
    lent_until: Duration,
    former_until: Duration,
    strikes: u32,
    passed_until: Duration,
    gives: BTreeMap<Duty, HandOver>,
    refused: BTreeMap<Duty, FencingToken>,
}

pub(crate) struct Leadership {
    pub term: Term,
    pub began: Duration,
    serial: u64,
    sent: VecDeque<(u64, Duration)>,
    seen: Vec<Seen>,
    /// A majority keeps the table.
    pub agreed: bool,
    pub beat_at: Duration,
    marks: BTreeMap<Duty, Checkpoint>,
    /// What operators want, and until when it is tried.
    moves: BTreeMap<Duty, (Option<u16>, Duration)>,
    voters: Option<Vec<u16>>,
}

impl Seen {
    fn is_there(&self, now: Duration, plan: &Plan) -> bool {
        self.hears_at.is_some_and(|at| now < at + plan.lease_duration / 2)
    }
}

impl Leadership {
    /// Nobody knows what was lent before: it may run for a whole lease yet.
    pub fn new(now: Duration, term: Term, plan: &Plan) -> Self {
        let until = now + extended_for_drift(plan.lease_duration);
        let seen = Seen { lent_until: until, former_until: until, ..Seen::default() };
        Self {
            term,
            began: now,
            serial: 0,
            sent: VecDeque::new(),
            seen: vec![seen; usize::from(plan.member_count)],
            agreed: false,
            beat_at: now,
            marks: BTreeMap::new(),
            moves: BTreeMap::new(),
            voters: None,
        }
    }

    /// Until when a majority of voters has promised to help nobody else, counted from before it was asked.
    pub fn until(&self, table: &Table, promise: Duration) -> Duration {
        let mut heard: Vec<Duration> =
            table.voters.iter().filter_map(|voter| self.seen.get(usize::from(*voter))?.hears_at).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(table.majority() - 1).map_or(Duration::ZERO, |at| *at + shortened_for_drift(promise))
    }

    /// An answer. False: it is an old one.
    pub fn heard(&mut self, now: Duration, from: u16, back: HeartbeatReply, plan: &Plan) -> bool {
        let Some(seen) = self.seen.get_mut(usize::from(from)) else { return false };
        if back.incarnation < seen.life || back.incarnation == seen.life && back.reply_number <= seen.back {
            return false;
        }
        if back.incarnation > seen.life {
            // What was lent to the process before runs on.
            let former_until = seen.former_until.max(seen.lent_until);
            // A life that is heard for the first time in this term may be the one that holds what the table says.
            let lent_until = if seen.life == 0 { seen.lent_until } else { Duration::ZERO };
            let (strikes, passed_until) = (seen.strikes, seen.passed_until);
            *seen = Seen {
                life: back.incarnation,
                former_until,
                lent_until,
                strikes,
                passed_until,
                ..Seen::default()
            };
        }
        (seen.back, seen.back_at, seen.willing) = (back.reply_number, Some(now), back.accepts_duties);
        if let Some((_, at)) = self.sent.iter().find(|(sent, _)| *sent == back.heartbeat_serial) {
            seen.hears_at = seen.hears_at.max(Some(*at));
        }
        (seen.serial, seen.table) = (seen.serial.max(back.heartbeat_serial), back.table);
        let give = |give: HandOver| (give.duty, give);
        seen.gives = back.hand_overs.into_iter().take(plan.preferred_holders.len()).map(give).collect();
        let marks = back.checkpoints.into_iter().filter(|mark| mark.data.len() <= MAX_CHECKPOINT_BYTES);
        self.marks.extend(marks.take(plan.preferred_holders.len()).map(|mark| (mark.duty, mark)));
        seen.refused = back.refused_tokens.into_iter().take(plan.preferred_holders.len()).collect();
        true
    }

    pub fn wants(&mut self, now: Duration, duty: Duty, to: Option<u16>, plan: &Plan) {
        if usize::from(duty.0) < plan.preferred_holders.len() {
            self.moves.insert(duty, (to, now + plan.lease_duration));
        }
    }

    /// Another set of voters, one more or one less.
    pub fn wants_voters(&mut self, voters: Vec<u16>) {
        self.voters = Some(voters);
    }

    /// It answers, takes duties, and has not lost them again and again.
    fn is_fit(&self, now: Duration, member: u16, plan: &Plan) -> bool {
        self.seen
            .get(usize::from(member))
            .is_some_and(|seen| seen.is_there(now, plan) && seen.willing && now >= seen.passed_until)
    }

    fn next_for(&self, now: Duration, duty: Duty, but: u16, wanted: Option<u16>, plan: &Plan) -> Option<u16> {
        let fit = |member: &u16| *member != but && self.is_fit(now, *member, plan);
        wanted
            .filter(fit)
            .or_else(|| plan.preferred_holders.get(usize::from(duty.0))?.iter().copied().find(fit))
    }

    /// Whether a majority keeps the table; true: only now.
    pub fn count(&mut self, table: &Table) -> bool {
        let kept =
            |voter: &&u16| self.seen.get(usize::from(**voter)).is_some_and(|seen| seen.table == table.id);
        let agreed = table.voters.iter().filter(kept).count() >= table.majority();
        !std::mem::replace(&mut self.agreed, agreed) && agreed
    }

    /// The table that is to follow the one that is agreed on, if another is to.
    pub fn decide(&mut self, now: Duration, table: &Table, plan: &Plan) -> Option<Table> {
        if !self.agreed || now >= self.until(table, plan.vote_lock_duration()) {
            return None;
        }
        let mut next = table.clone();
        for (duty, mark) in std::mem::take(&mut self.marks) {
            let seat = next.assignment_mut(duty).filter(|seat| seat.token == mark.token);
            seat.into_iter().for_each(|seat| seat.checkpoint.clone_from(&mark.data));
        }
        self.moves.retain(|_, (_, until)| now < *until);
        for place in 0..plan.preferred_holders.len() {
            self.decide_on(now, Duty(place as u16), &mut next, plan);
        }
        if next == *table {
            next.voters = self.next_voters(table, plan);
        }
        if next == *table {
            return None;
        }
        next.id.version = next.id.version.saturating_add(1);
        self.agreed = false;
        Some(next)
    }

    fn decide_on(&mut self, now: Duration, duty: Duty, next: &mut Table, plan: &Plan) {
        let wanted = self.moves.get(&duty).and_then(|(to, _)| *to);
        let Some(seat) = next.assignment(duty).filter(|seat| seat.member != NO_MEMBER) else {
            // At first all get a moment to answer, or whoever answers first would have everything.
            let all = self.seen.iter().all(|seen| seen.hears_at.is_some());
            let may = all || now >= self.began + plan.heartbeat_interval();
            if let Some(member) = self.next_for(now, duty, NO_MEMBER, wanted, plan).filter(|_| may) {
                next.assign(duty, member, self.seen[usize::from(member)].life, ChangeReason::Free);
            }
            return;
        };
        let (holder, life, number) = (seat.member, seat.incarnation, seat.token);
        let seen = &self.seen[usize::from(holder)];
        let given = seen.gives.get(&duty).filter(|give| give.token == number && seen.life == life).copied();
        if let Some(give) = given {
            self.moves.remove(&duty);
            let to = self.next_for(now, duty, holder, wanted.or(give.to), plan);
            match to {
                Some(member) => {
                    next.assign(duty, member, self.seen[usize::from(member)].life, ChangeReason::Given)
                }
                None => {
                    // Its holder has let go; nobody is there to take it.
                    next.assign(duty, NO_MEMBER, 0, ChangeReason::Given);
                }
            }
            return;
        }
        // All voters had lost the table, and receivers know of later numbers: it gets one above those.
        if let Some(highest) =
            seen.refused.get(&duty).filter(|highest| **highest >= number && seen.life == life)
        {
            next.highest_token = next.highest_token.max(*highest);
            return next.assign(duty, holder, life, ChangeReason::Refused);
        }
        // By its lease it may hold it still.
        let until = if seen.life == life { seen.lent_until } else { seen.former_until };
        if now < until || seen.life == life && seen.is_there(now, plan) {
            return;
        }
        let restarted = seen.life > life;
        if let Some(member) =
            self.next_for(now, duty, if restarted { NO_MEMBER } else { holder }, wanted, plan)
        {
            if !restarted {
                let seen = &mut self.seen[usize::from(holder)];
                if now >= seen.passed_until + plan.lease_duration * MOST_PASSED {
                    seen.strikes = 0;
                }
                seen.strikes = (seen.strikes * 2).clamp(1, MOST_PASSED);
                seen.passed_until = now + plan.lease_duration * seen.strikes;
            }
            let why = if restarted { ChangeReason::Restarted } else { ChangeReason::Silent };
            next.assign(duty, member, self.seen[usize::from(member)].life, why);
        }
    }

    /// One voter more or less than those that are agreed on: two majorities of the old and the new set always meet.
    fn next_voters(&mut self, table: &Table, plan: &Plan) -> Vec<u16> {
        let Some(wanted) = &self.voters else { return table.voters.clone() };
        let mut next = table.voters.clone();
        if let Some(more) = wanted.iter().find(|voter| **voter < plan.member_count && !next.contains(voter)) {
            next.push(*more);
        } else if let Some(place) = next.iter().position(|voter| !wanted.contains(voter)) {
            next.remove(place);
        } else {
            self.voters = None;
        }
        next
    }

    /// The beat for a member; its leases are counted by it.
    pub fn beat(&mut self, now: Duration, to: u16, table: &Table, plan: &Plan) -> Heartbeat {
        let lends = self.agreed && now < self.until(table, plan.vote_lock_duration());
        let seen = &mut self.seen[usize::from(to)];
        let mut lent = 0;
        // Nothing is lent to one that does not hear: it could not know, and its time would never end.
        if let Some(at) = seen.back_at.filter(|_| lends && seen.is_there(now, plan)) {
            lent = seen.back;
            seen.lent_until = seen.lent_until.max(at + extended_for_drift(plan.lease_duration));
        }
        let moved = self.moves.keys().filter_map(|duty| table.assignment(*duty));
        let give = moved.filter(|seat| seat.member == to).map(|seat| (seat.duty, seat.token)).collect();
        let whole = (seen.table != table.id).then(|| table.clone());
        let (term, serial) = (self.term, self.serial);
        Heartbeat {
            term,
            serial,
            table: table.id,
            is_committed: self.agreed,
            lease_from_reply: lent,
            duties_to_release: give,
            full_table: whole,
        }
    }

    /// Beats that go out together bear one number, and the time before they go.
    pub fn begin_beats(&mut self, now: Duration) {
        self.serial += 1;
        if self.sent.len() >= MOST_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((self.serial, now));
    }

    /// When something may be due that no answer brings.
    pub fn next_due(&self) -> Duration {
        self.beat_at
    }
}
