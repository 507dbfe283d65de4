//! The worked examples of both users build and print.

use coltsfootshunt_core::config::{Config, Draft};
use coltsfootshunt_operator::{Configuration, Error, Kind, Target, Team};

#[test]
fn printed_configuration_reads_back_as_the_same() {
    let address = "127.0.0.1:9".parse().expect("an address");
    let configuration = || {
        Configuration::new()
            .team(Team::new("fairs").share(2))
            .kind(Kind::new("stand-hold", 80).non_idempotent())
            .kind(Kind::new("preview", 80).rerun_lost())
            .target(Target::new("one", "riga", address).slots(4))
    };
    let printed = configuration().print().expect("it is right");
    let draft: Draft = serde_json::from_str(&printed).expect("it is JSON of the right form");
    assert_eq!(Config::try_from(draft), configuration().build());
}

#[test]
fn wrong_configuration_is_not_printed() {
    let twice = Configuration::new().team(Team::new("a")).team(Team::new("a"));
    assert!(matches!(twice.print(), Err(Error::Duplicate { list: "teams", index: 1, .. })));
    let rerun = Configuration::new().kind(Kind::new("k", 1).non_idempotent().rerun_lost());
    assert!(matches!(rerun.print(), Err(Error::RerunNotIdempotent { index: 0 })));
}
