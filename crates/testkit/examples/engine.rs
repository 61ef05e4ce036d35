//! Runs a fake model engine and prints its address: `engine ADDRESS`.

use std::net::SocketAddr;

use coltsfootpick_testkit::engine::{Engine, EngineConfig};
use coltsfootpick_testkit::server::RunningServer;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let address: SocketAddr = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:0".to_owned()).parse()?;
    let engine = Engine::start(EngineConfig::default());
    let running = RunningServer::start(address, engine.router()).await?;
    println!("{}", running.address);
    running.wait().await;
    Ok(())
}
