//! Client of the advice service of the users' platform. The service decides which workers may run the tasks of a step
//! and issues tickets for them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::http_client::{HttpCall, HttpClient};
use super::limits::bounded_ms;
use crate::sched::model::Advice;

/// Includes the time that a call waits for earlier ones, because the service handles one call at a time.
const CALL_TIMEOUT_MS: u64 = 4_000;

#[derive(Serialize)]
struct AdviceRequest<'a> {
    step: String,
    workers: Vec<&'a str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct AdviceResponse {
    // Each allowed worker with its ticket.
    good: Vec<(Arc<str>, Arc<str>)>,
    valid_ms: Option<u64>,
}

/// Client of the advice service. Clones share the HTTP client.
#[derive(Clone)]
pub(crate) struct AdviceClient {
    http_client: Rc<HttpClient>,
    address: SocketAddr,
}

impl AdviceClient {
    pub(crate) fn new(http_client: Rc<HttpClient>, address: SocketAddr) -> AdviceClient {
        AdviceClient { http_client, address }
    }

    /// Asks which of `workers` may run the tasks of a step in one occurrence of a job. An error is the text to log.
    pub(crate) async fn request_advice(
        &self,
        job: &str,
        occurrence: u32,
        step: u32,
        workers: &[Arc<str>],
    ) -> Result<Advice, String> {
        let workers = workers.iter().map(|worker| &**worker).collect();
        let body = AdviceRequest { step: format!("{job}.{occurrence}.{step}"), workers };
        // Serializing a struct of strings cannot fail.
        let body = serde_json::to_vec(&body).unwrap_or_default().into();
        let call = HttpCall::post(self.address, "/advise", &[], body, CALL_TIMEOUT_MS);
        let response = self.http_client.send(call).await;
        let response = response.map_err(|failure| format!("{failure:?}"))?;
        if response.status != 200 {
            return Err(format!("HTTP status {}", response.status));
        }
        let response: AdviceResponse = serde_json::from_slice(&response.body).map_err(|error| error.to_string())?;
        Ok(Advice { tickets: response.good, valid_ms: response.valid_ms.map(bounded_ms) })
    }
}
