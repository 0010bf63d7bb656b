//! Whose calls are: the client account of an API key, and the jobs that a call may name.

use std::sync::Arc;

use http::HeaderMap;
use http::header;
use sesamewall_fleet::AccountSpec;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::RouteSpec;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;

/// The caller of a call, by its API key.
pub enum Caller {
    /// The key belongs to this account.
    Account(Arc<AccountSpec>),
    /// The call has no key, or one that is not known, although other calls need one. The error is the
    /// one for such a call.
    Unknown(Error),
    /// The configuration has no accounts.
    Any,
}

impl Caller {
    /// Returns the caller of a call with these headers.
    pub fn of(catalog: &Catalog, headers: &HeaderMap) -> Self {
        if !catalog.requires_keys {
            return Self::Any;
        }
        let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let key = value.and_then(|value| value.split_once(' '));
        match key.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer")) {
            None => Self::Unknown(Error::KeyMissing),
            Some((_, key)) => match catalog.account_of(key.trim()) {
                Some(account) => Self::Account(account.clone()),
                None => Self::Unknown(Error::KeyInvalid),
            },
        }
    }

    /// Returns the account of a request on `route`. A public route needs no key, and a request on it
    /// belongs to the account of its key all the same.
    ///
    /// # Errors
    ///
    /// Returns `KeyMissing` or `KeyInvalid` if the route needs a key.
    pub fn on_route(&self, route: &RouteSpec) -> Result<Option<Arc<AccountSpec>>, Error> {
        match self {
            Self::Account(account) => Ok(Some(account.clone())),
            Self::Unknown(error) if !route.public => Err(error.clone()),
            Self::Unknown(_) | Self::Any => Ok(None),
        }
    }

    /// Returns the accounts among whose jobs a job that the call names is looked for, in this order:
    /// its own account, and none, for jobs that were accepted without a key. Such a job is open to
    /// each account, and without a key while jobs are accepted without one.
    ///
    /// # Errors
    ///
    /// Returns `KeyMissing` or `KeyInvalid` if the call may name no job.
    pub fn job_accounts(&self, catalog: &Catalog) -> Result<Vec<Option<AccountName>>, Error> {
        match self {
            Self::Account(account) => Ok(vec![Some(account.name.clone()), None]),
            Self::Unknown(error) if !catalog.has_public_jobs => Err(error.clone()),
            Self::Unknown(_) | Self::Any => Ok(vec![None]),
        }
    }

    /// Returns the error for a job that was found under none of these accounts.
    pub fn absence(&self, not_found: Error) -> Error {
        match self {
            Self::Unknown(error) => error.clone(),
            Self::Account(_) | Self::Any => not_found,
        }
    }
}
