//! Repair: when the digest in a neighbour's heartbeats has differed from the own one for `Timing::silence`, the member sends it the bucket
//! digests, and the neighbour requests buckets that differ. Repair has its own allowance of bytes, so that flooding and repair do not starve
//! each other.

use std::time::Duration;

use crate::allowance::Allowance;
use crate::message::{MAX_REQUESTED_BUCKETS, Message};
use crate::register_table::RegisterTable;

const BYTES_PER_SECOND: u32 = 1_500;
const BURST_BYTES: u32 = 6_000;

/// A request without an answer expires after this many times `Timing::silence`.
const REQUEST_SILENCES: u32 = 2;

struct Request {
    bucket: u16,
    made_at: Duration,
}

/// The state of the repair with one neighbour.
#[derive(Default)]
struct Exchange {
    differs_since: Option<Duration>,
    digests_sent_at: Option<Duration>,
    digests_are_due: bool,
    /// Buckets requested, or to be requested, from this neighbour.
    requests: Vec<Request>,
    request_is_due: bool,
    /// Buckets that this neighbour has requested.
    to_serve: Vec<u16>,
}

/// The state of the repair with all neighbours.
pub(crate) struct Repair {
    silence: Duration,
    exchanges: Vec<Exchange>,
    /// The position of the neighbour with which the next round starts.
    first_position: usize,
    /// Where the search for buckets that differ starts.
    next_bucket: usize,
    allowance: Allowance,
}

impl Repair {
    /// The state at the start: no neighbour is known to have different registers.
    pub(crate) fn new(now: Duration, neighbours: usize, silence: Duration) -> Self {
        Self {
            silence,
            exchanges: (0..neighbours).map(|_| Exchange::default()).collect(),
            first_position: 0,
            next_bucket: 0,
            allowance: Allowance::new(now, BYTES_PER_SECOND, BURST_BYTES),
        }
    }

    /// Records whether the digest in a heartbeat equals the own one.
    pub(crate) fn compared(&mut self, now: Duration, position: usize, is_equal: bool) {
        let exchange = &mut self.exchanges[position];
        if is_equal {
            exchange.differs_since = None;
            exchange.digests_are_due = false;
            return;
        }
        let since = *exchange.differs_since.get_or_insert(now);
        let is_lasting = now.saturating_sub(since) >= self.silence;
        let last_sent = exchange.digests_sent_at;
        let may_send = last_sent.is_none_or(|sent_at| now.saturating_sub(sent_at) >= self.silence);
        exchange.digests_are_due |= is_lasting && may_send;
    }

    /// Queues requests for buckets whose digests differ: at most [`MAX_REQUESTED_BUCKETS`] from one neighbour, and no bucket from two
    /// neighbours at once.
    pub(crate) fn digests_received(&mut self, now: Duration, position: usize, remote: &[u32], local: &[u32]) {
        self.expire_requests(now);
        let buckets = local.len();
        let start = self.next_bucket;
        for bucket in (0..buckets).map(|step| (start + step) % buckets) {
            if self.exchanges[position].requests.len() >= MAX_REQUESTED_BUCKETS {
                return;
            }
            let is_empty = remote[bucket] == 0;
            if is_empty || remote[bucket] == local[bucket] || self.is_requested(bucket as u16) {
                continue;
            }
            let exchange = &mut self.exchanges[position];
            exchange.requests.push(Request { bucket: bucket as u16, made_at: now });
            exchange.request_is_due = true;
            self.next_bucket = (bucket + 1) % buckets;
        }
    }

    /// Queues the buckets that a neighbour has requested.
    pub(crate) fn requested(&mut self, position: usize, buckets: &[u16]) {
        let to_serve = &mut self.exchanges[position].to_serve;
        for bucket in buckets {
            if to_serve.len() < MAX_REQUESTED_BUCKETS && !to_serve.contains(bucket) {
                to_serve.push(*bucket);
            }
        }
    }

    /// Removes a request that a neighbour has answered.
    pub(crate) fn answered(&mut self, position: usize, bucket: u16) {
        self.exchanges[position].requests.retain(|request| request.bucket != bucket);
    }

    /// Whether anything is to be sent.
    pub(crate) fn has_work(&self) -> bool {
        self.exchanges.iter().any(Exchange::has_work)
    }

    /// The messages of a round, each with the position of its recipient: at most one for each neighbour, until the allowance is used up.
    pub(crate) fn round(&mut self, now: Duration, table: &RegisterTable) -> Vec<(usize, Message)> {
        let neighbours = self.exchanges.len();
        let mut messages = Vec::new();
        for step in 0..neighbours {
            let position = (self.first_position + step) % neighbours;
            let Some(message) = self.exchanges[position].next_message(table) else { continue };
            if !self.allowance.take(now, message.encode().len()) {
                self.first_position = position;
                return messages;
            }
            self.exchanges[position].sent(now, &message);
            messages.push((position, message));
        }
        messages
    }

    fn is_requested(&self, bucket: u16) -> bool {
        self.exchanges.iter().flat_map(|exchange| &exchange.requests).any(|request| request.bucket == bucket)
    }

    fn expire_requests(&mut self, now: Duration) {
        let max_age = self.silence * REQUEST_SILENCES;
        for exchange in &mut self.exchanges {
            exchange.requests.retain(|request| now.saturating_sub(request.made_at) < max_age);
        }
    }
}

impl Exchange {
    fn has_work(&self) -> bool {
        self.request_is_due || !self.to_serve.is_empty() || self.digests_are_due
    }

    /// Requests are the smallest and come first, then answers, then digests.
    fn next_message(&self, table: &RegisterTable) -> Option<Message> {
        if self.request_is_due {
            return Some(Message::BucketRequest(
                self.requests.iter().map(|request| request.bucket).collect(),
            ));
        }
        if let Some(bucket) = self.to_serve.first() {
            return Some(Message::Bucket { bucket: *bucket, registers: table.bucket(*bucket) });
        }
        self.digests_are_due.then(|| Message::BucketDigests(table.bucket_digests()))
    }

    fn sent(&mut self, now: Duration, message: &Message) {
        match message {
            Message::BucketRequest(_) => self.request_is_due = false,
            Message::Bucket { .. } => {
                self.to_serve.remove(0);
            }
            Message::BucketDigests(_) => {
                self.digests_are_due = false;
                self.digests_sent_at = Some(now);
            }
            Message::Heartbeat { .. } | Message::Registers(_) => {}
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/repair.rs"]
mod tests;
