//! The binary `grebespool`, which runs a planner on the operators' platform, and replaces its process by the full command
//! line (`crates/cli`) for all other commands.
//!
//! Operators build with a plain `cargo build --release`, which must stay light, so the heavier crates of the command line
//! are not part of that build; and a plain `cargo run` runs this binary. The binary therefore calls cargo to build the
//! command line when a command needs it, so `grebespool COMMAND` works only from a checkout with a toolchain. The planner
//! needs neither.

use grebespool_platform_server::BackgroundLog;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, ExitCode};

/// Subcommand that this binary runs without the command line.
const PLATFORM_COMMAND: &str = "platform";
/// Exit code if cargo cannot be started.
const EXIT_NO_CARGO: u8 = 2;

fn main() -> ExitCode {
    if std::env::args_os().skip(1).eq([PLATFORM_COMMAND]) {
        return run_planner();
    }
    eprintln!("grebespool: building the command line if it is not built yet (minutes, the first time)");
    let error = exec_command_line();
    eprintln!("grebespool: cannot start cargo to build the command line: {error}");
    ExitCode::from(EXIT_NO_CARGO)
}

fn run_planner() -> ExitCode {
    let log = BackgroundLog::start();
    let exit_code = grebespool_platform_server::run();
    log.finish();
    exit_code
}

/// Replaces this process by cargo, which builds and runs the command line with the arguments of this process. Returns only
/// if cargo cannot be started.
fn exec_command_line() -> io::Error {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["run", "--quiet", "--release", "--locked", "--bin", "grebespool-cli"]);
    command.args(["-p", "grebespool-cli", "--manifest-path"]).arg(manifest).arg("--");
    command.args(std::env::args_os().skip(1));
    command.exec()
}
