//! Starts the process and ends it when a signal arrives.

use crate::config_file::{ConfigFileError, read_config};
use crate::tasks::serve;
use grebespool_platform_protocol::PlannerConfig;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tracing::info;

/// The environment variable with the path of the start file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// The exit code of a planner that cannot start.
const EXIT_CANNOT_START: u8 = 2;
/// The number of connections that may wait to be accepted: all proxies may connect at once.
const ACCEPT_BACKLOG: u32 = 1024;

/// The reason why a planner cannot start. The launcher's tests match parts of the texts.
#[derive(Debug, Error)]
enum StartError {
    #[error("GW_CONFIG is not set: expected the path of the file that the platform starts a planner with")]
    NoConfigFile,
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    #[error(transparent)]
    Runtime(#[from] io::Error),
    #[error("cannot listen at {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
}

/// Runs a planner as the platform starts it, until SIGTERM or SIGINT arrives. Returns exit code 2 if the planner cannot
/// start.
pub fn run() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("grebespool: {error}");
            ExitCode::from(EXIT_CANNOT_START)
        }
    }
}

fn start() -> Result<(), StartError> {
    let file = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from).ok_or(StartError::NoConfigFile)?;
    let config = read_config(&file)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve_until_stopped(config, file))
}

async fn serve_until_stopped(config: PlannerConfig, file: PathBuf) -> Result<(), StartError> {
    // The handlers are installed before the planner listens: a signal without a handler would kill the process.
    let hangups = signal(SignalKind::hangup())?;
    let mut terminations = signal(SignalKind::terminate())?;
    let mut interrupts = signal(SignalKind::interrupt())?;
    let address = config.listen;
    let listener = listen(address).map_err(|source| StartError::Listen { address, source })?;
    info!(name = config.name, listen = %address, discovery = %config.discovery, "starting");
    tokio::select! {
        () = serve(listener, config, file, hangups) => {}
        _ = terminations.recv() => info!(signal = "SIGTERM", "stopping"),
        _ = interrupts.recv() => info!(signal = "SIGINT", "stopping"),
    }
    Ok(())
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
