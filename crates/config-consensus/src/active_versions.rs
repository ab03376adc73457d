//! The configuration versions that a member applies.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The versions that a member applies. Operators read the displayed form, in which a version is called an edition.
// on the wire, and JSON for operators: do not rename
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ActiveVersions {
    /// This version alone.
    #[serde(rename = "Alone")]
    Single(u64),
    /// The intersection of the committed and the pending version.
    #[serde(rename = "Both")]
    Joint(u64, u64),
    /// No version: the lease has expired. The caller keeps published weights and known drains, and raises or places nothing.
    Unleased,
}

impl fmt::Display for ActiveVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ActiveVersions::Single(number) => write!(f, "edition {number}"),
            ActiveVersions::Joint(committed, pending) => {
                write!(f, "editions {committed} and {pending}, the stricter of both")
            }
            ActiveVersions::Unleased => f.write_str("no edition: the lease ran out"),
        }
    }
}
