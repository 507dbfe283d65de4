//! The commands as a user meets them, against an entry and stand-ins in the test.

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

/// Runs the command line to its end.
async fn run(arguments: &[&str]) -> Output {
    let arguments: Vec<_> = arguments.iter().map(ToString::to_string).collect();
    let run = move || Command::new(PROGRAM).args(arguments).output().expect("it starts");
    tokio::task::spawn_blocking(run).await.expect("it ends")
}

fn file(name: &str, content: &Value) -> String {
    let path = PathBuf::from(FOLDER).join(name);
    std::fs::write(&path, content.to_string()).expect("the folder for tests can be written");
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

async fn entry(platform: SocketAddr) -> App {
    let any = "127.0.0.1:0";
    let settings = json!({
        "host": "entry", "zone": "zone", "platform": platform,
        "listen": { "callers": any, "operators": any, "peers": any },
    });
    let settings = Settings::parse("test", &settings.to_string()).expect("they are whole");
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    let log = Box::new(|_: &_| Arc::new(Silent) as Arc<dyn Log>);
    App::start(settings, log, metrics).await.expect("the kernel gives ports")
}

#[tokio::test]
async fn an_operator_and_a_caller_get_through() {
    let platform = Platform::start().await.expect("the kernel gives a port");
    let target = Target::start(8).await.expect("the kernel gives a port");
    let entry = entry(platform.address).await;
    let at = platform.address.to_string();
    let nothing = run(&["show", "--platform", &at]).await;
    assert_eq!(nothing.status.code(), Some(3), "nothing is in force");
    let good = file("good.json", &configuration(target.address));
    let checked = run(&["check", &good]).await;
    assert_eq!(text(&checked.stdout), "valid: 1 teams, 1 kinds, 1 targets with 8 slots\n");
    wait_until("the entry has registered", || async {
        let registered = run(&["accept", &good, "--platform", &at, "--wait", "30"]).await;
        text(&registered.stdout).contains("in force at 1 of 1 entries").then_some(())
    })
    .await;
    let late = run(&["accept", &good, "--platform", &at, "--after", "0"]).await;
    assert_eq!(late.status.code(), Some(1));
    assert!(text(&late.stderr).contains("conflict"), "{}", text(&late.stderr));
    let shown = run(&["show", "--platform", &at]).await;
    assert_eq!(shown.status.code(), Some(0));
    assert!(text(&shown.stdout).contains("\"plain\""));
    let callers = entry.addresses.callers.to_string();
    let job = json!({ "team": "team", "kind": "plain", "deadline_ms": 9_000, "tasks": [1, 2] });
    let submitted = run(&["submit", &file("job.json", &job), "--entry", &callers]).await;
    assert_eq!(submitted.status.code(), Some(0), "{}", text(&submitted.stderr));
    let id = text(&submitted.stderr).trim().replace("identifier ", "");
    let again = run(&["submit", &file("job.json", &job), "--entry", &callers, "--id", &id]).await;
    assert_eq!(again.stdout, submitted.stdout, "the same submission has the same answer");
    assert_eq!(target.start_count(), 2);
    let dump = run(&["dump", &entry.addresses.operators.to_string()]).await;
    let dump: Value = serde_json::from_slice(&dump.stdout).expect("it is JSON");
    assert_eq!(dump["entry"]["tasks_started"], 2);
}

#[tokio::test]
async fn wrong_input_is_shown_in_its_place() {
    let mut wrong = configuration("127.0.0.1:9".parse().expect("an address"));
    wrong["kinds"][0]["expected_ms"] = json!(0);
    let checked = run(&["check", &file("wrong.json", &wrong)]).await;
    assert_eq!(checked.status.code(), Some(1));
    let said = text(&checked.stderr);
    assert!(said.contains("kinds[0].expected_ms must be at least 1"), "{said}");
    let no_entry = file(
        "no_entry.json",
        &json!({
            "team": "team", "kind": "plain", "deadline_ms": 1, "tasks": [1],
        }),
    );
    let nobody = run(&["submit", &no_entry, "--entry", "127.0.0.1:9"]).await;
    assert_eq!(nobody.status.code(), Some(1), "nothing was submitted");
    let usage = run(&["submit"]).await;
    assert_eq!(usage.status.code(), Some(2));
}

#[test]
fn explain_tells_a_job_in_order_of_time() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let line = |ts: &str, host: &str, msg: &str, job: &str| {
        format!("{}\n", json!({ "ts": ts, "host": host, "msg": msg, "job": job, "wait_ms": 4 }))
    };
    let first = folder.join("explain-first.log");
    let second = folder.join("explain-second.log");
    let later = line("2026-01-01T00:00:02Z", "a-1", "job answered", "5c0e7a21d94b36f8");
    let other = line("2026-01-01T00:00:01Z", "a-1", "job accepted", "0000000000000000");
    std::fs::write(&first, format!("not JSON\n{later}{other}")).expect("the folder is writable");
    let earlier = line("2026-01-01T00:00:01Z", "b-1", "task started", "5c0e7a21d94b36f8");
    std::fs::write(&second, format!("12.5 b-1 {earlier}")).expect("the folder is writable");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_coltsfootshunt"))
        .args(["explain", "5c0e7a21d94b36f8"])
        .args([&first, &second])
        .output()
        .expect("the program runs");
    let text = String::from_utf8(output.stdout).expect("it prints text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "2026-01-01T00:00:01Z b-1 task started: wait_ms=4",
            "2026-01-01T00:00:02Z a-1 job answered: wait_ms=4",
        ]
    );
}
