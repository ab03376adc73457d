//! Writes the session manager's events to the log, with their values as fields.

use grebespool::host::EndpointState;
use grebespool_platform_protocol::{
    EndpointGroup, Event, StreamChange, TableChange, TableWeights, Warning, WarningKind,
};
use tracing::field::display;
use tracing::{debug, info, warn};

pub(crate) fn log_event(event: &Event) {
    match event {
        Event::Warning(warning) => log_warning(warning),
        Event::EndpointListChanged { version, since, groups } => log_list(*version, *since, groups),
        Event::Streams { change, proxies } => match change {
            StreamChange::Joined => info!(%proxies, "proxies join"),
            StreamChange::Bound => info!(%proxies, "proxies get full tables"),
            StreamChange::Left => info!(%proxies, "proxies leave"),
            StreamChange::Closed => info!(%proxies, "proxies are closed here"),
            StreamChange::Replaced => info!(%proxies, "proxies replace their streams"),
        },
        Event::Servers { change, servers } => match change {
            TableChange::Removed => info!(%servers, "servers are removed from tables"),
            TableChange::Restored => info!(%servers, "servers are back in tables"),
        },
        Event::TableWeights(weights) => log_weights(weights),
    }
}

fn log_warning(warning: &Warning) {
    let Warning { kind, cause, suppressed } = warning;
    match kind {
        WarningKind::KnownListRejected => {
            warn!(%cause, suppressed, "cannot use the known endpoint list of the start file");
        }
        WarningKind::AcceptFailed => warn!(%cause, suppressed, "cannot accept a connection"),
        WarningKind::UnknownPeerClosed => {
            warn!(%cause, suppressed, "closes a connection that has not joined");
        }
        WarningKind::CollectorClosed => warn!(%cause, suppressed, "closes the connection of a collector"),
        WarningKind::StreamClosed => warn!(%cause, suppressed, "closes the stream of a proxy"),
        WarningKind::MessageDropped => warn!(%cause, suppressed, "drops a message"),
        WarningKind::ListRequestFailed => warn!(%cause, suppressed, "cannot get the endpoint list"),
        WarningKind::ListPartlyRejected => warn!(%cause, suppressed, "ignores part of the endpoint list"),
    }
}

fn log_list(version: Option<u64>, since: Option<u64>, groups: &[EndpointGroup]) {
    let of = |state: EndpointState| groups.iter().find(|group| group.state == state);
    let count = |state| of(state).map(|group| group.servers.total());
    let names = |state| of(state).map(|group| display(&group.servers));
    info!(
        version,
        since,
        draining_count = count(EndpointState::Draining),
        draining = names(EndpointState::Draining),
        removed_count = count(EndpointState::Removed),
        removed = names(EndpointState::Removed),
        ready_count = count(EndpointState::Ready),
        ready = names(EndpointState::Ready),
        "the endpoint list changes"
    );
}

fn log_weights(weights: &TableWeights) {
    let TableWeights { table, proxies, sum, changed } = weights;
    let changed: Vec<String> = changed.iter().map(ToString::to_string).collect();
    debug!(table, proxies, sum = %format_args!("{sum:.3}"), changed = %changed.join(" "), "table weights");
}
