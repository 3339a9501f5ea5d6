//! Frames there and back, and what comes of bytes that are none.

use std::sync::Arc;
use std::time::Duration;

use lotussaddle::interface::*;
use lotussaddle_trunk::*;
use proptest::prelude::*;

fn text() -> impl Strategy<Value = Arc<str>> {
    "[a-zA-Z0-9.:+-]{1,40}".prop_map(Arc::from)
}

fn dialogue() -> impl Strategy<Value = DialogueId> {
    text().prop_map(DialogueId)
}

fn figure() -> impl Strategy<Value = Option<f64>> {
    proptest::option::of(0.0..1e9)
}

fn micros() -> impl Strategy<Value = Duration> {
    (0u64..1_000_000_000_000).prop_map(Duration::from_micros)
}

fn report() -> impl Strategy<Value = LoadReport> {
    (figure(), figure(), figure(), figure(), proptest::option::of(0u32..100_000), figure()).prop_map(
        |(free_lines, lines, busy, queue, wait, rate)| {
            let wait = wait.map(|wait| Duration::from_millis(wait.into()));
            LoadReport {
                free_lines,
                total_lines: lines,
                processor_busy: busy,
                processor_queue: queue,
                processor_wait: wait,
                rate,
            }
        },
    )
}

fn launch_no() -> impl Strategy<Value = LaunchNumber> {
    any::<u32>().prop_map(LaunchNumber)
}

fn end() -> impl Strategy<Value = DialogueEnd> {
    prop_oneof![Just(DialogueEnd::Released), Just(DialogueEnd::Cut)]
}

fn entry() -> impl Strategy<Value = Entry> {
    let listed = prop_oneof![Just(ServerState::Active), Just(ServerState::Draining), Just(ServerState::Gone)];
    (text(), any::<i64>(), text(), listed, any::<u64>(), micros()).prop_map(
        |(server, number, address, listed, life, age)| Entry {
            server: ServerId(server),
            number: ServerNumber(number),
            address,
            state: listed,
            incarnation: life,
            age,
        },
    )
}

fn dial() -> impl Strategy<Value = Frame> {
    let who = (dialogue(), proptest::option::of(text()), any::<u16>(), proptest::option::of(any::<u16>()));
    let what = (any::<i64>(), 0.0..1e6, micros(), any::<bool>(), any::<bool>(), any::<bool>());
    let more =
        (proptest::option::of(micros()), proptest::option::of(dialogue()), proptest::option::of(text()));
    (who, what, more).prop_map(|((dialogue, key, product, tenant), what, (sent_at, try_of, dialled))| {
        let (first_choice, width, time_left, again, came_back, repeat) = what;
        Frame::Dial(Dial {
            dialogue,
            key: key.map(DialledKey),
            product,
            tenant,
            first_choice: ServerNumber(first_choice),
            width,
            time_left,
            is_retry: again,
            redialled_after_cut: came_back,
            is_repeat: repeat,
            sent_at,
            try_of,
            dialled,
        })
    })
}

fn tables_order() -> impl Strategy<Value = TablesOrder> {
    prop_oneof![
        text().prop_map(|name| TablesOrder::Load { name }),
        (text(), micros()).prop_map(|(name, after)| TablesOrder::Swap { name, after }),
        (any::<u64>(), proptest::option::of(text())).prop_map(|(of, to)| TablesOrder::Undo { of, to }),
        any::<u64>().prop_map(|of| TablesOrder::Drop { of }),
    ]
}

fn owner() -> impl Strategy<Value = Owner> {
    (any::<u32>(), any::<u16>(), any::<u64>()).prop_map(|(round, member, life)| Owner {
        round,
        member,
        incarnation: life,
    })
}

fn act() -> impl Strategy<Value = DutyAction> {
    (any::<u16>(), any::<u64>(), any::<u16>(), any::<u64>()).prop_map(|(duty, number, member, life)| {
        DutyAction { duty, fencing_token: number, member, incarnation: life }
    })
}

fn copy() -> impl Strategy<Value = ReplicaUpdate> {
    let reached = prop_oneof![
        Just(Progress::Accepted),
        (text(), launch_no()).prop_map(|(s, launch)| Progress::Launched { server: ServerId(s), launch }),
        (text(), launch_no()).prop_map(|(s, launch)| Progress::Stands { server: ServerId(s), launch }),
        Just(Progress::Ended),
    ];
    let part = (owner(), any::<u32>(), reached, micros(), micros()).prop_map(
        |(owner, version, reached, bar, lasts)| OwnerRecord {
            owner,
            version,
            progress: reached,
            blocked_for: bar,
            expires_in: lasts,
        },
    );
    let answer = prop_oneof![
        text().prop_map(|s| Answer::Stands { server: ServerId(s) }),
        proptest::option::of(micros()).prop_map(|come_back| Answer::Refused { come_back }),
        Just(Answer::Failed),
    ];
    let parts = proptest::collection::vec(part, 0..4);
    let answers = proptest::collection::vec(answer, 0..3);
    let answers = (owner(), answers).prop_map(|(owner, answers)| {
        answers.into_iter().map(|answer| RecordedAnswer { owner, answer }).collect()
    });
    (dialogue(), parts, answers).prop_map(|(dialogue, parts, answers)| ReplicaUpdate {
        dialogue,
        owner_records: parts,
        answers,
    })
}

fn peer() -> impl Strategy<Value = PeerMessage> {
    let n = any::<u64>;
    let copies = || proptest::collection::vec(copy(), 0..5);
    let cursor = || (n(), n()).prop_map(|(at, from)| Cursor { at, from });
    let replaced = (dialogue(), owner()).prop_map(|(dialogue, by)| Replaced { dialogue, by });
    let words = || proptest::collection::vec(n(), 0..20);
    prop_oneof![
        (n(), any::<u16>(), n(), n(), n(), proptest::option::of(micros())).prop_map(
            |(group, member, life, yours, saved, away)| PeerMessage::Greeting {
                group,
                member,
                incarnation: life,
                known_remote_incarnation: yours,
                saved,
                last_seen_ago: away
            }
        ),
        n().prop_map(|life| PeerMessage::ProposeIncarnation { incarnation: life }),
        (n(), any::<bool>(), n()).prop_map(|(life, given, highest)| PeerMessage::IncarnationReply {
            incarnation: life,
            granted: given,
            highest
        }),
        proptest::collection::vec(any::<u8>(), 0..=MAX_MEMBERSHIP_MESSAGE)
            .prop_map(|message| PeerMessage::Membership { message }),
        n().prop_map(|saved| PeerMessage::DiskCount { saved }),
        (n(), n(), copies()).prop_map(|(life, first, copies)| PeerMessage::Replicas {
            incarnation: life,
            first,
            replicas: copies
        }),
        (n(), n(), n(), proptest::collection::vec(replaced, 0..5)).prop_map(
            |(life, up_to, saved, replaced)| PeerMessage::Acknowledge {
                incarnation: life,
                up_to,
                saved,
                replaced
            }
        ),
        (n(), n(), proptest::option::of(cursor())).prop_map(|(life, have, snapshot)| PeerMessage::Resume {
            incarnation: life,
            received_up_to: have,
            snapshot
        }),
        (n(), cursor(), proptest::option::of(n()), copies()).prop_map(|(life, cursor, next, copies)| {
            PeerMessage::SnapshotChunk { incarnation: life, cursor, next, replicas: copies }
        }),
        (n(), dialogue(), owner()).prop_map(|(serial, dialogue, owner)| PeerMessage::Ask {
            serial,
            dialogue,
            owner
        }),
        (n(), any::<bool>(), proptest::option::of(owner()), proptest::option::of(copy())).prop_map(
            |(serial, sure, higher, copy)| PeerMessage::AskReply {
                serial,
                is_authoritative: sure,
                higher,
                replica: copy
            }
        ),
        (any::<u8>(), any::<u32>(), words()).prop_map(|(level, from, sums)| PeerMessage::RangeDigests {
            level,
            from,
            digests: sums
        }),
        (any::<u32>(), proptest::collection::vec((n(), n()), 0..9))
            .prop_map(|(range, prints)| PeerMessage::DialogueDigests { range, fingerprints: prints }),
        words().prop_map(|ids| PeerMessage::RequestReplicas { id_hashes: ids }),
        text().prop_map(|what| PeerMessage::Inquire { query: what }),
        (any::<bool>(), ".{0,300}").prop_map(|(more, text)| PeerMessage::InquireReply { more, text }),
        proptest::collection::vec(any::<u8>(), 0..300).prop_map(|word| PeerMessage::Duties { message: word }),
        (act(), text())
            .prop_map(|(act, server)| PeerMessage::CheckLines { action: act, server: ServerId(server) }),
        (any::<u16>(), n()).prop_map(|(duty, highest)| PeerMessage::Fenced { duty, highest }),
        (act(), n(), tables_order()).prop_map(|(act, serial, order)| PeerMessage::Publish {
            action: act,
            serial,
            order
        }),
        (n(), proptest::option::of(text())).prop_map(|(serial, why)| PeerMessage::Published { serial, why }),
        text().prop_map(|name| PeerMessage::PublishRequest { name }),
    ]
}

fn audit() -> impl Strategy<Value = AuditMessage> {
    let line = (dialogue(), launch_no(), owner()).prop_map(|(dialogue, launch, owner)| HeldLine {
        dialogue,
        launch,
        owner,
    });
    prop_oneof![
        (any::<u64>(), any::<u16>(), any::<u64>(), proptest::option::of(dialogue())).prop_map(
            |(serial, member, life, after)| AuditMessage::ListLines {
                serial,
                member,
                incarnation: life,
                after
            }
        ),
        (any::<u64>(), any::<bool>(), proptest::collection::vec(line, 0..9))
            .prop_map(|(serial, more, lines)| AuditMessage::Lines { serial, more, lines }),
        (dialogue(), owner(), proptest::option::of(act()))
            .prop_map(|(dialogue, owner, act)| AuditMessage::Adopt { dialogue, owner, action: act }),
        (dialogue(), any::<u16>(), any::<u64>()).prop_map(|(dialogue, duty, highest)| AuditMessage::Fenced {
            dialogue,
            duty,
            highest
        }),
        (dialogue(), owner(), proptest::option::of(any::<u32>()), owner())
            .prop_map(|(dialogue, owner, launch, by)| AuditMessage::Adopted { dialogue, owner, launch, by }),
        (dialogue(), launch_no(), owner()).prop_map(|(dialogue, launch, by)| AuditMessage::Moved {
            dialogue,
            launch,
            by
        }),
    ]
}

fn frame() -> impl Strategy<Value = Frame> {
    let roles = prop_oneof![Just(Role::Caller), Just(Role::Edge), Just(Role::Core), Just(Role::List)];
    let causes = prop_oneof![
        Just(TurnBackCause::Processor),
        Just(TurnBackCause::Lines),
        Just(TurnBackCause::NumberBusy),
        Just(TurnBackCause::Fault)
    ];
    let whys = prop_oneof![
        Just(DeclineReason::Full),
        Just(DeclineReason::Concluded),
        Just(DeclineReason::NotYours),
        Just(DeclineReason::Unknown),
        Just(DeclineReason::NotReady),
        Just(DeclineReason::Unsure)
    ];
    let of_launch = || (dialogue(), launch_no(), report());
    prop_oneof![
        (any::<u16>(), roles, text(), proptest::option::of(micros()))
            .prop_map(|(version, role, name, sent_at)| Frame::Hello(Hello { version, role, name, sent_at })),
        any::<u64>().prop_map(|nonce| Frame::Ping { nonce }),
        any::<u64>().prop_map(|nonce| Frame::Pong { nonce }),
        text().prop_map(|why| Frame::Bye { why }),
        dial(),
        dialogue().prop_map(|dialogue| Frame::HangUp { dialogue }),
        (dialogue(), text()).prop_map(|(dialogue, s)| Frame::Stands { dialogue, server: ServerId(s) }),
        (dialogue(), proptest::option::of(micros()))
            .prop_map(|(dialogue, come_back)| Frame::Refused { dialogue, retry_after: come_back }),
        dialogue().prop_map(|dialogue| Frame::Failed { dialogue }),
        (dialogue(), whys, proptest::option::of(micros()))
            .prop_map(|(dialogue, why, come_back)| Frame::Declined { dialogue, why, retry_after: come_back }),
        (dialogue(), end()).prop_map(|(dialogue, end)| Frame::Over { dialogue, end }),
        (
            (dialogue(), launch_no(), proptest::option::of(text()), any::<u16>(), 0.0..1e6, micros()),
            (proptest::option::of(text()), proptest::option::of(text()), proptest::option::of(owner()))
        )
            .prop_map(
                |((dialogue, launch, key, product, width, time_left), (number, routing, owner))| {
                    let key = key.map(DialledKey);
                    let frame =
                        Launch { dialogue, launch, key, product, width, time_left, number, routing, owner };
                    Frame::Launch(frame)
                }
            ),
        (any::<u64>(), tables_order()).prop_map(|(serial, order)| Frame::Tables { serial, order }),
        (any::<u64>(), any::<u64>(), proptest::option::of(text()), proptest::option::of(text()))
            .prop_map(|(serial, in_force, name, why)| Frame::TablesResult { serial, in_force, name, why }),
        (dialogue(), launch_no()).prop_map(|(dialogue, launch)| Frame::Cancel { dialogue, launch }),
        (dialogue(), launch_no()).prop_map(|(dialogue, launch)| Frame::Release { dialogue, launch }),
        of_launch().prop_map(|(dialogue, launch, report)| Frame::Stood { dialogue, launch, report }),
        (of_launch(), causes).prop_map(|((dialogue, launch, report), cause)| Frame::TurnedBack {
            dialogue,
            launch,
            cause,
            report
        }),
        of_launch().prop_map(|(dialogue, launch, report)| Frame::BrokenOff { dialogue, launch, report }),
        (of_launch(), end()).prop_map(|((dialogue, launch, report), end)| Frame::Ended {
            dialogue,
            launch,
            end,
            report
        }),
        report().prop_map(|report| Frame::Report { report }),
        (any::<bool>(), proptest::collection::vec(entry(), 0..20))
            .prop_map(|(whole, entries)| Frame::List { is_complete: whole, entries }),
        peer().prop_map(Frame::PeerMessage),
        audit().prop_map(Frame::AuditMessage),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let extra = (144u8..=255, proptest::collection::vec(any::<u8>(), 0..20));
    let extra = extra.prop_map(|(tag, value)| Extra { tag, value });
    (frame(), proptest::collection::vec(extra, 0..4)).prop_map(|(frame, extra)| Message { frame, extra })
}

fn bytes(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    bytes
}

/// All that a decoder makes of bytes that come in pieces of such a size.
fn decoded(bytes: &[u8], piece: usize) -> Vec<Result<Message, TrunkError>> {
    let mut decoder = Decoder::default();
    let mut all = Vec::new();
    for piece in bytes.chunks(piece) {
        decoder.feed(piece);
        while let Some(message) = decoder.next_frame() {
            all.push(message);
        }
    }
    all
}

/// The seed is fixed: the same verdict each time.
fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(cases(600))]

    /// Whatever the pieces, frames come back as they went, optional fields that nobody knows included.
    #[test]
    fn frames_come_back_as_they_went(messages in proptest::collection::vec(message(), 1..6), piece in 1usize..200) {
        let all: Vec<u8> = messages.iter().flat_map(bytes).collect();
        let back: Vec<Message> = decoded(&all, piece).into_iter().map(|m| m.unwrap()).collect();
        prop_assert_eq!(back, messages);
    }

    /// The record of traffic keeps a frame whole, too.
    #[test]
    fn frames_come_back_from_a_record(message in message()) {
        let line = serde_json::to_string(&message).unwrap();
        let back: Message = serde_json::from_str(&line).unwrap();
        prop_assert_eq!(bytes(&back), bytes(&message));
    }

    /// A frame with bytes changed is another frame or an error, never a panic; nothing follows an error.
    #[test]
    fn changed_bytes_are_another_frame_or_an_error(
        message in message(), changes in proptest::collection::vec((any::<usize>(), any::<u8>()), 1..5)
    ) {
        let mut all = bytes(&message);
        for (place, value) in changes {
            let place = place % all.len();
            all[place] = value;
        }
        all.extend(bytes(&Frame::Ping { nonce: 1 }.into()));
        let back = decoded(&all, all.len());
        let errors = back.iter().filter(|m| m.is_err()).count();
        prop_assert!(errors == 0 || (errors == 1 && back.last().unwrap().is_err()));
    }

    /// Garbage is refused, and no more of it is held than one frame may have.
    #[test]
    fn garbage_is_refused_in_bounded_memory(garbage in proptest::collection::vec(any::<u8>(), 0..5000)) {
        let mut decoder = Decoder::default();
        for piece in garbage.chunks(100) {
            decoder.feed(piece);
            while let Some(message) = decoder.next_frame() {
                if let Err(error) = message {
                    prop_assert!(!error.to_string().is_empty());
                }
            }
            prop_assert!(decoder.pending() <= MAX_FRAME + 4 + 100);
        }
    }
}

/// Every place at which a frame may be cut short, seen by the frame's own reader.
#[test]
fn a_frame_cut_short_inside_is_an_error_that_names_it() {
    let launch = Frame::Launch(Launch {
        dialogue: DialogueId(Arc::from("d1")),
        launch: LaunchNumber(3),
        key: None,
        product: 1,
        width: 1.0,
        time_left: Duration::from_millis(5),
        number: None,
        routing: None,
        owner: None,
    });
    let whole = bytes(&launch.into());
    for cut in 5..whole.len() {
        let mut short = whole[..cut].to_vec();
        short[..4].copy_from_slice(&((cut - 4) as u32).to_be_bytes());
        let said = decoded(&short, 1000).remove(0).unwrap_err().to_string();
        assert!(said.contains("launch"), "cut at {cut}: {said}");
    }
}

#[test]
fn what_is_wrong_is_named() {
    let frame = |kind: u8, body: &[u8]| {
        let mut all = (body.len() as u32 + 1).to_be_bytes().to_vec();
        all.push(kind);
        all.extend_from_slice(body);
        decoded(&all, 1000).remove(0).unwrap_err().to_string()
    };
    let cases = [
        (frame(140, &[]), "frame kind 140 is not known"),
        (frame(17, &[]), "hang_up: field 1 is missing"),
        (frame(17, &[1, 1, b'x', 1, 1, b'y']), "hang_up: field 1 comes twice"),
        (frame(17, &[1, 1, b'x', 77, 0]), "hang_up: field 77 is not known"),
        (frame(17, &[1, 0]), "hang_up: field 1 is empty"),
        (frame(17, &[1, 1, 255]), "hang_up: field 1 is no UTF-8"),
        (frame(17, &[1, 1, 7]), "hang_up: field 1 has control characters"),
        (frame(17, &[1, 5, b'x']), "hang_up: the field at byte 0 is cut short"),
        (frame(17, &[1, 255, 255, 255, 255, 255]), "hang_up: the field at byte 0 is cut short"),
        (frame(20, &[&[1, 129, 1][..], &[b'x'; 129]].concat()), "failed: field 1 is too long"),
        (frame(21, &[1, 1, b'x', 4, 1, 9]), "declined: field 4 is not known"),
        (frame(2, &[14, 9, 1, 1, 1, 1, 1, 1, 1, 1, 1]), "ping: field 14 is over 64 bits"),
        (frame(95, &[]), "frame kind 95 is not known"),
        (frame(17, &[0, 0, 1, 1, b'x']), "hang_up: field 0 is not known"),
        (frame(64, &[26, 0]), "here: field 27 is missing"),
        (frame(68, &[20, 0, 33, 0, 18, 2, 1, 0]), "copies: field 1 is empty"),
        (frame(68, &[20, 0, 33, 0, 18, 6, 1, 1, b'x', 1, 1, b'y']), "copies: field 1 comes twice"),
        (frame(67, &[20, 0, 11, 0, 30, 1, 7]), "frame kind 67 is not known"),
        (frame(74, &[35, 0, 32, 0, 30, 1, 7]), "sums: field 30 is not made of 8 bytes each"),
        (frame(85, &[]), "membership: field 36 is missing"),
        (
            frame(85, &[&[36, 129, 16][..], &[0; MAX_MEMBERSHIP_MESSAGE + 1]].concat()),
            "membership: field 36 is too long",
        ),
        (frame(86, &[]), "disk_count: field 41 is missing"),
        (frame(98, &[1, 1, b'x', 31, 2, 0, 0]), "adopt: field 31 is no owner"),
        (frame(39, &[13, 1, 128]), "report: field 13 has more than is known"),
        (frame(39, &[13, 2, 1, 0]), "report: field 13 is cut short"),
        (
            frame(17, &[&[1, 1, b'x', 200, 128, 2][..], &[0; 256]].concat()),
            "hang_up: over 256 bytes of unknown",
        ),
    ];
    for (said, wanted) in cases {
        assert!(said.starts_with(wanted), "{said:?}, wanted {wanted:?}");
    }
    let long = decoded(&[0, 1, 0, 1, 9], 10).remove(0);
    assert_eq!(long, Err(TrunkError::TooLong(65_537)));
    assert_eq!(decoded(&[0, 0, 0, 0], 10).remove(0), Err(TrunkError::Empty));
}
