//! The links of one owner.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use lotussaddle_trunk::{Decoder, Message};

/// Stack of each reader and writer thread.
const STACK: usize = 64 * 1024;
/// Bytes read at once, and bytes gathered before they are written.
const CHUNK: usize = 16 * 1024;

/// A link of a hub, never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

#[derive(Clone, Debug)]
pub struct Bounds {
    /// Messages that wait to be written to one link.
    pub queue: usize,
    /// Happenings that wait for the owner.
    pub inbox: usize,
    /// How long a write may stand still.
    pub write_within: Duration,
    pub connect_within: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            queue: 4096,
            inbox: 65_536,
            write_within: Duration::from_secs(2),
            connect_within: Duration::from_millis(500),
        }
    }
}

/// What the owner of a hub is told.
#[derive(Debug)]
pub enum Happening {
    /// A link came in at the gate of this number.
    Came(Token, u32),
    /// A link begun by `Hub::connect` is up.
    Up(Token),
    Said(Token, Message),
    /// A link is gone; nothing more comes of it.
    Lost(Token, String),
}

struct Open {
    to: Sender<Message>,
    stream: Option<TcpStream>,
    gone: Arc<AtomicBool>,
    drip: Arc<AtomicU64>,
}

/// Gives tokens, to a hub and to the threads of its gates.
pub(crate) struct Tokens(Arc<AtomicU64>);

impl Tokens {
    pub fn next(&self) -> Token {
        Token(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// Only its owner's thread calls it; the threads of its links end with their sockets.
pub struct Hub {
    bounds: Bounds,
    next: Arc<AtomicU64>,
    inbox: Sender<Happening>,
    open: HashMap<Token, Open>,
}

impl Hub {
    pub fn new(bounds: Bounds) -> (Self, Receiver<Happening>) {
        let (inbox, happenings) = bounded(bounds.inbox);
        (Self { bounds, next: Arc::default(), inbox, open: HashMap::new() }, happenings)
    }

    pub(crate) fn inbox(&self) -> Sender<Happening> {
        self.inbox.clone()
    }

    pub(crate) fn tokens(&self) -> Tokens {
        Tokens(self.next.clone())
    }

    /// Takes over a link that came in.
    pub fn adopt(&mut self, token: Token, stream: TcpStream) {
        let (to, messages) = bounded(self.bounds.queue);
        let open = Open { to, stream: stream.try_clone().ok(), gone: Arc::default(), drip: Arc::default() };
        let ends = Ends {
            token,
            inbox: self.inbox.clone(),
            gone: open.gone.clone(),
            drip: open.drip.clone(),
            write_within: self.bounds.write_within,
        };
        self.open.insert(token, open);
        if let Err(error) = ends.clone().run(stream, messages) {
            ends.lost(format!("no thread for it: {error}"));
        }
    }

    pub fn connect(&mut self, address: &str) -> Token {
        let token = self.tokens().next();
        let (to, messages) = bounded(self.bounds.queue);
        let open = Open { to, stream: None, gone: Arc::default(), drip: Arc::default() };
        let ends = Ends {
            token,
            inbox: self.inbox.clone(),
            gone: open.gone.clone(),
            drip: open.drip.clone(),
            write_within: self.bounds.write_within,
        };
        self.open.insert(token, open);
        let (within, inbox) = (self.bounds.connect_within, self.inbox.clone());
        let refused = ends.clone();
        let address: Result<SocketAddr, _> = address.parse();
        let begun = thread::Builder::new().name("connect".into()).stack_size(STACK).spawn(move || {
            let stream = match address {
                Ok(address) => TcpStream::connect_timeout(&address, within).map_err(|e| e.to_string()),
                Err(_) => Err("its address cannot be read".to_string()),
            };
            match stream {
                Ok(stream) => {
                    let _ = inbox.send(Happening::Up(token));
                    if let Err(error) = ends.clone().run(stream, messages) {
                        ends.lost(format!("no thread for it: {error}"));
                    }
                }
                Err(error) => ends.lost(format!("not reached: {error}")),
            }
        });
        if let Err(error) = begun {
            refused.lost(format!("no thread for it: {error}"));
        }
        token
    }

    /// Queues a message; false where the queue is full or the link gone.
    pub fn say(&mut self, token: Token, message: Message) -> bool {
        let Some(open) = self.open.get(&token) else { return false };
        !matches!(open.to.try_send(message), Err(TrySendError::Full(_) | TrySendError::Disconnected(_)))
    }

    /// From now on this link is written a byte at a time, so many milliseconds apart; 0: as it comes.
    pub fn drip(&mut self, token: Token, gap: Duration) {
        if let Some(open) = self.open.get(&token) {
            open.drip.store(gap.as_millis() as u64, Ordering::Relaxed);
        }
    }

    /// Ends a link; what is queued already is written first where the peer takes it at once. Nothing is told
    /// of it any more.
    pub fn close(&mut self, token: Token) {
        if let Some(open) = self.open.remove(&token) {
            open.gone.store(true, Ordering::Relaxed);
            if let Some(stream) = &open.stream {
                // The reader sees the end at once; the writer ends when its queue is empty.
                let _ = stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// Ends a link so that its peer sees a reset, not an end.
    pub fn reset(&mut self, token: Token) {
        if let Some(open) = self.open.remove(&token) {
            open.gone.store(true, Ordering::Relaxed);
            if let Some(stream) = &open.stream {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// The owner has read that a link is lost.
    pub fn forget(&mut self, token: Token) {
        self.open.remove(&token);
    }

    pub fn links(&self) -> usize {
        self.open.len()
    }
}

/// What the two threads of a link share.
#[derive(Clone)]
struct Ends {
    token: Token,
    inbox: Sender<Happening>,
    gone: Arc<AtomicBool>,
    drip: Arc<AtomicU64>,
    write_within: Duration,
}

impl Ends {
    /// The first end that is seen is told, and only that.
    fn lost(&self, why: String) {
        if !self.gone.swap(true, Ordering::Relaxed) {
            let _ = self.inbox.send(Happening::Lost(self.token, why));
        }
    }

    fn run(self, stream: TcpStream, messages: Receiver<Message>) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.write_within))?;
        let (read, write) = (stream.try_clone()?, stream);
        let writer = self.clone();
        thread::Builder::new().name("writer".into()).stack_size(STACK).spawn(move || {
            if let Err(error) = writer.write(&write, &messages) {
                writer.lost(error.to_string());
            }
            let _ = write.shutdown(Shutdown::Both);
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
            decoder.take(&chunk[..read]);
            while let Some(message) = decoder.frame() {
                match message {
                    _ if self.gone.load(Ordering::Relaxed) => return String::new(),
                    Ok(message) => {
                        if self.inbox.send(Happening::Said(self.token, message)).is_err() {
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
