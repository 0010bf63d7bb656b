//! The service behind the operators' API.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_ports::ListedInstance;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::OperatorMessage;
use sesamewall_protocol::peer::PeerMessage;

use crate::ConfigWriter;
use crate::InstanceContext;
use crate::operator::JobReader;
use crate::operator::StateDump;
use crate::operator::state;
use crate::records::RecordService;

/// Longest wait for the reply of another instance.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves operators, and other instances that query this one on behalf of operators.
pub struct OperatorService {
    /// The ports and views that all services share.
    pub context: Arc<InstanceContext>,
    /// Accepts changes.
    pub writer: Arc<dyn ConfigWriter>,
    /// Decision records of the fleet.
    pub records: Arc<RecordService>,
    /// The reader of batch jobs, if this instance has one.
    pub jobs: Option<Arc<dyn JobReader>>,
    /// Parts of the process that show their state.
    pub dumps: Vec<Arc<dyn StateDump>>,
}

impl OperatorService {
    /// Handles a query that another instance forwards.
    pub async fn handle(&self, message: OperatorMessage) -> PeerMessage {
        match self.answer(&message) {
            Some(reply) => PeerMessage::Operator(reply),
            None => {
                let error = Error::Internal { detail: "not a question".to_owned() };
                PeerMessage::Failed { code: error.code(), message: error.to_string() }
            }
        }
    }

    /// Sends a query to an instance, which may be this one, and returns the reply.
    pub(super) async fn query_instance(
        &self,
        instance: &ListedInstance,
        message: OperatorMessage,
    ) -> Result<OperatorMessage> {
        let unavailable =
            |detail: String| Error::PeerUnavailable { instance: instance.name.to_string(), detail };
        if instance.name == self.context.local.name {
            return self.answer(&message).ok_or_else(|| unavailable("not a question".to_owned()));
        }
        let exchange =
            self.context.link.exchange(&instance.address, PeerMessage::Operator(message));
        match tokio::time::timeout(QUERY_TIMEOUT, exchange).await {
            Ok(Ok(PeerMessage::Operator(reply))) => Ok(reply),
            Ok(Ok(PeerMessage::Failed { message, .. })) => Err(unavailable(message)),
            Ok(Ok(_)) => Err(unavailable("unexpected reply".to_owned())),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(unavailable(format!("no reply in {} s", QUERY_TIMEOUT.as_secs()))),
        }
    }

    fn answer(&self, message: &OperatorMessage) -> Option<OperatorMessage> {
        match message {
            OperatorMessage::AskRevision => {
                let revision = self.context.config.current().revision();
                Some(OperatorMessage::Revision { revision })
            }
            OperatorMessage::AskState => {
                Some(OperatorMessage::State { json: state::dump(self).to_string() })
            }
            _ => None,
        }
    }
}
