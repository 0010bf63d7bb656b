//! Keeps a request from running a second time when it is sent again with its idempotency key.

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
    pub ended_life: Duration,
    /// Time after which a request that never ended counts as lost.
    pub running_life: Duration,
    /// Largest number of keys.
    pub max_keys: usize,
    /// Largest sum of the kept answers in bytes.
    pub max_bytes: usize,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        Self {
            ended_life: Duration::from_secs(600),
            running_life: Duration::from_secs(3600),
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

/// The idempotency keys that one lead owns.
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

    /// Returns the number of keys and the bytes of kept answers.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    /// Decides about a claim. `is_live` tells whether an instance is live: a request that may be
    /// repeated gets the key of a lost instance.
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
                State::Ended(Some(answer)) => return KeyDecision::Answer(answer.clone()),
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
        let until = now + self.settings.running_life;
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

    /// Records the end of a request. Reports of other requests than the holder change nothing.
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
        let answer = match end {
            KeyResult::Released => {
                self.entries.remove(&key);
                return;
            }
            KeyResult::Ended => None,
            KeyResult::Answer(answer) => {
                let fits = self.bytes + size(&answer) <= self.settings.max_bytes;
                // A request that may be repeated needs no key without an answer.
                if !fits && entry.idempotent {
                    self.entries.remove(&key);
                    return;
                }
                Some(answer).filter(|_| fits)
            }
        };
        self.bytes += answer.as_ref().map_or(0, size);
        entry.until = now + self.settings.ended_life;
        entry.state = State::Ended(answer);
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
            // Requests that never ended are few, and are looked for only when the room is needed.
            self.entries
                .retain(|_, entry| !matches!(entry.state, State::Running(_)) || entry.until > now);
        }
    }

    fn drop_expired(&mut self, key: &Key, now: Time) {
        if let Some(entry) = self.entries.get(key).filter(|entry| entry.until <= now) {
            if let State::Ended(Some(answer)) = &entry.state {
                self.bytes -= size(answer);
            }
            self.entries.remove(key);
        }
    }
}

fn size(answer: &StoredResponse) -> usize {
    let headers = answer.headers.iter().map(|(name, value)| name.len() + value.len());
    answer.body.len() + headers.sum::<usize>()
}
