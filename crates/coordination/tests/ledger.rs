//! Token budgets of programs over several nodes and failures of the store.

use std::rc::Rc;
use std::time::Duration;

use dandelionfront_coordination::ledger::{FlushTimes, Ledgers, ReserveError};
use dandelionfront_standins::rows::RowFaults;
use dandelionfront_standins::{MemoryRows, StepClock};

const MOST: u64 = 100;
const AT_ONCE: FlushTimes = FlushTimes {
    release: Duration::ZERO,
    release_tight: Duration::ZERO,
    forget: Duration::from_secs(60),
};

fn node(rows: &MemoryRows, name: &str) -> Ledgers {
    Ledgers::new(Rc::new(rows.clone()), Rc::new(StepClock::default()), name.to_owned())
}

#[tokio::test(flavor = "current_thread")]
async fn turns_over_many_nodes_never_exceed_the_budget() {
    let rows = MemoryRows::default();
    let nodes: Vec<Ledgers> = (0..5).map(|index| node(&rows, &format!("n{index}"))).collect();
    let (budget, mut delivered) = (1_000, 0);
    let mut refused = 0;
    for turn in 0..40 {
        let node = &nodes[turn % nodes.len()];
        match node.reserve("p", MOST, budget).await {
            Ok(_) => {
                delivered += 60;
                node.settle("p", MOST, 60).await;
            }
            Err(ReserveError::BudgetSpent { .. }) => refused += 1,
            Err(error) => panic!("{error}"),
        }
    }
    assert!(delivered <= budget, "{delivered} tokens of {budget}");
    // The last turn starts while its most tokens still fit.
    assert!(delivered > budget - 2 * MOST, "only {delivered} tokens of {budget}");
    assert!(refused > 0);
}

#[tokio::test(flavor = "current_thread")]
async fn parallel_turns_reserve_their_most_tokens() {
    let rows = MemoryRows::default();
    let (first, second) = (node(&rows, "a"), node(&rows, "b"));
    first.reserve("p", MOST, 250).await.expect("fits");
    second.reserve("p", MOST, 250).await.expect("fits");
    let refused = first.reserve("p", MOST, 250).await;
    assert!(matches!(refused, Err(ReserveError::BudgetSpent { .. })), "{refused:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn unused_tokens_of_another_node_count_again_before_a_refusal() {
    let rows = MemoryRows::default();
    let (first, second) = (node(&rows, "a"), node(&rows, "b"));
    assert!(first.reserve("p", MOST, 250).await.expect("fits"), "the first turn of the program");
    first.settle("p", MOST, 30).await;
    // The second node saw neither the claim nor its settlement.
    assert!(!second.reserve("p", MOST, 250).await.expect("fits"));
    second.settle("p", MOST, 30).await;
    first.reserve("p", MOST, 250).await.expect("60 tokens were delivered, 100 more fit");
}

#[tokio::test(flavor = "current_thread")]
async fn lost_answers_neither_count_twice_nor_lose_a_claim() {
    let rows = MemoryRows::default();
    let ledgers = node(&rows, "a");
    rows.set_faults(RowFaults { lose_answers: 1, ..RowFaults::default() });
    ledgers.reserve("p", MOST, 300).await.expect("the row shows that the write took effect");
    rows.set_faults(RowFaults { lose_writes: 1, ..RowFaults::default() });
    ledgers
        .reserve("p", MOST, 300)
        .await
        .expect("the row shows that it did not, so it is repeated");
    ledgers.reserve("p", MOST, 300).await.expect("fits");
    let refused = ledgers.reserve("p", MOST, 300).await;
    assert!(matches!(refused, Err(ReserveError::BudgetSpent { .. })), "{refused:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn an_ample_budget_serves_turns_without_a_write_and_through_an_outage() {
    let rows = MemoryRows::default();
    let ledgers = node(&rows, "a");
    ledgers.reserve("p", MOST, 5_000).await.expect("fits");
    assert_eq!(rows.write_count(), 1);
    rows.set_faults(RowFaults { outage: true, ..RowFaults::default() });
    ledgers.reserve("p", MOST, 5_000).await.expect("claimed ahead");
    ledgers.reserve("p", MOST, 5_000).await.expect("claimed ahead");
    let refused = ledgers.reserve("p", MOST, 5_000).await;
    assert!(matches!(refused, Err(ReserveError::Store { .. })), "{refused:?}");
    assert_eq!(rows.write_count(), 1);
}

#[tokio::test(flavor = "current_thread")]
async fn a_killed_node_leaves_its_claim_and_no_more() {
    let rows = MemoryRows::default();
    let killed = node(&rows, "a");
    killed.reserve("p", MOST, 300).await.expect("fits");
    drop(killed);
    let next = node(&rows, "b");
    next.reserve("p", MOST, 300).await.expect("fits beside the claim");
    next.settle("p", MOST, 100).await;
    next.reserve("p", MOST, 300).await.expect("fits beside the claim");
    next.settle("p", MOST, 100).await;
    let refused = next.reserve("p", MOST, 300).await;
    assert!(matches!(refused, Err(ReserveError::BudgetSpent { .. })), "{refused:?}");
}

#[tokio::test(flavor = "current_thread")]
async fn flushing_gives_unused_claims_back() {
    let rows = MemoryRows::default();
    let (first, second) = (node(&rows, "a"), node(&rows, "b"));
    first.reserve("p", MOST, 1_200).await.expect("fits, with two turns ahead");
    first.settle("p", MOST, 10).await;
    assert_eq!(first.flush(AT_ONCE).await, 1);
    for _ in 0..11 {
        second.reserve("p", MOST, 1_200).await.expect("1190 tokens are free");
    }
}
