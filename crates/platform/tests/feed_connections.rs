//! The connections to the control feed, and what is waiting to be read when a peer is judged by its silence.

mod harness;

use harness::{FEED, Harness, finish};
use lotussaddle_platform::SocketId;
use lotussaddle_platform::codec::{cause, kind};

const FIRST_SERVER_DRAINS: &str = r#"{"n":2,"members":{"seq":2,"whole":false,"hosts":[{"host":"a","dial":"127.0.1.1:1","block":0,"health":"Terminating"}]}}"#;

impl Harness {
    fn feed_connections(&self) -> Vec<SocketId> {
        self.open_connections_to("127.0.0.9")
    }

    /// Whether a set-up whose first choice is the first server is sent to it.
    fn first_server_gets_set_ups(&mut self, tag: u64) -> bool {
        let caller = self.new_caller();
        self.take_core_messages();
        self.send_start(caller, tag, "dest:0");
        let core = self.take_only_set_up();
        self.end_from_core(core, tag, cause::FULL);
        self.net.address_of[&core] == "127.0.1.1"
    }
}

/// The feed answers each request later than a working connection may be silent: its events are heard all the same.
#[test]
fn events_of_a_feed_that_answers_late_are_applied() {
    let mut w = Harness::new();
    w.advance(2000);
    let connections = w.feed_connections();
    assert!(connections.len() == 2 && connections[0] == FEED, "{connections:?}");
    assert!(w.first_server_gets_set_ups(1));
    w.send_line(FEED, FIRST_SERVER_DRAINS);
    assert_eq!(w.feed_connections(), [FEED], "the other request is of no more use");
    assert!(!w.first_server_gets_set_ups(2));
}

/// A feed that accepts a connection and says nothing is asked again on another one, and left once that one delivers.
#[test]
fn a_feed_connection_that_never_delivers_is_left() {
    let mut w = Harness::new();
    w.advance(1700);
    let second = *w.feed_connections().last().unwrap();
    assert_ne!(second, FEED);
    w.bring_up(second);
    w.send_line(second, FIRST_SERVER_DRAINS);
    assert_eq!(w.feed_connections(), [second]);
    assert!(!w.first_server_gets_set_ups(1));
}

/// The feed is silent for a minute: there are never more than two requests, and each connection is left in time.
#[test]
fn requests_to_a_feed_that_is_silent_for_long_are_bounded() {
    let mut w = Harness::new();
    for _ in 0..600 {
        w.advance(100);
        for socket in w.feed_connections() {
            w.bring_up(socket);
        }
        assert!(w.feed_connections().len() <= 2);
    }
    assert!(w.net.closed.contains_key(&FEED));
}

/// The process stood still while events came: they are in the socket when the silence of the feed is looked at.
#[test]
fn a_feed_with_unread_input_is_not_left_for_its_silence() {
    let mut w = Harness::new();
    w.send_line(FEED, "1");
    w.net.unread_sockets.insert(FEED);
    w.now += std::time::Duration::from_millis(1900);
    w.platform.timer_fired(w.now, &mut w.net);
    assert_eq!(w.feed_connections(), [FEED]);
    w.net.unread_sockets.clear();
    w.send_line(FEED, FIRST_SERVER_DRAINS);
    assert!(!w.first_server_gets_set_ups(1));
    w.advance(1700);
    assert!(w.net.closed.contains_key(&FEED), "without input it is left");
}

/// The process stood still while the last calls of a delisted server ended: they were released, not cut.
#[test]
fn a_server_with_unread_input_is_not_ended_for_its_silence() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    w.send_feed_event(2, r#"{"host":"a","dial":"127.0.1.1:1","block":0,"health":"Gone"}"#);
    w.net.unread_sockets.insert(core);
    w.now += std::time::Duration::from_millis(1900);
    w.platform.timer_fired(w.now, &mut w.net);
    w.net.unread_sockets.clear();
    assert_eq!(w.take_sent(caller), "");
    w.send_from_core(core, kind::FINISH, 5, &[(lotussaddle_platform::codec::code::CAUSE, &[cause::NORMAL])]);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::NORMAL));
}
