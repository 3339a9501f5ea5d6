//! Edge cases of number analysis at one edge proxy: look-ups that hang, and generations of tables that change at each
//! step of a dialogue. Times are in milliseconds; all messages sent are stored.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_edge::{Edge, EdgeEffects, Limits, LinkId, LogTopic, NumberAnalysis};
use lotussaddle_numbers::{Group, Known, Loaded, Tables, Timestamp, no_lines};
use lotussaddle_portability::{Plan, answer, question_of};
use lotussaddle_sheet::Sheet;
use lotussaddle_trunk::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn id(name: &str) -> DialogueId {
    DialogueId(Arc::from(name))
}

#[derive(Default)]
struct Trace {
    links: u64,
    opened: Vec<(LinkId, String)>,
    sent: Vec<(LinkId, Frame)>,
    look_ups: Vec<(usize, Vec<u8>)>,
    loading: Vec<(String, Vec<Arc<Tables>>)>,
    dropped_tables: Vec<String>,
}

impl EdgeEffects for Trace {
    fn send(&mut self, link: LinkId, message: Message) -> bool {
        self.sent.push((link, message.frame));
        true
    }
    fn connect(&mut self, address: &str) -> LinkId {
        self.links += 1;
        self.opened.push((LinkId(self.links), address.into()));
        LinkId(self.links)
    }
    fn close(&mut self, _link: LinkId, _why: &str) {}
    fn log(&mut self, _topic: LogTopic, _line: &str) {}
    fn load_tables(&mut self, name: &str, bases: Vec<Arc<Tables>>) -> bool {
        self.loading.push((name.into(), bases));
        true
    }
    fn send_look_up(&mut self, server: usize, datagram: &[u8]) {
        self.look_ups.push((server, datagram.to_vec()));
    }
    fn drop_tables(&mut self, tables: Vec<Arc<Tables>>) {
        self.dropped_tables.extend(tables.iter().map(|tables| tables.name.clone()));
    }
}

const HEAD: &str = r#"
plan "de" { country "49"; area "30"; international "00"; trunk "0"; emergency "112"; }
way "north" { route "north"; }
way "south" { route "south"; product "urgent"; }
way "far" { route "south"; first 7; }
way "sure" { ported; table "carriers"; else "north"; late "refuse"; within "5s" }
tenant "*" { plan "de"; table "main"; }
"#;

/// The old generation looks up whether a number was ported and routes it north or south accordingly; the new one
/// routes it south without a look-up, as another product.
fn sheet(name: &str) -> String {
    let rest = match name {
        "old" => {
            r#"way "moved" { ported; table "carriers"; else "north"; late "go-on"; within "300ms" }
               table "main" { prefix "112" "north"; prefix "+49" "moved"; prefix "+40" "sure"; prefix "+41" "far" }
               table "carriers" { otherwise "south" }"#
        }
        "new" => {
            r#"table "main" { prefix "112" "north"; otherwise "south" }
               table "carriers" { otherwise "north" }"#
        }
        other => other,
    };
    // The ways of the two generations have different indices, so that mixing them shows.
    let first = if name == "new" { "way \"first\" { refuse \"first\"; }\n" } else { "" };
    format!("{first}{HEAD}{rest}")
}

fn known() -> Known {
    let group = |name: &str, cores: &[i64]| Group { name: name.into(), cores: cores.to_vec() };
    Known {
        groups: vec![group("north", &[0, 1]), group("south", &[2, 3, 7])],
        products: vec!["voice".into(), "urgent".into()],
        tenants: vec![],
    }
}

fn tables(name: &str) -> Result<Arc<Tables>, String> {
    let sheet = Sheet::read(name, &sheet(name)).map_err(|mistakes| mistakes.to_string())?;
    let loaded = Loaded::read(&sheet.root(), name, &known(), &no_lines, &|_| None);
    sheet.finish().map_err(|mistakes| mistakes.to_string())?;
    Ok(Arc::new(Tables::of(loaded, &|_| None).unwrap()))
}

fn plan() -> RoutePlan {
    let product = |servers: Option<&[i64]>| Product {
        promised: ms(1500),
        mean_duration: ms(8000),
        redial_window: ms(9000),
        gain: 1.0,
        late_share: 0.25,
        servers: servers.map(|all| all.iter().copied().map(ServerNumber).collect()),
    };
    // Each of two products without a trunk group, in the north and in the south.
    let groups: [Option<&[i64]>; 3] = [None, Some(&[0, 1]), Some(&[2, 3, 7])];
    RoutePlan {
        proxies: 1,
        products: (0..2).flat_map(|_| groups.map(product)).collect(),
        tenants: vec![],
        over_quota_share: 0.2,
        tick: ms(5),
        release_time: ms(300),
        resend_after: Duration::ZERO,
        max_launches: 4,
        callers_mark_retries: true,
        may_cancel: true,
        max_retry_after: ms(2000),
        cold_start_share: 0.4,
        warm_up_time: ms(10_000),
        overload_multiple: 2.5,
        overload_window: Duration::from_secs(1),
    }
}

fn dial(name: &str, number: &str, time_left: u64) -> Dial {
    Dial {
        dialogue: id(name),
        key: None,
        product: 0,
        tenant: None,
        first_choice: ServerNumber(0),
        width: 1.0,
        time_left: ms(time_left),
        is_retry: false,
        redialled_after_cut: false,
        is_repeat: false,
        sent_at: None,
        try_of: None,
        dialled: Some(number.into()),
    }
}

struct Bench {
    edge: Edge,
    trace: Trace,
    now: u64,
}

impl Bench {
    fn without_tables() -> Self {
        Self::with(Plan::default())
    }

    fn with(look_ups: Plan) -> Self {
        let mut edge = Edge::new("edge-0", "list", plan(), 7, Limits::default());
        let wall: Timestamp = "2026-12-31T22:59:50Z".parse().unwrap();
        edge.use_number_analysis(NumberAnalysis::new(vec![ms(1500); 2], 2, wall, Some((look_ups, 1))));
        let mut bench = Self { edge, trace: Trace::default(), now: 0 };
        bench.at(0);
        let list = bench.link_to("list");
        bench.edge.link_connected(ms(0), list, &mut bench.trace);
        bench.receives(list, Frame::Hello(Hello::new(Role::List, "list".into())));
        let entries = (0..4).map(|n| Entry {
            server: ServerId(Arc::from(format!("core-{n}"))),
            number: ServerNumber(n),
            address: Arc::from(format!("core-{n}")),
            state: ServerState::Active,
            incarnation: 0,
            age: Duration::ZERO,
        });
        bench.receives(list, Frame::List { is_complete: true, entries: entries.collect() });
        for n in 0..4 {
            let name = format!("core-{n}");
            let link = bench.link_to(&name);
            bench.edge.link_connected(ms(0), link, &mut bench.trace);
            bench.receives(link, Frame::Hello(Hello::new(Role::Core, name.as_str().into())));
        }
        for (link, name) in [(100, "gateway"), (101, "gateway")] {
            bench.edge.link_opened(ms(0), LinkId(link), &mut bench.trace);
            bench.receives(LinkId(link), Frame::Hello(Hello::new(Role::Caller, name.into())));
        }
        bench.at(10);
        bench
    }

    fn new() -> Self {
        let mut bench = Self::without_tables();
        bench.edge.number_analysis().unwrap().set_initial_tables(tables("old").unwrap());
        bench
    }

    fn link_to(&self, address: &str) -> LinkId {
        self.trace.opened.iter().rev().find(|(_, known)| known == address).expect("it was opened").0
    }

    fn at(&mut self, time: u64) -> &mut Self {
        while self.edge.next_due() <= ms(time) {
            let due = self.edge.next_due().max(ms(self.now));
            self.now = due.as_millis() as u64;
            self.edge.timer_fired(due, &mut self.trace);
        }
        self.now = time;
        self
    }

    fn receives(&mut self, link: LinkId, frame: Frame) -> &mut Self {
        self.edge.frame_received(ms(self.now), link, frame.into(), &mut self.trace);
        self
    }

    fn dials_for(&mut self, name: &str, number: &str, time_left: u64) -> &mut Self {
        self.receives(LinkId(100), Frame::Dial(dial(name, number, time_left)))
    }

    fn dials(&mut self, name: &str, number: &str) -> &mut Self {
        self.dials_for(name, number, 3000)
    }

    fn replies(&mut self, question: usize, moved: bool) -> &mut Self {
        let (server, asked) = self.trace.look_ups[question].clone();
        let asked = question_of(&asked, "e164.arpa").unwrap().0;
        let rule = [(1, 1, "u", "E2U+pstn:tel", "!^.*$!tel:+49;npdi;rn=+49999!", ".")];
        let reply = answer(&asked, moved.then_some(&rule[..]), 60);
        self.edge.look_up_reply_received(ms(self.now), server, &reply, &mut self.trace);
        self
    }

    fn orders(&mut self, serial: u64, order: TablesOrder) -> &mut Self {
        let list = self.link_to("list");
        self.receives(list, Frame::Tables { serial, order })
    }

    /// Completes all pending loads of generations.
    fn completes_loads(&mut self) -> &mut Self {
        for (name, _bases) in std::mem::take(&mut self.trace.loading) {
            self.edge.tables_loaded(ms(self.now), &name, tables(&name), &mut self.trace);
        }
        self
    }

    fn loads_and_swaps(&mut self, serial: u64, name: &str, after: u64) -> &mut Self {
        self.orders(serial, TablesOrder::Load { name: name.into() });
        self.orders(serial + 1, TablesOrder::Swap { name: name.into(), after: ms(after) }).completes_loads()
    }

    fn launches(&self, name: &str) -> Vec<(String, Launch)> {
        let address =
            |link: &LinkId| self.trace.opened.iter().find(|(known, _)| known == link).unwrap().1.clone();
        let launches = self.trace.sent.iter().filter_map(|(link, frame)| match frame {
            Frame::Launch(launch) if launch.dialogue.0.as_ref() == name => {
                Some((address(link), launch.clone()))
            }
            _ => None,
        });
        launches.collect()
    }

    fn sent_about(&self, name: &str) -> Vec<&Frame> {
        let of = |frame: &&Frame| frame.dialogue().is_some_and(|d| d.0.as_ref() == name);
        self.trace.sent.iter().map(|(_, frame)| frame).filter(of).collect()
    }

    fn table_results(&self) -> Vec<(u64, u64, String)> {
        let table_results = self.trace.sent.iter().filter_map(|(_, frame)| match frame {
            Frame::TablesResult { serial, in_force, why, .. } => {
                Some((*serial, *in_force, why.as_deref().unwrap_or("done").to_string()))
            }
            _ => None,
        });
        table_results.collect()
    }
}

/// The generation of `sheet` that produced a launch.
fn generation_of(launch: &(String, Launch)) -> &'static str {
    let (address, launch) = launch;
    let south = address == "core-2" || address == "core-3";
    match (south, launch.product, launch.routing.is_some()) {
        (false, 0, false) | (true, 1, true) => "old",
        (true, 1, false) => "new",
        other => panic!("a mixture of both generations: {address} {other:?}"),
    }
}

#[test]
fn a_look_up_that_times_out_is_routed_unported_and_its_answer_is_cached() {
    let mut b = Bench::new();
    b.dials("d1", "089333").at(309);
    assert_eq!(b.launches("d1"), [], "the dialogue waits for its look-up");
    b.at(311);
    assert_eq!(generation_of(&b.launches("d1")[0]), "old");
    assert!(b.launches("d1")[0].1.routing.is_none());
    b.at(350).replies(0, true);
    assert_eq!(b.launches("d1").len(), 1, "a late answer has no effect on the dialogue");
    b.dials("d2", "089333");
    let moved = &b.launches("d2")[0].1;
    assert_eq!((moved.routing.as_deref(), moved.number.as_deref()), (Some("+49999"), Some("+4989333")));
    let counts = b.edge.counts();
    assert_eq!((counts.analysed, counts.looked_up, counts.unanswered), (2, 1, 1));
}

#[test]
fn a_dialogue_that_needs_a_look_up_is_refused_in_time_if_that_hangs() {
    let mut b = Bench::new();
    b.dials("d1", "0040333333").at(425);
    assert_eq!(b.sent_about("d1"), Vec::<&Frame>::new());
    // All attempts end before the deadline; the caller is then notified at once.
    b.at(435);
    assert!(matches!(b.sent_about("d1")[..], [Frame::Refused { .. }]));
    // A dialogue with little time left is refused before its cut-off.
    let mut b = Bench::new();
    b.dials_for("d2", "0040333333", 100).at(109);
    assert!(matches!(b.sent_about("d2")[..], [Frame::Refused { .. }]), "{:?}", b.sent_about("d2"));
}

#[test]
fn a_caller_that_hangs_up_during_the_look_up_leaves_no_residue() {
    let mut b = Bench::new();
    b.dials("d1", "089333").at(50);
    b.receives(LinkId(100), Frame::HangUp { dialogue: id("d1") });
    assert_eq!((b.edge.sizes().0, b.edge.number_analysis().unwrap().pending_look_ups()), (0, 0));
    b.at(60).replies(0, true).at(2000);
    assert_eq!(b.sent_about("d1"), Vec::<&Frame>::new());
    assert_eq!((b.edge.sizes().0, b.edge.number_analysis().unwrap().pending_look_ups()), (0, 0));
    // Losing the caller's link has the same effect.
    b.dials("d2", "089444").at(2050);
    b.edge.link_closed(ms(2050), LinkId(100), "closed by its peer", &mut b.trace);
    b.at(5000);
    assert_eq!(b.sent_about("d2"), Vec::<&Frame>::new());
    assert_eq!(b.edge.sizes().0, 0);
}

#[test]
fn a_dialogue_dialled_again_on_another_link_during_the_look_up_is_launched_once() {
    let mut b = Bench::new();
    b.dials("d1", "089333").at(50);
    b.receives(LinkId(101), Frame::Dial(dial("d1", "089333", 2900))).at(60).replies(0, false).at(70);
    assert_eq!(b.launches("d1").len(), 1);
    let report = LoadReport::default();
    let link = b.link_to(&b.launches("d1")[0].0);
    b.receives(link, Frame::Stood { dialogue: id("d1"), launch: LaunchNumber(0), report });
    let stands: Vec<LinkId> =
        b.trace.sent.iter().filter(|(_, f)| matches!(f, Frame::Stands { .. })).map(|(l, _)| *l).collect();
    assert_eq!(stands, [LinkId(101)]);
}

#[test]
fn an_answer_read_after_its_deadline_is_too_late() {
    let mut b = Bench::new();
    b.dials("d1", "089333");
    b.now = 700; // a stall until then, with the answer queued
    b.replies(0, true);
    let launches = b.launches("d1");
    assert_eq!((launches.len(), launches[0].1.routing.is_none()), (1, true));
}

/// Runs one dialogue in steps, with the tables swapped before each step in turn.
#[test]
fn a_swap_at_any_step_leaves_a_dialogue_with_one_generation() {
    let mut seen = std::collections::BTreeSet::new();
    for swap_before in 0..9 {
        for undo_before in swap_before..10 {
            for moved in [false, true] {
                let mut b = Bench::new();
                let mut launch = None;
                for step in 0..9u64 {
                    b.at(20 + step * 20);
                    if step == swap_before {
                        b.loads_and_swaps(1, "new", 0);
                    }
                    if step == undo_before {
                        b.orders(5, TablesOrder::Undo { of: 2, to: None });
                    }
                    match step {
                        1 => drop(b.dials("d1", "089333")),
                        3 if !b.trace.look_ups.is_empty() => drop(b.replies(0, moved)),
                        4 => {
                            // The first launch is turned back and followed by another.
                            let (address, sent) = b
                                .launches("d1")
                                .last()
                                .expect("the dialogue was launched before step 4")
                                .clone();
                            let link = b.link_to(&address);
                            let (report, cause) = (LoadReport::default(), TurnBackCause::Processor);
                            let (dialogue, no) = (id("d1"), sent.launch);
                            b.receives(link, Frame::TurnedBack { dialogue, launch: no, cause, report });
                            launch = Some(sent);
                        }
                        _ => {}
                    }
                }
                b.at(2000);
                let launches = b.launches("d1");
                assert!(launches.len() >= 2 && launch.is_some(), "{launches:?}");
                let generations: std::collections::BTreeSet<_> = launches.iter().map(generation_of).collect();
                assert_eq!(
                    generations.len(),
                    1,
                    "swap before step {swap_before}, undo before {undo_before}: {launches:?}"
                );
                let wanted = if swap_before <= 1 && undo_before > 1 { "new" } else { "old" };
                assert!(
                    generations.contains(wanted),
                    "swap before {swap_before}, undo before {undo_before}: {generations:?}"
                );
                seen.extend(generations);
            }
        }
    }
    assert_eq!(seen.len(), 2, "both generations occurred");
}

#[test]
fn a_timed_swap_and_manual_orders_with_thousands_of_pending_look_ups() {
    // The circuit breaker is off: servers that hang are still asked, so that all look-ups wait until they time out.
    let mut b = Bench::with(Plan { breaks: false, ..Plan::default() });
    b.edge.number_analysis().unwrap().set_initial_tables(tables("old").unwrap());
    // A swap in 200 ms, and 3,000 dialogues whose look-ups are pending by then.
    b.loads_and_swaps(1, "new", 200);
    for n in 0..3000 {
        b.dials(&format!("d{n}"), &format!("089{n:06}"));
    }
    assert!(b.edge.number_analysis().unwrap().pending_look_ups() > 2900);
    b.at(209);
    // A manual swap back to the old generation at that moment, which is then undone.
    b.orders(4, TablesOrder::Swap { name: "old".into(), after: ms(1) }).at(210);
    assert_eq!(
        b.table_results().iter().filter(|(s, f, _)| s == f).map(|(s, ..)| *s).collect::<Vec<_>>(),
        [2, 4]
    );
    b.orders(5, TablesOrder::Undo { of: 4, to: Some("new".into()) });
    assert_eq!(b.edge.number_analysis().unwrap().generations.in_force().unwrap().name, "new");
    b.dials("late", "089333");
    assert_eq!(generation_of(&b.launches("late")[0]), "new");
    // All pending look-ups continue with the old generation.
    let generations_alive = b.edge.number_analysis().unwrap().generations.alive();
    assert_eq!(generations_alive, 2);
    for question in 0..b.trace.look_ups.len().min(16) {
        b.replies(question, true);
    }
    b.at(900);
    for n in 0..3000 {
        if let Some(first) = b.launches(&format!("d{n}")).first() {
            assert_eq!(generation_of(first), "old", "d{n}");
        }
    }
    assert_eq!(b.edge.number_analysis().unwrap().pending_look_ups(), 0);
    assert_eq!(
        b.edge.number_analysis().unwrap().generations.alive(),
        1,
        "the old generation is no longer referenced"
    );
}

#[test]
fn an_unlisted_first_choice_is_replaced_by_another_server_of_its_group() {
    let mut b = Bench::new();
    b.dials("d1", "0041333333").at(50);
    // Core server 7 is in the group but not listed, so the module skips it.
    let address = &b.launches("d1")[0].0;
    assert!(address == "core-2" || address == "core-3", "{address}");
}

#[test]
fn numbers_are_declined_without_tables_and_invalid_tables_change_nothing() {
    let mut b = Bench::without_tables();
    b.dials("d1", "089333");
    assert!(matches!(b.sent_about("d1")[..], [Frame::Declined { why: DeclineReason::NotReady, .. }]));
    b.loads_and_swaps(1, "way \"broken\" { }", 0);
    assert_eq!(b.table_results().last().unwrap().2, "generation way \"broken\" { } is not staged");
    b.loads_and_swaps(5, "new", 0).dials("d2", "089333");
    assert_eq!(generation_of(&b.launches("d2")[0]), "new");
    b.loads_and_swaps(7, "way \"broken\" { }", 0).dials("d3", "089334");
    assert_eq!(generation_of(&b.launches("d3")[0]), "new");
}

#[test]
fn orders_wait_while_a_generation_is_loaded_up_to_a_maximum() {
    let mut b = Bench::new();
    b.orders(1, TablesOrder::Load { name: "new".into() });
    for serial in 2..300 {
        b.orders(serial, TablesOrder::Drop { of: 1 });
    }
    assert_eq!(b.table_results().iter().filter(|(.., why)| why == "too many orders wait").count(), 298 - 256);
    b.completes_loads();
    // Each order has had exactly one answer.
    let mut answered: Vec<u64> = b.table_results().into_iter().map(|(serial, ..)| serial).collect();
    answered.sort_unstable();
    assert_eq!(answered, (1..300).collect::<Vec<_>>());
}

#[test]
fn emergency_numbers_are_never_looked_up_and_unroutable_numbers_are_refused_at_once() {
    let mut b = Bench::new();
    b.dials("d1", "112").dials("d2", "0041").dials("d3", "#31#");
    assert_eq!(b.launches("d1").len(), 1);
    for name in ["d2", "d3"] {
        assert!(matches!(b.sent_about(name)[..], [Frame::Refused { .. }]), "{name}");
    }
    assert!(b.trace.look_ups.is_empty());
}
