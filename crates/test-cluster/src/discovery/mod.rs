//! A discovery service: one endpoint list for all planners, and an address for each planner, which can be made to behave
//! badly by itself.

mod answer;
mod list;

pub use list::{PublishedList, endpoint, endpoint_started_at};

use answer::serve_connection;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

/// How an address of discovery behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DiscoveryBehavior {
    /// It answers every request as it should.
    Answers,
    /// It takes requests and never answers.
    Hangs,
    /// It answers a byte at a time, too slowly.
    Trickles,
    /// It answers with status 503.
    Unavailable,
    /// It ends the connection instead of answering.
    Resets,
    /// It sends half of an answer, and the rest once it behaves differently.
    SendsHalf,
    /// It sends so many bytes of an answer and ends the connection.
    BreaksOff(usize),
    /// It answers with the full list, whatever was requested.
    SendsFullList,
    /// It answers with changes up to a version before the one that was known.
    VersionGoesBack,
}

impl DiscoveryBehavior {
    /// Whether a request without changes waits for some. The other behaviors show at once.
    fn waits_for_changes(self) -> bool {
        use DiscoveryBehavior::{Answers, BreaksOff, SendsHalf};
        matches!(self, Answers | SendsHalf | BreaksOff(_))
    }
}

/// The service at one of its addresses.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<Mutex<PublishedList>>,
    behavior: Arc<Mutex<DiscoveryBehavior>>,
}

impl Discovery {
    /// A service that lists so many servers, all serving.
    ///
    /// # Panics
    ///
    /// No port is free.
    pub fn new(servers: usize) -> Discovery {
        Self::listen(Arc::new(Mutex::new(PublishedList::new(servers))))
    }

    /// The same list at another address.
    ///
    /// # Panics
    ///
    /// No port is free.
    pub fn another_address(&self) -> Discovery {
        Self::listen(self.list.clone())
    }

    fn listen(list: Arc<Mutex<PublishedList>>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let behavior = Arc::new(Mutex::new(DiscoveryBehavior::Answers));
        let discovery = Discovery { address, list, behavior };
        let server = discovery.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(serve_connection(&server, socket)));
            }
        });
        discovery
    }

    /// The list, as all addresses publish it.
    ///
    /// # Panics
    ///
    /// A thread has panicked while it held the list.
    pub fn list(&self) -> MutexGuard<'_, PublishedList> {
        self.list.lock().expect("nobody panics with the lock")
    }

    /// Publishes a new version, with these entries changed.
    ///
    /// # Panics
    ///
    /// A thread has panicked while it held the list.
    pub fn publish(&self, entries: &[Value]) {
        self.list().publish(entries);
    }

    /// How this address behaves from now on.
    ///
    /// # Panics
    ///
    /// A thread has panicked while it held the behavior.
    pub fn set_behavior(&self, behavior: DiscoveryBehavior) {
        *self.behavior.lock().expect("nobody panics with the lock") = behavior;
    }

    fn behavior(&self) -> DiscoveryBehavior {
        *self.behavior.lock().expect("nobody panics with the lock")
    }
}
