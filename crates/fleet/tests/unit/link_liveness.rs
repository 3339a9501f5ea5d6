//! Tests of the module `link_liveness`, with access to its private items.

use super::*;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn check(liveness: &LinkLiveness, now: u64) -> LinkCheck {
    liveness.check(ms(now), ms(500), ms(2000))
}

const PING: Frame = Frame::Ping { nonce: 1 };
const PONG: Frame = Frame::Pong { nonce: 1 };

#[test]
fn an_idle_link_is_not_pinged() {
    let mut liveness = LinkLiveness::default();
    assert_eq!(check(&liveness, 1_000_000), LinkCheck::Idle);
    let kept = PeerMessage::Acknowledge { incarnation: 1, up_to: 1, saved: 1, replaced: Vec::new() };
    for answer in [
        PONG,
        Frame::PeerMessage(kept),
        Frame::PeerMessage(PeerMessage::IncarnationReply { incarnation: 1, granted: true, highest: 1 }),
    ] {
        liveness.sent(ms(0), &answer);
        assert_eq!(check(&liveness, 1_000_000), LinkCheck::Idle, "an answer wants none: {answer:?}");
    }
    liveness.sent(ms(0), &Frame::PeerMessage(PeerMessage::ProposeIncarnation { incarnation: 1 }));
    assert_eq!(check(&liveness, 1_000_000), LinkCheck::Ping);
}

#[test]
fn an_unanswered_frame_is_followed_by_one_ping_and_then_the_link_is_dead() {
    let mut liveness = LinkLiveness::default();
    let frame = Frame::Bye { why: "x".into() };
    liveness.sent(ms(100), &frame);
    liveness.sent(ms(590), &frame);
    assert_eq!(check(&liveness, 599), LinkCheck::Idle);
    assert_eq!(check(&liveness, 600), LinkCheck::Ping, "counted from the first frame without an answer");
    assert_eq!(check(&liveness, 9000), LinkCheck::Ping, "never given up before it was asked");
    liveness.sent(ms(600), &PING);
    assert_eq!(check(&liveness, 2099), LinkCheck::Idle, "asked once");
    assert_eq!(check(&liveness, 2100), LinkCheck::Dead);
    liveness.received();
    assert_eq!(check(&liveness, 9000), LinkCheck::Idle);
    liveness.sent(ms(9000), &frame);
    assert_eq!(check(&liveness, 9500), LinkCheck::Ping, "and so each time");
}
