//! Search for a redialled dialogue: what members know of a dialogue that was dialled before, here or at another member.
//!
//! A question is also a claim: a member that answers records the asker as the owner of the dialogue and refuses later writes of a
//! previous owner. Enough members must answer that one of them has every write whose acknowledgement was awaited; if too few answer
//! in time, the outcome is unresolved. With K replicas, W awaited acknowledgements and the K + 1 candidates of a dialogue, the
//! quorum is:
//!
//! - K + 2 - W of the candidates, whoever the owner was: all candidates but one hold replicas, and W of those acknowledged.
//! - Where a replica is found, so that the last writer is known, K - W + 1 of that owner's K holders, and at least W. The first
//!   number intersects every write of that owner. With the second, two such sets intersect, so that no later claim is missed. Each
//!   replica of that owner includes what it had found of previous owners. An owner that only claimed the dialogue may have found
//!   nothing and does not count as a writer. It may also have continued, which only its own holders know: the same number of those
//!   must answer too.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::{Replica, ReplicaGroup, ReplicaReading, fingerprint};
use lotussaddle_trunk::{Answer, Owner};

use crate::membership_view::MemberSet;

/// Attempts at a claim: one that meets a higher claim is repeated above that one.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// The result of a search.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The dialogue has no outcome and is owned by this member; no launch before `not_before`.
    Free {
        /// Earliest time of the next launch.
        not_before: Duration,
    },
    /// The dialogue was answered; the same answer is given again.
    Answered(Answer),
    /// The dialogue stands at this core server.
    Stands {
        /// The core server that holds the line.
        server: ServerId,
        /// The launch that set it up.
        launch: LaunchNumber,
    },
    /// It stood and has ended.
    Concluded,
    /// The outcome is unresolved; the caller may retry after `retry_after`.
    Unsure {
        /// Delay before the caller may retry.
        retry_after: Duration,
    },
}

/// An action that a search requests.
#[derive(Clone, Debug, PartialEq)]
pub enum RedialAction {
    /// Ask a member for its replica, as a claim of `owner`.
    Ask {
        /// The member that is asked.
        to: u16,
        /// Number of the question, repeated in the reply.
        serial: u64,
        /// The dialogue that is looked up.
        dialogue: DialogueId,
        /// The claimed ownership.
        owner: Owner,
    },
    /// The claim succeeded: this member owns what was found.
    Claim {
        /// The claimed dialogue.
        dialogue: DialogueId,
        /// Its new owner, an incarnation of this member.
        owner: Owner,
        /// Merged replicas from the replies.
        found: Replica,
    },
    /// Ask the core server whether the dialogue still stands there, and adopt it.
    Adopt {
        /// The core server that is asked.
        server: ServerId,
        /// The dialogue to adopt.
        dialogue: DialogueId,
        /// The owner that adopts it.
        owner: Owner,
    },
    /// Report the result.
    Report(DialogueId, Verdict),
}

/// Input of a search: reachable members, and what is known at the start.
pub struct RedialSearch<'a> {
    /// Whether a question reaches a member now; not called for this member.
    pub is_reachable: &'a dyn Fn(u16) -> bool,
    /// This member is a candidate and has caught up, so that its own record counts.
    pub knows: bool,
    /// This member's own replica at the start, or an empty one.
    pub known: Replica,
    /// The claim that the search makes.
    pub owner: Owner,
    /// When the caller gives up.
    pub cut_off: Duration,
}

/// Phase of a search.
enum Phase {
    Asking,
    Adopting,
}

/// A running search.
struct Search {
    serial: u64,
    owner: Owner,
    cut_off: Duration,
    deadline: Duration,
    /// Members asked that have not answered yet.
    open: MemberSet,
    asked: MemberSet,
    /// Candidates that have caught up and have recorded the claim.
    confirmed: MemberSet,
    candidates: Vec<u16>,
    found: Replica,
    attempts: u32,
    phase: Phase,
}

/// The running searches of this member.
pub struct Redials {
    self_member: u16,
    group: ReplicaGroup,
    /// Acknowledgements that a launch waits for.
    awaited: usize,
    search_timeout: Duration,
    retry_after: Duration,
    release: Duration,
    searches: HashMap<DialogueId, Search>,
    serials: BTreeMap<u64, DialogueId>,
    deadlines: BTreeSet<(Duration, DialogueId)>,
    serial: u64,
}

impl Redials {
    /// `retry_after`: the retry delay of an unresolved dialogue; `release`: the minimum time that a launch needs.
    pub fn new(
        self_member: u16, group: ReplicaGroup, awaited: usize, search_timeout: Duration,
        retry_after: Duration, release: Duration,
    ) -> Self {
        Self {
            self_member,
            awaited: awaited.min(group.replica_count()),
            group,
            search_timeout,
            retry_after,
            release,
            searches: HashMap::new(),
            serials: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            serial: 0,
        }
    }

    /// Number of running searches.
    pub fn len(&self) -> usize {
        self.searches.len()
    }

    /// Whether a search for this dialogue runs.
    pub fn has(&self, id: &DialogueId) -> bool {
        self.searches.contains_key(id)
    }

    /// Number of candidates that must answer, whoever the owner was.
    fn candidate_quorum(&self) -> usize {
        (self.group.replica_count() + 2 - self.awaited).min(self.group.replica_count() + 1)
    }

    /// Number of a known owner's holders that must answer.
    fn holder_quorum(&self) -> usize {
        (self.group.replica_count() + 1 - self.awaited).max(self.awaited)
    }

    fn has_quorum(&self, id: &DialogueId, search: &Search) -> bool {
        let confirmed = |members: &mut dyn Iterator<Item = u16>| {
            members.filter(|member| search.confirmed.has(*member)).count()
        };
        let print = fingerprint(id);
        confirmed(&mut self.group.candidates(print).into_iter()) >= self.candidate_quorum()
            || search.found.last_writer().is_some_and(|writer| {
                // A later claimant may have written to its own holders, of which the other members know nothing.
                let is_own = |owner: Owner| {
                    (owner.member, owner.incarnation) == (search.owner.member, search.owner.incarnation)
                };
                let later =
                    search.found.owner_states().iter().map(|part| part.owner).filter(|owner| *owner > writer);
                later.filter(|owner| !is_own(*owner)).chain([writer]).all(|owner| {
                    confirmed(&mut self.group.holders(print, owner.member)) >= self.holder_quorum()
                })
            })
    }

    /// Whether no search runs.
    pub fn is_empty(&self) -> bool {
        self.searches.is_empty()
    }

    /// When [`Redials::timer_fired`] is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Starts a search. Where too few members are reachable for a quorum, the result is unresolved at once.
    pub fn begin(&mut self, now: Duration, id: &DialogueId, begin: RedialSearch) -> Vec<RedialAction> {
        self.cancel(id);
        let mut search = Search {
            serial: 0,
            owner: begin.owner,
            cut_off: begin.cut_off,
            deadline: now + self.search_timeout,
            open: MemberSet::default(),
            asked: MemberSet::default(),
            confirmed: MemberSet::default(),
            candidates: self.group.candidates(fingerprint(id)).iter().collect(),
            found: begin.known,
            attempts: 0,
            phase: Phase::Asking,
        };
        let others = search.candidates.iter().filter(|member| **member != self.self_member);
        let reachable = others.filter(|member| (begin.is_reachable)(**member)).count();
        if reachable + usize::from(begin.knows) < self.holder_quorum().min(self.candidate_quorum()) {
            return vec![self.unresolved(id)];
        }
        let actions = self.send(id, &mut search, begin.is_reachable, begin.knows);
        self.deadlines.insert((search.deadline, id.clone()));
        self.searches.insert(id.clone(), search);
        // This member alone may be a quorum.
        if actions.is_empty() { self.decide_if_known(now, id) } else { actions }
    }

    fn unresolved(&self, id: &DialogueId) -> RedialAction {
        RedialAction::Report(id.clone(), Verdict::Unsure { retry_after: self.retry_after })
    }

    /// Asks all reachable members on behalf of the claiming owner.
    fn send(
        &mut self, id: &DialogueId, search: &mut Search, is_reachable: &dyn Fn(u16) -> bool, knows: bool,
    ) -> Vec<RedialAction> {
        self.serials.remove(&search.serial);
        self.serial += 1;
        search.serial = self.serial;
        self.serials.insert(self.serial, id.clone());
        (search.open, search.asked, search.confirmed) = Default::default();
        if knows {
            search.confirmed.set(self.self_member);
        }
        let mut actions = Vec::new();
        // The previous owner is asked too, even if it is no candidate: it may have a pending launch, which it then cancels.
        let former = search.found.owner().map(|owner| owner.member);
        let also = former.filter(|member| !search.candidates.contains(member));
        for to in search
            .candidates
            .iter()
            .copied()
            .chain(also)
            .filter(|to| *to != self.self_member && is_reachable(*to))
        {
            search.open.set(to);
            search.asked.set(to);
            actions.push(RedialAction::Ask {
                to,
                serial: search.serial,
                dialogue: id.clone(),
                owner: search.owner,
            });
        }
        actions
    }

    /// The dialogue of a question, and the owner on whose behalf it was asked.
    pub fn search_of(&self, serial: u64) -> Option<(&DialogueId, Owner)> {
        let id = self.serials.get(&serial)?;
        Some((id, self.searches.get(id)?.owner))
    }

    /// A member has answered: its replica, whether it has caught up (`confirmed`), and a higher owner if it knows one.
    #[expect(clippy::too_many_arguments)]
    pub fn answered(
        &mut self, now: Duration, serial: u64, from: u16, confirmed: bool, higher: Option<Owner>,
        copy: Option<&Replica>, is_reachable: &dyn Fn(u16) -> bool, knows: bool,
    ) -> Vec<RedialAction> {
        let Some(id) = self.serials.get(&serial).cloned() else { return Vec::new() };
        let Some(mut search) = self.searches.remove(&id) else { return Vec::new() };
        let mut actions = Vec::new();
        if matches!(search.phase, Phase::Asking) && search.open.has(from) {
            search.open.unset(from);
            if let Some(copy) = copy {
                search.found.merge(copy);
            }
            if let Some(higher) = higher {
                search.attempts += 1;
                if search.attempts >= MAX_CLAIM_ATTEMPTS {
                    self.serials.remove(&search.serial);
                    self.deadlines.remove(&(search.deadline, id.clone()));
                    return vec![self.unresolved(&id)];
                }
                search.owner.round = search.owner.round.max(higher.round + 1);
                actions = self.send(&id, &mut search, is_reachable, knows);
            } else {
                if confirmed {
                    search.confirmed.set(from);
                }
                // The answer shows another owner, which is asked too.
                if let Some(owner) = search.found.owner()
                    && owner.member != self.self_member
                    && !search.asked.has(owner.member)
                    && is_reachable(owner.member)
                {
                    search.open.set(owner.member);
                    search.asked.set(owner.member);
                    let (serial, dialogue) = (search.serial, id.clone());
                    actions.push(RedialAction::Ask {
                        to: owner.member,
                        serial,
                        dialogue,
                        owner: search.owner,
                    });
                }
            }
        }
        self.searches.insert(id.clone(), search);
        actions.extend(self.decide_if_known(now, &id));
        actions
    }

    /// Decides once all members asked have answered.
    fn decide_if_known(&mut self, now: Duration, id: &DialogueId) -> Vec<RedialAction> {
        let Some(search) = self.searches.get(id) else { return Vec::new() };
        if matches!(search.phase, Phase::Adopting) || !search.open.is_empty() {
            return Vec::new();
        }
        self.decide(now, id)
    }

    fn decide(&mut self, now: Duration, id: &DialogueId) -> Vec<RedialAction> {
        let Some(mut search) = self.take(id) else { return Vec::new() };
        if !self.has_quorum(id, &search) {
            return vec![self.unresolved(id)];
        }
        let claim =
            RedialAction::Claim { dialogue: id.clone(), owner: search.owner, found: search.found.clone() };
        let since = search.found.newer_launch_until().filter(|blocked_until| *blocked_until > now);
        let verdict = match search.found.reading() {
            // A record that a later owner did not use counts only once that owner's launch can have no effect any more.
            _ if since.is_some() => Verdict::Unsure { retry_after: since.unwrap_or(now) - now },
            ReplicaReading::Answered(answer) => Verdict::Answered(answer.clone()),
            ReplicaReading::Ended => Verdict::Concluded,
            ReplicaReading::Stands { server, .. } => {
                let adopt =
                    RedialAction::Adopt { server: server.clone(), dialogue: id.clone(), owner: search.owner };
                search.phase = Phase::Adopting;
                search.deadline = now + self.search_timeout * 2;
                self.deadlines.insert((search.deadline, id.clone()));
                self.serials.insert(search.serial, id.clone());
                self.searches.insert(id.clone(), search);
                return vec![claim, adopt];
            }
            // Where the block leaves no time for a launch, the caller is informed at once.
            ReplicaReading::Open { blocked_until, .. }
                if blocked_until > now && blocked_until + self.release >= search.cut_off =>
            {
                Verdict::Unsure { retry_after: blocked_until - now }
            }
            ReplicaReading::Open { blocked_until, .. } => {
                Verdict::Free { not_before: blocked_until.max(now) }
            }
        };
        vec![claim, RedialAction::Report(id.clone(), verdict)]
    }

    fn take(&mut self, id: &DialogueId) -> Option<Search> {
        let search = self.searches.remove(id)?;
        self.serials.remove(&search.serial);
        self.deadlines.remove(&(search.deadline, id.clone()));
        Some(search)
    }

    /// Cancels a search: its caller gave up, or another member owns the dialogue.
    pub fn cancel(&mut self, id: &DialogueId) -> bool {
        self.take(id).is_some()
    }

    /// Another member claims the dialogue: a higher claim ends this search as unresolved.
    pub fn competing_claim(&mut self, id: &DialogueId, by: Owner) -> Vec<RedialAction> {
        match self.searches.get(id) {
            Some(search) if search.owner < by => {
                self.cancel(id);
                vec![self.unresolved(id)]
            }
            _ => Vec::new(),
        }
    }

    /// A core server has answered whether a dialogue stands there: the launch that does, or its owner.
    pub fn adopted(
        &mut self, id: &DialogueId, server: &ServerId, owner: Owner, launch: Option<LaunchNumber>, by: Owner,
    ) -> Vec<RedialAction> {
        let adopting = |search: &&Search| matches!(search.phase, Phase::Adopting) && search.owner == owner;
        if self.searches.get(id).filter(adopting).is_none() {
            return Vec::new();
        }
        self.cancel(id);
        let verdict = match launch {
            Some(launch) => Verdict::Stands { server: server.clone(), launch },
            None if by > owner => return vec![self.unresolved(id)],
            None => Verdict::Concluded,
        };
        vec![RedialAction::Report(id.clone(), verdict)]
    }

    /// The core server is unreachable.
    pub fn server_unreachable(&mut self, id: &DialogueId) -> Vec<RedialAction> {
        if self.cancel(id) { vec![self.unresolved(id)] } else { Vec::new() }
    }

    /// The deadline given by `next_due` has passed: decides with the answers received so far.
    pub fn timer_fired(&mut self, now: Duration) -> Vec<RedialAction> {
        let mut actions = Vec::new();
        while let Some((deadline, id)) = self.deadlines.first().cloned()
            && deadline <= now
        {
            match self.searches.get(&id).map(|search| &search.phase) {
                Some(Phase::Asking) => actions.extend(self.decide(now, &id)),
                _ => {
                    self.cancel(&id);
                    self.deadlines.remove(&(deadline, id.clone()));
                    actions.push(self.unresolved(&id));
                }
            }
        }
        actions
    }
}

#[cfg(test)]
#[path = "../tests/unit/redial.rs"]
mod tests;
