//! Inputs of the platform's edge proxy, each turned straight into calls on the edge.

mod callers;
mod leaving;
mod lives;
mod watch;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::{Counts, Edge};

use crate::codec::{Binary, Cutter, Form, Tag};
use crate::config::Config;
use crate::desk::{CALLERS, Desk, LaunchOver, name};
use crate::feed::{Event, Feed};
use crate::{Ending, Net, SocketId};

/// How often connections and lives are looked at.
const SWEEP: Duration = Duration::from_millis(50);

/// The end of a dialogue that is not held, remembered for a set-up that says that it stands.
type Ends = (HashMap<Tag, u8>, VecDeque<Tag>);

pub struct Platform {
    edge: Edge,
    desk: Desk,
    feed: Feed,
    feed_at: SocketAddr,
    feed_socket: Option<SocketId>,
    known: Vec<Event>,
    /// This clock's reading at the Unix clock's zero, in milliseconds: far below zero.
    unix_zero_ms: f64,
    classes: HashMap<String, u16>,
    widths: Vec<f64>,
    dests: std::collections::BTreeSet<i64>,
    ends: Ends,
    ready: bool,
    ending_since: Option<Duration>,
    /// How long after the word to end anything is still waited for.
    stays_for: Duration,
    sweep_at: Duration,
}

impl Platform {
    /// `unix_ms` is the Unix clock at `now`.
    pub fn new(now: Duration, unix_ms: f64, config: Config) -> Self {
        let Config { bounds, classes, plan, .. } = config;
        let longest = plan.products.iter().map(|p| p.redial_window).max().unwrap_or_default();
        let edge = Edge::new(&config.name, "", plan, config.seed, bounds.edge.clone());
        let by_name = classes.iter().enumerate().map(|(place, name)| (name.clone(), place as u16)).collect();
        Self {
            edge,
            desk: Desk::new(bounds, config.connect_within, config.idle_after, classes),
            feed: Feed::new(config.known.n),
            feed_at: config.feed,
            feed_socket: None,
            known: config.known.events,
            unix_zero_ms: now.as_secs_f64() * 1000.0 - unix_ms,
            classes: by_name,
            widths: config.widths,
            dests: config.dests,
            ends: Ends::default(),
            ready: false,
            ending_since: None,
            stays_for: leaving::stays_for(longest),
            sweep_at: now,
        }
    }

    /// Takes in what is known at the start. Once, before any other input.
    pub fn begin(&mut self, now: Duration, net: &mut dyn Net) {
        self.desk.now = now;
        self.edge.link_opened(now, CALLERS, &mut self.desk.hands(net));
        self.edge.link_trusted(now, CALLERS, &mut self.desk.hands(net));
        self.edge.timer_fired(now, &mut self.desk.hands(net)); // It begins its link to the list.
        self.settle(net);
        for event in std::mem::take(&mut self.known) {
            self.event(event, net);
        }
        self.ready = true;
        self.reach_feed(net);
        self.settle(net);
    }

    pub fn counts(&self) -> &Counts {
        self.edge.counts()
    }

    /// Dialogues held; connections of callers and to core servers; dialogues remembered.
    pub fn sizes(&self) -> (usize, usize, usize, usize) {
        let (held, _, remembered) = self.edge.sizes();
        (held, self.desk.callers.len(), self.desk.cores.len(), remembered)
    }

    /// What is kept beside the edge: calls, releases that wait, bytes of descriptions.
    pub fn traces(&self) -> (usize, usize, usize) {
        (self.desk.calls.len(), self.desk.untold.len(), self.desk.described)
    }

    pub fn next_due(&self) -> Duration {
        self.edge.next_due().min(self.sweep_at)
    }

    /// The time given by `next_due` has come.
    pub fn alarm(&mut self, now: Duration, net: &mut dyn Net) {
        self.desk.now = now;
        self.edge.timer_fired(now, &mut self.desk.hands(net));
        self.settle(net);
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP;
            self.sweep_callers(net);
            self.sweep_lives(net);
            self.sweep_feed(net);
            self.desk.tell_untold(net);
            self.settle(net);
        }
    }

    // Signals

    /// The feed is at another address now.
    pub fn feed_moved(&mut self, now: Duration, to: SocketAddr, net: &mut dyn Net) {
        self.desk.now = now;
        if to == self.feed_at {
            return;
        }
        net.log(&format!("feed moved from {} to {to}, asked from event {}", self.feed_at, self.feed.last()));
        self.feed_at = to;
        if let Some(socket) = self.feed_socket.take() {
            net.close(socket, Ending::Now);
            self.feed.lost(now);
        }
        self.reach_feed(net);
    }

    // Connections

    /// A connection begun from here is up.
    pub fn up(&mut self, now: Duration, socket: SocketId, net: &mut dyn Net) {
        self.desk.now = now;
        if self.feed_socket == Some(socket) {
            net.send(socket, &self.feed.ask());
            return;
        }
        let Some(core) = self.desk.cores.get_mut(&socket) else { return };
        (core.up, core.heard, core.used) = (true, now, now);
        let link = core.link;
        self.desk.to_send.insert(socket);
        if let Some(life) = self.desk.lives.get_mut(&link) {
            (life.sign, life.late, life.failed) = (now, 0, false);
            for tag in std::mem::take(&mut life.releases) {
                self.desk.finish(net, socket, tag);
            }
        }
        self.settle(net);
    }

    /// The turn is over: all that lay there to be read at its start has been read, but for a bounded rest that
    /// `Net::unread` tells of. Set-ups decided on in it are written now.
    pub fn send_off(&mut self, now: Duration, net: &mut dyn Net) {
        self.desk.now = now;
        while self.desk.send_off(net) {
            self.settle(net);
        }
        self.settle(net);
    }

    /// A connection has ended, or did not come up: `refused` where nobody listens there.
    pub fn lost(&mut self, now: Duration, socket: SocketId, refused: bool, why: &str, net: &mut dyn Net) {
        self.desk.now = now;
        if self.feed_socket == Some(socket) {
            self.feed_lost(why, net);
        } else if self.desk.callers.contains_key(&socket) {
            self.caller_lost(socket, net);
        } else {
            self.core_lost(socket, refused, why, net);
        }
        self.settle(net);
    }

    /// Bytes have come.
    pub fn read(&mut self, now: Duration, socket: SocketId, bytes: &[u8], net: &mut dyn Net) {
        self.desk.now = now;
        if self.feed_socket == Some(socket) {
            let mut events = Vec::new();
            let read = self.feed.read(now, bytes, &mut events);
            for event in events {
                self.event(event, net);
            }
            if let Err(broken) = read {
                net.close(socket, Ending::Now);
                self.feed_lost(broken.0, net);
            }
        } else if let Some(caller) = self.desk.callers.get_mut(&socket) {
            let mut cutter = std::mem::replace(&mut caller.cutter, Cutter::new(Form::Lines));
            cutter.take(bytes);
            self.caller_read(socket, &mut cutter, net);
            if let Some(caller) = self.desk.callers.get_mut(&socket) {
                caller.cutter = cutter;
            }
        } else if let Some(core) = self.desk.cores.get_mut(&socket) {
            core.heard = now;
            let link = core.link;
            let mut cutter = std::mem::replace(&mut core.cutter, Cutter::new(Form::Binary));
            if let Some(life) = self.desk.lives.get_mut(&link) {
                life.sign = now;
            }
            cutter.take(bytes);
            loop {
                let said = match cutter.message() {
                    Ok(None) => break,
                    Ok(Some(message)) => {
                        Binary::read(message).and_then(|m| self.core_said(socket, link, &m, net))
                    }
                    Err(why) => Err(why),
                };
                if let Err(why) = said {
                    net.close(socket, Ending::Now);
                    self.core_lost(socket, false, why, net);
                    break;
                }
                self.settle(net);
                if !self.desk.cores.contains_key(&socket) {
                    break;
                }
            }
            if let Some(core) = self.desk.cores.get_mut(&socket) {
                core.cutter = cutter;
            }
        }
        self.settle(net);
    }

    /// Hands the edge what came of its effects, until nothing is left.
    fn settle(&mut self, net: &mut dyn Net) {
        let now = self.desk.now;
        loop {
            if let Some(link) = self.desk.to_admit.pop() {
                self.edge.link_trusted(now, link, &mut self.desk.hands(net));
            } else if let Some(over) = self.desk.overs.pop_front() {
                let LaunchOver { link, tag, launch, outcome } = over;
                let report = LoadReport::default();
                let hands = &mut self.desk.hands(net);
                self.edge.launch_outcome_reported(now, link, &name(tag), launch, outcome, report, hands);
            } else if let Some(socket) = self.desk.jammed.pop() {
                net.close(socket, Ending::Now);
                self.core_lost(socket, false, "it reads nothing", net);
            } else if let Some(socket) = self.desk.broken.pop() {
                self.drop_caller(socket, Ending::Now, net);
            } else {
                return;
            }
        }
    }
}
