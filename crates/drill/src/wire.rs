//! Parses the wire line by line and translates each message into a call of the decision module.

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

/// Maximum number of server lists; they are numbered from zero.
const MAX_LISTS: u8 = 16;

/// State of the connection to the simulator.
#[derive(Default)]
pub struct Wire {
    now: Duration,
    /// Frame number of the open batch.
    frame: Option<String>,
    selected_instance: Option<u32>,
    instances: BTreeMap<u32, Instance>,
    /// Registered server lists, by list number.
    lists: BTreeMap<u8, Vec<ListEntry>>,
    /// List that is being registered, and the number of entries that it still lacks.
    incomplete_list: Option<(u8, usize)>,
    reply: Reply,
}

/// One simulated edge proxy.
struct Instance {
    brain: Brain,
    product_count: usize,
}

impl Wire {
    /// Handles one line; returns the reply if the line closes a batch.
    pub fn read_line(&mut self, line: &str) -> Result<Option<String>> {
        if line.is_empty() {
            return Ok(None);
        }
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        self.handle(name, rest).with_context(|| format!("{name} message"))
    }

    /// Checks, at the end of the input, that no batch is open.
    pub fn finish(&self) -> Result<()> {
        match &self.frame {
            Some(frame) => bail!("the input ends within batch {frame}"),
            None => Ok(()),
        }
    }

    /// Handles one message; returns the reply if the message closes the batch.
    fn handle(&mut self, name: &str, rest: &str) -> Result<Option<String>> {
        let fields = Fields::parse(rest, (name == "ENLIST").then_some("conf"))?;
        if name == "MARK" {
            ensure!(self.frame.is_none(), "a batch is still open");
            let now = fields.time("clockMs")?;
            ensure!(now >= self.now, "the clock runs backwards from {:?} to {now:?}", self.now);
            self.now = now;
            self.frame = Some(fields.parsed::<u64>("frame")?.to_string());
            self.selected_instance = None;
            return Ok(None);
        }
        ensure!(self.frame.is_some(), "not allowed outside a batch");
        if name == "ENTRY" {
            self.list_entry(&fields)?;
            return Ok(None);
        }
        if let Some((list, missing)) = self.incomplete_list {
            bail!("list {list} is incomplete: {missing} entries missing");
        }
        match name {
            "EOF_BATCH" => return Ok(self.frame.take().map(|frame| self.reply.finish(&frame))),
            "SELECT" => self.selected_instance = Some(fields.parsed("proxyId")?),
            "REGISTER" => {
                let (list, entries) = (fields.parsed("list")?, fields.parsed("elements")?);
                ensure!(list < MAX_LISTS, "list={list} is greater than 15");
                self.lists.insert(list, Vec::new());
                self.incomplete_list = Some((list, entries)).filter(|_| entries > 0);
            }
            "ENLIST" => {
                let plan = route_plan(fields.required("conf")?)?;
                let products = plan.products.len();
                let brain = Brain::new(plan, fields.parsed("rngSeed")?);
                let number = self.selected_instance.context("no instance is selected")?;
                self.instances.insert(number, Instance { brain, product_count: products });
            }
            "DESTROY" => {
                self.selected()?;
                self.selected_instance.map(|number| self.instances.remove(&number));
            }
            "SYNC" => self.sync(&fields)?,
            "ORDER" => self.order(&fields)?,
            "ABORTED" => {
                let id = dialogue(&fields)?;
                let now = self.now;
                let (instance, reply) = self.selected()?;
                instance.brain.caller_left(now, &id, reply);
            }
            "STATUS_BACK" => {
                let (server, report) = (server(&fields)?, usage(&fields)?);
                outcome(fields.required("outcome")?)?;
                fields.time("durationMs")?;
                let now = self.now;
                let (instance, reply) = self.selected()?;
                instance.brain.load_reported(now, &server, &report, reply);
            }
            "REPLY" => {
                let end = LaunchEnd {
                    dialogue: dialogue(&fields)?,
                    launch: LaunchNumber(fields.parsed("n")?),
                    server: server(&fields)?,
                    outcome: launch_outcome(&fields)?,
                    closed: fields.flag("noMore")?,
                    report: usage(&fields)?,
                };
                let now = self.now;
                let (instance, reply) = self.selected()?;
                instance.brain.launch_ended(now, end, reply);
            }
            "STARTED" => {
                let (id, server) = (dialogue(&fields)?, server(&fields)?);
                let launch = LaunchNumber(fields.parsed("n")?);
                let now = self.now;
                let (instance, reply) = self.selected()?;
                instance.brain.dialogue_stands(now, &id, launch, &server, reply);
            }
            "ALARM" => {
                let timer = TimerId(fields.parsed("name")?);
                let now = self.now;
                let (instance, reply) = self.selected()?;
                instance.brain.timer_fired(now, timer, reply);
            }
            "HEARD" => {
                // Messages of other edge proxies do not affect decisions, but are checked like all others.
                let (_, text) = (fields.parsed::<u32>("who")?, fields.required("content")?);
                let text = Some(text).filter(|text| *text != "-").unwrap_or_default();
                BASE64.decode(text).with_context(|| format!("content={text} is not valid base64"))?;
                self.selected()?;
            }
            _ => bail!("unknown message"),
        }
        Ok(None)
    }

    /// The selected instance, and the reply to which its effects are written.
    fn selected(&mut self) -> Result<(&mut Instance, &mut Reply)> {
        let number = self.selected_instance.context("no instance is selected")?;
        let instance = self.instances.get_mut(&number);
        self.reply.instance = number;
        Ok((instance.with_context(|| format!("instance {number} is not enlisted"))?, &mut self.reply))
    }

    fn list_entry(&mut self, fields: &Fields) -> Result<()> {
        let (list, missing) = self.incomplete_list.context("no list is being registered")?;
        let state = match fields.required("readiness")? {
            "active" => ServerState::Active,
            "leaving" => ServerState::Draining,
            "left" => ServerState::Gone,
            other => bail!("readiness={other} is unknown"),
        };
        let started_ms = fields.get("sinceMs").map_or(Ok(0.0), |text| parse("sinceMs", text))?;
        let entry = ListEntry {
            server: server(fields)?,
            number: ServerNumber(fields.parsed("number")?),
            state,
            started: checked_millis("sinceMs", started_ms)?,
        };
        self.lists.entry(list).or_default().push(entry);
        self.incomplete_list = Some((list, missing - 1)).filter(|(_, missing)| *missing > 0);
        Ok(())
    }

    /// Passes a registered list to the selected instance.
    fn sync(&mut self, fields: &Fields) -> Result<()> {
        let whole = match fields.required("form")? {
            "delta" => false,
            "full" | "cached" => true,
            "failed" => return self.selected().map(|_| ()),
            other => bail!("form={other} is unknown"),
        };
        let number = fields.parsed("list")?;
        let entries =
            self.lists.get(&number).with_context(|| format!("list {number} was never registered"))?;
        let entries = entries.clone();
        let now = self.now;
        let (instance, reply) = self.selected()?;
        instance.brain.server_list_received(now, whole, &entries, reply);
        Ok(())
    }

    /// Passes a new dialogue to the selected instance.
    fn order(&mut self, fields: &Fields) -> Result<()> {
        let arrival = Arrival {
            id: dialogue(fields)?,
            key: fields.get("nameKey").map(|key| DialledKey(Arc::from(key))),
            product: ProductId(fields.parsed("grade")?),
            tenant: fields.get("party").map(|text| parse("party", text).map(TenantId)).transpose()?,
            first_choice: ServerNumber(fields.number("dest")? as i64),
            width: fields.get("units").map_or(Ok(1.0), |_| fields.number("units"))?,
            dialled_at: self.now,
            cut_off: fields.time("clientDeadlineMs")?,
            is_retry: fields.flag("againByClient")?,
            redialled_after_cut: fields.flag("cameBack")?,
        };
        let now = self.now;
        let (instance, reply) = self.selected()?;
        ensure!(
            arrival.product.0 < instance.product_count,
            "grade={} is not a product of the plan",
            arrival.product.0
        );
        instance.brain.dialogue_arrived(now, arrival, reply);
        Ok(())
    }
}

fn dialogue(fields: &Fields) -> Result<DialogueId> {
    Ok(DialogueId(Arc::from(fields.required("call")?)))
}

fn server(fields: &Fields) -> Result<ServerId> {
    Ok(ServerId(Arc::from(fields.required("server")?)))
}

/// Parses the outcome of a launch. The low four bits of its code are the cause: 1 in a turn-back means no free line, 4
/// in a fault means that the dialled number is busy.
fn launch_outcome(fields: &Fields) -> Result<Outcome> {
    let code: u32 = fields.get("clearCode").map_or(Ok(0), |text| parse("clearCode", text))?;
    Ok(match outcome(fields.required("outcome")?)? {
        Outcome::TurnedBack if code % 16 == 1 => Outcome::NoFreeLine,
        Outcome::Fault if code % 16 == 4 => Outcome::NumberBusy,
        other => other,
    })
}

fn outcome(text: &str) -> Result<Outcome> {
    Ok(match text {
        "delivered" => Outcome::Ended,
        "app_error" => Outcome::Fault,
        "shed" => Outcome::TurnedBack,
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::Unreachable,
        "dropped" => Outcome::BrokenOff,
        "revoked" => Outcome::Cancelled,
        "unused" => Outcome::NotSent,
        other => bail!("outcome={other} is unknown"),
    })
}

fn usage(fields: &Fields) -> Result<LoadReport> {
    load_report(fields.get("usage").filter(|usage| *usage != "-").unwrap_or_default(), ',')
}
