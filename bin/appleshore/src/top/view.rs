//! The tables of the view.

use ratatui::Frame;
use ratatui::buffer::Buffer;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Style, Stylize};
use ratatui::text::Text;
use ratatui::widgets::{Cell, Row, Table, Widget};
use unit::Report;

use super::state::{Line, Rejected, Sample, State};

const DAEMONS: [(&str, u16); 11] = [
    ("daemon", 22),
    ("zone", 10),
    ("run/lim", 9),
    ("slots", 5),
    ("urgent", 6),
    ("routine", 7),
    ("batch", 5),
    ("pace", 5),
    ("ran/s", 7),
    ("refused/s", 9),
    ("state", 18),
];
const TARGETS: [(&str, u16); 10] = [
    ("service", 16),
    ("target", 18),
    ("zone", 10),
    ("own", 4),
    ("run/lim", 9),
    ("queued", 6),
    ("pace", 5),
    ("estimate", 9),
    ("age", 7),
    ("state", 18),
];

/// The rows of both tables, as text.
pub(super) struct Rows {
    daemons: Vec<[String; DAEMONS.len()]>,
    targets: Vec<[String; TARGETS.len()]>,
    /// One line for each daemon that rejects the newest rules.
    rejected: Vec<String>,
}

/// The rows of a reading. Counts a second come from the reading before, where there is one.
///
/// The targets are those that the daemons' entries know, each once: as the entry sees it that has
/// heard of it last.
pub(super) fn rows(before: &[Sample], now: &[Sample]) -> Rows {
    let former = |sample: &Sample| {
        let mut same = before
            .iter()
            .filter(|former| former.address == sample.address);
        same.next()
    };
    let daemons = now.iter().map(|sample| daemon(former(sample), sample));
    let states = now.iter().filter_map(|sample| sample.state.as_ref().ok());
    let rejected = states.clone().filter_map(rejected);
    Rows {
        daemons: daemons.collect(),
        rejected: rejected.collect(),
        targets: targets(states),
    }
}

/// The line of a daemon that rejects the newest rules.
fn rejected(state: &State) -> Option<String> {
    let Rejected {
        version,
        cause,
        seconds,
    } = state.feed.rejected.as_ref()?;
    let me = &state.roster.me;
    // The first fault stands for all; `appleshore check` lists them.
    let cause = cause.lines().next().unwrap_or_default();
    Some(format!(
        "{me} rejects rules {version} for {seconds}s: {cause}"
    ))
}

fn daemon(before: Option<&Sample>, now: &Sample) -> [String; DAEMONS.len()] {
    let state = match &now.state {
        Ok(state) => state,
        Err(error) => {
            let mut row: [String; DAEMONS.len()] = Default::default();
            row[0] = now.address.to_string();
            row[DAEMONS.len() - 1] = error.to_string();
            return row;
        }
    };
    let report = &state.gate.report;
    let [urgent, routine, batch] = report.queued.map(|count| count.to_string());
    let rates = before.and_then(|before| rates(before, now));
    let rate = |of: fn([f64; 2]) -> f64| rates.map_or(String::new(), |r| format!("{:.1}", of(r)));
    [
        state.roster.me.clone(),
        state.roster.zone.clone(),
        format!("{}/{}", report.running, report.limit),
        state.gate.slots.to_string(),
        urgent,
        routine,
        batch,
        pace(report),
        rate(|[ran, _]| ran),
        rate(|[_, refused]| refused),
        daemon_state(state),
    ]
}

/// Answered and refused requests a second at the entry; none across a restart.
fn rates(before: &Sample, now: &Sample) -> Option<[f64; 2]> {
    let [former, latter] = [before, now].map(|sample| sample.state.as_ref().ok());
    let (former, latter) = (&former?.entry.outcomes, &latter?.entry.outcomes);
    let seconds = now.at.saturating_duration_since(before.at).as_secs_f64();
    let of = |before: u64, now: u64| Some(now.checked_sub(before)? as f64 / seconds.max(1e-3));
    Some([
        of(former.ran, latter.ran)?,
        of(former.not_run, latter.not_run)?,
    ])
}

fn daemon_state(state: &State) -> String {
    let gate = &state.gate;
    let unknown = state.entry.outcomes.unknown;
    let flags = [
        (gate.down, "down".to_string()),
        (gate.leaving, "leaving".to_string()),
        (gate.evacuated, "evacuated".to_string()),
        (gate.paused, "paused".to_string()),
        (gate.report.slow, "slow".to_string()),
        (gate.report.hot, "hot".to_string()),
        (unknown > 0, format!("unknown={unknown}")),
    ];
    joined(flags)
}

fn targets<'s>(states: impl Iterator<Item = &'s State>) -> Vec<[String; TARGETS.len()]> {
    let services = states.flat_map(|state| &state.entry.services);
    let mut lines: Vec<(&str, &Line)> = services
        .flat_map(|service| {
            let targets = service.choice.targets.iter();
            targets.map(|line| (service.service.as_str(), line))
        })
        .collect();
    let age = |line: &Line| line.report_age_ms.unwrap_or(u64::MAX);
    lines.sort_by_key(|(service, line)| (*service, &line.target.instance, age(line)));
    lines.dedup_by_key(|(service, line)| (*service, &line.target.instance));
    lines.into_iter().map(target).collect()
}

fn target((service, line): (&str, &Line)) -> [String; TARGETS.len()] {
    let report = line.report.as_ref();
    let told = |of: fn(&Report) -> String| report.map_or(String::new(), of);
    let flags = [
        (line.failures > 0, format!("failures={}", line.failures)),
        (
            report.is_some_and(|report| report.closed),
            "closed".to_string(),
        ),
        (report.is_some_and(|report| report.slow), "slow".to_string()),
        (report.is_some_and(|report| report.hot), "hot".to_string()),
    ];
    [
        service.to_string(),
        line.target.instance.clone(),
        line.target.zone.clone(),
        line.running.to_string(),
        told(|report| format!("{}/{}", report.running, report.limit)),
        told(|report| report.waiting().to_string()),
        told(pace),
        format!("{:.1}ms", line.estimate_us as f64 / 1_000.0),
        line.report_age_ms
            .map_or("never".to_string(), |ms| format!("{ms}ms")),
        joined(flags),
    ]
}

/// Percent of the usual time of a run; nothing where the target doesn't tell.
fn pace(report: &Report) -> String {
    match report.pace {
        0 => String::new(),
        pace => format!("{pace}%"),
    }
}

fn joined<const N: usize>(flags: [(bool, String); N]) -> String {
    let set = flags.into_iter().filter(|(is_set, _)| *is_set);
    let names: Vec<String> = set.map(|(_, name)| name).collect();
    names.join(" ")
}

/// Draws both tables on the whole frame.
pub(super) fn draw(frame: &mut Frame<'_>, rows: &Rows) {
    paint(rows, frame.area(), frame.buffer_mut());
}

/// The view as text, as long as it needs to be.
pub(super) fn text(rows: &Rows, width: u16) -> String {
    let lines = rows.daemons.len() + rows.targets.len() + rows.rejected.len() + 3;
    let area = Rect::new(0, 0, width, u16::try_from(lines).unwrap_or(u16::MAX));
    let mut buffer = Buffer::empty(area);
    paint(rows, area, &mut buffer);
    let line = |y: u16| {
        let cells = (0..area.width).filter_map(|x| buffer.cell((x, y)));
        let line: String = cells.map(|cell| cell.symbol()).collect();
        format!("{}\n", line.trim_end())
    };
    (0..area.height).map(line).collect()
}

fn paint(rows: &Rows, area: Rect, buffer: &mut Buffer) {
    let daemons = u16::try_from(rows.daemons.len() + 1).unwrap_or(u16::MAX);
    let rejected = u16::try_from(rows.rejected.len()).unwrap_or(u16::MAX);
    let parts = [
        Constraint::Length(daemons),
        Constraint::Length(rejected),
        Constraint::Length(1),
        Constraint::Min(0),
    ];
    let [above, notes, _, below] = Layout::vertical(parts).areas(area);
    table(&DAEMONS, &rows.daemons).render(above, buffer);
    let lines = rows.rejected.iter();
    let lines: Vec<Text<'_>> = lines
        .map(|line| Text::from(line.as_str()).style(Style::new().fg(Color::Yellow)))
        .collect();
    for (line, row) in lines.into_iter().zip(notes.rows()) {
        line.render(row, buffer);
    }
    table(&TARGETS, &rows.targets).render(below, buffer);
}

fn table<'r, const N: usize>(columns: &[(&'r str, u16); N], rows: &'r [[String; N]]) -> Table<'r> {
    let names = columns.iter().map(|(name, _)| Cell::new(*name));
    let widths = columns
        .iter()
        .enumerate()
        .map(|(at, (_, width))| match at + 1 == N {
            true => Constraint::Min(*width),
            false => Constraint::Length(*width),
        });
    let rows = rows.iter().map(|row| {
        let is_troubled = row.last().is_some_and(|state| !state.is_empty());
        let color = if is_troubled {
            Color::Yellow
        } else {
            Color::Reset
        };
        Row::new(row.iter().map(|text| Cell::new(text.as_str()))).style(Style::new().fg(color))
    });
    Table::new(rows, widths).header(Row::new(names).bold())
}
