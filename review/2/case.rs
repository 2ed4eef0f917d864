//! A request that crashes the runners that run it, sent to machines that are partitioned from all
//! runners.
#[path = "../standins/kit.rs"]
mod kit;

use kit::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RUNNERS: usize = 6;
/// Time from a crash of a runner to its next start.
const RESTART: Duration = Duration::from_secs(2);
/// Length of the partition.
const CUT: Duration = Duration::from_secs(10);
const CONTACT: Duration = Duration::from_millis(3_000);

struct Crash {
    request: String,
    at: Instant,
}

fn main() {
    let folder = Path::new(&std::env::args().nth(1).expect("the case's folder")).to_owned();
    let record = Record::new(&folder);
    let network = network();
    let (store, address) = Store::start("127.0.0.1", &record);
    let crashes: Arc<Mutex<Vec<Crash>>> = Arc::default();
    let noted = Arc::clone(&crashes);
    let behave: Behave = Arc::new(move |request, writer, runner| {
        let id = request.field("request-id").to_owned();
        if request.body == b"crash" {
            thread::sleep(Duration::from_millis(20));
            noted.lock().unwrap().push(Crash { request: id, at: Instant::now() });
            runner.crash();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        thread::sleep(Duration::from_millis(20));
        if !runner.is_running() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        answer(writer, &id, "200 OK", b"{\"stock\":3}")
    });
    let start = {
        let (store, record) = (Arc::clone(&store), record.clone());
        move |id: &str, address: &str| {
            Runner::start(id, "counter-app", "v1", address, &store, &record, Arc::clone(&behave))
        }
    };
    let runners: Vec<_> =
        (1..=RUNNERS).map(|number| start(&format!("i-app-{number}"), "127.0.0.1:0")).collect();
    // The machines of zone a reach the runners by links of their own.
    let links: Vec<_> = runners.iter().map(|runner| Link::start(runner.address)).collect();
    let ways = runners.iter().zip(&links);
    let ways = ways.map(|(runner, link)| (runner.address.to_string(), link.address.to_string()));
    let view = View(Arc::new(Mutex::new(ways.collect())));
    let store_of_a = store.listen("127.0.0.1", view);
    // Crashed runners start again, under their ids and at their addresses.
    let is_over = Arc::new(AtomicBool::new(false));
    let keeping = {
        let (is_over, record) = (Arc::clone(&is_over), record.clone());
        let mut runners = runners;
        thread::spawn(move || {
            let mut down_since: Vec<Option<Instant>> = vec![None; RUNNERS];
            while !is_over.load(Ordering::SeqCst) {
                for (runner, since) in runners.iter_mut().zip(&mut down_since) {
                    if runner.is_running() {
                        continue;
                    }
                    let since_crash = since.get_or_insert_with(Instant::now).elapsed();
                    if since_crash >= RESTART {
                        *runner = start(&runner.id.clone(), &runner.address.to_string());
                        *since = None;
                        record.line(format!("runner {} starts again", runner.id));
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        })
    };
    store.put("op", "config", Some(&config(7, &[])));
    let of_a: Vec<_> = (0..2).map(|number| Node::start(number, &network, &store_of_a, 300)).collect();
    let mut nodes = of_a;
    nodes.extend((2..4).map(|number| Node::start_in("zone-b", number, &network, &address, 300)));
    if !wait_until(Duration::from_secs(20), || nodes.iter().all(Node::is_ready)) {
        eprintln!("the nodes did not become ready");
        drop(nodes);
        std::process::exit(2);
    }
    thread::sleep(Duration::from_millis(3_500));
    // Sound requests of zone a, all the while.
    let fronts: Vec<String> = nodes.iter().map(|node| node.front.clone()).collect();
    let pings = {
        let (fronts, is_over) = (fronts.clone(), Arc::clone(&is_over));
        thread::spawn(move || {
            let (mut sent, mut served) = (0, 0);
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("ping-{sent}");
                let fields =
                    [("Host", HOST), ("Request-Id", &id), ("Deadline-Ms", "1200"), ("Key", KEY)];
                let time_limit = Duration::from_millis(1_200);
                let path = format!("/ping/{sent}");
                let reply = call(&fronts[sent % 2], "GET", &path, &fields, b"", time_limit);
                sent += 1;
                served += usize::from(reply.status == 200);
                thread::sleep(Duration::from_millis(60));
            }
            (sent, served)
        })
    };
    thread::sleep(Duration::from_millis(500));
    if has_trouble() {
        record.line("the machines of zone a are partitioned from all runners");
        links.iter().for_each(|link| link.cut());
    }
    let begun = Instant::now();
    thread::sleep(Duration::from_millis(1_000));
    let mut attempts: Vec<(String, Instant)> = Vec::new();
    while begun.elapsed() < CUT - Duration::from_millis(500) {
        let id = format!("deadly-{}", attempts.len());
        let front = &fronts[attempts.len() % 2];
        let fields = [("Host", HOST), ("Request-Id", &id), ("Deadline-Ms", "3000"), ("Key", KEY)];
        attempts.push((id.clone(), Instant::now()));
        let time_limit = Duration::from_secs(3);
        let reply = call(front, "POST", "/hold/2f", &fields, b"crash", time_limit);
        record.line(format!("client gets {id} at {front}: {} {}", reply.status, reply.text()));
        thread::sleep(Duration::from_millis(500));
    }
    links.iter().for_each(|link| link.heal());
    is_over.store(true, Ordering::SeqCst);
    let (sent, served) = pings.join().unwrap();
    keeping.join().unwrap();
    let crashes = crashes.lock().unwrap();
    let third = crashes.get(2).map(|crash| crash.at);
    let late = attempts.iter().filter(|(id, at)| {
        third.is_some_and(|third| *at > third + CONTACT)
            && crashes.iter().any(|crash| crash.request == *id)
    });
    let late = late.count();
    record.say(format!(
        "deadly request: {} attempts, {} crashes; attempts later than contactMs after the third \
         crash that reached a runner: {late}; sound requests {sent}, served {served}",
        attempts.len(),
        crashes.len(),
    ));
    drop(nodes);
    std::process::exit(i32::from(late > 3));
}
