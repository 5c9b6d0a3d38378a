//! Tests of the engine's gRPC interface.

use switchfold_proto::engine::{
    CacheKey, DescribeRequest, LoadOrder, StepInput, StepOutput, engine_client::EngineClient,
};
use switchfold_standin::{
    engine::{EngineConfig, EngineStandin},
    model::{embed, oracle},
};
use tokio::{net::TcpListener, sync::mpsc};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::{Streaming, transport::Channel};

fn config(first: u32, end: u32, fenced: bool) -> EngineConfig {
    EngineConfig {
        model: "m".to_owned(),
        layers: 4,
        first_layer: first,
        end_layer: end,
        accelerator: "test".to_owned(),
        max_batch: 4,
        slots: 8,
        fixed_micros: 100,
        item_micros: 10,
        fenced,
        load_micros_per_layer: 0,
    }
}

struct EngineConnection {
    client: EngineClient<Channel>,
    steps: mpsc::UnboundedSender<StepInput>,
    outputs: Streaming<StepOutput>,
}

async fn start(config: EngineConfig) -> EngineConnection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(EngineStandin::new(config).serve(listener));
    let endpoint =
        tonic::transport::Endpoint::from_shared(format!("http://{address}")).expect("an address");
    let mut client = EngineClient::new(endpoint.connect().await.expect("connected"));
    let (steps, receiver) = mpsc::unbounded_channel();
    let outputs =
        client.run(UnboundedReceiverStream::new(receiver)).await.expect("a stream").into_inner();
    EngineConnection { client, steps, outputs }
}

fn step(counter: u64, first_position: u32, tokens: &[u32]) -> StepInput {
    StepInput {
        key: Some(CacheKey { incarnation: 1, counter }),
        first_position,
        tokens: tokens.to_vec(),
        want_token: true,
        ticket: u64::from(first_position),
        reset: first_position == 0,
        ..StepInput::default()
    }
}

impl EngineConnection {
    async fn run(&mut self, step: StepInput) -> StepOutput {
        self.steps.send(step).expect("the stream is open");
        self.outputs.message().await.expect("no error").expect("an output")
    }
}

#[tokio::test]
async fn engine_with_all_layers_matches_the_oracle() {
    let mut engine = start(config(0, 4, false)).await;
    let prompt = [5, 6, 7];
    let mut output = engine.run(step(1, 0, &prompt)).await;
    let mut completion = vec![output.token];
    for index in 0..3 {
        output = engine.run(step(1, 3 + index, &[output.token])).await;
        completion.push(output.token);
    }
    assert_eq!(completion, oracle("m", 4, &prompt, 4));
}

#[tokio::test]
async fn exported_caches_can_be_imported_by_another_engine() {
    let (mut from, mut to) = (start(config(0, 4, false)).await, start(config(0, 4, false)).await);
    let prompt = [9, 9];
    let first = from.run(step(3, 0, &prompt)).await;
    let key = CacheKey { incarnation: 1, counter: 3 };
    let state = from.client.export_cache(key).await.expect("exported").into_inner();
    assert_eq!(state.next_position, 2);
    assert!(to.client.import_cache(state).await.expect("response").into_inner().accepted);
    let second = to.run(step(3, 2, &[first.token])).await;
    assert_eq!([first.token, second.token], oracle("m", 4, &prompt, 2)[..]);
    let missing = from.client.export_cache(CacheKey { incarnation: 1, counter: 4 }).await;
    assert_eq!(missing.expect_err("none").code(), tonic::Code::NotFound);
    let mut other = start(config(0, 2, false)).await;
    let state = from.client.export_cache(key).await.expect("exported").into_inner();
    assert!(!other.client.import_cache(state).await.expect("response").into_inner().accepted);
}

#[tokio::test]
async fn steps_out_of_order_are_errors() {
    let mut engine = start(config(0, 4, false)).await;
    let output = engine.run(step(1, 2, &[1])).await;
    assert!(output.error.contains("cache holds 0 positions"), "{}", output.error);
    assert_ne!(embed(1), embed(2));
}

#[tokio::test]
async fn fenced_engines_reject_orders_without_a_newer_plan() {
    let order = |plan_version| LoadOrder {
        plan_version,
        model: "n".to_owned(),
        first_layer: 2,
        end_layer: 4,
    };
    let mut fenced = start(config(0, 4, true)).await;
    assert!(fenced.client.order(order(5)).await.expect("response").into_inner().accepted);
    let old = fenced.client.order(order(5)).await.expect("response").into_inner();
    assert!(!old.accepted && old.reason.contains("not above 5"), "{}", old.reason);
    let described =
        fenced.client.describe(DescribeRequest {}).await.expect("described").into_inner();
    assert_eq!((described.model.as_str(), described.first_layer), ("n", 2));
    let mut unfenced = start(config(0, 4, false)).await;
    assert!(unfenced.client.order(order(1)).await.expect("response").into_inner().accepted);
    assert!(unfenced.client.order(order(1)).await.expect("response").into_inner().accepted);
}
