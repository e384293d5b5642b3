//! Commands and their arguments.

use std::{net::SocketAddr, path::PathBuf};

use shallotdrum_types::{AdapterId, Fingerprint, InstanceId, Revision, SubmissionId, TargetId};

use crate::output::Format;

xflags::xflags! {
    /// Operates a shallotdrum deployment.
    ///
    /// Exit codes: 0 success, 1 other failure, 2 wrong usage, 3 invalid manifest,
    /// 4 refused (for example a conflict), 5 no answer (resend with the same submission id),
    /// 6 not in force everywhere in time.
    cmd shallotdrum {
        /// RPC address of any instance; may be given several times, the next is tried on failure.
        /// Default: the environment variable SHALLOTDRUM_RPC, addresses separated by commas.
        repeated --rpc rpc: SocketAddr
        /// Output format: `table` (default) or `json`.
        optional --output output: Format

        /// Manifests.
        cmd manifest {
            /// Submits a manifest.
            cmd submit {
                /// Manifest file, JSON.
                required file: PathBuf
                /// Revision that the change is based on; 0 for the first manifest.
                required --base base: Revision
                /// Submission id; give the same one to resend. Default: a new random one.
                optional --submission submission: SubmissionId
                /// Waits until the manifest is in force on every instance, for so many seconds.
                optional --wait seconds: u64
            }
            /// Validates a manifest and compares it with the one in force; changes nothing.
            cmd check {
                /// Manifest file, JSON.
                required file: PathBuf
            }
            /// Prints the manifest in force.
            cmd show {}
            /// Lists accepted submissions.
            cmd list {}
        }
        /// Lists subscribers.
        cmd subscribers {}
        /// Lists adapters.
        cmd adapters {
            /// Starts after this adapter.
            optional --after after: AdapterId
            /// Most adapters to list; default 100.
            optional --limit limit: u32
        }
        /// Lists targets with their owners.
        cmd targets {}
        /// Lists target groups with the leases on them.
        cmd groups {}
        /// Lists instances with their roles and what they have in force.
        cmd instances {}
        /// Lists weight-store permits in use.
        cmd permits {}
        /// Lists quarantined requests, and suspects that crashed one target.
        cmd quarantine {}
        /// Allows a quarantined request again.
        cmd lift-quarantine {
            /// Fingerprint of the request.
            required request: Fingerprint
        }
        /// Takes work away from an instance or a target.
        cmd drain {
            /// Drains an instance.
            cmd instance {
                /// Instance.
                required instance: InstanceId
                /// Ends draining.
                optional --undo
            }
            /// Drains a target.
            cmd target {
                /// Target.
                required target: TargetId
                /// Ends draining.
                optional --undo
            }
        }
        /// Control replicas.
        cmd replica {
            /// Shows the replica that answers on the RPC address.
            cmd status {}
            /// Adds a control replica.
            cmd add {
                /// Instance.
                required instance: InstanceId
            }
            /// Removes a control replica.
            cmd remove {
                /// Instance.
                required instance: InstanceId
            }
        }
    }
}
