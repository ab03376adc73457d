//! Recordings made of recordings, and what one holds.

use crate::event::{Event, Timed};
use crate::read::{End, Flaw, Reader};
use crate::write::Writer;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};

/// What a recording holds, in figures.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Summary {
    pub events: u64,
    pub calls: u64,
    pub repeats: u64,
    /// Calls without a client's id: whether they are repeats can't be known.
    pub anonymous: u64,
    /// Calls that a planner was told of as counts.
    pub counted: u64,
    pub by_route: BTreeMap<u8, u64>,
    pub proxies: usize,
    pub joins: u64,
    pub lefts: u64,
    pub lists: u64,
    /// Servers that calls or lists name.
    pub servers: usize,
    pub planners: BTreeSet<u64>,
    pub gaps: u64,
    /// The longest time between two events that follow each other: quiet, or a clock set forward.
    pub longest_silence_us: u64,
    /// Events that lie before one that came earlier in the file.
    pub out_of_order: u64,
    pub first_us: Option<u64>,
    pub last_us: Option<u64>,
    pub end: Option<End>,
}

/// # Errors
///
/// The recording's flaws.
pub fn summary(mut reader: Reader<impl Read>) -> Result<Summary, Flaw> {
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
                s.anonymous += u64::from(call.client.is_none());
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

/// Writes what lies from `from_us` to before `to_us`, times counted from `from_us` on. What was in force before
/// (the list, who was joined, the settings) comes first, so that the part can be replayed alone.
///
/// # Errors
///
/// The recording's flaws, and the new file's.
pub fn cut<W: Write>(
    mut reader: Reader<impl Read>,
    to: W,
    (from_us, to_us): (u64, u64),
) -> Result<u64, Flaw> {
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
                let standing = std::mem::take(&mut began).into_iter().chain(std::mem::take(&mut lists));
                for event in standing.chain(std::mem::take(&mut joined).into_values()) {
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

/// Merges recordings of one day by time. Each one's `shift_us` is added to its times: recorders' clocks differ.
/// Calls that two of them have (same time, route, key, client and proxy) come once.
///
/// # Errors
///
/// Any recording's flaws, and the new file's.
pub fn merge<R: Read>(mut parts: Vec<(Reader<R>, i64)>, to: impl Write) -> Result<(u64, u64), Flaw> {
    let mut writer = Writer::new(to)?;
    let mut heads: Vec<Option<Timed>> = vec![];
    let next = |(reader, shift): &mut (Reader<R>, i64)| -> Result<Option<Timed>, Flaw> {
        Ok(reader.event()?.map(|t| Timed { at_us: t.at_us.saturating_add_signed(*shift), ..t }))
    };
    for part in &mut parts {
        heads.push(next(part)?);
    }
    let (mut count, mut doubled) = (0, 0);
    // Calls at the last instant, against those that come again from another recorder.
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
                doubled += 1;
                continue;
            }
            instant.1.push(timed.event.clone());
        }
        count += 1;
        writer.put(timed)?;
    }
    writer.finish()?;
    Ok((count, doubled))
}
