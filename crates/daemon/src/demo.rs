//! A small site in one process: a daemon and a built-in echo target.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use axum::Router;
use axum::extract::Json;
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use sheet::{Settings, Sheet};
use tokio::net::TcpListener;

use crate::serve::{Daemon, StartError};

/// Key of the demo's workspace.
const KEY: &str = "demo-key";

/// Starts the echo target and a daemon in front of it.
pub(crate) async fn start(entry: SocketAddr) -> Result<Daemon, StartError> {
    let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let bind = |err| StartError::Bind {
        role: "echo target",
        address: local,
        err,
    };
    let listener = TcpListener::bind(local).await.map_err(bind)?;
    let target = listener.local_addr().map_err(bind)?;
    tokio::spawn(async move {
        // Ends with the process.
        let _ = axum::serve(listener, echo()).await;
    });
    let text = settings(entry);
    let settings =
        Settings::parse(&text, "demo").map_err(|err| StartError::Sheet(err.to_string()))?;
    let daemon = Daemon::start(settings).await?;
    let sheet = Sheet::parse(sheet_csv(target).as_bytes())
        .map_err(|errors| StartError::Sheet(errors.iter().map(ToString::to_string).collect()))?;
    daemon.apply_sheet(sheet);
    Ok(daemon)
}

/// The request that the demo prints.
pub(crate) fn curl_line(entry: SocketAddr) -> String {
    format!(
        "curl -N http://{entry}/v1/chat/completions -H 'authorization: Bearer {KEY}' \
         -H 'content-type: application/json' \
         -d '{{\"stream\":true,\"max_tokens\":16,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello there\"}}]}}'"
    )
}

fn settings(entry: SocketAddr) -> String {
    format!(
        r#"{{ "vm": "demo-1", "zone": "demo-a", "entry": "{entry}", "admin": "127.0.0.1:0",
              "sheet": {{ "service": "127.0.0.1:0" }} }}"#
    )
}

fn sheet_csv(target: SocketAddr) -> String {
    let hash = hex::encode(sheet::key_hash(KEY.as_bytes()));
    format!(
        "kind,name,workspace,pool,zone,address,tier,rate,burst,state,access,idempotent,max_body,\
         max_tokens,deadline,capacity,cold_limit,speed,fencing,sha256,revision\n\
         sheet,demo,,,,,,,,,,,,,,,,,,,1\n\
         zone,demo-a,,,,,,,,in,,,,,,,,,,,\n\
         tier,quick,,,,,,,,,,,,,,,,,,,\n\
         workspace,demo,,,,,,100000,100000,,,,,,,,,,,,\n\
         key,demo,demo,,,,quick,,,active,,,,,,,,,,{hash},\n\
         pool,echo,,,,,,,,engine,,,,,,,,,,,\n\
         target,echo-1,,echo,demo-a,{target},,,,in,,,,,,100000,8,1,no,,\n\
         route,/v1/chat/completions,,echo,,,quick,,,,keyed,no,1MiB,4096,10s,,,,,,\n\
         route,/v1/completions,,echo,,,quick,,,,keyed,no,1MiB,4096,10s,,,,,,\n"
    )
}

/// An engine that streams the words of the last message.
fn echo() -> Router {
    Router::new()
        .route("/v1/chat/completions", post(respond))
        .route("/v1/completions", post(respond))
        .route(
            "/load",
            get(|| async {
                Json(serde_json::json!({
                    "start": 1, "running": 0, "tokens": 0, "cold": false, "age_ms": 0,
                }))
            }),
        )
}

async fn respond(Json(call): Json<serde_json::Value>) -> Response {
    let text = call["messages"]
        .as_array()
        .and_then(|messages| messages.last())
        .and_then(|message| message["content"].as_str())
        .or_else(|| call["prompt"].as_str())
        .unwrap_or("nothing to say")
        .to_string();
    if call["stream"] != true {
        let usage = serde_json::json!({ "completion_tokens": text.split_whitespace().count() });
        let choice = serde_json::json!({ "message": { "role": "assistant", "content": text } });
        return Json(serde_json::json!({ "choices": [choice], "usage": usage })).into_response();
    }
    let stream = async_stream::stream! {
        let mut offset = 0;
        for word in text.split_whitespace() {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let delta = serde_json::json!({
                "choices": [{ "delta": { "content": format!("{word} ") } }]
            });
            yield Ok::<_, Infallible>(
                Event::default().id(offset.to_string()).data(delta.to_string())
            );
            offset += 1;
        }
        yield Ok(Event::default().id(offset.to_string()).data("[DONE]"));
    };
    Sse::new(stream).into_response()
}
