//! The overlay: who is whose neighbour.

use lotussaddle_membership::{MAX_MEMBERS, MAX_NEIGHBOURS, MemberIndex, Overlay, OverlayError};

fn all(members: usize) -> impl Iterator<Item = MemberIndex> {
    (0..members).map(|member| member as MemberIndex)
}

#[test]
fn neighbours_are_symmetric_few_and_distinct() {
    for members in [1, 2, 3, 8, 11, 12, 13, 16, 64, 1000] {
        let overlay = Overlay::new(members, 3).expect("an overlay");
        assert_eq!(overlay.members(), members);
        for member in all(members) {
            let neighbours = overlay.neighbours(member);
            assert!(neighbours.len() <= MAX_NEIGHBOURS);
            assert!(!neighbours.contains(&member));
            let distinct: std::collections::BTreeSet<_> = neighbours.iter().collect();
            assert_eq!(distinct.len(), neighbours.len());
            for (position, neighbour) in neighbours.iter().enumerate() {
                assert!(overlay.neighbours(*neighbour).contains(&member));
                assert_eq!(overlay.position(member, *neighbour), Some(position));
            }
        }
    }
}

#[test]
fn up_to_eleven_members_are_all_neighbours() {
    for members in 1..=11 {
        let overlay = Overlay::new(members, 3).expect("an overlay");
        assert!(all(members).all(|member| overlay.neighbours(member).len() == members - 1));
    }
    let overlay = Overlay::new(12, 3).expect("an overlay");
    assert!(all(12).any(|member| overlay.neighbours(member).len() < 11));
}

#[test]
fn the_list_is_one_of_the_rings_and_nearly_all_have_ten_neighbours() {
    let overlay = Overlay::new(1000, 3).expect("an overlay");
    for member in all(1000) {
        assert!(overlay.position(member, (member + 1) % 1000).is_some());
    }
    let full = all(1000).filter(|member| overlay.neighbours(*member).len() == MAX_NEIGHBOURS).count();
    assert!(full > 950, "{full} have ten neighbours");
}

#[test]
fn the_overlay_depends_only_on_the_seed() {
    let lists = |seed| {
        let overlay = Overlay::new(100, seed).expect("an overlay");
        all(100).map(|member| overlay.neighbours(member).to_vec()).collect::<Vec<_>>()
    };
    assert_eq!(lists(7), lists(7));
    assert_ne!(lists(7), lists(8));
}

/// Members of one fleet have to work out one overlay: a change of this is a change of the protocol.
#[test]
fn the_overlay_is_that_of_this_version() {
    let overlay = Overlay::new(20, 7).expect("an overlay");
    assert_eq!(overlay.neighbours(0), PINNED_OF_0);
    assert_eq!(overlay.neighbours(13), PINNED_OF_13);
    let small = Overlay::new(5, 7).expect("an overlay");
    assert_eq!(small.neighbours(0), [1, 4, 2, 3]);
}

const PINNED_OF_0: [MemberIndex; 9] = [7, 17, 3, 14, 10, 1, 18, 13, 19];
const PINNED_OF_13: [MemberIndex; 9] = [3, 6, 9, 8, 14, 17, 0, 10, 12];

#[test]
fn lists_without_an_overlay_are_refused_with_the_reason() {
    assert_eq!(Overlay::new(0, 1).err(), Some(OverlayError::NoMembers));
    let members = MAX_MEMBERS + 1;
    assert_eq!(Overlay::new(members, 1).err(), Some(OverlayError::TooManyMembers { members }));
    let message = OverlayError::TooManyMembers { members }.to_string();
    assert!(message.contains("8193") && message.contains("8192"), "{message}");
    assert!(Overlay::new(MAX_MEMBERS, 1).is_ok());
    assert!(Overlay::new(5, 1).expect("an overlay").neighbours(5).is_empty());
}
