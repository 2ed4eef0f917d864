//! Logging to standard output through a bounded buffer, without blocking.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};

use log::{LevelFilter, SetLoggerError};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::logs::dispatch;

/// Capacity of the buffer; lines are dropped while a slow reader keeps it full.
const BUFFER_MAX_BYTES: usize = 512 * 1024;
/// Maximum size of one write; a pipe accepts this many bytes without blocking once it is reported
/// writable.
const WRITE_MAX_BYTES: usize = 4_096;

#[derive(Debug, Default)]
struct Buffer {
    bytes: VecDeque<u8>,
    dropped_lines: u64,
}

/// Buffer of log lines that are not yet written, shared by all clones.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Buffer>>);

impl LogBuffer {
    /// Writes as many bytes as standard output accepts without blocking.
    pub fn write_pending(&self) {
        let stdout = io::stdout();
        let zero_timeout = Timespec { tv_sec: 0, tv_nsec: 0 };
        loop {
            let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            if buffer.bytes.is_empty() {
                return;
            }
            let mut poll_fds = [PollFd::new(&stdout, PollFlags::OUT)];
            if !matches!(poll(&mut poll_fds, Some(&zero_timeout)), Ok(1)) {
                return;
            }
            let bytes = buffer.bytes.make_contiguous();
            let length = bytes.len().min(WRITE_MAX_BYTES);
            match rustix::io::write(&stdout, &bytes[..length]) {
                Ok(written) => drop(buffer.bytes.drain(..written)),
                Err(_) => return,
            }
        }
    }
}

impl Write for LogBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > BUFFER_MAX_BYTES {
            buffer.dropped_lines += 1;
        } else {
            if buffer.dropped_lines > 0 {
                let notice = format!("event=log_lines_dropped count={}\n", buffer.dropped_lines);
                buffer.bytes.extend(notice.as_bytes());
                buffer.dropped_lines = 0;
            }
            buffer.bytes.extend(line);
        }
        Ok(line.len())
    }

    /// Does nothing: [`LogBuffer::write_pending`] writes the lines, so that logging never blocks.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging into a buffer; [`LogBuffer::write_pending`] writes it to standard output.
///
/// # Errors
///
/// Fails when a logger is already set.
pub fn init(level: LevelFilter) -> Result<LogBuffer, SetLoggerError> {
    let buffer = LogBuffer::default();
    let output = Box::new(buffer.clone()) as Box<dyn Write + Send>;
    dispatch(level).chain(output).apply()?;
    Ok(buffer)
}
