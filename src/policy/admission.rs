//! How much is let in, by what servers are able to.

use super::*;

impl Levels {
    pub(super) const WINDOW: Duration = Duration::from_secs(2);
    pub(super) const FULL: f64 = 0.85;
    pub(super) const UNHEARD: f64 = 3.0;
    pub(super) const AIM: f64 = 0.9;
    pub(super) const LATE: f64 = 0.35;
    pub(super) const LESS: f64 = 0.1;
    pub(super) const GAIN: f64 = 1.1;
    pub(super) const STEP: f64 = 0.05;
    pub(super) const EASY: f64 = 0.8;
    /// The part of the calls that is taken to be told of at the least.
    pub(super) const TOLD: f64 = 0.3;

    pub(super) fn window(cycle: Duration) -> Duration {
        Self::WINDOW.max(cycle * 2)
    }

    /// Lets in what fits, the most important routes first, by a ratio of reports that are equally late.
    pub(super) fn fit(
        &mut self,
        now: Duration,
        cycle: Duration,
        peers: &[Peer],
        routes: &[Route],
        slo: f64,
        told: f64,
    ) {
        let from = now.saturating_sub(Self::window(cycle));
        let (mut sent, mut able, mut all, mut good) = (0.0, 0.0, 0.0, 0.0);
        // Of those that stay: what they are able to, how many were heard of, and how many there are.
        let (mut lasting, mut heard, mut stay, mut known) = (0.0, 0.0, 0.0, 0.0);
        for (peer, load) in peers.iter().map(|p| (p, &p.load)) {
            let busy = load.mean(from, |x| x.cpu);
            let (tries, answered) = (load.sum(from, |x| x.tries), load.sum(from, Sample::answered));
            (all, good) = (all + tries, good + answered);
            let unasked = tries == 0.0 && peer.open() && !peer.ramp.cold;
            heard += if answered > 0.0 { 1.0 } else { 0.0 };
            known += if peer.ready() && answered > 0.0 { 1.0 } else { 0.0 };
            stay += if unasked || (peer.ready() && answered > 0.0) { 1.0 } else { 0.0 };
            if answered > 0.0 {
                // Tries that fail at a server with time to spare point to a cut or a fault.
                sent += if busy.is_some_and(|b| b < Self::FULL) { answered } else { tries };
                let own = answered / busy.unwrap_or(0.7).clamp(0.05, 1.0);
                able += own;
                lasting += if peer.ready() { own } else { 0.0 };
            }
        }
        if able == 0.0 {
            return;
        }
        let pressure = sent / able;
        // The first news after a start is of the few calls that went well.
        let unheard = Self::UNHEARD * (1.0 - now.as_secs_f64() / 10.0);
        // And tries that fail, for whatever cause, come again at those few that take any.
        self.pressure = (pressure.max(unheard).max(0.7 * all / good) * 10.0).round() / 10.0;
        self.crowded = pressure > if self.crowded { Self::EASY } else { 1.0 };
        // Queues that have once grown stay at a load that just fits, and every answer comes late.
        let wait = median(peers.iter().filter_map(|p| p.load.mean(from, |x| x.wait)));
        let late = wait.is_some_and(|w| w > Self::LATE * slo);
        // Against servers that drain together: what they did falls to the others before reports tell of it.
        let foreseen = if stay < heard { able * stay / heard } else { able };
        let pressure = sent / foreseen.max(1.0);
        // Late reports alone, which come in lumps, are no reason to turn calls away.
        if pressure < 1.1 && !late && !self.throttled() {
            return;
        }
        let came = |a: &VecDeque<Arrived>| a.iter().filter(|a| a.0 > from).map(|a| a.1).sum();
        let calls: Vec<f64> = self.arrived.iter().map(came).collect();
        let let_in: f64 = calls.iter().zip(&self.wanted).map(|(c, w)| c * f64::from(*w)).sum();
        // Those that left have done less than their part of the window already: what stays counts by itself.
        let able = if stay < heard && known > 0.0 { able.min(lasting * stay / known) } else { able };
        let able = able / told;
        let least = Self::STEP * calls.iter().sum::<f64>();
        // A route that was shut out would never come back by growth alone.
        let most = Self::GAIN * let_in + if pressure < Self::EASY { least } else { 0.0 };
        let aim = Self::AIM - if late { Self::LESS } else { 0.0 };
        let mut left = (aim * able).min(most).max(least);
        let mut order: Vec<usize> = (0..calls.len()).filter(|r| calls[*r] > 0.0).collect();
        order.sort_by(|a, b| routes[*b].priority_weight.total_cmp(&routes[*a].priority_weight));
        for r in order {
            let level = (left / calls[r]).min(1.0);
            left = (left - level * calls[r]).max(0.0);
            // Coarse steps, so that noise writes no orders.
            let step = (level / Self::STEP).round() * Self::STEP;
            self.wanted[r] = if level > 0.97 { 1.0 } else { step as f32 };
        }
    }
}

impl<H: PolicyHost> Policy<H> {
    pub fn requests_received(&mut self, now: Duration, proxy: ProxyId, route: usize, calls: u32) {
        if let Some(list) = self.levels.arrived.get_mut(route) {
            list.push_back((now, f64::from(calls), proxy));
            drop_old(list, now, Peer::KEPT, |a| a.0);
        }
    }

    /// What is wanted of a route as proxies count it; as a rate, in coarse steps, so that noise writes none.
    pub(super) fn level(&self, now: Duration, r: usize) -> f32 {
        match (self.plane.admission_mode, self.levels.wanted[r]) {
            (AdmissionMode::Off, _) => 1.0,
            (AdmissionMode::Share, wanted) => wanted,
            (AdmissionMode::Rate, wanted) if wanted >= 1.0 => 1e9,
            (AdmissionMode::Rate, wanted) => {
                let rates = rates(&self.levels.arrived[r], Peer::KEPT, now);
                let even = evenly(&rates, f64::from(wanted) * rates.iter().sum::<f64>()).min(1e9);
                (Levels::GAIN.ln() * (even.ln() / Levels::GAIN.ln()).round()).exp() as f32
            }
        }
    }

    /// What part of the calls that came the sums tell of, where a zone's sums are cut off and usage is not.
    /// Harm: where nothing that a zone lets in finds a server, as much too many are let in at the others.
    pub(super) fn told(&self, now: Duration) -> f64 {
        let newest = |z: ZoneId| {
            let of_zone = self.peers.iter().flat_map(|p| &p.load.0).filter(|x| x.from == z);
            of_zone.map(|x| x.at).max().unwrap_or_default()
        };
        let newest: Vec<Duration> = (0..self.zones.busy.len() as ZoneId).map(newest).collect();
        let last = newest.iter().max().copied().unwrap_or_default();
        let window = Levels::window(self.sight.report_interval);
        let heard = |z: ZoneId| newest.get(usize::from(z)).is_none_or(|at| *at + window >= last);
        let came = self.levels.arrived.iter().flatten().filter(|a| a.0 > now.saturating_sub(window));
        let add = |[told, all]: [f64; 2], a: &Arrived| {
            let heard = self.proxies.get(&a.2).is_none_or(|p| heard(p.zone));
            [told + if heard { a.1 } else { 0.0 }, all + a.1]
        };
        let [told, all] = came.fold([0.0; 2], add);
        if all > 0.0 { (told / all).max(Levels::TOLD) } else { 1.0 }
    }
}
