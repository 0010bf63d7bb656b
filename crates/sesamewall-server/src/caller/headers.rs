//! Removes credentials and hop-by-hop fields before a request goes to a target.

use http::HeaderMap;
use http::HeaderName;
use http::Uri;
use http::header;
use sesamewall_membership::Configuration;
use sesamewall_protocol::hash_key;

use super::auth;

/// Fields that apply to one connection (RFC 9110, section 7.6.1), and fields that are set again for
/// the target.
const DROPPED: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "idempotency-key",
    "x-request-id",
];

/// Prefixes of headers used between instances and engines; callers cannot set such headers.
const RESERVED_PREFIXES: [&str; 3] = ["x-sesamewall-", "x-attempt-", "x-resume-"];

/// Returns the headers that are sent to a target. A header whose value is a key of any account is
/// removed, whatever its name.
pub fn clean_headers(configuration: &Configuration, headers: &HeaderMap) -> Vec<(String, String)> {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = Vec::new();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else { continue };
        if is_dropped(name) || listed.iter().any(|dropped| dropped == name.as_str()) {
            continue;
        }
        if *name == header::COOKIE {
            continue;
        }
        if !is_key(configuration, value) {
            kept.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    if let Some(cookies) = clean_cookies(configuration, headers) {
        kept.push(("cookie".to_owned(), cookies));
    }
    kept
}

/// Returns the path and the query without credentials.
pub fn clean_query(configuration: &Configuration, uri: &Uri) -> String {
    let Some(query) = uri.query() else { return uri.path().to_owned() };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| {
            auth::form_pairs(pair).all(|(name, value)| {
                !auth::is_key_parameter(&name)
                    && !is_key(configuration, &name)
                    && !is_key(configuration, &value)
            })
        })
        .collect();
    match kept.is_empty() {
        true => uri.path().to_owned(),
        false => format!("{}?{}", uri.path(), kept.join("&")),
    }
}

fn clean_cookies(configuration: &Configuration, headers: &HeaderMap) -> Option<String> {
    let kept: Vec<String> = auth::cookies(headers)
        .filter(|(name, value)| {
            !auth::is_key_parameter(name) && !is_key(configuration, value.trim_matches('"'))
        })
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    (!kept.is_empty()).then(|| kept.join("; "))
}

fn is_dropped(name: &HeaderName) -> bool {
    let name = name.as_str();
    DROPPED.contains(&name)
        || auth::KEY_HEADERS.contains(&name)
        || RESERVED_PREFIXES.iter().any(|prefix| name.starts_with(prefix))
}

fn is_key(configuration: &Configuration, value: &str) -> bool {
    [value, auth::strip_scheme(value)]
        .iter()
        .any(|text| configuration.key(&hash_key(text)).is_some())
}
