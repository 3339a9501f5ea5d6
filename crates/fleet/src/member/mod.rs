//! One member: inputs of peers, core servers and its own edge proxy, each turned straight into calls on the parts.
//!
//! This module defines the state and its construction; each kind of input has a module of its own. All are methods of [`Member`].

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
use crate::incarnations::IncarnationTracker;
use crate::membership_view::{MemberSet, MembershipView};
use crate::peers::Peers;
use crate::plan::Plan;
use crate::redial::Redials;
use crate::takeovers::Takeovers;

use background::{EXPIRE_REPLICAS, REPAIR_REPLICAS, SCAN_FOR_ORPHANS, SEND_SNAPSHOT_CHUNKS};
use confirmations::Confirmations;
use repair::RepairQueue;
use saves::DiskWrites;
use streams::Incoming;
use table_orders::TableOrders;

pub use interface::{Effects, MemberCounters, MemberEvent, Save, Stored};

/// One member of a fleet as a state machine: calls are its inputs, [`Effects`] and [`MemberEvent`] are its outputs.
pub struct Member {
    plan: Plan,
    group: u64,
    now: Duration,
    view: MembershipView,
    incarnations: IncarnationTracker,
    peers: Peers,
    replica_table: ReplicaTable,
    redials: Redials,
    takeovers: Takeovers,
    duties: Option<Duties>,
    table_orders: TableOrders,
    /// Number of the disk write that persists the newest fencing token.
    fencing_write: Option<u64>,
    /// Whether this member held the duty `sweep` at the last check.
    holds_sweep_duty: bool,
    /// Whether this process has had a disk.
    has_disk: bool,
    incoming: Vec<Incoming>,
    /// Whether each peer has reported its position, so that the stream to it continues.
    peer_resumed: Vec<bool>,
    /// Whether the replicas on disk are of the previous incarnation, so that all acknowledged writes are present.
    replicas_are_current: bool,
    /// Time at which every dialogue that this member may have lacked at its start has expired on all members.
    losses_expired_at: Duration,
    incarnation_requests_blocked_until: Duration,
    overtaken_at: Option<Duration>,
    confirmations: Confirmations,
    ownership_requests: BTreeMap<DialogueId, Vec<(u16, u64, Owner)>>,
    events: Vec<MemberEvent>,
    /// Messages sent to peers at the end of the iteration.
    outgoing_messages: Vec<(u16, PeerMessage)>,
    /// Replies to look-ups. Each is a promise and is sent once it is persisted.
    promised_replies: Vec<(u16, PeerMessage)>,
    /// Dialogues changed in this iteration, to be persisted.
    changed_dialogues: BTreeSet<DialogueId>,
    disk_writes: DiskWrites,
    /// Minimum time since the previous incarnation ended, by the clocks of the peers.
    min_time_since_previous_incarnation: Option<Duration>,
    /// Ticket that was given to the last write of an own dialogue.
    last_ticket: u64,
    /// Core servers with an open link.
    connected_cores: BTreeSet<ServerId>,
    tasks: BackgroundTasks,
    /// Fingerprint of the dialogue at which the scan for orphans continues; `None` while no scan is pending.
    orphan_cursor: Option<u64>,
    /// Snapshot chunks to send: the member, and the position from which its chunk starts.
    snapshot_requests: VecDeque<(u16, Cursor)>,
    repairs: RepairQueue,
    /// Before this time an incarnation is proposed only once a majority of this member and its neighbours has reported what it knows.
    neighbour_reports_deadline: Duration,
    next_check_at: Duration,
    next_comparison_at: Duration,
    members_seen_gone: MemberSet,
    counts: MemberCounters,
}

impl Member {
    /// A member that starts at `now` from the state on its disk; `random_seed` comes from the system.
    pub fn new(now: Duration, plan: Plan, stored: Stored, random_seed: u64) -> Self {
        let (self_member, members) = (plan.self_member, plan.members.len());
        let replica_table = ReplicaTable::new(
            self_member,
            plan.group(),
            ReplicaLimits { max_replicas: plan.max_replicas, retention: plan.retention },
        );
        let mut tasks = BackgroundTasks::new(Budget::default());
        for (task, priority) in
            [(EXPIRE_REPLICAS, 1), (SCAN_FOR_ORPHANS, 2), (SEND_SNAPSHOT_CHUNKS, 3), (REPAIR_REPLICAS, 1)]
        {
            tasks.add(task, priority);
        }
        let known = stored.incarnation.map(|incarnation| (incarnation, stored.write_count));
        let mut incarnations =
            IncarnationTracker::new(self_member, members, known, stored.proposed_incarnation, random_seed);
        stored
            .granted_incarnations
            .iter()
            .for_each(|(peer, incarnation)| incarnations.restore_granted(*peer, *incarnation));
        let duties = plan.duties.as_ref().map(|duties| {
            let persisted = (stored.duties.as_deref(), stored.fencing_tokens.as_deref());
            Duties::new(
                now,
                self_member,
                &replica_table.group().clone(),
                duties,
                plan.claim_timeout,
                persisted,
                random_seed ^ 0x5bd1_e995,
            )
        });
        let mut member = Self {
            duties,
            fencing_write: None,
            table_orders: TableOrders::default(),
            holds_sweep_duty: false,
            has_disk: false,
            group: plan.digest(),
            now,
            view: MembershipView::new(now, self_member, plan.overlay(), plan.response_timeout),
            incarnations,
            peers: Peers::new(now, self_member, members, random_seed ^ 0x9e37_79b9_7f4a_7c15),
            replica_table,
            redials: Redials::new(
                self_member,
                plan.group(),
                plan.awaited(),
                plan.search_timeout,
                plan.response_timeout,
                plan.release_time,
            ),
            takeovers: Takeovers::new(self_member, plan.claim_timeout),
            incoming: (0..members).map(|_| Incoming::default()).collect(),
            peer_resumed: vec![false; members],
            replicas_are_current: false,
            losses_expired_at: now + plan.retention + plan.retention / 8,
            incarnation_requests_blocked_until: Duration::ZERO,
            overtaken_at: None,
            confirmations: Confirmations::default(),
            promised_replies: Vec::new(),
            ownership_requests: BTreeMap::new(),
            events: Vec::new(),
            outgoing_messages: Vec::new(),
            changed_dialogues: BTreeSet::new(),
            disk_writes: DiskWrites::new(stored.write_count),
            min_time_since_previous_incarnation: None,
            last_ticket: 0,
            connected_cores: BTreeSet::new(),
            tasks,
            orphan_cursor: None,
            snapshot_requests: VecDeque::new(),
            repairs: RepairQueue::default(),
            neighbour_reports_deadline: now + plan.response_timeout,
            next_check_at: now,
            next_comparison_at: now + plan.compare_interval,
            members_seen_gone: MemberSet::default(),
            counts: MemberCounters::default(),
            plan,
        };
        stored.replicas.iter().for_each(|replica| member.replica_table.restore(now, replica));
        member
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Counters since the start of the process.
    pub fn counts(&self) -> &MemberCounters {
        &self.counts
    }

    /// The plan this member was built with.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The dialogues of this member and the replicas that it holds for other members.
    pub fn replica_table(&self) -> &ReplicaTable {
        &self.replica_table
    }

    /// The incarnation of this process; zero while it has none.
    pub fn incarnation(&self) -> u64 {
        self.incarnations.current()
    }

    /// Which peers are responsive, and what they report of themselves.
    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    /// Numbers of dialogues taken over and held for their callers, and of look-ups in progress.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.takeovers.len(), self.redials.len())
    }

    /// Takes the events for the edge proxy since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether this member knows all earlier dialogues that it must know: it has synchronised with so many peers that at least one
    /// of those that acknowledged any write is among them, or whatever it lacks has expired.
    pub fn caught_up(&self) -> bool {
        let others = (0..self.incoming.len()).filter(|place| *place != usize::from(self.plan.self_member));
        let missing = others.filter(|place| !self.incoming[*place].synced).count();
        let may_miss = self.plan.awaited().max(1) - 1;
        self.incarnations.current() > 0
            && (self.replicas_are_current || missing <= may_miss || self.now >= self.losses_expired_at)
    }

    fn name(&self, member: u16) -> &str {
        self.plan.members.get(usize::from(member)).map_or("?", String::as_str)
    }
}
