//! An edge proxy and, where the sheet has a fleet, the member beside it: on one thread, with the time brought. What one has for the
//! other goes to and fro here until nothing is left; neither knows the other. Sockets and virtual time drive this alike.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use lotussaddle::interface::{DialogueId, ServerId};
use lotussaddle_edge::{Decisions, DialogueStep, Edge, EdgeEffects, LinkId, LogTopic, PriorOutcome};
use lotussaddle_fleet::{Effects, Member, MemberEvent, PeerLink, Verdict};
use lotussaddle_numbers::Tables;
use lotussaddle_trunk::{Answer, Frame, Message};
use std::sync::Arc;

/// What a launch or an answer waits for: the disk, the members, or both.
struct Waits {
    disk: bool,
    members: bool,
}

/// Numbers of records: one for whoever waits, of what disk and members call by their own.
#[derive(Default)]
struct Tickets {
    last: u64,
    waits: HashMap<u64, Waits>,
    of_disk: HashMap<u64, u64>,
    of_members: HashMap<u64, u64>,
}

impl Tickets {
    fn add(&mut self, disk: Option<u64>, members: Option<u64>) -> Option<u64> {
        if disk.is_none() && members.is_none() {
            return None;
        }
        self.last += 1;
        self.waits.insert(self.last, Waits { disk: disk.is_some(), members: members.is_some() });
        self.of_disk.extend(disk.map(|number| (number, self.last)));
        self.of_members.extend(members.map(|number| (number, self.last)));
        Some(self.last)
    }

    fn kept(&mut self, by_disk: bool, number: u64) -> Option<u64> {
        let own = if by_disk { &mut self.of_disk } else { &mut self.of_members };
        let ticket = own.remove(&number)?;
        let waits = self.waits.get_mut(&ticket)?;
        if by_disk {
            waits.disk = false;
        } else {
            waits.members = false;
        }
        if waits.disk || waits.members {
            return None;
        }
        self.waits.remove(&ticket);
        Some(ticket)
    }

    /// Those that nobody waits for any more, since they waited long enough, are let go of in the order in which they came.
    fn trim(&mut self) {
        const MOST: usize = 1 << 17;
        if self.waits.len() > MOST {
            let before = self.last - MOST as u64 / 2;
            self.waits.retain(|ticket, _| *ticket > before);
            self.of_disk.retain(|_, ticket| *ticket > before);
            self.of_members.retain(|_, ticket| *ticket > before);
        }
    }
}

pub struct Proxy<D> {
    edge: Edge<D>,
    member: Option<Box<Member>>,
    tickets: Tickets,
    /// Links to core servers that are up.
    cores: BTreeMap<LinkId, ServerId>,
}

/// The edge's wires, with the member listening.
struct Listening<'a> {
    now: Duration,
    wires: &'a mut dyn EdgeEffects,
    member: Option<&'a mut Member>,
    tickets: &'a mut Tickets,
    closed: Vec<LinkId>,
}

impl EdgeEffects for Listening<'_> {
    fn send(&mut self, link: LinkId, mut message: Message) -> bool {
        if let (Frame::Launch(launch), Some(member)) = (&mut message.frame, &self.member) {
            launch.owner = member.owner_of(&launch.dialogue);
        }
        self.wires.send(link, message)
    }

    fn connect(&mut self, address: &str) -> LinkId {
        self.wires.connect(address)
    }

    fn close(&mut self, link: LinkId, why: &str) {
        self.closed.push(link);
        self.wires.close(link, why);
    }

    fn log(&mut self, note: LogTopic, line: &str) {
        self.wires.log(note, line);
    }

    fn record(&mut self, dialogue: &DialogueId, step: DialogueStep) -> Option<u64> {
        let disk = self.wires.record(dialogue, step);
        let members = self.member.as_mut().and_then(|member| tell(member, self.now, dialogue, step));
        self.tickets.add(disk, members)
    }

    fn look_up_dialogue(&mut self, dialogue: &DialogueId, cut_off: Duration) -> bool {
        let Some(member) = &mut self.member else { return false };
        member.look_up_dialogue(self.now, dialogue, cut_off);
        true
    }

    fn tables_order_done(&mut self, serial: u64, why: Option<&str>) {
        if let Some(member) = &mut self.member {
            member.tables_order_done(self.now, serial, why);
        }
    }

    fn load_tables(&mut self, name: &str, bases: Vec<Arc<Tables>>) -> bool {
        self.wires.load_tables(name, bases)
    }

    fn send_look_up(&mut self, server: usize, datagram: &[u8]) {
        self.wires.send_look_up(server, datagram);
    }

    fn drop_tables(&mut self, tables: Vec<Arc<Tables>>) {
        self.wires.drop_tables(tables);
    }
}

fn tell(member: &mut Member, now: Duration, id: &DialogueId, step: DialogueStep) -> Option<u64> {
    match step {
        DialogueStep::Accepted => member.dialogue_accepted(now, id),
        DialogueStep::Launch { server, launch, until } => {
            return member.launch_planned(now, id, server, launch, until);
        }
        DialogueStep::LaunchReturned { outcome_unknown: doubt } => member.launch_returned(now, id, doubt),
        DialogueStep::Answer { answer, launch } => {
            let answer = match answer {
                Frame::Stands { server, .. } => Answer::Stands { server: server.clone() },
                Frame::Refused { retry_after: come_back, .. } => Answer::Refused { come_back: *come_back },
                _ => Answer::Failed,
            };
            return member.answer_planned(now, id, &answer, launch);
        }
        DialogueStep::Ended => member.dialogue_ended(now, id),
    }
    None
}

impl<D: Decisions> Proxy<D> {
    pub fn new(edge: Edge<D>, member: Option<Member>) -> Self {
        Self { edge, member: member.map(Box::new), tickets: Tickets::default(), cores: BTreeMap::new() }
    }

    pub fn edge(&self) -> &Edge<D> {
        &self.edge
    }

    pub fn edge_mut(&mut self) -> &mut Edge<D> {
        &mut self.edge
    }

    pub fn member(&self) -> Option<&Member> {
        self.member.as_deref()
    }

    /// When `alarm` is to be called next.
    pub fn next_due(&self) -> Duration {
        let edge = self.edge.next_due();
        self.member.as_ref().map_or(edge, |member| edge.min(member.next_due()))
    }

    fn with_edge<T>(
        &mut self, now: Duration, wires: &mut dyn EdgeEffects,
        act: impl FnOnce(&mut Edge<D>, &mut dyn EdgeEffects) -> T,
    ) -> T {
        let member = self.member.as_deref_mut();
        let mut listening = Listening { now, wires, member, tickets: &mut self.tickets, closed: Vec::new() };
        let done = act(&mut self.edge, &mut listening);
        for link in std::mem::take(&mut listening.closed) {
            self.core_gone(link);
        }
        done
    }

    fn core_gone(&mut self, link: LinkId) {
        if let Some(server) = self.cores.remove(&link)
            && !self.cores.values().any(|other| *other == server)
            && let Some(member) = &mut self.member
        {
            member.core_down(&server);
        }
    }

    // Inputs of the edge proxy

    pub fn linked(&mut self, now: Duration, link: LinkId, wires: &mut dyn EdgeEffects) {
        self.with_edge(now, wires, |edge, wires| edge.link_opened(now, link, wires));
        self.settle(now, wires);
    }

    pub fn connected(&mut self, now: Duration, link: LinkId, wires: &mut dyn EdgeEffects) {
        self.with_edge(now, wires, |edge, wires| edge.link_connected(now, link, wires));
        self.settle(now, wires);
    }

    pub fn lost(&mut self, now: Duration, link: LinkId, why: &str, wires: &mut dyn EdgeEffects) {
        self.core_gone(link);
        self.with_edge(now, wires, |edge, wires| edge.link_closed(now, link, why, wires));
        self.settle(now, wires);
    }

    pub fn heard(
        &mut self, now: Duration, link: LinkId, message: Message, wires: &mut dyn EdgeEffects,
        effects: &mut dyn Effects,
    ) {
        let core = self.cores.get(&link).filter(|_| self.member.is_some()).cloned();
        match (message.frame, core) {
            (Frame::AuditMessage(audit), Some(server)) => {
                let (edge, member) = (&self.edge, self.member.as_mut().expect("it was looked for"));
                let held = |id: &DialogueId| edge.dialogue_stands(id) == Some(true);
                member.audit_received(now, &server, audit, &held, effects);
            }
            (frame, core) => {
                if let (Frame::Ended { dialogue, .. }, Some(_), Some(member)) =
                    (&frame, core, &mut self.member)
                {
                    member.core_ended(now, dialogue);
                }
                let greets = matches!(frame, Frame::Hello(_));
                let message = Message { frame, extra: message.extra };
                self.with_edge(now, wires, |edge, wires| edge.frame_received(now, link, message, wires));
                if greets && let Some(server) = self.edge.connected_core(link) {
                    self.cores.insert(link, server.clone());
                    if let Some(member) = &mut self.member {
                        member.core_up(now, &server);
                    }
                }
            }
        }
        self.settle(now, wires);
    }

    pub fn alarm(&mut self, now: Duration, wires: &mut dyn EdgeEffects, effects: &mut dyn Effects) {
        if self.edge.next_due() <= now {
            self.with_edge(now, wires, |edge, wires| edge.timer_fired(now, wires));
        }
        if let Some(member) = self.member.as_mut().filter(|member| member.next_due() <= now) {
            member.timer_fired(now, effects);
        }
        self.tickets.trim();
        self.settle(now, wires);
    }

    /// What `EdgeEffects::record` of the shell was given this number for is on disk.
    pub fn recorded(&mut self, now: Duration, number: u64, wires: &mut dyn EdgeEffects) {
        if let Some(ticket) = self.tickets.kept(true, number) {
            self.with_edge(now, wires, |edge, wires| edge.step_recorded(now, ticket, wires));
        }
        self.settle(now, wires);
    }

    pub fn loaded(
        &mut self, now: Duration, name: &str, tables: Result<Arc<Tables>, String>,
        wires: &mut dyn EdgeEffects,
    ) {
        self.with_edge(now, wires, |edge, wires| edge.tables_loaded(now, name, tables, wires));
        self.settle(now, wires);
    }

    pub fn replied(&mut self, now: Duration, server: usize, datagram: &[u8], wires: &mut dyn EdgeEffects) {
        self.with_edge(now, wires, |edge, wires| edge.look_up_reply_received(now, server, datagram, wires));
        self.settle(now, wires);
    }

    // Inputs of the member

    pub fn peer_linked(&mut self, now: Duration, link: PeerLink) {
        if let Some(member) = &mut self.member {
            member.link_accepted(now, link);
        }
    }

    pub fn peer_connected(
        &mut self, now: Duration, link: PeerLink, wires: &mut dyn EdgeEffects, effects: &mut dyn Effects,
    ) {
        if let Some(member) = &mut self.member {
            member.link_connected(now, link, effects);
        }
        self.settle(now, wires);
    }

    pub fn peer_heard(
        &mut self, now: Duration, link: PeerLink, frame: Frame, wires: &mut dyn EdgeEffects,
        effects: &mut dyn Effects,
    ) {
        if let Some(member) = &mut self.member {
            member.frame_received(now, link, frame, effects);
        }
        self.settle(now, wires);
    }

    pub fn peer_lost(
        &mut self, now: Duration, link: PeerLink, why: &str, wires: &mut dyn EdgeEffects,
        effects: &mut dyn Effects,
    ) {
        if let Some(member) = &mut self.member {
            member.link_closed(now, link, why, effects);
        }
        self.settle(now, wires);
    }

    /// What `Effects::save` was given this number for is on disk, or could not be.
    pub fn saved(
        &mut self, now: Duration, number: u64, well: bool, wires: &mut dyn EdgeEffects,
        effects: &mut dyn Effects,
    ) {
        if let Some(member) = &mut self.member {
            member.disk_write_done(now, number, well, effects);
        }
        self.settle(now, wires);
    }

    /// This process is to end: what it holds for the fleet goes to others.
    pub fn ends(&mut self, now: Duration) {
        if let Some(member) = &mut self.member {
            member.begin_shutdown(now);
        }
    }

    /// Nothing of it is left that others would wait for.
    pub fn is_done(&self) -> bool {
        self.member.as_ref().is_none_or(|member| member.is_shutdown_complete())
    }

    /// The end of a turn: what came up in it is sent to peers.
    pub fn flush(&mut self, now: Duration, wires: &mut dyn EdgeEffects, effects: &mut dyn Effects) {
        let Some(member) = &mut self.member else { return };
        member.flush(now, effects);
        // What duties have for the edge comes up only here.
        self.settle(now, wires);
    }

    /// An operator wants a generation of tables in force on all members.
    pub fn publish(&mut self, now: Duration, name: &str) {
        if let Some(member) = &mut self.member {
            member.publish(now, name);
        }
    }

    /// One slice of what may wait; `clock` tells how long it takes.
    pub fn work(
        &mut self, now: Duration, pressed: bool, effects: &mut dyn Effects, clock: &dyn Fn() -> Duration,
    ) -> bool {
        let Some(member) = &mut self.member else { return false };
        let Some(chore) = member.run_background_slice(now, pressed, effects) else { return false };
        let after = clock();
        member.background_slice_done(after, chore, after.saturating_sub(now));
        true
    }

    /// What came of one for the other, until nothing is left.
    fn settle(&mut self, now: Duration, wires: &mut dyn EdgeEffects) {
        loop {
            let findings = match &mut self.member {
                Some(member) => member.take_events(),
                None => return,
            };
            if findings.is_empty() {
                return;
            }
            for finding in findings {
                self.apply(now, finding, wires);
            }
        }
    }

    fn apply(&mut self, now: Duration, finding: MemberEvent, wires: &mut dyn EdgeEffects) {
        match finding {
            MemberEvent::WriteConfirmed(number) => {
                if let Some(ticket) = self.tickets.kept(false, number) {
                    self.with_edge(now, wires, |edge, wires| edge.step_recorded(now, ticket, wires));
                }
            }
            MemberEvent::RedialResolved(id, verdict) => self.found(now, &id, verdict, wires),
            MemberEvent::OwnershipLost(id) => {
                self.with_edge(now, wires, |edge, wires| edge.dialogue_replaced(now, &id, wires));
            }
            MemberEvent::CarryOutTablesOrder(serial, order) => {
                self.with_edge(now, wires, |edge, wires| edge.order_tables(now, serial, order, wires));
            }
            MemberEvent::GiveUpDialogue(id) => {
                self.with_edge(now, wires, |edge, wires| edge.dialogue_replaced(now, &id, wires));
                if let Some(member) = &mut self.member {
                    member.dialogue_given_up(now, &id);
                }
            }
            MemberEvent::SendToCore(server, frame) => {
                let told = self.with_edge(now, wires, |edge, wires| {
                    edge.send_to_core(now, &server, frame.clone(), wires)
                });
                if let Some(member) = self.member.as_mut().filter(|_| !told) {
                    member.core_send_failed(now, &frame);
                }
            }
        }
    }

    fn found(&mut self, now: Duration, id: &DialogueId, verdict: Verdict, wires: &mut dyn EdgeEffects) {
        let mut stood = None;
        let found = match verdict {
            Verdict::Free { not_before } => PriorOutcome::Free { launch_not_before: not_before },
            Verdict::Answered(answer) => PriorOutcome::Answered(match answer {
                Answer::Stands { server } => Frame::Stands { dialogue: id.clone(), server },
                Answer::Refused { come_back } => {
                    Frame::Refused { dialogue: id.clone(), retry_after: come_back }
                }
                Answer::Failed => Frame::Failed { dialogue: id.clone() },
            }),
            Verdict::Stands { server, launch } => {
                stood = Some((server.clone(), launch));
                PriorOutcome::Stands { server, launch }
            }
            Verdict::Concluded => PriorOutcome::Concluded,
            Verdict::Unsure { retry_after } => PriorOutcome::Unresolved { retry_after: Some(retry_after) },
        };
        self.with_edge(now, wires, |edge, wires| edge.prior_outcome_found(now, id, found, wires));
        // Its caller left meanwhile: what stands there is released.
        if let Some((server, launch)) = stood
            && self.edge.dialogue_stands(id) != Some(true)
        {
            let release = Frame::Release { dialogue: id.clone(), launch };
            self.with_edge(now, wires, |edge, wires| edge.send_to_core(now, &server, release, wires));
            if let Some(member) = &mut self.member {
                member.dialogue_ended(now, id);
            }
        }
    }
}
