//! The settings that an instance receives at start, under their names on the wire.

use std::num::NonZeroU32;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use lotussaddle::interface::{Product, RoutePlan, ServerNumber, Tenant};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// The parsed settings.
pub struct Settings {
    /// Parameters of the decision module.
    pub plan: RoutePlan,
    /// Names of the products, in the order of the plan; an empty string where the settings give no name.
    pub product_names: Vec<String>,
    /// Number of lines that a dialogue of each product occupies; empty if the settings do not give it.
    pub product_widths: Vec<f64>,
    /// Time-out for establishing a connection to a core server.
    pub connect_timeout: Duration,
    /// Time after which an idle connection to a core server is closed.
    pub idle_timeout: Duration,
}

/// Parses JSON; the error names the path of the value that cannot be parsed.
pub fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let parsed: T =
        serde_path_to_error::deserialize(&mut reader).map_err(|e| match e.path().to_string() {
            path if path == "." => anyhow::anyhow!("{}", e.inner()),
            path => anyhow::anyhow!("{path}: {}", e.inner()),
        })?;
    reader.end()?;
    Ok(parsed)
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StartSettings {
    categories: Vec<Category>,
    #[serde(default)]
    client_habits: CallerHabits,
    domain: CoreServers,
    instances: NonZeroU32,
    limits: Limits,
    #[serde(default)]
    over_share_worth: f64,
    rules: ColdStart,
    #[serde(default)]
    tenants: Vec<TenantSettings>,
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
struct CallerHabits {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CoreServers {
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

/// Default connection time-out, in milliseconds.
fn half_a_second() -> f64 {
    500.0
}

/// Default idle time-out, in milliseconds.
fn ten_minutes() -> f64 {
    600_000.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ColdStart {
    cold_from: f64,
    ramp_time_ms: f64,
    tip_multiple: f64,
    #[serde(default = "one_second")]
    fall_ms: f64,
}

/// Default overload window, in milliseconds.
fn one_second() -> f64 {
    1000.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantSettings {
    quota_rps: f64,
}

/// Parses the settings and returns their route plan.
pub fn route_plan(conf: &str) -> Result<RoutePlan> {
    Ok(settings(conf).context("conf cannot be read")?.plan)
}

/// Parses and checks the settings; the error names the setting that is missing or invalid.
pub fn settings(conf: &str) -> Result<Settings> {
    let parsed: StartSettings = parse_json(conf)?;
    let StartSettings { domain, limits, rules, .. } = parsed;
    ensure!(!parsed.categories.is_empty(), "categories: must not be empty");
    check_range("rules.coldFrom", rules.cold_from, 0.001..=1.0)?;
    check_range("rules.tipMultiple", rules.tip_multiple, 0.001..=1e6)?;
    check_range("overShareWorth", parsed.over_share_worth, 0.0..=1e6)?;
    domain.widths.iter().try_for_each(|width| check_range("domain.widths", *width, 0.001..=10_000.0))?;
    parsed
        .tenants
        .iter()
        .try_for_each(|tenant| check_range("tenants.quotaRps", tenant.quota_rps, 0.0..=1e9))?;
    let mut products = Vec::new();
    for (place, category) in parsed.categories.iter().enumerate() {
        check_range("categories.worth", category.worth, 1e-6..=1e9)?;
        check_range("categories.lateShare", category.late_share, 0.0..=1.0)?;
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
                .map(|servers| servers.iter().copied().map(ServerNumber).collect()),
        });
    }
    let max_retry_after_ms = if limits.retry_after { limits.max_retry_after_ms } else { 0.0 };
    let plan = RoutePlan {
        proxies: parsed.instances.get(),
        products,
        tenants: parsed.tenants.iter().map(|t| Tenant { quota: t.quota_rps }).collect(),
        over_quota_share: parsed.over_share_worth,
        tick: checked_millis("tickMs", parsed.tick_ms)?.max(Duration::from_micros(1)),
        release_time: checked_millis("releaseGuardMs", domain.release_guard_ms)?,
        resend_after: checked_millis("resendMs", domain.resend_ms)?,
        max_launches: limits.attempts_cap,
        callers_mark_retries: parsed.client_habits.marks_retry,
        may_cancel: limits.cancel,
        max_retry_after: checked_millis("maxRetryAfterMs", max_retry_after_ms)?,
        cold_start_share: rules.cold_from,
        warm_up_time: checked_millis("rampTimeMs", rules.ramp_time_ms)?,
        overload_multiple: rules.tip_multiple,
        overload_window: checked_millis("fallMs", rules.fall_ms)?,
    };
    Ok(Settings {
        plan,
        product_names: parsed.categories.into_iter().map(|category| category.name).collect(),
        product_widths: domain.widths,
        connect_timeout: checked_millis("connectTimeoutMs", limits.connect_timeout_ms)?,
        idle_timeout: checked_millis("connIdleMs", limits.conn_idle_ms)?,
    })
}

fn check_range(name: &str, value: f64, range: std::ops::RangeInclusive<f64>) -> Result<()> {
    ensure!(range.contains(&value), "{name}={value} is not between {} and {}", range.start(), range.end());
    Ok(())
}

/// Upper bound for times in the settings, so that the sum of a few of them cannot overflow.
const MAX_TIME_MS: f64 = 1e15;

/// Converts milliseconds to a duration; the error names the setting if its value is negative, too large or NaN.
pub fn checked_millis(name: &str, value: f64) -> Result<Duration> {
    ensure!((0.0..=MAX_TIME_MS).contains(&value), "{name}={value} is not a valid time in milliseconds");
    Ok(Duration::from_secs_f64(value / 1000.0))
}
