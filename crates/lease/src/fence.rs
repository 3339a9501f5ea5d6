//! What a receiver of acts keeps: of each duty the highest number that it has seen, and whose it was.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Duty, Number};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The highest number that was seen: an act has to bear a higher one, or this one from the same member.
    pub highest: Number,
}

/// To be kept past a restart of the receiver.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    seen: BTreeMap<Duty, (Number, u16, u64)>,
}

impl Fence {
    /// An act of this duty under this number is to be done: may it be? `Ok(true)`: the number is new and is to be kept first.
    ///
    /// # Errors
    /// A higher number was seen, or another member's or life's act under the same one: the act is not to be done.
    pub fn admits(&mut self, duty: Duty, number: Number, member: u16, life: u64) -> Result<bool, Refused> {
        // Nobody's number: it was never given.
        let seen = self.seen.get(&duty).copied().unwrap_or_default();
        if number.0 == 0 || number < seen.0 || number == seen.0 && (member, life) != (seen.1, seen.2) {
            return Err(Refused { highest: seen.0 });
        }
        let new = number > seen.0;
        if new {
            if self.seen.len() >= crate::table::MOST_DUTIES && !self.seen.contains_key(&duty) {
                return Err(Refused { highest: Number(0) });
            }
            self.seen.insert(duty, (number, member, life));
        }
        Ok(new)
    }

    pub fn seen(&self) -> impl Iterator<Item = (Duty, Number)> {
        self.seen.iter().map(|(duty, seen)| (*duty, seen.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_never_go_down_and_none_is_two_members() {
        let mut fence = Fence::default();
        assert_eq!(fence.admits(Duty(0), Number(0), 1, 7), Err(Refused { highest: Number(0) }));
        assert_eq!(fence.admits(Duty(0), Number(4), 1, 7), Ok(true));
        assert_eq!(fence.admits(Duty(0), Number(4), 1, 7), Ok(false));
        assert_eq!(fence.admits(Duty(0), Number(4), 2, 7), Err(Refused { highest: Number(4) }));
        assert_eq!(
            fence.admits(Duty(0), Number(4), 1, 8),
            Err(Refused { highest: Number(4) }),
            "another life"
        );
        assert_eq!(fence.admits(Duty(0), Number(3), 1, 7), Err(Refused { highest: Number(4) }));
        assert_eq!(fence.admits(Duty(1), Number(3), 1, 7), Ok(true), "each duty by itself");
        assert_eq!(fence.admits(Duty(0), Number(9), 2, 7), Ok(true));
        assert_eq!(fence.admits(Duty(0), Number(4), 1, 7), Err(Refused { highest: Number(9) }));
        for duty in 2..u16::MAX {
            let _ = fence.admits(Duty(duty), Number(1), 1, 7);
        }
        assert_eq!(fence.seen().count(), crate::table::MOST_DUTIES);
    }
}
