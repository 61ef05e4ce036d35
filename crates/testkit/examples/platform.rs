//! Runs a fake platform and prints its address: `platform ADDRESS`.

use std::net::SocketAddr;

use coltsfootpick_testkit::platform::Platform;
use coltsfootpick_testkit::server::RunningServer;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let address: SocketAddr = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:0".to_owned()).parse()?;
    let running = RunningServer::start(address, Platform::default().router()).await?;
    println!("{}", running.address);
    running.wait().await;
    Ok(())
}
