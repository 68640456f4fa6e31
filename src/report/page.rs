//! The HTML page of a report.

use super::chart::{render_chart, Point, Series};
use super::log::RecoverySample;
use super::ReportError;

/// Interval in seconds that a rate is computed with if two samples are closer together. It avoids a division
/// by zero.
const MIN_INTERVAL_S: f64 = 0.001;

/// Renders the page: one section for each recovery, and a note on the parts of the log that were skipped.
pub(super) fn render(recoveries: &[Vec<RecoverySample>], omissions: &str) -> Result<String, ReportError> {
    let mut sections = String::new();
    for samples in recoveries {
        sections += &render_section(samples)?;
    }
    let note = if omissions.is_empty() {
        String::new()
    } else {
        format!("<p class=\"note\">Not all of the log is shown{omissions}.</p>")
    };
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Recoveries</title>\n\
         <style>body{{font:15px sans-serif;margin:2em auto;max-width:800px}}td,th{{padding:2px 12px 2px 0;\
         text-align:left}}.note{{color:#a00}}</style></head>\n<body><h1>Recoveries after failovers</h1>\n\
         {note}{sections}</body></html>\n"
    ))
}

/// Renders the section on one recovery: totals, two charts and the number of discrepancies by kind.
fn render_section(samples: &[RecoverySample]) -> Result<String, ReportError> {
    let Some(last) = samples.last() else { return Ok(String::new()) };
    let commands = render_commands_chart(samples)?;
    let machines = render_machines_chart(samples)?;
    let totals = render_totals(last);
    let rows: String = last
        .discrepancies()
        .iter()
        .map(|kind| format!("<tr><td>{}</td><td>{}</td></tr>", kind.label, kind.count))
        .collect();
    Ok(format!(
        "<h2>Token {}</h2>\n<p>{totals}</p>\n{commands}\n{machines}\n\
         <table><tr><th>discrepancy</th><th>number</th></tr>{rows}</table>\n",
        last.token,
    ))
}

/// Renders the totals of a recovery as one sentence.
fn render_totals(last: &RecoverySample) -> String {
    let settled = match last.settled_s {
        Some(after_s) => format!("all machines had reported or were lost after {after_s:.1} s"),
        None => format!("{} machines had not reported by the end of the log", last.unheard),
    };
    format!(
        "{} machines, {settled}; {} tasks adopted, {} discrepancies; {} starts, {} halts, {} forgets.",
        last.machines,
        last.adopted,
        last.total_discrepancies(),
        last.starts,
        last.halts,
        last.forgets
    )
}

fn render_commands_chart(samples: &[RecoverySample]) -> Result<String, ReportError> {
    let rates = |name, count: fn(&RecoverySample) -> u64| Series {
        name,
        points: rates_per_second(&points_of(samples, count)),
    };
    render_chart(
        "commands per second",
        &[
            rates("starts", |sample| sample.starts),
            rates("halts", |sample| sample.halts),
            rates("forgets", |sample| sample.forgets),
        ],
    )
}

fn render_machines_chart(samples: &[RecoverySample]) -> Result<String, ReportError> {
    let reported = |sample: &RecoverySample| sample.machines.saturating_sub(sample.unheard);
    render_chart(
        "machines that have reported, discrepancies found",
        &[
            Series { name: "reported", points: points_of(samples, reported) },
            Series { name: "discrepancies", points: points_of(samples, RecoverySample::total_discrepancies) },
        ],
    )
}

/// The points of one line: a count of each sample over the time since the failover.
fn points_of(samples: &[RecoverySample], count: impl Fn(&RecoverySample) -> u64) -> Vec<Point> {
    samples.iter().map(|sample| Point { after_s: sample.after_s, value: count(sample) as f64 }).collect()
}

/// Converts running totals to rates: the change per second since the previous point.
fn rates_per_second(totals: &[Point]) -> Vec<Point> {
    let mut previous = Point { after_s: 0.0, value: 0.0 };
    let mut rates = Vec::with_capacity(totals.len());
    for &total in totals {
        let seconds = (total.after_s - previous.after_s).max(MIN_INTERVAL_S);
        let value = (total.value - previous.value).max(0.0) / seconds;
        rates.push(Point { after_s: total.after_s, value });
        previous = total;
    }
    rates
}
