//! Cases of evidence, plans and returns.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

mod helpers;

use grebespool_site_failover::*;
use helpers::TIMING;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[derive(Default)]
struct Heard {
    parts: Vec<(Site, f64)>,
    levels: Vec<Vec<f64>>,
    said: Vec<String>,
}

impl Ground for Heard {
    fn part(&mut self, site: Site, part: f64) {
        self.parts.push((site, part));
    }
    fn levels(&mut self, most: &[f64]) {
        self.levels.push(most.to_vec());
    }
    fn say(&mut self, text: String) {
        self.said.push(text);
    }
}

fn demand(importance: f64) -> Demand {
    Demand { importance, stays: false }
}

/// What happens at site 0 of three, once in half a second; the others are well and call it.
#[derive(Clone, Copy, Default)]
struct Scene {
    /// Parts of the tries of sites 1 and 2, and of its own callers, that are answered there; unset for none heard.
    ways: [Option<f64>; 2],
    own: Option<f64>,
    probes: Option<bool>,
    streams_end: bool,
    unlisted: bool,
    waits: f64,
}

const WELL: Scene = Scene {
    ways: [Some(1.0), Some(1.0)],
    own: Some(1.0),
    probes: None,
    streams_end: false,
    unlisted: false,
    waits: 0.05,
};

fn play(sites: &mut Sites, ground: &mut Heard, from: f64, to: f64, scene: Scene) {
    let mut at = from;
    let mut ended = false;
    while at < to {
        let now = s(at);
        for (from, part) in [(1, scene.ways[0]), (2, scene.ways[1]), (0, scene.own)] {
            if let Some(part) = part {
                sites.met(now, from, 0, 20.0, 20.0 * part, 20.0 * part * scene.waits);
            }
        }
        for (from, to) in [(1, 1), (2, 2), (1, 2), (2, 1)] {
            sites.met(now, from, to, 20.0, 20.0, 1.0);
        }
        scene.probes.into_iter().for_each(|good| sites.probed(now, 0, good));
        if scene.streams_end && !ended {
            (0..4).for_each(|_| sites.left(now, 0));
            ended = true;
        }
        sites.listed(now, 0, if scene.unlisted { 0 } else { 10 }, None);
        sites.look(now, ground);
        at += 0.5;
    }
}

fn begun() -> (Sites, Heard) {
    let mut sites = Sites::new(3, vec![demand(1.0), demand(4.0)], TIMING);
    let mut ground = Heard::default();
    (0..4).for_each(|_| sites.joined(s(0.0), 0));
    for site in 0..3 {
        sites.room(site, 100.0, vec![40.0, 30.0]);
    }
    play(&mut sites, &mut ground, 0.0, 5.0, WELL);
    (sites, ground)
}

fn stands(sites: &Sites) -> Standing {
    sites.standing(0).unwrap()
}

const DEAD: Scene = Scene {
    ways: [Some(0.0), Some(0.0)],
    own: None,
    probes: None,
    streams_end: true,
    unlisted: false,
    waits: 0.0,
};

/// What tells a loss from what looks like one, and what each sign alone is worth.
#[rstest]
#[case::all_is_well(WELL, "whole")]
#[case::lost_with_its_callers(DEAD, "lost")]
#[case::lost_and_its_callers_are_elsewhere(Scene { own: Some(0.0), streams_end: false, ..DEAD }, "lost")]
#[case::lost_and_probes_say_so(Scene { probes: Some(false), streams_end: false, own: None, ..DEAD }, "lost")]
#[case::lost_and_unlisted_and_nobody_tries_there(
    Scene { ways: [None, None], probes: Some(false), unlisted: true, ..DEAD }, "lost")]
#[case::cut_off_from_all(Scene { ways: [Some(0.0), Some(0.0)], ..WELL }, "cut off")]
#[case::cut_off_one_way(Scene { ways: [Some(0.0), Some(1.0)], ..WELL }, "doubted")]
#[case::its_collectors_fell_silent(Scene { own: None, ..WELL }, "whole")]
#[case::its_collectors_and_streams_fell_silent(Scene { own: None, streams_end: true, ..WELL }, "whole")]
#[case::its_entries_vanished_from_the_list(Scene { unlisted: true, ..WELL }, "whole")]
#[case::half_of_its_servers_are_gone(Scene { ways: [Some(0.5), Some(0.5)], own: Some(0.5), ..WELL }, "whole")]
#[case::it_answers_slowly(Scene { waits: 3.0, ..WELL }, "whole")]
#[case::calls_fail_and_probes_are_answered(Scene { probes: Some(true), ..DEAD }, "doubted")]
#[case::nobody_tries_and_it_is_silent(Scene { ways: [None, None], ..DEAD }, "doubted")]
fn verdicts(#[case] scene: Scene, #[case] expected: &str) {
    let (mut sites, mut ground) = begun();
    play(&mut sites, &mut ground, 5.0, 10.0, scene);
    assert_eq!(stands(&sites).to_string(), expected, "{:?}", ground.said);
}

/// A loss is acted on within the window's first reports and the confirmation, and a hiccup of one report is not.
#[rstest]
fn a_loss_is_known_soon_and_a_hiccup_is_none() {
    let (mut sites, mut ground) = begun();
    play(&mut sites, &mut ground, 5.0, 5.5, Scene { ways: [Some(0.0), Some(0.0)], own: Some(0.0), ..WELL });
    play(&mut sites, &mut ground, 5.5, 9.0, WELL);
    assert_eq!(stands(&sites), Standing::Whole);
    let mut at = 9.0;
    while stands(&sites) != Standing::Lost {
        assert!(at < 13.0, "{:?}", ground.said);
        play(&mut sites, &mut ground, at, at + 0.5, Scene { streams_end: at == 9.0, ..DEAD });
        at += 0.5;
    }
    assert!(at <= 12.0, "{at}");
    assert_eq!(ground.parts.last(), Some(&(0, 0.0)));
    // 120 of 210 asked for fit into nine tenths of 200; the more important route is whole.
    let levels = ground.levels.last().unwrap();
    assert!(levels[1] == 1.0 && (levels[0] - 0.75).abs() < 1e-9, "{levels:?}");
}

fn returned() -> (Sites, Heard) {
    let (mut sites, mut ground) = begun();
    play(&mut sites, &mut ground, 5.0, 10.0, Scene { probes: Some(false), ..DEAD });
    assert_eq!(stands(&sites), Standing::Lost);
    ground.parts.clear();
    (sites, ground)
}

#[rstest]
fn a_return_goes_by_steps_that_answers_prove() {
    let (mut sites, mut ground) = returned();
    play(&mut sites, &mut ground, 10.0, 25.0, Scene { probes: Some(true), ..WELL });
    let parts: Vec<f64> = ground.parts.iter().map(|p| p.1).collect();
    assert_eq!(parts, [0.1, 0.25, 0.5, 0.75, 1.0, 1.0]);
    assert_eq!(stands(&sites), Standing::Whole);
}

#[rstest]
#[case::without_calls(Scene { ways: [None, None], own: None, probes: Some(true), ..WELL }, 0.1)]
#[case::with_waits_that_rise(Scene { waits: 1.0, probes: Some(true), ..WELL }, 0.1)]
#[case::with_answers_missing(Scene { ways: [Some(0.8), Some(0.8)], own: Some(0.8), probes: Some(true), ..WELL }, 0.1)]
fn a_step_is_held_that_nothing_proves(#[case] scene: Scene, #[case] part: f64) {
    let (mut sites, mut ground) = returned();
    play(&mut sites, &mut ground, 10.0, 30.0, scene);
    assert!(ground.parts.iter().all(|p| p.1 == part), "{:?}", ground.parts);
    assert!(ground.said.iter().any(|t| t.contains("is held")));
}

#[rstest]
fn a_step_at_which_calls_fail_goes_back_and_flaps_make_it_slower() {
    let (mut sites, mut ground) = returned();
    let good = Scene { probes: Some(true), ..WELL };
    play(&mut sites, &mut ground, 10.0, 14.5, good);
    let before = ground.parts.last().unwrap().1;
    play(&mut sites, &mut ground, 14.5, 16.0, Scene { ways: [Some(0.4), Some(0.4)], own: Some(0.4), ..good });
    assert!(ground.parts.last().unwrap().1 < before, "{:?}", ground.parts);
    // Lost again, twice: each return takes longer, up to a limit.
    let mut spans = vec![];
    let mut at = 16.0;
    for _ in 0..5 {
        play(&mut sites, &mut ground, at, at + 4.0, Scene { probes: Some(false), ..DEAD });
        assert_eq!(stands(&sites), Standing::Lost);
        at += 4.0;
        let from = at;
        while !matches!(stands(&sites), Standing::Returning(p) if p.part() >= 0.25) {
            play(&mut sites, &mut ground, at, at + 0.5, good);
            at += 0.5;
        }
        spans.push(at - from);
    }
    assert!(spans.is_sorted() && spans[4] > 1.5 * spans[0], "{spans:?}");
    assert!(spans[4] <= 8.0, "{spans:?}");
}

/// The last one is not taken out, whatever is seen: then it is the planner that is cut off.
#[rstest]
fn all_lost_at_once_is_no_loss() {
    let (mut sites, mut ground) = begun();
    for tick in 10..30 {
        let now = s(f64::from(tick) / 2.0);
        for (from, site) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1), (0, 0), (1, 1), (2, 2)] {
            sites.met(now, from, site, 20.0, 0.0, 0.0);
        }
        sites.look(now, &mut ground);
    }
    assert!(sites.out().len() < 3, "{:?}", sites.out());
}

#[rstest]
fn an_operators_order_is_refused_where_it_would_throttle() {
    let (mut sites, mut ground) = begun();
    let refused = sites.order(s(5.0), 0, Order::Out, false, &mut ground);
    assert!(matches!(&refused, Err(Refused::Throttles(r)) if r.len() == 1 && r[0].0 == 0), "{refused:?}");
    assert!(ground.parts.is_empty() && stands(&sites) == Standing::Whole);
    assert_eq!(sites.order(s(5.0), 7, Order::Out, true, &mut ground), Err(Refused::Unknown(7)));
    assert!(matches!(sites.order(s(5.0), 0, Order::Back, false, &mut ground), Err(Refused::AsItIs(..))));
    assert!(sites.order(s(5.0), 0, Order::Out, true, &mut ground).is_ok());
    assert!(matches!(sites.order(s(5.0), 0, Order::Out, true, &mut ground), Err(Refused::AsItIs(..))));
    // A real loss of another meanwhile, and the way back.
    for site in [1, 2] {
        sites.room(site, 300.0, vec![40.0, 30.0]);
    }
    play(&mut sites, &mut ground, 5.0, 8.0, WELL);
    assert_eq!(stands(&sites), Standing::HeldOut);
    assert!(sites.order(s(8.0), 0, Order::Back, false, &mut ground).is_ok());
    play(&mut sites, &mut ground, 8.0, 22.0, WELL);
    assert_eq!(stands(&sites), Standing::Whole);
}

#[rstest]
fn what_really_is_lost_is_not_ordered_back() {
    let (mut sites, mut ground) = returned();
    let refused = sites.order(s(10.0), 0, Order::Back, true, &mut ground);
    assert_eq!(refused, Err(Refused::StillLost(0)));
}

fn room(able: f64, asked: &[f64]) -> Room {
    Room { able, asked: asked.to_vec() }
}

#[rstest]
// All fits.
#[case(&[0], vec![room(100.0, &[10.0, 10.0]); 3], &[1.0, 4.0], &[1.0, 1.0])]
// The less important gives way first, as far as it has to.
#[case(&[0], vec![room(100.0, &[40.0, 30.0]); 3], &[1.0, 4.0], &[0.75, 1.0])]
#[case(&[0], vec![room(100.0, &[30.0, 40.0]); 3], &[4.0, 1.0], &[1.0, 0.75])]
// Not even the most important fits: it alone is let in, as far as it does.
#[case(&[0, 1], vec![room(100.0, &[40.0, 60.0]); 3], &[1.0, 4.0], &[0.0, 0.5])]
// Those of like importance alike.
#[case(&[0], vec![room(100.0, &[40.0, 50.0]); 3], &[2.0, 2.0], &[2.0 / 3.0, 2.0 / 3.0])]
fn plans(
    #[case] lost: &[usize],
    #[case] sites: Vec<Room>,
    #[case] importance: &[f64],
    #[case] levels: &[f64],
) {
    let routes: Vec<Demand> = importance.iter().map(|i| demand(*i)).collect();
    let plan = plan(&sites, &routes, &lost.iter().copied().collect(), 0.9).unwrap();
    for (got, wanted) in plan.levels.iter().zip(levels) {
        assert!((got - wanted).abs() < 1e-9, "{:?}", plan.levels);
    }
    assert!(plan.filled.iter().all(|f| *f <= 0.9 + 1e-9), "{:?}", plan.filled);
}

#[rstest]
fn a_route_that_stays_has_its_own_sites_room_alone() {
    let routes = [Demand { importance: 2.0, stays: true }, demand(1.0)];
    let sites = [room(100.0, &[50.0, 0.0]), room(100.0, &[60.0, 90.0]), room(100.0, &[20.0, 20.0])];
    let plan = plan(&sites, &routes, &BTreeSet::from([0]), 0.9).unwrap();
    assert_eq!(plan.levels[0], 1.0);
    // 30 are left at the one and 70 at the other for the 110 that may move.
    assert!((plan.levels[1] - 100.0 / 110.0).abs() < 1e-9, "{:?}", plan.levels);
    assert!(plan.filled.iter().all(|f| *f <= 0.9 + 1e-9));
}

#[rstest]
#[case(vec![room(0.0, &[1.0]), room(5.0, &[1.0])], &[0], Impossible::NoCapacity(0))]
#[case(vec![room(5.0, &[1.0]), room(f64::NAN, &[1.0])], &[0], Impossible::NoCapacity(1))]
#[case(vec![room(5.0, &[1.0]); 2], &[0, 1], Impossible::Nothing)]
fn no_plan(#[case] sites: Vec<Room>, #[case] lost: &[usize], #[case] why: Impossible) {
    assert_eq!(plan(&sites, &[demand(1.0)], &lost.iter().copied().collect(), 0.9), Err(why));
}
