//! What zones make of each other, and what is planned for one that is lost.

use super::*;

impl Zones {
    /// What far servers count for beside near ones: ordinarily, at most for those lost, over a bad way.
    pub(super) const FAR: (f64, f64, f64) = (0.2, 0.6, 0.02);
    pub(super) const HOLD: Duration = Duration::from_secs(5);
    pub(super) const FULL: f64 = 0.92;
    pub(super) const EASY: f64 = 0.7;
    pub(super) const LEAN: f64 = 0.4;
    pub(super) const MOST: f64 = 1.5;

    /// Guards against links between zones that are cut, slow or lossy, and against a zone that is full while
    /// another has room. `met` gives, from zone to zone, tries, answered ones and the sum of their waits.
    pub(super) fn judge(
        &mut self,
        now: Duration,
        slo: f64,
        throttled: bool,
        met: impl Fn(usize, usize) -> [f64; 3],
    ) {
        // Where a trickle is too little to tell, the way is tried again in full after a while.
        self.bad.retain(|_, until| *until > now);
        for from in 0..self.busy.len() {
            let [tries, answered, waits] = met(from, from);
            let mut far = None;
            for to in (0..self.busy.len()).filter(|to| *to != from) {
                let way = (from as ZoneId, to as ZoneId);
                let [t, a, w] = met(from, to);
                let least = if self.bad.contains_key(&way) { 1.0 } else { 5.0 } * Health::LEAST_TRIES;
                // Calls fare badly at full servers too; these lose weight one by one.
                if tries.min(t) >= least && self.busy[to].is_none_or(|b| b < Levels::FULL) {
                    let slow = w / a.max(1.0) > waits / answered.max(1.0) + 0.4 * slo;
                    if slow || a / t < 0.7 * answered / tries {
                        self.bad.insert(way, now + Self::HOLD);
                    } else {
                        self.bad.remove(&way);
                    }
                }
                let reached = self.busy[to].filter(|_| !self.bad.contains_key(&way));
                far = [far, reached].into_iter().flatten().min_by(f64::total_cmp);
            }
            let change = match (self.busy[from], far) {
                (Some(a), Some(b)) if a > Self::FULL || throttled || b > a => Self::LEAN * (a - b),
                (Some(a), Some(_)) if a > Self::EASY => 0.0,
                _ => -Self::LEAN / 20.0,
            };
            self.reach[from] = (self.reach[from] + change).clamp(0.0, Self::MOST);
        }
    }
}

impl<H: PolicyHost> Policy<H> {
    pub(super) fn look_afar(&mut self, now: Duration, slo: f64) {
        let since = now.saturating_sub(Health::EVIDENCE);
        let of = |z: usize| self.peers.iter().filter(move |p| usize::from(p.zone) == z).map(|p| &p.load);
        for z in 0..self.zones.busy.len() {
            // Cold servers look idle because they are held back, and would draw the other zones' calls.
            let whole = self.peers.iter().filter(|p| usize::from(p.zone) == z && !p.ramp.cold);
            let heard = whole.filter_map(|p| p.load.mean(since, |x| x.cpu));
            self.zones.busy[z] = if self.zones.parts[z] < 1.0 { None } else { mean(heard) };
        }
        let met = |from: usize, to: usize| {
            let samples = of(to).flat_map(|l| l.since(since)).filter(|x| usize::from(x.from) == from);
            samples.fold([0.0; 3], |[t, a, w], x| {
                [t + x.tries, a + x.answered(), w + x.answered() * x.wait.unwrap_or(0.0)]
            })
        };
        self.zones.judge(now, slo, self.levels.throttled(), met);
    }

    /// What part of a zone's servers' weight may be used, by what is known of the zone as one thing.
    pub fn limit_zone_share(&mut self, now: Duration, zone: ZoneId, part: f64) {
        self.zones.parts[usize::from(zone)] = part;
        self.push(now);
    }

    /// At most so much of routes is let in; what only the former bound kept down rises with it at once.
    pub fn limit_admission(&mut self, now: Duration, most: &[f64]) {
        let levels = &mut self.levels;
        for (r, most) in most.iter().map(|m| *m as f32).enumerate().take(levels.wanted.len()) {
            let bounded = levels.wanted[r] >= levels.most[r];
            levels.wanted[r] = if bounded { most } else { levels.wanted[r].min(most) };
            levels.most[r] = most;
        }
        self.push(now);
    }
}
