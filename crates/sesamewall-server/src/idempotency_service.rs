//! Manages the idempotency keys of online requests. Each instance claims keys for its requests; the
//! leads own the keys.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_ports::ListedInstance;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::IdempotencyMessage;
use sesamewall_protocol::peer::KeyClaim;
use sesamewall_protocol::peer::KeyDecision;
use sesamewall_protocol::peer::KeyResult;
use sesamewall_protocol::peer::PeerMessage;
use sesamewall_protocol::peer::StoredResponse;
use sesamewall_schedule::IdempotencyKeys;
use xxhash_rust::xxh3::xxh3_64;

use crate::InstanceContext;

/// A response above this size is not stored.
const RESPONSE_LIMIT_BYTES: usize = 64 << 10;
const FINISH_TRIES: u32 = 5;
/// Longest time that a response is delayed until the owner has stored it.
const REPORT_WAIT: Duration = Duration::from_secs(1);
const FINISH_PAUSE: Duration = Duration::from_millis(200);

/// Claims idempotency keys and, if this instance is a lead, owns a subset of them.
pub struct IdempotencyService {
    context: Arc<InstanceContext>,
    owned: Mutex<Owned>,
}

#[derive(Default)]
struct Owned {
    epoch: u64,
    keys: IdempotencyKeys,
}

/// The result of a successful claim.
pub enum ClaimResult {
    /// The request may run.
    Run(KeyGuard),
    /// The request ran before; this is its stored response.
    Answer(StoredResponse),
}

/// A claimed key. Dropping it reports the result of its request to the owner.
pub struct KeyGuard {
    held: Option<HeldKey>,
}

struct HeldKey {
    service: Arc<IdempotencyService>,
    owner: ListedInstance,
    account: AccountName,
    key: String,
    request: RequestId,
    end: KeyResult,
}

impl IdempotencyService {
    /// Creates the service.
    pub fn new(context: Arc<InstanceContext>) -> Arc<Self> {
        Arc::new(Self { context, owned: Mutex::default() })
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let owned = self.owned.lock().unwrap_or_else(PoisonError::into_inner);
        let (keys, bytes) = owned.keys.size();
        serde_json::json!({ "epoch": owned.epoch, "keys": keys, "bytes": bytes })
    }

    /// Claims a key for a request.
    ///
    /// # Errors
    ///
    /// Returns `Error::IdempotencyRunning`, `Error::IdempotencyMismatch` or
    /// `Error::IdempotencyEnded` if the key was used before, `Error::QueueFull` if the owner has no
    /// free capacity, and `Error::NotLead` or `Error::PeerUnavailable` if the owner cannot be
    /// reached.
    pub async fn claim(self: &Arc<Self>, claim: KeyClaim) -> Result<ClaimResult> {
        let owner = self.owner(&claim.account, &claim.key)?;
        // If the reply to a claim is lost, its request does not run, so the key must be released.
        let held = HeldKey {
            service: self.clone(),
            owner: owner.clone(),
            account: claim.account.clone(),
            key: claim.key.clone(),
            request: claim.request.clone(),
            end: KeyResult::Released,
        };
        let mut guard = KeyGuard { held: Some(held) };
        let after_drop = if claim.idempotent { KeyResult::Released } else { KeyResult::Ended };
        let reply = self.exchange(&owner, IdempotencyMessage::Claim(claim)).await?;
        let domain = owner.domain.to_string();
        let IdempotencyMessage::Claimed(decision) = reply else {
            return Err(Error::NotLead { domain });
        };
        match decision {
            KeyDecision::Run => {
                if let Some(held) = &mut guard.held {
                    held.end = after_drop;
                }
                Ok(ClaimResult::Run(guard))
            }
            KeyDecision::Answer(response) => Ok(ClaimResult::Answer(response)),
            KeyDecision::Running => Err(Error::IdempotencyRunning),
            KeyDecision::Mismatch => Err(Error::IdempotencyMismatch),
            KeyDecision::Ended => Err(Error::IdempotencyEnded),
            KeyDecision::Full => {
                let numbers = Vec::new();
                Err(Error::QueueFull { model: "idempotency keys".to_owned(), numbers })
            }
            KeyDecision::NotOwner => Err(Error::NotLead { domain }),
        }
    }

    /// Handles a message of another instance.
    pub fn handle(&self, message: IdempotencyMessage) -> IdempotencyMessage {
        let now = self.context.clock.now();
        let term = self.context.lead.valid(now);
        let mut owned = self.owned.lock().unwrap_or_else(PoisonError::into_inner);
        match (term, message) {
            (Some(term), IdempotencyMessage::Claim(claim)) => {
                if owned.epoch != term.epoch {
                    // Another lead may have owned these keys in between.
                    *owned = Owned { epoch: term.epoch, keys: IdempotencyKeys::default() };
                }
                let is_live = |name: &_| self.context.directory.find(name).is_some();
                IdempotencyMessage::Claimed(owned.keys.claim(&claim, is_live, now))
            }
            (None, IdempotencyMessage::Claim(_)) => {
                IdempotencyMessage::Claimed(KeyDecision::NotOwner)
            }
            (_, IdempotencyMessage::Finish { account, key, request, end }) => {
                owned.keys.finish(&account, &key, &request, end, now);
                IdempotencyMessage::Ack
            }
            _ => IdempotencyMessage::Ack,
        }
    }

    /// Returns the owner of a key: the lead of the failure domain that has the highest hash with it
    /// (rendezvous hashing, Thaler and Ravishankar, 1998).
    fn owner(&self, account: &AccountName, key: &str) -> Result<ListedInstance> {
        let directory = &self.context.directory;
        let leads = directory.leads();
        let rank = |domain: &str| xxh3_64(format!("{domain}\n{account}\n{key}").as_bytes());
        let best = leads.iter().max_by_key(|(domain, _)| rank(domain.as_str()));
        best.and_then(|(domain, _)| directory.lead(domain)).ok_or_else(|| Error::NotLead {
            domain: best.map_or_else(String::new, |(domain, _)| domain.to_string()),
        })
    }

    async fn exchange(
        &self,
        owner: &ListedInstance,
        message: IdempotencyMessage,
    ) -> Result<IdempotencyMessage> {
        if owner.name == self.context.local.name {
            return Ok(self.handle(message));
        }
        let message = PeerMessage::Idempotency(message);
        match self.context.link.exchange(&owner.address, message).await? {
            PeerMessage::Idempotency(reply) => Ok(reply),
            _ => Err(Error::NotLead { domain: owner.domain.to_string() }),
        }
    }
}

impl KeyGuard {
    /// Stores the response at the owner for repeated requests, if it is small enough. The caller
    /// receives the response only afterwards, so that a repeated request finds it stored.
    pub async fn answered(mut self, response: StoredResponse) {
        let Some(mut held) = self.held.take() else { return };
        if response.body.len() <= RESPONSE_LIMIT_BYTES {
            held.end = KeyResult::Answer(response);
        }
        let report = tokio::spawn(held.report());
        let _ = tokio::time::timeout(REPORT_WAIT, report).await;
    }

    /// Releases the key, because the request was not run.
    pub fn release(mut self) {
        if let Some(held) = &mut self.held {
            held.end = KeyResult::Released;
        }
    }
}

impl Drop for KeyGuard {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            tokio::spawn(held.report());
        }
    }
}

impl HeldKey {
    async fn report(self) {
        let Self { service, owner, account, key, request, end } = self;
        let message = IdempotencyMessage::Finish { account, key, request, end };
        for _ in 0..FINISH_TRIES {
            if service.exchange(&owner, message.clone()).await.is_ok() {
                return;
            }
            tokio::time::sleep(FINISH_PAUSE).await;
        }
    }
}
