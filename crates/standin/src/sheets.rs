//! The sheets of stand-ins that run by themselves: CORE.kdl, LIST.kdl, CALLERS.kdl.

use std::net::SocketAddr;
use std::time::Duration;

use lotussaddle::interface::{ServerId, ServerNumber, ServerState};
use lotussaddle_numbers::Digits;
use lotussaddle_sheet::{Block, Mistakes, Node, Sheet};

use crate::core::{CoreFigures, Reports};
use crate::crowd::{CallerProduct, CrowdFigures, CrowdTenant};
use crate::list::Listing;
use crate::{EnumFigures, Ill, Illness};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

pub struct CoreSheet {
    pub listen: SocketAddr,
    pub seed: u64,
    pub figures: CoreFigures,
    /// It starts cold.
    pub cold: bool,
}

pub struct ListSheet {
    pub listen: SocketAddr,
    pub late: Duration,
    pub entries: Vec<Listing>,
    /// Generations of tables, and after how long each is in force.
    pub swaps: Vec<(Duration, String)>,
}

pub struct CallersSheet {
    pub edges: Vec<String>,
    pub seed: u64,
    pub figures: CrowdFigures,
}

/// A loopback address and port; port 0 lets the system choose.
fn address(root: &Block, name: &str) -> SocketAddr {
    let text = root.text(name, None);
    let found: Option<SocketAddr> = text.parse().ok().filter(|a: &SocketAddr| a.ip().is_loopback());
    if let Some(node) = root.maybe(name).filter(|_| found.is_none() && !text.is_empty()) {
        node.wrong(format!("{name} wants a loopback address and port, not {text}"));
    }
    found.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Which figures are told: `reports "lines" "queue"`.
pub fn reports(node: Node) -> Reports {
    let mut reports = Reports::default();
    for place in 0..node.arguments() {
        match node.text(place).unwrap_or_default().as_str() {
            "lines" => reports.lines = true,
            "busy" => reports.busy = true,
            "queue" => reports.queue = true,
            "wait" => reports.wait = true,
            "rate" => reports.rate = true,
            other => node.wrong(format!("reports may be lines, busy, queue, wait, rate; not {other:?}")),
        }
    }
    reports
}

impl CoreSheet {
    pub fn read(sheet: Sheet) -> Result<Self, Mistakes> {
        let found = {
            let root = sheet.root();
            let work = |name, usual| root.time(name, Duration::ZERO..=S * 10, Some(usual));
            let figures = CoreFigures {
                name: root.text("name", None).into(),
                set_up: root.time("set-up", Duration::from_micros(1)..=S * 10, None),
                answer: work("answer", MS),
                release: work("release", MS),
                turn_back: work("turn-back", MS),
                repeat: work("repeat", MS),
                lines: root.real("lines", 1.0..=1e9, Some(10_000.0)),
                longest_wait: root.time("longest-wait", MS..=S * 600, Some(S * 2)),
                resend: root.time("resend", Duration::ZERO..=S * 60, Some(Duration::ZERO)),
                finish_first: root.flag("finish-first", Some(false)),
                drops_cancelled: root.flag("drops-cancelled", Some(false)),
                cold_share: root.real("cold-share", 0.01..=1.0, Some(0.4)),
                warm_after: root.time("warm-after", MS..=HOUR, Some(S * 10)),
                fall_multiple: root.real("fall-multiple", 1.0..=1000.0, Some(2.5)),
                fall_within: root.time("fall-within", MS * 100..=S * 60, Some(S)),
                reports: root.maybe("reports").map(reports).unwrap_or_default(),
                report_every: root.time("report-every", MS..=S * 60, Some(MS * 300)),
                report_late: root.time("report-late", Duration::ZERO..=S * 60, Some(Duration::ZERO)),
            };
            Self {
                listen: address(&root, "listen"),
                seed: root.whole("seed", 0..=u64::MAX, Some(1)),
                figures,
                cold: root.flag("cold", Some(false)),
            }
        };
        sheet.finish()?;
        Ok(found)
    }
}

impl ListSheet {
    pub fn read(sheet: Sheet) -> Result<Self, Mistakes> {
        let found = {
            let root = sheet.root();
            let entries = root.many("core").into_iter().map(|node| {
                let block = node.block();
                let listed = match block.text("listed", Some("active")).as_str() {
                    "active" => ServerState::Active,
                    "leaving" => ServerState::Draining,
                    other => {
                        block.wrong(format!("listed may be active or leaving, not {other:?}"));
                        ServerState::Gone
                    }
                };
                Listing {
                    server: ServerId(node.text(0).unwrap_or_default().into()),
                    number: ServerNumber(block.whole("number", 0..=1_000_000, None) as i64),
                    address: block.text("address", None).into(),
                    listed,
                    life: 0,
                    started: None,
                }
            });
            Self {
                listen: address(&root, "listen"),
                late: root.time("late", Duration::ZERO..=S * 600, Some(Duration::ZERO)),
                entries: entries.collect(),
                swaps: root
                    .many("swap")
                    .into_iter()
                    .filter_map(|node| {
                        let after =
                            node.block().time("after", Duration::ZERO..=HOUR * 24, Some(Duration::ZERO));
                        Some((after, node.text(0)?))
                    })
                    .collect(),
            }
        };
        sheet.finish()?;
        Ok(found)
    }
}

impl CallersSheet {
    pub fn read(sheet: Sheet) -> Result<Self, Mistakes> {
        let found = {
            let root = sheet.root();
            let edges: Vec<String> = root.many("edge").into_iter().filter_map(|node| node.text(0)).collect();
            if edges.is_empty() {
                root.wrong("edge is missing: callers need one edge proxy at least");
            }
            let products = root.many("product").into_iter().map(|node| {
                let block = node.block();
                let choices = block.need("choices").map(|node| {
                    (0..node.arguments())
                        .filter_map(|n| node.whole(n, 0..=1_000_000))
                        .map(|n| n as i64)
                        .collect()
                });
                let choices: Vec<i64> = choices.unwrap_or_default();
                CallerProduct {
                    share: block.real("share", 1e-6..=1e6, Some(1.0)),
                    promised: block.time("promised", MS..=HOUR, None),
                    cut_off: block.time("cut-off", MS..=HOUR, None),
                    lasts: block.time("lasts", MS..=HOUR, None),
                    choices: if choices.is_empty() { vec![0] } else { choices },
                }
            });
            let products: Vec<CallerProduct> = products.collect();
            if products.is_empty() {
                root.wrong("product is missing: callers want one at least");
            }
            let tenants = root.many("tenant").into_iter().filter_map(|node| node.real(0, 1e-6..=1e6));
            let figures = CrowdFigures {
                name: root.text("name", Some("callers")).into(),
                rate: root.real("rate", 0.01..=1e6, None),
                products,
                tenants: tenants.map(|share| CrowdTenant { share }).collect(),
                edges: vec![1.0; edges.len()],
                tries: root.whole("tries", 0..=100, Some(2)) as u32,
                try_share: (0.3, 0.4),
                wait: root.time("wait", Duration::ZERO..=S * 60, Some(MS * 500)),
                heeds: root.real("heeds", 0.0..=1.0, Some(0.7)),
                repeats: root.real("repeats", 0.0..=1.0, Some(0.5)),
                shifts: root.time("shifts", Duration::ZERO..=HOUR, Some(Duration::ZERO)),
                dialled: dialled(&root),
                fleet: false,
                until: root.time("lasts", MS..=HOUR, Some(S * 60)),
            };
            Self { edges, seed: root.whole("seed", 0..=u64::MAX, Some(1)), figures }
        };
        sheet.finish()?;
        Ok(found)
    }
}

/// What is dialled: `dialled SHARE PATTERN`, # standing for any digit.
pub fn dialled(block: &Block) -> Vec<(f64, String)> {
    let all = block.many("dialled").into_iter().filter_map(|node| {
        let (share, pattern) = (node.real(0, 1e-6..=1e6)?, node.text(1)?);
        let fine = pattern.len() <= 40 && pattern.chars().all(|c| c.is_ascii_digit() || "+#*".contains(c));
        if !fine {
            node.wrong(format!("{pattern:?}: a pattern has digits, + and #, 40 signs at most"));
        }
        Some((share, pattern))
    });
    all.collect()
}

/// Figures of a look-up server.
pub fn enum_figures(block: &Block) -> EnumFigures {
    let to = block.maybe("to").map(|node| {
        let to = (0..node.arguments()).filter_map(|n| {
            let text = node.text(n)?;
            let digits = Digits::parse(&text).ok().filter(|digits| digits.is_international());
            if digits.is_none() {
                node.wrong(format!("{text}: a routing number begins with +"));
            }
            digits
        });
        to.collect()
    });
    EnumFigures {
        suffix: block.text("suffix", Some("e164.arpa")),
        takes: block.time("takes", Duration::ZERO..=S * 60, Some(MS * 5)),
        moved: block.real("moved", 0.0..=1.0, Some(0.0)),
        to: to.unwrap_or_default(),
        ttl: block.whole("holds", 0..=86_400, Some(60)) as u32,
    }
}

pub fn enum_kdl(figures: &EnumFigures) -> String {
    let to: Vec<String> = figures.to.iter().map(|to| format!("\"{to}\"")).collect();
    let (suffix, takes) = (&figures.suffix, lotussaddle_sheet::spelled(figures.takes));
    let to = if to.is_empty() { String::new() } else { format!("to {}; ", to.join(" ")) };
    format!("suffix {suffix:?}; takes {takes:?}; moved {:?}; {to}holds {}; ", figures.moved, figures.ttl)
}

/// A look-up server by itself.
pub struct EnumSheet {
    pub listen: SocketAddr,
    pub seed: u64,
    pub figures: EnumFigures,
    pub illness: Vec<Illness>,
}

impl EnumSheet {
    pub fn read(sheet: Sheet) -> Result<Self, Mistakes> {
        let found = {
            let root = sheet.root();
            let listen = address(&root, "listen");
            let illness = root.many("ill").into_iter().filter_map(|node| illness(&node.block()));
            let illness = illness.collect();
            Self {
                listen,
                seed: root.whole("seed", 0..=u64::MAX, Some(1)),
                figures: enum_figures(&root),
                illness,
            }
        };
        sheet.finish()?;
        Ok(found)
    }
}

/// What is wrong with a look-up server: `how "slow"; share 0.5; by "300ms"`.
pub fn illness(block: &Block) -> Option<Illness> {
    let how = block.text("how", None);
    let ill = Ill::ALL.iter().find(|(name, _)| *name == how).map(|(_, ill)| *ill);
    if ill.is_none() && !how.is_empty() {
        let known: Vec<&str> = Ill::ALL.iter().map(|(name, _)| *name).collect();
        block.wrong(format!("how may be {}, not {how:?}", known.join(", ")));
    }
    let (share, by) = (
        block.real("share", 0.0..=1.0, Some(1.0)),
        block.time("by", Duration::ZERO..=S * 60, Some(MS * 300)),
    );
    Some(Illness { ill: ill?, share, by })
}
