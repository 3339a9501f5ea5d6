//! One dialogue at each stage of its set-up, combined with each event that can happen there, in virtual time with
//! simulated core servers. In every combination there is at most one answer, none after the cut-off or a hang-up, at most
//! one launch in progress, and no launch within the release time after one with an unknown outcome; in the end nothing is
//! held in the module, the edge proxy or the core servers. Stages of number look-ups are in `numbers.rs`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::{DialogueStep, Edge, EdgeEffects, Limits, LinkId, LogTopic};
use lotussaddle_standin::{CoreFigures, CoreServer, Floor, Reports, Strain};
use lotussaddle_trunk::*;

const MS: Duration = Duration::from_millis(1);
const RELEASE: Duration = Duration::from_millis(300);
/// Transit time of each message.
const TRANSIT_TIME: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The proxy has just started and holds its launches.
    OnHold,
    /// No server has a free line.
    Waiting,
    /// The launch was broken off; the dialogue waits for the release time.
    Blocked,
    /// The launch waits for a link that is being opened.
    Queued,
    Out,
    /// The answer of the core server is in transit to the proxy.
    Answering,
    /// The dialogue stands; its caller is notified once that is recorded.
    Recording,
    Standing,
    /// The caller has hung up.
    Releasing,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    HangsUp,
    /// The promised time passes, but not the cut-off.
    Promised,
    /// The core servers stop answering: the launch time-out and the cut-off pass.
    CutOff,
    /// The answer of the core server arrives at the instant of the launch time-out.
    TimeOut,
    /// The core servers stop answering, and the proxy stalls until launch time-out and cut-off have passed.
    Stall,
    CallerGone,
    CoreGone,
    /// The list reports that the servers drain.
    Drains,
    DialledAgain,
    DialledElsewhere,
    Killed,
}

use Event::*;
use Stage::*;

const STAGES: [Stage; 9] = [OnHold, Waiting, Blocked, Queued, Out, Answering, Recording, Standing, Releasing];
const EVENTS: [Event; 11] = [
    HangsUp,
    Promised,
    CutOff,
    TimeOut,
    Stall,
    CallerGone,
    CoreGone,
    Drains,
    DialledAgain,
    DialledElsewhere,
    Killed,
];

#[derive(Clone, Debug)]
enum Delivery {
    /// A frame to the edge proxy.
    ToEdge(LinkId, Frame),
    /// A frame to the core server of this name.
    ToCore(&'static str, LinkId, Frame),
    Recorded(u64),
}

/// The simulated network; checks the rules on everything that is sent.
#[derive(Default)]
struct Net {
    now: Duration,
    links: u64,
    records: Option<u64>,
    in_transit: BTreeMap<(Duration, u64), Delivery>,
    count: u64,
    cores: BTreeMap<LinkId, &'static str>,
    list: Option<LinkId>,
    closed: BTreeSet<LinkId>,
    /// Core servers send nothing any more.
    cores_muted: bool,
    /// Time at which the caller gives up or has hung up.
    answer_until: Duration,
    answers: Vec<(Duration, String)>,
    declined: usize,
    launched: Option<(LaunchNumber, LinkId)>,
    /// Since when the outcome of the last launch is unknown.
    unknown_since: Option<Duration>,
    launches: u32,
    violations: Vec<String>,
}

impl Net {
    fn deliver(&mut self, delivery: Delivery) {
        self.count += 1;
        self.in_transit.insert((self.now + TRANSIT_TIME, self.count), delivery);
    }

    fn violation(&mut self, what: impl Into<String>) {
        self.violations.push(format!("at {:?}: {}", self.now, what.into()));
    }

    fn launch_outcome_unknown(&mut self, link: LinkId) {
        if self.launched.is_some_and(|(_, launch_link)| launch_link == link) {
            (self.launched, self.unknown_since) = (None, Some(self.now));
        }
    }
}

impl EdgeEffects for Net {
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        if self.closed.contains(&link) {
            return false;
        }
        match &message.frame {
            Frame::Stands { .. } | Frame::Refused { .. } | Frame::Failed { .. } => {
                // An answer at the cut-off is in time.
                if self.now > self.answer_until {
                    self.violation(format!("answered late: {:?}", message.frame));
                }
                self.answers.push((self.now, format!("{:?}", message.frame)));
            }
            Frame::Declined { .. } => self.declined += 1,
            Frame::Launch(launch) => {
                self.launches += 1;
                if self.launched.is_some() {
                    self.violation("a second launch is in progress");
                }
                if self.unknown_since.is_some_and(|since| self.now < since + RELEASE) {
                    self.violation("launched within the release");
                }
                if !self.answers.is_empty() || self.now > self.answer_until {
                    self.violation("launched though no answer is owed");
                }
                self.launched = Some((launch.launch, link));
            }
            Frame::Cancel { launch, .. } if self.launched == Some((*launch, link)) => {
                self.launch_outcome_unknown(link)
            }
            _ => {}
        }
        if let Some(name) = self.cores.get(&link).copied() {
            self.deliver(Delivery::ToCore(name, link, message.frame));
        }
        true
    }

    fn connect(&mut self, address: &str) -> LinkId {
        self.links += 1;
        let link = LinkId(self.links);
        match address {
            "a" => drop(self.cores.insert(link, "a")),
            "b" => drop(self.cores.insert(link, "b")),
            _ => self.list = Some(link),
        }
        link
    }

    fn close(&mut self, link: LinkId, _why: &str) {
        self.closed.insert(link);
        self.launch_outcome_unknown(link);
    }

    fn record(&mut self, _: &DialogueId, step: DialogueStep) -> Option<u64> {
        if !matches!(step, DialogueStep::Answer { .. }) {
            return None;
        }
        let number = self.records? + 1;
        self.records = Some(number);
        self.deliver(Delivery::Recorded(number));
        Some(number)
    }

    fn log(&mut self, _: LogTopic, _: &str) {}
}

/// Delivers what core servers send to the edge proxy.
struct CoreOutput<'a>(&'a mut Net);

impl Floor for CoreOutput<'_> {
    fn say(&mut self, link: u64, message: Message) {
        if !self.0.cores_muted && !self.0.closed.contains(&LinkId(link)) {
            self.0.deliver(Delivery::ToEdge(LinkId(link), message.frame));
        }
    }
    fn close(&mut self, _: u64, _: bool) {}
    fn dial_in(&mut self, _: usize) {}
    fn mark(&mut self, _: &str) {}
}

struct World {
    net: Net,
    /// The caller's link that the dialogue belongs to.
    owner: u64,
    hung_up: bool,
    up: bool,
    edge: Option<Edge>,
    cores: BTreeMap<&'static str, CoreServer>,
}

fn figures(name: &str) -> CoreFigures {
    CoreFigures {
        name: Arc::from(name),
        set_up: MS * 30,
        answer: MS,
        release: MS,
        turn_back: MS,
        repeat: MS,
        lines: 10.0,
        longest_wait: MS * 900,
        resend: Duration::ZERO,
        finish_first: true,
        drops_cancelled: true,
        cold_share: 0.4,
        warm_after: MS * 1000,
        fall_multiple: 2.5,
        fall_within: MS * 2000,
        reports: Reports::default(),
        report_every: MS * 100,
        report_late: Duration::ZERO,
    }
}

fn plan(may_cancel: bool) -> RoutePlan {
    RoutePlan {
        proxies: 4,
        products: vec![Product {
            promised: MS * 700,
            mean_duration: MS * 8000,
            redial_window: MS * 3000,
            gain: 1.0,
            late_share: 0.25,
            servers: None,
        }],
        tenants: vec![],
        over_quota_share: 0.2,
        tick: MS * 5,
        release_time: RELEASE,
        resend_after: MS * if may_cancel { 0 } else { 500 },
        max_launches: 4,
        callers_mark_retries: true,
        may_cancel,
        max_retry_after: MS * 2000,
        cold_start_share: 0.4,
        warm_up_time: MS * 1000,
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
    }
}

fn id() -> DialogueId {
    DialogueId(Arc::from("d"))
}

impl World {
    fn new(may_cancel: bool, records: bool) -> Self {
        let limits = Limits {
            answer_record_timeout: if records { MS * 20 } else { Duration::ZERO },
            release_timeout: MS * 500,
            ..Limits::default()
        };
        let edge = Edge::new("edge-0", "list", plan(may_cancel), 7, limits);
        let cores = ["a", "b"].map(|name| (name, CoreServer::new(figures(name), 1))).into();
        let net = Net { answer_until: MS * 60_000, records: records.then_some(0), ..Net::default() };
        Self { net, owner: 100, hung_up: false, up: false, edge: Some(edge), cores }
    }

    /// Starts the proxy with the list, callers and, if `up`, the core servers.
    fn begin(&mut self, up: bool) {
        self.until(MS);
        let list = self.net.list.expect("the link to the list is opened first");
        self.edge(|edge, now, net| edge.link_connected(now, list, net));
        self.edge_receives(list, Frame::Hello(Hello::new(Role::List, Arc::from("list"))));
        self.list_sends(ServerState::Active);
        if up {
            self.cores_up();
        }
        for caller in [100, 101] {
            self.edge(|edge, now, net| edge.link_opened(now, LinkId(caller), net));
            self.edge_receives(LinkId(caller), Frame::Hello(Hello::new(Role::Caller, Arc::from("gateway"))));
        }
    }

    fn cores_up(&mut self) {
        if std::mem::replace(&mut self.up, true) {
            return;
        }
        let mut open = self.net.cores.clone();
        open.retain(|link, _| !self.net.closed.contains(link));
        for (link, name) in open {
            self.cores.get_mut(name).expect("a or b").linked(link.0, &mut CoreOutput(&mut self.net));
            self.edge(|edge, now, net| edge.link_connected(now, link, net));
        }
        let soon = self.net.now + MS * 8;
        self.until(soon);
    }

    fn list_sends(&mut self, state: ServerState) {
        let entry = |(number, name): (i64, &str)| Entry {
            server: ServerId(Arc::from(name)),
            number: ServerNumber(number),
            address: Arc::from(name),
            state,
            incarnation: 0,
            age: Duration::ZERO,
        };
        let entries = [(0, "a"), (1, "b")].map(entry).to_vec();
        self.edge_receives(self.net.list.expect("it is up"), Frame::List { is_complete: true, entries });
    }

    fn edge(&mut self, input: impl FnOnce(&mut Edge, Duration, &mut Net)) {
        if let Some(edge) = &mut self.edge {
            input(edge, self.net.now, &mut self.net);
        }
    }

    fn edge_receives(&mut self, link: LinkId, frame: Frame) {
        // For the rules an answer ends its launch when it is read.
        if let Frame::Stood { launch, .. } | Frame::TurnedBack { launch, .. } = &frame
            && self.net.launched == Some((*launch, link))
        {
            self.net.launched = None;
        } else if let Frame::BrokenOff { launch, .. } | Frame::Ended { launch, .. } = &frame
            && self.net.launched == Some((*launch, link))
        {
            self.net.launch_outcome_unknown(link);
        }
        self.edge(|edge, now, net| edge.frame_received(now, link, frame.into(), net));
    }

    fn dials(&mut self, link: u64, time_left: Duration) {
        let dial = Dial {
            dialogue: id(),
            key: Some(DialledKey(Arc::from("k"))),
            product: 0,
            tenant: None,
            first_choice: ServerNumber(0),
            width: 1.0,
            time_left,
            is_retry: false,
            redialled_after_cut: false,
            is_repeat: false,
            sent_at: None,
            try_of: None,
            dialled: None,
        };
        self.edge_receives(LinkId(link), Frame::Dial(dial));
    }

    /// Advances the time. While the proxy is stalled, its inputs are queued until it continues.
    fn pass(&mut self, time: Duration, is_stalled: bool) {
        loop {
            let in_transit = self.net.in_transit.keys().map(|(at, _)| *at).find(|_| !is_stalled);
            let cores = self.cores.values().filter_map(CoreServer::next_due);
            let edge = self.edge.as_ref().filter(|_| !is_stalled).map(|edge| edge.next_due());
            let Some(due) = cores.chain(edge).chain(in_transit).min().filter(|due| *due <= time) else {
                break;
            };
            self.net.now = self.net.now.max(due);
            let now = self.net.now;
            for core in self.cores.values_mut() {
                core.alarm(now, &mut CoreOutput(&mut self.net));
            }
            if let Some(entry) = self.net.in_transit.first_entry().filter(|e| !is_stalled && e.key().0 <= now)
            {
                match entry.remove() {
                    Delivery::ToEdge(link, frame) => self.edge_receives(link, frame),
                    Delivery::ToCore(name, link, frame) => {
                        let core = self.cores.get_mut(name).expect("a or b");
                        core.heard(now, link.0, frame.into(), &mut CoreOutput(&mut self.net));
                    }
                    Delivery::Recorded(number) => {
                        self.edge(|edge, now, net| edge.step_recorded(now, number, net))
                    }
                }
            } else if !is_stalled {
                self.edge(|edge, now, net| {
                    if edge.next_due() <= now {
                        edge.timer_fired(now, net);
                    }
                });
            }
        }
        self.net.now = time;
    }

    fn until(&mut self, time: Duration) {
        self.pass(time, false);
    }

    fn hangs_up(&mut self, link: u64) {
        let now = self.net.now;
        self.net.answer_until = self.net.answer_until.min(now);
        self.hung_up |= link == self.owner;
        self.edge_receives(LinkId(link), Frame::HangUp { dialogue: id() });
    }

    fn lose(&mut self, link: LinkId) {
        self.net.closed.insert(link);
        self.net.launch_outcome_unknown(link);
        self.edge(|edge, now, net| edge.link_closed(now, link, "broken", net));
        let now = self.net.now;
        for core in self.cores.values_mut() {
            core.lost(now, link.0);
        }
    }

    fn lose_cores(&mut self) {
        let open = self.net.cores.keys().filter(|link| !self.net.closed.contains(link));
        for link in open.copied().collect::<Vec<_>>() {
            self.lose(link);
        }
    }

    /// Brings the dialogue to this stage.
    fn reach(&mut self, stage: Stage) {
        if stage == OnHold {
            self.edge.as_mut().expect("it runs").hold_launches_until(RELEASE);
        }
        self.begin(stage != Queued);
        self.until(MS * 20);
        if stage == Waiting {
            for link in self.net.cores.keys().copied().collect::<Vec<_>>() {
                let report = LoadReport { free_lines: Some(0.0), ..LoadReport::default() };
                self.edge_receives(link, Frame::Report { report });
            }
        }
        let resets = Strain { lost: 1.0, lost_by_reset: true, ..Strain::default() };
        let strain = if stage == Blocked { resets } else { Strain::default() };
        self.cores.values_mut().for_each(|core| core.strain = strain.clone());
        self.net.answer_until = self.net.now + MS * 1500;
        self.dials(100, MS * 1500);
        match stage {
            OnHold | Waiting | Queued | Out => self.until(MS * 30),
            Blocked => {
                while self.net.unknown_since.is_none() {
                    let next = self.net.now + MS;
                    self.until(next);
                }
                self.cores.values_mut().for_each(|core| core.strain = Strain::default());
            }
            Answering => {
                let answers = |net: &Net| {
                    net.in_transit.values().any(|h| matches!(h, Delivery::ToEdge(_, Frame::Stood { .. })))
                };
                while !answers(&self.net) {
                    let next = self.net.now + MS;
                    self.until(next);
                }
            }
            Recording => {
                while !self.net.in_transit.values().any(|h| matches!(h, Delivery::Recorded(_))) {
                    let next = self.net.now + MS;
                    self.until(next);
                }
            }
            Standing | Releasing => {
                self.until(MS * 100);
                assert_eq!(self.net.answers.len(), 1, "the dialogue stands");
                if stage == Releasing {
                    self.hangs_up(100);
                }
            }
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            HangsUp => self.hangs_up(self.owner),
            Promised => self.until(self.net.now + MS * 700),
            CutOff => self.net.cores_muted = true,
            TimeOut => {
                self.net.cores_muted = true;
                let Some((launch, link)) = self.net.launched else { return };
                let due = self.edge.as_ref().expect("it runs").launch_deadline(&id()).expect("it is out");
                // The module would give up before the time-out, but not while the proxy is stalled.
                self.pass(due, true);
                let report = LoadReport::default();
                let out = self.net.launched == Some((launch, link));
                self.edge_receives(link, Frame::Stood { dialogue: id(), launch, report });
                // A time-out that is due counts, even if the answer is queued.
                if out && self.net.answers.iter().any(|(_, answer)| answer.contains("Stands")) {
                    self.net.violation("stands in the instant of its time-out");
                }
            }
            Stall => {
                self.net.cores_muted = true;
                let past = self.net.now + MS * 2000;
                // A stalled proxy answers when it continues.
                if self.net.answer_until > self.net.now {
                    self.net.answer_until = past;
                }
                self.pass(past, true);
            }
            CallerGone => {
                self.net.answer_until = self.net.answer_until.min(self.net.now);
                self.lose(LinkId(self.owner));
            }
            CoreGone => self.lose_cores(),
            Drains => self.list_sends(ServerState::Draining),
            DialledAgain => {
                let (declined, edge) = (self.net.declined, self.edge.as_ref());
                // A dialogue that was hung up and has not ended is neither accepted again nor left unanswered.
                let is_releasing = edge.is_some_and(|edge| edge.sizes().0 == 1)
                    && self.hung_up
                    && !self.net.closed.contains(&LinkId(self.owner));
                self.dials(self.owner, MS * 1500);
                if is_releasing && self.net.declined == declined {
                    self.net.violation("dialled again after a hang-up, and not declined");
                }
            }
            DialledElsewhere => {
                let declined = self.net.declined;
                self.dials(101, MS * 1500);
                if self.net.declined == declined {
                    self.owner = 101;
                }
            }
            Killed => {
                self.edge = None;
                self.lose_cores();
                self.net.answer_until = self.net.now;
            }
        }
        if event == Drains {
            // A link that opens late carries no new launch to a draining server.
            let launches = self.net.launches;
            self.until(self.net.now + MS * 100);
            self.cores_up();
            self.until(self.net.now + MS * 1000);
            if self.net.launches > launches {
                self.net.violation("launched at a draining server");
            }
        }
    }

    /// All callers hang up, and everything must have ended.
    fn finish(&mut self) {
        self.until(self.net.now + MS * 2000);
        self.net.cores_muted = false;
        for link in [100, 101] {
            if !self.net.closed.contains(&LinkId(link)) {
                self.hangs_up(link);
            }
        }
        self.until(self.net.now + MS * 3000);
        if self.net.answers.len() > 1 {
            let answers = format!("more than one answer: {:?}", self.net.answers);
            self.net.violation(answers);
        }
        for (name, core) in &self.cores {
            if core.used() > 0.0 || core.standing() > 0 {
                self.net.violations.push(format!("{name} has lines in use: {}", core.used()));
            }
        }
        if let Some(edge) = &self.edge {
            let (dialogues, _, out, _) = edge.decisions().held_counts();
            if (edge.sizes().0, edge.auxiliary_entries(), dialogues, out) != (0, 0, 0, 0) {
                self.net.violations.push(format!(
                    "left over: {} held, {} auxiliary entries, in the module {dialogues} dialogues, {out} launches",
                    edge.sizes().0,
                    edge.auxiliary_entries()
                ));
            }
        }
    }
}

#[test]
fn any_event_at_any_stage_keeps_the_rules_and_leaves_no_residue() {
    let mut violations = Vec::new();
    let mut played = 0;
    for (may_cancel, records) in [(true, false), (true, true), (false, false), (false, true)] {
        for stage in STAGES.into_iter().filter(|stage| *stage != Recording || records) {
            for event in EVENTS {
                // A second event shows state that the first left inconsistent.
                for then in [None, Some(HangsUp), Some(DialledAgain), Some(CoreGone), Some(CallerGone)] {
                    let mut world = World::new(may_cancel, records);
                    world.reach(stage);
                    world.apply(event);
                    if let Some(then) = then {
                        world.until(world.net.now + MS * 3);
                        world.apply(then);
                    }
                    world.finish();
                    played += 1;
                    let combination =
                        format!("{stage:?}, {event:?}, {then:?}, cancel {may_cancel}, records {records}");
                    violations
                        .extend(world.net.violations.iter().map(|what| format!("{combination}: {what}")));
                }
            }
        }
    }
    assert!(
        violations.is_empty(),
        "{} of {played} combinations: {:#?}",
        violations.len(),
        &violations[..violations.len().min(40)]
    );
}
