//! Parsing of OpenAI-compatible requests and rendering of their responses.

mod fields;
mod request;
mod response;

pub(crate) use request::{Api, ParsedRequest, parse};
pub(crate) use response::ResponseBuilder;
