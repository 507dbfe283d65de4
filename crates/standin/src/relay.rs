//! A TCP relay whose connections can be cut, delayed, reset, refused and made deaf, in place of a
//! network that fails.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time before a silent connection of a cut relay ends.
const SILENCE: Duration = Duration::from_secs(30);
/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;
/// Time between tries to listen on a port again; far below any fault's length.
const BIND_AGAIN_AFTER: Duration = Duration::from_millis(20);

/// What a relay does to its connections, open ones too.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Everything comes later, also after the sender has gone.
    Delay(Duration),
    /// Nothing passes, without a word; what was open stays silent after the cut is mended.
    Blackhole,
    /// Requests pass, answers don't.
    DropResponses,
    /// Connections are accepted and reset.
    Reset,
    /// Open connections are reset, new ones refused: nothing listens.
    Refuse,
}

/// Where a relay leads, and its fault.
#[derive(Clone, Copy, Debug, Default)]
struct Wire {
    to: Option<SocketAddr>,
    fault: Fault,
}

/// A running relay.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    wire: watch::Sender<Wire>,
    server: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay that leads nowhere yet, on a port that the system chooses.
    ///
    /// # Errors
    /// The system gives no port.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((loopback(), 0)).await?;
        let address = listener.local_addr()?;
        let wire = watch::Sender::new(Wire::default());
        let server = tokio::spawn(serve(listener, address, wire.subscribe()));
        Ok(Self { address, wire, server })
    }

    /// Leads new connections there.
    pub fn forward_to(&mut self, to: SocketAddr) {
        self.wire.send_modify(|wire| wire.to = Some(to));
    }

    /// Cuts or mends the relay. A cut one stays silent, as a partitioned network does.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.set_fault(if is_partitioned { Fault::Blackhole } else { Fault::None });
    }

    /// Begins or ends a fault.
    pub fn set_fault(&self, fault: Fault) {
        self.wire.send_modify(|wire| wire.fault = fault);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// A loopback number for one relay: outgoing connections and other relays don't take its port while
/// it is closed.
fn loopback() -> Ipv4Addr {
    static RELAYS: AtomicU32 = AtomicU32::new(0);
    let number = RELAYS.fetch_add(1, Ordering::Relaxed);
    let low = u8::try_from(number % 250).expect("it is below 250") + 1;
    let middle = u8::try_from(number / 250 % 6).expect("it is below 6") + 250;
    let high = u8::try_from(std::process::id() % 250).expect("it is below 250") + 2;
    Ipv4Addr::new(127, high, middle, low)
}

/// Accepts connections; nothing listens while they are to be refused.
async fn serve(mut listener: TcpListener, address: SocketAddr, wire: watch::Receiver<Wire>) {
    let mut watched = wire.clone();
    loop {
        tokio::select! {
            refused = watched.wait_for(|wire| wire.fault == Fault::Refuse) => {
                if refused.is_err() {
                    return;
                }
            }
            () = accept(&listener, &wire) => return,
        }
        drop(listener);
        if watched.wait_for(|wire| wire.fault != Fault::Refuse).await.is_err() {
            return;
        }
        listener = bind(address).await;
    }
}

async fn accept(listener: &TcpListener, wire: &watch::Receiver<Wire>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(relay(stream, wire.clone()));
    }
}

/// Listens again. Another process may hold the port for a while; connections are refused until it
/// is free.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => eprintln!("the relay can't listen on {address} again yet: {error}"),
        }
        tokio::time::sleep(BIND_AGAIN_AFTER).await;
    }
}

async fn relay(near: TcpStream, wire: watch::Receiver<Wire>) {
    let Wire { to, fault } = *wire.borrow();
    match (to, fault) {
        (Some(to), Fault::None | Fault::Delay(_) | Fault::DropResponses) => {
            if let Ok(far) = TcpStream::connect(to).await {
                join(near, far, wire).await;
            }
        }
        (_, Fault::Reset | Fault::Refuse) => reset(&near),
        _ => tokio::time::sleep(SILENCE).await,
    }
}

fn reset(stream: &TcpStream) {
    // Without it the connection is closed, not reset.
    let _ = stream.set_zero_linger();
}

/// Resets the connection once its other half is gone too.
fn reset_half(half: OwnedWriteHalf) {
    reset(half.as_ref());
    // Dropping it would end the stream in good order first.
    half.forget();
}

async fn join(near: TcpStream, far: TcpStream, wire: watch::Receiver<Wire>) {
    for stream in [&near, &far] {
        // Without these the relay would only be slower.
        let _ = stream.set_nodelay(true);
    }
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = pump(near_in, far_out, wire.clone(), false);
    let back = pump(far_in, near_out, wire, true);
    tokio::join!(there, back);
}

/// Passes bytes on one way; `answers` tells which.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut wire: watch::Receiver<Wire>,
    answers: bool,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let fault = wire.borrow_and_update().fault;
        match fault {
            Fault::Reset | Fault::Refuse => return reset_half(to),
            Fault::Blackhole => return tokio::time::sleep(SILENCE).await,
            Fault::DropResponses if answers => return tokio::time::sleep(SILENCE).await,
            Fault::None | Fault::Delay(_) | Fault::DropResponses => {}
        }
        let read = tokio::select! {
            read = from.read(&mut chunk) => read,
            changed = wire.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Ok(count @ 1..) = read else {
            // The end is passed on by dropping the other half.
            return;
        };
        if let Fault::Delay(time) = fault {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
