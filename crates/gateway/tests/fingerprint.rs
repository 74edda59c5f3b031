//! Fingerprints tell requests apart, and recognize those that come again.

use gateway::{FingerprintInput, Fingerprints, fingerprints};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

static WORK_HEADERS: [HeaderName; 1] = [HeaderName::from_static("x-work")];

/// A request of the workspace, line and headers, each with a space between its two parts.
fn of(workspace: Option<&str>, line: &str, headers: &[&str], body: &str) -> Fingerprints {
    let (method, uri) = line.split_once(' ').expect("method and URI");
    let mut map = HeaderMap::new();
    for header in headers {
        let (name, value) = header.split_once(' ').expect("name and value");
        let name: HeaderName = name.parse().expect("name of a header");
        map.append(name, HeaderValue::from_str(value).expect("value"));
    }
    fingerprints(&FingerprintInput {
        workspace,
        method: &method.parse::<Method>().expect("method"),
        uri: &uri.parse::<Uri>().expect("URI"),
        headers: &map,
        work_headers: &WORK_HEADERS,
        body: body.as_bytes(),
    })
}

fn lookup(line: &str) -> Fingerprints {
    of(Some("w"), line, &["host shop"], "")
}

/// Guards against a sound request that clears a crashing one, or is refused with it, because a target
/// sees a difference that the fingerprints leave out.
#[test]
fn requests_that_differ_have_different_fingerprints() {
    let base = lookup("GET /a/b?c=1");
    // Whether the coarse fingerprints are equal.
    let rows = [
        (true, lookup("PUT /a/b?c=1")),
        (true, lookup("GET /a/b?c=2")),
        (true, lookup("GET /a/b")),
        (true, lookup("GET /a/b?")),
        (true, lookup("GET /a/b?c=%31")),
        (true, of(Some("w"), "GET /a/b?c=1", &["host other"], "")),
        (
            true,
            of(Some("w"), "GET /a/b?c=1", &["host shop", "accept a/b"], ""),
        ),
        (
            true,
            of(
                Some("w"),
                "GET /a/b?c=1",
                &["host shop", "content-type a"],
                "",
            ),
        ),
        (
            true,
            of(Some("w"), "GET /a/b?c=1", &["host shop", "x-work 1"], ""),
        ),
        (false, lookup("GET /a/%62?c=1")),
        (false, lookup("GET /a/b/?c=1")),
        (false, of(Some("v"), "GET /a/b?c=1", &["host shop"], "")),
        (false, of(None, "GET /a/b?c=1", &["host shop"], "")),
        (false, of(Some("w"), "GET /a/b?c=1", &["host shop"], "d")),
    ];

    for (at, (same_coarse, other)) in rows.into_iter().enumerate() {
        assert_ne!(other.exact, base.exact, "row {at}");
        assert_eq!(other.coarse == base.coarse, same_coarse, "row {at}");
        let later = &rows[at + 1..];
        let twins = later.iter().filter(|(_, later)| later.exact == other.exact);
        assert_eq!(twins.count(), 0, "row {at}");
    }
}

/// Guards against a request that is not recognized because of headers that are new each time.
#[test]
fn a_request_that_comes_again_has_the_same_fingerprints() {
    let sent = |headers: &[&str]| of(Some("w"), "POST /a?c=1", headers, "body");
    let first = sent(&[
        "host shop",
        "traceparent 1",
        "date 1",
        "accept a",
        "accept b",
    ]);

    let again = sent(&[
        "accept a",
        "host shop",
        "accept b",
        "traceparent 2",
        "x-id 7",
    ]);

    assert_eq!(again, first);
}

/// Guards against different requests with one fingerprint, as bytes that move from one field to the next
/// leave the input of the hash as it is.
#[test]
fn fields_do_not_run_into_each_other() {
    let rows = [
        [
            of(Some("a/b"), "GET /c", &[], ""),
            of(Some("a"), "GET /b/c", &[], ""),
        ],
        [
            of(Some("w"), "GET /a", &[], "bc"),
            of(Some("w"), "GET /ab", &[], "c"),
        ],
        [of(Some(""), "GET /a", &[], ""), of(None, "GET /a", &[], "")],
        [
            of(None, "GET /a", &["accept b", "accept c"], ""),
            of(None, "GET /a", &["accept bc"], ""),
        ],
        [
            of(None, "GET /a", &["accept b"], ""),
            of(None, "GET /a", &["x-work b"], ""),
        ],
    ];

    for [one, other] in rows {
        assert_ne!(one.exact, other.exact);
    }
}
