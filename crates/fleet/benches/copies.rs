//! Cost of replicas: memory of each, catching up by a snapshot, and comparing large tables with few differences. Frames are encoded and
//! decoded, without sockets. `cargo bench -p lotussaddle-fleet --bench copies`

use std::sync::Arc;
use std::time::{Duration, Instant};

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_replica::{RangeDifference, ReplicaGroup, ReplicaLimits, ReplicaTable};
use lotussaddle_trunk::{Answer, Decoder, Frame, Message, PeerMessage, Progress};

const RETENTION: Duration = Duration::from_secs(3600);

fn empty_table(me: u16) -> ReplicaTable {
    let mut book = ReplicaTable::new(
        me,
        ReplicaGroup::new(["edge-0", "edge-1", "edge-2"], 2),
        ReplicaLimits { max_replicas: 4_000_000, retention: RETENTION },
    );
    book.begin_incarnation(Duration::ZERO, 1 << 24 | u64::from(me));
    book
}

fn id(n: usize) -> DialogueId {
    DialogueId(Arc::from(format!("gateway-17-{n}")))
}

/// A table of standing dialogues, as written by their owner.
fn filled_table(count: usize) -> ReplicaTable {
    let mut book = empty_table(0);
    let server = ServerId(Arc::from("core-0"));
    for n in 0..count {
        let reached = Progress::Stands { server: server.clone(), launch: LaunchNumber(0) };
        let answer = Answer::Stands { server: server.clone() };
        book.write(Duration::ZERO, &id(n), reached, Duration::ZERO, Some(&answer), Duration::ZERO, None);
    }
    book
}

/// Resident memory of this process in bytes.
fn resident_memory() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 4096
}

/// Encodes and decodes a frame; returns it and its length in bytes.
fn round_trip(frame: Frame) -> (Frame, usize) {
    let mut bytes = Vec::new();
    Message::from(frame).encode(&mut bytes);
    let mut decoder = Decoder::default();
    decoder.feed(&bytes);
    (decoder.next_frame().expect("whole").expect("right").frame, bytes.len())
}

fn catch_up(from: &ReplicaTable, to: &mut ReplicaTable) -> (usize, usize) {
    let (mut cursor, mut bytes, mut pieces) = (0, 0, 0);
    loop {
        let (copies, next) = from.snapshot_chunk(Duration::ZERO, 1, cursor);
        // Frames of the usual size.
        for part in copies.chunks(256) {
            let frame = Frame::PeerMessage(PeerMessage::Replicas {
                incarnation: 1,
                first: 0,
                replicas: part.to_vec(),
            });
            let (frame, length) = round_trip(frame);
            let Frame::PeerMessage(PeerMessage::Replicas { replicas: copies, .. }) = frame else {
                unreachable!("as it was sent")
            };
            to.merge_received(Duration::ZERO, &copies);
            bytes += length;
        }
        pieces += 1;
        match next {
            Some(next) => cursor = next,
            None => return (bytes, pieces),
        }
    }
}

/// Compares and repairs two tables; returns the bytes sent, the rounds and the replicas exchanged.
fn compare(a: &mut ReplicaTable, b: &mut ReplicaTable) -> (usize, usize, usize) {
    let now = Duration::ZERO;
    let (mut bytes, mut rounds, mut mended) = (0, 0, 0);
    let (level, from, sums) = a.top_digests(1);
    let mut pending = vec![(true, RangeDifference::Subranges(level, from, sums))];
    while !pending.is_empty() {
        rounds += 1;
        let mut next = Vec::new();
        for (by_a, differing) in pending {
            let (receiver, sender) = if by_a { (&mut *b, 0) } else { (&mut *a, 1) };
            match differing {
                RangeDifference::Subranges(level, from, sums) => {
                    bytes += round_trip(Frame::PeerMessage(PeerMessage::RangeDigests {
                        level,
                        from,
                        digests: sums.clone(),
                    }))
                    .1;
                    let found = receiver.compare_ranges(sender, level, from, &sums);
                    next.extend(found.into_iter().map(|differing| (!by_a, differing)));
                }
                RangeDifference::Leaf(range, prints) => {
                    let frame = Frame::PeerMessage(PeerMessage::DialogueDigests {
                        range,
                        fingerprints: prints.clone(),
                    });
                    bytes += round_trip(frame).1;
                    let repair =
                        receiver.compare_dialogues(now, sender, 1 << 24 | u64::from(sender), range, &prints);
                    let wanted = {
                        bytes += round_trip(Frame::PeerMessage(PeerMessage::RequestReplicas {
                            id_hashes: repair.to_request.clone(),
                        }))
                        .1;
                        if by_a {
                            a.requested_replicas(now, 1, &repair.to_request)
                        } else {
                            b.requested_replicas(now, 0, &repair.to_request)
                        }
                    };
                    mended += wanted.len() + repair.to_send.len();
                    let to_listener = Frame::PeerMessage(PeerMessage::Replicas {
                        incarnation: 1,
                        first: 0,
                        replicas: wanted.clone(),
                    });
                    let back = Frame::PeerMessage(PeerMessage::Replicas {
                        incarnation: 1,
                        first: 0,
                        replicas: repair.to_send.clone(),
                    });
                    bytes += round_trip(to_listener).1 + round_trip(back).1;
                    let (receiver, sender) = if by_a { (&mut *b, &mut *a) } else { (&mut *a, &mut *b) };
                    receiver.merge_received(now, &wanted);
                    sender.merge_received(now, &repair.to_send);
                }
            }
        }
        pending = next;
    }
    (bytes, rounds, mended)
}

fn main() {
    println!("{:>9} {:>12} {:>10} {:>9} {:>12}", "copies", "catch-up ms", "bytes", "pieces", "memory/copy");
    for count in [1_000, 10_000, 100_000, 1_000_000] {
        for _ in 0..3 {
            let from = filled_table(count);
            let mut to = empty_table(1);
            let before = resident_memory();
            let begun = Instant::now();
            let (bytes, pieces) = catch_up(&from, &mut to);
            let took = begun.elapsed().as_secs_f64() * 1000.0;
            assert_eq!(to.len(), count);
            let each = resident_memory().saturating_sub(before) as f64 / count as f64;
            println!("{count:>9} {took:>12.1} {bytes:>10} {pieces:>9} {each:>12.0}");
        }
    }
    println!("{:>9} {:>9} {:>10} {:>8} {:>8} {:>9}", "copies", "differ", "bytes", "rounds", "mended", "ms");
    for differ in [0, 10, 1000] {
        let mut a = filled_table(1_000_000);
        let mut b = empty_table(1);
        catch_up(&a, &mut b);
        for n in 0..differ {
            a.write(
                Duration::ZERO,
                &id(n * 997),
                Progress::Ended,
                Duration::ZERO,
                None,
                Duration::ZERO,
                None,
            );
        }
        let begun = Instant::now();
        let (bytes, rounds, mended) = compare(&mut a, &mut b);
        let took = begun.elapsed().as_secs_f64() * 1000.0;
        assert!(mended >= differ, "{mended} of {differ}");
        println!("{:>9} {differ:>9} {bytes:>10} {rounds:>8} {mended:>8} {took:>9.1}", a.len());
    }
}
