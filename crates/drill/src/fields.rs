//! The `name=value` pairs of a line on the wire.

use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use lotussaddle_settings::checked_millis;

/// The fields of one message, in the order of the line.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Parses the fields of a line. The value of the field named `free_text` extends to the end of the line.
    pub fn parse(mut rest: &'a str, free_text: Option<&str>) -> Result<Self> {
        let mut pairs = Vec::new();
        while !rest.is_empty() {
            let (name, after) = rest.split_once('=').with_context(|| format!("no value in \"{rest}\""))?;
            ensure!(!name.is_empty() && !name.contains(' '), "no name and value in \"{rest}\"");
            let (value, more) = if Some(name) == free_text {
                (after, "")
            } else {
                after.split_once(' ').unwrap_or((after, ""))
            };
            pairs.push((name, value));
            rest = more;
        }
        Ok(Self(pairs))
    }

    /// The value of a field, if the message has it.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// The value of a mandatory field; missing and empty values are errors.
    pub fn required(&self, name: &str) -> Result<&'a str> {
        let value = self.get(name).with_context(|| format!("{name} is missing"))?;
        ensure!(!value.is_empty(), "{name} is empty");
        Ok(value)
    }

    /// The parsed value of a mandatory field.
    pub fn parsed<T: FromStr>(&self, name: &str) -> Result<T> {
        parse(name, self.required(name)?)
    }

    /// A mandatory finite number.
    pub fn number(&self, name: &str) -> Result<f64> {
        let value: f64 = self.parsed(name)?;
        ensure!(value.is_finite(), "{name}={value} is not a finite number");
        Ok(value)
    }

    /// A mandatory time in milliseconds.
    pub fn time(&self, name: &str) -> Result<Duration> {
        checked_millis(name, self.number(name)?)
    }

    /// A Boolean field, written 0 or 1; false if it is missing.
    pub fn flag(&self, name: &str) -> Result<bool> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => bail!("{name}={other} is neither 0 nor 1"),
        }
    }
}

/// Parses a value; the error names its field.
pub fn parse<T: FromStr>(name: &str, value: &str) -> Result<T> {
    value.parse().ok().with_context(|| format!("{name}={value} cannot be parsed"))
}
