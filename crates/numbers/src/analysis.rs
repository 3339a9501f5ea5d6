//! One number on its way through one generation.

use std::sync::Arc;
use std::time::Duration;

use jiff::Timestamp;

use crate::check::LONGEST_CHAIN;
use crate::draft::{Way, WayId};
use crate::{Digits, Form, Tables};

/// What a dialogue does whose look-up has not been answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Late {
    /// As if the number had not moved.
    GoOn,
    Refuse,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// By its place among the known ones.
    pub group: u16,
    /// None: what the caller said holds.
    pub product: Option<u16>,
    pub first: Option<i64>,
    pub width: Option<f64>,
    /// As it is to be dialled on.
    pub number: Digits,
    /// Where the number has moved to.
    pub routing: Option<Digits>,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// What was dialled is no number.
    #[error("no number: {0}")]
    Undiallable(String),
    /// Nobody has said how this tenant's numbers are analysed.
    #[error("nobody has said how this tenant's numbers are analysed")]
    NoTenant,
    /// No prefix takes the number.
    #[error("no prefix takes the number")]
    NoWay,
    /// By a way that says so.
    #[error("{0}")]
    Barred(String),
    /// Its look-up was not answered in time.
    #[error("its look-up was not answered in time")]
    Unanswered,
    /// What it was rewritten to is no number.
    #[error("what it was rewritten to is no number")]
    NoNumber,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Route(Route),
    Refuse(Refusal),
    /// Has this number moved? [`Analysis::told`] or [`Analysis::gives_up`] goes on.
    Ask {
        number: Digits,
        late: Late,
        within: Duration,
    },
}

/// Goes by one generation, one moment and one lot, however long its look-up takes.
pub struct Analysis {
    tables: Arc<Tables>,
    at: Timestamp,
    lot: u64,
    number: Digits,
    form: Form,
    routing: Option<Digits>,
    /// A number is looked up once: what has been asked (RFC 4694 calls it "npdi") is not asked again.
    dipped: bool,
    /// Where it asked: the table of routing numbers, and the way of numbers that have not moved.
    asked: Option<(usize, WayId, Late)>,
    steps: usize,
    trace: Option<Vec<String>>,
}

impl Analysis {
    /// `lot` is the dialogue's own: shares go by it, so that a further try goes where the first one did.
    pub fn begin(
        tables: Arc<Tables>, tenant: Option<u16>, dialled: &str, at: Timestamp, lot: u64, explain: bool,
    ) -> (Self, Step) {
        let mut analysis = Self {
            tables: tables.clone(),
            at,
            lot,
            number: Digits::default(),
            form: Form::Local,
            routing: None,
            dipped: false,
            asked: None,
            steps: 0,
            trace: explain.then(Vec::new),
        };
        let Some((plan, table)) = tables.tenant(tenant) else {
            return (analysis, Step::Refuse(Refusal::NoTenant));
        };
        let step = match plan.read(dialled) {
            Err(why) => Step::Refuse(Refusal::Undiallable(why.to_string())),
            Ok(read) => {
                (analysis.number, analysis.form) = (read.number, read.form);
                analysis
                    .say(|| format!("plan {}: {dialled} is {} ({:?})", plan.name, read.number, read.form));
                analysis.table(table, read.number)
            }
        };
        (analysis, step)
    }

    /// The look-up says that the number has moved to this routing number, or has not.
    pub fn told(&mut self, routing: Option<Digits>) -> Step {
        let Some((table, otherwise, _)) = self.asked.take() else { return Step::Refuse(Refusal::NoWay) };
        self.dipped = true;
        match routing {
            Some(routing) => {
                self.routing = Some(routing);
                self.say(|| format!("moved to {routing}"));
                self.table(table, routing)
            }
            None => {
                self.say(|| "has not moved".into());
                self.way(otherwise, self.number)
            }
        }
    }

    /// The look-up is not waited for any longer.
    pub fn gives_up(&mut self) -> Step {
        let Some((_, otherwise, late)) = self.asked.take() else { return Step::Refuse(Refusal::NoWay) };
        self.dipped = true;
        match late {
            Late::GoOn => {
                self.say(|| "no answer in time: goes on as one that has not moved".into());
                self.way(otherwise, self.number)
            }
            Late::Refuse => {
                self.say(|| "no answer in time: refused".into());
                Step::Refuse(Refusal::Unanswered)
            }
        }
    }

    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    /// What it went through, where it was begun to be explained.
    pub fn trace(&self) -> &[String] {
        self.trace.as_deref().unwrap_or_default()
    }

    fn say(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(line());
        }
    }

    fn table(&mut self, table: usize, by: Digits) -> Step {
        let tables = self.tables.clone();
        let name = tables.table_name(table);
        match tables.find(table, by) {
            None => {
                self.say(|| format!("table {name}: no prefix of {by}"));
                Step::Refuse(Refusal::NoWay)
            }
            Some((prefix, way)) => {
                let by_prefix = prefix.map_or("otherwise".into(), |prefix| format!("prefix {prefix}"));
                self.say(|| format!("table {name}: {by_prefix} of {by} leads to way {}", tables.way(way).0));
                self.way(way, by)
            }
        }
    }

    fn way(&mut self, way: WayId, by: Digits) -> Step {
        let tables = self.tables.clone();
        let (mut at, mut by) = (way, by);
        loop {
            // The check of a generation keeps chains short; this holds whatever the check missed.
            self.steps += 1;
            if self.steps > LONGEST_CHAIN * 2 {
                return Step::Refuse(Refusal::NoWay);
            }
            let (name, way) = tables.way(at);
            let table = match way {
                Way::Route { group, product, first, width } => {
                    self.say(|| {
                        format!("way {name}: trunk group {group}, product {product:?}, first {first:?}")
                    });
                    return Step::Route(Route {
                        group: *group,
                        product: *product,
                        first: *first,
                        width: *width,
                        number: self.number,
                        routing: self.routing,
                    });
                }
                Way::Refuse { cause } => {
                    self.say(|| format!("way {name}: refused, {cause}"));
                    return Step::Refuse(Refusal::Barred(cause.clone()));
                }
                Way::Hours { schedule, open, closed } => {
                    let schedule = &tables.schedules[*schedule];
                    let moment = self.at;
                    let is_open = schedule.is_open(moment);
                    let hours = if is_open { "open" } else { "closed" };
                    self.say(|| format!("way {name}: schedule {} is {hours} at {moment}", schedule.name));
                    at = if is_open { *open } else { *closed };
                    continue;
                }
                Way::Shares(shares) => {
                    at = drawn(shares, self.lot, at);
                    self.say(|| format!("way {name}: its share falls to way {}", tables.way(at).0));
                    continue;
                }
                Way::Rewrite { strip, put, table } => {
                    let rest = by.signs().skip(*strip);
                    let Some(number) = put.join(rest).filter(|number| !number.is_empty()) else {
                        self.say(|| format!("way {name}: {by} cannot be rewritten"));
                        return Step::Refuse(Refusal::NoNumber);
                    };
                    self.say(|| format!("way {name}: {by} becomes {number}"));
                    by = number;
                    // A routing number is not what is dialled on.
                    if self.routing.is_none() {
                        self.number = number;
                    }
                    *table
                }
                Way::Table(table) => *table,
                Way::Ported { table, otherwise, late, within } => {
                    let may_have_moved = by.is_international() && self.form != Form::Emergency;
                    if self.dipped || !may_have_moved {
                        self.say(|| format!("way {name}: not looked up again, or nothing that moves"));
                        at = *otherwise;
                        continue;
                    }
                    self.say(|| format!("way {name}: asks whether {by} has moved"));
                    self.asked = Some((*table, *otherwise, *late));
                    return Step::Ask { number: by, late: *late, within: *within };
                }
            };
            return self.table(table, by);
        }
    }
}

/// Which of some shares a lot falls to. Mixed with the way, so that two ways in a chain draw apart.
pub(crate) fn drawn(shares: &[(u32, WayId)], lot: u64, way: WayId) -> WayId {
    let mut mixed = lot ^ (u64::from(way.0) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    let all: u64 = shares.iter().map(|(weight, _)| u64::from(*weight)).sum();
    let mut left = ((u128::from(mixed) * u128::from(all)) >> 64) as u64;
    for (weight, to) in shares {
        match left.checked_sub(u64::from(*weight)) {
            Some(rest) => left = rest,
            None => return *to,
        }
    }
    shares.last().map_or(way, |(_, to)| *to)
}
