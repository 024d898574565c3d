//! Decides on whose behalf a caller's request is made, from the key that it carries.

#[cfg(test)]
mod access_tests;

use std::sync::Arc;

use http::header::AUTHORIZATION;
use http::HeaderMap;

use crate::sched::model::{Catalog, Queue};
use crate::sched::organisation::KeyDigest;

const SCHEME: &str = "bearer";

/// Who sent a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Caller {
    /// The queue is open to everybody; its jobs belong to no organisation.
    Anyone,
    Organisation {
        name: Arc<str>,
        key: KeyDigest,
    },
}

impl Caller {
    pub(super) fn organisation(&self) -> Option<&Arc<str>> {
        match self {
            Caller::Anyone => None,
            Caller::Organisation { name, .. } => Some(name),
        }
    }
}

/// Why a request is not authorised; the text is sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum AccessError {
    #[error("this queue needs a key: Authorization: Bearer KEY")]
    MissingKey,
    #[error("the Authorization header must occur once, in the form: Bearer KEY")]
    Malformed,
    #[error("the key is not known, or has been withdrawn")]
    UnknownKey,
    /// The key may have been withdrawn by a configuration that this daemon has not read.
    #[error("keys cannot be checked now")]
    Unconfirmed,
}

impl AccessError {
    /// Label value in metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            AccessError::MissingKey => "missing_key",
            AccessError::Malformed => "malformed_key",
            AccessError::UnknownKey => "unknown_key",
            AccessError::Unconfirmed => "unconfirmed_configuration",
        }
    }
}

/// Finds the caller of a request to a queue. A queue that requires no key ignores any that is sent. `is_confirmed` tells
/// whether keys may be accepted according to `catalog`.
pub(super) fn authorize(
    catalog: &Catalog,
    is_confirmed: bool,
    queue: &Queue,
    headers: &HeaderMap,
) -> Result<Caller, AccessError> {
    if !queue.requires_key {
        return Ok(Caller::Anyone);
    }
    let key = KeyDigest::of(bearer_key(headers)?);
    if !is_confirmed {
        return Err(AccessError::Unconfirmed);
    }
    match catalog.organisations.owner_of(key) {
        Some(name) => Ok(Caller::Organisation { name: name.clone(), key }),
        None => Err(AccessError::UnknownKey),
    }
}

/// Checks whether the caller of a request that was authorised under an earlier configuration still may use its queue. The
/// queue may have been removed since: then its callers need what they needed before.
pub(super) fn reauthorize(
    catalog: &Catalog,
    is_confirmed: bool,
    queue: &str,
    caller: &Caller,
) -> Result<(), AccessError> {
    let requires_key = catalog.queue(queue).map_or(caller.organisation().is_some(), |queue| queue.requires_key);
    if !requires_key {
        return Ok(());
    }
    let Caller::Organisation { name, key } = caller else { return Err(AccessError::MissingKey) };
    if !is_confirmed {
        return Err(AccessError::Unconfirmed);
    }
    if catalog.organisations.owner_of(*key) != Some(name) {
        return Err(AccessError::UnknownKey);
    }
    Ok(())
}

/// The key in the request's only Authorization header. With two of them it would be unclear which one counts.
fn bearer_key(headers: &HeaderMap) -> Result<&str, AccessError> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or(AccessError::MissingKey)?;
    if values.next().is_some() {
        return Err(AccessError::Malformed);
    }
    let text = value.to_str().map_err(|_| AccessError::Malformed)?;
    let (scheme, key) = text.trim().split_once(' ').ok_or(AccessError::Malformed)?;
    let key = key.trim_start();
    if !scheme.eq_ignore_ascii_case(SCHEME) || key.is_empty() || key.contains(' ') {
        return Err(AccessError::Malformed);
    }
    Ok(key)
}
