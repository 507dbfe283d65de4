//! A TCP relay that can be cut and mended, in place of a network that fails.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time before a silent connection of a cut relay ends.
const SILENCE: Duration = Duration::from_secs(30);

/// Where a relay leads, and whether it is cut.
#[derive(Clone, Copy, Debug, Default)]
struct Wire {
    to: Option<SocketAddr>,
    cut: bool,
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
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let wire = watch::Sender::new(Wire::default());
        let seen = wire.subscribe();
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, seen.clone()));
            }
        });
        Ok(Self { address, wire, server })
    }

    /// Leads new connections there.
    pub fn point(&mut self, to: SocketAddr) {
        self.wire.send_modify(|wire| wire.to = Some(to));
    }

    /// Cuts or mends the relay. A cut one stays silent, as a partitioned network does.
    pub fn cut(&self, cut: bool) {
        self.wire.send_modify(|wire| wire.cut = cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn relay(mut near: TcpStream, mut wire: watch::Receiver<Wire>) {
    let Wire { to: Some(to), cut: false } = *wire.borrow() else {
        tokio::time::sleep(SILENCE).await;
        return;
    };
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    // Without these the relay would only be slower.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
        () = until_cut(&mut wire) => tokio::time::sleep(SILENCE).await,
    }
}

async fn until_cut(wire: &mut watch::Receiver<Wire>) {
    // An error means that the relay is gone, which ends its connections too.
    let _ = wire.wait_for(|wire| wire.cut).await;
}
