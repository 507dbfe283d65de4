//! Runs the commands as processes against an entry and stand-ins in the process of the test.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::Arc;

use coltsfootshunt_entry::app::App;
use coltsfootshunt_entry::log::{Log, Silent};
use coltsfootshunt_entry::settings::Settings;
use coltsfootshunt_standin::platform::Platform;
use coltsfootshunt_standin::target::Target;
use coltsfootshunt_testkit::wait_until;
use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// Runs the binary and waits until it has ended.
async fn run(arguments: &[&str]) -> Output {
    let arguments: Vec<_> = arguments.iter().map(ToString::to_string).collect();
    let run =
        move || Command::new(PROGRAM).args(arguments).output().expect("the binary can be started");
    tokio::task::spawn_blocking(run).await.expect("the blocking task does not panic")
}

fn write_file(name: &str, content: &Value) -> String {
    let path = PathBuf::from(FOLDER).join(name);
    std::fs::write(&path, content.to_string()).expect("the folder can be written");
    path.display().to_string()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn configuration(target: SocketAddr) -> Value {
    json!({
        "teams": [{ "name": "team", "share": 1 }],
        "kinds": [{ "name": "plain", "idempotent": true, "expected_ms": 50 }],
        "targets": [{ "name": "one", "zone": "zone", "address": target, "slots": 8 }],
    })
}

async fn start_entry(platform: SocketAddr) -> App {
    let any_port = "127.0.0.1:0";
    let settings = json!({
        "host": "entry", "zone": "zone", "platform": platform,
        "listen": { "callers": any_port, "operators": any_port, "peers": any_port },
    });
    let settings = Settings::parse("test", &settings.to_string()).expect("the settings are valid");
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    let log = Box::new(|_: &_| Arc::new(Silent) as Arc<dyn Log>);
    App::start(settings, log, metrics).await.expect("loopback ports are free")
}

#[tokio::test]
async fn a_configuration_is_accepted_and_a_job_runs() {
    let platform = Platform::start().await.expect("a loopback port is free");
    let target = Target::start(8).await.expect("a loopback port is free");
    let entry = start_entry(platform.address).await;
    let address = platform.address.to_string();
    let empty = run(&["show", "--platform", &address]).await;
    assert_eq!(empty.status.code(), Some(3), "no configuration is in force");
    let valid = write_file("good.json", &configuration(target.address));
    let checked = run(&["check", &valid]).await;
    assert_eq!(text(&checked.stdout), "valid: 1 teams, 1 kinds, 1 targets with 8 slots\n");
    wait_until("the entry has registered", || async {
        let registered = run(&["accept", &valid, "--platform", &address, "--wait", "30"]).await;
        text(&registered.stdout).contains("in force at 1 of 1 entries").then_some(())
    })
    .await;
    let stale = run(&["accept", &valid, "--platform", &address, "--after", "0"]).await;
    assert_eq!(stale.status.code(), Some(1));
    assert!(text(&stale.stderr).contains("conflict"), "{}", text(&stale.stderr));
    let shown = run(&["show", "--platform", &address]).await;
    assert_eq!(shown.status.code(), Some(0));
    assert!(text(&shown.stdout).contains("\"plain\""));
    let callers = entry.addresses.callers.to_string();
    let job = json!({ "team": "team", "kind": "plain", "deadline_ms": 9_000, "tasks": [1, 2] });
    let submitted = run(&["submit", &write_file("job.json", &job), "--entry", &callers]).await;
    assert_eq!(submitted.status.code(), Some(0), "{}", text(&submitted.stderr));
    let id = text(&submitted.stderr).trim().replace("identifier ", "");
    let repeated =
        run(&["submit", &write_file("job.json", &job), "--entry", &callers, "--id", &id]).await;
    assert_eq!(repeated.stdout, submitted.stdout, "a repeated submission has the same answer");
    assert_eq!(target.start_count(), 2);
    let dump = run(&["dump", &entry.addresses.operators.to_string()]).await;
    let dump: Value = serde_json::from_slice(&dump.stdout).expect("the dump is JSON");
    assert_eq!(dump["entry"]["tasks_started"], 2);
}

#[tokio::test]
async fn errors_name_the_field_and_exit_codes_the_cause() {
    let mut invalid = configuration("127.0.0.1:9".parse().expect("the address is valid"));
    invalid["kinds"][0]["expected_ms"] = json!(0);
    let checked = run(&["check", &write_file("wrong.json", &invalid)]).await;
    assert_eq!(checked.status.code(), Some(1));
    let stderr = text(&checked.stderr);
    assert!(stderr.contains("kinds[0].expected_ms must be at least 1"), "{stderr}");
    let no_entry = write_file(
        "no_entry.json",
        &json!({
            "team": "team", "kind": "plain", "deadline_ms": 1, "tasks": [1],
        }),
    );
    let unreachable = run(&["submit", &no_entry, "--entry", "127.0.0.1:9"]).await;
    assert_eq!(unreachable.status.code(), Some(1), "nothing was submitted");
    let usage = run(&["submit"]).await;
    assert_eq!(usage.status.code(), Some(2));
}

#[test]
fn explain_prints_the_records_of_a_job_in_order_of_time() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let line = |ts: &str, host: &str, msg: &str, job: &str| {
        format!("{}\n", json!({ "ts": ts, "host": host, "msg": msg, "job": job, "wait_ms": 4 }))
    };
    let first = folder.join("explain-first.log");
    let second = folder.join("explain-second.log");
    let later = line("2026-01-01T00:00:02Z", "a-1", "job answered", "5c0e7a21d94b36f8");
    let other = line("2026-01-01T00:00:01Z", "a-1", "job accepted", "0000000000000000");
    std::fs::write(&first, format!("not JSON\n{later}{other}")).expect("the folder can be written");
    let earlier = line("2026-01-01T00:00:01Z", "b-1", "task started", "5c0e7a21d94b36f8");
    std::fs::write(&second, format!("12.5 b-1 {earlier}")).expect("the folder can be written");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_coltsfootshunt"))
        .args(["explain", "5c0e7a21d94b36f8"])
        .args([&first, &second])
        .output()
        .expect("the binary can be started");
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "2026-01-01T00:00:01Z b-1 task started: wait_ms=4",
            "2026-01-01T00:00:02Z a-1 job answered: wait_ms=4",
        ]
    );
}
