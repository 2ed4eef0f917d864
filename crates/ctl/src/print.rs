//! Output as text for operators or as JSON for scripts.

use std::fmt::Write as _;

use serde_json::Value;

use crate::cli::{Command, KeyCommand};

/// Output of a command that ran.
#[derive(Debug)]
pub struct Output {
    /// Text or JSON for the standard output.
    pub text: String,
    /// Whether the exit code shows a failure.
    pub is_failure: bool,
}

/// Returns `value` as indented JSON.
#[must_use]
pub fn json(value: &Value) -> String {
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    text
}

/// Returns the result of `command` as text for operators; programs are shown as JSON.
#[must_use]
pub fn text(command: &Command, value: &Value) -> String {
    match command {
        Command::Publish(_) | Command::Backend(_) | Command::Key(KeyCommand::Withdraw { .. }) => {
            // `publish` returns `changes`; the responses to the other commands have `change_count`.
            let changes = value.get("changes").or(value.get("change_count"));
            let changes = changes.unwrap_or(&Value::Null);
            format!("version {} accepted, {changes} objects changed\n", value["version"])
        }
        Command::Key(KeyCommand::Issue { .. }) => {
            format!("{}\n", value["key"].as_str().unwrap_or_default())
        }
        Command::History => history(value),
        Command::Show => show(value),
        Command::Status => status(value),
        Command::Check(_) | Command::Program(_) => json(value),
    }
}

fn history(value: &Value) -> String {
    let mut text = format!("{:>8}  {:>8}  {:<20}  digest\n", "version", "changes", "author");
    for row in value.as_array().into_iter().flatten() {
        let author = row["author"].as_str().unwrap_or_default();
        let digest = row["digest"].as_str().unwrap_or_default();
        let short_digest = digest.get(..12).unwrap_or(digest);
        let _ = writeln!(
            text,
            "{:>8}  {:>8}  {author:<20}  {short_digest}",
            row["version"].to_string(),
            row["changes"].to_string()
        );
    }
    text
}

fn show(value: &Value) -> String {
    let mut text = format!("version {}\n", value["version"]);
    for (kind, objects) in value["objects"].as_object().into_iter().flatten() {
        for (name, object) in objects.as_object().into_iter().flatten() {
            let _ = writeln!(text, "{kind}.{name} {object}");
        }
    }
    text
}

fn status(value: &Value) -> String {
    let mut text = String::new();
    for (field, content) in value.as_object().into_iter().flatten() {
        if field != "members" {
            let _ = writeln!(text, "{field}: {}", unquoted(content));
        }
    }
    for member in value["members"].as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "member {} {} {} {}",
            unquoted(&member["id"]),
            unquoted(&member["zone"]),
            unquoted(&member["state"]),
            unquoted(&member["forward_address"])
        );
    }
    text
}

fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
