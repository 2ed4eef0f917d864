//! Control messages between nodes, as JSON-RPC over WebSocket.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_trait::async_trait;
use dandelionfront_coordination::Peers;
use dandelionfront_coordination::ids::{ConfigVersion, IncarnationId, TeamId};
use dandelionfront_coordination::peers::{
    ConfigTransfer, Heartbeat, HeartbeatReply, PeerError, TakeReply,
};
use jsonrpsee::core::{ClientError, RpcResult};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use ntex::time::timeout;
use prometheus::IntCounter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::process::{Control, ControlHandle, Metrics};

/// Timeout of a request to a peer, including the connection setup.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// JSON-RPC error code of a node that is stopping.
const STOPPING_CODE: i32 = -32_000;
/// Maximum size of a response from a peer.
const RESPONSE_MAX_BYTES: u32 = 64 * 1024 * 1024;

/// RPC interface of a node for control messages.
#[rpc(server, client)]
pub trait PeerRpc {
    /// Processes a heartbeat from another node.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<HeartbeatReply>;

    /// Returns whether this node suspects a member of having failed.
    #[method(name = "suspects")]
    async fn suspects(&self, target: IncarnationId) -> RpcResult<bool>;

    /// Takes a token from this node's share of a team's limit.
    ///
    /// `row_version` is the version of the limit row known to the sender.
    #[method(name = "take")]
    async fn take(&self, team: TeamId, row_version: u64) -> RpcResult<TakeReply>;

    /// Notifies this node that it received a share of a team's limit.
    #[method(name = "limit_moved")]
    async fn limit_moved(&self, team: TeamId, row_version: u64) -> RpcResult<()>;

    /// Returns the configuration changes after `version`, or the complete configuration.
    #[method(name = "config_after")]
    async fn config_after(&self, version: ConfigVersion) -> RpcResult<ConfigTransfer>;
}

/// Handles control messages on the control thread.
#[derive(Debug, Clone)]
pub struct PeerService {
    control: ControlHandle,
    metrics: Metrics,
}

impl PeerService {
    /// Creates a service that runs its handlers on the control thread.
    #[must_use]
    pub fn new(control: ControlHandle, metrics: Metrics) -> Self {
        Self { control, metrics }
    }

    fn count_message(&self) {
        self.metrics.peer_messages.inc();
    }
}

fn stopping_error(refusal: dandelionfront_coordination::Refusal) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(STOPPING_CODE, refusal.message, None::<()>)
}

#[async_trait]
impl PeerRpcServer for PeerService {
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<HeartbeatReply> {
        self.count_message();
        let answer = move |control: Rc<Control>| async move {
            control.node().answer_heartbeat(&beat, control.config_follower().current().version())
        };
        self.control.run(answer).await.map_err(stopping_error)
    }

    async fn suspects(&self, target: IncarnationId) -> RpcResult<bool> {
        self.count_message();
        let answer = move |control: Rc<Control>| async move { control.node().is_suspect(&target) };
        self.control.run(answer).await.map_err(stopping_error)
    }

    async fn take(&self, team: TeamId, row_version: u64) -> RpcResult<TakeReply> {
        self.count_message();
        let answer = move |control: Rc<Control>| async move {
            control.take_from_own_share(&team, row_version).await
        };
        self.control.run(answer).await.map_err(stopping_error)
    }

    async fn limit_moved(&self, team: TeamId, row_version: u64) -> RpcResult<()> {
        self.count_message();
        let refresh = move |control: Rc<Control>| async move {
            let _ = control.node().limits().refresh(&team, row_version).await;
        };
        self.control.run(refresh).await.map_err(stopping_error)
    }

    async fn config_after(&self, version: ConfigVersion) -> RpcResult<ConfigTransfer> {
        self.count_message();
        let answer = move |control: Rc<Control>| async move {
            control.config_follower().transfer_after(version)
        };
        self.control.run(answer).await.map_err(stopping_error)
    }
}

/// Cached connections to peers; after a failure or timeout, the next request opens a new one.
pub struct RpcPeers {
    metrics: Metrics,
    clients: RefCell<HashMap<String, Rc<WsClient>>>,
}

impl RpcPeers {
    /// Creates an empty connection cache.
    #[must_use]
    pub fn new(metrics: Metrics) -> Self {
        Self { metrics, clients: RefCell::default() }
    }

    async fn client(&self, address: &str) -> Result<Rc<WsClient>, String> {
        let known = self.clients.borrow().get(address).cloned();
        if let Some(client) = known.filter(|client| client.is_connected()) {
            return Ok(client);
        }
        let client = Rc::new(self.connect(address).await?);
        self.clients.borrow_mut().insert(address.to_owned(), Rc::clone(&client));
        Ok(client)
    }

    async fn connect(&self, address: &str) -> Result<WsClient, String> {
        let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let counted = CountedStream {
            inner: stream,
            sent: self.metrics.peer_sent_bytes.clone(),
            received: self.metrics.peer_received_bytes.clone(),
        };
        WsClientBuilder::default()
            .request_timeout(REQUEST_TIMEOUT)
            .max_response_size(RESPONSE_MAX_BYTES)
            .build_with_stream(format!("ws://{address}"), counted)
            .await
            .map_err(|error| error.to_string())
    }

    async fn call<R, F>(
        &self,
        address: &str,
        request: impl FnOnce(Rc<WsClient>) -> F,
    ) -> Result<R, PeerError>
    where
        F: Future<Output = Result<R, ClientError>>,
    {
        let exchange = async {
            let client = self.client(address).await?;
            request(client).await.map_err(|error| error.to_string())
        };
        let result = timeout(REQUEST_TIMEOUT, exchange).await;
        let detail = match result {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(detail)) => detail,
            Err(()) => "no answer in time".to_owned(),
        };
        self.clients.borrow_mut().remove(address);
        Err(PeerError { address: address.to_owned(), detail })
    }
}

#[async_trait(?Send)]
impl Peers for RpcPeers {
    async fn heartbeat(
        &self,
        address: &str,
        beat: &Heartbeat,
    ) -> Result<HeartbeatReply, PeerError> {
        let beat = beat.clone();
        self.call(address, |client| async move { client.heartbeat(beat).await }).await
    }

    async fn suspects(&self, address: &str, target: &str) -> Result<bool, PeerError> {
        let target = target.to_owned();
        self.call(address, |client| async move { client.suspects(target).await }).await
    }

    async fn take(
        &self,
        address: &str,
        team: &TeamId,
        row_version: u64,
    ) -> Result<TakeReply, PeerError> {
        let team = team.clone();
        self.call(address, |client| async move { client.take(team, row_version).await }).await
    }

    async fn limit_moved(
        &self,
        address: &str,
        team: &TeamId,
        row_version: u64,
    ) -> Result<(), PeerError> {
        let team = team.clone();
        let request =
            |client: Rc<WsClient>| async move { client.limit_moved(team, row_version).await };
        self.call(address, request).await
    }

    async fn config_after(
        &self,
        address: &str,
        version: ConfigVersion,
    ) -> Result<ConfigTransfer, PeerError> {
        self.call(address, |client| async move { client.config_after(version).await }).await
    }
}

/// TCP connection that counts sent and received bytes.
struct CountedStream {
    inner: TcpStream,
    sent: IntCounter,
    received: IntCounter,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.received.inc_by((buffer.filled().len() - before) as u64);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.sent.inc_by(*written as u64);
        }
        polled
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
