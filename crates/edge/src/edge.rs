//! Inputs of an edge proxy, each turned straight into calls on the module.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::brain::Brain;
use lotussaddle::interface::*;
use lotussaddle_numbers::Tables;
use lotussaddle_trunk::{
    Cause, Dial, End, Entry, Extra, Frame, Hello, Message, NotTaken, Role, TablesOrder, VERSION,
};

use crate::hands::{Hands, State};
use crate::held::{At, Concluded, Counts, Dues, Held, Limits, Pending, Unsaid};
use crate::links::{Far, Kind, Link};
use crate::numbers::{Analysed, Numbers};
use crate::{Decisions, Found, LinkId, Note, Step, Wires};

/// How often links are looked at for silence.
const SWEEP: Duration = Duration::from_millis(250);
/// Between tries to reach the list.
const LIST_AGAIN: Duration = Duration::from_millis(200);
/// Core servers known at once; beyond it a new one of the list is left out, and the log says so.
const MOST_SERVERS: usize = 10_000;
/// More lines than this no dialogue takes.
const WIDEST: f64 = 10_000.0;
/// Stands for a launch where a dialogue that was dialled before waits to be decided on.
const SOUGHT: LaunchNo = LaunchNo(u32::MAX);

pub struct Edge<D = Brain> {
    name: Arc<str>,
    list: Arc<str>,
    products: usize,
    tenants: usize,
    brain: D,
    state: State,
    numbers: Option<Box<Numbers>>,
    /// When links are looked at again, and when the list is tried again.
    sweep_at: Duration,
    list_at: Option<Duration>,
}

impl Edge {
    /// `list` is the address of the pool list.
    pub fn new(name: &str, list: &str, plan: RoutePlan, seed: u64, limits: Limits) -> Self {
        Self::with(name, list, plan, limits, |plan| Brain::new(plan, seed))
    }
}

impl<D: Decisions> Edge<D> {
    /// With other decisions than the module's, for baselines.
    pub fn with(
        name: &str, list: &str, plan: RoutePlan, limits: Limits, decisions: impl FnOnce(RoutePlan) -> D,
    ) -> Self {
        let state = State {
            limits,
            now: Duration::ZERO,
            held: HashMap::new(),
            links: BTreeMap::new(),
            fresh: VecDeque::new(),
            callers: 0,
            servers: BTreeMap::new(),
            dues: Dues::default(),
            concluded: Concluded::default(),
            counts: Counts::default(),
            alarm: None,
            ends: VecDeque::new(),
            broken: VecDeque::new(),
            pending: Pending::default(),
        };
        Self {
            name: Arc::from(name),
            list: Arc::from(list),
            products: plan.products.len(),
            tenants: plan.tenants.len(),
            brain: decisions(plan),
            state,
            numbers: None,
            sweep_at: Duration::ZERO,
            list_at: Some(Duration::ZERO),
        }
    }

    /// From now on numbers that are dialled are analysed.
    pub fn analyse_by(&mut self, numbers: Numbers) {
        self.products = numbers.products();
        self.numbers = Some(Box::new(numbers));
    }

    /// A former life may have left launches at core servers: until then nothing is launched.
    pub fn rest_until(&mut self, until: Duration) {
        self.brain.rest_until(until);
    }

    pub fn numbers(&mut self) -> Option<&mut Numbers> {
        self.numbers.as_deref_mut()
    }

    pub fn counts(&self) -> &Counts {
        &self.state.counts
    }

    /// Dialogues held, standing ones included; links; concluded dialogues remembered.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.state.held.len(), self.state.links.len(), self.state.concluded.len())
    }

    /// When the launch of a dialogue ends by itself, where one is out.
    pub fn time_out_of(&self, id: &DialogueId) -> Option<Duration> {
        let held = self.state.held.get(id)?;
        if let At::Out { until, .. } = held.at { Some(until) } else { None }
    }

    pub fn decisions(&self) -> &D {
        &self.brain
    }

    /// What is kept of dialogues beside what is held: on links, in their queues, and answers not yet given.
    pub fn traces(&self) -> usize {
        let here: usize = self.state.links.values().map(|link| link.here.len()).sum();
        let queued: usize = self.state.servers.values().map(|far| far.queued.len()).sum();
        here + queued + self.state.pending.len() + self.state.ends.len()
    }

    /// When `alarm` is to be called next.
    pub fn next_due(&self) -> Duration {
        let numbers = self.numbers.as_ref().and_then(|numbers| numbers.next_due());
        let pending = self.state.pending.first();
        let dues = [self.state.alarm, self.state.dues.first(), self.list_at, pending, numbers];
        dues.into_iter().flatten().fold(self.sweep_at, Duration::min)
    }

    /// A dialogue that had its final answer in a former life.
    pub fn recall(&mut self, dialogue: &DialogueId) {
        self.state.concluded.add(self.state.now, dialogue, &self.state.limits);
    }

    // Inputs

    /// What `Wires::record` gave this number is remembered.
    pub fn recorded(&mut self, now: Duration, number: u64, wires: &mut dyn Wires) {
        self.state.now = now;
        // After a stall, what timed out meanwhile has timed out, and is not sent any more.
        self.time_outs(wires);
        if let Some((id, unsaid)) = self.state.pending.take(number) {
            self.hands(wires).go_on(id, unsaid, true);
        }
        self.settle(wires);
    }

    /// What `Wires::seek` came to.
    pub fn found(&mut self, now: Duration, id: &DialogueId, found: Found, wires: &mut dyn Wires) {
        self.state.now = now;
        self.time_outs(wires);
        let at = self.state.held.get(id).map(|held| held.at.clone());
        let Some(At::Sought(dial)) = at else { return self.settle(wires) };
        let held = self.state.held.get_mut(id).expect("it was looked up");
        let (caller, cut_off) = (held.link, held.cut_off);
        self.state.dues.unset(cut_off, id, SOUGHT);
        match found {
            Found::Free { not_before } if not_before > now => {
                held.at = At::Barred(dial, not_before);
                self.state.dues.set(not_before.min(cut_off), id, SOUGHT);
            }
            Found::Free { .. } => {
                held.at = At::Waiting;
                self.decide(&dial, wires);
            }
            Found::Answered(frame) => {
                self.state.counts.recognised += 1;
                let mut hands = self.hands(wires);
                hands.conclude(id);
                hands.say(caller, frame);
            }
            Found::Stands { server, launch } => match self.hands(wires).link_to(&server) {
                Some(link) => {
                    self.state.counts.recognised += 1;
                    let held = self.state.held.get_mut(id).expect("it was looked up");
                    held.at = At::Standing { server: server.clone(), launch, link };
                    held.extra = Box::default();
                    if let Some(known) = self.state.links.get_mut(&link) {
                        known.here.insert(id.clone());
                    }
                    self.hands(wires).say(caller, Frame::Stands { dialogue: id.clone(), server });
                }
                None => self.decline_sought(id, None, wires),
            },
            Found::Concluded => {
                let mut hands = self.hands(wires);
                hands.conclude(id);
                hands.state.counts.declined += 1;
                let why = NotTaken::Concluded;
                hands.say(caller, Frame::Declined { dialogue: id.clone(), why, come_back: None });
            }
            Found::Unsure { come_back } => self.decline_sought(id, come_back, wires),
        }
        self.settle(wires);
    }

    /// What came of a dialogue dialled before cannot be told: it was never taken here.
    fn decline_sought(&mut self, id: &DialogueId, come_back: Option<Duration>, wires: &mut dyn Wires) {
        let mut hands = self.hands(wires);
        if let Some(held) = hands.drop_held(id) {
            hands.state.counts.unsure += 1;
            let frame = Frame::Declined { dialogue: id.clone(), why: NotTaken::Unsure, come_back };
            hands.say(held.link, frame);
        }
    }

    /// Another edge proxy has this dialogue now: nothing more of it is sent here, and what is out is called off. Mostly its caller has
    /// dialled it again there; one that still waits here hears that it may ask again what came of it.
    pub fn replaced(&mut self, now: Duration, id: &DialogueId, wires: &mut dyn Wires) {
        self.state.now = now;
        self.time_outs(wires);
        let at = self.state.held.get(id).map(|held| held.at.clone());
        let unsaid = self.state.pending.drop_of(id);
        let mut waits = match unsaid {
            Some(Unsaid::Answer { link, .. }) => Some(link),
            _ => None,
        };
        match at {
            None => {}
            Some(at @ (At::Standing { link, .. } | At::Releasing { link, .. })) => {
                if let At::Releasing { launch, until, .. } = at {
                    self.state.dues.unset(until, id, launch);
                }
                if let Some(known) = self.state.links.get_mut(&link) {
                    known.here.remove(id);
                }
                self.state.counts.replaced += 1;
                let told = waits.is_none();
                let mut hands = self.hands(wires);
                if let (Some(held), true, At::Standing { .. }) = (hands.drop_held(id), told, &at) {
                    hands.say(held.link, Frame::Over { dialogue: id.clone(), end: End::Cut });
                }
            }
            Some(at) => {
                if matches!(at, At::Waiting | At::Out { .. }) {
                    let mut hands = Hands { state: &mut self.state, wires };
                    self.brain.left(now, id, &mut hands);
                }
                if let (At::Asking, Some(numbers)) = (&at, &mut self.numbers) {
                    numbers.forget(id);
                }
                self.state.counts.replaced += 1;
                self.forget_sought(id, &at);
                waits = self.hands(wires).conclude(id).map(|(link, _)| link);
            }
        }
        if let Some(link) = waits {
            self.state.counts.unsure += 1;
            let frame = Frame::Declined { dialogue: id.clone(), why: NotTaken::Unsure, come_back: None };
            self.hands(wires).say(link, frame);
        }
        // It is not concluded as far as its caller is concerned, who may yet dial it here again.
        self.state.concluded.remove(id);
        self.settle(wires);
    }

    fn forget_sought(&mut self, id: &DialogueId, at: &At) {
        let Some(held) = self.state.held.get(id) else { return };
        match at {
            At::Sought(_) => self.state.dues.unset(held.cut_off, id, SOUGHT),
            At::Barred(_, until) => self.state.dues.unset((*until).min(held.cut_off), id, SOUGHT),
            _ => {}
        }
    }

    /// Says something to a core server that is no matter of this edge proxy's own; false: there is no link to it.
    pub fn pass_on(&mut self, now: Duration, server: &ServerId, frame: Frame, wires: &mut dyn Wires) -> bool {
        self.state.now = now;
        let link = self.state.servers.get(server).and_then(|far| far.link);
        let link = link.filter(|link| self.state.links.get(link).is_some_and(|known| known.greeted));
        if let Some(link) = link {
            self.hands(wires).say(link, frame);
        }
        self.settle(wires);
        link.is_some()
    }

    /// The server at the other end of a link that is up, where that is one.
    pub fn core_at(&self, link: LinkId) -> Option<ServerId> {
        self.server_of(link).filter(|_| self.state.links.get(&link).is_some_and(|known| known.greeted))
    }

    /// Core servers to which a link is up.
    pub fn cores_up(&self) -> impl Iterator<Item = &ServerId> {
        let up = |far: &Far| far.link.and_then(|link| self.state.links.get(&link)).is_some_and(|l| l.greeted);
        self.state.servers.iter().filter(move |(_, far)| up(far)).map(|(id, _)| id)
    }

    /// A link has come in.
    pub fn linked(&mut self, now: Duration, link: LinkId, wires: &mut dyn Wires) {
        self.state.now = now;
        if self.state.callers >= self.state.limits.links {
            self.state.counts.links_closed += 1;
            wires.close(link, "too many links");
            return;
        }
        self.state.callers += 1;
        self.state.links.insert(link, Link::new(Kind::Fresh, now));
        self.state.fresh.push_back(link);
        if self.state.fresh.len() > self.state.limits.fresh
            && let Some(oldest) = self.state.fresh.front().copied()
        {
            self.drop_link(oldest, "too many links that say no hello", wires);
        }
    }

    /// A link that was begun from here is up.
    pub fn connected(&mut self, now: Duration, link: LinkId, wires: &mut dyn Wires) {
        self.state.now = now;
        if self.state.links.contains_key(&link) {
            let hello = Hello::new(Role::Edge, self.name.clone());
            self.hands(wires).say(link, Frame::Hello(hello));
        }
        self.settle(wires);
    }

    /// The shell vouches for a link that came in or was begun: it is up, whoever is there needs no hello, and it lasts
    /// until the shell says that it is lost. So it is where dialogues belong to no connection.
    pub fn admitted(&mut self, now: Duration, link: LinkId, wires: &mut dyn Wires) {
        self.state.now = now;
        if let Some(known) = self.state.links.get_mut(&link) {
            (known.greeted, known.vouched) = (true, true);
            if matches!(known.kind, Kind::Fresh) {
                known.kind = Kind::Caller(Arc::from("callers"));
                self.state.fresh.retain(|fresh| *fresh != link);
            }
            self.send_queued(link, wires);
        }
        self.settle(wires);
    }

    /// A launch on this link has ended with this outcome, which no frame tells.
    #[expect(clippy::too_many_arguments)]
    pub fn launch_came_to(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, launch: LaunchNo, outcome: Outcome,
        report: LoadReport, wires: &mut dyn Wires,
    ) {
        self.state.now = now;
        self.time_outs(wires);
        if let Some(server) = self.server_of(link) {
            self.launch_ended(link, &server, id, launch, outcome, report, wires);
        }
        self.settle(wires);
    }

    /// A launch on this link is over that has stood, or may have, though no answer came: its end is owed to the caller. What
    /// was wanted has been, so nothing is launched again, and the caller hears now that it has failed.
    ///
    /// `launch` is the one that is out there. None: the end came of a former launch, which timed out, was called off or
    /// lost its connection before; whatever is out by now is called off.
    #[expect(clippy::too_many_arguments)]
    pub fn over_unheard(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, launch: Option<LaunchNo>, end: End,
        report: LoadReport, wires: &mut dyn Wires,
    ) {
        self.state.now = now;
        self.time_outs(wires);
        let Some(server) = self.server_of(link) else { return self.settle(wires) };
        let out = launch.filter(|launch| self.is_out(id, *launch, link));
        if let Some(launch) = out {
            let mut hands = Hands { state: &mut self.state, wires };
            hands.launch_over(id);
            hands.fail(id);
            let outcome = if end == End::Cut { Outcome::BrokenOff } else { Outcome::Ended };
            let end = LaunchEnd { dialogue: id.clone(), launch, server, outcome, closed: true, report };
            self.brain.ended(now, end, &mut hands);
        } else {
            if self.has_former_launch(id) {
                let mut hands = Hands { state: &mut self.state, wires };
                self.brain.left(now, id, &mut hands);
                hands.fail(id);
            }
            self.state.counts.strays += 1;
            self.reported(&server, &report, wires);
        }
        self.settle(wires);
    }

    /// A launch on this link has answered after it was called off: its server had not read that yet. The release time of a
    /// dialogue that waits for its next launch counts from now on.
    pub fn stood_after_give_up(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, wires: &mut dyn Wires,
    ) {
        self.state.now = now;
        self.time_outs(wires);
        if let Some(server) = self.server_of(link) {
            self.called_off_again(id, server, wires);
        }
        self.settle(wires);
    }

    fn called_off_again(&mut self, id: &DialogueId, server: ServerId, wires: &mut dyn Wires) {
        let Some(held) = self.state.held.get(id) else { return };
        if !matches!(held.at, At::Waiting) || held.launches == 0 {
            return;
        }
        let end = LaunchEnd {
            dialogue: id.clone(),
            launch: LaunchNo(held.launches - 1),
            server,
            outcome: Outcome::CalledOff,
            closed: false,
            report: LoadReport::default(),
        };
        self.brain.ended(self.state.now, end, &mut Hands { state: &mut self.state, wires });
    }

    /// Whether a dialogue that has no answer yet had a launch that is not out any more.
    pub fn has_former_launch(&self, id: &DialogueId) -> bool {
        self.state.held.get(id).is_some_and(|held| match held.at {
            At::Waiting => held.launches > 0,
            At::Out { .. } => held.launches > 1,
            _ => false,
        })
    }

    /// A dialogue that stands, or is being released, at this link's server is over, whichever launch of it that was.
    /// False: none is held there.
    pub fn over(
        &mut self, now: Duration, link: LinkId, id: &DialogueId, end: End, report: LoadReport,
        wires: &mut dyn Wires,
    ) -> bool {
        self.state.now = now;
        self.time_outs(wires);
        let at = self.state.held.get(id).map(|held| &held.at);
        let launch = match at {
            Some(At::Standing { launch, link: over, .. } | At::Releasing { launch, link: over, .. })
                if *over == link =>
            {
                *launch
            }
            _ => return false,
        };
        if let Some(server) = self.server_of(link) {
            self.stood_until_now(id, launch, &server, link, end, report, wires);
        }
        self.settle(wires);
        true
    }

    /// A dialogue stands at that server already, placed by a former life of this edge proxy: no answer is owed for
    /// it. False: it is not taken, since the server is not known here or too much is held.
    pub fn stands_there(
        &mut self, now: Duration, link: LinkId, dial: &Dial, server: &ServerId, wires: &mut dyn Wires,
    ) -> bool {
        self.state.now = now;
        self.time_outs(wires);
        let id = &dial.dialogue;
        let taken = if self.state.held.contains_key(id) {
            true
        } else if self.state.held.len() < self.state.limits.dialogues
            && let Some(there) = self.hands(wires).link_to(server)
        {
            let at = At::Standing { server: server.clone(), launch: LaunchNo(0), link: there };
            let held = Held {
                link,
                cut_off: now,
                at,
                launches: 1,
                product: dial.product,
                width: dial.width,
                key: dial.key.clone(),
                number: None,
                extra: Box::default(),
            };
            self.state.held.insert(id.clone(), held);
            for link in [link, there] {
                if let Some(known) = self.state.links.get_mut(&link) {
                    known.here.insert(id.clone());
                }
            }
            true
        } else {
            false
        };
        self.settle(wires);
        taken
    }

    /// Dialogues that came or went over this link and are still held.
    pub fn held_on(&self, link: LinkId) -> usize {
        self.state.links.get(&link).map_or(0, |known| known.here.len())
    }

    /// Whether this dialogue is held, and whether it stands.
    pub fn holds(&self, id: &DialogueId) -> Option<bool> {
        let stands = |at: &At| matches!(at, At::Standing { .. } | At::Releasing { .. });
        self.state.held.get(id).map(|held| stands(&held.at))
    }

    fn server_of(&self, link: LinkId) -> Option<ServerId> {
        match &self.state.links.get(&link)?.kind {
            Kind::Core(server) => Some(server.clone()),
            _ => None,
        }
    }

    /// A link has gone, or did not come up.
    pub fn lost(&mut self, now: Duration, link: LinkId, why: &str, wires: &mut dyn Wires) {
        self.state.now = now;
        self.forget_link(link, why, wires);
        self.settle(wires);
    }

    pub fn heard(&mut self, now: Duration, link: LinkId, message: Message, wires: &mut dyn Wires) {
        self.state.now = now;
        // After a stall, what timed out meanwhile has timed out, though its answer lies in the queue.
        self.time_outs(wires);
        self.numbers_due(wires);
        let Some(known) = self.state.links.get_mut(&link) else { return };
        (known.heard, known.asked) = (now, false);
        match (&known.kind, known.greeted, message.frame) {
            (_, _, Frame::Ping { nonce }) => self.hands(wires).say(link, Frame::Pong { nonce }),
            (_, _, Frame::Pong { .. }) => {}
            (_, _, Frame::Bye { why }) => self.drop_link(link, &format!("said good-bye: {why}"), wires),
            (_, false, Frame::Hello(hello)) => self.greeted(link, hello, wires),
            (_, false, _) => self.drop_link(link, "spoke before it said hello", wires),
            (Kind::Caller(_), true, Frame::Dial(dial)) => self.dialled(link, dial, message.extra, wires),
            (Kind::Caller(_), true, Frame::HangUp { dialogue }) => {
                if self.state.pending.answer_link(&dialogue).is_some_and(|answers| *answers == link) {
                    self.state.pending.drop_of(&dialogue);
                }
                if self.state.held.get(&dialogue).is_some_and(|held| held.link == link) {
                    self.hung_up(&dialogue, wires);
                }
            }
            (Kind::Core(server), true, frame) => {
                let server = server.clone();
                if !self.core_said(link, &server, frame, message.extra, wires) {
                    self.drop_link(link, "said what is not a core server's to say", wires);
                }
            }
            (Kind::List, true, Frame::List { whole, entries }) => self.listed(whole, entries, wires),
            (Kind::List, true, Frame::Tables { serial, order }) => self.ordered(link, serial, order, wires),
            _ => self.drop_link(link, "said what is not its to say", wires),
        }
        self.settle(wires);
    }

    /// The time given by `next_due` has come.
    pub fn alarm(&mut self, now: Duration, wires: &mut dyn Wires) {
        self.state.now = now;
        self.time_outs(wires);
        self.numbers_due(wires);
        while let Some((id, unsaid)) = self.state.pending.overdue(now) {
            self.hands(wires).go_on(id, unsaid, false);
            self.hand_over_ends(wires);
        }
        if self.state.alarm.is_some_and(|at| at <= now) {
            self.state.alarm = None;
            let mut hands = Hands { state: &mut self.state, wires };
            self.brain.alarm(now, TimerId(0), &mut hands);
        }
        if self.list_at.is_some_and(|at| at <= now) {
            self.list_at = None;
            let link = wires.connect(&self.list);
            self.state.links.insert(link, Link::new(Kind::List, now));
        }
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP;
            self.sweep(wires);
            let gone =
                self.numbers.as_mut().map(|numbers| numbers.generations.take_gone()).unwrap_or_default();
            if !gone.is_empty() {
                wires.let_go(gone);
            }
        }
        self.settle(wires);
    }

    // Callers

    fn greeted(&mut self, link: LinkId, hello: Hello, wires: &mut dyn Wires) {
        let known = self.state.links.get_mut(&link).expect("it was looked up");
        let wrong = match (&known.kind, hello.role) {
            _ if hello.version != VERSION => Some(format!("speaks version {}, not {VERSION}", hello.version)),
            (Kind::Fresh, Role::Caller) => {
                known.kind = Kind::Caller(hello.name.clone());
                None
            }
            (Kind::Core(server), Role::Core) if server.0 != hello.name => {
                Some(format!("is {}, not {}", hello.name, server.0))
            }
            (Kind::Core(_), Role::Core) | (Kind::List, Role::List) => None,
            (_, role) => Some(format!("is a {role:?}")),
        };
        if let Some(wrong) = wrong {
            return self.drop_link(link, &wrong, wires);
        }
        known.greeted = true;
        if let Some(sent_at) = hello.sent_at {
            known.delay.of(self.state.now, sent_at);
        }
        match &known.kind {
            Kind::Caller(_) => {
                self.state.fresh.retain(|fresh| *fresh != link);
                let hello = Hello::new(Role::Edge, self.name.clone());
                self.hands(wires).say(link, Frame::Hello(hello));
            }
            Kind::Core(_) => self.send_queued(link, wires),
            Kind::List | Kind::Fresh => {}
        }
    }

    /// What waited for this link to come up goes.
    fn send_queued(&mut self, link: LinkId, wires: &mut dyn Wires) {
        let Some(server) = self.server_of(link) else { return };
        let far = self.state.servers.get_mut(&server).filter(|far| far.link == Some(link));
        let queued = far.map(|far| std::mem::take(&mut far.queued)).unwrap_or_default();
        for id in queued {
            if !self.hands(wires).send_launch(&id, link) {
                self.unreached(&id, &server, wires);
            }
        }
    }

    fn unreached(&mut self, id: &DialogueId, server: &ServerId, wires: &mut dyn Wires) {
        let at = self.state.held.get(id).map(|held| &held.at);
        if let Some(&At::Out { launch, .. }) = at {
            let mut hands = self.hands(wires);
            hands.launch_over(id);
            hands.back(id, false);
            hands.end(id, launch, server, Outcome::Unreachable);
        }
    }

    fn dialled(&mut self, link: LinkId, dial: Dial, extra: Vec<Extra>, wires: &mut dyn Wires) {
        let id = dial.dialogue.clone();
        let mut seeks = false;
        let why = if let Some(held) = self.state.held.get(&id) {
            if held.link == link && !matches!(held.at, At::Releasing { .. }) {
                self.state.counts.repeats += 1; // It is in already, and will have its answer.
                return;
            }
            match self.take_over(&id, link) {
                None => return,
                why => why,
            }
        } else if self.state.concluded.contains(&id) && !dial.repeat {
            Some(NotTaken::Concluded)
        } else if self.state.held.len() >= self.state.limits.dialogues {
            Some(NotTaken::Full)
        } else {
            let known = usize::from(dial.product) < self.products
                && dial.tenant.is_none_or(|t| usize::from(t) < self.tenants)
                && (dial.width > 0.0 && dial.width <= WIDEST)
                && !dial.time_left.is_zero();
            let ready =
                dial.dialled.is_none() || self.numbers.as_ref().is_none_or(|numbers| numbers.is_ready());
            if !known {
                Some(NotTaken::Unknown)
            } else if !ready {
                Some(NotTaken::NotReady)
            } else {
                seeks = dial.repeat && wires.seek(&id, self.state.now + dial.time_left);
                (self.state.concluded.contains(&id) && !seeks).then_some(NotTaken::Concluded)
            }
        };
        if let Some(why) = why {
            self.state.counts.declined += 1;
            return self.hands(wires).say(link, Frame::Declined { dialogue: id, why, come_back: None });
        }
        self.state.counts.taken += 1;
        let now = self.state.now;
        let known = self.state.links.get_mut(&link).zip(dial.sent_at);
        let delay = known.map_or(Duration::ZERO, |(known, sent_at)| known.delay.of(now, sent_at));
        // A dial that was long on its way has lost that time; one that lost all of it is answered at once.
        let time_left = dial.time_left.saturating_sub(delay);
        let held = Held {
            link,
            cut_off: now + time_left,
            at: At::Waiting,
            launches: 0,
            product: dial.product,
            width: dial.width,
            key: dial.key.clone(),
            number: None,
            extra: extra.into(),
        };
        self.state.held.insert(id.clone(), held);
        if let Some(known) = self.state.links.get_mut(&link) {
            known.here.insert(id.clone());
        }
        if seeks {
            self.state.counts.sought += 1;
            self.state.dues.set(now + time_left, &id, SOUGHT);
            if let Some(held) = self.state.held.get_mut(&id) {
                held.at = At::Sought(Box::new(dial));
            }
            return;
        }
        wires.record(&id, Step::Taken);
        self.decide(&dial, wires);
    }

    /// From now on it is for the module to decide, once its number is analysed.
    fn decide(&mut self, dial: &Dial, wires: &mut dyn Wires) {
        let now = self.state.now;
        let id = dial.dialogue.clone();
        let Some(cut_off) = self.state.held.get(&id).map(|held| held.cut_off) else { return };
        let product =
            self.numbers.as_ref().map_or(dial.product.into(), |n| n.module_product(dial.product, None));
        let arrival = Arrival {
            id,
            product: ProductId(product),
            tenant: dial.tenant.map(|t| TenantId(t.into())),
            first_choice: dial.first_choice,
            width: dial.width,
            dialled_at: now,
            cut_off: cut_off.saturating_sub(self.state.limits.record_within).max(now),
            again: dial.again,
            came_back: dial.came_back,
            key: dial.key.clone(),
        };
        if self.numbers.is_some() && dial.dialled.is_some() {
            return self.analyse(dial, arrival, wires);
        }
        let mut hands = Hands { state: &mut self.state, wires };
        self.brain.arrived(now, arrival, &mut hands);
    }

    /// A dialogue that is held is dialled on another link: where it is the same caller's, its former link is
    /// probably dead, and the answer goes to the new one.
    fn take_over(&mut self, id: &DialogueId, link: LinkId) -> Option<NotTaken> {
        let name = |link: &Link| match &link.kind {
            Kind::Caller(name) => Some(name.clone()),
            _ => None,
        };
        let held = self.state.held.get_mut(id)?;
        let before = held.link;
        let same = self.state.links.get(&before).and_then(name) == self.state.links.get(&link).and_then(name);
        if !same {
            return Some(NotTaken::NotYours);
        }
        if matches!(held.at, At::Standing { .. } | At::Releasing { .. }) {
            return Some(NotTaken::Concluded);
        }
        held.link = link;
        self.state.counts.repeats += 1;
        for (link, is_here) in [(before, false), (link, true)] {
            if let Some(known) = self.state.links.get_mut(&link) {
                if is_here {
                    known.here.insert(id.clone());
                } else {
                    known.here.remove(id);
                }
            }
        }
        None
    }

    /// The caller wants no more of this dialogue.
    fn hung_up(&mut self, id: &DialogueId, wires: &mut dyn Wires) {
        let now = self.state.now;
        let Some(held) = self.state.held.get_mut(id) else { return };
        match held.at.clone() {
            At::Standing { server, launch, link } => {
                let until = now + self.state.limits.release_within;
                held.at = At::Releasing { server, launch, link, until };
                self.state.dues.set(until, id, launch);
                self.hands(wires).say(link, Frame::Release { dialogue: id.clone(), launch });
            }
            At::Releasing { .. } => {}
            at @ (At::Sought(_) | At::Barred(..)) => {
                self.state.counts.left += 1;
                self.forget_sought(id, &at);
                self.hands(wires).conclude(id);
            }
            At::Asking => {
                self.state.counts.left += 1;
                if let Some(numbers) = &mut self.numbers {
                    numbers.forget(id);
                }
                self.hands(wires).conclude(id);
            }
            At::Waiting | At::Out { .. } => {
                self.state.counts.left += 1;
                let mut hands = Hands { state: &mut self.state, wires };
                self.brain.left(now, id, &mut hands);
                hands.conclude(id);
            }
        }
    }

    fn time_outs(&mut self, wires: &mut dyn Wires) {
        while let Some((id, launch)) = self.state.dues.pop(self.state.now) {
            self.timed_out(&id, launch, wires);
            self.hand_over_ends(wires);
        }
    }

    fn timed_out(&mut self, id: &DialogueId, launch: LaunchNo, wires: &mut dyn Wires) {
        let Some(held) = self.state.held.get(id) else { return };
        match held.at.clone() {
            At::Out { server, launch: out, .. } if out == launch => {
                let mut hands = self.hands(wires);
                hands.call_off(id, launch);
                hands.end(id, launch, &server, Outcome::TimedOut);
            }
            At::Sought(_) => self.decline_sought(id, None, wires),
            At::Barred(dial, _) => {
                if let Some(held) = self.state.held.get_mut(id) {
                    held.at = At::Waiting;
                }
                self.decide(&dial, wires);
            }
            At::Releasing { server, launch: out, link, .. } if out == launch => {
                self.stood_until_now(id, launch, &server, link, End::Released, LoadReport::default(), wires);
            }
            _ => {}
        }
    }

    // Core servers

    /// False: a frame that a core server does not send.
    fn core_said(
        &mut self, link: LinkId, server: &ServerId, frame: Frame, extra: Vec<Extra>, wires: &mut dyn Wires,
    ) -> bool {
        let now = self.state.now;
        match frame {
            Frame::Report { report } => self.reported(server, &report, wires),
            Frame::Stood { dialogue, launch, report } => {
                if self.is_out(&dialogue, launch, link) {
                    let mut hands = Hands { state: &mut self.state, wires };
                    hands.launch_over(&dialogue);
                    hands.state.counts.stood += 1;
                    if let Some(held) = hands.state.held.get_mut(&dialogue) {
                        held.at = At::Standing { server: server.clone(), launch, link };
                        held.extra = Box::default(); // No launch will carry it any more.
                        let caller = (held.link, held.cut_off);
                        if let Some(known) = hands.state.links.get_mut(&link) {
                            known.here.insert(dialogue.clone());
                        }
                        let stands = Frame::Stands { dialogue: dialogue.clone(), server: server.clone() };
                        hands.answer(caller, &dialogue, launch, Message { frame: stands, extra });
                    }
                    self.brain.stands(now, &dialogue, launch, server, &mut hands);
                } else {
                    // It crossed a cancel, or comes twice: unless it is the one that stands, its lines go back.
                    self.state.counts.strays += 1;
                    if !self.is_standing(&dialogue, launch, link) {
                        self.called_off_again(&dialogue, server.clone(), wires);
                        self.hands(wires).say(link, Frame::Release { dialogue, launch });
                    }
                }
                self.reported(server, &report, wires);
            }
            Frame::TurnedBack { dialogue, launch, cause, report } => {
                let outcome = match cause {
                    Cause::Processor => Outcome::TurnedBack,
                    Cause::Lines => Outcome::LinesTaken,
                    Cause::NumberBusy => Outcome::NumberBusy,
                    Cause::Fault => Outcome::Fault,
                };
                self.launch_ended(link, server, &dialogue, launch, outcome, report, wires);
            }
            Frame::BrokenOff { dialogue, launch, report } => {
                self.launch_ended(link, server, &dialogue, launch, Outcome::BrokenOff, report, wires);
            }
            Frame::Ended { dialogue, launch, end, report } => {
                let at = self.state.held.get(&dialogue).map(|held| held.at.clone());
                match at {
                    Some(
                        At::Standing { launch: out, link: over, .. }
                        | At::Releasing { launch: out, link: over, .. },
                    ) if (out, over) == (launch, link) => {
                        self.stood_until_now(&dialogue, launch, server, link, end, report, wires);
                    }
                    _ => {
                        self.launch_ended(link, server, &dialogue, launch, Outcome::BrokenOff, report, wires)
                    }
                }
            }
            _ => return false,
        }
        true
    }

    fn reported(&mut self, server: &ServerId, report: &LoadReport, wires: &mut dyn Wires) {
        if *report != LoadReport::default() {
            let mut hands = Hands { state: &mut self.state, wires };
            self.brain.reported(hands.state.now, server, report, &mut hands);
        }
    }

    fn is_out(&self, id: &DialogueId, launch: LaunchNo, link: LinkId) -> bool {
        let at = self.state.held.get(id).map(|held| &held.at);
        matches!(at, Some(At::Out { launch: out, link: over, .. }) if (*out, *over) == (launch, Some(link)))
    }

    fn is_standing(&self, id: &DialogueId, launch: LaunchNo, link: LinkId) -> bool {
        let at = self.state.held.get(id).map(|held| &held.at);
        matches!(at, Some(At::Standing { launch: out, link: over, .. }) if (*out, *over) == (launch, link))
    }

    #[expect(clippy::too_many_arguments)]
    fn launch_ended(
        &mut self, link: LinkId, server: &ServerId, id: &DialogueId, launch: LaunchNo, outcome: Outcome,
        report: LoadReport, wires: &mut dyn Wires,
    ) {
        if !self.is_out(id, launch, link) {
            self.state.counts.strays += 1;
            return self.reported(server, &report, wires);
        }
        let mut hands = Hands { state: &mut self.state, wires };
        hands.launch_over(id);
        hands.back(id, matches!(outcome, Outcome::BrokenOff | Outcome::TimedOut | Outcome::CalledOff));
        let end = LaunchEnd {
            dialogue: id.clone(),
            launch,
            server: server.clone(),
            outcome,
            closed: false,
            report,
        };
        self.brain.ended(hands.state.now, end, &mut hands);
    }

    /// A dialogue that stood is over, by its caller's release or without.
    #[expect(clippy::too_many_arguments)]
    fn stood_until_now(
        &mut self, id: &DialogueId, launch: LaunchNo, server: &ServerId, link: LinkId, end: End,
        report: LoadReport, wires: &mut dyn Wires,
    ) {
        let mut hands = Hands { state: &mut self.state, wires };
        if let Some(known) = hands.state.links.get_mut(&link) {
            known.here.remove(id);
        }
        let at = hands.state.held.get(id).map(|held| held.at.clone());
        match at {
            Some(At::Releasing { until, .. }) => {
                hands.state.dues.unset(until, id, launch);
                hands.conclude(id);
                hands.wires.record(id, Step::Over);
            }
            Some(At::Standing { .. }) if end == End::Cut => hands.cut(id),
            Some(At::Standing { .. }) => {
                if let Some((caller, _)) = hands.conclude(id) {
                    hands.wires.record(id, Step::Over);
                    hands.flush(id);
                    hands.say(caller, Frame::Over { dialogue: id.clone(), end });
                }
            }
            _ => return,
        }
        let outcome = if end == End::Cut { Outcome::BrokenOff } else { Outcome::Ended };
        let end =
            LaunchEnd { dialogue: id.clone(), launch, server: server.clone(), outcome, closed: true, report };
        self.brain.ended(hands.state.now, end, &mut hands);
    }

    // The list

    fn listed(&mut self, whole: bool, entries: Vec<Entry>, wires: &mut dyn Wires) {
        let now = self.state.now;
        if whole {
            self.state.servers.values_mut().for_each(|far| far.listed = Listed::Gone);
        }
        let mut told = Vec::new();
        let mut renewed = Vec::new();
        let mut left_out = 0;
        for entry in entries {
            let since = if entry.age.is_zero() {
                Duration::ZERO
            } else {
                now.saturating_sub(entry.age).max(Duration::from_micros(1))
            };
            let full = self.state.servers.len() >= MOST_SERVERS;
            let known = self.state.servers.get_mut(&entry.server);
            let far = match known {
                Some(far) => {
                    if far.life != entry.life || far.address != entry.address {
                        // Another process answers there; what is out on the old link ends with that.
                        renewed.extend(far.link.take());
                        if far.life != entry.life {
                            far.since = since;
                        }
                        (far.address, far.life) = (entry.address.clone(), entry.life);
                    }
                    far.listed = entry.listed;
                    far
                }
                None if full => {
                    left_out += 1;
                    continue;
                }
                None => self.state.servers.entry(entry.server.clone()).or_insert(Far {
                    address: entry.address.clone(),
                    listed: entry.listed,
                    life: entry.life,
                    since,
                    link: None,
                    queued: Vec::new(),
                }),
            };
            let (number, listed, since) = (entry.number, far.listed, far.since);
            told.push(ListEntry { server: entry.server, number, listed, since });
        }
        if left_out > 0 {
            let line =
                format!("{left_out} servers of the list are left out: {MOST_SERVERS} are known already");
            wires.log(Note::Mode, &line);
        }
        for entry in &told {
            if entry.listed == Listed::Active {
                self.hands(wires).link_to(&entry.server);
            }
        }
        let mut hands = Hands { state: &mut self.state, wires };
        self.brain.listed(now, whole, &told, &mut hands);
        // What waits for the link of a server that drains is not sent there when the link is up.
        let leaving = self.state.servers.iter_mut().filter(|(_, far)| far.listed != Listed::Active);
        let stranded: Vec<_> = leaving
            .flat_map(|(id, far)| std::mem::take(&mut far.queued).into_iter().map(|d| (d, id.clone())))
            .collect();
        for (dialogue, server) in stranded {
            self.unreached(&dialogue, &server, wires);
        }
        let gone = self.state.servers.iter().filter(|(_, far)| far.listed == Listed::Gone);
        let gone: Vec<ServerId> = gone.map(|(id, _)| id.clone()).collect();
        renewed.extend(gone.iter().filter_map(|id| self.state.servers.get(id)?.link));
        for link in renewed {
            if self.state.links.get(&link).is_some_and(|known| known.here.is_empty()) {
                self.drop_link(link, "its server is gone from the list", wires);
            }
        }
        for id in gone {
            if self.state.servers.get(&id).is_some_and(|far| far.link.is_none() && far.queued.is_empty()) {
                self.state.servers.remove(&id);
            }
        }
    }

    // Links

    fn sweep(&mut self, wires: &mut dyn Wires) {
        let (now, limits) = (self.state.now, self.state.limits.clone());
        let mut doomed: Vec<(LinkId, &str)> = Vec::new();
        let mut silent = Vec::new();
        for (id, link) in &mut self.state.links {
            let within =
                if matches!(link.kind, Kind::Fresh) { limits.hello_within } else { limits.connect_within };
            // The link to a former life of a server, or to one that is gone, ends with the last dialogue there.
            let left = |server| {
                let far: Option<&Far> = self.state.servers.get(server);
                far.is_none_or(|far| far.link != Some(*id) || far.listed == Listed::Gone)
            };
            if matches!(&link.kind, Kind::Core(server) if link.here.is_empty() && left(server)) {
                doomed.push((*id, "nobody is there any more"));
            } else if link.vouched {
            } else if !link.greeted && now >= link.since + within {
                doomed.push((*id, "no hello in time"));
            } else if link.greeted && now >= link.heard + limits.dead_after {
                doomed.push((*id, "silent, taken as dead"));
            } else if link.greeted && !link.asked && now >= link.heard + limits.ask_after {
                link.asked = true;
                silent.push(*id);
            }
        }
        for link in silent {
            self.hands(wires).say(link, Frame::Ping { nonce: now.as_micros() as u64 });
        }
        for (link, why) in doomed {
            self.drop_link(link, why, wires);
        }
    }

    /// Ends a link from this side.
    fn drop_link(&mut self, link: LinkId, why: &str, wires: &mut dyn Wires) {
        if self.state.links.contains_key(&link) {
            wires.close(link, why);
            self.forget_link(link, why, wires);
        }
    }

    /// What was on a link that is gone, ends.
    fn forget_link(&mut self, link: LinkId, why: &str, wires: &mut dyn Wires) {
        let Some(mut known) = self.state.links.remove(&link) else { return };
        self.state.counts.links_closed += 1;
        match &known.kind {
            Kind::Fresh | Kind::Caller(_) => {
                self.state.callers -= 1;
                self.state.fresh.retain(|fresh| *fresh != link);
                let name = if let Kind::Caller(name) = &known.kind { name } else { "that said no hello" };
                let open = known.here.len();
                wires.log(Note::Link, &format!("caller {name} gone with {open} dialogues: {why}"));
                for id in std::mem::take(&mut known.here) {
                    self.hung_up(&id, wires);
                    self.hand_over_ends(wires);
                }
            }
            Kind::List => {
                wires.log(Note::Link, &format!("list gone: {why}"));
                self.list_at = Some(self.state.now + LIST_AGAIN);
            }
            Kind::Core(server) => {
                let server = server.clone();
                let there = known.here.len();
                wires.log(Note::Link, &format!("link to {} gone with {there} dialogues: {why}", server.0));
                let far = self.state.servers.get_mut(&server).filter(|far| far.link == Some(link));
                let queued = far.map(|far| {
                    far.link = None;
                    std::mem::take(&mut far.queued)
                });
                for id in queued.unwrap_or_default() {
                    self.unreached(&id, &server, wires);
                }
                for id in std::mem::take(&mut known.here) {
                    self.cut_off(&id, &server, wires);
                    self.hand_over_ends(wires);
                }
                if self.state.servers.get(&server).is_some_and(|far| {
                    far.listed == Listed::Gone && far.link.is_none() && far.queued.is_empty()
                }) {
                    self.state.servers.remove(&server);
                }
            }
        }
    }

    /// The link that this dialogue was on is gone.
    fn cut_off(&mut self, id: &DialogueId, server: &ServerId, wires: &mut dyn Wires) {
        let at = self.state.held.get(id).map(|held| held.at.clone());
        match at {
            Some(At::Out { launch, .. }) => {
                let mut hands = self.hands(wires);
                hands.launch_over(id);
                hands.back(id, true);
                hands.end(id, launch, server, Outcome::BrokenOff);
            }
            Some(At::Standing { launch, link, .. }) => {
                self.stood_until_now(id, launch, server, link, End::Cut, LoadReport::default(), wires);
            }
            Some(At::Releasing { launch, link, .. }) => {
                self.stood_until_now(id, launch, server, link, End::Released, LoadReport::default(), wires);
            }
            _ => {}
        }
    }

    // Numbers

    /// A datagram of a look-up server.
    pub fn replied(&mut self, now: Duration, server: usize, datagram: &[u8], wires: &mut dyn Wires) {
        self.state.now = now;
        if let Some(numbers) = &mut self.numbers {
            numbers.replied(now, server, datagram, wires);
        }
        self.time_outs(wires);
        self.numbers_due(wires);
        self.settle(wires);
    }

    /// What came of `Wires::load`.
    pub fn loaded(
        &mut self, now: Duration, name: &str, tables: Result<Arc<Tables>, String>, wires: &mut dyn Wires,
    ) {
        self.state.now = now;
        if let Some(numbers) = &mut self.numbers {
            if let Err(why) = &tables {
                wires.log(Note::Link, &format!("generation {name} is not taken:\n{why}"));
            }
            numbers.loaded(now, name, tables, wires);
        }
        self.numbers_due(wires);
        self.settle(wires);
    }

    /// An order about tables, from elsewhere than the list; `Wires::tabled` tells what came of it.
    pub fn order_tables(&mut self, now: Duration, serial: u64, order: TablesOrder, wires: &mut dyn Wires) {
        self.state.now = now;
        match &mut self.numbers {
            Some(numbers) => numbers.ordered(now, serial, order, wires),
            None => wires.tabled(serial, Some("numbers are not analysed here")),
        }
        self.numbers_due(wires);
        self.settle(wires);
    }

    /// An order about tables came from the list.
    fn ordered(&mut self, link: LinkId, serial: u64, order: TablesOrder, wires: &mut dyn Wires) {
        let now = self.state.now;
        match &mut self.numbers {
            Some(numbers) => numbers.ordered(now, serial, order, wires),
            None => {
                let why = Some(Arc::from("numbers are not analysed here"));
                self.hands(wires).say(link, Frame::Tabled { serial, in_force: 0, name: None, why });
            }
        }
        self.numbers_due(wires);
    }

    fn analyse(&mut self, dial: &Dial, arrival: Arrival, wires: &mut dyn Wires) {
        let Some(numbers) = &mut self.numbers else { return };
        self.state.counts.analysed += 1;
        let id = arrival.id.clone();
        match numbers.begin(self.state.now, dial, arrival, wires) {
            Some(found) => self.analysed(found, wires),
            None => {
                self.state.counts.looked_up += 1;
                if let Some(held) = self.state.held.get_mut(&id) {
                    held.at = At::Asking;
                }
            }
        }
    }

    /// What is due of tables and look-ups, and what came of look-ups meanwhile.
    fn numbers_due(&mut self, wires: &mut dyn Wires) {
        let Some(numbers) = &mut self.numbers else { return };
        let (found, unanswered) = numbers.due(self.state.now, wires);
        let said = numbers.take_said();
        self.state.counts.unanswered += unanswered;
        for found in found {
            self.analysed(found, wires);
            self.hand_over_ends(wires);
        }
        if said.is_empty() {
            return;
        }
        let list = self.state.links.iter().find(|(_, link)| matches!(link.kind, Kind::List) && link.greeted);
        let list = list.map(|(id, _)| *id);
        for said in said {
            if let Frame::Tabled { serial, in_force, name, why } = &said {
                wires.tabled(*serial, why.as_deref());
                let (name, why) = (name.as_deref().unwrap_or("-"), why.as_deref().unwrap_or("done"));
                wires.log(
                    Note::Mode,
                    &format!("tables: order {serial} on {name}: {why}; in force is swap {in_force}"),
                );
            }
            if let Some(list) = list {
                self.hands(wires).say(list, said);
            }
        }
    }

    fn analysed(&mut self, (mut arrival, found): Analysed, wires: &mut dyn Wires) {
        let Some(held) = self.state.held.get_mut(&arrival.id) else { return };
        held.at = At::Waiting;
        match found {
            Ok(route) => {
                held.product = route.product;
                held.width = route.width;
                let routing = route.routing.map(|routing| Arc::from(routing.to_string()));
                held.number = Some(Box::new((Arc::from(route.number.to_string()), routing)));
                arrival.product = ProductId(route.module_product);
                arrival.width = route.width;
                if let Some(first) = route.first {
                    arrival.first_choice = ServerNumber(first);
                }
                let mut hands = Hands { state: &mut self.state, wires };
                self.brain.arrived(hands.state.now, arrival, &mut hands);
            }
            Err(_) => {
                self.state.counts.barred += 1;
                let mut hands = self.hands(wires);
                hands.refuse(&arrival.id, None);
            }
        }
    }

    fn hands<'a>(&'a mut self, wires: &'a mut dyn Wires) -> Hands<'a> {
        Hands { state: &mut self.state, wires }
    }

    /// Hands the module the ends that came of what it did, until there is none.
    fn hand_over_ends(&mut self, wires: &mut dyn Wires) {
        while let Some(mut end) = self.state.ends.pop_front() {
            end.closed = !self.state.held.contains_key(&end.dialogue);
            let mut hands = Hands { state: &mut self.state, wires };
            self.brain.ended(hands.state.now, end, &mut hands);
        }
    }

    fn settle(&mut self, wires: &mut dyn Wires) {
        loop {
            self.hand_over_ends(wires);
            let Some((link, why)) = self.state.broken.pop_front() else { break };
            self.drop_link(link, why, wires);
        }
    }
}
