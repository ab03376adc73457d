//! Why a command cannot do what it was asked. The text follows `grebespool: ` on standard error.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The error of another package, whose text says what is wrong.
type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A settings, day or sweep file cannot be used; the text names the file and the place.
    #[error(transparent)]
    Settings(#[from] grebespool_settings::Bad),
    /// Another file cannot be used.
    #[error("{}: {cause}", path.display())]
    File { path: PathBuf, cause: Cause },
    /// The system refuses something that is no file of the caller's.
    #[error(transparent)]
    System(#[from] io::Error),
    /// An answer cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A value of an argument is out of range or malformed.
    #[error("{argument}: {problem}")]
    Argument { argument: String, problem: String },
    /// Arguments that contradict each other.
    #[error("{0}")]
    Usage(String),
    /// A filter of log lines cannot be parsed.
    #[error("--log {filter:?}: {cause}")]
    LogFilter { filter: String, cause: tracing_subscriber::filter::ParseError },
    /// A day on sockets ended early.
    #[error("the day broke off: {0}")]
    DayBrokeOff(io::Error),
    /// A day cannot be simulated.
    #[error(transparent)]
    Simulation(#[from] grebespool_simulation::Unplayable),
    /// Variants cannot be compared.
    #[error(transparent)]
    Replay(#[from] grebespool_replay::Unswept),
    /// Recordings cannot be merged.
    #[error(transparent)]
    Merge(grebespool_trace::Flaw),
    /// A recording cannot be finished.
    #[error("the recording: {0}")]
    Recording(io::Error),
    /// The accounts of a fleet's singleton tasks cannot be read.
    #[error("the accounts: {0}")]
    Accounts(io::Error),
    /// The variant of a sweep has an unusable day.
    #[error("{}: day {day}, variant {variant:?}: {cause}", sweep.display())]
    Variant { sweep: PathBuf, day: String, variant: String, cause: Box<CommandError> },
}

impl CommandError {
    /// A function that names the file in the error of whatever was done with it.
    pub(crate) fn file<E: Into<Cause>>(path: &Path) -> impl Fn(E) -> CommandError + '_ {
        |cause| CommandError::File { path: path.to_path_buf(), cause: cause.into() }
    }

    /// The value of an argument cannot be used.
    pub(crate) fn argument(argument: impl Into<String>, problem: impl Into<String>) -> Self {
        CommandError::Argument { argument: argument.into(), problem: problem.into() }
    }
}
