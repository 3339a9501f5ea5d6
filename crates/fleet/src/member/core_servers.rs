//! Core servers: links that come up or go down, the audit of the dialogues that stand there, and the takeover of orphaned ones.

use std::collections::BTreeSet;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::Replica;
use lotussaddle_trunk::{AuditMessage, Frame, HeldLine, Progress};

use super::Member;
use super::interface::{Effects, Finding};
use crate::duties::SWEEP;
use crate::takeovers::{LineOwnership, TakeoverAction};

/// Core servers whose lines are looked after, at most.
pub(super) const MOST_CORES: usize = 10_000;

impl Member {
    /// A link to a core server is up. What stands there of this member and is not held here is nobody's.
    pub fn core_up(&mut self, now: Duration, server: &ServerId) {
        self.now = now;
        if self.cores.len() < MOST_CORES && self.cores.insert(server.clone()) && self.lives.current() > 0 {
            let action = self.takeovers.query_own_lines(now, server);
            self.do_takeover_actions(vec![action]);
        }
    }

    /// The link to a core server has gone.
    pub fn core_down(&mut self, server: &ServerId) {
        if self.cores.remove(server) {
            self.takeovers.server_lost(server);
        }
    }

    /// A core server speaks of whose dialogues are; `held` tells what this member's edge proxy has standing.
    pub fn core_said(
        &mut self, now: Duration, server: &ServerId, audit: AuditMessage, held: &dyn Fn(&DialogueId) -> bool,
        effects: &mut dyn Effects,
    ) {
        self.now = now;
        match audit {
            AuditMessage::Lines { serial, more, lines } => {
                // Where all peers have forgotten a life, core servers still know of it.
                let ours =
                    lines.iter().map(|line| line.owner).filter(|owner| owner.member == self.plan.self_member);
                if self.lives.incarnation_seen(ours.map(|owner| owner.incarnation).max().unwrap_or_default())
                {
                    return self.overtaken(effects);
                }
                let (me, book) = (self.plan.self_member, &self.book);
                let kept: BTreeSet<DialogueId> =
                    lines.iter().map(|line| line.dialogue.clone()).filter(|id| self.is_coming(id)).collect();
                let whose = |line: &HeldLine| {
                    if line.owner.member == me
                        && line.owner.incarnation == book.incarnation()
                        && held(&line.dialogue)
                    {
                        return LineOwnership::Held;
                    }
                    let owner = book.get(&line.dialogue).and_then(Replica::owner);
                    match kept.contains(&line.dialogue) || owner.is_some_and(|owner| owner > line.owner) {
                        true => LineOwnership::Claimed,
                        false => LineOwnership::Unowned,
                    }
                };
                let life = self.lives.current();
                if life > 0 {
                    let actions = self.takeovers.lines_listed(now, server, serial, &lines, more, life, whose);
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
                self.book.write_refused(now, &dialogue, by);
                self.takeovers.remove(&dialogue);
                self.findings.push(Finding::Replaced(dialogue));
            }
            AuditMessage::Fenced { dialogue, duty, highest } => {
                self.takeovers.remove(&dialogue);
                self.duties.iter_mut().for_each(|duties| duties.token_refused(now, duty, highest));
            }
            AuditMessage::ListLines { .. } | AuditMessage::Adopt { .. } => {}
        }
    }

    /// A standing dialogue has ended at a core server; true: it was one that this member had taken over.
    pub fn core_ended(&mut self, now: Duration, id: &DialogueId) -> bool {
        self.now = now;
        let actions = self.takeovers.concluded(id);
        let mine = !actions.is_empty();
        self.do_takeover_actions(actions);
        mine
    }

    /// A core server could not be told.
    pub fn unreached(&mut self, now: Duration, frame: &Frame) {
        self.now = now;
        match frame {
            Frame::AuditMessage(AuditMessage::Adopt { dialogue, .. }) => {
                let actions = self.redials.server_unreachable(dialogue);
                self.do_redial_actions(actions); // A successor asks again by itself.
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
                        // The duty is another's by now.
                        self.takeovers.remove(&dialogue);
                        continue;
                    }
                    self.takeovers.claim_yielded(self.now, &server);
                    self.findings.push(Finding::ToCore(
                        server,
                        Frame::AuditMessage(AuditMessage::Adopt { dialogue, owner, action: act }),
                    ));
                }
                TakeoverAction::Own { dialogue, owner, server, launch } => {
                    self.counts.taken_over += 1;
                    self.book.claim(self.now, &dialogue, owner, &Replica::default());
                    let reached = Progress::Stands { server, launch };
                    self.write(&dialogue, reached, Duration::ZERO, None, self.now, 0);
                }
                TakeoverAction::Release { server, dialogue, launch } => {
                    self.counts.released += 1;
                    self.findings.push(Finding::ToCore(server, Frame::Release { dialogue, launch }));
                }
                TakeoverAction::Conclude { dialogue, owner } => {
                    self.book.claim(self.now, &dialogue, owner, &Replica::default());
                    self.write(&dialogue, Progress::Ended, Duration::ZERO, None, self.now, 0);
                }
                TakeoverAction::ListLines { server, serial, member, life, after } => {
                    let what = AuditMessage::ListLines { serial, member, incarnation: life, after };
                    self.findings.push(Finding::ToCore(server, Frame::AuditMessage(what)));
                }
            }
        }
    }
}
