//! Model of one duty with three voters, two candidates that run one after the other or concurrently, and a receiver of the holder's actions.
//!
//! Frames can be lost, delayed without bound and duplicated: a sent frame may be received at any time, any number of times. A kill
//! loses whatever is not on disk. A stalled holder is one whose action arrives late. Expiries are events: a voter's promise to the
//! leader expires at any time, and with it the holder's lease if the holder counts the lease from before its request.

use crate::Model;

/// The protocol rules of voters, holders and receivers; each can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyProtocol {
    /// A vote or a duty table is on disk before it is sent or acknowledged.
    pub persists_first: bool,
    /// A lease starts when its holder sends the request; otherwise when the holder receives the reply.
    pub lease_from_request: bool,
    /// Receivers refuse fencing tokens below the highest that they have seen.
    pub checks_fencing_token: bool,
    /// Each term belongs to one candidate; otherwise a killed voter remembers the term in which it voted, but not for whom.
    pub terms_per_candidate: bool,
    /// A voter votes only for candidates whose table is no older than its own.
    pub requires_newest_table: bool,
    /// The maximum number of kills explored.
    pub max_kills: u8,
}

impl DutyProtocol {
    /// The protocol as implemented by `lotussaddle-lease`.
    pub const IMPLEMENTED: Self = Self {
        persists_first: true,
        lease_from_request: true,
        checks_fencing_token: true,
        terms_per_candidate: true,
        requires_newest_table: true,
        max_kills: 1,
    };
}

const VOTERS: usize = 3;
const CANDIDATES: usize = 2;
const MAJORITY: u32 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Frame {
    VoteRequest(usize),
    Vote(usize, usize),
    Table(usize),
    Ack(usize, usize),
    Action(usize),
}

impl Frame {
    const ALL: [Self; 18] = {
        let mut all = [Self::Action(0); 18];
        let (mut c, mut at) = (0, 0);
        while c < CANDIDATES {
            (all[at], all[at + 1], all[at + 2]) = (Self::VoteRequest(c), Self::Table(c), Self::Action(c));
            at += 3;
            let mut v = 0;
            while v < VOTERS {
                (all[at], all[at + 1]) = (Self::Vote(v, c), Self::Ack(v, c));
                at += 2;
                v += 1;
            }
            c += 1;
        }
        all
    };

    fn bit(self) -> u32 {
        1 << Self::ALL.iter().position(|frame| *frame == self).expect("`ALL` contains every frame")
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Role {
    #[default]
    Idle,
    Candidate,
    Leader,
    Finished,
}

/// The state of a voter: the highest term, its vote in that term, and the owner of its table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct VoterState {
    term: u8,
    voted: Option<usize>,
    /// One more than the index of the candidate whose table it is; zero if there is none.
    table: u8,
}

/// A state of [`DutyModel`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    memory: [VoterState; VOTERS],
    disk: [VoterState; VOTERS],
    /// Per voter, a bit set of frames to be sent once its state is on disk.
    awaiting_disk: [u32; VOTERS],
    /// A bit set of the frames that have been sent.
    sent: u32,
    /// Per voter, the candidate to which it has promised not to support another.
    promised: [Option<usize>; VOTERS],
    role: [Role; CANDIDATES],
    votes: [u8; CANDIDATES],
    acks: [u8; CANDIDATES],
    /// Per candidate, its table when it requested votes, and its fencing token.
    table_at_request: [u8; CANDIDATES],
    fencing_token: [u8; CANDIDATES],
    /// Per candidate, whether a majority has acknowledged its table.
    agreed: [bool; CANDIDATES],
    /// Per candidate, whether it holds the duty under a valid lease.
    holds: [bool; CANDIDATES],
    lease_expired: [bool; CANDIDATES],
    /// The highest fencing token under which the receiver has accepted an action, and the candidate that used it.
    last_accepted: Option<(u8, usize)>,
    kills: u8,
    violation: Option<&'static str>,
}

/// The model of a duty under a [`DutyProtocol`].
pub struct DutyModel(pub DutyProtocol);

impl DutyModel {
    fn term(&self, candidate: usize) -> u8 {
        if self.0.terms_per_candidate { candidate as u8 + 1 } else { 1 }
    }

    fn send_persisted(&self, state: &mut State, voter: usize, frame: Frame) {
        if self.0.persists_first {
            state.awaiting_disk[voter] |= frame.bit();
        } else {
            state.sent |= frame.bit();
        }
    }

    fn receive(&self, state: &mut State, frame: Frame, voter: usize) {
        match frame {
            Frame::VoteRequest(c) => {
                let (term, known) = (self.term(c), &mut state.memory[voter]);
                // A promise to the candidate itself does not prevent a vote for it.
                let is_free = state.promised[voter].is_none_or(|to| to == c);
                let has_newest_table =
                    !self.0.requires_newest_table || known.table <= state.table_at_request[c];
                let may_vote = known.voted.is_none_or(|whom| whom == c);
                if is_free && has_newest_table && (term > known.term || term == known.term && may_vote) {
                    (known.term, known.voted) = (term, Some(c));
                    // A candidate that votes for another one withdraws.
                    if voter < CANDIDATES && matches!(state.role[voter], Role::Candidate | Role::Leader) {
                        (state.role[voter], state.holds[voter]) = (Role::Finished, false);
                    }
                    self.send_persisted(state, voter, Frame::Vote(voter, c));
                }
            }
            Frame::Table(c) => {
                let known = &mut state.memory[voter];
                if self.term(c) >= known.term {
                    if self.term(c) > known.term {
                        (known.term, known.voted) = (self.term(c), None);
                    }
                    known.table = known.table.max(c as u8 + 1);
                    if known.table == c as u8 + 1 {
                        state.promised[voter] = Some(c);
                        self.send_persisted(state, voter, Frame::Ack(voter, c));
                    }
                }
            }
            Frame::Vote(from, c) if state.role[c] == Role::Candidate => {
                state.votes[c] |= 1 << from;
                if state.votes[c].count_ones() >= MAJORITY {
                    state.role[c] = Role::Leader;
                    let table = state.memory[c].table;
                    state.fencing_token[c] =
                        if table == 0 { 1 } else { state.fencing_token[usize::from(table) - 1] + 1 };
                    state.memory[c].table = c as u8 + 1;
                    state.sent |= Frame::Table(c).bit();
                    self.send_persisted(state, c, Frame::Ack(c, c));
                }
            }
            Frame::Ack(from, c) if state.role[c] == Role::Leader => {
                state.acks[c] |= 1 << from;
                if state.acks[c].count_ones() >= MAJORITY && !state.agreed[c] {
                    state.agreed[c] = true;
                    state.holds[c] = !state.lease_expired[c];
                    let other = 1 - c;
                    if state.agreed[other] && state.fencing_token[other] == state.fencing_token[c] {
                        state.violation = Some("two are agreed on under one number");
                    } else if state.holds[other] && state.holds[c] {
                        state.violation = Some("two hold it at once");
                    }
                }
            }
            Frame::Action(c) => {
                let action = (state.fencing_token[c], c);
                let is_outdated = state
                    .last_accepted
                    .is_some_and(|(token, holder)| action.0 < token || action.0 == token && c != holder);
                match is_outdated {
                    true if self.0.checks_fencing_token => {}
                    true => state.violation = Some("an act under an overtaken number was done"),
                    false => state.last_accepted = Some(action),
                }
            }
            Frame::Vote(..) | Frame::Ack(..) => {}
        }
    }
}

impl Model for DutyModel {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            memory: Default::default(),
            disk: Default::default(),
            awaiting_disk: [0; VOTERS],
            sent: 0,
            promised: [None; VOTERS],
            role: [Role::Idle; CANDIDATES],
            votes: [0; CANDIDATES],
            acks: [0; CANDIDATES],
            table_at_request: [0; CANDIDATES],
            fencing_token: [0; CANDIDATES],
            agreed: [false; CANDIDATES],
            holds: [false; CANDIDATES],
            lease_expired: [false; CANDIDATES],
            last_accepted: None,
            kills: 0,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<(String, State)> {
        let mut events = Vec::new();
        let mut add_event = |description: String, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            if next != *state {
                events.push((description, next));
            }
        };
        for frame in Frame::ALL.into_iter().filter(|frame| state.sent & frame.bit() != 0) {
            let to: &[usize] = match frame {
                Frame::VoteRequest(c) | Frame::Table(c) => &[[1, 2], [0, 2]][c],
                Frame::Vote(_, c) | Frame::Ack(_, c) => &[[0], [1]][c],
                Frame::Action(_) => &[0],
            };
            for to in to {
                add_event(format!("{to} receives {frame:?}"), &|next| self.receive(next, frame, *to));
            }
        }
        for voter in 0..VOTERS {
            add_event(format!("{voter} persists its state and sends what waited for it"), &|next| {
                next.disk[voter] = next.memory[voter];
                next.sent |= std::mem::take(&mut next.awaiting_disk[voter]);
            });
            if let Some(to) = state.promised[voter] {
                add_event(format!("the promise of {voter} to {to} expires"), &|next| {
                    next.promised[voter] = None;
                    if self.0.lease_from_request {
                        (next.lease_expired[to], next.holds[to]) = (true, false);
                    }
                });
            }
            if state.kills < self.0.max_kills {
                add_event(format!("{voter} is killed and restarts"), &|next| {
                    next.kills += 1;
                    next.memory[voter] = next.disk[voter];
                    if !self.0.terms_per_candidate {
                        next.memory[voter].voted = None;
                    }
                    next.awaiting_disk[voter] = 0;
                    if voter < CANDIDATES && next.role[voter] != Role::Idle {
                        (next.role[voter], next.holds[voter]) = (Role::Finished, false);
                    }
                });
            }
        }
        for c in 0..CANDIDATES {
            let is_free = state.promised[c].is_none_or(|to| to == c);
            // A candidate requests votes in a term in which it has not voted for another.
            let known = state.memory[c];
            let may_request =
                self.term(c) > known.term || self.term(c) == known.term && known.voted.is_none();
            if state.role[c] == Role::Idle && is_free && may_request {
                add_event(format!("{c} requests votes to become the leader"), &|next| {
                    next.role[c] = Role::Candidate;
                    next.table_at_request[c] = next.memory[c].table;
                    (next.memory[c].term, next.memory[c].voted) = (self.term(c), Some(c));
                    next.sent |= Frame::VoteRequest(c).bit();
                    self.send_persisted(next, c, Frame::Vote(c, c));
                });
            }
            if state.agreed[c] && state.role[c] == Role::Leader {
                add_event(format!("{c} performs an action of the duty"), &|next| {
                    if next.holds[c] {
                        next.sent |= Frame::Action(c).bit();
                    }
                });
            }
            if state.role[c] == Role::Candidate || state.role[c] == Role::Leader {
                add_event(format!("{c} gives up or learns of another leader"), &|next| {
                    (next.role[c], next.holds[c]) = (Role::Finished, false);
                });
            }
        }
        events
    }

    fn violation(&self, state: &State) -> Option<String> {
        state.violation.map(String::from)
    }
}

/// A change of the voter set in service: three voters, then several more added at once. Each member uses the
/// voter set that it knows.
pub struct VoterSetChange {
    /// How many voters are added to the first three.
    pub added_at_once: u8,
}

impl Model for VoterSetChange {
    /// Bit sets of the members that know of the change, and of those that have voted for the first and the second candidate.
    type State = (u8, u8, u8);

    fn initial_state(&self) -> Self::State {
        (0, 0, 0)
    }

    fn successors(&self, state: &Self::State) -> Vec<(String, Self::State)> {
        let (knows, first, second) = *state;
        let mut events = Vec::new();
        for member in 0..3 + self.added_at_once {
            let bit = 1u8 << member;
            if knows & bit == 0 {
                events.push((format!("{member} learns of the change"), (knows | bit, first, second)));
            }
            if (first | second) & bit == 0 {
                events.push((format!("{member} votes for the first"), (knows, first | bit, second)));
                events.push((format!("{member} votes for the second"), (knows, first, second | bit)));
            }
        }
        events
    }

    /// The first candidate uses the previous voter set; the second knows of the change.
    fn violation(&self, (knows, first, second): &Self::State) -> Option<String> {
        let previous = 0b111;
        let elected_by_previous = (first & previous).count_ones() >= 2 && first & !previous == 0;
        let new = (1u32 << (3 + self.added_at_once)) - 1;
        let majority = (3 + u32::from(self.added_at_once)) / 2 + 1;
        let elected_by_new = (u32::from(*second) & new).count_ones() >= majority && second & knows == *second;
        (elected_by_previous && elected_by_new).then(|| "two chairs at once, by two sets of voters".into())
    }
}
