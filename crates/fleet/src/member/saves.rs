//! Disk writes and the actions that wait for them: an acknowledgement or a promise is sent only once what it promises is on disk.

use std::collections::BTreeMap;
use std::time::Duration;

use lotussaddle::interface::ServerId;
use lotussaddle_trunk::{DutyAction, Frame, PeerMessage, Replaced, TablesOrder, encode_replica};

use super::Member;
use super::interface::{Effects, Save};
use crate::peers::PeerLink;

/// Action to run once a disk write has succeeded.
pub(super) enum AfterWrite {
    /// A message to a member that promises what was written.
    Send { to: u16, message: PeerMessage },
    /// Acknowledges the writes of a member up to this number.
    Acknowledge { to: u16, incarnation: u64, up_to: u64, replaced: Vec<Replaced> },
    /// The vote for a peer's incarnation.
    GrantIncarnation { link: PeerLink, incarnation: u64, highest: u64 },
    /// An action of the duty `circuits` under a new fencing token.
    CheckLines { from: u16, act: DutyAction, server: ServerId },
    /// An action of the duty `publish` under a new fencing token.
    CarryOutTablesOrder { from: u16, act: DutyAction, serial: u64, order: TablesOrder },
}

/// Numbers of disk writes, and the actions that wait for each.
pub(super) struct DiskWrites {
    /// The number given out last.
    issued: u64,
    /// The last write that is on disk.
    saved: u64,
    /// The last write that the disk accepted.
    accepted: u64,
    /// The last write whose result the disk reported.
    reported: u64,
    waiting: BTreeMap<u64, Vec<AfterWrite>>,
}

impl DiskWrites {
    /// `count`: number of writes that the disk took from earlier processes.
    pub(super) fn new(count: u64) -> Self {
        Self { issued: count, saved: count, accepted: 0, reported: 0, waiting: BTreeMap::new() }
    }

    /// The last write that is on disk.
    pub(super) fn saved(&self) -> u64 {
        self.saved
    }

    /// Makes later writes take numbers above this one.
    pub(super) fn count_from(&mut self, number: u64) {
        self.issued = self.issued.max(number);
    }

    /// Counts a change that is held in memory only, so that a disk that lacks it is recognised as outdated.
    fn count_in_memory(&mut self) {
        self.issued += 1;
        self.saved = self.saved.max(self.issued);
    }

    /// Submits changes to the disk; returns the number of the write, or `None` where there is no disk to wait for.
    fn submit(&mut self, mut what: Vec<Save>, effects: &mut dyn Effects) -> Option<u64> {
        let number = self.issued + 1;
        what.push(Save::WriteCount(number));
        if !effects.save(what, number) {
            self.count_in_memory();
            return None;
        }
        self.issued = number;
        self.accepted = number;
        Some(number)
    }

    /// Whether the disk has not reported the result of this write.
    pub(super) fn is_pending(&self, number: u64) -> bool {
        number > self.reported
    }

    /// The last write whose result the disk has not reported.
    fn last_pending(&self) -> Option<u64> {
        Some(self.accepted).filter(|number| self.is_pending(*number))
    }

    /// Queues actions to run after a write.
    pub(super) fn wait_for(&mut self, number: u64, after: impl IntoIterator<Item = AfterWrite>) {
        self.waiting.entry(number).or_default().extend(after);
    }

    /// Records the result of a write; returns the actions that waited for it.
    fn report(&mut self, number: u64, succeeded: bool) -> Vec<AfterWrite> {
        if succeeded {
            self.saved = self.saved.max(number);
        }
        self.reported = self.reported.max(number);
        self.waiting.remove(&number).unwrap_or_default()
    }
}

impl Member {
    /// Sends what this iteration produced: acknowledgements, messages, replicated writes and disk writes.
    pub fn flush(&mut self, now: Duration, effects: &mut dyn Effects) {
        self.now = now;
        self.settle_duties(effects);
        let mut after = self.owed_acknowledgements();
        self.save_changed(effects);
        let replies = std::mem::take(&mut self.promised_replies).into_iter();
        after.extend(replies.map(|(to, message)| AfterWrite::Send { to, message }));
        self.do_after_last_write(after, effects);
        for (member, message) in std::mem::take(&mut self.outgoing_messages) {
            if let Some(link) = self.peers.link_to(member) {
                self.send_to_link(link, Frame::PeerMessage(message), effects);
            }
        }
        self.send_streams(effects);
    }

    /// Acknowledgements that are due to peers.
    fn owed_acknowledgements(&mut self) -> Vec<AfterWrite> {
        let mut acknowledgements = Vec::new();
        for (place, incoming) in self.incoming.iter_mut().enumerate() {
            let replaced = std::mem::take(&mut incoming.replaced);
            let up_to = if incoming.synced && std::mem::take(&mut incoming.acknowledgement_due) {
                incoming.received_up_to
            } else {
                0
            };
            if up_to > 0 || !replaced.is_empty() {
                acknowledgements.push(AfterWrite::Acknowledge {
                    to: place as u16,
                    incarnation: incoming.incarnation,
                    up_to,
                    replaced,
                });
            }
        }
        acknowledgements
    }

    /// Persists the replicas that changed in this iteration.
    fn save_changed(&mut self, effects: &mut dyn Effects) {
        let changed = std::mem::take(&mut self.changed_dialogues);
        if changed.is_empty() {
            return;
        }
        if !effects.has_disk() {
            return self.disk_writes.count_in_memory();
        }
        let now = self.now;
        let replicas = changed.into_iter().map(|id| {
            let replica =
                self.replica_table.get(&id).map(|replica| encode_replica(&replica.to_update(now, &id)));
            Save::Replica(id, replica)
        });
        let replicas: Vec<Save> = replicas.collect();
        self.submit_disk_write(replicas, effects);
    }

    /// Runs actions once the last write submitted is on disk, at once where none is pending: an acknowledgement promises that
    /// a write and all before it are stored.
    fn do_after_last_write(&mut self, after: Vec<AfterWrite>, effects: &mut dyn Effects) {
        match self.disk_writes.last_pending() {
            Some(number) => self.disk_writes.wait_for(number, after),
            None => after.into_iter().for_each(|after| self.run_after_write(after, effects)),
        }
    }

    /// Submits changes to the disk; returns the number of the write, or `None` where there is no disk to wait for.
    pub(super) fn submit_disk_write(&mut self, what: Vec<Save>, effects: &mut dyn Effects) -> Option<u64> {
        self.disk_writes.submit(what, effects)
    }

    /// Takes the result of the disk write with this number of [`Effects::save`]; after a failure the disk takes no more writes.
    pub fn disk_write_done(
        &mut self, now: Duration, number: u64, succeeded: bool, effects: &mut dyn Effects,
    ) {
        self.now = now;
        let waited = self.disk_writes.report(number, succeeded);
        self.duties.iter_mut().for_each(|duties| duties.disk_order_completed(now, number, succeeded));
        // A write that failed is not acknowledged. Its owner relies on the other replicas.
        for after in waited.into_iter().filter(|_| succeeded) {
            self.run_after_write(after, effects);
        }
    }

    fn run_after_write(&mut self, after: AfterWrite, effects: &mut dyn Effects) {
        match after {
            AfterWrite::Send { to, message } => {
                if let Some(link) = self.peers.link_to(to) {
                    self.send_to_link(link, Frame::PeerMessage(message), effects);
                }
            }
            AfterWrite::Acknowledge { to, incarnation, up_to, replaced } => {
                if let Some(link) = self.peers.link_to(to) {
                    let saved = self.disk_writes.saved();
                    self.send_to_link(
                        link,
                        Frame::PeerMessage(PeerMessage::Acknowledge { incarnation, up_to, saved, replaced }),
                        effects,
                    );
                }
            }
            AfterWrite::GrantIncarnation { link, incarnation, highest } => {
                if self.peers.links.contains_key(&link) {
                    self.send_to_link(
                        link,
                        Frame::PeerMessage(PeerMessage::IncarnationReply {
                            incarnation,
                            granted: true,
                            highest,
                        }),
                        effects,
                    );
                }
            }
            AfterWrite::CheckLines { from, act, server } => self.check_lines(from, &act, &server, effects),
            AfterWrite::CarryOutTablesOrder { from, act, serial, order } => {
                self.tables_order_received(from, &act, serial, order, effects)
            }
        }
    }
}
