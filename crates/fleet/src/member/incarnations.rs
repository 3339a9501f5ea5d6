//! Incarnations of this member and of its peers: a number for each start, agreed on by a majority, that tells one process of a
//! name from the next.

use std::time::Duration;

use lotussaddle_replica::ReplicaReading;
use lotussaddle_trunk::{AuditMessage, Frame, Owner, PeerMessage};

use super::Member;
use super::interface::{Effects, Finding, Save};
use super::saves::AfterWrite;
use super::streams::Incoming;
use crate::incarnations::start_count;
use crate::peers::PeerLink;

/// An overtaken process asks for a life again after so long: two under one name are a mistake that only an operator mends.
pub(super) const RETIRED: Duration = Duration::from_secs(60);

impl Member {
    /// A later life of this member is known: of another process under its name, or of a former one that those who gave this life
    /// had forgotten. The latter is over with a new life; the former is not, and the one that is overtaken twice gives way.
    pub(super) fn overtaken(&mut self, effects: &mut dyn Effects) {
        let again = self.overtaken_at.replace(self.now).is_some_and(|at| self.now < at + RETIRED);
        if again {
            self.retired_until = self.now + RETIRED;
            let line = "another process has this member's name, and the later life: this one keeps no copies for a while";
            effects.log(line);
        } else {
            effects.log("a later life of this member is known than the one it was given: it takes another");
        }
        self.end_life(effects);
    }

    pub(super) fn ask_for_life(&mut self, effects: &mut dyn Effects) {
        if self.now < self.retired_until {
            return;
        }
        if self.plan.members.len() == 1 && self.lives.current() == 0 {
            return; // Nobody is there to agree, nor to keep copies.
        }
        if !self.has_neighbour_majority_told() && self.now < self.neighbours_tell_by {
            return;
        }
        if let Some(life) = self.lives.due_proposal(self.now) {
            self.order(vec![Save::Asked(life)], effects);
            for member in 0..self.plan.members.len() as u16 {
                if let Some(link) = self.peers.link_to(member) {
                    self.tell(
                        link,
                        Frame::PeerMessage(PeerMessage::ProposeIncarnation { incarnation: life }),
                        effects,
                    );
                }
            }
        }
    }

    fn neighbours_that_told(&self) -> usize {
        self.view.neighbours().iter().filter(|neighbour| self.lives.has_reported(**neighbour)).count()
    }

    /// Of this member and its neighbours more than half have said what they know of its former life. Neighbours alone hear regularly
    /// how many writes its disk has had.
    fn has_neighbour_majority_told(&self) -> bool {
        let group = self.view.neighbours().len() + 1;
        self.neighbours_that_told() + 1 > group / 2
    }

    /// A neighbour has said what it knows of this member's former life: without one nobody can tell whether its disk is old.
    pub(super) fn has_neighbour_told(&self) -> bool {
        self.neighbours_that_told() > 0
    }

    pub(super) fn life_asked(&mut self, link: PeerLink, member: u16, life: u64, effects: &mut dyn Effects) {
        let (given, highest) = self.lives.proposal_received(member, self.view.incarnation(member), life);
        if !given {
            self.tell(
                link,
                Frame::PeerMessage(PeerMessage::IncarnationReply {
                    incarnation: life,
                    granted: given,
                    highest,
                }),
                effects,
            );
            return;
        }
        // A vote is kept before it is said.
        if let Some(number) = self.order(vec![Save::Given(member, life)], effects) {
            self.writes.wait_for(number, [AfterWrite::GrantLife { link, life, highest }]);
        } else {
            self.tell(
                link,
                Frame::PeerMessage(PeerMessage::IncarnationReply {
                    incarnation: life,
                    granted: given,
                    highest,
                }),
                effects,
            );
        }
    }

    pub(super) fn begin_life(&mut self, life: u64, fresh: bool, effects: &mut dyn Effects) {
        let first = self.book.incarnation() == 0;
        self.fresh = fresh && first;
        if !fresh && first && !self.book.is_empty() {
            // What the disk had is older than what was written in the life before.
            let dropped = self.book.drop_not_owned();
            let why = self.lives.describe_stale_disk();
            effects.log(&format!("{why}: its {dropped} copies are not all that was kept, and are let go"));
        }
        let now = self.now;
        if let Some(duties) = &mut self.duties {
            if !fresh && first {
                duties.mark_state_stale(now);
            }
            duties.set_incarnation(now, life);
        }
        // By their own clocks, peers know how long this member was away: the clock on the wall may have been set in between.
        if let Some(away) = self.away.take().filter(|_| first) {
            self.book.age_restored(self.now, away);
        }
        effects.log(&format!("life {} begins", start_count(life)));
        self.book.begin_incarnation(self.now, life);
        // What stands goes on under this life: its core servers are told, or it would pass for what the former one left, or, where
        // it was launched before this process had a life, end with its link.
        let standing = self.book.iter().filter_map(|(id, copy)| {
            let owner = copy
                .owner()
                .filter(|owner| (owner.member, owner.incarnation) == (self.plan.self_member, life))?;
            match copy.reading() {
                ReplicaReading::Stands { server, .. } => Some((server.clone(), id.clone(), owner)),
                _ => None,
            }
        });
        let adopts = standing.map(|(server, dialogue, owner)| {
            Finding::ToCore(
                server,
                Frame::AuditMessage(AuditMessage::Adopt { dialogue, owner, action: None }),
            )
        });
        self.findings.extend(adopts);
        // An older copy has had fewer writes: from here on they are counted above all that were told.
        self.writes.count_from(self.lives.known_write_count());
        self.order(vec![Save::Life(life)], effects);
        for member in 0..self.plan.members.len() as u16 {
            if let Some(link) = self.peers.link_to(member) {
                self.say_here(link, member, effects);
            }
            self.resume(member, effects);
        }
        // A former life of this member left something behind, perhaps.
        self.takeovers.incarnation_ended(self.now, self.plan.self_member, life - 1);
        self.view.set_self(self.now, life, self.caught_up());
    }

    /// This process has no life until it gets a new one: nothing is copied under the old one.
    pub(super) fn end_life(&mut self, effects: &mut dyn Effects) {
        let now = self.now;
        self.duties.iter_mut().for_each(|duties| duties.set_incarnation(now, 0));
        self.fresh = false;
        self.wise_at = self.now + self.plan.retention + self.plan.retention / 8;
        for member in 0..self.plan.members.len() as u16 {
            self.book.stream(member).halt();
            self.resumed[usize::from(member)] = false;
            self.incoming[usize::from(member)] = Incoming::default();
            if let Some(link) = self.peers.link_to(member) {
                self.say_here(link, member, effects);
            }
        }
    }

    /// A member's register may tell a later life of it than was known.
    pub(super) fn register_tells_life(&mut self, member: u16, effects: &mut dyn Effects) {
        let life = self.view.registered_incarnation(member);
        if life > self.view.incarnation(member) {
            self.peer_lives(member, life, effects);
        }
    }

    /// A peer is in this life.
    pub(super) fn peer_lives(&mut self, member: u16, life: u64, effects: &mut dyn Effects) {
        let before = self.view.incarnation(member);
        if self.view.incarnation_learned(member, life) {
            if before > 0 {
                self.takeovers.incarnation_ended(self.now, member, before);
            }
            self.resume(member, effects);
        } else if self.incoming[usize::from(member)].life != life {
            self.resume(member, effects);
        }
        // One that is held gone stays so until the view has it back.
        if !self.was_gone.has(member) {
            self.takeovers.member_returned(member, life);
        }
        if life > 0 {
            // What it left in lives before this one is nobody's.
            let ended = life - 1;
            if !self.takeovers.is_ended(Owner { round: 0, member, incarnation: ended }) {
                self.takeovers.incarnation_ended(self.now, member, ended);
            }
        }
    }
}
