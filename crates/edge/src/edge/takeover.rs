//! Dialogues that another edge proxy, or a previous incarnation of this one, handled before.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_trunk::{DeclineReason, Dial, DialogueEnd, Frame};

use super::{Edge, NO_LAUNCH};
use crate::held::{Deferred, HeldDialogue, Stage};
use crate::{Decisions, EdgeEffects, LinkId, PriorOutcome};

impl<D: Decisions> Edge<D> {
    /// Result of [`EdgeEffects::look_up_dialogue`].
    pub fn prior_outcome_found(
        &mut self, now: Duration, id: &DialogueId, outcome: PriorOutcome, effects: &mut dyn EdgeEffects,
    ) {
        self.state.now = now;
        self.expire_deadlines(effects);
        let stage = self.state.held.get(id).map(|held| held.stage.clone());
        let Some(Stage::LookingUpOutcome(dial)) = stage else { return self.finish_input(effects) };
        let held = self.state.held.get_mut(id).expect("it was found above");
        let (caller, cut_off) = (held.caller_link, held.cut_off);
        self.state.deadlines.clear(cut_off, id, NO_LAUNCH);
        match outcome {
            PriorOutcome::Free { launch_not_before } if launch_not_before > now => {
                held.stage = Stage::Blocked(dial, launch_not_before);
                self.state.deadlines.set(launch_not_before.min(cut_off), id, NO_LAUNCH);
            }
            PriorOutcome::Free { .. } => {
                held.stage = Stage::Waiting;
                self.submit_to_decisions(&dial, effects);
            }
            PriorOutcome::Answered(frame) => {
                self.state.counts.recognised += 1;
                let mut signalling = self.signalling(effects);
                signalling.conclude(id);
                signalling.send_frame(caller, frame);
            }
            PriorOutcome::Stands { server, launch } => {
                self.resume_standing(id, caller, server, launch, effects)
            }
            PriorOutcome::Concluded => {
                let mut signalling = self.signalling(effects);
                signalling.conclude(id);
                signalling.state.counts.declined += 1;
                let why = DeclineReason::Concluded;
                signalling
                    .send_frame(caller, Frame::Declined { dialogue: id.clone(), why, retry_after: None });
            }
            PriorOutcome::Unresolved { retry_after } => self.decline_unresolved(id, retry_after, effects),
        }
        self.finish_input(effects);
    }

    /// Resumes a dialogue that stands at this server, or declines it if the server cannot be reached.
    fn resume_standing(
        &mut self, id: &DialogueId, caller: LinkId, server: ServerId, launch: LaunchNumber,
        effects: &mut dyn EdgeEffects,
    ) {
        let Some(link) = self.signalling(effects).link_to_core(&server) else {
            return self.decline_unresolved(id, None, effects);
        };
        self.state.counts.recognised += 1;
        let mut signalling = self.signalling(effects);
        signalling.mark_standing(id, &server, launch, link);
        signalling.send_frame(caller, Frame::Stands { dialogue: id.clone(), server });
    }

    /// Declines a dialogue dialled before whose outcome stayed unknown; it was never accepted here.
    pub(super) fn decline_unresolved(
        &mut self, id: &DialogueId, retry_after: Option<Duration>, effects: &mut dyn EdgeEffects,
    ) {
        let mut signalling = self.signalling(effects);
        if let Some(held) = signalling.remove_held(id) {
            signalling.state.counts.unsure += 1;
            let frame = Frame::Declined { dialogue: id.clone(), why: DeclineReason::Unsure, retry_after };
            signalling.send_frame(held.caller_link, frame);
        }
    }

    /// Another edge proxy owns this dialogue now: its launch is cancelled, and nothing more of it is sent. Usually
    /// its caller has dialled it again there; a caller still waiting at this edge proxy is notified that it may ask
    /// again for the outcome.
    pub fn dialogue_replaced(&mut self, now: Duration, id: &DialogueId, effects: &mut dyn EdgeEffects) {
        self.state.now = now;
        self.expire_deadlines(effects);
        let stage = self.state.held.get(id).map(|held| held.stage.clone());
        let deferred = self.state.deferred.remove_dialogue(id);
        let mut waiting_link = match deferred {
            Some(Deferred::Answer { link, .. }) => Some(link),
            _ => None,
        };
        match stage {
            None => {}
            Some(stage @ (Stage::Standing { .. } | Stage::Releasing { .. })) => {
                self.drop_replaced_standing(id, &stage, waiting_link.is_none(), effects);
            }
            Some(stage) => {
                self.state.counts.replaced += 1;
                waiting_link = self.withdraw_unanswered(id, &stage, effects);
            }
        }
        if let Some(link) = waiting_link {
            self.state.counts.unsure += 1;
            let frame =
                Frame::Declined { dialogue: id.clone(), why: DeclineReason::Unsure, retry_after: None };
            self.signalling(effects).send_frame(link, frame);
        }
        // The dialogue is not concluded for its caller, who may dial it again at this edge proxy.
        self.state.concluded.remove(id);
        self.finish_input(effects);
    }

    /// Drops a standing dialogue. If its caller was notified that it stands, it is notified now that it is cut.
    fn drop_replaced_standing(
        &mut self, id: &DialogueId, stage: &Stage, caller_notified: bool, effects: &mut dyn EdgeEffects,
    ) {
        if let Stage::Releasing { launch, until, .. } = stage {
            self.state.deadlines.clear(*until, id, *launch);
        }
        if let Stage::Standing { link, .. } | Stage::Releasing { link, .. } = stage
            && let Some(known) = self.state.links.get_mut(link)
        {
            known.dialogues.remove(id);
        }
        self.state.counts.replaced += 1;
        let mut signalling = self.signalling(effects);
        if let (Some(held), true, Stage::Standing { .. }) =
            (signalling.remove_held(id), caller_notified, stage)
        {
            signalling
                .send_frame(held.caller_link, Frame::Over { dialogue: id.clone(), end: DialogueEnd::Cut });
        }
    }

    /// Clears the deadline of a dialogue whose outcome is looked up, or which is blocked.
    pub(super) fn clear_outcome_deadline(&mut self, id: &DialogueId, stage: &Stage) {
        let Some(held) = self.state.held.get(id) else { return };
        match stage {
            Stage::LookingUpOutcome(_) => self.state.deadlines.clear(held.cut_off, id, NO_LAUNCH),
            Stage::Blocked(_, until) => self.state.deadlines.clear((*until).min(held.cut_off), id, NO_LAUNCH),
            _ => {}
        }
    }

    /// Adopts a dialogue that a previous incarnation of this edge proxy set up at this server; no answer is owed for it.
    /// Returns false if the server is unknown or the maximum number of dialogues is held.
    pub fn adopt_standing(
        &mut self, now: Duration, link: LinkId, dial: &Dial, server: &ServerId, effects: &mut dyn EdgeEffects,
    ) -> bool {
        self.state.now = now;
        self.expire_deadlines(effects);
        let id = &dial.dialogue;
        let adopted = if self.state.held.contains_key(id) {
            true
        } else if self.state.held.len() < self.state.limits.max_dialogues
            && let Some(core_link) = self.signalling(effects).link_to_core(server)
        {
            let stage = Stage::Standing { server: server.clone(), launch: LaunchNumber(0), link: core_link };
            let mut held = HeldDialogue::from_dial(dial, link, now, stage, Vec::new());
            held.launches = 1;
            self.state.held.insert(id.clone(), held);
            let mut signalling = self.signalling(effects);
            signalling.add_dialogue_to_link(link, id);
            signalling.add_dialogue_to_link(core_link, id);
            true
        } else {
            false
        };
        self.finish_input(effects);
        adopted
    }
}
