//! A TCP relay that injects network faults: partitions, delays, lost responses, resets and refused
//! connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::loopback;

/// Time after which a connection that passes no bytes is closed.
const BLACKHOLE_TIMEOUT: Duration = Duration::from_secs(30);
const BUFFER_BYTES: usize = 16 << 10;
/// Interval between attempts to bind the port again after [`Fault::Refuse`]. Far below the length
/// of any injected fault.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Fault that a relay injects into its connections, including those already open.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Forwards both directions.
    #[default]
    None,
    /// Delays every chunk of bytes by this time, even if its sender has disconnected meanwhile.
    Delay(Duration),
    /// Passes no bytes and leaves the connection open, as in a network partition. A connection that
    /// was open during this fault stays unusable after it.
    Blackhole,
    /// Forwards requests and drops responses.
    DropResponses,
    /// Resets open connections, and new ones after accepting them.
    Reset,
    /// Resets open connections and closes the listener, so that new ones are refused.
    Refuse,
}

/// Upstream address of a relay and its fault.
#[derive(Clone, Copy, Debug, Default)]
struct Route {
    /// Address to which connections are forwarded. `None` until it is set.
    upstream: Option<SocketAddr>,
    fault: Fault,
}

/// A running relay. Dropping it closes the listener and the connections.
pub struct Relay {
    /// Address of the relay's listener.
    pub address: SocketAddr,
    route: watch::Sender<Route>,
    server: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay without an upstream, on a port that the system chooses. Until
    /// [`Self::forward_to`] is called, its connections pass no bytes.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((loopback(), 0)).await?;
        let address = listener.local_addr()?;
        let route = watch::Sender::new(Route::default());
        let server = tokio::spawn(serve(listener, address, route.subscribe()));
        Ok(Self { address, route, server })
    }

    /// Forwards new connections to `upstream`.
    pub fn forward_to(&mut self, upstream: SocketAddr) {
        self.route.send_modify(|route| route.upstream = Some(upstream));
    }

    /// Sets [`Fault::Blackhole`], or [`Fault::None`].
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.set_fault(if is_partitioned { Fault::Blackhole } else { Fault::None });
    }

    /// Sets the fault of all connections. [`Fault::None`] ends it.
    pub fn set_fault(&self, fault: Fault) {
        self.route.send_modify(|route| route.fault = fault);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Chooses a loopback address for one relay, in the block of this process. With an address of its own, no outgoing connection and
/// no other relay can take its port while [`Fault::Refuse`] keeps the listener closed.
fn loopback() -> Ipv4Addr {
    static RELAYS: AtomicU32 = AtomicU32::new(0);
    let number = RELAYS.fetch_add(1, Ordering::Relaxed);
    let low = u8::try_from(number % 250).expect("a remainder of 250 is below 250") + 1;
    let middle = u8::try_from(number / 250 % 6).expect("a remainder of 6 is below 6") + 250;
    Ipv4Addr::new(127, loopback::block(), middle, low)
}

/// Accepts connections, and closes the listener during [`Fault::Refuse`].
async fn serve(mut listener: TcpListener, address: SocketAddr, route: watch::Receiver<Route>) {
    let mut changes = route.clone();
    loop {
        tokio::select! {
            refused = changes.wait_for(|route| route.fault == Fault::Refuse) => {
                if refused.is_err() {
                    return;
                }
            }
            () = accept(&listener, &route) => return,
        }
        drop(listener);
        if changes.wait_for(|route| route.fault != Fault::Refuse).await.is_err() {
            return;
        }
        listener = bind(address).await;
    }
}

async fn accept(listener: &TcpListener, route: &watch::Receiver<Route>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(relay(stream, route.clone()));
    }
}

/// Binds the address again. Retries while another process holds the port; connections are refused
/// until then.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => eprintln!("relay failed to rebind {address}, retrying: {error}"),
        }
        tokio::time::sleep(REBIND_INTERVAL).await;
    }
}

async fn relay(downstream: TcpStream, route: watch::Receiver<Route>) {
    let Route { upstream, fault } = *route.borrow();
    match (upstream, fault) {
        (Some(upstream), Fault::None | Fault::Delay(_) | Fault::DropResponses) => {
            if let Ok(upstream) = TcpStream::connect(upstream).await {
                forward(downstream, upstream, route).await;
            }
        }
        (_, Fault::Reset | Fault::Refuse) => reset(&downstream),
        _ => tokio::time::sleep(BLACKHOLE_TIMEOUT).await,
    }
}

/// Has the connection reset instead of closed when it is dropped.
fn reset(stream: &TcpStream) {
    // On failure the connection is closed, not reset.
    let _ = stream.set_zero_linger();
}

/// Has the connection reset when its other half is dropped too.
fn reset_half(half: OwnedWriteHalf) {
    reset(half.as_ref());
    // Dropping the half would send FIN before the reset.
    half.forget();
}

/// Forwards both directions of a connection until each has ended.
async fn forward(downstream: TcpStream, upstream: TcpStream, route: watch::Receiver<Route>) {
    for stream in [&downstream, &upstream] {
        // On failure the relay is only slower.
        let _ = stream.set_nodelay(true);
    }
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let requests = copy(downstream_read, upstream_write, route.clone(), false);
    let responses = copy(upstream_read, downstream_write, route, true);
    tokio::join!(requests, responses);
}

/// Copies one direction of a connection under the faults of the relay.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut route: watch::Receiver<Route>,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let fault = route.borrow_and_update().fault;
        match fault {
            Fault::Reset | Fault::Refuse => return reset_half(to),
            Fault::Blackhole => return tokio::time::sleep(BLACKHOLE_TIMEOUT).await,
            Fault::DropResponses if is_response => {
                return tokio::time::sleep(BLACKHOLE_TIMEOUT).await;
            }
            Fault::None | Fault::Delay(_) | Fault::DropResponses => {}
        }
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = route.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Ok(count @ 1..) = read else {
            // Dropping the write half passes the end of the stream on.
            return;
        };
        if let Fault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
