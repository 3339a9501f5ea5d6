//! The name=value pairs of a wire line.

use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use lotussaddle_settings::checked_millis;

pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// The value of the field named `text` runs to the end of the line.
    pub fn read(mut rest: &'a str, text: Option<&str>) -> Result<Self> {
        let mut pairs = Vec::new();
        while !rest.is_empty() {
            let (name, after) = rest.split_once('=').with_context(|| format!("no value in \"{rest}\""))?;
            ensure!(!name.is_empty() && !name.contains(' '), "no name and value in \"{rest}\"");
            let (value, more) =
                if Some(name) == text { (after, "") } else { after.split_once(' ').unwrap_or((after, "")) };
            pairs.push((name, value));
            rest = more;
        }
        Ok(Self(pairs))
    }

    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    pub fn need(&self, name: &str) -> Result<&'a str> {
        let value = self.get(name).with_context(|| format!("{name} is missing"))?;
        ensure!(!value.is_empty(), "{name} is empty");
        Ok(value)
    }

    pub fn whole<T: FromStr>(&self, name: &str) -> Result<T> {
        parse(name, self.need(name)?)
    }

    pub fn number(&self, name: &str) -> Result<f64> {
        let value: f64 = self.whole(name)?;
        ensure!(value.is_finite(), "{name}={value} is no number");
        Ok(value)
    }

    pub fn time(&self, name: &str) -> Result<Duration> {
        checked_millis(name, self.number(name)?)
    }

    pub fn flag(&self, name: &str) -> Result<bool> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => bail!("{name}={other} is neither 0 nor 1"),
        }
    }
}

pub fn parse<T: FromStr>(name: &str, value: &str) -> Result<T> {
    value.parse().ok().with_context(|| format!("{name}={value} cannot be read"))
}
