//! Duties of one member: what is agreed about them goes over peer links and to the disk, and whoever holds one does its steps.
//!
//! Each act bears the number under which its duty is held. Receivers refuse lower ones, so that a holder that stood still does no
//! harm with what it does late; which member acts is only a matter of not doing things twice.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use lotussaddle::interface::ServerId;
use lotussaddle_lease::{
    self as lease, DutyAssignment, Effect, Fence, FencingToken, Lease, LeaseMessage, NO_MEMBER,
    PersistedState,
};
use lotussaddle_replica::{ReplicaGroup, digest};
use lotussaddle_trunk::{DutyAction, TablesOrder};
use serde_json::{Value, json};

use crate::lives::start_of;
use crate::publish::{Next, Publish};

/// A duty, by its place in [`NAMES`].
pub use lotussaddle_lease::Duty;

/// Lines that members which are gone left at core servers are asked for and released.
pub const SWEEP: Duty = Duty(0);
/// Each core server in turn: all members look whether what it holds of theirs is held by them.
pub const CIRCUITS: Duty = Duty(1);
/// One generation of number tables into force on all members.
pub const PUBLISH: Duty = Duty(2);
/// All members have the same ones in the same order. A further one is a name here and a [`Steps`].
pub const NAMES: [&str; 3] = ["sweep", "circuits", "publish"];

/// What happened last, for operators.
const MOST_EVENTS: usize = 32;

#[derive(Clone, Debug, PartialEq)]
pub struct DutyPlan {
    /// Members that vote: 3, 5 or 7 places in the group, until others are agreed on.
    pub voters: Vec<u16>,
    /// A duty is taken from a holder that has been silent for so long and a little more.
    pub lease: Duration,
}

/// What a holder may do in one step.
pub(crate) enum Step {
    /// All members are to look after what this core server holds of theirs.
    Check(ServerId),
}

/// The work of a duty, in steps that may be done twice: whoever follows begins behind the last one that was agreed on.
pub(crate) trait Steps {
    /// It is held from now on; `mark` is the last step of whoever had it before.
    fn begins(&mut self, now: Duration, mark: &[u8]);
    fn next_due(&self) -> Option<Duration>;
    /// The next step, and the mark that says that it is done.
    fn step(&mut self, now: Duration, cores: &BTreeSet<ServerId>) -> Option<(Step, Vec<u8>)>;
    fn ends(&mut self);
}

/// `circuits`: goes round the core servers.
pub(crate) struct Circuits {
    every: Duration,
    held: bool,
    last: Option<ServerId>,
    at: Duration,
}

impl Circuits {
    fn new(every: Duration) -> Self {
        Self { every, held: false, last: None, at: Duration::ZERO }
    }
}

impl Steps for Circuits {
    fn begins(&mut self, now: Duration, mark: &[u8]) {
        (self.held, self.at) = (true, now);
        let mark = std::str::from_utf8(mark).ok().filter(|name| !name.is_empty());
        self.last = mark.map(|name| ServerId(name.into()));
    }

    fn next_due(&self) -> Option<Duration> {
        self.held.then_some(self.at)
    }

    fn step(&mut self, now: Duration, cores: &BTreeSet<ServerId>) -> Option<(Step, Vec<u8>)> {
        if !self.held || now < self.at {
            return None;
        }
        // All of them once in this time, one after the other.
        self.at = now + self.every / cores.len().max(1) as u32;
        let behind = |server: &&ServerId| self.last.as_ref().is_none_or(|last| *server > last);
        let next = cores.iter().find(behind).or_else(|| cores.first())?.clone();
        self.last = Some(next.clone());
        Some((Step::Check(next.clone()), next.0.as_bytes().to_vec()))
    }

    fn ends(&mut self) {
        self.held = false;
    }
}

/// What the duties of this member ask to be done.
pub(crate) enum DutyEffect {
    Say(u16, Vec<u8>),
    /// Kept on disk under this number.
    Keep(u64, Vec<u8>),
    Check(DutyAction, ServerId),
    Log(String),
}

pub(crate) struct Duties {
    me: u16,
    lease: Lease,
    /// Numbers of the disk's orders, and those that the lease knows.
    orders: BTreeMap<u64, u64>,
    /// Acts of duties that came to this member.
    fence: Fence,
    circuits: Circuits,
    publish: Publish,
    checks: Vec<DutyEffect>,
    /// Since when duties are held here.
    since: BTreeMap<Duty, Duration>,
    events: VecDeque<(Duration, String)>,
    life: u64,
}

impl Duties {
    /// `kept` is what the disk has.
    pub fn new(
        now: Duration, me: u16, group: &ReplicaGroup, plan: &DutyPlan, unclaimed: Duration,
        (kept, fence): (Option<&[u8]>, Option<&[u8]>), chance: u64,
    ) -> Self {
        // Spread over the members: each duty has an order of its own.
        let ranks =
            NAMES.iter().map(|name| group.ranked_members(digest(&[b"duty", name.as_bytes()]))).collect();
        let kept: Option<PersistedState> = kept.and_then(|bytes| postcard::from_bytes(bytes).ok());
        let members = group.member_count() as u16;
        let kept = kept.filter(|kept| !kept.table.is_malformed(members));
        let plan = lease::Plan {
            self_member: me,
            member_count: members,
            voters: plan.voters.clone(),
            preferred_holders: ranks,
            lease_duration: plan.lease,
        };
        Self {
            me,
            lease: Lease::new(now, plan, kept, chance),
            orders: BTreeMap::new(),
            fence: fence.and_then(|bytes| postcard::from_bytes(bytes).ok()).unwrap_or_default(),
            circuits: Circuits::new(unclaimed * 2),
            publish: Publish::new(me),
            checks: Vec::new(),
            since: BTreeMap::new(),
            events: VecDeque::new(),
            life: 0,
        }
    }

    pub fn lives(&mut self, now: Duration, life: u64) {
        self.life = life;
        self.lease.set_incarnation(now, life);
    }

    pub fn is_older(&mut self, now: Duration) {
        self.lease.mark_state_stale(now);
    }

    /// Under which act a duty may be done now; none: it is not this member's.
    pub fn act(&self, now: Duration, duty: Duty) -> Option<DutyAction> {
        let number = self.lease.held_token(now, duty)?;
        Some(DutyAction { duty: duty.0, fencing_token: number.0, member: self.me, incarnation: self.life })
    }

    /// A word came from a member; false: it cannot be read.
    pub fn heard(&mut self, now: Duration, from: u16, word: &[u8]) -> bool {
        let Ok(word) = postcard::from_bytes::<LeaseMessage>(word) else { return false };
        self.lease.message_received(now, from, word);
        true
    }

    /// An act of a duty came here: true, its number is new, and what is kept of numbers is to be on disk before it is done.
    ///
    /// # Errors
    /// It is not to be done, since this number was seen.
    pub fn admits(&mut self, act: &DutyAction) -> Result<bool, u64> {
        let (duty, number) = (Duty(act.duty), FencingToken(act.fencing_token));
        self.fence.admit(duty, number, act.member, act.incarnation).map_err(|refused| refused.highest.0)
    }

    /// What is kept of numbers that were seen.
    pub fn fence(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.fence).expect("numbers are plain")
    }

    /// A receiver refused an act of this member's.
    pub fn refused(&mut self, now: Duration, duty: u16, highest: u64) {
        self.note(now, format!("{}: an act was refused, number {highest} was seen", name_of(Duty(duty))));
        self.lease.token_refused(now, Duty(duty), FencingToken(highest));
    }

    pub fn ordered(&mut self, order: u64, keep: u64) {
        self.orders.insert(order, keep);
    }

    /// The disk has had all orders up to this one, or could not have them.
    pub fn saved(&mut self, now: Duration, order: u64, well: bool) {
        if let Some(keep) = self.orders.remove(&order) {
            self.lease.state_persisted(now, keep, well);
        }
    }

    pub fn kept(&mut self, now: Duration, keep: u64, well: bool) {
        self.lease.state_persisted(now, keep, well);
    }

    /// An operator wants a duty to go elsewhere.
    pub fn hand_over(&mut self, now: Duration, duty: Duty, to: Option<u16>) {
        self.lease.send_to_leader(now, LeaseMessage::MoveDuty { duty, to });
    }

    pub fn change_voters(&mut self, now: Duration, voters: Vec<u16>) {
        self.lease.send_to_leader(now, LeaseMessage::ChangeVoters { voters });
    }

    /// This process is to end: what it holds goes to others first.
    pub fn end(&mut self, now: Duration) {
        self.lease.shut_down(now);
    }

    pub fn is_done(&self) -> bool {
        self.lease.is_shut_down()
    }

    pub fn next_due(&self) -> Duration {
        let steps = [self.circuits.next_due(), self.publish.next_due()].into_iter().flatten();
        steps.fold(self.lease.next_due(), Duration::min)
    }

    pub fn alarm(&mut self, now: Duration, cores: &BTreeSet<ServerId>) {
        if self.lease.next_due() <= now {
            self.lease.timer_fired(now);
        }
        if let Some(act) = self.act(now, CIRCUITS)
            && let Some((Step::Check(server), mark)) = self.circuits.step(now, cores)
        {
            self.checks.push(DutyEffect::Check(act, server));
            self.lease.report_checkpoint(now, CIRCUITS, mark);
        }
    }

    /// Who holds a duty, as far as is known here.
    pub fn holder(&self, duty: Duty) -> Option<u16> {
        self.lease.table().assignment(duty).map(|seat| seat.member).filter(|member| *member != NO_MEMBER)
    }

    /// A generation is wanted in force on all; false: the duty is not held here, or too many wait.
    pub fn want(&mut self, now: Duration, name: &str) -> bool {
        self.publish.want(now, name)
    }

    pub fn published(&mut self, now: Duration, member: u16, life: u64, serial: u64, why: Option<&str>) {
        self.publish.answered(now, member, life, serial, why);
    }

    /// Orders to members, where `publish` is held here and something is due; `heard` gives those that are heard.
    pub fn publishes(
        &mut self, now: Duration, heard: impl Fn() -> Vec<(u16, u64)>,
    ) -> Vec<(u16, DutyAction, u64, TablesOrder)> {
        let due = self.publish.next_due().is_some_and(|due| due <= now);
        let Some(act) = self.act(now, PUBLISH).filter(|_| due) else { return Vec::new() };
        let mut orders = Vec::new();
        for next in self.publish.next(now, &heard()) {
            match next {
                Next::Mark(mark) => drop(self.lease.report_checkpoint(now, PUBLISH, mark)),
                Next::Send(member, serial, order) => orders.push((member, act, serial, order)),
            }
        }
        orders
    }

    /// How far a duty has come, for whoever follows and for operators.
    pub fn mark(&mut self, now: Duration, duty: Duty, mark: String) {
        self.lease.report_checkpoint(now, duty, mark.into_bytes());
    }

    /// What has come of all inputs since it was asked last.
    pub fn outs(&mut self, now: Duration) -> Vec<DutyEffect> {
        let mut actions = std::mem::take(&mut self.checks);
        for out in self.lease.take_effects() {
            match out {
                Effect::Send(to, word) => {
                    let word = postcard::to_allocvec(&word).expect("words are plain");
                    actions.push(DutyEffect::Say(to, word));
                }
                Effect::Persist(number, kept) => {
                    let kept = postcard::to_allocvec(&kept).expect("votes and tables are plain");
                    actions.push(DutyEffect::Keep(number, kept));
                }
                Effect::DutyAcquired(duty, number, mark) => {
                    self.since.insert(duty, now);
                    if duty == CIRCUITS {
                        self.circuits.begins(now, &mark);
                    } else if duty == PUBLISH {
                        self.publish.begins(now, number.0, &mark);
                    }
                    let line = format!("duty {} is held here, number {}", name_of(duty), number.0);
                    self.note(now, line.clone());
                    actions.push(DutyEffect::Log(line));
                }
                Effect::DutyLost(duty, number, why) => {
                    self.since.remove(&duty);
                    if duty == CIRCUITS {
                        self.circuits.ends();
                    } else if duty == PUBLISH {
                        self.publish.ends();
                    }
                    let line =
                        format!("duty {} is held here no more, number {}: {why}", name_of(duty), number.0);
                    self.note(now, line.clone());
                    actions.push(DutyEffect::Log(line));
                }
                Effect::CheckpointCommitted(duty, _) if duty == PUBLISH => self.publish.marked(now),
                Effect::CheckpointCommitted(..) => {}
                Effect::Log(line) => {
                    self.note(now, line.clone());
                    actions.push(DutyEffect::Log(format!("duties: {line}")));
                }
            }
        }
        actions
    }

    fn note(&mut self, now: Duration, line: String) {
        if self.events.len() >= MOST_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, line));
    }

    /// For operators: who holds what, under which number, how far it has come, and what happened here last.
    pub fn status(&self, now: Duration, names: &[String]) -> Value {
        let status = self.lease.status(now);
        let name = |member: u16| names.get(usize::from(member)).cloned();
        let seat = |seat: &DutyAssignment| {
            json!({
                "duty": name_of(seat.duty),
                "holder": name(seat.member).filter(|_| seat.member != NO_MEMBER),
                "start": start_of(seat.incarnation),
                "number": seat.token.0,
                "why": format!("{:?}", seat.reason).to_lowercase(),
                "last_step": if seat.duty == PUBLISH {
                    Publish::told(&seat.checkpoint)
                } else {
                    String::from_utf8_lossy(&seat.checkpoint).into_owned()
                },
            })
        };
        let since = |duty: &Duty| self.since.get(duty).map(|at| now.saturating_sub(*at).as_millis() as u64);
        let held = status
            .held_duties
            .iter()
            .map(|(duty, _)| json!({ "duty": name_of(*duty), "for_ms": since(duty) }));
        let held: Vec<Value> = held.collect();
        let voters: Vec<Option<String>> = status.table.voters.iter().map(|voter| name(*voter)).collect();
        let events: Vec<Value> = (self.events.iter())
            .map(|(at, what)| json!({ "ago_ms": now.saturating_sub(*at).as_millis() as u64, "what": what }))
            .collect();
        json!({
            "chair": status.leader.and_then(name),
            "term": status.term.count(),
            "votes": status.is_consistent,
            "agreed": status.committed_table == status.table.id,
            "voters": voters,
            "duties": status.table.assignments.iter().map(seat).collect::<Vec<_>>(),
            "held_here": held,
            "lease_left_ms": status.lease_remaining.as_millis() as u64,
            "events": events,
        })
    }
}

pub(crate) fn name_of(duty: Duty) -> &'static str {
    NAMES.get(usize::from(duty.0)).copied().unwrap_or("of another version")
}

#[cfg(test)]
#[path = "../tests/unit/duties.rs"]
mod tests;
