//! Ends of calls that the process does not hold, and releases that wait for a connection: as many are kept as the
//! configured limits let calls be held, and none is lost below that.

mod harness;

use harness::{Harness, finish};
use lotussaddle_platform::SocketId;
use lotussaddle_platform::codec::{Tag, cause, kind};

/// The number of dialogues that the limits of the harness's configuration allow.
const MAX_DIALOGUES: u64 = 4096;

impl Harness {
    fn end_all(&mut self, ip: &str, tags: impl Iterator<Item = u64>) {
        let core = self.open_connections_to(ip)[0];
        for tag in tags {
            self.end_from_core(core, tag, cause::NORMAL);
        }
    }

    /// Sets up `count` calls from tag 1 on that all stand at the first server; returns their caller's connection.
    fn many_standing_calls(&mut self, count: u64) -> SocketId {
        let caller = self.new_caller();
        for tag in 1..=count {
            self.send_start(caller, tag, "dest:0;at:a");
        }
        assert_eq!(self.platform.sizes().0, count as usize);
        caller
    }

    fn lose_all_connections_to(&mut self, ip: &str) {
        for socket in self.open_connections_to(ip) {
            self.lose_connection(socket, false);
        }
    }

    fn released_at_cores(&mut self) -> Vec<Tag> {
        let finishes = self.take_core_messages().into_iter().filter(|(_, kind, ..)| *kind == kind::FINISH);
        finishes.map(|(_, _, tag, _)| tag).collect()
    }
}

/// A process is restarted while many calls stand: core servers tell which have ended before callers report them.
#[test]
fn every_end_told_before_its_caller_connects_is_passed_on() {
    let mut w = Harness::new();
    w.end_all("127.0.1.1", 1..=MAX_DIALOGUES);
    let caller = w.new_caller();
    for tag in 1..=MAX_DIALOGUES {
        w.send_start(caller, tag, "dest:0;at:a");
        assert_eq!(w.take_sent_and_acknowledge(caller), finish(tag, cause::NORMAL));
    }
    w.assert_nothing_held();
    assert_eq!(w.platform.remembered_ends(), (0, 0));
}

/// A core server that reports ends of unknown calls without limit costs bounded memory.
#[test]
fn remembered_ends_are_bounded_and_the_oldest_is_forgotten_with_a_line_in_the_log() {
    let mut w = Harness::new();
    w.end_all("127.0.1.1", 1..=5 * MAX_DIALOGUES);
    assert_eq!(w.platform.remembered_ends(), (MAX_DIALOGUES as usize, 0));
    assert!(
        w.net.log.iter().any(|line| line.contains("end of 0000000000000001 forgotten")),
        "{:?}",
        w.net.log
    );
    let caller = w.new_caller();
    w.send_start(caller, 4 * MAX_DIALOGUES + 1, "dest:0;at:a");
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(4 * MAX_DIALOGUES + 1, cause::NORMAL));
}

/// Each new connection to a core server repeats ends of calls that were released; these displace none that is owed.
#[test]
fn repeated_ends_displace_no_end_that_is_owed() {
    let mut w = Harness::new();
    w.end_all("127.0.1.1", std::iter::once(1));
    for tag in 2..MAX_DIALOGUES + 100 {
        let (_, core) = w.new_standing_call(tag);
        w.end_from_core(core, tag, cause::NORMAL);
        w.end_from_core(core, tag, cause::NORMAL);
        if tag % 20 == 0 {
            w.advance_connecting(50);
        }
    }
    let (owed, repeated) = w.platform.remembered_ends();
    assert!(owed == 1 && repeated <= MAX_DIALOGUES as usize, "{owed}, {repeated}");
    let caller = w.new_caller();
    w.send_start(caller, 1, "dest:0;at:a");
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(1, cause::NORMAL));
}

/// An earlier attempt of the call has ended at one server; the call stands at another, and goes on.
#[test]
fn an_end_at_another_server_does_not_release_a_reported_call() {
    let mut w = Harness::new();
    w.end_all("127.0.1.2", std::iter::once(5));
    let caller = w.new_caller();
    w.send_start(caller, 5, "dest:0;at:a");
    assert_eq!(w.take_sent_and_acknowledge(caller), "");
    assert_eq!(w.platform.sizes().0, 1);
    let core = w.open_connections_to("127.0.1.1")[0];
    w.end_from_core(core, 5, cause::NORMAL);
    assert_eq!(w.take_sent_and_acknowledge(caller), finish(5, cause::NORMAL));
    w.assert_nothing_held();
}

/// Callers end their calls while no connection to the core server is open: it is told each on the next one.
#[test]
fn every_release_that_waits_for_a_connection_is_sent_on_the_next_one() {
    let mut w = Harness::new();
    let caller = w.many_standing_calls(2000);
    w.lose_all_connections_to("127.0.1.1");
    w.net.started_connections.clear();
    for tag in 1..=2000 {
        w.send_line(caller, &finish(tag, cause::NORMAL));
    }
    assert!(w.released_at_cores().is_empty());
    w.advance_connecting(400);
    assert!(w.released_at_cores().into_iter().eq((1..=2000).map(Tag)));
}

/// The first connection that comes up accepts none of the waiting releases: they are sent on the one after it.
#[test]
fn waiting_releases_survive_a_connection_whose_write_queue_is_full() {
    let mut w = Harness::new();
    let caller = w.many_standing_calls(3);
    w.lose_all_connections_to("127.0.1.1");
    w.net.started_connections.clear();
    for tag in 1..=3 {
        w.send_line(caller, &finish(tag, cause::NORMAL));
    }
    while w.net.started_connections.is_empty() {
        w.advance(10);
    }
    let (first, _) = w.net.started_connections.remove(0);
    assert!(!w.net.closed.contains_key(&first));
    w.net.full_queues.insert(first);
    w.bring_up(first);
    assert!(w.net.closed.contains_key(&first));
    w.advance_connecting(400);
    assert_eq!(w.released_at_cores(), [Tag(1), Tag(2), Tag(3)]);
}
