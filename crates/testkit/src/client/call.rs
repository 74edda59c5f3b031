use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use http::{Method, Request, Uri};
use http_body_util::Full;

/// Default timeout of a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    pub(crate) timeout: Duration,
}

impl Call {
    /// A request with an empty body.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// A `GET` request.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    /// A `POST` request with a body.
    #[must_use]
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, path).body(body)
    }

    /// A `POST` request with a JSON body.
    #[must_use]
    pub fn json(path: impl Into<String>, body: &serde_json::Value) -> Self {
        Self::post(path, body.to_string()).header(CONTENT_TYPE.as_str(), "application/json")
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// The body to be sent.
    #[must_use]
    pub fn sent_body(&self) -> &Bytes {
        &self.body
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Adds the header `authorization: Bearer <key>`.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", format!("Bearer {key}"))
    }

    /// Adds the header `x-request-id`.
    #[must_use]
    pub fn request_id(self, id: &str) -> Self {
        self.header("x-request-id", id)
    }

    /// Sets the timeout of the whole call, including connecting and reading the body.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    pub(crate) fn to_request(&self, host: SocketAddr) -> Result<Request<Full<Bytes>>, http::Error> {
        let uri: Uri = self.path.parse().map_err(http::Error::from)?;
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = uri;
        let host = HeaderValue::from_str(&host.to_string())?;
        req.headers_mut().insert(HOST, host);
        for (name, value) in &self.headers {
            let name = HeaderName::from_bytes(name.as_bytes())?;
            req.headers_mut()
                .append(name, HeaderValue::from_str(value)?);
        }
        Ok(req)
    }
}
