//! Frames received from core servers.

use lotussaddle::interface::{DialogueId, LaunchNumber, LoadReport, Outcome, ServerId};
use lotussaddle_trunk::{Extra, Frame, Message, TurnBackCause};

use super::Edge;
use crate::held::Stage;
use crate::signalling::ModuleSignalling;
use crate::{Decisions, EdgeEffects, LinkId};

impl<D: Decisions> Edge<D> {
    /// Handles a frame of a core server. Returns false for a frame that core servers do not send.
    pub(super) fn core_frame_received(
        &mut self, link: LinkId, server: &ServerId, frame: Frame, extra: Vec<Extra>,
        effects: &mut dyn EdgeEffects,
    ) -> bool {
        match frame {
            Frame::Report { report } => self.load_reported(server, &report, effects),
            Frame::Stood { dialogue, launch, report } => {
                self.launch_stood(link, server, dialogue, launch, extra, effects);
                self.load_reported(server, &report, effects);
            }
            Frame::TurnedBack { dialogue, launch, cause, report } => {
                let outcome = match cause {
                    TurnBackCause::Processor => Outcome::TurnedBack,
                    TurnBackCause::Lines => Outcome::NoFreeLine,
                    TurnBackCause::NumberBusy => Outcome::NumberBusy,
                    TurnBackCause::Fault => Outcome::Fault,
                };
                self.launch_ended(link, server, &dialogue, launch, outcome, report, effects);
            }
            Frame::BrokenOff { dialogue, launch, report } => {
                self.launch_ended(link, server, &dialogue, launch, Outcome::BrokenOff, report, effects);
            }
            Frame::Ended { dialogue, launch, end, report } => {
                if self.is_standing_or_releasing(&dialogue, launch, link) {
                    self.standing_ended(&dialogue, launch, server, link, end, report, effects);
                } else {
                    self.launch_ended(link, server, &dialogue, launch, Outcome::BrokenOff, report, effects);
                }
            }
            _ => return false,
        }
        true
    }

    /// A core server reports that a launch stands.
    fn launch_stood(
        &mut self, link: LinkId, server: &ServerId, dialogue: DialogueId, launch: LaunchNumber,
        extra: Vec<Extra>, effects: &mut dyn EdgeEffects,
    ) {
        if !self.is_launched(&dialogue, launch, link) {
            // The answer crossed a cancel or is a duplicate: unless this launch is the standing one, its lines are released.
            self.state.counts.strays += 1;
            if !self.is_standing(&dialogue, launch, link) {
                self.restart_release_time(&dialogue, server.clone(), effects);
                self.signalling(effects).send_frame(link, Frame::Release { dialogue, launch });
            }
            return;
        }
        let mut signalling = ModuleSignalling { state: &mut self.state, effects };
        signalling.clear_launch(&dialogue);
        signalling.state.counts.stood += 1;
        if let Some(caller) = signalling.mark_standing(&dialogue, server, launch, link) {
            let stands = Frame::Stands { dialogue: dialogue.clone(), server: server.clone() };
            signalling.send_final_answer(caller, &dialogue, launch, Message { frame: stands, extra });
        }
        self.brain.dialogue_stands(signalling.state.now, &dialogue, launch, server, &mut signalling);
    }

    /// Passes a load report to the decisions, unless it is empty.
    pub(super) fn load_reported(
        &mut self, server: &ServerId, report: &LoadReport, effects: &mut dyn EdgeEffects,
    ) {
        if *report != LoadReport::default() {
            let mut signalling = ModuleSignalling { state: &mut self.state, effects };
            self.brain.load_reported(signalling.state.now, server, report, &mut signalling);
        }
    }

    /// Whether this launch is in progress on this link.
    pub(super) fn is_launched(&self, id: &DialogueId, launch: LaunchNumber, link: LinkId) -> bool {
        let stage = self.state.held.get(id).map(|held| &held.stage);
        matches!(stage, Some(Stage::Launched { launch: current, link: sent_on, .. }) if (*current, *sent_on) == (launch, Some(link)))
    }

    fn is_standing_or_releasing(&self, id: &DialogueId, launch: LaunchNumber, link: LinkId) -> bool {
        match self.state.held.get(id).map(|held| &held.stage) {
            Some(
                Stage::Standing { launch: current, link: sent_on, .. }
                | Stage::Releasing { launch: current, link: sent_on, .. },
            ) => (*current, *sent_on) == (launch, link),
            _ => false,
        }
    }

    fn is_standing(&self, id: &DialogueId, launch: LaunchNumber, link: LinkId) -> bool {
        let stage = self.state.held.get(id).map(|held| &held.stage);
        matches!(stage, Some(Stage::Standing { launch: current, link: sent_on, .. }) if (*current, *sent_on) == (launch, link))
    }
}
