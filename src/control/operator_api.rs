//! Answers operators' questions about jobs, organisations, pools and workers, on the address of the metrics.
//!
//! Only the leader knows the answers. Any other daemon names the leader, as far as it knows which daemon leads.

#[cfg(test)]
mod operator_api_tests;

use std::rc::Rc;

use http::{Method, Response, StatusCode};
use http_body_util::Full;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;

use super::http_api::{json, status_response};
use super::ControlDaemon;
use crate::clock::US_PER_S;
use crate::http_server::{Body, Handler};
use crate::sched::scheduler::Scheduler;

/// What an operator asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resource<'a> {
    Job(&'a str),
    Organisations,
    Pools,
    Workers {
        /// Only the workers of this pool.
        pool: Option<&'a str>,
    },
}

impl<'a> Resource<'a> {
    /// The resource at a path; `None` for all other paths, which serve the metrics.
    fn at(path: &'a str, query: Option<&'a str>) -> Option<Resource<'a>> {
        match path.trim_end_matches('/') {
            "/jobs" => Some(Resource::Job("")),
            "/organisations" => Some(Resource::Organisations),
            "/pools" => Some(Resource::Pools),
            "/workers" => Some(Resource::Workers { pool: query.and_then(|query| query.strip_prefix("pool=")) }),
            other => other.strip_prefix("/jobs/").map(Resource::Job),
        }
    }
}

/// Response body of a daemon that does not lead.
#[derive(Debug, Serialize)]
struct NotLeading<'a> {
    error: String,
    /// Name of the daemon that leads, if it is known.
    leader: Option<&'a str>,
}

/// Serves operators, and the metrics of the process.
pub(super) fn handler(daemon: &Rc<ControlDaemon>, metrics: PrometheusHandle) -> Handler {
    let daemon = daemon.clone();
    Rc::new(move |request| {
        let response = match Resource::at(request.uri().path(), request.uri().query()) {
            None => {
                record_configuration_gauges(&daemon);
                Response::new(Full::new(metrics.render().into()))
            }
            Some(_) if request.method() != Method::GET => status_response(StatusCode::METHOD_NOT_ALLOWED, "GET"),
            Some(resource) => answer_as(&daemon, resource),
        };
        Box::pin(async move { response })
    })
}

/// Shows the version in force, and how long ago the store has confirmed that it is the newest one.
fn record_configuration_gauges(daemon: &ControlDaemon) {
    let configuration = daemon.configuration.borrow();
    let Some(catalog) = configuration.catalog() else { return };
    metrics::gauge!("configuration_version").set(catalog.version as f64);
    metrics::gauge!("configuration_queues").set(catalog.queues.len() as f64);
    let age_us = configuration.age_us(daemon.now_us());
    metrics::gauge!("configuration_age_seconds").set(age_us as f64 / US_PER_S as f64);
}

fn answer_as(daemon: &Rc<ControlDaemon>, resource: Resource<'_>) -> Response<Body> {
    let leader = daemon.leader.borrow().clone().filter(|leader| !leader.has_ended.get());
    match leader {
        Some(leader) => answer(&leader.scheduler.borrow(), leader.now_us(), resource),
        None => not_leading(&daemon.settings.name, daemon.known_leader.borrow().as_deref()),
    }
}

fn answer(scheduler: &Scheduler, now_us: u64, resource: Resource<'_>) -> Response<Body> {
    match resource {
        Resource::Job(id) => match scheduler.job_view(now_us, id) {
            Some(view) => json_response(&view),
            None => unknown_job(scheduler, id),
        },
        Resource::Organisations => json_response(&scheduler.organisation_views()),
        Resource::Pools => json_response(&scheduler.pool_views(now_us)),
        Resource::Workers { pool } => json_response(&scheduler.worker_views(now_us, pool)),
    }
}

fn json_response(view: &impl Serialize) -> Response<Body> {
    match serde_json::to_string(view) {
        Ok(text) => json(StatusCode::OK, text),
        Err(error) => status_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("cannot encode the answer: {error}")),
    }
}

fn unknown_job(scheduler: &Scheduler, id: &str) -> Response<Body> {
    let error = match scheduler.has_job(id) {
        true => format!("job {id} has finished and has been removed; sardineseam job show {id} tells how it ended"),
        false => format!("the leader knows no job {id}"),
    };
    status_response(StatusCode::NOT_FOUND, &error)
}

fn not_leading(own_name: &str, leader: Option<&str>) -> Response<Body> {
    let error = match leader {
        Some(leader) if leader == own_name => format!("{own_name} is taking over leadership; ask again"),
        Some(leader) => format!("{own_name} does not lead; ask {leader}"),
        None => format!("{own_name} does not lead, and does not know which daemon does"),
    };
    // Serializing strings cannot fail.
    let body = serde_json::to_string(&NotLeading { error, leader }).unwrap_or_default();
    json(StatusCode::SERVICE_UNAVAILABLE, body)
}
