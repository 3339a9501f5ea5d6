//! One member: inputs of peers, core servers and its own edge proxy, each turned straight into calls on the parts.
//!
//! This module has the state and its construction; each kind of input has a module of its own. All are methods of [`Member`].

mod background;
mod batches;
mod confirmations;
mod core_servers;
mod dispatch;
mod duty_acts;
mod incarnations;
mod interface;
mod links;
mod own_dialogues;
mod repair;
mod saves;
mod search;
mod streams;
mod table_orders;
mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, ServerId};
use lotussaddle_chores::{BackgroundTasks, Budget};
use lotussaddle_replica::{ReplicaLimits, ReplicaTable};
use lotussaddle_trunk::{Cursor, Owner, PeerMessage};

use crate::duties::Duties;
use crate::lives::Lives;
use crate::membership_view::{MemberSet, MembershipView};
use crate::peers::Peers;
use crate::plan::Plan;
use crate::redial::Redials;
use crate::takeovers::Takeovers;

use background::{FORGET, LOOK, PIECES, REPAIR};
use confirmations::Confirmations;
use repair::RepairQueue;
use saves::DiskWrites;
use streams::Incoming;
use table_orders::TableOrders;

pub use interface::{Counts, Effects, Finding, Save, Stored};

/// One member of a fleet as a state machine: calls are its inputs, [`Effects`] and [`Finding`] its outputs.
pub struct Member {
    plan: Plan,
    group: u64,
    now: Duration,
    view: MembershipView,
    lives: Lives,
    peers: Peers,
    book: ReplicaTable,
    redials: Redials,
    takeovers: Takeovers,
    duties: Option<Duties>,
    table_orders: TableOrders,
    /// The order to the disk that the last number of a duty is kept by.
    fenced_by: Option<u64>,
    /// It held `sweep` when it was looked at last.
    sweeps: bool,
    /// There was a disk in this life.
    has_disk: bool,
    incoming: Vec<Incoming>,
    /// A peer has said what it has, and its stream goes on.
    resumed: Vec<bool>,
    /// The disk's copies were of the life before this one: all that was acknowledged is here.
    fresh: bool,
    /// Since when everything that could have been lost at the start is forgotten by all.
    wise_at: Duration,
    retired_until: Duration,
    overtaken_at: Option<Duration>,
    confirmations: Confirmations,
    lets: BTreeMap<DialogueId, Vec<(u16, u64, Owner)>>,
    findings: Vec<Finding>,
    /// Said to peers at the end of the turn.
    to_say: Vec<(u16, PeerMessage)>,
    /// Answers to questions, each a promise: said once it is kept.
    known: Vec<(u16, PeerMessage)>,
    /// Changed in this turn, to be kept on disk.
    changed: BTreeSet<DialogueId>,
    writes: DiskWrites,
    /// The shortest time, as peers count it, for which the life before this one has been gone.
    away: Option<Duration>,
    tickets: u64,
    /// Core servers to which a link is up.
    cores: BTreeSet<ServerId>,
    tasks: BackgroundTasks,
    look_from: Option<u64>,
    wants_pieces: VecDeque<(u16, Cursor)>,
    repairs: RepairQueue,
    /// Until then a new life is asked for only once a majority of this member and its neighbours has told what it knows.
    neighbours_tell_by: Duration,
    look_at: Duration,
    compare_at: Duration,
    was_gone: MemberSet,
    counts: Counts,
}

impl Member {
    /// A member that starts at `now` with what its disk had stored; `chance` is drawn from the system.
    pub fn new(now: Duration, plan: Plan, stored: Stored, chance: u64) -> Self {
        let (me, members) = (plan.me, plan.members.len());
        let book = ReplicaTable::new(
            me,
            plan.group(),
            ReplicaLimits { max_replicas: plan.most, retention: plan.forget },
        );
        let mut tasks = BackgroundTasks::new(Budget::default());
        for (task, priority) in [(FORGET, 1), (LOOK, 2), (PIECES, 3), (REPAIR, 1)] {
            tasks.add(task, priority);
        }
        let known = stored.life.map(|life| (life, stored.count));
        let mut lives = Lives::new(me, members, known, stored.asked, chance);
        stored.given.iter().for_each(|(peer, life)| lives.recall_given(*peer, *life));
        let duties = plan.duties.as_ref().map(|duties| {
            let kept = (stored.duties.as_deref(), stored.fence.as_deref());
            Duties::new(now, me, &book.group().clone(), duties, plan.unclaimed, kept, chance ^ 0x5bd1_e995)
        });
        let mut member = Self {
            duties,
            fenced_by: None,
            table_orders: TableOrders::default(),
            sweeps: false,
            has_disk: false,
            group: plan.digest(),
            now,
            view: MembershipView::new(now, me, plan.overlay(), plan.silence),
            lives,
            peers: Peers::new(now, me, members, chance ^ 0x9e37_79b9_7f4a_7c15),
            book,
            redials: Redials::new(
                me,
                plan.group(),
                plan.awaited(),
                plan.ask_within,
                plan.silence,
                plan.release,
            ),
            takeovers: Takeovers::new(me, plan.unclaimed),
            incoming: (0..members).map(|_| Incoming::default()).collect(),
            resumed: vec![false; members],
            fresh: false,
            wise_at: now + plan.forget + plan.forget / 8,
            retired_until: Duration::ZERO,
            overtaken_at: None,
            confirmations: Confirmations::default(),
            known: Vec::new(),
            lets: BTreeMap::new(),
            findings: Vec::new(),
            to_say: Vec::new(),
            changed: BTreeSet::new(),
            writes: DiskWrites::new(stored.count),
            away: None,
            tickets: 0,
            cores: BTreeSet::new(),
            tasks,
            look_from: None,
            wants_pieces: VecDeque::new(),
            repairs: RepairQueue::default(),
            neighbours_tell_by: now + plan.silence,
            look_at: now,
            compare_at: now + plan.compare_every,
            was_gone: MemberSet::default(),
            counts: Counts::default(),
            plan,
        };
        stored.copies.iter().for_each(|copy| member.book.restore(now, copy));
        member
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// What has happened since the start, counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The figures this member was built with.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Its own dialogues and the copies that it holds for others.
    pub fn book(&self) -> &ReplicaTable {
        &self.book
    }

    /// The incarnation that this process has; zero: none yet.
    pub fn life(&self) -> u64 {
        self.lives.mine()
    }

    /// Which peers are heard, and what they have said of themselves.
    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    /// Dialogues taken over and kept for their callers; dialogues asked for.
    pub fn sizes(&self) -> (usize, usize) {
        (self.takeovers.len(), self.redials.len())
    }

    /// Takes what its edge proxy is to be told since the last call.
    pub fn findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    /// All that this member must know of what was dialled before, it knows: it has compared with all but so few that whoever
    /// acknowledged a write is not among those only, or so much time has passed that whatever it lacks is forgotten.
    pub fn caught_up(&self) -> bool {
        let others = (0..self.incoming.len()).filter(|place| *place != usize::from(self.plan.me));
        let missing = others.filter(|place| !self.incoming[*place].synced).count();
        let may_miss = self.plan.awaited().max(1) - 1;
        self.lives.mine() > 0 && (self.fresh || missing <= may_miss || self.now >= self.wise_at)
    }

    fn name(&self, member: u16) -> &str {
        self.plan.members.get(usize::from(member)).map_or("?", String::as_str)
    }
}
