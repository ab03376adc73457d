//! What a proxy met since it last told.

use grebespool_wire::{Message, ProxyReport, RouteLoad, ServerId, ServerLoad, ServerMetrics};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
struct Met {
    tries: u32,
    dropped: u32,
    waited: Duration,
    report: Option<ServerMetrics>,
}

#[derive(Default)]
pub struct Sums {
    met: BTreeMap<ServerId, Met>,
    came: BTreeMap<u8, u32>,
}

impl Sums {
    pub fn came(&mut self, route: u8) {
        *self.came.entry(route).or_default() += 1;
    }

    /// A try at a server ended: answered after so long, or dropped. A report that came with it is kept.
    pub fn met(&mut self, server: ServerId, took: Option<Duration>, report: Option<ServerMetrics>) {
        let met = self.met.entry(server).or_default();
        met.tries += 1;
        met.report = report.or(met.report.take());
        match took {
            Some(took) => met.waited += took,
            None => met.dropped += 1,
        }
    }

    /// All that was met since this was last called.
    pub fn tell(&mut self) -> Message {
        let line = |(server, m): (ServerId, Met)| ServerLoad {
            server,
            attempts: m.tries,
            dropped: m.dropped,
            mean_latency_us: match m.tries - m.dropped {
                0 => 0,
                n => (m.waited / n).as_micros().max(1) as u32,
            },
            metrics: m.report,
        };
        let met = std::mem::take(&mut self.met).into_iter().map(line).collect();
        let came = std::mem::take(&mut self.came).into_iter();
        Message::ProxyReport(ProxyReport {
            servers: met,
            routes: came.map(|(route, calls)| RouteLoad { route, calls }).collect(),
        })
    }
}
