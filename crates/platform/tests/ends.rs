//! What is owed in the instant in which something ends, without sockets: each crossing by the order of inputs.

mod world;

use lotussaddle_platform::codec::{Tag, cause, code, kind};
use lotussaddle_platform::{Ending, SocketId};
use world::{FEED, World, finish};

const DRAINS: &str = r#"{"host":"a","dial":"127.0.1.1:1","block":0,"health":"Terminating"}"#;

impl World {
    /// Bytes of a caller in a turn that goes on.
    fn says_meanwhile(&mut self, socket: SocketId, line: &str) {
        self.platform.read(self.now, socket, format!("{line}\n").as_bytes(), &mut self.net);
    }

    fn starts_meanwhile(&mut self, socket: SocketId, tag: u64) {
        self.says_meanwhile(
            socket,
            &format!(
                r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","left":"2000","extras":"dest:0"}},"blob":"x"}}"#
            ),
        );
    }

    /// Lets time go by until this set-up is given up.
    fn wait_for_give_up(&mut self, core: SocketId, tag: u64) {
        for _ in 0..3000 {
            self.wait(1);
            let heard = self.heard();
            if heard.iter().any(|(on, kind, said, _)| (*on, *kind, said.0) == (core, kind::FINISH, tag)) {
                return;
            }
        }
        panic!("it is not given up");
    }

    /// Its caller has had the one answer that it failed, and nothing of it is launched any more.
    fn has_failed_once(&mut self, caller: SocketId) {
        let told = self.told(caller);
        assert_eq!(told.lines().count(), 1, "{told}");
        assert!(told.contains("\"FINISH\"") && told.contains("\"rc\":41"), "it has failed: {told}");
        self.wait(1000);
        assert_eq!(self.told(caller), "", "nothing after the final answer");
        assert!(self.heard().is_empty(), "nothing is launched again");
    }

    fn sent_set_ups(&mut self) -> usize {
        self.heard().iter().filter(|(_, kind, ..)| *kind == kind::START).count()
    }
}

#[test]
fn a_set_up_goes_at_the_end_of_its_turn_unless_its_client_left_in_it() {
    let mut w = World::new();
    let (stays, cancels, closes) = (w.caller(), w.caller(), w.caller());
    for (caller, tag) in [(stays, 1), (cancels, 2), (closes, 3)] {
        w.starts_meanwhile(caller, tag);
    }
    assert_eq!(w.sent_set_ups(), 0, "the turn is not over");
    w.says_meanwhile(cancels, finish(2, cause::NORMAL).trim());
    w.platform.lost(w.now, closes, false, "test", &mut w.net);
    w.turn_over();
    let core = w.set_up();
    assert!(w.heard().is_empty(), "what was not sent is not given up either");
    w.stands(core, 1);
    w.ends(core, 1, cause::NORMAL);
    assert!(w.told(stays).contains("STARTED"));
    w.nothing_is_kept();
}

#[test]
fn a_set_up_waits_while_more_of_its_client_lies_to_be_read_and_no_other_does() {
    let mut w = World::new();
    let (sends, other) = (w.caller(), w.caller());
    w.net.unread.insert(sends);
    w.starts_meanwhile(sends, 1);
    w.starts_meanwhile(other, 2);
    w.turn_over();
    let heard = w.heard();
    assert!(heard.len() == 1 && heard[0].2.0 == 2, "{heard:?}");
    w.says_meanwhile(sends, finish(1, cause::NORMAL).trim());
    w.net.unread.clear();
    w.turn_over();
    assert_eq!(w.sent_set_ups(), 0, "it was called off behind other input");
}

#[test]
fn whoever_sends_without_end_holds_up_its_own_set_ups_only_till_their_end() {
    let mut w = World::new();
    let sends = w.caller();
    w.net.unread.insert(sends);
    w.start(sends, 1, "dest:0");
    w.wait(2100);
    assert_eq!(w.sent_set_ups(), 0);
    let told = w.told(sends);
    assert!(told.contains("FINISH") && told.contains("\"0000000000000001\""), "{told}");
    w.nothing_is_kept();
}

#[test]
fn nothing_new_goes_to_a_server_told_to_drain_between_the_decision_and_the_first_byte() {
    let mut w = World::new();
    let caller = w.caller();
    w.starts_meanwhile(caller, 1);
    let line = format!(r#"{{"n":2,"members":{{"seq":2,"whole":false,"hosts":[{DRAINS}]}}}}"#);
    w.says_meanwhile(FEED, &line);
    w.turn_over();
    let set_up = w.set_up();
    assert_eq!(w.net.at[&set_up], "127.0.1.2", "the other one takes it");
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_while_its_connection_comes_up() {
    let mut w = World::new();
    for socket in w.open_to("127.0.1.1") {
        w.lose(socket, false);
    }
    w.wait(300);
    let caller = w.caller();
    w.start(caller, 1, "dest:0");
    w.feed(2, DRAINS);
    w.connect_all();
    let heard = w.heard();
    assert!(heard.iter().all(|(socket, ..)| w.net.at[socket] == "127.0.1.2"), "{heard:?}");
}

#[test]
fn a_connection_that_comes_up_late_is_told_the_time_that_is_left_and_nothing_of_whoever_left() {
    for may_cancel in ["true", "false"] {
        let mut w = World::with(&[("\"cancel\":true", &format!("\"cancel\":{may_cancel}"))]);
        for ip in ["127.0.1.1", "127.0.1.2"] {
            for socket in w.open_to(ip) {
                w.lose(socket, false);
            }
        }
        w.net.connects.clear();
        w.wait(40);
        assert!(!w.net.connects.is_empty(), "connections are made anew");
        let (stays, leaves) = (w.caller(), w.caller());
        w.start(stays, 1, "dest:0");
        w.start(leaves, 2, "dest:0");
        w.wait(30);
        w.lose(leaves, false);
        w.connect_all();
        let heard = w.heard();
        assert_eq!(heard.iter().map(|(_, _, tag, _)| tag.0).collect::<Vec<_>>(), [1], "{may_cancel}");
        let left = &heard[0].3.iter().find(|(code, _)| *code == code::LEFT).unwrap().1;
        let left: u64 = std::str::from_utf8(left).unwrap().parse().unwrap();
        assert_eq!(left, 1970, "30 of 2000 ms are gone");
    }
}

impl World {
    fn has_one_server(&mut self) {
        self.wait_connecting(100);
        self.feed(2, r#"{"host":"b","dial":"127.0.1.2:1","block":1,"health":"Gone"}"#);
    }

    /// A call whose first launch was called off; returns its connection, and the caller's. Time has gone by until just after
    /// the give-up.
    fn call_with_a_launch_given_up(&mut self, tag: u64) -> (SocketId, SocketId) {
        let caller = self.caller();
        self.start(caller, tag, "dest:0");
        let core = self.set_up();
        // Another is answered before it: it counts as lost, and is called off.
        self.wait(2);
        let other = self.caller();
        self.start(other, tag + 1, "dest:0");
        let quick = self.set_up();
        self.wait(10);
        self.stands(quick, tag + 1);
        self.ends(quick, tag + 1, cause::NORMAL);
        assert!(self.told(other).contains("STARTED"));
        self.wait_for_give_up(core, tag);
        (core, caller)
    }
}

#[test]
fn a_late_refusal_of_what_was_called_off_does_not_end_the_call_that_stands_by_another_connection() {
    for late in [cause::FULL, cause::BUSY, cause::ERROR, cause::MOOT] {
        let mut w = World::new();
        w.has_one_server();
        let (first, caller) = w.call_with_a_launch_given_up(5);
        w.wait(250);
        let second = w.set_up();
        assert_ne!(first, second);
        w.stands(second, 5);
        assert!(w.told(caller).contains("STARTED"));
        w.ends(first, 5, late);
        assert_eq!(w.told(caller), "", "the call stands");
        w.ends(second, 5, cause::NORMAL);
        assert!(w.told(caller).contains("FINISH"));
        w.nothing_is_kept();
    }
}

#[test]
fn a_late_end_of_what_was_called_off_does_not_end_the_call_that_stands_by_another_server() {
    for late in [cause::FULL, cause::NORMAL, cause::RESET] {
        let mut w = World::new();
        w.wait_connecting(100);
        let (first, caller) = w.call_with_a_launch_given_up(5);
        w.wait(250);
        let second = w.set_up();
        assert_ne!(w.net.at[&first], w.net.at[&second]);
        w.stands(second, 5);
        assert!(w.told(caller).contains("STARTED"));
        w.ends(first, 5, late);
        assert_eq!(w.told(caller), "", "the call stands");
        w.ends(second, 5, cause::NORMAL);
        assert!(w.told(caller).contains("FINISH"));
        w.nothing_is_kept();
    }
}

/// When the answer of the launch that was given up comes, if it does.
#[derive(Clone, Copy, PartialEq)]
enum LateAnswer {
    Never,
    BeforeTheSecond,
    AfterTheSecond,
}

/// Seen on the bench: a call stands at the server at which a launch of it was called off before, by another connection, and
/// its end comes on the first one.
#[test]
fn the_end_of_a_call_is_told_on_the_connection_of_a_launch_called_off_at_the_same_server() {
    for end in [cause::NORMAL, cause::RESET] {
        for late in [LateAnswer::Never, LateAnswer::BeforeTheSecond, LateAnswer::AfterTheSecond] {
            let mut w = World::new();
            w.has_one_server();
            let (first, caller) = w.call_with_a_launch_given_up(5);
            w.wait(250);
            let second = w.set_up();
            assert_ne!(first, second);
            if late == LateAnswer::BeforeTheSecond {
                w.stands(first, 5);
            }
            w.stands(second, 5);
            if late == LateAnswer::AfterTheSecond {
                w.stands(first, 5);
            }
            let told = w.told(caller);
            assert!(told.contains("STARTED") && told.lines().count() == 1, "{told}");
            assert!(w.heard().is_empty(), "what stands is not released");
            w.ends(first, 5, end);
            assert!(w.told(caller).contains("\"FINISH\""), "the call is over");
            w.ends(second, 5, end);
            assert_eq!(w.told(caller), "", "it is told once");
            w.nothing_is_kept();
        }
    }
}

/// Seen on the bench beside other work: a server that reads late answers a launch that was given up before. Until it reads
/// that, the launch is out there, and the release time has not begun.
#[test]
fn an_answer_that_crosses_its_give_up_begins_the_release_time_anew() {
    const RELEASE_MS: u64 = 150;
    for crosses_after_ms in [20, 60, 140] {
        let mut w = World::new();
        w.has_one_server();
        let (first, caller) = w.call_with_a_launch_given_up(5);
        w.wait(crosses_after_ms);
        w.stands(first, 5);
        let released = w.heard();
        assert!(matches!(released[..], [(on, kind::FINISH, Tag(5), _)] if on == first), "{released:?}");
        w.wait(RELEASE_MS - 5);
        assert_eq!(w.sent_set_ups(), 0, "it may still be out there");
        w.wait(60);
        let second = w.set_up();
        w.stands(second, 5);
        assert!(w.told(caller).contains("STARTED"));
        w.ends(second, 5, cause::NORMAL);
        assert!(w.told(caller).contains("FINISH"));
        w.nothing_is_kept();
    }
}

#[test]
fn an_answer_under_an_id_whose_set_up_is_not_sent_is_passed_over() {
    let mut w = World::new();
    let caller = w.caller();
    w.net.unread.insert(caller);
    w.start(caller, 1, "dest:0");
    for core in w.open_to("127.0.1.1") {
        w.stands(core, 1);
        w.ends(core, 1, cause::FULL);
    }
    assert_eq!(w.told(caller), "");
    w.net.unread.clear();
    w.turn_over();
    let core = w.set_up();
    w.stands(core, 1);
    assert!(w.told(caller).contains("STARTED"));
}

/// A core server that reads nothing: a give-up that cannot be written is made by closing.
#[test]
fn a_give_up_or_release_that_cannot_be_written_ends_the_connection_and_the_release_goes_on_the_next() {
    let mut w = World::new();
    let (caller, core) = w.standing(5);
    let leaves = w.caller();
    w.start(leaves, 6, "dest:0");
    let out = w.set_up();
    w.net.full.extend(w.open_to("127.0.1.1"));
    w.lose(leaves, false);
    assert_eq!(w.net.closed.get(&out), Some(&Ending::Now), "what is open there is given up with it");
    w.say(caller, finish(5, cause::NORMAL).trim());
    w.wait_connecting(400);
    assert_eq!(w.net.closed.get(&core), Some(&Ending::Now));
    let released = w.heard().into_iter().filter(|(_, kind, tag, _)| *kind == kind::FINISH && tag.0 == 5);
    assert_eq!(released.count(), 1, "{:?}", w.net.log);
}

#[test]
fn what_is_open_on_a_connection_that_is_closed_from_here_is_answered_first() {
    let mut w = World::new();
    let caller = w.caller();
    w.start(caller, 1, "dest:0");
    w.set_up();
    w.say(caller, "nonsense");
    assert_eq!(w.net.closed.get(&caller), Some(&Ending::Told));
    let told = w.told_unheard(caller);
    assert!(told.contains("FINISH") && told.contains("\"0000000000000001\""), "{told}");
    assert_eq!(w.heard().iter().filter(|(_, kind, ..)| *kind == kind::FINISH).count(), 1, "it is given up");
    w.nothing_is_kept();
}

#[test]
fn half_a_message_does_not_take_along_what_is_open_on_its_connection() {
    let mut w = World::new();
    let caller = w.caller();
    w.start(caller, 1, "dest:0");
    let core = w.set_up();
    w.platform.read(w.now, caller, b"{\"verb\":", &mut w.net);
    w.wait(1900);
    assert_eq!(w.net.closed.get(&caller), None, "an answer is owed there");
    let told = w.told(caller);
    if told.is_empty() {
        w.stands(core, 1);
        assert!(w.told(caller).contains("STARTED"));
    }
    w.wait(2000);
    assert_eq!(w.net.closed.get(&caller), Some(&Ending::Told), "then it is closed as any other");
}

#[test]
fn a_connection_on_which_a_set_up_may_lie_is_not_closed_as_idle_nor_for_room() {
    let mut w = World::new();
    // The first two are the oldest and have said nothing yet: they make room first.
    let (crosses, idle) = (w.caller(), w.caller());
    w.net.unread.insert(crosses);
    let closed = |w: &World| [crosses, idle].map(|caller| w.net.closed.contains_key(&caller));
    for _ in 0..126 {
        w.caller();
    }
    assert_eq!(closed(&w), [false, false]);
    w.caller();
    assert_eq!(closed(&w), [false, true], "the next one makes room instead");
    w.wait(6000);
    assert_eq!(closed(&w), [false, true], "nor is it closed as one that says nothing");
    w.net.unread.clear();
    w.start(crosses, 1, "dest:0");
    let core = w.set_up();
    w.stands(core, 1);
    assert!(w.told(crosses).contains("STARTED"));
}

#[test]
fn a_core_connection_on_which_something_lies_is_not_closed_as_idle() {
    let mut w = World::new();
    w.wait_connecting(400);
    let cores = w.open_to("127.0.1.1");
    w.net.unread.insert(cores[0]);
    w.wait(9500);
    let closed = |w: &World, core| w.net.closed.contains_key(core);
    assert!(!closed(&w, &cores[0]) && closed(&w, &cores[1]));
}

#[test]
fn without_a_descriptor_for_the_watch_an_idle_caller_makes_room() {
    let mut w = World::new();
    let (idle, busy) = (w.caller(), w.caller());
    w.say(idle, r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#);
    w.start(busy, 1, "dest:0");
    w.set_up();
    w.net.used_up = true;
    w.lose(FEED, false);
    w.wait(200);
    assert!(w.net.closed.contains_key(&idle) && !w.net.closed.contains_key(&busy));
    let before = w.net.connects.len();
    w.net.used_up = false;
    w.wait(200);
    assert!(w.net.connects[before..].iter().any(|(_, at)| at.ip().to_string() == "127.0.0.9"));
}

#[test]
fn told_to_end_half_a_message_is_waited_for_and_a_set_up_has_no_longer_than_the_process() {
    let mut w = World::new();
    let caller = w.caller();
    w.platform.end(w.now, &mut w.net);
    w.platform.read(w.now, caller, b"{\"verb\":", &mut w.net);
    w.wait(800);
    assert!(w.platform.shut(w.now) && !w.platform.ended(w.now), "the rest may come");
    let other = w.caller();
    w.say(
        other,
        r#"{"verb":"START","tag":"0000000000000001","opts":{"class":"voice","left":"60000","extras":"dest:0"},"blob":"x"}"#,
    );
    let heard = w.heard();
    let left = &heard[0].3.iter().find(|(code, _)| *code == code::LEFT).unwrap().1;
    assert_eq!(std::str::from_utf8(left).unwrap(), "2600", "3400 ms after the word it ends");
    w.wait(2700);
    assert!(w.platform.ended(w.now));
    w.platform.leave(w.now, &mut w.net);
    let told = w.told_unheard(other);
    assert_eq!(told.lines().filter(|line| line.contains("FINISH")).count(), 1, "{told}");
    assert_eq!(w.net.closed.get(&other), Some(&Ending::Told));
    w.nothing_is_kept();
}

/// Seen on the bench: the answer comes seconds late, the call's end, or that it was cut, before it.
#[test]
fn the_end_of_a_call_whose_answer_never_came_is_told_at_once_and_nothing_is_launched_again() {
    for end in [cause::NORMAL, cause::RESET] {
        let mut w = World::new();
        let caller = w.caller();
        w.start(caller, 5, "dest:0");
        let core = w.set_up();
        w.ends(core, 5, end);
        let told = w.told(caller);
        assert_eq!(told.lines().count(), 1, "{told}");
        assert!(told.contains("\"FINISH\"") && told.contains("\"rc\":41"), "it has failed: {told}");
        w.wait(1000);
        w.stands(core, 5);
        w.wait(1000);
        assert_eq!(w.told(caller), "", "the answer comes too late");
        assert!(w.heard().is_empty(), "nothing is launched again");
        w.nothing_is_kept();
    }
}

/// Seen on the bench beside other work: the end of a call whose answer is held up crosses the give-up of its set-up.
#[test]
fn the_end_of_a_call_that_crosses_its_give_up_is_told_at_once_and_nothing_is_launched_again() {
    for end in [cause::NORMAL, cause::RESET] {
        let mut w = World::new();
        let (core, caller) = w.call_with_a_launch_given_up(5);
        assert_eq!(w.told(caller), "", "it waits for a second launch");
        w.ends(core, 5, end);
        w.has_failed_once(caller);
        w.nothing_is_kept();
    }
}

#[test]
fn the_end_of_a_call_whose_answer_was_lost_with_its_connection_is_told_by_another_one() {
    for end in [cause::NORMAL, cause::RESET] {
        let mut w = World::new();
        w.wait_connecting(100);
        let caller = w.caller();
        w.start(caller, 5, "dest:0");
        let core = w.set_up();
        let ip = w.net.at[&core].clone();
        w.lose(core, false);
        let other = w.open_to(&ip)[0];
        w.ends(other, 5, end);
        w.has_failed_once(caller);
        w.nothing_is_kept();
    }
}

#[test]
fn the_end_of_a_former_launch_calls_off_the_one_that_is_out() {
    for end in [cause::NORMAL, cause::RESET] {
        let mut w = World::new();
        w.wait_connecting(100);
        let caller = w.caller();
        w.start(caller, 5, "dest:0");
        let first = w.set_up();
        w.lose(first, false);
        w.wait(200);
        let second = w.set_up();
        let ip = w.net.at[&first].clone();
        let other = w.open_to(&ip).into_iter().find(|socket| *socket != second).expect("two are kept");
        w.ends(other, 5, end);
        let told = w.told(caller);
        assert!(told.contains("\"FINISH\"") && told.contains("\"rc\":41"), "it has failed: {told}");
        let heard = w.heard();
        assert!(matches!(heard[..], [(on, kind::FINISH, Tag(5), _)] if on == second), "{heard:?}");
        w.stands(second, 5);
        w.wait(1000);
        assert_eq!(w.told(caller), "", "nothing after the final answer");
        assert_eq!(w.sent_set_ups(), 0, "nothing is launched again");
        w.nothing_is_kept();
    }
}

#[test]
fn an_end_under_an_id_that_was_launched_nowhere_yet_is_passed_over() {
    let mut w = World::new();
    let caller = w.caller();
    w.net.unread.insert(caller);
    w.start(caller, 1, "dest:0");
    for core in w.open_to("127.0.1.1") {
        w.ends(core, 1, cause::NORMAL);
    }
    assert_eq!(w.told(caller), "");
    w.net.unread.clear();
    w.turn_over();
    let core = w.set_up();
    w.stands(core, 1);
    assert!(w.told(caller).contains("STARTED"));
}
