//! One dialogue at an edge proxy that is killed at any moment: its record, its launches, its answer, its caller.
//!
//! Bytes that were written to a socket may arrive after whoever wrote them is gone; a record that was being written
//! may be there or not. A core server notices that a link is gone some time later, yet before the release time has
//! passed: that is what the release time is for.

use crate::Model;

/// In which order an edge proxy does what it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Design {
    /// The final answer is recorded before it is said; else after.
    pub answer_recorded_first: bool,
    pub launches: Launches,
    /// After a start a dialogue whose record says that a launch was out is launched no sooner than a release time
    /// later.
    pub bars_what_was_out: bool,
    /// After a start nothing is launched for a release time, whatever is recorded.
    pub bars_all: bool,
    pub kills: u8,
}

/// Whether a launch is recorded, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Launches {
    Never,
    Before,
    After,
}

impl Design {
    /// Launches recorded before they are sent, answers before they are said.
    pub const RECORDED: Self = Self {
        answer_recorded_first: true,
        launches: Launches::Before,
        bars_what_was_out: true,
        bars_all: false,
        kills: 3,
    };
    /// No launch is recorded; whoever starts rests for a release time.
    pub const RESTS: Self =
        Self { launches: Launches::Never, bars_what_was_out: false, bars_all: true, ..Self::RECORDED };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum At {
    /// Not known here.
    Unknown,
    Waiting,
    /// Its launch's record is on its way to the disk; then it is sent.
    Recording,
    Out,
    /// Sent, and its record is on its way to the disk.
    OutRecording,
    /// Its answer's record is on its way to the disk; then it is said.
    Answering,
    /// Said, and its record is on its way to the disk.
    Said,
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Record {
    None,
    Out,
    Answered,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// None: killed.
    edge: Option<At>,
    /// A release time has not passed since this life began.
    young: bool,
    /// ... nor since the last launch ended in doubt, as this life knows.
    barred: bool,
    disk: Record,
    /// Launches on their way to the core server, and launches that it has.
    coming: u8,
    there: u8,
    /// The core server has a link that is gone, and has not noticed.
    unnoticed: bool,
    /// It has answered on a link that is still there.
    stood: bool,
    /// Answers on their way to the caller, and answers that it has.
    saying: u8,
    answers: u8,
    asked: bool,
    /// A release time has not passed since a launch ended in doubt, as a clock on the wall has it.
    in_doubt: bool,
    kills: u8,
    what: Option<&'static str>,
}

pub struct Restart(pub Design);

impl Restart {
    fn launch(&self, state: &State) -> Vec<(String, State)> {
        let mut next = state.clone();
        match self.0.launches {
            Launches::Before if state.disk != Record::Out => next.edge = Some(At::Recording),
            _ => self.send(&mut next),
        }
        vec![("launches".into(), next)]
    }

    fn send(&self, next: &mut State) {
        next.edge = Some(if self.0.launches == Launches::After { At::OutRecording } else { At::Out });
        if next.in_doubt {
            next.what = Some("rule 5: launched within the release time of a launch in doubt");
        } else if next.there > 0 || next.coming > 0 {
            next.what = Some("rule 2: launched while another launch is out");
        }
        next.coming += 1;
    }

    fn kill(state: &State, record: Record, words: &str) -> (String, State) {
        let mut next = state.clone();
        // Bytes that were written may still arrive; what comes back over a link that is gone does not.
        let was_out = next.coming > 0 || next.there > 0;
        next.edge = None;
        next.unnoticed = was_out;
        next.in_doubt |= was_out;
        (next.stood, next.barred) = (false, false);
        next.asked = next.answers == 0;
        next.disk = record;
        next.kills += 1;
        (format!("killed{words}"), next)
    }
}

impl Model for Restart {
    type State = State;

    fn begin(&self) -> State {
        State {
            edge: Some(At::Unknown),
            young: false,
            barred: false,
            disk: Record::None,
            coming: 0,
            there: 0,
            unnoticed: false,
            stood: false,
            saying: 0,
            answers: 0,
            asked: true,
            in_doubt: false,
            kills: 0,
            what: None,
        }
    }

    fn next(&self, state: &State) -> Vec<(String, State)> {
        let mut all = Vec::new();
        let with = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            next
        };
        // The wires.
        if state.coming > 0 {
            all.push((
                "a launch arrives at the core server".into(),
                with(&|s| {
                    s.coming -= 1;
                    s.there += 1;
                }),
            ));
        }
        if state.there > 0 && !state.unnoticed && !state.stood {
            all.push(("the core server stands it".into(), with(&|s| s.stood = true)));
            if matches!(state.edge, Some(At::Out | At::OutRecording)) {
                all.push((
                    "its launch is broken off".into(),
                    with(&|s| {
                        s.there = 0;
                        s.in_doubt = true;
                        s.barred = true;
                        s.edge = Some(At::Waiting);
                    }),
                ));
            }
        }
        if state.unnoticed && state.coming == 0 {
            all.push((
                "the core server notices that the link is gone".into(),
                with(&|s| {
                    s.unnoticed = false;
                    s.there = 0;
                }),
            ));
        }
        if state.saying > 0 {
            all.push((
                "an answer arrives at the caller".into(),
                with(&|s| {
                    s.saying -= 1;
                    s.answers += 1;
                    s.asked = false;
                }),
            ));
        }
        // Time.
        if (state.in_doubt || state.young || state.barred) && !state.unnoticed {
            all.push((
                "a release time passes".into(),
                with(&|s| {
                    (s.in_doubt, s.young, s.barred) = (false, false, false);
                }),
            ));
        }
        // The edge proxy.
        match state.edge {
            None => all.push((
                "the edge proxy starts".into(),
                with(&|s| {
                    s.edge = Some(if s.disk == Record::Answered { At::Done } else { At::Unknown });
                    s.young = true;
                    s.barred = self.0.bars_all || (self.0.bars_what_was_out && s.disk == Record::Out);
                }),
            )),
            Some(At::Unknown) if state.asked => {
                all.push(("the caller dials".into(), with(&|s| s.edge = Some(At::Waiting))));
            }
            Some(At::Waiting) if !state.barred => all.extend(self.launch(state)),
            Some(At::Recording) => all.push((
                "the launch is recorded, and sent".into(),
                with(&|s| {
                    s.disk = Record::Out;
                    self.send(s);
                }),
            )),
            Some(At::OutRecording) => all.push((
                "the launch is recorded".into(),
                with(&|s| {
                    s.disk = Record::Out;
                    s.edge = Some(At::Out);
                }),
            )),
            Some(At::Out) if state.stood => all.push((
                "the edge proxy hears that it stands".into(),
                with(&|s| {
                    if self.0.answer_recorded_first {
                        s.edge = Some(At::Answering);
                    } else {
                        s.saying += 1;
                        s.edge = Some(At::Said);
                    }
                }),
            )),
            Some(At::Answering) => all.push((
                "the answer is recorded, and said".into(),
                with(&|s| {
                    s.disk = Record::Answered;
                    s.saying += 1;
                    s.edge = Some(At::Done);
                }),
            )),
            Some(At::Said) => all.push((
                "the answer is recorded".into(),
                with(&|s| {
                    s.disk = Record::Answered;
                    s.edge = Some(At::Done);
                }),
            )),
            _ => {}
        }
        if let Some(at) = state.edge.filter(|_| state.kills < self.0.kills) {
            all.push(Self::kill(state, state.disk, ""));
            let writing = match at {
                At::Recording | At::OutRecording => Some(Record::Out),
                At::Answering | At::Said => Some(Record::Answered),
                _ => None,
            };
            all.extend(writing.map(|record| Self::kill(state, record, ", its record was just written")));
        }
        all
    }

    fn wrong(&self, state: &State) -> Option<String> {
        if state.answers + state.saying > 1 {
            return Some("rule 1: a second answer".into());
        }
        state.what.map(String::from)
    }
}
