//! Connections of the hollow members of one host, by readiness: no call waits, and each connection has a bound.

use std::collections::{HashMap, HashSet};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use lotussaddle_fleet::PeerLink;
use lotussaddle_trunk::{Decoder, Frame, Message};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

use crate::hollow::Input;

/// Bytes read at once.
const CHUNK: usize = 16 * 1024;
/// Bytes that wait to be written to one connection, at most: about what the queue of a link of the product holds.
const MOST_UNWRITTEN: usize = 4 * 1024 * 1024;

/// A link as one member of the host numbers it.
pub type MemberLink = (usize, PeerLink);

struct Connection {
    owner: MemberLink,
    stream: TcpStream,
    is_up: bool,
    unwritten: Vec<u8>,
    decoder: Decoder,
}

/// What came of a connection, for the member at this end.
pub struct SocketInput {
    pub member: usize,
    pub input: Input,
    /// Bytes of a frame that was received.
    pub bytes: usize,
}

/// All connections of a host.
pub struct PeerSockets {
    registry: Registry,
    connections: HashMap<Token, Connection>,
    tokens: HashMap<MemberLink, Token>,
    next_token: usize,
    /// Connections with something to write.
    to_write: HashSet<Token>,
    inputs: Vec<SocketInput>,
    accepted: u64,
    buffer: Vec<u8>,
}

impl PeerSockets {
    /// Tokens are given from `first_token` on.
    pub fn new(registry: Registry, first_token: usize) -> Self {
        Self {
            registry,
            connections: HashMap::new(),
            tokens: HashMap::new(),
            next_token: first_token,
            to_write: HashSet::new(),
            inputs: Vec::new(),
            accepted: 0,
            buffer: vec![0; CHUNK],
        }
    }

    /// What came since this was called last.
    pub fn take_inputs(&mut self) -> Vec<SocketInput> {
        std::mem::take(&mut self.inputs)
    }

    /// Connections of all members.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// There is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// A connection came in at a member.
    pub fn accept(&mut self, member: usize, stream: TcpStream) {
        // Links that a member begins have even numbers.
        self.accepted += 1;
        let link = PeerLink(self.accepted << 1 | 1);
        if self.add((member, link), stream, true) {
            self.tell(member, Input::Accepted(link));
        }
    }

    /// A member begins a link.
    pub fn connect(&mut self, member: usize, link: PeerLink, address: SocketAddr) {
        let begun = TcpStream::connect(address).is_ok_and(|stream| self.add((member, link), stream, false));
        if !begun {
            self.tell(member, Input::Lost(link));
        }
    }

    fn add(&mut self, owner: MemberLink, mut stream: TcpStream, is_up: bool) -> bool {
        let token = Token(self.next_token);
        self.next_token += 1;
        let _ = stream.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.registry.register(&mut stream, token, interest).is_err() {
            return false;
        }
        let decoder = Decoder::default();
        let connection = Connection { owner, stream, is_up, unwritten: Vec::new(), decoder };
        self.connections.insert(token, connection);
        self.tokens.insert(owner, token);
        true
    }

    fn tell(&mut self, member: usize, input: Input) {
        self.inputs.push(SocketInput { member, input, bytes: 0 });
    }

    /// Queues a message; gives its length.
    pub fn send(&mut self, owner: MemberLink, message: &Message) -> usize {
        let Some(token) = self.tokens.get(&owner).copied() else { return 0 };
        let Some(connection) = self.connections.get_mut(&token) else { return 0 };
        let before = connection.unwritten.len();
        message.encode(&mut connection.unwritten);
        let bytes = connection.unwritten.len() - before;
        self.to_write.insert(token);
        if before > MOST_UNWRITTEN {
            self.fail(token);
        }
        bytes
    }

    /// Ends a connection, once what is queued has been written as far as it goes.
    pub fn close(&mut self, owner: MemberLink) {
        if let Some(token) = self.tokens.get(&owner).copied() {
            self.write(token);
            self.remove(token);
        }
    }

    /// Takes the connections of a member away without closing them, so that their other ends hear nothing.
    pub fn freeze(&mut self, member: usize) -> Vec<TcpStream> {
        let of_member =
            |(token, connection): (&Token, &Connection)| (connection.owner.0 == member).then_some(*token);
        let tokens: Vec<Token> = self.connections.iter().filter_map(of_member).collect();
        tokens.into_iter().filter_map(|token| self.remove(token)).collect()
    }

    fn remove(&mut self, token: Token) -> Option<TcpStream> {
        let mut connection = self.connections.remove(&token)?;
        self.tokens.remove(&connection.owner);
        self.to_write.remove(&token);
        let _ = self.registry.deregister(&mut connection.stream);
        Some(connection.stream)
    }

    fn fail(&mut self, token: Token) {
        if let Some((member, link)) = self.connections.get(&token).map(|connection| connection.owner) {
            self.remove(token);
            self.tell(member, Input::Lost(link));
        }
    }

    /// What readiness tells of a connection.
    pub fn ready(&mut self, token: Token, readable: bool, writable: bool) {
        if writable {
            self.write_ready(token);
        }
        if readable {
            self.read(token);
        }
    }

    fn write_ready(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if !connection.is_up {
            if !matches!(connection.stream.take_error(), Ok(None)) {
                return self.fail(token);
            }
            if connection.stream.peer_addr().is_err() {
                return;
            }
            connection.is_up = true;
            let (member, link) = connection.owner;
            self.tell(member, Input::Connected(link));
        }
        self.write(token);
    }

    /// Writes what is queued on all connections, as far as they take it.
    pub fn flush(&mut self) {
        for token in std::mem::take(&mut self.to_write) {
            self.write(token);
        }
    }

    fn write(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token).filter(|known| known.is_up) else { return };
        while !connection.unwritten.is_empty() {
            match connection.stream.write(&connection.unwritten) {
                Ok(written) => drop(connection.unwritten.drain(..written)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.fail(token),
            }
        }
    }

    fn read(&mut self, token: Token) {
        loop {
            let Some(connection) = self.connections.get_mut(&token) else { return };
            match connection.stream.read(&mut self.buffer) {
                Ok(0) => return self.fail(token),
                Ok(read) => {
                    connection.decoder.feed(&self.buffer[..read]);
                    if !self.decode(token) {
                        return self.fail(token);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.fail(token),
            }
        }
    }

    /// Takes all whole frames of a connection; false if one cannot be read.
    fn decode(&mut self, token: Token) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return true };
        let (member, link) = connection.owner;
        loop {
            let before = connection.decoder.pending();
            let frame: Frame = match connection.decoder.next_frame() {
                None => return true,
                Some(Err(_)) => return false,
                Some(Ok(message)) => message.frame,
            };
            let bytes = before - connection.decoder.pending();
            self.inputs.push(SocketInput { member, input: Input::Received(link, frame), bytes });
        }
    }
}
