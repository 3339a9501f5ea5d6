//! The client against look-up servers that hang, lose, lie and come back, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use lotussaddle_numbers::Digits;
use lotussaddle_portability::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

fn number(n: u64) -> Digits {
    Digits::parse(&format!("+49{n:09}")).unwrap()
}

#[derive(Default)]
struct Wire(Vec<(usize, Vec<u8>)>);

impl Outside for Wire {
    fn send(&mut self, server: usize, bytes: &[u8]) {
        self.0.push((server, bytes.to_vec()));
    }
}

fn moved(bytes: &[u8], to: &str) -> Vec<u8> {
    let (question, _) = question_of(bytes, "e164.arpa").unwrap();
    let uri = format!("!^.*$!tel:+49;npdi;rn={to}!");
    answer(&question, Some(&[(1, 1, "u", "E2U+pstn:tel", &uri, ".")]), 60)
}

fn no(bytes: &[u8]) -> Vec<u8> {
    answer(&question_of(bytes, "e164.arpa").unwrap().0, None, 60)
}

fn client(plan: Plan) -> Client {
    Client::new(plan, 1)
}

fn told(client: &mut Client) -> Vec<(u64, Outcome)> {
    client.take_told().into_iter().map(|told| (told.waiter, told.outcome)).collect()
}

#[test]
fn identical_questions_are_one_and_its_answer_is_kept() {
    let (mut client, mut wire) = (client(Plan::default()), Wire::default());
    for waiter in 0..5 {
        assert_eq!(client.ask(S, 0, number(1), waiter, &mut wire), Asked::Waits);
    }
    assert_eq!(wire.0.len(), 1);
    client.heard(S + MS, 0, &moved(&wire.0[0].1, "+49999"), &mut wire);
    let to = Moved::To(Digits::parse("+49999").unwrap());
    assert_eq!(told(&mut client), (0..5).map(|waiter| (waiter, Outcome::Known(to))).collect::<Vec<_>>());
    assert_eq!(client.ask(S * 2, 3, number(1), 9, &mut wire), Asked::Now(to));
    assert_eq!(wire.0.len(), 1);
}

#[test]
fn a_stale_answer_is_used_while_it_is_asked_again() {
    let (mut client, mut wire) = (client(Plan::default()), Wire::default());
    client.ask(S, 0, number(1), 1, &mut wire);
    client.heard(S, 0, &no(&wire.0[0].1), &mut wire);
    assert_eq!(client.ask(S * 62, 0, number(1), 2, &mut wire), Asked::Now(Moved::Not));
    assert_eq!(client.ask(S * 62, 0, number(1), 3, &mut wire), Asked::Now(Moved::Not));
    assert_eq!(wire.0.len(), 2, "asked again, once");
    client.heard(S * 62, 0, &moved(&wire.0[1].1, "+49999"), &mut wire);
    assert!(matches!(client.ask(S * 63, 0, number(1), 4, &mut wire), Asked::Now(Moved::To(_))));
}

#[test]
fn repeats_go_to_another_server_and_wait_longer() {
    let (mut client, mut wire) = (client(Plan { servers: 2, ..Plan::default() }), Wire::default());
    client.ask(S, 0, number(1), 1, &mut wire);
    let mut times = Vec::new();
    while let Some(due) = client.next_due().filter(|_| told(&mut client).is_empty()) {
        times.push(due);
        client.alarm(due, &mut wire);
    }
    let asked: Vec<usize> = wire.0.iter().map(|(server, _)| *server).collect();
    assert!(asked[0] != asked[1] && asked[0] == asked[2] && asked.len() == 3, "{asked:?}");
    assert_eq!(times[..3], [S + MS * 60, S + MS * 180, S + MS * 420]);
    // Each under an id of its own.
    assert!(wire.0[0].1[..2] != wire.0[1].1[..2] && wire.0[0].1[..2] != wire.0[2].1[..2]);
}

#[test]
fn an_answer_that_comes_late_is_kept_for_the_next() {
    let (mut client, mut wire) = (client(Plan::default()), Wire::default());
    client.ask(S, 0, number(1), 1, &mut wire);
    client.forget(1); // its dialogue had no more patience
    for _ in 0..3 {
        let due = client.next_due().unwrap();
        client.alarm(due, &mut wire);
    }
    assert_eq!(told(&mut client), [], "nobody waits");
    client.heard(S * 3, 0, &moved(&wire.0[0].1, "+49999"), &mut wire);
    assert_eq!((client.counts.late, client.counts.strange), (1, 0));
    assert!(matches!(client.ask(S * 4, 0, number(1), 2, &mut wire), Asked::Now(Moved::To(_))));
    // Answers to the first try serve whoever waits for the second.
    client.ask(S * 4, 0, number(2), 3, &mut wire);
    let first = wire.0.last().unwrap().1.clone();
    client.alarm(S * 4 + MS * 60, &mut wire);
    client.heard(S * 4 + MS * 70, 0, &no(&first), &mut wire);
    assert_eq!(told(&mut client), [(3, Outcome::Known(Moved::Not))]);
    assert_eq!(client.next_due(), None, "and it is not asked a third time");
    // After the bound a late answer is a strange one.
    client.heard(S * 30, 0, &moved(&wire.0[1].1, "+49999"), &mut wire);
    assert_eq!(client.sizes().0, 0);
}

#[test]
fn forged_truncated_looping_and_oversized_answers_change_nothing() {
    let (mut client, mut wire) = (client(Plan { servers: 2, ..Plan::default() }), Wire::default());
    client.ask(S, 0, number(1), 1, &mut wire);
    let (server, asked) = wire.0[0].clone();
    let good = moved(&asked, "+49999");
    let mut other_id = good.clone();
    other_id[0] ^= 1;
    let other_number = {
        let mut question = question_of(&asked, "e164.arpa").unwrap().0;
        question.name = Question::of(0, number(2), "e164.arpa").name;
        answer(&question, Some(&[(1, 1, "u", "E2U+pstn:tel", "!^.*$!tel:+49;rn=+49666!", ".")]), 60)
    };
    let mut looping = good.clone();
    (looping[12], looping[13]) = (0xc0, 12);
    let oversized = [good.clone(), vec![0; 600]].concat();
    for forged in [other_id, other_number, looping, oversized, good[..20].to_vec(), asked.clone(), vec![]] {
        client.heard(S, server, &forged, &mut wire);
    }
    // From the other server, or one that there is not.
    client.heard(S, 1 - server, &good, &mut wire);
    client.heard(S, 7, &good, &mut wire);
    assert_eq!(told(&mut client), []);
    assert_eq!(client.counts.strange, 9);
    client.heard(S, server, &good, &mut wire);
    assert!(matches!(told(&mut client)[..], [(1, Outcome::Known(Moved::To(_)))]));
    // A second one of the same id finds nothing.
    client.heard(S, server, &good, &mut wire);
    assert_eq!(client.counts.strange, 10);
    // One that was cut to fit a datagram is told as no answer, at once.
    client.ask(S, 0, number(3), 2, &mut wire);
    let (server, asked) = wire.0.last().unwrap().clone();
    let mut cut = no(&asked);
    cut[2] |= 2;
    client.heard(S, server, &cut, &mut wire);
    assert_eq!(told(&mut client), [(2, Outcome::Unknown("its answer has no room in a datagram"))]);
}

#[test]
fn whoever_guesses_at_ids_begins_anew() {
    let (mut client, mut wire) = (client(Plan::default()), Wire::default());
    client.ask(S, 0, number(1), 1, &mut wire);
    let first = wire.0[0].1.clone();
    let mut forged = moved(&first, "+49666");
    for guess in 0..64u16 {
        forged[..2].copy_from_slice(
            &(u16::from_be_bytes([first[0], first[1]]).wrapping_add(1 + guess)).to_be_bytes(),
        );
        client.heard(S, 0, &forged, &mut wire);
    }
    assert_eq!(wire.0.len(), 2, "asked anew");
    // The former id is worth nothing any more.
    forged[..2].copy_from_slice(&first[..2]);
    client.heard(S, 0, &forged, &mut wire);
    assert_eq!(told(&mut client), []);
    client.heard(S, 0, &no(&wire.0[1].1), &mut wire);
    assert_eq!(told(&mut client), [(1, Outcome::Known(Moved::Not))]);
}

#[test]
fn names_that_lead_round_in_a_circle_end() {
    let (mut client, mut wire) = (client(Plan::default()), Wire::default());
    client.ask(S, 0, number(1), 1, &mut wire);
    let elsewhere = |bytes: &[u8], to: &str| {
        let (question, _) = question_of(bytes, "e164.arpa").unwrap();
        answer(&question, Some(&[(1, 1, "", "", "", to)]), 60)
    };
    let (a, b) = (Question::of(0, number(1), "e164.arpa").name, Question::of(0, number(2), "e164.arpa").name);
    client.heard(S, 0, &elsewhere(&wire.0[0].1, &b), &mut wire);
    assert_eq!(question_of(&wire.0[1].1, "e164.arpa").unwrap().0.name, b);
    client.heard(S, 0, &elsewhere(&wire.0[1].1, &a), &mut wire);
    assert_eq!(told(&mut client), [(1, Outcome::Unknown("its names lead round in a circle"))]);
    // Ever new names end too.
    client.ask(S, 0, number(9), 2, &mut wire);
    for hop in 0..20 {
        let asked = wire.0.last().unwrap().1.clone();
        client.heard(
            S,
            0,
            &elsewhere(&asked, &Question::of(0, number(100 + hop), "e164.arpa").name),
            &mut wire,
        );
    }
    assert_eq!(told(&mut client), [(2, Outcome::Unknown("it is sent on too often"))]);
}

#[test]
fn a_server_that_fails_is_passed_over_for_another() {
    let (mut client, mut wire) = (client(Plan { servers: 2, ..Plan::default() }), Wire::default());
    client.ask(S, 0, number(1), 1, &mut wire);
    let (server, asked) = wire.0[0].clone();
    let mut failed = no(&asked);
    failed[3] = failed[3] & 0xf0 | 2;
    client.heard(S, server, &failed, &mut wire);
    let (other, asked) = wire.0[1].clone();
    assert_eq!(other, 1 - server);
    client.heard(S, other, &no(&asked), &mut wire);
    assert_eq!(told(&mut client), [(1, Outcome::Known(Moved::Not))]);
}

#[test]
fn what_is_out_is_limited_and_servers_that_hang_are_left_alone() {
    let plan = Plan { servers: 2, queue: 100, ..Plan::default() };
    let (mut client, mut wire) = (client(plan), Wire::default());
    let mut never = 0;
    let mut now = S;
    for n in 0..5_000u64 {
        now += MS;
        while let Some(due) = client.next_due().filter(|due| *due <= now) {
            client.alarm(due, &mut wire);
        }
        never += usize::from(client.ask(now, 0, number(n), n, &mut wire) == Asked::Never);
        let (out, waiting, _) = client.sizes();
        assert!(out <= 32 && waiting <= 100, "{out} out, {waiting} wait");
    }
    assert!(never > 4_500, "{never} were told at once that there is nobody to ask");
    assert!(wire.0.len() < 200, "{} datagrams to servers that hang", wire.0.len());
    assert!(client.counts.broken >= 2);
    // They come back: a trial each, and then all is asked again.
    let mut answered = 0;
    for n in 5_000..15_000u64 {
        now += MS;
        wire.0.clear();
        client.alarm(now, &mut wire);
        client.ask(now, 0, number(n), n, &mut wire);
        for (server, asked) in std::mem::take(&mut wire.0) {
            client.heard(now, server, &no(&asked), &mut wire);
            answered += 1;
        }
    }
    assert!(answered > 5_000, "{answered} answered once they were back");
    assert!((0..2).any(|server| client.server(server).1));
}

#[test]
fn a_flood_of_one_tenant_is_bounded_and_leaves_the_others_theirs() {
    let plan = Plan { remembered: 1000, queue: 200, ..Plan::default() };
    let (mut client, mut wire) = (client(plan), Wire::default());
    let mut now = S;
    let serve = |client: &mut Client, wire: &mut Wire, now| {
        for (server, asked) in std::mem::take(&mut wire.0) {
            client.heard(now, server, &no(&asked), wire);
        }
    };
    for n in 0..100 {
        client.ask(now, 1, number(n), n, &mut wire);
        serve(&mut client, &mut wire, now);
    }
    let mut most = 0;
    for n in 0..50_000 {
        now += Duration::from_micros(100);
        client.ask(now, 2, number(1_000_000 + n), n, &mut wire);
        serve(&mut client, &mut wire, now);
        most = most.max(client.cache().bytes());
    }
    assert!(client.cache().len() <= 1000 && most < 200_000, "{most} bytes");
    for n in 0..100 {
        assert_eq!(client.ask(now, 1, number(n), n, &mut wire), Asked::Now(Moved::Not), "{n}");
    }
}

/// The question that was to show whether a server lives is answered by another one, late: the server gets another trial.
#[test]
fn a_trial_answered_elsewhere_does_not_shut_a_server_for_good() {
    let (mut client, mut wire) = (client(Plan { servers: 2, ..Plan::default() }), Wire::default());
    let (mut now, mut n) = (S, 0);
    // Server 0 hangs, server 1 answers, until 0 is left alone.
    while client.server(0).1 {
        (now, n) = (now + MS * 20, n + 1);
        client.alarm(now, &mut wire);
        client.ask(now, 0, number(n), n, &mut wire);
        for (server, asked) in std::mem::take(&mut wire.0) {
            if server == 1 {
                client.heard(now, 1, &no(&asked), &mut wire);
            }
        }
        assert!(n < 1_000);
    }
    // One that is asked of 1 first, and of 0 when 1 takes too long.
    let late = loop {
        while let Some(due) = client.next_due() {
            now = due;
            client.alarm(now, &mut wire);
            for (_, asked) in std::mem::take(&mut wire.0).into_iter().filter(|(server, _)| *server == 1) {
                client.heard(now, 1, &no(&asked), &mut wire);
            }
        }
        (now, n) = (now + S * 60, n + 1);
        client.ask(now, 0, number(n), n, &mut wire);
        let (server, asked) = wire.0[0].clone();
        if server == 1 {
            break asked;
        }
        wire.0.clear();
        assert!(n < 1_100);
    };
    now = client.next_due().unwrap();
    client.alarm(now, &mut wire);
    assert_eq!(wire.0.last().unwrap().0, 0, "the trial");
    client.heard(now + MS, 1, &no(&late), &mut wire);
    assert!(!client.server(0).1);
    // That says nothing of 0, which is tried by the next that would go there.
    wire.0.clear();
    for n in 5_000..5_002 {
        client.ask(now + MS, 0, number(n), n, &mut wire);
    }
    assert!(wire.0.iter().any(|(server, _)| *server == 0), "left alone for good");
}

/// Whatever servers and the wire do: each waiter that is not forgotten is told once, within the longest time that
/// all tries take, and all bounds hold.
#[test]
fn whoever_waits_is_told_once_whatever_servers_do() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let plan = Plan {
            servers: rng.random_range(1..4),
            queue: 50,
            remembered: 20,
            first_out: 4,
            ..Plan::default()
        };
        let servers = plan.servers;
        let (mut client, mut wire) = (Client::new(plan, seed), Wire::default());
        let mut now = S;
        let mut waiting: BTreeMap<u64, Duration> = BTreeMap::new();
        let mut on_way: BTreeMap<(Duration, u64), (usize, Vec<u8>)> = BTreeMap::new();
        let (mut count, mut waiter) = (0, 0);
        let (lost, slow, lies) = (rng.random::<f64>(), rng.random_range(1..200), rng.random::<f64>() * 0.5);
        for _ in 0..600 {
            now += MS * rng.random_range(0..8);
            while let Some(due) = client.next_due().filter(|due| *due <= now) {
                client.alarm(due, &mut wire);
            }
            while let Some(entry) = on_way.first_entry().filter(|entry| entry.key().0 <= now) {
                let (server, bytes) = entry.remove();
                client.heard(now, server, &bytes, &mut wire);
            }
            waiter += 1;
            let asked =
                client.ask(now, rng.random_range(0..3), number(rng.random_range(0..60)), waiter, &mut wire);
            if asked == Asked::Waits {
                if rng.random::<f64>() < 0.2 {
                    client.forget(waiter);
                } else {
                    waiting.insert(waiter, now);
                }
            }
            for (server, asked) in std::mem::take(&mut wire.0) {
                let mut reply = if rng.random() { no(&asked) } else { moved(&asked, "+49999") };
                if rng.random::<f64>() < lies {
                    let at = rng.random_range(0..reply.len());
                    reply[at] ^= 1 << rng.random_range(0..8);
                }
                if rng.random::<f64>() > lost {
                    count += 1;
                    on_way.insert((now + MS * rng.random_range(0..slow), count), (server, reply));
                }
            }
            for told in client.take_told() {
                let since = waiting.remove(&told.waiter).expect("told, though it does not wait");
                assert!(now - since < S * 3, "waited {:?}, seed {seed}", now - since);
            }
            let (_, queued, remembered) = client.sizes();
            assert!(queued <= 70 && remembered <= 20);
        }
        for _ in 0..10_000 {
            let Some(due) = client.next_due() else { break };
            now = now.max(due);
            client.alarm(now, &mut wire);
        }
        for told in client.take_told() {
            waiting.remove(&told.waiter);
        }
        assert_eq!(waiting, BTreeMap::new(), "seed {seed}");
        // Servers that are well again are all asked again, whatever became of trials meanwhile.
        let well = |client: &Client| (0..servers).all(|server| client.server(server).1);
        let mut n = 0;
        while !well(&client) && n < 2_000 {
            n += 1;
            now += MS * 100;
            client.alarm(now, &mut wire);
            client.ask(now, 0, number(10_000 + n), 1_000_000 + n, &mut wire);
            while !wire.0.is_empty() {
                for (server, asked) in std::mem::take(&mut wire.0) {
                    client.heard(now, server, &no(&asked), &mut wire);
                }
            }
        }
        assert!(
            (0..servers).all(|server| client.server(server).1),
            "a server is left alone for good, seed {seed}"
        );
    }
}

proptest! {
    #[test]
    fn no_datagram_does_harm(bytes in prop::collection::vec(any::<u8>(), 0..700), keep in 0..60usize) {
        let (mut client, mut wire) = (client(Plan::default()), Wire::default());
        client.ask(S, 0, number(1), 1, &mut wire);
        let asked = wire.0[0].1.clone();
        client.heard(S, 0, &bytes, &mut wire);
        // The front of a good answer, and then anything.
        let good = moved(&asked, "+49999");
        let mixed: Vec<u8> = good.iter().copied().take(keep).chain(bytes).collect();
        client.heard(S, 0, &mixed, &mut wire);
        client.alarm(S * 2, &mut wire);
        prop_assert!(client.sizes().2 <= 1);
    }
}
