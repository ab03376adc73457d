//! Sends HTTP/1.1 requests, each with one time limit for the whole request.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, header};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The longest accepted response body in bytes. An endpoint list of some 10,000 servers fits.
const MAX_BODY_LENGTH: usize = 2 << 20;

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
        let (sender, connection) = handshake(TokioIo::new(socket)).await?;
        let driver = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Client { address, sender, driver })
    }

    async fn get(&mut self, path: &str) -> Result<Response, HttpError> {
        let request = Request::get(path).header(header::HOST, self.address.to_string());
        let response = self.sender.send_request(request.body(Empty::new())?).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY_LENGTH).collect().await;
        Ok(Response { status, body: body.map_err(HttpError::Body)?.to_bytes() })
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
) -> Result<Response, HttpError> {
    let usable = idle.take().filter(|client| client.is_usable(address));
    match timeout(limit, get_with(usable, address, path)).await {
        Ok(result) => {
            let (client, response) = result?;
            *idle = Some(client);
            Ok(response)
        }
        Err(_) => Err(HttpError::TimedOut(limit)),
    }
}

async fn get_with(
    idle: Option<Client>,
    address: SocketAddr,
    path: &str,
) -> Result<(Client, Response), HttpError> {
    if let Some(mut client) = idle
        // A failure of the idle client is not reported: the service may have closed the connection while it was idle.
        && client.sender.ready().await.is_ok()
        && let Ok(response) = client.get(path).await
    {
        return Ok((client, response));
    }
    let mut client = Client::connect(address).await?;
    let response = client.get(path).await?;
    Ok((client, response))
}
