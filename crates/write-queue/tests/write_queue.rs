//! When a slow reader is disconnected, and what it has received by then.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_write_queue::{Backlog, BacklogStatus, QueuedMemory, WriteLimits, WriteOutcome, WriteQueue};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::reads_all(&[(0, 100, 100)], 5000, BacklogStatus::WithinLimits)]
#[case::reads_nothing(&[(0, 100, 0)], 2000, BacklogStatus::Stalled)]
#[case::just_before_the_deadline(&[(0, 100, 0)], 1999, BacklogStatus::WithinLimits)]
#[case::reads_a_little_now_and_then(&[(0, 100, 10), (1000, 0, 10), (1900, 0, 10)], 2000, BacklogStatus::Stalled)]
#[case::behind_but_within_the_deadline(&[(0, 100, 50), (1500, 100, 60)], 2000, BacklogStatus::WithinLimits)]
#[case::too_many_bytes(&[(0, 100, 100), (10, 1001, 0)], 20, BacklogStatus::Full)]
fn a_connection_is_stalled_when_its_oldest_byte_exceeds_the_deadline(
    #[case] steps: &[(u64, usize, usize)],
    #[case] at: u64,
    #[case] status: BacklogStatus,
) {
    let mut backlog = Backlog::new(WriteLimits { max_wait: ms(2000), max_bytes: 1000 });
    for (at, queued, written) in steps {
        if *queued > 0 {
            backlog.message_queued(ms(*at), *queued);
        }
        backlog.bytes_written(*written);
    }
    assert_eq!(backlog.status(ms(at)), status);
}

/// Returns both ends of a connection: the accepted one and the dialed one.
async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dialed = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (listener.accept().await.unwrap().0, dialed)
}

#[rstest]
#[case::closed(|queue: &WriteQueue| queue.close(), 3, WriteOutcome::Closed)]
#[case::too_many_bytes(|queue: &WriteQueue| queue.push(ms(0), &[7; 32 << 20]), 0, WriteOutcome::ReaderTooSlow)]
#[case::aborted_amid_much(|queue: &WriteQueue| { queue.push(ms(0), &[7; 16 << 20]); queue.abort() }, 0, WriteOutcome::Closed)]
#[tokio::test]
async fn writing_ends_when_closed_aborted_or_too_slow(
    #[case] action: fn(&WriteQueue),
    #[case] received_bytes: usize,
    #[case] outcome: WriteOutcome,
) {
    let (near, mut far) = pair().await;
    let queue = WriteQueue::new(WriteLimits { max_wait: ms(300), max_bytes: 24 << 20 });
    queue.push(ms(0), b"abc");
    action(&queue);
    let (_reader, writer) = near.into_split();
    let ended = tokio::time::timeout(ms(5000), queue.run(writer, Instant::now())).await;
    assert_eq!(ended, Ok(outcome));
    if received_bytes > 0 {
        let mut received = vec![];
        drop(_reader);
        far.read_to_end(&mut received).await.unwrap();
        assert_eq!(received, b"abc");
    }
}

/// An aborted queue ended as that of a slow reader if the write loop ran first and the time limit had passed, as on a machine
/// that stalls.
#[rstest]
#[case::time_limit_has_passed(ms(400))]
#[case::within_the_time_limit(ms(0))]
#[tokio::test]
async fn an_aborted_queue_ends_as_closed_however_late_its_task_runs(#[case] late: Duration) {
    // Which part of the task runs first is random.
    for _ in 0..20 {
        let (near, _far) = pair().await;
        let queue = WriteQueue::new(WriteLimits { max_wait: ms(300), max_bytes: 24 << 20 });
        queue.push(ms(0), &[7; 16 << 20]);
        queue.abort();
        let (_reader, writer) = near.into_split();
        assert_eq!(queue.run(writer, Instant::now() - late).await, WriteOutcome::Closed);
    }
}

/// Guards against a queue that grows without limit because its reader keeps sending requests and reads no response.
#[rstest]
#[tokio::test]
async fn a_reader_that_reads_nothing_is_disconnected_while_its_queue_is_still_bounded() {
    let (near, _far) = pair().await;
    let queue = WriteQueue::new(WriteLimits { max_wait: ms(20_000), max_bytes: 96 << 10 });
    let (_reader, writer) = near.into_split();
    let mut max_queued = 0;
    let pushing = async {
        for _ in 0..4000 {
            queue.push(ms(0), &[7; 8 << 10]);
            max_queued = max_queued.max(queue.queued_bytes());
            tokio::task::yield_now().await;
        }
    };
    let (ended, ()) = tokio::join!(queue.run(writer, Instant::now()), pushing);
    assert_eq!(ended, WriteOutcome::ReaderTooSlow);
    assert!(max_queued <= (96 << 10) + (8 << 10), "{max_queued}");
}

/// Guards against a process that is killed for its memory because many readers are slow, each within its own limits.
/// Whatever the limit, the number of queues and the order of messages, the queues together take no more than the limit, and
/// the queue of a reader that takes its bytes is never aborted for others.
#[rstest]
fn queues_together_take_no_more_than_the_limit() {
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    for _ in 0..30 {
        let max = rng.random_range(200_000..2_000_000);
        let total = Rc::<QueuedMemory>::default();
        let limits = WriteLimits { max_wait: ms(20_000), max_bytes: 96 << 10 };
        let mut queues: Vec<WriteQueue> =
            (0..rng.random_range(2..300)).map(|_| WriteQueue::with_total(limits, total.clone())).collect();
        let fast = WriteQueue::with_total(limits, total.clone());
        for step in 0..2_000 {
            let slow = rng.random_range(0..queues.len());
            queues[slow].push(ms(step), &vec![7; rng.random_range(10..6_000)]);
            total.limit(max, queues.iter().chain([&fast]));
            assert!(total.bytes() <= max, "{} bytes of {max}", total.bytes());
            assert_eq!(total.bytes(), queues.iter().map(WriteQueue::memory).sum::<usize>() + fast.memory());
            if queues[slow].memory() == 0 {
                queues[slow] = WriteQueue::with_total(limits, total.clone());
            }
        }
        fast.push(ms(0), b"abc");
        assert_eq!(fast.queued_bytes(), 3);
        drop(queues);
        assert_eq!(total.bytes(), fast.memory());
    }
}
