//! OpenAI-compatible requests and answers.

mod fields;
mod request;
mod response;

pub(crate) use request::{Api, Completion, parse};
pub(crate) use response::Shape;
