//! Sweeps: variants of settings over days and seeds.

use crate::read::{SettingsError, field, read};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// A day of a sweep.
#[derive(Debug, Clone, Deserialize)]
pub struct SweepDay {
    /// Name of the day in reports.
    pub name: String,
    /// Day file; the built-in bad day if absent.
    pub file: Option<PathBuf>,
    /// Recording that replaces the day's requests, lists and joins.
    pub trace: Option<PathBuf>,
    /// Values that replace the day's for all variants, each `path=value`.
    pub set: Vec<String>,
}

/// A variant of a sweep.
#[derive(Debug, Clone, Deserialize)]
pub struct SweepVariant {
    /// Name of the variant in reports.
    pub name: String,
    /// Settings file whose deployment replaces the day's.
    pub settings: Option<PathBuf>,
    /// Values that replace the day's, each `path=value`.
    pub set: Vec<String>,
}

/// The contents of a sweep file.
#[derive(Debug, Clone, Deserialize)]
pub struct Sweep {
    /// Name of the sweep.
    pub name: String,
    /// The days.
    pub days: Vec<SweepDay>,
    /// The variants. The others are compared with the first.
    pub variants: Vec<SweepVariant>,
    /// Number of seeds.
    pub seeds: u64,
    /// The first seed.
    pub first_seed: u64,
}

impl Sweep {
    /// Reads a sweep file. Relative paths in it start at its folder.
    ///
    /// # Errors
    ///
    /// Returns an error with file, line and field if the file is invalid.
    pub fn read(path: &Path) -> Result<Sweep, SettingsError> {
        let mut sweep: Sweep = read(path, "Experiment")?;
        let days = sweep.days.iter().map(|d| &d.name);
        let variants = sweep.variants.iter().map(|v| &v.name);
        check_unique(path, "days", days)?;
        check_unique(path, "variants", variants)?;
        if let Some(folder) = path.parent() {
            let from = |p: &mut PathBuf| *p = folder.join(&*p);
            sweep.days.iter_mut().for_each(|d| d.file.iter_mut().chain(&mut d.trace).for_each(from));
            sweep.variants.iter_mut().for_each(|v| v.settings.iter_mut().for_each(from));
        }
        Ok(sweep)
    }
}

/// Fails if a name occurs twice in a list.
fn check_unique<'a>(
    path: &Path,
    list: &str,
    names: impl Iterator<Item = &'a String>,
) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name) {
            return Err(field(path, &format!("{list}[{i}].name"), format!("{name:?} is there twice")));
        }
    }
    Ok(())
}
