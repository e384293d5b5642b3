//! Command-line interface.

use std::{net::SocketAddr, path::PathBuf};

use shallotdrum_types::{
    AdapterId, BaseModelId, CustomerName, Fingerprint, InstanceId, Revision, SubmissionId, TargetId,
};

use crate::output::Format;

xflags::xflags! {
    /// Operates a shallotdrum deployment.
    ///
    /// Exit codes: 0 success, 1 other failure, 2 usage error, 3 invalid manifest,
    /// 4 refused (for example a conflict), 5 no response (retry with the same submission id),
    /// 6 timed out before the manifest was in force on every instance.
    cmd shallotdrum {
        /// RPC address of any instance; if repeated, the first reachable address is used.
        /// Default: the comma-separated addresses in the environment variable SHALLOTDRUM_RPC.
        repeated --rpc rpc: SocketAddr
        /// Output format: `table` (default) or `json`.
        optional --output output: Format

        /// Submits, validates and shows manifests.
        cmd manifest {
            /// Submits a manifest.
            cmd submit {
                /// Manifest file in JSON.
                required file: PathBuf
                /// Revision that the manifest is based on; 0 for the first manifest.
                required --base base: Revision
                /// Submission id; reuse it to retry a submission. Default: a random id.
                optional --submission submission: SubmissionId
                /// Waits up to this many seconds until the manifest is in force on every instance.
                optional --wait seconds: u64
            }
            /// Validates a manifest and compares it with the current one, without submitting it.
            cmd check {
                /// Manifest file in JSON.
                required file: PathBuf
            }
            /// Prints the current manifest.
            cmd show {}
            /// Lists accepted submissions.
            cmd list {}
        }
        /// Lists subscribers.
        cmd subscribers {}
        /// Lists adapters.
        cmd adapters {
            /// Lists only adapters that sort after this one.
            optional --after after: AdapterId
            /// Maximum number of listed adapters; default 100.
            optional --limit limit: u32
        }
        /// Lists targets with their owners.
        cmd targets {}
        /// Lists target groups with their owners and epochs.
        cmd groups {}
        /// Lists instances with their roles and manifest revisions.
        cmd instances {}
        /// Lists weight-store permits in use.
        cmd permits {}
        /// Lists quarantined requests, and requests suspected after one target crash.
        cmd quarantine {}
        /// Lifts the quarantine of a request.
        cmd lift-quarantine {
            /// Fingerprint of the request.
            required request: Fingerprint
        }
        /// Drains an instance or a target, so that its work moves elsewhere.
        cmd drain {
            /// Drains an instance.
            cmd instance {
                /// Name of the instance.
                required instance: InstanceId
                /// Stops draining.
                optional --undo
            }
            /// Drains a target.
            cmd target {
                /// Name of the target.
                required target: TargetId
                /// Stops draining.
                optional --undo
            }
        }
        /// Shows where a request would go now and why, without sending it.
        cmd explain {
            /// Host that the caller names.
            required --host host: String
            /// Path of the request.
            required --path path: String
            /// Customer whose key the caller has. Default: no key.
            optional --customer customer: CustomerName
            /// Adapter of the base model.
            optional --adapter adapter: AdapterId
            /// Base model. Default: the only one of the pool.
            optional --model model: BaseModelId
            /// Length of the prompt in tokens; default 256.
            optional --prompt-tokens prompt_tokens: u64
            /// Limit on generated tokens; default 128.
            optional --max-tokens max_tokens: u64
            /// Time that the caller waits, in milliseconds. Default: the route's timeout.
            optional --deadline-ms deadline_ms: u64
        }
        /// Shows, adds and removes control replicas.
        cmd replica {
            /// Shows the status of the replica at the RPC address.
            cmd status {}
            /// Adds a control replica.
            cmd add {
                /// Name of the instance.
                required instance: InstanceId
            }
            /// Removes a control replica.
            cmd remove {
                /// Name of the instance.
                required instance: InstanceId
            }
        }
    }
}
