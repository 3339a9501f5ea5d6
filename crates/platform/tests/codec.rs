//! Both forms of messages: what is written is read again, however it is cut; what is wrong is named and never taken.

use lotussaddle_platform::codec::*;
use proptest::prelude::*;

fn cut(form: Form, bytes: &[u8], at: usize) -> Vec<Vec<u8>> {
    let mut cutter = Cutter::new(form);
    let mut messages = Vec::new();
    for piece in [&bytes[..at], &bytes[at..]] {
        cutter.take(piece);
        while let Some(message) = cutter.message().expect("it is well") {
            messages.push(message.to_vec());
        }
    }
    assert_eq!(cutter.pending(), 0);
    messages
}

#[test]
fn messages_are_whole_wherever_they_are_split() {
    let mut lines = Vec::new();
    to_caller(Tag(7), ToCaller::Started("a\r\n\"b\" é\n"), &mut lines);
    to_caller(Tag(8), ToCaller::Finish { cause: 34, wait_ms: Some(20) }, &mut lines);
    let mut messages = Vec::new();
    binary(kind::START, Tag(9), &[(180, b"voice"), (210, b"\0\n\xff")], &mut messages);
    binary(kind::FINISH, Tag(9), &[(208, &[34])], &mut messages);
    for (form, bytes) in [(Form::Lines, lines), (Form::Binary, messages)] {
        let whole = cut(form, &bytes, 0);
        assert_eq!(whole.len(), 2);
        for at in 0..=bytes.len() {
            assert_eq!(cut(form, &bytes, at), whole, "split at {at}");
        }
    }
}

proptest! {
    #[test]
    fn what_is_written_is_read(
        kind: u8, tag: u64, values in prop::collection::btree_map(any::<u8>(), prop::collection::vec(any::<u8>(), 0..300), 0..8),
        at in 0usize..3000,
    ) {
        let parameters: Vec<(u8, &[u8])> = values.iter().map(|(code, value)| (*code, &value[..])).collect();
        let mut bytes = Vec::new();
        prop_assert!(binary(kind, Tag(tag), &parameters, &mut bytes));
        let messages = cut(Form::Binary, &bytes, at.min(bytes.len()));
        let read = Binary::read(&messages[0]).unwrap();
        prop_assert_eq!(read, Binary { kind, tag: Tag(tag), parameters });
    }

    #[test]
    fn noise_never_ends_the_program(noise: Vec<u8>, text in "\\PC{0,200}") {
        for form in [Form::Lines, Form::Binary] {
            let mut cutter = Cutter::new(form);
            cutter.take(&noise);
            while let Ok(Some(message)) = cutter.message() {
                let _ = Binary::read(message);
                let _ = caller_said(message);
            }
        }
        let _ = Binary::read(&noise);
        let _ = caller_said(text.as_bytes());
    }

    #[test]
    fn a_description_goes_through_unchanged(text in "\\PC{1,100}[\r\n\"\\\\]{0,5}") {
        let mut line = Vec::new();
        to_caller(Tag(1), ToCaller::Started(&text), &mut line);
        let read: serde_json::Value = serde_json::from_slice(&line).unwrap();
        prop_assert_eq!(read["blob"].as_str(), Some(&text[..]));
        prop_assert_eq!(line.iter().filter(|b| **b == b'\n').count(), 1);
    }
}

#[test]
fn a_set_up_is_read_with_all_its_fields() {
    let line = br#"{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"voice","left":1500,"retry":"1","key":"7f3a9c21",
        "extras":"dest:2;width:1;via:-1;again:1;at:s-00c41f7a","new":{"x":[]}},"blob":"v\r\n"}"#;
    let Ok(CallerSaid::Start(start)) = caller_said(line) else { panic!("it is a set-up") };
    let expected = Start {
        tag: Tag(0x9b1f03aa5c7e2d41),
        class: "voice".into(),
        left_ms: 1500.0,
        again: true,
        key: Some("7f3a9c21".into()),
        dest: 2,
        width: 1.0,
        came_back: true,
        at: Some("s-00c41f7a".into()),
        description: "v\r\n".into(),
    };
    assert_eq!(start, expected);
}

#[test]
fn what_cannot_be_used_is_named() {
    let tag = Some(Tag(0x9b1f03aa5c7e2d41));
    let start = |opts: &str, rest: &str| {
        format!(r#"{{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{{{opts}}}{rest}}}"#)
    };
    let blob = r#","blob":"v""#;
    let wrongs = [
        ("".into(), None, "no message of this protocol"),
        ("[1]".into(), None, "no message of this protocol"),
        (r#"{"verb":"ECHO","rc":0}"#.into(), None, "no call of 16 hex digits"),
        (r#"{"verb":"ECHO","tag":"9B1F03AA5C7E2D41"}"#.into(), None, "no call of 16 hex digits"),
        (r#"{"verb":"ECHO","tag":"+b1f03aa5c7e2d41"}"#.into(), None, "no call of 16 hex digits"),
        (r#"{"verb":"SUBMIT","tag":"9b1f03aa5c7e2d41"}"#.into(), tag, "no known type"),
        (r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","rc":"x"}"#.into(), tag, "no cause"),
        (r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","rc":-3}"#.into(), tag, "no cause"),
        (start(r#""class":"v","left":"9""#, ""), tag, "no description"),
        (start(r#""class":"v","left":"9""#, r#","blob":7"#), tag, "no description"),
        (start(r#""left":"9""#, blob), tag, "no class"),
        (start(r#""class":"v""#, blob), tag, "no time left"),
        (start(r#""class":"v","left":"-5""#, blob), tag, "no time left"),
        (start(r#""class":"v","left":"1e300""#, blob), tag, "no time left"),
        (start(r#""class":"v","left":"NaN""#, blob), tag, "no time left"),
        (start(r#""class":"v","left":"9","retry":"2""#, blob), tag, "retry is neither 0 nor 1"),
        (start(r#""class":"v","left":"9","key":"a b""#, blob), tag, "no number called"),
        (start(r#""class":"v","left":"9","extras":"dest""#, blob), tag, "no value in extras"),
        (start(r#""class":"v","left":"9","extras":"dest:1.5""#, blob), tag, "no dest"),
        (start(r#""class":"v","left":"9","extras":"dest:-2""#, blob), tag, "no dest"),
        (start(r#""class":"v","left":"9","extras":"width:0""#, blob), tag, "no width"),
        (start(r#""class":"v","left":"9","extras":"width:inf""#, blob), tag, "no figure in extras"),
    ];
    for (line, tag, why) in wrongs {
        assert_eq!(caller_said(line.as_bytes()), Err(Wrong { tag, why }), "{line}");
    }
}

#[test]
fn lengths_beyond_the_bound_are_not_awaited() {
    let mut cutter = Cutter::new(Form::Lines);
    cutter.take(&vec![b' '; MAX_MESSAGE]);
    assert_eq!(cutter.message(), Ok(None));
    cutter.take(b" ");
    assert_eq!(cutter.message(), Err("a line without end"));
    for length in [0u16, 8, MAX_MESSAGE as u16 + 1, u16::MAX] {
        let mut cutter = Cutter::new(Form::Binary);
        cutter.take(&length.to_be_bytes());
        assert_eq!(cutter.message(), Err("the length of a message is wrong"), "{length}");
    }
    let mut out = Vec::new();
    assert!(!binary(1, Tag(1), &[(210, &[0; MAX_MESSAGE])], &mut out) && out.is_empty());
    let torn: [(&[u8], &str); 4] = [
        (&[1, 0, 0], "too short for a message"),
        (&[1, 0, 0, 0, 0, 0, 0, 0, 1, 180, 0], "a parameter is cut off"),
        (&[1, 0, 0, 0, 0, 0, 0, 0, 1, 180, 0, 2, 9], "a parameter is longer than its message"),
        (&[1, 0, 0, 0, 0, 0, 0, 0, 1, 180, 0, 0, 180, 0, 0], "a parameter comes twice"),
    ];
    for (message, why) in torn {
        assert_eq!(Binary::read(message), Err(why));
    }
}
