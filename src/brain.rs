//! The decisions of one edge proxy: which core server takes a dialogue, and which dialogue is let go.
//!
//! The caller brings every input to [`Brain`] with the time since the start; `interface.rs` has the
//! words spoken both ways, and the brain acts through `Signalling` alone. After every input the rules
//! in `RULES` are gone through in order until none fires.
//!
//! The design: a dialogue goes to its first choice while that server qualifies, else to the qualifying
//! server with the most estimated free lines (told free less own placed since). Beside it stand:
//! 1. Limit: set-ups unanswered at a server, plus one for a full round in ease, cut by a share on strain.
//! 2. Waiting room: a dialogue that finds no server waits here, higher gain first, while it has hope.
//! 3. Silence: a server that answers nothing is set aside; one trial dialogue brings it back.
//! 4. Cold budget: launches to a server just started are spaced by what warm servers bear.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::interface::*;
use crate::pcg::Pcg;

/// A limit is cut to this share of itself.
const CUT: f64 = 0.7;
/// The limit of a server not yet known, and the lowest one; below 1 launches are spaced.
const FIRST_LIMIT: f64 = 2.0;
const LOWEST_LIMIT: f64 = 0.25;
/// The part of a cold server's budget that is used: the rest is for chance and for unequal proxies.
const COLD_MARGIN: f64 = 0.7;
/// The longest time between two trials of a server set aside.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// So many launches in a row that do not reach a server put it aside.
const MISSES: u32 = 2;
/// A slow server's patience grows to at most this many times the usual.
const LONGEST_DOUBT: u32 = 4;
/// Weight of the newest answer in a smoothed figure.
const NEWEST: f64 = 0.2;
/// Answers a second are smoothed over this time, in seconds, and the most borne fades over the other.
const RATE_SPAN: f64 = 5.0;
const BORNE_SPAN: f64 = 60.0;

/// The figures that decisions use, made from the route plan at start.
struct Figures {
    products: Vec<Worth>,
    tick: Duration,
    release: Duration,
    /// A wait above this cuts a limit.
    ease: Duration,
    /// No sign of life for this long while a launch is out is silence, whatever the usual wait.
    silence: Duration,
    max_launches: u32,
    marks_again: bool,
    may_cancel: bool,
    come_back: Option<Duration>,
    cold_share: f64,
    warm_after: Duration,
    /// Seconds' worth of a server's present capacity that may be sent at once while it is cold.
    cold_multiple: f64,
}

struct Worth {
    promised: Duration,
    patience: Duration,
    gain: f64,
    late_gain: f64,
    servers: Option<Vec<ServerNumber>>,
}

enum Mode {
    Serving,
    /// Silent or out of reach; a trial dialogue may go at the given time.
    Aside {
        trial_at: Duration,
        rest: Duration,
    },
}

/// All that is known of a core server.
struct Server {
    number: ServerNumber,
    listed: Listed,
    mode: Mode,
    /// When it last started, as far as is known; none: long ago.
    started: Option<Duration>,
    told_free: Option<f64>,
    placed_since: f64,
    /// Launches out, oldest first.
    out: Vec<Out>,
    limit: f64,
    cut_at: Duration,
    last_sign: Duration,
    /// Launches in a row that did not reach it, and whether such a run put it aside.
    misses: u32,
    was_down: bool,
    /// Times its patience: doubles with each silence that proves to be mere slowness.
    doubt: u32,
    last_launch: Duration,
    /// Smoothed time to an answer, its spread, and answers a second, all in seconds.
    usual: f64,
    spread: f64,
    rate: f64,
    rate_at: Duration,
    /// The most answers a second it has borne from here, its predecessor's of the same number included.
    borne: f64,
}

struct Out {
    dialogue: DialogueId,
    launch: LaunchNo,
    at: Duration,
}

struct Dialogue {
    product: usize,
    key: Option<DialledKey>,
    first_dialled: Duration,
    first_choice: ServerNumber,
    width: f64,
    promised: Duration,
    cut_off: Duration,
    gain: f64,
    turned_back: u32,
    launches: u32,
    /// Where its launch is out, and whether that was called off.
    at: Option<ServerId>,
    called_off: bool,
    /// Where its last launch was lost: taken again only where no other server qualifies.
    shunned: Option<ServerId>,
    not_before: Duration,
}

pub struct Brain {
    figures: Figures,
    servers: BTreeMap<ServerId, Server>,
    dialogues: BTreeMap<DialogueId, Dialogue>,
    /// Callers let go who may dial again: when they first dialled, and until when they may.
    let_go: BTreeMap<DialledKey, (Duration, Duration)>,
    now: Duration,
    /// Something beyond arrivals has changed since the rules were last gone through.
    look: bool,
    /// The next moment at which a rule may fire by time alone, and the alarm set for it.
    due: Option<Duration>,
    alarm_at: Option<Duration>,
    #[allow(dead_code)]
    pcg: Pcg,
}

type Rule = fn(&mut Brain, &mut dyn Signalling) -> bool;

/// Each rule is a condition and an effect and tells whether it fired.
const RULES: [Rule; 6] = [
    Brain::answer_at_the_cut_off,
    Brain::refuse_the_hopeless,
    Brain::set_the_silent_aside,
    Brain::call_off_at_the_silent,
    Brain::cut_on_a_long_wait,
    Brain::launch_the_best,
];

impl Brain {
    pub fn new(plan: RoutePlan, seed: u64) -> Self {
        let tightest = plan.products.iter().map(|p| p.promised).min().unwrap_or(Duration::MAX);
        let mut ease = tightest / 3;
        if !plan.resend.is_zero() {
            ease = ease.min(plan.resend * 4 / 5);
        }
        let products = plan.products.into_iter().map(|p| Worth {
            promised: p.promised,
            patience: p.patience,
            gain: p.gain,
            late_gain: p.gain * p.late_share,
            servers: p.servers,
        });
        let figures = Figures {
            products: products.collect(),
            tick: plan.tick,
            release: plan.release,
            ease,
            silence: tightest / 2,
            max_launches: plan.max_launches,
            marks_again: plan.marks_again,
            may_cancel: plan.may_cancel,
            come_back: Some(plan.longest_return).filter(|d| !d.is_zero()),
            cold_share: plan.cold_share,
            warm_after: plan.warm_after,
            cold_multiple: plan.fall_multiple * COLD_MARGIN,
        };
        Self {
            figures,
            servers: BTreeMap::new(),
            dialogues: BTreeMap::new(),
            let_go: BTreeMap::new(),
            now: Duration::ZERO,
            look: true,
            due: None,
            alarm_at: None,
            pcg: Pcg::new(seed),
        }
    }

    // Inputs

    /// The list of core servers, whole or only what changed.
    pub fn listed(&mut self, now: Duration, whole: bool, entries: &[ListEntry], out: &mut dyn Signalling) {
        self.clock(now);
        self.look = true;
        if whole {
            for server in self.servers.values_mut() {
                server.listed = Listed::Gone;
            }
        }
        for entry in entries {
            let started = Some(entry.since).filter(|s| !s.is_zero());
            let same = self.servers.values().filter(|s| s.number == entry.number);
            let borne = same.map(|s| s.borne).fold(0.0, f64::max);
            let fresh = || Server { borne, ..Server::new(entry, now) };
            let server = self.servers.entry(entry.server.clone()).or_insert_with(fresh);
            server.number = entry.number;
            server.listed = entry.listed;
            if started > server.started {
                // A new start under the old id: nothing learned before holds.
                let out = std::mem::take(&mut server.out);
                *server = Server { out, ..fresh() };
            }
        }
        // One that is gone is kept until another takes its number: what it bore tells of the next.
        let active: Vec<ServerNumber> =
            self.servers.values().filter(|s| s.listed == Listed::Active).map(|s| s.number).collect();
        let spent = |s: &Server| s.listed == Listed::Gone && s.out.is_empty() && active.contains(&s.number);
        self.servers.retain(|_, s| !spent(s));
        self.settle(out);
    }

    pub fn arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling) {
        self.clock(now);
        let worth = &self.figures.products[arrival.product.0];
        // A further try is measured from the first one: past the promised time little of its gain is left.
        let may_be_again = arrival.again || !self.figures.marks_again;
        let before = arrival.key.as_ref().filter(|_| may_be_again).and_then(|key| self.let_go.remove(key));
        let first_dialled = before.map_or(now, |(first, _)| first);
        let late = now >= first_dialled + worth.promised
            || (arrival.again && !arrival.came_back && before.is_none());
        let dialogue = Dialogue {
            product: arrival.product.0,
            key: arrival.key,
            first_dialled,
            first_choice: arrival.first_choice,
            width: arrival.width,
            promised: worth.promised + if late { now } else { first_dialled },
            cut_off: arrival.cut_off,
            gain: if late { worth.late_gain } else { worth.gain },
            turned_back: 0,
            launches: 0,
            at: None,
            called_off: false,
            shunned: None,
            not_before: now,
        };
        self.due = self.due.into_iter().chain([self.next_due_of(&dialogue)]).min();
        self.dialogues.insert(arrival.id, dialogue);
        self.settle(out);
    }

    /// The caller has left.
    pub fn left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling) {
        self.clock(now);
        if let Some(dialogue) = self.let_go(id)
            && dialogue.at.is_some()
            && !dialogue.called_off
            && self.figures.may_cancel
        {
            out.cancel(id, dialogue.last_launch());
        }
        self.settle(out);
    }

    /// A core server told of itself outside an answer to a dialogue.
    pub fn reported(
        &mut self, now: Duration, id: &ServerId, report: &LoadReport, asked: bool, out: &mut dyn Signalling,
    ) {
        self.clock(now);
        if let Some(server) = self.servers.get_mut(id) {
            if asked {
                server.last_sign = now;
            }
            server.read(report);
        }
        self.settle(out);
    }

    /// The dialogue stands.
    pub fn stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNo, server: &ServerId,
        out: &mut dyn Signalling,
    ) {
        self.clock(now);
        self.look = true;
        self.dialogues.remove(id);
        if let Some(at) = self.answered(id, launch, server, out) {
            let figures = &self.figures;
            let server = self.servers.get_mut(server).expect("it has answered");
            server.learn(now, now - at, figures);
        }
        self.settle(out);
    }

    /// A launch has ended without standing, or a standing dialogue has ended.
    pub fn ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling) {
        self.clock(now);
        self.look = true;
        match end.outcome {
            Outcome::Ended | Outcome::Fault | Outcome::TurnedBack => {
                self.answered(&end.dialogue, end.launch, &end.server, out);
            }
            _ => {
                self.servers.get_mut(&end.server).and_then(|s| s.take_out(&end.dialogue, end.launch));
            }
        }
        let rest = self.figures.silence;
        if let Some(server) = self.servers.get_mut(&end.server) {
            server.read(&end.report);
            match end.outcome {
                Outcome::TurnedBack => {
                    server.told_free = Some(0.0);
                    server.cut(now);
                }
                Outcome::NotSent => server.told_free = Some(0.0),
                Outcome::Unreachable => server.missed(now, rest, &end.server, out),
                _ => {}
            }
        }
        if end.closed {
            self.dialogues.remove(&end.dialogue);
        } else if let Some(dialogue) = self.dialogues.get_mut(&end.dialogue)
            && dialogue.at.as_ref() == Some(&end.server)
            && dialogue.last_launch() == end.launch
        {
            dialogue.at = None;
            dialogue.called_off = false;
            match end.outcome {
                // What it held may stay taken until the release (rule 5).
                Outcome::TimedOut | Outcome::BrokenOff | Outcome::CalledOff => {
                    dialogue.not_before = now + self.figures.release;
                    dialogue.shunned = Some(end.server);
                }
                Outcome::Unreachable => dialogue.shunned = Some(end.server),
                _ => dialogue.turned_back += 1,
            }
        }
        self.settle(out);
    }

    pub fn alarm(&mut self, now: Duration, _timer: TimerId, out: &mut dyn Signalling) {
        self.clock(now);
        self.look = true;
        self.alarm_at = None;
        self.settle(out);
    }

    /// A message of another edge proxy.
    pub fn heard(&mut self, now: Duration, _peer: PeerId, _message: &[u8], out: &mut dyn Signalling) {
        self.clock(now);
        self.settle(out);
    }

    fn clock(&mut self, now: Duration) {
        if now > self.now {
            self.look = true;
            self.let_go.retain(|_, (_, until)| *until > now);
        }
        self.now = now;
    }

    /// Goes through the rules until none fires, then sees to it that the next due moment is not missed.
    /// After an arrival at a moment already looked at, only the launching rule can fire.
    fn settle(&mut self, out: &mut dyn Signalling) {
        let rules = if self.look { &RULES[..] } else { &RULES[RULES.len() - 1..] };
        while rules.iter().any(|rule| rule(self, out)) {}
        if std::mem::take(&mut self.look) {
            self.due = self.next_due();
        }
        if let Some(due) = self.due
            && self.alarm_at.is_none_or(|alarm| due < alarm)
        {
            let after = due.saturating_sub(self.now).max(self.figures.tick);
            self.alarm_at = Some(self.now + after);
            out.set_timer(TimerId(0), after);
        }
    }

    fn next_due(&self) -> Option<Duration> {
        let f = &self.figures;
        let mut due: Vec<Duration> = self.dialogues.values().map(|d| self.next_due_of(d)).collect();
        let waiting = self.dialogues.values().any(|d| d.at.is_none());
        let warm_rate = self.warm_rate();
        for server in self.servers.values() {
            if let Some(oldest) = server.out.first() {
                due.push(server.last_sign.max(oldest.at) + server.patience(f));
                due.push(oldest.at + f.ease);
            }
            if waiting {
                due.push(server.next_launch(f, warm_rate));
            }
        }
        due.into_iter().filter(|d| *d > self.now).min()
    }

    fn next_due_of(&self, dialogue: &Dialogue) -> Duration {
        match dialogue.at {
            Some(_) => self.answer_by(dialogue),
            None if dialogue.not_before > self.now => dialogue.not_before,
            None => self.launch_by(dialogue).max(self.now + self.figures.tick),
        }
    }

    // Rules

    /// Rule 1: whatever else goes wrong, a dialogue is answered before the cut-off of its try.
    fn answer_at_the_cut_off(&mut self, out: &mut dyn Signalling) -> bool {
        let late = self.dialogues.iter().filter(|(_, d)| self.now >= self.answer_by(d));
        let late: Vec<_> = late.map(|(id, _)| id.clone()).collect();
        for id in &late {
            let dialogue = self.let_go(id).expect("just found");
            if dialogue.at.is_some() && !dialogue.called_off && self.figures.may_cancel {
                out.cancel(id, dialogue.last_launch());
            }
            out.fail(id);
        }
        !late.is_empty()
    }

    /// A dialogue that can no longer stand within the promised time is refused at once: what it would
    /// take is better spent on one that can.
    fn refuse_the_hopeless(&mut self, out: &mut dyn Signalling) -> bool {
        let hopeless = self.dialogues.iter().filter(|(_, d)| {
            d.at.is_none()
                && (self.now.max(d.not_before) >= self.launch_by(d)
                    || d.turned_back > 1
                    || d.launches >= self.figures.max_launches)
        });
        let hopeless: Vec<_> = hopeless.map(|(id, _)| id.clone()).collect();
        for id in &hopeless {
            self.let_go(id);
            out.refuse(id, self.figures.come_back);
        }
        !hopeless.is_empty()
    }

    /// Launches out and no sign of life: hung, cut off, or dead before the list tells.
    fn set_the_silent_aside(&mut self, out: &mut dyn Signalling) -> bool {
        let (now, f) = (self.now, &self.figures);
        for (id, server) in &mut self.servers {
            let Some(oldest) = server.out.first() else { continue };
            let silent = now >= server.last_sign.max(oldest.at) + server.patience(f);
            if silent && matches!(server.mode, Mode::Serving) {
                server.set_aside(now, f.silence, "silent", id, out);
                return true;
            }
        }
        false
    }

    /// What is out at a server set aside is called off after a second patience, to be launched elsewhere
    /// while there is hope: a slow server has answered by then, and what is called off may be work all the same.
    fn call_off_at_the_silent(&mut self, out: &mut dyn Signalling) -> bool {
        if !self.figures.may_cancel {
            return false;
        }
        for (id, dialogue) in &mut self.dialogues {
            let Some(server) = dialogue.at.as_ref().and_then(|at| self.servers.get(at)) else { continue };
            let Some(launch) = server.out.iter().find(|o| o.dialogue == *id) else { continue };
            let patience = server.patience(&self.figures);
            if matches!(server.mode, Mode::Aside { .. })
                && !dialogue.called_off
                && self.now >= launch.at + patience
                && self.now + self.figures.release < dialogue.promised
            {
                dialogue.called_off = true;
                out.cancel(id, dialogue.last_launch());
                return true;
            }
        }
        false
    }

    /// A launch unanswered past the ease cuts the limit without waiting for its answer.
    fn cut_on_a_long_wait(&mut self, _out: &mut dyn Signalling) -> bool {
        for server in self.servers.values_mut() {
            let Some(oldest) = server.out.first() else { continue };
            if oldest.at >= server.cut_at && self.now >= oldest.at + self.figures.ease {
                server.cut(self.now);
                return true;
            }
        }
        false
    }

    /// The dialogue of highest gain that waits, and has a server, is launched.
    fn launch_the_best(&mut self, out: &mut dyn Signalling) -> bool {
        let warm_rate = self.warm_rate();
        if !self.servers.values().any(|s| self.qualifies(s, 0.0, warm_rate)) {
            return false;
        }
        let mut waiting: Vec<(&DialogueId, &Dialogue)> =
            self.dialogues.iter().filter(|(_, d)| d.at.is_none() && self.now >= d.not_before).collect();
        waiting.sort_by(|(_, a), (_, b)| b.gain.total_cmp(&a.gain).then(b.promised.cmp(&a.promised)));
        let chosen = waiting.into_iter().find_map(|(id, d)| Some((id.clone(), self.choose(d)?)));
        let Some((id, server_id)) = chosen else { return false };
        let dialogue = self.dialogues.get_mut(&id).expect("just found");
        let time_out = dialogue.cut_off.saturating_sub(self.now);
        dialogue.launches += 1;
        dialogue.at = Some(server_id.clone());
        let server = self.servers.get_mut(&server_id).expect("just chosen");
        server.placed_since += dialogue.width;
        server.last_launch = self.now;
        if let Mode::Aside { trial_at, rest } = &mut server.mode {
            *rest = (*rest * 2).min(LONGEST_REST);
            *trial_at = self.now + *rest;
        }
        server.out.push(Out { dialogue: id.clone(), launch: dialogue.last_launch(), at: self.now });
        out.launch(&id, &server_id, time_out);
        true
    }

    /// Takes a dialogue out that does not stand, and remembers its caller while it may dial again.
    fn let_go(&mut self, id: &DialogueId) -> Option<Dialogue> {
        let dialogue = self.dialogues.remove(id)?;
        let until = dialogue.first_dialled + self.figures.products[dialogue.product].patience;
        if let Some(key) = dialogue.key.clone() {
            self.let_go.insert(key, (dialogue.first_dialled, until));
        }
        Some(dialogue)
    }

    // The design

    /// The first choice while it qualifies, else the qualifying server with most estimated free lines.
    fn choose(&self, dialogue: &Dialogue) -> Option<ServerId> {
        let able = &self.figures.products[dialogue.product].servers;
        let warm_rate = self.warm_rate();
        let qualifying = || {
            let fit = self
                .servers
                .iter()
                .filter(|(_, s)| able.as_ref().is_none_or(|able| able.contains(&s.number)));
            fit.filter(|(_, s)| self.qualifies(s, dialogue.width, warm_rate))
        };
        let shunned = |id: &ServerId| dialogue.shunned.as_ref() == Some(id);
        let first = qualifying().find(|(id, s)| s.number == dialogue.first_choice && !shunned(id));
        let most_free = || {
            qualifying().max_by(|(a_id, a), (b_id, b)| {
                shunned(b_id).cmp(&shunned(a_id)).then(a.estimate().total_cmp(&b.estimate()))
            })
        };
        first.or_else(most_free).map(|(id, _)| id.clone())
    }

    fn qualifies(&self, server: &Server, width: f64, warm_rate: f64) -> bool {
        let f = &self.figures;
        server.listed == Listed::Active
            && server.estimate() >= width
            && self.now >= server.next_launch(f, warm_rate)
            && match server.mode {
                Mode::Serving => server.out.is_empty() || (server.out.len() + 1) as f64 <= server.limit,
                Mode::Aside { .. } => server.out.is_empty(),
            }
    }

    // Figures that several rules share

    fn answer_by(&self, dialogue: &Dialogue) -> Duration {
        dialogue.cut_off.saturating_sub(self.figures.tick * 2)
    }

    /// A launch later than this would probably stand after the promised time.
    fn launch_by(&self, dialogue: &Dialogue) -> Duration {
        let serving = self.servers.values().filter(|s| matches!(s.mode, Mode::Serving));
        let usual = serving.map(|s| s.usual).fold(f64::INFINITY, f64::min);
        let usual = if usual.is_finite() { Duration::from_secs_f64(usual) } else { Duration::ZERO };
        dialogue.promised.min(self.answer_by(dialogue)).saturating_sub(usual)
    }

    /// Answers a second that this proxy has from a warm server: what the others see scales alike.
    fn warm_rate(&self) -> f64 {
        let warm = self.servers.values().filter(|s| s.cold_level(self.now, &self.figures).is_none());
        let borne: Vec<f64> = warm.map(|s| s.borne).collect();
        borne.iter().sum::<f64>() / borne.len().max(1) as f64
    }

    /// A server has answered a launch of this dialogue: a sign of life that ends any silence.
    fn answered(
        &mut self, id: &DialogueId, launch: LaunchNo, server: &ServerId, out: &mut dyn Signalling,
    ) -> Option<Duration> {
        let name = server;
        let server = self.servers.get_mut(server)?;
        let at = server.take_out(id, launch);
        server.last_sign = self.now;
        server.misses = 0;
        if let Mode::Aside { .. } = server.mode
            && at.is_some()
        {
            server.mode = Mode::Serving;
            server.limit = 1.0;
            if std::mem::take(&mut server.was_down) {
                // It has died and started before the list told, so it counts as cold from here.
                server.started = Some(self.now);
            }
            out.log(&format!("{} back after a trial of {:?}", name.0, self.now - at.unwrap_or_default()));
        }
        at
    }
}

impl Dialogue {
    fn last_launch(&self) -> LaunchNo {
        LaunchNo(self.launches.saturating_sub(1))
    }
}

impl Server {
    fn new(entry: &ListEntry, now: Duration) -> Self {
        Self {
            number: entry.number,
            listed: entry.listed,
            mode: Mode::Serving,
            started: Some(entry.since).filter(|s| !s.is_zero()),
            told_free: None,
            placed_since: 0.0,
            out: Vec::new(),
            limit: FIRST_LIMIT,
            cut_at: Duration::ZERO,
            last_sign: now,
            misses: 0,
            was_down: false,
            doubt: 1,
            last_launch: Duration::ZERO,
            usual: 0.0,
            spread: 0.0,
            rate: 0.0,
            rate_at: now,
            borne: 0.0,
        }
    }

    /// Told free less own placed since; before any report it counts as having room.
    fn estimate(&self) -> f64 {
        self.told_free.map_or(f64::INFINITY, |free| free - self.placed_since)
    }

    fn read(&mut self, report: &LoadReport) {
        if let Some(free) = report.free_lines {
            self.told_free = Some(free);
            self.placed_since = 0.0;
        }
    }

    fn take_out(&mut self, id: &DialogueId, launch: LaunchNo) -> Option<Duration> {
        let place = self.out.iter().position(|o| o.dialogue == *id && o.launch == launch)?;
        Some(self.out.remove(place).at)
    }

    /// A dialogue stood after this wait.
    fn learn(&mut self, now: Duration, wait: Duration, f: &Figures) {
        let w = wait.as_secs_f64();
        if self.usual == 0.0 {
            (self.usual, self.spread) = (w, w / 2.0);
        }
        self.spread += NEWEST * ((w - self.usual).abs() - self.spread);
        self.usual += NEWEST * (w - self.usual);
        self.rate = self.rate_now(now) + 1.0 / RATE_SPAN;
        let fall = (-(now - self.rate_at).as_secs_f64() / BORNE_SPAN).exp();
        self.borne = (self.borne * fall).max(self.rate);
        self.rate_at = now;
        if wait <= f.ease {
            self.doubt = 1;
            if (self.out.len() + 2) as f64 > self.limit {
                self.limit += self.limit.min(1.0 / self.limit);
            }
        } else if now - wait >= self.cut_at {
            self.cut(now);
        }
    }

    fn cut(&mut self, now: Duration) {
        self.limit = (self.limit * CUT).max(LOWEST_LIMIT);
        self.cut_at = now;
    }

    fn rate_now(&self, now: Duration) -> f64 {
        self.rate * (-(now - self.rate_at).as_secs_f64() / RATE_SPAN).exp()
    }

    /// How long it may keep silent.
    fn patience(&self, f: &Figures) -> Duration {
        f.silence.max(Duration::from_secs_f64(self.usual + 4.0 * self.spread)) * self.doubt
    }

    /// Out of reach. One miss may be chance; a run of them without an answer between is a server down.
    /// A set-up broken off is no miss: a server can do that to some and serve the rest well.
    fn missed(&mut self, now: Duration, rest: Duration, id: &ServerId, out: &mut dyn Signalling) {
        self.misses += 1;
        if self.misses >= MISSES {
            self.was_down = true;
            self.set_aside(now, rest, "out of reach", id, out);
        }
    }

    fn set_aside(
        &mut self, now: Duration, rest: Duration, why: &str, id: &ServerId, out: &mut dyn Signalling,
    ) {
        if matches!(self.mode, Mode::Serving) {
            self.doubt = (self.doubt * 2).min(LONGEST_DOUBT);
            self.mode = Mode::Aside { trial_at: now + rest, rest };
            out.log(&format!("{} set aside: {why}, {} out", id.0, self.out.len()));
        }
    }

    /// The share of its capacity that a server just started is sure to have; none once warm.
    fn cold_level(&self, now: Duration, f: &Figures) -> Option<f64> {
        let age = now.saturating_sub(self.started?);
        let warmed = age.as_secs_f64() / f.warm_after.as_secs_f64();
        (warmed < 1.0).then_some(f.cold_share + (1.0 - f.cold_share) * warmed)
    }

    /// The earliest moment that its trial, its cold budget or a limit below 1 leaves for a launch.
    fn next_launch(&self, f: &Figures, warm_rate: f64) -> Duration {
        let mut at = Duration::ZERO;
        if let Mode::Aside { trial_at, .. } = self.mode {
            at = trial_at;
        }
        if self.limit < 1.0 {
            at = at.max(self.last_launch + Duration::from_secs_f64(self.usual / self.limit));
        }
        if let Some(level) = self.cold_level(self.last_launch, f) {
            let rate = (warm_rate.max(self.borne) * level * f.cold_multiple).max(0.1);
            at = at.max(self.last_launch + Duration::from_secs_f64(1.0 / rate));
        }
        at
    }
}
