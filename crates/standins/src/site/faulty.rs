//! Stand-in for a backend server whose answers no HTTP server library would send.

use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt;

use super::repeater::read_request;

/// Pause between two writes of an endless answer, which bounds its rate to some MB a second.
const WRITE_PAUSE: Duration = Duration::from_millis(1);
/// Pause between two writes of a trickled answer.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);
/// Size of each write of an endless answer.
const WRITE_BYTES: usize = 16 * 1024;

/// Event with a chunk of a chat completion.
const COMPLETION_CHUNK: &str = "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\
                                \"created\":1,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":\
                                {\"content\":\"more more more more more more more more\"}}]}\n\n";

/// What the stand-in answers to each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultyAnswer {
    /// A body without a declared length, reset after its first part.
    Reset,
    /// Bytes that are no answer, without end.
    EndlessNoise,
    /// A status line and header fields without end.
    EndlessHead,
    /// A single header field whose value has no end.
    EndlessField,
    /// A valid head and a body without a declared length and without end.
    EndlessBody,
    /// A valid head of a refusal that was not run, and a body without end.
    EndlessRefusal,
    /// A valid head and a body of endless chunks.
    EndlessChunks,
    /// A valid head and a chunk whose extension has no end.
    EndlessChunkExtension,
    /// A valid head, a body in chunks, and trailer fields without end.
    EndlessTrailers,
    /// Interim responses without end.
    EndlessInterim,
    /// The head of an event stream and an event without end.
    EndlessEvent,
    /// The head of an event stream and comment lines without end.
    EndlessComments,
    /// The head of an event stream and an event without end, a few bytes now and then.
    TrickledEvent,
    /// The head of an event stream and well-formed events without end.
    EndlessEvents,
    /// The head of an event stream and well-formed chunks of a chat completion without end.
    EndlessCompletion,
}

/// The faulty backend server stand-in.
#[derive(Debug)]
pub struct FaultyServer {
    answer: FaultyAnswer,
    requests: AtomicUsize,
    sent_bytes: AtomicU64,
    open_connections: AtomicUsize,
}

impl FaultyServer {
    /// Starts the stand-in on new threads; returns it and the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn spawn(listen: SocketAddr, answer: FaultyAnswer) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let server = Arc::new(Self {
            answer,
            requests: AtomicUsize::new(0),
            sent_bytes: AtomicU64::new(0),
            open_connections: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let serving = Arc::clone(&accepting);
                serving.open_connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    // An endless answer ends with an error when the node closes the connection.
                    let _ = serving.serve(&connection);
                    serving.open_connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok((server, address))
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that were written in endless answers.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that the node has not closed.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }

    fn serve(&self, connection: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(connection);
        let Some(request) = read_request(&mut reader)? else { return Ok(()) };
        let id = request.id;
        self.requests.fetch_add(1, Ordering::SeqCst);
        let ok = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: f\r\n");
        let stream = format!("{ok}content-type: text/event-stream\r\n\r\n");
        let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
        let refused = format!("HTTP/1.1 503 Busy\r\nrequest-id: {id}\r\nnot-executed: 1\r\n\r\n");
        let (begin, repeated) = match self.answer {
            FaultyAnswer::Reset => return reset(connection, &format!("{ok}\r\npart")),
            FaultyAnswer::EndlessNoise => (String::new(), "noise "),
            FaultyAnswer::EndlessHead => (ok, "x-more: yes\r\n"),
            FaultyAnswer::EndlessField => (format!("{ok}x-more: "), "more "),
            FaultyAnswer::EndlessBody => (format!("{ok}\r\n"), "more "),
            FaultyAnswer::EndlessRefusal => (refused, "more "),
            FaultyAnswer::EndlessChunks => (chunked, "5\r\nmore \r\n"),
            FaultyAnswer::EndlessChunkExtension => (format!("{chunked}5;a="), "more"),
            FaultyAnswer::EndlessTrailers => (format!("{chunked}0\r\n"), "x-more: yes\r\n"),
            FaultyAnswer::EndlessInterim => (String::new(), "HTTP/1.1 102 Wait\r\n\r\n"),
            FaultyAnswer::EndlessEvent | FaultyAnswer::TrickledEvent => {
                (format!("{stream}id: 1\ndata: "), "more ")
            }
            FaultyAnswer::EndlessComments => (stream, ": more\n\n"),
            FaultyAnswer::EndlessCompletion => (stream, COMPLETION_CHUNK),
            FaultyAnswer::EndlessEvents => return self.write_events(connection, &stream),
        };
        let mut writer = connection;
        writer.write_all(begin.as_bytes())?;
        let is_trickled = self.answer == FaultyAnswer::TrickledEvent;
        let (bytes, pause) =
            if is_trickled { (repeated.len(), TRICKLE_PAUSE) } else { (WRITE_BYTES, WRITE_PAUSE) };
        let block = repeated.repeat(bytes / repeated.len());
        loop {
            writer.write_all(block.as_bytes())?;
            self.sent_bytes.fetch_add(block.len() as u64, Ordering::SeqCst);
            thread::sleep(pause);
        }
    }

    /// Writes numbered events, each as large as one write, until the peer closes the connection.
    fn write_events(&self, connection: &TcpStream, head: &str) -> io::Result<()> {
        let mut writer = connection;
        writer.write_all(head.as_bytes())?;
        let data = "more ".repeat(WRITE_BYTES / 5);
        for id in 1_u64.. {
            let event = format!("id: {id}\ndata: {data}\n\n");
            writer.write_all(event.as_bytes())?;
            self.sent_bytes.fetch_add(event.len() as u64, Ordering::SeqCst);
            thread::sleep(WRITE_PAUSE);
        }
        Ok(())
    }
}

/// Sends `answer` and resets the connection.
fn reset(connection: &TcpStream, answer: &str) -> io::Result<()> {
    let mut writer = connection;
    writer.write_all(answer.as_bytes())?;
    // The node reads the part before the reset discards it.
    thread::sleep(Duration::from_millis(50));
    Ok(sockopt::set_socket_linger(connection, Some(Duration::ZERO))?)
}
