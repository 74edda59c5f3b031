//! Builds the plain response to a model call from the events that its engine kept.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde_json::{Map, Value, json};

/// One choice of the response, as far as its events have been read.
#[derive(Default)]
struct Choice {
    /// Whether the events are those of a chat call.
    chat: bool,
    text: String,
    finish_reason: Value,
}

/// The response that the engine would have sent without `"stream": true`.
///
/// `None` if the events hold anything but text, since other parts can't be joined by a general
/// rule, or if they don't end with `[DONE]`.
pub(super) fn rebuild(events: &[u8]) -> Option<Bytes> {
    let mut fields = Map::new();
    let mut choices: BTreeMap<u64, Choice> = BTreeMap::new();
    let text = std::str::from_utf8(events).ok()?;
    for data in text.lines().filter_map(|line| line.strip_prefix("data:")) {
        if data.trim() == "[DONE]" {
            return assemble(fields, choices);
        }
        let Value::Object(mut event) = serde_json::from_str(data).ok()? else {
            return None;
        };
        let Some(Value::Array(parts)) = event.remove("choices") else {
            return None;
        };
        for part in &parts {
            let choice = choices.entry(part["index"].as_u64()?).or_default();
            append_part(choice, part)?;
        }
        event.retain(|_, value| !value.is_null());
        fields.append(&mut event);
    }
    None
}

/// Adds a part to its choice. `None` if the part is not only text.
fn append_part(choice: &mut Choice, part: &Value) -> Option<()> {
    for (name, value) in part.as_object()? {
        match (&**name, value) {
            ("index", _) | (_, Value::Null) => {}
            ("finish_reason", reason) => choice.finish_reason = reason.clone(),
            ("text", Value::String(text)) => choice.text.push_str(text),
            ("delta", Value::Object(delta)) => {
                choice.chat = true;
                for (name, value) in delta {
                    match (&**name, value) {
                        ("role", _) | (_, Value::Null) => {}
                        ("content", Value::String(text)) => choice.text.push_str(text),
                        _ => return None,
                    }
                }
            }
            _ => return None,
        }
    }
    Some(())
}

fn assemble(mut fields: Map<String, Value>, choices: BTreeMap<u64, Choice>) -> Option<Bytes> {
    let object = match fields.get("object")?.as_str()? {
        "chat.completion.chunk" => "chat.completion",
        "text_completion" => "text_completion",
        _ => return None,
    };
    let choices: Vec<Value> = choices
        .into_iter()
        .map(|(index, choice)| {
            let finish_reason = choice.finish_reason;
            if choice.chat {
                let message = json!({ "role": "assistant", "content": choice.text });
                json!({ "index": index, "message": message, "finish_reason": finish_reason })
            } else {
                json!({ "index": index, "text": choice.text, "finish_reason": finish_reason })
            }
        })
        .collect();
    fields.insert("object".into(), object.into());
    fields.insert("choices".into(), choices.into());
    serde_json::to_vec(&fields).ok().map(Bytes::from)
}
