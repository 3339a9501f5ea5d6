//! Tests of the module `measure`, with access to its private items.

use super::*;

const TIME: MeasuredTime = MeasuredTime { from: Duration::from_secs(5), seconds: 20 };

#[test]
fn frames_outside_the_measured_time_are_not_counted() {
    let mut traffic = MemberTraffic::new(TIME.seconds);
    for at in [4, 5, 24, 25] {
        let second = TIME.second_of(Duration::from_secs(at));
        traffic.count(second, Direction::Sent, FrameKind::Heartbeat, 100);
    }
    assert_eq!(traffic.total(Direction::Sent), FrameCount { frames: 2, bytes: 200 });
    assert_eq!(traffic.total(Direction::Received), FrameCount::default());
}

#[test]
fn the_worst_ten_seconds_and_the_member_with_most_are_found() {
    let mut traffic = vec![MemberTraffic::new(TIME.seconds); 2];
    for second in 0..TIME.seconds {
        traffic[0].count(Some(second), Direction::Sent, FrameKind::Heartbeat, 10);
    }
    for second in 7..17 {
        traffic[1].count(Some(second), Direction::Sent, FrameKind::Copies, 100);
    }
    let measured = BTreeSet::from([Quantity::BytesSent]);
    let measurements = traffic_measurements(&traffic, &[0], TIME, &measured);
    let value = |aggregate: Aggregate, kind: Option<&str>| {
        let wanted = |known: &&Measurement| {
            known.role == Some(Role::EdgeProxy)
                && known.aggregate == aggregate
                && known.kind.as_ref().map(|kind| kind.0.as_str()) == kind
        };
        measurements.iter().find(wanted).map(|measurement| measurement.value)
    };
    assert_eq!(value(Aggregate::Mean, None), Some(30.0));
    assert_eq!(value(Aggregate::MaxMember, None), Some(50.0));
    assert_eq!(value(Aggregate::WorstTenSeconds, None), Some(55.0));
    assert_eq!(value(Aggregate::Mean, Some("copies")), Some(25.0));
    assert_eq!(value(Aggregate::Mean, Some("publish")), None);
}
