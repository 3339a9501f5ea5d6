//! The replicas that one member holds, of its own dialogues and of other members', and the updates that it still has to send.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_trunk::{Answer, Cursor, Owner, Progress, Replaced, ReplicaUpdate};

use crate::digest_tree::{DigestTree, FAN_OUT};
use crate::placement::{ReplicaGroup, digest, fingerprint};
use crate::replica::{Replica, ReplicaReading};
use crate::stream::ReplicaStream;

/// The maximum number of records scanned for one chunk of a snapshot; it bounds the time of one iteration of the decision thread.
const MAX_SCANNED_PER_CHUNK: usize = 4096;
/// The maximum number of replicas in one chunk of a snapshot.
const MAX_REPLICAS_PER_CHUNK: usize = 256;
/// A record is no longer compared or repaired once less than its retention period divided by this is left.
const UNREPAIRED_RETENTION_DIVISOR: u32 = 8;

/// Limits of a [`ReplicaTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaLimits {
    /// The maximum number of replicas, own dialogues included; beyond it new replicas of other members are rejected.
    pub max_replicas: usize,
    /// How long a dialogue that has ended or was never set up is retained.
    pub retention: Duration,
}

struct Entry {
    replica: Replica,
    digest: u64,
    /// The owner under which the entry is counted in `digest_trees`, for the members that share it; none: it is not counted.
    shared_as: Option<Owner>,
    /// The time under which the entry is queued in `expiry_queue`; none: it is not queued.
    expiry_check_at: Option<Duration>,
}

/// A write whose acknowledgements are awaited.
struct PendingWrite {
    ticket: u64,
    version: u32,
    acks_needed: usize,
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write is queued for other members; [`ReplicaTable::take_completed_writes`] returns its ticket once enough of them have
    /// acknowledged it.
    Pending,
    /// No acknowledgement is awaited.
    Immediate,
    /// Another member now owns the dialogue: nothing was written, and the caller must not proceed.
    Replaced(Owner),
}

/// The changes made by merging received replicas.
#[derive(Debug, Default, PartialEq)]
pub struct MergeResult {
    /// Dialogues with a higher owner than the received one; the sender is to be notified.
    pub replaced: Vec<Replaced>,
    /// Dialogues that this member owned, with their new owner.
    pub ownership_lost: Vec<(DialogueId, Owner)>,
    /// Dialogues whose replica has changed and has to be persisted.
    pub changed: Vec<DialogueId>,
    /// Dialogues in which two different final answers were found by this merge.
    pub answer_conflicts: Vec<DialogueId>,
    /// The number of replicas rejected because the table is full.
    pub rejected_count: usize,
}

type Key = (u64, DialogueId);

/// All replicas that a member holds.
pub struct ReplicaTable {
    self_member: u16,
    incarnation: u64,
    group: ReplicaGroup,
    limits: ReplicaLimits,
    /// By fingerprint and id.
    entries: BTreeMap<Key, Entry>,
    expiry_queue: BTreeSet<(Duration, Key)>,
    /// By member, the digests of what is shared with it.
    digest_trees: Vec<DigestTree>,
    /// By member, the updates to it.
    streams: Vec<ReplicaStream>,
    pending_writes: HashMap<DialogueId, PendingWrite>,
    /// By member, awaited writes with their number in the stream to it.
    awaited_numbers: Vec<VecDeque<(u64, DialogueId, u32)>>,
    completed_tickets: Vec<u64>,
    /// Dialogues written before this member had an incarnation.
    written_without_incarnation: Vec<DialogueId>,
}

impl ReplicaTable {
    /// Creates the empty table of a member that has no incarnation yet.
    pub fn new(self_member: u16, group: ReplicaGroup, limits: ReplicaLimits) -> Self {
        let member_count = group.member_count();
        let depth = DigestTree::depth_for(member_count);
        Self {
            self_member,
            incarnation: 0,
            limits,
            entries: BTreeMap::new(),
            expiry_queue: BTreeSet::new(),
            digest_trees: (0..member_count).map(|_| DigestTree::new(depth)).collect(),
            streams: (0..member_count).map(|_| ReplicaStream::new()).collect(),
            pending_writes: HashMap::new(),
            awaited_numbers: (0..member_count).map(|_| VecDeque::new()).collect(),
            completed_tickets: Vec::new(),
            written_without_incarnation: Vec::new(),
            group,
        }
    }

    /// The group that this member is in.
    pub fn group(&self) -> &ReplicaGroup {
        &self.group
    }

    /// The number of replicas.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether new replicas of other members are rejected.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.max_replicas
    }

    /// This member's incarnation; zero: none yet.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The replica of a dialogue.
    pub fn get(&self, id: &DialogueId) -> Option<&Replica> {
        self.entries.get(&(fingerprint(id), id.clone())).map(|entry| &entry.replica)
    }

    /// All replicas, in order of fingerprints.
    pub fn iter(&self) -> impl Iterator<Item = (&DialogueId, &Replica)> {
        self.entries.iter().map(|((_, id), entry)| (id, &entry.replica))
    }

    /// All replicas from this fingerprint on.
    pub fn iter_from(&self, fingerprint: u64) -> impl Iterator<Item = (&DialogueId, &Replica)> {
        let from = self.entries.range((fingerprint, DialogueId("".into()))..);
        from.map(|((_, id), entry)| (id, &entry.replica))
    }

    fn is_self(&self, owner: Owner) -> bool {
        owner.member == self.self_member && owner.incarnation == self.incarnation
    }

    /// Whether this member owns the dialogue in its current incarnation and has written it; a claim without a write does not count.
    pub fn owns_dialogue(&self, id: &DialogueId) -> bool {
        let top = self.get(id).and_then(|replica| replica.owner_states().last());
        top.is_some_and(|state| self.is_self(state.owner) && state.version > 0)
    }

    // Own dialogues

    /// Starts a new incarnation of this member. Dialogues that this process owns continue under it: those written before it had an
    /// incarnation, or, if it had one, those that no other member has taken over.
    pub fn begin_incarnation(&mut self, now: Duration, incarnation: u64) {
        let previous = self.incarnation;
        self.incarnation = incarnation;
        let ids: Vec<DialogueId> = if previous == 0 {
            std::mem::take(&mut self.written_without_incarnation)
        } else {
            let is_own = |owner: Owner| owner.member == self.self_member && owner.incarnation == previous;
            let own = self.entries.iter().filter(|(_, entry)| entry.replica.owner().is_some_and(is_own));
            own.map(|((_, id), _)| id.clone()).collect()
        };
        for id in ids {
            let key = (fingerprint(&id), id.clone());
            let Some(entry) = self.entries.get(&key) else { continue };
            let Some(owner) =
                entry.replica.owner().filter(|o| o.member == self.self_member && o.incarnation == previous)
            else {
                continue;
            };
            let mut replica = entry.replica.clone();
            replica.change_owner(owner, Owner { incarnation, ..owner });
            self.store(now, key, replica);
            self.queue_for_holders(&id, None);
        }
    }

    /// Records new progress of a dialogue that this member owns. Unless the dialogue stands, the record is retained for the retention
    /// period after `retained_from`. `wait`: a ticket, and the number of acknowledgements to await.
    #[expect(clippy::too_many_arguments)]
    pub fn write(
        &mut self, now: Duration, id: &DialogueId, progress: Progress, blocked_until: Duration,
        answer: Option<&Answer>, retained_from: Duration, wait: Option<(u64, usize)>,
    ) -> WriteResult {
        let key = (fingerprint(id), id.clone());
        let mut replica = self.entries.get(&key).map(|entry| entry.replica.clone()).unwrap_or_default();
        let owner = match replica.owner() {
            Some(owner) if self.is_self(owner) => owner,
            // Owned by a previous incarnation or by no member: other members that could know the dialogue were asked before.
            Some(owner) if owner.member == self.self_member && owner.incarnation < self.incarnation => {
                Owner { incarnation: self.incarnation, ..owner }
            }
            Some(owner) => return WriteResult::Replaced(owner),
            None => Owner { round: 0, member: self.self_member, incarnation: self.incarnation },
        };
        let expires_at = match &progress {
            Progress::Stands { .. } => crate::replica::no_expiry(),
            _ => retained_from.max(now) + self.limits.retention,
        };
        replica.write(owner, progress, blocked_until, expires_at);
        if let Some(answer) = answer {
            replica.record_answer(owner, answer);
        }
        let version = replica.state_of(owner).map_or(0, |state| state.version);
        self.store(now, key, replica);
        if self.incarnation == 0 {
            self.written_without_incarnation.push(id.clone());
            return WriteResult::Immediate;
        }
        let wait = wait.map(|(ticket, acks)| (ticket, acks, version));
        if self.queue_for_holders(id, wait) { WriteResult::Pending } else { WriteResult::Immediate }
    }

    /// Queues a dialogue for the members that hold replicas of it. True: acknowledgements are awaited.
    fn queue_for_holders(&mut self, id: &DialogueId, wait: Option<(u64, usize, u32)>) -> bool {
        let holders: Vec<u16> = self.group.holders(fingerprint(id), self.self_member).collect();
        for holder in &holders {
            let number = self.streams[usize::from(*holder)].record_change(id);
            if let Some((_, _, version)) = wait {
                self.awaited_numbers[usize::from(*holder)].push_back((number, id.clone(), version));
            }
        }
        let Some((ticket, acks, version)) = wait else { return false };
        let acks_needed = acks.min(holders.len());
        if acks_needed > 0 {
            self.pending_writes.insert(id.clone(), PendingWrite { ticket, version, acks_needed });
        }
        acks_needed > 0
    }

    /// Stops awaiting acknowledgements for the last write of this dialogue.
    pub fn cancel_wait(&mut self, id: &DialogueId) {
        self.pending_writes.remove(id);
    }

    /// Returns the tickets of writes that have been acknowledged by as many members as requested since the last call.
    pub fn take_completed_writes(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.completed_tickets)
    }

    /// A member has persisted all writes of this incarnation up to this number of the stream to it.
    pub fn replica_acknowledged(&mut self, member: u16, up_to: u64) {
        let index = usize::from(member);
        let up_to = self.streams[index].acknowledge(up_to);
        while self.awaited_numbers[index].front().is_some_and(|(number, ..)| *number <= up_to) {
            let Some((_, id, version)) = self.awaited_numbers[index].pop_front() else { break };
            let Some(write) = self.pending_writes.get_mut(&id).filter(|write| write.version == version)
            else {
                continue;
            };
            write.acks_needed -= 1;
            if write.acks_needed == 0
                && let Some(write) = self.pending_writes.remove(&id)
            {
                self.completed_tickets.push(write.ticket);
            }
        }
    }

    /// A write of this member was refused because another member owns the dialogue; it is no longer pending. False: this member did
    /// not own the dialogue any more.
    pub fn write_refused(&mut self, now: Duration, id: &DialogueId, new_owner: Owner) -> bool {
        if self.get(id).and_then(Replica::owner) >= Some(new_owner) || !self.owns_dialogue(id) {
            return false;
        }
        self.pending_writes.remove(id);
        self.claim(now, id, new_owner, &Replica::default());
        true
    }

    /// Records that `owner` has claimed the dialogue, and merges `found`, the state of the dialogue that other members sent. `owner`
    /// has to be higher than all owners in `found`.
    pub fn claim(&mut self, now: Duration, id: &DialogueId, owner: Owner, found: &Replica) {
        let key = (fingerprint(id), id.clone());
        let mut replica = self.entries.get(&key).map(|entry| entry.replica.clone()).unwrap_or_default();
        replica.merge(found);
        replica.merge(&Replica::claimed(owner, now + self.limits.retention));
        self.store(now, key, replica);
    }

    // Streams

    /// The stream of updates to a member.
    pub fn stream(&mut self, member: u16) -> &mut ReplicaStream {
        &mut self.streams[usize::from(member)]
    }

    /// Takes at most `max_count` updates that are to be sent next to a member: the first one's number, and the updates.
    pub fn next_updates(
        &mut self, now: Duration, member: u16, max_count: usize,
    ) -> Option<(u64, Vec<ReplicaUpdate>)> {
        let (first, ids) = self.streams[usize::from(member)].take_unsent(max_count)?;
        // A dialogue that was removed meanwhile is sent without states, which receivers ignore.
        let updates = ids.iter().map(|id| match self.get(id) {
            Some(replica) => replica.to_update(now, id),
            None => ReplicaUpdate { dialogue: id.clone(), owner_records: Vec::new(), answers: Vec::new() },
        });
        Some((first, updates.collect()))
    }

    /// The greatest number of writes that any member has not acknowledged.
    pub fn max_lag(&self) -> u64 {
        self.streams.iter().map(ReplicaStream::lag).max().unwrap_or_default()
    }

    // Replicas of other members

    /// Merges replicas received from another member.
    pub fn merge_received(&mut self, now: Duration, updates: &[ReplicaUpdate]) -> MergeResult {
        let mut result = MergeResult::default();
        for update in updates {
            self.merge_update(now, update, &mut result);
        }
        result
    }

    fn merge_update(&mut self, now: Duration, update: &ReplicaUpdate, result: &mut MergeResult) {
        let id = &update.dialogue;
        let incoming = Replica::from_update(now, update);
        let Some(incoming_owner) = incoming.owner() else { return };
        let key = (fingerprint(id), id.clone());
        let Some(entry) = self.entries.get(&key) else {
            // A record that is about to expire at all members is not added again.
            if incoming.expires_at() <= now + self.limits.retention / UNREPAIRED_RETENTION_DIVISOR {
                return;
            }
            if self.is_full() {
                result.rejected_count += 1;
                return;
            }
            let has_conflict = incoming.has_conflicting_answers();
            self.store(now, key, incoming);
            result.changed.push(id.clone());
            if has_conflict {
                result.answer_conflicts.push(id.clone());
            }
            return;
        };
        let local_owner = entry.replica.owner();
        if let Some(by) = local_owner.filter(|local_owner| *local_owner > incoming_owner) {
            // The write arrived after a claim by another member and is not acknowledged. Its content is merged all the same.
            result.replaced.push(Replaced { dialogue: id.clone(), by });
        }
        let was_owned = self.owns_dialogue(id);
        let mut replica = entry.replica.clone();
        replica.merge(&incoming);
        if replica == entry.replica {
            return;
        }
        if replica.has_conflicting_answers() && !entry.replica.has_conflicting_answers() {
            result.answer_conflicts.push(id.clone());
        }
        self.store(now, key, replica);
        result.changed.push(id.clone());
        if was_owned
            && !self.owns_dialogue(id)
            && let Some(by) = self.get(id).and_then(Replica::owner)
        {
            self.pending_writes.remove(id);
            result.ownership_lost.push((id.clone(), by));
        }
    }

    /// Handles a member's request to own a dialogue. Returns the higher owner, if there is one and the claim is refused, and what was
    /// known of the dialogue before.
    pub fn claim_requested(
        &mut self, now: Duration, id: &DialogueId, owner: Owner,
    ) -> (Option<Owner>, Option<ReplicaUpdate>) {
        let key = (fingerprint(id), id.clone());
        let known = self.entries.get(&key).map(|entry| &entry.replica);
        let before = known.map(|replica| replica.to_update(now, id));
        if let Some(higher) = known.and_then(Replica::owner).filter(|known| *known > owner) {
            return (Some(higher), before);
        }
        let mut replica = known.cloned().unwrap_or_default();
        if replica.owner() != Some(owner) {
            if known.is_none() && self.is_full() {
                return (None, before);
            }
            replica.merge(&Replica::claimed(owner, now + self.limits.retention));
            self.pending_writes.remove(id);
            self.store(now, key, replica);
        }
        (None, before)
    }

    /// Whether this owner is the highest one in this member's replica.
    pub fn has_claim(&self, id: &DialogueId, owner: Owner) -> bool {
        self.get(id).and_then(Replica::owner) == Some(owner)
    }

    /// Adds a replica read from disk at the start. Its spans were stored by a previous incarnation; blocking times apply in full from
    /// `now`.
    pub fn restore(&mut self, now: Duration, update: &ReplicaUpdate) {
        let replica = Replica::from_update(now, update);
        if replica.owner().is_some() {
            self.store(now, (fingerprint(&update.dialogue), update.dialogue.clone()), replica);
        }
    }

    /// Shortens the expiry times of all restored replicas by this span; those of replicas that this process has written do not change.
    pub fn age_restored(&mut self, now: Duration, by: Duration) {
        let self_member = self.self_member;
        let is_restored = |entry: &Entry| {
            entry.replica.expires()
                && !entry.replica.owner().is_some_and(|o| o.member == self_member && o.incarnation == 0)
        };
        let restored: Vec<Key> =
            self.entries.iter().filter(|(_, entry)| is_restored(entry)).map(|(key, _)| key.clone()).collect();
        for key in restored {
            let mut replica = self.entries[&key].replica.clone();
            replica.age(by);
            self.store(now, key, replica);
        }
    }

    /// Removes all replicas that this member does not own, because they are so old that the other members have already removed theirs.
    /// Returns their number.
    pub fn drop_not_owned(&mut self) -> usize {
        let others =
            self.entries.iter().filter(|(_, entry)| !entry.replica.owner().is_some_and(|o| self.is_self(o)));
        let others: Vec<Key> = others.map(|(key, _)| key.clone()).collect();
        for key in &others {
            self.remove(key);
        }
        others.len()
    }

    // Snapshots

    /// A chunk of a snapshot for the member `to`: the replicas that it is to hold, from the fingerprint `from` on, and the fingerprint at
    /// which the next chunk begins; none: this chunk is the last.
    pub fn snapshot_chunk(&self, now: Duration, to: u16, from: u64) -> (Vec<ReplicaUpdate>, Option<u64>) {
        let mut updates = Vec::new();
        let start = (from, DialogueId("".into()));
        let mut last = None;
        for (scanned, ((fingerprint, id), entry)) in self.entries.range(start..).enumerate() {
            // Ids with the same fingerprint stay in one chunk, since the next chunk begins at a fingerprint.
            if (scanned >= MAX_SCANNED_PER_CHUNK || updates.len() >= MAX_REPLICAS_PER_CHUNK)
                && last != Some(*fingerprint)
            {
                return (updates, Some(*fingerprint));
            }
            last = Some(*fingerprint);
            if let Some(owner) = entry.replica.owner()
                && self.group.shares(*fingerprint, owner.member, to)
            {
                updates.push(entry.replica.to_update(now, id));
            }
        }
        (updates, None)
    }

    /// The cursor at which a snapshot for a member starts: the last number of its stream, and the first fingerprint.
    pub fn cursor(&mut self, member: u16) -> Cursor {
        Cursor { at: self.streams[usize::from(member)].last_number(), from: 0 }
    }

    // Anti-entropy

    /// The depth of the digest trees.
    pub fn digest_depth(&self) -> u8 {
        self.digest_trees.first().map_or(0, DigestTree::depth)
    }

    /// The digests with which a comparison with a member begins: level, first range, and digests of the ranges below the top.
    pub fn top_digests(&self, member: u16) -> (u8, u32, Vec<u64>) {
        (1, 0, self.digest_trees[usize::from(member)].digests(1, 0, FAN_OUT).unwrap_or_default().to_vec())
    }

    /// Compares a member's digests of some ranges of a level with the own ones; returns what to send for each range that differs.
    pub fn compare_ranges(
        &self, member: u16, level: u8, first: u32, remote_digests: &[u64],
    ) -> Vec<RangeDifference> {
        let tree = &self.digest_trees[usize::from(member)];
        let Some(own_digests) =
            tree.digests(level, first, remote_digests.len()).filter(|_| remote_digests.len() <= FAN_OUT)
        else {
            return Vec::new();
        };
        let differing =
            own_digests.iter().zip(remote_digests).enumerate().filter(|(_, (own, remote))| own != remote);
        let ranges = differing.map(|(offset, _)| first + offset as u32);
        ranges
            .map(|range| {
                if level >= tree.depth() {
                    RangeDifference::Leaf(range, self.dialogue_digests(member, range))
                } else {
                    let below = tree.digests(level + 1, range * FAN_OUT as u32, FAN_OUT).unwrap_or_default();
                    RangeDifference::Subranges(level + 1, range * FAN_OUT as u32, below.to_vec())
                }
            })
            .collect()
    }

    fn shared_in_range(&self, member: u16, range: u32) -> impl Iterator<Item = (&Key, &Entry)> {
        let (from, to) = self.digest_trees[usize::from(member)].leaf_bounds(range).unwrap_or((1, 0));
        let following = self.entries.range((from, DialogueId("".into()))..);
        let within = following.take_while(move |((fingerprint, _), _)| from <= to && *fingerprint <= to);
        within.filter(move |((fingerprint, _), entry)| {
            entry.shared_as.is_some_and(|owner| self.group.shares(*fingerprint, owner.member, member))
        })
    }

    fn dialogue_digests(&self, member: u16, range: u32) -> Vec<(u64, u64)> {
        self.shared_in_range(member, range)
            .map(|((fingerprint, _), entry)| (*fingerprint, entry.digest))
            .collect()
    }

    /// Compares a leaf range with a member's fingerprints and digests. Dialogues that only the member has, or that differ, are
    /// requested; those that only this table has, or that differ, are sent; those that the member itself owns in this incarnation and
    /// no longer has are removed here.
    pub fn compare_dialogues(
        &mut self, now: Duration, member: u16, incarnation: u64, range: u32, remote_digests: &[(u64, u64)],
    ) -> Repair {
        let remote: HashMap<u64, u64> = remote_digests.iter().copied().collect();
        let mut repair = Repair::default();
        let mut removed = Vec::new();
        let mut local: HashMap<u64, u64> = HashMap::new();
        for (key, entry) in self.shared_in_range(member, range) {
            local.insert(key.0, entry.digest);
            if remote.get(&key.0) == Some(&entry.digest) {
                continue;
            }
            // A claim without a write does not make the member the owner of the record.
            let is_owned_by_member = entry.replica.owner_states().last().is_some_and(|state| {
                (state.owner.member, state.owner.incarnation) == (member, incarnation) && state.version > 0
            });
            if is_owned_by_member && !remote.contains_key(&key.0) {
                removed.push(key.clone());
            } else {
                repair.to_send.push(entry.replica.to_update(now, &key.1));
            }
        }
        repair.to_request = remote_digests
            .iter()
            .filter(|(fingerprint, digest)| local.get(fingerprint) != Some(digest))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for key in removed {
            self.remove(&key);
            repair.dropped_count += 1;
        }
        repair
    }

    /// The replicas with these fingerprints that a member is to hold.
    pub fn requested_replicas(&self, now: Duration, member: u16, fingerprints: &[u64]) -> Vec<ReplicaUpdate> {
        let mut updates = Vec::new();
        for fingerprint in fingerprints {
            let matching = self
                .entries
                .range((*fingerprint, DialogueId("".into()))..)
                .take_while(|((other, _), _)| other == fingerprint);
            let shared = matching.filter(|(_, entry)| {
                entry
                    .replica
                    .owner()
                    .is_some_and(|owner| self.group.shares(*fingerprint, owner.member, member))
            });
            updates.extend(shared.map(|((_, id), entry)| entry.replica.to_update(now, id)));
        }
        updates
    }

    // Expiry

    /// When [`ReplicaTable::expire`] has something to do next.
    pub fn next_due(&self) -> Option<Duration> {
        self.expiry_queue.first().map(|(at, _)| *at)
    }

    /// Removes expired replicas, at most `max_count` at a time, and returns their ids.
    pub fn expire(&mut self, now: Duration, max_count: usize) -> Vec<DialogueId> {
        let mut removed = Vec::new();
        while removed.len() < max_count
            && let Some((at, key)) = self.expiry_queue.first().cloned()
            && at <= now
        {
            // A record is due twice: when it is no longer compared, and when it expires.
            let expires_at = self.entries.get(&key).map(|entry| entry.replica.expires_at());
            if expires_at.is_some_and(|expires_at| expires_at > now) {
                self.set_shared_as(&key, None);
                self.expiry_queue.pop_first();
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.expiry_check_at = expires_at;
                    self.expiry_queue.extend(expires_at.map(|expires_at| (expires_at, key)));
                }
                continue;
            }
            self.remove(&key);
            removed.push(key.1);
        }
        removed
    }

    fn remove(&mut self, key: &Key) {
        self.set_shared_as(key, None);
        if let Some(entry) = self.entries.remove(key)
            && let Some(expiry_check_at) = entry.expiry_check_at
        {
            self.expiry_queue.remove(&(expiry_check_at, key.clone()));
        }
        self.pending_writes.remove(&key.1);
    }

    fn store(&mut self, now: Duration, key: Key, replica: Replica) {
        let digest = replica_digest(key.0, &replica);
        let owner = replica.owner();
        let unrepaired_period = self.limits.retention / UNREPAIRED_RETENTION_DIVISOR;
        let expiry_check_at = replica.expires().then(|| {
            let expires_at = replica.expires_at();
            let compared_until = expires_at.saturating_sub(unrepaired_period);
            if compared_until > now { compared_until } else { expires_at }
        });
        let is_compared = !replica.expires() || replica.expires_at().saturating_sub(unrepaired_period) > now;
        let known = self.entries.get(&key);
        let (before, has_same_digest) =
            known.map_or((None, false), |entry| (entry.expiry_check_at, entry.digest == digest));
        if before != expiry_check_at {
            if let Some(before) = before {
                self.expiry_queue.remove(&(before, key.clone()));
            }
            self.expiry_queue.extend(expiry_check_at.map(|expiry_check_at| (expiry_check_at, key.clone())));
        }
        let share_as = owner.filter(|_| is_compared);
        if !(has_same_digest && known.is_some_and(|entry| entry.shared_as == share_as)) {
            self.set_shared_as(&key, None);
            let shared_as = None;
            self.entries.insert(key.clone(), Entry { replica, digest, shared_as, expiry_check_at });
            self.set_shared_as(&key, share_as);
        } else if let Some(entry) = self.entries.get_mut(&key) {
            (entry.replica, entry.expiry_check_at) = (replica, expiry_check_at);
        }
    }

    /// Counts an entry in the digest trees of all members that share it under this owner; none: in no tree.
    fn set_shared_as(&mut self, key: &Key, new_owner: Option<Owner>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let before = std::mem::replace(&mut entry.shared_as, new_owner);
        let digest = entry.digest;
        for owner in [before, new_owner].into_iter().flatten() {
            if !self.group.shares(key.0, owner.member, self.self_member) {
                continue;
            }
            let holders = self.group.holders(key.0, owner.member);
            for other in holders.chain(std::iter::once(owner.member)) {
                if other != self.self_member
                    && let Some(tree) = self.digest_trees.get_mut(usize::from(other))
                {
                    tree.toggle(key.0, digest);
                }
            }
        }
    }
}

/// What to send for a range of fingerprints in which two members differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeDifference {
    /// The digests of its subranges: level, first range, digests.
    Subranges(u8, u32, Vec<u64>),
    /// It is a leaf: the fingerprints in it with their digests.
    Leaf(u32, Vec<(u64, u64)>),
}

/// What has to be exchanged so that two members have the same replicas in a leaf range.
#[derive(Debug, Default, PartialEq)]
pub struct Repair {
    /// Replicas to send to the other member.
    pub to_send: Vec<ReplicaUpdate>,
    /// Fingerprints to request from the other member.
    pub to_request: Vec<u64>,
    /// The number of replicas that this member removed.
    pub dropped_count: usize,
}

/// A digest of everything in which members must agree; times are left out, since they differ with clocks and transmission.
fn replica_digest(fingerprint: u64, replica: &Replica) -> u64 {
    let mut raw = Vec::with_capacity(64);
    for state in replica.owner_states() {
        raw.extend(state.owner.round.to_le_bytes());
        raw.extend(state.owner.member.to_le_bytes());
        raw.extend(state.owner.incarnation.to_le_bytes());
        raw.extend(state.version.to_le_bytes());
        match &state.progress {
            Progress::Accepted => raw.push(0),
            Progress::Launched { server, launch } | Progress::Stands { server, launch } => {
                raw.push(if matches!(state.progress, Progress::Launched { .. }) { 1 } else { 2 });
                raw.extend(launch.0.to_le_bytes());
                raw.extend(server.0.as_bytes());
            }
            Progress::Ended => raw.push(3),
        }
    }
    for recorded in replica.answers() {
        raw.extend(recorded.owner.round.to_le_bytes());
        raw.extend(recorded.owner.member.to_le_bytes());
        raw.extend(recorded.owner.incarnation.to_le_bytes());
        match &recorded.answer {
            Answer::Stands { server } => {
                raw.push(4);
                raw.extend(server.0.as_bytes());
            }
            Answer::Refused { come_back } => {
                raw.push(5);
                raw.extend(come_back.map_or(u64::MAX, |t| t.as_micros() as u64).to_le_bytes());
            }
            Answer::Failed => raw.push(6),
        }
    }
    digest(&[&fingerprint.to_le_bytes(), &raw])
}

impl Replica {
    /// Whether the dialogue stands or has no final answer, as far as this member knows.
    pub fn is_open(&self) -> bool {
        !matches!(self.reading(), ReplicaReading::Answered(_) | ReplicaReading::Ended)
    }
}
