//! Commands and their arguments.

use std::path::PathBuf;

use crate::policy::{DeploymentChoice, Scenario};

xflags::xflags! {
    /// Runs loads against deployments of fake targets and prints what was measured.
    cmd shallotdrum-bench {
        /// Serves a short load on small deployments of both organisations, in this process;
        /// exits with an error if any answer is wrong.
        default cmd quick {
            /// Requests for each deployment; default 200.
            optional --requests requests: usize
            /// Seed of the load; default 1.
            optional --seed seed: u64
        }
        /// Measures how state, messages and processor time grow with the size of a deployment.
        cmd slopes {
            /// Writes all measured values to this file as JSON.
            optional --json file: PathBuf
            /// Measures a control state stored in this folder and exits; the command runs itself
            /// in this way, so that each state is alone in its process.
            optional --probe folder: PathBuf
        }
        /// Compares the adaptive policy with the baseline on whole deployments, with instances as
        /// processes and fake targets in this process.
        cmd policy {
            /// `registry`, `cooperative` or `both` (default).
            optional --deployment deployment: DeploymentChoice
            /// `compare` (default), `fairness`, `shift` or `overload`.
            optional --scenario scenario: Scenario
            /// Number of seeds, counted from 1; default 5.
            optional --seeds seeds: u64
            /// First seed; default 1.
            optional --first-seed seed: u64
            /// Measured time of a run; default 20.
            optional --seconds seconds: u64
            /// Load before the measured time, not counted; default 10.
            optional --warm-up seconds: u64
            /// Model requests in a second; the default depends on deployment and scenario.
            optional --rate rate: f64
            /// Exponent of the adapters' Zipf popularity; the default depends on the deployment.
            optional --exponent exponent: f64
            /// Writes all figures to a JSON file.
            optional --json file: PathBuf
        }
        /// Measures what one instance adds to the time of a request, and how many it answers.
        cmd overhead {
            /// Requests in a second on each of the two ways; default 1000.
            optional --rate rate: f64
            /// Time of each measurement; default 10.
            optional --seconds seconds: u64
        }
    }
}
