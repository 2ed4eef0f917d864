//! Messages and rows of the production build, which nodes of this build must read and write.

use std::collections::BTreeSet;

use dandelionfront_coordination::room::{HeldTokens, RequestTokens, ServerTokens, SharedTokens};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::Message;
use super::protocol::ReportExtension;
use crate::front::process::quarantine::StoredEvidence;

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("digits"));
    digits.map(|pair| u8::from_str_radix(pair, 16).expect("digits")).collect()
}

/// Panics unless `encoded`, written by an earlier build, is read as `fields` and written again.
fn assert_frozen<T: Serialize + DeserializeOwned>(fields: &Value, encoded: &str) {
    let value: T = serde_json::from_value(fields.clone()).expect("the fields are known");
    let written = postcard::to_allocvec(&value).expect("encodes");
    assert_eq!(written, bytes(encoded), "earlier builds cannot read {fields}");
    let read: T = postcard::from_bytes(&bytes(encoded)).expect("an earlier build wrote it");
    assert_eq!(serde_json::to_value(&read).expect("encodes"), *fields);
}

/// Messages of the build 35d863f: their fields, and the bytes that its nodes send and read.
#[test]
fn messages_of_the_production_build_are_read_and_written() {
    let mut variants = BTreeSet::new();
    for line in include_str!("frozen_messages.txt").lines() {
        let (encoded, fields) = line.split_once(' ').expect("bytes and fields");
        assert_frozen::<Message>(&serde_json::from_str(fields).expect("JSON"), encoded);
        variants.insert(bytes(encoded)[0]);
    }
    assert!(variants.into_iter().eq(0..15), "each message of the build is listed");
}

/// Guards against a report that earlier builds cannot read because of what follows it.
#[test]
fn protocol_number_follows_a_report_that_earlier_builds_read() {
    let encoded = include_str!("frozen_messages.txt").split_once(' ').expect("a report").0;
    let report = bytes(encoded);
    let extended =
        postcard::to_extend(&ReportExtension { protocol: 300 }, report.clone()).expect("encodes");
    assert!(extended.starts_with(&report));
    // Earlier builds read a datagram in this way.
    assert!(matches!(postcard::from_bytes(&extended), Ok(Message::Report(_))));
    let (_, trailer) = postcard::take_from_bytes::<Message>(&extended).expect("a report");
    let extension: ReportExtension = postcard::from_bytes(trailer).expect("an extension");
    assert_eq!(extension.protocol, 300);
    // Later builds append further fields.
    let longer = [trailer, &[1, 2, 3]].concat();
    let extension: ReportExtension = postcard::from_bytes(&longer).expect("an extension");
    assert_eq!(extension.protocol, 300);
}

/// Guards against messages about loads that earlier builds cannot read because of the tokens that
/// follow them, and against tokens that cannot be extended.
#[test]
fn tokens_follow_messages_that_earlier_builds_read() {
    let shared = SharedTokens { part: 7, tokens: 800 };
    let request = RequestTokens { own: 490, shared: Some(shared) };
    let held = HeldTokens { own: 490, shared: vec![shared] };
    let tokens = ServerTokens { server: 44, started_unix_ms: 1_700_000_000_000, held };
    let load = Message::ServerLoad { server: 44, in_flight: 3, avoided_ms: 0 };
    let extended = |message: &Message, extension: &[u8]| {
        let encoded = postcard::to_allocvec(message).expect("encodes");
        [encoded.as_slice(), extension, &[1, 2, 3]].concat()
    };
    let encoded = postcard::to_allocvec(&tokens).expect("encodes");
    assert_eq!(encoded, bytes("2c80d095ffbc31ea030107a006"));
    let datagram = extended(&load, &encoded);
    assert!(matches!(postcard::from_bytes(&datagram), Ok(Message::ServerLoad { .. })));
    let (_, trailer) = postcard::take_from_bytes::<Message>(&datagram).expect("a load");
    assert_eq!(postcard::from_bytes::<ServerTokens>(trailer), Ok(tokens.clone()));
    let query = Message::LoadQuery { query: 5, servers: vec![44] };
    let encoded = postcard::to_allocvec(&request).expect("encodes");
    assert_eq!(encoded, bytes("ea030107a006"));
    let datagram = extended(&query, &encoded);
    assert!(matches!(postcard::from_bytes(&datagram), Ok(Message::LoadQuery { .. })));
    let (_, trailer) = postcard::take_from_bytes::<Message>(&datagram).expect("a query");
    assert_eq!(postcard::from_bytes::<RequestTokens>(trailer), Ok(request));
    let reply = Message::LoadReply { query: 5, loads: vec![(44, 2, 0)] };
    let datagram = extended(&reply, &postcard::to_allocvec(&vec![&tokens]).expect("encodes"));
    assert!(matches!(postcard::from_bytes(&datagram), Ok(Message::LoadReply { .. })));
    let (_, trailer) = postcard::take_from_bytes::<Message>(&datagram).expect("a reply");
    assert_eq!(postcard::from_bytes::<Vec<ServerTokens>>(trailer), Ok(vec![tokens]));
}

#[test]
fn rows_of_refused_requests_of_the_production_build_are_read_and_written() {
    let lost = json!({
        "server": 44, "request": { "exact": 55, "path": 66 }, "age_ms": 7, "sent_before_ms": 8,
    });
    let evidence = json!({ "written_unix_ms": 1_700_000_000_000_u64, "lost": [lost] });
    assert_frozen::<StoredEvidence>(&evidence, "80d095ffbc31012c37420708");
}
