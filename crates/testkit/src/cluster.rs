//! Entries as separate processes, with stand-ins for the platform and targets in the test itself.

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

use super::wait_until;

/// Slots of each target.
const SLOTS: usize = 8;
/// Time for a question to an entry.
const ASK_WITHIN: Duration = Duration::from_secs(5);
/// Largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// What a process is told.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Stop in good order.
    Terminate,
    /// Die.
    Kill,
    /// Freeze.
    Stop,
    /// Go on.
    Continue,
}

/// Platform, targets and the entries' program.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// The targets.
    pub targets: Vec<Target>,
    program: PathBuf,
    folder: PathBuf,
    client: Client,
}

/// One entry process.
pub struct Entry {
    /// Name of its host.
    pub host: String,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    child: Child,
}

impl Cluster {
    /// Starts the platform and targets. `program` is the entries' program, `folder` is for their
    /// settings.
    pub async fn start(program: &str, folder: &str, targets: usize) -> Self {
        let platform = Platform::start().await.expect("the kernel gives a port");
        let mut started = Vec::new();
        for _ in 0..targets {
            started.push(Target::start(SLOTS).await.expect("the kernel gives a port"));
        }
        let folder = Path::new(folder).join(format!("entries-{}", platform.address.port()));
        std::fs::create_dir_all(&folder).expect("the folder for tests can be written");
        Self {
            platform,
            targets: started,
            program: program.into(),
            folder,
            client: Client::new(MAX_RESPONSE_BYTES),
        }
    }

    /// A configuration of all targets, spread over `zones`, with kinds `plain` (idempotent),
    /// `once` (non-idempotent) and `huge` (no target has what it needs).
    #[must_use]
    pub fn configuration(&self, zones: &[&str]) -> Value {
        let target = |(number, target): (usize, &Target)| {
            json!({
                "name": format!("target-{number}"),
                "zone": zones[number % zones.len()],
                "address": target.address,
                "slots": SLOTS,
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

    /// Starts an entry; `extra` replaces settings.
    pub fn start_entry(&self, host: &str, zone: &str, extra: &Value) -> Entry {
        let any = "127.0.0.1:0";
        let mut settings = json!({
            "host": host,
            "zone": zone,
            "listen": { "callers": any, "operators": any, "peers": any },
            "platform": self.platform.address,
            "drain": { "grace_ms": 200, "deadline_ms": 30_000 },
        });
        for (key, value) in extra.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        let path = self.folder.join(format!("{host}.json"));
        std::fs::write(&path, settings.to_string()).expect("the folder for tests can be written");
        let mut child = Command::new(&self.program)
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the entry starts");
        let stdout = child.stdout.take().expect("it is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("the entry announces itself");
        let said: Value = serde_json::from_str(&line).expect("the announcement is JSON");
        let address = |name: &str| {
            said[name].as_str().and_then(|text| text.parse().ok()).expect("an address")
        };
        Entry {
            host: host.to_owned(),
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            child,
        }
    }

    /// Asks an operators' address; none without a whole answer.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<(u16, Value)> {
        self.send(Method::GET, address, path, "").await
    }

    /// Makes any request.
    pub async fn send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        let body = body.as_bytes().to_vec();
        let request = Request { method, address: to, path, body, timeout: ASK_WITHIN };
        let (status, body) = self.client.send(request).await.ok()?;
        Some((status.as_u16(), serde_json::from_slice(&body).unwrap_or_default()))
    }

    /// Waits until all these entries are ready and know each other.
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

    /// Starts of all tasks of a submission on all targets, by task.
    #[must_use]
    pub fn starts(&self, id: &str) -> Vec<(String, u32)> {
        let all = self.targets.iter().flat_map(|target| target.starts_by_task().into_iter());
        all.filter(|(task, _)| task.starts_with(&format!("{id}/"))).collect()
    }

    /// Most starts that any task had, over all targets, and the number of different tasks.
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

    /// A caller that knows these entries.
    #[must_use]
    pub fn caller(&self, entries: &[&Entry]) -> Caller {
        let entries = entries.iter().map(|entry| entry.callers).collect();
        Caller::new(Settings { entries, ..Settings::default() })
    }
}

impl Entry {
    /// Tells the process something.
    pub fn signal(&self, signal: Signal) {
        let number = match signal {
            Signal::Terminate => signal::SIGTERM,
            Signal::Kill => signal::SIGKILL,
            Signal::Stop => signal::SIGSTOP,
            Signal::Continue => signal::SIGCONT,
        };
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        // The process may have ended already.
        let _ = signal::kill(Pid::from_raw(pid), number);
    }

    /// Processor time that the process has used.
    ///
    /// # Panics
    /// The process is gone.
    #[must_use]
    pub fn cpu_time(&self) -> Duration {
        /// Length of a tick in the kernel's accounts.
        const TICK: Duration = Duration::from_millis(10);
        /// Places of the fields after the program's name.
        const USER: usize = 11;
        const SYSTEM: usize = 12;
        let text = self.account("stat");
        let (_, fields) = text.rsplit_once(')').expect("the name is in brackets");
        let fields: Vec<_> = fields.split_whitespace().collect();
        let ticks = |place: usize| fields[place].parse::<u32>().expect("a number");
        TICK * (ticks(USER) + ticks(SYSTEM))
    }

    /// Memory of the process that is resident, in bytes.
    ///
    /// # Panics
    /// The process is gone.
    #[must_use]
    pub fn resident_bytes(&self) -> usize {
        const PAGE: usize = 4_096;
        let text = self.account("statm");
        let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
        pages.expect("a number") * PAGE
    }

    fn account(&self, name: &str) -> String {
        let path = format!("/proc/{}/{name}", self.child.id());
        std::fs::read_to_string(path).expect("the process lives")
    }

    /// Waits for the end of the process and returns its exit code, if it had one.
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

/// A job of `count` tasks that each take `ms` milliseconds.
#[must_use]
pub fn job(kind: &str, count: usize, ms: u64, deadline_ms: u64) -> Job {
    let input = |number: usize| {
        let text = format!("{{\"ms\":{ms},\"number\":{number}}}");
        RawValue::from_string(text).expect("this is JSON").into()
    };
    let draft = Draft {
        team: "team".to_owned(),
        kind: kind.to_owned(),
        deadline_ms: Some(deadline_ms),
        tasks: (0..count).map(input).collect(),
    };
    Job::try_from(draft).expect("the draft is whole")
}
