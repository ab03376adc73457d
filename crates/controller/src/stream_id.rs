//! The id of a stream.

/// The id of one stream of a proxy, from its connection to its end. Ids are never reused within a run of a controller.
pub type StreamId = u32;
