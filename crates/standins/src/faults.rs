//! Fault injection for the platform and metadata store stand-ins.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ntex::time::{Millis, sleep};
use ntex::web::HttpResponse;
use serde::{Deserialize, Serialize};

use crate::http::lock;

/// Faults to inject into a store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Whether to answer every call with 503, except those that control the stand-in.
    pub outage: bool,
    /// Delay before each call is executed, in milliseconds. A call that waits for changes of rows
    /// is delayed again before each check for changes.
    pub delay_ms: u32,
    /// Number of upcoming transactions to execute but answer with 504 on a connection that is then
    /// closed.
    pub lose_answers: u32,
    /// Number of transactions per second beyond which the metadata store answers 429; 0 for any
    /// number.
    pub transactions_per_s_max: u32,
    /// Longest time for which the metadata store holds an answer after the call was executed, in
    /// milliseconds.
    pub answer_lag_ms: u32,
    /// Seed of the times for which answers are held.
    pub lag_seed: u64,
    /// Table whose rows can't be read: the metadata store answers 503; empty for none.
    pub unreadable_table: String,
    /// Table whose rows can't be written: the metadata store answers 503; empty for none.
    pub unwritable_table: String,
}

/// Applies the configured faults to calls.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: Mutex<StoreFaults>,
    /// Number of answers that were held.
    held_count: AtomicU64,
}

impl FaultInjector {
    /// Replaces the faults.
    pub fn set(&self, faults: StoreFaults) {
        *lock(&self.faults) = faults;
    }

    /// Applies the configured delay; returns a 503 response during an outage, or `None` if the call
    /// is to be executed.
    pub async fn intercept(&self) -> Option<HttpResponse> {
        let faults = lock(&self.faults).clone();
        if faults.delay_ms > 0 {
            sleep(Millis(faults.delay_ms)).await;
        }
        faults.outage.then(|| HttpResponse::ServiceUnavailable().finish())
    }

    /// Holds the answer of a call that was executed for a time drawn from the seed.
    pub async fn hold_answer(&self) {
        let StoreFaults { answer_lag_ms, lag_seed, .. } = lock(&self.faults).clone();
        if answer_lag_ms > 0 {
            let mut hasher = DefaultHasher::new();
            (lag_seed, self.held_count.fetch_add(1, Ordering::Relaxed)).hash(&mut hasher);
            let lag_ms = hasher.finish() % (u64::from(answer_lag_ms) + 1);
            sleep(Duration::from_millis(lag_ms)).await;
        }
    }

    /// Returns whether reads of a table are answered with 503.
    pub fn is_unreadable(&self, table: &str) -> bool {
        lock(&self.faults).unreadable_table == table
    }

    /// Returns whether writes to a table are answered with 503.
    pub fn is_unwritable(&self, table: &str) -> bool {
        lock(&self.faults).unwritable_table == table
    }

    /// Returns the number of transactions per second that are executed, if it is limited.
    pub fn transactions_per_s_max(&self) -> Option<usize> {
        let limit = lock(&self.faults).transactions_per_s_max;
        usize::try_from(limit).ok().filter(|limit| *limit > 0)
    }

    /// Decrements the number of answers to lose; returns whether this transaction's answer is lost.
    pub fn consume_lost_answer(&self) -> bool {
        consume_one(&mut lock(&self.faults).lose_answers)
    }
}

/// Decrements `count` unless it is 0; returns whether it was above 0.
pub fn consume_one(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}
