//! The membership state machine: it takes the current time and messages from neighbours, and returns the messages to send.

use std::sync::Arc;
use std::time::Duration;

use crate::MemberIndex;
use crate::check;
use crate::message::{Message, MessageError};
use crate::neighbour_monitor::NeighbourMonitor;
use crate::overlay::Overlay;
use crate::random::mix;
use crate::register::{MemberRegister, Register};
use crate::register_table::{Merge, RegisterTable};
use crate::repair::Repair;
use crate::spreading::Spreading;
use crate::timing::Timing;
use crate::view::View;

/// The state that a member publishes of itself, apart from the neighbours that it does not hear.
#[derive(Clone, Copy, Debug, Default)]
struct OwnState {
    incarnation: u64,
    caught_up: bool,
}

/// How a register was received; this decides whether it is relayed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RegisterSource {
    Flood,
    Repair,
}

/// The membership of one fleet as one of its members sees it. A verdict is a suspicion, never a proof of death.
pub struct Membership {
    own_index: MemberIndex,
    overlay: Arc<Overlay>,
    timing: Timing,
    own: OwnState,
    table: RegisterTable,
    neighbour_monitor: NeighbourMonitor,
    spreading: Spreading,
    repair: Repair,
    view: View,
    /// Reports of unheard neighbours have changed since the last search of the overlay.
    search_is_due: bool,
    next_heartbeat: Duration,
    next_round: Duration,
}

impl Membership {
    /// The membership of `own_index`, which is a member of the overlay, at its start. All neighbours count as heard at `now`, and
    /// no member is held gone.
    ///
    /// # Panics
    /// If `own_index` is beyond the list or the silence is too short to be divided into rounds.
    pub fn new(now: Duration, own_index: MemberIndex, overlay: Arc<Overlay>, timing: Timing) -> Self {
        assert!(usize::from(own_index) < overlay.members(), "member {own_index} is not in the list");
        assert!(!timing.round().is_zero(), "the silence is too short");
        let neighbours = overlay.neighbours(own_index).len();
        Self {
            own_index,
            timing,
            own: OwnState::default(),
            table: RegisterTable::new(now, overlay.members()),
            neighbour_monitor: NeighbourMonitor::new(now, neighbours, timing),
            spreading: Spreading::new(now, own_index, &overlay),
            repair: Repair::new(now, neighbours, timing.silence),
            view: View::new(overlay.members()),
            search_is_due: true,
            next_heartbeat: now + phase(own_index, timing.heartbeat()),
            next_round: now,
            overlay,
        }
    }

    /// The incarnation of this member, more than zero, and whether it has caught up. An incarnation before the present one is
    /// ignored.
    pub fn set_self(&mut self, now: Duration, incarnation: u64, caught_up: bool) {
        if incarnation < self.own.incarnation {
            return;
        }
        self.own = OwnState { incarnation, caught_up };
        self.refresh_own_register(now);
    }

    /// Records that a frame of a neighbour was received; a sender that is not a neighbour is ignored.
    pub fn frame_received(&mut self, now: Duration, neighbour: MemberIndex) {
        self.neighbour_monitor.active(now);
        if let Some(position) = self.overlay.position(self.own_index, neighbour) {
            self.neighbour_monitor.frame_received(now, position);
        }
    }

    /// Applies a message of a neighbour. Returns the members whose incarnation or `caught_up` has changed. A message that is refused
    /// changes nothing.
    pub fn received(
        &mut self, now: Duration, from: MemberIndex, message: &Message,
    ) -> Result<Vec<MemberIndex>, MessageError> {
        let position =
            self.overlay.position(self.own_index, from).ok_or(MessageError::NotANeighbour(from))?;
        check::message(&self.overlay, message)?;
        self.neighbour_monitor.active(now);
        self.neighbour_monitor.frame_received(now, position);
        Ok(self.apply(now, position, message))
    }

    /// Returns the messages to send now, with their recipients. Call it at [`Membership::next_due`], and sooner after a message.
    pub fn tick(&mut self, now: Duration) -> Vec<(MemberIndex, Message)> {
        self.neighbour_monitor.active(now);
        let mut messages = Vec::new();
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.timing.heartbeat();
            self.review_neighbours(now);
            messages.extend(self.heartbeats());
        }
        if now >= self.next_round && self.has_work() {
            self.next_round = now + self.timing.round();
            self.search_if_due(now);
            messages.extend(self.spreading.round(now, &self.table));
            messages.extend(self.repair.round(now, &self.table));
        }
        let neighbours = self.overlay.neighbours(self.own_index);
        messages.into_iter().map(|(position, message)| (neighbours[position], message)).collect()
    }

    /// When [`Membership::tick`] is due. After a tick this is later than the time of the tick.
    pub fn next_due(&self) -> Duration {
        if self.has_work() { self.next_heartbeat.min(self.next_round) } else { self.next_heartbeat }
    }

    /// Whether a member is held gone; never this one, and nobody without a majority.
    pub fn is_gone(&self, member: MemberIndex) -> bool {
        self.view.is_gone(member)
    }

    /// How many members are held gone.
    pub fn gone_count(&self) -> usize {
        self.view.gone_count()
    }

    /// Whether more than half of all members are joined to this one.
    pub fn has_majority(&self) -> bool {
        self.view.has_majority()
    }

    /// Grows with each change of who is gone and of whether this member has a majority.
    pub fn view_version(&self) -> u64 {
        self.view.version()
    }

    /// Whether `neighbour` is a neighbour of this member and is not reported as unheard.
    pub fn hears(&self, neighbour: MemberIndex) -> bool {
        self.overlay
            .position(self.own_index, neighbour)
            .is_some_and(|position| self.neighbour_monitor.hears(position))
    }

    /// The latest register of a member that is known here. If the register of this member itself has a later
    /// incarnation than [`Membership::set_self`] was given, another process uses the same name.
    pub fn register(&self, member: MemberIndex) -> Option<&Register> {
        let is_member = usize::from(member) < self.overlay.members();
        is_member.then(|| self.table.get(member)).filter(|register| register.is_known())
    }

    /// The digest of all registers that are known here.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// The overlay of the fleet.
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    fn apply(&mut self, now: Duration, position: usize, message: &Message) -> Vec<MemberIndex> {
        match message {
            Message::Heartbeat { digest } => {
                self.repair.compared(now, position, *digest == self.table.digest());
                Vec::new()
            }
            Message::Registers(registers) => self.merge_all(now, position, registers, RegisterSource::Flood),
            Message::BucketDigests(digests) => {
                self.repair.digests_received(now, position, digests, &self.table.bucket_digests());
                Vec::new()
            }
            Message::BucketRequest(buckets) => {
                self.repair.requested(position, buckets);
                Vec::new()
            }
            Message::Bucket { bucket, registers } => {
                self.repair.answered(position, *bucket);
                self.merge_all(now, position, registers, RegisterSource::Repair)
            }
        }
    }

    fn merge_all(
        &mut self, now: Duration, position: usize, registers: &[MemberRegister], origin: RegisterSource,
    ) -> Vec<MemberIndex> {
        let changed = registers.iter().filter(|entry| self.merge(now, position, entry, origin));
        let changed = changed.map(|entry| entry.member).collect();
        self.refresh_own_register(now);
        changed
    }

    /// Merges a register; true: the incarnation or `caught_up` of its member is new.
    fn merge(
        &mut self, now: Duration, position: usize, entry: &MemberRegister, origin: RegisterSource,
    ) -> bool {
        let MemberRegister { member, register } = *entry;
        match self.table.merge(now, member, register) {
            Merge::Older => false,
            Merge::Equal => {
                self.spreading.cancel_relay(position, member);
                false
            }
            Merge::Replaced(before) => {
                self.spreading.cancel_relay(position, member);
                if origin == RegisterSource::Flood || before.is_known() {
                    self.spreading.schedule_relay(member, position);
                }
                self.replaced(member, &before, &register)
            }
        }
    }

    fn replaced(&mut self, member: MemberIndex, before: &Register, register: &Register) -> bool {
        self.search_is_due |= before.unheard != register.unheard;
        let is_restarted = before.incarnation != register.incarnation;
        if let Some(position) = self.overlay.position(self.own_index, member).filter(|_| is_restarted) {
            self.neighbour_monitor.restarted(position);
        }
        is_restarted || before.caught_up != register.caught_up
    }

    fn review_neighbours(&mut self, now: Duration) {
        if self.neighbour_monitor.review(now) {
            self.search_is_due = true;
            self.refresh_own_register(now);
        }
    }

    /// Publishes a new own register if the table differs from the own state and has no later incarnation.
    fn refresh_own_register(&mut self, now: Duration) {
        let known = *self.table.get(self.own_index);
        let OwnState { incarnation, caught_up } = self.own;
        let unheard = self.neighbour_monitor.unheard();
        let is_current =
            known.incarnation == incarnation && known.unheard == unheard && known.caught_up == caught_up;
        if incarnation == 0 || is_current {
            return;
        }
        let is_first = known.incarnation < incarnation;
        let sequence = if is_first { 1 } else { known.sequence.saturating_add(1) };
        let register = Register { incarnation, sequence, unheard, caught_up };
        if let Merge::Replaced(_) = self.table.merge(now, self.own_index, register) {
            self.spreading.own_changed();
        }
    }

    fn heartbeats(&self) -> Vec<(usize, Message)> {
        let digest = self.table.digest();
        let neighbours = self.overlay.neighbours(self.own_index).len();
        (0..neighbours).map(|position| (position, Message::Heartbeat { digest })).collect()
    }

    fn has_work(&self) -> bool {
        self.search_is_due || self.spreading.has_work() || self.repair.has_work()
    }

    fn search_if_due(&mut self, now: Duration) {
        if !self.search_is_due {
            return;
        }
        self.search_is_due = false;
        let Self { own_index, overlay, table, neighbour_monitor, view, spreading, timing, .. } = self;
        let own = neighbour_monitor.unheard();
        let unheard = |member| if member == *own_index { own } else { table.get(member).unheard };
        view.search(overlay, *own_index, unheard);
        let recent = || table.replaced_within(now, timing.recent());
        spreading.choose_relays(overlay, unheard, recent);
    }
}

/// A pseudo-random offset within the period, so that members started together do not send together.
fn phase(own_index: MemberIndex, period: Duration) -> Duration {
    const STEPS: u64 = 1024;
    let step = mix(u64::from(own_index)) % STEPS;
    period.mul_f64(step as f64 / STEPS as f64)
}
