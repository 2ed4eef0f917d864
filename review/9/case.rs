//! Case 9: two of three machines of a zone are stopped one after the other. A node that is stopping takes streams a
//! little over 3 s after its SIGTERM that last longer than the rest of its grace, and cuts them when its
//! process ends.

#[path = "../standins-2/kit.rs"]
mod kit;

use std::io::{BufReader, Write as _};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

/// Machines of the zone, of which the first two are stopped one after the other, and the pause between.
const NODES: usize = 3;
const STOPPED: usize = 2;
const GAP_MS: u64 = 1_000;
/// A client sends its stream each time that this has passed, on a new connection through the entry.
const SEND_GAP_MS: u64 = 40;
/// Time after SIGTERM from which a request is not excused any more.
const EXCUSED_MS: u128 = 3_000;
/// Events of a stream and the pause between two: a stream takes 4.5 s.
const EVENTS: u64 = 30;
const EVENT_PAUSE_MS: u64 = 150;
/// The route's `timeoutMs` and the client's deadline.
const TIMEOUT_MS: u64 = 6_000;
const GRACE_MS: u64 = 8_000;

fn main() {
    if let Some(args) = runner_args() {
        serve_runner(&args, |head, _, writer| {
            let id = head.field("request-id");
            let begin = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s.{id}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            writer.write_all(begin.as_bytes())?;
            for event in 1..=EVENTS {
                let text = format!("id: {event}\ndata: token {event}\n\n");
                writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                sleep_ms(EVENT_PAUSE_MS);
            }
            writer.write_all(b"0\r\n\r\n")?;
            Ok(true)
        });
    }
    open_record();
    let place = Place::new().expect("a temporary folder and a port");
    place.store.put("op", "config", Some(&format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"talk\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/talk/\",\
         \"kind\":\"stream\",\"sticky\":true,\"gapAimMs\":300,\"timeoutMs\":{TIMEOUT_MS},\
         \"targetLatencyMs\":250,\"priority\":1,\"service\":\"geo\",\"maxAttempts\":2}}],\
         \"services\":[{{\"name\":\"geo\",\"slots\":12,\"maxConnections\":160,\"healthPath\":\"/health\",\
         \"engine\":{{\"slots\":12,\"kvCapacity\":453391,\"tokensPerEvent\":4}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"alpha\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )));
    let runners: Vec<Runner> = (0..3)
        .map(|number| Runner::start(&place, number, "geo", "1.0", 12, "").expect("a runner starts"))
        .collect();
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|number| Node::start(&place, number, Settings { memory_mb: 300 }).expect("a node starts"))
        .collect();
    let is_up = runners.iter().all(Runner::wait) && wait_for(20_000, || nodes.iter().all(Node::is_ready));
    if !is_up {
        drop((runners, nodes));
        finish(place, NOT_RUN, "a node or a runner did not start");
    }
    let entry = Arc::new(Entry {
        fronts: nodes.iter().map(|node| node.front.clone()).collect(),
        misses: Mutex::new(vec![0; NODES]),
    });
    for (number, node) in nodes.iter().enumerate() {
        let (entry, ready) = (Arc::clone(&entry), node.ready.clone());
        thread::spawn(move || entry.check(number, &ready));
    }
    sleep_ms(2_500);
    let began = Instant::now();
    // Times of SIGTERM, from `began`.
    let stopped: Arc<Mutex<Vec<Option<u128>>>> = Arc::new(Mutex::new(vec![None; NODES]));
    let is_over = Arc::new(Mutex::new(false));
    let sending = {
        let (entry, is_over) = (Arc::clone(&entry), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut clients = Vec::new();
            while !*is_over.lock().unwrap() {
                let number = clients.len();
                let entry = Arc::clone(&entry);
                clients.push(thread::spawn(move || stream(&entry, number, began)));
                sleep_ms(SEND_GAP_MS);
            }
            clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect::<Vec<Sent>>()
        })
    };
    let mut ended = [false; NODES];
    while began.elapsed() < Duration::from_millis(STOPPED as u64 * GAP_MS + GRACE_MS) {
        for number in 0..STOPPED {
            let due = u128::from(number as u64 * GAP_MS);
            let is_due = began.elapsed().as_millis() >= due && stopped.lock().unwrap()[number].is_none();
            if is_due && has_trouble() {
                nodes[number].process.signal(15);
                stopped.lock().unwrap()[number] = Some(began.elapsed().as_millis());
                record(format!("SIGTERM to {}", nodes[number].process.name));
            }
            // A process that has ended is started again.
            if stopped.lock().unwrap()[number].is_some() && !ended[number] && nodes[number].process.has_ended() {
                ended[number] = true;
                record(format!("{} has ended, and is started again", nodes[number].process.name));
                nodes[number].restart().expect("the node starts");
            }
        }
        if began.elapsed() > Duration::from_millis((STOPPED as u64 - 1) * GAP_MS + 3_300) {
            *is_over.lock().unwrap() = true;
        }
        sleep_ms(5);
    }
    *is_over.lock().unwrap() = true;
    let sent = sending.join().unwrap_or_default();
    let stopped = stopped.lock().unwrap().clone();
    let (mut whole, mut cut, mut excused, mut late) = (0, 0, 0, 0);
    for stream in &sent {
        let since = stopped[stream.node].and_then(|at| stream.sent_ms.checked_sub(at));
        let is_cut = stream.status == 200 && !stream.is_whole && stream.taken < Duration::from_millis(TIMEOUT_MS);
        let is_late = since.is_some_and(|since| since > EXCUSED_MS && since < u128::from(GRACE_MS));
        late += usize::from(is_late && stream.status == 200);
        whole += usize::from(stream.status == 200 && stream.is_whole);
        cut += usize::from(is_cut && is_late);
        excused += usize::from(is_cut && !is_late);
        record(format!(
            "{}: sent to machine {}, {since:?} ms after its SIGTERM: status {}, {} of {EVENTS} events, {} after {} ms",
            stream.id,
            stream.node,
            stream.status,
            stream.events,
            if stream.is_whole { "whole" } else { "not whole" },
            stream.taken.as_millis(),
        ));
    }
    record_runs(&runners);
    drop((runners, nodes));
    let counts = format!(
        "of {} streams through the entry, {late} were taken later than 3 s after SIGTERM of their node, {cut} of \
         them cut before their deadline; {excused} others were cut, which the rule excuses; {whole} were whole",
        sent.len()
    );
    if cut > 0 {
        finish(place, BROKEN, &format!("LOST: {counts}"));
    }
    if !has_trouble() && whole < sent.len() {
        finish(place, NOT_RUN, &counts);
    }
    finish(place, HELD, &counts);
}

/// The platform's entry for the zone: it asks each machine once a second, and sends no new connections to
/// one with two misses, unless fewer than half of the machines are left.
struct Entry {
    fronts: Vec<String>,
    misses: Mutex<Vec<u32>>,
}

impl Entry {
    fn check(&self, number: usize, ready: &str) {
        loop {
            let is_ready = is_ready(ready);
            let mut misses = self.misses.lock().unwrap();
            misses[number] = if is_ready { 0 } else { misses[number] + 1 };
            drop(misses);
            sleep_ms(1_000);
        }
    }

    /// Returns the machine for the client of this number.
    fn choose(&self, client: usize) -> usize {
        let misses = self.misses.lock().unwrap();
        let mut usable: Vec<usize> = (0..misses.len()).filter(|node| misses[*node] < 2).collect();
        if usable.len() * 2 < misses.len() {
            usable = (0..misses.len()).collect();
        }
        // Stands for the hash of the client.
        usable[client.wrapping_mul(7_919) % usable.len()]
    }
}

/// A stream that was sent.
struct Sent {
    id: String,
    node: usize,
    sent_ms: u128,
    taken: Duration,
    status: u16,
    events: usize,
    is_whole: bool,
}

fn stream(entry: &Entry, number: usize, began: Instant) -> Option<Sent> {
    let node = entry.choose(number);
    let id = format!("c9{number:06}");
    let fields = [("Model", "m"), ("Token-Usage", "14280,120")];
    let sent = request("POST", "/talk/a", &id, TIMEOUT_MS, &fields, b"question");
    let mut connection = connect(&entry.fronts[node]).ok()?;
    let (sent_at, sent_ms) = (Instant::now(), began.elapsed().as_millis());
    connection.write_all(&sent).ok()?;
    let answer = read_answer(&mut BufReader::new(connection));
    let events = String::from_utf8_lossy(&answer.body).matches("data: ").count();
    let (taken, status, is_whole) = (sent_at.elapsed(), answer.status, answer.is_whole);
    Some(Sent { id, node, sent_ms, taken, status, events, is_whole })
}
