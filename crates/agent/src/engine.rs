//! Persistent stream to the engine on the agent's VM.

use std::time::Duration;

use futures_util::{Stream, StreamExt};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{retry::Backoff, route::LayerRange};
use switchfold_proto::engine::{
    DescribeRequest, Description, LoadOrder, StepInput, StepOutput, engine_client::EngineClient,
};
use tokio::{sync::mpsc, time::sleep};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::transport::{Channel, Endpoint};
use xtra::Address;

use crate::{
    AgentError,
    gate::{EngineDescription, GateEndpoint},
    service::{EngineCommand, EngineLost, EngineOutputs, EngineReady, EngineReloaded, GateService},
};

/// Maximum number of outputs passed to the gate in one message.
const MAX_OUTPUTS_PER_MESSAGE: usize = 64;

/// Connects to an engine and requests its description.
pub(crate) async fn describe_engine(
    address: &str,
) -> Result<(EngineClient<Channel>, GateEndpoint), AgentError> {
    let failed = |detail: String| AgentError::Engine { address: address.to_owned(), detail };
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| failed(error.to_string()))?;
    let endpoint = endpoint.tcp_nodelay(true).connect_timeout(Duration::from_secs(1));
    let channel = endpoint.connect().await.map_err(|error| failed(error.to_string()))?;
    let mut client = EngineClient::new(channel);
    let described = client.describe(DescribeRequest {}).await;
    let described = described.map_err(|status| failed(status.message().to_owned()))?;
    let engine =
        parse_description(described.into_inner()).map_err(|error| failed(error.to_string()))?;
    Ok((client, GateEndpoint::Engine(engine)))
}

fn parse_description(
    description: Description,
) -> Result<EngineDescription, switchfold_core::Error> {
    Ok(EngineDescription {
        layers: LayerRange::new(description.first_layer, description.end_layer)?,
        model: description.model,
        max_batch: description.max_batch,
        slots: description.slots,
        fixed_micros: description.fixed_micros,
        item_micros: description.item_micros,
        accelerator: description.accelerator,
    })
}

/// Keeps a stream to the engine open, and reopens it with back-off, until the gate stops.
pub(crate) async fn maintain_engine_stream(address: String, seed: u64, gate: Address<GateService>) {
    let mut backoff = Backoff::new(ChaCha8Rng::seed_from_u64(seed));
    while gate.is_connected() {
        if let Ok((client, endpoint)) = describe_engine(&address).await {
            run_stream(client, endpoint, &gate).await;
            backoff.reset();
        }
        sleep(Duration::from_millis(backoff.next_wait())).await;
    }
}

/// Passes steps and outputs between the gate and the engine until the stream ends.
async fn run_stream(
    mut client: EngineClient<Channel>,
    endpoint: GateEndpoint,
    gate: &Address<GateService>,
) {
    let (step_sender, steps) = mpsc::unbounded_channel::<StepInput>();
    let Ok(outputs) = client.run(UnboundedReceiverStream::new(steps)).await else {
        return;
    };
    let (command_sender, commands) = mpsc::unbounded_channel();
    if gate.send(EngineReady { endpoint, commands: command_sender }).await.is_err() {
        return;
    }
    tokio::select! {
        () = execute_commands(commands, step_sender, client, gate) => {}
        () = read_outputs(outputs.into_inner(), gate) => {}
    }
    let _gate_may_have_stopped = gate.send(EngineLost).await;
}

/// Executes the gate's commands, in order, until the gate or the engine's stream ends.
async fn execute_commands(
    mut commands: mpsc::UnboundedReceiver<EngineCommand>,
    steps: mpsc::UnboundedSender<StepInput>,
    mut client: EngineClient<Channel>,
    gate: &Address<GateService>,
) {
    while let Some(command) = commands.recv().await {
        match command {
            EngineCommand::Step(step) => {
                if steps.send(step).is_err() {
                    return;
                }
            }
            EngineCommand::Load(order) => load_layers(&mut client, order, gate).await,
        }
    }
}

/// Orders the engine to load layers. If it accepts, the gate is sent its new description.
async fn load_layers(
    client: &mut EngineClient<Channel>,
    order: LoadOrder,
    gate: &Address<GateService>,
) {
    let version = order.plan_version;
    match client.order(order).await {
        Ok(response) if response.get_ref().accepted => {
            let Ok(described) = client.describe(DescribeRequest {}).await else {
                return;
            };
            if let Ok(engine) = parse_description(described.into_inner()) {
                let endpoint = GateEndpoint::Engine(engine);
                let _gate_may_have_stopped = gate.send(EngineReloaded(endpoint)).await;
            }
        }
        Ok(response) => {
            log::warn!("plan={version} state=refused reason={:?}", response.get_ref().reason)
        }
        Err(status) => log::warn!("plan={version} state=failed error={:?}", status.message()),
    }
}

/// Passes the engine's outputs to the gate until the stream ends or fails.
async fn read_outputs<S>(outputs: S, gate: &Address<GateService>)
where
    S: Stream<Item = Result<StepOutput, tonic::Status>> + Unpin,
{
    let mut chunks = outputs.ready_chunks(MAX_OUTPUTS_PER_MESSAGE);
    while let Some(chunk) = chunks.next().await {
        let received = chunk.len();
        let outputs: Vec<StepOutput> = chunk.into_iter().map_while(Result::ok).collect();
        let ended = outputs.len() < received;
        if gate.send(EngineOutputs(outputs)).detach().await.is_err() || ended {
            return;
        }
    }
}
