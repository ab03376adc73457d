//! Outlier detection: which servers fail, hang or crawl beside the others, how much weight they are left, and when an ejected
//! one returns. Responsible for the evidence and the verdict; assumes that a fault which most servers show lies elsewhere.

use crate::host::{EndpointState, HealthCheckResult, PolicyHost, ServerIndex, ZoneId};
use crate::state::{LoadSample, OutlierDetector, Policy, ServerState, SlowStart, median};
use rand::seq::SliceRandom;
use std::time::Duration;

/// What a server did lately.
#[derive(Clone, Copy)]
struct Evidence {
    /// The part of its attempts that were answered, 0 to 1.
    answered_share: f64,
    /// Mean of the latencies that its reports give, in seconds; reports count alike, whatever their number of answers.
    latency_s: Option<f64>,
}

/// What the ready servers have in common.
struct Baseline {
    /// Median over the servers of what [`Evidence`] has of each.
    answered_share: f64,
    latency_s: Option<f64>,
    /// The mean latency objective of the routes, in seconds.
    objective_s: f64,
    /// When the newest of all reports came.
    newest_report: Duration,
    /// How far behind the newest report a server's own may be.
    max_silence: Duration,
}

/// What is to be done about a server.
enum Verdict {
    /// Ejected: stays so for now.
    StayEjected,
    /// Ejected: has to pass health checks before it returns.
    CheckBeforeReturn,
    /// Ejected: returns at the first step of its slow start.
    Return,
    /// In use: at most so many steps of weight; 0 ejects it.
    Allow { steps: u32 },
    /// In use and silent: as before, until health checks tell more.
    CheckSilent { steps: u32 },
}

impl OutlierDetector {
    /// How far back attempts count as evidence.
    pub(super) const WINDOW: Duration = Duration::from_secs(4);
    /// Fewer attempts than these are no evidence.
    pub(super) const MIN_ATTEMPTS: f64 = 4.0;
    /// The part of the ready servers that may be ejected.
    const MAX_EJECTED_PART: f64 = 0.5;
    /// The least time of the first ejection. It doubles with each return and never shrinks again.
    const FIRST_EJECTION: Duration = Duration::from_secs(3);
    /// The longest that it grows to.
    const LONGEST_EJECTION: Duration = Duration::from_secs(20);
    /// Where the median server answers less than this part of its attempts, the fault is not a server's.
    const COMMON_FAULT_SHARE: f64 = 0.4;
    /// Answered shares, as a part of the median server's, above which a server may have one, two or all steps.
    const ONE_STEP_SHARE: f64 = 0.1;
    const TWO_STEPS_SHARE: f64 = 0.4;
    const ALL_STEPS_SHARE: f64 = 0.7;
    /// Latency counts as slow from this part of the latency objective on.
    const SLOW_OBJECTIVE_PART: f64 = 0.4;
    /// Multiples of the median latency beyond which a server loses two steps, and one more.
    const SLOW_RATIO: f64 = 3.0;
    const VERY_SLOW_RATIO: f64 = 6.0;
    /// Health checks, one after another, that confirm a server or its silence.
    const CHECKS_TO_CONFIRM: u32 = 2;
    /// A server is silent where its last report is older than the newest of all by more than the sum of so many report intervals,
    /// so many seconds, and so many times the median server's silence.
    const SILENT_REPORT_INTERVALS: u32 = 2;
    const SILENT_BASE_S: f64 = 1.0;
    const SILENT_MEDIANS: f64 = 4.0;
    /// Health checks a tick: one for each so many ready servers, and a few. They cost work, and many are rejected.
    const SERVERS_PER_CHECK: usize = 20;
    const EXTRA_CHECKS: usize = 3;

    /// A server without evidence.
    pub(super) const NEW: OutlierDetector = OutlierDetector {
        allowed_steps: SlowStart::STEPS,
        evidence_from: Duration::ZERO,
        checks_passed: 0,
        checks_failed: 0,
        ejection_time: Self::FIRST_EJECTION,
    };

    /// Forgets the evidence from before a moment.
    pub(super) fn reset(&mut self, evidence_from: Duration, allowed_steps: u32) {
        *self =
            OutlierDetector { allowed_steps, evidence_from, ejection_time: self.ejection_time, ..Self::NEW };
    }
}

impl Evidence {
    /// `None` where the server had too few attempts.
    fn of(server: &ServerState, now: Duration) -> Option<Evidence> {
        let from = now.saturating_sub(OutlierDetector::WINDOW).max(server.outlier.evidence_from);
        let attempts = server.load.sum(from, |sample| sample.attempts);
        let answered = server.load.sum(from, LoadSample::answered);
        (attempts >= OutlierDetector::MIN_ATTEMPTS).then(|| Evidence {
            answered_share: answered / attempts,
            latency_s: server.load.mean(from, |sample| sample.latency_s),
        })
    }

    /// The steps of weight that the evidence allows. Slow answers alone never eject a server.
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

    /// Its latency as a multiple of the median server's; 0 where it is short, or not known.
    fn slowness(&self, baseline: &Baseline) -> f64 {
        let is_slow =
            |latency_s: &f64| *latency_s > OutlierDetector::SLOW_OBJECTIVE_PART * baseline.objective_s;
        let own_s = self.latency_s.filter(is_slow);
        own_s.zip(baseline.latency_s).map_or(0.0, |(own_s, median_s)| own_s / median_s)
    }
}

/// When a server was last heard of; a reset counts as a report.
fn last_report(server: &ServerState) -> Duration {
    let last = server.load.samples.back().map_or(Duration::ZERO, |sample| sample.at);
    last.max(server.outlier.evidence_from)
}

impl<H: PolicyHost> Policy<H> {
    /// Judges all ready servers: gathers the evidence, comes to a verdict on each, and applies it.
    pub(super) fn detect_outliers(&mut self, now: Duration) {
        let ready: Vec<ServerIndex> =
            (0..self.servers.len()).filter(|server| self.servers[*server].is_ready()).collect();
        let evidence: Vec<Option<Evidence>> =
            ready.iter().map(|server| Evidence::of(&self.servers[*server], now)).collect();
        let baseline = self.outlier_baseline(&ready, &evidence);
        let ejected = ready.iter().filter(|server| self.servers[**server].slow_start.step == 0).count();
        let max_ejected = (ready.len() as f64 * OutlierDetector::MAX_EJECTED_PART) as usize;
        let mut may_eject = max_ejected.saturating_sub(ejected);
        let mut to_check = vec![];
        for (server, evidence) in ready.iter().copied().zip(evidence) {
            match self.verdict(now, &self.servers[server], evidence, &baseline) {
                Verdict::StayEjected => {}
                Verdict::CheckBeforeReturn => to_check.push(server),
                Verdict::Return => self.return_ejected(now, server),
                Verdict::Allow { steps } => self.limit_steps(now, server, steps, &mut may_eject),
                Verdict::CheckSilent { steps } => {
                    to_check.push(server);
                    self.limit_steps(now, server, steps, &mut may_eject);
                }
            }
        }
        self.start_health_checks(to_check, ready.len());
    }

    fn outlier_baseline(&self, ready: &[ServerIndex], evidence: &[Option<Evidence>]) -> Baseline {
        let known = || evidence.iter().flatten();
        let last = |server: &ServerIndex| last_report(&self.servers[*server]);
        let newest_report = ready.iter().map(last).max().unwrap_or(Duration::ZERO);
        // Where most are seldom heard of, by few requests or by reports that are cut off, silence is no sign.
        let silence_s = |server| newest_report.saturating_sub(last(server)).as_secs_f64();
        let median_silence_s = median(ready.iter().map(silence_s)).unwrap_or(0.0);
        let silent_s = OutlierDetector::SILENT_BASE_S + OutlierDetector::SILENT_MEDIANS * median_silence_s;
        let intervals = self.observability.report_interval * OutlierDetector::SILENT_REPORT_INTERVALS;
        Baseline {
            answered_share: median(known().map(|known| known.answered_share)).unwrap_or(1.0),
            latency_s: median(known().filter_map(|known| known.latency_s)),
            objective_s: self.mean_objective_s(),
            newest_report,
            max_silence: intervals + Duration::from_secs_f64(silent_s),
        }
    }

    fn verdict(
        &self,
        now: Duration,
        server: &ServerState,
        evidence: Option<Evidence>,
        baseline: &Baseline,
    ) -> Verdict {
        let outlier = &server.outlier;
        if server.slow_start.step == 0 {
            let checked = outlier.checks_passed >= OutlierDetector::CHECKS_TO_CONFIRM;
            if self.observability.health_checks && !checked {
                return Verdict::CheckBeforeReturn;
            }
            let served = now.saturating_sub(outlier.evidence_from) >= outlier.ejection_time;
            return if served { Verdict::Return } else { Verdict::StayEjected };
        }
        let steps = evidence.map_or(outlier.allowed_steps, |evidence| evidence.allowed_steps(baseline));
        if baseline.newest_report.saturating_sub(last_report(server)) <= baseline.max_silence {
            Verdict::Allow { steps }
        } else if outlier.checks_failed < OutlierDetector::CHECKS_TO_CONFIRM {
            Verdict::CheckSilent { steps }
        } else {
            Verdict::Allow { steps: 0 }
        }
    }

    /// It may have restarted before the list tells, so it warms up as if it had.
    fn return_ejected(&mut self, now: Duration, server: ServerIndex) {
        let state = &mut self.servers[server];
        state.slow_start = SlowStart { step: 1, warming: true, evidence_from: now };
        state.outlier.reset(now + self.channel.limits.max_transit, SlowStart::STEPS);
        let doubled = state.outlier.ejection_time * 2;
        state.outlier.ejection_time = doubled.min(OutlierDetector::LONGEST_EJECTION);
    }

    /// Limits a server's steps, and ejects it where none is left and `may_eject` is not used up.
    fn limit_steps(&mut self, now: Duration, server: ServerIndex, steps: u32, may_eject: &mut usize) {
        let state = &mut self.servers[server];
        // A warming server that answers slowly or in part may be slow as well.
        let falls_back = state.slow_start.warming && steps < SlowStart::STEPS;
        let steps = if falls_back { steps.min(1) } else { steps };
        state.outlier.allowed_steps = if *may_eject == 0 { steps.max(1) } else { steps };
        state.slow_start.step = state.slow_start.step.min(state.outlier.allowed_steps);
        if state.slow_start.step == 0 {
            *may_eject -= 1;
            state.outlier.reset(now, 0);
            if state.removal_doubted {
                state.endpoint_state = EndpointState::Removed;
            }
        }
    }

    /// Checks a few of the servers, by chance.
    fn start_health_checks(&mut self, mut servers: Vec<ServerIndex>, ready: usize) {
        servers.shuffle(&mut self.rng);
        if self.observability.health_checks {
            let checks = ready / OutlierDetector::SERVERS_PER_CHECK + OutlierDetector::EXTRA_CHECKS;
            servers.into_iter().take(checks).for_each(|server| self.host.start_health_check(server));
        }
    }

    /// Forgets the evidence against a zone's servers: what no proxy of the zone confirmed may have been a network partition.
    pub(super) fn forget_evidence(&mut self, now: Duration, zone: ZoneId) {
        let evidence_from = now + self.channel.limits.max_transit;
        let warm_up = self.timeouts.warm_up;
        for server in self.servers.iter_mut().filter(|server| server.zone == zone) {
            server.outlier.reset(evidence_from, SlowStart::STEPS);
            server.slow_start.step = SlowStart::steps_by_age(now, server.warm_at, warm_up);
        }
    }

    /// Tells how a health check ended. Checks of unknown servers are ignored.
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
