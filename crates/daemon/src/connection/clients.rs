//! HTTP clients of one worker thread.

use std::io;

use ntex::SharedCfg;
use ntex::client::{
    Client, Connector, error::ClientBuilderError, error::ClientError, error::ConnectError,
};
use ntex::time::{Millis, Seconds};

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Seconds = Seconds(15);
/// Age at which a connection is closed.
const CONNECTION_MAX_AGE: Seconds = Seconds(120);
/// Maximum number of connections of one client to all addresses; the default of 8 is too low.
const CONNECTIONS_MAX: usize = 16_384;

/// HTTP clients of one worker thread.
#[derive(Debug, Clone)]
pub struct Clients {
    /// Client for other nodes.
    pub peers: Client,
}

impl Clients {
    /// Creates the clients of the current thread.
    ///
    /// # Errors
    ///
    /// Fails when no connector can be built.
    pub async fn new() -> Result<Self, ClientBuilderError> {
        Ok(Self { peers: build(KEEP_ALIVE).await? })
    }
}

/// Creates a client without built-in timeouts; the code that sends a request sets the timeout.
///
/// # Errors
///
/// Fails when no connector can be built.
pub async fn build(keep_alive: Seconds) -> Result<Client, ClientBuilderError> {
    let connector =
        Connector::new().limit(CONNECTIONS_MAX).keep_alive(keep_alive).lifetime(CONNECTION_MAX_AGE);
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(usize::MAX)
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::new("CLIENT"))
        .await
}

/// Returns whether `error` proves that no byte of the request was sent; `false` proves nothing.
#[must_use]
pub fn proves_not_sent(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(Some(cause))) => {
            cause.kind() == io::ErrorKind::ConnectionRefused
        }
        ClientError::Url(_) => true,
        _ => false,
    }
}
