//! Orders of write, acknowledgement, promise and launch with kills and cuts: the implemented one, and each incorrect variant.

use lotussaddle_model::{ExplorationResult, ReplicaModel, ReplicaProtocol, explore};

fn explore_bounded(protocol: ReplicaProtocol) -> ExplorationResult {
    explore(&ReplicaModel(protocol), 1_000_000)
}

/// Configurations that find most violations in little time: two redials without kills, and one redial with one kill.
const TWO_REDIALS: ReplicaProtocol = ReplicaProtocol { max_kills: 0, ..ReplicaProtocol::IMPLEMENTED };
const ONE_KILL: ReplicaProtocol = ReplicaProtocol { redials: [true, false], ..ReplicaProtocol::IMPLEMENTED };

fn assert_violation(protocol: ReplicaProtocol, expected: &str) {
    match explore_bounded(protocol) {
        ExplorationResult::Violated { path, violation } => assert_eq!(violation, expected, "{path:#?}"),
        other => panic!("{protocol:?}: {other:?}"),
    }
}

#[test]
fn implemented_protocol_holds_for_every_order() {
    match explore_bounded(TWO_REDIALS) {
        ExplorationResult::Holds { states } => {
            println!("{states} states");
            assert!(states > 10_000);
        }
        other => panic!("{other:#?}"),
    }
}

/// Not run in CI: it takes minutes and gigabytes of memory. `LOTUSSADDLE_STATES` bounds the number of states.
#[test]
#[ignore = "takes minutes"]
fn implemented_protocol_holds_with_a_kill() {
    let max_states =
        std::env::var("LOTUSSADDLE_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(10_000_000);
    for redials in [[true, false], [false, true], [true, true]] {
        let result =
            explore(&ReplicaModel(ReplicaProtocol { redials, ..ReplicaProtocol::IMPLEMENTED }), max_states);
        println!("{redials:?}: {result:#?}");
        assert!(!matches!(result, ExplorationResult::Violated { .. }));
    }
}

#[test]
fn asking_too_few_holders_is_a_violation() {
    assert_violation(
        ReplicaProtocol { required_holders: 1, ..TWO_REDIALS },
        "launched though another had answered",
    );
}

#[test]
fn replacing_replicas_in_arrival_order_is_a_violation() {
    assert_violation(
        ReplicaProtocol { merges_replicas: false, ..TWO_REDIALS },
        "launched though another had answered",
    );
}

#[test]
fn acknowledging_a_previous_owner_is_a_violation() {
    assert_violation(
        ReplicaProtocol { refuses_previous_owner: false, ..TWO_REDIALS },
        "launched though another had answered",
    );
}

#[test]
fn using_a_result_while_a_later_launch_is_outstanding_is_a_violation() {
    assert_violation(
        ReplicaProtocol { waits_for_later_launches: false, ..TWO_REDIALS },
        "launched though another had answered",
    );
}

#[test]
fn acknowledging_before_persisting_is_a_violation() {
    assert_violation(
        ReplicaProtocol { persists_first: false, ..ONE_KILL },
        "answered though another has launched it since",
    );
}

#[test]
fn repeating_an_unconfirmed_result_is_a_violation() {
    let protocol = ReplicaProtocol {
        confirms_found_result: false,
        only_killed: Some(1),
        ..ReplicaProtocol::IMPLEMENTED
    };
    match explore(&ReplicaModel(protocol), 6_000_000) {
        ExplorationResult::Violated { violation, .. } => {
            assert_eq!(violation, "launched though another had answered")
        }
        other => panic!("{other:?}"),
    }
}
