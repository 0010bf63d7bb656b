//! Messages that request and grant rate tokens.

use serde::Deserialize;
use serde::Serialize;

use crate::AccountName;
use crate::DomainName;

/// A message between a grant holder and a domain lead, or between a lead and its backup lead. Token
/// counts are in thousandths of a request. All counters are cumulative within one session, so
/// duplicated and reordered messages change nothing.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RateMessage {
    /// Requests tokens.
    Ask(RateRequest),
    /// Replies to a token request.
    Grant(RateGrant),
    /// Requests a promise of the backup lead not to claim the floor of `domain`'s lead.
    PromiseAsk {
        /// Failure domain of the requesting lead.
        domain: DomainName,
    },
    /// Replies to `PromiseAsk`.
    Promise {
        /// Microseconds for which the floor has not been claimed; `None` without a promise.
        clear_us: Option<u64>,
    },
}

/// Requests tokens of one account from a lead.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateRequest {
    /// The account and class key, for example `acme` or `acme#batch`.
    pub account: AccountName,
    /// Random number that the grant holder chose at its start.
    pub incarnation: u64,
    /// Number of this request, which increases within the incarnation.
    pub sequence: u64,
    /// Epoch of the session that the counters refer to; 0 if the grant holder knows none.
    pub epoch: u64,
    /// Session that the counters refer to; 0 if the grant holder knows none.
    pub session: u64,
    /// Thousandths of a request that the grant holder needs now to decide waiting requests.
    pub need: u64,
    /// Thousandths of a request wanted beyond `need`, for the next second.
    pub prefetch: u64,
    /// Consumed totals of the session with their ages, oldest first.
    pub spent: Vec<SpentTotal>,
    /// Thousandths of a request that were returned or expired unconsumed in the session.
    pub returned_total: u64,
}

/// Tokens of a session's grants that were consumed up to a point in the past.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SpentTotal {
    /// Microseconds between that point and the sending of the request.
    pub age_us: u64,
    /// Thousandths of a request consumed up to that point.
    pub total: u64,
}

/// Reason why a lead granted nothing at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RateDenial {
    /// The instance is not the lead now, or waits for the grants of its predecessor to end.
    NotReady,
    /// The account has no rate at this lead.
    UnknownAccount,
    /// The limit on grant holders of one account is reached.
    TooManyHolders,
}

/// Replies to a token request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateGrant {
    /// The account and class key.
    pub account: AccountName,
    /// Incarnation of the requesting grant holder.
    pub incarnation: u64,
    /// Epoch of the lead that grants.
    pub epoch: u64,
    /// Number that the lead assigned to this grant holder's counters, which start at 0 in a new
    /// session.
    pub session: u64,
    /// Sequence number of the request that this replies to.
    pub sequence: u64,
    /// Thousandths of a request granted so far in this session.
    pub granted_total: u64,
    /// Configuration revision of the rate under which the grant was made.
    pub revision: u64,
    /// Level of the lead's bucket after the grant, in thousandths of a request.
    pub level: u64,
    /// Largest level of the lead's bucket now, in thousandths of a request.
    pub capacity: u64,
    /// Refill of the lead's bucket in thousandths of a request a second.
    pub refill: u64,
    /// Microseconds until the refill covers the part of `need` that was not granted.
    pub retry_us: u64,
    /// Why nothing could be granted, apart from a low level.
    pub denial: Option<RateDenial>,
}
