//! The client that sends requests of operators to a member.

use crate::keys::Keys;
use crate::request::{Request, Response};
use crate::transport::{AuthenticatedStream, Identity, Packet, TransportError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum duration of a request, connecting included.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The name that operators introduce themselves with.
const OPERATOR_NAME: &str = "operator";

/// Sends a request to the member at an address, on behalf of an operator who has the key.
///
/// # Errors
///
/// Returns an error if the stream fails, the member rejects the stream, or the request takes longer than ten seconds.
pub async fn send_request(
    address: &str,
    fleet: u64,
    keys: &Keys,
    request: Request,
) -> Result<Response, TransportError> {
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        let mut stream = AuthenticatedStream::connect(stream, Identity { fleet, id: 0 }, keys).await?;
        stream.introduce(OPERATOR_NAME, 0).await?;
        stream.send(&Packet::Request(request)).await?;
        match stream.receive().await? {
            Packet::Response(response) => Ok(response),
            Packet::Rejected(reason) => Err(TransportError::Rejected(reason)),
            _ => Err(TransportError::UnexpectedResponse),
        }
    };
    timeout(REQUEST_TIMEOUT, exchange).await?
}
