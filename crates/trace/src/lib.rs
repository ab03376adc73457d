//! The format of recorded days (`docs/design/replay.md`): a versioned, compressed stream of checksummed blocks. The
//! writer and the reader each hold one block in memory at a time. A truncated recording is readable up to its last
//! whole block.
//!
//! [`Writer`] and [`Reader`] write and read a recording. [`cut`] and [`merge`] derive recordings from recordings, and
//! [`import`] converts logs into recordings.

mod anonymize;
mod block;
mod event;
mod import;
mod read;
mod recorder;
mod work;
mod write;

pub use anonymize::Anonymizer;
pub use block::{MAX_BLOCK_LEN, VERSION};
pub use event::{Call, Event, Listed, Phase, Timed};
pub use import::{Form, ImportError, Imported, Mapping, import};
pub use read::{End, ReadError, Reader};
pub use recorder::Recorder;
pub use work::{Summary, cut, merge, summary};
pub use write::Writer;
