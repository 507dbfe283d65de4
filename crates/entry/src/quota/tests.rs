//! Tests of team shares.

use coltsfootshunt_core::config::TeamConfig;
use coltsfootshunt_core::name::Team;
use coltsfootshunt_testkit::cases;

use super::Shares;

fn team(text: &str) -> Team {
    Team::try_from(text).expect("a valid name")
}

/// Whether a team with `share` that holds `held` of 100 slots is over its share, while the teams
/// with waiting tasks have `active_shares` in total.
fn is_over(share: u32, held: u32, active_shares: u32, expected: bool) {
    let mut shares = Shares::default();
    shares.configure(&[TeamConfig { name: team("team"), share }]);
    for _ in 0..held {
        shares.acquire(&team("team"));
    }
    assert_eq!(shares.account(&team("team")).is_over(active_shares, 100), expected);
}

cases! { is_over:
    only_team_with_some_slots(1, 50, 1, false);
    only_team_with_all_slots(1, 100, 1, true);
    below_half_of_two_shares(1, 49, 2, false);
    half_of_two_shares(1, 50, 2, true);
    small_share(1, 10, 10, true);
    large_share(9, 89, 10, false);
}

/// Released slots leave no account of an unknown team behind, and the count does not go below
/// zero.
#[test]
fn release_removes_unknown_team() {
    let mut shares = Shares::default();
    shares.acquire(&team("a"));
    shares.release(&team("a"));
    shares.release(&team("a"));
    assert_eq!(shares.account(&team("a")).slots_held, 0);
    assert_eq!(shares.iter().count(), 0);
}
