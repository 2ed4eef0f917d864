//! Handlers that publish configurations, issue and withdraw keys and drain backend servers.

use std::rc::Rc;

use dandelionfront_coordination::config::objects::{BackendState, Key};
use dandelionfront_coordination::config::publish::{Publication, PublishError, Published};
use dandelionfront_coordination::config::{ObjectSet, Problem};
use dandelionfront_coordination::ids::sha256_hex;
use log::info;
use ntex::http::StatusCode;
use ntex::web::{HttpResponse, types::Json, types::Path, types::State};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::process::{Control, Worker};

/// Maximum number of retries of a change after conflicts with other publications.
const CONFLICT_RETRIES: usize = 10;
/// Prefix of callers' keys.
const KEY_PREFIX: &str = "dlf-";

/// Body of `POST /v1/keys`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IssueBody {
    name: String,
    team: String,
    #[serde(default = "unnamed_author")]
    author: String,
}

fn unnamed_author() -> String {
    "operator".to_owned()
}

/// Body of an error response to an operator.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
    problems: Vec<Problem>,
}

/// Failure to publish a change of individual objects.
enum EditError {
    /// The change was not attempted: its object is missing or already exists, or the node is
    /// stopping.
    Rejected(String),
    /// The configuration could not be read or published.
    Publish(PublishError),
}

/// Returns the active configuration.
pub async fn get_config(worker: State<Rc<Worker>>) -> HttpResponse {
    let config = worker.shared.config();
    HttpResponse::Ok().json(&json!({
        "version": config.version(),
        "digest": config.digest(),
        "objects": config.objects(),
    }))
}

/// Publishes a complete configuration.
pub async fn publish(worker: State<Rc<Worker>>, publication: Json<Publication>) -> HttpResponse {
    let publication = publication.into_inner();
    let work = move |control: Rc<Control>| async move { control.publish(&publication).await };
    match worker.shared.control.run(work).await {
        Ok(Ok(published)) => HttpResponse::Ok().json(&published),
        Ok(Err(error)) => publish_error_response(error),
        Err(refusal) => error_response(StatusCode::SERVICE_UNAVAILABLE, refusal.message),
    }
}

/// Returns all published versions without their objects.
pub async fn get_history(worker: State<Rc<Worker>>) -> HttpResponse {
    let work =
        |control: Rc<Control>| async move { control.config_follower().store().history().await };
    match worker.shared.control.run(work).await {
        Ok(Ok(rows)) => {
            let versions: Vec<_> = rows
                .iter()
                .map(|row| {
                    json!({
                        "version": row.version,
                        "author": row.author,
                        "published_unix_ms": row.published_unix_ms,
                        "changes": row.change_count,
                        "digest": row.digest,
                    })
                })
                .collect();
            HttpResponse::Ok().json(&versions)
        }
        Ok(Err(error)) => error_response(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        Err(refusal) => error_response(StatusCode::SERVICE_UNAVAILABLE, refusal.message),
    }
}

/// Issues a key; the secret is returned once and only its hash is stored.
pub async fn issue_key(worker: State<Rc<Worker>>, body: Json<IssueBody>) -> HttpResponse {
    let IssueBody { name, team, author } = body.into_inner();
    let secret =
        format!("{KEY_PREFIX}{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
    let key = Key { team, sha256: sha256_hex(secret.as_bytes()), withdrawn: false };
    let key_name = name.clone();
    let edit = move |objects: &mut ObjectSet| {
        if objects.key.contains_key(&key_name) {
            return Err(format!("key {key_name:?} exists; withdraw it or choose another name"));
        }
        objects.key.insert(key_name.clone(), key.clone());
        Ok(())
    };
    match edit_objects(&worker, author, edit).await {
        Ok(published) => {
            info!("event=key_issued name={name} version={}", published.version);
            HttpResponse::Created().json(&json!({
                "name": name,
                "key": secret,
                "version": published.version,
            }))
        }
        Err(error) => edit_error_response(error),
    }
}

/// Withdraws a key.
pub async fn withdraw_key(worker: State<Rc<Worker>>, name: Path<String>) -> HttpResponse {
    let name = name.into_inner();
    let key_name = name.clone();
    let edit = move |objects: &mut ObjectSet| match objects.key.get_mut(&key_name) {
        Some(key) => {
            key.withdrawn = true;
            Ok(())
        }
        None => Err(format!("there is no key {key_name:?}; see dandelionctl show")),
    };
    edit_response(edit_objects(&worker, unnamed_author(), edit).await)
}

/// Drains a backend server, so that it gets no new calls.
pub async fn drain_backend(worker: State<Rc<Worker>>, name: Path<String>) -> HttpResponse {
    let name = name.into_inner();
    let edit = move |objects: &mut ObjectSet| match objects.backend.get_mut(&name) {
        Some(backend) => {
            backend.state = BackendState::Draining;
            Ok(())
        }
        None => Err(format!("there is no backend {name:?}; see dandelionctl show")),
    };
    edit_response(edit_objects(&worker, unnamed_author(), edit).await)
}

/// Applies `edit` to the newest configuration and publishes the result; retries on conflicts with
/// other publications.
async fn edit_objects<E>(worker: &Worker, author: String, edit: E) -> Result<Published, EditError>
where
    E: Fn(&mut ObjectSet) -> Result<(), String> + Send + 'static,
{
    let work = move |control: Rc<Control>| async move {
        let mut retries = 0;
        loop {
            let current = control
                .config_follower()
                .newest()
                .await
                .map_err(|source| EditError::Publish(PublishError::Platform { source }))?;
            let mut objects = current.objects().clone();
            edit(&mut objects).map_err(EditError::Rejected)?;
            let publication = Publication {
                base_version: current.version(),
                publish_id: format!("edit-{:016x}", rand::random::<u64>()),
                author: author.clone(),
                objects,
            };
            match control.publish(&publication).await {
                Err(PublishError::Conflict { .. }) if retries < CONFLICT_RETRIES => retries += 1,
                result => return result.map_err(EditError::Publish),
            }
        }
    };
    match worker.shared.control.run(work).await {
        Ok(result) => result,
        Err(refusal) => Err(EditError::Rejected(refusal.message)),
    }
}

fn edit_response(result: Result<Published, EditError>) -> HttpResponse {
    match result {
        Ok(published) => HttpResponse::Ok().json(&published),
        Err(error) => edit_error_response(error),
    }
}

fn edit_error_response(error: EditError) -> HttpResponse {
    match error {
        EditError::Rejected(message) => error_response(StatusCode::CONFLICT, message),
        EditError::Publish(error) => publish_error_response(error),
    }
}

fn publish_error_response(error: PublishError) -> HttpResponse {
    let message = error.to_string();
    match error {
        PublishError::Invalid { problems } => {
            let body = ErrorBody { error: message, problems };
            HttpResponse::UnprocessableEntity().json(&body)
        }
        PublishError::Conflict { .. } => error_response(StatusCode::CONFLICT, message),
        PublishError::Platform { .. } => error_response(StatusCode::SERVICE_UNAVAILABLE, message),
    }
}

fn error_response(status: StatusCode, error: String) -> HttpResponse {
    HttpResponse::build(status).json(&ErrorBody { error, problems: Vec::new() })
}
