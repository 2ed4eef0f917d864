//! Stored turns of programs whose calls carry only their new input.
//!
//! Each turn is one row with the request id as its key. The row lists the whole chain of earlier
//! turns, so that a node without cached turns reads all of them in parallel.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::display::Base64Display;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use futures_util::future::try_join_all;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::Snafu;
use tokio::sync::Semaphore;

use crate::history::{HistoryNode, HistoryReads, HistoryRoom, Recalled, UnlimitedRoom};
use crate::ids::{BackendId, TeamId};
use crate::request::RequestId;
use crate::rows::{RowStoreError, RowWrite, SharedRowStore, WriteOutcome, part_of};

/// Maximum size of the output of a turn, several times that of the longest ones.
pub const TURN_OUTPUT_MAX_BYTES: usize = 256 * 1024;
/// Table of the stored turns.
pub const TURNS_TABLE: &str = "turns";
/// Number of partitions of the table. The store supports 200 writes per second in each partition
/// and 800 in total.
const TURN_PARTS: u64 = 64;
/// First delay between attempts to store a turn; doubles with each attempt.
const STORE_RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
/// Maximum delay between attempts to store a turn.
const STORE_RETRY_DELAY_MAX: Duration = Duration::from_millis(400);
/// Memory of a read that is under way, of which there are as many as the cache has room for: the
/// largest row, its Base64, and the answer that holds it.
const READ_MAX_BYTES: usize = 256 * 1024;
/// Time that the last attempt to store a turn leaves for the store's answer.
const LAST_ATTEMPT_MARGIN: Duration = Duration::from_millis(60);

/// Returns the delay after `attempts` failed attempts to store a turn, or `None` if too little time
/// is left for another one. The last attempt is made just before the deadline, because the store
/// may accept the turn until then.
#[must_use]
pub fn store_retry_delay(attempts: u32, time_left: Duration) -> Option<Duration> {
    let doublings = attempts.saturating_sub(1).min(STORE_RETRY_DELAY_MAX.as_millis().ilog2());
    let delay = STORE_RETRY_DELAY_MIN * 2_u32.pow(doublings);
    let longest = time_left.checked_sub(LAST_ATTEMPT_MARGIN).filter(|delay| !delay.is_zero())?;
    Some(delay.min(STORE_RETRY_DELAY_MAX).min(longest))
}

/// Bytes stored as text if they are valid UTF-8 and Base64 is not shorter, and in Base64 otherwise.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TextBytes(pub Vec<u8>);

impl Serialize for TextBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        // The prefix distinguishes text (`t`) from Base64 (`b`).
        if let Some(text) = text_to_store(&self.0) {
            return serializer.collect_str(&format_args!("t{text}"));
        }
        serializer.collect_str(&format_args!("b{}", Base64Display::new(&self.0, &BASE64)))
    }
}

/// Returns the bytes as text if they are stored as such.
fn text_to_store(bytes: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(bytes).ok()?;
    (escaped_bytes(bytes) <= base64_bytes(bytes.len())).then_some(text)
}

/// Returns the size of text in a JSON string.
fn escaped_bytes(text: &[u8]) -> usize {
    let escaped = |byte: &u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0..0x20 => 6,
        _ => 1,
    };
    text.iter().map(escaped).sum()
}

/// Returns the size of `count` bytes in Base64, with padding.
const fn base64_bytes(count: usize) -> usize {
    count.div_ceil(3) * 4
}

/// Returns the size in a row of bytes that are stored as [`TextBytes`], without quotes and prefix.
fn stored_bytes(bytes: &[u8]) -> usize {
    text_to_store(bytes)
        .map_or_else(|| base64_bytes(bytes.len()), |text| escaped_bytes(text.as_bytes()))
}

/// Returns the most memory that `count` bytes of a turn's contents take while the turn is stored: in
/// the record, the row and the call to the store.
#[must_use]
pub const fn storing_max_bytes(count: usize) -> usize {
    let row = base64_bytes(count);
    count + row + base64_bytes(row)
}

impl<'de> Deserialize<'de> for TextBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        if let Some(encoded) = text.strip_prefix('b') {
            return BASE64.decode(encoded).map(Self).map_err(serde::de::Error::custom);
        }
        Ok(Self(text.into_bytes().split_off(1)))
    }
}

/// A turn whose answer was complete.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// Team of the turn.
    pub team: TeamId,
    /// Request ids of the earlier turns, oldest first.
    pub chain: Vec<RequestId>,
    /// New input of the turn.
    pub input: TextBytes,
    /// Data of the events in the turn's answer, each followed by a line feed.
    pub output: TextBytes,
    /// Backend server that ran the turn, which later turns of the session prefer; `None` if it is
    /// not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<BackendId>,
}

impl TurnRecord {
    /// Returns a size that the row of the turn has at most if no id needs escapes.
    fn row_bytes(&self) -> usize {
        let chain: usize = self.chain.iter().map(|turn| turn.len() + ROW_ENTRY_BYTES).sum();
        let server = self.server.as_ref().map_or(0, String::len);
        let contents = stored_bytes(&self.input.0) + stored_bytes(&self.output.0);
        contents + chain + server + self.team.len() + ROW_OVERHEAD_BYTES
    }

    fn size_bytes(&self) -> usize {
        let chain: usize = self.chain.iter().map(String::len).sum();
        let server = self.server.as_ref().map_or(0, String::len);
        self.input.0.len() + self.output.0.len() + chain + server + RECORD_OVERHEAD_BYTES
    }

    /// Returns whether the records differ at most in the server that ran the turn.
    fn is_same_turn(&self, other: &Self) -> bool {
        self.team == other.team
            && self.chain == other.chain
            && self.input == other.input
            && self.output == other.output
    }
}

/// Quotes and a comma around an entry of a list in a row.
const ROW_ENTRY_BYTES: usize = 3;
/// Upper bound of the names and punctuation in the row of a turn.
const ROW_OVERHEAD_BYTES: usize = 128;
/// Estimated memory of a cached record in addition to its contents.
const RECORD_OVERHEAD_BYTES: usize = 256;

/// Failure to read or store a turn.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TurnError {
    /// The turn does not exist or belongs to another team.
    #[snafu(display("no such turn {turn}; name a turn of this team that was answered whole"))]
    Unknown {
        /// Requested turn.
        turn: RequestId,
    },
    /// The store failed or contains an unusable row, so it is unknown whether the turn exists. Also
    /// returned when a turn cannot be stored, although the message mentions only reading.
    #[snafu(display("the turn cannot be read: {source}; retry later"))]
    Store {
        /// Cause.
        source: RowStoreError,
    },
    /// The store has another turn with the same request id.
    #[snafu(display(
        "another turn has the request id {turn}; send each turn with an id of its own"
    ))]
    IdTaken {
        /// Request id.
        turn: RequestId,
    },
    /// There is no room for the earlier turns.
    #[snafu(display("the node holds too much for other callers; retry shortly"))]
    NoRoom,
    /// The turn is larger than a row of the store may be.
    #[snafu(display(
        "the turn takes {bytes} bytes in the store, which keeps {max_bytes} at most; send a shorter \
         input, or split it over several turns"
    ))]
    TooLarge {
        /// Size of the row, or of the part of it that is known.
        bytes: usize,
        /// Maximum size of a row.
        max_bytes: usize,
    },
}

impl TurnError {
    /// Returns whether an attempt to store the turn may succeed after one that failed so.
    #[must_use]
    pub fn may_be_stored_later(&self) -> bool {
        match self {
            Self::Store { source } => !matches!(source, RowStoreError::Rejected { .. }),
            Self::Unknown { .. } | Self::IdTaken { .. } | Self::TooLarge { .. } => false,
            Self::NoRoom => true,
        }
    }
}

/// Turns of a program with their request ids, oldest first.
pub type Chain = Vec<(RequestId, Rc<TurnRecord>)>;

/// Access to the stored turns, with a bounded cache.
pub struct Turns {
    store: SharedRowStore,
    /// Maximum size of a row, if it is known.
    row_max_bytes: Option<usize>,
    cache: RefCell<TurnCache>,
    /// Permits to read rows of the store.
    reads: Semaphore,
}

#[derive(Default)]
struct TurnCache {
    records: HashMap<RequestId, Rc<TurnRecord>>,
    /// Turns in order of insertion, oldest first.
    order: VecDeque<RequestId>,
    used_bytes: usize,
    max_bytes: usize,
}

impl TurnCache {
    fn insert(&mut self, turn: &str, record: Rc<TurnRecord>) {
        self.used_bytes += record.size_bytes();
        if let Some(replaced) = self.records.insert(turn.to_owned(), record) {
            self.used_bytes -= replaced.size_bytes();
        } else {
            self.order.push_back(turn.to_owned());
        }
        while self.used_bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else { break };
            if let Some(dropped) = self.records.remove(&oldest) {
                self.used_bytes -= dropped.size_bytes();
            }
        }
    }
}

impl Turns {
    /// Creates an empty cache of at most `cache_max_bytes` over `store`.
    #[must_use]
    pub fn new(store: SharedRowStore, cache_max_bytes: usize) -> Self {
        let cache = TurnCache { max_bytes: cache_max_bytes, ..TurnCache::default() };
        Self {
            store,
            row_max_bytes: None,
            cache: RefCell::new(cache),
            reads: Semaphore::new((cache_max_bytes / READ_MAX_BYTES).max(1)),
        }
    }

    /// Sets the maximum size of a row of the store.
    #[must_use]
    pub fn with_row_max(self, row_max_bytes: Option<usize>) -> Self {
        Self { row_max_bytes, ..self }
    }

    /// Checks that a turn with this input can be stored if its output is short.
    ///
    /// # Errors
    ///
    /// Fails when the input and the ids of the earlier turns alone are larger than a row of the store
    /// may be.
    pub fn require_storable(&self, chain: &[RequestId], input: &[u8]) -> Result<(), TurnError> {
        let Some(max_bytes) = self.row_max_bytes else { return Ok(()) };
        let chain: usize = chain.iter().map(|turn| turn.len() + ROW_ENTRY_BYTES).sum();
        // What is longer than a row is not examined any further.
        let input = if input.len() > max_bytes { input.len() } else { stored_bytes(input) };
        require_row_size(chain + input, max_bytes)
    }

    /// Returns the chain of turns that ends with `turn`, oldest first, from this node's memory and
    /// the store.
    ///
    /// # Errors
    ///
    /// Fails when the turn does not exist, belongs to another team, or cannot be read.
    pub async fn chain(&self, team: &str, turn: &str) -> Result<Chain, TurnError> {
        let mut reads = HistoryReads::default();
        self.chain_from(team, turn, None, &UnlimitedRoom, &mut reads).await
    }

    /// Returns the chain of turns that ends with `turn`, oldest first. Turns that are not in this
    /// node's memory are asked of `history_node`, and read from the store if it does not tell them;
    /// what it does not hold is passed on to it. Each turn is held in `room`. `reads` counts the turns,
    /// also if a later one cannot be read.
    ///
    /// # Errors
    ///
    /// Fails when the turn does not exist, belongs to another team, or cannot be read, or when there is
    /// no room for the turns.
    pub async fn chain_from(
        &self,
        team: &str,
        turn: &str,
        history_node: Option<&dyn HistoryNode>,
        room: &dyn HistoryRoom,
        reads: &mut HistoryReads,
    ) -> Result<Chain, TurnError> {
        let unknown = || TurnError::Unknown { turn: turn.to_owned() };
        let last = self.records(team, &[turn.to_owned()], history_node, room, reads).await?;
        let last = last.into_iter().next().filter(|(_, record)| record.team == team);
        let last = last.ok_or_else(unknown)?;
        let mut chain = self.records(team, &last.1.chain, history_node, room, reads).await?;
        if let Some(missing) =
            last.1.chain.iter().find(|turn| !chain.iter().any(|(id, _)| id == *turn))
        {
            return Err(malformed(&format_args!("turn {missing} is missing")));
        }
        chain.push(last);
        Ok(chain)
    }

    /// Stores a turn and caches it once the store has accepted it.
    ///
    /// # Errors
    ///
    /// Fails when the record is larger than a row may be, when the store did not accept it, or when
    /// another turn has the same request id.
    pub async fn store(&self, turn: &str, record: Rc<TurnRecord>) -> Result<(), TurnError> {
        let mut value = Vec::with_capacity(record.row_bytes());
        serde_json::to_writer(&mut value, &*record).map_err(|error| malformed(&error))?;
        if let Some(max_bytes) = self.row_max_bytes {
            require_row_size(value.len(), max_bytes)?;
        }
        let part = part_of(turn, TURN_PARTS);
        let write = RowWrite {
            table: TURNS_TABLE,
            part: &part,
            key: turn,
            expected_version: 0,
            value: Some(&value),
        };
        match self.store.write(write).await {
            Ok(WriteOutcome::Written(_)) => {}
            // An earlier attempt of this write took effect, but its answer was lost; or the turn was
            // sent again and ran at another server.
            Ok(WriteOutcome::Conflict(Some(row)))
                if serde_json::from_slice(&row.value)
                    .is_ok_and(|stored: TurnRecord| stored.is_same_turn(&record)) => {}
            Ok(WriteOutcome::Conflict(Some(_))) => {
                return Err(TurnError::IdTaken { turn: turn.to_owned() });
            }
            Ok(WriteOutcome::Conflict(None)) => {
                return Err(malformed(&"a write conflicts with a row that does not exist"));
            }
            Err(source) => return Err(TurnError::Store { source }),
        }
        self.insert_cached(turn, record);
        Ok(())
    }

    /// Caches a turn that the store has accepted.
    pub fn insert_cached(&self, turn: &str, record: Rc<TurnRecord>) {
        self.cache.borrow_mut().insert(turn, record);
    }

    /// Returns a turn that is in this node's memory.
    #[must_use]
    pub fn cached(&self, turn: &str) -> Option<Rc<TurnRecord>> {
        self.cache.borrow().records.get(turn).cloned()
    }

    /// Returns those of `wanted` that exist, in order.
    async fn records(
        &self,
        team: &str,
        wanted: &[RequestId],
        history_node: Option<&dyn HistoryNode>,
        room: &dyn HistoryRoom,
        reads: &mut HistoryReads,
    ) -> Result<Chain, TurnError> {
        let hold = |record: &TurnRecord| {
            let is_held = room.hold(record.input.0.len() + record.output.0.len());
            if is_held { Ok(()) } else { Err(TurnError::NoRoom) }
        };
        let own = wanted.iter().filter_map(|turn| Some((turn.clone(), self.cached(turn)?)));
        let mut known: HashMap<RequestId, Rc<TurnRecord>> = own.collect();
        reads.own += known.len();
        known.values().try_for_each(|record| hold(record))?;
        let missing = |known: &HashMap<_, _>| {
            let missing = wanted.iter().filter(|turn| !known.contains_key(*turn));
            missing.cloned().collect::<Vec<RequestId>>()
        };
        let mut recalled = Recalled::default();
        if let (Some(history_node), false) = (history_node, known.len() == wanted.len()) {
            recalled = history_node.recall(team, &missing(&known)).await;
            reads.node += recalled.found.len();
            for (turn, record) in &recalled.found {
                self.insert_cached(turn, Rc::clone(record));
                hold(record)?;
            }
            known.extend(recalled.found);
        }
        let rows = missing(&known);
        let rows = rows.iter().map(async |turn| {
            let record = self.read(turn).await?;
            record.as_deref().map_or(Ok(()), hold)?;
            Ok((turn.clone(), record))
        });
        for (turn, record) in try_join_all(rows).await? {
            let Some(record) = record else { continue };
            reads.store += 1;
            if let Some(history_node) = history_node.filter(|_| recalled.absent.contains(&turn)) {
                history_node.pass_on(&turn, &record);
            }
            known.insert(turn, record);
        }
        let found = wanted.iter().filter_map(|turn| Some((turn.clone(), known.remove(turn)?)));
        Ok(found.collect())
    }

    /// Reads a turn from the store.
    async fn read(&self, turn: &str) -> Result<Option<Rc<TurnRecord>>, TurnError> {
        // Never closed, so that waiting cannot fail.
        let _permit = self.reads.acquire().await;
        let part = part_of(turn, TURN_PARTS);
        let row = self.store.get(TURNS_TABLE, &part, turn).await;
        let Some(row) = row.map_err(|source| TurnError::Store { source })? else {
            return Ok(None);
        };
        let record: TurnRecord =
            serde_json::from_slice(&row.value).map_err(|error| malformed(&error))?;
        let record = Rc::new(record);
        self.insert_cached(turn, Rc::clone(&record));
        Ok(Some(record))
    }
}

fn require_row_size(bytes: usize, max_bytes: usize) -> Result<(), TurnError> {
    if bytes > max_bytes { Err(TurnError::TooLarge { bytes, max_bytes }) } else { Ok(()) }
}

fn malformed(error: &dyn std::fmt::Display) -> TurnError {
    TurnError::Store { source: RowStoreError::Malformed { detail: error.to_string() } }
}

/// Returns the size of the prompt.
#[must_use]
pub fn prompt_bytes(chain: &[(RequestId, Rc<TurnRecord>)], input: &[u8]) -> usize {
    let contents = |turn: &TurnRecord| turn.input.0.len() + turn.output.0.len();
    chain.iter().map(|(_, turn)| contents(turn)).sum::<usize>() + input.len()
}

/// Returns the prompt: inputs and outputs of the chain, followed by the new input.
#[must_use]
pub fn assemble_prompt(chain: &[(RequestId, Rc<TurnRecord>)], input: &[u8]) -> Vec<u8> {
    let mut prompt = Vec::with_capacity(prompt_bytes(chain, input));
    for (_, turn) in chain {
        prompt.extend_from_slice(&turn.input.0);
        prompt.extend_from_slice(&turn.output.0);
    }
    prompt.extend_from_slice(input);
    prompt
}
