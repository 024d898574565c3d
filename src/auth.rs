//! Authorisation of operators by bearer token. Each token belongs to a team and has one role.

#[cfg(test)]
mod auth_tests;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::platform::{Platform, PlatformError};
use crate::sheet::hex;
use crate::table::{CommitOutcome, Transaction, ABSENT_VERSION};

const TOKEN_BYTES: usize = 24;
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

/// Checks tokens against the platform's table, and remembers the identities of known ones for its outages.
pub(crate) struct Authenticator {
    platform: Arc<dyn Platform>,
    /// Digests of the bootstrap token and the development token, which are not in the platform's table.
    builtin_digests: Vec<String>,
    /// Identity of each known token, by the token's digest.
    cache: Mutex<HashMap<String, Identity>>,
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
        Authenticator { platform, builtin_digests, cache: Mutex::default() }
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

    /// Looks up an identity by the digest of its token. The table is read each time, so that a token revoked through
    /// another daemon is refused at once. While the platform is unavailable, a token stays valid that was known before.
    fn identify(&self, digest: &str) -> Result<Identity, AuthError> {
        if self.builtin_digests.iter().any(|builtin| builtin == digest) {
            return Ok(Identity { team: BOOTSTRAP_TEAM.into(), role: Role::Admin });
        }
        match self.platform.read(&token_key(digest)) {
            Ok(Some(row)) => {
                let identity: Identity = serde_json::from_str(&row.value).map_err(|_| AuthError::UnknownToken)?;
                self.cache_identity(digest, &identity);
                Ok(identity)
            }
            Ok(None) => {
                self.lock_cache().remove(digest);
                Err(AuthError::UnknownToken)
            }
            Err(error) => self.lock_cache().get(digest).cloned().ok_or(error.into()),
        }
    }

    fn cache_identity(&self, digest: &str, identity: &Identity) {
        let mut cache = self.lock_cache();
        if cache.len() >= MAX_CACHED_IDENTITIES {
            cache.clear();
        }
        cache.insert(digest.to_owned(), identity.clone());
    }

    fn lock_cache(&self) -> std::sync::MutexGuard<'_, HashMap<String, Identity>> {
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
        self.lock_cache().retain(|_, identity| &*identity.team != team);
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
