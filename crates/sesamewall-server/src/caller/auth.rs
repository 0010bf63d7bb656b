//! Determines the client account of a request from its API key.

use http::HeaderMap;
use http::Uri;
use http::header;
use sesamewall_membership::Configuration;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use sesamewall_protocol::hash_key;

/// Headers in which callers may send their key.
pub const KEY_HEADERS: [&str; 4] = ["authorization", "x-api-key", "api-key", "proxy-authorization"];
/// Query parameters and cookies in which callers may send their key.
pub const KEY_PARAMETERS: [&str; 4] = ["api_key", "api-key", "key", "access_token"];

/// Returns every header, query and cookie value of the request that may be a key.
pub fn candidate_keys(headers: &HeaderMap, uri: &Uri) -> Vec<String> {
    let mut found = Vec::new();
    for name in KEY_HEADERS {
        let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
        found.extend(values.map(|value| strip_scheme(value).to_owned()));
    }
    let pairs = form_pairs(uri.query().unwrap_or(""));
    found.extend(pairs.filter(|(name, _)| is_key_parameter(name)).map(|(_, value)| value));
    for (name, value) in cookies(headers) {
        if is_key_parameter(name) {
            found.push(value.to_owned());
        }
    }
    found
}

/// Returns the account that the key in the request belongs to.
///
/// # Errors
///
/// Returns `Error::KeyMissing` if the request has no key, and `Error::KeyInvalid` if a key is
/// unknown or the keys belong to different accounts.
pub fn find_account(
    configuration: &Configuration,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<AccountName> {
    let found = candidate_keys(headers, uri);
    if found.is_empty() {
        return Err(Error::KeyMissing);
    }
    let mut accounts: Vec<&AccountName> = Vec::new();
    for secret in &found {
        match configuration.key(&hash_key(secret)) {
            Some(key) => accounts.push(&key.account),
            None => return Err(Error::KeyInvalid),
        }
    }
    match accounts.as_slice() {
        [first, rest @ ..] if rest.iter().all(|other| other == first) => Ok((*first).clone()),
        _ => Err(Error::KeyInvalid),
    }
}

/// Returns the cookies of a request.
pub fn cookies(headers: &HeaderMap) -> impl Iterator<Item = (&str, &str)> {
    headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|line| line.split(';'))
        .filter_map(|pair| pair.trim().split_once('='))
}

/// Returns whether a query parameter or cookie of this name carries a key.
pub fn is_key_parameter(name: &str) -> bool {
    KEY_PARAMETERS.iter().any(|known| known.eq_ignore_ascii_case(name))
}

/// Returns a credential without its scheme, such as `Bearer`.
pub fn strip_scheme(value: &str) -> &str {
    match value.trim().split_once(' ') {
        Some((_, rest)) => rest.trim(),
        None => value.trim(),
    }
}

/// Returns the percent-decoded name and value pairs of a query.
pub fn form_pairs(query: &str) -> impl Iterator<Item = (String, String)> + '_ {
    query.split('&').filter(|pair| !pair.is_empty()).map(|pair| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        (percent_decode(name), percent_decode(value))
    })
}

fn percent_decode(text: &str) -> String {
    let plain = text.replace('+', " ");
    percent_encoding::percent_decode_str(&plain).decode_utf8_lossy().into_owned()
}
