//! Responses and request parsing of the operators' API.

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::rejection::QueryRejection;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use sesamewall_protocol::Error;

/// The result of a handler: a JSON response or an error.
pub(super) type ApiResult = std::result::Result<Json<Value>, ApiError>;

/// An error as a response to an operator.
#[derive(Debug)]
pub(super) struct ApiError(pub(super) Error);

impl From<Error> for ApiError {
    fn from(error: Error) -> Self {
        Self(error)
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let error = self.0;
        let status = StatusCode::from_u16(error.status());
        let mut body = json!({
            "code": error.code(),
            "name": error.name(),
            "message": error.to_string(),
            "help": error.help(),
        });
        if let Error::RevisionConflict { against, current, winner } = &error {
            body["against"] = json!(against);
            body["current"] = json!(current);
            body["winner"] = json!(winner);
        }
        let body = Json(json!({ "error": body }));
        (status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), body).into_response()
    }
}

/// Reads a JSON body.
pub(super) fn read_body<T: DeserializeOwned>(
    body: std::result::Result<Bytes, BytesRejection>,
    limit: usize,
) -> std::result::Result<T, ApiError> {
    let body = body.map_err(|_| Error::BodyTooLarge { limit })?;
    serde_json::from_slice(&body).map_err(|error| {
        ApiError(match error.is_data() {
            true => Error::FieldInvalid { field: "body".to_owned(), detail: error.to_string() },
            false => Error::BodyNotJson { detail: error.to_string() },
        })
    })
}

/// Reads the query of a URL.
pub(super) fn read_query<T>(
    query: std::result::Result<axum::extract::Query<T>, QueryRejection>,
) -> std::result::Result<T, ApiError> {
    query.map(|query| query.0).map_err(|rejection| {
        ApiError(Error::FieldInvalid { field: "query".to_owned(), detail: rejection.body_text() })
    })
}
