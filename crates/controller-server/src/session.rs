//! Serves one proxy's stream: performs the handshake, then reads reports and acknowledgements while updates are written.

use crate::connection::Connection;
use crate::shared::Shared;
use grebespool_controller::{JoinRequest, StreamId};
use grebespool_wire::{
    Challenge, CloseReason, FrameDecoder, Hello, Join, MAX_BODY_BYTES, MAX_BODY_BYTES_BEFORE_JOIN, Message,
    Nonce, PROTOCOL_VERSION, ProxyReport, Role, Transcript,
};
use grebespool_write_queue::WriteLimits;
use rand::RngCore;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;
use tracing::{debug, info, warn};

/// Maximum number of bytes that one read takes from a socket.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The reason for the end of a stream, as sent to the peer and logged. The peer receives all texts: do not reword.
struct SessionEnd {
    reason: CloseReason,
    text: String,
}

impl SessionEnd {
    fn new(reason: CloseReason, text: impl Into<String>) -> Self {
        SessionEnd { reason, text: text.into() }
    }

    fn unexpected(message: &Message) -> Self {
        let text = format!("{} does not belong here", message.name());
        SessionEnd::new(CloseReason::UnexpectedMessage, text)
    }
}

/// A guard that counts a stream as not joined until the guard is dropped.
struct UnjoinedStream(Rc<Shared>);

impl UnjoinedStream {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.unjoined.set(shared.unjoined.get() + 1);
        UnjoinedStream(shared.clone())
    }
}

impl Drop for UnjoinedStream {
    fn drop(&mut self) {
        self.0.unjoined.set(self.0.unjoined.get() - 1);
    }
}

/// Serves a connection until either side closes it.
pub(crate) async fn run(shared: Rc<Shared>, socket: TcpStream, peer: SocketAddr) {
    let stream = shared.new_stream_id();
    let (reader, writer) = socket.into_split();
    let limits = WriteLimits { max_wait: shared.listen.stall.0, max_bytes: shared.listen.stall_bytes };
    let connection = Rc::new(Connection::new(limits));
    shared.connections.borrow_mut().insert(stream, connection.clone());
    let reading = async {
        let mut session = Session::new(&shared, &connection, stream, reader);
        let end = session.run(peer).await;
        connection.close(shared.now(), end.reason, &end.text);
        end
    };
    let writing = connection.write(writer, shared.started_at);
    tokio::pin!(reading, writing);
    let end = tokio::select! {
        end = &mut reading => {
            // Writes the close message, if the peer reads it in time.
            let _ = writing.await;
            end
        }
        written = &mut writing => match written {
            Err(reason) => SessionEnd::new(reason, "its bytes were not taken"),
            Ok(()) => SessionEnd::new(CloseReason::ShuttingDown, "closed"),
        },
    };
    shared.connections.borrow_mut().remove(&stream);
    shared.call(|controller, _| controller.stream_closed(stream));
    if let Some(name) = connection.name.take() {
        shared.proxy_left(stream, &name);
    }
    log_end(stream, peer, &end);
}

fn log_end(stream: StreamId, peer: SocketAddr, end: &SessionEnd) {
    match end.reason {
        CloseReason::ShuttingDown => info!(stream, %peer, why = end.text, "ending a stream"),
        reason => warn!(stream, %peer, ?reason, why = end.text, "closing a stream"),
    }
}

/// The reading side of a stream.
struct Session<'a> {
    shared: &'a Rc<Shared>,
    connection: &'a Connection,
    stream: StreamId,
    socket: OwnedReadHalf,
    decoder: FrameDecoder,
    buffer: Vec<u8>,
}

impl<'a> Session<'a> {
    fn new(
        shared: &'a Rc<Shared>,
        connection: &'a Connection,
        stream: StreamId,
        socket: OwnedReadHalf,
    ) -> Self {
        let decoder = FrameDecoder::new(MAX_BODY_BYTES_BEFORE_JOIN);
        Session { shared, connection, stream, socket, decoder, buffer: vec![0; READ_BUFFER_BYTES] }
    }

    /// Performs the handshake, then handles messages until the stream ends.
    async fn run(&mut self, peer: SocketAddr) -> SessionEnd {
        let handshake_timeout = self.shared.listen.handshake.0;
        let handshake = async {
            let _unjoined = UnjoinedStream::new(self.shared);
            self.handshake().await
        };
        match timeout(handshake_timeout, handshake).await {
            Ok(Ok(name)) => info!(stream = self.stream, %peer, name, "completing the handshake with a proxy"),
            Ok(Err(end)) => return end,
            Err(_) => return SessionEnd::new(CloseReason::TimedOut, "it did not join in time"),
        }
        self.decoder.set_max_body_bytes(MAX_BODY_BYTES);
        loop {
            if let Err(end) = self.handle_next_message().await {
                return end;
            }
        }
    }

    async fn handle_next_message(&mut self) -> Result<(), SessionEnd> {
        let silence = self.shared.listen.silence.0;
        let Ok(message) = timeout(silence, self.next_message()).await else {
            let text = format!("nothing was heard for {silence:?}");
            return Err(SessionEnd::new(CloseReason::TimedOut, text));
        };
        match message? {
            Message::ProxyReport(report) => self.handle_report(&report),
            Message::UpdateAck(ack) => {
                debug!(
                    stream = self.stream,
                    sequence = ack.sequence,
                    token = ack.token,
                    "handling an acknowledgement"
                );
                let stream = self.stream;
                self.shared.call(|controller, now| controller.update_acknowledged(now, stream, &ack));
            }
            Message::Close(close) => {
                let text = format!("the proxy left: {} {}", close.reason.wire_name(), close.text);
                return Err(SessionEnd::new(CloseReason::ShuttingDown, text));
            }
            other => return Err(SessionEnd::unexpected(&other)),
        }
        Ok(())
    }

    fn handle_report(&self, report: &ProxyReport) {
        if let Some(name) = &*self.connection.name.borrow() {
            let mut observer = self.shared.observer.borrow_mut();
            observer.calls_reported(self.shared.now(), name, &report.routes);
            observer.load_reported(name, &report.servers);
        }
        self.shared.call(|controller, _| controller.load_reported(self.stream, report));
    }

    /// Performs the handshake, passes the join request to the controller, and returns the proxy's name. The controller
    /// may still reject the join; it then closes the stream.
    async fn handshake(&mut self) -> Result<String, SessionEnd> {
        let (name, dialer_nonce) = self.read_hello().await?;
        let listener_nonce = self.send_challenge();
        let join = match self.next_message().await? {
            Message::Join(join) => join,
            other => return Err(SessionEnd::unexpected(&other)),
        };
        let transcript = Transcript {
            dialer_nonce: &dialer_nonce,
            listener_nonce: &listener_nonce,
            incarnation: self.shared.incarnation.id,
            name: &name,
            zone: &join.zone,
        };
        if !join.proof.matches(&self.shared.key.dialer_proof(&transcript)) {
            let text = format!("{name:?} does not show the fleet's key");
            return Err(SessionEnd::new(CloseReason::Rejected, text));
        }
        self.check_term(&join)?;
        self.connection.proof.set(self.shared.key.listener_proof(&transcript));
        self.join(&name, &join);
        Ok(name)
    }

    async fn read_hello(&mut self) -> Result<(String, Nonce), SessionEnd> {
        let Hello { version, role, name, nonce } = match self.next_message().await? {
            Message::Hello(hello) => hello,
            other => return Err(SessionEnd::unexpected(&other)),
        };
        if version != PROTOCOL_VERSION {
            let text = format!("this planner speaks version {PROTOCOL_VERSION}, the peer {version}");
            return Err(SessionEnd::new(CloseReason::VersionMismatch, text));
        }
        if role != Role::Proxy || name.is_empty() {
            return Err(SessionEnd::new(CloseReason::Rejected, "only named proxies join"));
        }
        Ok((name, nonce))
    }

    fn send_challenge(&self) -> Nonce {
        let mut nonce = Nonce::default();
        rand::rng().fill_bytes(&mut nonce);
        let incarnation = self.shared.incarnation.id;
        let challenge = Challenge { version: PROTOCOL_VERSION, incarnation, nonce };
        self.connection.send(self.shared.now(), &Message::Challenge(challenge));
        nonce
    }

    /// Returns an error if the proxy has applied updates of a newer term: it must not receive updates of an older one.
    fn check_term(&self, join: &Join) -> Result<(), SessionEnd> {
        let own_term = self.shared.incarnation.term;
        if join.newest_term <= own_term {
            return Ok(());
        }
        self.shared.observer.borrow_mut().newer_term_seen(join.newest_term);
        let text = format!("it holds orders of epoch {}; this planner's is {own_term}", join.newest_term);
        Err(SessionEnd::new(CloseReason::StaleTerm, text))
    }

    fn join(&self, name: &str, join: &Join) {
        let stream = self.stream;
        debug!(
            stream,
            name,
            applied_incarnation = join.applied_incarnation,
            applied_sequence = join.applied_sequence,
            initial_table_only = join.initial_table_only,
            "handling a join request"
        );
        let request = JoinRequest {
            name,
            zone: &join.zone,
            calls_per_s: join.calls_per_s,
            initial_table_only: join.initial_table_only,
        };
        if self.shared.call(|controller, now| controller.proxy_joined(now, stream, request)) {
            self.shared.proxy_joined(stream, name, join);
            *self.connection.name.borrow_mut() = Some(name.to_string());
        }
    }

    async fn next_message(&mut self) -> Result<Message, SessionEnd> {
        loop {
            match self.decoder.next_message() {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(error) => return Err(SessionEnd::new(CloseReason::Malformed, error.to_string())),
            }
            match self.socket.read(&mut self.buffer).await {
                Ok(0) if self.decoder.buffered_bytes() > 0 => {
                    let text = "it ended in the middle of a frame";
                    return Err(SessionEnd::new(CloseReason::Malformed, text));
                }
                Ok(0) => return Err(SessionEnd::new(CloseReason::ShuttingDown, "the proxy closed it")),
                Ok(read) => self.decoder.push(&self.buffer[..read]),
                Err(error) => return Err(SessionEnd::new(CloseReason::ShuttingDown, error.to_string())),
            }
        }
    }
}
