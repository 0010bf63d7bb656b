//! Reads and checks the settings file.

use std::net::SocketAddr;
use std::ops::Range;

use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::Settings;

/// Longest name of an instance or failure domain.
const NAME_LIMIT: usize = 63;

/// Length of a SHA-256 hash in hex.
const HASH_CHARS: usize = 64;

/// The values that a key accepts.
#[derive(Clone, Copy)]
enum Rule {
    Name,
    Names,
    Address,
    Url,
    Folder,
    Hash,
    Number { least: i64, most: i64 },
}

/// Every known key with its rule.
const RULES: &[(&str, Rule)] = &[
    ("instance", Rule::Name),
    ("domain", Rule::Name),
    ("caller_addr", Rule::Address),
    ("operator_addr", Rule::Address),
    ("peer_addr", Rule::Address),
    ("forward_addr", Rule::Address),
    ("platform_url", Rule::Url),
    ("data_dir", Rule::Folder),
    ("operator_hash", Rule::Hash),
    ("body_limit", Rule::Number { least: 1024, most: 1 << 30 }),
    ("body_seconds", Rule::Number { least: 1, most: 3600 }),
    ("queue_ms", Rule::Number { least: 1, most: 600_000 }),
    ("retention_seconds", Rule::Number { least: 60, most: 366 * 24 * 3600 }),
    ("drain_ms", Rule::Number { least: 0, most: 600_000 }),
    ("domains", Rule::Names),
    ("batch_workers", Rule::Number { least: 1, most: 4096 }),
    ("weight_loads_per_minute", Rule::Number { least: 1, most: 100_000 }),
];

/// Reads settings from the text of a TOML file. Keys that are absent keep their defaults.
///
/// # Errors
///
/// Returns [`Error::SettingsInvalid`] with the line and key of the first fault in the file.
pub fn check(text: &str, file: &str) -> Result<Settings> {
    let source = Source { text, file };
    let table = DeTable::parse(text).map_err(|error| source.syntax(&error))?;
    let mut entries: Vec<_> = table.get_ref().iter().collect();
    entries.sort_by_key(|(key, _)| key.span().start);
    for (key, value) in entries {
        let name = key.get_ref().as_ref();
        let (_, rule) = RULES
            .iter()
            .find(|(known, _)| *known == name)
            .ok_or_else(|| source.invalid(key.span(), name, unknown(name)))?;
        if let Err((span, detail)) = rule.check(value) {
            return Err(source.invalid(span, name, detail));
        }
    }
    let settings: Settings = toml::from_str(text).map_err(|error| source.syntax(&error))?;
    check_domain(&source, table.get_ref(), &settings)?;
    Ok(settings)
}

/// Returns the names of all known keys.
pub fn known_keys() -> impl Iterator<Item = &'static str> {
    RULES.iter().map(|(name, _)| *name)
}

struct Source<'a> {
    text: &'a str,
    file: &'a str,
}

impl Source<'_> {
    fn invalid(&self, span: Range<usize>, key: &str, detail: String) -> Error {
        let line = 1 + self.text.bytes().take(span.start).filter(|byte| *byte == b'\n').count();
        Error::SettingsInvalid { file: self.file.to_owned(), line, key: key.to_owned(), detail }
    }

    /// Converts a parser error and adds the key of the faulty line, which the parser omits.
    fn syntax(&self, error: &toml::de::Error) -> Error {
        let span = error.span().unwrap_or_default();
        let start = span.start.min(self.text.len());
        let before = self.text.get(..start).unwrap_or_default();
        let line = before.rfind('\n').map_or(0, |end| end + 1);
        let rest = self.text.get(line..).unwrap_or_default().lines().next().unwrap_or_default();
        let key = rest.split('=').next().unwrap_or_default().trim().to_owned();
        let message = error.message().lines().collect::<Vec<_>>().join("; ");
        self.invalid(span, &key, format!("{message}; allowed is one `key = value` a line"))
    }
}

type Fault = (Range<usize>, String);

impl Rule {
    fn check(self, value: &Spanned<DeValue<'_>>) -> std::result::Result<(), Fault> {
        let fault = |detail: String| (value.span(), detail);
        let text = || {
            value.get_ref().as_str().ok_or_else(|| {
                fault(format!("found {}; allowed is a text in quotes", value.get_ref().type_str()))
            })
        };
        match self {
            Self::Name => check_name(text()?).map_err(fault),
            Self::Names => check_names(value),
            Self::Address => check_address(text()?).map_err(fault),
            Self::Url => check_url(text()?).map_err(fault),
            Self::Folder if text()?.is_empty() => {
                Err(fault("the path is empty; allowed is a path, or no such key".to_owned()))
            }
            Self::Folder => Ok(()),
            Self::Hash => check_hash(text()?).map_err(fault),
            Self::Number { least, most } => check_number(value, least, most).map_err(fault),
        }
    }
}

fn check_name(text: &str) -> std::result::Result<(), String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !text.is_empty() && text.len() <= NAME_LIMIT && text.chars().all(allowed) {
        return Ok(());
    }
    Err(format!("`{text}` is not a name; allowed are 1 to {NAME_LIMIT} of a-z, 0-9 and `-`"))
}

fn check_names(value: &Spanned<DeValue<'_>>) -> std::result::Result<(), Fault> {
    let allowed = "allowed is a list of different names, such as [\"domain-1\", \"domain-2\"]";
    let list = value.get_ref().as_array().filter(|list| !list.is_empty());
    let list = list.ok_or_else(|| (value.span(), format!("not a list of names; {allowed}")))?;
    let mut seen = Vec::new();
    for entry in list.iter() {
        let name = entry
            .get_ref()
            .as_str()
            .ok_or_else(|| (entry.span(), format!("an entry is not a text; {allowed}")))?;
        check_name(name).map_err(|detail| (entry.span(), detail))?;
        if seen.contains(&name) {
            return Err((entry.span(), format!("`{name}` is named twice; {allowed}")));
        }
        seen.push(name);
    }
    Ok(())
}

fn check_address(text: &str) -> std::result::Result<(), String> {
    text.parse::<SocketAddr>().map(|_| ()).map_err(|_| {
        format!("`{text}` is not an address; allowed is IP:PORT, such as 10.0.0.5:8080")
    })
}

fn check_url(text: &str) -> std::result::Result<(), String> {
    let allowed = "allowed is http://HOST:PORT without path and user, or an empty text";
    let rest = match text.strip_prefix("http://") {
        _ if text.is_empty() => return Ok(()),
        Some(rest) => rest.strip_suffix('/').unwrap_or(rest),
        None => return Err(format!("the URL does not start with http://; {allowed}")),
    };
    let authority = rest.parse::<http::uri::Authority>();
    match authority {
        Ok(found) if !rest.contains('@') && found.port_u16().is_some() => Ok(()),
        _ => Err(format!("the URL has no valid HOST:PORT; {allowed}")),
    }
}

fn check_hash(text: &str) -> std::result::Result<(), String> {
    if text.len() == HASH_CHARS && text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Ok(());
    }
    // The value is left out: an operator may have pasted the credential itself.
    Err(format!("not a SHA-256 hash; allowed are {HASH_CHARS} hex digits"))
}

fn check_number(
    value: &Spanned<DeValue<'_>>,
    least: i64,
    most: i64,
) -> std::result::Result<(), String> {
    let allowed = format!("allowed is a whole number from {least} to {most}");
    let integer = value.get_ref().as_integer();
    let integer =
        integer.ok_or_else(|| format!("found {}; {allowed}", value.get_ref().type_str()))?;
    match i64::from_str_radix(integer.as_str(), integer.radix()) {
        Ok(number) if (least..=most).contains(&number) => Ok(()),
        _ => Err(format!("{} is out of range; {allowed}", integer.as_str())),
    }
}

fn check_domain(source: &Source<'_>, table: &DeTable<'_>, settings: &Settings) -> Result<()> {
    if settings.domains.contains(&settings.domain) {
        return Ok(());
    }
    let span =
        table.get("domain").or_else(|| table.get("domains")).map_or(0..0, toml::Spanned::span);
    let detail = format!(
        "`{}` is not in `domains`; allowed are {}",
        settings.domain,
        settings.domains.join(", ")
    );
    Err(source.invalid(span, "domain", detail))
}

fn unknown(name: &str) -> String {
    let nearest = known_keys().min_by_key(|known| distance(known, name)).unwrap_or_default();
    let all = known_keys().collect::<Vec<_>>().join(", ");
    format!("unknown key; the nearest known key is `{nearest}`; allowed are {all}")
}

/// Returns the Levenshtein distance of two texts (Wagner and Fischer, 1974).
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let replace = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
