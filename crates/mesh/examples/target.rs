//! A target for trials by hand: `target ADDRESS OUTBOUND`; see `mesh::Target` for its paths.

use std::error::Error;
use std::net::SocketAddr;

use mesh::Target;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let mut next = || {
        arguments
            .next()
            .ok_or("two addresses are asked for: ADDRESS OUTBOUND")
    };
    let address: SocketAddr = next()?.parse()?;
    let outbound: SocketAddr = next()?.parse()?;
    let _target = Target::start(&address.to_string(), address, outbound).await;
    println!("a target listens at {address}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
