//! Generates the committed code of the peer service. Run it in its own folder after a change of
//! `peer.proto`; the workspace build needs no generator.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let adapters = "../../crates/sesamewall-adapters";
    let files = protox::compile([format!("{adapters}/proto/peer.proto")], [adapters])?;
    tonic_prost_build::configure()
        .out_dir(format!("{adapters}/src/generated"))
        .compile_fds(files)?;
    Ok(())
}
