//! The configuration file of an edge proxy of the platform, read at start-up and when it is replaced, and the
//! resource bounds derived from its limits.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use lotussaddle::interface::RoutePlan;
use lotussaddle_edge::Limits;
use lotussaddle_settings::{parse_json, settings};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::feed::KnownEvents;
use crate::intake::IntakeBounds;

/// Memory that a held dialogue takes, and a remembered dialogue or caller.
const HELD_BYTES: usize = 1024;
const REMEMBERED_BYTES: usize = 200;
/// Set-ups among which the decision module can choose. More of them only wait: they are shared fairly while they are queued,
/// and no longer once the module has them.
const MAX_ADMITTED_SET_UPS: usize = 1024;
/// Set-ups queued for one connection: they are given up together when it is lost, within one loop iteration.
const MAX_QUEUED_PER_CONNECTION: usize = 1024;

/// Reading of this edge proxy's clock at start-up. It is above zero so that earlier events, such as the start
/// of core servers, have a valid time on the same clock.
pub const EPOCH: Duration = Duration::from_secs(86_400);

/// An error in a configuration, with the name of the field.
#[derive(Debug)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// The configuration of an edge proxy, validated.
pub struct Config {
    /// Name of this edge proxy.
    pub name: String,
    /// Address on which callers are accepted.
    pub listen: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Address of the control feed.
    pub feed: SocketAddr,
    /// The feed events known at start-up.
    pub known_events: KnownEvents,
    /// Settings of the decision module.
    pub plan: RoutePlan,
    /// Resource bounds derived from the limits.
    pub bounds: Bounds,
    /// Names of the products, in the order of `plan`.
    pub classes: Vec<String>,
    /// Lines that a call of each product takes, where the settings state it.
    pub widths: Vec<f64>,
    /// Server numbers that may be named as first choice; empty if any may.
    pub first_choices: BTreeSet<i64>,
    /// Time within which a connection to a core server must come up.
    pub connect_timeout: Duration,
    /// Idle time after which a connection to a core server is closed.
    pub idle_timeout: Duration,
}

/// Resource bounds. Each follows from the configured limits; `docs/operators/platform.md` describes what
/// happens beyond it.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Number of set-ups that the decision module is given before some of them are answered; further ones are queued.
    pub admitted_set_ups: usize,
    /// Set-ups that are queued before the module is given them.
    pub intake: IntakeBounds,
    /// Total bytes of the answers kept for a moment in case their set-ups are sent again.
    pub recent_answer_bytes: usize,
    /// Number of connections from callers.
    pub caller_connections: usize,
    /// Number of connections to all core servers together.
    pub core_connections: usize,
    /// Number of connections to one core server.
    pub connections_per_core: usize,
    /// Total bytes of the descriptions of unanswered set-ups that the module has.
    pub description_bytes: usize,
    /// Bytes waiting to be written to one connection.
    pub unwritten_bytes: usize,
    /// Number of releases that wait for a caller to acknowledge them.
    pub pending_releases: usize,
    /// Number of ended calls, not held by this process, whose end is remembered in case a caller reports such a
    /// call as standing: as many as the process before it can have held.
    pub remembered_ends: usize,
    /// Number of releases that wait for a connection to a core server, over all of them.
    pub waiting_releases: usize,
    /// Bounds of the edge.
    pub edge: Limits,
}

impl Bounds {
    /// Derives the bounds from the limits on memory (in MiB) and on sockets, each clamped to a usable range.
    pub fn new(memory_mb: u64, sockets: usize) -> Self {
        let memory = memory_mb.clamp(16, 4096) as usize * 1024 * 1024;
        let sockets = sockets.clamp(48, 65_536);
        let dialogues = memory / 8 / HELD_BYTES;
        Self {
            admitted_set_ups: dialogues.min(MAX_ADMITTED_SET_UPS),
            intake: IntakeBounds { per_connection: MAX_QUEUED_PER_CONNECTION, bytes: memory / 32 },
            recent_answer_bytes: memory / 64,
            caller_connections: sockets / 2,
            core_connections: sockets / 4,
            connections_per_core: 4,
            description_bytes: memory / 32,
            unwritten_bytes: 128 * 1024,
            pending_releases: dialogues,
            remembered_ends: dialogues,
            waiting_releases: dialogues,
            edge: Limits {
                max_dialogues: dialogues,
                max_links: 1,
                max_concluded: (memory / 32 / REMEMBERED_BYTES).min(100_000),
                max_remembered_callers: (memory / 32 / REMEMBERED_BYTES).min(200_000),
                concluded_retention: Duration::from_secs(30),
                ..Limits::default()
            },
        }
    }
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: String,
    seed: String,
    limits: ConfigFileLimits,
    feed: String,
    known: KnownEvents,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct ConfigFileLimits {
    memory_mb: f64,
    sockets: f64,
}

fn address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError(format!("{field}: {text:?} is not an address and port")))
}

/// Reads only the address of the feed, which a replaced configuration may change.
pub fn feed_address(text: &str) -> Result<SocketAddr, ConfigError> {
    #[derive(Deserialize)]
    struct FeedSetting {
        feed: String,
    }
    let file: FeedSetting = parse_json(text).map_err(|e| ConfigError(e.to_string()))?;
    address("feed", &file.feed)
}

impl Config {
    /// Parses and validates a configuration file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: ConfigFile = parse_json(text).map_err(|e| ConfigError(e.to_string()))?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| ConfigError(format!("seed: {:?} is not a hexadecimal number", file.seed)))?;
        let limit = |name, value: f64| {
            let is_valid = (1.0..=1e9).contains(&value);
            is_valid
                .then_some(value)
                .ok_or_else(|| ConfigError(format!("limits.{name}={value} is out of range")))
        };
        let memory_mb = limit("memory_mb", file.limits.memory_mb)?;
        let sockets = limit("sockets", file.limits.sockets)?;
        let settings = settings(file.settings.get()).map_err(|e| ConfigError(format!("settings: {e:#}")))?;
        if let Some(place) = settings.product_names.iter().position(String::is_empty) {
            return Err(ConfigError(format!("settings: categories[{place}].name: is empty")));
        }
        let first_choices = settings.plan.products.iter().filter_map(|product| product.servers.as_ref());
        let first_choices = first_choices.flatten().map(|number| number.0).collect();
        Ok(Self {
            listen: address("listen", &file.listen)?,
            feed: address("feed", &file.feed)?,
            name: file.name,
            seed,
            known_events: file.known,
            first_choices,
            bounds: Bounds::new(memory_mb as u64, sockets as usize),
            connect_timeout: settings
                .connect_timeout
                .clamp(Duration::from_millis(50), Duration::from_secs(5)),
            idle_timeout: settings.idle_timeout.max(Duration::from_millis(500)),
            classes: settings.product_names,
            widths: settings.product_widths,
            plan: settings.plan,
        })
    }
}
