//! Sites whose backend servers follow scripts.

use std::collections::HashSet;
use std::sync::Arc;

use dandelionfront_standins::site::{Script, ScriptedServer};
use serde_json::Value;

use super::http::eventually;
use super::raw::RawAnswer;
use super::site::{Call, Site, config};

/// A site with the servers that answer one of its services.
pub struct ScriptedSite {
    pub site: Site,
    pub server: Arc<ScriptedServer>,
}

impl ScriptedSite {
    /// Starts a site of one node in which `count` servers follow `scripts` and answer `service`.
    pub async fn start(service: &str, count: usize, scripts: Vec<Script>) -> Self {
        let site = Site::start(1).await;
        let any_port = "127.0.0.1:0".parse().expect("valid");
        let (server, address) = ScriptedServer::spawn(any_port, scripts).expect("starts");
        let mut addresses = vec![address];
        addresses.resize_with(count, || server.listen(any_port).expect("starts"));
        site.replace_servers(service, &addresses).await;
        Self { site, server }
    }

    /// Sets a field of route number `route` and waits until the node has the new configuration.
    pub async fn change_route(&self, route: usize, field: &str, value: Value) {
        let mut changed = config(5);
        changed["routes"][route][field] = value;
        self.site.publish(changed).await;
        eventually("the node has the new configuration", async || {
            let metrics = self.site.metrics(0).await;
            metrics.contains("dandelionfront_config_version 5\n").then_some(())
        })
        .await;
    }

    /// Sends a request and returns what the caller receives.
    pub async fn receive(&self, method: &str, path: &str, id: &str) -> RawAnswer {
        self.site.receive_raw(0, &Call { id, method, path, ..Call::default() }).await
    }

    /// Returns how often the request `id` ran.
    pub fn runs(&self, id: &str) -> usize {
        self.server.executed().iter().filter(|ran| *ran == id).count()
    }

    /// Panics unless a connection served more than one request.
    pub fn assert_connection_kept(&self) {
        let requests = self.server.received();
        let connections: HashSet<usize> =
            requests.iter().map(|request| request.connection).collect();
        assert!(connections.len() < requests.len(), "no connection was used again: {requests:?}");
    }

    /// Panics unless the caller of `id` received `own`, was told that it is unknown whether the
    /// request ran, or was told that it did not run and it did not.
    pub fn assert_honest(&self, id: &str, reply: &RawAnswer, own: &RawAnswer) {
        let runs = self.runs(id);
        match (reply.status(), reply.run().as_deref()) {
            (Some(502 | 504), Some("unknown")) => {}
            (_, Some("not_run")) => assert_eq!(runs, 0, "{id} was told that it did not run"),
            _ => assert_eq!(reply, own, "{id} ran {runs} times"),
        }
    }
}

impl RawAnswer {
    /// Returns the status as far as it arrived.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Whole { status, .. } => Some(*status),
            Self::BrokenOff { status, .. } => *status,
            Self::Malformed { .. } => None,
        }
    }

    /// Returns the field `run` of a whole refusal of the node.
    pub fn run(&self) -> Option<String> {
        let Self::Whole { body, .. } = self else { return None };
        let body: Value = serde_json::from_str(body).ok()?;
        body["error"]["run"].as_str().map(str::to_owned)
    }
}

/// Returns a whole answer with status 200.
pub fn whole(body: impl Into<String>) -> RawAnswer {
    RawAnswer::Whole { status: 200, body: body.into() }
}
