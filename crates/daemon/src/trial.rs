//! Runs a sample program through one node, with stand-ins for all other services.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;

use clap::Parser as _;
use dandelionfront_standins::http::RecordedRequest;
use dandelionfront_standins::{Engine, EngineSettings, Platform, Service, ServiceSettings};
use ntex::client::{Client, ClientRequest};
use ntex::rt::System;
use ntex::time::{Millis, Seconds, sleep};
use serde_json::{Value, json};
use snafu::{Snafu, ensure};

use crate::cli::{Cli, TrialArgs};
use crate::connection::clients;
use crate::consts::{IDEMPOTENCY_KEY_HEADER, JSON, PROGRAM_ID_HEADER, PROGRAM_SEQUENCE_HEADER};
use crate::process::{RunningNode, start, wait_for_stop_signal};
use crate::settings::Settings;

/// Idempotency key of the sample call that must run only once.
const CHECKOUT_KEY: &str = "checkout-1";
/// Number of model engines.
const ENGINES: usize = 2;
/// Maximum number of checks whether the node is ready.
const READY_CHECKS_MAX: u32 = 200;
/// Interval between checks whether the node is ready.
const READY_CHECK_INTERVAL: Millis = Millis(25);
/// Port for callers when the trial keeps running after the sample program.
const SERVE_PORT: u16 = 8080;

/// Failure of the trial.
#[derive(Debug, Snafu)]
enum TrialError {
    #[snafu(display("cannot start: {source}; check that loopback ports are free"))]
    Start { source: io::Error },
    #[snafu(display("the HTTP client cannot be built"))]
    Client,
    #[snafu(display("{step}: {detail}"))]
    Step { step: &'static str, detail: String },
    #[snafu(display("unexpected result: {detail}"))]
    Unexpected { detail: String },
}

/// Runs the trial; the exit code is 0 only if the answers, the history and the execution counts
/// are as expected.
#[must_use]
pub fn run(args: &TrialArgs) -> ExitCode {
    let system = System::build().name("trial").build(ntex::rt::DefaultRuntime);
    let serve = args.serve;
    match system.block_on(run_trial(serve)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_trial(serve: bool) -> Result<(), TrialError> {
    let trial = Trial::start(serve).await?;
    trial.publish().await?;
    let key = trial.issue_key().await?;
    trial.run_program(&key).await?;
    println!("ok: answer, history and execution counts are right");
    if serve {
        println!("serving: base_url=http://{}/v1 api_key={key} model=geo", trial.listen());
        println!("operators: http://{}", trial.operator());
        let stopped = wait_for_stop_signal().await;
        stopped.map_err(|source| TrialError::Start { source })?;
    }
    trial.node.stop().await;
    Ok(())
}

struct Trial {
    node: RunningNode,
    client: Client,
    engines: Vec<SocketAddr>,
    service: SocketAddr,
}

impl Trial {
    async fn start(serve: bool) -> Result<Self, TrialError> {
        let failed = |source| TrialError::Start { source };
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::spawn(any_port).map_err(failed)?;
        let engines: Result<Vec<_>, _> =
            (0..ENGINES).map(|_| Engine::spawn(any_port, EngineSettings::default())).collect();
        let engines = engines.map_err(failed)?;
        let service = Service::spawn(any_port, ServiceSettings::default()).map_err(failed)?;
        let node = start(settings(platform, serve)?).await.map_err(failed)?;
        let client = clients::build(Seconds::ZERO).await.map_err(|_| TrialError::Client)?;
        println!("started: one node, a platform, {ENGINES} engines and a service in this process");
        Ok(Self { node, client, engines, service })
    }

    fn listen(&self) -> SocketAddr {
        self.node.shared().settings.listen
    }

    fn operator(&self) -> SocketAddr {
        self.node.shared().settings.operator_listen
    }

    async fn publish(&self) -> Result<(), TrialError> {
        let mut backends = json!({
            "desk-1": { "address": self.service, "zone": "local-a", "serves": ["desk"] },
        });
        for (index, address) in self.engines.iter().enumerate() {
            backends[format!("engine-{index}")] =
                json!({ "address": address, "zone": "local-a", "serves": ["geo-llm"] });
        }
        let objects = json!({
            "limit": { "small": { "rate_per_s": 50.0, "burst": 100 } },
            "team": { "crew": { "limit": "small" } },
            "model": { "geo-llm": { "context_tokens": 32_768 } },
            "service": { "desk": {} },
            "backend": backends,
            "route": {
                "geo": { "model": "geo-llm", "teams": ["crew"], "repeatable": true },
                "desk": { "service": "desk", "teams": ["crew"] },
            },
        });
        let publication = json!({
            "base_version": 0, "publish_id": "trial", "author": "trial", "objects": objects,
        });
        let request = self.client.post(format!("http://{}/v1/config", self.operator()));
        let published = send(request, "publish", &publication).await?;
        println!("published: version {}", published["version"]);
        self.wait_ready().await
    }

    async fn wait_ready(&self) -> Result<(), TrialError> {
        for _ in 0..READY_CHECKS_MAX {
            let request = self.client.get(format!("http://{}/v1/status", self.operator()));
            if send(request, "status", &Value::Null).await?["settled"] == true {
                return Ok(());
            }
            sleep(READY_CHECK_INTERVAL).await;
        }
        UnexpectedSnafu { detail: "the node did not become ready in time" }.fail()
    }

    async fn issue_key(&self) -> Result<String, TrialError> {
        let request = self.client.post(format!("http://{}/v1/keys", self.operator()));
        let issued =
            send(request, "issue a key", &json!({ "name": "crew-1", "team": "crew" })).await?;
        println!("issued: a key of team crew");
        Ok(issued["key"].as_str().unwrap_or_default().to_owned())
    }

    async fn run_program(&self, key: &str) -> Result<(), TrialError> {
        let request = self.client.post(format!("http://{}/v1/programs", self.listen()));
        let opened = send(request.bearer_auth(key), "open a program", &json!({})).await?;
        let program = opened["id"].as_str().unwrap_or_default();
        println!("opened: program {program}");

        let first = self.ask(key, program, 1, "Which datum does the base station use?").await?;
        println!("call 1, model: {first}");
        let question = format!("{first}. Which antenna fits?");
        let second = self.ask(key, program, 2, &question).await?;
        println!("call 2, model: {second}");
        let checkout = self.check_out(key, program).await?;
        println!("call 3, service: execution {}", checkout["execution"]);
        let repeated = self.check_out(key, program).await?;
        println!("call 3 again: execution {}, the recorded answer", repeated["execution"]);
        ensure!(
            checkout == repeated,
            UnexpectedSnafu { detail: "the repeated call got a different answer" }
        );

        let path = format!("http://{}/v1/programs/{program}", self.listen());
        let request = self.client.get(path).bearer_auth(key);
        let history = send(request, "read the history", &Value::Null).await?;
        check_history(&history, &[&first, &second])?;
        println!("history: 3 calls, all finished");
        self.check_executions(key, &first).await
    }

    async fn ask(
        &self,
        key: &str,
        program: &str,
        sequence: u64,
        question: &str,
    ) -> Result<String, TrialError> {
        let request = self.client.post(format!("http://{}/v1/chat/completions", self.listen()));
        let request = call_headers(request, key, program, sequence, &format!("ask-{sequence}"));
        let body = json!({
            "model": "geo",
            "messages": [{ "role": "user", "content": question }],
            "max_tokens": 8,
        });
        let completion = send(request, "ask the model", &body).await?;
        let text = completion["choices"][0]["message"]["content"].as_str().unwrap_or_default();
        ensure!(!text.is_empty(), UnexpectedSnafu { detail: "the answer of the model is empty" });
        Ok(text.to_owned())
    }

    async fn check_out(&self, key: &str, program: &str) -> Result<Value, TrialError> {
        let path = format!("http://{}/v1/services/desk/checkout", self.listen());
        let request = call_headers(self.client.post(path), key, program, 3, CHECKOUT_KEY);
        send(request, "check out", &json!({ "kit": "rover-7" })).await
    }

    async fn check_executions(&self, key: &str, first: &str) -> Result<(), TrialError> {
        let mut model_calls = Vec::new();
        for engine in &self.engines {
            model_calls.extend(self.record(*engine).await?);
        }
        let service_calls = self.record(self.service).await?;
        let counts = (model_calls.len(), service_calls.len());
        ensure!(
            counts == (2, 1),
            UnexpectedSnafu { detail: format!("model and service executions are {counts:?}") }
        );
        let contains_first_answer = model_calls.iter().any(|call| call.body.contains(first));
        ensure!(
            contains_first_answer,
            UnexpectedSnafu { detail: "the second call does not contain the first answer" }
        );
        let key_leaked = model_calls.iter().chain(&service_calls).any(|call| {
            call.body.contains(key) || call.headers.values().any(|value| value.contains(key))
        });
        ensure!(!key_leaked, UnexpectedSnafu { detail: "a backend server received the API key" });
        println!("executions: 2 model calls, 1 service call, no key seen");
        Ok(())
    }

    async fn record(&self, address: SocketAddr) -> Result<Vec<RecordedRequest>, TrialError> {
        let request = self.client.get(format!("http://{address}/standin/record"));
        let record = send(request, "read the record", &Value::Null).await?;
        serde_json::from_value(record).map_err(|error| TrialError::Unexpected {
            detail: format!("the record is malformed: {error}"),
        })
    }
}

/// Returns the settings of the trial's node.
fn settings(platform: SocketAddr, serve: bool) -> Result<Settings, TrialError> {
    let listen = format!("127.0.0.1:{}", if serve { SERVE_PORT } else { 0 });
    let platform = format!("http://{platform}");
    let args = [
        "dandelionfront",
        "--listen",
        &listen,
        "--platform",
        &platform,
        "--forward-listen",
        "127.0.0.1:0",
        "--peer-listen",
        "127.0.0.1:0",
        "--operator-listen",
        "127.0.0.1:0",
        "--head-poll-ms",
        "50",
        "--shard-count",
        "16",
    ];
    Settings::from_args(&Cli::parse_from(args).node).map_err(|errors| TrialError::Unexpected {
        detail: errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "),
    })
}

fn call_headers(
    request: ClientRequest,
    key: &str,
    program: &str,
    sequence: u64,
    idempotency_key: &str,
) -> ClientRequest {
    request
        .bearer_auth(key)
        .header(PROGRAM_ID_HEADER, program)
        .header(PROGRAM_SEQUENCE_HEADER, sequence.to_string())
        .header(IDEMPOTENCY_KEY_HEADER, idempotency_key)
}

async fn send(
    request: ClientRequest,
    step: &'static str,
    body: &Value,
) -> Result<Value, TrialError> {
    let failed = |detail: String| TrialError::Step { step, detail };
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let response = request.content_type(JSON).send_body(body).await;
    let response = response.map_err(|error| failed(error.to_string()))?;
    let status = response.status();
    let bytes = response.body().await.map_err(|error| failed(error.to_string()))?;
    if !status.is_success() {
        return Err(failed(format!("{status} {}", String::from_utf8_lossy(&bytes))));
    }
    serde_json::from_slice(&bytes).map_err(|error| failed(error.to_string()))
}

fn check_history(history: &Value, answers: &[&str]) -> Result<(), TrialError> {
    let calls = history["calls"].as_array().cloned().unwrap_or_default();
    let finished = calls.iter().filter(|call| call["state"] == "finished").count();
    ensure!(
        finished == 3,
        UnexpectedSnafu { detail: format!("the history has {finished} finished calls") }
    );
    for (call, answer) in calls.iter().zip(answers) {
        let recorded = call["answer"].as_str().unwrap_or_default();
        ensure!(
            recorded.contains(answer),
            UnexpectedSnafu { detail: "the history has a different answer" }
        );
    }
    Ok(())
}
