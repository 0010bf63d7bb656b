//! Messages of the rate escrow.

use serde::Deserialize;
use serde::Serialize;

use crate::AccountName;
use crate::DomainName;

/// A message between a holder of tokens and a domain lead. Token counts are in thousandths of a
/// request. All counters are cumulative within one session, so a doubled or reordered message
/// changes nothing.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RateMessage {
    /// Asks for tokens.
    Ask(RateRequest),
    /// Answers an ask.
    Grant(RateGrant),
    /// The lead of `domain` asks its backup lead for a promise not to claim its floor.
    PromiseAsk {
        /// Failure domain of the lead that asks.
        domain: DomainName,
    },
    /// Answers `PromiseAsk`.
    Promise {
        /// Microseconds for which the floor has not been claimed; `None` without a promise.
        clear_us: Option<u64>,
    },
}

/// Asks a lead for tokens of one account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateRequest {
    /// The account and class key, for example `acme` or `acme#batch`.
    pub account: AccountName,
    /// Random number that the holder chose at its start.
    pub incarnation: u64,
    /// Number of this ask, rising within the incarnation.
    pub sequence: u64,
    /// Epoch of the session that the counters refer to; 0 if the holder knows none.
    pub epoch: u64,
    /// Session that the counters refer to; 0 if the holder knows none.
    pub session: u64,
    /// Thousandths of a request that the holder needs now to decide waiting requests.
    pub need: u64,
    /// Thousandths of a request wanted beyond `need`, for the next second.
    pub prefetch: u64,
    /// Spent totals of the session with their ages, oldest first.
    pub spent: Vec<SpentTotal>,
    /// Thousandths of a request handed back or expired unspent in the session.
    pub returned_total: u64,
}

/// States how much of a session's grants was spent at a point in the past.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SpentTotal {
    /// Microseconds between that point and the sending of the ask.
    pub age_us: u64,
    /// Thousandths of a request spent so far at that point.
    pub total: u64,
}

/// Says why a lead granted nothing at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RateDenial {
    /// The instance is not the lead now, or waits for the grants of its predecessor to end.
    NotReady,
    /// The account has no rate here.
    UnknownAccount,
    /// The bound on grant holders for one account is reached.
    TooManyHolders,
}

/// Answers an ask.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateGrant {
    /// The account and class key.
    pub account: AccountName,
    /// Incarnation of the holder that asked.
    pub incarnation: u64,
    /// Epoch of the lead that grants.
    pub epoch: u64,
    /// Number that the lead gave to this holder's counters; counters start at 0 in a new session.
    pub session: u64,
    /// Sequence number of the ask that this answers.
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
    /// Microseconds until the refill covers what was needed and not granted.
    pub retry_us: u64,
    /// Why nothing could be granted, apart from a low level.
    pub denial: Option<RateDenial>,
}
