mod narrow_link;
mod queue;
mod versions;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use coltsfootshunt_core::clock::System;
use coltsfootshunt_testkit::cases;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::ws_client::WsClientBuilder;
use serde_json::value::RawValue;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle as Runtime;
use tokio::sync::watch;

use super::{
    Account, Ack, Batch, Count, Direction, Inbox, Key, Message, Outbox, Receipt, Rpc, Transport,
    Unreachable, serve,
};
use crate::control::{self, Dependencies, Executor, Settings};
use crate::lease::{Call, Client, Response, Term};
use crate::member::Heartbeat;
use crate::member::tests::identity;
use crate::report::Silent;
use crate::steward;

fn batch(incarnation: u64, session: u64, sequence: u64) -> Batch {
    let from = crate::member::Identity { incarnation, ..identity("x", "a", 250) };
    Batch { from, session, sequence, messages: Vec::new() }
}

const PROCESS: Receipt = Receipt::Process { is_new_session: false };
const NEW_SESSION: Receipt = Receipt::Process { is_new_session: true };
const REPEATED: Receipt = Receipt::Acknowledge(Ack::Accepted);
const SESSION_LOST: Receipt = Receipt::Acknowledge(Ack::SessionLost);

/// Receives batches, each an incarnation, a session and a sequence number.
fn receives(batches: &[(u64, u64, u64)], expected: &[Receipt]) {
    let mut inbox = Inbox::default();
    let receipts: Vec<Receipt> = batches
        .iter()
        .map(|(incarnation, session, sequence)| {
            inbox.receive(&batch(*incarnation, *session, *sequence))
        })
        .collect();
    assert_eq!(receipts, expected);
}

cases! { receives:
    batches_in_order(&[(1, 1, 1), (1, 1, 2)], &[PROCESS, PROCESS]);
    repeated_batch_once(&[(1, 1, 1), (1, 1, 1)], &[PROCESS, REPEATED]);
    no_batch_after_a_gap(&[(1, 1, 1), (1, 1, 3)], &[PROCESS, SESSION_LOST]);
    no_session_without_its_first_batch(&[(1, 1, 2)], &[SESSION_LOST]);
    new_session_as_a_reset(&[(1, 1, 1), (1, 2, 1)], &[PROCESS, NEW_SESSION]);
    no_late_batch_of_an_earlier_session(
        &[(1, 1, 1), (1, 2, 1), (1, 1, 2)],
        &[PROCESS, NEW_SESSION, SESSION_LOST],
    );
    new_incarnation_as_a_reset(&[(1, 4, 1), (2, 1, 1)], &[PROCESS, NEW_SESSION]);
    // Guards against a late batch that brings the jobs of an ended process back, and drops those of
    // its successor.
    no_late_session_of_a_replaced_incarnation(
        &[(1, 1, 1), (2, 1, 1), (1, 2, 1), (2, 1, 2)],
        &[PROCESS, NEW_SESSION, SESSION_LOST, PROCESS],
    );
    no_late_session_of_any_replaced_incarnation(
        &[(1, 1, 1), (2, 1, 1), (3, 1, 1), (1, 2, 1), (2, 2, 1), (3, 1, 2)],
        &[PROCESS, NEW_SESSION, NEW_SESSION, SESSION_LOST, SESSION_LOST, PROCESS],
    );
}

/// Guards against a batch that was sent before a pause of this host, given up meanwhile and received
/// afterwards.
#[test]
fn batches_continue_no_session_that_this_host_has_ended() {
    let mut inbox = Inbox::default();
    assert_eq!(inbox.receive(&batch(1, 1, 1)), PROCESS);
    inbox.end_sessions();
    assert_eq!(inbox.receive(&batch(1, 1, 2)), SESSION_LOST);
    assert_eq!(inbox.receive(&batch(1, 1, 1)), SESSION_LOST);
    assert_eq!(inbox.receive(&batch(1, 2, 1)), NEW_SESSION);
    assert_eq!(inbox.receive(&batch(1, 2, 2)), PROCESS);
}

/// Transport that records the session, the sequence number and the number of messages of each
/// batch. Responds with the given acknowledgements, then accepts everything.
#[derive(Default)]
struct Recorder {
    acks: Mutex<VecDeque<Ack>>,
    batches: Mutex<Vec<(u64, u64, usize)>>,
}

#[async_trait]
impl Transport for Recorder {
    async fn deliver(&self, _to: SocketAddr, batch: &Batch) -> Result<Ack, Unreachable> {
        let entry = (batch.session, batch.sequence, batch.messages.len());
        self.batches.lock().unwrap().push(entry);
        Ok(self.acks.lock().unwrap().pop_front().unwrap_or(Ack::Accepted))
    }
}

struct NoTargets;

#[async_trait]
impl Client for NoTargets {
    async fn call(&self, _call: Call) -> Response {
        Response::NotSent
    }
}

/// Starts the control thread of a host that knows no other.
fn control() -> control::Handle {
    let term = Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };
    let settings = Settings {
        identity: identity("me", "a", 250),
        seeds: Vec::new(),
        steward: steward::Settings { term, remote_factor: 1.5 },
        stop_timeout: Duration::from_secs(5),
        max_targets_age: Duration::from_secs(1),
        targets_per_core: 200,
        evacuation: crate::evacuation::Settings::default(),
    };
    let runtime = Runtime::current();
    let executor = move |control: control::Handle| Executor {
        outbox: outbox(Arc::default(), control.clone()),
        runtime,
        target_client: Arc::new(NoTargets),
        control,
        log: Arc::new(Silent),
        exit: watch::channel(false).0,
    };
    let dependencies =
        Dependencies { settings, clock: Arc::new(System), executor: Box::new(executor) };
    control::spawn(dependencies).unwrap().0
}

fn outbox(recorder: Arc<Recorder>, control: control::Handle) -> Outbox {
    let me = identity("me", "a", 250);
    let account = Arc::new(Account::new(me.zone.clone()));
    Outbox::new(me, recorder, Runtime::current(), control, account)
}

/// Sends messages one after the other, each once the one before has led to two batches, and checks
/// the batches.
fn sends(messages: usize, acks: &[Ack], expected: &[(u64, u64, usize)]) {
    let recorder =
        Arc::new(Recorder { acks: Mutex::new(acks.to_vec().into()), ..Recorder::default() });
    let sending = async {
        let mut outbox = outbox(Arc::clone(&recorder), control());
        for number in 1..=messages {
            outbox.send("10.0.0.2:80".parse().unwrap(), Message::ConfigRequest);
            for _ in 0..1_000 {
                if recorder.batches.lock().unwrap().len() >= 2 * number {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(sending);
    assert_eq!(*recorder.batches.lock().unwrap(), expected);
}

// Guards against tasks that a network partition delays in the first batch of a session, where
// nothing shows that their sender has given them up.
cases! { sends:
    no_messages_before_the_session_is_open(1, &[], &[(1, 1, 0), (1, 2, 1)]);
    no_messages_before_the_next_session_is_open(
        2,
        &[Ack::Accepted, Ack::SessionLost],
        &[(1, 1, 0), (1, 2, 1), (2, 1, 0), (2, 2, 1)],
    );
}

/// Forwards the connections of `listener` to `upstream` and counts the bytes of both directions.
async fn count_bytes(listener: TcpListener, upstream: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((mut client, _)) = listener.accept().await {
        let mut server = TcpStream::connect(upstream).await.unwrap();
        let bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            let (mut from_client, mut to_client) = client.split();
            let (mut from_server, mut to_server) = server.split();
            let request = copy(&mut from_client, &mut to_server, &bytes);
            let response = copy(&mut from_server, &mut to_client, &bytes);
            tokio::join!(request, response);
        });
    }
}

async fn copy(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    bytes: &AtomicU64,
) {
    let mut buffer = [0; 4_096];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

fn sum(counts: &BTreeMap<Key, Count>, direction: Direction) -> Count {
    let of_direction = counts.iter().filter(|(key, _)| key.direction == direction);
    of_direction.fold(Count::default(), |sum, (_, count)| sum + *count)
}

/// The bytes on the socket are those of the account of either side, and a bounded number for each
/// connection and batch: the handshake, the frames, the JSON-RPC call and its response.
fn accounts_for_the_bytes_of(messages: &[Message]) {
    const MAX_BYTES_PER_CONNECTION: u64 = 600;
    const MAX_BYTES_PER_BATCH: u64 = 200;
    let batches = 20;
    let traffic = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = listener.local_addr().unwrap();
        let receiver = Arc::new(Account::new(identity("you", "b", 250).zone));
        let _server = serve(listener, control(), Arc::clone(&receiver)).unwrap();
        let counted = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = counted.local_addr().unwrap();
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(count_bytes(counted, upstream, Arc::clone(&bytes)));
        let sender = Arc::new(Account::new(identity("x", "a", 250).zone));
        let rpc = Rpc::new(Arc::clone(&sender));
        for sequence in 1..=batches {
            let messages = if sequence == 1 { Vec::new() } else { messages.to_vec() };
            let batch = Batch { messages, ..batch(1, 1, sequence) };
            assert_eq!(rpc.deliver(to, &batch).await, Ok(Ack::Accepted));
        }
        let sent = sum(&sender.take().0, Direction::Sent);
        let received = sum(&receiver.take().0, Direction::Received);
        assert_eq!(sent, received);
        assert_eq!(sent.messages, batches + (batches - 1) * messages.len() as u64);
        let overhead = bytes.load(Ordering::Relaxed) - sent.bytes;
        assert!(overhead <= MAX_BYTES_PER_CONNECTION + batches * MAX_BYTES_PER_BATCH, "{overhead}");
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(traffic);
}

cases! { accounts_for_the_bytes_of:
    heartbeats(&[Message::Heartbeat(Heartbeat::default())]);
    several_kinds(&[
        Message::Heartbeat(Heartbeat::default()),
        Message::ConfigRequest,
        Message::Hosts(vec![identity("y", "b", 250); 30]),
        Message::Targets(Vec::new()),
    ]);
}

/// A call of another program or version with the wrong parameters is rejected, and the host goes on.
fn rejects(parameters: &str) {
    let calls = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let account = Arc::new(Account::new(identity("me", "a", 250).zone));
        let handle = control();
        let _server = serve(listener, handle.clone(), Arc::clone(&account)).unwrap();
        let client = WsClientBuilder::default().build(format!("ws://{to}")).await.unwrap();
        let mut array = ArrayParams::new();
        array.insert(RawValue::from_string(parameters.to_owned()).unwrap()).unwrap();
        let response = client.request::<Ack, _>("fleet_deliver", array).await;
        assert!(response.is_err(), "{response:?}");
        let rpc = Rpc::new(account);
        assert_eq!(rpc.deliver(to, &batch(1, 1, 1)).await, Ok(Ack::Accepted));
        assert!(!handle.is_closed());
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(calls);
}

const FROM: &str =
    r#""from":{"host":"y","zone":"a","incarnation":7,"address":"10.0.0.9:80","weight":250}"#;

cases! { rejects:
    no_batch("null");
    an_empty_object("{}");
    an_unknown_message(&format!("{{{FROM},\"session\":1,\"number\":1,\"messages\":[{{\"vote\":1}}]}}"));
    a_malformed_heartbeat(&format!(
        "{{{FROM},\"session\":1,\"number\":1,\"messages\":[{{\"beat\":{{\"claims\":7}}}}]}}"
    ));
    a_negative_sequence_number(&format!("{{{FROM},\"session\":1,\"number\":-1,\"messages\":[]}}"));
    a_huge_session_number(&format!("{{{FROM},\"session\":1e40,\"number\":1,\"messages\":[]}}"));
    an_invalid_host(&format!(
        "{{{},\"session\":1,\"number\":1,\"messages\":[]}}",
        FROM.replace("\"y\"", "\"a b\"")
    ));
    deep_nesting(&format!("{}{}", "[".repeat(100_000), "]".repeat(100_000)));
}
