//! Callers: which of their dials are taken, and what becomes of a dialogue that they leave.

use std::time::Duration;

use lotussaddle::interface::{Arrival, DialogueId, ProductId, TenantId};
use lotussaddle_trunk::{Dial, Extra, Frame, NotTaken};

use super::{Edge, SOUGHT};
use crate::hands::Hands;
use crate::held::{At, Held};
use crate::links::{Kind, Link};
use crate::{Decisions, LinkId, Step, Wires};

/// More lines than this no dialogue takes.
const WIDEST: f64 = 10_000.0;

impl<D: Decisions> Edge<D> {
    pub(super) fn dialled(&mut self, link: LinkId, dial: Dial, extra: Vec<Extra>, wires: &mut dyn Wires) {
        let id = dial.dialogue.clone();
        let mut seeks = false;
        let why = if let Some(held) = self.state.held.get(&id) {
            if held.link == link && !matches!(held.at, At::Releasing { .. }) {
                self.state.counts.repeats += 1; // It is in already, and will have its answer.
                return;
            }
            match self.take_over(&id, link) {
                None => return,
                why => why,
            }
        } else if self.state.concluded.contains(&id) && !dial.repeat {
            Some(NotTaken::Concluded)
        } else if self.state.held.len() >= self.state.limits.dialogues {
            Some(NotTaken::Full)
        } else {
            let known = usize::from(dial.product) < self.products
                && dial.tenant.is_none_or(|t| usize::from(t) < self.tenants)
                && (dial.width > 0.0 && dial.width <= WIDEST)
                && !dial.time_left.is_zero();
            let ready =
                dial.dialled.is_none() || self.numbers.as_ref().is_none_or(|numbers| numbers.is_ready());
            if !known {
                Some(NotTaken::Unknown)
            } else if !ready {
                Some(NotTaken::NotReady)
            } else {
                seeks = dial.repeat && wires.seek(&id, self.state.now + dial.time_left);
                (self.state.concluded.contains(&id) && !seeks).then_some(NotTaken::Concluded)
            }
        };
        if let Some(why) = why {
            self.state.counts.declined += 1;
            return self.hands(wires).say(link, Frame::Declined { dialogue: id, why, come_back: None });
        }
        self.state.counts.taken += 1;
        let now = self.state.now;
        let known = self.state.links.get_mut(&link).zip(dial.sent_at);
        let delay = known.map_or(Duration::ZERO, |(known, sent_at)| known.delay.of(now, sent_at));
        // A dial that was long on its way has lost that time; one that lost all of it is answered at once.
        let time_left = dial.time_left.saturating_sub(delay);
        let held = Held {
            link,
            cut_off: now + time_left,
            at: At::Waiting,
            launches: 0,
            product: dial.product,
            width: dial.width,
            key: dial.key.clone(),
            number: None,
            extra: extra.into(),
        };
        self.state.held.insert(id.clone(), held);
        if let Some(known) = self.state.links.get_mut(&link) {
            known.here.insert(id.clone());
        }
        if seeks {
            self.state.counts.sought += 1;
            self.state.dues.set(now + time_left, &id, SOUGHT);
            if let Some(held) = self.state.held.get_mut(&id) {
                held.at = At::Sought(Box::new(dial));
            }
            return;
        }
        wires.record(&id, Step::Taken);
        self.decide(&dial, wires);
    }

    /// From now on it is for the module to decide, once its number is analysed.
    pub(super) fn decide(&mut self, dial: &Dial, wires: &mut dyn Wires) {
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
            cut_off: cut_off.saturating_sub(self.state.limits.record_within).max(now),
            again: dial.again,
            came_back: dial.came_back,
            key: dial.key.clone(),
        };
        if self.numbers.is_some() && dial.dialled.is_some() {
            return self.analyse(dial, arrival, wires);
        }
        let mut hands = Hands { state: &mut self.state, wires };
        self.brain.arrived(now, arrival, &mut hands);
    }

    /// A dialogue that is held is dialled on another link: where it is the same caller's, its former link is
    /// probably dead, and the answer goes to the new one.
    fn take_over(&mut self, id: &DialogueId, link: LinkId) -> Option<NotTaken> {
        let name = |link: &Link| match &link.kind {
            Kind::Caller(name) => Some(name.clone()),
            _ => None,
        };
        let held = self.state.held.get_mut(id)?;
        let before = held.link;
        let same = self.state.links.get(&before).and_then(name) == self.state.links.get(&link).and_then(name);
        if !same {
            return Some(NotTaken::NotYours);
        }
        if matches!(held.at, At::Standing { .. } | At::Releasing { .. }) {
            return Some(NotTaken::Concluded);
        }
        held.link = link;
        self.state.counts.repeats += 1;
        for (link, is_here) in [(before, false), (link, true)] {
            if let Some(known) = self.state.links.get_mut(&link) {
                if is_here {
                    known.here.insert(id.clone());
                } else {
                    known.here.remove(id);
                }
            }
        }
        None
    }

    /// The caller wants no more of this dialogue.
    pub(super) fn hung_up(&mut self, id: &DialogueId, wires: &mut dyn Wires) {
        let now = self.state.now;
        let Some(held) = self.state.held.get_mut(id) else { return };
        match held.at.clone() {
            At::Standing { server, launch, link } => {
                let until = now + self.state.limits.release_within;
                held.at = At::Releasing { server, launch, link, until };
                self.state.dues.set(until, id, launch);
                self.hands(wires).say(link, Frame::Release { dialogue: id.clone(), launch });
            }
            At::Releasing { .. } => {}
            at @ (At::Sought(_) | At::Barred(..)) => {
                self.state.counts.left += 1;
                self.forget_sought(id, &at);
                self.hands(wires).conclude(id);
            }
            At::Asking => {
                self.state.counts.left += 1;
                if let Some(numbers) = &mut self.numbers {
                    numbers.forget(id);
                }
                self.hands(wires).conclude(id);
            }
            At::Waiting | At::Out { .. } => {
                self.state.counts.left += 1;
                let mut hands = Hands { state: &mut self.state, wires };
                self.brain.left(now, id, &mut hands);
                hands.conclude(id);
            }
        }
    }
}
