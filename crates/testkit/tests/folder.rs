//! The log of an earlier test in the folder of a cluster once counted as the log of the present one:
//! folders were named after ports, which recur.

use std::path::Path;

use coltsfootshunt_testkit::{cases, new_folder};

/// Creates folders in one parent, leaves a file in each, and checks that each is empty at first.
fn folders_are_new(count: usize) {
    let parent = Path::new(env!("CARGO_TARGET_TMPDIR"));
    for _ in 0..count {
        let folder = new_folder(parent, "folder-test");
        assert_eq!(std::fs::read_dir(&folder).expect("it can be read").count(), 0);
        std::fs::write(folder.join("a-1.log"), "a line").expect("it can be written");
    }
}

cases! { folders_are_new:
    within_a_process(3);
}
