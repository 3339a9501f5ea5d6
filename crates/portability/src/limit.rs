//! How many questions may be out at one server: one more for each round that went well, cut by a share when one is
//! not answered, once a round.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Limit {
    width: f64,
    most: f64,
    out: usize,
    /// Questions that were asked before this are of a round that has been cut for.
    cut_at: Duration,
}

/// Any server bears so many, and answers that get lost by chance must not shut the rest out.
const LEAST: f64 = 4.0;
/// What is left of the width after a cut.
const KEEP: f64 = 0.7;

impl Limit {
    pub fn new(first: usize, most: usize) -> Self {
        Self { width: first as f64, most: most as f64, out: 0, cut_at: Duration::ZERO }
    }

    pub fn width(&self) -> usize {
        self.width as usize
    }

    pub fn out(&self) -> usize {
        self.out
    }

    pub fn has_room(&self) -> bool {
        self.out < self.width()
    }

    pub fn sent(&mut self) {
        self.out += 1;
    }

    /// A question is out no more, and it is not known what it came to.
    pub fn dropped(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    pub fn answered(&mut self) {
        // What is not used says nothing about what it would bear.
        if self.out as f64 * 2.0 >= self.width {
            self.width = (self.width + 1.0 / self.width).min(self.most);
        }
        self.dropped();
    }

    pub fn timed_out(&mut self, now: Duration, sent_at: Duration) {
        self.dropped();
        if sent_at >= self.cut_at {
            self.width = (self.width * KEEP).max(LEAST);
            self.cut_at = now;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    #[test]
    fn grows_by_one_a_round_and_is_cut_once_a_round() {
        let mut limit = Limit::new(10, 100);
        for _ in 0..10 {
            limit.sent();
        }
        assert!(!limit.has_room());
        for _ in 0..10 {
            limit.answered();
            limit.sent();
        }
        assert_eq!(limit.width(), 10, "not quite one more, since each step is measured by the grown width");
        limit.answered();
        limit.sent();
        assert_eq!(limit.width(), 11);
        // Ten of one round are not answered: that is one cut, not ten.
        for _ in 0..10 {
            limit.timed_out(MS * 100, MS * 50);
        }
        assert_eq!(limit.width(), 7);
        limit.timed_out(MS * 200, MS * 150);
        assert_eq!(limit.width(), 5);
        for n in 0..100 {
            limit.sent();
            limit.timed_out(MS * (300 + n), MS * (300 + n));
        }
        assert_eq!((limit.width(), limit.out()), (4, 0));
        // Answers to a trickle do not widen what nobody needs.
        let mut idle = Limit::new(50, 100);
        for _ in 0..1000 {
            idle.sent();
            idle.answered();
        }
        assert_eq!(idle.width(), 50);
    }
}
