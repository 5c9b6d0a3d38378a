//! Credit-based flow control: how an agent divides its slots among the entries that use it.
//!
//! An entry keeps the slots that it uses; free slots go to entries with waiting requests first, and
//! the rest is divided evenly. The sum of all credits never exceeds the number of slots, so an
//! agent refuses a request for lack of a slot only if the entry's credit was reduced while the
//! request was in transit. The refusal comes before any part of the request runs.

/// Slots that one entry uses and requests that it has waiting.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EntryDemand {
    /// Slots in use by the entry.
    pub used: u32,
    /// Requests waiting at the entry.
    pub waiting: u32,
}

/// Divides `slots` among entries. Returns the credit of each entry, in the order of the demands:
/// the slots that it uses plus those newly granted.
///
/// Free slots are granted round-robin to entries with waiting requests, and the rest evenly. The
/// rotation starts at `turn`; callers advance it, so that each entry gets the remainder in turn.
/// Linear in slots plus entries.
pub fn share_credits(slots: u32, demands: &[EntryDemand], turn: usize) -> Vec<u32> {
    let mut credits: Vec<u32> = demands.iter().map(|demand| demand.used).collect();
    let used: u32 = credits.iter().sum();
    let mut free = slots.saturating_sub(used);
    if demands.is_empty() {
        return credits;
    }
    let mut unmet: Vec<u32> = demands.iter().map(|demand| demand.waiting).collect();
    let mut cursor = turn % demands.len();
    let mut turns_without_grant = 0;
    while free > 0 && turns_without_grant < demands.len() {
        if unmet[cursor] > 0 {
            unmet[cursor] -= 1;
            credits[cursor] += 1;
            free -= 1;
            turns_without_grant = 0;
        } else {
            turns_without_grant += 1;
        }
        cursor = (cursor + 1) % demands.len();
    }
    let even_share = free / demands.len() as u32;
    let remainder = free as usize % demands.len();
    for (offset, credit) in credits.iter_mut().enumerate() {
        let distance = (offset + demands.len() - cursor) % demands.len();
        *credit += even_share + u32::from(distance < remainder);
    }
    credits
}
