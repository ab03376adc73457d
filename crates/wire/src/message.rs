//! The messages of the protocol, and their encoding as frames.

use crate::call::{Call, Response};
use crate::close::Close;
use crate::decode_error::DecodeError;
use crate::endpoint::{EndpointList, EndpointPoll, EndpointPollFailed};
use crate::handshake::{Challenge, Hello, Join, Welcome};
use crate::health_check::{HealthCheck, HealthCheckResponse};
use crate::proxy_report::ProxyReport;
use crate::reader::Reader;
use crate::update::{Update, UpdateAck};
use crate::writer::Writer;

/// Number of bytes of a frame's header, which states the length of the body.
pub(crate) const HEADER_BYTES: usize = 4;

/// A message between a controller and a proxy, a server or an endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Dialing side: starts a handshake.
    Hello(Hello),
    /// Listening side: answers a hello.
    Challenge(Challenge),
    /// Dialing side: requests to join.
    Join(Join),
    /// Listening side: accepts a join.
    Welcome(Welcome),
    /// Controller to proxy: changes weights, admission and bindings.
    Update(Update),
    /// Proxy to controller: acknowledges an update.
    UpdateAck(UpdateAck),
    /// Proxy to controller: reports what the proxy measured.
    ProxyReport(ProxyReport),
    /// Either side: closes the stream.
    Close(Close),
    /// Controller to discovery service: requests the endpoint list.
    EndpointPoll(EndpointPoll),
    /// Discovery service to controller: sends the endpoint list or its changes.
    EndpointList(EndpointList),
    /// Discovery service to controller: reports a failed poll.
    EndpointPollFailed(EndpointPollFailed),
    /// Controller to server: requests the server's status.
    HealthCheck(HealthCheck),
    /// Server to controller: reports the server's status.
    HealthCheckResponse(HealthCheckResponse),
    /// Client to proxy, or proxy to server: sends an attempt of a request.
    Call(Call),
    /// Server to proxy, or proxy to client: answers an attempt.
    Response(Response),
    /// Controller to proxy: shows that the leader is alive. A heartbeat changes nothing and is not acknowledged.
    Heartbeat,
}

/// The kinds of messages. On the wire: do not renumber.
mod kind {
    pub(super) const HELLO: u8 = 1;
    pub(super) const CHALLENGE: u8 = 2;
    pub(super) const JOIN: u8 = 3;
    pub(super) const WELCOME: u8 = 4;
    pub(super) const UPDATE: u8 = 5;
    pub(super) const UPDATE_ACK: u8 = 6;
    pub(super) const PROXY_REPORT: u8 = 7;
    pub(super) const CLOSE: u8 = 8;
    pub(super) const ENDPOINT_POLL: u8 = 9;
    pub(super) const ENDPOINT_LIST: u8 = 10;
    pub(super) const ENDPOINT_POLL_FAILED: u8 = 11;
    pub(super) const HEALTH_CHECK: u8 = 12;
    pub(super) const HEALTH_CHECK_RESPONSE: u8 = 13;
    pub(super) const CALL: u8 = 14;
    pub(super) const RESPONSE: u8 = 15;
    pub(super) const HEARTBEAT: u8 = 16;
}

impl Message {
    /// Returns the message's name in the texts of [`Close`] messages and in logs. On the wire: do not rename.
    pub fn name(&self) -> &'static str {
        match self {
            Message::Hello(_) => "hello",
            Message::Challenge(_) => "challenge",
            Message::Join(_) => "join",
            Message::Welcome(_) => "welcome",
            Message::Update(_) => "orders",
            Message::UpdateAck(_) => "applied",
            Message::ProxyReport(_) => "sums",
            Message::Close(_) => "bye",
            Message::EndpointPoll(_) => "ask-list",
            Message::EndpointList(_) => "list",
            Message::EndpointPollFailed(_) => "list-failed",
            Message::HealthCheck(_) => "probe",
            Message::HealthCheckResponse(_) => "probed",
            Message::Call(_) => "call",
            Message::Response(_) => "answer",
            Message::Heartbeat => "alive",
        }
    }

    /// Decodes the body of one frame, which must contain exactly one message.
    ///
    /// # Errors
    ///
    /// Returns the malformed field and its position if the body is not a valid message.
    pub fn decode(body: &[u8]) -> Result<Message, DecodeError> {
        let Some((kind, fields)) = body.split_first() else {
            return Err(DecodeError::EmptyFrame);
        };
        let mut reader = Reader::new(fields);
        let message = Message::decode_fields(*kind, &mut reader)?;
        reader.finish()?;
        Ok(message)
    }

    fn decode_fields(kind: u8, reader: &mut Reader) -> Result<Message, DecodeError> {
        Ok(match kind {
            kind::HELLO => Message::Hello(reader.nested()?),
            kind::CHALLENGE => Message::Challenge(reader.nested()?),
            kind::JOIN => Message::Join(reader.nested()?),
            kind::WELCOME => Message::Welcome(reader.nested()?),
            kind::UPDATE => Message::Update(reader.nested()?),
            kind::UPDATE_ACK => Message::UpdateAck(reader.nested()?),
            kind::PROXY_REPORT => Message::ProxyReport(reader.nested()?),
            kind::CLOSE => Message::Close(reader.nested()?),
            kind::ENDPOINT_POLL => Message::EndpointPoll(reader.nested()?),
            kind::ENDPOINT_LIST => Message::EndpointList(reader.nested()?),
            kind::ENDPOINT_POLL_FAILED => Message::EndpointPollFailed(reader.nested()?),
            kind::HEALTH_CHECK => Message::HealthCheck(reader.nested()?),
            kind::HEALTH_CHECK_RESPONSE => Message::HealthCheckResponse(reader.nested()?),
            kind::CALL => Message::Call(reader.nested()?),
            kind::RESPONSE => Message::Response(reader.nested()?),
            kind::HEARTBEAT => Message::Heartbeat,
            kind => return Err(DecodeError::UnknownKind(kind)),
        })
    }

    /// Appends the message as one frame.
    pub fn write_frame(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&[0; HEADER_BYTES]);
        self.encode(&mut Writer::new(out));
        let length = (out.len() - start - HEADER_BYTES) as u32;
        out[start..start + HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
    }

    /// Returns the message as one frame.
    pub fn to_frame(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write_frame(&mut out);
        out
    }

    fn encode(&self, writer: &mut Writer) {
        match self {
            Message::Hello(hello) => writer.tagged(kind::HELLO, hello),
            Message::Challenge(challenge) => writer.tagged(kind::CHALLENGE, challenge),
            Message::Join(join) => writer.tagged(kind::JOIN, join),
            Message::Welcome(welcome) => writer.tagged(kind::WELCOME, welcome),
            Message::Update(update) => writer.tagged(kind::UPDATE, update),
            Message::UpdateAck(ack) => writer.tagged(kind::UPDATE_ACK, ack),
            Message::ProxyReport(report) => writer.tagged(kind::PROXY_REPORT, report),
            Message::Close(close) => writer.tagged(kind::CLOSE, close),
            Message::EndpointPoll(poll) => writer.tagged(kind::ENDPOINT_POLL, poll),
            Message::EndpointList(list) => writer.tagged(kind::ENDPOINT_LIST, list),
            Message::EndpointPollFailed(failed) => writer.tagged(kind::ENDPOINT_POLL_FAILED, failed),
            Message::HealthCheck(check) => writer.tagged(kind::HEALTH_CHECK, check),
            Message::HealthCheckResponse(response) => writer.tagged(kind::HEALTH_CHECK_RESPONSE, response),
            Message::Call(call) => writer.tagged(kind::CALL, call),
            Message::Response(response) => writer.tagged(kind::RESPONSE, response),
            Message::Heartbeat => writer.u8(&kind::HEARTBEAT),
        }
    }
}
