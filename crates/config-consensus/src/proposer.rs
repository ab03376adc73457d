//! Proposals of this member that are not decided yet.

use crate::configuration::{Change, EffectiveConfiguration};
use crate::context::Context;
use crate::host::Host;
use crate::message::{MAX_INLINE_BYTES, Message, Proposal, ProposalBody};
use crate::version::{ContentHash, MAX_VERSION_BYTES, ProposalId};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// Maximum number of undecided proposals of one member.
const MAX_UNDECIDED: usize = 1024;
/// Position of the member's start count in a proposal id, in bits; the lower bits count proposals.
const START_COUNT_SHIFT: u32 = 32;

/// Reasons why changes are not proposed.
// the texts are part of responses of `grebespool-cluster` and must not change
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This member already has the maximum number of undecided proposals.
    #[error("{undecided} proposals wait already")]
    TooMany {
        /// Number of undecided proposals.
        undecided: usize,
    },
    /// The changes are larger than the maximum size of a version.
    #[error("{bytes} bytes of changes; {MAX_VERSION_BYTES} can be")]
    TooLarge {
        /// Encoded size of the changes, in bytes.
        bytes: usize,
    },
    /// The changes cannot be encoded.
    #[error(transparent)]
    Encode(#[from] postcard::Error),
}

struct Undecided {
    proposal: Proposal,
    /// The encoded changes if they are too large for a message, otherwise empty.
    bytes: Vec<u8>,
    /// Servers that the proposal takes out of service. This member treats them as draining until the proposal is decided,
    /// since draining is the stricter state.
    withdrawn: Vec<String>,
}

/// The proposals of this member, which are retransmitted until they are decided.
pub(crate) struct Proposer {
    undecided: BTreeMap<ProposalId, Undecided>,
    last_id: ProposalId,
    retransmit_at: Duration,
}

impl Proposer {
    /// Creates the proposer of a member; `start_count` is the number of its starts.
    pub(crate) fn new(start_count: u32) -> Proposer {
        Proposer {
            undecided: BTreeMap::new(),
            last_id: u64::from(start_count) << START_COUNT_SHIFT,
            retransmit_at: Duration::ZERO,
        }
    }

    /// Returns the number of undecided proposals.
    pub(crate) fn undecided_count(&self) -> usize {
        self.undecided.len()
    }

    /// Returns the time at which proposals are sent next.
    pub(crate) fn next_timer(&self) -> Duration {
        if self.undecided.is_empty() { Duration::MAX } else { self.retransmit_at }
    }

    /// Returns true if it is time to send proposals.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        now >= self.retransmit_at
    }

    /// Adds a proposal to the undecided ones; [`Proposer::send`] sends it.
    pub(crate) fn submit(&mut self, changes: Vec<Change>, forced: bool) -> Result<ProposalId, ProposeError> {
        if self.undecided.len() >= MAX_UNDECIDED {
            return Err(ProposeError::TooMany { undecided: self.undecided.len() });
        }
        let bytes = postcard::to_stdvec(&changes)?;
        if bytes.len() > MAX_VERSION_BYTES {
            return Err(ProposeError::TooLarge { bytes: bytes.len() });
        }
        let withdrawn = changes.iter().filter_map(Change::withdrawn_server).cloned().collect();
        let (body, bytes) = if bytes.len() <= MAX_INLINE_BYTES {
            (ProposalBody::Inline(changes), vec![])
        } else {
            (ProposalBody::ByHash(ContentHash::of(&bytes)), bytes)
        };
        self.last_id += 1;
        let proposal = Proposal { id: self.last_id, body, forced };
        self.undecided.insert(self.last_id, Undecided { proposal, bytes, withdrawn });
        Ok(self.last_id)
    }

    /// Sends as many undecided proposals as fit into one message, and sets the retransmission timer.
    pub(crate) fn send(
        &mut self,
        cx: &mut Context<impl Host>,
        coordinator: Option<MemberId>,
        retransmit_after: Duration,
    ) {
        self.retransmit_at = cx.now + retransmit_after;
        let Some(coordinator) = coordinator.filter(|_| !self.undecided.is_empty()) else { return };
        let (mut proposals, mut bytes) = (vec![], 0);
        for undecided in self.undecided.values() {
            bytes += postcard::to_stdvec(&undecided.proposal).map_or(0, |encoded| encoded.len());
            if bytes > MAX_INLINE_BYTES && !proposals.is_empty() {
                break;
            }
            proposals.push(undecided.proposal.clone());
        }
        cx.send(coordinator, Message::Propose { proposals });
    }

    /// Removes a decided proposal. Returns true if it was undecided until now: a decision may be received more than once.
    pub(crate) fn decide(&mut self, id: ProposalId) -> bool {
        self.undecided.remove(&id).is_some()
    }

    /// Marks the servers that undecided proposals withdraw as draining.
    pub(crate) fn drain_withdrawn(&self, effective: &mut EffectiveConfiguration) {
        for name in self.undecided.values().flat_map(|undecided| &undecided.withdrawn) {
            effective.drain(name);
        }
    }

    /// Returns the encoded changes with this hash.
    pub(crate) fn bytes(&self, hash: ContentHash) -> Option<Vec<u8>> {
        let by_hash = ProposalBody::ByHash(hash);
        let undecided = self.undecided.values().find(|undecided| undecided.proposal.body == by_hash)?;
        Some(undecided.bytes.clone())
    }
}
