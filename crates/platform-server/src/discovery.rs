//! Following the list of servers.

use crate::http::{Client, get};
use crate::{Shared, unix_ms};
use bytes::Bytes;
use grebespool_platform_protocol::Call;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::info;

/// A watch goes on only if its next call comes soon after the last answer; this is well within.
const BREATH: Duration = Duration::from_millis(60);

/// A connection to be used again, and the answer's status and body.
type Answer = Result<(Option<Client>, u16, Bytes), String>;

/// The call to the address that was left last, up to its answer's end. What the answer brings counts as told, whether
/// or not the new address answers. Harm: one more connection, for as long as one call may take.
type Left = Pin<Box<dyn Future<Output = ()>>>;

fn none_left() -> Left {
    Box::pin(std::future::pending())
}

/// Watches the list whenever that is asked, until it fails: then it is for the decisions to ask again.
pub async fn follow(shared: Rc<Shared>) {
    if shared.watch.state.borrow().under_way() {
        // The decisions believe that a watch is on, and would never ask again.
        end(&shared, "the part that asks for it has ended and is begun anew");
    }
    let mut left = none_left();
    loop {
        while !shared.watch.state.borrow_mut().begin() {
            tokio::select! {
                () = shared.watch.come.notified() => {}
                () = &mut left => left = none_left(),
            }
        }
        let why = watch(&shared, &mut left).await;
        end(&shared, &why);
    }
}

fn end(shared: &Shared, why: &str) {
    shared.watch.state.borrow_mut().ended();
    shared.call(|station, now| station.list_failed(now, why));
}

async fn ask(call: Call, mut kept: Option<Client>) -> Answer {
    let (status, body) = get(&mut kept, call.address, &call.path, call.limit).await?;
    Ok((kept, status, body))
}

fn take(shared: &Shared, call: &Call, answer: Answer) -> Result<Option<Client>, String> {
    match answer? {
        (client, 200, body) => {
            shared.call(|station, now| station.list(now, unix_ms(), call.since, &body))?;
            shared.watch.state.borrow_mut().answered(call);
            Ok(client)
        }
        (_, status, _) => Err(format!("the call for the list was answered with status {status}")),
    }
}

/// Gives why it ended.
async fn watch(shared: &Rc<Shared>, left: &mut Left) -> String {
    let mut kept = None;
    loop {
        let known = shared.station.borrow().list_version();
        let call = shared.watch.state.borrow().call(known);
        let began = Instant::now();
        let mut asking = Box::pin(ask(call.clone(), kept.take()));
        let answer = loop {
            tokio::select! {
                answer = &mut asking => break Some(answer),
                () = &mut *left => *left = none_left(),
                () = shared.watch.moved.notified() => {
                    // A move from before this call was made is no news to it.
                    if shared.watch.state.borrow().address() != call.address {
                        break None;
                    }
                }
            }
        };
        let Some(answer) = answer else {
            info!(address = %shared.watch.state.borrow().address(), "the list is asked at another address");
            let shared = shared.clone();
            *left = Box::pin(async move {
                let answer = asking.await;
                if let Err(why) = take(&shared, &call, answer) {
                    info!(address = %call.address, why, "the address that was left has no more to tell");
                }
            });
            continue;
        };
        match take(shared, &call, answer) {
            Ok(client) => kept = client,
            Err(why) => return why,
        }
        // This list is newer, and what its address calls its versions is not what the other did.
        *left = none_left();
        // Against a service that answers at once, again and again: it would be asked without pause.
        if began.elapsed() < BREATH && call.waits {
            sleep(BREATH).await;
        }
    }
}
