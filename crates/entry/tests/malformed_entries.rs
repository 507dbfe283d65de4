//! Odd entries of other writers in the platform's store: hosts as processes go on and follow the list.

use std::time::Duration;

use coltsfootshunt_http::Method;
use coltsfootshunt_platform_standin::process::{Cluster, Host, SERVICE};
use coltsfootshunt_platform_standin::settings::configuration;
use coltsfootshunt_platform_standin::store::{CONFIGURATION, Store};
use coltsfootshunt_platform_standin::target::Target;
use coltsfootshunt_testkit::{cases, until};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Items on one page of the stand-in's lists, and some more.
const MORE_THAN_A_PAGE: usize = 210;

/// An entry of another writer as JSON text, with one field of it replaced.
fn foreign(field: &str, value: &str) -> String {
    let mut fields = vec![
        ("service", format!("{SERVICE:?}")),
        ("address", "\"127.0.0.1:9\"".to_owned()),
        ("zone", "\"a\"".to_owned()),
        ("version", "\"v1\"".to_owned()),
        ("slots", "8".to_owned()),
        ("state", "\"ready\"".to_owned()),
        ("remainingColdMs", "0".to_owned()),
        ("sequence", "1".to_owned()),
        ("born", "1".to_owned()),
        ("labels", "[\"a\", \"r1-1\"]".to_owned()),
        ("capacity", "{\"cpu\": 32000, \"memMb\": 65536, \"gpu\": 0}".to_owned()),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value.to_owned()));
    let fields: Vec<String> =
        fields.iter().map(|(name, value)| format!("{name:?}: {value}")).collect();
    format!("{{{}}}", fields.join(", "))
}

/// A list in a list, so many levels deep, and the same of objects.
fn nested(levels: usize) -> [String; 2] {
    let lists = format!("{}{}", "[".repeat(levels), "]".repeat(levels));
    let objects = format!("{}0{}", "{\"in\":".repeat(levels), "}".repeat(levels));
    [lists, objects]
}

/// Numbers that are too large, too small or too long.
fn numbers() -> [String; 5] {
    let (highest, beyond) = (u64::MAX.to_string(), (u128::from(u64::MAX) + 1).to_string());
    ["9".repeat(400), "1e400".to_owned(), "-1".to_owned(), beyond, highest]
}

fn put_all(store: &Store, entries: impl IntoIterator<Item = String>) {
    for (number, entry) in entries.into_iter().enumerate() {
        store.put_bytes(&format!("servers/i-odd-{number}"), entry.as_bytes());
    }
}

fn deep_entries(store: &Store) {
    let fields = ["labels", "capacity", "address", "state", "unknown"];
    let nested = [100, 1_000, 100_000].map(nested).concat();
    put_all(
        store,
        fields.iter().flat_map(|field| nested.iter().map(|value| foreign(field, value))),
    );
    let whole = [100, 1_000, 100_000].map(self::nested).concat();
    for (number, entry) in whole.iter().enumerate() {
        store.put_bytes(&format!("servers/i-whole-{number}"), entry.as_bytes());
    }
}

fn odd_numbers(store: &Store) {
    let fields = ["born", "slots", "sequence", "remainingColdMs", "version", "unknown"];
    let plain = fields.iter().flat_map(|field| numbers().map(|value| foreign(field, &value)));
    let in_capacity = ["cpu", "memMb", "gpu"].into_iter().flat_map(|field| {
        numbers().map(|value| {
            let room = [("cpu", "1"), ("memMb", "1"), ("gpu", "0")];
            let room = room.map(|(name, one)| {
                let value = if name == field { &value } else { one };
                format!("{name:?}: {value}")
            });
            foreign("capacity", &format!("{{{}}}", room.join(", ")))
        })
    });
    put_all(store, plain.chain(in_capacity).collect::<Vec<_>>());
}

fn odd_ports(store: &Store) {
    let ports = ["0", "65536", "-1", "99999999999999999999", "", "http"];
    let hosts = ["127.0.0.1", "[::1]", "[fe80::1%3]", "name.example", "999.0.0.1"];
    let addresses = hosts.iter().flat_map(|host| ports.map(|port| format!("\"{host}:{port}\"")));
    put_all(store, addresses.map(|address| foreign("address", &address)).collect::<Vec<_>>());
    store.put_bytes("servers/i-scope", foreign("address", "\"[fe80::1%3]:80\"").as_bytes());
}

/// Names that are no names, and values that are no text.
fn odd_names(store: &Store) {
    let entry = foreign("unknown", "1");
    let long = "n".repeat(192);
    for name in ["", "a b", "%41", "ä", "\u{0}", "\"", "\u{fffd}", "../op/config", &long] {
        store.put_bytes(&format!("servers/{name}"), entry.as_bytes());
    }
    store.put_bytes("servers/i-no-text", b"\xff\xfe\x00");
    store.put_bytes("servers/i-nothing", b"");
    store.put_raw_value("servers/i-no-base64", "*** no base64 ***");
}

/// Odd names fill the first page of the list, and what comes next is asked for by the last of them.
fn a_page_of_odd_names(store: &Store) {
    for number in 0..MORE_THAN_A_PAGE {
        store.put(&format!("servers/!a b&after=#%2B+%zz?ä\u{1}\"{number:03}"), &json!(1));
    }
}

/// Its targets have all the room that a number can say.
fn nothing(_: &Store) {}

async fn target(cluster: &Cluster, host: &Host, name: &str) -> Option<Value> {
    let state = cluster.state(host).await?;
    let targets = state["targets"].as_array()?.clone();
    targets.into_iter().find(|target| target["target"] == name)
}

/// A host follows the list behind odd entries: a target that comes is used, one that leaves is left.
#[tokio::main(flavor = "current_thread")]
async fn follows(odd: fn(&Store), cpu: Option<u64>) {
    let mut cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 2).await;
    if let Some(cpu) = cpu {
        cluster.targets.iter().for_each(|target| target.resize(cpu));
    }
    odd(&cluster.store);
    let mut host = cluster.host("a-1", "a", &[]);
    cluster.launch(&mut host);
    cluster.wait_until_settled(&[&host]).await;
    // Once more, so that each is a change that comes while the host follows the list.
    odd(&cluster.store);
    let late = Target::start("t-late", "a", &cluster.store, &cluster.invariants, None).await;
    cluster.targets.push(late);
    cluster.targets[0].drain();
    let leaving = cluster.targets[0].name.clone();
    until("the list is followed", || async {
        let late = target(&cluster, &host, "t-late").await?;
        let gone = target(&cluster, &host, &leaving).await?;
        let is_held = late["phase"].as_str()?.starts_with("Held");
        (is_held && gone["state"] == "draining").then_some(())
    })
    .await;
    let before = host.log_lines().len();
    for number in 1..=3 {
        until("a job is served", || async {
            let (status, body) =
                cluster.submit(&host, &format!("{number:016x}"), (2, 14_000, 40)).await?;
            (status == 200 && body["state"] == "completed").then_some(())
        })
        .await;
    }
    let lines = host.log_lines().into_iter().skip(before);
    let mut started = lines.filter(|line| line["msg"] == "task started");
    assert!(started.all(|line| line["target"] != leaving.as_str()));
    assert!(!host.has_ended());
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
}

/// A configuration with one field of its first route replaced.
fn odd_route(version: u64, field: &str, value: &str) -> Vec<u8> {
    let mut whole = configuration(version, SERVICE, &[("cut", "/cut/")]);
    whole["routes"][0][field] = json!("THE VALUE");
    whole.to_string().replace("\"THE VALUE\"", value).into_bytes()
}

fn with_a_negative_stretch() -> Vec<u8> {
    odd_route(2, "stretch", "-1.0")
}

fn with_a_number_out_of_range() -> Vec<u8> {
    odd_route(2, "timeoutMs", "1e400")
}

fn with_a_deep_field() -> Vec<u8> {
    odd_route(2, "host", &nested(100_000)[0])
}

fn that_is_no_text() -> Vec<u8> {
    vec![0xff, 0xfe]
}

fn that_is_empty() -> Vec<u8> {
    Vec::new()
}

/// A configuration that can't be read keeps the one in force, is told once, and the next one comes into force.
#[tokio::main(flavor = "current_thread")]
async fn keeps_its_configuration(odd: fn() -> Vec<u8>) {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 1).await;
    let hosts = cluster.start_hosts(&[("a-1", "a")]).await;
    cluster.store.put_bytes(CONFIGURATION, &odd());
    let told = || {
        let lines = hosts[0].log_lines().into_iter();
        lines.filter(|line| line["msg"] == "entry unreadable").collect::<Vec<_>>()
    };
    until("it is told", || async { (!told().is_empty()).then_some(()) }).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(told().len(), 1);
    assert_eq!(told()[0]["key"], CONFIGURATION);
    assert!(!hosts[0].log_lines().iter().any(|line| line["msg"] == "store lost"));
    let (status, _) =
        cluster.submit(&hosts[0], "0000000000000001", (1, 14_000, 40)).await.expect("an answer");
    assert_eq!(status, 200);
    cluster
        .store
        .put(CONFIGURATION, &configuration(3, SERVICE, &[("cut", "/cut/"), ("late", "/late/")]));
    until("the next one is in force", || async {
        let (status, _) = cluster.request(Method::GET, &hosts[0], "/late/", "").await?;
        (status == 200).then_some(())
    })
    .await;
}

cases! { keeps_its_configuration:
    behind_one_with_a_negative_stretch(with_a_negative_stretch);
    behind_one_with_a_number_out_of_range(with_a_number_out_of_range);
    behind_one_with_a_deep_field(with_a_deep_field);
    behind_one_that_is_no_text(that_is_no_text);
    behind_one_that_is_empty(that_is_empty);
}

/// Each change of an entry that can't be read is told once, whoever reads it how often.
#[tokio::test]
async fn an_entry_that_cannot_be_read_is_told_once_for_each_change() {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 1).await;
    let hosts = cluster.start_hosts(&[("a-1", "a")]).await;
    let keys = [format!("servers/{}", "n".repeat(192)), "coltsfootshunt/hosts/x y".to_owned()];
    for changes in 1..=2 {
        keys.iter().for_each(|key| cluster.store.put_bytes(key, b"\xff\xfe"));
        let told = || {
            let lines = hosts[0].log_lines().into_iter();
            lines.filter(|line| line["msg"] == "entry unreadable").collect::<Vec<_>>()
        };
        until("all are told", || async { (told().len() >= changes * 2).then_some(()) }).await;
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        assert_eq!(told().len(), changes * 2);
        let longest = told().iter().map(|line| line.to_string().len()).max();
        assert!(longest.is_some_and(|longest| longest < 400), "{longest:?}");
    }
    let metrics = cluster.metrics(&hosts[0]).await.expect("metrics are served");
    let counter = "coltsfootshunt_events_total{event=\"entry unreadable\"} 4";
    assert!(metrics.contains(counter), "{metrics}");
}

/// The body of a job with one field of its steps replaced; each step comes after the one before.
fn job(steps: usize, field: &str, value: &str) -> String {
    let step = |number: usize| {
        let mut fields =
            vec![("count", "1"), ("cpu", "14000"), ("memMb", "64"), ("estimatedMs", "40")];
        fields.retain(|(name, _)| *name != field);
        fields.push((field, value));
        let after = number.checked_sub(1).map_or(String::new(), |before| before.to_string());
        let fields: Vec<String> =
            fields.iter().map(|(name, value)| format!("{name:?}:{value}")).collect();
        format!("{{{},\"after\":[{after}]}}", fields.join(","))
    };
    let steps: Vec<String> = (0..steps).map(step).collect();
    format!("{{\"spec\":\"cpu=14000 ms=40\",\"bestEffort\":true,\"steps\":[{}]}}", steps.join(","))
}

/// A host answers odd jobs, or lets them wait, and serves the next one.
#[tokio::main(flavor = "current_thread")]
async fn serves_on(steps: usize) {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 2).await;
    let mut hosts = cluster.start_hosts(&[("a-1", "a")]).await;
    let fields = ["count", "cpu", "memMb", "gpu", "estimatedMs", "antiAffinity", "unknown"];
    let deep = if steps == 1 { [100, 1_000, 30_000].map(nested).concat() } else { Vec::new() };
    let values: Vec<String> = numbers().into_iter().chain(deep).collect();
    let bodies =
        fields.iter().flat_map(|field| values.iter().map(|value| job(steps, field, value)));
    let host = &hosts[0];
    let calls = bodies.enumerate().map(|(number, body)| {
        let path = format!("/cut/{number:016x}");
        let cluster = &cluster;
        async move { cluster.request(Method::POST, host, &path, &body).await.map(|answer| answer.0) }
    });
    let statuses = futures_util::future::join_all(calls).await;
    assert!(statuses.iter().all(Option::is_some), "{statuses:?}");
    let (status, _) =
        cluster.submit(host, "ffffffffffffffff", (2, 14_000, 40)).await.expect("an answer");
    assert_eq!(status, 200);
    assert!(!hosts[0].has_ended());
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
}

cases! { serves_on:
    behind_odd_jobs(1);
    behind_odd_jobs_of_most_steps(1_000);
}

cases! { follows:
    behind_nothing_odd(nothing, None);
    behind_deep_entries(deep_entries, None);
    behind_odd_numbers(odd_numbers, None);
    behind_odd_ports(odd_ports, None);
    behind_odd_names(odd_names, None);
    behind_a_page_of_odd_names(a_page_of_odd_names, None);
    with_targets_of_the_largest_capacity(nothing, Some(u64::MAX));
    with_targets_of_half_the_largest_capacity(nothing, Some(u64::MAX / 2 + 1));
}
