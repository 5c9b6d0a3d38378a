//! Step gates, completion assembly and activation logs under repetition, loss and reordering.

use assert_matches::assert_matches;
use proptest::prelude::*;
use switchfold_core::{
    activation::ActivationLog,
    assembly::CompletionAssembly,
    step::{DropReason, StepDecision, StepGate, StepHeader, StepRefusal},
};

fn header(attempt: u32, first_position: u32, len: u32, resend: u32) -> StepHeader {
    StepHeader { attempt, layer: 8, first_position, len, resend }
}

#[test]
fn gate_decides_on_each_kind_of_step() {
    let mut gate = StepGate::new(8, 2);
    assert_eq!(gate.decide(&header(2, 0, 4, 0)), StepDecision::Run { skip: 0 });
    let table = [
        ("old attempt", header(1, 4, 1, 0), StepDecision::Drop(DropReason::StaleAttempt)),
        ("repeated while it runs", header(2, 0, 4, 6), StepDecision::Drop(DropReason::Repeated)),
        ("gap", header(2, 5, 1, 0), StepDecision::Refuse(StepRefusal::Gap { expected: 4 })),
        ("empty", header(2, 4, 0, 0), StepDecision::Drop(DropReason::Empty)),
        (
            "wrong layer",
            StepHeader { layer: 0, ..header(2, 4, 1, 0) },
            StepDecision::Refuse(StepRefusal::WrongLayer),
        ),
    ];
    for (name, step, expected) in table {
        assert_eq!(gate.decide(&step), expected, "{name}");
    }
    gate.finish();
    assert_eq!(gate.decide(&header(2, 0, 4, 0)), StepDecision::Drop(DropReason::Repeated));
    assert_eq!(gate.decide(&header(3, 0, 4, 1)), StepDecision::ResendOutput);
    assert_eq!(gate.decide(&header(3, 2, 4, 1)), StepDecision::Run { skip: 2 });
    assert_eq!(gate.attempt(), 3);
}

#[test]
fn gate_handles_the_largest_position_without_overflow() {
    let mut gate = StepGate::new(8, 1);
    assert_eq!(gate.decide(&header(1, 0, u32::MAX, 0)), StepDecision::Run { skip: 0 });
    assert_matches!(gate.decide(&header(1, u32::MAX - 1, 5, 0)), StepDecision::Drop(_));
}

proptest! {
    /// For any sequence of steps, the positions that run are 0, 1, 2, … without gaps or
    /// repetitions.
    #[test]
    fn positions_run_once_in_order(
        steps in prop::collection::vec((1_u32..4, 0_u32..12, 1_u32..5, 0_u32..3, any::<bool>()), 1..60)
    ) {
        let mut gate = StepGate::new(8, 1);
        let mut ran = Vec::new();
        for (attempt, first, len, resend, finish) in steps {
            if let StepDecision::Run { skip } = gate.decide(&header(attempt, first, len, resend)) {
                prop_assert!(attempt >= 1);
                ran.extend(first + skip..first + len);
            }
            if finish {
                gate.finish();
            }
        }
        let expected: Vec<u32> = (0..ran.len() as u32).collect();
        prop_assert_eq!(ran, expected);
    }

    /// For any order of arrival, the caller gets each token once, in order.
    #[test]
    fn completions_are_delivered_in_order(
        order in prop::collection::vec(0_u32..20, 0..80),
        total in 1_u32..20,
    ) {
        let mut assembly = CompletionAssembly::new(20);
        let mut delivered = Vec::new();
        for (turn, index) in order.iter().enumerate() {
            delivered.extend_from_slice(assembly.accept(*index, index * 7));
            if turn == 10 {
                assembly.set_total(total);
            }
        }
        let expected: Vec<u32> = (0..delivered.len() as u32).map(|index| index * 7).collect();
        prop_assert_eq!(&delivered, &expected);
        prop_assert_eq!(assembly.delivered(), &expected[..]);
        if assembly.is_complete() {
            prop_assert_eq!(delivered.len() as u32, total);
        }
    }

    /// A log returns all output that was pushed, or `None` if its limit was exceeded.
    #[test]
    fn logs_return_what_was_pushed(lens in prop::collection::vec(1_usize..6, 1..10), limit in 0_usize..200) {
        let mut log = ActivationLog::new(limit);
        let mut all = Vec::new();
        for (round, len) in lens.iter().enumerate() {
            let inputs = vec![round as u32; *len];
            let bytes: Vec<u8> = (0..len * 8).map(|byte| (byte + round) as u8).collect();
            log.push(&inputs, &bytes);
            all.extend_from_slice(&bytes);
            let last = log.last_output().expect("something was pushed");
            prop_assert_eq!(&last.bytes, &bytes);
            prop_assert_eq!(last.first_position as usize, all.len() / 8 - len);
        }
        match log.full_output() {
            Some(span) => prop_assert_eq!(span.bytes, all),
            None => prop_assert!(all.len() > limit),
        }
        prop_assert!(log.byte_len() <= limit.max(5 * 8));
    }
}

#[test]
fn new_attempt_discards_tokens_received_out_of_order() {
    let mut assembly = CompletionAssembly::new(8);
    assert_eq!(assembly.accept(0, 10), [10]);
    assert!(assembly.accept(2, 12).is_empty());
    assembly.discard_pending();
    assert_eq!(assembly.accept(1, 11), [11]);
    assert_eq!(assembly.accept(1, 99), [0; 0]);
    assert_eq!(assembly.counts().duplicates, 1);
}
