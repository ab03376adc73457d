//! Checks that the same settings are read alike from pairs and from nested JSON, and that errors name the key.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test may panic")]

use grebespool::host::{AdmissionMode, ColdStart};
use grebespool_platform_settings::PlatformSettings;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;

const PAIRS: &str = "classes.count=2\nclasses.0.aimMs=900.0\nclasses.0.effect=retryable\nclasses.0.name=look_up\n\
classes.0.points=1.0\nclasses.1.aimMs=700.0\nclasses.1.dedupScope=zone\nclasses.1.dedupWindowMs=1200.0\n\
classes.1.effect=dedup\nclasses.1.name=store\nclasses.1.points=3.5\nfamilyInfo.connsLeast=90.0\n\
familyInfo.cycleMs=500.0\nfamilyInfo.dataPlaneSize=12\nfamilyInfo.head=3.0\nfamilyInfo.linesPerS=8000.0\n\
familyInfo.mostWaiting=9000.0\nfamilyInfo.pushesAllowed=10\nfamilyInfo.staysLocal=false,true\n\
familyInfo.throttleBy=share\nfamilyInfo.tryFactor=0.7\nfamilyInfo.updateWindowMs=8000.0\n\
familyInfo.worstTransitMs=400.0\ninvariants.askEveryMs=9000.0\ninvariants.warmUpMs=12000.0\n\
registryMode=on_request\nreport.fields=cpu_share,pending\nreport.how=inline\nallowed.probing=true\n\
zones=north,far_south\nnew.thing=1";

fn nested() -> Value {
    json!({
        "classes": [
            {"aimMs": 900.0, "effect": "retryable", "name": "look up", "points": 1.0, "dedupWindowMs": null},
            {"aimMs": 700.0, "dedupScope": "zone", "dedupWindowMs": 1200.0, "effect": "dedup", "name": "store",
             "points": 3.5},
        ],
        "familyInfo": {
            "connsLeast": 90.0, "cycleMs": 500.0, "dataPlaneSize": 12, "head": 3.0, "linesPerS": 8000.0,
            "mostWaiting": 9000.0, "pushesAllowed": 10, "staysLocal": [false, true], "throttleBy": "share",
            "tryFactor": 0.7, "updateWindowMs": 8000.0, "worstTransitMs": 400.0,
        },
        "invariants": {"askEveryMs": 9000.0, "warmUpMs": 12000.0},
        "registryMode": "on_request",
        "report": {"fields": ["cpu_share", "pending"], "how": "inline"},
        "allowed": {"probing": true},
        "zones": ["north", "far south"],
        "new": {"thing": 1},
    })
}

/// Returns the `Debug` text of the results of all readers.
fn all_results(settings: &PlatformSettings) -> String {
    let parts = (
        settings.routes(),
        settings.proxy_capabilities(),
        settings.timeouts(),
        settings.control_channel_limits(),
        settings.observability(),
    );
    format!("{parts:?}")
}

#[rstest]
fn reads_pairs_and_nested_json_alike() {
    let (pairs, nested) =
        (PlatformSettings::from_pairs(PAIRS.as_bytes()).unwrap(), PlatformSettings::from_json(&nested()));
    assert_eq!(all_results(&pairs), all_results(&nested));
    assert_eq!(pairs.proxy_capabilities().unwrap().proxies, 12);
    assert!(!all_results(&pairs).contains("Err"), "{}", all_results(&pairs));
}

#[rstest]
#[case::missing("/familyInfo/linesPerS", Value::Null, "setting familyInfo.linesPerS is missing")]
#[case::not_a_number("/familyInfo/linesPerS", json!("fast"), "setting familyInfo.linesPerS cannot be read: fast")]
#[case::negative(
    "/familyInfo/worstTransitMs",
    json!(-1),
    "setting familyInfo.worstTransitMs is not a duration in milliseconds: -1"
)]
fn error_names_the_key(#[case] pointer: &str, #[case] value: Value, #[case] message: &str) {
    let mut settings = nested();
    *settings.pointer_mut(pointer).unwrap() = value;
    assert_eq!(
        PlatformSettings::from_json(&settings).control_channel_limits().unwrap_err().to_string(),
        message
    );
}

/// A negative level would make proxies reset their streams.
#[rstest]
#[case::negative_grace("drainGraceMs", json!(-1), "setting invariants.drainGraceMs is not a duration in milliseconds: -1")]
#[case::grace_is_a_text("drainGraceMs", json!("long"), "setting invariants.drainGraceMs cannot be read: long")]
#[case::negative_capacity("startCapacity", json!(-0.5), "setting invariants.startCapacity cannot be read: -0.5")]
#[case::multiple_is_no_number("fallMultiple", json!("NaN"), "setting invariants.fallMultiple cannot be read: NaN")]
fn rejects_invalid_rules_for_drains_and_cold_servers(
    #[case] key: &str,
    #[case] value: Value,
    #[case] message: &str,
) {
    let mut settings = nested();
    settings["invariants"]["startCapacity"] = json!(0.2);
    settings["invariants"]["fallMultiple"] = json!(3.0);
    let cold_start = PlatformSettings::from_json(&settings).timeouts().unwrap().cold_start;
    assert_eq!(cold_start, Some(ColdStart { capacity: 0.2, overload_multiple: 3.0 }));
    settings["invariants"][key] = value;
    assert_eq!(PlatformSettings::from_json(&settings).timeouts().unwrap_err().to_string(), message);
}

#[rstest]
#[case::missing(Value::Null, Ok(None))]
#[case::stated(json!(3100.0), Ok(Some(Duration::from_millis(3100))))]
#[case::negative(json!(-1), Err("setting familyInfo.unservedMaxMs is not a duration in milliseconds: -1".into()))]
fn reads_the_limit_on_the_time_without_a_server(
    #[case] value: Value,
    #[case] expected: Result<Option<Duration>, String>,
) {
    let mut settings = nested();
    settings["familyInfo"]["unservedMaxMs"] = value;
    let timeouts = PlatformSettings::from_json(&settings).timeouts();
    assert_eq!(timeouts.map(|timeouts| timeouts.max_unserved).map_err(|error| error.to_string()), expected);
}

/// An unknown mode is rejected, because the unit of a level depends on the mode.
#[rstest]
#[case::shares(json!("share"), Ok(AdmissionMode::Share))]
#[case::rates(json!("rate"), Ok(AdmissionMode::Rate))]
#[case::off(json!("off"), Ok(AdmissionMode::Off))]
#[case::missing(Value::Null, Ok(AdmissionMode::Off))]
#[case::unknown(json!("tokens"), Err("setting familyInfo.throttleBy has the unknown value tokens".to_string()))]
fn reads_admission_mode_and_rejects_unknown_ones(
    #[case] mode: Value,
    #[case] expected: Result<AdmissionMode, String>,
) {
    let mut settings = nested();
    settings["familyInfo"]["throttleBy"] = mode;
    assert_eq!(
        PlatformSettings::from_json(&settings)
            .proxy_capabilities()
            .map(|capabilities| capabilities.admission_mode)
            .map_err(|error| error.to_string()),
        expected
    );
}
