//! Runs, dealt to all cores and put together by their places.

use crate::past::Recorded;
use grebespool_invariants::Verdict;
use grebespool_server_model::ServiceLevel;
use grebespool_settings::Day;
use grebespool_simulation::{PlannedBy, SimulationError, simulate};
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// A day under some settings.
pub struct Variant {
    pub name: String,
    pub day: Day,
}

/// One run that is to be done.
pub struct Job<'a> {
    pub day: &'a Day,
    pub seed: u64,
    pub by: PlannedBy,
    pub recorded: Option<&'a Recorded>,
}

/// What one run came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub seed: u64,
    pub service: ServiceLevel,
    /// Rules that were broken, with the first breach.
    pub broken: Vec<(String, String)>,
    /// The model's events.
    pub events: u64,
}

impl Job<'_> {
    /// # Errors
    ///
    /// A deployment of a kind that nothing is decided for; a recording that cannot be read.
    pub fn run(&self) -> Result<Outcome, SimulationError> {
        let mut day = self.day.clone();
        day.seed = self.seed;
        let recording = self.recorded.map(Recorded::begin).transpose();
        let recording = recording.map_err(|flaw| SimulationError::Recording(flaw.into()))?;
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

/// Does all jobs on so many threads; the outcomes are in the jobs' order. `done` is told of each as it is over, by
/// its place.
///
/// # Errors
///
/// The first job's, in their order, that could not be done.
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

/// A variant's outcomes, a seed after another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replayed {
    pub name: String,
    pub outcomes: Vec<Outcome>,
}

/// A day under several settings, and what it is compared with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replays {
    /// The first is the one that the others are compared with.
    pub variants: Vec<Replayed>,
    /// Even weights on the first variant's day.
    pub evenly: Replayed,
    /// Each call to where it is done first, by perfect knowledge, on the first variant's day.
    pub best: Replayed,
    /// The same, where what does not fit is turned away by importance.
    pub rationed: Replayed,
}

impl Replays {
    /// What each day is compared with.
    pub const BASELINES: usize = 3;
    pub const EVENLY: &str = "even weights, no planner";
    pub const BEST: &str = "least loaded, knowing all";
    pub const RATIONED: &str = "least loaded and rationed, knowing all";

    /// The runs that a comparison needs: each variant with each seed, then the baselines.
    pub fn jobs<'a>(variants: &'a [Variant], seeds: &[u64], recorded: Option<&'a Recorded>) -> Vec<Job<'a>> {
        let of = |day: &'a Day, by| seeds.iter().map(move |seed| Job { day, seed: *seed, by, recorded });
        let planned = variants.iter().flat_map(|v| of(&v.day, PlannedBy::Planner));
        let first = variants.iter().take(1);
        let by = [PlannedBy::Evenly, PlannedBy::Nobody, PlannedBy::Rationed];
        let compared = first.flat_map(|v| by.into_iter().flat_map(move |by| of(&v.day, by)));
        planned.chain(compared).collect()
    }

    /// Puts the outcomes of [`Replays::jobs`] together.
    pub fn of(names: &[&str], outcomes: Vec<Outcome>) -> Replays {
        let seeds = outcomes.len() / (names.len() + Self::BASELINES);
        let mut outcomes = outcomes.into_iter();
        let mut next =
            |name: &str| Replayed { name: name.into(), outcomes: outcomes.by_ref().take(seeds).collect() };
        let variants = names.iter().map(|n| next(n)).collect();
        let (evenly, best) = (next(Self::EVENLY), next(Self::BEST));
        Replays { variants, evenly, best, rationed: next(Self::RATIONED) }
    }

    pub fn kept(&self) -> bool {
        self.variants.iter().all(|r| r.outcomes.iter().all(|o| o.broken.is_empty()))
    }
}

/// Runs every variant with each of `seeds`, and the baselines, on `threads` threads. `done` is told how many runs
/// are over.
///
/// # Errors
///
/// A deployment of a kind that nothing is decided for; a recording that cannot be read.
pub fn replay(
    variants: &[Variant],
    seeds: &[u64],
    recorded: Option<&Recorded>,
    threads: usize,
    done: &(dyn Fn(usize) + Sync),
) -> Result<Replays, SimulationError> {
    let over = AtomicUsize::new(0);
    let jobs = Replays::jobs(variants, seeds, recorded);
    let outcomes = run_all(&jobs, threads, &|_, _| done(over.fetch_add(1, Ordering::Relaxed) + 1))?;
    let names: Vec<&str> = variants.iter().map(|v| v.name.as_str()).collect();
    Ok(Replays::of(&names, outcomes))
}
