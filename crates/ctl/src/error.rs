//! Errors shown to operators.

use std::path::PathBuf;

use dandelionfront_coordination::config::Problem;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CtlError {
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    ReadFile {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The object files have faults.
    #[snafu(display("{} faults; mend them and run the command again{}", problems.len(), problem_lines(problems)))]
    InvalidObjects {
        /// All faults.
        problems: Vec<Problem>,
    },
    /// The node did not answer.
    #[snafu(display(
        "the node at {node} did not answer ({detail}); check --node or name another node"
    ))]
    Unreachable {
        /// Address of the node.
        node: String,
        /// Cause.
        detail: String,
    },
    /// The node refused the request.
    #[snafu(display("{message}"))]
    Refused {
        /// Message of the node, which names the remedy.
        message: String,
    },
    /// The node's answer could not be read.
    #[snafu(display(
        "the node answered in another format ({source}); use the same release for both"
    ))]
    Malformed {
        /// Cause.
        source: serde_json::Error,
    },
}

fn problem_lines(problems: &[Problem]) -> String {
    problems.iter().fold(String::new(), |text, problem| text + "\n  " + &problem.to_string())
}
