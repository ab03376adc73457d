//! Commands for the shared configuration.

use crate::core::Core;
use crate::request::{ConfigurationStatus, Response};
use grebespool_config_consensus::{Change, ProposalOutcome, VersionId};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Maximum time that an operator waits for the outcome of a proposal. Without a quorum the proposal stays undecided.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(8);

/// Returns the configuration versions of this member.
pub(super) fn show(core: &Core) -> Response {
    let Some(host) = &core.configuration else { return not_configured() };
    let node = host.node.borrow();
    let status = node.status(core.now());
    let shown = |id: VersionId| (id.number, id.hash.to_string());
    Response::Configuration(Box::new(ConfigurationStatus {
        name: core.endpoint.name.clone(),
        active: status.active,
        committed: shown(status.committed),
        pending: status.pending.map(shown),
        coordinator: status.coordinator.map(|coordinator| core.member_name(coordinator.member)),
        undecided_proposals: status.undecided_proposals,
        effective: node.effective_configuration(),
    }))
}

/// Proposes changes, and waits for the outcome.
pub(super) async fn propose(core: &Core, changes: Vec<Change>, forced: bool) -> Response {
    let Some(host) = &core.configuration else { return not_configured() };
    let (decided, outcome) = oneshot::channel();
    let proposed = core.call_configuration(|node, now| {
        let proposed = node.propose(now, changes, forced);
        if let Ok(id) = &proposed {
            // Inserted within the call, since the outcome may be known before `call_configuration` returns.
            host.outcome_senders.borrow_mut().insert(*id, decided);
        }
        proposed
    });
    match proposed {
        Some(Ok(_)) => {}
        Some(Err(error)) => return Response::Rejected(error.to_string()),
        None => return not_configured(),
    }
    match timeout(OUTCOME_TIMEOUT, outcome).await {
        Ok(Ok(ProposalOutcome::Activated(number))) => Response::Done(format!("edition {number} holds")),
        Ok(Ok(ProposalOutcome::Rejected(reasons))) => Response::Rejected(reasons.join("; ")),
        _ => Response::Rejected(format!(
            "nothing is agreed yet after {OUTCOME_TIMEOUT:?}; it is proposed again until it is answered, while this \
             member runs"
        )),
    }
}

fn not_configured() -> Response {
    Response::Rejected("no editions are agreed on: members.duties.agree is not set".into())
}
