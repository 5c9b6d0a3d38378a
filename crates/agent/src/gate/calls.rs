//! Admission and outcomes of calls of plain services.

use switchfold_core::id::RequestId;
use switchfold_proto::link::{self, RefusalReason, message::Body};

use super::{
    GateEndpoint, GateState,
    action::{EntryKey, GateAction, ServiceCall},
};

/// Outcome of a service call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The service sent a complete response.
    Responded {
        /// HTTP status code.
        status: u32,
        /// Response headers.
        headers: Vec<link::Header>,
        /// Response body.
        body: bytes::Bytes,
    },
    /// The call was not sent, as no connection could be made or the request was malformed.
    NotSent,
    /// The call was sent, but no complete response arrived. The service may have run it.
    Unknown,
}

impl GateState {
    pub(super) fn on_call(&mut self, entry: &EntryKey, call: link::Call) -> Vec<GateAction> {
        let Some(id) = call.request.map(RequestId::from) else {
            return self.unexpected();
        };
        if let Err(reason) = self.admit_call(id, &call) {
            self.counts.refused += 1;
            if reason == RefusalReason::Draining {
                self.counts.refused_draining += 1;
            }
            return vec![self.call_refusal(entry, id, call.attempt, reason)];
        }
        self.counts.admitted += 1;
        self.calls.insert(id, entry.clone());
        vec![GateAction::CallService(ServiceCall {
            request: id,
            attempt: call.attempt,
            entry: entry.clone(),
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
        })]
    }

    /// Handles the end of a call: reports its outcome to the entry that sent it.
    pub fn on_call_outcome(&mut self, call: &ServiceCall, outcome: CallOutcome) -> Vec<GateAction> {
        self.calls.remove(&call.request);
        self.ledger.finish(call.request);
        let action = match outcome {
            CallOutcome::Responded { status, headers, body } => {
                let answer = link::CallAnswer {
                    request: Some(call.request.into()),
                    attempt: call.attempt,
                    status,
                    headers,
                    body,
                };
                GateAction::to_entry(&call.entry, Body::CallAnswer(answer))
            }
            CallOutcome::NotSent => {
                let reason = RefusalReason::EndpointUnreached;
                self.call_refusal(&call.entry, call.request, call.attempt, reason)
            }
            CallOutcome::Unknown => {
                let reason = RefusalReason::EndpointFailed;
                self.call_refusal(&call.entry, call.request, call.attempt, reason)
            }
        };
        vec![action]
    }

    fn admit_call(&mut self, id: RequestId, call: &link::Call) -> Result<(), RefusalReason> {
        match &self.config.endpoint {
            GateEndpoint::Service { name, .. } if *name == call.service => {}
            _ => return Err(RefusalReason::WrongModel),
        }
        let slots = self.config.unreserved_slots();
        self.admit(id, call.attempt, call.once, slots)
    }

    fn call_refusal(
        &self,
        entry: &EntryKey,
        id: RequestId,
        attempt: u32,
        reason: RefusalReason,
    ) -> GateAction {
        let about = self.config.address.clone();
        let refusal =
            link::Refusal { request: Some(id.into()), attempt, reason: reason.into(), about };
        GateAction::to_entry(entry, Body::Refusal(refusal))
    }
}
