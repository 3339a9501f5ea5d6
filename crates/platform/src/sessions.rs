//! The inputs of the platform's edge proxy, each translated directly into calls on the edge.

mod admission;
mod callers;
mod core_connections;
mod core_servers;
mod feed_events;
mod set_ups;
mod shutdown;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::{Counts, Edge};

use crate::config::Config;
use crate::connections::{CALLERS, ConnectionTable, EndedLaunch, dialogue_id};
use crate::ended_calls::EndedCalls;
use crate::feed::{Event, Feed};
use crate::intake::Intake;
use crate::liveness::{CoreConnectionFigures, Liveness};
use crate::{CloseMode, Net, SocketId};

/// Interval between checks of connections and incarnations.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// The platform's edge proxy without I/O: connections, feed, and the edge that holds the dialogues.
pub struct Platform {
    edge: Edge,
    connections: ConnectionTable,
    feed: Feed,
    feed_address: SocketAddr,
    known_events: Vec<Event>,
    /// The reading of this clock at the Unix epoch, in milliseconds: far below zero.
    unix_zero_ms: f64,
    classes: HashMap<String, u16>,
    widths: Vec<f64>,
    first_choices: std::collections::BTreeSet<i64>,
    ended_calls: EndedCalls,
    intake: Intake,
    /// Whether the module has room for set-ups that were not admitted in the last iteration.
    has_more_to_admit: bool,
    /// Time after the end of a launch within which none for the same call may begin.
    release_time: Duration,
    is_ready: bool,
    shutdown_since: Option<Duration>,
    /// How long after the shutdown request outstanding work is still waited for.
    shutdown_limit: Duration,
    sweep_at: Duration,
}

impl Platform {
    /// `unix_ms` is the Unix time at `now`, in milliseconds.
    pub fn new(now: Duration, unix_ms: f64, config: Config) -> Self {
        let Config { bounds, classes, plan, .. } = config;
        let max_cut_off = plan.products.iter().map(|p| p.redial_window).max().unwrap_or_default();
        let release_time = plan.release_time;
        let ended_calls = EndedCalls::new(bounds.remembered_ends);
        let intake = Intake::new(bounds.intake);
        let edge = Edge::new(&config.name, "", plan, config.seed, bounds.edge.clone());
        let classes_by_name =
            classes.iter().enumerate().map(|(place, name)| (name.clone(), place as u16)).collect();
        Self {
            edge,
            connections: ConnectionTable::new(bounds, config.connect_timeout, config.idle_timeout, classes),
            feed: Feed::new(config.known_events.n),
            feed_address: config.feed,
            known_events: config.known_events.events,
            unix_zero_ms: now.as_secs_f64() * 1000.0 - unix_ms,
            classes: classes_by_name,
            widths: config.widths,
            first_choices: config.first_choices,
            ended_calls,
            intake,
            has_more_to_admit: false,
            release_time,
            is_ready: false,
            shutdown_since: None,
            shutdown_limit: shutdown::shutdown_limit(max_cut_off),
            sweep_at: now,
        }
    }

    /// Applies what is known at start-up. Must be called once, before any other input.
    pub fn start(&mut self, now: Duration, net: &mut dyn Net) {
        self.connections.now = now;
        self.edge.link_opened(now, CALLERS, &mut self.connections.effects(net));
        self.edge.link_trusted(now, CALLERS, &mut self.connections.effects(net));
        self.edge.timer_fired(now, &mut self.connections.effects(net)); // Opens its link to the list.
        self.process_pending(net);
        for event in std::mem::take(&mut self.known_events) {
            self.apply_event(event, net);
        }
        self.is_ready = true;
        self.connect_feed(net);
        self.process_pending(net);
    }

    /// The edge's counters.
    pub fn counts(&self) -> &Counts {
        self.edge.counts()
    }

    /// Numbers of held dialogues, caller connections, core server connections and remembered dialogues.
    pub fn sizes(&self) -> (usize, usize, usize, usize) {
        let (held, _, remembered) = self.edge.sizes();
        (held, self.connections.callers.len(), self.connections.cores.len(), remembered)
    }

    /// Sizes of the state held outside `Edge`: calls, pending releases, bytes of descriptions.
    pub fn auxiliary_sizes(&self) -> (usize, usize, usize) {
        (
            self.connections.calls.len(),
            self.connections.pending_releases.len(),
            self.connections.held_description_bytes + self.intake.bytes(),
        )
    }

    /// Numbers of remembered ends of calls that are not held: owed to their callers, and repeated.
    pub fn remembered_ends(&self) -> (usize, usize) {
        self.ended_calls.sizes()
    }

    /// How well the connections to core servers deliver.
    pub fn core_connection_figures(&self, now: Duration) -> CoreConnectionFigures {
        let up = self.connections.cores.values().filter(|core| core.is_up);
        CoreConnectionFigures::of(up.map(|core| &core.liveness), now)
    }

    /// When [`Self::timer_fired`] must be called next.
    pub fn next_due(&self) -> Duration {
        if self.has_more_to_admit {
            return Duration::ZERO;
        }
        let next = self.edge.next_due().min(self.sweep_at);
        self.intake.deferred_due().map_or(next, |due| next.min(due))
    }

    /// The time returned by [`Self::next_due`] has been reached.
    pub fn timer_fired(&mut self, now: Duration, net: &mut dyn Net) {
        self.connections.now = now;
        self.edge.timer_fired(now, &mut self.connections.effects(net));
        self.process_pending(net);
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.sweep_callers(net);
            self.sweep_incarnations(net);
            self.sweep_feed(net);
            self.connections.resend_releases(net);
            self.process_pending(net);
        }
    }

    // Signals

    /// The address of the feed has changed.
    pub fn feed_moved(&mut self, now: Duration, to: SocketAddr, net: &mut dyn Net) {
        self.connections.now = now;
        if to == self.feed_address {
            return;
        }
        net.log(&format!(
            "feed moved from {} to {to}, requesting events after {}",
            self.feed_address,
            self.feed.last_event()
        ));
        self.feed_address = to;
        for socket in self.feed.take_connections() {
            net.close(socket, CloseMode::Now);
        }
        self.connect_feed(net);
    }

    // Connections

    /// A connection started by this side is established.
    pub fn connection_up(&mut self, now: Duration, socket: SocketId, net: &mut dyn Net) {
        self.connections.now = now;
        if self.feed.has_connection(socket) {
            net.send(socket, &self.feed.connection_up(socket));
            return;
        }
        let Some(core) = self.connections.cores.get_mut(&socket) else { return };
        (core.is_up, core.liveness, core.last_used) = (true, Liveness::new(now), now);
        core.up_at = Some(now);
        let (link, started) = (core.link, core.started);
        self.connections.cores_with_unsent_set_ups.insert(socket);
        if let Some(incarnation) = self.connections.incarnations.get_mut(&link) {
            (incarnation.last_activity, incarnation.last_up_at) = (now, now);
            (incarnation.connect_timeouts, incarnation.last_connect_failed) = (0, false);
            incarnation.end_lost_at = incarnation.end_lost_at.filter(|lost_at| started < *lost_at);
            self.connections.send_waiting_releases(net, socket, link);
        }
        self.process_pending(net);
    }

    /// The loop iteration is ending: all input that was waiting at its start has been read, except for a
    /// bounded remainder that `Net::has_unread` reports. Set-ups decided on in this iteration are written
    /// now.
    pub fn send_set_ups(&mut self, now: Duration, net: &mut dyn Net) {
        self.connections.now = now;
        self.admit_set_ups(net);
        while self.connections.send_set_ups(net) {
            self.process_pending(net);
        }
        self.process_pending(net);
        self.requeue_held_back(net);
    }

    /// All input of callers that was waiting when the loop iteration began has been read.
    pub fn callers_read(&mut self, now: Duration) {
        self.connections.recent_set_ups.expire(now);
    }

    /// A connection has ended or did not come up; `refused` if nothing listens at the address.
    pub fn connection_lost(
        &mut self, now: Duration, socket: SocketId, refused: bool, reason: &str, net: &mut dyn Net,
    ) {
        self.connections.now = now;
        if self.feed.has_connection(socket) {
            self.feed_lost(socket, reason, net);
        } else if self.connections.callers.contains_key(&socket) {
            self.caller_lost(socket, net);
        } else {
            self.core_lost(socket, refused, reason, net);
        }
        self.process_pending(net);
    }

    /// Bytes were received on a connection.
    pub fn bytes_received(&mut self, now: Duration, socket: SocketId, bytes: &[u8], net: &mut dyn Net) {
        self.connections.now = now;
        if self.feed.has_connection(socket) {
            self.feed_bytes_received(socket, bytes, net);
        } else if self.connections.callers.contains_key(&socket) {
            self.caller_bytes_received(socket, bytes, net);
        } else {
            self.core_bytes_received(socket, bytes, net);
        }
        self.process_pending(net);
    }

    /// Reports the results of the edge's own effects back to it until none is left.
    fn process_pending(&mut self, net: &mut dyn Net) {
        let now = self.connections.now;
        loop {
            if let Some(link) = self.connections.links_to_admit.pop() {
                self.edge.link_trusted(now, link, &mut self.connections.effects(net));
            } else if let Some(ended) = self.connections.ended_launches.pop_front() {
                let EndedLaunch { link, tag, launch, outcome } = ended;
                let report = LoadReport::default();
                let effects = &mut self.connections.effects(net);
                self.edge.launch_outcome_reported(
                    now,
                    link,
                    &dialogue_id(tag),
                    launch,
                    outcome,
                    report,
                    effects,
                );
            } else if let Some(socket) = self.connections.unwritable_cores.pop() {
                net.close(socket, CloseMode::Now);
                self.core_lost(socket, false, "write queue full", net);
            } else if let Some(socket) = self.connections.unusable_callers.pop() {
                self.close_caller(socket, CloseMode::Now, net);
            } else {
                return;
            }
        }
    }
}
