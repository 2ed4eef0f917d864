//! Faults that both stand-ins of the platform's store show.

use std::sync::Mutex;

use ntex::time::{Millis, sleep};
use ntex::web::HttpResponse;
use serde::{Deserialize, Serialize};

use crate::http::lock;

/// Faults of a store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Answers every call with 503.
    pub outage: bool,
    /// Delays every answer.
    pub delay_ms: u32,
    /// Closes the connection instead of answering this many transactions that took effect.
    pub lose_answers: u32,
}

/// Applies the faults in force to each call.
#[derive(Debug, Default)]
pub struct FaultInjector(Mutex<StoreFaults>);

impl FaultInjector {
    /// Sets the faults.
    pub fn set(&self, faults: StoreFaults) {
        *lock(&self.0) = faults;
    }

    /// Delays a call and returns the answer that an outage gives to it.
    pub async fn intercept(&self) -> Option<HttpResponse> {
        let faults = lock(&self.0).clone();
        if faults.delay_ms > 0 {
            sleep(Millis(faults.delay_ms)).await;
        }
        faults.outage.then(|| HttpResponse::ServiceUnavailable().finish())
    }

    /// Returns whether the answer to a transaction is lost, and counts it.
    pub fn consume_lost_answer(&self) -> bool {
        consume_one(&mut lock(&self.0).lose_answers)
    }
}

/// Counts one down; returns whether any was left.
pub fn consume_one(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}
