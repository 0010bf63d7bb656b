//! Tests of the token holder at an instance.

use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::RateGrant;
use sesamewall_protocol::peer::RateRequest;
use sesamewall_rate::Action;
use sesamewall_rate::GRANT_TTL;
use sesamewall_rate::Holder;
use sesamewall_rate::HolderSettings;
use sesamewall_rate::Limits;

fn holder() -> (Holder, AccountName) {
    let leads = vec![DomainName::from("d0"), DomainName::from("d1")];
    let mut holder = Holder::new(HolderSettings::default(), 7, leads[0].clone(), leads);
    let key = AccountName::from("a");
    holder.set_limits(&key, Limits { rate: 10_000_000, burst: 20_000, revision: 1 });
    (holder, key)
}

fn token_requests(actions: &[Action]) -> Vec<(DomainName, RateRequest)> {
    let token_request = |action: &Action| match action {
        Action::RequestTokens { lead, request } => Some((lead.clone(), request.clone())),
        _ => None,
    };
    actions.iter().filter_map(token_request).collect()
}

fn grant(request: &RateRequest, granted_total: u64) -> RateGrant {
    RateGrant {
        account: request.account.clone(),
        incarnation: request.incarnation,
        epoch: 1,
        session: 1,
        sequence: request.sequence,
        granted_total,
        revision: 1,
        level: 0,
        capacity: 10_000,
        refill: 5_000,
        retry_us: 1_000_000,
        denial: None,
    }
}

/// Guards against refusals before every lead has denied tokens, and against refusals without
/// numbers.
#[test]
fn refuses_after_all_leads_denied() {
    let (mut holder, key) = holder();
    let mut now = Time::from_millis(10);
    let mut actions = holder.request(&key, 1, now).unwrap();
    let mut requested = Vec::new();
    for _ in 0..1000 {
        let mut next = holder.tick(now);
        for (lead, request) in token_requests(&actions) {
            let mut reply = grant(&request, 0);
            reply.refill = 0;
            requested.push(lead.clone());
            next.extend(holder.on_grant(&lead, &reply, now));
        }
        let refusal = next.iter().find_map(|action| match action {
            Action::Refused { ticket: 1, refusal } => Some(refusal.clone()),
            _ => None,
        });
        if let Some(refusal) = refusal {
            requested.sort_unstable();
            requested.dedup();
            assert_eq!((requested.len(), refusal.levels.len()), (2, 2));
            assert_eq!((refusal.limits.burst, refusal.retry_ms), (20_000, 100));
            return;
        }
        (actions, now) = (next, now + Duration::from_millis(1));
    }
    panic!("never refused");
}

/// Guards against tokens that are credited twice, or do not expire a TTL after their request was
/// sent.
#[test]
fn duplicate_and_late_grants() {
    let (mut holder, key) = holder();
    let sent = Time::from_millis(10);
    let (lead, request) = token_requests(&holder.request(&key, 1, sent).unwrap()).remove(0);
    let at = Time::from_millis(12);
    let spent = holder.on_grant(&lead, &grant(&request, 5_000), at);
    assert!(matches!(spent[0], Action::Admitted { ticket: 1, .. }));
    holder.on_grant(&lead, &grant(&request, 5_000), at);
    assert_eq!(holder.tokens(&key, at), 4_000);
    let end = sent + GRANT_TTL;
    assert_eq!(holder.tokens(&key, end - Duration::from_millis(1)), 4_000);
    assert_eq!(holder.tokens(&key, end), 0);
}

/// Guards against a separate token request for each of several waiting requests.
#[test]
fn waiting_requests_share_token_requests() {
    let (mut holder, key) = holder();
    let now = Time::from_millis(10);
    let sent: usize =
        (0..50).map(|i| token_requests(&holder.request(&key, i, now).unwrap()).len()).sum();
    assert_eq!(sent, 2, "one pending token request per lead");
}

/// Guards against tokens that are not returned at a shutdown or after the burst is lowered.
#[test]
fn returns_unspent_tokens() {
    for lower in [false, true] {
        let (mut holder, key) = holder();
        let now = Time::from_millis(10);
        let (lead, request) = token_requests(&holder.request(&key, 1, now).unwrap()).remove(0);
        holder.on_grant(&lead, &grant(&request, 5_000), now);
        let actions = if lower {
            holder.set_limits(&key, Limits { rate: 1, burst: 1, revision: 2 });
            holder.tick(now)
        } else {
            holder.shut_down(now)
        };
        assert_eq!(token_requests(&actions)[0].1.returned_total, 4_000);
        assert_eq!(holder.tokens(&key, now), 0);
    }
}

/// Guards against an unreachable lead that blocks a decision or is not listed in the refusal.
#[test]
fn refusal_lists_unreachable_leads() {
    let (mut holder, key) = holder();
    let now = Time::from_millis(10);
    let (first, _) = token_requests(&holder.request(&key, 1, now).unwrap()).remove(0);
    let (second, _) = token_requests(&holder.on_lead_unreachable(&first, &key, now)).remove(0);
    let actions = holder.on_lead_unreachable(&second, &key, now);
    let Action::Refused { refusal, .. } = &actions[0] else { panic!("{actions:?}") };
    assert_eq!(refusal.unreachable.len(), 2);
}
