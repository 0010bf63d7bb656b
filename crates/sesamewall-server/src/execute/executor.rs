//! What all calls of one instance share, and the steps before and after each attempt.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_ports::ListedInstance;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::Decision;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::Result;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::CrashMark;
use sesamewall_protocol::peer::PeerMessage;
use sesamewall_protocol::peer::ScheduleMessage;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotAsk;
use sesamewall_protocol::peer::SlotEnd;
use sesamewall_schedule::GroupRetries;
use sesamewall_schedule::RequestBudget;
use sesamewall_schedule::RetrySettings;
use tokio_util::sync::CancellationToken;

use super::Call;
use super::attempt::Failure;
use super::forward;
use super::suspects::Clearance;
use super::suspects::Suspects;
use crate::InstanceContext;
use crate::gate::Placement;
use crate::gate::RateGate;
use crate::gate::SlotGate;
use crate::gate::SlotLease;
use crate::gate::SlotReport;
use crate::gate::SlotSink;

/// The account name under which open routes are queued.
const OPEN_ACCOUNT: &str = "-open-";
const MARK_PERIOD: Duration = Duration::from_millis(500);
/// Pause before a batch item asks for a slot again, when there was none or the queue was full.
pub const BATCH_PAUSE: Duration = Duration::from_millis(500);
/// An online request waits this long in its own queue before it is offered elsewhere again.
const OWN_WAIT_US: u64 = 2_000_000;
/// A batch item waits this long for a slot before it asks again.
const BATCH_WAIT_US: u64 = 10_000_000;
/// Other failure domains to which a request is offered before it waits in its own.
const OFFER_LIMIT: usize = 2;

/// Runs calls.
pub struct Executor {
    /// What all services share.
    pub context: Arc<InstanceContext>,
    /// Crash marks of requests.
    pub suspects: Suspects,
    rate: Arc<dyn RateGate>,
    slots: Arc<dyn SlotGate>,
    retries: Mutex<HashMap<String, GroupRetries>>,
}

/// State of one call over its attempts.
pub struct Attempts {
    budget: RequestBudget,
    exclude: Vec<TargetName>,
    deadline: Time,
    isolated: bool,
    not_before: Time,
    offered: Vec<DomainName>,
    uncertain: Option<Error>,
    crashed: bool,
}

impl Attempts {
    /// Notes an answer that does not show that the request is harmless: a failure of the target, or
    /// a refusal of another instance.
    pub fn note_unsuccessful(&mut self) {
        self.isolated = false;
    }

    /// Returns the error to report. After an attempt of unknown outcome, a later refusal does not
    /// make the request "not run".
    pub fn conclude(&mut self, error: Error) -> Error {
        match self.uncertain.take() {
            Some(earlier) if error.outcome() == Outcome::NotRun => earlier,
            _ => error,
        }
    }
}

/// Does nothing at the end of a forwarded call, whose slot belongs to the other instance.
struct ForwardSink;

impl SlotSink for ForwardSink {
    fn report(&self, _: &Slot, _: SlotReport) {}
}

impl Executor {
    /// Creates an executor.
    pub fn new(
        context: Arc<InstanceContext>,
        rate: Arc<dyn RateGate>,
        slots: Arc<dyn SlotGate>,
    ) -> Self {
        Self { context, suspects: Suspects::default(), rate, slots, retries: Mutex::default() }
    }

    /// Starts a call: refuses requests that crash targets, then spends the account's rate.
    pub async fn start(&self, call: &Call) -> Result<Attempts> {
        let now = self.context.clock.now();
        let clearance = self.clearance(call, now)?;
        if let (Some(account), false) = (&call.account, call.forwarded) {
            tokio::select! {
                () = call.cancel.cancelled() => return Err(Error::Cancelled),
                spent = self.rate.spend(account, call.class) => spent?,
            }
            let wait_us = micros(self.context.clock.now().since(now));
            self.note(call, Decision::RateSpent { wait_us });
        }
        self.with_retries(call, GroupRetries::on_request);
        // The instance that accepted the request spends its retries.
        let settings = match call.forwarded {
            true => RetrySettings { per_request: 0, ..RetrySettings::default() },
            false => RetrySettings::default(),
        };
        Ok(Attempts {
            budget: RequestBudget::new(&settings),
            exclude: Vec::new(),
            deadline: now + Duration::from_millis(self.context.settings.queue_ms),
            isolated: clearance.isolated,
            not_before: clearance.from,
            offered: Vec::new(),
            uncertain: None,
            crashed: false,
        })
    }

    /// Waits for a slot for the next attempt.
    pub async fn place(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        made: u64,
    ) -> Result<SlotLease> {
        loop {
            match self.try_place(call, attempts, made).await {
                // No target is left that has not failed, so that these are tried again.
                Err(Error::NoTarget { .. }) if !attempts.exclude.is_empty() => {
                    attempts.exclude.clear();
                    return self.try_place(call, attempts, made).await;
                }
                Err(Error::QueueTimeout { .. }) if self.may_offer_again(call, attempts) => {
                    attempts.offered.clear();
                }
                placed => return placed,
            }
        }
    }

    /// Tells whether a request that waited in vain in its own failure domain is offered to the others
    /// once more before its deadline.
    fn may_offer_again(&self, call: &Call, attempts: &Attempts) -> bool {
        call.class == Class::Online
            && !call.forwarded
            && !call.cancel.is_cancelled()
            && self.context.clock.now() < attempts.deadline
            && self.slots.offer(&call.model, &[]).is_some()
    }

    /// Returns the longest wait in the own failure domain's queue. While others could serve, it is a
    /// part of the whole wait: slots of a lost instance can fill the own targets for 10 s.
    fn online_wait(&self, call: &Call, attempts: &Attempts) -> u64 {
        let left = micros(attempts.deadline.since(self.context.clock.now()));
        match self.may_offer_again(call, attempts) {
            true => left.min(OWN_WAIT_US),
            false => left,
        }
    }

    async fn try_place(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        made: u64,
    ) -> Result<SlotLease> {
        // A suspect waits until the marks of other instances have arrived.
        tokio::time::sleep(attempts.not_before.since(self.context.clock.now())).await;
        let first = attempts.exclude.is_empty();
        let wait_us = match call.class {
            // A request that ran already would be refused as "not run" if it could not wait.
            Class::Online if call.no_wait && first => 0,
            Class::Online => self.online_wait(call, attempts),
            Class::Batch => BATCH_WAIT_US,
        };
        let account = account(call);
        let weight = self
            .context
            .config
            .current()
            .account(account.as_str())
            .map_or(1.0, |account| account.weight);
        let ask = SlotAsk {
            request: call.request.clone(),
            account,
            weight,
            class: call.class,
            model: call.model.clone(),
            work: call.work,
            prompt: call.prompt + made,
            urgent: call.urgent,
            prefix: call.prefix.clone(),
            wait_us,
            exclude: attempts.exclude.clone(),
            isolated: attempts.isolated,
        };
        let lease = match self.place_at_once(call, attempts, &ask).await? {
            Some(lease) => lease,
            None => self.acquire(call, ask).await?,
        };
        let slot = &lease.slot;
        let decision = Decision::SlotGranted {
            target: slot.target.to_string(),
            wait_us: slot.wait_us,
            reason: slot.reason.clone(),
        };
        self.note(call, decision);
        Ok(lease)
    }

    /// Tries the own failure domain and then others, without a wait in any of them. Returns `None`
    /// if the request must wait in its own failure domain.
    async fn place_at_once(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        ask: &SlotAsk,
    ) -> Result<Option<SlotLease>> {
        let spills = call.class == Class::Online && !call.forwarded && !attempts.isolated;
        if !spills || attempts.offered.len() >= OFFER_LIMIT {
            return Ok(None);
        }
        let Some(instance) = self.slots.offer(&call.model, &attempts.offered) else {
            return Ok(None);
        };
        if attempts.offered.is_empty() {
            match self.acquire(call, SlotAsk { wait_us: 0, ..ask.clone() }).await {
                Err(Error::QueueTimeout { .. }) => {}
                Err(Error::ShuttingDown) => return Err(Error::Cancelled),
                Err(_) => return Ok(None),
                Ok(lease) => return Ok(Some(lease)),
            }
        }
        attempts.offered.push(instance.domain.clone());
        let reason = format!("no target free in the own failure domain; {}", instance.domain);
        Ok(Some(self.forward(call, &instance, forward::OFFER_SLOT, reason)))
    }

    async fn acquire(&self, call: &Call, ask: SlotAsk) -> Result<SlotLease> {
        let placement = tokio::select! {
            () = call.cancel.cancelled() => return Err(Error::Cancelled),
            placement = self.slots.acquire(ask, !call.forwarded) => placement?,
        };
        Ok(match placement {
            Placement::Here(lease) => lease,
            Placement::Forward(instance) => {
                let domain = &instance.domain;
                let reason = format!("own failure domain cannot serve; forwarded to {domain}");
                self.forward(call, &instance, 0, reason)
            }
        })
    }

    /// Takes note of a refused offer. Returns false if the failed attempt was no offer.
    fn refuse_offer(
        &self,
        call: &Call,
        attempts: &Attempts,
        slot: &Slot,
        failure: &Failure,
    ) -> bool {
        let offer = slot.epoch == 0 && slot.slot == forward::OFFER_SLOT && failure.not_run;
        let Some(domain) = attempts.offered.last().filter(|_| offer) else { return false };
        let numbers = failure.error.numbers();
        // Without a number the failure domain could not be reached, so that others go first.
        let tokens = numbers.iter().find(|(name, _)| name == "queue_tokens");
        let tokens = tokens.map_or(f64::MAX, |(_, tokens)| *tokens);
        self.slots.note_denied(&call.model, domain, tokens);
        true
    }

    fn forward(
        &self,
        call: &Call,
        instance: &ListedInstance,
        number: u64,
        reason: String,
    ) -> SlotLease {
        self.note(call, Decision::Forwarded { instance: instance.name.clone() });
        let slot = Slot {
            slot: number,
            epoch: 0,
            request: call.request.clone(),
            target: TargetName::from(format!("instance {}", instance.name)),
            address: format!("http://{}", instance.address.forward),
            reason,
            wait_us: 0,
        };
        SlotLease::new(slot, CancellationToken::new(), Arc::new(ForwardSink))
    }

    /// Decides after a failed attempt whether another one follows. `delivered` tells that a part
    /// of the answer reached the caller and cannot be taken back.
    pub fn retry(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        slot: &Slot,
        failure: Failure,
        delivered: bool,
    ) -> Result<()> {
        let now = self.context.clock.now();
        let target = slot.target.to_string();
        let reason = failure.error.to_string();
        self.note(call, Decision::AttemptFailed { target, reason });
        // An offer that was not run is no retry: nothing reached a target.
        if self.refuse_offer(call, attempts, slot, &failure) && !call.cancel.is_cancelled() {
            return Ok(());
        }
        if !failure.not_run {
            attempts.uncertain = Some(failure.error.clone());
        }
        self.note_crash(call, attempts, slot, &failure, now);
        let overload = failure.end == SlotEnd::Overloaded;
        self.with_retries(call, |group| group.on_failure(overload, now));
        let repeatable = failure.not_run || (call.idempotent && !delivered);
        if !repeatable || call.cancel.is_cancelled() {
            return Err(failure.error);
        }
        let clearance = self.clearance(call, now)?;
        attempts.isolated = clearance.isolated;
        attempts.not_before = clearance.from;
        let allowed = self.with_retries(call, |group| group.try_retry(&mut attempts.budget, now));
        if allowed.is_err() {
            return Err(failure.error);
        }
        attempts.exclude.push(slot.target.clone());
        Ok(())
    }

    /// Decides by crash marks whether and how a call may run. A batch item never gets any: it is owed
    /// whatever crashed under it, and its worker pauses longer after each lost target.
    fn clearance(&self, call: &Call, now: Time) -> Result<Clearance> {
        match call.class {
            Class::Online => self.suspects.check(&account(call), &call.digest, now),
            Class::Batch => Ok(Clearance { isolated: false, from: now }),
        }
    }

    /// Takes note of a target that was lost while it ran the call. What happened behind another instance
    /// is marked there.
    fn note_crash(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        slot: &Slot,
        failure: &Failure,
        now: Time,
    ) {
        let crashed = match slot.is_forward() {
            true => !failure.not_run,
            false => failure.end == SlotEnd::Crashed,
        };
        match (call.class, &call.trace) {
            _ if !crashed => {}
            (Class::Batch, Some(trace)) => trace.note_lost_target(),
            (Class::Online, _) if !slot.is_forward() => {
                attempts.crashed = true;
                let instance = &self.context.local.name;
                self.suspects.crashed(&account(call), &call.digest, slot, instance, now);
            }
            _ => {}
        }
    }

    /// Waits, after a target crashed, until the crash marks have spread. A caller who sends the
    /// request again when it is answered meets instances that know the marks.
    pub async fn hold_failure(&self, call: &Call, attempts: &Attempts) {
        let settled = self.suspects.settled_at(&account(call), &call.digest);
        if let (true, Some(settled)) = (attempts.crashed, settled) {
            tokio::time::sleep(settled.since(self.context.clock.now())).await;
        }
    }

    /// Starts the task that sends crash marks to all instances. Marks are rare, so each goes to all
    /// instances directly; it is sent each second for a while, so that a lost message does no harm.
    pub fn spawn_mark_sender(self: &Arc<Self>) {
        let executor = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(MARK_PERIOD).await;
                let now = executor.context.clock.now();
                executor.suspects.tick(now);
                let marks = executor.suspects.recent(now);
                if !marks.is_empty() {
                    executor.send_marks(&marks);
                }
            }
        });
    }

    fn send_marks(&self, marks: &[CrashMark]) {
        let own = &self.context.local.name;
        for instance in self.context.directory.instances() {
            if instance.name == *own {
                continue;
            }
            let link = self.context.link.clone();
            let message = PeerMessage::Schedule(ScheduleMessage::Marks(marks.to_vec()));
            tokio::spawn(async move {
                let _ = link.exchange(&instance.address, message).await;
            });
        }
    }

    /// Notes the end of a call.
    pub fn finish(&self, call: &Call, attempts: &Attempts, result: &Result<(u16, u64)>) {
        let class = call.class_label();
        let code = result.as_ref().map_or_else(Error::code, |_| 0);
        self.context.metrics.requests.with_label_values(&[class, &code.to_string()]).inc();
        match result {
            Ok((status, tokens)) => {
                if attempts.isolated {
                    self.suspects.clear(&account(call), &call.digest, self.context.clock.now());
                }
                self.note(call, Decision::Completed { status: *status, tokens: *tokens });
            }
            Err(error) => self.refuse(call, error),
        }
    }

    /// Notes a refusal or failure.
    pub fn refuse(&self, call: &Call, error: &Error) {
        let decision = Decision::Refused {
            code: error.code(),
            rule: error.rule().to_owned(),
            numbers: error.numbers(),
            outcome: error.outcome(),
        };
        self.note(call, decision);
    }

    /// Notes a decision about the call. Of a batch item, the batch service decides what is recorded;
    /// an instance to which it was forwarded records only failures.
    pub fn note(&self, call: &Call, decision: Decision) {
        let failed = matches!(decision, Decision::Refused { .. } | Decision::AttemptFailed { .. });
        if let Some(trace) = &call.trace {
            return trace.note(self.context.clock.wall_ms(), decision);
        }
        if call.class == Class::Batch && call.forwarded && !failed {
            return;
        }
        self.context.recorder.record(&call.request, call.account.as_ref(), decision);
    }

    fn with_retries<T>(&self, call: &Call, apply: impl FnOnce(&mut GroupRetries) -> T) -> T {
        let mut groups = self.lock_retries();
        let group = groups
            .entry(call.model.to_string())
            .or_insert_with(|| GroupRetries::new(RetrySettings::default()));
        apply(group)
    }

    fn lock_retries(&self) -> MutexGuard<'_, HashMap<String, GroupRetries>> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn account(call: &Call) -> AccountName {
    call.account.clone().unwrap_or_else(|| AccountName::from(OPEN_ACCOUNT))
}

/// Returns whole microseconds, saturating.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
