//! Runs of the model, distributed over threads, with their outcomes in the order of the jobs.

use crate::recorded::RecordedDay;
use grebespool_invariants::Verdict;
use grebespool_server_model::ServiceLevel;
use grebespool_settings::Day;
use grebespool_simulation::{PlannedBy, SimulationError, simulate};
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// A day under the settings of a variant.
pub struct Variant {
    /// Name of the variant in reports.
    pub name: String,
    /// The day, with the variant's settings.
    pub day: Day,
}

/// The inputs of one run.
pub struct Job<'a> {
    /// The day to simulate.
    pub day: &'a Day,
    /// The seed, in place of the day's.
    pub seed: u64,
    /// The planner, or the baseline in place of one.
    pub by: PlannedBy,
    /// The recording to replay, if any.
    pub recorded: Option<&'a RecordedDay>,
}

/// The outcome of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The seed of the run.
    pub seed: u64,
    /// The service level and its parts.
    pub service: ServiceLevel,
    /// The rules that were broken, each with its first violation.
    pub broken: Vec<(String, String)>,
    /// Number of events that the model processed.
    pub events: u64,
}

impl Job<'_> {
    /// Simulates the run.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment is not supported or the recording cannot be read.
    pub fn run(&self) -> Result<Outcome, SimulationError> {
        let mut day = self.day.clone();
        day.seed = self.seed;
        let recording = self.recorded.map(RecordedDay::begin).transpose();
        let recording = recording.map_err(|error| SimulationError::Recording(error.into()))?;
        let played = simulate(&day, self.by, recording, &mut |_, _| {})?;
        let broken = |v: &Verdict| {
            let first = v.first.as_ref()?;
            Some((v.rule.to_string(), format!("at {:.3} s: {}", first.at.as_secs_f64(), first.what)))
        };
        Ok(Outcome {
            seed: self.seed,
            service: played.service,
            broken: played.verdicts.iter().filter_map(broken).collect(),
            events: played.events,
        })
    }
}

/// Runs all jobs on `threads` threads and returns their outcomes in the order of the jobs. `done` is called after each
/// run with the index of the job.
///
/// # Errors
///
/// Returns the error of the first job, in their order, that failed.
pub fn run_all(
    jobs: &[Job<'_>],
    threads: usize,
    done: &(dyn Fn(usize, &Outcome) + Sync),
) -> Result<Vec<Outcome>, SimulationError> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<Result<Outcome, SimulationError>>>> =
        Mutex::new((0..jobs.len()).map(|_| None).collect());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while let Some((i, job)) = {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    jobs.get(i).map(|job| (i, job))
                } {
                    let result = job.run();
                    if let Ok(outcome) = &result {
                        done(i, outcome);
                    }
                    results.lock().unwrap_or_else(PoisonError::into_inner)[i] = Some(result);
                }
            });
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner).into_iter().flatten().collect()
}

/// The outcomes of a variant or a baseline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replayed {
    /// Name of the variant or baseline.
    pub name: String,
    /// The outcomes, in the order of the seeds.
    pub outcomes: Vec<Outcome>,
}

/// The outcomes of a day under several variants, and of the baselines that they are compared with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replays {
    /// The variants. The others are compared with the first.
    pub variants: Vec<Replayed>,
    /// The baseline of even weights, on the first variant's day.
    pub evenly: Replayed,
    /// The baseline of perfect knowledge, on the first variant's day: each request goes to the server that completes it
    /// first.
    pub best: Replayed,
    /// The same as `best`, with requests beyond the capacity rejected by priority weight.
    pub rationed: Replayed,
}

impl Replays {
    /// Number of baselines.
    pub const BASELINES: usize = 3;
    /// Name of the baseline of even weights.
    pub const EVENLY: &str = "even weights, no planner";
    /// Name of the baseline of perfect knowledge.
    pub const BEST: &str = "least loaded, knowing all";
    /// Name of the baseline of perfect knowledge that rejects requests beyond the capacity.
    pub const RATIONED: &str = "least loaded and rationed, knowing all";

    /// Returns the jobs of a comparison: each variant with each seed, then each baseline with each seed.
    pub fn jobs<'a>(
        variants: &'a [Variant],
        seeds: &[u64],
        recorded: Option<&'a RecordedDay>,
    ) -> Vec<Job<'a>> {
        let with_seeds =
            |day: &'a Day, by| seeds.iter().map(move |seed| Job { day, seed: *seed, by, recorded });
        let planned = variants.iter().flat_map(|v| with_seeds(&v.day, PlannedBy::Planner));
        let first = variants.iter().take(1);
        let baselines = [PlannedBy::Evenly, PlannedBy::Nobody, PlannedBy::Rationed];
        let compared = first.flat_map(|v| baselines.into_iter().flat_map(move |by| with_seeds(&v.day, by)));
        planned.chain(compared).collect()
    }

    /// Groups the outcomes of [`Replays::jobs`] by variant and baseline.
    pub fn of(names: &[&str], outcomes: Vec<Outcome>) -> Replays {
        let seeds = outcomes.len() / (names.len() + Self::BASELINES);
        let mut outcomes = outcomes.into_iter();
        let mut next =
            |name: &str| Replayed { name: name.into(), outcomes: outcomes.by_ref().take(seeds).collect() };
        let variants = names.iter().map(|n| next(n)).collect();
        let (evenly, best) = (next(Self::EVENLY), next(Self::BEST));
        Replays { variants, evenly, best, rationed: next(Self::RATIONED) }
    }

    /// Returns true if no variant broke a rule.
    pub fn rules_kept(&self) -> bool {
        self.variants.iter().all(|r| r.outcomes.iter().all(|o| o.broken.is_empty()))
    }
}

/// Runs each variant and each baseline with each of `seeds`, on `threads` threads. `done` is called after each run with
/// the number of runs done.
///
/// # Errors
///
/// Returns an error if a deployment is not supported or the recording cannot be read.
pub fn replay(
    variants: &[Variant],
    seeds: &[u64],
    recorded: Option<&RecordedDay>,
    threads: usize,
    done: &(dyn Fn(usize) + Sync),
) -> Result<Replays, SimulationError> {
    let runs_done = AtomicUsize::new(0);
    let jobs = Replays::jobs(variants, seeds, recorded);
    let outcomes = run_all(&jobs, threads, &|_, _| done(runs_done.fetch_add(1, Ordering::Relaxed) + 1))?;
    let names: Vec<&str> = variants.iter().map(|v| v.name.as_str()).collect();
    Ok(Replays::of(&names, outcomes))
}
