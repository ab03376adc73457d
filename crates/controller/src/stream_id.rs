//! The number of a stream.

/// One stream of a proxy, from its connection to its end; numbers are not used again.
pub type StreamId = u32;
