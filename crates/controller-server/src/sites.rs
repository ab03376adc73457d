//! Operators' questions and orders on whole sites.

use crate::{Shared, Shell};
use grebespool_controller::{CapacityPlan, Engine, SiteOrder};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// What is asked.
pub enum SiteWhat {
    Show,
    /// `dry`: only says what it would do.
    Order {
        site: String,
        order: SiteOrder,
        forced: bool,
        dry: bool,
    },
}

/// A question, and where its answer goes: lines for an operator, or why not.
pub struct SiteAsk {
    pub what: SiteWhat,
    pub answer: oneshot::Sender<Result<Vec<String>, String>>,
}

pub(crate) async fn answer(shared: Rc<Shared>, mut asks: mpsc::UnboundedReceiver<SiteAsk>) {
    while let Some(SiteAsk { what, answer }) = asks.recv().await {
        let told = shared.call(|engine, now| told(engine, now, &what));
        // Who asked may have gone meanwhile; what was ordered holds.
        let _ = answer.send(told);
    }
}

fn told(engine: &mut Engine<Shell>, now: Duration, what: &SiteWhat) -> Result<Vec<String>, String> {
    let all = engine.sites(now);
    if all.is_empty() {
        return Err("sites are not watched: deployment.sites.watched is not set".into());
    }
    let SiteWhat::Order { site, order, forced, dry } = what else {
        let line = |(name, s): &(String, grebespool_controller::SiteStatus)| {
            let span = now.saturating_sub(s.since).as_secs_f64();
            format!("{name}: {} for {span:.1} s ({})", s.state, s.evidence)
        };
        return Ok(all.iter().map(line).collect());
    };
    let names: Vec<&str> = all.iter().map(|s| s.0.as_str()).collect();
    let Some(zone) = engine.zone(site) else {
        return Err(format!("there is no site {site:?}; there are {}", names.join(", ")));
    };
    let planned = match (dry, order) {
        (true, SiteOrder::TakeOut) => Some(engine.site_plan(zone).map_err(|why| why.to_string())?),
        (true, SiteOrder::Restore) => return Ok(vec![format!("{site} would return by steps, from a tenth")]),
        (false, _) => engine.order_site(now, zone, *order, *forced).map_err(|why| match why {
            Some(why) => named(&why.to_string(), &names),
            None => "sites are not watched".into(),
        })?,
    };
    let done = match (dry, order) {
        (true, _) => format!("{site} would be out"),
        (false, SiteOrder::TakeOut) => format!("{site} is out"),
        (false, SiteOrder::Restore) => format!("{site} returns by steps"),
    };
    Ok(std::iter::once(done).chain(planned.iter().flat_map(|p| lines(p, &names))).collect())
}

/// Sites stand by their places in what the sites' package says, and by their names for operators.
fn named(text: &str, names: &[&str]) -> String {
    names.iter().enumerate().fold(text.to_string(), |text, (i, name)| {
        text.replace(&format!("site {i} "), &format!("site {name} "))
    })
}

fn lines(plan: &CapacityPlan, names: &[&str]) -> Vec<String> {
    let filled = names.iter().zip(&plan.utilization).map(|(n, f)| format!("  {n} {:.0}% full", 100.0 * f));
    let levels = plan.admitted.iter().enumerate().filter(|(_, l)| **l < 1.0);
    let levels = levels.map(|(r, l)| format!("  route {r} let in at {:.0}%", 100.0 * l));
    filled.chain(levels).chain([format!("  service {:.3}", plan.service)]).collect()
}
