//! Whose the dialogues at a core server are, where edge proxies act as a fleet: the highest owner that was heard of each, by which
//! lower ones are refused.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_trunk::Owner;

/// For so long an owner is remembered after its dialogue is gone: longer than anyone goes on with it.
const REMEMBERED: Duration = Duration::from_secs(120);
const MOST: usize = 1_000_000;

#[derive(Default)]
pub struct Owners {
    known: HashMap<DialogueId, Owner>,
    order: VecDeque<(Duration, DialogueId)>,
}

impl Owners {
    /// An owner speaks for a dialogue. Err: someone higher has it.
    pub fn heard(&mut self, now: Duration, id: &DialogueId, owner: Owner) -> Result<(), Owner> {
        while self.order.front().is_some_and(|(at, _)| *at <= now) || self.order.len() > MOST {
            if let Some((_, id)) = self.order.pop_front() {
                self.known.remove(&id);
            }
        }
        match self.known.get_mut(id) {
            Some(known) if *known > owner => Err(*known),
            Some(known) => {
                *known = owner;
                Ok(())
            }
            None => {
                self.known.insert(id.clone(), owner);
                self.order.push_back((now + REMEMBERED, id.clone()));
                Ok(())
            }
        }
    }
}
