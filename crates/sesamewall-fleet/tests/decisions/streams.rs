//! Tests of the events of streams, and of the output of batch items.

use sesamewall_fleet::EventSplitter;
use sesamewall_fleet::ItemEnd;
use sesamewall_fleet::ItemProgress;
use sesamewall_fleet::ItemSettings;
use sesamewall_fleet::ResultState;
use sesamewall_fleet::StreamEvent;

use crate::support::at;

fn event(id: u64, data: &str) -> StreamEvent {
    StreamEvent { bytes: format!("id: {id}\ndata: {data}\n\n").into_bytes(), id: Some(id) }
}

/// Guards against incomplete events: any split of the stream into chunks gives complete events in
/// order.
#[test]
fn any_chunks_give_complete_events() {
    let text =
        b"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: th\ndata: ree\n\nid: 4\nda";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut found = Vec::new();
        for chunk in text.chunks(size) {
            splitter.push(chunk).expect("small events");
            while let Some(event) = splitter.next_event() {
                found.push((event.id, String::from_utf8(event.data()).expect("text")));
            }
        }
        let expected = [(Some(1), "one"), (Some(2), "two"), (Some(3), "th\nree")];
        assert_eq!(found, expected.map(|(id, data)| (id, data.to_owned())), "chunks of {size}");
        assert!(splitter.has_partial());
    }
}

/// Guards against outputs with a missing or doubled part after an item resumed elsewhere.
#[test]
fn output_continues_only_after_its_last_event() {
    let mut progress = ItemProgress::default();
    assert!(progress.on_event(&event(1, "a")));
    assert!(progress.on_event(&event(2, "b")));
    assert!(!progress.on_event(&event(2, "b")));
    assert!(!progress.on_event(&event(4, "d")));
    assert_eq!(progress.resume_after(), Some(2));
    let settings = ItemSettings::default();
    assert_eq!(progress.on_end(&settings, ItemEnd::Broken, 3, at(0)), None);
    assert!(progress.on_event(&event(3, "c")));
    let end = progress.on_end(&settings, ItemEnd::Whole, 3, at(0));
    assert_eq!(end, Some(ResultState::Completed));
    assert_eq!(progress.into_output(), b"a\nb\nc");
}

/// Guards against items that are given up too early: only failed runs count, not breaks, refusals
/// or preemptions.
#[test]
fn only_failed_runs_count_toward_giving_up() {
    let settings = ItemSettings::default();
    let mut progress = ItemProgress::default();
    for end in [ItemEnd::Broken, ItemEnd::Refused, ItemEnd::NotRun, ItemEnd::MadeWay].repeat(10) {
        assert_eq!(progress.on_end(&settings, end, 3, at(0)), None);
    }
    assert_eq!(progress.on_end(&settings, ItemEnd::Failed, 3, at(0)), None);
    assert_eq!(progress.on_end(&settings, ItemEnd::Failed, 3, at(0)), None);
    let end = progress.on_end(&settings, ItemEnd::Failed, 3, at(0));
    assert_eq!(end, Some(ResultState::GivenUp));
}

/// Guards against an item that no target can take and that is sent ten times a second for good, and
/// against one that is given up because targets were full for a moment.
#[test]
fn refusals_in_a_row_delay_an_item_and_show_it_to_be_refused() {
    let settings = ItemSettings::default();
    let mut progress = ItemProgress::default();
    let mut now = at(0);
    let mut delays = Vec::new();
    for _ in 0..settings.refusal_limit * 3 {
        assert_eq!(progress.on_end(&settings, ItemEnd::Refused, 3, now), None);
        delays.push(progress.not_before().since(now));
        now = progress.not_before();
    }
    let limit = settings.refusal_limit as usize;
    assert!(delays[..limit].iter().all(|delay| *delay == settings.backoff), "{delays:?}");
    assert_eq!(delays.last(), Some(&settings.max_backoff));
    assert!(progress.is_refused(&settings));
    progress.on_end(&settings, ItemEnd::NotRun, 3, now);
    assert!(progress.is_refused(&settings), "it reached no target");
    progress.on_end(&settings, ItemEnd::Broken, 3, now);
    assert!(!progress.is_refused(&settings), "a target has run it");
    progress.on_end(&settings, ItemEnd::Refused, 3, now);
    assert!(!progress.is_refused(&settings));
}

/// Guards against an output that joins parts of a failed run and of the next one.
#[test]
fn a_failed_run_restarts_the_output() {
    let mut progress = ItemProgress::default();
    progress.on_event(&event(1, "a"));
    progress.on_end(&ItemSettings::default(), ItemEnd::Failed, 3, at(0));
    assert_eq!(progress.resume_after(), None);
    assert!(progress.on_event(&event(1, "a")));
    assert_eq!(progress.into_output(), b"a");
}
