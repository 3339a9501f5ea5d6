//! Duties of one member. Agreement about their holders goes over peer links and to the disk; the holder of a duty carries out its
//! steps.
//!
//! Each action carries the fencing token under which its duty is held. Receivers refuse lower tokens, so that late actions of a
//! holder that was suspended do no harm. Assigning a duty to one member only avoids double work.

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

use crate::incarnations::start_count;
use crate::publish::{Publish, PublishStep};

/// A duty, by its place in [`NAMES`].
pub use lotussaddle_lease::Duty;

/// Finds and releases lines that gone members left at core servers.
pub const SWEEP: Duty = Duty(0);
/// Goes through the core servers: all members check whether they hold the lines that the server holds for them.
pub const CIRCUITS: Duty = Duty(1);
/// Puts one generation of number tables into force on all members.
pub const PUBLISH: Duty = Duty(2);
/// Names of the duties, the same in the same order on all members. A new duty needs a name here and a [`Steps`].
pub const NAMES: [&str; 3] = ["sweep", "circuits", "publish"];

/// Latest events that are retained for operators.
const MAX_EVENTS: usize = 32;

/// Configuration of the duties.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyPlan {
    /// Voting members: 3, 5 or 7 places in the group, until a change of voters is committed.
    pub voters: Vec<u16>,
    /// A holder that has been unresponsive for a little more than this time loses its duties.
    pub lease_duration: Duration,
}

/// One step of a duty.
pub(crate) enum Step {
    /// All members check the lines that this core server holds for them.
    Check(ServerId),
}

/// The work of a duty, in steps that may be repeated: a new holder continues after the last committed checkpoint.
pub(crate) trait Steps {
    /// The duty is held from now on; `checkpoint` is the last checkpoint of the previous holder.
    fn acquired(&mut self, now: Duration, checkpoint: &[u8]);
    fn next_due(&self) -> Option<Duration>;
    /// The next step, and its checkpoint.
    fn step(&mut self, now: Duration, cores: &BTreeSet<ServerId>) -> Option<(Step, Vec<u8>)>;
    fn lost(&mut self);
}

/// Work of the duty `circuits`: goes through the core servers.
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
    fn acquired(&mut self, now: Duration, checkpoint: &[u8]) {
        (self.held, self.at) = (true, now);
        let checkpoint = std::str::from_utf8(checkpoint).ok().filter(|name| !name.is_empty());
        self.last = checkpoint.map(|name| ServerId(name.into()));
    }

    fn next_due(&self) -> Option<Duration> {
        self.held.then_some(self.at)
    }

    fn step(&mut self, now: Duration, cores: &BTreeSet<ServerId>) -> Option<(Step, Vec<u8>)> {
        if !self.held || now < self.at {
            return None;
        }
        // Spreads one pass over all core servers evenly over `every`.
        self.at = now + self.every / cores.len().max(1) as u32;
        let behind = |server: &&ServerId| self.last.as_ref().is_none_or(|last| *server > last);
        let next = cores.iter().find(behind).or_else(|| cores.first())?.clone();
        self.last = Some(next.clone());
        Some((Step::Check(next.clone()), next.0.as_bytes().to_vec()))
    }

    fn lost(&mut self) {
        self.held = false;
    }
}

/// An effect that the duties of this member request.
pub(crate) enum DutyEffect {
    Send(u16, Vec<u8>),
    /// State to be stored on disk, under this number.
    Persist(u64, Vec<u8>),
    Check(DutyAction, ServerId),
    Log(String),
}

/// The duties of this member: the lease, the fence and the work of the duties that it holds.
pub(crate) struct Duties {
    self_member: u16,
    lease: Lease,
    /// Numbers of the lease's states, by number of the disk order that stores them.
    orders: BTreeMap<u64, u64>,
    /// Highest fencing tokens of the actions that this member received.
    fence: Fence,
    circuits: Circuits,
    publish: Publish,
    checks: Vec<DutyEffect>,
    /// When each duty that is held here was acquired.
    since: BTreeMap<Duty, Duration>,
    events: VecDeque<(Duration, String)>,
    incarnation: u64,
}

impl Duties {
    /// `kept` and `fence` are what the disk holds.
    pub fn new(
        now: Duration, self_member: u16, group: &ReplicaGroup, plan: &DutyPlan, unclaimed: Duration,
        (kept, fence): (Option<&[u8]>, Option<&[u8]>), random_seed: u64,
    ) -> Self {
        // Each duty ranks the members differently, which spreads duties over the members.
        let ranks =
            NAMES.iter().map(|name| group.ranked_members(digest(&[b"duty", name.as_bytes()]))).collect();
        let kept: Option<PersistedState> = kept.and_then(|bytes| postcard::from_bytes(bytes).ok());
        let members = group.member_count() as u16;
        let kept = kept.filter(|kept| !kept.table.is_malformed(members));
        let plan = lease::Plan {
            self_member,
            member_count: members,
            voters: plan.voters.clone(),
            preferred_holders: ranks,
            lease_duration: plan.lease_duration,
        };
        Self {
            self_member,
            lease: Lease::new(now, plan, kept, random_seed),
            orders: BTreeMap::new(),
            fence: fence.and_then(|bytes| postcard::from_bytes(bytes).ok()).unwrap_or_default(),
            circuits: Circuits::new(unclaimed * 2),
            publish: Publish::new(self_member),
            checks: Vec::new(),
            since: BTreeMap::new(),
            events: VecDeque::new(),
            incarnation: 0,
        }
    }

    /// Sets the incarnation of this process; zero: it has none.
    pub fn set_incarnation(&mut self, now: Duration, incarnation: u64) {
        self.incarnation = incarnation;
        self.lease.set_incarnation(now, incarnation);
    }

    /// The disk holds an older state than this member had stored.
    pub fn mark_state_stale(&mut self, now: Duration) {
        self.lease.mark_state_stale(now);
    }

    /// The action under which a duty may be carried out now; none: this member does not hold it.
    pub fn current_action(&self, now: Duration, duty: Duty) -> Option<DutyAction> {
        let number = self.lease.held_token(now, duty)?;
        Some(DutyAction {
            duty: duty.0,
            fencing_token: number.0,
            member: self.self_member,
            incarnation: self.incarnation,
        })
    }

    /// Handles a lease message from a member; returns false if it cannot be decoded.
    pub fn message_received(&mut self, now: Duration, from: u16, bytes: &[u8]) -> bool {
        let Ok(message) = postcard::from_bytes::<LeaseMessage>(bytes) else { return false };
        self.lease.message_received(now, from, message);
        true
    }

    /// Checks an action of a duty. True: its token is new, and the fence must be on disk before the action is carried out.
    ///
    /// # Errors
    /// The action is stale; the value is the highest token seen.
    pub fn admit(&mut self, act: &DutyAction) -> Result<bool, u64> {
        let (duty, number) = (Duty(act.duty), FencingToken(act.fencing_token));
        self.fence.admit(duty, number, act.member, act.incarnation).map_err(|refused| refused.highest.0)
    }

    /// The encoded fence, to be stored on disk.
    pub fn fence(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.fence).expect("the fence encodes without errors")
    }

    /// A receiver refused an action of this member.
    pub fn token_refused(&mut self, now: Duration, duty: u16, highest: u64) {
        self.note(now, format!("{}: an act was refused, number {highest} was seen", duty_name(Duty(duty))));
        self.lease.token_refused(now, Duty(duty), FencingToken(highest));
    }

    /// The state with the number `keep` is written by this disk order.
    pub fn disk_order_issued(&mut self, order: u64, keep: u64) {
        self.orders.insert(order, keep);
    }

    /// A disk order has been completed, or has failed.
    pub fn disk_order_completed(&mut self, now: Duration, order: u64, well: bool) {
        if let Some(keep) = self.orders.remove(&order) {
            self.lease.state_persisted(now, keep, well);
        }
    }

    /// The state with the number `keep` is on disk, or could not be stored.
    pub fn state_persisted(&mut self, now: Duration, keep: u64, well: bool) {
        self.lease.state_persisted(now, keep, well);
    }

    /// An operator moves a duty to another member.
    pub fn hand_over(&mut self, now: Duration, duty: Duty, to: Option<u16>) {
        self.lease.send_to_leader(now, LeaseMessage::MoveDuty { duty, to });
    }

    /// An operator changes the voters.
    pub fn change_voters(&mut self, now: Duration, voters: Vec<u16>) {
        self.lease.send_to_leader(now, LeaseMessage::ChangeVoters { voters });
    }

    /// This process shuts down: its duties are handed over first.
    pub fn shut_down(&mut self, now: Duration) {
        self.lease.shut_down(now);
    }

    /// Whether all duties have been handed over after [`Duties::shut_down`].
    pub fn is_shut_down(&self) -> bool {
        self.lease.is_shut_down()
    }

    /// When [`Duties::timer_fired`] is due.
    pub fn next_due(&self) -> Duration {
        let steps = [self.circuits.next_due(), self.publish.next_due()].into_iter().flatten();
        steps.fold(self.lease.next_due(), Duration::min)
    }

    /// The deadline given by `next_due` has passed.
    pub fn timer_fired(&mut self, now: Duration, cores: &BTreeSet<ServerId>) {
        if self.lease.next_due() <= now {
            self.lease.timer_fired(now);
        }
        if let Some(act) = self.current_action(now, CIRCUITS)
            && let Some((Step::Check(server), checkpoint)) = self.circuits.step(now, cores)
        {
            self.checks.push(DutyEffect::Check(act, server));
            self.lease.report_checkpoint(now, CIRCUITS, checkpoint);
        }
    }

    /// The holder of a duty, as far as this member knows.
    pub fn holder(&self, duty: Duty) -> Option<u16> {
        self.lease
            .table()
            .assignment(duty)
            .map(|assignment| assignment.member)
            .filter(|member| *member != NO_MEMBER)
    }

    /// Requests that a generation goes into force on all members; false: the duty is not held here, or too many generations wait.
    pub fn request_publish(&mut self, now: Duration, name: &str) -> bool {
        self.publish.request(now, name)
    }

    /// A member has carried out a publish order, or reports why it could not.
    pub fn member_published(
        &mut self, now: Duration, member: u16, incarnation: u64, serial: u64, why: Option<&str>,
    ) {
        self.publish.member_answered(now, member, incarnation, serial, why);
    }

    /// The orders to members that are due, where `publish` is held here; `reachable` lists the reachable members with incarnations.
    pub fn due_publish_orders(
        &mut self, now: Duration, reachable: impl Fn() -> Vec<(u16, u64)>,
    ) -> Vec<(u16, DutyAction, u64, TablesOrder)> {
        let due = self.publish.next_due().is_some_and(|due| due <= now);
        let Some(act) = self.current_action(now, PUBLISH).filter(|_| due) else { return Vec::new() };
        let mut orders = Vec::new();
        for next in self.publish.due_steps(now, &reachable()) {
            match next {
                PublishStep::Checkpoint(data) => drop(self.lease.report_checkpoint(now, PUBLISH, data)),
                PublishStep::Send(member, serial, order) => orders.push((member, act, serial, order)),
            }
        }
        orders
    }

    /// Reports a duty's checkpoint, for its next holder and for operators.
    pub fn report_checkpoint(&mut self, now: Duration, duty: Duty, checkpoint: String) {
        self.lease.report_checkpoint(now, duty, checkpoint.into_bytes());
    }

    /// Takes the effects of all inputs since the last call.
    pub fn take_effects(&mut self, now: Duration) -> Vec<DutyEffect> {
        let mut actions = std::mem::take(&mut self.checks);
        for out in self.lease.take_effects() {
            match out {
                Effect::Send(to, word) => {
                    let word = postcard::to_allocvec(&word).expect("lease messages encode without errors");
                    actions.push(DutyEffect::Send(to, word));
                }
                Effect::Persist(number, kept) => {
                    let kept =
                        postcard::to_allocvec(&kept).expect("the lease's state encodes without errors");
                    actions.push(DutyEffect::Persist(number, kept));
                }
                Effect::DutyAcquired(duty, number, checkpoint) => {
                    self.since.insert(duty, now);
                    if duty == CIRCUITS {
                        self.circuits.acquired(now, &checkpoint);
                    } else if duty == PUBLISH {
                        self.publish.acquired(now, number.0, &checkpoint);
                    }
                    let line = format!("duty {} is held here, number {}", duty_name(duty), number.0);
                    self.note(now, line.clone());
                    actions.push(DutyEffect::Log(line));
                }
                Effect::DutyLost(duty, number, why) => {
                    self.since.remove(&duty);
                    if duty == CIRCUITS {
                        self.circuits.lost();
                    } else if duty == PUBLISH {
                        self.publish.lost();
                    }
                    let line =
                        format!("duty {} is held here no more, number {}: {why}", duty_name(duty), number.0);
                    self.note(now, line.clone());
                    actions.push(DutyEffect::Log(line));
                }
                Effect::CheckpointCommitted(duty, _) if duty == PUBLISH => {
                    self.publish.checkpoint_committed(now)
                }
                Effect::CheckpointCommitted(..) => {}
                Effect::Log(line) => {
                    self.note(now, line.clone());
                    actions.push(DutyEffect::Log(format!("duties: {line}")));
                }
            }
        }
        actions
    }

    /// Records an event for operators.
    fn note(&mut self, now: Duration, line: String) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, line));
    }

    /// Status for operators: holder, token and checkpoint of each duty, and the latest events.
    pub fn status(&self, now: Duration, names: &[String]) -> Value {
        let status = self.lease.status(now);
        let name = |member: u16| names.get(usize::from(member)).cloned();
        let seat = |seat: &DutyAssignment| {
            json!({
                "duty": duty_name(seat.duty),
                "holder": name(seat.member).filter(|_| seat.member != NO_MEMBER),
                "start": start_count(seat.incarnation),
                "number": seat.token.0,
                "why": format!("{:?}", seat.reason).to_lowercase(),
                "last_step": if seat.duty == PUBLISH {
                    Publish::describe(&seat.checkpoint)
                } else {
                    String::from_utf8_lossy(&seat.checkpoint).into_owned()
                },
            })
        };
        let since = |duty: &Duty| self.since.get(duty).map(|at| now.saturating_sub(*at).as_millis() as u64);
        let held = status
            .held_duties
            .iter()
            .map(|(duty, _)| json!({ "duty": duty_name(*duty), "for_ms": since(duty) }));
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

/// The name of a duty.
pub(crate) fn duty_name(duty: Duty) -> &'static str {
    NAMES.get(usize::from(duty.0)).copied().unwrap_or("of another version")
}

#[cfg(test)]
#[path = "../tests/unit/duties.rs"]
mod tests;
