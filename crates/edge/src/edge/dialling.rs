//! Callers: which of their dials are taken, and what becomes of a dialogue that they leave.

use std::time::Duration;

use lotussaddle::interface::{Arrival, DialogueId, ProductId, TenantId};
use lotussaddle_trunk::{DeclineReason, Dial, Extra, Frame};

use super::{Edge, NO_LAUNCH};
use crate::held::{HeldDialogue, Stage};
use crate::links::{Link, Peer};
use crate::signalling::ModuleSignalling;
use crate::{Decisions, DialogueStep, EdgeEffects, LinkId};

/// More lines than this no dialogue takes.
const MAX_WIDTH: f64 = 10_000.0;

/// What becomes of a dial.
enum Admission {
    /// It is held already, and will have its answer.
    Repeated,
    Declined(DeclineReason),
    /// It is held from now on; `seeks`: what is known of it elsewhere is sought first.
    Taken {
        seeks: bool,
    },
}

impl<D: Decisions> Edge<D> {
    pub(super) fn dialled(
        &mut self, link: LinkId, dial: Dial, extra: Vec<Extra>, effects: &mut dyn EdgeEffects,
    ) {
        let id = dial.dialogue.clone();
        let seeks = match self.admission(link, &dial, effects) {
            Admission::Repeated => return,
            Admission::Declined(why) => {
                self.state.counts.declined += 1;
                return self
                    .signalling(effects)
                    .say(link, Frame::Declined { dialogue: id, why, retry_after: None });
            }
            Admission::Taken { seeks } => seeks,
        };
        self.state.counts.taken += 1;
        let cut_off = self.cut_off_of(link, &dial);
        let held = HeldDialogue::of_dial(&dial, link, cut_off, Stage::Waiting, extra);
        self.state.held.insert(id.clone(), held);
        self.signalling(effects).add_to_link(link, &id);
        if seeks {
            self.state.counts.sought += 1;
            self.state.deadlines.set(cut_off, &id, NO_LAUNCH);
            if let Some(held) = self.state.held.get_mut(&id) {
                held.at = Stage::Sought(Box::new(dial));
            }
            return;
        }
        effects.record(&id, DialogueStep::Accepted);
        self.decide(&dial, effects);
    }

    /// Whether a dial is taken. Where it may have been dialled before elsewhere, it is asked after on the way.
    fn admission(&mut self, link: LinkId, dial: &Dial, effects: &mut dyn EdgeEffects) -> Admission {
        let id = &dial.dialogue;
        if let Some(held) = self.state.held.get(id) {
            if held.link == link && !matches!(held.at, Stage::Releasing { .. }) {
                self.state.counts.repeats += 1; // It is in already, and will have its answer.
                return Admission::Repeated;
            }
            return self.take_over(id, link).map_or(Admission::Repeated, Admission::Declined);
        }
        let concluded = self.state.concluded.contains(id);
        if concluded && !dial.is_repeat {
            return Admission::Declined(DeclineReason::Concluded);
        }
        if self.state.held.len() >= self.state.limits.max_dialogues {
            return Admission::Declined(DeclineReason::Full);
        }
        if !self.can_be_read(dial) {
            return Admission::Declined(DeclineReason::Unknown);
        }
        if dial.dialled.is_some() && self.numbers.as_ref().is_some_and(|numbers| !numbers.is_ready()) {
            return Admission::Declined(DeclineReason::NotReady);
        }
        let seeks = dial.is_repeat && effects.look_up_dialogue(id, self.state.now + dial.time_left);
        if concluded && !seeks {
            return Admission::Declined(DeclineReason::Concluded);
        }
        Admission::Taken { seeks }
    }

    /// Whether product, tenant, width and time left are such as can be.
    fn can_be_read(&self, dial: &Dial) -> bool {
        usize::from(dial.product) < self.products
            && dial.tenant.is_none_or(|tenant| usize::from(tenant) < self.tenants)
            && (dial.width > 0.0 && dial.width <= MAX_WIDTH)
            && !dial.time_left.is_zero()
    }

    /// When the caller gives this dial up. One that was long on its way has lost that time; one that lost all of it is
    /// answered at once.
    fn cut_off_of(&mut self, link: LinkId, dial: &Dial) -> Duration {
        let now = self.state.now;
        let known = self.state.links.get_mut(&link).zip(dial.sent_at);
        let delay = known.map_or(Duration::ZERO, |(known, sent_at)| known.delay.of(now, sent_at));
        now + dial.time_left.saturating_sub(delay)
    }

    /// From now on it is for the module to decide, once its number is analysed.
    pub(super) fn decide(&mut self, dial: &Dial, effects: &mut dyn EdgeEffects) {
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

    /// A dialogue that is held is dialled on another link: where it is the same caller's, its former link is
    /// probably dead, and the answer goes to the new one.
    fn take_over(&mut self, id: &DialogueId, link: LinkId) -> Option<DeclineReason> {
        let name = |link: &Link| match &link.kind {
            Peer::Caller(name) => Some(name.clone()),
            _ => None,
        };
        let held = self.state.held.get_mut(id)?;
        let before = held.link;
        let same = self.state.links.get(&before).and_then(name) == self.state.links.get(&link).and_then(name);
        if !same {
            return Some(DeclineReason::NotYours);
        }
        if matches!(held.at, Stage::Standing { .. } | Stage::Releasing { .. }) {
            return Some(DeclineReason::Concluded);
        }
        held.link = link;
        self.state.counts.repeats += 1;
        if let Some(known) = self.state.links.get_mut(&before) {
            known.dialogues.remove(id);
        }
        if let Some(known) = self.state.links.get_mut(&link) {
            known.dialogues.insert(id.clone());
        }
        None
    }

    /// The caller wants no more of this dialogue.
    pub(super) fn hung_up(&mut self, id: &DialogueId, effects: &mut dyn EdgeEffects) {
        let now = self.state.now;
        let Some(held) = self.state.held.get_mut(id) else { return };
        match held.at.clone() {
            Stage::Standing { server, launch, link } => {
                let until = now + self.state.limits.release_timeout;
                held.at = Stage::Releasing { server, launch, link, until };
                self.state.deadlines.set(until, id, launch);
                self.signalling(effects).say(link, Frame::Release { dialogue: id.clone(), launch });
            }
            Stage::Releasing { .. } => {}
            at => {
                self.state.counts.left += 1;
                self.drop_unanswered(id, &at, effects);
            }
        }
    }

    /// Lets go of a dialogue that has no answer yet, and withdraws it from whoever works on it; gives its caller's link.
    pub(super) fn drop_unanswered(
        &mut self, id: &DialogueId, at: &Stage, effects: &mut dyn EdgeEffects,
    ) -> Option<LinkId> {
        match at {
            Stage::Sought(_) | Stage::Barred(..) => self.clear_sought_deadline(id, at),
            Stage::Asking => {
                if let Some(numbers) = &mut self.numbers {
                    numbers.forget(id);
                }
            }
            Stage::Waiting | Stage::Out { .. } => {
                let mut signalling = ModuleSignalling { state: &mut self.state, effects };
                self.brain.caller_left(signalling.state.now, id, &mut signalling);
            }
            Stage::Standing { .. } | Stage::Releasing { .. } => return None,
        }
        self.signalling(effects).conclude(id).map(|(link, _)| link)
    }
}
