//! Records doctored to break one rule in one way each: the judge finds that, and only that.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_judge::*;
use lotussaddle_trunk::*;

mod common;
use common::brief;

const CALLER: u64 = 1;
const LIST: u64 = 2;
const A: u64 = 10;
const B: u64 = 11;

fn id(name: &str) -> DialogueId {
    DialogueId(Arc::from(name))
}

/// A record being written, in milliseconds; one edge proxy, servers a and b, a caller's link.
struct Script(Vec<Line>);

impl Script {
    fn new() -> Self {
        let mut script = Self(Vec::new());
        script.put(0, What::Started { edge: 0 });
        for (link, far) in [(CALLER, "callers"), (LIST, "list"), (A, "a"), (B, "b")] {
            script.put(0, What::Up { edge: 0, link, far: far.into() });
        }
        let entries = vec![entry("a", ServerState::Active, 0), entry("b", ServerState::Active, 0)];
        script.passed(0, LIST, Way::In, Frame::List { is_complete: true, entries })
    }

    fn put(&mut self, at: u64, what: What) {
        self.0.push(Line { at: at * 1000, what });
    }

    fn note(mut self, at: u64, what: What) -> Self {
        self.put(at, what);
        self
    }

    fn passed(mut self, at: u64, link: u64, way: Way, frame: Frame) -> Self {
        self.put(at, What::Passed { edge: 0, link, way, message: frame.into() });
        self
    }

    fn dial_as(self, at: u64, name: &str, product: u16, with: impl FnOnce(&mut Dial)) -> Self {
        let mut dial = Dial {
            dialogue: id(name),
            key: None,
            product,
            tenant: None,
            first_choice: ServerNumber(0),
            width: 1.0,
            time_left: Duration::from_millis(3000),
            is_retry: false,
            redialled_after_cut: false,
            is_repeat: false,
            sent_at: None,
            try_of: None,
            dialled: None,
        };
        with(&mut dial);
        self.passed(at, CALLER, Way::In, Frame::Dial(dial))
    }

    fn dial(self, at: u64, name: &str) -> Self {
        self.dial_as(at, name, 0, |_| ())
    }

    fn launch(self, at: u64, link: u64, name: &str, launch: u32) -> Self {
        let time_left = Duration::from_millis(3000);
        let launch = Launch {
            dialogue: id(name),
            launch: LaunchNumber(launch),
            key: None,
            product: 0,
            width: 1.0,
            time_left,
            number: None,
            routing: None,
            owner: None,
        };
        self.passed(at, link, Way::Out, Frame::Launch(launch))
    }

    fn stood(self, at: u64, link: u64, name: &str, launch: u32) -> Self {
        let report = LoadReport::default();
        let frame = Frame::Stood { dialogue: id(name), launch: LaunchNumber(launch), report };
        self.passed(at, link, Way::In, frame)
    }

    fn broken_off(self, at: u64, link: u64, name: &str, launch: u32) -> Self {
        let report = LoadReport::default();
        let frame = Frame::BrokenOff { dialogue: id(name), launch: LaunchNumber(launch), report };
        self.passed(at, link, Way::In, frame)
    }

    fn cancel(self, at: u64, link: u64, name: &str, launch: u32) -> Self {
        self.passed(at, link, Way::Out, Frame::Cancel { dialogue: id(name), launch: LaunchNumber(launch) })
    }

    fn stands(self, at: u64, name: &str) -> Self {
        let frame = Frame::Stands { dialogue: id(name), server: ServerId(Arc::from("a")) };
        self.passed(at, CALLER, Way::Out, frame)
    }

    fn refused(self, at: u64, name: &str) -> Self {
        self.passed(at, CALLER, Way::Out, Frame::Refused { dialogue: id(name), retry_after: None })
    }

    fn failed(self, at: u64, name: &str) -> Self {
        self.passed(at, CALLER, Way::Out, Frame::Failed { dialogue: id(name) })
    }

    fn hang_up(self, at: u64, name: &str) -> Self {
        self.passed(at, CALLER, Way::In, Frame::HangUp { dialogue: id(name) })
    }

    fn list(self, at: u64, whole: bool, entries: Vec<Entry>) -> Self {
        self.passed(at, LIST, Way::In, Frame::List { is_complete: whole, entries })
    }

    fn verdict(self) -> Verdict {
        // A last line, so that what is owed by then is looked at.
        let script = self.note(20_000, What::Note { text: "end".into() });
        let mut judge = Judge::new(brief());
        script.0.iter().for_each(|line| judge.line(line));
        judge.finish()
    }

    /// Which rules were broken, and how.
    fn found(self) -> Vec<(Rule, String)> {
        self.verdict().breaks.into_iter().map(|b| (b.rule, b.what)).collect()
    }
}

fn entry(name: &str, listed: ServerState, life: u64) -> Entry {
    Entry {
        server: ServerId(Arc::from(name)),
        number: ServerNumber(0),
        address: Arc::from("x"),
        state: listed,
        incarnation: life,
        age: Duration::from_millis(life * 10),
    }
}

fn only(found: &[(Rule, String)], rule: Rule, what: &str) {
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].0 == rule && found[0].1.starts_with(what), "{found:?}");
}

/// Much happens and nothing is wrong.
fn good() -> Script {
    Script::new()
        .dial(100, "d1")
        .launch(101, A, "d1", 0)
        .broken_off(150, A, "d1", 0)
        .launch(450, B, "d1", 1)
        .stood(500, B, "d1", 1)
        .stands(501, "d1")
        .dial(600, "d2")
        .launch(601, A, "d2", 0)
        .cancel(900, A, "d2", 0)
        .stood(901, A, "d2", 0)
        .refused(902, "d2")
        .dial(1000, "d3")
        .hang_up(1500, "d3")
        .dial(1600, "d4")
        .failed(4600, "d4")
        .hang_up(5000, "d1")
}

#[test]
fn a_good_record_is_found_good() {
    let verdict = good().verdict();
    assert!(verdict.kept(), "{:?}", verdict.breaks);
    assert_eq!(
        (verdict.dialogues, verdict.stood, verdict.refused, verdict.failed, verdict.left),
        (4, 1, 1, 1, 1)
    );
}

#[test]
fn rule_1_no_answer() {
    let found = good().dial(6000, "d9").launch(6001, A, "d9", 0).found();
    only(&found, Rule::OneAnswer, "no final answer before its cut-off");
}

#[test]
fn rule_1_an_answer_past_the_cut_off() {
    // Found when it is due; the answer that comes then is the same fault.
    only(&good().dial(6000, "d9").failed(9100, "d9").found(), Rule::OneAnswer, "no final answer");
}

#[test]
fn rule_1_two_answers() {
    only(
        &good().dial(6000, "d9").refused(6100, "d9").failed(6200, "d9").found(),
        Rule::OneAnswer,
        "a second",
    );
    only(
        &good().dial(6000, "d9").refused(6100, "d9").refused(6100, "d9").found(),
        Rule::OneAnswer,
        "a second",
    );
}

#[test]
fn rule_1_an_answer_to_nobody() {
    only(&good().refused(6100, "d9").found(), Rule::OneAnswer, "answered, though it was never dialled");
}

#[test]
fn rule_1_an_answer_after_the_hang_up() {
    let found = good().dial(6000, "d9").hang_up(6100, "d9").refused(6200, "d9").found();
    only(&found, Rule::OneAnswer, "answered after its caller hung up");
    // One that crosses it is none.
    assert!(good().dial(6000, "d9").hang_up(6100, "d9").refused(6105, "d9").found().is_empty());
}

#[test]
fn rule_1_something_after_the_answer() {
    let found = good().dial(6000, "d9").refused(6100, "d9").launch(6200, A, "d9", 0).found();
    only(&found, Rule::OneAnswer, "launched after its final answer");
    let over = Frame::Over { dialogue: id("d9"), end: DialogueEnd::Cut };
    let found = good().dial(6000, "d9").refused(6100, "d9").passed(6200, CALLER, Way::Out, over).found();
    only(&found, Rule::OneAnswer, "told that it is over");
}

#[test]
fn rule_1_a_launch_for_nobody() {
    only(&good().launch(6000, A, "d9", 0).found(), Rule::OneAnswer, "launched, though it was never dialled");
    let found = good().dial(6000, "d9").hang_up(6100, "d9").launch(6200, A, "d9", 0).found();
    only(&found, Rule::OneAnswer, "launched after its caller hung up");
}

#[test]
fn rule_1_is_not_owed_by_the_dead_and_the_standing_still() {
    let killed = good().dial(6000, "d9").note(6100, What::Killed { edge: 0 });
    let verdict = killed.verdict();
    assert!(verdict.kept() && verdict.excused == 1, "{verdict:?}");
    let gone = good().dial(6000, "d9").note(6100, What::Gone { edge: 0, link: CALLER });
    let verdict = gone.verdict();
    assert!(verdict.kept() && verdict.excused == 1, "{verdict:?}");
    let still = |answered: u64| {
        let script = good().dial(6000, "d9").note(7000, What::Stalled { edge: 0 });
        script.note(9500, What::Resumed { edge: 0 }).failed(answered, "d9").found()
    };
    assert!(still(9505).is_empty());
    only(&still(9600), Rule::OneAnswer, "answered 0.600 s after its cut-off");
}

#[test]
fn rule_1_holds_over_a_restart() {
    let again = || {
        let script = good().dial(6000, "d9").refused(6100, "d9").note(6150, What::Killed { edge: 0 });
        let script = script.note(6500, What::Started { edge: 0 });
        let script = script.note(6600, What::Up { edge: 0, link: CALLER, far: "callers".into() });
        script.note(6600, What::Up { edge: 0, link: A, far: "a".into() }).dial(6700, "d9")
    };
    only(&again().refused(6800, "d9").found(), Rule::OneAnswer, "answered again after a restart");
    let why = DeclineReason::Concluded;
    let declined = Frame::Declined { dialogue: id("d9"), why, retry_after: None };
    assert!(again().passed(6710, CALLER, Way::Out, declined.clone()).found().is_empty());
    let launched = again().launch(6705, A, "d9", 0).cancel(6706, A, "d9", 0);
    only(
        &launched.passed(6710, CALLER, Way::Out, declined).found(),
        Rule::OneAnswer,
        "launched after its final",
    );
}

#[test]
fn rule_2_two_launches_out() {
    let found = good().dial(6000, "d9").launch(6001, A, "d9", 0).launch(6100, B, "d9", 1).refused(6200, "d9");
    only(&found.found(), Rule::OneLaunch, "launched while another launch of it is out");
}

#[test]
fn rule_2_a_launch_of_what_stands() {
    // Before its caller was told, so that rule 1 has nothing to say.
    let found =
        good().dial(6000, "d9").launch(6001, A, "d9", 0).stood(6050, A, "d9", 0).launch(6060, B, "d9", 1);
    only(&found.refused(6200, "d9").found(), Rule::OneLaunch, "launched while it stands");
}

#[test]
fn rule_3_a_launch_past_the_grace() {
    for (whole, entries) in [
        (false, vec![entry("a", ServerState::Draining, 0)]),
        (false, vec![entry("a", ServerState::Gone, 0)]),
        (true, vec![entry("b", ServerState::Active, 0)]),
    ] {
        let at = |time: u64| {
            let script = good().list(6000, whole, entries.clone()).dial(time - 1, "d9");
            script.launch(time, A, "d9", 0).cancel(time + 10, A, "d9", 0).refused(time + 10, "d9").found()
        };
        assert!(at(7990).is_empty());
        only(&at(8010), Rule::Drain, "launched 2.010 s after the list said");
    }
    // It may be listed again.
    let again = good().list(6000, false, vec![entry("a", ServerState::Gone, 0)]);
    let again = again.list(6500, false, vec![entry("a", ServerState::Active, 1)]).dial(9000, "d9");
    assert!(again.launch(9001, A, "d9", 0).refused(9100, "d9").found().is_empty());
}

#[test]
fn rule_3_counts_from_when_a_proxy_that_stood_still_went_on() {
    let at = |time: u64| {
        let script = good().note(6000, What::Stalled { edge: 0 });
        let script = script.list(6100, false, vec![entry("a", ServerState::Draining, 0)]).dial(6200, "d9");
        let script = script.note(7500, What::Resumed { edge: 0 }).launch(time, A, "d9", 0);
        // Rule 1 gives it time for an answer, too.
        script.cancel(time + 10, A, "d9", 0).refused(time + 10, "d9").found()
    };
    assert!(at(9190).is_empty());
    assert!(at(9490).iter().all(|(rule, _)| *rule != Rule::Drain));
    assert!(at(9510).iter().any(|(rule, _)| *rule == Rule::Drain));
}

/// So many launches in a second to a server that started at 6 s, known or not.
fn pressed(launches: u64, told: bool) -> Vec<(Rule, String)> {
    let mut script = good().note(6000, What::CoreStarted { server: "a".into(), life: 1 });
    if told {
        script = script.list(6100, false, vec![entry("a", ServerState::Active, 1)]);
    }
    for n in 0..launches {
        let (at, name) = (6200 + n * 1000 / launches, format!("p{n}"));
        script = script.dial(at, &name).launch(at, A, &name, 0).stood(at, A, &name, 0).stands(at, &name);
    }
    script.found()
}

#[test]
fn rule_4_a_cold_server_pushed_over() {
    // It bears 0.4 x 10 x 2.5 = 10 a second, and a little more as it warms and for chance.
    assert!(pressed(10, true).is_empty());
    only(&pressed(60, true), Rule::Cold, "cold and sent more than it bears");
    assert!(pressed(60, false).is_empty(), "nobody had been told of the start");
    let fell = good().note(6000, What::CoreStarted { server: "a".into(), life: 1 });
    let fell = fell
        .list(6100, false, vec![entry("a", ServerState::Active, 1)])
        .dial(6200, "d9")
        .launch(6201, A, "d9", 0);
    let fell = fell.note(6210, What::Fell { server: "a".into() }).refused(6300, "d9");
    only(&fell.found(), Rule::Cold, "cold and fell over");
}

#[test]
fn rule_5_a_launch_within_the_release() {
    let script = || good().dial(6000, "d9").launch(6001, A, "d9", 0);
    let after = |doubted: Script, at: u64| doubted.launch(at, B, "d9", 1).refused(at + 100, "d9").found();
    for doubted in [
        script().broken_off(6100, A, "d9", 0),
        script().cancel(6100, A, "d9", 0),
        script().note(6100, What::Gone { edge: 0, link: A }),
    ] {
        let Script(lines) = doubted;
        only(&after(Script(lines.clone()), 6390), Rule::Release, "launched 0.290 s after a launch in doubt");
        assert!(after(Script(lines), 6400).is_empty());
    }
    // A turn-back leaves no doubt.
    let report = LoadReport::default();
    let back = Frame::TurnedBack {
        dialogue: id("d9"),
        launch: LaunchNumber(0),
        cause: TurnBackCause::Lines,
        report,
    };
    assert!(after(script().passed(6100, A, Way::In, back), 6110).is_empty());
}

#[test]
fn each_break_names_dialogue_lines_and_times() {
    let verdict = good().dial(6000, "d9").refused(6100, "d9").failed(6200, "d9").verdict();
    let found = &verdict.breaks[0];
    assert_eq!((found.edge, found.dialogue.as_str()), (0, "d9"));
    assert_eq!((found.lines.len(), found.times.as_slice()), (3, &[6.0, 6.1, 6.2][..]));
    assert_eq!(found.lines[2] - found.lines[0], 2);
}

#[test]
fn gain_is_earned_on_time_once_and_not_when_cut() {
    let stands = |script: Script, at: u64, name: &str| {
        script.launch(at - 1, A, name, 0).stood(at, A, name, 0).stands(at, name)
    };
    // In time 6, late 0.25 of 1, cut 0 of 1, let go 0 of 1, and one that stands in time at its second try 1.
    let mut script = stands(Script::new().dial_as(1000, "dear", 1, |_| ()), 1400, "dear");
    script = stands(script.dial(2000, "late"), 3500, "late");
    script = stands(script.dial(4000, "cut"), 4100, "cut");
    let over = Frame::Over { dialogue: id("cut"), end: DialogueEnd::Cut };
    script = script.passed(5000, CALLER, Way::Out, over).dial(6000, "no").refused(6100, "no");
    script = script.dial(7000, "x").refused(7100, "x");
    script = script.dial_as(7500, "x.1", 0, |d| (d.is_retry, d.try_of) = (true, Some(id("x"))));
    let gain = stands(script, 7900, "x.1").verdict().gain;
    assert_eq!((gain.offered, gain.earned), (10.0, 7.25));
    assert_eq!((gain.by_product["dear"], gain.by_product["plain"]), (1.0, 1.25 / 4.0));
    assert_eq!(gain.worst_product, 1.25 / 4.0);
}

#[test]
fn beyond_its_quota_a_tenant_offers_little() {
    let mut script = Script::new();
    for n in 0..4 {
        let name = format!("d{n}");
        script = script.dial_as(1000 + n, &name, 0, |d| d.tenant = Some(0)).refused(1010, &name);
    }
    let gain = script.verdict().gain;
    assert!((gain.offered - 2.4).abs() < 1e-9, "{gain:?}");
    assert_eq!(gain.worst_tenant, 0.0);
}

#[test]
fn a_record_is_read_back_line_by_line_and_its_mistakes_are_placed() {
    let script = good();
    let mut text = Vec::new();
    write_line(&mut text, &brief()).unwrap();
    script.0.iter().for_each(|line| write_line(&mut text, line).unwrap());
    let mut lines = Vec::new();
    let mut found = None;
    let read = read_record(text.as_slice(), |line| lines.push(line), |brief| found = Some(brief));
    assert_eq!((read, found, &lines), (Ok(script.0.len() as u64 + 1), Some(brief()), &script.0));

    let said = |text: &[u8]| read_record(text, |_| (), |_| ()).unwrap_err();
    assert!(said(b"").starts_with("line 1: the record is empty"));
    assert!(said(b"{}\n").starts_with("line 1: no brief"));
    let cut = &text[..text.len() - 20];
    assert!(said(cut).starts_with(&format!("line {}", lines.len() + 1)), "{}", said(cut));
}

const TABLES: &str = r#"
plan "de" { country "49"; area "30"; trunk "0"; }
way "a" { route "a"; }
way "b" { route "b"; product "dear"; }
tenant "*" { plan "de"; table "main"; }
"#;

/// Two generations: one leads all to group a, the other to group b under another product. A launch each, and swaps in
/// between.
fn by_tables(swap_at: Option<u64>, launches: &[(u64, u64, u16)]) -> Vec<(Rule, String)> {
    let generation = |way: &str| format!("{TABLES}table \"main\" {{ otherwise \"{way}\" }}");
    let numbers = NumbersBrief {
        wall: "2026-12-01T00:00:00Z".into(),
        groups: vec![("a".into(), vec![0]), ("b".into(), vec![1])],
        generations: vec![("one".into(), generation("a")), ("two".into(), generation("b"))],
        suffix: "e164.arpa".into(),
    };
    let mut script = Script::new();
    let mut second = entry("b", ServerState::Active, 0);
    second.number = ServerNumber(1);
    script = script.list(1, false, vec![second]);
    type Put = Box<dyn FnOnce(Script) -> Script>;
    let mut lines: Vec<(u64, Put)> = vec![(
        100,
        Box::new(|script| script.dial_as(100, "d1", 0, |dial| dial.dialled = Some("089123456".into()))),
    )];
    if let Some(at) = swap_at {
        lines.push((
            at,
            Box::new(move |script| {
                let order = TablesOrder::Swap { name: "two".into(), after: Duration::ZERO };
                let script = script.passed(at, LIST, Way::In, Frame::Tables { serial: 1, order });
                let tabled =
                    Frame::TablesResult { serial: 1, in_force: 1, name: Some("two".into()), why: None };
                script.passed(at, LIST, Way::Out, tabled)
            }),
        ));
    }
    for (no, (at, link, product)) in launches.iter().copied().enumerate() {
        lines.push((
            at,
            Box::new(move |script| {
                let launch = Launch {
                    dialogue: id("d1"),
                    launch: LaunchNumber(no as u32),
                    key: None,
                    product,
                    width: 1.0,
                    time_left: Duration::from_millis(3000),
                    number: Some("+4989123456".into()),
                    routing: None,
                    owner: None,
                };
                let script = script.passed(at, link, Way::Out, Frame::Launch(launch));
                script.broken_off(at + 10, link, "d1", no as u32)
            }),
        ));
    }
    lines.sort_by_key(|(at, _)| *at);
    for (_, line) in lines {
        script = line(script);
    }
    let script = script.failed(3000, "d1").note(20_000, What::Note { text: "end".into() });
    let mut judge = Judge::new(Brief { numbers: Some(numbers), ..brief() });
    script.0.iter().for_each(|line| judge.line(line));
    judge.finish().breaks.into_iter().map(|found| (found.rule, found.what)).collect()
}

#[test]
fn launches_agree_with_one_generation_and_the_same_all_along() {
    // By the old one, by the new one once it may be in force, and by the old one still where it came before the swap.
    assert_eq!(by_tables(None, &[(110, A, 0), (500, A, 0)]), []);
    assert_eq!(by_tables(Some(50), &[(110, B, 1), (500, B, 1)]), []);
    assert_eq!(by_tables(Some(200), &[(110, A, 0), (500, A, 0)]), []);
    assert_eq!(by_tables(Some(105), &[(110, B, 1), (500, B, 1)]), []);
    let no_generation = "089123456 dialled, launched at core server";
    // The first by one and the second by the other.
    only(&by_tables(Some(200), &[(110, A, 0), (500, B, 1)]), Rule::Tables, no_generation);
    // Half of one and half of the other.
    only(&by_tables(Some(105), &[(110, B, 0)]), Rule::Tables, no_generation);
    only(&by_tables(Some(105), &[(110, A, 1)]), Rule::Tables, no_generation);
    // By one that was over when it was dialled, and by one that nobody had ordered.
    only(&by_tables(Some(50), &[(110, A, 0)]), Rule::Tables, no_generation);
    only(&by_tables(None, &[(110, B, 1)]), Rule::Tables, no_generation);
}
