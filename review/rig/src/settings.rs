//! Settings that the pages allow and with which a host doesn't start.

use std::net::{Ipv4Addr, TcpListener};
use std::process::{Command, Stdio};
use std::time::Duration;

use coltsfootshunt_platform_standin::process::{KINDS, SERVICE};
use coltsfootshunt_platform_standin::settings::{Host, Limits, configuration};
use coltsfootshunt_platform_standin::store::{CONFIGURATION, Store};
use coltsfootshunt_standin::loopback;

use crate::client::call;
use crate::record::Record;
use crate::{PROGRAM, Verdict};

/// Number of starts of the process; the platform starts one that has ended again after a short delay.
const STARTS: u32 = 3;
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Time for which a process must not end by itself.
const OBSERVED: Duration = Duration::from_secs(5);
/// Ports of the example in the pages.
const EXAMPLE_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const CONTROL_PORT: u16 = 8_166;
/// Port on which a host serves its metrics, whatever its settings say.
const METRICS_PORT: u16 = 9_464;

/// What is unusual in the settings.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Unusual {
    /// `listen.front` has the port on which the host also wants to serve its metrics.
    Port,
    /// A bound is a fraction.
    Fraction,
}

/// A bound that is a fraction, in milliseconds; 1,300 otherwise.
const FRACTION_MS: f64 = 1_312.5;

pub async fn run(temporary: &str, record: &Record, unusual: Unusual, has_trouble: bool) -> Verdict {
    let store = Store::start().await;
    store.put(CONFIGURATION, &configuration(1, SERVICE, &KINDS));
    // An address of which no other process of the project's tests takes ports.
    let ip = Ipv4Addr::new(127, loopback::block(), 0, 1);
    for port in [EXAMPLE_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT] {
        if let Err(error) = TcpListener::bind((ip, port)) {
            return Verdict::CouldNotRun(format!("{ip}:{port} is not free: {error}"));
        }
    }
    let is_drawn = has_trouble && unusual == Unusual::Port;
    let front = if is_drawn { METRICS_PORT } else { EXAMPLE_PORT };
    let host = Host {
        name: "front-a-1",
        zone: "a",
        caller_address: (ip, front).into(),
        readiness_address: (ip, READY_PORT).into(),
        peer_address: (ip, CONTROL_PORT).into(),
        seeds: vec![(ip, CONTROL_PORT).into()],
        store_address: store.address,
        limits: Limits::default(),
        evacuate_ms: None,
    };
    let path = format!("{temporary}/front-a-1.json");
    let mut settings = host.to_json();
    if has_trouble && unusual == Unusual::Fraction {
        settings["bounds"]["resendMs"] = FRACTION_MS.into();
    }
    if std::fs::write(&path, settings.to_string()).is_err() {
        return Verdict::CouldNotRun(format!("can't write {path}"));
    }
    let mut ends = 0;
    for start in 1..=STARTS {
        let child = Command::new(PROGRAM)
            .arg("--platform")
            .env("COLTSFOOTSHUNT_NODE_FILE", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else {
            return Verdict::CouldNotRun(format!("can't start {PROGRAM}"));
        };
        record.note(&format!(
            "start {start} with listen.front {ip}:{front}, resendMs {}",
            settings["bounds"]["resendMs"]
        ));
        tokio::time::sleep(OBSERVED).await;
        if let Ok(Some(status)) = child.try_wait() {
            ends += 1;
            let output = child.wait_with_output();
            let text = output.map(|output| String::from_utf8_lossy(&output.stderr).into_owned());
            record.note(&format!("it has ended by itself: {status}, {text:?}"));
        } else {
            let request = ("GET", "/", "");
            let answer = call((ip, front).into(), request, 1_500, Duration::from_secs(1)).await;
            record.note(&format!("it runs; a client is answered {answer:?}"));
            let _ = child.kill();
            let _ = child.wait();
            if answer.is_none() {
                return Verdict::CouldNotRun("the process runs and does not answer".to_owned());
            }
        }
        tokio::time::sleep(RESTART_AFTER).await;
    }
    if ends == STARTS { Verdict::Broken } else { Verdict::Held }
}
