//! An embedded fleet: platform, targets and entries in this process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::Config;
use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_entry::app::App;
use coltsfootshunt_entry::log::{Json, Level, Log, Silent};
use coltsfootshunt_entry::platform::{Http, accept};
use coltsfootshunt_entry::settings::{Addresses, Clients, Drain, Policy, Settings};
use coltsfootshunt_operator::{Configuration, Kind, Target, Team};
use coltsfootshunt_standin::platform::Platform;
use coltsfootshunt_standin::target;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use uuid::Uuid;

use crate::command::get_json;
use crate::error::Error;

/// Time after which a fleet that is not ready is used as it is.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size and behaviour of an embedded fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of availability zones.
    pub zones: usize,
    /// Number of entries, spread over the zones.
    pub entries: usize,
    /// Number of targets, spread over the zones.
    pub targets: usize,
    /// Number of slots of each target.
    pub slots_per_target: u32,
    /// Number of teams. Their shares are equal.
    pub teams: usize,
    /// Name and expected run time of each kind, in milliseconds.
    pub kinds: Vec<(String, u64)>,
    /// Scheduling policy of all entries.
    pub policy: Policy,
    /// Whether the entries write log records.
    pub has_logs: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            zones: 4,
            entries: 8,
            targets: 50,
            slots_per_target: 8,
            teams: 2,
            kinds: vec![("short".to_owned(), 200), ("long".to_owned(), 10_000)],
            policy: Policy::default(),
            has_logs: false,
        }
    }
}

/// A running fleet, which stops on drop.
pub struct Fleet {
    /// Held because the platform stops on drop.
    _platform: Platform,
    /// The targets, in the order of their numbers.
    pub targets: Vec<target::Target>,
    /// The entries, in the order of their numbers.
    pub entries: Vec<App>,
    /// Metrics of all entries together.
    pub metrics: PrometheusHandle,
}

impl Fleet {
    /// Starts a fleet and waits until it is ready.
    ///
    /// # Errors
    /// If a part of the fleet fails to start or the configuration is not accepted.
    pub async fn start(options: &Options) -> Result<Self, Error> {
        let platform = Platform::start().await.map_err(Error::Runtime)?;
        let mut targets = Vec::new();
        for _ in 0..options.targets {
            let target = target::Target::start(options.slots_per_target as usize).await;
            targets.push(target.map_err(Error::Runtime)?);
        }
        let config = build_config(options, &targets)?;
        let client = Http::new(platform.address);
        accept(&client, config, None, Uuid::new_v4()).await.map_err(Error::Accept)?;
        // Fails for a second fleet in one process, which then has no metrics.
        let recorder = PrometheusBuilder::new().build_recorder();
        let metrics = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        let mut entries = Vec::new();
        for number in 0..options.entries {
            let settings = entry_settings(options, number, platform.address);
            let log = log_factory(options.has_logs);
            let app = App::start(settings, log, metrics.clone()).await;
            entries.push(app.map_err(Error::Fleet)?);
        }
        let fleet = Self { _platform: platform, targets, entries, metrics };
        fleet.wait_until_ready().await;
        Ok(fleet)
    }

    /// Callers' addresses of the entries.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.addresses.callers).collect()
    }

    async fn wait_until_ready(&self) {
        let started = Instant::now();
        for entry in &self.entries {
            while started.elapsed() < READY_TIMEOUT && !self.is_ready(entry).await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Whether an entry reports ready and has all other entries in its membership.
    async fn is_ready(&self, entry: &App) -> bool {
        let ready = get_json(entry.addresses.operators, "/readyz").await;
        let dump = get_json(entry.addresses.operators, "/dump").await;
        let is_ready = ready.is_ok_and(|(status, _)| status.is_success());
        let members = dump.ok().and_then(|(_, dump)| dump["members"].as_array().map(Vec::len));
        is_ready && members == Some(self.entries.len() - 1)
    }
}

fn build_config(options: &Options, targets: &[target::Target]) -> Result<Config, Error> {
    let mut configuration = Configuration::new();
    for team in 0..options.teams {
        configuration = configuration.team(Team::new(&format!("team-{team}")));
    }
    for (kind, expected_ms) in &options.kinds {
        configuration = configuration.kind(Kind::new(kind, *expected_ms));
    }
    for (number, target) in targets.iter().enumerate() {
        let name = format!("target-{number}");
        let zone = zone_name(number % options.zones);
        let target = Target::new(&name, &zone, target.address).slots(options.slots_per_target);
        configuration = configuration.target(target);
    }
    configuration.build().map_err(Error::Configuration)
}

fn entry_settings(options: &Options, number: usize, platform: SocketAddr) -> Settings {
    let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    Settings {
        host: Host::try_from(format!("entry-{number}")).expect("the name of a host is valid"),
        zone: Zone::try_from(zone_name(number % options.zones))
            .expect("the name of a zone is valid"),
        listen: Addresses { callers: any_port, operators: any_port, peers: any_port },
        platform,
        peers: Vec::new(),
        advertise_peers: None,
        weight: 1,
        traffic_threads: 1,
        log: Level::Info,
        drain: Drain::default(),
        clients: Clients::default(),
        submissions: Default::default(),
        policy: options.policy,
    }
}

fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

fn log_factory(has_logs: bool) -> coltsfootshunt_entry::app::LogFactory {
    if has_logs {
        Box::new(|identity| Arc::new(Json::new(Level::Info, identity)) as Arc<dyn Log>)
    } else {
        Box::new(|_| Arc::new(Silent) as Arc<dyn Log>)
    }
}
