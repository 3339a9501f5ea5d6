//! Tests of the module `duties`, with access to its private items.

use lotussaddle_lease::{Back, Beat, Give, Mark, Table, TableId, Term};

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Words of all kinds, with what a peer may put into them.
fn words() -> Vec<Word> {
    let (term, number) = (Term(7 << 32 | 1 << 16), Number(9));
    let table = TableId { term, version: 3 };
    let seat =
        Seat { duty: SWEEP, member: 1, life: 5, number, why: lease::Why::Free, mark: b"core-1".to_vec() };
    let whole = Table { id: table, voters: vec![0, 1, 2], highest: number, seats: vec![seat] };
    let back = Back {
        term,
        serial: 1,
        table,
        number: 4,
        life: 5,
        willing: true,
        gives: vec![Give { duty: SWEEP, number, to: Some(2) }],
        marks: vec![Mark { duty: CIRCUITS, number, mark: vec![1, 2, 3] }],
        refused: vec![(SWEEP, Number(u64::MAX))],
    };
    let (give, whole_of) = (vec![(SWEEP, number)], Some(whole.clone()));
    vec![
        Word::Try { above: term, table },
        Word::Would { above: term, yes: true, known: Term(u64::MAX) },
        Word::Ask { term, table },
        Word::Vote { term, yes: true, known: term, newer: Some(whole.clone()) },
        Word::Beat(Beat { term, serial: 2, table, agreed: true, lent: 1, give, whole: whole_of }),
        Word::Back(back),
        Word::Resigns { term },
        Word::Lost,
        Word::Have { term, sound: true, table: whole },
        Word::Move { duty: SWEEP, to: Some(2) },
        Word::Voters { voters: vec![0, 1, 4] },
    ]
}

/// Each byte of each word changed in three ways, each length of it: read or refused, and it goes on with time.
#[test]
fn words_that_are_cut_or_changed_end_nothing() {
    let names: Vec<String> = (0..5).map(|n| format!("edge-{n}")).collect();
    let group = Group::new(names.iter().map(String::as_str), 2);
    let plan = DutyPlan { voters: vec![0, 1, 2], lease: ms(400) };
    let (mut read, mut refused) = (0, 0);
    let mut duties = Duties::new(ms(0), 0, &group, &plan, ms(500), (None, None), 1);
    duties.lives(ms(0), 3);
    let cores = BTreeSet::from([ServerId("core".into())]);
    let mut now = ms(0);
    for word in words() {
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
                match duties.heard(now, from, &bytes) {
                    true => read += 1,
                    false => refused += 1,
                }
            }
            if duties.next_due() <= now {
                duties.alarm(now, &cores);
            }
            for action in duties.outs(now) {
                if let DutyEffect::Keep(number, _) = action {
                    duties.kept(now, number, true);
                }
            }
        }
    }
    assert!(read > 100 && refused > 100, "{read} read, {refused} refused");
    assert!(duties.status(now, &names)["voters"].as_array().is_some_and(|voters| voters.len() >= 3));
}

#[test]
fn circuits_go_round_from_behind_the_last_mark() {
    let cores: BTreeSet<ServerId> = ["a", "b", "c"].map(|name| ServerId(name.into())).into();
    let mut circuits = Circuits::new(ms(3000));
    assert!(circuits.step(ms(0), &cores).is_none() && circuits.next_due().is_none());
    circuits.begins(ms(0), b"b");
    let mut seen = Vec::new();
    for at in 0..5 {
        let (Step::Check(server), mark) = circuits.step(ms(at * 1000), &cores).unwrap();
        assert!(mark == server.0.as_bytes() && circuits.step(ms(at * 1000 + 999), &cores).is_none());
        seen.push(server.0.to_string());
    }
    assert_eq!(seen, ["c", "a", "b", "c", "a"]);
    circuits.ends();
    assert!(circuits.step(ms(9000), &cores).is_none());
    // Nothing to go round is no step.
    circuits.begins(ms(0), &[0xff]);
    assert!(circuits.step(ms(0), &BTreeSet::new()).is_none());
}
