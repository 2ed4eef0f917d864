//! Stored turns: chains across nodes, separation of teams, and store failures.

use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::rows::RowStoreError;
use dandelionfront_coordination::turns::{
    TextBytes, TurnError, TurnRecord, Turns, assemble_prompt, store_retry_delay,
};
use dandelionfront_standins::MemoryRows;
use dandelionfront_standins::rows::RowFaults;

fn record(chain: &[&str], input: &[u8], output: &[u8]) -> Rc<TurnRecord> {
    Rc::new(TurnRecord {
        team: "alpha".to_owned(),
        chain: chain.iter().map(|turn| (*turn).to_owned()).collect(),
        input: TextBytes(input.to_vec()),
        output: TextBytes(output.to_vec()),
        server: None,
    })
}

fn node(rows: &MemoryRows) -> Turns {
    Turns::new(Rc::new(rows.clone()), 1 << 20)
}

async fn store_three_turns(turns: &Turns) {
    turns.store("t1", record(&[], b"in1 ", b"out1\n")).await.expect("stored");
    turns.store("t2", record(&["t1"], b"in2 ", b"out2\n")).await.expect("stored");
    turns.store("t3", record(&["t1", "t2"], b"\xff\x00", b"out3\n")).await.expect("stored");
}

#[tokio::test(flavor = "current_thread")]
async fn a_node_with_an_empty_cache_assembles_the_whole_chain_in_order() {
    let rows = MemoryRows::default();
    store_three_turns(&node(&rows)).await;
    let chain = node(&rows).chain("alpha", "t3").await.expect("known");
    let prompt = assemble_prompt(&chain, b"new");
    assert_eq!(prompt, b"in1 out1\nin2 out2\n\xff\x00out3\nnew");
}

#[tokio::test(flavor = "current_thread")]
async fn two_turns_may_continue_from_the_same_one() {
    let rows = MemoryRows::default();
    let turns = node(&rows);
    store_three_turns(&turns).await;
    turns.store("t4", record(&["t1"], b"in4 ", b"out4\n")).await.expect("stored");
    let chain = node(&rows).chain("alpha", "t4").await.expect("known");
    assert_eq!(assemble_prompt(&chain, b"x"), b"in1 out1\nin4 out4\nx");
}

#[tokio::test(flavor = "current_thread")]
async fn missing_turns_and_turns_of_other_teams_are_reported_as_unknown() {
    let rows = MemoryRows::default();
    let turns = node(&rows);
    store_three_turns(&turns).await;
    for (team, turn) in [("beta", "t3"), ("alpha", "t9")] {
        let error = turns.chain(team, turn).await.expect_err("not this team's");
        assert!(matches!(error, TurnError::Unknown { .. }), "{error:?}");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_turn_that_cannot_be_read_in_an_outage_is_not_reported_as_unknown() {
    let rows = MemoryRows::default();
    store_three_turns(&node(&rows)).await;
    rows.set_faults(RowFaults { outage: true, ..RowFaults::default() });
    let error = node(&rows).chain("alpha", "t3").await.expect_err("unreadable");
    assert!(matches!(error, TurnError::Store { .. }), "{error:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn a_record_whose_answer_was_lost_can_be_written_again() {
    let rows = MemoryRows::default();
    let turns = node(&rows);
    rows.set_faults(RowFaults { lose_answers: 1, ..RowFaults::default() });
    let kept = record(&[], b"in", b"out");
    turns.store("t1", Rc::clone(&kept)).await.expect_err("the answer was lost");
    turns.store("t1", Rc::clone(&kept)).await.expect("the row holds the same record");
    turns.store("t1", record(&[], b"in", b"other")).await.expect_err("another record");
}

/// Guards against a turn that is refused because its caller sent it again and it ran at another
/// server.
#[tokio::test(flavor = "current_thread")]
async fn a_turn_that_ran_again_at_another_server_is_the_same_turn() {
    let rows = MemoryRows::default();
    let at = |server: Option<&str>, output: &[u8]| {
        let server = server.map(str::to_owned);
        Rc::new(TurnRecord { server, ..(*record(&["t0"], b"in", output)).clone() })
    };
    node(&rows).store("t1", at(Some("s1"), b"out")).await.expect("stored");
    for server in [Some("s1"), Some("s2"), None] {
        node(&rows).store("t1", at(server, b"out")).await.expect("the same turn");
        node(&rows).store("t1", at(server, b"other")).await.expect_err("another output");
    }
    node(&rows).store("t0", record(&[], b"in", b"out")).await.expect("stored");
    let chain = node(&rows).chain("alpha", "t1").await.expect("known");
    assert_eq!(chain[1].1.server.as_deref(), Some("s1"), "the first run was stored");
}

#[tokio::test(flavor = "current_thread")]
async fn turns_evicted_from_a_full_cache_are_read_from_the_store() {
    let rows = MemoryRows::default();
    let turns = Turns::new(Rc::new(rows.clone()), 700);
    store_three_turns(&turns).await;
    let chain = turns.chain("alpha", "t3").await.expect("read from the store");
    assert_eq!(chain.len(), 3);
}

/// Guards against an answer that is cut because its turn was given up hundreds of milliseconds
/// before the deadline, while the store refused single writes.
#[test]
fn turn_is_stored_for_the_last_time_just_before_its_deadline() {
    const ATTEMPT: Duration = Duration::from_millis(5);
    for deadline_ms in (100..4_000).step_by(37) {
        let deadline = Duration::from_millis(deadline_ms);
        let (mut now, mut attempts) = (ATTEMPT, 1);
        while let Some(delay) = store_retry_delay(attempts, deadline.saturating_sub(now)) {
            now += delay + ATTEMPT;
            attempts += 1;
        }
        assert!(now <= deadline, "{attempts} attempts until {now:?} of {deadline:?}");
        let unused = deadline.saturating_sub(now);
        assert!(unused <= Duration::from_millis(60), "{unused:?} of {deadline:?} unused");
        assert!(attempts <= 16, "{attempts} attempts in {deadline:?}");
    }
}

#[test]
fn bytes_that_json_escapes_are_stored_in_base64_and_read_back() {
    let contents = [
        (vec![0; 3_000], 4_000),
        (b"\"".repeat(3_000), 4_000),
        (vec![0xff; 3_000], 4_000),
        (b"x".repeat(3_000), 3_000),
        (b"line\n".repeat(600), 3_600),
        (Vec::new(), 0),
    ];
    for (bytes, stored_bytes) in contents {
        let row = serde_json::to_vec(&TextBytes(bytes.clone())).expect("a string");
        // With the prefix and two quotes.
        assert_eq!(row.len(), stored_bytes + 3);
        let read: TextBytes = serde_json::from_slice(&row).expect("a string");
        assert_eq!(read.0, bytes);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn turn_larger_than_a_row_is_not_sent_to_the_store() {
    let rows = MemoryRows::default();
    let turns = node(&rows).with_row_max(Some(1_000));
    let large = record(&[], &[b'x'; 990], b"out");
    let error = turns.store("t1", large).await.expect_err("too large");
    assert!(matches!(error, TurnError::TooLarge { max_bytes: 1_000, .. }), "{error:?}");
    assert!(!error.may_be_stored_later());
    assert_eq!(rows.write_count(), 0);
}

#[test]
fn turn_is_refused_before_it_runs_only_if_its_input_cannot_be_stored() {
    let turns = node(&MemoryRows::default()).with_row_max(Some(1_000));
    let chain = ["t1".to_owned()];
    turns.require_storable(&[], &[b'x'; 1_000]).expect("fits with a short output");
    turns.require_storable(&chain, &[b'x'; 1_000]).expect_err("the chain needs room too");
    turns.require_storable(&[], &[0; 800]).expect_err("its base64 is too large");
    turns.require_storable(&[], &[b'x'; 1_001]).expect_err("too large");
    node(&MemoryRows::default()).require_storable(&[], &[0; 5_000]).expect("no limit is known");
}

#[test]
fn only_what_the_store_rejects_for_good_is_not_sent_again() {
    let may_be_stored_later = |source| TurnError::Store { source }.may_be_stored_later();
    assert!(may_be_stored_later(RowStoreError::Refused { status: 429 }));
    let detail = String::new;
    assert!(may_be_stored_later(RowStoreError::Unreachable { detail: detail() }));
    assert!(may_be_stored_later(RowStoreError::AnswerLost { detail: detail() }));
    assert!(may_be_stored_later(RowStoreError::Malformed { detail: detail() }));
    assert!(!may_be_stored_later(RowStoreError::Rejected { status: 413, detail: detail() }));
    assert!(!TurnError::IdTaken { turn: "t1".to_owned() }.may_be_stored_later());
}
