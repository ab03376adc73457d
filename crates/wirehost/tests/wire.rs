//! Tests of the adapter with frames built from the record layout, including example frames of the wire protocol's page.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test may panic")]

mod batches;

use batches::{SETTINGS, frame, instance_record, record, start, tail_record};
use grebespool_wirehost::Instances;
use rstest::rstest;

#[rstest]
fn answers_empty_batch_with_empty_reply() {
    let batch = [0, 0, 0, 16, 0x40, 0xc0, 0x6e, 0x20, 0, 0, 0, 0, 0, 0, 0, 0];
    assert_eq!(Instances::default().apply_batch(&batch).unwrap(), [0, 0, 0, 0, 0, 0, 0, 8]);
}

#[rstest]
fn start_sets_weights_before_binding_the_proxy() {
    let reply = Instances::default().apply_batch(&start(SETTINGS)).unwrap();
    assert_eq!(reply[4..8], (reply.len() as u32).to_be_bytes());
    let records: Vec<&[u8]> = reply[8..].chunks(16).collect();
    assert_eq!(records[0], [4, 0x1a, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    let weight = [4, 0x56, 0x3f, 0x80, 0, 0, 0, 0, 10, 18, 74, 7, 0x1f, 0x43, 0, 0];
    let bind = [4, 0x38, 0, 0x29, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    let position = |record: &[u8]| records.iter().position(|other| *other == record);
    assert!(position(&weight).unwrap() < position(&bind).unwrap());
}

#[rstest]
#[case::missing("classes.count=1\n", "", "setting classes.count is missing")]
#[case::unreadable("classes.0.aimMs=1500.0", "classes.0.aimMs=soon", "classes.0.aimMs cannot be read: soon")]
#[case::negative_duration(
    "classes.0.aimMs=1500.0",
    "classes.0.aimMs=-1",
    "classes.0.aimMs is not a duration in milliseconds"
)]
#[case::unknown_effect("effect=retryable", "effect=odd", "classes.0.effect has the unknown value odd")]
#[case::missing_optional("report.fields=cpu_share,something_new\n", "", "")]
fn error_names_the_setting(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let result = Instances::default().apply_batch(&start(&SETTINGS.replace(from, to)));
    match result {
        Ok(_) => assert_eq!(message, ""),
        Err(error) => assert!(!message.is_empty() && error.to_string().contains(message), "{error}"),
    }
}

#[rstest]
#[case::records_past_the_frame(vec![0, 0, 0, 16, 0x40, 0xc0, 0x6e, 0x20, 0, 0, 0, 0, 0xff, 0, 0, 0], "do not fit")]
#[case::clock_is_not_a_number(vec![0, 0, 0, 16, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0], "the clock")]
#[case::offset_past_the_tail(frame(&[tail_record(1140, &[0], 24, 1)], &[0; 24]), "past the tail")]
#[case::length_that_overflows(frame(&[tail_record(1140, &[0], 0, u32::MAX as usize)], &[]), "past the tail")]
#[case::settings_are_not_text(frame(&[instance_record(1), tail_record(1000, &[0; 8], 0, 2)], &[0xff, 0xfe]), "not valid UTF-8")]
#[case::unknown_code(frame(&[instance_record(1), record(7, &[])], &[]), "record 1 (code 7)")]
#[case::no_instance(frame(&[record(1020, &[])], &[]), "no earlier record names an instance")]
#[case::instance_not_started(frame(&[instance_record(4), record(1020, &[])], &[]), "instance 4 was not started")]
#[case::list_number_out_of_range(frame(&[record(1140, &[16])], &[]), "list number 16 is out of range")]
fn rejects_malformed_batches(#[case] batch: Vec<u8>, #[case] message: &str) {
    let error = Instances::default().apply_batch(&batch).unwrap_err().to_string();
    assert!(error.contains(message) && error.lines().count() == 1, "{error}");
}

#[rstest]
fn restarted_instance_replies_like_a_new_one() {
    let (mut twice, mut once) = (Instances::default(), Instances::default());
    let first = twice.apply_batch(&start(SETTINGS)).unwrap();
    assert_eq!(first, twice.apply_batch(&start(SETTINGS)).unwrap());
    assert_eq!(first, once.apply_batch(&start(SETTINGS)).unwrap());
}

/// The simulator may return any token. An unknown token publishes changes and does not start a regular evaluation.
#[rstest]
fn unknown_timer_token_publishes_like_the_urgent_timer() {
    let fired = |token: u32| {
        let mut instances = Instances::default();
        instances.apply_batch(&start(SETTINGS)).unwrap();
        instances.apply_batch(&frame(&[instance_record(3), record(1020, &token.to_be_bytes())], &[])).unwrap()
    };
    assert_eq!(fired(12345), fired(2));
    assert_ne!(fired(12345), fired(1));
}
