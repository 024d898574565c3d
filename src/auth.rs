//! Authorisation of operators by bearer token. Each token belongs to a team and has one role.

#[cfg(test)]
mod auth_tests;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::clock::{Clock, US_PER_S};
use crate::platform::{Platform, PlatformError};
use crate::sheet::hex;
use crate::table::{CommitOutcome, Transaction, ABSENT_VERSION};

const TOKEN_BYTES: usize = 24;
/// How long a cached identity is used without reading the platform's table. Unknown tokens are not cached.
const CACHE_TTL_US: u64 = 30 * US_PER_S;
const MAX_CACHED_IDENTITIES: usize = 4_096;
const BOOTSTRAP_TEAM: &str = "bootstrap";
const DEVELOPMENT_TOKEN: &str = "development";

/// Permissions of a token; each role includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// May read the daemon's state and the sheet.
    Viewer,
    /// May apply sheets, which set the pools and the maintenance waves.
    Operator,
    /// May issue and revoke tokens.
    Admin,
}

/// Owner and permissions of a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Team of the operator.
    pub team: Arc<str>,
    /// Permissions of the operator.
    pub role: Role,
}

/// Why a request was not authorised. The messages are sent to the client.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum AuthError {
    #[error("the token is missing; set SARDINESEAM_TOKEN")]
    MissingToken,
    #[error("the token is not known; ask an admin for one and set SARDINESEAM_TOKEN")]
    UnknownToken,
    #[error("the token's role is {held:?}, and this needs {needed:?}")]
    InsufficientRole { held: Role, needed: Role },
    #[error("the token cannot be checked now: {0}")]
    Platform(#[from] PlatformError),
}

#[derive(Debug, Clone)]
struct CachedIdentity {
    identity: Identity,
    /// When the identity was last read from the platform's table.
    checked_at_us: u64,
}

/// Checks tokens against the platform's table and caches the identities of known ones.
pub(crate) struct Authenticator {
    platform: Arc<dyn Platform>,
    clock: Clock,
    /// Digests of the bootstrap token and the development token, which are not in the platform's table.
    builtin_digests: Vec<String>,
    cache: Mutex<HashMap<String, CachedIdentity>>,
}

impl Authenticator {
    pub(crate) fn new(
        platform: Arc<dyn Platform>,
        bootstrap_token: Option<&str>,
        accept_development_token: bool,
    ) -> Authenticator {
        let mut builtin_digests: Vec<String> = bootstrap_token.map(digest).into_iter().collect();
        if accept_development_token {
            builtin_digests.push(digest(DEVELOPMENT_TOKEN));
        }
        Authenticator { platform, clock: Clock::new(), builtin_digests, cache: Mutex::default() }
    }

    /// Identifies the token's owner and checks that its role includes `needed`.
    pub(crate) fn authorise(&self, token: Option<&str>, needed: Role) -> Result<Identity, AuthError> {
        let token = token.filter(|token| !token.is_empty()).ok_or(AuthError::MissingToken)?;
        let identity = self.identify(&digest(token))?;
        if identity.role < needed {
            return Err(AuthError::InsufficientRole { held: identity.role, needed });
        }
        Ok(identity)
    }

    /// Looks up an identity by the digest of its token. While the platform is unavailable, a cached identity stays
    /// valid past its time to live.
    fn identify(&self, digest: &str) -> Result<Identity, AuthError> {
        if self.builtin_digests.iter().any(|builtin| builtin == digest) {
            return Ok(Identity { team: BOOTSTRAP_TEAM.into(), role: Role::Admin });
        }
        let now_us = self.clock.now_us();
        let cached = self.lock_cache().get(digest).cloned();
        if let Some(cached) = &cached {
            if now_us < cached.checked_at_us + CACHE_TTL_US {
                return Ok(cached.identity.clone());
            }
        }
        match (self.platform.read(&token_key(digest)), cached) {
            (Ok(Some(row)), _) => {
                let identity: Identity = serde_json::from_str(&row.value).map_err(|_| AuthError::UnknownToken)?;
                self.cache_identity(digest, &identity, now_us);
                Ok(identity)
            }
            (Ok(None), _) => {
                self.lock_cache().remove(digest);
                Err(AuthError::UnknownToken)
            }
            (Err(_), Some(cached)) => Ok(cached.identity),
            (Err(error), None) => Err(error.into()),
        }
    }

    fn cache_identity(&self, digest: &str, identity: &Identity, now_us: u64) {
        let mut cache = self.lock_cache();
        if cache.len() >= MAX_CACHED_IDENTITIES {
            cache.clear();
        }
        cache.insert(digest.to_owned(), CachedIdentity { identity: identity.clone(), checked_at_us: now_us });
    }

    fn lock_cache(&self) -> std::sync::MutexGuard<'_, HashMap<String, CachedIdentity>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Issues a token. The platform's table stores only its digest, so the token cannot be read again.
    pub(crate) fn issue(&self, identity: &Identity) -> Result<String, PlatformError> {
        let mut bytes = [0_u8; TOKEN_BYTES];
        getrandom::fill(&mut bytes).map_err(|error| PlatformError::Unavailable {
            operation: "issue token",
            reason: format!("no random numbers: {error}"),
        })?;
        let token = hex(&bytes);
        let key = token_key(&digest(&token));
        let value = serde_json::to_string(identity).unwrap_or_default();
        match self.platform.commit(&Transaction::new().require_version(&key, ABSENT_VERSION).put(&key, &value))? {
            CommitOutcome::Committed { .. } => Ok(token),
            CommitOutcome::Conflict { .. } => Err(PlatformError::Unavailable {
                operation: "issue token",
                reason: "another token has the same digest; try again".to_owned(),
            }),
        }
    }

    /// Revokes all tokens of a team and returns their number.
    pub(crate) fn revoke(&self, team: &str) -> Result<usize, PlatformError> {
        let mut transaction = Transaction::new();
        for row in self.platform.scan(TOKEN_KEY_PREFIX)? {
            let Ok(identity) = serde_json::from_str::<Identity>(&row.value) else { continue };
            if &*identity.team == team {
                transaction = transaction.delete(&row.key);
            }
        }
        let count = transaction.writes.len();
        if count > 0 {
            self.platform.commit(&transaction)?;
        }
        self.lock_cache().retain(|_, cached| &*cached.identity.team != team);
        Ok(count)
    }
}

const TOKEN_KEY_PREFIX: &str = "tokens/";

fn token_key(digest: &str) -> String {
    format!("{TOKEN_KEY_PREFIX}{digest}")
}

fn digest(token: &str) -> String {
    hex(&Sha256::digest(token.as_bytes()))
}
