//! A server's work: cores, a waiting room, a cold start and falling over. Free of I/O.

use grebespool_settings::{Figure, ServerKind};
use grebespool_wire::ServerMetrics;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What a kind of server is able to do, and when it falls over.
#[derive(Debug, Clone)]
pub struct Ability {
    pub kind: ServerKind,
    pub warm_up: Duration,
    pub fall_multiple: f64,
    pub fall: Duration,
}

struct Job {
    ticket: Option<u64>,
    work: f64,
    key: u64,
}

/// One life of a server, from a start to its end.
pub struct Machine {
    ability: Ability,
    /// When it started; a life that began long before has no cold part.
    started: Option<Duration>,
    start_id: u64,
    pub slow: f64,
    /// It stands still since then.
    frozen: Option<Duration>,
    waiting: VecDeque<Job>,
    /// When each busy core is done, and with what.
    running: Vec<(Duration, Option<u64>)>,
    keys: BTreeMap<u64, Duration>,
    sent: VecDeque<(Duration, f64)>,
    pub fallen: bool,
    busy: f64,
    busy_from: Duration,
    seen: Duration,
    answered: u32,
    errors: u32,
    report: Vec<f32>,
    number: u32,
}

impl Machine {
    const KEY_KEPT: Duration = Duration::from_secs(6);

    pub fn new(ability: Ability, start_id: u64, now: Duration, cold: bool) -> Machine {
        Machine {
            ability,
            started: cold.then_some(now),
            start_id,
            slow: 1.0,
            frozen: None,
            waiting: VecDeque::new(),
            running: vec![],
            keys: BTreeMap::new(),
            sent: VecDeque::new(),
            fallen: false,
            busy: 0.0,
            busy_from: now,
            seen: now,
            answered: 0,
            errors: 0,
            report: vec![],
            number: 0,
        }
    }

    /// Work a second, warm.
    pub fn full(&self) -> f64 {
        self.ability.kind.cores as f64 * self.ability.kind.speed
    }

    fn warmth(&self, now: Duration) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = (now - started).as_secs_f64() / self.ability.warm_up.as_secs_f64();
        self.ability.kind.cold + (1.0 - self.ability.kind.cold) * part.min(1.0)
    }

    /// Work a second at this moment.
    pub fn capacity(&self, now: Duration) -> f64 {
        self.full() * self.warmth(now) / self.slow
    }

    fn pass(&mut self, now: Duration) {
        self.busy += self.running.len() as f64 * now.saturating_sub(self.seen).as_secs_f64();
        self.seen = self.seen.max(now);
    }

    /// Whether the call is taken in. Counts the work against a cold server either way.
    pub fn arrive(&mut self, now: Duration, ticket: u64, work: Duration, key: u64) -> bool {
        self.pass(now);
        self.count(now, work.as_secs_f64());
        if self.fallen || self.waiting.len() >= self.ability.kind.room + self.idle() {
            return false;
        }
        self.waiting.push_back(Job { ticket: Some(ticket), work: work.as_secs_f64(), key });
        self.begin(now);
        true
    }

    /// A new connection's handshake, or a probe: work that nobody waits for.
    pub fn toil(&mut self, now: Duration, work: Duration) {
        self.pass(now);
        self.waiting.push_back(Job { ticket: None, work: work.as_secs_f64(), key: u64::MAX });
        self.begin(now);
    }

    fn idle(&self) -> usize {
        self.ability.kind.cores.saturating_sub(self.running.len())
    }

    /// A cold server that is sent more than a multiple of what it is able to, over a whole window, falls over.
    fn count(&mut self, now: Duration, work: f64) {
        let window = self.ability.fall;
        self.sent.push_back((now, work));
        while self.sent.front().is_some_and(|s| now - s.0 > window) {
            self.sent.pop_front();
        }
        if self.cold(now) {
            let (sum, bears) = self.borne(now, 0.0);
            self.fallen |= sum > bears;
        }
    }

    fn begin(&mut self, now: Duration) {
        while self.idle() > 0
            && self.frozen.is_none()
            && let Some(job) = self.waiting.pop_front()
        {
            let known = self.keys.get(&job.key).is_some_and(|t| now - *t < Self::KEY_KEPT);
            let saved = if known { self.ability.kind.warm_keys } else { 0.0 };
            if self.ability.kind.warm_keys > 0.0 && job.ticket.is_some() {
                self.keys.insert(job.key, now);
            }
            let core = self.capacity(now) / self.ability.kind.cores as f64;
            let takes = job.work * (1.0 - saved) / core;
            self.running.push((now + Duration::from_secs_f64(takes), job.ticket));
        }
    }

    /// When the next job is done; never while it stands still.
    pub fn due(&self) -> Option<Duration> {
        self.running.iter().map(|r| r.0).min().filter(|_| self.frozen.is_none())
    }

    /// It stands still, as a stopped process does, or runs on with what it had in hand.
    pub fn freeze(&mut self, now: Duration, still: bool) {
        match self.frozen {
            None if still => {
                self.pass(now);
                self.frozen = Some(now);
            }
            Some(since) if !still => {
                self.frozen = None;
                self.seen = self.seen.max(now);
                self.running.iter_mut().for_each(|r| r.0 += now.saturating_sub(since));
                self.begin(now);
            }
            _ => {}
        }
    }

    /// How long a call that came now would take, as far as can be told from what is in hand.
    pub fn would_take(&self, now: Duration, work: Duration) -> Duration {
        let core = self.capacity(now) / self.ability.kind.cores as f64;
        let waiting: f64 = self.waiting.iter().map(|j| j.work).sum();
        let running = self.running.iter().map(|r| r.0.saturating_sub(now).as_secs_f64());
        let least = running.clone().fold(f64::INFINITY, f64::min);
        let until = if self.idle() > 0 { 0.0 } else { least };
        let behind = waiting / (core * self.ability.kind.cores as f64);
        Duration::from_secs_f64(until + behind + work.as_secs_f64() / core)
    }

    /// Whether a call that came now would be taken in, and the server stay up under it.
    pub fn would_bear(&self, now: Duration, work: Duration) -> bool {
        let room = self.waiting.len() < self.ability.kind.room + self.idle();
        let (sum, bears) = self.borne(now, work.as_secs_f64());
        !self.fallen && self.frozen.is_none() && room && (!self.cold(now) || sum <= bears)
    }

    fn cold(&self, now: Duration) -> bool {
        self.started.is_some_and(|s| now - s < self.ability.warm_up)
    }

    /// Work that came within the window, with so much more, and what the server bears of it.
    fn borne(&self, now: Duration, more: f64) -> (f64, f64) {
        let window = self.ability.fall;
        let recent = self.sent.iter().filter(|s| now - s.0 <= window).map(|s| s.1);
        let largest = recent.clone().fold(more, f64::max);
        let able = self.full() * self.warmth(now) * window.as_secs_f64();
        (recent.sum::<f64>() + more, self.ability.fall_multiple * able + 4.0 * largest)
    }

    /// The tickets of the calls that are done by now, earliest first.
    pub fn done(&mut self, now: Duration) -> Vec<u64> {
        let mut tickets = vec![];
        while let Some(at) = self.due().filter(|d| *d <= now) {
            self.pass(at);
            let i = self.running.iter().position(|r| r.0 == at).expect("the one that is due");
            tickets.extend(self.running.swap_remove(i).1);
            self.answered += 1;
            self.begin(at);
        }
        tickets
    }

    pub fn erred(&mut self) {
        self.errors += 1;
    }

    /// The newest report, made anew where the last is old enough.
    pub fn report(&mut self, now: Duration, fields: &[Figure], lie: Option<f32>) -> ServerMetrics {
        self.pass(now);
        let span = now.saturating_sub(self.busy_from).as_secs_f64();
        if self.number == 0 || span >= self.ability.kind.refresh.0.as_secs_f64() {
            let share = self.busy / (span.max(0.001) * self.ability.kind.cores as f64);
            let per_s = |n: u32| (f64::from(n) / span.max(0.001)) as f32;
            let figure = |f: &Figure| match f {
                Figure::CpuShare => share.min(1.0) as f32,
                Figure::Busy => (self.running.len() + self.waiting.len()) as f32,
                Figure::Pending => self.waiting.len() as f32,
                Figure::AnsweredPerS => per_s(self.answered),
                Figure::ErrorsPerS => per_s(self.errors),
                Figure::ServiceMs | Figure::Other => 0.0,
            };
            self.report = fields.iter().map(figure).collect();
            (self.busy, self.busy_from, self.answered, self.errors) = (0.0, now, 0, 0);
            self.number += 1;
        }
        let figures = match lie {
            Some(figure) => vec![figure; self.report.len()],
            None => self.report.clone(),
        };
        ServerMetrics { incarnation: self.start_id, sequence: self.number, values: figures }
    }
}
