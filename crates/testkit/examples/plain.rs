//! Runs a fake plain service and prints its address: `plain ADDRESS`.

use std::net::SocketAddr;

use coltsfootpick_testkit::plain_service::PlainService;
use coltsfootpick_testkit::server::RunningServer;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let address: SocketAddr = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:0".to_owned()).parse()?;
    let running = RunningServer::start(address, PlainService::default().router()).await?;
    println!("{}", running.address);
    running.wait().await;
    Ok(())
}
