//! Set-ups are shared fairly between callers' connections before the decision module has them.

mod harness;

use std::time::Duration;

use harness::Harness;
use lotussaddle_platform::SocketId;
use lotussaddle_platform::codec::{Start, Tag, cause, kind};
use lotussaddle_platform::intake::{Intake, IntakeBounds, QueuedSetUp};

const BOUNDS: IntakeBounds = IntakeBounds { per_connection: 600, bytes: 200_000 };

fn set_up(tag: u64, description: &str) -> QueuedSetUp {
    let start = Start {
        tag: Tag(tag),
        class: "voice".into(),
        time_left_ms: 1000.0,
        is_retry: false,
        key: None,
        first_choice: -1,
        width: 1.0,
        redialled_after_cut: false,
        standing_at: None,
        description: description.into(),
    };
    QueuedSetUp { start, product: 0, deadline: Duration::from_secs(tag), not_before: Duration::ZERO }
}

/// Queues set-ups of a connection, and removes what is too much; returns the tags of those.
fn push_many(intake: &mut Intake, socket: SocketId, count: u64, description: &str) -> Vec<Tag> {
    let mut removed = Vec::new();
    for n in 1..=count {
        if intake.has_room_for(socket) {
            intake.push(socket, set_up(socket.0 << 32 | n, description));
        }
        while let Some(tag) = intake.excess() {
            intake.remove(tag);
            removed.push(tag);
        }
    }
    removed
}

/// Guards against a connection that is refused for what others have queued, however many they are.
#[test]
fn what_is_too_much_is_taken_from_the_connection_that_has_most() {
    for description in ["x".to_owned(), "x".repeat(5000)] {
        for others in [1, 30] {
            let mut intake = Intake::new(BOUNDS);
            (1..=others).for_each(|n| drop(push_many(&mut intake, SocketId(n), 1000, &description)));
            let removed = push_many(&mut intake, SocketId(500), 1, "x");
            assert!(removed.iter().all(|tag| tag.0 >> 32 != 500), "{others}: {removed:?}");
            assert!(intake.get(Tag((500 << 32) + 1)).is_some() && intake.bytes() <= BOUNDS.bytes);
            assert!(intake.len() <= 600 * others as usize + 1);
        }
    }
}

#[test]
fn connections_take_turns_and_removed_set_ups_leave_nothing_behind() {
    let mut intake = Intake::new(BOUNDS);
    let many = 300;
    assert!(push_many(&mut intake, SocketId(1), many, "x").is_empty());
    let few = [(2u64 << 32) + 1, (2u64 << 32) + 2];
    few.iter().for_each(|tag| intake.push(SocketId(2), set_up(*tag, "x")));
    assert_eq!(intake.in_turn(), [SocketId(1), SocketId(2)]);
    assert_eq!(intake.take_first(SocketId(1)).unwrap().start.tag, Tag((1 << 32) + 1));
    assert_eq!(intake.in_turn(), [SocketId(2), SocketId(1)]);
    assert!(intake.remove(Tag(few[0])).is_some() && intake.remove(Tag(few[0])).is_none());
    assert_eq!(intake.take_first(SocketId(2)).unwrap().start.tag, Tag(few[1]));
    for count in 2..=many {
        assert!(intake.remove(Tag(1 << 32 | count)).is_some());
    }
    assert!(intake.is_empty() && intake.bytes() == 0 && intake.in_turn().is_empty());
    assert!(intake.expired(Duration::MAX).is_none() && intake.take_first(SocketId(1)).is_none());
}

#[test]
fn deferred_set_ups_are_queued_when_their_time_has_come_and_expire_like_others() {
    let mut intake = Intake::new(BOUNDS);
    let due = Duration::from_secs(2);
    intake.push(SocketId(1), QueuedSetUp { not_before: due, ..set_up(5, "x") });
    intake.queue_deferred(Duration::from_secs(1));
    assert!(intake.in_turn().is_empty() && intake.deferred_due() == Some(due));
    assert_eq!(intake.expired(Duration::from_secs(5)), Some(Tag(5)));
    intake.queue_deferred(due);
    assert!(intake.deferred_due().is_none());
    assert_eq!(intake.take_first(SocketId(1)).unwrap().start.tag, Tag(5));
}

/// One connection sends more than the process may hold: another one was refused for it.
#[test]
fn a_set_up_is_not_refused_because_another_connection_sends_too_many() {
    let mut w = Harness::new();
    let (floods, other) = (w.new_caller(), w.new_caller());
    w.net.unread_sockets.insert(floods);
    for tag in 1..=6000 {
        w.send_start(floods, tag, "dest:0");
    }
    assert!(w.platform.sizes().0 < 4096);
    assert!(w.take_sent(floods).contains("\"rc\":42"), "beyond its share it is refused");
    w.take_core_messages();
    w.send_start(other, 7000, "dest:0");
    let set_up = w.take_core_messages().into_iter().find(|(_, _, tag, _)| *tag == Tag(7000));
    assert!(set_up.is_some_and(|(_, kind, ..)| kind == kind::START));
}

/// Set-ups that cannot be sent on yet, because their caller still writes, made core servers seem not to answer.
#[test]
fn set_ups_of_a_caller_that_still_writes_occupy_no_core_server() {
    let mut w = Harness::new();
    let (floods, other) = (w.new_caller(), w.new_caller());
    w.net.unread_sockets.insert(floods);
    for tag in 1..=100 {
        w.send_start(floods, tag, "dest:0");
    }
    for tag in 1001..1020 {
        w.advance(50);
        w.take_core_messages();
        w.send_start(other, tag, "dest:0");
        let core = w.take_only_set_up();
        w.answer_from_core(core, tag);
        assert!(w.take_sent(other).contains("STARTED"));
        w.send_line(harness::FEED, "1");
    }
    assert!(!w.net.log.iter().any(|line| line.contains("set aside")), "{:?}", w.net.log);
}

/// Input arrives between the decision on a set-up and its launch: the set-up goes back into its queue, no core server hears
/// of it meanwhile, and it is launched once.
#[test]
fn a_set_up_that_is_held_back_is_launched_once_when_its_input_was_read() {
    let mut w = Harness::new();
    for ip in ["127.0.1.1", "127.0.1.2"] {
        for socket in w.open_connections_to(ip) {
            w.lose_connection(socket, false);
        }
    }
    w.advance(60);
    let caller = w.new_caller();
    w.send_start(caller, 5, "dest:0");
    w.net.unread_sockets.insert(caller);
    w.establish_connections();
    w.advance_connecting(300);
    assert!(w.take_core_messages().is_empty(), "neither a set-up nor its cancellation is sent");
    w.net.unread_sockets.clear();
    w.end_iteration();
    let core = w.take_only_set_up();
    w.answer_from_core(core, 5);
    assert!(w.take_sent(caller).contains("STARTED"));
    w.end_from_core(core, 5, cause::NORMAL);
    w.take_sent_and_acknowledge(caller);
    w.assert_nothing_held();
    assert!(!w.net.log.iter().any(|line| line.contains("suspected")), "{:?}", w.net.log);
}
