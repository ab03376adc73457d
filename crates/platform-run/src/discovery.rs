//! Following the list of servers.

use crate::http::{Client, get};
use crate::{Shared, unix_ms};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::info;

/// How long a call of a watch waits for news. What happens while a call hangs counts as told soon after its wait is
/// over, so a longer wait would leave drains unknown for longer.
const WAIT: Duration = Duration::from_secs(4);
/// Beyond the wait: the way there and back, and a service that is slow.
const ANSWERS_WITHIN: Duration = Duration::from_millis(700);
/// The service handles calls one after another; it gives up by itself before this.
const CALL_LIMIT: Duration = Duration::from_millis(2200);
/// A watch goes on only if its next call comes soon after the last answer; this is well within.
const BREATH: Duration = Duration::from_millis(60);

/// Watches the list whenever that is asked, until it fails: then it is for the decisions to ask again.
pub async fn follow(shared: Rc<Shared>) {
    let mut kept: Option<Client> = None;
    let mut place = shared.watch.address.get();
    loop {
        while !shared.watch.asked.take() {
            shared.watch.come.notified().await;
        }
        let why = watch(&shared, &mut kept, &mut place).await;
        kept = None;
        shared.call(|station, now| station.list_failed(now, &why));
    }
}

/// Gives why it ended.
async fn watch(shared: &Rc<Shared>, kept: &mut Option<Client>, place: &mut SocketAddr) -> String {
    let mut first = true;
    loop {
        let address = shared.watch.address.get();
        if std::mem::replace(place, address) != address {
            info!(%address, "the list is asked at another address");
            // The versions of another service need not go on from here.
            shared.watch.whole.set(true);
            first = true;
        }
        let since = shared.station.borrow().list_version();
        let since = since.filter(|_| !shared.watch.whole.take());
        let (path, limit) = match (since, first) {
            (None, _) => ("/v1/endpoints".to_string(), CALL_LIMIT),
            // What was missed comes first, so that the decisions soon know that they were answered.
            (Some(since), true) => (format!("/v1/endpoints?since={since}&timeout_ms=1"), CALL_LIMIT),
            (Some(since), false) => {
                let path = format!("/v1/endpoints?since={since}&timeout_ms={}", WAIT.as_millis());
                (path, WAIT + ANSWERS_WITHIN)
            }
        };
        let began = Instant::now();
        let answer = tokio::select! {
            answer = get(kept, address, &path, limit) => answer,
            () = shared.watch.moved.notified() => {
                *kept = None;
                continue;
            }
        };
        match answer {
            Ok((200, body)) => {
                let taken = shared.call(|station, now| station.list(now, unix_ms(), since, &body));
                if let Err(why) = taken {
                    return why;
                }
            }
            Ok((status, _)) => return format!("the call for the list was answered with status {status}"),
            Err(why) => return why,
        }
        // Against a service that answers at once, again and again: it would be asked without pause.
        if began.elapsed() < BREATH && !first {
            sleep(BREATH).await;
        }
        first = false;
    }
}
