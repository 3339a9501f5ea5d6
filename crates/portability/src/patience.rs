//! What a look-up may cost a dialogue. A dialogue that waits for one has not been launched: whatever it waits is
//! taken from its set-up.

use std::time::Duration;

use lotussaddle_numbers::Late;

/// Part of what is left of the promised time that a look-up may take; the rest is the set-up's.
const SHARE: f64 = 0.4;
/// Past the promised time, part of what is left until the cut-off.
const LATE_SHARE: f64 = 0.25;
/// Before the cut-off a refusal must be given by then.
const KEEP: Duration = Duration::from_millis(40);
/// Less than this is not waited at all.
const LEAST: Duration = Duration::from_millis(2);

/// Times since the start.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    pub dialled: Duration,
    pub promised: Duration,
    pub cut_off: Duration,
    /// By the way that asks.
    pub within: Duration,
    pub late: Late,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    Until(Duration),
    /// What is known already is used; else it goes on or is refused at once.
    Not,
}

impl Patience {
    /// How long a dialogue that has to be looked up waits. One that goes on without an answer keeps most of its
    /// promised time for its set-up; one that is refused without an answer may wait until its promised time, since
    /// nothing but the answer puts it through.
    pub fn wait(&self, now: Duration) -> Wait {
        let promised = self.dialled + self.promised;
        let last = self.cut_off.saturating_sub(KEEP);
        let until = if now < promised {
            let left = promised - now;
            now + match self.late {
                Late::GoOn => left.mul_f64(SHARE),
                Late::Refuse => left.mul_f64(1.0 - SHARE),
            }
        } else {
            now + self.cut_off.saturating_sub(now).mul_f64(LATE_SHARE)
        };
        let until = until.min(now + self.within).min(last);
        if until >= now + LEAST { Wait::Until(until) } else { Wait::Not }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn patience(late: Late) -> Patience {
        Patience { dialled: MS * 1000, promised: MS * 800, cut_off: MS * 9000, within: MS * 500, late }
    }

    #[test]
    fn a_look_up_leaves_time_for_the_set_up() {
        for (late, now, wanted) in [
            (Late::GoOn, 1000, Wait::Until(MS * 1320)),   // 40 % of 800
            (Late::GoOn, 1500, Wait::Until(MS * 1620)),   // 40 % of 300
            (Late::Refuse, 1000, Wait::Until(MS * 1480)), // 60 % of 800
            (Late::GoOn, 1799, Wait::Not),                // 40 % of 1 ms
            (Late::GoOn, 2000, Wait::Until(MS * 2500)),   // late: the way's own bound
            (Late::GoOn, 8940, Wait::Until(MS * 8955)),   // a quarter of 60
            (Late::Refuse, 8959, Wait::Not),              // no time to say no
        ] {
            assert_eq!(patience(late).wait(MS * now), wanted, "{late:?} at {now}");
        }
        let short = Patience { within: MS * 100, ..patience(Late::GoOn) };
        assert_eq!(short.wait(MS * 1000), Wait::Until(MS * 1100));
        let hurried = Patience { cut_off: MS * 1100, ..patience(Late::Refuse) };
        assert_eq!(hurried.wait(MS * 1000), Wait::Until(MS * 1060));
    }

    #[test]
    fn never_waits_past_the_last_moment_for_an_answer() {
        for cut_off in 1000..1200 {
            for now in 1000..1200 {
                let patience = Patience { cut_off: MS * cut_off, ..patience(Late::Refuse) };
                if let Wait::Until(until) = patience.wait(MS * now) {
                    assert!(until + KEEP <= MS * cut_off);
                }
            }
        }
    }
}
