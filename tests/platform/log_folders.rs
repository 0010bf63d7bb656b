//! Folders for the logs of processes.

use std::path::Path;

use crate::fixture::FleetSettings;
use crate::fixture::TestFleet;
use crate::fixture::log_folder;

/// Guards against logs in the sources: a relative or empty folder is below the build folder.
#[tokio::test]
async fn relative_log_folders_are_in_the_build_folder() {
    let build = Path::new(env!("CARGO_TARGET_TMPDIR"));
    for folder in ["", ".", "logs", "logs/seeds"] {
        let logs = log_folder(Some(folder.into())).expect("a folder");
        assert!(logs.starts_with(build), "{folder}: {}", logs.display());
    }
    assert_eq!(log_folder(Some("/logs".into())).as_deref(), Some(Path::new("/logs")));
    assert_eq!(log_folder(None), None);

    let name = format!("log-folder-{}", std::process::id());
    let logs = log_folder(Some(name.into()));
    let fleet =
        TestFleet::start_with(FleetSettings { logs: logs.clone(), ..FleetSettings::default() });
    drop(fleet.await);
    let logs = logs.expect("a folder");
    assert!(std::fs::read_dir(&logs).is_ok_and(|mut files| files.next().is_some()), "no log");
    std::fs::remove_dir_all(logs).expect("a folder of this test");
}
