//! Dials of callers, and dialogues that their callers give up.

use std::time::Duration;

use lotussaddle::interface::{Arrival, DialogueId, ProductId, TenantId};
use lotussaddle_trunk::{DeclineReason, Dial, Extra, Frame};

use super::{Edge, NO_LAUNCH};
use crate::held::{HeldDialogue, Stage};
use crate::links::{Link, Peer};
use crate::signalling::ModuleSignalling;
use crate::{Decisions, DialogueStep, EdgeEffects, LinkId};

/// Maximum number of lines of one dialogue.
const MAX_WIDTH: f64 = 10_000.0;

/// Result of the admission check of a dial.
enum Admission {
    /// The dialogue is held already, and its answer follows.
    Repeated,
    Declined(DeclineReason),
    /// The dialogue is held from now on; with `look_up_first`, its earlier outcome is looked up first.
    Accepted {
        look_up_first: bool,
    },
}

impl<D: Decisions> Edge<D> {
    /// A dial was received from a caller.
    pub(super) fn dial_received(
        &mut self, link: LinkId, dial: Dial, extra: Vec<Extra>, effects: &mut dyn EdgeEffects,
    ) {
        let id = dial.dialogue.clone();
        let look_up_first = match self.admission(link, &dial, effects) {
            Admission::Repeated => return,
            Admission::Declined(why) => {
                self.state.counts.declined += 1;
                return self
                    .signalling(effects)
                    .send_frame(link, Frame::Declined { dialogue: id, why, retry_after: None });
            }
            Admission::Accepted { look_up_first } => look_up_first,
        };
        self.state.counts.taken += 1;
        let cut_off = self.cut_off_time(link, &dial);
        let held = HeldDialogue::from_dial(&dial, link, cut_off, Stage::Waiting, extra);
        self.state.held.insert(id.clone(), held);
        self.signalling(effects).add_dialogue_to_link(link, &id);
        if look_up_first {
            self.state.counts.sought += 1;
            self.state.deadlines.set(cut_off, &id, NO_LAUNCH);
            if let Some(held) = self.state.held.get_mut(&id) {
                held.stage = Stage::LookingUpOutcome(Box::new(dial));
            }
            return;
        }
        effects.record(&id, DialogueStep::Accepted);
        self.submit_to_decisions(&dial, effects);
    }

    /// Decides whether a dial is accepted, and starts the look-up of an earlier outcome for a repeated one.
    fn admission(&mut self, link: LinkId, dial: &Dial, effects: &mut dyn EdgeEffects) -> Admission {
        let id = &dial.dialogue;
        if let Some(held) = self.state.held.get(id) {
            if held.caller_link == link && !matches!(held.stage, Stage::Releasing { .. }) {
                self.state.counts.repeats += 1; // The dialogue is held, and its answer follows.
                return Admission::Repeated;
            }
            return self.move_to_newer_link(id, link).map_or(Admission::Repeated, Admission::Declined);
        }
        let concluded = self.state.concluded.contains(id);
        if concluded && !dial.is_repeat {
            return Admission::Declined(DeclineReason::Concluded);
        }
        if self.state.held.len() >= self.state.limits.max_dialogues {
            return Admission::Declined(DeclineReason::Full);
        }
        if !self.is_valid_dial(dial) {
            return Admission::Declined(DeclineReason::Unknown);
        }
        if dial.dialled.is_some() && self.numbers.as_ref().is_some_and(|numbers| !numbers.has_tables()) {
            return Admission::Declined(DeclineReason::NotReady);
        }
        let look_up_first = dial.is_repeat && effects.look_up_dialogue(id, self.state.now + dial.time_left);
        if concluded && !look_up_first {
            return Admission::Declined(DeclineReason::Concluded);
        }
        Admission::Accepted { look_up_first }
    }

    /// Whether product, tenant, width and remaining time are valid.
    fn is_valid_dial(&self, dial: &Dial) -> bool {
        usize::from(dial.product) < self.product_count
            && dial.tenant.is_none_or(|tenant| usize::from(tenant) < self.tenant_count)
            && (dial.width > 0.0 && dial.width <= MAX_WIDTH)
            && !dial.time_left.is_zero()
    }

    /// Cut-off of a dial. Transit delay reduces the remaining time; a dial that lost all of it is answered at once.
    fn cut_off_time(&mut self, link: LinkId, dial: &Dial) -> Duration {
        let now = self.state.now;
        let known = self.state.links.get_mut(&link).zip(dial.sent_at);
        let delay = known.map_or(Duration::ZERO, |(known, sent_at)| known.delay.measure(now, sent_at));
        now + dial.time_left.saturating_sub(delay)
    }

    /// Passes a dial to the decisions, after the analysis of its number.
    pub(super) fn submit_to_decisions(&mut self, dial: &Dial, effects: &mut dyn EdgeEffects) {
        let now = self.state.now;
        let id = dial.dialogue.clone();
        let Some(cut_off) = self.state.held.get(&id).map(|held| held.cut_off) else { return };
        let product =
            self.numbers.as_ref().map_or(dial.product.into(), |n| n.module_product(dial.product, None));
        let arrival = Arrival {
            id,
            product: ProductId(product),
            tenant: dial.tenant.map(|t| TenantId(t.into())),
            first_choice: dial.first_choice,
            width: dial.width,
            dialled_at: now,
            cut_off: cut_off.saturating_sub(self.state.limits.answer_record_timeout).max(now),
            is_retry: dial.is_retry,
            redialled_after_cut: dial.redialled_after_cut,
            key: dial.key.clone(),
        };
        if self.numbers.is_some() && dial.dialled.is_some() {
            return self.analyse(dial, arrival, effects);
        }
        let mut signalling = ModuleSignalling { state: &mut self.state, effects };
        self.brain.dialogue_arrived(now, arrival, &mut signalling);
    }

    /// Moves a dialogue that is dialled again on another link of the same caller to that link, since its previous link
    /// has probably failed. Returns the reason if the dial is declined.
    fn move_to_newer_link(&mut self, id: &DialogueId, link: LinkId) -> Option<DeclineReason> {
        let caller_name = |link: &Link| match &link.peer {
            Peer::Caller(name) => Some(name.clone()),
            _ => None,
        };
        let held = self.state.held.get_mut(id)?;
        let previous_link = held.caller_link;
        let is_same_caller = self.state.links.get(&previous_link).and_then(caller_name)
            == self.state.links.get(&link).and_then(caller_name);
        if !is_same_caller {
            return Some(DeclineReason::NotYours);
        }
        if matches!(held.stage, Stage::Standing { .. } | Stage::Releasing { .. }) {
            return Some(DeclineReason::Concluded);
        }
        held.caller_link = link;
        self.state.counts.repeats += 1;
        if let Some(known) = self.state.links.get_mut(&previous_link) {
            known.dialogues.remove(id);
        }
        if let Some(known) = self.state.links.get_mut(&link) {
            known.dialogues.insert(id.clone());
        }
        None
    }

    /// The caller gave up this dialogue.
    pub(super) fn caller_hung_up(&mut self, id: &DialogueId, effects: &mut dyn EdgeEffects) {
        let now = self.state.now;
        let Some(held) = self.state.held.get_mut(id) else { return };
        match held.stage.clone() {
            Stage::Standing { server, launch, link } => {
                let until = now + self.state.limits.release_timeout;
                held.stage = Stage::Releasing { server, launch, link, until };
                self.state.deadlines.set(until, id, launch);
                self.signalling(effects).send_frame(link, Frame::Release { dialogue: id.clone(), launch });
            }
            Stage::Releasing { .. } => {}
            stage => {
                self.state.counts.left += 1;
                self.withdraw_unanswered(id, &stage, effects);
            }
        }
    }

    /// Concludes a dialogue that has no answer yet and withdraws it from where it is processed; returns its caller's link.
    pub(super) fn withdraw_unanswered(
        &mut self, id: &DialogueId, stage: &Stage, effects: &mut dyn EdgeEffects,
    ) -> Option<LinkId> {
        match stage {
            Stage::LookingUpOutcome(_) | Stage::Blocked(..) => self.clear_outcome_deadline(id, stage),
            Stage::LookingUpNumber => {
                if let Some(numbers) = &mut self.numbers {
                    numbers.cancel_look_up(id);
                }
            }
            Stage::Waiting | Stage::Launched { .. } => {
                let mut signalling = ModuleSignalling { state: &mut self.state, effects };
                self.brain.caller_left(signalling.state.now, id, &mut signalling);
            }
            Stage::Standing { .. } | Stage::Releasing { .. } => return None,
        }
        self.signalling(effects).conclude(id).map(|(link, _)| link)
    }
}
