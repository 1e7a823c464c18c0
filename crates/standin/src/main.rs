//! Serves the stand-in for the platform, for the quickstart and trials by hand.

use std::io;
use std::net::SocketAddr;

use clap::Parser;
use standin::{Platform, serve};
use tokio::net::TcpListener;
use unit::{Rate, Span};

/// Writes that may come together under a limit.
const BURST: u32 = 30;

/// A stand-in for the platform's object API; what it holds is gone when it ends.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Where to listen, such as 127.0.0.1:7070; port 0 takes any free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// How long each call takes, such as 5ms.
    #[arg(long, default_value = "0ms")]
    latency: Span,
    /// The writes a second above which it refuses, such as 300/s.
    #[arg(long)]
    writes: Option<Rate>,
    /// The reads a second above which it refuses, such as 2000/s.
    #[arg(long)]
    reads: Option<Rate>,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let arguments = Arguments::parse();
    let platform = Platform::builder().latency(arguments.latency.0).open();
    if let Some(rate) = arguments.writes {
        platform.fault().limit_writes(rate, BURST);
    }
    if let Some(rate) = arguments.reads {
        platform.fault().limit_reads(rate, BURST);
    }
    let listener = TcpListener::bind(arguments.listen).await?;
    let handle = serve(platform, listener)?;
    println!("{}", handle.address());
    tokio::signal::ctrl_c().await
}
