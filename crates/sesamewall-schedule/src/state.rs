//! Defines the settings, actions and state of the slot scheduler.

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

/// Policy by which online requests and batch items share targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Online requests come first; batch streams are cancelled for waiting online requests.
    OnlineFirst,
    /// One queue for both classes; a baseline for experiments.
    SharedQueue,
    /// A fixed fraction of each limit for batch items; a baseline for experiments.
    FixedSplit {
        /// Fraction of the limit for batch items.
        batch: f64,
    },
}

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Policy by which the two classes share targets.
    pub policy: Policy,
    /// Settings of the adaptive concurrency limits.
    pub limit: LimitSettings,
    /// Settings of the queues of online requests and batch items.
    pub queue: QueueSettings,
    /// Settings of routing.
    pub route: RouteSettings,
    /// Settings of ejection.
    pub ejection: EjectionSettings,
    /// Longest time for which a new lead waits for the instances to report their slots.
    pub sync_timeout: Duration,
    /// Time for which the slots of a lost instance stay counted, since targets may still run their
    /// requests.
    pub lost_ttl: Duration,
    /// Time from a grant until a report without the slot proves that the instance does not hold it.
    pub held_grace: Duration,
    /// Time after which a cancellation is sent again if its slot was not released.
    pub preempt_resend: Duration,
    /// Time for which a target that reported to be leaving gets no work, unless the configuration
    /// brings it back earlier.
    pub leaving_backoff: Duration,
    /// Longest wait in a queue.
    pub max_wait: Duration,
    /// Starts batch streams one after the other on a target, and only while at least half of a
    /// model's targets compute no prompt, so that online requests find such a target.
    pub stagger: bool,
    /// Fraction of the recent online burst for which slots are kept free of batch streams.
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
            sync_timeout: Duration::from_secs(3),
            lost_ttl: Duration::from_secs(10),
            held_grace: Duration::from_secs(2),
            preempt_resend: Duration::from_millis(500),
            leaving_backoff: Duration::from_secs(30),
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
    /// Models or services that the target serves.
    pub models: Vec<ModelName>,
    /// Upper limit of its concurrent requests.
    pub max_limit: u32,
    /// Whether the target leaves and gets no new work.
    pub leaving: bool,
}

/// Part of the configuration that the scheduler uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Targets of the failure domain.
    pub targets: Vec<TargetInfo>,
    /// Whether the failure domain is out of service and gets no new work.
    pub domain_out: bool,
}

/// Action that the lead must take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Grants a slot; the slot contains the reason.
    Grant {
        /// Instance that sent the slot request.
        to: InstanceName,
        /// The slot.
        slot: Slot,
    },
    /// Denies a slot.
    Deny {
        /// Instance that sent the slot request.
        to: InstanceName,
        /// The request.
        request: RequestId,
        /// Numbered result code.
        code: u16,
        /// Numbers on which the rule decided.
        numbers: Numbers,
        /// Reason, for the decision record.
        reason: String,
    },
    /// Cancels a batch stream; the tokens that it has produced are kept.
    Yield {
        /// Instance that holds the slot.
        to: InstanceName,
        /// Number of the slot.
        slot: u64,
        /// Epoch of the lead that granted it.
        epoch: u64,
        /// The request, for the decision record.
        request: RequestId,
        /// Reason, for the decision record.
        reason: String,
    },
}

/// State of a target, for state dumps and checks.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The target.
    pub name: TargetName,
    /// Number of concurrent requests that are allowed.
    pub limit: usize,
    /// Number of slots granted and not released.
    pub outstanding: usize,
    /// Number of batch slots that are not being cancelled.
    pub batch: usize,
    /// Number of batch slots that are being cancelled.
    pub yielding: usize,
    /// Whether the target is cold or in slow start.
    pub cold: bool,
    /// Whether the target is ejected for errors.
    pub ejected: bool,
    /// Whether the target gets new work.
    pub in_service: bool,
}

/// Weight of a prompt token that is not yet computed, relative to a token of work in progress. A
/// new request waits for all earlier prompts, but runs together with streams in progress.
const PROMPT_WEIGHT: u64 = 256;

/// Number of prompt tokens that take as long to compute as the rest of a running engine step. A new
/// request waits for this step even if the batch prompt in progress is cancelled for the request.
const REMAINING_STEP_TOKENS: u64 = 128;

/// Usual upper limit of the time from the end of a request until its report arrives.
const REPORT_DELAY: Duration = Duration::from_millis(20);

pub(crate) type SlotKey = (u64, u64);

/// A waiting slot request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) slot_request: SlotRequest,
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
    pub(crate) preempt_sent: Option<Time>,
    /// Time at which the slot stops being counted after the loss of its holder.
    pub(crate) expires: Option<Time>,
    pub(crate) grant: Option<Slot>,
}

impl SlotState {
    /// Returns the work in tokens that a restart after a cancellation repeats: the prompt and the
    /// tokens produced so far, at an assumed 20 tokens a second.
    pub(crate) fn repeated_work(&self, now: Time) -> u64 {
        self.prompt + now.since(self.granted).as_millis() as u64 / 50
    }
}

/// Evidence that a target handles its limit: a request granted at the full limit. It counts once
/// the request has completed and each other slot counted at the time of the grant has proved to be
/// in use, by its release or by a report of its holder. A slot whose release report was lost is not
/// in use.
#[derive(Clone, Debug)]
pub(crate) struct Proof {
    period: u64,
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
    pub(crate) preempting: usize,
    pub(crate) isolated: Option<SlotKey>,
    pub(crate) leaving_until: Time,
    pub(crate) backoff_until: Time,
    pub(crate) consecutive_losses: u32,
    /// Expected time at which all granted prompts are computed.
    prompts_until: Time,
    batch_prompts_until: Time,
    online_prompts_until: Time,
    /// Batch slot granted last.
    last_batch: Option<SlotKey>,
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
            preempting: 0,
            isolated: None,
            leaving_until: Time::ZERO,
            backoff_until: Time::ZERO,
            consecutive_losses: 0,
            prompts_until: Time::ZERO,
            batch_prompts_until: Time::ZERO,
            online_prompts_until: Time::ZERO,
            last_batch: None,
        }
    }

    /// Starts counting a slot.
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

    /// Adds the prompt of a request granted at `now` to the expected times.
    pub(crate) fn add_prompt(&mut self, key: SlotKey, slot: &SlotState, now: Time) {
        let expected = Duration::from_micros(self.limit.expected_us(slot.prompt));
        // Engines overlap the fixed part of prompts that wait together. The upper limit of the time
        // keeps an early wrong estimate from blocking the target for long.
        let queued = self.prompts_until + expected / 2;
        self.prompts_until = queued.max(now + expected).min(now + 4 * expected);
        if slot.class == Class::Batch {
            self.batch_prompts_until = self.prompts_until;
            self.last_batch = Some(key);
        } else {
            let queued = self.online_prompts_until + expected / 2;
            self.online_prompts_until = queued.max(now + expected).min(now + 4 * expected);
        }
    }

    /// Returns the batch stream whose prompt probably delays a new request, if it can be cancelled.
    pub(crate) fn delaying_batch(&self, now: Time) -> Option<SlotKey> {
        self.last_batch.filter(|key| self.has_batch_prompt(now) && self.batch.contains(key))
    }

    /// Returns whether the target probably still computes a prompt.
    pub(crate) fn has_prompt(&self, now: Time) -> bool {
        self.prompts_until > now
    }

    /// Returns whether the target probably still computes a prompt of a batch stream.
    pub(crate) fn has_batch_prompt(&self, now: Time) -> bool {
        self.batch_prompts_until > now
    }

    /// Returns the outstanding work in tokens, with a higher weight on prompts for which a new
    /// request waits.
    pub(crate) fn load(&self, now: Time) -> u64 {
        let per_thousand = self.limit.expected_us(1000).max(1);
        let tokens = |until: Time| 1000 * until.since(now).as_micros() as u64 / per_thousand;
        let all = tokens(self.prompts_until);
        let ahead = match self.delaying_batch(now) {
            Some(_) => tokens(self.online_prompts_until).max(all.min(REMAINING_STEP_TOKENS)),
            None => all,
        };
        self.work + PROMPT_WEIGHT * ahead
    }

    /// Records that a slot was granted at the full limit.
    pub(crate) fn start_proof(&mut self, key: SlotKey, now: Time) {
        let period = self.limit.period();
        self.proofs.retain(|_, proof| proof.period == period);
        let mut unconfirmed =
            if self.limit.is_cold() { self.slots.clone() } else { BTreeSet::new() };
        unconfirmed.remove(&key);
        self.proofs.insert(key, Proof { period, started: now, unconfirmed, complete: false });
    }

    /// Records that a slot is in use, or was in use if its request ended. If the end is reported
    /// shortly after the grant of a proof, the request may have ended before this grant. The limit
    /// was then not in use, and the proof is dropped.
    pub(crate) fn confirm(&mut self, key: SlotKey, ended: bool, complete: bool, now: Time) {
        if ended {
            self.proofs.retain(|_, proof| {
                now.since(proof.started) >= REPORT_DELAY || !proof.unconfirmed.contains(&key)
            });
        }
        if complete && let Some(proof) = self.proofs.get_mut(&key) {
            proof.complete = true;
        }
        let period = self.limit.period();
        let mut proven = None;
        self.proofs.retain(|_, proof| {
            proof.unconfirmed.remove(&key);
            let ready = proof.complete && proof.unconfirmed.is_empty();
            if ready && proof.period == period {
                proven = Some(proof.started);
            }
            !ready && proof.period == period
        });
        if let Some(granted) = proven {
            self.limit.on_complete(period, granted, now);
        }
    }

    /// Stops counting a slot. A slot that was not confirmed before proves nothing.
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
        self.preempting -= usize::from(slot.preempt_sent.is_some());
        if self.isolated == Some(key) {
            self.isolated = None;
        }
    }
}
