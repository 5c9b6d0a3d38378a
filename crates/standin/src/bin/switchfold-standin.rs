//! Command-line program that runs one of the stand-ins.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::{Parser, Subcommand};
use switchfold_kernel::{
    exit::{OK, UNAVAILABLE, USAGE, fail},
    shutdown::ShutdownSignal,
};
use switchfold_standin::{
    engine::{EngineConfig, EngineStandin},
    platform::{PlatformStandin, StoreRates},
    service::ServiceStandin,
};
use tokio::net::TcpListener;

/// Runs a stand-in for the platform, an engine or a service, for tests and measurements. State is
/// kept in memory only.
///
/// Exit codes: 0 stopped; 2 invalid arguments or any failure of an engine; 3 the address cannot be
/// bound.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Examples:\n  switchfold-standin platform --listen 127.0.0.1:7100\n  switchfold-standin engine --listen 127.0.0.1:7200 --settings examples/engine.json\n  switchfold-standin service --listen 127.0.0.1:7300 --work-ms 5"
)]
struct StandinArguments {
    #[command(subcommand)]
    kind: StandinKind,
}

#[derive(Debug, Subcommand)]
enum StandinKind {
    /// Platform with an object store and a VM list; `POST /standin/faults` sets faults and
    /// `POST /standin/vms` adds VMs.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: String,
        /// Rate limit of reads per second, watches included.
        #[arg(long, default_value_t = 2_000)]
        reads_per_s: u64,
        /// Rate limit of writes per second.
        #[arg(long, default_value_t = 100)]
        writes_per_s: u64,
    },
    /// Model engine.
    Engine {
        /// Address to listen on.
        #[arg(long)]
        listen: String,
        /// JSON file with the engine's configuration.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// HTTP service.
    Service {
        /// Address to listen on.
        #[arg(long)]
        listen: String,
        /// Duration of a call in milliseconds.
        #[arg(long, default_value_t = 5)]
        work_ms: u64,
    },
}

async fn run(kind: StandinKind) -> Result<(), String> {
    let bind = async |listen: &str| {
        let bound = TcpListener::bind(listen).await;
        bound.map_err(|error| format!("{listen}: {error}"))
    };
    match kind {
        StandinKind::Platform { listen, reads_per_s, writes_per_s } => {
            let platform = PlatformStandin::new(StoreRates { reads_per_s, writes_per_s });
            platform.serve(bind(&listen).await?, ShutdownSignal::new()).await;
            Ok(())
        }
        StandinKind::Engine { listen, settings } => {
            let text = std::fs::read(&settings)
                .map_err(|error| format!("{}: {error}", settings.display()))?;
            let config: EngineConfig = serde_json::from_slice(&text)
                .map_err(|error| format!("{}: {error}", settings.display()))?;
            let engine = EngineStandin::new(config);
            engine.serve(bind(&listen).await?).await.map_err(|error| error.to_string())
        }
        StandinKind::Service { listen, work_ms } => {
            let service = ServiceStandin::new(Duration::from_millis(work_ms));
            service.serve(bind(&listen).await?, ShutdownSignal::new()).await;
            Ok(())
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = StandinArguments::parse();
    let code =
        if matches!(arguments.kind, StandinKind::Engine { .. }) { USAGE } else { UNAVAILABLE };
    match run(arguments.kind).await {
        Ok(()) => ExitCode::from(OK),
        Err(error) => fail(code, &error),
    }
}
