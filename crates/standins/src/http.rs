//! Helpers shared by the stand-ins: HTTP server threads, recorded requests and locks.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::{io, thread};

use ntex::http::HeaderMap;
use ntex::rt::System;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpServer};
use serde::{Deserialize, Serialize};

/// A request that a stand-in accepted for execution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRequest {
    /// Position among the recorded requests, from 1.
    pub number: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query; engines record only the path.
    pub path: String,
    /// Headers by lowercase name; of a repeated header, the last value.
    pub headers: BTreeMap<String, String>,
    /// Body as text.
    pub body: String,
    /// Time at which the request was recorded, since the Unix epoch; an engine request may then
    /// still wait for a slot.
    pub started_unix_ms: u64,
}

impl RecordedRequest {
    /// Creates the record of a request that was accepted for execution.
    #[must_use]
    pub fn new(number: u64, method: &str, path: &str, headers: &HeaderMap, body: &Bytes) -> Self {
        let text = |value: &ntex::http::header::HeaderValue| {
            String::from_utf8_lossy(value.as_bytes()).into_owned()
        };
        Self {
            number,
            method: method.to_owned(),
            path: path.to_owned(),
            headers: headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect(),
            body: String::from_utf8_lossy(body).into_owned(),
            started_unix_ms: unix_ms(),
        }
    }

    /// Returns the value of a header by its lowercase name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Returns the time since the Unix epoch in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Locks a mutex and ignores poisoning, so that the state stays usable after a panic, such as a
/// failed assertion.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves the routes registered by `configure` on a new thread and returns the bound address.
///
/// # Errors
///
/// Fails when the address cannot be bound or the thread cannot be started.
pub fn serve<T, F>(listen: SocketAddr, state: Arc<T>, configure: F) -> io::Result<SocketAddr>
where
    T: Send + Sync + 'static,
    F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    thread::Builder::new().name("standin".to_owned()).spawn(move || {
        let system = System::build().name("standin").build(ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let server = HttpServer::new(async move || {
                let limit = web::types::PayloadConfig::new(BODY_MAX_BYTES);
                App::new().state(Arc::clone(&state)).state(limit).configure(configure.clone())
            })
            .workers(1)
            .disable_signals()
            .listen(listener)?;
            server.run().await
        })
    })?;
    Ok(address)
}

/// Maximum size of request bodies read as bytes; JSON bodies have the default limit of ntex.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Prints the bound address to standard output and blocks until the process is killed.
pub fn print_address_and_park(address: SocketAddr) -> ! {
    println!("listening={address}");
    loop {
        thread::park();
    }
}
