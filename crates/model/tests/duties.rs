//! Orders of vote, table, lease and action with kills, losses and duplicates: the implemented one, and each incorrect variant.

use lotussaddle_model::{DutyModel, DutyProtocol, ExplorationResult, VoterSetChange, explore};

fn assert_violation(protocol: DutyProtocol, expected: &str) {
    match explore(&DutyModel(protocol), 8_000_000) {
        ExplorationResult::Violated { path, violation } => assert_eq!(violation, expected, "{path:#?}"),
        other => panic!("{protocol:?}: {other:?}"),
    }
}

#[test]
fn implemented_protocol_holds_for_every_order() {
    match explore(&DutyModel(DutyProtocol { max_kills: 0, ..DutyProtocol::IMPLEMENTED }), 8_000_000) {
        ExplorationResult::Holds { states } => {
            println!("{states} states");
            assert!(states > 1000);
        }
        other => panic!("{other:#?}"),
    }
}

/// Not run in CI. `LOTUSSADDLE_STATES` bounds the number of states.
#[test]
#[ignore = "takes minutes"]
fn implemented_protocol_holds_with_kills() {
    let max_states =
        std::env::var("LOTUSSADDLE_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(10_000_000);
    for kills in [1, 2] {
        let result =
            explore(&DutyModel(DutyProtocol { max_kills: kills, ..DutyProtocol::IMPLEMENTED }), max_states);
        println!("{kills} kills: {result:#?}");
        assert!(!matches!(result, ExplorationResult::Violated { .. }));
    }
}

#[test]
fn sending_a_vote_before_persisting_it_is_a_violation() {
    assert_violation(
        DutyProtocol { persists_first: false, ..DutyProtocol::IMPLEMENTED },
        "two are agreed on under one number",
    );
}

#[test]
fn remembering_a_vote_without_its_candidate_is_a_violation() {
    assert_violation(
        DutyProtocol { terms_per_candidate: false, ..DutyProtocol::IMPLEMENTED },
        "two hold it at once",
    );
}

#[test]
fn counting_a_lease_from_the_reply_is_a_violation() {
    assert_violation(
        DutyProtocol { lease_from_request: false, max_kills: 0, ..DutyProtocol::IMPLEMENTED },
        "two hold it at once",
    );
}

#[test]
fn receivers_that_ignore_fencing_tokens_are_a_violation() {
    assert_violation(
        DutyProtocol { checks_fencing_token: false, max_kills: 0, ..DutyProtocol::IMPLEMENTED },
        "an act under an overtaken number was done",
    );
}

#[test]
fn voting_for_a_candidate_with_an_older_table_is_a_violation() {
    assert_violation(
        DutyProtocol { requires_newest_table: false, max_kills: 0, ..DutyProtocol::IMPLEMENTED },
        "two are agreed on under one number",
    );
}

#[test]
fn adding_two_voters_at_once_is_a_violation_and_adding_one_is_safe() {
    assert!(matches!(
        explore(&VoterSetChange { added_at_once: 1 }, 1_000_000),
        ExplorationResult::Holds { .. }
    ));
    match explore(&VoterSetChange { added_at_once: 2 }, 1_000_000) {
        ExplorationResult::Violated { violation, .. } => {
            assert_eq!(violation, "two chairs at once, by two sets of voters")
        }
        other => panic!("{other:?}"),
    }
}
