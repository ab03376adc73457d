//! What a member acts by: one edition, or of two what both allow.

use super::{Content, Limit, Rack, Server, State};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What is allowed. While two editions are about it is the stricter of both, field by field (the table in
/// `docs/design/config-consensus.md`); where neither is the stricter, what depends on it pauses.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The part of each route's calls that may be let in at the most.
    pub most: BTreeMap<String, f64>,
    /// Routes, the least important first. Unset while two editions order them differently: none is cut before another,
    /// all alike.
    pub order: Option<Vec<String>>,
    pub limits: BTreeMap<String, Limit>,
    /// Unset where two editions place a rack differently: nothing is judged or placed there.
    pub racks: BTreeMap<String, Option<Rack>>,
    pub servers: BTreeMap<String, Server>,
    /// Servers that are called against one of two editions, since by both no server would be left: a proxy without any
    /// line (rule 1) is worse than a call to one that drains.
    pub spared: BTreeSet<String>,
}

impl View {
    pub fn of(content: &Content) -> View {
        View {
            most: content.routes.iter().map(|(n, r)| (n.clone(), r.most)).collect(),
            order: Some(content.order().into_iter().map(String::from).collect()),
            limits: content.limits.clone(),
            racks: content.racks.iter().map(|(n, r)| (n.clone(), Some(r.clone()))).collect(),
            servers: content.servers.clone(),
            spared: BTreeSet::new(),
        }
    }

    /// What both allow. What only one knows is not there yet, or not any more: a server is not called, a route without a
    /// word of the other keeps its bound, and so does a limit.
    pub fn both(old: &Content, new: &Content) -> View {
        let (a, mut view) = (View::of(old), View::of(new));
        for (name, most) in a.most {
            let stricter = view.most.get(&name).map_or(most, |m| m.min(most));
            view.most.insert(name, stricter);
        }
        view.order = view.order.filter(|order| Some(order) == a.order.as_ref());
        for (name, limit) in a.limits {
            let stricter = match (limit, view.limits.get(&name)) {
                (Limit::Most(a), Some(Limit::Most(b))) => Limit::Most(a.min(*b)),
                (Limit::Least(a), Some(Limit::Least(b))) => Limit::Least(a.max(*b)),
                (limit, _) => limit,
            };
            view.limits.insert(name, stricter);
        }
        let known: BTreeSet<&String> = old.racks.keys().chain(new.racks.keys()).collect();
        view.racks = known
            .into_iter()
            .map(|name| {
                let placed = match (old.racks.get(name), new.racks.get(name)) {
                    (Some(a), Some(b)) if (&a.site, &a.feed) == (&b.site, &b.feed) => {
                        Some(Rack { cap: a.cap.min(b.cap), ..b.clone() })
                    }
                    _ => None,
                };
                (name.clone(), placed)
            })
            .collect();
        let known: BTreeSet<&String> = old.servers.keys().chain(new.servers.keys()).collect();
        view.servers = known
            .into_iter()
            .map(|name| {
                let stricter = match (old.servers.get(name), new.servers.get(name)) {
                    (Some(a), Some(b)) => {
                        // One that stands elsewhere now is no room at either place.
                        let state = if a.rack == b.rack { a.state.max(b.state) } else { State::Draining };
                        Server { state, capacity: a.capacity.min(b.capacity), ..b.clone() }
                    }
                    (Some(one), None) | (None, Some(one)) => {
                        Server { state: one.state.max(State::Draining), ..one.clone() }
                    }
                    (None, None) => unreachable!("it is a name of one of both"),
                };
                (name.clone(), stricter)
            })
            .collect();
        view.spare(new);
        view
    }

    /// Rule 1 stands above: where nothing would be left, what the newer edition calls ready is called.
    fn spare(&mut self, newer: &Content) {
        if self.servers.values().all(|s| s.state != State::Ready) {
            for (name, server) in newer.ready() {
                self.servers.insert(name.clone(), server.clone());
                self.spared.insert(name.clone());
            }
        }
    }

    /// A server that is known to drain is not called, whatever editions say yet: that is the stricter side.
    pub fn drain(&mut self, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.state = server.state.max(State::Draining);
        }
    }

    /// What of it an edition does not allow, by name: nothing where it acts within that edition.
    pub fn beyond(&self, edition: &Content) -> Vec<String> {
        let mut beyond = vec![];
        for (name, most) in &self.most {
            if edition.routes.get(name).is_some_and(|r| *most > r.most) {
                beyond.push(format!("route {name}: {most}"));
            }
        }
        let order: Vec<String> = edition.order().into_iter().map(String::from).collect();
        if self.order.as_ref().is_some_and(|o| *o != order) {
            beyond.push(format!("order {:?}", self.order));
        }
        for (name, limit) in &edition.limits {
            let kept = match (limit, self.limits.get(name)) {
                (Limit::Most(most), Some(Limit::Most(own))) => own <= most,
                (Limit::Least(least), Some(Limit::Least(own))) => own >= least,
                _ => false,
            };
            if !kept {
                beyond.push(format!("limit {name}: {:?}", self.limits.get(name)));
            }
        }
        for (name, rack) in self.racks.iter().filter_map(|(n, r)| Some((n, r.as_ref()?))) {
            let there = edition.racks.get(name);
            let same = |r: &Rack| (&r.site, &r.feed) == (&rack.site, &rack.feed) && rack.cap <= r.cap;
            if !there.is_some_and(same) {
                beyond.push(format!("rack {name}"));
            }
        }
        for (name, server) in self.servers.iter().filter(|(_, s)| s.state == State::Ready) {
            let there = edition.servers.get(name).filter(|s| s.state == State::Ready);
            let same = |s: &Server| s.rack == server.rack && server.capacity <= s.capacity;
            if !self.spared.contains(name) && !there.is_some_and(same) {
                beyond.push(format!("server {name}"));
            }
        }
        beyond
    }
}
