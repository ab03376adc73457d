//! The messages, and how each stands in a frame.

use crate::bytes::{Fields, Malformed, Pen};
use crate::proof::Proof;
use std::net::SocketAddr;

/// A server: where it listens, and the number that the list gave it. Another server that comes to listen at
/// the same address has another number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId {
    pub addr: SocketAddr,
    pub number: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Proxy,
    Watcher,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Gone,
    Ready,
    Draining,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub server: ServerId,
    pub zone: String,
    pub phase: Phase,
    /// Milliseconds since the Unix epoch by the list's clock; 0 if long past.
    pub started_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tries {
    One,
    AfterProof,
    AfterFailure,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Level {
    /// The sum of 2^k over the positions k of the routes; 0 for all.
    pub routes: u16,
    /// The share of calls let in, 0 to 1.
    pub share: f32,
    pub tries: Tries,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// A whole table for some routes; the proxy follows its changes until it leaves.
    Bind {
        table: u16,
        version: u64,
        routes: u16,
        lines: Vec<(ServerId, f32)>,
        levels: Vec<Level>,
    },
    /// A weight of 0 removes the line.
    Line {
        table: u16,
        version: u64,
        server: ServerId,
        weight: f32,
    },
    Level(Level),
    /// Out of all the proxy's tables, or back in.
    Withdraw {
        server: ServerId,
        out: bool,
    },
    /// To be answered once all orders up to here are in force.
    Mark(u16),
}

/// Why a message was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    Join,
    List,
    Interval,
}

/// What one turn of the planner orders one proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct Orders {
    /// The leader's epoch where several controllers serve one fleet; 0 where planners share nothing.
    pub epoch: u64,
    /// The planner's start, so that orders from before a restart are known.
    pub start: u64,
    /// The stream's number, so that orders from before a break are known.
    pub stream: u32,
    /// Rises by one with each message of a stream, from 1.
    pub seq: u64,
    /// Microseconds since the planner's start at which the oldest order in here was given.
    pub ordered_us: u64,
    /// The version of the server list that the planner knew.
    pub list: u64,
    pub cause: Cause,
    pub parts: Vec<Order>,
}

/// A server's figures. `start` and `number` tell older reports from newer ones.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    pub start: u64,
    pub number: u32,
    pub figures: Vec<f32>,
}

/// What a proxy met at one server since its last sums.
#[derive(Debug, Clone, PartialEq)]
pub struct MetLine {
    pub server: ServerId,
    pub tries: u32,
    pub dropped: u32,
    /// Mean time of the answered ones in microseconds; 0 if none was.
    pub wait_us: u32,
    pub report: Option<Report>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CameLine {
    pub route: u8,
    pub calls: u32,
}

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    /// Turned away before it ran.
    Throttled,
    /// An error, after it may have run.
    Failed,
    /// Dropped as a repeat of one that was answered.
    Repeat,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeState {
    Ready,
    Draining,
    Busy,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The sender stops.
    Stopping,
    Malformed,
    Version,
    Refused,
    /// The same name has joined on a newer stream.
    Superseded,
    /// Bytes were not taken in time.
    Slow,
    /// Nothing was heard for too long.
    Silent,
    /// Too many joins; come again later.
    Busy,
    /// A message that does not belong here.
    State,
    /// Another controller leads the fleet; the text is where it is, if that is known.
    Elsewhere,
    /// The proxy holds orders of a newer epoch than this controller's.
    PassedOver,
}

/// One call, as a caller or a proxy sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// The caller's number for it, the same at all attempts.
    pub id: u64,
    /// The caller's attempt, from 0.
    pub attempt: u8,
    /// The proxy's try of that attempt, from 0.
    pub tried: u8,
    pub route: u8,
    pub key: u64,
    /// The work that it takes, in microseconds of a core of speed 1.
    pub work_us: u32,
    pub time_limit_us: u32,
    /// The proxy that sends it; 0 from a caller.
    pub proxy: u16,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub id: u64,
    pub attempt: u8,
    pub tried: u8,
    pub outcome: Outcome,
    pub report: Option<Report>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Join {
    pub zone: String,
    /// Calls a second that the proxy usually gets; rough.
    pub rate: f32,
    /// It holds only what it started with.
    pub bare: bool,
    /// Start and number of the last orders in force; 0 for none.
    pub held_start: u64,
    pub held_seq: u64,
    /// The newest epoch whose orders it has seen.
    pub epoch: u64,
    pub proof: Proof,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    Hello {
        version: u16,
        role: Role,
        name: String,
        nonce: [u8; 16],
    },
    Challenge {
        version: u16,
        start: u64,
        nonce: [u8; 16],
    },
    Join(Join),
    Welcome {
        stream: u32,
        /// That of all orders on this stream.
        epoch: u64,
        proof: Proof,
    },
    Orders(Orders),
    /// All orders of the stream up to `seq` are in force; sent for each message of orders, with its mark.
    Applied {
        start: u64,
        stream: u32,
        seq: u64,
        mark: Option<u16>,
    },
    Sums {
        met: Vec<MetLine>,
        came: Vec<CameLine>,
    },
    Bye {
        reason: Reason,
        text: String,
    },
    AskList {
        have: u64,
        watch: bool,
    },
    /// `base`: the version that the entries change; 0 where they are the whole list. `now_ms` is the time
    /// by the list's clock, in milliseconds since the Unix epoch.
    List {
        version: u64,
        base: u64,
        now_ms: u64,
        entries: Vec<Entry>,
    },
    ListFailed {
        text: String,
    },
    Probe {
        number: u32,
    },
    Probed {
        number: u32,
        state: ProbeState,
        report: Option<Report>,
    },
    Call(Call),
    Answer(Answer),
    /// The controller that leads is there. No order, and not to be confirmed.
    Alive,
}

const PHASES: [Phase; 3] = [Phase::Gone, Phase::Ready, Phase::Draining];
const TRIES: [Tries; 3] = [Tries::One, Tries::AfterProof, Tries::AfterFailure];
const ROLES: [Role; 2] = [Role::Proxy, Role::Watcher];
const CAUSES: [Cause; 3] = [Cause::Join, Cause::List, Cause::Interval];
const OUTCOMES: [Outcome; 4] = [Outcome::Answered, Outcome::Throttled, Outcome::Failed, Outcome::Repeat];
const STATES: [ProbeState; 3] = [ProbeState::Ready, ProbeState::Draining, ProbeState::Busy];
const REASONS: [Reason; 11] = [
    Reason::Stopping,
    Reason::Malformed,
    Reason::Version,
    Reason::Refused,
    Reason::Superseded,
    Reason::Slow,
    Reason::Silent,
    Reason::Busy,
    Reason::State,
    Reason::Elsewhere,
    Reason::PassedOver,
];

fn read_server(f: &mut Fields) -> Result<ServerId, Malformed> {
    Ok(ServerId { addr: f.addr("a server's address")?, number: f.u32("a server's number")? })
}

fn write_server(p: &mut Pen, s: &ServerId) {
    p.addr(s.addr);
    p.u32(s.number);
}

const LEAST_SERVER: usize = 11;

fn read_line(f: &mut Fields) -> Result<(ServerId, f32), Malformed> {
    Ok((read_server(f)?, f.share("a weight")?))
}

fn write_line(p: &mut Pen, line: &(ServerId, f32)) {
    write_server(p, &line.0);
    p.f32(line.1);
}

fn read_level(f: &mut Fields) -> Result<Level, Malformed> {
    let routes = f.u16("a level's routes")?;
    Ok(Level { routes, share: f.share("a level")?, tries: f.one_of("a level's tries", &TRIES)? })
}

fn write_level(p: &mut Pen, level: &Level) {
    p.u16(level.routes);
    p.f32(level.share);
    p.u8(level.tries as u8);
}

fn read_report(f: &mut Fields) -> Result<Option<Report>, Malformed> {
    if !f.flag("whether there is a report")? {
        return Ok(None);
    }
    let (start, number) = (f.u64("a report's start")?, f.u32("a report's number")?);
    // What a figure is worth is judged by the planner: one that is no number costs only itself.
    Ok(Some(Report { start, number, figures: f.many("figures", 4, |f| f.f32("a figure"))? }))
}

fn write_report(p: &mut Pen, report: &Option<Report>) {
    p.u8(report.is_some().into());
    if let Some(r) = report {
        p.u64(r.start);
        p.u32(r.number);
        p.many(&r.figures, |p, v| p.f32(*v));
    }
}

impl Entry {
    fn read(f: &mut Fields) -> Result<Self, Malformed> {
        Ok(Entry {
            server: read_server(f)?,
            zone: f.text("an entry's zone")?,
            phase: f.one_of("an entry's phase", &PHASES)?,
            started_ms: f.u64("an entry's start")?,
        })
    }

    fn write(&self, p: &mut Pen) {
        write_server(p, &self.server);
        p.text(&self.zone);
        p.u8(self.phase as u8);
        p.u64(self.started_ms);
    }
}

impl Order {
    fn read(f: &mut Fields) -> Result<Self, Malformed> {
        let at = f.at();
        Ok(match f.u8("an order's kind")? {
            1 => Order::Bind {
                table: f.u16("a table")?,
                version: f.u64("a version")?,
                routes: f.u16("routes")?,
                lines: f.many("lines", LEAST_SERVER + 4, read_line)?,
                levels: f.many("levels", 7, read_level)?,
            },
            2 => {
                let (table, version) = (f.u16("a table")?, f.u64("a version")?);
                let (server, weight) = read_line(f)?;
                Order::Line { table, version, server, weight }
            }
            3 => Order::Level(read_level(f)?),
            4 => Order::Withdraw { server: read_server(f)?, out: f.flag("a withdrawal's way")? },
            5 => Order::Mark(f.u16("a mark")?),
            value => return Err(Malformed::Value { what: "an order's kind", at, value: value.into() }),
        })
    }

    fn write(&self, p: &mut Pen) {
        match self {
            Order::Bind { table, version, routes, lines, levels } => {
                p.u8(1);
                p.u16(*table);
                p.u64(*version);
                p.u16(*routes);
                p.many(lines, write_line);
                p.many(levels, write_level);
            }
            Order::Line { table, version, server, weight } => {
                p.u8(2);
                p.u16(*table);
                p.u64(*version);
                write_line(p, &(*server, *weight));
            }
            Order::Level(level) => {
                p.u8(3);
                write_level(p, level);
            }
            Order::Withdraw { server, out } => {
                p.u8(4);
                write_server(p, server);
                p.u8((*out).into());
            }
            Order::Mark(number) => {
                p.u8(5);
                p.u16(*number);
            }
        }
    }
}

impl Message {
    /// The name of what it is, for logs and reasons.
    pub fn name(&self) -> &'static str {
        match self {
            Message::Hello { .. } => "hello",
            Message::Challenge { .. } => "challenge",
            Message::Join(_) => "join",
            Message::Welcome { .. } => "welcome",
            Message::Orders(_) => "orders",
            Message::Applied { .. } => "applied",
            Message::Sums { .. } => "sums",
            Message::Bye { .. } => "bye",
            Message::AskList { .. } => "ask-list",
            Message::List { .. } => "list",
            Message::ListFailed { .. } => "list-failed",
            Message::Probe { .. } => "probe",
            Message::Probed { .. } => "probed",
            Message::Call(_) => "call",
            Message::Answer(_) => "answer",
            Message::Alive => "alive",
        }
    }

    /// Reads the body of one frame, which must hold one message and nothing after it.
    ///
    /// # Errors
    ///
    /// What is malformed, and at which byte of the body.
    pub fn read(body: &[u8]) -> Result<Message, Malformed> {
        let Some((kind, rest)) = body.split_first() else {
            return Err(Malformed::Empty);
        };
        let mut fields = Fields::new(rest);
        let f = &mut fields;
        let message = match kind {
            1 => Message::Hello {
                version: f.u16("a version")?,
                role: f.one_of("a role", &ROLES)?,
                name: f.text("a name")?,
                nonce: f.take("a nonce")?,
            },
            2 => Message::Challenge {
                version: f.u16("a version")?,
                start: f.u64("a start")?,
                nonce: f.take("a nonce")?,
            },
            3 => Message::Join(Join {
                zone: f.text("a zone")?,
                rate: f.share("a rate")?,
                bare: f.flag("whether it is bare")?,
                held_start: f.u64("a start")?,
                held_seq: f.u64("a sequence number")?,
                epoch: f.u64("an epoch")?,
                proof: Proof(f.take("a proof")?),
            }),
            4 => Message::Welcome {
                stream: f.u32("a stream")?,
                epoch: f.u64("an epoch")?,
                proof: Proof(f.take("a proof")?),
            },
            5 => Message::Orders(Orders {
                epoch: f.u64("an epoch")?,
                start: f.u64("a start")?,
                stream: f.u32("a stream")?,
                seq: f.u64("a sequence number")?,
                ordered_us: f.u64("a time")?,
                list: f.u64("a list's version")?,
                cause: f.one_of("a cause", &CAUSES)?,
                parts: f.many("orders", 3, Order::read)?,
            }),
            6 => Message::Applied {
                start: f.u64("a start")?,
                stream: f.u32("a stream")?,
                seq: f.u64("a sequence number")?,
                mark: match f.flag("whether there is a mark")? {
                    true => Some(f.u16("a mark")?),
                    false => None,
                },
            },
            7 => Message::Sums {
                met: f.many("sums", LEAST_SERVER + 13, |f| {
                    Ok(MetLine {
                        server: read_server(f)?,
                        tries: f.u32("tries")?,
                        dropped: f.u32("dropped tries")?,
                        wait_us: f.u32("a wait")?,
                        report: read_report(f)?,
                    })
                })?,
                came: f.many("counts", 5, |f| {
                    Ok(CameLine { route: f.u8("a route")?, calls: f.u32("calls")? })
                })?,
            },
            8 => Message::Bye { reason: f.one_of("a reason", &REASONS)?, text: f.text("a reason's text")? },
            9 => Message::AskList { have: f.u64("a version")?, watch: f.flag("whether to watch")? },
            10 => Message::List {
                version: f.u64("a version")?,
                base: f.u64("a base version")?,
                now_ms: f.u64("a time")?,
                entries: f.many("entries", LEAST_SERVER + 10, Entry::read)?,
            },
            11 => Message::ListFailed { text: f.text("a reason")? },
            12 => Message::Probe { number: f.u32("a number")? },
            13 => Message::Probed {
                number: f.u32("a number")?,
                state: f.one_of("a state", &STATES)?,
                report: read_report(f)?,
            },
            14 => Message::Call(Call {
                id: f.u64("a call")?,
                attempt: f.u8("an attempt")?,
                tried: f.u8("a try")?,
                route: f.u8("a route")?,
                key: f.u64("a key")?,
                work_us: f.u32("work")?,
                time_limit_us: f.u32("a time limit")?,
                proxy: f.u16("a proxy")?,
            }),
            15 => Message::Answer(Answer {
                id: f.u64("a call")?,
                attempt: f.u8("an attempt")?,
                tried: f.u8("a try")?,
                outcome: f.one_of("an outcome", &OUTCOMES)?,
                report: read_report(f)?,
            }),
            16 => Message::Alive,
            kind => return Err(Malformed::UnknownKind(*kind)),
        };
        fields.end()?;
        Ok(message)
    }

    /// Appends the message as one frame.
    pub fn write(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&[0; 4]);
        self.body(&mut Pen(out));
        let length = (out.len() - start - 4) as u32;
        out[start..start + 4].copy_from_slice(&length.to_be_bytes());
    }

    pub fn frame(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn body(&self, p: &mut Pen) {
        match self {
            Message::Hello { version, role, name, nonce } => {
                p.u8(1);
                p.u16(*version);
                p.u8(*role as u8);
                p.text(name);
                p.put(nonce);
            }
            Message::Challenge { version, start, nonce } => {
                p.u8(2);
                p.u16(*version);
                p.u64(*start);
                p.put(nonce);
            }
            Message::Join(j) => {
                p.u8(3);
                p.text(&j.zone);
                p.f32(j.rate);
                p.u8(j.bare.into());
                p.u64(j.held_start);
                p.u64(j.held_seq);
                p.u64(j.epoch);
                p.put(&j.proof.0);
            }
            Message::Welcome { stream, epoch, proof } => {
                p.u8(4);
                p.u32(*stream);
                p.u64(*epoch);
                p.put(&proof.0);
            }
            Message::Orders(o) => {
                p.u8(5);
                p.u64(o.epoch);
                p.u64(o.start);
                p.u32(o.stream);
                p.u64(o.seq);
                p.u64(o.ordered_us);
                p.u64(o.list);
                p.u8(o.cause as u8);
                p.many(&o.parts, |p, o| o.write(p));
            }
            Message::Applied { start, stream, seq, mark } => {
                p.u8(6);
                p.u64(*start);
                p.u32(*stream);
                p.u64(*seq);
                p.u8(mark.is_some().into());
                mark.iter().for_each(|m| p.u16(*m));
            }
            Message::Sums { met, came } => {
                p.u8(7);
                p.many(met, |p, m| {
                    write_server(p, &m.server);
                    p.u32(m.tries);
                    p.u32(m.dropped);
                    p.u32(m.wait_us);
                    write_report(p, &m.report);
                });
                p.many(came, |p, c| {
                    p.u8(c.route);
                    p.u32(c.calls);
                });
            }
            Message::Bye { reason, text } => {
                p.u8(8);
                p.u8(*reason as u8);
                p.text(text);
            }
            Message::AskList { have, watch } => {
                p.u8(9);
                p.u64(*have);
                p.u8((*watch).into());
            }
            Message::List { version, base, now_ms, entries } => {
                p.u8(10);
                p.u64(*version);
                p.u64(*base);
                p.u64(*now_ms);
                p.many(entries, |p, e| e.write(p));
            }
            Message::ListFailed { text } => {
                p.u8(11);
                p.text(text);
            }
            Message::Probe { number } => {
                p.u8(12);
                p.u32(*number);
            }
            Message::Probed { number, state, report } => {
                p.u8(13);
                p.u32(*number);
                p.u8(*state as u8);
                write_report(p, report);
            }
            Message::Call(c) => {
                p.u8(14);
                p.u64(c.id);
                p.u8(c.attempt);
                p.u8(c.tried);
                p.u8(c.route);
                p.u64(c.key);
                p.u32(c.work_us);
                p.u32(c.time_limit_us);
                p.u16(c.proxy);
            }
            Message::Alive => p.u8(16),
            Message::Answer(a) => {
                p.u8(15);
                p.u64(a.id);
                p.u8(a.attempt);
                p.u8(a.tried);
                p.u8(a.outcome as u8);
                write_report(p, &a.report);
            }
        }
    }
}
