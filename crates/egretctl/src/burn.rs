//! Report of the burn rates of error budgets.

use std::{collections::BTreeMap, fmt::Write as _, path::PathBuf, process::ExitCode};

use clap::ArgMatches;
use egret_entry::{BurnReport, BurnRow};

use crate::{
    api::{AdminClient, AdminRequest},
    failure::Failure,
};

/// Width and height of one bar of the plot, in pixels.
const BAR_SIZE: (f64, f64) = (300.0, 16.0);
/// Burn rate of a full bar; at this rate a month's error budget lasts two days.
const FULL_RATE: f64 = 14.4;

/// Prints the burn rates over all entries, and plots them if requested.
pub(crate) async fn report(
    client: &AdminClient,
    matches: &ArgMatches,
) -> Result<ExitCode, Failure> {
    let mut rows: BTreeMap<(String, String), BurnRow> = BTreeMap::new();
    for report in client.send_to_all::<BurnReport>(&AdminRequest::get("/admin/v1/burn")).await? {
        for row in report.rows {
            add(&mut rows, row);
        }
    }
    println!(
        "{:<20} {:<20} {:>9} {:>7} {:>10} {:>10}",
        "RECORD", "ORGANISATION", "REQUESTS", "BAD", "BURN 5MIN", "BURN 1H"
    );
    for row in rows.values() {
        println!(
            "{:<20} {:<20} {:>9} {:>7} {:>10.2} {:>10.2}",
            row.record,
            row.organisation,
            row.total,
            row.bad,
            rate(row.fast_bad, row.fast_total, row.allowance),
            rate(row.bad, row.total, row.allowance),
        );
    }
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        let rows: Vec<_> = rows.into_values().collect();
        std::fs::write(path, plot(&rows)).map_err(|error| {
            let message = format!("{}: {error}", path.display());
            Failure::usage_text(message, "give the path of a writable file")
        })?;
    }
    Ok(ExitCode::SUCCESS)
}

fn add(rows: &mut BTreeMap<(String, String), BurnRow>, row: BurnRow) {
    let key = (row.record.clone(), row.organisation.clone());
    match rows.get_mut(&key) {
        Some(sum) => {
            sum.total += row.total;
            sum.bad += row.bad;
            sum.fast_total += row.fast_total;
            sum.fast_bad += row.fast_bad;
        }
        None => {
            rows.insert(key, row);
        }
    }
}

/// Returns the burn rate: the fraction of bad requests relative to the allowed one.
fn rate(bad: u64, total: u64, allowance: f64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    bad as f64 / total as f64 / allowance.max(1e-5)
}

fn plot(rows: &[BurnRow]) -> String {
    let (width, height) = BAR_SIZE;
    let mut svg = String::new();
    let total = (rows.len() as f64).mul_add(height * 2.0, 30.0);
    let _ = writeln!(
        svg,
        r#"<svg xmlns="http://www.w3.org/2000/svg" width="640" height="{total}" font-family="sans-serif" font-size="12">"#
    );
    let _ = writeln!(svg, r#"<text x="10" y="18">Burn rate over five minutes and one hour</text>"#);
    for (index, row) in rows.iter().enumerate() {
        let top = (index as f64).mul_add(height * 2.0, 30.0);
        let label = format!("{} / {}", row.record, row.organisation);
        let _ = writeln!(svg, r#"<text x="10" y="{}">{label}</text>"#, top + height);
        let fast = rate(row.fast_bad, row.fast_total, row.allowance);
        let slow = rate(row.bad, row.total, row.allowance);
        for (offset, rate, colour) in [(0.0, fast, "#c33"), (height * 0.7, slow, "#36c")] {
            let length = (rate / FULL_RATE).min(1.0) * width;
            let _ = writeln!(
                svg,
                r#"<rect x="260" y="{}" width="{length:.1}" height="{:.1}" fill="{colour}"/><text x="{:.1}" y="{}">{rate:.2}</text>"#,
                top + offset,
                height * 0.6,
                length + 266.0,
                top + offset + 9.0,
            );
        }
    }
    svg.push_str("</svg>\n");
    svg
}
