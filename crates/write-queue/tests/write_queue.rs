//! When a reader has had long enough, and what its socket sees.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_write_queue::{Backlog, BacklogStatus, WriteLimits, WriteOutcome, WriteQueue};
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::takes_all(&[(0, 100, 100)], 5000, BacklogStatus::WithinLimits)]
#[case::takes_nothing(&[(0, 100, 0)], 2000, BacklogStatus::Stalled)]
#[case::in_time_still(&[(0, 100, 0)], 1999, BacklogStatus::WithinLimits)]
#[case::a_byte_now_and_then(&[(0, 100, 10), (1000, 0, 10), (1900, 0, 10)], 2000, BacklogStatus::Stalled)]
#[case::behind_but_moving(&[(0, 100, 50), (1500, 100, 60)], 2000, BacklogStatus::WithinLimits)]
#[case::too_much(&[(0, 100, 100), (10, 1001, 0)], 20, BacklogStatus::Full)]
fn a_connection_stalls_by_its_oldest_waiting_byte(
    #[case] steps: &[(u64, usize, usize)],
    #[case] at: u64,
    #[case] status: BacklogStatus,
) {
    let mut backlog = Backlog::new(WriteLimits { max_wait: ms(2000), max_bytes: 1000 });
    for (at, queued, written) in steps {
        if *queued > 0 {
            backlog.queued(ms(*at), *queued);
        }
        backlog.written(*written);
    }
    assert_eq!(backlog.status(ms(at)), status);
}

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dialled = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (listener.accept().await.unwrap().0, dialled)
}

#[rstest]
#[case::closed(|out: &WriteQueue| out.close(), 3, WriteOutcome::Closed)]
#[case::too_much(|out: &WriteQueue| out.push(ms(0), &[7; 32 << 20]), 0, WriteOutcome::ReaderTooSlow)]
#[case::aborted_amid_much(|out: &WriteQueue| { out.push(ms(0), &[7; 16 << 20]); out.abort() }, 0, WriteOutcome::Closed)]
#[tokio::test]
async fn writing_ends_when_closed_aborted_or_too_slow(
    #[case] then: fn(&WriteQueue),
    #[case] read: usize,
    #[case] with: WriteOutcome,
) {
    let (near, mut far) = pair().await;
    let out = WriteQueue::new(WriteLimits { max_wait: ms(300), max_bytes: 24 << 20 });
    out.push(ms(0), b"abc");
    then(&out);
    let (_from, to) = near.into_split();
    let ended = tokio::time::timeout(ms(5000), out.run(to, Instant::now())).await;
    assert_eq!(ended, Ok(with));
    if read > 0 {
        let mut got = vec![];
        drop(_from);
        far.read_to_end(&mut got).await.unwrap();
        assert_eq!(got, b"abc");
    }
}

/// One who goes on asking and takes no answer: what waits for it stays bounded, whatever it asks, and it is let go.
#[rstest]
#[tokio::test]
async fn disconnects_a_reader_that_takes_nothing_before_its_queue_grows() {
    let (near, _far) = pair().await;
    let out = WriteQueue::new(WriteLimits { max_wait: ms(20_000), max_bytes: 96 << 10 });
    let (_from, to) = near.into_split();
    let mut most = 0;
    let asking = async {
        for _ in 0..4000 {
            out.push(ms(0), &[7; 8 << 10]);
            most = most.max(out.queued_bytes());
            tokio::task::yield_now().await;
        }
    };
    let (ended, ()) = tokio::join!(out.run(to, Instant::now()), asking);
    assert_eq!(ended, WriteOutcome::ReaderTooSlow);
    assert!(most <= (96 << 10) + (8 << 10), "{most}");
}
