//! Deadlines: when the next one is due, launches that time out, and what a stall left behind.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, LoadReport, Outcome, TimerId};
use lotussaddle_trunk::DialogueEnd;

use super::Edge;
use crate::held::Stage;
use crate::links::{Link, Peer};
use crate::signalling::ModuleSignalling;
use crate::{Decisions, EdgeEffects};

/// How often links are looked at for silence.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

impl<D: Decisions> Edge<D> {
    /// When `alarm` is to be called next.
    pub fn next_due(&self) -> Duration {
        let numbers = self.numbers.as_ref().and_then(|numbers| numbers.next_due());
        let pending = self.state.pending.first();
        let dues = [self.state.alarm, self.state.deadlines.first(), self.list_at, pending, numbers];
        dues.into_iter().flatten().fold(self.sweep_at, Duration::min)
    }

    /// What `EdgeEffects::record` gave this number is remembered.
    pub fn step_recorded(&mut self, now: Duration, number: u64, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        // After a stall, what timed out meanwhile has timed out, and is not sent any more.
        self.expire_deadlines(effects);
        if let Some((id, deferred)) = self.state.pending.take(number) {
            self.signalling(effects).go_on(id, deferred, true);
        }
        self.settle(effects);
    }

    /// The time given by `next_due` has come.
    pub fn timer_fired(&mut self, now: Duration, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        self.expire_deadlines(effects);
        self.numbers_due(effects);
        while let Some((id, deferred)) = self.state.pending.overdue(now) {
            self.signalling(effects).go_on(id, deferred, false);
            self.hand_over_ends(effects);
        }
        if self.state.alarm.is_some_and(|at| at <= now) {
            self.state.alarm = None;
            let mut signalling = ModuleSignalling { state: &mut self.state, effects };
            self.brain.timer_fired(now, TimerId(0), &mut signalling);
        }
        if self.list_at.is_some_and(|at| at <= now) {
            self.list_at = None;
            let link = effects.connect(&self.list);
            self.state.links.insert(link, Link::new(Peer::List, now));
        }
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.sweep(effects);
            self.let_go_of_tables(effects);
        }
        self.settle(effects);
    }

    /// Ends every launch, search and release whose deadline has passed.
    pub(super) fn expire_deadlines(&mut self, effects: &mut dyn EdgeEffects) {
        while let Some((id, launch)) = self.state.deadlines.pop(self.state.now) {
            self.timed_out(&id, launch, effects);
            self.hand_over_ends(effects);
        }
    }

    fn timed_out(&mut self, id: &DialogueId, launch: LaunchNumber, effects: &mut dyn EdgeEffects) {
        let Some(held) = self.state.held.get(id) else { return };
        match held.at.clone() {
            Stage::Out { server, launch: out, .. } if out == launch => {
                let mut signalling = self.signalling(effects);
                signalling.call_off(id, launch);
                signalling.end(id, launch, &server, Outcome::TimedOut);
            }
            Stage::Sought(_) => self.decline_sought(id, None, effects),
            Stage::Barred(dial, _) => {
                if let Some(held) = self.state.held.get_mut(id) {
                    held.at = Stage::Waiting;
                }
                self.decide(&dial, effects);
            }
            Stage::Releasing { server, launch: out, link, .. } if out == launch => {
                self.standing_ended(
                    id,
                    launch,
                    &server,
                    link,
                    DialogueEnd::Released,
                    LoadReport::default(),
                    effects,
                );
            }
            _ => {}
        }
    }
}
