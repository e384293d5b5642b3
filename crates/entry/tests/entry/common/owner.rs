//! Fake owner that responds to forwarded requests by script.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use shallotdrum_engine::{Chunk, End, FinishReason, Usage};
use shallotdrum_owner::{
    CALL_HEADER, COMPLETION_PATH, CompletionCall, ERROR_HEADER, Frame, ServiceCall,
};
use shallotdrum_types::{RequestError, Tokens};
use tokio::net::TcpListener;

/// Step of a scripted response; frames get the id and adapter of the request they respond to.
#[derive(Clone)]
pub(crate) enum Step {
    /// Sends a frame.
    Frame(Frame),
    /// Sends a line that is not a frame.
    Raw(&'static str),
    /// Aborts the connection.
    Disconnect,
    /// Sends nothing more, but keeps the connection open.
    Hang,
    /// Refuses the request; only as the first step.
    Refuse(RequestError),
    /// Responds to a service call; only as the first step. A second step, `Hang` or `Disconnect`,
    /// follows the body.
    Respond(u16, &'static str),
}

type BodyError = Box<dyn std::error::Error + Send + Sync>;

#[derive(Default)]
struct Shared {
    scripts: Mutex<VecDeque<Vec<Step>>>,
    completions: Mutex<Vec<CompletionCall>>,
    services: Mutex<Vec<(ServiceCall, Bytes)>>,
    active_streams: AtomicUsize,
}

/// Fake owner that records forwarded requests and responds to them by script.
pub(crate) struct FakeOwner {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl FakeOwner {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let shared = Arc::new(Shared::default());
        let task = tokio::spawn(accept(listener, shared.clone()));
        Self { addr, shared, task }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Queues the response to one request; without any, requests get a complete response.
    pub(crate) fn script(&self, steps: Vec<Step>) {
        self.shared.scripts.lock().unwrap().push_back(steps);
    }

    pub(crate) fn completions(&self) -> Vec<CompletionCall> {
        self.shared.completions.lock().unwrap().clone()
    }

    pub(crate) fn services(&self) -> Vec<(ServiceCall, Bytes)> {
        self.shared.services.lock().unwrap().clone()
    }

    /// Number of completions that are still being streamed.
    pub(crate) fn active_streams(&self) -> usize {
        self.shared.active_streams.load(Ordering::SeqCst)
    }
}

impl Drop for FakeOwner {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        connections.spawn(async move {
            let service = service_fn(|req| respond(shared.clone(), req));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn respond(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> Result<Response<UnsyncBoxBody<Bytes, BodyError>>, BodyError> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await?.to_bytes();
    let call = (parts.uri.path() == COMPLETION_PATH)
        .then(|| serde_json::from_slice::<CompletionCall>(&body).unwrap());
    match &call {
        Some(call) => shared.completions.lock().unwrap().push(call.clone()),
        None => {
            let call = serde_json::from_slice(parts.headers[CALL_HEADER].as_bytes()).unwrap();
            shared.services.lock().unwrap().push((call, body));
        }
    }
    let steps = shared.scripts.lock().unwrap().pop_front();
    let default =
        || if call.is_some() { default_completion() } else { vec![Step::Respond(200, "done")] };
    let steps = VecDeque::from(steps.unwrap_or_else(default));
    match steps.front() {
        Some(Step::Refuse(error)) => {
            let res = Response::builder()
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .header(ERROR_HEADER, serde_json::to_string(error)?);
            return Ok(res.body(full(""))?);
        }
        Some(Step::Respond(status, text)) => {
            let res = Response::builder()
                .status(*status)
                .header("x-service", "desk")
                .header("keep-alive", "timeout=5");
            let rest = match steps.get(1) {
                None => return Ok(res.body(full(text))?),
                Some(step) => step.clone(),
            };
            let parts = stream::unfold((Some(*text), rest), |(text, rest)| async move {
                match (text, &rest) {
                    (Some(text), _) => {
                        Some((Ok(hyper::body::Frame::data(Bytes::from(text))), (None, rest)))
                    }
                    (None, Step::Hang) => std::future::pending().await,
                    (None, _) => {
                        tokio::task::yield_now().await;
                        Some((Err("scripted disconnect".into()), (None, rest)))
                    }
                }
            });
            return Ok(res.body(StreamBody::new(parts).boxed_unsync())?);
        }
        // The connection ends without a response head.
        Some(Step::Disconnect) => return Err("scripted disconnect".into()),
        _ => {}
    }
    let Some(call) = call else { return std::future::pending().await };
    let guard = ActiveStreamGuard::new(shared);
    let body = stream::unfold((steps, call, guard), |(mut steps, call, guard)| async move {
        let line = match steps.pop_front()? {
            Step::Frame(frame) => encode_frame(frame, &call),
            Step::Raw(text) => Bytes::from_static(text.as_bytes()),
            Step::Hang => std::future::pending().await,
            Step::Disconnect | Step::Refuse(_) | Step::Respond(..) => {
                tokio::task::yield_now().await;
                return Some((Err("scripted disconnect".into()), (steps, call, guard)));
            }
        };
        Some((Ok(hyper::body::Frame::data(line)), (steps, call, guard)))
    });
    Ok(Response::new(StreamBody::new(body).boxed_unsync()))
}

/// Counts a completion as being streamed until dropped.
struct ActiveStreamGuard(Arc<Shared>);

impl ActiveStreamGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.active_streams.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for ActiveStreamGuard {
    fn drop(&mut self) {
        self.0.active_streams.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Encodes a frame as the line of a response to `call`.
fn encode_frame(mut frame: Frame, call: &CompletionCall) -> Bytes {
    let (request, adapter) = (&call.request.request, &call.request.adapter);
    match &mut frame {
        Frame::Chunk(chunk) => {
            chunk.request = request.clone();
            if chunk.adapter.adapter.as_str() == "requested" {
                chunk.adapter = adapter.clone();
            }
        }
        Frame::End(end) => {
            end.request = request.clone();
            end.adapter = adapter.clone();
        }
        Frame::Error(_) => {}
    }
    let mut line = serde_json::to_vec(&frame).unwrap();
    line.push(b'\n');
    line.into()
}

fn full(text: &'static str) -> UnsyncBoxBody<Bytes, BodyError> {
    Full::new(Bytes::from_static(text.as_bytes())).map_err(|never| match never {}).boxed_unsync()
}

/// Chunk of one token, by the requested adapter.
pub(crate) fn chunk(offset: u64, text: &str) -> Step {
    chunk_of("requested", offset, text)
}

/// Chunk of one token, by the given adapter; `requested` stands for that of the request.
pub(crate) fn chunk_of(adapter: &str, offset: u64, text: &str) -> Step {
    let adapter = shallotdrum_types::AdapterRef {
        adapter: adapter.parse().unwrap(),
        version: "v7".parse().unwrap(),
    };
    let request = "placeholder".parse().unwrap();
    let text = text.to_owned();
    Step::Frame(Frame::Chunk(Chunk { request, adapter, offset, tokens: 1, text }))
}

/// End frame of a completion of `tokens` tokens.
pub(crate) fn end(tokens: u64) -> Step {
    let adapter = shallotdrum_types::AdapterRef {
        adapter: "requested".parse().unwrap(),
        version: "v7".parse().unwrap(),
    };
    let usage = Usage { prompt_tokens: Tokens(5), completion_tokens: Tokens(tokens) };
    let finish_reason = FinishReason::Stop;
    let request = "placeholder".parse().unwrap();
    Step::Frame(Frame::End(End { request, adapter, finish_reason, usage }))
}

/// Complete response with the text `one two`.
pub(crate) fn default_completion() -> Vec<Step> {
    vec![chunk(0, "one "), chunk(1, "two"), end(2)]
}
