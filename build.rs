//! Generates the code of the gRPC protocol between controllers from `proto/peer.proto`. The `.proto` file is
//! parsed by a Rust library, so that `protoc` need not be installed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let file_descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(file_descriptors)?;
    Ok(())
}
