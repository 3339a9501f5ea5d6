//! Takeover of the dialogues of gone members. Each standing dialogue is taken over by the first available holder of its replicas and
//! held for a while for its caller; lines without an owner are released at the core servers.
//!
//! Two successors with different membership views may both take over a dialogue. That does no harm: a core server accepts the higher
//! owner, and the other one gives the dialogue up.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::{Replica, ReplicaReading};
use lotussaddle_trunk::{HeldLine, Owner};

/// Max concurrent adoptions; further dialogues wait for the next scan.
const MAX_ADOPTING: usize = 512;
/// An unreachable or unresponsive core server is asked again after this.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Max attempts to adopt a dialogue; afterwards its line is left to the sweep that follows when the server is reachable.
const MAX_ADOPT_ATTEMPTS: u32 = 20;
/// A member asks for its own lines of any incarnation: it learns of a later incarnation this way.
const ANY_INCARNATION: u64 = u64::MAX;
/// Max tracked lines that were left to a claimant; further ones are tracked in a later sweep when there is space.
const MAX_CLAIMED_LINES: usize = 65_536;

/// An action that a takeover requests.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverAction {
    /// Ask the core server whether the dialogue stands there, and adopt it for this owner.
    Adopt {
        /// The core server that is asked.
        server: ServerId,
        /// The dialogue to adopt.
        dialogue: DialogueId,
        /// The owner that adopts it.
        owner: Owner,
        /// It is adopted to release another member's line; with duties, only the holder of `sweep` does that.
        swept: bool,
    },
    /// This member owns the dialogue, which stands there.
    Own {
        /// The dialogue that was taken over.
        dialogue: DialogueId,
        /// Its new owner, an incarnation of this member.
        owner: Owner,
        /// The core server that holds the line.
        server: ServerId,
        /// The launch that set it up.
        launch: LaunchNumber,
    },
    /// Release the line at the core server.
    Release {
        /// The core server that holds the line.
        server: ServerId,
        /// The dialogue to release.
        dialogue: DialogueId,
        /// The launch that set it up.
        launch: LaunchNumber,
    },
    /// Record on behalf of this owner that the dialogue has ended.
    Conclude {
        /// The dialogue that has ended.
        dialogue: DialogueId,
        /// The owner that records it.
        owner: Owner,
    },
    /// Ask a core server for the lines of a member's incarnations up to this one.
    ListLines {
        /// The core server that is asked.
        server: ServerId,
        /// Number of the query, repeated in the reply.
        serial: u64,
        /// The member whose lines are listed.
        member: u16,
        /// The highest incarnation whose lines are listed.
        incarnation: u64,
        /// The last dialogue of the previous page; `None` for the first page.
        after: Option<DialogueId>,
    },
}

/// Stage of a takeover.
enum Stage {
    /// The core server was asked whether the dialogue stands there, to adopt it.
    Adopting { at: Duration, attempts: u32 },
    /// The dialogue stands, and is held for its caller until `until`.
    AwaitingCaller { until: Duration, launch: LaunchNumber },
    /// The dialogue has no owner, and is adopted to be released.
    Releasing { at: Duration, attempts: u32, swept: bool },
}

/// A dialogue whose owner is gone, or that has no owner.
struct Orphan {
    server: ServerId,
    owner: Owner,
    stage: Stage,
}

impl Orphan {
    fn due(&self) -> Duration {
        match self.stage {
            Stage::Adopting { at, .. } | Stage::Releasing { at, .. } => at + RETRY_INTERVAL,
            Stage::AwaitingCaller { until, .. } => until,
        }
    }
}

/// An incarnation of a member that has ended.
struct EndedIncarnation {
    incarnation: u64,
    since: Duration,
    swept: BTreeMap<ServerId, SweepRecord>,
}

/// The last query of one core server for the lines of one member.
#[derive(Clone, Copy)]
struct SweepRecord {
    at: Duration,
    /// Some lines were left to a claimant, or may have been: the server is asked again.
    left: bool,
}

/// Ownership of a listed line, as far as this member knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineOwnership {
    /// Its owner holds the dialogue.
    Held,
    /// Another member has claimed it and is expected to adopt it.
    Claimed,
    /// No member holds or claims it.
    Unowned,
}

/// A query for lines that has not been answered completely.
struct LineQuery {
    server: ServerId,
    member: u16,
    incarnation: u64,
    at: Duration,
    /// Asked during normal service: an unowned line is released only when a second check finds it again.
    is_recheck_required: bool,
}

/// Dialogues of ended incarnations that this member takes over or releases.
pub struct Takeovers {
    self_member: u16,
    unclaimed_timeout: Duration,
    orphaned_dialogues: HashMap<DialogueId, Orphan>,
    deadlines: BTreeSet<(Duration, DialogueId)>,
    ended_incarnations: BTreeMap<u16, EndedIncarnation>,
    /// Last queries for this member's own lines, by core server.
    own_sweeps: BTreeMap<ServerId, SweepRecord>,
    /// Lines that were claimed when they were listed, with their owner and the time: a claim without an adoption expires.
    claimed_lines: BTreeMap<(ServerId, DialogueId), (Owner, Duration)>,
    line_queries: BTreeMap<u64, LineQuery>,
    serial: u64,
    /// The last scan found standing dialogues of gone members that belong to another successor or exceed the limit.
    pub rescan_needed: bool,
}

impl Takeovers {
    /// Takeovers that release a dialogue which no caller claims for `unclaimed_timeout`.
    pub fn new(self_member: u16, unclaimed_timeout: Duration) -> Self {
        Self {
            self_member,
            unclaimed_timeout,
            orphaned_dialogues: HashMap::new(),
            deadlines: BTreeSet::new(),
            ended_incarnations: BTreeMap::new(),
            own_sweeps: BTreeMap::new(),
            claimed_lines: BTreeMap::new(),
            line_queries: BTreeMap::new(),
            serial: 0,
            rescan_needed: false,
        }
    }

    /// Number of dialogues held for their callers or being taken over.
    pub fn len(&self) -> usize {
        self.orphaned_dialogues.len()
    }

    /// Whether no dialogue is held or being taken over.
    pub fn is_empty(&self) -> bool {
        self.orphaned_dialogues.is_empty()
    }

    /// When [`Takeovers::timer_fired`] is due.
    pub fn next_due(&self) -> Option<Duration> {
        let query_deadline = self.line_queries.values().map(|query| query.at + RETRY_INTERVAL * 4).min();
        self.deadlines.first().map(|(at, _)| *at).into_iter().chain(query_deadline).min()
    }

    // Members that are gone

    /// This incarnation of a member and all earlier ones have ended.
    pub fn incarnation_ended(&mut self, now: Duration, member: u16, incarnation: u64) {
        let ended = self.ended_incarnations.entry(member).or_insert(EndedIncarnation {
            incarnation,
            since: now,
            swept: BTreeMap::new(),
        });
        if incarnation > ended.incarnation {
            *ended = EndedIncarnation { incarnation, since: now, swept: BTreeMap::new() };
        }
        self.rescan_needed = true;
    }

    /// A member that counted as gone is reachable in the same incarnation: it was only slow, or partitioned.
    pub fn member_returned(&mut self, member: u16, incarnation: u64) {
        if self.ended_incarnations.get(&member).is_some_and(|ended| ended.incarnation >= incarnation) {
            self.ended_incarnations.remove(&member);
            self.line_queries.retain(|_, query| query.member != member);
        }
    }

    /// Whether this owner's incarnation has ended.
    pub fn is_ended(&self, owner: Owner) -> bool {
        self.ended_incarnations.get(&owner.member).is_some_and(|ended| owner.incarnation <= ended.incarnation)
    }

    /// Whether any incarnation of a member has ended.
    pub fn has_ended_incarnations(&self) -> bool {
        !self.ended_incarnations.is_empty()
    }

    // Dialogues

    /// Takes a replica's dialogue over if that is this member's task. `first`: the first available candidate holder.
    pub fn consider_replica(
        &mut self, now: Duration, id: &DialogueId, copy: &Replica, first: Option<u16>, incarnation: u64,
    ) -> Option<TakeoverAction> {
        let ReplicaReading::Stands { server, .. } = copy.reading() else { return None };
        let top = copy.owner().filter(|owner| self.is_ended(*owner))?;
        if first != Some(self.self_member)
            || self.orphaned_dialogues.len() >= MAX_ADOPTING * 2
            || self.pending_count() >= MAX_ADOPTING
        {
            self.rescan_needed = true;
            return None;
        }
        if self.orphaned_dialogues.contains_key(id) {
            return None;
        }
        let owner = Owner { round: top.round + 1, member: self.self_member, incarnation };
        let server = server.clone();
        let adopt =
            TakeoverAction::Adopt { server: server.clone(), dialogue: id.clone(), owner, swept: false };
        self.put(id, Orphan { server, owner, stage: Stage::Adopting { at: now, attempts: 0 } });
        Some(adopt)
    }

    fn pending_count(&self) -> usize {
        self.orphaned_dialogues
            .values()
            .filter(|orphan| !matches!(orphan.stage, Stage::AwaitingCaller { .. }))
            .count()
    }

    fn put(&mut self, id: &DialogueId, orphan: Orphan) {
        self.remove(id);
        self.deadlines.insert((orphan.due(), id.clone()));
        self.orphaned_dialogues.insert(id.clone(), orphan);
    }

    /// Whether a dialogue is held for its caller or being taken over.
    pub fn has(&self, id: &DialogueId) -> bool {
        self.orphaned_dialogues.contains_key(id)
    }

    /// The caller of a held dialogue has redialled. Returns where the dialogue stands.
    pub fn claim_held(&mut self, id: &DialogueId) -> Option<(ServerId, LaunchNumber)> {
        let Stage::AwaitingCaller { launch, .. } = self.orphaned_dialogues.get(id)?.stage else {
            return None;
        };
        let server = self.orphaned_dialogues[id].server.clone();
        self.remove(id);
        Some((server, launch))
    }

    /// Holds a dialogue that this member adopted for a caller that could not be notified, as if its owner were gone.
    pub fn hold_for_caller(
        &mut self, now: Duration, id: &DialogueId, server: ServerId, owner: Owner, launch: LaunchNumber,
    ) {
        let stage = Stage::AwaitingCaller { until: now + self.unclaimed_timeout, launch };
        self.put(id, Orphan { server, owner, stage });
    }

    /// Drops a dialogue: another member owns it, or its caller has redialled here.
    pub fn remove(&mut self, id: &DialogueId) -> bool {
        let Some(orphan) = self.orphaned_dialogues.remove(id) else { return false };
        self.deadlines.remove(&(orphan.due(), id.clone()));
        true
    }

    /// A core server has answered an adoption.
    pub fn adopted(
        &mut self, now: Duration, id: &DialogueId, server: &ServerId, owner: Owner,
        launch: Option<LaunchNumber>, by: Owner,
    ) -> Vec<TakeoverAction> {
        let known = self
            .orphaned_dialogues
            .get(id)
            .filter(|orphan| orphan.owner == owner && orphan.server == *server);
        let Some(orphan) = known else { return Vec::new() };
        let is_releasing = match orphan.stage {
            Stage::Adopting { .. } => false,
            Stage::Releasing { .. } => true,
            Stage::AwaitingCaller { .. } => return Vec::new(),
        };
        self.remove(id);
        let (dialogue, server) = (id.clone(), server.clone());
        match launch {
            Some(launch) if is_releasing => {
                vec![
                    TakeoverAction::Release { server, dialogue: dialogue.clone(), launch },
                    TakeoverAction::Conclude { dialogue, owner },
                ]
            }
            Some(launch) => {
                let until = now + self.unclaimed_timeout;
                let stage = Stage::AwaitingCaller { until, launch };
                self.put(id, Orphan { server: server.clone(), owner, stage });
                vec![TakeoverAction::Own { dialogue, owner, server, launch }]
            }
            None if by > owner => Vec::new(),
            None => vec![TakeoverAction::Conclude { dialogue, owner }],
        }
    }

    /// A dialogue that this member took over has ended at its core server.
    pub fn concluded(&mut self, id: &DialogueId) -> Vec<TakeoverAction> {
        match self.orphaned_dialogues.get(id) {
            Some(Orphan { owner, stage: Stage::AwaitingCaller { .. }, .. }) => {
                let owner = *owner;
                self.remove(id);
                vec![TakeoverAction::Conclude { dialogue: id.clone(), owner }]
            }
            _ => Vec::new(),
        }
    }

    // Lines

    /// Asks core servers for the lines of members that have been gone for the claim time, where this member is the successor, and
    /// for this member's own lines. Lines found then were not claimed. Servers where lines were left to a claim are asked again.
    pub fn sweep(
        &mut self, now: Duration, is_successor_of: impl Fn(u16) -> bool, cores: &BTreeSet<ServerId>,
    ) -> Vec<TakeoverAction> {
        let unclaimed_timeout = self.unclaimed_timeout;
        let due = |swept: Option<&SweepRecord>| {
            swept.is_none_or(|swept| swept.left && now >= swept.at + unclaimed_timeout)
        };
        let mut asked = Vec::new();
        for (member, ended) in &mut self.ended_incarnations {
            if now < ended.since + unclaimed_timeout || !is_successor_of(*member) {
                continue;
            }
            for server in cores.iter().filter(|server| due(ended.swept.get(*server))) {
                asked.push((server.clone(), *member, ended.incarnation));
            }
        }
        asked.extend(
            cores
                .iter()
                .filter(|server| due(self.own_sweeps.get(*server)))
                .map(|s| (s.clone(), self.self_member, ANY_INCARNATION)),
        );
        asked
            .into_iter()
            .map(|(server, member, incarnation)| self.query_lines(now, server, member, incarnation))
            .collect()
    }

    fn query_lines(
        &mut self, now: Duration, server: ServerId, member: u16, incarnation: u64,
    ) -> TakeoverAction {
        self.serial += 1;
        let swept = SweepRecord { at: now, left: false };
        // This member's own incarnation has not ended, but lines of it that it does not hold are unowned too.
        match self.ended_incarnations.get_mut(&member).filter(|ended| ended.incarnation == incarnation) {
            Some(ended) => ended.swept.insert(server.clone(), swept),
            None => self.own_sweeps.insert(server.clone(), swept),
        };
        let query =
            LineQuery { server: server.clone(), member, incarnation, at: now, is_recheck_required: false };
        self.line_queries.insert(self.serial, query);
        TakeoverAction::ListLines { server, serial: self.serial, member, incarnation, after: None }
    }

    /// Asks a core server for this member's lines, to find those that it does not hold.
    pub fn query_own_lines(&mut self, now: Duration, server: &ServerId) -> TakeoverAction {
        self.query_lines(now, server.clone(), self.self_member, ANY_INCARNATION)
    }

    /// Checks this member's own lines at a core server for the duty `circuits`; none: a check is already running.
    pub fn check_own_lines(&mut self, now: Duration, server: &ServerId) -> Option<TakeoverAction> {
        let asked = |query: &LineQuery| query.server == *server && query.member == self.self_member;
        if self.line_queries.values().any(asked) {
            return None;
        }
        let action = self.query_lines(now, server.clone(), self.self_member, ANY_INCARNATION);
        self.line_queries.get_mut(&self.serial)?.is_recheck_required = true;
        Some(action)
    }

    /// The duty `sweep` is held elsewhere: abandons running sweeps of other members' lines.
    pub fn stop_sweeping(&mut self) {
        let swept = |orphan: &Orphan| matches!(orphan.stage, Stage::Releasing { swept: true, .. });
        let ids: Vec<DialogueId> = self
            .orphaned_dialogues
            .iter()
            .filter(|(_, orphan)| swept(orphan))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.remove(&id);
        }
        self.line_queries.retain(|_, query| query.member == self.self_member);
        // The next holder, which may be this member, starts again.
        self.ended_incarnations.values_mut().for_each(|ended| ended.swept.clear());
    }

    /// This member has yielded a standing dialogue to a claimant. If the claimant does not adopt it, its line has no owner.
    pub fn claim_yielded(&mut self, now: Duration, server: &ServerId) {
        let swept = self.own_sweeps.entry(server.clone()).or_insert(SweepRecord { at: now, left: false });
        // The time of the first yielded dialogue counts: under a steady flow of them, a later time would defer the query forever.
        if !swept.left {
            *swept = SweepRecord { at: now, left: true };
        }
    }

    fn mark_line_left(&mut self, server: &ServerId, member: u16, incarnation: u64) {
        let ended = self.ended_incarnations.get_mut(&member).filter(|ended| ended.incarnation == incarnation);
        let swept = ended.map_or(&mut self.own_sweeps, |ended| &mut ended.swept).get_mut(server);
        swept.into_iter().for_each(|swept| swept.left = true);
    }

    /// A core server lists its lines; `whose` gives the ownership of a line as known here. A claimed line is left, and released if
    /// it still has the previous owner when it is listed again after the claim time.
    #[expect(clippy::too_many_arguments)]
    pub fn lines_listed(
        &mut self, now: Duration, server: &ServerId, serial: u64, lines: &[HeldLine], more: bool,
        incarnation: u64, whose: impl Fn(&HeldLine) -> LineOwnership,
    ) -> Vec<TakeoverAction> {
        let Some(query) = self.line_queries.get_mut(&serial).filter(|query| query.server == *server) else {
            return Vec::new();
        };
        let (member, up_to, is_recheck_required) =
            (query.member, query.incarnation, query.is_recheck_required);
        query.at = now;
        let mut actions = Vec::new();
        match lines.last().filter(|_| more) {
            Some(last) => actions.push(TakeoverAction::ListLines {
                server: server.clone(),
                serial,
                member,
                incarnation: up_to,
                after: Some(last.dialogue.clone()),
            }),
            None => drop(self.line_queries.remove(&serial)),
        }
        for line in lines.iter().filter(|line| line.owner.member == member && line.owner.incarnation <= up_to)
        {
            let key = (server.clone(), line.dialogue.clone());
            let whose = match whose(line) {
                LineOwnership::Unowned if is_recheck_required => LineOwnership::Claimed,
                whose => whose,
            };
            match whose {
                LineOwnership::Held => {
                    self.claimed_lines.remove(&key);
                    continue;
                }
                LineOwnership::Claimed => {
                    let since = self.claimed_lines.get(&key).filter(|(owner, _)| *owner == line.owner);
                    let since = since.map(|(_, since)| *since);
                    if since.is_none_or(|since| now < since + self.unclaimed_timeout) {
                        self.mark_line_left(server, member, up_to);
                        if since.is_none() && self.claimed_lines.len() < MAX_CLAIMED_LINES {
                            self.claimed_lines.insert(key, (line.owner, now));
                        }
                        continue;
                    }
                }
                LineOwnership::Unowned => {}
            }
            self.claimed_lines.remove(&key);
            let owner = Owner { round: line.owner.round + 1, member: self.self_member, incarnation };
            let dialogue = line.dialogue.clone();
            let swept = member != self.self_member;
            actions.push(TakeoverAction::Adopt { server: server.clone(), dialogue, owner, swept });
            let stage = Stage::Releasing { at: now, attempts: 0, swept };
            self.put(&line.dialogue, Orphan { server: server.clone(), owner, stage });
        }
        actions
    }

    /// A core server could not be asked, or did not answer in time.
    pub fn line_query_failed(&mut self, serial: u64) {
        let Some(query) = self.line_queries.remove(&serial) else { return };
        let ended = self
            .ended_incarnations
            .get_mut(&query.member)
            .filter(|ended| ended.incarnation == query.incarnation);
        ended.map_or(&mut self.own_sweeps, |ended| &mut ended.swept).remove(&query.server);
    }

    /// A core server is unreachable or was restarted: it is asked again later.
    pub fn server_lost(&mut self, server: &ServerId) {
        for ended in self.ended_incarnations.values_mut() {
            ended.swept.remove(server);
        }
        self.own_sweeps.remove(server);
        self.line_queries.retain(|_, query| query.server != *server);
        self.claimed_lines.retain(|(at, _), _| at != server);
    }

    /// The deadline given by `next_due` has passed: expires queries, and retries or releases dialogues.
    pub fn timer_fired(&mut self, now: Duration) -> Vec<TakeoverAction> {
        let late = self.line_queries.iter().filter(|(_, query)| query.at + RETRY_INTERVAL * 4 <= now);
        for serial in late.map(|(serial, _)| *serial).collect::<Vec<_>>() {
            self.line_query_failed(serial);
        }
        let mut actions = Vec::new();
        while let Some((at, id)) = self.deadlines.first().cloned()
            && at <= now
        {
            let Some(mut orphan) = self.orphaned_dialogues.remove(&id) else {
                self.deadlines.pop_first();
                continue;
            };
            self.deadlines.pop_first();
            let swept = matches!(orphan.stage, Stage::Releasing { swept: true, .. });
            match &mut orphan.stage {
                Stage::AwaitingCaller { launch, .. } => {
                    let (server, owner, launch) = (orphan.server, orphan.owner, *launch);
                    actions.push(TakeoverAction::Release { server, dialogue: id.clone(), launch });
                    actions.push(TakeoverAction::Conclude { dialogue: id, owner });
                }
                Stage::Adopting { at, attempts } | Stage::Releasing { at, attempts, .. } => {
                    (*at, *attempts) = (now, *attempts + 1);
                    if *attempts < MAX_ADOPT_ATTEMPTS {
                        let (server, owner) = (orphan.server.clone(), orphan.owner);
                        actions.push(TakeoverAction::Adopt { server, dialogue: id.clone(), owner, swept });
                        self.put(&id, orphan);
                    } else {
                        self.rescan_needed = true;
                    }
                }
            }
        }
        actions
    }
}

#[cfg(test)]
#[path = "../tests/unit/takeovers.rs"]
mod tests;
