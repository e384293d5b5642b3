//! Tests of child processes, reserved ports and the binaries.

mod support;

use std::{
    net::SocketAddr,
    os::unix::process::ExitStatusExt,
    path::{Path, PathBuf},
    time::Duration,
};

use http::Method;
use shallotdrum_engine::{CallError, EngineClient};
use shallotdrum_fakes::{EngineStats, Process, ProcessError, ReservedPort, expected_text};
use support::{TIMEOUT, adapter, call, load, order, request, run, wait_until};
use tempfile::TempDir;

const ENGINE: &str = env!("CARGO_BIN_EXE_fake-engine");
const SERVICE: &str = env!("CARGO_BIN_EXE_fake-service");
const PROXY: &str = env!("CARGO_BIN_EXE_fault-proxy");

const IDENTITY_ARGS: [&str; 8] =
    ["--target", "t", "--pool", "pool", "--region", "region", "--zone", "zone"];

/// Starts a binary and returns it with its listen address.
async fn start(dir: &TempDir, program: &str, args: &[&str]) -> (Process, SocketAddr) {
    let file = dir.path().join("addr");
    let mut args: Vec<_> = args.iter().map(PathBuf::from).collect();
    args.extend(["--addr-file".into(), file.clone()]);
    let output = dir.path().join("output");
    let mut process = Process::start(Path::new(program), args, &output).unwrap();
    let addr = process.wait_for_file(&file, TIMEOUT).await.unwrap();
    (process, addr.parse().unwrap())
}

async fn start_engine(dir: &TempDir) -> (Process, SocketAddr) {
    let settings = r#"{"step_base_ms":1,"crash_marker":"CRASH"}"#;
    let mut args = IDENTITY_ARGS.to_vec();
    args.extend(["--base-model", "base", "--load-ms", "5", "--settings", settings]);
    start(dir, ENGINE, &args).await
}

/// Guards against a binary that behaves unlike the in-process engine or does not exit with status 0
/// on SIGTERM.
#[tokio::test]
async fn engine_runs_and_stops_on_sigterm() {
    let dir = TempDir::new().unwrap();
    let (mut process, addr) = start_engine(&dir).await;
    let a = adapter("a");
    order(addr, 1, load(&a, None)).await.unwrap();
    let req = request("r", &a, "prompt", 5);
    let text = run(&EngineClient::default(), addr, &req).await.unwrap();
    assert_eq!(text, expected_text(&req.base_model, &a, "prompt", 5));
    let stats = call(addr, Method::GET, "/fake/stats", &[], "").await.unwrap().1;
    assert_eq!(serde_json::from_str::<EngineStats>(&stats).unwrap().loads, 1);
    process.sigterm().unwrap();
    assert!(process.wait(TIMEOUT).await.unwrap().success());
    assert!(process.output().contains("seed 0"), "{}", process.output());
    assert!(matches!(process.sigterm(), Err(ProcessError::Exited { .. })));
}

/// Guards against a crash marker that does not abort the process.
#[tokio::test]
async fn engine_aborts_on_crash_marker() {
    let dir = TempDir::new().unwrap();
    let (mut process, addr) = start_engine(&dir).await;
    let a = adapter("a");
    order(addr, 1, load(&a, None)).await.unwrap();
    let req = request("r", &a, "CRASH", 5);
    let _stream = EngineClient::default().generate(addr, &req).await;
    let status = process.wait(TIMEOUT).await.unwrap();
    assert_eq!(status.signal(), Some(nix::sys::signal::Signal::SIGABRT as i32));
}

/// Guards against SIGSTOP, SIGCONT or SIGKILL without effect.
#[tokio::test]
async fn signals_suspend_and_kill() {
    let dir = TempDir::new().unwrap();
    let (mut process, addr) = start(&dir, SERVICE, &IDENTITY_ARGS).await;
    let is_responding = async || {
        let look_up = call(addr, Method::GET, "/certificates/1", &[], "");
        tokio::time::timeout(Duration::from_millis(100), look_up).await.is_ok()
    };
    wait_until("the service responds", &is_responding).await;
    process.sigstop().unwrap();
    wait_until("the service is suspended", async || !is_responding().await).await;
    process.sigcont().unwrap();
    wait_until("the service responds again", &is_responding).await;
    process.sigstop().unwrap();
    let status = process.kill().unwrap();
    assert_eq!(status.signal(), Some(nix::sys::signal::Signal::SIGKILL as i32));
}

/// Guards against a child process that outlives a panicking test.
#[tokio::test]
async fn panic_kills_the_child_process() {
    let dir = TempDir::new().unwrap();
    let (mut process, addr) = start(&dir, SERVICE, &IDENTITY_ARGS).await;
    process.sigstop().unwrap();
    let panicking = tokio::spawn(async move {
        let _process = process;
        panic!("expected by the test");
    });
    assert!(panicking.await.unwrap_err().is_panic());
    let result = call(addr, Method::GET, "/x", &[], "").await;
    assert!(matches!(result, Err(CallError::NotSent { .. })), "{result:?}");
}

/// Guards against settings sent to the control interface that have no effect.
#[tokio::test]
async fn proxy_is_controlled_over_http() {
    let dir = TempDir::new().unwrap();
    let (_service, upstream) = start(&dir, SERVICE, &IDENTITY_ARGS).await;
    let proxy_dir = TempDir::new().unwrap();
    let control = proxy_dir.path().join("control");
    let args =
        ["--upstream", &upstream.to_string(), "--control-addr-file", control.to_str().unwrap()];
    let (mut process, addr) = start(&proxy_dir, PROXY, &args).await;
    let control: SocketAddr =
        process.wait_for_file(&control, TIMEOUT).await.unwrap().parse().unwrap();
    assert_eq!(call(addr, Method::GET, "/x", &[], "").await.unwrap().0, 200);
    let refuse = r#"{"refuse":true}"#;
    let (status, _) = call(control, Method::POST, "/fake/config", &[], refuse).await.unwrap();
    assert_eq!(status, 200);
    wait_until("connections are refused", async || {
        matches!(call(addr, Method::GET, "/x", &[], "").await, Err(CallError::NotSent { .. }))
    })
    .await;
}

/// Guards against an unclear error, or one without the program's output, when a program can't be
/// started or exits early.
#[tokio::test]
async fn errors_include_output() {
    let dir = TempDir::new().unwrap();
    let (output, file) = (dir.path().join("output"), dir.path().join("file"));
    let missing = Process::start(&dir.path().join("none"), [""; 0], &output);
    assert!(matches!(missing, Err(ProcessError::Start { .. })));
    let mut process = Process::start(Path::new(ENGINE), ["--unknown"], &output).unwrap();
    let ended = process.wait_for_file(&file, TIMEOUT).await;
    assert!(matches!(&ended, Err(ProcessError::Exited { .. })), "{ended:?}");
    assert!(ended.unwrap_err().to_string().contains("--unknown"));
}

/// Guards against a reserved port that is handed out to others or does not accept a listener.
#[tokio::test]
async fn reserved_port_is_exclusive_and_usable() {
    let reserved = ReservedPort::reserve().unwrap();
    let refused = tokio::net::TcpStream::connect(reserved.addr()).await;
    assert_eq!(refused.unwrap_err().kind(), std::io::ErrorKind::ConnectionRefused);
    let others: Vec<_> = (0..500).map(|_| ReservedPort::reserve().unwrap()).collect();
    assert!(others.iter().all(|other| other.addr() != reserved.addr()));
    // Binds like another process, without the reservation's socket.
    drop(std::net::TcpListener::bind(reserved.addr()).unwrap());
    for _ in 0..2 {
        let listener = reserved.listen().unwrap();
        tokio::net::TcpStream::connect(reserved.addr()).await.unwrap();
        drop(listener);
    }
}
