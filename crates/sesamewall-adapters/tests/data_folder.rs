//! Tests of the data folder.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use bytes::Bytes;
use proptest::prelude::*;
use sesamewall_adapters::DataFolder;
use sesamewall_ports::BulkStorage;
use sesamewall_protocol::Error;

const HEADER_BYTES: usize = 8;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(work)
}

async fn fill(root: &Path, frames: &[Vec<u8>]) -> Vec<u8> {
    let folder = DataFolder::open(root).unwrap();
    let mut all = Vec::new();
    for frame in frames {
        let data = Bytes::copy_from_slice(frame);
        all.extend_from_slice(frame);
        let length = folder.append("b", (all.len() - frame.len()) as u64, data).await.unwrap();
        assert_eq!(length, all.len() as u64);
    }
    all
}

fn frames() -> impl Strategy<Value = Vec<Vec<u8>>> {
    prop::collection::vec(prop::collection::vec(any::<u8>(), 1..60), 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a torn write that is served or that hides acknowledged frames before it.
    #[test]
    fn torn_tail_is_truncated(frames in frames(), cut: usize, read in (0..300_u64, 0..300_u64)) {
        let root = tempfile::tempdir().unwrap();
        block_on(async {
            let all = fill(root.path(), &frames).await;
            let path = root.path().join("b");
            let bytes = std::fs::read(&path).unwrap();
            let cut = cut % (bytes.len() + 1);
            std::fs::write(&path, &bytes[..cut]).unwrap();
            let mut valid = 0;
            let mut end = 0;
            for frame in &frames {
                end += HEADER_BYTES + frame.len();
                valid += if end <= cut { frame.len() } else { 0 };
            }
            let folder = DataFolder::open(root.path()).unwrap();
            assert_eq!(folder.length("b").await.unwrap(), Some(valid as u64));
            let from = (read.0 as usize).min(valid);
            let to = (from + read.1 as usize).min(valid);
            assert_eq!(folder.read("b", read.0, read.1).await.unwrap(), all[from..to]);
            let more = Bytes::from_static(b"more");
            folder.append("b", valid as u64, more).await.unwrap();
            let content = folder.read("b", 0, u64::MAX).await.unwrap();
            assert_eq!(content, [&all[..valid], b"more"].concat());
        });
    }

    /// Guards against damaged bytes that are served before or after the folder is opened again.
    #[test]
    fn damaged_bytes_are_not_served(frames in frames(), at: usize, bit in 0..8_u8, again: bool) {
        let root = tempfile::tempdir().unwrap();
        block_on(async {
            let all = fill(root.path(), &frames).await;
            let mut folder = DataFolder::open(root.path()).unwrap();
            folder.length("b").await.unwrap();
            let path = root.path().join("b");
            let mut bytes = std::fs::read(&path).unwrap();
            let at = at % bytes.len();
            bytes[at] ^= 1 << bit;
            std::fs::write(&path, bytes).unwrap();
            if again {
                folder = DataFolder::open(root.path()).unwrap();
            }
            match folder.read("b", 0, u64::MAX).await {
                Ok(read) => assert!(all.starts_with(&read)),
                Err(error) => assert!(matches!(error, Error::BulkDamaged { .. }), "{error}"),
            }
        });
    }
}

/// Guards against a damaged frame in the middle that shifts or hides the frames after it.
#[test]
fn damage_in_the_middle_is_reported() {
    let root = tempfile::tempdir().unwrap();
    block_on(async {
        fill(root.path(), &[b"first".to_vec(), b"second".to_vec(), b"third".to_vec()]).await;
        let path = root.path().join("b");
        let mut bytes = std::fs::read(&path).unwrap();
        bytes[HEADER_BYTES + 5 + HEADER_BYTES] ^= 1;
        std::fs::write(&path, bytes).unwrap();
        let folder = DataFolder::open(root.path()).unwrap();
        assert_eq!(folder.read("b", 0, 5).await.unwrap(), "first");
        assert_eq!(folder.read("b", 11, 9).await.unwrap(), "third");
        let wanted = Error::BulkDamaged { blob: "b".to_owned(), offset: 5 };
        assert_eq!(folder.read("b", 0, 20).await, Err(wanted));
    });
}

/// Guards against a delayed writer that appends after data of its successor.
#[test]
fn append_is_refused_at_another_offset() {
    let root = tempfile::tempdir().unwrap();
    block_on(async {
        let folder = DataFolder::open(root.path()).unwrap();
        let append = |offset, data: &'static str| folder.append("b", offset, Bytes::from(data));
        assert_eq!(append(0, "abc").await, Ok(3));
        assert_eq!(append(0, "abc").await, Ok(3));
        assert!(append(0, "abd").await.is_err());
        assert!(append(1, "bcd").await.is_err());
        assert!(append(4, "e").await.is_err());
        assert!(folder.append("c", 4, Bytes::from("e")).await.is_err());
        assert_eq!(folder.list().await.unwrap(), vec!["b"]);
        folder.delete("b").await.unwrap();
        folder.delete("b").await.unwrap();
        assert_eq!(folder.length("b").await, Ok(None));
        assert_eq!(append(0, "new").await, Ok(3));
    });
}

/// Guards against blob names that resolve to a path outside the folder.
#[test]
fn names_stay_in_the_folder() {
    let root = tempfile::tempdir().unwrap();
    block_on(async {
        let folder = DataFolder::open(root.path().join("inner")).unwrap();
        for name in ["", ".", "..", "../x", "a/b", "/etc/x", "a\0b", ".x", "a\\b"] {
            let data = Bytes::from_static(b"x");
            assert!(folder.append(name, 0, data).await.is_err(), "{name:?}");
            assert!(folder.read(name, 0, 1).await.is_err(), "{name:?}");
            assert!(folder.delete(name).await.is_err(), "{name:?}");
        }
        let files = std::fs::read_dir(root.path()).unwrap().count();
        assert_eq!(files, 1);
    });
}
