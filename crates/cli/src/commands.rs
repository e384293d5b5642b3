//! Implementation of the commands.

use std::{env, net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use jsonrpsee::http_client::HttpClient;
use serde_json::json;
use shallotdrum_rpc::{AdminApiClient, ExplainQuery, Peers, PeersConfig, RpcError};
use shallotdrum_types::{Revision, SubmissionId};
use tokio::time::Instant;

use crate::{
    exit::NotInForce,
    explain,
    flags::{DrainCmd, ManifestCmd, ReplicaCmd, Shallotdrum, ShallotdrumCmd, Submit},
    output::Format,
};

/// RPC timeout; long enough for a membership change, which transfers a snapshot.
const RPC_TIMEOUT: Duration = Duration::from_secs(65);

/// Polling interval while waiting for a manifest to be in force on all instances.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Number of listed adapters without `--limit`.
const DEFAULT_ADAPTER_LIMIT: u32 = 100;

pub(crate) async fn run(flags: Shallotdrum) -> anyhow::Result<()> {
    let format = flags.output.unwrap_or_default();
    let client = connect(flags.rpc).await?;
    match flags.subcommand {
        ShallotdrumCmd::Manifest(cmd) => run_manifest(&client, format, cmd.subcommand).await,
        ShallotdrumCmd::Subscribers(_) => {
            let rows = client.subscribers().await.map_err(RpcError::from)?;
            format.print_rows(
                &["subscriber", "weight", "keys", "adapter_patterns", "services"],
                &rows,
            )
        }
        ShallotdrumCmd::Adapters(cmd) => {
            let limit = cmd.limit.unwrap_or(DEFAULT_ADAPTER_LIMIT);
            let rows = client.adapters(cmd.after, limit).await.map_err(RpcError::from)?;
            format.print_rows(&["adapter", "base_model", "current", "versions"], &rows)
        }
        ShallotdrumCmd::Targets(_) => {
            let rows = client.targets().await.map_err(RpcError::from)?;
            format.print_rows(
                &["target", "kind", "region", "zone", "group", "owner", "is_draining"],
                &rows,
            )
        }
        ShallotdrumCmd::Groups(_) => {
            let rows = client.groups().await.map_err(RpcError::from)?;
            format.print_rows(&["group", "owner", "session", "epoch", "targets"], &rows)
        }
        ShallotdrumCmd::Instances(_) => {
            let rows = client.instances().await.map_err(RpcError::from)?;
            let columns = [
                "instance",
                "zone",
                "session",
                "is_replica",
                "control_format",
                "is_leader",
                "is_draining",
                "revision",
                "groups",
            ];
            format.print_rows(&columns, &rows)
        }
        ShallotdrumCmd::Permits(_) => format
            .print_rows(&["permit", "session"], &client.permits().await.map_err(RpcError::from)?),
        ShallotdrumCmd::Quarantine(_) => {
            let rows = client.quarantine().await.map_err(RpcError::from)?;
            format.print_rows(&["request", "crashes", "is_quarantined"], &rows)
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
        ShallotdrumCmd::Explain(cmd) => {
            let query = ExplainQuery {
                host: cmd.host,
                path: cmd.path,
                customer: cmd.customer,
                model: cmd.model,
                adapter: cmd.adapter,
                prompt_tokens: cmd.prompt_tokens,
                max_tokens: cmd.max_tokens,
                deadline_ms: cmd.deadline_ms,
            };
            explain::print(format, &client.explain(query).await.map_err(RpcError::from)?)
        }
        ShallotdrumCmd::Replica(cmd) => match cmd.subcommand {
            ReplicaCmd::Status(_) => {
                format.print_value(&client.replica_status().await.map_err(RpcError::from)?)
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

async fn run_manifest(client: &HttpClient, format: Format, cmd: ManifestCmd) -> anyhow::Result<()> {
    match cmd {
        ManifestCmd::Submit(cmd) => submit(client, format, cmd).await,
        ManifestCmd::Check(cmd) => {
            let text = read_file(&cmd.file)?;
            format.print_value(&client.check_manifest(text).await.map_err(RpcError::from)?)
        }
        ManifestCmd::Show(_) => {
            let view = client.manifest().await.map_err(RpcError::from)?;
            Format::Json.print_value(&view)
        }
        ManifestCmd::List(_) => {
            let rows = client.submissions().await.map_err(RpcError::from)?;
            format.print_rows(&["revision", "submission", "digest"], &rows)
        }
    }
}

async fn submit(client: &HttpClient, format: Format, cmd: Submit) -> anyhow::Result<()> {
    let text = read_file(&cmd.file)?;
    let submission = match cmd.submission {
        Some(submission) => submission,
        None => random_submission_id()?,
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
    format.print_value(&json!({ "revision": revision, "submission": submission }))
}

/// Waits until the revision is in force on every instance with an open session.
async fn wait_in_force(
    client: &HttpClient,
    revision: Revision,
    timeout: Duration,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + timeout;
    let mut printed = None;
    loop {
        let rows = client.instances().await.map_err(RpcError::from)?;
        let missing: Vec<_> = rows
            .iter()
            .filter(|row| row.revision.is_none_or(|in_force| in_force < revision))
            .map(|row| row.instance.to_string())
            .collect();
        let progress = (rows.len() - missing.len(), rows.len());
        if printed != Some(progress) {
            eprintln!("revision {revision} in force on {} of {} instances", progress.0, progress.1);
            printed = Some(progress);
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

/// Returns a client for the first reachable address.
async fn connect(mut addrs: Vec<SocketAddr>) -> anyhow::Result<HttpClient> {
    if addrs.is_empty() {
        let text = env::var("SHALLOTDRUM_RPC").unwrap_or_default();
        for addr in text.split(',').filter(|addr| !addr.is_empty()) {
            addrs.push(addr.parse().with_context(|| format!("SHALLOTDRUM_RPC: `{addr}`"))?);
        }
    }
    let peers = Peers::new(PeersConfig { timeout: RPC_TIMEOUT });
    for addr in &addrs {
        if tokio::net::TcpStream::connect(addr).await.is_ok() {
            return Ok(peers.get(*addr)?);
        }
    }
    match addrs.is_empty() {
        true => bail!("no RPC address: pass --rpc or set SHALLOTDRUM_RPC"),
        false => Err(RpcError::NoAnswer(format!("cannot connect to any of {addrs:?}")).into()),
    }
}

fn random_submission_id() -> anyhow::Result<SubmissionId> {
    Ok(format!("cli-{:016x}", rand::random::<u64>()).parse()?)
}

fn read_file(file: &std::path::Path) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}
