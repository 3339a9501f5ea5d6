//! When digests are sent, which buckets are asked for, and who is served.

use super::*;
use crate::register::Register;

const SILENCE: Duration = Duration::from_secs(1);
const START: Duration = Duration::from_secs(10);
const MEMBERS: usize = 1_280;
const BUCKETS: usize = 20;
const LOCAL_DIGESTS: [u32; BUCKETS] = [1; BUCKETS];

fn repair(neighbours: usize) -> Repair {
    Repair::new(START, neighbours, SILENCE)
}

fn full_table() -> RegisterTable {
    let mut table = RegisterTable::new(START, MEMBERS);
    for member in 0..MEMBERS as u16 {
        let register = Register { incarnation: u64::MAX, sequence: 1, unheard: 0, caught_up: true };
        table.merge(START, member, register);
    }
    table
}

fn at(milliseconds: u64) -> Duration {
    START + Duration::from_millis(milliseconds)
}

/// Compares at each heartbeat from `first` to `last`; the times at which digests were sent.
fn digests_sent(repair: &mut Repair, first: u64, last: u64, equal_at: u64) -> Vec<u64> {
    let table = full_table();
    let mut sent = Vec::new();
    for now in (first..=last).step_by(200) {
        repair.compared(at(now), 0, now == equal_at);
        let messages = repair.round(at(now), &table);
        sent.extend(messages.iter().map(|_| now));
    }
    sent
}

fn requested(messages: &[(usize, Message)]) -> Vec<(usize, Vec<u16>)> {
    let request = |(position, message): &(usize, Message)| match message {
        Message::BucketRequest(buckets) => Some((*position, buckets.clone())),
        _ => None,
    };
    messages.iter().filter_map(request).collect()
}

#[test]
fn digests_are_sent_after_a_silence_of_difference_and_once_a_silence() {
    assert_eq!(digests_sent(&mut repair(1), 0, 3_400, u64::MAX), [1_000, 2_000, 3_000]);
}

#[test]
fn an_equal_digest_restarts_the_time() {
    assert_eq!(digests_sent(&mut repair(1), 0, 2_000, 800), [2_000]);
}

#[test]
fn an_equal_digest_cancels_digests_that_are_due() {
    let mut repair = repair(1);
    repair.compared(at(0), 0, false);
    repair.compared(at(1_000), 0, false);
    assert!(repair.has_work());
    repair.compared(at(1_000), 0, true);
    assert!(!repair.has_work());
}

#[test]
fn two_buckets_are_requested_at_a_time_and_none_from_two_neighbours() {
    let mut repair = repair(3);
    (0..3).for_each(|position| repair.digests_received(at(0), position, &[2; BUCKETS], &LOCAL_DIGESTS));
    let requests = requested(&repair.round(at(0), &full_table()));
    assert_eq!(requests, [(0, vec![0, 1]), (1, vec![2, 3]), (2, vec![4, 5])]);
    repair.digests_received(at(10), 0, &[2; BUCKETS], &LOCAL_DIGESTS);
    assert!(!repair.has_work(), "two are asked for and not answered");
    repair.answered(0, 0);
    repair.digests_received(at(20), 0, &[2; BUCKETS], &LOCAL_DIGESTS);
    assert_eq!(requested(&repair.round(at(20), &full_table())), [(0, vec![1, 6])]);
}

#[test]
fn equal_and_empty_buckets_are_not_requested() {
    let mut remote = LOCAL_DIGESTS;
    remote[3] = 0;
    remote[7] = 9;
    let mut repair = repair(1);
    repair.digests_received(at(0), 0, &remote, &LOCAL_DIGESTS);
    assert_eq!(requested(&repair.round(at(0), &full_table())), [(0, vec![7])]);
}

#[test]
fn a_request_without_an_answer_is_made_to_another_after_two_silences() {
    let mut remote = LOCAL_DIGESTS;
    remote[7] = 9;
    let mut repair = repair(2);
    repair.digests_received(at(0), 0, &remote, &LOCAL_DIGESTS);
    repair.digests_received(at(1_999), 1, &remote, &LOCAL_DIGESTS);
    assert_eq!(requested(&repair.round(at(1_999), &full_table())), [(0, vec![7])]);
    repair.digests_received(at(2_000), 1, &remote, &LOCAL_DIGESTS);
    assert_eq!(requested(&repair.round(at(2_000), &full_table())), [(1, vec![7])]);
}

#[test]
fn a_neighbour_has_two_buckets_waiting_at_most_each_once() {
    let mut repair = repair(1);
    repair.requested(0, &[4, 4]);
    for _ in 0..10 {
        repair.requested(0, &[4, 5]);
        repair.requested(0, &[5, 6]);
    }
    assert_eq!(repair.exchanges[0].to_serve, [4, 5]);
}

#[test]
fn all_neighbours_are_served_in_turn_under_the_allowance() {
    let table = full_table();
    let mut repair = repair(4);
    let mut bytes = [0; 4];
    for step in 0..600 {
        (0..4).for_each(|position| repair.requested(position, &[1, 2]));
        for (position, message) in repair.round(at(step * 50), &table) {
            bytes[position] += message.encode().len();
        }
    }
    let total: usize = bytes.iter().sum();
    let allowed = BURST_BYTES as usize + 30 * BYTES_PER_SECOND as usize;
    assert!(total <= allowed && total > allowed * 9 / 10, "{total} bytes of {allowed}");
    assert!(bytes.iter().all(|bytes| *bytes > total / 8), "{bytes:?}");
}

#[test]
fn a_bucket_is_served_whole_in_one_message() {
    let mut repair = repair(1);
    repair.requested(0, &[19]);
    let messages = repair.round(at(0), &full_table());
    let [(0, Message::Bucket { bucket: 19, registers })] = &messages[..] else { panic!("{messages:?}") };
    let members: Vec<u16> = registers.iter().map(|entry| entry.member).collect();
    assert_eq!(members, (1_216..1_280).collect::<Vec<u16>>());
    assert!(!repair.has_work());
}
