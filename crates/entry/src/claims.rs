//! Claims on idempotency keys, so that a repeated request runs at most once.
//!
//! Claims that arrive within a few milliseconds are batched into one conditional write per shard.
//! The next batch collects while a write is in progress, so the rate of writes at the store does
//! not grow with the rate of requests. Each shard has an owner among the entries, chosen by
//! rendezvous hashing, to which the other entries send their claims. The owner only avoids write
//! conflicts; safety comes from the conditional write alone. See [`switchfold_core::claim`].

use std::{collections::HashMap, time::Duration};

use switchfold_core::{
    claim::{ClaimHolder, ClaimKey, ClaimProposal, ClaimSegment, ClaimShard, ClaimWrite},
    config::{CLAIM_KIND, render_object},
    id::RequestId,
    subset::rendezvous_owner,
    version::ObjectKey,
};
use switchfold_kernel::{clock::epoch_millis, registry::ServiceName};
use switchfold_proto::peer::{ClaimAnswer, ClaimRequest};
use switchfold_store::{StoreClient, StoreError};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout},
};
use xtra::{Actor, Address, Context, Handler};

use crate::config::PeerDirectory;

/// Name of the service in the entry's registry.
pub const CLAIMS: ServiceName = ServiceName("claims");

/// Time for which the first claim of a batch waits for more.
const BATCH_WINDOW: Duration = Duration::from_millis(5);

/// Least time between the starts of two batches of a shard. Bounds the rate of writes at the store.
const WRITE_INTERVAL: Duration = Duration::from_millis(125);

/// Largest number of claims in one batch.
const MAX_BATCH_SIZE: usize = 1_000;

/// Pause after a failed call to the store, before the next attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Acquires claims for this entry and, for the shards that it owns, for other entries.
#[derive(Actor)]
pub struct ClaimService {
    store: StoreClient,
    shards: HashMap<u64, mpsc::UnboundedSender<PendingClaim>>,
}

/// Acquires a claim.
#[derive(Clone, Debug)]
pub struct AcquireClaim {
    /// Key, request and entry of the claim.
    pub proposal: ClaimProposal,
    /// Time for which to retry if the store or the owner of the shard does not respond.
    pub timeout: Duration,
}

/// Result of an attempt to acquire a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The request holds the claim.
    Granted,
    /// Another request holds the claim.
    Held(ClaimHolder),
    /// The store or the owner of the shard did not respond in time. The claim may still be granted
    /// by a write whose response was lost.
    Unavailable,
}

/// A claim that waits for its batch.
#[derive(Debug)]
struct PendingClaim {
    proposal: ClaimProposal,
    deadline: Instant,
    result: oneshot::Sender<ClaimState>,
}

impl ClaimService {
    /// Creates a service without any shards; each shard is loaded when its first claim arrives.
    pub fn new(store: StoreClient) -> Self {
        Self { store, shards: HashMap::new() }
    }

    fn shard(&mut self, number: u64) -> &mpsc::UnboundedSender<PendingClaim> {
        let store = &self.store;
        self.shards.entry(number).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let worker = ShardWorker {
                number,
                shard: ClaimShard::new(),
                store: store.clone(),
                loaded: false,
            };
            tokio::spawn(worker.run(receiver));
            sender
        })
    }
}

/// Queues a claim for its shard and returns the receiver of its result.
struct EnqueueClaim(AcquireClaim);

impl Handler<EnqueueClaim> for ClaimService {
    type Return = oneshot::Receiver<ClaimState>;

    async fn handle(&mut self, message: EnqueueClaim, _: &mut Context<Self>) -> Self::Return {
        let (result, receiver) = oneshot::channel();
        let AcquireClaim { proposal, timeout } = message.0;
        let number = proposal.key.shard();
        let pending = PendingClaim { proposal, deadline: Instant::now() + timeout, result };
        let _worker_runs_until_sender_drops = self.shard(number).send(pending);
        receiver
    }
}

/// Acquires a claim at this entry, whether or not it owns the shard.
pub async fn claim_locally(claims: &Address<ClaimService>, claim: AcquireClaim) -> ClaimState {
    match claims.send(EnqueueClaim(claim)).await {
        Ok(receiver) => receiver.await.unwrap_or(ClaimState::Unavailable),
        Err(_) => ClaimState::Unavailable,
    }
}

/// Acquires a claim at the owner of its shard, or at this entry if it is the owner or the owner
/// cannot be reached.
///
/// Both are safe: of concurrent claims at this entry and at the owner, the conditional write lets
/// only one succeed.
pub async fn claim_at_owner(
    directory: &PeerDirectory,
    own_name: &str,
    claims: &Address<ClaimService>,
    claim: AcquireClaim,
) -> ClaimState {
    let others = directory.others();
    let names = others.iter().map(|peer| peer.name.as_str()).chain([own_name]);
    let shard = format!("claims-{}", claim.proposal.key.shard());
    let owner = rendezvous_owner(&shard, names).unwrap_or(own_name);
    let Some(peer) = others.iter().find(|peer| peer.name == owner) else {
        return claim_locally(claims, claim).await;
    };
    let request = claim_to_message(&claim);
    let response = async {
        let mut client = directory.client(&peer.address).await?;
        client.claim(request).await.ok().map(|answer| answer.into_inner())
    };
    match timeout(claim.timeout, response).await {
        Ok(Some(answer)) => state_from_message(answer),
        Ok(None) => {
            directory.drop_channel(&peer.address);
            claim_locally(claims, claim).await
        }
        Err(_) => ClaimState::Unavailable,
    }
}

fn claim_to_message(claim: &AcquireClaim) -> ClaimRequest {
    let replaces = claim.proposal.replaces;
    let (high, low) = claim.proposal.key.halves();
    ClaimRequest {
        key_high: high,
        key_low: low,
        incarnation: claim.proposal.request.incarnation,
        counter: claim.proposal.request.counter,
        timeout_millis: claim.timeout.as_millis() as u32,
        entry: claim.proposal.entry.clone(),
        replaces: replaces.is_some(),
        replaces_incarnation: replaces.map_or(0, |id| id.incarnation),
        replaces_counter: replaces.map_or(0, |id| id.counter),
    }
}

fn state_from_message(answer: ClaimAnswer) -> ClaimState {
    if answer.granted {
        return ClaimState::Granted;
    }
    if answer.unavailable {
        return ClaimState::Unavailable;
    }
    let request = RequestId { incarnation: answer.incarnation, counter: answer.counter };
    ClaimState::Held(ClaimHolder { request, entry: answer.entry })
}

impl From<ClaimRequest> for AcquireClaim {
    fn from(request: ClaimRequest) -> Self {
        let replaced = RequestId {
            incarnation: request.replaces_incarnation,
            counter: request.replaces_counter,
        };
        Self {
            proposal: ClaimProposal {
                key: ClaimKey::from_halves(request.key_high, request.key_low),
                request: RequestId { incarnation: request.incarnation, counter: request.counter },
                entry: request.entry,
                replaces: request.replaces.then_some(replaced),
            },
            timeout: Duration::from_millis(request.timeout_millis.into()),
        }
    }
}

impl From<ClaimState> for ClaimAnswer {
    fn from(state: ClaimState) -> Self {
        let mut message = Self {
            granted: false,
            incarnation: 0,
            counter: 0,
            unavailable: false,
            entry: String::new(),
        };
        match state {
            ClaimState::Granted => message.granted = true,
            ClaimState::Unavailable => message.unavailable = true,
            ClaimState::Held(holder) => {
                message.incarnation = holder.request.incarnation;
                message.counter = holder.request.counter;
                message.entry = holder.entry;
            }
        }
        message
    }
}

/// Processes the claims of one shard, one batch at a time.
struct ShardWorker {
    number: u64,
    shard: ClaimShard,
    store: StoreClient,
    /// Whether `shard` was read from the store since the last failed call.
    loaded: bool,
}

impl ShardWorker {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<PendingClaim>) {
        while let Some(first) = queue.recv().await {
            sleep(BATCH_WINDOW).await;
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH_SIZE {
                match queue.try_recv() {
                    Ok(pending) => batch.push(pending),
                    Err(_) => break,
                }
            }
            let started = Instant::now();
            self.process_batch(batch).await;
            tokio::time::sleep_until(started + WRITE_INTERVAL).await;
        }
    }

    /// Retries until every claim of the batch has its result or has expired.
    async fn process_batch(&mut self, mut batch: Vec<PendingClaim>) {
        while !batch.is_empty() {
            if let Err(error) = self.write_batch(&batch).await {
                log::debug!("claims={} error={error:?}", self.number);
                // The write may have taken effect all the same: reload before the next attempt.
                self.loaded = false;
                batch = expire_claims(batch);
                sleep(RETRY_PAUSE).await;
                continue;
            }
            for pending in std::mem::take(&mut batch) {
                let state = match self.shard.holder(pending.proposal.key) {
                    Some(holder) if holder.request == pending.proposal.request => {
                        ClaimState::Granted
                    }
                    Some(holder) => ClaimState::Held(holder),
                    None => ClaimState::Unavailable,
                };
                let _caller_may_have_disconnected = pending.result.send(state);
            }
        }
    }

    /// Writes the claims of a batch that are new, in one conditional write.
    async fn write_batch(&mut self, batch: &[PendingClaim]) -> Result<(), StoreError> {
        if !self.loaded {
            self.load().await?;
        }
        let proposals: Vec<ClaimProposal> =
            batch.iter().map(|pending| pending.proposal.clone()).collect();
        let Some(write) = self.shard.plan(&proposals, epoch_millis()) else {
            return Ok(());
        };
        self.write(write).await
    }

    async fn write(&mut self, write: ClaimWrite) -> Result<(), StoreError> {
        let key = self.segment_key(write.segment_number);
        let value = render_object(&write.segment);
        let version = self.store.write(&key, write.expected, &value).await?;
        self.shard.apply_write(write, version);
        Ok(())
    }

    /// Reads the last known segment again, and all segments after it.
    async fn load(&mut self) -> Result<(), StoreError> {
        loop {
            let key = self.segment_key(self.shard.segment_number());
            let stored = self.store.read(&key).await?;
            let segment = match stored.value {
                None => ClaimSegment::default(),
                Some(value) => serde_json::from_slice(&value)
                    .map_err(|error| StoreError::Malformed { detail: error.to_string() })?,
            };
            if !self.shard.apply_segment(stored.version, segment) {
                self.loaded = true;
                return Ok(());
            }
        }
    }

    fn segment_key(&self, segment: u32) -> ObjectKey {
        ObjectKey::new(CLAIM_KIND, format!("{}-{segment}", self.number))
    }
}

/// Ends the claims whose deadline has passed as unavailable, and returns the others.
fn expire_claims(batch: Vec<PendingClaim>) -> Vec<PendingClaim> {
    let now = Instant::now();
    let (waiting, expired): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(|pending| pending.deadline > now);
    for pending in expired {
        let _caller_may_have_disconnected = pending.result.send(ClaimState::Unavailable);
    }
    waiting
}
