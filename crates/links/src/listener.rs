//! A gate: where links come in. It can be shut, so that connects are refused, and opened again at its address.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::hub::Hub;

const STACK: usize = 64 * 1024;

/// Listens where a former life may have listened a moment ago.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

/// One listening address of a hub.
pub struct Listener {
    number: u32,
    pub address: SocketAddr,
    shut: Arc<AtomicBool>,
}

impl Listener {
    /// Listens at an address; port 0 lets the system choose one.
    pub fn open(hub: &Hub, number: u32, address: SocketAddr) -> std::io::Result<Self> {
        let mut gate = Self { number, address, shut: Arc::new(AtomicBool::new(true)) };
        gate.reopen(hub)?;
        Ok(gate)
    }

    /// Listens again, at the address it had.
    pub fn reopen(&mut self, hub: &Hub) -> std::io::Result<()> {
        if !self.shut.load(Ordering::Relaxed) {
            return Ok(());
        }
        let listener = listen(self.address)?;
        self.address = listener.local_addr()?;
        self.shut = Arc::default();
        let (shut, maker, number) = (self.shut.clone(), hub.maker(), self.number);
        thread::Builder::new().name("gate".into()).stack_size(STACK).spawn(move || {
            loop {
                let accepted = listener.accept();
                if shut.load(Ordering::Relaxed) {
                    return;
                }
                match accepted {
                    Ok((stream, _)) => {
                        if !maker.came(stream, number) {
                            return;
                        }
                    }
                    // Out of descriptors, say: it may pass, and must not spin until then.
                    Err(_) => thread::sleep(Duration::from_millis(50)),
                }
            }
        })?;
        Ok(())
    }

    /// From now on connects are refused; links that are up stay.
    pub fn shut(&mut self) {
        if !self.shut.swap(true, Ordering::Relaxed) {
            // The thread wakes from its accept to see that it is over, and with it the listening socket.
            let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.shut();
    }
}
