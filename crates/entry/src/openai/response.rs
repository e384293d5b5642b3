//! Answers in the form of OpenAI's interface.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use shallotdrum_engine::{FinishReason, Usage};
use shallotdrum_types::RequestId;

use super::Api;

/// Facts that each part of an answer repeats.
pub(crate) struct Shape {
    api: Api,
    id: String,
    created: u64,
    model: String,
}

/// Answer or part of a streamed answer.
#[derive(Serialize)]
pub(crate) struct Answer<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Option<UsageReport>>,
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
struct UsageReport {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl From<Usage> for UsageReport {
    fn from(usage: Usage) -> Self {
        let (prompt_tokens, completion_tokens) = (usage.prompt_tokens.0, usage.completion_tokens.0);
        let total_tokens = prompt_tokens + completion_tokens;
        Self { prompt_tokens, completion_tokens, total_tokens }
    }
}

impl Shape {
    pub(crate) fn new(api: Api, request: &RequestId, model: String) -> Self {
        let prefix = match api {
            Api::Text => "cmpl",
            Api::Chat => "chatcmpl",
        };
        // A clock before 1970 is shown as 1970; callers only display the time.
        let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
        Self { api, id: format!("{prefix}-{request}"), created, model }
    }

    /// Whole answer.
    pub(crate) fn whole<'a>(
        &'a self,
        text: &'a str,
        reason: FinishReason,
        usage: Usage,
    ) -> Answer<'a> {
        let (object, content) = match self.api {
            Api::Text => ("text_completion", Content::Text(text)),
            Api::Chat => {
                let message = Message { role: Some("assistant"), content: Some(text) };
                ("chat.completion", Content::Message(message))
            }
        };
        let choice = Choice { index: 0, content, finish_reason: Some(reason) };
        self.answer(object, vec![choice], Some(Some(usage.into())))
    }

    /// Part of a streamed answer; `has_usage` marks a stream that ends with its usage.
    pub(crate) fn text<'a>(&'a self, text: &'a str, is_first: bool, has_usage: bool) -> Answer<'a> {
        let role = is_first.then_some("assistant");
        let content = match self.api {
            Api::Text => Content::Text(text),
            Api::Chat => Content::Delta(Message { role, content: Some(text) }),
        };
        let choice = Choice { index: 0, content, finish_reason: None };
        self.answer(self.part_object(), vec![choice], has_usage.then_some(None))
    }

    /// Last part of a streamed answer's choice.
    pub(crate) fn end(&self, reason: FinishReason, has_usage: bool) -> Answer<'_> {
        let content = match self.api {
            Api::Text => Content::Text(""),
            Api::Chat => Content::Delta(Message::default()),
        };
        let choice = Choice { index: 0, content, finish_reason: Some(reason) };
        self.answer(self.part_object(), vec![choice], has_usage.then_some(None))
    }

    /// Part of a streamed answer that tells the usage.
    pub(crate) fn usage(&self, usage: Usage) -> Answer<'_> {
        self.answer(self.part_object(), Vec::new(), Some(Some(usage.into())))
    }

    fn part_object(&self) -> &'static str {
        match self.api {
            Api::Text => "text_completion",
            Api::Chat => "chat.completion.chunk",
        }
    }

    fn answer<'a>(
        &'a self,
        object: &'static str,
        choices: Vec<Choice<'a>>,
        usage: Option<Option<UsageReport>>,
    ) -> Answer<'a> {
        Answer { id: &self.id, object, created: self.created, model: &self.model, choices, usage }
    }
}
