//! What makes two requests the same.
//!
//! A request that crashes targets is recognized by its fingerprints when it comes again. Not all callers
//! repeat it in the same way, so it has two. The exact one covers what decides what a target does. The
//! coarse one covers only who sends which body to which path; it finds a request whose query or headers
//! are new each time, as long as no sound request shares it.
//!
//! Nothing is normalized, as nothing is on the way to the target: requests that differ in percent-encoding
//! or in the order of the fields of their queries are different ones.

use admit::Fingerprints;
use http::{HeaderMap, HeaderName, Method, Uri, header};
use xxhash_rust::xxh3::Xxh3;

/// Headers by which the same URI and body ask for different work. Others, such as ids, times and traces,
/// may be new each time that a request is repeated.
const HEADERS: [HeaderName; 6] = [
    header::HOST,
    header::CONTENT_TYPE,
    header::CONTENT_ENCODING,
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::RANGE,
];

/// What the fingerprints of a request cover.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// Workspace of the caller, which targets see in place of the key; `None` on open routes.
    pub workspace: Option<&'a str>,
    /// Method of the request.
    pub method: &'a Method,
    /// Path and query; the authority if the request names it there.
    pub uri: &'a Uri,
    /// All headers of the request.
    pub headers: &'a HeaderMap,
    /// Headers of the deployment that describe the work, besides the standard ones.
    pub work_headers: &'a [HeaderName],
    /// The whole body, as the caller sent it.
    pub body: &'a [u8],
}

/// Computes the fingerprints of a request.
#[must_use]
pub fn fingerprints(input: &FingerprintInput<'_>) -> Fingerprints {
    let mut hash = FieldHash::default();
    hash.add_optional(input.workspace.map(str::as_bytes));
    hash.add(input.uri.path().as_bytes());
    hash.add(input.body);
    let coarse = hash.digest();

    let mut hash = FieldHash::default();
    hash.add(&coarse.to_le_bytes());
    hash.add(input.method.as_str().as_bytes());
    hash.add_optional(input.uri.authority().map(|host| host.as_str().as_bytes()));
    hash.add_optional(input.uri.query().map(str::as_bytes));
    for name in HEADERS.iter().chain(input.work_headers) {
        for value in input.headers.get_all(name) {
            hash.add(name.as_str().as_bytes());
            hash.add(value.as_bytes());
        }
    }
    Fingerprints {
        coarse,
        exact: hash.digest(),
    }
}

/// Hash of fields, each with its length: otherwise a byte could move from one field to the next
/// without a change of the hash.
#[derive(Default)]
struct FieldHash(Xxh3);

impl FieldHash {
    fn add(&mut self, field: &[u8]) {
        self.add_number(field.len());
        self.0.update(field);
    }

    fn add_optional(&mut self, field: Option<&[u8]>) {
        self.add_number(field.iter().len());
        if let Some(field) = field {
            self.add(field);
        }
    }

    fn add_number(&mut self, number: usize) {
        self.0.update(&(number as u64).to_le_bytes());
    }

    fn digest(&self) -> u64 {
        self.0.digest()
    }
}
