//! `lotussaddle fleet`: what a member knows, asked over a peer link or read from the store of one that is not running. Changes nothing.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use clap::{Args, Subcommand};
use lotussaddle::interface::DialogueId;
use lotussaddle_replica::Replica;
use lotussaddle_store::{RealDisk, inspect};
use lotussaddle_trunk::{Decoder, Frame, Hello, Message, PeerMessage, Role};
use serde_json::Value;

use crate::Failed;

/// A member answers within this, or it is said that it does not.
const WITHIN: Duration = Duration::from_secs(5);
/// An answer is not longer.
const MOST: usize = 16 * 1024 * 1024;
/// A name that no member may have: names in sheets have no space.
const OPERATOR: &str = "an operator";

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Who is heard, in which life, how many copies, how far behind.
    Status {
        #[command(flatten)]
        whom: Whom,
    },
    /// Dialogues of which two different final answers are known; exit 1 where there are any.
    Differ {
        #[command(flatten)]
        whom: Whom,
    },
    /// Who holds which duty, since when and under which number, how far it has come, and what happened here last.
    Duties {
        #[command(flatten)]
        at: Where,
    },
    /// Has a duty go to another member: the one named, or whoever is next. What becomes of it, `duties` tells.
    HandOver {
        duty: String,
        #[arg(long)]
        to: Option<String>,
        #[command(flatten)]
        at: Where,
    },
    /// Has a generation of number tables read by all members and then put into force on all; `duties` tells how far it has come.
    Publish {
        generation: String,
        #[command(flatten)]
        at: Where,
    },
    /// Has other members vote about duties: 3, 5 or 7 names, changed one at a time. What becomes of it, `duties` tells.
    Voters {
        #[arg(required = true)]
        names: Vec<String>,
        #[command(flatten)]
        at: Where,
    },
    /// All that is known of one dialogue; exit 1 where nothing is.
    Show {
        dialogue: String,
        #[command(flatten)]
        whom: Whom,
    },
}

#[derive(Args)]
pub struct Where {
    /// Where a member listens for its peers: any of the fleet.
    #[arg(long)]
    at: SocketAddr,
}

#[derive(Args)]
#[group(required = true, multiple = false)]
pub struct Whom {
    /// Where a member listens for its peers.
    #[arg(long)]
    at: Option<SocketAddr>,
    /// The folder of the store of a member that is not running.
    #[arg(long)]
    store: Option<PathBuf>,
}

pub fn run(what: FleetCommand) -> Result<()> {
    let (at, store, asked) = match &what {
        FleetCommand::Status { whom } => (whom.at, &whom.store, "status".to_string()),
        FleetCommand::Differ { whom } => (whom.at, &whom.store, "differ".to_string()),
        FleetCommand::Show { dialogue, whom } => (whom.at, &whom.store, format!("show {dialogue}")),
        FleetCommand::Duties { at } => (Some(at.at), &None, "duties".to_string()),
        FleetCommand::Publish { generation, at } => (Some(at.at), &None, format!("publish {generation}")),
        FleetCommand::Voters { names, at } => (Some(at.at), &None, format!("voters {}", names.join(" "))),
        FleetCommand::HandOver { duty, to: None, at } => (Some(at.at), &None, format!("hand-over {duty}")),
        FleetCommand::HandOver { duty, to: Some(to), at } => {
            (Some(at.at), &None, format!("hand-over {duty} {to}"))
        }
    };
    let told = match (at, store) {
        (Some(at), _) => ask(at, &asked)?,
        (None, Some(folder)) => from_store(folder, &what)?,
        (None, None) => bail!("neither --at nor --store"),
    };
    if let Some(error) = told.get("error").and_then(Value::as_str) {
        bail!("the member says: {error}");
    }
    // A reader that has seen enough closes its end.
    let _ = writeln!(std::io::stdout(), "{told:#}");
    let found = match &what {
        FleetCommand::Status { .. }
        | FleetCommand::Duties { .. }
        | FleetCommand::Voters { .. }
        | FleetCommand::Publish { .. }
        | FleetCommand::HandOver { .. } => false,
        FleetCommand::Differ { .. } => told.as_array().is_some_and(|all| !all.is_empty()),
        FleetCommand::Show { .. } => told.is_null(),
    };
    if found { Err(Failed.into()) } else { Ok(()) }
}

fn ask(at: SocketAddr, what: &str) -> Result<Value> {
    let place = || format!("member at {at}");
    let mut stream = TcpStream::connect_timeout(&at, WITHIN).with_context(place)?;
    stream.set_write_timeout(Some(WITHIN)).with_context(place)?;
    let mut bytes = Vec::new();
    for frame in [
        Frame::Hello(Hello::new(Role::Edge, OPERATOR.into())),
        Frame::PeerMessage(PeerMessage::Inquire { query: what.into() }),
    ] {
        Message::from(frame).encode(&mut bytes);
    }
    stream.write_all(&bytes).with_context(place)?;
    let until = Instant::now() + WITHIN;
    let (mut decoder, mut text, mut buffer) = (Decoder::default(), String::new(), [0; 16 * 1024]);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            bail!("member at {at} gave no answer within {WITHIN:?}");
        }
        stream.set_read_timeout(Some(left)).with_context(place)?;
        let read = match stream.read(&mut buffer) {
            Ok(read) => read,
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                continue;
            }
            Err(error) => return Err(error).with_context(place),
        };
        if read == 0 {
            bail!("member at {at} closed the link before it had answered");
        }
        decoder.feed(&buffer[..read]);
        while let Some(message) = decoder.next_frame() {
            match message.with_context(place)?.frame {
                Frame::PeerMessage(PeerMessage::InquireReply { more, text: piece }) => {
                    text.push_str(&piece);
                    if text.len() > MOST {
                        bail!("member at {at} answers with more than {MOST} bytes");
                    }
                    if !more {
                        return serde_json::from_str(&text).with_context(place);
                    }
                }
                Frame::Bye { why } => bail!("member at {at} said good-bye: {why}"),
                _ => {}
            }
        }
    }
}

fn from_store(folder: &Path, what: &FleetCommand) -> Result<Value> {
    let place = || format!("store {}", folder.display());
    let mut live = BTreeMap::<(String, Vec<u8>), Vec<u8>>::new();
    let report = inspect(&mut RealDisk::read_only(folder), |op| {
        let key = (op.table.to_string(), op.key.to_vec());
        match op.what.as_str() {
            "put" => drop(live.insert(key, op.value.to_vec())),
            "delete" => drop(live.remove(&key)),
            _ => {}
        }
    });
    for damage in &report.with_context(place)?.damage {
        eprintln!("{}: damaged at byte {}: {}", damage.file, damage.offset, damage.what);
    }
    let found = lotussaddle_serve::remembered(|take| {
        live.iter().for_each(|((table, key), value)| take(table, key, value));
        Ok(())
    })?;
    found.refused.iter().for_each(|why| eprintln!("refused: {why}"));
    let now = Duration::ZERO;
    let copies = found.member.replicas.iter().map(|sent| (&sent.dialogue, Replica::from_update(now, sent)));
    let copies: Vec<(&DialogueId, Replica)> = copies.collect();
    let each = || copies.iter().map(|(id, copy)| (*id, copy));
    // The store knows places in the group, not names.
    Ok(match what {
        FleetCommand::Status { .. } => {
            let count = |reads: &str| {
                let texts = each().map(|(id, copy)| lotussaddle_fleet::replica_json(now, id, copy, &[]));
                texts.filter(|text| text["reads"] == reads).count()
            };
            serde_json::json!({
                "store": folder.display().to_string(),
                "start": found.member.incarnation.map(lotussaddle_fleet::start_count),
                "life": found.member.incarnation,
                "writes": found.member.write_count,
                "copies": copies.len(),
                "stands": count("stands"),
                "refused": found.refused.len(),
            })
        }
        FleetCommand::Duties { .. }
        | FleetCommand::Publish { .. }
        | FleetCommand::Voters { .. }
        | FleetCommand::HandOver { .. } => {
            bail!("asked of a member that runs")
        }
        FleetCommand::Differ { .. } => lotussaddle_fleet::conflicting_dialogues(now, each(), &[]),
        FleetCommand::Show { dialogue, .. } => {
            let id = DialogueId(dialogue.as_str().into());
            let copy = each().find(|(known, _)| **known == id).map(|(_, copy)| copy);
            lotussaddle_fleet::dialogue_json(now, &id, copy, &[])
        }
    })
}
