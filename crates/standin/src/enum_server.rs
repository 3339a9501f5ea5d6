//! A look-up server of ENUM: knows by rule which numbers have moved, and is slow, silent or lying when told so.

use std::collections::BTreeMap;
use std::time::Duration;

use lotussaddle_numbers::Digits;
use lotussaddle_portability::{MAX_DATAGRAM, Question, answer, question_of};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Debug, PartialEq)]
pub struct EnumFigures {
    pub suffix: String,
    /// One way of thinking: a reply takes so long, half as long again at most.
    pub takes: Duration,
    /// Part of the numbers that have moved, and to where: these digits and the number's last four.
    pub moved: f64,
    pub to: Vec<Digits>,
    /// Seconds for which a reply holds.
    pub ttl: u32,
}

/// What is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ill {
    /// Nothing is answered, nor what came meanwhile.
    Hang,
    /// This share of the replies never comes.
    Lost,
    Slow,
    /// Replies with flipped bits, to other questions, cut, too long, senseless, or that lead in a circle.
    Lie,
    /// Under another id, each followed by the right one later.
    WrongId,
    /// No record at all, or a server that cannot say.
    Empty,
}

impl Ill {
    pub const ALL: [(&'static str, Self); 6] = [
        ("hang", Self::Hang),
        ("lost", Self::Lost),
        ("slow", Self::Slow),
        ("lie", Self::Lie),
        ("wrong-id", Self::WrongId),
        ("empty", Self::Empty),
    ];
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Illness {
    pub ill: Ill,
    /// Part of the replies that it strikes.
    pub share: f64,
    /// How much slower.
    pub by: Duration,
}

pub struct EnumServer {
    pub figures: EnumFigures,
    pub illness: Vec<Illness>,
    rng: Pcg64Mcg,
    count: u64,
    replies: BTreeMap<(Duration, u64), (u64, Vec<u8>)>,
}

impl EnumServer {
    pub fn new(figures: EnumFigures, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { figures, illness: Vec::new(), rng, count: 0, replies: BTreeMap::new() }
    }

    /// A datagram from somebody, named by whoever drives this.
    pub fn heard(&mut self, now: Duration, from: u64, datagram: &[u8]) {
        let Some((question, number)) = question_of(datagram, &self.figures.suffix) else { return };
        let mut takes = self.figures.takes.mul_f64(1.0 + 0.5 * self.rng.random::<f64>());
        let good = self.reply(&question, number);
        let mut said = vec![good.clone()];
        for Illness { ill, share, by } in self.illness.clone() {
            if self.rng.random::<f64>() >= share {
                continue;
            }
            match ill {
                Ill::Hang | Ill::Lost => said.clear(),
                Ill::Slow => takes += by,
                Ill::Lie => said = vec![self.lie(&question, number, &good)],
                Ill::WrongId => {
                    let mut wrong = good.clone();
                    wrong[1] ^= 1;
                    self.later(now + takes, from, wrong);
                    takes += by;
                }
                Ill::Empty if self.rng.random() => {
                    said = vec![answer(&question, Some(&[]), self.figures.ttl)]
                }
                Ill::Empty => {
                    let mut failed = answer(&question, Some(&[]), 0);
                    failed[3] = failed[3] & 0xf0 | 2;
                    said = vec![failed];
                }
            }
        }
        for reply in said {
            self.later(now + takes, from, reply);
        }
    }

    fn later(&mut self, at: Duration, to: u64, reply: Vec<u8>) {
        self.count += 1;
        self.replies.insert((at, self.count), (to, reply));
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.replies.first_key_value().map(|((at, _), _)| *at)
    }

    /// Replies whose time has come, and to whom.
    pub fn alarm(&mut self, now: Duration) -> Vec<(u64, Vec<u8>)> {
        let mut all = Vec::new();
        while let Some(entry) = self.replies.first_entry().filter(|entry| entry.key().0 <= now) {
            all.push(entry.remove());
        }
        // What would be said while it hangs is lost.
        if self.illness.iter().any(|illness| illness.ill == Ill::Hang && illness.share >= 1.0) {
            all.clear();
        }
        all
    }

    fn moved(&self, number: Digits) -> Option<Digits> {
        // A mixed hash of the digits: the same for each server and each day.
        let mut mixed = number.raw().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^= mixed >> 32;
        mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
        mixed ^= mixed >> 32;
        let part = mixed as u32 as f64 / f64::from(u32::MAX);
        if part >= self.figures.moved || self.figures.to.is_empty() {
            return None;
        }
        let to = self.figures.to[(mixed >> 40) as usize % self.figures.to.len()];
        let signs: Vec<char> = number.signs().collect();
        to.join(signs[signs.len().saturating_sub(4)..].iter().copied()).or(Some(to))
    }

    fn reply(&self, question: &Question, number: Digits) -> Vec<u8> {
        match self.moved(number) {
            Some(to) => {
                let rule = format!("!^.*$!tel:{number};npdi;rn={to}!");
                answer(question, Some(&[(10, 10, "u", "E2U+pstn:tel", &rule, ".")]), self.figures.ttl)
            }
            None => answer(question, None, self.figures.ttl),
        }
    }

    fn lie(&mut self, question: &Question, number: Digits, good: &[u8]) -> Vec<u8> {
        let mut lie = good.to_vec();
        match self.rng.random_range(0..6) {
            0 => {
                let at = self.rng.random_range(0..lie.len());
                lie[at] ^= 1 << self.rng.random_range(0..8);
            }
            1 => {
                let other = number.join("1".chars()).unwrap_or_default();
                let other = Question::of(question.id, other, &self.figures.suffix);
                lie = answer(&other, Some(&[(1, 1, "u", "E2U+pstn:tel", "!^.*$!tel:+1;rn=+1666!", ".")]), 60);
            }
            2 => lie.truncate(lie.len() / 2),
            3 => lie.resize(MAX_DATAGRAM + 100, 0),
            4 => {
                lie = answer(question, Some(&[(1, 1, "u", "E2U+pstn:tel", "!^.*$!tel:+1;rn=none!", ".")]), 60)
            }
            // To the number itself: a circle.
            _ => lie = answer(question, Some(&[(1, 1, "", "", "", &question.name)]), 60),
        }
        lie
    }
}
