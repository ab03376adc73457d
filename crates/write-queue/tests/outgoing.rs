//! When a reader has had long enough, and what its socket sees.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_write_queue::{Ended, Outgoing, Patience, Verdict};
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::takes_all(&[(0, 100, 100)], 5000, Verdict::Keep)]
#[case::takes_nothing(&[(0, 100, 0)], 2000, Verdict::Stalled)]
#[case::in_time_still(&[(0, 100, 0)], 1999, Verdict::Keep)]
#[case::a_byte_now_and_then(&[(0, 100, 10), (1000, 0, 10), (1900, 0, 10)], 2000, Verdict::Stalled)]
#[case::behind_but_moving(&[(0, 100, 50), (1500, 100, 60)], 2000, Verdict::Keep)]
#[case::too_much(&[(0, 100, 100), (10, 1001, 0)], 20, Verdict::Full)]
fn a_stream_is_cut_by_its_oldest_waiting_byte(
    #[case] steps: &[(u64, usize, usize)],
    #[case] at: u64,
    #[case] verdict: Verdict,
) {
    let mut patience = Patience::new(ms(2000), 1000);
    for (at, handed, taken) in steps {
        if *handed > 0 {
            patience.handed(ms(*at), *handed);
        }
        patience.taken(*taken);
    }
    assert_eq!(patience.judge(ms(at)), verdict);
}

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dialled = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (listener.accept().await.unwrap().0, dialled)
}

#[rstest]
#[case::closed(|out: &Outgoing| out.close(), 3, Ended::Closed)]
#[case::too_much(|out: &Outgoing| out.put(ms(0), &[7; 32 << 20]), 0, Ended::Slow)]
#[case::cut_amid_much(|out: &Outgoing| { out.put(ms(0), &[7; 16 << 20]); out.cut() }, 0, Ended::Closed)]
#[tokio::test]
async fn writing_ends(#[case] then: fn(&Outgoing), #[case] read: usize, #[case] with: Ended) {
    let (near, mut far) = pair().await;
    let out = Outgoing::new(Patience::new(ms(300), 24 << 20));
    out.put(ms(0), b"abc");
    then(&out);
    let (_from, to) = near.into_split();
    let ended = tokio::time::timeout(ms(5000), out.write(to, Instant::now())).await;
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
async fn a_reader_that_takes_nothing_holds_no_more_than_it_may() {
    let (near, _far) = pair().await;
    let out = Outgoing::new(Patience::new(ms(20_000), 96 << 10));
    let (_from, to) = near.into_split();
    let mut most = 0;
    let asking = async {
        for _ in 0..4000 {
            out.put(ms(0), &[7; 8 << 10]);
            most = most.max(out.waiting());
            tokio::task::yield_now().await;
        }
    };
    let (ended, ()) = tokio::join!(out.write(to, Instant::now()), asking);
    assert_eq!(ended, Ended::Slow);
    assert!(most <= (96 << 10) + (8 << 10), "{most}");
}
