//! One member: as voter, as leader when it is elected, and as holder of the duties that the table assigns to it.
//!
//! This module has the state, its construction, the inputs and the timer; each role has a module of its own with methods of
//! [`Lease`].

mod dispatch;
mod election;
mod holding;
mod interface;
mod leading;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{Duty, FencingToken, TableId, Term};
use crate::leader::Leadership;
use crate::messages::{Checkpoint, HandOver, LeaseMessage};
use crate::plan::Plan;
use crate::table::{DutyAssignment, MAX_DUTIES, MAX_VOTERS, Table};
use crate::voter::{PersistedState, Voter};
use dispatch::DeferredAction;

pub use interface::{Effect, Status};

enum Role {
    Follower,
    /// Asks in advance whether it would be voted for.
    PreCandidate {
        supporters: Vec<u16>,
        deadline: Duration,
    },
    Candidate {
        term: Term,
        supporters: Vec<u16>,
        deadline: Duration,
    },
    Leader(Box<Leadership>),
}

/// One member of a group that holds duties by lease: a state machine without I/O.
pub struct Lease {
    plan: Plan,
    now: Duration,
    random_state: u64,
    incarnation: u64,
    voter: Voter,
    highest_known_term: Term,
    role: Role,
    /// The leader that sent the last valid heartbeat, and that heartbeat's serial.
    leader: Option<(u16, Term)>,
    last_heartbeat_serial: u64,
    /// The highest term whose leader has resigned: its heartbeats may arrive after its resignation.
    resigned_term: Term,
    /// When this member becomes a candidate unless a heartbeat arrives.
    candidacy_at: Duration,
    /// When this member asks the others for their state again.
    state_query_at: Duration,
    /// The number of the last persist order; by order, the deferred actions and the table that is being written.
    last_persist_order: u64,
    deferred_actions: BTreeMap<u64, Vec<DeferredAction>>,
    persisting_tables: BTreeMap<u64, TableId>,
    /// When a failed write to the disk is repeated.
    persist_retry_at: Option<Duration>,
    /// The newest table that is on disk.
    durable_table: TableId,
    /// The number of the last reply to the leader; replies with the time when each was sent.
    last_reply_number: u64,
    sent_replies: VecDeque<(u64, Duration)>,
    next_reply_at: Duration,
    lease_until: Duration,
    committed_table: TableId,
    held: BTreeMap<Duty, FencingToken>,
    /// Sent with each reply until the table shows that the leader has applied them.
    hand_overs: BTreeMap<Duty, HandOver>,
    checkpoints: BTreeMap<Duty, Checkpoint>,
    refused_tokens: BTreeMap<Duty, FencingToken>,
    accepts_duties: bool,
    declines_duties_until: Duration,
    /// The number of late timers in the current window of one lease duration, and when that window began.
    late_timers: (u32, Duration),
    expected_timer_at: Duration,
    /// When a holder of duties checks its clock next, so that it notices when it falls behind.
    holder_check_at: Duration,
    is_shutting_down: bool,
    effects: Vec<Effect>,
    /// Messages to itself: its leader, voter and holder roles communicate as they do with other members.
    messages_to_self: VecDeque<LeaseMessage>,
}

impl Lease {
    /// `stored` is the state on disk; none if there is none, or if it is known to be older than what this member has sent.
    /// `random_seed` comes from the system.
    pub fn new(now: Duration, mut plan: Plan, stored: Option<PersistedState>, random_seed: u64) -> Self {
        plan.preferred_holders.truncate(MAX_DUTIES);
        plan.voters.truncate(MAX_VOTERS);
        let voter =
            Voter::new(now, stored, plan.voters.clone(), plan.vote_lock_duration(), plan.lease_duration);
        let durable_table = voter.state.table.id;
        let mut lease = Self {
            highest_known_term: voter.state.term,
            candidacy_at: now,
            voter,
            now,
            random_state: random_seed,
            incarnation: 0,
            role: Role::Follower,
            leader: None,
            last_heartbeat_serial: 0,
            resigned_term: Term::default(),
            state_query_at: now,
            last_persist_order: 0,
            deferred_actions: BTreeMap::new(),
            persisting_tables: BTreeMap::new(),
            persist_retry_at: None,
            durable_table,
            last_reply_number: 0,
            sent_replies: VecDeque::new(),
            next_reply_at: now,
            lease_until: Duration::ZERO,
            committed_table: TableId::default(),
            held: BTreeMap::new(),
            hand_overs: BTreeMap::new(),
            checkpoints: BTreeMap::new(),
            refused_tokens: BTreeMap::new(),
            accepts_duties: true,
            declines_duties_until: Duration::ZERO,
            late_timers: (0, Duration::ZERO),
            expected_timer_at: now,
            holder_check_at: now,
            is_shutting_down: false,
            effects: Vec::new(),
            messages_to_self: VecDeque::new(),
            plan,
        };
        lease.schedule_candidacy();
        lease
    }

    /// Whether this member is the elected leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// This member's current table of duties.
    pub fn table(&self) -> &Table {
        &self.voter.state.table
    }

    /// The state of this member, for operators.
    pub fn status(&self, now: Duration) -> Status {
        Status {
            term: self.voter.state.term,
            leader: self.leader.map(|(leader, _)| leader),
            table: self.table().clone(),
            committed_table: self.committed_table,
            is_consistent: self.voter.is_consistent,
            held_duties: self.held.iter().map(|(duty, token)| (*duty, *token)).collect(),
            lease_remaining: self.lease_until.saturating_sub(now),
        }
    }

    /// Returns the effects of all inputs since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Sets the incarnation that the peers have agreed on for this process. Zero: none, and it holds nothing until there is one.
    pub fn set_incarnation(&mut self, now: Duration, incarnation: u64) {
        self.now = now;
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.drop_held_duties("incarnation changed");
            (self.lease_until, self.last_reply_number) = (Duration::ZERO, 0);
            self.sent_replies.clear();
            self.hand_overs.clear();
            self.checkpoints.clear();
        }
        self.process_messages_to_self();
    }

    /// The state read from disk is older than state that this member had already sent to others: it votes for nobody until others
    /// have reported their state.
    pub fn mark_state_stale(&mut self, now: Duration) {
        if std::mem::replace(&mut self.voter.is_consistent, false) {
            let voters = self.plan.voters.clone();
            let state = std::mem::take(&mut self.voter.state);
            self.voter =
                Voter::new(now, None, voters, self.plan.vote_lock_duration(), self.plan.lease_duration);
            // Its state is still reported to members that have less, but does not count as consistent.
            self.voter.state = state;
            self.step_down("persisted state is older than what was sent");
        }
    }

    /// Handles a message of another member.
    pub fn message_received(&mut self, now: Duration, from: u16, message: LeaseMessage) {
        self.now = now;
        if from < self.plan.member_count {
            self.handle_message(from, message);
        }
        self.process_messages_to_self();
    }

    /// Starts the shutdown: this member hands over its duties and resigns as leader once others have them.
    pub fn shut_down(&mut self, now: Duration) {
        self.now = now;
        self.is_shutting_down = true;
        self.release_all_duties("process is shutting down");
        self.process_messages_to_self();
    }

    /// Whether the shutdown is complete: no duty is assigned to this member, and it is not the leader.
    pub fn is_shut_down(&self) -> bool {
        let is_own = |assignment: &DutyAssignment| {
            assignment.member == self.plan.self_member && assignment.incarnation == self.incarnation
        };
        self.is_shutting_down && !self.is_leader() && !self.table().assignments.iter().any(is_own)
    }

    /// Forwards an operator's request, to move a duty or change the voters, to the current leader.
    pub fn send_to_leader(&mut self, now: Duration, message: LeaseMessage) {
        self.now = now;
        if let Some((leader, _)) = self.leader {
            self.send(leader, message);
        }
        self.process_messages_to_self();
    }

    /// When [`Lease::timer_fired`] is to be called next.
    pub fn next_due(&self) -> Duration {
        let role = match &self.role {
            Role::Follower => self.candidacy_at,
            Role::PreCandidate { deadline, .. } | Role::Candidate { deadline, .. } => *deadline,
            Role::Leader(leadership) => leadership.next_due(),
        };
        let state_query = if self.voter.is_consistent { Duration::MAX } else { self.state_query_at };
        let lease =
            if self.held.is_empty() { Duration::MAX } else { self.lease_until.min(self.holder_check_at) };
        role.min(state_query)
            .min(lease)
            .min(self.next_reply_at)
            .min(self.persist_retry_at.unwrap_or(Duration::MAX))
    }

    /// The time given by [`Lease::next_due`] has come.
    pub fn timer_fired(&mut self, now: Duration) {
        self.now = now;
        self.check_lateness();
        self.holder_check_at = now + self.plan.heartbeat_interval();
        if !self.held.is_empty() && now >= self.lease_until {
            self.drop_held_duties("lease expired");
        }
        if now >= self.declines_duties_until && !self.is_shutting_down && !self.accepts_duties {
            self.accepts_duties = true;
        }
        if self.persist_retry_at.is_some_and(|at| at <= now) {
            self.persist_retry_at = None;
            self.persist(Vec::new());
        }
        if self.next_reply_at <= now {
            self.send_reply();
        }
        if !self.voter.is_consistent && self.state_query_at <= now {
            self.state_query_at = now + self.plan.heartbeat_interval();
            // Members that do not vote may know what all voters have lost.
            let others = (0..self.plan.member_count).filter(|member| *member != self.plan.self_member);
            self.effects.extend(others.map(|member| Effect::Send(member, LeaseMessage::StateLost)));
            self.try_recover_state();
        }
        match &mut self.role {
            Role::Follower if self.candidacy_at <= now => self.start_pre_vote(),
            Role::PreCandidate { deadline, .. } | Role::Candidate { deadline, .. } if *deadline <= now => {
                self.role = Role::Follower;
                self.schedule_candidacy();
            }
            Role::Leader(_) => self.advance_leadership(),
            _ => {}
        }
        self.process_messages_to_self();
    }
}
