//! The five rules over what passes, as it passes.

use crate::cold::Cold;
use crate::drained::Drained;
use crate::once::Once;
use crate::queue::Queue;
use crate::record::{Event, Record};
use crate::served::Served;
use crate::told::Ear;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

/// The figures that the rules state.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub unserved: Duration,
    pub grace: Duration,
    pub fall_multiple: f64,
    pub fall: Duration,
    /// A planner that knew of a start for so long is accountable for what its proxies send.
    pub knowing: Duration,
    pub warm_up: Duration,
    pub most_waiting: f64,
    pub head: f64,
    pub most_messages: usize,
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteFacts {
    Freely,
    /// All servers drop repeats within the window, or only those of a zone.
    Marked {
        window: Duration,
        by_zone: bool,
    },
    Never,
}

/// What has to be known of the day beside the record.
#[derive(Debug, Clone)]
pub struct Facts {
    pub limits: Limits,
    pub routes: Vec<RouteFacts>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: no joined proxy without a usable line.
    Served,
    /// 2: no effect twice, nor an order.
    Once,
    /// 3: drains kept within the grace.
    Drained,
    /// 4: no cold server pushed over.
    Cold,
    /// 5: a short queue, and few messages a proxy.
    Queue,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Served => "1 no joined proxy without a usable line",
            Rule::Once => "2 no effect twice",
            Rule::Drained => "3 drains kept within the grace",
            Rule::Cold => "4 no cold server pushed over",
            Rule::Queue => "5 a short queue, few messages a proxy",
        })
    }
}

/// Where a rule was first broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub at: Duration,
    pub what: String,
    /// What passed just before, of the proxy or server concerned.
    pub before: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    pub rule: Rule,
    pub first: Option<Violation>,
    pub violations: usize,
    /// How much there was to check: a rule that nothing put to the test was not kept, it was not met.
    pub checked: usize,
}

/// What passed last, for the context of a breach.
#[derive(Default)]
struct Recent(VecDeque<(Duration, Event)>);

impl Recent {
    const KEPT: usize = 2048;

    fn put(&mut self, at: Duration, passed: Event) {
        if self.0.len() == Self::KEPT {
            self.0.pop_front();
        }
        self.0.push_back((at, passed));
    }
}

/// Gathers the violations of one rule.
pub(crate) struct Pass<'a> {
    verdict: &'a mut Verdict,
    recent: &'a Recent,
}

impl Pass<'_> {
    pub fn checked(&mut self) {
        self.verdict.checked += 1;
    }

    /// `concerns`: whether something that passed earlier belongs to the context.
    pub fn breach(&mut self, at: Duration, what: String, concerns: impl Fn(&Event) -> bool) {
        self.verdict.violations += 1;
        if self.verdict.first.is_none() {
            let near = self.recent.0.iter().rev().filter(|(_, p)| concerns(p)).take(5);
            let mut before: Vec<String> = near
                .map(|(t, p)| {
                    let mut text = format!("{:.3} s {p:?}", t.as_secs_f64());
                    text.truncate(text.char_indices().nth(300).map_or(text.len(), |c| c.0));
                    text
                })
                .collect();
            before.reverse();
            self.verdict.first = Some(Violation { at, what, before });
        }
    }
}

/// Checks what passes as it passes, each rule by itself whatever the others give. It holds what is under way and
/// a little of what passed last, so that a day of any length can be checked.
pub struct Checker {
    recent: Recent,
    ear: Ear,
    served: Served,
    once: Once,
    drained: Drained,
    cold: Cold,
    queue: Queue,
    verdicts: [Verdict; 5],
}

impl Checker {
    pub fn new(facts: &Facts) -> Checker {
        let limits = facts.limits;
        let verdict = |rule| Verdict { rule, first: None, violations: 0, checked: 0 };
        Checker {
            recent: Recent::default(),
            ear: Ear::default(),
            served: Served::new(limits.unserved, limits.warm_up),
            once: Once::new(facts.routes.clone()),
            drained: Drained::new(limits.grace),
            cold: Cold::new(limits.knowing, limits.fall),
            queue: Queue::new(limits.head, limits.most_waiting, limits.most_messages, limits.window),
            verdicts: [Rule::Served, Rule::Once, Rule::Drained, Rule::Cold, Rule::Queue].map(verdict),
        }
    }

    /// What passes is told in the order of time, as nearly as the taps have it.
    pub fn observe(&mut self, at: Duration, passed: Event) {
        self.ear.hear(at, &passed);
        let [served, once, drained, cold, queue] = &mut self.verdicts;
        let recent = &self.recent;
        self.served.see(at, &passed, &self.ear, &mut Pass { verdict: served, recent });
        self.once.see(at, &passed, &mut Pass { verdict: once, recent });
        self.drained.see(at, &passed, &self.ear, &mut Pass { verdict: drained, recent });
        self.cold.see(at, &passed, &self.ear, &mut Pass { verdict: cold, recent });
        self.queue.see(at, &passed, &mut Pass { verdict: queue, recent });
        self.recent.put(at, passed);
    }

    pub fn verdicts(mut self) -> [Verdict; 5] {
        self.queue.end(&mut Pass { verdict: &mut self.verdicts[4], recent: &self.recent });
        self.verdicts
    }
}

/// One verdict for each rule, over a record that was held whole.
pub fn check(record: &Record, facts: &Facts) -> [Verdict; 5] {
    let mut checker = Checker::new(facts);
    record.passed.iter().for_each(|(at, passed)| checker.observe(*at, passed.clone()));
    checker.verdicts()
}
