//! Commands and their arguments.

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
    }
}
