//! The leader of a term: what it knows of the other members, how long it may act, and how it changes the table.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::{extended_for_drift, shortened_for_drift};
use crate::ids::{Duty, FencingToken, TableId, Term};
use crate::messages::{Checkpoint, HandOver, Heartbeat, HeartbeatReply};
use crate::plan::Plan;
use crate::table::{ChangeReason, MAX_CHECKPOINT_BYTES, NO_MEMBER, Table};

/// The number of heartbeat rounds whose send time is remembered; a reply to an older one does not prove that the member is responsive.
const MAX_REMEMBERED_HEARTBEATS: usize = 64;
/// The maximum penalty, in lease durations: the time for which a member that lost its duties by being unresponsive is given none.
const MAX_PENALTY_LEASES: u32 = 64;

/// What the leader knows of one member.
#[derive(Clone, Default)]
struct MemberView {
    /// The number of its last reply, when that reply was received, and the serial of the latest heartbeat that it answered.
    last_reply: u64,
    last_reply_at: Option<Duration>,
    answered_serial: u64,
    /// When the last heartbeat that it answered was sent: a member that sends but does not receive counts as unresponsive.
    answered_sent_at: Option<Duration>,
    table: TableId,
    incarnation: u64,
    accepts_duties: bool,
    /// Until when the leases of the member's current incarnation, and those of its previous ones, may run.
    lease_until: Duration,
    previous_lease_until: Duration,
    /// The current length of its penalty, in lease durations; it doubles with each repetition.
    penalty_leases: u32,
    ineligible_until: Duration,
    hand_overs: BTreeMap<Duty, HandOver>,
    refused_tokens: BTreeMap<Duty, FencingToken>,
}

pub(crate) struct Leadership {
    pub term: Term,
    pub started_at: Duration,
    heartbeat_serial: u64,
    /// Heartbeat rounds by serial, with the time when each was sent.
    sent_heartbeats: VecDeque<(u64, Duration)>,
    members: Vec<MemberView>,
    /// Whether a majority has persisted the table.
    pub is_committed: bool,
    pub next_heartbeat_at: Duration,
    checkpoints: BTreeMap<Duty, Checkpoint>,
    /// Moves requested by operators, and until when each is attempted.
    requested_moves: BTreeMap<Duty, (Option<u16>, Duration)>,
    requested_voters: Option<Vec<u16>>,
}

impl MemberView {
    fn is_responsive(&self, now: Duration, plan: &Plan) -> bool {
        self.answered_sent_at.is_some_and(|at| now < at + plan.lease_duration / 2)
    }
}

impl Leadership {
    /// The leases that earlier leaders granted are not known: each may still run for its whole duration.
    pub fn new(now: Duration, term: Term, plan: &Plan) -> Self {
        let until = now + extended_for_drift(plan.lease_duration);
        let view = MemberView { lease_until: until, previous_lease_until: until, ..MemberView::default() };
        Self {
            term,
            started_at: now,
            heartbeat_serial: 0,
            sent_heartbeats: VecDeque::new(),
            members: vec![view; usize::from(plan.member_count)],
            is_committed: false,
            next_heartbeat_at: now,
            checkpoints: BTreeMap::new(),
            requested_moves: BTreeMap::new(),
            requested_voters: None,
        }
    }

    /// Until when a majority of voters supports no other candidate. It counts from when the answered heartbeats were sent, which is
    /// before the voters received them.
    pub fn authority_until(&self, table: &Table, vote_lock_duration: Duration) -> Duration {
        let mut answered: Vec<Duration> = table
            .voters
            .iter()
            .filter_map(|voter| self.members.get(usize::from(*voter))?.answered_sent_at)
            .collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        answered
            .get(table.majority() - 1)
            .map_or(Duration::ZERO, |at| *at + shortened_for_drift(vote_lock_duration))
    }

    /// Handles a reply of a member. False: it is outdated.
    pub fn reply_received(&mut self, now: Duration, from: u16, reply: HeartbeatReply, plan: &Plan) -> bool {
        let Some(view) = self.members.get_mut(usize::from(from)) else { return false };
        if reply.incarnation < view.incarnation
            || reply.incarnation == view.incarnation && reply.reply_number <= view.last_reply
        {
            return false;
        }
        if reply.incarnation > view.incarnation {
            // Leases granted to the previous process continue to run.
            let previous_lease_until = view.previous_lease_until.max(view.lease_until);
            // The first incarnation seen in this term may be the one that holds what the table assigns.
            let lease_until = if view.incarnation == 0 { view.lease_until } else { Duration::ZERO };
            let (penalty_leases, ineligible_until) = (view.penalty_leases, view.ineligible_until);
            *view = MemberView {
                incarnation: reply.incarnation,
                previous_lease_until,
                lease_until,
                penalty_leases,
                ineligible_until,
                ..MemberView::default()
            };
        }
        (view.last_reply, view.last_reply_at, view.accepts_duties) =
            (reply.reply_number, Some(now), reply.accepts_duties);
        if let Some((_, at)) =
            self.sent_heartbeats.iter().find(|(serial, _)| *serial == reply.heartbeat_serial)
        {
            view.answered_sent_at = view.answered_sent_at.max(Some(*at));
        }
        (view.answered_serial, view.table) = (view.answered_serial.max(reply.heartbeat_serial), reply.table);
        let by_duty = |hand_over: HandOver| (hand_over.duty, hand_over);
        view.hand_overs =
            reply.hand_overs.into_iter().take(plan.preferred_holders.len()).map(by_duty).collect();
        let checkpoints =
            reply.checkpoints.into_iter().filter(|checkpoint| checkpoint.data.len() <= MAX_CHECKPOINT_BYTES);
        self.checkpoints.extend(
            checkpoints.take(plan.preferred_holders.len()).map(|checkpoint| (checkpoint.duty, checkpoint)),
        );
        view.refused_tokens = reply.refused_tokens.into_iter().take(plan.preferred_holders.len()).collect();
        true
    }

    pub fn request_move(&mut self, now: Duration, duty: Duty, to: Option<u16>, plan: &Plan) {
        if usize::from(duty.0) < plan.preferred_holders.len() {
            self.requested_moves.insert(duty, (to, now + plan.lease_duration));
        }
    }

    /// Requests another set of voters; it is reached one voter at a time.
    pub fn request_voters(&mut self, voters: Vec<u16>) {
        self.requested_voters = Some(voters);
    }

    /// Whether a member can be given a duty: it responds, accepts duties, and is not under a penalty.
    fn is_eligible(&self, now: Duration, member: u16, plan: &Plan) -> bool {
        self.members.get(usize::from(member)).is_some_and(|view| {
            view.is_responsive(now, plan) && view.accepts_duties && now >= view.ineligible_until
        })
    }

    fn next_holder(
        &self, now: Duration, duty: Duty, excluded: u16, wanted: Option<u16>, plan: &Plan,
    ) -> Option<u16> {
        let is_candidate = |member: &u16| *member != excluded && self.is_eligible(now, *member, plan);
        wanted
            .filter(is_candidate)
            .or_else(|| plan.preferred_holders.get(usize::from(duty.0))?.iter().copied().find(is_candidate))
    }

    /// Updates whether the table is committed. True: it has just become so.
    pub fn update_commitment(&mut self, table: &Table) -> bool {
        let has_table =
            |voter: &&u16| self.members.get(usize::from(**voter)).is_some_and(|view| view.table == table.id);
        let is_committed = table.voters.iter().filter(has_table).count() >= table.majority();
        !std::mem::replace(&mut self.is_committed, is_committed) && is_committed
    }

    /// The successor of the committed table, if anything in it is to change.
    pub fn next_table(&mut self, now: Duration, table: &Table, plan: &Plan) -> Option<Table> {
        if !self.is_committed || now >= self.authority_until(table, plan.vote_lock_duration()) {
            return None;
        }
        let mut next = table.clone();
        for (duty, checkpoint) in std::mem::take(&mut self.checkpoints) {
            let assignment =
                next.assignment_mut(duty).filter(|assignment| assignment.token == checkpoint.token);
            assignment.into_iter().for_each(|assignment| assignment.checkpoint.clone_from(&checkpoint.data));
        }
        self.requested_moves.retain(|_, (_, until)| now < *until);
        for index in 0..plan.preferred_holders.len() {
            self.update_assignment(now, Duty(index as u16), &mut next, plan);
        }
        if next == *table {
            next.voters = self.next_voters(table, plan);
        }
        if next == *table {
            return None;
        }
        next.id.version = next.id.version.saturating_add(1);
        self.is_committed = false;
        Some(next)
    }

    fn update_assignment(&mut self, now: Duration, duty: Duty, next: &mut Table, plan: &Plan) {
        let wanted = self.requested_moves.get(&duty).and_then(|(to, _)| *to);
        let Some(assignment) = next.assignment(duty).filter(|assignment| assignment.member != NO_MEMBER)
        else {
            // At the start of a term all members get time to answer, or the first to answer would be given every duty.
            let all_answered = self.members.iter().all(|view| view.answered_sent_at.is_some());
            let may_assign = all_answered || now >= self.started_at + plan.heartbeat_interval();
            if let Some(member) = self.next_holder(now, duty, NO_MEMBER, wanted, plan).filter(|_| may_assign)
            {
                next.assign(duty, member, self.members[usize::from(member)].incarnation, ChangeReason::Free);
            }
            return;
        };
        let (holder, incarnation, token) = (assignment.member, assignment.incarnation, assignment.token);
        let view = &self.members[usize::from(holder)];
        let hand_over = view
            .hand_overs
            .get(&duty)
            .filter(|hand_over| hand_over.token == token && view.incarnation == incarnation)
            .copied();
        if let Some(hand_over) = hand_over {
            self.requested_moves.remove(&duty);
            let to = self.next_holder(now, duty, holder, wanted.or(hand_over.to), plan);
            match to {
                Some(member) => next.assign(
                    duty,
                    member,
                    self.members[usize::from(member)].incarnation,
                    ChangeReason::Given,
                ),
                None => {
                    // The holder has stopped and no other member is eligible.
                    next.assign(duty, NO_MEMBER, 0, ChangeReason::Given);
                }
            }
            return;
        }
        // A receiver has accepted this token from another holder, or a higher one, as can happen after all voters lost the table: the
        // duty gets a token above that one.
        if let Some(highest) = view
            .refused_tokens
            .get(&duty)
            .filter(|highest| **highest >= token && view.incarnation == incarnation)
        {
            next.highest_token = next.highest_token.max(*highest);
            return next.assign(duty, holder, incarnation, ChangeReason::Refused);
        }
        // The holder's lease may still run.
        let until =
            if view.incarnation == incarnation { view.lease_until } else { view.previous_lease_until };
        if now < until || view.incarnation == incarnation && view.is_responsive(now, plan) {
            return;
        }
        let was_restarted = view.incarnation > incarnation;
        if let Some(member) =
            self.next_holder(now, duty, if was_restarted { NO_MEMBER } else { holder }, wanted, plan)
        {
            if !was_restarted {
                let view = &mut self.members[usize::from(holder)];
                if now >= view.ineligible_until + plan.lease_duration * MAX_PENALTY_LEASES {
                    view.penalty_leases = 0;
                }
                view.penalty_leases = (view.penalty_leases * 2).clamp(1, MAX_PENALTY_LEASES);
                view.ineligible_until = now + plan.lease_duration * view.penalty_leases;
            }
            let reason = if was_restarted { ChangeReason::Restarted } else { ChangeReason::Silent };
            next.assign(duty, member, self.members[usize::from(member)].incarnation, reason);
        }
    }

    /// The voters with one added or removed on the way to the requested set: any majorities of two such sets intersect.
    fn next_voters(&mut self, table: &Table, plan: &Plan) -> Vec<u16> {
        let Some(wanted) = &self.requested_voters else { return table.voters.clone() };
        let mut next = table.voters.clone();
        if let Some(added) = wanted.iter().find(|voter| **voter < plan.member_count && !next.contains(voter))
        {
            next.push(*added);
        } else if let Some(index) = next.iter().position(|voter| !wanted.contains(voter)) {
            next.remove(index);
        } else {
            self.requested_voters = None;
        }
        next
    }

    /// The heartbeat for a member; the lease that it grants is recorded.
    pub fn heartbeat_for(&mut self, now: Duration, to: u16, table: &Table, plan: &Plan) -> Heartbeat {
        let may_grant = self.is_committed && now < self.authority_until(table, plan.vote_lock_duration());
        let view = &mut self.members[usize::from(to)];
        let mut lease_from_reply = 0;
        // No lease for a member that does not receive heartbeats: it would not know of it, and the lease would be renewed for ever.
        if let Some(at) = view.last_reply_at.filter(|_| may_grant && view.is_responsive(now, plan)) {
            lease_from_reply = view.last_reply;
            view.lease_until = view.lease_until.max(at + extended_for_drift(plan.lease_duration));
        }
        let moving = self.requested_moves.keys().filter_map(|duty| table.assignment(*duty));
        let duties_to_release = moving
            .filter(|assignment| assignment.member == to)
            .map(|assignment| (assignment.duty, assignment.token))
            .collect();
        let full_table = (view.table != table.id).then(|| table.clone());
        let (term, serial) = (self.term, self.heartbeat_serial);
        Heartbeat {
            term,
            serial,
            table: table.id,
            is_committed: self.is_committed,
            lease_from_reply,
            duties_to_release,
            full_table,
        }
    }

    /// Starts a round of heartbeats: they share one serial, and their send time is taken before any of them is sent.
    pub fn begin_heartbeat_round(&mut self, now: Duration) {
        self.heartbeat_serial += 1;
        if self.sent_heartbeats.len() >= MAX_REMEMBERED_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back((self.heartbeat_serial, now));
    }

    /// When the leader has to act next if no reply is received before.
    pub fn next_due(&self) -> Duration {
        self.next_heartbeat_at
    }
}
