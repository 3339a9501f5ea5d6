//! Datagrams to look-up servers and back: a socket for each, with a port of its own, a thread that reads and one that
//! writes.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Receiver, Sender, bounded};
use lotussaddle_portability::MAX_DATAGRAM;

/// Datagrams that wait either way; beyond it they are lost, as datagrams are, and asked again.
const QUEUE: usize = 4096;
const STACK: usize = 64 * 1024;

/// Of which server, and its datagram.
pub type Reply = (usize, Vec<u8>);

pub struct LookUps(Vec<Sender<Vec<u8>>>);

impl LookUps {
    pub fn open(servers: &[SocketAddr]) -> std::io::Result<(Self, Receiver<Reply>)> {
        let (heard, replies) = bounded(QUEUE);
        let mut senders = Vec::new();
        for (number, server) in servers.iter().enumerate() {
            let any = if server.is_ipv4() {
                SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
            } else {
                SocketAddr::from((Ipv6Addr::LOCALHOST, 0))
            };
            let socket = UdpSocket::bind(any)?;
            // Connected: what comes from elsewhere never comes up here.
            socket.connect(server)?;
            let socket = Arc::new(socket);
            let (sender, datagrams) = bounded::<Vec<u8>>(QUEUE);
            senders.push(sender);
            let writer = socket.clone();
            thread::Builder::new().name("ask".into()).stack_size(STACK).spawn(move || {
                for datagram in datagrams {
                    // A server that is down says so, if at all, at the next read or write; it is a loss like others.
                    let _ = writer.send(&datagram);
                }
            })?;
            let heard = heard.clone();
            thread::Builder::new().name("told".into()).stack_size(STACK).spawn(move || {
                // One byte more than there may be, so that what is too long is seen to be.
                let mut buffer = [0; MAX_DATAGRAM + 1];
                loop {
                    match socket.recv(&mut buffer) {
                        Ok(length) => {
                            if let Err(error) = heard.try_send((number, buffer[..length].to_vec()))
                                && error.is_disconnected()
                            {
                                return;
                            }
                        }
                        // "Refused": the server is down. Not to be told so without end.
                        Err(_) => thread::sleep(std::time::Duration::from_millis(5)),
                    }
                }
            })?;
        }
        Ok((Self(senders), replies))
    }

    pub fn ask(&self, server: usize, datagram: &[u8]) {
        if let Some(sender) = self.0.get(server) {
            drop(sender.try_send(datagram.to_vec()));
        }
    }
}
