//! Serde representations of the ids, load reports and times of `lotussaddle::interface` in traffic records.

use std::sync::Arc;

use lotussaddle::interface::{DialledKey, DialogueId, LaunchNumber, LoadReport, ServerId, ServerNumber};
use serde::{Deserialize, Serialize};

/// A dialogue's id as a string.
#[derive(Serialize, Deserialize)]
#[serde(remote = "DialogueId")]
pub struct DialogueText(Arc<str>);

/// A core server's id as a string.
#[derive(Serialize, Deserialize)]
#[serde(remote = "ServerId")]
pub struct ServerText(Arc<str>);

/// A core server's number as an integer.
#[derive(Serialize, Deserialize)]
#[serde(remote = "ServerNumber")]
pub struct NumberText(i64);

/// A launch's number within its dialogue as an integer.
#[derive(Serialize, Deserialize)]
#[serde(remote = "LaunchNumber")]
pub struct LaunchText(u32);

/// Durations as whole microseconds, as on the wire.
pub mod micros {
    use super::*;
    use std::time::Duration;

    pub fn serialize<S: serde::Serializer>(time: &Duration, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u64(time.as_micros() as u64)
    }

    pub fn deserialize<'de, D: serde::Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
        Ok(Duration::from_micros(u64::deserialize(input)?))
    }
}

macro_rules! optional {
    ($module:ident, $whole:ty, $from:expr, $to:expr) => {
        pub mod $module {
            use super::*;

            pub fn serialize<S: serde::Serializer>(
                value: &Option<$whole>, out: S,
            ) -> Result<S::Ok, S::Error> {
                value.as_ref().map($to).serialize(out)
            }

            pub fn deserialize<'de, D: serde::Deserializer<'de>>(
                input: D,
            ) -> Result<Option<$whole>, D::Error> {
                Ok(Option::deserialize(input)?.map($from))
            }
        }
    };
}

optional!(maybe_key, DialledKey, |text: Arc<str>| DialledKey(text), |key| key.0.clone());
optional!(maybe_dialogue, DialogueId, |text: Arc<str>| DialogueId(text), |id| id.0.clone());
optional!(maybe_micros, std::time::Duration, std::time::Duration::from_micros, |t| t.as_micros() as u64);

/// A load report; absent figures are left out.
#[derive(Serialize, Deserialize)]
#[serde(remote = "LoadReport")]
pub struct ReportText {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    free_lines: Option<f64>,
    #[serde(default, rename = "lines", skip_serializing_if = "Option::is_none")]
    total_lines: Option<f64>,
    #[serde(default, rename = "busy", skip_serializing_if = "Option::is_none")]
    processor_busy: Option<f64>,
    #[serde(default, rename = "queue", skip_serializing_if = "Option::is_none")]
    processor_queue: Option<f64>,
    #[serde(default, rename = "wait", skip_serializing_if = "Option::is_none", with = "maybe_micros")]
    processor_wait: Option<std::time::Duration>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    rate: Option<f64>,
}
