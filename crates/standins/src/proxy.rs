//! Fault-injecting TCP proxy.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ntex::web::{self, HttpResponse, types::Json, types::State};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{lock, serve};

/// Faults to inject into the proxy's connections.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches, set together over HTTP")]
pub struct ProxyFaults {
    /// Closes new connections immediately.
    pub refuse: bool,
    /// Closes each connection after this many bytes from the target.
    pub cut_after_bytes: Option<usize>,
    /// Delay before each chunk of data is forwarded, in either direction, in milliseconds.
    pub delay_ms: u64,
    /// Discards all data on connections opened before the faults were last set.
    pub silence_open: bool,
    /// Discards all data on all connections.
    pub silence_all: bool,
    /// Forwards what the target sends byte by byte with this pause between them, in milliseconds;
    /// 0 for no such fault.
    pub trickle_ms: u64,
    /// Number of bytes of each chunk that are forwarded at once before the rest trickles.
    pub trickle_after_bytes: usize,
    /// Closes the connections opened before the faults were last set.
    pub close_open: bool,
    /// Bytes a second that pass from the target over all connections together; 0 for any number.
    pub bytes_per_s: u32,
}

/// TCP proxy that forwards connections to one target and injects faults.
#[derive(Debug)]
pub struct FaultProxy {
    target: SocketAddr,
    faults: Mutex<ProxyFaults>,
    /// Time at which all bytes that were sent so far have passed, if their rate is limited.
    idle_from: Mutex<Instant>,
    /// Incremented each time the faults are replaced.
    generation: watch::Sender<u64>,
}

impl FaultProxy {
    /// Starts a proxy to `target`; returns its bound address and that of its control interface.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a thread cannot be started.
    pub fn spawn(
        listen: SocketAddr,
        control: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<(SocketAddr, SocketAddr)> {
        let proxy = Arc::new(Self {
            target,
            faults: Mutex::default(),
            idle_from: Mutex::new(Instant::now()),
            generation: watch::Sender::new(0),
        });
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let accepting = Arc::clone(&proxy);
        std::thread::Builder::new().name("proxy".to_owned()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(accept(accepting, listener))
        })?;
        let control = serve(control, proxy, |config| {
            config.service(web::resource("/v1/faults").route(web::put().to(put_faults)));
        })?;
        Ok((address, control))
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        *lock(&self.faults) = faults;
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Waits until `bytes` have passed at a rate of `bytes_per_s`, after all that were sent before.
    async fn pass(&self, bytes: usize, bytes_per_s: u32) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let duration = Duration::from_secs(1) * bytes / bytes_per_s;
        let passed_at = {
            let mut idle_from = lock(&self.idle_from);
            *idle_from = (*idle_from).max(Instant::now()) + duration;
            *idle_from
        };
        tokio::time::sleep_until(passed_at.into()).await;
    }
}

async fn put_faults(proxy: State<Arc<FaultProxy>>, faults: Json<ProxyFaults>) -> HttpResponse {
    proxy.set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn accept(proxy: Arc<FaultProxy>, listener: std::net::TcpListener) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (caller, _) = listener.accept().await?;
        if lock(&proxy.faults).refuse {
            continue;
        }
        tokio::spawn(relay(Arc::clone(&proxy), caller));
    }
}

async fn relay(proxy: Arc<FaultProxy>, caller: TcpStream) {
    let generation_at_open = *proxy.generation.borrow();
    let Ok(target) = TcpStream::connect(proxy.target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    let mut generation = proxy.generation.subscribe();
    let to_target = forward(&proxy, generation_at_open, caller_read, target_write, false);
    let to_caller = forward(&proxy, generation_at_open, target_read, caller_write, true);
    let close_requested = async {
        loop {
            let must_close = lock(&proxy.faults).close_open
                && *generation.borrow_and_update() > generation_at_open;
            if must_close || generation.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = to_target => {}
        () = to_caller => {}
        () = close_requested => {}
    }
}

async fn forward(
    proxy: &FaultProxy,
    generation_at_open: u64,
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    is_from_target: bool,
) {
    const CHUNK_BYTES: usize = 16 * 1024;
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut forwarded_bytes = 0;
    while let Ok(read_bytes @ 1..) = from.read(&mut chunk).await {
        let faults = lock(&proxy.faults).clone();
        let predates_faults = *proxy.generation.borrow() > generation_at_open;
        if faults.silence_all || faults.silence_open && predates_faults {
            continue;
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let limit = faults.cut_after_bytes.filter(|_| is_from_target).unwrap_or(usize::MAX);
        let allowed = read_bytes.min(limit.saturating_sub(forwarded_bytes));
        let is_trickled = is_from_target && faults.trickle_ms > 0;
        let at_once = if is_trickled { faults.trickle_after_bytes.min(allowed) } else { allowed };
        if is_from_target && faults.bytes_per_s > 0 {
            proxy.pass(at_once, faults.bytes_per_s).await;
        }
        if to.write_all(&chunk[..at_once]).await.is_err() {
            return;
        }
        for byte in &chunk[at_once..allowed] {
            tokio::time::sleep(Duration::from_millis(faults.trickle_ms)).await;
            if to.write_all(&[*byte]).await.is_err() {
                return;
            }
        }
        forwarded_bytes += allowed;
        if forwarded_bytes >= limit {
            return;
        }
    }
}
