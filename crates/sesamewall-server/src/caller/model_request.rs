//! Parses the body of a model call.

use bytes::Bytes;
use serde_json::Map;
use serde_json::Value;
use sesamewall_membership::Configuration;
use sesamewall_ports::PREFIX_BLOCK_BYTES;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::Error;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Result;
use sesamewall_schedule::body_hash;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::execute::Call;

/// Expected number of output tokens of a request that sets no limit. The accounting of the queue is
/// corrected with the actual number when the request ends.
const EXPECTED_OUTPUT_TOKENS: u64 = 256;
const OUTPUT_LIMIT_TOKENS: u64 = 1 << 20;
/// Maximum number of prompt-prefix blocks used for routing.
const BLOCK_LIMIT: usize = 32;
const BYTES_PER_TOKEN: u64 = 4;

/// The parsed body of a model call.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// The model.
    pub model: ModelName,
    /// The caller requested server-sent events.
    pub stream: bool,
    fields: Map<String, Value>,
    raw: Bytes,
}

impl ModelRequest {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Returns `Error::BodyNotJson`, or `Error::FieldInvalid` with the name of the field.
    pub fn parse(body: &Bytes) -> Result<Self> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| Error::BodyNotJson { detail: error.to_string() })?;
        let Value::Object(fields) = value else {
            return Err(Error::BodyNotJson { detail: "the body is not a JSON object".to_owned() });
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => ModelName::from(model.as_str()),
            _ => return Err(invalid("model", "a string with the name of a model is required")),
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid("stream", "must be true or false")),
        };
        for name in ["max_tokens", "max_completion_tokens"] {
            let value = fields.get(name).filter(|value| !value.is_null());
            let limit = value.map(|value| value.as_u64().unwrap_or(u64::MAX));
            if limit.is_some_and(|limit| limit == 0 || limit > OUTPUT_LIMIT_TOKENS) {
                let allowed = format!("must be a whole number from 1 to {OUTPUT_LIMIT_TOKENS}");
                return Err(invalid(name, &allowed));
            }
        }
        Ok(Self { model, stream, fields, raw: body.clone() })
    }

    /// Checks that the fields required by the endpoint are valid.
    ///
    /// # Errors
    ///
    /// Returns `Error::FieldInvalid` with the name of the field.
    pub fn check_endpoint(&self, chat: bool) -> Result<()> {
        match (chat, self.fields.get("messages"), self.fields.get("prompt")) {
            (true, Some(Value::Array(messages)), _)
                if !messages.is_empty() && messages.iter().all(Value::is_object) =>
            {
                Ok(())
            }
            (true, _, _) => {
                Err(invalid("messages", "a list of at least one message object is required"))
            }
            (false, _, Some(Value::String(_) | Value::Array(_))) => Ok(()),
            (false, _, _) => Err(invalid("prompt", "a string or a list is required")),
        }
    }

    /// Returns the call for this request.
    ///
    /// # Errors
    ///
    /// Returns `Error::ModelUnknown` if no target group serves the model.
    pub fn to_call(
        &self,
        configuration: &Configuration,
        request: &RequestId,
        account: Option<&AccountName>,
    ) -> Result<Call> {
        if configuration.group_for_model(self.model.as_str()).is_none() {
            return Err(Error::ModelUnknown { model: self.model.to_string() });
        }
        let prompt = self.prompt_tokens();
        let output = ["max_completion_tokens", "max_tokens"]
            .iter()
            .find_map(|name| self.fields.get(*name).and_then(Value::as_u64))
            .unwrap_or(EXPECTED_OUTPUT_TOKENS);
        Ok(Call {
            request: request.clone(),
            account: account.cloned(),
            class: Class::Online,
            model: self.model.clone(),
            method: "POST".to_owned(),
            path: String::new(),
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: self.raw.clone(),
            digest: body_hash(&self.raw),
            prompt,
            work: prompt + output,
            prefix: self.prefix_hashes(),
            idempotent: true,
            forwarded: false,
            no_wait: false,
            resume_from: 0,
            resume_version: String::new(),
            urgent: false,
            trace: None,
            cancel: CancellationToken::new(),
        })
    }

    /// Returns the prompt's length in tokens, estimated from its length in bytes.
    pub fn prompt_tokens(&self) -> u64 {
        (self.raw.len() as u64 / BYTES_PER_TOKEN).max(1)
    }

    /// Returns whether the response can be assembled from a stream, so that the call can be
    /// cancelled and resumed. This holds only for responses with a single plain text.
    pub fn is_resumable(&self) -> bool {
        let single = self.fields.get("n").and_then(Value::as_u64).unwrap_or(1) == 1;
        let special = ["tools", "functions", "logprobs", "response_format", "audio", "best_of"];
        single && !special.iter().any(|name| self.fields.contains_key(*name))
    }

    /// Returns the body with streaming and usage reporting enabled.
    pub fn streamed_body(&self) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.insert("stream_options".to_owned(), serde_json::json!({ "include_usage": true }));
        Bytes::from(Value::Object(fields).to_string())
    }

    /// Returns the hashes of the prompt's prefix blocks, as defined by
    /// [`sesamewall_ports::CacheEvent`].
    fn prefix_hashes(&self) -> Vec<u64> {
        let prompt = match (self.fields.get("messages"), self.fields.get("prompt")) {
            (Some(messages), _) => messages.to_string(),
            (None, Some(prompt)) => prompt.to_string(),
            (None, None) => String::new(),
        };
        let bytes = prompt.as_bytes();
        let blocks = (bytes.len() / PREFIX_BLOCK_BYTES).min(BLOCK_LIMIT);
        (1..=blocks).map(|count| xxh3_64(&bytes[..count * PREFIX_BLOCK_BYTES])).collect()
    }
}

fn invalid(field: &str, detail: &str) -> Error {
    Error::FieldInvalid { field: field.to_owned(), detail: detail.to_owned() }
}
