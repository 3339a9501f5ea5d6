//! What one member knows of dialogues, its own and those it keeps copies of, and what it owes the others of it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_trunk::{Answer, Cursor, Owner, Progress, Replaced, ReplicaUpdate};

use crate::digest_tree::{DigestTree, FAN_OUT};
use crate::placement::{ReplicaGroup, digest, fingerprint};
use crate::replica::{Replica, ReplicaReading};
use crate::stream::ReplicaStream;

/// Records looked at for one piece of a snapshot, and sent in it, at most: a turn of the decision thread is not longer than that.
const PIECE_LOOKS: usize = 4096;
const PIECE: usize = 256;
/// Records that are about to be forgotten are repaired nowhere: in the last part of their time.
const LAST_PART: u32 = 8;

#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaLimits {
    /// Copies kept, own dialogues included; beyond it a new one of another member is not kept.
    pub max_replicas: usize,
    /// What is over, or came to nothing, is forgotten after so long.
    pub retention: Duration,
}

struct Entry {
    copy: Replica,
    digest: u64,
    /// Who shares it with this member: bits are set for them in `sums`, under this owner.
    shared_as: Option<Owner>,
    /// When it stands in `fading`.
    fades: Option<Duration>,
}

/// A write that somebody waits for.
struct Wait {
    ticket: u64,
    version: u32,
    /// Acknowledgements that are still needed.
    needs: usize,
}

/// What came of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It goes to others, and the ticket is told by [`ReplicaTable::done`] when enough of them have it.
    Pending,
    /// Nobody waits for it.
    Immediate,
    /// Another owns the dialogue now: nothing was written, and nothing may be done.
    Replaced(Owner),
}

/// What is new here after copies came in.
#[derive(Debug, Default, PartialEq)]
pub struct MergeResult {
    /// Copies of higher owners: whoever wrote is told.
    pub replaced: Vec<Replaced>,
    /// Dialogues that this member owned and another does now.
    pub ownership_lost: Vec<(DialogueId, Owner)>,
    /// To be kept on disk.
    pub changed: Vec<DialogueId>,
    /// Dialogues with two different final answers, first seen now.
    pub answer_conflicts: Vec<DialogueId>,
    /// Copies for which there was no room.
    pub rejected_count: usize,
}

type Key = (u64, DialogueId);

pub struct ReplicaTable {
    me: u16,
    life: u64,
    group: ReplicaGroup,
    bounds: ReplicaLimits,
    entries: BTreeMap<Key, Entry>,
    fading: BTreeSet<(Duration, Key)>,
    sums: Vec<DigestTree>,
    streams: Vec<ReplicaStream>,
    waits: HashMap<DialogueId, Wait>,
    /// Awaited writes by the number of the stream to each member.
    awaited: Vec<VecDeque<(u64, DialogueId, u32)>>,
    done: Vec<u64>,
    /// WriteResult before this member had a life.
    nameless: Vec<DialogueId>,
}

impl ReplicaTable {
    pub fn new(me: u16, group: ReplicaGroup, bounds: ReplicaLimits) -> Self {
        let members = group.member_count();
        let depth = DigestTree::depth_for(members);
        Self {
            me,
            life: 0,
            bounds,
            entries: BTreeMap::new(),
            fading: BTreeSet::new(),
            sums: (0..members).map(|_| DigestTree::new(depth)).collect(),
            streams: (0..members).map(|_| ReplicaStream::new()).collect(),
            waits: HashMap::new(),
            awaited: (0..members).map(|_| VecDeque::new()).collect(),
            done: Vec::new(),
            nameless: Vec::new(),
            group,
        }
    }

    pub fn group(&self) -> &ReplicaGroup {
        &self.group
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.bounds.max_replicas
    }

    pub fn incarnation(&self) -> u64 {
        self.life
    }

    pub fn get(&self, id: &DialogueId) -> Option<&Replica> {
        self.entries.get(&(fingerprint(id), id.clone())).map(|entry| &entry.copy)
    }

    /// All that is known, in the order of the hashes of ids.
    pub fn iter(&self) -> impl Iterator<Item = (&DialogueId, &Replica)> {
        self.entries.iter().map(|((_, id), entry)| (id, &entry.copy))
    }

    /// The same from this hash on.
    pub fn iter_from(&self, print: u64) -> impl Iterator<Item = (&DialogueId, &Replica)> {
        let from = self.entries.range((print, DialogueId("".into()))..);
        from.map(|((_, id), entry)| (id, &entry.copy))
    }

    fn owns(&self, owner: Owner) -> bool {
        owner.member == self.me && owner.incarnation == self.life
    }

    /// Whether this member owns it, in this life, and has written of it: a claim that is only promised here is not held yet.
    pub fn owns_dialogue(&self, id: &DialogueId) -> bool {
        let top = self.get(id).and_then(|copy| copy.owner_states().last());
        top.is_some_and(|part| self.owns(part.owner) && part.version > 0)
    }

    // Own dialogues

    /// This member has a new life. What it owns in this process goes on under it: what it wrote before it had one, and, where it
    /// had one, what nobody has taken over.
    pub fn begin_incarnation(&mut self, now: Duration, life: u64) {
        let before = self.life;
        self.life = life;
        let ids: Vec<DialogueId> = if before == 0 {
            std::mem::take(&mut self.nameless)
        } else {
            let mine = |owner: Owner| owner.member == self.me && owner.incarnation == before;
            let all = self.entries.iter().filter(|(_, entry)| entry.copy.owner().is_some_and(mine));
            all.map(|((_, id), _)| id.clone()).collect()
        };
        for id in ids {
            let key = (fingerprint(&id), id.clone());
            let Some(entry) = self.entries.get(&key) else { continue };
            let Some(owner) = entry.copy.owner().filter(|o| o.member == self.me && o.incarnation == before)
            else {
                continue;
            };
            let mut copy = entry.copy.clone();
            copy.change_owner(owner, Owner { incarnation: life, ..owner });
            self.put(now, key, copy);
            self.tell_holders(&id, None);
        }
    }

    /// A step of a dialogue that this member has. `base`: nothing of it is to be forgotten before `forget` after that.
    #[expect(clippy::too_many_arguments)]
    pub fn write(
        &mut self, now: Duration, id: &DialogueId, reached: Progress, bar: Duration, answer: Option<&Answer>,
        base: Duration, wait: Option<(u64, usize)>,
    ) -> WriteResult {
        let key = (fingerprint(id), id.clone());
        let mut copy = self.entries.get(&key).map(|entry| entry.copy.clone()).unwrap_or_default();
        let owner = match copy.owner() {
            Some(owner) if self.owns(owner) => owner,
            // A former life of its own, or nobody: whoever else has a word would have been asked before.
            Some(owner) if owner.member == self.me && owner.incarnation < self.life => {
                Owner { incarnation: self.life, ..owner }
            }
            Some(owner) => return WriteResult::Replaced(owner),
            None => Owner { round: 0, member: self.me, incarnation: self.life },
        };
        let until = match &reached {
            Progress::Stands { .. } => crate::replica::no_expiry(),
            _ => base.max(now) + self.bounds.retention,
        };
        copy.write(owner, reached, bar, until);
        if let Some(answer) = answer {
            copy.record_answer(owner, answer);
        }
        let version = copy.state_of(owner).map_or(0, |part| part.version);
        self.put(now, key, copy);
        if self.life == 0 {
            self.nameless.push(id.clone());
            return WriteResult::Immediate;
        }
        let wait = wait.map(|(ticket, acks)| (ticket, acks, version));
        if self.tell_holders(id, wait) { WriteResult::Pending } else { WriteResult::Immediate }
    }

    fn tell_holders(&mut self, id: &DialogueId, wait: Option<(u64, usize, u32)>) -> bool {
        let holders: Vec<u16> = self.group.holders(fingerprint(id), self.me).collect();
        for holder in &holders {
            let number = self.streams[usize::from(*holder)].record_change(id);
            if let Some((_, _, version)) = wait {
                self.awaited[usize::from(*holder)].push_back((number, id.clone(), version));
            }
        }
        let Some((ticket, acks, version)) = wait else { return false };
        let needs = acks.min(holders.len());
        if needs > 0 {
            self.waits.insert(id.clone(), Wait { ticket, version, needs });
        }
        needs > 0
    }

    /// Nobody waits for the write of this dialogue any more.
    pub fn cancel_wait(&mut self, id: &DialogueId) {
        self.waits.remove(id);
    }

    /// Tickets whose writes are kept by as many as was asked for.
    pub fn take_completed_writes(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.done)
    }

    /// A member has kept all of this life's writes up to this number of the stream to it.
    pub fn replica_acknowledged(&mut self, member: u16, up_to: u64) {
        let place = usize::from(member);
        let up_to = self.streams[place].acknowledge(up_to);
        while self.awaited[place].front().is_some_and(|(number, ..)| *number <= up_to) {
            let Some((_, id, version)) = self.awaited[place].pop_front() else { break };
            let Some(wait) = self.waits.get_mut(&id).filter(|wait| wait.version == version) else { continue };
            wait.needs -= 1;
            if wait.needs == 0
                && let Some(wait) = self.waits.remove(&id)
            {
                self.done.push(wait.ticket);
            }
        }
    }

    /// A write of this member was refused, since a dialogue is another's now: what waits for it waits no longer. False: it was
    /// not this member's any more.
    pub fn write_refused(&mut self, now: Duration, id: &DialogueId, by: Owner) -> bool {
        if self.get(id).and_then(Replica::owner) >= Some(by) || !self.owns_dialogue(id) {
            return false;
        }
        self.waits.remove(id);
        self.claim(now, id, by, &Replica::default());
        true
    }

    /// This member owns it from now on, as the highest of all that was found of it.
    pub fn claim(&mut self, now: Duration, id: &DialogueId, owner: Owner, found: &Replica) {
        let key = (fingerprint(id), id.clone());
        let mut copy = self.entries.get(&key).map(|entry| entry.copy.clone()).unwrap_or_default();
        copy.merge(found);
        copy.merge(&Replica::claimed(owner, now + self.bounds.retention));
        self.put(now, key, copy);
    }

    // Streams

    pub fn stream(&mut self, member: u16) -> &mut ReplicaStream {
        &mut self.streams[usize::from(member)]
    }

    /// The next copies to be sent to a member in its stream: the first one's number, and the copies.
    pub fn next_updates(
        &mut self, now: Duration, member: u16, most: usize,
    ) -> Option<(u64, Vec<ReplicaUpdate>)> {
        let (first, ids) = self.streams[usize::from(member)].take_unsent(most)?;
        // One that was forgotten meanwhile goes as what it was last: nothing that anyone keeps.
        let copies = ids.iter().map(|id| match self.get(id) {
            Some(copy) => copy.to_update(now, id),
            None => ReplicaUpdate { dialogue: id.clone(), owner_records: Vec::new(), answers: Vec::new() },
        });
        Some((first, copies.collect()))
    }

    /// The greatest number of writes that some member has not acknowledged.
    pub fn max_lag(&self) -> u64 {
        self.streams.iter().map(ReplicaStream::lag).max().unwrap_or_default()
    }

    // Copies

    /// Copies came from another member.
    pub fn merge_received(&mut self, now: Duration, copies: &[ReplicaUpdate]) -> MergeResult {
        let mut news = MergeResult::default();
        for sent in copies {
            self.take_one(now, sent, &mut news);
        }
        news
    }

    fn take_one(&mut self, now: Duration, sent: &ReplicaUpdate, news: &mut MergeResult) {
        let id = &sent.dialogue;
        let incoming = Replica::from_update(now, sent);
        let Some(theirs) = incoming.owner() else { return };
        let key = (fingerprint(id), id.clone());
        let Some(entry) = self.entries.get(&key) else {
            // What is about to be forgotten by all is not brought back to life.
            if incoming.expires_at() <= now + self.bounds.retention / LAST_PART {
                return;
            }
            if self.is_full() {
                news.rejected_count += 1;
                return;
            }
            let differs = incoming.has_conflicting_answers();
            self.put(now, key, incoming);
            news.changed.push(id.clone());
            if differs {
                news.answer_conflicts.push(id.clone());
            }
            return;
        };
        let ours = entry.copy.owner();
        if let Some(by) = ours.filter(|ours| *ours > theirs) {
            // Its word came after another's claim and is not acknowledged. What it tells of before is known all the same.
            news.replaced.push(Replaced { dialogue: id.clone(), by });
        }
        let mine = self.owns_dialogue(id);
        let mut copy = entry.copy.clone();
        copy.merge(&incoming);
        if copy == entry.copy {
            return;
        }
        if copy.has_conflicting_answers() && !entry.copy.has_conflicting_answers() {
            news.answer_conflicts.push(id.clone());
        }
        self.put(now, key, copy);
        news.changed.push(id.clone());
        if mine
            && !self.owns_dialogue(id)
            && let Some(by) = self.get(id).and_then(Replica::owner)
        {
            self.waits.remove(id);
            news.ownership_lost.push((id.clone(), by));
        }
    }

    /// Someone asks for a dialogue and means to own it. What was known before, and who is higher, if anyone.
    pub fn claim_requested(
        &mut self, now: Duration, id: &DialogueId, owner: Owner,
    ) -> (Option<Owner>, Option<ReplicaUpdate>) {
        let key = (fingerprint(id), id.clone());
        let known = self.entries.get(&key).map(|entry| &entry.copy);
        let before = known.map(|copy| copy.to_update(now, id));
        if let Some(higher) = known.and_then(Replica::owner).filter(|known| *known > owner) {
            return (Some(higher), before);
        }
        let mut copy = known.cloned().unwrap_or_default();
        if copy.owner() != Some(owner) {
            if known.is_none() && self.is_full() {
                return (None, before);
            }
            copy.merge(&Replica::claimed(owner, now + self.bounds.retention));
            self.waits.remove(id);
            self.put(now, key, copy);
        }
        (None, before)
    }

    /// Whether the claim of this owner is kept here.
    pub fn has_claim(&self, id: &DialogueId, owner: Owner) -> bool {
        self.get(id).and_then(Replica::owner) == Some(owner)
    }

    /// Puts a copy in, where it was read from disk after a start. Its times are those of a former life: bars are whole.
    pub fn restore(&mut self, now: Duration, sent: &ReplicaUpdate) {
        let copy = Replica::from_update(now, sent);
        if copy.owner().is_some() {
            self.put(now, (fingerprint(&sent.dialogue), sent.dialogue.clone()), copy);
        }
    }

    /// What was recalled is older by so much than its times say; what this process wrote itself is not.
    pub fn age_restored(&mut self, now: Duration, by: Duration) {
        let me = self.me;
        let old = |entry: &Entry| {
            entry.copy.expires() && !entry.copy.owner().is_some_and(|o| o.member == me && o.incarnation == 0)
        };
        let all: Vec<Key> =
            self.entries.iter().filter(|(_, entry)| old(entry)).map(|(key, _)| key.clone()).collect();
        for key in all {
            let mut copy = self.entries[&key].copy.clone();
            copy.age(by);
            self.put(now, key, copy);
        }
    }

    /// Lets go of what was kept for others: it is older than what they have forgotten.
    pub fn drop_not_owned(&mut self) -> usize {
        let others =
            self.entries.iter().filter(|(_, entry)| !entry.copy.owner().is_some_and(|o| self.owns(o)));
        let others: Vec<Key> = others.map(|(key, _)| key.clone()).collect();
        for key in &others {
            self.remove(key);
        }
        others.len()
    }

    // Snapshots

    /// A piece of all that a member is to know: copies from this hash on, and where the next piece begins.
    pub fn snapshot_chunk(&self, now: Duration, to: u16, from: u64) -> (Vec<ReplicaUpdate>, Option<u64>) {
        let mut copies = Vec::new();
        let start = (from, DialogueId("".into()));
        let mut last = None;
        for (looks, ((print, id), entry)) in self.entries.range(start..).enumerate() {
            // Ids with one hash go together, since the next piece begins at a hash.
            if (looks >= PIECE_LOOKS || copies.len() >= PIECE) && last != Some(*print) {
                return (copies, Some(*print));
            }
            last = Some(*print);
            if let Some(owner) = entry.copy.owner()
                && self.group.shares(*print, owner.member, to)
            {
                copies.push(entry.copy.to_update(now, id));
            }
        }
        (copies, None)
    }

    pub fn cursor(&mut self, member: u16) -> Cursor {
        Cursor { at: self.streams[usize::from(member)].last_number(), from: 0 }
    }

    // Comparing

    pub fn digest_depth(&self) -> u8 {
        self.sums.first().map_or(0, DigestTree::depth)
    }

    /// Digests of the ranges below the top, which a comparison begins with.
    pub fn top_digests(&self, member: u16) -> (u8, u32, Vec<u64>) {
        (1, 0, self.sums[usize::from(member)].digests(1, 0, FAN_OUT).unwrap_or_default().to_vec())
    }

    /// The other side's digests of some ranges of a level: what is to be said of each that differs.
    pub fn compare_ranges(&self, member: u16, level: u8, from: u32, theirs: &[u64]) -> Vec<RangeDifference> {
        let sums = &self.sums[usize::from(member)];
        let Some(ours) = sums.digests(level, from, theirs.len()).filter(|_| theirs.len() <= FAN_OUT) else {
            return Vec::new();
        };
        let differing = ours.iter().zip(theirs).enumerate().filter(|(_, (ours, theirs))| ours != theirs);
        let ranges = differing.map(|(place, _)| from + place as u32);
        ranges
            .map(|range| {
                if level >= sums.depth() {
                    RangeDifference::Leaf(range, self.prints(member, range))
                } else {
                    let below = sums.digests(level + 1, range * FAN_OUT as u32, FAN_OUT).unwrap_or_default();
                    RangeDifference::Subranges(level + 1, range * FAN_OUT as u32, below.to_vec())
                }
            })
            .collect()
    }

    fn in_range(&self, member: u16, range: u32) -> impl Iterator<Item = (&Key, &Entry)> {
        let (from, to) = self.sums[usize::from(member)].leaf_bounds(range).unwrap_or((1, 0));
        let all = self.entries.range((from, DialogueId("".into()))..);
        let within = all.take_while(move |((print, _), _)| from <= to && *print <= to);
        within.filter(move |((print, _), entry)| {
            entry.shared_as.is_some_and(|owner| self.group.shares(*print, owner.member, member))
        })
    }

    fn prints(&self, member: u16, range: u32) -> Vec<(u64, u64)> {
        self.in_range(member, range).map(|((print, _), entry)| (*print, entry.digest)).collect()
    }

    /// What the other side has in a range. What it has and is not here, or differs, is wanted; what is here and not there, or
    /// differs, is sent; what it owns in the life that it has, and does not have itself, is no more.
    pub fn compare_dialogues(
        &mut self, now: Duration, member: u16, life: u64, range: u32, theirs: &[(u64, u64)],
    ) -> Repair {
        let there: HashMap<u64, u64> = theirs.iter().copied().collect();
        let mut repair = Repair::default();
        let mut gone = Vec::new();
        let mut here: HashMap<u64, u64> = HashMap::new();
        for (key, entry) in self.in_range(member, range) {
            here.insert(key.0, entry.digest);
            if there.get(&key.0) == Some(&entry.digest) {
                continue;
            }
            // A claim that is only promised is no word of the claimant's.
            let theirs_alone = entry.copy.owner_states().last().is_some_and(|part| {
                (part.owner.member, part.owner.incarnation) == (member, life) && part.version > 0
            });
            if theirs_alone && !there.contains_key(&key.0) {
                gone.push(key.clone());
            } else {
                repair.to_send.push(entry.copy.to_update(now, &key.1));
            }
        }
        repair.to_request = theirs
            .iter()
            .filter(|(print, digest)| here.get(print) != Some(digest))
            .map(|(p, _)| *p)
            .collect();
        for key in gone {
            self.remove(&key);
            repair.dropped_count += 1;
        }
        repair
    }

    /// Copies by the hashes of their ids, for a member that is to know them.
    pub fn requested_replicas(&self, now: Duration, member: u16, ids: &[u64]) -> Vec<ReplicaUpdate> {
        let mut copies = Vec::new();
        for print in ids {
            let same =
                self.entries.range((*print, DialogueId("".into()))..).take_while(|((p, _), _)| p == print);
            let known = same.filter(|(_, entry)| {
                entry.copy.owner().is_some_and(|owner| self.group.shares(*print, owner.member, member))
            });
            copies.extend(known.map(|((_, id), entry)| entry.copy.to_update(now, id)));
        }
        copies
    }

    // Keeping

    /// When something is to be forgotten next.
    pub fn next_due(&self) -> Option<Duration> {
        self.fading.first().map(|(at, _)| *at)
    }

    /// Forgets what is due, so many at a time.
    pub fn expire(&mut self, now: Duration, most: usize) -> Vec<DialogueId> {
        let mut gone = Vec::new();
        while gone.len() < most
            && let Some((at, key)) = self.fading.first().cloned()
            && at <= now
        {
            // In its last part it is compared no more; at its end it goes.
            let until = self.entries.get(&key).map(|entry| entry.copy.expires_at());
            if until.is_some_and(|until| until > now) {
                self.share(&key, None);
                self.fading.pop_first();
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.fades = until;
                    self.fading.extend(until.map(|until| (until, key)));
                }
                continue;
            }
            self.remove(&key);
            gone.push(key.1);
        }
        gone
    }

    fn remove(&mut self, key: &Key) {
        self.share(key, None);
        if let Some(entry) = self.entries.remove(key)
            && let Some(fades) = entry.fades
        {
            self.fading.remove(&(fades, key.clone()));
        }
        self.waits.remove(&key.1);
    }

    fn put(&mut self, now: Duration, key: Key, copy: Replica) {
        let digest = digest_of(key.0, &copy);
        let owner = copy.owner();
        let last_part = self.bounds.retention / LAST_PART;
        let fades = copy.expires().then(|| {
            let until = copy.expires_at();
            let compared_until = until.saturating_sub(last_part);
            if compared_until > now { compared_until } else { until }
        });
        let compared = !copy.expires() || copy.expires_at().saturating_sub(last_part) > now;
        let known = self.entries.get(&key);
        let (before, same) = known.map_or((None, false), |entry| (entry.fades, entry.digest == digest));
        if before != fades {
            if let Some(before) = before {
                self.fading.remove(&(before, key.clone()));
            }
            self.fading.extend(fades.map(|fades| (fades, key.clone())));
        }
        let shared = owner.filter(|_| compared);
        if !(same && known.is_some_and(|entry| entry.shared_as == shared)) {
            self.share(&key, None);
            let shared_as = None;
            self.entries.insert(key.clone(), Entry { copy, digest, shared_as, fades });
            self.share(&key, shared);
        } else if let Some(entry) = self.entries.get_mut(&key) {
            (entry.copy, entry.fades) = (copy, fades);
        }
    }

    /// From now on it counts in the digests of all with whom it is shared under this owner; none: it counts in none.
    fn share(&mut self, key: &Key, with: Option<Owner>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let before = std::mem::replace(&mut entry.shared_as, with);
        let digest = entry.digest;
        for owner in [before, with].into_iter().flatten() {
            if !self.group.shares(key.0, owner.member, self.me) {
                continue;
            }
            let holders = self.group.holders(key.0, owner.member);
            for other in holders.chain(std::iter::once(owner.member)) {
                if other != self.me
                    && let Some(sums) = self.sums.get_mut(usize::from(other))
                {
                    sums.toggle(key.0, digest);
                }
            }
        }
    }
}

/// A range of ids in which two members differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeDifference {
    /// Digests of its parts: level, the first one, digests.
    Subranges(u8, u32, Vec<u64>),
    /// It is at the bottom: what is held there.
    Leaf(u32, Vec<(u64, u64)>),
}

/// What mends a range.
#[derive(Debug, Default, PartialEq)]
pub struct Repair {
    pub to_send: Vec<ReplicaUpdate>,
    pub to_request: Vec<u64>,
    pub dropped_count: usize,
}

/// Of all that members must hold alike: times differ with clocks and ways.
fn digest_of(print: u64, copy: &Replica) -> u64 {
    let mut raw = Vec::with_capacity(64);
    for part in copy.owner_states() {
        raw.extend(part.owner.round.to_le_bytes());
        raw.extend(part.owner.member.to_le_bytes());
        raw.extend(part.owner.incarnation.to_le_bytes());
        raw.extend(part.version.to_le_bytes());
        match &part.progress {
            Progress::Accepted => raw.push(0),
            Progress::Launched { server, launch } | Progress::Stands { server, launch } => {
                raw.push(if matches!(part.progress, Progress::Launched { .. }) { 1 } else { 2 });
                raw.extend(launch.0.to_le_bytes());
                raw.extend(server.0.as_bytes());
            }
            Progress::Ended => raw.push(3),
        }
    }
    for given in copy.answers() {
        raw.extend(given.owner.round.to_le_bytes());
        raw.extend(given.owner.member.to_le_bytes());
        raw.extend(given.owner.incarnation.to_le_bytes());
        match &given.answer {
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
    digest(&[&print.to_le_bytes(), &raw])
}

impl Replica {
    /// Whether it stands there or may be out there, by this member's word.
    pub fn is_open(&self) -> bool {
        !matches!(self.reading(), ReplicaReading::Answered(_) | ReplicaReading::Ended)
    }
}
