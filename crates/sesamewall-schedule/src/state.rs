//! Settings, actions and records of the admission state machine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Numbers;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotRequest;

use crate::EjectionSettings;
use crate::LimitSettings;
use crate::QueueSettings;
use crate::RouteSettings;
use crate::TargetLimit;

/// How the two classes share targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Online first; batch streams are cancelled for waiting online requests.
    OnlineFirst,
    /// One queue for both classes; a baseline of experiments.
    SharedQueue,
    /// A fixed share of each limit for batch; a baseline of experiments.
    FixedSplit {
        /// Share of batch.
        batch: f64,
    },
}

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How the two classes share targets.
    pub policy: Policy,
    /// Learned limits.
    pub limit: LimitSettings,
    /// Queues of online requests and batch items.
    pub queue: QueueSettings,
    /// Routing.
    pub route: RouteSettings,
    /// Ejection.
    pub ejection: EjectionSettings,
    /// Longest time in which a new lead waits for the slots that instances hold.
    pub sync_wait: Duration,
    /// Time for which the slots of a lost instance are counted, since targets may still run them.
    pub lost_hold: Duration,
    /// Time from a grant until a report without the slot proves that the instance does not hold it.
    pub held_grace: Duration,
    /// Time after which an unanswered cancellation is sent again.
    pub yield_resend: Duration,
    /// Time for which a target that said "leaving" gets no work unless configuration changes it.
    pub leaving_hold: Duration,
    /// Longest wait in a queue.
    pub max_wait: Duration,
    /// Starts batch streams one after the other on a target, and only while at least half of a
    /// model's targets compute no prompt, so that online requests find such a target.
    pub stagger: bool,
    /// Part of the recent online burst for which slots are kept free of batch streams.
    pub headroom: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::OnlineFirst,
            limit: LimitSettings::default(),
            queue: QueueSettings::default(),
            route: RouteSettings::default(),
            ejection: EjectionSettings::default(),
            sync_wait: Duration::from_secs(3),
            lost_hold: Duration::from_secs(10),
            held_grace: Duration::from_secs(2),
            yield_resend: Duration::from_millis(500),
            leaving_hold: Duration::from_secs(30),
            max_wait: Duration::from_secs(60),
            stagger: true,
            headroom: 1.0,
        }
    }
}

/// A target of the failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// The target.
    pub name: TargetName,
    /// Base URL.
    pub address: String,
    /// Models or services that it serves.
    pub models: Vec<ModelName>,
    /// Upper bound of its limit.
    pub max_limit: u32,
    /// It gets no new work.
    pub leaving: bool,
}

/// What the scheduler must know of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Targets of the failure domain.
    pub targets: Vec<TargetInfo>,
    /// The failure domain gets no new work.
    pub domain_out: bool,
}

/// What the lead does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Grants a slot; the reason is in the slot.
    Grant {
        /// The instance that asked.
        to: InstanceName,
        /// The slot.
        slot: Slot,
    },
    /// Denies a slot.
    Deny {
        /// The instance that asked.
        to: InstanceName,
        /// The request.
        request: RequestId,
        /// Numbered result code.
        code: u16,
        /// What the rule saw.
        numbers: Numbers,
        /// Why, for the decision record.
        reason: String,
    },
    /// Cancels a batch stream; its tokens so far are kept.
    Yield {
        /// The instance that holds the slot.
        to: InstanceName,
        /// Number of the slot.
        slot: u64,
        /// Epoch of the lead that granted it.
        epoch: u64,
        /// The request, for the decision record.
        request: RequestId,
        /// Why, for the decision record.
        reason: String,
    },
}

/// State of a target, for state dumps and checks.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The target.
    pub name: TargetName,
    /// Concurrent requests allowed.
    pub limit: usize,
    /// Slots granted and not returned.
    pub outstanding: usize,
    /// Those of batch streams that are not being cancelled.
    pub batch: usize,
    /// Those being cancelled.
    pub yielding: usize,
    /// Cold or on its ramp.
    pub cold: bool,
    /// Ejected for errors.
    pub ejected: bool,
    /// Gets new work.
    pub in_service: bool,
}

/// Weight of prompt tokens not yet computed over tokens in progress. A new request waits for all
/// earlier prompts, but runs together with streams in progress.
const PROMPT_WEIGHT: u64 = 256;

/// Prompt tokens that take as long as the rest of a running step. A new request waits for it even if
/// the batch prompt in progress is cancelled for it.
const STEP_REST_TOKENS: u64 = 128;

/// Longest usual time from the end of a request until its report arrives.
const REPORT_DELAY: Duration = Duration::from_millis(20);

pub(crate) type SlotKey = (u64, u64);

/// A waiting ask.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) ask: SlotRequest,
    pub(crate) from: InstanceName,
}

/// A granted slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotState {
    pub(crate) request: RequestId,
    pub(crate) account: AccountName,
    pub(crate) class: Class,
    pub(crate) model: ModelName,
    pub(crate) target: TargetName,
    pub(crate) holder: InstanceName,
    pub(crate) work: u64,
    pub(crate) prompt: u64,
    pub(crate) isolated: bool,
    pub(crate) granted: Time,
    pub(crate) yield_sent: Option<Time>,
    /// End of counting after the holder was lost.
    pub(crate) expires: Option<Time>,
    pub(crate) grant: Option<Slot>,
}

impl SlotState {
    /// Returns the work in tokens that a resume after a cancellation repeats: the prompt and the
    /// tokens so far, at an assumed 20 tokens a second.
    pub(crate) fn redo(&self, now: Time) -> u64 {
        self.prompt + now.since(self.granted).as_millis() as u64 / 50
    }
}

/// Evidence that a target handles its limit: a request granted at the full limit. It counts when the
/// request completed and each other slot counted at that time has proved to be in use, by its end or
/// by a report of its holder. A slot whose end report was lost is not in use.
#[derive(Clone, Debug)]
pub(crate) struct Proof {
    step: u64,
    started: Time,
    unconfirmed: BTreeSet<SlotKey>,
    complete: bool,
}

/// State of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) info: TargetInfo,
    pub(crate) present: bool,
    pub(crate) limit: TargetLimit,
    pub(crate) outstanding: usize,
    pub(crate) work: u64,
    pub(crate) batch_total: usize,
    slots: BTreeSet<SlotKey>,
    proofs: BTreeMap<SlotKey, Proof>,
    /// Batch slots that can still be cancelled.
    pub(crate) batch: BTreeSet<SlotKey>,
    pub(crate) yielding: usize,
    pub(crate) isolated: Option<SlotKey>,
    pub(crate) leaving_until: Time,
    pub(crate) avoid_until: Time,
    pub(crate) lost_in_a_row: u32,
    /// Expected time at which all granted prompts are computed.
    prompts_until: Time,
    batch_prompts_until: Time,
    online_prompts_until: Time,
    /// Batch slot granted last.
    batch_start: Option<SlotKey>,
}

impl TargetState {
    pub(crate) fn new(info: TargetInfo, limit: TargetLimit) -> Self {
        Self {
            info,
            present: true,
            limit,
            outstanding: 0,
            work: 0,
            batch_total: 0,
            slots: BTreeSet::new(),
            proofs: BTreeMap::new(),
            batch: BTreeSet::new(),
            yielding: 0,
            isolated: None,
            leaving_until: Time::ZERO,
            avoid_until: Time::ZERO,
            lost_in_a_row: 0,
            prompts_until: Time::ZERO,
            batch_prompts_until: Time::ZERO,
            online_prompts_until: Time::ZERO,
            batch_start: None,
        }
    }

    /// Counts a slot.
    pub(crate) fn add(&mut self, key: SlotKey, slot: &SlotState) {
        self.outstanding += 1;
        self.work += slot.work;
        self.slots.insert(key);
        if slot.class == Class::Batch {
            self.batch_total += 1;
            self.batch.insert(key);
        }
        if slot.isolated {
            self.isolated = Some(key);
        }
    }

    /// Counts the prompt of a request granted at `now`.
    pub(crate) fn add_prompt(&mut self, key: SlotKey, slot: &SlotState, now: Time) {
        let expected = Duration::from_micros(self.limit.expected_us(slot.prompt));
        // Engines overlap the fixed part of prompts that wait together. The bound keeps an early
        // wrong estimate from blocking the target for long.
        let queued = self.prompts_until + expected / 2;
        self.prompts_until = queued.max(now + expected).min(now + 4 * expected);
        if slot.class == Class::Batch {
            self.batch_prompts_until = self.prompts_until;
            self.batch_start = Some(key);
        } else {
            let queued = self.online_prompts_until + expected / 2;
            self.online_prompts_until = queued.max(now + expected).min(now + 4 * expected);
        }
    }

    /// Returns the batch stream whose prompt probably delays a new request, if it can be cancelled.
    pub(crate) fn starting_batch(&self, now: Time) -> Option<SlotKey> {
        self.batch_start.filter(|key| self.in_batch_prompt(now) && self.batch.contains(key))
    }

    /// Tells whether the target probably still computes a prompt.
    pub(crate) fn in_prompt(&self, now: Time) -> bool {
        self.prompts_until > now
    }

    /// Tells whether the target probably still computes a prompt of a batch stream.
    pub(crate) fn in_batch_prompt(&self, now: Time) -> bool {
        self.batch_prompts_until > now
    }

    /// Returns the outstanding work in tokens, with more weight on prompts that a new request waits
    /// for.
    pub(crate) fn load(&self, now: Time) -> u64 {
        let per_thousand = self.limit.expected_us(1000).max(1);
        let tokens = |until: Time| 1000 * until.since(now).as_micros() as u64 / per_thousand;
        let all = tokens(self.prompts_until);
        let ahead = match self.starting_batch(now) {
            Some(_) => tokens(self.online_prompts_until).max(all.min(STEP_REST_TOKENS)),
            None => all,
        };
        self.work + PROMPT_WEIGHT * ahead
    }

    /// Notes that a slot was granted at the full limit.
    pub(crate) fn start_proof(&mut self, key: SlotKey, now: Time) {
        let step = self.limit.step();
        self.proofs.retain(|_, proof| proof.step == step);
        let mut unconfirmed =
            if self.limit.is_cold() { self.slots.clone() } else { BTreeSet::new() };
        unconfirmed.remove(&key);
        self.proofs.insert(key, Proof { step, started: now, unconfirmed, complete: false });
    }

    /// Notes that a slot is in use, or has been if its request ended. An end reported shortly after
    /// the grant of a proof can have come before it, and then the limit was not in use.
    pub(crate) fn confirm(&mut self, key: SlotKey, ended: bool, complete: bool, now: Time) {
        if ended {
            self.proofs.retain(|_, proof| {
                now.since(proof.started) >= REPORT_DELAY || !proof.unconfirmed.contains(&key)
            });
        }
        if complete && let Some(proof) = self.proofs.get_mut(&key) {
            proof.complete = true;
        }
        let step = self.limit.step();
        let mut proven = None;
        self.proofs.retain(|_, proof| {
            proof.unconfirmed.remove(&key);
            let ready = proof.complete && proof.unconfirmed.is_empty();
            if ready && proof.step == step {
                proven = Some(proof.started);
            }
            !ready && proof.step == step
        });
        if let Some(granted) = proven {
            self.limit.on_complete(step, granted, now);
        }
    }

    /// Stops counting a slot. Without `confirm` before, the slot proves nothing.
    pub(crate) fn remove(&mut self, key: SlotKey, slot: &SlotState) {
        self.slots.remove(&key);
        self.proofs.retain(|owner, proof| {
            !proof.unconfirmed.contains(&key) && (*owner != key || proof.complete)
        });
        self.outstanding -= 1;
        self.work -= slot.work;
        if self.outstanding == 0 {
            self.prompts_until = Time::ZERO;
            self.batch_prompts_until = Time::ZERO;
            self.online_prompts_until = Time::ZERO;
        }
        if slot.class == Class::Batch {
            self.batch_total -= 1;
            self.batch.remove(&key);
        }
        self.yielding -= usize::from(slot.yield_sent.is_some());
        if self.isolated == Some(key) {
            self.isolated = None;
        }
    }
}
