//! Callers: they dial, wait, talk, hang up, and dial again where they were let go.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialledKey, DialogueId, ServerNumber};
use lotussaddle_trunk::{DeclineReason, Dial, DialogueEnd, Frame, Hello, Message, Role};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::Floor;

/// A caller whose link is gone notices after this time at most, and a link is begun anew after it.
const NOTICE: Duration = Duration::from_millis(400);

#[derive(Clone, Debug)]
pub struct CallerProduct {
    /// Part of all dialogues.
    pub share: f64,
    pub promised: Duration,
    pub cut_off: Duration,
    pub lasts: Duration,
    /// The numbers of the core servers that may be a first choice.
    pub choices: Vec<i64>,
}

#[derive(Clone, Debug)]
pub struct CrowdTenant {
    pub share: f64,
}

#[derive(Clone, Debug)]
pub struct CrowdFigures {
    pub name: Arc<str>,
    /// First dials a second.
    pub rate: f64,
    pub products: Vec<CallerProduct>,
    pub tenants: Vec<CrowdTenant>,
    /// Edge proxies, and the part of the callers at each.
    pub edges: Vec<f64>,
    /// Further tries, at most.
    pub tries: u32,
    /// A try is given up after this part of the cut-off.
    pub try_share: (f64, f64),
    /// Before a further try, on average.
    pub wait: Duration,
    /// Chance that a come-back time is heeded.
    pub heeds: f64,
    /// Part of the callers that, when their link breaks before an answer, dial the same dialogue there again.
    pub repeats: f64,
    /// Where first choices go shifts this often; zero: never.
    pub shifts: Duration,
    /// What is dialled, by weight; # stands for any digit. None: dials bear no number.
    pub dialled: Vec<(f64, String)>,
    /// Edge proxies act as a fleet: callers whose link breaks dial the same dialogue again at whichever is up, also one that
    /// stood.
    pub fleet: bool,
    /// No first dial comes after this time.
    pub until: Duration,
}

/// A caller whose cut-off passes without an answer waits so much longer before it hangs up: it takes an edge
/// proxy's silence for what it is, not for a race with its own hang-up.
const LINGER: Duration = Duration::from_millis(500);

/// A caller whose dialogue stood waits so long for a word on it elsewhere, and asks again for so long.
const RESUMED_WITHIN: Duration = Duration::from_millis(2000);
const RESUMED_FOR: Duration = Duration::from_millis(6000);

/// What the callers are up to just now.
#[derive(Clone, Debug, PartialEq)]
pub struct Mood {
    /// Dials come so many times as fast.
    pub surge: f64,
    /// This share comes with so little time left, in parts of the promised time.
    pub hurried: Option<(f64, f64)>,
    /// This tenant's callers give up after such a part of the promised time and dial so many more times, at once.
    pub redialling: Option<(usize, f64, u32)>,
    /// This tenant's callers dial numbers at random, so many times as many.
    pub flooding: Option<(usize, f64)>,
}

impl Default for Mood {
    fn default() -> Self {
        Self { surge: 1.0, hurried: None, redialling: None, flooding: None }
    }
}

#[derive(Clone, Debug)]
struct Caller {
    product: usize,
    tenant: Option<usize>,
    key: DialledKey,
    choice: ServerNumber,
    dialled: Option<Arc<str>>,
    first: DialogueId,
    first_at: Duration,
    tries: u32,
    came_back: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Asked,
    Stands,
}

struct Call {
    caller: Caller,
    edge: usize,
    stage: Stage,
    hang_up_at: Duration,
    /// It was dialled again, and what came of it is awaited until then.
    resuming: Option<Duration>,
}

enum Due {
    NextDial,
    HangUp(DialogueId),
    /// The same dialogue is dialled again where its link broke.
    Repeat(DialogueId),
    DialAgain(Caller),
    DialIn(usize),
    Shift,
}

pub struct Crowd {
    pub figures: CrowdFigures,
    pub mood: Mood,
    rng: Pcg64Mcg,
    /// Link to each edge proxy, where it is up.
    links: Vec<Option<u64>>,
    edges: BTreeMap<u64, usize>,
    calls: HashMap<DialogueId, Call>,
    /// Dialogues at each edge proxy.
    at_edge: Vec<BTreeSet<DialogueId>>,
    dues: BTreeMap<(Duration, u64), Due>,
    count: u64,
    dialled: u64,
    stood: u64,
    /// Where first choices go now: a weight for each place in a product's choices.
    shift: u64,
}

impl Crowd {
    pub fn new(figures: CrowdFigures, seed: u64) -> Self {
        let edges = figures.edges.len();
        let mut crowd = Self {
            mood: Mood::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            links: vec![None; edges],
            edges: BTreeMap::new(),
            calls: HashMap::new(),
            at_edge: vec![BTreeSet::new(); edges],
            dues: BTreeMap::new(),
            count: 0,
            dialled: 0,
            stood: 0,
            shift: 0,
            figures,
        };
        for edge in 0..edges {
            crowd.due(Duration::ZERO, Due::DialIn(edge));
        }
        crowd
    }

    /// From now on dials come.
    pub fn begin(&mut self, now: Duration) {
        self.due(now, Due::NextDial);
        if !self.figures.shifts.is_zero() {
            self.due(now + self.figures.shifts, Due::Shift);
        }
    }

    /// Dialogues that are asked for or stand.
    pub fn open(&self) -> usize {
        self.calls.len()
    }

    /// First dials, and dialogues that have stood.
    pub fn totals(&self) -> (u64, u64) {
        (self.dialled, self.stood)
    }

    /// Dialogues that are asked for and not answered.
    pub fn asked(&self) -> usize {
        self.calls.values().filter(|call| call.stage == Stage::Asked).count()
    }

    pub fn linked_to(&self) -> usize {
        self.links.iter().flatten().count()
    }

    fn due(&mut self, at: Duration, due: Due) {
        self.count += 1;
        self.dues.insert((at, self.count), due);
    }

    // Inputs

    pub fn linked(&mut self, now: Duration, edge: usize, link: u64, floor: &mut dyn Floor) {
        self.edges.insert(link, edge);
        let hello = Hello { sent_at: Some(now), ..Hello::new(Role::Caller, self.figures.name.clone()) };
        floor.say(link, Frame::Hello(hello).into());
    }

    pub fn lost(&mut self, now: Duration, link: u64) {
        let Some(edge) = self.edges.remove(&link) else { return };
        if self.links[edge] == Some(link) {
            self.links[edge] = None;
        }
        self.due(now + NOTICE / 2, Due::DialIn(edge));
        for id in std::mem::take(&mut self.at_edge[edge]) {
            let repeats = self.rng.random::<f64>() < self.figures.repeats;
            let fleet = self.figures.fleet;
            if repeats && self.calls.get(&id).is_some_and(|call| call.stage == Stage::Asked || fleet) {
                let wait = if fleet { NOTICE.mul_f64(self.rng.random::<f64>()) } else { NOTICE };
                self.due(now + wait, Due::Repeat(id));
                continue;
            }
            let Some(call) = self.calls.remove(&id) else { continue };
            let mut caller = call.caller;
            caller.came_back |= call.stage == Stage::Stands;
            let notices = NOTICE.mul_f64(self.rng.random::<f64>());
            self.try_again(now, caller, notices);
        }
    }

    /// A link could not be made.
    pub fn refused(&mut self, now: Duration, edge: usize) {
        self.due(now + NOTICE / 2, Due::DialIn(edge));
    }

    pub fn heard(&mut self, now: Duration, link: u64, message: Message, floor: &mut dyn Floor) {
        let Some(&edge) = self.edges.get(&link) else { return };
        // What is said of a dialogue where it is not any more is of the past.
        let of = message.frame.dialogue().and_then(|id| self.calls.get(id));
        if self.figures.fleet && of.is_some_and(|call| call.edge != edge) {
            return;
        }
        match message.frame {
            Frame::Ping { nonce } => floor.say(link, Frame::Pong { nonce }.into()),
            Frame::Hello(_) => self.links[edge] = Some(link),
            Frame::Stands { dialogue, .. } => {
                let Some(call) = self.calls.get_mut(&dialogue) else {
                    // It crossed the hang-up, which releases it.
                    return;
                };
                if call.resuming.take().is_some() && call.stage == Stage::Stands {
                    return; // It goes on.
                }
                let lasts = self.figures.products[call.caller.product].lasts.as_secs_f64();
                let lasts = Exp::new(1.0 / lasts).map_or(lasts, |exp| exp.sample(&mut self.rng));
                call.stage = Stage::Stands;
                self.stood += 1;
                call.hang_up_at = now + Duration::from_secs_f64(lasts);
                let at = call.hang_up_at;
                self.due(at, Due::HangUp(dialogue));
            }
            Frame::Declined { dialogue, why: DeclineReason::Unsure, retry_after: come_back } => {
                // It is asked for again while there is time.
                let until = self.calls.get(&dialogue).and_then(|call| {
                    let asked = (self.figures.fleet && call.stage == Stage::Asked).then_some(call.hang_up_at);
                    call.resuming.or(asked)
                });
                let at = now + come_back.unwrap_or(NOTICE).max(NOTICE / 4);
                match until.filter(|until| at < *until) {
                    Some(_) => self.due(at, Due::Repeat(dialogue)),
                    None => self.let_go(now, &dialogue, None),
                }
            }
            Frame::Refused { dialogue, retry_after: come_back } => self.let_go(now, &dialogue, come_back),
            Frame::Failed { dialogue } | Frame::Declined { dialogue, .. } => {
                self.let_go(now, &dialogue, None)
            }
            Frame::Over { dialogue, end } => {
                if let Some(call) = self.forget(&dialogue)
                    && end == DialogueEnd::Cut
                {
                    let caller = Caller { came_back: true, ..call.caller };
                    let wait = self.figures.wait;
                    self.try_again(now, caller, wait);
                }
            }
            _ => {}
        }
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.dues.first_key_value().map(|((at, _), _)| *at)
    }

    pub fn alarm(&mut self, now: Duration, floor: &mut dyn Floor) {
        while let Some(entry) = self.dues.first_entry()
            && entry.key().0 <= now
        {
            match entry.remove() {
                Due::NextDial => self.next_dial(now, floor),
                Due::HangUp(id) => self.hang_up(now, &id, floor),
                Due::Repeat(id) => self.repeat(now, &id, floor),
                Due::DialAgain(caller) => self.dial(now, caller, floor),
                Due::DialIn(edge) if self.links[edge].is_none() => floor.dial_in(edge),
                Due::DialIn(_) => {}
                Due::Shift => {
                    self.shift += 1;
                    self.due(now + self.figures.shifts, Due::Shift);
                }
            }
        }
    }

    // Callers

    fn next_dial(&mut self, now: Duration, floor: &mut dyn Floor) {
        if now >= self.figures.until {
            return;
        }
        let flooding = self.mood.flooding.filter(|(tenant, _)| *tenant < self.figures.tenants.len());
        let more = flooding.map_or(0.0, |(tenant, times)| {
            let all: f64 = self.figures.tenants.iter().map(|tenant| tenant.share).sum();
            (times - 1.0) * self.figures.tenants[tenant].share / all
        });
        let rate = self.figures.rate * self.mood.surge * (1.0 + more);
        let gap = Exp::new(rate).map_or(1.0, |exp| exp.sample(&mut self.rng));
        self.due(now + Duration::from_secs_f64(gap), Due::NextDial);
        let product = self.pick(|f| f.products.iter().map(|p| p.share).collect());
        let tenants = self.figures.tenants.len();
        let floods =
            move |tenant| flooding.filter(|(flooded, _)| *flooded == tenant).map_or(1.0, |(_, times)| times);
        let shares =
            |f: &CrowdFigures| f.tenants.iter().enumerate().map(|(n, t)| t.share * floods(n)).collect();
        let tenant = (tenants > 0).then(|| self.pick(shares));
        let dialled = self.draw_number(tenant.is_some_and(|tenant| floods(tenant) > 1.0));
        let choices = &self.figures.products[product].choices;
        // First choices lean to one server, another after each shift.
        let lean = self.shift as usize % choices.len().max(1);
        let place =
            if self.rng.random::<f64>() < 0.2 { lean } else { self.rng.random_range(0..choices.len()) };
        let choice = ServerNumber(choices[place]);
        self.dialled += 1;
        let first = DialogueId(Arc::from(format!("{}-{}", self.figures.name, self.dialled)));
        let key = DialledKey(Arc::from(format!("k{}", self.dialled)));
        let caller = Caller {
            product,
            tenant,
            key,
            choice,
            dialled,
            first,
            first_at: now,
            tries: 0,
            came_back: false,
        };
        self.dial(now, caller, floor);
    }

    /// A fifth of the numbers are of the few that many dial.
    fn draw_number(&mut self, at_random: bool) -> Option<Arc<str>> {
        if self.figures.dialled.is_empty() {
            return None;
        }
        let pattern = self.pick(|f| f.dialled.iter().map(|(share, _)| *share).collect());
        let pattern = self.figures.dialled[pattern].1.clone();
        let often = !at_random && self.rng.random::<f64>() < 0.2;
        let digit = |rng: &mut Pcg64Mcg| {
            if often { "37".as_bytes()[rng.random_range(0..2)] } else { b'0' + rng.random_range(0..10u8) }
        };
        let number = pattern.chars().map(|c| if c == '#' { digit(&mut self.rng) as char } else { c });
        Some(Arc::from(number.collect::<String>()))
    }

    fn pick(&mut self, weights: impl Fn(&CrowdFigures) -> Vec<f64>) -> usize {
        let weights = weights(&self.figures);
        let mut left = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (place, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return place;
            }
        }
        weights.len() - 1
    }

    fn dial(&mut self, now: Duration, caller: Caller, floor: &mut dyn Floor) {
        // Callers go to an edge proxy that is up; where none is, they try again soon.
        let up: Vec<f64> = (0..self.links.len())
            .map(|e| if self.links[e].is_some() { self.figures.edges[e] } else { 0.0 })
            .collect();
        if up.iter().all(|weight| *weight == 0.0) {
            return self.try_again(now, caller, NOTICE);
        }
        let edge = self.pick(|_| up.clone());
        let link = self.links[edge].expect("it is up");
        let product = self.figures.products[caller.product].clone();
        let patience = caller.first_at + product.cut_off;
        let (least, most) = self.figures.try_share;
        let mut left = product.cut_off.mul_f64(self.rng.random_range(least..=most));
        if let Some((share, part)) = self.mood.hurried
            && self.rng.random::<f64>() < share
        {
            left = product.promised.mul_f64(part);
        }
        if let Some((tenant, part, _)) = self.mood.redialling
            && caller.tenant == Some(tenant)
        {
            left = product.promised.mul_f64(part);
        }
        let left = left.min(patience.saturating_sub(now));
        if left < Duration::from_millis(1) {
            return;
        }
        let again = caller.tries > 0;
        let dialogue = if again {
            DialogueId(Arc::from(format!("{}.{}", caller.first.0, caller.tries)))
        } else {
            caller.first.clone()
        };
        let frame = dial_frame(now, &dialogue, &caller, left);
        self.at_edge[edge].insert(dialogue.clone());
        let hang_up_at = now + left + LINGER;
        self.due(hang_up_at, Due::HangUp(dialogue.clone()));
        self.calls.insert(dialogue, Call { caller, edge, stage: Stage::Asked, hang_up_at, resuming: None });
        floor.say(link, frame.into());
    }

    /// At any edge proxy that is up, as one whose state is not known.
    fn resume(&mut self, now: Duration, id: &DialogueId, floor: &mut dyn Floor) {
        let Some(call) = self.calls.get(id) else { return };
        let asked = call.stage == Stage::Asked;
        let left =
            if asked { call.hang_up_at.saturating_sub(LINGER).saturating_sub(now) } else { RESUMED_WITHIN };
        if left < Duration::from_millis(20) || call.resuming.is_some_and(|until| now >= until) {
            return; // It hangs up soon.
        }
        let up: Vec<f64> = (0..self.links.len())
            .map(|e| if self.links[e].is_some() { self.figures.edges[e] } else { 0.0 })
            .collect();
        if up.iter().all(|weight| *weight == 0.0) {
            return self.due(now + NOTICE, Due::Repeat(id.clone()));
        }
        let edge = self.pick(|_| up.clone());
        let Some(call) = self.calls.get_mut(id) else { return };
        call.resuming.get_or_insert(now + if asked { left } else { RESUMED_FOR });
        call.edge = edge;
        let mut frame = dial_frame(now, id, &call.caller, left);
        if let Frame::Dial(dial) = &mut frame {
            dial.is_repeat = true;
        }
        for there in &mut self.at_edge {
            there.remove(id);
        }
        self.at_edge[edge].insert(id.clone());
        if let Some(link) = self.links[edge] {
            floor.say(link, frame.into());
        }
    }

    fn repeat(&mut self, now: Duration, id: &DialogueId, floor: &mut dyn Floor) {
        if self.figures.fleet {
            return self.resume(now, id, floor);
        }
        let Some(call) = self.calls.get(id).filter(|call| call.stage == Stage::Asked) else { return };
        let left = call.hang_up_at.saturating_sub(LINGER).saturating_sub(now);
        if left < Duration::from_millis(20) {
            return; // It hangs up soon.
        }
        match self.links[call.edge] {
            Some(link) => {
                let frame = dial_frame(now, id, &call.caller, left);
                self.at_edge[call.edge].insert(id.clone());
                floor.say(link, frame.into());
            }
            None => self.due(now + NOTICE, Due::Repeat(id.clone())),
        }
    }

    fn forget(&mut self, id: &DialogueId) -> Option<Call> {
        let call = self.calls.remove(id)?;
        self.at_edge[call.edge].remove(id);
        Some(call)
    }

    /// A caller that was let go dials again, if it does.
    fn let_go(&mut self, now: Duration, id: &DialogueId, come_back: Option<Duration>) {
        let Some(call) = self.forget(id) else { return };
        let heeds = self.rng.random::<f64>() < self.figures.heeds;
        let wait = self.figures.wait.mul_f64(0.5 + self.rng.random::<f64>());
        let wait =
            come_back.filter(|_| heeds).map_or(wait, |told| told.mul_f64(1.0 + self.rng.random::<f64>()));
        self.try_again(now, call.caller, wait);
    }

    fn try_again(&mut self, now: Duration, mut caller: Caller, wait: Duration) {
        let redials = self.mood.redialling.filter(|(tenant, ..)| caller.tenant == Some(*tenant));
        let (tries, wait) = redials.map_or((self.figures.tries, wait), |(_, _, more)| (more, Duration::ZERO));
        let cut_off = self.figures.products[caller.product].cut_off;
        if caller.tries < tries && now + wait < caller.first_at + cut_off {
            caller.tries += 1;
            self.due(now + wait.max(Duration::from_millis(1)), Due::DialAgain(caller));
        }
    }

    fn hang_up(&mut self, now: Duration, id: &DialogueId, floor: &mut dyn Floor) {
        let Some(call) = self.calls.get(id) else { return };
        if call.hang_up_at > now {
            return; // Set before it stood.
        }
        let Some(call) = self.forget(id) else { return };
        if let Some(link) = self.links[call.edge] {
            floor.say(link, Frame::HangUp { dialogue: id.clone() }.into());
        }
        if call.stage == Stage::Asked {
            let wait = self.figures.wait.mul_f64(0.5 + self.rng.random::<f64>());
            self.try_again(now, call.caller, wait);
        }
    }
}

fn dial_frame(now: Duration, dialogue: &DialogueId, caller: &Caller, left: Duration) -> Frame {
    let again = caller.tries > 0;
    Frame::Dial(Dial {
        dialogue: dialogue.clone(),
        key: Some(caller.key.clone()),
        product: caller.product as u16,
        tenant: caller.tenant.map(|t| t as u16),
        first_choice: caller.choice,
        width: 1.0,
        time_left: left,
        is_retry: again,
        redialled_after_cut: caller.came_back,
        is_repeat: false,
        sent_at: Some(now),
        try_of: again.then(|| caller.first.clone()),
        dialled: caller.dialled.clone(),
    })
}
