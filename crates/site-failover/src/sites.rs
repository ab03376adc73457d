//! What stands of each site, and what follows from it.

use crate::Site;
use crate::evidence::{Evidence, Verdict};
use crate::pace::{Pace, Pacing, Step};
use crate::plan::{Demand, Impossible, Plan, Room, plan};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// What the sites' verdicts act on.
pub trait Ground {
    /// What part of a site's servers' weight may be used from now on: 0 for none of it, 1 for all.
    fn part(&mut self, site: Site, part: f64);
    /// Lets in at most these parts of the routes' calls, by route; 1 where nothing bounds it.
    fn levels(&mut self, most: &[f64]);
    /// For operators: a verdict with its evidence, a step of a return, and why one was held.
    fn say(&mut self, text: String);
}

/// How fast verdicts come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// What is older tells nothing any more.
    pub window: Duration,
    /// A verdict of a loss or a cut has to stand for so long.
    pub confirm: Duration,
    /// A site that was whole for so long after a return has forgotten its flaps.
    pub calm: Duration,
    /// The part of a lost site's weight that goes on being used, to see it come back: 0 where probes tell.
    pub trickle: f64,
    /// How full servers are to be filled while a site is lost: past it queues grow, and every answer comes late.
    pub fill: f64,
    pub pacing: Pacing,
}

/// Where one site stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    Whole,
    /// Something speaks against it; nothing is done.
    Doubted,
    Lost,
    /// Its servers answer its own callers only; they go on doing so.
    CutOff,
    /// An operator has taken it out.
    HeldOut,
    Returning(Pace),
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Standing::Whole => f.write_str("whole"),
            Standing::Doubted => f.write_str("doubted"),
            Standing::Lost => f.write_str("lost"),
            Standing::CutOff => f.write_str("cut off"),
            Standing::HeldOut => f.write_str("held out"),
            Standing::Returning(pace) => write!(f, "returning at {:.0}%", 100.0 * pace.part()),
        }
    }
}

/// What an operator may order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    Out,
    Back,
}

/// Why an order is not carried out. What stood before stays in force.
#[derive(Debug, Clone, PartialEq)]
pub enum Refused {
    Unknown(Site),
    /// It is out already, or was never taken out.
    AsItIs(Site, Standing),
    /// It is really lost; it returns by itself once it answers.
    StillLost(Site),
    /// These routes would be let in for less than that part: to be forced.
    Throttles(Vec<(usize, f64)>),
    Unplanned(Impossible),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Unknown(site) => write!(f, "there is no site {site}"),
            Refused::AsItIs(site, standing) => write!(f, "site {site} is {standing} already"),
            Refused::StillLost(site) => write!(f, "site {site} answers nobody: it returns once it does"),
            Refused::Throttles(routes) => {
                let each: Vec<String> =
                    routes.iter().map(|(r, level)| format!("route {r} to {:.0}%", 100.0 * level)).collect();
                write!(f, "without it this would be throttled: {}", each.join(", "))
            }
            Refused::Unplanned(why) => write!(f, "{why}"),
        }
    }
}

/// One site, for a look from outside.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    pub standing: Standing,
    pub since: Duration,
    pub evidence: String,
}

struct Kept {
    standing: Standing,
    since: Duration,
    /// A verdict that does not stand for long enough yet, and since when it has.
    pending: (Verdict, Duration),
    flaps: u32,
    whole_at: Duration,
    /// Why its step was last held, so that it is said once.
    held: &'static str,
    room: Room,
}

/// All sites.
pub struct Sites {
    timing: Timing,
    routes: Vec<Demand>,
    evidence: Evidence,
    kept: Vec<Kept>,
    /// What is in force.
    levels: Vec<f64>,
}

impl Sites {
    /// `sites` of them, all taken for whole.
    pub fn new(sites: usize, routes: Vec<Demand>, timing: Timing) -> Sites {
        let kept = || Kept {
            standing: Standing::Whole,
            since: Duration::ZERO,
            pending: (Verdict::Well, Duration::ZERO),
            flaps: 0,
            whole_at: Duration::ZERO,
            held: "",
            room: Room { able: 0.0, asked: vec![0.0; routes.len()] },
        };
        Sites {
            timing,
            evidence: Evidence::new(sites, timing.window),
            kept: (0..sites).map(|_| kept()).collect(),
            levels: vec![1.0; routes.len()],
            routes,
        }
    }

    /// What `from`'s callers met at `site`'s servers. `waited`: the sum of the waits of the answered, in seconds.
    pub fn met(&mut self, now: Duration, from: Site, site: Site, tries: f64, answered: f64, waited: f64) {
        self.evidence.met(now, from, site, tries, answered, waited);
    }

    /// Usage came from a site's own proxies.
    pub fn heard(&mut self, now: Duration, site: Site) {
        self.evidence.heard(now, site);
    }

    pub fn probed(&mut self, now: Duration, site: Site, answered: bool) {
        self.evidence.probed(now, site, answered);
    }

    /// A proxy of the site joined.
    pub fn joined(&mut self, now: Duration, site: Site) {
        self.evidence.joined(now, site);
    }

    /// The stream of one of the site's proxies ended.
    pub fn left(&mut self, now: Duration, site: Site) {
        self.evidence.left(now, site);
    }

    /// The list as it stands now, of one site.
    pub fn listed(&mut self, now: Duration, site: Site, ready: usize, started_at: Option<Duration>) {
        self.evidence.listed(now, site, ready, started_at);
    }

    /// What a site is able to and is asked for, in calls a second, as last heard. What it is able to is believed only
    /// while it is whole: a lost one would be planned for as if it had never been there.
    pub fn room(&mut self, site: Site, able: f64, asked: Vec<f64>) {
        let Some(kept) = self.kept.get_mut(site) else { return };
        if matches!(kept.standing, Standing::Whole | Standing::Doubted) && able > 0.0 {
            kept.room.able = able;
        }
        // Its callers may have gone with it, and come to the others' proxies or come back.
        kept.room.asked = asked;
    }

    pub fn standing(&self, site: Site) -> Option<Standing> {
        self.kept.get(site).map(|k| k.standing)
    }

    pub fn status(&self, now: Duration) -> Vec<Status> {
        let status = |(site, kept): (usize, &Kept)| Status {
            standing: kept.standing,
            since: kept.since,
            evidence: self.evidence.signs(now, site, kept.since).to_string(),
        };
        self.kept.iter().enumerate().map(status).collect()
    }

    /// Sites that take no calls from elsewhere now.
    pub fn out(&self) -> BTreeSet<Site> {
        let out = |k: &Kept| matches!(k.standing, Standing::Lost | Standing::CutOff | Standing::HeldOut);
        (0..self.kept.len()).filter(|s| out(&self.kept[*s])).collect()
    }

    /// The plan for a loss of these, from what is known now.
    ///
    /// # Errors
    ///
    /// A site of which nothing tells what it is able to, or none left.
    pub fn plan(&self, lost: &BTreeSet<Site>) -> Result<Plan, Impossible> {
        let rooms: Vec<Room> = (self.kept.iter().enumerate())
            .map(|(s, k)| Room { able: k.room.able * self.part(s).max(0.01), asked: k.room.asked.clone() })
            .collect();
        plan(&rooms, &self.routes, lost, self.timing.fill)
    }

    /// What part of a site's servers' weight may be used now. A lost one keeps nothing: what it is tried by is probes and
    /// the first step. One that is cut off goes on for its own callers, who are told nothing meanwhile.
    fn part(&self, site: Site) -> f64 {
        match self.kept[site].standing {
            Standing::Whole | Standing::Doubted | Standing::CutOff => 1.0,
            Standing::Lost => self.timing.trickle,
            Standing::HeldOut => 0.0,
            Standing::Returning(pace) => pace.part(),
        }
    }

    /// An operator's order. Unless forced, one that would throttle anything is refused with what it would do.
    ///
    /// # Errors
    ///
    /// Why it is not carried out; nothing has changed then.
    pub fn order(
        &mut self,
        now: Duration,
        site: Site,
        order: Order,
        forced: bool,
        ground: &mut impl Ground,
    ) -> Result<Option<Plan>, Refused> {
        let Some(standing) = self.kept.get(site).map(|k| k.standing) else {
            return Err(Refused::Unknown(site));
        };
        match (order, standing) {
            (Order::Out, Standing::HeldOut) => Err(Refused::AsItIs(site, standing)),
            (Order::Out, _) => {
                let mut lost = self.out();
                lost.insert(site);
                let plan = self.plan(&lost).map_err(Refused::Unplanned)?;
                let below: Vec<(usize, f64)> =
                    plan.levels.iter().copied().enumerate().filter(|(_, l)| *l < 0.995).collect();
                if !below.is_empty() && !forced {
                    return Err(Refused::Throttles(below));
                }
                self.stand(now, site, Standing::HeldOut, "by an operator's order", ground);
                self.act(ground);
                Ok(Some(plan))
            }
            (Order::Back, Standing::HeldOut) => {
                let signs = self.evidence.signs(now, site, now.saturating_sub(self.timing.window));
                if signs.probes == Some(false) || signs.unlisted {
                    return Err(Refused::StillLost(site));
                }
                let pace = Pace::begin(now, self.kept[site].flaps);
                self.stand(now, site, Standing::Returning(pace), "by an operator's order", ground);
                self.act(ground);
                Ok(None)
            }
            (Order::Back, Standing::Lost) => Err(Refused::StillLost(site)),
            (Order::Back, _) => Err(Refused::AsItIs(site, standing)),
        }
    }

    fn stand(&mut self, now: Duration, site: Site, standing: Standing, why: &str, ground: &mut impl Ground) {
        let kept = &mut self.kept[site];
        ground.say(format!("site {site}: {} -> {standing}: {why}", kept.standing));
        (kept.standing, kept.since, kept.held) = (standing, now, "");
        if standing == Standing::Whole {
            kept.whole_at = now;
        }
        ground.part(site, self.part(site));
    }

    /// Puts in force what the standing of all asks for: levels, if anything does not fit.
    fn act(&mut self, ground: &mut impl Ground) {
        let out: BTreeSet<Site> =
            (0..self.kept.len()).filter(|s| self.gone(*s) || self.returning(*s)).collect();
        // Levels rise last: a site that is under way is counted for what it takes, and no more.
        let wholly: BTreeSet<Site> = out.iter().copied().filter(|s| self.gone(*s)).collect();
        let levels = match (out.is_empty(), self.plan(&wholly)) {
            (false, Ok(plan)) => plan.levels,
            // Where nothing tells what is left, the decisions' own levels have to do.
            _ => vec![1.0; self.routes.len()],
        };
        let near = |a: f64, b: f64| (a - b).abs() < 0.05 && (a < 1.0) == (b < 1.0);
        if !levels.iter().zip(&self.levels).all(|(a, b)| near(*a, *b)) {
            self.levels = levels;
            ground.levels(&self.levels);
        }
    }

    fn gone(&self, site: Site) -> bool {
        matches!(self.kept[site].standing, Standing::Lost | Standing::HeldOut)
    }

    fn returning(&self, site: Site) -> bool {
        matches!(self.kept[site].standing, Standing::Returning(_))
    }

    /// Looks at all sites: called a few times within each window.
    pub fn look(&mut self, now: Duration, ground: &mut impl Ground) {
        for site in 0..self.kept.len() {
            self.look_at(now, site, ground);
        }
        self.act(ground);
    }

    fn look_at(&mut self, now: Duration, site: Site, ground: &mut impl Ground) {
        let since = match self.kept[site].standing {
            // What was met before it was lost tells of a site that was there.
            Standing::Lost | Standing::HeldOut | Standing::CutOff => self.kept[site].since,
            Standing::Returning(pace) => pace.since(),
            Standing::Whole | Standing::Doubted => Duration::ZERO,
        };
        let signs = self.evidence.signs(now, site, since);
        let verdict = signs.verdict();
        let kept = &mut self.kept[site];
        if kept.pending.0 != verdict {
            kept.pending = (verdict, now);
        }
        // What the list has taken away is sent nothing any more: to wait is to fill the others.
        let confirmed = signs.unlisted || now.saturating_sub(kept.pending.1) >= self.timing.confirm;
        if kept.standing == Standing::Whole && now.saturating_sub(kept.whole_at) > self.timing.calm {
            kept.flaps = 0;
        }
        let (standing, flaps) = (kept.standing, kept.flaps);
        let others_out = (0..self.kept.len()).all(|s| s == site || self.gone(s));
        let why = signs.to_string();
        match (standing, verdict) {
            (Standing::Whole | Standing::Doubted | Standing::Returning(_), Verdict::Lost) if confirmed => {
                // The last one is never taken out: where all seem lost, it is the planner that is.
                if others_out {
                    return;
                }
                if let Standing::Returning(_) = standing {
                    self.kept[site].flaps = flaps + 1;
                }
                self.stand(now, site, Standing::Lost, &why, ground);
            }
            (Standing::Whole | Standing::Doubted, Verdict::CutOff) if confirmed => {
                self.stand(now, site, Standing::CutOff, &why, ground);
            }
            (Standing::Whole, Verdict::Doubtful | Verdict::Lost | Verdict::CutOff) => {
                self.stand(now, site, Standing::Doubted, &why, ground);
            }
            (Standing::Doubted, Verdict::Well) if confirmed => {
                self.stand(now, site, Standing::Whole, &why, ground);
            }
            (Standing::Lost, _) if signs.life() && now > self.kept[site].since => {
                let pace = Pace::begin(now, flaps);
                self.stand(now, site, Standing::Returning(pace), &why, ground);
            }
            // Its servers never went: only the ways heal, and they carry a trickle first by the decisions' own doing.
            (Standing::CutOff, Verdict::Well | Verdict::Doubtful)
                if signs.from_others.is_some() && confirmed =>
            {
                self.stand(now, site, Standing::Whole, &why, ground);
            }
            (Standing::CutOff, Verdict::Lost) if confirmed && !others_out => {
                self.stand(now, site, Standing::Lost, &why, ground);
            }
            (Standing::Returning(pace), _) => self.pace(now, site, pace, ground),
            _ => {}
        }
    }

    fn pace(&mut self, now: Duration, site: Site, mut pace: Pace, ground: &mut impl Ground) {
        let pacing = self.timing.pacing;
        // Only what was met under this step's orders proves it.
        let shown = self.evidence.waits(site, pace.since() + pacing.settling);
        let usual = {
            let from = now.saturating_sub(self.timing.window);
            let others = (0..self.kept.len()).filter(|s| *s != site && self.part(*s) == 1.0);
            let (sum, n) = others
                .filter_map(|s| self.evidence.waits(s, from).2)
                .fold((0.0, 0.0), |(sum, n), w| (sum + w, n + 1.0));
            (n > 0.0).then(|| sum / n)
        };
        match pace.look(now, &pacing, shown, usual) {
            Step::Held(why) => {
                if self.kept[site].held != why {
                    self.kept[site].held = why;
                    ground.say(format!("site {site}: step {} is held: {why}", pace.step()));
                }
            }
            Step::Done => self.stand(now, site, Standing::Whole, "all steps are proven", ground),
            step => {
                let why = if step == Step::Back { "calls fail there" } else { "the step before is proven" };
                self.stand(now, site, Standing::Returning(pace), why, ground);
            }
        }
    }
}
