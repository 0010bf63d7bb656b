//! Prevents a request from running a second time when it is sent again with its idempotency key.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::KeyClaim;
use sesamewall_protocol::peer::KeyDecision;
use sesamewall_protocol::peer::KeyResult;
use sesamewall_protocol::peer::StoredResponse;

/// Settings of idempotency keys.
#[derive(Clone, Debug)]
pub struct IdempotencySettings {
    /// Time for which a key is kept after its request has ended.
    pub ended_ttl: Duration,
    /// Time after which a request whose result was not reported counts as lost.
    pub running_ttl: Duration,
    /// Largest number of keys.
    pub max_keys: usize,
    /// Largest total size of the kept responses in bytes.
    pub max_bytes: usize,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        Self {
            ended_ttl: Duration::from_secs(600),
            running_ttl: Duration::from_secs(3600),
            max_keys: 50_000,
            max_bytes: 16 << 20,
        }
    }
}

type Key = (AccountName, String);

#[derive(Clone, Debug)]
enum State {
    Running(InstanceName),
    Ended(Option<StoredResponse>),
}

#[derive(Clone, Debug)]
struct Entry {
    digest: String,
    request: RequestId,
    idempotent: bool,
    until: Time,
    state: State,
}

/// Keeps the idempotency keys for which one lead is responsible.
#[derive(Clone, Debug, Default)]
pub struct IdempotencyKeys {
    settings: IdempotencySettings,
    entries: HashMap<Key, Entry>,
    expiries: VecDeque<(Time, Key)>,
    bytes: usize,
}

impl IdempotencyKeys {
    /// Creates an empty set.
    pub fn new(settings: IdempotencySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns the number of keys and the size of the kept responses in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    /// Decides about a claim. `is_live` returns whether an instance is live: an idempotent request
    /// gets the key of a lost instance.
    pub fn claim(
        &mut self,
        claim: &KeyClaim,
        is_live: impl Fn(&InstanceName) -> bool,
        now: Time,
    ) -> KeyDecision {
        self.expire(now);
        let key = (claim.account.clone(), claim.key.clone());
        if let Some(entry) = self.entries.get(&key) {
            match &entry.state {
                _ if entry.until <= now => {}
                _ if entry.digest != claim.digest => return KeyDecision::Mismatch,
                State::Ended(Some(response)) => return KeyDecision::Answer(response.clone()),
                State::Ended(None) => return KeyDecision::Ended,
                State::Running(_) if entry.request == claim.request => return KeyDecision::Run,
                State::Running(holder) if !entry.idempotent || is_live(holder) => {
                    return KeyDecision::Running;
                }
                State::Running(_) => {}
            }
        }
        if self.entries.len() >= self.settings.max_keys && !self.entries.contains_key(&key) {
            return KeyDecision::Full;
        }
        let until = now + self.settings.running_ttl;
        let entry = Entry {
            digest: claim.digest.clone(),
            request: claim.request.clone(),
            idempotent: claim.idempotent,
            until,
            state: State::Running(claim.instance.clone()),
        };
        self.entries.insert(key, entry);
        KeyDecision::Run
    }

    /// Records the result of a request. A report of another request than the one that has the key
    /// changes nothing.
    pub fn finish(
        &mut self,
        account: &AccountName,
        key: &str,
        request: &RequestId,
        end: KeyResult,
        now: Time,
    ) {
        let key = (account.clone(), key.to_owned());
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.request != *request || matches!(entry.state, State::Ended(_)) {
            return;
        }
        let response = match end {
            KeyResult::Released => {
                self.entries.remove(&key);
                return;
            }
            KeyResult::Ended => None,
            KeyResult::Answer(response) => {
                let fits = self.bytes + size(&response) <= self.settings.max_bytes;
                // An idempotent request may run again, so its key is not needed without a response.
                if !fits && entry.idempotent {
                    self.entries.remove(&key);
                    return;
                }
                Some(response).filter(|_| fits)
            }
        };
        self.bytes += response.as_ref().map_or(0, size);
        entry.until = now + self.settings.ended_ttl;
        entry.state = State::Ended(response);
        self.expiries.push_back((entry.until, key));
    }

    fn expire(&mut self, now: Time) {
        while let Some((until, _)) = self.expiries.front()
            && *until <= now
            && let Some((_, key)) = self.expiries.pop_front()
        {
            self.drop_expired(&key, now);
        }
        if self.entries.len() >= self.settings.max_keys {
            // Requests whose result was never reported are few, so they are searched for only when
            // the limit is reached.
            self.entries
                .retain(|_, entry| !matches!(entry.state, State::Running(_)) || entry.until > now);
        }
    }

    fn drop_expired(&mut self, key: &Key, now: Time) {
        if let Some(entry) = self.entries.get(key).filter(|entry| entry.until <= now) {
            if let State::Ended(Some(response)) = &entry.state {
                self.bytes -= size(response);
            }
            self.entries.remove(key);
        }
    }
}

fn size(response: &StoredResponse) -> usize {
    let headers = response.headers.iter().map(|(name, value)| name.len() + value.len());
    response.body.len() + headers.sum::<usize>()
}
