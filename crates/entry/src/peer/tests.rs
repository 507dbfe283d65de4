//! Tests of this slice.

use std::time::Duration;

use coltsfootshunt_core::submission::Id;
use coltsfootshunt_testkit::cases;
use tokio::net::TcpListener;

use super::{Call, Forward, Rpc, Transport, Unreachable};
use crate::submission::Request;

fn id() -> Id {
    Id::try_from("zone~0123456789abcdef~7").expect("it has the form")
}

/// A request survives its way to the owner, with the time that its caller waits.
fn passes_on(request: &Request, wait_ms: u64) {
    let forward =
        Forward::from_request(request, Duration::from_millis(wait_ms)).expect("it names one");
    let text = serde_json::to_string(&forward).expect("it serializes");
    let back: Forward = serde_json::from_str(&text).expect("it parses");
    assert_eq!(back.timeout(), Duration::from_millis(wait_ms));
    let back = Request::try_from(back).expect("it was checked before");
    assert_eq!(format!("{back:?}"), format!("{request:?}"));
}

cases! { passes_on:
    answer_now(&Request::Answer { id: id(), wait: false }, 0);
    answer_in_time(&Request::Answer { id: id(), wait: true }, 1_500);
    cancel(&Request::Cancel { id: id() }, 3_600_000);
    course(&Request::Trace { id: id() }, 1);
}

#[test]
fn minting_is_never_passed_on() {
    assert!(
        Forward::from_request(&Request::IssueIdentifiers { count: 1 }, Duration::ZERO).is_none()
    );
}

#[tokio::test]
async fn refused_connection_is_told_from_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the kernel gives a port");
    let address = listener.local_addr().expect("it is bound");
    let silent = Rpc::default().call(address, Call::Configuration).await;
    assert_eq!(silent.expect_err("nobody answers"), Unreachable::TimedOut);
    drop(listener);
    let refused = Rpc::default().call(address, Call::Configuration).await;
    assert_eq!(refused.expect_err("nobody listens"), Unreachable::Refused);
}
