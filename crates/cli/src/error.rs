//! The errors of commands. Their text follows `grebespool: ` on standard error.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The error of another package, whose text describes the problem.
type Cause = Box<dyn std::error::Error + Send + Sync>;

/// The reason why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A settings, day or sweep file cannot be used; the text names the file and the place.
    #[error(transparent)]
    Settings(#[from] grebespool_settings::SettingsError),
    /// Another file cannot be used.
    #[error("{}: {cause}", path.display())]
    File { path: PathBuf, cause: Cause },
    /// A system call failed on something other than a file of the caller.
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
    Simulation(#[from] grebespool_simulation::SimulationError),
    /// Variants cannot be compared.
    #[error(transparent)]
    Replay(#[from] grebespool_replay::ExperimentError),
    /// Recordings cannot be merged.
    #[error(transparent)]
    Merge(grebespool_trace::ReadError),
    /// A recording cannot be finished.
    #[error("the recording: {0}")]
    Recording(io::Error),
    /// Settings without the part on members.
    #[error("{}: members: missing; expected this controller's settings as a member", settings.display())]
    NoMembers { settings: PathBuf },
    /// The state folder was formed with other members than the settings name.
    #[error("{}: members: these are not the members that {} was formed with", settings.display(), folder.display())]
    OtherMembers { settings: PathBuf, folder: PathBuf },
    /// A member's state folder cannot be used.
    #[error(transparent)]
    Store(#[from] grebespool_cluster::StoreError),
    /// A member cannot start.
    #[error(transparent)]
    MemberStart(#[from] grebespool_cluster::StartError),
    /// The member's background tasks ended while the member was in use.
    #[error("the member has ended")]
    MemberEnded,
    /// A member does not answer.
    #[error("{address}: {cause}")]
    Member { address: String, cause: Cause },
    /// No leader is known to the member that was asked.
    #[error("no leader is known; nothing is changed without one")]
    NoLeader,
    /// A member rejected the request, with the reason.
    #[error("{0}")]
    Rejected(String),
    /// A member's answer is of another kind than the request.
    #[error("the member sent an answer of another kind than the request")]
    UnexpectedAnswer,
    /// A file of changes to the configuration is malformed.
    #[error("{}: at {place}: {cause}", file.display())]
    Changes { file: PathBuf, place: String, cause: serde_json::Error },
    /// The key file of the settings cannot be read.
    #[error("{}: listen.key_file: {}: {cause}", settings.display(), key_file.display())]
    KeyFile { settings: PathBuf, key_file: PathBuf, cause: io::Error },
    /// The key is too short to be secret.
    #[error("{}: a key has at least {min} bytes; this has {length}", key_file.display())]
    ShortKey { key_file: PathBuf, min: usize, length: usize },
    /// The runtime cannot be set up.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// An address cannot be listened at. `whom` is empty, or names the clients of the address.
    #[error("cannot listen{whom} at {address}: {cause}")]
    Listen { whom: &'static str, address: SocketAddr, cause: io::Error },
    /// A file that has to state capacities is not a day file.
    #[error(
        "{0}\nA plan needs what there is and what is asked: a day file, as settings state no capacities."
    )]
    NoCapacities(grebespool_settings::SettingsError),
    /// The accounts of a fleet's singleton tasks cannot be read.
    #[error("the accounts: {0}")]
    Accounts(io::Error),
    /// The variant of a sweep has an unusable day.
    #[error("{}: day {day}, variant {variant:?}: {cause}", sweep.display())]
    Variant { sweep: PathBuf, day: String, variant: String, cause: Box<CommandError> },
}

impl CommandError {
    /// Returns a function that adds the file's path to an error.
    pub(crate) fn file<E: Into<Cause>>(path: &Path) -> impl Fn(E) -> CommandError + '_ {
        |cause| CommandError::File { path: path.to_path_buf(), cause: cause.into() }
    }

    /// Creates the error of an argument whose value cannot be used.
    pub(crate) fn argument(argument: impl Into<String>, problem: impl Into<String>) -> Self {
        CommandError::Argument { argument: argument.into(), problem: problem.into() }
    }
}
