//! Validation and round trip of configurations as JSON.

use coltsfootshunt_core::config::{Config, Draft};
use coltsfootshunt_operator::{Configuration, Error, Kind, Target, Team};

#[test]
fn configuration_survives_a_round_trip_through_json() {
    let address = "127.0.0.1:9".parse().expect("a socket address");
    let configuration = || {
        Configuration::new()
            .team(Team::new("fairs").share(2))
            .kind(Kind::new("stand-hold", 80).non_idempotent())
            .kind(Kind::new("preview", 80).rerun_lost())
            .target(Target::new("one", "riga", address).slots(4))
    };
    let json = configuration().into_json().expect("the configuration is valid");
    let draft: Draft = serde_json::from_str(&json).expect("the JSON decodes as a draft");
    assert_eq!(Config::try_from(draft), configuration().build());
}

#[test]
fn invalid_configuration_is_not_written() {
    let duplicate = Configuration::new().team(Team::new("a")).team(Team::new("a"));
    assert!(matches!(duplicate.into_json(), Err(Error::Duplicate { list: "teams", index: 1, .. })));
    let rerun = Configuration::new().kind(Kind::new("k", 1).non_idempotent().rerun_lost());
    assert!(matches!(rerun.into_json(), Err(Error::RerunNotIdempotent { index: 0 })));
}
