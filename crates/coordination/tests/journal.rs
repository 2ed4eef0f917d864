//! Property test of the journal with random lost answers, lost requests and fencing.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use dandelionfront_coordination::incarnation::Incarnation;
use dandelionfront_coordination::journal::{Journal, JournalSettings, read_commits};
use dandelionfront_coordination::platform::{
    PlatformError, PlatformResult, Row, Table, TableService, Transaction, TransactionOutcome,
};
use dandelionfront_coordination::record::{CloseReason, Entry, Record};
use dandelionfront_coordination::{Member, MemberState, Platform};
use dandelionfront_standins::{PlatformState, StepClock};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 31;
const NODE: &str = "node-a";

/// Scripted outcome of one transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ScriptedOutcome {
    Answered,
    AnswerLost,
    RequestLost,
    Fenced,
}

/// Table with scripted outcomes of transactions.
struct FaultyTable {
    memory: Arc<PlatformState>,
    outcomes: RefCell<VecDeque<ScriptedOutcome>>,
    rows_at_fencing: Cell<Option<usize>>,
}

impl FaultyTable {
    fn journal_rows(&self) -> usize {
        self.memory.read_range(Table::Journal, "", "", usize::MAX).len()
    }
}

#[async_trait(?Send)]
impl TableService for FaultyTable {
    async fn get(&self, table: Table, key: &str) -> PlatformResult<Option<Row>> {
        Ok(self.memory.read(table, key))
    }

    async fn scan(
        &self,
        table: Table,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> PlatformResult<Vec<Row>> {
        Ok(self.memory.read_range(table, prefix, after, limit))
    }

    async fn transact(&self, transaction: &Transaction) -> PlatformResult<TransactionOutcome> {
        let lost = || PlatformError::AnswerLost { detail: "scripted".to_owned() };
        match self.outcomes.borrow_mut().pop_front().unwrap_or(ScriptedOutcome::Answered) {
            ScriptedOutcome::Answered => Ok(self.memory.apply(transaction)),
            ScriptedOutcome::AnswerLost => {
                self.memory.apply(transaction);
                Err(lost())
            }
            ScriptedOutcome::RequestLost => Err(lost()),
            ScriptedOutcome::Fenced => {
                write_member(&self.memory, MemberState::Fenced);
                self.rows_at_fencing.set(self.rows_at_fencing.get().or(Some(self.journal_rows())));
                Ok(self.memory.apply(transaction))
            }
        }
    }
}

fn write_member(memory: &PlatformState, state: MemberState) {
    let member = Member {
        id: NODE.to_owned(),
        forward_address: String::new(),
        peer_address: String::new(),
        zone: String::new(),
        region: String::new(),
        state,
        reclaimer: None,
    };
    let value = serde_json::to_value(member).expect("member serialises");
    memory.apply(&Transaction::default().put(Table::Nodes, NODE, value));
}

fn entry(number: u64) -> Entry {
    let reason = CloseReason::Ended;
    let record = Record::Closed { reason, closed_unix_ms: number };
    Entry { shard: 0, program: "p".to_owned(), record }
}

fn number_of(entry: &Entry) -> u64 {
    match entry.record {
        Record::Closed { closed_unix_ms, .. } => closed_unix_ms,
        _ => 0,
    }
}

/// Appends `count` records with scripted outcomes; returns the acknowledged and the stored ones.
fn run_journal(count: u64, outcomes: &[ScriptedOutcome]) -> (Vec<u64>, Vec<u64>) {
    let memory = Arc::new(PlatformState::default());
    write_member(&memory, MemberState::Live);
    let version = memory.read(Table::Nodes, NODE).map_or(0, |row| row.version);
    let table = Rc::new(FaultyTable {
        memory: Arc::clone(&memory),
        outcomes: RefCell::new(outcomes.iter().copied().collect()),
        rows_at_fencing: Cell::new(None),
    });
    let platform = Platform { table: Rc::clone(&table) as _, objects: memory.platform().objects };
    let incarnation = Rc::new(Incarnation::new(NODE.to_owned()));
    incarnation.set_row_version(version);
    let clock = Rc::new(StepClock::default());
    let journal = Journal::new(platform, clock, incarnation, JournalSettings::default());
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime");
    let acknowledged = runtime.block_on(async {
        let appends = async {
            let mut acknowledged = Vec::new();
            for number in 1..=count {
                let ticket = journal.append(vec![entry(number)]);
                if matches!(ticket.await, Ok(Ok(()))) {
                    acknowledged.push(number);
                }
            }
            acknowledged
        };
        tokio::select! {
            acknowledged = appends => acknowledged,
            () = async { journal.run().await; std::future::pending().await } => Vec::new(),
        }
    });
    if let Some(rows) = table.rows_at_fencing.get() {
        assert_eq!(table.journal_rows(), rows, "the node committed after it was fenced");
    }
    let node = NODE.to_owned();
    let commits = runtime.block_on(read_commits(&*table, &node, 1)).expect("commits are readable");
    let stored = commits.iter().flat_map(|(_, commit)| commit.entries.iter().map(number_of));
    (acknowledged, stored.collect())
}

fn scripted_outcome() -> impl Strategy<Value = ScriptedOutcome> {
    prop_oneof![
        5 => Just(ScriptedOutcome::Answered),
        3 => Just(ScriptedOutcome::AnswerLost),
        3 => Just(ScriptedOutcome::RequestLost),
        1 => Just(ScriptedOutcome::Fenced),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Acknowledged records are stored once and in order, and none is stored after fencing.
    #[test]
    fn acknowledged_records_are_stored_once(
        count in 1_u64..12,
        outcomes in prop::collection::vec(scripted_outcome(), 0..30),
    ) {
        let (acknowledged, stored) = run_journal(count, &outcomes);
        let expected: Vec<u64> = (1..=u64::try_from(stored.len()).expect("few")).collect();
        prop_assert_eq!(&stored, &expected, "stored out of order or twice");
        prop_assert!(acknowledged.len() <= stored.len());
        prop_assert_eq!(&acknowledged[..], &stored[..acknowledged.len()]);
        if !outcomes.contains(&ScriptedOutcome::Fenced) {
            prop_assert_eq!(u64::try_from(acknowledged.len()).expect("few"), count);
        }
    }
}
