//! What one member knows of dialogues, its own and those it keeps copies of, and what it owes the others of it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_trunk::{Answer, Cursor, Owner, Progress, Replaced, ReplicaUpdate};

use crate::copy::{Copy, Reading};
use crate::holders::{Group, digest, print};
use crate::stream::Stream;
use crate::sums::{FAN, Sums};

/// Records looked at for one piece of a snapshot, and sent in it, at most: a turn of the decision thread is not longer than that.
const PIECE_LOOKS: usize = 4096;
const PIECE: usize = 256;
/// Records that are about to be forgotten are repaired nowhere: in the last part of their time.
const LAST_PART: u32 = 8;

#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Copies kept, own dialogues included; beyond it a new one of another member is not kept.
    pub most: usize,
    /// What is over, or came to nothing, is forgotten after so long.
    pub forget: Duration,
}

struct Entry {
    copy: Copy,
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
pub enum Written {
    /// It goes to others, and the ticket is told by [`Book::done`] when enough of them have it.
    Waits,
    /// Nobody waits for it.
    Goes,
    /// Another owns the dialogue now: nothing was written, and nothing may be done.
    Replaced(Owner),
}

/// What is new here after copies came in.
#[derive(Debug, Default, PartialEq)]
pub struct News {
    /// Copies of higher owners: whoever wrote is told.
    pub replaced: Vec<Replaced>,
    /// Dialogues that this member owned and another does now.
    pub lost: Vec<(DialogueId, Owner)>,
    /// To be kept on disk.
    pub changed: Vec<DialogueId>,
    /// Dialogues with two different final answers, first seen now.
    pub differ: Vec<DialogueId>,
    /// Copies for which there was no room.
    pub refused: usize,
}

type Key = (u64, DialogueId);

pub struct Book {
    me: u16,
    life: u64,
    group: Group,
    bounds: Bounds,
    entries: BTreeMap<Key, Entry>,
    fading: BTreeSet<(Duration, Key)>,
    sums: Vec<Sums>,
    streams: Vec<Stream>,
    waits: HashMap<DialogueId, Wait>,
    /// Awaited writes by the number of the stream to each member.
    awaited: Vec<VecDeque<(u64, DialogueId, u32)>>,
    done: Vec<u64>,
    /// Written before this member had a life.
    nameless: Vec<DialogueId>,
}

impl Book {
    pub fn new(me: u16, group: Group, bounds: Bounds) -> Self {
        let members = group.members();
        let depth = Sums::depth_for(members);
        Self {
            me,
            life: 0,
            bounds,
            entries: BTreeMap::new(),
            fading: BTreeSet::new(),
            sums: (0..members).map(|_| Sums::new(depth)).collect(),
            streams: (0..members).map(|_| Stream::new()).collect(),
            waits: HashMap::new(),
            awaited: (0..members).map(|_| VecDeque::new()).collect(),
            done: Vec::new(),
            nameless: Vec::new(),
            group,
        }
    }

    pub fn group(&self) -> &Group {
        &self.group
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.bounds.most
    }

    pub fn life(&self) -> u64 {
        self.life
    }

    pub fn get(&self, id: &DialogueId) -> Option<&Copy> {
        self.entries.get(&(print(id), id.clone())).map(|entry| &entry.copy)
    }

    /// All that is known, in the order of the hashes of ids.
    pub fn each(&self) -> impl Iterator<Item = (&DialogueId, &Copy)> {
        self.entries.iter().map(|((_, id), entry)| (id, &entry.copy))
    }

    /// The same from this hash on.
    pub fn from(&self, print: u64) -> impl Iterator<Item = (&DialogueId, &Copy)> {
        let from = self.entries.range((print, DialogueId("".into()))..);
        from.map(|((_, id), entry)| (id, &entry.copy))
    }

    fn owns(&self, owner: Owner) -> bool {
        owner.member == self.me && owner.incarnation == self.life
    }

    /// Whether this member owns it, in this life, and has written of it: a claim that is only promised here is not held yet.
    pub fn is_mine(&self, id: &DialogueId) -> bool {
        let top = self.get(id).and_then(|copy| copy.parts().last());
        top.is_some_and(|part| self.owns(part.owner) && part.version > 0)
    }

    // Own dialogues

    /// This member has a new life. What it owns in this process goes on under it: what it wrote before it had one, and, where it
    /// had one, what nobody has taken over.
    pub fn begin_life(&mut self, now: Duration, life: u64) {
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
            let key = (print(&id), id.clone());
            let Some(entry) = self.entries.get(&key) else { continue };
            let Some(owner) = entry.copy.owner().filter(|o| o.member == self.me && o.incarnation == before)
            else {
                continue;
            };
            let mut copy = entry.copy.clone();
            copy.rename(owner, Owner { incarnation: life, ..owner });
            self.put(now, key, copy);
            self.tell_holders(&id, None);
        }
    }

    /// A step of a dialogue that this member has. `base`: nothing of it is to be forgotten before `forget` after that.
    #[expect(clippy::too_many_arguments)]
    pub fn write(
        &mut self, now: Duration, id: &DialogueId, reached: Progress, bar: Duration, answer: Option<&Answer>,
        base: Duration, wait: Option<(u64, usize)>,
    ) -> Written {
        let key = (print(id), id.clone());
        let mut copy = self.entries.get(&key).map(|entry| entry.copy.clone()).unwrap_or_default();
        let owner = match copy.owner() {
            Some(owner) if self.owns(owner) => owner,
            // A former life of its own, or nobody: whoever else has a word would have been asked before.
            Some(owner) if owner.member == self.me && owner.incarnation < self.life => {
                Owner { incarnation: self.life, ..owner }
            }
            Some(owner) => return Written::Replaced(owner),
            None => Owner { round: 0, member: self.me, incarnation: self.life },
        };
        let until = match &reached {
            Progress::Stands { .. } => crate::copy::for_ever(),
            _ => base.max(now) + self.bounds.forget,
        };
        copy.write(owner, reached, bar, until);
        if let Some(answer) = answer {
            copy.answered(owner, answer);
        }
        let version = copy.part_of(owner).map_or(0, |part| part.version);
        self.put(now, key, copy);
        if self.life == 0 {
            self.nameless.push(id.clone());
            return Written::Goes;
        }
        let wait = wait.map(|(ticket, acks)| (ticket, acks, version));
        if self.tell_holders(id, wait) { Written::Waits } else { Written::Goes }
    }

    fn tell_holders(&mut self, id: &DialogueId, wait: Option<(u64, usize, u32)>) -> bool {
        let holders: Vec<u16> = self.group.holders(print(id), self.me).collect();
        for holder in &holders {
            let number = self.streams[usize::from(*holder)].changed(id);
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
    pub fn wait_no_more(&mut self, id: &DialogueId) {
        self.waits.remove(id);
    }

    /// Tickets whose writes are kept by as many as was asked for.
    pub fn done(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.done)
    }

    /// A member has kept all of this life's writes up to this number of the stream to it.
    pub fn kept(&mut self, member: u16, up_to: u64) {
        let place = usize::from(member);
        let up_to = self.streams[place].acknowledged(up_to);
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
    pub fn replaced(&mut self, now: Duration, id: &DialogueId, by: Owner) -> bool {
        if self.get(id).and_then(Copy::owner) >= Some(by) || !self.is_mine(id) {
            return false;
        }
        self.waits.remove(id);
        self.claim(now, id, by, &Copy::default());
        true
    }

    /// This member owns it from now on, as the highest of all that was found of it.
    pub fn claim(&mut self, now: Duration, id: &DialogueId, owner: Owner, found: &Copy) {
        let key = (print(id), id.clone());
        let mut copy = self.entries.get(&key).map(|entry| entry.copy.clone()).unwrap_or_default();
        copy.merge(found);
        copy.merge(&Copy::claimed(owner, now + self.bounds.forget));
        self.put(now, key, copy);
    }

    // Streams

    pub fn stream(&mut self, member: u16) -> &mut Stream {
        &mut self.streams[usize::from(member)]
    }

    /// The next copies to be sent to a member in its stream: the first one's number, and the copies.
    pub fn next_copies(
        &mut self, now: Duration, member: u16, most: usize,
    ) -> Option<(u64, Vec<ReplicaUpdate>)> {
        let (first, ids) = self.streams[usize::from(member)].take(most)?;
        // One that was forgotten meanwhile goes as what it was last: nothing that anyone keeps.
        let copies = ids.iter().map(|id| match self.get(id) {
            Some(copy) => copy.sent(now, id),
            None => ReplicaUpdate { dialogue: id.clone(), owner_records: Vec::new(), answers: Vec::new() },
        });
        Some((first, copies.collect()))
    }

    /// The greatest number of writes that some member has not acknowledged.
    pub fn lag(&self) -> u64 {
        self.streams.iter().map(Stream::lag).max().unwrap_or_default()
    }

    // Copies

    /// Copies came from another member.
    pub fn take(&mut self, now: Duration, copies: &[ReplicaUpdate]) -> News {
        let mut news = News::default();
        for sent in copies {
            self.take_one(now, sent, &mut news);
        }
        news
    }

    fn take_one(&mut self, now: Duration, sent: &ReplicaUpdate, news: &mut News) {
        let id = &sent.dialogue;
        let incoming = Copy::received(now, sent);
        let Some(theirs) = incoming.owner() else { return };
        let key = (print(id), id.clone());
        let Some(entry) = self.entries.get(&key) else {
            // What is about to be forgotten by all is not brought back to life.
            if incoming.until() <= now + self.bounds.forget / LAST_PART {
                return;
            }
            if self.is_full() {
                news.refused += 1;
                return;
            }
            let differs = incoming.differs();
            self.put(now, key, incoming);
            news.changed.push(id.clone());
            if differs {
                news.differ.push(id.clone());
            }
            return;
        };
        let ours = entry.copy.owner();
        if let Some(by) = ours.filter(|ours| *ours > theirs) {
            // Its word came after another's claim and is not acknowledged. What it tells of before is known all the same.
            news.replaced.push(Replaced { dialogue: id.clone(), by });
        }
        let mine = self.is_mine(id);
        let mut copy = entry.copy.clone();
        copy.merge(&incoming);
        if copy == entry.copy {
            return;
        }
        if copy.differs() && !entry.copy.differs() {
            news.differ.push(id.clone());
        }
        self.put(now, key, copy);
        news.changed.push(id.clone());
        if mine
            && !self.is_mine(id)
            && let Some(by) = self.get(id).and_then(Copy::owner)
        {
            self.waits.remove(id);
            news.lost.push((id.clone(), by));
        }
    }

    /// Someone asks for a dialogue and means to own it. What was known before, and who is higher, if anyone.
    pub fn asked(
        &mut self, now: Duration, id: &DialogueId, owner: Owner,
    ) -> (Option<Owner>, Option<ReplicaUpdate>) {
        let key = (print(id), id.clone());
        let known = self.entries.get(&key).map(|entry| &entry.copy);
        let before = known.map(|copy| copy.sent(now, id));
        if let Some(higher) = known.and_then(Copy::owner).filter(|known| *known > owner) {
            return (Some(higher), before);
        }
        let mut copy = known.cloned().unwrap_or_default();
        if copy.owner() != Some(owner) {
            if known.is_none() && self.is_full() {
                return (None, before);
            }
            copy.merge(&Copy::claimed(owner, now + self.bounds.forget));
            self.waits.remove(id);
            self.put(now, key, copy);
        }
        (None, before)
    }

    /// Whether the claim of this owner is kept here.
    pub fn promised(&self, id: &DialogueId, owner: Owner) -> bool {
        self.get(id).and_then(Copy::owner) == Some(owner)
    }

    /// Puts a copy in, where it was read from disk after a start. Its times are those of a former life: bars are whole.
    pub fn recall(&mut self, now: Duration, sent: &ReplicaUpdate) {
        let copy = Copy::received(now, sent);
        if copy.owner().is_some() {
            self.put(now, (print(&sent.dialogue), sent.dialogue.clone()), copy);
        }
    }

    /// What was recalled is older by so much than its times say; what this process wrote itself is not.
    pub fn age(&mut self, now: Duration, by: Duration) {
        let me = self.me;
        let old = |entry: &Entry| {
            entry.copy.fades() && !entry.copy.owner().is_some_and(|o| o.member == me && o.incarnation == 0)
        };
        let all: Vec<Key> =
            self.entries.iter().filter(|(_, entry)| old(entry)).map(|(key, _)| key.clone()).collect();
        for key in all {
            let mut copy = self.entries[&key].copy.clone();
            copy.aged(by);
            self.put(now, key, copy);
        }
    }

    /// Lets go of what was kept for others: it is older than what they have forgotten.
    pub fn drop_others(&mut self) -> usize {
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
    pub fn piece(&self, now: Duration, to: u16, from: u64) -> (Vec<ReplicaUpdate>, Option<u64>) {
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
                && self.group.knows(*print, owner.member, to)
            {
                copies.push(entry.copy.sent(now, id));
            }
        }
        (copies, None)
    }

    pub fn cursor(&mut self, member: u16) -> Cursor {
        Cursor { at: self.streams[usize::from(member)].last(), from: 0 }
    }

    // Comparing

    pub fn depth(&self) -> u8 {
        self.sums.first().map_or(0, Sums::depth)
    }

    /// Digests of the ranges below the top, which a comparison begins with.
    pub fn top(&self, member: u16) -> (u8, u32, Vec<u64>) {
        (1, 0, self.sums[usize::from(member)].of(1, 0, FAN).unwrap_or_default().to_vec())
    }

    /// The other side's digests of some ranges of a level: what is to be said of each that differs.
    pub fn compare(&self, member: u16, level: u8, from: u32, theirs: &[u64]) -> Vec<Differing> {
        let sums = &self.sums[usize::from(member)];
        let Some(ours) = sums.of(level, from, theirs.len()).filter(|_| theirs.len() <= FAN) else {
            return Vec::new();
        };
        let differing = ours.iter().zip(theirs).enumerate().filter(|(_, (ours, theirs))| ours != theirs);
        let ranges = differing.map(|(place, _)| from + place as u32);
        ranges
            .map(|range| {
                if level >= sums.depth() {
                    Differing::Range(range, self.prints(member, range))
                } else {
                    let below = sums.of(level + 1, range * FAN as u32, FAN).unwrap_or_default();
                    Differing::Below(level + 1, range * FAN as u32, below.to_vec())
                }
            })
            .collect()
    }

    fn in_range(&self, member: u16, range: u32) -> impl Iterator<Item = (&Key, &Entry)> {
        let (from, to) = self.sums[usize::from(member)].bottom(range).unwrap_or((1, 0));
        let all = self.entries.range((from, DialogueId("".into()))..);
        let within = all.take_while(move |((print, _), _)| from <= to && *print <= to);
        within.filter(move |((print, _), entry)| {
            entry.shared_as.is_some_and(|owner| self.group.knows(*print, owner.member, member))
        })
    }

    fn prints(&self, member: u16, range: u32) -> Vec<(u64, u64)> {
        self.in_range(member, range).map(|((print, _), entry)| (*print, entry.digest)).collect()
    }

    /// What the other side has in a range. What it has and is not here, or differs, is wanted; what is here and not there, or
    /// differs, is sent; what it owns in the life that it has, and does not have itself, is no more.
    pub fn look(
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
            let theirs_alone = entry.copy.parts().last().is_some_and(|part| {
                (part.owner.member, part.owner.incarnation) == (member, life) && part.version > 0
            });
            if theirs_alone && !there.contains_key(&key.0) {
                gone.push(key.clone());
            } else {
                repair.send.push(entry.copy.sent(now, &key.1));
            }
        }
        repair.want = theirs
            .iter()
            .filter(|(print, digest)| here.get(print) != Some(digest))
            .map(|(p, _)| *p)
            .collect();
        for key in gone {
            self.remove(&key);
            repair.dropped += 1;
        }
        repair
    }

    /// Copies by the hashes of their ids, for a member that is to know them.
    pub fn wanted(&self, now: Duration, member: u16, ids: &[u64]) -> Vec<ReplicaUpdate> {
        let mut copies = Vec::new();
        for print in ids {
            let same =
                self.entries.range((*print, DialogueId("".into()))..).take_while(|((p, _), _)| p == print);
            let known = same.filter(|(_, entry)| {
                entry.copy.owner().is_some_and(|owner| self.group.knows(*print, owner.member, member))
            });
            copies.extend(known.map(|((_, id), entry)| entry.copy.sent(now, id)));
        }
        copies
    }

    // Keeping

    /// When something is to be forgotten next.
    pub fn next_due(&self) -> Option<Duration> {
        self.fading.first().map(|(at, _)| *at)
    }

    /// Forgets what is due, so many at a time.
    pub fn forget(&mut self, now: Duration, most: usize) -> Vec<DialogueId> {
        let mut gone = Vec::new();
        while gone.len() < most
            && let Some((at, key)) = self.fading.first().cloned()
            && at <= now
        {
            // In its last part it is compared no more; at its end it goes.
            let until = self.entries.get(&key).map(|entry| entry.copy.until());
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

    fn put(&mut self, now: Duration, key: Key, copy: Copy) {
        let digest = digest_of(key.0, &copy);
        let owner = copy.owner();
        let last_part = self.bounds.forget / LAST_PART;
        let fades = copy.fades().then(|| {
            let until = copy.until();
            let compared_until = until.saturating_sub(last_part);
            if compared_until > now { compared_until } else { until }
        });
        let compared = !copy.fades() || copy.until().saturating_sub(last_part) > now;
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
            if !self.group.knows(key.0, owner.member, self.me) {
                continue;
            }
            let holders = self.group.holders(key.0, owner.member);
            for other in holders.chain(std::iter::once(owner.member)) {
                if other != self.me
                    && let Some(sums) = self.sums.get_mut(usize::from(other))
                {
                    sums.turn(key.0, digest);
                }
            }
        }
    }
}

/// A range of ids in which two members differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Differing {
    /// Digests of its parts: level, the first one, digests.
    Below(u8, u32, Vec<u64>),
    /// It is at the bottom: what is held there.
    Range(u32, Vec<(u64, u64)>),
}

/// What mends a range.
#[derive(Debug, Default, PartialEq)]
pub struct Repair {
    pub send: Vec<ReplicaUpdate>,
    pub want: Vec<u64>,
    pub dropped: usize,
}

/// Of all that members must hold alike: times differ with clocks and ways.
fn digest_of(print: u64, copy: &Copy) -> u64 {
    let mut raw = Vec::with_capacity(64);
    for part in copy.parts() {
        raw.extend(part.owner.round.to_le_bytes());
        raw.extend(part.owner.member.to_le_bytes());
        raw.extend(part.owner.incarnation.to_le_bytes());
        raw.extend(part.version.to_le_bytes());
        match &part.reached {
            Progress::Accepted => raw.push(0),
            Progress::Launched { server, launch } | Progress::Stands { server, launch } => {
                raw.push(if matches!(part.reached, Progress::Launched { .. }) { 1 } else { 2 });
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

impl Copy {
    /// Whether it stands there or may be out there, by this member's word.
    pub fn is_open(&self) -> bool {
        !matches!(self.reading(), Reading::Answered(_) | Reading::Over)
    }
}
