//! Hosts grebespool planners on the simulator's wire: batches on standard input, replies on standard output.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

use grebespool_wirehost::frame::BATCH_HEAD;
use grebespool_wirehost::hosted::Hosted;
use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("grebespool-wirehost: {what}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut hosted = Hosted::default();
    let mut frame = Vec::new();
    loop {
        frame.clear();
        let head = input.by_ref().take(4).read_to_end(&mut frame).map_err(|e| e.to_string())?;
        if head == 0 {
            return Ok(());
        }
        let Ok(length) = <[u8; 4]>::try_from(&frame[..]) else {
            return Err(format!("malformed batch: cut short after {head} bytes of its length"));
        };
        let length = u32::from_be_bytes(length) as usize;
        if length < BATCH_HEAD {
            return Err(format!("malformed batch: length {length} at byte 0 is less than its header"));
        }
        // `take` grows the buffer as bytes arrive, so a false length claims no memory.
        input.by_ref().take(length as u64 - 4).read_to_end(&mut frame).map_err(|e| e.to_string())?;
        if frame.len() < length {
            return Err(format!("malformed batch: cut short, {} of {length} bytes", frame.len()));
        }
        let reply = hosted.batch(&frame).map_err(|m| m.to_string())?;
        match output.write_all(&reply).and_then(|()| output.flush()) {
            Err(e) if e.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
            result => result.map_err(|e| e.to_string())?,
        }
    }
}
