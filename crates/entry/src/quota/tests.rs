//! Tests of this slice.

use coltsfootshunt_core::config::TeamConfig;
use coltsfootshunt_core::name::Team;
use coltsfootshunt_testkit::cases;

use super::Shares;

fn team(text: &str) -> Team {
    Team::try_from(text).expect("a name")
}

/// A team with a share of `share` that holds `held` of 100 slots, while shares of `active` in all
/// have work waiting.
fn is_over(share: u32, held: u32, active: u32, wanted: bool) {
    let mut shares = Shares::default();
    shares.configure(&[TeamConfig { name: team("team"), share }]);
    for _ in 0..held {
        shares.acquire(&team("team"));
    }
    assert_eq!(shares.account(&team("team")).is_over(active, 100), wanted);
}

cases! { is_over:
    alone_with_some(1, 50, 1, false);
    alone_with_all(1, 100, 1, true);
    half_of_two(1, 49, 2, false);
    more_than_half_of_two(1, 50, 2, true);
    small_share(1, 10, 10, true);
    large_share(9, 89, 10, false);
}

/// What is taken is left again, and no more.
#[test]
fn counts_come_back_to_nothing() {
    let mut shares = Shares::default();
    shares.acquire(&team("a"));
    shares.release(&team("a"));
    shares.release(&team("a"));
    assert_eq!(shares.account(&team("a")).slots_held, 0);
    assert_eq!(shares.iter().count(), 0);
}
