//! One member: as voter, as chair when it is elected, and as holder of what the table gives it.
//!
//! This module has the state, its construction and what time brings; each role has a module of its own. All are methods of
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
use dispatch::Owed;

pub use interface::{Effect, Status};

enum Role {
    Follows,
    /// Asks in advance whether it would be voted for.
    Tries {
        yes: Vec<u16>,
        at: Duration,
    },
    Asks {
        term: Term,
        yes: Vec<u16>,
        at: Duration,
    },
    Leads(Box<Leadership>),
}

/// One member of a group that holds duties by lease: a state machine without I/O.
pub struct Lease {
    plan: Plan,
    now: Duration,
    chance: u64,
    life: u64,
    voter: Voter,
    /// The highest term that was heard of.
    known: Term,
    role: Role,
    /// The chair that was heard last, and its last beat.
    chair: Option<(u16, Term)>,
    beat: u64,
    /// The highest term whose chair has given up: what it said before may come after.
    resigned: Term,
    /// When it tries to be elected, unless a chair is heard.
    try_at: Duration,
    ask_lost_at: Duration,
    /// Orders to the disk, and what waits for each; the table that is there.
    keeps: u64,
    owed: BTreeMap<u64, Vec<Owed>>,
    keeping: BTreeMap<u64, TableId>,
    /// What the disk refused is tried again.
    again_at: Option<Duration>,
    durable: TableId,
    /// Answers, and when they went.
    backs: u64,
    sent: VecDeque<(u64, Duration)>,
    back_at: Duration,
    lease_until: Duration,
    agreed: TableId,
    held: BTreeMap<Duty, FencingToken>,
    gives: BTreeMap<Duty, HandOver>,
    marks: BTreeMap<Duty, Checkpoint>,
    refused: BTreeMap<Duty, FencingToken>,
    willing: bool,
    shy_until: Duration,
    late: (u32, Duration),
    due: Duration,
    /// A holder looks at the clock so often at least, so that it sees when it falls behind.
    tick_at: Duration,
    ending: bool,
    out: Vec<Effect>,
    /// Said to itself: its chair, voter and holder speak as if to others.
    own: VecDeque<LeaseMessage>,
}

impl Lease {
    /// `kept` is what the disk has; none where it has nothing, or where it is known to be older than what was said. `chance` is drawn
    /// from the system.
    pub fn new(now: Duration, mut plan: Plan, kept: Option<PersistedState>, chance: u64) -> Self {
        plan.preferred_holders.truncate(MAX_DUTIES);
        plan.voters.truncate(MAX_VOTERS);
        let voter =
            Voter::new(now, kept, plan.voters.clone(), plan.vote_lock_duration(), plan.lease_duration);
        let durable = voter.state.table.id;
        let mut lease = Self {
            known: voter.state.term,
            try_at: now,
            voter,
            now,
            chance,
            life: 0,
            role: Role::Follows,
            chair: None,
            beat: 0,
            resigned: Term::default(),
            ask_lost_at: now,
            keeps: 0,
            owed: BTreeMap::new(),
            keeping: BTreeMap::new(),
            again_at: None,
            durable,
            backs: 0,
            sent: VecDeque::new(),
            back_at: now,
            lease_until: Duration::ZERO,
            agreed: TableId::default(),
            held: BTreeMap::new(),
            gives: BTreeMap::new(),
            marks: BTreeMap::new(),
            refused: BTreeMap::new(),
            willing: true,
            shy_until: Duration::ZERO,
            late: (0, Duration::ZERO),
            due: now,
            tick_at: now,
            ending: false,
            out: Vec::new(),
            own: VecDeque::new(),
            plan,
        };
        lease.waits_to_try();
        lease
    }

    /// Whether this member is elected.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leads(_))
    }

    /// The table of duties that this member keeps.
    pub fn table(&self) -> &Table {
        &self.voter.state.table
    }

    /// How things stand, for operators.
    pub fn status(&self, now: Duration) -> Status {
        Status {
            term: self.voter.state.term,
            leader: self.chair.map(|(chair, _)| chair),
            table: self.table().clone(),
            committed_table: self.agreed,
            is_consistent: self.voter.is_consistent,
            held_duties: self.held.iter().map(|(duty, number)| (*duty, *number)).collect(),
            lease_remaining: self.lease_until.saturating_sub(now),
        }
    }

    /// Takes what is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// This process is in a life that its peers agree is new; zero: in none, and it holds nothing until it is.
    pub fn set_incarnation(&mut self, now: Duration, life: u64) {
        self.now = now;
        if self.life != life {
            self.life = life;
            self.drop_all("its life has ended");
            (self.lease_until, self.backs) = (Duration::ZERO, 0);
            self.sent.clear();
            self.gives.clear();
            self.marks.clear();
        }
        self.settle();
    }

    /// The disk turned out to be older than what this member had said: it votes for nobody until others have told.
    pub fn mark_state_stale(&mut self, now: Duration) {
        if std::mem::replace(&mut self.voter.is_consistent, false) {
            let voters = self.plan.voters.clone();
            let kept = std::mem::take(&mut self.voter.state);
            self.voter =
                Voter::new(now, None, voters, self.plan.vote_lock_duration(), self.plan.lease_duration);
            // What it has may be told to whoever has less; it is not counted.
            self.voter.state = kept;
            self.step_down("its disk is older than what it said");
        }
    }

    /// A message came from a member.
    pub fn message_received(&mut self, now: Duration, from: u16, word: LeaseMessage) {
        self.now = now;
        if from < self.plan.member_count {
            self.take(from, word);
        }
        self.settle();
    }

    /// This process is to end: it holds nothing more, and is no chair once others have what it held.
    pub fn shut_down(&mut self, now: Duration) {
        self.now = now;
        self.ending = true;
        self.shed("its process is to end");
        self.settle();
    }

    /// Nothing of it is left that others would wait for.
    pub fn is_shut_down(&self) -> bool {
        let mine =
            |seat: &DutyAssignment| seat.member == self.plan.self_member && seat.incarnation == self.life;
        self.ending && !self.is_leader() && !self.table().assignments.iter().any(mine)
    }

    /// An operator wants a duty to go elsewhere, or another set of voters: whoever is the chair is told.
    pub fn send_to_leader(&mut self, now: Duration, word: LeaseMessage) {
        self.now = now;
        if let Some((chair, _)) = self.chair {
            self.say(chair, word);
        }
        self.settle();
    }

    /// When [`Lease::alarm`] is to be called next.
    pub fn next_due(&self) -> Duration {
        let role = match &self.role {
            Role::Follows => self.try_at,
            Role::Tries { at, .. } | Role::Asks { at, .. } => *at,
            Role::Leads(chair) => chair.next_due(),
        };
        let lost = if self.voter.is_consistent { Duration::MAX } else { self.ask_lost_at };
        let lease = if self.held.is_empty() { Duration::MAX } else { self.lease_until.min(self.tick_at) };
        role.min(lost).min(lease).min(self.back_at).min(self.again_at.unwrap_or(Duration::MAX))
    }

    /// The time given by [`Lease::next_due`] has come.
    pub fn timer_fired(&mut self, now: Duration) {
        self.now = now;
        self.is_late();
        self.tick_at = now + self.plan.heartbeat_interval();
        if !self.held.is_empty() && now >= self.lease_until {
            self.drop_all("its lease ran out");
        }
        if now >= self.shy_until && !self.ending && !self.willing {
            self.willing = true;
        }
        if self.again_at.is_some_and(|at| at <= now) {
            self.again_at = None;
            self.keep(Vec::new());
        }
        if self.back_at <= now {
            self.say_back();
        }
        if !self.voter.is_consistent && self.ask_lost_at <= now {
            self.ask_lost_at = now + self.plan.heartbeat_interval();
            // Those who do not vote may know what all voters have lost.
            let others = (0..self.plan.member_count).filter(|member| *member != self.plan.self_member);
            self.out.extend(others.map(|member| Effect::Send(member, LeaseMessage::StateLost)));
            self.recovers();
        }
        match &mut self.role {
            Role::Follows if self.try_at <= now => self.try_it(),
            Role::Tries { at, .. } | Role::Asks { at, .. } if *at <= now => {
                self.role = Role::Follows;
                self.waits_to_try();
            }
            Role::Leads(_) => self.chairs(),
            _ => {}
        }
        self.settle();
    }
}
