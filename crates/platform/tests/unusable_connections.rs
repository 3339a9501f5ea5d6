//! Connections to core servers that end or are of no further use while calls stand, and connections that only
//! seem so: no end of a call is lost, and what is slow keeps its calls and set-ups.

mod harness;

use std::collections::BTreeSet;
use std::time::Duration;

use harness::core_server::{CoreServer, STEP_MS, answer};
use lotussaddle_platform::SocketId;

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
