//! Row of a program's ledger.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ClaimantId, ReserveError};
use crate::rows::RowStoreError;

/// Contents of a program's row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Tokens delivered by turns whose end is recorded in the row.
    #[serde(rename = "settled")]
    pub settled_tokens: u64,
    /// Further tokens that each node may deliver, by claimant.
    #[serde(rename = "claims")]
    pub claimed_tokens: BTreeMap<ClaimantId, u64>,
}

impl Ledger {
    /// Returns the maximum number of tokens that have been or may still be delivered.
    #[must_use]
    pub fn committed_tokens(&self) -> u64 {
        self.settled_tokens.saturating_add(self.claimed_tokens.values().sum())
    }

    pub(super) fn claim(&self, claimant: &str) -> u64 {
        self.claimed_tokens.get(claimant).copied().unwrap_or_default()
    }

    pub(super) fn set_claim(&mut self, claimant: &str, tokens: u64) {
        if tokens == 0 {
            self.claimed_tokens.remove(claimant);
        } else {
            self.claimed_tokens.insert(claimant.to_owned(), tokens);
        }
    }
}

/// Encoding of a program's row.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct LedgerRow {
    #[serde(flatten)]
    pub(super) ledger: Ledger,
    /// Random identifier of the write of this row; 0 in rows of builds that write none.
    #[serde(default, rename = "write")]
    pub(super) write_id: u64,
}

pub(super) fn malformed(error: &serde_json::Error) -> ReserveError {
    ReserveError::Store { source: RowStoreError::Malformed { detail: error.to_string() } }
}
