//! The membership view: a member is gone if no path of edges that neither end reports as unheard joins it to this member. If the members
//! joined to this one are no majority, no member is held gone.

use crate::MemberIndex;
use crate::member_set::MemberSet;
use crate::overlay::Overlay;

/// Who is gone, and whether this member has a majority.
pub(crate) struct View {
    gone: MemberSet,
    gone_count: usize,
    has_majority: bool,
    version: u64,
}

impl View {
    /// A view in which nobody is gone.
    pub(crate) fn new(members: usize) -> Self {
        Self { gone: MemberSet::empty(members), gone_count: 0, has_majority: true, version: 0 }
    }

    /// Whether a member is gone.
    pub(crate) fn is_gone(&self, member: MemberIndex) -> bool {
        self.gone.contains(member)
    }

    /// How many members are gone.
    pub(crate) fn gone_count(&self) -> usize {
        self.gone_count
    }

    /// Whether the members that are joined to this one are more than half of all.
    pub(crate) fn has_majority(&self) -> bool {
        self.has_majority
    }

    /// Grows with each change of the view.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Finds the members that are joined to `own_index` and updates the view; `unheard` gives the bits that a member reports.
    pub(crate) fn search(
        &mut self, overlay: &Overlay, own_index: MemberIndex, unheard: impl Fn(MemberIndex) -> u16,
    ) {
        let members = overlay.members();
        let (joined, joined_count) = component(overlay, own_index, unheard);
        let has_majority = joined_count * 2 > members;
        let mut gone = MemberSet::empty(members);
        if has_majority {
            let all_members = (0..members).map(|index| index as MemberIndex);
            all_members.filter(|member| !joined.contains(*member)).for_each(|member| {
                gone.insert(member);
            });
        }
        let has_changed = has_majority != self.has_majority || gone != self.gone;
        self.gone = gone;
        self.gone_count = if has_majority { members - joined_count } else { 0 };
        self.has_majority = has_majority;
        self.version += u64::from(has_changed);
    }
}

/// The members that are joined to `start` (itself included), and their number.
fn component(
    overlay: &Overlay, start: MemberIndex, unheard: impl Fn(MemberIndex) -> u16,
) -> (MemberSet, usize) {
    let mut joined = MemberSet::empty(overlay.members());
    let mut count = 1;
    let mut to_visit = vec![start];
    joined.insert(start);
    while let Some(member) = to_visit.pop() {
        let reported = unheard(member);
        let edges = overlay.neighbours(member).iter().zip(overlay.mirrored(member)).enumerate();
        for (position, (neighbour, mirrored)) in edges {
            let is_reported = reported >> position & 1 == 1;
            if is_reported || joined.contains(*neighbour) || unheard(*neighbour) >> mirrored & 1 == 1 {
                continue;
            }
            joined.insert(*neighbour);
            count += 1;
            to_visit.push(*neighbour);
        }
    }
    (joined, count)
}
