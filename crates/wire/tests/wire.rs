//! Decoding gives the same messages for any split of the bytes, never panics, and names the fault of a malformed frame.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_wire::*;
use proptest::prelude::*;
use rstest::rstest;

fn server() -> impl Strategy<Value = ServerId> {
    (any::<std::net::IpAddr>(), any::<u16>(), any::<u32>())
        .prop_map(|(ip, port, number)| ServerId { addr: (ip, port).into(), number })
}

fn metrics() -> impl Strategy<Value = Option<ServerMetrics>> {
    proptest::option::of(
        (any::<u64>(), any::<u32>(), proptest::collection::vec(0.0f32..9.0, 0..4))
            .prop_map(|(incarnation, sequence, values)| ServerMetrics { incarnation, sequence, values }),
    )
}

fn admission_rule() -> impl Strategy<Value = AdmissionRule> {
    (any::<u16>(), 0.0f32..1.0).prop_map(|(routes, admitted_fraction)| AdmissionRule {
        routes,
        admitted_fraction,
        retry_policy: RetryPolicy::IfNotExecuted,
    })
}

fn change() -> impl Strategy<Value = Change> {
    let weight = (server(), 0.0f32..9.0).prop_map(|(server, weight)| ServerWeight { server, weight });
    let weights = proptest::collection::vec(weight, 0..5);
    prop_oneof![
        (
            any::<u16>(),
            any::<u64>(),
            any::<u16>(),
            weights,
            proptest::collection::vec(admission_rule(), 0..3)
        )
            .prop_map(|(table, version, routes, weights, admission)| Change::BindTable(
                TableBinding { table, version, routes, weights, admission }
            )),
        (any::<u16>(), any::<u64>(), server(), 0.0f32..9.0).prop_map(|(table, version, server, weight)| {
            Change::SetWeight(WeightChange { table, version, server, weight })
        }),
        admission_rule().prop_map(Change::SetAdmission),
        (server(), any::<bool>())
            .prop_map(|(server, excluded)| Change::Exclude(Exclusion { server, excluded })),
        any::<u16>().prop_map(Change::RequestAck),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let entry = (server(), "[a-z]{0,9}", any::<u64>()).prop_map(|(server, zone, started_ms)| EndpointEntry {
        server,
        zone,
        state: EndpointState::Draining,
        started_ms,
    });
    let load = (server(), any::<[u32; 3]>(), metrics()).prop_map(
        |(server, [attempts, dropped, mean_latency_us], metrics)| ServerLoad {
            server,
            attempts,
            dropped,
            mean_latency_us,
            metrics,
        },
    );
    prop_oneof![
        (any::<u16>(), "\\PC{0,60}", any::<[u8; 16]>()).prop_map(|(version, name, nonce)| Message::Hello(
            Hello { version, role: Role::Watcher, name, nonce }
        )),
        (any::<u64>(), any::<u32>(), any::<u64>(), proptest::collection::vec(change(), 0..6)).prop_map(
            |(incarnation, stream, sequence, changes)| Message::Update(Update {
                term: 0,
                incarnation,
                stream,
                sequence,
                created_us: 7,
                endpoints_version: 9,
                cause: UpdateCause::Interval,
                changes
            })
        ),
        proptest::collection::vec(load, 0..4).prop_map(|servers| Message::ProxyReport(ProxyReport {
            servers,
            routes: vec![RouteLoad { route: 1, calls: 5 }]
        })),
        (any::<u64>(), any::<u64>(), any::<u64>(), proptest::collection::vec(entry, 0..5)).prop_map(
            |(version, base_version, now_ms, entries)| Message::EndpointList(EndpointList {
                version,
                base_version,
                now_ms,
                entries
            })
        ),
        Just(Message::Heartbeat),
        (any::<u64>(), metrics()).prop_map(|(id, metrics)| Message::Response(Response {
            id,
            attempt: 1,
            retry: 0,
            outcome: CallOutcome::Duplicate,
            metrics
        })),
        "\\PC{0,60}".prop_map(|text| Message::Close(Close { reason: CloseReason::UnexpectedMessage, text })),
    ]
}

fn decode_all(decoder: &mut FrameDecoder, pieces: &[&[u8]]) -> Result<Vec<Message>, DecodeError> {
    let mut messages = vec![];
    for piece in pieces {
        decoder.push(piece);
        while let Some(message) = decoder.next_message()? {
            messages.push(message);
        }
    }
    Ok(messages)
}

proptest! {
    #[test]
    fn any_split_of_the_bytes_decodes_to_the_same_messages(
        messages in proptest::collection::vec(message(), 1..5),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let mut bytes = vec![];
        messages.iter().for_each(|message| message.write_frame(&mut bytes));
        let mut positions: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        positions.extend([0, bytes.len()]);
        positions.sort();
        let pieces: Vec<&[u8]> = positions.windows(2).map(|range| &bytes[range[0]..range[1]]).collect();
        let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
        prop_assert_eq!(decode_all(&mut decoder, &pieces).unwrap(), messages);
        prop_assert_eq!(decoder.buffered_bytes(), 0);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Message::decode(&bytes);
        let _ = decode_all(&mut FrameDecoder::new(64), &[&bytes]);
    }

    /// A frame with one altered byte is either rejected or decoded to a message that encodes to the same bytes.
    #[test]
    fn a_frame_with_an_altered_byte_is_rejected_or_encodes_to_the_same_bytes(
        message in message(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut frame = message.to_frame();
        let position = 4 + position.index(frame.len() - 4);
        frame[position] = byte;
        if let Ok(decoded) = Message::decode(&frame[4..]) {
            prop_assert_eq!(decoded.to_frame(), frame);
        }
    }

    #[test]
    fn a_truncated_message_is_rejected(message in message(), end in any::<prop::sample::Index>()) {
        let frame = message.to_frame();
        prop_assert!(Message::decode(&frame[4..4 + end.index(frame.len() - 4)]).is_err());
    }
}

#[rstest]
#[case::frame_too_long(&[0xff, 0xff, 0xff, 0xff], "a frame of 4294967295 bytes is over the limit of 100")]
#[case::empty_frame(&[0, 0, 0, 0], "an empty frame")]
#[case::unknown_kind(&[0, 0, 0, 1, 99], "unknown message kind 99")]
#[case::truncated(&[0, 0, 0, 3, 12, 0, 0], "a number at byte 0 is cut short")]
#[case::trailing_bytes(&[0, 0, 0, 6, 12, 0, 0, 0, 1, 7], "1 bytes are left over after the message")]
#[case::count_too_large(&[0, 0, 0, 9, 7, 0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0],
    "2147483647 sums at byte 0 are more than the frame holds")]
#[case::invalid_utf8(&[0, 0, 0, 4, 11, 2, 0xff, 0xfe], "a reason at byte 0 is not text")]
#[case::invalid_flag(&[0, 0, 0, 10, 9, 0, 0, 0, 0, 0, 0, 0, 1, 7], "whether to watch at byte 8 cannot be 7")]
fn the_error_names_the_fault_of_a_malformed_frame(#[case] bytes: &[u8], #[case] text: &str) {
    assert_eq!(decode_all(&mut FrameDecoder::new(100), &[bytes]).unwrap_err().to_string(), text);
}

#[rstest]
#[case::nan(f32::NAN)]
#[case::infinite(f32::INFINITY)]
#[case::negative(-1.0)]
fn a_weight_that_is_not_finite_and_non_negative_is_rejected(#[case] weight: f32) {
    let server = ServerId { addr: ([127, 0, 0, 1], 80).into(), number: 1 };
    let changes = vec![Change::SetWeight(WeightChange { table: 0, version: 1, server, weight })];
    let update = Update {
        term: 0,
        incarnation: 1,
        stream: 1,
        sequence: 1,
        created_us: 0,
        endpoints_version: 0,
        cause: UpdateCause::EndpointsChanged,
        changes,
    };
    assert!(Message::decode(&Message::Update(update).to_frame()[4..]).is_err());
}

#[rstest]
fn a_proof_matches_only_the_key_domain_and_transcript_of_its_creation() {
    let (key, other) = (FleetKey::derive(b"one"), FleetKey::derive(b"two"));
    let (a, b) = ([1; 16], [2; 16]);
    let proof = key.dialer_proof(&Transcript {
        dialer_nonce: &a,
        listener_nonce: &b,
        incarnation: 5,
        name: "p",
        zone: "z",
    });
    assert!(proof.matches(&key.dialer_proof(&Transcript {
        dialer_nonce: &a,
        listener_nonce: &b,
        incarnation: 5,
        name: "p",
        zone: "z"
    })));
    for wrong in [
        other.dialer_proof(&Transcript {
            dialer_nonce: &a,
            listener_nonce: &b,
            incarnation: 5,
            name: "p",
            zone: "z",
        }),
        key.dialer_proof(&Transcript {
            dialer_nonce: &b,
            listener_nonce: &a,
            incarnation: 5,
            name: "p",
            zone: "z",
        }),
        key.dialer_proof(&Transcript {
            dialer_nonce: &a,
            listener_nonce: &b,
            incarnation: 6,
            name: "p",
            zone: "z",
        }),
        key.dialer_proof(&Transcript {
            dialer_nonce: &a,
            listener_nonce: &b,
            incarnation: 5,
            name: "pz",
            zone: "",
        }),
        key.listener_proof(&Transcript {
            dialer_nonce: &a,
            listener_nonce: &b,
            incarnation: 5,
            name: "p",
            zone: "z",
        }),
    ] {
        assert!(!proof.matches(&wrong));
    }
}
