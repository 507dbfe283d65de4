//! A client of the system, over plain sockets.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request on a connection of its own. `None` if there is no complete response within `patience`, after
/// which the connection is closed.
pub async fn call(
    to: SocketAddr,
    (method, path, body): (&str, &str, &str),
    deadline_ms: u64,
    patience: Duration,
) -> Option<(u16, Value)> {
    tokio::time::timeout(patience, exchange(to, (method, path, body), deadline_ms)).await.ok()?
}

async fn exchange(
    to: SocketAddr,
    (method, path, body): (&str, &str, &str),
    deadline_ms: u64,
) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let text = String::from_utf8(answer).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_str(body).unwrap_or_default()))
}
