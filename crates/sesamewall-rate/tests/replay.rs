//! Replays a recorded trace and compares the decision of each request with that in the trace.

use std::collections::BTreeMap;

use serde::Deserialize;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Time;
use sesamewall_rate::Action;
use sesamewall_rate::Grantor;
use sesamewall_rate::GrantorSettings;
use sesamewall_rate::Holder;
use sesamewall_rate::HolderSettings;
use sesamewall_rate::Limits;
use sesamewall_rate::SHARE_UNIT;

#[derive(Deserialize)]
struct Trace {
    limits: Limits,
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    at_ms: u64,
    event: String,
    ticket: Option<u64>,
    outcome: Option<String>,
}

/// Guards against changed decisions when replies of a lead are lost and the lead is down for a
/// second.
#[test]
fn lost_reply_trace() {
    let text = include_str!("traces/lost_reply.json");
    let trace: Trace = serde_json::from_str(text).unwrap();
    let (key, lead) = (AccountName::from("a"), DomainName::from("d0"));
    let settings = GrantorSettings { share: SHARE_UNIT, ..Default::default() };
    let mut grantor = Grantor::new(settings, Time::ZERO);
    let valid_until = Time::from_millis(100_000);
    grantor.set_limits(&key, trace.limits, Time::ZERO);
    grantor.set_floor(valid_until, BTreeMap::new(), Time::ZERO);
    let mut holder = Holder::new(HolderSettings::default(), 7, lead.clone(), vec![lead.clone()]);
    holder.set_limits(&key, trace.limits);
    let (mut lossy, mut lead_down) = (false, false);
    let mut outcomes: BTreeMap<u64, String> = BTreeMap::new();
    let mut events = trace.events.iter().peekable();
    for at in 10_000..15_000 {
        let now = Time::from_millis(at);
        let mut actions = holder.tick(now);
        while let Some(event) = events.next_if(|event| event.at_ms <= at) {
            match event.event.as_str() {
                "lose_replies" => lossy = true,
                "keep_replies" => lossy = false,
                "lead_gone" => lead_down = true,
                "lead_back" => lead_down = false,
                _ => actions.extend(holder.request(&key, event.ticket.unwrap(), now).unwrap()),
            }
        }
        while let Some(action) = actions.pop() {
            match action {
                Action::Admitted { ticket, .. } => _ = outcomes.insert(ticket, "spent".into()),
                Action::Refused { ticket, .. } => _ = outcomes.insert(ticket, "refused".into()),
                Action::RequestTokens { lead, request } if lead_down => {
                    actions.extend(holder.on_lead_unreachable(&lead, &request.account, now));
                }
                Action::RequestTokens { lead, request } => {
                    let grant = grantor.on_request(&request, now, valid_until);
                    if !lossy {
                        actions.extend(holder.on_grant(&lead, &grant, now));
                    }
                }
            }
        }
    }
    for event in trace.events.iter().filter(|event| event.ticket.is_some()) {
        let ticket = event.ticket.unwrap();
        assert_eq!(outcomes.get(&ticket), event.outcome.as_ref(), "ticket {ticket}");
    }
}
