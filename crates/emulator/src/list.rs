//! The emulated service of the server list, on a socket.

use crate::world::World;
use grebespool_controller_server::dial::read_message;
use grebespool_invariants::{Event, List};
use grebespool_wire::{
    Challenge, Close, CloseReason, EndpointEntry, EndpointList, EndpointPoll, EndpointPollFailed,
    EndpointState, FrameDecoder, Hello, Join, MAX_BODY_BYTES, Message, PROTOCOL_VERSION, ServerId,
    Transcript, Welcome,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// The list's service.
pub(crate) struct ServerList {
    world: Rc<World>,
    pub(crate) addr: SocketAddr,
    entries: RefCell<BTreeMap<ServerId, EndpointEntry>>,
    version: Cell<u64>,
    /// Delay of a change until it is published.
    pub(crate) delay: Cell<Duration>,
    /// True if the service publishes nothing and fails polls.
    pub(crate) failing: Cell<bool>,
    watchers: RefCell<Vec<mpsc::UnboundedSender<Message>>>,
    changes: mpsc::UnboundedSender<(Duration, Vec<EndpointEntry>)>,
}

impl ServerList {
    /// Starts the service with an empty list.
    pub(crate) async fn new(world: Rc<World>, delay: Duration) -> io::Result<Rc<ServerList>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let (changes, changed) = mpsc::unbounded_channel();
        let list = Rc::new(ServerList {
            world,
            addr: listener.local_addr()?,
            entries: RefCell::default(),
            version: Cell::new(1),
            delay: Cell::new(delay),
            failing: Cell::new(false),
            watchers: RefCell::default(),
            changes,
        });
        spawn_local(list.clone().publish(changed));
        let serving = list.clone();
        spawn_local(async move {
            loop {
                if let Ok((socket, _)) = listener.accept().await {
                    let serving = serving.clone();
                    spawn_local(async move { drop(serving.serve_connection(socket).await) });
                }
            }
        });
        Ok(list)
    }

    /// Adds the entries that are listed before the day begins.
    pub(crate) fn add_initial_entries(&self, entries: Vec<EndpointEntry>) {
        self.entries.borrow_mut().extend(entries.into_iter().map(|e| (e.server, e)));
    }

    /// Schedules the publication of changes after the present delay, and never before an earlier change.
    pub(crate) fn change(&self, changed: Vec<EndpointEntry>) {
        let _ = self.changes.send((self.world.now() + self.delay.get(), changed));
    }

    /// Publishes changes when they are due.
    async fn publish(self: Rc<Self>, mut changes: mpsc::UnboundedReceiver<(Duration, Vec<EndpointEntry>)>) {
        while let Some((due, changed)) = changes.recv().await {
            tokio::time::sleep_until(self.world.began() + due).await;
            for e in &changed {
                let mut entries = self.entries.borrow_mut();
                match e.state {
                    EndpointState::Removed => drop(entries.remove(&e.server)),
                    _ => drop(entries.insert(e.server, e.clone())),
                }
            }
            let base = self.version.get();
            self.version.set(base + 1);
            self.send_to_watchers(base + 1, base, changed);
        }
    }

    /// Publishes the whole list again under the given version.
    pub(crate) fn republish(&self, version: u64) {
        let entries = self.entries.borrow().values().cloned().collect();
        self.send_to_watchers(version, 0, entries);
    }

    /// Publishes an outdated whole list, with version 1.
    pub(crate) fn publish_outdated(&self, entries: Vec<EndpointEntry>) {
        self.send_to_watchers(1, 0, entries);
    }

    /// Returns the version of the list.
    pub(crate) fn version(&self) -> u64 {
        self.version.get()
    }

    /// Sends a list or its changes to all watchers, unless the service is failing.
    fn send_to_watchers(&self, version: u64, base: u64, entries: Vec<EndpointEntry>) {
        if self.failing.get() {
            return;
        }
        let message = Message::EndpointList(EndpointList {
            version,
            base_version: base,
            now_ms: self.world.now_ms(),
            entries,
        });
        self.watchers.borrow_mut().retain(|w| w.send(message.clone()).is_ok());
    }

    /// Serves a connection: accepts a join, responds to polls, and sends changes to a watcher.
    #[expect(clippy::too_many_lines, reason = "one exchange of messages, in its order")]
    async fn serve_connection(&self, mut socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
        let key = &self.world.key;
        let Message::Hello(Hello { name, nonce, .. }) = read_message(&mut socket, &mut decoder).await? else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let challenge =
            Message::Challenge(Challenge { version: PROTOCOL_VERSION, incarnation: 1, nonce: [7; 16] });
        socket.write_all(&challenge.to_frame()).await?;
        let Message::Join(Join { zone, proof, .. }) = read_message(&mut socket, &mut decoder).await? else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let transcript = Transcript {
            dialer_nonce: &nonce,
            listener_nonce: &[7; 16],
            incarnation: 1,
            name: &name,
            zone: &zone,
        };
        if !proof.matches(&key.dialer_proof(&transcript)) {
            let close = Message::Close(Close { reason: CloseReason::Rejected, text: "another key".into() });
            return socket.write_all(&close.to_frame()).await;
        }
        let proof = key.listener_proof(&transcript);
        socket.write_all(&Message::Welcome(Welcome { stream: 1, term: 0, proof }).to_frame()).await?;
        let (mut from, mut to) = socket.into_split();
        let (sender, mut waiting) = mpsc::unbounded_channel::<Message>();
        let writing = async {
            while let Some(message) = waiting.recv().await {
                to.write_all(&message.to_frame()).await?;
                if let Message::EndpointList(EndpointList { version, base_version: base, now_ms, entries }) =
                    message
                {
                    self.world.put(Event::ListTold(List { version, base, now_ms, entries }));
                }
            }
            io::Result::Ok(())
        };
        let reading = async {
            loop {
                match read_message(&mut from, &mut decoder).await? {
                    Message::EndpointPoll(EndpointPoll { known_version: have, watch }) => {
                        let (version, now_ms) = (self.version.get(), self.world.now_ms());
                        let response = if self.failing.get() {
                            Message::EndpointPollFailed(EndpointPollFailed {
                                text: "the list is out of order".into(),
                            })
                        } else if have == version {
                            Message::EndpointList(EndpointList {
                                version,
                                base_version: version,
                                now_ms,
                                entries: vec![],
                            })
                        } else {
                            let entries = self.entries.borrow().values().cloned().collect();
                            Message::EndpointList(EndpointList { version, base_version: 0, now_ms, entries })
                        };
                        let _ = sender.send(response);
                        let watched = self.watchers.borrow().iter().any(|w| w.same_channel(&sender));
                        if watch && !watched && !self.failing.get() {
                            self.watchers.borrow_mut().push(sender.clone());
                        }
                    }
                    _ => return io::Result::<()>::Err(io::ErrorKind::InvalidData.into()),
                }
            }
        };
        tokio::select! {
            ended = writing => ended,
            ended = reading => ended,
        }
    }
}
