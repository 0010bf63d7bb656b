//! State shared by all calls of one instance, and the steps before and after each attempt.

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
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_protocol::peer::SlotResult;
use sesamewall_schedule::GroupRetryBudget;
use sesamewall_schedule::RequestRetryBudget;
use sesamewall_schedule::RetrySettings;
use tokio_util::sync::CancellationToken;

use super::Call;
use super::attempt::AttemptError;
use super::crash_marks::CrashCheck;
use super::crash_marks::SharedCrashMarks;
use super::forward;
use crate::InstanceContext;
use crate::service_traits::Destination;
use crate::service_traits::RateLimiter;
use crate::service_traits::SlotAllocator;
use crate::service_traits::SlotGuard;
use crate::service_traits::SlotReport;
use crate::service_traits::SlotSink;

/// Account name under which calls without an account are queued (routes that need no key).
const OPEN_ACCOUNT: &str = "-open-";
const MARK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval after which a batch item requests a slot again when none was free or the queue was
/// full.
pub const BATCH_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of an online request in the queue of the local failure domain while another failure
/// domain could serve it. After this wait the request is offered to other failure domains again.
const LOCAL_WAIT_US: u64 = 2_000_000;
/// Wait of a batch item for a slot before it requests one again.
const BATCH_WAIT_US: u64 = 10_000_000;
/// Number of other failure domains to which a request is offered before it waits in the local one.
const OFFER_LIMIT: usize = 2;

/// Runs calls on targets.
pub struct Executor {
    /// Context that all services of the instance share.
    pub context: Arc<InstanceContext>,
    /// Crash marks of requests.
    pub crash_marks: SharedCrashMarks,
    rate: Arc<dyn RateLimiter>,
    slots: Arc<dyn SlotAllocator>,
    retries: Mutex<HashMap<String, GroupRetryBudget>>,
}

/// State of one call across its attempts.
pub struct Attempts {
    budget: RequestRetryBudget,
    exclude: Vec<TargetName>,
    deadline: Time,
    isolated: bool,
    not_before: Time,
    offered: Vec<DomainName>,
    unknown_outcome: Option<Error>,
    crashed: bool,
    /// Targets of other versions than the one that has begun the response.
    pub(super) other_versions: Vec<TargetName>,
}

impl Attempts {
    /// Keeps the crash marks of the call, because a failure of the target or a refusal of another
    /// instance does not prove that the request is harmless.
    pub fn record_unsuccessful(&mut self) {
        self.isolated = false;
    }

    /// Returns the error to report to the caller. If an earlier attempt has an unknown outcome, its
    /// error is returned in place of a later error with outcome "not run".
    pub fn final_error(&mut self, error: Error) -> Error {
        match self.unknown_outcome.take() {
            Some(earlier) if error.outcome() == Outcome::NotRun => earlier,
            _ => error,
        }
    }
}

/// Ignores the report of a forwarded call, since the other instance reports the slot.
struct ForwardSink;

impl SlotSink for ForwardSink {
    fn report(&self, _: &Slot, _: SlotReport) {}
}

impl Executor {
    /// Creates an executor.
    pub fn new(
        context: Arc<InstanceContext>,
        rate: Arc<dyn RateLimiter>,
        slots: Arc<dyn SlotAllocator>,
    ) -> Self {
        Self {
            context,
            crash_marks: SharedCrashMarks::default(),
            rate,
            slots,
            retries: Mutex::default(),
        }
    }

    /// Starts a call: refuses requests that crash targets, then takes the
    /// request from the account's rate limit.
    pub async fn start(&self, call: &Call) -> Result<Attempts> {
        let now = self.context.clock.now();
        let crash_check = self.check_crash_marks(call, now)?;
        if let (Some(account), false) = (&call.account, call.forwarded) {
            tokio::select! {
                () = call.cancel.cancelled() => return Err(Error::Cancelled),
                consumed = self.rate.spend(account, call.class) => consumed?,
            }
            let wait_us = micros(self.context.clock.now().since(now));
            self.record(call, Decision::RateSpent { wait_us });
        }
        self.with_retries(call, GroupRetryBudget::on_request);
        // Retries are made by the instance that accepted the request.
        let settings = match call.forwarded {
            true => RetrySettings { per_request: 0, ..RetrySettings::default() },
            false => RetrySettings::default(),
        };
        Ok(Attempts {
            budget: RequestRetryBudget::new(&settings),
            exclude: Vec::new(),
            deadline: now + Duration::from_millis(self.context.settings.queue_ms),
            isolated: crash_check.isolated,
            not_before: crash_check.from,
            offered: Vec::new(),
            unknown_outcome: None,
            crashed: false,
            other_versions: Vec::new(),
        })
    }

    /// Waits for a slot for the next attempt.
    pub async fn acquire_slot(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        generated: u64,
    ) -> Result<SlotGuard> {
        loop {
            match self.try_acquire_slot(call, attempts, generated).await {
                // Every target has failed an attempt, so all of them become eligible again.
                Err(Error::NoTarget { .. }) if !attempts.exclude.is_empty() => {
                    attempts.exclude.clear();
                    return self.try_acquire_slot(call, attempts, generated).await;
                }
                Err(Error::QueueTimeout { .. }) if self.can_offer_again(call, attempts) => {
                    attempts.offered.clear();
                }
                placed => return placed,
            }
        }
    }

    /// Returns whether a request that timed out in the queue of the local failure domain may be
    /// offered to other failure domains again before its deadline.
    fn can_offer_again(&self, call: &Call, attempts: &Attempts) -> bool {
        call.class == Class::Online
            && !call.forwarded
            && !call.cancel.is_cancelled()
            && self.context.clock.now() < attempts.deadline
            && self.slots.offer(&call.model, &[]).is_some()
    }

    /// Returns the longest wait in the queue of the local failure domain, in microseconds. It is
    /// limited while another failure domain could serve the request, because slots of a lost
    /// instance can occupy the local targets for 10 s.
    fn online_wait(&self, call: &Call, attempts: &Attempts) -> u64 {
        let remaining = micros(attempts.deadline.since(self.context.clock.now()));
        match self.can_offer_again(call, attempts) {
            true => remaining.min(LOCAL_WAIT_US),
            false => remaining,
        }
    }

    async fn try_acquire_slot(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        generated: u64,
    ) -> Result<SlotGuard> {
        // A suspect request waits until the crash marks of other instances have arrived.
        tokio::time::sleep(attempts.not_before.since(self.context.clock.now())).await;
        let first = attempts.exclude.is_empty();
        let wait_us = match call.class {
            // Only the first attempt may skip the wait: after an attempt that ran the request, a
            // refusal with the outcome "not run" would be false.
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
        let slot_request = SlotRequest {
            request: call.request.clone(),
            account,
            weight,
            class: call.class,
            model: call.model.clone(),
            work: call.work,
            prompt: call.prompt + generated,
            urgent: call.urgent,
            prefix: call.prefix.clone(),
            wait_us,
            exclude: [attempts.exclude.clone(), attempts.other_versions.clone()].concat(),
            isolated: attempts.isolated,
        };
        let guard = match self.acquire_without_wait(call, attempts, &slot_request).await? {
            Some(guard) => guard,
            None => self.acquire_or_forward(call, slot_request).await?,
        };
        let slot = &guard.slot;
        let decision = Decision::SlotGranted {
            target: slot.target.to_string(),
            wait_us: slot.wait_us,
            reason: slot.reason.clone(),
        };
        self.record(call, decision);
        Ok(guard)
    }

    /// Tries the local failure domain, then offers the request to others, without waiting in a
    /// queue. Returns `None` if the request must wait in the local failure domain.
    async fn acquire_without_wait(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        slot_request: &SlotRequest,
    ) -> Result<Option<SlotGuard>> {
        let can_offer = call.class == Class::Online && !call.forwarded && !attempts.isolated;
        if !can_offer || attempts.offered.len() >= OFFER_LIMIT {
            return Ok(None);
        }
        let Some(instance) = self.slots.offer(&call.model, &attempts.offered) else {
            return Ok(None);
        };
        if attempts.offered.is_empty() {
            match self
                .acquire_or_forward(call, SlotRequest { wait_us: 0, ..slot_request.clone() })
                .await
            {
                Err(Error::QueueTimeout { .. }) => {}
                Err(Error::ShuttingDown) => return Err(Error::Cancelled),
                Err(_) => return Ok(None),
                Ok(guard) => return Ok(Some(guard)),
            }
        }
        attempts.offered.push(instance.domain.clone());
        let reason = format!("no target free in the own failure domain; {}", instance.domain);
        Ok(Some(self.forward(call, &instance, forward::OFFER_SLOT, reason)))
    }

    async fn acquire_or_forward(
        &self,
        call: &Call,
        slot_request: SlotRequest,
    ) -> Result<SlotGuard> {
        let destination = tokio::select! {
            () = call.cancel.cancelled() => return Err(Error::Cancelled),
            destination = self.slots.acquire(slot_request, !call.forwarded) => destination?,
        };
        Ok(match destination {
            Destination::Local(guard) => guard,
            Destination::Forward(instance) => {
                let domain = &instance.domain;
                let reason = format!("own failure domain cannot serve; forwarded to {domain}");
                self.forward(call, &instance, 0, reason)
            }
        })
    }

    /// Records that another failure domain refused an offered request. Returns false if the failed
    /// attempt was not an offer.
    fn handle_refused_offer(
        &self,
        call: &Call,
        attempts: &Attempts,
        slot: &Slot,
        failure: &AttemptError,
    ) -> bool {
        let offer = slot.epoch == 0 && slot.slot == forward::OFFER_SLOT && failure.not_run;
        let Some(domain) = attempts.offered.last().filter(|_| offer) else { return false };
        let numbers = failure.error.numbers();
        // Without the number, the failure domain was not reachable: the maximum is recorded, so
        // that the domain is tried last.
        let tokens = numbers.iter().find(|(name, _)| name == "queue_tokens");
        let tokens = tokens.map_or(f64::MAX, |(_, tokens)| *tokens);
        self.slots.record_denied_offer(&call.model, domain, tokens);
        true
    }

    fn forward(
        &self,
        call: &Call,
        instance: &ListedInstance,
        number: u64,
        reason: String,
    ) -> SlotGuard {
        self.record(call, Decision::Forwarded { instance: instance.name.clone() });
        let slot = Slot {
            slot: number,
            epoch: 0,
            request: call.request.clone(),
            target: TargetName::from(format!("instance {}", instance.name)),
            address: format!("http://{}", instance.address.forward),
            reason,
            wait_us: 0,
        };
        SlotGuard::new(slot, CancellationToken::new(), Arc::new(ForwardSink))
    }

    /// Decides whether a failed attempt is followed by another one, and returns the error if not.
    /// `delivered` is true if part of the response has already reached the caller.
    pub fn retry(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        slot: &Slot,
        failure: AttemptError,
        delivered: bool,
    ) -> Result<()> {
        let now = self.context.clock.now();
        let target = slot.target.to_string();
        let reason = failure.error.to_string();
        self.record(call, Decision::AttemptFailed { target, reason });
        // A refused offer does not count as a retry, since the request reached no target.
        if self.handle_refused_offer(call, attempts, slot, &failure) && !call.cancel.is_cancelled()
        {
            return Ok(());
        }
        if !failure.not_run {
            attempts.unknown_outcome = Some(failure.error.clone());
        }
        self.record_crash(call, attempts, slot, &failure, now);
        let overload = failure.end == SlotResult::Overloaded;
        self.with_retries(call, |group| group.on_failure(overload, now));
        let repeatable = failure.not_run || (call.idempotent && !delivered);
        if !repeatable || call.cancel.is_cancelled() {
            return Err(failure.error);
        }
        let crash_check = self.check_crash_marks(call, now)?;
        attempts.isolated = crash_check.isolated;
        attempts.not_before = crash_check.from;
        let allowed = self.with_retries(call, |group| group.try_retry(&mut attempts.budget, now));
        if allowed.is_err() {
            return Err(failure.error);
        }
        attempts.exclude.push(slot.target.clone());
        Ok(())
    }

    /// Returns whether the call must run in isolation and from when, according to its crash marks,
    /// or an error if it must not run. Batch items get no crash marks: each
    /// item must be completed even if targets crash while they run it, and its worker backs off
    /// longer after each lost target.
    fn check_crash_marks(&self, call: &Call, now: Time) -> Result<CrashCheck> {
        match call.class {
            Class::Online => self.crash_marks.check(&account(call), &call.digest, now),
            Class::Batch => Ok(CrashCheck { isolated: false, from: now }),
        }
    }

    /// Records that a target was lost while it ran the call. For a forwarded call, the instance
    /// that ran it adds the crash mark.
    fn record_crash(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        slot: &Slot,
        failure: &AttemptError,
        now: Time,
    ) {
        let crashed = match slot.is_forward() {
            true => !failure.not_run,
            false => failure.end == SlotResult::Crashed,
        };
        match (call.class, &call.trace) {
            _ if !crashed => {}
            (Class::Batch, Some(trace)) => trace.record_lost_target(),
            (Class::Online, _) if !slot.is_forward() => {
                attempts.crashed = true;
                let instance = &self.context.local.name;
                self.crash_marks.add(&account(call), &call.digest, slot, instance, now);
            }
            _ => {}
        }
    }

    /// Waits until the crash marks of a call have reached all instances, if a target crashed. The
    /// caller gets the error only then, so that a request that it sends again at once reaches an
    /// instance that has the marks.
    pub async fn delay_failure(&self, call: &Call, attempts: &Attempts) {
        let settled = self.crash_marks.settled_at(&account(call), &call.digest);
        if let (true, Some(settled)) = (attempts.crashed, settled) {
            tokio::time::sleep(settled.since(self.context.clock.now())).await;
        }
    }

    /// Starts the task that sends crash marks to all instances. Marks are rare, so each is sent to
    /// every instance directly. It is sent repeatedly for several seconds, so that a lost message
    /// does no harm.
    pub fn spawn_mark_sender(self: &Arc<Self>) {
        let executor = self.clone();
        self.context.tasks.spawn_essential("crash marks", async move {
            loop {
                tokio::time::sleep(MARK_INTERVAL).await;
                let now = executor.context.clock.now();
                executor.crash_marks.tick(now);
                let marks = executor.crash_marks.recent(now);
                if !marks.is_empty() {
                    executor.send_marks(&marks);
                }
            }
        });
    }

    fn send_marks(&self, marks: &[CrashMark]) {
        let local = &self.context.local.name;
        for instance in self.context.directory.instances() {
            if instance.name == *local {
                continue;
            }
            let link = self.context.link.clone();
            let message = PeerMessage::Schedule(ScheduleMessage::Marks(marks.to_vec()));
            tokio::spawn(async move {
                let _ = link.exchange(&instance.address, message).await;
            });
        }
    }

    /// Records the result of a call, and clears its crash marks if it succeeded in isolation.
    pub fn finish(&self, call: &Call, attempts: &Attempts, result: &Result<(u16, u64)>) {
        let class = call.class_label();
        let code = result.as_ref().map_or_else(Error::code, |_| 0);
        self.context.metrics.requests.with_label_values(&[class, &code.to_string()]).inc();
        match result {
            Ok((status, tokens)) => {
                if attempts.isolated {
                    self.crash_marks.clear(&account(call), &call.digest, self.context.clock.now());
                }
                self.record(call, Decision::Completed { status: *status, tokens: *tokens });
            }
            Err(error) => self.record_refusal(call, error),
        }
    }

    /// Records a refusal or failure.
    pub fn record_refusal(&self, call: &Call, error: &Error) {
        let decision = Decision::Refused {
            code: error.code(),
            rule: error.rule().to_owned(),
            numbers: error.numbers(),
            outcome: error.outcome(),
        };
        self.record(call, decision);
    }

    /// Records a decision about the call. If the call has the trace of a batch item, the
    /// decision goes to the trace, from which the batch service chooses what to record. Otherwise
    /// it goes to the recorder, but for a forwarded batch item only if it is a failure.
    pub fn record(&self, call: &Call, decision: Decision) {
        let failed = matches!(decision, Decision::Refused { .. } | Decision::AttemptFailed { .. });
        if let Some(trace) = &call.trace {
            return trace.record(self.context.clock.wall_ms(), decision);
        }
        if call.class == Class::Batch && call.forwarded && !failed {
            return;
        }
        self.context.recorder.record(&call.request, call.account.as_ref(), decision);
    }

    fn with_retries<T>(&self, call: &Call, apply: impl FnOnce(&mut GroupRetryBudget) -> T) -> T {
        let mut groups = self.lock_retries();
        let group = groups
            .entry(call.model.to_string())
            .or_insert_with(|| GroupRetryBudget::new(RetrySettings::default()));
        apply(group)
    }

    fn lock_retries(&self) -> MutexGuard<'_, HashMap<String, GroupRetryBudget>> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn account(call: &Call) -> AccountName {
    call.account.clone().unwrap_or_else(|| AccountName::from(OPEN_ACCOUNT))
}

/// Returns a duration in microseconds, saturating at the maximum of `u64`.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
