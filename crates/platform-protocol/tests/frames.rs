//! Parsing of bytes into messages: any split, any truncation, and invalid input.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test fails by a panic")]

use grebespool_platform_protocol::{FrameDecoder, FrameError, Message, MessageError, parse_message};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;

fn framed(body: &str) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}

fn decode_all(frames: &mut FrameDecoder) -> Result<Vec<Vec<u8>>, FrameError> {
    let mut bodies = vec![];
    while let Some(body) = frames.next_body()? {
        bodies.push(body.to_vec());
    }
    Ok(bodies)
}

#[rstest]
fn decodes_the_same_messages_from_any_split() {
    let bodies = [r#"{"msg":"PING"}"#, "{}", r#"{"msg":"ACK","node":1,"nonce":2,"latency":3.5}"#];
    let all: Vec<u8> = bodies.iter().flat_map(|b| framed(b)).collect();
    for first in 0..all.len() {
        for second in first..all.len() {
            let mut frames = FrameDecoder::new(1 << 20);
            let mut decoded = vec![];
            for part in [&all[..first], &all[first..second], &all[second..]] {
                frames.extend(part);
                decoded.extend(decode_all(&mut frames).unwrap());
            }
            assert_eq!(decoded, bodies.map(|b| b.as_bytes().to_vec()), "{first} {second}");
            assert!(!frames.has_partial_frame());
        }
    }
}

#[rstest]
fn decodes_nothing_from_a_truncated_frame() {
    let all = framed(r#"{"msg":"SOURCE","locality":"north"}"#);
    for length in 0..all.len() {
        let mut frames = FrameDecoder::new(1 << 20);
        frames.extend(&all[..length]);
        assert_eq!((decode_all(&mut frames), frames.has_partial_frame()), (Ok(vec![]), length > 0));
    }
}

#[rstest]
#[case::empty(&[0, 0, 0, 0], FrameError::Empty)]
#[case::too_long(&[0, 0, 16, 1], FrameError::TooLong { length: 4097, limit: 4096 })]
#[case::http(b"G", FrameError::TooLong { length: 0x4700_0000, limit: 4096 })]
#[case::not_an_object(&[0, 0, 0, 9, b'['], FrameError::NotAnObject(b'['))]
fn rejects_invalid_frames_by_their_first_bytes(#[case] bytes: &[u8], #[case] expected: FrameError) {
    let mut frames = FrameDecoder::new(4096);
    frames.extend(bytes);
    assert_eq!(decode_all(&mut frames), Err(expected));
}

fn valid_message(kind: &str) -> serde_json::Value {
    match kind {
        "LOAD" => {
            json!({"msg": "LOAD", "locality": "a", "endpoint": "s", "total": 4, "errors": 1, "rtt": 20.5,
                         "interval": 500.0, "metrics": {"cpu_share": 0.5}})
        }
        "RATE" => json!({"msg": "RATE", "node": 2, "route": "r", "total": 4, "errors": 0, "interval": 500.0}),
        "ACK" => json!({"msg": "ACK", "node": 2, "nonce": 7, "latency": 100.25}),
        _ => json!({"msg": "SUBSCRIBE", "node": 2, "locality": "a", "w": 1.5, "cold": false}),
    }
}

#[rstest]
#[case::null_attempts("LOAD", "total", json!(null), "is no figure")]
#[case::more_failures_than_attempts("LOAD", "errors", json!(5), "is above the total")]
#[case::negative_failures("LOAD", "errors", json!(-1), "is out of range")]
#[case::attempts_with_a_fraction("LOAD", "total", json!(4.5), "is no whole number")]
#[case::attempts_above_the_limit("LOAD", "total", json!(1e12), "is out of range")]
#[case::negative_latency("LOAD", "rtt", json!(-0.1), "is out of range")]
#[case::latency_above_the_limit("LOAD", "rtt", json!(1e300), "is out of range")]
#[case::zero_interval("LOAD", "interval", json!(0), "is nought")]
#[case::server_as_array("LOAD", "endpoint", json!(["s"]), "is no text")]
#[case::metrics_as_number("LOAD", "metrics", json!(3), "is no object")]
#[case::negative_metric("LOAD", "metrics", json!({"cpu_share": -1}), "is out of range")]
#[case::metric_as_string("LOAD", "metrics", json!({"cpu_share": "0.5"}), "is no figure")]
#[case::requests_as_string("RATE", "total", json!("4"), "is no figure")]
#[case::negative_proxy("RATE", "node", json!(-2), "is out of range")]
#[case::null_route("RATE", "route", json!(null), "is no text")]
#[case::ack_token_as_string("ACK", "nonce", json!("7"), "is no figure")]
#[case::ack_token_with_a_fraction("ACK", "nonce", json!(7.5), "is no whole number")]
#[case::negative_apply_time("ACK", "latency", json!(-5), "is out of range")]
#[case::without_table_as_number("SUBSCRIBE", "cold", json!(1), "is neither true nor false")]
#[case::request_rate_as_string("SUBSCRIBE", "w", json!("1"), "is no figure")]
fn rejects_message_with_invalid_field(
    #[case] kind: &str,
    #[case] field: &str,
    #[case] value: serde_json::Value,
    #[case] fault: &str,
) {
    let mut message = valid_message(kind);
    assert!(parse_message(message.to_string().as_bytes()).is_ok());
    message[field] = value;
    let Err(MessageError::Field(error)) = parse_message(message.to_string().as_bytes()) else {
        panic!("{message}")
    };
    assert_eq!(error.fault.to_string(), fault);
    message.as_object_mut().unwrap().remove(field);
    let optional = field == "metrics";
    assert_eq!(parse_message(message.to_string().as_bytes()).is_ok(), optional);
}

#[rstest]
#[case::all_failed(json!({"total": 2, "errors": 2, "rtt": 0.0}), None)]
#[case::all_failed_without_latency(json!({"total": 2, "errors": 2, "rtt": null}), None)]
#[case::one_succeeded(json!({"total": 3, "errors": 2, "rtt": 9.5}), Some(9.5))]
fn accepts_reports_with_and_without_latency(
    #[case] fields: serde_json::Value,
    #[case] latency_ms: Option<f64>,
) {
    let mut message = valid_message("LOAD");
    fields.as_object().unwrap().iter().for_each(|(k, v)| message[k] = v.clone());
    let Ok(Message::ServerReport(report)) = parse_message(message.to_string().as_bytes()) else {
        panic!("{message}")
    };
    assert_eq!(report.mean_latency_ms, latency_ms);
}

/// Guards against rejecting valid reports: requests that are received in one interval may fail in the next one, most
/// often while servers have faults.
#[rstest]
fn accepts_usage_with_more_failures_than_requests() {
    let mut message = valid_message("RATE");
    message["errors"] = json!(9);
    let Ok(Message::Usage(usage)) = parse_message(message.to_string().as_bytes()) else {
        panic!("{message}")
    };
    assert_eq!(usage.requests, 4);
}

proptest! {
    #[test]
    fn survives_any_bytes(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..20)) {
        let mut frames = FrameDecoder::new(4096);
        for part in parts {
            frames.extend(&part);
            match decode_all(&mut frames) {
                Ok(bodies) => bodies.iter().for_each(|b| drop(parse_message(b))),
                Err(_) => break,
            }
        }
    }

    #[test]
    fn survives_any_field(field in "[a-z]{1,9}", text in "\\PC{0,40}", number in any::<f64>()) {
        for kind in ["LOAD", "RATE", "ACK", "SUBSCRIBE"] {
            for value in [json!(text), json!(number), json!([number]), json!({"a": text})] {
                let mut message = valid_message(kind);
                message[&field] = value;
                let _ = parse_message(message.to_string().as_bytes());
            }
        }
    }
}

/// Guards against messages of very many fields that take much memory and time: only the fields that a message has are read.
#[rstest]
#[case::before(true)]
#[case::after(false)]
fn unknown_fields_of_a_message_are_skipped(#[case] unknown_first: bool) {
    let unknown: String = (0..5000).map(|field| format!(r#""x{field}":[{{"a":[{field}]}},null],"#)).collect();
    let known = r#""msg":"RATE","node":1,"route":"store","total":2,"errors":0,"interval":500"#;
    let body = if unknown_first {
        format!("{{{unknown}{known}}}")
    } else {
        format!("{{{known},{}}}", unknown.trim_end_matches(','))
    };
    assert_eq!(parse_message(body.as_bytes()), parse_message(format!("{{{known}}}").as_bytes()));
    assert!(parse_message(body.as_bytes()).is_ok());
}

#[rstest]
#[case::array(r#""route":[1,"a"]"#, "RATE: route is no text")]
#[case::object(r#""route":{"a":1}"#, "RATE: route is no text")]
#[case::number(r#""route":3"#, "RATE: route is no text")]
#[case::last_of_two(r#""route":3,"route":null"#, "RATE: route is no text")]
fn field_of_another_form_is_an_error(#[case] route: &str, #[case] message: &str) {
    let body = format!(r#"{{"msg":"RATE","node":1,"total":2,"errors":0,"interval":500,{route}}}"#);
    assert_eq!(parse_message(body.as_bytes()).unwrap_err().to_string(), message);
}

#[rstest]
#[case::usual(30, 30)]
#[case::more_than_any_deployment_has(5000, 256)]
fn metrics_are_read_up_to_a_limit(#[case] sent: usize, #[case] read: usize) {
    let metrics: Vec<String> = (0..sent).map(|metric| format!(r#""m{metric}":{metric}"#)).collect();
    let body = format!(
        r#"{{"msg":"LOAD","locality":"a","endpoint":"s","total":2,"errors":0,"rtt":1,"interval":500,"metrics":{{{}}}}}"#,
        metrics.join(",")
    );
    let Ok(Message::ServerReport(report)) = parse_message(body.as_bytes()) else { panic!("{body}") };
    assert_eq!(report.metrics.len(), read);
}
