//! Dialogues that another edge proxy, or a former life of this one, has dealt with before.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_trunk::{DeclineReason, Dial, DialogueEnd, Frame};

use super::{Edge, NO_LAUNCH};
use crate::held::{Deferred, Held, Stage};
use crate::{Decisions, Found, LinkId, Wires};

impl<D: Decisions> Edge<D> {
    /// What `Wires::seek` came to.
    pub fn found(&mut self, now: Duration, id: &DialogueId, found: Found, wires: &mut dyn Wires) {
        self.state.now = now;
        self.expire_deadlines(wires);
        let at = self.state.held.get(id).map(|held| held.at.clone());
        let Some(Stage::Sought(dial)) = at else { return self.settle(wires) };
        let held = self.state.held.get_mut(id).expect("it was looked up");
        let (caller, cut_off) = (held.link, held.cut_off);
        self.state.deadlines.unset(cut_off, id, NO_LAUNCH);
        match found {
            Found::Free { not_before } if not_before > now => {
                held.at = Stage::Barred(dial, not_before);
                self.state.deadlines.set(not_before.min(cut_off), id, NO_LAUNCH);
            }
            Found::Free { .. } => {
                held.at = Stage::Waiting;
                self.decide(&dial, wires);
            }
            Found::Answered(frame) => {
                self.state.counts.recognised += 1;
                let mut hands = self.hands(wires);
                hands.conclude(id);
                hands.say(caller, frame);
            }
            Found::Stands { server, launch } => self.resume_standing(id, caller, server, launch, wires),
            Found::Concluded => {
                let mut hands = self.hands(wires);
                hands.conclude(id);
                hands.state.counts.declined += 1;
                let why = DeclineReason::Concluded;
                hands.say(caller, Frame::Declined { dialogue: id.clone(), why, retry_after: None });
            }
            Found::Unsure { come_back } => self.decline_sought(id, come_back, wires),
        }
        self.settle(wires);
    }

    /// It stands at that server, and goes on here; where the server cannot be reached, it is not taken.
    fn resume_standing(
        &mut self, id: &DialogueId, caller: LinkId, server: ServerId, launch: LaunchNumber,
        wires: &mut dyn Wires,
    ) {
        let Some(link) = self.hands(wires).link_to(&server) else {
            return self.decline_sought(id, None, wires);
        };
        self.state.counts.recognised += 1;
        let mut hands = self.hands(wires);
        hands.mark_standing(id, &server, launch, link);
        hands.say(caller, Frame::Stands { dialogue: id.clone(), server });
    }

    /// What came of a dialogue dialled before cannot be told: it was never taken here.
    pub(super) fn decline_sought(
        &mut self, id: &DialogueId, come_back: Option<Duration>, wires: &mut dyn Wires,
    ) {
        let mut hands = self.hands(wires);
        if let Some(held) = hands.drop_held(id) {
            hands.state.counts.unsure += 1;
            let frame =
                Frame::Declined { dialogue: id.clone(), why: DeclineReason::Unsure, retry_after: come_back };
            hands.say(held.link, frame);
        }
    }

    /// Another edge proxy has this dialogue now: nothing more of it is sent here, and what is out is called off. Mostly its caller has
    /// dialled it again there; one that still waits here hears that it may ask again what came of it.
    pub fn replaced(&mut self, now: Duration, id: &DialogueId, wires: &mut dyn Wires) {
        self.state.now = now;
        self.expire_deadlines(wires);
        let at = self.state.held.get(id).map(|held| held.at.clone());
        let deferred = self.state.pending.drop_of(id);
        let mut waits = match deferred {
            Some(Deferred::Answer { link, .. }) => Some(link),
            _ => None,
        };
        match at {
            None => {}
            Some(at @ (Stage::Standing { .. } | Stage::Releasing { .. })) => {
                self.drop_replaced_standing(id, &at, waits.is_none(), wires);
            }
            Some(at) => {
                self.state.counts.replaced += 1;
                waits = self.drop_unanswered(id, &at, wires);
            }
        }
        if let Some(link) = waits {
            self.state.counts.unsure += 1;
            let frame =
                Frame::Declined { dialogue: id.clone(), why: DeclineReason::Unsure, retry_after: None };
            self.hands(wires).say(link, frame);
        }
        // It is not concluded as far as its caller is concerned, who may yet dial it here again.
        self.state.concluded.remove(id);
        self.settle(wires);
    }

    /// Lets go of one that stood; `told`: its caller has heard so, and hears now that it is cut.
    fn drop_replaced_standing(&mut self, id: &DialogueId, at: &Stage, told: bool, wires: &mut dyn Wires) {
        if let Stage::Releasing { launch, until, .. } = at {
            self.state.deadlines.unset(*until, id, *launch);
        }
        if let Stage::Standing { link, .. } | Stage::Releasing { link, .. } = at
            && let Some(known) = self.state.links.get_mut(link)
        {
            known.dialogues.remove(id);
        }
        self.state.counts.replaced += 1;
        let mut hands = self.hands(wires);
        if let (Some(held), true, Stage::Standing { .. }) = (hands.drop_held(id), told, at) {
            hands.say(held.link, Frame::Over { dialogue: id.clone(), end: DialogueEnd::Cut });
        }
    }

    /// A dialogue that was dialled before is sought no longer, nor barred: its deadline goes.
    pub(super) fn clear_sought_deadline(&mut self, id: &DialogueId, at: &Stage) {
        let Some(held) = self.state.held.get(id) else { return };
        match at {
            Stage::Sought(_) => self.state.deadlines.unset(held.cut_off, id, NO_LAUNCH),
            Stage::Barred(_, until) => self.state.deadlines.unset((*until).min(held.cut_off), id, NO_LAUNCH),
            _ => {}
        }
    }

    /// A dialogue stands at that server already, placed by a former life of this edge proxy: no answer is owed for
    /// it. False: it is not taken, since the server is not known here or too much is held.
    pub fn stands_there(
        &mut self, now: Duration, link: LinkId, dial: &Dial, server: &ServerId, wires: &mut dyn Wires,
    ) -> bool {
        self.state.now = now;
        self.expire_deadlines(wires);
        let id = &dial.dialogue;
        let taken = if self.state.held.contains_key(id) {
            true
        } else if self.state.held.len() < self.state.limits.dialogues
            && let Some(there) = self.hands(wires).link_to(server)
        {
            let at = Stage::Standing { server: server.clone(), launch: LaunchNumber(0), link: there };
            let mut held = Held::of_dial(dial, link, now, at, Vec::new());
            held.launches = 1;
            self.state.held.insert(id.clone(), held);
            let mut hands = self.hands(wires);
            hands.add_to_link(link, id);
            hands.add_to_link(there, id);
            true
        } else {
            false
        };
        self.settle(wires);
        taken
    }
}
