//! Shared parts of `replay` and `experiment`: days with replaced values, recordings with matching days, and progress.

use crate::error::CommandError;
use crate::rehearse::BAD_DAY;
use grebespool_replay::{RecordedDay, Variant};
use grebespool_settings::{Day, Deployment};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::Path;

/// Reads the day of a file, or the built-in one, and replaces its deployment and values.
///
/// # Errors
///
/// Returns an error if the day, the settings or a value cannot be used.
pub(crate) fn read_day(
    file: Option<&Path>,
    settings: Option<&Path>,
    values: &[String],
) -> Result<Day, CommandError> {
    let day = match file {
        Some(file) => Day::read_with(file, settings, values),
        None => Day::parse_with(BAD_DAY, "the built-in bad day", settings, values),
    };
    Ok(day?)
}

/// Reads a recording for a day and adapts the variants: they get the length of the recording and lose the troubles of
/// kinds that it contains. The recorded deployment has to support the settings of each variant.
///
/// # Errors
///
/// Returns an error if the recording cannot be used or a variant is beyond the recorded deployment.
pub(crate) fn read_recording(
    file: &Path,
    salvage: bool,
    variants: &mut [Variant],
) -> Result<RecordedDay, CommandError> {
    let recorded = RecordedDay::read(file, salvage, &variants[0].day).map_err(CommandError::file(file))?;
    let recorded_deployment = match &recorded.stats.settings {
        Some(text) => Some(Deployment::parse(text, &format!("{}: the settings in it", file.display()))?),
        None => None,
    };
    for variant in variants {
        if let Some(deployment) = &recorded_deployment {
            variant.day.deployment.check_supported_by(deployment, &variant.name)?;
        }
        variant.day = recorded.stats.without_recorded_troubles(&variant.day);
    }
    Ok(recorded)
}

/// Returns the lines at the head of a report.
pub(crate) fn describe(day: &Day, seeds: u64, recorded: Option<&RecordedDay>) -> Vec<String> {
    let mut lines = vec![format!(
        "{}: {} servers, {} proxies, {} s, {} troubles, {seeds} seeds. Simulated: the real engine and module, \
         modelled servers.",
        day.name,
        day.server_count(),
        day.proxy_count(),
        day.length.0.as_secs_f64(),
        day.troubles.len(),
    )];
    lines.extend(recorded.map(|recorded| recorded.stats.lines()).unwrap_or_default());
    lines
}

/// Returns the number of simultaneous runs: the given one, or the number of cores.
pub(crate) fn thread_count(threads: Option<usize>) -> usize {
    threads.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from))
}

/// Returns a progress bar for `runs` runs, hidden if standard error is not a terminal.
pub(crate) fn progress_bar(runs: usize) -> ProgressBar {
    let is_shown = std::io::stderr().is_terminal();
    let bar = if is_shown { ProgressBar::new(runs as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs  {eta}") {
        bar.set_style(style);
    }
    bar
}
