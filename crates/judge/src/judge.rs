//! Goes through a record once and keeps what the rules and the gain need.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, FleetCounts};
use crate::gain::{Gain, Ledger, Times};
use crate::record::{Brief, Line};
use crate::rules::{Break, RULES, Rule, Rules};

/// Breaks that a verdict names; the rest is counted.
const NAMED: usize = 100;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    pub day: String,
    pub seed: u64,
    /// How often each of the five rules was broken, that launches agree with one generation of tables, and the four that hold
    /// over a fleet.
    pub broken: [u64; RULES],
    pub breaks: Vec<Break>,
    /// Cold servers pushed over, whoever is to blame.
    pub fell: u64,
    pub dialogues: u64,
    pub stood: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    pub declined: u64,
    pub cut: u64,
    /// Taken by an edge proxy that was killed before it answered, or whose link went first.
    pub excused: u64,
    pub launches: u64,
    pub gain: Gain,
    pub times: Times,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetCounts>,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        self.broken.iter().all(|count| *count == 0)
    }
}

pub struct Judge {
    brief: Brief,
    rules: Rules,
    ledger: Ledger,
    fleet: Option<Fleet>,
    line: u64,
    last: Duration,
}

impl Judge {
    pub fn new(brief: Brief) -> Self {
        let (rules, ledger, fleet) = (Rules::new(&brief), Ledger::new(&brief), Fleet::new(&brief));
        Self { brief, rules, ledger, fleet, line: 1, last: Duration::ZERO }
    }

    /// Takes the next line of the record.
    pub fn line(&mut self, line: &Line) {
        self.line += 1;
        self.last = self.last.max(line.time());
        self.rules.line(self.line, line);
        self.ledger.line(line);
        if let Some(fleet) = &mut self.fleet {
            fleet.line(self.line, line);
        }
    }

    pub fn finish(self) -> Verdict {
        let (mut breaks, counts) = self.rules.finish(self.last);
        let fleet = self.fleet.map(|fleet| {
            let (found, counts) = fleet.finish(self.last);
            breaks.extend(found);
            counts
        });
        let mut broken = [0; RULES];
        for found in &breaks {
            broken[Rule::ALL.iter().position(|rule| *rule == found.rule).unwrap_or_default()] += 1;
        }
        let (gain, times) = self.ledger.finish();
        Verdict {
            day: self.brief.day,
            seed: self.brief.seed,
            broken,
            breaks: breaks.into_iter().take(NAMED).collect(),
            fell: counts.fell,
            dialogues: counts.dialogues,
            stood: counts.stood,
            refused: counts.refused,
            failed: counts.failed,
            left: counts.left,
            declined: counts.declined,
            cut: counts.cut,
            excused: counts.excused,
            launches: counts.launches,
            gain,
            times,
            fleet,
        }
    }
}
