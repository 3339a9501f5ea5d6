//! The settings that an instance is handed at its start, as the wire words them.

use std::num::NonZeroU32;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use lotussaddle::interface::{Product, RoutePlan, ServerNumber, Tenant};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// All that is read of the settings, in this place alone.
pub struct Settings {
    pub plan: RoutePlan,
    /// Names of the products, in the plan's order; empty where the settings have none.
    pub product_names: Vec<String>,
    /// Lines that a dialogue of each product takes, where the settings say so.
    pub product_widths: Vec<f64>,
    /// How long a connection to a core server may take to come up, and when one that carries nothing is closed.
    pub connect_timeout: Duration,
    pub idle_timeout: Duration,
}

/// Reads JSON; what cannot be read is named by its path.
pub fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let read: T = serde_path_to_error::deserialize(&mut reader).map_err(|e| match e.path().to_string() {
        path if path == "." => anyhow::anyhow!("{}", e.inner()),
        path => anyhow::anyhow!("{path}: {}", e.inner()),
    })?;
    reader.end()?;
    Ok(read)
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StartSheet {
    categories: Vec<Category>,
    #[serde(default)]
    client_habits: Habits,
    domain: Domain,
    instances: NonZeroU32,
    limits: Limits,
    #[serde(default)]
    over_share_worth: f64,
    rules: Rules,
    #[serde(default)]
    tenants: Vec<Party>,
    tick_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    #[serde(default)]
    name: String,
    promise_ms: f64,
    hard_limit_ms: f64,
    worth: f64,
    #[serde(default)]
    late_share: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Habits {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Domain {
    #[serde(default)]
    class_cells: Vec<Vec<i64>>,
    #[serde(default)]
    class_hold_ms: Vec<f64>,
    #[serde(default)]
    release_guard_ms: f64,
    #[serde(default)]
    resend_ms: f64,
    #[serde(default)]
    widths: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    attempts_cap: u32,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
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

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    cold_from: f64,
    ramp_time_ms: f64,
    tip_multiple: f64,
    #[serde(default = "one_second")]
    fall_ms: f64,
}

/// The brief's time where the settings name none.
fn one_second() -> f64 {
    1000.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Party {
    quota_rps: f64,
}

pub fn route_plan(conf: &str) -> Result<RoutePlan> {
    Ok(settings(conf).context("conf cannot be read")?.plan)
}

pub fn settings(conf: &str) -> Result<Settings> {
    let sheet: StartSheet = parse_json(conf)?;
    let StartSheet { domain, limits, rules, .. } = sheet;
    ensure!(!sheet.categories.is_empty(), "categories: there is none");
    within("rules.coldFrom", rules.cold_from, 0.001..=1.0)?;
    within("rules.tipMultiple", rules.tip_multiple, 0.001..=1e6)?;
    within("overShareWorth", sheet.over_share_worth, 0.0..=1e6)?;
    domain.widths.iter().try_for_each(|width| within("domain.widths", *width, 0.001..=10_000.0))?;
    sheet.tenants.iter().try_for_each(|tenant| within("tenants.quotaRps", tenant.quota_rps, 0.0..=1e9))?;
    let mut products = Vec::new();
    for (place, category) in sheet.categories.iter().enumerate() {
        within("categories.worth", category.worth, 1e-6..=1e9)?;
        within("categories.lateShare", category.late_share, 0.0..=1.0)?;
        products.push(Product {
            promised: checked_millis("promiseMs", category.promise_ms)?,
            mean_duration: checked_millis(
                "classHoldMs",
                domain.class_hold_ms.get(place).copied().unwrap_or_default(),
            )?,
            redial_window: checked_millis("hardLimitMs", category.hard_limit_ms)?,
            gain: category.worth,
            late_share: category.late_share,
            servers: domain
                .class_cells
                .get(place)
                .map(|cells| cells.iter().copied().map(ServerNumber).collect()),
        });
    }
    let longest_return = if limits.retry_after { limits.max_retry_after_ms } else { 0.0 };
    let plan = RoutePlan {
        proxies: sheet.instances.get(),
        products,
        tenants: sheet.tenants.iter().map(|t| Tenant { quota: t.quota_rps }).collect(),
        over_quota_share: sheet.over_share_worth,
        tick: checked_millis("tickMs", sheet.tick_ms)?.max(Duration::from_micros(1)),
        release_time: checked_millis("releaseGuardMs", domain.release_guard_ms)?,
        resend_after: checked_millis("resendMs", domain.resend_ms)?,
        max_launches: limits.attempts_cap,
        callers_mark_retries: sheet.client_habits.marks_retry,
        may_cancel: limits.cancel,
        max_retry_after: checked_millis("maxRetryAfterMs", longest_return)?,
        cold_start_share: rules.cold_from,
        warm_up_time: checked_millis("rampTimeMs", rules.ramp_time_ms)?,
        overload_multiple: rules.tip_multiple,
        overload_window: checked_millis("fallMs", rules.fall_ms)?,
    };
    Ok(Settings {
        plan,
        product_names: sheet.categories.into_iter().map(|category| category.name).collect(),
        product_widths: domain.widths,
        connect_timeout: checked_millis("connectTimeoutMs", limits.connect_timeout_ms)?,
        idle_timeout: checked_millis("connIdleMs", limits.conn_idle_ms)?,
    })
}

fn within(name: &str, value: f64, range: std::ops::RangeInclusive<f64>) -> Result<()> {
    ensure!(range.contains(&value), "{name}={value} is not from {} to {}", range.start(), range.end());
    Ok(())
}

/// No time of the settings is longer than this, so that sums of a few never overflow.
const LONGEST_MS: f64 = 1e15;

pub fn checked_millis(name: &str, value: f64) -> Result<Duration> {
    ensure!((0.0..=LONGEST_MS).contains(&value), "{name}={value} is no time");
    Ok(Duration::from_secs_f64(value / 1000.0))
}
