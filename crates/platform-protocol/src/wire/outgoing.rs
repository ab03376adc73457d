//! Messages to peers, encoded as frames.

use super::frame::encode_frame;
use super::names::{field, kind};
use grebespool::host::{RetryPolicy, RouteSet, ServerIndex};
use grebespool_assignments::{Level, Told};
use serde_json::{Map, Value, json};

/// The answer to a ping.
pub(crate) fn encode_pong() -> Vec<u8> {
    encode_frame(&json!({ field::KIND: kind::PONG }))
}

/// Tells a peer why its connection is closed.
pub(crate) fn encode_refusal(reason: &str) -> Vec<u8> {
    encode_frame(&json!({ field::KIND: kind::NACK, field::REASON: reason }))
}

/// Encodes table updates, in the platform's names of routes and servers.
pub(crate) struct UpdateEncoder<'a, F> {
    route_names: &'a [String],
    server_id: F,
}

impl<'a, F: Fn(ServerIndex) -> &'a str> UpdateEncoder<'a, F> {
    /// An encoder that takes the names from here.
    pub(crate) fn new(route_names: &'a [String], server_id: F) -> Self {
        UpdateEncoder { route_names, server_id }
    }

    /// One message, as a frame for each of its parts.
    ///
    /// The first part holds the weights and the admission of the routes that these are for: a full table makes the proxy
    /// forget earlier admission, so the others follow. The last part holds the mark.
    pub(crate) fn encode(&self, update: &Told) -> Vec<u8> {
        let mut admissions = self.merged_admissions(update.levels).into_iter().peekable();
        let mut first = self.weights_part(update);
        if let Some(admission) = admissions.next_if(|next| next.routes == update.bound.unwrap_or(ALL_ROUTES))
        {
            insert_admission(&mut first, &admission);
        }
        let mut parts = vec![];
        if !first.is_empty() {
            parts.push(first);
        }
        parts.extend(admissions.map(|admission| self.admission_part(&admission)));
        if let (Some(mark), Some(last)) = (update.mark, parts.last_mut()) {
            last.insert(field::MARK.into(), json!(mark));
        }
        encode_parts(parts)
    }

    fn weights_part(&self, update: &Told) -> Map<String, Value> {
        let mut part = Map::new();
        if update.bound.is_some() || !update.lines.is_empty() {
            let weights = update.lines.iter().map(|(server, weight)| self.weight(*server, *weight));
            part.insert(field::WEIGHTS.into(), weights.collect());
        }
        if let Some(routes) = update.bound {
            part.insert(field::FULL_TABLE.into(), json!(true));
            self.insert_routes(&mut part, routes);
        }
        part
    }

    fn weight(&self, server: ServerIndex, weight: f32) -> Value {
        json!([(self.server_id)(server), shortest_number(weight)])
    }

    fn admission_part(&self, admission: &Admission) -> Map<String, Value> {
        let mut part = Map::new();
        self.insert_routes(&mut part, admission.routes);
        insert_admission(&mut part, admission);
        part
    }

    fn insert_routes(&self, part: &mut Map<String, Value>, routes: RouteSet) {
        if routes == ALL_ROUTES {
            return;
        }
        let names = self.route_names.iter().enumerate();
        let names = names.filter(|(position, _)| routes & (1 << position) != 0);
        part.insert(field::ROUTES.into(), names.map(|(_, name)| json!(name)).collect());
    }

    /// Routes of equal admission under one entry, by their sets.
    fn merged_admissions(&self, levels: &[Level]) -> Vec<Admission> {
        let mut merged: Vec<Admission> = vec![];
        for (routes, admitted, tries) in levels {
            let equal = merged.iter_mut().find(|other| other.admitted == *admitted && other.tries == *tries);
            match equal {
                Some(equal) => equal.routes |= routes,
                None => merged.push(Admission { routes: *routes, admitted: *admitted, tries: *tries }),
            }
        }
        merged.sort_by_key(|admission| admission.routes);
        let every_route = (0..self.route_names.len()).fold(0, |routes, position| routes | (1 << position));
        for admission in &mut merged {
            if admission.routes == every_route {
                admission.routes = ALL_ROUTES;
            }
        }
        merged
    }
}

/// On the wire, a part without routes is for all of them.
const ALL_ROUTES: RouteSet = 0;

/// How much of the requests of some routes is admitted, and when failed ones are tried again.
struct Admission {
    routes: RouteSet,
    admitted: f32,
    tries: RetryPolicy,
}

fn insert_admission(part: &mut Map<String, Value>, admission: &Admission) {
    part.insert(field::ADMITTED.into(), shortest_number(admission.admitted));
    part.insert(field::RETRY.into(), json!(retry_code(admission.tries)));
}

/// On the wire: do not renumber.
fn retry_code(tries: RetryPolicy) -> u8 {
    match tries {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::AfterFailure => 2,
    }
}

/// The number by its shortest text: widened to 64 bits it would be written with digits that it does not have.
fn shortest_number(number: f32) -> Value {
    number.to_string().parse::<f64>().map_or(Value::Null, |number| json!(number))
}

fn encode_parts(parts: Vec<Map<String, Value>>) -> Vec<u8> {
    let last = parts.len().saturating_sub(1);
    let mut bytes = vec![];
    for (position, mut part) in parts.into_iter().enumerate() {
        part.insert(field::KIND.into(), json!(kind::CONFIG));
        if position < last {
            part.insert(field::MORE.into(), json!(true));
        }
        bytes.extend(encode_frame(&Value::Object(part)));
    }
    bytes
}
