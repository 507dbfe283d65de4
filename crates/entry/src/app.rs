//! Startup and shutdown of one entry process.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use coltsfootshunt_core::clock::{Clock, System};
use coltsfootshunt_core::submission::Incarnation;
use coltsfootshunt_server::{Limits, Listener, Observer, Refusal};
use derive_more::{Display, Error};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, watch};

use crate::control::{self, Dependencies, Event, Executor, Handle, Record, Setup};
use crate::drain::{Exit, Signal};
use crate::front;
use crate::log::Log;
use crate::member::Identity;
use crate::peer::{self, Rpc, Transport};
use crate::platform::{Agent, Http, Platform, Registration};
use crate::settings::{Addresses, Settings};
use crate::target;

/// Longest time to finish writing responses after the control thread has ended.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Limits on the connections of operators and load balancers.
const OPERATOR_LIMITS: Limits = Limits { connections: 256, body_bytes: 0 };

/// Reason why an entry could not start.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address can't be listened on.
    #[display("can't listen on {address}: {cause}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        #[error(source)]
        cause: std::io::Error,
    },
    /// The local address of a bound socket can't be read.
    #[display("can't read the local address of a socket: {cause}")]
    LocalAddress {
        /// Error of the operating system.
        #[error(source)]
        cause: std::io::Error,
    },
    /// The control thread could not be started.
    #[display("can't start the control thread: {cause}")]
    Thread {
        /// Error of the operating system.
        #[error(source)]
        cause: std::io::Error,
    },
}

/// A running entry: its control thread, its servers and its connection to the platform.
pub struct App {
    /// Incarnation of this entry, new at each start of the process.
    pub incarnation: Incarnation,
    /// Addresses that the entry listens on, with the ports that the system assigned.
    pub addresses: Addresses,
    control: Handle,
    exit: watch::Receiver<Option<Exit>>,
    servers: Mutex<Vec<tokio::task::JoinHandle<()>>>,
}

/// Creates the log for the identity of the entry.
pub type LogFactory = Box<dyn FnOnce(&Identity) -> Arc<dyn Log> + Send>;

impl App {
    /// Starts an entry. Its traffic is served on the current Tokio runtime.
    ///
    /// # Errors
    /// Returns an [`enum@Error`] if a socket can't be bound or the control thread can't be started.
    pub async fn start(
        settings: Settings,
        log: LogFactory,
        metrics: PrometheusHandle,
    ) -> Result<Self, Error> {
        Self::start_with_clock(settings, log, metrics, Arc::new(System)).await
    }

    /// Starts an entry with this clock.
    async fn start_with_clock(
        settings: Settings,
        log: LogFactory,
        metrics: PrometheusHandle,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, Error> {
        let sockets = Sockets::bind(settings.listen).await?;
        let addresses = sockets.addresses()?;
        let identity = identity(&settings, addresses);
        let transport: Arc<dyn Transport> = Arc::new(Rpc::default());
        let (exit_sender, exit) = watch::channel(None);
        let log = log(&identity);
        let resources = Resources { clock, log: Arc::clone(&log), exit: exit_sender };
        let control = spawn_control(&settings, &identity, resources, &transport)?;
        let peer_server = peer::serve(sockets.peers, control.clone())
            .map_err(|cause| Error::Listen { address: addresses.peers, cause })?;
        let registration = Registration {
            host: settings.host,
            zone: settings.zone,
            incarnation: identity.incarnation,
            peers: identity.address,
            operators: addresses.operators,
        };
        let platform: Arc<dyn Platform> = Arc::new(Http::new(settings.platform));
        tokio::spawn(Agent { platform, control: control.clone(), registration }.run());
        let caller_routes = front::caller_routes(control.clone(), transport);
        let operator_routes = front::operator_routes(control.clone(), metrics);
        let servers = Mutex::new(vec![
            serve((sockets.callers, caller_routes, settings.clients.into()), exit.clone(), &log),
            serve((sockets.operators, operator_routes, OPERATOR_LIMITS), exit.clone(), &log),
            shut_down_on_exit(peer_server, exit.clone()),
        ]);
        Ok(Self { incarnation: identity.incarnation, addresses, control, exit, servers })
    }

    /// Starts a planned stop. A second call ends the entry at once.
    pub async fn stop(&self) {
        // Fails only if the control thread has already ended.
        let _ = self.control.send(Event::Signal(Signal::Stop)).await;
    }

    /// Waits until the entry has ended and its last responses are written.
    pub async fn exit(&self) -> Exit {
        let mut exit = self.exit.clone();
        let exit = match exit.wait_for(Option::is_some).await {
            Ok(exit) => exit.unwrap_or(Exit::Forced),
            // The control thread owns the sender.
            Err(_) => Exit::Failed,
        };
        let servers = std::mem::take(&mut *self.servers.lock().await);
        let flush = async {
            for server in servers {
                let _ = server.await;
            }
        };
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, flush).await;
        exit
    }
}

/// What the control thread shares with the process.
struct Resources {
    clock: Arc<dyn Clock>,
    log: Arc<dyn Log>,
    exit: watch::Sender<Option<Exit>>,
}

fn spawn_control(
    settings: &Settings,
    identity: &Identity,
    Resources { clock, log, exit }: Resources,
    transport: &Arc<dyn Transport>,
) -> Result<Handle, Error> {
    let target_client = Arc::new(target::Http::new(Arc::clone(&clock)));
    let transport = Arc::clone(transport);
    let runtime = tokio::runtime::Handle::current();
    let setup = Setup {
        identity: identity.clone(),
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

/// Bound sockets on which nothing is served yet.
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

    /// Addresses of the sockets. The system assigns the port where the settings contain port 0.
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

fn identity(settings: &Settings, addresses: Addresses) -> Identity {
    Identity {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation: Incarnation(rand::random()),
        address: settings.advertise_peers.unwrap_or(addresses.peers),
        weight: settings.weight,
    }
}

fn serve(
    (socket, routes, limits): (TcpListener, Router, Limits),
    mut exit: watch::Receiver<Option<Exit>>,
    log: &Arc<dyn Log>,
) -> tokio::task::JoinHandle<()> {
    let observer = Arc::new(Refusals(Arc::clone(log)));
    let listener = Listener { socket, routes, limits, header_timeout: None, observer };
    tokio::spawn(listener.serve(async move {
        let _ = exit.wait_for(Option::is_some).await;
    }))
}

/// Logs what clients are denied.
struct Refusals(Arc<dyn Log>);

impl Observer for Refusals {
    fn refused(&self, refusal: &Refusal) {
        self.0.record(&Record::ClientRefused { refusal: refusal.clone() });
    }
}

/// Shuts the server for peers down when the entry has ended.
fn shut_down_on_exit(
    server: peer::Server,
    mut exit: watch::Receiver<Option<Exit>>,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let _ = exit.wait_for(Option::is_some).await;
        server.stop();
    })
}
