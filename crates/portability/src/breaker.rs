//! A server that does not answer is left alone, and tried again now and then, at moments drawn by chance: edge
//! proxies that lost it together do not come back to it together.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Unanswered questions in a row after which a server is left alone.
const STRIKES: u32 = 8;
const FIRST_WAIT: Duration = Duration::from_millis(500);
const LONGEST_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug, PartialEq)]
enum Mode {
    Closed {
        strikes: u32,
    },
    /// Left alone until then; the wait grows each time.
    Open {
        until: Duration,
        wait: Duration,
    },
    /// One question is out to see.
    Trial {
        wait: Duration,
    },
}

#[derive(Clone, Debug)]
pub struct Breaker(Mode);

impl Default for Breaker {
    fn default() -> Self {
        Self(Mode::Closed { strikes: 0 })
    }
}

impl Breaker {
    /// May this server be asked now? True begins a trial where one is due, so it must be asked then.
    pub fn lets(&mut self, now: Duration) -> bool {
        match self.0 {
            Mode::Closed { .. } => true,
            Mode::Open { until, wait } if now >= until => {
                self.0 = Mode::Trial { wait };
                true
            }
            _ => false,
        }
    }

    pub fn is_closed(&self) -> bool {
        matches!(self.0, Mode::Closed { .. })
    }

    /// When the next trial may be made, where the server is left alone.
    pub fn opens_at(&self) -> Option<Duration> {
        match self.0 {
            Mode::Open { until, .. } => Some(until),
            _ => None,
        }
    }

    /// A question is waited for no longer, and nothing is known of the server by that: were it the trial, another is
    /// due at once, or the server would be left alone for good.
    pub fn dropped(&mut self, now: Duration) {
        if let Mode::Trial { wait } = self.0 {
            self.0 = Mode::Open { until: now, wait };
        }
    }

    /// True: it was left alone until now.
    pub fn answered(&mut self) -> bool {
        let was_closed = self.is_closed();
        self.0 = Mode::Closed { strikes: 0 };
        !was_closed
    }

    /// True: it is left alone from now on.
    pub fn timed_out(&mut self, now: Duration, chance: &mut impl Rng) -> bool {
        let mut open = |wait: Duration| {
            // Between half of it and one and a half.
            let until = now + wait.mul_f64(0.5 + chance.random::<f64>());
            Mode::Open { until, wait: (wait * 2).min(LONGEST_WAIT) }
        };
        match self.0 {
            Mode::Closed { strikes } if strikes + 1 < STRIKES => {
                self.0 = Mode::Closed { strikes: strikes + 1 };
                false
            }
            Mode::Closed { .. } => {
                self.0 = open(FIRST_WAIT);
                true
            }
            Mode::Trial { wait } => {
                self.0 = open(wait);
                false
            }
            // One that was out before.
            Mode::Open { .. } => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;
    use rand_pcg::Pcg64Mcg;

    use super::*;

    const S: Duration = Duration::from_secs(1);

    #[test]
    fn leaves_alone_and_tries_by_chance_ever_more_seldom() {
        let mut trials: Vec<Vec<Duration>> = Vec::new();
        for seed in 0..50 {
            let mut chance = Pcg64Mcg::seed_from_u64(seed);
            let mut breaker = Breaker::default();
            for strike in 0..STRIKES {
                assert!(breaker.lets(S));
                assert_eq!(breaker.timed_out(S, &mut chance), strike + 1 == STRIKES);
            }
            assert!(!breaker.lets(S));
            let mut times = Vec::new();
            for _ in 0..8 {
                let due = breaker.opens_at().unwrap();
                assert!(!breaker.lets(due - Duration::from_micros(1)));
                assert!(breaker.lets(due) && !breaker.lets(due), "one trial at a time");
                breaker.timed_out(due, &mut chance);
                times.push(due);
            }
            trials.push(times);
        }
        for pair in trials[0].windows(2).skip(5) {
            assert!(pair[1] - pair[0] >= S * 8, "the later ones are far apart: {:?}", trials[0]);
        }
        // Fifty that lost it together do not come back together.
        let mut first: Vec<Duration> = trials.iter().map(|times| times[0]).collect();
        first.sort();
        assert!(first[49] - first[0] > Duration::from_millis(400));
        first.dedup();
        assert!(first.len() > 45);
    }

    #[test]
    fn a_trial_that_comes_to_nothing_makes_way_for_another() {
        let mut chance = Pcg64Mcg::seed_from_u64(1);
        let mut breaker = Breaker::default();
        for _ in 0..STRIKES {
            breaker.timed_out(S, &mut chance);
        }
        let due = breaker.opens_at().unwrap();
        assert!(breaker.lets(due));
        breaker.dropped(due);
        assert!(breaker.lets(due) && !breaker.lets(due));
    }

    #[test]
    fn an_answer_closes_it() {
        let mut chance = Pcg64Mcg::seed_from_u64(1);
        let mut breaker = Breaker::default();
        for _ in 0..STRIKES {
            breaker.timed_out(S, &mut chance);
        }
        let due = breaker.opens_at().unwrap();
        assert!(breaker.lets(due) && breaker.answered() && breaker.is_closed());
        for _ in 1..STRIKES {
            breaker.timed_out(due, &mut chance);
        }
        assert!(
            !breaker.answered() && breaker.is_closed(),
            "strikes in a row count, not those before an answer"
        );
        breaker.timed_out(due, &mut chance);
        assert!(breaker.is_closed());
    }
}
