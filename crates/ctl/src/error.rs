//! Errors shown to operators.

use std::path::PathBuf;

use dandelionfront_coordination::config::Problem;
use snafu::Snafu;

/// Failure of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CtlError {
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The object files have faults.
    #[snafu(display(
        "faults found: {}; fix them and run the command again{}",
        problems.len(),
        indented_lines(problems)
    ))]
    InvalidObjects {
        /// All faults found.
        problems: Vec<Problem>,
    },
    /// The request could not be sent, or receiving the complete response failed or timed out.
    #[snafu(display(
        "the node at {node} did not answer ({detail}); check --node or try another node"
    ))]
    Unreachable {
        /// Address of the node.
        node: String,
        /// Description of the cause.
        detail: String,
    },
    /// The node refused the request.
    #[snafu(display("{message}"))]
    Refused {
        /// Message sent by the node, which normally includes the remedy.
        message: String,
    },
    /// The node's response could not be decoded, or the request body could not be encoded.
    #[snafu(display(
        "the node's response is malformed ({source}); use the same release of dandelionctl and node"
    ))]
    Malformed {
        /// Cause.
        source: serde_json::Error,
    },
}

fn indented_lines(problems: &[Problem]) -> String {
    problems.iter().fold(String::new(), |text, problem| text + "\n  " + &problem.to_string())
}
