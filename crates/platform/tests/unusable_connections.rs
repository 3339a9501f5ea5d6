//! Connections to core servers that end or are of no further use while calls stand, and connections that only
//! seem so: no end of a call is lost, and what is slow keeps its calls and set-ups.

mod harness;

use std::collections::BTreeSet;
use std::time::Duration;

use harness::core_server::{CoreServer, FAILURES, Failure, STEP_MS, answer};
use harness::{FEED, Harness, finish};
use lotussaddle_platform::SocketId;
use lotussaddle_platform::codec::cause;

/// Guards against an end that is lost with a connection while enough others are up that none is opened.
#[test]
fn a_connection_is_opened_after_one_was_lost_that_may_have_carried_an_end() {
    for count in [2, 3, 4] {
        let mut server = CoreServer::new();
        server.open_up_to(count);
        let (connection, calls) = server.standing_calls();
        // The releases are written, and the connection is reset before they are read.
        server.delayed.insert(connection, Vec::new());
        for (tag, _) in &calls {
            server.end(*tag);
        }
        server.w.lose_connection(connection, false);
        for (tag, caller) in calls {
            let time = server.time_until_released(tag, caller);
            assert!(time.is_some_and(|time| time <= Duration::from_secs(1)), "{count} connections: {time:?}");
        }
    }
}

/// Guards against a loss of open set-ups and standing calls while the whole process of a core server pauses.
#[test]
fn a_paused_core_server_keeps_its_calls_and_set_ups() {
    for pause_ms in [1000, 3000, 4500] {
        let mut server = CoreServer::new();
        server.open_up_to(4);
        let (standing, standing_caller, _) = server.standing_call();
        let open = server.concurrent_set_ups();
        let used: BTreeSet<SocketId> = open.iter().map(|(_, _, core)| *core).collect();
        assert_eq!(used.len(), 4, "a set-up is open on each connection");
        server.is_paused = true;
        server.run(pause_ms);
        server.is_paused = false;
        assert_eq!(server.w.take_sent(standing_caller), "", "cut in a pause of {pause_ms} ms");
        for (tag, caller, core) in open {
            assert!(server.is_open(core), "closed in a pause of {pause_ms} ms");
            server.send(core, &answer(tag));
            assert!(server.w.take_sent(caller).contains("STARTED"), "a pause of {pause_ms} ms");
        }
        server.run(STEP_MS);
        server.end(standing);
        assert!(server.time_until_released(standing, standing_caller).is_some());
    }
}

/// Guards against connections that are replaced although they are merely idle.
#[test]
fn an_idle_connection_that_receives_reports_is_kept() {
    let mut server = CoreServer::new();
    let (_, calls) = server.standing_calls();
    let open = server.open_connections();
    server.run(30_000);
    assert_eq!(server.open_connections(), open);
    for (_, caller) in calls {
        assert_eq!(server.w.take_sent(caller), "");
    }
}

/// Lets the connection of some calls fail and these calls end some time later; returns the failures after which
/// a caller is not told of it in time.
fn failures_without_release(sends_reports: bool) -> Vec<(Failure, u64)> {
    let mut without_release = Vec::new();
    for failure in FAILURES {
        for end_after_ms in [100, 2500, 9000] {
            let mut server = CoreServer::new();
            server.sends_reports = sends_reports;
            let (connection, calls) = server.standing_calls();
            server.fail(connection, failure);
            server.run(end_after_ms);
            for (tag, _) in &calls {
                server.end(*tag);
            }
            if calls.iter().any(|(tag, caller)| server.time_until_released(*tag, *caller).is_none()) {
                without_release.push((failure, end_after_ms));
            }
        }
    }
    without_release
}

/// Guards against calls left standing because the only connection that carries their end is unusable.
#[test]
fn a_call_is_released_although_the_connection_of_its_set_up_became_unusable() {
    assert_eq!(failures_without_release(true), []);
}

/// Guards against an end that is lost because no load report shows which connection is unusable.
#[test]
fn a_call_is_released_without_any_load_report() {
    assert_eq!(failures_without_release(false), []);
}

/// Guards against calls left standing because all connections become unusable one after the other.
#[test]
fn a_call_is_released_although_every_connection_became_unusable() {
    for failure in FAILURES {
        let mut server = CoreServer::new();
        let (_, calls) = server.standing_calls();
        for socket in server.open_connections() {
            server.fail(socket, failure);
            server.run(200);
        }
        for (tag, _) in &calls {
            server.end(*tag);
        }
        for (tag, caller) in calls {
            assert!(server.time_until_released(tag, caller).is_some(), "{failure:?}: {tag} is not released");
        }
    }
}

/// Guards against calls left standing behind a connection that came up and never delivered anything.
#[test]
fn a_call_is_released_although_new_connections_deliver_nothing() {
    let mut server = CoreServer::new();
    let (connection, calls) = server.standing_calls();
    server.new_connections_fail = true;
    server.fail(connection, Failure::AnswerStopsShort);
    server.run(2500);
    server.new_connections_fail = false;
    for (tag, _) in &calls {
        server.end(*tag);
    }
    for (tag, caller) in calls {
        assert!(server.time_until_released(tag, caller).is_some(), "{tag} is not released");
    }
}

/// Guards against set-ups that are sent on an unusable connection because it is the one with the fewest.
#[test]
fn set_ups_are_not_sent_on_an_unusable_connection() {
    for failure in FAILURES {
        let mut server = CoreServer::new();
        server.allow_concurrent_set_ups(4);
        let connection = server.open_connections()[0];
        server.fail(connection, failure);
        server.run(4000);
        let open = server.concurrent_set_ups();
        assert!(
            open.len() >= 4 && open.iter().all(|(.., core)| *core != connection),
            "{failure:?}: {open:?}"
        );
    }
}

/// Guards against a loss of set-ups and calls on a connection that is slow in the middle of an answer.
#[test]
fn an_answer_that_pauses_in_the_middle_is_passed_on() {
    for pause_ms in [500, 1500, 3000, 4500] {
        let mut server = CoreServer::new();
        let (standing, standing_caller, _) = server.standing_call();
        let (tag, caller, core) = server.set_up();
        server.delayed.insert(core, answer(tag));
        server.deliver_delayed(core, answer(tag).len() / 2);
        server.run(pause_ms);
        assert!(server.is_open(core), "closed in a pause of {pause_ms} ms");
        server.resume(core);
        assert!(server.w.take_sent(caller).contains("STARTED"), "a pause of {pause_ms} ms");
        server.calls.insert(tag, core);
        server.run(1000);
        for (tag, caller) in [(standing, standing_caller), (tag, caller)] {
            server.end(tag);
            assert!(server.time_until_released(tag, caller).is_some(), "{tag}");
        }
    }
}

/// Guards against a loss of set-ups on a connection that delivers an answer byte by byte.
#[test]
fn an_answer_that_arrives_byte_by_byte_is_passed_on() {
    let mut server = CoreServer::new();
    server.standing_call();
    let (tag, caller, core) = server.set_up();
    server.delayed.insert(core, answer(tag));
    for _ in answer(tag) {
        server.deliver_delayed(core, 1);
        server.run(2 * STEP_MS);
    }
    assert!(server.w.take_sent(caller).contains("STARTED"));
}

/// Guards against a connection that stays excluded although it delivers again.
#[test]
fn a_connection_that_delivers_again_is_used_again() {
    let mut server = CoreServer::new();
    let (tag, caller, core) = server.set_up();
    server.delayed.insert(core, answer(tag));
    server.deliver_delayed(core, 20);
    server.run(3000);
    server.resume(core);
    assert!(server.w.take_sent(caller).contains("STARTED"));
    assert_eq!(server.next_set_up().2, core, "the first of equals is preferred");
}

/// Guards against judging by the clock what waits to be read after this process itself was paused.
#[test]
fn a_connection_with_unread_input_is_not_held_to_be_unusable() {
    let mut server = CoreServer::new();
    let (tag, caller, connection) = server.standing_call();
    let report = server.report();
    server.send(connection, &report[..10]);
    server.w.net.unread_sockets.extend(server.open_connections());
    server.w.advance(3000);
    assert!(server.is_open(connection), "its input waits to be read");
    let suspected = server.w.platform.core_connection_figures(server.w.now).suspected;
    assert_eq!(suspected, 0);
    server.w.net.unread_sockets.clear();
    server.send(connection, &report[10..]);
    server.run(1000);
    assert!(server.is_open(connection));
    server.end(tag);
    assert!(server.time_until_released(tag, caller).is_some());
}

/// Guards against an end that waits for the set-ups open on an unusable connection, and against giving those up.
#[test]
fn a_call_is_released_while_a_set_up_stays_open_on_the_unusable_connection() {
    for end_after_ms in [100, 2500, 4000] {
        let mut server = CoreServer::new();
        let (connection, calls) = server.standing_calls();
        let open = server.concurrent_set_ups();
        let on_connection = open.iter().find(|(.., core)| *core == connection);
        let (tag, caller, _) = *on_connection.expect("a set-up is open on each connection");
        server.delayed.insert(connection, answer(tag));
        server.deliver_delayed(connection, 20);
        server.run(end_after_ms);
        // What the network delays until the answer is complete is no help to the callers of these.
        for (ended, _) in &calls {
            server.end(*ended);
        }
        for (ended, released_caller) in calls {
            assert!(server.time_until_released(ended, released_caller).is_some(), "{ended} is not released");
            assert_eq!(server.w.take_sent(caller), "", "the set-up keeps its time");
        }
        assert!(server.is_open(connection));
        server.resume(connection);
        assert!(server.w.take_sent(caller).contains("STARTED"), "{tag} is answered");
    }
}

/// Guards against set-ups that get no answer behind an incomplete message, with no report and no call to show it.
#[test]
fn set_ups_are_not_sent_behind_an_incomplete_message() {
    let mut server = CoreServer::new();
    server.sends_reports = false;
    server.allow_concurrent_set_ups(4);
    let connection = server.open_connections()[0];
    server.fail(connection, Failure::Noise);
    server.run(2500);
    let open = server.concurrent_set_ups();
    assert!(open.len() >= 4 && open.iter().all(|(.., core)| *core != connection), "{open:?}");
}

/// Guards against set-ups sent on a suspected connection that is kept for the set-ups open on it.
#[test]
fn a_suspected_connection_gets_no_more_set_ups_and_no_releases() {
    let mut server = CoreServer::with_changes(&[("\"cancel\":true", "\"cancel\":false")]);
    server.allow_concurrent_set_ups(9);
    let (connection, calls) = server.standing_calls();
    let set_up = std::iter::repeat_with(|| server.set_up()).find(|(.., core)| *core == connection);
    let (tag, ..) = set_up.expect("each connection gets set-ups");
    server.delayed.insert(connection, answer(tag));
    server.deliver_delayed(connection, 20);
    // Others are answered, so that the decision module does not avoid the whole server.
    for _ in 0..50 {
        server.run(STEP_MS);
        server.standing_call();
    }
    assert!(server.is_open(connection));
    let open = server.concurrent_set_ups();
    assert!(open.len() >= 6 && open.iter().all(|(.., core)| *core != connection), "{open:?}");
    let (hung_up, caller) = calls[0];
    server.w.take_core_messages();
    server.w.send_line(caller, finish(hung_up, cause::NORMAL).trim());
    let released_on: Vec<SocketId> =
        server.w.take_core_messages().iter().map(|(socket, ..)| *socket).collect();
    assert!(released_on.len() == 1 && released_on[0] != connection, "{released_on:?}");
}

/// Guards against a server that is never used again because all connections allowed to it are unusable.
#[test]
fn a_server_is_used_again_after_all_its_connections_became_unusable() {
    let mut server = CoreServer::new();
    server.open_up_to(4);
    let unusable = server.open_connections();
    for socket in &unusable {
        server.fail(*socket, Failure::Noise);
    }
    server.run(4000);
    let (_, _, core) = server.standing_call();
    assert!(!unusable.contains(&core));
}

/// Guards against calls that are cut because a suspected connection is closed while no other one comes up.
#[test]
fn a_suspected_connection_is_kept_while_no_other_one_comes_up() {
    let mut server = CoreServer::new();
    let (tag, caller, connection) = server.standing_call();
    for other in server.open_connections().into_iter().filter(|other| *other != connection) {
        server.w.lose_connection(other, false);
    }
    server.delayed.insert(connection, Vec::new());
    server.deliver(connection, &[0, 20, 12]);
    for _ in 0..80 {
        server.w.advance(STEP_MS);
        for (socket, _) in std::mem::take(&mut server.w.net.started_connections) {
            server.w.lose_connection(socket, true);
        }
    }
    assert!(server.is_open(connection));
    assert_eq!(server.w.take_sent(caller), "", "{tag} stands");
}

/// Guards against set-ups and ends lost on a connection that answers nothing and still delivers load reports.
#[test]
fn a_connection_that_delivers_reports_and_answers_nothing_is_given_up() {
    let mut server = CoreServer::new();
    server.allow_concurrent_set_ups(4);
    let (connection, calls) = server.standing_calls();
    server.fail(connection, Failure::OnlyReportsArrive);
    let mut unanswered = 0;
    for _ in 0..40 {
        for (tag, caller, core) in server.concurrent_set_ups() {
            server.calls.insert(tag, core);
            server.send(core, &answer(tag));
            unanswered += u32::from(!server.w.take_sent(caller).contains("STARTED"));
            server.end(tag);
        }
        server.run(2 * STEP_MS);
    }
    assert!((1..20).contains(&unanswered), "{unanswered} set-ups without an answer");
    assert!(!server.is_open(connection));
    for (tag, caller) in calls {
        server.end(tag);
        assert!(server.time_until_released(tag, caller).is_some(), "{tag} is not released");
    }
}

/// Guards against giving up connections that answer some set-ups late, which are cancelled by then.
#[test]
fn a_connection_that_answers_some_set_ups_late_is_kept() {
    let mut server = CoreServer::new();
    server.allow_concurrent_set_ups(2);
    let open = server.open_connections();
    let mut overtaken_on = BTreeSet::new();
    for _ in 0..20 {
        let (_, leaving, slow) = server.next_set_up();
        server.run(STEP_MS);
        let (tag, _, quick) = server.set_up();
        assert_ne!(slow, quick);
        overtaken_on.insert(slow);
        server.calls.insert(tag, quick);
        server.send(quick, &answer(tag));
        server.end(tag);
        server.w.lose_connection(leaving, false);
    }
    assert!(overtaken_on.len() > 1, "each connection is slow at times");
    assert!(open.iter().all(|socket| server.is_open(*socket)), "{:?}", server.w.net.log);
}

/// Guards against giving up a connection because callers leave before it can answer.
#[test]
fn a_connection_is_kept_when_callers_leave_before_the_answer() {
    let mut server = CoreServer::new();
    server.allow_concurrent_set_ups(4);
    let open = server.open_connections();
    for _ in 0..40 {
        let set_ups = server.concurrent_set_ups();
        for (_, caller, _) in &set_ups[1..] {
            server.w.lose_connection(*caller, false);
        }
        let (tag, _, core) = set_ups[0];
        server.calls.insert(tag, core);
        server.send(core, &answer(tag));
        server.end(tag);
        server.run(2 * STEP_MS);
    }
    assert!(open.iter().all(|socket| server.is_open(*socket)), "{:?}", server.w.net.log);
}

/// Guards against a control feed that is waited for although it delivers no whole line any more.
#[test]
fn a_feed_that_stops_or_sends_a_line_without_an_end_is_asked_again() {
    for is_endless in [false, true] {
        let mut w = Harness::new();
        w.send_feed_event(2, r#"{"host":"b","dial":"127.0.1.2:1","block":1,"health":"Ready"}"#);
        w.platform.bytes_received(w.now, FEED, br#"{"n":3,"members":{"#, &mut w.net);
        let stopped_at = w.now;
        while !w.net.closed.contains_key(&FEED) {
            w.advance(STEP_MS);
            if is_endless && !w.net.closed.contains_key(&FEED) {
                w.platform.bytes_received(w.now, FEED, b" ", &mut w.net);
            }
            assert!(w.now < stopped_at + Duration::from_millis(1750), "endless: {is_endless}");
        }
        w.advance(200);
        let feed = w.open_connections_to("127.0.0.9")[0];
        w.bring_up(feed);
        assert_eq!(w.take_sent(feed), "SUB 2\n", "the event that stopped short is asked for again");
    }
}

/// Guards against an end that waits on the connection of a caller that reads nothing.
#[test]
fn an_end_is_sent_elsewhere_when_the_callers_connection_takes_nothing() {
    let mut server = CoreServer::new();
    let (tag, caller, _) = server.standing_call();
    let (_, other, _) = server.standing_call();
    server.w.net.full_queues.insert(caller);
    server.end(tag);
    server.run(2 * STEP_MS);
    assert!(server.w.net.closed.contains_key(&caller), "nothing can be sent on it");
    assert_eq!(server.w.take_sent(other), finish(tag, cause::NORMAL));
}

/// Guards against a loss of calls because their caller pauses within a message.
#[test]
fn a_caller_that_pauses_within_a_message_keeps_its_calls_and_set_ups() {
    let mut server = CoreServer::new();
    let (standing, caller, _) = server.standing_call();
    let set_up = r#"{"verb":"START","tag":"00000000000000bb","opts":{"class":"voice","left":"8000","extras":"dest:0"},"blob":"x"}"#;
    server.w.send_line(caller, set_up);
    let core = server.w.take_only_set_up();
    server.w.platform.bytes_received(server.w.now, caller, b"{\"verb\":\"EC", &mut server.w.net);
    server.run(4000);
    server.send(core, &answer(0xbb));
    assert!(server.w.take_sent(caller).contains("STARTED"), "an answer is outstanding on it");
    server.run(1500);
    server.w.send_line(caller, "HO\",\"tag\":\"00000000000000cc\",\"opts\":{},\"rc\":0}");
    assert!(server.w.take_sent(caller).contains("ECHOED"));
    server.end(standing);
    assert_eq!(server.w.take_sent(caller), finish(standing, cause::NORMAL));
}
