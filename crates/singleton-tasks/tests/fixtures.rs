//! Stored records and messages between members keep their bytes: what an earlier release wrote is read, and written
//! again, without a difference.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

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

fn token(number: u64) -> Token {
    Token { epoch: 300, number }
}

fn record() -> Record {
    Record { token: token(2), step: 400, ended: true, content: b"fixed before its effect".to_vec() }
}

fn cell() -> Cell {
    Cell { seen: token(3), record: Some(record()) }
}

fn counts(calls: u64) -> Counts {
    Counts { calls, tries: calls + 1, dropped: calls + 2 }
}

fn rows() -> Rows {
    vec![((1, 2), counts(500)), ((300, NO_ROUTE), counts(600))]
}

fn claims() -> Claims {
    Claims { duties: vec![(1, token(4)), (2, token(5))], holds: vec![(3, 60_000)] }
}

fn messages() -> Vec<(&'static str, Word)> {
    let renew = |claims| Word::Renew {
        epoch: 301,
        turn: 7 << 32,
        number: 302,
        version: 303,
        names: 0xfeed_beef,
        busy: vec![1, 200],
        claims,
    };
    vec![
        ("renew-request", renew(None)),
        ("renew-request-with-claims", renew(Some(claims()))),
        ("renewed", Word::Renewed { epoch: 304, number: 305, version: 306 }),
        (
            "grants",
            Word::Grants {
                epoch: 307,
                turn: 308,
                version: 309,
                duties: vec![(1, token(6)), (2, token(7))],
                holds: vec![(4, 70_000)],
            },
        ),
        ("foreign-tasks", Word::OtherNames { epoch: 310 }),
        ("open", Word::Open { duty: 5, token: token(8) }),
        ("opened-empty", Word::Opened { duty: 6, token: token(9), record: None }),
        ("opened", Word::Opened { duty: 6, token: token(9), record: Some(record()) }),
        ("write", Word::Write { duty: 7, record: record() }),
        ("written", Word::Written { duty: 8, token: token(10), step: 311, ended: true }),
        ("fenced", Word::Late { duty: 9, token: token(11), seen: token(12) }),
        ("copy-request", Word::Copy { from: 10 }),
        ("copy", Word::Copied { from: 11, cells: vec![(11, cell()), (12, Cell::default())], next: Some(13) }),
        ("count-request", Word::Count { from: 312, to: 316 }),
        ("counts", Word::Counted { periods: vec![(312, rows()), (313, vec![])] }),
    ]
}

/// The place of a message's kind in the enumeration. A variant that is added has to be placed here.
fn kind(message: &Word) -> usize {
    match message {
        Word::Renew { .. } => 0,
        Word::Renewed { .. } => 1,
        Word::Grants { .. } => 2,
        Word::OtherNames { .. } => 3,
        Word::Open { .. } => 4,
        Word::Opened { .. } => 5,
        Word::Write { .. } => 6,
        Word::Written { .. } => 7,
        Word::Late { .. } => 8,
        Word::Copy { .. } => 9,
        Word::Copied { .. } => 10,
        Word::Count { .. } => 11,
        Word::Counted { .. } => 12,
    }
}

/// A ledger that closed two periods and corrected the first, because member 9 was heard late.
fn ledger() -> Ledger {
    let seats = [8, 9];
    let mut told = BTreeMap::from([(8, BTreeMap::from([(40, rows()), (41, rows())]))]);
    let first = Ledger::beginning(40).step(42, &seats, &told).expect("period 40 is over");
    let second = first.step(42, &seats, &told).expect("period 41 is over");
    told.insert(9, BTreeMap::from([(40, rows())]));
    second.step(42, &seats, &told).expect("a correction of period 40")
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
    reads_and_writes_the_same(RECORDS, "register-entry", &cell());
    reads_and_writes_the_same(RECORDS, "register-entry-empty", &Cell::default());
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
    assert_eq!(account.rows[0], ((1, 2), Counts { calls: 1000, tries: 1002, dropped: 1004 }));
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
