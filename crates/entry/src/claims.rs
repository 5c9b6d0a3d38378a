//! Claims of keys that callers send again.
//!
//! The keys of some milliseconds are claimed together, in one conditional write for each shard: while
//! a write is under way the next group gathers, so the store's writes do not grow with the requests.
//! Each shard has a home entry, to which the others send their claims; the home only saves conflicts,
//! the conditional write is what makes claims safe. See [`switchfold_core::claim`].

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

/// How long the first claim of a group waits for others.
const GROUP_WAIT: Duration = Duration::from_millis(5);

/// Least time between two writes of one shard: bounds the writes a second at the store.
const WRITE_EVERY: Duration = Duration::from_millis(125);

/// Claims in one group.
const MOST_IN_GROUP: usize = 1_000;

/// Wait after the store failed.
const FAILURE_WAIT: Duration = Duration::from_millis(50);

/// Makes claims for this entry and, as the home of shards, for others.
#[derive(Actor)]
pub struct ClaimService {
    store: StoreClient,
    shards: HashMap<u64, mpsc::UnboundedSender<PendingClaim>>,
}

/// Asks for a claim at this entry.
#[derive(Clone, Debug)]
pub struct AcquireClaim {
    /// The claim.
    pub proposal: ClaimProposal,
    /// How long to try.
    pub timeout: Duration,
}

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The request holds it.
    Granted,
    /// Another one holds it.
    Held(ClaimHolder),
    /// The store gave no answer in time.
    Unavailable,
}

#[derive(Debug)]
struct PendingClaim {
    proposal: ClaimProposal,
    until: Instant,
    answer: oneshot::Sender<ClaimState>,
}

impl ClaimService {
    /// Makes the service of an entry.
    pub fn new(store: StoreClient) -> Self {
        Self { store, shards: HashMap::new() }
    }

    fn shard(&mut self, number: u64) -> &mpsc::UnboundedSender<PendingClaim> {
        let store = &self.store;
        self.shards.entry(number).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let keeper = ShardKeeper {
                number,
                shard: ClaimShard::new(),
                store: store.clone(),
                loaded: false,
            };
            tokio::spawn(keeper.run(receiver));
            sender
        })
    }
}

/// Puts a claim among those of its shard; the answer comes later.
struct EnqueueClaim(AcquireClaim);

impl Handler<EnqueueClaim> for ClaimService {
    type Return = oneshot::Receiver<ClaimState>;

    async fn handle(&mut self, message: EnqueueClaim, _: &mut Context<Self>) -> Self::Return {
        let (answer, receiver) = oneshot::channel();
        let AcquireClaim { proposal, timeout } = message.0;
        let number = proposal.key.shard();
        let pending = PendingClaim { proposal, until: Instant::now() + timeout, answer };
        let _keeper_lives_with_service = self.shard(number).send(pending);
        receiver
    }
}

/// Makes a claim at this entry.
pub async fn claim_locally(claims: &Address<ClaimService>, claim: AcquireClaim) -> ClaimState {
    match claims.send(EnqueueClaim(claim)).await {
        Ok(receiver) => receiver.await.unwrap_or(ClaimState::Unavailable),
        Err(_) => ClaimState::Unavailable,
    }
}

/// Makes a claim at the home of its shard, or here where the home is this entry or out of reach.
///
/// Both ways are safe: a claim made here and one made at the home meet in the conditional write.
pub async fn claim_at_owner(
    directory: &PeerDirectory,
    own_name: &str,
    claims: &Address<ClaimService>,
    claim: AcquireClaim,
) -> ClaimState {
    let others = directory.others();
    let names = others.iter().map(|peer| peer.name.as_str()).chain([own_name]);
    let shard = format!("claims-{}", claim.proposal.key.shard());
    let home = rendezvous_owner(&shard, names).unwrap_or(own_name);
    let Some(peer) = others.iter().find(|peer| peer.name == home) else {
        return claim_locally(claims, claim).await;
    };
    let request = claim_request(&claim);
    let answered = async {
        let mut client = directory.client(&peer.address).await?;
        client.claim(request).await.ok().map(|answer| answer.into_inner())
    };
    match timeout(claim.timeout, answered).await {
        Ok(Some(answer)) => claim_state(answer),
        Ok(None) => {
            directory.forget(&peer.address);
            claim_locally(claims, claim).await
        }
        Err(_) => ClaimState::Unavailable,
    }
}

fn claim_request(claim: &AcquireClaim) -> ClaimRequest {
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

fn claim_state(answer: ClaimAnswer) -> ClaimState {
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
        let mut answer = Self {
            granted: false,
            incarnation: 0,
            counter: 0,
            unavailable: false,
            entry: String::new(),
        };
        match state {
            ClaimState::Granted => answer.granted = true,
            ClaimState::Unavailable => answer.unavailable = true,
            ClaimState::Held(holder) => {
                answer.incarnation = holder.request.incarnation;
                answer.counter = holder.request.counter;
                answer.entry = holder.entry;
            }
        }
        answer
    }
}

/// Does the claims of one shard, a group at a time.
struct ShardKeeper {
    number: u64,
    shard: ClaimShard,
    store: StoreClient,
    loaded: bool,
}

impl ShardKeeper {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<PendingClaim>) {
        while let Some(first) = queue.recv().await {
            sleep(GROUP_WAIT).await;
            let mut group = vec![first];
            while group.len() < MOST_IN_GROUP {
                match queue.try_recv() {
                    Ok(pending) => group.push(pending),
                    Err(_) => break,
                }
            }
            let started = Instant::now();
            self.settle(group).await;
            tokio::time::sleep_until(started + WRITE_EVERY).await;
        }
    }

    /// Tries until every claim of the group is answered.
    async fn settle(&mut self, mut group: Vec<PendingClaim>) {
        while !group.is_empty() {
            if let Err(error) = self.try_once(&group).await {
                log::debug!("claims={} error={error:?}", self.number);
                // Whatever happened, the store knows: read before the next try.
                self.loaded = false;
                group = give_up_late(group);
                sleep(FAILURE_WAIT).await;
                continue;
            }
            for pending in std::mem::take(&mut group) {
                let state = match self.shard.holder(pending.proposal.key) {
                    Some(holder) if holder.request == pending.proposal.request => {
                        ClaimState::Granted
                    }
                    Some(holder) => ClaimState::Held(holder),
                    None => ClaimState::Unavailable,
                };
                let _asker_may_have_gone = pending.answer.send(state);
            }
        }
    }

    async fn try_once(&mut self, group: &[PendingClaim]) -> Result<(), StoreError> {
        if !self.loaded {
            self.load().await?;
        }
        let proposals: Vec<ClaimProposal> =
            group.iter().map(|pending| pending.proposal.clone()).collect();
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

    /// Reads the last known segment again, and those that follow.
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

/// Answers those whose time is up, and keeps the others.
fn give_up_late(group: Vec<PendingClaim>) -> Vec<PendingClaim> {
    let now = Instant::now();
    let (waiting, late): (Vec<_>, Vec<_>) =
        group.into_iter().partition(|pending| pending.until > now);
    for pending in late {
        let _asker_may_have_gone = pending.answer.send(ClaimState::Unavailable);
    }
    waiting
}
