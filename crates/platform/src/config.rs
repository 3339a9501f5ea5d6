//! What an edge proxy of the platform is told at its start and when its configuration is replaced, and the bounds
//! that follow from its limits.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use lotussaddle::interface::RoutePlan;
use lotussaddle_edge::Limits;
use lotussaddle_settings::{parse_json, settings};
use serde::Deserialize;
use serde_json::value::RawValue;

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
                max_dialogues: dialogues,
                max_links: 1,
                max_concluded: (memory / 32 / 200).min(100_000),
                concluded_retention: Duration::from_secs(30),
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
    known: Known,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct SheetLimits {
    memory_mb: f64,
    sockets: f64,
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
    let sheet: FeedSheet = parse_json(text).map_err(|e| ConfigError(e.to_string()))?;
    address("feed", &sheet.feed)
}

impl Config {
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        let sheet: Sheet = parse_json(text).map_err(|e| ConfigError(e.to_string()))?;
        let seed = u64::from_str_radix(&sheet.seed, 16)
            .map_err(|_| ConfigError(format!("seed: {:?} is no hexadecimal number", sheet.seed)))?;
        let limit = |name, value: f64| {
            let fits = (1.0..=1e9).contains(&value);
            fits.then_some(value).ok_or_else(|| ConfigError(format!("limits.{name}={value} is no limit")))
        };
        let memory_mb = limit("memory_mb", sheet.limits.memory_mb)?;
        let sockets = limit("sockets", sheet.limits.sockets)?;
        let settings = settings(sheet.settings.get()).map_err(|e| ConfigError(format!("settings: {e:#}")))?;
        if let Some(place) = settings.product_names.iter().position(String::is_empty) {
            return Err(ConfigError(format!("settings: categories[{place}].name: there is none")));
        }
        let dests = settings.plan.products.iter().filter_map(|product| product.servers.as_ref());
        let dests = dests.flatten().map(|number| number.0).collect();
        Ok(Self {
            listen: address("listen", &sheet.listen)?,
            feed: address("feed", &sheet.feed)?,
            name: sheet.name,
            seed,
            known: sheet.known,
            dests,
            bounds: Bounds::new(memory_mb as u64, sockets as usize),
            connect_within: settings.connect_timeout.clamp(Duration::from_millis(50), Duration::from_secs(5)),
            idle_after: settings.idle_timeout.max(Duration::from_millis(500)),
            classes: settings.product_names,
            widths: settings.product_widths,
            plan: settings.plan,
        })
    }
}
