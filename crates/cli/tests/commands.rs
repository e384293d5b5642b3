//! The command-line client against running instances: output, exit codes and errors.

use std::{
    path::{Path, PathBuf},
    process::{Command, Output},
    time::Duration,
};

use rstest::rstest;
use serde_json::Value;
use shallotdrum_harness::{
    Deployment, InProcessCluster, Operator, Targets, TargetsConfig, wait_until,
};
use tempfile::TempDir;

/// Timeout for setup steps, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Setup {
    deployment: Deployment,
    cluster: InProcessCluster,
    _targets: Targets,
    dir: TempDir,
}

/// Starts four instances, three of them control replicas, with targets but without a manifest.
async fn start() -> Setup {
    let deployment = Deployment::registry().scaled(2, 1, 5);
    let log = shallotdrum_telemetry::discard();
    let cluster = InProcessCluster::start(&deployment, 4, 3, &log).await.unwrap();
    // The commands go to the last instance, which may be behind the others.
    for rpc in &cluster.rpcs {
        Operator::default().wait_for_instances(*rpc, 4, TIMEOUT).await.unwrap();
    }
    let cfg = TargetsConfig::default();
    let targets = Targets::start(&deployment, &cfg, &cluster.entries).await.unwrap();
    let dir = tempfile::tempdir().unwrap();
    Setup { deployment, cluster, _targets: targets, dir }
}

impl Setup {
    async fn run(&self, args: &[&str]) -> Output {
        let rpc = self.cluster.rpcs[3].to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_shallotdrum"));
        command.args(["--rpc", &rpc]).args(args);
        tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
    }

    /// Runs a command, asserts success and returns its JSON output.
    async fn json(&self, args: &[&str]) -> Value {
        let output = self.run(&[&["--output", "json"], args].concat()).await;
        assert!(output.status.success(), "{args:?}: {}", text(&output.stderr));
        match output.stdout.as_slice() {
            b"" => Value::Null,
            json => serde_json::from_slice(json).unwrap(),
        }
    }

    fn manifest_file(&self, name: &str, manifest: &Value) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, manifest.to_string()).unwrap();
        path
    }

    async fn submit(&self, file: &Path, base: &str, submission: &str) -> Output {
        let file = file.to_str().unwrap();
        let args =
            ["manifest", "submit", file, "--base", base, "--submission", submission, "--wait", "5"];
        self.run(&args).await
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against ambiguous exit codes, and against `--wait` returning before the manifest is in
/// force on every instance.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn manifest_submit_cases() {
    let setup = start().await;
    let mut manifest = setup.deployment.manifest();
    let file = setup.manifest_file("first.json", &manifest);
    let first = setup.submit(&file, "0", "first").await;
    assert_eq!(first.status.code(), Some(0), "{}", text(&first.stderr));
    assert!(text(&first.stderr).contains("in force on 4 of 4 instances"));
    let resent = setup.submit(&file, "0", "first").await;
    assert_eq!((resent.status.code(), &resent.stdout), (Some(0), &first.stdout));
    let conflict = setup.submit(&file, "0", "second").await;
    assert_eq!(conflict.status.code(), Some(4));
    assert!(text(&conflict.stderr).contains("revision 1 is in force"));

    manifest["adapters"]["adapter-00001"]["current"] = "9".into();
    let file = setup.manifest_file("invalid.json", &manifest);
    let invalid = setup.submit(&file, "1", "third").await;
    assert_eq!(invalid.status.code(), Some(3));
    let stderr = text(&invalid.stderr);
    assert!(stderr.contains("adapter-00001") && stderr.contains("`9`"), "{stderr}");

    let missing = setup.submit(Path::new("no-such-file.json"), "1", "fourth").await;
    assert_eq!(missing.status.code(), Some(1));
    assert!(text(&missing.stderr).contains("no-such-file.json"));
    let usage = setup.run(&["manifest", "submit"]).await;
    assert_eq!(usage.status.code(), Some(2));
}

/// Guards against `manifest check` changing state, and against incomplete lists.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn lists_after_submit() {
    let setup = start().await;
    let file = setup.manifest_file("manifest.json", &setup.deployment.manifest());
    let check = setup.json(&["manifest", "check", file.to_str().unwrap()]).await;
    assert_eq!(
        (&check["compared_with"], &check["changes"]["adapters_set"]),
        (&0.into(), &5.into())
    );
    assert_eq!(setup.json(&["manifest", "show"]).await["revision"], 0);
    assert!(setup.submit(&file, "0", "first").await.status.success());

    assert_eq!(setup.json(&["manifest", "show"]).await["revision"], 1);
    assert_eq!(setup.json(&["manifest", "list"]).await[0]["submission"], "first");
    let count = |rows: &Value| rows.as_array().unwrap().len();
    assert_eq!(count(&setup.json(&["subscribers"]).await), setup.deployment.subscribers);
    assert_eq!(count(&setup.json(&["adapters", "--limit", "2"]).await), 2);
    assert_eq!(count(&setup.json(&["adapters", "--after", "adapter-00001"]).await), 3);
    assert_eq!(count(&setup.json(&["quarantine"]).await), 0);
    let instances = setup.json(&["instances"]).await;
    let leaders = instances.as_array().unwrap().iter().filter(|row| row["is_leader"] == true);
    assert_eq!((count(&instances), leaders.count()), (4, 1));

    let check_state = || async {
        let targets = setup.json(&["targets"]).await;
        let owned = targets.as_array().unwrap().iter().filter(|row| !row["owner"].is_null());
        match owned.count() {
            3 => Ok(()),
            n => Err(format!("{n} targets have an owner")),
        }
    };
    wait_until("all targets have owners", TIMEOUT, check_state).await.unwrap();
    let table = setup.run(&["groups"]).await;
    assert!(text(&table.stdout).starts_with("GROUP"), "{}", text(&table.stdout));
}

/// Guards against `drain` having no effect, and against `--undo` not reverting it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn drain_cases() {
    let setup = start().await;
    let instances = setup.json(&["instances"]).await;
    let instance = instances[0]["instance"].as_str().unwrap().to_owned();
    for (undo, is_draining) in [(false, true), (true, false)] {
        let mut args = vec!["drain", "instance", &instance];
        args.extend(undo.then_some("--undo"));
        setup.json(&args).await;
        let check_state = || async {
            let rows = setup.json(&["instances"]).await;
            let row = rows.as_array().unwrap().iter().find(|row| row["instance"] == *instance);
            match row.unwrap()["is_draining"] == is_draining {
                true => Ok(()),
                false => Err(rows.to_string()),
            }
        };
        wait_until("the instance reports its draining state", TIMEOUT, check_state).await.unwrap();
    }
    let unknown = setup.run(&["drain", "target", "no-such-target"]).await;
    assert_eq!(unknown.status.code(), Some(4));
    assert!(text(&unknown.stderr).contains("no-such-target"));
}

/// Guards against an instance without a route table's entry that explains requests, and against an error
/// without its cause.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn explain_without_gateway() {
    let setup = start().await;
    let explained = setup.run(&["explain", "--host", "d.example", "--path", "/x"]).await;
    assert_eq!(explained.status.code(), Some(1));
    let stderr = text(&explained.stderr);
    assert!(stderr.contains("no entry for requests by a route table"), "{stderr}");
    let usage = setup.run(&["explain", "--host", "d.example"]).await;
    assert_eq!(usage.status.code(), Some(2));
}

/// Guards against an error message without the cause if no instance is reachable.
#[test]
fn no_reachable_instance() {
    let run = |rpc: Option<&str>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shallotdrum"));
        command.env_remove("SHALLOTDRUM_RPC");
        command.args(rpc.map_or(vec![], |rpc| vec!["--rpc", rpc])).arg("instances");
        command.output().unwrap()
    };
    let port = shallotdrum_fakes::ReservedPort::reserve().unwrap();
    let refused = run(Some(&port.addr().to_string()));
    assert_eq!(refused.status.code(), Some(5));
    assert!(text(&refused.stderr).contains(&port.addr().to_string()));
    let no_address = run(None);
    assert_eq!(no_address.status.code(), Some(1));
    assert!(text(&no_address.stderr).contains("--rpc"));
}
