//! An audit of a folder of accounts.

use super::files::AccountFile;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// The result of an audit of a folder of accounts, for checks that each account was written once and in order.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AccountAudit {
    /// Number of files.
    pub steps: usize,
    /// Number of steps, or of a period's revisions, that occur more than once.
    pub duplicates: usize,
    /// Number of files that a lease holder wrote after a newer one had written.
    pub by_stale_holders: usize,
    /// Number of steps, periods or revisions that are missing between others.
    pub missing: usize,
    /// Longest time between two consecutive files.
    pub longest_gap: Duration,
    /// Number of requests, by the newest revision of each period.
    pub requests: u64,
}

/// Audits a folder of accounts.
///
/// # Errors
///
/// Returns an error if the folder cannot be read or a file does not contain an account.
pub fn audit_accounts(folder: &Path) -> io::Result<AccountAudit> {
    let mut files = read_files(folder)?;
    let mut audit = AccountAudit { steps: files.len(), ..AccountAudit::default() };
    files.sort_by_key(|file| file.step);
    audit_steps(&files, &mut audit);
    files.sort_by_key(|file| (file.account.period, file.account.revision));
    audit_periods(&files, &mut audit);
    Ok(audit)
}

fn read_files(folder: &Path) -> io::Result<Vec<AccountFile>> {
    let mut files = vec![];
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            files.push(serde_json::from_slice(&fs::read(&path)?)?);
        }
    }
    Ok(files)
}

fn audit_steps(files: &[AccountFile], audit: &mut AccountAudit) {
    audit.missing += files.first().map_or(0, |file| file.step.saturating_sub(1) as usize);
    for pair in files.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        audit.duplicates += usize::from(before.step == after.step);
        audit.missing += (after.step - before.step).saturating_sub(1) as usize;
        audit.by_stale_holders += usize::from(after.token < before.token);
        let gap = Duration::from_millis(after.written_ms.saturating_sub(before.written_ms));
        audit.longest_gap = audit.longest_gap.max(gap);
    }
}

fn audit_periods(files: &[AccountFile], audit: &mut AccountAudit) {
    for pair in files.windows(2) {
        let (before, after) = (&pair[0].account, &pair[1].account);
        let next_period = after.period == before.period + 1 && after.revision == 0;
        let next_revision = after.period == before.period && after.revision == before.revision + 1;
        let same = (before.period, before.revision) == (after.period, after.revision);
        audit.duplicates += usize::from(same);
        audit.missing += usize::from(!next_period && !next_revision);
    }
    for (index, file) in files.iter().enumerate() {
        let next = files.get(index + 1);
        if next.is_none_or(|next| next.account.period != file.account.period) {
            audit.requests += file.account.rows.iter().map(|(_, counts)| counts.requests).sum::<u64>();
        }
    }
}
