//! Stand-ins on sockets, each by itself: a loop round a model and a hub of links.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use crossbeam_channel::Receiver;
use lotussaddle_links::{Hub, HubLimits, LinkEvent, LinkToken, Listener};
use lotussaddle_sheet::Sheet;
use lotussaddle_trunk::Message;

use crate::sheets::{CallersSheet, CoreSheet, EnumSheet, ListSheet};
use crate::{CoreServer, Crowd, EnumServer, Floor, PoolList};

/// Between two lines of standing on standard output.
const SAY_EVERY: Duration = Duration::from_secs(5);

struct Sockets {
    hub: Hub,
    edges: Vec<String>,
    begun: Vec<(LinkToken, usize)>,
}

impl Floor for Sockets {
    fn say(&mut self, link: u64, message: Message) {
        // A peer that takes nothing more is given up, as an edge proxy would give up such a caller.
        if !self.hub.send(LinkToken(link), message) {
            self.hub.reset(LinkToken(link));
        }
    }

    fn close(&mut self, link: u64, reset: bool) {
        if reset { self.hub.reset(LinkToken(link)) } else { self.hub.close(LinkToken(link)) }
    }

    fn dial_in(&mut self, edge: usize) {
        let token = self.hub.connect(&self.edges[edge]);
        self.begun.push((token, edge));
    }

    fn mark(&mut self, what: &str) {
        println!("{what}");
    }
}

/// What each model does with what happens on its links.
trait Model {
    fn take(&mut self, now: Duration, happening: LinkEvent, floor: &mut Sockets);
    fn next_due(&self) -> Option<Duration>;
    fn alarm(&mut self, now: Duration, floor: &mut Sockets);
    fn standing(&self) -> String;
    fn is_over(&self, _now: Duration) -> bool {
        false
    }
}

impl Model for CoreServer {
    fn take(&mut self, now: Duration, happening: LinkEvent, floor: &mut Sockets) {
        match happening {
            LinkEvent::Accepted(token, _, opened) => {
                floor.hub.admit(token, opened);
                self.linked(token.0, floor);
            }
            LinkEvent::Received(token, message) => self.heard(now, token.0, message, floor),
            LinkEvent::Closed(token, _) => {
                floor.hub.close(token);
                self.lost(now, token.0);
            }
            LinkEvent::Connected(_) => {}
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.next_due()
    }

    fn alarm(&mut self, now: Duration, floor: &mut Sockets) {
        self.alarm(now, floor);
    }

    fn standing(&self) -> String {
        format!("{} dialogues stand, {:.0} lines in use", self.standing(), self.used())
    }

    fn is_over(&self, _now: Duration) -> bool {
        self.has_fallen()
    }
}

impl Model for PoolList {
    fn take(&mut self, now: Duration, happening: LinkEvent, floor: &mut Sockets) {
        match happening {
            LinkEvent::Accepted(token, _, opened) => {
                floor.hub.admit(token, opened);
                self.linked(token.0);
            }
            LinkEvent::Received(token, message) => self.heard(now, token.0, message, floor),
            LinkEvent::Closed(token, _) => {
                floor.hub.close(token);
                self.lost(token.0);
            }
            LinkEvent::Connected(_) => {}
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.next_due()
    }

    fn alarm(&mut self, now: Duration, floor: &mut Sockets) {
        self.alarm(now, floor);
    }

    fn standing(&self) -> String {
        "listing".into()
    }
}

impl Model for Crowd {
    fn take(&mut self, now: Duration, happening: LinkEvent, floor: &mut Sockets) {
        match happening {
            LinkEvent::Connected(token) => {
                let begun = floor.begun.iter().position(|(known, _)| *known == token);
                if let Some(place) = begun {
                    let (_, edge) = floor.begun.swap_remove(place);
                    self.linked(now, edge, token.0, floor);
                }
            }
            LinkEvent::Received(token, message) => self.heard(now, token.0, message, floor),
            LinkEvent::Closed(token, _) => {
                floor.hub.close(token);
                match floor.begun.iter().position(|(known, _)| *known == token) {
                    Some(place) => {
                        let (_, edge) = floor.begun.swap_remove(place);
                        self.refused(now, edge);
                    }
                    None => self.lost(now, token.0),
                }
            }
            LinkEvent::Accepted(..) => {}
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.next_due()
    }

    fn alarm(&mut self, now: Duration, floor: &mut Sockets) {
        self.alarm(now, floor);
    }

    fn standing(&self) -> String {
        let (dialled, stood) = self.totals();
        format!("{dialled} dialled, {stood} stood, {} open, {} not answered yet", self.open(), self.asked())
    }

    fn is_over(&self, now: Duration) -> bool {
        now >= self.figures.until && self.open() == 0
    }
}

/// Runs a model until it is over, or the process is ended.
fn run(mut model: impl Model, mut floor: Sockets, happenings: &Receiver<LinkEvent>) -> Result<()> {
    let begun = Instant::now();
    let mut say_at = SAY_EVERY;
    while !model.is_over(begun.elapsed()) {
        let due = model.next_due().unwrap_or(Duration::MAX).min(say_at);
        let wait = due.saturating_sub(begun.elapsed());
        if let Ok(happening) = happenings.recv_timeout(wait) {
            model.take(begun.elapsed(), happening, &mut floor);
        }
        let now = begun.elapsed();
        if model.next_due().is_some_and(|due| due <= now) {
            model.alarm(now, &mut floor);
        }
        if now >= say_at {
            say_at = now + SAY_EVERY;
            println!("{}", model.standing());
        }
    }
    println!("over: {}", model.standing());
    Ok(())
}

fn sockets(edges: Vec<String>) -> Result<(Sockets, Receiver<LinkEvent>)> {
    let (hub, happenings) = Hub::new(HubLimits::default()).context("no thread to begin links")?;
    Ok((Sockets { hub, edges, begun: Vec::new() }, happenings))
}

fn open(floor: &Sockets, listen: SocketAddr) -> Result<Listener> {
    let gate = Listener::open(&floor.hub, 0, listen).with_context(|| format!("cannot listen at {listen}"))?;
    println!("listening {}", gate.address);
    std::io::stdout().flush()?;
    Ok(gate)
}

pub fn core(sheet: &Path) -> Result<()> {
    let sheet = CoreSheet::read(Sheet::load(sheet)?)?;
    let mut model = CoreServer::new(sheet.figures, sheet.seed);
    if sheet.cold {
        model.start(Duration::ZERO);
    }
    let (floor, happenings) = sockets(Vec::new())?;
    let _gate = open(&floor, sheet.listen)?;
    run(model, floor, &happenings)
}

pub fn list(sheet: &Path) -> Result<()> {
    let sheet = ListSheet::read(Sheet::load(sheet)?)?;
    let (floor, happenings) = sockets(Vec::new())?;
    let _gate = open(&floor, sheet.listen)?;
    let (mut list, mut floor) = (PoolList::new(sheet.late, sheet.entries), floor);
    for (after, name) in &sheet.swaps {
        list.swap(Duration::ZERO, name, *after, &mut floor);
    }
    run(list, floor, &happenings)
}

/// A look-up server: datagrams instead of links.
pub fn look_ups(sheet: &Path) -> Result<()> {
    let sheet = EnumSheet::read(Sheet::load(sheet)?)?;
    let socket =
        UdpSocket::bind(sheet.listen).with_context(|| format!("cannot listen at {}", sheet.listen))?;
    println!("listening {}", socket.local_addr()?);
    std::io::stdout().flush()?;
    let mut model = EnumServer::new(sheet.figures, sheet.seed);
    model.illness = sheet.illness;
    serve_look_ups(model, &socket, &|| false)
}

/// Until `over` says so.
pub fn serve_look_ups(mut model: EnumServer, socket: &UdpSocket, over: &dyn Fn() -> bool) -> Result<()> {
    let start = Instant::now();
    // Whoever asked, by number: a bounded memory of who that was.
    let mut askers: VecDeque<(u64, SocketAddr)> = VecDeque::new();
    let (mut count, mut buffer) = (0, [0; 1024]);
    while !over() {
        let wait =
            model.next_due().map_or(Duration::from_millis(50), |due| due.saturating_sub(start.elapsed()));
        let wait = wait.clamp(Duration::from_micros(200), Duration::from_millis(50));
        socket.set_read_timeout(Some(wait))?;
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            count += 1;
            askers.push_back((count, from));
            if askers.len() > 65_536 {
                askers.pop_front();
            }
            model.heard(start.elapsed(), count, &buffer[..length]);
        }
        for (to, reply) in model.alarm(start.elapsed()) {
            let first = askers.front().map_or(0, |(first, _)| *first);
            let asker = to.checked_sub(first).and_then(|place| askers.get(place as usize));
            if let Some((_, address)) = asker {
                let _ = socket.send_to(&reply, address);
            }
        }
    }
    Ok(())
}

pub fn callers(sheet: &Path) -> Result<()> {
    let sheet = CallersSheet::read(Sheet::load(sheet)?)?;
    let mut crowd = Crowd::new(sheet.figures, sheet.seed);
    crowd.begin(Duration::from_millis(500));
    let (floor, happenings) = sockets(sheet.edges)?;
    run(crowd, floor, &happenings)
}
