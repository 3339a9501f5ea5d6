//! Tests of the module `peers`, with access to its private items.

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[test]
fn the_first_of_a_pair_begins_and_pauses_longer_each_time() {
    let mut peers = Peers::new(ms(0), 1, 4, 7);
    assert_eq!(peers.to_begin(ms(0)), [0, 2, 3], "at the one that comes before it knocks");
    peers.begun(ms(0), 0, PeerLink(99));
    peers.lost(ms(0), PeerLink(99));
    assert_eq!(peers.to_begin(ms(99_000)), [2, 3], "once");
    let (mut now, mut gaps) = (ms(0), Vec::new());
    for n in 0..12 {
        peers.begun(now, 2, PeerLink(n));
        assert_eq!(peers.to(2), None, "not up");
        assert_eq!(peers.lost(now, PeerLink(n)), Some(2));
        let due =
            (0..10_000).map(|ahead| now + ms(ahead)).find(|at| peers.to_begin(*at).contains(&2)).unwrap();
        gaps.push(due - now);
        now = due;
    }
    assert!(gaps[0] >= ms(25) && gaps[0] <= ms(76), "{gaps:?}");
    assert!(gaps.iter().all(|gap| *gap <= ms(3001)) && gaps[11] >= ms(1000), "{gaps:?}");
    assert!(
        gaps.windows(2).any(|pair| pair[0] != pair[1] * 2 && pair[1] != pair[0] * 2),
        "scattered: {gaps:?}"
    );
    // One that came up begins anew with a short gap.
    peers.begun(now, 2, PeerLink(50));
    assert_eq!(peers.seated(PeerLink(50), 2), None);
    peers.lost(now, PeerLink(50));
    assert!(peers.next_due().unwrap() <= now + ms(76));
}

fn here(peers: &mut Peers, link: u64, member: u16) -> Option<PeerLink> {
    let known = peers.links.get_mut(&PeerLink(link)).unwrap();
    (known.way, known.member) = (Way::Here, Some(member));
    peers.seated(PeerLink(link), member)
}

#[test]
fn the_newest_link_of_a_member_counts_and_the_end_of_a_former_one_is_no_loss() {
    let mut peers = Peers::new(ms(0), 3, 4, 7);
    (1..3).for_each(|link| peers.came(ms(0), PeerLink(link)));
    assert_eq!(here(&mut peers, 1, 0), None);
    assert_eq!(here(&mut peers, 2, 0), Some(PeerLink(1)));
    assert_eq!(peers.lost(ms(5), PeerLink(1)), None);
    assert_eq!((peers.to(0), peers.lost(ms(5), PeerLink(2))), (Some(PeerLink(2)), Some(0)));
    assert_eq!((peers.to(0), peers.to_begin(ms(9000)).contains(&0)), (None, true), "it has not knocked yet");
}

#[test]
fn of_two_links_begun_from_both_sides_both_keep_the_same_one() {
    // Link 1 was begun by member 0, link 2 by member 1; they come up in either order.
    for order in [[1u64, 2], [2, 1]] {
        let (mut first, mut second) = (Peers::new(ms(0), 0, 2, 7), Peers::new(ms(0), 1, 2, 8));
        first.begun(ms(0), 1, PeerLink(1));
        second.begun(ms(0), 0, PeerLink(2));
        first.came(ms(0), PeerLink(2));
        second.came(ms(0), PeerLink(1));
        for link in order {
            if ![&first, &second].iter().all(|peers| peers.links.contains_key(&PeerLink(link))) {
                continue; // Closed from one side before it was up at the other.
            }
            for (peers, member) in [(&mut first, 1), (&mut second, 0)] {
                if let Some(closed) = here(peers, link, member) {
                    peers.lost(ms(0), closed);
                }
            }
        }
        let kept = Some(PeerLink(order[0]));
        assert_eq!((first.to(1), second.to(0)), (kept, kept), "{order:?}");
    }
}
