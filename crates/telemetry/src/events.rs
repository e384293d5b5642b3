//! Catalogue of log events, each with a unique code.
//!
//! To add an event, add a line to its area below and run
//! `UPDATE_EVENTS=1 cargo test -p shallotdrum-telemetry --test events`, which regenerates
//! `docs/events.md`. The code of a removed event is never reused.

use std::fmt::Write;

use slog::Level;

/// Log event with its code and fixed text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Unique code, written as field `code` of each log line.
    pub code: &'static str,
    /// Log level.
    pub level: Level,
    /// Log message; details are in the fields of the line.
    pub message: &'static str,
    /// Recommended operator action; `none` if there is none.
    pub action: &'static str,
}

/// Component whose events share a code prefix.
#[derive(Clone, Copy, Debug)]
pub struct Area {
    /// Code prefix: a letter and two digits.
    pub prefix: &'static str,
    /// Heading on the events page.
    pub title: &'static str,
    /// Events in the order of the events page.
    pub events: &'static [Event],
}

/// Logs an event from the catalogue: `event!(log, ENTRY_OWNER_LOST; "group" => %group)`.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:ident) => {
        $crate::event!($log, $event;)
    };
    ($log:expr, $event:ident; $($kv:tt)*) => {
        $crate::slog::log!(
            $log, $crate::events::$event.level, "", "{}", $crate::events::$event.message;
            "code" => $crate::events::$event.code, $($kv)*
        )
    };
}

/// Defines a constant for each event, and the catalogue.
macro_rules! events {
    ($(
        $prefix:literal $title:literal {
            $($name:ident = $code:literal, $level:ident, $message:literal, $action:literal;)*
        }
    )+) => {
        $($(
            #[doc = concat!($message, " (", $code, "). Operator: ", $action, ".")]
            pub const $name: Event = Event {
                code: $code, level: Level::$level, message: $message, action: $action,
            };
        )*)+

        /// All events, grouped by area.
        pub const CATALOGUE: &[Area] = &[
            $(Area { prefix: $prefix, title: $title, events: &[$($name),*] },)+
        ];
    };
}

events! {
    "C01" "Consensus" {
        REPLICA_STARTED = "C0101", Info, "replica started", "none";
        REPLICA_STOPPED = "C0102", Info, "replica stopped", "none";
        LOG_TAIL_CUT = "C0103", Warning, "truncated an incomplete write at the end of the log", "none; expected after a crash or power loss";
        DAMAGED_FILES_MOVED = "C0104", Warning, "moved damaged files aside; the replica recovers its state from the other replicas", "keep the files for analysis, then delete them";
        REPLICA_FAILED = "C0105", Critical, "replica failed and stops acknowledging messages", "free or replace the disk, then restart the replica; use an empty data folder if the disk is new";
        BOOTSTRAP_WAITING = "C0106", Debug, "waiting to form the first configuration", "start all control replicas";
        BOOTSTRAP_FORMING = "C0107", Info, "forming the first configuration", "none";
        ELECTION_STARTED = "C0110", Info, "starting an election", "none, unless it repeats; then check the network between the replicas";
        LEADER_ELECTED = "C0111", Info, "became leader", "none";
        LEADER_FOLLOWED = "C0112", Info, "now following a leader", "none";
        LEADER_LOST_QUORUM = "C0113", Warning, "leader lost contact with a quorum and steps down", "check the other replicas and the network to them";
        PEER_REACHABILITY = "C0114", Info, "reachability of a replica changed", "check the replica if it stays unreachable";
        LEADER_SUPERSEDED = "C0115", Info, "a replica has a higher term; leader steps down", "none";
        MESSAGE_REFUSED_BY_PEER = "C0116", Warning, "replica refused a message", "check that all replicas run the same release and list the same replicas";
        MESSAGE_REFUSED = "C0117", Warning, "refused a malformed message", "find the sender; the RPC address must not be reachable by others";
        LEADERSHIP_TRANSFER = "C0118", Info, "transferring leadership", "none";
        MEMBERSHIP_CHANGE = "C0120", Info, "changing the membership", "none";
        LEADER_REMOVED = "C0121", Info, "leader was removed and steps down", "none";
        VOTER_REPLACED = "C0122", Warning, "voter does not respond; a replica that has caught up takes its place", "replace the machine, unless that is what added the replica";
        LEARNER_GIVEN_UP = "C0123", Warning, "replica stopped responding before it had caught up; giving it up", "check the machine; a replica that runs asks to be added again";
        LOG_COMPACTED = "C0130", Info, "log compacted", "none";
        SNAPSHOT_SENDING = "C0131", Info, "sending a snapshot", "none";
        SNAPSHOT_INSTALLING = "C0132", Info, "installing a received snapshot", "none";
        DISK_FULL = "C0135", Error, "disk is full; the replica cannot vote or acknowledge until there is room", "free the disk; the replica then goes on by itself";
        DISK_HAS_ROOM = "C0136", Info, "disk has room again", "none";
        SNAPSHOT_POSTPONED = "C0137", Warning, "disk is full; snapshot postponed", "free the disk; the replica then goes on by itself";
        SNAPSHOT_CORRUPT = "C0133", Warning, "checksum mismatch in a received snapshot", "check the network if it repeats";
    }
    "K02" "Control" {
        MANIFEST_APPLIED = "K0201", Info, "manifest revision in force", "none";
        SESSION_EXPIRED = "K0202", Warning, "session expired", "check the instance, unless it was stopped on purpose";
        FOLLOW_RETRIED = "K0204", Info, "no longer following the control log through this replica", "none, unless it repeats for one replica";
        FOLLOW_STARTED = "K0217", Info, "following the control log through this replica", "none";
        FORMAT_RAISED = "K0219", Info, "all instances read a newer format; raising that of the control log", "do not start earlier releases on this log any more";
        SESSION_OPENED = "K0205", Info, "session opened", "none";
        SESSION_REFUSED = "K0206", Error, "control log refused a session", "compare the instance's settings with those of the other instances";
        SESSION_ENDED = "K0207", Warning, "session ended; opening a new one", "check why it was not renewed: a stalled process, or the network to the control replicas";
        SESSION_RETRIED = "K0208", Debug, "cannot open or renew the session yet", "none";
        SESSION_END_FAILED = "K0209", Warning, "cannot end the session; its lease will expire", "none";
        SESSION_DRAIN_FAILED = "K0212", Warning, "cannot mark the session as draining", "none; the instance stops anyway";
        LEADER_READY = "K0210", Info, "control leader started its tasks", "none";
        LEADER_COMMAND_FAILED = "K0211", Warning, "control leader cannot write to the log", "check the control replicas and the network between them";
        CHANGE_UNCONFIRMED = "K0215", Warning, "change was not confirmed by the control log", "none; the sender retries. Check the control replicas if it persists";
        CHANGE_CONFIRMED = "K0218", Info, "change confirmed by the control log", "none";
        ROUTES_SENT_WHOLE = "K0222", Warning, "cannot compute the difference of a route table; sending the whole table", "none";
        ROUTES_READ = "K0220", Info, "route table read by an operator", "none";
        READ_UNCONFIRMED = "K0221", Warning, "control leader cannot confirm a read in time", "check the other replicas if `quorum_contact_ms` is high, and this one's disk if `applied` is behind `commit`";
        LOG_BEHIND = "K0223", Warning, "control log is applied more slowly than it is written", "find the kind of command that takes most of the time in `commands`, and what sends it";
        ROUTES_READ_FAILED = "K0216", Warning, "cannot read the latest route table", "check the control replicas if it persists";
        JOIN_RETRIED = "K0213", Debug, "cannot join the control replicas yet", "none; check the seeds if it persists";
        REPLICA_LOST = "K0214", Warning, "control replica did not respond for too long; removing it", "replace the machine";
        CONTROL_UNAVAILABLE = "K0203", Warning, "no control replica is connected to a leader", "check the network and the control replicas";
    }
    "O03" "Owner" {
        GROUP_ACQUIRED = "O0301", Info, "group ownership acquired", "none";
        GROUP_RELEASED = "O0302", Info, "group ownership released", "none";
        GROUP_LOST = "O0303", Warning, "group ownership lost", "if the instance is still running, check why its session was not renewed";
        ADAPTER_LOAD_FAILED = "O0304", Warning, "adapter load failed", "check the weight store and the adapter's path in the manifest if it repeats";
        GROUP_RELEASE_FAILED = "O0310", Warning, "cannot release a group; its owner's lease will expire", "none";
        RESPONSE_INTERRUPTED = "O0311", Warning, "response from a target was interrupted", "check the target if it repeats";
        TARGET_RESPONSE_LOST = "O0338", Warning, "no response from a target that can be passed on; the request may have run", "check the target if it repeats";
        ORDER_FAILED = "O0312", Debug, "load order failed", "none; see the event of the adapter load";
        SUBSCRIBER_QUEUE_FULL = "O0313", Warning, "queue of a subscriber is full", "check the subscriber's traffic; raise limits.max_queued_per_subscriber if it is legitimate";
        LOAD_ORDER_DROPPED = "O0314", Error, "load order dropped: the slot is in use", "report it as a scheduler bug";
        ANSWER_MISMATCH = "O0305", Error, "engine responded with a different adapter", "take the engine out of service and report the engine bug";
        ORDER_REFUSED = "O0306", Warning, "engine refused an order", "none, unless it repeats for one engine; then restart the engine";
        REQUEST_SUSPECTED = "O0307", Warning, "request was running on a crashed target", "none; list quarantined requests if it repeats";
        REQUEST_QUARANTINED = "O0308", Error, "request quarantined after repeated crashes", "analyse the request; lift the quarantine when the engine is fixed";
        PART_SUSPECTED = "O0334", Info, "part of a prompt was in a request on a crashed target", "none; list quarantined requests if it repeats";
        PART_QUARANTINED = "O0335", Error, "part of prompts is quarantined after repeated crashes; refusing requests with it", "analyse the requests; lift the quarantine when the engine is fixed";
        REQUEST_PERMITTED = "O0336", Info, "sending one request in spite of a quarantine, to see whether it still crashes targets", "none";
        CRASH_UNRECORDED = "O0326", Warning, "control log has not recorded a crash yet; it counts on this instance, and the report is retried", "check the control replicas if it persists";
        RUNS_REPORTED = "O0329", Info, "reported successful runs of suspected requests", "none";
        RUNS_NOT_REPORTED = "O0330", Info, "cannot report successful runs of suspected requests", "none; later runs are reported";
        SUSPENSION_ENDED = "O0331", Info, "ended the temporary quarantine of a request", "none; a single crash quarantines it again, for twice as long";
        SUSPENSION_KEPT = "O0332", Info, "cannot end the temporary quarantine of a request yet", "none; a later request tries again";
        PLACE_GRANTED = "O0315", Info, "place at a target granted", "none";
        ENGINE_CALL_FAILED = "O0324", Info, "call to an engine failed", "check the engine if it repeats";
        ENGINE_NOT_INSPECTED = "O0325", Warning, "engine did not report its loaded adapters; it gets no orders until it is inspected again", "check the engine";
        LOAD_DECIDED = "O0322", Info, "decided to load an adapter", "none";
        ENGINE_INSPECTED = "O0321", Info, "engine reported its loaded adapters", "none";
        ALLOTMENT_DECIDED = "O0352", Info, "units of a customer's allotment taken, or refused for lack of room", "none";
        ALLOTMENT_RETURNED = "O0353", Info, "units returned to a customer's allotment: the request got no place", "none";
        ALLOTMENT_SETTLED = "O0354", Info, "reservation of units confirmed, or returned", "none";
        ALLOTMENT_EXPIRED = "O0355", Info, "reserved units count as used: they were neither confirmed nor returned by the deadline of their request", "none, unless it persists; then check the network between the instances";
        PLACE_WITHOUT_OWNER = "O0323", Info, "request sent to a target without a place from the group's owner", "none, unless it persists; then check the instance that owned the group";
        PLACE_END_LOST = "O0320", Debug, "ends of places are not reported; their places expire, or ended with the owner's session", "none";
        PLACE_END_DELAYED = "O0362", Info, "cannot report ends of places to their owner; they are reported again", "check the owner and the network if it repeats";
        PLACE_CHANNEL_ACCEPTED = "O0360", Info, "an entry opened a channel for places", "none";
        PLACE_CHANNEL_ENDED = "O0361", Info, "channel for places of an entry ended; its waiting requests were cancelled", "compare with the log of the entry if it repeats";
        PLACE_REFUSED = "O0316", Info, "place at a target refused; the request was not run", "compare the detail with the load of the group";
        PLACE_CANCELLED = "O0363", Info, "request for a place cancelled while it waited; it was not run", "none; see its entry for why it waits no longer";
        ORDER_SENT = "O0339", Info, "order sent to an engine", "none";
        ORDER_RESENT = "O0340", Info, "order sent again: the engine has not responded, and may still carry out the previous one", "none, unless it repeats for one engine; then check the engine and the network to it";
        ORDER_ANSWERED = "O0317", Info, "engine responded to an order", "none";
        ORDER_GIVEN_UP = "O0341", Info, "order given up", "none, unless it repeats for one engine; then check the engine and the network to it";
        ORDER_RESOLVED = "O0342", Info, "reports of an engine show what became of an order with an unknown result", "none";
        BASE_LOADING = "O0318", Warning, "engine has no base model loaded; loading it", "check why the engine restarted";
        BASE_LOAD_FAILED = "O0319", Warning, "base model load failed", "check the weight store and the engine if it repeats";
        PREFILL_SPEED_LEARNED = "O0337", Info, "engines read prompts faster or slower than expected; expecting the measured speed, in tokens per ms", "none";
        STORE_LIMIT_CHANGED = "O0345", Info, "learned limit on the loads of the group from the weight store changed by more than a quarter since the last such line", "none; if it stays low while adapters wait, see the limit on loads in the operations manual";
        ADAPTER_SPREAD_CHANGED = "O0343", Info, "entries are told another number of groups over which to spread the requests for an adapter", "none, unless it repeats for one adapter; then its demand is at a limit";
        REQUEST_REFUSED_EARLY = "O0350", Info, "request refused: it could not be finished by its deadline", "none; if it persists, add targets or see which requests are more urgent";
        REQUEST_DISPLACED = "O0351", Info, "queued request refused in favour of a more urgent one", "none; if it persists, add targets";
        GROUP_PACED = "O0344", Info, "a target of the group states how slow it is; targets are chosen by their pace unless the scheduling is by shares", "none";
        TARGET_LIMIT_APPLIED = "O0333", Info, "limit on the requests of a target changed", "check why the target names a limit";
        CALL_RESULT_UNKNOWN = "O0309", Error, "result of a non-repeatable call is unknown", "look up in the service whether the call took effect";
    }
    "N04" "Entry" {
        ENTRY_LISTENING = "N0401", Info, "entry listener open", "none";
        ENTRY_ACCEPT_FAILED = "N0402", Error, "cannot accept a connection", "raise the process limit of open files, or look for a connection leak";
        ENTRY_CONNECTIONS_FULL = "N0403", Warning, "connection limit reached", "add instances, or raise limits.max_connections";
        ENTRY_CONNECTION_FAILED = "N0404", Debug, "caller connection ended with an error", "none";
        ENTRY_REQUEST_FAILED = "N0405", Debug, "request failed", "none for single requests; see the problem code if it repeats";
        ENTRY_OWNER_LOST = "N0406", Warning, "lost the connection to a group's owner", "check the owner's instance if it was not stopped on purpose";
        ENTRY_ANSWER_RESUMED = "N0407", Info, "response resumed at the new owner", "none";
        ENTRY_RETRY_BUDGET_EMPTY = "N0408", Warning, "retry budget is exhausted", "find the cause of the retries; the entry recovers by itself";
        ENTRY_DRAINING = "N0409", Info, "entry is draining", "none";
        REQUEST_ROUTED = "N0411", Info, "request sent to a target", "none";
        REQUEST_ENDED = "N0412", Info, "request ended without a complete response", "search the log for the request id";
        REQUEST_ANSWERED = "N0415", Info, "request answered", "none";
        TARGET_DECLINED = "N0416", Info, "target refused a request without running it", "none, unless it repeats for one target";
        SEND_FAILED = "N0418", Info, "request got no response from a target", "check the target if it repeats; a fingerprint that repeats is one request, sent again";
        STREAM_INTERRUPTED = "N0417", Info, "stream from a target was interrupted", "check the target if it repeats";
        RESUMPTION_REFUSED = "N0431", Info, "target sent what does not go on with its stream", "check the target if it repeats";
        STREAM_ENDED = "N0430", Info, "relayed stream ended", "none for a complete one; for others see the events of the request before it";
        TARGET_LIMIT_NAMED = "N0419", Info, "target named another limit on its requests, or none", "none; see the events of its group's owner";
        TARGET_LIMIT_MALFORMED = "N0420", Warning, "target named a limit that is not a decimal number; ignored", "correct the target";
        TARGET_LOAD_MALFORMED = "N0434", Warning, "target stated a load that is not one; ignored, as are further ones of its process in the log", "correct the target";
        STREAM_ORIGIN_FOUND = "N0421", Info, "found the software version at which a stream began that a caller takes up", "none";
        STREAM_ORIGIN_UNKNOWN = "N0422", Warning, "refused to take up a stream: no instance knows its software version, and the pool had several or the control leader did not confirm that it had one", "none for single streams: the instances that knew it were stopped, or this one is cut off; otherwise check its connection to the control replicas";
        STREAM_VERSION_CONFIRMED = "N0446", Info, "a stream that a caller takes up may go on at any target: the control leader confirmed that the pool had a single software version of late", "none";
        STREAM_COPIES_FAILED = "N0447", Debug, "another instance did not take the copies of where streams began; they are sent again", "none, unless it persists; then check that instance";
        TARGET_LEAVING_NAMED = "N0423", Info, "target says in a response that it leaves; it takes no new requests", "none";
        TARGET_PAUSED = "N0425", Info, "target refused a request and takes none from this instance for a time", "check the target's load if it repeats";
        PLACE_WITHHELD = "N0424", Info, "place not used: its target asked for no more requests", "none, unless it persists for a target";
        PLACE_OUTDATED = "N0426", Info, "place not used: its target leaves, which the owner of its group did not know", "check the owner's connection to the control replicas if it persists";
        RESPONSE_DISCARDED = "N0432", Info, "discarded a response that is not certainly that of the request; the request may have run", "check the target: it writes responses late or once more (the cause says an earlier request), or names no request in them";
        QUEUED_FOR_NEW_VERSION = "N0440", Info, "request queued again, as a newer version of its adapter is known", "none";
        BODY_REFUSED = "N0441", Info, "request refused, as other bodies take the memory", "check the callers' connections if it persists; see shallotdrum_held_bytes";
        ALLOTMENT_REFUSED = "N0450", Info, "request refused: the allotment of its customer has no room", "none; see the section on status 429 in the operations manual";
        PLACE_CHANNEL_OPENED = "N0460", Info, "channel for places to an owner opened", "none";
        PLACE_CHANNEL_BROKEN = "N0461", Warning, "channel for places to an owner broke or could not be opened; the requests that waited on it were not run there", "check the owner and the network if it repeats";
        PLACE_CHANNEL_UNSUPPORTED = "N0462", Info, "owner has no channel for places; it is asked by JSON-RPC", "none during an upgrade; else compare `policy.place_channel` of the instances";
        ALLOTMENT_UNREACHED = "N0451", Info, "cannot ask the owner of a share of a customer's allotment", "none, unless it persists; then check the instance that owns the group";
        ALLOTMENT_WAIT_ENDED = "N0452", Info, "request refused: it cannot be charged to its customer's allotment in time to be served", "none, unless it persists; then check the owners of the customer's shares";
        ALLOTMENT_UNCONFIRMED = "N0453", Info, "reserved units cannot be confirmed; charging the request to another share", "none, unless it persists; then check the instance that owns the group";
        REFUSED_FOR_GOOD = "N0433", Info, "request refused for good by a confirmed state", "compare the revision with the newest one, and the confirmation with the log of the leader of its term";
        WAITED_FOR_START = "N0443", Info, "request waited while the instance started", "none; `is_ready` says whether the instance could decide on it then";
        KEY_REFUSED = "N0442", Info, "request refused: its caller has no key of a customer, or the key is not confirmed to be valid", "see \"a caller got 401\" in docs/OPERATIONS.md";
        REQUEST_CUT = "N0470", Warning, "request ended with the process, without a complete response", "see what it waited for (stage); raise the stop timeout if it repeats";
        REFUSED_FOR_STOP = "N0471", Info, "request not sent: a planned stop leaves no time for its run", "none; its caller is told to use another instance, or that it may have run";
        ROUTES_CHANGED = "N0413", Info, "route table in force", "none";
        INPUT_REFUSED = "N0414", Warning, "malformed message refused", "correct the sender";
        ENTRY_CLOSED = "N0410", Info, "entry listener closed, all requests finished", "none";
    }
    "S05" "Start, stop and settings" {
        INSTANCE_STARTED = "S0501", Info, "instance started", "none";
        INSTANCE_READY = "S0502", Info, "instance ready", "none";
        INSTANCE_STALE = "S0503", Warning, "instance cannot confirm its manifest", "check the control replicas and the network to them";
        INSTANCE_STOPPING = "S0504", Info, "instance is stopping", "none";
        INSTANCE_STOPPED = "S0505", Info, "instance stopped", "none";
        SETTINGS_INVALID = "S0506", Critical, "settings are invalid", "correct the listed values and start again";
        REPLICA_COUNT_EVEN = "S0507", Warning, "even number of control replicas", "list an odd number of replicas; an even number tolerates no more failures than one replica less";
        REPLICA_WAITING = "S0510", Error, "control replica failed; serving without it until the data folder is writable", "free or replace the disk";
        SETTINGS_KEPT = "S0511", Error, "cannot use the changed settings file; keeping the previous settings", "correct the file";
        SETTINGS_RELOADED = "S0509", Info, "settings reloaded", "none";
        STOP_INCOMPLETE = "S0512", Warning, "stop timeout expired with requests in progress", "none for single requests; raise the stop timeout if it repeats";
        STOP_COUNTED = "S0514", Info, "what became of requests since the planned stop began", "none, unless some were cut; then see the event of each";
        START_FAILED = "S0508", Critical, "instance cannot start", "correct the reported cause and start again";
        LOG_LINES_DROPPED = "S0513", Error, "log lines were dropped because the queue of the log was full", "raise the log level, or check what the log is written to";
    }
    "T06" "Targets" {
        TARGET_REGISTERED = "T0601", Info, "target registered", "none";
        TARGET_LEFT = "T0602", Info, "target left", "none";
        TARGET_RELAY_FAILED = "T0610", Debug, "cannot relay the announcement of a registered target to its owner", "none; see the instance that owns the group";
        TARGET_DRAINING = "T0609", Info, "target is draining; it takes no new requests until it leaves", "none";
        DEPARTURE_CONFIRMED = "T0622", Info, "departure of a target confirmed by the control log", "none";
        TARGET_DRAIN_FAILED = "T0611", Warning, "cannot mark a target as draining that says it leaves; this instance sends it no requests", "check the control replicas if it persists";
        TARGET_LOST = "T0603", Warning, "target stopped announcing itself", "check the target's machine and process";
        TARGET_REMOVAL_FAILED = "T0607", Warning, "cannot remove an unresponsive target", "check the control replicas";
        TARGET_CRASHED = "T0604", Error, "target crashed with requests in flight", "check the target's own log";
        TARGET_HELD = "T0623", Info, "target gets no requests until its next process registers, as it crashed", "none";
        TARGET_SURVIVED = "T0624", Warning, "target that was reported as crashed goes on announcing itself; it gets requests again", "check whether the target closes its port while it runs";
        TARGET_REFUSED = "T0605", Warning, "target announcement refused", "correct the target's announcement or the manifest's pools";
        TARGET_EJECTED = "T0608", Warning, "target ejected as an outlier after repeated failures", "check the target's machine and its own log";
        LINK_BROKEN = "T0612", Warning, "link to a target is broken, though another instance reaches the target; requests take a detour", "check the network between the instance and the target";
        LINK_SOUND = "T0625", Info, "no connection to a target opened in time, but something of it arrived meanwhile; its link is not taken for broken", "none, unless it persists; then see why the target accepts connections late";
        LINK_RESTORED = "T0613", Info, "link to a target works again", "none";
        LINK_DETOUR = "T0614", Info, "another instance opened a connection to a target", "none, unless it persists; then see why the link is broken";
        LINK_DETOUR_REFUSED = "T0615", Info, "another instance opened no connection to a target", "compare with the log of the other instance";
        TUNNEL_OPENED = "T0616", Info, "opened a connection to a target for another instance", "see the other instance for why its link is broken";
        TUNNEL_BROKEN = "T0619", Info, "connection opened for another instance broke", "check the target if it repeats";
        TUNNEL_REFUSED = "T0617", Info, "opened no connection to a target for another instance", "compare the status with the state of the target";
        LINKS_REPORTED = "T0618", Warning, "this instance lost its links to most targets, or has them back; without them it leaves its groups to others", "check the network between the instance and the targets";
        TARGET_OUTLIER = "T0606", Warning, "target is much slower than the others of its group", "check the target's machine";
    }
}

/// Renders the contents of `docs/events.md`.
pub fn page() -> String {
    let mut page = String::from(
        "# Events\n\nEach log line carries the code of one event. This page is written from the \
         catalogue in `crates/telemetry/src/events.rs`;\n`UPDATE_EVENTS=1 cargo test -p \
         shallotdrum-telemetry --test events` rewrites it.\n",
    );
    for area in CATALOGUE {
        let _ = write!(page, "\n## {}xx {}\n\n", area.prefix, area.title);
        page.push_str("| Code | Level | Message | What the operator does |\n|---|---|---|---|\n");
        for event in area.events {
            let level = event.level.as_str().to_lowercase();
            let Event { code, message, action, .. } = event;
            let _ = writeln!(page, "| {code} | {level} | {message} | {action} |");
        }
    }
    page
}
