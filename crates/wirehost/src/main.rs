//! Runs policies on the simulator's wire protocol: reads batches from standard input and writes replies to standard output.

use grebespool_wirehost::{BATCH_HEADER_BYTES, Instances, LENGTH_BYTES, WireError};
use std::io::{self, Read, Write};
use std::process::ExitCode;
use thiserror::Error;

/// The reason why the program ends before the end of its input.
#[derive(Debug, Error)]
enum ServeError {
    #[error("cannot read a batch or write a reply: {0}")]
    Io(#[from] io::Error),
    #[error("malformed batch: the input ends after {0} of {LENGTH_BYTES} bytes of the length")]
    LengthTruncated(usize),
    #[error(
        "malformed batch: length {0} at byte 0 is less than the {BATCH_HEADER_BYTES} bytes of the header"
    )]
    ShorterThanHeader(usize),
    #[error("malformed batch: the input ends after {read} of {length} bytes")]
    Truncated { read: usize, length: usize },
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

/// Answers batches until the input ends or the reader of the replies closes the pipe.
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

/// Reads a whole frame. Returns false at the end of the input.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, ServeError> {
    frame.clear();
    let read = input.take(LENGTH_BYTES as u64).read_to_end(frame)?;
    if read == 0 {
        return Ok(false);
    }
    let length = <[u8; LENGTH_BYTES]>::try_from(&frame[..]).map_err(|_| ServeError::LengthTruncated(read))?;
    let length = u32::from_be_bytes(length) as usize;
    if length < BATCH_HEADER_BYTES {
        return Err(ServeError::ShorterThanHeader(length));
    }
    // The buffer grows as bytes arrive, so a wrong length allocates no memory.
    input.take((length - LENGTH_BYTES) as u64).read_to_end(frame)?;
    if frame.len() < length {
        return Err(ServeError::Truncated { read: frame.len(), length });
    }
    Ok(true)
}
