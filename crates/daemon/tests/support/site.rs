//! Test nodes started with the subcommand `front`, with stand-ins for the users' platform: its
//! metadata store and its runners.

use std::cell::Cell;
use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::mem;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use dandelionfront_standins::site::{MetadataStore, Runner, RunnerSettings};
use ntex::client::ClientRequest;
use serde_json::{Value, json};
use tokio::net::TcpSocket;

use super::http::{Http, Reply, eventually};
use super::process::{Build, ChildProcess};

/// Key of team `alpha`, whose limit no test reaches.
pub const ALPHA_KEY: &str = "key-of-alpha";
/// Key of team `beta`, which has no limit (its rate is 0).
pub const BETA_KEY: &str = "key-of-beta";
/// Key of team `small`, which has a burst of two requests and a rate of one in 100 seconds.
pub const SMALL_KEY: &str = "key-of-small";
/// Host of all routes.
pub const HOST: &str = "calls.example";
/// Number of settings files written by this process.
static SETTINGS_FILES: AtomicU64 = AtomicU64::new(0);
/// Longest wait until a node has started or failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks whether a node has started.
const START_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of events in a complete stream.
pub const EVENTS_PER_STREAM: u64 = 4;
/// Tokens that are counted for each event.
pub const TOKENS_PER_EVENT: u64 = 10;

/// Variable with the build of the first node of each test, `current` or `production`; the builds of
/// its further nodes alternate. Without it, all nodes are of the current build.
const FIRST_BUILD_VARIABLE: &str = "DANDELIONFRONT_FIRST_BUILD";

thread_local! {
    /// Build of the node that this test starts next; each test has its own thread.
    static NEXT_BUILD: Cell<Option<Build>> = Cell::new(first_build());
}

fn first_build() -> Option<Build> {
    let first = std::env::var(FIRST_BUILD_VARIABLE).ok().filter(|_| Build::has_production())?;
    match first.as_str() {
        "current" => Some(Build::Current),
        "production" => Some(Build::Production),
        other => panic!("{FIRST_BUILD_VARIABLE}={other}; set it to current or production"),
    }
}

fn next_build() -> Build {
    let build = NEXT_BUILD.get();
    NEXT_BUILD.set(build.map(Build::other));
    build.unwrap_or(Build::Current)
}

/// A node's process and its addresses.
pub struct SiteNode {
    pub process: ChildProcess,
    pub build: Build,
    pub listen: String,
    pub ready: String,
    pub metrics: String,
    /// Address for datagrams, relayed store calls and tunnels of other nodes.
    pub peer: String,
    settings: PathBuf,
    args: Vec<String>,
}

impl SiteNode {
    /// Waits until the node has bound its addresses; returns `false` if one was already in use.
    fn wait_until_bound(&self) -> bool {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            let lines = self.process.lines();
            if lines.iter().any(|line| line.contains("event=started")) {
                return true;
            }
            let failure = lines.iter().find(|line| line.contains("event=start_failed"));
            if let Some(failure) = failure {
                assert!(failure.contains("Address already in use"), "{failure}");
                return false;
            }
            std::thread::sleep(START_POLL_INTERVAL);
        }
        panic!("the node did not start: {:#?}", self.process.lines());
    }

    /// Kills the process and starts one of `build` at the same addresses.
    pub fn restart(&mut self, build: Build) {
        self.process.kill();
        self.build = build;
        // A connection of another test may use one of the ports for a moment.
        loop {
            self.process = ChildProcess::daemon_of(build, &self.args);
            if self.wait_until_bound() {
                return;
            }
        }
    }
}

impl Drop for SiteNode {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A backend server.
pub struct SiteRunner {
    pub id: String,
    pub address: String,
}

/// Limits in the settings of a node's process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLimits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Open descriptors, which the system enforces; `None` without a limit of their own.
    pub descriptors_max: Option<u64>,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { memory_mb: 100, descriptors_max: None }
    }
}

impl ProcessLimits {
    /// Returns the section of the settings file.
    fn section(&self) -> String {
        let memory = format!("[limits]\nmemoryMb = {}\n", self.memory_mb);
        let descriptors = self.descriptors_max.map(|max| format!("maxFds = {max}\n"));
        memory + &descriptors.unwrap_or_default()
    }
}

/// The store, backend servers and nodes of a test.
pub struct Site {
    pub http: Http,
    pub store: String,
    pub engines: Vec<SiteRunner>,
    pub services: Vec<SiteRunner>,
    pub nodes: Vec<SiteNode>,
    pub config: Value,
}

/// A caller's request.
pub struct Call<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self { id: "r-1", method: "POST", path: "/plain/x", key: ALPHA_KEY, headers: &[], body: "" }
    }
}

/// Returns an address at which nobody listens.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}

/// Returns an address that refuses connections as long as the tests run.
pub fn refusing_address() -> SocketAddr {
    // Bound without a listener, so that no other test is given the port.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("valid")).expect("a free port");
    let address = socket.local_addr().expect("bound");
    mem::forget(socket);
    address
}

fn route(prefix: &str, kind: &str, service: &str, overrides: &Value) -> Value {
    let mut route = json!({
        "name": prefix.trim_matches('/'), "hostname": HOST, "pathPrefix": prefix, "kind": kind,
        "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 0, "service": service,
        "maxAttempts": 2, "public": false,
    });
    for (field, value) in overrides.as_object().expect("an object") {
        route[field] = value.clone();
    }
    route
}

/// Returns the configuration of the tests with the given version.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("/plain/", "unsafe", "desk", &json!({})),
            route("/lookup/", "safe", "desk", &json!({})),
            route("/open/", "safe", "desk", &json!({ "public": true })),
            route("/stream/talk/", "stream", "geo", &json!({ "resumable": true })),
            route("/stream/kept/", "stream", "geo", &json!({ "retainContext": true, "retentionS": 60 })),
        ],
        "services": [
            { "name": "geo", "maxConnections": 100,
              "engine": { "slots": 4, "kvCapacity": 100_000, "tokensPerEvent": TOKENS_PER_EVENT } },
            { "name": "desk", "maxConnections": 100 },
        ],
        "limits": { "maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 2000,
                    "idleTimeoutMs": 5000 },
        "tenants": [
            { "name": "alpha", "apiKeys": [ALPHA_KEY], "ratePerS": 1000, "burst": 1000 },
            { "name": "beta", "apiKeys": [BETA_KEY], "ratePerS": 0, "burst": 0 },
            { "name": "small", "apiKeys": [SMALL_KEY], "ratePerS": 0.01, "burst": 2 },
        ],
    })
}

/// Creates a request to the node with the address `listen`.
pub fn request_to(http: &Http, listen: &str, call: &Call<'_>) -> ClientRequest {
    let mut request = http.request(call.method, listen, call.path);
    request = request.set_header("host", HOST).set_header("request-id", call.id);
    request = request.set_header("deadline-ms", "4000").set_header("key", call.key);
    for (name, value) in call.headers {
        request = request.set_header(*name, *value);
    }
    request
}

impl Site {
    /// Starts a store, two engines, two services and `nodes` nodes, and waits until the nodes are
    /// ready.
    pub async fn start(nodes: usize) -> Self {
        Self::start_with_engines(nodes, &["v1", "v1"]).await
    }

    /// Starts a site with one engine for each software version in `software`.
    pub async fn start_with_engines(nodes: usize, software: &[&str]) -> Self {
        let http = Http::new().await;
        let any_port = "127.0.0.1:0".parse().expect("valid");
        let store = MetadataStore::spawn(any_port).expect("starts").to_string();
        let runner = |id: &str, delay_ms| {
            let settings =
                RunnerSettings { id: id.to_owned(), event_count: EVENTS_PER_STREAM, delay_ms };
            let address = Runner::spawn(any_port, settings).expect("starts").to_string();
            SiteRunner { id: id.to_owned(), address }
        };
        let engines: Vec<SiteRunner> =
            (1..=software.len()).map(|number| runner(&format!("engine-{number}"), 2)).collect();
        let services = vec![runner("desk-1", 1), runner("desk-2", 1)];
        let config = config(3);
        let mut site = Self { http, store, engines, services, nodes: Vec::new(), config };
        for (engine, software) in site.engines.iter().zip(software) {
            site.put_server_of(&engine.id, &engine.address, "geo", "ready", software).await;
        }
        for service in &site.services {
            site.put_server(&service.id, &service.address, "desk", "ready").await;
        }
        site.publish(site.config.clone()).await;
        site.add_nodes(nodes);
        site.wait_ready().await;
        site
    }

    /// Writes the row of a backend server to the store.
    pub async fn put_server(&self, id: &str, address: &str, service: &str, state: &str) {
        self.put_server_of(id, address, service, state, "v1").await;
    }

    /// Writes the row of a backend server that runs the given version of its software.
    pub async fn put_server_of(
        &self,
        id: &str,
        address: &str,
        service: &str,
        state: &str,
        software: &str,
    ) {
        let value = json!({
            "service": service, "address": address, "zone": "zone-a", "version": software, "slots": 4,
            "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 1,
        });
        self.put_row("servers", id, Some(value)).await;
    }

    /// Writes a row as the operator or a backend server would, or removes it if `value` is `None`.
    pub async fn put_row(&self, table: &str, key: &str, value: Option<Value>) {
        let row = json!({ "table": table, "key": key, "value": value });
        self.http.put_json(&self.store, "/standin/rows", &row).await;
    }

    /// Publishes a configuration.
    pub async fn publish(&self, config: Value) {
        self.put_row("op", "config", Some(config)).await;
    }

    /// Sets the faults that the stand-in at `address` simulates.
    pub async fn set_faults(&self, address: &str, faults: &Value) {
        self.http.put_json(address, "/standin/faults", faults).await;
    }

    /// Adds a node.
    pub fn add_node(&mut self) {
        self.add_nodes(1);
    }

    /// Adds `count` nodes that start at the same time.
    pub fn add_nodes(&mut self, count: usize) {
        self.add_nodes_with_store(count, &self.store.clone());
    }

    /// Adds `count` nodes that use the store at the address `store`.
    ///
    /// Another test may take a free port before the node binds it; such a node is started again
    /// with other ports.
    pub fn add_nodes_with_store(&mut self, count: usize, store: &str) {
        let builds = (0..count).map(|_| next_build());
        self.add_nodes_of(&builds.collect::<Vec<_>>(), store);
    }

    /// Adds a node of each of `builds`, like [`Self::add_nodes_with_store`].
    pub fn add_nodes_of(&mut self, builds: &[Build], store: &str) {
        let start = |build| Self::start_node(build, store, ProcessLimits::default());
        let nodes = builds.iter().map(|build| start(*build));
        for mut node in nodes.collect::<Vec<_>>() {
            while !node.wait_until_bound() {
                node = start(node.build);
            }
            self.nodes.push(node);
        }
    }

    /// Adds a node of the current build whose process has the given limits.
    pub fn add_limited_node(&mut self, limits: ProcessLimits) {
        loop {
            let node = Self::start_node(Build::Current, &self.store, limits);
            if node.wait_until_bound() {
                self.nodes.push(node);
                return;
            }
        }
    }

    fn start_node(build: Build, store: &str, limits: ProcessLimits) -> SiteNode {
        let (listen, ready, metrics) = (free_address(), free_address(), free_address());
        let peer_port = free_address().port();
        let settings = format!(
            "nodeName = \"node\"\nip = \"127.0.0.1\"\nzone = \"zone-a\"\n\
             portRange = [{peer_port},{peer_port}]\nheartbeatMs = 500\n\
             [listen]\nfront = \"{listen}\"\nready = \"{ready}\"\n\
             {}\
             [bounds]\ndrainMs = 2000\ngraceS = 8\nrevokeMs = 5000\nevacuateMs = 5000\nquotaWindowS = 5\nquotaOverrun = 0.1\n\
             [provider]\naddress = \"{store}\"\nrowBytes = 65536\n",
            limits.section(),
        );
        // Two tests may be given the same free port, so it doesn't identify a node.
        let number = SETTINGS_FILES.fetch_add(1, Ordering::Relaxed);
        let name = format!("dandelionfront-{}-{number}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings).expect("the temporary directory is writable");
        let args = ["front", "--settings", &path.display().to_string(), "--metrics-port"];
        let mut args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        args.push(metrics.port().to_string());
        let process = match limits.descriptors_max {
            Some(max) => ChildProcess::daemon_within(max, &args),
            None => ChildProcess::daemon_of(build, &args),
        };
        SiteNode {
            process,
            build,
            listen: listen.to_string(),
            ready: ready.to_string(),
            metrics: metrics.to_string(),
            peer: format!("127.0.0.1:{peer_port}"),
            settings: path,
            args,
        }
    }

    /// Waits until every node is ready.
    pub async fn wait_ready(&self) {
        for node in 0..self.nodes.len() {
            self.wait_node_ready(node).await;
        }
    }

    /// Waits until a node is ready; others may be cut off from the store.
    pub async fn wait_node_ready(&self, node: usize) {
        let address = &self.nodes[node].ready;
        eventually("the node is ready", async || {
            let request = self.http.request("GET", address, "/v1/ready");
            let reply = self.http.send(request, "").await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await;
    }

    /// Returns the metrics of a node.
    pub async fn metrics(&self, node: usize) -> String {
        let request = self.http.request("GET", &self.nodes[node].metrics, "/metrics");
        self.http.send(request, "").await.expect("the node answers").expect_status(200).body
    }

    /// Replaces the engines with one that takes a second for each event.
    pub async fn start_slow_engine(&self) -> SiteRunner {
        self.start_engine(1_000).await
    }

    /// Replaces the engines with one that takes `delay_ms` for each event.
    pub async fn start_engine(&self, delay_ms: u32) -> SiteRunner {
        let any_port = "127.0.0.1:0".parse().expect("valid");
        let id = "engine-slow".to_owned();
        let settings = RunnerSettings { id: id.clone(), event_count: EVENTS_PER_STREAM, delay_ms };
        let address = Runner::spawn(any_port, settings).expect("starts").to_string();
        for engine in &self.engines {
            self.put_row("servers", &engine.id, None).await;
        }
        self.put_server(&id, &address, "geo", "ready").await;
        eventually("the node has the new list of servers", async || {
            self.metrics(0).await.contains("dandelionfront_servers 3\n").then_some(())
        })
        .await;
        SiteRunner { id, address }
    }

    /// Replaces the backend servers of `service` with those at `addresses`, and waits until all
    /// nodes know them. Their ids are `scripted-0`, `scripted-1` and so on.
    pub async fn replace_servers(&self, service: &str, addresses: &[SocketAddr]) {
        let (replaced, kept) = match service {
            "geo" => (&self.engines, &self.services),
            _ => (&self.services, &self.engines),
        };
        for server in replaced {
            self.put_row("servers", &server.id, None).await;
        }
        self.wait_server_count(kept.len()).await;
        for (number, address) in addresses.iter().enumerate() {
            let id = format!("scripted-{number}");
            self.put_server(&id, &address.to_string(), service, "ready").await;
        }
        self.wait_server_count(kept.len() + addresses.len()).await;
    }

    /// Waits until each node knows `count` backend servers.
    pub async fn wait_server_count(&self, count: usize) {
        let expected = format!("dandelionfront_servers {count}\n");
        for node in 0..self.nodes.len() {
            eventually("the node has the new list of servers", async || {
                self.metrics(node).await.contains(&expected).then_some(())
            })
            .await;
        }
    }

    /// Creates a request to a node.
    pub fn request(&self, node: usize, call: &Call<'_>) -> ClientRequest {
        request_to(&self.http, &self.nodes[node].listen, call)
    }

    /// Sends a request to a node and reads the complete response.
    pub async fn send(&self, node: usize, call: &Call<'_>) -> Result<Reply, String> {
        self.http.send(self.request(node, call), call.body).await
    }

    /// Sends a stream request to a node and closes the connection once the first event has arrived.
    pub async fn receive_first_event(&self, node: usize, call: &Call<'_>) {
        let mut head = format!("{} {} HTTP/1.1\r\nhost: {HOST}\r\n", call.method, call.path);
        let fixed = [("request-id", call.id), ("deadline-ms", "4000"), ("key", call.key)];
        for (name, value) in fixed.iter().chain(call.headers) {
            write!(head, "{name}: {value}\r\n").expect("a string");
        }
        let length = call.body.len();
        write!(head, "content-length: {length}\r\n\r\n{}", call.body).expect("a string");
        let address = self.nodes[node].listen.clone();
        let received = ntex::rt::spawn_blocking(move || {
            let mut connection = TcpStream::connect(address).expect("the node listens");
            connection.set_read_timeout(Some(START_TIMEOUT)).expect("valid");
            connection.write_all(head.as_bytes()).expect("the node reads");
            let (mut received, mut buffer) = (Vec::new(), [0; 1024]);
            while !received.windows(2).any(|bytes| bytes == b"\n\n") {
                let length = connection.read(&mut buffer).expect("an event arrives");
                assert!(length > 0, "the stream ended: {}", String::from_utf8_lossy(&received));
                received.extend_from_slice(&buffer[..length]);
            }
            String::from_utf8_lossy(&received).into_owned()
        });
        let received = received.await.expect("no panic");
        assert!(received.starts_with("HTTP/1.1 200"), "{received}");
    }

    /// Returns the requests that the given backend servers ran, grouped by server and in order of
    /// execution within each group.
    pub async fn recorded_requests(&self, runners: &[SiteRunner]) -> Vec<Value> {
        let mut record = Vec::new();
        for runner in runners {
            let ran = self.http.get_json(&runner.address, "/standin/record").await;
            record.extend(ran.as_array().expect("a list").iter().cloned());
        }
        record
    }

    /// Returns a header of a recorded request, or an empty string if it is missing.
    pub fn header<'a>(request: &'a Value, name: &str) -> &'a str {
        request["headers"][name].as_str().unwrap_or_default()
    }
}
