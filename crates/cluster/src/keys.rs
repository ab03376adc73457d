//! The keys that members share, in a file that may change while they run.

use std::io;
use std::path::{Path, PathBuf};

/// Up to three keys, a line each: the first seals, all are accepted. To rotate: add the new one as the second line
/// everywhere, then make it the first everywhere, then take the old one out.
#[derive(Clone)]
pub struct Keys(Vec<[u8; 32]>);

impl Keys {
    const LEAST: usize = 16;
    const MOST: usize = 3;

    /// # Errors
    ///
    /// The file's; `InvalidData` where it holds no keys, too many, or one that is too short.
    pub fn read(path: &Path) -> io::Result<Keys> {
        let text = std::fs::read(path)?;
        let lines: Vec<&[u8]> =
            text.split(|b| *b == b'\n').map(<[u8]>::trim_ascii).filter(|l| !l.is_empty()).collect();
        let bad = |why: String| Err(io::Error::new(io::ErrorKind::InvalidData, why));
        if lines.is_empty() || lines.len() > Self::MOST {
            return bad(format!("{} keys; 1 to {} are expected, a line each", lines.len(), Self::MOST));
        }
        if let Some(short) = lines.iter().position(|l| l.len() < Self::LEAST) {
            return bad(format!("line {}: a key has at least {} bytes", short + 1, Self::LEAST));
        }
        Ok(Keys(lines.iter().map(|l| blake3::derive_key("grebespool 2026 members' key", l)).collect()))
    }

    pub fn first(&self) -> &[u8; 32] {
        &self.0[0]
    }

    /// Which key is meant, without telling anything of it.
    pub fn hint(key: &[u8; 32]) -> [u8; 8] {
        let hash = blake3::keyed_hash(key, b"which key is meant");
        hash.as_bytes().first_chunk::<8>().copied().unwrap_or_default()
    }

    pub fn by_hint(&self, hint: [u8; 8]) -> Option<&[u8; 32]> {
        self.0.iter().find(|k| Self::hint(k) == hint)
    }
}

/// The file, read anew for each stream: what was changed in it counts from the next one on. One that cannot be read
/// leaves the last keys in force.
pub(crate) struct KeyFile {
    path: PathBuf,
    last: Keys,
}

impl KeyFile {
    pub fn open(path: &Path) -> io::Result<KeyFile> {
        Ok(KeyFile { path: path.into(), last: Keys::read(path)? })
    }

    pub fn keys(&mut self) -> Keys {
        match Keys::read(&self.path) {
            Ok(keys) => self.last = keys,
            Err(error) => tracing::warn!(path = %self.path.display(), %error, "the last keys stay in force"),
        }
        self.last.clone()
    }
}
