//! A generation in service: what a draft, or a change of one, comes to. It never changes; the next one shares what
//! stayed.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use jiff::Timestamp;

use crate::check::{self, Net, Place};
use crate::draft::{Change, Draft, Loaded, Way, WayId};
use crate::{DialPlan, Digits, Prefixes, Schedule};

#[derive(Clone)]
struct Table {
    name: String,
    prefixes: Prefixes,
    otherwise: Option<WayId>,
    /// How many prefixes lead to each way, so that a small change can be checked without going through them all.
    uses: BTreeMap<WayId, usize>,
}

pub struct Tables {
    pub name: String,
    /// Not in force before.
    pub from: Option<Timestamp>,
    pub plans: Arc<Vec<DialPlan>>,
    pub schedules: Arc<Vec<Schedule>>,
    ways: Arc<Vec<(String, Way)>>,
    tables: Vec<Arc<Table>>,
    tenants: Arc<HashMap<Option<u16>, (usize, usize)>>,
}

impl Tables {
    pub fn new(draft: Draft) -> Self {
        let tables = draft.tables.into_iter().map(|table| {
            let mut uses = BTreeMap::new();
            table.entries.iter().for_each(|(_, way)| *uses.entry(*way).or_default() += 1);
            let prefixes = Prefixes::new(table.entries.into_iter().map(|(prefix, way)| (prefix, way.0)));
            Arc::new(Table { name: table.name, prefixes, otherwise: table.otherwise, uses })
        });
        let tenants = draft.tenants.iter().map(|tenant| (tenant.tenant, (tenant.plan, tenant.table)));
        Self {
            name: draft.name,
            from: draft.from,
            plans: Arc::new(draft.plans),
            schedules: Arc::new(draft.schedules),
            ways: Arc::new(draft.ways),
            tables: tables.collect(),
            tenants: Arc::new(tenants.collect()),
        }
    }

    /// A generation that was read, and a change on what it changes.
    pub fn of(loaded: Loaded, base: &dyn Fn(&str) -> Option<Arc<Self>>) -> Option<Self> {
        match loaded {
            Loaded::Whole(draft) => Some(Self::new(draft)),
            Loaded::Change(change) => Some(base(&change.of)?.with(change)),
        }
    }

    /// The next generation; all but what the change falls into is shared with this one.
    pub fn with(&self, change: Change) -> Self {
        let ways = if change.ways.is_empty() {
            self.ways.clone()
        } else {
            Arc::new(self.ways.iter().cloned().chain(change.ways).collect())
        };
        let mut tables = self.tables.clone();
        let mut by_table: BTreeMap<usize, Vec<(Digits, Option<WayId>)>> = BTreeMap::new();
        for (table, prefix, way) in change.puts {
            by_table.entry(table).or_default().push((prefix, way));
        }
        for (table, puts) in by_table {
            let table = Arc::make_mut(&mut tables[table]);
            let mut now: HashMap<Digits, Option<u32>> = HashMap::new();
            for (prefix, way) in &puts {
                let before = now.get(prefix).copied().unwrap_or_else(|| table.prefixes.exact(*prefix));
                if let Some(before) = before.map(WayId)
                    && let Some(uses) = table.uses.get_mut(&before)
                {
                    *uses -= 1;
                    if *uses == 0 {
                        table.uses.remove(&before);
                    }
                }
                if let Some(way) = way {
                    *table.uses.entry(*way).or_default() += 1;
                }
                now.insert(*prefix, way.map(|way| way.0));
            }
            table.prefixes = table.prefixes.with(now);
        }
        Self {
            name: change.name,
            from: change.from,
            plans: self.plans.clone(),
            schedules: self.schedules.clone(),
            ways,
            tables,
            tenants: self.tenants.clone(),
        }
    }

    /// Whom a tenant's dialled numbers are read and looked up by.
    pub fn tenant(&self, tenant: Option<u16>) -> Option<(&DialPlan, usize)> {
        let (plan, table) = self.tenants.get(&tenant).or_else(|| self.tenants.get(&None))?;
        Some((&self.plans[*plan], *table))
    }

    pub fn way(&self, way: WayId) -> &(String, Way) {
        &self.ways[way.0 as usize]
    }

    /// The longest prefix of a table, or what it has for all else.
    pub fn find(&self, table: usize, number: Digits) -> Option<(Option<Digits>, WayId)> {
        let table = &self.tables[table];
        let longest = table.prefixes.longest(number).map(|(prefix, way)| (Some(prefix), WayId(way)));
        longest.or(table.otherwise.map(|way| (None, way)))
    }

    pub fn exact(&self, table: usize, prefix: Digits) -> Option<WayId> {
        self.tables.get(table)?.prefixes.exact(prefix).map(WayId)
    }

    pub fn table_name(&self, table: usize) -> &str {
        &self.tables[table].name
    }

    pub fn ways(&self) -> usize {
        self.ways.len()
    }

    pub fn way_names(&self) -> Vec<(String, usize)> {
        self.ways.iter().enumerate().map(|(place, (name, _))| (name.clone(), place)).collect()
    }

    pub fn table_names(&self) -> Vec<(String, usize)> {
        self.tables.iter().enumerate().map(|(place, table)| (table.name.clone(), place)).collect()
    }

    pub fn schedule_names(&self) -> Vec<(String, usize)> {
        self.schedules.iter().enumerate().map(|(place, s)| (s.name.clone(), place)).collect()
    }

    /// All that leads somewhere, for those who go through a generation by hand.
    pub fn prefixes(&self) -> impl Iterator<Item = (&str, &Prefixes)> {
        self.tables.iter().map(|table| (table.name.as_str(), &table.prefixes))
    }

    pub fn len(&self) -> usize {
        self.tables.iter().map(|table| table.prefixes.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What would be wrong with this generation after a change.
    pub fn check_change(&self, change: &Change) -> Vec<(Place, String)> {
        let inside = |way: &WayId| (way.0 as usize) < self.ways.len() + change.ways.len();
        if !change
            .puts
            .iter()
            .all(|(table, _, way)| *table < self.tables.len() && way.as_ref().is_none_or(inside))
        {
            return Vec::new(); // What is not known has been told.
        }
        let mut added: BTreeMap<usize, Vec<WayId>> = BTreeMap::new();
        for (table, _, way) in &change.puts {
            added.entry(*table).or_default().extend(way);
        }
        let tables = self.tables.iter().enumerate().map(|(place, table)| {
            let ways = table.uses.keys().copied().chain(table.otherwise);
            let more = added.get(&place).into_iter().flatten().copied();
            (table.name.as_str(), ways.chain(more).collect())
        });
        let ways = self.ways.iter().chain(&change.ways);
        let net = Net { ways: ways.collect(), tables: tables.collect() };
        let mut wrong = net.check();
        if !wrong.is_empty() {
            return wrong;
        }
        for (plan, table) in self.tenants.values() {
            let puts: Vec<_> = change.puts.iter().filter(|(changed, ..)| changed == table).collect();
            for number in &self.plans[*plan].emergency {
                // Only what is on the way of the number matters: its own prefixes.
                let way = (1..=number.len()).rev().find_map(|len| {
                    let prefix = number.first(len);
                    let put = puts.iter().rev().find(|(_, put, _)| *put == prefix).map(|(_, _, way)| *way);
                    put.unwrap_or_else(|| self.exact(*table, prefix))
                });
                wrong.extend(check::emergency(&net, *table, *number, way.or(self.tables[*table].otherwise)));
            }
        }
        wrong
    }
}
