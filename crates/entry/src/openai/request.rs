//! Parsing of the bodies of completion requests.
//!
//! Unsupported fields that would change the result (`n` above 1, `tools`, `logprobs`, `echo` and
//! the like) are rejected. `top_p` and the penalties are validated and otherwise ignored, because
//! engines support only temperature, seed and stop sequences. `user` must be a string; it and all
//! other fields, such as `metadata`, are ignored.

use std::fmt::Write;

use serde_json::{Value, json};
use shallotdrum_types::{ModelName, RequestError};

use super::fields::{Fields, invalid, invalid_field};

/// Maximum number of stop sequences, as in OpenAI's API.
const MAX_STOP_SEQUENCES: usize = 4;
/// Default sampling temperature, as in OpenAI's API.
const DEFAULT_TEMPERATURE: f64 = 1.0;
/// Supported roles of chat messages.
const ROLES: &[&str] = &["system", "developer", "user", "assistant"];

/// Endpoint that a completion request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Api {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// Validated fields of a completion request; chat messages are rendered to `prompt`.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) model: ModelName,
    pub(crate) prompt: String,
    pub(crate) max_tokens: Option<u32>,
    pub(crate) temperature: f64,
    pub(crate) stop: Vec<String>,
    pub(crate) seed: Option<u64>,
    pub(crate) stream: bool,
    pub(crate) include_usage: bool,
}

/// Parses the body of a completion request.
pub(crate) fn parse(api: Api, body: &[u8]) -> Result<ParsedRequest, RequestError> {
    let mut fields = Fields::parse(body)?;
    let model = fields.string("model")?.ok_or_else(|| invalid_field("model", "a model name"))?;
    let model = model.parse().map_err(|e| invalid(format!("model: {e}")))?;
    let prompt = match api {
        Api::Text => prompt(&mut fields)?,
        Api::Chat => render_chat(&mut fields)?,
    };
    let max_tokens = match api {
        Api::Text => fields.count("max_tokens")?,
        // `max_completion_tokens` replaced `max_tokens` in OpenAI's API and takes precedence.
        Api::Chat => {
            let max_tokens = fields.count("max_tokens")?;
            fields.count("max_completion_tokens")?.or(max_tokens)
        }
    };
    let stream = fields.bool("stream")?.unwrap_or(false);
    let include_usage = match fields.object("stream_options")? {
        Some(_) if !stream => {
            return Err(invalid_field("stream_options", "no value unless stream is true"));
        }
        Some(mut options) => options.bool("include_usage")?.unwrap_or(false),
        None => false,
    };
    let request = ParsedRequest {
        model,
        prompt,
        max_tokens,
        // Adding 0.0 turns -0.0 into 0.0, so that equal requests have equal fingerprints.
        temperature: fields.number("temperature", 0.0, 2.0)?.unwrap_or(DEFAULT_TEMPERATURE) + 0.0,
        stop: stop(&mut fields)?,
        seed: seed(&mut fields)?,
        stream,
        include_usage,
    };
    check_ignored_and_unsupported(&mut fields)?;
    Ok(request)
}

fn prompt(fields: &mut Fields) -> Result<String, RequestError> {
    let text = match fields.take("prompt") {
        Some(Value::String(text)) => text,
        Some(Value::Array(mut items)) if items.len() == 1 => match items.pop() {
            Some(Value::String(text)) => text,
            _ => return Err(invalid_field("prompt", "a string or a list of one string")),
        },
        _ => return Err(invalid_field("prompt", "a string or a list of one string")),
    };
    if text.is_empty() {
        return Err(invalid_field("prompt", "a string that is not empty"));
    }
    Ok(text)
}

/// Renders chat messages to a single prompt.
///
/// Each message becomes `<|role|>\n<content>\n`; the prompt ends with `<|assistant|>\n`, after
/// which the engine generates the reply.
fn render_chat(fields: &mut Fields) -> Result<String, RequestError> {
    let messages = match fields.take("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => return Err(invalid_field("messages", "a list of at least one message")),
    };
    let mut prompt = String::new();
    for (i, message) in messages.into_iter().enumerate() {
        let path = format!("messages[{i}]");
        let Value::Object(map) = message else { return Err(invalid_field(&path, "an object")) };
        let mut message = Fields::new(map);
        let role = message.string("role")?.filter(|role| ROLES.contains(&role.as_str()));
        let role = role
            .ok_or_else(|| invalid_field(&format!("{path}.role"), &format!("one of {ROLES:?}")))?;
        let _ = writeln!(prompt, "<|{role}|>");
        push_content(&mut prompt, &path, message.take("content"))?;
        prompt.push('\n');
    }
    prompt.push_str("<|assistant|>\n");
    Ok(prompt)
}

fn push_content(
    prompt: &mut String,
    path: &str,
    content: Option<Value>,
) -> Result<(), RequestError> {
    let error = || invalid_field(&format!("{path}.content"), "a string or a list of text parts");
    match content {
        Some(Value::String(text)) => prompt.push_str(&text),
        Some(Value::Array(parts)) => {
            for part in &parts {
                let is_text = part.get("type").and_then(Value::as_str) == Some("text");
                let text = part.get("text").and_then(Value::as_str).filter(|_| is_text);
                prompt.push_str(text.ok_or_else(error)?);
            }
        }
        _ => return Err(error()),
    }
    Ok(())
}

fn stop(fields: &mut Fields) -> Result<Vec<String>, RequestError> {
    let error =
        || invalid_field("stop", "a string or a list of up to 4 strings, none of them empty");
    let items = match fields.take("stop") {
        None => return Ok(Vec::new()),
        Some(Value::Array(items)) if items.len() <= MAX_STOP_SEQUENCES => items,
        Some(Value::String(text)) => vec![Value::String(text)],
        Some(_) => return Err(error()),
    };
    let text = |item| match item {
        Value::String(text) if !text.is_empty() => Ok(text),
        _ => Err(error()),
    };
    items.into_iter().map(text).collect()
}

/// Takes the seed; a negative one is reinterpreted as its two's complement.
fn seed(fields: &mut Fields) -> Result<Option<u64>, RequestError> {
    let Some(value) = fields.take("seed") else { return Ok(None) };
    match (value.as_u64(), value.as_i64()) {
        (Some(seed), _) => Ok(Some(seed)),
        (None, Some(seed)) => Ok(Some(seed.cast_unsigned())),
        (None, None) => Err(invalid_field("seed", "a whole number")),
    }
}

fn check_ignored_and_unsupported(fields: &mut Fields) -> Result<(), RequestError> {
    fields.number("top_p", 0.0, 1.0)?;
    fields.number("presence_penalty", -2.0, 2.0)?;
    fields.number("frequency_penalty", -2.0, 2.0)?;
    fields.string("user")?;
    for (name, allowed) in [
        ("n", json!(1)),
        ("best_of", json!(1)),
        ("echo", json!(false)),
        ("suffix", json!("")),
        ("logprobs", json!(false)),
        ("tools", json!([])),
        ("functions", json!([])),
        ("response_format", json!({"type": "text"})),
    ] {
        fields.allow_only(name, &allowed)?;
    }
    Ok(())
}
