//! HTTP clients of one traffic thread.

use std::io;

use ntex::SharedCfg;
use ntex::client::{
    Client, Connector, error::ClientBuilderError, error::ClientError, error::ConnectError,
};
use ntex::time::{Millis, Seconds};

/// Time for which an idle connection is kept.
const KEEP_ALIVE: Seconds = Seconds(15);
/// Age at which a connection is replaced.
const CONNECTION_MAX_AGE: Seconds = Seconds(120);
/// Connections of one client to all addresses together; the client default is 8.
const CONNECTIONS_MAX: usize = 16_384;

/// HTTP clients, separate for peers and backend servers.
#[derive(Debug, Clone)]
pub struct Clients {
    /// Client for other nodes.
    pub peers: Client,
    /// Client for model engines; reuses connections.
    pub engines: Client,
    /// Client for plain services; a new connection for each call, because a call on a reused one
    /// that fails cannot be told from a call that ran.
    pub services: Client,
}

impl Clients {
    /// Creates the clients of the current thread.
    ///
    /// # Errors
    ///
    /// Fails when no connector can be built.
    pub async fn new() -> Result<Self, ClientBuilderError> {
        Ok(Self {
            peers: build(KEEP_ALIVE).await?,
            engines: build(KEEP_ALIVE).await?,
            services: build(Seconds::ZERO).await?,
        })
    }
}

/// Creates a client without timeouts of its own: each caller bounds its waits.
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

/// Returns whether `error` proves that no byte of the request was written.
#[must_use]
pub fn is_never_sent(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(Some(cause))) => {
            cause.kind() == io::ErrorKind::ConnectionRefused
        }
        ClientError::Url(_) => true,
        _ => false,
    }
}
