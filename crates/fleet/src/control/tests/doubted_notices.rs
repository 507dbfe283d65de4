//! Notices of evacuated zones that the store does not confirm, with the agent that reads the store.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use coltsfootshunt_core::clock::System;
use tokio::runtime::Handle as Runtime;
use tokio::sync::watch;

use super::departures::Unconnected;
use crate::control::{self, Dependencies, Executor, Settings};
use crate::directory;
use crate::evacuation::{self, Notice, Reading};
use crate::lease::Term;
use crate::member::Identity;
use crate::member::tests::identity;
use crate::peer::{Account, Batch, Message, Outbox};
use crate::report::{Log, Record};
use crate::steward;
use crate::store::{Agent, Change, Changes, Content, Error, Listing, Row, Store};

/// Time of a watch without changes.
const WATCH: Duration = Duration::from_millis(200);
/// Time within which a host notices that a notice is not true.
const DOUBTED_AFTER: Duration = Duration::from_secs(8);

/// Store at revision 6 without evacuated zones. Counts the reads in full.
#[derive(Default)]
struct Quiet {
    reads: AtomicU64,
}

#[async_trait]
impl Store for Quiet {
    async fn watch_config(&self, known: u64, _max_wait: Duration) -> Result<Change, Error> {
        let is_complete = known == 0;
        if is_complete {
            self.reads.fetch_add(1, Ordering::Relaxed);
        } else {
            tokio::time::sleep(WATCH).await;
        }
        let reading = Reading { is_complete, revision: 6, ..Reading::default() };
        Ok(Change { evacuations: Some(reading), revision: 6, ..Change::default() })
    }

    async fn read_targets(&self, _stale: bool) -> Result<Changes<directory::Entry>, Error> {
        let content = Content::Entry(directory::tests::entry("t0", "b"));
        Ok(Changes { rows: vec![Row { key: "t0".into(), revision: 5, content }], revision: 6 })
    }

    async fn watch_targets(
        &self,
        _known: u64,
        max_wait: Duration,
    ) -> Result<Option<Changes<directory::Entry>>, Error> {
        tokio::time::sleep(max_wait).await;
        Ok(Some(Changes { rows: Vec::new(), revision: 6 }))
    }

    async fn list_hosts(&self) -> Result<Listing<Identity>, Error> {
        Ok(Listing::from(Vec::new()))
    }

    async fn register(&self, _identity: &Identity) -> Result<(), Error> {
        Ok(())
    }
}

/// The records on zones.
#[derive(Default)]
struct Zones(Mutex<Vec<&'static str>>);

impl Log for Zones {
    fn record(&self, record: &Record) {
        if let Record::ZoneEvacuated { .. } | Record::ZoneRestored { .. } = record {
            self.0.lock().unwrap().push(record.name());
        }
    }
}

fn start(store: &Arc<Quiet>, log: &Arc<Zones>) -> control::Handle {
    let term = Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };
    let settings = Settings {
        identity: identity("me", "a", 250),
        seeds: Vec::new(),
        steward: steward::Settings { term, remote_factor: 1.5 },
        stop_timeout: Duration::from_secs(5),
        max_targets_age: Duration::from_secs(1),
        targets_per_core: 200,
        evacuation: evacuation::Settings { is_enabled: true, ..evacuation::Settings::default() },
    };
    let (runtime, log) = (Runtime::current(), Arc::clone(log));
    let executor = move |control: control::Handle| {
        let me = identity("me", "a", 250);
        let account = Arc::new(Account::new(me.zone.clone()));
        let transport = Arc::new(Unconnected);
        let outbox = Outbox::new(me, transport, runtime.clone(), control.clone(), account);
        let (target_client, exit) = (Arc::new(Unconnected), watch::channel(false).0);
        Executor { outbox, runtime, target_client, control, log, exit }
    };
    let dependencies =
        Dependencies { settings, clock: Arc::new(System), executor: Box::new(executor) };
    let control = control::spawn(dependencies).unwrap().0;
    let store: Arc<dyn Store> = Arc::clone(store) as _;
    Agent::start(store, control.clone(), identity("me", "a", 250), Duration::from_secs(2));
    control
}

async fn wait_for(log: &Zones, expected: &[&str]) {
    let is_expected = async {
        while *log.0.lock().unwrap() != expected {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(DOUBTED_AFTER, is_expected).await;
    assert!(result.is_ok(), "{:?} is not {expected:?}", log.0.lock().unwrap());
}

/// A peer names a revision that the store does not have. Guards against a zone that stays closed because of it, and
/// against a burst of reads. The store is read in full once at the start and once to check the notice.
#[tokio::test]
async fn the_store_contradicts_an_untrue_notice() {
    let (store, log) = (Arc::new(Quiet::default()), Arc::new(Zones::default()));
    let control = start(&store, &log);
    tokio::time::sleep(2 * WATCH).await;
    let notice = Notice { revision: 900, zones: vec!["b".into()] };
    let from = identity("peer", "b", 250);
    let messages = vec![Message::Evacuations(notice)];
    control.deliver(Batch { from, session: 1, sequence: 1, messages }).await.unwrap();
    wait_for(&log, &["zone evacuated"]).await;
    assert_eq!(store.reads.load(Ordering::Relaxed), 1);
    wait_for(&log, &["zone evacuated", "zone restored"]).await;
    tokio::time::sleep(3 * WATCH).await;
    assert_eq!(store.reads.load(Ordering::Relaxed), 2);
}
