//! Both message formats: written messages parse to the same values wherever the stream is split; invalid ones
//! are rejected with a reason.

use lotussaddle_platform::codec::*;
use proptest::prelude::*;

fn split(form: Framing, bytes: &[u8], at: usize) -> Vec<Vec<u8>> {
    let mut splitter = MessageSplitter::new(form);
    let mut messages = Vec::new();
    for piece in [&bytes[..at], &bytes[at..]] {
        splitter.push(piece);
        while let Some(message) = splitter.next_message().expect("the stream is valid") {
            messages.push(message.to_vec());
        }
    }
    assert_eq!(splitter.pending_bytes(), 0);
    messages
}

#[test]
fn messages_are_complete_wherever_the_stream_is_split() {
    let mut lines = Vec::new();
    write_caller_message(Tag(7), MessageToCaller::Started("a\r\n\"b\" é\n"), &mut lines);
    write_caller_message(Tag(8), MessageToCaller::Finish { cause: 34, wait_ms: Some(20) }, &mut lines);
    let mut messages = Vec::new();
    write_binary_message(kind::START, Tag(9), &[(180, b"voice"), (210, b"\0\n\xff")], &mut messages);
    write_binary_message(kind::FINISH, Tag(9), &[(208, &[34])], &mut messages);
    for (form, bytes) in [(Framing::Lines, lines), (Framing::Binary, messages)] {
        let whole = split(form, &bytes, 0);
        assert_eq!(whole.len(), 2);
        for at in 0..=bytes.len() {
            assert_eq!(split(form, &bytes, at), whole, "split at {at}");
        }
    }
}

proptest! {
    #[test]
    fn written_binary_messages_parse_to_the_same_values(
        kind: u8, tag: u64, values in prop::collection::btree_map(any::<u8>(), prop::collection::vec(any::<u8>(), 0..300), 0..8),
        at in 0usize..3000,
    ) {
        let parameters: Vec<(u8, &[u8])> = values.iter().map(|(code, value)| (*code, &value[..])).collect();
        let mut bytes = Vec::new();
        prop_assert!(write_binary_message(kind, Tag(tag), &parameters, &mut bytes));
        let messages = split(Framing::Binary, &bytes, at.min(bytes.len()));
        let read = BinaryMessage::parse(&messages[0]).unwrap();
        prop_assert_eq!(read, BinaryMessage { kind, tag: Tag(tag), parameters });
    }

    #[test]
    fn random_input_never_panics(noise: Vec<u8>, text in "\\PC{0,200}") {
        for form in [Framing::Lines, Framing::Binary] {
            let mut splitter = MessageSplitter::new(form);
            splitter.push(&noise);
            while let Ok(Some(message)) = splitter.next_message() {
                let _ = BinaryMessage::parse(message);
                let _ = parse_caller_message(message);
            }
        }
        let _ = BinaryMessage::parse(&noise);
        let _ = parse_caller_message(text.as_bytes());
    }

    #[test]
    fn a_description_is_preserved(text in "\\PC{1,100}[\r\n\"\\\\]{0,5}") {
        let mut line = Vec::new();
        write_caller_message(Tag(1), MessageToCaller::Started(&text), &mut line);
        let read: serde_json::Value = serde_json::from_slice(&line).unwrap();
        prop_assert_eq!(read["blob"].as_str(), Some(&text[..]));
        prop_assert_eq!(line.iter().filter(|b| **b == b'\n').count(), 1);
    }
}

#[test]
fn a_set_up_is_parsed_with_all_its_fields() {
    let line = br#"{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"voice","left":1500,"retry":"1","key":"7f3a9c21",
        "extras":"dest:2;width:1;via:-1;again:1;at:s-00c41f7a","new":{"x":[]}},"blob":"v\r\n"}"#;
    let Ok(CallerMessage::Start(start)) = parse_caller_message(line) else { panic!("not a set-up") };
    let expected = Start {
        tag: Tag(0x9b1f03aa5c7e2d41),
        class: "voice".into(),
        time_left_ms: 1500.0,
        is_retry: true,
        key: Some("7f3a9c21".into()),
        first_choice: 2,
        width: 1.0,
        redialled_after_cut: true,
        standing_at: Some("s-00c41f7a".into()),
        description: "v\r\n".into(),
    };
    assert_eq!(start, expected);
}

#[test]
fn invalid_messages_are_rejected_with_a_reason() {
    let tag = Some(Tag(0x9b1f03aa5c7e2d41));
    let start = |opts: &str, rest: &str| {
        format!(r#"{{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{{{opts}}}{rest}}}"#)
    };
    let blob = r#","blob":"v""#;
    let invalid = [
        ("".into(), None, "not a message of this protocol"),
        ("[1]".into(), None, "not a message of this protocol"),
        (r#"{"verb":"ECHO","rc":0}"#.into(), None, "tag is not 16 lower-case hexadecimal digits"),
        (
            r#"{"verb":"ECHO","tag":"9B1F03AA5C7E2D41"}"#.into(),
            None,
            "tag is not 16 lower-case hexadecimal digits",
        ),
        (
            r#"{"verb":"ECHO","tag":"+b1f03aa5c7e2d41"}"#.into(),
            None,
            "tag is not 16 lower-case hexadecimal digits",
        ),
        (r#"{"verb":"SUBMIT","tag":"9b1f03aa5c7e2d41"}"#.into(), tag, "unknown message type"),
        (r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","rc":"x"}"#.into(), tag, "missing or invalid cause"),
        (r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","rc":-3}"#.into(), tag, "missing or invalid cause"),
        (start(r#""class":"v","left":"9""#, ""), tag, "missing description"),
        (start(r#""class":"v","left":"9""#, r#","blob":7"#), tag, "missing description"),
        (start(r#""left":"9""#, blob), tag, "missing class"),
        (start(r#""class":"v""#, blob), tag, "missing or invalid time left"),
        (start(r#""class":"v","left":"-5""#, blob), tag, "missing or invalid time left"),
        (start(r#""class":"v","left":"1e300""#, blob), tag, "missing or invalid time left"),
        (start(r#""class":"v","left":"NaN""#, blob), tag, "missing or invalid time left"),
        (start(r#""class":"v","left":"9","retry":"2""#, blob), tag, "retry is neither 0 nor 1"),
        (start(r#""class":"v","left":"9","key":"a b""#, blob), tag, "invalid key"),
        (start(r#""class":"v","left":"9","extras":"dest""#, blob), tag, "extras: field without a value"),
        (start(r#""class":"v","left":"9","extras":"dest:1.5""#, blob), tag, "invalid dest"),
        (start(r#""class":"v","left":"9","extras":"dest:-2""#, blob), tag, "invalid dest"),
        (start(r#""class":"v","left":"9","extras":"width:0""#, blob), tag, "invalid width"),
        (start(r#""class":"v","left":"9","extras":"width:inf""#, blob), tag, "extras: value is not a number"),
    ];
    for (line, tag, reason) in invalid {
        assert_eq!(parse_caller_message(line.as_bytes()), Err(InvalidMessage { tag, reason }), "{line}");
    }
}

#[test]
fn messages_beyond_the_maximum_length_are_rejected() {
    let mut splitter = MessageSplitter::new(Framing::Lines);
    splitter.push(&vec![b' '; MAX_MESSAGE_BYTES]);
    assert_eq!(splitter.next_message(), Ok(None));
    splitter.push(b" ");
    assert_eq!(splitter.next_message(), Err("unterminated line exceeds the maximum length"));
    for length in [0u16, 8, MAX_MESSAGE_BYTES as u16 + 1, u16::MAX] {
        let mut splitter = MessageSplitter::new(Framing::Binary);
        splitter.push(&length.to_be_bytes());
        assert_eq!(splitter.next_message(), Err("message length out of range"), "{length}");
    }
    let mut out = Vec::new();
    assert!(!write_binary_message(1, Tag(1), &[(210, &[0; MAX_MESSAGE_BYTES])], &mut out) && out.is_empty());
    let malformed: [(&[u8], &str); 4] = [
        (&[1, 0, 0], "message is shorter than its header"),
        (&[1, 0, 0, 0, 0, 0, 0, 0, 1, 180, 0], "truncated parameter header"),
        (&[1, 0, 0, 0, 0, 0, 0, 0, 1, 180, 0, 2, 9], "parameter is longer than the message"),
        (&[1, 0, 0, 0, 0, 0, 0, 0, 1, 180, 0, 0, 180, 0, 0], "duplicate parameter"),
    ];
    for (message, why) in malformed {
        assert_eq!(BinaryMessage::parse(message), Err(why));
    }
}

/// Guards against fields that mean nothing here and cost as much as those that do.
#[test]
fn fields_that_the_protocol_does_not_name_are_skipped_whatever_they_hold() {
    let unknown: String = (0..1900).map(|n| format!(r#""{n:x}":[{{"class":{n}}}],"#)).collect();
    let line = format!(
        r#"{{"verb":"START","x":{{"verb":1}},"tag":"00000000000000ff","opts":{{{unknown}"class":"fax","cl\u0061ss":"voice","left":1500.5,"key":7}},"blob":"v"}}"#
    );
    let Ok(CallerMessage::Start(start)) = parse_caller_message(line.as_bytes()) else { panic!("{line}") };
    assert_eq!(
        (start.class.as_str(), start.time_left_ms, start.key.as_deref()),
        ("voice", 1500.5, Some("7"))
    );
    for (name, value) in
        [("class", "{}"), ("left", "[1]"), ("key", "null"), ("retry", "true"), ("extras", "[]")]
    {
        let line = format!(
            r#"{{"verb":"START","tag":"00000000000000ff","opts":{{"class":"voice","left":"1500","{name}":{value}}},"blob":"v"}}"#
        );
        let parsed = parse_caller_message(line.as_bytes());
        assert!(parsed.is_err_and(|invalid| invalid.tag == Some(Tag(0xff))), "{line}");
    }
}
