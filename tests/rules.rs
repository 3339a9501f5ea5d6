//! The five rules as properties: several proxies' decisions of one plan before simulated core servers that answer,
//! turn back, time out, reset, go silent, drain, vanish and come back cold; what is told comes late and twice. Each run
//! is drawn from a seed and checked at every decision. A failure names its seed; more of them, outside CI:
//! `LOTUSSADDLE_SEEDS=2000 cargo test --test rules`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;
use lotussaddle::pcg::Pcg;

const MS: Duration = Duration::from_millis(1);
/// Dials come until then; servers go on.
const DIALS_END: Duration = Duration::from_secs(12);
const FALL_WITHIN: Duration = Duration::from_secs(2);
/// Three launches at once tell nothing: the brief's slack for chance.
const SLACK: f64 = 3.0;

/// What was decided in one input, in order.
enum Deed {
    Launch(DialogueId, ServerId, Duration),
    Refuse(DialogueId),
    Fail(DialogueId),
    Cancel(DialogueId, LaunchNumber),
}

#[derive(Default)]
struct Deeds {
    done: Vec<Deed>,
    alarm: Option<Duration>,
}

impl Signalling for Deeds {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration) {
        self.done.push(Deed::Launch(dialogue.clone(), server.clone(), time_out));
    }
    fn refuse(&mut self, dialogue: &DialogueId, _: Option<Duration>) {
        self.done.push(Deed::Refuse(dialogue.clone()));
    }
    fn fail(&mut self, dialogue: &DialogueId) {
        self.done.push(Deed::Fail(dialogue.clone()));
    }
    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        self.done.push(Deed::Cancel(dialogue.clone(), launch));
    }
    fn set_timer(&mut self, _: TimerId, after: Duration) {
        self.alarm = Some(after);
    }
    fn log(&mut self, _: &str) {}
}

/// What comes to a proxy.
#[derive(Clone)]
enum Input {
    Dial(DialogueId),
    HangUp(DialogueId),
    Stood(DialogueId, LaunchNumber, ServerId, LoadReport),
    End(DialogueId, LaunchNumber, ServerId, Outcome, LoadReport),
    Report(ServerId, LoadReport),
    List(bool, Vec<ListEntry>),
    Alarm,
    GoOn,
}

enum Event {
    To(usize, Input),
    /// A launch reaches a core server.
    Reaches(usize, DialogueId, LaunchNumber, ServerId),
    /// A dialogue that stood there ends.
    Over(usize, DialogueId, LaunchNumber, ServerId, u32),
    Tell(ServerId),
    Trouble,
    NextDial,
}

struct Call {
    proxy: usize,
    arrival: Option<Arrival>,
    cut_off: Duration,
    answered: bool,
    left: bool,
    out: Option<(LaunchNumber, ServerId)>,
    stands: bool,
    launches: u32,
    doubt: Option<Duration>,
}

struct Proxy {
    brain: Brain,
    alarm: Option<Duration>,
    /// As it was told last, and the start that it knows of.
    told: BTreeMap<ServerId, (ServerState, Duration)>,
    still: bool,
    stood_still: Vec<(Duration, Duration)>,
    held_back: VecDeque<Input>,
}

struct Core {
    number: ServerNumber,
    life: u32,
    started: Option<Duration>,
    listed: ServerState,
    up: bool,
    hung: bool,
    /// The share of its answers that get lost, and of its launches that it fails.
    loses: f64,
    fails: f64,
    capacity: f64,
    slower: f64,
    lines: f64,
    free_at: Duration,
    standing: Vec<(usize, DialogueId, LaunchNumber)>,
    /// Launches since it started cold of proxies that know of the start.
    pressed: VecDeque<Duration>,
}

/// How often each rule was near enough to be broken.
#[derive(Clone, Debug, Default)]
struct Seen {
    answers: u64,
    by_cut_off: u64,
    relaunches: u64,
    after_doubt: u64,
    told_to_leave: u64,
    cold_launches: u64,
    most_cold: f64,
}

#[derive(Clone, Default)]
struct Verdict {
    broken: Vec<(u8, String)>,
    seen: Seen,
}

struct World {
    seed: u64,
    chance: Pcg,
    now: Duration,
    plan: RoutePlan,
    proxies: Vec<Proxy>,
    cores: BTreeMap<ServerId, Core>,
    calls: BTreeMap<DialogueId, Call>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    rate: f64,
    /// From then on nothing comes to any proxy but its alarms.
    mute_at: Duration,
    verdict: Verdict,
}

fn plan(chance: &mut Pcg, proxies: usize) -> RoutePlan {
    let mut pick = |all: &[u64]| all[chance.draw() as usize % all.len()];
    let products = (0..pick(&[1, 2, 3]))
        .map(|n| Product {
            promised: MS * pick(&[400, 900, 1500]) as u32,
            mean_duration: MS * 3000,
            redial_window: MS * 6000,
            gain: pick(&[1, 2, 6]) as f64,
            late_share: 0.25,
            servers: (n == 2).then(|| vec![ServerNumber(1), ServerNumber(0)]),
        })
        .collect();
    RoutePlan {
        proxies: proxies as u32,
        products,
        tenants: (0..pick(&[0, 2])).map(|n| Tenant { quota: (n + 1) as f64 * 10.0 }).collect(),
        over_quota_share: 0.2,
        tick: MS * pick(&[2, 10]) as u32,
        release_time: MS * pick(&[100, 300]) as u32,
        resend_after: MS * pick(&[0, 500]) as u32,
        max_launches: pick(&[2, 6]) as u32,
        callers_mark_retries: pick(&[0, 1]) == 1,
        may_cancel: pick(&[0, 1, 1]) == 1,
        max_retry_after: MS * pick(&[0, 2000]) as u32,
        cold_start_share: 0.35,
        warm_up_time: MS * 5000,
        overload_multiple: 2.5,
        overload_window: FALL_WITHIN,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut chance = Pcg::new(seed);
        let proxies = [1, 2, 4, 12, 40][chance.draw() as usize % 5];
        let fork = chance.draw().into();
        let fresh = || plan(&mut Pcg::new(fork), proxies);
        let proxy = |n| Proxy {
            brain: Brain::new(fresh(), seed << 8 | n as u64),
            alarm: None,
            told: BTreeMap::new(),
            still: false,
            stood_still: Vec::new(),
            held_back: VecDeque::new(),
        };
        let mute_at = if seed.is_multiple_of(3) { MS * (2000 + chance.draw() % 8000) } else { MS * 60_000 };
        let mut world = Self {
            seed,
            now: Duration::ZERO,
            plan: fresh(),
            proxies: (0..proxies).map(proxy).collect(),
            cores: BTreeMap::new(),
            calls: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            rate: 0.0,
            mute_at,
            verdict: Verdict::default(),
            chance,
        };
        for number in 0..2 + world.below(4) as i64 {
            let capacity = 10.0 + world.chance.share() * 30.0;
            world.rate += capacity;
            world.core(&format!("core-{number}"), number, capacity, None);
        }
        world.rate *= (0.3 + world.chance.share() * 0.7) * if world.restarts() { 2.0 } else { 1.0 };
        for proxy in 0..proxies {
            world.list(proxy, true);
        }
        world.at(MS * 50, Event::NextDial);
        world.at(MS * 500, Event::Trouble);
        world
    }

    /// On some days servers do nothing but drain, die and come back, and all are wanted more than they bear.
    fn restarts(&self) -> bool {
        self.seed % 4 == 1
    }

    fn below(&mut self, n: u32) -> u32 {
        self.chance.draw() % n
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// On its way to a proxy, now and then late, and now and then twice.
    fn send(&mut self, proxy: usize, input: Input, most: u32) {
        let twice = matches!(input, Input::List(..) | Input::Report(..) | Input::Stood(..) | Input::End(..));
        for _ in 0..1 + u32::from(twice && self.below(12) == 0) {
            let way = MS / 10 * (1 + self.below(20)) + MS * self.below(most.max(1));
            self.at(self.now + way, Event::To(proxy, input.clone()));
        }
    }

    fn core(&mut self, name: &str, number: i64, capacity: f64, started: Option<Duration>) {
        let core = Core {
            number: ServerNumber(number),
            life: 0,
            started,
            listed: ServerState::Active,
            up: true,
            hung: false,
            loses: 0.0,
            fails: 0.0,
            capacity,
            slower: 1.0,
            lines: capacity * 6.0,
            free_at: self.now,
            standing: Vec::new(),
            pressed: VecDeque::new(),
        };
        let id = ServerId(Arc::from(name));
        self.cores.insert(id.clone(), core);
        self.at(self.now + MS * 100, Event::Tell(id));
    }

    fn entry(&self, id: &ServerId) -> ListEntry {
        let core = &self.cores[id];
        let since = core.started.unwrap_or_default();
        ListEntry { server: id.clone(), number: core.number, state: core.listed, started: since }
    }

    fn list(&mut self, proxy: usize, whole: bool) {
        let gone = |core: &Core| whole && core.listed == ServerState::Gone;
        let ids: Vec<ServerId> =
            self.cores.iter().filter(|(_, core)| !gone(core)).map(|(id, _)| id.clone()).collect();
        let entries = ids.iter().map(|id| self.entry(id)).collect();
        self.send(proxy, Input::List(whole, entries), if whole { 1 } else { 900 });
    }

    fn list_all(&mut self) {
        for proxy in 0..self.proxies.len() {
            let whole = self.below(4) == 0;
            self.list(proxy, whole);
        }
    }

    fn broke(&mut self, rule: u8, what: String) {
        let at = self.now;
        self.verdict.broken.push((rule, format!("seed {} at {at:?}: {what}", self.seed)));
    }

    fn level(&self, core: &Core, now: Duration) -> f64 {
        let Some(started) = core.started else { return 1.0 };
        let warmed = (now - started).as_secs_f64() / self.plan.warm_up_time.as_secs_f64();
        (self.plan.cold_start_share + (1.0 - self.plan.cold_start_share) * warmed).min(1.0)
    }

    fn report(&self, core: &Core) -> LoadReport {
        LoadReport {
            free_lines: Some((core.lines - core.standing.len() as f64).max(0.0)),
            total_lines: Some(core.lines),
            processor_wait: (self.seed % 2 == 1).then(|| core.free_at.saturating_sub(self.now)),
            ..LoadReport::default()
        }
    }

    fn run(mut self) -> Verdict {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if at > DIALS_END * 5 {
                break; // Something is asked for again and again; it is told below.
            }
            match event {
                Event::To(proxy, input) => self.comes(proxy, input),
                Event::NextDial => self.next_dial(),
                Event::Trouble => self.trouble(),
                Event::Reaches(proxy, id, launch, server) => self.reaches(proxy, id, launch, &server),
                Event::Over(proxy, id, launch, server, life) => self.over(proxy, id, launch, &server, life),
                Event::Tell(server) => {
                    let Some(core) = self.cores.get(&server) else { continue };
                    let (report, silent) = (self.report(core), core.hung || !core.up);
                    for proxy in 0..self.proxies.len() {
                        if !silent {
                            let late = if self.below(10) == 0 { 900 } else { 5 };
                            self.send(proxy, Input::Report(server.clone(), report.clone()), late);
                        }
                    }
                    if self.now < DIALS_END {
                        self.at(self.now + MS * 300, Event::Tell(server));
                    }
                }
            }
        }
        let owed: Vec<String> = self
            .calls
            .iter()
            .filter(|(_, c)| !c.answered && !c.left)
            .map(|(id, _)| id.0.to_string())
            .collect();
        if !owed.is_empty() {
            self.broke(1, format!("never answered: {owed:?}"));
        }
        let mute = self.mute_at < self.now;
        // With nobody owed an answer nothing is held or waited for any more.
        let sizes: Vec<_> = self.proxies.iter().map(|p| (p.alarm.is_some(), p.brain.held_counts())).collect();
        if sizes
            .iter()
            .any(|(alarm, (dialogues, _, out, _))| *alarm || dialogues + if mute { 0 } else { *out } > 0)
        {
            self.broke(1, format!("something is left when all is answered: {sizes:?}"));
        }
        self.verdict
    }

    // The world

    fn next_dial(&mut self) {
        if self.now >= DIALS_END || self.now >= self.mute_at {
            return;
        }
        let burst = if (self.now.as_millis() / 1500).is_multiple_of(4) { 2.0 } else { 1.0 };
        let gap = -(1.0 - self.chance.share()).ln() / (self.rate * burst);
        self.at(self.now + Duration::from_secs_f64(gap), Event::NextDial);
        let proxy = self.below(self.proxies.len() as u32) as usize;
        let id = DialogueId(Arc::from(format!("d{}", self.calls.len())));
        let left = MS * [5, 40, 400, 1500, 3000, 3000][self.below(6) as usize];
        let arrival = Arrival {
            id: id.clone(),
            key: (self.below(4) > 0).then(|| DialledKey(Arc::from(format!("k{}", self.chance.draw() % 300)))),
            product: ProductId(self.chance.draw() as usize % self.plan.products.len()),
            tenant: (!self.plan.tenants.is_empty()).then(|| TenantId(self.chance.draw() as usize % 2)),
            first_choice: ServerNumber(self.below(7).into()),
            width: [1.0, 1.0, 2.0][self.below(3) as usize],
            dialled_at: self.now,
            cut_off: self.now + left,
            is_retry: self.below(5) == 0,
            redialled_after_cut: self.below(20) == 0,
        };
        let call = Call {
            proxy,
            arrival: Some(arrival),
            cut_off: self.now + left,
            answered: false,
            left: false,
            out: None,
            stands: false,
            launches: 0,
            doubt: None,
        };
        self.calls.insert(id.clone(), call);
        self.at(self.now, Event::To(proxy, Input::Dial(id.clone())));
        if self.below(8) == 0 {
            let after = left.mul_f64(self.chance.share());
            self.at(self.now + after, Event::To(proxy, Input::HangUp(id)));
        }
    }

    fn trouble(&mut self) {
        if self.now >= DIALS_END {
            return;
        }
        let next = self.now + MS * (100 + self.below(1200));
        self.at(next, Event::Trouble);
        let ids: Vec<ServerId> = self.cores.keys().cloned().collect();
        let id = ids[self.below(ids.len() as u32) as usize].clone();
        let now = self.now;
        let draw = if self.restarts() { 5 + self.below(3) } else { self.below(10) };
        let share = self.chance.share();
        let core = self.cores.get_mut(&id).expect("it is there");
        match draw {
            0 => core.hung = !core.hung,
            1 => core.loses = share / 2.0,
            2 => core.fails = if share < 0.2 { 1.0 } else { share / 3.0 },
            3 => core.slower = 1.0 + share * 6.0,
            4 => (core.loses, core.fails, core.slower, core.hung) = (0.0, 0.0, 1.0, false),
            5 if core.listed == ServerState::Active => core.listed = ServerState::Draining,
            // It dies; or comes back cold, under its own id or as another machine of its number.
            5 | 6 if core.up => self.dies(&id),
            5..=7 if !core.up => {
                let (number, capacity) = (core.number.0, core.capacity);
                if share < 0.6 {
                    (core.up, core.hung, core.listed) = (true, false, ServerState::Active);
                    (core.started, core.free_at, core.slower) = (Some(now), now, 1.0);
                    core.pressed.clear();
                } else {
                    core.listed = ServerState::Gone;
                    let name = format!("core-{number}-{}", self.count);
                    self.core(&name, number, capacity, Some(now));
                }
            }
            8 => {
                let proxy = self.below(self.proxies.len() as u32) as usize;
                let until = now + MS * (50 + self.chance.draw() % 1500);
                if !self.proxies[proxy].still {
                    self.proxies[proxy].still = true;
                    self.proxies[proxy].stood_still.push((now, until));
                    self.at(until, Event::To(proxy, Input::GoOn));
                }
            }
            _ => {}
        }
        self.list_all();
    }

    fn dies(&mut self, id: &ServerId) {
        let core = self.cores.get_mut(id).expect("it is there");
        (core.up, core.life) = (false, core.life + 1);
        let resets = self.chance.draw().is_multiple_of(2);
        let cut = std::mem::take(&mut self.cores.get_mut(id).expect("it is there").standing);
        let none = LoadReport::default;
        for (proxy, dialogue, launch) in cut {
            self.send(proxy, Input::End(dialogue, launch, id.clone(), Outcome::BrokenOff, none()), 1);
        }
        if resets {
            let out = self.calls.iter().filter_map(|(dialogue, call)| {
                let (launch, at) = call.out.as_ref().filter(|(_, at)| at == id)?;
                Some((call.proxy, dialogue.clone(), *launch, at.clone()))
            });
            for (proxy, dialogue, launch, at) in out.collect::<Vec<_>>() {
                self.send(proxy, Input::End(dialogue, launch, at, Outcome::BrokenOff, none()), 1);
            }
        }
    }

    fn reaches(&mut self, proxy: usize, id: DialogueId, launch: LaunchNumber, server: &ServerId) {
        let draw = self.chance.share();
        let busy = self.below(60) == 0;
        let now = self.now;
        let Some(core) = self.cores.get(server) else { return };
        if !core.up {
            if draw < 0.5 {
                let end = Input::End(id, launch, server.clone(), Outcome::Unreachable, LoadReport::default());
                self.send(proxy, end, 1);
            }
            return;
        }
        if core.hung || draw < core.loses / 2.0 {
            return;
        }
        let report = self.report(core);
        let wait = core.free_at.saturating_sub(now);
        let outcome = if draw < core.loses {
            Some(Outcome::BrokenOff)
        } else if draw < core.loses + core.fails {
            Some(Outcome::Fault)
        } else if busy {
            Some(Outcome::NumberBusy)
        } else if core.standing.len() as f64 >= core.lines {
            Some(Outcome::NoFreeLine)
        } else {
            (wait > MS * 900).then_some(Outcome::TurnedBack)
        };
        if let Some(outcome) = outcome {
            return self.send(proxy, Input::End(id, launch, server.clone(), outcome, report), 3);
        }
        let takes = core.slower / (core.capacity * self.level(core, now));
        let life = core.life;
        let core = self.cores.get_mut(server).expect("it is there");
        core.free_at = core.free_at.max(now) + Duration::from_secs_f64(takes);
        core.standing.push((proxy, id.clone(), launch));
        let answer = core.free_at;
        self.at(answer, Event::To(proxy, Input::Stood(id.clone(), launch, server.clone(), report)));
        let lasts = -(1.0 - self.chance.share()).ln() * 3.0;
        self.at(
            answer + Duration::from_secs_f64(lasts),
            Event::Over(proxy, id, launch, server.clone(), life),
        );
    }

    fn over(&mut self, proxy: usize, id: DialogueId, launch: LaunchNumber, server: &ServerId, life: u32) {
        let Some(core) = self.cores.get_mut(server).filter(|core| core.life == life) else { return };
        core.standing.retain(|(_, there, no)| (there, *no) != (&id, launch));
        let report = self.report(&self.cores[server]);
        self.send(proxy, Input::End(id, launch, server.clone(), Outcome::Ended, report), 1);
    }

    // The shell of a proxy

    fn comes(&mut self, place: usize, input: Input) {
        let proxy = &mut self.proxies[place];
        if let Input::GoOn = input {
            proxy.still = false;
            for input in std::mem::take(&mut proxy.held_back) {
                self.bring(place, input);
            }
            return;
        }
        if proxy.still {
            return proxy.held_back.push_back(input);
        }
        // From some moment on nothing comes but the alarms that were asked for, not even a time-out.
        if matches!(input, Input::Alarm) || self.now < self.mute_at {
            self.bring(place, input);
        }
    }

    fn bring(&mut self, place: usize, input: Input) {
        let (now, mut deeds) = (self.now, Deeds::default());
        let brain = &mut self.proxies[place].brain;
        match input {
            Input::Dial(id) => {
                let call = self.calls.get_mut(&id).expect("it was dialled");
                if let Some(arrival) = call.arrival.take_if(|_| !call.left) {
                    brain.dialogue_arrived(now, arrival, &mut deeds);
                }
            }
            Input::HangUp(id) => {
                let call = self.calls.get_mut(&id).expect("it was dialled");
                if !call.answered {
                    call.left = true;
                    brain.caller_left(now, &id, &mut deeds);
                }
            }
            Input::Report(server, report) => brain.load_reported(now, &server, &report, &mut deeds),
            Input::Stood(id, launch, server, report) => {
                let call = self.calls.get_mut(&id).expect("it was dialled");
                if call.out.as_ref() == Some(&(launch, server.clone())) {
                    call.out = None;
                    if call.answered || call.left {
                        // No answer is owed: it is let go, and the launch was called off in the moment it stood.
                        let outcome = Outcome::Cancelled;
                        let end = LaunchEnd { dialogue: id, launch, server, outcome, closed: true, report };
                        brain.launch_ended(now, end, &mut deeds);
                    } else {
                        call.stands = true;
                        self.answers(&id);
                        let brain = &mut self.proxies[place].brain;
                        brain.dialogue_stands(now, &id, launch, &server, &mut deeds);
                        brain.load_reported(now, &server, &report, &mut deeds);
                    }
                }
            }
            Input::End(id, launch, server, outcome, report) => {
                let call = self.calls.get_mut(&id).expect("it was dialled");
                let out = call.out.as_ref() == Some(&(launch, server.clone()));
                let over = call.stands && matches!(outcome, Outcome::Ended | Outcome::BrokenOff);
                if out || over {
                    use Outcome::{BrokenOff, Cancelled, TimedOut};
                    if out && matches!(outcome, TimedOut | BrokenOff | Cancelled) {
                        call.doubt = Some(now);
                    }
                    call.stands &= !over;
                    call.out = None;
                    let closed = call.answered || call.left;
                    let end = LaunchEnd { dialogue: id, launch, server, outcome, closed, report };
                    brain.launch_ended(now, end, &mut deeds);
                }
            }
            Input::List(whole, entries) => {
                let told = &mut self.proxies[place].told;
                if whole {
                    told.values_mut().for_each(|told| told.0 = ServerState::Gone);
                }
                for entry in &entries {
                    let since = told.get(&entry.server).map_or(Duration::ZERO, |told| told.1);
                    told.insert(entry.server.clone(), (entry.state, since.max(entry.started)));
                }
                let brain = &mut self.proxies[place].brain;
                brain.server_list_received(now, whole, &entries, &mut deeds);
            }
            Input::Alarm => {
                self.proxies[place].alarm = None;
                self.proxies[place].brain.timer_fired(now, TimerId(0), &mut deeds);
            }
            Input::GoOn => {}
        }
        if let Some(after) = deeds.alarm {
            self.proxies[place].alarm = Some(now + after);
            self.at(now + after, Event::To(place, Input::Alarm));
        }
        let mut called_off = Vec::new();
        for deed in deeds.done {
            match deed {
                Deed::Launch(id, server, time_out) => self.launched(place, &id, server, time_out),
                Deed::Refuse(id) | Deed::Fail(id) => self.answers(&id),
                Deed::Cancel(id, launch) => {
                    let out = self.calls[&id].out.clone().filter(|(out, _)| *out == launch);
                    called_off.extend(out.map(|(_, server)| (id, launch, server)));
                }
            }
        }
        // The end of a launch called off is the next input, not part of this one.
        for (id, launch, server) in called_off {
            self.bring(place, Input::End(id, launch, server, Outcome::Cancelled, LoadReport::default()));
        }
    }

    // The rules

    fn answers(&mut self, id: &DialogueId) {
        let now = self.now;
        let call = self.calls.get_mut(id).expect("it was dialled");
        let (again, late, left) = (call.answered, now > call.cut_off, call.left);
        call.answered = true;
        // Whoever stands still at a cut-off answers in the moment it goes on.
        let (proxy, cut_off) = (call.proxy, call.cut_off);
        let stalls = &self.proxies[proxy].stood_still;
        let excused = stalls.iter().any(|(from, to)| *from <= cut_off && cut_off <= *to && now <= *to);
        self.verdict.seen.answers += 1;
        self.verdict.seen.by_cut_off += u64::from(now + self.plan.tick * 3 >= self.calls[id].cut_off);
        if again {
            self.broke(1, format!("{} has a second answer", id.0));
        } else if left {
            self.broke(1, format!("{} is answered after its caller hung up", id.0));
        } else if late && !excused {
            self.broke(1, format!("{} is answered after its cut-off", id.0));
        }
    }

    fn launched(&mut self, place: usize, id: &DialogueId, server: ServerId, time_out: Duration) {
        let now = self.now;
        let call = self.calls.get_mut(id).expect("it was dialled");
        let launch = LaunchNumber(call.launches);
        let (out, stands) = (call.out.is_some(), call.stands);
        let (over, doubt) = (call.answered || call.left, call.doubt);
        call.launches += 1;
        call.out = Some((launch, server.clone()));
        self.verdict.seen.relaunches += u64::from(launch.0 > 0);
        if over {
            self.broke(1, format!("{} is launched after its answer", id.0));
        }
        if out || stands {
            self.broke(2, format!("{} is launched while another launch is out or stands", id.0));
        }
        let (listed, since) =
            self.proxies[place].told.get(&server).copied().unwrap_or((ServerState::Gone, now));
        let leaves = self.proxies[place].told.values().any(|(listed, _)| *listed == ServerState::Draining);
        self.verdict.seen.told_to_leave += u64::from(leaves);
        if listed != ServerState::Active {
            self.broke(3, format!("{} is launched at {}, told to be {listed:?}", id.0, server.0));
        }
        if let Some(doubt) = doubt {
            self.verdict.seen.after_doubt += 1;
            if now < doubt + self.plan.release_time {
                self.broke(5, format!("{} is launched {:?} after a launch in doubt", id.0, now - doubt));
            }
        }
        self.presses(&server, since);
        let until = now + time_out;
        let end = Input::End(id.clone(), launch, server.clone(), Outcome::TimedOut, LoadReport::default());
        self.at(until, Event::To(place, end));
        let way = MS / 10 * (1 + self.below(20));
        self.at(now + way, Event::Reaches(place, id.clone(), launch, server));
    }

    /// What all proxies together send a cold server that they know to be cold.
    fn presses(&mut self, server: &ServerId, known: Duration) {
        let now = self.now;
        let Some(core) = self.cores.get(server) else { return };
        let (level, capacity) = (self.level(core, now), core.capacity);
        if level >= 1.0 || core.started != Some(known) {
            return;
        }
        let core = self.cores.get_mut(server).expect("it is there");
        core.pressed.push_back(now);
        while core.pressed.front().is_some_and(|at| *at + FALL_WITHIN < now) {
            core.pressed.pop_front();
        }
        let most = self.plan.overload_multiple * level * capacity * FALL_WITHIN.as_secs_f64() + SLACK;
        let (sent, seen) = (core.pressed.len() as f64, &mut self.verdict.seen);
        seen.cold_launches += 1;
        seen.most_cold = seen.most_cold.max(sent / most);
        if sent > most {
            self.broke(4, format!("{} is sent {sent} within {FALL_WITHIN:?}, {most:.1} allowed", server.0));
        }
    }
}

/// The same runs for all properties.
fn verdict() -> &'static Verdict {
    static PLAYED: OnceLock<Verdict> = OnceLock::new();
    PLAYED.get_or_init(|| {
        let seeds = std::env::var("LOTUSSADDLE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(240);
        let workers: Vec<_> = (0..4u64)
            .map(|part| {
                let played = move || (part..seeds).step_by(4).map(|seed| World::new(seed).run()).collect();
                std::thread::spawn(played)
            })
            .collect();
        let mut all = Verdict::default();
        for worker in workers {
            let verdicts: Vec<Verdict> = worker.join().expect("a run panicked; its seed is above");
            for Verdict { broken, seen } in verdicts {
                all.broken.extend(broken);
                all.seen.answers += seen.answers;
                all.seen.by_cut_off += seen.by_cut_off;
                all.seen.relaunches += seen.relaunches;
                all.seen.after_doubt += seen.after_doubt;
                all.seen.told_to_leave += seen.told_to_leave;
                all.seen.cold_launches += seen.cold_launches;
                all.seen.most_cold = all.seen.most_cold.max(seen.most_cold);
            }
        }
        println!("{:?}", all.seen);
        all
    })
}

/// The runs in which this rule was broken, and whether it was near to be often enough to mean something.
fn holds(rule: u8, near: impl Fn(&Seen) -> bool) {
    let verdict = verdict();
    let broken: Vec<&String> = verdict.broken.iter().filter(|(r, _)| *r == rule).map(|(_, w)| w).collect();
    assert!(
        broken.is_empty(),
        "rule {rule} broken {} times: {:#?}",
        broken.len(),
        &broken[..broken.len().min(5)]
    );
    assert!(near(&verdict.seen), "the runs say little of rule {rule}: {:?}", verdict.seen);
}

#[test]
fn one_answer_before_the_cut_off_and_nothing_after() {
    holds(1, |seen| seen.answers > 50_000 && seen.by_cut_off > 1_000);
}

#[test]
fn never_two_launches_out() {
    holds(2, |seen| seen.relaunches > 2_000);
}

#[test]
fn nothing_new_to_a_server_told_to_drain_or_be_gone() {
    holds(3, |seen| seen.told_to_leave > 500);
}

#[test]
fn no_cold_server_is_pushed_over_by_all_proxies_together() {
    holds(4, |seen| seen.cold_launches > 5_000 && seen.most_cold > 0.4);
}

#[test]
fn no_relaunch_within_the_release_after_doubt() {
    holds(5, |seen| seen.after_doubt > 1_000);
}

// What no shell should bring, and what comes of it if one does.

fn arrival(id: &str, now: Duration, cut_off: Duration) -> Arrival {
    Arrival {
        id: DialogueId(Arc::from(id)),
        key: None,
        product: ProductId(0),
        tenant: None,
        first_choice: ServerNumber(0),
        width: 1.0,
        dialled_at: now,
        cut_off,
        is_retry: false,
        redialled_after_cut: false,
    }
}

fn entry(name: &str, number: i64, since: Duration) -> ListEntry {
    ListEntry {
        server: ServerId(Arc::from(name)),
        number: ServerNumber(number),
        state: ServerState::Active,
        started: since,
    }
}

fn brain() -> (Brain, Deeds) {
    let (mut brain, mut deeds) = (Brain::new(plan(&mut Pcg::new(1), 4), 7), Deeds::default());
    brain.server_list_received(
        MS * 1000,
        true,
        &[entry("a", 0, Duration::ZERO), entry("b", 1, Duration::ZERO)],
        &mut deeds,
    );
    (brain, deeds)
}

/// Answers given of these deeds, launches not counted.
fn answers(deeds: &Deeds) -> usize {
    deeds.done.iter().filter(|deed| matches!(deed, Deed::Refuse(_) | Deed::Fail(_))).count()
}

#[test]
fn a_clock_that_runs_back_is_taken_to_stand() {
    let (mut brain, mut deeds) = brain();
    brain.dialogue_arrived(MS * 1010, arrival("d1", MS * 1010, MS * 3000), &mut deeds);
    let (id, server) = (DialogueId(Arc::from("d1")), ServerId(Arc::from("a")));
    let report = LoadReport { free_lines: Some(5.0), total_lines: Some(9.0), ..LoadReport::default() };
    brain.load_reported(MS * 400, &server, &report, &mut deeds);
    brain.timer_fired(MS * 10, TimerId(0), &mut deeds);
    brain.dialogue_stands(MS * 20, &id, LaunchNumber(0), &server, &mut deeds);
    brain.dialogue_arrived(MS * 30, arrival("d2", MS * 30, MS * 900), &mut deeds);
    assert_eq!(answers(&deeds), 1, "the cut-off of d2 has passed");
}

#[test]
fn figures_that_are_no_figures_are_not_believed() {
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 1e308, 5e-324];
    for (place, figure) in odd.iter().flat_map(|figure| (0..5).map(move |place| (place, *figure))) {
        let (mut brain, mut deeds) = brain();
        let told = |at: usize| if at == place { Some(figure) } else { Some(40.0) };
        let wait = told(4).and_then(|w| Duration::try_from_secs_f64(w).ok()).filter(|_| place == 4);
        let report = LoadReport {
            free_lines: told(0),
            total_lines: told(1),
            processor_queue: told(2).filter(|_| place == 2),
            rate: told(3),
            processor_wait: wait,
            ..LoadReport::default()
        };
        for (n, server) in ["a", "b", "nobody's"].iter().cycle().take(12).enumerate() {
            let now = MS * (1000 + 600 * n as u32);
            brain.load_reported(now, &ServerId(Arc::from(*server)), &report, &mut deeds);
            brain.dialogue_arrived(now, arrival(&format!("d{n}"), now, now + MS * 3000), &mut deeds);
            // All that is launched stands at once, so that nothing but figures can be in the way.
            if let Some(Deed::Launch(id, server, _)) = deeds.done.pop() {
                brain.dialogue_stands(now + MS * 5, &id, LaunchNumber(0), &server, &mut deeds);
            }
        }
        let sane = LoadReport { free_lines: Some(30.0), total_lines: Some(40.0), ..LoadReport::default() };
        for server in ["a", "b"] {
            brain.load_reported(MS * 20_000, &ServerId(Arc::from(server)), &sane, &mut deeds);
        }
        deeds.done.clear();
        brain.dialogue_arrived(MS * 90_000, arrival("last", MS * 90_000, MS * 93_000), &mut deeds);
        let launched = deeds.done.iter().any(|deed| matches!(deed, Deed::Launch(..)));
        assert!(launched, "after {figure} in place {place} a sane report mends it");
    }
}

#[test]
fn a_product_nobody_planned_and_an_id_that_is_in_already() {
    let (mut brain, mut deeds) = brain();
    let unknown = Arrival { product: ProductId(9), ..arrival("d1", MS * 1010, MS * 3000) };
    brain.dialogue_arrived(MS * 1010, unknown, &mut deeds);
    assert_eq!(answers(&deeds), 1, "answered at once");
    // Nobody can take it, so that it waits; then it comes again, and its caller hangs up.
    brain.server_list_received(MS * 1010, true, &[], &mut deeds);
    brain.dialogue_arrived(MS * 1010, arrival("d2", MS * 1010, MS * 3000), &mut deeds);
    brain.dialogue_arrived(MS * 1011, arrival("d2", MS * 1011, MS * 2000), &mut deeds);
    brain.caller_left(MS * 1012, &DialogueId(Arc::from("d2")), &mut deeds);
    brain.server_list_received(MS * 1013, true, &[entry("a", 0, Duration::ZERO)], &mut deeds);
    brain.timer_fired(MS * 3500, TimerId(0), &mut deeds);
    assert_eq!(deeds.done.len(), 1, "no launch, no second answer");
}

#[test]
fn a_plan_of_nothing_and_times_without_end() {
    let mut nothing = plan(&mut Pcg::new(1), 0);
    (nothing.products, nothing.tenants) = (Vec::new(), vec![Tenant { quota: 0.0 }]);
    let (mut brain, mut deeds) = (Brain::new(nothing, 7), Deeds::default());
    brain.server_list_received(MS, true, &[entry("a", 0, MS)], &mut deeds);
    brain.dialogue_arrived(
        MS,
        Arrival { tenant: Some(TenantId(0)), ..arrival("d1", MS, MS * 50) },
        &mut deeds,
    );
    assert_eq!(answers(&deeds), 1);
    // No time between two inputs and no proxy, not even this one: alarms still come later than now, and a cold server
    // is still sent one launch at a time.
    let mut idle = plan(&mut Pcg::new(1), 0);
    idle.tick = Duration::ZERO;
    let (mut brain, mut deeds) = (Brain::new(idle, 7), Deeds::default());
    brain.server_list_received(MS * 100, true, &[entry("a", 0, MS * 100)], &mut deeds);
    for n in 0..3 {
        brain.dialogue_arrived(MS * 700, arrival(&format!("d{n}"), MS * 700, MS * 3000), &mut deeds);
    }
    assert!(deeds.alarm > Some(Duration::ZERO), "{:?}", deeds.alarm);
    let launched = deeds.done.iter().filter(|deed| matches!(deed, Deed::Launch(..))).count();
    assert!(launched <= 1, "{launched} launches at once");
    let mut endless = plan(&mut Pcg::new(1), 4);
    endless.release_time = Duration::MAX;
    for product in &mut endless.products {
        (product.promised, product.redial_window) = (Duration::MAX, Duration::MAX);
    }
    let (mut brain, mut deeds) = (Brain::new(endless, 7), Deeds::default());
    let tenant = Some(TenantId(usize::MAX));
    let key = Some(DialledKey(Arc::from("k")));
    let server = ServerId(Arc::from("a"));
    brain.server_list_received(MS, true, &[entry("a", 0, Duration::MAX)], &mut deeds);
    brain.dialogue_arrived(MS, Arrival { tenant, key, ..arrival("d1", MS, Duration::MAX) }, &mut deeds);
    let end = |outcome| LaunchEnd {
        dialogue: DialogueId(Arc::from("d1")),
        launch: LaunchNumber(0),
        server: server.clone(),
        outcome,
        closed: false,
        report: LoadReport::default(),
    };
    brain.launch_ended(MS * 2, end(Outcome::TimedOut), &mut deeds);
    brain.timer_fired(MS * 9, TimerId(0), &mut deeds);
    brain.caller_left(MS * 10, &DialogueId(Arc::from("d1")), &mut deeds);
    brain.timer_fired(MS * 11, TimerId(0), &mut deeds);
}

/// A server whose id is given to another number while launches are out there keeps them.
#[test]
fn a_renamed_server_keeps_its_launches() {
    let (mut brain, mut deeds) = brain();
    brain.dialogue_arrived(MS * 1010, arrival("d1", MS * 1010, MS * 3000), &mut deeds);
    brain.server_list_received(MS * 1020, false, &[entry("a", 5, Duration::ZERO)], &mut deeds);
    brain.server_list_received(MS * 1030, false, &[entry("a", 6, MS * 1025)], &mut deeds);
    let (id, server) = (DialogueId(Arc::from("d1")), ServerId(Arc::from("a")));
    brain.dialogue_stands(MS * 1040, &id, LaunchNumber(0), &server, &mut deeds);
    brain.timer_fired(MS * 4000, TimerId(0), &mut deeds);
    assert_eq!((deeds.done.len(), answers(&deeds)), (1, 0), "one launch, and it stands");
}

/// What is remembered of callers and of servers that came and went has an end.
#[test]
fn what_comes_and_goes_is_not_kept_for_ever() {
    let (mut brain, mut deeds) = brain();
    for n in 0..3000u32 {
        let now = MS * (1100 + 100 * n);
        let number = 100 + i64::from(n);
        brain.server_list_received(
            now,
            false,
            &[entry(&format!("s{n}"), number, Duration::ZERO)],
            &mut deeds,
        );
        brain.server_list_received(
            now,
            false,
            &[ListEntry { state: ServerState::Gone, ..entry(&format!("s{n}"), number, MS) }],
            &mut deeds,
        );
    }
    assert!(brain.held_counts().1 < 1000, "{:?}", brain.held_counts());
    // Callers that are let go at once, all within the time for which one is remembered.
    let now = MS * 400_000;
    for n in 0..200_100 {
        let key = Some(DialledKey(Arc::from(format!("k{n}"))));
        brain.dialogue_arrived(now, Arrival { key, ..arrival(&format!("c{n}"), now, now) }, &mut deeds);
    }
    assert_eq!(brain.held_counts().3, 200_000);
}
