//! Round trips of frames through the codec and JSON, and the handling of invalid bytes.

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

fn launch_number() -> impl Strategy<Value = LaunchNumber> {
    any::<u32>().prop_map(LaunchNumber)
}

fn end() -> impl Strategy<Value = DialogueEnd> {
    prop_oneof![Just(DialogueEnd::Released), Just(DialogueEnd::Cut)]
}

fn entry() -> impl Strategy<Value = Entry> {
    let state = prop_oneof![Just(ServerState::Active), Just(ServerState::Draining), Just(ServerState::Gone)];
    (text(), any::<i64>(), text(), state, any::<u64>(), micros()).prop_map(
        |(server, number, address, state, incarnation, age)| Entry {
            server: ServerId(server),
            number: ServerNumber(number),
            address,
            state,
            incarnation,
            age,
        },
    )
}

fn dial() -> impl Strategy<Value = Frame> {
    let caller = (dialogue(), proptest::option::of(text()), any::<u16>(), proptest::option::of(any::<u16>()));
    let call = (any::<i64>(), 0.0..1e6, micros(), any::<bool>(), any::<bool>(), any::<bool>());
    let details =
        (proptest::option::of(micros()), proptest::option::of(dialogue()), proptest::option::of(text()));
    (caller, call, details).prop_map(
        |((dialogue, key, product, tenant), call, (sent_at, try_of, dialled))| {
            let (first_choice, width, time_left, is_retry, redialled_after_cut, is_repeat) = call;
            Frame::Dial(Dial {
                dialogue,
                key: key.map(DialledKey),
                product,
                tenant,
                first_choice: ServerNumber(first_choice),
                width,
                time_left,
                is_retry,
                redialled_after_cut,
                is_repeat,
                sent_at,
                try_of,
                dialled,
            })
        },
    )
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
    (any::<u32>(), any::<u16>(), any::<u64>()).prop_map(|(round, member, incarnation)| Owner {
        round,
        member,
        incarnation,
    })
}

fn duty_action() -> impl Strategy<Value = DutyAction> {
    (any::<u16>(), any::<u64>(), any::<u16>(), any::<u64>()).prop_map(
        |(duty, fencing_token, member, incarnation)| DutyAction { duty, fencing_token, member, incarnation },
    )
}

fn replica() -> impl Strategy<Value = ReplicaUpdate> {
    let progress = prop_oneof![
        Just(Progress::Accepted),
        (text(), launch_number()).prop_map(|(s, launch)| Progress::Launched { server: ServerId(s), launch }),
        (text(), launch_number()).prop_map(|(s, launch)| Progress::Stands { server: ServerId(s), launch }),
        Just(Progress::Ended),
    ];
    let record = (owner(), any::<u32>(), progress, micros(), micros()).prop_map(
        |(owner, version, progress, blocked_for, expires_in)| OwnerRecord {
            owner,
            version,
            progress,
            blocked_for,
            expires_in,
        },
    );
    let answer = prop_oneof![
        text().prop_map(|s| Answer::Stands { server: ServerId(s) }),
        proptest::option::of(micros()).prop_map(|retry_after| Answer::Refused { come_back: retry_after }),
        Just(Answer::Failed),
    ];
    let owner_records = proptest::collection::vec(record, 0..4);
    let answers = proptest::collection::vec(answer, 0..3);
    let answers = (owner(), answers).prop_map(|(owner, answers)| {
        answers.into_iter().map(|answer| RecordedAnswer { owner, answer }).collect()
    });
    (dialogue(), owner_records, answers).prop_map(|(dialogue, owner_records, answers)| ReplicaUpdate {
        dialogue,
        owner_records,
        answers,
    })
}

fn peer_message() -> impl Strategy<Value = PeerMessage> {
    let n = any::<u64>;
    let replicas = || proptest::collection::vec(replica(), 0..5);
    let cursor = || (n(), n()).prop_map(|(at, from)| Cursor { at, from });
    let replaced = (dialogue(), owner()).prop_map(|(dialogue, by)| Replaced { dialogue, by });
    let integers = || proptest::collection::vec(n(), 0..20);
    prop_oneof![
        (n(), any::<u16>(), n(), n(), n(), proptest::option::of(micros())).prop_map(
            |(group, member, incarnation, known_remote_incarnation, saved, last_seen_ago)| {
                PeerMessage::Greeting {
                    group,
                    member,
                    incarnation,
                    known_remote_incarnation,
                    saved,
                    last_seen_ago,
                }
            }
        ),
        n().prop_map(|incarnation| PeerMessage::ProposeIncarnation { incarnation }),
        (n(), any::<bool>(), n()).prop_map(|(incarnation, granted, highest)| PeerMessage::IncarnationReply {
            incarnation,
            granted,
            highest
        }),
        proptest::collection::vec(any::<u8>(), 0..=MAX_MEMBERSHIP_MESSAGE)
            .prop_map(|message| PeerMessage::Membership { message }),
        n().prop_map(|saved| PeerMessage::DiskCount { saved }),
        (n(), n(), replicas()).prop_map(|(incarnation, first, replicas)| PeerMessage::Replicas {
            incarnation,
            first,
            replicas
        }),
        (n(), n(), n(), proptest::collection::vec(replaced, 0..5)).prop_map(
            |(incarnation, up_to, saved, replaced)| PeerMessage::Acknowledge {
                incarnation,
                up_to,
                saved,
                replaced
            }
        ),
        (n(), n(), proptest::option::of(cursor())).prop_map(|(incarnation, received_up_to, snapshot)| {
            PeerMessage::Resume { incarnation, received_up_to, snapshot }
        }),
        (n(), cursor(), proptest::option::of(n()), replicas()).prop_map(
            |(incarnation, cursor, next, replicas)| {
                PeerMessage::SnapshotChunk { incarnation, cursor, next, replicas }
            }
        ),
        (n(), dialogue(), owner()).prop_map(|(serial, dialogue, owner)| PeerMessage::Ask {
            serial,
            dialogue,
            owner
        }),
        (n(), any::<bool>(), proptest::option::of(owner()), proptest::option::of(replica())).prop_map(
            |(serial, is_authoritative, higher, replica)| PeerMessage::AskReply {
                serial,
                is_authoritative,
                higher,
                replica
            }
        ),
        (any::<u8>(), any::<u32>(), integers())
            .prop_map(|(level, from, digests)| PeerMessage::RangeDigests { level, from, digests }),
        (any::<u32>(), proptest::collection::vec((n(), n()), 0..9))
            .prop_map(|(range, fingerprints)| PeerMessage::DialogueDigests { range, fingerprints }),
        integers().prop_map(|id_hashes| PeerMessage::RequestReplicas { id_hashes }),
        text().prop_map(|query| PeerMessage::Inquire { query }),
        (any::<bool>(), ".{0,300}").prop_map(|(more, text)| PeerMessage::InquireReply { more, text }),
        proptest::collection::vec(any::<u8>(), 0..300).prop_map(|message| PeerMessage::Duties { message }),
        (duty_action(), text())
            .prop_map(|(action, server)| PeerMessage::CheckLines { action, server: ServerId(server) }),
        (any::<u16>(), n()).prop_map(|(duty, highest)| PeerMessage::Fenced { duty, highest }),
        (duty_action(), n(), tables_order()).prop_map(|(action, serial, order)| PeerMessage::Publish {
            action,
            serial,
            order
        }),
        (n(), proptest::option::of(text())).prop_map(|(serial, why)| PeerMessage::Published { serial, why }),
        text().prop_map(|name| PeerMessage::PublishRequest { name }),
    ]
}

fn audit_message() -> impl Strategy<Value = AuditMessage> {
    let line = (dialogue(), launch_number(), owner()).prop_map(|(dialogue, launch, owner)| HeldLine {
        dialogue,
        launch,
        owner,
    });
    prop_oneof![
        (any::<u64>(), any::<u16>(), any::<u64>(), proptest::option::of(dialogue())).prop_map(
            |(serial, member, incarnation, after)| AuditMessage::ListLines {
                serial,
                member,
                incarnation,
                after
            }
        ),
        (any::<u64>(), any::<bool>(), proptest::collection::vec(line, 0..9))
            .prop_map(|(serial, more, lines)| AuditMessage::Lines { serial, more, lines }),
        (dialogue(), owner(), proptest::option::of(duty_action()))
            .prop_map(|(dialogue, owner, action)| AuditMessage::Adopt { dialogue, owner, action }),
        (dialogue(), any::<u16>(), any::<u64>()).prop_map(|(dialogue, duty, highest)| AuditMessage::Fenced {
            dialogue,
            duty,
            highest
        }),
        (dialogue(), owner(), proptest::option::of(any::<u32>()), owner())
            .prop_map(|(dialogue, owner, launch, by)| AuditMessage::Adopted { dialogue, owner, launch, by }),
        (dialogue(), launch_number(), owner()).prop_map(|(dialogue, launch, by)| AuditMessage::Moved {
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
    let decline_reasons = prop_oneof![
        Just(DeclineReason::Full),
        Just(DeclineReason::Concluded),
        Just(DeclineReason::NotYours),
        Just(DeclineReason::Unknown),
        Just(DeclineReason::NotReady),
        Just(DeclineReason::Unsure)
    ];
    let of_launch = || (dialogue(), launch_number(), report());
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
            .prop_map(|(dialogue, retry_after)| Frame::Refused { dialogue, retry_after }),
        dialogue().prop_map(|dialogue| Frame::Failed { dialogue }),
        (dialogue(), decline_reasons, proptest::option::of(micros()))
            .prop_map(|(dialogue, why, retry_after)| Frame::Declined { dialogue, why, retry_after }),
        (dialogue(), end()).prop_map(|(dialogue, end)| Frame::Over { dialogue, end }),
        (
            (dialogue(), launch_number(), proptest::option::of(text()), any::<u16>(), 0.0..1e6, micros()),
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
        (dialogue(), launch_number()).prop_map(|(dialogue, launch)| Frame::Cancel { dialogue, launch }),
        (dialogue(), launch_number()).prop_map(|(dialogue, launch)| Frame::Release { dialogue, launch }),
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
            .prop_map(|(is_complete, entries)| Frame::List { is_complete, entries }),
        peer_message().prop_map(Frame::PeerMessage),
        audit_message().prop_map(Frame::AuditMessage),
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

/// Feeds bytes to a decoder in pieces of `piece_bytes` and returns all its results.
fn decode_in_pieces(bytes: &[u8], piece_bytes: usize) -> Vec<Result<Message, TrunkError>> {
    let mut decoder = Decoder::default();
    let mut all = Vec::new();
    for piece in bytes.chunks(piece_bytes) {
        decoder.feed(piece);
        while let Some(message) = decoder.next_frame() {
            all.push(message);
        }
    }
    all
}

/// The fixed seed makes results reproducible.
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

    /// Frames, including unknown optional fields, round trip through the codec for any size of pieces.
    #[test]
    fn frames_round_trip_through_the_codec(messages in proptest::collection::vec(message(), 1..6), piece_bytes in 1usize..200) {
        let all: Vec<u8> = messages.iter().flat_map(bytes).collect();
        let back: Vec<Message> = decode_in_pieces(&all, piece_bytes).into_iter().map(|m| m.unwrap()).collect();
        prop_assert_eq!(back, messages);
    }

    /// Frames round trip through the JSON of a traffic record.
    #[test]
    fn frames_round_trip_through_a_traffic_record(message in message()) {
        let line = serde_json::to_string(&message).unwrap();
        let back: Message = serde_json::from_str(&line).unwrap();
        prop_assert_eq!(bytes(&back), bytes(&message));
    }

    /// A corrupted frame decodes to another frame or an error without a panic, and nothing follows an error.
    #[test]
    fn corrupted_bytes_decode_to_a_frame_or_an_error(
        message in message(), changes in proptest::collection::vec((any::<usize>(), any::<u8>()), 1..5)
    ) {
        let mut all = bytes(&message);
        for (place, value) in changes {
            let place = place % all.len();
            all[place] = value;
        }
        all.extend(bytes(&Frame::Ping { nonce: 1 }.into()));
        let back = decode_in_pieces(&all, all.len());
        let errors = back.iter().filter(|m| m.is_err()).count();
        prop_assert!(errors == 0 || (errors == 1 && back.last().unwrap().is_err()));
    }

    /// Random bytes are rejected, and the decoder buffers no more of them than one frame may have.
    #[test]
    fn random_bytes_are_rejected_in_bounded_memory(random_bytes in proptest::collection::vec(any::<u8>(), 0..5000)) {
        let mut decoder = Decoder::default();
        for piece in random_bytes.chunks(100) {
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

/// Truncates a frame at every byte; each time the decoder reports an error that names the frame.
#[test]
fn truncated_frame_is_an_error_that_names_the_frame() {
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
        let error = decode_in_pieces(&short, 1000).remove(0).unwrap_err().to_string();
        assert!(error.contains("launch"), "truncated at {cut}: {error}");
    }
}

#[test]
fn errors_name_frame_field_and_problem() {
    let frame = |kind: u8, body: &[u8]| {
        let mut all = (body.len() as u32 + 1).to_be_bytes().to_vec();
        all.push(kind);
        all.extend_from_slice(body);
        decode_in_pieces(&all, 1000).remove(0).unwrap_err().to_string()
    };
    let cases = [
        (frame(140, &[]), "unknown frame kind 140"),
        (frame(17, &[]), "hang_up: field 1 is missing"),
        (frame(17, &[1, 1, b'x', 1, 1, b'y']), "hang_up: field 1 is repeated"),
        (frame(17, &[1, 1, b'x', 77, 0]), "hang_up: unknown field 77"),
        (frame(17, &[1, 0]), "hang_up: field 1 is empty"),
        (frame(17, &[1, 1, 255]), "hang_up: field 1 is not valid UTF-8"),
        (frame(17, &[1, 1, 7]), "hang_up: field 1 contains control characters"),
        (frame(17, &[1, 5, b'x']), "hang_up: the field at byte 0 is truncated"),
        (frame(17, &[1, 255, 255, 255, 255, 255]), "hang_up: the field at byte 0 is truncated"),
        (frame(20, &[&[1, 129, 1][..], &[b'x'; 129]].concat()), "failed: field 1 is too long"),
        (frame(21, &[1, 1, b'x', 4, 1, 9]), "declined: field 4 has an unknown value"),
        (frame(2, &[14, 9, 1, 1, 1, 1, 1, 1, 1, 1, 1]), "ping: field 14 is longer than 64 bits"),
        (frame(95, &[]), "unknown frame kind 95"),
        (frame(17, &[0, 0, 1, 1, b'x']), "hang_up: unknown field 0"),
        (frame(64, &[26, 0]), "here: field 27 is missing"),
        (frame(68, &[20, 0, 33, 0, 18, 2, 1, 0]), "copies: field 1 is empty"),
        (frame(68, &[20, 0, 33, 0, 18, 6, 1, 1, b'x', 1, 1, b'y']), "copies: field 1 is repeated"),
        (frame(67, &[20, 0, 11, 0, 30, 1, 7]), "unknown frame kind 67"),
        (frame(74, &[35, 0, 32, 0, 30, 1, 7]), "sums: field 30 is not a multiple of 8 bytes"),
        (frame(85, &[]), "membership: field 36 is missing"),
        (
            frame(85, &[&[36, 129, 16][..], &[0; MAX_MEMBERSHIP_MESSAGE + 1]].concat()),
            "membership: field 36 is too long",
        ),
        (frame(86, &[]), "disk_count: field 41 is missing"),
        (frame(98, &[1, 1, b'x', 31, 2, 0, 0]), "adopt: field 31 is not an owner"),
        (frame(39, &[13, 1, 128]), "report: field 13 has unknown figures or trailing bytes"),
        (frame(39, &[13, 2, 1, 0]), "report: field 13 is truncated"),
        (
            frame(17, &[&[1, 1, b'x', 200, 128, 2][..], &[0; 256]].concat()),
            "hang_up: more than 256 bytes of unknown",
        ),
    ];
    for (error, expected) in cases {
        assert!(error.starts_with(expected), "{error:?}, expected {expected:?}");
    }
    let long = decode_in_pieces(&[0, 1, 0, 1, 9], 10).remove(0);
    assert_eq!(long, Err(TrunkError::TooLong(65_537)));
    assert_eq!(decode_in_pieces(&[0, 0, 0, 0], 10).remove(0), Err(TrunkError::Empty));
}
