//! What a voter keeps, and whom it helps.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::extended_for_drift;
use crate::ids::{TableId, Term};
use crate::table::Table;

/// On disk before anything that follows from it is said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The highest term that was voted for.
    pub term: Term,
    pub table: Table,
}

pub(crate) struct Voter {
    pub state: PersistedState,
    /// It knows all that it ever said; else it votes for nobody until others have told.
    pub is_consistent: bool,
    /// Whom it voted for by itself, rather than heard of.
    voted: Term,
    /// Until then the chair counts on this voter.
    promised_until: Duration,
    promise: Duration,
    /// Others that told what they have, and whether they are sound.
    have: BTreeMap<u16, bool>,
    rested_at: Duration,
    /// By then a majority of blank voters may begin anew, though not all have been heard.
    forgiven_at: Duration,
}

impl Voter {
    /// `kept` is none where nothing was found, or what was found is known to be older than what was said.
    pub fn new(
        now: Duration, kept: Option<PersistedState>, voters: Vec<u16>, promise: Duration, lease: Duration,
    ) -> Self {
        let sound = kept.is_some();
        let mut kept = kept.unwrap_or_default();
        if kept.table.voters.is_empty() {
            kept.table.voters = voters;
        }
        Self {
            voted: kept.term,
            state: kept,
            is_consistent: sound,
            // A former life of this process may have promised something.
            promised_until: now + extended_for_drift(promise),
            promise,
            have: BTreeMap::new(),
            rested_at: now + extended_for_drift(promise) + extended_for_drift(lease),
            forgiven_at: now + lease * 30,
        }
    }

    pub fn is_promised(&self, now: Duration) -> bool {
        now < self.promised_until
    }

    /// Would this voter help a candidate that knows so much?
    pub fn would(&self, now: Duration, above: Term, table: TableId) -> bool {
        self.is_consistent
            && !self.is_promised(now)
            && above >= self.state.term
            && table >= self.state.table.id
    }

    /// A vote is asked for. `Some(true)`: it is given once it is kept; `Some(false)`: it was given before.
    pub fn vote(&mut self, now: Duration, term: Term, table: TableId) -> Option<bool> {
        if self.is_consistent && term == self.voted && term == self.state.term {
            return Some(false);
        }
        if !self.would(now, self.state.term, table) || term <= self.state.term {
            return None;
        }
        (self.state.term, self.voted) = (term, term);
        Some(true)
    }

    /// The chair of a term speaks. False: its time is over.
    pub fn hears(&mut self, now: Duration, term: Term) -> bool {
        if term < self.state.term {
            return false;
        }
        self.state.term = term;
        self.promised_until = now + extended_for_drift(self.promise);
        true
    }

    /// The chair has given up: nothing is owed to it.
    pub fn free(&mut self, now: Duration) {
        self.promised_until = now;
    }

    /// Another voter tells what it has. A majority keeps each table that was agreed on: of others, so many must be sound that one of
    /// those is among them. Where all have told and too few are sound, nobody knows more, and it goes on after a rest; what was lost
    /// with so many is told by receivers, who refuse lower numbers.
    pub fn has(&mut self, from: u16, term: Term, sound: bool, table: Table) {
        self.state.term = self.state.term.max(term);
        if table.id > self.state.table.id {
            self.state.table = table;
        }
        self.have.insert(from, sound);
    }

    /// True: it has become sound by what others told.
    pub fn recovers(&mut self, now: Duration, me: u16) -> bool {
        if self.is_consistent {
            return false;
        }
        let voters = &self.state.table.voters;
        let others = || voters.iter().filter(|voter| **voter != me);
        let told = others().filter(|voter| self.have.contains_key(voter)).count();
        let know = others().filter(|voter| self.have.get(voter) == Some(&true)).count();
        let enough = know > voters.len() - self.state.table.majority();
        let all = told == others().count() && now >= self.rested_at;
        let late = told + 1 >= self.state.table.majority() && now >= self.forgiven_at;
        self.is_consistent = enough || all || late;
        self.is_consistent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(time: u64) -> Duration {
        Duration::from_millis(time)
    }

    fn voter(kept: Option<PersistedState>) -> Voter {
        Voter::new(ms(0), kept, vec![0, 1, 2], ms(1000), ms(2000))
    }

    fn table(count: u64, version: u32) -> Table {
        let id = TableId { term: Term(count << 32), version };
        Table { id, voters: vec![0, 1, 2], ..Table::default() }
    }

    #[test]
    fn a_vote_is_given_once_a_term_and_never_while_a_chair_counts_on_it() {
        let mut v = voter(Some(PersistedState { term: Term(5 << 32), table: table(4, 2) }));
        let (five, six) = (Term(5 << 32), Term(6 << 32));
        let have = table(4, 2).id;
        assert_eq!(v.vote(ms(1124), six, have), None, "a former life may have promised");
        assert!(!v.would(ms(1125), Term(4 << 32), have), "it knows less");
        assert!(!v.would(ms(1125), five, table(4, 1).id), "its table is older");
        assert!(v.would(ms(1125), five, have));
        assert_eq!(v.vote(ms(1125), six, table(4, 1).id), None);
        assert_eq!(v.vote(ms(1125), six, have), Some(true));
        assert_eq!(v.vote(ms(1126), six, have), Some(false), "its answer was lost");
        assert_eq!(v.vote(ms(1126), five, have), None);
        assert_eq!(v.vote(ms(1126), Term(6 << 32 | 1), have), Some(true), "a higher one of the same count");
        assert_eq!(v.vote(ms(1126), six, have), None, "and the former one no more");
        assert!(!v.hears(ms(1200), six) && v.hears(ms(1200), Term(7 << 32)));
        assert_eq!(v.vote(ms(2324), Term(8 << 32), have), None);
        v.free(ms(2000));
        assert_eq!(v.vote(ms(2000), Term(8 << 32), have), Some(true));
        // Heard of is not voted for.
        assert!(v.hears(ms(3000), Term(9 << 32)));
        v.free(ms(3000));
        assert_eq!(v.vote(ms(3000), Term(9 << 32), have), None);
    }

    #[test]
    fn one_that_has_lost_what_it_kept_votes_again_once_enough_others_have_told() {
        let mut v = voter(None);
        assert_eq!(v.vote(ms(9000), Term(9 << 32), table(9, 0).id), None);
        v.has(1, Term(7 << 32), true, table(6, 3));
        assert!(!v.recovers(ms(9000), 0), "the other one of the majority may be the third");
        v.has(2, Term(3 << 32), false, Table::default());
        assert!(!v.recovers(ms(3374), 0) && v.recovers(ms(3375), 0), "all have told, after a rest");
        assert_eq!((v.state.term, v.state.table.id), (Term(7 << 32), table(6, 3).id));
        let mut v = voter(None);
        v.has(1, Term(7 << 32), true, table(6, 3));
        v.has(2, Term(3 << 32), true, table(2, 3));
        assert!(v.recovers(ms(1), 0) && !v.recovers(ms(1), 0));
        // All stores lost at once, and one never comes back: after a long while.
        let mut v = voter(None);
        v.has(1, Term(0), false, Table::default());
        assert!(!v.recovers(ms(59_999), 0) && v.recovers(ms(60_000), 0));
        let mut alone = voter(None);
        assert!(!alone.recovers(ms(99_000), 0), "not without a majority");
    }
}
