//! The world round the edge proxies: stand-ins, links with their delays, troubles, and the record of all that
//! passes at the edge proxies' end. One clock, brought to it; it knows neither sockets nor threads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{ServerId, ServerNumber, ServerState};
use lotussaddle_judge::{Line, Way, What, hex};
use lotussaddle_standin::{CoreServer, Crowd, EnumServer, Floor, Listing, Mood, PoolList, Strain};
use lotussaddle_trunk::{Frame, Message};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::plan::Day;
use crate::trouble::{Disk, Kind, Rift, Trouble, Who};

/// How often something that grows or recurs is looked at.
const STEP: Duration = Duration::from_millis(250);
/// After the last dial a day runs on for so long at most.
const AFTER: Duration = Duration::from_secs(20);

/// The other end of a link of an edge proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Callers,
    List,
    Core(usize),
    /// Another edge proxy, of a fleet.
    Peer(usize),
}

/// The edge proxies, as the world reaches them.
pub trait Ground {
    fn say(&mut self, link: u64, message: Message);
    /// Ends a link; with a reset the edge proxy sees it broken.
    fn close(&mut self, link: u64, reset: bool);
    /// Callers begin a link to this edge proxy; `World::up` or `World::refused` tells what came of it.
    fn dial_in(&mut self, edge: usize) -> u64;
    /// Where edge proxies reach this core server. Called once for each.
    fn open_core(&mut self, core: usize) -> String;
    /// From now on connects to it are refused, or taken again.
    fn shut_core(&mut self, core: usize, shut: bool);
    /// From now on a link passes a byte at a time towards the edge proxy, so far apart; false: it cannot, and the
    /// world is to delay what passes instead.
    fn drip(&mut self, link: u64, gap: Duration) -> bool;
    /// A look-up server says something to an edge proxy.
    fn reply(&mut self, edge: usize, server: usize, datagram: Vec<u8>);
    /// A link to an edge proxy's gate for peers is begun; `World::peer_up` or `World::peer_refused` tells what came of it.
    fn dial_peer(&mut self, edge: usize) -> u64;
    fn kill(&mut self, edge: usize);
    fn start(&mut self, edge: usize);
    /// Keeps a copy of the disk of an edge proxy as it is now.
    fn keep_disk(&mut self, edge: usize);
    /// The disk of one that is down becomes the copy that was kept, or an empty one.
    fn change_disk(&mut self, edge: usize, kept: bool);
    /// An operator asks a member to have a generation of tables put into force on all.
    fn publish(&mut self, edge: usize, generation: &str);
    /// From now on nothing more can be written there, or it can again.
    fn fill_disk(&mut self, edge: usize, full: bool);
    /// From its next start on its clock runs so fast, and the clock on the wall is off by so many seconds.
    fn set_clocks(&mut self, edge: usize, rate: f64, wall: i64);
    fn stall(&mut self, edge: usize, still: bool);
}

struct Pipe {
    place: Place,
    edge: Option<usize>,
    /// Nothing overtakes on a link.
    to_far_at: Duration,
    to_edge_at: Duration,
    /// What is said either way is lost, and nobody is told.
    dead: bool,
    drip: Duration,
    /// Between members: the link at the other's end, and what is said before that is up.
    mate: Option<u64>,
    /// Half open: not even its end reaches the other.
    half: bool,
    early: Option<Vec<Message>>,
}

enum Parcel {
    ToFar(Message),
    ToEdge(Message),
    /// The link's end reaches the far side, or the edge proxy.
    FarLost,
    EdgeLost {
        reset: bool,
    },
}

struct Core {
    model: CoreServer,
    name: Arc<str>,
    number: i64,
    region: usize,
    address: Arc<str>,
    life: u64,
    listed: ServerState,
    shut: bool,
}

/// Something the day brings at a time of its own.
enum Turn {
    Begin(usize),
    End(usize),
    /// The next step of a trouble that has steps.
    Step(usize, u64),
    CoreUp(usize),
    /// A core server that drained stops.
    Retire(usize),
    Resume(usize),
    /// A copy of these disks is kept, to be put back later.
    KeepDisks(Vec<usize>),
}

/// What a model does, until the world has carried it out.
#[derive(Default)]
struct Acts(Vec<Act>);

enum Act {
    Say(u64, Message),
    Close(u64, bool),
    DialIn(usize),
    Mark(String),
}

impl Floor for Acts {
    fn say(&mut self, link: u64, message: Message) {
        self.0.push(Act::Say(link, message));
    }
    fn close(&mut self, link: u64, reset: bool) {
        self.0.push(Act::Close(link, reset));
    }
    fn dial_in(&mut self, edge: usize) {
        self.0.push(Act::DialIn(edge));
    }
    fn mark(&mut self, what: &str) {
        self.0.push(Act::Mark(what.into()));
    }
}

pub struct World {
    day: Day,
    now: Duration,
    rng: Pcg64Mcg,
    cores: Vec<Core>,
    list: PoolList,
    crowd: Crowd,
    pipes: BTreeMap<u64, Pipe>,
    parcels: BTreeMap<(Duration, u64), (u64, Parcel)>,
    turns: BTreeMap<(Duration, u64), Turn>,
    count: u64,
    /// Whom each trouble strikes, drawn when it begins.
    struck: BTreeMap<usize, Vec<usize>>,
    cut: Option<usize>,
    begun: bool,
    lines: Vec<Line>,
    capacities: BTreeMap<String, f64>,
    alive: Vec<bool>,
    /// Edge proxies whose disks take nothing more.
    full: Vec<bool>,
    /// Which life of each edge proxy this is: what is said to a former one gets nowhere.
    lives: Vec<u64>,
    look_ups: Vec<EnumServer>,
    /// What is wrong between members now: which trouble, what, and whom it strikes.
    rifts: Vec<(usize, Rift, Vec<usize>)>,
}

impl World {
    pub fn new(day: Day, ground: &mut dyn Ground) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
        let mut world = Self {
            now: Duration::ZERO,
            cores: Vec::new(),
            list: PoolList::new(day.list_late, []),
            crowd: Crowd::new(day.crowd_figures(), rng.random()),
            rng,
            pipes: BTreeMap::new(),
            parcels: BTreeMap::new(),
            turns: BTreeMap::new(),
            count: 0,
            struck: BTreeMap::new(),
            cut: None,
            begun: false,
            lines: Vec::new(),
            capacities: BTreeMap::new(),
            alive: vec![true; day.edges],
            full: vec![false; day.edges],
            lives: vec![0; day.edges],
            look_ups: Vec::new(),
            rifts: Vec::new(),
            day,
        };
        if let Some(numbers) = world.day.numbers.clone() {
            let server = |_| EnumServer::new(numbers.figures.clone(), world.rng.random());
            world.look_ups = (0..numbers.servers).map(server).collect();
        }
        for number in 0..world.day.cores.count {
            world.new_core(number as i64, number % world.day.regions, ground);
        }
        world.list = PoolList::new(world.day.list_late, world.cores.iter().map(listing));
        if let Some((first, _)) = world.day.numbers.as_ref().and_then(|numbers| numbers.generations.first()) {
            world.list.begin_with(first);
        }
        for edge in 0..world.day.edges {
            world.note(What::Started { edge });
        }
        world
    }

    fn new_core(&mut self, number: i64, region: usize, ground: &mut dyn Ground) -> usize {
        let place = self.cores.len();
        let spread = self.day.cores.spread;
        let size = 1.0 + spread * (self.rng.random::<f64>() * 2.0 - 1.0);
        let name: Arc<str> = Arc::from(format!("core-{place}"));
        let figures = self.day.core_figures(&name, size);
        self.capacities.insert(name.to_string(), figures.capacity());
        let model = CoreServer::new(figures, self.rng.random());
        let address = Arc::from(ground.open_core(place));
        let listed = ServerState::Active;
        self.cores.push(Core { model, name, number, region, address, life: 0, listed, shut: false });
        place
    }

    /// Dials may come: edge proxies are up.
    pub fn begin(&mut self, now: Duration) {
        self.begun = true;
        self.crowd.begin(now);
        self.crowd.figures.until = now + self.day.lasts;
        let troubles: Vec<Duration> = self.day.troubles.iter().map(|t| t.at).collect();
        for (place, at) in troubles.into_iter().enumerate() {
            self.turn(now + at, Turn::Begin(place));
            // Whose disk is put back is known before, so that it can be kept.
            let kind = self.day.troubles[place].kind.clone();
            if let Kind::Store { disk: Disk::Older { by }, .. } = &kind {
                let struck = self.draw_struck(&kind);
                self.turn(now + at.saturating_sub(*by), Turn::KeepDisks(struck.clone()));
                self.struck.insert(place, struck);
            }
        }
    }

    /// Links of callers that are up: a driver begins when all are.
    pub fn callers_linked(&self) -> usize {
        self.crowd.linked_to()
    }

    /// Links from edge proxies to core servers and list on which both said hello.
    pub fn links_up(&self) -> usize {
        let up = |pipe: &&Pipe| pipe.edge.is_some() && !matches!(pipe.place, Place::Peer(_));
        self.pipes.values().filter(up).count()
    }

    /// All dials have come and all are answered, or it has taken too long.
    pub fn is_over(&self) -> bool {
        // Whatever members do for those that are gone has its time after the last trouble.
        let last =
            self.day.troubles.iter().map(|trouble| trouble.at + trouble.lasts).max().unwrap_or_default();
        let fleet = self.day.fleet.as_ref().map(|fleet| self.day.line_within(fleet));
        let after = fleet.map_or(Duration::from_secs(1), |within| {
            within + Duration::from_secs(1) + last.saturating_sub(self.day.lasts)
        });
        let until = self.crowd.figures.until;
        let done = self.turns.is_empty() && self.crowd.asked() == 0 && self.now >= until + after;
        self.begun && self.now >= until && (done || self.now >= until + after.max(AFTER))
    }

    pub fn take_lines(&mut self) -> Vec<Line> {
        std::mem::take(&mut self.lines)
    }

    /// What each core server that the day had could do.
    pub fn capacities(&self) -> BTreeMap<String, f64> {
        self.capacities.clone()
    }

    fn note(&mut self, what: What) {
        self.lines.push(Line { at: self.now.as_micros() as u64, what });
    }

    fn turn(&mut self, at: Duration, turn: Turn) {
        self.count += 1;
        self.turns.insert((at, self.count), turn);
    }

    pub fn next_due(&self) -> Duration {
        let parcel = self.parcels.first_key_value().map(|((at, _), _)| *at);
        let turn = self.turns.first_key_value().map(|((at, _), _)| *at);
        let models = self.cores.iter().filter_map(|core| core.model.next_due());
        let models = models.chain(self.list.next_due()).chain(self.crowd.next_due());
        let look_ups = self.look_ups.iter().filter_map(EnumServer::next_due);
        models.chain(look_ups).chain(parcel).chain(turn).min().unwrap_or(Duration::MAX)
    }

    // Inputs of the ground

    /// An edge proxy has begun a link.
    pub fn came(&mut self, now: Duration, link: u64, place: Place, ground: &mut dyn Ground) {
        self.now = now;
        self.add_pipe(link, place, None);
        match place {
            Place::Callers => {}
            Place::List => self.list.linked(link),
            Place::Core(core) => self.with_core(core, ground, |model, _, acts| model.linked(link, acts)),
            Place::Peer(edge) => {
                let mate = ground.dial_peer(edge);
                self.add_pipe(mate, Place::Peer(usize::MAX), Some(edge));
                for (one, other) in [(link, mate), (mate, link)] {
                    if let Some(pipe) = self.pipes.get_mut(&one) {
                        pipe.mate = Some(other);
                    }
                }
                if let Some(pipe) = self.pipes.get_mut(&mate) {
                    pipe.early = Some(Vec::new());
                }
            }
        }
    }

    /// A link to an edge proxy's gate for peers is up.
    pub fn peer_up(&mut self, now: Duration, link: u64, ground: &mut dyn Ground) {
        self.now = now;
        let Some(early) = self.pipes.get_mut(&link).and_then(|pipe| pipe.early.take()) else { return };
        for message in early {
            self.pass_to_peer(link, message, ground);
        }
    }

    /// It is not: the other side's link ends.
    pub fn peer_refused(&mut self, now: Duration, link: u64) {
        self.now = now;
        if let Some(mate) = self.pipes.remove(&link).and_then(|pipe| pipe.mate) {
            self.send(mate, Parcel::EdgeLost { reset: true });
        }
    }

    /// What was said by one member arrives at the other's end.
    fn pass_to_peer(&mut self, link: u64, message: Message, ground: &mut dyn Ground) {
        let Some(pipe) = self.pipes.get_mut(&link) else { return };
        if let Some(early) = &mut pipe.early {
            return early.push(message);
        }
        if let (Frame::Hello(hello), Place::Peer(usize::MAX), Some(edge)) =
            (&message.frame, pipe.place, pipe.edge)
        {
            let from = hello.name.strip_prefix("edge-").and_then(|n| n.parse().ok()).unwrap_or(usize::MAX);
            pipe.place = Place::Peer(from);
            self.note(What::Up { edge, link, far: hello.name.to_string() });
        }
        let edge = self.pipes[&link].edge.unwrap_or_default();
        self.note(What::Passed { edge, link, way: Way::In, message: message.clone() });
        ground.say(link, message);
    }

    /// A link that callers began is up.
    pub fn up(&mut self, now: Duration, link: u64, edge: usize, ground: &mut dyn Ground) {
        self.now = now;
        self.add_pipe(link, Place::Callers, Some(edge));
        self.note(What::Up { edge, link, far: "callers".into() });
        let mut acts = Acts::default();
        self.crowd.linked(now, edge, link, &mut acts);
        self.carry_out(acts, ground);
    }

    pub fn refused(&mut self, now: Duration, edge: usize) {
        self.now = now;
        self.crowd.refused(now, edge);
    }

    /// An edge proxy has said something.
    pub fn said(&mut self, now: Duration, link: u64, message: Message) {
        self.now = now;
        let Some(pipe) = self.pipes.get_mut(&link) else { return };
        if pipe.edge.is_none()
            && let Frame::Hello(hello) = &message.frame
        {
            pipe.edge = hello.name.strip_prefix("edge-").and_then(|n| n.parse().ok());
            let far = match pipe.place {
                Place::Core(core) => self.cores[core].name.to_string(),
                Place::List => "list".into(),
                Place::Callers => "callers".into(),
                Place::Peer(edge) => format!("edge-{edge}"),
            };
            if let Some(edge) = pipe.edge {
                self.note(What::Up { edge, link, far });
            }
        }
        let Some(edge) = self.pipes[&link].edge else { return };
        self.note(What::Passed { edge, link, way: Way::Out, message: message.clone() });
        self.send(link, Parcel::ToFar(message));
    }

    /// An edge proxy asks a look-up server.
    pub fn asked(&mut self, now: Duration, edge: usize, server: usize, datagram: &[u8]) {
        self.now = now;
        let bytes = hex(datagram);
        self.note(What::Datagram { edge, server, way: Way::Out, bytes });
        let there = now + self.day.net.same * 2;
        let from = edge as u64 | self.lives[edge] << 32;
        if let Some(model) = self.look_ups.get_mut(server) {
            model.heard(there, from, datagram);
        }
    }

    /// A link's end at the edge proxy is gone.
    pub fn lost(&mut self, now: Duration, link: u64) {
        self.now = now;
        let Some(pipe) = self.pipes.get_mut(&link) else { return };
        pipe.dead = true; // What is on its way to the edge proxy gets nowhere.
        if let Some(edge) = pipe.edge {
            self.note(What::Gone { edge, link });
        }
        self.send(link, Parcel::FarLost);
    }

    /// The time given by `next_due` has come.
    pub fn alarm(&mut self, now: Duration, ground: &mut dyn Ground) {
        self.now = now;
        while let Some(entry) = self.turns.first_entry().filter(|e| e.key().0 <= now) {
            let turn = entry.remove();
            self.take_turn(turn, ground);
        }
        while let Some(entry) = self.parcels.first_entry().filter(|e| e.key().0 <= now) {
            let (link, parcel) = entry.remove();
            self.arrive(link, parcel, ground);
        }
        for core in 0..self.cores.len() {
            if self.cores[core].model.next_due().is_some_and(|due| due <= now) {
                self.with_core(core, ground, |model, now, acts| model.alarm(now, acts));
            }
        }
        for server in 0..self.look_ups.len() {
            for (to, datagram) in self.look_ups[server].alarm(now) {
                let (edge, life) = (to as u32 as usize, to >> 32);
                if self.alive[edge] && life == self.lives[edge] {
                    let bytes = hex(&datagram);
                    self.note(What::Datagram { edge, server, way: Way::In, bytes });
                    ground.reply(edge, server, datagram);
                }
            }
        }
        let mut acts = Acts::default();
        if self.list.next_due().is_some_and(|due| due <= now) {
            self.list.alarm(now, &mut acts);
        }
        if self.crowd.next_due().is_some_and(|due| due <= now) {
            self.crowd.alarm(now, &mut acts);
        }
        self.carry_out(acts, ground);
    }

    // Links

    fn add_pipe(&mut self, link: u64, place: Place, edge: Option<usize>) {
        let (now, drip) = (self.now, Duration::ZERO);
        let (mate, early) = (None, None);
        let half = false;
        let pipe =
            Pipe { place, edge, to_far_at: now, to_edge_at: now, dead: false, drip, mate, half, early };
        self.pipes.insert(link, pipe);
    }

    /// One way between an edge proxy and a place.
    fn way(&mut self, edge: Option<usize>, place: Place) -> Duration {
        let region = edge.unwrap_or_default() % self.day.regions;
        let base = match place {
            Place::Callers => self.day.net.caller,
            Place::List => self.day.net.same,
            Place::Core(core) if self.cores[core].region == region => self.day.net.same,
            Place::Peer(edge) if edge % self.day.regions == region || edge == usize::MAX => self.day.net.same,
            Place::Core(_) | Place::Peer(_) => self.day.net.cross,
        };
        base.mul_f64(1.0 + self.day.net.jitter * self.rng.random::<f64>())
    }

    /// Between a region that is cut off and another, bytes are kept, as a transport that repeats them would.
    fn is_cut(&self, pipe: &Pipe) -> bool {
        let region = pipe.edge.unwrap_or_default() % self.day.regions;
        let far = match pipe.place {
            Place::Core(core) => self.cores[core].region,
            Place::Peer(usize::MAX) => return false,
            Place::Peer(edge) => edge % self.day.regions,
            Place::Callers | Place::List => return false,
        };
        let peers = matches!(pipe.place, Place::Peer(_)) && self.parted(pipe);
        peers || self.cut.is_some_and(|cut| region != far && (cut == region || cut == far))
    }

    /// What is wrong on the way from a pipe's edge proxy to its peer.
    fn rifts_on(&self, pipe: &Pipe) -> impl Iterator<Item = (usize, Rift, bool)> {
        let (from, to) = match (pipe.edge, pipe.place) {
            (Some(from), Place::Peer(to)) if to != usize::MAX => (from, to),
            _ => (usize::MAX, usize::MAX),
        };
        let between =
            self.rifts.iter().filter(move |(_, _, struck)| struck.contains(&from) != struck.contains(&to));
        between.map(move |(place, rift, struck)| (*place, *rift, struck.contains(&from)))
    }

    fn parted(&self, pipe: &Pipe) -> bool {
        self.rifts_on(pipe).any(|(place, rift, out)| match rift {
            Rift::Cut => true,
            Rift::OneWay { out: wanted } => wanted == out,
            Rift::Flap { every } => {
                let begun = self.day.troubles[place].at;
                let turns = self.now.saturating_sub(begun).as_micros() / every.as_micros().max(1);
                turns.is_multiple_of(2)
            }
            _ => false,
        })
    }

    fn send(&mut self, link: u64, parcel: Parcel) {
        let Some(pipe) = self.pipes.get(&link) else { return };
        if pipe.dead && !matches!(parcel, Parcel::FarLost) {
            return;
        }
        let (edge, place) = (pipe.edge, pipe.place);
        let mut late = Duration::ZERO;
        let mut lost = 0.0;
        for (_, rift, _) in self.rifts_on(pipe) {
            match rift {
                Rift::Late { by } => late += by,
                Rift::Lossy { share } => lost += share,
                _ => {}
            }
        }
        if lost > 0.0 && matches!(parcel, Parcel::ToFar(_)) && self.rng.random::<f64>() < lost {
            return self.break_link(link);
        }
        let way = self.way(edge, place) + late;
        let now = self.now;
        let pipe = self.pipes.get_mut(&link).expect("it was looked up");
        let mut at = now + way;
        if let Parcel::ToEdge(message) = &parcel
            && !pipe.drip.is_zero()
        {
            let mut bytes = Vec::new();
            message.encode(&mut bytes);
            at = at.max(pipe.to_edge_at) + pipe.drip * bytes.len() as u32;
        }
        let last = match parcel {
            Parcel::ToFar(_) | Parcel::FarLost => &mut pipe.to_far_at,
            Parcel::ToEdge(_) | Parcel::EdgeLost { .. } => &mut pipe.to_edge_at,
        };
        at = at.max(*last);
        *last = at;
        self.count += 1;
        self.parcels.insert((at, self.count), (link, parcel));
    }

    /// A link between members breaks, at both ends.
    fn break_link(&mut self, link: u64) {
        let mate = self.pipes.get(&link).and_then(|pipe| pipe.mate);
        for link in std::iter::once(link).chain(mate) {
            self.count += 1;
            self.parcels.insert((self.now, self.count), (link, Parcel::EdgeLost { reset: true }));
        }
    }

    fn arrive(&mut self, link: u64, parcel: Parcel, ground: &mut dyn Ground) {
        let Some(pipe) = self.pipes.get(&link) else { return };
        if pipe.dead && !matches!(parcel, Parcel::FarLost) {
            return;
        }
        if self.is_cut(pipe) {
            self.count += 1;
            self.parcels.insert((self.now + STEP, self.count), (link, parcel));
            return;
        }
        let (edge, place) = (pipe.edge, pipe.place);
        match parcel {
            Parcel::ToEdge(message) => {
                if let Some(edge) = edge {
                    self.note(What::Passed { edge, link, way: Way::In, message: message.clone() });
                }
                ground.say(link, message);
            }
            Parcel::EdgeLost { reset } => {
                if let Some(edge) = edge {
                    self.note(What::Gone { edge, link });
                }
                self.pipes.remove(&link);
                ground.close(link, reset);
            }
            Parcel::ToFar(message) if matches!(place, Place::Peer(_)) => {
                if let Some(mate) = self.pipes.get(&link).and_then(|pipe| pipe.mate) {
                    self.pass_to_peer(mate, message, ground);
                }
            }
            Parcel::ToFar(message) => self.tell_far(link, place, message, ground),
            Parcel::FarLost => {
                let mate = self.pipes.remove(&link).filter(|pipe| !pipe.half).and_then(|pipe| pipe.mate);
                let now = self.now;
                match place {
                    Place::Peer(_) => {
                        if let Some(mate) = mate
                            && let Some(pipe) = self.pipes.remove(&mate)
                        {
                            if let Some(edge) = pipe.edge {
                                self.note(What::Gone { edge, link: mate });
                            }
                            ground.close(mate, false);
                        }
                    }
                    Place::Callers => self.crowd.lost(now, link),
                    Place::List => self.list.lost(link),
                    Place::Core(core) => self.cores[core].model.lost(now, link),
                }
            }
        }
    }

    fn tell_far(&mut self, link: u64, place: Place, message: Message, ground: &mut dyn Ground) {
        let now = self.now;
        let mut acts = Acts::default();
        match place {
            Place::Callers => self.crowd.heard(now, link, message, &mut acts),
            Place::List => self.list.heard(now, link, message, &mut acts),
            Place::Core(core) => {
                return self
                    .with_core(core, ground, |model, now, acts| model.heard(now, link, message, acts));
            }
            Place::Peer(_) => return,
        }
        self.carry_out(acts, ground);
    }

    fn with_core(
        &mut self, core: usize, ground: &mut dyn Ground,
        act: impl FnOnce(&mut CoreServer, Duration, &mut Acts),
    ) {
        let mut acts = Acts::default();
        act(&mut self.cores[core].model, self.now, &mut acts);
        self.carry_out(acts, ground);
        if !self.cores[core].model.is_up() && !self.cores[core].shut {
            self.shut(core, true, ground);
        }
    }

    fn carry_out(&mut self, acts: Acts, ground: &mut dyn Ground) {
        for act in acts.0 {
            match act {
                Act::Say(link, message) => self.send(link, Parcel::ToEdge(message)),
                Act::Close(link, reset) => self.send(link, Parcel::EdgeLost { reset }),
                Act::DialIn(edge) => {
                    ground.dial_in(edge);
                }
                Act::Mark(what) => match what.strip_prefix("fell ") {
                    Some(server) => self.note(What::Fell { server: server.into() }),
                    None => self.note(What::Note { text: what }),
                },
            }
        }
    }

    fn shut(&mut self, core: usize, shut: bool, ground: &mut dyn Ground) {
        self.cores[core].shut = shut;
        ground.shut_core(core, shut);
    }

    // Troubles

    fn take_turn(&mut self, turn: Turn, ground: &mut dyn Ground) {
        match turn {
            Turn::Begin(place) => {
                let trouble = self.day.troubles[place].clone();
                self.note(What::Note { text: format!("begins: {}", trouble.kdl()) });
                if !self.struck.contains_key(&place) {
                    let struck = self.draw_struck(&trouble.kind);
                    self.struck.insert(place, struck);
                }
                self.turn(self.now + trouble.lasts, Turn::End(place));
                self.strike(place, &trouble, ground);
            }
            Turn::End(place) => {
                let trouble = self.day.troubles[place].clone();
                self.note(What::Note { text: format!("ends: {}", trouble.name()) });
                self.relieve(place, &trouble, ground);
            }
            Turn::Step(place, step) => {
                let trouble = self.day.troubles[place].clone();
                self.step(place, &trouble, step, ground);
            }
            Turn::CoreUp(core) => self.start_core(core, ground),
            Turn::Retire(core) => {
                self.cores[core].listed = ServerState::Gone;
                self.with_core(core, ground, |model, now, acts| {
                    model.cut_all(now, acts);
                    model.crash(acts);
                });
                let server = self.cores[core].name.to_string();
                self.note(What::CoreGone { server });
                let gone = listing(&self.cores[core]);
                self.list.changed(self.now, gone);
            }
            Turn::KeepDisks(edges) => edges.into_iter().for_each(|edge| ground.keep_disk(edge)),
            Turn::Resume(edge) => {
                self.note(What::Resumed { edge });
                ground.stall(edge, false);
            }
        }
    }

    fn draw_struck(&mut self, kind: &Kind) -> Vec<usize> {
        let in_service = |world: &Self| -> Vec<usize> {
            (0..world.cores.len()).filter(|c| world.cores[*c].listed == ServerState::Active).collect()
        };
        let (mut all, part) = match kind {
            Kind::Crash { part }
            | Kind::Replace { part, .. }
            | Kind::Slow { part, .. }
            | Kind::Ageing { part, .. }
            | Kind::Hang { part }
            | Kind::AnswersLost { part, .. }
            | Kind::MassRestart { part, .. }
            | Kind::Refuse { part }
            | Kind::HalfOpen { part }
            | Kind::Trickle { part, .. } => (in_service(self), *part),
            Kind::Stall { who, .. }
            | Kind::Kill { who }
            | Kind::Rift { who, .. }
            | Kind::Store { who, .. }
            | Kind::FullDisk { who }
            | Kind::Publish { who, .. }
            | Kind::Clock { who, .. } => match who {
                Who::Part(part) => ((0..self.day.edges).collect(), *part),
                Who::These(these) => {
                    return these.iter().copied().filter(|edge| *edge < self.day.edges).collect();
                }
            },
            Kind::LookUps { part, .. } => ((0..self.look_ups.len()).collect(), *part),
            Kind::LinesLost { region, .. } => {
                let cores = in_service(self);
                return cores.into_iter().filter(|c| self.cores[*c].region == *region).collect();
            }
            _ => return Vec::new(),
        };
        all.shuffle(&mut self.rng);
        let count = ((all.len() as f64 * part).round() as usize).clamp(1, all.len().max(1));
        all.truncate(count);
        all.sort_unstable();
        all
    }

    fn strike(&mut self, place: usize, trouble: &Trouble, ground: &mut dyn Ground) {
        let struck = self.struck[&place].clone();
        match &trouble.kind {
            Kind::Surge { times } => self.crowd.mood.surge = *times,
            Kind::Hurried { share, of_promised } => self.crowd.mood.hurried = Some((*share, *of_promised)),
            Kind::Redial { tenant, of_promised, tries } => {
                self.crowd.mood.redialling = Some((*tenant, *of_promised, *tries as u32));
            }
            Kind::ListLate { by } => self.list.late = self.day.list_late + *by,
            Kind::ReportsLate { by } => {
                self.cores.iter_mut().for_each(|core| core.model.strain.reports_late = *by);
            }
            Kind::RegionCut { region } => self.cut = Some(*region),
            Kind::Slow { times, .. } => self.strain(&struck, |strain| strain.slower = *times),
            Kind::Hang { .. } => self.set_hung(&struck, true),
            Kind::AnswersLost { share, by_reset, .. } => self.strain(&struck, |strain| {
                (strain.lost, strain.lost_by_reset) = (*share, *by_reset);
            }),
            Kind::LinesLost { keep, .. } => {
                for core in struck {
                    self.with_core(core, ground, |model, now, acts| model.set_lines(now, *keep, acts));
                }
            }
            Kind::Crash { .. } => {
                for core in struck {
                    self.crash_core(core, ground);
                }
            }
            Kind::MassRestart { within, down, .. } => {
                for core in struck {
                    let wait = within.mul_f64(self.rng.random::<f64>());
                    self.crash_core(core, ground);
                    self.turn(self.now + *down + wait, Turn::CoreUp(core));
                }
            }
            Kind::Kill { .. } | Kind::Store { .. } => {
                struck.into_iter().for_each(|edge| self.kill(edge, ground));
            }
            Kind::Clock { rate, wall, .. } => {
                for edge in struck {
                    self.kill(edge, ground);
                    ground.set_clocks(edge, *rate, *wall);
                    self.note(What::Clock { edge, rate: *rate });
                    self.start(edge, ground);
                }
            }
            Kind::FullDisk { .. } => {
                for edge in struck {
                    ground.fill_disk(edge, true);
                    self.full[edge] = true;
                    self.note(What::DiskSpoilt { edge });
                }
            }
            Kind::Rift { rift, .. } => {
                self.rifts.push((place, *rift, struck));
                if *rift == Rift::HalfOpen {
                    let across = |pipe: &&mut Pipe| matches!(pipe.place, Place::Peer(_));
                    let rifts = self.rifts.last().map(|(_, _, struck)| struck.clone()).unwrap_or_default();
                    for pipe in self.pipes.values_mut().filter(across) {
                        let Place::Peer(to) = pipe.place else { continue };
                        let from = pipe.edge.unwrap_or(usize::MAX);
                        pipe.half |= rifts.contains(&from) != rifts.contains(&to);
                        pipe.dead |= pipe.half;
                    }
                }
            }
            Kind::Refuse { .. } => {
                for core in struck {
                    self.shut(core, true, ground);
                    for link in self.links_to(core) {
                        self.send(link, Parcel::EdgeLost { reset: true });
                        let now = self.now;
                        self.cores[core].model.lost(now, link);
                    }
                }
            }
            Kind::HalfOpen { .. } => {
                for core in struck {
                    for link in self.links_to(core) {
                        if let Some(pipe) = self.pipes.get_mut(&link) {
                            pipe.dead = true;
                        }
                        let now = self.now;
                        self.cores[core].model.lost(now, link);
                    }
                }
            }
            Kind::Trickle { gap, .. } => self.set_drip(&struck, *gap, ground),
            Kind::LookUps { illness, .. } => {
                struck.iter().for_each(|server| self.look_ups[*server].illness.push(*illness));
            }
            Kind::Swap { generation, after, .. } => {
                let mut acts = Acts::default();
                self.list.swap(self.now, generation, *after, &mut acts);
                self.carry_out(acts, ground);
            }
            Kind::Publish { generation, .. } => {
                struck.iter().for_each(|edge| ground.publish(*edge, generation));
            }
            Kind::Flood { tenant, times } => self.crowd.mood.flooding = Some((*tenant, *times)),
            Kind::Ageing { .. } | Kind::Replace { .. } | Kind::Stall { .. } | Kind::Swaps { .. } => {
                self.turn(self.now, Turn::Step(place, 0));
            }
        }
    }

    fn relieve(&mut self, place: usize, trouble: &Trouble, ground: &mut dyn Ground) {
        let struck = self.struck[&place].clone();
        match &trouble.kind {
            Kind::Surge { .. } => self.crowd.mood.surge = Mood::default().surge,
            Kind::Hurried { .. } => self.crowd.mood.hurried = None,
            Kind::Redial { .. } => self.crowd.mood.redialling = None,
            Kind::ListLate { .. } => self.list.late = self.day.list_late,
            Kind::ReportsLate { .. } => {
                self.cores.iter_mut().for_each(|core| core.model.strain.reports_late = Duration::ZERO);
            }
            Kind::RegionCut { .. } => self.cut = None,
            Kind::Slow { .. } => self.strain(&struck, |strain| strain.slower = 1.0),
            Kind::Hang { .. } => self.set_hung(&struck, false),
            Kind::AnswersLost { .. } => self.strain(&struck, |strain| strain.lost = 0.0),
            Kind::LinesLost { .. } => {
                for core in struck {
                    self.with_core(core, ground, |model, now, acts| model.set_lines(now, 1.0, acts));
                }
            }
            Kind::Crash { .. } => {
                for core in struck {
                    self.start_core(core, ground);
                }
            }
            Kind::Ageing { down, .. } => {
                for core in struck {
                    self.cores[core].model.strain.slower = 1.0;
                    self.crash_core(core, ground);
                    self.turn(self.now + *down, Turn::CoreUp(core));
                }
            }
            Kind::Kill { .. } => struck.into_iter().for_each(|edge| self.start(edge, ground)),
            Kind::Store { disk, .. } => {
                for edge in struck {
                    if !self.alive[edge] {
                        ground.change_disk(edge, matches!(disk, Disk::Older { .. }));
                        self.note(What::DiskSpoilt { edge });
                    }
                    self.start(edge, ground);
                }
            }
            Kind::Clock { .. } => {
                for edge in struck {
                    self.kill(edge, ground);
                    ground.set_clocks(edge, 1.0, 0);
                    self.note(What::Clock { edge, rate: 1.0 });
                    self.start(edge, ground);
                }
            }
            Kind::FullDisk { .. } => {
                for edge in struck {
                    ground.fill_disk(edge, false);
                    self.full[edge] = false;
                }
            }
            Kind::Rift { .. } => self.rifts.retain(|(of, ..)| *of != place),
            Kind::Refuse { .. } => {
                for core in struck {
                    if self.cores[core].model.is_up() {
                        self.shut(core, false, ground);
                    }
                }
            }
            Kind::Trickle { .. } => self.set_drip(&struck, Duration::ZERO, ground),
            Kind::LookUps { illness, .. } => {
                for server in struck {
                    self.look_ups[server].illness.retain(|known| known != illness);
                }
            }
            Kind::Swap { undo, .. } => {
                if *undo {
                    let mut acts = Acts::default();
                    self.list.undo(self.now, &mut acts);
                    self.carry_out(acts, ground);
                }
            }
            Kind::Flood { .. } => self.crowd.mood.flooding = None,
            Kind::Swaps { .. } | Kind::Publish { .. } => {}
            Kind::MassRestart { .. } | Kind::HalfOpen { .. } | Kind::Replace { .. } | Kind::Stall { .. } => {}
        }
    }

    fn kill(&mut self, edge: usize, ground: &mut dyn Ground) {
        if std::mem::take(&mut self.alive[edge]) {
            self.note(What::Killed { edge });
            ground.kill(edge);
        }
    }

    fn start(&mut self, edge: usize, ground: &mut dyn Ground) {
        if !std::mem::replace(&mut self.alive[edge], true) {
            self.lives[edge] += 1;
            self.note(What::Started { edge });
            if self.full[edge] {
                self.note(What::DiskSpoilt { edge });
            }
            ground.start(edge);
        }
    }

    /// Lines in use at core servers over no link: nobody has come for them.
    pub fn lines_without_link(&self) -> Vec<String> {
        let cores = self.cores.iter().enumerate();
        cores
            .flat_map(|(n, core)| core.model.without_link().map(move |id| format!("{} at core-{n}", id.0)))
            .collect()
    }

    /// Troubles that go on in steps.
    fn step(&mut self, place: usize, trouble: &Trouble, step: u64, ground: &mut dyn Ground) {
        let struck = self.struck[&place].clone();
        let end = trouble.at + trouble.lasts;
        match &trouble.kind {
            Kind::Ageing { times, .. } => {
                let steps = (trouble.lasts.as_secs_f64() / STEP.as_secs_f64()).max(1.0);
                let slower = times.powf((step as f64 / steps).min(1.0));
                self.strain(&struck, |strain| strain.slower = slower);
                if (step as f64) < steps - 1.0 {
                    self.turn(self.now + STEP, Turn::Step(place, step + 1));
                }
            }
            Kind::Replace { batch, drains, .. } => {
                let batches = struck.len().div_ceil(*batch as usize);
                let now = self.now;
                for core in struck.into_iter().skip(step as usize * *batch as usize).take(*batch as usize) {
                    if self.cores[core].listed != ServerState::Active {
                        continue;
                    }
                    self.cores[core].listed = ServerState::Draining;
                    let leaving = listing(&self.cores[core]);
                    self.list.changed(now, leaving);
                    self.turn(now + *drains, Turn::Retire(core));
                    let (number, region) = (self.cores[core].number, self.cores[core].region);
                    let new = self.new_core(number, region, ground);
                    self.cores[new].life = 1;
                    self.cores[new].model.start(now);
                    let server = self.cores[new].name.to_string();
                    self.note(What::CoreStarted { server, life: 1 });
                    let new = listing(&self.cores[new]);
                    self.list.changed(now, new);
                }
                if step + 1 < batches as u64 {
                    let gap = trouble.lasts / batches as u32;
                    self.turn(now + gap, Turn::Step(place, step + 1));
                }
            }
            Kind::Swaps { every } => {
                let names: Vec<String> = self
                    .day
                    .numbers
                    .iter()
                    .flat_map(|n| &n.generations)
                    .map(|(name, _)| name.clone())
                    .collect();
                if let Some(name) = names.get((step as usize + 1) % names.len().max(1)) {
                    let mut acts = Acts::default();
                    self.list.swap(self.now, name, Duration::ZERO, &mut acts);
                    self.carry_out(acts, ground);
                }
                if *every * (step as u32 + 2) <= end.saturating_sub(trouble.at) {
                    self.turn(self.now + *every, Turn::Step(place, step + 1));
                }
            }
            Kind::Stall { each, every, .. } => {
                let now = self.now;
                for edge in struck {
                    if self.alive[edge] {
                        self.note(What::Stalled { edge });
                        ground.stall(edge, true);
                        self.turn(now + *each, Turn::Resume(edge));
                    }
                }
                // By the day's clock; what begins late because the day began late ends late too.
                let next = *every + *each;
                if next * (step as u32 + 2) <= end.saturating_sub(trouble.at) {
                    self.turn(now + next, Turn::Step(place, step + 1));
                }
            }
            _ => {}
        }
    }

    fn strain(&mut self, struck: &[usize], with: impl Fn(&mut Strain)) {
        for core in struck {
            with(&mut self.cores[*core].model.strain);
        }
    }

    fn set_hung(&mut self, struck: &[usize], hung: bool) {
        for core in struck {
            self.cores[*core].model.set_hung(self.now, hung);
        }
    }

    fn links_to(&self, core: usize) -> Vec<u64> {
        let there = self.pipes.iter().filter(|(_, pipe)| pipe.place == Place::Core(core));
        there.map(|(link, _)| *link).collect()
    }

    fn set_drip(&mut self, struck: &[usize], gap: Duration, ground: &mut dyn Ground) {
        for core in struck {
            for link in self.links_to(*core) {
                let by_ground = ground.drip(link, gap);
                if let Some(pipe) = self.pipes.get_mut(&link) {
                    pipe.drip = if by_ground { Duration::ZERO } else { gap };
                }
            }
        }
    }

    fn crash_core(&mut self, core: usize, ground: &mut dyn Ground) {
        let name = self.cores[core].name.to_string();
        self.note(What::Note { text: format!("{name} dies") });
        self.note(What::CoreGone { server: name });
        self.with_core(core, ground, |model, _, acts| model.crash(acts));
    }

    fn start_core(&mut self, core: usize, ground: &mut dyn Ground) {
        let now = self.now;
        if self.cores[core].model.is_up() || self.cores[core].listed == ServerState::Gone {
            return;
        }
        self.cores[core].model.start(now);
        if !self.cores[core].model.is_up() {
            return; // It fell over, and stays down.
        }
        self.cores[core].life += 1;
        let (server, life) = (self.cores[core].name.to_string(), self.cores[core].life);
        self.note(What::CoreStarted { server, life });
        self.shut(core, false, ground);
        let started = listing(&self.cores[core]);
        self.list.changed(now, started);
    }
}

fn listing(core: &Core) -> Listing {
    Listing {
        server: ServerId(core.name.clone()),
        number: ServerNumber(core.number),
        address: core.address.clone(),
        listed: core.listed,
        life: core.life,
        started: core.model.started(),
    }
}
