//! The control feed: each event is applied once and in order, whatever happens to the connection.

use std::time::Duration;

use lotussaddle_platform::feed::{Event, Feed, FeedError};

const NOW: Duration = Duration::from_secs(1);

fn event(n: u64) -> String {
    format!(
        r#"{{"n":{n},"members":{{"seq":{n},"whole":false,"hosts":[{{"host":"s-{n}","dial":"127.0.0.1:9","block":1,"health":"Gone","born_ms":0}}]}}}}"#
    ) + "\n"
}

fn read(feed: &mut Feed, text: &str) -> (Vec<u64>, Result<(), FeedError>) {
    let mut events: Vec<Event> = Vec::new();
    let read = feed.receive(NOW, text.as_bytes(), &mut events);
    (events.iter().map(|event| event.n).collect(), read)
}

#[test]
fn each_event_is_applied_once_wherever_the_stream_is_split() {
    let text = event(4) + "4\n" + &event(4) + &event(5);
    for at in 0..=text.len() {
        let mut feed = Feed::new(3);
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
    let mut feed = Feed::new(3);
    assert!(read(&mut feed, &event(4)[..30]).0.is_empty());
    feed.connection_lost(NOW);
    assert_eq!(feed.subscribe_line(), b"SUB 3\n");
    assert_eq!(read(&mut feed, &event(4)), (vec![4], Ok(())));
    assert_eq!(feed.subscribe_line(), b"SUB 4\n");
}

#[test]
fn a_gap_is_detected_by_an_event_and_by_a_number() {
    for text in [event(5), "4\n".into()] {
        let mut feed = Feed::new(3);
        assert_eq!(read(&mut feed, &text), (vec![], Err(FeedError("an event is missing"))));
        assert_eq!(feed.last_event(), 3);
    }
}

#[test]
fn an_invalid_line_ends_the_connection() {
    for text in ["hello\n", "{\"n\":4,\"members\":7}\n", "-1\n"] {
        assert_eq!(read(&mut Feed::new(3), text).1, Err(FeedError("a line is not an event")), "{text}");
    }
    assert_eq!(
        read(&mut Feed::new(3), &"x".repeat(2 << 20)).1,
        Err(FeedError("unterminated line exceeds the maximum length"))
    );
}

#[test]
fn the_feed_times_out_some_time_after_the_last_line() {
    let mut feed = Feed::new(3);
    feed.connect_started(Duration::ZERO);
    let before = feed.timeout_at();
    assert!(before > Duration::from_millis(1100), "a number comes each second");
    assert_eq!(read(&mut feed, "3\n").1, Ok(()));
    assert_eq!(feed.timeout_at(), before + NOW);
}
