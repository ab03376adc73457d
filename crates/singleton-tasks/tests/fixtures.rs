//! Stored records and messages between members keep their bytes: what an earlier release wrote is read, and written
//! again, without a difference.

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

/// The fixture's lines: a name and the bytes in hexadecimal.
fn lines(file: &str) -> BTreeMap<String, Vec<u8>> {
    let parse = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("a name and bytes");
        (name.to_owned(), unhex(bytes))
    };
    file.lines().filter(|line| !line.is_empty()).map(parse).collect()
}

fn reads_and_writes_the_same<T>(file: &str, name: &str, expected: &T)
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

/// The place of a message's kind in the enumeration. A variant that is added has to be placed here.
fn kind(message: &Message) -> usize {
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

/// A ledger that closed two periods and corrected the first, because member 9 was heard late.
fn ledger() -> Ledger {
    let members = [8, 9];
    let mut answers = BTreeMap::from([(8, BTreeMap::from([(40, rows()), (41, rows())]))]);
    let first = Ledger::starting_at(40).next_step(42, &members, &answers).expect("period 40 is over");
    let second = first.next_step(42, &members, &answers).expect("period 41 is over");
    answers.insert(9, BTreeMap::from([(40, rows())]));
    second.next_step(42, &members, &answers).expect("a correction of period 40")
}

#[rstest]
fn every_message_between_members_keeps_its_bytes() {
    let messages = messages();
    for (name, message) in &messages {
        reads_and_writes_the_same(MESSAGES, name, message);
        assert_eq!(usize::from(lines(MESSAGES)[*name][0]), kind(message), "the variant's place in {name}");
    }
    assert_eq!(lines(MESSAGES).len(), messages.len(), "each message stands in the fixture, and nothing else");
    let kinds: std::collections::BTreeSet<usize> =
        messages.iter().map(|(_, message)| kind(message)).collect();
    assert_eq!(kinds, (0..13).collect(), "every variant stands in the fixture");
}

#[rstest]
fn stored_register_entry_keeps_its_bytes() {
    reads_and_writes_the_same(RECORDS, "register-entry", &entry());
    reads_and_writes_the_same(RECORDS, "register-entry-empty", &RegisterEntry::default());
}

#[rstest]
fn stored_claims_keep_their_bytes() {
    reads_and_writes_the_same(RECORDS, "claims", &claims());
}

#[rstest]
fn stored_tally_keeps_its_bytes() {
    let mut tally = Tally::default();
    tally.add(40, (1, 2), counts(500));
    tally.add(41, (300, NO_ROUTE), counts(600));
    reads_and_writes_the_same(RECORDS, "tally", &tally);
    reads_and_writes_the_same(RECORDS, "rows", &rows());
}

#[rstest]
fn stored_ledger_and_account_keep_their_bytes() {
    let ledger = ledger();
    reads_and_writes_the_same(RECORDS, "ledger", &ledger);
    let account =
        Account { period: 40, revision: 1, rows: ledger.account.clone().unwrap().rows, missing: vec![] };
    assert_eq!(ledger.account, Some(account.clone()));
    assert_eq!(account.rows[0], ((1, 2), Counts { requests: 1000, attempts: 1002, unanswered: 1004 }));
    reads_and_writes_the_same(RECORDS, "account", &account);
}

/// The accounts are written as JSON files, which go by key.
#[rstest]
fn account_written_as_json_keeps_its_keys() {
    let json = include_str!("fixtures/account.json").trim_end();
    let account = Account { period: 40, revision: 1, rows: rows(), missing: vec![9] };
    assert_eq!(serde_json::to_string(&account).unwrap(), json);
    assert_eq!(serde_json::from_str::<Account>(json).unwrap(), account);
}
