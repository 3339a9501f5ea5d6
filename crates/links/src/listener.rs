//! A listener that accepts links. It can be closed, so that connections are refused, and reopened at its address.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::hub::Hub;

/// Stack size of the accepting thread.
const STACK_BYTES: usize = 64 * 1024;
/// Connections that the system queues for a listener.
const ACCEPT_BACKLOG: i32 = 1024;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time-out of the connection that wakes the accepting thread.
const WAKE_UP_TIMEOUT: Duration = Duration::from_millis(200);

/// Listens at an address that a previous incarnation may have used until a moment ago.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// A listening address of a hub.
pub struct Listener {
    number: u32,
    /// The address listened at, with the port that the system chose if it was 0.
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
}

impl Listener {
    /// Listens at an address; with port 0 the system chooses a port. `number` identifies the listener in
    /// [`LinkEvent::Accepted`](crate::LinkEvent::Accepted).
    pub fn open(hub: &Hub, number: u32, address: SocketAddr) -> std::io::Result<Self> {
        let mut listener = Self { number, address, is_closed: Arc::new(AtomicBool::new(true)) };
        listener.reopen(hub)?;
        Ok(listener)
    }

    /// Listens again at the same address. Does nothing while the listener is open.
    pub fn reopen(&mut self, hub: &Hub) -> std::io::Result<()> {
        if !self.is_closed.load(Ordering::Relaxed) {
            return Ok(());
        }
        let listener = listen(self.address)?;
        self.address = listener.local_addr()?;
        self.is_closed = Arc::default();
        let (is_closed, factory, number) = (self.is_closed.clone(), hub.link_factory(), self.number);
        thread::Builder::new().name("gate".into()).stack_size(STACK_BYTES).spawn(move || {
            loop {
                let accepted = listener.accept();
                if is_closed.load(Ordering::Relaxed) {
                    return;
                }
                match accepted {
                    Ok((stream, _)) => {
                        if !factory.accept(stream, number) {
                            return;
                        }
                    }
                    // For example, no file descriptor is free. The error may be temporary; waiting avoids a busy loop.
                    Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
                }
            }
        })?;
        Ok(())
    }

    /// Refuses further connections; established links stay open.
    pub fn close(&mut self) {
        if !self.is_closed.swap(true, Ordering::Relaxed) {
            // The connection wakes the accepting thread, which then ends and closes the listening socket.
            let _ = TcpStream::connect_timeout(&self.address, WAKE_UP_TIMEOUT);
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.close();
    }
}
