//! The tasks that run at fixed times: the controller's timers and the heartbeats.

use crate::connection::Connection;
use crate::shared::Shared;
use grebespool_wire::Message;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// Interval of a leader's heartbeats. A proxy that receives none for three intervals looks for another leader.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Calls the controller when its next timer is due.
pub(crate) async fn run(shared: Rc<Shared>) {
    loop {
        let next_timer = shared.controller.borrow().next_timer();
        tokio::select! {
            () = sleep_until(shared.started_at + next_timer) => {
                let now = shared.now();
                shared.controller.borrow_mut().timer_fired(now);
            }
            () = shared.controller_called.notified() => {}
        }
    }
}

/// Sends heartbeats to all joined proxies. Without heartbeats, the proxies of a leader that hangs with open streams would
/// wait for it for ever while another controller leads. Only controllers that elect a leader send them: without an
/// election, proxies have no other controller to join.
pub(crate) async fn send_heartbeats(shared: Rc<Shared>) {
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        for connection in joined_connections(&shared) {
            connection.send(shared.now(), &Message::Heartbeat);
        }
    }
}

fn joined_connections(shared: &Shared) -> Vec<Rc<Connection>> {
    let connections = shared.connections.borrow();
    let joined = connections.values().filter(|connection| connection.name.borrow().is_some());
    joined.cloned().collect()
}
