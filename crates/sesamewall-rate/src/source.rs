//! Tokens that a holder received from one lead for one account.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_protocol::peer::RateGrant;
use sesamewall_protocol::peer::SpentTotal;

use crate::TOKENS_PER_REQUEST;

const MAX_POINTS: usize = 8;
const MAX_BATCHES: usize = 16;

/// Tracks the grants, spent tokens and level hints of one lead.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    pub(crate) epoch: u64,
    pub(crate) session: u64,
    received: u64,
    spent: u64,
    pub(crate) returned: u64,
    points: VecDeque<(Time, u64)>,
    batches: VecDeque<TokenBatch>,
    pub(crate) pending: Option<Pending>,
    pub(crate) hint: Option<Hint>,
    pub(crate) retry_at: Time,
    pub(crate) unreachable_until: Time,
    pub(crate) timeouts: u32,
    acknowledged: (u64, u64),
    reply_missed: bool,
    revision: u64,
}

#[derive(Clone, Debug)]
struct TokenBatch {
    expiry: Time,
    tokens: u64,
}

/// A token request that has no reply yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) sequence: u64,
    pub(crate) sent: Time,
    pub(crate) need: u64,
    reported: (u64, u64),
}

/// State of the bucket of the lead, as of its last reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hint {
    pub(crate) level: u64,
    pub(crate) capacity: u64,
    pub(crate) refill: u64,
    pub(crate) at: Time,
}

impl Hint {
    /// Returns the level expected at `now`.
    pub(crate) fn expected(&self, now: Time) -> u64 {
        let micros = u64::try_from(now.since(self.at).as_micros()).unwrap_or(u64::MAX);
        let refill = self.refill.saturating_mul(micros) / 1_000_000;
        self.level.saturating_add(refill).min(self.capacity)
    }
}

impl Source {
    /// Returns the number of tokens that can be spent.
    pub(crate) fn tokens(&self) -> u64 {
        self.batches.iter().map(|batch| batch.tokens).sum()
    }

    /// Drops expired tokens and counts them as returned.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(batch) = self.batches.pop_front_if(|batch| batch.expiry <= now) {
            self.returned += batch.tokens;
        }
    }

    /// Returns all tokens; the next token request reports them to the lead.
    pub(crate) fn return_all(&mut self) {
        self.returned += self.tokens();
        self.batches.clear();
    }

    /// Returns whether the lead has not yet confirmed all returned tokens.
    pub(crate) fn has_unreported_returned(&self) -> bool {
        self.returned > self.acknowledged.1
    }

    /// Returns whether the lead has not yet confirmed all spent tokens.
    pub(crate) fn has_unreported_spent(&self) -> bool {
        self.spent > self.acknowledged.0
    }

    /// Spends up to `wanted` tokens, the earliest to expire first, and returns the number spent.
    pub(crate) fn spend(&mut self, wanted: u64, now: Time) -> u64 {
        let mut remaining = wanted;
        while let Some(batch) = self.batches.front_mut().filter(|_| remaining > 0) {
            let taken = batch.tokens.min(remaining);
            batch.tokens -= taken;
            remaining -= taken;
            if batch.tokens == 0 {
                self.batches.pop_front();
            }
        }
        if remaining < wanted {
            self.spent += wanted - remaining;
            self.record_spent(now);
        }
        wanted - remaining
    }

    /// Records the spent total at `now` in a limited number of points. A dropped point makes its
    /// tokens appear to be spent later, so the lead credits less refill for them, never more.
    fn record_spent(&mut self, now: Time) {
        match self.points.back_mut() {
            Some((at, total)) if now.since(*at) < Duration::from_millis(1) => {
                (*at, *total) = (now, self.spent);
            }
            _ => self.points.push_back((now, self.spent)),
        }
        if self.points.len() > MAX_POINTS {
            self.points.remove(1);
        }
    }

    /// Records a token request and returns the spent totals to send with it.
    pub(crate) fn begin_request(&mut self, sequence: u64, need: u64, now: Time) -> Vec<SpentTotal> {
        self.abandon();
        let reported = (self.spent, self.returned);
        self.pending = Some(Pending { sequence, sent: now, need, reported });
        let age = |at: Time| u64::try_from(now.since(at).as_micros()).unwrap_or(0);
        self.points.iter().map(|&(at, total)| SpentTotal { age_us: age(at), total }).collect()
    }

    /// Stops waiting for the reply to the last token request.
    pub(crate) fn abandon(&mut self) {
        self.reply_missed |= self.pending.take().is_some();
    }

    /// Applies a grant and returns whether it is the reply to the pending token request. The tokens
    /// expire `ttl` after that request was sent. Tokens that arrive after their expiry, or that the
    /// lead granted before configuration revision `lowered_revision` lowered the burst, count as
    /// returned at once.
    pub(crate) fn on_grant(
        &mut self,
        grant: &RateGrant,
        lowered_revision: u64,
        ttl: Duration,
        now: Time,
    ) -> bool {
        let pending = self.pending.take_if(|pending| pending.sequence == grant.sequence);
        if grant.denial.is_some() {
            return pending.is_some();
        }
        if (grant.epoch, grant.session) < (self.epoch, self.session) {
            return pending.is_some();
        }
        if (grant.epoch, grant.session) > (self.epoch, self.session) {
            self.start_session(grant);
        } else if let Some(pending) = &pending {
            self.acknowledged = pending.reported;
            self.points.retain(|point| point.1 > pending.reported.0);
        }
        // Without the pending request its sending time is unknown, so its tokens are credited with
        // a later reply.
        let Some(pending) = pending else { return false };
        let fresh = grant.granted_total.saturating_sub(self.received);
        self.received += fresh;
        let expiry = pending.sent + ttl;
        // If a reply was missed, the granted total may contain tokens of an earlier revision.
        let mixed = self.reply_missed && grant.revision != self.revision;
        let revoked = grant.revision < lowered_revision || mixed;
        (self.reply_missed, self.revision) = (false, grant.revision);
        if expiry <= now || revoked {
            self.returned += fresh;
        } else if fresh > 0 {
            self.add(expiry, fresh);
        }
        self.hint = Some(Hint {
            level: grant.level,
            capacity: grant.capacity,
            refill: grant.refill,
            at: now,
        });
        true
    }

    fn start_session(&mut self, grant: &RateGrant) {
        (self.epoch, self.session) = (grant.epoch, grant.session);
        (self.received, self.spent, self.returned) = (0, 0, 0);
        self.acknowledged = (0, 0);
        self.points.clear();
        // The lead no longer counts the tokens of an earlier session.
        self.batches.clear();
    }

    fn add(&mut self, expiry: Time, tokens: u64) {
        let full = self.batches.len() >= MAX_BATCHES;
        match self.batches.back_mut() {
            Some(last) if full || last.expiry >= expiry => {
                last.expiry = last.expiry.min(expiry);
                last.tokens += tokens;
            }
            _ => self.batches.push_back(TokenBatch { expiry, tokens }),
        }
    }

    /// Returns whether a token request may be sent to the lead now: the lead is reachable, no
    /// request is pending and the backoff has ended.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.is_reachable(now) && self.retry_at <= now
    }

    /// Returns whether the lead counts as reachable and no token request to it is pending.
    pub(crate) fn is_reachable(&self, now: Time) -> bool {
        self.pending.is_none() && self.unreachable_until <= now
    }

    /// Returns the level expected at `now`. An unknown level counts as the tokens of one request.
    pub(crate) fn expected(&self, now: Time) -> u64 {
        self.hint.map_or(TOKENS_PER_REQUEST, |hint| hint.expected(now))
    }
}
