//! What an edge proxy of the platform is told at its start and when its configuration is replaced, and the bounds
//! that follow from its limits.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use lotussaddle::interface::RoutePlan;
use lotussaddle_edge::Limits;
use lotussaddle_settings::route_plan;
use serde::Deserialize;
use serde_json::Value;

use crate::feed::Known;

/// The clock of this edge proxy starts at this time, so that what began before it, as core servers do, lies on it.
pub const EPOCH: Duration = Duration::from_secs(86_400);

/// What is wrong with a configuration, and where.
#[derive(Debug)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub feed: SocketAddr,
    pub known: Known,
    pub plan: RoutePlan,
    pub bounds: Bounds,
    /// Names of the products, in the plan's order.
    pub classes: Vec<String>,
    /// Lines that a dialogue of each product takes, where the settings say so.
    pub widths: Vec<f64>,
    /// The numbers that may be named as first choice; none: any.
    pub dests: BTreeSet<i64>,
    /// How long a connection to a core server may take to come up.
    pub connect_within: Duration,
    /// When a connection that carries nothing is closed.
    pub idle_after: Duration,
}

/// Each bound follows from the limits; `docs/operators/platform.md` says what happens beyond it.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to core servers, and of them to one.
    pub cores: usize,
    pub per_core: usize,
    /// Bytes of descriptions held of set-ups that are not answered.
    pub descriptions: usize,
    /// Bytes that wait to be written to one connection.
    pub unwritten: usize,
    /// Releases that wait for a connection to go on.
    pub untold: usize,
    /// Ends of dialogues that are not held, remembered for a set-up that says they stand.
    pub ends: usize,
    pub edge: Limits,
}

impl Bounds {
    pub fn new(memory_mb: u64, sockets: usize) -> Self {
        let memory = memory_mb.clamp(16, 4096) as usize * 1024 * 1024;
        let sockets = sockets.clamp(48, 65_536);
        // A dialogue held takes about 1 KiB here, one that is remembered 200 bytes.
        let dialogues = memory / 8 / 1024;
        Self {
            callers: sockets / 2,
            cores: sockets / 4,
            per_core: 4,
            descriptions: memory / 16,
            unwritten: 128 * 1024,
            untold: dialogues,
            ends: 1024,
            edge: Limits {
                dialogues,
                links: 1,
                remembered: (memory / 32 / 200).min(100_000),
                remember_for: Duration::from_secs(30),
                ..Limits::default()
            },
        }
    }
}

#[derive(Deserialize)]
struct Sheet {
    name: String,
    listen: String,
    seed: String,
    limits: SheetLimits,
    feed: String,
    known: Value,
    settings: Value,
}

#[derive(Deserialize)]
struct SheetLimits {
    memory_mb: f64,
    sockets: f64,
}

/// What of the settings the protocol itself needs.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Names {
    categories: Vec<Category>,
    domain: Domain,
    limits: ConnectLimits,
}

#[derive(Deserialize)]
struct Category {
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Domain {
    #[serde(default)]
    class_cells: Vec<Vec<i64>>,
    #[serde(default)]
    widths: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ConnectLimits {
    #[serde(default = "half_a_second")]
    connect_timeout_ms: f64,
    #[serde(default = "ten_minutes")]
    conn_idle_ms: f64,
}

fn half_a_second() -> f64 {
    500.0
}

fn ten_minutes() -> f64 {
    600_000.0
}

fn address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError(format!("{field}: {text:?} is no address and port")))
}

/// The address of the feed alone, which may be another one in a configuration that replaces the first.
pub fn feed_of(text: &str) -> Result<SocketAddr, ConfigError> {
    #[derive(Deserialize)]
    struct FeedSheet {
        feed: String,
    }
    let sheet: FeedSheet = serde_json::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
    address("feed", &sheet.feed)
}

impl Config {
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        let sheet: Sheet = serde_json::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        let seed = u64::from_str_radix(&sheet.seed, 16)
            .map_err(|_| ConfigError(format!("seed: {:?} is no hexadecimal number", sheet.seed)))?;
        let known: Known =
            serde_json::from_value(sheet.known).map_err(|e| ConfigError(format!("known: {e}")))?;
        let settings = sheet.settings.to_string();
        let plan = route_plan(&settings).map_err(|e| ConfigError(format!("settings: {e:#}")))?;
        let names: Names =
            serde_json::from_value(sheet.settings).map_err(|e| ConfigError(format!("settings: {e}")))?;
        let time = |name, ms| {
            lotussaddle_settings::millis(name, ms).map_err(|e| ConfigError(format!("settings: {e:#}")))
        };
        let within = time("connectTimeoutMs", names.limits.connect_timeout_ms)?;
        let idle = time("connIdleMs", names.limits.conn_idle_ms)?;
        Ok(Self {
            listen: address("listen", &sheet.listen)?,
            feed: address("feed", &sheet.feed)?,
            name: sheet.name,
            seed,
            known,
            plan,
            bounds: Bounds::new(sheet.limits.memory_mb as u64, sheet.limits.sockets as usize),
            classes: names.categories.into_iter().map(|c| c.name).collect(),
            widths: names.domain.widths,
            dests: names.domain.class_cells.into_iter().flatten().collect(),
            connect_within: within.clamp(Duration::from_millis(50), Duration::from_secs(5)),
            idle_after: idle.max(Duration::from_millis(500)),
        })
    }
}
