//! Whole generations: read, refused with all their mistakes, analysed, changed and swapped; the hard cases among
//! them.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle_numbers::*;
use lotussaddle_sheet::{Mistakes, Sheet};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const S: Duration = Duration::from_secs(1);

fn known() -> Known {
    Known {
        groups: vec![
            Group { name: "north".into(), cores: vec![0, 1] },
            Group { name: "south".into(), cores: vec![2, 3] },
        ],
        products: vec!["voice".into(), "emergency".into()],
        tenants: vec!["shop".into(), "clinic".into()],
    }
}

fn load_with(text: &str, base: &dyn Fn(&str) -> Option<Arc<Tables>>) -> Result<Loaded, Mistakes> {
    let sheet = Sheet::read("n.kdl", text)?;
    let lines = |name: &str| match name {
        "many.txt" => Ok("+4931 north # all of it\n\n+4932 south\n".into()),
        "bad.txt" => Ok("+49x north\n+4932\n+4933 nowhere\n+4934 north south\n".into()),
        _ => no_lines(name),
    };
    let loaded = Loaded::read(&sheet.root(), "g", &known(), &lines, base);
    sheet.finish()?;
    Ok(loaded)
}

fn draft(text: &str) -> Draft {
    match load_with(text, &|_| None) {
        Ok(Loaded::Whole(draft)) => draft,
        other => panic!("{other:?}"),
    }
}

fn tables(text: &str) -> Arc<Tables> {
    Arc::new(Tables::new(draft(text)))
}

fn mistakes(text: &str) -> String {
    load_with(text, &|_| None).expect_err("no mistake was found").to_string()
}

const HEAD: &str = r#"
plan "de" { country "49"; area "30"; international "00"; trunk "0"; emergency "112"; short "115"
  extension { from "400"; to "499"; }
}
way "north" { route "north"; }
way "south" { route "south"; product "voice"; first 3; width 2.0; }
way "barred" { refuse "barred"; }
way "rescue" { route "north"; product "emergency"; }
"#;

fn whole(rest: &str) -> String {
    format!("{HEAD}{rest}\ntenant \"*\" {{ plan \"de\"; table \"main\"; }}\n")
}

fn noon() -> Timestamp {
    "2026-12-01T11:00:00Z".parse().unwrap()
}

fn begin(tables: &Arc<Tables>, dialled: &str) -> (Analysis, Step) {
    Analysis::begin(tables.clone(), Some(0), dialled, noon(), 7, true)
}

fn group(step: &Step) -> Option<u16> {
    match step {
        Step::Route(route) => Some(route.group),
        _ => None,
    }
}

#[test]
fn the_longest_prefix_decides_and_says_how() {
    let tables = tables(&whole(
        r#"table "main" { prefix "112" "rescue"; prefix "+49" "north"; range "+4930100" "+4930149" "south"
             prefix "+4930120" "barred"; lines "many.txt"; prefix "4" "south" }"#,
    ));
    for (dialled, out) in [
        ("08", None),        // too short
        ("089333", Some(0)), // +49
        ("100555", Some(1)), // +4930100..
        ("149555", Some(1)),
        ("150555", Some(0)),
        ("00493222222", Some(1)), // many.txt
        ("112", Some(0)),
        ("401", Some(1)), // extension
        ("115", None),    // no prefix
        ("+331234567", None),
    ] {
        assert_eq!(group(&begin(&tables, dialled).1), out, "{dialled}");
    }
    let (analysis, step) = begin(&tables, "120555");
    assert_eq!(step, Step::Refuse(Refusal::Barred("barred".into())));
    assert_eq!(
        analysis.trace(),
        [
            "plan de: 120555 is +4930120555 (Local)",
            "table main: prefix +4930120 of +4930120555 leads to way barred",
            "way barred: refused, barred"
        ]
    );
    let Step::Route(route) = begin(&tables, "100555").1 else { panic!() };
    assert_eq!((route.product, route.first, route.width), (Some(0), Some(3), Some(2.0)));
}

#[test]
fn hours_shares_and_rewriting_chain() {
    let tables = tables(&whole(
        r#"schedule "office" { zone "Europe/Berlin"; open "mon-fri" "08:00" "18:00"; closed "12-25" }
           way "day" { hours "office"; open "split"; closed "barred" }
           way "split" { share 3 "north"; share 1 "south" }
           way "free" { rewrite 6 "+4930"; table "second" }
           table "main" { prefix "112" "rescue"; prefix "+49" "day"; prefix "+49800" "free" }
           table "second" { prefix "+493077" "south"; otherwise "barred" }"#,
    ));
    let at = |time: &str, lot| {
        let time = time.parse().unwrap();
        Analysis::begin(tables.clone(), None, "089333", time, lot, false).1
    };
    assert_eq!(at("2026-12-01T06:59:59Z", 1), Step::Refuse(Refusal::Barred("barred".into())));
    assert_eq!(at("2026-12-25T11:00:00Z", 1), Step::Refuse(Refusal::Barred("barred".into())));
    let south = (0..40_000).filter(|lot| group(&at("2026-12-01T07:00:00Z", *lot)) == Some(1)).count();
    assert!((9_500..10_500).contains(&south), "{south} of 40000 for a share of a quarter");
    let Step::Route(route) = begin(&tables, "0800771").1 else { panic!() };
    assert_eq!((route.group, route.number.to_string().as_str()), (1, "+4930771"));
}

#[test]
fn a_broken_generation_tells_all_its_mistakes() {
    let said = mistakes(
        r#"plan "de" { country "0049"; trunk "+0"; emergency "112"; extension { from "50"; to "49"; } }
plan "de" { country "49"; }
schedule "s" { zone "Europe/Atlantis"; open "monday" "08:00" "18:00"; on "2026-02-30" "08:00" "09:00"; }
way "a" { route "east"; first 9; }
way "b" { route "north"; first 3; }
way "c" { hours "t"; open "a"; closed "zz"; }
way "d" { share 0 "a"; }
way "e" { }
table "main" { prefix "+49x" "a"; prefix "+49" "q"; range "+493" "+4922" "a"; lines "bad.txt"; lines "no.txt"
  prefix "+49" "a" }
tenant "bakery" { plan "fr"; table "main"; }
"#,
    );
    insta::assert_snapshot!(said);
}

#[test]
fn circles_are_found_when_a_generation_is_read() {
    let said = mistakes(&whole(
        r#"way "on" { table "second" }
way "back" { rewrite 1 "+"; table "main" }
way "self" { share 1 "self"; share 1 "north" }
table "main" { prefix "112" "rescue"; prefix "+49" "on" }
table "second" { otherwise "back" }"#,
    ));
    assert!(said.contains("a circle: table main, way on, table second, way back, table main"), "{said}");
    assert!(said.contains("a circle: way self, way self"), "{said}");
}

#[test]
fn a_chain_is_bounded_when_it_is_read() {
    let chain = |long: usize| {
        let ways: String = (0..long)
            .map(|n| {
                format!(
                    "way \"w{n}\" {{ share 1 \"{}\" }}\n",
                    if n + 1 < long { format!("w{}", n + 1) } else { "north".into() }
                )
            })
            .collect();
        whole(&format!("{ways}table \"main\" {{ prefix \"112\" \"rescue\"; prefix \"+49\" \"w0\" }}"))
    };
    // The table, the ways, and the route at their end.
    assert_eq!(group(&begin(&tables(&chain(LONGEST_CHAIN - 2)), "089333").1), Some(0));
    assert!(mistakes(&chain(LONGEST_CHAIN - 1)).contains("leads through more than 16 tables and ways"));
    // Nobody's stack is at stake.
    assert!(mistakes(&chain(10_000)).contains("leads through more than 16"));
}

#[test]
fn an_emergency_number_is_put_through_at_all_hours_or_the_generation_is_refused() {
    for (rest, fine) in [
        (r#"table "main" { prefix "112" "rescue" }"#, true),
        (r#"table "main" { prefix "11" "rescue" }"#, true),
        (r#"table "main" { otherwise "rescue" }"#, true),
        (r#"table "main" { prefix "+49" "north" }"#, false),
        (r#"table "main" { prefix "112" "barred" }"#, false),
        (
            r#"schedule "s" { zone "UTC"; open "mon" "08:00" "09:00" }
               way "day" { hours "s"; open "rescue"; closed "barred" }
               table "main" { prefix "112" "day" }"#,
            false,
        ),
        (
            r#"way "moved" { ported; table "main2"; else "rescue"; late "refuse" }
               table "main2" { otherwise "barred" }
               table "main" { prefix "112" "moved" }"#,
            true,
        ),
    ] {
        let read = load_with(&whole(rest), &|_| None);
        assert_eq!(read.is_ok(), fine, "{rest}: {read:?}");
    }
}

#[test]
fn a_first_choice_that_does_not_exist_is_found_when_it_is_read() {
    let said = mistakes(&whole(
        "way \"odd\" { route \"north\"; first 3; }\ntable \"main\" { prefix \"112\" \"rescue\"; prefix \"+49\" \"odd\" }",
    ));
    assert_eq!(said, "n.kdl:9:28: first choice 3 is not in trunk group north");
}

const MOVES: &str = r#"
way "moved" { ported; table "carriers"; else "north"; late "go-on"; within "200ms" }
way "sure" { ported; table "carriers"; else "north"; late "refuse" }
table "main" { prefix "112" "rescue"; prefix "+49" "moved"; prefix "+4940" "sure" }
table "carriers" { prefix "+49999" "south"; prefix "+4930" "barred"; otherwise "barred" }
"#;

#[test]
fn a_look_up_is_a_step_and_its_answer_another() {
    let tables = tables(&whole(MOVES));
    let (mut analysis, step) = begin(&tables, "089333");
    let number = Digits::parse("+4989333").unwrap();
    assert_eq!(step, Step::Ask { number, late: Late::GoOn, within: Duration::from_millis(200) });
    let Step::Route(route) = analysis.told(Digits::parse("+499991").ok()) else { panic!() };
    assert_eq!((route.group, route.number, route.routing), (1, number, Digits::parse("+499991").ok()));
    // An analysis is told once.
    assert_eq!(analysis.told(None), Step::Refuse(Refusal::NoWay));
    assert_eq!(group(&begin(&tables, "089333").0.told(None)), Some(0));
    assert_eq!(group(&begin(&tables, "089333").0.gives_up()), Some(0));
    assert_eq!(begin(&tables, "040333").0.gives_up(), Step::Refuse(Refusal::Unanswered));
}

#[test]
fn a_number_that_moved_is_not_asked_again() {
    // A leads to a look-up, which leads to B in a table whose way looks up too: A moved to B moved to A.
    let text = whole(
        r#"way "first" { ported; table "second"; else "north" }
           way "then" { ported; table "third"; else "south" }
           table "main" { prefix "112" "rescue"; prefix "+49" "first" }
           table "second" { otherwise "then" }
           table "third" { otherwise "north" }"#,
    );
    let (mut analysis, step) = begin(&tables(&text), "089333");
    assert!(matches!(step, Step::Ask { .. }));
    assert_eq!(group(&analysis.told(Digits::parse("+4989334").ok())), Some(1));
    assert!(
        analysis.trace().iter().any(|line| line.contains("not looked up again")),
        "{:?}",
        analysis.trace()
    );
    // Tables that lead back to a look-up are refused as a circle.
    let back = MOVES.replace("otherwise \"barred\"", "otherwise \"moved\"");
    assert!(mistakes(&whole(&back)).contains("a circle: table carriers, way moved, table carriers"));
}

#[test]
fn a_dialogue_goes_by_its_first_generation_whatever_is_swapped() {
    let old = tables(&whole(MOVES));
    let new = tables(&whole(r#"table "main" { otherwise "rescue" }"#));
    let mut generations = Generations::default();
    let swap = |generations: &mut Generations, tables: &Arc<Tables>, serial, name: &str| {
        generations.stage(tables.clone());
        generations.order(
            S * serial as u32,
            noon(),
            serial,
            Order::Swap { name: name.into(), at: Duration::ZERO },
        )
    };
    assert_eq!(swap(&mut generations, &old, 1, "g"), Swapped::InForce(1, "g".into()));
    let (mut analysis, _) =
        Analysis::begin(generations.in_force().unwrap().clone(), None, "089333", noon(), 1, false);
    swap(&mut generations, &new, 2, "g");
    assert_eq!(group(&analysis.told(Digits::parse("+499991").ok())), Some(1));
    assert!(Arc::ptr_eq(analysis.tables(), &old) && Arc::ptr_eq(generations.in_force().unwrap(), &new));
}

#[test]
fn an_old_generation_goes_with_its_last_dialogue() {
    let text = whole(r#"table "main" { otherwise "rescue" }"#);
    let mut generations = Generations::default();
    let mut held = Vec::new();
    let mut serial = 0;
    let mut swap = |generations: &mut Generations| {
        serial += 1;
        let mut draft = draft(&text);
        draft.name = format!("g{serial}");
        generations.stage(Arc::new(Tables::new(draft)));
        let order = Order::Swap { name: format!("g{serial}"), at: Duration::ZERO };
        generations.order(Duration::ZERO, noon(), serial, order)
    };
    for _ in 0..MOST_ALIVE {
        assert!(matches!(swap(&mut generations), Swapped::InForce(..)));
        held.push(generations.in_force().unwrap().clone());
    }
    assert_eq!(generations.alive(), MOST_ALIVE);
    // Each is still held by a dialogue: no further one comes into force, and the one in force stays.
    assert!(matches!(swap(&mut generations), Swapped::Not(_, NoSwap::TooMany)));
    assert_eq!(generations.in_force().unwrap().name, format!("g{MOST_ALIVE}"));
    held.remove(0);
    drop(generations.take_gone());
    assert_eq!(generations.alive(), MOST_ALIVE - 1);
    assert!(matches!(swap(&mut generations), Swapped::InForce(..)));
    // Without dialogues hundreds of swaps leave a handful of generations.
    held.clear();
    for _ in 0..300 {
        assert!(matches!(swap(&mut generations), Swapped::InForce(..)));
        drop(generations.take_gone());
    }
    assert_eq!(generations.alive(), 1);
}

#[test]
fn a_timed_swap_and_one_by_hand_meet() {
    let text = whole(r#"table "main" { otherwise "rescue" }"#);
    let make = |name: &str| {
        let mut draft = draft(&text);
        draft.name = name.into();
        Arc::new(Tables::new(draft))
    };
    let swap = |name: &str, at| Order::Swap { name: name.into(), at };
    let mut generations = Generations::default();
    for name in ["old", "midnight", "hand"] {
        generations.stage(make(name));
    }
    assert_eq!(generations.order(S, noon(), 1, swap("old", S)), Swapped::InForce(1, "old".into()));
    assert_eq!(generations.order(S, noon(), 2, swap("midnight", S * 10)), Swapped::Waits(2));
    // By hand at the same moment: what was timed for it comes first, by its time, then the hand.
    assert_eq!(generations.next_due(), Some(S * 10));
    assert_eq!(generations.alarm(S * 10, noon()), [Swapped::InForce(2, "midnight".into())]);
    assert_eq!(
        generations.order(S * 10, noon(), 3, swap("hand", S * 10)),
        Swapped::InForce(3, "hand".into())
    );
    // Whoever wants the swap undone that is not the last one any more undoes nothing.
    assert_eq!(
        generations.order(S * 11, noon(), 4, Order::Undo { of: 2, to: None }),
        Swapped::Not(4, NoSwap::NotLast(2))
    );
    assert_eq!(
        generations.order(S * 11, noon(), 5, Order::Undo { of: 3, to: None }),
        Swapped::InForce(5, "midnight".into())
    );
    // An order that comes twice is carried out once.
    assert_eq!(
        generations.order(S * 12, noon(), 5, Order::Undo { of: 5, to: None }),
        Swapped::Not(5, NoSwap::Used(5))
    );
    assert_eq!(
        generations.order(S * 12, noon(), 6, Order::Undo { of: 5, to: None }),
        Swapped::InForce(6, "old".into())
    );
    assert_eq!(
        generations.order(S * 12, noon(), 7, Order::Undo { of: 6, to: None }),
        Swapped::Not(7, NoSwap::Nothing)
    );
    // One that waits can be dropped, and one that is gone by its time changes nothing.
    generations.stage(make("later"));
    generations.order(S * 13, noon(), 8, swap("later", S * 20));
    assert_eq!(generations.order(S * 13, noon(), 9, Order::Drop { of: 8 }), Swapped::Dropped(9));
    assert_eq!(generations.alarm(S * 30, noon()), []);
    assert_eq!(
        generations.order(S * 30, noon(), 10, swap("nobody", S * 40)),
        Swapped::Not(10, NoSwap::NotStaged("nobody".into()))
    );
}

#[test]
fn a_generation_is_not_in_force_before_its_time() {
    let mut draft = draft(&whole(r#"table "main" { otherwise "rescue" }"#));
    draft.from = Some("2027-01-01T00:00:00Z".parse().unwrap());
    let mut generations = Generations::default();
    generations.stage(Arc::new(Tables::new(draft)));
    let order = |at| Order::Swap { name: "g".into(), at };
    let early = generations.order(S, noon(), 1, order(S));
    assert!(matches!(early, Swapped::Not(1, NoSwap::Early(..))), "{early:?}");
    assert!(generations.in_force().is_none());
    let then = "2027-01-01T00:00:00Z".parse().unwrap();
    assert_eq!(generations.order(S * 2, then, 2, order(S)), Swapped::InForce(2, "g".into()));
}

#[test]
fn a_small_change_leaves_the_rest_and_is_checked_as_a_whole() {
    let base =
        tables(&whole(r#"table "main" { prefix "112" "rescue"; prefix "+49" "north"; lines "many.txt" }"#));
    let of = |name: &str| (name == "g").then(|| base.clone());
    let change = load_with(
        r#"of "g"
           way "new" { route "south"; }
           table "main" { put "+4931" "new"; put "+4977" "south"; drop "+4932" }"#,
        &of,
    )
    .unwrap();
    let next = Arc::new(Tables::of(change, &of).unwrap());
    for (dialled, before, after) in
        [("03155555", Some(0), Some(1)), ("07755555", Some(0), Some(1)), ("03255555", Some(1), Some(0))]
    {
        assert_eq!(group(&begin(&base, dialled).1), before, "{dialled}");
        assert_eq!(group(&begin(&next, dialled).1), after, "{dialled}");
    }
    for (text, wrong) in [
        ("of \"x\"\ntable \"main\" { drop \"+49\" }", "n.kdl:1:1: generation x is not here to be changed"),
        ("of \"g\"\ntable \"main\" { drop \"+77\" }", "n.kdl:2:16: +77 is not there to be dropped"),
        ("of \"g\"\ntable \"main\" { put \"+77\" \"no\" }", "n.kdl:2:16: way no is not known"),
        ("of \"g\"\nway \"round\" { table \"main\" }\ntable \"main\" { put \"+77\" \"round\" }", "a circle"),
        ("of \"g\"\ntable \"main\" { drop \"112\" }", "emergency number 112 is not put through"),
        ("of \"g\"\ntable \"main\" { put \"112\" \"barred\" }", "emergency number 112 is not put through"),
    ] {
        let said = load_with(text, &of).expect_err(text).to_string();
        assert!(said.contains(wrong), "{said}");
    }
}

#[test]
fn changes_on_changes_are_bounded() {
    let mut draft = draft(&whole(r#"table "main" { otherwise "rescue" }"#));
    let more = 99_999 - draft.ways.len();
    draft.ways.extend((0..more).map(|n| (format!("w{n}"), Way::Refuse { cause: "full".into() })));
    let base = Arc::new(Tables::new(draft));
    let of = |_: &str| Some(base.clone());
    let change = |ways: usize| {
        let ways: String = (0..ways).map(|n| format!("way \"n{n}\" {{ route \"north\"; }}\n")).collect();
        load_with(&format!("of \"g\"\n{ways}"), &of)
    };
    assert!(change(1).is_ok());
    let said = change(2).unwrap_err().to_string();
    assert_eq!(said, "n.kdl:1:1: 100001 ways and 0 prefixes, over 100000 or 5000000");
}

/// A generation drawn at random, without circles: tables lead to later ones only.
fn drawn(rng: &mut Pcg64Mcg) -> String {
    let mut text = String::from(HEAD);
    text.push_str("schedule \"s\" { zone \"Europe/Berlin\"; open \"mon-fri\" \"08:00\" \"18:00\"; }\n");
    let tables = rng.random_range(1..4usize);
    let mut names: Vec<String> = ["north", "south", "barred"].map(String::from).to_vec();
    let mut blocks = Vec::new();
    for table in (0..tables).rev() {
        let pick = |rng: &mut Pcg64Mcg, names: &[String]| names[rng.random_range(0..names.len())].clone();
        for n in 0..3 {
            let name = format!("w{table}-{n}");
            let (a, b) = (pick(rng, &names), pick(rng, &names));
            let way = match rng.random_range(0..5) {
                0 => format!("hours \"s\"; open \"{a}\"; closed \"{b}\""),
                1 => format!("share {} \"{a}\"; share 2 \"{b}\"", rng.random_range(0..4)),
                2 if table + 1 < tables => format!(
                    "rewrite {} \"+4{}\"; table \"t{}\"",
                    rng.random_range(0..4),
                    rng.random_range(0..10),
                    table + 1
                ),
                3 if table + 1 < tables => format!(
                    "ported; table \"t{}\"; else \"{a}\"; late \"{}\"",
                    table + 1,
                    if rng.random() { "go-on" } else { "refuse" }
                ),
                _ if table + 1 < tables => format!("table \"t{}\"", table + 1),
                _ => "route \"south\"; product \"voice\"".into(),
            };
            text.push_str(&format!("way \"{name}\" {{ {way} }}\n"));
            names.push(name);
        }
        let mut block = format!("table \"t{table}\" {{\n");
        if table == 0 {
            block.push_str("prefix \"112\" \"rescue\"\n");
        }
        let mut there = std::collections::BTreeSet::new();
        for _ in 0..rng.random_range(0..30) {
            let prefix: String = (0..rng.random_range(1..4))
                .map(|_| char::from_digit(rng.random_range(0..4), 10).unwrap())
                .collect();
            if there.insert(prefix.clone()) {
                block.push_str(&format!("prefix \"+4{prefix}\" \"{}\"\n", pick(rng, &names)));
            }
        }
        if rng.random() {
            block.push_str(&format!("otherwise \"{}\"\n", pick(rng, &names)));
        }
        if table == 0 && !block.contains("otherwise") {
            block.push_str("otherwise \"north\"\n");
        }
        blocks.push(block + "}\n");
    }
    blocks.iter().for_each(|block| text.push_str(block));
    text + "tenant \"*\" { plan \"de\"; table \"t0\"; }\n"
}

#[test]
fn generations_come_out_as_the_slow_and_obvious_analysis_has_them() {
    let (mut asked, mut moved, mut refused) = (0, 0, 0);
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let text = drawn(&mut rng);
        let draft = draft(&text);
        let (plain, tables) = (Plain(draft.clone()), Arc::new(Tables::new(draft)));
        for _ in 0..60 {
            let len = rng.random_range(1..12);
            let mut dialled: String =
                (0..len).map(|_| char::from_digit(rng.random_range(0..4), 10).unwrap()).collect();
            if rng.random() {
                dialled = format!("+4{dialled}");
            }
            let at = noon() + S * rng.random_range(0..1_000_000u32);
            let (lot, answer) = (rng.random(), rng.random_range(0..3));
            let to = Digits::parse("+4312").unwrap();
            let says = |_| [None, Some(None), Some(Some(to))][answer];
            let (mut analysis, mut step) = Analysis::begin(tables.clone(), None, &dialled, at, lot, false);
            if let Step::Ask { .. } = step {
                asked += 1;
                step = match says(to) {
                    Some(routing) => analysis.told(routing),
                    None => analysis.gives_up(),
                };
            }
            moved += usize::from(matches!(&step, Step::Route(route) if route.routing.is_some()));
            refused += usize::from(matches!(step, Step::Refuse(_)));
            let wanted = plain.analyse(None, &dialled, at, lot, &says);
            assert_eq!(step, wanted, "{dialled} at {at}, lot {lot}, seed {seed}\n{text}");
        }
    }
    assert!(asked > 500 && moved > 50 && refused > 1000, "{asked} asked, {moved} moved, {refused} refused");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_dialled_is_read_or_refused(dialled in ".{0,60}") {
        let plan = &draft(&whole(r#"table "main" { otherwise "rescue" }"#)).plans[0];
        if let Ok(read) = plan.read(&dialled) {
            prop_assert!(!read.number.is_empty());
            // What it came to, dialled again, stays what it is.
            prop_assert_eq!(plan.read(&read.number.to_string()).map(|again| again.number), Ok(read.number));
        }
    }

    #[test]
    fn whatever_a_sheet_holds_is_read_or_refused_with_places(cut in 0..1000usize, byte in any::<u8>()) {
        let mut text = whole(MOVES).into_bytes();
        let at = cut % text.len();
        text[at] = byte;
        let text = String::from_utf8_lossy(&text).into_owned();
        if let Err(mistakes) = load_with(&text, &|_| None) {
            prop_assert!(!mistakes.all.is_empty() && mistakes.all.iter().all(|m| m.line > 0 && m.column > 0));
        }
    }
}

/// Large tables are read, swapped in and let go by one thread while another analyses: each analysis sees one of them
/// whole. The bench does it with a million prefixes, each second.
#[test]
fn large_tables_swapped_under_load_are_each_seen_whole() {
    let first = tables(&whole("table \"main\" { prefix \"112\" \"rescue\"; prefix \"+49\" \"north\" }"));
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let many: Vec<Digits> = (0..20_000).map(|_| number(&mut rng)).collect();
    // In each generation all of these lead the same way: north in even ones, south in odd ones.
    let (staged, to_stage) = crossbeam_channel::bounded::<Arc<Tables>>(1);
    let (let_go, gone) = crossbeam_channel::unbounded::<Vec<Arc<Tables>>>();
    let (base, prefixes) = (first.clone(), many.clone());
    let loader = std::thread::spawn(move || {
        let mut before = base;
        for round in 0..12u32 {
            let way = WayId(round % 2);
            let puts = prefixes.iter().map(|prefix| (0, *prefix, Some(way))).collect();
            let of = before.name.clone();
            let change = Change { name: format!("g{round}"), of, puts, ..Change::default() };
            before = Arc::new(before.with(change));
            staged.send(before.clone()).unwrap();
            gone.try_iter().for_each(drop);
        }
    });
    let mut generations = Generations::default();
    generations.begin_with(first);
    let (mut serial, mut seen) = (0, 0);
    loop {
        match to_stage.try_recv() {
            Ok(next) => {
                serial += 1;
                let name = next.name.clone();
                generations.stage(next);
                let order = Order::Swap { name, at: Duration::ZERO };
                assert!(matches!(generations.order(S, noon(), serial, order), Swapped::InForce(..)));
                drop(let_go.send(generations.take_gone()));
            }
            Err(crossbeam_channel::TryRecvError::Disconnected) => break,
            Err(crossbeam_channel::TryRecvError::Empty) => {}
        }
        let in_force = generations.in_force().unwrap().clone();
        let south =
            in_force.name.strip_prefix('g').and_then(|n| n.parse::<u32>().ok()).is_some_and(|n| n % 2 == 1);
        for prefix in many.iter().skip(seen % 100).step_by(997) {
            let dialled = format!("{prefix}11");
            let step = Analysis::begin(in_force.clone(), None, &dialled, noon(), 1, false).1;
            assert_eq!(group(&step), Some(u16::from(south)), "{dialled} in {}", in_force.name);
            seen += 1;
        }
    }
    loader.join().unwrap();
    assert!(serial == 12 && seen > 100, "{serial} swaps, {seen} analyses");
}

fn number(rng: &mut Pcg64Mcg) -> Digits {
    let digits = (0..7).map(|_| char::from_digit(rng.random_range(0..10), 10).unwrap());
    Digits::parse("+49").unwrap().join(digits).unwrap()
}
