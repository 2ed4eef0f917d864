//! Measures how the load of a node depends on the size and traffic of the fleet; the fitted slopes
//! are used in `docs/CAPACITY.md`.
//!
//! Runs real node processes with small stand-ins for all other services.
//!
//! Prints one line per point and per fitted line, and writes both as JSON to the file named by
//! `CAPACITY_OUT`, or to `capacity.json` in the working directory. `CAPACITY_ONLY` selects
//! scenarios by name, separated by commas; by default all scenarios run.

mod probe;
mod scenarios;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;

use probe::Point;
use serde_json::json;

fn main() -> std::io::Result<()> {
    let system = ntex::rt::System::build().name("capacity").build(ntex::rt::DefaultRuntime);
    let points = system.block_on(scenarios::run_all());
    let slopes = slopes(&points);
    for slope in &slopes {
        println!("{slope}");
    }
    let path = std::env::var("CAPACITY_OUT").unwrap_or_else(|_| "capacity.json".to_owned());
    let report = json!({ "points": points, "slopes": slopes });
    std::fs::write(path, serde_json::to_string_pretty(&report)? + "\n")
}

/// Fits a line to each metric of each scenario with at least four points.
fn slopes(points: &[Point]) -> Vec<serde_json::Value> {
    let mut series: BTreeMap<(&str, &str), Vec<(f64, f64)>> = BTreeMap::new();
    for point in points {
        for (metric, windows) in &point.metrics {
            let median = probe::median(windows);
            series.entry((&point.scenario, metric)).or_default().push((point.x, median));
        }
    }
    let fitted = series.into_iter().filter(|(_, samples)| samples.len() >= 4);
    fitted
        .map(|((scenario, metric), samples)| {
            let (slope, intercept, residual) = fit(&samples);
            json!({
                "scenario": scenario, "metric": metric, "slope": slope, "intercept": intercept,
                "largest_residual": residual, "points": samples.len(),
                "largest_x": samples.iter().map(|sample| sample.0).fold(0.0, f64::max),
            })
        })
        .collect()
}

/// Fits a least-squares line; returns its slope, its intercept and the largest absolute residual.
fn fit(samples: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = f64::from(u32::try_from(samples.len()).unwrap_or(u32::MAX));
    let mean = |value: fn(&(f64, f64)) -> f64| samples.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|sample| sample.0), mean(|sample| sample.1));
    let covariance: f64 = samples.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = samples.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let distance = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
    (slope, intercept, samples.iter().map(distance).fold(0.0, f64::max))
}
