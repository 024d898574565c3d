//! Asks the advice service which workers may run a step.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::http_client::HttpClient;
use crate::sched::model::Advice;

/// The service answers one call at a time, so a call may wait for those before it.
const CALL_TIMEOUT_MS: u64 = 4_000;

#[derive(Serialize)]
struct AdviceBody<'a> {
    step: String,
    workers: Vec<&'a str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct AdviceReply {
    good: Vec<(Arc<str>, Arc<str>)>,
    valid_ms: Option<u64>,
}

/// See the module.
#[derive(Clone)]
pub(crate) struct AdviceClient {
    http_client: Rc<HttpClient>,
    address: SocketAddr,
}

impl AdviceClient {
    pub(crate) fn new(http_client: Rc<HttpClient>, address: SocketAddr) -> AdviceClient {
        AdviceClient { http_client, address }
    }

    /// `Err` holds the reason why there is no advice yet.
    pub(crate) async fn request_advice(
        &self,
        job: &str,
        occurrence: u32,
        step: u32,
        workers: &[Arc<str>],
    ) -> Result<Advice, String> {
        let workers = workers.iter().map(|worker| &**worker).collect();
        let body = AdviceBody { step: format!("{job}.{occurrence}.{step}"), workers };
        // Plain structs of texts always serialize.
        let body = serde_json::to_vec(&body).unwrap_or_default().into();
        let reply = self.http_client.call(self.address, "POST", "/advise", &[], body, CALL_TIMEOUT_MS).await;
        let reply = reply.map_err(|end| format!("{end:?}"))?;
        if reply.status != 200 {
            return Err(format!("status {}", reply.status));
        }
        let reply: AdviceReply = serde_json::from_slice(&reply.body).map_err(|error| error.to_string())?;
        Ok(Advice { tickets: reply.good, valid_ms: reply.valid_ms })
    }
}
