//! The keys that members share, in a file that may change while members run.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;
use tracing::warn;

const MIN_KEY_BYTES: usize = 16;
const MAX_KEYS: usize = 3;
// Fed to the hash; the results are on the wire: do not change.
const KEY_CONTEXT: &str = "grebespool 2026 members' key";
const KEY_ID_MESSAGE: &[u8] = b"which key is meant";

/// Reasons why a key file cannot be used.
// tests of `grebespool-cli` match parts of some texts
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file contains no keys, or too many.
    #[error("the file has {0} keys; expected 1 to {MAX_KEYS}, one per line")]
    Count(usize),
    /// A key is too short; the value is its line number, from one.
    #[error("line {0}: a key has at least {MIN_KEY_BYTES} bytes")]
    TooShort(usize),
}

impl From<KeyFileError> for io::Error {
    fn from(error: KeyFileError) -> io::Error {
        match error {
            KeyFileError::Io(error) => error,
            other => io::Error::new(io::ErrorKind::InvalidData, other.to_string()),
        }
    }
}

/// One to three keys. This member connects with the first key, and accepts all of them. To rotate keys: add the new key as
/// the second line on all members, then make it the first line on all members, then remove the old key.
#[derive(Clone)]
pub struct Keys(Vec<[u8; 32]>);

impl Keys {
    /// Reads keys from a file, one per line.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, contains no keys or too many, or if a key is too short.
    pub fn read(path: &Path) -> Result<Keys, KeyFileError> {
        let text = std::fs::read(path)?;
        let lines = text.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
        let lines: Vec<&[u8]> = lines.filter(|line| !line.is_empty()).collect();
        if lines.is_empty() || lines.len() > MAX_KEYS {
            return Err(KeyFileError::Count(lines.len()));
        }
        if let Some(index) = lines.iter().position(|line| line.len() < MIN_KEY_BYTES) {
            return Err(KeyFileError::TooShort(index + 1));
        }
        Ok(Keys(lines.into_iter().map(|line| blake3::derive_key(KEY_CONTEXT, line)).collect()))
    }

    /// Returns the key with which this member opens connections.
    pub fn first(&self) -> &[u8; 32] {
        &self.0[0]
    }

    /// Returns the id of a key, which does not reveal the key.
    pub fn id_of(key: &[u8; 32]) -> [u8; 8] {
        let hash = blake3::keyed_hash(key, KEY_ID_MESSAGE);
        hash.as_bytes().first_chunk::<8>().copied().unwrap_or_default()
    }

    /// Returns the key with this id.
    pub fn by_id(&self, id: [u8; 8]) -> Option<&[u8; 32]> {
        self.0.iter().find(|key| Self::id_of(key) == id)
    }
}

/// A key file that is read again for each stream. If the file cannot be read, the last keys stay in use.
pub(crate) struct KeyFile {
    path: PathBuf,
    last: Keys,
}

impl KeyFile {
    /// Reads the file for the first time.
    pub(crate) fn open(path: &Path) -> Result<KeyFile, KeyFileError> {
        Ok(KeyFile { path: path.into(), last: Keys::read(path)? })
    }

    /// Reads the file again, and returns the current keys.
    pub(crate) fn reload(&mut self) -> Keys {
        match Keys::read(&self.path) {
            Ok(keys) => self.last = keys,
            Err(error) => {
                warn!(path = %self.path.display(), %error, "cannot read the key file; keeping the previous ones");
            }
        }
        self.last.clone()
    }
}
