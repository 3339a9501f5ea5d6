//! Deadlines: the next time at which something is due, launches that time out, and recovery after a stall.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, LoadReport, Outcome, TimerId};
use lotussaddle_trunk::DialogueEnd;

use super::Edge;
use crate::held::Stage;
use crate::links::{Link, Peer};
use crate::signalling::ModuleSignalling;
use crate::{Decisions, EdgeEffects};

/// Time between two checks of all links for time-outs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

impl<D: Decisions> Edge<D> {
    /// Time at which [`Self::timer_fired`] is to be called next.
    pub fn next_due(&self) -> Duration {
        let numbers = self.numbers.as_ref().and_then(|numbers| numbers.next_due());
        let pending = self.state.deferred.next_deadline();
        let dues =
            [self.state.module_timer, self.state.deadlines.next(), self.next_list_connect, pending, numbers];
        dues.into_iter().flatten().fold(self.next_sweep, Duration::min)
    }

    /// The step for which [`EdgeEffects::record`] returned this number is recorded.
    pub fn step_recorded(&mut self, now: Duration, number: u64, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        // After a stall, expired launches count as timed out and are not sent.
        self.expire_deadlines(effects);
        if let Some((id, deferred)) = self.state.deferred.take(number) {
            self.signalling(effects).resume_deferred(id, deferred, true);
        }
        self.finish_input(effects);
    }

    /// The time returned by [`Self::next_due`] has been reached.
    pub fn timer_fired(&mut self, now: Duration, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        self.expire_deadlines(effects);
        self.process_number_analysis(effects);
        while let Some((id, deferred)) = self.state.deferred.take_overdue(now) {
            self.signalling(effects).resume_deferred(id, deferred, false);
            self.report_launch_ends(effects);
        }
        if self.state.module_timer.is_some_and(|at| at <= now) {
            self.state.module_timer = None;
            let mut signalling = ModuleSignalling { state: &mut self.state, effects };
            self.brain.timer_fired(now, TimerId(0), &mut signalling);
        }
        if self.next_list_connect.is_some_and(|at| at <= now) {
            self.next_list_connect = None;
            let link = effects.connect(&self.list_address);
            self.state.links.insert(link, Link::new(Peer::List, now));
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.check_links(effects);
            self.release_unused_tables(effects);
        }
        self.finish_input(effects);
    }

    /// Handles each launch, look-up and release whose deadline has passed.
    pub(super) fn expire_deadlines(&mut self, effects: &mut dyn EdgeEffects) {
        while let Some((id, launch)) = self.state.deadlines.take_due(self.state.now) {
            self.deadline_passed(&id, launch, effects);
            self.report_launch_ends(effects);
        }
    }

    /// Handles one deadline of a dialogue.
    fn deadline_passed(&mut self, id: &DialogueId, launch: LaunchNumber, effects: &mut dyn EdgeEffects) {
        let Some(held) = self.state.held.get(id) else { return };
        match held.stage.clone() {
            Stage::Launched { server, launch: current, .. } if current == launch => {
                let mut signalling = self.signalling(effects);
                signalling.cancel_launch(id, launch);
                signalling.queue_launch_end(id, launch, &server, Outcome::TimedOut);
            }
            Stage::LookingUpOutcome(_) => self.decline_unresolved(id, None, effects),
            Stage::Blocked(dial, _) => {
                if let Some(held) = self.state.held.get_mut(id) {
                    held.stage = Stage::Waiting;
                }
                self.submit_to_decisions(&dial, effects);
            }
            Stage::Releasing { server, launch: current, link, .. } if current == launch => {
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
