//! Child processes that are killed at the end of the test.

use std::io::{BufRead as _, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

/// Longest wait for a line that a process must print, such as the line with its address.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Variable with the path of the production build's program, as built by `.ci/production`.
const PRODUCTION_VARIABLE: &str = "DANDELIONFRONT_PRODUCTION_BIN";

/// Build of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Build {
    /// The build of the tests.
    Current,
    /// The build that deployments run before this one.
    Production,
}

impl Build {
    /// Returns the other build.
    pub fn other(self) -> Self {
        match self {
            Self::Current => Self::Production,
            Self::Production => Self::Current,
        }
    }

    /// Returns whether the production build is there; prints a line if not.
    pub fn has_production() -> bool {
        let is_there = std::env::var_os(PRODUCTION_VARIABLE).is_some_and(|path| !path.is_empty());
        if !is_there {
            println!("skipped: {PRODUCTION_VARIABLE} names no production build");
        }
        is_there
    }

    fn program(self) -> PathBuf {
        match self {
            Self::Current => PathBuf::from(env!("CARGO_BIN_EXE_dandelionfront")),
            Self::Production => {
                std::env::var_os(PRODUCTION_VARIABLE).expect("the production build is there").into()
            }
        }
    }
}

/// A child process, killed when dropped.
pub struct ChildProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    unread_lines: mpsc::Receiver<String>,
}

impl ChildProcess {
    /// Starts the daemon.
    pub fn daemon(args: &[String], environment: &[(&str, &str)]) -> Self {
        Self::spawn(&Build::Current.program(), args, environment)
    }

    /// Starts the daemon of a build.
    pub fn daemon_of(build: Build, args: &[String]) -> Self {
        Self::spawn(&build.program(), args, &[])
    }

    /// Starts the daemon with at most `descriptors_max` open descriptors.
    pub fn daemon_within(descriptors_max: u64, args: &[String]) -> Self {
        let limit = format!("ulimit -n {descriptors_max} && exec \"$0\" \"$@\"");
        let mut limited = vec!["-c".to_owned(), limit];
        limited.push(Build::Current.program().display().to_string());
        limited.extend_from_slice(args);
        Self::spawn(Path::new("sh"), &limited, &[])
    }

    /// Starts a stand-in, one of the examples of the package `dandelionfront-standins`.
    pub fn standin(name: &str, args: &[String]) -> Self {
        let daemon = Path::new(env!("CARGO_BIN_EXE_dandelionfront"));
        let folder = daemon.parent().expect("the daemon is in the target directory");
        Self::spawn(&folder.join("examples").join(name), args, &[])
    }

    fn spawn(program: &Path, args: &[String], environment: &[(&str, &str)]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", program.display()));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (sender, unread_lines) = mpsc::channel();
        let stdout = child.stdout.take().expect("stdout is piped");
        let stderr = child.stderr.take().expect("stderr is piped");
        collect_lines(stdout, Arc::clone(&lines), sender.clone());
        collect_lines(stderr, Arc::clone(&lines), sender);
        Self { child, lines, unread_lines }
    }

    /// Waits for the next line that contains `marker` and returns its `key=value` pairs.
    pub fn wait_for(&self, marker: &str) -> Vec<(String, String)> {
        let deadline = std::time::Instant::now() + LINE_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(std::time::Instant::now());
            match self.unread_lines.recv_timeout(left) {
                Ok(line) if line.contains(marker) => return parse_pairs(&line),
                Ok(_) => {}
                Err(error) => panic!(
                    "no line with {marker:?} ({error}); the process printed {:#?}",
                    self.lines()
                ),
            }
        }
    }

    /// Returns all lines that the process has printed so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no panic while holding the lock").clone()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{name} failed");
    }

    /// Returns the exit code of the process, `-1` if a signal ended it, or `None` while it runs.
    pub fn try_exit(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() || std::env::var_os("SHOW_LOGS").is_some() {
            println!("--- process {} printed:\n{}", self.id(), self.lines().join("\n"));
        }
    }
}

fn collect_lines(
    output: impl Read + Send + 'static,
    lines: Arc<Mutex<Vec<String>>>,
    sender: mpsc::Sender<String>,
) {
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            lines.lock().expect("no panic while holding the lock").push(line.clone());
            let _ = sender.send(line);
        }
    });
}

fn parse_pairs(line: &str) -> Vec<(String, String)> {
    let pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

/// Returns the value of `key`.
pub fn value(pairs: &[(String, String)], key: &str) -> String {
    let pair = pairs.iter().find(|(name, _)| name == key);
    pair.unwrap_or_else(|| panic!("no {key} in {pairs:?}")).1.clone()
}
