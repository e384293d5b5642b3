//! Commands and their arguments.

use std::path::PathBuf;

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
    }
}
