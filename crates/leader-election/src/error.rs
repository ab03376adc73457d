//! The errors of requests to a member.

use thiserror::Error;

/// The reason for which a member rejects a membership change, a leadership transfer or a peer.
// On the wire: the command socket answers with these texts; do not reword.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum MembershipError {
    /// The request must go to the leader, and this member does not lead.
    #[error("this member does not lead{}", leader.as_ref().map_or(String::new(), |l| format!("; {l} does")))]
    NotLeader {
        /// The leader's name, as far as this member knows.
        leader: Option<String>,
    },
    /// The previous membership change is not committed yet.
    #[error("the last change of members is not yet known to a majority; again in a moment")]
    ChangePending,
    /// A voter with this name or id exists.
    #[error("{0:?} takes part already")]
    AlreadyMember(String),
    /// No voter has this name.
    #[error("no member {0:?}")]
    UnknownMember(String),
    /// The change would remove the only voter, or the leadership transfer has no other voter to go to.
    #[error("the last member cannot be removed")]
    LastMember,
    /// A peer lost writes that it had reported as durable, so it may have forgotten a vote.
    #[error(
        "its state is older than what it told before ({reported} after {known}): a restored copy may vote twice; replace \
         the member"
    )]
    StaleState {
        /// The revision of the peer's hard state that the peer reports now.
        reported: u64,
        /// The newest revision that the peer reported before.
        known: u64,
    },
    /// The peer is not a voter of this fleet.
    #[error("it takes no part in this fleet")]
    NotAMember,
}
