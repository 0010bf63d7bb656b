//! Runs batch items on the executor that also runs online requests.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::Result;
use tokio::sync::mpsc;

use super::Call;
use super::Executor;
use super::engine_call::StreamOutput;
use crate::ItemRequest;
use crate::ItemRunResult;
use crate::ItemRunner;
use crate::caller::ModelRequest;
use crate::caller::plain_route_call;

const OUTPUT_BUFFER: usize = 64;

/// Runs batch items on an executor.
pub struct BatchItemRunner {
    executor: Arc<Executor>,
}

impl BatchItemRunner {
    /// Creates a runner.
    pub fn new(executor: Arc<Executor>) -> Self {
        Self { executor }
    }

    async fn run_engine(&self, item: &ItemRequest) -> Result<(u16, Bytes)> {
        let context = &self.executor.context;
        let request = ModelRequest::parse(&item.body)?;
        let configuration = context.config.current();
        let mut call = request.to_call(&configuration, &item.request, Some(&item.account))?;
        call.class = Class::Batch;
        call.path.clone_from(&item.path);
        call.cancel = item.cancel.clone();
        call.urgent = item.urgent;
        call.trace = Some(item.trace.clone());
        if !request.is_resumable() {
            return self.run_whole(&call).await;
        }
        call.body = request.streamed_body();
        let (sender, mut outputs) = mpsc::channel(OUTPUT_BUFFER);
        let executor = self.executor.clone();
        let run = tokio::spawn(async move { executor.run_stream(&call, sender).await });
        let chat = item.path.contains("chat");
        let mut assembler = ResponseAssembler { chat, ..ResponseAssembler::default() };
        let mut result = Ok(());
        while let Some(output) = outputs.recv().await {
            match output {
                StreamOutput::Event(event) => assembler.add(&event.bytes),
                StreamOutput::Begun { .. } => {}
                StreamOutput::Status { status, body, .. } => return Ok((status, body)),
                StreamOutput::Restarted => {
                    assembler = ResponseAssembler { chat, ..ResponseAssembler::default() };
                }
                StreamOutput::Failed(error) => result = Err(error),
            }
        }
        run.await.map_err(|error| Error::Internal { detail: error.to_string() })?;
        result.map(|()| (200, assembler.body(&request)))
    }

    async fn run_route(&self, item: &ItemRequest) -> Result<(u16, Bytes)> {
        let configuration = self.executor.context.config.current();
        let mut call = plain_route_call(&configuration, item)?;
        call.cancel = item.cancel.clone();
        self.run_whole(&call).await
    }

    /// Runs a call whose answer has to fit into memory as a whole.
    async fn run_whole(&self, call: &Call) -> Result<(u16, Bytes)> {
        let response = self.executor.run_plain(call).await?;
        match response.remaining {
            None => Ok((response.status, response.body)),
            Some(rest) => Err(rest.reject()),
        }
    }
}

#[async_trait]
impl ItemRunner for BatchItemRunner {
    async fn run(&self, item: ItemRequest) -> ItemRunResult {
        let result = match item.path.as_str() {
            "/v1/chat/completions" | "/v1/completions" => self.run_engine(&item).await,
            _ => self.run_route(&item).await,
        };
        match result {
            Ok((status, body)) => ItemRunResult::Answered { status, body },
            Err(Error::Cancelled) => ItemRunResult::Cancelled,
            Err(error) if item.cancel.is_cancelled() && error.outcome() == Outcome::NotRun => {
                ItemRunResult::Cancelled
            }
            Err(error) => ItemRunResult::Failed { error },
        }
    }

    fn is_idempotent(&self, _: &AccountName, method: &str, path: &str) -> bool {
        let configuration = self.executor.context.config.current();
        match configuration.route(None, path) {
            Some(route) => crate::caller::is_idempotent(route, method, path),
            None => true,
        }
    }
}

/// Builds a non-streamed response body from stream chunks.
#[derive(Debug, Default)]
struct ResponseAssembler {
    chat: bool,
    id: Option<Value>,
    model: Option<Value>,
    created: Option<Value>,
    text: String,
    finish: Option<Value>,
    usage: Option<Value>,
    tokens: u64,
}

impl ResponseAssembler {
    fn add(&mut self, event: &[u8]) {
        let Some(data) = event.trim_ascii().strip_prefix(b"data: ") else { return };
        let Ok(chunk) = serde_json::from_slice::<Value>(data) else { return };
        self.id = self.id.take().or_else(|| chunk.get("id").cloned());
        self.model = self.model.take().or_else(|| chunk.get("model").cloned());
        self.created = self.created.take().or_else(|| chunk.get("created").cloned());
        self.usage =
            chunk.get("usage").filter(|usage| usage.is_object()).cloned().or(self.usage.take());
        let content_path = if self.chat { "/choices/0/delta/content" } else { "/choices/0/text" };
        if let Some(text) = chunk.pointer(content_path).and_then(Value::as_str) {
            self.text.push_str(text);
            self.tokens += u64::from(!text.is_empty());
        }
        let finish = chunk.pointer("/choices/0/finish_reason").filter(|reason| !reason.is_null());
        self.finish = finish.cloned().or(self.finish.take());
    }

    fn body(self, request: &ModelRequest) -> Bytes {
        let choice = match self.chat {
            true => json!({ "index": 0, "finish_reason": self.finish, "logprobs": null,
                            "message": { "role": "assistant", "content": self.text } }),
            false => json!({ "index": 0, "finish_reason": self.finish, "logprobs": null,
                             "text": self.text }),
        };
        let prompt = request.prompt_tokens();
        let usage = self.usage.unwrap_or_else(|| {
            json!({ "prompt_tokens": prompt, "completion_tokens": self.tokens,
                    "total_tokens": prompt + self.tokens })
        });
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        let body = json!({ "id": self.id, "object": object, "created": self.created,
                           "model": self.model, "choices": [choice], "usage": usage });
        Bytes::from(body.to_string())
    }
}
