//! Writes the session manager's events to the log, with their values as fields.

use grebespool::host::EndpointState;
use grebespool_platform_protocol::{
    EndpointGroup, Event, StreamChange, TableChange, TableWeights, Warning, WarningKind,
};
use tracing::field::display;
use tracing::{debug, info, warn};

/// Writes an event to the log.
pub(crate) fn log_event(event: &Event) {
    match event {
        Event::Warning(warning) => log_warning(warning),
        Event::EndpointListChanged { version, since, groups } => log_list(*version, *since, groups),
        Event::Streams { change, proxies } => match change {
            StreamChange::Joined => info!(%proxies, "adding proxies that have joined"),
            StreamChange::Bound => info!(%proxies, "writing full tables to proxies"),
            StreamChange::Left => info!(%proxies, "removing proxies that have left"),
            StreamChange::Closed => info!(%proxies, "closing the streams of proxies"),
            StreamChange::Replaced => info!(%proxies, "replacing the streams of proxies"),
        },
        Event::Servers { change, servers } => match change {
            TableChange::Removed => info!(%servers, "removing servers from tables"),
            TableChange::Restored => info!(%servers, "restoring servers in tables"),
        },
        Event::TableWeights(weights) => log_weights(weights),
    }
}

fn log_warning(warning: &Warning) {
    let Warning { kind, cause, suppressed } = warning;
    match kind {
        WarningKind::KnownListRejected => {
            warn!(
                %cause,
                suppressed,
                "cannot use the known endpoint list of the start file; requesting the list from discovery"
            );
        }
        WarningKind::AcceptFailed => warn!(%cause, suppressed, "cannot accept a connection; retrying"),
        WarningKind::UnknownPeerClosed => {
            warn!(%cause, suppressed, "closing a connection that has not joined");
        }
        WarningKind::CollectorClosed => warn!(%cause, suppressed, "closing the connection of a collector"),
        WarningKind::StreamClosed => warn!(%cause, suppressed, "closing the stream of a proxy"),
        WarningKind::MessageDropped => warn!(%cause, suppressed, "dropping a message"),
        WarningKind::ListRequestFailed => warn!(%cause, suppressed, "cannot get the endpoint list; retrying"),
        WarningKind::ListPartlyRejected => warn!(%cause, suppressed, "ignoring part of the endpoint list"),
    }
}

fn log_list(version: Option<u64>, since: Option<u64>, groups: &[EndpointGroup]) {
    let group = |state: EndpointState| groups.iter().find(|group| group.state == state);
    let count = |state| group(state).map(|group| group.servers.total());
    let names = |state| group(state).map(|group| display(&group.servers));
    info!(
        version,
        since,
        draining_count = count(EndpointState::Draining),
        draining = names(EndpointState::Draining),
        removed_count = count(EndpointState::Removed),
        removed = names(EndpointState::Removed),
        ready_count = count(EndpointState::Ready),
        ready = names(EndpointState::Ready),
        "applying changes of the endpoint list"
    );
}

fn log_weights(weights: &TableWeights) {
    let TableWeights { table, proxies, sum, changed } = weights;
    let changed: Vec<String> = changed.iter().map(ToString::to_string).collect();
    debug!(
        table,
        proxies,
        sum = %format_args!("{sum:.3}"),
        changed = %changed.join(" "),
        "reporting table weights"
    );
}
