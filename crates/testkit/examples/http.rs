//! Small HTTP client for scripts: `http METHOD URL [BODY]` prints the body and fails unless the status is 2xx.

use std::net::SocketAddr;

use coltsfootpick_testkit::caller::Caller;
use eyre::{OptionExt, ensure};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut args = std::env::args().skip(1);
    let method = args.next().ok_or_eyre("METHOD is required")?.parse()?;
    let url = args.next().ok_or_eyre("URL is required")?;
    let rest = url.strip_prefix("http://").ok_or_eyre("URL must start with http://")?;
    let (address, path) = rest.split_once('/').ok_or_eyre("URL must have a path")?;
    let address: SocketAddr = address.parse()?;
    let body = args.next().unwrap_or_default();
    let response = Caller::new("none").send(address, method, &format!("/{path}"), &[], body).await?;
    println!("{}", String::from_utf8_lossy(&response.body));
    ensure!(response.status.is_success(), "status {}", response.status);
    Ok(())
}
