//! Rule 5: the planner's queue of updates is short, and no proxy gets too many messages. An update waits from its
//! creation time, which it carries, until it leaves the planner's end of the stream.

use crate::check::RuleReporter;
use crate::record::Event;
use grebespool_wire::{Change, TableBinding};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// An update that left the planner.
struct SentUpdate {
    at: Duration,
    proxy: u16,
    incarnation: u64,
    stream: u32,
    /// Creation time by the planner's clock.
    created: Duration,
    /// Cost in lines.
    cost: f64,
}

/// Checks rule 5. No update leaves before it is created, so the smallest difference between the two times over all
/// updates of a planner estimates the offset of its clock from the record's. Updates are checked once later ones can
/// no longer change that estimate by much.
pub(crate) struct QueueLength {
    head: f64,
    most_waiting: f64,
    most_messages: usize,
    window: Duration,
    /// By incarnation: the estimated offset of the planner's clock.
    clock_offset: BTreeMap<u64, Duration>,
    /// Updates that are not checked yet.
    unchecked: VecDeque<SentUpdate>,
    /// Changes of the queue: (time, true if an update is added, tie breaker) to (incarnation, cost in lines).
    steps: BTreeMap<(Duration, bool, u64), (u64, f64)>,
    next_step: u64,
    /// By incarnation: the queue's cost in lines.
    waiting: BTreeMap<u64, f64>,
    /// By proxy, incarnation and stream: creation times within `window`.
    sent: BTreeMap<(u16, u64, u32), VecDeque<Duration>>,
}

impl QueueLength {
    /// Time for which updates wait to be checked, while later ones improve the estimate of the clock's offset.
    const CLOCK_ESTIMATION: Duration = Duration::from_secs(60);

    pub(crate) fn new(head: f64, most_waiting: f64, most_messages: usize, window: Duration) -> QueueLength {
        QueueLength {
            head,
            most_waiting,
            most_messages,
            window,
            clock_offset: BTreeMap::new(),
            unchecked: VecDeque::new(),
            steps: BTreeMap::new(),
            next_step: 0,
            waiting: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    /// Checks one event.
    pub(crate) fn observe(&mut self, at: Duration, event: &Event, reporter: &mut RuleReporter) {
        let Event::Ordered { proxy, orders } = event else { return };
        reporter.count_check();
        let created = Duration::from_micros(orders.created_us);
        let offset = at.saturating_sub(created);
        self.clock_offset
            .entry(orders.incarnation)
            .and_modify(|smallest| *smallest = (*smallest).min(offset))
            .or_insert(offset);
        let lines = |change: &Change| match change {
            Change::BindTable(TableBinding { weights, admission, .. }) => 1 + weights.len() + admission.len(),
            _ => 1,
        };
        let cost = orders.changes.iter().map(lines).sum::<usize>() as f64 + self.head;
        let (incarnation, stream) = (orders.incarnation, orders.stream);
        self.unchecked.push_back(SentUpdate { at, proxy: *proxy, incarnation, stream, created, cost });
        while let Some(update) =
            self.unchecked.pop_front_if(|sent| at.saturating_sub(sent.at) > Self::CLOCK_ESTIMATION)
        {
            self.check(update, reporter);
        }
        // No update that is checked later was created before this time.
        self.apply_steps(at.saturating_sub(Self::CLOCK_ESTIMATION * 2), reporter);
    }

    /// Checks the number of messages to the update's proxy, and adds the update's two steps.
    fn check(&mut self, update: SentUpdate, reporter: &mut RuleReporter) {
        let SentUpdate { at, proxy, incarnation, stream, created, cost } = update;
        let created = self.clock_offset.get(&incarnation).copied().unwrap_or_default() + created;
        // At one instant, updates that leave (false) sort before updates that are added (true).
        self.next_step += 2;
        self.steps.insert((created, true, self.next_step), (incarnation, cost));
        self.steps.insert((at.max(created), false, self.next_step + 1), (incarnation, cost));
        if self.most_messages == 0 {
            return;
        }
        let recent = self.sent.entry((proxy, incarnation, stream)).or_default();
        recent.push_back(created);
        while recent.front().is_some_and(|time| created.saturating_sub(*time) >= self.window) {
            recent.pop_front();
        }
        if recent.len() > self.most_messages {
            let what = format!("{} messages to proxy {proxy} within the window", recent.len());
            reporter.report_violation(
                at,
                what,
                |p| matches!(p, Event::Ordered { proxy: n, .. } if *n == proxy),
            );
        }
    }

    /// Applies the steps before `until` to the queue, and reports when it is too long.
    fn apply_steps(&mut self, until: Duration, reporter: &mut RuleReporter) {
        while let Some(first) = self.steps.first_entry().filter(|s| s.key().0 < until) {
            let ((at, added, _), (incarnation, cost)) = first.remove_entry();
            let lines = self.waiting.entry(incarnation).or_default();
            *lines += if added { cost } else { -cost };
            if *lines > self.most_waiting {
                let what = format!("{lines:.0} lines wait in the channel; {} may", self.most_waiting);
                reporter.report_violation(at, what, |p| matches!(p, Event::Ordered { .. }));
            }
        }
    }

    /// Checks the updates that are left at the end of the day.
    pub(crate) fn finish(&mut self, reporter: &mut RuleReporter) {
        for update in std::mem::take(&mut self.unchecked) {
            self.check(update, reporter);
        }
        self.apply_steps(Duration::MAX, reporter);
    }
}
