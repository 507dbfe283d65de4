//! Configuration of a shared carving platform: three zones and four competing
//! workshops with equal shares.
//!
//! Prints the configuration: `cargo run --example lastwerk > lastwerk.json`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use coltsfootshunt_core::config::Resources;
use coltsfootshunt_operator::{Configuration, Error, Kind, Target, Team};

const ZONES: [&str; 3] = ["semarang", "solo", "kudus"];
const WORKSHOPS: [&str; 4] = ["workshop-a", "workshop-b", "workshop-c", "workshop-d"];
const TARGETS: u8 = 50;
const TARGET_PORT: u16 = 7000;

fn main() -> Result<(), Error> {
    let teams = WORKSHOPS.into_iter().map(Team::new);
    let configuration = teams
        .fold(Configuration::new(), Configuration::team)
        .kind(Kind::new("carving-step", 200).non_idempotent())
        .kind(Kind::new("billed-carving", 300).non_idempotent())
        .kind(Kind::new("last-preview", 100).rerun_lost())
        .kind(Kind::new("long-carving", 10_000).non_idempotent())
        .targets((0..TARGETS).map(target));
    println!("{}", configuration.into_json()?);
    Ok(())
}

fn target(number: u8) -> Target {
    let zone = ZONES[usize::from(number) % ZONES.len()];
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 2, 0, number + 1)), TARGET_PORT);
    let resources = Resources { cores: 16, memory_mib: 32 << 10, accelerators: 0 };
    Target::new(&format!("carving-{number}"), zone, address).has(resources)
}
