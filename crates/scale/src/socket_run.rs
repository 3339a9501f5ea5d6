//! Plays a plan over loopback sockets in real time: hollow members share host processes, which this process starts, tells what to do,
//! and ends.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use crate::error::ScaleError;
use crate::hollow;
use crate::host_protocol::{HostAddresses, HostOrder, HostReport, HostSetup, Sighted, Sighting, monotonic};
use crate::limits::MEMBERS_A_PROCESS;
use crate::measure::{MeasuredTime, MemberTraffic, traffic_measurements};
use crate::outcomes::{OutcomeFigures, Outcomes};
use crate::plan::ScalePlan;
use crate::process::{ChildProcess, ProcessError};
use crate::record::{Aggregate, Distribution, Measurement, Observations, Quantity, Role};
use crate::runner::{RunContext, Runner};
use crate::timeline::{Event, Timeline};

/// Calls a second of one hollow member, as in virtual time.
const CALL_RATE: f64 = 0.2;
/// A host that does not answer within this has failed.
const ANSWER_WITHIN: Duration = Duration::from_secs(20);
/// From the last address that is known to the beginning of the run.
const BEGIN_AFTER: Duration = Duration::from_millis(300);
/// After the measured time it is waited so long for changes and deaths that are under way.
const SETTLE_WITHIN: Duration = Duration::from_secs(5);
/// A member that has been up for so long was to be heard: twice the silence after which one is held dead.
const HEARD_WITHIN: Duration = Duration::from_secs(2);
/// How often it is looked whether all hosts are there.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Plays plans over sockets.
#[derive(Clone, Debug)]
pub struct SocketRunner {
    /// What follows the program in the command of a host.
    pub host_arguments: Vec<String>,
    /// Calls a second of each hollow member.
    pub call_rate: f64,
    /// Hollow members that share a process.
    pub members_a_process: usize,
}

impl Default for SocketRunner {
    fn default() -> Self {
        Self {
            host_arguments: vec!["scale".into(), "host".into()],
            call_rate: CALL_RATE,
            members_a_process: MEMBERS_A_PROCESS as usize,
        }
    }
}

impl Runner for SocketRunner {
    fn run(&self, plan: &ScalePlan, context: &RunContext) -> Result<Observations, ScaleError> {
        if !plan.cuts.is_empty() {
            let why = "cuts between regions are played in virtual time only".into();
            return Err(ScaleError::RunFailed { size: context.size, why });
        }
        let mut fleet = SocketFleet::start(self, plan, context)?;
        fleet.play()?;
        fleet.finish()
    }
}

/// One host and the members that it has.
struct Host {
    process: ChildProcess,
    members: Vec<usize>,
}

struct SocketFleet<'a> {
    plan: &'a ScalePlan,
    context: &'a RunContext,
    time: MeasuredTime,
    hosts: Vec<Host>,
    begins: Duration,
    is_up: Vec<bool>,
    /// What happened to the fleet, with the times at which the hosts were told.
    happened: Vec<(Duration, Event)>,
}

impl<'a> SocketFleet<'a> {
    /// Starts all hosts and their members.
    fn start(
        runner: &SocketRunner, plan: &'a ScalePlan, context: &'a RunContext,
    ) -> Result<Self, ScaleError> {
        let time = MeasuredTime { from: plan.warm_up, seconds: plan.duration.as_secs() as usize };
        let mut fleet = Self {
            plan,
            context,
            time,
            hosts: Vec::new(),
            begins: Duration::ZERO,
            is_up: vec![true; context.size],
            happened: Vec::new(),
        };
        let places: Vec<usize> = (0..context.size).collect();
        for members in places.chunks(runner.members_a_process) {
            let mut command = Command::new(&context.executable);
            command.args(&runner.host_arguments);
            let process = ChildProcess::start(command).map_err(|why| fleet.failed(why))?;
            fleet.hosts.push(Host { process, members: members.to_vec() });
            let setup = HostSetup {
                size: context.size,
                members: members.to_vec(),
                seed: context.seed,
                call_rate: runner.call_rate,
                time,
            };
            fleet.tell_last(&setup)?;
        }
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for host in 0..fleet.hosts.len() {
            let answer: HostAddresses = fleet.answer(host)?;
            addresses.extend(answer.addresses);
        }
        fleet.begins = monotonic() + BEGIN_AFTER;
        fleet.tell_all(&HostOrder::Start { addresses, begins: fleet.begins })?;
        Ok(fleet)
    }

    fn failed(&self, why: ProcessError) -> ScaleError {
        ScaleError::RunFailed { size: self.context.size, why: format!("a host of members: {why}") }
    }

    fn tell_last(&mut self, setup: &HostSetup) -> Result<(), ScaleError> {
        let told = self.hosts.last_mut().map_or(Ok(()), |host| host.process.tell(setup));
        told.map_err(|why| self.failed(why))
    }

    fn tell_all(&mut self, order: &HostOrder) -> Result<(), ScaleError> {
        let told = self.hosts.iter_mut().try_for_each(|host| host.process.tell(order));
        told.map_err(|why| self.failed(why))
    }

    fn answer<T: serde::de::DeserializeOwned>(&mut self, host: usize) -> Result<T, ScaleError> {
        self.hosts[host].process.answer(ANSWER_WITHIN).map_err(|why| self.failed(why))
    }

    /// The time of the run.
    fn now(&self) -> Duration {
        monotonic().saturating_sub(self.begins)
    }

    fn play(&mut self) -> Result<(), ScaleError> {
        let size = self.context.size;
        let places: Vec<_> = (0..size).map(|member| self.plan.topology.place(member, size)).collect();
        let timeline = Timeline::draw(self.plan, &[], &places, self.context.seed);
        for (at, event) in timeline.events {
            self.wait_until(at)?;
            self.happen(event)?;
        }
        self.wait_until(self.plan.warm_up + self.plan.duration)?;
        let settle = if self.happened.is_empty() { Duration::ZERO } else { SETTLE_WITHIN };
        self.wait_until(self.plan.warm_up + self.plan.duration + settle)
    }

    /// Waits until a time of the run, while all hosts are there.
    fn wait_until(&mut self, at: Duration) -> Result<(), ScaleError> {
        loop {
            if self.hosts.iter_mut().any(|host| host.process.has_ended()) {
                return Err(self.failed(ProcessError::Ended));
            }
            let left = at.saturating_sub(self.now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(LOOK_EVERY));
        }
    }

    fn happen(&mut self, event: Event) -> Result<(), ScaleError> {
        self.happened.push((self.now(), event.clone()));
        match event {
            Event::Change { number, at_member } => {
                let member = self.next_up(at_member);
                self.tell_all(&HostOrder::Change { number, member })
            }
            Event::Leave(members) => {
                members.iter().for_each(|member| self.is_up[*member] = false);
                self.tell_all(&HostOrder::Leave { members })
            }
            Event::Return(members) => {
                members.iter().for_each(|member| self.is_up[*member] = true);
                self.tell_all(&HostOrder::Return { members })
            }
            Event::Stall { .. } => Ok(()),
        }
    }

    /// This member, or the next one that is up.
    fn next_up(&self, member: usize) -> usize {
        let size = self.context.size;
        let mut following = (0..size).map(|step| (member + step) % size);
        following.find(|member| self.is_up[*member]).unwrap_or(member)
    }

    /// Has all hosts report, and makes figures of it.
    fn finish(mut self) -> Result<Observations, ScaleError> {
        let end = self.now();
        self.tell_all(&HostOrder::Finish)?;
        let mut reports = Vec::new();
        for host in 0..self.hosts.len() {
            reports.push(self.answer::<HostReport>(host)?);
        }
        let sightings = reports.iter_mut().flat_map(|report| std::mem::take(&mut report.sightings)).collect();
        let outcomes = outcomes_of(self.context.size, &self.happened, sightings).finish(end);
        let mut traffic = vec![MemberTraffic::new(self.time.seconds); self.context.size];
        for (host, report) in self.hosts.iter().zip(&mut reports) {
            for (member, counted) in host.members.iter().zip(std::mem::take(&mut report.traffic)) {
                traffic[*member] = counted;
            }
        }
        Ok(self.observations(&outcomes, &traffic, &reports))
    }

    fn observations(
        &self, outcomes: &OutcomeFigures, traffic: &[MemberTraffic], reports: &[HostReport],
    ) -> Observations {
        let measured = &self.plan.measure;
        let voters = hollow::voters(self.context.size);
        let mut measurements = traffic_measurements(traffic, &voters, self.time, measured);
        let size = self.context.size as f64;
        let mut add = |quantity: Quantity, aggregate, role: Option<Role>, value: f64| {
            if measured.contains(&quantity) {
                let measurement = Measurement::new(quantity, aggregate, value);
                measurements.push(role.map_or(measurement.clone(), |role| measurement.of_role(role)));
            }
        };
        let member = Some(Role::EdgeProxy);
        let sum = |value: fn(&HostReport) -> f64| reports.iter().map(value).sum::<f64>();
        let cores = sum(|report| report.processor.as_secs_f64()) / self.time.seconds.max(1) as f64;
        add(Quantity::Processor, Aggregate::Mean, member, cores / size);
        add(
            Quantity::ResidentMemory,
            Aggregate::Mean,
            None,
            sum(|report| report.resident_bytes as f64) / size,
        );
        add(Quantity::Links, Aggregate::Mean, None, sum(|report| report.links as f64) / size);
        add(Quantity::Descriptors, Aggregate::Total, None, sum(|report| report.descriptors as f64));
        add(Quantity::FalseSuspicions, Aggregate::Total, None, outcomes.false_suspicions as f64);
        let times = [
            (Quantity::ChangeInForce, &outcomes.change_in_force),
            (Quantity::DeathKnown, &outcomes.death_known),
        ];
        let times = times.into_iter().filter(|(quantity, _)| measured.contains(quantity));
        let distributions =
            times.filter_map(|(quantity, times)| Distribution::summary(quantity, member, times)).collect();
        Observations { measurements, distributions }
    }
}

/// What came of all that happened, in the order of time.
fn outcomes_of(size: usize, happened: &[(Duration, Event)], mut sightings: Vec<Sighting>) -> Outcomes {
    sightings.sort_by_key(|sighting| sighting.at);
    let mut sightings = sightings.into_iter().peekable();
    let mut outcomes = Outcomes::new(size);
    for (at, event) in happened {
        while let Some(sighting) = sightings.next_if(|sighting| sighting.at < *at) {
            see(&mut outcomes, sighting);
        }
        match event {
            Event::Change { number, .. } => outcomes.ordered(*number, *at),
            Event::Leave(members) => members.iter().for_each(|member| outcomes.left(*member, *at)),
            Event::Return(members) => members.iter().for_each(|member| outcomes.returned(*member, *at)),
            Event::Stall { .. } => {}
        }
    }
    sightings.for_each(|sighting| see(&mut outcomes, sighting));
    outcomes
}

fn see(outcomes: &mut Outcomes, Sighting { at, member, what }: Sighting) {
    match what {
        Sighted::InForce { number } => outcomes.in_force(number, member, at),
        Sighted::HeldDead { member: dead } => {
            let since = at.saturating_sub(HEARD_WITHIN);
            let was_up = outcomes.up_since(dead).is_some_and(|up| up <= since);
            outcomes.held_dead(member, dead, at, was_up);
        }
    }
}
