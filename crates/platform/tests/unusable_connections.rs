//! Connections to core servers that end or are of no further use while calls stand, and connections that only
//! seem so: no end of a call is lost, and what is slow keeps its calls and set-ups.

mod harness;

use std::time::Duration;

use harness::core_server::CoreServer;

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
