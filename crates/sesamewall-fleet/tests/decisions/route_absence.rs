//! Whether the route of an accepted job has been removed.

use sesamewall_fleet::RouteAbsence;

/// Guards against items that are given up because a configuration lacks their route, although it is
/// older than the acceptance or may be older than the present one.
#[test]
fn only_a_confirmed_configuration_that_is_as_new_as_the_job_shows_a_removal() {
    let absence = |accepted_version, local_version, confirmed| RouteAbsence {
        accepted_version,
        local_version,
        confirmed,
    };
    assert!(!absence(7, 6, true).is_certain(), "the route was added later");
    assert!(!absence(7, 7, false).is_certain(), "the process was paused");
    assert!(absence(7, 7, true).is_certain());
    assert!(absence(7, 9, true).is_certain());
    assert!(absence(0, 9, true).is_certain(), "accepted by an earlier build");
}
