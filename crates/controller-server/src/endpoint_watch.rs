//! Watches the endpoint list of the discovery service.

use crate::dial::{AppliedUpdate, Dialer, WelcomedStream, handshake, read_message};
use crate::shared::Shared;
use grebespool_settings::ListSource;
use grebespool_wire::{EndpointList, EndpointPoll, Message, Nonce, Role};
use rand::RngCore;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{info, warn};

/// Connects to the endpoint list and watches the list. After each failure, connects again after the pause from the
/// settings.
pub(crate) async fn run(shared: Rc<Shared>, source: ListSource) {
    loop {
        match watch(&shared, &source).await {
            Ok(never) => match never {},
            Err(error) => {
                warn!(address = %source.address, %error, "cannot watch the endpoint list; reconnecting after a pause")
            }
        }
        shared.call(|controller, now| controller.endpoint_poll_failed(now));
        sleep(source.redial.0).await;
    }
}

async fn watch(shared: &Rc<Shared>, source: &ListSource) -> io::Result<Infallible> {
    let response_timeout = source.patience.0;
    let mut socket = timeout(response_timeout, TcpStream::connect(source.address)).await??;
    socket.set_nodelay(true)?;
    let WelcomedStream { mut decoder, .. } =
        timeout(response_timeout, watcher_handshake(shared, &mut socket)).await??;
    let (mut reader, mut writer) = socket.into_split();
    let mut polls = Polls::new(response_timeout);
    // The first poll fetches the changes that were missed while the list was unreachable.
    let mut due_poll = Some(shared.controller.borrow().endpoints_version());
    shared.polls.take();
    loop {
        if let Some(known_version) = due_poll.take() {
            polls.send(&mut writer, known_version).await?;
        }
        tokio::select! {
            message = read_message(&mut reader, &mut decoder) => handle(shared, &mut polls, message?)?,
            () = shared.polls.wait_until_added() => due_poll = shared.polls.take(),
            () = polls.wait_for_timeout() => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

async fn watcher_handshake(
    shared: &Shared,
    socket: &mut (impl AsyncRead + AsyncWrite + Unpin),
) -> io::Result<WelcomedStream> {
    let mut nonce = Nonce::default();
    rand::rng().fill_bytes(&mut nonce);
    let dialer = Dialer {
        role: Role::Watcher,
        // Sent in the handshake: do not reword.
        name: &format!("planner-{:x}", shared.incarnation.id),
        zone: "",
        calls_per_s: 0.0,
        initial_table_only: false,
        applied: AppliedUpdate::default(),
        newest_term: 0,
    };
    handshake(socket, &shared.key, nonce, &dialer).await
}

/// The time-out of the polls that wait for a response.
struct Polls {
    response_timeout: Duration,
    /// The time at which the oldest unanswered poll was sent; `None` if no poll waits.
    unanswered_since: Option<Instant>,
}

impl Polls {
    fn new(response_timeout: Duration) -> Self {
        Polls { response_timeout, unanswered_since: None }
    }

    async fn send(&mut self, writer: &mut (impl AsyncWrite + Unpin), known_version: u64) -> io::Result<()> {
        let poll = EndpointPoll { known_version, watch: true };
        writer.write_all(&Message::EndpointPoll(poll).to_frame()).await?;
        self.unanswered_since = self.unanswered_since.or(Some(Instant::now()));
        Ok(())
    }

    /// Records a response. One response counts for all polls before it.
    fn mark_answered(&mut self) {
        self.unanswered_since = None;
    }

    /// Waits until the oldest unanswered poll times out; never returns if no poll waits.
    async fn wait_for_timeout(&self) {
        match self.unanswered_since {
            Some(since) => sleep_until(since + self.response_timeout).await,
            None => std::future::pending().await,
        }
    }
}

fn handle(shared: &Shared, polls: &mut Polls, message: Message) -> io::Result<()> {
    match message {
        Message::EndpointList(list) => {
            polls.mark_answered();
            handle_list(shared, &list);
        }
        Message::EndpointPollFailed(failed) => {
            polls.mark_answered();
            warn!(text = failed.text, "cannot poll the endpoint list; keeping the previous one");
            shared.call(|controller, now| controller.endpoint_poll_failed(now));
        }
        Message::Close(close) => {
            let text = format!("the endpoint list closed the stream: {:?}: {}", close.reason, close.text);
            return Err(io::Error::other(text));
        }
        other => return Err(io::Error::other(format!("received unexpected message {:?}", other.name()))),
    }
    Ok(())
}

fn handle_list(shared: &Shared, list: &EndpointList) {
    let (version, base_version) = (list.version, list.base_version);
    info!(version, base_version, entries = list.entries.len(), "receiving an endpoint list");
    shared.observer.borrow_mut().endpoints_received(shared.now(), list);
    shared.call(|controller, now| controller.endpoints_received(now, list));
}
