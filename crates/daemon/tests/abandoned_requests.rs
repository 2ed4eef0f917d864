//! Tokens of a team's limit whose requests end without an answer: their callers leave, or no backend
//! server runs them.

mod support;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use dandelionfront_standins::site::{Runner, RunnerSettings};
use serde_json::json;
use support::http::eventually;
use support::site::{Call, HOST, Site, SiteRunner};

/// Key of a team with a rate of one request in 100 seconds and a burst of [`BURST`] requests.
const LIMITED_KEY: &str = "key-of-limited";
const BURST: usize = 10;
/// Time that the server takes for each answer; longer than any caller waits.
const ANSWER_DELAY: Duration = Duration::from_secs(60);
/// Interval between checks of whether a request has reached the server.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts a node before a single server, which takes `delay` for each answer.
async fn start_site(delay: Duration) -> (Site, SiteRunner) {
    let mut site = Site::start(1).await;
    let limited =
        json!({ "name": "limited", "apiKeys": [LIMITED_KEY], "ratePerS": 0.01, "burst": BURST });
    site.config["tenants"].as_array_mut().expect("a list").push(limited);
    site.config["version"] = json!(4);
    site.publish(site.config.clone()).await;
    let settings = RunnerSettings {
        id: "scripted-0".to_owned(),
        event_count: 1,
        delay_ms: u32::try_from(delay.as_millis()).expect("short"),
    };
    let listen = "127.0.0.1:0".parse().expect("valid");
    let address = Runner::spawn(listen, settings).expect("starts");
    site.replace_servers("desk", &[address]).await;
    eventually("the node has the new configuration", async || {
        site.metrics(0).await.contains("dandelionfront_config_version 4\n").then_some(())
    })
    .await;
    let server = SiteRunner { id: "scripted-0".to_owned(), address: address.to_string() };
    (site, server)
}

/// Sends a request and leaves once the server has it; returns `false` if the node refused it.
async fn abandon(site: &Site, server: &SiteRunner, path: &str, number: usize) -> bool {
    let ran_before = ran(site, server).await;
    let mut connection = TcpStream::connect(&site.nodes[0].listen).expect("the node listens");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: left-{number}\r\nkey: {LIMITED_KEY}\r\n\
         deadline-ms: 4000\r\ncontent-length: 0\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).expect("the node reads");
    connection.set_nonblocking(true).expect("valid");
    loop {
        if ran(site, server).await > ran_before {
            break;
        }
        let mut answer = [0; 1024];
        if let Ok(length) = connection.read(&mut answer) {
            let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
            assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
            return false;
        }
        ntex::time::sleep(POLL_INTERVAL).await;
    }
    drop(connection);
    let gone = format!("dandelionfront_callers_gone_total {}\n", ran_before + 1);
    eventually("the node has noticed that the caller left", async || {
        site.metrics(0).await.contains(&gone).then_some(())
    })
    .await;
    true
}

async fn ran(site: &Site, server: &SiteRunner) -> usize {
    let record = site.http.get_json(&server.address, "/standin/record").await;
    record.as_array().expect("a list").len()
}

/// Sends twice as many requests as the team's burst, whose callers leave; returns how many ran.
async fn run_abandoned(path: &str) -> usize {
    let (site, server) = start_site(ANSWER_DELAY).await;
    for number in 0..2 * BURST {
        abandon(&site, &server, path, number).await;
    }
    ran(&site, &server).await
}

/// Guards against a team that gets more than its limit, because the tokens of requests that a server
/// ran are refunded when their callers leave before the answer.
#[ntex::test]
async fn requests_whose_callers_leave_before_the_answer_count_toward_the_limit() {
    for path in ["/plain/x", "/lookup/x"] {
        let ran = run_abandoned(path).await;
        assert!(ran <= BURST, "{ran} requests to {path} ran, {BURST} allowed");
    }
}

/// Guards against a team that is refused within its limit, because requests that no server ran count.
#[ntex::test]
async fn requests_that_no_server_ran_do_not_count_toward_the_limit() {
    let (site, server) = start_site(Duration::ZERO).await;
    let headers = [("deadline-ms", "300")];
    let send = async |id: String| {
        let call = Call { id: &id, key: LIMITED_KEY, headers: &headers, ..Call::default() };
        site.send(0, &call).await.expect("the node answers")
    };
    site.set_faults(&server.address, &json!({ "refuse": u32::MAX })).await;
    for number in 0..2 * BURST {
        let reply = send(format!("refused-{number}")).await;
        assert_eq!((reply.status, reply.run().as_str()), (503, "not_run"), "{}", reply.body);
    }
    site.set_faults(&server.address, &json!({ "refuse": 0 })).await;
    // The bucket of a new node is half full.
    for number in 0..BURST / 2 {
        let reply = send(format!("taken-{number}")).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
}
