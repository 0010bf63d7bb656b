//! Messages of the rate escrow.

use serde::Deserialize;
use serde::Serialize;

use crate::AccountName;

/// A message between a holder of tokens and a domain lead. Token counts are in thousandths of a
/// request. All counters are cumulative within one holder incarnation, so a doubled or reordered
/// message changes nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RateMessage {
    /// Asks for tokens.
    Ask(RateAsk),
    /// Answers an ask.
    Grant(RateGrant),
}

/// Asks a lead for tokens of one account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateAsk {
    /// The account and class key, for example `acme` or `acme#batch`.
    pub account: AccountName,
    /// Random number that the holder chose at its start.
    pub incarnation: u64,
    /// Number of this ask, rising within the incarnation.
    pub sequence: u64,
    /// Thousandths of a request that the holder needs now to decide waiting requests.
    pub need: u64,
    /// Thousandths of a request wanted beyond `need`, for the next second.
    pub prefetch: u64,
    /// Thousandths of a request spent, expired or returned so far from this lead's grants.
    pub used_total: u64,
}

/// Answers an ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateGrant {
    /// The account and class key.
    pub account: AccountName,
    /// Epoch of the lead that grants.
    pub epoch: u64,
    /// Sequence number of the ask that this answers.
    pub sequence: u64,
    /// Thousandths of a request granted so far to this holder incarnation in this epoch.
    pub granted_total: u64,
    /// Level of the lead's bucket after the grant, in thousandths of a request.
    pub level: u64,
    /// Refill of the lead's bucket in thousandths of a request a second.
    pub refill: u64,
}
