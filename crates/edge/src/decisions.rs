//! Interface between an edge proxy and its decisions. The decision module implements it for service; baselines
//! implement it so that they can be compared with the module.

use std::time::Duration;

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;

/// Inputs of the decisions of an edge proxy. Their effects go to `out`.
pub trait Decisions {
    /// Forbids launches before `until`.
    fn hold_launches_until(&mut self, until: Duration);
    /// The pool list has sent all entries (`is_complete`) or only the changed ones.
    fn server_list_received(
        &mut self, now: Duration, is_complete: bool, entries: &[ListEntry], out: &mut dyn Signalling,
    );
    /// A dialogue was dialled.
    fn dialogue_arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling);
    /// The caller gave up a dialogue that has no final answer.
    fn caller_left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling);
    /// A core server has reported its load.
    fn load_reported(&mut self, now: Duration, id: &ServerId, report: &LoadReport, out: &mut dyn Signalling);
    /// A launch was set up, and its dialogue stands.
    fn dialogue_stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, server: &ServerId,
        out: &mut dyn Signalling,
    );
    /// A launch, or a dialogue that stood, has ended.
    fn launch_ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling);
    /// A timer set by the decisions has expired.
    fn timer_fired(&mut self, now: Duration, timer: TimerId, out: &mut dyn Signalling);
}

impl Decisions for Brain {
    fn hold_launches_until(&mut self, until: Duration) {
        Self::hold_launches_until(self, until);
    }
    fn server_list_received(
        &mut self, now: Duration, is_complete: bool, entries: &[ListEntry], out: &mut dyn Signalling,
    ) {
        Self::server_list_received(self, now, is_complete, entries, out);
    }
    fn dialogue_arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling) {
        Self::dialogue_arrived(self, now, arrival, out);
    }
    fn caller_left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling) {
        Self::caller_left(self, now, id, out);
    }
    fn load_reported(&mut self, now: Duration, id: &ServerId, report: &LoadReport, out: &mut dyn Signalling) {
        Self::load_reported(self, now, id, report, out);
    }
    fn dialogue_stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, server: &ServerId,
        out: &mut dyn Signalling,
    ) {
        Self::dialogue_stands(self, now, id, launch, server, out);
    }
    fn launch_ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling) {
        Self::launch_ended(self, now, end, out);
    }
    fn timer_fired(&mut self, now: Duration, timer: TimerId, out: &mut dyn Signalling) {
        Self::timer_fired(self, now, timer, out);
    }
}
