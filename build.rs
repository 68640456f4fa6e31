//! Compiles the protocol between controllers, with no compiler but cargo's own.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let files = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
