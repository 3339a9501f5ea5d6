//! The simulated network and its faults.

use std::collections::HashSet;
use std::time::Duration;

use super::random::TestRandom;

const MIN_DELAY_MS: u64 = 1;
const MAX_DELAY_MS: u64 = 30;

/// The faults of the network; none at first.
#[derive(Default)]
pub struct Network {
    pub loss_percent: u64,
    pub doubled_percent: u64,
    pub late_percent: u64,
    /// The maximum extra delay of a late message.
    pub latest: Duration,
    /// Messages from the first to the second are lost.
    pub one_way_cuts: HashSet<(usize, usize)>,
    /// Messages between a member of this set and one that is not are lost.
    pub cut_off: HashSet<usize>,
}

impl Network {
    /// The delay of each delivered copy of a message; empty if the message is lost.
    pub fn delays(&self, random: &mut TestRandom, from: usize, to: usize) -> Vec<Duration> {
        let is_cut = self.cut_off.contains(&from) != self.cut_off.contains(&to);
        if is_cut || self.one_way_cuts.contains(&(from, to)) || random.percent(self.loss_percent) {
            return Vec::new();
        }
        let copies = if random.percent(self.doubled_percent) { 2 } else { 1 };
        (0..copies).map(|_| self.delay(random)).collect()
    }

    fn delay(&self, random: &mut TestRandom) -> Duration {
        let span = MAX_DELAY_MS - MIN_DELAY_MS + 1;
        let usual = Duration::from_millis(MIN_DELAY_MS + random.below(span));
        if random.percent(self.late_percent) {
            return usual + Duration::from_millis(random.below(self.latest.as_millis() as u64));
        }
        usual
    }
}
