//! Obligations when something ends, tested without sockets: each crossing is produced by the order of inputs.

mod harness;

use harness::{FEED, Harness, finish};
use lotussaddle_platform::codec::{Tag, cause, code, kind};
use lotussaddle_platform::{CloseMode, SocketId};

const DRAINING_HOST: &str = r#"{"host":"a","dial":"127.0.1.1:1","block":0,"health":"Terminating"}"#;

impl Harness {
    /// Passes a line of a caller within a loop iteration that continues.
    fn send_line_within_iteration(&mut self, socket: SocketId, line: &str) {
        self.platform.bytes_received(self.now, socket, format!("{line}\n").as_bytes(), &mut self.net);
    }

    fn send_start_within_iteration(&mut self, socket: SocketId, tag: u64) {
        self.send_line_within_iteration(
            socket,
            &format!(
                r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","left":"2000","extras":"dest:0"}},"blob":"x"}}"#
            ),
        );
    }

    /// Advances the time until this set-up is cancelled.
    fn advance_until_cancelled(&mut self, core: SocketId, tag: u64) {
        for _ in 0..3000 {
            self.advance(1);
            let messages = self.take_core_messages();
            if messages
                .iter()
                .any(|(on, kind, tag_sent, _)| (*on, *kind, tag_sent.0) == (core, kind::FINISH, tag))
            {
                return;
            }
        }
        panic!("the set-up is not cancelled");
    }

    /// Asserts that the caller was sent exactly one answer, a failure, and that nothing is launched again.
    fn assert_failed_once(&mut self, caller: SocketId) {
        let sent = self.take_sent_and_acknowledge(caller);
        assert_eq!(sent.lines().count(), 1, "{sent}");
        assert!(sent.contains("\"FINISH\"") && sent.contains("\"rc\":41"), "not a failure: {sent}");
        self.advance(1000);
        assert_eq!(self.take_sent_and_acknowledge(caller), "", "nothing after the final answer");
        assert!(self.take_core_messages().is_empty(), "nothing is launched again");
    }

    fn take_set_up_count(&mut self) -> usize {
        self.take_core_messages().iter().filter(|(_, kind, ..)| *kind == kind::START).count()
    }
}

#[test]
fn a_set_up_is_sent_at_the_end_of_the_iteration_unless_its_caller_left_within_it() {
    let mut w = Harness::new();
    let (stays, cancels, closes) = (w.new_caller(), w.new_caller(), w.new_caller());
    for (caller, tag) in [(stays, 1), (cancels, 2), (closes, 3)] {
        w.send_start_within_iteration(caller, tag);
    }
    assert_eq!(w.take_set_up_count(), 0, "the iteration has not ended");
    w.send_line_within_iteration(cancels, finish(2, cause::NORMAL).trim());
    w.platform.connection_lost(w.now, closes, false, "test", &mut w.net);
    w.end_iteration();
    let core = w.take_only_set_up();
    assert!(w.take_core_messages().is_empty(), "an unsent set-up is not cancelled either");
    w.answer_from_core(core, 1);
    w.end_from_core(core, 1, cause::NORMAL);
    assert!(w.take_sent_and_acknowledge(stays).contains("STARTED"));
    w.assert_nothing_held();
}

#[test]
fn unread_input_of_a_caller_delays_only_its_own_set_ups() {
    let mut w = Harness::new();
    let (sends, other) = (w.new_caller(), w.new_caller());
    w.net.unread_sockets.insert(sends);
    w.send_start_within_iteration(sends, 1);
    w.send_start_within_iteration(other, 2);
    w.end_iteration();
    let messages = w.take_core_messages();
    assert!(messages.len() == 1 && messages[0].2.0 == 2, "{messages:?}");
    w.send_line_within_iteration(sends, finish(1, cause::NORMAL).trim());
    w.net.unread_sockets.clear();
    w.end_iteration();
    assert_eq!(w.take_set_up_count(), 0, "the set-up was cancelled after other input");
}

#[test]
fn endless_input_delays_own_set_ups_only_until_their_cut_off() {
    let mut w = Harness::new();
    let sends = w.new_caller();
    w.net.unread_sockets.insert(sends);
    w.send_start(sends, 1, "dest:0");
    w.advance(2100);
    assert_eq!(w.take_set_up_count(), 0);
    let sent = w.take_sent_and_acknowledge(sends);
    assert!(sent.contains("FINISH") && sent.contains("\"0000000000000001\""), "{sent}");
    w.assert_nothing_held();
}

#[test]
fn no_set_up_is_sent_to_a_server_that_starts_draining_after_the_decision() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_start_within_iteration(caller, 1);
    let line = format!(r#"{{"n":2,"members":{{"seq":2,"whole":false,"hosts":[{DRAINING_HOST}]}}}}"#);
    w.send_line_within_iteration(FEED, &line);
    w.end_iteration();
    let set_up = w.take_only_set_up();
    assert_eq!(w.net.address_of[&set_up], "127.0.1.2", "the other server gets the set-up");
}

#[test]
fn no_set_up_is_sent_to_a_server_that_drains_while_its_connection_comes_up() {
    let mut w = Harness::new();
    for socket in w.open_connections_to("127.0.1.1") {
        w.lose_connection(socket, false);
    }
    w.advance(300);
    let caller = w.new_caller();
    w.send_start(caller, 1, "dest:0");
    w.send_feed_event(2, DRAINING_HOST);
    w.establish_connections();
    let messages = w.take_core_messages();
    assert!(messages.iter().all(|(socket, ..)| w.net.address_of[socket] == "127.0.1.2"), "{messages:?}");
}

#[test]
fn a_late_connection_is_sent_the_remaining_time_and_no_abandoned_set_up() {
    for may_cancel in ["true", "false"] {
        let mut w = Harness::with_changes(&[("\"cancel\":true", &format!("\"cancel\":{may_cancel}"))]);
        for ip in ["127.0.1.1", "127.0.1.2"] {
            for socket in w.open_connections_to(ip) {
                w.lose_connection(socket, false);
            }
        }
        w.net.started_connections.clear();
        w.advance(40);
        assert!(!w.net.started_connections.is_empty(), "connections are established again");
        let (stays, leaves) = (w.new_caller(), w.new_caller());
        w.send_start(stays, 1, "dest:0");
        w.send_start(leaves, 2, "dest:0");
        w.advance(30);
        w.lose_connection(leaves, false);
        w.establish_connections();
        let messages = w.take_core_messages();
        assert_eq!(messages.iter().map(|(_, _, tag, _)| tag.0).collect::<Vec<_>>(), [1], "{may_cancel}");
        let left = &messages[0].3.iter().find(|(code, _)| *code == code::LEFT).unwrap().1;
        let left: u64 = std::str::from_utf8(left).unwrap().parse().unwrap();
        assert_eq!(left, 1970, "30 of 2000 ms have passed");
    }
}

impl Harness {
    fn use_one_server(&mut self) {
        self.advance_connecting(100);
        self.send_feed_event(2, r#"{"host":"b","dial":"127.0.1.2:1","block":1,"health":"Gone"}"#);
    }

    /// Starts a call whose first launch is cancelled; returns the launch's connection and the caller's. On
    /// return the cancellation has just been sent.
    fn call_with_cancelled_launch(&mut self, tag: u64) -> (SocketId, SocketId) {
        let caller = self.new_caller();
        self.send_start(caller, tag, "dest:0");
        let core = self.take_only_set_up();
        // Another set-up is answered first, so this one counts as lost and is cancelled.
        self.advance(2);
        let other = self.new_caller();
        self.send_start(other, tag + 1, "dest:0");
        let quick = self.take_only_set_up();
        self.advance(10);
        self.answer_from_core(quick, tag + 1);
        self.end_from_core(quick, tag + 1, cause::NORMAL);
        assert!(self.take_sent_and_acknowledge(other).contains("STARTED"));
        self.advance_until_cancelled(core, tag);
        (core, caller)
    }
}

#[test]
fn a_late_refusal_of_a_cancelled_launch_does_not_end_the_call_standing_on_another_connection() {
    for late in [cause::FULL, cause::BUSY, cause::ERROR, cause::NOT_PROCESSED] {
        let mut w = Harness::new();
        w.use_one_server();
        let (first, caller) = w.call_with_cancelled_launch(5);
        w.advance(250);
        let second = w.take_only_set_up();
        assert_ne!(first, second);
        w.answer_from_core(second, 5);
        assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
        w.end_from_core(first, 5, late);
        assert_eq!(w.take_sent_and_acknowledge(caller), "", "the call stands");
        w.end_from_core(second, 5, cause::NORMAL);
        assert!(w.take_sent_and_acknowledge(caller).contains("FINISH"));
        w.assert_nothing_held();
    }
}

#[test]
fn a_late_end_of_a_cancelled_launch_does_not_end_the_call_standing_at_another_server() {
    for late in [cause::FULL, cause::NORMAL, cause::RESET] {
        let mut w = Harness::new();
        w.advance_connecting(100);
        let (first, caller) = w.call_with_cancelled_launch(5);
        w.advance(250);
        let second = w.take_only_set_up();
        assert_ne!(w.net.address_of[&first], w.net.address_of[&second]);
        w.answer_from_core(second, 5);
        assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
        w.end_from_core(first, 5, late);
        assert_eq!(w.take_sent_and_acknowledge(caller), "", "the call stands");
        w.end_from_core(second, 5, cause::NORMAL);
        assert!(w.take_sent_and_acknowledge(caller).contains("FINISH"));
        w.assert_nothing_held();
    }
}

/// When the answer to the cancelled launch arrives, if it does.
#[derive(Clone, Copy, PartialEq)]
enum LateAnswer {
    Never,
    BeforeSecondAnswer,
    AfterSecondAnswer,
}

/// Observed on the bench: a call stands at the server at which an earlier launch of it was cancelled, on
/// another connection, and its end arrives on the first connection.
#[test]
fn the_end_of_a_call_may_arrive_on_the_connection_of_a_launch_cancelled_at_the_same_server() {
    for end in [cause::NORMAL, cause::RESET] {
        for late in [LateAnswer::Never, LateAnswer::BeforeSecondAnswer, LateAnswer::AfterSecondAnswer] {
            let mut w = Harness::new();
            w.use_one_server();
            let (first, caller) = w.call_with_cancelled_launch(5);
            w.advance(250);
            let second = w.take_only_set_up();
            assert_ne!(first, second);
            if late == LateAnswer::BeforeSecondAnswer {
                w.answer_from_core(first, 5);
            }
            w.answer_from_core(second, 5);
            if late == LateAnswer::AfterSecondAnswer {
                w.answer_from_core(first, 5);
            }
            let sent = w.take_sent_and_acknowledge(caller);
            assert!(sent.contains("STARTED") && sent.lines().count() == 1, "{sent}");
            assert!(w.take_core_messages().is_empty(), "the standing call is not released");
            w.end_from_core(first, 5, end);
            assert!(w.take_sent_and_acknowledge(caller).contains("\"FINISH\""), "the call has ended");
            w.end_from_core(second, 5, end);
            assert_eq!(w.take_sent_and_acknowledge(caller), "", "the end is sent once");
            w.assert_nothing_held();
        }
    }
}

/// Observed on the bench under load: a server that reads late answers a launch that was already cancelled.
/// Until it reads the cancellation the launch is active there, so the release time has not begun.
#[test]
fn an_answer_that_crosses_its_cancellation_restarts_the_release_time() {
    const RELEASE_MS: u64 = 150;
    for crosses_after_ms in [20, 60, 140] {
        let mut w = Harness::new();
        w.use_one_server();
        let (first, caller) = w.call_with_cancelled_launch(5);
        w.advance(crosses_after_ms);
        w.answer_from_core(first, 5);
        let released = w.take_core_messages();
        assert!(matches!(released[..], [(on, kind::FINISH, Tag(5), _)] if on == first), "{released:?}");
        w.advance(RELEASE_MS - 5);
        assert_eq!(w.take_set_up_count(), 0, "the launch may still be active");
        w.advance(60);
        let second = w.take_only_set_up();
        w.answer_from_core(second, 5);
        assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
        w.end_from_core(second, 5, cause::NORMAL);
        assert!(w.take_sent_and_acknowledge(caller).contains("FINISH"));
        w.assert_nothing_held();
    }
}

#[test]
fn an_answer_for_an_unsent_set_up_is_ignored() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.net.unread_sockets.insert(caller);
    w.send_start(caller, 1, "dest:0");
    for core in w.open_connections_to("127.0.1.1") {
        w.answer_from_core(core, 1);
        w.end_from_core(core, 1, cause::FULL);
    }
    assert_eq!(w.take_sent_and_acknowledge(caller), "");
    w.net.unread_sockets.clear();
    w.end_iteration();
    let core = w.take_only_set_up();
    w.answer_from_core(core, 1);
    assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
}

/// A core server reads nothing, so a cancellation cannot be written; closing the connection takes its place.
#[test]
fn a_finish_that_cannot_be_written_closes_the_connection_and_the_release_uses_the_next() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    let leaves = w.new_caller();
    w.send_start(leaves, 6, "dest:0");
    let out = w.take_only_set_up();
    w.net.full_queues.extend(w.open_connections_to("127.0.1.1"));
    w.lose_connection(leaves, false);
    assert_eq!(
        w.net.closed.get(&out),
        Some(&CloseMode::Now),
        "open set-ups are given up with the connection"
    );
    w.send_line(caller, finish(5, cause::NORMAL).trim());
    w.advance_connecting(400);
    assert_eq!(w.net.closed.get(&core), Some(&CloseMode::Now));
    let released =
        w.take_core_messages().into_iter().filter(|(_, kind, tag, _)| *kind == kind::FINISH && tag.0 == 5);
    assert_eq!(released.count(), 1, "{:?}", w.net.log);
}

#[test]
fn open_set_ups_are_answered_before_their_connection_is_closed_locally() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_start(caller, 1, "dest:0");
    w.take_only_set_up();
    w.send_line(caller, "nonsense");
    assert_eq!(w.net.closed.get(&caller), Some(&CloseMode::AfterWriting));
    let sent = w.take_sent(caller);
    assert!(sent.contains("FINISH") && sent.contains("\"0000000000000001\""), "{sent}");
    assert_eq!(
        w.take_core_messages().iter().filter(|(_, kind, ..)| *kind == kind::FINISH).count(),
        1,
        "the set-up is given up"
    );
    w.assert_nothing_held();
}

#[test]
fn an_incomplete_message_does_not_end_open_set_ups_on_its_connection() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.send_start(caller, 1, "dest:0");
    let core = w.take_only_set_up();
    w.platform.bytes_received(w.now, caller, b"{\"verb\":", &mut w.net);
    w.advance(1900);
    assert_eq!(w.net.closed.get(&caller), None, "an answer is outstanding on it");
    let sent = w.take_sent_and_acknowledge(caller);
    if sent.is_empty() {
        w.answer_from_core(core, 1);
        assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
    }
    w.advance(2000);
    assert_eq!(
        w.net.closed.get(&caller),
        Some(&CloseMode::AfterWriting),
        "without an open set-up it is closed"
    );
}

#[test]
fn a_caller_connection_with_unread_input_is_not_closed_as_idle_or_to_free_a_descriptor() {
    let mut w = Harness::new();
    // The first two are the oldest and have sent nothing, so they are the first to be closed.
    let (crosses, idle) = (w.new_caller(), w.new_caller());
    w.net.unread_sockets.insert(crosses);
    let closed = |w: &Harness| [crosses, idle].map(|caller| w.net.closed.contains_key(&caller));
    for _ in 0..126 {
        w.new_caller();
    }
    assert_eq!(closed(&w), [false, false]);
    w.new_caller();
    assert_eq!(closed(&w), [false, true], "the next one is closed instead");
    w.advance(6000);
    assert_eq!(closed(&w), [false, true], "nor is it closed for sending nothing");
    w.net.unread_sockets.clear();
    w.send_start(crosses, 1, "dest:0");
    let core = w.take_only_set_up();
    w.answer_from_core(core, 1);
    assert!(w.take_sent_and_acknowledge(crosses).contains("STARTED"));
}

#[test]
fn a_core_connection_with_unread_input_is_not_closed_as_idle() {
    let mut w = Harness::new();
    w.advance_connecting(400);
    let cores = w.open_connections_to("127.0.1.1");
    w.net.unread_sockets.insert(cores[0]);
    w.advance(9500);
    let closed = |w: &Harness, core| w.net.closed.contains_key(core);
    assert!(!closed(&w, &cores[0]) && closed(&w, &cores[1]));
}

#[test]
fn an_idle_caller_is_closed_if_the_feed_needs_its_descriptor() {
    let mut w = Harness::new();
    let (idle, busy) = (w.new_caller(), w.new_caller());
    w.send_line(idle, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    w.send_start(busy, 1, "dest:0");
    w.take_only_set_up();
    w.net.descriptors_exhausted = true;
    w.lose_connection(FEED, false);
    w.advance(200);
    assert!(w.net.closed.contains_key(&idle) && !w.net.closed.contains_key(&busy));
    let before = w.net.started_connections.len();
    w.net.descriptors_exhausted = false;
    w.advance(200);
    assert!(w.net.started_connections[before..].iter().any(|(_, at)| at.ip().to_string() == "127.0.0.9"));
}

#[test]
fn shutdown_waits_for_an_incomplete_message_and_bounds_the_time_of_set_ups() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.platform.start_shutdown(w.now, &mut w.net);
    w.platform.bytes_received(w.now, caller, b"{\"verb\":", &mut w.net);
    w.advance(800);
    assert!(
        w.platform.has_stopped_accepting(w.now) && !w.platform.can_exit(w.now),
        "the rest of the message may arrive"
    );
    let other = w.new_caller();
    w.send_line(
        other,
        r#"{"verb":"START","tag":"0000000000000001","opts":{"class":"voice","left":"60000","extras":"dest:0"},"blob":"x"}"#,
    );
    let messages = w.take_core_messages();
    let left = &messages[0].3.iter().find(|(code, _)| *code == code::LEFT).unwrap().1;
    assert_eq!(
        std::str::from_utf8(left).unwrap(),
        "2600",
        "the process ends 3400 ms after the shutdown request"
    );
    w.advance(2700);
    assert!(w.platform.can_exit(w.now));
    w.platform.close_callers(w.now, &mut w.net);
    let sent = w.take_sent(other);
    assert_eq!(sent.lines().filter(|line| line.contains("FINISH")).count(), 1, "{sent}");
    assert_eq!(w.net.closed.get(&other), Some(&CloseMode::AfterWriting));
    w.assert_nothing_held();
}

/// Observed on the bench: the answer arrives seconds late, after the end or the cut of its call.
#[test]
fn the_end_of_a_call_without_an_answer_is_sent_at_once_and_nothing_is_launched_again() {
    for end in [cause::NORMAL, cause::RESET] {
        let mut w = Harness::new();
        let caller = w.new_caller();
        w.send_start(caller, 5, "dest:0");
        let core = w.take_only_set_up();
        w.end_from_core(core, 5, end);
        let sent = w.take_sent_and_acknowledge(caller);
        assert_eq!(sent.lines().count(), 1, "{sent}");
        assert!(sent.contains("\"FINISH\"") && sent.contains("\"rc\":41"), "not a failure: {sent}");
        w.advance(1000);
        w.answer_from_core(core, 5);
        w.advance(1000);
        assert_eq!(w.take_sent_and_acknowledge(caller), "", "the answer is late");
        assert!(w.take_core_messages().is_empty(), "nothing is launched again");
        w.assert_nothing_held();
    }
}

/// Observed on the bench under load: the end of a call whose answer is delayed crosses the cancellation of
/// its set-up.
#[test]
fn the_end_of_a_call_that_crosses_its_cancellation_is_sent_at_once_and_nothing_is_launched_again() {
    for end in [cause::NORMAL, cause::RESET] {
        let mut w = Harness::new();
        let (core, caller) = w.call_with_cancelled_launch(5);
        assert_eq!(w.take_sent_and_acknowledge(caller), "", "the caller waits for a second launch");
        w.end_from_core(core, 5, end);
        w.assert_failed_once(caller);
        w.assert_nothing_held();
    }
}

#[test]
fn the_end_of_a_call_whose_answer_was_lost_arrives_on_another_connection() {
    for end in [cause::NORMAL, cause::RESET] {
        let mut w = Harness::new();
        w.advance_connecting(100);
        let caller = w.new_caller();
        w.send_start(caller, 5, "dest:0");
        let core = w.take_only_set_up();
        let ip = w.net.address_of[&core].clone();
        w.lose_connection(core, false);
        let other = w.open_connections_to(&ip)[0];
        w.end_from_core(other, 5, end);
        w.assert_failed_once(caller);
        w.assert_nothing_held();
    }
}

#[test]
fn the_end_of_an_earlier_launch_cancels_the_current_one() {
    for end in [cause::NORMAL, cause::RESET] {
        let mut w = Harness::new();
        w.advance_connecting(100);
        let caller = w.new_caller();
        w.send_start(caller, 5, "dest:0");
        let first = w.take_only_set_up();
        w.lose_connection(first, false);
        w.advance(200);
        let second = w.take_only_set_up();
        let ip = w.net.address_of[&first].clone();
        let other = w
            .open_connections_to(&ip)
            .into_iter()
            .find(|socket| *socket != second)
            .expect("two connections are kept open");
        w.end_from_core(other, 5, end);
        let sent = w.take_sent_and_acknowledge(caller);
        assert!(sent.contains("\"FINISH\"") && sent.contains("\"rc\":41"), "not a failure: {sent}");
        let messages = w.take_core_messages();
        assert!(matches!(messages[..], [(on, kind::FINISH, Tag(5), _)] if on == second), "{messages:?}");
        w.answer_from_core(second, 5);
        w.advance(1000);
        assert_eq!(w.take_sent_and_acknowledge(caller), "", "nothing after the final answer");
        assert_eq!(w.take_set_up_count(), 0, "nothing is launched again");
        w.assert_nothing_held();
    }
}

#[test]
fn an_end_for_a_call_never_launched_is_ignored() {
    let mut w = Harness::new();
    let caller = w.new_caller();
    w.net.unread_sockets.insert(caller);
    w.send_start(caller, 1, "dest:0");
    for core in w.open_connections_to("127.0.1.1") {
        w.end_from_core(core, 1, cause::NORMAL);
    }
    assert_eq!(w.take_sent_and_acknowledge(caller), "");
    w.net.unread_sockets.clear();
    w.end_iteration();
    let core = w.take_only_set_up();
    w.answer_from_core(core, 1);
    assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
}
