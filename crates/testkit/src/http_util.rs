//! Helpers for reading HTTP requests and building responses, shared by all stand-ins.

use std::time::Duration;

use axum::body::Body;
use http::header::{CONTENT_TYPE, HeaderMap};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::server::HttpResponse;

/// Header names and values as text, in the iteration order of the `HeaderMap`.
pub type Headers = Vec<(String, String)>;

pub(crate) fn header_list(map: &HeaderMap) -> Headers {
    map.iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect()
}

pub(crate) fn header_value(map: &HeaderMap, name: &str) -> Option<String> {
    map.get(name)
        .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
}

pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).expect("response values are serializable");
    response_with_body(status, "application/json", Body::from(body))
}

pub(crate) fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    json_response(
        status,
        &serde_json::json!({ "error": { "message": message, "type": "stand_in" } }),
    )
}

pub(crate) fn empty_response(status: StatusCode) -> HttpResponse {
    let mut res = Response::new(Body::empty());
    *res.status_mut() = status;
    res
}

pub(crate) fn response_with_body(
    status: StatusCode,
    content_type: &'static str,
    body: Body,
) -> HttpResponse {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    res
}

/// Returns the value of parameter `name` in a query string, without percent-decoding: the values
/// used by the stand-ins don't need it.
pub(crate) fn query_param<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}

/// Parses a duration such as `30s`, `250ms` or a plain number of seconds.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse().ok().map(Duration::from_millis);
    }
    let seconds = text.strip_suffix('s').unwrap_or(text);
    Duration::try_from_secs_f64(seconds.parse().ok()?).ok()
}
