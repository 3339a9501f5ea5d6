//! The voter: its persisted state, and which candidate it supports.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::extended_for_drift;
use crate::ids::{TableId, Term};
use crate::table::Table;

/// After this many lease durations a voter without state recovers once a majority has reported, although not all voters have.
const MAJORITY_RECOVERY_LEASES: u32 = 30;

/// State that a member writes to disk before it sends any message that depends on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The highest term that was voted for.
    pub term: Term,
    /// The last table accepted.
    pub table: Table,
}

pub(crate) struct Voter {
    pub state: PersistedState,
    /// Whether its state includes everything that it ever sent; otherwise it votes for nobody until others have reported theirs.
    pub is_consistent: bool,
    /// The term of the last vote that it cast itself, as opposed to terms it learned from others.
    last_vote_term: Term,
    /// Until this time the leader relies on this voter supporting no other candidate.
    vote_locked_until: Duration,
    vote_lock_duration: Duration,
    /// Voters that have reported their state, and whether it is consistent.
    peer_consistency: BTreeMap<u16, bool>,
    /// From this time on the voter recovers its state once all other voters have reported.
    full_recovery_at: Duration,
    /// From this time on the voter recovers its state once a majority, itself included, has reported.
    majority_recovery_at: Duration,
}

impl Voter {
    /// `stored` is none if no state was found, or if it is known to be older than what this member has sent.
    pub fn new(
        now: Duration, stored: Option<PersistedState>, voters: Vec<u16>, vote_lock_duration: Duration,
        lease_duration: Duration,
    ) -> Self {
        let is_consistent = stored.is_some();
        let mut state = stored.unwrap_or_default();
        if state.table.voters.is_empty() {
            state.table.voters = voters;
        }
        Self {
            last_vote_term: state.term,
            state,
            is_consistent,
            // A previous incarnation of this process may have promised its support to a leader.
            vote_locked_until: now + extended_for_drift(vote_lock_duration),
            vote_lock_duration,
            peer_consistency: BTreeMap::new(),
            full_recovery_at: now
                + extended_for_drift(vote_lock_duration)
                + extended_for_drift(lease_duration),
            majority_recovery_at: now + lease_duration * MAJORITY_RECOVERY_LEASES,
        }
    }

    pub fn is_vote_locked(&self, now: Duration) -> bool {
        now < self.vote_locked_until
    }

    /// Whether this voter would support a candidate with this term and table.
    pub fn would_vote(&self, now: Duration, above_term: Term, table: TableId) -> bool {
        self.is_consistent
            && !self.is_vote_locked(now)
            && above_term >= self.state.term
            && table >= self.state.table.id
    }

    /// Handles a request for a vote. `Some(true)`: the vote counts once it is persisted; `Some(false)`: it was cast before; `None`:
    /// refused.
    pub fn cast_vote(&mut self, now: Duration, term: Term, table: TableId) -> Option<bool> {
        if self.is_consistent && term == self.last_vote_term && term == self.state.term {
            return Some(false);
        }
        if !self.would_vote(now, self.state.term, table) || term <= self.state.term {
            return None;
        }
        (self.state.term, self.last_vote_term) = (term, term);
        Some(true)
    }

    /// Handles a heartbeat of the leader of a term. False: the term is outdated.
    pub fn accept_leader(&mut self, now: Duration, term: Term) -> bool {
        if term < self.state.term {
            return false;
        }
        self.state.term = term;
        self.vote_locked_until = now + extended_for_drift(self.vote_lock_duration);
        true
    }

    /// The leader has resigned: other candidates may be supported at once.
    pub fn unlock_vote(&mut self, now: Duration) {
        self.vote_locked_until = now;
    }

    /// Another voter reports its state. Each committed table is on a majority of voters, so enough others have to be consistent that
    /// one of that majority is among them. If all have reported and too few are consistent, no voter knows more, and this one recovers
    /// after a waiting time; what was lost with that many is found through receivers, which refuse lower tokens.
    pub fn state_reported(&mut self, from: u16, term: Term, is_consistent: bool, table: Table) {
        self.state.term = self.state.term.max(term);
        if table.id > self.state.table.id {
            self.state.table = table;
        }
        self.peer_consistency.insert(from, is_consistent);
    }

    /// True: it has just become consistent through the reports of others.
    pub fn try_recover(&mut self, now: Duration, self_member: u16) -> bool {
        if self.is_consistent {
            return false;
        }
        let voters = &self.state.table.voters;
        let others = || voters.iter().filter(|voter| **voter != self_member);
        let reported = others().filter(|voter| self.peer_consistency.contains_key(voter)).count();
        let consistent = others().filter(|voter| self.peer_consistency.get(voter) == Some(&true)).count();
        let enough_consistent = consistent > voters.len() - self.state.table.majority();
        let all_reported = reported == others().count() && now >= self.full_recovery_at;
        let majority_reported =
            reported + 1 >= self.state.table.majority() && now >= self.majority_recovery_at;
        self.is_consistent = enough_consistent || all_reported || majority_reported;
        self.is_consistent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(time: u64) -> Duration {
        Duration::from_millis(time)
    }

    fn voter(stored: Option<PersistedState>) -> Voter {
        Voter::new(ms(0), stored, vec![0, 1, 2], ms(1000), ms(2000))
    }

    fn table(count: u64, version: u32) -> Table {
        let id = TableId { term: Term(count << 32), version };
        Table { id, voters: vec![0, 1, 2], ..Table::default() }
    }

    #[test]
    fn one_vote_per_term_and_none_while_a_leader_relies_on_the_voter() {
        let mut v = voter(Some(PersistedState { term: Term(5 << 32), table: table(4, 2) }));
        let (five, six) = (Term(5 << 32), Term(6 << 32));
        let own_table = table(4, 2).id;
        assert_eq!(v.cast_vote(ms(1124), six, own_table), None, "a previous incarnation may be vote-locked");
        assert!(!v.would_vote(ms(1125), Term(4 << 32), own_table), "the candidate's term is lower");
        assert!(!v.would_vote(ms(1125), five, table(4, 1).id), "the candidate's table is older");
        assert!(v.would_vote(ms(1125), five, own_table));
        assert_eq!(v.cast_vote(ms(1125), six, table(4, 1).id), None);
        assert_eq!(v.cast_vote(ms(1125), six, own_table), Some(true));
        assert_eq!(v.cast_vote(ms(1126), six, own_table), Some(false), "the first reply was lost");
        assert_eq!(v.cast_vote(ms(1126), five, own_table), None);
        assert_eq!(
            v.cast_vote(ms(1126), Term(6 << 32 | 1), own_table),
            Some(true),
            "a higher term of the same count"
        );
        assert_eq!(v.cast_vote(ms(1126), six, own_table), None, "the previous term is now outdated");
        assert!(!v.accept_leader(ms(1200), six) && v.accept_leader(ms(1200), Term(7 << 32)));
        assert_eq!(v.cast_vote(ms(2324), Term(8 << 32), own_table), None);
        v.unlock_vote(ms(2000));
        assert_eq!(v.cast_vote(ms(2000), Term(8 << 32), own_table), Some(true));
        // A term learned from a leader is not a vote cast in it.
        assert!(v.accept_leader(ms(3000), Term(9 << 32)));
        v.unlock_vote(ms(3000));
        assert_eq!(v.cast_vote(ms(3000), Term(9 << 32), own_table), None);
    }

    #[test]
    fn voter_without_state_votes_again_once_enough_others_have_reported() {
        let mut v = voter(None);
        assert_eq!(v.cast_vote(ms(9000), Term(9 << 32), table(9, 0).id), None);
        v.state_reported(1, Term(7 << 32), true, table(6, 3));
        assert!(!v.try_recover(ms(9000), 0), "the rest of the majority may be the third voter");
        v.state_reported(2, Term(3 << 32), false, Table::default());
        assert!(
            !v.try_recover(ms(3374), 0) && v.try_recover(ms(3375), 0),
            "all have reported, after the waiting time"
        );
        assert_eq!((v.state.term, v.state.table.id), (Term(7 << 32), table(6, 3).id));
        let mut v = voter(None);
        v.state_reported(1, Term(7 << 32), true, table(6, 3));
        v.state_reported(2, Term(3 << 32), true, table(2, 3));
        assert!(v.try_recover(ms(1), 0) && !v.try_recover(ms(1), 0));
        // All stores are lost at once and one voter never returns: recovery after the longer waiting time.
        let mut v = voter(None);
        v.state_reported(1, Term(0), false, Table::default());
        assert!(!v.try_recover(ms(59_999), 0) && v.try_recover(ms(60_000), 0));
        let mut alone = voter(None);
        assert!(!alone.try_recover(ms(99_000), 0), "not without a majority");
    }
}
