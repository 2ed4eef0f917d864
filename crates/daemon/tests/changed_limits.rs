//! Limits of callers' connections that a configuration changes while a connection is open.

mod support;

use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;
use support::http::eventually;
use support::site::{ALPHA_KEY, HOST, Site, config};

/// Longest wait for the next bytes, well below a long limit.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// A limit that is reached within a test.
const SHORT_MS: u64 = 500;
/// A limit that is reached within a test, but not before the next configuration is in force.
const MIDDLE: Duration = Duration::from_secs(6);
/// A limit that is not reached within a test.
const LONG_MS: u64 = 600_000;

/// A caller's connection.
struct Caller {
    connection: TcpStream,
}

impl Caller {
    fn connect(site: &Site) -> Self {
        let connection = TcpStream::connect(&site.nodes[0].listen).expect("the node listens");
        connection.set_read_timeout(Some(READ_TIMEOUT)).expect("valid");
        Self { connection }
    }

    async fn write(&mut self, bytes: &str) {
        let (mut connection, bytes) =
            (self.connection.try_clone().expect("open"), bytes.to_owned());
        let written = ntex::rt::spawn_blocking(move || connection.write_all(bytes.as_bytes()));
        written.await.expect("no panic").expect("the connection is open");
    }

    /// Returns the status of the next answer, or `None` if the connection ends before.
    async fn status(&mut self) -> Option<u16> {
        let mut connection = self.connection.try_clone().expect("open");
        let read = ntex::rt::spawn_blocking(move || {
            let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
            loop {
                match connection.read(&mut buffer)? {
                    0 => break,
                    length => received.extend_from_slice(&buffer[..length]),
                }
                let text = String::from_utf8_lossy(&received);
                if let Some((head, body)) = text.split_once("\r\n\r\n") {
                    let head = head.to_ascii_lowercase();
                    let length =
                        head.lines().find_map(|line| line.strip_prefix("content-length: "));
                    if length.is_none_or(|length| length.parse() == Ok(body.len())) {
                        break;
                    }
                }
            }
            io::Result::Ok(String::from_utf8_lossy(&received).into_owned())
        });
        let answer = read.await.expect("no panic").expect("an answer or the end of the connection");
        answer.split(' ').nth(1).map(|status| status.parse().expect("a status"))
    }
}

/// Returns the head of a request whose fields end with `fields`.
fn head(id: &str, fields: &str) -> String {
    format!(
        "POST /plain/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\nkey: {ALPHA_KEY}\r\n\
         deadline-ms: 30000\r\n{fields}\r\n"
    )
}

/// Returns a request without a body and with a head of more than `padding` bytes.
fn request(id: &str, padding: usize) -> String {
    head(id, &format!("x-padding: {}\r\ncontent-length: 0\r\n", "x".repeat(padding)))
}

/// Publishes a configuration with other limits and waits until it is in force.
async fn change_limit(site: &Site, version: u64, limit: &str, value: u64) {
    let mut changed = config(version);
    changed["limits"][limit] = json!(value);
    site.publish(changed).await;
    let expected = format!("dandelionfront_config_version {version}\n");
    eventually("the configuration is in force", async || {
        site.metrics(0).await.contains(&expected).then_some(())
    })
    .await;
}

/// Starts a site with one limit and a connection that has served a request.
async fn start(limit: &str, value: u64) -> (Site, Caller) {
    let site = Site::start(1).await;
    change_limit(&site, 4, limit, value).await;
    let mut caller = Caller::connect(&site);
    caller.write(&request("first", 0)).await;
    assert_eq!(caller.status().await, Some(200));
    (site, caller)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("short")
}

/// Guards against an idle connection that keeps a longer idle time than the configuration allows.
#[ntex::test]
async fn idle_connection_is_closed_after_a_shortened_idle_time() {
    let (site, mut caller) = start("idleTimeoutMs", LONG_MS).await;
    change_limit(&site, 5, "idleTimeoutMs", SHORT_MS).await;
    assert_eq!(caller.status().await, None);
}

/// Guards against an idle connection that is closed under a caller who may still use it.
#[ntex::test]
async fn idle_connection_stays_open_for_a_lengthened_idle_time() {
    let (site, mut caller) = start("idleTimeoutMs", millis(MIDDLE)).await;
    change_limit(&site, 5, "idleTimeoutMs", LONG_MS).await;
    ntex::time::sleep(MIDDLE + Duration::from_secs(1)).await;
    caller.write(&request("second", 0)).await;
    assert_eq!(caller.status().await, Some(200));
}

/// Guards against a head that may take longer than the configuration allows.
#[ntex::test]
async fn head_is_refused_after_a_shortened_time() {
    let (site, mut caller) = start("headerTimeoutMs", LONG_MS).await;
    caller.write("POST /plain/x HTTP/1.1\r\n").await;
    change_limit(&site, 5, "headerTimeoutMs", SHORT_MS).await;
    assert_eq!(caller.status().await, Some(408));
}

/// Guards against a head that is refused although the configuration allows its time.
#[ntex::test]
async fn head_may_take_a_lengthened_time() {
    let (site, mut caller) = start("headerTimeoutMs", millis(MIDDLE)).await;
    let request = request("second", 0);
    let (begin, rest) = request.split_at(40);
    caller.write(begin).await;
    change_limit(&site, 5, "headerTimeoutMs", LONG_MS).await;
    ntex::time::sleep(MIDDLE + Duration::from_secs(1)).await;
    caller.write(rest).await;
    assert_eq!(caller.status().await, Some(200));
}

/// Guards against a kept connection that refuses heads which the configuration allows.
#[ntex::test]
async fn longer_head_is_served_on_a_connection_from_before_the_change() {
    let (site, mut caller) = start("maxHeaderBytes", 4_096).await;
    change_limit(&site, 5, "maxHeaderBytes", 16_384).await;
    caller.write(&request("second", 8_000)).await;
    assert_eq!(caller.status().await, Some(200));
}

/// Guards against a kept connection that serves heads which the configuration does not allow.
#[ntex::test]
async fn longer_head_is_refused_on_a_connection_from_before_the_change() {
    let (site, mut caller) = start("maxHeaderBytes", 16_384).await;
    change_limit(&site, 5, "maxHeaderBytes", 4_096).await;
    caller.write(&request("second", 8_000)).await;
    assert_eq!(caller.status().await, Some(431));
}

/// Sends a body of which the second half follows a change of the limit; returns the status.
async fn status_of_divided_body(before_bytes: u64, after_bytes: u64) -> Option<u16> {
    let (site, mut caller) = start("maxBodyBytes", before_bytes).await;
    caller.write(&head("second", "transfer-encoding: chunked\r\n")).await;
    let half = "x".repeat(3_000);
    let chunk = format!("{:x}\r\n{half}\r\n", half.len());
    caller.write(&chunk).await;
    change_limit(&site, 5, "maxBodyBytes", after_bytes).await;
    caller.write(&format!("{chunk}0\r\n\r\n")).await;
    caller.status().await
}

/// Guards against a body that is refused although the configuration allows it by the time at which it
/// is complete.
#[ntex::test]
async fn body_may_have_a_lengthened_size() {
    assert_eq!(status_of_divided_body(4_000, 8_000).await, Some(200));
}

/// Guards against a body that is longer than the configuration allows.
#[ntex::test]
async fn body_is_refused_above_a_shortened_size() {
    assert_eq!(status_of_divided_body(8_000, 4_000).await, Some(413));
}
