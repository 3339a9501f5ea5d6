//! What a receiver of acts keeps: of each duty the highest number that it has seen, and whose it was.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Duty, FencingToken};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceRefusal {
    /// The highest number that was seen: an act has to bear a higher one, or this one from the same member.
    pub highest: FencingToken,
}

/// To be kept past a restart of the receiver.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    seen: BTreeMap<Duty, (FencingToken, u16, u64)>,
}

impl Fence {
    /// An act of this duty under this number is to be done: may it be? `Ok(true)`: the number is new and is to be kept first.
    ///
    /// # Errors
    /// A higher number was seen, or another member's or life's act under the same one: the act is not to be done.
    pub fn admit(
        &mut self, duty: Duty, number: FencingToken, member: u16, life: u64,
    ) -> Result<bool, FenceRefusal> {
        // Nobody's number: it was never given.
        let seen = self.seen.get(&duty).copied().unwrap_or_default();
        if number.0 == 0 || number < seen.0 || number == seen.0 && (member, life) != (seen.1, seen.2) {
            return Err(FenceRefusal { highest: seen.0 });
        }
        let new = number > seen.0;
        if new {
            if self.seen.len() >= crate::table::MAX_DUTIES && !self.seen.contains_key(&duty) {
                return Err(FenceRefusal { highest: FencingToken(0) });
            }
            self.seen.insert(duty, (number, member, life));
        }
        Ok(new)
    }

    pub fn highest_tokens(&self) -> impl Iterator<Item = (Duty, FencingToken)> {
        self.seen.iter().map(|(duty, seen)| (*duty, seen.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_never_go_down_and_none_is_two_members() {
        let mut fence = Fence::default();
        assert_eq!(
            fence.admit(Duty(0), FencingToken(0), 1, 7),
            Err(FenceRefusal { highest: FencingToken(0) })
        );
        assert_eq!(fence.admit(Duty(0), FencingToken(4), 1, 7), Ok(true));
        assert_eq!(fence.admit(Duty(0), FencingToken(4), 1, 7), Ok(false));
        assert_eq!(
            fence.admit(Duty(0), FencingToken(4), 2, 7),
            Err(FenceRefusal { highest: FencingToken(4) })
        );
        assert_eq!(
            fence.admit(Duty(0), FencingToken(4), 1, 8),
            Err(FenceRefusal { highest: FencingToken(4) }),
            "another life"
        );
        assert_eq!(
            fence.admit(Duty(0), FencingToken(3), 1, 7),
            Err(FenceRefusal { highest: FencingToken(4) })
        );
        assert_eq!(fence.admit(Duty(1), FencingToken(3), 1, 7), Ok(true), "each duty by itself");
        assert_eq!(fence.admit(Duty(0), FencingToken(9), 2, 7), Ok(true));
        assert_eq!(
            fence.admit(Duty(0), FencingToken(4), 1, 7),
            Err(FenceRefusal { highest: FencingToken(9) })
        );
        for duty in 2..u16::MAX {
            let _ = fence.admit(Duty(duty), FencingToken(1), 1, 7);
        }
        assert_eq!(fence.highest_tokens().count(), crate::table::MAX_DUTIES);
    }
}
