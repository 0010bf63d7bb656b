//! Forwards a stream to its caller in complete events, and resumes it at another target when one
//! fails.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use sesamewall_fleet::EventSplitter;
use sesamewall_fleet::StallSettings;
use sesamewall_fleet::StreamVersion;
use sesamewall_fleet::VersionFilter;
use sesamewall_fleet::record_ttl;
use sesamewall_fleet::version_key;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use slog::info;

use crate::InstanceContext;
use crate::attempt::AttemptError;
use crate::attempt::AttemptResponse;
use crate::attempt::attempt;
use crate::byte_budget::BudgetExceeded;
use crate::byte_budget::ReservedBytes;
use crate::caller_request::CallerRequest;
use crate::response::ResponseBody;
use crate::state_exchange;
use crate::take_up;

/// Where the stream that the caller gets began.
enum BegunAt {
    /// No event was forwarded, so that any version may begin it.
    Nothing,
    /// At a target of this version.
    Version(VersionFilter),
    /// At a target whose version is not known, so that no other target may continue it.
    Unknown,
}

/// A stream that is forwarded to a caller.
pub struct StreamRelay {
    context: Arc<InstanceContext>,
    request: Arc<CallerRequest>,
    response: Option<AttemptResponse>,
    splitter: EventSplitter,
    reserved: ReservedBytes,
    /// Time of the last complete event, or of the start of the current run.
    last_event_at: Time,
    /// Time from which the limit for the next event counts: that of the last event, or when no other
    /// target had a place.
    wait_from: Time,
    /// Whether the time limit of the next event had passed when the last chunk arrived.
    overdue: bool,
    last_id: Option<u64>,
    /// Why the current run does not go on after the events that were just forwarded.
    fault: Option<AttemptError>,
    events: u64,
    /// Events of the current run.
    run_events: u64,
    begun: BegunAt,
    /// Whether the version was recorded for take-ups.
    is_recorded: bool,
    tried: Vec<TargetName>,
    /// Runs so far, including the current one.
    runs: u32,
    ended: bool,
}

impl StreamRelay {
    /// Returns the body that forwards `response`.
    pub fn body(
        context: Arc<InstanceContext>,
        request: Arc<CallerRequest>,
        response: AttemptResponse,
        tried: Vec<TargetName>,
        runs: u32,
    ) -> ResponseBody {
        let last_id = request.last_event_id();
        let begun = request.continues.clone().map_or(BegunAt::Nothing, BegunAt::Version);
        let relay = Self {
            reserved: context.buffers.reserve(),
            last_event_at: context.now(),
            wait_from: context.now(),
            overdue: false,
            context,
            request,
            response: Some(response),
            splitter: EventSplitter::default(),
            last_id,
            fault: None,
            events: 0,
            run_events: 0,
            begun,
            is_recorded: false,
            tried,
            runs,
            ended: false,
        };
        let chunks = stream::unfold(relay, |mut relay| async move {
            let chunk = relay.next().await?;
            Some((chunk.map(Frame::data), relay))
        });
        StreamBody::new(chunks).boxed_unsync()
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        let context = self.context.clone();
        tokio::select! {
            biased;
            events = self.next_events() => events,
            () = context.wait_answers_due() => self.abort("the instance stops"),
        }
    }

    /// Returns the next events, or the end of the stream.
    async fn next_events(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.complete_events() {
                Ok(events) if !events.is_empty() => {
                    if let Some(response) = &mut self.response {
                        response.on_begun();
                    }
                    self.start_wait();
                    return Some(Ok(events.into()));
                }
                Ok(_) if self.overdue && !self.has_alternative() => self.keep_waiting(),
                Ok(_) if self.overdue => {
                    let stalled_for = self.context.now().since(self.last_event_at);
                    if let Some(end) = self.fail_over(AttemptError::Stalled(stalled_for)).await {
                        return Some(end);
                    }
                    continue;
                }
                Ok(_) => {}
                Err(error) => {
                    if let Some(end) = self.fail_over(error).await {
                        return Some(end);
                    }
                    continue;
                }
            }
            let now = self.context.now();
            if now >= self.request.deadline {
                if let Some(response) = &mut self.response {
                    response.on_failed();
                }
                return self.abort("timeout");
            }
            let Some(response) = &mut self.response else { return self.abort("no target") };
            let framed = response.is_framed();
            let finished = self.runs.saturating_sub(1);
            // Bytes that complete no event do not extend the time limit.
            let event_gap = StallSettings::event_gap;
            let until =
                self.wait_from + self.request.stall_limit(self.wait_from, finished, event_gap);
            let error = match response.next_chunk(until.since(now)).await {
                Ok(Some(chunk)) => {
                    self.overdue = now >= until;
                    match self.push(&chunk) {
                        Ok(()) => continue,
                        Err(error) => error,
                    }
                }
                Ok(None) if self.splitter.has_partial() => {
                    AttemptError::Lost("the stream ended inside an event".to_owned())
                }
                Ok(None) if self.run_events == 0 && !framed => {
                    AttemptError::Lost("the stream ended before its first event".to_owned())
                }
                Ok(None) => return self.on_complete(),
                // The silent target may go on, and without another one the stream would end here.
                Err(AttemptError::Stalled(_)) if !self.has_alternative() => {
                    self.keep_waiting();
                    continue;
                }
                Err(error) => error,
            };
            if let Some(end) = self.fail_over(error).await {
                return Some(end);
            }
        }
    }

    /// Starts the wait for the next event after an event or the start of a run.
    fn start_wait(&mut self) {
        self.last_event_at = self.context.now();
        self.wait_from = self.last_event_at;
        self.overdue = false;
    }

    /// Goes on waiting for the present target.
    fn keep_waiting(&mut self) {
        let now = self.context.now();
        if self.wait_from == self.last_event_at {
            let target = self.response.as_ref().map(|response| response.target.as_str());
            info!(self.context.log, "stream waits for its target"; "request" => self.request.id_text(),
                "after" => self.last_id, "target" => target,
                "silent_ms" => now.since(self.last_event_at).as_millis() as u64);
        }
        self.wait_from = now;
        self.overdue = false;
    }

    /// Returns whether the stream may go on at another target, and one has a place.
    fn has_alternative(&self) -> bool {
        self.may_resume(self.context.now())
            && self.request.has_place(&self.context, self.filter(), &self.tried)
    }

    /// Returns the targets at which the stream may go on; `None` for all, before its first event.
    fn filter(&self) -> Option<&VersionFilter> {
        match &self.begun {
            BegunAt::Version(filter) => Some(filter),
            BegunAt::Nothing | BegunAt::Unknown => None,
        }
    }

    fn may_resume(&self, now: Time) -> bool {
        let blocked = self.context.state().crash_counts.is_blocked(self.request.hash)
            || self.request.poison(&self.context).is_some();
        let allowed = self.request.is_resumable() && self.runs < self.request.route.attempts;
        let known = !matches!(self.begun, BegunAt::Unknown);
        allowed && known && !blocked && now < self.request.deadline
    }

    fn push(&mut self, chunk: &[u8]) -> Result<(), AttemptError> {
        let bytes = self.splitter.buffered_len() + chunk.len();
        self.splitter.push(chunk).map_err(|_| AttemptError::TooLarge(BudgetExceeded { bytes }))?;
        self.reserved.resize(self.splitter.buffered_len()).map_err(AttemptError::TooLarge)
    }

    /// Checks before the first event of a run is forwarded that the target has the version of the
    /// stream. The first event of the stream itself determines the version, which is recorded for the
    /// case that the caller takes the stream up again. A stream that is not resumable has one run.
    fn begin_run(&mut self) -> Result<(), AttemptError> {
        let Some(response) = self.response.as_ref().filter(|_| self.request.is_resumable()) else {
            return Ok(());
        };
        let version = response.confirmed_version(&self.request.service);
        match (&self.begun, version) {
            (BegunAt::Version(filter), Some(version)) if filter.allows(&version) => {}
            (BegunAt::Nothing, Some(version)) => {
                self.begun = BegunAt::Version(VersionFilter::only(version));
            }
            (BegunAt::Nothing, None) => {
                info!(self.context.log, "version of a stream is not known";
                    "request" => self.request.id_text(), "target" => %response.target,
                    "target_version" => &*response.version);
                self.begun = BegunAt::Unknown;
            }
            (BegunAt::Version(_) | BegunAt::Unknown, _) => {
                return Err(AttemptError::VersionChanged);
            }
        }
        if let BegunAt::Version(filter) = &self.begun
            && !self.is_recorded
            && let Some(stream) = take_up::recorded_stream(&self.request)
        {
            self.is_recorded = true;
            let begun = response.begun_stream(stream);
            self.context.state().stream_versions.on_begun(begun);
            let ttl = record_ttl(self.request.route.timeout)
                .max(self.request.deadline.since(self.context.now()));
            let version = StreamVersion::Known(version_key(&filter.version));
            state_exchange::record(&self.context, stream, version, ttl);
        }
        Ok(())
    }

    /// Returns the complete events that have arrived. A resumed stream must continue right after
    /// the last event that was forwarded. Once a stream has numbered events, one without a number is
    /// none of them: it may be the head of another response on the connection.
    fn complete_events(&mut self) -> Result<Vec<u8>, AttemptError> {
        if let Some(fault) = self.fault.take() {
            return Err(fault);
        }
        let mut events = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            let in_order = match (self.last_id, event.id) {
                (Some(last_id), Some(id)) => last_id.checked_add(1) == Some(id),
                (Some(_), None) => event.is_comment(),
                (None, _) => true,
            };
            if !in_order {
                let fault = AttemptError::InvalidResponse("events out of order".to_owned());
                if events.is_empty() {
                    return Err(fault);
                }
                self.fault = Some(fault);
                return Ok(events);
            }
            if self.run_events == 0 {
                self.begin_run()?;
            }
            self.last_id = event.id.or(self.last_id);
            self.events += 1;
            self.run_events += 1;
            events.extend_from_slice(&event.bytes);
        }
        Ok(events)
    }

    fn on_complete(&mut self) -> Option<io::Result<Bytes>> {
        self.ended = true;
        if let Some(response) = self.response.take() {
            response.finish(&self.context);
        }
        self.context.state().crash_counts.on_success(self.request.hash);
        self.log("complete");
        None
    }

    /// Ends the stream with an error, so that the caller sees that it is not complete.
    fn abort(&mut self, reason: &str) -> Option<io::Result<Bytes>> {
        self.ended = true;
        self.response = None;
        self.log(reason);
        Some(Err(io::Error::other(reason.to_owned())))
    }

    /// Resumes the stream at another target. Returns the end of the stream if that is not possible.
    async fn fail_over(&mut self, error: AttemptError) -> Option<io::Result<Bytes>> {
        let run_events = std::mem::take(&mut self.run_events);
        match (&mut self.response, &error) {
            (Some(response), AttemptError::Lost(_)) => response.on_lost(),
            (Some(response), _) => response.on_failed(),
            _ => {}
        }
        let stopped = self.response.take().map(|response| response.target.clone());
        self.splitter.clear();
        self.fault = None;
        self.overdue = false;
        let now = self.context.now();
        if let (Some(target), AttemptError::Lost(_)) = (&stopped, &error) {
            self.request.log_loss(&self.context, target, run_events);
        }
        {
            let mut state = self.context.state();
            if let Some(target) = &stopped {
                state.targets.on_failure(target, now);
            }
            if matches!(error, AttemptError::Lost(_)) {
                state.crash_counts.on_crash(self.request.hash, now);
                if let Some(stream) = take_up::recorded_stream(&self.request) {
                    state.stream_versions.on_lost(stream);
                }
            }
        }
        self.resume(error).await
    }

    /// Notes if the version of the stream has turned out to be in doubt since its first event.
    fn check_begun(&mut self) {
        state_exchange::withdraw_doubtful(&self.context);
        let now = self.context.now();
        let stream = take_up::recorded_stream(&self.request).filter(|_| self.is_recorded);
        let known = |stream| self.context.state().stream_versions.get(stream, now).0;
        if stream.is_some_and(|stream| known(stream) == StreamVersion::Conflicting) {
            self.begun = BegunAt::Unknown;
        }
    }

    async fn resume(&mut self, mut error: AttemptError) -> Option<io::Result<Bytes>> {
        self.check_begun();
        loop {
            let now = self.context.now();
            if !self.may_resume(now) {
                return self.abort(&format!("broken off: {error}"));
            }
            let (context, request) = (&self.context, &self.request);
            let target = match take_up::choose(context, request, self.filter(), &self.tried).await {
                Ok(target) => target,
                Err(reason) => return self.abort(&format!("broken off: {error}; {reason}")),
            };
            let now = self.context.now();
            let placement = target.placement.clone();
            let limit = self
                .request
                .stall_limit(now, self.runs, |stall, route| stall.first_byte(route, &placement));
            let attempt_request = self.request.attempt_request(&self.context, self.last_id, now);
            let result = attempt(&self.context, target, &attempt_request, limit).await;
            info!(self.context.log, "stream goes on elsewhere"; "request" => self.request.id_text(),
            "after" => self.last_id, "cause" => %error, "begun_at" => self.filter().map(|filter| &*filter.version),
            "target" => %placement.name, "target_version" => &*placement.version,
            "cold" => placement.cold, "recent" => placement.recent,
            "end" => match &result {
                Ok(response) => format!("status {}", response.status.as_u16()),
                Err(error) => error.to_string(),
            });
            self.tried.push(placement.name.clone());
            match result {
                Ok(response) if response.is_event_stream() => {
                    self.runs += 1;
                    self.response = Some(response);
                    self.start_wait();
                    return None;
                }
                Ok(response) => {
                    self.runs += 1;
                    error = AttemptError::Failed(response.status.as_u16());
                }
                Err(failed) => {
                    if !failed.is_not_run() {
                        self.runs += 1;
                    }
                    error = failed;
                }
            }
        }
    }

    fn log(&self, end: &str) {
        self.request.on_end(&self.context);
        info!(self.context.log, "stream ended"; "request" => self.request.id_text(),
            "route" => &*self.request.route.name, "events" => self.events, "last" => self.last_id,
            "runs" => self.runs, "end" => end,
            "ms" => self.context.now().since(self.request.arrived).as_millis() as u64);
    }
}
