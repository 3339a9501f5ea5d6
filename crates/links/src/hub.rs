//! A hub: the links of one owner, their events and their threads.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, unbounded};
use lotussaddle_trunk::{Decoder, Message};

/// Stack size of each thread of a link.
const STACK_BYTES: usize = 64 * 1024;
/// Bytes read at once, and bytes collected before a write.
const CHUNK_BYTES: usize = 16 * 1024;

/// Identifies a link of a hub; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkToken(pub u64);

/// Limits of a hub's queues and waits.
#[derive(Clone, Debug)]
pub struct HubLimits {
    /// Maximum messages queued for one link.
    pub max_queued_messages: usize,
    /// Maximum events queued for the owner.
    pub max_queued_events: usize,
    /// Maximum time for which a write may make no progress.
    pub write_timeout: Duration,
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
}

impl Default for HubLimits {
    fn default() -> Self {
        Self {
            max_queued_messages: 16_384,
            max_queued_events: 16_384,
            write_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(500),
        }
    }
}

/// An event of a link, as reported to the hub's owner.
pub enum LinkEvent {
    /// A connection was accepted by the listener with this number. It is closed unless the owner passes it to
    /// [`Hub::admit`].
    Accepted(LinkToken, u32, OpenLink),
    /// A connection started by [`Hub::connect`] is established.
    Connected(LinkToken),
    /// A message was received.
    Received(LinkToken, Message),
    /// The link was closed, for this reason; it has no further events.
    Closed(LinkToken, String),
}

/// The owner's end of a link whose threads are running.
pub struct OpenLink {
    outgoing: Sender<Message>,
    stream: Option<Arc<TcpStream>>,
    is_closed: Arc<AtomicBool>,
    /// Whether the connection is to be reset instead of closed in order.
    reset_on_close: Arc<AtomicBool>,
    byte_gap_ms: Arc<AtomicU64>,
}

/// Allocates tokens for a hub and the threads of its listeners.
#[derive(Clone)]
pub(crate) struct TokenAllocator(Arc<AtomicU64>);

impl TokenAllocator {
    pub fn next(&self) -> LinkToken {
        LinkToken(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// The links of one owner, used only by the owner's thread. No method except `reset` uses a socket: connections are
/// started by a separate thread, and the threads of a link end when the owner's end of its queue is dropped.
pub struct Hub {
    limits: HubLimits,
    tokens: TokenAllocator,
    events: Sender<LinkEvent>,
    open: HashMap<LinkToken, OpenLink>,
    to_connect: Sender<(LinkWorker, String, Receiver<Message>)>,
}

/// Maximum number of connections waiting to be started.
const MAX_PENDING_CONNECTIONS: usize = 1024;

impl Hub {
    /// Starts the connecting thread and returns the hub with the receiver of its events. Fails if the thread cannot be
    /// started.
    pub fn new(limits: HubLimits) -> std::io::Result<(Self, Receiver<LinkEvent>)> {
        let (events, receiver) = bounded(limits.max_queued_events);
        let (to_connect, pending) =
            bounded::<(LinkWorker, String, Receiver<Message>)>(MAX_PENDING_CONNECTIONS);
        let timeout = limits.connect_timeout;
        thread::Builder::new().name("connector".into()).stack_size(STACK_BYTES).spawn(move || {
            while let Ok((worker, address, messages)) = pending.recv() {
                let failed = worker.clone();
                let connect = move || worker.connect(&address, timeout, messages);
                let started =
                    thread::Builder::new().name("connect".into()).stack_size(STACK_BYTES).spawn(connect);
                if let Err(error) = started {
                    failed.report_closed(format!("link threads could not be started: {error}"));
                }
            }
        })?;
        let hub =
            Self { limits, tokens: TokenAllocator(Arc::default()), events, open: HashMap::new(), to_connect };
        Ok((hub, receiver))
    }

    pub(crate) fn link_factory(&self) -> LinkFactory {
        LinkFactory { tokens: self.tokens.clone(), events: self.events.clone(), limits: self.limits.clone() }
    }

    /// Takes over an accepted link.
    pub fn admit(&mut self, token: LinkToken, link: OpenLink) {
        self.open.insert(token, link);
    }

    /// Starts a connection to an address; its result is reported as an event.
    pub fn connect(&mut self, address: &str) -> LinkToken {
        let token = self.tokens.next();
        let (worker, link, messages) = self.link_factory().link(token);
        self.open.insert(token, link);
        if let Err(TrySendError::Full((worker, ..)) | TrySendError::Disconnected((worker, ..))) =
            self.to_connect.try_send((worker, address.into(), messages))
        {
            // The owner's thread also reads the event channel, so that it must not block on it. If the channel is full,
            // the owner learns of the closed link from its next `send`.
            worker.is_closed.store(true, Ordering::Relaxed);
            let _ = self.events.try_send(LinkEvent::Closed(token, "too many pending connections".into()));
        }
        token
    }

    /// Queues a message. Returns false if the queue is full or the link is closed.
    pub fn send(&mut self, token: LinkToken, message: Message) -> bool {
        let open = self.open.get(&token).filter(|open| open.outgoing.len() < self.limits.max_queued_messages);
        open.is_some_and(|open| open.outgoing.send(message).is_ok())
    }

    /// Writes this link one byte at a time from now on, with this gap between bytes; zero restores normal writing.
    pub fn throttle(&mut self, token: LinkToken, gap: Duration) {
        if let Some(open) = self.open.get(&token) {
            open.byte_gap_ms.store(gap.as_millis() as u64, Ordering::Relaxed);
        }
    }

    /// Closes a link after its queued messages have been written. It has no further events.
    pub fn close(&mut self, token: LinkToken) {
        if let Some(open) = self.open.remove(&token) {
            open.is_closed.store(true, Ordering::Relaxed);
        }
    }

    /// Closes an accepted link so that its peer sees a connection reset immediately.
    pub fn reset(&mut self, token: LinkToken) {
        if let Some(open) = self.open.remove(&token) {
            open.is_closed.store(true, Ordering::Relaxed);
            if let Some(stream) = &open.stream {
                // With a linger time of zero the connection is reset when the last handle of the socket is dropped.
                open.reset_on_close.store(true, Ordering::Relaxed);
                let _ = socket2::SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// Number of messages queued for a link.
    pub fn queued(&self, token: LinkToken) -> usize {
        self.open.get(&token).map_or(0, |open| open.outgoing.len())
    }

    /// Number of open links.
    pub fn links(&self) -> usize {
        self.open.len()
    }
}

/// Creates links for a hub and the threads of its listeners.
#[derive(Clone)]
pub(crate) struct LinkFactory {
    pub tokens: TokenAllocator,
    pub events: Sender<LinkEvent>,
    limits: HubLimits,
}

impl LinkFactory {
    fn link(&self, token: LinkToken) -> (LinkWorker, OpenLink, Receiver<Message>) {
        // `Hub::send` limits the length of this queue: a bounded channel of this library allocates all its slots at
        // once, half a megabyte per link.
        let (outgoing, messages) = unbounded();
        let link = OpenLink {
            outgoing,
            stream: None,
            is_closed: Arc::default(),
            reset_on_close: Arc::default(),
            byte_gap_ms: Arc::default(),
        };
        let worker = LinkWorker {
            token,
            events: self.events.clone(),
            is_closed: link.is_closed.clone(),
            reset_on_close: link.reset_on_close.clone(),
            byte_gap_ms: link.byte_gap_ms.clone(),
            write_timeout: self.limits.write_timeout,
        };
        (worker, link, messages)
    }

    /// Reports an accepted connection and starts the threads of its link. Returns false if the owner has dropped the
    /// event channel.
    pub fn accept(&self, stream: TcpStream, listener: u32) -> bool {
        let token = self.tokens.next();
        let (worker, mut link, messages) = self.link(token);
        let stream = Arc::new(stream);
        link.stream = Some(stream.clone());
        if self.events.send(LinkEvent::Accepted(token, listener, link)).is_err() {
            return false;
        }
        if let Err(error) = worker.clone().run(stream, messages) {
            worker.report_closed(format!("link threads could not be started: {error}"));
        }
        true
    }
}

/// The state shared by the threads of a link.
#[derive(Clone)]
struct LinkWorker {
    token: LinkToken,
    events: Sender<LinkEvent>,
    is_closed: Arc<AtomicBool>,
    reset_on_close: Arc<AtomicBool>,
    byte_gap_ms: Arc<AtomicU64>,
    write_timeout: Duration,
}

impl LinkWorker {
    /// Reports that the link is closed, with the first reason only.
    fn report_closed(&self, why: String) {
        if !self.is_closed.swap(true, Ordering::Relaxed) {
            let _ = self.events.send(LinkEvent::Closed(self.token, why));
        }
    }

    /// Connects to an address and runs the link.
    fn connect(self, address: &str, timeout: Duration, messages: Receiver<Message>) {
        let stream = match address.parse::<SocketAddr>() {
            Ok(address) => TcpStream::connect_timeout(&address, timeout).map_err(|e| e.to_string()),
            Err(_) => Err("invalid address".to_string()),
        };
        match stream {
            // The owner closed the link in the meantime.
            _ if self.is_closed.load(Ordering::Relaxed) => {}
            Ok(stream) => {
                let _ = self.events.send(LinkEvent::Connected(self.token));
                if let Err(error) = self.clone().run(Arc::new(stream), messages) {
                    self.report_closed(format!("link threads could not be started: {error}"));
                }
            }
            Err(error) => self.report_closed(format!("connection failed: {error}")),
        }
    }

    /// Starts the writer and the reader thread.
    fn run(self, stream: Arc<TcpStream>, messages: Receiver<Message>) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.write_timeout))?;
        let (read, write) = (stream.clone(), stream);
        let writer = self.clone();
        thread::Builder::new().name("writer".into()).stack_size(STACK_BYTES).spawn(move || {
            if let Err(error) = writer.write(&write, &messages) {
                writer.report_closed(error.to_string());
            }
            if !writer.reset_on_close.load(Ordering::Relaxed) {
                let _ = write.shutdown(Shutdown::Both);
            }
        })?;
        thread::Builder::new().name("reader".into()).stack_size(STACK_BYTES).spawn(move || {
            let why = self.read(&read);
            let _ = read.shutdown(Shutdown::Read);
            self.report_closed(why);
        })?;
        Ok(())
    }

    /// Reads until the link ends and returns the reason.
    fn read(&self, mut stream: &TcpStream) -> String {
        let mut decoder = Decoder::default();
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = match stream.read(&mut chunk) {
                Ok(0) if decoder.pending() > 0 => return "closed by its peer within a frame".into(),
                Ok(0) => return "closed by its peer".into(),
                Ok(read) => read,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return error.to_string(),
            };
            decoder.feed(&chunk[..read]);
            while let Some(message) = decoder.next_frame() {
                match message {
                    _ if self.is_closed.load(Ordering::Relaxed) => return String::new(),
                    Ok(message) => {
                        if self.events.send(LinkEvent::Received(self.token, message)).is_err() {
                            return "the event channel is closed".into();
                        }
                    }
                    Err(error) => return format!("invalid frame: {error}"),
                }
            }
        }
    }

    /// Writes messages until the queue is closed.
    fn write(&self, mut stream: &TcpStream, messages: &Receiver<Message>) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        while let Ok(message) = messages.recv() {
            message.encode(&mut bytes);
            while bytes.len() < CHUNK_BYTES
                && let Ok(message) = messages.try_recv()
            {
                message.encode(&mut bytes);
            }
            match self.byte_gap_ms.load(Ordering::Relaxed) {
                0 => stream.write_all(&bytes)?,
                gap_ms => {
                    for byte in &bytes {
                        stream.write_all(std::slice::from_ref(byte))?;
                        if self.byte_gap_ms.load(Ordering::Relaxed) > 0 {
                            thread::sleep(Duration::from_millis(gap_ms));
                        }
                    }
                }
            }
            bytes.clear();
        }
        Ok(())
    }
}
