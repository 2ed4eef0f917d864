//! Stand-in for the platform: table service, object store and VM list over HTTP, with injected
//! faults.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dandelionfront_coordination::platform::{KeyQuery, ScanQuery, Transaction, Vm};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, types::Json, types::Query, types::State};
use serde::{Deserialize, Serialize};

use crate::faults::{FaultInjector, StoreFaults};
use crate::http::serve;
use crate::table::MemoryTable;

/// Numbers of requests served.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Reads of rows and ranges.
    pub reads: AtomicU64,
    /// Transactions.
    pub writes: AtomicU64,
    /// Reads and writes of objects.
    pub objects: AtomicU64,
}

/// The platform stand-in.
#[derive(Debug, Default)]
pub struct Platform {
    memory: Arc<MemoryTable>,
    faults: FaultInjector,
    stats: PlatformStats,
}

impl Platform {
    /// Serves the stand-in on a thread of its own and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn spawn(listen: SocketAddr) -> io::Result<SocketAddr> {
        serve(listen, Arc::new(Self::default()), routes)
    }
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/v1/table/row").route(web::get().to(get_row)))
        .service(web::resource("/v1/table/rows").route(web::get().to(get_rows)))
        .service(web::resource("/v1/table/transactions").route(web::post().to(transact)))
        .service(
            web::resource("/v1/objects/{key}*")
                .route(web::get().to(get_object))
                .route(web::put().to(put_object))
                .route(web::delete().to(delete_object)),
        )
        .service(
            web::resource("/v1/vms").route(web::get().to(get_vms)).route(web::put().to(put_vms)),
        )
        .service(web::resource("/v1/faults").route(web::put().to(put_faults)))
        .service(web::resource("/v1/stats").route(web::get().to(get_stats)));
}

type Shared = State<Arc<Platform>>;

async fn get_row(platform: Shared, query: Query<KeyQuery>) -> HttpResponse {
    if let Some(response) = platform.faults.intercept().await {
        return response;
    }
    platform.stats.reads.fetch_add(1, Ordering::Relaxed);
    HttpResponse::Ok().json(&platform.memory.read(query.table, &query.key))
}

async fn get_rows(platform: Shared, query: Query<ScanQuery>) -> HttpResponse {
    if let Some(response) = platform.faults.intercept().await {
        return response;
    }
    platform.stats.reads.fetch_add(1, Ordering::Relaxed);
    let rows = platform.memory.read_range(query.table, &query.prefix, &query.after, query.limit);
    HttpResponse::Ok().json(&rows)
}

async fn transact(platform: Shared, transaction: Json<Transaction>) -> HttpResponse {
    if let Some(response) = platform.faults.intercept().await {
        return response;
    }
    platform.stats.writes.fetch_add(1, Ordering::Relaxed);
    let outcome = platform.memory.apply(&transaction);
    if platform.faults.consume_lost_answer() {
        return HttpResponse::GatewayTimeout().force_close().finish();
    }
    HttpResponse::Ok().json(&outcome)
}

fn object_key(request: &HttpRequest) -> String {
    request.path().trim_start_matches("/v1/objects/").to_owned()
}

async fn get_object(platform: Shared, request: HttpRequest) -> HttpResponse {
    if let Some(response) = platform.faults.intercept().await {
        return response;
    }
    platform.stats.objects.fetch_add(1, Ordering::Relaxed);
    match platform.memory.get_object(&object_key(&request)) {
        Some(bytes) => HttpResponse::Ok().body(bytes),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put_object(platform: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    if let Some(response) = platform.faults.intercept().await {
        return response;
    }
    platform.stats.objects.fetch_add(1, Ordering::Relaxed);
    platform.memory.put_object(&object_key(&request), body.to_vec());
    HttpResponse::NoContent().finish()
}

async fn delete_object(platform: Shared, request: HttpRequest) -> HttpResponse {
    if let Some(response) = platform.faults.intercept().await {
        return response;
    }
    platform.memory.delete_object(&object_key(&request));
    HttpResponse::NoContent().finish()
}

async fn get_vms(platform: Shared) -> HttpResponse {
    if let Some(response) = platform.faults.intercept().await {
        return response;
    }
    HttpResponse::Ok().json(&platform.memory.list_vms())
}

async fn put_vms(platform: Shared, vms: Json<Vec<Vm>>) -> HttpResponse {
    platform.memory.set_vms(vms.into_inner());
    HttpResponse::NoContent().finish()
}

async fn put_faults(platform: Shared, faults: Json<StoreFaults>) -> HttpResponse {
    platform.faults.set(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn get_stats(platform: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&platform.stats)
}
