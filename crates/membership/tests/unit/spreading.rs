//! Which registers are sent to which neighbours, how often, and under which allowance.

use super::*;
use crate::register::{MemberRegister, Register};

const MEMBERS: usize = 300;
const OWN_INDEX: MemberIndex = 40;
const START: Duration = Duration::from_secs(10);

fn overlay() -> Overlay {
    Overlay::new(MEMBERS, 5).expect("an overlay")
}

/// A table in which each member has a register whose numbers take the most bytes.
fn full_table() -> RegisterTable {
    let mut table = RegisterTable::new(START, MEMBERS);
    for member in 0..MEMBERS as MemberIndex {
        let register = Register { incarnation: u64::MAX, sequence: u32::MAX, unheard: 0, caught_up: true };
        table.merge(START, member, register);
    }
    table
}

fn registers(message: &Message) -> &[MemberRegister] {
    let Message::Registers(registers) = message else { panic!("{message:?}") };
    registers
}

/// The positions that are sent something in the next round.
fn recipients(spreading: &mut Spreading) -> Vec<usize> {
    let messages = spreading.round(START, &full_table());
    messages.into_iter().map(|(position, _)| position).collect()
}

fn relay_positions(spreading: &Spreading) -> Vec<usize> {
    (0..spreading.pending.len()).filter(|position| spreading.is_relay(*position)).collect()
}

#[test]
fn the_own_register_goes_to_all_neighbours() {
    let overlay = overlay();
    let mut spreading = Spreading::new(START, OWN_INDEX, &overlay);
    spreading.own_changed();
    assert_eq!(recipients(&mut spreading).len(), overlay.neighbours(OWN_INDEX).len());
    assert!(!spreading.has_work());
}

#[test]
fn others_registers_go_to_the_relays_and_not_back() {
    let overlay = overlay();
    let mut spreading = Spreading::new(START, OWN_INDEX, &overlay);
    let relays = relay_positions(&spreading);
    assert!((RELAY_NEIGHBOURS..overlay.neighbours(OWN_INDEX).len()).contains(&relays.len()), "{relays:?}");
    spreading.schedule_relay(7, relays[0]);
    assert_eq!(recipients(&mut spreading), relays[1..]);
}

#[test]
fn a_register_that_a_neighbour_sent_meanwhile_is_not_sent_back() {
    let mut spreading = Spreading::new(START, OWN_INDEX, &overlay());
    let relays = relay_positions(&spreading);
    spreading.schedule_relay(7, relays[0]);
    spreading.cancel_relay(relays[1], 7);
    assert_eq!(recipients(&mut spreading), relays[2..]);
}

#[test]
fn both_ends_of_an_edge_choose_alike_whatever_is_reported() {
    let overlay = overlay();
    let mut random = crate::random::SplitMix::new(3);
    for _ in 0..20 {
        let bits: Vec<u16> = (0..MEMBERS).map(|_| 1 << random.below(10) | 1 << random.below(10)).collect();
        let unheard = |member: MemberIndex| bits[usize::from(member)];
        let mut is_one_sided = false;
        for member in 0..MEMBERS as MemberIndex {
            let chosen = relays(&overlay, member, unheard);
            let edges = overlay.neighbours(member).iter().zip(overlay.mirrored(member)).enumerate();
            for (position, (neighbour, mirrored)) in edges {
                let is_chosen_remotely = relays(&overlay, *neighbour, unheard) >> mirrored & 1;
                assert_eq!(chosen >> position & 1, is_chosen_remotely);
                is_one_sided |= chosen != first_heard(&overlay, member, &unheard);
            }
        }
        assert!(is_one_sided, "no edge was chosen by one end alone");
    }
}

#[test]
fn a_replacement_relay_is_sent_recent_registers() {
    let overlay = overlay();
    let mut spreading = Spreading::new(START, OWN_INDEX, &overlay);
    let before = relay_positions(&spreading);
    let lost = before[0];
    spreading.schedule_relay(9, before[1]);
    let unheard = |member| if member == OWN_INDEX { 1 << lost } else { 0 };
    spreading.choose_relays(&overlay, unheard, || vec![20, 30]);
    let added: Vec<usize> =
        relay_positions(&spreading).into_iter().filter(|position| !before.contains(position)).collect();
    assert!(!added.is_empty());
    assert!(!spreading.is_relay(lost));
    let messages = spreading.round(START, &full_table());
    assert!(
        messages.iter().all(|(position, _)| *position != lost),
        "registers of others were sent to a neighbour that is not heard"
    );
    for position in added {
        let (_, message) = messages.iter().find(|(to, _)| *to == position).expect("a message to the relay");
        let members: Vec<MemberIndex> = registers(message).iter().map(|entry| entry.member).collect();
        assert_eq!(members, [20, 30]);
    }
}

#[test]
fn a_previous_relay_is_still_sent_the_own_register() {
    let overlay = overlay();
    let mut spreading = Spreading::new(START, OWN_INDEX, &overlay);
    let lost = relay_positions(&spreading)[0];
    spreading.own_changed();
    spreading.choose_relays(&overlay, |member| if member == OWN_INDEX { 1 << lost } else { 0 }, Vec::new);
    assert!(recipients(&mut spreading).contains(&lost));
}

#[test]
fn the_allowance_holds_and_all_neighbours_are_served() {
    let overlay = overlay();
    let table = full_table();
    let mut spreading = Spreading::new(START, OWN_INDEX, &overlay);
    let relays = relay_positions(&spreading);
    let mut bytes_of_position = vec![0; spreading.pending.len()];
    let mut now = START;
    for _ in 0..600 {
        for member in 0..MEMBERS as MemberIndex {
            spreading.schedule_relay(member, usize::MAX);
        }
        for (position, message) in spreading.round(now, &table) {
            assert!(registers(&message).len() <= MAX_REGISTERS);
            bytes_of_position[position] += message.encode().len();
        }
        now += Duration::from_millis(50);
    }
    let total: usize = bytes_of_position.iter().sum();
    let allowed = BURST_BYTES as usize + 30 * BYTES_PER_SECOND as usize;
    assert!(total <= allowed && total > allowed * 9 / 10, "{total} bytes of {allowed}");
    let share = total / relays.len();
    let is_fair = |position: &usize| bytes_of_position[*position] > share / 2;
    assert!(relays.iter().all(is_fair), "{bytes_of_position:?}");
}

#[test]
fn each_register_is_sent_while_earlier_ones_change_again() {
    let overlay = overlay();
    let table = full_table();
    let mut spreading = Spreading::new(START, OWN_INDEX, &overlay);
    let relays = relay_positions(&spreading);
    (0..MEMBERS as MemberIndex).for_each(|member| spreading.schedule_relay(member, usize::MAX));
    let mut sent_members = MemberSet::empty(MEMBERS);
    for _ in 0..4 {
        for (position, message) in spreading.round(START, &table) {
            if position == relays[0] {
                registers(&message).iter().for_each(|entry| {
                    sent_members.insert(entry.member);
                });
            }
        }
        (0..MEMBERS as MemberIndex).for_each(|member| spreading.schedule_relay(member, usize::MAX));
    }
    assert_eq!(sent_members.iter().count(), MEMBERS);
}
