//! Fault injection of the two stand-ins for the platform's store.

use std::sync::Mutex;

use ntex::time::{Millis, sleep};
use ntex::web::HttpResponse;
use serde::{Deserialize, Serialize};

use crate::http::lock;

/// Faults to inject into a store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Whether to answer every call with 503.
    pub outage: bool,
    /// Delay before each call is executed, in milliseconds.
    pub delay_ms: u32,
    /// Number of further transactions to execute and answer with 504, closing the connection.
    pub lose_answers: u32,
}

/// Applies the configured faults to calls.
#[derive(Debug, Default)]
pub struct FaultInjector(Mutex<StoreFaults>);

impl FaultInjector {
    /// Replaces the faults.
    pub fn set(&self, faults: StoreFaults) {
        *lock(&self.0) = faults;
    }

    /// Delays a call; returns the response to send during an outage, or `None` to execute the call.
    pub async fn intercept(&self) -> Option<HttpResponse> {
        let faults = lock(&self.0).clone();
        if faults.delay_ms > 0 {
            sleep(Millis(faults.delay_ms)).await;
        }
        faults.outage.then(|| HttpResponse::ServiceUnavailable().finish())
    }

    /// Decrements the number of answers to lose; returns whether this transaction's answer is lost.
    pub fn consume_lost_answer(&self) -> bool {
        consume_one(&mut lock(&self.0).lose_answers)
    }
}

/// Decrements `count` unless it is 0; returns whether it was above 0.
pub fn consume_one(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}
