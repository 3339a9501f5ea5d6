//! The platform's edge proxy in virtual time: each stage of a dialogue, and the faults of its connections
//! there.

mod harness;

use std::collections::BTreeMap;

use harness::{FEED, Harness, finish};
use lotussaddle_platform::codec::{Tag, cause, code, kind};
use lotussaddle_platform::{CloseMode, SocketId};

#[test]
fn a_call_is_passed_on_unchanged_and_released() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_start(caller, 5, "dest:1;width:1;via:-1");
    let messages = w.take_core_messages();
    let [(core, kind::START, Tag(5), parameters)] = &messages[..] else { panic!("{messages:?}") };
    let expected: [(u8, &[u8]); 4] = [
        (code::CLASS, b"voice"),
        (code::LEFT, b"2000"),
        (code::KEY, b"k5"),
        (code::DESCRIPTION, b"in 5\r\n"),
    ];
    assert_eq!(parameters.iter().map(|(c, v)| (*c, &v[..])).collect::<Vec<_>>(), expected);
    w.answer_from_core(*core, 5);
    let answer =
        "{\"verb\":\"STARTED\",\"tag\":\"0000000000000005\",\"opts\":{},\"blob\":\"out\\r\\n\\\"x\\\"\"}\n";
    assert_eq!(w.take_sent_and_acknowledge(caller), answer);
    w.advance(1000);
    w.end_from_core(*core, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::NORMAL));
    assert_eq!(w.take_core_messages(), []);
    w.assert_nothing_held();
}

#[test]
fn a_set_up_given_up_by_the_module_is_refused_at_once_with_a_retry_time() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_start(caller, 5, "dest:0");
    for _ in 0..2 {
        let messages = w.take_core_messages();
        let Some((core, kind::START, ..)) = messages.last() else { panic!("{messages:?}") };
        w.send_from_core(*core, kind::FINISH, 5, &[(code::CAUSE, &[cause::FULL]), (code::NOTE, b"atb")]);
        w.advance(1);
    }
    let refused =
        "{\"verb\":\"FINISH\",\"tag\":\"0000000000000005\",\"opts\":{\"wait\":\"2000\"},\"rc\":34}\n";
    assert_eq!(w.take_sent_and_acknowledge(caller), refused);
    w.assert_nothing_held();
}

#[test]
fn causes_of_ended_launches_are_distinguished() {
    // After a refusal or an unprocessed launch the next one may follow at once; a busy number is refused; a
    // call that may have stood has ended, and its caller is sent that.
    let after = |cause: u8, note: &[u8]| {
        let mut w = Harness::new();
        let caller = w.new_caller();
        w.send_start(caller, 5, "dest:0");
        let core = w.take_only_set_up();
        w.send_from_core(core, kind::FINISH, 5, &[(code::CAUSE, &[cause]), (code::NOTE, note)]);
        w.advance(5);
        let at_once = w.take_core_messages().len();
        let sent = w.take_sent_and_acknowledge(caller);
        w.advance(200);
        (at_once, w.take_core_messages().len(), !sent.is_empty())
    };
    assert_eq!(after(cause::FULL, b"atb"), (1, 0, false));
    assert_eq!(after(cause::FULL, b"acc"), (1, 0, false));
    assert_eq!(after(cause::NOT_PROCESSED, b""), (1, 0, false));
    assert_eq!(after(cause::ERROR, b""), (1, 0, false));
    assert_eq!(after(cause::BUSY, b"sub"), (0, 0, true));
    assert_eq!(after(cause::RESET, b""), (0, 0, true));
    assert_eq!(after(cause::NORMAL, b""), (0, 0, true));
    assert_eq!(after(99, b""), (0, 0, true));
}

#[test]
fn a_lost_caller_gives_up_its_set_ups_but_no_standing_call() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    w.send_start(caller, 6, "dest:0");
    w.send_start(caller, 7, "dest:0");
    let six = w.take_core_messages().iter().find(|h| h.2 == Tag(6)).unwrap().0;
    w.lose_connection(caller, false);
    let given_up: Vec<_> = w.take_core_messages().into_iter().map(|h| (h.1, h.2, h.3)).collect();
    let finish = |tag| (kind::FINISH, Tag(tag), vec![(code::CAUSE, vec![cause::NORMAL])]);
    assert!(given_up.contains(&finish(6)) && !given_up.contains(&finish(5)), "{given_up:?}");
    // An answer that crossed the cancellation is released and not sent to any caller.
    w.answer_from_core(six, 6);
    assert_eq!(w.take_core_messages().len(), 1);
    let (other, _) = w.new_standing_call(8);
    w.end_from_core(core, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(other), self::finish(5, cause::NORMAL));
}

#[test]
fn a_caller_ends_a_standing_call_on_any_connection_and_a_set_up_on_its_own() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    let other = w.new_caller();
    w.send_line(other, &finish(5, cause::NORMAL));
    let released = w.take_core_messages();
    assert_eq!((released[0].0, released[0].1, released[0].2), (core, kind::FINISH, Tag(5)));
    assert!(
        w.take_sent_and_acknowledge(other).contains("FINISHED")
            && w.take_sent_and_acknowledge(caller).is_empty()
    );
    w.send_from_core(core, kind::FINISHED, 5, &[]);
    w.assert_nothing_held();
    w.send_start(caller, 6, "dest:0");
    w.take_only_set_up();
    w.send_line(other, &finish(6, cause::NORMAL));
    assert!(w.net.closed.contains_key(&other) && w.platform.sizes().0 == 1);
    w.send_line(caller, &finish(6, cause::NORMAL));
    assert_eq!(w.take_core_messages()[0].1, kind::FINISH);
    w.assert_nothing_held();
}

#[test]
fn set_ups_on_a_lost_connection_wait_for_the_release_time() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    w.send_start(caller, 6, "dest:0");
    let lost = w.take_only_set_up();
    w.lose_connection(lost, false);
    w.advance_connecting(100);
    w.advance(40);
    assert_eq!(w.take_core_messages(), [], "it waits for the release time");
    w.advance(20);
    let again = w.take_only_set_up();
    w.answer_from_core(again, 6);
    assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
    // The call that stood before still stands, and its end is applied once, on whichever connection it
    // arrives.
    let last = *w.open_connections_to("127.0.1.1").last().unwrap();
    assert!(last != core && last != again);
    w.end_from_core(last, 5, cause::NORMAL);
    w.end_from_core(last, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::NORMAL));
}

#[test]
fn the_death_of_a_process_cuts_its_calls() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    let all = w.open_connections_to("127.0.1.1");
    w.lose_connection(core, false);
    w.advance(300);
    assert_eq!(w.take_sent_and_acknowledge(caller), "", "a lost connection alone does not end a call");
    for socket in all {
        if socket != core {
            w.lose_connection(socket, false);
        }
    }
    for _ in 0..20 {
        w.advance(50);
        for (socket, address) in std::mem::take(&mut w.net.started_connections) {
            if address.ip().to_string() == "127.0.1.1" {
                w.lose_connection(socket, true);
            } else {
                w.bring_up(socket);
            }
        }
    }
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::RESET));
    w.assert_nothing_held();
}

#[test]
fn an_unreachable_machine_cuts_its_calls_and_an_unresponsive_one_does_not() {
    for vanished in [true, false] {
        let mut w = Harness::new();
        let (caller, _) = w.new_standing_call(5);
        let mut sent = String::new();
        for _ in 0..75 {
            w.advance(100);
            w.send_line(FEED, "1");
            let connects = std::mem::take(&mut w.net.started_connections);
            for (socket, address) in connects {
                if !(vanished && address.ip().to_string() == "127.0.1.1") {
                    w.bring_up(socket);
                }
            }
            sent += &w.take_sent_and_acknowledge(caller);
        }
        assert_eq!(sent, if vanished { finish(5, cause::RESET) } else { String::new() });
    }
}

#[test]
fn an_unresponsive_incarnation_is_not_ended_without_a_descriptor_to_probe_it() {
    let mut w = Harness::new();
    let (caller, _) = w.new_standing_call(5);
    w.net.descriptors_exhausted = true;
    w.advance(9000);
    assert!(!w.take_sent_and_acknowledge(caller).contains("FINISH") && w.platform.sizes().0 == 1);
}

#[test]
fn a_late_answer_to_a_cancelled_launch_is_not_taken_for_the_next_one() {
    let mut w = Harness::new();
    w.send_feed_event(2, r#"{"host":"b","dial":"127.0.1.2:1","block":1,"health":"Gone"}"#);
    w.advance_connecting(100);
    let caller = w.new_caller();
    w.send_start(caller, 5, "dest:0");
    let first = w.take_only_set_up();
    w.advance(5);
    w.send_start(caller, 6, "dest:0");
    let answered_first = w.take_only_set_up();
    w.advance(10);
    w.answer_from_core(answered_first, 6);
    w.take_sent_and_acknowledge(caller);
    w.advance(100);
    let called_off: Vec<_> = w.take_core_messages().into_iter().map(|h| (h.0, h.1, h.2)).collect();
    assert_eq!(called_off, [(first, kind::FINISH, Tag(5))]);
    // It was the last to receive and carries nothing, so it would be chosen for any other call.
    w.send_from_core(first, kind::PENDING, 5, &[]);
    w.advance(100);
    let second = w.take_only_set_up();
    assert_ne!(second, first);
    w.answer_from_core(first, 5);
    assert_eq!((w.take_sent_and_acknowledge(caller), w.take_core_messages()), (String::new(), vec![]));
    w.answer_from_core(second, 5);
    assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
}

#[test]
fn a_release_waits_for_a_connection_to_its_core_server() {
    let mut w = Harness::new();
    let (caller, _) = w.new_standing_call(5);
    for socket in w.open_connections_to("127.0.1.1") {
        w.lose_connection(socket, false);
    }
    w.send_line(caller, finish(5, cause::NORMAL).trim());
    assert_eq!(w.take_core_messages(), []);
    w.advance_connecting(300);
    let released: Vec<_> = w.take_core_messages().into_iter().map(|h| (h.1, h.2)).collect();
    assert_eq!(released, [(kind::FINISH, Tag(5))]);
}

#[test]
fn a_connection_that_does_not_come_up_is_unreachable() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    for socket in w.open_connections_to("127.0.1.1") {
        w.lose_connection(socket, false);
    }
    w.net.started_connections.clear();
    w.send_start(caller, 6, "dest:0");
    assert_eq!(w.take_core_messages(), []);
    w.advance(160);
    // It goes to the other server without waiting for the release time, because the launch never reached the
    // first.
    let other = w.take_only_set_up();
    assert_eq!(w.net.address_of[&other], "127.0.1.2");
    w.answer_from_core(other, 6);
    // A set-up received after a failed connect goes elsewhere at once and does not wait for another connect.
    w.send_start(caller, 7, "dest:0");
    let other = w.take_only_set_up();
    assert_eq!(w.net.address_of[&other], "127.0.1.2");
}

#[test]
fn invalid_answers_close_their_connection_and_are_not_passed_on() {
    let invalid: [&[u8]; 6] = [
        &[0xff, 0xff, 9],
        &[0, 3, 9, 0, 0],
        &[0, 12, 9, 0, 0, 0, 0, 0, 0, 0, 6, 210, 9, 9],
        &[0, 9, 9, 0, 0, 0, 0, 0, 0, 0, 6],
        &[0, 9, 77, 0, 0, 0, 0, 0, 0, 0, 6],
        &[0, 13, 9, 0, 0, 0, 0, 0, 0, 0, 6, 210, 0, 1, 0xff],
    ];
    for bytes in invalid {
        let mut w = Harness::new();
        let (caller, _) = w.new_standing_call(5);
        w.send_start(caller, 6, "dest:0");
        let core = w.take_only_set_up();
        w.platform.bytes_received(w.now, core, bytes, &mut w.net);
        w.end_iteration();
        assert!(w.net.closed.contains_key(&core), "{bytes:?}");
        w.advance(100);
        assert_eq!(w.take_sent_and_acknowledge(caller), "", "{bytes:?}");
        assert_eq!(w.platform.sizes().0, 2, "the standing call is not affected");
    }
}

#[test]
fn duplicate_and_unknown_answers_are_ignored() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_start(caller, 5, "dest:0");
    let core = w.take_only_set_up();
    w.answer_from_core(core, 99);
    w.answer_from_core(core, 5);
    w.answer_from_core(core, 5);
    w.end_from_core(core, 98, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(caller).matches("STARTED").count(), 1);
    assert_eq!(w.take_core_messages(), []);
    assert!(!w.net.closed.contains_key(&core));
    w.end_from_core(core, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::NORMAL));
    w.assert_nothing_held();
}

#[test]
fn a_load_report_repeated_on_another_connection_is_ignored() {
    let mut w = Harness::new();
    let report = |w: &mut Harness, socket, free: &[u8]| {
        w.send_from_core(socket, kind::LOAD, 0, &[(code::LOAD, free)]);
    };
    let (a, b) = (w.open_connections_to("127.0.1.1"), w.open_connections_to("127.0.1.2")[0]);
    report(&mut w, a[0], b"spare:1;total:9;depth:-1");
    report(&mut w, b, b"spare:0;total:9");
    let caller = w.new_caller();
    w.send_start(caller, 5, "dest:0");
    let core = w.take_only_set_up();
    w.answer_from_core(core, 5);
    // Its only free line is taken; a report that says otherwise was sent earlier.
    w.send_start(caller, 6, "dest:0");
    w.advance(50);
    w.establish_connections();
    let new = *w.open_connections_to("127.0.1.1").last().unwrap();
    assert_ne!(new, a[0]);
    w.advance(100);
    report(&mut w, new, b"spare:1;total:9;depth:-1");
    assert_eq!(w.take_core_messages(), []);
    report(&mut w, new, b"spare:2;total:9;depth:-1");
    w.take_only_set_up();
}

#[test]
fn idle_connections_to_core_servers_are_closed_and_replaced() {
    let mut w = Harness::new();
    let before = w.open_connections_to("127.0.1.1");
    w.advance_connecting(500);
    assert!(w.open_connections_to("127.0.1.1").len() >= 2, "two connections are kept open");
    w.advance_connecting(9500);
    assert!(before.iter().all(|socket| w.net.closed.contains_key(socket)));
    assert!(!w.open_connections_to("127.0.1.1").is_empty());
}

#[test]
fn a_call_reported_as_standing_is_held_until_its_end() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_start(caller, 5, "dest:0;at:a");
    w.send_start(caller, 5, "dest:0;at:a");
    w.send_start(caller, 6, "dest:0;at:nowhere");
    assert_eq!(w.take_core_messages(), []);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(6, cause::RESET));
    assert_eq!(w.platform.sizes().0, 1);
    // Either connection to its server may report its end; an end reported before the caller's message is
    // applied as well.
    w.end_from_core(SocketId(1), 7, cause::NORMAL);
    w.send_start(caller, 7, "dest:0;at:a");
    w.end_from_core(SocketId(1), 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(7, cause::NORMAL) + &finish(5, cause::NORMAL));
    w.assert_nothing_held();
}

#[test]
fn invalid_messages_are_refused_or_close_the_connection_and_are_not_passed_on() {
    let start = |class: &str, extras: &str| {
        format!(
            r#"{{"verb":"START","tag":"0000000000000007","opts":{{"class":"{class}","left":"900","extras":"{extras}"}},"blob":"x"}}"#
        )
    };
    let bad = [
        "{".into(),
        "x".repeat(20_000),
        start("no such", "dest:0"),
        start("voice", "dest:7"),
        start("voice", "dest:0;width:3"),
        start("voice", "dest:x"),
        finish(1, 16).trim().into(),
    ];
    for line in bad {
        let mut w = Harness::new();
        let caller = w.new_caller();
        w.send_line(caller, &line);
        let sent = w.take_sent_and_acknowledge(caller);
        assert!(sent.contains("\"rc\":95") || w.net.closed.contains_key(&caller), "{line}: {sent}");
        assert!(!sent.contains("STARTED") && w.take_core_messages().is_empty(), "{line}");
        w.advance(3000);
        assert!(w.net.closed.contains_key(&caller), "{line}");
        w.assert_nothing_held();
    }
}

#[test]
fn another_set_up_with_a_held_identifier_closes_its_connection() {
    let mut w = Harness::new();
    let (caller, bad) = (w.new_caller(), w.new_caller());
    w.send_start(caller, 5, "dest:0");
    let core = w.take_only_set_up();
    w.send_start(bad, 5, "dest:1");
    assert_eq!(
        (w.take_sent_and_acknowledge(bad), w.net.closed.get(&bad)),
        (String::new(), Some(&CloseMode::AfterWriting))
    );
    w.answer_from_core(core, 5);
    assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
    w.send_start(caller, 6, "dest:0");
    w.take_only_set_up();
    w.send_start(caller, 6, "dest:0");
    assert!(w.net.closed.contains_key(&caller));
    assert_eq!(w.take_core_messages()[0].1, kind::FINISH);
    w.end_from_core(core, 5, cause::NORMAL);
}

#[test]
fn connections_are_bounded_and_those_with_an_open_set_up_stay() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_start(caller, 5, "dest:0");
    let idle: Vec<SocketId> = (0..400).map(|_| w.new_caller()).collect();
    assert!(w.platform.sizes().1 <= 128);
    assert!(!w.net.closed.contains_key(&caller) && w.net.closed.contains_key(&idle[0]));
    assert!(!w.net.closed.contains_key(idle.last().unwrap()));
    w.advance(2000);
    assert!(idle.iter().all(|socket| w.net.closed.contains_key(socket)));
}

#[test]
fn a_connection_closed_to_free_a_descriptor_writes_its_last_answer_first() {
    let mut w = Harness::new();
    let callers: Vec<SocketId> = (0..128).map(|n| w.new_standing_call(1000 + n).0).collect();
    w.new_caller();
    assert_eq!(w.net.closed.get(&callers[0]), Some(&CloseMode::AfterWriting));
}

#[test]
fn descriptions_held_are_bounded() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    let blob = "x".repeat(15_000);
    for tag in 0..1000 {
        let line = format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","left":"900","extras":"dest:0"}},"blob":"{blob}"}}"#
        );
        w.send_line(caller, &line);
    }
    assert!(w.platform.auxiliary_sizes().2 <= 2 << 20);
    assert!(w.take_sent_and_acknowledge(caller).contains("\"rc\":42"));
    w.lose_connection(caller, false);
    w.assert_nothing_held();
}

#[test]
fn a_new_incarnation_at_a_known_address_replaces_the_server() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    w.send_feed_event(
        2,
        r#"{"host":"c","dial":"127.0.1.1:1","block":0,"health":"Ready","born_ms":1000000000500}"#,
    );
    assert!(w.net.closed.contains_key(&core), "the old incarnation's connection is closed");
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::RESET));
    w.establish_connections();
    w.assert_nothing_held();
}

#[test]
fn a_draining_server_gets_no_set_ups_and_keeps_its_calls() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    w.send_feed_event(2, r#"{"host":"a","dial":"127.0.1.1:1","block":0,"health":"Terminating","born_ms":0}"#);
    w.send_start(caller, 6, "dest:0");
    let other = w.take_only_set_up();
    assert_ne!(other, core);
    w.end_from_core(core, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::NORMAL));
}

#[test]
fn the_feed_is_requested_again_after_a_timeout_a_gap_or_a_move() {
    let mut w = Harness::new();
    assert_eq!(w.take_sent_and_acknowledge(FEED), "SUB 1\n");
    w.send_feed_event(2, "");
    w.advance(2000);
    assert!(w.net.closed.contains_key(&FEED));
    let feed_socket = |w: &Harness| {
        w.net.started_connections.iter().rev().find(|(_, a)| a.ip().to_string() == "127.0.0.9").unwrap().0
    };
    let second = feed_socket(&w);
    w.bring_up(second);
    assert_eq!(w.take_sent_and_acknowledge(second), "SUB 2\n");
    w.send_line(second, "9");
    assert!(w.net.closed.contains_key(&second), "an event is missing");
    w.platform.feed_moved(w.now, "127.0.0.10:1".parse().unwrap(), &mut w.net);
    let third = w.net.started_connections.last().unwrap().0;
    w.bring_up(third);
    assert_eq!(w.take_sent_and_acknowledge(third), "SUB 2\n");
}

#[test]
fn shutdown_answers_accepted_set_ups_and_fails_health_checks() {
    let mut w = Harness::new();
    let echo = r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#;
    let (caller, stands) = w.new_standing_call(5);
    w.send_line(caller, echo);
    assert!(w.take_sent_and_acknowledge(caller).contains("\"rc\":1"));
    w.platform.start_shutdown(w.now, &mut w.net);
    w.send_line(caller, echo);
    assert!(w.take_sent_and_acknowledge(caller).contains("\"rc\":0"));
    w.advance(300);
    let late = w.new_caller();
    w.send_start(late, 6, "dest:0");
    let core = w.take_only_set_up();
    w.advance(600);
    assert!(
        w.platform.has_stopped_accepting(w.now) && !w.platform.can_exit(w.now),
        "one set-up is not answered"
    );
    w.answer_from_core(core, 6);
    assert!(w.take_sent_and_acknowledge(late).contains("STARTED"));
    // The ends of standing calls are relayed for as long as time is left.
    assert!(!w.platform.can_exit(w.now));
    w.end_from_core(stands, 5, cause::NORMAL);
    assert!(!w.platform.can_exit(w.now));
    w.advance(2000);
    assert!(!w.platform.can_exit(w.now));
    w.advance(700);
    assert!(w.platform.can_exit(w.now));
}

#[test]
fn shutdown_with_nothing_held_ends_early() {
    let mut w = Harness::new();
    w.platform.start_shutdown(w.now, &mut w.net);
    w.advance(700);
    assert!(!w.platform.can_exit(w.now), "set-ups may still arrive");
    w.advance(100);
    assert!(w.platform.can_exit(w.now));
}

/// Faults that can affect a dialogue at each stage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    CallerLost,
    CallerFinishes,
    ConnectionResets,
    ProcessDies,
    AnswerInvalid,
    AnswerDuplicated,
    AnswerLate,
    TurnedBack,
    Drains,
    Gone,
    NewIncarnation,
    Shutdown,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Connecting,
    Launched,
    Standing,
    Ended,
}

impl Harness {
    /// Lets core servers answer what they are sent, and connections come up unless the process is dead;
    /// records open launches.
    fn answer_core_messages(&mut self, dead: Option<&str>, out: &mut BTreeMap<Tag, SocketId>, answers: bool) {
        for (socket, address) in std::mem::take(&mut self.net.started_connections) {
            match dead == Some(&address.ip().to_string()) {
                true => self.lose_connection(socket, true),
                false if !self.net.closed.contains_key(&socket) => self.bring_up(socket),
                false => {}
            }
        }
        out.retain(|_, socket| !self.net.closed.contains_key(socket));
        for (socket, kind, tag, _) in self.take_core_messages() {
            if kind == kind::START {
                assert_eq!(out.insert(tag, socket), None, "two open launches: {:?}", self.net.log);
            } else if kind == kind::FINISH {
                out.remove(&tag);
            }
        }
        if answers {
            for (tag, socket) in std::mem::take(out) {
                self.answer_from_core(socket, tag.0);
            }
        }
    }
}

#[test]
fn each_fault_at_each_stage_yields_one_answer_and_leaves_no_state() {
    use Fault::*;
    let faults = [
        CallerLost,
        CallerFinishes,
        ConnectionResets,
        ProcessDies,
        AnswerInvalid,
        AnswerDuplicated,
        AnswerLate,
        TurnedBack,
        Drains,
        Gone,
        NewIncarnation,
        Shutdown,
    ];
    for stage in [Stage::Connecting, Stage::Launched, Stage::Standing, Stage::Ended] {
        for fault in faults {
            let mut w = Harness::new();
            let (caller, other) = (w.new_caller(), w.new_caller());
            let mut out = BTreeMap::new();
            let mut dead = None;
            if stage == Stage::Connecting {
                for socket in w.open_connections_to("127.0.1.1") {
                    w.lose_connection(socket, false);
                }
            }
            w.send_start(caller, 5, "dest:0");
            if stage != Stage::Connecting {
                w.answer_core_messages(dead, &mut out, stage != Stage::Launched);
            }
            let core = *w.open_connections_to("127.0.1.1").first().unwrap();
            if stage == Stage::Ended {
                w.end_from_core(core, 5, cause::NORMAL);
            }
            match fault {
                CallerLost => w.lose_connection(caller, false),
                CallerFinishes => w.send_line(caller, finish(5, cause::NORMAL).trim()),
                ConnectionResets => w.lose_connection(core, false),
                ProcessDies => {
                    dead = Some("127.0.1.1");
                    for socket in w.open_connections_to("127.0.1.1") {
                        w.lose_connection(socket, false);
                    }
                }
                AnswerInvalid => {
                    w.platform.bytes_received(w.now, core, &[0xff; 40], &mut w.net);
                    w.end_iteration();
                }
                AnswerDuplicated => {
                    out.clear();
                    w.answer_from_core(core, 5);
                    w.answer_from_core(core, 5);
                }
                AnswerLate => {
                    w.advance(2100);
                    if !w.net.closed.contains_key(&core) {
                        w.answer_from_core(core, 5);
                    }
                }
                TurnedBack => {
                    out.clear();
                    w.end_from_core(core, 5, cause::FULL);
                }
                Drains => w.send_feed_event(
                    2,
                    r#"{"host":"a","dial":"127.0.1.1:1","block":0,"health":"Terminating"}"#,
                ),
                Gone => {
                    w.send_feed_event(2, r#"{"host":"a","dial":"127.0.1.1:1","block":0,"health":"Gone"}"#)
                }
                NewIncarnation => w.send_feed_event(
                    2,
                    r#"{"host":"a","dial":"127.0.1.1:1","block":0,"health":"Ready","born_ms":1000000000100}"#,
                ),
                Shutdown => w.platform.start_shutdown(w.now, &mut w.net),
            }
            if !w.net.closed.contains_key(&other) {
                w.send_line(other, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
            }
            for _ in 0..60 {
                w.answer_core_messages(dead, &mut out, fault != AnswerLate);
                w.advance(50);
                if !w.net.closed.contains_key(&FEED) {
                    w.send_line(
                        FEED,
                        if matches!(fault, Drains | Gone | NewIncarnation) { "2" } else { "1" },
                    );
                }
            }
            // Standing calls end at whichever server they are.
            for ip in ["127.0.1.1", "127.0.1.2"] {
                if let Some(socket) = w.open_connections_to(ip).first().copied() {
                    w.end_from_core(socket, 5, cause::NORMAL);
                }
            }
            w.advance(8000);
            let sent = w.take_sent_and_acknowledge(caller);
            let lines: Vec<&str> =
                sent.lines().filter(|line| line.contains("\"0000000000000005\"")).collect();
            let answers = lines.iter().filter(|l| l.contains("STARTED")).count()
                + lines.first().filter(|l| l.contains("\"FINISH\"")).iter().count();
            let answer_required = !(fault == CallerLost || fault == CallerFinishes);
            assert!(answers == 1 || !answer_required && answers <= 1, "{stage:?} {fault:?}: {lines:?}");
            assert!(lines.len() <= 3, "{stage:?} {fault:?}: {lines:?}");
            assert_eq!(w.platform.sizes().0, 0, "{stage:?} {fault:?}: {:?}", w.net.log);
            let (calls, _, described) = w.platform.auxiliary_sizes();
            assert_eq!((calls, described), (0, 0), "{stage:?} {fault:?}");
        }
    }
}

/// Guards against a connection that delivers nothing, or never the end of a message, and looks like any other.
#[test]
fn the_figures_show_which_connections_deliver_nothing() {
    let mut w = Harness::new();
    let core = w.open_connections_to("127.0.1.1")[0];
    w.advance(500);
    w.platform.bytes_received(w.now, core, &[0, 40, 9], &mut w.net);
    w.advance(700);
    let figures = w.platform.core_connection_figures(w.now);
    assert_eq!((figures.up, figures.incomplete), (2, 1));
    assert_eq!(figures.longest_incomplete, std::time::Duration::from_millis(700));
    assert_eq!(figures.longest_without_message, std::time::Duration::from_millis(1200));
}

/// Guards against a lost set-up whose connection was idle for some time before and whose bytes arrive in pieces.
#[test]
fn a_set_up_in_pieces_is_read_on_a_connection_that_was_idle() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_line(caller, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    w.take_sent(caller);
    w.advance(3000);
    let set_up = r#"{"verb":"START","tag":"0000000000000005","opts":{"class":"voice","left":"2000","extras":"dest:0"},"blob":"x"}"#;
    let (first, rest) = set_up.split_at(40);
    w.platform.bytes_received(w.now, caller, first.as_bytes(), &mut w.net);
    w.advance(1500);
    assert!(!w.net.closed.contains_key(&caller), "the message has begun 1.5 s ago");
    w.send_line(caller, rest);
    let core = w.take_only_set_up();
    w.answer_from_core(core, 5);
    assert!(w.take_sent(caller).contains("STARTED"));
}

/// Guards against a connection that is kept for ever because single bytes of a message without an end arrive.
#[test]
fn a_message_without_an_end_closes_its_connection_however_often_bytes_arrive() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_line(caller, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    for _ in 0..18 {
        w.platform.bytes_received(w.now, caller, b"x", &mut w.net);
        w.advance(100);
    }
    w.advance(100);
    assert!(w.net.closed.contains_key(&caller), "1.9 s after the first byte");
}
