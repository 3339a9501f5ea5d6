//! Orders of record, launch and answer with kills: the correct ones, and each incorrect one with its shortest path.

use lotussaddle_model::{ExplorationResult, LaunchRecording, RestartDesign, RestartModel, explore};

fn explore_bounded(design: RestartDesign) -> ExplorationResult {
    explore(&RestartModel(design), 1_000_000)
}

fn assert_violation(design: RestartDesign, expected: &str, step: &str) {
    match explore_bounded(design) {
        ExplorationResult::Violated { path, violation } => {
            assert!(violation.starts_with(expected), "{design:?}: {violation}: {path:#?}");
            assert!(path.iter().any(|event| event == step), "{design:?}: {path:#?}");
        }
        other => panic!("{design:?}: {other:?}"),
    }
}

#[test]
fn both_correct_designs_hold_for_every_order_of_three_kills() {
    for design in [RestartDesign::RECORD_FIRST, RestartDesign::HOLD_AFTER_RESTART] {
        match explore_bounded(design) {
            ExplorationResult::Holds { states } => assert!(states > 100, "{design:?}: only {states} states"),
            other => panic!("{design:?}: {other:#?}"),
        }
    }
}

#[test]
fn each_wrong_order_is_reported_with_a_path_to_the_violation() {
    let record_first = RestartDesign::RECORD_FIRST;
    assert_violation(
        RestartDesign { answer_recorded_first: false, ..record_first },
        "rule 1",
        "the edge proxy receives the accepted set-up",
    );
    assert_violation(RestartDesign { blocks_recorded_launches: false, ..record_first }, "rule 5", "killed");
    assert_violation(
        RestartDesign { launch_recording: LaunchRecording::After, ..record_first },
        "rule 5",
        "killed",
    );
    assert_violation(
        RestartDesign { launch_recording: LaunchRecording::Never, ..record_first },
        "rule 5",
        "killed",
    );
    assert_violation(
        RestartDesign { answer_recorded_first: false, ..RestartDesign::HOLD_AFTER_RESTART },
        "rule 1",
        "the edge proxy receives the accepted set-up",
    );
}

#[test]
fn a_model_beyond_the_bound_is_reported_as_too_large() {
    assert_eq!(
        explore(&RestartModel(RestartDesign::RECORD_FIRST), 10),
        ExplorationResult::TooLarge { states: 10 }
    );
}
