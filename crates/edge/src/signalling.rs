//! Implementation of the decision module's `Signalling`: turns decisions into frames and launch ends.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_trunk::{DialogueEnd, Frame, Launch, Message};

use crate::held::{
    ConcludedDialogues, Counts, Deadlines, Deferred, DeferredSends, HeldDialogue, Limits, Stage,
};
use crate::links::{CoreServer, Link, Peer};
use crate::{DialogueStep, EdgeEffects, LinkId, LogTopic};

/// State of an edge proxy except for its decisions.
pub struct State {
    /// Limits on what is held.
    pub limits: Limits,
    /// Time of the current input, since the start.
    pub now: Duration,
    /// Dialogues held.
    pub held: HashMap<DialogueId, HeldDialogue>,
    /// Links in use.
    pub links: BTreeMap<LinkId, Link>,
    /// Accepted links without a hello, oldest first.
    pub unidentified: VecDeque<LinkId>,
    /// Number of accepted links.
    pub caller_links: usize,
    /// Core servers of the pool list.
    pub servers: BTreeMap<ServerId, CoreServer>,
    /// Deadlines of launches, look-ups and releases.
    pub deadlines: Deadlines,
    /// Concluded dialogues that are remembered.
    pub concluded: ConcludedDialogues,
    /// Counters since the start.
    pub counts: Counts,
    /// Time at which the decision module's timer expires.
    pub module_timer: Option<Duration>,
    /// Launch ends caused by the decision module itself; it receives them as its next inputs.
    pub launch_ends: VecDeque<LaunchEnd>,
    /// Links that failed while being written to, with the reason for closing them.
    pub failed_links: VecDeque<(LinkId, &'static str)>,
    /// Launches and answers that are sent once they are recorded.
    pub deferred: DeferredSends,
}

/// The state and the effects, lent to the decision module for one input.
pub struct ModuleSignalling<'a> {
    /// State of the edge proxy.
    pub state: &'a mut State,
    /// Effects on the outside world.
    pub effects: &'a mut dyn EdgeEffects,
}

impl ModuleSignalling<'_> {
    /// Sends a frame without extra fields; see [`Self::send_message`].
    pub fn send_frame(&mut self, link: LinkId, frame: Frame) {
        self.send_message(link, frame.into());
    }

    /// Sends a message. A link that cannot take it is closed, so that no message is lost unnoticed.
    pub fn send_message(&mut self, link: LinkId, message: Message) {
        if !self.effects.send(link, message) {
            self.state.failed_links.push_back((link, "its queue is full"));
        }
    }

    /// Sends a final answer once the answer is recorded. After a crash in between, the dialogue counts as answered
    /// though it was not, but no dialogue is answered twice.
    pub fn send_final_answer(
        &mut self, (link, cut_off): (LinkId, Duration), dialogue: &DialogueId, launch: LaunchNumber,
        message: Message,
    ) {
        match self.effects.record(dialogue, DialogueStep::Answer { answer: &message.frame, launch }) {
            // After a stall the cut-off may have passed, so the answer does not wait for its record.
            Some(number) if self.state.now < cut_off => {
                let deadline = cut_off.min(self.state.now + self.state.limits.answer_record_timeout);
                self.state.deferred.add(deadline, number, dialogue, Deferred::Answer { link, message });
            }
            _ => {
                self.state.counts.unrecorded += u64::from(!self.state.limits.answer_record_timeout.is_zero());
                self.send_message(link, message);
            }
        }
    }

    /// Sends the pending answer of a dialogue that ends before its caller was notified that it stands.
    pub fn send_pending_answer(&mut self, id: &DialogueId) {
        if let Some(Deferred::Answer { link, message }) = self.state.deferred.remove_dialogue(id) {
            self.state.counts.unrecorded += 1;
            self.send_message(link, message);
        }
    }

    /// Resumes the sending of a launch or answer that was deferred until its record was written (`is_recorded`) or the
    /// wait for that record timed out.
    pub fn resume_deferred(&mut self, id: DialogueId, deferred: Deferred, is_recorded: bool) {
        match deferred {
            Deferred::Answer { link, message } => {
                self.state.counts.unrecorded += u64::from(!is_recorded);
                self.send_message(link, message);
            }
            Deferred::Launch(launch) if !is_recorded && self.state.limits.withhold_unrecorded_launches => {
                self.state.counts.withheld += 1;
                let server = self.state.held.get(&id).and_then(|held| match &held.stage {
                    Stage::Launched { server, launch: current, .. } if *current == launch => {
                        Some(server.clone())
                    }
                    _ => None,
                });
                if let Some(server) = server {
                    self.end_unreachable_launch(&id, launch, &server);
                }
            }
            Deferred::Launch(launch) => {
                self.state.counts.launched_unrecorded += u64::from(!is_recorded);
                self.send_or_queue_launch(&id, launch);
            }
        }
    }

    /// Records that no launch of the dialogue is in progress and that it does not stand.
    pub fn record_launch_returned(&mut self, id: &DialogueId, outcome_unknown: bool) {
        self.effects.record(id, DialogueStep::LaunchReturned { outcome_unknown });
    }

    /// Removes a dialogue that has ended for its caller.
    pub fn remove_held(&mut self, id: &DialogueId) -> Option<HeldDialogue> {
        let held = self.state.held.remove(id)?;
        if let Some(link) = self.state.links.get_mut(&held.caller_link) {
            link.dialogues.remove(id);
        }
        Some(held)
    }

    /// Concludes a dialogue; returns its caller's link and cut-off. If the decision module may not cancel launches,
    /// one may still be in progress: it is ended now, since the module would otherwise count its lines as
    /// taken for ever.
    pub fn conclude(&mut self, id: &DialogueId) -> Option<(LinkId, Duration)> {
        if let Stage::Launched { launch, .. } = self.state.held.get(id)?.stage
            && let Some(server) = self.cancel_launch(id, launch)
        {
            self.queue_launch_end(id, launch, &server, Outcome::Cancelled);
        }
        let held = self.remove_held(id)?;
        self.state.concluded.add(self.state.now, id, &self.state.limits);
        Some((held.caller_link, held.cut_off))
    }

    /// Moves a dialogue from its launch back to waiting and clears what belongs to the launch.
    pub fn clear_launch(&mut self, id: &DialogueId) {
        let Some(held) = self.state.held.get_mut(id) else { return };
        let Stage::Launched { server, launch, until, link } =
            std::mem::replace(&mut held.stage, Stage::Waiting)
        else {
            return;
        };
        self.state.deadlines.clear(until, id, launch);
        self.state.deferred.remove_dialogue(id); // A launch that still waits for its record is not sent.
        match link {
            Some(link) => self.state.links.get_mut(&link).map(|link| link.dialogues.remove(id)),
            None => self.state.servers.get_mut(&server).map(|core| {
                core.queued_launches.retain(|queued| queued != id);
                true
            }),
        };
    }

    /// Cancels a launch if it is in progress; returns its core server.
    pub fn cancel_launch(&mut self, id: &DialogueId, launch: LaunchNumber) -> Option<ServerId> {
        let held = self.state.held.get(id)?;
        let Stage::Launched { server, launch: current, link, .. } = &held.stage else { return None };
        if *current != launch {
            return None;
        }
        let (server, link) = (server.clone(), *link);
        self.clear_launch(id);
        self.record_launch_returned(id, link.is_some());
        if let Some(link) = link {
            self.send_frame(link, Frame::Cancel { dialogue: id.clone(), launch });
        }
        Some(server)
    }

    /// Sends a launch, or queues it until the link opens.
    fn send_or_queue_launch(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        let server = match self.state.held.get(dialogue).map(|held| &held.stage) {
            Some(Stage::Launched { server, launch: current, link: None, .. }) if *current == launch => {
                server.clone()
            }
            _ => return,
        };
        let link = self.link_to_core(&server);
        let open_link = link.filter(|link| self.state.links.get(link).is_some_and(|l| l.handshake_done));
        let limit = self.state.limits.max_queued_launches;
        let sent = match open_link {
            Some(link) => self.send_launch(dialogue, link),
            None => self.state.servers.get_mut(&server).is_some_and(|core| {
                let has_space = core.queued_launches.len() < limit;
                if has_space {
                    core.queued_launches.push(dialogue.clone());
                }
                has_space
            }),
        };
        if !sent {
            self.end_unreachable_launch(dialogue, launch, &server);
        }
    }

    /// Sends a launch on an open link. Returns false if the link cannot take it.
    pub fn send_launch(&mut self, id: &DialogueId, link: LinkId) -> bool {
        let now = self.state.now;
        let Some(held) = self.state.held.get_mut(id) else { return true };
        let Stage::Launched { launch, until, link: sent_on, .. } = &mut held.stage else { return true };
        let frame = Frame::Launch(Launch {
            dialogue: id.clone(),
            launch: *launch,
            key: held.key.clone(),
            product: held.product,
            width: held.width,
            time_left: until.saturating_sub(now),
            number: held.number.as_ref().map(|number| number.0.clone()),
            routing: held.number.as_ref().and_then(|number| number.1.clone()),
            owner: None,
        });
        if !self.effects.send(link, Message { frame, extra: held.extra.to_vec() }) {
            return false;
        }
        *sent_on = Some(link);
        self.state.counts.launches += 1;
        self.add_dialogue_to_link(link, id);
        true
    }

    /// The link for new launches to a core server, opened if there is none; `None` for an unknown server.
    pub fn link_to_core(&mut self, id: &ServerId) -> Option<LinkId> {
        let core = self.state.servers.get_mut(id)?;
        if core.link.is_none() {
            let link = self.effects.connect(&core.address);
            core.link = Some(link);
            self.state.links.insert(link, Link::new(Peer::Core(id.clone()), self.state.now));
        }
        core.link
    }

    /// Registers a dialogue as a user of this link.
    pub fn add_dialogue_to_link(&mut self, link: LinkId, id: &DialogueId) {
        if let Some(known) = self.state.links.get_mut(&link) {
            known.dialogues.insert(id.clone());
        }
    }

    /// Marks a held dialogue as standing; returns its caller's link and cut-off.
    pub fn mark_standing(
        &mut self, id: &DialogueId, server: &ServerId, launch: LaunchNumber, link: LinkId,
    ) -> Option<(LinkId, Duration)> {
        let held = self.state.held.get_mut(id)?;
        held.stage = Stage::Standing { server: server.clone(), launch, link };
        held.extra = Box::default(); // No launch will carry the extra fields any more.
        let caller = (held.caller_link, held.cut_off);
        self.add_dialogue_to_link(link, id);
        Some(caller)
    }

    /// Ends a launch that was never sent, as one whose core server cannot be reached.
    pub fn end_unreachable_launch(&mut self, id: &DialogueId, launch: LaunchNumber, server: &ServerId) {
        self.clear_launch(id);
        self.record_launch_returned(id, false);
        self.queue_launch_end(id, launch, server, Outcome::Unreachable);
    }

    /// Queues the end of a launch for the decision module.
    pub fn queue_launch_end(
        &mut self, dialogue: &DialogueId, launch: LaunchNumber, server: &ServerId, outcome: Outcome,
    ) {
        self.state.launch_ends.push_back(LaunchEnd {
            dialogue: dialogue.clone(),
            launch,
            server: server.clone(),
            outcome,
            closed: false, // Set when the end is reported.
            report: LoadReport::default(),
        });
    }

    /// Ends a standing dialogue that was cut and notifies its caller.
    pub fn cut_standing(&mut self, id: &DialogueId) {
        self.state.counts.cut += 1;
        if let Some((link, _)) = self.conclude(id) {
            self.effects.record(id, DialogueStep::Ended);
            self.send_pending_answer(id);
            self.send_frame(link, Frame::Over { dialogue: id.clone(), end: DialogueEnd::Cut });
        }
    }
}

impl Signalling for ModuleSignalling<'_> {
    fn launch(&mut self, dialogue: &DialogueId, server: &ServerId, time_out: Duration) {
        let until = self.state.now + time_out;
        let Some(held) = self.state.held.get_mut(dialogue) else { return };
        // A dialogue has one launch at a time. The decision module ensures this; the check also enforces it for other
        // implementations of the decisions.
        if held.stage != Stage::Waiting {
            let line =
                format!("launch of {} not sent: the dialogue is in stage {:?}", dialogue.0, held.stage);
            return self.effects.log(LogTopic::Mode, &line);
        }
        let launch = LaunchNumber(held.launches);
        held.launches += 1;
        held.stage = Stage::Launched { server: server.clone(), launch, until, link: None };
        self.state.deadlines.set(until, dialogue, launch);
        let timeout = self.state.limits.launch_record_timeout;
        match self.effects.record(dialogue, DialogueStep::Launch { server, launch, until }) {
            Some(number) if !timeout.is_zero() => {
                let deadline = until.min(self.state.now + timeout);
                self.state.deferred.add(deadline, number, dialogue, Deferred::Launch(launch));
            }
            _ => self.send_or_queue_launch(dialogue, launch),
        }
    }

    fn refuse(&mut self, dialogue: &DialogueId, retry_after: Option<Duration>) {
        if let Some(to) = self.conclude(dialogue) {
            self.state.counts.refused += 1;
            self.send_final_answer(
                to,
                dialogue,
                LaunchNumber(0),
                Frame::Refused { dialogue: dialogue.clone(), retry_after }.into(),
            );
        }
    }

    fn fail(&mut self, dialogue: &DialogueId) {
        if let Some(to) = self.conclude(dialogue) {
            self.state.counts.failed += 1;
            self.send_final_answer(
                to,
                dialogue,
                LaunchNumber(0),
                Frame::Failed { dialogue: dialogue.clone() }.into(),
            );
        }
    }

    /// Ends the launch without waiting for the core server: if the server's answer crosses the cancel, the launch
    /// has ended already, and the lines of the answered launch are released.
    fn cancel(&mut self, dialogue: &DialogueId, launch: LaunchNumber) {
        if let Some(server) = self.cancel_launch(dialogue, launch) {
            self.queue_launch_end(dialogue, launch, &server, Outcome::Cancelled);
        }
    }

    fn set_timer(&mut self, _timer: TimerId, after: Duration) {
        self.state.module_timer = Some(self.state.now + after);
    }

    fn log(&mut self, line: &str) {
        self.effects.log(LogTopic::Mode, line);
    }
}
