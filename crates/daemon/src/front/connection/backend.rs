//! Connections to backend servers.
//!
//! Built on `hyper`, because the `ntex` client does not report whether a request was written,
//! rejects bodies delimited by the end of the connection and does not expose its connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::upload::Upload;

/// Time for which sent data may remain unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT_MS: u32 = 2_000;
/// Maximum idle time of a connection.
const IDLE_MAX: Duration = Duration::from_secs(4);
/// Subtracted from the idle limit of a connection whose peer announces an idle timeout, so that no
/// request is sent while the peer closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Maximum size of a response head and of the read buffer.
const READ_BUFFER_MAX_BYTES: usize = 64 * 1024;
/// Maximum number of interim responses to one request.
const INTERIM_MAX: usize = 16;

/// Number of a connection within this process.
pub type ConnectionNumber = u64;

/// Number of the next connection.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// An open connection; closed when dropped.
#[derive(Debug)]
pub struct BackendConnection {
    /// Number of the connection within this process.
    pub number: ConnectionNumber,
    sender: SendRequest<Upload>,
    task: JoinHandle<()>,
    /// Maximum idle time; the connection is not reused after it.
    idle_max: Duration,
    /// Whether an earlier request was sent on the connection.
    pub is_reused: bool,
    /// Node through which the connection goes; such a connection is not reused.
    pub via: Option<SocketAddr>,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Result of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of the response arrived.
    Answered(Response<Incoming>),
    /// Nothing of the request was written.
    NotSent(String),
    /// The connection failed, and all or part of the request may have been written.
    Lost(String),
}

/// Opens a connection for messages that are small and urgent.
///
/// # Errors
///
/// Fails when the peer refuses the connection or does not accept it in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(BackendConnection::CONNECT_TIMEOUT, connecting).await??;
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(&stream, TCP_USER_TIMEOUT_MS)?;
    Ok(stream)
}

impl BackendConnection {
    /// Maximum wait for a new connection; the network latency is a few milliseconds.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the peer refuses the connection or does not accept it in time.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::handshake(TokioIo::new(connect(address).await?), None).await
    }

    /// Uses a tunnel that another node has opened.
    ///
    /// # Errors
    ///
    /// Fails when the tunnel has failed.
    pub async fn through(tunnel: Upgraded, via: SocketAddr) -> io::Result<Self> {
        Self::handshake(tunnel, Some(via)).await
    }

    async fn handshake<T>(stream: T, via: Option<SocketAddr>) -> io::Result<Self>
    where
        T: hyper::rt::Read + hyper::rt::Write + Unpin + 'static,
    {
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .handshake(stream)
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("event=backend_connection_ended cause=\"{error}\"");
            }
        });
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        Ok(Self { number, sender, task, idle_max: IDLE_MAX, is_reused: false, via })
    }

    /// Sends a request and waits for the head of the response, whose extensions hold the
    /// [`UploadProgress`](crate::upload::UploadProgress) of the request.
    pub async fn send(&mut self, request: Request<Bytes>) -> SendOutcome {
        let (mut request, progress) = Upload::of(request);
        if let Err(error) = self.sender.ready().await {
            return SendOutcome::NotSent(error.to_string());
        }
        let interim = InterimResponses::count(&mut request);
        let sent = tokio::select! {
            sent = self.sender.try_send_request(request) => sent,
            () = interim.too_many.notified() => {
                return SendOutcome::Lost("it sends interim responses without end".to_owned());
            }
        };
        match sent {
            Ok(mut response) => {
                response.extensions_mut().insert(progress);
                SendOutcome::Answered(response)
            }
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let cause = error_with_source(error.error());
                if is_unsent { SendOutcome::NotSent(cause) } else { SendOutcome::Lost(cause) }
            }
        }
    }

    /// Sets the maximum idle time to the shorter of the peer's `Keep-Alive` timeout and `IDLE_MAX`,
    /// less `IDLE_MARGIN`.
    pub fn set_keep_alive(&mut self, seconds: u64) {
        self.idle_max = IDLE_MAX.min(Duration::from_secs(seconds)).saturating_sub(IDLE_MARGIN);
    }
}

/// Interim (1xx) responses to one request.
#[derive(Debug, Default)]
struct InterimResponses {
    received: AtomicUsize,
    too_many: Notify,
}

impl InterimResponses {
    /// Counts the interim responses to `request`.
    fn count(request: &mut Request<Upload>) -> Arc<Self> {
        let interim = Arc::new(Self::default());
        let counted = Arc::clone(&interim);
        hyper::ext::on_informational(request, move |_| {
            if counted.received.fetch_add(1, Ordering::Relaxed) == INTERIM_MAX {
                counted.too_many.notify_one();
            }
        });
        interim
    }
}

/// Formats an error with its source.
fn error_with_source(error: &hyper::Error) -> String {
    use std::error::Error as _;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct BackendPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl BackendPool {
    /// Takes the most recently used open connection; if it was idle for longer than `idle_max` or
    /// than its own limit, closes it and returns `None`.
    ///
    /// Connections in `avoided` stay in the pool.
    pub fn take(
        &self,
        address: SocketAddr,
        idle_max: Duration,
        avoided: &[ConnectionNumber],
    ) -> Option<BackendConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let is_usable = |idle: &IdleConnection| !avoided.contains(&idle.connection.number);
        while let Some(position) = connections.iter().rposition(is_usable) {
            let IdleConnection { connection, since } = connections.remove(position);
            let age = since.elapsed();
            if age > connection.idle_max.min(idle_max) {
                // The remaining connections have been idle even longer.
                if age > connection.idle_max {
                    connections.clear();
                }
                return None;
            }
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, unless it goes through another node; its last response
    /// must have been read completely.
    pub fn put(&self, address: SocketAddr, mut connection: BackendConnection) {
        if connection.sender.is_closed() || connection.via.is_some() {
            return;
        }
        connection.is_reused = true;
        let idle = IdleConnection { connection, since: Instant::now() };
        self.idle.borrow_mut().entry(address).or_default().push(idle);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes all idle connections to `address`.
    pub fn close(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Removes connections that were idle for too long or were closed.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| {
                idle.since.elapsed() <= idle.connection.idle_max
                    && !idle.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
    }
}
