//! Review of a configuration before it is sent: errors, entries without effect, limits that
//! contradict each other, and differences from the version in force.

mod difference;
mod objects;
mod table;

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

pub use difference::{Alteration, Difference, FieldChange, object_differences, table_differences};
pub use objects::review_objects;
pub use table::{review_table, review_version};

use super::check::Problem;

/// What a finding means for the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The configuration must not be sent.
    Error,
    /// An entry can never match or is used by nothing.
    NoEffect,
    /// Two settings contradict each other.
    Contradiction,
}

/// An error or a warning about a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Kind.
    pub kind: FindingKind,
    /// Object, description and remedy.
    #[serde(flatten)]
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            FindingKind::Error => "error",
            FindingKind::NoEffect => "no effect",
            FindingKind::Contradiction => "contradiction",
        };
        write!(formatter, "{kind}: {}", self.problem)
    }
}

/// Findings in the order of their discovery.
#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn error(&mut self, object: impl Into<String>, message: impl Into<String>) {
        self.push(FindingKind::Error, object.into(), message.into());
    }

    fn no_effect(&mut self, object: impl Into<String>, message: impl Into<String>) {
        self.push(FindingKind::NoEffect, object.into(), message.into());
    }

    fn contradiction(&mut self, object: impl Into<String>, message: impl Into<String>) {
        self.push(FindingKind::Contradiction, object.into(), message.into());
    }

    fn push(&mut self, kind: FindingKind, object: String, message: String) {
        self.0.push(Finding { kind, problem: Problem { position: None, object, message } });
    }
}

/// Returns the items that equal an earlier one.
fn repeated<'a>(items: impl IntoIterator<Item = &'a String>) -> BTreeSet<&'a str> {
    let mut seen = BTreeSet::new();
    items.into_iter().map(String::as_str).filter(|item| !seen.insert(*item)).collect()
}
