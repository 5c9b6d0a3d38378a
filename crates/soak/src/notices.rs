//! What a stand-in replica says of itself in its answers, once the soak makes it.

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

/// Time for which a replica turns requests away once it is made to.
pub const TURNS_AWAY: Duration = Duration::from_millis(2_500);

/// What it asks for, one after the other: milliseconds that count, and the header's value.
const ASKED: [(Option<u64>, &str); 8] = [
    (Some(1_500), "1.5"),
    (Some(3_000), "3"),
    (Some(0), "0"),
    (Some(700), "0.7"),
    (None, "soon"),
    (Some(6_000), "6"),
    (None, "-2"),
    (Some(2_000), "2.000"),
];

/// Time for which a replica names a limit once it is made to.
pub const NAMES_LIMIT: Duration = Duration::from_millis(9_000);

/// Limits that it names, one time after the other: requests a second that count, and the header's value.
const LIMITS: [(Option<f64>, &str); 6] = [
    (Some(0.5), "0.5"),
    (Some(2.0), "2"),
    (Some(0.0), "0"),
    (Some(1.2), "1.2"),
    (None, "few"),
    (Some(6.2), "6.2"),
];

/// What a replica says of itself at the moment.
#[derive(Clone, Debug, Default)]
pub struct ReplicaNotices {
    turns_away_until: Arc<AtomicU64>,
    asked: Arc<AtomicUsize>,
    is_leaving: Arc<AtomicBool>,
    names_limit_until: Arc<AtomicU64>,
    named: Arc<AtomicUsize>,
}

impl ReplicaNotices {
    /// Hears the soak: SIGUSR1 makes the replica turn requests away for a while, SIGUSR2 makes it say that it is leaving, SIGHUP makes
    /// it name a limit for a while, another one each time.
    ///
    /// # Errors
    ///
    /// Fails where signals are not to be had.
    pub fn listen(&self) -> std::io::Result<()> {
        let mut turn_away = signal(SignalKind::user_defined1())?;
        let mut leave = signal(SignalKind::user_defined2())?;
        let mut limit = signal(SignalKind::hangup())?;
        let notices = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = turn_away.recv() => {
                        let until = now_millis() + TURNS_AWAY.as_millis() as u64;
                        notices.turns_away_until.store(until, Ordering::Relaxed);
                    }
                    _ = leave.recv() => notices.is_leaving.store(true, Ordering::Relaxed),
                    _ = limit.recv() => {
                        let until = now_millis() + NAMES_LIMIT.as_millis() as u64;
                        notices.names_limit_until.store(until, Ordering::Relaxed);
                        notices.named.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
        });
        Ok(())
    }

    /// The answer to a request that is turned away, with the milliseconds that it asks for where that can be read.
    pub fn turn_away(&self, request: &ReceivedRequest) -> Option<(Option<u64>, Reply)> {
        if now_millis() >= self.turns_away_until.load(Ordering::Relaxed) {
            return None;
        }
        let number = self.asked.fetch_add(1, Ordering::Relaxed);
        let (asked, value) = ASKED[number % ASKED.len()];
        Some((asked, with_header(reject(request, 503, None), "Retry-After", value)))
    }

    /// Whether the replica says that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// The limit that the replica names, and how it writes it.
    fn names(&self) -> Option<(Option<f64>, &'static str)> {
        let is_named = now_millis() < self.names_limit_until.load(Ordering::Relaxed);
        let number = self.named.load(Ordering::Relaxed);
        is_named.then(|| LIMITS[number.wrapping_sub(1) % LIMITS.len()])
    }

    /// The limit that the replica names, where that can be read.
    pub fn limit(&self) -> Option<f64> {
        self.names()?.0
    }

    /// Adds to an answer that the replica is leaving, where it is, and the limit that it names.
    pub fn mark(&self, reply: Reply) -> Reply {
        let reply = match self.is_leaving() {
            true => with_header(reply, "Server-Leaving", "1"),
            false => reply,
        };
        match self.names() {
            Some((_, value)) => with_header(reply, "Server-Limit", value),
            None => reply,
        }
    }
}
