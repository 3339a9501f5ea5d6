//! Counts of frames and bytes by member, second and kind, and what they come to by role.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lotussaddle_lease::LeaseMessage;
use lotussaddle_membership::Message as MembershipMessage;
use lotussaddle_trunk::{Frame, Message, PeerMessage};
use serde::{Deserialize, Serialize};

use crate::record::{Aggregate, Measurement, Quantity, Role};

/// The length of the window that [`Aggregate::WorstTenSeconds`] looks for.
const WORST_WINDOW: usize = 10;

/// A kind of frame between members, by what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FrameKind {
    /// Who is at the other end of a link.
    Hello,
    /// A member is there.
    Heartbeat,
    /// What members say of themselves, told to neighbours and passed on, and its repair.
    Membership,
    /// Writes that a member's disk has had.
    DiskCount,
    /// Agreement on the life that a member begins.
    Life,
    /// Copies of calls.
    Copies,
    /// Copies that are kept.
    Acknowledgement,
    /// What a returning member missed.
    Snapshot,
    /// Digests, and what they show to differ.
    Comparison,
    /// What is known of one call.
    Question,
    /// The leader of the lease is there.
    LeaseHeartbeat,
    /// An answer to it.
    LeaseAnswer,
    /// Elections and all else about the lease.
    LeaseOther,
    /// A configuration change.
    Publish,
    /// An answer to it.
    PublishAnswer,
    /// All else.
    Other,
}

impl FrameKind {
    /// All kinds.
    pub const ALL: [Self; 16] = [
        Self::Hello,
        Self::Heartbeat,
        Self::Membership,
        Self::DiskCount,
        Self::Life,
        Self::Copies,
        Self::Acknowledgement,
        Self::Snapshot,
        Self::Comparison,
        Self::Question,
        Self::LeaseHeartbeat,
        Self::LeaseAnswer,
        Self::LeaseOther,
        Self::Publish,
        Self::PublishAnswer,
        Self::Other,
    ];

    /// The kind as records write it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Heartbeat => "heartbeat",
            Self::Membership => "membership",
            Self::DiskCount => "disk-count",
            Self::Life => "life",
            Self::Copies => "copies",
            Self::Acknowledgement => "acknowledgement",
            Self::Snapshot => "snapshot",
            Self::Comparison => "comparison",
            Self::Question => "question",
            Self::LeaseHeartbeat => "lease-heartbeat",
            Self::LeaseAnswer => "lease-answer",
            Self::LeaseOther => "lease-other",
            Self::Publish => "publish",
            Self::PublishAnswer => "publish-answer",
            Self::Other => "other",
        }
    }

    /// What a frame carries.
    pub fn of(frame: &Frame) -> Self {
        match frame {
            Frame::Hello(_) => Self::Hello,
            Frame::PeerMessage(peer) => Self::of_peer(peer),
            _ => Self::Other,
        }
    }

    fn of_peer(peer: &PeerMessage) -> Self {
        match peer {
            PeerMessage::Greeting { .. } => Self::Hello,
            PeerMessage::Membership { message } => Self::of_membership(message),
            PeerMessage::DiskCount { .. } => Self::DiskCount,
            PeerMessage::ProposeIncarnation { .. } | PeerMessage::IncarnationReply { .. } => Self::Life,
            PeerMessage::Replicas { .. } => Self::Copies,
            PeerMessage::Acknowledge { .. } => Self::Acknowledgement,
            PeerMessage::Resume { .. } | PeerMessage::SnapshotChunk { .. } => Self::Snapshot,
            PeerMessage::RangeDigests { .. }
            | PeerMessage::DialogueDigests { .. }
            | PeerMessage::RequestReplicas { .. } => Self::Comparison,
            PeerMessage::Ask { .. } | PeerMessage::AskReply { .. } => Self::Question,
            PeerMessage::Duties { message: word } => Self::of_word(word),
            PeerMessage::Publish { .. } | PeerMessage::PublishRequest { .. } => Self::Publish,
            PeerMessage::Published { .. } => Self::PublishAnswer,
            PeerMessage::Inquire { .. }
            | PeerMessage::InquireReply { .. }
            | PeerMessage::CheckLines { .. }
            | PeerMessage::Fenced { .. } => Self::Other,
        }
    }

    fn of_membership(message: &[u8]) -> Self {
        match MembershipMessage::decode(message) {
            Ok(MembershipMessage::Heartbeat { .. }) => Self::Heartbeat,
            Ok(_) | Err(_) => Self::Membership,
        }
    }

    fn of_word(word: &[u8]) -> Self {
        match postcard::from_bytes(word) {
            Ok(LeaseMessage::Heartbeat(_)) => Self::LeaseHeartbeat,
            Ok(LeaseMessage::HeartbeatReply(_)) => Self::LeaseAnswer,
            Ok(_) | Err(_) => Self::LeaseOther,
        }
    }
}

/// The bytes that a message takes on a link.
pub fn encoded_length(message: &Message, buffer: &mut Vec<u8>) -> usize {
    buffer.clear();
    message.encode(buffer);
    buffer.len()
}

/// Bytes of this process that lie in memory; zero where the system does not tell.
pub fn resident_bytes() -> u64 {
    resident_bytes_of("self")
}

/// The same of another process.
pub fn resident_bytes_of(process: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()).and_then(|word| word.parse().ok());
    kibibytes.unwrap_or(0) * 1024
}

/// Frames and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameCount {
    pub frames: u64,
    pub bytes: u64,
}

impl FrameCount {
    fn add(&mut self, bytes: usize) {
        self.frames += 1;
        self.bytes += bytes as u64;
    }
}

/// Which way a frame went, from the member that it is counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Direction {
    Sent,
    Received,
}

impl Direction {
    const ALL: [Self; 2] = [Self::Sent, Self::Received];

    fn bytes_quantity(self) -> Quantity {
        match self {
            Self::Sent => Quantity::BytesSent,
            Self::Received => Quantity::BytesReceived,
        }
    }

    fn frames_quantity(self) -> Quantity {
        match self {
            Self::Sent => Quantity::FramesSent,
            Self::Received => Quantity::FramesReceived,
        }
    }
}

/// What one member sent and received in the measured time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberTraffic {
    /// By direction, then by kind.
    by_kind: [[FrameCount; FrameKind::ALL.len()]; 2],
    /// By direction, then by second.
    by_second: [Vec<FrameCount>; 2],
}

impl MemberTraffic {
    /// Nothing yet, for so many seconds.
    pub fn new(seconds: usize) -> Self {
        let by_second = [vec![FrameCount::default(); seconds], vec![FrameCount::default(); seconds]];
        Self { by_kind: Default::default(), by_second }
    }

    /// Counts a frame in a second of the measured time; frames of other times are left out.
    pub fn count(&mut self, second: Option<usize>, direction: Direction, kind: FrameKind, bytes: usize) {
        let Some(of_second) = second.and_then(|second| self.by_second[direction as usize].get_mut(second))
        else {
            return;
        };
        of_second.add(bytes);
        self.by_kind[direction as usize][kind as usize].add(bytes);
    }

    /// All frames of a kind.
    pub fn of_kind(&self, direction: Direction, kind: FrameKind) -> FrameCount {
        self.by_kind[direction as usize][kind as usize]
    }

    /// All frames.
    pub fn total(&self, direction: Direction) -> FrameCount {
        let sum = |sum: FrameCount, count: &FrameCount| FrameCount {
            frames: sum.frames + count.frames,
            bytes: sum.bytes + count.bytes,
        };
        self.by_kind[direction as usize].iter().fold(FrameCount::default(), sum)
    }
}

/// When measuring begins, and for how many seconds it lasts.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct MeasuredTime {
    pub from: Duration,
    pub seconds: usize,
}

impl MeasuredTime {
    /// The measured second that a time falls into.
    pub fn second_of(&self, at: Duration) -> Option<usize> {
        let second = at.checked_sub(self.from)?.as_secs() as usize;
        (second < self.seconds).then_some(second)
    }
}

/// The members of each role.
pub fn roles(traffic: &[MemberTraffic], voters: &[u16]) -> BTreeMap<Role, BTreeSet<usize>> {
    let leading = |place: &usize| traffic[*place].of_kind(Direction::Sent, FrameKind::LeaseHeartbeat).frames;
    let leader = (0..traffic.len()).max_by_key(leading).filter(|place| leading(place) > 0);
    let mut roles = BTreeMap::new();
    roles.insert(Role::EdgeProxy, (0..traffic.len()).collect());
    roles.insert(Role::Leader, leader.into_iter().collect());
    roles.insert(Role::Voter, voters.iter().map(|voter| usize::from(*voter)).collect());
    roles
}

/// The measurements that counts of frames and bytes come to.
pub fn traffic_measurements(
    traffic: &[MemberTraffic], voters: &[u16], time: MeasuredTime, measured: &BTreeSet<Quantity>,
) -> Vec<Measurement> {
    let mut measurements = Vec::new();
    for (role, places) in roles(traffic, voters) {
        let members: Vec<&MemberTraffic> = places.into_iter().map(|place| &traffic[place]).collect();
        if members.is_empty() {
            continue;
        }
        for direction in Direction::ALL {
            let counted: [(Quantity, FrameValue); 2] = [
                (direction.bytes_quantity(), |count| count.bytes),
                (direction.frames_quantity(), |count| count.frames),
            ];
            for (quantity, value) in counted.into_iter().filter(|(quantity, _)| measured.contains(quantity)) {
                let of_role = RoleTraffic { members: &members, direction, seconds: time.seconds, value };
                let taken = of_role.measurements(quantity);
                measurements.extend(taken.into_iter().map(|measurement| measurement.of_role(role)));
            }
        }
    }
    measurements
}

/// Frames or bytes of a count.
type FrameValue = fn(&FrameCount) -> u64;

/// One quantity of the members of one role.
struct RoleTraffic<'a> {
    members: &'a [&'a MemberTraffic],
    direction: Direction,
    seconds: usize,
    value: FrameValue,
}

impl RoleTraffic<'_> {
    fn measurements(&self, quantity: Quantity) -> Vec<Measurement> {
        let seconds = self.seconds as f64;
        let totals: Vec<u64> =
            self.members.iter().map(|member| (self.value)(&member.total(self.direction))).collect();
        let mean = totals.iter().sum::<u64>() as f64 / totals.len() as f64 / seconds;
        let most = totals.iter().max().copied().unwrap_or_default() as f64 / seconds;
        let mut measurements = vec![
            Measurement::new(quantity, Aggregate::Mean, mean),
            Measurement::new(quantity, Aggregate::MaxMember, most),
            Measurement::new(quantity, Aggregate::WorstTenSeconds, self.worst_ten_seconds()),
        ];
        for kind in FrameKind::ALL {
            let counts = self.members.iter().map(|member| member.of_kind(self.direction, kind));
            let total: u64 = counts.map(|count| (self.value)(&count)).sum();
            if total > 0 {
                let mean = total as f64 / self.members.len() as f64 / seconds;
                measurements.push(Measurement::new(quantity, Aggregate::Mean, mean).of_kind(kind.name()));
            }
        }
        measurements
    }

    /// The mean a member a second in the ten seconds that have most; in all of them where there are fewer.
    fn worst_ten_seconds(&self) -> f64 {
        let of_second = |second: usize| -> u64 {
            let counts = self.members.iter().map(|member| &member.by_second[self.direction as usize][second]);
            counts.map(self.value).sum()
        };
        let by_second: Vec<u64> = (0..self.seconds).map(of_second).collect();
        let window = WORST_WINDOW.min(self.seconds).max(1);
        let worst = by_second.windows(window).map(|window| window.iter().sum::<u64>()).max();
        worst.unwrap_or_default() as f64 / window as f64 / self.members.len() as f64
    }
}

#[cfg(test)]
#[path = "../tests/unit/measure.rs"]
mod tests;
