//! What operators ask of a member, and what it answers.

use grebespool_config_consensus::{ActiveVersions, Change, EffectiveConfiguration};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// A request of an operator.
// on the wire, and JSON: do not rename variants and keys, do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// The state of the member and its election.
    #[serde(rename = "Show")]
    ShowMember,
    /// Adds the member that listens at this address.
    Add {
        /// Its name.
        name: String,
        /// Its address.
        address: String,
    },
    /// Removes a member.
    Remove {
        /// Its name.
        name: String,
    },
    /// Has the leader step down.
    StepDown,
    /// Who holds the lease of which singleton task; asked of the leader.
    #[serde(rename = "Duties")]
    ShowTasks,
    /// An order on a singleton task; asked of the leader.
    #[serde(rename = "Duty")]
    Task {
        /// Name of the task.
        name: String,
        /// The order.
        order: TaskOrder,
    },
    /// The configuration versions of this member.
    #[serde(rename = "Editions")]
    ShowConfiguration,
    /// Proposes changes of the shared configuration.
    Propose {
        /// The changes.
        changes: Vec<Change>,
        /// Whether they may withdraw more capacity at once than is allowed.
        forced: bool,
    },
    /// The state of all sites; asked of the leader.
    #[serde(rename = "Sites")]
    ShowSites,
    /// Takes a site out of service, or lets it back; asked of the leader.
    Site {
        /// Name of the site.
        site: String,
        /// Whether it is taken out.
        out: bool,
        /// Whether it is done against a warning.
        forced: bool,
        /// Whether it only tells what it would do.
        #[serde(rename = "dry")]
        dry_run: bool,
    },
}

/// An order on a singleton task.
// on the wire, and JSON: do not rename variants, do not reorder
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOrder {
    /// Moves its lease to the member of this name.
    Move(String),
    /// Suspends it for so many milliseconds.
    #[serde(rename = "Hold")]
    Suspend(u64),
    /// Ends a suspension or a move.
    Release,
}

/// A request on sites, for whoever plans while this member leads.
pub struct SiteRequest {
    /// The request.
    pub request: Request,
    /// Where the response goes.
    pub response: oneshot::Sender<Response>,
}

/// A member of the membership, as another member sees it.
// on the wire, and JSON: do not rename keys, do not reorder
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its id.
    pub id: u64,
    /// Whether it does not answer heartbeats; known to the leader only.
    pub missing: bool,
}

/// The response to a request.
// on the wire, and JSON: do not rename variants and keys, do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The state of a member and its election.
    Status {
        /// Its name.
        name: String,
        /// "leads", "follows", "alone" or "mute".
        standing: String,
        /// The leader's name, where one is known.
        leader: Option<String>,
        /// The term.
        #[serde(rename = "epoch")]
        term: u64,
        /// Since when it has this standing, in milliseconds.
        since_ms: u64,
        /// Why it stepped down last.
        #[serde(rename = "stood_down")]
        stepped_down: Option<String>,
        /// The members of the membership.
        members: Vec<MemberStatus>,
        /// Whether a quorum has the membership.
        settled: bool,
        /// The newest leader's snapshot on this member's disk: term, number, and age in milliseconds.
        #[serde(rename = "memory")]
        snapshot: Option<(u64, u64, u64)>,
        /// Peers and frames that were rejected since the start.
        #[serde(rename = "refused")]
        rejections: u64,
    },
    /// It is done.
    Done(String),
    /// It is not done, for this reason.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// A line for each thing that was asked for.
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
    /// The versions that it applies.
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
    /// Proposals of this member that are undecided.
    #[serde(rename = "waiting")]
    pub undecided_proposals: usize,
    /// The configuration that it applies.
    #[serde(rename = "view")]
    pub effective: EffectiveConfiguration,
}
