//! The daemon that runs beside a target.
//!
//! Exit codes: 0 after a planned stop or a check without faults, 1 if the daemon could not start,
//! 2 for faulty settings or command lines.

use std::path::PathBuf;
use std::process::ExitCode;

use appleshore::setting::Setting;
use appleshore::{Daemon, file, logging};
use clap::Parser;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

const FAILED: u8 = 1;
const FAULTY: u8 = 2;

/// The appleshore daemon: one beside each target.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The settings: JSON with comments.
    #[arg(long)]
    settings: PathBuf,
    /// Only check the settings.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let setting = match file::load(&arguments.settings) {
        Ok(setting) => setting,
        Err(text) => return fail(FAULTY, &text),
    };
    if arguments.check {
        println!("{}: no faults", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match start(setting) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => fail(FAILED, &text),
    }
}

fn fail(code: u8, text: &str) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(code)
}

fn start(setting: Setting) -> Result<(), String> {
    logging::start(setting.log, setting.log_format).map_err(|error| error.to_string())?;
    let runtime = runtime(&setting).map_err(|error| format!("start threads: {error}"))?;
    runtime.block_on(run(setting))
}

fn runtime(setting: &Setting) -> std::io::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    if let Some(threads) = setting.threads {
        builder.worker_threads(threads as usize);
    }
    builder.enable_all().build()
}

async fn run(setting: Setting) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let daemon = Daemon::start(setting)
        .await
        .map_err(|error| error.to_string())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = daemon.asked_to_drain() => {}
    }
    daemon.drain().await;
    logging::flush();
    Ok(())
}
