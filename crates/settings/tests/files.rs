//! Valid files are read back; errors of invalid files name the field, the line and what was expected.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_settings::{Day, Planned, Sweep, settings_text, show};
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn altered(name: &str, from: &str, to: &str) -> (tempfile::TempDir, PathBuf) {
    let text = std::fs::read_to_string(example(name)).unwrap();
    assert!(text.contains(from), "{from:?} is not in {name}");
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("altered.ncl");
    std::fs::write(&file, text.replacen(from, to, 1)).unwrap();
    (folder, file)
}

#[rstest]
#[case::no_unit(r#"slo = "400ms""#, r#"slo = "400""#, &["altered.ncl:6", "expected a span from 1ms to 10min"])]
#[case::a_number_for_a_span(r#"slo = "400ms""#, "slo = 400", &["altered.ncl:6", "such as \"250ms\""])]
#[case::out_of_bounds("importance = 1,", "importance = -1,", &["altered.ncl:6", "expected a number from 0.001"])]
#[case::not_whole("expected = 40", "expected = 4.5", &["altered.ncl:9", "expected a whole number"])]
#[case::no_such_word("'Freely", "'Sometimes", &["altered.ncl:6", "Sometimes"])]
#[case::no_such_field("zones =", "zoned =", &["zoned"])]
#[case::a_field_missing(r#"key_file = "fleet.key""#, "", &["key_file"])]
#[case::no_address(r#""127.0.0.1:7401""#, r#""somewhere""#, &["altered.ncl:15", "expected an address and a port"])]
#[case::broken_text("routes = [", "routes = {", &["altered.ncl"])]
#[case::a_zone_twice(r#""west"]"#, r#""east"]"#, &["deployment.zones", "\"east\" stands twice"])]
#[case::a_limit_under_the_slo(r#"time_limit = "2s""#, r#"time_limit = "300ms""#,
    &["deployment.routes[0].time_limit", "shorter than the SLO time"])]
#[case::marked_without_window("'Freely", "'Marked", &["deployment.routes[0].window"])]
#[case::slices("proxies = {", "slices = 12, proxies = {", &["deployment.slices", "not planned for yet"])]
#[case::a_queue_that_holds_nothing("most_waiting = 18000", "most_waiting = 10, head = 20",
    &["deployment.channel.most_waiting", "no message fits"])]
fn invalid_settings_are_rejected_by_line_and_field(
    #[case] from: &str,
    #[case] to: &str,
    #[case] says: &[&str],
) {
    let (_folder, file) = altered("serve.ncl", from, to);
    let said = Planned::read(&file).unwrap_err().to_string();
    for part in says {
        assert!(said.contains(part), "{part:?} is not in:\n{said}");
    }
}

#[rstest]
#[case::a_zone("zone = \"east\", count = 5", "zone = \"north\", count = 5", &["servers[0].zone", "\"north\""])]
#[case::a_route("route = 2, rate = 10", "route = 7, rate = 10", &["callers[2].route", "3 routes"])]
#[case::a_trouble_after_the_end("at = \"46s\"", "at = \"99s\"", &["troubles[16]", "after the day has ended"])]
#[case::a_trouble_of_no_length("lasts = \"8s\", what = 'Silent", "what = 'Silent", &["troubles[0]", "needs to last"])]
#[case::no_such_trouble("'ListOld", "'ListBlue", &["ListBlue"])]
#[case::a_trouble_in_no_zone("'ZoneCut { zone = \"west\"", "'ZoneCut { zone = \"moon\"", &["troubles[10]", "\"moon\""])]
#[case::two_kills_at_once("{ at = \"24s\", what = 'ListOld },", "{ at = \"18200ms\", lasts = \"1s\", what = 'PlannerStalled },",
    &["troubles[7]", "contradicts troubles[4]"])]
#[case::two_bursts("lasts = \"3s\", what = 'Burst { factor = 1.5 } }", "lasts = \"3s\", what = 'Burst { factor = 1.5 } }, { at = \"34s\", lasts = \"9s\", what = 'Burst { factor = 2 } }",
    &["troubles[12]", "contradicts troubles[11]"])]
#[case::more_servers_than_there_are("'Silent { servers = 2 }", "'Frozen { servers = 12 }", &["troubles[0]", "takes 12 servers; the day has 11"])]
#[case::more_proxies_than_there_are("'Unmarked { proxies = 2 }", "'Unmarked { proxies = 13 }", &["troubles[15]", "takes 13 proxies; the day has 12"])]
#[case::a_share("share = 0.6", "share = 6", &["expected a number from 0 to 1"])]
fn invalid_days_are_rejected_by_field(#[case] from: &str, #[case] to: &str, #[case] says: &[&str]) {
    let (_folder, file) = altered("bad-day.ncl", from, to);
    let said = Day::read(&file).unwrap_err().to_string();
    for part in says {
        assert!(said.contains(part), "{part:?} is not in:\n{said}");
    }
}

#[rstest]
fn a_missing_file_is_named() {
    let said = Planned::read(Path::new("no/such.ncl")).unwrap_err().to_string();
    assert!(said.starts_with("no/such.ncl cannot be read"), "{said}");
}

#[rstest]
fn shown_settings_are_read_back() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("shown.json");
    std::fs::write(&file, show(&example("serve.ncl"), "Settings").unwrap()).unwrap();
    let (first, again) = (Planned::read(&example("serve.ncl")).unwrap(), Planned::read(&file).unwrap());
    assert_eq!(format!("{:?}", first.deployment), format!("{:?}", again.deployment));
}

#[rstest]
fn a_written_deployment_is_read_back() {
    let day = Day::read(&example("bad-day.ncl")).unwrap();
    let list = Planned::read(&example("serve.ncl")).unwrap().list;
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.ncl");
    let text = settings_text(&day.deployment, &list, Path::new("k"), Duration::from_millis(1234));
    std::fs::write(&file, text).unwrap();
    let read = Planned::read(&file).unwrap();
    assert_eq!(format!("{:?}", read.deployment), format!("{:?}", day.deployment));
    assert_eq!(read.listen.stall.0, Duration::from_millis(1234));
}

#[rstest]
#[case::loopback("127.9.9.9", true)]
#[case::the_same_in_ipv6("::ffff:127.0.0.1", true)]
#[case::ipv6_loopback("::1", true)]
#[case::elsewhere("10.0.0.1", false)]
#[case::ipv6_elsewhere("2001:db8::1", false)]
fn only_allowed_networks_may_connect(#[case] ip: &str, #[case] holds: bool) {
    let listen = Planned::read(&example("serve.ncl")).unwrap().listen;
    assert_eq!(listen.allowed().holds(ip.parse().unwrap()), holds);
}

fn sweep(text: &str) -> Result<Sweep, String> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("sweep.ncl");
    std::fs::write(&file, text).unwrap();
    Sweep::read(&file).map_err(|bad| bad.to_string())
}

#[rstest]
#[case::no_variant("variants = []", &["variants", "expected at least one"])]
#[case::variants_left_out("seeds = 2", &["variants"])]
#[case::a_name_twice("variants = [{ name = \"a\" }, { name = \"a\" }]", &["variants[1].name", "there twice"])]
#[case::no_value("variants = [{ name = \"a\", set = [\"fast\"] }]", &["expected path=value"])]
#[case::no_seed("variants = [{ name = \"a\" }], seeds = 0", &["expected a whole number from 1"])]
#[case::an_unknown_field("variants = [{ name = \"a\", colour = 1 }]", &["colour"])]
fn invalid_sweeps_are_rejected_by_field(#[case] part: &str, #[case] says: &[&str]) {
    let said = sweep(&format!("{{ name = \"s\", days = [{{ name = \"d\" }}], {part} }}")).unwrap_err();
    for part in says {
        assert!(said.contains(part), "{part:?} is not in:\n{said}");
    }
}

#[rstest]
fn a_settings_file_replaces_the_whole_deployment_of_a_day() {
    let (settings, day) = (example("serve.ncl"), example("bad-day.ncl"));
    let (settings, day) = (settings.as_path(), day.as_path());
    // The settings have two routes, so the day's callers of the third are invalid.
    let bad = Day::read_with(day, Some(settings), &[]).unwrap_err().to_string();
    assert!(bad.contains("callers[2].route") && bad.contains("2 routes"), "{bad}");
    let set = ["callers=[{zone=\"east\", route=0, rate=1, work=\"1ms\"}]".into()];
    let read = Day::read_with(day, Some(settings), &set).unwrap().deployment;
    let whole = Planned::read(settings).unwrap().deployment;
    // Defaults count too: the day limits the messages to a proxy, the settings do not.
    assert_eq!(format!("{read:?}"), format!("{whole:?}"));
    assert_eq!(read.channel.most_messages, 0);
}

#[rstest]
#[case::shorter_than_its_renewals("lease = \"5s\", renew = \"2s\"", "members.duties.lease")]
#[case::shorter_than_a_change_of_the_lead("lease = \"2s\", renew = \"500ms\"", "twice members.lease")]
#[case::accounts_without_a_folder("accounts = { period = \"1min\" }", "folder")]
#[case::no_span("renew = 3", "expected a span")]
fn invalid_settings_of_duties_are_rejected_by_field(#[case] duties: &str, #[case] says: &str) {
    let members = format!(
        "listen = {{ address = \"127.0.0.1:7400\", key_file = \"fleet.key\" }},
         members = {{ fleet = \"f\", name = \"m0\", address = \"127.0.0.1:7500\", folder = \"state\",
                      key_file = \"members.key\", duties = {{ {duties} }} }},"
    );
    let from = "listen = { address = \"127.0.0.1:7400\", key_file = \"fleet.key\" },";
    let (_folder, file) = altered("serve.ncl", from, &members);
    let said = Planned::read(&file).unwrap_err().to_string();
    assert!(said.contains(says), "{said}");
}
