//! Outlier detection: finds servers that fail, are silent or are slow compared with the others, reduces their weights,
//! ejects them, and decides when an ejected server returns.
//!
//! A fault that most servers show is attributed to something other than the servers.

use crate::host::{EndpointState, HealthCheckResult, PolicyHost, ServerIndex, ZoneId};
use crate::state::{LoadSample, OutlierDetector, Policy, ServerState, SlowStart, median};
use rand::seq::SliceRandom;
use std::time::Duration;

/// The recent behaviour of a server.
#[derive(Clone, Copy)]
struct Evidence {
    /// The share of the server's attempts that were answered, 0 to 1.
    answered_share: f64,
    /// The mean of the latencies in the server's reports, in seconds. Reports are not weighted by their numbers of answers.
    latency_s: Option<f64>,
}

/// The typical behaviour of the ready servers.
struct Baseline {
    /// The median over the servers of [`Evidence::answered_share`].
    answered_share: f64,
    /// The median over the servers of [`Evidence::latency_s`].
    latency_s: Option<f64>,
    /// The mean latency objective of the routes, in seconds.
    objective_s: f64,
    /// The arrival time of the newest of all reports.
    newest_report: Duration,
    /// The age of a server's last report, relative to the newest of all reports, above which the server is silent.
    max_silence: Duration,
}

/// The decision on a server at a tick.
enum Decision {
    /// An ejected server stays ejected.
    StayEjected,
    /// An ejected server has to pass health checks before it returns.
    CheckBeforeReturn,
    /// An ejected server returns at the first step of its slow start.
    Return,
    /// A server in use gets at most `steps` steps of weight; 0 ejects it.
    Allow { steps: u32 },
    /// A silent server in use gets at most `steps` steps of weight until health checks confirm its state.
    CheckSilent { steps: u32 },
}

impl OutlierDetector {
    /// The time for which attempts count as evidence.
    pub(super) const WINDOW: Duration = Duration::from_secs(4);
    /// The minimum number of attempts that count as evidence.
    pub(super) const MIN_ATTEMPTS: f64 = 4.0;
    /// The largest fraction of the ready servers that may be ejected at the same time.
    const MAX_EJECTED_FRACTION: f64 = 0.5;
    /// The minimum duration of a server's first ejection. It doubles with each return and never decreases.
    const FIRST_EJECTION: Duration = Duration::from_secs(3);
    /// The upper limit of the minimum duration of an ejection.
    const LONGEST_EJECTION: Duration = Duration::from_secs(20);
    /// The median answered share below which failures are attributed to a common cause and not to single servers.
    const COMMON_FAULT_SHARE: f64 = 0.4;
    /// The answered share, as a fraction of the median, above which a server may have one step.
    const ONE_STEP_SHARE: f64 = 0.1;
    /// The answered share, as a fraction of the median, above which a server may have two steps.
    const TWO_STEPS_SHARE: f64 = 0.4;
    /// The answered share, as a fraction of the median, above which a server may have all steps.
    const ALL_STEPS_SHARE: f64 = 0.7;
    /// The fraction of the latency objective above which a latency may count as slow.
    const SLOW_OBJECTIVE_FRACTION: f64 = 0.4;
    /// The multiple of the median latency above which a server loses two steps.
    const SLOW_RATIO: f64 = 3.0;
    /// The multiple of the median latency above which a server loses a third step.
    const VERY_SLOW_RATIO: f64 = 6.0;
    /// The number of consecutive health checks with the same result that confirm that a server is healthy or has failed.
    const CHECKS_TO_CONFIRM: u32 = 2;
    /// The report intervals in [`Baseline::max_silence`], which is the sum of this term and the next two.
    const SILENT_REPORT_INTERVALS: u32 = 2;
    /// The constant term of [`Baseline::max_silence`], in seconds.
    const SILENT_BASE_S: f64 = 1.0;
    /// The term of [`Baseline::max_silence`] that grows with the median silence of the servers, in multiples of it.
    const SILENT_MEDIANS: f64 = 4.0;
    /// The number of ready servers for each health check in a tick. Checks cost work, and servers reject many of them.
    const SERVERS_PER_CHECK: usize = 20;
    /// The number of health checks in a tick in addition to those by the number of servers.
    const EXTRA_CHECKS: usize = 3;

    /// The state of a server without evidence.
    pub(super) const NEW: OutlierDetector = OutlierDetector {
        allowed_steps: SlowStart::STEPS,
        evidence_from: Duration::ZERO,
        checks_passed: 0,
        checks_failed: 0,
        ejection_time: Self::FIRST_EJECTION,
    };

    /// Discards the evidence from before `evidence_from`, and keeps the duration of the next ejection.
    pub(super) fn reset(&mut self, evidence_from: Duration, allowed_steps: u32) {
        *self =
            OutlierDetector { allowed_steps, evidence_from, ejection_time: self.ejection_time, ..Self::NEW };
    }
}

impl Evidence {
    /// Collects the evidence of a server; `None` if it had too few attempts.
    fn of(server: &ServerState, now: Duration) -> Option<Evidence> {
        let from = now.saturating_sub(OutlierDetector::WINDOW).max(server.outlier.evidence_from);
        let attempts = server.load.sum(from, |sample| sample.attempts);
        let answered = server.load.sum(from, LoadSample::answered);
        (attempts >= OutlierDetector::MIN_ATTEMPTS).then(|| Evidence {
            answered_share: answered / attempts,
            latency_s: server.load.mean(from, |sample| sample.latency_s),
        })
    }

    /// Returns the steps of weight that the evidence allows. Slow answers alone never eject a server.
    fn allowed_steps(&self, baseline: &Baseline) -> u32 {
        let slowness = self.slowness(baseline);
        let lost_to_slowness = 2 * u32::from(slowness > OutlierDetector::SLOW_RATIO)
            + u32::from(slowness > OutlierDetector::VERY_SLOW_RATIO);
        self.steps_by_answers(baseline).min(SlowStart::STEPS - lost_to_slowness)
    }

    fn steps_by_answers(&self, baseline: &Baseline) -> u32 {
        if baseline.answered_share < OutlierDetector::COMMON_FAULT_SHARE {
            return SlowStart::STEPS;
        }
        match self.answered_share / baseline.answered_share {
            share if share > OutlierDetector::ALL_STEPS_SHARE => SlowStart::STEPS,
            share if share > OutlierDetector::TWO_STEPS_SHARE => 2,
            share if share > OutlierDetector::ONE_STEP_SHARE => 1,
            _ => 0,
        }
    }

    /// Returns the server's latency as a multiple of the median; 0 if the latency is short or not known.
    fn slowness(&self, baseline: &Baseline) -> f64 {
        let is_slow =
            |latency_s: &f64| *latency_s > OutlierDetector::SLOW_OBJECTIVE_FRACTION * baseline.objective_s;
        let own_s = self.latency_s.filter(is_slow);
        own_s.zip(baseline.latency_s).map_or(0.0, |(own_s, median_s)| own_s / median_s)
    }
}

/// Returns the time of the last report on a server; a reset of its evidence counts as a report.
fn last_report(server: &ServerState) -> Duration {
    let last = server.load.samples.back().map_or(Duration::ZERO, |sample| sample.at);
    last.max(server.outlier.evidence_from)
}

impl<H: PolicyHost> Policy<H> {
    /// Evaluates all ready servers: gathers their evidence, decides on each and applies the decision.
    pub(super) fn detect_outliers(&mut self, now: Duration) {
        let ready: Vec<ServerIndex> =
            (0..self.servers.len()).filter(|server| self.servers[*server].is_ready()).collect();
        let evidence: Vec<Option<Evidence>> =
            ready.iter().map(|server| Evidence::of(&self.servers[*server], now)).collect();
        let baseline = self.outlier_baseline(&ready, &evidence);
        let ejected = ready.iter().filter(|server| self.servers[**server].slow_start.step == 0).count();
        let max_ejected = (ready.len() as f64 * OutlierDetector::MAX_EJECTED_FRACTION) as usize;
        let mut ejections_left = max_ejected.saturating_sub(ejected);
        let mut to_check = vec![];
        for (server, evidence) in ready.iter().copied().zip(evidence) {
            match self.decide(now, &self.servers[server], evidence, &baseline) {
                Decision::StayEjected => {}
                Decision::CheckBeforeReturn => to_check.push(server),
                Decision::Return => self.return_ejected(now, server),
                Decision::Allow { steps } => self.limit_steps(now, server, steps, &mut ejections_left),
                Decision::CheckSilent { steps } => {
                    to_check.push(server);
                    self.limit_steps(now, server, steps, &mut ejections_left);
                }
            }
        }
        self.start_health_checks(to_check, ready.len());
    }

    fn outlier_baseline(&self, ready: &[ServerIndex], evidence: &[Option<Evidence>]) -> Baseline {
        let known = || evidence.iter().flatten();
        let last = |server: &ServerIndex| last_report(&self.servers[*server]);
        let newest_report = ready.iter().map(last).max().unwrap_or(Duration::ZERO);
        // If reports on most servers are rare, because of few requests or a lost connection, silence is not evidence of a
        // fault.
        let silence_s = |server| newest_report.saturating_sub(last(server)).as_secs_f64();
        let median_silence_s = median(ready.iter().map(silence_s)).unwrap_or(0.0);
        let silent_s = OutlierDetector::SILENT_BASE_S + OutlierDetector::SILENT_MEDIANS * median_silence_s;
        let intervals = self.observability.report_interval * OutlierDetector::SILENT_REPORT_INTERVALS;
        Baseline {
            answered_share: median(known().map(|evidence| evidence.answered_share)).unwrap_or(1.0),
            latency_s: median(known().filter_map(|evidence| evidence.latency_s)),
            objective_s: self.mean_objective_s(),
            newest_report,
            max_silence: intervals + Duration::from_secs_f64(silent_s),
        }
    }

    fn decide(
        &self,
        now: Duration,
        server: &ServerState,
        evidence: Option<Evidence>,
        baseline: &Baseline,
    ) -> Decision {
        let outlier = &server.outlier;
        if server.slow_start.step == 0 {
            let checked = outlier.checks_passed >= OutlierDetector::CHECKS_TO_CONFIRM;
            if self.observability.health_checks && !checked {
                return Decision::CheckBeforeReturn;
            }
            let ejection_expired = now.saturating_sub(outlier.evidence_from) >= outlier.ejection_time;
            return if ejection_expired { Decision::Return } else { Decision::StayEjected };
        }
        let steps = evidence.map_or(outlier.allowed_steps, |evidence| evidence.allowed_steps(baseline));
        if baseline.newest_report.saturating_sub(last_report(server)) <= baseline.max_silence {
            Decision::Allow { steps }
        } else if outlier.checks_failed < OutlierDetector::CHECKS_TO_CONFIRM {
            Decision::CheckSilent { steps }
        } else {
            Decision::Allow { steps: 0 }
        }
    }

    /// Returns an ejected server to use. The server warms up as after a start, because it may have restarted before the
    /// endpoint list shows that.
    fn return_ejected(&mut self, now: Duration, server: ServerIndex) {
        let state = &mut self.servers[server];
        state.slow_start = SlowStart { step: 1, warming: true, evidence_from: now };
        state.outlier.reset(now + self.channel.limits.max_transit, SlowStart::STEPS);
        let doubled = state.outlier.ejection_time * 2;
        state.outlier.ejection_time = doubled.min(OutlierDetector::LONGEST_EJECTION);
    }

    /// Limits a server's steps. Ejects the server if `steps` is 0 and `ejections_left`, the number of servers that may still be
    /// ejected, is above 0.
    fn limit_steps(&mut self, now: Duration, server: ServerIndex, steps: u32, ejections_left: &mut usize) {
        let state = &mut self.servers[server];
        // A warming server that answers slowly, or not all attempts, may be too slow for its step.
        let returns_to_first_step = state.slow_start.warming && steps < SlowStart::STEPS;
        let steps = if returns_to_first_step { steps.min(1) } else { steps };
        state.outlier.allowed_steps = if *ejections_left == 0 { steps.max(1) } else { steps };
        state.slow_start.step = state.slow_start.step.min(state.outlier.allowed_steps);
        if state.slow_start.step == 0 {
            *ejections_left -= 1;
            state.outlier.reset(now, 0);
            if state.removal_unconfirmed {
                state.endpoint_state = EndpointState::Removed;
            }
        }
    }

    /// Starts health checks of a few servers, chosen at random.
    fn start_health_checks(&mut self, mut servers: Vec<ServerIndex>, ready: usize) {
        servers.shuffle(&mut self.rng);
        if self.observability.health_checks {
            let checks = ready / OutlierDetector::SERVERS_PER_CHECK + OutlierDetector::EXTRA_CHECKS;
            servers.into_iter().take(checks).for_each(|server| self.host.start_health_check(server));
        }
    }

    /// Discards the evidence against a zone's servers. It was gathered while no proxy of the zone was joined, so a network
    /// partition may have caused it.
    pub(super) fn discard_evidence(&mut self, now: Duration, zone: ZoneId) {
        let evidence_from = now + self.channel.limits.max_transit;
        let warm_up = self.timeouts.warm_up;
        for server in self.servers.iter_mut().filter(|server| server.zone == zone) {
            server.outlier.reset(evidence_from, SlowStart::STEPS);
            server.slow_start.step = SlowStart::steps_by_age(now, server.warm_at, warm_up);
        }
    }

    /// Records the result of a health check. Checks of unknown servers are ignored.
    pub fn health_check_finished(&mut self, server: ServerIndex, result: HealthCheckResult) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let outlier = &mut state.outlier;
        match result {
            HealthCheckResult::Healthy => {
                outlier.checks_passed += 1;
                outlier.checks_failed = 0;
            }
            HealthCheckResult::Failed => {
                outlier.checks_passed = 0;
                outlier.checks_failed += 1;
            }
            HealthCheckResult::Rejected => {}
        }
    }
}
