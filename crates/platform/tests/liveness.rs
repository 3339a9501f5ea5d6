//! What is suspected of one connection, from what it delivers.

use std::time::Duration;

use lotussaddle_platform::liveness::{Liveness, Suspicion};

const START: Duration = Duration::from_secs(100);

fn after(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

fn unanswering() -> Liveness {
    let mut liveness = Liveness::new(START);
    (0..3).for_each(|_| liveness.overtaken_set_up_cancelled());
    liveness.suspicion = liveness.check(after(10), START, false);
    liveness
}

/// Guards against a suspicion that load reports end although set-ups still get no answer.
#[test]
fn only_an_answer_to_a_set_up_ends_the_suspicion_that_set_ups_are_not_answered() {
    let mut liveness = unanswering();
    assert_eq!(liveness.suspicion, Some(Suspicion::UnansweredSetUps));
    liveness.message_received(after(1000));
    assert_eq!(liveness.suspicion, Some(Suspicion::UnansweredSetUps));
    liveness.set_up_answered();
    assert_eq!((liveness.suspicion, liveness.check(after(1000), START, false)), (None, None));
}

/// Guards against a connection that stays suspected although it delivers again.
#[test]
fn a_complete_message_ends_the_other_suspicions() {
    let mut liveness = Liveness::new(START);
    liveness.input_split(after(0), 3);
    assert_eq!(liveness.check(after(1999), START, false), None);
    assert_eq!(liveness.check(after(2000), START, false), Some(Suspicion::IncompleteMessage));
    liveness.suspicion = Some(Suspicion::IncompleteMessage);
    liveness.message_received(after(2100));
    assert_eq!((liveness.suspicion, liveness.check(after(5000), after(2100), true)), (None, None));
}

/// Guards against suspecting a connection on which the copies of load reports arrive a little later or earlier.
#[test]
fn a_report_is_missing_only_after_its_copies_had_time_to_arrive() {
    let mut liveness = Liveness::new(START);
    liveness.report_received_elsewhere(after(900));
    assert_eq!(liveness.check(after(4900), after(900), false), None, "its copy may have come before");
    liveness.report_received_elsewhere(after(1000));
    assert_eq!(liveness.check(after(2499), after(1000), false), None);
    assert_eq!(liveness.check(after(2500), after(1000), false), Some(Suspicion::MissedReport));
}

/// Guards against suspecting idle connections where no call stands, or where the whole server is silent.
#[test]
fn silence_is_suspected_only_where_ends_are_expected_and_others_deliver() {
    let liveness = Liveness::new(START);
    assert_eq!(liveness.check(after(9000), after(8000), false), None);
    assert_eq!(liveness.check(after(9000), START, true), None);
    assert_eq!(liveness.check(after(4999), after(4000), true), None);
    assert_eq!(liveness.check(after(5000), after(4000), true), Some(Suspicion::Silent));
}
