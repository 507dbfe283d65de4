//! Clients that send many large, unfinished or oversized requests at once. Each case runs alone: the bounds
//! are on the memory and descriptors of a host on a small machine.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootshunt_http::Method;
use coltsfootshunt_platform_standin::process::{Cluster, Host, job};
use coltsfootshunt_platform_standin::settings::Limits;
use coltsfootshunt_testkit::{Entry, cases, process, wait_until};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// Number of hostile connections.
const CROWD: usize = 500;
/// Limits of the host's machine.
const LIMITS: Limits = Limits { memory_mb: 64, max_fds: 400 };
/// Size of a body, in bytes, that the configuration allows.
const MAX_BODY_BYTES: usize = 262_144;
/// Time for which a client waits for the host to take more bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which clients keep their connections after the last byte.
const LINGER: Duration = Duration::from_millis(1_500);

/// Serializes the cases, since another one beside it would share the machine.
static ALONE: Mutex<()> = Mutex::const_new(());

/// What one client sends after the first line of its request: headers, and parts of the body.
struct Attack {
    headers: String,
    parts: Vec<Vec<u8>>,
}

fn attack(headers: &str, parts: Vec<Vec<u8>>) -> Attack {
    Attack { headers: format!("host: jobs.example\r\n{headers}\r\n\r\n"), parts }
}

/// One chunk of a chunked body.
fn chunk(content: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", content.len()).into_bytes();
    chunk.extend_from_slice(content);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn announced(length: usize, parts: Vec<Vec<u8>>) -> Attack {
    attack(&format!("content-length: {length}"), parts)
}

fn chunked(parts: Vec<Vec<u8>>) -> Attack {
    attack("transfer-encoding: chunked", parts)
}

fn bytes(count: usize) -> Vec<u8> {
    vec![b' '; count]
}

/// A body of legal size with as many steps as fit. They are more than a job may have.
fn many_steps() -> Vec<u8> {
    let steps = vec![r#"{"count":1}"#; 21_000].join(",");
    format!(r#"{{"spec":"x","bestEffort":true,"steps":[{steps}]}}"#).into_bytes()
}

/// Sends the request and keeps the connection for a while. The host may close it at any time.
async fn send(address: SocketAddr, request: &'static str, attack: &Attack) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    stream.write_all(attack.headers.as_bytes()).await?;
    for part in &attack.parts {
        tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(part)).await??;
    }
    let mut response = [0; 512];
    // Neither a response nor its absence matters here.
    let _ = tokio::time::timeout(LINGER, stream.read(&mut response)).await;
    tokio::time::sleep(LINGER).await;
    Ok(())
}

/// Waits until an ordinary job is answered.
async fn serve_ordinary_job(cluster: &Cluster, host: &Host, number: u32) {
    wait_until("an ordinary job completes", || async {
        let answer = cluster.submit(host, &format!("{number:016x}"), (1, 9_000, 20)).await?;
        (answer.0 == 200).then_some(())
    })
    .await;
}

/// Guards against a host that runs out of memory or descriptors under clients that it does not control.
async fn survives(attack: Attack) {
    let _alone = ALONE.lock().await;
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 2).await;
    let mut host = cluster.host_with_limits("a-1", "a", LIMITS);
    cluster.launch(&mut host);
    cluster.wait_until_settled(&[&host]).await;
    let attack = std::sync::Arc::new(attack);
    let mut crowd = JoinSet::new();
    for _ in 0..CROWD {
        let (address, attack) = (host.caller_address, std::sync::Arc::clone(&attack));
        crowd.spawn(async move { send(address, HOST_REQUEST, &attack).await });
    }
    let mut most_descriptors = 0;
    while !crowd.is_empty() {
        let step = tokio::time::timeout(Duration::from_millis(20), crowd.join_next()).await;
        assert!(!host.has_ended(), "the host has ended");
        most_descriptors = most_descriptors.max(process::open_descriptors(host.pid()));
        // A client whose connection is closed has been refused.
        let _ = step;
    }
    serve_ordinary_job(&cluster, &host, 2).await;
    assert!(!host.has_ended(), "the host has ended");
    let (memory, limit) = (process::peak_memory(host.pid()), LIMITS.memory_mb << 20);
    println!("{memory} bytes of memory and {most_descriptors} descriptors at most");
    assert!(memory <= limit, "{memory} bytes of memory, {limit} on the machine");
    let max_fds = usize::try_from(LIMITS.max_fds).unwrap();
    assert!(most_descriptors <= max_fds, "{most_descriptors} descriptors of {max_fds}");
    assert_eq!(cluster.invariants.violations(), Vec::<String>::new());
}

/// A job with a body of exactly the largest legal size.
fn largest_job() -> String {
    let body = job("cpu=9000 ms=20", 1, 9_000, 20).to_string();
    let padding = " ".repeat(MAX_BODY_BYTES - body.len());
    body + &padding
}

/// Guards against limits that a client within the documented ones meets.
#[tokio::test]
async fn a_single_body_of_the_largest_size_is_served() {
    let _alone = ALONE.lock().await;
    let cluster = Cluster::start(PROGRAM, FOLDER, &["a"], 2).await;
    let mut host = cluster.host_with_limits("a-1", "a", LIMITS);
    cluster.launch(&mut host);
    cluster.wait_until_settled(&[&host]).await;
    let path = "/cut/0000000000000001";
    let answer = cluster.request(Method::POST, &host, path, &largest_job()).await;
    assert_eq!(answer, Some((200, json!({ "state": "completed" }))));
    let over = largest_job() + " ";
    let answer = cluster.request(Method::POST, &host, path, &over).await;
    assert_eq!(answer.map(|answer| answer.0), Some(413));
}

/// First line of a request to a host and to an entry's own interface.
const HOST_REQUEST: &str = "POST /cut/00000000000000ff HTTP/1.1\r\n";
const ENTRY_REQUEST: &str = "PUT /v1/submissions/any HTTP/1.1\r\n";
/// Limits of an entry on its own interface, and the memory that its process may take with them.
const ENTRY_CONNECTIONS: usize = 50;
const ENTRY_BODY_BYTES: usize = 16 << 20;
const ENTRY_MEMORY_BYTES: u64 = 96 << 20;
/// Size of the largest body on that interface, in bytes.
const MAX_SUBMISSION_BYTES: usize = 4 << 20;

/// Waits until an ordinary submission is answered.
async fn serve_ordinary_submission(cluster: &coltsfootshunt_testkit::Cluster, entry: &Entry) {
    wait_until("an ordinary submission completes", || async {
        let (_, issued) =
            cluster.send(Method::POST, entry.callers, "/v1/identifiers", r#"{"count":1}"#).await?;
        let path = format!("/v1/submissions/{}", issued["identifiers"][0].as_str()?);
        let tasks = [json!({ "ms": 20, "number": 0 })];
        let job = json!({ "team": "team", "kind": "plain", "deadline_ms": 2_000, "tasks": tasks });
        let job = job.to_string();
        let (status, _) = cluster.send(Method::PUT, entry.callers, &path, &job).await?;
        (status == 200).then_some(())
    })
    .await;
}

/// Guards against an entry that runs out of memory or descriptors under callers that it does not control.
async fn entry_survives_crowd(attack: Attack) {
    let _alone = ALONE.lock().await;
    let cluster = coltsfootshunt_testkit::Cluster::start(PROGRAM, FOLDER, 2).await;
    let clients = json!({ "connections": ENTRY_CONNECTIONS, "body_bytes": ENTRY_BODY_BYTES });
    let entry = cluster.start_entry("entry-1", "a", &json!({ "clients": clients }));
    common::put_in_force(&cluster, &["a"]).await;
    cluster.wait_until_ready(&[&entry]).await;
    let attack = std::sync::Arc::new(attack);
    let mut crowd = JoinSet::new();
    for _ in 0..CROWD {
        let (address, attack) = (entry.callers, std::sync::Arc::clone(&attack));
        crowd.spawn(async move { send(address, ENTRY_REQUEST, &attack).await });
    }
    let mut most_descriptors = 0;
    while !crowd.is_empty() {
        // A client whose connection is closed has been refused.
        let _ = tokio::time::timeout(Duration::from_millis(20), crowd.join_next()).await;
        most_descriptors = most_descriptors.max(process::open_descriptors(entry.pid()));
    }
    serve_ordinary_submission(&cluster, &entry).await;
    let memory = process::peak_memory(entry.pid());
    println!("{memory} bytes of memory and {most_descriptors} descriptors at most");
    assert!(memory <= ENTRY_MEMORY_BYTES, "{memory} bytes of memory");
    assert!(most_descriptors < CROWD, "{most_descriptors} descriptors");
}

/// Runs the case on a runtime of several threads, so that the clients press at the same time.
fn run(case: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(4).enable_all().build().expect("a runtime starts");
    runtime.block_on(case);
}

fn host_survives(attack: Attack) {
    run(survives(attack));
}

cases! { host_survives:
    bodies_that_stop_short(announced(MAX_BODY_BYTES, vec![bytes(MAX_BODY_BYTES - 144)]));
    whole_bodies_of_legal_size(announced(MAX_BODY_BYTES, vec![bytes(MAX_BODY_BYTES)]));
    whole_bodies_of_many_steps(announced(many_steps().len(), vec![many_steps()]));
    bodies_piece_by_piece(announced(MAX_BODY_BYTES, vec![bytes(16_000); 16]));
    a_large_chunk_without_an_end(chunked(vec![chunk(&bytes(262_000))]));
    many_small_chunks_without_an_end(chunked(vec![chunk(b" ").repeat(1_000); 20]));
    bodies_far_over_the_limit_announced(announced(50_000_000, vec![bytes(1_000_000); 3]));
    bodies_far_over_the_limit_just_sent(chunked(vec![chunk(&bytes(500_000)); 6]));
    headers_without_an_end(Attack { headers: format!("x: {}", "y".repeat(15_000)), parts: Vec::new() });
    connections_that_send_nothing(Attack { headers: String::new(), parts: Vec::new() });
}

fn entry_survives(attack: Attack) {
    run(entry_survives_crowd(attack));
}

cases! { entry_survives:
    bodies_that_stop_short(announced(MAX_SUBMISSION_BYTES, vec![bytes(MAX_SUBMISSION_BYTES - 144)]));
    whole_bodies_of_legal_size(announced(MAX_SUBMISSION_BYTES, vec![bytes(MAX_SUBMISSION_BYTES)]));
    a_large_chunk_without_an_end(chunked(vec![chunk(&bytes(4_000_000))]));
    bodies_far_over_the_limit_announced(announced(50_000_000, vec![bytes(1_000_000); 3]));
    headers_without_an_end(Attack { headers: format!("x: {}", "y".repeat(15_000)), parts: Vec::new() });
}
