//! Tests of how many bytes of responses a relay buffers.

use proptest::prelude::*;
use switchfold_router::buffers::{BufferLedger, FREE_BYTES, LengthKind};

/// Size of a response that must pass if it is alone, in bytes.
const LARGEST: usize = 16 << 20;

/// Bytes that all responses together may count, in bytes.
const MOST_COUNTED: usize = 40 << 20;

fn length_kind() -> impl Strategy<Value = LengthKind> {
    prop_oneof![Just(LengthKind::Declared), Just(LengthKind::Open)]
}

proptest! {
    /// Guards against responses that together took all memory of a relay, each of them within the
    /// limit of a single one.
    #[test]
    fn all_responses_together_are_bounded(
        steps in prop::collection::vec((0..200usize, length_kind(), 0..LARGEST), 1..600),
    ) {
        let mut ledger = BufferLedger::default();
        let mut held = [[0_usize; 2]; 200];
        for (number, kind, wanted) in steps {
            let size = &mut held[number][usize::from(kind == LengthKind::Open)];
            let is_allowed = ledger.resize(kind, *size, wanted);
            prop_assert!(is_allowed || wanted > *size);
            prop_assert!(is_allowed || wanted > FREE_BYTES);
            if is_allowed {
                *size = wanted;
            }
            let counted: usize =
                held.iter().flatten().map(|size| size.saturating_sub(FREE_BYTES)).sum();
            prop_assert_eq!(ledger.counted_bytes(), counted);
            prop_assert!(counted <= MOST_COUNTED);
        }
        for (number, kind) in (0..200).flat_map(|number| [(number, 0), (number, 1)]) {
            let length_kind = [LengthKind::Declared, LengthKind::Open][kind];
            prop_assert!(ledger.resize(length_kind, held[number][kind], 0));
        }
        prop_assert_eq!(ledger.counted_bytes(), 0);
    }
}

#[test]
fn a_large_response_passes_alone() {
    for kind in [LengthKind::Declared, LengthKind::Open] {
        assert!(BufferLedger::default().resize(kind, 0, LARGEST));
    }
}

/// Responses without end do not take the room of those that declare their length, and leave some to
/// others of their kind.
#[test]
fn endless_responses_leave_room_for_others() {
    let mut ledger = BufferLedger::default();
    let mut held = [0; 100];
    let mut has_grown = true;
    while has_grown {
        has_grown = false;
        for size in &mut held {
            if ledger.resize(LengthKind::Open, *size, *size + 16_384) {
                *size += 16_384;
                has_grown = true;
            }
        }
    }
    assert!(ledger.resize(LengthKind::Open, 0, 40 << 10));
    assert!(ledger.resize(LengthKind::Declared, 0, LARGEST));
}
