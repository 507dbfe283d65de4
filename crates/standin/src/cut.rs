//! A TCP relay that can be cut and mended, in place of a network that fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time before a silent connection of a cut relay ends.
const SILENCE: Duration = Duration::from_secs(30);

/// A running relay.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
    server: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `to` on a port that the system chooses.
    ///
    /// # Errors
    /// The system gives no port.
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cut = Arc::new(watch::Sender::new(false));
        let control = Arc::clone(&cut);
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, to, control.subscribe()));
            }
        });
        Ok(Self { address, cut, server })
    }

    /// Cuts or mends the relay. A cut one stays silent, as a partitioned network does.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn relay(mut near: TcpStream, to: SocketAddr, mut cut: watch::Receiver<bool>) {
    if *cut.borrow() {
        tokio::time::sleep(SILENCE).await;
        return;
    }
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
        () = until_cut(&mut cut) => tokio::time::sleep(SILENCE).await,
    }
}

async fn until_cut(cut: &mut watch::Receiver<bool>) {
    // An error means that the relay is gone, which ends its connections too.
    let _ = cut.wait_for(|cut| *cut).await;
}
