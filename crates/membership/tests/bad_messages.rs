//! Messages that are lost, duplicated, late, out of order, of a previous incarnation or not valid.

mod support;

use std::sync::Arc;
use std::time::Duration;

use lotussaddle_membership::{MemberRegister, Membership, Message, MessageError, Overlay, Register, Timing};
use support::SILENCE;
use support::random::TestRandom;
use support::simulation::Simulation;

const SEED: u64 = 37;

fn inject_network_faults(fleet: &mut Simulation) {
    fleet.network.loss_percent = 5;
    fleet.network.doubled_percent = 10;
    fleet.network.late_percent = 10;
    fleet.network.latest = Duration::from_millis(600);
}

fn clear_network_faults(fleet: &mut Simulation) {
    fleet.network.loss_percent = 0;
    fleet.network.doubled_percent = 0;
    fleet.network.late_percent = 0;
}

#[test]
fn with_lost_doubled_and_late_messages_nobody_that_is_up_is_held_gone() {
    for members in [8, 32, 128] {
        let mut fleet = Simulation::settled(members, SEED);
        let dead = members / 2;
        inject_network_faults(&mut fleet);
        fleet.run_checked(SILENCE * 20, |fleet| assert!(fleet.only_gone(&[]), "{members}"));
        fleet.kill(dead);
        fleet.run_checked(SILENCE * 20, |fleet| assert!(fleet.only_gone(&[dead]), "{members}"));
        assert!(fleet.views_are_right(), "{members}");
        fleet.start(dead);
        fleet.run_checked(SILENCE * 20, |fleet| assert!(fleet.only_gone(&[dead]), "{members}"));
        assert!(fleet.views_are_right(), "{members}");
    }
}

#[test]
fn registers_are_equal_within_eight_silences_of_quiet() {
    for members in [8, 32, 128] {
        let mut fleet = Simulation::empty(members, SEED);
        inject_network_faults(&mut fleet);
        fleet.network.loss_percent = 40;
        (0..members).for_each(|member| fleet.start(member));
        for round in 0..10 {
            fleet.start(round * 7 % members);
            fleet.run_for(SILENCE / 2);
        }
        clear_network_faults(&mut fleet);
        fleet.run_for(SILENCE * 8);
        assert!(fleet.registers_are_equal(), "{members}");
    }
}

#[test]
fn one_change_that_floods_lose_altogether_is_repaired() {
    for members in [8, 32, 200] {
        let mut fleet = Simulation::settled(members, SEED);
        fleet.network.cut_off.insert(members / 2);
        fleet.start(members / 2);
        fleet.run_for(SILENCE / 2);
        fleet.network.cut_off.clear();
        let equal = fleet.run_until(SILENCE * 8, Simulation::registers_are_equal);
        assert!(equal.is_some(), "{members}");
        let incarnation = fleet.incarnation(members / 2);
        let register = fleet.membership(0).register((members / 2) as u16).expect("it is known");
        assert_eq!(register.incarnation, incarnation, "{members}");
    }
}

#[test]
fn a_register_of_a_previous_incarnation_is_ignored() {
    let mut fleet = Simulation::settled(32, SEED);
    let member = 9;
    let previous = *fleet.membership(member).register(member as u16).expect("its own");
    let forged = Register { sequence: 1_000_000, unheard: 0b11, caught_up: false, ..previous };
    fleet.kill(member);
    fleet.run_for(SILENCE * 2);
    fleet.start(member);
    fleet.run_for(SILENCE * 2);
    let neighbours = fleet.overlay.neighbours(member as u16).to_vec();
    let message = Message::Registers(vec![MemberRegister { member: member as u16, register: forged }]);
    for neighbour in neighbours.iter().map(|neighbour| usize::from(*neighbour)) {
        fleet.inject(neighbour, member, &message);
        fleet.inject(member, neighbour, &message);
    }
    fleet.run_checked(SILENCE * 3, |fleet| {
        assert!(fleet.views_are_right());
        for observer in 0..fleet.members() {
            let register = fleet.membership(observer).register(member as u16).expect("it is known");
            assert_eq!(register.incarnation, fleet.incarnation(member));
            assert!(register.caught_up);
        }
    });
}

#[test]
fn a_member_that_receives_a_forged_own_register_publishes_its_own_again() {
    let mut fleet = Simulation::settled(32, SEED);
    let member = 9;
    let own = *fleet.membership(member).register(member as u16).expect("its own");
    let forged = Register { sequence: own.sequence + 5, unheard: 0b11, caught_up: false, ..own };
    let neighbour = usize::from(fleet.overlay.neighbours(member as u16)[0]);
    fleet.inject(
        neighbour,
        member,
        &Message::Registers(vec![MemberRegister { member: 9, register: forged }]),
    );
    fleet.run_for(SILENCE * 2);
    for observer in 0..fleet.members() {
        let register = fleet.membership(observer).register(9).expect("it is known");
        assert_eq!((register.unheard, register.caught_up), (0, true));
        assert!(register.sequence > forged.sequence);
    }
}

#[test]
fn a_late_message_of_a_previous_incarnation_changes_nothing() {
    let overlay = Arc::new(Overlay::new(8, 1).expect("an overlay"));
    let timing = Timing { silence: SILENCE };
    let mut observer = Membership::new(Duration::ZERO, 0, overlay, timing);
    let register = |incarnation, sequence, caught_up| {
        let register = Register { incarnation, sequence, unheard: 0, caught_up };
        Message::Registers(vec![MemberRegister { member: 3, register }])
    };
    let now = Duration::from_millis(10);
    assert_eq!(observer.received(now, 3, &register(7, 4, false)), Ok(vec![3]));
    assert_eq!(observer.received(now, 3, &register(7, 4, false)), Ok(vec![]), "it is a duplicate");
    assert_eq!(observer.received(now, 2, &register(7, 3, true)), Ok(vec![]), "it is late");
    assert_eq!(
        observer.received(now, 2, &register(6, 9, true)),
        Ok(vec![]),
        "it is of a previous incarnation"
    );
    assert_eq!(observer.received(now, 2, &register(7, 5, true)), Ok(vec![3]));
    assert_eq!(observer.register(3).map(|register| register.sequence), Some(5));
    assert_eq!(observer.received(now, 2, &register(8, 1, true)), Ok(vec![3]));
}

#[test]
fn messages_that_do_not_fit_the_fleet_are_refused_and_change_nothing() {
    let overlay = Arc::new(Overlay::new(100, 1).expect("an overlay"));
    let neighbour = overlay.neighbours(0)[0];
    let non_neighbour = (1..100)
        .find(|member| !overlay.neighbours(0).contains(member))
        .expect("a member that is not a neighbour");
    let timing = Timing { silence: SILENCE };
    let mut observer = Membership::new(Duration::ZERO, 0, Arc::clone(&overlay), timing);
    let entry = |member, unheard, incarnation| MemberRegister {
        member,
        register: Register { incarnation, sequence: 1, unheard, caught_up: true },
    };
    let good = entry(3, 0, 1);
    let cases = [
        (non_neighbour, Message::Heartbeat { digest: 0 }, MessageError::NotANeighbour(non_neighbour)),
        (0, Message::Heartbeat { digest: 0 }, MessageError::NotANeighbour(0)),
        (neighbour, Message::Registers(vec![good, entry(100, 0, 1)]), MessageError::UnknownMember(100)),
        (neighbour, Message::Registers(vec![good, entry(4, 1 << 10, 1)]), MessageError::BadRegister(4)),
        (neighbour, Message::Registers(vec![good, entry(4, 0, 0)]), MessageError::BadRegister(4)),
        (neighbour, Message::BucketDigests(vec![1]), MessageError::WrongBucketCount(1)),
        (neighbour, Message::BucketDigests(vec![1; 3]), MessageError::WrongBucketCount(3)),
        (neighbour, Message::BucketRequest(vec![0, 2]), MessageError::WrongBucket(2)),
        (neighbour, Message::Bucket { bucket: 2, registers: vec![] }, MessageError::WrongBucket(2)),
        (neighbour, Message::Bucket { bucket: 1, registers: vec![good] }, MessageError::WrongBucket(1)),
    ];
    for (from, message, error) in cases {
        assert_eq!(observer.received(SILENCE, from, &message), Err(error), "{message:?}");
        assert!(!error.to_string().is_empty());
        assert!(observer.register(3).is_none(), "{message:?} was half applied");
    }
    assert_eq!(observer.received(SILENCE, neighbour, &Message::Registers(vec![good])), Ok(vec![3]));
}

#[test]
fn random_messages_neither_panic_nor_stop_the_clock() {
    let overlay = Arc::new(Overlay::new(200, 1).expect("an overlay"));
    let neighbours = overlay.neighbours(0).to_vec();
    let mut observer = Membership::new(Duration::ZERO, 0, overlay, Timing { silence: SILENCE });
    observer.set_self(Duration::ZERO, 5, true);
    let mut random = TestRandom::new(SEED);
    let mut applied = 0;
    for step in 0..200_000u64 {
        let now = Duration::from_millis(step);
        let tag = random.below(6) as u8;
        let length = random.below(12);
        let mut bytes = vec![tag];
        bytes.extend((0..length).map(|_| random.below(64) as u8));
        let from = neighbours[random.below(neighbours.len() as u64) as usize];
        if let Ok(message) = Message::decode(&bytes) {
            applied += usize::from(observer.received(now, from, &message).is_ok());
        }
        if observer.next_due() <= now {
            observer.tick(now);
            assert!(observer.next_due() > now);
        }
    }
    assert!(applied > 1_000, "{applied} messages were applied");
}

#[test]
fn a_later_incarnation_of_the_own_name_is_not_overwritten() {
    let overlay = Arc::new(Overlay::new(8, 1).expect("an overlay"));
    let mut member = Membership::new(Duration::ZERO, 0, overlay, Timing { silence: SILENCE });
    member.set_self(Duration::ZERO, 5, true);
    let register = Register { incarnation: 9, sequence: 1, unheard: 0, caught_up: false };
    let other = Message::Registers(vec![MemberRegister { member: 0, register }]);
    assert_eq!(member.received(Duration::ZERO, 1, &other), Ok(vec![0]));
    member.set_self(Duration::ZERO, 5, false);
    member.set_self(Duration::ZERO, 4, false);
    assert_eq!(member.register(0), Some(&register));
    let sent = member.tick(Duration::ZERO);
    assert!(!sent.is_empty());
    member.set_self(SILENCE, 5, true);
    let is_heartbeat = |(_, message): &(u16, Message)| matches!(message, Message::Heartbeat { .. });
    assert!(
        member.tick(SILENCE).iter().all(is_heartbeat),
        "the register of the other process is sent repeatedly"
    );
    member.set_self(Duration::ZERO, 10, false);
    assert_eq!(member.register(0).map(|register| register.incarnation), Some(10));
}

#[test]
fn registers_with_equal_numbers_converge_in_any_order() {
    let overlay = Arc::new(Overlay::new(8, 1).expect("an overlay"));
    let register = |unheard, caught_up| {
        let register = Register { incarnation: 7, sequence: 4, unheard, caught_up };
        Message::Registers(vec![MemberRegister { member: 3, register }])
    };
    let messages = [register(1, false), register(2, false), register(1, true)];
    let digest = |order: [usize; 3]| {
        let timing = Timing { silence: SILENCE };
        let mut observer = Membership::new(Duration::ZERO, 0, Arc::clone(&overlay), timing);
        for index in order {
            observer.received(SILENCE, 1, &messages[index]).expect("it is valid");
        }
        observer.digest()
    };
    let first = digest([0, 1, 2]);
    for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        assert_eq!(digest(order), first, "{order:?}");
    }
}

#[test]
fn members_that_start_at_once_do_not_send_their_heartbeats_at_once() {
    let overlay = Arc::new(Overlay::new(64, 1).expect("an overlay"));
    let timing = Timing { silence: SILENCE };
    let first_heartbeat = |member| {
        let mut membership = Membership::new(Duration::ZERO, member, Arc::clone(&overlay), timing);
        membership.tick(Duration::ZERO);
        membership.next_due()
    };
    let early = (0..64).filter(|member| first_heartbeat(*member) < timing.heartbeat() / 2).count();
    assert!((16..=48).contains(&early), "{early} of 64 in the first half");
}

#[test]
fn registers_of_a_repair_are_passed_on_if_they_replace_known_ones_alone() {
    let overlay = Arc::new(Overlay::new(100, 1).expect("an overlay"));
    let from = overlay.neighbours(0)[0];
    let timing = Timing { silence: SILENCE };
    let mut observer = Membership::new(Duration::ZERO, 0, overlay, timing);
    observer.tick(Duration::ZERO);
    let bucket = |incarnation| {
        let register = Register { incarnation, sequence: 1, unheard: 0, caught_up: true };
        Message::Bucket { bucket: 0, registers: vec![MemberRegister { member: 50, register }] }
    };
    let passed_on = |observer: &mut Membership, now| {
        let messages = observer.tick(now);
        messages.iter().filter(|(_, message)| matches!(message, Message::Registers(_))).count()
    };
    observer.received(SILENCE, from, &bucket(5)).expect("it is valid");
    assert_eq!(passed_on(&mut observer, SILENCE), 0, "a register was relayed that repair had only filled in");
    observer.received(SILENCE * 2, from, &bucket(6)).expect("it is valid");
    assert!(passed_on(&mut observer, SILENCE * 2) >= 3, "a replaced register is relayed");
}

#[test]
fn an_earlier_own_incarnation_is_ignored() {
    let overlay = Arc::new(Overlay::new(8, 1).expect("an overlay"));
    let mut member = Membership::new(Duration::ZERO, 0, overlay, Timing { silence: SILENCE });
    member.set_self(Duration::ZERO, 5, true);
    member.set_self(Duration::ZERO, 4, false);
    let forged = Register { incarnation: 5, sequence: 9, unheard: 0, caught_up: false };
    let message = Message::Registers(vec![MemberRegister { member: 0, register: forged }]);
    member.received(Duration::ZERO, 1, &message).expect("it is valid");
    let register = Register { incarnation: 5, sequence: 10, unheard: 0, caught_up: true };
    assert_eq!(member.register(0), Some(&register));
}

#[test]
fn members_without_incarnations_send_heartbeats_alone() {
    let overlay = Arc::new(Overlay::new(8, 1).expect("an overlay"));
    let mut member = Membership::new(Duration::ZERO, 0, overlay, Timing { silence: SILENCE });
    for step in 0..30 {
        let now = Duration::from_millis(step * 200);
        member.frame_received(now, 1);
        let messages = member.tick(now);
        assert!(messages.iter().all(|(_, message)| matches!(message, Message::Heartbeat { .. })));
    }
    assert!(member.hears(1) && !member.hears(2));
    assert_eq!(member.register(0), None);
}

#[test]
fn a_register_is_not_sent_to_a_neighbour_that_sent_the_same() {
    let overlay = Arc::new(Overlay::new(100, 1).expect("an overlay"));
    let register = Register { incarnation: 5, sequence: 1, unheard: 0, caught_up: true };
    let message = Message::Registers(vec![MemberRegister { member: 50, register }]);
    let recipients_after = |senders: &[u16]| {
        let timing = Timing { silence: SILENCE };
        let mut observer = Membership::new(Duration::ZERO, 0, Arc::clone(&overlay), timing);
        for sender in senders {
            observer.received(Duration::ZERO, *sender, &message).expect("it is valid");
        }
        let sent = observer.tick(Duration::ZERO).into_iter();
        let sent_registers = sent.filter(|(_, message)| matches!(message, Message::Registers(_)));
        sent_registers.map(|(to, _)| to).collect::<Vec<u16>>()
    };
    let first = overlay.neighbours(0)[0];
    let recipients_after_one = recipients_after(&[first]);
    let second = recipients_after_one[0];
    assert_eq!(recipients_after(&[first, second]), recipients_after_one[1..]);
}
