//! The decisions of one edge proxy: which core server takes a dialogue, and which dialogue is let go.
//!
//! The caller brings every input to [`Brain`] with the time since the start; `interface.rs` has the
//! words spoken both ways, and the brain acts through `Signalling` alone. After every input, and each tick
//! while a dialogue is owed an answer, the rules in `RULES` are gone through in order until none fires.
//!
//! The design: a dialogue goes to its first choice while that server qualifies, else to the qualifying
//! server with the most estimated free lines (told free less own placed since). Beside it stand:
//! 1. Limit: set-ups unanswered at a server, below 1 its share of the dialogues; grows by one a round while
//!    waits, met or told, are in ease, is cut by a share on strain, and then the server rests for the excess.
//! 2. Waiting room: a dialogue that finds no server waits here, higher gain first, while it has hope.
//! 3. Quotas: of a tenant that asks more than its part, the excess counts little and so comes last.
//! 4. Silence: a server that answers nothing, is out of reach or fails all is set aside until a trial.
//! 5. Lost launches: one overtaken, or long unanswered without strain, is called off and goes elsewhere.
//! 6. Budgets: starts, trials and overflow are spaced by what a server bore, shared by the number of proxies.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::interface::*;
use crate::pcg::Pcg;
use crate::ranked::{Ranked, Real};

/// A limit is cut to this share of itself.
const CUT: f64 = 0.7;
/// The lowest limit; below 1 it is the share of the dialogues, drawn by lot, for which a server qualifies.
const LOWEST_LIMIT: f64 = 0.05;
/// What all proxies together may add to the set-ups in turn at a server that is in ease.
const HEADROOM: f64 = 8.0;
/// The part of what a server has borne that all proxies together may spend on trials there.
const TRIAL_SHARE: f64 = 0.2;
/// The same for dialogues whose first choice is another; a turn for one lasts so much of the gap.
const OVERFLOW_SHARE: f64 = 3.0;
const TURN: f64 = 0.25;
/// What a cold server is sent by all is chance: its mean lies so many of its roots below the most allowed.
const CHANCES: f64 = 4.0;
/// So many failures running, more than chance brings, put a server aside; out of reach counts as half.
const FAILURES: u32 = 16;
/// A server of which nothing is known is taken to bear so many dialogues a second once it is warm.
const LOWEST_RATE: f64 = 5.0;
/// Weight of the newest answer in a smoothed figure, and of the newest dialogue in the tenants' parts.
const NEWEST: f64 = 0.2;
const NEWEST_DIALOGUE: f64 = 0.01;
/// The most that a server has borne fades over this time, in seconds.
const BORNE_SPAN: f64 = 60.0;
/// Lines in use are reckoned up after so many seconds; coming at these times the most borne is a surge.
const RECKONING: f64 = 0.5;
const SURGE: f64 = 1.25;

/// So many callers let go are remembered; beyond it the one that may dial again the shortest is forgotten.
const MOST_CALLERS: usize = 200_000;
/// No server has more lines or takes more set-ups than this: a figure beyond it is not believed.
const MOST_TOLD: f64 = 1e7;
/// No time of a plan is longer.
const LONGEST: Duration = Duration::from_secs(366 * 86_400);

/// The figures that decisions use, made from the route plan at start.
struct Figures {
    products: Vec<Product>,
    over_quota_share: f64,
    tick: Duration,
    release: Duration,
    proxies: f64,
    /// This proxy's part of the headroom.
    headroom: f64,
    lasts: f64, // the mean length of a dialogue, in seconds
    /// A surge feeds itself only where what waits is sent again by itself; else infinite.
    surge: f64,
    /// A wait above this is strain and cuts a limit.
    ease: Duration,
    silence: Duration,
    max_launches: u32,
    marks_again: bool,
    may_cancel: bool,
    come_back: Option<Duration>,
    cold_share: f64,
    warm_after: Duration,
    cold_multiple: f64, // kept up over the time below
    fall_within: Duration,
}

struct Server {
    figures: Rc<Figures>,
    pcg: Pcg,
    number: ServerNumber,
    listed: ServerState,
    /// When it last started, as far as is known; none: long ago.
    started: Option<Duration>,
    /// Drawn once: decides between servers that look alike.
    lot: u32,
    told_free: Option<f64>,
    placed_since: f64,
    /// Launches out, oldest first.
    out: Vec<Out>,
    limit: f64,
    opens_at: Duration,
    last_launch: Duration,
    /// From when it may take another whose first choice is another server.
    overflow_at: Duration,
    last_sign: Duration,
    /// Set aside: when its next trial may go.
    trial_at: Option<Duration>,
    /// Launches in a row that did not reach it or failed there.
    failures: u32,
    /// Smoothed time to an answer, and its spread.
    usual: Duration,
    spread: Duration,
    /// The most dialogues a second that all proxies placed there or at its forerunner, when that was last
    /// reckoned, and what they placed then.
    borne: f64,
    reckoned_at: Duration,
    placed: f64,
}

struct Out {
    dialogue: DialogueId,
    launch: LaunchNumber,
    at: Duration,
    /// When a later launch was answered first, though a server takes set-ups in turn: probably lost.
    overtaken: Option<Duration>,
}

/// A dialogue that is owed an answer.
struct Dialogue {
    product: ProductId,
    key: Option<DialledKey>,
    first_dialled: Duration,
    first_choice: ServerNumber,
    width: f64,
    promised: Duration,
    answer_by: Duration,
    gain: f64,
    /// Chance over gain: where a server takes a share of the dialogues, it takes those of the lowest lots.
    lot: f64,
    turned_back: u32,
    launches: u32,
    at: Option<ServerId>,
    called_off: bool,
    /// Where its last launch was lost: taken again only where no other server qualifies.
    shunned: Option<ServerId>,
    not_before: Duration,
}

/// Who is launched first: of higher gain, then the newest. Where room is short the oldest is about to leave
/// or to stand too late.
type Rank = (Reverse<Real>, Reverse<Duration>, DialogueId);

/// The waiting room, in the orders in which the rules look at it.
#[derive(Default)]
struct Room {
    /// By the time when even an immediate answer would be late.
    by_end: BTreeSet<(Duration, DialogueId)>,
    /// By what is left of that once it may be launched; nothing for one that may not.
    by_rest: BTreeSet<(Duration, DialogueId)>,
    /// Not yet to be launched, by when it may.
    barred: BTreeSet<(Duration, DialogueId)>,
    /// To be launched, by product; and once more by first choice and product.
    ready: BTreeMap<ProductId, Ranked<Rank>>,
    by_choice: BTreeMap<(ServerNumber, ProductId), Ranked<Rank>>,
}

/// A tenant's part of all quotas, and its part of the dialogues that lately came in here.
struct Demand {
    quota: f64,
    asked: f64,
}

pub struct Brain {
    figures: Rc<Figures>,
    demands: Vec<Demand>,
    pcg: Pcg,
    now: Duration,
    servers: BTreeMap<ServerId, Server>,
    dialogues: BTreeMap<DialogueId, Dialogue>,
    /// The same by when they must be answered.
    by_answer: BTreeSet<(Duration, DialogueId)>,
    room: Room,
    /// Callers let go who may dial again: when they first dialled, and until when they may.
    callers: BTreeMap<DialledKey, (Duration, Duration)>,
    by_until: BTreeSet<(Duration, DialledKey)>,
    /// More than an arrival has come since the rules were last gone through.
    look: bool,
    alarm_set: bool,
    /// Nothing is launched before.
    rests_until: Duration,
}

type Rule = fn(&mut Brain, &mut dyn Signalling) -> bool;

/// Each is a condition and an effect and tells whether it fired.
const RULES: [Rule; 5] = [
    Brain::answer_before_the_cut_off,
    Brain::refuse_the_hopeless,
    Brain::set_the_silent_aside,
    Brain::call_off_the_lost,
    Brain::launch_the_best,
];

impl Brain {
    pub fn new(mut plan: RoutePlan, seed: u64) -> Self {
        plan.release_time = plan.release_time.min(LONGEST);
        (plan.proxies, plan.tick) = (plan.proxies.max(1), plan.tick.max(Duration::from_micros(1)));
        for product in &mut plan.products {
            product.promised = product.promised.min(LONGEST);
            product.redial_window = product.redial_window.min(LONGEST);
            product.servers.iter_mut().for_each(|servers| servers.sort_unstable()); // found by halves
        }
        let tightest = plan.products.iter().map(|p| p.promised).min().unwrap_or(LONGEST);
        let resend = if plan.resend_after.is_zero() { Duration::MAX } else { plan.resend_after };
        // Gains are measured by the least, as the lots are.
        let least = plan.products.iter().map(|p| p.gain).fold(f64::INFINITY, f64::min);
        let all: f64 = plan.tenants.iter().map(|t| t.quota).sum();
        let parts = plan.tenants.iter().map(|t| t.quota / all);
        let demands = parts.map(|part| Demand { quota: part, asked: part }).collect();
        let lasts =
            plan.products.iter().map(|p| p.mean_duration.as_secs_f64() / plan.products.len() as f64).sum();
        let figures = Rc::new(Figures {
            lasts,
            surge: if plan.resend_after.is_zero() { f64::INFINITY } else { SURGE },
            over_quota_share: plan.over_quota_share,
            products: plan.products.into_iter().map(|p| Product { gain: p.gain / least, ..p }).collect(),
            tick: plan.tick,
            release: plan.release_time,
            proxies: f64::from(plan.proxies),
            headroom: (HEADROOM / f64::from(plan.proxies)).min(1.0),
            ease: (tightest / 3).min(resend / 5 * 4),
            silence: tightest / 2,
            max_launches: plan.max_launches,
            marks_again: plan.callers_mark_retries,
            may_cancel: plan.may_cancel,
            come_back: Some(plan.max_retry_after).filter(|d| !d.is_zero()),
            cold_share: plan.cold_start_share,
            warm_after: plan.warm_up_time,
            cold_multiple: plan.overload_multiple * plan.overload_window.as_secs_f64(),
            fall_within: plan.overload_window.clamp(Duration::from_millis(1), LONGEST),
        });
        Self {
            figures,
            demands,
            pcg: Pcg::new(seed),
            now: Duration::ZERO,
            servers: BTreeMap::new(),
            dialogues: BTreeMap::new(),
            by_answer: BTreeSet::new(),
            room: Room::default(),
            callers: BTreeMap::new(),
            by_until: BTreeSet::new(),
            look: true,
            alarm_set: false,
            rests_until: Duration::ZERO,
        }
    }

    /// What is held: dialogues that are owed an answer, servers (gone ones included), launches out, callers.
    pub fn held_counts(&self) -> (usize, usize, usize, usize) {
        let out = self.servers.values().map(|s| s.out.len()).sum();
        (self.dialogues.len(), self.servers.len(), out, self.callers.len())
    }

    // Inputs

    /// A former life may have left launches at core servers: until then nothing new is launched (rule 5).
    pub fn hold_launches_until(&mut self, until: Duration) {
        self.rests_until = until;
    }

    pub fn server_list_received(
        &mut self, now: Duration, whole: bool, entries: &[ListEntry], out: &mut dyn Signalling,
    ) {
        let now = self.turn_to(now);
        if whole {
            self.servers.values_mut().for_each(|s| s.listed = ServerState::Gone);
        }
        for entry in entries {
            if let Some(server) = self.servers.get_mut(&entry.server)
                && Some(entry.started).filter(|s| !s.is_zero()) <= server.started
            {
                (server.number, server.listed) = (entry.number, entry.state);
                continue;
            }
            // New, or started anew: what it bears is known from its forerunner, else the least of the warm.
            let same = self.servers.values().filter(|s| s.number == entry.number);
            let same = same.map(|s| s.borne).max_by(f64::total_cmp).filter(|borne| *borne > 0.0);
            let warm = self.servers.values().filter(|s| s.cold_level(now).is_none());
            let warm = warm.map(|s| s.borne).min_by(f64::total_cmp);
            let borne = same.or(warm).unwrap_or_default();
            let mut server = Server::new(entry, now, borne, self.figures.clone(), self.pcg.draw());
            if let Some(before) = self.servers.remove(&entry.server) {
                server.out = before.out;
            }
            // All proxies hear of a start at once: each lets a part of its first gap pass, by chance.
            server.opens_at = now + server.cold_gap(now).mul_f64(server.pcg.share());
            self.servers.insert(entry.server.clone(), server);
        }
        // One gone is kept until its number is taken again: what it bore tells of the next, till it fades.
        let faded = Duration::from_secs_f64(BORNE_SPAN);
        let active = self.servers.values().filter(|s| s.listed == ServerState::Active);
        let active: BTreeSet<ServerNumber> = active.map(|s| s.number).collect();
        self.servers.retain(|_, s| {
            let tells = !active.contains(&s.number) && now < s.last_sign + faded;
            s.listed != ServerState::Gone || !s.out.is_empty() || tells
        });
        self.settle(out);
    }

    pub fn dialogue_arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling) {
        let now = if now > self.now { self.turn_to(now) } else { self.now };
        let Some(product) = self.figures.products.get(arrival.product.0) else {
            return out.fail(&arrival.id);
        };
        if self.dialogues.contains_key(&arrival.id) {
            return; // It is in already, and will have its answer.
        }
        let (promised, late_share, plain) = (product.promised, product.late_share, product.gain);
        let part = if self.beyond_quota(arrival.tenant) { self.figures.over_quota_share } else { 1.0 };
        // A further try is measured from the first one: past the promised time little of its gain is left.
        let may_be_again = arrival.is_retry || !self.figures.marks_again;
        let before = arrival.key.as_ref().filter(|_| may_be_again).and_then(|key| self.forget_caller(key));
        let first_dialled = before.map_or(arrival.dialled_at.min(now), |(first, _)| first);
        let unknown = arrival.is_retry && !arrival.redialled_after_cut && before.is_none();
        let late = unknown || now >= first_dialled + promised;
        let gain = plain * part * if late { late_share } else { 1.0 };
        let lot = self.pcg.share() / gain;
        let dialogue = Dialogue {
            product: arrival.product,
            key: arrival.key,
            first_dialled,
            first_choice: arrival.first_choice,
            width: arrival.width,
            promised: promised + if late { now } else { first_dialled },
            answer_by: arrival.cut_off.saturating_sub(self.figures.tick * 2),
            gain,
            lot,
            turned_back: 0,
            launches: 0,
            at: None,
            called_off: false,
            shunned: None,
            not_before: now.max(self.rests_until),
        };
        self.look |= now >= dialogue.end().saturating_sub(self.usual());
        self.by_answer.insert((dialogue.answer_by, arrival.id.clone()));
        self.dialogues.insert(arrival.id.clone(), dialogue);
        self.wait(&arrival.id);
        self.settle(out);
    }

    pub fn caller_left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling) {
        self.turn_to(now);
        self.let_go(id, out);
        self.settle(out);
    }

    pub fn load_reported(
        &mut self, now: Duration, id: &ServerId, report: &LoadReport, out: &mut dyn Signalling,
    ) {
        let now = self.turn_to(now);
        if let Some(server) = self.servers.get_mut(id) {
            server.read(now, report);
        }
        self.settle(out);
    }

    pub fn dialogue_stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, server: &ServerId,
        out: &mut dyn Signalling,
    ) {
        let now = self.turn_to(now);
        self.take(id);
        if let Some(server) = self.servers.get_mut(server)
            && let Some(at) = server.answered(now, id, launch, out)
        {
            server.learn(now, now - at);
        }
        self.settle(out);
    }

    /// A launch has ended without standing, or a standing dialogue has ended.
    pub fn launch_ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling) {
        use Outcome::{Ended, NoFreeLine, NumberBusy, TurnedBack};
        let now = self.turn_to(now);
        if let Some(server) = self.servers.get_mut(&end.server) {
            server.read(now, &end.report);
            if matches!(end.outcome, Ended | NoFreeLine | TurnedBack | NumberBusy) {
                server.answered(now, &end.dialogue, end.launch, out);
            } else if server.take_out(&end.dialogue, end.launch).is_some() {
                // One failure may be chance, and a server can fail some and serve the rest well; a run of
                // them is a server down, or one that fails all so quickly that it would draw everything.
                let (failures, why, sign) = match end.outcome {
                    Outcome::Unreachable => (FAILURES / 2, "out of reach", server.last_sign),
                    Outcome::Fault | Outcome::BrokenOff => (1, "fails all", now),
                    _ => (0, "", server.last_sign),
                };
                (server.failures, server.last_sign) = (server.failures + failures, sign);
                if server.failures >= FAILURES && failures > 0 {
                    server.set_aside(now, why, &end.server, out);
                }
            }
            match end.outcome {
                Outcome::TurnedBack => server.full(now, self.figures.silence * 2),
                Outcome::NoFreeLine => server.full(now, Duration::ZERO),
                _ => {}
            }
        }
        if end.closed {
            self.take(&end.dialogue);
        } else if !self.dialogues.contains_key(&end.dialogue) {
            out.fail(&end.dialogue); // Called off in the moment it stood: the answer is owed again.
        } else if let Some(dialogue) = self.dialogues.get(&end.dialogue)
            && (dialogue.at.as_ref() == Some(&end.server) || end.outcome == Outcome::Cancelled)
            && dialogue.last_launch() == end.launch
        {
            self.leave_room(&end.dialogue);
            let dialogue = self.dialogues.get_mut(&end.dialogue).expect("it was looked up");
            dialogue.at = None;
            dialogue.called_off = false;
            match end.outcome {
                // What it held may stay taken until the release (rule 5); one called off may still answer first.
                Outcome::TimedOut | Outcome::BrokenOff | Outcome::Cancelled => {
                    dialogue.not_before = now + self.figures.release;
                    dialogue.shunned = Some(end.server);
                }
                Outcome::Unreachable | Outcome::Fault => dialogue.shunned = Some(end.server),
                // Another server reaches the same number: it is refused at once.
                Outcome::NumberBusy => dialogue.launches = self.figures.max_launches,
                _ => dialogue.turned_back += 1,
            }
            self.wait(&end.dialogue);
        }
        self.settle(out);
    }

    pub fn timer_fired(&mut self, now: Duration, _timer: TimerId, out: &mut dyn Signalling) {
        self.turn_to(now);
        self.alarm_set = false;
        self.settle(out);
    }

    /// A clock that runs back is taken to stand.
    fn turn_to(&mut self, now: Duration) -> Duration {
        self.look = true;
        let now = self.now.max(now);
        self.now = now;
        while let Some((until, key)) = self.by_until.first().cloned()
            && until <= now
        {
            self.forget_caller(&key);
        }
        while let Some((not_before, _)) = self.room.barred.first()
            && *not_before <= now
        {
            let (_, id) = self.room.barred.pop_first().expect("it is there");
            self.make_ready(&id);
        }
        now
    }

    /// After an arrival at a moment already looked at, only the launching rule can fire.
    fn settle(&mut self, out: &mut dyn Signalling) {
        let rules = if self.look { &RULES[..] } else { &RULES[RULES.len() - 1..] };
        while rules.iter().any(|rule| rule(self, out)) {}
        self.look = false;
        if !self.dialogues.is_empty() && !self.alarm_set {
            self.alarm_set = true;
            out.set_timer(TimerId(0), self.figures.tick);
        }
    }

    // Rules

    /// Whatever else goes wrong, a dialogue is answered before the cut-off of its try.
    fn answer_before_the_cut_off(&mut self, out: &mut dyn Signalling) -> bool {
        let overdue: BTreeSet<DialogueId> = up_to(&self.by_answer, self.now).collect();
        for id in &overdue {
            self.let_go(id, out);
            out.fail(id);
        }
        !overdue.is_empty()
    }

    /// What can no longer stand within the promised time is refused at once, to the good of what can.
    fn refuse_the_hopeless(&mut self, out: &mut dyn Signalling) -> bool {
        let usual = self.usual();
        let late = up_to(&self.room.by_end, self.now + usual);
        let hopeless: BTreeSet<DialogueId> = late.chain(up_to(&self.room.by_rest, usual)).collect();
        for id in &hopeless {
            self.let_go(id, out);
            out.refuse(id, self.figures.come_back);
        }
        !hopeless.is_empty()
    }

    /// Launches out and no sign of life: hung, cut off, or dead before the list tells.
    fn set_the_silent_aside(&mut self, out: &mut dyn Signalling) -> bool {
        let silent = self.servers.iter_mut().find(|(_, s)| {
            let since = s.in_turn().next().map(|oldest| s.last_sign.max(oldest.at));
            s.trial_at.is_none() && since.is_some_and(|t| self.now >= t + s.patience())
        });
        let Some((id, server)) = silent else { return false };
        server.set_aside(self.now, "silent", id, out);
        true
    }

    /// A launch that is probably lost is called off, to go elsewhere while there is hope.
    fn call_off_the_lost(&mut self, out: &mut dyn Signalling) -> bool {
        let (now, figures) = (self.now, &self.figures);
        let lost = self.servers.iter().flat_map(|(server, s)| {
            let old = s.out.iter().take_while(|o| now >= o.at + s.ordinary());
            let lost = old.filter(|o| figures.may_cancel && now >= s.lost_at(o));
            lost.filter(|o| {
                let dialogue = self.dialogues.get(&o.dialogue).filter(|d| d.at.as_ref() == Some(server));
                dialogue.is_some_and(|d| !d.called_off && now + figures.release < d.promised)
            })
        });
        let Some(id) = lost.map(|o| &o.dialogue).min().cloned() else { return false };
        let dialogue = self.dialogues.get_mut(&id).expect("it was looked up");
        dialogue.called_off = true;
        out.cancel(&id, dialogue.last_launch());
        true
    }

    /// Of the dialogues that wait and have a server, the one of highest gain is launched, the newest first.
    fn launch_the_best(&mut self, out: &mut dyn Signalling) -> bool {
        let open = self.servers.values().filter(|s| s.open(self.now));
        let Some((.., id)) = open.filter_map(|s| self.best_for(s)).min().cloned() else { return false };
        self.leave_room(&id);
        let server_id = self.choose(&self.dialogues[&id]).expect("a server takes it");
        let dialogue = self.dialogues.get_mut(&id).expect("it waits");
        let server = self.servers.get_mut(&server_id).expect("it was chosen");
        dialogue.launches += 1;
        server.launched(self.now, &id, dialogue);
        // Where nothing is sent again by itself, a late set-up is given up cheaply.
        let late = if self.figures.surge.is_finite() { Duration::MAX } else { dialogue.promised };
        let until = late.min(dialogue.answer_by + self.figures.tick * 2);
        out.launch(&id, &server_id, until.saturating_sub(self.now));
        dialogue.at = Some(server_id);
        true
    }

    // The design

    /// The first choice while it qualifies, else the qualifying server with most estimated free lines.
    fn choose(&self, dialogue: &Dialogue) -> Option<ServerId> {
        let qualifying = self.servers.iter().filter(|(_, s)| {
            self.is_able(s, dialogue.product)
                && s.open(self.now)
                && s.takes(self.now)(dialogue.lot, dialogue.width)
                && (s.number == dialogue.first_choice || s.takes_overflow(self.now))
        });
        let rank = |(id, s): &(&ServerId, &Server)| {
            let shunned = dialogue.shunned.as_ref() == Some(*id);
            (!shunned, s.number == dialogue.first_choice, s.estimate(), s.lot)
        };
        let best = qualifying.max_by(|a, b| rank(a).partial_cmp(&rank(b)).expect("estimates are numbers"));
        best.map(|(id, _)| id.clone())
    }

    // Figures that several rules share

    fn is_able(&self, server: &Server, product: ProductId) -> bool {
        let able = self.figures.products[product.0].servers.as_ref();
        able.is_none_or(|able| able.binary_search(&server.number).is_ok())
    }

    /// The dialogue that would be launched first, had only this server room.
    fn best_for(&self, server: &Server) -> Option<&Rank> {
        let (takes, overflow) = (server.takes(self.now), server.takes_overflow(self.now));
        let all = self.room.ready.iter().filter(|_| overflow).map(|(product, ranked)| (*product, ranked));
        let own = (server.number, ProductId(0))..=(server.number, ProductId(usize::MAX));
        let own = self.room.by_choice.range(own).map(|((_, product), ranked)| (*product, ranked));
        let able = all.chain(own).filter(|(product, _)| self.is_able(server, *product));
        able.filter_map(|(_, ranked)| ranked.first(&takes)).min()
    }

    /// The quickest answer to be expected.
    fn usual(&self) -> Duration {
        let serving = self.servers.values().filter(|s| s.trial_at.is_none());
        serving.map(|s| s.usual).min().unwrap_or_default()
    }

    /// It waits from now on, or waits again.
    fn wait(&mut self, id: &DialogueId) {
        let dialogue = &self.dialogues[id];
        self.room.by_end.insert((dialogue.end(), id.clone()));
        self.room.by_rest.insert((dialogue.rest(&self.figures), id.clone()));
        if dialogue.not_before > self.now {
            self.room.barred.insert((dialogue.not_before, id.clone()));
        } else {
            self.make_ready(id);
        }
    }

    fn make_ready(&mut self, id: &DialogueId) {
        let dialogue = &self.dialogues[id];
        let all = self.room.ready.entry(dialogue.product).or_default();
        all.add(dialogue.rank(id), dialogue.lot, dialogue.width);
        let own = self.room.by_choice.entry((dialogue.first_choice, dialogue.product)).or_default();
        own.add(dialogue.rank(id), dialogue.lot, dialogue.width);
    }

    /// It does not wait any more, if it did.
    fn leave_room(&mut self, id: &DialogueId) {
        let Some(dialogue) = self.dialogues.get(id) else { return };
        self.room.by_end.remove(&(dialogue.end(), id.clone()));
        self.room.by_rest.remove(&(dialogue.rest(&self.figures), id.clone()));
        if !self.room.barred.remove(&(dialogue.not_before, id.clone())) {
            let (rank, own) = (dialogue.rank(id), (dialogue.first_choice, dialogue.product));
            if let Some(ranked) = self.room.ready.get_mut(&dialogue.product) {
                ranked.remove(&rank);
            }
            if let Some(ranked) = self.room.by_choice.get_mut(&own) {
                ranked.remove(&rank);
                if ranked.is_empty() {
                    self.room.by_choice.remove(&own);
                }
            }
        }
    }

    fn take(&mut self, id: &DialogueId) -> Option<Dialogue> {
        self.leave_room(id);
        let dialogue = self.dialogues.remove(id)?;
        self.by_answer.remove(&(dialogue.answer_by, id.clone()));
        Some(dialogue)
    }

    fn forget_caller(&mut self, key: &DialledKey) -> Option<(Duration, Duration)> {
        let (first, until) = self.callers.remove(key)?;
        self.by_until.remove(&(until, key.clone()));
        Some((first, until))
    }

    /// Room is short only where tenants together ask for about their quotas or more; then one whose part of
    /// the dialogues exceeds its part of the quotas is over by the difference, and chance says with which.
    fn beyond_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(TenantId(tenant)) = tenant.filter(|t| t.0 < self.demands.len()) else { return false };
        for (place, demand) in self.demands.iter_mut().enumerate() {
            demand.asked += NEWEST_DIALOGUE * (f64::from(place == tenant) - demand.asked);
        }
        let Demand { quota, asked } = self.demands[tenant];
        self.pcg.share() < 1.0 - quota / asked
    }

    /// Takes out a dialogue that does not stand, and remembers its caller while it may dial again.
    fn let_go(&mut self, id: &DialogueId, out: &mut dyn Signalling) {
        let Some(dialogue) = self.take(id) else { return };
        if dialogue.at.is_some() && !dialogue.called_off && self.figures.may_cancel {
            out.cancel(id, dialogue.last_launch());
        }
        let until = dialogue.first_dialled + self.figures.products[dialogue.product.0].redial_window;
        if let Some(key) = dialogue.key {
            self.forget_caller(&key);
            self.by_until.insert((until, key.clone()));
            self.callers.insert(key, (dialogue.first_dialled, until));
            if self.callers.len() > MOST_CALLERS
                && let Some((_, key)) = self.by_until.pop_first()
            {
                self.callers.remove(&key);
            }
        }
    }
}

impl Dialogue {
    fn last_launch(&self) -> LaunchNumber {
        LaunchNumber(self.launches.saturating_sub(1))
    }

    /// From then on it cannot stand within the promised time.
    fn end(&self) -> Duration {
        self.promised.min(self.answer_by)
    }

    /// The time from its next launch, were that not to be had sooner for want of a server, to its end.
    fn rest(&self, figures: &Figures) -> Duration {
        let spent = self.turned_back > 1 || self.launches >= figures.max_launches;
        if spent { Duration::ZERO } else { self.end().saturating_sub(self.not_before) }
    }

    fn rank(&self, id: &DialogueId) -> Rank {
        (Reverse(Real(self.gain)), Reverse(self.first_dialled), id.clone())
    }
}

/// Those whose time is no later than this.
fn up_to(times: &BTreeSet<(Duration, DialogueId)>, until: Duration) -> impl Iterator<Item = DialogueId> {
    times.iter().take_while(move |(at, _)| *at <= until).map(|(_, id)| id.clone())
}

impl Server {
    fn new(entry: &ListEntry, now: Duration, borne: f64, figures: Rc<Figures>, lot: u32) -> Self {
        Self {
            pcg: Pcg::new(lot.into()),
            limit: 1.0 + figures.headroom,
            figures,
            number: entry.number,
            listed: entry.state,
            started: Some(entry.started).filter(|s| !s.is_zero()),
            lot,
            told_free: None,
            placed_since: 0.0,
            out: Vec::new(),
            opens_at: Duration::ZERO,
            last_launch: Duration::ZERO,
            overflow_at: Duration::ZERO,
            last_sign: now,
            trial_at: None,
            failures: 0,
            usual: Duration::ZERO,
            spread: Duration::ZERO,
            borne,
            reckoned_at: now,
            placed: 0.0,
        }
    }

    /// Told free less own placed since; before any report it counts as having room.
    fn estimate(&self) -> f64 {
        self.told_free.map_or(f64::INFINITY, |free| free - self.placed_since)
    }

    /// It may be sent something new.
    fn open(&self, now: Duration) -> bool {
        let room = if self.trial_at.is_some() { 1.0 } else { self.limit.max(1.0) };
        self.listed == ServerState::Active
            && (self.in_turn().count() + 1) as f64 <= room
            && now >= self.trial_at.unwrap_or_default().max(self.opens_at)
            && now >= self.last_launch + self.cold_gap(self.last_launch)
    }

    /// Which dialogues it has room for: by their lots while its limit is a share, and by their width.
    fn takes(&self, now: Duration) -> impl Fn(f64, f64) -> bool {
        let tried = self.last_launch + self.gap(TRIAL_SHARE);
        let (estimate, limit, all) = (self.estimate(), self.limit, self.limit >= 1.0 || now >= tried);
        move |lot, width| estimate >= width && (all || lot < limit)
    }

    /// What others turn away comes to the emptiest from all at once: proxies take turns each gap, by lot,
    /// which lapse soon, else each had one saved up when a surge begins.
    fn takes_overflow(&self, now: Duration) -> bool {
        let turn =
            now.saturating_sub(self.overflow_at).as_secs_f64() / self.gap(OVERFLOW_SHARE).as_secs_f64();
        let turn = (turn + f64::from(self.lot) / f64::from(u32::MAX)).fract();
        self.borne == 0.0 || now >= self.overflow_at && turn < TURN.max(self.figures.headroom)
    }

    fn read(&mut self, now: Duration, report: &LoadReport) {
        let sane = |figure: Option<f64>| figure.filter(|f| (0.0..=MOST_TOLD).contains(f));
        let (free, all) = (sane(report.free_lines), sane(report.total_lines));
        if let Some(free) = free {
            (self.told_free, self.placed_since) = (Some(free), 0.0);
        }
        // A queue lasts as long as it takes at the told rate, else at the rate that the lines in use tell.
        let in_use = all.zip(free).filter(|_| self.figures.lasts > 0.0);
        let placed = in_use.map(|(all, free)| (all - free) / self.figures.lasts);
        let since = (now - self.reckoned_at).as_secs_f64();
        if let Some(placed) = placed.filter(|_| since >= RECKONING && self.cold_level(now).is_none()) {
            // What comes is what goes, at the mean length, and what the lines in use have grown by.
            let coming = placed + (placed - self.placed) * self.figures.lasts / since;
            if self.placed > 0.0 && coming > self.figures.surge * self.borne.max(LOWEST_RATE) {
                self.cut(now, Duration::ZERO);
            }
            self.borne = (self.borne * (-since / BORNE_SPAN).exp()).max(placed);
            (self.reckoned_at, self.placed) = (now, placed);
        }
        let rate = sane(report.rate).or(placed).filter(|rate| *rate > 0.0);
        let queue = sane(report.processor_queue).zip(rate).map(|(queue, rate)| queue / rate);
        if let Some(wait) = report.processor_wait.map(|wait| wait.as_secs_f64()).or(queue) {
            self.seen(now, Duration::from_secs_f64(wait.min(60.0)));
        }
    }

    fn launched(&mut self, now: Duration, id: &DialogueId, dialogue: &Dialogue) {
        self.placed_since += dialogue.width;
        self.last_launch = now;
        if dialogue.first_choice != self.number {
            self.overflow_at = now + self.gap(OVERFLOW_SHARE);
        }
        self.out.push(Out { dialogue: id.clone(), launch: dialogue.last_launch(), at: now, overtaken: None });
        if self.trial_at.is_some() {
            self.trial_at = Some(now + self.next_trial(0.5));
        }
    }

    fn take_out(&mut self, id: &DialogueId, launch: LaunchNumber) -> Option<Duration> {
        let place = self.out.iter().position(|o| o.dialogue == *id && o.launch == launch)?;
        Some(self.out.remove(place).at)
    }

    /// It has answered: a sign of life, and to a launch still out the end of any silence.
    fn answered(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, out: &mut dyn Signalling,
    ) -> Option<Duration> {
        self.last_sign = now;
        let at = self.take_out(id, launch);
        // The end of a standing dialogue breaks a silence too, but says nothing of set-ups that fail or jam.
        let silent = self.failures < FAILURES && self.limit >= 1.0;
        if (silent || at.is_some()) && self.trial_at.take().is_some() {
            self.limit = self.limit.min(1.0);
            let wait = at.map(|at| now - at);
            out.log(&format!("server {} back: a sign of life, answer after {wait:?}", self.number.0));
        }
        let at = at?;
        for earlier in self.out.iter_mut().filter(|o| o.at < at) {
            earlier.overtaken.get_or_insert(now);
        }
        self.failures = 0;
        Some(at)
    }

    fn learn(&mut self, now: Duration, wait: Duration) {
        if self.usual.is_zero() {
            (self.usual, self.spread) = (wait, wait / 2);
        }
        self.spread = self.spread.mul_f64(1.0 - NEWEST) + wait.abs_diff(self.usual).mul_f64(NEWEST);
        self.usual = self.usual.mul_f64(1.0 - NEWEST) + wait.mul_f64(NEWEST);
        if wait <= self.figures.ease || now - wait >= self.opens_at {
            self.seen(now, wait);
        }
    }

    /// A wait there, met or told: in ease the limit grows, else it falls.
    fn seen(&mut self, now: Duration, wait: Duration) {
        if wait <= self.figures.ease {
            // Below 1 an ease takes one cut back; above, a full round adds one, within the headroom.
            let most = (self.in_turn().count() + 1) as f64 + self.figures.headroom;
            self.limit = (self.limit / CUT).min(self.limit + 1.0 / self.limit).min(most).max(self.limit);
        } else if now >= self.opens_at {
            self.cut(now, wait - self.figures.ease);
        }
    }

    /// The design: full is zero free until its next report.
    fn full(&mut self, now: Duration, beyond: Duration) {
        self.told_free = Some(0.0);
        self.cut(now, beyond);
    }

    /// Strain: the limit falls, and what waits beyond the ease has time to be worked off; chance keeps the
    /// proxies from coming back as one.
    fn cut(&mut self, now: Duration, beyond: Duration) {
        self.limit = (self.limit * CUT).max(LOWEST_LIMIT);
        self.opens_at = self.opens_at.max(now + beyond.mul_f64(0.5 + self.pcg.share()));
    }

    /// The launches that are still in turn there, oldest first.
    fn in_turn(&self) -> impl Iterator<Item = &Out> {
        self.out.iter().filter(|o| o.overtaken.is_none())
    }

    /// The wait that nearly all answers stay within.
    fn ordinary(&self) -> Duration {
        self.usual + self.spread * 4
    }

    fn patience(&self) -> Duration {
        self.figures.silence.max(self.ordinary())
    }

    /// When a launch counts as lost: overtaken and past the ordinary wait; or, where nothing is sent again by
    /// itself, long unanswered without strain.
    fn lost_at(&self, launch: &Out) -> Duration {
        match launch.overtaken {
            // Not in the same breath: its answer may be the next input.
            Some(at) => (launch.at + self.ordinary()).max(at + self.figures.tick),
            None if self.limit >= 1.0 && self.figures.surge.is_infinite() => launch.at + self.patience(),
            None => Duration::MAX,
        }
    }

    fn set_aside(&mut self, now: Duration, why: &str, id: &ServerId, out: &mut dyn Signalling) {
        if self.trial_at.is_none() {
            self.trial_at = Some(now + self.next_trial(0.0));
            let (quiet, there) = (now - self.last_sign, self.out.len());
            let line = format!("server {} at {} set aside: {why}, {there} out", self.number.0, id.0);
            out.log(&format!("{line}, last sign {quiet:?} ago"));
        }
    }

    /// The share of its capacity that a server just started surely has; none once warm.
    fn cold_level(&self, now: Duration) -> Option<f64> {
        let warmed = now.saturating_sub(self.started?).as_secs_f64() / self.figures.warm_after.as_secs_f64();
        (warmed < 1.0).then_some(1.0 - (1.0 - self.figures.cold_share) * (1.0 - warmed))
    }

    /// Between launches of one proxy to a cold server.
    fn cold_gap(&self, now: Duration) -> Duration {
        let Some(level) = self.cold_level(now) else { return Duration::ZERO };
        // The mean that lies CHANCES of its roots below the most that is chance, budget + 2 x its root + 2.
        let budget = self.borne.max(LOWEST_RATE) * level * self.figures.cold_multiple;
        let most = budget + 2.0 * budget.sqrt() + 2.0;
        let mean = ((most + CHANCES * CHANCES / 4.0).sqrt() - CHANCES / 2.0).powi(2);
        self.figures.fall_within.mul_f64(self.figures.proxies / mean)
    }

    /// Between launches of one proxy, where all together are to send this share of what the server has borne.
    fn gap(&self, share: f64) -> Duration {
        let told = if self.borne > 0.0 { self.figures.proxies } else { 0.0 };
        Duration::from_secs_f64(told / (share * self.borne.max(1.0)))
    }

    /// To its next trial: chance keeps the proxies from trying as one.
    fn next_trial(&mut self, least: f64) -> Duration {
        self.figures.silence.max(self.gap(TRIAL_SHARE).mul_f64(least + self.pcg.share()))
    }
}
