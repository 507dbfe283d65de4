//! Processes that run at the same time, with any identifiers, must not share loopback addresses.

use std::process::Command;

use coltsfootshunt_standin::loopback;
use coltsfootshunt_testkit::cases;

/// Set in the processes that [`processes_have_their_own_blocks`] starts.
const IS_CHILD: &str = "COLTSFOOTSHUNT_LOOPBACK_CHILD";

/// Starts this test in other processes while this one holds its block, and compares the blocks.
fn processes_have_their_own_blocks(case: &str, count: usize) {
    let own = loopback::block();
    if std::env::var_os(IS_CHILD).is_some() {
        return println!("block={own}=");
    }
    for _ in 0..count {
        let program = std::env::current_exe().expect("the test has a path");
        let output = Command::new(program)
            .args(["--exact", "--nocapture", case])
            .env(IS_CHILD, "1")
            .output()
            .expect("the test starts");
        let output = String::from_utf8_lossy(&output.stdout).into_owned();
        let block = output.split('=').nth(1).expect("the process prints its block");
        assert_ne!(block, own.to_string());
    }
    assert_eq!(loopback::block(), own);
}

cases! { processes_have_their_own_blocks:
    one_after_the_other("processes_have_their_own_blocks::one_after_the_other", 3);
}
