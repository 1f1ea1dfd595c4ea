//! Where the tests find the daemon.

use std::path::PathBuf;

/// Returns the path of the daemon's program, which `cargo xtask test` builds before the tests.
pub fn daemon_program() -> PathBuf {
    let own = std::env::current_exe().expect("the path of the test program");
    let folder = own.parent().and_then(std::path::Path::parent);
    let program = folder.expect("the build folder").join("jackdawpoint-relay");
    assert!(program.exists(), "build the daemon first: cargo xtask test");
    program
}
