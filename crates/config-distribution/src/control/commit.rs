//! Effects of committed log entries.

use super::ControlMachine;
use crate::chain::{Link, Step};
use crate::message::{LogEntry, Message, ProposalKey};
use std::time::Duration;

impl ControlMachine {
    pub(super) fn apply_entry(&mut self, now: Duration, entry: LogEntry) {
        match entry {
            LogEntry::Begin => {}
            LogEntry::Register(relay, start) => {
                self.registered.insert(relay, start);
                if let Some(publisher) = &mut self.publisher {
                    publisher.registered(relay);
                }
            }
            LogEntry::Unregister(relay) => {
                self.registered.remove(&relay);
                if let Some(publisher) = &mut self.publisher {
                    publisher.unregistered(relay);
                }
            }
            LogEntry::Link(link, proposals) => self.apply_link(now, link, proposals),
        }
    }

    fn apply_link(&mut self, now: Duration, link: Link, proposals: Vec<ProposalKey>) {
        let (scope, prepares) = (link.scope, matches!(link.step, Step::Prepare(_)));
        // A leader makes each link from committed state, and only one per scope at a time, so each link follows the one
        // before.
        if self.store.apply(now, link).is_err() {
            return;
        }
        if prepares {
            for key in &proposals {
                let applied = self.applied.entry((key.proposer, scope)).or_default();
                *applied = (*applied).max(key.number);
            }
            self.preparing.insert(scope, proposals);
        } else {
            let activated = self.preparing.remove(&scope).unwrap_or_default();
            self.answer_activated(activated);
        }
        if let Some(publisher) = &mut self.publisher {
            publisher.link_committed(&self.store, scope, prepares);
        }
    }

    fn answer_activated(&mut self, proposals: Vec<ProposalKey>) {
        if self.publisher.is_some() {
            let answer =
                |key: ProposalKey| (key.proposer, Message::Proposed { number: key.number, refused: None });
            self.outbox.extend(proposals.into_iter().map(answer));
        }
    }
}
