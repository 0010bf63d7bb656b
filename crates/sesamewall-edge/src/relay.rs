//! Passes a stream on to its caller by whole events, and goes on at another target when one stops.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use sesamewall_fleet::EventSplitter;
use sesamewall_fleet::SilenceSettings;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use slog::info;

use crate::Node;
use crate::attempt::AttemptError;
use crate::attempt::AttemptResponse;
use crate::attempt::attempt;
use crate::byte_budget::HeldBytes;
use crate::byte_budget::OverBudget;
use crate::caller_request::CallerRequest;
use crate::reply::ReplyBody;

/// A stream on its way to the caller.
pub struct Relay {
    node: Arc<Node>,
    call: Arc<CallerRequest>,
    answer: Option<AttemptResponse>,
    splitter: EventSplitter,
    held: HeldBytes,
    /// When the last whole event came, or the present run began.
    heard: Time,
    /// The time for the next event was over when the last piece came.
    overdue: bool,
    last: Option<u64>,
    events: u64,
    tried: Vec<TargetName>,
    /// Runs so far, the present one included.
    runs: u32,
    ended: bool,
}

impl Relay {
    /// Returns the body that passes `answer` on.
    pub fn body(
        node: Arc<Node>,
        call: Arc<CallerRequest>,
        answer: AttemptResponse,
        tried: Vec<TargetName>,
        runs: u32,
    ) -> ReplyBody {
        let last = call.last_event_id();
        let relay = Self {
            held: node.buffers.hold(),
            heard: node.now(),
            overdue: false,
            node,
            call,
            answer: Some(answer),
            splitter: EventSplitter::default(),
            last,
            events: 0,
            tried,
            runs,
            ended: false,
        };
        let pieces = stream::unfold(relay, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece.map(Frame::data), relay))
        });
        StreamBody::new(pieces).boxed_unsync()
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        loop {
            match self.whole_events() {
                Ok(events) if !events.is_empty() => {
                    self.heard = self.node.now();
                    self.overdue = false;
                    return Some(Ok(events.into()));
                }
                Ok(_) if self.overdue => {
                    let silence = self.node.now().since(self.heard);
                    if let Some(end) = self.broken(AttemptError::Stalled(silence)).await {
                        return Some(end);
                    }
                    continue;
                }
                Ok(_) => {}
                Err(error) => {
                    if let Some(end) = self.broken(error).await {
                        return Some(end);
                    }
                    continue;
                }
            }
            let now = self.node.now();
            if now >= self.call.deadline {
                return self.end("timeout");
            }
            let Some(answer) = &mut self.answer else { return self.end("no target") };
            let finished = self.runs.saturating_sub(1);
            // Bytes that make no event do not count as a sign of life.
            let between = SilenceSettings::between_events;
            let until = self.heard + self.call.stall_limit(self.heard, finished, between);
            let error = match answer.next_chunk(until.since(now)).await {
                Ok(Some(piece)) => {
                    self.overdue = now >= until;
                    match self.push(&piece) {
                        Ok(()) => continue,
                        Err(error) => error,
                    }
                }
                Ok(None) if self.splitter.has_rest() => {
                    AttemptError::Lost("the stream ended inside an event".to_owned())
                }
                Ok(None) => return self.complete(),
                Err(error) => error,
            };
            if let Some(end) = self.broken(error).await {
                return Some(end);
            }
        }
    }

    fn push(&mut self, piece: &[u8]) -> Result<(), AttemptError> {
        let bytes = self.splitter.waiting() + piece.len();
        self.splitter.push(piece).map_err(|_| AttemptError::TooLarge(OverBudget { bytes }))?;
        self.held.resize(self.splitter.waiting()).map_err(AttemptError::TooLarge)
    }

    /// Returns the whole events at hand. A stream that went on elsewhere must go on right after the
    /// last event that was passed on.
    fn whole_events(&mut self) -> Result<Vec<u8>, AttemptError> {
        let mut events = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            let follows = match (self.last, event.id) {
                (Some(last), Some(id)) => id == last + 1,
                _ => true,
            };
            if !follows {
                return match events.is_empty() {
                    true => Err(AttemptError::InvalidResponse("events out of order".to_owned())),
                    false => Ok(events),
                };
            }
            self.last = event.id.or(self.last);
            self.events += 1;
            events.extend_from_slice(&event.bytes);
        }
        Ok(events)
    }

    fn complete(&mut self) -> Option<io::Result<Bytes>> {
        self.ended = true;
        if let Some(answer) = self.answer.take() {
            answer.finish(&self.node);
        }
        self.node.state().suspects.on_success(self.call.hash);
        self.log("complete");
        None
    }

    /// Ends the stream so that the caller sees that it is not complete.
    fn end(&mut self, reason: &str) -> Option<io::Result<Bytes>> {
        self.ended = true;
        self.answer = None;
        self.log(reason);
        Some(Err(io::Error::other(reason.to_owned())))
    }

    /// Goes on at another target. Returns the end of the stream if that is not possible.
    async fn broken(&mut self, error: AttemptError) -> Option<io::Result<Bytes>> {
        let stopped = self.answer.take().map(|answer| answer.target.clone());
        self.splitter.clear();
        self.overdue = false;
        let now = self.node.now();
        {
            let mut state = self.node.state();
            if let Some(target) = &stopped {
                state.targets.on_failure(target, now);
            }
            if matches!(error, AttemptError::Lost(_)) {
                state.suspects.on_crash(self.call.hash, now);
            }
        }
        self.resume(error).await
    }

    async fn resume(&mut self, mut error: AttemptError) -> Option<io::Result<Bytes>> {
        loop {
            let now = self.node.now();
            let poison = self.node.state().suspects.refused(self.call.hash);
            let allowed = self.call.is_resumable() && self.runs < self.call.route.attempts;
            if !allowed || poison || now >= self.call.deadline {
                return self.end(&format!("broken off: {error}"));
            }
            let chosen = match self.call.choose(&self.node, &self.tried) {
                Ok(chosen) => chosen,
                Err(reason) => return self.end(&format!("broken off: {error}; {reason}")),
            };
            let limit = self.call.stall_limit(now, self.runs, |silence, route| {
                silence.before_answer(route, &chosen)
            });
            let outgoing = self.call.attempt_request(self.last, now);
            let result = attempt(&self.node, &chosen, &outgoing, limit).await;
            info!(self.node.log, "stream goes on elsewhere"; "request" => self.call.id_text(),
            "after" => self.last, "cause" => %error, "target" => %chosen.name,
            "end" => match &result {
                Ok(answer) => format!("status {}", answer.status.as_u16()),
                Err(error) => error.to_string(),
            });
            self.tried.push(chosen.name.clone());
            match result {
                Ok(answer) if answer.status.is_success() => {
                    self.runs += 1;
                    self.answer = Some(answer);
                    self.heard = self.node.now();
                    return None;
                }
                Ok(answer) => {
                    self.runs += 1;
                    error = AttemptError::Failed(answer.status.as_u16());
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
        info!(self.node.log, "stream ended"; "request" => self.call.id_text(),
            "route" => &*self.call.route.name, "events" => self.events, "last" => self.last,
            "runs" => self.runs, "end" => end,
            "ms" => self.node.now().since(self.call.arrived).as_millis() as u64);
    }
}
