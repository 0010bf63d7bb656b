//! Reads and writes wall times.

use toml::value::Datetime;
use toml::value::Offset;

const DAY_MS: i64 = 24 * 3600 * 1000;

/// Reads a time in milliseconds since the Unix epoch: a time ago such as `15m`, an RFC 3339 time or
/// the milliseconds themselves.
///
/// # Errors
///
/// Returns what is allowed.
pub fn parse_since(text: &str, now_ms: u64) -> Result<u64, String> {
    let found = text.parse().ok();
    found.or_else(|| parse_ago(text, now_ms)).or_else(|| parse_rfc3339(text)).ok_or_else(|| {
        format!(
            "`{text}` is not a time; allowed are a time ago (90s, 15m, 2h, 7d), RFC 3339 \
             (2026-01-31T12:00:00Z) and milliseconds since 1970"
        )
    })
}

/// Returns a time as RFC 3339 text in UTC with milliseconds.
pub fn format_ms(at_ms: u64) -> String {
    let at_ms = i64::try_from(at_ms).unwrap_or(i64::MAX);
    let (year, month, day) = civil_from_days(at_ms.div_euclid(DAY_MS));
    let rest = at_ms.rem_euclid(DAY_MS);
    let (hour, minute) = (rest / 3_600_000, rest / 60_000 % 60);
    let (second, milli) = (rest / 1000 % 60, rest % 1000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

fn parse_ago(text: &str, now_ms: u64) -> Option<u64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit_ms = match unit {
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 24 * 3_600_000,
        _ => return None,
    };
    Some(now_ms.saturating_sub(number.parse::<u64>().ok()?.checked_mul(unit_ms)?))
}

fn parse_rfc3339(text: &str) -> Option<u64> {
    let Datetime { date: Some(date), time: Some(time), offset: Some(offset) } =
        text.parse().ok()?
    else {
        return None;
    };
    let minutes = match offset {
        Offset::Z => 0,
        Offset::Custom { minutes } => i64::from(minutes),
    };
    let days = days_from_civil(i64::from(date.year), i64::from(date.month), i64::from(date.day));
    let second = i64::from(time.second);
    let seconds = i64::from(time.hour) * 3600 + i64::from(time.minute) * 60 + second;
    let milli = i64::from(time.nanosecond) / 1_000_000;
    let at_ms = days * DAY_MS + (seconds - minutes * 60) * 1000 + milli;
    u64::try_from(at_ms).ok()
}

/// Returns the days since 1970-01-01 (Howard Hinnant, "chrono-Compatible Low-Level Date
/// Algorithms", 2013).
fn days_from_civil(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}

/// Returns year, month and day; the inverse of [`days_from_civil`].
fn civil_from_days(days: i64) -> (i64, i64, i64) {
    let days = days + 719_468;
    let day_of_era = days.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
    let year = year_of_era + days.div_euclid(146_097) * 400;
    (if month <= 2 { year + 1 } else { year }, month, day)
}
