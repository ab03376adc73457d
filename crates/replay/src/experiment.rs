//! Sweeps over variants, days and seeds. Each run is stored when it ends, so that an interrupted sweep resumes.

use crate::compare::gain;
use crate::recorded::RecordedDay;
use crate::report::{Page, format_gain, mean_service, rules_text, write_report};
use crate::run::{Job, Outcome, Replays, Variant, run_all};
use grebespool_simulation::SimulationError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use thiserror::Error;

/// The reason why a sweep cannot be run.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A file of the sweep's folder cannot be read or written.
    #[error("{path}: {why}")]
    Io {
        /// Path of the file or folder.
        path: String,
        /// The error of the system.
        why: io::Error,
    },
    /// Another process holds the lock of the folder.
    #[error("{0}: another sweep is at work in this folder")]
    Locked(String),
    /// A run cannot be simulated.
    #[error(transparent)]
    Unplayable(#[from] SimulationError),
}

/// Returns a function that adds a path to an I/O error.
fn io_error(path: &Path) -> impl FnOnce(io::Error) -> ExperimentError {
    let path = path.display().to_string();
    move |why| ExperimentError::Io { path, why }
}

/// A line of `runs.jsonl`.
#[derive(Serialize, Deserialize)]
struct StoredRun {
    key: String,
    outcome: Outcome,
}

/// The finished runs of a sweep, stored as lines of `runs.jsonl` in a folder.
pub struct RunStore {
    runs: BTreeMap<String, Outcome>,
    file: Mutex<File>,
    path: PathBuf,
    /// Number of truncated or damaged lines. Their runs are repeated.
    pub damaged: usize,
    // Locks the folder until the store is dropped.
    _lock: File,
}

impl RunStore {
    /// Locks a folder, which is created if missing, and reads its stored runs.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or written, or if another process holds the lock.
    pub fn open(folder: &Path) -> Result<RunStore, ExperimentError> {
        std::fs::create_dir_all(folder).map_err(io_error(folder))?;
        let lock_path = folder.join("lock");
        let lock = File::create(&lock_path).map_err(io_error(&lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(ExperimentError::Locked(folder.display().to_string()));
            }
            Err(TryLockError::Error(why)) => return Err(io_error(&lock_path)(why)),
        }
        let path = folder.join("runs.jsonl");
        let mut file =
            OpenOptions::new().read(true).append(true).create(true).open(&path).map_err(io_error(&path))?;
        let (mut runs, mut damaged, mut whole) = (BTreeMap::new(), 0, true);
        for line in BufReader::new(&file).split(b'\n') {
            let line = line.map_err(io_error(&path))?;
            whole = serde_json::from_slice::<StoredRun>(&line).map(|l| runs.insert(l.key, l.outcome)).is_ok();
            damaged += usize::from(!whole);
        }
        if !whole {
            // Ends a truncated line, so that the next run begins a new one.
            file.write_all(b"\n").map_err(io_error(&path))?;
        }
        Ok(RunStore { runs, file: Mutex::new(file), path, damaged, _lock: lock })
    }

    /// Appends a run to the file.
    fn append(&self, key: &str, outcome: &Outcome) -> io::Result<()> {
        let line = StoredRun { key: key.into(), outcome: outcome.clone() };
        let mut text = serde_json::to_string(&line)?;
        text.push('\n');
        self.file.lock().unwrap_or_else(PoisonError::into_inner).write_all(text.as_bytes())
    }
}

/// A day of a sweep, under each variant.
pub struct ExperimentDay {
    /// Name of the day and of its folder of reports.
    pub name: String,
    /// Lines at the head of the day's report.
    pub about: Vec<String>,
    /// The day under the settings of each variant.
    pub variants: Vec<Variant>,
    /// The recording that the day replays, if any.
    pub recorded: Option<RecordedDay>,
}

/// A sweep of variants over days and seeds.
pub struct Experiment {
    /// Name of the sweep, the title of its report.
    pub name: String,
    /// The days, all with the same variants.
    pub days: Vec<ExperimentDay>,
    /// The seeds of each variant on each day.
    pub seeds: Vec<u64>,
}

/// The result of a sweep.
#[derive(Debug)]
pub struct ExperimentResult {
    /// The days by name, with the outcomes of their runs.
    pub days: Vec<(String, Replays)>,
    /// Number of runs taken from the store.
    pub reused: usize,
    /// Number of runs simulated now.
    pub done: usize,
}

impl Experiment {
    /// Simulates the runs that the store lacks. `program` identifies the build: runs of other builds are not reused.
    /// `run_done` is called after each simulated run.
    ///
    /// # Errors
    ///
    /// Returns an error if a run cannot be stored, a deployment is not supported or a recording cannot be read.
    pub fn run(
        &self,
        store: &RunStore,
        program: &[u8],
        threads: usize,
        run_done: &(dyn Fn() + Sync),
    ) -> Result<ExperimentResult, ExperimentError> {
        let mut jobs: Vec<(Job<'_>, String)> = vec![];
        for day in &self.days {
            let checksum = day.recorded.as_ref().map(RecordedDay::checksum).transpose();
            let checksum = checksum.map_err(|error| SimulationError::Recording(error.into()))?;
            for job in Replays::jobs(&day.variants, &self.seeds, day.recorded.as_ref()) {
                let key = run_key(program, &job, checksum.as_ref());
                jobs.push((job, key));
            }
        }
        let mut outcomes: Vec<Option<Outcome>> = jobs.iter().map(|j| store.runs.get(&j.1).cloned()).collect();
        // The jobs to simulate, and the index of each among all jobs.
        let (mut missing, mut indices) = (vec![], vec![]);
        for (i, (job, _)) in jobs.iter().enumerate().filter(|(i, _)| outcomes[*i].is_none()) {
            missing.push(Job { ..*job });
            indices.push(i);
        }
        let write_error = Mutex::new(None);
        let done = run_all(&missing, threads, &|i, outcome| {
            if let Err(why) = store.append(&jobs[indices[i]].1, outcome) {
                write_error.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(why);
            }
            run_done();
        })?;
        if let Some(why) = write_error.into_inner().unwrap_or_else(PoisonError::into_inner) {
            return Err(io_error(&store.path)(why));
        }
        let count = done.len();
        indices.iter().zip(done).for_each(|(i, outcome)| outcomes[*i] = Some(outcome));
        let mut outcomes = outcomes.into_iter().flatten();
        let mut days = vec![];
        for day in &self.days {
            let names: Vec<&str> = day.variants.iter().map(|v| v.name.as_str()).collect();
            let runs = (names.len() + Replays::BASELINES) * self.seeds.len();
            days.push((day.name.clone(), Replays::of(&names, outcomes.by_ref().take(runs).collect())));
        }
        Ok(ExperimentResult { days, reused: jobs.len() - count, done: count })
    }

    /// Writes a report for each day into a folder with the day's name, and a summary of all days as `index.html` and
    /// `index.md`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub fn write(&self, folder: &Path, result: &ExperimentResult) -> Result<(), ExperimentError> {
        for (day, (name, replays)) in self.days.iter().zip(&result.days) {
            let to = folder.join(name);
            write_report(&to, &format!("{}: {name}", self.name), &day.about, replays)
                .map_err(io_error(&to))?;
        }
        let head = ["day", "variant", "service", "against the first", "even", "best", "rules"];
        let head = head.map(String::from).to_vec();
        let mut table = crate::report::Table { title: "Service by day".into(), head, rows: vec![] };
        for (name, replays) in &result.days {
            for (i, r) in replays.variants.iter().enumerate() {
                let against =
                    if i == 0 { String::new() } else { format_gain(&gain(&replays.variants[0], r)) };
                table.rows.push(vec![
                    name.clone(),
                    r.name.clone(),
                    format!("{:.4}", mean_service(r)),
                    against,
                    format!("{:.4}", mean_service(&replays.evenly)),
                    format!("{:.4}", mean_service(&replays.best)),
                    rules_text(r),
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
        page.write(folder, "index").map_err(io_error(folder))
    }
}

/// Returns a key over everything that the outcome of a run depends on.
fn run_key(program: &[u8], job: &Job<'_>, recorded: Option<&[u8; 32]>) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(program);
    // The Debug form of a day has all its fields, so days that differ have different keys. Renaming a type, variant or
    // field of a day or deployment (settings), or of `PlannedBy`, changes the keys: stored runs are then not reused.
    let day = format!("{:?} {} {:?}", job.day, job.seed, job.by);
    hasher.update(&(day.len() as u64).to_be_bytes()).update(day.as_bytes());
    hasher.update(recorded.map_or(&[][..], |r| &r[..]));
    hasher.finalize().to_hex()[..32].to_string()
}
