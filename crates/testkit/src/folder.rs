//! Folders for the files of one test.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Creates a folder in `parent` that did not exist before. A test that gets the folder of an earlier one
/// reads that test's logs as its own.
///
/// # Panics
/// Panics if the folder can't be created.
#[must_use]
pub fn new_folder(parent: &Path, prefix: &str) -> PathBuf {
    std::fs::create_dir_all(parent).expect("the parent folder can be created");
    let process = std::process::id();
    let candidates = (0_u32..).map(|number| parent.join(format!("{prefix}-{process}-{number}")));
    for folder in candidates {
        match std::fs::create_dir(&folder) {
            Ok(()) => return folder,
            // A test at the same time, or of an earlier process with this identifier.
            Err(error) if error.kind() == ErrorKind::AlreadyExists => {}
            Err(error) => panic!("can't create {}: {error}", folder.display()),
        }
    }
    unreachable!("the numbers are not exhausted")
}
