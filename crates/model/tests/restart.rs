//! Orders of record, launch and answer over kills: those that are right, and each that is not by its shortest way.

use lotussaddle_model::{Design, Explored, Launches, Restart, explore};

fn explored(design: Design) -> Explored {
    explore(&Restart(design), 1_000_000)
}

fn breaks(design: Design, wanted: &str, step: &str) {
    match explored(design) {
        Explored::Breaks { way, what } => {
            assert!(what.starts_with(wanted), "{design:?}: {what}: {way:#?}");
            assert!(way.iter().any(|event| event == step), "{design:?}: {way:#?}");
        }
        other => panic!("{design:?}: {other:?}"),
    }
}

#[test]
fn two_designs_hold_through_every_order_of_three_kills() {
    for design in [Design::RECORDED, Design::RESTS] {
        match explored(design) {
            Explored::Holds { states } => assert!(states > 100, "{design:?}: only {states} states"),
            other => panic!("{design:?}: {other:#?}"),
        }
    }
}

#[test]
fn each_wrong_order_is_shown_by_a_way_to_where_it_breaks() {
    let recorded = Design::RECORDED;
    breaks(
        Design { answer_recorded_first: false, ..recorded },
        "rule 1",
        "the edge proxy hears that it stands",
    );
    breaks(Design { bars_what_was_out: false, ..recorded }, "rule 5", "killed");
    breaks(Design { launches: Launches::After, ..recorded }, "rule 5", "killed");
    breaks(Design { launches: Launches::Never, ..recorded }, "rule 5", "killed");
    breaks(
        Design { answer_recorded_first: false, ..Design::RESTS },
        "rule 1",
        "the edge proxy hears that it stands",
    );
}

#[test]
fn what_is_too_large_is_said_to_be() {
    assert_eq!(explore(&Restart(Design::RECORDED), 10), Explored::TooLarge { states: 10 });
}
