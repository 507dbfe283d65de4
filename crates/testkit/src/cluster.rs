//! A cluster for tests: entries as separate processes, and stand-ins for the platform and the
//! targets in the process of the test.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use coltsfootshunt_caller::{Caller, Settings};
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_http::{Client, Method, Request};
use coltsfootshunt_standin::platform::Platform;
use coltsfootshunt_standin::target::Target;
use nix::sys::signal;
use nix::unistd::Pid;
use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::{new_folder, wait_until};

const SLOTS_PER_TARGET: usize = 8;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A signal to an entry process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// SIGTERM: requests a planned stop.
    Terminate,
    /// SIGKILL: ends the process at once.
    Kill,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
    Continue,
}

/// The platform, the targets and the program and settings folder with which entries are started.
pub struct Cluster {
    /// Stand-in for the platform's service.
    pub platform: Platform,
    /// Stand-ins for the targets, in the order of their numbers.
    pub targets: Vec<Target>,
    program: PathBuf,
    folder: PathBuf,
    client: Client,
}

/// A running entry process, which is killed on drop.
pub struct Entry {
    /// Name of the host in the entry's settings.
    pub host: String,
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// Address of the operators' listener.
    pub operators: SocketAddr,
    /// Address of the peers' listener.
    pub peers: SocketAddr,
    child: Child,
}

impl Cluster {
    /// Starts the platform and `targets` targets. `program` is the path of the entry's binary,
    /// `folder` the parent of the folder for settings files.
    ///
    /// # Panics
    /// If a port can't be bound or the folder can't be created.
    pub async fn start(program: &str, folder: &str, targets: usize) -> Self {
        let platform = Platform::start().await.expect("a loopback port is free");
        let mut started = Vec::new();
        for _ in 0..targets {
            started.push(Target::start(SLOTS_PER_TARGET).await.expect("a loopback port is free"));
        }
        let folder = new_folder(Path::new(folder), "entries");
        Self {
            platform,
            targets: started,
            program: program.into(),
            folder,
            client: Client::new(MAX_RESPONSE_BYTES),
        }
    }

    /// A configuration with all targets, spread over `zones`, and the kinds `plain` (idempotent),
    /// `once` (not idempotent) and `huge` (needs an accelerator, which no target has).
    #[must_use]
    pub fn configuration(&self, zones: &[&str]) -> Value {
        let target = |(number, target): (usize, &Target)| {
            json!({
                "name": format!("target-{number}"),
                "zone": zones[number % zones.len()],
                "address": target.address,
                "slots": SLOTS_PER_TARGET,
            })
        };
        let targets: Vec<_> = self.targets.iter().enumerate().map(target).collect();
        json!({
            "teams": [{ "name": "team", "share": 1 }],
            "kinds": [
                { "name": "plain", "idempotent": true, "expected_ms": 50 },
                { "name": "once", "idempotent": false, "expected_ms": 50 },
                {
                    "name": "huge", "idempotent": true, "expected_ms": 50,
                    "needs": { "accelerators": 1 },
                },
            ],
            "targets": targets,
        })
    }

    /// Starts an entry and waits for its addresses. The fields of `overrides` replace the default
    /// settings.
    ///
    /// # Panics
    /// If the process does not start or does not print its addresses.
    pub fn start_entry(&self, host: &str, zone: &str, overrides: &Value) -> Entry {
        let any_port = "127.0.0.1:0";
        let mut settings = json!({
            "host": host,
            "zone": zone,
            "listen": { "callers": any_port, "operators": any_port, "peers": any_port },
            "platform": self.platform.address,
            "drain": { "grace_ms": 200, "deadline_ms": 30_000 },
        });
        for (key, value) in overrides.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        let path = self.folder.join(format!("{host}.json"));
        std::fs::write(&path, settings.to_string()).expect("the folder can be written");
        let mut child = Command::new(&self.program)
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the entry's program can be started");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("the entry prints its addresses");
        let addresses: Value = serde_json::from_str(&line).expect("the first line is JSON");
        let address = |name: &str| {
            addresses[name]
                .as_str()
                .and_then(|text| text.parse().ok())
                .expect("the field is an address")
        };
        Entry {
            host: host.to_owned(),
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            child,
        }
    }

    /// Sends a GET request to an operators' address. `None` without a complete response.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<(u16, Value)> {
        self.send(Method::GET, address, path, "").await
    }

    /// Sends a request without headers. The body of the response is null if it is not JSON; `None`
    /// without a complete response.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        let body = body.as_bytes().to_vec();
        let request = Request { method, address, path, body, timeout: REQUEST_TIMEOUT };
        let (status, body) = self.client.send(request).await.ok()?;
        Some((status.as_u16(), serde_json::from_slice(&body).unwrap_or_default()))
    }

    /// Waits until all of `entries` are ready and each has the others in its membership.
    pub async fn wait_until_ready(&self, entries: &[&Entry]) {
        for entry in entries {
            wait_until("an entry is ready and knows its peers", || async {
                let (status, _) = self.get(entry.operators, "/readyz").await?;
                let (_, dump) = self.get(entry.operators, "/dump").await?;
                let members = dump["members"].as_array()?.len();
                (status == 200 && members + 1 >= entries.len()).then_some(())
            })
            .await;
        }
    }

    /// Number of starts of each task of a submission, one item for each target that started it.
    #[must_use]
    pub fn starts(&self, id: &str) -> Vec<(String, u32)> {
        let all = self.targets.iter().flat_map(|target| target.starts_by_task().into_iter());
        all.filter(|(task, _)| task.starts_with(&format!("{id}/"))).collect()
    }

    /// Highest number of starts of one task over all targets, and the number of tasks started.
    #[must_use]
    pub fn max_starts(&self) -> (u32, usize) {
        let mut sums = std::collections::BTreeMap::new();
        for target in &self.targets {
            for (task, count) in target.starts_by_task() {
                *sums.entry(task).or_insert(0) += count;
            }
        }
        (sums.values().copied().max().unwrap_or_default(), sums.len())
    }

    /// A caller that submits through `entries`.
    #[must_use]
    pub fn caller(&self, entries: &[&Entry]) -> Caller {
        let entries = entries.iter().map(|entry| entry.callers).collect();
        Caller::new(Settings { entries, ..Settings::default() })
    }
}

impl Entry {
    /// Sends a signal to the process. Does nothing if it has ended.
    pub fn signal(&self, signal: Signal) {
        let number = match signal {
            Signal::Terminate => signal::SIGTERM,
            Signal::Kill => signal::SIGKILL,
            Signal::Stop => signal::SIGSTOP,
            Signal::Continue => signal::SIGCONT,
        };
        let pid = i32::try_from(self.child.id()).expect("a process id fits into an i32");
        // The process may have ended already.
        let _ = signal::kill(Pid::from_raw(pid), number);
    }

    /// Number of the process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// CPU time that the process has used, in user and kernel mode.
    ///
    /// # Panics
    /// If the process has ended.
    #[must_use]
    pub fn cpu_time(&self) -> Duration {
        /// Unit of `/proc/PID/stat` with the usual USER_HZ of 100.
        const TICK: Duration = Duration::from_millis(10);
        /// Indices of `utime` and `stime` among the fields after the program's name.
        const USER_INDEX: usize = 11;
        const SYSTEM_INDEX: usize = 12;
        let text = self.read_proc("stat");
        let (_, fields) = text.rsplit_once(')').expect("the program's name is in parentheses");
        let fields: Vec<_> = fields.split_whitespace().collect();
        let ticks =
            |index: usize| fields[index].parse::<u32>().expect("times are numbers of ticks");
        TICK * (ticks(USER_INDEX) + ticks(SYSTEM_INDEX))
    }

    /// Resident memory of the process, in bytes.
    ///
    /// # Panics
    /// If the process has ended.
    #[must_use]
    pub fn resident_bytes(&self) -> usize {
        const PAGE_BYTES: usize = 4_096;
        let text = self.read_proc("statm");
        let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
        pages.expect("the second field is a number of pages") * PAGE_BYTES
    }

    fn read_proc(&self, name: &str) -> String {
        let path = format!("/proc/{}/{name}", self.child.id());
        std::fs::read_to_string(path).expect("the process has not ended")
    }

    /// Waits until the process has ended. Returns its exit code, `None` if a signal killed it.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let child = std::cell::RefCell::new(&mut self.child);
        wait_until("the process ends", || async {
            child.borrow_mut().try_wait().ok().flatten().map(|status| status.code())
        })
        .await
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A job with `count` tasks whose input has the target run each for `ms` milliseconds.
///
/// # Panics
/// If the job is not valid, as one without tasks.
#[must_use]
pub fn job(kind: &str, count: usize, ms: u64, deadline_ms: u64) -> Job {
    let input = |number: usize| {
        let text = format!("{{\"ms\":{ms},\"number\":{number}}}");
        RawValue::from_string(text).expect("the text is JSON").into()
    };
    let draft = Draft {
        team: "team".to_owned(),
        kind: kind.to_owned(),
        deadline_ms: Some(deadline_ms),
        tasks: (0..count).map(input).collect(),
    };
    Job::try_from(draft).expect("the job is valid")
}
