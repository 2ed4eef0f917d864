//! The command `check`: findings in a configuration, and its differences from another one.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use dandelionfront_coordination::config::review::{
    Alteration, Difference, Finding, FindingKind, object_differences, review_objects, review_table,
    review_version, table_differences,
};
use dandelionfront_coordination::config::{ObjectSet, Problem};
use dandelionfront_coordination::routing::RoutingSpec;
use dandelionfront_platform::{config, names};
use serde::Serialize;
use snafu::ResultExt as _;

use crate::cli::{CheckArgs, Cli};
use crate::client::NodeClient;
use crate::commands::{ConfigInForce, NO_BODY, read_with_positions};
use crate::error::{CtlError, InvalidObjectsSnafu, ReadFileSnafu};
use crate::print::{self, Output};

/// Maximum time to wait for the configuration in force, in milliseconds.
const IN_FORCE_TIMEOUT_MAX_MS: u32 = 5_000;

/// Result of a check.
#[derive(Debug, Serialize)]
struct Report {
    /// Number of objects, unless they are too faulty to count.
    objects: Option<usize>,
    /// Digest of the objects of the own interface.
    #[serde(skip_serializing_if = "Option::is_none")]
    digest: Option<String>,
    findings: Vec<Finding>,
    /// What the objects were compared with, or why they were not.
    compared: Comparison,
}

/// What the objects were compared with.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Comparison {
    /// Reason for which there was no comparison.
    Skipped { reason: String },
    /// Comparison with another configuration.
    With { source: String, differences: Vec<Difference> },
}

/// Checks the configuration that `args` name.
///
/// # Errors
///
/// Fails when a file cannot be read, or when the configuration has errors and text is printed.
pub fn check(cli: &Cli, args: &CheckArgs) -> Result<Output, CtlError> {
    let report = match &args.platform {
        Some(path) => check_platform(path, args.against.as_deref()),
        None => check_objects(cli, args),
    };
    let report = match report {
        Err(CtlError::InvalidObjects { problems }) if cli.json => faulty(problems),
        report => report?,
    };
    let is_error = |finding: &Finding| finding.kind == FindingKind::Error;
    let has_errors = report.findings.iter().any(is_error);
    if has_errors && !cli.json {
        let errors = report.findings.into_iter().filter(is_error);
        let problems: Vec<Problem> = errors.map(|finding| finding.problem).collect();
        return InvalidObjectsSnafu { problems }.fail();
    }
    let is_denied = has_errors || (args.deny_warnings && !report.findings.is_empty());
    let text = if cli.json {
        print::json(&serde_json::to_value(&report).unwrap_or_default())
    } else {
        report.text()
    };
    Ok(Output { text, is_failure: is_denied })
}

fn check_objects(cli: &Cli, args: &CheckArgs) -> Result<Report, CtlError> {
    let (mut objects, positions) = read_with_positions(&args.files)?;
    let in_force = match &args.against {
        Some(path) => Ok((path.display().to_string(), read_in_force(path)?)),
        None if args.offline => Err("--offline".to_owned()),
        None => match ask_node(cli) {
            Err(error) if args.keep_keys => return Err(error),
            answer => answer.map_err(|error| error.to_string()),
        },
    };
    if args.keep_keys
        && let Ok((_, in_force)) = &in_force
    {
        objects.keep_keys(in_force);
    }
    let mut findings = review_objects(&objects);
    for finding in &mut findings {
        finding.problem.position = positions.find(&finding.problem.object);
    }
    let compared = match in_force {
        Ok((source, in_force)) => {
            Comparison::With { source, differences: object_differences(&in_force, &objects) }
        }
        Err(reason) => Comparison::Skipped { reason },
    };
    let (count, digest) = (objects.len(), objects.digest());
    Ok(Report { objects: Some(count), digest: Some(digest), findings, compared })
}

/// Asks the node for the objects in force and returns a description of their source as well.
fn ask_node(cli: &Cli) -> Result<(String, ObjectSet), CtlError> {
    let client = NodeClient::new(&cli.node, cli.timeout_ms.min(IN_FORCE_TIMEOUT_MAX_MS));
    let config: ConfigInForce = client.send("GET", "/v1/config", NO_BODY)?;
    Ok((format!("version {} at {}", config.version, cli.node), config.objects))
}

/// Reads object files, or a `.json` file that `dandelionctl --json show` printed.
fn read_in_force(path: &Path) -> Result<ObjectSet, CtlError> {
    if path.extension().is_none_or(|extension| extension != "json") {
        return read_with_positions(&[path.to_owned()]).map(|(objects, _)| objects);
    }
    let text = fs::read(path).context(ReadFileSnafu { path })?;
    let config: Result<ConfigInForce, _> = serde_json::from_slice(&text);
    config.map(|config| config.objects).map_err(|error| {
        let message = format!("{error}; name the output of `dandelionctl --json show`");
        undecodable(path, message)
    })
}

fn check_platform(path: &Path, against: Option<&Path>) -> Result<Report, CtlError> {
    let spec = read_platform(path)?;
    let mut findings = review_table(&spec);
    let compared = match against {
        Some(against) => {
            let in_force = read_platform(against)?;
            findings.extend(review_version(in_force.version, spec.version));
            let mut differences = table_differences(&in_force, &spec);
            differences.iter_mut().for_each(rename_difference);
            let source = format!("version {} in {}", in_force.version, against.display());
            Comparison::With { source, differences }
        }
        None => Comparison::Skipped { reason: "no file given with --against".to_owned() },
    };
    for finding in &mut findings {
        finding.problem.object = names::path(&finding.problem.object);
    }
    let teams = spec.teams.as_ref().map_or(0, Vec::len);
    let count = spec.routes.len() + spec.services.len() + teams;
    Ok(Report { objects: Some(count), digest: None, findings, compared })
}

/// Replaces the names in `difference` by the operator's.
fn rename_difference(difference: &mut Difference) {
    difference.kind = names::section(&difference.kind).to_owned();
    if let Alteration::Changed { fields } = &mut difference.alteration {
        for change in fields {
            change.field = names::field(&change.field).to_owned();
        }
    }
}

fn read_platform(path: &Path) -> Result<RoutingSpec, CtlError> {
    let text = fs::read(path).context(ReadFileSnafu { path })?;
    config::read(&text).map_err(|error| undecodable(path, format!("{error}; correct it there")))
}

fn undecodable(path: &Path, message: String) -> CtlError {
    let problem = Problem { position: None, object: path.display().to_string(), message };
    InvalidObjectsSnafu { problems: vec![problem] }.build()
}

/// Returns the report of objects that cannot be read because of `problems`.
fn faulty(problems: Vec<Problem>) -> Report {
    let error = |problem| Finding { kind: FindingKind::Error, problem };
    let findings = problems.into_iter().map(error).collect();
    let reason = "the objects have errors".to_owned();
    Report { objects: None, digest: None, findings, compared: Comparison::Skipped { reason } }
}

impl Report {
    fn text(&self) -> String {
        let mut text = format!("{} objects, no faults\n", self.objects.unwrap_or_default());
        if !self.findings.is_empty() {
            let _ = writeln!(text, "warnings: {}", self.findings.len());
        }
        for finding in &self.findings {
            let _ = writeln!(text, "  {finding}");
        }
        match &self.compared {
            Comparison::Skipped { reason } => {
                let _ = writeln!(text, "not compared with the version in force ({reason})");
            }
            Comparison::With { source, differences } => {
                let _ = writeln!(text, "differences from {source}: {}", differences.len());
                for difference in differences {
                    let _ = writeln!(text, "  {difference}");
                }
            }
        }
        text
    }
}
