//! Tests of the messages and the RPC transport.

use std::time::Duration;

use coltsfootshunt_core::submission::Id;
use coltsfootshunt_testkit::cases;
use tokio::net::TcpListener;

use super::{Call, Forward, Rpc, Transport, Unreachable};
use crate::submission::Request;

fn id() -> Id {
    Id::try_from("zone~0123456789abcdef~7").expect("valid identifier")
}

/// A request is the same after it was forwarded, and so is the time to wait for the reply.
fn request_survives_forwarding(request: &Request, wait_ms: u64) {
    let forward = Forward::from_request(request, Duration::from_millis(wait_ms))
        .expect("the request is about a submission");
    let text = serde_json::to_string(&forward).expect("`Forward` serializes");
    let parsed: Forward = serde_json::from_str(&text).expect("serialized `Forward` parses");
    assert_eq!(parsed.timeout(), Duration::from_millis(wait_ms));
    let forwarded = Request::try_from(parsed).expect("the request was valid");
    assert_eq!(format!("{forwarded:?}"), format!("{request:?}"));
}

cases! { request_survives_forwarding:
    answer_without_waiting(&Request::Answer { id: id(), wait: false }, 0);
    await_answer(&Request::Answer { id: id(), wait: true }, 1_500);
    cancel(&Request::Cancel { id: id() }, 3_600_000);
    trace(&Request::Trace { id: id() }, 1);
}

#[test]
fn requests_for_identifiers_are_not_forwarded() {
    assert!(
        Forward::from_request(&Request::IssueIdentifiers { count: 1 }, Duration::ZERO).is_none()
    );
}

/// A listener that never accepts leads to a timeout, a closed port to a refusal.
#[tokio::test]
async fn refused_connection_differs_from_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port exists");
    let address = listener.local_addr().expect("the socket is bound");
    let timed_out = Rpc::default().call(address, Call::Configuration).await;
    assert_eq!(timed_out.expect_err("the listener never responds"), Unreachable::TimedOut);
    drop(listener);
    let refused = Rpc::default().call(address, Call::Configuration).await;
    assert_eq!(refused.expect_err("the port is closed"), Unreachable::Refused);
}
