//! First calls of a recording.

use grebespool_model::FirstCall;
use grebespool_settings::Day;
use grebespool_trace::{Event, Flaw, Reader};
use std::io::Read;
use std::time::Duration;

/// What of a recording can be replayed, and what of it cannot be known.
#[derive(Debug, Clone, Default)]
pub struct Recorded {
    pub calls: Vec<FirstCall>,
    /// Left out: clients come again by what becomes of their calls.
    pub repeats: u64,
    /// Without a client's id: may be repeats, and are replayed as first calls.
    pub anonymous: u64,
    /// Of a route that the day does not state.
    pub unstated: u64,
    pub gaps: u64,
}

/// Reads a recording's first calls for a day. Work that was not recorded is that of the day's callers of the
/// route; proxies are dealt to the day's by their numbers.
///
/// # Errors
///
/// The recording's flaws.
pub fn recorded(mut reader: Reader<impl Read>, day: &Day) -> Result<Recorded, Flaw> {
    let mut found = Recorded::default();
    while let Some(timed) = reader.event()? {
        let call = match timed.event {
            Event::Call(call) => call,
            Event::Gap { .. } => {
                found.gaps += 1;
                continue;
            }
            _ => continue,
        };
        let Some(kind) = day.callers.iter().find(|c| c.route == usize::from(call.route)) else {
            found.unstated += 1;
            continue;
        };
        if call.repeat {
            found.repeats += 1;
            continue;
        }
        found.anonymous += u64::from(call.client.is_none());
        found.calls.push(FirstCall {
            due: Duration::from_micros(timed.at_us),
            route: call.route,
            key: call.key,
            work: call.work_us.map_or(kind.work.0, |us| Duration::from_micros(us.into())),
            proxy: call.proxy as usize % day.proxy_count(),
        });
    }
    Ok(found)
}
