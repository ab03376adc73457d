//! Encodes messages to peers as frames.

use super::frame::encode_frame;
use super::names::{field, kind};
use grebespool::host::{ALL_ROUTES, RetryPolicy, RouteSet, ServerIndex};
use grebespool_assignments::{AdmissionRule, ProxyUpdate, ServerWeight, TableUpdate};
use serde_json::{Map, Value, json};

/// Encodes the answer to a ping.
pub(crate) fn encode_pong() -> Vec<u8> {
    encode_frame(&json!({ field::KIND: kind::PONG }))
}

/// Encodes a refusal, which gives a peer the reason why its connection is closed.
pub(crate) fn encode_refusal(reason: &str) -> Vec<u8> {
    encode_frame(&json!({ field::KIND: kind::NACK, field::REASON: reason }))
}

/// An encoder of updates for proxies, with the platform's names of routes and servers.
pub(crate) struct UpdateEncoder<'a, F> {
    route_names: &'a [String],
    server_id: F,
}

impl<'a, F: Fn(ServerIndex) -> &'a str> UpdateEncoder<'a, F> {
    /// Creates an encoder with these route names and this lookup of server ids.
    pub(crate) fn new(route_names: &'a [String], server_id: F) -> Self {
        UpdateEncoder { route_names, server_id }
    }

    /// Encodes one message as a frame for each of its parts.
    ///
    /// The first parts hold the weights, one for each table; each contains the admission rule of the same routes if there is
    /// one. The rules of other routes follow in further parts, after all weights, because a full table resets the
    /// admission at the proxy. The last part holds the ack token.
    pub(crate) fn encode(&self, update: &ProxyUpdate) -> Vec<u8> {
        let mut rules = self.merge_rules(update.admission);
        let mut parts: Vec<Map<String, Value>> = vec![];
        for table in update.tables {
            let mut part = self.weights_part(table, update.is_new);
            if let Some(position) = rules.iter().position(|rule| rule.routes == table.routes) {
                insert_rule(&mut part, &rules.remove(position));
            }
            parts.push(part);
        }
        parts.extend(rules.iter().map(|rule| self.admission_part(rule)));
        if let (Some(token), Some(last)) = (update.ack_token, parts.last_mut()) {
            last.insert(field::ACK_TOKEN.into(), json!(token));
        }
        encode_parts(parts)
    }

    fn weights_part(&self, update: &TableUpdate, is_whole: bool) -> Map<String, Value> {
        let mut part = Map::new();
        let weights = update.weights.iter().map(|weight| self.weight(weight));
        part.insert(field::WEIGHTS.into(), weights.collect());
        if is_whole {
            part.insert(field::FULL_TABLE.into(), json!(true));
        }
        self.insert_routes(&mut part, update.routes);
        part
    }

    fn weight(&self, weight: &ServerWeight) -> Value {
        json!([(self.server_id)(weight.server), shortest_number(weight.weight)])
    }

    fn admission_part(&self, rule: &AdmissionRule) -> Map<String, Value> {
        let mut part = Map::new();
        self.insert_routes(&mut part, rule.routes);
        insert_rule(&mut part, rule);
        part
    }

    fn insert_routes(&self, part: &mut Map<String, Value>, routes: RouteSet) {
        // A part without the field of routes applies to all routes.
        if routes == ALL_ROUTES {
            return;
        }
        let names = self.route_names.iter().enumerate();
        let names = names.filter(|(position, _)| routes & (1 << position) != 0);
        part.insert(field::ROUTES.into(), names.map(|(_, name)| json!(name)).collect());
    }

    /// Merges the rules of routes with the same level and retry policy. Returns them in the order of their route sets.
    fn merge_rules(&self, rules: &[AdmissionRule]) -> Vec<AdmissionRule> {
        let mut merged: Vec<AdmissionRule> = vec![];
        for rule in rules {
            let equal = merged
                .iter_mut()
                .find(|other| other.level == rule.level && other.retry_policy == rule.retry_policy);
            match equal {
                Some(equal) => equal.routes |= rule.routes,
                None => merged.push(*rule),
            }
        }
        merged.sort_by_key(|rule| rule.routes);
        let every_route = (0..self.route_names.len()).fold(0, |routes, position| routes | (1 << position));
        for rule in merged.iter_mut().filter(|rule| rule.routes == every_route) {
            rule.routes = ALL_ROUTES;
        }
        merged
    }
}

fn insert_rule(part: &mut Map<String, Value>, rule: &AdmissionRule) {
    part.insert(field::ADMITTED.into(), shortest_number(rule.level));
    part.insert(field::RETRY.into(), json!(retry_code(rule.retry_policy)));
}

/// Returns the code of a retry policy. On the wire: do not renumber.
fn retry_code(retries: RetryPolicy) -> u8 {
    match retries {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::AfterFailure => 2,
    }
}

/// Converts the number through its shortest decimal text. Widened directly to 64 bits, the number would be written with
/// digits beyond its precision.
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
