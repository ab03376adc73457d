//! Hosts policies on the simulator's wire: batches on standard input, replies on standard output.

use grebespool_wirehost::{BATCH_HEADER_BYTES, Instances, LENGTH_BYTES, WireError};
use std::io::{self, Read, Write};
use std::process::ExitCode;
use thiserror::Error;

/// Why the program ends before its input does.
#[derive(Debug, Error)]
enum ServeError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("malformed batch: cut short after {0} bytes of its length")]
    LengthCutShort(usize),
    #[error("malformed batch: length {0} at byte 0 is less than its header")]
    ShorterThanHeader(usize),
    #[error("malformed batch: cut short, {read} of {length} bytes")]
    CutShort { read: usize, length: usize },
    #[error("{0}")]
    Wire(#[from] WireError),
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("grebespool-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends or nobody reads the replies.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), ServeError> {
    let mut instances = Instances::default();
    let mut frame = Vec::new();
    while read_frame(&mut input, &mut frame)? {
        let reply = instances.apply_batch(&frame)?;
        match output.write_all(&reply).and_then(|()| output.flush()) {
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
            result => result?,
        }
    }
    Ok(())
}

/// Reads a whole frame; `false` at the end of the input.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, ServeError> {
    frame.clear();
    let read = input.take(LENGTH_BYTES as u64).read_to_end(frame)?;
    if read == 0 {
        return Ok(false);
    }
    let length = <[u8; LENGTH_BYTES]>::try_from(&frame[..]).map_err(|_| ServeError::LengthCutShort(read))?;
    let length = u32::from_be_bytes(length) as usize;
    if length < BATCH_HEADER_BYTES {
        return Err(ServeError::ShorterThanHeader(length));
    }
    // `take` grows the buffer as bytes arrive, so a false length claims no memory.
    input.take((length - LENGTH_BYTES) as u64).read_to_end(frame)?;
    if frame.len() < length {
        return Err(ServeError::CutShort { read: frame.len(), length });
    }
    Ok(true)
}
