//! Tests of the client and of [`accept`] against a stand-in of the platform.

use coltsfootshunt_core::config::{Config, Revision};
use coltsfootshunt_standin::platform::Platform as StandIn;
use uuid::Uuid;

use super::{AcceptError, Error, Http, Platform, Swap, accept, fetch};

async fn platform() -> (StandIn, Http) {
    let stand_in = StandIn::start().await.expect("a loopback port is free");
    let client = Http::new(stand_in.address);
    (stand_in, client)
}

#[tokio::test]
async fn compare_and_swap_rejects_a_stale_version() {
    let (_stand_in, client) = platform().await;
    assert_eq!(client.compare_and_swap("key", 0, "one", None).await, Ok(Swap::Written));
    assert_eq!(client.compare_and_swap("key", 0, "two", None).await, Ok(Swap::VersionMismatch));
    let entry = client.get("key").await.expect("the platform is up").expect("the key has a value");
    assert_eq!((entry.version, entry.value.as_str()), (1, "one"));
}

#[tokio::test]
async fn an_outage_is_an_error_and_not_a_missing_value() {
    let (stand_in, client) = platform().await;
    stand_in.set_down(true);
    assert_eq!(client.get("key").await, Err(Error::NoResponse));
    assert!(matches!(fetch(&client).await, Err(AcceptError::Platform(Error::NoResponse))));
}

#[tokio::test]
async fn accept_with_a_stale_base_is_a_conflict() {
    let (_stand_in, client) = platform().await;
    let first =
        accept(&client, Config::default(), None, Uuid::new_v4()).await.expect("the platform is up");
    let based_on = Some(first);
    accept(&client, Config::default(), based_on, Uuid::new_v4())
        .await
        .expect("the base is in force");
    let result = accept(&client, Config::default(), based_on, Uuid::new_v4()).await;
    let Err(AcceptError::Conflict(conflict)) = result else {
        panic!("expected a conflict, got {result:?}");
    };
    assert_eq!((conflict.based_on, conflict.current.revision), (first, Revision(2)));
}

#[tokio::test]
async fn an_unconfirmed_write_is_found_after_a_later_write() {
    let (stand_in, client) = platform().await;
    let writer = Uuid::new_v4();
    stand_in.drop_responses(1);
    let own =
        accept(&client, Config::default(), None, writer).await.expect("the write took effect");
    accept(&client, Config::default(), None, Uuid::new_v4()).await.expect("the platform is up");
    let (_, document) =
        fetch(&client).await.expect("the platform is up").expect("a configuration is in force");
    assert_eq!(document.written_by(writer), Some(own));
}
