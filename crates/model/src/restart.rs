//! Model of one dialogue at an edge proxy that can be killed at any moment: its record, launches, answer and caller.
//!
//! Bytes written to a socket may arrive after the writer has been killed; a record whose write was in progress
//! may or may not be on disk. A core server notices a closed link after a delay, but before the release time has
//! passed; this bound is the purpose of the release time.

use crate::Model;

/// The order in which an edge proxy records, sends and answers, and what it does after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartDesign {
    /// The final answer is recorded before it is sent to the caller; otherwise after.
    pub answer_recorded_first: bool,
    /// When launches are recorded.
    pub launch_recording: LaunchRecording,
    /// After a restart, a dialogue whose record shows an outstanding launch is not launched again until a release time
    /// has passed.
    pub blocks_recorded_launches: bool,
    /// After a restart nothing is launched for a release time, regardless of the records.
    pub blocks_all_launches: bool,
    /// The maximum number of kills explored.
    pub max_kills: u8,
}

/// Whether a launch is recorded, and when relative to sending it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaunchRecording {
    /// Launches are not recorded.
    Never,
    /// A launch is recorded before it is sent.
    Before,
    /// A launch is recorded after it is sent.
    After,
}

impl RestartDesign {
    /// Launches are recorded before they are sent, answers before they are sent to the caller.
    pub const RECORD_FIRST: Self = Self {
        answer_recorded_first: true,
        launch_recording: LaunchRecording::Before,
        blocks_recorded_launches: true,
        blocks_all_launches: false,
        max_kills: 3,
    };
    /// No launch is recorded; a restarted edge proxy launches nothing for a release time.
    pub const HOLD_AFTER_RESTART: Self = Self {
        launch_recording: LaunchRecording::Never,
        blocks_recorded_launches: false,
        blocks_all_launches: true,
        ..Self::RECORD_FIRST
    };
}

/// The progress of the dialogue at the edge proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum DialogueState {
    /// The edge proxy does not know the dialogue.
    Unknown,
    Waiting,
    /// The launch record is being written; the launch is sent afterwards.
    Recording,
    Launched,
    /// The launch is sent and its record is being written.
    LaunchedRecording,
    /// The answer record is being written; the answer is sent afterwards.
    Answering,
    /// The answer is sent and its record is being written.
    AnswerRecording,
    Completed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Record {
    None,
    Launched,
    Answered,
}

/// A state of [`RestartModel`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The dialogue at the edge proxy; `None` while the edge proxy is down.
    edge: Option<DialogueState>,
    /// Less than a release time has passed since this incarnation started.
    recently_started: bool,
    /// This incarnation may not launch: a launch of its own ended unresolved less than a release time ago, or the design blocks launches
    /// after a restart.
    launches_blocked: bool,
    disk: Record,
    /// Launches in transit to the core server, and launches that it has received.
    launches_in_transit: u8,
    launches_at_server: u8,
    /// The link to the core server is closed and the core server has not noticed.
    link_loss_unnoticed: bool,
    /// The core server has accepted the set-up on a link that is still open.
    stood: bool,
    /// Answers in transit to the caller, and answers that it has received.
    answers_in_transit: u8,
    answers_received: u8,
    caller_waiting: bool,
    /// Less than a release time of wall-clock time has passed since a launch ended unresolved.
    launch_unresolved: bool,
    kills: u8,
    violation: Option<&'static str>,
}

/// The model of a dialogue under a [`RestartDesign`].
pub struct RestartModel(pub RestartDesign);

impl RestartModel {
    fn launch(&self, state: &State) -> Vec<(String, State)> {
        let mut next = state.clone();
        match self.0.launch_recording {
            LaunchRecording::Before if state.disk != Record::Launched => {
                next.edge = Some(DialogueState::Recording)
            }
            _ => self.send(&mut next),
        }
        vec![("launches".into(), next)]
    }

    fn send(&self, next: &mut State) {
        next.edge = Some(if self.0.launch_recording == LaunchRecording::After {
            DialogueState::LaunchedRecording
        } else {
            DialogueState::Launched
        });
        if next.launch_unresolved {
            next.violation = Some("rule 5: launched within the release time of a launch in doubt");
        } else if next.launches_at_server > 0 || next.launches_in_transit > 0 {
            next.violation = Some("rule 2: launched while another launch is out");
        }
        next.launches_in_transit += 1;
    }

    fn kill(state: &State, record: Record, description: &str) -> (String, State) {
        let mut next = state.clone();
        // Written bytes may still arrive; replies on a closed link do not.
        let was_launched = next.launches_in_transit > 0 || next.launches_at_server > 0;
        next.edge = None;
        next.link_loss_unnoticed = was_launched;
        next.launch_unresolved |= was_launched;
        (next.stood, next.launches_blocked) = (false, false);
        next.caller_waiting = next.answers_received == 0;
        next.disk = record;
        next.kills += 1;
        (format!("killed{description}"), next)
    }
}

impl Model for RestartModel {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            edge: Some(DialogueState::Unknown),
            recently_started: false,
            launches_blocked: false,
            disk: Record::None,
            launches_in_transit: 0,
            launches_at_server: 0,
            link_loss_unnoticed: false,
            stood: false,
            answers_in_transit: 0,
            answers_received: 0,
            caller_waiting: true,
            launch_unresolved: false,
            kills: 0,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<(String, State)> {
        let mut events = Vec::new();
        let successor = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            next
        };
        // Network.
        if state.launches_in_transit > 0 {
            events.push((
                "a launch arrives at the core server".into(),
                successor(&|s| {
                    s.launches_in_transit -= 1;
                    s.launches_at_server += 1;
                }),
            ));
        }
        if state.launches_at_server > 0 && !state.link_loss_unnoticed && !state.stood {
            events.push(("the core server accepts the set-up".into(), successor(&|s| s.stood = true)));
            if matches!(state.edge, Some(DialogueState::Launched | DialogueState::LaunchedRecording)) {
                events.push((
                    "its launch is broken off".into(),
                    successor(&|s| {
                        s.launches_at_server = 0;
                        s.launch_unresolved = true;
                        s.launches_blocked = true;
                        s.edge = Some(DialogueState::Waiting);
                    }),
                ));
            }
        }
        if state.link_loss_unnoticed && state.launches_in_transit == 0 {
            events.push((
                "the core server notices that the link is closed".into(),
                successor(&|s| {
                    s.link_loss_unnoticed = false;
                    s.launches_at_server = 0;
                }),
            ));
        }
        if state.answers_in_transit > 0 {
            events.push((
                "an answer arrives at the caller".into(),
                successor(&|s| {
                    s.answers_in_transit -= 1;
                    s.answers_received += 1;
                    s.caller_waiting = false;
                }),
            ));
        }
        // Time.
        if (state.launch_unresolved || state.recently_started || state.launches_blocked)
            && !state.link_loss_unnoticed
        {
            events.push((
                "a release time passes".into(),
                successor(&|s| {
                    (s.launch_unresolved, s.recently_started, s.launches_blocked) = (false, false, false);
                }),
            ));
        }
        // The edge proxy.
        match state.edge {
            None => events.push((
                "the edge proxy starts".into(),
                successor(&|s| {
                    s.edge = Some(if s.disk == Record::Answered {
                        DialogueState::Completed
                    } else {
                        DialogueState::Unknown
                    });
                    s.recently_started = true;
                    s.launches_blocked = self.0.blocks_all_launches
                        || (self.0.blocks_recorded_launches && s.disk == Record::Launched);
                }),
            )),
            Some(DialogueState::Unknown) if state.caller_waiting => {
                events
                    .push(("the caller dials".into(), successor(&|s| s.edge = Some(DialogueState::Waiting))));
            }
            Some(DialogueState::Waiting) if !state.launches_blocked => events.extend(self.launch(state)),
            Some(DialogueState::Recording) => events.push((
                "the launch is recorded and sent".into(),
                successor(&|s| {
                    s.disk = Record::Launched;
                    self.send(s);
                }),
            )),
            Some(DialogueState::LaunchedRecording) => events.push((
                "the launch is recorded".into(),
                successor(&|s| {
                    s.disk = Record::Launched;
                    s.edge = Some(DialogueState::Launched);
                }),
            )),
            Some(DialogueState::Launched) if state.stood => events.push((
                "the edge proxy receives the accepted set-up".into(),
                successor(&|s| {
                    if self.0.answer_recorded_first {
                        s.edge = Some(DialogueState::Answering);
                    } else {
                        s.answers_in_transit += 1;
                        s.edge = Some(DialogueState::AnswerRecording);
                    }
                }),
            )),
            Some(DialogueState::Answering) => events.push((
                "the answer is recorded and sent".into(),
                successor(&|s| {
                    s.disk = Record::Answered;
                    s.answers_in_transit += 1;
                    s.edge = Some(DialogueState::Completed);
                }),
            )),
            Some(DialogueState::AnswerRecording) => events.push((
                "the answer is recorded".into(),
                successor(&|s| {
                    s.disk = Record::Answered;
                    s.edge = Some(DialogueState::Completed);
                }),
            )),
            _ => {}
        }
        if let Some(dialogue_state) = state.edge.filter(|_| state.kills < self.0.max_kills) {
            events.push(Self::kill(state, state.disk, ""));
            let record_being_written = match dialogue_state {
                DialogueState::Recording | DialogueState::LaunchedRecording => Some(Record::Launched),
                DialogueState::Answering | DialogueState::AnswerRecording => Some(Record::Answered),
                _ => None,
            };
            events.extend(
                record_being_written
                    .map(|record| Self::kill(state, record, " just after its record was written")),
            );
        }
        events
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.answers_received + state.answers_in_transit > 1 {
            return Some("rule 1: a second answer".into());
        }
        state.violation.map(String::from)
    }
}
