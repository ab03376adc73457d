//! Files of accounts. A file is named by its period and revision; an existing file is never replaced.

use grebespool_singleton_tasks::{Account, FencingToken};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

// Names of marker files are stored: do not rename.
const HOLDER_PREFIX: &str = "owner-";

/// The content of an account's file.
// stored as JSON: do not rename keys
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct AccountFile {
    /// Number of the journal step that contains the account.
    pub step: u64,
    /// Token of the lease holder that wrote the file: term and number.
    pub token: (u64, u64),
    /// Time at which the file was written, by the wall clock, in milliseconds since 1970.
    pub written_ms: u64,
    pub account: Account,
}

/// The result of writing an account's file.
pub(super) enum WrittenAccount {
    New,
    /// The file existed; its content is the same, since the journal determines the account.
    Existing,
    /// A newer lease holder, with this token, has left its marker in the folder.
    Fenced(FencingToken),
}

/// Writes the file of an account, unless a newer lease holder has left its marker or the file exists.
pub(super) fn write_account(
    folder: &Path,
    token: FencingToken,
    step: u64,
    account: Account,
) -> io::Result<WrittenAccount> {
    fs::create_dir_all(folder)?;
    let newest = mark_holder(folder, token)?;
    if newest > token {
        return Ok(WrittenAccount::Fenced(newest));
    }
    // Accounts of earlier releases have names of this format: do not change.
    let path = folder.join(format!("{:012}-r{}.json", account.period, account.revision));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let written_ms = now.as_millis() as u64;
    let content = AccountFile { step, token: (token.term, token.number), written_ms, account };
    link_new_file(folder, &path, &content)
}

/// Writes a temporary file and links it to its name, unless a file of that name exists.
fn link_new_file(folder: &Path, path: &Path, content: &AccountFile) -> io::Result<WrittenAccount> {
    let mut temporary = tempfile::NamedTempFile::new_in(folder)?;
    serde_json::to_writer(&mut temporary, content)?;
    temporary.flush()?;
    temporary.as_file().sync_all()?;
    match temporary.persist_noclobber(path) {
        Ok(_) => File::open(folder)?.sync_all().map(|()| WrittenAccount::New),
        Err(error) if error.error.kind() == io::ErrorKind::AlreadyExists => Ok(WrittenAccount::Existing),
        Err(error) => Err(error.error),
    }
}

/// Writes a marker of this lease holder, removes the markers of older ones, and returns the newest holder's token.
fn mark_holder(folder: &Path, token: FencingToken) -> io::Result<FencingToken> {
    let mut newest = token;
    let mut older: Vec<PathBuf> = vec![];
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        match entry.file_name().to_str().and_then(parse_marker) {
            Some(seen) if seen < token => older.push(entry.path()),
            Some(seen) => newest = newest.max(seen),
            None => {}
        }
    }
    if newest == token {
        File::create(folder.join(marker_name(token)))?.sync_all()?;
        for path in older {
            // Another holder may remove the marker at the same time.
            let _ = fs::remove_file(path);
        }
    }
    Ok(newest)
}

fn marker_name(token: FencingToken) -> String {
    format!("{HOLDER_PREFIX}{:020}-{:020}", token.term, token.number)
}

fn parse_marker(name: &str) -> Option<FencingToken> {
    let (term, number) = name.strip_prefix(HOLDER_PREFIX)?.split_once('-')?;
    Some(FencingToken { term: term.parse().ok()?, number: number.parse().ok()? })
}
