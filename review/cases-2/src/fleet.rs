//! A small deployment: the store, workers in each zone, and hosts as processes of the deploy file's program.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use coltsfootshunt_http::{Client as Http, Method, Request};
use coltsfootshunt_platform_standin::settings::configuration;
use coltsfootshunt_platform_standin::store::{CONFIGURATION, Mode, Store};
use coltsfootshunt_standin::loopback;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::Failure;
use crate::record::Record;
use crate::worker::{Start, Starts, Worker};

/// Service of all workers.
pub const SERVICE: &str = "mill";
/// `Host` of the only queue.
pub const HOST: &str = "jobs.example";
/// Path prefix of the only queue.
pub const PREFIX: &str = "/cut/";
/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/coltsfootshunt-entry";
/// Port of the metrics, which the deploy file names.
const METRICS_PORT: u16 = 9_464;
/// Time within which a fleet must be ready.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A host. Dropping it kills its process.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// When the process was last started.
    pub started_at: Option<Instant>,
}

/// All parts of the deployment.
pub struct Fleet {
    pub store: Store,
    store_serves: Arc<AtomicBool>,
    pub workers: Vec<Worker>,
    pub hosts: Vec<Host>,
    starts: Starts,
    http: Http,
    record: Record,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a deployment of so many hosts and workers in each zone, and waits until the hosts hold all workers.
    pub async fn start(
        (zones, hosts, workers): (&[&str], usize, usize),
        cpu_millis: u64,
        record: &Record,
    ) -> Result<Self, Failure> {
        let folder =
            std::env::temp_dir().join(format!("coltsfootshunt-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start().await;
        store.put(CONFIGURATION, &configuration(1, SERVICE, &[("cut", PREFIX)]));
        let mut fleet = Self {
            store,
            store_serves: Arc::new(AtomicBool::new(true)),
            workers: Vec::new(),
            hosts: Vec::new(),
            starts: Starts::default(),
            http: Http::new(1 << 20),
            record: record.clone(),
            folder,
        };
        for (number, zone) in (1_u8..).zip(zones) {
            for index in 1..=workers {
                fleet.add_worker((number, zone), index, cpu_millis).await;
            }
        }
        for (number, zone) in (1_u8..).zip(zones) {
            for index in 1..=hosts {
                fleet.add_host((number, zone), index)?;
            }
        }
        for index in 0..fleet.hosts.len() {
            fleet.launch(index)?;
        }
        fleet.settle().await?;
        Ok(fleet)
    }

    async fn add_worker(&mut self, (number, zone): (u8, &str), index: usize, cpu_millis: u64) {
        let address = SocketAddr::from((self.address(number, 100 + index), 8_367));
        let serves = Arc::clone(&self.store_serves);
        let worker = Worker::new(
            (&format!("w-{zone}-{index:02}"), zone),
            address,
            (&self.store, Arc::new(move || serves.load(Ordering::SeqCst))),
            &self.starts,
            &self.record,
        );
        worker.start(cpu_millis).await;
        self.workers.push(worker);
    }

    fn add_host(&mut self, (number, zone): (u8, &str), index: usize) -> Result<(), Failure> {
        let ip = self.address(number, index);
        let [front, ready, control, metrics] =
            [8_161, 8_167, 8_166, METRICS_PORT].map(|port| SocketAddr::from((ip, port)));
        let name = format!("front-{zone}-{index}");
        let seeds: Vec<SocketAddr> = self
            .hosts
            .iter()
            .take(3)
            .map(|host| SocketAddr::from((host.front.ip(), 8_166)))
            .collect();
        let settings = json!({
            "node": name, "role": "host", "machineClass": "front", "serves": ["front", "control"],
            "ip": ip, "zone": zone, "region": "r",
            "listen": { "front": front, "ready": ready, "control": control },
            "internalPorts": [7720, 7735], "seeds": seeds, "bootstrap": true,
            "inTolerance": false,
            "limits": {
                "cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "faultTolerance": { "machines": 1, "zones": 1, "regions": 0 },
            "bounds": bounds(),
            "orders": "invoke",
            "platform": {
                "address": self.store.address, "form": "kv", "writesPerS": 400,
                "readsPerS": 2000, "historyS": 20, "valueBytes": 1_048_576, "minTtlMs": 1000,
            },
        });
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        self.hosts.push(Host {
            log: self.folder.join(format!("{name}.log")),
            name,
            zone: zone.to_owned(),
            front,
            metrics,
            settings: path,
            child: None,
            started_at: None,
        });
        Ok(())
    }

    /// A loopback address of a zone. Each host and worker has one of its own, so that none takes another's port.
    fn address(&self, zone: u8, index: usize) -> Ipv4Addr {
        let low = u8::try_from(index).expect("a zone has few hosts and workers");
        Ipv4Addr::new(127, loopback::block(), zone, low)
    }

    /// Starts the process of a host with the command of the deploy file.
    pub fn launch(&mut self, index: usize) -> Result<(), Failure> {
        let host = &mut self.hosts[index];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&host.log);
        let child = Command::new(PROGRAM)
            .arg("--platform")
            .env_clear()
            .env("COLTSFOOTSHUNT_NODE_FILE", &host.settings)
            .stdout(log.map_err(|error| error.to_string())?)
            .stderr(Stdio::null())
            .spawn();
        host.child = Some(child.map_err(|error| format!("{PROGRAM}: {error}"))?);
        host.started_at = Some(Instant::now());
        self.record.note(format!("{} starts", host.name));
        Ok(())
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.kill();
        self.record.note(format!("{} is killed", host.name));
    }

    /// Kills the processes of all hosts at once.
    pub fn kill_all(&mut self) {
        for index in 0..self.hosts.len() {
            if let Some(child) = &self.hosts[index].child {
                signal(child, Signal::SIGKILL);
            }
        }
        for index in 0..self.hosts.len() {
            self.kill(index);
        }
    }

    /// Waits until all hosts are ready, know each other, and together hold all workers.
    pub async fn settle(&self) -> Result<(), Failure> {
        let began = Instant::now();
        while began.elapsed() < SETTLE_TIMEOUT {
            if self.is_settled().await {
                self.record.note("all hosts know each other and hold all workers");
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err("the hosts are not ready in time".to_owned())
    }

    async fn is_settled(&self) -> bool {
        let mut held = 0;
        for host in &self.hosts {
            let Some(state) = self.state(host).await else {
                return false;
            };
            let list = |name: &str| state[name].as_array().cloned().unwrap_or_default();
            let is_held = |target: &&Value| {
                target["phase"].as_str().is_some_and(|phase| phase.starts_with("Held"))
            };
            held += list("targets").iter().filter(is_held).count();
            let alive = list("peers").iter().filter(|peer| peer["alive"] == true).count();
            if alive + 1 < self.hosts.len() {
                return false;
            }
        }
        held == self.workers.len()
    }

    async fn state(&self, host: &Host) -> Option<Value> {
        let request = Request {
            method: Method::GET,
            address: host.metrics,
            path: "/state",
            body: Vec::new(),
            timeout: Duration::from_secs(1),
        };
        let (_, body) = self.http.send(request).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Takes the store down, for hosts and workers alike: it answers each call with 503. Or brings it back.
    pub fn set_store_down(&self, is_down: bool) {
        self.store_serves.store(!is_down, Ordering::SeqCst);
        self.store.set_mode(if is_down { Mode::Unavailable } else { Mode::Serving });
        let text = if is_down { "the store is down" } else { "the store is back" };
        self.record.note(text);
    }

    /// All starts so far.
    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().expect("no thread panics while it holds the lock").clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        // What is left is in the folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Host {
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The bounds of the smaller sites.
fn bounds() -> Value {
    json!({
        "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
        "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
        "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": 1000,
        "stopTimeoutMs": 50, "gangTimeoutMs": 3000, "cancel_ms": 3000,
        "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
        "remotePenalty": 1.5, "checkpointS": 1, "restoreMs": 250, "resendMs": 1300,
    })
}

fn signal(child: &Child, signal: Signal) {
    if let Ok(pid) = i32::try_from(child.id()) {
        // The process is this program's own, and is waited for later.
        let _ = kill(Pid::from_raw(pid), signal);
    }
}
