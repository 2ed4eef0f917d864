//! Execution of the commands.

use std::fs;
use std::path::{Path, PathBuf};

use dandelionfront_coordination::config::files::Positions;
use dandelionfront_coordination::config::publish::{Publication, Published};
use dandelionfront_coordination::config::{ObjectFiles, ObjectSet};
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::ResultExt as _;

use crate::check;
use crate::cli::{BackendCommand, Cli, Command, FileArgs, KeyCommand, ProgramCommand, PublishArgs};
use crate::client::NodeClient;
use crate::error::{CtlError, InvalidObjectsSnafu, ReadFileSnafu};
use crate::print::{self, Output};

/// Body argument of requests without a body.
pub(crate) const NO_BODY: Option<&()> = None;

/// Configuration in force, as returned by a node.
#[derive(Debug, Deserialize)]
pub(crate) struct ConfigInForce {
    /// Version.
    pub(crate) version: u64,
    /// Complete set of objects.
    pub(crate) objects: ObjectSet,
}

/// Runs a command and returns its output.
///
/// # Errors
///
/// Fails when a file cannot be read, the objects have faults, or the request to the node fails.
pub fn run(cli: &Cli) -> Result<Output, CtlError> {
    let client = NodeClient::new(&cli.node, cli.timeout_ms);
    let value = match &cli.command {
        Command::Check(args) => return check::check(cli, args),
        Command::Publish(args) => publish(&client, args)?,
        Command::Show => client.send("GET", "/v1/config", NO_BODY)?,
        Command::History => client.send("GET", "/v1/config/history", NO_BODY)?,
        Command::Key(KeyCommand::Issue { name, team }) => {
            client.send("POST", "/v1/keys", Some(&json!({ "name": name, "team": team })))?
        }
        Command::Key(KeyCommand::Withdraw { name }) => {
            client.send("DELETE", &format!("/v1/keys/{name}"), NO_BODY)?
        }
        Command::Backend(BackendCommand::Drain { name }) => {
            client.send("POST", &format!("/v1/backends/{name}/drain"), NO_BODY)?
        }
        Command::Program(ProgramCommand::Show { id }) => {
            client.send("GET", &format!("/v1/programs/{id}"), NO_BODY)?
        }
        Command::Program(ProgramCommand::Cancel { id }) => {
            client.send("DELETE", &format!("/v1/programs/{id}"), NO_BODY)?
        }
        Command::Status => client.send("GET", "/v1/status", NO_BODY)?,
    };
    let text = if cli.json { print::json(&value) } else { print::text(&cli.command, &value) };
    Ok(Output { text, is_failure: false })
}

fn publish(client: &NodeClient, args: &PublishArgs) -> Result<Value, CtlError> {
    let mut objects = read_objects(&args.files)?;
    let in_force: ConfigInForce = client.send("GET", "/v1/config", NO_BODY)?;
    if args.keep_keys {
        objects.keep_keys(&in_force.objects);
    }
    let random_id = || format!("publish-{:016x}", rand::random::<u64>());
    let publication = Publication {
        base_version: args.base_version.unwrap_or(in_force.version),
        publish_id: args.publish_id.clone().unwrap_or_else(random_id),
        author: args.author.clone(),
        objects,
    };
    let published: Published = client.send("POST", "/v1/config", Some(&publication))?;
    Ok(json!({
        "version": published.version,
        "changes": published.change_count,
        "digest": published.digest,
    }))
}

/// Reads and checks object files.
///
/// # Errors
///
/// Fails when a file cannot be read or the objects have faults; the error lists all faults.
pub fn read_objects(args: &FileArgs) -> Result<ObjectSet, CtlError> {
    read_with_positions(&args.files).map(|(objects, _)| objects)
}

/// Reads and checks object files, as [`read_objects`] does, and returns positions as well.
pub(crate) fn read_with_positions(paths: &[PathBuf]) -> Result<(ObjectSet, Positions), CtlError> {
    let mut files = ObjectFiles::default();
    for path in expand_folders(paths)? {
        let text = fs::read_to_string(&path).context(ReadFileSnafu { path: &path })?;
        files.add(&path.display().to_string(), &text);
    }
    files.finish_with_positions().map_err(|problems| InvalidObjectsSnafu { problems }.build())
}

/// Replaces each folder with the `.toml` files directly in it, sorted by name.
fn expand_folders(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CtlError> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            files.extend(object_files(path)?);
        } else {
            files.push(path.clone());
        }
    }
    Ok(files)
}

fn object_files(folder: &Path) -> Result<Vec<PathBuf>, CtlError> {
    let entries = fs::read_dir(folder).context(ReadFileSnafu { path: folder })?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "toml"))
        .collect();
    files.sort();
    Ok(files)
}
