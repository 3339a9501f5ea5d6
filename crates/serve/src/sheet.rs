//! What an edge proxy is told at its start: EDGE.kdl.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lotussaddle::interface::{Product, RoutePlan, ServerNumber, Tenant};
use lotussaddle_edge::{Limits, NumberAnalysis};
use lotussaddle_fleet::{DutyPlan, Plan};
use lotussaddle_numbers::{Group, Known, Timestamp};
use lotussaddle_sheet::{Block, Mistakes, Node, Sheet, spelled};
use lotussaddle_store::Mode;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSheet {
    pub name: String,
    pub listen: SocketAddr,
    /// Address of the pool list.
    pub list: String,
    /// Chance; none: drawn from the system at the start.
    pub seed: Option<u64>,
    pub limits: Limits,
    /// What must outlive this process; none: nothing does.
    pub store: Option<StoreSheet>,
    /// How dialled numbers are analysed; none: they are not.
    pub numbers: Option<NumbersSheet>,
    /// The group that this edge proxy is a member of; none: it shares nothing with anybody.
    pub fleet: Option<FleetSheet>,
    pub plan: RouteSheet,
}

/// A group of edge proxies, the same in the sheets of all its members but for `listen`.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSheet {
    /// Where links of peers come in.
    pub listen: SocketAddr,
    /// Names and addresses, in the order of names.
    pub members: Vec<(String, SocketAddr)>,
    pub figures: FleetFigures,
}

/// What all members of a group have alike.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetFigures {
    pub copies: usize,
    /// Acknowledgements that a launch and a final answer wait for, and how long.
    pub before_launch: usize,
    pub before_answer: usize,
    pub within: Duration,
    /// A launch that is not acknowledged in time is not sent.
    pub strictly: bool,
    pub ask_within: Duration,
    pub silence: Duration,
    pub unclaimed: Duration,
    pub forget: Duration,
    pub most: usize,
    /// Who votes about duties; none: there are none.
    pub duties: Option<DutyFigures>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct DutyFigures {
    /// Names of members: 3, 5 or 7.
    pub voters: Vec<String>,
    pub lease: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct NumbersSheet {
    /// Where generations are: NAME.kdl each.
    pub folder: PathBuf,
    /// The one in force at the start; none: none is until one is ordered.
    pub start: Option<String>,
    pub look_ups: Option<LookUpSheet>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct LookUpSheet {
    pub servers: Vec<SocketAddr>,
    pub plan: lotussaddle_portability::Plan,
}

#[derive(Clone, Debug, PartialEq)]
pub struct StoreSheet {
    pub folder: PathBuf,
    /// What a record survives before its answer is given.
    pub mode: Mode,
}

/// The figures of the fleet that the decisions need.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSheet {
    pub proxies: u32,
    pub products: Vec<ProductSheet>,
    pub tenants: Vec<TenantSheet>,
    /// Trunk groups, which number analysis chooses among.
    pub groups: Vec<Group>,
    pub over_quota_share: f64,
    pub tick: Duration,
    pub release: Duration,
    pub resend: Duration,
    pub max_launches: u32,
    pub marks_again: bool,
    pub may_cancel: bool,
    pub longest_return: Duration,
    pub cold_share: f64,
    pub warm_after: Duration,
    pub fall_multiple: f64,
    pub fall_within: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ProductSheet {
    pub name: String,
    pub promised: Duration,
    pub lasts: Duration,
    pub cut_off: Duration,
    pub gain: f64,
    pub late_share: f64,
    /// Numbers of the core servers that can take it; none: any can.
    pub cores: Option<Vec<i64>>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TenantSheet {
    pub name: String,
    pub quota: f64,
}

impl EdgeSheet {
    pub fn load(path: &Path) -> Result<Self, Mistakes> {
        Self::read(Sheet::load(path)?)
    }

    pub fn read(sheet: Sheet) -> Result<Self, Mistakes> {
        let found = {
            let root = sheet.root();
            let listen = root.text("listen", None);
            let at = root.maybe("listen");
            let listen = listen.parse().unwrap_or_else(|_| {
                if let Some(node) = at.filter(|_| !listen.is_empty()) {
                    node.wrong(format!(
                        "listen wants an address and port such as \"127.0.0.1:4000\", not {listen}"
                    ));
                }
                SocketAddr::from(([127, 0, 0, 1], 0))
            });
            if let Some(node) = at.filter(|_| !listen.ip().is_loopback()) {
                node.wrong(format!("listen wants a loopback address, not {listen}"));
            }
            let limits = root.maybe("limits").map(|node| limits(&node.block())).unwrap_or_default();
            let mut limits = limits;
            let store = root.maybe("store").map(|node| {
                let block = node.block();
                limits.answer_record_timeout = block.time("within", MS..=S, Some(MS * 20));
                let mode = match block.text("mode", Some("written")).as_str() {
                    "written" => Mode::Written,
                    "synced" => Mode::Synced,
                    other => {
                        block.wrong(format!("mode may be written or synced, not {other:?}"));
                        Mode::Written
                    }
                };
                StoreSheet { folder: block.text("folder", None).into(), mode }
            });
            let numbers = root.maybe("numbers").map(|node| NumbersSheet::read(&node.block()));
            let name = root.text("name", None);
            let fleet = root.maybe("fleet").map(|node| FleetSheet::read(&node.block(), &name));
            if let Some(fleet) = &fleet {
                fleet.figures.bound(&mut limits);
            }
            let seed = root.maybe("seed").and_then(|node| node.whole(0, 0..=u64::MAX));
            let plan = root.need("plan").map(|node| RouteSheet::read(&node.block()));
            Self {
                name,
                listen,
                list: root.text("list", None),
                seed,
                limits,
                store,
                numbers,
                fleet,
                plan: plan.unwrap_or_else(RouteSheet::empty),
            }
        };
        sheet.finish()?;
        Ok(found)
    }

    /// The sheet as it would be written; `read` gives the same back.
    pub fn kdl(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(out, "name {:?}\nlisten \"{}\"\nlist {:?}", self.name, self.listen, self.list);
        if let Some(seed) = self.seed {
            let _ = writeln!(out, "seed {seed}");
        }
        let l = &self.limits;
        let _ = writeln!(
            out,
            "limits {{\n  dialogues {}\n  links {}\n  fresh {}\n  queued {}\n  remembered {}\n  hello-within {:?}\n  \
             ask-after {:?}\n  dead-after {:?}\n  connect-within {:?}\n  remember-for {:?}\n  release-within {:?}\n}}",
            l.max_dialogues,
            l.max_links,
            l.max_unidentified_links,
            l.max_queued_launches,
            l.max_concluded,
            spelled(l.hello_timeout),
            spelled(l.ping_after),
            spelled(l.response_timeout),
            spelled(l.connect_timeout),
            spelled(l.concluded_retention),
            spelled(l.release_timeout),
        );
        if let Some(store) = &self.store {
            let mode = if store.mode == Mode::Synced { "synced" } else { "written" };
            let (folder, within) = (store.folder.display().to_string(), spelled(l.answer_record_timeout));
            let _ = writeln!(out, "store {{ folder {folder:?}; mode {mode:?}; within {within:?}; }}");
        }
        if let Some(numbers) = &self.numbers {
            out.push_str(&numbers.kdl());
        }
        if let Some(fleet) = &self.fleet {
            out.push_str(&fleet.kdl());
        }
        let _ = write!(out, "plan {{\n{}}}\n", self.plan.kdl("  "));
        out
    }
}

impl FleetSheet {
    /// The most members that a sheet may name.
    pub const MOST_MEMBERS: usize = 64;

    fn read(block: &Block, name: &str) -> Self {
        let mut members: Vec<(String, SocketAddr)> = Vec::new();
        for node in block.many("member") {
            let known = node.text(0).unwrap_or_default();
            let text = node.text(1).unwrap_or_default();
            let address = text.parse::<SocketAddr>().ok().filter(|address| address.ip().is_loopback());
            if address.is_none() {
                node.wrong(format!("member wants a loopback address with its port, not {text:?}"));
            }
            let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
            if members.iter().any(|(other, _)| *other == known) {
                node.wrong(format!("member {known} stands here a second time"));
            }
            if members.iter().any(|(_, other)| *other == address) {
                node.wrong(format!("{address} is another member's"));
            }
            members.push((known, address));
        }
        members.sort();
        let own = members.iter().find(|(known, _)| known == name).map(|(_, address)| *address);
        if !(2..=Self::MOST_MEMBERS).contains(&members.len()) {
            block.wrong(format!("fleet wants 2 to {} members, not {}", Self::MOST_MEMBERS, members.len()));
        } else if own.is_none() {
            block.wrong(format!("no member bears this edge proxy's name, {name:?}"));
        }
        let own = own.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let listen = block.text("listen", Some(&own.to_string()));
        let listen = listen.parse::<SocketAddr>().ok().filter(|address| address.ip().is_loopback());
        if listen.is_none() {
            block.wrong("fleet: listen wants a loopback address and port");
        }
        let names: Vec<String> = members.iter().map(|(name, _)| name.clone()).collect();
        let figures = FleetFigures::read(block, &names);
        Self { listen: listen.unwrap_or(own), members, figures }
    }

    /// What the member beside the edge proxy of this name goes by.
    pub fn plan(&self, name: &str, release: Duration) -> Plan {
        let members: Vec<String> = self.members.iter().map(|(name, _)| name.clone()).collect();
        let me = members.iter().position(|known| known == name).unwrap_or_default();
        self.figures.plan(members, me as u16, release)
    }

    fn kdl(&self) -> String {
        let mut out = format!("fleet {{\n  listen \"{}\"\n{}", self.listen, self.figures.kdl("  "));
        for (name, address) in &self.members {
            let _ = writeln!(out, "  member {name:?} \"{address}\"");
        }
        out + "}\n"
    }
}

impl Default for FleetFigures {
    fn default() -> Self {
        let usual = Plan::default();
        Self {
            copies: usual.replica_count,
            before_launch: usual.acks_before_launch,
            before_answer: usual.acks_before_answer,
            within: MS * 20,
            strictly: false,
            ask_within: usual.search_timeout,
            silence: usual.response_timeout,
            unclaimed: usual.claim_timeout,
            forget: usual.retention,
            most: usual.max_replicas,
            duties: None,
        }
    }
}

impl DutyFigures {
    fn read(node: &Node, members: &[String]) -> Self {
        let block = node.block();
        let node_of = block.need("voters");
        let named = |node: &Node| (0..node.arguments()).filter_map(|n| node.text(n)).collect();
        let voters: Vec<String> = node_of.as_ref().map(named).unwrap_or_default();
        if let Some(node) = node_of {
            if let Some(odd) = voters.iter().find(|voter| !members.contains(voter)) {
                node.wrong(format!("voter {odd:?} is no member"));
            }
            let again = voters.iter().enumerate().find(|(n, voter)| voters[..*n].contains(voter));
            if let Some((_, again)) = again {
                node.wrong(format!("voter {again:?} stands here a second time"));
            }
            if ![3, 5, 7].contains(&voters.len()) {
                node.wrong(format!("voters are 3, 5 or 7 members, not {}", voters.len()));
            }
        }
        Self { voters, lease: block.time("lease", MS * 100..=S * 60, Some(S * 2)) }
    }
}

impl FleetFigures {
    /// Of a group of so many members.
    pub fn read(block: &Block, members: &[String]) -> Self {
        let usual = Self::default();
        let most = (members.len().max(2) - 1).min(Plan::MAX_REPLICAS) as u64;
        let copies = block.whole("copies", 1..=most, Some(2.min(most)));
        let count = |name, usual: u64| block.whole(name, 0..=copies, Some(usual.min(copies))) as usize;
        let strictly = match block.text("without", Some("launch")).as_str() {
            "launch" => false,
            "refuse" => true,
            other => {
                block.wrong(format!("without may be launch or refuse, not {other:?}"));
                false
            }
        };
        Self {
            copies: copies as usize,
            before_launch: count("before-launch", usual.before_launch as u64),
            before_answer: count("before-answer", usual.before_answer as u64),
            within: block.time("within", MS..=S, Some(usual.within)),
            strictly,
            ask_within: block.time("ask-within", MS..=S * 5, Some(usual.ask_within)),
            silence: block.time("silence", MS * 50..=S * 60, Some(usual.silence)),
            unclaimed: block.time("unclaimed", MS * 50..=HOUR, Some(usual.unclaimed)),
            forget: block.time("forget", S..=HOUR * 24, Some(usual.forget)),
            most: block.whole("most-copies", 1..=100_000_000, Some(usual.most as u64)) as usize,
            duties: block.maybe("duties").map(|node| DutyFigures::read(&node, members)),
        }
    }

    /// Launches and answers wait for copies as they wait for the disk.
    pub fn bound(&self, limits: &mut Limits) {
        if self.before_launch > 0 {
            (limits.launch_record_timeout, limits.withhold_unrecorded_launches) =
                (self.within, self.strictly);
        }
        if self.before_answer > 0 {
            limits.answer_record_timeout = limits.answer_record_timeout.max(self.within);
        }
    }

    pub fn plan(&self, members: Vec<String>, me: u16, release: Duration) -> Plan {
        let place = |voter: &String| members.iter().position(|name| name == voter).map(|place| place as u16);
        let duties = self.duties.as_ref().map(|duties| DutyPlan {
            voters: duties.voters.iter().filter_map(place).collect(),
            lease_duration: duties.lease,
        });
        Plan {
            duties,
            members,
            self_member: me,
            replica_count: self.copies,
            acks_before_launch: self.before_launch,
            acks_before_answer: self.before_answer,
            withholds_unacknowledged_launches: self.strictly,
            release_time: release,
            search_timeout: self.ask_within,
            response_timeout: self.silence,
            claim_timeout: self.unclaimed,
            retention: self.forget,
            max_replicas: self.most,
            ..Plan::default()
        }
    }

    /// What stands between the braces, each line behind this.
    pub fn kdl(&self, indent: &str) -> String {
        let lines = [
            format!("copies {}", self.copies),
            format!("before-launch {}", self.before_launch),
            format!("before-answer {}", self.before_answer),
            format!("within {:?}", spelled(self.within)),
            format!("without {:?}", if self.strictly { "refuse" } else { "launch" }),
            format!("ask-within {:?}", spelled(self.ask_within)),
            format!("silence {:?}", spelled(self.silence)),
            format!("unclaimed {:?}", spelled(self.unclaimed)),
            format!("forget {:?}", spelled(self.forget)),
            format!("most-copies {}", self.most),
        ];
        let duties = self.duties.iter().map(|duties| {
            let voters: Vec<String> = duties.voters.iter().map(|name| format!("{name:?}")).collect();
            format!("duties {{ voters {}; lease {:?}; }}", voters.join(" "), spelled(duties.lease))
        });
        let lines = lines.into_iter().chain(duties);
        lines.map(|line| format!("{indent}{line}\n")).collect()
    }
}

impl NumbersSheet {
    fn read(block: &Block) -> Self {
        Self {
            folder: block.text("folder", None).into(),
            start: block.maybe("start").and_then(|node| node.text(0)),
            look_ups: block.maybe("look-up").map(|node| LookUpSheet::read(&node.block())),
        }
    }

    fn kdl(&self) -> String {
        let mut out = format!("numbers {{\n  folder {:?}\n", self.folder.display().to_string());
        if let Some(start) = &self.start {
            let _ = writeln!(out, "  start {start:?}");
        }
        if let Some(look_ups) = &self.look_ups {
            let p = &look_ups.plan;
            let servers: Vec<String> = look_ups.servers.iter().map(|s| format!("\"{s}\"")).collect();
            let _ = writeln!(
                out,
                "  look-up {{\n    servers {}\n    suffix {:?}\n    wait {:?}\n    tries {}\n    out {} {}\n    queue {}\n    \
                 remembered {}\n    shortest {:?}\n    longest {:?}\n    stale {:?}\n  }}",
                servers.join(" "),
                p.suffix,
                spelled(p.first_wait),
                p.tries,
                p.first_out,
                p.most_out,
                p.queue,
                p.remembered,
                spelled(p.shortest),
                spelled(p.longest),
                spelled(p.stale),
            );
        }
        out + "}\n"
    }
}

impl LookUpSheet {
    fn read(block: &Block) -> Self {
        let usual = lotussaddle_portability::Plan::default();
        let servers = block.need("servers").map(|node| {
            let servers = (0..node.arguments()).filter_map(|n| {
                let text = node.text(n)?;
                let address = text.parse::<SocketAddr>().ok().filter(|address| address.ip().is_loopback());
                if address.is_none() {
                    node.wrong(format!("servers wants loopback addresses with ports, not {text}"));
                }
                address
            });
            servers.collect::<Vec<_>>()
        });
        let servers = servers.unwrap_or_default();
        if servers.is_empty() || servers.len() > 16 {
            block.wrong("look-up wants 1 to 16 servers");
        }
        let (first_out, most_out) = block.maybe("out").map_or((usual.first_out, usual.most_out), |node| {
            let first = node.whole(0, 1..=16_384).unwrap_or(1) as usize;
            let most = node.whole(1, 1..=16_384).unwrap_or(1) as usize;
            if first > most {
                node.wrong("out: the first is above the second");
            }
            (first, most)
        });
        let plan = lotussaddle_portability::Plan {
            suffix: block.text("suffix", Some(&usual.suffix)),
            servers: servers.len(),
            first_wait: block.time("wait", MS..=S * 10, Some(usual.first_wait)),
            tries: block.whole("tries", 1..=10, Some(usual.tries.into())) as u32,
            first_out,
            most_out,
            queue: block.whole("queue", 0..=1_000_000, Some(usual.queue as u64)) as usize,
            remembered: block.whole("remembered", 0..=10_000_000, Some(usual.remembered as u64)) as usize,
            shortest: block.time("shortest", Duration::ZERO..=HOUR, Some(usual.shortest)),
            longest: block.time("longest", S..=HOUR * 168, Some(usual.longest)),
            stale: block.time("stale", Duration::ZERO..=HOUR * 168, Some(usual.stale)),
            ..usual
        };
        if plan.shortest > plan.longest {
            block.wrong("shortest is above longest");
        }
        Self { servers, plan }
    }
}

fn limits(block: &Block) -> Limits {
    let usual = Limits::default();
    let count = |name, most, usual: usize| block.whole(name, 1..=most, Some(usual as u64)) as usize;
    let time = |name, usual| block.time(name, MS..=HOUR, Some(usual));
    Limits {
        max_dialogues: count("dialogues", 10_000_000, usual.max_dialogues),
        max_links: count("links", 10_000, usual.max_links),
        max_unidentified_links: count("fresh", 10_000, usual.max_unidentified_links),
        max_queued_launches: count("queued", 100_000, usual.max_queued_launches),
        max_concluded: count("remembered", 10_000_000, usual.max_concluded),
        hello_timeout: time("hello-within", usual.hello_timeout),
        ping_after: time("ask-after", usual.ping_after),
        response_timeout: time("dead-after", usual.response_timeout),
        connect_timeout: time("connect-within", usual.connect_timeout),
        concluded_retention: time("remember-for", usual.concluded_retention),
        release_timeout: time("release-within", usual.release_timeout),
        ..usual
    }
}

impl RouteSheet {
    /// Stands in while mistakes are gathered; `finish` keeps it from being used.
    pub fn empty() -> Self {
        Self {
            proxies: 1,
            products: Vec::new(),
            tenants: Vec::new(),
            groups: Vec::new(),
            over_quota_share: 0.0,
            tick: MS,
            release: Duration::ZERO,
            resend: Duration::ZERO,
            max_launches: 1,
            marks_again: true,
            may_cancel: true,
            longest_return: Duration::ZERO,
            cold_share: 1.0,
            warm_after: S,
            fall_multiple: 1.0,
            fall_within: S,
        }
    }

    pub fn read(block: &Block) -> Self {
        let mut products: Vec<ProductSheet> = Vec::new();
        for node in block.many("product") {
            let name = node.text(0).unwrap_or_default();
            if products.iter().any(|known| known.name == name) {
                node.wrong(format!("product {name} stands here a second time"));
            }
            let inner = node.block();
            let cores = inner.maybe("cores").map(|node| {
                (0..node.arguments()).filter_map(|n| node.whole(n, 0..=1_000_000)).map(|n| n as i64).collect()
            });
            let product = ProductSheet {
                name,
                promised: inner.time("promised", MS..=HOUR, None),
                lasts: inner.time("lasts", MS..=HOUR, None),
                cut_off: inner.time("cut-off", MS..=HOUR, None),
                gain: inner.real("gain", 1e-6..=1e6, Some(1.0)),
                late_share: inner.real("late-share", 0.0..=1.0, Some(0.0)),
                cores,
            };
            if product.cut_off < product.promised {
                inner.wrong(format!("product {}: its cut-off is before its promised time", product.name));
            }
            products.push(product);
        }
        if products.is_empty() {
            block.wrong("product is missing: a plan needs one at least");
        }
        if products.len() > 1000 {
            block.wrong("over 1000 products");
        }
        let mut groups: Vec<Group> = Vec::new();
        for node in block.many("group") {
            let name = node.text(0).unwrap_or_default();
            if groups.iter().any(|known| known.name == name) {
                node.wrong(format!("group {name} stands here a second time"));
            }
            let cores = node.block().need("cores").map(|node| {
                (0..node.arguments()).filter_map(|n| node.whole(n, 0..=1_000_000)).map(|n| n as i64).collect()
            });
            groups.push(Group { name, cores: cores.unwrap_or_default() });
        }
        if products.len() * (groups.len() + 1) > 10_000 {
            block.wrong("over 10000 pairs of product and group");
        }
        let tenants = block.many("tenant").into_iter().map(|node| TenantSheet {
            name: node.text(0).unwrap_or_default(),
            quota: node.block().real("quota", 1e-6..=1e9, None),
        });
        Self {
            tenants: tenants.collect(),
            groups,
            products,
            proxies: block.whole("proxies", 1..=100_000, None) as u32,
            over_quota_share: block.real("over-quota-share", 0.0..=1.0, Some(0.2)),
            tick: block.time("tick", MS..=S, Some(MS * 5)),
            release: block.time("release", Duration::ZERO..=S * 60, None),
            resend: block.time("resend", Duration::ZERO..=S * 60, Some(Duration::ZERO)),
            max_launches: block.whole("max-launches", 1..=1000, Some(6)) as u32,
            marks_again: block.flag("marks-again", Some(true)),
            may_cancel: block.flag("may-cancel", Some(true)),
            longest_return: block.time("longest-return", Duration::ZERO..=HOUR, Some(Duration::ZERO)),
            cold_share: block.real("cold-share", 0.01..=1.0, None),
            warm_after: block.time("warm-after", MS..=HOUR, None),
            fall_multiple: block.real("fall-multiple", 1.0..=1000.0, None),
            fall_within: block.time("fall-within", MS..=HOUR, Some(S)),
        }
    }

    /// What stands between the braces of a `plan` block.
    pub fn kdl(&self, indent: &str) -> String {
        let mut lines = vec![
            format!("proxies {}", self.proxies),
            format!("tick {:?}", spelled(self.tick)),
            format!("release {:?}", spelled(self.release)),
            format!("resend {:?}", spelled(self.resend)),
            format!("max-launches {}", self.max_launches),
            format!("marks-again #{}", self.marks_again),
            format!("may-cancel #{}", self.may_cancel),
            format!("longest-return {:?}", spelled(self.longest_return)),
            format!("cold-share {:?}", self.cold_share),
            format!("warm-after {:?}", spelled(self.warm_after)),
            format!("fall-multiple {:?}", self.fall_multiple),
            format!("fall-within {:?}", spelled(self.fall_within)),
            format!("over-quota-share {:?}", self.over_quota_share),
        ];
        for product in &self.products {
            lines.push(format!("product {:?} {{", product.name));
            lines.push(format!("  promised {:?}", spelled(product.promised)));
            lines.push(format!("  lasts {:?}", spelled(product.lasts)));
            lines.push(format!("  cut-off {:?}", spelled(product.cut_off)));
            lines.push(format!("  gain {:?}\n{indent}  late-share {:?}", product.gain, product.late_share));
            if let Some(cores) = &product.cores {
                let cores: Vec<String> = cores.iter().map(i64::to_string).collect();
                lines.push(format!("  cores {}", cores.join(" ")));
            }
            lines.push("}".into());
        }
        for tenant in &self.tenants {
            lines.push(format!("tenant {:?} {{ quota {:?}; }}", tenant.name, tenant.quota));
        }
        for group in &self.groups {
            let cores: Vec<String> = group.cores.iter().map(i64::to_string).collect();
            lines.push(format!("group {:?} {{ cores {}; }}", group.name, cores.join(" ")));
        }
        lines.iter().map(|line| format!("{indent}{line}\n")).collect()
    }

    /// What tables of numbers may name.
    pub fn known(&self) -> Known {
        Known {
            groups: self.groups.clone(),
            products: self.products.iter().map(|product| product.name.clone()).collect(),
            tenants: self.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        }
    }

    /// Numbers are analysed by these promised times and groups.
    pub fn numbers(
        &self, wall: Timestamp, look_ups: Option<(lotussaddle_portability::Plan, u64)>,
    ) -> NumberAnalysis {
        let promised = self.products.iter().map(|product| product.promised).collect();
        NumberAnalysis::new(promised, self.groups.len(), wall, look_ups)
    }

    /// The module knows each product once without a trunk group, and once for each of them
    /// (`NumberAnalysis::module_product`): what can take a dialogue is the core servers of both.
    pub fn plan(&self) -> RoutePlan {
        let products = self.products.iter().flat_map(|p| {
            let all = p.cores.clone();
            let of_group = |group: &Group| match &p.cores {
                None => group.cores.clone(),
                Some(cores) => group.cores.iter().copied().filter(|core| cores.contains(core)).collect(),
            };
            let servers = std::iter::once(all).chain(self.groups.iter().map(of_group).map(Some));
            let servers: Vec<_> = servers.collect();
            servers.into_iter().map(|servers| Product {
                promised: p.promised,
                mean_duration: p.lasts,
                redial_window: p.cut_off,
                gain: p.gain,
                late_share: p.late_share,
                servers: servers.map(|cores| cores.into_iter().map(ServerNumber).collect()),
            })
        });
        RoutePlan {
            proxies: self.proxies,
            products: products.collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota: t.quota }).collect(),
            over_quota_share: self.over_quota_share,
            tick: self.tick,
            release_time: self.release,
            resend_after: self.resend,
            max_launches: self.max_launches,
            callers_mark_retries: self.marks_again,
            may_cancel: self.may_cancel,
            max_retry_after: self.longest_return,
            cold_start_share: self.cold_share,
            warm_up_time: self.warm_after,
            overload_multiple: self.fall_multiple,
            overload_window: self.fall_within,
        }
    }
}
