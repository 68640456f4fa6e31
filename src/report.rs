//! The page that `milletlock report` makes of a log: how recoveries after takeovers went.

use plotters::prelude::*;
use serde::Deserialize;

/// Width and height of a chart.
const CHART_SIZE: (u32, u32) = (760, 260);
/// Most lines of a log that are read.
const MAX_LINES: usize = 5_000_000;
/// The message of the events that are read.
const RECOVERY: &str = "recovery";

/// Why no page can be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// There is nothing in the file.
    #[error("the log is empty")]
    Empty,
    /// No line is a log line in JSON.
    #[error("no line of it is a log line in JSON; write the log with LOG_FORMAT=json")]
    NotALog,
    /// It is a log, but tells of no recovery.
    #[error("the log tells of no recovery; it needs LOG_LEVEL=info, and a takeover of machines")]
    NoRecovery,
    /// A chart cannot be drawn.
    #[error("a chart cannot be drawn: {0}")]
    Chart(String),
}

/// A line of a log, as far as it is read.
#[derive(Debug, Deserialize)]
struct Line {
    message: String,
    #[serde(flatten)]
    event: serde_json::Value,
}

/// How far a recovery had come at a moment, as the log says it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Sample {
    /// The owner's token.
    pub token: u64,
    /// Seconds since the takeover.
    pub after_s: f64,
    /// Machines that the earlier owner left.
    pub machines: u64,
    /// Those that were not heard yet.
    pub unheard: u64,
    /// Those that were given up.
    pub lost: u64,
    /// Tasks that were found where they may be.
    pub adopted: u64,
    /// Tasks done at their workers and not recorded.
    pub finished: u64,
    /// Tasks of jobs that are over.
    pub job_over: u64,
    /// Tasks that were done before.
    pub done_before: u64,
    /// Tasks on two machines.
    pub placed_twice: u64,
    /// Tasks that ended without success.
    pub failed: u64,
    /// Gangs in part.
    pub partial_gang: u64,
    /// Machines given up.
    pub machine_lost: u64,
    /// Starts so far.
    pub starts: u64,
    /// Halts so far.
    pub halts: u64,
    /// Forgets so far.
    pub forgets: u64,
    /// Seconds until all machines were heard or lost.
    pub settled_s: Option<f64>,
}

impl Sample {
    /// The differences by kind.
    fn differences(&self) -> [(&'static str, u64); 7] {
        [
            ("done, not recorded", self.finished),
            ("of a job that is over", self.job_over),
            ("done before", self.done_before),
            ("on two machines", self.placed_twice),
            ("ended without success", self.failed),
            ("gangs in part", self.partial_gang),
            ("machines given up", self.machine_lost),
        ]
    }

    fn all_differences(&self) -> u64 {
        self.differences().iter().map(|kind| kind.1).sum()
    }
}

/// The recoveries in a log, and what could not be read of it.
#[derive(Debug, Default)]
pub struct RecoveryLog {
    /// The samples of each recovery, in the order of the log.
    pub recoveries: Vec<Vec<Sample>>,
    /// Lines that are no log lines in JSON.
    unreadable: usize,
    /// Whether the last line is cut off.
    is_cut_off: bool,
}

impl RecoveryLog {
    /// Reads a log.
    pub fn read(log: &[u8]) -> Result<RecoveryLog, ReportError> {
        let text = String::from_utf8_lossy(log);
        if text.trim().is_empty() {
            return Err(ReportError::Empty);
        }
        let mut read = RecoveryLog::default();
        let mut is_log = false;
        let mut lines = text.lines().filter(|line| !line.trim().is_empty()).take(MAX_LINES).peekable();
        while let Some(line) = lines.next() {
            match serde_json::from_str::<Line>(line) {
                Ok(line) => {
                    is_log = true;
                    read.take(line);
                }
                Err(_) if lines.peek().is_none() && !text.ends_with('\n') => read.is_cut_off = true,
                Err(_) => read.unreadable += 1,
            }
        }
        match (is_log, read.recoveries.is_empty()) {
            (false, _) => Err(ReportError::NotALog),
            (true, true) => Err(ReportError::NoRecovery),
            (true, false) => Ok(read),
        }
    }

    fn take(&mut self, line: Line) {
        if line.message != RECOVERY {
            return;
        }
        let Ok(sample) = serde_json::from_value::<Sample>(line.event) else {
            self.unreadable += 1;
            return;
        };
        if !sample.after_s.is_finite() {
            self.unreadable += 1;
            return;
        }
        match self.recoveries.last_mut().filter(|samples| samples[0].token == sample.token) {
            Some(samples) => samples.push(sample),
            None => self.recoveries.push(vec![sample]),
        }
    }

    /// What is missing, as the end of a sentence; empty if nothing is.
    pub fn omissions(&self) -> String {
        let mut omissions = String::new();
        if self.unreadable > 0 {
            omissions += &format!("; {} lines could not be read", self.unreadable);
        }
        if self.is_cut_off {
            omissions += "; the last line is cut off";
        }
        omissions
    }

    /// The page, with everything in it.
    pub fn page(&self) -> Result<String, ReportError> {
        let mut sections = String::new();
        for samples in &self.recoveries {
            sections += &section(samples)?;
        }
        let note = match self.omissions() {
            omissions if omissions.is_empty() => String::new(),
            omissions => format!("<p class=\"note\">Not all of the log is shown{omissions}.</p>"),
        };
        Ok(format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Recoveries</title>\n\
             <style>body{{font:15px sans-serif;margin:2em auto;max-width:800px}}td,th{{padding:2px 12px 2px 0;\
             text-align:left}}.note{{color:#a00}}</style></head>\n<body><h1>Recoveries after takeovers</h1>\n\
             {note}{sections}</body></html>\n"
        ))
    }
}

/// What the page says of one recovery.
fn section(samples: &[Sample]) -> Result<String, ReportError> {
    let Some(last) = samples.last() else { return Ok(String::new()) };
    let settled = match last.settled_s {
        Some(after) => format!("all machines were heard or given up after {after:.1} s"),
        None => format!("{} machines were not heard at the end of the log", last.unheard),
    };
    let rows: String = last
        .differences()
        .iter()
        .map(|(kind, count)| format!("<tr><td>{kind}</td><td>{count}</td></tr>"))
        .collect();
    let of = |value: fn(&Sample) -> u64| -> Vec<(f64, f64)> {
        samples.iter().map(|sample| (sample.after_s, value(sample) as f64)).collect()
    };
    let orders = chart(
        "orders a second",
        &[
            ("starts", rates(&of(|s| s.starts))),
            ("halts", rates(&of(|s| s.halts))),
            ("forgets", rates(&of(|s| s.forgets))),
        ],
    )?;
    let machines = chart(
        "machines heard, differences found",
        &[
            ("heard", of(|s| s.machines.saturating_sub(s.unheard))),
            ("differences", of(Sample::all_differences)),
        ],
    )?;
    Ok(format!(
        "<h2>Token {}</h2>\n<p>{} machines, {settled}; {} tasks adopted, {} differences; {} starts, {} halts, {} \
         forgets.</p>\n{orders}\n{machines}\n<table><tr><th>difference</th><th>number</th></tr>{rows}</table>\n",
        last.token,
        last.machines,
        last.adopted,
        last.all_differences(),
        last.starts,
        last.halts,
        last.forgets
    ))
}

/// From sums to changes a second.
fn rates(sums: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut before = (0.0, 0.0);
    let mut rates = Vec::with_capacity(sums.len());
    for &(at, sum) in sums {
        let seconds = (at - before.0).max(0.001);
        rates.push((at, (sum - before.1).max(0.0) / seconds));
        before = (at, sum);
    }
    rates
}

/// A chart of some lines over the seconds since the takeover.
fn chart(title: &str, lines: &[(&str, Vec<(f64, f64)>)]) -> Result<String, ReportError> {
    let mut svg = String::new();
    draw(&mut svg, title, lines).map_err(|e| ReportError::Chart(e.to_string()))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    title: &str,
    lines: &[(&str, Vec<(f64, f64)>)],
) -> Result<(), Box<dyn std::error::Error>> {
    const COLORS: [RGBColor; 3] = [RGBColor(30, 100, 200), RGBColor(200, 60, 40), RGBColor(60, 140, 60)];
    let points = || lines.iter().flat_map(|line| &line.1);
    let end = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds since the takeover").draw()?;
    for ((name, line), color) in lines.iter().zip(COLORS.iter().cycle()) {
        let color = *color;
        chart
            .draw_series(LineSeries::new(line.iter().copied(), color))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
