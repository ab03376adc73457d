//! The check of a fencing token before an effect.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_singleton_tasks::*;
use rstest::rstest;

#[rstest]
fn fence_applies_each_step_once_and_rejects_stale_tokens() {
    let token = |number| FencingToken { term: 1, number };
    let mut fence = Fence::default();
    assert_eq!(fence.admit(token(2), 1), FenceDecision::Apply);
    assert_eq!(fence.admit(token(1), 2), FenceDecision::Stale(token(2)));
    assert_eq!(fence.admit(token(3), 1), FenceDecision::AlreadyApplied);
    assert_eq!(fence.admit(token(3), 3), FenceDecision::StepsMissing);
    assert_eq!(fence.admit(token(3), 2), FenceDecision::Apply);
}
