//! Errors as the tool shows them.

use std::fmt;

use serde_json::Value;
use sesamewall_protocol::Error;

/// An error with its code and help line. Errors of the server are shown as received, so that a tool
/// of another version also shows codes that it does not define.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) code: u64,
    pub(crate) message: String,
    pub(crate) help: String,
    pub(crate) exit: u8,
}

impl Failure {
    /// Returns the error for a wrong value on the command line.
    pub(crate) fn usage(field: &str, detail: &str) -> Self {
        let error = Error::FieldInvalid { field: field.to_owned(), detail: detail.to_owned() };
        Self { exit: 2, help: "see `sesamewall --help`".to_owned(), ..Self::from(error) }
    }

    /// Returns the error in a server's response.
    pub(crate) fn server(status: u16, body: &Value) -> Self {
        let text = |field: &str| body["error"][field].as_str().map(str::to_owned);
        Self {
            code: body["error"]["code"].as_u64().unwrap_or(9001),
            message: text("message").unwrap_or_else(|| format!("the server answered {status}")),
            help: text("help").unwrap_or_else(|| "check --server".to_owned()),
            exit: 1,
        }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self {
            code: u64::from(error.code()),
            message: error.to_string(),
            help: error.help().to_owned(),
            exit: 1,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "error {}: {}", self.code, self.message)?;
        writeln!(f, "help: {}", self.help)
    }
}
