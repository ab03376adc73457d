//! A proxy that joins, acknowledges updates, forwards no request and leaves. Faults use it to join in a loop and to
//! join under the name of another proxy.

use crate::link::Link;
use crate::world::World;
use grebespool_controller_server::dial::{AppliedUpdate, Dialer, handshake, read_message};
use grebespool_invariants::Event;
use grebespool_wire::{Message, Role, UpdateAck};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Joins once under `name`, and leaves after `stay`. `number` is the proxy's number in the record.
pub(crate) async fn run_idle_proxy(
    world: Rc<World>,
    link: Rc<Link>,
    number: u16,
    name: String,
    nonce: u64,
    stay: Duration,
) {
    let mut joined = false;
    let _ = timeout(stay, acknowledge_updates(&world, &link, &name, nonce, &mut joined)).await;
    if joined {
        world.put(Event::Left { proxy: number });
    }
}

/// Joins, sets `joined`, and acknowledges updates until the stream ends.
async fn acknowledge_updates(
    world: &World,
    link: &Link,
    name: &str,
    nonce: u64,
    joined: &mut bool,
) -> io::Result<()> {
    let mut socket = TcpStream::connect(link.addr).await?;
    let zone = &world.deployment.zones[usize::from(link.zone)];
    let peer = Dialer {
        role: Role::Proxy,
        name,
        zone,
        calls_per_s: 1.0,
        initial_table_only: false,
        applied: AppliedUpdate::default(),
        newest_term: 0,
    };
    let nonce = (u128::MAX - u128::from(nonce)).to_be_bytes();
    let mut dialled = handshake(&mut socket, &world.key, nonce, &peer).await?;
    *joined = true;
    loop {
        if let Message::Update(update) = read_message(&mut socket, &mut dialled.decoder).await? {
            let ack = Message::UpdateAck(UpdateAck {
                incarnation: update.incarnation,
                stream: update.stream,
                sequence: update.sequence,
                token: None,
            });
            socket.write_all(&ack.to_frame()).await?;
        }
    }
}
