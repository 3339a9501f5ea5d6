//! The calls by which an edge proxy brings its inputs to the decisions. The module is the one that decides in
//! service; baselines stand behind the same calls so that they can be measured beside it.

use std::time::Duration;

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;

pub trait Decisions {
    /// Nothing is launched before.
    fn hold_launches_until(&mut self, until: Duration);
    fn server_list_received(
        &mut self, now: Duration, whole: bool, entries: &[ListEntry], out: &mut dyn Signalling,
    );
    fn dialogue_arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling);
    fn caller_left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling);
    fn load_reported(&mut self, now: Duration, id: &ServerId, report: &LoadReport, out: &mut dyn Signalling);
    fn dialogue_stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, server: &ServerId,
        out: &mut dyn Signalling,
    );
    fn launch_ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling);
    fn timer_fired(&mut self, now: Duration, timer: TimerId, out: &mut dyn Signalling);
}

impl Decisions for Brain {
    fn hold_launches_until(&mut self, until: Duration) {
        Self::hold_launches_until(self, until);
    }
    fn server_list_received(
        &mut self, now: Duration, whole: bool, entries: &[ListEntry], out: &mut dyn Signalling,
    ) {
        Self::server_list_received(self, now, whole, entries, out);
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
