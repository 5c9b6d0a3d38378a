//! Tests of what follows from the outcome of an attempt.

use assert_matches::assert_matches;
use proptest::prelude::*;
use switchfold_router::attempt::{
    AttemptEnd, AttemptState, NextStep, decide_next, promises_not_run,
};

const fn state(repeatable: bool, may_have_run: bool, can_repeat: bool) -> AttemptState {
    AttemptState { repeatable, may_have_run, can_repeat }
}

#[test]
fn next_step_by_outcome() {
    use AttemptEnd::{Answered, Broken, NotSent, Rejected};
    use NextStep::{AnswerNotRun, AnswerUnknown, PassOn, TryElsewhere};
    let rows = [
        // repeatable, may have run, can repeat, end -> next
        (false, false, true, NotSent, TryElsewhere),
        (false, false, true, Rejected, TryElsewhere),
        (false, false, false, NotSent, AnswerNotRun),
        (false, false, false, Rejected, AnswerNotRun),
        (false, false, true, Broken, AnswerUnknown),
        (false, true, true, Rejected, AnswerUnknown),
        (false, false, true, Answered(200), PassOn),
        (false, false, true, Answered(500), PassOn),
        (false, false, true, Answered(504), PassOn),
        (false, false, true, Answered(503), AnswerUnknown),
        (false, false, true, Answered(429), AnswerUnknown),
        (true, false, true, Answered(500), TryElsewhere),
        (true, false, false, Answered(500), PassOn),
        (true, false, true, Answered(404), PassOn),
        (true, false, true, Broken, TryElsewhere),
        (true, true, true, Rejected, TryElsewhere),
        (true, true, false, Rejected, AnswerUnknown),
        (true, false, false, Broken, AnswerUnknown),
    ];
    for (repeatable, may_have_run, can_repeat, end, next) in rows {
        let state = state(repeatable, may_have_run, can_repeat);
        assert_eq!(decide_next(state, end), next, "{state:?} {end:?}");
    }
}

fn outcome() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::NotSent),
        Just(AttemptEnd::Rejected),
        Just(AttemptEnd::Broken),
        (200u16..600).prop_map(AttemptEnd::Answered),
    ]
}

fn counts_as_run(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Answered(_) | AttemptEnd::Broken)
}

proptest! {
    /// In any sequence of attempts, a request that may not be repeated is not sent again after an
    /// attempt that may have run it, and the caller is told "not run" only if no attempt may have
    /// run it.
    #[test]
    fn unrepeatable_requests_run_at_most_once(
        repeatable: bool,
        can_repeat in prop::collection::vec(any::<bool>(), 8),
        outcomes in prop::collection::vec(outcome(), 8),
    ) {
        let mut may_have_run = false;
        for (end, can_repeat) in outcomes.into_iter().zip(can_repeat) {
            let next = decide_next(AttemptState { repeatable, may_have_run, can_repeat }, end);
            may_have_run |= counts_as_run(end);
            match next {
                NextStep::TryElsewhere => prop_assert!(repeatable || !may_have_run),
                NextStep::AnswerNotRun => prop_assert!(!may_have_run),
                NextStep::PassOn => {
                    assert_matches!(end, AttemptEnd::Answered(status) if !promises_not_run(status));
                }
                NextStep::AnswerUnknown => {}
            }
            if next != NextStep::TryElsewhere {
                break;
            }
        }
    }
}
