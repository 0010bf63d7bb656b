//! Guards against times that are read or shown wrongly.

use sesamewall_cli::format_ms;
use sesamewall_cli::parse_since;

const NOW_MS: u64 = 1_800_000_000_000;

/// Fails when a form of time is read as another time, or a wrong one is accepted.
#[test]
fn reads_each_form_of_time() {
    let cases = [
        ("15m", NOW_MS - 900_000),
        ("90s", NOW_MS - 90_000),
        ("2h", NOW_MS - 7_200_000),
        ("7d", NOW_MS - 604_800_000),
        ("1700000000123", 1_700_000_000_123),
        ("1970-01-01T00:00:00Z", 0),
        ("2000-02-29T12:00:00.250Z", 951_825_600_250),
        ("2000-02-29T13:00:00+01:00", 951_825_600_000),
        ("2026-12-04T05:00:00Z", 1_796_360_400_000),
    ];
    for (text, at_ms) in cases {
        assert_eq!(parse_since(text, NOW_MS), Ok(at_ms), "{text}");
    }
    for text in [
        "",
        "m",
        "15x",
        "yesterday",
        "2026-12-04",
        "12:00:00",
        "-5m",
        "15µ",
        "99999999999999999999d",
    ] {
        assert!(parse_since(text, NOW_MS).is_err(), "{text}");
    }
}

/// Fails when a shown time is not the time that was recorded, over leap years and centuries.
#[test]
fn shows_the_time_that_it_reads() {
    assert_eq!(format_ms(951_825_600_250), "2000-02-29T12:00:00.250Z");
    for day in 0..80_000 {
        let at_ms = day * 86_400_000 + 12_345_678;
        assert_eq!(parse_since(&format_ms(at_ms), NOW_MS), Ok(at_ms));
    }
}
