//! Sends HTTP/1.1 requests, each with one time limit for the whole request.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, header};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The longest accepted head of a response, in bytes.
const MAX_HEAD_LENGTH: usize = 64 << 10;

/// The reason why a request failed.
#[derive(Debug, Error)]
pub(crate) enum HttpError {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
}

/// The status and body of a response.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// A client connection that sends one request after another. The task that drives the connection is aborted when the
/// client is dropped.
pub(crate) struct Client {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Client {
    async fn connect(address: SocketAddr) -> Result<Client, HttpError> {
        let socket = TcpStream::connect(address).await?;
        let _ = socket.set_nodelay(true);
        let (sender, connection) =
            Builder::new().max_buf_size(MAX_HEAD_LENGTH).handshake(TokioIo::new(socket)).await?;
        let driver = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Client { address, sender, driver })
    }

    /// Sends a request and reads its response with a body of up to `max_body` bytes.
    async fn get(&mut self, path: &str, max_body: usize) -> Result<Response, HttpError> {
        let response = self.send(path).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), max_body).collect().await;
        Ok(Response { status, body: body.map_err(HttpError::Body)?.to_bytes() })
    }

    /// Sends a request and reads its response without storing the body. Returns the status.
    async fn get_status(&mut self, path: &str) -> Result<u16, HttpError> {
        let mut response = self.send(path).await?;
        while let Some(frame) = response.frame().await {
            frame?;
        }
        Ok(response.status().as_u16())
    }

    async fn send(&mut self, path: &str) -> Result<hyper::Response<Incoming>, HttpError> {
        let request = Request::get(path).header(header::HOST, self.address.to_string());
        Ok(self.sender.send_request(request.body(Empty::new())?).await?)
    }

    fn is_usable(&self, address: SocketAddr) -> bool {
        self.address == address && !self.sender.is_closed()
    }
}

/// Sends one request, over the idle client of an earlier request if that is usable, or else over a new one. Afterwards
/// the client is stored in `idle` for the next request. The time limit applies to the whole request, so that a response
/// in small pieces does not extend it.
pub(crate) async fn get(
    idle: &mut Option<Client>,
    address: SocketAddr,
    path: &str,
    limit: Duration,
    max_body: usize,
) -> Result<Response, HttpError> {
    let usable = idle.take().filter(|client| client.is_usable(address));
    match timeout(limit, get_with(usable, address, path, max_body)).await {
        Ok(result) => {
            let (client, response) = result?;
            *idle = Some(client);
            Ok(response)
        }
        Err(_) => Err(HttpError::TimedOut(limit)),
    }
}

/// Sends one request over a new connection. Returns the status of the response, whose body is read and not stored.
pub(crate) async fn get_status(address: SocketAddr, path: &str, limit: Duration) -> Result<u16, HttpError> {
    let request = async { Client::connect(address).await?.get_status(path).await };
    timeout(limit, request).await.unwrap_or(Err(HttpError::TimedOut(limit)))
}

async fn get_with(
    idle: Option<Client>,
    address: SocketAddr,
    path: &str,
    max_body: usize,
) -> Result<(Client, Response), HttpError> {
    if let Some(mut client) = idle
        // A failure of the idle client is not reported: the service may have closed the connection while it was idle.
        && client.sender.ready().await.is_ok()
        && let Ok(response) = client.get(path, max_body).await
    {
        return Ok((client, response));
    }
    let mut client = Client::connect(address).await?;
    let response = client.get(path, max_body).await?;
    Ok((client, response))
}
