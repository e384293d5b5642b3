//! Lists the models that a subscriber may use: `GET /v1/models`.

use http::{HeaderMap, HeaderValue, Response, header::CONTENT_TYPE};
use serde::Serialize;
use shallotdrum_types::{RequestError, RequestErrorKind};

use crate::{
    auth,
    body::{self, Body},
    context::Shared,
};

/// Maximum and default page size; 1,000 names are about 100 kB.
const MAX_PAGE_SIZE: usize = 1000;

#[derive(Serialize)]
struct ModelPage<'a> {
    object: &'static str,
    data: Vec<ModelObject<'a>>,
    has_more: bool,
    last_id: Option<&'a str>,
}

#[derive(Serialize)]
struct ModelObject<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'a str,
}

/// Returns one page of models, selected by `?after=<id>&limit=<n>`.
pub(crate) fn handle(
    shared: &Shared,
    headers: &HeaderMap,
    query: Option<&str>,
) -> Result<Response<Body>, RequestError> {
    let subscriber = auth::subscriber(shared, headers)?;
    let invalid = |detail: String| RequestError::not_run(RequestErrorKind::InvalidRequest, detail);
    let mut after = None;
    let mut limit = MAX_PAGE_SIZE;
    for pair in query.unwrap_or("").split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            // Of the characters in model names, callers may percent-encode only `/` and `@`.
            Some(("after", id)) => after = Some(id.replace("%2F", "/").replace("%40", "@")),
            Some(("limit", text)) => {
                limit = text.parse().ok().filter(|n| (1..=MAX_PAGE_SIZE).contains(n)).ok_or_else(
                    || invalid(format!("limit: expected a whole number from 1 to {MAX_PAGE_SIZE}")),
                )?;
            }
            _ => return Err(invalid(format!("unknown query parameter `{pair}`"))),
        }
    }
    // Asks for one more than the page holds, to learn whether another page follows.
    let mut names = shared.cx.catalog.models(&subscriber, after.as_deref(), limit + 1);
    let has_more = names.len() > limit;
    names.truncate(limit);
    let model_object =
        |id| ModelObject { id, object: "model", created: 0, owned_by: subscriber.as_str() };
    let page = ModelPage {
        object: "list",
        data: names.iter().map(|name| model_object(name.as_str())).collect(),
        has_more,
        last_id: names.last().map(String::as_str),
    };
    let json = serde_json::to_vec(&page)
        .map_err(|e| RequestError::not_run(RequestErrorKind::Internal, e))?;
    let mut res = Response::new(body::full(json));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(res)
}
