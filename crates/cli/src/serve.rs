//! `serve`: a planner until it is told to stop.

use crate::record::Recording;
use grebespool_engine::Start;
use grebespool_planner::{Untouched, serve as serve_planner};
use grebespool_settings::Planned;
use grebespool_wire::Key;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::Instant;
use tracing::warn;

/// An interrupt, or what service managers send.
async fn told_to_stop() -> std::io::Result<()> {
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        stopped = tokio::signal::ctrl_c() => stopped,
        _ = terminated.recv() => Ok(()),
    }
}

/// Runs until interrupted. Errors are bad input, or an address that cannot be had.
pub fn serve(
    file: &Path,
    listen: Option<SocketAddr>,
    record: Option<&Path>,
    cloak: Option<&Path>,
) -> Result<ExitCode, String> {
    let Planned { deployment, listen: stated, list, probe_limit } =
        Planned::read(file).map_err(|bad| bad.to_string())?;
    let key_file = &stated.key_file;
    let key = std::fs::read(key_file)
        .map_err(|e| format!("{}: listen.key_file: {}: {e}", file.display(), key_file.display()))?;
    if key.len() < 16 {
        return Err(format!("{}: a key has at least 16 bytes; this has {}", key_file.display(), key.len()));
    }
    let start = Start { id: rand::random::<u64>() | 1, seed: rand::random() };
    let recording = match record {
        Some(path) => Recording::begin(path, cloak, start.id, &deployment)?,
        None => Recording::none(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let address = listen.unwrap_or(stated.address);
        let listener =
            TcpListener::bind(address).await.map_err(|e| format!("cannot listen at {address}: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        // For whoever starts it with port 0; standard output has nothing else.
        println!("listening at {address}");
        std::io::stdout().flush().map_err(|e| e.to_string())?;
        let began = Instant::now();
        let serving = serve_planner(
            listener,
            start,
            Key::derive(&key),
            deployment,
            stated,
            list,
            probe_limit.0,
            Untouched,
            recording.clone(),
        );
        tokio::select! {
            ended = serving => ended.map_err(|why| format!("{}: {why}", file.display()))?,
            stopped = told_to_stop() => stopped.map_err(|e| e.to_string())?,
        }
        let lost = recording.finish(began.elapsed())?;
        if lost > 0 {
            warn!(lost, "events are missing in the recording: its disk did not keep up");
        }
        Ok(ExitCode::SUCCESS)
    })
}
