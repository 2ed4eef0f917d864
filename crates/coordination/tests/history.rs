//! Finished turns that a program's history node keeps for the others, and what is lost of them.

use std::cell::Cell;
use std::rc::Rc;

use async_trait::async_trait;
use dandelionfront_coordination::history::{
    HistoryNode, HistoryReads, HistoryRoom, Recall, Recalled, SHARED_MAX_BYTES, SharedTurn,
    UnlimitedRoom, answer_query,
};
use dandelionfront_coordination::load::budget_keeper_of;
use dandelionfront_coordination::turns::{TextBytes, TurnError, TurnRecord, Turns};
use dandelionfront_standins::MemoryRows;
use dandelionfront_standins::rows::RowFaults;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// Memory for the turns of a node.
const CACHE_MAX_BYTES: usize = 1 << 22;
/// Number of queries for the same turns.
const QUERIES_MAX: usize = 2;

fn record(chain: &[String], input_bytes: usize) -> Rc<TurnRecord> {
    Rc::new(TurnRecord {
        team: "alpha".to_owned(),
        chain: chain.to_vec(),
        input: TextBytes(vec![b'x'; input_bytes]),
        output: TextBytes(b"out\n".to_vec()),
        server: None,
    })
}

fn node(rows: &MemoryRows) -> Turns {
    Turns::new(Rc::new(rows.clone()), CACHE_MAX_BYTES)
}

/// A history node behind a network that loses part of the datagrams.
struct Network<'a> {
    turns: &'a Turns,
    lost_share: f64,
    rng: std::cell::RefCell<StdRng>,
    messages: Cell<usize>,
}

impl<'a> Network<'a> {
    fn new(turns: &'a Turns, lost_share: f64, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed).into();
        Self { turns, lost_share, rng, messages: Cell::default() }
    }

    fn arrives(&self) -> bool {
        self.messages.set(self.messages.get() + 1);
        !self.rng.borrow_mut().random_bool(self.lost_share)
    }
}

#[async_trait(?Send)]
impl HistoryNode for Network<'_> {
    async fn recall(&self, team: &str, turns: &[String]) -> Recalled {
        let mut recall = Recall::new(team, turns);
        for _ in 0..QUERIES_MAX {
            let missing = recall.missing();
            if missing.is_empty() || !self.arrives() {
                continue;
            }
            for part in answer_query(self.turns, team, &missing) {
                if self.arrives() {
                    recall.apply(part);
                }
            }
        }
        recall.finish()
    }

    fn pass_on(&self, turn: &str, record: &TurnRecord) {
        let Some(shared) = SharedTurn::new(turn, record) else { return };
        if self.arrives() {
            let (turn, record) = shared.into_record();
            self.turns.insert_cached(&turn, record);
        }
    }
}

/// Programs of turns that each reach any of the nodes.
struct Play {
    rows: MemoryRows,
    nodes: Vec<Turns>,
    rng: StdRng,
    lost_share: f64,
    shares: bool,
    reads: HistoryReads,
}

impl Play {
    fn new(nodes: usize, seed: u64) -> Self {
        let rows = MemoryRows::default();
        let nodes = (0..nodes).map(|_| node(&rows)).collect();
        let (rng, reads) = (StdRng::seed_from_u64(seed), HistoryReads::default());
        Self { rows, nodes, rng, lost_share: 0.0, shares: true, reads }
    }

    async fn run_program(&mut self, program: &str, turns: usize) {
        let ids: Vec<String> = (0..self.nodes.len()).map(|node| format!("10.0.0.{node}")).collect();
        let keeper = budget_keeper_of(program, ids.iter().map(String::as_str)).expect("a node");
        let keeper = ids.iter().position(|id| id == keeper).expect("one of them");
        let mut chain: Vec<String> = Vec::new();
        for turn in 0..turns {
            let index = self.rng.random_range(0..self.nodes.len());
            let network = Network::new(&self.nodes[keeper], self.lost_share, self.rng.random());
            let history_node = (self.shares && index != keeper).then_some(&network);
            let history_node = history_node.map(|network| network as &dyn HistoryNode);
            if let Some(previous) = chain.last() {
                let read = self.nodes[index].chain_from(
                    "alpha",
                    previous,
                    history_node,
                    &UnlimitedRoom,
                    &mut self.reads,
                );
                let read: Vec<String> =
                    read.await.expect("read").into_iter().map(|(id, _)| id).collect();
                assert_eq!(read, chain, "{program} turn {turn}");
            }
            let (id, record) = (format!("{program}-{turn}"), record(&chain, 1_000));
            self.nodes[index].store(&id, Rc::clone(&record)).await.expect("stored");
            if let Some(history_node) = history_node {
                history_node.pass_on(&id, &record);
            }
            chain.push(id);
        }
    }
}

/// Load: reads of the store for 40 programs of 9 turns that each reach any of the nodes.
async fn reads_of_moving_programs(nodes: usize, lost_share: f64, shares: bool) -> HistoryReads {
    let mut play = Play { lost_share, shares, ..Play::new(nodes, 7) };
    for program in 0..40 {
        play.run_program(&format!("p{program}"), 9).await;
    }
    assert_eq!(play.rows.read_count(), play.reads.store as u64);
    println!("nodes={nodes} lost={lost_share} shares={shares} {:?}", play.reads);
    play.reads
}

/// Guards against reads of the store that grow with the square of a program's turns.
#[tokio::test(flavor = "current_thread")]
async fn program_over_many_nodes_reads_its_history_from_memory() {
    for nodes in [11, 75, 195] {
        let before = reads_of_moving_programs(nodes, 0.0, false).await;
        let after = reads_of_moving_programs(nodes, 0.0, true).await;
        assert!(before.store > 40 * 9, "{before:?}");
        assert_eq!(after.store, 0, "{after:?}");
        assert!(after.node > 0);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn lost_datagrams_cost_reads_and_no_turns() {
    let before = reads_of_moving_programs(75, 0.0, false).await;
    let after = reads_of_moving_programs(75, 0.1, true).await;
    assert!(after.store * 4 < before.store, "{after:?}");
    let all_lost = reads_of_moving_programs(75, 1.0, true).await;
    assert_eq!(all_lost, before);
}

/// Guards against a history node that replaces a killed one and never learns the turns before.
#[tokio::test(flavor = "current_thread")]
async fn turns_read_from_the_store_are_passed_on_to_a_node_that_lacks_them() {
    let rows = MemoryRows::default();
    let (first, emptied) = (node(&rows), node(&rows));
    let mut chain = Vec::new();
    for turn in 0..5 {
        let id = format!("t{turn}");
        first.store(&id, record(&chain, 10)).await.expect("stored");
        chain.push(id);
    }
    let network = Network::new(&emptied, 0.0, 1);
    for expected in [
        HistoryReads { store: 5, ..Default::default() },
        HistoryReads { node: 5, ..Default::default() },
    ] {
        let mut reads = HistoryReads::default();
        node(&rows)
            .chain_from("alpha", "t4", Some(&network), &UnlimitedRoom, &mut reads)
            .await
            .expect("read");
        assert_eq!(reads, expected);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn history_in_memory_is_read_while_the_store_is_away_and_the_rest_is_not_unknown() {
    let rows = MemoryRows::default();
    let keeper = node(&rows);
    keeper.store("t1", record(&[], 10)).await.expect("stored");
    keeper.store("t2", record(&["t1".to_owned()], 10)).await.expect("stored");
    let other = node(&rows);
    other.store("t3", record(&["t1".to_owned()], 10)).await.expect("stored");
    rows.set_faults(RowFaults { outage: true, ..RowFaults::default() });
    let network = Network::new(&keeper, 0.0, 1);
    let mut reads = HistoryReads::default();
    let asking = node(&rows);
    let chain = asking.chain_from("alpha", "t2", Some(&network), &UnlimitedRoom, &mut reads).await;
    assert_eq!((chain.expect("in memory").len(), reads.node), (2, 2));
    let error = asking.chain_from("alpha", "t3", Some(&network), &UnlimitedRoom, &mut reads).await;
    assert!(matches!(error, Err(TurnError::Store { .. })), "{error:?}");
}

/// Guards against the turns of a team in the answer to another one, and against a history node
/// whose word decides that a turn does not exist.
#[tokio::test(flavor = "current_thread")]
async fn turns_of_other_teams_are_absent_and_the_store_decides() {
    let rows = MemoryRows::default();
    let keeper = node(&rows);
    keeper.store("t1", record(&[], 10)).await.expect("stored");
    let wanted = ["t1".to_owned(), "t9".to_owned()];
    let answer = answer_query(&keeper, "beta", &wanted);
    assert!(answer.iter().all(|part| part.turns.is_empty()), "{answer:?}");
    let mut recall = Recall::new("beta", &wanted);
    for part in answer_query(&keeper, "alpha", &wanted) {
        recall.apply(part);
    }
    assert!(recall.finish().found.is_empty(), "a turn of another team is taken");

    let network = Network::new(&keeper, 0.0, 1);
    let mut reads = HistoryReads::default();
    for (team, turn) in [("beta", "t1"), ("alpha", "t9")] {
        let error =
            node(&rows).chain_from(team, turn, Some(&network), &UnlimitedRoom, &mut reads).await;
        assert!(matches!(error, Err(TurnError::Unknown { .. })), "{error:?}");
    }
    node(&rows).store("t9", record(&[], 10)).await.expect("stored");
    let chain =
        node(&rows).chain_from("alpha", "t9", Some(&network), &UnlimitedRoom, &mut reads).await;
    assert_eq!(chain.expect("in the store").len(), 1);
}

/// Returns the reads of a chain whose turns, with inputs of the given sizes, were passed on to a
/// history node with a cache of `cache_max_bytes`.
async fn reads_after_passing_on(cache_max_bytes: usize, inputs: &[usize]) -> HistoryReads {
    let rows = MemoryRows::default();
    let keeper = Turns::new(Rc::new(rows.clone()), cache_max_bytes);
    let (first, network) = (node(&rows), Network::new(&keeper, 0.0, 1));
    let mut chain = Vec::new();
    for (turn, input_bytes) in inputs.iter().enumerate() {
        let (id, record) = (format!("t{turn}"), record(&chain, *input_bytes));
        first.store(&id, Rc::clone(&record)).await.expect("stored");
        network.pass_on(&id, &record);
        chain.push(id);
    }
    let mut reads = HistoryReads::default();
    let last = chain.last().expect("turns");
    let read =
        node(&rows).chain_from("alpha", last, Some(&network), &UnlimitedRoom, &mut reads).await;
    assert_eq!(read.expect("read").len(), inputs.len());
    reads
}

#[tokio::test(flavor = "current_thread")]
async fn evicted_turns_are_read_from_the_store() {
    let reads = reads_after_passing_on(5_000, &[1_000; 6]).await;
    assert_eq!(reads, HistoryReads { own: 0, node: 3, store: 3 });
}

#[tokio::test(flavor = "current_thread")]
async fn turns_too_large_for_a_message_are_read_from_the_store() {
    let reads = reads_after_passing_on(CACHE_MAX_BYTES, &[SHARED_MAX_BYTES, 10, 10]).await;
    assert_eq!(reads, HistoryReads { own: 0, node: 2, store: 1 });
}

/// Guards against a turn that is answered, or passed on, although the store did not accept it: the
/// caller repeats it at another node, and its row then differs.
#[tokio::test(flavor = "current_thread")]
async fn turn_that_the_store_did_not_accept_is_not_kept_in_memory() {
    let rows = MemoryRows::default();
    let (first, second) = (node(&rows), node(&rows));
    rows.set_faults(RowFaults { refuse_writes: 1, ..RowFaults::default() });
    first.store("t1", record(&[], 10)).await.expect_err("refused");
    assert!(first.cached("t1").is_none());
    second.store("t1", record(&[], 20)).await.expect("stored");
    let chain = first.chain("alpha", "t1").await.expect("in the store");
    assert_eq!(chain[0].1.input.0.len(), 20);
}

/// Room for a number of bytes.
struct Room(Cell<usize>);

impl HistoryRoom for Room {
    fn hold(&self, bytes: usize) -> bool {
        let left = self.0.get().checked_sub(bytes);
        self.0.set(left.unwrap_or_else(|| self.0.get()));
        left.is_some()
    }
}

#[tokio::test(flavor = "current_thread")]
async fn turns_are_read_only_as_far_as_there_is_room_for_them() {
    let rows = MemoryRows::default();
    let ids = ["t1".to_owned(), "t2".to_owned()];
    for number in 0..3 {
        let turn = ["t1", "t2", "t3"][number];
        node(&rows).store(turn, record(&ids[..number], 1_000)).await.expect("stored");
    }
    let mut reads = HistoryReads::default();
    let contents_bytes = 3 * (1_000 + "out\n".len());
    let room = Room(Cell::new(contents_bytes));
    let chain = node(&rows).chain_from("alpha", "t3", None, &room, &mut reads).await;
    assert_eq!((chain.expect("read").len(), room.0.get()), (3, 0));
    for is_cached in [false, true] {
        let turns = node(&rows);
        if is_cached {
            turns.chain("alpha", "t3").await.expect("read");
        }
        let room = Room(Cell::new(contents_bytes - 1));
        let chain = turns.chain_from("alpha", "t3", None, &room, &mut reads).await;
        assert_eq!(chain.expect_err("no room"), TurnError::NoRoom);
    }
}
