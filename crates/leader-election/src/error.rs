//! Why a request to a member is rejected.

use thiserror::Error;

/// Why a membership change, a leadership transfer or a peer is rejected.
// On the wire: the command socket answers with these texts; do not reword.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum MembershipError {
    /// Only the leader can do this.
    #[error("this member does not lead{}", leader.as_ref().map_or(String::new(), |l| format!("; {l} does")))]
    NotLeader {
        /// The leader's name, as far as this member knows.
        leader: Option<String>,
    },
    /// The previous membership change is not committed yet.
    #[error("the last change of members is not yet known to a majority; again in a moment")]
    ChangePending,
    /// A voter of this name or id exists.
    #[error("{0:?} takes part already")]
    AlreadyMember(String),
    /// No voter has this name.
    #[error("no member {0:?}")]
    UnknownMember(String),
    /// There would be no voter left.
    #[error("the last member cannot be removed")]
    LastMember,
    /// A peer lost writes that it had reported as durable.
    #[error(
        "its state is older than what it told before ({reported} after {known}): a restored copy may vote twice; replace \
         the member"
    )]
    StaleState {
        /// The revision of its hard state that the peer reports.
        reported: u64,
        /// The newest revision that it reported before.
        known: u64,
    },
    /// The peer is no voter of this fleet.
    #[error("it takes no part in this fleet")]
    NotAMember,
}
