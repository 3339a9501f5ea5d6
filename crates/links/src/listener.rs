//! A gate: where links come in. It can be shut, so that connects are refused, and opened again at its address.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Sender, bounded};
use socket2::{Domain, Socket, Type};

use crate::hub::{Happening, Hub, Token};

const STACK: usize = 64 * 1024;
/// Links that came in and have not been adopted by the owner; the kernel holds the rest.
const ARRIVALS: usize = 256;

/// One listening address of a hub. Its owner adopts what came in when it reads [`Happening::Came`].
pub struct Gate {
    pub number: u32,
    pub address: SocketAddr,
    shut: Arc<AtomicBool>,
    came: crossbeam_channel::Receiver<(Token, TcpStream)>,
    to: Sender<(Token, TcpStream)>,
}

impl Gate {
    /// Listens at an address; port 0 lets the system choose one.
    pub fn open(hub: &Hub, number: u32, address: SocketAddr) -> std::io::Result<Self> {
        let (to, came) = bounded(ARRIVALS);
        let mut gate = Self { number, address, shut: Arc::default(), came, to };
        gate.reopen(hub)?;
        Ok(gate)
    }

    pub fn reopen(&mut self, hub: &Hub) -> std::io::Result<()> {
        let socket = Socket::new(Domain::for_address(self.address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&self.address.into())?;
        socket.listen(1024)?;
        let listener: TcpListener = socket.into();
        self.address = listener.local_addr()?;
        self.shut = Arc::default();
        let (shut, inbox, to, number) = (self.shut.clone(), hub.inbox(), self.to.clone(), self.number);
        let tokens = hub.tokens();
        thread::Builder::new().name("gate".into()).stack_size(STACK).spawn(move || {
            loop {
                let accepted = listener.accept();
                if shut.load(Ordering::Relaxed) {
                    return;
                }
                match accepted {
                    Ok((stream, _)) => {
                        let token = tokens.next();
                        if to.send((token, stream)).is_err()
                            || inbox.send(Happening::Came(token, number)).is_err()
                        {
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

    /// The stream of a link that came in here.
    pub fn take(&self, token: Token) -> Option<TcpStream> {
        while let Ok((came, stream)) = self.came.try_recv() {
            if came == token {
                return Some(stream);
            }
        }
        None
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.shut();
    }
}
