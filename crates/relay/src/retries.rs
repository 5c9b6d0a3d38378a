//! Retries of requests, charged to the budget of the service that receives them.
//!
//! A retry is charged when it is decided on, so that requests that fail together do not all count
//! on the same one. It arrives later, perhaps at the replica of another service, if the
//! configuration has changed meanwhile. Before the request is written the charge is therefore
//! checked once more, and renewed if it is old or of another service.
//!
//! A relay whose budget is exhausted asks others for a loan, by datagrams. The retry waits for the
//! answer for a short while.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    budget::{BudgetConfig, RetryBudget},
    loans::{MAX_AMOUNT, loan_lifetime},
};
use tokio::time::timeout;

use crate::{
    counts::count,
    messages::{LoanMessage, PeerMessage},
    state::{Relay, RelayState},
};

/// Longest wait of a retry for a loan, in milliseconds: a few round trips within a region.
const MAX_LOAN_WAIT: Millis = 60;

/// Parts of a retry in the messages about loans.
const MILLION: f64 = 1e6;

/// A retry that is charged to the budget of a service. Dropping it gives the retry back, unless it
/// was sent.
#[derive(Debug)]
pub struct RetryCharge {
    relay: Rc<Relay>,
    service: String,
    charged_at: Millis,
    is_sent: bool,
}

impl RetryCharge {
    /// Charges a retry to the budget of a service, after waiting for a loan of other relays if it is
    /// exhausted. Returns `None` if there is no retry to be had.
    pub async fn obtain(relay: &Rc<Relay>, service: &str) -> Option<Self> {
        let give_up = now_millis() + MAX_LOAN_WAIT;
        relay.with_budget(service, now_millis(), |budget, config, _| {
            budget.record_wanted(config, now_millis());
        });
        let _waiting = LoanWait::begin(relay, service);
        loop {
            if let Some(charge) = Self::take(relay, service) {
                return Some(charge);
            }
            let now = now_millis();
            if now >= give_up || !request_loans(relay, service, now) {
                count(&relay.counts.retries_denied);
                return None;
            }
            let wait = Duration::from_millis(give_up - now);
            let _woken = timeout(wait, relay.loan_notify.notified()).await;
        }
    }

    /// Charges a retry to the budget of a service. Returns `None` if the budget does not allow it.
    fn take(relay: &Rc<Relay>, service: &str) -> Option<Self> {
        let now = now_millis();
        let is_charged = relay
            .with_budget(service, now, |budget, config, share| budget.spend(config, share, now));
        if !is_charged {
            return None;
        }
        count(&relay.counts.retries_charged);
        let (relay, service) = (relay.clone(), service.to_owned());
        Some(Self { relay, service, charged_at: now, is_sent: false })
    }

    /// Returns the charge for a request that is about to be written to a replica of `service`, or
    /// `None` if it had to be renewed and the budget does not allow that.
    pub fn begin_send(self, service: &str) -> Option<Self> {
        let lifetime = self.relay.budget_config().charge_lifetime();
        let is_valid =
            self.service == service && now_millis().saturating_sub(self.charged_at) < lifetime;
        let mut charge = if is_valid { self } else { Self::take(&self.relay.clone(), service)? };
        charge.is_sent = true;
        Some(charge)
    }

    /// Gives the retry back, since no byte of the request was sent.
    pub fn cancel_send(mut self) {
        self.is_sent = false;
    }
}

impl Drop for RetryCharge {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let config = self.relay.budget_config();
        let mut state = self.relay.state.borrow_mut();
        let budget = state.retry_budgets.entry(std::mem::take(&mut self.service)).or_default();
        budget.give_back(&config, self.charged_at);
    }
}

/// Whether a request may be sent once more.
#[derive(Debug)]
pub enum RetryPermit {
    /// No replica has received it yet, so sending it is no retry.
    FirstSend,
    /// It may be sent as a retry.
    Charged(RetryCharge),
    /// The maximum number of attempts or the retry budget does not allow it.
    Denied,
}

impl RetryPermit {
    /// Returns the permit for the next send of a request that replicas of `service` received
    /// `earlier_sends` times. May wait for a loan of other relays.
    pub async fn obtain(relay: &Rc<Relay>, service: &str, earlier_sends: u32) -> Self {
        match earlier_sends {
            0 => Self::FirstSend,
            _ => RetryCharge::obtain(relay, service).await.map_or(Self::Denied, Self::Charged),
        }
    }

    /// Returns whether the request may not be sent again.
    pub fn is_denied(&self) -> bool {
        matches!(self, Self::Denied)
    }

    /// Returns the charge for the retry, if there is one.
    pub fn into_charge(self) -> Option<RetryCharge> {
        match self {
            Self::Charged(charge) => Some(charge),
            Self::FirstSend | Self::Denied => None,
        }
    }
}

/// Registers a retry that waits for a loan. Dropping it ends the wait.
#[derive(Debug)]
struct LoanWait {
    relay: Rc<Relay>,
    service: String,
}

impl LoanWait {
    fn begin(relay: &Rc<Relay>, service: &str) -> Self {
        let mut state = relay.state.borrow_mut();
        state.loan_requests.entry(service.to_owned()).or_default().begin_wait();
        Self { relay: relay.clone(), service: service.to_owned() }
    }
}

impl Drop for LoanWait {
    fn drop(&mut self) {
        if let Some(loans) = self.relay.state.borrow_mut().loan_requests.get_mut(&self.service) {
            loans.end_wait();
        }
    }
}

/// Asks other relays for loans to a service if that is due. Returns whether a loan may still arrive.
pub fn request_loans(relay: &Relay, service: &str, now: Millis) -> bool {
    let lifetime = loan_lifetime(&relay.budget_config());
    let available = relay
        .with_budget(service, now, |budget, config, share| budget.available(config, share, now));
    let mut guard = relay.state.borrow_mut();
    let state = &mut *guard;
    let loans = state.loan_requests.entry(service.to_owned()).or_default();
    let relays = state.peers.known_count();
    let Some((asked, amount)) = loans.begin_round(relays, available, now) else {
        return loans.is_pending(lifetime, now);
    };
    let message = PeerMessage::LoanRequest(LoanMessage {
        name: relay.settings.name.clone(),
        service: service.to_owned(),
        stamp: (relay.incarnation, now),
        millionths: (amount * MILLION).ceil() as u32,
    });
    let datagram = message.encode();
    let peers: Vec<(&str, SocketAddr)> =
        state.peers.others("").map(|(name, address, _)| (name, address)).collect();
    for _ in 0..asked {
        let index = relay.random.borrow_mut().random_range(0..peers.len());
        let (name, address) = peers[index];
        loans.record_sent(name, now);
        // The next round makes up for a lost request.
        let _lost = relay.peer_socket.try_send_to(&datagram, address);
    }
    loans.is_pending(lifetime, now)
}

/// Lends another relay what this one can spare of what it asked for.
pub fn handle_loan_request(relay: &Relay, message: &LoanMessage) {
    let now = now_millis();
    let Some(address) = relay.state.borrow().peers.address(&message.name) else { return };
    let asked = (f64::from(message.millionths) / MILLION).min(MAX_AMOUNT);
    if !is_service(relay, &message.service) {
        return;
    }
    let lent = relay.with_budget(&message.service, now, |budget, config, share| {
        budget.lend(config, share, asked, now)
    });
    let millionths = (lent * MILLION) as u32;
    if millionths == 0 {
        return;
    }
    let answer = PeerMessage::Loan(LoanMessage {
        name: relay.settings.name.clone(),
        millionths,
        ..message.clone()
    });
    // A lost loan remains unused.
    let _lost = relay.peer_socket.try_send_to(&answer.encode(), address);
}

/// Returns whether a service exists, so that messages about others take no memory.
fn is_service(relay: &Relay, service: &str) -> bool {
    relay.config().is_some_and(|config| config.services.contains_key(service))
}

/// Adds a loan of another relay to the budget of its service.
pub fn handle_loan(relay: &Relay, message: &LoanMessage) {
    let now = now_millis();
    let (incarnation, asked_at) = message.stamp;
    if incarnation != relay.incarnation {
        return;
    }
    let config = relay.budget_config();
    {
        let mut guard = relay.state.borrow_mut();
        let state = &mut *guard;
        let Some(loans) = state.loan_requests.get_mut(&message.service) else { return };
        let lifetime = loan_lifetime(&config);
        let Some(expiry) = loans.accept(&message.name, asked_at, lifetime, now) else { return };
        let Some(budget) = state.retry_budgets.get_mut(&message.service) else { return };
        let amount = (f64::from(message.millionths) / MILLION).min(MAX_AMOUNT);
        budget.add_loan(amount, expiry);
    }
    count(&relay.counts.loans_received);
    relay.loan_notify.notify_waiters();
}

fn allowance_fraction(state: &mut RelayState, config: &BudgetConfig, now: Millis) -> f64 {
    let relays = state.peers.known_count() + 1;
    state.allowance_share.record_relays(relays, now);
    state.allowance_share.fraction(config.window, now)
}

impl Relay {
    /// Returns the bounds on retries in force.
    pub fn budget_config(&self) -> BudgetConfig {
        let bounds = self.bounds.borrow();
        BudgetConfig {
            ratio: bounds.retry_ratio,
            allowance: bounds.retry_allowance,
            window: bounds.retry_window(),
        }
    }

    /// Returns the fraction of the retry allowances that this relay holds.
    pub fn allowance_fraction(&self, now: Millis) -> f64 {
        allowance_fraction(&mut self.state.borrow_mut(), &self.budget_config(), now)
    }

    /// Returns whether a service's budget allows a retry.
    pub fn can_retry(&self, service: &str, now: Millis) -> bool {
        self.with_budget(service, now, |budget, config, share| budget.can_retry(config, share, now))
    }

    /// Records a request of a caller in the retry budget of its service.
    pub fn record_request(&self, service: &str, now: Millis) {
        self.with_budget(service, now, |budget, config, _| budget.record_request(config, now));
    }

    fn with_budget<T>(
        &self,
        service: &str,
        now: Millis,
        apply: impl FnOnce(&mut RetryBudget, &BudgetConfig, f64) -> T,
    ) -> T {
        let config = self.budget_config();
        let mut state = self.state.borrow_mut();
        let share = allowance_fraction(&mut state, &config, now);
        apply(state.retry_budgets.entry(service.to_owned()).or_default(), &config, share)
    }
}
