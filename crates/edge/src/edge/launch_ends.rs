//! Ends of launches and of dialogues that stand, as core servers and the shell tell them.

use std::time::Duration;

use lotussaddle::interface::{
    DialogueId, LaunchEnd, LaunchNumber, LoadReport, Outcome, ServerId, Signalling,
};
use lotussaddle_trunk::{DialogueEnd, Frame};

use super::Edge;
use crate::hands::Hands;
use crate::held::Stage;
use crate::{Decisions, LinkId, Step, Wires};

impl<D: Decisions> Edge<D> {
    /// A launch on this link has ended with this outcome, which no frame tells.
    #[expect(clippy::too_many_arguments)]
    pub fn launch_came_to(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, launch: LaunchNumber, outcome: Outcome,
        report: LoadReport, wires: &mut dyn Wires,
    ) {
        self.state.now = now;
        self.expire_deadlines(wires);
        if let Some(server) = self.server_of(link) {
            self.launch_ended(link, &server, id, launch, outcome, report, wires);
        }
        self.settle(wires);
    }

    /// A launch on this link is over that has stood, or may have, though no answer came: its end is owed to the caller. What
    /// was wanted has been, so nothing is launched again, and the caller hears now that it has failed.
    ///
    /// `launch` is the one that is out there. None: the end came of a former launch, which timed out, was called off or
    /// lost its connection before; whatever is out by now is called off.
    #[expect(clippy::too_many_arguments)]
    pub fn over_unheard(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, launch: Option<LaunchNumber>,
        end: DialogueEnd, report: LoadReport, wires: &mut dyn Wires,
    ) {
        self.state.now = now;
        self.expire_deadlines(wires);
        let Some(server) = self.server_of(link) else { return self.settle(wires) };
        let out = launch.filter(|launch| self.is_out(id, *launch, link));
        if let Some(launch) = out {
            let mut hands = Hands { state: &mut self.state, wires };
            hands.launch_over(id);
            hands.fail(id);
            let outcome = if end == DialogueEnd::Cut { Outcome::BrokenOff } else { Outcome::Ended };
            let end = LaunchEnd { dialogue: id.clone(), launch, server, outcome, closed: true, report };
            self.brain.ended(now, end, &mut hands);
        } else {
            if self.has_former_launch(id) {
                let mut hands = Hands { state: &mut self.state, wires };
                self.brain.left(now, id, &mut hands);
                hands.fail(id);
            }
            self.state.counts.strays += 1;
            self.reported(&server, &report, wires);
        }
        self.settle(wires);
    }

    /// A launch on this link has answered after it was called off: its server had not read that yet. The release time of a
    /// dialogue that waits for its next launch counts from now on.
    pub fn stood_after_give_up(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, wires: &mut dyn Wires,
    ) {
        self.state.now = now;
        self.expire_deadlines(wires);
        if let Some(server) = self.server_of(link) {
            self.called_off_again(id, server, wires);
        }
        self.settle(wires);
    }

    /// Tells the module, and whoever keeps a copy of the dialogue, that its last launch was out until now.
    pub(super) fn called_off_again(&mut self, id: &DialogueId, server: ServerId, wires: &mut dyn Wires) {
        let Some(held) = self.state.held.get(id) else { return };
        if !matches!(held.at, Stage::Waiting) || held.launches == 0 {
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
        let mut hands = Hands { state: &mut self.state, wires };
        hands.back(id, true);
        self.brain.ended(hands.state.now, end, &mut hands);
    }

    /// Whether a dialogue that has no answer yet had a launch that is not out any more.
    pub fn has_former_launch(&self, id: &DialogueId) -> bool {
        self.state.held.get(id).is_some_and(|held| match held.at {
            Stage::Waiting => held.launches > 0,
            Stage::Out { .. } => held.launches > 1,
            _ => false,
        })
    }

    /// A dialogue that stands, or is being released, at this link's server is over, whichever launch of it that was.
    /// False: none is held there.
    pub fn over(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, end: DialogueEnd, report: LoadReport,
        wires: &mut dyn Wires,
    ) -> bool {
        self.state.now = now;
        self.expire_deadlines(wires);
        let at = self.state.held.get(id).map(|held| &held.at);
        let launch = match at {
            Some(
                Stage::Standing { launch, link: over, .. } | Stage::Releasing { launch, link: over, .. },
            ) if *over == link => *launch,
            _ => return false,
        };
        if let Some(server) = self.server_of(link) {
            self.standing_ended(id, launch, &server, link, end, report, wires);
        }
        self.settle(wires);
        true
    }

    #[expect(clippy::too_many_arguments)]
    pub(super) fn launch_ended(
        &mut self, link: LinkId, server: &ServerId, id: &DialogueId, launch: LaunchNumber, outcome: Outcome,
        report: LoadReport, wires: &mut dyn Wires,
    ) {
        if !self.is_out(id, launch, link) {
            self.state.counts.strays += 1;
            return self.reported(server, &report, wires);
        }
        let mut hands = Hands { state: &mut self.state, wires };
        hands.launch_over(id);
        hands.back(id, matches!(outcome, Outcome::BrokenOff | Outcome::TimedOut | Outcome::Cancelled));
        let end = LaunchEnd {
            dialogue: id.clone(),
            launch,
            server: server.clone(),
            outcome,
            closed: false,
            report,
        };
        self.brain.ended(hands.state.now, end, &mut hands);
    }

    /// A dialogue that stood is over, by its caller's release or without.
    #[expect(clippy::too_many_arguments)]
    pub(super) fn standing_ended(
        &mut self, id: &DialogueId, launch: LaunchNumber, server: &ServerId, link: LinkId, end: DialogueEnd,
        report: LoadReport, wires: &mut dyn Wires,
    ) {
        let mut hands = Hands { state: &mut self.state, wires };
        if let Some(known) = hands.state.links.get_mut(&link) {
            known.dialogues.remove(id);
        }
        let at = hands.state.held.get(id).map(|held| held.at.clone());
        match at {
            Some(Stage::Releasing { until, .. }) => {
                hands.state.deadlines.unset(until, id, launch);
                hands.conclude(id);
                hands.wires.record(id, Step::Over);
            }
            Some(Stage::Standing { .. }) if end == DialogueEnd::Cut => hands.cut(id),
            Some(Stage::Standing { .. }) => {
                if let Some((caller, _)) = hands.conclude(id) {
                    hands.wires.record(id, Step::Over);
                    hands.flush(id);
                    hands.say(caller, Frame::Over { dialogue: id.clone(), end });
                }
            }
            _ => return,
        }
        let outcome = if end == DialogueEnd::Cut { Outcome::BrokenOff } else { Outcome::Ended };
        let end =
            LaunchEnd { dialogue: id.clone(), launch, server: server.clone(), outcome, closed: true, report };
        self.brain.ended(hands.state.now, end, &mut hands);
    }
}
