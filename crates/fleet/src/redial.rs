//! A dialogue that was dialled before, at this member or another: what is known of it, and what follows.
//!
//! Asking is claiming: whoever answers keeps that the asker owns the dialogue from now on, and refuses what a former owner writes
//! after that. So many must answer that one of them has every write that was awaited; where they do not in time, nothing is done on
//! a guess. How many that is, with K copies of which W are awaited, among the K + 1 candidates of a dialogue:
//!
//! - K + 2 - W of the candidates, whoever owned it: all but one of them hold copies, W of those acknowledged.
//! - Where a copy is found and so who wrote last is known, of that owner's K holders K - W + 1, and no fewer than W: the first meets
//!   every write of that owner, and two such sets meet each other, so that no later claim is missed. What that owner had found of
//!   former ones goes with each of its copies. One that only claimed the dialogue may have found nothing, and counts for no writer;
//!   or it went on, and its own holders know: as many of those have to answer too.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::{Replica, ReplicaGroup, ReplicaReading, fingerprint};
use lotussaddle_trunk::{Answer, Owner};

use crate::membership_view::MemberSet;

/// A claim that meets a higher one is made anew above it, so often.
const TRIES: u32 = 3;

/// What came of a dialogue.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is this member's; nothing of it may be launched before.
    Free {
        not_before: Duration,
    },
    /// The same answer again.
    Answered(Answer),
    Stands {
        server: ServerId,
        launch: LaunchNumber,
    },
    /// It stood, and is over.
    Concluded,
    Unsure {
        come_back: Duration,
    },
}

/// What a search for a dialogue that was dialled before asks to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum RedialAction {
    Ask {
        to: u16,
        serial: u64,
        dialogue: DialogueId,
        owner: Owner,
    },
    /// The claim holds: what was found is this member's.
    Claim {
        dialogue: DialogueId,
        owner: Owner,
        found: Replica,
    },
    /// Whether it still stands there only its core server knows.
    Adopt {
        server: ServerId,
        dialogue: DialogueId,
        owner: Owner,
    },
    Say(DialogueId, Verdict),
}

/// Who is asked, and what is known at the start.
pub struct Begin<'a> {
    /// Those that a question reaches now, this member left out.
    pub reached: &'a dyn Fn(u16) -> bool,
    /// This member is a candidate, and would know.
    pub knows: bool,
    pub known: Replica,
    pub owner: Owner,
    pub cut_off: Duration,
}

enum Phase {
    Asking,
    Adopting,
}

struct Ask {
    serial: u64,
    owner: Owner,
    cut_off: Duration,
    by: Duration,
    /// Asked, and no answer yet.
    open: MemberSet,
    asked: MemberSet,
    /// Candidates that would know, and have promised.
    sure: MemberSet,
    candidates: Vec<u16>,
    found: Replica,
    tries: u32,
    phase: Phase,
}

pub struct Redials {
    me: u16,
    group: ReplicaGroup,
    /// Acknowledgements that a launch waits for.
    awaited: usize,
    within: Duration,
    come_back: Duration,
    release: Duration,
    asks: HashMap<DialogueId, Ask>,
    serials: BTreeMap<u64, DialogueId>,
    dues: BTreeSet<(Duration, DialogueId)>,
    serial: u64,
}

impl Redials {
    /// `come_back`: when one that is not sure may be asked again; `release`: less time than that is of no use for a launch.
    pub fn new(
        me: u16, group: ReplicaGroup, awaited: usize, within: Duration, come_back: Duration,
        release: Duration,
    ) -> Self {
        Self {
            me,
            awaited: awaited.min(group.replica_count()),
            group,
            within,
            come_back,
            release,
            asks: HashMap::new(),
            serials: BTreeMap::new(),
            dues: BTreeSet::new(),
            serial: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.asks.len()
    }

    pub fn has(&self, id: &DialogueId) -> bool {
        self.asks.contains_key(id)
    }

    /// Of the candidates so many must answer, whoever owned it.
    fn of_candidates(&self) -> usize {
        (self.group.replica_count() + 2 - self.awaited).min(self.group.replica_count() + 1)
    }

    /// Of the holders of a known owner so many.
    fn of_holders(&self) -> usize {
        (self.group.replica_count() + 1 - self.awaited).max(self.awaited)
    }

    fn is_enough(&self, id: &DialogueId, ask: &Ask) -> bool {
        let sure =
            |members: &mut dyn Iterator<Item = u16>| members.filter(|member| ask.sure.has(*member)).count();
        let print = fingerprint(id);
        sure(&mut self.group.candidates(print).into_iter()) >= self.of_candidates()
            || ask.found.last_writer().is_some_and(|writer| {
                // Whoever claimed it after that may have written where its own copies lie, which none of the others know.
                let mine = |owner: Owner| {
                    (owner.member, owner.incarnation) == (ask.owner.member, ask.owner.incarnation)
                };
                let later =
                    ask.found.owner_states().iter().map(|part| part.owner).filter(|owner| *owner > writer);
                later
                    .filter(|owner| !mine(*owner))
                    .chain([writer])
                    .all(|owner| sure(&mut self.group.holders(print, owner.member)) >= self.of_holders())
            })
    }

    pub fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.dues.first().map(|(by, _)| *by)
    }

    /// Begins to ask. Where it is known at once that too few can answer, it says so at once.
    pub fn begin(&mut self, now: Duration, id: &DialogueId, begin: Begin) -> Vec<RedialAction> {
        self.drop_of(id);
        let mut ask = Ask {
            serial: 0,
            owner: begin.owner,
            cut_off: begin.cut_off,
            by: now + self.within,
            open: MemberSet::default(),
            asked: MemberSet::default(),
            sure: MemberSet::default(),
            candidates: self.group.candidates(fingerprint(id)).iter().collect(),
            found: begin.known,
            tries: 0,
            phase: Phase::Asking,
        };
        let others = ask.candidates.iter().filter(|member| **member != self.me);
        let reached = others.filter(|member| (begin.reached)(**member)).count();
        if reached + usize::from(begin.knows) < self.of_holders().min(self.of_candidates()) {
            return vec![self.unsure(id)];
        }
        let actions = self.send(id, &mut ask, begin.reached, begin.knows);
        self.dues.insert((ask.by, id.clone()));
        self.asks.insert(id.clone(), ask);
        // Alone it may be enough by itself.
        if actions.is_empty() { self.decide_if_known(now, id) } else { actions }
    }

    fn unsure(&self, id: &DialogueId) -> RedialAction {
        RedialAction::Say(id.clone(), Verdict::Unsure { come_back: self.come_back })
    }

    /// Asks all that can be asked, under the ask's owner.
    fn send(
        &mut self, id: &DialogueId, ask: &mut Ask, reached: &dyn Fn(u16) -> bool, knows: bool,
    ) -> Vec<RedialAction> {
        self.serials.remove(&ask.serial);
        self.serial += 1;
        ask.serial = self.serial;
        self.serials.insert(self.serial, id.clone());
        (ask.open, ask.asked, ask.sure) = Default::default();
        if knows {
            ask.sure.set(self.me);
        }
        let mut actions = Vec::new();
        // Its owner is asked too, candidate or not: it has a launch out, perhaps, and calls it off.
        let former = ask.found.owner().map(|owner| owner.member);
        let also = former.filter(|member| !ask.candidates.contains(member));
        for to in ask.candidates.iter().copied().chain(also).filter(|to| *to != self.me && reached(*to)) {
            ask.open.set(to);
            ask.asked.set(to);
            actions.push(RedialAction::Ask {
                to,
                serial: ask.serial,
                dialogue: id.clone(),
                owner: ask.owner,
            });
        }
        actions
    }

    /// Who answers a question: the dialogue, and the owner it was asked for.
    pub fn of(&self, serial: u64) -> Option<(&DialogueId, Owner)> {
        let id = self.serials.get(&serial)?;
        Some((id, self.asks.get(id)?.owner))
    }

    /// A member has answered: what it knows, whether it would know all, who is higher if anyone.
    #[expect(clippy::too_many_arguments)]
    pub fn answered(
        &mut self, now: Duration, serial: u64, from: u16, sure: bool, higher: Option<Owner>,
        copy: Option<&Replica>, reached: &dyn Fn(u16) -> bool, knows: bool,
    ) -> Vec<RedialAction> {
        let Some(id) = self.serials.get(&serial).cloned() else { return Vec::new() };
        let Some(mut ask) = self.asks.remove(&id) else { return Vec::new() };
        let mut actions = Vec::new();
        if matches!(ask.phase, Phase::Asking) && ask.open.has(from) {
            ask.open.unset(from);
            if let Some(copy) = copy {
                ask.found.merge(copy);
            }
            if let Some(higher) = higher {
                ask.tries += 1;
                if ask.tries >= TRIES {
                    self.serials.remove(&ask.serial);
                    self.dues.remove(&(ask.by, id.clone()));
                    return vec![self.unsure(&id)];
                }
                ask.owner.round = ask.owner.round.max(higher.round + 1);
                actions = self.send(&id, &mut ask, reached, knows);
            } else {
                if sure {
                    ask.sure.set(from);
                }
                // Another owner than was known: it is asked too.
                if let Some(owner) = ask.found.owner()
                    && owner.member != self.me
                    && !ask.asked.has(owner.member)
                    && reached(owner.member)
                {
                    ask.open.set(owner.member);
                    ask.asked.set(owner.member);
                    let (serial, dialogue) = (ask.serial, id.clone());
                    actions.push(RedialAction::Ask { to: owner.member, serial, dialogue, owner: ask.owner });
                }
            }
        }
        self.asks.insert(id.clone(), ask);
        actions.extend(self.decide_if_known(now, &id));
        actions
    }

    /// Enough is known, or all have answered.
    fn decide_if_known(&mut self, now: Duration, id: &DialogueId) -> Vec<RedialAction> {
        let Some(ask) = self.asks.get(id) else { return Vec::new() };
        if matches!(ask.phase, Phase::Adopting) || !ask.open.is_empty() {
            return Vec::new();
        }
        self.decide(now, id)
    }

    fn decide(&mut self, now: Duration, id: &DialogueId) -> Vec<RedialAction> {
        let Some(mut ask) = self.take(id) else { return Vec::new() };
        if !self.is_enough(id, &ask) {
            return vec![self.unsure(id)];
        }
        let claim = RedialAction::Claim { dialogue: id.clone(), owner: ask.owner, found: ask.found.clone() };
        let since = ask.found.newer_launch_until().filter(|bar| *bar > now);
        let verdict = match ask.found.reading() {
            // What a later owner did not go by counts only once nothing may come of its launch any more.
            _ if since.is_some() => Verdict::Unsure { come_back: since.unwrap_or(now) - now },
            ReplicaReading::Answered(answer) => Verdict::Answered(answer.clone()),
            ReplicaReading::Ended => Verdict::Concluded,
            ReplicaReading::Stands { server, .. } => {
                let adopt =
                    RedialAction::Adopt { server: server.clone(), dialogue: id.clone(), owner: ask.owner };
                ask.phase = Phase::Adopting;
                ask.by = now + self.within * 2;
                self.dues.insert((ask.by, id.clone()));
                self.serials.insert(ask.serial, id.clone());
                self.asks.insert(id.clone(), ask);
                return vec![claim, adopt];
            }
            // Whose bar leaves it no time is told so at once.
            ReplicaReading::Open { blocked_until: bar, .. }
                if bar > now && bar + self.release >= ask.cut_off =>
            {
                Verdict::Unsure { come_back: bar - now }
            }
            ReplicaReading::Open { blocked_until: bar, .. } => Verdict::Free { not_before: bar.max(now) },
        };
        vec![claim, RedialAction::Say(id.clone(), verdict)]
    }

    fn take(&mut self, id: &DialogueId) -> Option<Ask> {
        let ask = self.asks.remove(id)?;
        self.serials.remove(&ask.serial);
        self.dues.remove(&(ask.by, id.clone()));
        Some(ask)
    }

    /// Its caller wants no more of it, or another has it.
    pub fn drop_of(&mut self, id: &DialogueId) -> bool {
        self.take(id).is_some()
    }

    /// Another claims it: if higher, this claim has lost. Gives what is to be said.
    pub fn beaten(&mut self, id: &DialogueId, by: Owner) -> Vec<RedialAction> {
        match self.asks.get(id) {
            Some(ask) if ask.owner < by => {
                self.drop_of(id);
                vec![self.unsure(id)]
            }
            _ => Vec::new(),
        }
    }

    /// A core server has answered whether a dialogue stands there: the launch that does, or whose it is now.
    pub fn adopted(
        &mut self, id: &DialogueId, server: &ServerId, owner: Owner, launch: Option<LaunchNumber>, by: Owner,
    ) -> Vec<RedialAction> {
        let adopting = |ask: &&Ask| matches!(ask.phase, Phase::Adopting) && ask.owner == owner;
        if self.asks.get(id).filter(adopting).is_none() {
            return Vec::new();
        }
        self.drop_of(id);
        let verdict = match launch {
            Some(launch) => Verdict::Stands { server: server.clone(), launch },
            None if by > owner => return vec![self.unsure(id)],
            None => Verdict::Concluded,
        };
        vec![RedialAction::Say(id.clone(), verdict)]
    }

    /// The core server is not reached.
    pub fn unreached(&mut self, id: &DialogueId) -> Vec<RedialAction> {
        if self.drop_of(id) { vec![self.unsure(id)] } else { Vec::new() }
    }

    /// The time given by `next_due` has come: what is known by now must do.
    pub fn alarm(&mut self, now: Duration) -> Vec<RedialAction> {
        let mut actions = Vec::new();
        while let Some((by, id)) = self.dues.first().cloned()
            && by <= now
        {
            match self.asks.get(&id).map(|ask| &ask.phase) {
                Some(Phase::Asking) => actions.extend(self.decide(now, &id)),
                _ => {
                    self.drop_of(&id);
                    self.dues.remove(&(by, id.clone()));
                    actions.push(self.unsure(&id));
                }
            }
        }
        actions
    }
}

#[cfg(test)]
#[path = "../tests/unit/redial.rs"]
mod tests;
