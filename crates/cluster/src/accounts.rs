//! Accounts of periods as files, each made whole and once: a file's name is its period and revision, its content is fixed
//! by the journal before it is made, and it is linked to its name only where that is free. So an owner that wakes up late,
//! with its write already under way, makes what the next one makes, or nothing.

use crate::duties::{Accounting, Bench};
use crate::run::Shared;
use grebespool_singleton_tasks::{Account, FencingToken, Ledger, MAX_STEP_BYTES, StepRecord, TaskId};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// What stands in an account's file.
#[derive(Debug, Serialize, Deserialize)]
struct Page {
    step: u64,
    /// Of the owner that wrote the file.
    token: (u64, u64),
    written_ms: u64,
    account: Account,
}

/// What became of a step's effect.
enum Made {
    Now,
    Before,
    Late(FencingToken),
}

const OWNER: &str = "owner-";

fn marker(token: FencingToken) -> String {
    format!("{OWNER}{:020}-{:020}", token.term, token.number)
}

fn marked(name: &str) -> Option<FencingToken> {
    let (epoch, number) = name.strip_prefix(OWNER)?.split_once('-')?;
    Some(FencingToken { term: epoch.parse().ok()?, number: number.parse().ok()? })
}

/// The newest owner that has been here; this one's mark takes the place of older ones'.
fn fence(folder: &Path, token: FencingToken) -> io::Result<FencingToken> {
    let mut newest = token;
    let mut older = vec![];
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        match entry.file_name().to_str().and_then(marked) {
            Some(seen) if seen < token => older.push(entry.path()),
            Some(seen) => newest = newest.max(seen),
            None => {}
        }
    }
    if newest == token {
        File::create(folder.join(marker(token)))?.sync_all()?;
        // Another may take them away at the same moment.
        older.iter().for_each(|path| drop(fs::remove_file(path)));
    }
    Ok(newest)
}

fn make(folder: &Path, token: FencingToken, step: u64, account: &Account) -> io::Result<Made> {
    fs::create_dir_all(folder)?;
    let newest = fence(folder, token)?;
    if newest > token {
        return Ok(Made::Late(newest));
    }
    let name = format!("{:012}-r{}.json", account.period, account.revision);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let written_ms = now.as_millis() as u64;
    let page = Page { step, token: (token.term, token.number), written_ms, account: account.clone() };
    let mut temporary = tempfile::NamedTempFile::new_in(folder)?;
    serde_json::to_writer(&mut temporary, &page)?;
    temporary.flush()?;
    temporary.as_file().sync_all()?;
    // Never over one that is there: whoever made it made this.
    match temporary.persist_noclobber(folder.join(name)) {
        Ok(_) => File::open(folder)?.sync_all().map(|()| Made::Now),
        Err(e) if e.error.kind() == io::ErrorKind::AlreadyExists => Ok(Made::Before),
        Err(e) => Err(e.error),
    }
}

fn ledger_of(record: &StepRecord) -> Option<Ledger> {
    postcard::from_bytes(&record.content).ok()
}

/// Closes periods while this member owns the duty.
pub(crate) async fn accounts(shared: Rc<Shared>, a: Accounting, duty: TaskId) {
    let Some(bench) = &shared.work else { return };
    let pause = (a.period / 8).clamp(Duration::from_millis(10), Duration::from_secs(1));
    let mut asked: Option<(FencingToken, u64, Instant)> = None;
    let mut said = false;
    loop {
        tokio::select! {
            () = bench.moved.notified() => {}
            () = sleep(pause) => {}
        }
        let Some((token, last)) = bench.go_on(duty) else { continue };
        if bench.may(shared.began.elapsed(), duty) != Some(token) {
            continue;
        }
        if let Some(begun) = last.as_ref().filter(|l| !l.completed) {
            let Some(account) = ledger_of(begun).and_then(|l| l.account) else {
                warn!("a step of the accounts cannot be read; it is left as it is");
                sleep(a.slack).await;
                continue;
            };
            let (folder, step) = (a.folder.clone(), begun.step);
            let made = tokio::task::spawn_blocking(move || make(&folder, token, step, &account)).await;
            match made.unwrap_or_else(|e| Err(io::Error::other(e))) {
                Ok(Made::Late(seen)) => {
                    warn!(%token, %seen, "a newer owner has written accounts: this member stops");
                    shared.duty(|d, now| d.fenced(now, duty, token, seen));
                }
                Ok(made) => {
                    if matches!(made, Made::Before) {
                        info!(step, "an account was there already");
                    }
                    said = false;
                    shared.duty(|d, now| Bench::write(d, duty, |d| d.complete_step(now, duty)));
                }
                Err(error) => {
                    if !std::mem::replace(&mut said, true) {
                        warn!(folder = %a.folder.display(), %error, "an account cannot be written; tried again");
                    }
                    sleep(Duration::from_millis(200)).await;
                }
            }
            continue;
        }
        let over = bench.period(a.slack).unwrap_or(0);
        let ledger = match &last {
            Some(record) => ledger_of(record),
            // The first account of a fleet is of the last period that is over.
            None => Some(Ledger::starting_at(over.saturating_sub(1))),
        };
        let Some(ledger) = ledger.filter(|l| l.next < over) else { continue };
        let seats: Vec<u64> = shared.member.borrow().hard_state().membership.voters.keys().copied().collect();
        let at = match asked.filter(|a| (a.0, a.1) == (token, ledger.next)) {
            Some((.., at)) => at,
            None => {
                // Only what is told after the period's end counts as whole.
                bench.told.borrow_mut().clear();
                asked = Some((token, ledger.next, Instant::now()));
                shared.duty(|d, now| d.request_counts(now, &ledger));
                continue;
            }
        };
        let all = seats.iter().all(|id| bench.told.borrow().contains_key(id));
        if !all && at.elapsed() < a.slack {
            continue;
        }
        let step = ledger.next_step(over, &seats, &bench.told.borrow());
        let Some(content) = step.and_then(|l| postcard::to_stdvec(&l).ok()) else { continue };
        if content.len() > MAX_STEP_BYTES {
            let bytes = content.len();
            warn!(
                bytes,
                most = MAX_STEP_BYTES,
                "an account has too many zones and routes to be written; it stays open"
            );
            sleep(a.slack).await;
            continue;
        }
        shared.duty(|d, now| Bench::write(d, duty, |d| d.begin_step(now, duty, content)));
    }
}

/// What the files of a folder of accounts say of how they were made.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Audit {
    pub steps: usize,
    /// Steps, or a period's revisions, that are there more than once.
    pub twice: usize,
    /// Written by an owner after a newer one had.
    pub former: usize,
    /// Steps, periods or revisions that are missing between others.
    pub left_out: usize,
    /// Between two that follow each other, at the longest.
    pub longest: Duration,
    /// Calls by the newest revision of each period.
    pub calls: u64,
}

/// Looks through a folder of accounts.
///
/// # Errors
///
/// The folder's, and a file that is no account.
pub fn audit(folder: &Path) -> io::Result<Audit> {
    let mut pages: Vec<Page> = vec![];
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "json") {
            pages.push(serde_json::from_slice(&fs::read(&path)?)?);
        }
    }
    pages.sort_by_key(|p| p.step);
    let mut found = Audit { steps: pages.len(), ..Audit::default() };
    for pair in pages.windows(2) {
        let (a, b) = (&pair[0], &pair[1]);
        found.twice += usize::from(a.step == b.step);
        found.left_out += (b.step - a.step).saturating_sub(1) as usize;
        found.former += usize::from(b.token < a.token);
        found.longest = found.longest.max(Duration::from_millis(b.written_ms.saturating_sub(a.written_ms)));
    }
    found.left_out += pages.first().map_or(0, |p| p.step.saturating_sub(1) as usize);
    pages.sort_by_key(|p| (p.account.period, p.account.revision));
    for pair in pages.windows(2) {
        let (a, b) = (&pair[0].account, &pair[1].account);
        let follows = (b.period == a.period + 1 && b.revision == 0)
            || (b.period == a.period && b.revision == a.revision + 1);
        found.twice += usize::from((a.period, a.revision) == (b.period, b.revision));
        found.left_out += usize::from(!follows);
    }
    for (i, page) in pages.iter().enumerate() {
        if pages.get(i + 1).is_none_or(|next| next.account.period != page.account.period) {
            found.calls += page.account.rows.iter().map(|r| r.1.requests).sum::<u64>();
        }
    }
    Ok(found)
}
