//! A panic of the control thread, in a process of its own.

use std::process::{Command, Output};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::clock::Clock;
use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::{Value, json};

use super::App;
use crate::log::{Json, Level, Log, observe_panics};
use crate::settings::Settings;

/// Environment variable that makes this test run the entry instead of starting it as a process.
const CHILD_VARIABLE: &str = "COLTSFOOTSHUNT_TEST_CHILD";
const TEST: &str = "app::tests::a_panic_of_the_control_thread_is_logged_and_fails_the_process";

/// Clock that panics on the control thread.
struct PanickingClock;

impl Clock for PanickingClock {
    fn now(&self) -> Instant {
        assert!(std::thread::current().name() != Some("control"), "no time");
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }

    fn uptime(&self) -> Duration {
        Duration::ZERO
    }
}

/// Runs an entry until it has ended, as the program does.
fn run_entry() -> ! {
    let address = "127.0.0.1:0";
    let file = json!({
        "host": "entry", "zone": "zone", "platform": "127.0.0.1:9",
        "listen": { "callers": address, "operators": address, "peers": address },
    });
    let settings = Settings::parse("test", &file.to_string()).unwrap();
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let exit = runtime.block_on(async {
        let log = Box::new(|identity: &_| {
            let log: Arc<dyn Log> = Arc::new(Json::new(Level::Info, identity));
            observe_panics(&log);
            log
        });
        let clock = Arc::new(PanickingClock);
        App::start_with_clock(settings, log, metrics, clock).await.unwrap().exit().await
    });
    drop(runtime);
    std::process::exit(i32::from(exit.code()));
}

/// An entry whose control thread panicked ended with the status of a second signal and without a line in
/// its log.
#[test]
fn a_panic_of_the_control_thread_is_logged_and_fails_the_process() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        run_entry();
    }
    let child = Command::new(std::env::current_exe().unwrap())
        .args([TEST, "--exact", "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .output();
    let Output { status, stderr, .. } = child.unwrap();
    let stderr = String::from_utf8(stderr).unwrap();
    let lines = stderr.lines().filter_map(|line| serde_json::from_str(line).ok());
    let panics: Vec<Value> =
        lines.filter(|line: &Value| line["msg"] == "thread panicked").collect();
    assert_eq!((status.code(), panics.len()), (Some(3), 1), "status and lines: {stderr}");
    let panic = &panics[0];
    assert_eq!(panic["thread"], "control");
    assert!(panic["reason"].as_str().is_some_and(|reason| reason.contains("no time")), "{panic}");
    assert!(panic["place"].as_str().is_some_and(|place| place.contains("tests.rs:")), "{panic}");
}
