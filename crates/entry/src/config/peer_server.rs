//! gRPC server for other entries.

use switchfold_core::id::RequestId;
use switchfold_link::check_token;
use switchfold_proto::peer::{
    ClaimAnswer, ClaimRequest, Digest, DigestAnswer, ObjectPush, OutcomeAnswer, OutcomeRequest,
    PushAnswer, peer_server::Peer,
};
use tonic::{Request, Response, Status};
use xtra::Address;

use super::service::{CompareDigest, ConfigService, Merge, MergeOrigin, copy_from_message};
use crate::{
    claims::{AcquireClaim, ClaimService, claim_locally},
    service::{DispatchService, ReadOutcome},
};

/// Serves pushes, digest exchanges, claims and outcome queries of other entries.
pub struct PeerServer {
    token: String,
    config: Address<ConfigService>,
    dispatch: Address<DispatchService>,
    claims: Address<ClaimService>,
}

impl PeerServer {
    /// Creates a server on the services of this entry. Callers must present `token`.
    pub fn new(
        token: &str,
        config: Address<ConfigService>,
        dispatch: Address<DispatchService>,
        claims: Address<ClaimService>,
    ) -> Self {
        Self { token: token.to_owned(), config, dispatch, claims }
    }
}

fn stopping<E>(_: E) -> Status {
    Status::unavailable("this entry is stopping")
}

#[tonic::async_trait]
impl Peer for PeerServer {
    async fn push(&self, request: Request<ObjectPush>) -> Result<Response<PushAnswer>, Status> {
        check_token(request.metadata(), &self.token)?;
        let push = request.into_inner();
        let copies = push.objects.into_iter().map(copy_from_message).collect();
        let origin = match push.sender.is_empty() {
            true => MergeOrigin::Exchanged,
            false => MergeOrigin::Pushed { root: push.sender },
        };
        let merge = Merge { copies, origin, is_complete: false };
        self.config.send(merge).await.map_err(stopping)?;
        Ok(Response::new(PushAnswer {}))
    }

    async fn exchange(&self, request: Request<Digest>) -> Result<Response<DigestAnswer>, Status> {
        check_token(request.metadata(), &self.token)?;
        let response = self.config.send(CompareDigest(request.into_inner())).await;
        response.map(Response::new).map_err(stopping)
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimAnswer>, Status> {
        check_token(request.metadata(), &self.token)?;
        let state = claim_locally(&self.claims, AcquireClaim::from(request.into_inner())).await;
        Ok(Response::new(state.into()))
    }

    async fn outcome(
        &self,
        request: Request<OutcomeRequest>,
    ) -> Result<Response<OutcomeAnswer>, Status> {
        check_token(request.metadata(), &self.token)?;
        let query = request.into_inner();
        let id = RequestId { incarnation: query.incarnation, counter: query.counter };
        let outcome = self.dispatch.send(ReadOutcome(id)).await.map_err(stopping)?;
        Ok(Response::new(match outcome {
            None => OutcomeAnswer { known: false, outcome: String::new(), reason: String::new() },
            Some(outcome) => OutcomeAnswer {
                known: true,
                outcome: outcome.as_str().to_owned(),
                reason: outcome.reason(),
            },
        }))
    }
}
