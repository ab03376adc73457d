//! Runs a planner on the platform's protocol itself; for all else it builds the command line (`crates/cli`) where that
//! is needed, and becomes it.
//!
//! Operators build the adapter with a plain `cargo build --release`, which must not pull in the crates that
//! the command line needs; so the binary that a plain `cargo run` finds is this one.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, ExitCode};

fn main() -> ExitCode {
    if std::env::args_os().skip(1).eq(["platform"]) {
        let log = grebespool_platform_server::Log::start();
        let ended = grebespool_platform_server::run();
        log.end();
        return ended;
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut program = Command::new(cargo);
    program.args(["run", "--quiet", "--release", "--locked", "--bin", "grebespool-cli"]);
    program.args(["-p", "grebespool-cli", "--manifest-path"]).arg(root).arg("--");
    program.args(std::env::args_os().skip(1));
    eprintln!("grebespool: building the command line if it is not built yet (minutes, the first time)");
    let error = program.exec();
    eprintln!("grebespool: cargo cannot be started to build the command line: {error}");
    ExitCode::from(2)
}
