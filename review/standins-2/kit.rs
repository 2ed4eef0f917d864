//! Stand-ins for the cases 6 to 9, with the standard library only: the platform's store, nodes of the
//! system, clients, and helpers for backend servers ("runners") that run as processes of their own.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "calls.example";
pub const KEY: &str = "key-of-alpha";

// ---- time and record ----

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);

pub fn now_ms() -> u128 {
    START.get_or_init(Instant::now).elapsed().as_millis()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Opens the record, whose path is in the variable `RECORD`.
pub fn open_record() {
    now_ms();
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    *RECORD.lock().unwrap() = File::create(path).ok();
}

/// Writes a line to the record, with the time since the start.
pub fn record(line: impl AsRef<str>) {
    let line = format!("{:>7} ms  {}\n", now_ms(), line.as_ref());
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = file.write_all(line.as_bytes());
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Exit codes: the rule was broken, it held, the case could not run.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until `check` holds, for at most `ms`.
pub fn wait_for(ms: u64, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    loop {
        if check() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep_ms(10);
    }
}

// ---- JSON ----

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                if *bytes.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Table(table));
                }
                let name = parse_text(bytes, at)?;
                skip_space(bytes, at);
                if *bytes.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                table.insert(name, parse_value(bytes, at)?);
                skip_space(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                if *bytes.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(bytes, at)?);
                skip_space(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'"' => Some(Json::Text(parse_text(bytes, at)?)),
        _ => {
            let begin = *at;
            while *at < bytes.len() && !b",]} \t\r\n".contains(&bytes[*at]) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[begin..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => Some(Json::Number(number.parse().ok()?)),
            }
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let mut buffer = [0; 4];
                        let letter = char::from_u32(code).unwrap_or('?');
                        text.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            '\r' => quoted.push_str("\\r"),
            letter if letter < ' ' => quoted.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let (a, b, c) = (group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0));
        let bits = u32::from(a) << 16 | u32::from(b) << 8 | u32::from(c);
        for place in 0..4 {
            if place <= group.len() {
                text.push(BASE64[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Length of what base64 text stands for.
fn base64_length(text: &str) -> usize {
    let padding = text.bytes().rev().take_while(|byte| *byte == b'=').count();
    text.len() / 4 * 3 - padding.min(text.len())
}

// ---- HTTP ----

#[derive(Debug, Default, Clone)]
pub struct Head {
    /// The words of the first line.
    pub line: Vec<String>,
    /// Header fields with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if head.line.is_empty() {
            if line.is_empty() {
                continue;
            }
            head.line = line.splitn(3, ' ').map(str::to_owned).collect();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request or of an answer that has a length or chunks; an answer with neither is
/// read to the end of the connection. The second value tells whether the body is whole.
pub fn read_body(reader: &mut impl BufRead, head: &Head, is_answer: bool) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(length) if length > 0) {
                return (body, false);
            }
            let size = line.trim().split(';').next().unwrap_or_default().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else { return (body, false) };
            let begin = body.len();
            body.resize(begin + size, 0);
            let mut got = 0;
            while got < size {
                match reader.read(&mut body[begin + got..]) {
                    Ok(length) if length > 0 => got += length,
                    _ => {
                        body.truncate(begin + got);
                        return (body, false);
                    }
                }
            }
            let mut end = String::new();
            if !matches!(reader.read_line(&mut end), Ok(length) if length > 0) {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
        }
    }
    if let Ok(length) = head.field("content-length").parse::<u64>() {
        let is_read = reader.take(length).read_to_end(&mut body).is_ok();
        let is_whole = is_read && body.len() as u64 == length;
        return (body, is_whole);
    }
    if is_answer && !matches!(head.status(), 204 | 304) {
        let is_whole = reader.read_to_end(&mut body).is_ok();
        return (body, is_whole);
    }
    (body, true)
}

// ---- the platform's store ----

#[derive(Default)]
struct Rows {
    version: u64,
    /// Values in base64 and versions, by table, part and key.
    rows: BTreeMap<(String, String, String), (String, u64)>,
    /// Changes: version, name, value (`None` if the row was removed).
    history: Vec<(u64, (String, String, String), Option<String>)>,
}

/// The store, as PROTOCOL.md tells it: rows, conditional transactions and feeds. It answers every
/// call in some milliseconds, and loses nothing.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    pub address: SocketAddr,
    /// Largest value of a row, as `rowBytes` in the settings.
    row_bytes: usize,
    /// Refused writes with a value that is too large.
    pub too_large: Mutex<usize>,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            address: listener.local_addr()?,
            row_bytes: 65536,
            too_large: Mutex::new(0),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let serving = Arc::clone(&accepting);
                thread::spawn(move || serving.serve(connection));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a runner.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.apply(name, value.map(|value| base64(value.as_bytes())));
        drop(rows);
        self.changed.notify_all();
    }

    fn serve(&self, connection: TcpStream) {
        let _ = connection.set_nodelay(true);
        let Ok(mut writer) = connection.try_clone() else { return };
        let mut reader = BufReader::new(connection);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let (body, _) = read_body(&mut reader, &head, false);
            sleep_ms(3);
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let target = head.line.get(1).map_or("", String::as_str);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/rows-tx" => match Json::parse(body) {
                Some(transaction) => self.transact(&transaction),
                None => (400, "{}".to_owned()),
            },
            "/v1/rows-get" => {
                let limit = text("limit").parse().unwrap_or(500).min(500);
                self.read(&text("table"), &text("part"), &text("from"), limit)
            }
            "/v1/rows-feed" => {
                let after = text("after").parse().unwrap_or(0);
                self.feed(&text("table"), after, text("waitMs").parse().unwrap_or(0))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, transaction: &Json) -> (u16, String) {
        let name = |row: &Json| {
            let text = |field: &str| row.get(field).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let mut current = Vec::new();
        for expected in transaction.get("expectedRev").list() {
            let name = name(expected);
            let known = rows.rows.get(&name);
            if known.map_or(0, |known| known.1) != expected.get("ver").number() {
                current.extend(known.map(|(value, version)| row_json(&name, value, *version, false)));
            }
            let is_refused = matches!(name.0.as_str(), "op" | "servers");
            if is_refused {
                return (403, "{}".to_owned());
            }
            if name.2.len() > 200 || name.1.len() > 200 {
                return (400, "{}".to_owned());
            }
        }
        for write in transaction.get("writes").list() {
            if base64_length(write.get("value").text()) > self.row_bytes {
                *self.too_large.lock().unwrap() += 1;
                return (413, "{\"error\":\"a value is over rowBytes\"}".to_owned());
            }
        }
        let is_conflict = transaction.get("expectedRev").list().iter().any(|expected| {
            let known = rows.rows.get(&name(expected));
            known.map_or(0, |known| known.1) != expected.get("ver").number()
        });
        if is_conflict {
            let version = rows.version;
            return (412, format!("{{\"rows\":[{}],\"ver\":{version}}}", current.join(",")));
        }
        rows.version += 1;
        for write in transaction.get("writes").list() {
            rows.apply(name(write), Some(write.get("value").text().to_owned()));
        }
        for removed in transaction.get("remove").list() {
            rows.apply(name(removed), None);
        }
        let version = rows.version;
        drop(rows);
        self.changed.notify_all();
        sleep_ms(3);
        (200, format!("{{\"ver\":{version},\"nowMs\":{}}}", unix_ms()))
    }

    fn read(&self, table: &str, part: &str, from: &str, limit: usize) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let begin = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut found = rows
            .rows
            .range(begin..)
            .take_while(|((known_table, known_part, _), _)| known_table == table && known_part == part);
        let page: Vec<String> = found
            .by_ref()
            .take(limit)
            .map(|(name, (value, version))| row_json(name, value, *version, false))
            .collect();
        let has_more = found.next().is_some();
        let (page, version) = (page.join(","), rows.version);
        (200, format!("{{\"rows\":[{page}],\"hasMore\":{has_more},\"ver\":{version},\"nowMs\":{}}}", unix_ms()))
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes: Vec<String> = rows
                .history
                .iter()
                .filter(|(version, name, _)| *version > after && name.0 == table)
                .map(|(version, name, value)| {
                    row_json(name, value.as_deref().unwrap_or(""), *version, value.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let (changes, version) = (changes.join(","), rows.version);
                return (200, format!("{{\"rows\":[{changes}],\"ver\":{version},\"nowMs\":{}}}", unix_ms()));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

impl Rows {
    fn apply(&mut self, name: (String, String, String), value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => self.rows.insert(name.clone(), (value.clone(), version)),
            None => self.rows.remove(&name),
        };
        self.history.push((version, name, value));
    }
}

fn row_json(name: &(String, String, String), value: &str, version: u64, is_removed: bool) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":\"{value}\",\"ver\":{version}{}}}",
        quote(&name.0),
        quote(&name.1),
        quote(&name.2),
        if is_removed { ",\"tombstone\":true" } else { "" },
    )
}

fn unescape(text: &str) -> String {
    let (bytes, mut plain, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

// ---- processes ----

/// A child process whose lines are collected; killed when dropped.
pub struct Process {
    child: Child,
    pub lines: Arc<Mutex<Vec<String>>>,
    pub name: String,
}

impl Process {
    pub fn spawn(name: &str, command: &mut Command) -> io::Result<Self> {
        use std::os::unix::process::CommandExt as _;
        unsafe extern "C" {
            fn prctl(option: i32, value: u64) -> i32;
        }
        // Ends the process when the case ends, however that ends (PR_SET_PDEATHSIG with SIGKILL).
        // Sound: `prctl` may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        let mut child =
            command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let outputs: [Option<Box<dyn Read + Send>>; 2] = [
            child.stdout.take().map(|output| Box::new(output) as Box<dyn Read + Send>),
            child.stderr.take().map(|output| Box::new(output) as Box<dyn Read + Send>),
        ];
        for output in outputs.into_iter().flatten() {
            let lines = Arc::clone(&lines);
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    lines.lock().unwrap().push(line);
                }
            });
        }
        Ok(Self { child, lines, name: name.to_owned() })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its number.
    pub fn signal(&self, number: i32) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        // Sound: only the process that was started here is signalled.
        unsafe { kill(self.id() as i32, number) };
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    /// Memory in use and its peak, in KB, as the system tells it.
    pub fn memory_kb(&self) -> (u64, u64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let value = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
        };
        (value("VmRSS:"), value("VmHWM:"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A node of the system, started with the command of the deploy file.
pub struct Node {
    pub process: Process,
    pub front: String,
    pub ready: String,
    settings: PathBuf,
    name: String,
}

/// Figures of the settings file that differ between the cases.
#[derive(Clone, Copy)]
pub struct Settings {
    pub memory_mb: u64,
}

impl Node {
    /// Starts the node number `number` with an address of its own.
    pub fn start(place: &Place, number: usize, settings: Settings) -> io::Result<Self> {
        let ip = place.ip(number + 10);
        let name = format!("edge-zone-a-{number}");
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"front\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\n\
             ip = \"{ip}\"\nzone = \"zone-a\"\nregion = \"region\"\nportRange = [7780,7795]\nseeds = []\n\
             bootstrap = true\ninFailureBudget = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]\n\
             [zones]\nzone-a = \"region\"\n\
             [listen]\nfront = \"{ip}:8368\"\nready = \"{ip}:8369\"\ncontrol = \"{ip}:8367\"\n\
             [limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = {}\nmaxFds = 8200\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 7.9\ndrainMs = 2000\n\
             graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\n\
             strictRevoke = true\nrevokeMs = 5000\nquotaWindowS = 5\nquotaOverrun = 0.1\nquotaSlack = 20\n\
             recoverS = 12\npassMs = 120\nagainS = 0\nfinishS = 10\nsettleMs = 1000\n\
             [provider]\naddress = \"{}\"\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\ntxMs = 5.0\n\
             partWritesS = 200\nrowBytes = 65536\nacross = false\nhistoryS = 20\nblobBytes = 8388608\nblobMs = 25.0\n\
             blobMbS = 80.0\n",
            settings.memory_mb, place.store.address,
        );
        let path = place.folder.join(format!("{name}.toml"));
        std::fs::write(&path, text)?;
        let process = Self::spawn(&name, &path)?;
        let (front, ready) = (format!("{ip}:8368"), format!("{ip}:8369"));
        Ok(Self { process, front, ready, settings: path, name })
    }

    fn spawn(name: &str, settings: &PathBuf) -> io::Result<Process> {
        let mut command = Command::new("target/release/dandelionfront");
        command.arg("front").env("DANDELIONFRONT_BOOT", settings);
        Process::spawn(name, &mut command)
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = Self::spawn(&self.name, &self.settings)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        is_ready(&self.ready)
    }
}

/// Asks a node whether it is ready, as the entry does.
pub fn is_ready(address: &str) -> bool {
    let exchange = || -> io::Result<u16> {
        let mut connection = TcpStream::connect(address)?;
        connection.set_read_timeout(Some(Duration::from_secs(1)))?;
        connection.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        Ok(read_head(&mut BufReader::new(connection))?.map_or(0, |head| head.status()))
    };
    exchange().is_ok_and(|status| status == 200)
}

/// Loopback addresses and the temporary folder of one run, with its store.
pub struct Place {
    pub folder: PathBuf,
    pub store: Arc<Store>,
    prefix: String,
}

impl Place {
    pub fn new() -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{id}"));
        std::fs::create_dir_all(&folder)?;
        // A range of loopback addresses of this run's own.
        let prefix = format!("127.{}.{}", 16 + id % 200, id / 200 % 250);
        let store = Store::start(&format!("{prefix}.1"))?;
        Ok(Self { folder, store, prefix })
    }

    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.prefix)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A runner: the case's own program with the argument `runner`, as a process.
pub struct Runner {
    pub process: Process,
    pub id: String,
    pub address: String,
    pub service: String,
    pub software: String,
    pub slots: u32,
}

impl Runner {
    /// Starts a runner and writes its entry into the store.
    pub fn start(place: &Place, number: usize, service: &str, software: &str, slots: u32, script: &str) -> io::Result<Self> {
        // The port stays the same over restarts; the address is the runner's own.
        let address = format!("{}:9100", place.ip(100 + number));
        let id = format!("i-{service}-{number}");
        let process = Self::spawn(&id, &address, software, script)?;
        let runner = Self {
            process,
            id,
            address,
            service: service.to_owned(),
            software: software.to_owned(),
            slots,
        };
        runner.register(place);
        Ok(runner)
    }

    fn spawn(id: &str, address: &str, software: &str, script: &str) -> io::Result<Process> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["runner", address, id, software, script]);
        Process::spawn(id, &mut command)
    }

    /// Writes the entry of the runner, which has just started.
    pub fn register(&self, place: &Place) {
        let entry = format!(
            "{{\"service\":{},\"address\":{},\"zone\":\"zone-a\",\"version\":{},\"slots\":{},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{}}}",
            quote(&self.service), quote(&self.address), quote(&self.software), self.slots, unix_ms(),
        );
        place.store.put("servers", &self.id, Some(&entry));
    }

    /// Starts the runner again under its id, with the given software; its entry is written first.
    pub fn restart(&mut self, place: &Place, software: &str, script: &str) -> io::Result<()> {
        self.software = software.to_owned();
        self.register(place);
        self.process = Self::spawn(&self.id, &self.address, software, script)?;
        Ok(())
    }

    /// Waits until the runner accepts connections.
    pub fn wait(&self) -> bool {
        wait_for(5_000, || TcpStream::connect(&self.address).is_ok())
    }
}

/// Records what the processes of the runners printed: what they ran, and what they answered to the end.
pub fn record_runs(runners: &[Runner]) {
    for runner in runners {
        for line in runner.process.lines() {
            record(format!("{}: {line}", runner.id));
        }
    }
}

// ---- runners, in their own processes ----

/// Arguments of a runner's process; `None` in the process of the case itself.
pub struct RunnerArgs {
    pub address: String,
    pub id: String,
    pub software: String,
    pub script: String,
}

pub fn runner_args() -> Option<RunnerArgs> {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).map(String::as_str) != Some("runner") {
        return None;
    }
    let arg = |position: usize| args.get(position).cloned().unwrap_or_default();
    Some(RunnerArgs { address: arg(2), id: arg(3), software: arg(4), script: arg(5) })
}

/// Serves requests until the process ends. `run` answers one request and returns whether the
/// connection may serve another one. A request for another instance is refused with 421.
pub fn serve_runner<F>(args: &RunnerArgs, run: F) -> !
where
    F: Fn(&Head, Vec<u8>, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let until = Instant::now() + Duration::from_secs(5);
    let listener = loop {
        match TcpListener::bind(&args.address) {
            Ok(listener) => break listener,
            Err(error) if Instant::now() > until => {
                eprintln!("cannot listen: {error}");
                std::process::exit(2);
            }
            Err(_) => sleep_ms(5),
        }
    };
    let run = Arc::new(run);
    for connection in listener.incoming().flatten() {
        let (run, id) = (Arc::clone(&run), args.id.clone());
        thread::spawn(move || -> io::Result<()> {
            let _ = connection.set_nodelay(true);
            let mut writer = connection.try_clone()?;
            let mut reader = BufReader::new(connection);
            while let Some(head) = read_head(&mut reader)? {
                let (body, is_whole) = read_body(&mut reader, &head, false);
                if !is_whole {
                    return Ok(());
                }
                let request = head.field("request-id").to_owned();
                let expected = head.field("expect-instance");
                if !expected.is_empty() && expected != id {
                    let refusal = format!(
                        "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nInstance-Id: {id}\r\n\
                         Content-Length: 0\r\n\r\n"
                    );
                    writer.write_all(refusal.as_bytes())?;
                    continue;
                }
                println!("run {request} bytes={}", body.len());
                if !run(&head, body, &mut writer)? {
                    return writer.shutdown(std::net::Shutdown::Both);
                }
            }
            Ok(())
        });
    }
    std::process::exit(0)
}

// ---- clients ----

/// What a client received.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer looks complete.
    pub is_whole: bool,
}

/// Connects to a node.
pub fn connect(address: &str) -> io::Result<TcpStream> {
    let connection = TcpStream::connect(address)?;
    connection.set_nodelay(true)?;
    connection.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(connection)
}

/// Lets the system keep few bytes of a connection that the client has not read.
pub fn limit_unread_bytes(connection: &TcpStream, bytes: i32) {
    use std::os::fd::AsRawFd as _;
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    // SOL_SOCKET and SO_RCVBUF. Sound: the value lives until the call returns.
    unsafe { setsockopt(connection.as_raw_fd(), 1, 8, &bytes, 4) };
}

/// Formats a request; `fields` are further header fields.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n"
    );
    if !fields.iter().any(|(name, _)| *name == "Key") {
        head.push_str(&format!("Key: {KEY}\r\n"));
    }
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// Reads the answer on a connection.
pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let Ok(Some(head)) = read_head(reader) else { return Answer::default() };
    let status = head.status();
    let (body, is_whole) = read_body(reader, &head, true);
    Answer { status, head, body, is_whole }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn exchange(address: &str, request: &[u8]) -> Answer {
    let Ok(mut connection) = connect(address) else { return Answer::default() };
    if connection.write_all(request).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(connection))
}

/// A case ends with this: the verdict goes to the record and to standard output.
pub fn finish(place: Place, code: i32, verdict: &str) -> ! {
    let word = match code {
        BROKEN => "BROKEN",
        HELD => "HELD",
        _ => "NOT RUN",
    };
    record(format!("verdict: {word}: {verdict}"));
    println!("{word}: {verdict}");
    drop(place);
    std::process::exit(code)
}
