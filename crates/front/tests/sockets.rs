//! Connections driven by readiness: what is known of one between two polls.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use lotussaddle_front::{Origin, Sockets};
use lotussaddle_platform::{CloseMode, Net, SocketId};
use mio::Poll;

struct ConnectionPair {
    _poll: Poll,
    sockets: Sockets,
    local: SocketId,
    remote: TcpStream,
}

fn connected_pair() -> ConnectionPair {
    let poll = Poll::new().unwrap();
    let mut sockets = Sockets::new(poll.registry().try_clone().unwrap(), 16, 1 << 20, 16);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let remote = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    remote.set_nodelay(true).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let local = sockets.add(mio::net::TcpStream::from_std(stream), Origin::Accepted).unwrap();
    ConnectionPair { _poll: poll, sockets, local, remote }
}

/// Waits until a condition holds; loopback delivers within a short time, but not at once.
fn becomes_true(mut condition: impl FnMut() -> bool) -> bool {
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(5) {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(1));
    }
    false
}

/// The process may have been paused since the poll, so unread input is checked before a set-up is sent.
#[test]
fn input_and_closes_since_the_last_poll_count_as_unread() {
    let mut p = connected_pair();
    assert!(!p.sockets.has_unread(p.local), "nothing was sent");
    p.remote.write_all(b"x").unwrap();
    assert!(becomes_true(|| p.sockets.has_unread(p.local)));
    assert_eq!(p.sockets.ready_callers.pop(), Some(p.local), "it is read in the next iteration");

    let mut p = connected_pair();
    drop(p.remote);
    assert!(becomes_true(|| p.sockets.has_unread(p.local)), "the peer has closed");

    let mut p = connected_pair();
    socket2::SockRef::from(&p.remote).set_linger(Some(Duration::ZERO)).unwrap();
    drop(p.remote);
    assert!(becomes_true(|| p.sockets.has_unread(p.local)), "the peer has reset the connection");
}

#[test]
fn queued_bytes_are_written_before_a_close_despite_unread_input() {
    let mut p = connected_pair();
    p.remote.write_all(&[b'x'; 4096]).unwrap();
    assert!(becomes_true(|| p.sockets.has_unread(p.local)));
    assert!(p.sockets.send(p.local, b"the last answer\n"));
    p.sockets.close(p.local, CloseMode::AfterWriting);
    assert!(!p.sockets.all_closed() && !p.sockets.has_unwritten());
    let mut received = String::new();
    p.remote.read_to_string(&mut received).expect("a close without a reset");
    assert_eq!(received, "the last answer\n");
    drop(p.remote);
    // Input is discarded until the peer has closed as well.
    let mut buffer = Box::new([0; 16 * 1024]);
    assert!(becomes_true(|| {
        assert_eq!(p.sockets.read(p.local, &mut buffer), 0);
        p.sockets.all_closed()
    }));
}
