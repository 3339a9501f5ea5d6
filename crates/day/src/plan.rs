//! A day file: the fleet, the callers, the links between them, and the troubles. Written in KDL.

use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle_judge::{Brief, ColdRule, FleetBrief, NumbersBrief, ProductBrief, TenantBrief};
use lotussaddle_numbers::{Loaded, Tables, Timestamp, no_lines};
use lotussaddle_serve::{FleetFigures, RouteSheet};
use lotussaddle_sheet::{Block, Mistakes, Sheet, spelled};
use lotussaddle_standin::{CallerProduct, CoreFigures, CrowdFigures, CrowdTenant, EnumFigures, Reports};

use crate::trouble::{Kind, Trouble};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub name: String,
    /// Dials come for so long; then what is open is answered.
    pub lasts: Duration,
    pub seed: u64,
    pub regions: usize,
    pub edges: usize,
    pub plan: RouteSheet,
    /// Grace of rule 3, and the span of rule 4.
    pub drain_grace: Duration,
    pub fall_within: Duration,
    pub cores: CoresPlan,
    pub list_late: Duration,
    pub callers: CallersPlan,
    pub net: NetPlan,
    /// What is dialled and how it is analysed; none: dials bear no number.
    pub numbers: Option<NumbersPlan>,
    /// Edge proxies act as a fleet; none: they share nothing.
    pub fleet: Option<FleetPlan>,
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct FleetPlan {
    pub figures: FleetFigures,
    /// Members have a disk.
    pub stores: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct NumbersPlan {
    /// The time of day at the day's start.
    pub wall: Timestamp,
    /// Names and sheets; the first one is in force at the start.
    pub generations: Vec<(String, String)>,
    pub dialled: Vec<(f64, String)>,
    /// How many look-up servers each edge proxy has, and what they are like.
    pub servers: usize,
    pub figures: EnumFigures,
    pub client: lotussaddle_portability::Plan,
}

#[derive(Clone, Debug, PartialEq)]
pub struct CoresPlan {
    pub count: usize,
    /// Dialogues a second that one can take when warm; each differs by up to this share.
    pub capacity: f64,
    pub spread: f64,
    /// Parts of a dialogue's work; the rest is its set-up.
    pub answer: f64,
    pub release: f64,
    /// In parts of a dialogue's work.
    pub turn_back: f64,
    pub repeat: f64,
    pub lines: f64,
    pub longest_wait: Duration,
    pub finish_first: bool,
    pub drops_cancelled: bool,
    pub reports: Reports,
    pub report_every: Duration,
    pub report_late: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct CallersPlan {
    /// First dials a second, all together.
    pub rate: f64,
    /// Part of the dials, by product and by tenant.
    pub products: Vec<f64>,
    pub tenants: Vec<f64>,
    pub tries: u32,
    pub try_share: (f64, f64),
    pub wait: Duration,
    pub heeds: f64,
    /// Part of those whose link breaks that dial the same dialogue again there.
    pub repeats: f64,
    pub shifts: Duration,
}

/// One-way times.
#[derive(Clone, Debug, PartialEq)]
pub struct NetPlan {
    pub same: Duration,
    pub cross: Duration,
    pub caller: Duration,
    pub jitter: f64,
}

impl Day {
    pub fn load(path: &Path) -> Result<Self, Mistakes> {
        Self::read(Sheet::load(path)?)
    }

    pub fn read(sheet: Sheet) -> Result<Self, Mistakes> {
        let found = {
            let root = sheet.root();
            let plan = root.need("plan").map(|node| RouteSheet::read(&node.block()));
            let cores = root.need("cores").map(|node| CoresPlan::read(&node.block()));
            let callers = root.need("callers").map(|node| CallersPlan::read(&node.block(), plan.as_ref()));
            let net = root.maybe("net").map(|node| NetPlan::read(&node.block())).unwrap_or_default();
            let troubles =
                root.maybe("troubles").map(|node| Trouble::read_all(&node.block())).unwrap_or_default();
            let numbers =
                root.maybe("numbers").map(|node| NumbersPlan::read(&node.block(), plan.as_ref(), &troubles));
            let edges = root.whole("edges", 1..=1000, None) as usize;
            let fleet = root.maybe("fleet").map(|node| {
                let block = node.block();
                let stores = block.flag("stores", Some(true));
                let names: Vec<String> = (0..edges).map(|edge| format!("edge-{edge}")).collect();
                FleetPlan { figures: FleetFigures::read(&block, &names), stores }
            });
            if let Some(plan) = plan.as_ref()
                && u64::from(plan.proxies) != root.whole("edges", 1..=1000, None)
            {
                root.wrong(format!("plan says {} proxies, edges says another number", plan.proxies));
            }
            Self {
                name: root.text("name", None),
                lasts: root.time("lasts", S..=S * 3600, None),
                seed: root.whole("seed", 0..=u64::MAX >> 1, Some(1)),
                regions: root.whole("regions", 1..=100, Some(1)) as usize,
                edges: root.whole("edges", 1..=1000, None) as usize,
                drain_grace: root.time("drain-grace", Duration::ZERO..=S * 60, Some(S * 2)),
                fall_within: root.time("fall-within", MS * 100..=S * 60, Some(S)),
                list_late: root.time("list-late", Duration::ZERO..=S * 60, Some(S * 2)),
                net,
                numbers,
                fleet,
                troubles,
                plan: plan.unwrap_or_else(RouteSheet::empty),
                cores: cores.unwrap_or_default(),
                callers: callers.unwrap_or_default(),
            }
        };
        sheet.finish()?;
        Ok(found)
    }

    pub fn kdl(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(out, "name {:?}\nlasts {:?}\nseed {}", self.name, spelled(self.lasts), self.seed);
        let _ = writeln!(out, "regions {}\nedges {}", self.regions, self.edges);
        let _ = writeln!(out, "drain-grace {:?}", spelled(self.drain_grace));
        let _ = writeln!(out, "fall-within {:?}", spelled(self.fall_within));
        let _ = writeln!(out, "list-late {:?}", spelled(self.list_late));
        let _ = write!(out, "plan {{\n{}}}\n", self.plan.kdl("  "));
        let c = &self.cores;
        let told = [
            ("lines", c.reports.lines),
            ("busy", c.reports.busy),
            ("queue", c.reports.queue),
            ("wait", c.reports.wait),
            ("rate", c.reports.rate),
        ];
        let told: Vec<String> =
            told.iter().filter(|(_, told)| *told).map(|(n, _)| format!("{n:?}")).collect();
        let _ = writeln!(
            out,
            "cores {{\n  count {}\n  capacity {:?}\n  spread {:?}\n  answer {:?}\n  release {:?}\n  turn-back {:?}\n  \
             repeat {:?}\n  lines {:?}\n  longest-wait {:?}\n  finish-first #{}\n  drops-cancelled #{}\n  \
             reports {}\n  report-every {:?}\n  report-late {:?}\n}}",
            c.count,
            c.capacity,
            c.spread,
            c.answer,
            c.release,
            c.turn_back,
            c.repeat,
            c.lines,
            spelled(c.longest_wait),
            c.finish_first,
            c.drops_cancelled,
            told.join(" "),
            spelled(c.report_every),
            spelled(c.report_late),
        );
        let p = &self.callers;
        let reals = |all: &[f64]| all.iter().map(|v| format!("{v:?}")).collect::<Vec<_>>().join(" ");
        let _ = write!(out, "callers {{\n  rate {:?}\n  products {}\n", p.rate, reals(&p.products));
        if !p.tenants.is_empty() {
            let _ = writeln!(out, "  tenants {}", reals(&p.tenants));
        }
        let _ = writeln!(
            out,
            "  tries {}\n  try-share {:?} {:?}\n  wait {:?}\n  heeds {:?}\n  repeats {:?}\n  shifts {:?}\n}}",
            p.tries,
            p.try_share.0,
            p.try_share.1,
            spelled(p.wait),
            p.heeds,
            p.repeats,
            spelled(p.shifts),
        );
        let n = &self.net;
        let _ = writeln!(
            out,
            "net {{ same {:?}; cross {:?}; caller {:?}; jitter {:?}; }}",
            spelled(n.same),
            spelled(n.cross),
            spelled(n.caller),
            n.jitter
        );
        if let Some(numbers) = &self.numbers {
            out.push_str(&numbers.kdl());
        }
        if let Some(fleet) = &self.fleet {
            let _ = write!(out, "fleet {{\n  stores #{}\n{}}}\n", fleet.stores, fleet.figures.kdl("  "));
        }
        let _ = writeln!(out, "troubles {{");
        for trouble in &self.troubles {
            let _ = writeln!(out, "  {}", trouble.kdl());
        }
        out + "}\n"
    }

    /// What the judge goes by.
    pub fn brief(&self, answer_grace: Duration, slack: Duration) -> Brief {
        let products = self.plan.products.iter().map(|p| ProductBrief {
            name: p.name.clone(),
            promised_s: p.promised.as_secs_f64(),
            gain: p.gain,
            late_share: p.late_share,
        });
        let tenants = self.plan.tenants.iter().map(|t| TenantBrief { name: t.name.clone(), quota: t.quota });
        Brief {
            day: self.name.clone(),
            seed: self.seed,
            products: products.collect(),
            tenants: tenants.collect(),
            over_quota_share: self.plan.over_quota_share,
            release_s: self.plan.release.as_secs_f64(),
            drain_grace_s: self.drain_grace.as_secs_f64(),
            answer_grace_s: answer_grace.as_secs_f64(),
            slack_s: slack.as_secs_f64(),
            cold: ColdRule {
                share: self.plan.cold_share,
                warm_after_s: self.plan.warm_after.as_secs_f64(),
                multiple: self.plan.fall_multiple,
                within_s: self.fall_within.as_secs_f64(),
            },
            capacities: Default::default(),
            numbers: self.numbers.as_ref().map(|numbers| numbers.brief(&self.plan)),
            fleet: self.fleet.as_ref().map(|fleet| FleetBrief {
                before_launch: fleet.figures.before_launch,
                before_answer: fleet.figures.before_answer,
                strictly: fleet.figures.strictly,
                stores: fleet.stores,
                line_within_s: self.line_within(fleet).as_secs_f64(),
                members: self.edges,
            }),
        }
    }

    /// A line whose owner is gone is somebody's, or free, after so long: seen to be gone, taken over, kept for its caller, released; or
    /// found by the sweep, which comes when that time has passed.
    pub fn line_within(&self, fleet: &FleetPlan) -> Duration {
        fleet.figures.silence * 6 + fleet.figures.unclaimed * 2 + S * 3
    }

    /// Figures of one core server, `size` times the usual capacity.
    pub fn core_figures(&self, name: &str, size: f64) -> CoreFigures {
        let c = &self.cores;
        let work = 1.0 / (c.capacity * size);
        let part = |share: f64| Duration::from_secs_f64(work * share);
        CoreFigures {
            name: name.into(),
            set_up: part(1.0 - c.answer - c.release),
            answer: part(c.answer),
            release: part(c.release),
            turn_back: part(c.turn_back),
            repeat: part(c.repeat),
            lines: c.lines,
            longest_wait: c.longest_wait,
            resend: self.plan.resend,
            finish_first: c.finish_first,
            drops_cancelled: c.drops_cancelled,
            cold_share: self.plan.cold_share,
            warm_after: self.plan.warm_after,
            fall_multiple: self.plan.fall_multiple,
            fall_within: self.fall_within,
            reports: c.reports,
            report_every: c.report_every,
            report_late: c.report_late,
        }
    }

    pub fn crowd_figures(&self) -> CrowdFigures {
        let all: Vec<i64> = (0..self.cores.count as i64).collect();
        let shares = self.callers.products.iter().copied();
        let products = self.plan.products.iter().zip(shares).map(|(p, share)| CallerProduct {
            share,
            promised: p.promised,
            cut_off: p.cut_off,
            lasts: p.lasts,
            choices: p.cores.clone().unwrap_or_else(|| all.clone()),
        });
        CrowdFigures {
            name: "c".into(),
            rate: self.callers.rate,
            products: products.collect(),
            tenants: self.callers.tenants.iter().map(|share| CrowdTenant { share: *share }).collect(),
            edges: vec![1.0; self.edges],
            tries: self.callers.tries,
            try_share: self.callers.try_share,
            wait: self.callers.wait,
            heeds: self.callers.heeds,
            repeats: self.callers.repeats,
            shifts: self.callers.shifts,
            dialled: self.numbers.as_ref().map(|numbers| numbers.dialled.clone()).unwrap_or_default(),
            fleet: self.fleet.is_some(),
            until: self.lasts,
        }
    }
}

impl NumbersPlan {
    fn read(block: &Block, plan: Option<&RouteSheet>, troubles: &[Trouble]) -> Self {
        let wall = block.text("wall", None);
        let read: Option<Timestamp> = wall.parse().ok();
        if read.is_none() && !wall.is_empty() {
            block.wrong(format!("wall wants a time such as \"2026-12-31T22:59:50Z\", not {wall:?}"));
        }
        let known = plan.map(RouteSheet::known).unwrap_or_default();
        let mut generations: Vec<(String, String)> = Vec::new();
        let mut made: Vec<Arc<Tables>> = Vec::new();
        for node in block.many("generation") {
            let name = node.text(0).unwrap_or_default();
            let base = |of: &str| made.iter().find(|tables| tables.name == of).cloned();
            // Read here too, so that its mistakes are told with their places in the day file.
            let loaded = Loaded::read(&node.block(), &name, &known, &no_lines, &base);
            if node.is_right() {
                made.extend(Tables::of(loaded, &base).map(Arc::new));
            }
            generations.push((name, node.source().trim().to_string()));
        }
        if generations.is_empty() {
            block.wrong("generation is missing: numbers are analysed by one at least");
        }
        for trouble in troubles {
            if let Kind::Swap { generation, .. } = &trouble.kind
                && !generations.iter().any(|(name, _)| name == generation)
            {
                block.wrong(format!("a trouble swaps in generation {generation}, which is not here"));
            }
        }
        let look_ups = block.maybe("look-ups").map(|node| {
            let inner = node.block();
            let usual = lotussaddle_portability::Plan::default();
            let servers = inner.whole("servers", 1..=16, Some(2)) as usize;
            let client = lotussaddle_portability::Plan {
                servers,
                suffix: inner.text("suffix", Some(&usual.suffix)),
                first_wait: inner.time("wait", MS..=S * 10, Some(usual.first_wait)),
                tries: inner.whole("tries", 1..=10, Some(usual.tries.into())) as u32,
                remembered: inner.whole("remembered", 0..=10_000_000, Some(usual.remembered as u64)) as usize,
                stale: inner.time("stale", Duration::ZERO..=S * 3600, Some(usual.stale)),
                limited: inner.flag("limited", Some(true)),
                breaks: inner.flag("breaks", Some(true)),
                ..usual
            };
            (servers, lotussaddle_standin::sheets::enum_figures(&inner), client)
        });
        let (servers, figures, client) = look_ups.unwrap_or_else(|| {
            let figures =
                EnumFigures { suffix: "e164.arpa".into(), takes: MS, moved: 0.0, to: Vec::new(), ttl: 60 };
            (1, figures, lotussaddle_portability::Plan::default())
        });
        let dialled = lotussaddle_standin::sheets::dialled(block);
        if dialled.is_empty() {
            block.wrong("dialled is missing: what do callers dial?");
        }
        Self { wall: read.unwrap_or(Timestamp::UNIX_EPOCH), generations, dialled, servers, figures, client }
    }

    fn kdl(&self) -> String {
        let mut out = format!("numbers {{\n  wall \"{}\"\n", self.wall);
        for (share, pattern) in &self.dialled {
            let _ = writeln!(out, "  dialled {share:?} {pattern:?}");
        }
        let c = &self.client;
        let _ = writeln!(
            out,
            "  look-ups {{ servers {}; wait {:?}; tries {}; remembered {}; stale {:?}; limited #{}; breaks #{}; {} }}",
            self.servers,
            spelled(c.first_wait),
            c.tries,
            c.remembered,
            spelled(c.stale),
            c.limited,
            c.breaks,
            lotussaddle_standin::sheets::enum_kdl(&self.figures),
        );
        for (name, source) in &self.generations {
            let _ = writeln!(out, "  generation {name:?} {{\n{source}\n  }}");
        }
        out + "}\n"
    }

    fn brief(&self, plan: &RouteSheet) -> NumbersBrief {
        NumbersBrief {
            wall: self.wall.to_string(),
            groups: plan.groups.iter().map(|group| (group.name.clone(), group.cores.clone())).collect(),
            generations: self.generations.clone(),
            suffix: self.figures.suffix.clone(),
        }
    }

    /// One of the generations, read and made.
    pub fn generation(
        &self, plan: &RouteSheet, name: &str, bases: &[Arc<Tables>],
    ) -> Result<Arc<Tables>, String> {
        let (_, text) =
            self.generations.iter().find(|(known, _)| known == name).ok_or("there is no such file")?;
        let sheet = Sheet::read(&format!("{name}.kdl"), text).map_err(|mistakes| mistakes.to_string())?;
        let base = |of: &str| bases.iter().find(|tables| tables.name == of).cloned();
        let loaded = Loaded::read(&sheet.root(), name, &plan.known(), &no_lines, &base);
        sheet.finish().map_err(|mistakes| mistakes.to_string())?;
        Tables::of(loaded, &base).map(Arc::new).ok_or_else(|| "what it changes is gone".into())
    }
}

impl Default for CoresPlan {
    fn default() -> Self {
        Self {
            count: 4,
            capacity: 50.0,
            spread: 0.1,
            answer: 0.2,
            release: 0.15,
            turn_back: 0.2,
            repeat: 0.3,
            lines: 10_000.0,
            longest_wait: S * 2,
            finish_first: false,
            drops_cancelled: false,
            reports: Reports { lines: true, busy: false, queue: true, wait: false, rate: false },
            report_every: MS * 300,
            report_late: MS * 50,
        }
    }
}

impl CoresPlan {
    fn read(block: &Block) -> Self {
        let usual = Self::default();
        let reports = block.maybe("reports").map(lotussaddle_standin::sheets::reports);
        let part = |name, usual| block.real(name, 0.0..=1.0, Some(usual));
        let cores = Self {
            count: block.whole("count", 1..=1000, None) as usize,
            capacity: block.real("capacity", 0.1..=1e6, None),
            spread: block.real("spread", 0.0..=0.9, Some(usual.spread)),
            answer: part("answer", usual.answer),
            release: part("release", usual.release),
            turn_back: part("turn-back", usual.turn_back),
            repeat: part("repeat", usual.repeat),
            lines: block.real("lines", 1.0..=1e9, Some(usual.lines)),
            longest_wait: block.time("longest-wait", MS..=S * 600, Some(usual.longest_wait)),
            finish_first: block.flag("finish-first", Some(usual.finish_first)),
            drops_cancelled: block.flag("drops-cancelled", Some(usual.drops_cancelled)),
            reports: reports.unwrap_or(usual.reports),
            report_every: block.time("report-every", MS..=S * 60, Some(usual.report_every)),
            report_late: block.time("report-late", Duration::ZERO..=S * 60, Some(usual.report_late)),
        };
        if cores.answer + cores.release >= 1.0 {
            block.wrong("answer and release leave no work for the set-up");
        }
        cores
    }
}

impl Default for CallersPlan {
    fn default() -> Self {
        Self {
            rate: 100.0,
            products: Vec::new(),
            tenants: Vec::new(),
            tries: 2,
            try_share: (0.3, 0.4),
            wait: MS * 500,
            heeds: 0.7,
            repeats: 0.5,
            shifts: S * 10,
        }
    }
}

impl CallersPlan {
    fn read(block: &Block, plan: Option<&RouteSheet>) -> Self {
        let usual = Self::default();
        let shares = |name: &str, wanted: Option<usize>, needed: bool| {
            let node = if needed { block.need(name) } else { block.maybe(name) };
            let shares: Vec<f64> = node
                .map(|node| (0..node.arguments()).filter_map(|n| node.real(n, 0.0..=1e6)).collect())
                .unwrap_or_default();
            if let (Some(node), Some(wanted)) = (node, wanted.filter(|wanted| *wanted != shares.len())) {
                node.wrong(format!("{name} wants {wanted} shares, as many as the plan has"));
            }
            if node.is_some() && shares.iter().sum::<f64>() <= 0.0 {
                block.wrong(format!("{name}: no share is above 0"));
            }
            shares
        };
        let tenants = plan.map(|plan| plan.tenants.len());
        let try_share = block.maybe("try-share").and_then(|node| {
            let (least, most) = (node.real(0, 0.01..=1.0)?, node.real(1, 0.01..=1.0)?);
            if least > most {
                node.wrong("try-share: the first is above the second");
            }
            Some((least.min(most), most))
        });
        Self {
            rate: block.real("rate", 0.01..=1e6, None),
            products: shares("products", plan.map(|plan| plan.products.len()), true),
            tenants: shares("tenants", tenants, tenants.is_some_and(|n| n > 0)),
            tries: block.whole("tries", 0..=100, Some(usual.tries.into())) as u32,
            try_share: try_share.unwrap_or(usual.try_share),
            wait: block.time("wait", Duration::ZERO..=S * 60, Some(usual.wait)),
            heeds: block.real("heeds", 0.0..=1.0, Some(usual.heeds)),
            repeats: block.real("repeats", 0.0..=1.0, Some(usual.repeats)),
            shifts: block.time("shifts", Duration::ZERO..=S * 3600, Some(usual.shifts)),
        }
    }
}

impl Default for NetPlan {
    fn default() -> Self {
        Self { same: MS, cross: MS * 12, caller: MS, jitter: 0.2 }
    }
}

impl NetPlan {
    fn read(block: &Block) -> Self {
        let usual = Self::default();
        let time = |name, usual| block.time(name, Duration::ZERO..=S * 5, Some(usual));
        Self {
            same: time("same", usual.same),
            cross: time("cross", usual.cross),
            caller: time("caller", usual.caller),
            jitter: block.real("jitter", 0.0..=10.0, Some(usual.jitter)),
        }
    }
}
