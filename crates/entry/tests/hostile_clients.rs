//! Clients that send many large, unfinished or oversized requests at once. Each case runs alone: the bounds
//! are on the memory and descriptors of a host on a small machine.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootshunt_http::Method;
use coltsfootshunt_platform_standin::process::{Cluster, Host, job};
use coltsfootshunt_platform_standin::settings::Limits;
use coltsfootshunt_testkit::{cases, wait_until};
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

/// The bytes that one client sends: the head of its request, and parts of its body.
struct Attack {
    head: String,
    parts: Vec<Vec<u8>>,
}

fn attack(headers: &str, parts: Vec<Vec<u8>>) -> Attack {
    let head =
        format!("POST /cut/00000000000000ff HTTP/1.1\r\nhost: jobs.example\r\n{headers}\r\n");
    Attack { head, parts }
}

/// One chunk of a chunked body.
fn chunk(content: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", content.len()).into_bytes();
    chunk.extend_from_slice(content);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn announced(length: usize, parts: Vec<Vec<u8>>) -> Attack {
    attack(&format!("content-length: {length}\r\n"), parts)
}

fn chunked(parts: Vec<Vec<u8>>) -> Attack {
    attack("transfer-encoding: chunked\r\n", parts)
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
async fn send(address: SocketAddr, attack: &Attack) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(attack.head.as_bytes()).await?;
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
        crowd.spawn(async move { send(address, &attack).await });
    }
    let mut most_descriptors = 0;
    while !crowd.is_empty() {
        let step = tokio::time::timeout(Duration::from_millis(20), crowd.join_next()).await;
        assert!(!host.has_ended(), "the host has ended");
        most_descriptors = most_descriptors.max(host.open_descriptors());
        // A client whose connection is closed has been refused.
        let _ = step;
    }
    serve_ordinary_job(&cluster, &host, 2).await;
    assert!(!host.has_ended(), "the host has ended");
    let (memory, limit) = (host.peak_memory(), LIMITS.memory_mb << 20);
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

/// Runs the case on a runtime of several threads, so that the clients press at the same time.
fn host_survives(attack: Attack) {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(4).enable_all().build().expect("a runtime starts");
    runtime.block_on(survives(attack));
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
    headers_without_an_end(Attack { head: format!("GET /cut/ HTTP/1.1\r\nx: {}", "y".repeat(15_000)), parts: Vec::new() });
    connections_that_send_nothing(Attack { head: String::new(), parts: Vec::new() });
}
