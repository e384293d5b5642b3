//! Runs the commands.

use std::{env, net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use jsonrpsee::http_client::HttpClient;
use serde_json::json;
use shallotdrum_rpc::{AdminApiClient, Peers, PeersConfig, RpcError};
use shallotdrum_types::{Revision, SubmissionId};
use tokio::time::Instant;

use crate::{
    exit::NotInForce,
    flags::{DrainCmd, ManifestCmd, ReplicaCmd, Shallotdrum, ShallotdrumCmd, Submit},
    output::Format,
};

/// Longest wait for an answer; a change of the replicas transfers a snapshot.
const TIMEOUT: Duration = Duration::from_secs(65);

/// Pause between looks whether a manifest is in force everywhere.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Adapters that are listed if no limit is given.
const DEFAULT_ADAPTER_LIMIT: u32 = 100;

pub(crate) async fn run(flags: Shallotdrum) -> anyhow::Result<()> {
    let format = flags.output.unwrap_or_default();
    let client = connect(flags.rpc).await?;
    match flags.subcommand {
        ShallotdrumCmd::Manifest(cmd) => manifest(&client, format, cmd.subcommand).await,
        ShallotdrumCmd::Subscribers(_) => {
            let rows = client.subscribers().await.map_err(RpcError::from)?;
            format.rows(&["subscriber", "weight", "keys", "adapter_patterns", "services"], &rows)
        }
        ShallotdrumCmd::Adapters(cmd) => {
            let limit = cmd.limit.unwrap_or(DEFAULT_ADAPTER_LIMIT);
            let rows = client.adapters(cmd.after, limit).await.map_err(RpcError::from)?;
            format.rows(&["adapter", "base_model", "current", "versions"], &rows)
        }
        ShallotdrumCmd::Targets(_) => {
            let rows = client.targets().await.map_err(RpcError::from)?;
            format
                .rows(&["target", "kind", "region", "zone", "group", "owner", "is_draining"], &rows)
        }
        ShallotdrumCmd::Groups(_) => {
            let rows = client.groups().await.map_err(RpcError::from)?;
            format.rows(&["group", "owner", "session", "epoch", "targets"], &rows)
        }
        ShallotdrumCmd::Instances(_) => {
            let rows = client.instances().await.map_err(RpcError::from)?;
            let columns = [
                "instance",
                "zone",
                "session",
                "is_replica",
                "is_leader",
                "is_draining",
                "revision",
                "groups",
            ];
            format.rows(&columns, &rows)
        }
        ShallotdrumCmd::Permits(_) => {
            format.rows(&["permit", "session"], &client.permits().await.map_err(RpcError::from)?)
        }
        ShallotdrumCmd::Quarantine(_) => {
            let rows = client.quarantine().await.map_err(RpcError::from)?;
            format.rows(&["request", "crashes", "is_quarantined"], &rows)
        }
        ShallotdrumCmd::LiftQuarantine(cmd) => {
            Ok(client.lift_quarantine(cmd.request).await.map_err(RpcError::from)?)
        }
        ShallotdrumCmd::Drain(cmd) => match cmd.subcommand {
            DrainCmd::Instance(cmd) => {
                Ok(client.drain_instance(cmd.instance, !cmd.undo).await.map_err(RpcError::from)?)
            }
            DrainCmd::Target(cmd) => {
                Ok(client.drain_target(cmd.target, !cmd.undo).await.map_err(RpcError::from)?)
            }
        },
        ShallotdrumCmd::Replica(cmd) => match cmd.subcommand {
            ReplicaCmd::Status(_) => {
                format.value(&client.replica_status().await.map_err(RpcError::from)?)
            }
            ReplicaCmd::Add(cmd) => {
                Ok(client.add_replica(cmd.instance).await.map_err(RpcError::from)?)
            }
            ReplicaCmd::Remove(cmd) => {
                Ok(client.remove_replica(cmd.instance).await.map_err(RpcError::from)?)
            }
        },
    }
}

async fn manifest(client: &HttpClient, format: Format, cmd: ManifestCmd) -> anyhow::Result<()> {
    match cmd {
        ManifestCmd::Submit(cmd) => submit(client, format, cmd).await,
        ManifestCmd::Check(cmd) => {
            let text = read(&cmd.file)?;
            format.value(&client.check_manifest(text).await.map_err(RpcError::from)?)
        }
        ManifestCmd::Show(_) => {
            let view = client.manifest().await.map_err(RpcError::from)?;
            Format::Json.value(&view)
        }
        ManifestCmd::List(_) => {
            let rows = client.submissions().await.map_err(RpcError::from)?;
            format.rows(&["revision", "submission", "digest"], &rows)
        }
    }
}

async fn submit(client: &HttpClient, format: Format, cmd: Submit) -> anyhow::Result<()> {
    let text = read(&cmd.file)?;
    let submission = match cmd.submission {
        Some(submission) => submission,
        None => new_submission()?,
    };
    eprintln!("submission {submission}");
    let revision = client
        .submit_manifest(submission.clone(), cmd.base, text)
        .await
        .map_err(RpcError::from)
        .with_context(|| format!("submission {submission} of {}", cmd.file.display()))?;
    if let Some(seconds) = cmd.wait {
        wait_in_force(client, revision, Duration::from_secs(seconds)).await?;
    }
    format.value(&json!({ "revision": revision, "submission": submission }))
}

/// Waits until each instance with an open session has the revision in force.
async fn wait_in_force(
    client: &HttpClient,
    revision: Revision,
    timeout: Duration,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + timeout;
    let mut shown = None;
    loop {
        let rows = client.instances().await.map_err(RpcError::from)?;
        let missing: Vec<_> = rows
            .iter()
            .filter(|row| row.revision.is_none_or(|in_force| in_force < revision))
            .map(|row| row.instance.to_string())
            .collect();
        let progress = (rows.len() - missing.len(), rows.len());
        if shown != Some(progress) {
            eprintln!("revision {revision} in force on {} of {} instances", progress.0, progress.1);
            shown = Some(progress);
        }
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(NotInForce { revision, missing: missing.join(", ") }.into());
        }
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

/// Connects to the first address that answers.
async fn connect(mut addrs: Vec<SocketAddr>) -> anyhow::Result<HttpClient> {
    if addrs.is_empty() {
        let text = env::var("SHALLOTDRUM_RPC").unwrap_or_default();
        for addr in text.split(',').filter(|addr| !addr.is_empty()) {
            addrs.push(addr.parse().with_context(|| format!("SHALLOTDRUM_RPC: `{addr}`"))?);
        }
    }
    let peers = Peers::new(PeersConfig { timeout: TIMEOUT });
    for addr in &addrs {
        if tokio::net::TcpStream::connect(addr).await.is_ok() {
            return Ok(peers.get(*addr)?);
        }
    }
    match addrs.is_empty() {
        true => bail!("give the RPC address of an instance with --rpc or SHALLOTDRUM_RPC"),
        false => Err(RpcError::NoAnswer(format!("cannot connect to any of {addrs:?}")).into()),
    }
}

fn new_submission() -> anyhow::Result<SubmissionId> {
    Ok(format!("cli-{:016x}", rand::random::<u64>()).parse()?)
}

fn read(file: &std::path::Path) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}
