//! The tasks of one planner: their start, their restart after a failure, and the tasks for timers, status lines and
//! reloads.

use crate::config_file::read_config;
use crate::connection::accept_connections;
use crate::discovery::follow_endpoints;
use crate::health_check::run_health_checks;
use crate::shared::Shared;
use grebespool_platform_protocol::{PlannerConfig, Status};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};
use tracing::{error, info, warn};

/// The pause before a failed task is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// The time between two status lines.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);
/// The number of attempts to read the start file after one signal: the file may not be written completely yet.
const RELOAD_ATTEMPTS: u32 = 20;
/// The pause after a failed attempt to read the start file.
const RELOAD_DELAY: Duration = Duration::from_millis(100);

/// Runs the tasks of the planner until the returned future is dropped.
pub(crate) async fn serve(listener: TcpListener, config: PlannerConfig, file: PathBuf, hangups: Signal) {
    let shared = Rc::new(Shared::new(config));
    let mut tasks = JoinSet::new();
    tasks.spawn_local(restart_on_failure(shared.clone(), "timer", run_timer));
    tasks.spawn_local(restart_on_failure(shared.clone(), "discovery", follow_endpoints));
    tasks.spawn_local(restart_on_failure(shared.clone(), "health checks", run_health_checks));
    tasks.spawn_local(reload_on_hangup(shared.clone(), file, hangups));
    tasks.spawn_local(log_status(shared.clone()));
    // Accepting is spawned as a task, so that the other tasks get their turns first: a future that is awaited here
    // directly would be polled before all of them.
    let mut accepting = JoinSet::new();
    accepting.spawn_local(accept_connections(shared, listener, tasks));
    if let Some(Err(failure)) = accepting.join_next().await
        && let Ok(panic) = failure.try_into_panic()
    {
        std::panic::resume_unwind(panic);
    }
}

/// Runs a task, and restarts it after each failure, so that a fault in one task does not end the service. A task that
/// always fails logs one line per second.
async fn restart_on_failure<F: Future<Output = ()> + 'static>(
    shared: Rc<Shared>,
    name: &'static str,
    task: fn(Rc<Shared>) -> F,
) {
    loop {
        let mut running = JoinSet::new();
        running.spawn_local(task(shared.clone()));
        if let Some(Err(failure)) = running.join_next().await {
            error!(task = name, %failure, "restarting a failed task");
        }
        sleep(RESTART_DELAY).await;
    }
}

/// Calls the session manager at its deadlines.
async fn run_timer(shared: Rc<Shared>) {
    loop {
        let deadline = shared.manager.borrow().next_deadline();
        tokio::select! {
            () = sleep_until(shared.started + deadline) => {
                let now = shared.now();
                shared.manager.borrow_mut().timer_fired(now);
            }
            () = shared.manager_called.notified() => {}
        }
    }
}

async fn log_status(shared: Rc<Shared>) {
    loop {
        sleep(STATUS_INTERVAL).await;
        let Status {
            joined_proxies,
            unknown_peers,
            listed_servers,
            ready_servers,
            server_indices,
            unread_bytes,
            stored_reports,
            list_version,
            urgent_delays,
        } = shared.manager.borrow().status();
        info!(
            joined_proxies,
            unknown_peers,
            listed_servers,
            ready_servers,
            server_indices,
            unread_bytes,
            unwritten_bytes = shared.unwritten.bytes(),
            stored_reports,
            list_version,
            message_limit_delays = urgent_delays.by_message_limit,
            queue_delays = urgent_delays.by_queue,
            longest_urgent_delay_ms = urgent_delays.longest.as_millis() as u64,
            "serving"
        );
    }
}

/// Reads the start file again after each signal. A file that cannot be used has no effect.
async fn reload_on_hangup(shared: Rc<Shared>, file: PathBuf, mut hangups: Signal) {
    while hangups.recv().await.is_some() {
        reload(&shared, &file).await;
    }
}

async fn reload(shared: &Shared, file: &Path) {
    for attempt in 1..=RELOAD_ATTEMPTS {
        match read_config(file) {
            Ok(config) => return apply_config(shared, &config),
            Err(error) => {
                if attempt == 1 || attempt == RELOAD_ATTEMPTS {
                    warn!(%error, attempt, "cannot reload the configuration; keeping the previous one");
                }
                sleep(RELOAD_DELAY).await;
            }
        }
    }
}

/// Applies a reloaded configuration. Only the address of discovery takes effect without a restart of the planner.
fn apply_config(shared: &Shared, config: &PlannerConfig) {
    info!(discovery = %config.discovery, "reloading the configuration");
    if shared.discovery.watch.borrow_mut().set_address(config.discovery) {
        shared.discovery.address_changed.notify_one();
    }
}
