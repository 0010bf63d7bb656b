//! Requests of accounts at the local instance: what they wanted lately and what they hold.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::Time;

use super::fair_share::fair_level;
use super::window_count::WindowCount;

/// Largest number of accounts of one service that are followed. A configuration has fewer.
const MAX_ACCOUNTS: usize = 4096;

#[derive(Clone, Debug, Default)]
struct AccountCounts {
    weight: f64,
    in_flight: u32,
    arrived: WindowCount,
    ended: WindowCount,
}

impl AccountCounts {
    fn is_recent(&self, window: Duration, now: Time) -> bool {
        self.arrived.total(window, now) > 0 || self.ended.total(window, now) > 0
    }
}

/// What an account of a rank holds and may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountShare {
    /// Requests in flight, and those that ended within the window.
    pub held: f64,
    /// Fair share of what the rank holds and could hold within the window.
    pub share: f64,
    /// Arrivals a second of the other accounts of the rank that are within their shares.
    pub owed_rate: f64,
}

impl AccountShare {
    /// Returns whether another request would exceed the share. The first request within a window
    /// never does, since shares of small accounts are fractions of a request.
    pub fn is_over(&self) -> bool {
        self.held + 1.0 > self.share.max(1.0)
    }
}

/// Requests at the local instance by rank and account.
#[derive(Clone, Debug, Default)]
pub struct AccountDemand {
    accounts: BTreeMap<u32, HashMap<u32, AccountCounts>>,
}

impl AccountDemand {
    /// Counts an arrival.
    pub fn on_arrival(
        &mut self,
        rank: u32,
        account: u32,
        weight: f64,
        window: Duration,
        now: Time,
    ) {
        let accounts = self.accounts.entry(rank).or_default();
        if accounts.len() >= MAX_ACCOUNTS && !accounts.contains_key(&account) {
            return;
        }
        let counts = accounts.entry(account).or_default();
        counts.weight = if weight > 0.0 { weight } else { 1.0 };
        counts.arrived.add(window, now);
    }

    /// Counts a request that is about to be sent.
    pub fn on_start(&mut self, rank: u32, account: u32) {
        if let Some(counts) = self.counts(rank, account) {
            counts.in_flight = counts.in_flight.saturating_add(1);
        }
    }

    /// Counts the end of a request.
    pub fn on_end(&mut self, rank: u32, account: u32, window: Duration, now: Time) {
        if let Some(counts) = self.counts(rank, account) {
            counts.in_flight = counts.in_flight.saturating_sub(1);
            counts.ended.add(window, now);
        }
    }

    fn counts(&mut self, rank: u32, account: u32) -> Option<&mut AccountCounts> {
        self.accounts.get_mut(&rank)?.get_mut(&account)
    }

    /// Removes accounts without requests.
    pub fn on_tick(&mut self, window: Duration, now: Time) {
        for accounts in self.accounts.values_mut() {
            accounts.retain(|_, counts| counts.in_flight > 0 || counts.is_recent(window, now));
        }
        self.accounts.retain(|_, accounts| !accounts.is_empty());
    }

    /// Returns the number of accounts with requests in the window.
    pub fn active_accounts(&self) -> usize {
        self.accounts.values().map(HashMap::len).sum()
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        let counts = self.accounts.values().flat_map(HashMap::values);
        counts.map(|counts| counts.in_flight).fold(0, u32::saturating_add)
    }

    /// Returns the arrivals a second of ranks for which `included` returns true.
    pub fn rate(&self, included: impl Fn(u32) -> bool, window: Duration, now: Time) -> f64 {
        let ranks = self.accounts.iter().filter(|(rank, _)| included(**rank));
        let counts = ranks.flat_map(|(_, accounts)| accounts.values());
        let total: f64 = counts.map(|counts| f64::from(counts.arrived.total(window, now))).sum();
        total / window.as_secs_f64()
    }

    /// Returns the share of an account within its rank. `free` is the local part of the places that
    /// are free.
    pub fn share(
        &self,
        rank: u32,
        account: u32,
        free: f64,
        window: Duration,
        now: Time,
    ) -> AccountShare {
        let Some(accounts) = self.accounts.get(&rank) else { return AccountShare::default() };
        let held = |counts: &AccountCounts| {
            f64::from(counts.in_flight) + f64::from(counts.ended.total(window, now))
        };
        let arrived = |counts: &AccountCounts| f64::from(counts.arrived.total(window, now));
        let demands: Vec<(f64, f64)> = accounts
            .values()
            .map(|counts| (counts.weight, arrived(counts).max(held(counts))))
            .collect();
        let capacity = accounts.values().map(held).sum::<f64>() + free;
        let level = fair_level(&demands, capacity);
        let others = accounts.iter().filter(|(other, counts)| {
            **other != account && held(counts) < (counts.weight * level).max(1.0)
        });
        let owed: f64 = others.map(|(_, counts)| arrived(counts)).sum();
        let own = accounts.get(&account);
        AccountShare {
            held: own.map_or(0.0, held),
            share: own.map_or(0.0, |own| own.weight * level),
            owed_rate: owed / window.as_secs_f64(),
        }
    }
}
