//! Measures the CPU time, memory and metrics of running nodes.

use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::support::fleet::{Fleet, Node};

/// Duration of a measurement window.
const WINDOW_DURATION: Duration = Duration::from_secs(4);
/// Number of measurement windows per point.
const WINDOWS_PER_POINT: usize = 3;
/// Clock ticks per second, the unit of the CPU times in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Maximum number of nodes whose values are averaged.
const SAMPLED_NODES_MAX: usize = 6;

/// Measurements for one value of the varied quantity: one or more values for each metric.
#[derive(Debug, Serialize)]
pub struct Point {
    pub scenario: String,
    /// Value of the varied quantity.
    pub x: f64,
    pub metrics: BTreeMap<String, Vec<f64>>,
}

impl Point {
    pub fn new(scenario: &str, x: usize) -> Self {
        let x = f64::from(u32::try_from(x).unwrap_or(u32::MAX));
        Self { scenario: scenario.to_owned(), x, metrics: BTreeMap::new() }
    }

    pub fn add(&mut self, metric: &str, value: f64) {
        self.metrics.entry(metric.to_owned()).or_default().push(value);
    }

    pub fn print(self) -> Self {
        let figures: Vec<String> = self
            .metrics
            .iter()
            .map(|(metric, windows)| format!("{metric}={:.4}", median(windows)))
            .collect();
        println!("scenario={} x={} {}", self.scenario, self.x, figures.join(" "));
        self
    }
}

pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Values of one node at one time.
struct Sample {
    control_cpu_s: f64,
    process_cpu_s: f64,
    resident_mb: f64,
    counters: BTreeMap<String, f64>,
}

/// Measures up to [`SAMPLED_NODES_MAX`] nodes in [`WINDOWS_PER_POINT`] windows; adds the average
/// over the nodes for each window to `point`.
pub async fn measure(fleet: &Fleet, point: &mut Point) {
    for _ in 0..WINDOWS_PER_POINT {
        let nodes = &fleet.nodes[..fleet.nodes.len().min(SAMPLED_NODES_MAX)];
        let mut before = Vec::new();
        for node in nodes {
            before.push(sample(fleet, node).await);
        }
        let started = Instant::now();
        fleet.pause(WINDOW_DURATION).await;
        let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
        for (node, before) in nodes.iter().zip(&before) {
            let after = sample(fleet, node).await;
            add_window(&mut sums, before, &after, started.elapsed().as_secs_f64());
        }
        let count = f64::from(u32::try_from(nodes.len()).unwrap_or(u32::MAX));
        for (metric, sum) in sums {
            point.add(metric, sum / count);
        }
    }
}

/// Adds the rates of one node in a window, and its memory at the end, to `sums`.
fn add_window(
    sums: &mut BTreeMap<&'static str, f64>,
    before: &Sample,
    after: &Sample,
    elapsed_s: f64,
) {
    let mut add = |metric, value: f64| *sums.entry(metric).or_default() += value;
    add("control_cpu_percent", (after.control_cpu_s - before.control_cpu_s) / elapsed_s * 100.0);
    add("process_cpu_percent", (after.process_cpu_s - before.process_cpu_s) / elapsed_s * 100.0);
    add("resident_mb", after.resident_mb);
    let rate = |names: &[&str]| {
        let total = |sample: &Sample| -> f64 {
            names.iter().filter_map(|name| sample.counters.get(*name)).sum()
        };
        (total(after) - total(before)) / elapsed_s
    };
    // Doubled below, because a node counts bytes only on connections that it opened; on average,
    // the connections opened by other nodes carry the same amount.
    let opened =
        rate(&["dandelionfront_peer_sent_bytes_total", "dandelionfront_peer_received_bytes_total"]);
    add("peer_bytes_per_s", opened * 2.0);
    add("peer_messages_per_s", rate(&["dandelionfront_peer_messages_total"]));
    add(
        "platform_writes_per_s",
        rate(&["dandelionfront_platform_requests_total{kind=\"transact\"}"]),
    );
    add(
        "platform_reads_per_s",
        rate(&[
            "dandelionfront_platform_requests_total{kind=\"get\"}",
            "dandelionfront_platform_requests_total{kind=\"scan\"}",
        ]),
    );
    add(
        "platform_objects_per_s",
        rate(&["dandelionfront_platform_requests_total{kind=\"object\"}"]),
    );
}

async fn sample(fleet: &Fleet, node: &Node) -> Sample {
    let request = fleet.http.request("GET", &node.operator, "/metrics");
    let text = fleet.http.send(request, "").await.expect("metrics answer").expect_status(200).body;
    let counters = text
        .lines()
        .filter_map(|line| line.rsplit_once(' '))
        .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
        .collect();
    let id = node.process.id();
    Sample {
        control_cpu_s: control_cpu_s(id),
        process_cpu_s: cpu_s(&format!("/proc/{id}/stat")),
        resident_mb: resident_mb(id),
        counters,
    }
}

/// Returns the CPU time of the thread named `control`.
fn control_cpu_s(id: u32) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{id}/task")).expect("process runs");
    let control = tasks.filter_map(Result::ok).map(|task| task.path()).find(|task| {
        fs::read_to_string(task.join("comm")).is_ok_and(|name| name.trim() == "control")
    });
    control.map_or(0.0, |task| cpu_s(&task.join("stat").display().to_string()))
}

fn cpu_s(path: &str) -> f64 {
    let stat = fs::read_to_string(path).unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    // `utime` and `stime`, fields 14 and 15; two fields precede the text after the command name.
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S
}

fn resident_mb(id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}
