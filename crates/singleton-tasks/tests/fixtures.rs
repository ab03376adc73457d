//! The encoding of stored records and of messages between members is stable: the bytes that an earlier release wrote are
//! decoded, and encoded again to the same bytes.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_singleton_tasks::*;
use rstest::rstest;
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::fmt::Debug;

const RECORDS: &str = include_str!("fixtures/records.txt");
const MESSAGES: &str = include_str!("fixtures/messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Parses a fixture's lines, each a name and bytes in hexadecimal.
fn lines(file: &str) -> BTreeMap<String, Vec<u8>> {
    let parse = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("a line has a name and bytes");
        (name.to_owned(), unhex(bytes))
    };
    file.lines().filter(|line| !line.is_empty()).map(parse).collect()
}

fn assert_stable_encoding<T>(file: &str, name: &str, expected: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written = postcard::to_stdvec(expected).unwrap();
    let stored = lines(file).remove(name).unwrap_or_default();
    assert_eq!(hex(&written), hex(&stored), "the bytes of {name}");
    assert_eq!(&postcard::from_bytes::<T>(&stored).unwrap(), expected, "the content of {name}");
}

fn token(number: u64) -> FencingToken {
    FencingToken { term: 300, number }
}

fn record() -> StepRecord {
    StepRecord { token: token(2), step: 400, completed: true, content: b"fixed before its effect".to_vec() }
}

fn entry() -> RegisterEntry {
    RegisterEntry { highest_token: token(3), record: Some(record()) }
}

fn counts(requests: u64) -> Counts {
    Counts { requests, attempts: requests + 1, unanswered: requests + 2 }
}

fn rows() -> Rows {
    vec![((1, 2), counts(500)), ((300, NO_ROUTE), counts(600))]
}

fn claims() -> LeaseClaims {
    LeaseClaims { tasks: vec![(1, token(4)), (2, token(5))], suspensions: vec![(3, 60_000)] }
}

fn messages() -> Vec<(&'static str, Message)> {
    let renew = |claims| {
        Message::RenewRequest(RenewRequest {
            term: 301,
            incarnation: 7 << 32,
            number: 302,
            version: 303,
            task_set: 0xfeed_beef,
            busy: vec![1, 200],
            claims,
        })
    };
    vec![
        ("renew-request", renew(None)),
        ("renew-request-with-claims", renew(Some(claims()))),
        ("renewed", Message::RenewResponse(RenewResponse { term: 304, number: 305, version: 306 })),
        (
            "grants",
            Message::Grants(LeaseGrants {
                term: 307,
                incarnation: 308,
                version: 309,
                tasks: vec![(1, token(6)), (2, token(7))],
                suspensions: vec![(4, 70_000)],
            }),
        ),
        ("foreign-tasks", Message::ForeignTaskSet { term: 310 }),
        ("open", Message::OpenRequest { task: 5, token: token(8) }),
        ("opened-empty", Message::OpenResponse { task: 6, token: token(9), record: None }),
        ("opened", Message::OpenResponse { task: 6, token: token(9), record: Some(record()) }),
        ("write", Message::WriteRequest { task: 7, record: record() }),
        ("written", Message::WriteResponse { task: 8, token: token(10), step: 311, completed: true }),
        ("fenced", Message::Fenced { task: 9, token: token(11), highest_token: token(12) }),
        ("copy-request", Message::CopyRequest { from: 10 }),
        (
            "copy",
            Message::CopyResponse {
                from: 11,
                entries: vec![(11, entry()), (12, RegisterEntry::default())],
                next: Some(13),
            },
        ),
        ("count-request", Message::CountRequest { from: 312, to: 316 }),
        ("counts", Message::CountResponse { periods: vec![(312, rows()), (313, vec![])] }),
    ]
}

/// Returns the index of a message's variant in the enumeration, which postcard writes. A variant that is added needs an
/// index here.
fn variant_index(message: &Message) -> usize {
    match message {
        Message::RenewRequest { .. } => 0,
        Message::RenewResponse { .. } => 1,
        Message::Grants { .. } => 2,
        Message::ForeignTaskSet { .. } => 3,
        Message::OpenRequest { .. } => 4,
        Message::OpenResponse { .. } => 5,
        Message::WriteRequest { .. } => 6,
        Message::WriteResponse { .. } => 7,
        Message::Fenced { .. } => 8,
        Message::CopyRequest { .. } => 9,
        Message::CopyResponse { .. } => 10,
        Message::CountRequest { .. } => 11,
        Message::CountResponse { .. } => 12,
    }
}

/// Returns a ledger that closed two periods and corrected the first, because member 9 answered late.
fn ledger() -> Ledger {
    let members = [8, 9];
    let mut answers = BTreeMap::from([(8, BTreeMap::from([(40, rows()), (41, rows())]))]);
    let first = Ledger::starting_at(40).next_step(42, &members, &answers).expect("period 40 can be closed");
    let second = first.next_step(42, &members, &answers).expect("period 41 can be closed");
    answers.insert(9, BTreeMap::from([(40, rows())]));
    second.next_step(42, &members, &answers).expect("period 40 can be corrected")
}

#[rstest]
fn encoding_of_every_message_is_stable() {
    let messages = messages();
    for (name, message) in &messages {
        assert_stable_encoding(MESSAGES, name, message);
        assert_eq!(
            usize::from(lines(MESSAGES)[*name][0]),
            variant_index(message),
            "the variant's index in {name}"
        );
    }
    assert_eq!(lines(MESSAGES).len(), messages.len(), "the fixture has one line for each message");
    let variants: std::collections::BTreeSet<usize> =
        messages.iter().map(|(_, message)| variant_index(message)).collect();
    assert_eq!(variants, (0..13).collect(), "the fixture has every variant");
}

#[rstest]
fn encoding_of_a_register_entry_is_stable() {
    assert_stable_encoding(RECORDS, "register-entry", &entry());
    assert_stable_encoding(RECORDS, "register-entry-empty", &RegisterEntry::default());
}

#[rstest]
fn encoding_of_claims_is_stable() {
    assert_stable_encoding(RECORDS, "claims", &claims());
}

#[rstest]
fn encoding_of_a_tally_is_stable() {
    let mut tally = Tally::default();
    tally.add(40, (1, 2), counts(500));
    tally.add(41, (300, NO_ROUTE), counts(600));
    assert_stable_encoding(RECORDS, "tally", &tally);
    assert_stable_encoding(RECORDS, "rows", &rows());
}

#[rstest]
fn encoding_of_a_ledger_and_an_account_is_stable() {
    let ledger = ledger();
    assert_stable_encoding(RECORDS, "ledger", &ledger);
    let account =
        Account { period: 40, revision: 1, rows: ledger.account.clone().unwrap().rows, missing: vec![] };
    assert_eq!(ledger.account, Some(account.clone()));
    assert_eq!(account.rows[0], ((1, 2), Counts { requests: 1000, attempts: 1002, unanswered: 1004 }));
    assert_stable_encoding(RECORDS, "account", &account);
}

/// Accounts are written as JSON files, so the names of their fields must not change.
#[rstest]
fn keys_of_an_account_in_json_are_stable() {
    let json = include_str!("fixtures/account.json").trim_end();
    let account = Account { period: 40, revision: 1, rows: rows(), missing: vec![9] };
    assert_eq!(serde_json::to_string(&account).unwrap(), json);
    assert_eq!(serde_json::from_str::<Account>(json).unwrap(), account);
}
