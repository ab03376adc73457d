//! `serve`: a planner until it is told to stop.

use grebespool_engine::Start;
use grebespool_planner::{Untouched, serve as serve_planner};
use grebespool_settings::Planned;
use grebespool_wire::Key;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Runs until interrupted. Errors are bad input, or an address that cannot be had.
pub fn serve(file: &Path, listen: Option<SocketAddr>) -> Result<ExitCode, String> {
    let Planned { deployment, listen: stated, list, probe_limit } =
        Planned::read(file).map_err(|bad| bad.to_string())?;
    let key_file = &stated.key_file;
    let key = std::fs::read(key_file)
        .map_err(|e| format!("{}: listen.key_file: {}: {e}", file.display(), key_file.display()))?;
    if key.len() < 16 {
        return Err(format!("{}: a key has at least 16 bytes; this has {}", key_file.display(), key.len()));
    }
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
        let start = Start { id: rand::random::<u64>() | 1, seed: rand::random() };
        let serving = serve_planner(
            listener,
            start,
            Key::derive(&key),
            deployment,
            stated,
            list,
            probe_limit.0,
            Untouched,
        );
        tokio::select! {
            ended = serving => ended.map_err(|why| format!("{}: {why}", file.display()))?,
            stopped = tokio::signal::ctrl_c() => stopped.map_err(|e| e.to_string())?,
        }
        Ok(ExitCode::SUCCESS)
    })
}
