//! Arguments that all commands share.

use std::str::FromStr;

use argh::FromArgs;

use crate::commands::Command;

/// Operates a fleet of sesamewall instances.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    /// base URL of any instance's operator address, default http://127.0.0.1:9090
    #[argh(option, default = "\"http://127.0.0.1:9090\".to_owned()")]
    pub(crate) server: String,

    /// the operators' credential; by default from SESAMEWALL_TOKEN, which other users can't see
    #[argh(option)]
    pub(crate) token: Option<String>,

    /// form of the output: table (default) or json
    #[argh(option, default = "Output::Table")]
    pub(crate) output: Output,

    /// author of changes, by default the user's name
    #[argh(option)]
    pub(crate) author: Option<String>,

    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    Table,
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!("`{text}` is not a form of output; allowed are table and json")),
        }
    }
}
