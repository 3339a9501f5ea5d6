//! What came of changes and departures: when each change was in force in each member, when each death was known to each, and who
//! was held dead while it lived.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// The longest time that a histogram tells apart, in microseconds.
const LONGEST: u64 = 24 * 3600 * 1_000_000;
const SIGNIFICANT_FIGURES: u8 = 3;

/// A histogram of times in microseconds.
pub fn histogram_of_times() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, SIGNIFICANT_FIGURES).expect("the bounds of a histogram")
}

/// The name under which a change is published.
pub fn change_name(number: usize) -> String {
    format!("change-{number}")
}

/// The number of a change by its name.
pub fn change_number(name: &str) -> Option<usize> {
    name.strip_prefix("change-")?.parse().ok()
}

struct Death {
    member: usize,
    at: Duration,
    returned: Option<Duration>,
    known: BTreeMap<usize, Duration>,
}

/// Collects the outcomes of one run.
pub struct Outcomes {
    /// By number: when it was ordered, and when it was in force in each member.
    changes: BTreeMap<usize, (Duration, BTreeMap<usize, Duration>)>,
    deaths: Vec<Death>,
    up_since: Vec<Option<Duration>>,
    false_suspicions: u64,
}

/// Outcomes as figures. What had not come about at the end counts with the time that it had taken by then.
pub struct OutcomeFigures {
    pub change_in_force: Histogram<u64>,
    pub death_known: Histogram<u64>,
    pub false_suspicions: u64,
    /// Changes not in force, and deaths not known, in a member that should have them.
    pub changes_missing: u64,
    pub deaths_missing: u64,
}

impl Outcomes {
    /// All members are up from the start.
    pub fn new(size: usize) -> Self {
        let up_since = vec![Some(Duration::ZERO); size];
        Self { changes: BTreeMap::new(), deaths: Vec::new(), up_since, false_suspicions: 0 }
    }

    /// A change is wanted in force everywhere; its time counts from the first order.
    pub fn ordered(&mut self, number: usize, now: Duration) {
        self.changes.entry(number).or_insert_with(|| (now, BTreeMap::new()));
    }

    /// A change is in force in a member.
    pub fn in_force(&mut self, number: usize, member: usize, now: Duration) {
        if let Some((_, members)) = self.changes.get_mut(&number) {
            members.entry(member).or_insert(now);
        }
    }

    /// Whether a change has been in force in a member.
    pub fn is_in_force(&self, number: usize, member: usize) -> bool {
        self.changes.get(&number).is_some_and(|(_, members)| members.contains_key(&member))
    }

    /// A machine is gone.
    pub fn left(&mut self, member: usize, now: Duration) {
        if self.up_since[member].take().is_some() {
            self.deaths.push(Death { member, at: now, returned: None, known: BTreeMap::new() });
        }
    }

    /// It is back.
    pub fn returned(&mut self, member: usize, now: Duration) {
        self.up_since[member] = Some(now);
        for death in self.deaths.iter_mut().filter(|death| death.member == member) {
            death.returned.get_or_insert(now);
        }
    }

    /// Since when a member has been up.
    pub fn up_since(&self, member: usize) -> Option<Duration> {
        self.up_since[member]
    }

    /// A member holds another one dead. `was_reachable` for long enough to have been heard.
    pub fn held_dead(&mut self, observer: usize, member: usize, now: Duration, was_reachable: bool) {
        if self.up_since[member].is_some() {
            self.false_suspicions += u64::from(was_reachable);
            return;
        }
        if let Some(death) = self.deaths.iter_mut().rev().find(|death| death.member == member) {
            death.known.entry(observer).or_insert(now);
        }
    }

    /// Whether every change is in force, and every death known, in all members that should have it.
    pub fn is_settled(&self) -> bool {
        let changes = self
            .changes
            .values()
            .all(|(ordered, members)| self.up_from(*ordered).all(|member| members.contains_key(&member)));
        changes
            && self
                .deaths
                .iter()
                .filter(|death| death.returned.is_none())
                .all(|death| self.up_from(death.at).all(|observer| death.known.contains_key(&observer)))
    }

    /// Members that have been up since.
    fn up_from(&self, at: Duration) -> impl Iterator<Item = usize> {
        let up = self.up_since.iter().enumerate();
        up.filter(move |(_, since)| since.is_some_and(|since| since <= at)).map(|(member, _)| member)
    }

    /// All outcomes at the end of a run.
    pub fn finish(&self, now: Duration) -> OutcomeFigures {
        let mut figures = OutcomeFigures {
            change_in_force: histogram_of_times(),
            death_known: histogram_of_times(),
            false_suspicions: self.false_suspicions,
            changes_missing: 0,
            deaths_missing: 0,
        };
        for (ordered, members) in self.changes.values() {
            for member in self.up_from(*ordered) {
                let at = members.get(&member);
                figures.changes_missing += u64::from(at.is_none());
                record(&mut figures.change_in_force, at.copied().unwrap_or(now).saturating_sub(*ordered));
            }
        }
        for death in &self.deaths {
            for observer in self.up_from(death.at) {
                match (death.known.get(&observer), death.returned) {
                    (Some(at), _) => record(&mut figures.death_known, *at - death.at),
                    // It was back before it was missed.
                    (None, Some(_)) => {}
                    (None, None) => {
                        figures.deaths_missing += 1;
                        record(&mut figures.death_known, now.saturating_sub(death.at));
                    }
                }
            }
        }
        figures
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}

#[cfg(test)]
#[path = "../tests/unit/outcomes.rs"]
mod tests;
