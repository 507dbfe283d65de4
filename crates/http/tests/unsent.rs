//! What a failure says of whether the server may have seen the request, on real sockets.

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

/// Bytes of a large body: more than the sockets' buffers hold.
const LARGE: usize = 16 << 20;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
/// Longest time that a race takes to its reset, in microseconds.
const RACE_US: u64 = 1_500;

/// Path of a request that is answered.
const ANSWERED: &str = "/answered";
/// Path of a request whose connection is reset once it has been read.
const READ: &str = "/read";
/// Path of a request whose connection is reset before its body has been read.
const BEGUN: &str = "/begun";
/// Path of a request that is answered; its connection is reset after so many microseconds, or once
/// the next request on it has been read.
const LAST: &str = "/last/";

/// A server that does what the paths of requests say.
#[derive(Clone)]
struct Server {
    /// Ends its listening before a reset, if it does not live on.
    close: Option<mpsc::Sender<oneshot::Sender<()>>>,
    /// Bodies of the requests that it has read.
    read: Arc<Mutex<Vec<String>>>,
}

impl Server {
    async fn start(lives: bool) -> (Self, SocketAddr) {
        let (listener, address) = listen().await;
        let (close, mut closing) = mpsc::channel::<oneshot::Sender<()>>(1);
        let server = Self { close: (!lives).then(|| close.clone()), read: Arc::default() };
        let connections = server.clone();
        tokio::spawn(async move {
            // The channel stays open while the server listens.
            let _open = close;
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(connections.clone().serve(stream));
                    }
                    Some(closed) = closing.recv() => {
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
        while let Some((path, length)) = head(&mut stream).await {
            if path == BEGUN {
                return self.reset(stream).await;
            }
            let Some(text) = body(&mut stream, length).await else {
                return;
            };
            self.read.lock().unwrap().push(text);
            if path == READ {
                return self.reset(stream).await;
            }
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
            if let Some(after_us) = path.strip_prefix(LAST) {
                let after = Duration::from_micros(after_us.parse().expect("a number"));
                let next = async {
                    let (_, length) = head(&mut stream).await?;
                    body(&mut stream, length).await
                };
                if let Ok(Some(text)) = tokio::time::timeout(after, next).await {
                    self.read.lock().unwrap().push(text);
                }
                return self.reset(stream).await;
            }
        }
    }

    async fn reset(&self, stream: TcpStream) {
        let _ = stream.set_zero_linger();
        if let Some(close) = &self.close {
            let (closed, is_closed) = oneshot::channel();
            // Another connection may have ended the listening.
            if close.send(closed).await.is_ok() {
                let _ = is_closed.await;
            }
        }
    }

    fn times(&self, body: &str) -> usize {
        self.read.lock().unwrap().iter().filter(|one| *one == body).count()
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Path and length of the next request; none if the connection ends before.
async fn head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let path = head.split(' ').nth(1)?.to_owned();
    let (_, length) = head.split_once("content-length: ")?;
    Some((path, length.lines().next()?.parse().ok()?))
}

async fn body(stream: &mut TcpStream, length: usize) -> Option<String> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    String::from_utf8(body).ok()
}

async fn send(
    client: &Client,
    to: SocketAddr,
    path: &str,
    body: &str,
) -> Result<StatusCode, Error> {
    let body = body.as_bytes().to_vec();
    let within = Duration::from_secs(5);
    let request = Request { method: Method::POST, address: to, path, body, timeout: within };
    client.send(request).await.map(|(status, _)| status)
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().expect("a runtime").block_on(test);
}

/// After some answered requests one meets a reset.
fn lost(answered: usize, path: &str, lives: bool, size: usize) {
    run(async {
        let (server, address) = Server::start(lives).await;
        let client = Client::new(1 << 10);
        for _ in 0..answered {
            assert_eq!(send(&client, address, ANSWERED, "answered").await, Ok(StatusCode::OK));
        }
        let text = "x".repeat(size);
        assert_eq!(send(&client, address, path, &text).await, Err(Error::Disconnected));
        assert_eq!(server.times(&text), usize::from(path == READ));
    });
}

cases! { lost:
    read_on_a_new_connection(0, READ, false, 9);
    read_on_a_kept_connection(3, READ, false, 9);
    read_on_a_kept_connection_of_a_server_that_lives(3, READ, true, 9);
    begun_on_a_new_connection(0, BEGUN, false, LARGE);
    begun_on_a_kept_connection(3, BEGUN, false, LARGE);
    begun_on_a_kept_connection_of_a_server_that_lives(3, BEGUN, true, LARGE);
}

#[test]
fn refused_where_nothing_listens() {
    run(async {
        let (listener, address) = listen().await;
        drop(listener);
        let client = Client::new(1 << 10);
        assert_eq!(send(&client, address, ANSWERED, "1").await, Err(Error::Refused));
    });
}

/// Resets of a kept connection meet requests at any moment: what counts as not sent was not read,
/// and nothing is read twice.
fn races(lives: bool) {
    run(async {
        let mut rng = StdRng::seed_from_u64(7);
        let (mut unsent, mut lost, mut served) = (0, 0, 0);
        for round in 0..400 {
            let (server, address) = Server::start(lives).await;
            let client = Client::new(1 << 10);
            let path = format!("{LAST}{}", rng.random_range(0..RACE_US));
            assert_eq!(send(&client, address, &path, "first").await, Ok(StatusCode::OK));
            tokio::time::sleep(Duration::from_micros(rng.random_range(0..RACE_US))).await;
            let outcome = send(&client, address, ANSWERED, "second").await;
            let times = server.times("second");
            assert!(times <= 1, "round {round}: it was read {times} times");
            match outcome {
                Ok(_) => served += 1,
                Err(Error::Refused | Error::Connect) => {
                    assert_eq!(times, 0, "round {round}: it counts as not sent and was read");
                    unsent += 1;
                }
                Err(_) => lost += 1,
            }
        }
        println!("{unsent} not sent, {lost} lost, {served} served");
        assert!(lost > 0, "no reset met a request");
        assert!(unsent > 0 || lives, "no request met a refusal");
    });
}

cases! { races:
    with_a_server_that_goes(false);
    with_a_server_that_lives(true);
}
