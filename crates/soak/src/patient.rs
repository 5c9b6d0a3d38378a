//! Callers that leave a stream once no event has come for a while, rest within the limits of their
//! connections, and send requests in parts.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use switchfold_kernel::clock::epoch_micros;
use tokio::time::sleep;

use crate::{
    caller::{
        CALL_TIMEOUT, CallSpec, CallerConnection, CallerContext, SHARED_PART, connect, make_call,
    },
    pausing::SendPause,
    record::{CallKind, CallRecord, PATIENCE},
    replica::request_body,
    silence::RequestedSilence,
};

/// Range of the pause between two calls of a patient caller, in milliseconds.
const PATIENT_THINK_TIME_MS: std::ops::Range<u64> = 10..250;

/// One in this many calls of a patient caller is sent on a connection that has rested.
const CALLS_PER_REST: u32 = 6;

/// One in this many calls of a patient caller is sent in two parts.
const CALLS_IN_PARTS: u32 = 5;

/// One in this many calls of a patient caller asks for a silence within its response.
const CALLS_PER_SILENCE: u32 = 3;

/// Number of bytes of a request after which it may pause: more than those of its head.
const REQUEST_BYTES: usize = 400;

/// Range of the pause within a request, in milliseconds: well below the limit of heads.
const PART_PAUSE_MS: std::ops::Range<u64> = 50..800;

/// Makes calls as [`run_caller`](crate::caller::run_caller) does, and leaves a stream after [`PATIENCE`] without an event. If
/// `varies`, some requests arrive in parts, on connections that have rested for up to four fifths of
/// their limit, and some ask for a silence within their response.
///
/// # Panics
///
/// Panics if `kinds` is empty.
pub async fn run_patient_caller(
    name: String,
    kinds: &[CallKind],
    varies: bool,
    context: Arc<impl CallerContext>,
    mut random: ChaCha8Rng,
) -> Vec<CallRecord> {
    let mut calls = Vec::new();
    let mut idle: Option<CallerConnection> = None;
    while context.is_running() {
        sleep(Duration::from_millis(random.random_range(PATIENT_THINK_TIME_MS))).await;
        let draw = |random: &mut ChaCha8Rng, one_in: u32| varies && random.random_ratio(1, one_in);
        if idle.is_some() && draw(&mut random, CALLS_PER_REST) {
            let rest = context.idle_limit() * random.random_range(70..80) / 100;
            sleep(Duration::from_micros(rest)).await;
        }
        let kind = kinds[random.random_range(0..kinds.len())];
        let id = format!("{name}x{}", calls.len());
        let key = context.choose_key(&mut random);
        let silence = draw(&mut random, CALLS_PER_SILENCE)
            .then(|| RequestedSilence::draw(&mut random, kind.is_stream()));
        let pause = draw(&mut random, CALLS_IN_PARTS).then(|| SendPause {
            after_bytes: random.random_range(1..REQUEST_BYTES),
            pause: Duration::from_millis(random.random_range(PART_PAUSE_MS)),
        });
        let reusable = idle.take().filter(|connection| connection.sender.is_ready());
        let connected = match reusable {
            Some(connection) => Ok(connection),
            None => connect(context.choose_relay(&mut random)).await,
        };
        let sent_at = epoch_micros();
        let patience = if kind.is_stream() { PATIENCE } else { CALL_TIMEOUT };
        connected.iter().for_each(|connection| connection.next_pause.set(pause));
        let body = request_body(&id);
        let parts = format!("{SHARED_PART}:40,{sent_at:x}:30");
        let spec = CallSpec { silence, kind, id: &id, key: &key, name: &id, body, parts };
        let sending = pause.map_or(Duration::ZERO, |pause| pause.pause);
        let (record, kept) = make_call(connected, &spec, sent_at, patience, sending).await;
        idle = kept.filter(|_| !context.opens_connections());
        calls.push(record);
    }
    calls
}
