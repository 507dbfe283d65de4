use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::{Kind, Service};
use coltsfootshunt_testkit::cases;

use super::{Current, Document, Limits, Route, Stretch};

pub(crate) fn route(kind: &str, prefix: &str) -> Route {
    Route {
        kind: Kind::try_from(kind).unwrap(),
        authority: "jobs.example".into(),
        prefix: prefix.into(),
        service: Service::try_from("mill").unwrap(),
        priority: 0,
        max_attempts: 2,
        timeout: Duration::from_millis(1_500),
        stretch: Stretch::try_from(1.6).unwrap(),
        allowance: Duration::from_millis(60),
    }
}

pub(crate) fn document(version: u64, routes: Vec<Route>) -> Document {
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 262_144,
        read_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Document { version, routes, limits }
}

fn keeps_version(versions: &[u64], version: u64) {
    let mut current = Current::default();
    for version_seen in versions {
        current.replace_if_newer(Arc::new(document(*version_seen, Vec::new())));
    }
    assert_eq!(current.version(), version);
}

cases! { keeps_version:
    the_first(&[7], 7);
    the_highest(&[7, 12], 12);
    not_an_older_one(&[12, 7], 12);
}

fn matches_route(authority: &str, path: &str, kind: Option<&str>) {
    let document = document(1, vec![route("wide", "/a/"), route("narrow", "/a/b/")]);
    let found = document.match_route(authority, path).map(|route| route.kind.to_string());
    assert_eq!(found.as_deref(), kind);
}

cases! { matches_route:
    by_prefix("jobs.example", "/a/1", Some("wide"));
    by_the_longest_prefix("jobs.example", "/a/b/1", Some("narrow"));
    by_authority("other.example", "/a/1", None);
    regardless_of_case("Jobs.Example", "/a/1", Some("wide"));
}

/// A stretch multiplies a time; only finite factors from 0 are valid.
fn stretches(factor: f64, ms: u64, wanted: Option<Duration>) {
    let stretch = Stretch::try_from(factor).ok();
    assert_eq!(stretch.map(|stretch| stretch.apply(Duration::from_millis(ms))), wanted);
}

cases! { stretches:
    by_a_factor(1.5, 100, Some(Duration::from_millis(150)));
    to_zero(0.0, 100, Some(Duration::ZERO));
    up_to_the_longest_duration(1e308, 100, Some(Duration::MAX));
    not_by_a_negative_number(-1.0, 100, None);
    not_by_infinity(f64::INFINITY, 100, None);
    not_by_nan(f64::NAN, 100, None);
}
