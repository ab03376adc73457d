//! The binary `grebespool`: runs a planner on the operators' platform itself, and becomes the full command line
//! (`crates/cli`) for everything else.
//!
//! It calls cargo to build that command line where it is needed. Operators build with a plain `cargo build --release`,
//! which must stay light, so the command line's heavier crates are not part of that build; and the binary that a plain
//! `cargo run` finds is this one. So `grebespool COMMAND` works from a checkout with a toolchain, and only there; the
//! planner itself needs neither.

use grebespool_platform_server::BackgroundLog;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, ExitCode};

/// The subcommand that this binary runs itself.
const PLATFORM_COMMAND: &str = "platform";
/// The exit code where cargo cannot be started.
const EXIT_NO_CARGO: u8 = 2;

fn main() -> ExitCode {
    if std::env::args_os().skip(1).eq([PLATFORM_COMMAND]) {
        return run_planner();
    }
    eprintln!("grebespool: building the command line if it is not built yet (minutes, the first time)");
    let error = become_command_line();
    eprintln!("grebespool: cargo cannot be started to build the command line: {error}");
    ExitCode::from(EXIT_NO_CARGO)
}

fn run_planner() -> ExitCode {
    let log = BackgroundLog::start();
    let exit_code = grebespool_platform_server::run();
    log.finish();
    exit_code
}

/// Replaces this process by cargo, which builds and runs the command line with this process' arguments. Returns only if
/// that fails.
fn become_command_line() -> io::Error {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["run", "--quiet", "--release", "--locked", "--bin", "grebespool-cli"]);
    command.args(["-p", "grebespool-cli", "--manifest-path"]).arg(manifest).arg("--");
    command.args(std::env::args_os().skip(1));
    command.exec()
}
