//! Stand-in for a plain service that records every call it executes.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use clap::Args;
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, types::State};
use serde_json::json;

use crate::http::{RecordedRequest, lock, serve};

/// Settings of the service stand-in.
#[derive(Debug, Clone, Default, Args)]
pub struct ServiceSettings {
    /// Delay between the execution of a call and its answer, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u32,
}

/// The service stand-in.
#[derive(Debug)]
pub struct Service {
    settings: ServiceSettings,
    record: Mutex<Vec<RecordedRequest>>,
}

impl Service {
    /// Serves the stand-in on a thread of its own and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn spawn(listen: SocketAddr, settings: ServiceSettings) -> io::Result<SocketAddr> {
        serve(listen, Arc::new(Self { settings, record: Mutex::default() }), routes)
    }
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/standin/record").route(web::get().to(get_record)))
        .service(web::resource("/{path}*").route(web::route().to(execute)));
}

async fn get_record(service: State<Arc<Service>>) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&service.record))
}

async fn execute(service: State<Arc<Service>>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let path = request.uri().path_and_query().map_or("", |path| path.as_str());
    let number = {
        let mut record = lock(&service.record);
        let number = record.len() as u64 + 1;
        let method = request.method().as_str();
        record.push(RecordedRequest::new(number, method, path, request.headers(), &body));
        number
    };
    if service.settings.delay_ms > 0 {
        sleep(Millis(service.settings.delay_ms)).await;
    }
    let body = String::from_utf8_lossy(&body);
    HttpResponse::Ok().json(&json!({ "execution": number, "path": path, "body": body }))
}
