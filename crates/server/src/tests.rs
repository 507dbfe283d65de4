use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coltsfootshunt_testkit::cases;
use http_body_util::Full;

use super::bodies::{Bodies, Reader};
use super::connections::Connections;
use super::{BodyError, Connection, Limits, Machine, Observer, Refusal};

const TIMEOUT: Duration = Duration::from_secs(5);
const LIMIT: usize = 262_144;

#[derive(Default)]
struct Count(AtomicUsize);

impl Observer for Count {
    fn refused(&self, _: &Refusal) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

fn connections(limit: usize) -> (Arc<Connections>, Arc<Count>) {
    let count = Arc::new(Count::default());
    let limits = Limits { connections: limit, body_bytes: 1 << 20 };
    let observer: Arc<dyn Observer> = Arc::<Count>::clone(&count);
    (Arc::new(Connections::new(limits, observer)), count)
}

/// What a connection has done before others press.
#[derive(Clone, Copy)]
enum Past {
    SentNothing,
    WasAnswered,
    IsAnswered,
}

/// Opens connections with these pasts, and then one more than there is room for. `evicted` is the index of the
/// one that is closed.
async fn makes_room(pasts: &[Past], evicted: Option<usize>) {
    let (connections, count) = connections(pasts.len());
    let mut open: Vec<Connection> = Vec::new();
    for past in pasts {
        let connection = connections.open().expect("there is room");
        match past {
            Past::SentNothing => {}
            Past::WasAnswered => {
                connection.begin_request();
                connection.end_request();
            }
            Past::IsAnswered => connection.begin_request(),
        }
        open.push(connection);
    }
    assert_eq!(count.0.load(Ordering::Relaxed), 0);
    let new = connections.open();
    assert_eq!(new.is_some(), evicted.is_some());
    assert_eq!(count.0.load(Ordering::Relaxed), 1);
    for (index, connection) in open.iter().enumerate() {
        let wait = tokio::time::timeout(Duration::from_millis(5), connection.evicted()).await;
        assert_eq!(wait.is_ok(), evicted == Some(index), "{index}");
    }
}

fn blocks<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(future)
}

fn evicts(pasts: &[Past], evicted: Option<usize>) {
    blocks(makes_room(pasts, evicted));
}

cases! { evicts:
    the_oldest_that_sent_nothing(&[Past::SentNothing, Past::SentNothing], Some(0));
    one_that_sent_nothing_before_an_idle_one(&[Past::WasAnswered, Past::SentNothing], Some(1));
    the_longest_idle_one(&[Past::IsAnswered, Past::WasAnswered, Past::WasAnswered], Some(1));
    none_with_a_request_in_progress(&[Past::IsAnswered, Past::IsAnswered], None);
}

#[test]
fn closed_connections_make_room() {
    let (connections, count) = connections(1);
    for _ in 0..3 {
        assert!(connections.open().is_some());
    }
    assert_eq!(count.0.load(Ordering::Relaxed), 0);
}

/// Reads bodies of these sizes at once, of which each is announced or not, with 100,000 bytes for all of them.
fn reads(sizes: &[usize], is_announced: bool, expected: &[Result<usize, BodyError>]) {
    let bodies = Bodies::new(100_000);
    let mut readers = Vec::new();
    for size in sizes {
        let mut reader = Reader::new(&bodies, is_announced.then_some(*size as u64), LIMIT);
        let mut left = *size;
        while left > 0 {
            let part = left.min(10_000);
            reader.push(&vec![b' '; part]);
            left -= part;
        }
        readers.push(reader);
    }
    let lengths: Vec<_> =
        readers.into_iter().map(|reader| reader.finish().map(|content| content.len())).collect();
    assert_eq!(lengths, expected);
    let mut again = Reader::new(&bodies, Some(90_000), LIMIT);
    again.push(&[b' '; 90_000]);
    assert!(again.finish().is_ok(), "memory is given back");
}

const FULL: Result<usize, BodyError> = Err(BodyError::Full { limit: 100_000 });
const TOO_LARGE: Result<usize, BodyError> = Err(BodyError::TooLarge { limit: LIMIT });

cases! { reads:
    an_empty_body(&[0], true, &[Ok(0)]);
    a_body_that_fits(&[90_000], true, &[Ok(90_000)]);
    a_body_beyond_the_common_limit(&[120_000], true, &[FULL]);
    a_body_beyond_its_own_limit(&[300_000], true, &[TOO_LARGE]);
    a_body_beyond_its_own_limit_that_is_not_announced(&[300_000], false, &[FULL]);
    small_bodies_beside_large_ones(&[100_000, 90_000, 600, 16_000], true, &[Ok(100_000), FULL, Ok(600), Ok(16_000)]);
    small_bodies_that_are_not_announced(&[600, 16_000], false, &[Ok(600), Ok(16_000)]);
}

#[test]
fn a_body_is_read_to_its_end() {
    let (connections, _) = connections(1);
    let connection = connections.open().unwrap();
    let body = Full::new(Bytes::from(vec![b'x'; 50_000]));
    let content = blocks(connection.read_body(body, LIMIT, TIMEOUT)).unwrap();
    assert_eq!(content.len(), 50_000);
}

fn limits_of(memory_mb: usize, descriptors: usize, connections: usize, body_bytes: usize) {
    let machine = Machine { memory_bytes: memory_mb << 20, descriptors };
    assert_eq!(Limits::from(machine), Limits { connections, body_bytes });
}

cases! { limits_of:
    a_host_on_the_platform(260, 4_100, 1_025, 34_078_720);
    a_machine_with_few_descriptors(260, 400, 100, 34_078_720);
    a_machine_with_little_memory(64, 4_100, 256, 8 << 20);
    a_machine_with_nothing(0, 0, 16, 1 << 20);
}
