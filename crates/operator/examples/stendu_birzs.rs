//! Configuration of a stand booking scheduler: four zones, two teams, three kinds of task.
//!
//! Prints the configuration: `cargo run --example stendu_birzs > stendu-birzs.json`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use coltsfootshunt_core::config::Resources;
use coltsfootshunt_operator::{Configuration, Error, Kind, Target, Team};

const ZONES: [&str; 4] = ["riga-centrs", "riga-ziemeli", "riga-kurzeme", "riga-latgale"];
const TARGETS: u8 = 50;
const TARGET_PORT: u16 = 7000;

fn main() -> Result<(), Error> {
    let configuration = Configuration::new()
        .team(Team::new("fairs").share(2))
        .team(Team::new("exhibitors").share(3))
        .kind(Kind::new("stand-hold", 80).non_idempotent())
        .kind(Kind::new("floor-plan-check", 400))
        .kind(Kind::new("invoice-draft", 250).non_idempotent())
        .targets((0..TARGETS).map(target));
    println!("{}", configuration.into_json()?);
    Ok(())
}

fn target(number: u8) -> Target {
    let zone = ZONES[usize::from(number) % ZONES.len()];
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, 0, number + 1)), TARGET_PORT);
    let resources = Resources { cores: 32, memory_mib: 128 << 10, accelerators: 0 };
    Target::new(&format!("booking-{number}"), zone, address).has(resources)
}
