//! Tokens of operators, by team and role.

#[cfg(test)]
mod auth_tests;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::clock::{Clock, US_PER_S};
use crate::platform::{Platform, PlatformError};
use crate::sheet::hex;
use crate::table::{CommitOutcome, Transaction, ABSENT};

const TOKEN_BYTES: usize = 24;
/// A token is looked up again after this time; sooner if it was unknown.
const CACHE_US: u64 = 30 * US_PER_S;
const MAX_CACHED_TOKENS: usize = 4_096;
const BOOTSTRAP_TEAM: &str = "bootstrap";
const DEVELOPMENT_TOKEN: &str = "development";

/// What a token allows; each role includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Reads.
    Viewer,
    /// Applies sheets and steers waves.
    Operator,
    /// Issues and withdraws tokens.
    Admin,
}

/// Whom a token belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Team of the operator.
    pub team: Arc<str>,
    /// What the operator may do.
    pub role: Role,
}

/// Why a request was not authorised.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum AuthError {
    #[error("the token is missing; set SARDINESEAM_TOKEN")]
    Missing,
    #[error("the token is not known; ask an admin for one and set SARDINESEAM_TOKEN")]
    Unknown,
    #[error("the token's role is {held:?}, and this needs {needed:?}")]
    Role { held: Role, needed: Role },
    #[error("the token cannot be checked now: {0}")]
    Platform(#[from] PlatformError),
}

#[derive(Debug, Clone)]
struct Cached {
    identity: Identity,
    checked_at_us: u64,
}

/// Checks tokens against the platform's table and remembers those that it knows.
pub(crate) struct Authenticator {
    platform: Arc<dyn Platform>,
    clock: Clock,
    /// Digests of the tokens that the daemon itself knows.
    fixed: Vec<String>,
    cache: Mutex<HashMap<String, Cached>>,
}

impl Authenticator {
    pub(crate) fn new(platform: Arc<dyn Platform>, bootstrap_token: Option<&str>, development: bool) -> Authenticator {
        let mut fixed: Vec<String> = bootstrap_token.map(digest).into_iter().collect();
        if development {
            fixed.push(digest(DEVELOPMENT_TOKEN));
        }
        Authenticator { platform, clock: Clock::new(), fixed, cache: Mutex::default() }
    }

    /// Finds out whose token it is, and whether it allows what `needed` allows.
    pub(crate) fn check(&self, token: Option<&str>, needed: Role) -> Result<Identity, AuthError> {
        let token = token.filter(|token| !token.is_empty()).ok_or(AuthError::Missing)?;
        let identity = self.identify(&digest(token))?;
        if identity.role < needed {
            return Err(AuthError::Role { held: identity.role, needed });
        }
        Ok(identity)
    }

    /// While the platform is out of reach, tokens that were known before stay valid.
    fn identify(&self, digest: &str) -> Result<Identity, AuthError> {
        if self.fixed.iter().any(|fixed| fixed == digest) {
            return Ok(Identity { team: BOOTSTRAP_TEAM.into(), role: Role::Admin });
        }
        let now_us = self.clock.now_us();
        let cached = self.lock().get(digest).cloned();
        if let Some(cached) = &cached {
            if now_us < cached.checked_at_us + CACHE_US {
                return Ok(cached.identity.clone());
            }
        }
        match (self.platform.read(&token_key(digest)), cached) {
            (Ok(Some(row)), _) => {
                let identity: Identity = serde_json::from_str(&row.value).map_err(|_| AuthError::Unknown)?;
                self.remember(digest, &identity, now_us);
                Ok(identity)
            }
            (Ok(None), _) => {
                self.lock().remove(digest);
                Err(AuthError::Unknown)
            }
            (Err(_), Some(cached)) => Ok(cached.identity),
            (Err(error), None) => Err(error.into()),
        }
    }

    fn remember(&self, digest: &str, identity: &Identity, now_us: u64) {
        let mut cache = self.lock();
        if cache.len() >= MAX_CACHED_TOKENS {
            cache.clear();
        }
        cache.insert(digest.to_owned(), Cached { identity: identity.clone(), checked_at_us: now_us });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Cached>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Issues a token. It is shown once; the table keeps its digest only.
    pub(crate) fn issue(&self, identity: &Identity) -> Result<String, PlatformError> {
        let mut bytes = [0_u8; TOKEN_BYTES];
        getrandom::fill(&mut bytes).map_err(|error| PlatformError::Unavailable {
            operation: "issue token",
            reason: format!("no random numbers: {error}"),
        })?;
        let token = hex(&bytes);
        let key = token_key(&digest(&token));
        let value = serde_json::to_string(identity).unwrap_or_default();
        match self.platform.commit(&Transaction::new().require_version(&key, ABSENT).put(&key, &value))? {
            CommitOutcome::Committed { .. } => Ok(token),
            CommitOutcome::Conflict { .. } => Err(PlatformError::Unavailable {
                operation: "issue token",
                reason: "another token has the same digest; try again".to_owned(),
            }),
        }
    }

    /// Withdraws every token of a team; returns their number.
    pub(crate) fn withdraw(&self, team: &str) -> Result<usize, PlatformError> {
        let mut transaction = Transaction::new();
        for row in self.platform.scan(TOKEN_PREFIX)? {
            let Ok(identity) = serde_json::from_str::<Identity>(&row.value) else { continue };
            if &*identity.team == team {
                transaction = transaction.delete(&row.key);
            }
        }
        let count = transaction.writes.len();
        if count > 0 {
            self.platform.commit(&transaction)?;
        }
        self.lock().retain(|_, cached| &*cached.identity.team != team);
        Ok(count)
    }
}

const TOKEN_PREFIX: &str = "tokens/";

fn token_key(digest: &str) -> String {
    format!("{TOKEN_PREFIX}{digest}")
}

fn digest(token: &str) -> String {
    hex(&Sha256::digest(token.as_bytes()))
}
