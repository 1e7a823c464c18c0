//! `appleshore top`: a live view of daemons, their gates and the targets that they choose from.

mod quota;
mod state;
mod view;

use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::time::Duration;

use ratatui::crossterm::event::{self, Event, KeyCode, KeyModifiers};
use tokio::time::Instant;
use unit::Span;

use crate::daemon::block_on;
use crate::error::Error;
use crate::output;

use state::{Sample, sample};

/// The size of the view where it is printed.
const WIDTH: u16 = 120;

/// The longest pause between two looks at the keyboard.
const KEYS: Duration = Duration::from_millis(50);

/// What `top` takes.
#[derive(Debug, clap::Args)]
pub(crate) struct Arguments {
    /// Operator addresses of daemons, such as 127.0.0.1:7401.
    #[arg(required = true, num_args = 1..=50)]
    addresses: Vec<SocketAddr>,
    /// The time from one reading to the next.
    #[arg(long, default_value = "1s")]
    every: Span,
    /// How long a daemon may take to answer.
    #[arg(long, default_value = "2s")]
    timeout: Span,
    /// Prints one view and ends. Counts a second need two readings, which are `every` apart.
    #[arg(long)]
    once: bool,
}

/// Shows the view until q, Esc or Ctrl-C.
///
/// # Errors
///
/// [`Error::Usage`] without a terminal, unless one view is asked for; then [`Error::Daemon`] if no
/// daemon answers. [`Error::Output`] if the terminal can't be drawn on.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    if arguments.every.0.is_zero() {
        return Err(Error::Usage("top: --every needs more than 0s".to_string()));
    }
    if arguments.once {
        return block_on(print_once(arguments));
    }
    if !io::stdout().is_terminal() {
        let cause = "top: standard output is no terminal: expected one, or --once";
        return Err(Error::Usage(cause.to_string()));
    }
    let mut terminal = ratatui::try_init().map_err(Error::Output)?;
    let ended = block_on(watch(arguments, &mut terminal));
    ratatui::restore();
    ended
}

async fn read(arguments: &Arguments) -> Vec<Sample> {
    let limit = arguments.timeout.0;
    let samples = arguments
        .addresses
        .iter()
        .map(|address| sample(*address, limit));
    futures_util::future::join_all(samples).await
}

async fn print_once(arguments: &Arguments) -> Result<(), Error> {
    let before = read(arguments).await;
    tokio::time::sleep(arguments.every.0).await;
    let mut now = read(arguments).await;
    if now.iter().all(|sample| sample.state.is_err()) {
        let first = now.swap_remove(0);
        return first.state.map(drop);
    }
    output::print(&view::text(&view::rows(&before, &now), WIDTH))
}

async fn watch(
    arguments: &Arguments,
    terminal: &mut ratatui::DefaultTerminal,
) -> Result<(), Error> {
    let mut before = Vec::new();
    loop {
        let next = Instant::now() + arguments.every.0;
        let now = read(arguments).await;
        let rows = view::rows(&before, &now);
        let drawn = terminal.draw(|frame| view::draw(frame, &rows));
        drawn.map_err(Error::Output)?;
        before = now;
        while Instant::now() < next {
            if is_asked_to_end().map_err(Error::Output)? {
                return Ok(());
            }
            tokio::time::sleep(KEYS.min(next.saturating_duration_since(Instant::now()))).await;
        }
    }
}

/// Whether a key was pressed that ends the view.
fn is_asked_to_end() -> io::Result<bool> {
    while event::poll(Duration::ZERO)? {
        if let Event::Key(key) = event::read()? {
            let is_control = key.modifiers.contains(KeyModifiers::CONTROL);
            match key.code {
                KeyCode::Char('q') | KeyCode::Esc => return Ok(true),
                KeyCode::Char('c') if is_control => return Ok(true),
                _ => {}
            }
        }
    }
    Ok(false)
}
