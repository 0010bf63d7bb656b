//! Shared immutable names and identifiers.

use std::sync::Arc;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(derive_more::Display, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

names! {
    /// Names an instance: one process of the daemon on one machine.
    InstanceName;
    /// Names a failure domain.
    DomainName;
    /// Names a client account.
    AccountName;
    /// Names a target: one model engine or one plain service address.
    TargetName;
    /// Names a model as callers write it.
    ModelName;
    /// Identifies one caller request.
    RequestId;
    /// Identifies one batch job.
    JobId;
    /// Identifies one item of a batch job.
    ItemId;
}

impl RequestId {
    /// Returns a new identifier with 96 random bits from `rng`.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self::from(format!("req_{:016x}{:08x}", rng.random::<u64>(), rng.random::<u32>()))
    }
}

impl JobId {
    /// Returns a new identifier with 96 random bits from `rng`.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self::from(format!("batch_{:016x}{:08x}", rng.random::<u64>(), rng.random::<u32>()))
    }
}
