//! Shards keep all records when they move between nodes.

use std::rc::Rc;
use std::sync::Arc;

use dandelionfront_coordination::ids::program_id;
use dandelionfront_coordination::incarnation::Incarnation;
use dandelionfront_coordination::journal::JournalSettings;
use dandelionfront_coordination::owner::{OwnerSettings, ProgramSpec};
use dandelionfront_coordination::platform::{Table, Transaction, TransactionOutcome};
use dandelionfront_coordination::shards::Shards;
use dandelionfront_coordination::{
    Admission, Answer, AttemptEnd, CallRequest, CallTarget, Clock, Journal, Owner, Payload,
    RefusalKind, RunState, Usage,
};
use dandelionfront_standins::{PlatformState, StepClock};
use futures_util::future::{Either, select};

const REGION: &str = "local";
const TEAM: &str = "crew";

/// Components of one node that are needed to own a shard.
struct ShardNode {
    id: String,
    journal: Rc<Journal>,
    owner: Rc<Owner>,
    shards: Shards,
}

impl ShardNode {
    fn new(memory: &Arc<PlatformState>, id: &str) -> Self {
        let row = Transaction::default().put(Table::Nodes, id, serde_json::Value::Null);
        let TransactionOutcome::Committed(version) = memory.apply(&row) else {
            panic!("an unconditional write commits")
        };
        let incarnation = Rc::new(Incarnation::new(id.to_owned()));
        incarnation.set_row_version(version);
        let clock: Rc<dyn Clock> = Rc::new(StepClock::default());
        let journal = Rc::new(Journal::new(
            memory.platform(),
            Rc::clone(&clock),
            Rc::clone(&incarnation),
            JournalSettings::default(),
        ));
        let owner = Rc::new(Owner::new(Rc::clone(&journal), clock, OwnerSettings::default()));
        journal.set_applier(Rc::clone(&owner) as _);
        let shards = Shards::new(
            memory.platform(),
            incarnation,
            Rc::clone(&journal),
            Rc::clone(&owner),
            REGION.to_owned(),
            1,
        );
        Self { id: id.to_owned(), journal, owner, shards }
    }

    /// Reconciles with `assigned` as the preferred owner of the only shard.
    async fn reconcile(&self, assigned: &ShardNode) {
        let assignment = |_| Some(assigned.id.clone());
        self.shards.reconcile(&assignment, &|_| false).await.expect("the table answers");
    }

    /// Runs one call of a program to its recorded end.
    async fn call(&self, program: &str, sequence: u64) {
        let request = model_call(program, sequence);
        let Ok(Admission::Run(ticket)) = self.owner.admit(&request).await else {
            panic!("call {sequence} is not admitted by {}", self.id)
        };
        let answer = Answer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Payload::from("answer"),
        };
        let (usage, backend) = (Usage::default(), "engine".to_owned());
        let end = AttemptEnd::Answered { answer, usage, backend };
        self.owner.finish(&ticket, &request, end, || ()).await;
    }
}

/// Returns a repeatable call.
fn model_call(program: &str, sequence: u64) -> CallRequest {
    CallRequest {
        program: program.to_owned(),
        single: false,
        sequence,
        idempotency_key: format!("k-{sequence}"),
        team: TEAM.to_owned(),
        route: "geo".to_owned(),
        repeatable: true,
        target: CallTarget::Model { prompt_tokens_max: 1, completion_tokens_max: 1 },
        stream: false,
        body: Payload::from("question"),
    }
}

/// Guards against "not run" for a call that a lost owner may have run, when the next owner cannot
/// record its end in time.
#[tokio::test]
async fn overdue_call_of_a_lost_owner_is_not_reported_as_not_run() {
    let memory = Arc::new(PlatformState::default());
    let (first, second) = (ShardNode::new(&memory, "node-a"), ShardNode::new(&memory, "node-b"));
    let program = program_id(REGION, 0, 7);
    let budget_tokens = Some(100);
    let spec = ProgramSpec { team: TEAM.to_owned(), parent: None, budget_tokens };
    let scenario = async {
        first.reconcile(&first).await;
        first.owner.open(program.clone(), spec).await.expect("opened");
        let admitted = first.owner.admit(&model_call(&program, 1)).await;
        assert!(matches!(admitted, Ok(Admission::Run(_))), "the call starts");
    };
    let journal = std::pin::pin!(first.journal.run());
    assert!(matches!(select(std::pin::pin!(scenario), journal).await, Either::Left(_)));
    // The journal of the second node does not run.
    let assignment = |_| Some(second.id.clone());
    second.shards.reconcile(&assignment, &|_| true).await.expect("the table answers");
    let mut refusals = Vec::new();
    for sequence in [1, 2] {
        let admitted = second.owner.admit(&model_call(&program, sequence)).await;
        refusals.extend(admitted.err().map(|refusal| (refusal.kind, refusal.run)));
    }
    let not_ended = (RefusalKind::PlatformUnavailable, RunState::Unknown);
    let ahead = (RefusalKind::SequenceAhead, RunState::NotRun);
    assert_eq!(refusals, [not_ended, ahead]);
}

#[tokio::test]
async fn a_shard_that_returns_to_a_former_owner_keeps_its_records() {
    let memory = Arc::new(PlatformState::default());
    let (first, second) = (ShardNode::new(&memory, "node-a"), ShardNode::new(&memory, "node-b"));
    let program = program_id(REGION, 0, 7);
    let journals = async {
        futures_util::future::join(first.journal.run(), second.journal.run()).await;
    };
    let scenario = async {
        first.reconcile(&first).await;
        let spec = ProgramSpec { team: TEAM.to_owned(), parent: None, budget_tokens: None };
        first.owner.open(program.clone(), spec).await.expect("opened");
        let mut sequence = 0;
        for (from, to) in [(&first, &second), (&second, &first), (&first, &second)] {
            sequence += 1;
            from.call(&program, sequence).await;
            from.reconcile(to).await;
            to.reconcile(to).await;
            let known = to.owner.program(&program, Some(TEAM)).expect("the program is recovered");
            assert_eq!(known.next_sequence(), sequence + 1, "records are lost at {}", to.id);
        }
    };
    select(std::pin::pin!(scenario), std::pin::pin!(journals)).await;
}
