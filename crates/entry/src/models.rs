//! Models that a subscriber may use: `GET /v1/models`.

use http::{HeaderMap, HeaderValue, Response, header::CONTENT_TYPE};
use serde::Serialize;
use shallotdrum_types::{RequestError, RequestErrorKind};

use crate::{
    auth,
    body::{self, Body},
    context::Shared,
};

/// Most models in one page; 1,000 names are about 100 kB.
const MAX_PAGE: usize = 1000;

#[derive(Serialize)]
struct Page<'a> {
    object: &'static str,
    data: Vec<Entry<'a>>,
    has_more: bool,
    last_id: Option<&'a str>,
}

#[derive(Serialize)]
struct Entry<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'a str,
}

/// Answers with one page; `?after=<id>&limit=<n>` selects it.
pub(crate) fn handle(
    shared: &Shared,
    headers: &HeaderMap,
    query: Option<&str>,
) -> Result<Response<Body>, RequestError> {
    // A stale manifest may lack the subscriber, so this comes before the bearer key.
    auth::check_ready(shared)?;
    let subscriber = auth::subscriber(shared, headers)?;
    let invalid = |detail: String| RequestError::not_run(RequestErrorKind::InvalidRequest, detail);
    let mut after = None;
    let mut limit = MAX_PAGE;
    for pair in query.unwrap_or("").split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            // Model names need no escaping except `/` and `@`, which clients may escape.
            Some(("after", id)) => after = Some(id.replace("%2F", "/").replace("%40", "@")),
            Some(("limit", text)) => {
                limit =
                    text.parse().ok().filter(|n| (1..=MAX_PAGE).contains(n)).ok_or_else(|| {
                        invalid(format!("limit: expected a whole number from 1 to {MAX_PAGE}"))
                    })?;
            }
            _ => return Err(invalid(format!("unknown parameter `{pair}`"))),
        }
    }
    // One more than the page shows whether another page follows.
    let mut names = shared.cx.catalog.models(&subscriber, after.as_deref(), limit + 1);
    let has_more = names.len() > limit;
    names.truncate(limit);
    let entry = |id| Entry { id, object: "model", created: 0, owned_by: subscriber.as_str() };
    let page = Page {
        object: "list",
        data: names.iter().map(|name| entry(name.as_str())).collect(),
        has_more,
        last_id: names.last().map(String::as_str),
    };
    let json = serde_json::to_vec(&page)
        .map_err(|e| RequestError::not_run(RequestErrorKind::Internal, e))?;
    let mut res = Response::new(body::full(json));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(res)
}
