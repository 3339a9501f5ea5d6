//! The links of one owner.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, unbounded};
use lotussaddle_trunk::{Decoder, Message};

/// Stack of each reader and writer thread.
const STACK: usize = 64 * 1024;
/// Bytes read at once, and bytes gathered before they are written.
const CHUNK: usize = 16 * 1024;

/// A link of a hub, never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkToken(pub u64);

#[derive(Clone, Debug)]
pub struct HubLimits {
    /// Messages that wait to be written to one link.
    pub max_queued_messages: usize,
    /// Happenings that wait for the owner.
    pub max_queued_events: usize,
    /// How long a write may stand still.
    pub write_timeout: Duration,
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

/// What the owner of a hub is told.
pub enum LinkEvent {
    /// A link came in at the gate of this number; it is closed again unless the hub admits it.
    Accepted(LinkToken, u32, OpenLink),
    /// A link begun by `Hub::connect` is up.
    Connected(LinkToken),
    Received(LinkToken, Message),
    /// A link is gone; nothing more comes of it.
    Closed(LinkToken, String),
}

/// This end of a link whose threads run.
pub struct OpenLink {
    to: Sender<Message>,
    stream: Option<Arc<TcpStream>>,
    gone: Arc<AtomicBool>,
    /// It is to end in a reset, not in order.
    abrupt: Arc<AtomicBool>,
    drip: Arc<AtomicU64>,
}

/// Gives tokens, to a hub and to the threads of its gates.
#[derive(Clone)]
pub(crate) struct Tokens(Arc<AtomicU64>);

impl Tokens {
    pub fn next(&self) -> LinkToken {
        LinkToken(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// Only its owner's thread calls it. None of its calls touches a socket but `reset`: links are begun by a thread
/// of their own, and the threads of a link end when its end of the queue is let go.
pub struct Hub {
    bounds: HubLimits,
    tokens: Tokens,
    inbox: Sender<LinkEvent>,
    open: HashMap<LinkToken, OpenLink>,
    to_begin: Sender<(Ends, String, Receiver<Message>)>,
}

/// Links that wait to be begun.
const TO_BEGIN: usize = 1024;

impl Hub {
    pub fn new(bounds: HubLimits) -> std::io::Result<(Self, Receiver<LinkEvent>)> {
        let (inbox, happenings) = bounded(bounds.max_queued_events);
        let (to_begin, begun) = bounded::<(Ends, String, Receiver<Message>)>(TO_BEGIN);
        let within = bounds.connect_timeout;
        thread::Builder::new().name("connector".into()).stack_size(STACK).spawn(move || {
            while let Ok((ends, address, messages)) = begun.recv() {
                let refused = ends.clone();
                let begin = move || ends.begin(&address, within, messages);
                let begun = thread::Builder::new().name("connect".into()).stack_size(STACK).spawn(begin);
                if let Err(error) = begun {
                    refused.lost(format!("no thread for it: {error}"));
                }
            }
        })?;
        let hub = Self { bounds, tokens: Tokens(Arc::default()), inbox, open: HashMap::new(), to_begin };
        Ok((hub, happenings))
    }

    pub(crate) fn maker(&self) -> Maker {
        Maker { tokens: self.tokens.clone(), inbox: self.inbox.clone(), bounds: self.bounds.clone() }
    }

    /// Keeps a link that came in.
    pub fn admit(&mut self, token: LinkToken, opened: OpenLink) {
        self.open.insert(token, opened);
    }

    pub fn connect(&mut self, address: &str) -> LinkToken {
        let token = self.tokens.next();
        let (ends, opened, messages) = self.maker().link(token);
        self.open.insert(token, opened);
        if let Err(TrySendError::Full((ends, ..)) | TrySendError::Disconnected((ends, ..))) =
            self.to_begin.try_send((ends, address.into(), messages))
        {
            // The owner reads this from the channel that it owns: where even that is full, its link is lost
            // when it next says something there.
            ends.gone.store(true, Ordering::Relaxed);
            let _ = self.inbox.try_send(LinkEvent::Closed(token, "too many links to begin".into()));
        }
        token
    }

    /// Queues a message; false where the queue is full or the link gone.
    pub fn send(&mut self, token: LinkToken, message: Message) -> bool {
        let open = self.open.get(&token).filter(|open| open.to.len() < self.bounds.max_queued_messages);
        open.is_some_and(|open| open.to.send(message).is_ok())
    }

    /// From now on this link is written a byte at a time, so far apart; zero: as it comes.
    pub fn throttle(&mut self, token: LinkToken, gap: Duration) {
        if let Some(open) = self.open.get(&token) {
            open.drip.store(gap.as_millis() as u64, Ordering::Relaxed);
        }
    }

    /// Ends a link, once what is queued has been written. Nothing is told of it any more.
    pub fn close(&mut self, token: LinkToken) {
        if let Some(open) = self.open.remove(&token) {
            open.gone.store(true, Ordering::Relaxed);
        }
    }

    /// Ends a link that came in so that its peer sees a reset at once.
    pub fn reset(&mut self, token: LinkToken) {
        if let Some(open) = self.open.remove(&token) {
            open.gone.store(true, Ordering::Relaxed);
            if let Some(stream) = &open.stream {
                // With no time to linger, the last one to let go of the socket resets the connection.
                open.abrupt.store(true, Ordering::Relaxed);
                let _ = socket2::SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// Messages queued to a link.
    pub fn queued(&self, token: LinkToken) -> usize {
        self.open.get(&token).map_or(0, |open| open.to.len())
    }

    pub fn links(&self) -> usize {
        self.open.len()
    }
}

/// Makes links, for a hub and for the threads of its gates.
#[derive(Clone)]
pub(crate) struct Maker {
    pub tokens: Tokens,
    pub inbox: Sender<LinkEvent>,
    bounds: HubLimits,
}

impl Maker {
    fn link(&self, token: LinkToken) -> (Ends, OpenLink, Receiver<Message>) {
        // Bounded by its one sender, in `Hub::say`: a bounded channel of this library holds all its slots from the
        // start, half a megabyte a link.
        let (to, messages) = unbounded();
        let opened =
            OpenLink { to, stream: None, gone: Arc::default(), abrupt: Arc::default(), drip: Arc::default() };
        let ends = Ends {
            token,
            inbox: self.inbox.clone(),
            gone: opened.gone.clone(),
            abrupt: opened.abrupt.clone(),
            drip: opened.drip.clone(),
            write_within: self.bounds.write_timeout,
        };
        (ends, opened, messages)
    }

    /// Starts the threads of a link that came in, and tells its owner; false where the owner is gone.
    pub fn came(&self, stream: TcpStream, gate: u32) -> bool {
        let token = self.tokens.next();
        let (ends, mut opened, messages) = self.link(token);
        let stream = Arc::new(stream);
        opened.stream = Some(stream.clone());
        if self.inbox.send(LinkEvent::Accepted(token, gate, opened)).is_err() {
            return false;
        }
        if let Err(error) = ends.clone().run(stream, messages) {
            ends.lost(format!("no thread for it: {error}"));
        }
        true
    }
}

/// What the two threads of a link share.
#[derive(Clone)]
struct Ends {
    token: LinkToken,
    inbox: Sender<LinkEvent>,
    gone: Arc<AtomicBool>,
    abrupt: Arc<AtomicBool>,
    drip: Arc<AtomicU64>,
    write_within: Duration,
}

impl Ends {
    /// The first end that is seen is told, and only that.
    fn lost(&self, why: String) {
        if !self.gone.swap(true, Ordering::Relaxed) {
            let _ = self.inbox.send(LinkEvent::Closed(self.token, why));
        }
    }

    fn begin(self, address: &str, within: Duration, messages: Receiver<Message>) {
        let stream = match address.parse::<SocketAddr>() {
            Ok(address) => TcpStream::connect_timeout(&address, within).map_err(|e| e.to_string()),
            Err(_) => Err("its address cannot be read".to_string()),
        };
        match stream {
            // Given up meanwhile.
            _ if self.gone.load(Ordering::Relaxed) => {}
            Ok(stream) => {
                let _ = self.inbox.send(LinkEvent::Connected(self.token));
                if let Err(error) = self.clone().run(Arc::new(stream), messages) {
                    self.lost(format!("no thread for it: {error}"));
                }
            }
            Err(error) => self.lost(format!("not reached: {error}")),
        }
    }

    fn run(self, stream: Arc<TcpStream>, messages: Receiver<Message>) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.write_within))?;
        let (read, write) = (stream.clone(), stream);
        let writer = self.clone();
        thread::Builder::new().name("writer".into()).stack_size(STACK).spawn(move || {
            if let Err(error) = writer.write(&write, &messages) {
                writer.lost(error.to_string());
            }
            if !writer.abrupt.load(Ordering::Relaxed) {
                let _ = write.shutdown(Shutdown::Both);
            }
        })?;
        thread::Builder::new().name("reader".into()).stack_size(STACK).spawn(move || {
            let why = self.read(&read);
            let _ = read.shutdown(Shutdown::Read);
            self.lost(why);
        })?;
        Ok(())
    }

    fn read(&self, mut stream: &TcpStream) -> String {
        let mut decoder = Decoder::default();
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = match stream.read(&mut chunk) {
                Ok(0) if decoder.pending() > 0 => return "closed in the middle of a frame".into(),
                Ok(0) => return "closed by its peer".into(),
                Ok(read) => read,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return error.to_string(),
            };
            decoder.feed(&chunk[..read]);
            while let Some(message) = decoder.next_frame() {
                match message {
                    _ if self.gone.load(Ordering::Relaxed) => return String::new(),
                    Ok(message) => {
                        if self.inbox.send(LinkEvent::Received(self.token, message)).is_err() {
                            return "its owner is gone".into();
                        }
                    }
                    Err(error) => return format!("unreadable: {error}"),
                }
            }
        }
    }

    fn write(&self, mut stream: &TcpStream, messages: &Receiver<Message>) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        while let Ok(message) = messages.recv() {
            message.encode(&mut bytes);
            while bytes.len() < CHUNK
                && let Ok(message) = messages.try_recv()
            {
                message.encode(&mut bytes);
            }
            match self.drip.load(Ordering::Relaxed) {
                0 => stream.write_all(&bytes)?,
                gap => {
                    for byte in &bytes {
                        stream.write_all(std::slice::from_ref(byte))?;
                        if self.drip.load(Ordering::Relaxed) > 0 {
                            thread::sleep(Duration::from_millis(gap));
                        }
                    }
                }
            }
            bytes.clear();
        }
        Ok(())
    }
}
