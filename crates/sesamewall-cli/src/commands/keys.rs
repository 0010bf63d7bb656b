//! Grants and withdraws callers' keys.

use argh::FromArgs;
use serde_json::json;

use crate::client::encode;
use crate::context::Context;
use crate::failure::Failure;
use crate::table::cell;

/// Grants and withdraws callers' keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct Keys {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Grant(Grant),
    Withdraw(Withdraw),
}

/// Creates a key and shows its secret, once. Only the hash of the secret is kept.
#[derive(FromArgs)]
#[argh(subcommand, name = "grant")]
struct Grant {
    /// client account that the key acts for
    #[argh(option)]
    account: String,

    /// identifier of the key; by default a random one
    #[argh(option)]
    id: Option<String>,
}

/// Withdraws a key. Requests that were already admitted run to their end.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// identifier of the key
    #[argh(positional)]
    id: String,
}

impl Keys {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        match self.action {
            Action::Grant(action) => action.run(context).await,
            Action::Withdraw(action) => action.run(context).await,
        }
    }
}

impl Grant {
    async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let mut body = json!({ "account": self.account, "author": context.author });
        if let Some(id) = self.id {
            body["id"] = json!(id);
        }
        let response = context.client.post("/api/keys", &body).await?;
        context.show(&response, |response| {
            format!(
                "key {} for account {}, revision {}\nsecret (shown only now): {}\n",
                cell(&response["id"]),
                cell(&response["account"]),
                response["revision"],
                cell(&response["secret"]),
            )
        })
    }
}

impl Withdraw {
    async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let (id, author) = (encode(&self.id), encode(&context.author));
        let response = context.client.delete(&format!("/api/keys/{id}?author={author}")).await?;
        context.show(&response, |response| {
            format!("key {} withdrawn, revision {}\n", cell(&response["id"]), response["revision"])
        })
    }
}
