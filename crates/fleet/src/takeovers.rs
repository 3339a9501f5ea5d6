//! What a member leaves behind when it is gone: its standing dialogues are taken over, each by the next of those who hold copies, and
//! kept for a while for their callers; what nobody owns any more is released at the core servers.
//!
//! Two successors may think that it is their turn, where what they hear differs. That does no harm: a core server takes the word of
//! the higher owner, and whoever had it lets go.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::{Replica, ReplicaReading};
use lotussaddle_trunk::{HeldLine, Owner};

/// Dialogues being taken over at once; those beyond it wait for the next look.
const MOST_ADOPTING: usize = 512;
/// A core server that was not reached, or did not answer, is asked again after this.
const AGAIN: Duration = Duration::from_millis(500);
/// So often; then its lines are left to the sweep that comes when it is reached.
const TRIES: u32 = 20;
/// A member asks for its own lines whatever their life: a later one than its own is news to it.
const ANY_LIFE: u64 = u64::MAX;
/// Lines that were left to whoever claimed them, at most; those beyond it are seen when there is room.
const MOST_LEFT: usize = 65_536;

/// What a takeover asks to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverAction {
    /// The core server is asked whether it stands there, for this owner.
    Adopt {
        server: ServerId,
        dialogue: DialogueId,
        owner: Owner,
        /// It is to be freed as what another member left: the duty `sweep` does that, where there are duties.
        swept: bool,
    },
    /// It is this member's now, and stands there.
    Own {
        dialogue: DialogueId,
        owner: Owner,
        server: ServerId,
        launch: LaunchNumber,
    },
    Release {
        server: ServerId,
        dialogue: DialogueId,
        launch: LaunchNumber,
    },
    /// It is over, by this owner's word.
    Over {
        dialogue: DialogueId,
        owner: Owner,
    },
    /// What stands at this core server of that member's lives up to this one?
    What {
        server: ServerId,
        serial: u64,
        member: u16,
        life: u64,
        after: Option<DialogueId>,
    },
}

enum Stage {
    Adopting {
        at: Duration,
        tries: u32,
    },
    /// It stands, and waits for its caller until then.
    Kept {
        until: Duration,
        launch: LaunchNumber,
    },
    /// Nobody owns it: it is adopted to be released.
    Freeing {
        at: Duration,
        tries: u32,
        swept: bool,
    },
}

struct Orphan {
    server: ServerId,
    owner: Owner,
    stage: Stage,
}

impl Orphan {
    fn due(&self) -> Duration {
        match self.stage {
            Stage::Adopting { at, .. } | Stage::Freeing { at, .. } => at + AGAIN,
            Stage::Kept { until, .. } => until,
        }
    }
}

/// A member's life that has ended.
struct EndedIncarnation {
    life: u64,
    since: Duration,
    swept: BTreeMap<ServerId, Swept>,
}

/// A core server was asked for lines of one member.
#[derive(Clone, Copy)]
struct Swept {
    at: Duration,
    /// Some lines were left, or may have been: it is asked again.
    left: bool,
}

/// What a core server tells of a line, as this member sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineOf {
    /// Its owner holds it.
    Held,
    /// Someone has claimed it, and is about to come for it.
    Claimed,
    Nobody,
}

struct Question {
    server: ServerId,
    member: u16,
    life: u64,
    at: Duration,
    /// In the midst of service: a line that is not held is looked at twice before it is freed.
    gently: bool,
}

/// Dialogues of ended incarnations that this member takes over or releases.
pub struct Takeovers {
    me: u16,
    unclaimed: Duration,
    orphans: HashMap<DialogueId, Orphan>,
    dues: BTreeSet<(Duration, DialogueId)>,
    ended_incarnations: BTreeMap<u16, EndedIncarnation>,
    /// Core servers that were asked for this member's own lines.
    mine: BTreeMap<ServerId, Swept>,
    /// Lines that were claimed when they were told, whose they were and since when: a claim that nothing came of binds nobody.
    left: BTreeMap<(ServerId, DialogueId), (Owner, Duration)>,
    questions: BTreeMap<u64, Question>,
    serial: u64,
    /// Standing dialogues of members gone were seen that are another successor's, or too many at once: look again.
    pub look_again: bool,
}

impl Takeovers {
    pub fn new(me: u16, unclaimed: Duration) -> Self {
        Self {
            me,
            unclaimed,
            orphans: HashMap::new(),
            dues: BTreeSet::new(),
            ended_incarnations: BTreeMap::new(),
            mine: BTreeMap::new(),
            left: BTreeMap::new(),
            questions: BTreeMap::new(),
            serial: 0,
            look_again: false,
        }
    }

    /// Dialogues that are kept for their callers, or being taken over.
    pub fn len(&self) -> usize {
        self.orphans.len()
    }

    pub fn is_empty(&self) -> bool {
        self.orphans.is_empty()
    }

    pub fn next_due(&self) -> Option<Duration> {
        let questions = self.questions.values().map(|question| question.at + AGAIN * 4).min();
        self.dues.first().map(|(at, _)| *at).into_iter().chain(questions).min()
    }

    // Members that are gone

    /// This life of a member, and what came before it, has ended.
    pub fn ended(&mut self, now: Duration, member: u16, life: u64) {
        let ended = self.ended_incarnations.entry(member).or_insert(EndedIncarnation {
            life,
            since: now,
            swept: BTreeMap::new(),
        });
        if life > ended.life {
            *ended = EndedIncarnation { life, since: now, swept: BTreeMap::new() };
        }
        self.look_again = true;
    }

    /// A member that was taken as gone is heard in the same life: it was only slow, or cut off.
    pub fn returned(&mut self, member: u16, life: u64) {
        if self.ended_incarnations.get(&member).is_some_and(|ended| ended.life >= life) {
            self.ended_incarnations.remove(&member);
            self.questions.retain(|_, question| question.member != member);
        }
    }

    /// Whether this owner's life has ended.
    pub fn is_ended(&self, owner: Owner) -> bool {
        self.ended_incarnations.get(&owner.member).is_some_and(|ended| owner.incarnation <= ended.life)
    }

    pub fn any_ended(&self) -> bool {
        !self.ended_incarnations.is_empty()
    }

    // Dialogues

    /// Looks at a copy: is it this member's to take over? `first`: the first of those who may hold copies that is there.
    pub fn look(
        &mut self, now: Duration, id: &DialogueId, copy: &Replica, first: Option<u16>, life: u64,
    ) -> Option<TakeoverAction> {
        let ReplicaReading::Stands { server, .. } = copy.reading() else { return None };
        let top = copy.owner().filter(|owner| self.is_ended(*owner))?;
        if first != Some(self.me)
            || self.orphans.len() >= MOST_ADOPTING * 2
            || self.adopting() >= MOST_ADOPTING
        {
            self.look_again = true;
            return None;
        }
        if self.orphans.contains_key(id) {
            return None;
        }
        let owner = Owner { round: top.round + 1, member: self.me, incarnation: life };
        let server = server.clone();
        let adopt =
            TakeoverAction::Adopt { server: server.clone(), dialogue: id.clone(), owner, swept: false };
        self.put(id, Orphan { server, owner, stage: Stage::Adopting { at: now, tries: 0 } });
        Some(adopt)
    }

    fn adopting(&self) -> usize {
        self.orphans.values().filter(|orphan| !matches!(orphan.stage, Stage::Kept { .. })).count()
    }

    fn put(&mut self, id: &DialogueId, orphan: Orphan) {
        self.drop_of(id);
        self.dues.insert((orphan.due(), id.clone()));
        self.orphans.insert(id.clone(), orphan);
    }

    /// Whether it is kept here, or being taken over.
    pub fn has(&self, id: &DialogueId) -> bool {
        self.orphans.contains_key(id)
    }

    /// Its caller has come for what is kept here: where it stands.
    pub fn claim(&mut self, id: &DialogueId) -> Option<(ServerId, LaunchNumber)> {
        let Stage::Kept { launch, .. } = self.orphans.get(id)?.stage else { return None };
        let server = self.orphans[id].server.clone();
        self.drop_of(id);
        Some((server, launch))
    }

    /// What this member has taken over for a caller that could not be told waits for that caller as if it had been left behind.
    pub fn keep(
        &mut self, now: Duration, id: &DialogueId, server: ServerId, owner: Owner, launch: LaunchNumber,
    ) {
        let stage = Stage::Kept { until: now + self.unclaimed, launch };
        self.put(id, Orphan { server, owner, stage });
    }

    /// It is another's now, or this member's caller has come for it.
    pub fn drop_of(&mut self, id: &DialogueId) -> bool {
        let Some(orphan) = self.orphans.remove(id) else { return false };
        self.dues.remove(&(orphan.due(), id.clone()));
        true
    }

    /// A core server has answered.
    pub fn adopted(
        &mut self, now: Duration, id: &DialogueId, server: &ServerId, owner: Owner,
        launch: Option<LaunchNumber>, by: Owner,
    ) -> Vec<TakeoverAction> {
        let known = self.orphans.get(id).filter(|orphan| orphan.owner == owner && orphan.server == *server);
        let Some(orphan) = known else { return Vec::new() };
        let freeing = match orphan.stage {
            Stage::Adopting { .. } => false,
            Stage::Freeing { .. } => true,
            Stage::Kept { .. } => return Vec::new(),
        };
        self.drop_of(id);
        let (dialogue, server) = (id.clone(), server.clone());
        match launch {
            Some(launch) if freeing => {
                vec![
                    TakeoverAction::Release { server, dialogue: dialogue.clone(), launch },
                    TakeoverAction::Over { dialogue, owner },
                ]
            }
            Some(launch) => {
                let until = now + self.unclaimed;
                let stage = Stage::Kept { until, launch };
                self.put(id, Orphan { server: server.clone(), owner, stage });
                vec![TakeoverAction::Own { dialogue, owner, server, launch }]
            }
            None if by > owner => Vec::new(),
            None => vec![TakeoverAction::Over { dialogue, owner }],
        }
    }

    /// What this member took over is over at its core server.
    pub fn over(&mut self, id: &DialogueId) -> Vec<TakeoverAction> {
        match self.orphans.get(id) {
            Some(Orphan { owner, stage: Stage::Kept { .. }, .. }) => {
                let owner = *owner;
                self.drop_of(id);
                vec![TakeoverAction::Over { dialogue: id.clone(), owner }]
            }
            _ => Vec::new(),
        }
    }

    // Lines

    /// Asks core servers for lines of members that have been gone for long enough, where this member is the one to ask: what is
    /// there then was claimed by nobody. Those of this member are asked for too. Where lines were left to a claim they are asked for
    /// again.
    pub fn sweep(
        &mut self, now: Duration, is_successor_of: impl Fn(u16) -> bool, cores: &BTreeSet<ServerId>,
    ) -> Vec<TakeoverAction> {
        let unclaimed = self.unclaimed;
        let due = |swept: Option<&Swept>| swept.is_none_or(|swept| swept.left && now >= swept.at + unclaimed);
        let mut asked = Vec::new();
        for (member, ended) in &mut self.ended_incarnations {
            if now < ended.since + unclaimed || !is_successor_of(*member) {
                continue;
            }
            for server in cores.iter().filter(|server| due(ended.swept.get(*server))) {
                asked.push((server.clone(), *member, ended.life));
            }
        }
        asked.extend(
            cores.iter().filter(|server| due(self.mine.get(*server))).map(|s| (s.clone(), self.me, ANY_LIFE)),
        );
        asked.into_iter().map(|(server, member, life)| self.ask(now, server, member, life)).collect()
    }

    fn ask(&mut self, now: Duration, server: ServerId, member: u16, life: u64) -> TakeoverAction {
        self.serial += 1;
        let swept = Swept { at: now, left: false };
        // Its own life has not ended: what it does not hold of it is nobody's all the same.
        match self.ended_incarnations.get_mut(&member).filter(|ended| ended.life == life) {
            Some(ended) => ended.swept.insert(server.clone(), swept),
            None => self.mine.insert(server.clone(), swept),
        };
        let question = Question { server: server.clone(), member, life, at: now, gently: false };
        self.questions.insert(self.serial, question);
        TakeoverAction::What { server, serial: self.serial, member, life, after: None }
    }

    /// Asks for lines of this member's own that it does not hold itself.
    pub fn ask_of_mine(&mut self, now: Duration, server: &ServerId) -> TakeoverAction {
        self.ask(now, server.clone(), self.me, ANY_LIFE)
    }

    /// The duty `circuits` has this member look after its own lines at a core server; none: it is doing so already.
    pub fn check_mine(&mut self, now: Duration, server: &ServerId) -> Option<TakeoverAction> {
        let asked = |question: &Question| question.server == *server && question.member == self.me;
        if self.questions.values().any(asked) {
            return None;
        }
        let action = self.ask(now, server.clone(), self.me, ANY_LIFE);
        self.questions.get_mut(&self.serial)?.gently = true;
        Some(action)
    }

    /// What was swept is another holder's now: nothing more of it is done here.
    pub fn sweeps_no_more(&mut self) {
        let swept = |orphan: &Orphan| matches!(orphan.stage, Stage::Freeing { swept: true, .. });
        let ids: Vec<DialogueId> =
            self.orphans.iter().filter(|(_, orphan)| swept(orphan)).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.drop_of(&id);
        }
        self.questions.retain(|_, question| question.member == self.me);
        // Whoever holds it next, this one again perhaps, asks anew.
        self.ended_incarnations.values_mut().for_each(|ended| ended.swept.clear());
    }

    /// This member has let a standing dialogue go to whoever claimed it: where nothing comes of that its line is nobody's.
    pub fn let_go(&mut self, now: Duration, server: &ServerId) {
        let swept = self.mine.entry(server.clone()).or_insert(Swept { at: now, left: false });
        // Not later than for the first that was let go, or where much is, its time would never come.
        if !swept.left {
            *swept = Swept { at: now, left: true };
        }
    }

    fn is_left(&mut self, server: &ServerId, member: u16, life: u64) {
        let ended = self.ended_incarnations.get_mut(&member).filter(|ended| ended.life == life);
        let swept = ended.map_or(&mut self.mine, |ended| &mut ended.swept).get_mut(server);
        swept.into_iter().for_each(|swept| swept.left = true);
    }

    /// A core server tells what stands there; `whose` tells whose a line is, as far as is known here. One that was claimed is left,
    /// and freed where it is still the former owner's when it is told again.
    #[expect(clippy::too_many_arguments)]
    pub fn holds(
        &mut self, now: Duration, server: &ServerId, serial: u64, lines: &[HeldLine], more: bool, life: u64,
        whose: impl Fn(&HeldLine) -> LineOf,
    ) -> Vec<TakeoverAction> {
        let Some(question) = self.questions.get_mut(&serial).filter(|question| question.server == *server)
        else {
            return Vec::new();
        };
        let (member, up_to, gently) = (question.member, question.life, question.gently);
        question.at = now;
        let mut actions = Vec::new();
        match lines.last().filter(|_| more) {
            Some(last) => actions.push(TakeoverAction::What {
                server: server.clone(),
                serial,
                member,
                life: up_to,
                after: Some(last.dialogue.clone()),
            }),
            None => drop(self.questions.remove(&serial)),
        }
        for line in lines.iter().filter(|line| line.owner.member == member && line.owner.incarnation <= up_to)
        {
            let key = (server.clone(), line.dialogue.clone());
            let whose = match whose(line) {
                LineOf::Nobody if gently => LineOf::Claimed,
                whose => whose,
            };
            match whose {
                LineOf::Held => {
                    self.left.remove(&key);
                    continue;
                }
                LineOf::Claimed => {
                    let since = self.left.get(&key).filter(|(owner, _)| *owner == line.owner);
                    let since = since.map(|(_, since)| *since);
                    if since.is_none_or(|since| now < since + self.unclaimed) {
                        self.is_left(server, member, up_to);
                        if since.is_none() && self.left.len() < MOST_LEFT {
                            self.left.insert(key, (line.owner, now));
                        }
                        continue;
                    }
                }
                LineOf::Nobody => {}
            }
            self.left.remove(&key);
            let owner = Owner { round: line.owner.round + 1, member: self.me, incarnation: life };
            let dialogue = line.dialogue.clone();
            let swept = member != self.me;
            actions.push(TakeoverAction::Adopt { server: server.clone(), dialogue, owner, swept });
            let stage = Stage::Freeing { at: now, tries: 0, swept };
            self.put(&line.dialogue, Orphan { server: server.clone(), owner, stage });
        }
        actions
    }

    /// A core server was not reached for a question.
    pub fn unasked(&mut self, serial: u64) {
        let Some(question) = self.questions.remove(&serial) else { return };
        let ended =
            self.ended_incarnations.get_mut(&question.member).filter(|ended| ended.life == question.life);
        ended.map_or(&mut self.mine, |ended| &mut ended.swept).remove(&question.server);
    }

    /// A core server is not reached any more, or its process is another one: it is asked anew.
    pub fn forget_server(&mut self, server: &ServerId) {
        for ended in self.ended_incarnations.values_mut() {
            ended.swept.remove(server);
        }
        self.mine.remove(server);
        self.questions.retain(|_, question| question.server != *server);
        self.left.retain(|(at, _), _| at != server);
    }

    /// The time given by `next_due` has come.
    pub fn alarm(&mut self, now: Duration) -> Vec<TakeoverAction> {
        let late = self.questions.iter().filter(|(_, question)| question.at + AGAIN * 4 <= now);
        for serial in late.map(|(serial, _)| *serial).collect::<Vec<_>>() {
            self.unasked(serial);
        }
        let mut actions = Vec::new();
        while let Some((at, id)) = self.dues.first().cloned()
            && at <= now
        {
            let Some(mut orphan) = self.orphans.remove(&id) else {
                self.dues.pop_first();
                continue;
            };
            self.dues.pop_first();
            let swept = matches!(orphan.stage, Stage::Freeing { swept: true, .. });
            match &mut orphan.stage {
                Stage::Kept { launch, .. } => {
                    let (server, owner, launch) = (orphan.server, orphan.owner, *launch);
                    actions.push(TakeoverAction::Release { server, dialogue: id.clone(), launch });
                    actions.push(TakeoverAction::Over { dialogue: id, owner });
                }
                Stage::Adopting { at, tries } | Stage::Freeing { at, tries, .. } => {
                    (*at, *tries) = (now, *tries + 1);
                    if *tries < TRIES {
                        let (server, owner) = (orphan.server.clone(), orphan.owner);
                        actions.push(TakeoverAction::Adopt { server, dialogue: id.clone(), owner, swept });
                        self.put(&id, orphan);
                    } else {
                        self.look_again = true;
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
