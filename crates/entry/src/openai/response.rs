//! Responses in the format of OpenAI's API.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use shallotdrum_engine::{FinishReason, Usage};
use shallotdrum_types::RequestId;

use super::Api;

/// Builds the responses to one request; holds the fields that every chunk of a stream repeats.
pub(crate) struct ResponseBuilder {
    api: Api,
    id: String,
    created: u64,
    model: String,
}

/// Complete response, or chunk of a streamed one.
#[derive(Serialize)]
pub(crate) struct CompletionResponse<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    /// Omitted if `None`; `null` if `Some(None)`.
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Option<TokenUsage>>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    content: Content<'a>,
    finish_reason: Option<FinishReason>,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum Content<'a> {
    Text(&'a str),
    Message(Message<'a>),
    Delta(Message<'a>),
}

#[derive(Default, Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct TokenUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl From<Usage> for TokenUsage {
    fn from(usage: Usage) -> Self {
        let (prompt_tokens, completion_tokens) = (usage.prompt_tokens.0, usage.completion_tokens.0);
        let total_tokens = prompt_tokens + completion_tokens;
        Self { prompt_tokens, completion_tokens, total_tokens }
    }
}

impl ResponseBuilder {
    pub(crate) fn new(api: Api, request: &RequestId, model: String) -> Self {
        let prefix = match api {
            Api::Text => "cmpl",
            Api::Chat => "chatcmpl",
        };
        // A clock before 1970 gives 0; callers only display the time.
        let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
        Self { api, id: format!("{prefix}-{request}"), created, model }
    }

    /// Complete response.
    pub(crate) fn complete<'a>(
        &'a self,
        text: &'a str,
        reason: FinishReason,
        usage: Usage,
    ) -> CompletionResponse<'a> {
        let (object, content) = match self.api {
            Api::Text => ("text_completion", Content::Text(text)),
            Api::Chat => {
                let message = Message { role: Some("assistant"), content: Some(text) };
                ("chat.completion", Content::Message(message))
            }
        };
        let choice = Choice { index: 0, content, finish_reason: Some(reason) };
        self.response(object, vec![choice], Some(Some(usage.into())))
    }

    /// Chunk with text; `has_usage` tells whether a usage chunk ends the stream.
    pub(crate) fn text<'a>(
        &'a self,
        text: &'a str,
        is_first: bool,
        has_usage: bool,
    ) -> CompletionResponse<'a> {
        let role = is_first.then_some("assistant");
        let content = match self.api {
            Api::Text => Content::Text(text),
            Api::Chat => Content::Delta(Message { role, content: Some(text) }),
        };
        let choice = Choice { index: 0, content, finish_reason: None };
        self.response(self.chunk_object(), vec![choice], has_usage.then_some(None))
    }

    /// Chunk with the finish reason, after the last text.
    pub(crate) fn end(&self, reason: FinishReason, has_usage: bool) -> CompletionResponse<'_> {
        let content = match self.api {
            Api::Text => Content::Text(""),
            Api::Chat => Content::Delta(Message::default()),
        };
        let choice = Choice { index: 0, content, finish_reason: Some(reason) };
        self.response(self.chunk_object(), vec![choice], has_usage.then_some(None))
    }

    /// Chunk with the token usage, the last of the stream.
    pub(crate) fn usage(&self, usage: Usage) -> CompletionResponse<'_> {
        self.response(self.chunk_object(), Vec::new(), Some(Some(usage.into())))
    }

    fn chunk_object(&self) -> &'static str {
        match self.api {
            Api::Text => "text_completion",
            Api::Chat => "chat.completion.chunk",
        }
    }

    fn response<'a>(
        &'a self,
        object: &'static str,
        choices: Vec<Choice<'a>>,
        usage: Option<Option<TokenUsage>>,
    ) -> CompletionResponse<'a> {
        CompletionResponse {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage,
        }
    }
}
