//! A core server: a processor of one line before lines enough or too few.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, LoadReport};
use lotussaddle_lease::{Duty, Fence, FencingToken};
use lotussaddle_trunk::{
    AuditMessage, DialogueEnd, DutyAction, Frame, HeldLine, Hello, Launch, Message, Owner, Role,
    TurnBackCause, VERSION,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Floor;
use crate::lines::Owners;

/// Which figures it tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reports {
    pub lines: bool,
    pub busy: bool,
    pub queue: bool,
    pub wait: bool,
    pub rate: bool,
}

#[derive(Clone, Debug)]
pub struct CoreFigures {
    pub name: Arc<str>,
    /// Work of the processor, warm and at its ordinary speed.
    pub set_up: Duration,
    pub answer: Duration,
    pub release: Duration,
    pub turn_back: Duration,
    pub repeat: Duration,
    pub lines: f64,
    /// Set-ups are turned back while the wait is longer.
    pub longest_wait: Duration,
    /// A set-up that waits is sent again after this time and then at doubling gaps; zero: never.
    pub resend: Duration,
    /// Answers and releases go ahead of set-ups.
    pub finish_first: bool,
    /// A set-up called off while it waits is not worked on.
    pub drops_cancelled: bool,
    pub cold_share: f64,
    pub warm_after: Duration,
    pub fall_multiple: f64,
    pub fall_within: Duration,
    pub reports: Reports,
    /// Figures are taken so often ...
    pub report_every: Duration,
    /// ... and told so late.
    pub report_late: Duration,
}

impl CoreFigures {
    /// Dialogues a second that the warm processor can set up, answer and release.
    pub fn capacity(&self) -> f64 {
        1.0 / (self.set_up + self.answer + self.release).as_secs_f64()
    }

    fn cost(&self, work: &Work) -> Duration {
        match work {
            Work::SetUp(_) => self.set_up,
            Work::Answer(_) => self.answer,
            Work::Release(_) => self.release,
            Work::TurnBack => self.turn_back,
        }
    }
}

/// What troubles it now.
#[derive(Clone, Debug, PartialEq)]
pub struct Strain {
    /// Work takes so many times as long.
    pub slower: f64,
    /// It takes set-ups and answers nothing.
    pub hung: bool,
    /// This share of its answers never leaves ...
    pub lost: f64,
    /// ... or leaves as a launch broken off.
    pub lost_by_reset: bool,
    /// The part of its lines that is left.
    pub lines: f64,
    pub reports_late: Duration,
}

impl Default for Strain {
    fn default() -> Self {
        let reports_late = Duration::ZERO;
        Self { slower: 1.0, hung: false, lost: 0.0, lost_by_reset: false, lines: 1.0, reports_late }
    }
}

type CallId = (u64, DialogueId, LaunchNumber);

/// Stands for the link of what stands and lost it: its owner is to come for it.
const NO_LINK: u64 = u64::MAX;
/// Lines told in one frame.
const TOLD: usize = 200;

enum Work {
    SetUp(CallId),
    Answer(CallId),
    Release(CallId),
    /// A turn-back has been sent; it costs all the same.
    TurnBack,
}

struct Job {
    work: Work,
    came: Duration,
}

#[derive(PartialEq)]
enum Stage {
    SettingUp,
    Stands,
    Releasing,
    CalledOff,
}

struct Call {
    stage: Stage,
    width: f64,
    /// Whose it is, where its edge proxy is one of a fleet: then it outlasts its link.
    owner: Option<Owner>,
}

pub struct CoreServer {
    pub figures: CoreFigures,
    pub strain: Strain,
    rng: Pcg64Mcg,
    /// When its process last started; none: long ago.
    started: Option<Duration>,
    up: bool,
    fallen: bool,
    /// Links, and whether they have said hello.
    links: BTreeMap<u64, bool>,
    calls: BTreeMap<CallId, Call>,
    owners: Owners,
    /// Numbers of duties that it has seen: on its disk, so that it knows them after a restart.
    fence: Fence,
    first: VecDeque<Job>,
    queue: VecDeque<Job>,
    /// What the processor does, and until when.
    at_work: Option<(Job, Duration)>,
    /// Work that waits, at ordinary speed.
    waiting: Duration,
    used: f64,
    busy: Duration,
    busy_told: Duration,
    /// Figures as they were, oldest first.
    taken: VecDeque<(Duration, LoadReport)>,
    report_at: Duration,
    /// What a cold start has been sent of late, against what it bears.
    pressed: f64,
    pressed_at: Duration,
}

impl CoreServer {
    pub fn new(figures: CoreFigures, seed: u64) -> Self {
        Self {
            strain: Strain::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            started: None,
            up: true,
            fallen: false,
            links: BTreeMap::new(),
            calls: BTreeMap::new(),
            owners: Owners::default(),
            fence: Fence::default(),
            first: VecDeque::new(),
            queue: VecDeque::new(),
            at_work: None,
            waiting: Duration::ZERO,
            used: 0.0,
            busy: Duration::ZERO,
            busy_told: Duration::ZERO,
            taken: VecDeque::new(),
            report_at: Duration::ZERO,
            pressed: 0.0,
            pressed_at: Duration::ZERO,
            figures,
        }
    }

    pub fn is_up(&self) -> bool {
        self.up
    }

    /// It was pushed over when cold, and stays down.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    pub fn started(&self) -> Option<Duration> {
        self.started
    }

    pub fn standing(&self) -> usize {
        self.calls.values().filter(|call| call.stage == Stage::Stands).count()
    }

    /// Lines in use.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// Its process dies; links break.
    pub fn crash(&mut self, floor: &mut dyn Floor) {
        self.up = false;
        for link in std::mem::take(&mut self.links).into_keys() {
            floor.close(link, true);
        }
        self.calls.clear();
        self.owners = Owners::default();
        (self.first, self.queue, self.at_work) = (VecDeque::new(), VecDeque::new(), None);
        (self.waiting, self.used) = (Duration::ZERO, 0.0);
    }

    /// Its process comes back, cold.
    pub fn start(&mut self, now: Duration) {
        if !self.fallen {
            self.up = true;
            self.started = Some(now);
            (self.pressed, self.pressed_at) = (0.0, now);
            self.taken.clear();
            self.report_at = now;
        }
    }

    /// The share of its capacity that it has now.
    pub fn level(&self, now: Duration) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let warmed = now.saturating_sub(started).as_secs_f64() / self.figures.warm_after.as_secs_f64();
        (self.figures.cold_share + (1.0 - self.figures.cold_share) * warmed).min(1.0)
    }

    // Inputs

    pub fn linked(&mut self, link: u64, floor: &mut dyn Floor) {
        if self.up {
            self.links.insert(link, false);
        } else {
            floor.close(link, true);
        }
    }

    pub fn lost(&mut self, now: Duration, link: u64) {
        self.links.remove(&link);
        let from = (link, DialogueId(Arc::from("")), LaunchNumber(0));
        let there: Vec<CallId> =
            self.calls.range(from..).take_while(|(id, _)| id.0 == link).map(|(id, _)| id.clone()).collect();
        for id in there {
            match self.calls.get(&id) {
                Some(Call { stage: Stage::Stands, owner: Some(_), .. }) => self.move_to(&id, NO_LINK),
                _ => self.let_go(now, &id),
            }
        }
        self.go_on(now);
    }

    /// What stands goes on over another link, or over none.
    fn move_to(&mut self, id: &CallId, link: u64) {
        if let Some(call) = self.calls.remove(id) {
            self.calls.insert((link, id.1.clone(), id.2), call);
        }
    }

    pub fn heard(&mut self, now: Duration, link: u64, message: Message, floor: &mut dyn Floor) {
        let Some(greeted) = self.links.get_mut(&link) else { return };
        match message.frame {
            // The link answers, not the processor: a hung server is there all the same.
            Frame::Ping { nonce } => floor.say(link, Frame::Pong { nonce }.into()),
            Frame::Pong { .. } => {}
            Frame::Hello(hello) if hello.role == Role::Edge && hello.version == VERSION => {
                *greeted = true;
                let hello = Hello::new(Role::Core, self.figures.name.clone());
                floor.say(link, Frame::Hello(hello).into());
            }
            Frame::Launch(launch) if *greeted => self.launched(now, link, launch, floor),
            Frame::Cancel { dialogue, launch } | Frame::Release { dialogue, launch } if *greeted => {
                self.released(now, (link, dialogue, launch), floor);
            }
            Frame::AuditMessage(AuditMessage::ListLines { serial, member, incarnation: life, after })
                if *greeted =>
            {
                let frame = self.holds(serial, member, life, after.as_ref());
                self.answer(link, frame, floor);
            }
            Frame::AuditMessage(AuditMessage::Adopt { dialogue, owner, action: act }) if *greeted => {
                match act.and_then(|act| self.fenced(&act).map(|highest| (act.duty, highest))) {
                    Some((duty, highest)) => {
                        self.answer(
                            link,
                            Frame::AuditMessage(AuditMessage::Fenced { dialogue, duty, highest }),
                            floor,
                        );
                    }
                    None => self.adopted(now, link, dialogue, owner, floor),
                }
            }
            _ => {
                self.links.remove(&link);
                floor.close(link, false);
                self.lost(now, link);
            }
        }
        self.go_on(now);
    }

    pub fn next_due(&self) -> Option<Duration> {
        let done = self.at_work.as_ref().map(|(_, until)| *until).filter(|_| !self.strain.hung);
        Some(done.map_or(self.report_at, |done| done.min(self.report_at))).filter(|_| self.up)
    }

    pub fn alarm(&mut self, now: Duration, floor: &mut dyn Floor) {
        if !self.up {
            return;
        }
        while let Some((job, until)) = self.at_work.take() {
            if until > now || self.strain.hung {
                self.at_work = Some((job, until));
                break;
            }
            self.done(until, job, floor);
            self.go_on(until);
        }
        self.go_on(now);
        if now >= self.report_at {
            self.take_figures(now, floor);
        }
    }

    /// It stands still with all it has, or goes on where it stood.
    pub fn set_hung(&mut self, now: Duration, hung: bool) {
        if let Some((job, until)) = &mut self.at_work
            && self.strain.hung
            && !hung
        {
            // Whatever was at work when it stood still is done over.
            let cost = self.figures.cost(&job.work);
            *until = (*until).max(now + cost.mul_f64(self.strain.slower));
        }
        self.strain.hung = hung;
        self.go_on(now);
    }

    /// Lines are lost or come back; dialogues on lost ones are cut.
    pub fn set_lines(&mut self, now: Duration, share: f64, floor: &mut dyn Floor) {
        self.strain.lines = share;
        while self.used > self.figures.lines * share {
            let there: Vec<&CallId> =
                self.calls.iter().filter(|(_, c)| c.stage == Stage::Stands).map(|(id, _)| id).collect();
            if there.is_empty() {
                break;
            }
            let id = there[self.rng.random_range(0..there.len())].clone();
            self.cut(now, &id, floor);
        }
    }

    /// Cuts all that stands: it is about to stop.
    pub fn cut_all(&mut self, now: Duration, floor: &mut dyn Floor) {
        let there: Vec<CallId> =
            self.calls.iter().filter(|(_, c)| c.stage == Stage::Stands).map(|(id, _)| id.clone()).collect();
        for id in there {
            self.cut(now, &id, floor);
        }
    }

    fn cut(&mut self, now: Duration, id: &CallId, floor: &mut dyn Floor) {
        if let Some(call) = self.calls.remove(id) {
            self.used -= call.width;
            let report = self.told(now);
            let (dialogue, launch) = (id.1.clone(), id.2);
            if id.0 != NO_LINK {
                floor.say(id.0, Frame::Ended { dialogue, launch, end: DialogueEnd::Cut, report }.into());
            }
        }
    }

    // Whose dialogues are

    /// What stands here of a member's lives up to one; of all members where that is none.
    fn holds(&self, serial: u64, member: u16, life: u64, after: Option<&DialogueId>) -> Frame {
        let mut lines: Vec<HeldLine> = (self.calls.iter())
            .filter(|(_, call)| call.stage == Stage::Stands)
            .filter_map(|((_, dialogue, launch), call)| {
                let owner = call
                    .owner
                    .filter(|owner| life == 0 || owner.member == member && owner.incarnation <= life)?;
                let behind = after.is_none_or(|after| dialogue > after);
                behind.then(|| HeldLine { dialogue: dialogue.clone(), launch: *launch, owner })
            })
            .collect();
        lines.sort_by(|a, b| a.dialogue.cmp(&b.dialogue));
        let more = lines.len() > TOLD;
        lines.truncate(TOLD);
        Frame::AuditMessage(AuditMessage::Lines { serial, more, lines })
    }

    /// A duty's act that is not to be done: the highest number that was seen.
    fn fenced(&mut self, act: &DutyAction) -> Option<u64> {
        let number = FencingToken(act.fencing_token);
        self.fence
            .admit(Duty(act.duty), number, act.member, act.incarnation)
            .err()
            .map(|refused| refused.highest.0)
    }

    /// A dialogue is another owner's from now on: what stands of it comes to this link, what is being set up ends.
    fn adopted(
        &mut self, now: Duration, link: u64, dialogue: DialogueId, owner: Owner, floor: &mut dyn Floor,
    ) {
        let mut launch = None;
        let by = match self.owners.heard(now, &dialogue, owner) {
            Err(by) => by,
            Ok(()) => {
                let there: Vec<CallId> = self.calls.keys().filter(|id| id.1 == dialogue).cloned().collect();
                for id in there {
                    let stands = match self.calls.get_mut(&id) {
                        Some(call) if call.stage == Stage::Stands => {
                            call.owner = Some(owner);
                            true
                        }
                        Some(call) if call.stage == Stage::SettingUp => false,
                        _ => continue,
                    };
                    if id.0 != NO_LINK && id.0 != link {
                        let (dialogue, launch) = (dialogue.clone(), id.2);
                        let moved = AuditMessage::Moved { dialogue, launch, by: owner };
                        self.answer(id.0, Frame::AuditMessage(moved), floor);
                    }
                    if stands {
                        launch = Some(id.2.0);
                        self.move_to(&id, link);
                    } else {
                        self.let_go(now, &id);
                    }
                }
                owner
            }
        };
        self.answer(link, Frame::AuditMessage(AuditMessage::Adopted { dialogue, owner, launch, by }), floor);
    }

    /// Lines of dialogues that stand over no link: their owners have not come for them.
    pub fn without_link(&self) -> impl Iterator<Item = &DialogueId> {
        self.calls.keys().filter(|id| id.0 == NO_LINK).map(|(_, id, _)| id)
    }

    // Work

    fn launched(&mut self, now: Duration, link: u64, launch: Launch, floor: &mut dyn Floor) {
        self.press(now, floor);
        if !self.up {
            return;
        }
        let id = (link, launch.dialogue, launch.launch);
        if self.calls.contains_key(&id) {
            return; // A repeat on the wire.
        }
        if let Some(owner) = launch.owner
            && let Err(by) = self.owners.heard(now, &id.1, owner)
        {
            let (_, dialogue, launch) = id;
            return self.answer(
                link,
                Frame::AuditMessage(AuditMessage::Moved { dialogue, launch, by }),
                floor,
            );
        }
        if let Some(owner) = launch.owner {
            self.replace(now, link, &id.1, owner, floor);
        }
        let lines = self.figures.lines * self.strain.lines;
        let cause = if self.used + launch.width > lines {
            Some(TurnBackCause::Lines)
        } else if self.wait(now) > self.figures.longest_wait {
            Some(TurnBackCause::Processor)
        } else {
            None
        };
        if let Some(cause) = cause {
            self.put(now, Work::TurnBack);
            let (_, dialogue, launch) = id;
            let report = self.told(now);
            return self.answer(link, Frame::TurnedBack { dialogue, launch, cause, report }, floor);
        }
        self.used += launch.width;
        let (stage, owner) = (Stage::SettingUp, launch.owner);
        self.calls.insert(id.clone(), Call { stage, width: launch.width, owner });
        self.put(now, Work::SetUp(id));
    }

    /// A dialogue that a higher owner launches anew stands for no lower one.
    fn replace(
        &mut self, now: Duration, link: u64, dialogue: &DialogueId, owner: Owner, floor: &mut dyn Floor,
    ) {
        let lower = |call: &Call| call.owner.is_some_and(|known| known < owner);
        let there = self.calls.iter().filter(|(id, call)| id.1 == *dialogue && lower(call));
        for id in there.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            if id.0 != NO_LINK && id.0 != link {
                let moved = AuditMessage::Moved { dialogue: dialogue.clone(), launch: id.2, by: owner };
                self.answer(id.0, Frame::AuditMessage(moved), floor);
            }
            self.let_go(now, &id);
        }
    }

    /// A cold server that is sent too much for too long falls over.
    fn press(&mut self, now: Duration, floor: &mut dyn Floor) {
        let level = self.level(now);
        if level >= 1.0 {
            return;
        }
        let bears = level * self.figures.capacity() * self.figures.fall_multiple;
        let passed = now.saturating_sub(self.pressed_at).as_secs_f64();
        self.pressed = (self.pressed - bears * passed).max(0.0) + 1.0;
        self.pressed_at = now;
        // A little slack for chance, as three launches at once tell nothing.
        if self.pressed > bears * self.figures.fall_within.as_secs_f64() + 3.0 {
            self.fallen = true;
            floor.mark(&format!("fell {}", self.figures.name));
            self.crash(floor);
        }
    }

    fn released(&mut self, now: Duration, id: CallId, floor: &mut dyn Floor) {
        if self.calls.get(&id).is_some_and(|call| call.stage == Stage::SettingUp) {
            self.let_go(now, &id);
            let (link, dialogue, launch) = id;
            let report = self.told(now);
            return self.answer(
                link,
                Frame::Ended { dialogue, launch, end: DialogueEnd::Released, report },
                floor,
            );
        }
        self.let_go(now, &id);
    }

    /// Its caller or its link wants no more of it.
    fn let_go(&mut self, now: Duration, id: &CallId) {
        let Some(call) = self.calls.get_mut(id) else { return };
        match call.stage {
            Stage::SettingUp => {
                call.stage = Stage::CalledOff;
                let width = std::mem::take(&mut call.width);
                self.used -= width;
            }
            Stage::Stands => {
                call.stage = Stage::Releasing;
                self.put(now, Work::Release(id.clone()));
            }
            Stage::Releasing | Stage::CalledOff => {}
        }
    }

    /// What a new set-up would wait, as far as the processor knows.
    fn wait(&self, now: Duration) -> Duration {
        let rest = self.at_work.as_ref().map_or(Duration::ZERO, |(_, until)| until.saturating_sub(now));
        rest + self.waiting.mul_f64(self.strain.slower / self.level(now))
    }

    fn put(&mut self, now: Duration, work: Work) {
        self.waiting += self.figures.cost(&work);
        let ahead = !matches!(work, Work::SetUp(_)) && self.figures.finish_first;
        let job = Job { work, came: now };
        if ahead {
            self.first.push_back(job)
        } else {
            self.queue.push_back(job)
        }
        self.go_on(now);
    }

    /// Takes up the next work where the processor is free.
    fn go_on(&mut self, now: Duration) {
        while self.at_work.is_none() && self.up && !self.strain.hung {
            let Some(job) = self.first.pop_front().or_else(|| self.queue.pop_front()) else { return };
            // Where the clock is read late, work that came meanwhile did not begin before it came.
            let now = now.max(job.came);
            let mut cost = self.figures.cost(&job.work);
            self.waiting = self.waiting.saturating_sub(cost);
            if let Work::SetUp(id) = &job.work {
                let off = self.calls.get(id).is_none_or(|call| call.stage == Stage::CalledOff);
                if off && self.figures.drops_cancelled {
                    self.calls.remove(id);
                    continue;
                }
                cost += self.figures.repeat * self.repeats(now - job.came);
            }
            let takes = cost.mul_f64(self.strain.slower / self.level(now));
            self.busy += takes;
            self.at_work = Some((job, now + takes));
        }
    }

    /// How often a set-up that waited so long was sent again.
    fn repeats(&self, waited: Duration) -> u32 {
        let (mut gap, mut sum, mut repeats) = (self.figures.resend, self.figures.resend, 0);
        while !gap.is_zero() && waited >= sum && repeats < 8 {
            gap *= 2;
            sum += gap;
            repeats += 1;
        }
        repeats
    }

    fn done(&mut self, now: Duration, job: Job, floor: &mut dyn Floor) {
        match job.work {
            Work::TurnBack => {}
            Work::SetUp(id) => match self.calls.get(&id).map(|call| &call.stage) {
                Some(Stage::CalledOff) => drop(self.calls.remove(&id)),
                Some(_) => self.put(now, Work::Answer(id)),
                None => {}
            },
            Work::Answer(id) => match self.calls.get_mut(&id) {
                Some(call) if call.stage == Stage::SettingUp => {
                    call.stage = Stage::Stands;
                    let report = self.told(now);
                    let (link, dialogue, launch) = id;
                    self.answer(link, Frame::Stood { dialogue, launch, report }, floor);
                }
                _ => drop(self.calls.remove(&id)),
            },
            Work::Release(id) => {
                if let Some(call) = self.calls.remove(&id) {
                    self.used -= call.width;
                    let report = self.told(now);
                    let (link, dialogue, launch) = id;
                    self.answer(
                        link,
                        Frame::Ended { dialogue, launch, end: DialogueEnd::Released, report },
                        floor,
                    );
                }
            }
        }
    }

    /// An answer leaves, if nothing keeps it.
    fn answer(&mut self, link: u64, frame: Frame, floor: &mut dyn Floor) {
        if !self.links.contains_key(&link) {
            return;
        }
        if self.strain.lost > 0.0 && self.rng.random::<f64>() < self.strain.lost {
            if let (Frame::Stood { dialogue, launch, report }, true) = (frame, self.strain.lost_by_reset) {
                // A set-up that is broken off holds no line: nobody will release it.
                if let Some(call) = self.calls.remove(&(link, dialogue.clone(), launch)) {
                    self.used -= call.width;
                }
                floor.say(link, Frame::BrokenOff { dialogue, launch, report }.into());
            }
            return;
        }
        floor.say(link, frame.into());
    }

    // Figures

    fn take_figures(&mut self, now: Duration, floor: &mut dyn Floor) {
        let span = self.figures.report_every.as_secs_f64();
        let busy = (self.busy - self.busy_told).as_secs_f64() / span;
        self.busy_told = self.busy;
        self.report_at = now + self.figures.report_every;
        let told = self.figures.reports;
        let lines = self.figures.lines * self.strain.lines;
        let report = LoadReport {
            free_lines: told.lines.then_some((lines - self.used).max(0.0)),
            total_lines: told.lines.then_some(lines),
            processor_busy: told.busy.then_some(busy.min(1.0)),
            processor_queue: told.queue.then_some(self.queue.len() as f64),
            processor_wait: told.wait.then(|| self.wait(now)),
            rate: told.rate.then(|| self.figures.capacity() * self.level(now) / self.strain.slower),
        };
        self.taken.push_back((now, report));
        if told.lines && !self.strain.hung {
            let report = self.told(now);
            for (link, _) in self.links.iter().filter(|(_, greeted)| **greeted) {
                floor.say(*link, Frame::Report { report: report.clone() }.into());
            }
        }
    }

    /// The newest figures that are old enough to be told.
    fn told(&mut self, now: Duration) -> LoadReport {
        let by = now.saturating_sub(self.figures.report_late + self.strain.reports_late);
        while self.taken.len() > 1 && self.taken[1].0 <= by {
            self.taken.pop_front();
        }
        self.taken.front().filter(|(at, _)| *at <= by).map(|(_, report)| report.clone()).unwrap_or_default()
    }
}
