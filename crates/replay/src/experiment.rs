//! Sweeps: variants over days over seeds, kept run by run, so that one that was interrupted goes on where it
//! stopped.

use crate::compare::gain;
use crate::past::Recorded;
use crate::report::{Page, rules, service, told, write_report};
use crate::run::{Job, Outcome, Replays, Variant, run_all};
use grebespool_simulation::SimulationError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use thiserror::Error;

/// Why a sweep cannot be run. Paths are those of its folder.
#[derive(Debug, Error)]
pub enum Unswept {
    #[error("{path}: {why}")]
    Io { path: String, why: io::Error },
    #[error("{0}: another sweep is at work in this folder")]
    Taken(String),
    #[error(transparent)]
    Unplayable(#[from] SimulationError),
}

fn at(path: &Path) -> impl FnOnce(io::Error) -> Unswept {
    let path = path.display().to_string();
    move |why| Unswept::Io { path, why }
}

#[derive(Serialize, Deserialize)]
struct Line {
    key: String,
    outcome: Outcome,
}

/// Runs that are over, a line each in `runs.jsonl` of a folder.
pub struct Kept {
    runs: BTreeMap<String, Outcome>,
    file: Mutex<File>,
    path: PathBuf,
    /// Lines that were passed over: cut off, or damaged. Their runs are done again.
    pub damaged: usize,
    // Held for as long as the folder is written to.
    _lock: File,
}

impl Kept {
    /// # Errors
    ///
    /// The folder's, and that another has it.
    pub fn open(folder: &Path) -> Result<Kept, Unswept> {
        std::fs::create_dir_all(folder).map_err(at(folder))?;
        let lock_path = folder.join("lock");
        let lock = File::create(&lock_path).map_err(at(&lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Unswept::Taken(folder.display().to_string())),
            Err(TryLockError::Error(why)) => return Err(at(&lock_path)(why)),
        }
        let path = folder.join("runs.jsonl");
        let mut file =
            OpenOptions::new().read(true).append(true).create(true).open(&path).map_err(at(&path))?;
        let (mut runs, mut damaged, mut whole) = (BTreeMap::new(), 0, true);
        for line in BufReader::new(&file).split(b'\n') {
            let line = line.map_err(at(&path))?;
            whole = serde_json::from_slice::<Line>(&line).map(|l| runs.insert(l.key, l.outcome)).is_ok();
            damaged += usize::from(!whole);
        }
        if !whole {
            // What was cut off in its middle must not run into the next line.
            file.write_all(b"\n").map_err(at(&path))?;
        }
        Ok(Kept { runs, file: Mutex::new(file), path, damaged, _lock: lock })
    }

    fn keep(&self, key: &str, outcome: &Outcome) -> io::Result<()> {
        let line = Line { key: key.into(), outcome: outcome.clone() };
        let mut text = serde_json::to_string(&line)?;
        text.push('\n');
        self.file.lock().unwrap_or_else(PoisonError::into_inner).write_all(text.as_bytes())
    }
}

/// A day of a sweep, under each variant.
pub struct SweptDay {
    pub name: String,
    pub about: Vec<String>,
    pub variants: Vec<Variant>,
    pub recorded: Option<Recorded>,
}

/// A sweep.
pub struct Experiment {
    pub name: String,
    /// All with the same variants.
    pub days: Vec<SweptDay>,
    pub seeds: Vec<u64>,
}

/// A sweep that was run.
#[derive(Debug)]
pub struct Swept {
    pub days: Vec<(String, Replays)>,
    /// Runs that had been kept from before.
    pub kept: usize,
    pub done: usize,
}

impl Experiment {
    /// Does the runs that are not kept yet. `program` stands for what does them: runs of another are not taken
    /// for its own. `over` is told of each.
    ///
    /// # Errors
    ///
    /// The folder's; a deployment that nothing is decided for; a recording that cannot be read.
    pub fn run(
        &self,
        kept: &Kept,
        program: &[u8],
        threads: usize,
        over: &(dyn Fn() + Sync),
    ) -> Result<Swept, Unswept> {
        let mut jobs: Vec<(Job<'_>, String)> = vec![];
        for day in &self.days {
            let sum = day.recorded.as_ref().map(Recorded::sum).transpose();
            let sum = sum.map_err(|flaw| SimulationError::Recording(flaw.into()))?;
            for job in Replays::jobs(&day.variants, &self.seeds, day.recorded.as_ref()) {
                let key = key(program, &job, sum.as_ref());
                jobs.push((job, key));
            }
        }
        let mut outcomes: Vec<Option<Outcome>> = jobs.iter().map(|j| kept.runs.get(&j.1).cloned()).collect();
        let (mut left, mut places) = (vec![], vec![]);
        for (i, (job, _)) in jobs.iter().enumerate().filter(|(i, _)| outcomes[*i].is_none()) {
            left.push(Job { ..*job });
            places.push(i);
        }
        let failed = Mutex::new(None);
        let done = run_all(&left, threads, &|i, outcome| {
            if let Err(why) = kept.keep(&jobs[places[i]].1, outcome) {
                failed.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(why);
            }
            over();
        })?;
        if let Some(why) = failed.into_inner().unwrap_or_else(PoisonError::into_inner) {
            return Err(at(&kept.path)(why));
        }
        let count = done.len();
        places.iter().zip(done).for_each(|(i, outcome)| outcomes[*i] = Some(outcome));
        let mut outcomes = outcomes.into_iter().flatten();
        let mut days = vec![];
        for day in &self.days {
            let names: Vec<&str> = day.variants.iter().map(|v| v.name.as_str()).collect();
            let runs = (names.len() + Replays::BASELINES) * self.seeds.len();
            days.push((day.name.clone(), Replays::of(&names, outcomes.by_ref().take(runs).collect())));
        }
        Ok(Swept { days, kept: jobs.len() - count, done: count })
    }

    /// Writes a report for each day into a folder of its name, and `index.html` and `index.md` over all.
    ///
    /// # Errors
    ///
    /// The files'.
    pub fn write(&self, folder: &Path, swept: &Swept) -> Result<(), Unswept> {
        for (day, (name, replays)) in self.days.iter().zip(&swept.days) {
            let to = folder.join(name);
            write_report(&to, &format!("{}: {name}", self.name), &day.about, replays).map_err(at(&to))?;
        }
        let head = ["day", "variant", "service", "against the first", "even", "best", "rules"];
        let head = head.map(String::from).to_vec();
        let mut table = crate::report::Table { title: "Service by day".into(), head, rows: vec![] };
        for (name, replays) in &swept.days {
            for (i, r) in replays.variants.iter().enumerate() {
                let against = if i == 0 { String::new() } else { told(&gain(&replays.variants[0], r)) };
                table.rows.push(vec![
                    name.clone(),
                    r.name.clone(),
                    format!("{:.4}", service(r)),
                    against,
                    format!("{:.4}", service(&replays.evenly)),
                    format!("{:.4}", service(&replays.best)),
                    rules(r),
                ]);
            }
        }
        let about = format!(
            "{} days, {} variants, {} seeds. Simulated. Each day's own report is in the folder of its name.",
            self.days.len(),
            self.days.first().map_or(0, |d| d.variants.len()),
            self.seeds.len()
        );
        let page = Page { title: self.name.clone(), about: vec![about], tables: vec![table], charts: vec![] };
        page.write(folder, "index").map_err(at(folder))
    }
}

/// Stands for all that a run's outcome depends on.
fn key(program: &[u8], job: &Job<'_>, recorded: Option<&[u8; 32]>) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(program);
    // A day's debug form has all its fields; two that differ in one differ in it.
    let day = format!("{:?} {} {:?}", job.day, job.seed, job.by);
    hasher.update(&(day.len() as u64).to_be_bytes()).update(day.as_bytes());
    hasher.update(recorded.map_or(&[][..], |r| &r[..]));
    hasher.finalize().to_hex()[..32].to_string()
}
