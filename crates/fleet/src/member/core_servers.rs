//! Core servers: links that come up or go down, the audit of the dialogues that stand there, and the takeover of orphaned ones.

use std::collections::BTreeSet;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::Replica;
use lotussaddle_trunk::{AuditMessage, Frame, HeldLine, Progress};

use super::Member;
use super::interface::{Effects, MemberEvent};
use crate::duties::SWEEP;
use crate::takeovers::{LineOwnership, TakeoverAction};

/// Maximum number of core servers whose lines are audited.
pub(super) const MAX_CORE_SERVERS: usize = 10_000;

impl Member {
    /// A link to a core server is up. Dialogues that stand there under this member and are not held here have no owner.
    pub fn core_up(&mut self, now: Duration, server: &ServerId) {
        self.now = now;
        if self.connected_cores.len() < MAX_CORE_SERVERS
            && self.connected_cores.insert(server.clone())
            && self.incarnations.current() > 0
        {
            let action = self.takeovers.query_own_lines(now, server);
            self.do_takeover_actions(vec![action]);
        }
    }

    /// The link to a core server has closed.
    pub fn core_down(&mut self, server: &ServerId) {
        if self.connected_cores.remove(server) {
            self.takeovers.server_lost(server);
        }
    }

    /// An audit message of a core server was received; `held` says whether the edge proxy holds a standing dialogue.
    pub fn audit_received(
        &mut self, now: Duration, server: &ServerId, audit: AuditMessage, held: &dyn Fn(&DialogueId) -> bool,
        effects: &mut dyn Effects,
    ) {
        self.now = now;
        match audit {
            AuditMessage::Lines { serial, more, lines } => {
                // Core servers may know of an incarnation that all peers have lost.
                let ours =
                    lines.iter().map(|line| line.owner).filter(|owner| owner.member == self.plan.self_member);
                if self
                    .incarnations
                    .incarnation_seen(ours.map(|owner| owner.incarnation).max().unwrap_or_default())
                {
                    return self.later_incarnation_known(effects);
                }
                let (self_member, replica_table) = (self.plan.self_member, &self.replica_table);
                let claimed_for_caller: BTreeSet<DialogueId> = lines
                    .iter()
                    .map(|line| line.dialogue.clone())
                    .filter(|id| self.is_claimed_for_caller(id))
                    .collect();
                let ownership_of = |line: &HeldLine| {
                    if line.owner.member == self_member
                        && line.owner.incarnation == replica_table.incarnation()
                        && held(&line.dialogue)
                    {
                        return LineOwnership::Held;
                    }
                    let owner = replica_table.get(&line.dialogue).and_then(Replica::owner);
                    match claimed_for_caller.contains(&line.dialogue)
                        || owner.is_some_and(|owner| owner > line.owner)
                    {
                        true => LineOwnership::Claimed,
                        false => LineOwnership::Unowned,
                    }
                };
                let incarnation = self.incarnations.current();
                if incarnation > 0 {
                    let actions = self.takeovers.lines_listed(
                        now,
                        server,
                        serial,
                        &lines,
                        more,
                        incarnation,
                        ownership_of,
                    );
                    self.do_takeover_actions(actions);
                }
            }
            AuditMessage::Adopted { dialogue, owner, launch, by } => {
                let launch = launch.map(LaunchNumber);
                let actions = self.redials.adopted(&dialogue, server, owner, launch, by);
                self.do_redial_actions(actions);
                let actions = self.takeovers.adopted(now, &dialogue, server, owner, launch, by);
                self.do_takeover_actions(actions);
            }
            AuditMessage::Moved { dialogue, by, .. } => {
                self.replica_table.write_refused(now, &dialogue, by);
                self.takeovers.remove(&dialogue);
                self.events.push(MemberEvent::OwnershipLost(dialogue));
            }
            AuditMessage::Fenced { dialogue, duty, highest } => {
                self.takeovers.remove(&dialogue);
                self.duties.iter_mut().for_each(|duties| duties.token_refused(now, duty, highest));
            }
            AuditMessage::ListLines { .. } | AuditMessage::Adopt { .. } => {}
        }
    }

    /// A standing dialogue has ended at a core server; returns whether this member had taken it over.
    pub fn core_ended(&mut self, now: Duration, id: &DialogueId) -> bool {
        self.now = now;
        let actions = self.takeovers.concluded(id);
        let was_taken_over = !actions.is_empty();
        self.do_takeover_actions(actions);
        was_taken_over
    }

    /// A frame could not be sent to a core server.
    pub fn core_send_failed(&mut self, now: Duration, frame: &Frame) {
        self.now = now;
        match frame {
            Frame::AuditMessage(AuditMessage::Adopt { dialogue, .. }) => {
                let actions = self.redials.server_unreachable(dialogue);
                self.do_redial_actions(actions); // A successor retries by itself.
            }
            Frame::AuditMessage(AuditMessage::ListLines { serial, .. }) => {
                self.takeovers.line_query_failed(*serial)
            }
            _ => {}
        }
    }

    pub(super) fn do_takeover_actions(&mut self, actions: Vec<TakeoverAction>) {
        for action in actions {
            match action {
                TakeoverAction::Adopt { server, dialogue, owner, swept } => {
                    let duties = self.duties.as_ref().filter(|_| swept);
                    let act = duties.and_then(|duties| duties.current_action(self.now, SWEEP));
                    if duties.is_some() && act.is_none() {
                        // Another member holds the duty by now.
                        self.takeovers.remove(&dialogue);
                        continue;
                    }
                    self.takeovers.claim_yielded(self.now, &server);
                    self.events.push(MemberEvent::SendToCore(
                        server,
                        Frame::AuditMessage(AuditMessage::Adopt { dialogue, owner, action: act }),
                    ));
                }
                TakeoverAction::Own { dialogue, owner, server, launch } => {
                    self.counts.taken_over += 1;
                    self.replica_table.claim(self.now, &dialogue, owner, &Replica::default());
                    let progress = Progress::Stands { server, launch };
                    self.write_step(&dialogue, progress, Duration::ZERO, None, self.now, 0);
                }
                TakeoverAction::Release { server, dialogue, launch } => {
                    self.counts.released += 1;
                    self.events.push(MemberEvent::SendToCore(server, Frame::Release { dialogue, launch }));
                }
                TakeoverAction::Conclude { dialogue, owner } => {
                    self.replica_table.claim(self.now, &dialogue, owner, &Replica::default());
                    self.write_step(&dialogue, Progress::Ended, Duration::ZERO, None, self.now, 0);
                }
                TakeoverAction::ListLines { server, serial, member, incarnation, after } => {
                    let query = AuditMessage::ListLines { serial, member, incarnation, after };
                    self.events.push(MemberEvent::SendToCore(server, Frame::AuditMessage(query)));
                }
            }
        }
    }
}
