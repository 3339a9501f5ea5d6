//! The control feed: each event is applied once and in order, whatever happens to the connection.

use std::time::Duration;

use lotussaddle_platform::SocketId;
use lotussaddle_platform::feed::{Event, Feed, FeedError};

const NOW: Duration = Duration::from_secs(1);

fn event(n: u64) -> String {
    format!(
        r#"{{"n":{n},"members":{{"seq":{n},"whole":false,"hosts":[{{"host":"s-{n}","dial":"127.0.0.1:9","block":1,"health":"Gone","born_ms":0}}]}}}}"#
    ) + "\n"
}

const FIRST: SocketId = SocketId(1);
const SECOND: SocketId = SocketId(2);

/// A feed with one connection, which is established.
fn connected(last_event: u64) -> Feed {
    let mut feed = Feed::new(last_event);
    connect(&mut feed, Duration::ZERO, FIRST);
    feed
}

fn connect(feed: &mut Feed, now: Duration, socket: SocketId) -> String {
    feed.connect_started(now, socket);
    String::from_utf8(feed.connection_up(socket)).unwrap()
}

fn read(feed: &mut Feed, text: &str) -> (Vec<u64>, Result<(), FeedError>) {
    let mut events: Vec<Event> = Vec::new();
    let read = feed.receive(NOW, FIRST, text.as_bytes(), &mut events);
    (events.iter().map(|event| event.n).collect(), read.map(drop))
}

#[test]
fn each_event_is_applied_once_wherever_the_stream_is_split() {
    let text = event(4) + "4\n" + &event(4) + &event(5);
    for at in 0..=text.len() {
        let mut feed = connected(3);
        let (mut events, first) = read(&mut feed, &text[..at]);
        let (more, second) = read(&mut feed, &text[at..]);
        events.extend(more);
        assert_eq!(
            (events, first, second, feed.last_event()),
            (vec![4, 5], Ok(()), Ok(()), 5),
            "split at {at}"
        );
    }
}

#[test]
fn an_incomplete_line_is_discarded_with_its_connection() {
    let mut feed = connected(3);
    assert!(read(&mut feed, &event(4)[..30]).0.is_empty());
    feed.connection_lost(NOW, FIRST);
    assert_eq!(connect(&mut feed, NOW, FIRST), "SUB 3\n");
    assert_eq!(read(&mut feed, &event(4)), (vec![4], Ok(())));
    assert_eq!(connect(&mut feed, NOW, SECOND), "SUB 4\n");
}

#[test]
fn a_gap_is_detected_by_an_event_and_by_a_number() {
    for text in [event(5), "4\n".into()] {
        let mut feed = connected(3);
        assert_eq!(read(&mut feed, &text), (vec![], Err(FeedError("an event is missing"))));
        assert_eq!(feed.last_event(), 3);
    }
}

#[test]
fn an_invalid_line_ends_the_connection() {
    for text in ["hello\n", "{\"n\":4,\"members\":7}\n", "-1\n"] {
        assert_eq!(read(&mut connected(3), text).1, Err(FeedError("a line is not an event")), "{text}");
    }
    assert_eq!(
        read(&mut connected(3), &"x".repeat(2 << 20)).1,
        Err(FeedError("unterminated line exceeds the maximum length"))
    );
}

#[test]
fn the_feed_times_out_some_time_after_the_last_line() {
    let mut feed = Feed::new(3);
    feed.connect_started(Duration::ZERO, FIRST);
    let before = feed.timeout_at(FIRST).unwrap();
    assert!(before > Duration::from_millis(1100), "a number comes each second");
    feed.connection_up(FIRST);
    assert_eq!(read(&mut feed, "3\n").1, Ok(()));
    assert_eq!(feed.timeout_at(FIRST).unwrap(), before + NOW);
}

/// What a feed does that answers requests late, or not at all.
fn first_event_heard_after(first_line_ms: u64, is_first_dead: bool) -> Option<(u64, usize)> {
    let mut feed = Feed::new(3);
    let mut open: Vec<(SocketId, u64)> = Vec::new();
    let mut most_open = 0;
    for now_ms in (0..60_000).step_by(50) {
        let now = Duration::from_millis(now_ms);
        for (socket, started_ms) in open.clone() {
            let is_dead = is_first_dead && socket == FIRST;
            if !is_dead && now_ms >= started_ms + first_line_ms {
                let mut events = Vec::new();
                let superseded = feed.receive(now, socket, event(4).as_bytes(), &mut events).unwrap();
                assert_eq!(events.len(), 1);
                assert!(superseded.len() < open.len() && !feed.wants_connection(now));
                return Some((now_ms, most_open));
            }
        }
        for socket in feed.unresponsive(now) {
            feed.connection_lost(now, socket);
            open.retain(|(other, _)| *other != socket);
        }
        if feed.wants_connection(now) {
            let socket = SocketId(now_ms / 50 + 1);
            assert_eq!(connect(&mut feed, now, socket), "SUB 3\n");
            open.push((socket, now_ms));
            most_open = most_open.max(open.len());
        }
    }
    None
}

/// Guards against a feed that is never heard because it answers later than a working connection may be silent.
#[test]
fn a_feed_that_answers_late_is_heard_on_the_connection_that_has_waited_longest() {
    for first_line_ms in [50, 500, 1550, 1650, 2000, 2900, 5000, 9000, 15_000] {
        let (heard_ms, most_open) = first_event_heard_after(first_line_ms, false).expect("the feed is heard");
        assert_eq!(heard_ms, first_line_ms);
        assert!(most_open <= 2, "{first_line_ms}: {most_open} connections");
    }
}

/// Guards against waiting for ever on a connection that came up and delivers nothing.
#[test]
fn a_request_that_is_never_answered_does_not_keep_the_feed_from_being_heard() {
    for (first_line_ms, limit_ms) in [(50, 1650), (500, 2150), (1500, 3150), (5000, 25_000), (14_000, 34_000)]
    {
        let (heard_ms, most_open) = first_event_heard_after(first_line_ms, true).expect("the feed is heard");
        assert!(heard_ms <= limit_ms && most_open <= 2, "{first_line_ms}: {heard_ms}, {most_open}");
    }
}
