//! Frames: splits a batch into records, and builds a reply from records. All numbers are big-endian. The sizes and offsets
//! are part of the wire format and must not change.

use crate::codes::command;
use crate::error::{FrameError, RecordError};

/// The size of the length field at the start of a frame, in bytes. The length of a frame includes this field.
pub const LENGTH_BYTES: usize = 4;
/// The size of the header of a batch (length, clock and number of records), in bytes.
pub const BATCH_HEADER_BYTES: usize = 16;
/// The size of an entry of an endpoint list, in bytes.
pub(crate) const ENDPOINT_BYTES: usize = 24;

const EVENT_BYTES: usize = 56;
const COMMAND_BYTES: usize = 16;
const REPLY_HEADER_BYTES: u32 = 8;
const CLOCK_OFFSET: usize = 4;
const RECORD_COUNT_OFFSET: usize = 12;
/// The largest number of metrics in a record.
pub(crate) const MAX_METRICS: usize = 4;

/// The address of a server: an IPv4 address and a port.
pub(crate) type Address = [u8; 6];

/// Reads the fields of a record by their offsets. The creator must have checked the record's length.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(pub(crate) &'a [u8]);

impl Fields<'_> {
    fn take<const N: usize>(&self, offset: usize) -> [u8; N] {
        std::array::from_fn(|i| self.0[offset + i])
    }

    pub(crate) fn u8(&self, offset: usize) -> u8 {
        self.0[offset]
    }

    pub(crate) fn u16(&self, offset: usize) -> u16 {
        u16::from_be_bytes(self.take(offset))
    }

    pub(crate) fn u32(&self, offset: usize) -> u32 {
        u32::from_be_bytes(self.take(offset))
    }

    pub(crate) fn u64(&self, offset: usize) -> u64 {
        u64::from_be_bytes(self.take(offset))
    }

    pub(crate) fn f32(&self, offset: usize) -> f32 {
        f32::from_be_bytes(self.take(offset))
    }

    pub(crate) fn f64(&self, offset: usize) -> f64 {
        f64::from_be_bytes(self.take(offset))
    }

    pub(crate) fn address(&self, offset: usize) -> Address {
        self.take(offset)
    }

    /// Reads the metrics of a record: one byte with their number, followed by the values.
    pub(crate) fn metrics(&self, offset: usize) -> Result<Vec<f32>, RecordError> {
        let count = usize::from(self.u8(offset));
        if count > MAX_METRICS {
            return Err(RecordError::TooManyMetrics(count));
        }
        Ok((0..count).map(|i| self.f32(offset + 1 + size_of::<f32>() * i)).collect())
    }
}

/// A batch of events, and the tail of bytes to which the events refer.
pub(crate) struct Batch<'a> {
    /// The simulator's time, in milliseconds.
    pub(crate) clock_ms: f64,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Splits a frame of at least [`BATCH_HEADER_BYTES`] bytes into records and tail.
    pub(crate) fn parse(frame: &'a [u8]) -> Result<Self, FrameError> {
        let header = Fields(frame);
        let clock_ms = header.f64(CLOCK_OFFSET);
        if !clock_ms.is_finite() {
            return Err(FrameError::InvalidClock);
        }
        let body = &frame[BATCH_HEADER_BYTES..];
        let records = header.u32(RECORD_COUNT_OFFSET) as usize;
        let record_bytes = records.saturating_mul(EVENT_BYTES);
        let parts = body.split_at_checked(record_bytes);
        let (records, tail) =
            parts.ok_or(FrameError::TooManyRecords { records, frame_bytes: frame.len() })?;
        Ok(Batch { clock_ms, records, tail })
    }

    /// Returns the records, in their order.
    pub(crate) fn events(&self) -> impl Iterator<Item = Fields<'a>> + use<'a> {
        self.records.chunks_exact(EVENT_BYTES).map(Fields)
    }

    /// Returns the part of the tail to which a record refers by an offset in bytes and a length in items of `item_bytes`.
    /// The two fields have 4 bytes each and start at `field`.
    pub(crate) fn tail(
        &self,
        record: Fields,
        field: usize,
        item_bytes: usize,
    ) -> Result<&'a [u8], RecordError> {
        let offset = record.u32(field) as usize;
        let length = record.u32(field + size_of::<u32>()) as usize;
        let end = length.checked_mul(item_bytes).and_then(|bytes| bytes.checked_add(offset));
        let part = end.and_then(|end| self.tail.get(offset..end));
        part.ok_or(RecordError::OutsideTail { offset, length })
    }
}

/// A command of one instance, as a record of the reply.
struct Command {
    instance: u32,
    record: [u8; COMMAND_BYTES],
}

/// The commands of a reply, in the order in which they were sent.
#[derive(Default)]
pub(crate) struct Reply {
    commands: Vec<Command>,
}

impl Reply {
    /// Appends a command of an instance.
    pub(crate) fn append(&mut self, instance: u32, code: u16, fields: &[&[u8]]) {
        self.commands.push(Command { instance, record: command_record(code, fields) });
    }

    /// Removes the commands of an instance that has ended. The simulator would carry them out for the instance that has this
    /// number after the batch.
    pub(crate) fn discard(&mut self, instance: u32) {
        self.commands.retain(|command| command.instance != instance);
    }

    /// Returns the frame of the reply and clears the reply. A record that names the instance precedes a command only if the
    /// instance differs from that of the previous command.
    pub(crate) fn take_frame(&mut self) -> Vec<u8> {
        let commands = std::mem::take(&mut self.commands);
        let mut records = Vec::with_capacity(commands.len() * COMMAND_BYTES);
        for run in commands.chunk_by(|command, next| command.instance == next.instance) {
            let instance = run[0].instance.to_be_bytes();
            records.extend(command_record(command::INSTANCE, &[&instance]));
            records.extend(run.iter().flat_map(|command| command.record));
        }
        let count = (records.len() / COMMAND_BYTES) as u32;
        let length = records.len() as u32 + REPLY_HEADER_BYTES;
        let mut frame = [count.to_be_bytes(), length.to_be_bytes()].concat();
        frame.append(&mut records);
        frame
    }
}

/// Returns a record of the reply: the code and the fields, padded with zeros.
fn command_record(code: u16, fields: &[&[u8]]) -> [u8; COMMAND_BYTES] {
    let mut record = [0; COMMAND_BYTES];
    let mut end = 0;
    for field in [&code.to_be_bytes()[..]].iter().chain(fields) {
        record[end..end + field.len()].copy_from_slice(field);
        end += field.len();
    }
    record
}
