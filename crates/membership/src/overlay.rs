//! The overlay: which members are neighbours. Four pseudo-random rings and the member list itself as a fifth ring are laid over all
//! members; the neighbours of a member are its successor and predecessor in each. All members have to compute the same overlay, so
//! the seed is a digest of the agreed list.

use crate::MemberIndex;
use crate::random::{SplitMix, mix};

/// The maximum number of members that an overlay can have.
pub const MAX_MEMBERS: usize = 8192;

/// The maximum number of neighbours of a member: two in each of five rings.
pub const MAX_NEIGHBOURS: usize = 10;

const RANDOM_RINGS: u64 = 4;

/// The reason why no overlay can be built for a list of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverlayError {
    /// The list is empty.
    NoMembers,
    /// The list is longer than [`MAX_MEMBERS`].
    TooManyMembers {
        /// The number of members on the list.
        members: usize,
    },
}

impl std::fmt::Display for OverlayError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoMembers => write!(formatter, "a fleet without members has no overlay"),
            Self::TooManyMembers { members } => {
                write!(
                    formatter,
                    "{members} members are more than the {MAX_MEMBERS} that an overlay can have"
                )
            }
        }
    }
}

impl std::error::Error for OverlayError {}

/// The neighbours of each member of a fleet.
#[derive(Debug)]
pub struct Overlay {
    /// For each member, the index of its first neighbour in `neighbours`; a last entry holds the length of `neighbours`.
    starts: Vec<u32>,
    neighbours: Vec<MemberIndex>,
    /// For each entry of `neighbours`, the position of the member in that neighbour's own list.
    mirrored: Vec<u8>,
}

impl Overlay {
    /// The overlay of a list of `members`, the same for the same seed.
    pub fn new(members: usize, seed: u64) -> Result<Self, OverlayError> {
        if members == 0 {
            return Err(OverlayError::NoMembers);
        }
        if members > MAX_MEMBERS {
            return Err(OverlayError::TooManyMembers { members });
        }
        let lists = if members <= MAX_NEIGHBOURS + 1 { complete(members) } else { rings(members, seed) };
        Ok(Self::from_lists(&lists))
    }

    fn from_lists(lists: &[Vec<MemberIndex>]) -> Self {
        let total = lists.iter().map(Vec::len).sum();
        let mut overlay = Self {
            starts: Vec::with_capacity(lists.len() + 1),
            neighbours: Vec::with_capacity(total),
            mirrored: Vec::with_capacity(total),
        };
        overlay.starts.push(0);
        for (member, list) in lists.iter().enumerate() {
            for neighbour in list {
                let reverse_list = &lists[usize::from(*neighbour)];
                let position = reverse_list.iter().position(|other| usize::from(*other) == member);
                overlay.neighbours.push(*neighbour);
                overlay.mirrored.push(position.expect("rings are symmetric") as u8);
            }
            overlay.starts.push(overlay.neighbours.len() as u32);
        }
        overlay
    }

    /// How many members the fleet has.
    pub fn members(&self) -> usize {
        self.starts.len() - 1
    }

    /// The neighbours of a member, at most [`MAX_NEIGHBOURS`]; empty if the member is beyond the list.
    pub fn neighbours(&self, member: MemberIndex) -> &[MemberIndex] {
        &self.neighbours[self.range(member)]
    }

    /// The position of `neighbour` among the neighbours of `member`.
    pub fn position(&self, member: MemberIndex, neighbour: MemberIndex) -> Option<usize> {
        self.neighbours(member).iter().position(|other| *other == neighbour)
    }

    /// For each neighbour of a member, the position of the member among that neighbour's neighbours.
    pub(crate) fn mirrored(&self, member: MemberIndex) -> &[u8] {
        &self.mirrored[self.range(member)]
    }

    fn range(&self, member: MemberIndex) -> std::ops::Range<usize> {
        let index = usize::from(member);
        if index >= self.members() {
            return 0..0;
        }
        self.starts[index] as usize..self.starts[index + 1] as usize
    }
}

/// A complete graph: all members are neighbours, the nearest in the list first.
fn complete(members: usize) -> Vec<Vec<MemberIndex>> {
    let mut lists = vec![Vec::new(); members];
    for distance in 1..members {
        connect_around(&mut lists, distance);
    }
    lists
}

fn connect_around(lists: &mut [Vec<MemberIndex>], distance: usize) {
    let members = lists.len();
    for member in 0..members {
        connect(lists, member, (member + distance) % members);
    }
}

fn rings(members: usize, seed: u64) -> Vec<Vec<MemberIndex>> {
    let mut lists = vec![Vec::with_capacity(MAX_NEIGHBOURS); members];
    for ring in 0..RANDOM_RINGS {
        let mut order: Vec<usize> = (0..members).collect();
        SplitMix::new(mix(seed ^ mix(ring))).shuffle(&mut order);
        for place in 0..members {
            connect(&mut lists, order[place], order[(place + 1) % members]);
        }
    }
    connect_around(&mut lists, 1);
    lists
}

/// Makes two members neighbours unless they already are.
fn connect(lists: &mut [Vec<MemberIndex>], one: usize, other: usize) {
    if lists[one].contains(&(other as MemberIndex)) {
        return;
    }
    lists[one].push(other as MemberIndex);
    lists[other].push(one as MemberIndex);
}
