//! What happens in a run besides the members' own doing, drawn from a plan by the seed: changes, departures and returns.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::plan::{Departure, Place, ScalePlan, Scope};

/// Something that happens to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A configuration change of this number is ordered at one member.
    Change { number: usize, at_member: usize },
    /// Machines are gone, without a word.
    Leave(Vec<usize>),
    /// They are back, as new processes.
    Return(Vec<usize>),
    /// A process stands still, and goes on after a time.
    Stall { member: usize, lasts: Duration },
}

/// A process that stands still for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    pub member: usize,
    /// From the end of the warm-up.
    pub at: Duration,
    pub lasts: Duration,
}

/// All events of a run, in order of time.
pub struct Timeline {
    pub events: Vec<(Duration, Event)>,
}

impl Timeline {
    /// Draws the events of a run.
    pub fn draw(plan: &ScalePlan, stalls: &[Stall], places: &[Place], seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x7469_6d65);
        let mut events = Vec::new();
        let changes = change_times(plan);
        for (number, at) in changes.iter().enumerate() {
            let at_member = random.random_range(0..places.len());
            events.push((*at, Event::Change { number, at_member }));
        }
        for at in evenly(plan.turnover.pace.interval(), plan.duration) {
            let member = random.random_range(0..places.len());
            events.push((at, Event::Leave(vec![member])));
            events.push((at + plan.turnover.back_after, Event::Return(vec![member])));
        }
        for departure in &plan.departures {
            let members = leaving(departure, places, &mut random);
            events.push((departure.at, Event::Leave(members.clone())));
            if let Some(after) = departure.back_after {
                events.push((departure.at + after, Event::Return(members)));
            }
        }
        for Stall { member, at, lasts } in stalls {
            events.push((*at, Event::Stall { member: member % places.len(), lasts: *lasts }));
        }
        events.iter_mut().for_each(|(at, _)| *at += plan.warm_up);
        events.sort_by_key(|(at, _)| *at);
        Self { events }
    }
}

/// When changes are ordered, from the end of the warm-up.
fn change_times(plan: &ScalePlan) -> Vec<Duration> {
    let mut times = evenly(plan.changes.pace.interval(), plan.duration);
    for burst in &plan.changes.bursts {
        let gap = burst.within / burst.count.max(1) as u32;
        times.extend((0..burst.count as u32).map(|number| burst.at + gap * number));
    }
    times.sort_unstable();
    times
}

/// Times in the middle of equal intervals.
fn evenly(interval: Option<Duration>, duration: Duration) -> Vec<Duration> {
    let Some(interval) = interval else { return Vec::new() };
    let first = interval / 2;
    (0..u32::MAX).map(|number| first + interval * number).take_while(|at| *at < duration).collect()
}

fn leaving(departure: &Departure, places: &[Place], random: &mut Pcg64Mcg) -> Vec<usize> {
    let drawn = places[random.random_range(0..places.len())];
    let leaves = |place: &Place| match departure.scope {
        Scope::Members(_) => true,
        Scope::Rack => (place.zone, place.rack) == (drawn.zone, drawn.rack),
        Scope::Zone => place.zone == drawn.zone,
    };
    let mut members: Vec<usize> = (0..places.len()).filter(|member| leaves(&places[*member])).collect();
    if let Scope::Members(count) = departure.scope {
        members.shuffle(random);
        members.truncate(count);
    }
    members
}
