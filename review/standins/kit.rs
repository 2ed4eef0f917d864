//! Stand-ins for the cases in this folder: the platform's store, runners, clients and the start of
//! nodes. Standard library only; each case includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = Self::value(text, &mut at)?;
        Some(value)
    }

    fn space(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(text, at);
        match *text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Str(name) = Self::value(text, at)? else { return None };
                            Self::space(text, at);
                            if *text.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            fields.push((name, Self::value(text, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut bytes = Vec::new();
                loop {
                    let byte = *text.get(*at)?;
                    *at += 1;
                    match byte {
                        b'"' => return String::from_utf8(bytes).ok().map(Json::Str),
                        b'\\' => {
                            let escaped = *text.get(*at)?;
                            *at += 1;
                            match escaped {
                                b'n' => bytes.push(b'\n'),
                                b't' => bytes.push(b'\t'),
                                b'r' => bytes.push(b'\r'),
                                b'b' => bytes.push(8),
                                b'f' => bytes.push(12),
                                b'u' => {
                                    let digits = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                                    *at += 4;
                                    let code = u32::from_str_radix(digits, 16).ok()?;
                                    let c = char::from_u32(code).unwrap_or('?');
                                    bytes.extend(c.to_string().as_bytes());
                                }
                                other => bytes.push(other),
                            }
                        }
                        other => bytes.push(other),
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let start = *at;
                while text.get(*at).is_some_and(|byte| b"+-0123456789.eE".contains(byte)) {
                    *at += 1;
                }
                std::str::from_utf8(&text[start..*at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Map(fields) = self else { return None };
        fields.iter().find(|(field, _)| field == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Str(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn num(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Json::Num(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out += "\\\"",
            '\\' => out += "\\\\",
            c if (c as u32) < 32 => out += &format!("\\u{:04x}", c as u32),
            c => out.push(c),
        }
    }
    out + "\""
}

// -------------------------------------------------------------------------------------- Base64

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let n = u32::from(group[0]) << 16
            | u32::from(*group.get(1).unwrap_or(&0)) << 8
            | u32::from(*group.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= group.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = DIGITS.iter().position(|known| *known == byte)? as u32;
        bits = bits << 6 | digit;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    Some(out)
}

// ---------------------------------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        for pair in query.split('&') {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            if key == name {
                return unescape(value);
            }
        }
        String::new()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let code = std::str::from_utf8(&bytes[at + 1..at + 3]).ok();
            if let Some(code) = code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
                out.push(code);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a request with a length or chunks; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let mut request = Request {
        method: words.next().unwrap_or("").to_owned(),
        target: words.next().unwrap_or("").to_owned(),
        ..Request::default()
    };
    request.fields = read_fields(reader)?;
    request.body = read_body(reader, &request.fields, false)?.0;
    Ok(Some(request))
}

pub fn read_fields(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(fields);
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        fields.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Reads a body; the second value tells whether it is complete.
pub fn read_body(
    reader: &mut impl BufRead,
    fields: &[(String, String)],
    to_end: bool,
) -> io::Result<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    if field(fields, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Ok((body, false));
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return Ok((body, false)) };
            let mut chunk = vec![0; length + 2];
            let mut at = 0;
            while at < chunk.len() {
                match reader.read(&mut chunk[at..]) {
                    Ok(0) | Err(_) => {
                        body.extend(&chunk[..at.min(length)]);
                        return Ok((body, false));
                    }
                    Ok(read) => at += read,
                }
            }
            body.extend(&chunk[..length]);
            if length == 0 {
                return Ok((body, true));
            }
        }
    }
    if let Some(length) = field(fields, "content-length").and_then(|value| value.parse().ok()) {
        let length: usize = length;
        let mut buffer = vec![0; 64 * 1024];
        while body.len() < length {
            let most = buffer.len().min(length - body.len());
            match reader.read(&mut buffer[..most]) {
                Ok(0) | Err(_) => return Ok((body, false)),
                Ok(read) => body.extend(&buffer[..read]),
            }
        }
        return Ok((body, true));
    }
    if to_end {
        let is_complete = reader.read_to_end(&mut body).is_ok();
        return Ok((body, is_complete));
    }
    Ok((body, true))
}

/// A response as a client saw it.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_whole: bool,
}

impl Reply {
    pub fn field(&self, name: &str) -> &str {
        field(&self.fields, name).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a response; status 0 if the connection ended before its head was complete.
pub fn read_reply(reader: &mut impl BufRead) -> Reply {
    let mut line = String::new();
    if reader.read_line(&mut line).unwrap_or(0) == 0 {
        return Reply::default();
    }
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let Ok(fields) = read_fields(reader) else { return Reply::default() };
    let (body, is_whole) = read_body(reader, &fields, true).unwrap_or_default();
    Reply { status, fields, body, is_whole }
}

pub fn send(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

pub fn connect(address: &str, time_limit: Duration) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time_limit))?;
    stream.set_write_timeout(Some(time_limit))?;
    Ok(stream)
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    address: &str,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    time_limit: Duration,
) -> Reply {
    let Ok(mut stream) = connect(address, time_limit) else { return Reply::default() };
    if send(&mut stream, method, target, fields, body).is_err() {
        return Reply::default();
    }
    read_reply(&mut BufReader::new(stream))
}

// --------------------------------------------------------------------------------------- Record

/// What was sent, answered and run, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------- Store

type RowName = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowName, (Vec<u8>, u64)>,
    /// Table, part, key, value and version of each change; `None` for a removal.
    changes: Vec<(RowName, Option<Vec<u8>>, u64)>,
    version: u64,
}

/// Addresses of runners, with the address at which some machines reach each: that of a [`Link`].
#[derive(Clone, Default)]
pub struct View(pub Arc<Mutex<Vec<(String, String)>>>);

impl View {
    fn of(&self, table: &str, value: &[u8]) -> Vec<u8> {
        if table != "servers" {
            return value.to_vec();
        }
        let mut text = String::from_utf8_lossy(value).into_owned();
        for (address, link) in self.0.lock().unwrap().iter() {
            text = text.replace(&format!("\"{address}\""), &format!("\"{link}\""));
        }
        text.into_bytes()
    }
}

/// The platform's metadata store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Largest value of a row, in bytes.
    pub row_bytes: AtomicUsize,
    pub is_down: AtomicBool,
    pub refused_too_large: AtomicU64,
    started_at: Instant,
    record: Record,
}

impl Store {
    /// Starts the store; returns it and its address.
    pub fn start(ip: &str, record: &Record) -> (Arc<Self>, String) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            row_bytes: AtomicUsize::new(65_536),
            is_down: AtomicBool::new(false),
            refused_too_large: AtomicU64::new(0),
            started_at: Instant::now(),
            record: record.clone(),
        });
        let address = store.listen(ip, View::default());
        (store, address)
    }

    /// Serves a further address, whose callers reach the runners by other ways.
    pub fn listen(self: &Arc<Self>, ip: &str, view: View) -> String {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().unwrap().to_string();
        let accepting = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, view) = (Arc::clone(&accepting), view.clone());
                thread::spawn(move || store.serve(stream, &view));
            }
        });
        address
    }

    /// Writes a row as the operator or a runner does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> u64 {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        match value {
            Some(value) => rows.rows.insert(name.clone(), (value.as_bytes().to_vec(), version)),
            None => rows.rows.remove(&name),
        };
        rows.changes.push((name, value.map(|value| value.as_bytes().to_vec()), version));
        self.changed.notify_all();
        version
    }

    /// Returns the rows of a table.
    pub fn table(&self, table: &str) -> Vec<(String, Vec<u8>)> {
        let rows = self.rows.lock().unwrap();
        let of_table = rows.rows.iter().filter(|(name, _)| name.0 == table);
        of_table.map(|(name, row)| (name.2.clone(), row.0.clone())).collect()
    }

    fn serve(&self, stream: TcpStream, view: &View) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let (status, body) = self.answer(&request, view);
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    fn answer(&self, request: &Request, view: &View) -> (u16, String) {
        match (request.method.as_str(), request.path()) {
            ("POST", "/v1/rows-tx") => {
                thread::sleep(Duration::from_millis(5));
                self.transact(&request.body)
            }
            ("GET", "/v1/rows-get") => {
                thread::sleep(Duration::from_millis(4));
                self.read(request, view)
            }
            ("GET", "/v1/rows-feed") => self.feed(request, view),
            _ => (404, "{}".to_owned()),
        }
    }

    fn row_text(name: &RowName, value: &[u8], version: u64) -> String {
        format!(
            "{{\"table\":{},\"part\":{},\"key\":{},\"value\":\"{}\",\"ver\":{version}}}",
            quoted(&name.0),
            quoted(&name.1),
            quoted(&name.2),
            base64(value)
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let name = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let mut rows = self.rows.lock().unwrap();
        let mut writes = Vec::new();
        for write in call.list("writes") {
            let Some(value) = unbase64(&write.text("value")) else { return (400, "{}".to_owned()) };
            if value.len() > self.row_bytes.load(Ordering::SeqCst) {
                self.refused_too_large.fetch_add(1, Ordering::SeqCst);
                let (table, _, key) = name(write);
                let bytes = value.len();
                self.record.line(format!("store refuses row {table}/{key} of {bytes} bytes"));
                return (400, "{\"error\":\"the value is longer than rowBytes\"}".to_owned());
            }
            writes.push((name(write), Some(value)));
        }
        for row in call.list("remove") {
            writes.push((name(row), None));
        }
        let version_of =
            |rows: &Rows, name: &RowName| rows.rows.get(name).map_or(0, |(_, version)| *version);
        let expected = call.list("expectedRev");
        if expected.iter().any(|row| version_of(&rows, &name(row)) as f64 != row.num("ver")) {
            let current: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let name = name(row);
                    let (value, version) = rows.rows.get(&name)?;
                    Some(Self::row_text(&name, value, *version))
                })
                .collect();
            let (version, now) = (rows.version, self.now_ms());
            let list = current.join(",");
            return (412, format!("{{\"rows\":[{list}],\"ver\":{version},\"nowMs\":{now}}}"));
        }
        rows.version += 1;
        let version = rows.version;
        for (name, value) in writes {
            match &value {
                Some(value) => drop(rows.rows.insert(name.clone(), (value.clone(), version))),
                None => drop(rows.rows.remove(&name)),
            }
            rows.changes.push((name, value, version));
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms()))
    }

    fn read(&self, request: &Request, view: &View) -> (u16, String) {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, target) = (request.query("from"), request.query("target"));
        let limit = request.query("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let mut found: Vec<String> = Vec::new();
        let mut has_more = false;
        for (name, (value, version)) in &rows.rows {
            let is_wanted = name.0 == table
                && name.1 == part
                && name.2 >= from
                && (target.is_empty() || name.2 < target);
            if is_wanted {
                if found.len() == limit {
                    has_more = true;
                    break;
                }
                found.push(Self::row_text(name, &view.of(&table, value), *version));
            }
        }
        let (list, version, now) = (found.join(","), rows.version, self.now_ms());
        (200, format!("{{\"rows\":[{list}],\"hasMore\":{has_more},\"ver\":{version},\"nowMs\":{now}}}"))
    }

    fn feed(&self, request: &Request, view: &View) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        thread::sleep(Duration::from_millis(4));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes: Vec<String> = rows
                .changes
                .iter()
                .filter(|(name, _, version)| name.0 == table && *version > after)
                .map(|(name, value, version)| match value {
                    Some(value) => Self::row_text(name, &view.of(&table, value), *version),
                    None => format!(
                        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{version},\"tombstone\":true}}",
                        quoted(&name.0),
                        quoted(&name.1),
                        quoted(&name.2)
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let (list, version) = (changes.join(","), rows.version);
                return (200, format!("{{\"rows\":[{list}],\"ver\":{version},\"nowMs\":{}}}", self.now_ms()));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

// --------------------------------------------------------------------------------------- Runner

/// What a runner does with a request that names it.
pub type Behave = Arc<dyn Fn(&Request, &mut TcpStream, &Runner) -> io::Result<()> + Send + Sync>;

/// A runner: registers itself in the store, and serves requests until it is ended.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub software: String,
    pub address: SocketAddr,
    pub born: u128,
    is_running: AtomicBool,
    is_registered: AtomicBool,
    state: Mutex<String>,
    open: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
    pub runs: Mutex<Vec<String>>,
    store: Arc<Store>,
    pub record: Record,
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

impl Runner {
    /// Starts a runner at `address`, which may have port 0.
    pub fn start(
        id: &str,
        service: &str,
        software: &str,
        address: &str,
        store: &Arc<Store>,
        record: &Record,
        behave: Behave,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the runner's address is free");
        listener.set_nonblocking(true).unwrap();
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            software: software.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            is_running: AtomicBool::new(true),
            is_registered: AtomicBool::new(true),
            state: Mutex::new("ready".to_owned()),
            open: Mutex::default(),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            store: Arc::clone(store),
            record: record.clone(),
        });
        LISTENING.lock().unwrap().push(runner.address);
        let accepting = Arc::clone(&runner);
        thread::spawn(move || {
            while accepting.is_running.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            accepting.open.lock().unwrap().push(clone);
                        }
                        let (runner, behave) = (Arc::clone(&accepting), Arc::clone(&behave));
                        thread::spawn(move || runner.serve(stream, &behave));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        runner.beat("ready");
        let beating = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1_200));
                if !beating.is_running.load(Ordering::SeqCst)
                    || !beating.is_registered.load(Ordering::SeqCst)
                {
                    return;
                }
                let state = beating.state.lock().unwrap().clone();
                beating.beat(&state);
            }
        });
        runner
    }

    /// Writes the runner's entry, with this state from now on.
    pub fn beat(&self, state: &str) {
        *self.state.lock().unwrap() = state.to_owned();
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\
             \"slots\":12,\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.software, self.born
        );
        self.store.put("servers", &self.id, Some(&entry));
    }

    /// Ends the runner's process: its address refuses, its connections are reset.
    pub fn crash(&self) {
        self.is_running.store(false, Ordering::SeqCst);
        LISTENING.lock().unwrap().retain(|address| *address != self.address);
        thread::sleep(Duration::from_millis(4));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(format!("runner {} ({}) crashes", self.id, self.software));
    }

    pub fn is_running(&self) -> bool {
        self.is_running.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream, behave: &Behave) {
        self.serve_requests(&stream, behave);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    fn serve_requests(&self, stream: &TcpStream, behave: &Behave) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !self.is_running() {
                return;
            }
            let id = request.field("request-id").to_owned();
            if request.field("expect-instance") != self.id {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(id.clone());
            self.record.line(format!(
                "runner {} ({}) runs {id} {} {} body {} bytes last-event {}",
                self.id,
                self.software,
                request.method,
                request.target,
                request.body.len(),
                request.field("last-event-id")
            ));
            if behave(&request, &mut writer, self).is_err() {
                return;
            }
        }
    }
}

/// Writes an answer with a length.
pub fn answer(writer: &mut TcpStream, id: &str, status: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    writer.write_all(&bytes)
}

pub fn stream_head(writer: &mut TcpStream, id: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())
}

pub fn chunk(writer: &mut TcpStream, text: &str) -> io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

pub fn last_chunk(writer: &mut TcpStream) -> io::Result<()> {
    writer.write_all(b"0\r\n\r\n")
}

// ----------------------------------------------------------------------------------------- Link

/// The way from some machines to a runner, which can be cut: connections are reset, and new ones
/// refused. While the runner's process does not run, the link refuses as the runner's address does.
pub struct Link {
    pub address: SocketAddr,
    is_cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let link = Arc::new(Self { address, is_cut: AtomicBool::new(false), open: Mutex::default() });
        let running = Arc::clone(&link);
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            let mut listener = Some(listener);
            let mut is_up = true;
            let mut checked_at = Instant::now();
            loop {
                if checked_at.elapsed() >= Duration::from_millis(2) {
                    checked_at = Instant::now();
                    is_up = is_listening(target);
                }
                if !is_up || running.is_cut.load(Ordering::SeqCst) {
                    listener = None;
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                let bound = match &listener {
                    Some(bound) => bound,
                    None => match TcpListener::bind(address) {
                        Ok(bound) => {
                            bound.set_nonblocking(true).unwrap();
                            listener.insert(bound)
                        }
                        Err(_) => continue,
                    },
                };
                match bound.accept() {
                    Ok((stream, _)) => {
                        let link = Arc::clone(&running);
                        thread::spawn(move || link.relay(&stream, target));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        link
    }

    fn relay(&self, near: &TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = (near.set_nonblocking(false), near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(a), Ok(b)) = (near.try_clone(), far.try_clone()) else { return };
        self.open.lock().unwrap().extend([near.try_clone().unwrap(), far.try_clone().unwrap()]);
        let up = thread::spawn(move || {
            let (mut a, mut b) = (a, b);
            let _ = io::copy(&mut a, &mut b);
            let _ = b.shutdown(std::net::Shutdown::Both);
        });
        let (mut near, mut far) = (near.try_clone().unwrap(), far);
        let _ = io::copy(&mut far, &mut near);
        // If the runner has ended, the link refuses by then.
        thread::sleep(Duration::from_millis(30));
        let _ = near.shutdown(std::net::Shutdown::Both);
        let _ = up.join();
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

/// Returns whether a process listens at an address of this machine, without a connection to it.
fn is_listening(address: SocketAddr) -> bool {
    let sockets = LISTENING.lock().unwrap();
    sockets.contains(&address)
}

/// Addresses of the runners whose processes run.
static LISTENING: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());

// ---------------------------------------------------------------------------------------- Nodes

/// A node: the deploy file's program with the platform's settings file.
pub struct Node {
    pub ip: String,
    pub front: String,
    pub ready: String,
    child: Child,
    settings: PathBuf,
    root: PathBuf,
}

/// A loopback network of this run, so that the fixed metrics port of each node is free.
pub fn network() -> String {
    let pid = std::process::id();
    for offset in 0..200u32 {
        let n = pid.wrapping_add(offset * 7919);
        let prefix = format!("127.{}.{}", 20 + n % 200, 1 + n / 200 % 250);
        if TcpListener::bind((format!("{prefix}.11"), 9464)).is_ok() {
            return prefix;
        }
    }
    eprintln!("no free loopback network");
    std::process::exit(2);
}

fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).map_or(0, |it| it.port())
}

pub fn root() -> PathBuf {
    // Each script starts its program in the repository's root.
    std::env::current_dir().expect("a folder")
}

impl Node {
    pub fn start(number: usize, network: &str, store: &str, memory_mb: u32) -> Self {
        Self::start_in("zone-a", number, network, store, memory_mb)
    }

    pub fn start_in(zone: &str, number: usize, network: &str, store: &str, memory_mb: u32) -> Self {
        let ip = format!("{network}.{}", 11 + number);
        let ports: Vec<u16> = (0..4).map(|_| free_port(&ip)).collect();
        let (front, ready) = (format!("{ip}:{}", ports[0]), format!("{ip}:{}", ports[1]));
        let text = format!(
            "nodeName = \"edge-{zone}-{number}\"\nrole = \"front\"\nmachineClass = \"edge\"\n\
             serves = [\"edge\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region\"\n\
             portRange = [{peer},{peer}]\nseeds = []\nbootstrap = true\ninFailureBudget = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\
             \"engine\",\"tenants\",\"quota\",\"platform\"]\n\
             [zones]\nzone-a = \"region\"\nzone-b = \"region\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{ip}:{control}\"\n\
             [limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = {memory_mb}\nmaxFds = 8200\n\
             linkMbps = 1000.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n\
             catchUpS = 7.9\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\nmaxSkewMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\n\
             quotaWindowS = 5\nquotaOverrun = 0.1\nquotaSlack = 20\nrecoverS = 12\npassMs = 120\n\
             againS = 0\nfinishS = 10\nsettleMs = 1000\n\
             [provider]\naddress = \"{store}\"\nform = \"table\"\nwritesPerS = 800\n\
             readsPerS = 2000\ntxMs = 5.0\npartWritesS = 200\nrowBytes = 65536\nacross = false\n\
             historyS = 20\nblobBytes = 8388608\nblobMs = 25.0\nblobMbS = 80.0\n",
            peer = ports[2],
            control = ports[3],
        );
        let root = root();
        let folder = std::env::temp_dir().join(format!("dandelionfront-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = folder.join(format!("boot-{number}.toml"));
        fs::write(&settings, text).expect("the settings are written");
        let child = Self::spawn(&root, &settings);
        Self { ip, front, ready, child, settings, root }
    }

    fn spawn(root: &Path, settings: &Path) -> Child {
        let log = settings.with_extension("log");
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
        Command::new("target/release/dandelionfront")
            .arg("front")
            .current_dir(root)
            .env("DANDELIONFRONT_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("target/release/dandelionfront: {error}");
                std::process::exit(2);
            })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Starts the process again after its end, as the platform does.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        self.child = Self::spawn(&self.root, &self.settings);
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn is_ready(&self) -> bool {
        call(&self.ready, "GET", "/v1/ready", &[("Host", "x")], b"", Duration::from_secs(1)).status == 200
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    /// Returns the resident memory in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            let name = self.settings.with_extension("log");
            let _ = fs::copy(&name, Path::new(&folder).join(name.file_name().unwrap()));
        }
        let _ = fs::remove_file(self.settings.with_extension("log"));
        if let Some(folder) = self.settings.parent() {
            let _ = fs::remove_dir(folder);
        }
    }
}

/// Waits until `is_done`; returns `false` after `time_limit`.
pub fn wait_until(time_limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + time_limit;
    while Instant::now() < until {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Starts nodes and waits until all are ready and have been in touch for `contactMs`.
pub fn start_nodes(count: usize, network: &str, store: &str, memory_mb: u32, record: &Record) -> Vec<Node> {
    let nodes: Vec<Node> =
        (0..count).map(|number| Node::start(number, network, store, memory_mb)).collect();
    if !wait_until(Duration::from_secs(20), || nodes.iter().all(Node::is_ready)) {
        eprintln!("the nodes did not become ready");
        for node in &nodes {
            eprintln!("{}", node.log());
        }
        drop(nodes);
        std::process::exit(2);
    }
    thread::sleep(Duration::from_millis(3_500));
    record.line(format!("{count} nodes are ready and in touch"));
    nodes
}

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";

/// The operator's configuration, with a changed part of the text if `changes` are given.
pub fn config(version: u64, changes: &[(&str, &str)]) -> String {
    let mut text = String::from(
        "{\"version\":VERSION,\"routes\":[\
         {\"name\":\"r-kept\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/kept/\",\"kind\":\"stream\",\
          \"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":0,\"service\":\"counsel-models\",\
          \"maxAttempts\":2,\"retainContext\":true,\"retentionS\":60.0,\"public\":false,\"sticky\":true,\
          \"resumable\":false,\"gapAimMs\":300},\
         {\"name\":\"r-talk\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/talk/\",\"kind\":\"stream\",\
          \"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":1,\"service\":\"counsel-models\",\
          \"maxAttempts\":2,\"retainContext\":false,\"retentionS\":60.0,\"public\":false,\"sticky\":true,\
          \"resumable\":true,\"gapAimMs\":300},\
         {\"name\":\"r-ping\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/ping/\",\"kind\":\"safe\",\
          \"timeoutMs\":PINGTIME,\"targetLatencyMs\":120,\"priority\":2,\"service\":\"counter-app\",\
          \"maxAttempts\":PINGRUNS,\"public\":false,\"sticky\":false,\"resumable\":false},\
         {\"name\":\"r-hold\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/hold/\",\"kind\":\"unsafe\",\
          \"timeoutMs\":3000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"counter-app\",\
          \"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}],\
         \"services\":[{\"name\":\"counsel-models\",\"healthPath\":\"/health\",\"maxConnections\":160,\
          \"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,\"kvCapacity\":453391,\
          \"tokenKvBytes\":18432,\"linkMbps\":740000.0,\"moves\":true,\"backups\":true,\
          \"tokensPerEvent\":23,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\
          \"models\":[{\"name\":\"m\"}]}},\
          {\"name\":\"counter-app\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\
          \"tls\":false}],\
         \"limits\":{\"maxHeaderBytes\":HEADERBYTES,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
          \"idleTimeoutMs\":15000},\
         \"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"3fexd9dnn2ctnfzs989a\"],\"priority\":1,\
          \"ratePerS\":RATE,\"burst\":RATE}]}",
    );
    let version = version.to_string();
    for (name, value) in changes.iter().copied().chain([
        ("VERSION", version.as_str()),
        ("PINGTIME", "1200"),
        ("PINGRUNS", "2"),
        ("HEADERBYTES", "16384"),
        ("RATE", "175"),
    ]) {
        text = text.replace(name, value);
    }
    text
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
