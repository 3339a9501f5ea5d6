//! Gain earned over gain offered, and how long answers took.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use lotussaddle::interface::DialogueId;
use lotussaddle_trunk::{DialogueEnd, Frame};
use serde::{Deserialize, Serialize};

use crate::record::{Brief, Line, Way, What};

/// The worst stretch is this long.
const STRETCH_S: u64 = 10;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gain {
    pub offered: f64,
    pub earned: f64,
    /// Earned over offered.
    pub whole: f64,
    /// The same in the worst ten seconds, by the time of the first dial.
    pub worst_10s: f64,
    pub by_product: BTreeMap<String, f64>,
    pub worst_product: f64,
    /// Within their quotas.
    pub by_tenant: BTreeMap<String, f64>,
    pub worst_tenant: f64,
    /// Dialogues that stood within the promised time, of all that stood.
    pub on_time_share: f64,
}

/// Percentiles of the time from a dial to its answer, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    pub stands: BTreeMap<String, f64>,
    pub let_go: BTreeMap<String, f64>,
    /// The 99th percentile of what stood, by product.
    pub p99_by_product: BTreeMap<String, f64>,
}

struct Wish {
    product: usize,
    tenant: Option<usize>,
    at: Duration,
    gain: f64,
    within_quota: bool,
    earned: f64,
    /// What it had earned when it was cut: earned again where it is recognised elsewhere.
    lost: f64,
}

struct Try {
    wish: usize,
    link: u64,
    dialled: Duration,
    /// From when its promised time counts.
    counts_from: Duration,
    product: usize,
    /// The dialogue was dialled before under its id.
    repeat: bool,
}

pub struct Ledger {
    brief: Brief,
    wishes: Vec<Wish>,
    first: HashMap<DialogueId, usize>,
    tries: HashMap<(usize, DialogueId), Try>,
    /// First dials of each tenant in this second.
    asked: HashMap<usize, (u64, f64)>,
    stood: u64,
    on_time: u64,
    stands: Histogram<u64>,
    let_go: Histogram<u64>,
    by_product: Vec<Histogram<u64>>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("these bounds are allowed")
}

fn ratio(earned: f64, offered: f64) -> f64 {
    if offered > 0.0 { earned / offered } else { 1.0 }
}

impl Ledger {
    pub fn new(brief: &Brief) -> Self {
        Self {
            wishes: Vec::new(),
            first: HashMap::new(),
            tries: HashMap::new(),
            asked: HashMap::new(),
            stood: 0,
            on_time: 0,
            stands: histogram(),
            let_go: histogram(),
            by_product: brief.products.iter().map(|_| histogram()).collect(),
            brief: brief.clone(),
        }
    }

    pub fn line(&mut self, line: &Line) {
        let now = line.time();
        let (edge, way, frame, link) = match &line.what {
            What::Passed { edge, way, message, link } => (*edge, *way, &message.frame, *link),
            What::Killed { edge } => return self.cut(|of, _| of == *edge),
            What::Gone { edge, link } => return self.cut(|of, over| (of, over) == (*edge, *link)),
            _ => return,
        };
        match (way, frame) {
            (Way::In, Frame::Dial(dial)) => {
                let product = usize::from(dial.product);
                if product >= self.brief.products.len()
                    || self.tries.contains_key(&(edge, dial.dialogue.clone()))
                {
                    return;
                }
                let root = dial.try_of.clone().unwrap_or_else(|| dial.dialogue.clone());
                let known = self.first.get(&root).copied();
                let wish = known.unwrap_or_else(|| {
                    self.first.insert(root, self.wishes.len());
                    self.wish(now, product, dial.tenant.map(usize::from))
                });
                let counts_from = if dial.redialled_after_cut { now } else { self.wishes[wish].at };
                let new = Try { wish, link, dialled: now, counts_from, product, repeat: dial.is_repeat };
                self.tries.insert((edge, dial.dialogue.clone()), new);
            }
            (Way::Out, Frame::Stands { dialogue, .. }) => {
                let Some(known) = self.tries.get(&(edge, dialogue.clone())) else { return };
                let product = &self.brief.products[known.product];
                let on_time = (now - known.counts_from).as_secs_f64() <= product.promised_s;
                let part = if on_time { 1.0 } else { product.late_share };
                let wish = &mut self.wishes[known.wish];
                if known.repeat && wish.lost > 0.0 {
                    wish.earned = wish.lost; // It stood all the time.
                    return;
                }
                wish.earned = wish.gain * part;
                self.stood += 1;
                self.on_time += u64::from(on_time);
                let micros = (now - known.dialled).as_micros() as u64;
                self.stands.saturating_record(micros.max(1));
                self.by_product[known.product].saturating_record(micros.max(1));
            }
            (Way::Out, Frame::Refused { dialogue, .. } | Frame::Failed { dialogue }) => {
                if let Some(known) = self.tries.remove(&(edge, dialogue.clone())) {
                    self.let_go.saturating_record(((now - known.dialled).as_micros() as u64).max(1));
                }
            }
            (Way::Out, Frame::Over { dialogue, end: DialogueEnd::Cut }) => {
                if let Some(known) = self.tries.remove(&(edge, dialogue.clone())) {
                    self.wishes[known.wish].earned = 0.0;
                }
            }
            (Way::In, Frame::HangUp { dialogue }) => {
                self.tries.remove(&(edge, dialogue.clone()));
            }
            _ => {}
        }
    }

    /// What stood there is cut.
    fn cut(&mut self, which: impl Fn(usize, u64) -> bool) {
        let wishes = &mut self.wishes;
        self.tries.retain(|(edge, _), of| {
            let cut = which(*edge, of.link);
            if cut {
                wishes[of.wish].lost = wishes[of.wish].lost.max(wishes[of.wish].earned);
                wishes[of.wish].earned = 0.0;
            }
            !cut
        });
    }

    fn wish(&mut self, now: Duration, product: usize, tenant: Option<usize>) -> usize {
        let tenant = tenant.filter(|t| *t < self.brief.tenants.len());
        let within_quota = tenant.is_none_or(|tenant| {
            let second = now.as_secs();
            let asked = self.asked.entry(tenant).or_insert((second, 0.0));
            if asked.0 != second {
                *asked = (second, 0.0);
            }
            asked.1 += 1.0;
            asked.1 <= self.brief.tenants[tenant].quota
        });
        let part = if within_quota { 1.0 } else { self.brief.over_quota_share };
        let gain = self.brief.products[product].gain * part;
        self.wishes.push(Wish { product, tenant, at: now, gain, within_quota, earned: 0.0, lost: 0.0 });
        self.wishes.len() - 1
    }

    pub fn finish(self) -> (Gain, Times) {
        let sum = |which: &dyn Fn(&Wish) -> bool| {
            let chosen = self.wishes.iter().filter(|w| which(w));
            chosen.fold((0.0, 0.0), |(e, o), w| (e + w.earned, o + w.gain))
        };
        let of = |which: &dyn Fn(&Wish) -> bool| {
            let (earned, offered) = sum(which);
            ratio(earned, offered)
        };
        let (earned, offered) = sum(&|_| true);
        let last = self.wishes.last().map_or(0, |w| w.at.as_secs());
        // Each stretch in which gain was offered, from each second on; one longer than the day is the day.
        let worst = (0..=last.saturating_sub(STRETCH_S))
            .map(|from| of(&|w| (from..from + STRETCH_S).contains(&w.at.as_secs())))
            .fold(1.0, f64::min);
        let products = self.brief.products.iter().enumerate();
        let by_product: BTreeMap<String, f64> =
            products.map(|(place, p)| (p.name.clone(), of(&|w| w.product == place))).collect();
        let tenants = self.brief.tenants.iter().enumerate();
        let by_tenant: BTreeMap<String, f64> =
            tenants.map(|(n, t)| (t.name.clone(), of(&|w| w.tenant == Some(n) && w.within_quota))).collect();
        let least = |all: &BTreeMap<String, f64>| all.values().copied().fold(1.0, f64::min);
        let gain = Gain {
            offered,
            earned,
            whole: ratio(earned, offered),
            worst_10s: worst,
            worst_product: least(&by_product),
            worst_tenant: least(&by_tenant),
            by_product,
            by_tenant,
            on_time_share: ratio(self.on_time as f64, self.stood as f64),
        };
        let table = |h: &Histogram<u64>| {
            let at = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999), ("most", 1.0)];
            at.iter().map(|(n, q)| (n.to_string(), h.value_at_quantile(*q) as f64 / 1000.0)).collect()
        };
        let products = self.brief.products.iter().zip(&self.by_product);
        let times = Times {
            stands: table(&self.stands),
            let_go: table(&self.let_go),
            p99_by_product: products
                .map(|(p, h)| (p.name.clone(), h.value_at_quantile(0.99) as f64 / 1000.0))
                .collect(),
        };
        (gain, times)
    }
}
