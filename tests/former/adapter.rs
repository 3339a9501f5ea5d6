//! Gives the former decision module, which stays as it was together with its `interface`, the present interface:
//! inputs are converted to the former types, and what it decides is passed on to the present `Signalling`.

use std::time::Duration;

use lotussaddle::interface::*;

use crate::{former, interface};

/// The former `Brain` behind the method names and types of the present one.
pub struct FormerBrain(former::Brain);

impl FormerBrain {
    pub fn new(plan: RoutePlan, seed: u64) -> Self {
        Self(former::Brain::new(former_plan(plan), seed))
    }

    pub fn server_list_received(
        &mut self, now: Duration, whole: bool, entries: &[ListEntry], out: &mut dyn Signalling,
    ) {
        let entries: Vec<interface::ListEntry> = entries.iter().map(former_entry).collect();
        self.0.listed(now, whole, &entries, &mut PresentSignalling(out));
    }

    pub fn dialogue_arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling) {
        self.0.arrived(now, former_arrival(arrival), &mut PresentSignalling(out));
    }

    pub fn caller_left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling) {
        self.0.left(now, &former_dialogue(id), &mut PresentSignalling(out));
    }

    pub fn load_reported(
        &mut self, now: Duration, id: &ServerId, report: &LoadReport, out: &mut dyn Signalling,
    ) {
        self.0.reported(now, &former_server(id), &former_report(report), &mut PresentSignalling(out));
    }

    pub fn dialogue_stands(
        &mut self, now: Duration, id: &DialogueId, launch: LaunchNumber, server: &ServerId,
        out: &mut dyn Signalling,
    ) {
        let (id, server) = (former_dialogue(id), former_server(server));
        self.0.stands(now, &id, interface::LaunchNo(launch.0), &server, &mut PresentSignalling(out));
    }

    pub fn launch_ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling) {
        self.0.ended(now, former_end(end), &mut PresentSignalling(out));
    }

    pub fn timer_fired(&mut self, now: Duration, timer: TimerId, out: &mut dyn Signalling) {
        self.0.alarm(now, interface::TimerId(timer.0), &mut PresentSignalling(out));
    }
}

/// Passes the former module's effects on to a present `Signalling`.
struct PresentSignalling<'a>(&'a mut dyn Signalling);

impl interface::Signalling for PresentSignalling<'_> {
    fn launch(&mut self, dialogue: &interface::DialogueId, server: &interface::ServerId, time_out: Duration) {
        self.0.launch(&DialogueId(dialogue.0.clone()), &ServerId(server.0.clone()), time_out);
    }
    fn refuse(&mut self, dialogue: &interface::DialogueId, come_back: Option<Duration>) {
        self.0.refuse(&DialogueId(dialogue.0.clone()), come_back);
    }
    fn fail(&mut self, dialogue: &interface::DialogueId) {
        self.0.fail(&DialogueId(dialogue.0.clone()));
    }
    fn cancel(&mut self, dialogue: &interface::DialogueId, launch: interface::LaunchNo) {
        self.0.cancel(&DialogueId(dialogue.0.clone()), LaunchNumber(launch.0));
    }
    fn set_timer(&mut self, timer: interface::TimerId, after: Duration) {
        self.0.set_timer(TimerId(timer.0), after);
    }
    fn log(&mut self, line: &str) {
        self.0.log(line);
    }
}

fn former_server_number(number: ServerNumber) -> interface::ServerNumber {
    interface::ServerNumber(number.0)
}

fn former_dialogue(id: &DialogueId) -> interface::DialogueId {
    interface::DialogueId(id.0.clone())
}

fn former_server(id: &ServerId) -> interface::ServerId {
    interface::ServerId(id.0.clone())
}

fn former_plan(plan: RoutePlan) -> interface::RoutePlan {
    let product = |product: Product| interface::Product {
        promised: product.promised,
        lasts: product.mean_duration,
        patience: product.redial_window,
        gain: product.gain,
        late_share: product.late_share,
        servers: product.servers.map(|servers| servers.into_iter().map(former_server_number).collect()),
    };
    interface::RoutePlan {
        proxies: plan.proxies,
        products: plan.products.into_iter().map(product).collect(),
        tenants: plan.tenants.into_iter().map(|tenant| interface::Tenant { quota: tenant.quota }).collect(),
        over_quota_share: plan.over_quota_share,
        tick: plan.tick,
        release: plan.release_time,
        resend: plan.resend_after,
        max_launches: plan.max_launches,
        marks_again: plan.callers_mark_retries,
        may_cancel: plan.may_cancel,
        longest_return: plan.max_retry_after,
        cold_share: plan.cold_start_share,
        warm_after: plan.warm_up_time,
        fall_multiple: plan.overload_multiple,
        fall_within: plan.overload_window,
    }
}

fn former_entry(entry: &ListEntry) -> interface::ListEntry {
    interface::ListEntry {
        server: former_server(&entry.server),
        number: former_server_number(entry.number),
        listed: match entry.state {
            ServerState::Active => interface::Listed::Active,
            ServerState::Draining => interface::Listed::Leaving,
            ServerState::Gone => interface::Listed::Gone,
        },
        since: entry.started,
    }
}

fn former_arrival(arrival: Arrival) -> interface::Arrival {
    interface::Arrival {
        id: former_dialogue(&arrival.id),
        key: arrival.key.map(|key| interface::DialledKey(key.0)),
        product: interface::ProductId(arrival.product.0),
        tenant: arrival.tenant.map(|tenant| interface::TenantId(tenant.0)),
        first_choice: former_server_number(arrival.first_choice),
        width: arrival.width,
        dialled_at: arrival.dialled_at,
        cut_off: arrival.cut_off,
        again: arrival.is_retry,
        came_back: arrival.redialled_after_cut,
    }
}

fn former_report(report: &LoadReport) -> interface::LoadReport {
    interface::LoadReport {
        free_lines: report.free_lines,
        lines: report.total_lines,
        busy: report.processor_busy,
        queue: report.processor_queue,
        wait: report.processor_wait,
        rate: report.rate,
    }
}

fn former_end(end: LaunchEnd) -> interface::LaunchEnd {
    interface::LaunchEnd {
        dialogue: former_dialogue(&end.dialogue),
        launch: interface::LaunchNo(end.launch.0),
        server: former_server(&end.server),
        outcome: match end.outcome {
            Outcome::Ended => interface::Outcome::Ended,
            Outcome::Fault => interface::Outcome::Fault,
            Outcome::NumberBusy => interface::Outcome::NumberBusy,
            Outcome::NoFreeLine => interface::Outcome::LinesTaken,
            Outcome::TurnedBack => interface::Outcome::TurnedBack,
            Outcome::TimedOut => interface::Outcome::TimedOut,
            Outcome::Unreachable => interface::Outcome::Unreachable,
            Outcome::BrokenOff => interface::Outcome::BrokenOff,
            Outcome::Cancelled => interface::Outcome::CalledOff,
            Outcome::NotSent => interface::Outcome::NotSent,
        },
        closed: end.closed,
        report: former_report(&end.report),
    }
}
