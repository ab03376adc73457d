//! Summaries, parts and merges of recordings.

use crate::event::{Event, Timed};
use crate::read::{End, ReadError, Reader};
use crate::write::Writer;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};

/// Counts of what a recording holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Summary {
    /// All events.
    pub events: u64,
    /// Requests, repeats included.
    pub calls: u64,
    /// Requests that are marked as repeats.
    pub repeats: u64,
    /// Requests without a client's id. These may be repeats that are not marked.
    pub without_client: u64,
    /// Requests that proxies reported only as counts.
    pub counted: u64,
    /// Requests by the index of their route, those reported as counts included.
    pub by_route: BTreeMap<u8, u64>,
    /// Distinct proxies.
    pub proxies: usize,
    /// Joins of proxies.
    pub joins: u64,
    /// Leaves of proxies.
    pub lefts: u64,
    /// Server lists, whole ones and changes.
    pub lists: u64,
    /// Distinct servers of the lists.
    pub servers: usize,
    /// Numbers of the planners whose recorders started.
    pub planners: BTreeSet<u64>,
    /// Gaps.
    pub gaps: u64,
    /// The longest time between two consecutive events, in microseconds. Nothing happened, or a clock was set forward.
    pub longest_silence_us: u64,
    /// Events with an earlier time than an event before them in the file.
    pub out_of_order: u64,
    /// Time of the earliest event, in microseconds.
    pub first_us: Option<u64>,
    /// Time of the latest event, in microseconds.
    pub last_us: Option<u64>,
    /// The way in which the recording ends.
    pub end: Option<End>,
}

/// Reads a whole recording and returns its summary.
///
/// # Errors
///
/// Returns an error if the recording cannot be read.
pub fn summary(mut reader: Reader<impl Read>) -> Result<Summary, ReadError> {
    let (mut s, mut proxies, mut servers) = (Summary::default(), BTreeSet::new(), BTreeSet::new());
    while let Some(Timed { at_us, event }) = reader.event()? {
        s.events += 1;
        s.longest_silence_us = s.longest_silence_us.max(at_us.saturating_sub(s.last_us.unwrap_or(at_us)));
        s.out_of_order += u64::from(s.last_us.is_some_and(|last| at_us < last));
        s.first_us = Some(s.first_us.map_or(at_us, |f| f.min(at_us)));
        s.last_us = Some(s.last_us.map_or(at_us, |l| l.max(at_us)));
        match event {
            Event::Call(call) => {
                s.calls += 1;
                s.repeats += u64::from(call.repeat);
                s.without_client += u64::from(call.client.is_none());
                *s.by_route.entry(call.route).or_default() += 1;
                proxies.insert(call.proxy);
            }
            Event::List { entries, .. } => {
                s.lists += 1;
                servers.extend(entries.into_iter().map(|e| (e.server, e.number)));
            }
            Event::Joined { proxy, .. } => {
                s.joins += 1;
                proxies.insert(proxy);
            }
            Event::Came { proxy, route, calls } => {
                s.counted += u64::from(calls);
                *s.by_route.entry(route).or_default() += u64::from(calls);
                proxies.insert(proxy);
            }
            Event::Left { .. } => s.lefts += 1,
            Event::Began { planner, .. } => drop(s.planners.insert(planner)),
            Event::Gap { .. } => s.gaps += 1,
            Event::PlannerLost { .. } => {}
        }
    }
    (s.proxies, s.servers, s.end) = (proxies.len(), servers.len(), reader.end());
    Ok(s)
}

/// Writes the events of the half-open interval from `from_us` to `to_us` as a recording that starts at `from_us`. The
/// state at `from_us` (the settings, the list, the joined proxies) comes first, so that the part can be replayed alone.
/// Returns the number of events written.
///
/// # Errors
///
/// Returns an error if the recording cannot be read or the part cannot be written.
pub fn cut<W: Write>(
    mut reader: Reader<impl Read>,
    to: W,
    (from_us, to_us): (u64, u64),
) -> Result<u64, ReadError> {
    let mut writer = Writer::new(to)?;
    let (mut began, mut lists, mut joined) = (vec![], Vec::<Event>::new(), BTreeMap::new());
    let (mut opened, mut count) = (false, 0);
    let mut put = |writer: &mut Writer<W>, at_us, event| {
        count += 1;
        writer.put(Timed { at_us, event })
    };
    while let Some(Timed { at_us, event }) = reader.event()? {
        if at_us >= to_us {
            continue;
        }
        if at_us >= from_us {
            if !opened {
                opened = true;
                let state = std::mem::take(&mut began).into_iter().chain(std::mem::take(&mut lists));
                for event in state.chain(std::mem::take(&mut joined).into_values()) {
                    put(&mut writer, 0, event)?;
                }
            }
            put(&mut writer, at_us - from_us, event)?;
            continue;
        }
        match event {
            Event::Began { .. } => began.push(event),
            Event::List { base, .. } => {
                if base == 0 {
                    lists.clear();
                }
                lists.push(event);
            }
            Event::Joined { proxy, .. } => drop(joined.insert(proxy, event)),
            Event::Left { proxy } => drop(joined.remove(&proxy)),
            _ => {}
        }
    }
    writer.finish()?;
    Ok(count)
}

/// Merges recordings of one day by time. Each recording comes with an offset in microseconds that is added to its times,
/// because the clocks of recorders differ. A request with the same time and the same fields in several recordings is
/// written once. Returns the numbers of events written and of duplicates dropped.
///
/// # Errors
///
/// Returns an error if a recording cannot be read or the merged one cannot be written.
pub fn merge<R: Read>(mut parts: Vec<(Reader<R>, i64)>, to: impl Write) -> Result<(u64, u64), ReadError> {
    let mut writer = Writer::new(to)?;
    let mut heads: Vec<Option<Timed>> = vec![];
    let next = |(reader, shift): &mut (Reader<R>, i64)| -> Result<Option<Timed>, ReadError> {
        Ok(reader.event()?.map(|t| Timed { at_us: t.at_us.saturating_add_signed(*shift), ..t }))
    };
    for part in &mut parts {
        heads.push(next(part)?);
    }
    let (mut count, mut duplicates) = (0, 0);
    // Time and requests of the current instant, to drop duplicates of other recorders.
    let mut instant: (u64, Vec<Event>) = (0, vec![]);
    loop {
        let at = |i: &usize| heads[*i].as_ref().map(|t| t.at_us);
        let Some(first) = (0..heads.len()).filter(|i| heads[*i].is_some()).min_by_key(|i| (at(i), *i)) else {
            break;
        };
        let Some(timed) = heads[first].take() else { break };
        heads[first] = next(&mut parts[first])?;
        if instant.0 != timed.at_us {
            instant = (timed.at_us, vec![]);
        }
        if matches!(timed.event, Event::Call(_)) {
            if instant.1.contains(&timed.event) {
                duplicates += 1;
                continue;
            }
            instant.1.push(timed.event.clone());
        }
        count += 1;
        writer.put(timed)?;
    }
    writer.finish()?;
    Ok((count, duplicates))
}
