//! What goes wrong on a day, when, and to whom.

use std::fmt::Write;
use std::time::Duration;

use lotussaddle_sheet::{Block, Node, spelled};
use lotussaddle_standin::{Ill, Illness};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub at: Duration,
    pub lasts: Duration,
    pub kind: Kind,
}

/// Which edge proxies a trouble strikes.
#[derive(Clone, Debug, PartialEq)]
pub enum Who {
    /// This share of them, one at least, drawn by the day's seed.
    Part(f64),
    These(Vec<usize>),
}

/// What goes wrong between members of a fleet: those that are struck, and the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rift {
    /// Nothing passes; bytes are kept, as a transport that repeats them would.
    Cut,
    /// Nothing passes one way: from those that are struck, or to them.
    OneWay {
        out: bool,
    },
    Late {
        by: Duration,
    },
    /// This share of the frames is lost, and its link breaks.
    Lossy {
        share: f64,
    },
    /// Links are dead, and neither side is told.
    HalfOpen,
    /// Cut for so long, whole for so long, again and again.
    Flap {
        every: Duration,
    },
}

/// What becomes of the disk of an edge proxy while it is down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disk {
    /// It is as it was so long before.
    Older {
        by: Duration,
    },
    Lost,
}

/// `part` is the share of core servers (or edge proxies) that it strikes, one at least, drawn by the day's seed.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Dials come so many times as fast.
    Surge {
        times: f64,
    },
    /// Core servers die, and come back cold at its end.
    Crash {
        part: f64,
    },
    /// New core servers take the place of old ones, `batch` at a time; what stands on an old one after `drains` is
    /// cut.
    Replace {
        part: f64,
        batch: u64,
        drains: Duration,
    },
    Slow {
        part: f64,
        times: f64,
    },
    /// Slower and slower, then a crash; back cold after `down`.
    Ageing {
        part: f64,
        times: f64,
        down: Duration,
    },
    /// Set-ups are taken and none is answered.
    Hang {
        part: f64,
    },
    /// Work is done and this share of the answers never comes, or comes as a launch broken off.
    AnswersLost {
        part: f64,
        share: f64,
        by_reset: bool,
    },
    ReportsLate {
        by: Duration,
    },
    ListLate {
        by: Duration,
    },
    /// Core servers of a region keep this share of their lines.
    LinesLost {
        region: usize,
        keep: f64,
    },
    /// Nothing passes between a region and the others.
    RegionCut {
        region: usize,
    },
    /// Edge proxies stand still for `each`, once every `every`.
    Stall {
        who: Who,
        each: Duration,
        every: Duration,
    },
    /// Edge proxies are killed, and started again at its end.
    Kill {
        who: Who,
    },
    /// Between members of a fleet.
    Rift {
        rift: Rift,
        who: Who,
    },
    /// Edge proxies are killed, and started at its end with this disk.
    Store {
        disk: Disk,
        who: Who,
    },
    /// Nothing more can be written to the disks of edge proxies.
    FullDisk {
        who: Who,
    },
    /// Edge proxies are started anew with clocks that run so fast, and a clock on the wall that is off by so many seconds; at its
    /// end anew with right ones.
    Clock {
        who: Who,
        rate: f64,
        wall: i64,
    },
    /// Core servers restart within `within` of each other and come back cold after `down`.
    MassRestart {
        part: f64,
        within: Duration,
        down: Duration,
    },
    /// This share of the callers waits for only so much of the promised time.
    Hurried {
        share: f64,
        of_promised: f64,
    },
    /// A tenant's callers give up early and dial again at once.
    Redial {
        tenant: usize,
        of_promised: f64,
        tries: u64,
    },
    /// Core servers refuse connects, and reset the links they have.
    Refuse {
        part: f64,
    },
    /// Links to core servers are dead, and neither side is told.
    HalfOpen {
        part: f64,
    },
    /// Links from core servers pass a byte at a time.
    Trickle {
        part: f64,
        gap: Duration,
    },
    /// Look-up servers (this part of them) are ill.
    LookUps {
        part: f64,
        illness: Illness,
    },
    /// Another generation of tables is ordered, in force after a while; at the end it is undone, or not.
    Swap {
        generation: String,
        after: Duration,
        undo: bool,
    },
    /// Members are asked to have a generation put into force on all.
    Publish {
        generation: String,
        who: Who,
    },
    /// By turns each generation, again and again.
    Swaps {
        every: Duration,
    },
    /// A tenant's callers dial so many times as many numbers, all at random.
    Flood {
        tenant: usize,
        times: f64,
    },
}

impl Trouble {
    pub fn name(&self) -> &'static str {
        match self.kind {
            Kind::Surge { .. } => "surge",
            Kind::Crash { .. } => "crash",
            Kind::Replace { .. } => "replace",
            Kind::Slow { .. } => "slow",
            Kind::Ageing { .. } => "ageing",
            Kind::Hang { .. } => "hang",
            Kind::AnswersLost { .. } => "answers-lost",
            Kind::ReportsLate { .. } => "reports-late",
            Kind::ListLate { .. } => "list-late",
            Kind::LinesLost { .. } => "lines-lost",
            Kind::RegionCut { .. } => "region-cut",
            Kind::Stall { .. } => "stall",
            Kind::Kill { .. } => "kill",
            Kind::MassRestart { .. } => "mass-restart",
            Kind::Hurried { .. } => "hurried",
            Kind::Redial { .. } => "redial",
            Kind::Refuse { .. } => "refuse",
            Kind::HalfOpen { .. } => "half-open",
            Kind::Trickle { .. } => "trickle",
            Kind::LookUps { .. } => "look-ups",
            Kind::Swap { .. } => "swap",
            Kind::Swaps { .. } => "swaps",
            Kind::Publish { .. } => "publish",
            Kind::Flood { .. } => "flood",
            Kind::Rift { rift, .. } => match rift {
                Rift::Cut => "cut",
                Rift::OneWay { .. } => "one-way",
                Rift::Late { .. } => "late",
                Rift::Lossy { .. } => "lossy",
                Rift::HalfOpen => "half-open",
                Rift::Flap { .. } => "flap",
            },
            Kind::Store { disk: Disk::Older { .. }, .. } => "older-store",
            Kind::Store { disk: Disk::Lost, .. } => "lost-store",
            Kind::FullDisk { .. } => "full-disk",
            Kind::Clock { .. } => "clock",
        }
    }

    /// Reads all nodes of a `troubles` block.
    pub fn read_all(block: &Block) -> Vec<Self> {
        let mut all = Vec::new();
        for (name, node) in block.names() {
            if let Some(kind) = read(name, node) {
                block.many(name); // It is known.
                all.push(kind);
            }
        }
        if all.len() > 1000 {
            block.wrong("over 1000 troubles");
        }
        all
    }

    pub fn kdl(&self) -> String {
        let mut out =
            format!("{} {{ at {:?}; lasts {:?}; ", self.name(), spelled(self.at), spelled(self.lasts));
        let mut put = |name: &str, value: String| {
            let _ = write!(out, "{name} {value}; ");
        };
        let text = |time: &Duration| format!("{:?}", spelled(*time));
        let real = |value: &f64| format!("{value:?}");
        match &self.kind {
            Kind::Surge { times } => put("times", real(times)),
            Kind::Crash { part } | Kind::Hang { part } => put("part", real(part)),
            Kind::Kill { who } | Kind::FullDisk { who } => put_who(&mut put, who),
            Kind::Rift { rift, who } => {
                put_who(&mut put, who);
                match rift {
                    Rift::OneWay { out } => put("out", format!("#{out}")),
                    Rift::Late { by } => put("by", text(by)),
                    Rift::Lossy { share } => put("share", real(share)),
                    Rift::Flap { every } => put("every", text(every)),
                    Rift::HalfOpen => put("between", format!("{:?}", "members")),
                    Rift::Cut => {}
                }
            }
            Kind::Store { disk, who } => {
                put_who(&mut put, who);
                if let Disk::Older { by } = disk {
                    put("by", text(by));
                }
            }
            Kind::Clock { who, rate, wall } => {
                put_who(&mut put, who);
                put("rate", real(rate));
                put("wall", format!("{:?}", wall.to_string()));
            }
            Kind::Refuse { part } | Kind::HalfOpen { part } => put("part", real(part)),
            Kind::Replace { part, batch, drains } => {
                put("part", real(part));
                put("batch", batch.to_string());
                put("drains", text(drains));
            }
            Kind::Slow { part, times } => {
                put("part", real(part));
                put("times", real(times));
            }
            Kind::Ageing { part, times, down } => {
                put("part", real(part));
                put("times", real(times));
                put("down", text(down));
            }
            Kind::AnswersLost { part, share, by_reset } => {
                put("part", real(part));
                put("share", real(share));
                put("by-reset", format!("#{by_reset}"));
            }
            Kind::ReportsLate { by } | Kind::ListLate { by } => put("by", text(by)),
            Kind::LinesLost { region, keep } => {
                put("region", region.to_string());
                put("keep", real(keep));
            }
            Kind::RegionCut { region } => put("region", region.to_string()),
            Kind::Stall { who, each, every } => {
                put_who(&mut put, who);
                put("each", text(each));
                put("every", text(every));
            }
            Kind::MassRestart { part, within, down } => {
                put("part", real(part));
                put("within", text(within));
                put("down", text(down));
            }
            Kind::Hurried { share, of_promised } => {
                put("share", real(share));
                put("of-promised", real(of_promised));
            }
            Kind::Redial { tenant, of_promised, tries } => {
                put("tenant", tenant.to_string());
                put("of-promised", real(of_promised));
                put("tries", tries.to_string());
            }
            Kind::Trickle { part, gap } => {
                put("part", real(part));
                put("gap", text(gap));
            }
            Kind::LookUps { part, illness } => {
                let how = Ill::ALL.iter().find(|(_, ill)| *ill == illness.ill).map_or("", |(name, _)| name);
                put("part", real(part));
                put("how", format!("{how:?}"));
                put("share", real(&illness.share));
                put("by", text(&illness.by));
            }
            Kind::Swap { generation, after, undo } => {
                put("generation", format!("{generation:?}"));
                put("after", text(after));
                put("undo", format!("#{undo}"));
            }
            Kind::Publish { generation, who } => {
                put_who(&mut put, who);
                put("generation", format!("{generation:?}"));
            }
            Kind::Swaps { every } => put("every", text(every)),
            Kind::Flood { tenant, times } => {
                put("tenant", tenant.to_string());
                put("times", real(times));
            }
        }
        out + "}"
    }
}

fn put_who(put: &mut impl FnMut(&str, String), who: &Who) {
    match who {
        Who::Part(part) => put("part", format!("{part:?}")),
        Who::These(members) => {
            let members: Vec<String> = members.iter().map(usize::to_string).collect();
            put("members", members.join(" "));
        }
    }
}

fn who(block: &Block) -> Who {
    match block.maybe("members") {
        Some(node) => {
            let members = (0..node.arguments()).filter_map(|n| node.whole(n, 0..=1000)).map(|n| n as usize);
            Who::These(members.collect())
        }
        None => Who::Part(block.real("part", 0.0..=1.0, None)),
    }
}

fn read(name: &str, node: Node) -> Option<Trouble> {
    let block = node.block();
    let rift = |rift| Kind::Rift { rift, who: who(&block) };
    let part = || block.real("part", 0.0..=1.0, None);
    let time = |name, most| block.time(name, MS..=most, None);
    let kind = match name {
        "surge" => Kind::Surge { times: block.real("times", 0.01..=1000.0, None) },
        "crash" => Kind::Crash { part: part() },
        "replace" => Kind::Replace {
            part: part(),
            batch: block.whole("batch", 1..=1000, Some(1)),
            drains: time("drains", HOUR),
        },
        "slow" => Kind::Slow { part: part(), times: block.real("times", 1.0..=1000.0, None) },
        "ageing" => Kind::Ageing {
            part: part(),
            times: block.real("times", 1.0..=1000.0, None),
            down: time("down", HOUR),
        },
        "hang" => Kind::Hang { part: part() },
        "answers-lost" => Kind::AnswersLost {
            part: part(),
            share: block.real("share", 0.0..=1.0, None),
            by_reset: block.flag("by-reset", Some(false)),
        },
        "reports-late" => Kind::ReportsLate { by: time("by", S * 60) },
        "list-late" => Kind::ListLate { by: time("by", S * 600) },
        "lines-lost" => Kind::LinesLost {
            region: block.whole("region", 0..=1000, None) as usize,
            keep: block.real("keep", 0.0..=1.0, None),
        },
        "region-cut" => Kind::RegionCut { region: block.whole("region", 0..=1000, None) as usize },
        "stall" => Kind::Stall { who: who(&block), each: time("each", S * 60), every: time("every", HOUR) },
        "kill" => Kind::Kill { who: who(&block) },
        "cut" => rift(Rift::Cut),
        "one-way" => rift(Rift::OneWay { out: block.flag("out", Some(true)) }),
        "late" => rift(Rift::Late { by: time("by", S * 60) }),
        "lossy" => rift(Rift::Lossy { share: block.real("share", 0.0..=1.0, None) }),
        "flap" => rift(Rift::Flap { every: time("every", HOUR) }),
        "half-open" if block.maybe("between").is_some() => rift(Rift::HalfOpen),
        "older-store" => Kind::Store { disk: Disk::Older { by: time("by", HOUR) }, who: who(&block) },
        "lost-store" => Kind::Store { disk: Disk::Lost, who: who(&block) },
        "full-disk" => Kind::FullDisk { who: who(&block) },
        "clock" => Kind::Clock {
            who: who(&block),
            rate: block.real("rate", 0.1..=10.0, Some(1.0)),
            wall: block.maybe("wall").and_then(|node| node.text(0)).and_then(|t| t.parse().ok()).unwrap_or(0),
        },
        "mass-restart" => {
            Kind::MassRestart { part: part(), within: time("within", S * 60), down: time("down", HOUR) }
        }
        "hurried" => Kind::Hurried {
            share: block.real("share", 0.0..=1.0, None),
            of_promised: block.real("of-promised", 0.01..=10.0, None),
        },
        "redial" => Kind::Redial {
            tenant: block.whole("tenant", 0..=10_000, Some(0)) as usize,
            of_promised: block.real("of-promised", 0.01..=10.0, None),
            tries: block.whole("tries", 0..=100, None),
        },
        "refuse" => Kind::Refuse { part: part() },
        "half-open" => Kind::HalfOpen { part: part() },
        "trickle" => Kind::Trickle { part: part(), gap: time("gap", S) },
        "look-ups" => Kind::LookUps { part: part(), illness: lotussaddle_standin::sheets::illness(&block)? },
        "swap" => Kind::Swap {
            generation: block.text("generation", None),
            after: block.time("after", Duration::ZERO..=HOUR, Some(Duration::ZERO)),
            undo: block.flag("undo", Some(false)),
        },
        "publish" => Kind::Publish { generation: block.text("generation", None), who: who(&block) },
        "swaps" => Kind::Swaps { every: time("every", S * 60) },
        "flood" => Kind::Flood {
            tenant: block.whole("tenant", 0..=10_000, Some(0)) as usize,
            times: block.real("times", 1.0..=1000.0, None),
        },
        _ => return None,
    };
    Some(Trouble {
        at: block.time("at", Duration::ZERO..=HOUR, None),
        lasts: block.time("lasts", MS..=HOUR, None),
        kind,
    })
}
