//! One that joins, does as it is told, forwards no call and leaves: for joins in a loop and stolen names.

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

/// Joins once, under `name`, and stays for so long. `number`: its own in the record.
pub async fn visit(world: Rc<World>, link: Rc<Link>, number: u16, name: String, nonce: u64, stays: Duration) {
    let mut joined = false;
    let _ = timeout(stays, stay(&world, &link, &name, nonce, &mut joined)).await;
    if joined {
        world.put(Event::Left { proxy: number });
    }
}

async fn stay(world: &World, link: &Link, name: &str, nonce: u64, joined: &mut bool) -> io::Result<()> {
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
        if let Message::Update(o) = read_message(&mut socket, &mut dialled.decoder).await? {
            let applied = Message::UpdateAck(UpdateAck {
                incarnation: o.incarnation,
                stream: o.stream,
                sequence: o.sequence,
                token: None,
            });
            socket.write_all(&applied.to_frame()).await?;
        }
    }
}
