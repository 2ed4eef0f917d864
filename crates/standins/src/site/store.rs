//! Stand-in for the metadata store of the users' platform.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use dandelionfront_coordination::rows::VersionedRow;
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, types::Json, types::Query, types::State};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::faults::{FaultInjector, StoreFaults};
use crate::http::{lock, serve};
use crate::rows::{RowName, RowTables, RowUpdates};

/// The metadata store stand-in.
#[derive(Debug, Default)]
pub struct MetadataStore {
    rows: Mutex<RowTables>,
    faults: FaultInjector,
    /// Number of transactions received outside outages, including refused ones.
    transaction_count: Mutex<u64>,
    /// Number of reads of rows received outside outages, by table.
    reads: Mutex<BTreeMap<String, u64>>,
    /// Times at which transactions were executed within the last second, if their rate is limited.
    recent: Mutex<VecDeque<Instant>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<Expectation>,
    #[serde(default)]
    writes: Vec<RowValue>,
    #[serde(default)]
    remove: Vec<RowKey>,
}

#[derive(Debug, Deserialize)]
struct Expectation {
    #[serde(flatten)]
    row: RowKey,
    /// Version that the row must have; 0 if it must be absent.
    ver: u64,
}

#[derive(Debug, Deserialize)]
struct RowValue {
    #[serde(flatten)]
    row: RowKey,
    value: String,
}

#[derive(Debug, Deserialize)]
struct RowKey {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
}

impl RowKey {
    fn into_name(self) -> RowName {
        (self.table, self.part, self.key)
    }
}

#[derive(Debug, Deserialize)]
struct RangeQuery {
    table: String,
    #[serde(default)]
    part: String,
    #[serde(default)]
    from: String,
    #[serde(default = "page_rows")]
    limit: usize,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct FeedQuery {
    table: String,
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Default and maximum number of rows in a page.
fn page_rows() -> usize {
    500
}

/// Maximum size of a value that a transaction writes, in bytes.
const ROW_MAX_BYTES: usize = 65_536;

/// Maximum size of a call, in bytes.
const CALL_MAX_BYTES: usize = 1024 * 1024;

/// Interval between checks for changes while a feed request waits.
const FEED_POLL_INTERVAL: Millis = Millis(5);

impl MetadataStore {
    /// Starts the stand-in on a new thread and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn spawn(listen: SocketAddr) -> io::Result<SocketAddr> {
        serve(listen, Arc::new(Self::default()), routes)
    }

    /// Returns whether a transaction is within the rate limit, and counts it if it is.
    fn is_within_rate(&self) -> bool {
        let Some(per_s_max) = self.faults.transactions_per_s_max() else { return true };
        let (mut recent, now) = (lock(&self.recent), Instant::now());
        while recent.front().is_some_and(|at| now >= *at + Duration::from_secs(1)) {
            recent.pop_front();
        }
        let is_within = recent.len() < per_s_max;
        if is_within {
            recent.push_back(now);
        }
        is_within
    }

    fn with_version_and_time(&self, mut answer: Value) -> Value {
        answer["ver"] = lock(&self.rows).version().into();
        answer["nowMs"] = crate::http::unix_ms().into();
        answer
    }
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .state(web::types::JsonConfig::default().limit(CALL_MAX_BYTES))
        .service(web::resource("/v1/rows-tx").route(web::post().to(transact)))
        .service(web::resource("/v1/rows-get").route(web::get().to(get_rows)))
        .service(web::resource("/v1/rows-feed").route(web::get().to(feed)))
        .service(web::resource("/standin/faults").route(web::put().to(put_faults)))
        .service(web::resource("/standin/rows").route(web::put().to(put_row)))
        .service(web::resource("/standin/forget").route(web::put().to(truncate_history)))
        .service(web::resource("/standin/stats").route(web::get().to(get_stats)));
}

type Shared = State<Arc<MetadataStore>>;

async fn transact(store: Shared, transaction: Json<Transaction>) -> HttpResponse {
    if let Some(response) = store.faults.intercept().await {
        return response;
    }
    *lock(&store.transaction_count) += 1;
    if !store.is_within_rate() {
        return HttpResponse::TooManyRequests().finish();
    }
    let Transaction { expected_rev, writes, remove } = transaction.into_inner();
    let expected: Vec<_> =
        expected_rev.into_iter().map(|entry| (entry.row.into_name(), entry.ver)).collect();
    let mut updates: RowUpdates = Vec::new();
    for write in writes {
        let Ok(value) = BASE64.decode(&write.value) else {
            return HttpResponse::BadRequest().body("value is not base64");
        };
        if value.len() > ROW_MAX_BYTES {
            return HttpResponse::PayloadTooLarge().body("value is too large");
        }
        if store.faults.is_unwritable(&write.row.table) {
            return HttpResponse::ServiceUnavailable().finish();
        }
        updates.push((write.row.into_name(), Some(value)));
    }
    updates.extend(remove.into_iter().map(|row| (row.into_name(), None)));
    let outcome = lock(&store.rows).transact(&expected, updates);
    if store.faults.consume_lost_answer() {
        return HttpResponse::GatewayTimeout().force_close().finish();
    }
    let response = transaction_response(&store, outcome);
    store.faults.hold_answer().await;
    response
}

fn transaction_response(
    store: &MetadataStore,
    outcome: Result<u64, Vec<(RowName, VersionedRow)>>,
) -> HttpResponse {
    match outcome {
        Ok(version) => {
            let mut answer = store.with_version_and_time(json!({}));
            answer["ver"] = version.into();
            HttpResponse::Ok().json(&answer)
        }
        Err(current) => {
            let rows: Vec<Value> =
                current.iter().map(|(name, row)| row_json(name, &row.value, row.version)).collect();
            HttpResponse::PreconditionFailed()
                .json(&store.with_version_and_time(json!({ "rows": rows })))
        }
    }
}

fn row_json(name: &RowName, value: &[u8], version: u64) -> Value {
    json!({
        "table": name.0,
        "part": name.1,
        "key": name.2,
        "value": BASE64.encode(value),
        "ver": version,
    })
}

async fn get_rows(store: Shared, query: Query<RangeQuery>) -> HttpResponse {
    if let Some(response) = store.faults.intercept().await {
        return response;
    }
    *lock(&store.reads).entry(query.table.clone()).or_default() += 1;
    if store.faults.is_unreadable(&query.table) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let (page, has_more) = {
        let tables = lock(&store.rows);
        let mut rows = tables.range(&query.table, &query.part, &query.from);
        let page: Vec<Value> = rows
            .by_ref()
            .take(query.limit.min(page_rows()))
            .map(|(name, row)| row_json(name, &row.value, row.version))
            .collect();
        (page, rows.next().is_some())
    };
    let answer = store.with_version_and_time(json!({ "rows": page, "hasMore": has_more }));
    store.faults.hold_answer().await;
    HttpResponse::Ok().json(&answer)
}

async fn feed(store: Shared, query: Query<FeedQuery>) -> HttpResponse {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        if let Some(response) = store.faults.intercept().await {
            return response;
        }
        let Some(changes) = lock(&store.rows).changes(&query.table, query.after) else {
            return HttpResponse::Gone().finish();
        };
        if !changes.is_empty() || Instant::now() >= deadline {
            let rows: Vec<Value> = changes
                .iter()
                .map(|change| {
                    let name = (query.table.clone(), change.part.clone(), change.key.clone());
                    let value = change.value.clone().unwrap_or_default();
                    let mut row = row_json(&name, &value, change.version);
                    row["tombstone"] = change.is_removed.into();
                    row
                })
                .collect();
            let answer = store.with_version_and_time(json!({ "rows": rows }));
            store.faults.hold_answer().await;
            return HttpResponse::Ok().json(&answer);
        }
        sleep(FEED_POLL_INTERVAL).await;
    }
}

async fn put_faults(store: Shared, faults: Json<StoreFaults>) -> HttpResponse {
    store.faults.set(faults.into_inner());
    HttpResponse::NoContent().finish()
}

/// Unconditional write by a test that acts as the operator or a backend server.
///
/// The row's partition is the empty string. `value` is stored as JSON text, `bytes` as they are; if
/// both are absent or null, the row is removed.
#[derive(Debug, Deserialize)]
struct DirectWrite {
    table: String,
    key: String,
    value: Option<Value>,
    bytes: Option<Vec<u8>>,
}

async fn put_row(store: Shared, body: Bytes) -> HttpResponse {
    let Ok(write) = serde_json::from_slice::<DirectWrite>(&body) else {
        return HttpResponse::BadRequest().body("not a write; send table, key and value or bytes");
    };
    let name = (write.table, String::new(), write.key);
    let value = write.bytes.or(write.value.map(|value| value.to_string().into_bytes()));
    let outcome = lock(&store.rows).transact(&[], vec![(name, value)]);
    match outcome {
        Ok(version) => HttpResponse::Ok().json(&json!({ "ver": version })),
        Err(_) => HttpResponse::PreconditionFailed().finish(),
    }
}

/// Reads the body although it is ignored: a connection that is closed with unread bytes is reset, and
/// the caller may not get the response.
async fn truncate_history(store: Shared, _body: Bytes) -> HttpResponse {
    lock(&store.rows).truncate_history();
    HttpResponse::NoContent().finish()
}

async fn get_stats(store: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&json!({
        "transactions": *lock(&store.transaction_count),
        "reads": *lock(&store.reads),
    }))
}
