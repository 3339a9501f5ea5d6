//! Tests of the module `duties`, with access to its private items.

use lotussaddle_lease::{Checkpoint, HandOver, Heartbeat, HeartbeatReply, Table, TableId, Term};

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// One lease message of each kind, as a peer may send it.
fn lease_messages() -> Vec<LeaseMessage> {
    let (term, number) = (Term(7 << 32 | 1 << 16), FencingToken(9));
    let table = TableId { term, version: 3 };
    let seat = DutyAssignment {
        duty: SWEEP,
        member: 1,
        incarnation: 5,
        token: number,
        reason: lease::ChangeReason::Free,
        checkpoint: b"core-1".to_vec(),
    };
    let whole = Table { id: table, voters: vec![0, 1, 2], highest_token: number, assignments: vec![seat] };
    let back = HeartbeatReply {
        term,
        heartbeat_serial: 1,
        table,
        reply_number: 4,
        incarnation: 5,
        accepts_duties: true,
        hand_overs: vec![HandOver { duty: SWEEP, token: number, to: Some(2) }],
        checkpoints: vec![Checkpoint { duty: CIRCUITS, token: number, data: vec![1, 2, 3] }],
        refused_tokens: vec![(SWEEP, FencingToken(u64::MAX))],
    };
    let (duties_to_release, full_table) = (vec![(SWEEP, number)], Some(whole.clone()));
    vec![
        LeaseMessage::PreVoteRequest { above_term: term, table },
        LeaseMessage::PreVoteReply { above_term: term, granted: true, highest_term: Term(u64::MAX) },
        LeaseMessage::VoteRequest { term, table },
        LeaseMessage::VoteReply { term, granted: true, highest_term: term, newer_table: Some(whole.clone()) },
        LeaseMessage::Heartbeat(Heartbeat {
            term,
            serial: 2,
            table,
            is_committed: true,
            lease_from_reply: 1,
            duties_to_release,
            full_table,
        }),
        LeaseMessage::HeartbeatReply(back),
        LeaseMessage::LeaderResigned { term },
        LeaseMessage::StateLost,
        LeaseMessage::StateReply { term, is_consistent: true, table: whole },
        LeaseMessage::MoveDuty { duty: SWEEP, to: Some(2) },
        LeaseMessage::ChangeVoters { voters: vec![0, 1, 4] },
    ]
}

/// Corrupts each byte of each message in three ways and truncates it to each length: it is decoded or refused, and the member keeps
/// running.
#[test]
fn truncated_or_corrupted_messages_do_not_stop_a_member() {
    let names: Vec<String> = (0..5).map(|n| format!("edge-{n}")).collect();
    let group = ReplicaGroup::new(names.iter().map(String::as_str), 2);
    let plan = DutyPlan { voters: vec![0, 1, 2], lease_duration: ms(400) };
    let (mut read, mut refused) = (0, 0);
    let mut duties = Duties::new(ms(0), 0, &group, &plan, ms(500), (None, None), 1);
    duties.set_incarnation(ms(0), 3);
    let cores = BTreeSet::from([ServerId("core".into())]);
    let mut now = ms(0);
    for word in lease_messages() {
        let bytes = postcard::to_allocvec(&word).unwrap();
        let cut = (0..bytes.len()).map(|length| bytes[..length].to_vec());
        let changed = (0..bytes.len()).flat_map(|place| {
            [0, 255, bytes[place] ^ 0x21].map(|byte| {
                let mut bytes = bytes.clone();
                bytes[place] = byte;
                bytes
            })
        });
        for bytes in cut.chain(changed) {
            now += ms(3);
            for from in [0, 1, 2] {
                match duties.message_received(now, from, &bytes) {
                    true => read += 1,
                    false => refused += 1,
                }
            }
            if duties.next_due() <= now {
                duties.timer_fired(now, &cores);
            }
            for action in duties.take_effects(now) {
                if let DutyEffect::Persist(number, _) = action {
                    duties.state_persisted(now, number, true);
                }
            }
        }
    }
    assert!(read > 100 && refused > 100, "{read} read, {refused} refused");
    assert!(duties.status(now, &names)["voters"].as_array().is_some_and(|voters| voters.len() >= 3));
}

#[test]
fn circuits_continue_after_the_last_checkpoint() {
    let cores: BTreeSet<ServerId> = ["a", "b", "c"].map(|name| ServerId(name.into())).into();
    let mut circuits = Circuits::new(ms(3000));
    assert!(circuits.step(ms(0), &cores).is_none() && circuits.next_due().is_none());
    circuits.acquired(ms(0), b"b");
    let mut seen = Vec::new();
    for at in 0..5 {
        let (Step::Check(server), mark) = circuits.step(ms(at * 1000), &cores).unwrap();
        assert!(mark == server.0.as_bytes() && circuits.step(ms(at * 1000 + 999), &cores).is_none());
        seen.push(server.0.to_string());
    }
    assert_eq!(seen, ["c", "a", "b", "c", "a"]);
    circuits.lost();
    assert!(circuits.step(ms(9000), &cores).is_none());
    // Without core servers there is no step.
    circuits.acquired(ms(0), &[0xff]);
    assert!(circuits.step(ms(0), &BTreeSet::new()).is_none());
}
