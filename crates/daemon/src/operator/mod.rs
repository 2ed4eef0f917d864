//! HTTP API for operators: configuration, keys, backend servers, programs, status, metrics and
//! health checks.

mod config;
mod status;

use std::rc::Rc;

use ntex::web::{self, HttpResponse, types::State};

use crate::process::Worker;

/// Registers the handlers of the operator listener.
pub fn routes(service: &mut web::ServiceConfig) {
    service
        .service(web::resource("/healthz").route(web::get().to(healthz)))
        .service(web::resource("/readyz").route(web::get().to(readyz)))
        .service(web::resource("/metrics").route(web::get().to(metrics)))
        .service(web::resource("/v1/status").route(web::get().to(status::get_status)))
        .service(
            web::resource("/v1/config")
                .route(web::get().to(config::get_config))
                .route(web::post().to(config::publish)),
        )
        .service(web::resource("/v1/config/history").route(web::get().to(config::get_history)))
        .service(web::resource("/v1/keys").route(web::post().to(config::issue_key)))
        .service(web::resource("/v1/keys/{name}").route(web::delete().to(config::withdraw_key)))
        .service(
            web::resource("/v1/backends/{name}/drain").route(web::post().to(config::drain_backend)),
        )
        .service(
            web::resource("/v1/programs/{id}")
                .route(web::get().to(status::get_program))
                .route(web::delete().to(status::cancel_program)),
        );
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("ok\n")
}

/// Readiness check, by which the load balancer decides whether to send new connections.
async fn readyz(worker: State<Rc<Worker>>) -> HttpResponse {
    let reason = if worker.shared.is_draining() {
        "draining"
    } else if worker.shared.config().version() == 0 {
        "no configuration"
    } else {
        return HttpResponse::Ok().content_type("text/plain").body("ready\n");
    };
    HttpResponse::ServiceUnavailable().content_type("text/plain").body(format!("{reason}\n"))
}

async fn metrics(worker: State<Rc<Worker>>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(worker.shared.metrics.text())
}
