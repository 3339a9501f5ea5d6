//! Asks look-up servers, keeps what they say, and tells whoever waits.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use lotussaddle_numbers::Digits;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::{Breaker, Cache, Found, Limit, Moved, Question, Reply, Said, write};

/// Names that a question is sent on to, at most (RFC 6116, 3.4.2 bids to bound it).
const MOST_HOPS: usize = 5;
/// Datagrams of a server that answer nothing, after which all that is out there is asked anew, under other ids:
/// somebody guesses.
const MOST_STRANGE: u32 = 64;
/// A question that was not answered in time may be answered late: so long its id is remembered, and so many.
const LINGERS: Duration = Duration::from_secs(10);
const MOST_LINGER: usize = 4096;

/// How the client goes about it. Times and counts that an operator may set; the rest is decided in the code.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Under what the numbers stand.
    pub suffix: String,
    pub servers: usize,
    /// An answer is waited for this long at least, twice as long after each repeat; longer, up to a second, where a
    /// server's answers take longer.
    pub first_wait: Duration,
    /// Times that a question is asked.
    pub tries: u32,
    /// Questions out at one server, at first and at most.
    pub first_out: usize,
    pub most_out: usize,
    /// Questions that wait to be asked; beyond it a new one is not asked.
    pub queue: usize,
    /// Numbers remembered.
    pub remembered: usize,
    /// An answer holds as long as it says, but within these.
    pub shortest: Duration,
    pub longest: Duration,
    /// And is used for so long after, while it is asked again.
    pub stale: Duration,
    /// Off: for measurements.
    pub limited: bool,
    pub breaks: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            suffix: "e164.arpa".into(),
            servers: 1,
            first_wait: Duration::from_millis(60),
            tries: 3,
            first_out: 16,
            most_out: 1024,
            queue: 4096,
            remembered: 100_000,
            shortest: Duration::from_secs(5),
            longest: Duration::from_secs(3600),
            stale: Duration::from_secs(600),
            limited: true,
            breaks: true,
        }
    }
}

/// What came of asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    Now(Moved),
    /// `Told` comes, or the waiter is forgotten first.
    Waits,
    /// Nothing can be had: all servers are left alone, or too much waits.
    Never,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Known(Moved),
    /// Why not.
    Unknown(&'static str),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    pub waiter: u64,
    pub outcome: Outcome,
}

/// What the client does to the world.
pub trait Outside {
    /// A datagram for a server, by its number.
    fn send(&mut self, server: usize, bytes: &[u8]);
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub fresh: u64,
    pub stale: u64,
    pub folded: u64,
    pub sent: u64,
    pub answered: u64,
    pub timed_out: u64,
    /// Answers to questions that were waited for no longer.
    pub late: u64,
    /// Datagrams that answered nothing that was out.
    pub strange: u64,
    pub failed: u64,
    pub refused: u64,
    /// Servers that were left alone.
    pub broken: u64,
}

struct Open {
    tenant: u32,
    /// By name, so that a circle is seen.
    names: Vec<String>,
    waiters: BTreeSet<u64>,
    out: Option<Out>,
    tried: u32,
    /// The server that is to be asked next, if it can.
    next_server: usize,
}

struct Out {
    server: usize,
    id: u16,
    sent_at: Duration,
    due: Duration,
}

/// A question under an id.
struct Sent {
    number: Digits,
    tenant: u32,
    name: String,
    sent_at: Duration,
    /// Else it was not answered in time.
    in_time: bool,
}

struct Server {
    limit: Limit,
    breaker: Breaker,
    by_id: HashMap<u16, Sent>,
    /// Ids of questions that were not answered in time.
    late: VecDeque<(Duration, u16)>,
    strange: u32,
    /// How long its answers take, and how much they differ, in seconds. Each try has an id of its own, so that a late
    /// answer tells its time too.
    takes: Option<(f64, f64)>,
}

/// An answer is waited for no longer than this, before the wait grows with repeats.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

impl Server {
    fn new(plan: &Plan) -> Self {
        Self {
            limit: Limit::new(plan.first_out, plan.most_out),
            breaker: Breaker::default(),
            by_id: HashMap::new(),
            late: VecDeque::new(),
            strange: 0,
            takes: None,
        }
    }

    fn took(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.takes = Some(match self.takes {
            None => (time, time / 2.0),
            Some((usual, differs)) => {
                let off = (time - usual).abs();
                (usual + (time - usual) / 8.0, differs + (off - differs) / 4.0)
            }
        });
    }

    /// How long an answer is waited for: the plan's wait at least, and longer where its answers take longer.
    fn wait(&self, plan: &Plan) -> Duration {
        let (usual, differs) = self.takes.unwrap_or_default();
        Duration::from_secs_f64(usual + 4.0 * differs)
            .clamp(plan.first_wait, LONGEST_WAIT.max(plan.first_wait))
    }

    /// From now on an answer under this id is late.
    fn is_late(&mut self, now: Duration, id: u16) {
        if let Some(sent) = self.by_id.get_mut(&id) {
            sent.in_time = false;
            self.late.push_back((now, id));
        }
        while let Some((since, id)) = self.late.front().copied()
            && (since + LINGERS <= now || self.late.len() > MOST_LINGER)
        {
            self.late.pop_front();
            // An id that was answered late may be in use again.
            if self.by_id.get(&id).is_some_and(|sent| !sent.in_time) {
                self.by_id.remove(&id);
            }
        }
    }
}

pub struct Client {
    plan: Plan,
    chance: StdRng,
    servers: Vec<Server>,
    cache: Cache,
    open: HashMap<Digits, Open>,
    /// Numbers that wait to be asked.
    queue: VecDeque<Digits>,
    dues: BTreeSet<(Duration, Digits)>,
    by_waiter: HashMap<u64, Digits>,
    told: Vec<Told>,
    first: usize,
    pub counts: Counts,
}

impl Client {
    /// The seed is drawn where nobody can guess it: ids are drawn by it.
    pub fn new(plan: Plan, seed: u64) -> Self {
        Self {
            chance: StdRng::seed_from_u64(seed),
            servers: (0..plan.servers).map(|_| Server::new(&plan)).collect(),
            cache: Cache::new(plan.remembered),
            open: HashMap::new(),
            queue: VecDeque::new(),
            dues: BTreeSet::new(),
            by_waiter: HashMap::new(),
            told: Vec::new(),
            first: 0,
            counts: Counts::default(),
            plan,
        }
    }

    /// Questions out, questions that wait, numbers remembered.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let out = self.servers.iter().map(|server| server.limit.out()).sum();
        (out, self.queue.len(), self.cache.len())
    }

    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// Questions that may be out at a server, and whether it is asked at all.
    pub fn server(&self, server: usize) -> (usize, bool) {
        let server = &self.servers[server];
        (server.limit.width(), server.breaker.is_closed())
    }

    /// What waiters are told, in order.
    pub fn take_told(&mut self) -> Vec<Told> {
        std::mem::take(&mut self.told)
    }

    pub fn next_due(&self) -> Option<Duration> {
        let trial = self.servers.iter().filter_map(|server| server.breaker.opens_at()).min();
        let due = self.dues.first().map(|(due, _)| *due);
        // A trial needs somebody to ask for.
        due.into_iter().chain(trial.filter(|_| !self.queue.is_empty())).min()
    }

    /// Has this number moved? `waiter` is told, unless it is forgotten before.
    pub fn ask(
        &mut self, now: Duration, tenant: u32, number: Digits, waiter: u64, outside: &mut dyn Outside,
    ) -> Asked {
        self.counts.asked += 1;
        match self.cache.get(now, tenant, number) {
            Found::Fresh(moved) => {
                self.counts.fresh += 1;
                return Asked::Now(moved);
            }
            Found::Stale(moved) => {
                self.counts.stale += 1;
                if !self.open.contains_key(&number) && self.can_begin(now) {
                    self.begin(now, tenant, number, None, outside);
                }
                return Asked::Now(moved);
            }
            Found::Nothing => {}
        }
        if let Some(open) = self.open.get_mut(&number) {
            self.counts.folded += 1;
            open.waiters.insert(waiter);
            self.by_waiter.insert(waiter, number);
            return Asked::Waits;
        }
        if !self.can_begin(now) {
            self.counts.refused += 1;
            return Asked::Never;
        }
        self.begin(now, tenant, number, Some(waiter), outside);
        Asked::Waits
    }

    /// This one waits no longer; the question stays, and its answer is kept for the next.
    pub fn forget(&mut self, waiter: u64) {
        if let Some(number) = self.by_waiter.remove(&waiter)
            && let Some(open) = self.open.get_mut(&number)
        {
            open.waiters.remove(&waiter);
        }
    }

    /// A datagram came from a server, at the port that it is asked from.
    pub fn heard(&mut self, now: Duration, server: usize, bytes: &[u8], outside: &mut dyn Outside) {
        let id = bytes.get(..2).map(|id| u16::from_be_bytes([id[0], id[1]]));
        let known = self.servers.get(server).zip(id);
        let Some((id, sent)) = known.and_then(|(server, id)| Some((id, server.by_id.get(&id)?))) else {
            return self.guessed(now, server, outside);
        };
        let (number, tenant, in_time, sent_at) = (sent.number, sent.tenant, sent.in_time, sent.sent_at);
        let question = Question { id, name: sent.name.clone() };
        // The id fits and the rest does not: it is no answer, and another may come.
        let Ok(reply) = Reply::read(bytes, &question, number) else {
            return self.guessed(now, server, outside);
        };
        self.servers[server].by_id.remove(&id);
        self.servers[server].took(now.saturating_sub(sent_at));
        if !in_time {
            self.counts.late += 1;
            // It lives; it will be waited for longer.
            self.servers[server].breaker.answered();
            if let Said::Number(moved) = reply.said {
                self.keep(now, tenant, number, moved, reply.ttl);
                self.drop_out(now, number);
                self.conclude(number, &Outcome::Known(moved));
            }
            return self.run_queue(now, outside);
        }
        self.close_out(now, number, |limit, _| limit.answered());
        self.servers[server].breaker.answered();
        self.counts.answered += 1;
        let outcome = match reply.said {
            Said::Number(moved) => {
                self.keep(now, tenant, number, moved, reply.ttl);
                Outcome::Known(moved)
            }
            Said::Elsewhere(name) => {
                let open = self.open.get_mut(&number).expect("it is open");
                if open.names.contains(&name) {
                    self.counts.failed += 1;
                    Outcome::Unknown("its names lead round in a circle")
                } else if open.names.len() > MOST_HOPS {
                    self.counts.failed += 1;
                    Outcome::Unknown("it is sent on too often")
                } else {
                    open.names.push(name);
                    self.send_or_queue(now, number, outside);
                    return self.run_queue(now, outside);
                }
            }
            Said::Truncated => self.failed("its answer has no room in a datagram"),
            Said::Failed(_) => {
                // Another server may know.
                let open = self.open.get_mut(&number).expect("it is open");
                open.next_server = server + 1;
                if open.tried < self.plan.tries {
                    self.send_or_queue(now, number, outside);
                    return self.run_queue(now, outside);
                }
                self.failed("no server can say")
            }
            Said::Senseless(_) => self.failed("its records make no sense"),
        };
        self.conclude(number, &outcome);
        self.run_queue(now, outside);
    }

    fn keep(&mut self, now: Duration, tenant: u32, number: Digits, moved: Moved, ttl: u32) {
        let holds = Duration::from_secs(ttl.into()).clamp(self.plan.shortest, self.plan.longest);
        self.cache.put(now, tenant, number, moved, holds, self.plan.stale);
    }

    fn failed(&mut self, why: &'static str) -> Outcome {
        self.counts.failed += 1;
        Outcome::Unknown(why)
    }

    /// The time given by `next_due` has come.
    pub fn alarm(&mut self, now: Duration, outside: &mut dyn Outside) {
        while let Some((_, number)) = self.dues.first().copied().filter(|(due, _)| *due <= now) {
            let open = self.open.get_mut(&number).expect("what is due is open");
            let server = open.out.as_ref().expect("what is due is out").server;
            open.next_server = server + 1;
            let given_up = open.tried >= self.plan.tries;
            self.counts.timed_out += 1;
            self.close_out(now, number, |limit, sent_at| limit.timed_out(now, sent_at));
            if self.plan.breaks && self.servers[server].breaker.timed_out(now, &mut self.chance) {
                self.counts.broken += 1;
            }
            if given_up {
                let outcome = self.failed("no server answers");
                self.conclude(number, &outcome);
            } else {
                self.send_or_queue(now, number, outside);
            }
        }
        self.run_queue(now, outside);
        // Nobody is left to be asked: whoever waits in the queue waits for a trial that may come late.
        if !self.queue.is_empty() && self.servers.iter().all(|server| !server.breaker.is_closed()) {
            for number in std::mem::take(&mut self.queue) {
                // One that was answered late, and asked about again, may be here though it is out.
                if self.open.get(&number).is_none_or(|open| open.out.is_some()) {
                    continue;
                }
                let outcome = self.failed("all servers are left alone");
                self.conclude(number, &outcome);
            }
        }
    }

    /// Is there a server that a new question might be asked of, now or soon?
    fn can_begin(&self, now: Duration) -> bool {
        let lives = |s: &Server| s.breaker.is_closed() || s.breaker.opens_at().is_some_and(|at| at <= now);
        self.queue.len() < self.plan.queue && self.servers.iter().any(lives)
    }

    fn begin(
        &mut self, now: Duration, tenant: u32, number: Digits, waiter: Option<u64>, outside: &mut dyn Outside,
    ) {
        let name = Question::of(0, number, &self.plan.suffix).name;
        self.first = (self.first + 1) % self.servers.len().max(1);
        let waiters = waiter.into_iter().collect();
        let open = Open { tenant, names: vec![name], waiters, out: None, tried: 0, next_server: self.first };
        self.open.insert(number, open);
        self.by_waiter.extend(waiter.map(|waiter| (waiter, number)));
        self.send_or_queue(now, number, outside);
    }

    fn send_or_queue(&mut self, now: Duration, number: Digits, outside: &mut dyn Outside) {
        if !self.send(now, number, outside) {
            self.queue.push_back(number);
        }
    }

    fn run_queue(&mut self, now: Duration, outside: &mut dyn Outside) {
        while let Some(number) = self.queue.front().copied() {
            // One that was answered late meanwhile is not asked any more.
            let waits = self.open.get(&number).is_some_and(|open| open.out.is_none());
            if waits && !self.send(now, number, outside) {
                return;
            }
            self.queue.pop_front();
        }
    }

    fn send(&mut self, now: Duration, number: Digits, outside: &mut dyn Outside) -> bool {
        let count = self.servers.len();
        let open = self.open.get_mut(&number).expect("it is open");
        let limited = self.plan.limited;
        let begin = open.next_server;
        let found = (0..count).map(|step| (begin + step) % count).find(|server| {
            let server = &mut self.servers[*server];
            (!limited || server.limit.has_room()) && server.by_id.len() < 32_768 && server.breaker.lets(now)
        });
        let Some(place) = found else { return false };
        let server = &mut self.servers[place];
        let id = loop {
            let id = self.chance.random();
            if !server.by_id.contains_key(&id) {
                break id;
            }
        };
        let name = open.names.last().expect("one at least").clone();
        let Some(bytes) = write(&Question { id, name: name.clone() }) else {
            let outcome = Outcome::Unknown("its name is no name");
            self.conclude(number, &outcome);
            return true;
        };
        let due = now + server.wait(&self.plan) * 2u32.pow(open.tried.min(6));
        open.tried += 1;
        open.out = Some(Out { server: place, id, sent_at: now, due });
        server.by_id.insert(id, Sent { number, tenant: open.tenant, name, sent_at: now, in_time: true });
        server.limit.sent();
        self.dues.insert((due, number));
        self.counts.sent += 1;
        outside.send(place, &bytes);
        true
    }

    /// What is out for a number is not waited for any longer.
    fn close_out(&mut self, now: Duration, number: Digits, limit: impl FnOnce(&mut Limit, Duration)) {
        let Some(out) = self.open.get_mut(&number).and_then(|open| open.out.take()) else { return };
        self.dues.remove(&(out.due, number));
        let server = &mut self.servers[out.server];
        server.is_late(now, out.id);
        limit(&mut server.limit, out.sent_at);
    }

    /// ... nor does it say anything of its server.
    fn drop_out(&mut self, now: Duration, number: Digits) {
        let server = self.open.get(&number).and_then(|open| open.out.as_ref()).map(|out| out.server);
        self.close_out(now, number, |limit, _| limit.dropped());
        if let Some(server) = server {
            self.servers[server].breaker.dropped(now);
        }
    }

    fn conclude(&mut self, number: Digits, outcome: &Outcome) {
        let Some(open) = self.open.remove(&number) else { return };
        for waiter in open.waiters {
            self.by_waiter.remove(&waiter);
            self.told.push(Told { waiter, outcome: outcome.clone() });
        }
    }

    /// A datagram answers nothing: while questions are out, it may be a guess at their ids, and other ids make
    /// guessing begin anew.
    fn guessed(&mut self, now: Duration, server: usize, outside: &mut dyn Outside) {
        self.counts.strange += 1;
        let Some(known) = self.servers.get_mut(server) else { return };
        known.strange += 1;
        if known.strange < MOST_STRANGE {
            return;
        }
        known.strange = 0;
        let out = known.by_id.values().filter(|sent| sent.in_time).map(|sent| sent.number);
        let mut out: Vec<Digits> = out.collect();
        out.sort_unstable();
        // No answer under a former id is taken any more.
        known.by_id.clear();
        known.late.clear();
        for number in out {
            self.drop_out(now, number);
            if self.open.get(&number).is_some_and(|open| open.tried < self.plan.tries) {
                self.send_or_queue(now, number, outside);
            } else {
                let outcome = self.failed("somebody guesses at its answer");
                self.conclude(number, &outcome);
            }
        }
        self.run_queue(now, outside);
    }
}
