//! Reads the file that the platform starts a planner with (the start file).

use grebespool_platform_protocol::{ConfigError, PlannerConfig};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The reason why the start file cannot be used.
#[derive(Debug, Error)]
pub(crate) enum ConfigFileError {
    #[error("{}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    Invalid { path: PathBuf, source: ConfigError },
}

/// Reads and parses the start file.
pub(crate) fn read_config(path: &Path) -> Result<PlannerConfig, ConfigFileError> {
    let text = std::fs::read(path)
        .map_err(|source| ConfigFileError::Unreadable { path: path.to_path_buf(), source })?;
    PlannerConfig::parse(&text)
        .map_err(|source| ConfigFileError::Invalid { path: path.to_path_buf(), source })
}
