//! Ends of launches and of standing dialogues, as reported by core servers and the I/O driver.

use std::time::Duration;

use lotussaddle::interface::{
    DialogueId, LaunchEnd, LaunchNumber, LoadReport, Outcome, ServerId, Signalling,
};
use lotussaddle_trunk::{DialogueEnd, Frame};

use super::Edge;
use crate::held::Stage;
use crate::signalling::ModuleSignalling;
use crate::{Decisions, DialogueStep, EdgeEffects, LinkId};

impl<D: Decisions> Edge<D> {
    /// A launch on this link has ended with an outcome that no frame reports.
    #[expect(clippy::too_many_arguments)]
    pub fn launch_outcome_reported(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, launch: LaunchNumber, outcome: Outcome,
        report: LoadReport, effects: &mut dyn EdgeEffects,
    ) {
        self.state.now = now;
        self.expire_deadlines(effects);
        if let Some(server) = self.server_of_link(link) {
            self.launch_ended(link, &server, id, launch, outcome, report, effects);
        }
        self.finish_input(effects);
    }

    /// A launch on this link has ended that stood, or may have stood, without an answer, so the caller must be
    /// notified. The dialogue is not launched again, since it may have taken place; the caller is notified that it
    /// failed.
    ///
    /// `launch` is the launch in progress. `None` means the end of a previous launch, which had timed out, was cancelled or
    /// lost its connection; a launch in progress is then cancelled.
    #[expect(clippy::too_many_arguments)]
    pub fn unanswered_launch_ended(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, launch: Option<LaunchNumber>,
        end: DialogueEnd, report: LoadReport, effects: &mut dyn EdgeEffects,
    ) {
        self.state.now = now;
        self.expire_deadlines(effects);
        let Some(server) = self.server_of_link(link) else { return self.finish_input(effects) };
        let in_progress = launch.filter(|launch| self.is_launched(id, *launch, link));
        if let Some(launch) = in_progress {
            let mut signalling = ModuleSignalling { state: &mut self.state, effects };
            signalling.clear_launch(id);
            signalling.fail(id);
            let outcome = if end == DialogueEnd::Cut { Outcome::BrokenOff } else { Outcome::Ended };
            let end = LaunchEnd { dialogue: id.clone(), launch, server, outcome, closed: true, report };
            self.brain.launch_ended(now, end, &mut signalling);
        } else {
            if self.has_previous_launch(id) {
                let mut signalling = ModuleSignalling { state: &mut self.state, effects };
                self.brain.caller_left(now, id, &mut signalling);
                signalling.fail(id);
            }
            self.state.counts.strays += 1;
            self.load_reported(&server, &report, effects);
        }
        self.finish_input(effects);
    }

    /// A launch on this link was answered after its cancellation, because the server had not yet read the cancel. The
    /// release time of a dialogue that waits for its next launch restarts now.
    pub fn stood_after_cancel(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, effects: &mut dyn EdgeEffects,
    ) {
        self.state.now = now;
        self.expire_deadlines(effects);
        if let Some(server) = self.server_of_link(link) {
            self.restart_release_time(id, server, effects);
        }
        self.finish_input(effects);
    }

    /// Reports the last launch of a waiting dialogue as cancelled at the current time, to the decisions and the
    /// replicas, so that its release time starts again.
    pub(super) fn restart_release_time(
        &mut self, id: &DialogueId, server: ServerId, effects: &mut dyn EdgeEffects,
    ) {
        let Some(held) = self.state.held.get(id) else { return };
        if !matches!(held.stage, Stage::Waiting) || held.launches == 0 {
            return;
        }
        let end = LaunchEnd {
            dialogue: id.clone(),
            launch: LaunchNumber(held.launches - 1),
            server,
            outcome: Outcome::Cancelled,
            closed: false,
            report: LoadReport::default(),
        };
        let mut signalling = ModuleSignalling { state: &mut self.state, effects };
        signalling.record_launch_returned(id, true);
        self.brain.launch_ended(signalling.state.now, end, &mut signalling);
    }

    /// Whether a dialogue without an answer had a launch that is no longer in progress.
    pub fn has_previous_launch(&self, id: &DialogueId) -> bool {
        self.state.held.get(id).is_some_and(|held| match held.stage {
            Stage::Waiting => held.launches > 0,
            Stage::Launched { .. } => held.launches > 1,
            _ => false,
        })
    }

    /// A dialogue that stands, or is being released, at this link's server has ended, whichever launch it came from.
    /// Returns false if no such dialogue is held.
    pub fn standing_dialogue_ended(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, end: DialogueEnd, report: LoadReport,
        effects: &mut dyn EdgeEffects,
    ) -> bool {
        self.state.now = now;
        self.expire_deadlines(effects);
        let stage = self.state.held.get(id).map(|held| &held.stage);
        let launch = match stage {
            Some(
                Stage::Standing { launch, link: sent_on, .. }
                | Stage::Releasing { launch, link: sent_on, .. },
            ) if *sent_on == link => *launch,
            _ => return false,
        };
        if let Some(server) = self.server_of_link(link) {
            self.standing_ended(id, launch, &server, link, end, report, effects);
        }
        self.finish_input(effects);
        true
    }

    #[expect(clippy::too_many_arguments)]
    pub(super) fn launch_ended(
        &mut self, link: LinkId, server: &ServerId, id: &DialogueId, launch: LaunchNumber, outcome: Outcome,
        report: LoadReport, effects: &mut dyn EdgeEffects,
    ) {
        if !self.is_launched(id, launch, link) {
            self.state.counts.strays += 1;
            return self.load_reported(server, &report, effects);
        }
        let mut signalling = ModuleSignalling { state: &mut self.state, effects };
        signalling.clear_launch(id);
        signalling.record_launch_returned(
            id,
            matches!(outcome, Outcome::BrokenOff | Outcome::TimedOut | Outcome::Cancelled),
        );
        let end = LaunchEnd {
            dialogue: id.clone(),
            launch,
            server: server.clone(),
            outcome,
            closed: false,
            report,
        };
        self.brain.launch_ended(signalling.state.now, end, &mut signalling);
    }

    /// Ends a dialogue that stood, whether or not its caller released it.
    #[expect(clippy::too_many_arguments)]
    pub(super) fn standing_ended(
        &mut self, id: &DialogueId, launch: LaunchNumber, server: &ServerId, link: LinkId, end: DialogueEnd,
        report: LoadReport, effects: &mut dyn EdgeEffects,
    ) {
        let mut signalling = ModuleSignalling { state: &mut self.state, effects };
        if let Some(known) = signalling.state.links.get_mut(&link) {
            known.dialogues.remove(id);
        }
        let stage = signalling.state.held.get(id).map(|held| held.stage.clone());
        match stage {
            Some(Stage::Releasing { until, .. }) => {
                signalling.state.deadlines.clear(until, id, launch);
                signalling.conclude(id);
                signalling.effects.record(id, DialogueStep::Ended);
            }
            Some(Stage::Standing { .. }) if end == DialogueEnd::Cut => signalling.cut_standing(id),
            Some(Stage::Standing { .. }) => {
                if let Some((caller, _)) = signalling.conclude(id) {
                    signalling.effects.record(id, DialogueStep::Ended);
                    signalling.send_pending_answer(id);
                    signalling.send_frame(caller, Frame::Over { dialogue: id.clone(), end });
                }
            }
            _ => return,
        }
        let outcome = if end == DialogueEnd::Cut { Outcome::BrokenOff } else { Outcome::Ended };
        let end =
            LaunchEnd { dialogue: id.clone(), launch, server: server.clone(), outcome, closed: true, report };
        self.brain.launch_ended(signalling.state.now, end, &mut signalling);
    }
}
