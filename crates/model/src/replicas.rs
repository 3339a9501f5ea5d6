//! Model of one dialogue, its replicas at three members, and callers that redial it at the other two, possibly concurrently.
//!
//! There are two replicas, and a writer waits for one acknowledgement. A kill loses whatever is not on disk. Frames between two
//! members stay in order and are delayed without bound, so a cut in one or both directions is a frame that does not arrive. A launch
//! has a time limit followed by a release time; once both have passed it is no longer outstanding and is no longer sent.

use crate::Model;

/// The replication rules of the members; each can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaProtocol {
    /// A replica or a promise is on disk before it is acknowledged; otherwise it is acknowledged on receipt.
    pub persists_first: bool,
    /// How many of the two replica holders of the last writer must answer before a new owner continues.
    pub required_holders: u8,
    /// Replicas are merged; otherwise the one received last replaces the others.
    pub merges_replicas: bool,
    /// A previous owner's result is used only once no later owner's launch is outstanding; otherwise at once.
    pub waits_for_later_launches: bool,
    /// A result found in replicas is written under the new owner and acknowledged before it is repeated to a caller.
    pub confirms_found_result: bool,
    /// Writes of a previous owner are refused after the dialogue was promised to another; otherwise they are acknowledged.
    pub refuses_previous_owner: bool,
    /// The maximum number of kills explored.
    pub max_kills: u8,
    /// If set, only this member is killed.
    pub only_killed: Option<usize>,
    /// Whether the caller redials at the second member, and whether at the third.
    pub redials: [bool; 2],
}

impl ReplicaProtocol {
    /// The protocol as implemented by `lotussaddle-fleet`.
    pub const IMPLEMENTED: Self = Self {
        persists_first: true,
        required_holders: 2,
        merges_replicas: true,
        waits_for_later_launches: true,
        confirms_found_result: true,
        refuses_previous_owner: true,
        max_kills: 1,
        only_killed: None,
        redials: [true, true],
    };
}

const MEMBERS: usize = 3;
/// The last state written by each owner: nothing, claimed, launch outstanding, or set-up succeeded. Owners rank by index.
type Replica = [u8; MEMBERS];
const CLAIMED: u8 = 1;
const LAUNCHED: u8 = 2;
const SUCCEEDED: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum OwnerPhase {
    /// The dialogue has not been dialled at this member.
    Idle,
    Inquiring,
    /// The member owns the dialogue, and may act once launches of other owners are no longer outstanding.
    Owned,
    /// The launch is written and waits for an acknowledgement.
    Launching,
    Launched,
    /// The answer is written and waits for an acknowledgement.
    Answering,
    Answered,
    /// Killed, replaced or unresolved: the member takes no further action.
    Finished,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Frame {
    Replica { owner: usize, replica: Replica },
    Acknowledge { owner: usize, reached: u8 },
    Refused { owner: usize },
    Ask { owner: usize },
    AskReply { owner: usize, replica: Replica },
}

/// A state of [`ReplicaModel`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    memory: [Replica; MEMBERS],
    disk: [Replica; MEMBERS],
    /// Per member, its answers to be sent once its state is on disk.
    awaiting_disk: [Vec<(usize, Frame)>; MEMBERS],
    frames_in_transit: [[Vec<Frame>; MEMBERS]; MEMBERS],
    phase: [OwnerPhase; MEMBERS],
    /// Per inquiring owner, a bit set of the members that have answered and thereby promised it the dialogue, and the merged replicas
    /// that they reported.
    answered: [u8; MEMBERS],
    found: [Replica; MEMBERS],
    launched: [bool; MEMBERS],
    release_passed: [bool; MEMBERS],
    answer_sent: [bool; MEMBERS],
    kills: u8,
    violation: Option<&'static str>,
}

/// The model of a replicated dialogue under a [`ReplicaProtocol`].
pub struct ReplicaModel(pub ReplicaProtocol);

fn merge(into: &mut Replica, other: &Replica) {
    for (own, received) in into.iter_mut().zip(other) {
        *own = (*own).max(*received);
    }
}

/// The highest-ranking owner whose entry in a replica is at least `minimum`.
fn highest_owner(replica: &Replica, minimum: u8) -> Option<usize> {
    (0..MEMBERS).rev().find(|owner| replica[*owner] >= minimum)
}

/// Clears fields that can no longer affect the outcome, so that equivalent states compare equal.
fn normalize(state: &mut State) {
    for owner in 0..MEMBERS {
        if matches!(state.phase[owner], OwnerPhase::Finished | OwnerPhase::Answered) {
            (state.answered[owner], state.found[owner]) = (0, Replica::default());
            for from in 0..MEMBERS {
                state.frames_in_transit[from][owner]
                    .retain(|frame| matches!(frame, Frame::Replica { .. } | Frame::Ask { .. }));
            }
        }
    }
}

impl ReplicaModel {
    fn write(&self, state: &mut State, owner: usize, reached: u8) {
        state.memory[owner][owner] = reached;
        let replica = state.memory[owner];
        for to in (0..MEMBERS).filter(|to| *to != owner) {
            state.frames_in_transit[owner][to].push(Frame::Replica { owner, replica });
        }
    }

    /// Sends an answer once the state is persisted, or immediately.
    fn answer(&self, state: &mut State, from: usize, to: usize, frame: Frame) {
        // The disk has no effect once no kill can follow.
        if self.0.persists_first && state.kills < self.0.max_kills {
            state.awaiting_disk[from].push((to, frame));
        } else {
            state.frames_in_transit[from][to].push(frame);
        }
    }

    fn launch(state: &mut State, owner: usize) {
        let others = || (0..MEMBERS).filter(|other| *other != owner);
        if others().any(|other| state.launched[other] && !state.release_passed[other]) {
            state.violation = Some("two launches are out");
        } else if others().any(|other| state.answer_sent[other]) {
            state.violation = Some("launched though another had answered");
        }
        (state.launched[owner], state.phase[owner]) = (true, OwnerPhase::Launched);
    }

    /// Takes ownership once enough members have answered that no acknowledged write can be missing.
    fn try_take_ownership(&self, state: &mut State, owner: usize) {
        let answered = state.answered[owner];
        let enough_holders_answered = highest_owner(&state.found[owner], LAUNCHED).is_some_and(|writer| {
            (answered & !(1 << writer)).count_ones() >= u32::from(self.0.required_holders)
        });
        if !enough_holders_answered && answered.count_ones() < MEMBERS as u32 {
            return;
        }
        let found = state.found[owner];
        merge(&mut state.memory[owner], &found);
        state.phase[owner] = OwnerPhase::Owned;
        if found.contains(&SUCCEEDED) && !self.0.waits_for_later_launches {
            (state.answer_sent[owner], state.phase[owner]) = (true, OwnerPhase::Answered);
        }
    }

    fn receive(&self, state: &mut State, from: usize, member: usize, frame: Frame) {
        match frame {
            Frame::Replica { owner, replica } => {
                let promised =
                    highest_owner(&state.memory[member], CLAIMED).is_some_and(|known| known > owner);
                if self.0.merges_replicas {
                    merge(&mut state.memory[member], &replica);
                } else {
                    state.memory[member] = replica;
                }
                let answer = match promised && self.0.refuses_previous_owner && self.0.merges_replicas {
                    true => Frame::Refused { owner },
                    false => Frame::Acknowledge { owner, reached: replica[owner] },
                };
                self.answer(state, member, from, answer);
            }
            Frame::Acknowledge { owner, reached } => match (state.phase[owner], reached) {
                (OwnerPhase::Launching, LAUNCHED) => Self::launch(state, owner),
                (OwnerPhase::Answering, SUCCEEDED) => {
                    let higher = (owner + 1..MEMBERS).any(|other| state.launched[other]);
                    if higher {
                        state.violation = Some("answered though another has launched it since");
                    }
                    (state.answer_sent[owner], state.phase[owner]) = (true, OwnerPhase::Answered);
                }
                _ => {}
            },
            Frame::Refused { owner } => {
                if state.phase[owner] != OwnerPhase::Answered {
                    state.phase[owner] = OwnerPhase::Finished;
                }
            }
            Frame::Ask { owner } => {
                if highest_owner(&state.memory[member], CLAIMED).is_some_and(|known| known > owner) {
                    return self.answer(state, member, from, Frame::Refused { owner });
                }
                let replica = state.memory[member];
                state.memory[member][owner] = state.memory[member][owner].max(CLAIMED);
                // A current owner gives up the dialogue before it reports its replica.
                if member < owner && !matches!(state.phase[member], OwnerPhase::Idle | OwnerPhase::Answered) {
                    state.phase[member] = OwnerPhase::Finished;
                }
                self.answer(state, member, from, Frame::AskReply { owner, replica });
            }
            Frame::AskReply { owner, replica } if state.phase[owner] == OwnerPhase::Inquiring => {
                merge(&mut state.found[owner], &replica);
                state.answered[owner] |= 1 << from;
                self.try_take_ownership(state, owner);
            }
            Frame::AskReply { .. } => {}
        }
    }
}

impl Model for ReplicaModel {
    type State = State;

    fn initial_state(&self) -> State {
        let mut state = State {
            memory: [[0; MEMBERS]; MEMBERS],
            disk: [[0; MEMBERS]; MEMBERS],
            awaiting_disk: Default::default(),
            frames_in_transit: Default::default(),
            phase: [OwnerPhase::Idle; MEMBERS],
            answered: [0; MEMBERS],
            found: [[0; MEMBERS]; MEMBERS],
            launched: [false; MEMBERS],
            release_passed: [false; MEMBERS],
            answer_sent: [false; MEMBERS],
            kills: 0,
            violation: None,
        };
        // The first member owns the dialogue and is about to launch it.
        state.phase[0] = OwnerPhase::Launching;
        self.write(&mut state, 0, LAUNCHED);
        state
    }

    fn successors(&self, state: &State) -> Vec<(String, State)> {
        let mut events = Vec::new();
        let mut add_event = |description: String, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            normalize(&mut next);
            events.push((description, next));
        };
        for from in 0..MEMBERS {
            for to in 0..MEMBERS {
                if let Some(frame) = state.frames_in_transit[from][to].first() {
                    add_event(format!("member {to} receives from {from}: {frame:?}"), &|next| {
                        let frame = next.frames_in_transit[from][to].remove(0);
                        self.receive(next, from, to, frame);
                    });
                }
            }
        }
        for member in 0..MEMBERS {
            if !state.awaiting_disk[member].is_empty() {
                add_event(
                    format!("member {member} persists its state and sends what waited for it"),
                    &|next| {
                        next.disk[member] = next.memory[member];
                        for (to, frame) in std::mem::take(&mut next.awaiting_disk[member]) {
                            next.frames_in_transit[member][to].push(frame);
                        }
                    },
                );
            }
            if state.kills < self.0.max_kills && self.0.only_killed.is_none_or(|only| only == member) {
                add_event(format!("member {member} is killed and restarts"), &|next| {
                    next.kills += 1;
                    next.memory[member] = next.disk[member];
                    next.awaiting_disk[member].clear();
                    if next.phase[member] != OwnerPhase::Idle {
                        next.phase[member] = OwnerPhase::Finished;
                    }
                });
            }
            let is_redialled = member > 0 && self.0.redials[member - 1];
            match state.phase[member] {
                OwnerPhase::Idle if is_redialled => {
                    add_event(format!("the caller redials at member {member}"), &|next| {
                        if highest_owner(&next.memory[member], CLAIMED).is_some_and(|known| known > member) {
                            next.phase[member] = OwnerPhase::Finished;
                            return;
                        }
                        (next.phase[member], next.found[member], next.answered[member]) =
                            (OwnerPhase::Inquiring, next.memory[member], 1 << member);
                        next.memory[member][member] = CLAIMED;
                        for to in (0..MEMBERS).filter(|to| *to != member) {
                            next.frames_in_transit[member][to].push(Frame::Ask { owner: member });
                        }
                        self.try_take_ownership(next, member);
                    })
                }
                OwnerPhase::Owned => {
                    let found = &state.found[member];
                    let is_outstanding = |other: usize| {
                        found[other] == LAUNCHED && !state.release_passed[other] && other != member
                    };
                    // The time limit of an earlier owner's launch does not matter once the set-up succeeded.
                    let succeeded = highest_owner(found, SUCCEEDED);
                    let mut later = succeeded.map_or(0, |succeeded| succeeded + 1)..MEMBERS;
                    if later.any(is_outstanding) {
                    } else if succeeded.is_some() {
                        add_event(
                            format!("member {member} uses the successful set-up that it found"),
                            &|next| {
                                if self.0.confirms_found_result {
                                    next.phase[member] = OwnerPhase::Answering;
                                    self.write(next, member, SUCCEEDED);
                                } else {
                                    (next.answer_sent[member], next.phase[member]) =
                                        (true, OwnerPhase::Answered);
                                }
                            },
                        );
                    } else {
                        add_event(format!("member {member} writes its launch"), &|next| {
                            next.phase[member] = OwnerPhase::Launching;
                            self.write(next, member, LAUNCHED);
                        });
                    }
                }
                OwnerPhase::Launched if !state.release_passed[member] => {
                    add_event(format!("the launch of member {member} succeeds"), &|next| {
                        next.phase[member] = OwnerPhase::Answering;
                        self.write(next, member, SUCCEEDED);
                    })
                }
                _ => {}
            }
            if !state.release_passed[member]
                && (state.launched[member] || state.phase[member] == OwnerPhase::Launching)
            {
                add_event(
                    format!("the time limit and the release time of the launch of member {member} pass"),
                    &|next| {
                        next.release_passed[member] = true;
                        if matches!(next.phase[member], OwnerPhase::Launching | OwnerPhase::Launched) {
                            next.phase[member] = OwnerPhase::Finished;
                        }
                    },
                );
            }
        }
        events
    }

    fn violation(&self, state: &State) -> Option<String> {
        state.violation.map(String::from)
    }
}
