//! Organisations that share the fleet: their keys, weights and quotas.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, OnceLock};

use sha2::{Digest, Sha256};

use super::model::Resources;

/// An organisation of the current configuration.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Organisation {
    pub(crate) name: Arc<str>,
    /// Weight of its fair share in relation to the other organisations. Also its guaranteed rate, in jobs per second: jobs
    /// within it are placed before those beyond it.
    pub(crate) weight: f64,
    /// Its quota: what its runs may hold at the same time; [`u64::MAX`] where there is no limit.
    pub(crate) cap: Resources,
}

/// An invalid organisation in a configuration; the text names the field and the fix.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(crate) enum InvalidOrganisation {
    #[error("organisation {index} ({name}): {field} must not be negative")]
    Negative { index: usize, name: Arc<str>, field: &'static str },
    #[error("organisation {index} ({name}): the name is used twice; each organisation needs its own")]
    DuplicateName { index: usize, name: Arc<str> },
    #[error("organisations {first} and {second} have a key in common; each key must belong to one organisation")]
    SharedKey { first: Arc<str>, second: Arc<str> },
}

/// The organisations of a configuration, by name, and their keys. Empty if the fleet is not shared.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Organisations {
    by_name: HashMap<Arc<str>, Arc<Organisation>>,
    keys: KeyRing,
}

impl Organisations {
    /// Adds an organisation with its keys. An organisation without keys is valid, but nobody can call on its behalf.
    pub(crate) fn add<'a>(
        &mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = &'a str>,
    ) -> Result<(), InvalidOrganisation> {
        let name = organisation.name.clone();
        if self.by_name.contains_key(&name) {
            return Err(InvalidOrganisation::DuplicateName { index: self.by_name.len(), name });
        }
        for key in keys {
            self.keys.add(KeyDigest::of(key), &name)?;
        }
        self.by_name.insert(name, Arc::new(organisation));
        Ok(())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// All organisations, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// The organisation to which a key belongs.
    pub(crate) fn owner_of(&self, key: KeyDigest) -> Option<&Arc<str>> {
        self.keys.owners.get(&key)
    }
}

/// Digest of a key under a secret of this process. Digests are looked up in place of keys, so that neither the memory nor
/// the time of a comparison tells anything about a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct KeyDigest([u8; 32]);

impl KeyDigest {
    pub(crate) fn of(key: &str) -> KeyDigest {
        static SECRET: OnceLock<[u8; 32]> = OnceLock::new();
        let mut hash = Sha256::new();
        hash.update(SECRET.get_or_init(rand::random));
        hash.update(key.as_bytes());
        KeyDigest(hash.finalize().into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Names of the organisations to which keys belong.
#[derive(Clone, Default, PartialEq)]
struct KeyRing {
    owners: HashMap<KeyDigest, Arc<str>>,
}

impl KeyRing {
    fn add(&mut self, key: KeyDigest, organisation: &Arc<str>) -> Result<(), InvalidOrganisation> {
        match self.owners.insert(key, organisation.clone()) {
            Some(other) if other != *organisation => {
                Err(InvalidOrganisation::SharedKey { first: other, second: organisation.clone() })
            }
            _ => Ok(()),
        }
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({} keys)", self.owners.len())
    }
}
