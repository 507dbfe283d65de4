//! One entry, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use coltsfootshunt_core::clock::{Clock, System};
use coltsfootshunt_core::submission::Incarnation;
use derive_more::{Display, Error};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, watch};

use crate::control::{self, Dependencies, Event, Executor, Handle, Setup};
use crate::drain::{Exit, Signal};
use crate::front;
use crate::log::Log;
use crate::member::Identity;
use crate::peer::{self, Rpc, Transport};
use crate::platform::{Agent, Http, Platform, Registration};
use crate::settings::{Addresses, Settings};
use crate::target;

/// Time in which responses are still written after the control thread ended.
const FLUSH_WITHIN: Duration = Duration::from_secs(2);

/// Why an entry did not start.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address can't be listened on.
    #[display("can't listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[error(source)]
        cause: std::io::Error,
    },
    /// A socket does not tell its address.
    #[display("a socket does not tell its address: {cause}")]
    LocalAddress {
        /// Why.
        #[error(source)]
        cause: std::io::Error,
    },
    /// The control thread did not start.
    #[display("can't start the control thread: {cause}")]
    Thread {
        /// Why.
        #[error(source)]
        cause: std::io::Error,
    },
}

/// A running entry.
pub struct App {
    /// This run.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub addresses: Addresses,
    control: Handle,
    exit: watch::Receiver<Option<Exit>>,
    servers: Mutex<Vec<tokio::task::JoinHandle<()>>>,
}

/// Makes a log once the entry knows who it is.
pub type LogFactory = Box<dyn FnOnce(&Identity) -> Arc<dyn Log> + Send>;

impl App {
    /// Starts an entry on the current runtime, which serves its traffic.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn start(
        settings: Settings,
        log: LogFactory,
        metrics: PrometheusHandle,
    ) -> Result<Self, Error> {
        let sockets = Sockets::bind(settings.listen).await?;
        let addresses = sockets.addresses()?;
        let myself = myself(&settings, addresses);
        let transport: Arc<dyn Transport> = Arc::new(Rpc::default());
        let (exit_sender, exit) = watch::channel(None);
        let control = spawn_control(&settings, &myself, log(&myself), &transport, exit_sender)?;
        let rpc = peer::serve(sockets.peers, control.clone())
            .map_err(|cause| Error::Listen { address: addresses.peers, cause })?;
        let registration = Registration {
            host: settings.host,
            zone: settings.zone,
            incarnation: myself.incarnation,
            peers: myself.address,
            operators: addresses.operators,
        };
        let platform: Arc<dyn Platform> = Arc::new(Http::new(settings.platform));
        tokio::spawn(Agent { platform, control: control.clone(), registration }.run());
        let caller_routes = front::caller_routes(control.clone(), transport);
        let operator_routes = front::operator_routes(control.clone(), metrics);
        let servers = Mutex::new(vec![
            serve(sockets.callers, caller_routes, exit.clone()),
            serve(sockets.operators, operator_routes, exit.clone()),
            hold(rpc, exit.clone()),
        ]);
        Ok(Self { incarnation: myself.incarnation, addresses, control, exit, servers })
    }

    /// Asks for a planned stop; asked twice, the entry stops at once.
    pub async fn stop(&self) {
        // An error means that it has stopped already.
        let _ = self.control.send(Event::Signal(Signal::Stop)).await;
    }

    /// Waits until the entry has ended and its last responses are written.
    pub async fn exit(&self) -> Exit {
        let mut exit = self.exit.clone();
        let exit = match exit.wait_for(Option::is_some).await {
            Ok(exit) => exit.unwrap_or(Exit::Forced),
            Err(_) => Exit::Forced,
        };
        let servers = std::mem::take(&mut *self.servers.lock().await);
        let flush = async {
            for server in servers {
                let _ = server.await;
            }
        };
        let _ = tokio::time::timeout(FLUSH_WITHIN, flush).await;
        exit
    }
}

fn spawn_control(
    settings: &Settings,
    myself: &Identity,
    log: Arc<dyn Log>,
    transport: &Arc<dyn Transport>,
    exit: watch::Sender<Option<Exit>>,
) -> Result<Handle, Error> {
    let clock: Arc<dyn Clock> = Arc::new(System);
    let target_client = Arc::new(target::Http::new(Arc::clone(&clock)));
    let transport = Arc::clone(transport);
    let runtime = tokio::runtime::Handle::current();
    let setup = Setup {
        identity: myself.clone(),
        seeds: settings.peers.clone(),
        policy: settings.policy.into(),
        submission_limits: settings.submissions.into(),
        drain_limits: settings.drain.into(),
    };
    let executor =
        move |control| Executor { runtime, target_client, transport, control, log, exit };
    let dependencies = Dependencies { setup, clock, executor: Box::new(executor) };
    let (control, _thread) =
        control::spawn(dependencies).map_err(|cause| Error::Thread { cause })?;
    Ok(control)
}

/// Sockets that listen; nothing is served on them yet.
struct Sockets {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Sockets {
    async fn bind(listen: Addresses) -> Result<Self, Error> {
        Ok(Self {
            callers: bind(listen.callers).await?,
            operators: bind(listen.operators).await?,
            peers: bind(listen.peers).await?,
        })
    }

    /// Where they listen; the system may have chosen the ports.
    fn addresses(&self) -> Result<Addresses, Error> {
        Ok(Addresses {
            callers: address(&self.callers)?,
            operators: address(&self.operators)?,
            peers: address(&self.peers)?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|cause| Error::Listen { address, cause })
}

fn address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|cause| Error::LocalAddress { cause })
}

fn myself(settings: &Settings, addresses: Addresses) -> Identity {
    Identity {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation: Incarnation(rand::random()),
        address: settings.advertise_peers.unwrap_or(addresses.peers),
        weight: settings.weight,
    }
}

fn serve(
    listener: TcpListener,
    routes: Router,
    mut exit: watch::Receiver<Option<Exit>>,
) -> tokio::task::JoinHandle<()> {
    use axum::serve::ListenerExt;
    let listener = listener.tap_io(|stream| {
        // Small responses must not wait for acknowledgements.
        let _ = stream.set_nodelay(true);
    });
    tokio::spawn(async move {
        let ended = async move {
            let _ = exit.wait_for(Option::is_some).await;
        };
        let _ = axum::serve(listener, routes).with_graceful_shutdown(ended).await;
    })
}

/// Keeps the peers' server until the entry has ended.
fn hold(rpc: peer::Server, mut exit: watch::Receiver<Option<Exit>>) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let _ = exit.wait_for(Option::is_some).await;
        rpc.stop();
    })
}
