//! Tests of batch input files.

use proptest::prelude::*;
use sesamewall_batch::ITEM_LIMIT;
use sesamewall_batch::InputScanner;
use sesamewall_batch::SEGMENT_ITEMS;
use sesamewall_batch::parse_line;
use sesamewall_protocol::Error;

fn line(id: u64, url: &str) -> String {
    format!(r#"{{"custom_id":"i{id}","method":"POST","url":"{url}","body":{{}}}}"#)
}

fn scan(text: &str) -> Result<usize, Error> {
    let mut scanner = InputScanner::new(1_000);
    scanner.push(text.as_bytes())?;
    scanner.finish().map(|(_, segments)| segments.len())
}

/// Guards against input that is accepted although it cannot be run, or is refused without its line
/// number.
#[test]
fn invalid_lines_are_refused_by_number() {
    let good = line(1, "/v1/completions");
    let cases = [
        (String::new(), 1),
        ("{".to_owned(), 1),
        (format!("{good}\n{good}"), 2),
        (format!("{good}\n\n{}", line(2, "/v1/unknown")), 3),
        (format!("{good}\n{}", line(2, "/v1/chat/completions")), 2),
        (good.replace("POST", "GET"), 1),
        (good.replace("i1", ""), 1),
        (format!("{good}\n{}", "x".repeat(2_000)), 2),
    ];
    for (text, wanted) in cases {
        match scan(&text) {
            Err(Error::BatchLineInvalid { line, .. }) => assert_eq!(line, wanted, "{text}"),
            other => panic!("{text}: {other:?}"),
        }
    }
}

/// Guards against jobs with more items than the limit.
#[test]
fn too_many_items_are_refused() {
    let text: String = (0..=ITEM_LIMIT).map(|id| line(id, "/v1/completions") + "\n").collect();
    assert_eq!(scan(&text), Err(Error::BatchTooLarge { limit: ITEM_LIMIT }));
    let shortened = text.trim_end().rsplit_once('\n').unwrap().0;
    assert_eq!(scan(shortened), Ok(ITEM_LIMIT.div_ceil(u64::from(SEGMENT_ITEMS)) as usize));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against items that no segment contains, for any size of the uploaded chunks.
    #[test]
    fn segments_cover_every_item(
        blanks in prop::collection::vec(0..3_usize, 1..1_300),
        chunk in 1..4_000_usize,
        ended in any::<bool>(),
    ) {
        let mut text = String::new();
        for (id, blank) in blanks.iter().enumerate() {
            text.push_str(&line(id as u64, "/v1/completions"));
            text.push_str(&"\n".repeat(1 + blank));
        }
        if !ended {
            text.truncate(text.trim_end().len());
        }
        let mut scanner = InputScanner::new(1_000);
        for chunk in text.as_bytes().chunks(chunk) {
            scanner.push(chunk).unwrap();
        }
        let (_, segments) = scanner.finish().unwrap();
        let mut next = 0;
        let mut offset = 0;
        for segment in segments {
            prop_assert_eq!(segment.offset, offset);
            offset += segment.length;
            prop_assert!(segment.items <= SEGMENT_ITEMS);
            let part = &text[segment.offset as usize..offset as usize];
            let lines: Vec<&str> = part.lines().filter(|line| !line.is_empty()).collect();
            prop_assert_eq!(lines.len(), segment.items as usize);
            for line in lines {
                prop_assert_eq!(parse_line(1, line.as_bytes()).unwrap().custom_id, format!("i{next}"));
                next += 1;
            }
        }
        prop_assert_eq!(next, blanks.len());
        prop_assert_eq!(offset, text.len() as u64);
    }
}

/// Guards against work that is counted in items: the work of an item depends on its prompt and its
/// output limit.
#[test]
fn work_is_counted_in_tokens() {
    let plain = line(1, "/v1/completions");
    let long = plain.replace("i1", "i2").replace("{}", r#"{"max_tokens":4000}"#);
    let text = format!("{plain}\n{long}\n");
    let mut scanner = InputScanner::new(1_000);
    scanner.push(text.as_bytes()).unwrap();
    let (_, segments) = scanner.finish().unwrap();
    let bytes = |line: &str| (line.len() as u64 + 1) / 4;
    assert_eq!(segments[0].work, bytes(&plain) + 256 + bytes(&long) + 4_000);
}
