//! A hollow member: the product's own member state machine with its lease and its copies, without an edge proxy, callers or core
//! servers around it. Whoever drives it carries out its [`Effect`]s, in virtual time or on sockets.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_fleet::{DutyPlan, Effects, Member, MemberEvent, PeerLink, Plan, Save, Stored};
use lotussaddle_trunk::{Answer, Frame, TablesOrder};
use rustix::time::{ClockId, clock_gettime};

use crate::traffic::{CallStep, DrawnCalls};

/// How long a lease of duties lasts, as a sheet has it by default.
const LEASE: Duration = Duration::from_secs(2);
/// Voters of the lease in a fleet that is large enough for them.
const VOTERS: usize = 5;
const SMALLEST_WITH_FIVE_VOTERS: usize = 8;
/// Background work done at the end of one turn, at most, in slices.
const SLICES_A_TURN: usize = 8;
/// How long a launch may be out.
const LAUNCH_LASTS: Duration = Duration::from_secs(9);

/// What a member wants done outside itself.
#[derive(Debug)]
pub enum Effect {
    Send(PeerLink, Frame),
    Connect(u16, PeerLink),
    Close(PeerLink),
    /// A configuration change that was ordered is in force here, by the name it was published under.
    InForce(Arc<str>),
    Verdict(Verdict),
}

/// What a member concludes about another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A majority does not hear it: it is held dead.
    HeldDead(u16),
    HeardAgain(u16),
}

/// What a member is told from outside.
#[derive(Debug)]
pub enum Input {
    /// A link that a peer began is up.
    Accepted(PeerLink),
    /// A link that was begun here is up.
    Connected(PeerLink),
    /// A link has gone or did not come up.
    Lost(PeerLink),
    Received(PeerLink, Frame),
}

/// The figures of a fleet of hollow members: those of the product's defaults, with duties.
pub fn fleet_plan(size: usize) -> Plan {
    let members = (0..size).map(member_name).collect();
    let duties = DutyPlan { voters: voters(size), lease_duration: LEASE };
    Plan { members, duties: Some(duties), release_time: Duration::from_millis(300), ..Plan::default() }
}

/// The members that vote about duties: spread over the whole fleet, and so over its regions.
pub fn voters(size: usize) -> Vec<u16> {
    let count = if size >= SMALLEST_WITH_FIVE_VOTERS { VOTERS } else { 3 };
    (0..count).map(|voter| (voter * size / count) as u16).collect()
}

/// The name of a member; names are in the order of places.
pub fn member_name(place: usize) -> String {
    format!("member-{place:05}")
}

fn place_of(name: &str) -> Option<u16> {
    name.strip_prefix("member-")?.parse().ok()
}

/// Reads the two conclusions about other members that the state machine logs; other lines are of no interest here.
fn verdict_of(line: &str) -> Option<Verdict> {
    let (name, said) = line.strip_prefix("member ")?.split_once(' ')?;
    let place = place_of(name)?;
    match said {
        "is not heard by a majority" => Some(Verdict::HeldDead(place)),
        "is heard again" => Some(Verdict::HeardAgain(place)),
        _ => None,
    }
}

/// Collects what the state machine wants done in one turn. There is no disk.
struct Outbox {
    effects: Vec<Effect>,
    open: HashSet<PeerLink>,
    me: u16,
    links_begun: u64,
}

impl Effects for Outbox {
    fn send(&mut self, link: PeerLink, frame: Frame) -> bool {
        let is_open = self.open.contains(&link);
        if is_open {
            self.effects.push(Effect::Send(link, frame));
        }
        is_open
    }

    fn connect(&mut self, member: u16) -> PeerLink {
        let link = link_number(self.me, member, self.links_begun);
        self.links_begun += 1;
        self.open.insert(link);
        self.effects.push(Effect::Connect(member, link));
        link
    }

    fn close(&mut self, link: PeerLink, _why: &str) {
        if self.open.remove(&link) {
            self.effects.push(Effect::Close(link));
        }
    }

    fn log(&mut self, line: &str) {
        self.effects.extend(verdict_of(line).map(Effect::Verdict));
    }

    fn has_disk(&self) -> bool {
        false
    }

    fn save(&mut self, _what: Vec<Save>, _number: u64) -> bool {
        false
    }
}

/// The number of a link says who began it, to whom, which of that member's links it is, and at which end it is seen.
fn link_number(begun_by: u16, begun_to: u16, count: u64) -> PeerLink {
    PeerLink(u64::from(begun_by) << 48 | u64::from(begun_to) << 32 | (count & COUNT_MASK) << 1)
}

const COUNT_MASK: u64 = 0x7fff_ffff;

/// The number of a link at its other end.
pub fn far_end(link: PeerLink) -> PeerLink {
    PeerLink(link.0 ^ 1)
}

/// The member at the other end of a link.
pub fn peer_of(link: PeerLink) -> u16 {
    let begun_here = link.0 & 1 == 0;
    let shift = if begun_here { 32 } else { 48 };
    (link.0 >> shift) as u16
}

/// Processor time of this thread.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// One member of the fleet and what it has used.
pub struct HollowMember {
    member: Member,
    outbox: Outbox,
    calls: Option<DrawnCalls>,
    /// Processor time spent inside the state machine.
    spent: Duration,
}

impl HollowMember {
    /// A process that starts; `links_begun` by former processes under its name, so that no number of a link comes twice.
    pub fn start(
        now: Duration, plan: Plan, chance: u64, links_begun: u64, calls: Option<DrawnCalls>,
    ) -> Self {
        let outbox = Outbox { effects: Vec::new(), open: HashSet::new(), me: plan.self_member, links_begun };
        let member = Member::new(now, plan, Stored::default(), chance);
        Self { member, outbox, calls, spent: Duration::ZERO }
    }

    /// The state machine itself.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Processor time spent inside the state machine so far.
    pub fn spent(&self) -> Duration {
        self.spent
    }

    /// Links begun by this process and by former ones under its name.
    pub fn links_begun(&self) -> u64 {
        self.outbox.links_begun
    }

    /// Links begun or up.
    pub fn links(&self) -> usize {
        self.outbox.open.len()
    }

    /// Whether a link is begun or up.
    pub fn has_link(&self, link: PeerLink) -> bool {
        self.outbox.open.contains(&link)
    }

    /// When the next turn is due if no input comes.
    pub fn next_due(&self) -> Duration {
        let calls = self.calls.as_ref().map_or(Duration::MAX, DrawnCalls::next_due);
        self.member.next_due().min(calls)
    }

    /// An order to bring a configuration change into force everywhere; false if nobody is there to do it.
    pub fn publish(&mut self, now: Duration, change: &str) -> bool {
        self.member.publish(now, change)
    }

    /// Takes all inputs, does what is due, and gives what is to be done outside.
    pub fn turn(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>) -> Vec<Effect> {
        let started = processor_time();
        for input in inputs {
            self.take(now, input);
        }
        if self.member.next_due() <= now {
            self.member.timer_fired(now, &mut self.outbox);
        }
        self.make_calls(now);
        self.member.flush(now, &mut self.outbox);
        self.settle(now);
        self.work(now);
        self.member.flush(now, &mut self.outbox);
        self.settle(now);
        self.spent += processor_time().saturating_sub(started);
        std::mem::take(&mut self.outbox.effects)
    }

    fn take(&mut self, now: Duration, input: Input) {
        match input {
            Input::Accepted(link) => {
                self.outbox.open.insert(link);
                self.member.link_accepted(now, link);
            }
            Input::Connected(link) if self.has_link(link) => {
                self.member.link_connected(now, link, &mut self.outbox);
            }
            Input::Received(link, frame) if self.has_link(link) => {
                self.member.frame_received(now, link, frame, &mut self.outbox);
            }
            Input::Lost(link) => {
                if self.outbox.open.remove(&link) {
                    self.member.link_closed(now, link, "closed by its peer", &mut self.outbox);
                }
            }
            Input::Connected(_) | Input::Received(..) => {}
        }
    }

    fn work(&mut self, now: Duration) {
        for _ in 0..SLICES_A_TURN {
            let began = Instant::now();
            let Some(chore) = self.member.run_background_slice(now, false, &mut self.outbox) else { return };
            self.member.background_slice_done(now, chore, began.elapsed());
        }
    }

    /// Carries out what the state machine found.
    fn settle(&mut self, now: Duration) {
        loop {
            let findings = self.member.take_events();
            if findings.is_empty() {
                return;
            }
            findings.into_iter().for_each(|finding| self.apply(now, finding));
        }
    }

    fn apply(&mut self, now: Duration, finding: MemberEvent) {
        match finding {
            MemberEvent::CarryOutTablesOrder(serial, order) => self.carry_out(now, serial, order),
            MemberEvent::GiveUpDialogue(dialogue) => self.member.dialogue_given_up(now, &dialogue),
            MemberEvent::WriteConfirmed(ticket) => {
                self.calls.iter_mut().for_each(|calls| calls.kept(now, ticket))
            }
            MemberEvent::SendToCore(_, frame) => self.member.core_send_failed(now, &frame),
            MemberEvent::RedialResolved(..) | MemberEvent::OwnershipLost(_) => {}
        }
    }

    /// Tables are read in no time here: a hollow member has none, and what is measured is the way to it.
    fn carry_out(&mut self, now: Duration, serial: u64, order: TablesOrder) {
        if let TablesOrder::Swap { name, .. } = order {
            self.outbox.effects.push(Effect::InForce(name));
        }
        self.member.tables_order_done(now, serial, None);
    }

    fn make_calls(&mut self, now: Duration) {
        while let Some(step) = self.calls.as_mut().and_then(|calls| calls.due(now)) {
            self.step(now, step);
        }
    }

    fn step(&mut self, now: Duration, step: CallStep) {
        let server = ServerId(Arc::from("core"));
        match step {
            CallStep::Launch(dialogue) => {
                self.member.dialogue_accepted(now, &dialogue);
                let until = now + LAUNCH_LASTS;
                let ticket = self.member.launch_planned(now, &dialogue, &server, LaunchNumber(0), until);
                self.wait_for(now, ticket, CallStep::Answer(dialogue));
            }
            CallStep::Answer(dialogue) => {
                let ticket =
                    self.member.answer_planned(now, &dialogue, &Answer::Stands { server }, LaunchNumber(0));
                self.wait_for(now, ticket, CallStep::End(dialogue));
            }
            CallStep::End(dialogue) => self.member.dialogue_ended(now, &dialogue),
        }
    }

    fn wait_for(&mut self, now: Duration, ticket: Option<u64>, next: CallStep) {
        let Some(calls) = &mut self.calls else { return };
        match ticket {
            Some(ticket) => calls.wait(ticket, next),
            None => calls.schedule(now, next),
        }
    }
}

/// The dialogue of a call: which member's, in which start of it, and its number.
pub fn dialogue_id(member: u16, start: u64, number: u64) -> DialogueId {
    DialogueId(Arc::from(format!("gateway-{member}-{start}-{number}")))
}

#[cfg(test)]
#[path = "../tests/unit/hollow.rs"]
mod tests;
