//! Plays a day in virtual time, in one thread: the same edge proxies and the same world, with nothing real between
//! them. The same seed gives the same record, to the byte.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, bail};
use lotussaddle::brain::Brain;
use lotussaddle::interface::{DialogueId, RoutePlan};
use lotussaddle_edge::{Decisions, DialogueStep, Edge, EdgeEffects, Limits, LinkId, LogTopic};
use lotussaddle_fleet::{Effects, Member, PeerLink, Save, Stored};
use lotussaddle_judge::{Brief, Judge, Line, Verdict};
use lotussaddle_numbers::Tables;
use lotussaddle_serve::Proxy;
use lotussaddle_trunk::{Decoder, Frame, Message, decode_replica};

use crate::plan::Day;
use crate::world::{Ground, Place, World};

/// An answer may pass the cut-off by so much, as one that arrives with it.
pub const ANSWER_GRACE: Duration = Duration::from_millis(10);
/// All edge proxies are up and have the list by then.
const WARM_UP: Duration = Duration::from_millis(500);

/// How long an answer waits for its record at most.
pub const RECORD_WITHIN: Duration = Duration::from_millis(20);

/// A day whose clock does not move for so many steps would never end.
const MOST_STEPS_AT_ONE_TIME: usize = 100_000;

/// What an edge proxy is brought while it stands still.
enum Input {
    Linked(u64),
    Heard(u64, Message),
    PeerHeard(u64, Message),
    Lost(u64),
    Connected(u64),
    Recorded(u64),
    Loaded(String, Result<Arc<Tables>, String>),
    Replied(usize, Vec<u8>),
    PeerLinked(u64),
    PeerUp(u64),
    PeerLost(u64),
    Saved(u64, bool),
    Publish(String),
}

struct Seat<D> {
    /// None: killed.
    proxy: Option<Proxy<D>>,
    peers: PeerEnds,
    /// How fast its clock runs, and by how much that on the wall is off.
    rate: f64,
    wall: i64,
    /// When this life of it began.
    epoch: Duration,
    life: u64,
    still: bool,
    waiting: VecDeque<Input>,
}

impl<D> Seat<D> {
    /// Its own clock at a time of the day.
    fn clock(&self, now: Duration) -> Duration {
        let since = now.saturating_sub(self.epoch);
        if self.rate == 1.0 { since } else { since.mul_f64(self.rate) }
    }

    /// When its own clock shows this.
    fn at(&self, own: Duration) -> Duration {
        // Rounded up: it is to show that much then.
        let since = if self.rate == 1.0 { own } else { own.div_f64(self.rate) + Duration::from_micros(1) };
        self.epoch.saturating_add(since)
    }
}

/// What edge proxies have done, until the world has heard of it.
enum Deed {
    Came(u64, Place),
    Refused(usize, u64),
    Up(usize, u64),
    Said(u64, Message),
    Lost(u64),
    Asked(usize, usize, Vec<u8>),
    /// A link comes in at the gate for peers.
    PeerIn(usize, u64),
}

/// What a member does, until it is carried out.
enum PeerDeed {
    Say(u64, Frame),
    Connect(u16, u64),
    Close(u64),
    Save(Vec<Save>, u64),
    Log(String),
}

/// The effects of one member, as they are played.
#[derive(Default)]
struct PeerEnds {
    deeds: Vec<PeerDeed>,
    next: u64,
    /// There is a disk, and it takes more.
    disk: bool,
    open: BTreeSet<u64>,
}

impl Effects for PeerEnds {
    fn send(&mut self, link: PeerLink, frame: Frame) -> bool {
        let there = self.open.contains(&link.0);
        if there {
            self.deeds.push(PeerDeed::Say(link.0, frame));
        }
        there
    }

    fn connect(&mut self, member: u16) -> PeerLink {
        self.next += 1;
        self.open.insert(self.next);
        self.deeds.push(PeerDeed::Connect(member, self.next));
        PeerLink(self.next)
    }

    fn close(&mut self, link: PeerLink, _why: &str) {
        if self.open.remove(&link.0) {
            self.deeds.push(PeerDeed::Close(link.0));
        }
    }

    fn log(&mut self, line: &str) {
        self.deeds.push(PeerDeed::Log(line.into()));
    }

    fn has_disk(&self) -> bool {
        self.disk
    }

    fn save(&mut self, what: Vec<Save>, number: u64) -> bool {
        if self.disk {
            self.deeds.push(PeerDeed::Save(what, number));
        }
        self.disk
    }
}

/// What a member's disk holds: copies and lives.
#[derive(Clone, Debug, Default)]
struct DiskOf {
    copies: BTreeMap<DialogueId, Vec<u8>>,
    life: Option<u64>,
    asked: u64,
    count: u64,
    given: BTreeMap<u16, u64>,
    duties: Option<Vec<u8>>,
    fence: Option<Vec<u8>>,
}

impl DiskOf {
    fn save(&mut self, save: Save) {
        match save {
            Save::Replica(id, Some(bytes)) => drop(self.copies.insert(id, bytes)),
            Save::Replica(id, None) => drop(self.copies.remove(&id)),
            Save::Incarnation(life) => self.life = Some(life),
            Save::ProposedIncarnation(life) => self.asked = life,
            Save::WriteCount(count) => self.count = count,
            Save::GrantedIncarnation(member, life) => drop(self.given.insert(member, life)),
            Save::Duties(bytes) => self.duties = Some(bytes),
            Save::FencingTokens(bytes) => self.fence = Some(bytes),
        }
    }

    /// As `serve::remembered` reads it.
    fn read(&self) -> Stored {
        let copies = self.copies.values().filter_map(|bytes| decode_replica(bytes).ok()).collect();
        let given = self.given.iter().map(|(member, life)| (*member, *life)).collect();
        let (duties, fence) = (self.duties.clone(), self.fence.clone());
        Stored {
            incarnation: self.life,
            proposed_incarnation: self.asked,
            write_count: self.count,
            granted_incarnations: given,
            duties,
            fencing_tokens: fence,
            replicas: copies,
        }
    }
}

/// Tables on their way from the disk: to whom, in which life, which, and what they may be a change of.
type Loading = (usize, u64, String, Vec<Arc<Tables>>);

/// On its way to a disk.
struct ToDisk {
    edge: usize,
    life: u64,
    saves: Vec<Save>,
    number: u64,
}

/// The make-believe sockets.
struct Nets {
    next: u64,
    now: Duration,
    /// Each link's edge proxy.
    links: BTreeMap<u64, usize>,
    shut: Vec<bool>,
    deeds: VecDeque<Deed>,
    /// Inputs for edge proxies.
    inputs: VecDeque<(usize, Input)>,
    kills: VecDeque<(usize, bool)>,
    stalls: VecDeque<(usize, bool)>,
    logs: Vec<String>,
    /// Records on their way to the disk: when they are there, whose, in which life, which.
    recording: BTreeMap<(Duration, u64), (usize, u64, DialogueId)>,
    /// What each edge proxy finds when it starts again.
    recorded: Vec<BTreeSet<DialogueId>>,
    records: u64,
    loading: BTreeMap<(Duration, u64), Loading>,
    remembers: bool,
    lives: Vec<u64>,
    /// Links between members.
    peers: BTreeSet<u64>,
    /// What members save, on its way to the disk: whose, in which life, at which time of the wall.
    saving: BTreeMap<(Duration, u64), ToDisk>,
    /// A disk has had what it was given in order: nothing is had before that, and after a kill nothing of that life any more.
    busy: Vec<Duration>,
    torn: Vec<u64>,
    disks: Vec<DiskOf>,
    kept: Vec<DiskOf>,
    full: Vec<bool>,
    clocks: Vec<(f64, i64)>,
}

impl Ground for Nets {
    fn say(&mut self, link: u64, message: Message) {
        if let Some(edge) = self.links.get(&link) {
            // Whose link it is is told now: by the time that a stalled process reads it, it may be closed.
            let message = through_the_codec(&message);
            let peer = self.peers.contains(&link);
            let heard = if peer { Input::PeerHeard(link, message) } else { Input::Heard(link, message) };
            self.inputs.push_back((*edge, heard));
        }
    }

    fn close(&mut self, link: u64, _reset: bool) {
        if let Some(edge) = self.links.remove(&link) {
            let lost = if self.peers.remove(&link) { Input::PeerLost(link) } else { Input::Lost(link) };
            self.inputs.push_back((edge, lost));
        }
    }

    fn dial_peer(&mut self, edge: usize) -> u64 {
        self.next += 1;
        self.deeds.push_back(Deed::PeerIn(edge, self.next));
        self.next
    }

    fn keep_disk(&mut self, edge: usize) {
        self.kept[edge] = self.disks[edge].clone();
    }

    fn change_disk(&mut self, edge: usize, kept: bool) {
        self.disks[edge] = if kept { self.kept[edge].clone() } else { DiskOf::default() };
    }

    fn fill_disk(&mut self, edge: usize, full: bool) {
        self.full[edge] = full;
    }

    fn publish(&mut self, edge: usize, generation: &str) {
        self.inputs.push_back((edge, Input::Publish(generation.into())));
    }

    fn set_clocks(&mut self, edge: usize, rate: f64, wall: i64) {
        self.clocks[edge] = (rate, wall);
    }

    fn dial_in(&mut self, edge: usize) -> u64 {
        self.next += 1;
        self.deeds.push_back(Deed::Up(edge, self.next));
        self.next
    }

    fn open_core(&mut self, core: usize) -> String {
        self.shut.resize(self.shut.len().max(core + 1), false);
        format!("core:{core}")
    }

    fn shut_core(&mut self, core: usize, shut: bool) {
        self.shut[core] = shut;
    }

    fn drip(&mut self, _link: u64, _gap: Duration) -> bool {
        false
    }

    fn reply(&mut self, edge: usize, server: usize, datagram: Vec<u8>) {
        self.inputs.push_back((edge, Input::Replied(server, datagram)));
    }

    fn kill(&mut self, edge: usize) {
        self.kills.push_back((edge, true));
    }

    fn start(&mut self, edge: usize) {
        self.kills.push_back((edge, false));
    }

    fn stall(&mut self, edge: usize, still: bool) {
        self.stalls.push_back((edge, still));
    }
}

/// What is said passes as bytes, so that the codec is in the way here as it is on sockets.
fn through_the_codec(message: &Message) -> Message {
    let (mut bytes, mut decoder) = (Vec::new(), Decoder::default());
    message.encode(&mut bytes);
    decoder.feed(&bytes);
    decoder.next_frame().expect("a whole frame").expect("a frame that was written here")
}

/// The wires of one edge proxy.
struct Ends<'a> {
    nets: &'a mut Nets,
    edge: usize,
}

impl EdgeEffects for Ends<'_> {
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        let there = self.nets.links.contains_key(&link.0);
        if there {
            self.nets.deeds.push_back(Deed::Said(link.0, through_the_codec(&message)));
        }
        there
    }

    fn connect(&mut self, address: &str) -> LinkId {
        self.nets.next += 1;
        let link = self.nets.next;
        let place = match address.strip_prefix("core:").and_then(|n| n.parse().ok()) {
            Some(core) => Place::Core(core),
            None => Place::List,
        };
        if matches!(place, Place::Core(core) if self.nets.shut.get(core).is_none_or(|shut| *shut)) {
            self.nets.deeds.push_back(Deed::Refused(self.edge, link));
        } else {
            self.nets.links.insert(link, self.edge);
            self.nets.deeds.push_back(Deed::Came(link, place));
            self.nets.inputs.push_back((self.edge, Input::Connected(link)));
        }
        LinkId(link)
    }

    fn close(&mut self, link: LinkId, _why: &str) {
        if self.nets.links.remove(&link.0).is_some() {
            self.nets.deeds.push_back(Deed::Lost(link.0));
        }
    }

    fn record(&mut self, dialogue: &DialogueId, step: DialogueStep) -> Option<u64> {
        if !self.nets.remembers || !matches!(step, DialogueStep::Answer { .. }) {
            return None;
        }
        self.nets.records += 1;
        let number = self.nets.records;
        // Some disks are slower than others, and one now and then stands still for longer than is waited.
        let takes = if number.is_multiple_of(97) { 40_000 } else { 50 + number * 7919 % 400 };
        let at = self.nets.now + Duration::from_micros(takes);
        let life = self.nets.lives[self.edge];
        self.nets.recording.insert((at, number), (self.edge, life, dialogue.clone()));
        Some(number)
    }

    fn load_tables(&mut self, name: &str, bases: Vec<Arc<Tables>>) -> bool {
        self.nets.records += 1;
        let number = self.nets.records;
        let at = self.nets.now + Duration::from_millis(3 + number * 13 % 90);
        let life = self.nets.lives[self.edge];
        self.nets.loading.insert((at, number), (self.edge, life, name.into(), bases));
        true
    }

    fn send_look_up(&mut self, server: usize, datagram: &[u8]) {
        self.nets.deeds.push_back(Deed::Asked(self.edge, server, datagram.to_vec()));
    }

    fn log(&mut self, note: LogTopic, line: &str) {
        let (at, edge) = (self.nets.now.as_secs_f64(), self.edge);
        self.nets.logs.push(format!("{at:>10.6} edge-{edge} {note:?}: {line}"));
    }
}

/// How a day is played.
#[derive(Clone)]
pub struct Play {
    pub limits: Limits,
    /// Edge proxies remember over a kill what they have answered.
    pub remembers: bool,
    /// They launch nothing for a release time after each start.
    pub rests: bool,
    /// What becomes of each message that leaves an edge proxy: to show that what is broken is caught.
    pub tamper: Option<fn(&Message) -> Vec<Message>>,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            limits: Limits { answer_record_timeout: RECORD_WITHIN, ..Limits::default() },
            remembers: true,
            rests: true,
            tamper: None,
        }
    }
}

/// A day that was played.
pub struct Played {
    pub brief: Brief,
    pub lines: Vec<Line>,
    pub verdict: Verdict,
    pub logs: Vec<String>,
    /// Lines in use at core servers at the end that nobody has come for.
    pub lines_left: Vec<String>,
}

/// Plays a day with the module.
pub fn play(day: &Day) -> Result<Played> {
    play_with(day, &Play::default(), Brain::new)
}

/// Plays a day with other decisions.
pub fn play_with<D: Decisions>(
    day: &Day, play: &Play, decisions: impl Fn(RoutePlan, u64) -> D,
) -> Result<Played> {
    let mut driver = Driver::new(day, play.clone(), decisions);
    let mut steps_at_this_time = 0;
    while !driver.world.is_over() {
        let before = driver.now;
        driver.step();
        steps_at_this_time = if driver.now > before { 0 } else { steps_at_this_time + 1 };
        if steps_at_this_time > MOST_STEPS_AT_ONE_TIME {
            bail!("the day stands still at {:?}: something is always due", driver.now);
        }
    }
    Ok(driver.finish())
}

struct Driver<'a, D, F> {
    day: &'a Day,
    play: Play,
    decisions: F,
    world: World,
    nets: Nets,
    seats: Vec<Seat<D>>,
    now: Duration,
    begun: bool,
    lines: Vec<Line>,
}

impl<'a, D: Decisions, F: Fn(RoutePlan, u64) -> D> Driver<'a, D, F> {
    fn new(day: &'a Day, play: Play, decisions: F) -> Self {
        let mut nets = Nets {
            next: 0,
            now: Duration::ZERO,
            links: BTreeMap::new(),
            shut: Vec::new(),
            deeds: VecDeque::new(),
            inputs: VecDeque::new(),
            kills: VecDeque::new(),
            stalls: VecDeque::new(),
            logs: Vec::new(),
            recording: BTreeMap::new(),
            loading: BTreeMap::new(),
            recorded: vec![BTreeSet::new(); day.edges],
            records: 0,
            remembers: play.remembers,
            lives: vec![0; day.edges],
            peers: BTreeSet::new(),
            saving: BTreeMap::new(),
            busy: vec![Duration::ZERO; day.edges],
            torn: vec![0; day.edges],
            disks: vec![DiskOf::default(); day.edges],
            kept: vec![DiskOf::default(); day.edges],
            full: vec![false; day.edges],
            clocks: vec![(1.0, 0); day.edges],
        };
        let world = World::new(day.clone(), &mut nets);
        let seats = (0..day.edges).map(|edge| Seat {
            proxy: None,
            // Links of a member have numbers of their own.
            peers: PeerEnds { next: (edge as u64 + 1) << 40, ..PeerEnds::default() },
            rate: 1.0,
            wall: 0,
            epoch: Duration::ZERO,
            life: 0,
            still: false,
            waiting: VecDeque::new(),
        });
        let seats = seats.collect();
        let mut driver = Self {
            day,
            play,
            decisions,
            world,
            nets,
            seats,
            now: Duration::ZERO,
            begun: false,
            lines: Vec::new(),
        };
        for edge in 0..day.edges {
            driver.start(edge);
        }
        driver
    }

    fn start(&mut self, edge: usize) {
        let seat = &mut self.seats[edge];
        seat.life += 1;
        let seed = self.day.seed ^ (edge as u64 + 1) << 32 ^ seat.life << 48;
        let (name, mut limits) = (format!("edge-{edge}"), self.play.limits.clone());
        if let Some(fleet) = &self.day.fleet {
            fleet.figures.bound(&mut limits);
        }
        let decisions = &self.decisions;
        let mut made =
            Edge::with_decisions(&name, "list", self.day.plan.plan(), limits, |plan| decisions(plan, seed));
        self.nets.lives[edge] = seat.life;
        (seat.rate, seat.wall) = self.nets.clocks[edge];
        if self.play.rests {
            made.hold_launches_until(self.day.plan.release);
        }
        if let Some(numbers) = &self.day.numbers {
            let wall = numbers.wall.checked_add(self.now).unwrap_or(numbers.wall);
            let look_ups = (numbers.client.clone(), seed.rotate_left(17));
            let mut analysis = self.day.plan.numbers(wall, Some(look_ups));
            if let Some((first, _)) = numbers.generations.first()
                && let Ok(tables) = numbers.generation(&self.day.plan, first, &[])
            {
                analysis.set_initial_tables(tables);
            }
            made.use_number_analysis(analysis);
        }
        for id in &self.nets.recorded[edge] {
            made.remember_concluded(id);
        }
        let member = self.day.fleet.as_ref().map(|fleet| {
            let mut members: Vec<String> = (0..self.day.edges).map(|n| format!("edge-{n}")).collect();
            members.sort();
            let me = members.iter().position(|known| *known == name).unwrap_or_default();
            let plan = fleet.figures.plan(members, me as u16, self.day.plan.release);
            let stored = if fleet.stores { self.nets.disks[edge].read() } else { Stored::default() };
            seat.peers.disk = fleet.stores && !self.nets.full[edge];
            Member::new(Duration::ZERO, plan, stored, seed.rotate_left(29))
        });
        seat.peers.deeds.clear();
        seat.peers.open.clear();
        seat.proxy = Some(Proxy::new(made, member));
        (seat.epoch, seat.still) = (self.now, false);
        seat.waiting.clear();
    }

    fn step(&mut self) {
        let mut due = self.world.next_due();
        for seat in &self.seats {
            if let Some(proxy) = seat.proxy.as_ref().filter(|_| !seat.still) {
                due = due.min(seat.at(proxy.next_due()));
            }
        }
        if !self.begun {
            due = due.min(WARM_UP);
        }
        if let Some(((at, _), _)) = self.nets.recording.first_key_value() {
            due = due.min(*at);
        }
        if let Some(((at, _), _)) = self.nets.loading.first_key_value() {
            due = due.min(*at);
        }
        if let Some(((at, _), _)) = self.nets.saving.first_key_value() {
            due = due.min(*at);
        }
        self.now = self.now.max(due);
        self.nets.now = self.now;
        if !self.begun && self.now >= WARM_UP {
            self.begun = true;
            self.world.begin(self.now);
        }
        while let Some(entry) = self.nets.recording.first_entry().filter(|e| e.key().0 <= self.now) {
            let ((_, number), (edge, life, dialogue)) = entry.remove_entry();
            // Killed on the way to the disk, it may have got there all the same.
            if life == self.nets.lives[edge] || number.is_multiple_of(2) {
                self.nets.recorded[edge].insert(dialogue);
            }
            if life == self.nets.lives[edge] {
                self.bring(edge, Input::Recorded(number));
            }
        }
        while let Some(entry) = self.nets.loading.first_entry().filter(|e| e.key().0 <= self.now) {
            let (edge, life, name, bases) = entry.remove();
            if life == self.nets.lives[edge]
                && let Some(numbers) = &self.day.numbers
            {
                let tables = numbers.generation(&self.day.plan, &name, &bases);
                self.bring(edge, Input::Loaded(name, tables));
            }
        }
        while let Some(entry) = self.nets.saving.first_entry().filter(|e| e.key().0 <= self.now) {
            let ((_, count), ToDisk { edge, life, saves, number }) = entry.remove_entry();
            // Killed on the way to the disk, it may have got there all the same.
            let there =
                life == self.nets.lives[edge] || count.is_multiple_of(2) && self.nets.torn[edge] != life;
            if !there {
                self.nets.torn[edge] = life;
            }
            if there && !self.nets.full[edge] {
                saves.into_iter().for_each(|save| self.nets.disks[edge].save(save));
            }
            if life == self.nets.lives[edge] {
                let well = !self.nets.full[edge];
                if !well {
                    self.seats[edge].peers.disk = false; // As a store that failed takes no more.
                }
                self.bring(edge, Input::Saved(number, well));
            }
        }
        for edge in 0..self.seats.len() {
            let seat = &mut self.seats[edge];
            let now = seat.clock(self.now);
            if let Some(known) = seat.proxy.as_mut().filter(|known| !seat.still && known.next_due() <= now) {
                known.alarm(now, &mut Ends { nets: &mut self.nets, edge }, &mut seat.peers);
                self.end_turn(edge);
            }
        }
        // Whoever is killed at this very moment has said it before.
        self.settle();
        if self.world.next_due() <= self.now {
            self.world.alarm(self.now, &mut self.nets);
        }
        self.settle();
        self.lines.append(&mut self.world.take_lines());
    }

    /// Carries to and fro what was done, until nothing is left of this moment.
    fn settle(&mut self) {
        loop {
            if let Some((edge, kill)) = self.nets.kills.pop_front() {
                if kill { self.kill(edge) } else { self.start(edge) }
            } else if let Some((edge, still)) = self.nets.stalls.pop_front() {
                self.seats[edge].still = still;
                let waiting =
                    if still { VecDeque::new() } else { std::mem::take(&mut self.seats[edge].waiting) };
                for input in waiting {
                    self.bring(edge, input);
                }
            } else if let Some(deed) = self.nets.deeds.pop_front() {
                self.tell(deed);
            } else if let Some((edge, input)) = self.nets.inputs.pop_front() {
                self.bring(edge, input);
            } else {
                return;
            }
        }
    }

    fn kill(&mut self, edge: usize) {
        self.seats[edge].proxy = None;
        self.nets.peers.retain(|link| self.nets.links.get(link) != Some(&edge));
        self.nets.lives[edge] = 0; // What it was writing is nobody's any more.
        self.nets.inputs.retain(|(of, _)| *of != edge);
        let gone: Vec<u64> = self.nets.links.iter().filter(|(_, of)| **of == edge).map(|(l, _)| *l).collect();
        for link in gone {
            self.nets.links.remove(&link);
            self.nets.deeds.push_back(Deed::Lost(link));
        }
    }

    fn tell(&mut self, deed: Deed) {
        let now = self.now;
        match deed {
            Deed::Came(link, place) => self.world.came(now, link, place, &mut self.nets),
            Deed::Refused(edge, link) => self.bring(edge, Input::Lost(link)),
            Deed::PeerIn(edge, link) => {
                if self.seats[edge].proxy.is_some() {
                    self.nets.links.insert(link, edge);
                    self.nets.peers.insert(link);
                    self.bring(edge, Input::PeerLinked(link));
                    self.world.peer_up(now, link, &mut self.nets);
                } else {
                    self.world.peer_refused(now, link);
                }
            }
            Deed::Up(edge, link) => {
                if self.seats[edge].proxy.is_some() {
                    self.nets.links.insert(link, edge);
                    self.bring(edge, Input::Linked(link));
                    self.world.up(now, link, edge, &mut self.nets);
                } else {
                    self.world.refused(now, edge);
                }
            }
            Deed::Said(link, message) => {
                let said = self.play.tamper.map_or_else(|| vec![message.clone()], |tamper| tamper(&message));
                said.into_iter().for_each(|message| self.world.said(now, link, message));
            }
            Deed::Lost(link) => self.world.lost(now, link),
            Deed::Asked(edge, server, datagram) => self.world.asked(now, edge, server, &datagram),
        }
    }

    fn bring(&mut self, edge: usize, input: Input) {
        let seat = &mut self.seats[edge];
        if seat.still {
            return seat.waiting.push_back(input);
        }
        let now = seat.clock(self.now);
        let Some(known) = seat.proxy.as_mut() else { return };
        let mut ends = Ends { nets: &mut self.nets, edge };
        let (ends, effects) = (&mut ends, &mut seat.peers);
        match input {
            Input::Linked(link) => known.linked(now, LinkId(link), ends),
            Input::PeerHeard(link, message) => {
                if effects.open.contains(&link) {
                    known.peer_heard(now, PeerLink(link), message.frame, ends, effects);
                }
            }
            Input::Heard(link, message) => known.heard(now, LinkId(link), message, ends, effects),
            Input::Lost(link) => known.lost(now, LinkId(link), "closed by its peer", ends),
            Input::Connected(link) => known.connected(now, LinkId(link), ends),
            Input::Recorded(number) => known.recorded(now, number, ends),
            Input::Loaded(name, tables) => known.loaded(now, &name, tables, ends),
            Input::Replied(server, datagram) => known.replied(now, server, &datagram, ends),
            Input::PeerLinked(link) => {
                effects.open.insert(link);
                known.peer_linked(now, PeerLink(link));
            }
            Input::PeerUp(link) => known.peer_connected(now, PeerLink(link), ends, effects),
            Input::PeerLost(link) => {
                if effects.open.remove(&link) {
                    known.peer_lost(now, PeerLink(link), "closed by its peer", ends, effects);
                }
            }
            Input::Saved(number, well) => known.saved(now, number, well, ends, effects),
            Input::Publish(name) => known.publish(now, &name),
        }
        self.end_turn(edge);
    }

    /// What the member of an edge proxy did in this turn is carried out.
    fn end_turn(&mut self, edge: usize) {
        let seat = &mut self.seats[edge];
        let now = seat.clock(self.now);
        let Some(known) = seat.proxy.as_mut().filter(|known| known.member().is_some()) else { return };
        let mut ends = Ends { nets: &mut self.nets, edge };
        known.flush(now, &mut ends, &mut seat.peers);
        // In virtual time a slice takes none.
        for _ in 0..8 {
            if !known.work(now, false, &mut seat.peers, &|| now) {
                break;
            }
        }
        known.flush(now, &mut ends, &mut seat.peers);
        for deed in std::mem::take(&mut seat.peers.deeds) {
            match deed {
                PeerDeed::Say(link, frame) => {
                    self.nets.deeds.push_back(Deed::Said(link, through_the_codec(&frame.into())));
                }
                PeerDeed::Connect(member, link) => {
                    let known = known.member().and_then(|m| m.plan().members.get(usize::from(member)));
                    let to = known.and_then(|name| name.strip_prefix("edge-")).and_then(|n| n.parse().ok());
                    match to.filter(|to: &usize| *to < self.nets.lives.len() && self.nets.lives[*to] > 0) {
                        Some(to) => {
                            self.nets.links.insert(link, edge);
                            self.nets.peers.insert(link);
                            self.nets.deeds.push_back(Deed::Came(link, Place::Peer(to)));
                            self.nets.inputs.push_back((edge, Input::PeerUp(link)));
                        }
                        None => self.nets.inputs.push_back((edge, Input::PeerLost(link))),
                    }
                }
                PeerDeed::Close(link) => {
                    self.nets.peers.remove(&link);
                    if self.nets.links.remove(&link).is_some() {
                        self.nets.deeds.push_back(Deed::Lost(link));
                    }
                }
                PeerDeed::Save(saves, number) => {
                    self.nets.records += 1;
                    let count = self.nets.records;
                    let takes = if count.is_multiple_of(89) { 30_000 } else { 40 + count * 7919 % 300 };
                    let at = (self.now + Duration::from_micros(takes)).max(self.nets.busy[edge]);
                    self.nets.busy[edge] = at;
                    let life = self.nets.lives[edge];
                    self.nets.saving.insert((at, count), ToDisk { edge, life, saves, number });
                }
                PeerDeed::Log(line) => {
                    let at = self.now.as_secs_f64();
                    self.nets.logs.push(format!("{at:>10.6} edge-{edge} fleet: {line}"));
                }
            }
        }
    }

    fn finish(mut self) -> Played {
        self.lines.append(&mut self.world.take_lines());
        let mut brief = self.day.brief(ANSWER_GRACE, Duration::ZERO);
        brief.capacities = self.world.capacities();
        let mut judge = Judge::new(brief.clone());
        self.lines.iter().for_each(|line| judge.line(line));
        let lines_left = self.world.lines_without_link();
        Played { brief, lines: self.lines, verdict: judge.finish(), logs: self.nets.logs, lines_left }
    }
}
