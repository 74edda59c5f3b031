//! Both example sites as real processes: each kind of work, checked at targets and callers.

mod support;

use std::collections::HashMap;

use bytes::Bytes;
use serde_json::json;
use support::{Site, chat, prompt, send_all};
use testkit::client::{Call, ClientResponse};
use testkit::expected_text;

/// One kind of work of a site.
struct Work {
    name: &'static str,
    key: Option<&'static str>,
    workspace: Option<&'static str>,
    call: fn(u64) -> Call,
}

const RIGA: &[Work] = &[
    Work {
        name: "long consultation",
        key: Some("demo-salon-chain"),
        workspace: Some("salon-chain"),
        call: |n| chat(n, 8_000, 40, true).header("x-primrosechute-tier", "consult"),
    },
    Work {
        name: "quick mix",
        key: Some("demo-colour-house"),
        workspace: Some("colour-house"),
        call: |n| chat(n, 200, 12, true).header("x-primrosechute-tier", "quick"),
    },
    Work {
        name: "shade check",
        key: Some("demo-studio-nord"),
        workspace: Some("studio-nord"),
        call: |n| prompt(n, 60, 4, false).header("x-primrosechute-tier", "check"),
    },
    Work {
        name: "salon order",
        key: Some("demo-salon-chain"),
        workspace: Some("salon-chain"),
        call: |n| Call::json("/orders", &json!({ "developer": n, "tubes": 3 })),
    },
    Work {
        name: "catalogue",
        key: None,
        workspace: None,
        call: |n| Call::get(format!("/catalogue?page={n}")),
    },
];

const COSTA: &[Work] = &[
    Work {
        name: "season roster",
        key: Some("demo-coast-north"),
        workspace: Some("coast-north"),
        call: |n| chat(n, 6_000, 60, true).header("x-primrosechute-tier", "roster"),
    },
    Work {
        name: "quick answer",
        key: Some("demo-harbour"),
        workspace: Some("harbour"),
        call: |n| chat(n, 100, 8, true).header("x-primrosechute-tier", "quick"),
    },
    Work {
        name: "incident tag",
        key: Some("demo-coast-south"),
        workspace: Some("coast-south"),
        call: |n| prompt(n, 60, 3, false).header("x-primrosechute-tier", "tag"),
    },
    Work {
        name: "swap confirmation",
        key: Some("demo-island"),
        workspace: Some("island"),
        call: |n| Call::json("/swaps", &json!({ "swap": n })),
    },
    Work {
        name: "flag change",
        key: Some("demo-harbour"),
        workspace: Some("harbour"),
        call: |n| Call::json("/flags", &json!({ "flag": n })),
    },
    Work {
        name: "schedule",
        key: None,
        workspace: None,
        call: |n| Call::get(format!("/schedule?day={n}")),
    },
];

/// Whole answer to its own request, by the text that the stand-ins make from the body.
fn check_answer(work: &Work, call_body: &Bytes, answer: &ClientResponse) {
    let name = work.name;
    assert!(answer.status.is_success(), "{name}: {answer:?}");
    assert!(answer.is_complete(), "{name}: {answer:?}");
    if call_body.is_empty() || answer.text().is_empty() {
        let id = answer.header("x-request-id");
        assert_eq!(
            answer.json()["request_id"],
            id,
            "{name}: another call's answer"
        );
        return;
    }
    if !answer.events.is_empty() {
        assert!(answer.is_done(), "{name}: the stream has no proper end");
    }
    let sent: serde_json::Value = serde_json::from_slice(call_body).unwrap();
    let tokens = u32::try_from(sent["max_tokens"].as_u64().unwrap()).unwrap();
    assert_eq!(answer.text(), expected_text(call_body, tokens), "{name}");
}

/// Sends each kind of work through each VM and checks it at callers and targets.
async fn check_site(name: &str, work: &[Work], rounds: u64) {
    let site = Site::start(name).await;
    let names = site.fleet.names();
    let mut workspaces = HashMap::new();
    for round in 0..rounds {
        let (mut calls, mut sent) = (Vec::new(), Vec::new());
        for (at, vm) in names.iter().enumerate() {
            for (kind, work) in work.iter().enumerate() {
                let seed = round * 10_000 + at as u64 * 100 + kind as u64;
                let mut call = (work.call)(seed);
                if let Some(key) = work.key {
                    call = call.key(key);
                }
                sent.push((work, call.sent_body().clone()));
                calls.push((site.client(vm), call));
            }
        }
        let answers = send_all(calls).await;
        for ((work, body), answer) in sent.iter().zip(answers) {
            let answer = answer.unwrap_or_else(|err| panic!("{}: {err}", work.name));
            check_answer(work, body, &answer);
            let id = answer.header("x-request-id").to_string();
            let before = workspaces.insert(id, work.workspace);
            assert!(before.is_none(), "two requests with one id");
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
        "a target ran an unknown request"
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
                "{name} saw a key"
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
                "{name} saw a key"
            );
        }
    }
}

/// Guards against lost, crossed, repeated and wrongly attributed work, and against keys that
/// reach a target.
#[tokio::test]
async fn lv_riga_serves_each_kind_of_work() {
    check_site("lv-riga", RIGA, 6).await;
}

/// The same for the other site, whose sheet and sizes differ.
#[tokio::test]
async fn costa_atl_serves_each_kind_of_work() {
    check_site("costa-atl", COSTA, 6).await;
}
