//! Tasks that wait for time alone.

use crate::connection::Connection;
use crate::shared::Shared;
use grebespool_wire::Message;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// How often a leader among several controllers is heard; a proxy that hears nothing for three times as long looks for
/// another.
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

/// Sends heartbeats to all joined proxies. Proxies of a leader that hangs with its streams open would else wait for it
/// for ever while another leads. Only controllers that elect a leader send them; otherwise there is nobody to go to.
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
