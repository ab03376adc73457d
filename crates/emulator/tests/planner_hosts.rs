//! Planners that are processes, started in the middle of a day.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test may panic")]

use grebespool_emulator::{PlannerHost, ProcessHost};
use grebespool_settings::{Day, ListMode, ListSource};
use rstest::rstest;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::time::{Duration, Instant};

const SMALL: &str = include_str!("small.ncl");

/// On a busy machine, a planner process took seconds to start, and all emulated servers and callers stood still meanwhile:
/// requests timed out that no planner had any part in.
#[rstest]
#[case::until_it_listens(false, "127.0.0.1:4567")]
#[case::killed_before_it_listens(true, "127.0.0.1:9")]
#[tokio::test(flavor = "current_thread")]
async fn a_planner_that_starts_slowly_does_not_block_the_day(
    #[case] killed: bool,
    #[case] expected: SocketAddr,
) {
    let folder = tempfile::tempdir().unwrap();
    let program = folder.path().join("planner");
    std::fs::write(&program, "#!/bin/sh\nsleep 2\necho listening at 127.0.0.1:4567\nexec sleep 10\n")
        .unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o700)).unwrap();
    let day = Day::parse(SMALL, "a test's day").unwrap_or_else(|bad| panic!("{bad}"));
    let list = ListSource::new("127.0.0.1:9".parse().unwrap(), ListMode::Pushed, day.list.ask_within);
    let mut host = ProcessHost::new(program, Duration::from_secs(2)).unwrap();
    let began = Instant::now();
    let starting = host.restart(&day.deployment, &list, &folder.path().join("key")).unwrap();
    assert!(began.elapsed() < Duration::from_millis(1500), "{:?}", began.elapsed());
    if killed {
        host.kill();
    }
    let addresses = RefCell::new(vec!["127.0.0.1:9".parse().unwrap()]);
    starting.update(&addresses).await;
    assert_eq!(*addresses.borrow(), [expected]);
}
