//! Probing servers.

use crate::Shared;
use crate::http::get;
use grebespool::host::HealthCheckResult;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Under way at once; the rest waits, so that probes of a large fleet take few descriptors.
pub const AT_ONCE: usize = 8;
/// No answer by then is none.
const LIMIT: Duration = Duration::from_millis(900);

pub async fn run(shared: Rc<Shared>) {
    let mut under_way = JoinSet::new();
    // Those under way when this part last ended have no answer to come, and could never be asked for again.
    shared.probes.named.replace(shared.probes.waiting.borrow().iter().cloned().collect());
    loop {
        let waiting =
            if under_way.len() < AT_ONCE { shared.probes.waiting.borrow_mut().pop_front() } else { None };
        if let Some((server, address)) = waiting {
            let shared = shared.clone();
            under_way.spawn_local(async move {
                let result = match get(&mut None, address, "/health", LIMIT).await {
                    Ok((200, _)) => HealthCheckResult::Healthy,
                    Ok((503, _)) => HealthCheckResult::Rejected,
                    Ok(_) | Err(_) => HealthCheckResult::Failed,
                };
                shared.probed(server, address, result);
            });
            continue;
        }
        tokio::select! {
            () = shared.probes.come.notified() => {}
            Some(_) = under_way.join_next() => {}
        }
    }
}
