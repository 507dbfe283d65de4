//! A whole fleet in this process: platform, targets and entries.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::Config;
use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_entry::app::App;
use coltsfootshunt_entry::log::{Json, Level, Log, Silent};
use coltsfootshunt_entry::platform::{Http, accept};
use coltsfootshunt_entry::settings::{Addresses, Drain, Policy, Settings};
use coltsfootshunt_operator::{Configuration, Kind, Target, Team};
use coltsfootshunt_standin::platform::Platform;
use coltsfootshunt_standin::target;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use uuid::Uuid;

use crate::command::ask;
use crate::error::Problem;

/// Longest wait for the fleet to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Time between looks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Size of a fleet.
#[derive(Clone, Debug)]
pub struct Size {
    /// Availability zones.
    pub zones: usize,
    /// Entries, spread over the zones.
    pub entries: usize,
    /// Targets, spread over the zones.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Teams with equal shares.
    pub teams: usize,
    /// Kinds and their expected run times, in milliseconds.
    pub kinds: Vec<(String, u64)>,
    /// Behaviour of the entries.
    pub policy: Policy,
    /// Whether entries write their logs.
    pub logs: bool,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            zones: 4,
            entries: 8,
            targets: 50,
            slots: 8,
            teams: 2,
            kinds: vec![("short".to_owned(), 200), ("long".to_owned(), 10_000)],
            policy: Policy::default(),
            logs: false,
        }
    }
}

/// A running fleet.
pub struct Fleet {
    /// Stops with the fleet.
    _platform: Platform,
    /// The targets.
    pub targets: Vec<target::Target>,
    /// The entries.
    pub entries: Vec<App>,
    /// The counters of all entries together.
    pub metrics: PrometheusHandle,
}

impl Fleet {
    /// Starts a fleet and waits until it is ready.
    ///
    /// # Errors
    /// See [`Problem`].
    pub async fn start(size: &Size) -> Result<Self, Problem> {
        let platform = Platform::start().await.map_err(Problem::Runtime)?;
        let mut targets = Vec::new();
        for _ in 0..size.targets {
            let target = target::Target::start(size.slots as usize).await;
            targets.push(target.map_err(Problem::Runtime)?);
        }
        let plan = plan(size, &targets)?;
        let adapter = Http::new(platform.address);
        accept(&adapter, plan, None, Uuid::new_v4()).await.map_err(Problem::Rejected)?;
        // A second recorder in one process is refused; then nothing is counted for this fleet.
        let recorder = PrometheusBuilder::new().build_recorder();
        let metrics = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        let mut entries = Vec::new();
        for number in 0..size.entries {
            let settings = settings(size, number, platform.address);
            let log = log(size.logs);
            let app = App::start(settings, log, metrics.clone()).await;
            entries.push(app.map_err(Problem::Fleet)?);
        }
        let fleet = Self { _platform: platform, targets, entries, metrics };
        fleet.ready().await;
        Ok(fleet)
    }

    /// Where the entries listen for callers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.addresses.callers).collect()
    }

    async fn ready(&self) {
        let began = Instant::now();
        for entry in &self.entries {
            while began.elapsed() < READY_WITHIN && !self.knows_all(entry).await {
                tokio::time::sleep(LOOK_EVERY).await;
            }
        }
    }

    /// Whether an entry is ready and knows all others.
    async fn knows_all(&self, entry: &App) -> bool {
        let ready = ask(entry.addresses.operators, "/readyz").await;
        let dump = ask(entry.addresses.operators, "/dump").await;
        let is_ready = ready.is_ok_and(|(status, _)| status.is_success());
        let members = dump.ok().and_then(|(_, dump)| dump["members"].as_array().map(Vec::len));
        is_ready && members == Some(self.entries.len() - 1)
    }
}

fn plan(size: &Size, targets: &[target::Target]) -> Result<Config, Problem> {
    let mut configuration = Configuration::new();
    for team in 0..size.teams {
        configuration = configuration.team(Team::new(&format!("team-{team}")));
    }
    for (kind, expected_ms) in &size.kinds {
        configuration = configuration.kind(Kind::new(kind, *expected_ms));
    }
    for (number, target) in targets.iter().enumerate() {
        let name = format!("target-{number}");
        let zone = zone(number % size.zones);
        let target = Target::new(&name, &zone, target.address).slots(size.slots);
        configuration = configuration.target(target);
    }
    configuration.build().map_err(Problem::Configuration)
}

fn settings(size: &Size, number: usize, platform: SocketAddr) -> Settings {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    Settings {
        host: Host::try_from(format!("entry-{number}")).expect("this is a name"),
        zone: Zone::try_from(zone(number % size.zones)).expect("this is a name"),
        listen: Addresses { callers: any, operators: any, peers: any },
        platform,
        peers: Vec::new(),
        advertise_peers: None,
        weight: 1,
        traffic_threads: 1,
        log: Level::Info,
        drain: Drain::default(),
        submissions: Default::default(),
        policy: size.policy,
    }
}

fn zone(number: usize) -> String {
    format!("zone-{number}")
}

fn log(logs: bool) -> coltsfootshunt_entry::app::LogFactory {
    if logs {
        Box::new(|myself| Arc::new(Json::new(Level::Info, myself)) as Arc<dyn Log>)
    } else {
        Box::new(|_| Arc::new(Silent) as Arc<dyn Log>)
    }
}
