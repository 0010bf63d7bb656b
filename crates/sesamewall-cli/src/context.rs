//! State that all commands share.

use std::io::Write;

use serde_json::Value;
use sesamewall_protocol::Error;

use crate::arguments::Output;
use crate::client::Client;
use crate::failure::Failure;

/// State that all commands share.
pub(crate) struct Context<'a> {
    pub(crate) client: Client,
    pub(crate) output: Output,
    pub(crate) author: String,
    pub(crate) now_ms: u64,
    pub(crate) out: &'a mut (dyn Write + Send),
}

impl Context<'_> {
    /// Shows a response as JSON, or as the text that `table` returns for it.
    pub(crate) fn show(
        &mut self,
        response: &Value,
        table: impl FnOnce(&Value) -> String,
    ) -> Result<(), Failure> {
        let text = match self.output {
            Output::Json => format!("{response:#}\n"),
            Output::Table => table(response),
        };
        self.write(&text)
    }

    /// Writes a text to the output at once.
    pub(crate) fn write(&mut self, text: &str) -> Result<(), Failure> {
        let written = self.out.write_all(text.as_bytes()).and_then(|()| self.out.flush());
        written.map_err(|error| Error::Internal { detail: format!("output: {error}") }.into())
    }
}
