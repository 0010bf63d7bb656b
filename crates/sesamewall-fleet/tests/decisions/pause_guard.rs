//! What an instance knows after a pause of its process.

use std::time::Duration;

use sesamewall_fleet::PauseGuard;
use sesamewall_fleet::PauseSettings;

use crate::support::at;

/// Guards against requests that are sent by a state from before a pause, and against requests that
/// wait although the process has run all the while.
#[test]
fn only_a_call_sent_after_a_pause_confirms_the_state() {
    let mut guard = PauseGuard::new(PauseSettings::default());
    for millis in (0..2000).step_by(250) {
        assert_eq!(guard.on_mark(at(millis)), None);
        assert!(!guard.is_unconfirmed(at(millis)));
    }
    assert_eq!(guard.on_mark(at(5000)), Some(Duration::from_millis(3250)));
    assert!(guard.is_unconfirmed(at(5000)));
    guard.on_confirmed(at(4990));
    assert!(guard.is_unconfirmed(at(5010)), "the call was sent before the pause ended");
    guard.on_confirmed(at(5005));
    assert!(!guard.is_unconfirmed(at(5010)));
}

/// Guards against an instance that serves nobody because it reaches no other instance and no store.
#[test]
fn an_instance_that_reaches_nobody_goes_on_after_a_while() {
    let mut guard = PauseGuard::new(PauseSettings::default());
    guard.on_mark(at(0));
    guard.on_mark(at(5000));
    assert!(guard.is_unconfirmed(at(5200)));
    for millis in (5250..9000).step_by(250) {
        guard.on_mark(at(millis));
        assert!(!guard.is_unconfirmed(at(millis)));
    }
}
