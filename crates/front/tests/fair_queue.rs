//! The order in which callers are read.

use std::time::Duration;

use lotussaddle_front::FairQueue;
use lotussaddle_platform::SocketId;

const COST: Duration = Duration::from_micros(200);

/// Guards against one caller that waits behind all that hundreds of busy ones send.
#[test]
fn a_connection_that_was_idle_is_read_before_those_that_were_busy() {
    let mut queue = FairQueue::default();
    (1..=1000).for_each(|n| queue.push(SocketId(n)));
    for _ in 0..3500 {
        let socket = queue.pop().unwrap();
        queue.push(socket);
        queue.charge(socket, COST);
    }
    queue.push(SocketId(5000));
    let position = (0..1000).position(|_| queue.pop() == Some(SocketId(5000)));
    assert!(position.is_some_and(|position| position <= 501), "{position:?}");
}

/// Guards against a caller that is never read because others are cheaper.
#[test]
fn busy_connections_share_the_time_and_none_is_passed_over() {
    let mut queue = FairQueue::default();
    let mut spent = [Duration::ZERO; 5];
    (0..5).for_each(|n| queue.push(SocketId(n)));
    for _ in 0..10_000 {
        let socket = queue.pop().unwrap();
        let cost = COST * (1 + socket.0 as u32 * 10);
        spent[socket.0 as usize] += cost;
        queue.push(socket);
        queue.charge(socket, cost);
    }
    let (least, most) = (spent.iter().min().unwrap(), spent.iter().max().unwrap());
    assert!(*most - *least <= COST * 41, "{spent:?}");
}

#[test]
fn a_round_is_over_when_all_that_waited_at_its_start_were_read() {
    let mut queue = FairQueue::default();
    (1..=3).for_each(|n| queue.push(SocketId(n)));
    queue.is_round_over();
    for n in 0..3 {
        assert!(n == 0 || !queue.is_round_over(), "{n} of 3 were read");
        let socket = queue.pop().unwrap();
        queue.push(socket);
        queue.charge(socket, COST);
    }
    assert!(queue.is_round_over());
    (1..=3).for_each(|n| queue.remove(SocketId(n)));
    assert!(queue.is_empty() && queue.pop().is_none() && queue.is_round_over());
}
