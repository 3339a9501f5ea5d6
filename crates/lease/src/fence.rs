//! The receiver's side of fencing: the highest token accepted of each duty, and its holder.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Duty, FencingToken};

/// An act was refused because its token is outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceRefusal {
    /// The highest token accepted so far: an act needs a higher one, or this one from the same member and incarnation.
    pub highest: FencingToken,
}

/// The highest token accepted of each duty. Has to be persisted across restarts of the receiver.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Token, member and incarnation.
    accepted: BTreeMap<Duty, (FencingToken, u16, u64)>,
}

impl Fence {
    /// Checks whether an act of this duty under this token may be performed. `Ok(true)`: the token is new, and the fence has to be
    /// persisted before the act is performed.
    ///
    /// # Errors
    /// A higher token was accepted, or the same one of another member or incarnation: the act must not be performed.
    pub fn admit(
        &mut self, duty: Duty, token: FencingToken, member: u16, incarnation: u64,
    ) -> Result<bool, FenceRefusal> {
        let accepted = self.accepted.get(&duty).copied().unwrap_or_default();
        // Token 0 is never issued.
        if token.0 == 0
            || token < accepted.0
            || token == accepted.0 && (member, incarnation) != (accepted.1, accepted.2)
        {
            return Err(FenceRefusal { highest: accepted.0 });
        }
        let is_new = token > accepted.0;
        if is_new {
            if self.accepted.len() >= crate::table::MAX_DUTIES && !self.accepted.contains_key(&duty) {
                return Err(FenceRefusal { highest: FencingToken(0) });
            }
            self.accepted.insert(duty, (token, member, incarnation));
        }
        Ok(is_new)
    }

    /// The highest token accepted of each duty, in order of duties.
    pub fn highest_tokens(&self) -> impl Iterator<Item = (Duty, FencingToken)> {
        self.accepted.iter().map(|(duty, accepted)| (*duty, accepted.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tokens_never_decrease_and_belong_to_one_incarnation() {
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
            "same member, another incarnation"
        );
        assert_eq!(
            fence.admit(Duty(0), FencingToken(3), 1, 7),
            Err(FenceRefusal { highest: FencingToken(4) })
        );
        assert_eq!(
            fence.admit(Duty(1), FencingToken(3), 1, 7),
            Ok(true),
            "duties are independent of each other"
        );
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
