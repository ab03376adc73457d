//! Where a lost site's load goes, and what does not fit: worked out before it is needed.

use crate::Site;
use std::collections::BTreeSet;
use std::fmt;

/// What a site's servers are able to, in work a second, and what each route asks of the site's callers, in the same.
#[derive(Debug, Clone, PartialEq)]
pub struct Room {
    pub able: f64,
    /// By route.
    pub asked: Vec<f64>,
}

/// A route, as far as a plan needs it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    pub importance: f64,
    /// Its calls may not leave the site of their proxy.
    pub stays: bool,
}

/// What is done while some sites are lost.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    pub lost: BTreeSet<Site>,
    /// The part of the calls of each route that is let in.
    pub levels: Vec<f64>,
    /// What each site takes of the lost ones' work, a second; nought for these.
    pub takes: Vec<f64>,
    /// How full each site is then, as a part of what it is able to.
    pub filled: Vec<f64>,
    /// Work a second for which there is no room.
    pub throttled: f64,
    /// Work a second that all could still take within the fill.
    pub spare: f64,
    /// Importance let in over importance asked for.
    pub service: f64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Impossible {
    /// No capacity is stated or heard of at this site.
    NoCapacity(Site),
    /// Every site is lost: there is nothing to plan with.
    Nothing,
}

impl fmt::Display for Impossible {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Impossible::NoCapacity(site) => write!(f, "nothing tells what site {site} is able to"),
            Impossible::Nothing => write!(f, "every site is lost"),
        }
    }
}

/// Works out what to do while `lost` are lost, so that no site is filled beyond `fill`.
///
/// Routes are let in by importance, those of like importance alike; so none is throttled while a less important one is
/// let in. A route whose calls may not leave their site shares that site's room alone, and is gone where that is lost:
/// it is not what the others are throttled for.
///
/// # Errors
///
/// A site of unknown capacity, or none left.
pub fn plan(sites: &[Room], routes: &[Demand], lost: &BTreeSet<Site>, fill: f64) -> Result<Plan, Impossible> {
    if let Some(site) = (0..sites.len()).find(|s| !(sites[*s].able > 0.0 && sites[*s].able.is_finite())) {
        return Err(Impossible::NoCapacity(site));
    }
    let left: Vec<Site> = (0..sites.len()).filter(|s| !lost.contains(s)).collect();
    if left.is_empty() {
        return Err(Impossible::Nothing);
    }
    let asked = |s: Site, r: usize| sites[s].asked.get(r).copied().unwrap_or(0.0).max(0.0);
    let mut room: Vec<f64> =
        (0..sites.len()).map(|s| if lost.contains(&s) { 0.0 } else { sites[s].able * fill }).collect();
    let mut levels = vec![1.0; routes.len()];
    let mut order: Vec<usize> = (0..routes.len()).collect();
    order.sort_by(|a, b| routes[*b].importance.total_cmp(&routes[*a].importance));
    let mut load = vec![0.0; sites.len()];
    let mut from = 0;
    while from < order.len() {
        let same = |r: usize| routes[r].importance == routes[order[from]].importance;
        let to = from + order[from..].iter().take_while(|r| same(**r)).count();
        let group = &order[from..to];
        // What may not move has only its own site's room, and one level holds for a route wherever it is asked.
        for r in group.iter().copied().filter(|r| routes[*r].stays) {
            let fits = left.iter().filter(|s| asked(**s, r) > 0.0).map(|s| room[*s] / asked(*s, r));
            levels[r] = fits.fold(1.0, f64::min).clamp(0.0, 1.0);
            for s in &left {
                load[*s] += levels[r] * asked(*s, r);
                room[*s] -= levels[r] * asked(*s, r);
            }
        }
        let moves: Vec<usize> = group.iter().copied().filter(|r| !routes[*r].stays).collect();
        let wanted: f64 = moves.iter().map(|r| (0..sites.len()).map(|s| asked(s, *r)).sum::<f64>()).sum();
        let there: f64 = room.iter().map(|r| r.max(0.0)).sum();
        let level = if wanted > 0.0 { (there / wanted).min(1.0) } else { 1.0 };
        moves.iter().for_each(|r| levels[*r] = level);
        // Near first: each site's own calls go to its own servers as far as they fit, the rest wherever there is room.
        let mut over = 0.0;
        for s in 0..sites.len() {
            let own = level * moves.iter().map(|r| asked(s, *r)).sum::<f64>();
            let near = own.min(room[s].max(0.0));
            (load[s], room[s], over) = (load[s] + near, room[s] - near, over + own - near);
        }
        let there: f64 = room.iter().map(|r| r.max(0.0)).sum();
        for s in 0..sites.len() {
            let share = if there > 0.0 { over * room[s].max(0.0) / there } else { 0.0 };
            (load[s], room[s]) = (load[s] + share, room[s] - share);
        }
        from = to;
    }
    let let_in = |r: usize, s: Site| {
        if routes[r].stays && lost.contains(&s) { 0.0 } else { levels[r] * asked(s, r) }
    };
    let each = |of: &dyn Fn(usize, Site) -> f64| -> f64 {
        (0..routes.len()).map(|r| (0..sites.len()).map(|s| of(r, s)).sum::<f64>()).sum()
    };
    let important = each(&|r, s| routes[r].importance * asked(s, r));
    let own = |s: Site| (0..routes.len()).map(|r| let_in(r, s)).sum::<f64>();
    Ok(Plan {
        takes: (0..sites.len()).map(|s| (load[s] - own(s).min(load[s])).max(0.0)).collect(),
        filled: (0..sites.len()).map(|s| load[s] / sites[s].able).collect(),
        throttled: each(&|r, s| asked(s, r) - let_in(r, s)),
        spare: room.iter().map(|r| r.max(0.0)).sum(),
        service: if important > 0.0 {
            each(&|r, s| routes[r].importance * let_in(r, s)) / important
        } else {
            1.0
        },
        lost: lost.clone(),
        levels,
    })
}
