//! What look-ups that hang cost a bad day, with and without the limit, the breaker and the cache; and the memory of a
//! flooded cache. `cargo bench -p lotussaddle-day --bench look_ups`

use std::time::{Duration, Instant};

use lotussaddle_day::{Day, Kind, Trouble, days, virt};
use lotussaddle_judge::{Way, What};
use lotussaddle_numbers::Digits;
use lotussaddle_portability::{Asked, Client, Outside, Plan, answer, question_of};
use lotussaddle_standin::{Ill, Illness};

const S: Duration = Duration::from_secs(1);

fn day(seed: u64, kind: &Kind, client: &Plan) -> Day {
    let mut day = days::by_name("new-year").expect("it comes with the program").expect("it is right");
    day.seed = seed;
    day.callers.rate = 100.0;
    day.troubles.retain(|trouble| !matches!(trouble.kind, Kind::LookUps { .. } | Kind::Flood { .. }));
    day.troubles.push(Trouble { at: S * 3, lasts: S * 14, kind: kind.clone() });
    let numbers = day.numbers.as_mut().expect("it has numbers");
    numbers.client = Plan { servers: numbers.servers, ..client.clone() };
    day
}

fn gain() {
    println!(
        "| look-ups | client | gain on time | worst 10 s | stands after s, p99 | datagrams asked | rules broken |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let whole = Plan::default();
    let clients = [
        ("whole", whole.clone()),
        ("no limit", Plan { limited: false, ..whole.clone() }),
        ("no breaker", Plan { breaks: false, ..whole.clone() }),
        ("no cache", Plan { remembered: 0, ..whole.clone() }),
        ("none of the three", Plan { limited: false, breaks: false, remembered: 0, ..whole }),
    ];
    let ill = |ill, share| Kind::LookUps {
        part: 1.0,
        illness: Illness { ill, share, by: Duration::from_millis(400) },
    };
    let kinds = [
        ("as usual", ill(Ill::Lost, 0.0)),
        ("hang", ill(Ill::Hang, 1.0)),
        ("half lost", ill(Ill::Lost, 0.5)),
        ("400 ms slower", ill(Ill::Slow, 1.0)),
    ];
    for (name, kind) in &kinds {
        for (client_name, client) in &clients {
            let played: Vec<_> =
                (1..=5).map(|seed| virt::play(&day(seed, kind, client)).expect("it plays")).collect();
            let column = |of: &dyn Fn(&virt::Played) -> f64| {
                let all: Vec<f64> = played.iter().map(of).collect();
                let mean = all.iter().sum::<f64>() / all.len() as f64;
                let (least, most) = all.iter().fold((f64::MAX, f64::MIN), |(l, m), v| (l.min(*v), m.max(*v)));
                (mean, least, most)
            };
            let text = |(mean, least, most): (f64, f64, f64)| format!("{mean:.3} ({least:.3} to {most:.3})");
            let asked = |played: &virt::Played| {
                let out = |line: &&lotussaddle_judge::Line| {
                    matches!(line.what, What::Datagram { way: Way::Out, .. })
                };
                played.lines.iter().filter(out).count() as f64
            };
            let (asked, ..) = column(&asked);
            let broken: u64 = played.iter().flat_map(|played| played.verdict.broken).sum();
            println!(
                "| {name} | {client_name} | {} | {} | {} | {asked:.0} | {broken} |",
                text(column(&|played| played.verdict.gain.whole)),
                text(column(&|played| played.verdict.gain.worst_10s)),
                text(column(
                    &|played| played.verdict.times.stands.get("p99").copied().unwrap_or_default() / 1000.0
                )),
            );
        }
    }
}

#[derive(Default)]
struct Wire(Vec<(usize, Vec<u8>)>);

impl Outside for Wire {
    fn send(&mut self, server: usize, bytes: &[u8]) {
        self.0.push((server, bytes.to_vec()));
    }
}

fn flood() {
    let mut client = Client::new(Plan::default(), 1);
    let mut wire = Wire::default();
    let number = |n: u64| Digits::parse(&format!("+49{n:011}")).expect("digits");
    let mut ask = |client: &mut Client, tenant, n, now| {
        let asked = client.ask(now, tenant, number(n), n, &mut wire);
        for (server, bytes) in std::mem::take(&mut wire.0) {
            let (question, _) = question_of(&bytes, "e164.arpa").expect("a question");
            client.heard(now, server, &answer(&question, None, 3600), &mut wire);
        }
        client.take_told();
        asked
    };
    for n in 0..1_000 {
        ask(&mut client, 1, n, S);
    }
    let begun = Instant::now();
    let (mut most, mut kept) = (0, 0);
    let all = 2_000_000;
    for n in 0..all {
        ask(&mut client, 2, 1_000_000 + n, S + Duration::from_micros(n * 50));
        most = most.max(client.cache().bytes());
    }
    let took = begun.elapsed();
    let now = S + Duration::from_micros(all * 50);
    for n in 0..1_000 {
        kept += usize::from(matches!(ask(&mut client, 1, n, now), Asked::Now(_)));
    }
    println!(
        "\n{all} numbers of one tenant: {} remembered, {:.1} MB at most, {:.0} bytes each, {:.1} us a question and its reply; \
         of 1000 numbers of another tenant {kept} are still known",
        client.cache().len(),
        most as f64 / 1e6,
        most as f64 / client.cache().len() as f64,
        took.as_secs_f64() * 1e6 / all as f64,
    );
}

fn main() {
    gain();
    flood();
}
