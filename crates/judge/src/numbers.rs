//! Does each launch agree with one generation of tables? Told from orders, datagrams and dials that passed, by the
//! slow and obvious analysis: it shares neither structures nor state with what it judges.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_numbers::{Digits, Group, Known, Loaded, Plain, Route, Step, Tables, Timestamp, no_lines};
use lotussaddle_portability::{Question, Reply, Said, number_of, question_of};
use lotussaddle_sheet::Sheet;
use lotussaddle_trunk::{Dial, Launch, TablesOrder};

use crate::record::{Brief, NumbersBrief, Way, unhex};

/// A generation that may be, or have been, in force at an edge proxy.
#[derive(Clone, Debug)]
struct Force {
    serial: u64,
    name: String,
    /// It cannot have been before ...
    from: Duration,
    /// ... nor after.
    until: Option<Duration>,
}

#[derive(Default)]
struct At {
    forces: Vec<Force>,
    /// Orders to swap that were not answered yet: from when on they may be in force, and what.
    ordered: HashMap<u64, (Duration, TablesOrder)>,
    /// What was in force before each swap, to be undone.
    before: Vec<Force>,
    asked: HashMap<(usize, u16), (Question, Digits)>,
    /// What was said of each number: where it has moved, if anywhere.
    said: HashMap<Digits, HashSet<Option<Digits>>>,
    /// Names that a number was sent on to.
    sent_on: HashMap<Digits, Digits>,
    dials: HashMap<DialogueId, Dialled>,
}

struct Dialled {
    at: Duration,
    dial: Dial,
    /// What its launches so far agree with; none: not launched yet.
    agrees: Option<Vec<(String, Route)>>,
}

pub struct Agreement {
    wall: Timestamp,
    groups: Vec<(String, Vec<i64>)>,
    plains: HashMap<String, Plain>,
    first: String,
    suffix: String,
    edges: HashMap<usize, At>,
}

impl Agreement {
    pub fn new(brief: &Brief, numbers: &NumbersBrief) -> Self {
        let known = Known {
            groups: numbers
                .groups
                .iter()
                .map(|(name, cores)| Group { name: name.clone(), cores: cores.clone() })
                .collect(),
            products: brief.products.iter().map(|product| product.name.clone()).collect(),
            tenants: brief.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        };
        let mut agreement = Self {
            wall: numbers.wall.parse().unwrap_or(Timestamp::UNIX_EPOCH),
            groups: numbers.groups.clone(),
            plains: HashMap::new(),
            first: numbers.generations.first().map(|(name, _)| name.clone()).unwrap_or_default(),
            suffix: numbers.suffix.clone(),
            edges: HashMap::new(),
        };
        for (name, text) in &numbers.generations {
            // A broken one is never in force, so that a launch by it agrees with nothing.
            if let Some(plain) = read(name, text, &known, &agreement.plains) {
                agreement.plains.insert(name.clone(), plain);
            }
        }
        agreement
    }

    pub fn started(&mut self, edge: usize, now: Duration) {
        let first = Force { serial: 0, name: self.first.clone(), from: now, until: None };
        self.edges.insert(edge, At { forces: vec![first], ..At::default() });
    }

    pub fn ordered(&mut self, edge: usize, now: Duration, serial: u64, order: &TablesOrder) {
        let at = self.edges.entry(edge).or_default();
        let from = match order {
            TablesOrder::Swap { after, .. } => now + *after,
            TablesOrder::Undo { .. } => now,
            _ => return,
        };
        at.ordered.entry(serial).or_insert((from, order.clone()));
    }

    /// The edge proxy says what came of an order. The swap of that serial is in force now, and may have been since
    /// it was ordered; what was before is over.
    pub fn tabled(
        &mut self, edge: usize, now: Duration, serial: u64, in_force: u64, name: Option<&str>,
    ) -> Option<String> {
        let at = self.edges.entry(edge).or_default();
        if serial != in_force || at.forces.last().is_some_and(|force| force.serial == serial) {
            let last = at.forces.last().map_or(0, |force| force.serial);
            // Whatever is said of other orders, what is in force stays what it was.
            return (in_force != last)
                .then(|| format!("swap {in_force} is said to be in force, and {last} is"));
        }
        let Some((from, order)) = at.ordered.remove(&serial) else {
            return Some(format!("swap {serial} is said to be in force, and was never ordered"));
        };
        let wanted = match &order {
            TablesOrder::Swap { name, .. } => name.to_string(),
            TablesOrder::Undo { to, .. } => {
                let before = at.before.pop().map(|force| force.name);
                to.as_ref().map(ToString::to_string).or(before).unwrap_or_default()
            }
            _ => String::new(),
        };
        if name != Some(wanted.as_str()) {
            return Some(format!("swap {serial} should bring {wanted} and brings {name:?}"));
        }
        // Times pass in whole microseconds.
        if now + Duration::from_micros(2) < from {
            return Some(format!("swap {serial} is in force {:?} before its time", from - now));
        }
        if let Some(last) = at.forces.last_mut() {
            last.until = Some(now);
            if !matches!(order, TablesOrder::Undo { .. }) {
                at.before.push(last.clone());
            }
        }
        at.forces.push(Force { serial, name: wanted, from, until: None });
        None
    }

    pub fn datagram(&mut self, edge: usize, server: usize, way: Way, bytes: &str) {
        let at = self.edges.entry(edge).or_default();
        let Some(bytes) = unhex(bytes) else { return };
        match way {
            Way::Out => {
                if let Some((question, number)) = question_of(&bytes, &self.suffix) {
                    at.asked.insert((server, question.id), (question, number));
                }
            }
            Way::In => {
                let Some(id) = bytes.get(..2).map(|id| u16::from_be_bytes([id[0], id[1]])) else { return };
                let Some((question, number)) = at.asked.get(&(server, id)) else { return };
                match Reply::read(&bytes, question, *number).map(|reply| reply.said) {
                    Ok(Said::Number(moved)) => {
                        // It may answer whoever was sent on to this name.
                        let mut number = *number;
                        for _ in 0..8 {
                            at.said.entry(number).or_default().insert(moved.routing());
                            match at.sent_on.get(&number) {
                                Some(next) => number = *next,
                                None => break,
                            }
                        }
                    }
                    Ok(Said::Elsewhere(name)) => {
                        if let Some(to) = number_of(&name, &self.suffix) {
                            at.sent_on.insert(to, *number);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    pub fn dialled(&mut self, edge: usize, now: Duration, dial: &Dial) {
        if dial.dialled.is_some() {
            let at = self.edges.entry(edge).or_default();
            let dialled = Dialled { at: now, dial: dial.clone(), agrees: None };
            at.dials.entry(dial.dialogue.clone()).or_insert(dialled);
        }
    }

    /// When it was dialled, and what is wrong.
    pub fn launched(
        &mut self, edge: usize, now: Duration, launch: &Launch, server: Option<i64>,
    ) -> Option<(Duration, String)> {
        let at = self.edges.entry(edge).or_default();
        let mut dialled = at.dials.remove(&launch.dialogue)?;
        let possible = match dialled.agrees.take() {
            Some(agrees) => agrees,
            None => possible(&self.plains, self.wall, at, now, &dialled),
        };
        let agrees: Vec<(String, Route)> = possible
            .iter()
            .filter(|(_, route)| {
                let number = route.number.to_string();
                let routing = route.routing.map(|routing| routing.to_string());
                let group = self.groups.get(usize::from(route.group));
                launch.product == route.product.unwrap_or(dialled.dial.product)
                    && launch.width == route.width.unwrap_or(dialled.dial.width)
                    && launch.number.as_deref() == Some(number.as_str())
                    && launch.routing.as_deref() == routing.as_deref()
                    && server.is_some_and(|server| group.is_some_and(|(_, cores)| cores.contains(&server)))
            })
            .cloned()
            .collect();
        let wrong = agrees.is_empty().then(|| {
            let at: Vec<String> = possible.iter().take(4).map(|(name, route)| format!("{name}: {route:?}")).collect();
            format!(
                "{} dialled, launched at core server {server:?} as product {}, number {:?}, routing {:?}; no generation in \
                 force leads there ({})",
                dialled.dial.dialled.as_deref().unwrap_or_default(),
                launch.product,
                launch.number,
                launch.routing,
                at.join("; "),
            )
        });
        let since = dialled.at;
        dialled.agrees = Some(if agrees.is_empty() { possible } else { agrees });
        at.dials.insert(launch.dialogue.clone(), dialled);
        wrong.map(|what| (since, what))
    }
}

/// All that generations in force between a dial and its launch may have led it to.
fn possible(
    plains: &HashMap<String, Plain>, wall: Timestamp, at: &At, now: Duration, dialled: &Dialled,
) -> Vec<(String, Route)> {
    let mut all: Vec<(String, Route)> = Vec::new();
    // An order that was not answered yet may be in force already.
    let coming = at.ordered.values().filter_map(|(from, order)| match order {
        TablesOrder::Swap { name, .. } => Some((name.to_string(), *from)),
        TablesOrder::Undo { to: Some(to), .. } => Some((to.to_string(), *from)),
        TablesOrder::Undo { to: None, .. } => Some((at.before.last()?.name.clone(), *from)),
        _ => None,
    });
    let coming = coming.filter(|(_, from)| *from <= now).map(|(name, _)| name);
    let forces =
        at.forces.iter().filter(|f| f.from <= now && f.until.is_none_or(|until| until >= dialled.at));
    let names: HashSet<String> = forces.map(|force| force.name.clone()).chain(coming).collect();
    let mut names: Vec<String> = names.into_iter().collect();
    names.sort();
    // By the hour at which it was dialled, or that of its launch, should one have turned in between.
    let hours = [dialled.at, now].map(|time| wall.checked_add(time).unwrap_or(wall));
    let dial = &dialled.dial;
    let text = dial.dialled.as_deref().unwrap_or_default();
    for name in names {
        let Some(plain) = plains.get(&name) else { continue };
        for hour in hours {
            let asked = RefCell::new(None);
            let mut answers: Vec<Option<Option<Digits>>> = vec![None];
            let mut place = 0;
            while place < answers.len() {
                let answer = answers[place];
                let step = plain.analyse(dial.tenant, text, hour, dial.sharing_hash(), &|number| {
                    asked.replace(Some(number));
                    answer
                });
                if let Step::Route(route) = step
                    && !all.iter().any(|(known, other)| *known == name && *other == route)
                {
                    all.push((name.clone(), route));
                }
                if place == 0
                    && let Some(said) = asked.borrow().and_then(|number| at.said.get(&number))
                {
                    answers.extend(said.iter().map(|routing| Some(*routing)));
                }
                place += 1;
            }
        }
    }
    all
}

fn read(name: &str, text: &str, known: &Known, before: &HashMap<String, Plain>) -> Option<Plain> {
    let sheet = Sheet::read(name, text).ok()?;
    let base = |of: &str| before.get(of).map(|plain| std::sync::Arc::new(Tables::new(plain.0.clone())));
    let loaded = Loaded::read(&sheet.root(), name, known, &no_lines, &base);
    sheet.finish().ok()?;
    match loaded {
        Loaded::Whole(draft) => Some(Plain(draft)),
        Loaded::Change(change) => before.get(&change.of).map(|plain| plain.with(&change)),
    }
}
