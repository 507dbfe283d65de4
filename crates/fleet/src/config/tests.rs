use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::{Kind, Service};
use coltsfootshunt_testkit::cases;

use super::{Document, Holder, Limits, Route};

pub(crate) fn route(kind: &str, prefix: &str) -> Route {
    Route {
        kind: Kind::try_from(kind).unwrap(),
        authority: "jobs.example".into(),
        prefix: prefix.into(),
        service: Service::try_from("mill").unwrap(),
        priority: 0,
        attempts: 2,
        timeout: Duration::from_millis(1_500),
        stretch: 1.6,
        allowance: Duration::from_millis(60),
    }
}

pub(crate) fn document(version: u64, routes: Vec<Route>) -> Document {
    let limits = Limits {
        header_bytes: 16_384,
        body_bytes: 262_144,
        read_within: Duration::from_secs(3),
        idle_within: Duration::from_secs(15),
    };
    Document { version, routes, limits }
}

fn in_force(offers: &[u64], version: u64) {
    let mut holder = Holder::default();
    for offer in offers {
        holder.offer(Arc::new(document(*offer, Vec::new())));
    }
    assert_eq!(holder.version(), version);
}

cases! { in_force:
    the_first(&[7], 7);
    the_highest(&[7, 12], 12);
    never_an_older_one(&[12, 7], 12);
}

fn routes(authority: &str, path: &str, kind: Option<&str>) {
    let document = document(1, vec![route("wide", "/a/"), route("narrow", "/a/b/")]);
    let found = document.route(authority, path).map(|route| route.kind.to_string());
    assert_eq!(found.as_deref(), kind);
}

cases! { routes:
    by_prefix("jobs.example", "/a/1", Some("wide"));
    by_the_longest_prefix("jobs.example", "/a/b/1", Some("narrow"));
    by_authority("other.example", "/a/1", None);
    whatever_its_case("Jobs.Example", "/a/1", Some("wide"));
}
