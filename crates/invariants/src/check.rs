//! Runs the five rules over a sequence of events.

use crate::at_most_once::AtMostOnce;
use crate::availability::Availability;
use crate::drain::Drain;
use crate::planner_view::PlannerView;
use crate::queue_length::QueueLength;
use crate::record::{Event, Record};
use crate::slow_start::SlowStart;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

/// The bounds that the rules set.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest time that a joined proxy may have no usable weight entry while some server is ready and warm (rule 1).
    pub unserved: Duration,
    /// Longest time from when the planner learns of a drain or removal until its proxies stop sending to the server
    /// (rule 3).
    pub grace: Duration,
    /// Multiple of its capacity above which a server that is warming up crashes.
    pub fall_multiple: f64,
    /// Window over which the work sent to a cold server is counted (rule 4).
    pub fall: Duration,
    /// Time after which a planner that knows of a server's start is accountable for what its proxies send there (rule
    /// 4).
    pub knowing: Duration,
    /// Time that a server takes from its start until it is warm.
    pub warm_up: Duration,
    /// Largest cost, in lines, of the updates that wait in a planner's channel (rule 5).
    pub most_waiting: f64,
    /// Fixed cost of an update, in lines, in addition to the lines of its changes.
    pub head: f64,
    /// Most updates to one proxy within `window` (rule 5); 0: no limit.
    pub most_messages: usize,
    /// Window for `most_messages`.
    pub window: Duration,
}

/// When a request of a route may be sent again although an earlier attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteFacts {
    /// Always: the request is idempotent.
    Freely,
    /// While the servers still recognize and drop the duplicate.
    Marked {
        /// Time for which a server recognizes a duplicate.
        window: Duration,
        /// True if only the servers of one zone share what they recognize, false if all servers do.
        by_zone: bool,
    },
    /// Never.
    Never,
}

/// The facts about a day that its record doesn't contain.
#[derive(Debug, Clone)]
pub struct Facts {
    /// The bounds of the rules.
    pub limits: Limits,
    /// One entry for each route, in the order of the deployment's routes.
    pub routes: Vec<RouteFacts>,
}

/// One of the five rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Rule 1: every joined proxy has a usable weight entry.
    Served,
    /// Rule 2: no request takes effect twice, and no proxy applies an update twice or out of order.
    Once,
    /// Rule 3: proxies stop sending to a draining server within the grace.
    Drained,
    /// Rule 4: no cold server is pushed over by more work than it can do.
    Cold,
    /// Rule 5: the planner's queue is short, and each proxy gets few messages.
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

/// One violation of a rule, with its context.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Time since the day began.
    pub at: Duration,
    /// Description for a person.
    pub what: String,
    /// The last few events that concern the same proxy or server, in order, as text.
    pub before: Vec<String>,
}

/// The result of checking one rule over a day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The rule that was checked.
    pub rule: Rule,
    /// The first violation.
    pub first: Option<Violation>,
    /// Number of violations.
    pub violations: usize,
    /// Number of events that put the rule to the test. At 0 the rule was not tested, which doesn't mean that it holds.
    pub checked: usize,
}

/// The most recent events, as context for a violation.
#[derive(Default)]
struct Recent(VecDeque<(Duration, Event)>);

impl Recent {
    const CAPACITY: usize = 2048;

    fn push(&mut self, at: Duration, event: Event) {
        if self.0.len() == Self::CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back((at, event));
    }
}

/// Collects the violations of one rule, with access to the recent events.
pub(crate) struct RuleReporter<'a> {
    verdict: &'a mut Verdict,
    recent: &'a Recent,
}

impl RuleReporter<'_> {
    /// Counts an event that puts the rule to the test.
    pub(crate) fn count_check(&mut self) {
        self.verdict.checked += 1;
    }

    /// Records a violation. `concerns` returns true for a recent event that belongs to its context.
    pub(crate) fn report_violation(&mut self, at: Duration, what: String, concerns: impl Fn(&Event) -> bool) {
        self.verdict.violations += 1;
        if self.verdict.first.is_none() {
            let context = self.recent.0.iter().rev().filter(|(_, event)| concerns(event)).take(5);
            let mut before: Vec<String> = context
                .map(|(time, event)| {
                    let mut text = format!("{:.3} s {event:?}", time.as_secs_f64());
                    text.truncate(text.char_indices().nth(300).map_or(text.len(), |c| c.0));
                    text
                })
                .collect();
            before.reverse();
            self.verdict.first = Some(Violation { at, what, before });
        }
    }
}

/// Checks events one by one, each rule independently of the others. The checker holds only unfinished requests and the
/// most recent events, so that a day of any length can be checked.
pub struct Checker {
    recent: Recent,
    planner_view: PlannerView,
    availability: Availability,
    at_most_once: AtMostOnce,
    drain: Drain,
    slow_start: SlowStart,
    queue_length: QueueLength,
    verdicts: [Verdict; 5],
}

impl Checker {
    /// Creates a checker that has observed no event.
    pub fn new(facts: &Facts) -> Checker {
        let limits = facts.limits;
        let verdict = |rule| Verdict { rule, first: None, violations: 0, checked: 0 };
        Checker {
            recent: Recent::default(),
            planner_view: PlannerView::default(),
            availability: Availability::new(limits.unserved, limits.warm_up),
            at_most_once: AtMostOnce::new(facts.routes.clone()),
            drain: Drain::new(limits.grace),
            slow_start: SlowStart::new(limits.knowing, limits.fall),
            queue_length: QueueLength::new(
                limits.head,
                limits.most_waiting,
                limits.most_messages,
                limits.window,
            ),
            verdicts: [Rule::Served, Rule::Once, Rule::Drained, Rule::Cold, Rule::Queue].map(verdict),
        }
    }

    /// Checks one event. The caller passes events in the order of time, as closely as the taps can order them.
    pub fn observe(&mut self, at: Duration, event: Event) {
        self.planner_view.observe(at, &event);
        let view = &self.planner_view;
        let [served, once, drained, cold, queue] = &mut self.verdicts;
        let recent = &self.recent;
        self.availability.observe(at, &event, view, &mut RuleReporter { verdict: served, recent });
        self.at_most_once.observe(at, &event, &mut RuleReporter { verdict: once, recent });
        self.drain.observe(at, &event, view, &mut RuleReporter { verdict: drained, recent });
        self.slow_start.observe(at, &event, view, &mut RuleReporter { verdict: cold, recent });
        self.queue_length.observe(at, &event, &mut RuleReporter { verdict: queue, recent });
        self.recent.push(at, event);
    }

    /// Returns one verdict for each rule, in the rules' order.
    pub fn verdicts(mut self) -> [Verdict; 5] {
        self.queue_length.finish(&mut RuleReporter { verdict: &mut self.verdicts[4], recent: &self.recent });
        self.verdicts
    }
}

/// Checks a complete record and returns one verdict for each rule, in the rules' order.
pub fn check(record: &Record, facts: &Facts) -> [Verdict; 5] {
    let mut checker = Checker::new(facts);
    record.passed.iter().for_each(|(at, event)| checker.observe(*at, event.clone()));
    checker.verdicts()
}
