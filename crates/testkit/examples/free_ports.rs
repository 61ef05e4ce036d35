//! Prints N loopback ports on which nothing listens: `free_ports N`.

use coltsfootpick_testkit::ports;
use eyre::eyre;

fn main() -> eyre::Result<()> {
    let count: usize = std::env::args().nth(1).unwrap_or_else(|| "1".to_owned()).parse()?;
    for _ in 0..count {
        println!("{}", ports::reserve().ok_or_else(|| eyre!("no port is free"))?);
    }
    Ok(())
}
