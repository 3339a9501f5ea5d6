//! A record of traffic: a brief, then a line for each thing that passed or was done.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::time::Duration;

use lotussaddle_trunk::Message;
use serde::{Deserialize, Serialize};

/// What the rules and the gain are reckoned by; the first line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Brief {
    pub day: String,
    pub seed: u64,
    pub products: Vec<ProductBrief>,
    pub tenants: Vec<TenantBrief>,
    /// The part of its gain that a dialogue keeps beyond its tenant's quota.
    pub over_quota_share: f64,
    /// Seconds between a launch in doubt and the next.
    pub release_s: f64,
    /// Seconds in which launches to a draining or gone server must have ceased.
    pub drain_grace_s: f64,
    /// Seconds after the cut-off, or after an answer has crossed a hang-up, in which an answer still counts.
    pub answer_grace_s: f64,
    /// Seconds by which the record's clock may see a cancel late; 0 in virtual time.
    pub slack_s: f64,
    pub cold: ColdRule,
    /// What each core server can set up a second when warm.
    pub capacities: BTreeMap<String, f64>,
    /// Where numbers are analysed: by what.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub numbers: Option<NumbersBrief>,
    /// Where edge proxies act as a fleet: what they promise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<crate::fleet::FleetBrief>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NumbersBrief {
    /// The time of day at the record's start.
    pub wall: String,
    /// Trunk groups: names, and the numbers of their core servers.
    pub groups: Vec<(String, Vec<i64>)>,
    /// Names and sheets; the first is in force when an edge proxy starts.
    pub generations: Vec<(String, String)>,
    /// Under what numbers are looked up.
    pub suffix: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProductBrief {
    pub name: String,
    pub promised_s: f64,
    pub gain: f64,
    pub late_share: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantBrief {
    pub name: String,
    /// Dialogues a second that carry their full gain.
    pub quota: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdRule {
    pub share: f64,
    pub warm_after_s: f64,
    pub multiple: f64,
    pub within_s: f64,
}

/// Seen from the edge proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    In,
    Out,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds since the start.
    pub at: u64,
    #[serde(flatten)]
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    Passed {
        edge: usize,
        link: u64,
        way: Way,
        message: Message,
    },
    /// A link is up; `far` is "callers", "list", a core server's name or "edge-N".
    Up {
        edge: usize,
        link: u64,
        far: String,
    },
    /// A link is gone, as the edge proxy's end has it.
    Gone {
        edge: usize,
        link: u64,
    },
    /// A datagram between an edge proxy and a look-up server.
    Datagram {
        edge: usize,
        server: usize,
        way: Way,
        /// Two hexadecimal digits a byte.
        bytes: String,
    },
    Started {
        edge: usize,
    },
    Killed {
        edge: usize,
    },
    /// From its next start on its clock runs so many times as fast as it should.
    Clock {
        edge: usize,
        rate: f64,
    },
    /// Its disk lacks something that was kept there: it was lost, put back from an older copy, or is full.
    DiskSpoilt {
        edge: usize,
    },
    Stalled {
        edge: usize,
    },
    Resumed {
        edge: usize,
    },
    /// A core server's process started anew, cold.
    CoreStarted {
        server: String,
        /// As the list will name this life of it.
        life: u64,
    },
    /// Its process has ended, with all that stood there.
    CoreGone {
        server: String,
    },
    /// It was pushed over.
    Fell {
        server: String,
    },
    /// For the reader alone.
    Note {
        text: String,
    },
}

/// Bytes as a record has them.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len() / 2).map(|place| u8::from_str_radix(&text[place * 2..place * 2 + 2], 16).ok()).collect()
}

impl Line {
    pub fn time(&self) -> Duration {
        Duration::from_micros(self.at)
    }
}

pub fn write_line<T: Serialize>(out: &mut impl Write, line: &T) -> std::io::Result<()> {
    serde_json::to_writer(&mut *out, line)?;
    out.write_all(b"\n")
}

/// Bytes of one line of a record, at most.
const MAX_LINE: u64 = 1 << 20;

/// Reads a record, line by line; an error names the line.
pub fn read_record(
    mut input: impl BufRead, mut each: impl FnMut(Line), begin: impl FnOnce(Brief),
) -> Result<u64, String> {
    let mut begin = Some(begin);
    let mut text = String::new();
    let mut number = 0;
    loop {
        text.clear();
        let read = std::io::Read::take(&mut input, MAX_LINE).read_line(&mut text);
        let read = read.map_err(|e| format!("line {}: {e}", number + 1))?;
        if read == 0 {
            break;
        }
        number += 1;
        if read as u64 >= MAX_LINE {
            return Err(format!("line {number}: over {MAX_LINE} bytes"));
        }
        match begin.take() {
            Some(begin) => {
                begin(serde_json::from_str(&text).map_err(|e| format!("line {number}: no brief: {e}"))?)
            }
            None => each(serde_json::from_str(&text).map_err(|e| format!("line {number}: {e}"))?),
        }
    }
    if begin.is_some() { Err("line 1: the record is empty".into()) } else { Ok(number) }
}
