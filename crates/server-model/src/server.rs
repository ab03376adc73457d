//! Model of a server's work: its cores, its queue, its warm-up, and the overload that crashes it. The model reads no clock: the caller
//! passes the time, which must not run backwards.

use grebespool_settings::{Figure, ServerKind};
use grebespool_wire::ServerMetrics;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Capacity of a server and the overload that crashes it.
#[derive(Debug, Clone)]
pub struct ServerSpec {
    /// Cores, speed, queue and caches of the server.
    pub kind: ServerKind,
    /// Time from a start to full speed.
    pub warm_up: Duration,
    /// Multiple of its capacity above which received work crashes a server that warms up.
    pub overload_multiple: f64,
    /// Time over which the received work is summed up.
    pub overload_window: Duration,
}

struct Job {
    /// Ticket of the request; `None` for overhead, for which no request waits.
    ticket: Option<u64>,
    /// Work in seconds of a core of speed 1.
    work_s: f64,
    /// Key that the request works on.
    key: u64,
}

struct RunningJob {
    ends_at: Duration,
    ticket: Option<u64>,
}

struct ReceivedWork {
    at: Duration,
    work_s: f64,
}

/// Work received within the overload window, and the amount that a server tolerates; both in seconds of a core of speed 1.
struct RecentWork {
    received_s: f64,
    tolerated_s: f64,
}

/// Model of one server process, from its start to its end.
pub struct ServerModel {
    spec: ServerSpec,
    /// Time of the start; `None` for a server that is warm from the beginning.
    started: Option<Duration>,
    start_id: u64,
    /// Factor by which the server is slower than its kind.
    pub slowdown: f64,
    /// Time since which the server makes no progress; `None` if it is not frozen.
    frozen_since: Option<Duration>,
    queue: VecDeque<Job>,
    running: Vec<RunningJob>,
    /// Time at which each key was last worked on.
    cached_keys: BTreeMap<u64, Duration>,
    received: VecDeque<ReceivedWork>,
    /// True if the server has crashed and accepts nothing.
    pub crashed: bool,
    /// Busy time of all cores since the last report, in seconds.
    busy_s: f64,
    reported_at: Duration,
    /// Time up to which busy time is counted.
    counted_until: Duration,
    answered: u32,
    errors: u32,
    figures: Vec<f32>,
    report_number: u32,
}

impl ServerModel {
    /// Time for which a key stays in the cache.
    const KEY_CACHED: Duration = Duration::from_secs(6);
    /// Key of overhead, which is not cached.
    const NO_KEY: u64 = u64::MAX;
    /// Shortest time by which a report's rates are divided, in seconds.
    const MIN_REPORT_S: f64 = 0.001;
    /// Number of jobs, each as large as the largest recent job, that a warming server tolerates beyond the multiple of its capacity.
    const TOLERATED_JOBS: f64 = 4.0;

    /// Creates a server that starts now. If `warming` is false, it has its full speed at once.
    pub fn new(spec: ServerSpec, start_id: u64, now: Duration, warming: bool) -> ServerModel {
        ServerModel {
            spec,
            started: warming.then_some(now),
            start_id,
            slowdown: 1.0,
            frozen_since: None,
            queue: VecDeque::new(),
            running: vec![],
            cached_keys: BTreeMap::new(),
            received: VecDeque::new(),
            crashed: false,
            busy_s: 0.0,
            reported_at: now,
            counted_until: now,
            answered: 0,
            errors: 0,
            figures: vec![],
            report_number: 0,
        }
    }

    /// Returns the work per second that a warm server does, in seconds of a core of speed 1.
    pub fn full_capacity(&self) -> f64 {
        self.spec.kind.cores as f64 * self.spec.kind.speed
    }

    /// Returns the current speed as a fraction of the full speed, 0 to 1.
    fn warm_fraction(&self, now: Duration) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let elapsed_fraction = (now - started).as_secs_f64() / self.spec.warm_up.as_secs_f64();
        self.spec.kind.cold + (1.0 - self.spec.kind.cold) * elapsed_fraction.min(1.0)
    }

    /// Returns the work per second that the server does now, in seconds of a core of speed 1.
    pub fn capacity(&self, now: Duration) -> f64 {
        self.full_capacity() * self.warm_fraction(now) / self.slowdown
    }

    fn core_capacity(&self, now: Duration) -> f64 {
        self.capacity(now) / self.spec.kind.cores as f64
    }

    fn count_busy_time(&mut self, now: Duration) {
        self.busy_s += self.running.len() as f64 * now.saturating_sub(self.counted_until).as_secs_f64();
        self.counted_until = self.counted_until.max(now);
    }

    /// Accepts a request, unless the queue is full or the server has crashed, and returns true if it was accepted. The work counts
    /// towards an overload in either case. [`Self::take_completed`] returns `ticket` once the request is completed.
    pub fn accept(&mut self, now: Duration, ticket: u64, work: Duration, key: u64) -> bool {
        self.count_busy_time(now);
        self.record_received(now, work.as_secs_f64());
        if self.crashed || !self.has_room() {
            return false;
        }
        self.queue.push_back(Job { ticket: Some(ticket), work_s: work.as_secs_f64(), key });
        self.start_jobs(now);
        true
    }

    /// Adds work for which no request waits: a connection's handshake, or a health check.
    pub fn add_overhead(&mut self, now: Duration, work: Duration) {
        self.count_busy_time(now);
        self.queue.push_back(Job { ticket: None, work_s: work.as_secs_f64(), key: Self::NO_KEY });
        self.start_jobs(now);
    }

    fn idle_cores(&self) -> usize {
        self.spec.kind.cores.saturating_sub(self.running.len())
    }

    fn has_room(&self) -> bool {
        self.queue.len() < self.spec.kind.room + self.idle_cores()
    }

    /// Records received work, and crashes a warming server that received more work in the overload window than it tolerates.
    fn record_received(&mut self, now: Duration, work_s: f64) {
        self.received.push_back(ReceivedWork { at: now, work_s });
        while self.received.front().is_some_and(|oldest| now - oldest.at > self.spec.overload_window) {
            self.received.pop_front();
        }
        if self.is_warming(now) {
            let recent = self.recent_work(now, 0.0);
            self.crashed |= recent.received_s > recent.tolerated_s;
        }
    }

    fn start_jobs(&mut self, now: Duration) {
        while self.idle_cores() > 0
            && self.frozen_since.is_none()
            && let Some(job) = self.queue.pop_front()
        {
            let duration_s = job.work_s * (1.0 - self.cached_fraction(now, &job)) / self.core_capacity(now);
            let ends_at = now + Duration::from_secs_f64(duration_s);
            self.running.push(RunningJob { ends_at, ticket: job.ticket });
        }
    }

    /// Returns the fraction of a job's work that the cache saves, and caches the job's key.
    fn cached_fraction(&mut self, now: Duration, job: &Job) -> f64 {
        let cached_at = self.cached_keys.get(&job.key);
        let is_cached = cached_at.is_some_and(|at| now - *at < Self::KEY_CACHED);
        if self.spec.kind.warm_keys > 0.0 && job.ticket.is_some() {
            self.cached_keys.insert(job.key, now);
        }
        if is_cached { self.spec.kind.warm_keys } else { 0.0 }
    }

    /// Returns when the next job is completed; `None` if the server is frozen or runs no job.
    pub fn next_completion(&self) -> Option<Duration> {
        self.running.iter().map(|job| job.ends_at).min().filter(|_| self.frozen_since.is_none())
    }

    /// Freezes the server like a stopped process, or lets it continue with its jobs in flight.
    pub fn set_frozen(&mut self, now: Duration, frozen: bool) {
        match self.frozen_since {
            None if frozen => {
                self.count_busy_time(now);
                self.frozen_since = Some(now);
            }
            Some(since) if !frozen => {
                self.frozen_since = None;
                self.counted_until = self.counted_until.max(now);
                self.running.iter_mut().for_each(|job| job.ends_at += now.saturating_sub(since));
                self.start_jobs(now);
            }
            _ => {}
        }
    }

    /// Estimates the latency of a request that arrives now, from the jobs in flight.
    pub fn estimate_latency(&self, now: Duration, work: Duration) -> Duration {
        let core_capacity = self.core_capacity(now);
        let queued_s: f64 = self.queue.iter().map(|job| job.work_s).sum();
        let running_s = self.running.iter().map(|job| job.ends_at.saturating_sub(now).as_secs_f64());
        let first_completion_s = running_s.fold(f64::INFINITY, f64::min);
        let until_idle_s = if self.idle_cores() > 0 { 0.0 } else { first_completion_s };
        let queue_delay_s = queued_s / (core_capacity * self.spec.kind.cores as f64);
        Duration::from_secs_f64(until_idle_s + queue_delay_s + work.as_secs_f64() / core_capacity)
    }

    /// Returns true if a request that arrives now would be accepted and would not crash the server.
    pub fn can_accept(&self, now: Duration, work: Duration) -> bool {
        let recent = self.recent_work(now, work.as_secs_f64());
        let is_tolerated = !self.is_warming(now) || recent.received_s <= recent.tolerated_s;
        !self.crashed && self.frozen_since.is_none() && self.has_room() && is_tolerated
    }

    fn is_warming(&self, now: Duration) -> bool {
        self.started.is_some_and(|started| now - started < self.spec.warm_up)
    }

    /// Returns the work received in the overload window, with `added_s` added as if it arrived now.
    fn recent_work(&self, now: Duration, added_s: f64) -> RecentWork {
        let window = self.spec.overload_window;
        let recent_s = self.received.iter().filter(|work| now - work.at <= window).map(|work| work.work_s);
        let largest_s = recent_s.clone().fold(added_s, f64::max);
        let capacity_s = self.full_capacity() * self.warm_fraction(now) * window.as_secs_f64();
        RecentWork {
            received_s: recent_s.sum::<f64>() + added_s,
            tolerated_s: self.spec.overload_multiple * capacity_s + Self::TOLERATED_JOBS * largest_s,
        }
    }

    /// Removes the jobs that are completed by now and returns the tickets of their requests, earliest first.
    pub fn take_completed(&mut self, now: Duration) -> Vec<u64> {
        let mut tickets = vec![];
        while let Some(at) = self.next_completion().filter(|at| *at <= now) {
            self.count_busy_time(at);
            let position = self.running.iter().position(|job| job.ends_at == at);
            let position = position.expect("the next completion is that of a running job");
            tickets.extend(self.running.swap_remove(position).ticket);
            self.answered += 1;
            self.start_jobs(at);
        }
        tickets
    }

    /// Counts a request that was answered with an error.
    pub fn count_error(&mut self) {
        self.errors += 1;
    }

    /// Returns the latest load report, and makes a new one first if the last is older than the refresh interval. For a server that
    /// reports falsely, `false_figure` replaces every figure.
    pub fn report(&mut self, now: Duration, figures: &[Figure], false_figure: Option<f32>) -> ServerMetrics {
        self.count_busy_time(now);
        let span_s = now.saturating_sub(self.reported_at).as_secs_f64();
        if self.report_number == 0 || span_s >= self.spec.kind.refresh.0.as_secs_f64() {
            let span_s = span_s.max(Self::MIN_REPORT_S);
            self.figures = figures.iter().map(|figure| self.measure(*figure, span_s)).collect();
            self.busy_s = 0.0;
            self.reported_at = now;
            self.answered = 0;
            self.errors = 0;
            self.report_number += 1;
        }
        let figures = match false_figure {
            Some(figure) => vec![figure; self.figures.len()],
            None => self.figures.clone(),
        };
        ServerMetrics { incarnation: self.start_id, sequence: self.report_number, values: figures }
    }

    /// Returns a figure's value for the last `span_s` seconds.
    fn measure(&self, figure: Figure, span_s: f64) -> f32 {
        let per_s = |count: u32| (f64::from(count) / span_s) as f32;
        match figure {
            Figure::CpuShare => (self.busy_s / (span_s * self.spec.kind.cores as f64)).min(1.0) as f32,
            Figure::Busy => (self.running.len() + self.queue.len()) as f32,
            Figure::Pending => self.queue.len() as f32,
            Figure::AnsweredPerS => per_s(self.answered),
            Figure::ErrorsPerS => per_s(self.errors),
            Figure::ServiceMs | Figure::Other => 0.0,
        }
    }
}
