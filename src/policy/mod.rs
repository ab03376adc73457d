//! The decisions of one planner.
//!
//! Start a [`Planner`] with a [`Host`] and what the deployment states, then call one method for each thing
//! that happens; it answers by calling the host before it returns. Times are spans since its start.

mod admission;
mod control_channel;
mod endpoints;
mod outlier_detection;
mod proxy_binding;
mod publishing;
mod slow_start;
mod subsetting;
mod zone_spill;

use crate::host::*;
pub use crate::state::Planner;
use crate::state::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const LOOK: Duration = Duration::from_secs(1);
const INTERVAL_IN_LOOKS: u32 = 2;
const TOKEN_LOOK: u32 = 1;
const TOKEN_URGENT: u32 = 2;

impl<H: Host> Planner<H> {
    pub fn start(
        host: H,
        seed: u64,
        routes: Vec<Route>,
        plane: DataPlane,
        graces: Graces,
        pace: Pace,
        sight: Sight,
    ) -> Self {
        let mut planner = Planner {
            host,
            rng: Pcg64Mcg::seed_from_u64(seed),
            levels: Levels::new(routes.len(), Levels::UNHEARD),
            routes,
            plane,
            graces,
            sight,
            peers: vec![],
            ask_at: Some(Duration::ZERO),
            looks: 0,
            channel: Channel::new(pace),
            pools: vec![],
            width: (usize::MAX, usize::MAX),
            zones: Zones::new(plane.zones.max(1)),
            proxies: BTreeMap::new(),
            unbound: VecDeque::new(),
        };
        // Planners that start together would otherwise all write in the same instant.
        planner.host.wake(LOOK.mul_f64(planner.rng.random_range(0.5..1.0)), TOKEN_LOOK);
        planner
    }

    pub fn woken(&mut self, now: Duration, token: u32) {
        if token == TOKEN_LOOK {
            self.host.wake(now + LOOK, TOKEN_LOOK);
            self.look(now);
        } else {
            self.channel.urgent_set = false;
        }
        self.push(now);
    }

    pub fn met(&mut self, now: Duration, s: Server, met: &Met) {
        let field = |field| {
            let told = met.report.get(self.sight.fields.iter().position(|f| *f == field)?);
            told.map(|v| f64::from(*v)).filter(|v| v.is_finite() && *v >= 0.0)
        };
        let cpu = field(Field::CpuShare);
        // A busy share stops at one: what waits tells how far past full a server is.
        let full = cpu.map(|c| c + 0.1 * field(Field::Pending).unwrap_or(0.0));
        let told = full.or(field(Field::Busy)).or(field(Field::ServiceMs)).or(field(Field::AnsweredPerS));
        let (tries, dropped) = (f64::from(met.tries), f64::from(met.dropped));
        let wait = met.wait.map(|w| w.as_secs_f64());
        if let Some(p) = self.peers.get_mut(s) {
            p.take(Sample { at: now, from: met.from, told, load: told, cpu, tries, dropped, wait });
        }
    }

    fn look(&mut self, now: Duration) {
        if let Some(within) = self.sight.ask_within.filter(|_| self.ask_at.is_some_and(|t| now >= t)) {
            self.ask_at = Some(now + within / 2);
            self.host.watch_list();
        }
        let slo = mean(self.routes.iter().map(|r| r.slo.as_secs_f64())).unwrap_or(1.0);
        self.levels.fit(now, self.sight.cycle, &self.peers, &self.routes, slo, self.told(now));
        self.levels.wanted.iter_mut().zip(&self.levels.most).for_each(|(w, most)| *w = w.min(*most));
        self.rise(now);
        self.judge(now, slo);
        self.look_afar(now, slo);
        self.deal();
        self.looks += 1;
        if self.looks.is_multiple_of(INTERVAL_IN_LOOKS) {
            self.scale(now);
        }
    }
}
