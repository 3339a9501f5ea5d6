//! Decisions that are not the module's, to measure it beside. They keep the rules that an edge proxy can keep
//! without a thought (one launch, an answer before the cut-off, the release, drains), know no limits, no silence
//! and no cold start, and stay in this package.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::Decisions;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// The first choice, as long as it is listed; else any.
    FirstChoice,
    /// One server after the other.
    RoundRobin,
    /// Where this edge proxy has the fewest launches out.
    LeastOut,
}

impl Baseline {
    pub const ALL: [(&'static str, Self); 3] = [
        ("first-choice", Self::FirstChoice),
        ("round-robin", Self::RoundRobin),
        ("least-out", Self::LeastOut),
    ];

    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(known, _)| *known == name).map(|(_, baseline)| *baseline)
    }

    pub fn decisions(self, plan: RoutePlan) -> Plain {
        Plain {
            baseline: self,
            plan,
            servers: BTreeMap::new(),
            asked: BTreeMap::new(),
            by_time: BTreeSet::new(),
            turn: 0,
            alarm_set: false,
            rests_until: Duration::ZERO,
        }
    }
}

struct Server {
    number: ServerNumber,
    active: bool,
    out: u32,
}

struct Asked {
    product: ProductId,
    first_choice: ServerNumber,
    answer_by: Duration,
    launches: u32,
    at: Option<(ServerId, LaunchNumber)>,
    /// When something is to be done for it next.
    due: Duration,
}

pub struct Plain {
    baseline: Baseline,
    plan: RoutePlan,
    servers: BTreeMap<ServerId, Server>,
    asked: BTreeMap<DialogueId, Asked>,
    by_time: BTreeSet<(Duration, DialogueId)>,
    turn: usize,
    alarm_set: bool,
    rests_until: Duration,
}

impl Plain {
    fn choose(&mut self, asked: &Asked) -> Option<ServerId> {
        let able = self.plan.products[asked.product.0].servers.as_ref();
        let may = |s: &Server| s.active && able.is_none_or(|able| able.contains(&s.number));
        let all: Vec<(&ServerId, &Server)> = self.servers.iter().filter(|(_, s)| may(s)).collect();
        self.turn = self.turn.wrapping_add(1);
        let next = all.get(self.turn % all.len().max(1)).copied();
        let chosen = match self.baseline {
            Baseline::FirstChoice => {
                all.iter().find(|(_, s)| s.number == asked.first_choice).copied().or(next)
            }
            Baseline::RoundRobin => next,
            Baseline::LeastOut => all.iter().min_by_key(|(_, s)| s.out).copied(),
        };
        chosen.map(|(id, _)| id.clone())
    }

    /// Launches it, or waits for a server.
    fn go(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling) {
        let Some(mut asked) = self.asked.remove(id) else { return };
        self.by_time.remove(&(asked.due, id.clone()));
        if now >= asked.answer_by {
            self.give_back(&asked);
            if let Some((_, launch)) = asked.at.filter(|_| self.plan.may_cancel) {
                out.cancel(id, launch);
            }
            return out.fail(id);
        }
        asked.due = asked.answer_by;
        if asked.at.is_none() {
            if asked.launches >= self.plan.max_launches {
                let come_back = Some(self.plan.max_retry_after).filter(|d| !d.is_zero());
                return out.refuse(id, come_back);
            }
            match self.choose(&asked) {
                Some(server) => {
                    asked.at = Some((server.clone(), LaunchNumber(asked.launches)));
                    asked.launches += 1;
                    if let Some(known) = self.servers.get_mut(&server) {
                        known.out += 1;
                    }
                    out.launch(id, &server, asked.answer_by + self.plan.tick * 2 - now);
                }
                None => asked.due = asked.answer_by.min(now + self.plan.tick * 4),
            }
        }
        self.by_time.insert((asked.due, id.clone()));
        self.asked.insert(id.clone(), asked);
    }

    fn give_back(&mut self, asked: &Asked) {
        if let Some((server, _)) = &asked.at
            && let Some(known) = self.servers.get_mut(server)
        {
            known.out = known.out.saturating_sub(1);
        }
    }

    fn settle(&mut self, now: Duration, out: &mut dyn Signalling) {
        while let Some((due, id)) = self.by_time.first().cloned()
            && due <= now
        {
            self.go(now, &id, out);
        }
        if !self.asked.is_empty() && !self.alarm_set {
            self.alarm_set = true;
            out.set_timer(TimerId(0), self.plan.tick);
        }
    }

    fn forget(&mut self, id: &DialogueId) -> Option<Asked> {
        let asked = self.asked.remove(id)?;
        self.by_time.remove(&(asked.due, id.clone()));
        self.give_back(&asked);
        Some(asked)
    }
}

impl Decisions for Plain {
    fn hold_launches_until(&mut self, until: Duration) {
        self.rests_until = until;
    }

    fn server_list_received(
        &mut self, now: Duration, whole: bool, entries: &[ListEntry], out: &mut dyn Signalling,
    ) {
        if whole {
            self.servers.values_mut().for_each(|s| s.active = false);
        }
        for entry in entries {
            let active = entry.state == ServerState::Active;
            let known = self.servers.entry(entry.server.clone());
            let known = known.or_insert(Server { number: entry.number, active, out: 0 });
            (known.number, known.active) = (entry.number, active);
        }
        self.servers.retain(|_, s| s.active || s.out > 0);
        self.settle(now, out);
    }

    fn dialogue_arrived(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Signalling) {
        let answer_by = arrival.cut_off.saturating_sub(self.plan.tick * 2);
        let due = now.max(self.rests_until).min(answer_by.max(now));
        let asked = Asked {
            product: arrival.product,
            first_choice: arrival.first_choice,
            answer_by,
            launches: 0,
            at: None,
            due,
        };
        self.by_time.insert((due, arrival.id.clone()));
        self.asked.insert(arrival.id, asked);
        self.settle(now, out);
    }

    fn caller_left(&mut self, now: Duration, id: &DialogueId, out: &mut dyn Signalling) {
        if let Some(asked) = self.forget(id)
            && let Some((_, launch)) = asked.at.filter(|_| self.plan.may_cancel)
        {
            out.cancel(id, launch);
        }
        self.settle(now, out);
    }

    fn load_reported(
        &mut self, now: Duration, _id: &ServerId, _report: &LoadReport, out: &mut dyn Signalling,
    ) {
        self.settle(now, out);
    }

    fn dialogue_stands(
        &mut self, now: Duration, id: &DialogueId, _launch: LaunchNumber, _server: &ServerId,
        out: &mut dyn Signalling,
    ) {
        self.forget(id);
        self.settle(now, out);
    }

    fn launch_ended(&mut self, now: Duration, end: LaunchEnd, out: &mut dyn Signalling) {
        let ours = |asked: &Asked| asked.at.as_ref() == Some(&(end.server.clone(), end.launch));
        if !end.closed
            && self.asked.get(&end.dialogue).is_some_and(ours)
            && let Some(mut asked) = self.forget(&end.dialogue)
        {
            let doubt = matches!(end.outcome, Outcome::TimedOut | Outcome::BrokenOff | Outcome::Cancelled);
            let wait = if doubt { self.plan.release_time } else { self.plan.tick };
            asked.at = None;
            asked.due = asked.answer_by.min(now + wait);
            self.by_time.insert((asked.due, end.dialogue.clone()));
            self.asked.insert(end.dialogue, asked);
        }
        self.settle(now, out);
    }

    fn timer_fired(&mut self, now: Duration, _timer: TimerId, out: &mut dyn Signalling) {
        self.alarm_set = false;
        self.settle(now, out);
    }
}
