//! Malformed entries, jobs and configurations. Hosts as processes must keep serving and follow
//! later changes in the platform's store.

use std::time::Duration;

use coltsfootshunt_http::Method;
use coltsfootshunt_platform_standin::malformed::{self, entry_with, job_with};
use coltsfootshunt_platform_standin::process::{Cluster, Host, SERVICE};
use coltsfootshunt_platform_standin::settings::configuration;
use coltsfootshunt_platform_standin::store::{CONFIGURATION, Store};
use coltsfootshunt_platform_standin::target::Target;
use coltsfootshunt_testkit::{cases, wait_until};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Number of items that does not fit on one page of the stand-in's lists.
const MORE_THAN_A_PAGE: usize = 210;

/// Returns nested JSON lists and nested JSON objects of this depth.
fn nested(depth: usize) -> [String; 2] {
    let lists = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let objects = format!("{}0{}", "{\"in\":".repeat(depth), "}".repeat(depth));
    [lists, objects]
}

/// Numbers outside the range of an unsigned 64-bit integer, and its maximum.
fn numbers() -> [String; 5] {
    let (max, above_max) = (u64::MAX.to_string(), (u128::from(u64::MAX) + 1).to_string());
    ["9".repeat(400), "1e400".to_owned(), "-1".to_owned(), above_max, max]
}

fn put_all(store: &Store, entries: impl IntoIterator<Item = String>) {
    for (number, entry) in entries.into_iter().enumerate() {
        store.put_bytes(&format!("servers/i-odd-{number}"), entry.as_bytes());
    }
}

fn deeply_nested_entries(store: &Store) {
    let fields = ["labels", "capacity", "address", "state", "unknown"];
    let nested = [100, 1_000, 100_000].map(nested).concat();
    put_all(
        store,
        fields.iter().flat_map(|field| nested.iter().map(|value| entry_with(field, value))),
    );
    let entries = [100, 1_000, 100_000].map(self::nested).concat();
    for (number, entry) in entries.iter().enumerate() {
        store.put_bytes(&format!("servers/i-whole-{number}"), entry.as_bytes());
    }
}

fn numbers_out_of_range(store: &Store) {
    let top_level = malformed::ENTRY_NUMBERS
        .iter()
        .flat_map(|field| numbers().map(|value| entry_with(field, &value)));
    let in_capacity = malformed::CAPACITY_FIELDS.iter().flat_map(|field| {
        numbers().map(|value| entry_with("capacity", &malformed::capacity_with(field, &value)))
    });
    put_all(store, top_level.chain(in_capacity).collect::<Vec<_>>());
}

fn invalid_addresses(store: &Store) {
    let ports = ["0", "65536", "-1", "99999999999999999999", "", "http"];
    let hosts = ["127.0.0.1", "[::1]", "[fe80::1%3]", "name.example", "999.0.0.1"];
    let addresses = hosts.iter().flat_map(|host| ports.map(|port| format!("\"{host}:{port}\"")));
    put_all(store, addresses.map(|address| entry_with("address", &address)).collect::<Vec<_>>());
    store.put_bytes("servers/i-scope", entry_with("address", "\"[fe80::1%3]:80\"").as_bytes());
}

/// Invalid names, and values that are not text.
fn invalid_names(store: &Store) {
    let entry = entry_with("unknown", "1");
    let long = "n".repeat(192);
    for name in ["", "a b", "%41", "ä", "\u{0}", "\"", "\u{fffd}", "../op/config", &long] {
        store.put_bytes(&format!("servers/{name}"), entry.as_bytes());
    }
    store.put_bytes("servers/i-no-text", b"\xff\xfe\x00");
    store.put_bytes("servers/i-nothing", b"");
    store.put_raw_value("servers/i-no-base64", "*** no base64 ***");
}

/// Invalid names that fill the first page of the list. The next page is requested by the last of
/// these names.
fn page_of_invalid_names(store: &Store) {
    for number in 0..MORE_THAN_A_PAGE {
        store.put(&format!("servers/!a b&after=#%2B+%zz?ä\u{1}\"{number:03}"), &json!(1));
    }
}

/// Writes nothing, for cases in which only the targets' capacity is extreme.
fn nothing(_: &Store) {}

/// Returns a target's entry in the state dump of a host.
async fn target(cluster: &Cluster, host: &Host, name: &str) -> Option<Value> {
    let state = cluster.state(host).await?;
    let targets = state["targets"].as_array()?.clone();
    targets.into_iter().find(|target| target["target"] == name)
}

/// Checks that a host with malformed entries in the store still follows the list: it uses a target
/// that is added later, and starts nothing on a target that leaves.
#[tokio::main(flavor = "current_thread")]
async fn follows_the_list(write_malformed: fn(&Store), cpu_millis: Option<u64>) {
    let mut cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 2).await;
    if let Some(cpu_millis) = cpu_millis {
        cluster.targets.iter().for_each(|target| target.resize(cpu_millis));
    }
    write_malformed(&cluster.store);
    let mut host = cluster.host("a-1", "a", &[]);
    cluster.launch(&mut host);
    cluster.wait_until_settled(&[&host]).await;
    // Writes them again as changes, while the host watches the list.
    write_malformed(&cluster.store);
    let added = Target::start("t-late", "a", &cluster.store, &cluster.invariants, None).await;
    cluster.targets.push(added);
    cluster.targets[0].drain();
    let leaving = cluster.targets[0].name.clone();
    wait_until("the host holds the new target and knows that the other one leaves", || async {
        let added = target(&cluster, &host, "t-late").await?;
        let left = target(&cluster, &host, &leaving).await?;
        let is_held = added["phase"].as_str()?.starts_with("Held");
        (is_held && left["state"] == "draining").then_some(())
    })
    .await;
    let before = host.log_lines().len();
    for number in 1..=3 {
        wait_until("a job completes", || async {
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

/// Returns a configuration with one field of its first route replaced.
fn route_with(version: u64, field: &str, value: &str) -> Vec<u8> {
    let mut document = configuration(version, SERVICE, &[("cut", "/cut/")]);
    document["routes"][0][field] = json!("THE VALUE");
    document.to_string().replace("\"THE VALUE\"", value).into_bytes()
}

fn negative_stretch() -> Vec<u8> {
    route_with(2, "stretch", "-1.0")
}

fn number_out_of_range() -> Vec<u8> {
    route_with(2, "timeoutMs", "1e400")
}

fn deeply_nested_field() -> Vec<u8> {
    route_with(2, "host", &nested(100_000)[0])
}

fn not_utf8() -> Vec<u8> {
    vec![0xff, 0xfe]
}

fn empty() -> Vec<u8> {
    Vec::new()
}

/// Checks that a malformed configuration leaves the last one in force and is logged once, and that
/// the next valid one is put in force.
#[tokio::main(flavor = "current_thread")]
async fn keeps_its_configuration(malformed: fn() -> Vec<u8>) {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 1).await;
    let hosts = cluster.start_hosts(&[("a-1", "a")]).await;
    cluster.store.put_bytes(CONFIGURATION, &malformed());
    let reports = || {
        let lines = hosts[0].log_lines().into_iter();
        lines.filter(|line| line["msg"] == "entry unreadable").collect::<Vec<_>>()
    };
    wait_until("the host logs the malformed entry", || async {
        (!reports().is_empty()).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(reports().len(), 1, "{:?}", reports());
    assert_eq!(reports()[0]["key"], CONFIGURATION);
    let lost: Vec<_> =
        hosts[0].log_lines().into_iter().filter(|line| line["msg"] == "store lost").collect();
    assert!(lost.is_empty(), "{lost:?}");
    let (status, _) = cluster
        .submit(&hosts[0], "0000000000000001", (1, 14_000, 40))
        .await
        .expect("the host responds");
    assert_eq!(status, 200);
    cluster
        .store
        .put(CONFIGURATION, &configuration(3, SERVICE, &[("cut", "/cut/"), ("late", "/late/")]));
    wait_until("the next configuration is in force", || async {
        let (status, _) = cluster.request(Method::GET, &hosts[0], "/late/", "").await?;
        (status == 200).then_some(())
    })
    .await;
}

cases! { keeps_its_configuration:
    after_a_negative_stretch(negative_stretch);
    after_a_number_out_of_range(number_out_of_range);
    after_a_deeply_nested_field(deeply_nested_field);
    after_text_that_is_not_utf8(not_utf8);
    after_an_empty_document(empty);
}

/// Each change of an undecodable entry is logged once, although several parts of the host read it
/// and read it repeatedly.
#[tokio::test]
async fn an_undecodable_entry_is_logged_once_per_change() {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 1).await;
    let hosts = cluster.start_hosts(&[("a-1", "a")]).await;
    let keys = [format!("servers/{}", "n".repeat(192)), "coltsfootshunt/hosts/x y".to_owned()];
    for changes in 1..=2 {
        keys.iter().for_each(|key| cluster.store.put_bytes(key, b"\xff\xfe"));
        let reports = || {
            let lines = hosts[0].log_lines().into_iter();
            lines.filter(|line| line["msg"] == "entry unreadable").collect::<Vec<_>>()
        };
        wait_until("the host logs all undecodable entries", || async {
            (reports().len() >= changes * 2).then_some(())
        })
        .await;
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        assert_eq!(reports().len(), changes * 2);
        let longest = reports().iter().map(|line| line.to_string().len()).max();
        assert!(longest.is_some_and(|longest| longest < 400), "{longest:?}");
    }
    let metrics = cluster.metrics(&hosts[0]).await.expect("metrics are served");
    let counter = "coltsfootshunt_events_total{event=\"entry unreadable\"} 4";
    assert!(metrics.contains(counter), "{metrics}");
}

/// Checks that a host responds to malformed jobs or queues them, and completes a valid job after
/// them.
#[tokio::main(flavor = "current_thread")]
async fn keeps_serving(steps: usize) {
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 2).await;
    let mut hosts = cluster.start_hosts(&[("a-1", "a")]).await;
    let nested = if steps == 1 { [100, 1_000, 30_000].map(nested).concat() } else { Vec::new() };
    let values: Vec<String> = numbers().into_iter().chain(nested).collect();
    let bodies = malformed::JOB_FIELDS
        .iter()
        .flat_map(|field| values.iter().map(|value| job_with(steps, field, value)));
    let host = &hosts[0];
    let requests = bodies.enumerate().map(|(number, body)| {
        let path = format!("/cut/{number:016x}");
        let cluster = &cluster;
        async move { cluster.request(Method::POST, host, &path, &body).await.map(|answer| answer.0) }
    });
    let statuses = futures_util::future::join_all(requests).await;
    assert!(statuses.iter().all(Option::is_some), "{statuses:?}");
    let (status, _) =
        cluster.submit(host, "ffffffffffffffff", (2, 14_000, 40)).await.expect("the host responds");
    assert_eq!(status, 200);
    assert!(!hosts[0].has_ended());
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
}

cases! { keeps_serving:
    after_malformed_jobs(1);
    after_malformed_jobs_with_the_maximum_number_of_steps(1_000);
}

cases! { follows_the_list:
    without_malformed_entries(nothing, None);
    with_deeply_nested_entries(deeply_nested_entries, None);
    with_numbers_out_of_range(numbers_out_of_range, None);
    with_invalid_addresses(invalid_addresses, None);
    with_invalid_names(invalid_names, None);
    with_a_page_of_invalid_names(page_of_invalid_names, None);
    with_targets_of_the_largest_capacity(nothing, Some(u64::MAX));
    with_targets_of_half_the_largest_capacity(nothing, Some(u64::MAX / 2 + 1));
}
