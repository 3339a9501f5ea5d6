//! Incarnations of this member and of its peers: a number for each start, agreed on by a majority, that tells one process of a
//! name from the next.

use std::time::Duration;

use lotussaddle_replica::ReplicaReading;
use lotussaddle_trunk::{AuditMessage, Frame, Owner, PeerMessage};

use super::Member;
use super::interface::{Effects, MemberEvent, Save};
use super::saves::AfterWrite;
use super::streams::Incoming;
use crate::incarnations::start_count;
use crate::peers::PeerLink;

/// Delay before an overtaken process requests an incarnation again: only an operator can correct two processes under one name.
pub(super) const DUPLICATE_NAME_BACKOFF: Duration = Duration::from_secs(60);

impl Member {
    /// A later incarnation of this member is known: of another process under its name, or of a previous one that the members
    /// that granted this incarnation had lost. A new incarnation resolves the latter but not the
    /// former; a process that is overtaken twice backs off.
    pub(super) fn later_incarnation_known(&mut self, effects: &mut dyn Effects) {
        let again =
            self.overtaken_at.replace(self.now).is_some_and(|at| self.now < at + DUPLICATE_NAME_BACKOFF);
        if again {
            self.incarnation_requests_blocked_until = self.now + DUPLICATE_NAME_BACKOFF;
            let line = "another process runs under this member's name with a later incarnation: this one holds no replicas for 60 s";
            effects.log(line);
        } else {
            effects.log(
                "a later incarnation of this member is known than the one granted to it: requesting a new one",
            );
        }
        self.end_incarnation(effects);
    }

    pub(super) fn propose_incarnation(&mut self, effects: &mut dyn Effects) {
        if self.now < self.incarnation_requests_blocked_until {
            return;
        }
        if self.plan.members.len() == 1 && self.incarnations.current() == 0 {
            return; // There is no peer to grant it or to hold replicas.
        }
        if !self.has_majority_reported() && self.now < self.neighbour_reports_deadline {
            return;
        }
        if let Some(incarnation) = self.incarnations.due_proposal(self.now) {
            self.submit_disk_write(vec![Save::ProposedIncarnation(incarnation)], effects);
            for member in 0..self.plan.members.len() as u16 {
                if let Some(link) = self.peers.link_to(member) {
                    self.send_to_link(
                        link,
                        Frame::PeerMessage(PeerMessage::ProposeIncarnation { incarnation }),
                        effects,
                    );
                }
            }
        }
    }

    fn reporting_neighbour_count(&self) -> usize {
        self.view.neighbours().iter().filter(|neighbour| self.incarnations.has_reported(**neighbour)).count()
    }

    /// Whether more than half of this member and its neighbours have reported its previous incarnation. Only neighbours
    /// regularly receive the write count of its disk.
    fn has_majority_reported(&self) -> bool {
        let group = self.view.neighbours().len() + 1;
        self.reporting_neighbour_count() + 1 > group / 2
    }

    /// Whether a neighbour has reported this member's previous incarnation: without a report, a stale disk cannot be recognised.
    pub(super) fn has_neighbour_reported(&self) -> bool {
        self.reporting_neighbour_count() > 0
    }

    pub(super) fn incarnation_proposed(
        &mut self, link: PeerLink, member: u16, incarnation: u64, effects: &mut dyn Effects,
    ) {
        let (granted, highest) =
            self.incarnations.proposal_received(member, self.view.incarnation(member), incarnation);
        if !granted {
            self.send_to_link(
                link,
                Frame::PeerMessage(PeerMessage::IncarnationReply { incarnation, granted, highest }),
                effects,
            );
            return;
        }
        // A vote is persisted before it is sent.
        if let Some(number) =
            self.submit_disk_write(vec![Save::GrantedIncarnation(member, incarnation)], effects)
        {
            self.disk_writes.wait_for(number, [AfterWrite::GrantIncarnation { link, incarnation, highest }]);
        } else {
            self.send_to_link(
                link,
                Frame::PeerMessage(PeerMessage::IncarnationReply { incarnation, granted, highest }),
                effects,
            );
        }
    }

    pub(super) fn begin_incarnation(&mut self, incarnation: u64, fresh: bool, effects: &mut dyn Effects) {
        let first = self.replica_table.incarnation() == 0;
        self.replicas_are_current = fresh && first;
        if !fresh && first && !self.replica_table.is_empty() {
            // The disk holds an older state than the previous incarnation wrote.
            let dropped = self.replica_table.drop_not_owned();
            let why = self.incarnations.describe_stale_disk();
            effects.log(&format!("{why}: its {dropped} replicas are incomplete and are dropped"));
        }
        let now = self.now;
        if let Some(duties) = &mut self.duties {
            if !fresh && first {
                duties.mark_state_stale(now);
            }
            duties.set_incarnation(now, incarnation);
        }
        // By their own clocks, peers know how long this member was away: the clock on the wall may have been set in between.
        if let Some(away) = self.min_time_since_previous_incarnation.take().filter(|_| first) {
            self.replica_table.age_restored(self.now, away);
        }
        effects.log(&format!("incarnation {} begins", start_count(incarnation)));
        self.replica_table.begin_incarnation(self.now, incarnation);
        // Standing dialogues continue under this incarnation, and their core servers are notified. Otherwise they would count as
        // left by the previous one or, where launched before this process had an incarnation, end with the link.
        let standing = self.replica_table.iter().filter_map(|(id, replica)| {
            let owner = replica
                .owner()
                .filter(|owner| (owner.member, owner.incarnation) == (self.plan.self_member, incarnation))?;
            match replica.reading() {
                ReplicaReading::Stands { server, .. } => Some((server.clone(), id.clone(), owner)),
                _ => None,
            }
        });
        let adopts = standing.map(|(server, dialogue, owner)| {
            MemberEvent::SendToCore(
                server,
                Frame::AuditMessage(AuditMessage::Adopt { dialogue, owner, action: None }),
            )
        });
        self.events.extend(adopts);
        // A stale disk has fewer writes: from here on the count continues above every reported one.
        self.disk_writes.count_from(self.incarnations.known_write_count());
        self.submit_disk_write(vec![Save::Incarnation(incarnation)], effects);
        for member in 0..self.plan.members.len() as u16 {
            if let Some(link) = self.peers.link_to(member) {
                self.send_greeting(link, member, effects);
            }
            self.send_resume(member, effects);
        }
        // A previous incarnation of this member may have left dialogues behind.
        self.takeovers.incarnation_ended(self.now, self.plan.self_member, incarnation - 1);
        self.view.set_self(self.now, incarnation, self.caught_up());
    }

    /// This process has no incarnation until it gets a new one: nothing is copied under the old one.
    pub(super) fn end_incarnation(&mut self, effects: &mut dyn Effects) {
        let now = self.now;
        self.duties.iter_mut().for_each(|duties| duties.set_incarnation(now, 0));
        self.replicas_are_current = false;
        self.losses_expired_at = self.now + self.plan.retention + self.plan.retention / 8;
        for member in 0..self.plan.members.len() as u16 {
            self.replica_table.stream(member).halt();
            self.peer_resumed[usize::from(member)] = false;
            self.incoming[usize::from(member)] = Incoming::default();
            if let Some(link) = self.peers.link_to(member) {
                self.send_greeting(link, member, effects);
            }
        }
    }

    /// A member's register may state a later incarnation of it than was known.
    pub(super) fn apply_registered_incarnation(&mut self, member: u16, effects: &mut dyn Effects) {
        let incarnation = self.view.registered_incarnation(member);
        if incarnation > self.view.incarnation(member) {
            self.peer_incarnation_known(member, incarnation, effects);
        }
    }

    /// A peer is in this incarnation.
    pub(super) fn peer_incarnation_known(
        &mut self, member: u16, incarnation: u64, effects: &mut dyn Effects,
    ) {
        let before = self.view.incarnation(member);
        if self.view.incarnation_learned(member, incarnation) {
            if before > 0 {
                self.takeovers.incarnation_ended(self.now, member, before);
            }
            self.send_resume(member, effects);
        } else if self.incoming[usize::from(member)].incarnation != incarnation {
            self.send_resume(member, effects);
        }
        // One that is held gone stays so until the view has it back.
        if !self.members_seen_gone.has(member) {
            self.takeovers.member_returned(member, incarnation);
        }
        if incarnation > 0 {
            // Dialogues left by its previous incarnations have no owner.
            let ended = incarnation - 1;
            if !self.takeovers.is_ended(Owner { round: 0, member, incarnation: ended }) {
                self.takeovers.incarnation_ended(self.now, member, ended);
            }
        }
    }
}
