//! Rule 5, by the times in the orders themselves: those given and not yet out wait.

use crate::check::Pass;
use crate::record::Event;
use grebespool_wire::{Change, TableBinding};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Orders that left.
struct Out {
    at: Duration,
    proxy: u16,
    start: u64,
    stream: u32,
    given: Duration,
    cost: f64,
}

/// No order is out before it was given: the earliest shows how a planner's clock lies to the record's. Orders are
/// looked at once later ones can tell nothing more of that.
pub(crate) struct Queue {
    head: f64,
    most_waiting: f64,
    most_messages: usize,
    window: Duration,
    began: BTreeMap<u64, Duration>,
    out: VecDeque<Out>,
    /// What leaves at a time and was counted as waiting from its giving on: time, order, start, cost.
    steps: BTreeMap<(Duration, bool, u64), (u64, f64)>,
    number: u64,
    waiting: BTreeMap<u64, f64>,
    sent: BTreeMap<(u16, u64, u32), VecDeque<Duration>>,
}

impl Queue {
    /// How long a planner's clock is learnt for before its orders are looked at.
    const LEARNT: Duration = Duration::from_secs(60);

    pub fn new(head: f64, most_waiting: f64, most_messages: usize, window: Duration) -> Queue {
        Queue {
            head,
            most_waiting,
            most_messages,
            window,
            began: BTreeMap::new(),
            out: VecDeque::new(),
            steps: BTreeMap::new(),
            number: 0,
            waiting: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    pub fn see(&mut self, at: Duration, passed: &Event, pass: &mut Pass) {
        let Event::Ordered { proxy, orders } = passed else { return };
        pass.checked();
        let ordered = Duration::from_micros(orders.created_us);
        let lies = at.saturating_sub(ordered);
        self.began.entry(orders.incarnation).and_modify(|b| *b = (*b).min(lies)).or_insert(lies);
        let lines = |p: &Change| match p {
            Change::BindTable(TableBinding { weights: lines, admission: levels, .. }) => {
                1 + lines.len() + levels.len()
            }
            _ => 1,
        };
        let cost = orders.changes.iter().map(lines).sum::<usize>() as f64 + self.head;
        let (start, stream) = (orders.incarnation, orders.stream);
        self.out.push_back(Out { at, proxy: *proxy, start, stream, given: ordered, cost });
        while let Some(out) = self.out.pop_front_if(|o| at.saturating_sub(o.at) > Self::LEARNT) {
            self.look(out, pass);
        }
        // Nothing that comes later was given so long before.
        self.step(at.saturating_sub(Self::LEARNT * 2), pass);
    }

    fn look(&mut self, out: Out, pass: &mut Pass) {
        let Out { at, proxy, start, stream, given, cost } = out;
        let given = self.began.get(&start).copied().unwrap_or_default() + given;
        // At the same instant what leaves goes first.
        self.number += 2;
        self.steps.insert((given, true, self.number), (start, cost));
        self.steps.insert((at.max(given), false, self.number + 1), (start, cost));
        if self.most_messages == 0 {
            return;
        }
        let list = self.sent.entry((proxy, start, stream)).or_default();
        list.push_back(given);
        while list.front().is_some_and(|t| given.saturating_sub(*t) >= self.window) {
            list.pop_front();
        }
        if list.len() > self.most_messages {
            let what = format!("{} messages to proxy {proxy} within the window", list.len());
            pass.breach(at, what, |p| matches!(p, Event::Ordered { proxy: n, .. } if *n == proxy));
        }
    }

    fn step(&mut self, until: Duration, pass: &mut Pass) {
        while let Some(first) = self.steps.first_entry().filter(|s| s.key().0 < until) {
            let ((at, given, _), (start, cost)) = first.remove_entry();
            let lines = self.waiting.entry(start).or_default();
            *lines += if given { cost } else { -cost };
            if *lines > self.most_waiting {
                let what = format!("{lines:.0} lines wait in the channel; {} may", self.most_waiting);
                pass.breach(at, what, |p| matches!(p, Event::Ordered { .. }));
            }
        }
    }

    pub fn end(&mut self, pass: &mut Pass) {
        for out in std::mem::take(&mut self.out) {
            self.look(out, pass);
        }
        self.step(Duration::MAX, pass);
    }
}
