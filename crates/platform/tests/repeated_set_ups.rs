//! Set-ups that cross the end of their connection and are sent again, once, on a new one.

mod harness;

use std::time::Duration;

use harness::{Harness, finish};
use lotussaddle_platform::codec::{Start, Tag, cause, code, kind};
use lotussaddle_platform::recent_set_ups::{Ending, Fingerprint, REPEAT_WINDOW, RecentSetUp, RecentSetUps};
use lotussaddle_platform::{CloseMode, SocketId};

/// Release time in the configuration of the harness.
const RELEASE_TIME_MS: u64 = 150;

impl Harness {
    /// Takes the set-ups sent to core servers since the last call.
    fn take_set_ups(&mut self) -> Vec<(SocketId, Tag)> {
        let messages = self.take_core_messages().into_iter().filter(|(_, kind, ..)| *kind == kind::START);
        messages.map(|(core, _, tag, _)| (core, tag)).collect()
    }

    fn assert_answered(&mut self, caller: SocketId, tag: u64) {
        let sent = self.take_sent_and_acknowledge(caller);
        assert_eq!(sent.lines().count(), 1, "{sent}");
        assert!(sent.contains("STARTED") && sent.contains(&format!("{tag:016x}")), "{sent}");
    }
}

/// The end of the first connection is not known here yet when the set-up comes again: it got no answer.
#[test]
fn a_set_up_sent_again_before_the_end_is_known_is_answered_on_the_new_connection() {
    let mut w = Harness::new();
    let (first, second) = (w.new_caller(), w.new_caller());
    w.send_start(first, 5, "dest:0");
    let core = w.take_only_set_up();
    w.send_start(second, 5, "dest:0");
    w.lose_connection(first, false);
    assert!(w.take_core_messages().is_empty(), "it is neither launched again nor cancelled");
    w.advance(100);
    w.answer_from_core(core, 5);
    w.assert_answered(second, 5);
    w.end_from_core(core, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(second), finish(5, cause::NORMAL));
    w.assert_nothing_held();
}

/// The first caller is still there: whoever sends the same set-up on another connection does not take its answer away.
#[test]
fn a_set_up_sent_twice_is_launched_once_and_answered_on_both_connections() {
    let mut w = Harness::new();
    let (first, second) = (w.new_caller(), w.new_caller());
    w.send_start(first, 5, "dest:0");
    let core = w.take_only_set_up();
    w.send_start(second, 5, "dest:0");
    assert!(!w.net.closed.contains_key(&second));
    w.answer_from_core(core, 5);
    w.assert_answered(first, 5);
    w.assert_answered(second, 5);
    w.lose_connection(first, false);
    w.end_from_core(core, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(second), finish(5, cause::NORMAL));
    assert!(w.take_core_messages().is_empty());
    w.assert_nothing_held();
}

#[test]
fn the_second_connection_may_end_first_and_either_may_give_the_set_up_up() {
    let mut w = Harness::new();
    let (first, second, third) = (w.new_caller(), w.new_caller(), w.new_caller());
    w.send_start(first, 5, "dest:0");
    let core = w.take_only_set_up();
    w.send_start(second, 5, "dest:0");
    w.lose_connection(second, false);
    assert!(w.take_core_messages().is_empty());
    w.answer_from_core(core, 5);
    w.assert_answered(first, 5);
    w.end_from_core(core, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(first), finish(5, cause::NORMAL));
    w.send_start(first, 6, "dest:0");
    w.send_start(third, 6, "dest:0");
    w.take_core_messages();
    w.send_line(third, &finish(6, cause::NORMAL));
    assert_eq!(w.take_core_messages()[0].1, kind::FINISH);
    w.assert_nothing_held();
    w.lose_connection(first, false);
    w.lose_connection(third, false);
}

/// The answer was written to a connection that had ended for its caller.
#[test]
fn an_answer_that_was_lost_with_its_connection_is_sent_again() {
    for refused in [false, true] {
        let mut w = Harness::new();
        let (first, second) = (w.new_caller(), w.new_caller());
        w.send_start(first, 5, "dest:0");
        let core = w.take_only_set_up();
        if refused {
            w.send_from_core(core, kind::FINISH, 5, &[(code::CAUSE, &[cause::BUSY]), (code::NOTE, b"sub")]);
        } else {
            w.answer_from_core(core, 5);
        }
        let answer = w.take_sent(first);
        assert_eq!(answer.lines().count(), 1);
        w.advance(40);
        w.send_start(second, 5, "dest:0");
        assert_eq!(w.take_sent_and_acknowledge(second), answer);
        assert!(w.take_core_messages().is_empty(), "it is not launched again");
        w.lose_connection(first, false);
        if !refused {
            w.end_from_core(core, 5, cause::NORMAL);
            assert_eq!(w.take_sent_and_acknowledge(second), finish(5, cause::NORMAL));
        }
        w.assert_nothing_held();
    }
}

/// The end of the connection was known, and the set-up given up, when it came again: it was failed with cause 95.
#[test]
fn a_set_up_given_up_with_its_connection_is_launched_again_after_the_release_time() {
    let mut w = Harness::new();
    let first = w.new_caller();
    w.send_start(first, 5, "dest:0");
    w.take_only_set_up();
    w.lose_connection(first, false);
    assert_eq!(w.take_core_messages()[0].1, kind::FINISH, "it is given up at once");
    w.advance(40);
    let second = w.new_caller();
    w.send_start(second, 5, "dest:0");
    w.advance(RELEASE_TIME_MS - 41);
    assert!(w.take_set_ups().is_empty(), "the server may still have the first launch");
    w.advance(2);
    let again = w.take_set_ups();
    assert_eq!(again.len(), 1);
    w.answer_from_core(again[0].0, 5);
    w.assert_answered(second, 5);
    w.end_from_core(again[0].0, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(second), finish(5, cause::NORMAL));
    w.assert_nothing_held();
}

/// While it waits for the release time, its caller may leave again, give it up, or find too little time left.
#[test]
fn a_set_up_that_waits_for_the_release_time_can_end_in_each_way() {
    for (left, leaves) in [("2000", true), ("2000", false), ("60", false)] {
        let mut w = Harness::new();
        let (first, second) = (w.new_caller(), w.new_caller());
        w.send_start(first, 5, "dest:0");
        w.lose_connection(first, false);
        w.take_core_messages();
        let line = format!(
            r#"{{"verb":"START","tag":"0000000000000005","opts":{{"class":"voice","left":"{left}","key":"k5","extras":"dest:0"}},"blob":"in 5\r\n"}}"#
        );
        w.send_line(second, &line);
        match (left, leaves) {
            ("60", _) => assert_eq!(w.take_sent_and_acknowledge(second), finish(5, cause::RESET)),
            (_, true) => w.lose_connection(second, false),
            (_, false) => w.send_line(second, &finish(5, cause::NORMAL)),
        }
        w.assert_nothing_held();
        w.advance(1000);
        assert!(w.take_set_ups().is_empty(), "{left}, {leaves}");
    }
}

/// Nothing of the set-up has left this process: there is nothing to wait for.
#[test]
fn a_set_up_that_was_never_sent_on_is_launched_when_it_comes_again() {
    let mut w = Harness::new();
    let (first, second) = (w.new_caller(), w.new_caller());
    w.net.unread_sockets.insert(first);
    w.send_start(first, 5, "dest:0");
    w.lose_connection(first, false);
    assert!(w.take_core_messages().is_empty());
    w.send_start(second, 5, "dest:0");
    let core = w.take_only_set_up();
    w.answer_from_core(core, 5);
    w.assert_answered(second, 5);
}

/// An identifier is not used again: only what is sent again at once is the same set-up.
#[test]
fn a_set_up_that_comes_again_late_is_failed_and_not_launched() {
    let mut w = Harness::new();
    let (first, second) = (w.new_caller(), w.new_caller());
    w.send_start(first, 5, "dest:0");
    w.lose_connection(first, false);
    w.take_core_messages();
    w.advance(600);
    w.send_start(second, 5, "dest:0");
    assert_eq!(w.take_sent_and_acknowledge(second), finish(5, cause::UNUSABLE));
    w.advance(1000);
    assert!(w.take_set_ups().is_empty());
}

/// A set-up that asks for something else under the identifier of another one is none that was sent again.
#[test]
fn another_set_up_under_the_same_identifier_is_not_carried_on() {
    for is_lost in [false, true] {
        let mut w = Harness::new();
        let (first, second) = (w.new_caller(), w.new_caller());
        w.send_start(first, 5, "dest:0");
        w.take_only_set_up();
        if is_lost {
            w.lose_connection(first, false);
            w.take_core_messages();
        }
        w.send_start(second, 5, "dest:1");
        w.advance(RELEASE_TIME_MS * 2);
        assert!(!w.take_sent_and_acknowledge(second).contains("STARTED"));
        let to_other = w.take_set_ups().iter().any(|(core, _)| w.net.address_of[core] == "127.0.1.2");
        assert!(!to_other || !is_lost);
        assert_eq!(w.net.closed.get(&second), (!is_lost).then_some(&CloseMode::AfterWriting));
    }
}

/// The process stood still while the set-up was sent again: it is read after the window has passed.
#[test]
fn a_set_up_that_was_sent_again_while_the_process_stood_still_is_carried_on() {
    let mut w = Harness::new();
    let first = w.new_caller();
    w.send_start(first, 5, "dest:0");
    w.take_only_set_up();
    w.lose_connection(first, false);
    w.take_core_messages();
    w.now += Duration::from_millis(700);
    // The iteration after the pause accepts the connection; the next one reads the set-up.
    w.platform.timer_fired(w.now, &mut w.net);
    let second = w.new_caller();
    w.end_iteration();
    w.send_start(second, 5, "dest:0");
    let core = w.take_only_set_up();
    w.answer_from_core(core, 5);
    w.assert_answered(second, 5);
}

fn recent(description: &str, ending: Ending) -> RecentSetUp {
    RecentSetUp { fingerprint: Fingerprint::of(&start(description)), caller: SocketId(1), ending }
}

fn start(description: &str) -> Start {
    Start {
        tag: Tag(1),
        class: "voice".into(),
        time_left_ms: 1000.0,
        is_retry: false,
        key: None,
        first_choice: -1,
        width: 1.0,
        redialled_after_cut: false,
        standing_at: None,
        description: description.into(),
    }
}

#[test]
fn recent_set_ups_are_bounded_in_number_bytes_and_time() {
    let mut table = RecentSetUps::new(100, 10_000);
    let mut now = Duration::from_secs(1);
    for n in 0..1000 {
        table.insert(now, Tag(n), recent("x", Ending::Stands("y".repeat(n as usize))));
        let (count, bytes) = table.sizes();
        assert!(count <= 100 && bytes <= 10_000, "{count}, {bytes}");
        if n % 7 == 0 {
            table.take_repeated(Tag(n), Fingerprint::of(&start("x")), SocketId(2));
        }
    }
    assert!(table.take_repeated(Tag(999), Fingerprint::of(&start("z")), SocketId(2)).is_none());
    assert!(table.take_repeated(Tag(999), Fingerprint::of(&start("x")), SocketId(1)).is_none());
    for _ in 0..2 {
        now += REPEAT_WINDOW;
        table.expire(now);
    }
    assert_eq!(table.sizes(), (0, 0));
}
