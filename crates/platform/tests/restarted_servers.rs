//! A core server's process dies and another one listens at its address before the list tells of it.

mod harness;

use harness::{FEED, Harness, finish};
use lotussaddle_platform::SocketId;
use lotussaddle_platform::codec::{Tag, cause, kind};

impl Harness {
    /// Lets time pass: connections come up, and the feed sends its number.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(100) {
            self.advance_connecting(100);
            self.send_line(FEED, "1");
        }
    }

    /// The first server's process dies; a new one accepts connections at its address.
    fn restart_first_server(&mut self) {
        for socket in self.open_connections_to("127.0.1.1") {
            self.lose_connection(socket, false);
        }
        self.net.started_connections.clear();
        self.pass(600);
        self.take_core_messages();
    }

    /// The list tells that this host started at this time after the start of the test, at the first server's address.
    fn tell_start(&mut self, host: &str, started_ms: u64) {
        let born_ms = 1_000_000_000_000 + started_ms;
        self.send_feed_event(
            2,
            &format!(
                r#"{{"host":"{host}","dial":"127.0.1.1:1","block":0,"health":"Ready","born_ms":{born_ms}}}"#
            ),
        );
        self.establish_connections();
    }

    /// Sets a call up at the first server, as soon as the module lets one go there.
    fn standing_call_at_first_server(&mut self, tags: std::ops::Range<u64>) -> (u64, SocketId, SocketId) {
        for tag in tags {
            let caller = self.new_caller();
            self.send_start(caller, tag, "dest:0");
            let core = self.take_only_set_up();
            self.answer_from_core(core, tag);
            assert!(self.take_sent_and_acknowledge(caller).contains("STARTED"));
            if self.net.address_of[&core] == "127.0.1.1" {
                return (tag, caller, core);
            }
            self.pass(100);
        }
        panic!("no set-up goes to the first server");
    }

    /// Leaves a set-up open at the first server, as soon as the module lets one go there.
    fn open_set_up_at_first_server(&mut self, tags: std::ops::Range<u64>) -> (u64, SocketId, SocketId) {
        for tag in tags {
            let caller = self.new_caller();
            self.send_start(caller, tag, "dest:0");
            let core = self.take_only_set_up();
            if self.net.address_of[&core] == "127.0.1.1" {
                return (tag, caller, core);
            }
            self.answer_from_core(core, tag);
            self.take_sent_and_acknowledge(caller);
            self.pass(100);
        }
        panic!("no set-up goes to the first server");
    }

    fn released_at(&mut self, address: &str) -> Vec<Tag> {
        let messages = self.take_core_messages();
        let finishes = messages.iter().filter(|(_, kind, ..)| *kind == kind::FINISH);
        finishes
            .filter(|(core, ..)| self.net.address_of[core] == address)
            .map(|(_, _, tag, _)| *tag)
            .collect()
    }
}

/// Guards against calls at a live process that are reported as cut because the list tells late of its start.
#[test]
fn calls_set_up_at_a_new_process_go_on_when_the_list_tells_of_it() {
    let mut w = Harness::new();
    let (old_caller, _) = w.new_standing_call(5);
    w.pass(1000);
    w.restart_first_server();
    let (tag, caller, core) = w.standing_call_at_first_server(100..120);
    w.tell_start("a", 1000);
    assert_eq!(w.take_sent_and_acknowledge(old_caller), finish(5, cause::RESET), "its process is gone");
    assert_eq!(w.take_sent_and_acknowledge(caller), "", "it goes on");
    assert!(!w.net.closed.contains_key(&core) && w.released_at("127.0.1.1").is_empty());
    w.end_from_core(core, tag, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(tag, cause::NORMAL));
    // The server goes on being used, by the same connections.
    w.pass(3000);
    let (_, _, core) = w.standing_call_at_first_server(200..260);
    assert!(w.open_connections_to("127.0.1.1").contains(&core));
    assert!(w.open_connections_to("127.0.1.1").len() <= 4);
}

/// The answer to a set-up that was sent to the new process arrives after the list has told of it.
#[test]
fn a_set_up_open_at_a_new_process_is_answered_and_not_launched_again() {
    let mut w = Harness::new();
    w.pass(1000);
    w.restart_first_server();
    w.standing_call_at_first_server(100..120);
    let (tag, caller, core) = w.open_set_up_at_first_server(150..200);
    w.tell_start("a", 1000);
    let launched = w.take_core_messages();
    assert!(!launched.iter().any(|(_, kind, again, _)| (*kind, again.0) == (kind::START, tag)));
    assert!(!w.net.closed.contains_key(&core));
    w.answer_from_core(core, tag);
    assert!(w.take_sent_and_acknowledge(caller).contains("STARTED"));
}

/// Guards against calls that stand for nobody: another host has the address, and its process goes on.
#[test]
fn calls_at_the_process_of_another_host_are_released_there_when_they_are_cut() {
    let mut w = Harness::new();
    w.pass(1000);
    w.restart_first_server();
    let (tag, caller, _) = w.standing_call_at_first_server(100..120);
    w.tell_start("c", 1000);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(tag, cause::RESET));
    assert!(w.released_at("127.0.1.1").contains(&Tag(tag)));
}

/// A connection that came up before the start leads to the process before it.
#[test]
fn calls_of_the_process_before_are_cut_when_no_connection_has_come_up_since() {
    let mut w = Harness::new();
    let (caller, core) = w.new_standing_call(5);
    w.pass(1000);
    w.tell_start("a", 900);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::RESET));
    assert!(w.net.closed.contains_key(&core));
    w.assert_nothing_held();
}
