//! A sweep: settings over days over seeds.

use crate::read::{Bad, field, read};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

#[derive(Debug, Clone, Deserialize)]
pub struct SweepDay {
    pub name: String,
    pub file: Option<PathBuf>,
    pub trace: Option<PathBuf>,
    pub set: Vec<String>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct SweepVariant {
    pub name: String,
    pub settings: Option<PathBuf>,
    pub set: Vec<String>,
}

/// What is run, and how often. Paths are as the file has them, from its folder on.
#[derive(Debug, Clone, Deserialize)]
pub struct Sweep {
    pub name: String,
    pub days: Vec<SweepDay>,
    pub variants: Vec<SweepVariant>,
    pub seeds: u64,
    pub first_seed: u64,
}

impl Sweep {
    /// # Errors
    ///
    /// What is wrong, by file, line and field.
    pub fn read(path: &Path) -> Result<Sweep, Bad> {
        let mut sweep: Sweep = read(path, "Experiment")?;
        let days = sweep.days.iter().map(|d| &d.name);
        let variants = sweep.variants.iter().map(|v| &v.name);
        unlike(path, "days", days)?;
        unlike(path, "variants", variants)?;
        if let Some(folder) = path.parent() {
            let from = |p: &mut PathBuf| *p = folder.join(&*p);
            sweep.days.iter_mut().for_each(|d| d.file.iter_mut().chain(&mut d.trace).for_each(from));
            sweep.variants.iter_mut().for_each(|v| v.settings.iter_mut().for_each(from));
        }
        Ok(sweep)
    }
}

fn unlike<'a>(path: &Path, list: &str, names: impl Iterator<Item = &'a String>) -> Result<(), Bad> {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name) {
            return Err(field(path, &format!("{list}[{i}].name"), format!("{name:?} is there twice")));
        }
    }
    Ok(())
}
