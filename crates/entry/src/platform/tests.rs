//! Tests of this slice, against the stand-in.

use coltsfootshunt_core::config::{Config, Revision};
use coltsfootshunt_standin::platform::Platform as StandIn;
use uuid::Uuid;

use super::{AcceptError, Error, Http, Platform, Swap, accept, fetch};

async fn platform() -> (StandIn, Http) {
    let stand_in = StandIn::start().await.expect("the kernel gives a port");
    let adapter = Http::new(stand_in.address);
    (stand_in, adapter)
}

#[tokio::test]
async fn compare_and_swap_tells_who_won() {
    let (_stand_in, adapter) = platform().await;
    assert_eq!(adapter.compare_and_swap("key", 0, "one", None).await, Ok(Swap::Written));
    assert_eq!(adapter.compare_and_swap("key", 0, "two", None).await, Ok(Swap::VersionMismatch));
    let entry = adapter.get("key").await.expect("it is up").expect("it has a value");
    assert_eq!((entry.version, entry.value.as_str()), (1, "one"));
}

#[tokio::test]
async fn outage_is_a_failure_and_no_absence() {
    let (stand_in, adapter) = platform().await;
    stand_in.set_down(true);
    assert_eq!(adapter.get("key").await, Err(Error::NoResponse));
    assert!(matches!(fetch(&adapter).await, Err(AcceptError::Platform(Error::NoResponse))));
}

#[tokio::test]
async fn stale_base_is_a_conflict() {
    let (_stand_in, adapter) = platform().await;
    let first = accept(&adapter, Config::default(), None, Uuid::new_v4()).await.expect("it is up");
    let based_on = Some(first);
    accept(&adapter, Config::default(), based_on, Uuid::new_v4()).await.expect("nobody was first");
    let late = accept(&adapter, Config::default(), based_on, Uuid::new_v4()).await;
    let Err(AcceptError::Conflict(conflict)) = late else {
        panic!("expected a conflict, got {late:?}");
    };
    assert_eq!((conflict.based_on, conflict.current.revision), (first, Revision(2)));
}

#[tokio::test]
async fn own_write_is_found_behind_a_later_one() {
    let (stand_in, adapter) = platform().await;
    let writer = Uuid::new_v4();
    stand_in.lose_answers(1);
    let mine = accept(&adapter, Config::default(), None, writer).await.expect("it took effect");
    accept(&adapter, Config::default(), None, Uuid::new_v4()).await.expect("it is up");
    let (_, document) = fetch(&adapter).await.expect("it is up").expect("a document");
    assert_eq!(document.written_by(writer), Some(mine));
}
