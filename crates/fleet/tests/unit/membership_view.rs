//! Tests of the module `membership_view`, with access to its private items.

use std::collections::BTreeSet;

use super::*;

const SILENCE: u64 = 1000;
const STEP: u64 = 10;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Views of one fleet, with messages delivered immediately.
struct Fleet {
    now: u64,
    views: Vec<MembershipView>,
    dead: BTreeSet<u16>,
    /// Pairs of sender and receiver whose messages are dropped.
    cut: BTreeSet<(u16, u16)>,
}

impl Fleet {
    fn new(members: usize) -> Self {
        let overlay = Arc::new(Overlay::new(members, 7).unwrap());
        let view = |me: usize| {
            let mut view = MembershipView::new(ms(0), me as u16, overlay.clone(), ms(SILENCE));
            view.set_self(ms(0), 1, true);
            view
        };
        Self { now: 0, views: (0..members).map(view).collect(), dead: BTreeSet::new(), cut: BTreeSet::new() }
    }

    fn run(&mut self, lasts: u64) {
        for _ in 0..lasts / STEP {
            self.now += STEP;
            for me in 0..self.views.len() as u16 {
                self.tick(me);
            }
        }
    }

    fn tick(&mut self, me: u16) {
        let now = ms(self.now);
        if self.dead.contains(&me) || self.views[usize::from(me)].next_due() > now {
            return;
        }
        for message in self.views[usize::from(me)].tick(now) {
            if !self.cut.contains(&(me, message.to)) && !self.dead.contains(&message.to) {
                self.views[usize::from(message.to)].received(now, me, &message.bytes).unwrap();
            }
        }
    }

    /// Partitions these members from the others.
    fn cut_off(&mut self, part: &[u16]) {
        let all = 0..self.views.len() as u16;
        for (from, to) in all.clone().flat_map(|from| all.clone().map(move |to| (from, to))) {
            if part.contains(&from) != part.contains(&to) {
                self.cut.insert((from, to));
            }
        }
    }

    fn gone_for(&self, me: u16) -> Vec<u16> {
        (0..self.views.len() as u16).filter(|member| self.views[usize::from(me)].is_gone(*member)).collect()
    }

    fn alive(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.views.len() as u16).filter(|member| !self.dead.contains(member))
    }
}

#[test]
fn a_dead_member_is_gone_for_all_within_one_to_two_time_outs() {
    for members in [3, 5, 11, 12, 24, 48] {
        let mut fleet = Fleet::new(members);
        fleet.run(3000);
        assert!(fleet.alive().all(|me| fleet.gone_for(me).is_empty()), "{members}: nobody is");
        fleet.dead.insert(1);
        // The last frame may have come one heartbeat interval earlier.
        fleet.run(SILENCE - SILENCE / 5);
        assert!(fleet.alive().all(|me| fleet.gone_for(me).is_empty()), "{members}: not before the silence");
        fleet.run(SILENCE + SILENCE / 5);
        assert!(fleet.alive().all(|me| fleet.gone_for(me) == [1]), "{members}: by then it is");
        fleet.dead.clear();
        let now = ms(fleet.now);
        fleet.views[1] =
            MembershipView::new(now, 1, Arc::new(Overlay::new(members, 7).unwrap()), ms(SILENCE));
        fleet.views[1].set_self(now, 2, false);
        fleet.run(2 * SILENCE);
        assert!(fleet.alive().all(|me| fleet.gone_for(me).is_empty()), "{members}: it is back");
        let incarnation_seen_by = |me: u16| fleet.views[usize::from(me)].registered_incarnation(1);
        assert!(fleet.alive().all(|me| incarnation_seen_by(me) == 2), "{members}: in its second incarnation");
        assert!(!fleet.views[0].has_caught_up(1) && fleet.views[0].has_caught_up(2));
    }
}

#[test]
fn a_member_reachable_by_one_neighbour_is_not_gone_and_one_reachable_by_none_is() {
    for members in [5, 12, 24] {
        let mut fleet = Fleet::new(members);
        fleet.run(2000);
        let neighbours = fleet.views[2].neighbours().to_vec();
        let (kept, others) = neighbours.split_first().unwrap();
        // Cutting one direction is enough: an edge counts when both receive each other's frames.
        fleet.cut = others.iter().map(|other| (2, *other)).collect();
        fleet.run(3 * SILENCE);
        assert!(fleet.alive().all(|me| fleet.gone_for(me).is_empty()), "{members}: a path is left");
        assert!(others.iter().all(|other| !fleet.views[usize::from(*other)].is_reachable(ms(fleet.now), 2)));
        fleet.cut.insert((2, *kept));
        fleet.run(2 * SILENCE);
        assert!(fleet.alive().filter(|me| *me != 2).all(|me| fleet.gone_for(me) == [2]), "{members}");
        assert!(fleet.gone_for(2).is_empty(), "nobody is gone for one without a majority");
        assert!(!fleet.views[2].has_majority(), "it is notified by those that do not receive its frames");
    }
}

#[test]
fn a_partition_without_a_majority_detects_it_and_considers_no_member_gone() {
    let mut fleet = Fleet::new(24);
    fleet.run(2000);
    let part: Vec<u16> = (0..8).collect();
    fleet.cut_off(&part);
    fleet.run(3 * SILENCE);
    for me in 0..8 {
        assert!(!fleet.views[me].has_majority() && fleet.gone_for(me as u16).is_empty(), "{me}");
    }
    for me in 8..24 {
        assert!(fleet.views[me].has_majority() && fleet.gone_for(me as u16) == part, "{me}");
    }
    fleet.cut.clear();
    fleet.run(3 * SILENCE);
    assert!(
        fleet.alive().all(|me| fleet.gone_for(me).is_empty() && fleet.views[usize::from(me)].has_majority())
    );
}

#[test]
fn with_two_members_or_an_even_split_no_member_is_gone() {
    let mut two = Fleet::new(2);
    two.run(1000);
    two.dead.insert(1);
    two.run(5000);
    assert!(two.gone_for(0).is_empty() && !two.views[0].has_majority());
    let mut even = Fleet::new(12);
    even.run(1000);
    even.cut_off(&[0, 1, 2, 3, 4, 5]);
    even.run(5000);
    assert!((0..12).all(|me| even.gone_for(me).is_empty() && !even.views[usize::from(me)].has_majority()));
    let mut one = Fleet::new(1);
    one.run(5000);
    assert!(one.views[0].has_majority());
}

#[test]
fn a_member_that_was_suspended_considers_no_member_gone() {
    let mut fleet = Fleet::new(12);
    fleet.run(2000);
    fleet.dead.insert(3);
    fleet.run(5 * SILENCE);
    fleet.dead.remove(&3);
    let version = |fleet: &Fleet| (0..12).map(|me| fleet.gone_for(me)).collect::<Vec<_>>();
    assert_eq!(version(&fleet)[4], [3]);
    for _ in 0..300 {
        fleet.run(STEP);
        assert!(fleet.gone_for(3).is_empty(), "at {}", fleet.now);
        assert!((0..12).filter(|me| *me != 3).all(|me| fleet.gone_for(me).iter().all(|gone| *gone == 3)));
    }
    assert!(version(&fleet).iter().all(Vec::is_empty));
}

#[test]
fn messages_that_no_neighbour_sent_are_refused_without_effect() {
    let mut fleet = Fleet::new(24);
    fleet.run(2000);
    let now = ms(fleet.now);
    let stranger = (1..24).find(|member| !fleet.views[0].is_neighbour(*member)).unwrap();
    let neighbour = fleet.views[0].neighbours()[0];
    let heartbeat = Message::Heartbeat { digest: 1 }.encode();
    let view = &mut fleet.views[0];
    assert_eq!(view.received(now, stranger, &heartbeat), Err(MessageError::NotANeighbour(stranger)));
    assert!(view.received(now, neighbour, &[]).is_err() && view.received(now, neighbour, &[99]).is_err());
    assert!(
        view.received(now, neighbour, &[2; 5000]).is_err() && view.received(now, 999, &heartbeat).is_err()
    );
    assert_eq!(view.received(now, neighbour, &heartbeat), Ok(Vec::new()));
}

#[test]
fn known_incarnations_only_increase() {
    let overlay = Arc::new(Overlay::new(3, 7).unwrap());
    let mut view = MembershipView::new(ms(0), 0, overlay, ms(1000));
    assert!(
        view.incarnation_learned(1, 4)
            && !view.incarnation_learned(1, 4)
            && !view.incarnation_learned(1, 3)
            && view.incarnation_learned(1, 5)
    );
    assert_eq!((view.incarnation(1), view.incarnation(2), view.incarnation(9)), (5, 0, 0));
}
