//! Dense zones, whose targets several hosts share, under one fault each.

use super::simulation::Simulation;

/// Guards against a dense zone that stays with one steward, and a target without a holder or with two.
#[test]
fn dense_zones_are_split() {
    let mut sim = Simulation::dense(1);
    sim.run_for(8_000);
    for zone in ["a", "b"] {
        let lead = sim.stewards(zone)[0];
        let members = sim.members(lead);
        assert_eq!((members.len(), members[0]), (2, lead));
        assert_eq!(sim.members(members[1]), members);
        assert!(sim.is_covered(zone), "{:?}", sim.holders_by_target(zone));
        let holders = sim.holders_by_target(zone);
        assert!(
            members.iter().all(|host| holders.values().any(|at| at.contains(host))),
            "{holders:?}"
        );
    }
    assert_eq!(sim.violations, Vec::<String>::new());
}
