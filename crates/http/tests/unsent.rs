//! Checks over real sockets that an error tells correctly whether the server may have received the
//! request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coltsfootshunt_http::{Client, Error, Method, Request, StatusCode};
use coltsfootshunt_testkit::cases;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Size of a body that does not fit into the socket buffers.
const LARGE_BODY_BYTES: usize = 16 << 20;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
/// Upper bound of the random delays in the race tests, in microseconds.
const MAX_DELAY_US: u64 = 1_500;

/// Path of a request that gets a response.
const RESPOND: &str = "/answered";
/// Path of a request whose connection is reset after the whole request has been read.
const RESET_AFTER_BODY: &str = "/read";
/// Path of a request whose connection is reset after the head and before the body has been read.
const RESET_BEFORE_BODY: &str = "/begun";
/// Path prefix of a request that gets a response. The path ends with the delay in microseconds
/// after which the connection is reset. Another request that is read before that resets it at once.
const RESET_AFTER_RESPONSE: &str = "/last/";

/// A server that resets connections as the path of each request tells it to.
#[derive(Clone)]
struct Server {
    /// Closes the listener before a reset. `None` if the server keeps listening.
    stop_listening: Option<mpsc::Sender<oneshot::Sender<()>>>,
    /// Bodies of the requests that have been read whole.
    bodies_read: Arc<Mutex<Vec<String>>>,
}

impl Server {
    async fn start(keeps_listening: bool) -> (Self, SocketAddr) {
        let (listener, address) = listen().await;
        let (stop_listening, mut stop_requests) = mpsc::channel::<oneshot::Sender<()>>(1);
        let server = Self {
            stop_listening: (!keeps_listening).then(|| stop_listening.clone()),
            bodies_read: Arc::default(),
        };
        let handler = server.clone();
        tokio::spawn(async move {
            // Keeps the channel open while the server listens.
            let _open = stop_listening;
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(handler.clone().serve(stream));
                    }
                    Some(closed) = stop_requests.recv() => {
                        drop(listener);
                        let _ = closed.send(());
                        return;
                    }
                }
            }
        });
        (server, address)
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some((path, length)) = read_head(&mut stream).await {
            if path == RESET_BEFORE_BODY {
                return self.reset(stream).await;
            }
            let Some(text) = read_body(&mut stream, length).await else {
                return;
            };
            self.bodies_read.lock().unwrap().push(text);
            if path == RESET_AFTER_BODY {
                return self.reset(stream).await;
            }
            if stream.write_all(RESPONSE).await.is_err() {
                return;
            }
            if let Some(after_us) = path.strip_prefix(RESET_AFTER_RESPONSE) {
                let after = Duration::from_micros(
                    after_us.parse().expect("the path ends with a number of microseconds"),
                );
                let next = async {
                    let (_, length) = read_head(&mut stream).await?;
                    read_body(&mut stream, length).await
                };
                if let Ok(Some(text)) = tokio::time::timeout(after, next).await {
                    self.bodies_read.lock().unwrap().push(text);
                }
                return self.reset(stream).await;
            }
        }
    }

    async fn reset(&self, stream: TcpStream) {
        let _ = stream.set_zero_linger();
        if let Some(stop_listening) = &self.stop_listening {
            let (closed, is_closed) = oneshot::channel();
            // Another connection may have closed the listener already.
            if stop_listening.send(closed).await.is_ok() {
                let _ = is_closed.await;
            }
        }
    }

    fn times_read(&self, body: &str) -> usize {
        self.bodies_read.lock().unwrap().iter().filter(|read| *read == body).count()
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    (listener, address)
}

/// Reads the head of the next request and returns its path and content length. `None` if the
/// connection closes before that.
async fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let path = head.split(' ').nth(1)?.to_owned();
    let (_, length) = head.split_once("content-length: ")?;
    Some((path, length.lines().next()?.parse().ok()?))
}

async fn read_body(stream: &mut TcpStream, length: usize) -> Option<String> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    String::from_utf8(body).ok()
}

async fn send(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: &str,
) -> Result<StatusCode, Error> {
    let body = body.as_bytes().to_vec();
    let timeout = Duration::from_secs(5);
    let request = Request { method: Method::POST, address, path, body, timeout };
    client.send(request).await.map(|(status, _)| status)
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().expect("the runtime starts").block_on(test);
}

/// Sends a request whose connection is reset, after a number of requests that got a response.
fn reset(requests_before: usize, path: &str, keeps_listening: bool, size: usize) {
    run(async {
        let (server, address) = Server::start(keeps_listening).await;
        let client = Client::new(1 << 10);
        for _ in 0..requests_before {
            assert_eq!(send(&client, address, RESPOND, "answered").await, Ok(StatusCode::OK));
        }
        let text = "x".repeat(size);
        assert_eq!(send(&client, address, path, &text).await, Err(Error::Disconnected));
        assert_eq!(server.times_read(&text), usize::from(path == RESET_AFTER_BODY));
    });
}

cases! { reset:
    after_body_on_new_connection(0, RESET_AFTER_BODY, false, 9);
    after_body_on_reused_connection(3, RESET_AFTER_BODY, false, 9);
    after_body_on_reused_connection_while_listening(3, RESET_AFTER_BODY, true, 9);
    before_body_on_new_connection(0, RESET_BEFORE_BODY, false, LARGE_BODY_BYTES);
    before_body_on_reused_connection(3, RESET_BEFORE_BODY, false, LARGE_BODY_BYTES);
    before_body_on_reused_connection_while_listening(3, RESET_BEFORE_BODY, true, LARGE_BODY_BYTES);
}

#[test]
fn refused_where_nothing_listens() {
    run(async {
        let (listener, address) = listen().await;
        drop(listener);
        let client = Client::new(1 << 10);
        assert_eq!(send(&client, address, RESPOND, "1").await, Err(Error::Refused));
    });
}

/// Resets a reused connection at a random moment around the next request. A request that counts as
/// not sent must not have reached the server, and no request may reach it twice.
fn races(keeps_listening: bool) {
    run(async {
        let mut rng = StdRng::seed_from_u64(7);
        let (mut unsent, mut disconnected, mut served) = (0, 0, 0);
        for round in 0..400 {
            let (server, address) = Server::start(keeps_listening).await;
            let client = Client::new(1 << 10);
            let path = format!("{RESET_AFTER_RESPONSE}{}", rng.random_range(0..MAX_DELAY_US));
            assert_eq!(send(&client, address, &path, "first").await, Ok(StatusCode::OK));
            tokio::time::sleep(Duration::from_micros(rng.random_range(0..MAX_DELAY_US))).await;
            let outcome = send(&client, address, RESPOND, "second").await;
            let times = server.times_read("second");
            assert!(times <= 1, "round {round}: the server read the request {times} times");
            match outcome {
                Ok(_) => served += 1,
                Err(Error::Refused | Error::Connect) => {
                    assert_eq!(
                        times, 0,
                        "round {round}: the server read a request that counts as not sent"
                    );
                    unsent += 1;
                }
                Err(_) => disconnected += 1,
            }
        }
        println!("{unsent} not sent, {disconnected} disconnected, {served} served");
        assert!(disconnected > 0, "no request was interrupted by a reset");
        assert!(unsent > 0 || keeps_listening, "no request was refused");
    });
}

cases! { races:
    with_server_that_stops_listening(false);
    with_server_that_keeps_listening(true);
}
