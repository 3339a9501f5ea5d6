//! Reads the wire line by line and turns each line straight into a call on the decisions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use lotussaddle::brain::Brain;
use lotussaddle::interface::*;
use lotussaddle_settings::{checked_millis, load_report, route_plan};

use crate::fields::{Fields, parse};
use crate::reply::Reply;

#[derive(Default)]
pub struct Wire {
    now: Duration,
    /// The number of the batch that is open.
    frame: Option<String>,
    selected: Option<u32>,
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u8, Vec<ListEntry>>,
    /// The list whose entries are still coming, and how many.
    filling: Option<(u8, usize)>,
    reply: Reply,
}

struct Instance {
    brain: Brain,
    products: usize,
}

impl Wire {
    /// Takes one line; gives the reply when it closes a batch.
    pub fn line(&mut self, line: &str) -> Result<Option<String>> {
        if line.is_empty() {
            return Ok(None);
        }
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        self.message(name, rest).with_context(|| format!("{name} message"))
    }

    /// The input has ended.
    pub fn end(&self) -> Result<()> {
        match &self.frame {
            Some(frame) => bail!("the input ends within batch {frame}"),
            None => Ok(()),
        }
    }

    fn message(&mut self, name: &str, rest: &str) -> Result<Option<String>> {
        let fields = Fields::read(rest, (name == "ENLIST").then_some("conf"))?;
        if name == "MARK" {
            ensure!(self.frame.is_none(), "a batch is still open");
            let now = fields.time("clockMs")?;
            ensure!(now >= self.now, "the clock runs back from {:?} to {now:?}", self.now);
            self.now = now;
            self.frame = Some(fields.whole::<u64>("frame")?.to_string());
            self.selected = None;
            return Ok(None);
        }
        ensure!(self.frame.is_some(), "it stands outside a batch");
        if name == "ENTRY" {
            self.entry(&fields)?;
            return Ok(None);
        }
        if let Some((list, missing)) = self.filling {
            bail!("{missing} entries of list {list} are still to come");
        }
        match name {
            "EOF_BATCH" => return Ok(self.frame.take().map(|frame| self.reply.finish(&frame))),
            "SELECT" => self.selected = Some(fields.whole("proxyId")?),
            "REGISTER" => {
                let (list, entries) = (fields.whole("list")?, fields.whole("elements")?);
                ensure!(list < 16, "list={list} is over 15");
                self.lists.insert(list, Vec::new());
                self.filling = Some((list, entries)).filter(|_| entries > 0);
            }
            "ENLIST" => {
                let plan = route_plan(fields.need("conf")?)?;
                let products = plan.products.len();
                let brain = Brain::new(plan, fields.whole("rngSeed")?);
                let number = self.selected.context("no instance is selected")?;
                self.instances.insert(number, Instance { brain, products });
            }
            "DESTROY" => {
                self.instance()?;
                self.selected.map(|number| self.instances.remove(&number));
            }
            "SYNC" => self.sync(&fields)?,
            "ORDER" => self.order(&fields)?,
            "ABORTED" => {
                let id = dialogue(&fields)?;
                let now = self.now;
                let (instance, reply) = self.instance()?;
                instance.brain.caller_left(now, &id, reply);
            }
            "STATUS_BACK" => {
                let (server, report) = (server(&fields)?, usage(&fields)?);
                outcome(fields.need("outcome")?)?;
                fields.time("durationMs")?;
                let now = self.now;
                let (instance, reply) = self.instance()?;
                instance.brain.load_reported(now, &server, &report, reply);
            }
            "REPLY" => {
                let end = LaunchEnd {
                    dialogue: dialogue(&fields)?,
                    launch: LaunchNumber(fields.whole("n")?),
                    server: server(&fields)?,
                    outcome: launch_outcome(&fields)?,
                    closed: fields.flag("noMore")?,
                    report: usage(&fields)?,
                };
                let now = self.now;
                let (instance, reply) = self.instance()?;
                instance.brain.launch_ended(now, end, reply);
            }
            "STARTED" => {
                let (id, server) = (dialogue(&fields)?, server(&fields)?);
                let launch = LaunchNumber(fields.whole("n")?);
                let now = self.now;
                let (instance, reply) = self.instance()?;
                instance.brain.dialogue_stands(now, &id, launch, &server, reply);
            }
            "ALARM" => {
                let timer = TimerId(fields.whole("name")?);
                let now = self.now;
                let (instance, reply) = self.instance()?;
                instance.brain.timer_fired(now, timer, reply);
            }
            "HEARD" => {
                // Nothing is decided by a message of another edge proxy; it is checked like any other.
                let (_, text) = (fields.whole::<u32>("who")?, fields.need("content")?);
                let text = Some(text).filter(|text| *text != "-").unwrap_or_default();
                BASE64.decode(text).with_context(|| format!("content={text} is no base64"))?;
                self.instance()?;
            }
            _ => bail!("no known message"),
        }
        Ok(None)
    }

    fn instance(&mut self) -> Result<(&mut Instance, &mut Reply)> {
        let number = self.selected.context("no instance is selected")?;
        let instance = self.instances.get_mut(&number);
        self.reply.instance = number;
        Ok((instance.with_context(|| format!("instance {number} is not enlisted"))?, &mut self.reply))
    }

    fn entry(&mut self, fields: &Fields) -> Result<()> {
        let (list, missing) = self.filling.context("no list is being registered")?;
        let listed = match fields.need("readiness")? {
            "active" => ServerState::Active,
            "leaving" => ServerState::Draining,
            "left" => ServerState::Gone,
            other => bail!("readiness={other} is not known"),
        };
        let since = fields.get("sinceMs").map_or(Ok(0.0), |text| parse("sinceMs", text))?;
        let entry = ListEntry {
            server: server(fields)?,
            number: ServerNumber(fields.whole("number")?),
            state: listed,
            started: checked_millis("sinceMs", since)?,
        };
        self.lists.entry(list).or_default().push(entry);
        self.filling = Some((list, missing - 1)).filter(|(_, missing)| *missing > 0);
        Ok(())
    }

    fn sync(&mut self, fields: &Fields) -> Result<()> {
        let whole = match fields.need("form")? {
            "delta" => false,
            "full" | "cached" => true,
            "failed" => return self.instance().map(|_| ()),
            other => bail!("form={other} is not known"),
        };
        let number = fields.whole("list")?;
        let entries =
            self.lists.get(&number).with_context(|| format!("list {number} was never registered"))?;
        let entries = entries.clone();
        let now = self.now;
        let (instance, reply) = self.instance()?;
        instance.brain.server_list_received(now, whole, &entries, reply);
        Ok(())
    }

    fn order(&mut self, fields: &Fields) -> Result<()> {
        let arrival = Arrival {
            id: dialogue(fields)?,
            key: fields.get("nameKey").map(|key| DialledKey(Arc::from(key))),
            product: ProductId(fields.whole("grade")?),
            tenant: fields.get("party").map(|text| parse("party", text).map(TenantId)).transpose()?,
            first_choice: ServerNumber(fields.number("dest")? as i64),
            width: fields.get("units").map_or(Ok(1.0), |_| fields.number("units"))?,
            dialled_at: self.now,
            cut_off: fields.time("clientDeadlineMs")?,
            is_retry: fields.flag("againByClient")?,
            redialled_after_cut: fields.flag("cameBack")?,
        };
        let now = self.now;
        let (instance, reply) = self.instance()?;
        ensure!(arrival.product.0 < instance.products, "grade={} is no product", arrival.product.0);
        instance.brain.dialogue_arrived(now, arrival, reply);
        Ok(())
    }
}

fn dialogue(fields: &Fields) -> Result<DialogueId> {
    Ok(DialogueId(Arc::from(fields.need("call")?)))
}

fn server(fields: &Fields) -> Result<ServerId> {
    Ok(ServerId(Arc::from(fields.need("server")?)))
}

/// The low four bits of the code are the cause: of a turn-back 1, no free line; of a fault 4, the number is busy.
fn launch_outcome(fields: &Fields) -> Result<Outcome> {
    let code: u32 = fields.get("clearCode").map_or(Ok(0), |text| parse("clearCode", text))?;
    Ok(match outcome(fields.need("outcome")?)? {
        Outcome::TurnedBack if code % 16 == 1 => Outcome::NoFreeLine,
        Outcome::Fault if code % 16 == 4 => Outcome::NumberBusy,
        other => other,
    })
}

fn outcome(word: &str) -> Result<Outcome> {
    Ok(match word {
        "delivered" => Outcome::Ended,
        "app_error" => Outcome::Fault,
        "shed" => Outcome::TurnedBack,
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::Unreachable,
        "dropped" => Outcome::BrokenOff,
        "revoked" => Outcome::Cancelled,
        "unused" => Outcome::NotSent,
        other => bail!("outcome={other} is not known"),
    })
}

fn usage(fields: &Fields) -> Result<LoadReport> {
    load_report(fields.get("usage").filter(|usage| *usage != "-").unwrap_or_default(), ',')
}
