//! Time per input of a whole edge proxy as callers' links, core servers and standing dialogues grow tenfold.
//! `cargo bench -p lotussaddle-edge --bench fleet`

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lotussaddle::interface::*;
use lotussaddle_edge::{Edge, EdgeEffects, Limits, LinkId, LogTopic};
use lotussaddle_trunk::*;

/// Accepts all messages and stores the launches.
#[derive(Default)]
struct Effects {
    links: u64,
    opened: Vec<(String, LinkId)>,
    launched: Vec<(DialogueId, LaunchNumber, LinkId)>,
}

impl EdgeEffects for Effects {
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        if let Frame::Launch(launch) = message.frame {
            self.launched.push((launch.dialogue, launch.launch, link));
        }
        true
    }
    fn connect(&mut self, address: &str) -> LinkId {
        self.links += 1;
        self.opened.push((address.into(), LinkId(self.links)));
        LinkId(self.links)
    }
    fn close(&mut self, _: LinkId, _: &str) {}
    fn log(&mut self, _: LogTopic, _: &str) {}
}

fn plan(proxies: u32) -> RoutePlan {
    RoutePlan {
        proxies,
        products: vec![Product {
            promised: Duration::from_secs(2),
            mean_duration: Duration::from_secs(8),
            redial_window: Duration::from_secs(9),
            gain: 1.0,
            late_share: 0.25,
            servers: None,
        }],
        tenants: vec![],
        over_quota_share: 0.2,
        tick: Duration::from_millis(5),
        release_time: Duration::from_millis(300),
        resend_after: Duration::ZERO,
        max_launches: 6,
        callers_mark_retries: true,
        may_cancel: true,
        max_retry_after: Duration::ZERO,
        cold_start_share: 0.35,
        warm_up_time: Duration::from_secs(15),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
    }
}

const KINDS: [&str; 4] = ["dial", "stood", "hang-up and end", "alarm"];

/// Microseconds of each input, by kind.
fn run(callers: u64, cores: u64, proxies: u32, standing: usize, rounds: usize) -> [Vec<f64>; 4] {
    let (mut effects, mut now) =
        (Effects { links: 1_000_000, ..Effects::default() }, Duration::from_millis(1));
    let limits = Limits {
        max_links: 10_000,
        max_unidentified_links: 10_000,
        response_timeout: Duration::from_secs(900),
        ..Limits::default()
    };
    let mut edge = Edge::new("edge-0", "list", plan(proxies), 7, limits);
    edge.timer_fired(now, &mut effects);
    let hello = |role, name: &str| Frame::Hello(Hello::new(role, Arc::from(name))).into();
    let list = effects.opened[0].1;
    edge.frame_received(now, list, hello(Role::List, "list"), &mut effects);
    let entry = |n: u64| Entry {
        server: ServerId(Arc::from(format!("core-{n}"))),
        number: ServerNumber(n as i64),
        address: Arc::from(format!("core-{n}")),
        state: ServerState::Active,
        incarnation: 0,
        age: Duration::ZERO,
    };
    let entries = (0..cores).map(entry).collect();
    edge.frame_received(now, list, Frame::List { is_complete: true, entries }.into(), &mut effects);
    for (name, link) in effects.opened.clone().into_iter().skip(1) {
        edge.frame_received(now, link, hello(Role::Core, &name), &mut effects);
    }
    for caller in 0..callers {
        edge.link_opened(now, LinkId(caller), &mut effects);
        edge.frame_received(
            now,
            LinkId(caller),
            hello(Role::Caller, &format!("gateway-{caller}")),
            &mut effects,
        );
    }
    let mut times_by_kind: [Vec<f64>; 4] = Default::default();
    let mut stands = VecDeque::new();
    for round in 0..standing + rounds {
        now += Duration::from_micros(500);
        let mut times = [0.0; 4];
        let mut timed = |kind: usize, input: &mut dyn FnMut(&mut Edge)| {
            let started = Instant::now();
            input(&mut edge);
            times[kind] = started.elapsed().as_secs_f64() * 1e6;
        };
        let caller = LinkId(round as u64 % callers);
        let dial = Dial {
            dialogue: DialogueId(Arc::from(format!("d{round}"))),
            key: None,
            product: 0,
            tenant: None,
            first_choice: ServerNumber((round as u64 % cores) as i64),
            width: 1.0,
            time_left: Duration::from_secs(3),
            is_retry: false,
            redialled_after_cut: false,
            is_repeat: false,
            sent_at: None,
            try_of: None,
            dialled: None,
        };
        timed(0, &mut |edge| {
            edge.frame_received(now, caller, Frame::Dial(dial.clone()).into(), &mut effects)
        });
        if let Some((dialogue, launch, link)) = effects.launched.pop() {
            let report = LoadReport { free_lines: Some(1e6), ..LoadReport::default() };
            let stood = Frame::Stood { dialogue: dialogue.clone(), launch, report };
            timed(1, &mut |edge| edge.frame_received(now, link, stood.clone().into(), &mut effects));
            stands.push_back((caller, dialogue, launch, link));
        }
        if round >= standing
            && let Some((caller, dialogue, launch, link)) = stands.pop_front()
        {
            let hang_up = Frame::HangUp { dialogue: dialogue.clone() };
            let ended =
                Frame::Ended { dialogue, launch, end: DialogueEnd::Released, report: LoadReport::default() };
            timed(2, &mut |edge| {
                edge.frame_received(now, caller, hang_up.clone().into(), &mut effects);
                edge.frame_received(now, link, ended.clone().into(), &mut effects);
            });
        }
        // Fires timers that are due, including the check of all links for time-outs.
        timed(3, &mut |edge| edge.timer_fired(now, &mut effects));
        for (kind, time) in times.into_iter().enumerate().filter(|(_, time)| round >= standing && *time > 0.0)
        {
            times_by_kind[kind].push(time);
        }
    }
    times_by_kind
}

fn main() {
    // Under `cargo test` it only checks that the benchmark runs.
    let quick = std::env::args().any(|a| a == "--test");
    let rounds = if quick { 20 } else { 8_000 };
    println!(
        "microseconds an input: mean / p99 / worst; and, of the mean, the ratio to a tenth of the links"
    );
    let mut small = [0.0f64; 4];
    for (callers, cores, proxies, standing) in [(200, 10, 220, 1_000), (2_000, 100, 2_200, 10_000)] {
        let standing = if quick { 50 } else { standing };
        print!("{callers:>5} callers' links, {cores:>3} core servers, {standing} standing:");
        for (kind, times) in run(callers, cores, proxies, standing, rounds).iter_mut().enumerate() {
            times.sort_by(f64::total_cmp);
            let Some(worst) = times.last() else { continue };
            let mean = times.iter().sum::<f64>() / times.len() as f64;
            print!("  {} {mean:.2} / {:.1} / {worst:.0}", KINDS[kind], times[times.len() * 99 / 100]);
            if small[kind] > 0.0 {
                print!(" (x{:.1})", mean / small[kind]);
            }
            small[kind] = mean;
        }
        println!();
    }
}
