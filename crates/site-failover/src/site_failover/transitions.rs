//! The state changes that follow from the evidence.

use super::{Site, SiteFailover};
use crate::SiteId;
use crate::event::{FailoverEvent, SiteChange, TransitionReason};
use crate::failure_detection::{Evidence, Verdict};
use crate::host::FailoverHost;
use crate::recovery_ramp::{RampDecision, RecoveryRamp, StepObservations};
use crate::state::SiteState;
use std::time::Duration;

impl SiteFailover {
    /// Evaluates all sites. To be called a few times within each evidence window.
    pub fn evaluate(&mut self, now: Duration, host: &mut impl FailoverHost) {
        for site in 0..self.sites.len() {
            self.evaluate_site(now, site, host);
        }
        self.publish_admission(host);
    }

    fn evaluate_site(&mut self, now: Duration, id: SiteId, host: &mut impl FailoverHost) {
        let evidence = self.observations.evidence(now, id, evidence_since(&self.sites[id]));
        let verdict = evidence.verdict();
        let is_confirmed = self.confirm_verdict(now, id, verdict, &evidence);
        self.reset_flaps_if_stable(now, id);
        let state = self.sites[id].state;
        let has_failed = verdict == Verdict::Failed && is_confirmed;
        if let SiteState::Recovering(ramp) = state
            && !has_failed
        {
            return self.advance_ramp(now, id, ramp, host);
        }
        let Some(next) = self.next_state(now, id, &evidence, verdict, is_confirmed) else { return };
        if matches!(state, SiteState::Recovering(_)) {
            self.sites[id].flaps += 1;
        }
        self.set_state(now, id, next, TransitionReason::Evidence(evidence), host);
    }

    /// Records the verdict, and returns true if it has held for the confirmation time. If the endpoint list has dropped the
    /// site, the verdict is confirmed at once: no requests are sent there any more, so waiting would only overload the other
    /// sites.
    fn confirm_verdict(&mut self, now: Duration, id: SiteId, verdict: Verdict, evidence: &Evidence) -> bool {
        let site = &mut self.sites[id];
        if site.verdict != verdict {
            site.verdict = verdict;
            site.verdict_since = now;
        }
        evidence.is_unlisted || now.saturating_sub(site.verdict_since) >= self.parameters.confirmation
    }

    fn reset_flaps_if_stable(&mut self, now: Duration, id: SiteId) {
        let site = &mut self.sites[id];
        let healthy_for = now.saturating_sub(site.healthy_since);
        if site.state == SiteState::Healthy && healthy_for > self.parameters.stability_period {
            site.flaps = 0;
        }
    }

    /// Returns the state that a site changes to, if any.
    fn next_state(
        &self,
        now: Duration,
        id: SiteId,
        evidence: &Evidence,
        verdict: Verdict,
        is_confirmed: bool,
    ) -> Option<SiteState> {
        let site = &self.sites[id];
        match (site.state, verdict) {
            (SiteState::Healthy | SiteState::Suspected | SiteState::Recovering(_), Verdict::Failed)
                if is_confirmed =>
            {
                // If all sites appear to have failed, the controller itself is probably partitioned.
                (!self.is_last_in_service(id)).then_some(SiteState::Failed)
            }
            (SiteState::Healthy | SiteState::Suspected, Verdict::Partitioned) if is_confirmed => {
                Some(SiteState::Partitioned)
            }
            (SiteState::Healthy, Verdict::Suspected | Verdict::Failed | Verdict::Partitioned) => {
                Some(SiteState::Suspected)
            }
            (SiteState::Suspected, Verdict::Healthy) if is_confirmed => Some(SiteState::Healthy),
            (SiteState::Failed, _) if evidence.shows_recovery() && now > site.since => {
                Some(SiteState::Recovering(RecoveryRamp::begin(now, site.flaps)))
            }
            // The servers of a partitioned site never stopped, so no ramp is needed: the policy itself sends little over the
            // restored paths at first.
            (SiteState::Partitioned, Verdict::Healthy | Verdict::Suspected)
                if evidence.answered_to_others.is_some() && is_confirmed =>
            {
                Some(SiteState::Healthy)
            }
            (SiteState::Partitioned, Verdict::Failed) if is_confirmed && !self.is_last_in_service(id) => {
                Some(SiteState::Failed)
            }
            _ => None,
        }
    }

    /// Returns true if all other sites are out of service.
    fn is_last_in_service(&self, id: SiteId) -> bool {
        let mut others = self.sites.iter().enumerate().filter(|(other, _)| *other != id);
        others.all(|(_, other)| other.state.is_out_of_service())
    }

    fn advance_ramp(
        &mut self,
        now: Duration,
        id: SiteId,
        mut ramp: RecoveryRamp,
        host: &mut impl FailoverHost,
    ) {
        let observed = self.step_observations(now, id, &ramp);
        match ramp.evaluate(now, &self.parameters.ramp, &observed) {
            RampDecision::Hold(reason) => {
                if self.sites[id].hold_reason.replace(reason) != Some(reason) {
                    let change = SiteChange::StepHeld { step: ramp.step(), reason };
                    host.log(FailoverEvent { site: id, change });
                }
            }
            RampDecision::Complete => {
                self.set_state(now, id, SiteState::Healthy, TransitionReason::RampCompleted, host);
            }
            RampDecision::Advance => {
                self.set_state(now, id, SiteState::Recovering(ramp), TransitionReason::StepProven, host);
            }
            RampDecision::StepBack => {
                self.set_state(now, id, SiteState::Recovering(ramp), TransitionReason::RequestsFail, host);
            }
        }
    }

    /// Returns the observations at a returning site since the orders of its step took effect, and at the other sites.
    fn step_observations(&self, now: Duration, id: SiteId, ramp: &RecoveryRamp) -> StepObservations {
        let in_force_from = ramp.step_began_at() + self.parameters.ramp.propagation;
        let sample = self.observations.wait_sample(id, in_force_from);
        StepObservations {
            attempts: sample.attempts,
            answered: sample.answered,
            mean_wait: sample.mean_wait,
            mean_wait_elsewhere: self.mean_wait_elsewhere(now, id),
        }
    }

    /// Returns the mean of the mean waits, in seconds, of the other sites that have their whole weight.
    fn mean_wait_elsewhere(&self, now: Duration, id: SiteId) -> Option<f64> {
        let since = now.saturating_sub(self.parameters.evidence_window);
        let others =
            (0..self.sites.len()).filter(|other| *other != id && self.weight_fraction(*other) == 1.0);
        let (mut sum, mut count) = (0.0, 0.0);
        for wait in others.filter_map(|other| self.observations.wait_sample(other, since).mean_wait) {
            sum += wait;
            count += 1.0;
        }
        (count > 0.0).then(|| sum / count)
    }
}

/// Returns the time after which observations concern the site's present state.
fn evidence_since(site: &Site) -> Duration {
    match site.state {
        SiteState::Failed | SiteState::TakenOut | SiteState::Partitioned => site.since,
        SiteState::Recovering(ramp) => ramp.step_began_at(),
        SiteState::Healthy | SiteState::Suspected => Duration::ZERO,
    }
}
