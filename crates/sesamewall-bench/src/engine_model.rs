//! Models a continuous-batching engine on virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_protocol::Class;
use sesamewall_protocol::Time;

/// Costs of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Microseconds of a step without work.
    pub step_us: u64,
    /// Microseconds added by each running stream.
    pub stream_us: u64,
    /// Microseconds added by each prompt token.
    pub prompt_us: u64,
    /// Prompt tokens in one step.
    pub chunk: u64,
    /// Factor of all costs while cold.
    pub cold_factor: u64,
    /// Busy time after which a cold engine is warm.
    pub cold_time: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            step_us: 20_000,
            stream_us: 60,
            prompt_us: 60,
            chunk: 512,
            cold_factor: 3,
            cold_time: Duration::from_secs(2),
        }
    }
}

/// Engine time spent on other work before the first token of a stream, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interference {
    /// Remaining time of the step that ran when the stream arrived.
    pub rest: u64,
    /// Part of `rest` that is due to batch prompts in that step.
    pub rest_batch: u64,
    /// Prompts of batch streams in later steps.
    pub batch: u64,
    /// Prompts of other online streams in later steps.
    pub online: u64,
    /// Tokens of running streams in later steps.
    pub streams: u64,
}

#[derive(Clone, Debug)]
struct Stream {
    class: Class,
    prompt: u64,
    output: u64,
    generated: u64,
    first: Option<Time>,
    interference: Interference,
}

#[derive(Clone, Debug)]
struct Step {
    started: Time,
    end: Time,
    /// Prompt tokens by stream; 0 for a stream whose prompt is complete.
    work: BTreeMap<u64, u64>,
    batch: u64,
}

/// A stream that finished in a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedStream {
    /// Number of the stream.
    pub stream: u64,
    /// Time of the first token.
    pub first: Time,
    /// Output tokens.
    pub generated: u64,
    /// Other work that delayed the first token.
    pub interference: Interference,
}

/// Runs streams in steps. Each step computes part of the waiting prompts, in arrival order, and one
/// token of each stream whose prompt is complete. There is no priority.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: EngineSettings,
    streams: BTreeMap<u64, Stream>,
    step: Option<Step>,
    cold_remaining_us: u64,
}

impl Engine {
    /// Creates a warm, idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        Self { settings, streams: BTreeMap::new(), step: None, cold_remaining_us: 0 }
    }

    /// Makes the engine cold.
    pub fn mark_cold(&mut self) {
        self.cold_remaining_us = self.settings.cold_time.as_micros() as u64;
    }

    /// Returns the number of streams.
    pub fn running(&self) -> usize {
        self.streams.len()
    }

    /// Adds a stream; numbers rise in arrival order. Returns the end of the step that starts now,
    /// if the engine was idle.
    pub fn start(
        &mut self,
        stream: u64,
        class: Class,
        (prompt, output): (u64, u64),
        now: Time,
    ) -> Option<Time> {
        let interference = self.step.as_ref().map_or_else(Interference::default, |step| {
            let rest = step.end.since(now).as_micros() as u64;
            Interference { rest, rest_batch: rest.min(step.batch), ..Interference::default() }
        });
        let state = Stream { class, prompt, output, generated: 0, first: None, interference };
        self.streams.insert(stream, state);
        if self.step.is_none() { self.begin_step(now) } else { None }
    }

    /// Cancels a stream and returns its first token time and its tokens so far.
    pub fn cancel(&mut self, stream: u64) -> Option<(Option<Time>, u64)> {
        self.streams.remove(&stream).map(|state| (state.first, state.generated))
    }

    /// Ends the step at `now`. Returns the finished streams and the end of the next step.
    pub fn end_step(&mut self, now: Time) -> (Vec<FinishedStream>, Option<Time>) {
        let Some(step) = self.step.take() else { return (Vec::new(), None) };
        let elapsed = now.since(step.started).as_micros() as u64;
        self.cold_remaining_us = self.cold_remaining_us.saturating_sub(elapsed);
        let mut finished = Vec::new();
        for (number, tokens) in step.work {
            let Some(stream) = self.streams.get_mut(&number) else { continue };
            stream.prompt -= tokens;
            if stream.prompt == 0 {
                stream.generated += 1;
                let first = *stream.first.get_or_insert(now);
                if stream.generated >= stream.output {
                    let Stream { generated, interference, .. } = *stream;
                    finished.push(FinishedStream {
                        stream: number,
                        first,
                        generated,
                        interference,
                    });
                }
            }
        }
        for done in &finished {
            self.streams.remove(&done.stream);
        }
        let next = self.begin_step(now);
        (finished, next)
    }

    fn begin_step(&mut self, now: Time) -> Option<Time> {
        if self.streams.is_empty() {
            return None;
        }
        let mut remaining = self.settings.chunk;
        let mut work = BTreeMap::new();
        for (number, stream) in &self.streams {
            let tokens = stream.prompt.min(remaining);
            remaining -= tokens;
            if tokens > 0 || stream.prompt == 0 {
                work.insert(*number, tokens);
            }
        }
        let EngineSettings { step_us, stream_us, prompt_us, chunk, cold_factor, .. } =
            self.settings;
        let cost = step_us + stream_us * work.len() as u64 + prompt_us * (chunk - remaining);
        let cost = if self.cold_remaining_us > 0 { cost * cold_factor } else { cost };
        let end = now + Duration::from_micros(cost);
        let batch = self.record_interference(&work);
        self.step = Some(Step { started: now, end, work, batch });
        Some(end)
    }

    /// Records for each stream without a first token what the step computes for other streams.
    /// Returns the time of batch prompts in microseconds.
    fn record_interference(&mut self, work: &BTreeMap<u64, u64>) -> u64 {
        let EngineSettings { stream_us, prompt_us, .. } = self.settings;
        let prompt_cost = |class: Class| -> u64 {
            let prompts = work.iter().filter(|(number, _)| self.streams[number].class == class);
            prompts.map(|(_, tokens)| tokens * prompt_us).sum()
        };
        let (batch, online) = (prompt_cost(Class::Batch), prompt_cost(Class::Online));
        for (number, stream) in self.streams.iter_mut().filter(|(_, stream)| stream.first.is_none())
        {
            let stream_prompt = work.get(number).map_or(0, |tokens| tokens * prompt_us);
            let stream_batch = if stream.class == Class::Batch { stream_prompt } else { 0 };
            stream.interference.batch += batch - stream_batch;
            stream.interference.online += online - (stream_prompt - stream_batch);
            stream.interference.streams += stream_us * work.len() as u64;
        }
        batch
    }
}
