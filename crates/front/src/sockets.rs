//! Non-blocking connections driven by readiness, each with bounds on its buffers.

use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use lotussaddle_platform::{CloseMode, Net, SocketId};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use rustix::io::Errno;

use crate::fair_queue::FairQueue;

/// Maximum number of bytes read from one connection in one iteration.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Bounds on the input discarded from a connection that is closing, in bytes and in time.
const MAX_DRAINED_BYTES: usize = 256 * 1024;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(700);
/// An empty write queue with a larger capacity than this is freed.
const MAX_IDLE_QUEUE_BYTES: usize = 4096;
/// Log lines written in one second; those beyond are only counted.
const MAX_LOG_LINES_PER_SECOND: u32 = 40;

struct Connection {
    stream: TcpStream,
    origin: Origin,
    is_up: bool,
    write_queue: VecDeque<u8>,
    /// Whether it is in the queue of connections that may have input.
    is_queued: bool,
    drain: Option<Drain>,
}

/// The state of a connection that is being closed while its last bytes are written and further input is discarded.
struct Drain {
    deadline: Instant,
    bytes_left: usize,
    is_shut_down: bool,
}

/// Which side started a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This side; it is to be established.
    Started,
    /// A caller; it is established.
    Accepted,
}

/// A connection that ended without being closed by this side.
pub struct LostConnection {
    /// The connection.
    pub socket: SocketId,
    /// Whether the connection was refused by the peer.
    pub refused: bool,
    /// Description of the error, for the log.
    pub reason: String,
}

/// All connections of the process.
pub struct Sockets {
    registry: Registry,
    connections: HashMap<SocketId, Connection>,
    last_id: u64,
    /// Maximum number of descriptors that connections may take.
    max_connections: usize,
    max_unwritten_bytes: usize,
    /// Connections started by this side that may have input, in the order in which they are read.
    pub ready_peers: VecDeque<SocketId>,
    /// Accepted connections that may have input.
    pub ready_callers: FairQueue,
    /// Connections lost and not yet reported.
    pub lost: Vec<LostConnection>,
    /// Connections that are closing, oldest first.
    draining: VecDeque<SocketId>,
    log_lines: (Option<Instant>, u32, u64),
}

impl Sockets {
    /// A set without connections. Identifiers are assigned above `first_id`.
    pub fn new(
        registry: Registry, max_connections: usize, max_unwritten_bytes: usize, first_id: u64,
    ) -> Self {
        Self {
            registry,
            connections: HashMap::new(),
            last_id: first_id,
            max_connections,
            max_unwritten_bytes,
            ready_peers: VecDeque::new(),
            ready_callers: FairQueue::default(),
            lost: Vec::new(),
            draining: VecDeque::new(),
            log_lines: (None, 0, 0),
        }
    }

    /// Number of connections that may have input.
    pub fn ready_count(&self) -> usize {
        self.ready_peers.len() + self.ready_callers.len()
    }

    /// Whether no connection is being closed any more.
    pub fn all_closed(&self) -> bool {
        self.connections.values().all(|connection| connection.drain.is_none())
    }

    /// Whether any connection has input that was not read yet.
    pub fn has_any_unread(&mut self) -> bool {
        let up =
            self.connections.iter().filter(|(_, connection)| connection.is_up && connection.drain.is_none());
        let up: Vec<SocketId> = up.map(|(socket, _)| *socket).collect();
        up.into_iter().filter(|socket| self.has_unread(*socket)).count() > 0
    }

    /// Whether any bytes are still to be written.
    pub fn has_unwritten(&self) -> bool {
        self.connections.values().any(|connection| !connection.write_queue.is_empty())
    }

    /// Registers a connection.
    pub fn add(&mut self, mut stream: TcpStream, origin: Origin) -> std::io::Result<SocketId> {
        self.last_id += 1;
        let socket = SocketId(self.last_id);
        let _ = stream.set_nodelay(true);
        self.registry.register(
            &mut stream,
            Token(self.last_id as usize),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        let is_up = origin == Origin::Accepted;
        let connection =
            Connection { stream, origin, is_up, write_queue: VecDeque::new(), is_queued: false, drain: None };
        self.connections.insert(socket, connection);
        Ok(socket)
    }

    /// Handles a readiness event. Returns true if the connection has just come up.
    pub fn readiness_changed(&mut self, socket: SocketId, readable: bool, writable: bool) -> bool {
        let Some(connection) = self.connections.get_mut(&socket) else { return false };
        let mut came_up = false;
        if !connection.is_up {
            match connection.stream.take_error() {
                Ok(Some(error)) | Err(error) => {
                    self.fail(socket, &error);
                    return false;
                }
                Ok(None) if !writable || connection.stream.peer_addr().is_err() => return false,
                Ok(None) => {}
            }
            connection.is_up = true;
            came_up = true;
        }
        if writable {
            self.flush(socket);
        }
        if readable {
            self.queue(socket);
        }
        came_up
    }

    /// Queues a connection to be read, behind the others of its origin.
    fn queue(&mut self, socket: SocketId) {
        let Some(connection) = self.connections.get_mut(&socket).filter(|c| !c.is_queued) else { return };
        connection.is_queued = true;
        match connection.origin {
            Origin::Started => self.ready_peers.push_back(socket),
            Origin::Accepted => self.ready_callers.push(socket),
        }
    }

    fn fail(&mut self, socket: SocketId, error: &std::io::Error) {
        self.ready_callers.remove(socket);
        if let Some(mut connection) = self.connections.remove(&socket) {
            let _ = self.registry.deregister(&mut connection.stream);
            if connection.drain.is_none() {
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                self.lost.push(LostConnection { socket, refused, reason: error.to_string() });
            }
        }
    }

    fn flush(&mut self, socket: SocketId) {
        let Some(connection) = self.connections.get_mut(&socket) else { return };
        while connection.is_up && !connection.write_queue.is_empty() {
            let (first, _) = connection.write_queue.as_slices();
            match connection.stream.write(first) {
                Ok(written) => drop(connection.write_queue.drain(..written)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return self.fail(socket, &e),
            }
        }
        if connection.write_queue.capacity() > MAX_IDLE_QUEUE_BYTES && connection.write_queue.is_empty() {
            connection.write_queue = VecDeque::new();
        }
        if let Some(drain) = &mut connection.drain
            && !drain.is_shut_down
        {
            drain.is_shut_down = true;
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }

    /// Reads once and returns the number of bytes for the protocol. The connection stays queued until a read
    /// would block.
    pub fn read(&mut self, socket: SocketId, buffer: &mut [u8; READ_CHUNK_BYTES]) -> usize {
        let Some(connection) = self.connections.get_mut(&socket) else { return 0 };
        connection.is_queued = false;
        match connection.stream.read(buffer) {
            Ok(0) => {
                self.fail(socket, &std::io::Error::new(ErrorKind::UnexpectedEof, "closed by the peer"));
                0
            }
            Ok(read) => {
                self.queue(socket);
                self.input_after_close(socket, read)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(e) if e.kind() == ErrorKind::Interrupted => {
                self.queue(socket);
                0
            }
            Err(e) => {
                self.fail(socket, &e);
                0
            }
        }
    }

    /// Discards input of a connection that is closing, up to its bound; returns the number of bytes that are left for the
    /// protocol.
    fn input_after_close(&mut self, socket: SocketId, read: usize) -> usize {
        let drain = self.connections.get_mut(&socket).and_then(|connection| connection.drain.as_mut());
        let Some(drain) = drain else { return read };
        drain.bytes_left = drain.bytes_left.saturating_sub(read);
        if drain.bytes_left == 0 {
            self.close(socket, CloseMode::Now);
        }
        0
    }

    /// Closes draining connections whose time has expired, and the oldest while there are too many.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        while let Some(socket) = self.draining.front().copied() {
            let is_due = match self.connections.get(&socket).and_then(|connection| connection.drain.as_ref())
            {
                None => true,
                Some(drain) => drain.deadline <= now || self.draining.len() > self.max_connections / 8,
            };
            if !is_due {
                return;
            }
            self.draining.pop_front();
            self.close(socket, CloseMode::Now);
        }
    }

    /// When [`Self::close_expired`] is due next.
    pub fn next_expiry(&self) -> Option<Instant> {
        let first = self.draining.front()?;
        Some(
            self.connections
                .get(first)
                .and_then(|connection| connection.drain.as_ref())
                .map_or_else(Instant::now, |drain| drain.deadline),
        )
    }
}

fn is_out_of_descriptors(error: &std::io::Error) -> bool {
    [Errno::MFILE, Errno::NFILE].iter().any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}

impl Net for Sockets {
    fn connect(&mut self, address: SocketAddr) -> Option<SocketId> {
        if self.connections.len() >= self.max_connections {
            self.close_expired();
            return None;
        }
        match TcpStream::connect(address) {
            Ok(stream) => self.add(stream, Origin::Started).ok(),
            Err(error) if is_out_of_descriptors(&error) => None,
            Err(error) => {
                self.last_id += 1;
                let socket = SocketId(self.last_id);
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                self.lost.push(LostConnection { socket, refused, reason: error.to_string() });
                Some(socket)
            }
        }
    }

    fn send(&mut self, socket: SocketId, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&socket) else { return false };
        if connection.write_queue.len() + bytes.len() > self.max_unwritten_bytes || connection.drain.is_some()
        {
            return false;
        }
        connection.write_queue.extend(bytes);
        self.flush(socket);
        true
    }

    fn has_unread(&mut self, socket: SocketId) -> bool {
        let Some(connection) = self.connections.get_mut(&socket) else { return false };
        if connection.is_queued {
            return true;
        }
        // The process may have been paused since the poll; input that arrived meanwhile is reported only by
        // the next poll.
        let would_block =
            matches!(connection.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        if !would_block {
            self.queue(socket);
        }
        !would_block
    }

    fn close(&mut self, socket: SocketId, how: CloseMode) {
        let Some(connection) = self.connections.get_mut(&socket) else { return };
        if how == CloseMode::AfterWriting && connection.drain.is_none() {
            connection.drain = Some(Drain {
                deadline: Instant::now() + DRAIN_TIMEOUT,
                bytes_left: MAX_DRAINED_BYTES,
                is_shut_down: false,
            });
            self.draining.push_back(socket);
            self.flush(socket);
            return;
        }
        self.ready_callers.remove(socket);
        if let Some(mut connection) = self.connections.remove(&socket) {
            let _ = self.registry.deregister(&mut connection.stream);
        }
    }

    fn log(&mut self, line: &str) {
        let (second, lines, dropped) = &mut self.log_lines;
        if second.is_none_or(|second| second.elapsed() >= Duration::from_secs(1)) {
            if *dropped > 0 {
                tracing::info!("{dropped} log lines suppressed");
            }
            (*second, *lines, *dropped) = (Some(Instant::now()), 0, 0);
        }
        if *lines < MAX_LOG_LINES_PER_SECOND {
            *lines += 1;
            tracing::info!("{line}");
        } else {
            *dropped += 1;
        }
    }
}
