//! Handlers for the state of the node and of programs.

use std::rc::Rc;

use dandelionfront_coordination::Member;
use dandelionfront_coordination::record::CloseReason;
use ntex::web::{HttpResponse, types::Path, types::State};
use serde::Serialize;
use serde_json::json;

use crate::connection::forward::ProgramRequest;
use crate::process::{Control, Worker};
use crate::request::answer::refuse;
use crate::request::programs::{close_program, program_view};

/// Body of a status response.
#[derive(Debug, Serialize)]
struct NodeStatus {
    incarnation: String,
    region: String,
    zone: String,
    draining: bool,
    config_version: u64,
    /// Whether each shard of the region has its preferred owner and the limits of the active
    /// configuration are prepared.
    settled: bool,
    shards: usize,
    programs: usize,
    /// Time since the head row was last read; `None` before the first read.
    head_age_ms: Option<u64>,
    commits: u64,
    commit_retries: u64,
    members: Vec<Member>,
}

/// Returns the state of this node.
pub async fn get_status(worker: State<Rc<Worker>>) -> HttpResponse {
    let identity = worker.shared.settings.identity.clone();
    let draining = worker.shared.is_draining();
    let config_version = worker.shared.config().version();
    let read = move |control: Rc<Control>| async move {
        let node = control.node();
        let stats = node.journal().stats();
        NodeStatus {
            incarnation: node.incarnation().id().to_owned(),
            region: identity.region,
            zone: identity.zone,
            draining,
            config_version,
            settled: node.is_converged(config_version),
            shards: node.shards().serving().len(),
            programs: node.owner().program_count(),
            head_age_ms: node
                .membership()
                .head_age()
                .map(dandelionfront_coordination::clock::millis),
            commits: stats.commits,
            commit_retries: stats.retries,
            members: node.membership().members().to_vec(),
        }
    };
    match worker.shared.control.run(read).await {
        Ok(status) => HttpResponse::Ok().json(&status),
        Err(refusal) => refuse(&worker.shared.metrics, &refusal),
    }
}

/// Returns a program of any team.
pub async fn get_program(worker: State<Rc<Worker>>, id: Path<String>) -> HttpResponse {
    let get = ProgramRequest::Get { id: id.clone(), team: None };
    match program_view(&worker, &id, get).await {
        Ok(view) => HttpResponse::Ok().json(&view),
        Err(refusal) => refuse(&worker.shared.metrics, &refusal),
    }
}

/// Cancels a program of any team.
pub async fn cancel_program(worker: State<Rc<Worker>>, id: Path<String>) -> HttpResponse {
    match close_program(&worker, &id, None, CloseReason::Cancelled).await {
        Ok(ended) => HttpResponse::Ok().json(&json!({ "ended": ended })),
        Err(refusal) => refuse(&worker.shared.metrics, &refusal),
    }
}
