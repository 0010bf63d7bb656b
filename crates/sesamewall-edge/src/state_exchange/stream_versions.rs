//! Records of the versions that began streams: sends them to their holders, answers queries, and
//! looks versions up.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_fleet::Datagram;
use sesamewall_fleet::LookupEnd;
use sesamewall_fleet::LookupStep;
use sesamewall_fleet::RECORD_TTL;
use sesamewall_fleet::StreamRecord;
use sesamewall_fleet::StreamVersion;
use sesamewall_fleet::VersionAnswer;
use sesamewall_fleet::VersionLookup;
use sesamewall_fleet::VersionLookupSettings;
use sesamewall_fleet::VersionQuery;
use sesamewall_fleet::version_holders;
use sesamewall_protocol::Time;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::InstanceContext;
use crate::State;
use crate::state_exchange::StateExchange;

/// Answers that may wait for a lookup: more than it can have holders.
const MAX_ANSWERS: usize = 16;

type AnswerSender = mpsc::Sender<(IpAddr, VersionAnswer)>;

/// Socket and running lookups of stream versions.
#[derive(Default)]
pub struct VersionLookups {
    socket: OnceLock<Arc<UdpSocket>>,
    running: Mutex<HashMap<u64, AnswerSender>>,
}

impl VersionLookups {
    /// Sets the socket of the exchange, once it is open.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // The exchange is started once.
        let _ = self.socket.set(socket);
    }

    fn running(&self) -> MutexGuard<'_, HashMap<u64, AnswerSender>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, context: &InstanceContext, datagram: &Datagram, to: &[IpAddr]) {
        let Some(socket) = self.socket.get() else { return };
        let bytes = datagram.encode();
        for address in to {
            let to = SocketAddr::new(*address, context.settings.peer_port);
            // A lost record leaves the other holders; a lost query is sent again.
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}

/// A lookup that ends with its guard, also when the client goes away meanwhile.
struct RunningLookup<'a> {
    lookups: &'a VersionLookups,
    query: u64,
}

impl Drop for RunningLookup<'_> {
    fn drop(&mut self) {
        self.lookups.running().remove(&self.query);
    }
}

/// Returns the holders of a stream's version, and whether the view of the fleet is complete.
fn holders(
    context: &InstanceContext,
    state: &State,
    stream: u64,
    now: Time,
) -> (Vec<IpAddr>, bool) {
    let settings = &context.settings;
    let (workers, hubs) = (state.peers.workers(now), state.peers.hubs(now));
    let found = version_holders(stream, &settings.instance, &settings.domain, &workers, &hubs);
    (found, state.peers.is_view_complete(now))
}

/// Records the version that began a stream, here and at its holders. It does not wait for them.
pub fn record(context: &InstanceContext, stream: u64, version: StreamVersion, ttl: Duration) {
    record_in(context, &mut context.state(), stream, version, ttl);
}

fn record_in(
    context: &InstanceContext,
    state: &mut State,
    stream: u64,
    version: StreamVersion,
    ttl: Duration,
) {
    let now = context.now();
    state.stream_versions.add(stream, version, ttl, now);
    let (to, complete) = holders(context, state, stream, now);
    let remaining_ms = u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX);
    let record = StreamRecord { stream, version, remaining_ms };
    context.version_lookups.send(context, &Datagram::StreamRecord(record), &to);
    state.unsettled.on_sent(record, to, complete, now);
}

/// Sends records again that were made when the view of the fleet lacked instances.
pub fn send_unsettled(context: &InstanceContext) {
    let now = context.now();
    let mut guard = context.state();
    let mut unsettled = std::mem::take(&mut guard.unsettled);
    let complete = guard.peers.is_view_complete(now);
    let due = unsettled.take_due(|stream| holders(context, &guard, stream, now).0, complete, now);
    guard.unsettled = unsettled;
    drop(guard);
    for (record, to) in due {
        context.version_lookups.send(context, &Datagram::StreamRecord(record), &to);
    }
}

/// Withdraws the versions of streams whose targets turn out to have started again before the first
/// event arrived.
pub fn withdraw_doubtful(context: &InstanceContext) {
    let now = context.now();
    let state = &mut *context.state();
    let age = state.freshness.targets_age(now);
    let doubtful = state.stream_versions.take_doubtful(&state.targets, age, now);
    for stream in doubtful {
        let ttl = state.stream_versions.get(stream, now).1.max(RECORD_TTL);
        warn!(context.log, "version of a stream withdrawn"; "stream" => format!("{stream:016x}"));
        record_in(context, state, stream, StreamVersion::Conflicting, ttl);
    }
}

/// Keeps the record of another instance.
pub fn on_record(exchange: &StateExchange, record: StreamRecord) {
    let context = &exchange.context;
    let now = context.now();
    let ttl = Duration::from_millis(u64::from(record.remaining_ms));
    context.state().stream_versions.add(record.stream, record.version, ttl, now);
}

/// Answers the query of another instance.
pub fn on_query(exchange: &StateExchange, query: VersionQuery, from: IpAddr) {
    let context = &exchange.context;
    let (version, remaining) = context.state().stream_versions.get(query.stream, context.now());
    let remaining_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    let answer = VersionAnswer { query: query.query, version, remaining_ms };
    context.version_lookups.send(context, &Datagram::VersionAnswer(answer), &[from]);
}

/// Passes an answer on to the lookup that waits for it.
pub fn on_answer(exchange: &StateExchange, answer: VersionAnswer, from: IpAddr) {
    let lookups = &exchange.context.version_lookups;
    let sender = lookups.running().get(&answer.query).cloned();
    if let Some(sender) = sender {
        // Answers beyond the bound are repeated ones.
        let _ = sender.try_send((from, answer));
    }
}

/// Looks the version of a stream up, here and then at its holders. Returns true with a version that
/// this instance had a record of.
pub async fn look_up(context: &InstanceContext, stream: u64) -> (LookupEnd, bool) {
    let (known, _) = context.state().stream_versions.get(stream, context.now());
    match known {
        StreamVersion::Known(version) => return (LookupEnd::Known(version), true),
        StreamVersion::Conflicting => return (LookupEnd::Conflicting, true),
        StreamVersion::Unknown => {}
    }
    let (sender, mut answers) = mpsc::channel(MAX_ANSWERS);
    let query = rand::random();
    let lookups = &context.version_lookups;
    lookups.running().insert(query, sender);
    let _running = RunningLookup { lookups, query };
    let mut lookup = VersionLookup::new(VersionLookupSettings::default(), context.now());
    loop {
        let now = context.now();
        if lookup.awaits_view() {
            let state = context.state();
            let (found, complete) = holders(context, &state, stream, now);
            lookup.on_view(&found, complete);
            // A record may arrive while the lookup runs.
            lookup.on_version(None, state.stream_versions.get(stream, now).0);
        }
        match lookup.next_step(now) {
            LookupStep::Ask(to) => {
                let datagram = Datagram::VersionQuery(VersionQuery { query, stream });
                lookups.send(context, &datagram, &to);
            }
            LookupStep::Wait(wait) => {
                if let Ok(Some((from, answer))) = tokio::time::timeout(wait, answers.recv()).await {
                    on_holder(context, stream, &answer);
                    lookup.on_version(Some(from), answer.version);
                }
            }
            LookupStep::Done(end) => return (end, false),
        }
    }
}

/// Keeps what a holder has answered, for further take-ups and to notice records that differ.
fn on_holder(context: &InstanceContext, stream: u64, answer: &VersionAnswer) {
    let ttl = Duration::from_millis(u64::from(answer.remaining_ms));
    context.state().stream_versions.add(stream, answer.version, ttl, context.now());
}
