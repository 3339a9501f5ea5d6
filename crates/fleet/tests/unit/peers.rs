//! Tests of the module `peers`, with access to its private items.

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[test]
fn the_first_of_a_pair_connects_with_growing_backoff() {
    let mut peers = Peers::new(ms(0), 1, 4, 7);
    assert_eq!(peers.due_connections(ms(0)), [0, 2, 3], "one attempt at the member before it");
    peers.connection_started(ms(0), 0, PeerLink(99));
    peers.closed(ms(0), PeerLink(99));
    assert_eq!(peers.due_connections(ms(99_000)), [2, 3], "once");
    let (mut now, mut delays) = (ms(0), Vec::new());
    for n in 0..12 {
        peers.connection_started(now, 2, PeerLink(n));
        assert_eq!(peers.link_to(2), None, "not up");
        assert_eq!(peers.closed(now, PeerLink(n)), Some(2));
        let due = (0..10_000)
            .map(|ahead| now + ms(ahead))
            .find(|at| peers.due_connections(*at).contains(&2))
            .unwrap();
        delays.push(due - now);
        now = due;
    }
    assert!(delays[0] >= ms(25) && delays[0] <= ms(76), "{delays:?}");
    assert!(delays.iter().all(|delay| *delay <= ms(3001)) && delays[11] >= ms(1000), "{delays:?}");
    assert!(
        delays.windows(2).any(|pair| pair[0] != pair[1] * 2 && pair[1] != pair[0] * 2),
        "jittered: {delays:?}"
    );
    // After a successful link the back-off starts again with the shortest delay.
    peers.connection_started(now, 2, PeerLink(50));
    assert_eq!(peers.identified(PeerLink(50), 2), None);
    peers.closed(now, PeerLink(50));
    assert!(peers.next_due().unwrap() <= now + ms(76));
}

fn identify(peers: &mut Peers, link: u64, member: u16) -> Option<PeerLink> {
    let known = peers.links.get_mut(&PeerLink(link)).unwrap();
    (known.state, known.member) = (LinkState::Identified, Some(member));
    peers.identified(PeerLink(link), member)
}

#[test]
fn the_newest_link_of_a_member_counts_and_closing_an_earlier_one_is_ignored() {
    let mut peers = Peers::new(ms(0), 3, 4, 7);
    (1..3).for_each(|link| peers.accepted(ms(0), PeerLink(link)));
    assert_eq!(identify(&mut peers, 1, 0), None);
    assert_eq!(identify(&mut peers, 2, 0), Some(PeerLink(1)));
    assert_eq!(peers.closed(ms(5), PeerLink(1)), None);
    assert_eq!((peers.link_to(0), peers.closed(ms(5), PeerLink(2))), (Some(PeerLink(2)), Some(0)));
    assert_eq!(
        (peers.link_to(0), peers.due_connections(ms(9000)).contains(&0)),
        (None, true),
        "its single attempt is still due"
    );
}

#[test]
fn of_two_links_opened_from_both_sides_both_retain_the_same_one() {
    // Link 1 was opened by member 0, link 2 by member 1; they are established in either order.
    for order in [[1u64, 2], [2, 1]] {
        let (mut first, mut second) = (Peers::new(ms(0), 0, 2, 7), Peers::new(ms(0), 1, 2, 8));
        first.connection_started(ms(0), 1, PeerLink(1));
        second.connection_started(ms(0), 0, PeerLink(2));
        first.accepted(ms(0), PeerLink(2));
        second.accepted(ms(0), PeerLink(1));
        for link in order {
            if ![&first, &second].iter().all(|peers| peers.links.contains_key(&PeerLink(link))) {
                continue; // Closed by one side before it was established at the other.
            }
            for (peers, member) in [(&mut first, 1), (&mut second, 0)] {
                if let Some(closed) = identify(peers, link, member) {
                    peers.closed(ms(0), closed);
                }
            }
        }
        let kept = Some(PeerLink(order[0]));
        assert_eq!((first.link_to(1), second.link_to(0)), (kept, kept), "{order:?}");
    }
}
