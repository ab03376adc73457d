//! Any split of bytes gives the same messages; no input panics; bad frames are named.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_wire::*;
use proptest::prelude::*;
use rstest::rstest;

fn server() -> impl Strategy<Value = ServerId> {
    (any::<std::net::IpAddr>(), any::<u16>(), any::<u32>())
        .prop_map(|(ip, port, number)| ServerId { addr: (ip, port).into(), number })
}

fn report() -> impl Strategy<Value = Option<ServerMetrics>> {
    proptest::option::of((any::<u64>(), any::<u32>(), proptest::collection::vec(0.0f32..9.0, 0..4)).prop_map(
        |(start, number, figures)| ServerMetrics { incarnation: start, sequence: number, values: figures },
    ))
}

fn level() -> impl Strategy<Value = AdmissionRule> {
    (any::<u16>(), 0.0f32..1.0).prop_map(|(routes, share)| AdmissionRule {
        routes,
        admitted_fraction: share,
        retry_policy: RetryPolicy::IfNotExecuted,
    })
}

fn order() -> impl Strategy<Value = Change> {
    let weight = (server(), 0.0f32..9.0).prop_map(|(server, weight)| ServerWeight { server, weight });
    let weights = proptest::collection::vec(weight, 0..5);
    prop_oneof![
        (any::<u16>(), any::<u64>(), any::<u16>(), weights, proptest::collection::vec(level(), 0..3))
            .prop_map(|(table, version, routes, weights, admission)| Change::BindTable(TableBinding {
                table,
                version,
                routes,
                weights,
                admission
            })),
        (any::<u16>(), any::<u64>(), server(), 0.0f32..9.0).prop_map(|(table, version, server, weight)| {
            Change::SetWeight(WeightChange { table, version, server, weight })
        }),
        level().prop_map(Change::SetAdmission),
        (server(), any::<bool>())
            .prop_map(|(server, out)| Change::Exclude(Exclusion { server, excluded: out })),
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
    let met =
        (server(), any::<[u32; 3]>(), report()).prop_map(|(server, [tries, dropped, wait_us], report)| {
            ServerLoad { server, attempts: tries, dropped, mean_latency_us: wait_us, metrics: report }
        });
    prop_oneof![
        (any::<u16>(), "\\PC{0,60}", any::<[u8; 16]>()).prop_map(|(version, name, nonce)| Message::Hello(
            Hello { version, role: Role::Watcher, name, nonce }
        )),
        (any::<u64>(), any::<u32>(), any::<u64>(), proptest::collection::vec(order(), 0..6)).prop_map(
            |(start, stream, seq, parts)| Message::Update(Update {
                term: 0,
                incarnation: start,
                stream,
                sequence: seq,
                created_us: 7,
                endpoints_version: 9,
                cause: UpdateCause::Interval,
                changes: parts
            })
        ),
        proptest::collection::vec(met, 0..4).prop_map(|met| Message::ProxyReport(ProxyReport {
            servers: met,
            routes: vec![RouteLoad { route: 1, calls: 5 }]
        })),
        (any::<u64>(), any::<u64>(), any::<u64>(), proptest::collection::vec(entry, 0..5)).prop_map(
            |(version, base, now_ms, entries)| Message::EndpointList(EndpointList {
                version,
                base_version: base,
                now_ms,
                entries
            })
        ),
        Just(Message::Heartbeat),
        (any::<u64>(), report()).prop_map(|(id, report)| Message::Response(Response {
            id,
            attempt: 1,
            retry: 0,
            outcome: CallOutcome::Duplicate,
            metrics: report
        })),
        "\\PC{0,60}".prop_map(|text| Message::Close(Close { reason: CloseReason::UnexpectedMessage, text })),
    ]
}

fn read_all(inbox: &mut FrameDecoder, pieces: &[&[u8]]) -> Result<Vec<Message>, DecodeError> {
    let mut messages = vec![];
    for piece in pieces {
        inbox.push(piece);
        while let Some(m) = inbox.next_message()? {
            messages.push(m);
        }
    }
    Ok(messages)
}

proptest! {
    #[test]
    fn any_split_gives_the_same_messages(
        messages in proptest::collection::vec(message(), 1..5),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let mut bytes = vec![];
        messages.iter().for_each(|m| m.write_frame(&mut bytes));
        let mut at: Vec<usize> = cuts.iter().map(|c| c.index(bytes.len() + 1)).collect();
        at.extend([0, bytes.len()]);
        at.sort();
        let pieces: Vec<&[u8]> = at.windows(2).map(|w| &bytes[w[0]..w[1]]).collect();
        let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
        prop_assert_eq!(read_all(&mut inbox, &pieces).unwrap(), messages);
        prop_assert_eq!(inbox.buffered_bytes(), 0);
    }

    #[test]
    fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Message::decode(&bytes);
        let _ = read_all(&mut FrameDecoder::new(64), &[&bytes]);
    }

    /// Whole messages with one byte altered are read or refused, and what is read is written as it came.
    #[test]
    fn an_altered_byte_is_read_or_refused(m in message(), at in any::<prop::sample::Index>(), to in any::<u8>()) {
        let mut frame = m.to_frame();
        let at = 4 + at.index(frame.len() - 4);
        frame[at] = to;
        if let Ok(read) = Message::decode(&frame[4..]) {
            prop_assert_eq!(read.to_frame(), frame);
        }
    }

    #[test]
    fn a_message_cut_anywhere_is_refused(m in message(), at in any::<prop::sample::Index>()) {
        let frame = m.to_frame();
        prop_assert!(Message::decode(&frame[4..4 + at.index(frame.len() - 4)]).is_err());
    }
}

#[rstest]
#[case::oversized(&[0xff, 0xff, 0xff, 0xff], "a frame of 4294967295 bytes is over the limit of 100")]
#[case::empty(&[0, 0, 0, 0], "an empty frame")]
#[case::unknown(&[0, 0, 0, 1, 99], "unknown message kind 99")]
#[case::short(&[0, 0, 0, 3, 12, 0, 0], "a number at byte 0 is cut short")]
#[case::rest(&[0, 0, 0, 6, 12, 0, 0, 0, 1, 7], "1 bytes are left over after the message")]
#[case::a_false_count(&[0, 0, 0, 9, 7, 0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0],
    "2147483647 sums at byte 0 are more than the frame holds")]
#[case::no_text(&[0, 0, 0, 4, 11, 2, 0xff, 0xfe], "a reason at byte 0 is not text")]
#[case::a_flag(&[0, 0, 0, 10, 9, 0, 0, 0, 0, 0, 0, 0, 1, 7], "whether to watch at byte 8 cannot be 7")]
fn bad_frames_are_named(#[case] bytes: &[u8], #[case] text: &str) {
    assert_eq!(read_all(&mut FrameDecoder::new(100), &[bytes]).unwrap_err().to_string(), text);
}

#[rstest]
#[case::nan(f32::NAN)]
#[case::infinite(f32::INFINITY)]
#[case::below_nought(-1.0)]
fn no_weight_but_a_finite_one_is_read(#[case] weight: f32) {
    let server = ServerId { addr: ([127, 0, 0, 1], 80).into(), number: 1 };
    let parts = vec![Change::SetWeight(WeightChange { table: 0, version: 1, server, weight })];
    let orders = Update {
        term: 0,
        incarnation: 1,
        stream: 1,
        sequence: 1,
        created_us: 0,
        endpoints_version: 0,
        cause: UpdateCause::EndpointsChanged,
        changes: parts,
    };
    assert!(Message::decode(&Message::Update(orders).to_frame()[4..]).is_err());
}

#[rstest]
fn a_proof_holds_only_for_what_it_was_made_for() {
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
