//! Calls over HTTP/1.1, each within a limit of its own.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The longest answer that is taken.
const MOST_BODY: usize = 2 << 20;

/// A connection that may be used for one call after another.
pub struct Client {
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
    async fn dial(address: SocketAddr) -> Result<Client, String> {
        let socket = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
        let _ = socket.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(socket)).await.map_err(|e| e.to_string())?;
        let driver = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Client { address, sender, driver })
    }

    async fn call(&mut self, path: &str) -> Result<(u16, Bytes), String> {
        let call = Request::get(path).header(header::HOST, self.address.to_string());
        let call = call.body(Empty::new()).map_err(|e| e.to_string())?;
        let answer = self.sender.send_request(call).await.map_err(|e| e.to_string())?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), MOST_BODY).collect().await.map_err(|e| e.to_string())?;
        Ok((status, body.to_bytes()))
    }
}

/// One call, over the connection that is kept or a new one, which is kept for the next. The limit holds for all of it
/// together, against an answer that trickles.
pub async fn get(
    kept: &mut Option<Client>,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(u16, Bytes), String> {
    let client = kept.take().filter(|c| c.address == address && !c.sender.is_closed());
    let calling = async {
        if let Some(mut client) = client {
            // One that was closed while it lay idle tells nothing of the service.
            if client.sender.ready().await.is_ok()
                && let Ok(answer) = client.call(path).await
            {
                return Ok((client, answer));
            }
        }
        let mut client = Client::dial(address).await?;
        let answer = client.call(path).await?;
        Ok((client, answer))
    };
    match timeout(limit, calling).await {
        Ok(Ok((client, answer))) => {
            *kept = Some(client);
            Ok(answer)
        }
        Ok(Err(why)) => Err(why),
        Err(_) => Err(format!("no answer within {limit:?}")),
    }
}
