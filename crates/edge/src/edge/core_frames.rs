//! Frames of core servers.

use lotussaddle::interface::{DialogueId, LaunchNo, LoadReport, Outcome, ServerId};
use lotussaddle_trunk::{Cause, Extra, Frame, Message};

use super::Edge;
use crate::hands::Hands;
use crate::held::At;
use crate::{Decisions, LinkId, Wires};

impl<D: Decisions> Edge<D> {
    /// False: a frame that a core server does not send.
    pub(super) fn core_said(
        &mut self, link: LinkId, server: &ServerId, frame: Frame, extra: Vec<Extra>, wires: &mut dyn Wires,
    ) -> bool {
        let now = self.state.now;
        match frame {
            Frame::Report { report } => self.reported(server, &report, wires),
            Frame::Stood { dialogue, launch, report } => {
                if self.is_out(&dialogue, launch, link) {
                    let mut hands = Hands { state: &mut self.state, wires };
                    hands.launch_over(&dialogue);
                    hands.state.counts.stood += 1;
                    if let Some(held) = hands.state.held.get_mut(&dialogue) {
                        held.at = At::Standing { server: server.clone(), launch, link };
                        held.extra = Box::default(); // No launch will carry it any more.
                        let caller = (held.link, held.cut_off);
                        if let Some(known) = hands.state.links.get_mut(&link) {
                            known.here.insert(dialogue.clone());
                        }
                        let stands = Frame::Stands { dialogue: dialogue.clone(), server: server.clone() };
                        hands.answer(caller, &dialogue, launch, Message { frame: stands, extra });
                    }
                    self.brain.stands(now, &dialogue, launch, server, &mut hands);
                } else {
                    // It crossed a cancel, or comes twice: unless it is the one that stands, its lines go back.
                    self.state.counts.strays += 1;
                    if !self.is_standing(&dialogue, launch, link) {
                        self.called_off_again(&dialogue, server.clone(), wires);
                        self.hands(wires).say(link, Frame::Release { dialogue, launch });
                    }
                }
                self.reported(server, &report, wires);
            }
            Frame::TurnedBack { dialogue, launch, cause, report } => {
                let outcome = match cause {
                    Cause::Processor => Outcome::TurnedBack,
                    Cause::Lines => Outcome::LinesTaken,
                    Cause::NumberBusy => Outcome::NumberBusy,
                    Cause::Fault => Outcome::Fault,
                };
                self.launch_ended(link, server, &dialogue, launch, outcome, report, wires);
            }
            Frame::BrokenOff { dialogue, launch, report } => {
                self.launch_ended(link, server, &dialogue, launch, Outcome::BrokenOff, report, wires);
            }
            Frame::Ended { dialogue, launch, end, report } => {
                let at = self.state.held.get(&dialogue).map(|held| held.at.clone());
                match at {
                    Some(
                        At::Standing { launch: out, link: over, .. }
                        | At::Releasing { launch: out, link: over, .. },
                    ) if (out, over) == (launch, link) => {
                        self.stood_until_now(&dialogue, launch, server, link, end, report, wires);
                    }
                    _ => {
                        self.launch_ended(link, server, &dialogue, launch, Outcome::BrokenOff, report, wires)
                    }
                }
            }
            _ => return false,
        }
        true
    }

    pub(super) fn reported(&mut self, server: &ServerId, report: &LoadReport, wires: &mut dyn Wires) {
        if *report != LoadReport::default() {
            let mut hands = Hands { state: &mut self.state, wires };
            self.brain.reported(hands.state.now, server, report, &mut hands);
        }
    }

    pub(super) fn is_out(&self, id: &DialogueId, launch: LaunchNo, link: LinkId) -> bool {
        let at = self.state.held.get(id).map(|held| &held.at);
        matches!(at, Some(At::Out { launch: out, link: over, .. }) if (*out, *over) == (launch, Some(link)))
    }

    fn is_standing(&self, id: &DialogueId, launch: LaunchNo, link: LinkId) -> bool {
        let at = self.state.held.get(id).map(|held| &held.at);
        matches!(at, Some(At::Standing { launch: out, link: over, .. }) if (*out, *over) == (launch, link))
    }
}
