//! Tests of the module `hollow`, with access to its private items.

use std::collections::BTreeSet;

use super::*;

#[test]
fn the_number_of_a_link_tells_its_ends() {
    let link = link_number(3, 700, 99);
    assert_eq!((peer_of(link), peer_of(far_end(link))), (700, 3));
    assert_eq!(far_end(far_end(link)), link);
    assert_ne!(link, link_number(3, 700, 100));
}

#[test]
fn conclusions_about_members_are_read_from_the_log() {
    let dead = verdict_of("member member-00007 is not heard by a majority");
    assert_eq!(dead, Some(Verdict::HeldDead(7)));
    assert_eq!(verdict_of("member member-00007 is heard again"), Some(Verdict::HeardAgain(7)));
    assert_eq!(verdict_of("member member-00007 here, in incarnation 3"), None);
    assert_eq!(verdict_of("incarnation 3 begins"), None);
}

#[test]
fn voters_are_distinct_members() {
    for size in [3, 8, 16, 512] {
        let voters: BTreeSet<u16> = voters(size).into_iter().collect();
        assert!([3, 5].contains(&voters.len()), "{size}: {voters:?}");
        assert!(voters.iter().all(|voter| usize::from(*voter) < size), "{size}: {voters:?}");
    }
}
