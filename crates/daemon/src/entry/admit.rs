//! Checks a call before it becomes a request: id, route, key, tier, deadline and body.

use std::sync::Arc;
use std::time::Duration;

use ::http::request::Parts;
use ::http::{HeaderMap, HeaderName, HeaderValue, header};
use axum::body::{Body, HttpBody};
use bytes::{Bytes, BytesMut};
use gateway::{FingerprintInput, Fingerprints, Reservation, fingerprints};
use http_body_util::BodyExt;
use serde::Deserialize;
use sheet::{Access, Name, PoolKind, Route, Sheet, key_hash};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::table::RequestId;
use crate::node::Node;
use crate::outcome::{ID_HEADER, Refusal};

/// Header with the name of the tier.
const TIER_HEADER: &str = "x-primrosechute-tier";
/// Header with the longest time to the first byte of the response, for example `410ms`.
const DEADLINE_HEADER: &str = "x-primrosechute-deadline";
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_mins(10);
/// Longest text of a deadline. `humantime` 2.4 panics on some numbers of 20 digits.
const MAX_DEADLINE_TEXT: usize = 16;
/// Longest time that a run may take after its deadline.
const MAX_RUN_AFTER_DEADLINE: Duration = Duration::from_mins(5);
/// Longest time that a call to a plain service may take after its deadline, in multiples of
/// `timing.stream_silent`. A service can't be asked whether it still runs the call, so only a
/// timeout ends a silent one.
const MAX_SERVICE_RUN_SILENCES: u32 = 4;
/// Bytes of a body that are estimated as one prompt token before the engine has counted them.
const BYTES_PER_TOKEN: u64 = 4;
/// Leading bytes of a body whose hash decides the affinity to targets with a warm prefix cache.
const PREFIX_BYTES: usize = 256;

/// A request that passed all checks of the entry.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) id: RequestId,
    pub(super) method: ::http::Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) pool: Name,
    pub(super) kind: PoolKind,
    /// Whether the caller asked an engine for a stream.
    pub(super) stream: bool,
    /// The authenticated caller; `None` on open routes.
    pub(super) caller: Option<Caller>,
    pub(super) tier: u8,
    pub(super) tier_name: Name,
    /// Tokens that the request reserves: estimated prompt tokens and most output tokens.
    pub(super) cost: u64,
    pub(super) prompt_tokens: u64,
    /// Hash of the first bytes of the body, for affinity to warm prefix caches.
    pub(super) prefix_hash: u64,
    /// Hashes to recognize a poison request, which crashes targets.
    pub(super) fingerprints: Fingerprints,
    pub(super) deadline: Duration,
    pub(super) hard_deadline: Duration,
    /// Covers the body.
    pub(super) _reserved: Arc<Reservation>,
}

/// Key hash and workspace of a call to a keyed route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Caller {
    pub(super) key: [u8; 32],
    pub(super) workspace: Name,
}

impl Job {
    pub(super) fn workspace(&self) -> Option<&Name> {
        self.caller.as_ref().map(|caller| &caller.workspace)
    }

    /// Hash of method, path and body, which a resend must repeat.
    pub(super) fn content_hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.method.as_str().as_bytes());
        hash.update(b" ");
        hash.update(self.path.as_bytes());
        hash.update(b"\n");
        hash.update(&self.body);
        hash.digest()
    }
}

/// Returns the request id in the headers of a call, or generates one.
pub(super) fn request_id(node: &Node, headers: &HeaderMap) -> Result<RequestId, Refusal> {
    let id = HeaderName::from_static(ID_HEADER);
    let Some(value) = single_header(headers, &id, "x-request-id is sent more than once")? else {
        return Ok(node.with_table(|table| table.new_id()));
    };
    value
        .to_str()
        .ok()
        .and_then(|text| RequestId::parse(text).ok())
        .ok_or(Refusal::Malformed(
            "x-request-id is not <incarnation>-<1 to 64 letters, digits, '-' or '_'>",
        ))
}

/// Value of a header that may be sent only once. With two values, a proxy in front of or behind the
/// daemon could act on another one than the daemon checked.
fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    repeated: &'static str,
) -> Result<Option<&'a HeaderValue>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    match values.next() {
        Some(_) => Err(Refusal::Malformed(repeated)),
        None => Ok(value),
    }
}

/// Checks a call and reads its body.
pub(super) async fn check_call(
    node: &Node,
    id: RequestId,
    parts: &Parts,
    body: &mut Body,
) -> Result<Job, Refusal> {
    let arrival = node.now();
    let sheet = node.sheet();
    if sheet.revision == 0 {
        // Without a sheet no path has a route yet, which is not an error of the caller.
        return Err(Refusal::Draining);
    }
    let route = sheet.route(parts.uri.path()).ok_or(Refusal::Route)?;
    let caller = authenticate(&sheet, route, &parts.headers)?;
    let tier = tier(&sheet, route, caller.as_ref(), &parts.headers)?;
    let deadline = deadline(route, &parts.headers)?;
    let kind = sheet
        .pools
        .get(&route.pool)
        .map_or(PoolKind::Service, |pool| pool.kind);
    let mut reserved = node.buffers.reserve();
    let body = read_body(node, route, body, &mut reserved).await?;
    let size = match kind {
        PoolKind::Engine => model_call_size(route, &body)?,
        PoolKind::Service => CallSize {
            prompt_tokens: 0,
            output_tokens: route.max_tokens,
            stream: false,
            rewritten_body: None,
        },
    };
    let fingerprints = fingerprints(&FingerprintInput {
        workspace: caller.as_ref().map(|caller| &*caller.workspace),
        method: &parts.method,
        uri: &parts.uri,
        headers: &parts.headers,
        work_headers: &[],
        body: &body,
    });
    let max_run = match kind {
        PoolKind::Engine => MAX_RUN_AFTER_DEADLINE,
        PoolKind::Service => node.settings.timing.stream_silent * MAX_SERVICE_RUN_SILENCES,
    };
    Ok(Job {
        id,
        method: parts.method.clone(),
        path: parts
            .uri
            .path_and_query()
            .map_or_else(|| "/".to_string(), ToString::to_string),
        headers: parts.headers.clone(),
        prefix_hash: xxh3_64(&body[..body.len().min(PREFIX_BYTES)]),
        fingerprints,
        body: size.rewritten_body.unwrap_or(body),
        pool: route.pool.clone(),
        kind,
        stream: size.stream,
        caller,
        tier,
        tier_name: sheet
            .tiers
            .get(usize::from(tier))
            .map_or_else(|| Name::from(""), |tier| tier.name.clone()),
        cost: size.prompt_tokens + size.output_tokens,
        prompt_tokens: size.prompt_tokens,
        deadline: arrival + deadline,
        hard_deadline: arrival + deadline + max_run,
        _reserved: Arc::new(reserved),
    })
}

fn authenticate(
    sheet: &Sheet,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Caller>, Refusal> {
    match route.access {
        Access::Open => Ok(None),
        Access::Keyed => Ok(Some(authenticated_caller(sheet, headers)?)),
    }
}

/// Authenticates a call by its key.
fn authenticated_caller(sheet: &Sheet, headers: &HeaderMap) -> Result<Caller, Refusal> {
    let repeated = "authorization is sent more than once";
    let value = single_header(headers, &header::AUTHORIZATION, repeated)?.ok_or(Refusal::Key)?;
    let key = value.as_bytes().strip_prefix(b"Bearer ");
    let hash = key_hash(key.ok_or(Refusal::Key)?);
    let key = sheet.active_key(&hash).ok_or(Refusal::Key)?;
    Ok(Caller {
        key: hash,
        workspace: key.workspace.clone(),
    })
}

/// Whether the call has a valid key of the workspace, so that it may read its responses.
pub(super) fn may_read(sheet: &Sheet, workspace: &Name, headers: &HeaderMap) -> bool {
    authenticated_caller(sheet, headers).is_ok_and(|caller| caller.workspace == *workspace)
}

/// Rank of the tier of a call: the one named in its header, or else the route's, lowered to the
/// highest that the key may use. Fails if the header names a higher tier than that.
fn tier(
    sheet: &Sheet,
    route: &Route,
    caller: Option<&Caller>,
    headers: &HeaderMap,
) -> Result<u8, Refusal> {
    let highest = match caller {
        Some(caller) => sheet
            .active_key(&caller.key)
            .map_or(u8::MAX, |key| key.highest_tier),
        None => route.tier,
    };
    let name = HeaderName::from_static(TIER_HEADER);
    let Some(value) = single_header(
        headers,
        &name,
        "x-primrosechute-tier is sent more than once",
    )?
    else {
        return Ok(route.tier.max(highest));
    };
    let rank = value
        .to_str()
        .ok()
        .and_then(|name| sheet.tier_rank(name))
        .ok_or(Refusal::Tier)?;
    if rank < highest {
        return Err(Refusal::Tier);
    }
    Ok(rank)
}

fn deadline(route: &Route, headers: &HeaderMap) -> Result<Duration, Refusal> {
    let name = HeaderName::from_static(DEADLINE_HEADER);
    let repeated = "x-primrosechute-deadline is sent more than once";
    let Some(value) = single_header(headers, &name, repeated)? else {
        return Ok(route.deadline);
    };
    value
        .to_str()
        .ok()
        .filter(|text| text.len() <= MAX_DEADLINE_TEXT)
        .and_then(|text| humantime::parse_duration(text).ok())
        .filter(|deadline| !deadline.is_zero() && *deadline <= MAX_DEADLINE)
        .ok_or(Refusal::Malformed(
            "x-primrosechute-deadline is not a duration of at most 10min, such as 410ms",
        ))
}

async fn read_body(
    node: &Node,
    route: &Route,
    body: &mut Body,
    reserved: &mut Reservation,
) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > route.max_body {
        return Err(Refusal::TooLarge);
    }
    let limit = usize::try_from(route.max_body).unwrap_or(usize::MAX);
    let read = async {
        let mut received = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::Malformed("the body ended early"))?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if received.len() + data.len() > limit {
                return Err(Refusal::TooLarge);
            }
            if !reserved.grow(data.len()) {
                return Err(Refusal::Memory);
            }
            received.extend_from_slice(data);
        }
        Ok(received.freeze())
    };
    tokio::time::timeout(node.settings.limits.idle_timeout, read)
        .await
        .unwrap_or(Err(Refusal::Malformed("the body did not arrive in time")))
}

/// Estimated size of a model call.
struct CallSize {
    prompt_tokens: u64,
    output_tokens: u64,
    stream: bool,
    /// The body with `max_tokens` added, if the call set no limit.
    rewritten_body: Option<Bytes>,
}

fn model_call_size(route: &Route, body: &Bytes) -> Result<CallSize, Refusal> {
    #[derive(Deserialize)]
    struct Call {
        max_tokens: Option<serde_json::Value>,
        max_completion_tokens: Option<serde_json::Value>,
        stream: Option<bool>,
    }
    const NOT_JSON: Refusal = Refusal::Malformed("the body is not a JSON object of a model call");
    // serde also accepts an array for a struct, field by field.
    if !body.trim_ascii_start().starts_with(b"{") {
        return Err(NOT_JSON);
    }
    let call: Call = serde_json::from_slice(body).map_err(|_| NOT_JSON)?;
    let stream = call.stream == Some(true);
    let prompt_tokens = u64::try_from(body.len()).unwrap_or(u64::MAX) / BYTES_PER_TOKEN + 1;
    // If both fields are set, an engine may follow either one, so the larger one counts.
    let mut output_tokens = None;
    let fields = [call.max_tokens, call.max_completion_tokens];
    for value in fields.into_iter().flatten() {
        let Some(tokens) = value.as_u64() else {
            return Err(Refusal::Malformed("max_tokens is not a whole number"));
        };
        output_tokens = output_tokens.max(Some(tokens));
    }
    match output_tokens {
        Some(output_tokens) if output_tokens > route.max_tokens => Err(Refusal::Malformed(
            "max_tokens is larger than the route allows",
        )),
        Some(output_tokens) => Ok(CallSize {
            prompt_tokens,
            output_tokens,
            stream,
            rewritten_body: None,
        }),
        None => {
            // The reservation covers the route's limit, so the engine must not exceed it.
            let mut value: serde_json::Map<String, serde_json::Value> =
                serde_json::from_slice(body).map_err(|_| NOT_JSON)?;
            value.insert("max_tokens".into(), route.max_tokens.into());
            let body = serde_json::to_vec(&value).map_err(|_| NOT_JSON)?;
            Ok(CallSize {
                prompt_tokens,
                output_tokens: route.max_tokens,
                stream,
                rewritten_body: Some(body.into()),
            })
        }
    }
}
