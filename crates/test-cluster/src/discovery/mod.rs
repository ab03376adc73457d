//! A discovery service: one endpoint list for all planners, and an address for each planner. The behavior of each address,
//! such as hanging or resetting connections, is set separately.

mod answer;
mod list;

pub use list::{PublishedList, endpoint, endpoint_started_at};

use answer::serve_connection;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Behavior of one address of the discovery service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DiscoveryBehavior {
    /// Answers every request correctly.
    Answers,
    /// Accepts requests and never answers.
    Hangs,
    /// Answers one byte at a time, too slowly.
    Trickles,
    /// Answers with status 503.
    Unavailable,
    /// Ends the connection instead of answering.
    Resets,
    /// Sends half of an answer, and the rest once another behavior is set.
    SendsHalf,
    /// Sends this number of bytes of an answer and ends the connection.
    BreaksOff(usize),
    /// Is busy: answers a long poll this long after its wait, and rejects every other request with status 503.
    Busy(Duration),
    /// Answers with the full list, even if changes were requested.
    SendsFullList,
    /// Answers with changes up to the version before the one that the client has.
    VersionGoesBack,
}

impl DiscoveryBehavior {
    /// Returns true if a request waits until there are changes. The other behaviors take effect at once.
    fn waits_for_changes(self) -> bool {
        use DiscoveryBehavior::{Answers, BreaksOff, Busy, SendsHalf};
        matches!(self, Answers | SendsHalf | BreaksOff(_) | Busy(_))
    }
}

/// Discovery service at one of its addresses. Clones share the list and the behavior.
#[derive(Clone)]
pub struct Discovery {
    /// Address at which the service listens.
    pub address: SocketAddr,
    list: Arc<Mutex<PublishedList>>,
    behavior: Arc<Mutex<DiscoveryBehavior>>,
}

impl Discovery {
    /// Starts a service that lists `servers` servers, all of them serving.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn new(servers: usize) -> Discovery {
        Self::listen(Arc::new(Mutex::new(PublishedList::new(servers))))
    }

    /// Starts another address of the service, with the same list and its own behavior.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
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

    /// Locks and returns the list, which all addresses share.
    ///
    /// # Panics
    ///
    /// Panics if a thread has panicked with the list locked.
    pub fn list(&self) -> MutexGuard<'_, PublishedList> {
        self.list.lock().expect("no thread panics with the lock held")
    }

    /// Publishes a new version of the list in which `entries` are changed.
    ///
    /// # Panics
    ///
    /// Panics if a thread has panicked with the list locked.
    pub fn publish(&self, entries: &[Value]) {
        self.list().publish(entries);
    }

    /// Sets the behavior of this address from now on.
    ///
    /// # Panics
    ///
    /// Panics if a thread has panicked with the behavior locked.
    pub fn set_behavior(&self, behavior: DiscoveryBehavior) {
        *self.behavior.lock().expect("no thread panics with the lock held") = behavior;
    }

    fn behavior(&self) -> DiscoveryBehavior {
        *self.behavior.lock().expect("no thread panics with the lock held")
    }
}
