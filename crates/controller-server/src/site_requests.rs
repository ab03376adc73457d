//! Answers operators' requests on whole sites. The texts are answers on the command socket: do not reword.

use crate::effects::SocketEffects;
use crate::shared::Shared;
use crate::site_request::{SiteQuery, SiteRequest, SiteRequestError};
use grebespool_controller::{CapacityPlan, Controller, SiteCommand, SiteCommandError, SiteOrder, SiteStatus};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Answers requests until all senders are dropped.
pub(crate) async fn serve(shared: Rc<Shared>, mut requests: mpsc::UnboundedReceiver<SiteRequest>) {
    while let Some(SiteRequest { query, answer }) = requests.recv().await {
        let result = shared.call(|controller, now| answer_query(controller, now, &query));
        // The operator may have disconnected meanwhile; the command remains in force.
        let _ = answer.send(result);
    }
}

fn answer_query(
    controller: &mut Controller<SocketEffects>,
    now: Duration,
    query: &SiteQuery,
) -> Result<Vec<String>, SiteRequestError> {
    let sites = controller.site_statuses(now);
    if sites.is_empty() {
        return Err(SiteRequestError::NotWatched);
    }
    match query {
        SiteQuery::Show => Ok(sites.iter().map(|(name, status)| status_line(now, name, status)).collect()),
        SiteQuery::Command { site, order, forced, dry_run } => {
            let names: Vec<&str> = sites.iter().map(|(name, _)| name.as_str()).collect();
            let Some(zone) = controller.zone(site) else {
                let known = names.join(", ");
                return Err(SiteRequestError::UnknownSite { site: site.clone(), known });
            };
            let command = SiteCommand { zone, order: *order, forced: *forced };
            if *dry_run {
                plan_lines(controller, site, command, &names)
            } else {
                command_lines(controller, now, site, command, &names)
            }
        }
    }
}

fn status_line(now: Duration, name: &str, status: &SiteStatus) -> String {
    let seconds = now.saturating_sub(status.since).as_secs_f64();
    format!("{name}: {} for {seconds:.1} s ({})", status.state, status.evidence)
}

/// Returns the lines that describe the effect of a command without carrying it out.
fn plan_lines(
    controller: &Controller<SocketEffects>,
    site: &str,
    command: SiteCommand,
    names: &[&str],
) -> Result<Vec<String>, SiteRequestError> {
    match command.order {
        SiteOrder::Restore => Ok(vec![format!("{site} would return by steps, from a tenth")]),
        SiteOrder::TakeOut => match controller.plan_without_site(command.zone) {
            Ok(plan) => Ok(lines(format!("{site} would be out"), Some(&plan), names)),
            Err(error) => Err(SiteRequestError::Refused(error.to_string())),
        },
    }
}

/// Carries out a command, and returns the lines that describe the result.
fn command_lines(
    controller: &mut Controller<SocketEffects>,
    now: Duration,
    site: &str,
    command: SiteCommand,
    names: &[&str],
) -> Result<Vec<String>, SiteRequestError> {
    let plan = controller.command_site(now, command).map_err(|error| match error {
        SiteCommandError::NotWatched => SiteRequestError::Refused("sites are not watched".into()),
        SiteCommandError::Refused(refused) => {
            SiteRequestError::Refused(with_site_names(&refused.to_string(), names))
        }
    })?;
    let done = match command.order {
        SiteOrder::TakeOut => format!("{site} is out"),
        SiteOrder::Restore => format!("{site} returns by steps"),
    };
    Ok(lines(done, plan.as_ref(), names))
}

/// Replaces site ids in a text by names, because site failover identifies sites by id and operators by name. This matches
/// the words "site ID " in the texts of [`grebespool_controller::OrderError`]: change both together.
fn with_site_names(text: &str, names: &[&str]) -> String {
    let mut named = text.to_string();
    for (id, name) in names.iter().enumerate() {
        named = named.replace(&format!("site {id} "), &format!("site {name} "));
    }
    named
}

/// Returns the line about the command, followed by the lines about the plan.
fn lines(done: String, plan: Option<&CapacityPlan>, names: &[&str]) -> Vec<String> {
    let mut lines = vec![done];
    let Some(plan) = plan else { return lines };
    for (name, utilization) in names.iter().zip(&plan.utilization) {
        lines.push(format!("  {name} {:.0}% full", 100.0 * utilization));
    }
    for (route, admitted) in plan.admitted.iter().enumerate().filter(|(_, admitted)| **admitted < 1.0) {
        lines.push(format!("  route {route} let in at {:.0}%", 100.0 * admitted));
    }
    lines.push(format!("  service {:.3}", plan.service));
    lines
}
