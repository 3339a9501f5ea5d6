//! Frames of core servers.

use lotussaddle::interface::{DialogueId, LaunchNumber, LoadReport, Outcome, ServerId};
use lotussaddle_trunk::{Extra, Frame, Message, TurnBackCause};

use super::Edge;
use crate::hands::Hands;
use crate::held::Stage;
use crate::{Decisions, LinkId, Wires};

impl<D: Decisions> Edge<D> {
    /// False: a frame that a core server does not send.
    pub(super) fn core_frame(
        &mut self, link: LinkId, server: &ServerId, frame: Frame, extra: Vec<Extra>, wires: &mut dyn Wires,
    ) -> bool {
        match frame {
            Frame::Report { report } => self.reported(server, &report, wires),
            Frame::Stood { dialogue, launch, report } => {
                self.launch_stood(link, server, dialogue, launch, extra, wires);
                self.reported(server, &report, wires);
            }
            Frame::TurnedBack { dialogue, launch, cause, report } => {
                let outcome = match cause {
                    TurnBackCause::Processor => Outcome::TurnedBack,
                    TurnBackCause::Lines => Outcome::NoFreeLine,
                    TurnBackCause::NumberBusy => Outcome::NumberBusy,
                    TurnBackCause::Fault => Outcome::Fault,
                };
                self.launch_ended(link, server, &dialogue, launch, outcome, report, wires);
            }
            Frame::BrokenOff { dialogue, launch, report } => {
                self.launch_ended(link, server, &dialogue, launch, Outcome::BrokenOff, report, wires);
            }
            Frame::Ended { dialogue, launch, end, report } => {
                if self.is_standing_or_releasing(&dialogue, launch, link) {
                    self.standing_ended(&dialogue, launch, server, link, end, report, wires);
                } else {
                    self.launch_ended(link, server, &dialogue, launch, Outcome::BrokenOff, report, wires);
                }
            }
            _ => return false,
        }
        true
    }

    /// A server says that a launch stands.
    fn launch_stood(
        &mut self, link: LinkId, server: &ServerId, dialogue: DialogueId, launch: LaunchNumber,
        extra: Vec<Extra>, wires: &mut dyn Wires,
    ) {
        if !self.is_out(&dialogue, launch, link) {
            // It crossed a cancel, or comes twice: unless it is the one that stands, its lines go back.
            self.state.counts.strays += 1;
            if !self.is_standing(&dialogue, launch, link) {
                self.called_off_again(&dialogue, server.clone(), wires);
                self.hands(wires).say(link, Frame::Release { dialogue, launch });
            }
            return;
        }
        let mut hands = Hands { state: &mut self.state, wires };
        hands.launch_over(&dialogue);
        hands.state.counts.stood += 1;
        if let Some(caller) = hands.mark_standing(&dialogue, server, launch, link) {
            let stands = Frame::Stands { dialogue: dialogue.clone(), server: server.clone() };
            hands.answer(caller, &dialogue, launch, Message { frame: stands, extra });
        }
        self.brain.stands(hands.state.now, &dialogue, launch, server, &mut hands);
    }

    pub(super) fn reported(&mut self, server: &ServerId, report: &LoadReport, wires: &mut dyn Wires) {
        if *report != LoadReport::default() {
            let mut hands = Hands { state: &mut self.state, wires };
            self.brain.reported(hands.state.now, server, report, &mut hands);
        }
    }

    pub(super) fn is_out(&self, id: &DialogueId, launch: LaunchNumber, link: LinkId) -> bool {
        let at = self.state.held.get(id).map(|held| &held.at);
        matches!(at, Some(Stage::Out { launch: out, link: over, .. }) if (*out, *over) == (launch, Some(link)))
    }

    fn is_standing_or_releasing(&self, id: &DialogueId, launch: LaunchNumber, link: LinkId) -> bool {
        match self.state.held.get(id).map(|held| &held.at) {
            Some(
                Stage::Standing { launch: out, link: over, .. }
                | Stage::Releasing { launch: out, link: over, .. },
            ) => (*out, *over) == (launch, link),
            _ => false,
        }
    }

    fn is_standing(&self, id: &DialogueId, launch: LaunchNumber, link: LinkId) -> bool {
        let at = self.state.held.get(id).map(|held| &held.at);
        matches!(at, Some(Stage::Standing { launch: out, link: over, .. }) if (*out, *over) == (launch, link))
    }
}
