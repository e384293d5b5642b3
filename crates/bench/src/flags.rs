//! Command-line interface.

use std::path::PathBuf;

use crate::policy::{DeploymentChoice, Scenario};

xflags::xflags! {
    /// Generates load against deployments with fake targets and prints measurements.
    cmd shallotdrum-bench {
        /// Runs a short load on small deployments of both organisations, in this process; exits
        /// with an error if any response is wrong.
        default cmd quick {
            /// Requests per deployment; default 200.
            optional --requests requests: usize
            /// Seed of the load generator; default 1.
            optional --seed seed: u64
        }
        /// Measures how state, message sizes and CPU time grow with the size of a deployment.
        cmd slopes {
            /// Writes all measurements to this file as JSON.
            optional --json file: PathBuf
            /// Internal: measures the control state stored in this folder and exits. The command
            /// starts itself with this flag, so that each state has a process of its own.
            optional --probe folder: PathBuf
        }
        /// Compares the adaptive policy with the baseline on full-size deployments, with instances
        /// as processes and fake targets in this process.
        cmd policy {
            /// `registry`, `cooperative` or `both` (default).
            optional --deployment deployment: DeploymentChoice
            /// `compare` (default), `fairness`, `shift` or `overload`.
            optional --scenario scenario: Scenario
            /// Number of seeds, counted from 1; default 5.
            optional --seeds seeds: u64
            /// First seed; default 1.
            optional --first-seed seed: u64
            /// Duration of the measurement in a run; default 20.
            optional --seconds seconds: u64
            /// Duration of the load before the measurement; default 10.
            optional --warm-up seconds: u64
            /// Model requests per second; the default depends on deployment and scenario.
            optional --rate rate: f64
            /// Zipf exponent of adapter popularity; the default depends on the deployment.
            optional --exponent exponent: f64
            /// Writes all measurements to this file as JSON.
            optional --json file: PathBuf
        }
        /// Measures the latency overhead and the throughput of one instance.
        cmd overhead {
            /// Requests per second, each sent directly and through the instance; default 1000.
            optional --rate rate: f64
            /// Duration of each measurement; default 10.
            optional --seconds seconds: u64
        }
    }
}
