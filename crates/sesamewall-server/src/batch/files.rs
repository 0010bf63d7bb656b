//! HTTP handlers for files.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::body::Body;
use axum::extract::Multipart;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::multipart::Field;
use axum::extract::multipart::MultipartRejection;
use axum::extract::rejection::QueryRejection;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use sesamewall_batch::BlobRef;
use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::FrameBody;
use sesamewall_batch::InputScanner;
use sesamewall_batch::SegmentRange;
use sesamewall_batch::choose_storage;
use sesamewall_batch::decode_frames;
use sesamewall_batch::is_retained;
use sesamewall_ports::Precondition;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;

use super::BatchService;
use super::jobs::Page;
use super::jobs::json_response;
use super::jobs::parse_page;
use super::objects::file_object;
use super::objects::list_object;
use super::records::decode;
use super::records::file_key;
use super::records::list_key;
use super::records::list_prefix;
use super::storage::CHUNK_BYTES;
use crate::Caller;
use crate::error_response;

const NAME_LIMIT_BYTES: usize = 256;

struct Upload {
    blob: BlobRef,
    filename: String,
    bytes: u64,
    endpoint: String,
    segments: Vec<SegmentRange>,
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::FieldInvalid { field: "file".to_owned(), detail: error.to_string() }
}

pub(super) async fn upload(
    State(service): State<Arc<BatchService>>,
    Extension(caller): Extension<Caller>,
    parts: std::result::Result<Multipart, MultipartRejection>,
) -> Response {
    let result = match parts {
        Ok(parts) => service.upload(&caller.account, parts).await,
        Err(error) => Err(malformed(error)),
    };
    json_response(result, &caller)
}

pub(super) async fn list(
    State(service): State<Arc<BatchService>>,
    Extension(caller): Extension<Caller>,
    query: std::result::Result<Query<Page>, QueryRejection>,
) -> Response {
    let result = match parse_page(query) {
        Ok(page) => service.account_files(&caller.account, &page).await,
        Err(error) => Err(error),
    };
    json_response(result, &caller)
}

pub(super) async fn describe(
    State(service): State<Arc<BatchService>>,
    Extension(caller): Extension<Caller>,
    Path(id): Path<String>,
) -> Response {
    let found = service.account_file(&caller.account, &id).await;
    json_response(found.map(|file| service.file_object(&file)), &caller)
}

pub(super) async fn remove(
    State(service): State<Arc<BatchService>>,
    Extension(caller): Extension<Caller>,
    Path(id): Path<String>,
) -> Response {
    json_response(service.remove_file(&caller.account, &id).await, &caller)
}

pub(super) async fn content(
    State(service): State<Arc<BatchService>>,
    Extension(caller): Extension<Caller>,
    Path(id): Path<String>,
) -> Response {
    match service.open_content(&caller.account, &id).await {
        Ok((file, body)) => {
            let headers = [
                (header::CONTENT_TYPE, "application/jsonl".to_owned()),
                (header::CONTENT_LENGTH, file.bytes.to_string()),
            ];
            (headers, body).into_response()
        }
        Err(error) => error_response(&error, &caller.request),
    }
}

/// Reads the content of a file chunk by chunk.
struct ContentReader {
    service: Arc<BatchService>,
    parts: VecDeque<ContentPart>,
    failed: bool,
}

enum ContentPart {
    /// The bytes of an uploaded blob from offset `at`.
    Raw { blob: BlobRef, at: u64 },
    /// The error lines of a result blob if `errors`, otherwise its output lines.
    Lines { blob: BlobRef, errors: bool },
}

impl ContentReader {
    async fn next(&mut self) -> Option<Result<Bytes>> {
        let part = self.parts.pop_front()?;
        let storage = &self.service.storage;
        let read = match part {
            ContentPart::Raw { blob, at } if at >= blob.length => Ok(Vec::new()),
            ContentPart::Raw { blob, at } => {
                let limit = (blob.length - at).min(CHUNK_BYTES as u64);
                let read = storage.read_any(&blob, at, limit).await;
                if let Ok(chunk) = &read {
                    let at = at + chunk.len() as u64;
                    self.parts.push_front(ContentPart::Raw { blob, at });
                }
                read
            }
            ContentPart::Lines { blob, errors } => {
                storage.read(&blob, 0, blob.length).await.and_then(|bytes| {
                    result_lines(&bytes, errors)
                        .ok_or(Error::BulkDamaged { blob: blob.name, offset: 0 })
                })
            }
        };
        self.failed = read.is_err();
        Some(read.map(Bytes::from))
    }
}

/// Returns the output or error lines of a result blob, or `None` if a frame is damaged.
fn result_lines(bytes: &[u8], errors: bool) -> Option<Vec<u8>> {
    let (frames, valid_length) = decode_frames(bytes);
    if valid_length != bytes.len() {
        return None;
    }
    let mut out = Vec::new();
    for frame in frames {
        match frame.body {
            FrameBody::Outcome { ok, line } if ok != errors => {
                out.extend_from_slice(line.as_bytes());
                out.push(b'\n');
            }
            _ => {}
        }
    }
    Some(out)
}

impl BatchService {
    /// Returns a file of the account. Returns [`Error::NotFound`] if the file belongs to another
    /// account, was deleted or is past its retention.
    pub(super) async fn account_file(&self, account: &AccountName, id: &str) -> Result<FileRecord> {
        let found = self.records.get::<FileRecord>(&file_key(id)).await?;
        let retention = self.context.settings.retention_seconds;
        let now = self.context.clock.wall_ms();
        found
            .map(|(file, _)| file)
            .filter(|file| file.account == *account && file.deleted_ms.is_none())
            .filter(|file| is_retained(file.created_ms, retention, now))
            .ok_or_else(|| Error::NotFound { kind: "file".to_owned(), id: id.to_owned() })
    }

    fn file_object(&self, file: &FileRecord) -> Value {
        file_object(file, self.context.settings.retention_seconds)
    }

    async fn account_files(&self, account: &AccountName, page: &Page) -> Result<Value> {
        let size = page.size();
        let after = match &page.after {
            Some(id) => {
                list_key(account, "files", self.account_file(account, id).await?.created_ms, id)
            }
            None => String::new(),
        };
        let prefix = list_prefix(account, "files");
        let entries = self.records.list(&prefix, &after, size + 1).await?;
        let mut data = Vec::new();
        for entry in entries.iter().take(size) {
            let id: String = decode(entry)?;
            if let Ok(file) = self.account_file(account, &id).await {
                data.push(self.file_object(&file));
            }
        }
        Ok(list_object(data, entries.len() > size))
    }

    async fn remove_file(&self, account: &AccountName, id: &str) -> Result<Value> {
        self.account_file(account, id).await?;
        if let Some((mut file, version)) = self.records.get::<FileRecord>(&file_key(id)).await? {
            file.deleted_ms = Some(self.context.clock.wall_ms());
            file.token = self.token();
            let expect = Precondition::Version(version);
            if self.records.put(&file_key(id), &file, expect).await?.is_none() {
                let detail = "the file changed at the same time".to_owned();
                return Err(Error::StoreUnavailable { detail });
            }
        }
        Ok(json!({"id": id, "object": "file", "deleted": true}))
    }

    async fn open_content(
        self: &Arc<Self>,
        account: &AccountName,
        id: &str,
    ) -> Result<(FileRecord, Body)> {
        let file = self.account_file(account, id).await?;
        let parts: VecDeque<ContentPart> = match &file.source {
            FileSource::Blob(blob) => [ContentPart::Raw { blob: blob.clone(), at: 0 }].into(),
            FileSource::Results { job, errors } => {
                let blobs = self.result_blobs(job).await?.into_iter();
                blobs.map(|blob| ContentPart::Lines { blob, errors: *errors }).collect()
            }
        };
        let mut reader = ContentReader { service: Arc::clone(self), parts, failed: false };
        // Reads the first chunk before the status is sent, so that a lost blob causes an error
        // response and not an incomplete body.
        let first = reader.next().await.transpose()?.unwrap_or_default();
        let rest = futures::stream::unfold(reader, |mut reader| async move {
            if reader.failed {
                return None;
            }
            let chunk = reader.next().await?;
            Some((chunk, reader))
        });
        let first = futures::stream::once(async move { Ok(first) });
        let body = Body::from_stream(futures::StreamExt::chain(first, rest));
        Ok((file, body))
    }

    async fn upload(&self, account: &AccountName, mut parts: Multipart) -> Result<Value> {
        let mut purpose = None;
        let mut uploaded = None;
        let read = async {
            while let Some(part) =
                self.with_timeout(parts.next_field()).await?.map_err(malformed)?
            {
                match part.name() {
                    Some("purpose") => {
                        let text = self.with_timeout(part.text()).await?;
                        purpose = Some(text.map_err(malformed)?);
                    }
                    Some("file") if uploaded.is_none() => {
                        uploaded = Some(self.store_upload(part).await?);
                    }
                    _ => {}
                }
            }
            Ok(())
        };
        if let Err(error) = read.await {
            if let Some(upload) = &uploaded {
                self.discard(&upload.blob).await;
            }
            return Err(error);
        }
        let upload = uploaded.ok_or_else(|| malformed("the part `file` is missing"))?;
        if purpose.as_deref() != Some("batch") {
            self.discard(&upload.blob).await;
            return Err(Error::FieldInvalid {
                field: "purpose".to_owned(),
                detail: "only `batch` is supported".to_owned(),
            });
        }
        let file = FileRecord {
            id: upload.blob.name.trim_start_matches("f.").to_owned(),
            account: account.clone(),
            filename: upload.filename,
            purpose: "batch".to_owned(),
            bytes: upload.bytes,
            created_ms: self.context.clock.wall_ms(),
            source: FileSource::Blob(upload.blob),
            endpoint: upload.endpoint,
            segments: upload.segments,
            deleted_ms: None,
            token: self.token(),
        };
        let entry = list_key(account, "files", file.created_ms, &file.id);
        self.records.put(&entry, &file.id, Precondition::Absent).await?;
        match self.records.put(&file_key(&file.id), &file, Precondition::Absent).await? {
            Some(_) => Ok(self.file_object(&file)),
            None => Err(Error::Internal { detail: "the file identifier is taken".to_owned() }),
        }
    }

    async fn store_upload(&self, part: Field<'_>) -> Result<Upload> {
        let mut filename = part.file_name().unwrap_or("file.jsonl").to_owned();
        filename.truncate(filename.floor_char_boundary(NAME_LIMIT_BYTES));
        let instances = self.context.directory.instances();
        let holders = choose_storage(&instances, &[], self.options.copies, self.random());
        let name = format!("f.file-{}", self.token());
        let blob = BlobRef { name, holders, length: 0, fence: 0 };
        match self.copy_upload(part, &blob).await {
            Ok((bytes, endpoint, segments)) => {
                let blob = BlobRef { length: bytes, ..blob };
                Ok(Upload { blob, filename, bytes, endpoint, segments })
            }
            Err(error) => {
                self.discard(&blob).await;
                Err(error)
            }
        }
    }

    async fn copy_upload(
        &self,
        mut part: Field<'_>,
        blob: &BlobRef,
    ) -> Result<(u64, String, Vec<SegmentRange>)> {
        let mut scanner = InputScanner::new(self.context.settings.body_limit);
        let mut pending = Vec::new();
        let mut bytes = 0;
        while let Some(chunk) = self.with_timeout(part.chunk()).await?.map_err(malformed)? {
            scanner.push(&chunk)?;
            pending.extend_from_slice(&chunk);
            if bytes + pending.len() as u64 > self.options.file_limit as u64 {
                return Err(Error::BodyTooLarge { limit: self.options.file_limit });
            }
            if pending.len() >= CHUNK_BYTES {
                self.storage.append_all(blob, bytes, &pending).await?;
                bytes += pending.len() as u64;
                pending.clear();
            }
        }
        let (endpoint, segments) = scanner.finish()?;
        self.storage.append_all(blob, bytes, &pending).await?;
        Ok((bytes + pending.len() as u64, endpoint, segments))
    }

    /// Waits for the next chunk of an upload. The time limit applies to each chunk and not to the
    /// upload, because a large file takes long.
    async fn with_timeout<T>(&self, chunk: impl Future<Output = T>) -> Result<T> {
        let seconds = self.context.settings.body_seconds;
        let limit = Duration::from_secs(seconds);
        let read = tokio::time::timeout(limit, chunk).await;
        read.map_err(|_| Error::BodyTimeout { seconds })
    }

    /// Deletes the copies of a blob that no record names. Copies on unreachable instances are
    /// removed later as orphans.
    async fn discard(&self, blob: &BlobRef) {
        for instance in &blob.holders {
            let _ = self.storage.delete(instance, &blob.name).await;
        }
    }
}
