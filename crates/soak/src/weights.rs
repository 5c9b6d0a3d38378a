//! The store that engines load layers from. It is shared: once more loads run than at full speed, all
//! of them become slower in proportion.
//!
//! An engine opens a connection, sends the number of layers as a line, and has loaded them when the
//! connection is closed. A load ends with its connection.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// Interval at which the progress of a load is computed.
const STEP: Duration = Duration::from_millis(20);

/// Time to load a layer, and the number of loads that run at full speed.
#[derive(Clone, Copy, Debug)]
pub struct WeightLimits {
    /// Time to load one layer at full speed.
    pub layer_time: Duration,
    /// Number of loads that run at full speed.
    pub max_parallel: usize,
}

/// Loads take this part of their time until the store is used.
const UNUSED_FACTOR: f64 = 0.1;

#[derive(Debug, Default)]
struct StoreState {
    running: AtomicUsize,
    is_used: AtomicBool,
}

/// Counts a load while it runs.
struct LoadGuard(Arc<StoreState>);

impl LoadGuard {
    fn new(state: &Arc<StoreState>) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        Self(state.clone())
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A store of weights that runs as long as the runtime.
#[derive(Clone, Debug)]
pub struct WeightStore {
    address: SocketAddr,
    state: Arc<StoreState>,
}

impl WeightStore {
    /// Starts a store. Loads are quick until [`Self::begin_use`].
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn start(limits: WeightLimits) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let store = Self { address: listener.local_addr()?, state: Arc::default() };
        let state = store.state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = state.clone();
                tokio::spawn(async move {
                    // An engine that was killed needs no layers any more.
                    let _ended = serve_load(stream, limits, &state).await;
                });
            }
        });
        Ok(store)
    }

    /// Address that engines load layers from.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the time before the first request, in which loads are quick.
    pub fn begin_use(&self) {
        self.state.is_used.store(true, Ordering::Relaxed);
    }
}

async fn serve_load(
    stream: TcpStream,
    limits: WeightLimits,
    state: &Arc<StoreState>,
) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    let layers: u32 = line.trim().parse().map_err(io::Error::other)?;
    let _guard = LoadGuard::new(state);
    let mut remaining = limits.layer_time * layers;
    let mut last = Instant::now();
    while !remaining.is_zero() {
        tokio::select! {
            // The engine sends nothing more.
            _ = stream.read_u8() => return Ok(()),
            () = sleep(STEP.min(remaining)) => {}
        }
        let factor = match state.is_used.load(Ordering::Relaxed) {
            true => {
                (state.running.load(Ordering::Relaxed) as f64 / limits.max_parallel as f64).max(1.0)
            }
            false => UNUSED_FACTOR,
        };
        remaining = remaining.saturating_sub(last.elapsed().div_f64(factor));
        last = Instant::now();
    }
    Ok(())
}

/// Loads layers from the store at `address`. Returns once they are loaded.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn load_layers(address: SocketAddr, layers: u32) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(format!("{layers}\n").as_bytes()).await?;
    stream.read_to_end(&mut Vec::new()).await.map(drop)
}
