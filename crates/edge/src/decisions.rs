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
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNo, server: &ServerId,
        out: &mut dyn Signalling,
    );
    fn ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling);
    fn alarm(&mut self, now: Duration, timer: TimerId, out: &mut dyn Signalling);
}

impl Decisions for Brain {
    fn rest_until(&mut self, until: Duration) {
        Self::rest_until(self, until);
    }
    fn listed(&mut self, now: Duration, whole: bool, entries: &[ListEntry], out: &mut dyn Signalling) {
        Self::listed(self, now, whole, entries, out);
    }
    fn arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling) {
        Self::arrived(self, now, arrival, out);
    }
    fn left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling) {
        Self::left(self, now, id, out);
    }
    fn reported(&mut self, now: Duration, id: &ServerId, report: &LoadReport, out: &mut dyn Signalling) {
        Self::reported(self, now, id, report, out);
    }
    fn stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNo, server: &ServerId,
        out: &mut dyn Signalling,
    ) {
        Self::stands(self, now, id, launch, server, out);
    }
    fn ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling) {
        Self::ended(self, now, end, out);
    }
    fn alarm(&mut self, now: Duration, timer: TimerId, out: &mut dyn Signalling) {
        Self::alarm(self, now, timer, out);
    }
}
