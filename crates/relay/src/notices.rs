//! What replicas say of themselves in their answers: that they want no requests for a time, or that they are leaving.

use std::net::SocketAddr;

use http::StatusCode;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::headers::{AnswerMarks, RetryAfter};
use switchfold_router::life::ReplicaLife;

use crate::{counts::count, state::Relay};

/// Hears what an answer of a replica says of that replica.
pub fn hear_notices(relay: &Relay, life: &ReplicaLife, status: StatusCode, marks: &AnswerMarks) {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        hear_backoff(relay, life, marks);
    }
    if marks.is_leaving {
        count(&relay.counts.leaving_told);
        tracing::info!(event = "leaving-told", replica = %life, status = status.as_u16());
    }
}

/// Hears what an answer says of the replica that is listed at an address.
pub fn hear_notices_at(
    relay: &Relay,
    address: SocketAddr,
    status: StatusCode,
    marks: &AnswerMarks,
) {
    let life = relay.beliefs.borrow().fleet.view.at(address).map(|replica| replica.life.clone());
    if let Some(life) = life {
        hear_notices(relay, &life, status, marks);
    }
}

fn hear_backoff(relay: &Relay, life: &ReplicaLife, marks: &AnswerMarks) {
    match &marks.retry_after {
        Some(RetryAfter::Millis(asked)) => {
            count(&relay.counts.backoffs_asked);
            relay.beliefs.borrow_mut().backoffs.note(life, *asked, now_millis());
            tracing::info!(event = "backoff-asked", replica = %life, asked);
        }
        Some(RetryAfter::Unreadable(value)) => {
            tracing::warn!(event = "backoff-unreadable", replica = %life, value);
        }
        None => {}
    }
}
