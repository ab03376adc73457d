//! The simulated network and disks: messages, writes and timers that are scheduled as events.

use super::{DisabledGuard, Id, MS, TestFleet};
use grebespool_config_distribution::*;
use rand::Rng;
use std::time::Duration;

/// Duration of a write to disk.
const WRITE_TIME: Duration = Duration::from_millis(3);
/// Time after which an event of a suspended process is tried again.
const SUSPENDED_RETRY: Duration = Duration::from_millis(50);

pub enum Event {
    Message { to: Id, from: Id, message: Message },
    Written { node: Id, start: u32, write: LogWrite },
    Timer(Id),
}

impl TestFleet {
    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    pub(super) fn write(&mut self, id: Id, write: LogWrite) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.disk_full {
            return node.stalled_writes.push(write);
        }
        let start = node.starts;
        self.schedule(self.now + WRITE_TIME, Event::Written { node: id, start, write });
    }

    pub(super) fn send(&mut self, from: Id, to: Id, mut message: Message) {
        if let Message::Upward(Upward::Renew { count, .. }) = &message {
            self.renewals.insert((from, to), *count);
        }
        self.count_bytes_of(from, &message);
        if let (
            DisabledGuard::ReadinessWait,
            Message::Upward(Upward::Renew { statuses, .. } | Upward::Attach { statuses, .. }),
        ) = (self.disabled, &mut message)
        {
            statuses.iter_mut().for_each(|status| status.ready = status.held.revision);
        }
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = self.max_delay.mul_f64(self.rng.random_range(0.05..1.0));
            self.schedule(self.now + delay, Event::Message { to, from, message: message.clone() });
        }
    }

    /// Returns a message as altered by the disabled guard.
    fn alter_for_disabled_guard(&self, to: Id, from: Id, message: Message) -> Message {
        match (self.disabled, message) {
            (
                DisabledGuard::LeaseFromSending,
                Message::Downward(Downward::Granted { session, term, lease, .. }),
            ) => {
                let count = self.renewals.get(&(to, from)).copied().unwrap_or_default();
                Message::Downward(Downward::Granted { session, term, count, lease })
            }
            (DisabledGuard::ChainCheck, Message::Downward(Downward::Links { links })) => {
                let links = links.into_iter().map(|link| self.close_gap(to, link)).collect();
                Message::Downward(Downward::Links { links })
            }
            (_, message) => message,
        }
    }

    /// Returns a link that fits the receiver's chain, if the given one would leave a gap; otherwise the given one.
    fn close_gap(&self, to: Id, link: Link) -> Link {
        let chain = self.nodes.get(&to).and_then(|node| node.planner()?.chain(link.scope));
        let over_gap = chain.filter(|chain| link.revision > chain.revision() + 1);
        over_gap.and_then(|chain| chain.next(link.step.clone()).ok()).unwrap_or(link)
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Message { message: Message::Proposed { number, refused }, .. } => {
                if let Some(open) = self.open.remove(&number) {
                    self.answer_durations.push(self.now - open.since);
                    self.answered.insert(number, refused);
                }
            }
            Event::Message { to, from, message } => {
                if self.nodes.get(&to).is_some_and(|node| node.suspended) {
                    // The message waits in the socket's buffer.
                    return self.schedule(self.now + SUSPENDED_RETRY, Event::Message { to, from, message });
                }
                let message = self.alter_for_disabled_guard(to, from, message);
                self.call(to, |machine, now| machine.message_received(now, from, message));
            }
            Event::Written { node, start, write } => self.written(node, start, write),
            Event::Timer(id) => self.fire_timer(id),
        }
    }

    fn written(&mut self, id: Id, start: u32, write: LogWrite) {
        let node = self.nodes.get_mut(&id);
        let Some(node) = node.filter(|node| node.starts == start && node.machine.is_some()) else { return };
        if node.suspended {
            return self.schedule(self.now + SUSPENDED_RETRY, Event::Written { node: id, start, write });
        }
        node.log.apply(&write);
        self.call(id, |machine, now| machine.persisted(now, write.stamp));
    }

    fn fire_timer(&mut self, id: Id) {
        let Some(node) = self.nodes.get(&id) else { return };
        if node.suspended {
            return self.schedule(self.now + SUSPENDED_RETRY, Event::Timer(id));
        }
        if self.now >= node.timer_at {
            self.call(id, |machine, now| machine.timer_fired(now));
        }
    }

    pub(super) fn is_up(&self, id: Id) -> bool {
        self.nodes.get(&id).is_some_and(|node| node.machine.is_some() && !node.suspended)
    }

    pub(super) fn is_connected(&self, a: Id, b: Id) -> bool {
        self.is_up(a) && self.is_up(b) && !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a))
    }

    /// Cuts the connections from a node to all others (`outgoing`), from all others to the node (`incoming`), or both.
    pub fn cut_off(&mut self, id: Id, outgoing: bool, incoming: bool) {
        for other in self.nodes.keys().copied().filter(|other| *other != id) {
            self.cut.extend(outgoing.then_some((id, other)));
            self.cut.extend(incoming.then_some((other, id)));
        }
    }

    fn cut_both_ways(&mut self, a: Id, b: Id) {
        self.cut.insert((a, b));
        self.cut.insert((b, a));
    }

    /// Cuts a control machine off from all but the planners of some zones.
    pub fn cut_from_all_but(&mut self, id: Id, zones: &[u32]) {
        let reachable: Vec<Id> = zones.iter().flat_map(|zone| self.planners_of(*zone)).collect();
        let others: Vec<Id> =
            self.nodes.keys().copied().filter(|other| *other != id && !reachable.contains(other)).collect();
        others.into_iter().for_each(|other| self.cut_both_ways(id, other));
    }

    /// Cuts the planners of a zone off from all nodes outside the zone.
    pub fn cut_zone(&mut self, zone: u32) {
        let inside = self.planners_of(zone);
        let outside: Vec<Id> = self.nodes.keys().copied().filter(|id| !inside.contains(id)).collect();
        for a in outside {
            inside.iter().for_each(|b| self.cut_both_ways(a, *b));
        }
    }

    pub(super) fn set_disk_full(&mut self, id: Id, full: bool) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.disk_full = full;
        if full {
            return;
        }
        let (stalled, start) = (std::mem::take(&mut node.stalled_writes), node.starts);
        for write in stalled {
            self.schedule(self.now + WRITE_TIME, Event::Written { node: id, start, write });
        }
    }

    pub(super) fn reset_network(&mut self) {
        (self.loss, self.duplication, self.max_delay) = (0.0, 0.0, MS(20));
        self.cut.clear();
    }
}
