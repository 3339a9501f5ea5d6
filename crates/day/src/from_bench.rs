//! A day that the bench's `draw` prints, turned into a day file scaled to one machine: its troubles, load, products
//! and habits; fewer machines. What it cannot carry over is named.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use lotussaddle_serve::{ProductSheet, RouteSheet, TenantSheet};
use lotussaddle_standin::Reports;
use serde::Deserialize;

use crate::plan::{CallersPlan, CoresPlan, Day, NetPlan};
use crate::trouble::{Kind, Trouble, Who};

/// One machine carries so many.
const MOST_EDGES: usize = 6;
const MOST_CORES: usize = 8;
/// Dialogues a second that a core server of a day here can take.
const CAPACITY: f64 = 40.0;
/// Share of that which a load of 1 takes: the drawn day does not say it; the deployments say 70 to 90%.
const BUSY_AS_PLANNED: f64 = 0.8;

#[derive(Deserialize)]
struct Drawn {
    site: String,
    #[serde(default)]
    kind: String,
    length: f64,
    tick: f64,
    zones: Vec<String>,
    net: Net,
    traffic: Traffic,
    clients: Clients,
    discovery: Discovery,
    allow: Allow,
    drain_grace: f64,
    fall_multiple: f64,
    fall_for: f64,
    classes: Vec<Class>,
    #[serde(default)]
    tenants: Vec<Party>,
    tiers: Vec<Tier>,
    servers: Vec<serde::de::IgnoredAny>,
    balancers: Vec<serde::de::IgnoredAny>,
    troubles: Vec<DrawnTrouble>,
    fam: Family,
}

#[derive(Deserialize)]
struct Net {
    same: f64,
    cross: f64,
    jitter: f64,
}

#[derive(Deserialize)]
struct Traffic {
    load: f64,
    #[serde(default)]
    over_share_worth: f64,
}

#[derive(Deserialize)]
struct Clients {
    retries: u32,
    try_share: f64,
    backoff_us: f64,
    honour: f64,
    max_retry_after: f64,
    marks_retry: bool,
}

#[derive(Deserialize)]
struct Discovery {
    notice: f64,
}

#[derive(Deserialize)]
struct Allow {
    cancel: bool,
    retry_after: bool,
    max_attempts: u32,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    share: f64,
    aim: f64,
    deadline: f64,
    worth: f64,
    late_worth: f64,
}

#[derive(Deserialize)]
struct Party {
    name: String,
    traffic: f64,
    quota: f64,
}

#[derive(Deserialize)]
struct Tier {
    report_fields: Vec<String>,
    report_period: f64,
    report_delay: f64,
    stated_cold_from: f64,
    stated_cold: f64,
}

#[derive(Deserialize)]
struct DrawnTrouble {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    extra: f64,
    #[serde(default)]
    on: Vec<usize>,
    #[serde(default)]
    which: usize,
    #[serde(default)]
    steps: Vec<Step>,
    #[serde(default)]
    how: String,
}

#[derive(Deserialize)]
struct Step {
    #[serde(default)]
    stop: Vec<usize>,
}

#[derive(Deserialize)]
struct Family {
    n: usize,
    hold: Vec<f64>,
    class_cells: Vec<Vec<i64>>,
    drift: f64,
    finish_first: bool,
    cancel_drops: bool,
    follow: f64,
    reject: f64,
    repeat: f64,
    queue: f64,
    release: f64,
    resend: f64,
    size: Vec<f64>,
    #[serde(default)]
    pools: bool,
}

fn micros(value: f64, what: &str) -> Result<Duration> {
    ensure!(value.is_finite() && (0.0..1e13).contains(&value), "{what} is no time: {value}");
    Ok(Duration::from_micros(value.round() as u64))
}

/// The day, and what of the drawn one it leaves out.
pub fn from_bench(json: &str) -> Result<(Day, Vec<String>)> {
    let drawn: Drawn = serde_json::from_str(json).context("this is no day that the bench has drawn")?;
    ensure!(drawn.fam.pools, "core servers shared by all are wanted, not a mesh of exchanges");
    ensure!(
        !drawn.classes.is_empty() && !drawn.zones.is_empty() && !drawn.balancers.is_empty(),
        "it is empty"
    );
    let tier = drawn.tiers.first().context("it has no tier")?;
    let n = drawn.fam.n.clamp(1, drawn.servers.len().max(1));
    let (cores, edges) = (n.min(MOST_CORES), drawn.balancers.len().min(MOST_EDGES));
    let mut left_out = vec![
        format!("{} of {} core servers and {} of {} edge proxies", cores, n, edges, drawn.balancers.len()),
        "unequal sizes of core servers and unequal callers of edge proxies".into(),
        "the load's shape over the day, outside its troubles".into(),
    ];
    let mut reports = Reports::default();
    for field in &tier.report_fields {
        match field.as_str() {
            "x0" | "x1" => reports.lines = true,
            "util" => reports.busy = true,
            "queue" => reports.queue = true,
            "latency_ms" => reports.wait = true,
            "qps" => reports.rate = true,
            other => left_out.push(format!("the reported figure {other}")),
        }
    }
    let mut products = Vec::new();
    for (place, class) in drawn.classes.iter().enumerate() {
        let cells = drawn.fam.class_cells.get(place).cloned().unwrap_or_default();
        let cells: Vec<i64> = cells.into_iter().filter(|cell| *cell < cores as i64).collect();
        products.push(ProductSheet {
            name: class.name.clone(),
            promised: micros(class.aim, "aim")?,
            lasts: micros(drawn.fam.hold.get(place).copied().unwrap_or(1e6), "hold")?,
            cut_off: micros(class.deadline, "deadline")?,
            gain: class.worth,
            late_share: class.late_worth,
            cores: Some(cells).filter(|cells| !cells.is_empty() && cells.len() < cores),
        });
    }
    let planned = cores as f64 * CAPACITY * BUSY_AS_PLANNED;
    let tenants =
        drawn.tenants.iter().map(|t| TenantSheet { name: t.name.clone(), quota: t.quota * planned });
    let longest_return = if drawn.allow.retry_after { drawn.clients.max_retry_after } else { 0.0 };
    let plan = RouteSheet {
        groups: Vec::new(),
        proxies: edges as u32,
        products,
        tenants: tenants.collect(),
        over_quota_share: drawn.traffic.over_share_worth,
        tick: micros(drawn.tick, "tick")?.max(Duration::from_millis(1)),
        release: micros(drawn.fam.release, "release")?,
        resend: micros(drawn.fam.resend, "resend")?,
        max_launches: drawn.allow.max_attempts,
        marks_again: drawn.clients.marks_retry,
        may_cancel: drawn.allow.cancel,
        longest_return: micros(longest_return, "max_retry_after")?,
        cold_share: tier.stated_cold_from,
        warm_after: micros(tier.stated_cold, "stated_cold")?,
        fall_multiple: drawn.fall_multiple,
        fall_within: micros(drawn.fall_for, "fall_for")?,
    };
    let lines = drawn.fam.size.iter().sum::<f64>() / drawn.fam.size.len().max(1) as f64;
    let mut troubles = Vec::new();
    for trouble in &drawn.troubles {
        match kind(trouble, &drawn, n, &mut left_out)? {
            Some(kind) => troubles.push(Trouble {
                at: micros(trouble.at, "at")?,
                lasts: micros(trouble.len, "len")?.max(Duration::from_millis(1)),
                kind,
            }),
            None => left_out.push(format!("the trouble {}", trouble.kind)),
        }
    }
    let day = Day {
        numbers: None,
        fleet: None,
        name: format!("{} {}", drawn.site, drawn.kind).trim().into(),
        lasts: micros(drawn.length, "length")?,
        seed: 1,
        regions: drawn.zones.len().min(cores),
        edges,
        plan,
        drain_grace: micros(drawn.drain_grace, "drain_grace")?,
        fall_within: micros(drawn.fall_for, "fall_for")?,
        cores: CoresPlan {
            count: cores,
            capacity: CAPACITY,
            spread: 0.1,
            answer: (drawn.fam.follow / 2.0).clamp(0.0, 0.4),
            release: (drawn.fam.follow / 2.0).clamp(0.0, 0.4),
            turn_back: drawn.fam.reject.clamp(0.0, 1.0),
            repeat: drawn.fam.repeat.clamp(0.0, 1.0),
            lines: lines.max(1.0),
            longest_wait: micros(drawn.fam.queue, "queue")?,
            finish_first: drawn.fam.finish_first,
            drops_cancelled: drawn.fam.cancel_drops,
            reports,
            report_every: micros(tier.report_period, "report_period")?.max(Duration::from_millis(1)),
            report_late: micros(tier.report_delay, "report_delay")?,
        },
        list_late: micros(drawn.discovery.notice, "notice")?,
        callers: CallersPlan {
            rate: (drawn.traffic.load * planned).max(1.0),
            products: drawn.classes.iter().map(|class| class.share).collect(),
            tenants: drawn.tenants.iter().map(|t| t.traffic).collect(),
            tries: drawn.clients.retries,
            try_share: (drawn.clients.try_share, drawn.clients.try_share),
            wait: micros(drawn.clients.backoff_us, "backoff_us")?,
            heeds: drawn.clients.honour.clamp(0.0, 1.0),
            repeats: 0.5,
            shifts: micros(drawn.fam.drift, "drift")?,
        },
        net: NetPlan {
            same: micros(drawn.net.same, "same")?,
            cross: micros(drawn.net.cross, "cross")?,
            caller: Duration::from_millis(1),
            jitter: drawn.net.jitter,
        },
        troubles,
    };
    // Whatever a strange file holds, what is printed can be read again.
    let sheet = lotussaddle_sheet::Sheet::read("the day made of it", &day.kdl())?;
    let day = Day::read(sheet)?;
    Ok((day, left_out))
}

fn kind(trouble: &DrawnTrouble, drawn: &Drawn, n: usize, left_out: &mut Vec<String>) -> Result<Option<Kind>> {
    let seconds = |value: f64, what: &str| micros(value * 1e6, what).map(|t| t.max(Duration::from_millis(1)));
    let part = |all: usize| (trouble.on.len() as f64 / all.max(1) as f64).clamp(0.0, 1.0);
    let region = trouble.which % drawn.zones.len().min(n.min(MOST_CORES));
    let times = trouble.size.max(1.0);
    Ok(Some(match trouble.kind.as_str() {
        "burst" => Kind::Surge { times },
        "crash" | "vanish" => Kind::Crash { part: part(n) },
        "deploy" => {
            let stopped: usize = trouble.steps.iter().map(|step| step.stop.len()).sum();
            let batch = trouble.steps.iter().map(|step| step.stop.len()).max().unwrap_or(1).max(1);
            Kind::Replace {
                part: (stopped as f64 / n as f64).clamp(0.0, 1.0),
                batch: batch as u64,
                drains: seconds(trouble.extra, "extra")?,
            }
        }
        "slow" => Kind::Slow { part: part(n), times },
        "ageing" => Kind::Ageing { part: part(n), times, down: seconds(trouble.extra, "extra")? },
        "hang" => Kind::Hang { part: part(n) },
        "answer_lost" => Kind::AnswersLost {
            part: part(n),
            share: trouble.size.clamp(0.0, 1.0),
            by_reset: trouble.how == "reset",
        },
        "report_late" => Kind::ReportsLate { by: seconds(trouble.size, "size")? },
        "discovery_stale" => Kind::ListLate { by: seconds(trouble.size, "size")? },
        "origin_slow" => Kind::LinesLost { region, keep: 1.0 / times.sqrt() },
        "zone_cut" => Kind::RegionCut { region },
        "balancer_stall" => {
            if trouble.how == "zone" {
                left_out.push("that the edge proxies of one region stall together: those drawn do".into());
            }
            Kind::Stall {
                who: Who::Part(part(drawn.balancers.len())),
                each: seconds(trouble.size / 1000.0, "size")?,
                every: seconds(trouble.extra, "extra")?,
            }
        }
        "mass_restart" => {
            if trouble.how == "silence" {
                left_out.push("that core servers fall silent before they restart: they die".into());
            }
            Kind::MassRestart {
                part: part(n),
                within: seconds(trouble.size, "size")?,
                down: micros(trouble.len, "len")?.max(Duration::from_millis(1)),
            }
        }
        "give_up" => {
            if trouble.how == "leave" {
                left_out.push("that callers leave before their time: they come with little of it".into());
            }
            Kind::Hurried {
                share: trouble.size.clamp(0.0, 1.0),
                of_promised: trouble.extra.clamp(0.01, 10.0),
            }
        }
        "retry_abuse" => Kind::Redial {
            tenant: trouble.which,
            of_promised: trouble.extra.clamp(0.01, 10.0),
            tries: trouble.size.clamp(0.0, 100.0) as u64,
        },
        _ => return Ok(None),
    }))
}

/// The day file with what it leaves out at its head.
pub fn print(day: &Day, left_out: &[String]) -> Result<String> {
    if left_out.iter().any(|line| line.contains('\n')) {
        bail!("a name in the drawn day has a line break");
    }
    let notes: BTreeMap<&String, ()> = left_out.iter().map(|line| (line, ())).collect();
    let head: String = notes.keys().map(|line| format!("// left out: {line}\n")).collect();
    Ok(format!("{head}{}", day.kdl()))
}
