//! A generation as it is written: read whole, with all its mistakes, before anything is made of it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use jiff::Timestamp;
use jiff::civil::Date;
use jiff::tz::TimeZone;
use lotussaddle_sheet::{Block, Node};

use crate::check::{self, Place};
use crate::schedule::days;
use crate::{DialPlan, Digits, Extension, Hours, Late, Schedule, Tables, range};

const MS: Duration = Duration::from_millis(1);
/// Prefixes of a generation, ways, tables, at most.
const MOST_PREFIXES: usize = 5_000_000;
const MOST_WAYS: usize = 100_000;
const MOST_TABLES: usize = 10_000;
/// Mistakes told of one list of prefixes; the rest is counted.
const TOLD: usize = 50;

/// What an edge proxy knows by name, so that tables can be checked against it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    pub groups: Vec<Group>,
    pub products: Vec<String>,
    pub tenants: Vec<String>,
}

/// A trunk group: the core servers behind it, by number.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    pub name: String,
    pub cores: Vec<i64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WayId(pub u32);

/// What a prefix leads to. Tables are named by their place.
#[derive(Clone, Debug, PartialEq)]
pub enum Way {
    Route {
        group: u16,
        /// In the place of what the caller said.
        product: Option<u16>,
        first: Option<i64>,
        width: Option<f64>,
    },
    Refuse {
        cause: String,
    },
    Hours {
        schedule: usize,
        open: WayId,
        closed: WayId,
    },
    /// By weight.
    Shares(Vec<(u32, WayId)>),
    /// The first signs go, others come in their place, and another table is asked.
    Rewrite {
        strip: usize,
        put: Digits,
        table: usize,
    },
    Table(usize),
    /// Has the number moved? Its routing number is looked up in a table; the number of one that has not moved goes
    /// another way.
    Ported {
        table: usize,
        otherwise: WayId,
        late: Late,
        /// The longest that the answer is waited for, whatever is left of the promised time.
        within: Duration,
    },
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableDraft {
    pub name: String,
    /// In the order written: of a prefix that comes twice the last counts, which only a change may use.
    pub entries: Vec<(Digits, WayId)>,
    pub otherwise: Option<WayId>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TenantDraft {
    /// None: all that have no line of their own.
    pub tenant: Option<u16>,
    pub plan: usize,
    pub table: usize,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    pub name: String,
    pub from: Option<Timestamp>,
    pub plans: Vec<DialPlan>,
    pub schedules: Vec<Schedule>,
    pub ways: Vec<(String, Way)>,
    pub tables: Vec<TableDraft>,
    pub tenants: Vec<TenantDraft>,
}

/// A small change to a generation that is there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    pub name: String,
    pub of: String,
    pub from: Option<Timestamp>,
    /// These come after the ways that are there.
    pub ways: Vec<(String, Way)>,
    /// Table, prefix, and what it leads to from now on; none: the prefix goes.
    pub puts: Vec<(usize, Digits, Option<WayId>)>,
}

#[derive(Clone, Debug)]
pub enum Loaded {
    Whole(Draft),
    Change(Change),
}

/// Gives the text of a list of prefixes that a sheet names: a prefix and a way a line.
pub type Lines<'a> = &'a dyn Fn(&str) -> Result<String, String>;

pub fn no_lines(name: &str) -> Result<String, String> {
    Err(format!("{name}: lists of prefixes cannot be read here"))
}

/// Names, and where each was written.
struct Names<'a> {
    what: &'static str,
    known: HashMap<String, usize>,
    nodes: Vec<Node<'a>>,
}

impl<'a> Names<'a> {
    fn new(what: &'static str, before: impl IntoIterator<Item = (String, usize)>) -> Self {
        Self { what, known: before.into_iter().collect(), nodes: Vec::new() }
    }

    fn add(&mut self, node: Node<'a>) -> String {
        let name = node.text(0).unwrap_or_default();
        let place = self.known.len();
        if self.known.contains_key(&name) {
            node.wrong(format!("{} {name} is there already", self.what));
        } else {
            self.known.insert(name.clone(), place);
        }
        self.nodes.push(node);
        name
    }

    /// What this argument of a node names.
    fn named(&self, node: Node, argument: usize) -> usize {
        let Some(name) = node.text(argument) else { return 0 };
        self.of(&name).unwrap_or_else(|| {
            node.wrong(format!("{} {name} is not known", self.what));
            0
        })
    }

    fn of(&self, name: &str) -> Option<usize> {
        self.known.get(name).copied()
    }
}

fn digits(node: Node, argument: usize) -> Digits {
    let Some(text) = node.text(argument) else { return Digits::default() };
    Digits::parse(&text).unwrap_or_else(|why| {
        node.wrong(format!("{text:?}: {why}"));
        Digits::default()
    })
}

/// Without "+".
fn plain(node: Node, argument: usize) -> Digits {
    let digits = digits(node, argument);
    if digits.is_international() {
        node.wrong(format!("{} wants digits without +", node.name()));
    }
    digits
}

/// An instant as people write it: with its offset, or with its zone.
pub fn instant(text: &str) -> Option<Timestamp> {
    text.parse::<Timestamp>()
        .ok()
        .or_else(|| text.parse::<jiff::ZonedDateTime>().ok().map(|zoned| zoned.timestamp()))
}

fn from_time(root: &Block) -> Option<Timestamp> {
    let node = root.maybe("from")?;
    let text = node.text(0)?;
    let read = instant(&text);
    if read.is_none() {
        node.wrong(
            "from wants a time such as \"2026-12-31T23:00:00Z\" or \"2027-01-01T00:00+01:00[Europe/Berlin]\"",
        );
    }
    read
}

impl Loaded {
    /// Reads a generation, or a change of one that `base` gives. What is wrong is noted in the sheet.
    pub fn read(
        root: &Block, name: &str, known: &Known, lines: Lines,
        base: &dyn Fn(&str) -> Option<std::sync::Arc<Tables>>,
    ) -> Self {
        match root.maybe("of") {
            Some(node) => Self::Change(Change::read(root, node, name, known, base)),
            None => Self::Whole(Draft::read(root, name, known, lines)),
        }
    }
}

impl Draft {
    pub fn read(root: &Block, name: &str, known: &Known, lines: Lines) -> Self {
        let mut plans = Names::new("plan", []);
        let mut schedules = Names::new("schedule", []);
        let mut ways = Names::new("way", []);
        let mut tables = Names::new("table", []);
        let mut draft = Self { name: name.into(), from: from_time(root), ..Self::default() };
        for node in root.many("plan") {
            let name = plans.add(node);
            draft.plans.push(read_plan(name, &node.block()));
        }
        for node in root.many("schedule") {
            let name = schedules.add(node);
            draft.schedules.push(read_schedule(name, &node.block()));
        }
        for node in root.many("way") {
            ways.add(node);
        }
        for node in root.many("table") {
            tables.add(node);
        }
        if ways.nodes.len() > MOST_WAYS || tables.nodes.len() > MOST_TABLES {
            root.wrong(format!("over {MOST_WAYS} ways or {MOST_TABLES} tables"));
            return draft;
        }
        for node in &ways.nodes {
            let way = read_way(*node, known, &schedules, &ways, &tables);
            draft.ways.push((node.text(0).unwrap_or_default(), way));
        }
        let mut count = 0;
        for node in &tables.nodes {
            let table = read_table(*node, &ways, lines);
            count += table.entries.len();
            draft.tables.push(table);
        }
        if count > MOST_PREFIXES {
            root.wrong(format!("{count} prefixes, over {MOST_PREFIXES}"));
        }
        for node in root.many("tenant") {
            let name = node.text(0).unwrap_or_default();
            let tenant = known.tenants.iter().position(|tenant| *tenant == name).map(|place| place as u16);
            if tenant.is_none() && name != "*" {
                node.wrong(format!("tenant {name} is not known"));
            }
            if draft.tenants.iter().any(|known| known.tenant == tenant) {
                node.wrong(format!("tenant {name} stands here a second time"));
            }
            let inner = node.block();
            let plan = inner.need("plan").map_or(0, |node| plans.named(node, 0));
            let table = inner.need("table").map_or(0, |node| tables.named(node, 0));
            draft.tenants.push(TenantDraft { tenant, plan, table });
        }
        if draft.tenants.is_empty() {
            root.wrong("tenant is missing: a generation serves one at least, \"*\" standing for all");
        }
        // References that are wrong have been told; only what refers rightly can be gone through.
        if tables.nodes.is_empty() || ways.nodes.is_empty() || plans.nodes.is_empty() {
            root.wrong("a generation has a plan, a way and a table at least");
            return draft;
        }
        for (place, what) in check::draft(&draft) {
            match place {
                Place::Way(way) => ways.nodes[way].wrong(what),
                Place::Table(table) => tables.nodes[table].wrong(what),
                Place::Tenant => root.wrong(what),
            }
        }
        draft
    }
}

impl Change {
    fn read(
        root: &Block, of: Node, name: &str, known: &Known,
        base: &dyn Fn(&str) -> Option<std::sync::Arc<Tables>>,
    ) -> Self {
        let of_name = of.text(0).unwrap_or_default();
        let mut change =
            Self { name: name.into(), of: of_name.clone(), from: from_time(root), ..Self::default() };
        let Some(base) = base(&of_name) else {
            of.wrong(format!("generation {of_name} is not here to be changed"));
            for name in ["way", "table"] {
                root.many(name);
            }
            return change;
        };
        let mut ways = Names::new("way", base.way_names());
        let tables = Names::new("table", base.table_names());
        let schedules = Names::new("schedule", base.schedule_names());
        for node in root.many("way") {
            ways.add(node);
        }
        for node in &ways.nodes {
            let way = read_way(*node, known, &schedules, &ways, &tables);
            change.ways.push((node.text(0).unwrap_or_default(), way));
        }
        for node in root.many("table") {
            let table = tables.named(node, 0);
            let inner = node.block();
            for put in inner.many("put") {
                let way = WayId(ways.named(put, 1) as u32);
                change.puts.push((table, digits(put, 0), Some(way)));
            }
            for drop in inner.many("drop") {
                let prefix = digits(drop, 0);
                if base.exact(table, prefix).is_none() {
                    drop.wrong(format!("{prefix} is not there to be dropped"));
                }
                change.puts.push((table, prefix, None));
            }
        }
        // Ways of former generations stay; whoever changes on and on has to write a whole one some day.
        let (all_ways, all) = (base.ways() + change.ways.len(), base.len() + change.puts.len());
        if all_ways > MOST_WAYS || all > MOST_PREFIXES {
            of.wrong(format!("{all_ways} ways and {all} prefixes, over {MOST_WAYS} or {MOST_PREFIXES}"));
            return change;
        }
        for (place, what) in base.check_change(&change) {
            match place {
                Place::Way(way) if way >= base.ways() => ways.nodes[way - base.ways()].wrong(what),
                _ => of.wrong(what),
            }
        }
        change
    }
}

fn read_plan(name: String, block: &Block) -> DialPlan {
    let all = |name: &str| -> Vec<Digits> {
        block
            .maybe(name)
            .map(|node| (0..node.arguments()).map(|n| plain(node, n)).filter(|d| !d.is_empty()).collect())
            .unwrap_or_default()
    };
    let extensions = block.many("extension").into_iter().map(|node| {
        let inner = node.block();
        let from = inner.need("from").map_or(Digits::default(), |node| plain(node, 0));
        let to = inner.need("to").map_or(Digits::default(), |node| plain(node, 0));
        if from.len() != to.len() || from > to {
            node.wrong("extension: from and to are of one length, the lower one first");
        }
        let put = inner.maybe("put").map(|node| digits(node, 0));
        Extension { from, to, put }
    });
    let plan = DialPlan {
        name,
        extensions: extensions.collect(),
        country: block.need("country").map_or(Digits::default(), |node| plain(node, 0)),
        area: block.maybe("area").map_or(Digits::default(), |node| plain(node, 0)),
        international: all("international"),
        trunk: block.maybe("trunk").map(|node| plain(node, 0)),
        short: all("short"),
        emergency: all("emergency"),
        least: block.whole("least", 1..=15, Some(5)) as usize,
    };
    let country = plan.country;
    if country.len() > 3 || country.signs().next() == Some('0') {
        block.wrong(format!("country {country}: a country code has 1 to 3 digits and begins with none of 0"));
    }
    plan
}

fn read_schedule(name: String, block: &Block) -> Schedule {
    let zone = block.need("zone").and_then(|node| {
        let name = node.text(0)?;
        TimeZone::get(&name).ok().or_else(|| {
            node.wrong(format!("zone {name} is not known"));
            None
        })
    });
    let mut week: [Vec<Hours>; 7] = Default::default();
    let hours = |node: Node, at: usize| {
        let hours = Hours::read(&node.text(at)?, &node.text(at + 1)?);
        if hours.is_none() {
            node.wrong("hours are written as \"08:00\" \"18:00\"; \"24:00\" ends a day");
        }
        hours
    };
    for node in block.many("open") {
        let Some(days) = node.text(0).and_then(|text| days(&text)) else {
            node.wrong("open wants days such as \"mon-fri\" or \"sat\"");
            continue;
        };
        let Some(hours) = hours(node, 1) else { continue };
        for day in days {
            match hours.over_midnight() {
                None => week[day].push(hours),
                Some((evening, morning)) => {
                    week[day].push(evening);
                    week[(day + 1) % 7].push(morning);
                }
            }
        }
    }
    let (mut dates, mut yearly) = (BTreeMap::new(), BTreeMap::new());
    let closed = block.many("closed").into_iter().map(|node| (node, false));
    for (node, is_open) in closed.chain(block.many("on").into_iter().map(|node| (node, true))) {
        let Some(day) = node.text(0) else { continue };
        let own = match is_open {
            false => Vec::new(),
            true => match hours(node, 1) {
                Some(hours) if hours.over_midnight().is_none() => vec![hours],
                Some(_) => {
                    node.wrong("the hours of a single day end on it");
                    continue;
                }
                None => continue,
            },
        };
        // A leap year has all days that there are.
        let each_year = format!("2024-{day}").parse::<Date>().ok().filter(|_| day.len() == 5);
        match (day.parse::<Date>(), each_year) {
            (Ok(date), _) => dates.entry(date).or_insert_with(Vec::new).extend(own),
            (_, Some(date)) => yearly.entry((date.month(), date.day())).or_insert_with(Vec::new).extend(own),
            _ => node.wrong(format!("{day} is no day such as \"2026-12-24\", or \"12-24\" for each year")),
        }
    }
    Schedule { name, zone: zone.unwrap_or(TimeZone::UTC), week, dates, yearly }
}

fn read_way(node: Node, known: &Known, schedules: &Names, ways: &Names, tables: &Names) -> Way {
    let block = node.block();
    let kinds = ["route", "refuse", "hours", "share", "rewrite", "ported", "table"];
    let there: Vec<&str> =
        kinds.into_iter().filter(|kind| block.names().iter().any(|(name, _)| name == kind)).collect();
    let way_of = |node: Node, place| WayId(ways.named(node, place) as u32);
    let kind = there.first().copied().unwrap_or("refuse");
    // A table is named beside a rewrite and a look-up too.
    if there.iter().filter(|k| **k != "table").count() > 1 || there.is_empty() {
        node.wrong(format!("a way is one of {}", kinds.join(", ")));
    }
    let table = || block.need("table").map_or(0, |node| tables.named(node, 0));
    match kind {
        "route" => {
            let inner = block.need("route").expect("it is there");
            let name = inner.text(0).unwrap_or_default();
            let group = known.groups.iter().position(|group| group.name == name);
            if group.is_none() {
                inner.wrong(format!("trunk group {name} is not known"));
            }
            let group = group.unwrap_or_default();
            let product = block.maybe("product").and_then(|node| {
                let name = node.text(0)?;
                let place = known.products.iter().position(|product| *product == name);
                if place.is_none() {
                    node.wrong(format!("product {name} is not known"));
                }
                place.map(|place| place as u16)
            });
            let first = block.maybe("first").and_then(|node| {
                let first = node.whole(0, 0..=1_000_000)? as i64;
                if known.groups.get(group).is_some_and(|group| !group.cores.contains(&first)) {
                    node.wrong(format!("first choice {first} is not in trunk group {name}"));
                }
                Some(first)
            });
            let width = block.maybe("width").and_then(|node| node.real(0, 1e-3..=10_000.0));
            Way::Route { group: group as u16, product, first, width }
        }
        "refuse" => Way::Refuse { cause: block.text("refuse", Some("barred")) },
        "hours" => Way::Hours {
            schedule: block.need("hours").map_or(0, |node| schedules.named(node, 0)),
            open: block.need("open").map_or(WayId(0), |node| way_of(node, 0)),
            closed: block.need("closed").map_or(WayId(0), |node| way_of(node, 0)),
        },
        "share" => {
            let shares = block.many("share").into_iter().filter_map(|node| {
                let weight = node.whole(0, 0..=1_000_000)? as u32;
                Some((weight, way_of(node, 1)))
            });
            let shares: Vec<_> = shares.collect();
            if shares.iter().all(|(weight, _)| *weight == 0) {
                node.wrong("no share is above 0");
            }
            Way::Shares(shares)
        }
        "rewrite" => {
            let inner = block.need("rewrite").expect("it is there");
            let strip = inner.whole(0, 0..=16).unwrap_or(0) as usize;
            let put = if inner.arguments() > 1 { digits(inner, 1) } else { Digits::default() };
            Way::Rewrite { strip, put, table: table() }
        }
        "table" => Way::Table(table()),
        _ => {
            block.need("ported");
            let late = match block.text("late", Some("go-on")).as_str() {
                "go-on" => Late::GoOn,
                "refuse" => Late::Refuse,
                other => {
                    block.wrong(format!("late may be go-on or refuse, not {other}"));
                    Late::GoOn
                }
            };
            Way::Ported {
                table: table(),
                otherwise: block.need("else").map_or(WayId(0), |node| way_of(node, 0)),
                late,
                within: block.time("within", MS..=Duration::from_secs(60), Some(MS * 500)),
            }
        }
    }
}

fn read_table(node: Node, ways: &Names, lines: Lines) -> TableDraft {
    let block = node.block();
    let mut entries = Vec::new();
    for prefix in block.many("prefix") {
        let (found, way) = (digits(prefix, 0), WayId(ways.named(prefix, 1) as u32));
        // What is no prefix has been told.
        entries.extend((!found.is_empty()).then_some((found, way)));
    }
    for span in block.many("range") {
        let (from, to) = (digits(span, 0), digits(span, 1));
        let way = WayId(ways.named(span, 2) as u32);
        match range(from, to) {
            Some(parts) => entries.extend(parts.into_iter().map(|part| (part, way))),
            None => span.wrong(format!("{from} to {to} is no range: two of one length, the lower one first")),
        }
    }
    for list in block.many("lines") {
        let Some(name) = list.text(0) else { continue };
        match lines(&name) {
            Ok(text) => read_lines(list, &name, &text, ways, &mut entries),
            Err(why) => list.wrong(why),
        }
    }
    let mut sorted: Vec<Digits> = entries.iter().map(|(prefix, _)| *prefix).collect();
    sorted.sort_unstable();
    for twice in sorted.windows(2).filter(|pair| pair[0] == pair[1]).take(TOLD) {
        node.wrong(format!("prefix {} comes twice in table {}", twice[0], node.text(0).unwrap_or_default()));
    }
    let otherwise = block.maybe("otherwise").map(|node| WayId(ways.named(node, 0) as u32));
    TableDraft { name: node.text(0).unwrap_or_default(), entries, otherwise }
}

/// A prefix and a way a line; what stands after # is for the reader.
fn read_lines(node: Node, file: &str, text: &str, ways: &Names, entries: &mut Vec<(Digits, WayId)>) {
    let mut wrong = 0usize;
    let mut tell = |line: usize, column: usize, what: String| {
        wrong += 1;
        if wrong <= TOLD {
            node.wrong(format!("{file}:{}:{column}: {what}", line + 1));
        }
    };
    for (number, line) in text.lines().enumerate() {
        let mut words = line.split('#').next().unwrap_or_default().split_whitespace();
        let Some(prefix) = words.next() else { continue };
        let column = |word: &str| word.as_ptr() as usize - line.as_ptr() as usize + 1;
        let (way, more) = (words.next(), words.next());
        match (Digits::parse(prefix), way.map(|way| (way, ways.of(way))), more) {
            (Ok(prefix), Some((_, Some(way))), None) => entries.push((prefix, WayId(way as u32))),
            (Err(why), ..) => tell(number, column(prefix), why.to_string()),
            (_, None, _) => tell(number, column(prefix), "a way is missing".into()),
            (_, Some((way, None)), _) => tell(number, column(way), format!("way {way} is not known")),
            (_, _, Some(more)) => tell(number, column(more), format!("{more} is too much here")),
        }
    }
    if wrong > TOLD {
        node.wrong(format!("{file}: {} mistakes more", wrong - TOLD));
    }
}
