//! Variants and seeds, run on all cores.

use grebespool_engine::Unsupported;
use grebespool_model::{FirstCall, model};
use grebespool_rules::{Passed, Rule};
use grebespool_settings::Day;
use grebespool_wire::Outcome as Answered;
use serde::Serialize;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// A day under some settings.
pub struct Variant {
    pub name: String,
    pub day: Day,
}

/// What one run came to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    pub seed: u64,
    pub service: f64,
    pub worst: f64,
    /// By route: asked, answered, in time, throttled.
    pub routes: Vec<(String, u64, u64, u64, u64)>,
    pub p99_ms: Vec<f64>,
    pub messages: usize,
    pub lines: usize,
    pub joins: usize,
    /// Rules that were broken, with the first breach.
    pub broken: Vec<(String, String)>,
    /// Importance answered in time over importance asked, by two seconds of the day.
    pub course: Vec<f64>,
}

pub struct Replayed {
    pub name: String,
    pub outcomes: Vec<Outcome>,
}

const COURSE: u64 = 2;

fn outcome(day: &Day, calls: Option<&[FirstCall]>) -> Result<Outcome, Unsupported> {
    let played = model(day, calls)?;
    let (mut messages, mut lines, mut joins) = (0, 0, 0);
    let mut asked = std::collections::BTreeMap::new();
    let mut course = vec![(0.0, 0.0); (day.length.0.as_secs() / COURSE) as usize + 1];
    for (at, passed) in &played.record.passed {
        match passed {
            Passed::Ordered { orders, .. } => (messages, lines) = (messages + 1, lines + orders.parts.len()),
            Passed::Joined { .. } => joins += 1,
            Passed::Asked { id, route, .. } => drop(asked.insert(*id, (*at, usize::from(*route)))),
            Passed::Done { id, outcome, .. } => {
                let Some((due, route)) = asked.get(id).copied() else { continue };
                let stated = &day.deployment.routes[route];
                let Some(part) = course.get_mut((due.as_secs() / COURSE) as usize) else { continue };
                part.0 += stated.importance;
                let good = *outcome == Answered::Answered && at.saturating_sub(due) <= stated.slo.0;
                part.1 += if good { stated.importance } else { 0.0 };
            }
            _ => {}
        }
    }
    let broken = |v: &grebespool_rules::Verdict| {
        let rule: Rule = v.rule;
        v.first.as_ref().map(|b| (rule.to_string(), format!("at {:.3} s: {}", b.at.as_secs_f64(), b.what)))
    };
    Ok(Outcome {
        seed: day.seed,
        service: played.service.whole,
        worst: played.service.worst,
        routes: (played.service.routes.iter())
            .map(|r| (r.name.clone(), r.asked, r.answered, r.in_time, r.throttled))
            .collect(),
        p99_ms: played.service.routes.iter().map(|r| r.p99_ms).collect(),
        messages,
        lines,
        joins,
        broken: played.verdicts.iter().filter_map(broken).collect(),
        course: course.into_iter().map(|(a, g)| if a > 0.0 { g / a } else { 1.0 }).collect(),
    })
}

/// Runs every variant with each of `seeds`, on `threads` threads. `calls`: a recorded day's first calls, the same
/// for all. `done` is told how many runs are over.
///
/// # Errors
///
/// A deployment of a kind that nothing is decided for.
pub fn replay(
    variants: &[Variant],
    seeds: &[u64],
    calls: Option<&[FirstCall]>,
    threads: usize,
    done: &(dyn Fn(usize) + Sync),
) -> Result<Vec<Replayed>, Unsupported> {
    let (next, over) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let count = variants.len() * seeds.len();
    let results: Mutex<Vec<Option<Result<Outcome, Unsupported>>>> = Mutex::new(vec![None; count]);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, count.max(1)) {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    if i >= count {
                        return;
                    }
                    let mut day = variants[i / seeds.len()].day.clone();
                    day.seed = seeds[i % seeds.len()];
                    let result = outcome(&day, calls);
                    results.lock().unwrap_or_else(PoisonError::into_inner)[i] = Some(result);
                    done(over.fetch_add(1, Ordering::Relaxed) + 1);
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner).into_iter().flatten();
    let mut replayed = vec![];
    for variant in variants {
        let outcomes = results.by_ref().take(seeds.len()).collect::<Result<_, _>>()?;
        replayed.push(Replayed { name: variant.name.clone(), outcomes });
    }
    Ok(replayed)
}
