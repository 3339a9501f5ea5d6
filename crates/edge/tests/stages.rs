//! One dialogue at each stage of its way through setup, and all that can befall it there, in virtual time before the
//! stand-in of a core server. Whatever happens: one answer at most, none after the cut-off or a hang-up, never two
//! launches out, none within the release after one in doubt, and in the end nothing is held in the module, the edge
//! proxy or the core servers. NumberAnalysis that are looked up have their stages in `numbers.rs`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::{DialogueStep, Edge, EdgeEffects, Limits, LinkId, LogTopic};
use lotussaddle_standin::{CoreFigures, CoreServer, Floor, Reports, Strain};
use lotussaddle_trunk::*;

const MS: Duration = Duration::from_millis(1);
const RELEASE: Duration = Duration::from_millis(300);
const WAY: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The proxy has just started and launches nothing yet.
    Resting,
    /// No server has a free line.
    Waiting,
    /// Its launch was broken off; it waits for the release.
    Barred,
    /// Its launch waits for a link that is being made.
    Queued,
    Out,
    /// The answer of the core server is on its way to the proxy.
    Answering,
    /// It stands, and its caller is not told before that is recorded.
    Recording,
    Standing,
    /// Its caller has hung up.
    Releasing,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    HangsUp,
    /// The time it was promised within passes; its cut-off has not come.
    Promised,
    /// Nothing more comes from the core servers: its time-out and its cut-off pass.
    CutOff,
    /// The answer of the core server and the launch's time-out come in the same instant.
    TimeOut,
    /// The same, and the proxy stands still until they have passed.
    Stall,
    CallerGone,
    CoreGone,
    /// The list says that the servers drain.
    Drains,
    DialledAgain,
    DialledElsewhere,
    Killed,
}

use Event::*;
use Stage::*;

const STAGES: [Stage; 9] = [Resting, Waiting, Barred, Queued, Out, Answering, Recording, Standing, Releasing];
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
enum Happens {
    /// To the edge proxy.
    Heard(LinkId, Frame),
    /// To the core server of this name.
    Core(&'static str, LinkId, Frame),
    Recorded(u64),
}

/// What goes to and fro, and what the rules say to it.
#[derive(Default)]
struct Net {
    now: Duration,
    links: u64,
    records: Option<u64>,
    coming: BTreeMap<(Duration, u64), Happens>,
    count: u64,
    cores: BTreeMap<LinkId, &'static str>,
    list: Option<LinkId>,
    closed: BTreeSet<LinkId>,
    /// Core servers say nothing any more.
    mute: bool,
    /// When the caller gives up, or has hung up.
    over_at: Duration,
    answers: Vec<(Duration, String)>,
    declined: usize,
    out: Option<(LaunchNumber, LinkId)>,
    doubt: Option<Duration>,
    launches: u32,
    wrong: Vec<String>,
}

impl Net {
    fn send(&mut self, happens: Happens) {
        self.count += 1;
        self.coming.insert((self.now + WAY, self.count), happens);
    }

    fn wrong(&mut self, what: impl Into<String>) {
        self.wrong.push(format!("at {:?}: {}", self.now, what.into()));
    }

    fn in_doubt(&mut self, link: LinkId) {
        if self.out.is_some_and(|(_, over)| over == link) {
            (self.out, self.doubt) = (None, Some(self.now));
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
                // What arrives with the cut-off is in time.
                if self.now > self.over_at {
                    self.wrong(format!("answered late: {:?}", message.frame));
                }
                self.answers.push((self.now, format!("{:?}", message.frame)));
            }
            Frame::Declined { .. } => self.declined += 1,
            Frame::Launch(launch) => {
                self.launches += 1;
                if self.out.is_some() {
                    self.wrong("a second launch is out");
                }
                if self.doubt.is_some_and(|doubt| self.now < doubt + RELEASE) {
                    self.wrong("launched within the release");
                }
                if !self.answers.is_empty() || self.now > self.over_at {
                    self.wrong("launched though no answer is owed");
                }
                self.out = Some((launch.launch, link));
            }
            Frame::Cancel { launch, .. } if self.out == Some((*launch, link)) => self.in_doubt(link),
            _ => {}
        }
        if let Some(name) = self.cores.get(&link).copied() {
            self.send(Happens::Core(name, link, message.frame));
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
        self.in_doubt(link);
    }

    fn record(&mut self, _: &DialogueId, step: DialogueStep) -> Option<u64> {
        if !matches!(step, DialogueStep::Answer { .. }) {
            return None;
        }
        let number = self.records? + 1;
        self.records = Some(number);
        self.send(Happens::Recorded(number));
        Some(number)
    }

    fn log(&mut self, _: LogTopic, _: &str) {}
}

/// What a core server says on a link goes to the edge proxy.
struct Ends<'a>(&'a mut Net);

impl Floor for Ends<'_> {
    fn say(&mut self, link: u64, message: Message) {
        if !self.0.mute && !self.0.closed.contains(&LinkId(link)) {
            self.0.send(Happens::Heard(LinkId(link), message.frame));
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
        let net = Net { over_at: MS * 60_000, records: records.then_some(0), ..Net::default() };
        Self { net, owner: 100, hung_up: false, up: false, edge: Some(edge), cores }
    }

    /// List, core servers and callers are there; the proxy has started.
    fn begin(&mut self, up: bool) {
        self.until(MS);
        let list = self.net.list.expect("the list is asked first");
        self.edge(|edge, now, net| edge.link_connected(now, list, net));
        self.heard(list, Frame::Hello(Hello::new(Role::List, Arc::from("list"))));
        self.lists(ServerState::Active);
        if up {
            self.cores_up();
        }
        for caller in [100, 101] {
            self.edge(|edge, now, net| edge.link_opened(now, LinkId(caller), net));
            self.heard(LinkId(caller), Frame::Hello(Hello::new(Role::Caller, Arc::from("gateway"))));
        }
    }

    fn cores_up(&mut self) {
        if std::mem::replace(&mut self.up, true) {
            return;
        }
        let mut open = self.net.cores.clone();
        open.retain(|link, _| !self.net.closed.contains(link));
        for (link, name) in open {
            self.cores.get_mut(name).expect("a or b").linked(link.0, &mut Ends(&mut self.net));
            self.edge(|edge, now, net| edge.link_connected(now, link, net));
        }
        let soon = self.net.now + MS * 8;
        self.until(soon);
    }

    fn lists(&mut self, listed: ServerState) {
        let entry = |(number, name): (i64, &str)| Entry {
            server: ServerId(Arc::from(name)),
            number: ServerNumber(number),
            address: Arc::from(name),
            state: listed,
            incarnation: 0,
            age: Duration::ZERO,
        };
        let entries = [(0, "a"), (1, "b")].map(entry).to_vec();
        self.heard(self.net.list.expect("it is up"), Frame::List { is_complete: true, entries });
    }

    fn edge(&mut self, input: impl FnOnce(&mut Edge, Duration, &mut Net)) {
        if let Some(edge) = &mut self.edge {
            input(edge, self.net.now, &mut self.net);
        }
    }

    fn heard(&mut self, link: LinkId, frame: Frame) {
        // As the rules see it, an answer ends a launch in the moment it is read.
        if let Frame::Stood { launch, .. } | Frame::TurnedBack { launch, .. } = &frame
            && self.net.out == Some((*launch, link))
        {
            self.net.out = None;
        } else if let Frame::BrokenOff { launch, .. } | Frame::Ended { launch, .. } = &frame
            && self.net.out == Some((*launch, link))
        {
            self.net.in_doubt(link);
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
        self.heard(LinkId(link), Frame::Dial(dial));
    }

    /// Lets time pass; while the proxy stands still, what comes to it is read when it goes on.
    fn pass(&mut self, time: Duration, still: bool) {
        loop {
            let coming = self.net.coming.keys().map(|(at, _)| *at).find(|_| !still);
            let cores = self.cores.values().filter_map(CoreServer::next_due);
            let edge = self.edge.as_ref().filter(|_| !still).map(|edge| edge.next_due());
            let Some(due) = cores.chain(edge).chain(coming).min().filter(|due| *due <= time) else { break };
            self.net.now = self.net.now.max(due);
            let now = self.net.now;
            for core in self.cores.values_mut() {
                core.alarm(now, &mut Ends(&mut self.net));
            }
            if let Some(entry) = self.net.coming.first_entry().filter(|e| !still && e.key().0 <= now) {
                match entry.remove() {
                    Happens::Heard(link, frame) => self.heard(link, frame),
                    Happens::Core(name, link, frame) => {
                        let core = self.cores.get_mut(name).expect("a or b");
                        core.heard(now, link.0, frame.into(), &mut Ends(&mut self.net));
                    }
                    Happens::Recorded(number) => {
                        self.edge(|edge, now, net| edge.step_recorded(now, number, net))
                    }
                }
            } else if !still {
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
        self.net.over_at = self.net.over_at.min(now);
        self.hung_up |= link == self.owner;
        self.heard(LinkId(link), Frame::HangUp { dialogue: id() });
    }

    fn lose(&mut self, link: LinkId) {
        self.net.closed.insert(link);
        self.net.in_doubt(link);
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

    /// Brings the dialogue to a stage.
    fn reach(&mut self, stage: Stage) {
        if stage == Resting {
            self.edge.as_mut().expect("it runs").hold_launches_until(RELEASE);
        }
        self.begin(stage != Queued);
        self.until(MS * 20);
        if stage == Waiting {
            for link in self.net.cores.keys().copied().collect::<Vec<_>>() {
                let report = LoadReport { free_lines: Some(0.0), ..LoadReport::default() };
                self.heard(link, Frame::Report { report });
            }
        }
        let resets = Strain { lost: 1.0, lost_by_reset: true, ..Strain::default() };
        let strain = if stage == Barred { resets } else { Strain::default() };
        self.cores.values_mut().for_each(|core| core.strain = strain.clone());
        self.net.over_at = self.net.now + MS * 1500;
        self.dials(100, MS * 1500);
        match stage {
            Resting | Waiting | Queued | Out => self.until(MS * 30),
            Barred => {
                while self.net.doubt.is_none() {
                    let next = self.net.now + MS;
                    self.until(next);
                }
                self.cores.values_mut().for_each(|core| core.strain = Strain::default());
            }
            Answering => {
                let answers = |net: &Net| {
                    net.coming.values().any(|h| matches!(h, Happens::Heard(_, Frame::Stood { .. })))
                };
                while !answers(&self.net) {
                    let next = self.net.now + MS;
                    self.until(next);
                }
            }
            Recording => {
                while !self.net.coming.values().any(|h| matches!(h, Happens::Recorded(_))) {
                    let next = self.net.now + MS;
                    self.until(next);
                }
            }
            Standing | Releasing => {
                self.until(MS * 100);
                assert_eq!(self.net.answers.len(), 1, "it stands");
                if stage == Releasing {
                    self.hangs_up(100);
                }
            }
        }
    }

    fn befalls(&mut self, event: Event) {
        match event {
            HangsUp => self.hangs_up(self.owner),
            Promised => self.until(self.net.now + MS * 700),
            CutOff => self.net.mute = true,
            TimeOut => {
                self.net.mute = true;
                let Some((launch, link)) = self.net.out else { return };
                let due = self.edge.as_ref().expect("it runs").launch_deadline(&id()).expect("it is out");
                // The module gives up before; not where the proxy stands still until then.
                self.pass(due, true);
                let report = LoadReport::default();
                let out = self.net.out == Some((launch, link));
                self.heard(link, Frame::Stood { dialogue: id(), launch, report });
                // A time-out that has come is one, though the answer lies beside it.
                if out && self.net.answers.iter().any(|(_, answer)| answer.contains("Stands")) {
                    self.net.wrong("stands in the instant of its time-out");
                }
            }
            Stall => {
                self.net.mute = true;
                let past = self.net.now + MS * 2000;
                // A proxy that stands still answers when it goes on.
                if self.net.over_at > self.net.now {
                    self.net.over_at = past;
                }
                self.pass(past, true);
            }
            CallerGone => {
                self.net.over_at = self.net.over_at.min(self.net.now);
                self.lose(LinkId(self.owner));
            }
            CoreGone => self.lose_cores(),
            Drains => self.lists(ServerState::Draining),
            DialledAgain => {
                let (declined, edge) = (self.net.declined, self.edge.as_ref());
                // What was hung up and is not over yet is neither taken again nor left without a word.
                let over = edge.is_some_and(|edge| edge.sizes().0 == 1)
                    && self.hung_up
                    && !self.net.closed.contains(&LinkId(self.owner));
                self.dials(self.owner, MS * 1500);
                if over && self.net.declined == declined {
                    self.net.wrong("dialled again after a hang-up, and not declined");
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
                self.net.over_at = self.net.now;
            }
        }
        if event == Drains {
            // A link that comes up late brings nothing new to a server that drains.
            let launches = self.net.launches;
            self.until(self.net.now + MS * 100);
            self.cores_up();
            self.until(self.net.now + MS * 1000);
            if self.net.launches > launches {
                self.net.wrong("launched at a server told to drain");
            }
        }
    }

    /// In the end everybody hangs up, and all that was begun is over.
    fn ends(&mut self) {
        self.until(self.net.now + MS * 2000);
        self.net.mute = false;
        for link in [100, 101] {
            if !self.net.closed.contains(&LinkId(link)) {
                self.hangs_up(link);
            }
        }
        self.until(self.net.now + MS * 3000);
        if self.net.answers.len() > 1 {
            let answers = format!("more than one answer: {:?}", self.net.answers);
            self.net.wrong(answers);
        }
        for (name, core) in &self.cores {
            if core.used() > 0.0 || core.standing() > 0 {
                self.net.wrong.push(format!("{name} has lines in use: {}", core.used()));
            }
        }
        if let Some(edge) = &self.edge {
            let (dialogues, _, out, _) = edge.decisions().held_counts();
            if (edge.sizes().0, edge.auxiliary_entries(), dialogues, out) != (0, 0, 0, 0) {
                self.net.wrong.push(format!(
                    "left over: {} held, {} traces, in the module {dialogues} dialogues, {out} out",
                    edge.sizes().0,
                    edge.auxiliary_entries()
                ));
            }
        }
    }
}

#[test]
fn whatever_befalls_a_dialogue_at_any_stage_the_rules_hold_and_nothing_is_left() {
    let mut wrong = Vec::new();
    let mut played = 0;
    for (may_cancel, records) in [(true, false), (true, true), (false, false), (false, true)] {
        for stage in STAGES.into_iter().filter(|stage| *stage != Recording || records) {
            for event in EVENTS {
                // A second event after the first: what was mended halfway shows then.
                for then in [None, Some(HangsUp), Some(DialledAgain), Some(CoreGone), Some(CallerGone)] {
                    let mut world = World::new(may_cancel, records);
                    world.reach(stage);
                    world.befalls(event);
                    if let Some(then) = then {
                        world.until(world.net.now + MS * 3);
                        world.befalls(then);
                    }
                    world.ends();
                    played += 1;
                    let way =
                        format!("{stage:?}, {event:?}, {then:?}, cancel {may_cancel}, records {records}");
                    wrong.extend(world.net.wrong.iter().map(|what| format!("{way}: {what}")));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {played} ways: {:#?}", wrong.len(), &wrong[..wrong.len().min(40)]);
}
