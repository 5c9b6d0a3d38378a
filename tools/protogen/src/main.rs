//! Regenerates the committed code of `switchfold-proto`.
//!
//! Run it from the root of the repository:
//! `cargo run --manifest-path tools/protogen/Cargo.toml`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let files = protox::compile(["link.proto", "engine.proto", "peer.proto"], ["crates/proto/proto"])?;
    tonic_prost_build::configure()
        .bytes(".")
        .build_transport(false)
        .out_dir("crates/proto/src/generated")
        .compile_fds(files)?;
    Ok(())
}
