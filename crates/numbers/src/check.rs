//! A generation as a whole: no way leads round in a circle, none is longer than it may be, and whoever dials an
//! emergency number is put through.

use std::collections::BTreeSet;

use crate::Digits;
use crate::draft::{Draft, Way, WayId};

/// Tables and ways that a number goes through, at most.
pub const LONGEST_CHAIN: usize = 16;

/// Where something is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Way(usize),
    Table(usize),
    Tenant,
}

/// Ways and tables, and which leads to which.
pub struct Net<'a> {
    pub ways: Vec<&'a (String, Way)>,
    /// Name, and the ways that its prefixes lead to, without their number.
    pub tables: Vec<(&'a str, BTreeSet<WayId>)>,
}

impl Net<'_> {
    fn next(&self, at: Place) -> Vec<Place> {
        let to_way = |way: &WayId| Place::Way(way.0 as usize);
        match at {
            Place::Table(table) => self.tables[table].1.iter().map(to_way).collect(),
            Place::Way(way) => match &self.ways[way].1 {
                Way::Route { .. } | Way::Refuse { .. } => Vec::new(),
                Way::Hours { open, closed, .. } => vec![to_way(open), to_way(closed)],
                Way::Shares(shares) => shares.iter().map(|(_, way)| to_way(way)).collect(),
                Way::Rewrite { table, .. } | Way::Table(table) => vec![Place::Table(*table)],
                Way::Ported { table, otherwise, .. } => vec![Place::Table(*table), to_way(otherwise)],
            },
            Place::Tenant => Vec::new(),
        }
    }

    fn name(&self, at: Place) -> String {
        match at {
            Place::Table(table) => format!("table {}", self.tables[table].0),
            Place::Way(way) => format!("way {}", self.ways[way].0),
            Place::Tenant => String::new(),
        }
    }

    /// Circles, each told once where it is first met, and ways that are too long.
    pub fn check(&self) -> Vec<(Place, String)> {
        let all = (0..self.tables.len()).map(Place::Table).chain((0..self.ways.len()).map(Place::Way));
        let mut seen = std::collections::BTreeMap::new();
        let mut wrong = Vec::new();
        for from in all {
            self.depth(from, &mut seen, &mut wrong);
        }
        let deepest = seen.iter().filter(|(_, depth)| **depth == Some(LONGEST_CHAIN + 1));
        for (place, _) in deepest {
            let what =
                format!("{} leads through more than {LONGEST_CHAIN} tables and ways", self.name(*place));
            wrong.push((*place, what));
        }
        wrong
    }

    /// How many tables and ways a number goes through from here. Goes through the net with a stack of its own: how
    /// deep a sheet is nested is up to whoever wrote it.
    fn depth(
        &self, from: Place, seen: &mut std::collections::BTreeMap<Place, Option<usize>>,
        wrong: &mut Vec<(Place, String)>,
    ) {
        // Each place on the path, what is still to be gone to from it, and the longest way found.
        let mut path: Vec<(Place, Vec<Place>, usize)> = Vec::new();
        if seen.contains_key(&from) {
            return;
        }
        seen.insert(from, None);
        path.push((from, self.next(from), 0));
        while let Some((place, left, _)) = path.last_mut() {
            let place = *place;
            let Some(next) = left.pop() else {
                let (_, _, longest) = path.pop().expect("it was looked at");
                seen.insert(place, Some(longest + 1));
                if let Some((_, _, above)) = path.last_mut() {
                    *above = (*above).max(longest + 1);
                }
                continue;
            };
            match seen.get(&next) {
                Some(Some(depth)) => {
                    let last = path.last_mut().expect("it was looked at");
                    last.2 = last.2.max(*depth);
                }
                Some(None) => {
                    let begin = path.iter().position(|(place, ..)| *place == next).unwrap_or_default();
                    let mut names: Vec<String> =
                        path[begin..].iter().map(|(place, ..)| self.name(*place)).collect();
                    names.push(self.name(next));
                    wrong.push((next, format!("a circle: {}", names.join(", "))));
                }
                None => {
                    seen.insert(next, None);
                    path.push((next, self.next(next), 0));
                }
            }
        }
    }

    /// Does all that this leads to put a number through?
    pub fn always_routes(&self, way: WayId) -> bool {
        let mut left = vec![Place::Way(way.0 as usize)];
        let mut seen = BTreeSet::new();
        while let Some(place) = left.pop() {
            if !seen.insert(place) {
                continue;
            }
            match place {
                Place::Way(way) if matches!(self.ways[way].1, Way::Refuse { .. }) => return false,
                // What else a table holds cannot be told for the one number without going through it.
                Place::Way(way) if matches!(self.ways[way].1, Way::Table(_) | Way::Rewrite { .. }) => {
                    return false;
                }
                // It is not looked up: an emergency number does not move.
                Place::Way(way) => match &self.ways[way].1 {
                    Way::Ported { otherwise, .. } => left.push(Place::Way(otherwise.0 as usize)),
                    _ => left.extend(self.next(place)),
                },
                _ => {}
            }
        }
        true
    }
}

pub fn draft(draft: &Draft) -> Vec<(Place, String)> {
    let tables = draft.tables.iter().map(|table| {
        let ways = table.entries.iter().map(|(_, way)| *way).chain(table.otherwise).collect();
        (table.name.as_str(), ways)
    });
    let net = Net { ways: draft.ways.iter().collect(), tables: tables.collect() };
    let mut wrong = net.check();
    for tenant in &draft.tenants {
        let table = &draft.tables[tenant.table];
        for number in &draft.plans[tenant.plan].emergency {
            let covering = table.entries.iter().filter(|(prefix, _)| number.starts_with(*prefix));
            let longest = covering.max_by_key(|(prefix, _)| prefix.len()).map(|(_, way)| *way);
            wrong.extend(emergency(&net, tenant.table, *number, longest.or(table.otherwise)));
        }
    }
    wrong
}

/// An emergency number that is not put through whenever and however it is dialled.
pub fn emergency(net: &Net, table: usize, number: Digits, way: Option<WayId>) -> Option<(Place, String)> {
    let through = way.is_some_and(|way| net.always_routes(way));
    let what = || {
        format!("emergency number {number} is not put through at all hours by table {}", net.tables[table].0)
    };
    (!through).then(|| (Place::Table(table), what()))
}
