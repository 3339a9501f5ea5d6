//! The calls by which an edge proxy brings its inputs to the decisions. The module is the one that decides in
//! service; baselines stand behind the same calls so that they can be measured beside it.

use std::time::Duration;

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;

pub trait Decisions {
    /// Nothing is launched before.
    fn rest_until(&mut self, until: Duration);
    fn listed(&mut self, now: Duration, whole: bool, entries: &[ListEntry], out: &mut dyn Signalling);
    fn arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling);
    fn left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling);
    fn reported(&mut self, now: Duration, id: &ServerId, report: &LoadReport, out: &mut dyn Signalling);
    fn stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, server: &ServerId,
        out: &mut dyn Signalling,
    );
    fn ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling);
    fn alarm(&mut self, now: Duration, timer: TimerId, out: &mut dyn Signalling);
}

impl Decisions for Brain {
    fn rest_until(&mut self, until: Duration) {
        Self::hold_launches_until(self, until);
    }
    fn listed(&mut self, now: Duration, whole: bool, entries: &[ListEntry], out: &mut dyn Signalling) {
        Self::server_list_received(self, now, whole, entries, out);
    }
    fn arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling) {
        Self::dialogue_arrived(self, now, arrival, out);
    }
    fn left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling) {
        Self::caller_left(self, now, id, out);
    }
    fn reported(&mut self, now: Duration, id: &ServerId, report: &LoadReport, out: &mut dyn Signalling) {
        Self::load_reported(self, now, id, report, out);
    }
    fn stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, server: &ServerId,
        out: &mut dyn Signalling,
    ) {
        Self::dialogue_stands(self, now, id, launch, server, out);
    }
    fn ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling) {
        Self::launch_ended(self, now, end, out);
    }
    fn alarm(&mut self, now: Duration, timer: TimerId, out: &mut dyn Signalling) {
        Self::timer_fired(self, now, timer, out);
    }
}
