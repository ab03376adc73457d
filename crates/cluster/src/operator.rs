//! What operators ask of a member.

use crate::keys::Keys;
use crate::seal::{Own, Packet, Sealed};
use grebespool_config_consensus::{ActiveVersions as Acts, Change, EffectiveConfiguration as View};
use serde::{Deserialize, Serialize};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Question {
    Show,
    /// The member that listens at this address takes part from here on.
    Add {
        name: String,
        address: String,
    },
    Remove {
        name: String,
    },
    StepDown,
    /// Who owns which duty; asked of the leader.
    Duties,
    Duty {
        name: String,
        order: DutyOrder,
    },
    /// What this member holds of editions, and by what it acts at this moment.
    Editions,
    /// Changes of what all share, on top of whatever stands.
    Propose {
        changes: Vec<Change>,
        /// More may be withdrawn at once than is allowed.
        forced: bool,
    },
    /// What stands of each site; asked of the leader.
    Sites,
    /// Takes a site out, or lets it back; asked of the leader.
    Site {
        site: String,
        out: bool,
        forced: bool,
        /// Only says what it would do.
        dry: bool,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyOrder {
    /// To the member of this name.
    Move(String),
    /// Nobody works on it for so many milliseconds.
    Hold(u64),
    /// Ends a hold, or the wish that a certain member has it.
    Release,
}

/// A question on sites, for whoever plans while this member leads.
pub struct SiteAsked {
    pub question: Question,
    pub answer: tokio::sync::oneshot::Sender<Answer>,
}

/// A member as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    pub name: String,
    pub address: String,
    pub id: u64,
    /// Known to the leader only.
    pub missing: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Status {
        name: String,
        /// "leads", "follows", "alone", "mute".
        standing: String,
        leader: Option<String>,
        epoch: u64,
        since_ms: u64,
        stood_down: Option<String>,
        members: Vec<Shown>,
        settled: bool,
        /// Of the newest memory on this member's disk: whose epoch, which, and how old.
        memory: Option<(u64, u64, u64)>,
        /// Peers and frames that were refused since the start.
        refused: u64,
    },
    Done(String),
    Refused(String),
    /// A line for each thing that is told.
    Lines(Vec<String>),
    Editions(Box<Editions>),
}

/// How a member stands with editions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Editions {
    pub name: String,
    pub acts: Acts,
    /// By number and hash.
    pub standing: (u64, String),
    pub next: Option<(u64, String)>,
    pub convener: Option<String>,
    /// Proposals of this member that are not answered.
    pub waiting: usize,
    /// What it goes by, of one edition or the stricter of two.
    pub view: View,
}

/// Asks a member on behalf of an operator who holds the key.
///
/// # Errors
///
/// The stream's; `PermissionDenied` where it does not take the key.
pub async fn ask(address: &str, fleet: u64, keys: &Keys, question: Question) -> io::Result<Answer> {
    let asking = async {
        let stream = TcpStream::connect(address).await?;
        let mut sealed = Sealed::dial(stream, Own { fleet, id: 0 }, keys).await?;
        sealed.meet("operator", 0).await?;
        sealed.say(&Packet::Question(question)).await?;
        match sealed.hear().await? {
            Packet::Answer(answer) => Ok(answer),
            Packet::Refused(why) => Err(io::Error::new(io::ErrorKind::PermissionDenied, why)),
            _ => Err(io::Error::new(io::ErrorKind::InvalidData, "it answered something else")),
        }
    };
    timeout(Duration::from_secs(10), asking).await?
}
