//! Each kind of request of both example sites, sent to real daemon processes and checked at targets
//! and callers.

mod support;

use std::collections::HashMap;

use bytes::Bytes;
use serde_json::json;
use support::{Site, chat_call, completion_call, send_all};
use testkit::client::{Call, ClientResponse};
use testkit::expected_text;

/// One kind of request of a site.
struct RequestKind {
    name: &'static str,
    key: Option<&'static str>,
    workspace: Option<&'static str>,
    call: fn(u64) -> Call,
}

const RIGA: &[RequestKind] = &[
    RequestKind {
        name: "long consultation",
        key: Some("demo-salon-chain"),
        workspace: Some("salon-chain"),
        call: |n| chat_call(n, 8_000, 40, true).header("x-primrosechute-tier", "consult"),
    },
    RequestKind {
        name: "quick mix",
        key: Some("demo-colour-house"),
        workspace: Some("colour-house"),
        call: |n| chat_call(n, 200, 12, true).header("x-primrosechute-tier", "quick"),
    },
    RequestKind {
        name: "shade check",
        key: Some("demo-studio-nord"),
        workspace: Some("studio-nord"),
        call: |n| completion_call(n, 60, 4, false).header("x-primrosechute-tier", "check"),
    },
    RequestKind {
        name: "salon order",
        key: Some("demo-salon-chain"),
        workspace: Some("salon-chain"),
        call: |n| Call::json("/orders", &json!({ "developer": n, "tubes": 3 })),
    },
    RequestKind {
        name: "catalogue",
        key: None,
        workspace: None,
        call: |n| Call::get(format!("/catalogue?page={n}")),
    },
];

const COSTA: &[RequestKind] = &[
    RequestKind {
        name: "season roster",
        key: Some("demo-coast-north"),
        workspace: Some("coast-north"),
        call: |n| chat_call(n, 6_000, 60, true).header("x-primrosechute-tier", "roster"),
    },
    RequestKind {
        name: "quick answer",
        key: Some("demo-harbour"),
        workspace: Some("harbour"),
        call: |n| chat_call(n, 100, 8, true).header("x-primrosechute-tier", "quick"),
    },
    RequestKind {
        name: "incident tag",
        key: Some("demo-coast-south"),
        workspace: Some("coast-south"),
        call: |n| completion_call(n, 60, 3, false).header("x-primrosechute-tier", "tag"),
    },
    RequestKind {
        name: "swap confirmation",
        key: Some("demo-island"),
        workspace: Some("island"),
        call: |n| Call::json("/swaps", &json!({ "swap": n })),
    },
    RequestKind {
        name: "flag change",
        key: Some("demo-harbour"),
        workspace: Some("harbour"),
        call: |n| Call::json("/flags", &json!({ "flag": n })),
    },
    RequestKind {
        name: "schedule",
        key: None,
        workspace: None,
        call: |n| Call::get(format!("/schedule?day={n}")),
    },
];

/// Asserts that a response is complete and belongs to its request: the stand-ins derive its text
/// from the request body.
fn check_response(kind: &RequestKind, call_body: &Bytes, response: &ClientResponse) {
    let name = kind.name;
    assert!(response.status.is_success(), "{name}: {response:?}");
    assert!(response.is_complete(), "{name}: {response:?}");
    if call_body.is_empty() || response.text().is_empty() {
        let id = response.header("x-request-id");
        assert_eq!(
            response.json()["request_id"],
            id,
            "{name}: the response belongs to another call"
        );
        return;
    }
    if !response.events.is_empty() {
        assert!(response.is_done(), "{name}: the stream has no final event");
    }
    let sent: serde_json::Value = serde_json::from_slice(call_body).unwrap();
    let tokens = u32::try_from(sent["max_tokens"].as_u64().unwrap()).unwrap();
    assert_eq!(response.text(), expected_text(call_body, tokens), "{name}");
}

/// Sends each kind of request through each VM and checks it at callers and targets.
async fn check_site(name: &str, kinds: &[RequestKind], rounds: u64) {
    let site = Site::start(name).await;
    let names = site.fleet.names();
    let mut workspaces = HashMap::new();
    for round in 0..rounds {
        let (mut calls, mut sent) = (Vec::new(), Vec::new());
        for (vm_index, vm) in names.iter().enumerate() {
            for (kind_index, kind) in kinds.iter().enumerate() {
                let seed = round * 10_000 + vm_index as u64 * 100 + kind_index as u64;
                let mut call = (kind.call)(seed);
                if let Some(key) = kind.key {
                    call = call.key(key);
                }
                sent.push((kind, call.sent_body().clone()));
                calls.push((site.client(vm), call));
            }
        }
        let responses = send_all(calls).await;
        for ((kind, body), response) in sent.iter().zip(responses) {
            let response = response.unwrap_or_else(|err| panic!("{}: {err}", kind.name));
            check_response(kind, body, &response);
            let id = response.header("x-request-id").to_string();
            let duplicate = workspaces.insert(id, kind.workspace);
            assert!(duplicate.is_none(), "two requests with one id");
        }
    }
    check_targets(&site, &workspaces);
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

fn check_targets(site: &Site, workspaces: &HashMap<String, Option<&'static str>>) {
    let runs = site.runs();
    assert_eq!(
        runs.len(),
        workspaces.len(),
        "the number of requests that ran differs from the number sent"
    );
    for (id, count) in &runs {
        assert!(workspaces.contains_key(id), "unknown request {id}");
        assert_eq!(*count, 1, "request {id} ran more than once");
    }
    for (name, engine) in &site.engines {
        let stats = engine.stats();
        assert_eq!(stats.overloads, 0, "{name} was overloaded while cold");
        for record in engine.records() {
            let expected = workspaces[&record.request_id];
            assert_eq!(record.workspace.as_deref(), expected, "{name}");
            assert!(
                header(&record.headers, "authorization").is_none(),
                "{name} received a caller's key"
            );
        }
    }
    for (name, service) in &site.services {
        for call in service
            .calls()
            .iter()
            .filter(|call| !call.request_id.is_empty())
        {
            let expected = workspaces[&call.request_id];
            let workspace = header(&call.headers, "x-primrosechute-workspace");
            assert_eq!(workspace, expected, "{name}");
            assert!(
                header(&call.headers, "authorization").is_none(),
                "{name} received a caller's key"
            );
        }
    }
}

/// Guards against requests that are lost, repeated, served with another request's response or
/// attributed to the wrong workspace, and against keys that reach a target.
#[tokio::test]
async fn lv_riga_serves_each_kind_of_request() {
    check_site("lv-riga", RIGA, 6).await;
}

/// The same for the other example site, which has another sheet and other sizes.
#[tokio::test]
async fn costa_atl_serves_each_kind_of_request() {
    check_site("costa-atl", COSTA, 6).await;
}
