//! Requests of operators to a member, and the member's responses.

use grebespool_config_consensus::{ActiveVersions, Change, EffectiveConfiguration};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// A request of an operator.
// on the wire, and JSON: do not rename variants and keys, do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Requests the state of the member and its election.
    #[serde(rename = "Show")]
    ShowMember,
    /// Adds the member that listens at this address.
    Add {
        /// Name of the member.
        name: String,
        /// Address of the member.
        address: String,
    },
    /// Removes a member.
    Remove {
        /// Name of the member.
        name: String,
    },
    /// Asks the leader to step down.
    StepDown,
    /// Requests the lease holders of all singleton tasks, from the leader.
    #[serde(rename = "Duties")]
    ShowTasks,
    /// Gives an order on a singleton task, to the leader.
    #[serde(rename = "Duty")]
    Task {
        /// Name of the task.
        name: String,
        /// The order.
        order: TaskOrder,
    },
    /// Requests the configuration versions of the member.
    #[serde(rename = "Editions")]
    ShowConfiguration,
    /// Proposes changes to the shared configuration.
    Propose {
        /// The changes.
        changes: Vec<Change>,
        /// True if the changes may withdraw more capacity at once than the rules allow.
        forced: bool,
    },
    /// Requests the state of all sites, from the leader.
    #[serde(rename = "Sites")]
    ShowSites,
    /// Takes a site out of service or returns it to service; sent to the leader.
    Site {
        /// Name of the site.
        site: String,
        /// True to take the site out of service, false to return it.
        out: bool,
        /// True if the request is executed despite a warning.
        forced: bool,
        /// True if the leader only reports what the request would do.
        #[serde(rename = "dry")]
        dry_run: bool,
    },
}

/// An order on a singleton task.
// on the wire, and JSON: do not rename variants, do not reorder
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOrder {
    /// Moves the task's lease to the member of this name.
    Move(String),
    /// Suspends the task for this time, in milliseconds.
    #[serde(rename = "Hold")]
    Suspend(u64),
    /// Ends a suspension or a move.
    Release,
}

/// A request about sites, which the caller of the crate answers while this member leads.
pub struct SiteRequest {
    /// The request.
    pub request: Request,
    /// Channel for the response.
    pub response: oneshot::Sender<Response>,
}

/// A member of the membership, as another member sees it.
// on the wire, and JSON: do not rename keys, do not reorder
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Address of the member.
    pub address: String,
    /// Id of the member.
    pub id: u64,
    /// True if the member does not answer heartbeats; only the leader knows this.
    pub missing: bool,
}

/// The response to a request.
// on the wire, and JSON: do not rename variants and keys, do not reorder, do not reword the texts of responses
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The state of a member and its election.
    Status {
        /// Name of the member.
        name: String,
        /// Role in the election: "leads", "follows", "alone" (no leader is known) or "mute" (the member does not vote).
        standing: String,
        /// Name of the leader, if a leader is known.
        leader: Option<String>,
        /// The term.
        #[serde(rename = "epoch")]
        term: u64,
        /// Time since the member has this role, in milliseconds.
        since_ms: u64,
        /// Reason why the member last stepped down.
        #[serde(rename = "stood_down")]
        stepped_down: Option<String>,
        /// The members of the membership.
        members: Vec<MemberStatus>,
        /// True if a quorum has the membership.
        settled: bool,
        /// The newest leader's snapshot that the member has: term, number, and age in milliseconds.
        #[serde(rename = "memory")]
        snapshot: Option<(u64, u64, u64)>,
        /// Number of rejections of peers and frames since the start.
        #[serde(rename = "refused")]
        rejections: u64,
    },
    /// The request was executed, with this result.
    Done(String),
    /// The request was rejected for this reason.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// The requested information, line by line.
    Lines(Vec<String>),
    /// The configuration versions of a member.
    #[serde(rename = "Editions")]
    Configuration(Box<ConfigurationStatus>),
}

/// The configuration versions of a member.
// on the wire, and JSON: do not rename keys, do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// The member's name.
    pub name: String,
    /// The versions that the member applies.
    #[serde(rename = "acts")]
    pub active: ActiveVersions,
    /// Number and hash of the committed version.
    #[serde(rename = "standing")]
    pub committed: (u64, String),
    /// Number and hash of the pending version.
    #[serde(rename = "next")]
    pub pending: Option<(u64, String)>,
    /// Name of the coordinator.
    #[serde(rename = "convener")]
    pub coordinator: Option<String>,
    /// Number of undecided proposals of this member.
    #[serde(rename = "waiting")]
    pub undecided_proposals: usize,
    /// The configuration that the member applies.
    #[serde(rename = "view")]
    pub effective: EffectiveConfiguration,
}
