//! Notices that a stand-in replica sends in response headers, switched on by signals of the soak.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use switchfold_kernel::clock::now_millis;
use switchfold_platform_standin::{ReceivedRequest, Reply, reject, with_header};
use tokio::signal::unix::{SignalKind, signal};

/// Time for which a replica rejects requests after SIGUSR1.
pub const REJECT_DURATION: Duration = Duration::from_millis(2_500);

/// Values of `Retry-After`, used in turn: the milliseconds that relays should read from them
/// (`None` if malformed), and the header value.
const RETRY_AFTER_VALUES: [(Option<u64>, &str); 8] = [
    (Some(1_500), "1.5"),
    (Some(3_000), "3"),
    (Some(0), "0"),
    (Some(700), "0.7"),
    (None, "soon"),
    (Some(6_000), "6"),
    (None, "-2"),
    (Some(2_000), "2.000"),
];

/// Time for which a replica sends a limit after SIGHUP.
pub const LIMIT_DURATION: Duration = Duration::from_millis(9_000);

/// Values of `Server-Limit`, used in turn: the requests a second that relays should read from them
/// (`None` if malformed), and the header value.
const LIMIT_VALUES: [(Option<f64>, &str); 6] = [
    (Some(0.5), "0.5"),
    (Some(2.0), "2"),
    (Some(0.0), "0"),
    (Some(1.2), "1.2"),
    (None, "few"),
    (Some(6.2), "6.2"),
];

/// The notices that a replica currently sends.
#[derive(Clone, Debug, Default)]
pub struct ReplicaNotices {
    rejects_until: Arc<AtomicU64>,
    reject_count: Arc<AtomicUsize>,
    is_leaving: Arc<AtomicBool>,
    limited_until: Arc<AtomicU64>,
    limit_count: Arc<AtomicUsize>,
}

impl ReplicaNotices {
    /// Starts to listen for signals of the soak. SIGUSR1 makes the replica reject requests for
    /// [`REJECT_DURATION`], SIGUSR2 makes it send `Server-Leaving`, and SIGHUP makes it send the
    /// next limit for [`LIMIT_DURATION`].
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub fn listen(&self) -> std::io::Result<()> {
        let mut reject_signal = signal(SignalKind::user_defined1())?;
        let mut leave_signal = signal(SignalKind::user_defined2())?;
        let mut limit_signal = signal(SignalKind::hangup())?;
        let notices = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = reject_signal.recv() => {
                        let until = now_millis() + REJECT_DURATION.as_millis() as u64;
                        notices.rejects_until.store(until, Ordering::Relaxed);
                    }
                    _ = leave_signal.recv() => notices.is_leaving.store(true, Ordering::Relaxed),
                    _ = limit_signal.recv() => {
                        let until = now_millis() + LIMIT_DURATION.as_millis() as u64;
                        notices.limited_until.store(until, Ordering::Relaxed);
                        notices.limit_count.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
        });
        Ok(())
    }

    /// Returns the response to a request that is rejected and the milliseconds in its `Retry-After`
    /// header (`None` if malformed), or `None` if the replica does not reject requests now.
    pub fn reject_request(&self, request: &ReceivedRequest) -> Option<(Option<u64>, Reply)> {
        if now_millis() >= self.rejects_until.load(Ordering::Relaxed) {
            return None;
        }
        let number = self.reject_count.fetch_add(1, Ordering::Relaxed);
        let (wait_ms, header_value) = RETRY_AFTER_VALUES[number % RETRY_AFTER_VALUES.len()];
        Some((wait_ms, with_header(reject(request, 503, None), "Retry-After", header_value)))
    }

    /// Whether responses say that the replica is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// The current limit in requests a second (`None` if malformed) and its header value.
    fn current_limit(&self) -> Option<(Option<f64>, &'static str)> {
        let is_limited = now_millis() < self.limited_until.load(Ordering::Relaxed);
        let number = self.limit_count.load(Ordering::Relaxed);
        is_limited.then(|| LIMIT_VALUES[number.wrapping_sub(1) % LIMIT_VALUES.len()])
    }

    /// The current limit in requests a second; `None` if there is none or it is malformed.
    pub fn limit(&self) -> Option<f64> {
        self.current_limit()?.0
    }

    /// Adds the headers `Server-Leaving` and `Server-Limit` to a response, where they apply.
    pub fn add_headers(&self, reply: Reply) -> Reply {
        let reply = match self.is_leaving() {
            true => with_header(reply, "Server-Leaving", "1"),
            false => reply,
        };
        match self.current_limit() {
            Some((_, header_value)) => with_header(reply, "Server-Limit", header_value),
            None => reply,
        }
    }
}
