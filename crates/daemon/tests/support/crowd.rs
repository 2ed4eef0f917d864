//! Crowds of callers that misbehave, and what they make a process hold.

use std::fs;
use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinSet, yield_now};

use super::http::eventually;

/// Interval between two measurements of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Number of checks without any progress after which a crowd has settled; a busy process may read
/// nothing for a while.
const SETTLED_CHECKS: u32 = 150;
/// Deadline of an ordinary request, after which its caller does not wait for the answer.
pub const ORDINARY_DEADLINE: Duration = Duration::from_secs(8);
/// Number of times that an ordinary caller sends a request that was refused or not answered.
const TRIES_MAX: usize = 3;
/// Pause of an ordinary caller before it sends a request again.
const TRY_PAUSE: Duration = Duration::from_millis(500);

/// Held by each test, so that only one crowd is there at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The right to have a crowd; each test has a thread of its own, which may wait for it.
pub struct CrowdTurn {
    _turn: MutexGuard<'static, ()>,
}

/// Waits until no other test of this binary has a crowd.
pub fn one_at_a_time() -> CrowdTurn {
    CrowdTurn { _turn: ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner) }
}

/// What each caller of a crowd does on a connection.
#[derive(Debug, Clone, Default)]
pub struct CrowdScript {
    /// Sent first; `{number}` is replaced by the caller's number.
    pub begin: String,
    /// Sent `repeats` times after it.
    pub piece: Vec<u8>,
    pub repeats: usize,
    /// Sent last. The connection stays open after it.
    pub end: Vec<u8>,
    /// Whether the caller reads what the process sends.
    pub reads: bool,
    /// Number of times that a caller whose connection was closed comes back.
    pub returns: usize,
}

/// A crowd of callers on a thread of its own.
pub struct Crowd {
    sent_bytes: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
    leave: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` callers that connect to `address` at once.
    pub fn start(address: &str, count: usize, script: &CrowdScript) -> Self {
        let address: SocketAddr = address.parse().expect("an address");
        let (leave, left) = watch::channel(false);
        let sent_bytes = Arc::new(AtomicU64::new(0));
        let ended = Arc::new(AtomicU64::new(0));
        let (script, sent, closed) = (script.clone(), Arc::clone(&sent_bytes), Arc::clone(&ended));
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let mut callers = JoinSet::new();
                let script = Arc::new(script);
                for number in 0..count {
                    let begin = script.begin.replace("{number}", &number.to_string());
                    let (script, left) = (Arc::clone(&script), left.clone());
                    let (sent, closed) = (Arc::clone(&sent), Arc::clone(&closed));
                    callers.spawn(async move {
                        call(address, &begin, &script, &sent, left).await;
                        closed.fetch_add(1, Ordering::Relaxed);
                    });
                }
                while callers.join_next().await.is_some() {}
            });
        });
        Self { sent_bytes, ended, leave, thread: Some(thread) }
    }

    /// Waits until no caller sends or is turned away any more.
    pub async fn settle(&self) {
        let (mut last, mut unchanged) = ((0, 0), 0);
        eventually("the crowd has sent what it can", async || {
            let now = (self.sent_bytes.load(Ordering::Relaxed), self.ended());
            unchanged = if now == last { unchanged + 1 } else { 0 };
            last = now;
            (now.0 > 0 && unchanged >= SETTLED_CHECKS).then_some(())
        })
        .await;
    }

    /// Returns the number of callers that were turned away for good.
    pub fn ended(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }

    /// Closes all connections.
    pub fn leave(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.leave.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || thread::panicking(), "the crowd panicked");
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.end();
    }
}

/// Acts as one caller until it is turned away for good or the crowd leaves.
async fn call(
    address: SocketAddr,
    begin: &str,
    script: &CrowdScript,
    sent: &AtomicU64,
    mut left: watch::Receiver<bool>,
) {
    let acting = async {
        for _ in 0..=script.returns {
            // Ends with an error when the process closes the connection.
            let _ = act(address, begin, script, sent).await;
        }
    };
    tokio::select! {
        () = acting => {}
        _ = left.wait_for(|left| *left) => {}
    }
}

/// Sends the script on one connection and stays until the process closes it.
async fn act(
    address: SocketAddr,
    begin: &str,
    script: &CrowdScript,
    sent: &AtomicU64,
) -> io::Result<()> {
    let (mut reader, mut writer) = TcpStream::connect(address).await?.into_split();
    let sending = async {
        let pieces = (0..script.repeats).map(|_| script.piece.as_slice());
        for bytes in [begin.as_bytes()].into_iter().chain(pieces).chain([script.end.as_slice()]) {
            writer.write_all(bytes).await?;
            sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            // All callers send their pieces in turn.
            yield_now().await;
        }
        std::future::pending::<io::Result<()>>().await
    };
    let reading = async {
        if !script.reads {
            return std::future::pending().await;
        }
        let mut buffer = vec![0; 16 * 1024];
        while reader.read(&mut buffer).await? > 0 {}
        Ok(())
    };
    tokio::select! {
        result = sending => result,
        result = reading => result,
    }
}

/// The most that a process has held.
#[derive(Debug, Clone, Copy, Default)]
pub struct Peaks {
    /// Memory of the process and the bytes that it has received and not read, in KB.
    pub memory_kb: u64,
    /// Bytes that it had received and not read, in KB; a part of the memory.
    pub unread_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Measures a process until it is told to end.
pub struct Meter {
    process: u32,
    is_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<Peaks>>,
}

impl Meter {
    /// Starts to measure the process with the id `process`, which accepts callers at `address`.
    pub fn start(process: u32, address: &str) -> Self {
        let port = address.parse::<SocketAddr>().expect("an address").port();
        let is_ended = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&is_ended);
        let thread = thread::spawn(move || {
            let mut peaks = Peaks::default();
            while !ended.load(Ordering::Relaxed) {
                let resident_kb = status_kb(process, "VmRSS").unwrap_or_default();
                let unread_kb = unread_bytes(port) / 1024;
                peaks.memory_kb = peaks.memory_kb.max(resident_kb + unread_kb);
                peaks.unread_kb = peaks.unread_kb.max(unread_kb);
                peaks.descriptors = peaks.descriptors.max(open_descriptors(process));
                thread::sleep(SAMPLE_INTERVAL);
            }
            peaks
        });
        Self { process, is_ended, thread: Some(thread) }
    }

    /// Ends the measurement.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended.
    pub fn peaks(mut self) -> Peaks {
        let peak_kb = status_kb(self.process, "VmHWM").expect("the process lives");
        self.is_ended.store(true, Ordering::Relaxed);
        let peaks = self.thread.take().expect("not ended").join().expect("no panic");
        Peaks { memory_kb: peaks.memory_kb.max(peak_kb), ..peaks }
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}

/// Returns a figure of a process's status in KB, or `None` if the process has ended.
fn status_kb(process: u32, name: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let figure = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    figure.trim().trim_end_matches(" kB").parse().ok()
}

fn open_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes that connections to `port` have received and that were not read.
fn unread_bytes(port: u16) -> u64 {
    let Ok(table) = fs::read_to_string("/proc/net/tcp") else { return 0 };
    let address = format!(":{port:04X}");
    let queues = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_ours = fields.next()?.ends_with(&address);
        let state = fields.nth(1)?;
        let queues = fields.next()?;
        // For a listener, the field is the number of connections that wait.
        let bytes = u64::from_str_radix(queues.split_once(':')?.1, 16).ok()?;
        (is_ours && state != "0A").then_some(bytes)
    });
    queues.sum()
}

/// Sends an ordinary request, again if it was refused or not answered, and returns the first whole
/// answer with status 200.
///
/// # Panics
///
/// Panics when no try is answered so.
pub async fn expect_served(when: &str, address: &str, request: Vec<u8>) {
    let mut outcomes = Vec::new();
    for _ in 0..TRIES_MAX {
        let (address, request) = (address.to_owned(), request.clone());
        let exchanged = ntex::rt::spawn_blocking(move || exchange(&address, &request));
        match exchanged.await.expect("no panic") {
            Ok(answer) if answer.starts_with("HTTP/1.1 200 ") => return,
            outcome => outcomes.push(outcome),
        }
        ntex::time::sleep(TRY_PAUSE).await;
    }
    panic!("an ordinary request {when} was not served: {outcomes:#?}");
}

/// Sends a request and reads until the connection ends.
fn exchange(address: &str, request: &[u8]) -> io::Result<String> {
    let mut connection = std::net::TcpStream::connect(address)?;
    connection.set_read_timeout(Some(ORDINARY_DEADLINE))?;
    connection.write_all(request)?;
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer)?;
    let _ = connection.shutdown(Shutdown::Both);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Returns a request with the given head fields and a body of `body_bytes`.
pub fn request(line: &str, fields: &[(&str, &str)], body_bytes: usize) -> Vec<u8> {
    let framing = format!("connection: close\r\ncontent-length: {body_bytes}\r\n\r\n");
    let request = head(line, fields) + &framing;
    let mut request = request.into_bytes();
    request.resize(request.len() + body_bytes, b'x');
    request
}

/// Returns a request head without its end.
pub fn head(line: &str, fields: &[(&str, &str)]) -> String {
    let fields = fields.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    format!("{line} HTTP/1.1\r\n{}", fields.collect::<String>())
}
