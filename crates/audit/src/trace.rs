//! The trace format: events that clients, nodes, node list and rollout controller observed on their sockets,
//! one JSON object a line, under one clock. `t` is in microseconds since the run began; lines are ordered by
//! `t`.

use serde::{Deserialize, Serialize};

/// Whether a method may run more than once for one RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Idempotent,
    /// Repeats with the same token are dropped within a group of nodes, for a window of time.
    Tokened,
    NonIdempotent,
}

/// The nodes that recognize each other's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A method and its repeat rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Method {
    pub name: String,
    pub repeat: Repeat,
    pub group: Group,
    /// How long nodes remember a token.
    pub window_us: u64,
}

/// The limits to check against: the first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    pub methods: Vec<Method>,
    /// How long after a notice (node draining, cap lowered) the old state may still be used.
    pub drain_grace_us: u64,
    /// Capacity of a cold node as a part of its warm capacity, and how long it takes to warm up.
    pub cold_from: f64,
    pub warm_us: u64,
    /// A cold node falls when it gets this multiple of its capacity within `fall_us`.
    pub fall_multiple: f64,
    pub fall_us: u64,
    /// Window over which exposure is measured.
    pub window_us: u64,
    /// Picks that a build on trial may get in each window beyond its cap.
    pub free: f64,
    /// Cap for a build that the marshal has not been told about yet.
    pub first_cap: f64,
    /// Exposure is accounted for each method separately.
    pub by_method: bool,
    /// In stages below this one, a build on trial gets idempotent methods only.
    pub guarded: u32,
    /// A key that a newer build answered must not return to an older one.
    pub one_way: bool,
    /// Two picks of one RPC may be in flight at once.
    pub copies: bool,
    /// How far apart in time two observers may see the same event.
    pub slack_us: u64,
    /// How far past its deadline an answer may reach the client.
    pub late_us: u64,
}

/// The final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerKind {
    Ok,
    PushedBack,
    Aborted,
}

/// State of a node in the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    Ready,
    Draining,
    Gone,
}

/// Where a rollout stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    OnTrial,
    /// Being rolled back.
    GoingBack,
    Released,
    Withdrawn,
}

/// What happened to the process of a marshal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessEvent {
    Started,
    /// Killed without notice.
    Killed,
    /// Suspended (SIGSTOP).
    Stopped,
    /// Resumed after a suspension.
    Continued,
    /// Asked to shut down.
    Told,
}

/// An observed event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "kebab-case")]
pub enum Event {
    Law(Limits),
    /// A client sent an attempt to a marshal. All attempts of one RPC share `call`; `left_us` is the time until the
    /// client's deadline.
    Asked {
        marshal: u32,
        id: u64,
        call: u64,
        method: String,
        key: u64,
        left_us: u64,
    },
    /// The client received a complete final answer.
    Answered {
        id: u64,
        kind: AnswerKind,
        build: u32,
        picks: u32,
    },
    /// The connection ended before a complete answer.
    Broken {
        id: u64,
    },
    /// No connection could be made: the marshal never accepted the attempt.
    Refused {
        id: u64,
    },
    /// The client's deadline passed without an answer.
    TimeUp {
        id: u64,
    },
    /// The client cancelled before its deadline.
    Left {
        id: u64,
    },
    /// Bytes arrived after the final answer.
    Extra {
        id: u64,
    },
    /// A node read an RPC. `work_us`: its cost on a warm node.
    Got {
        node: u32,
        build: u32,
        marshal: u32,
        id: u64,
        method: String,
        key: u64,
        zone: u32,
        cell: u32,
        work_us: u64,
    },
    /// The node rejected the RPC without running it.
    Turned {
        node: u32,
        id: u64,
    },
    /// The node executed the RPC's effect, once for each token that it remembers.
    Ran {
        node: u32,
        call: u64,
        method: String,
    },
    /// The node wrote its answer, or the marshal closed the connection.
    Done {
        node: u32,
        id: u64,
        ok: bool,
    },
    /// The node list told a marshal the state of a node.
    Told {
        marshal: u32,
        node: u32,
        state: State,
    },
    /// The rollout controller told a marshal the state of a rollout.
    News {
        marshal: u32,
        build: u32,
        stage: u32,
        course: RolloutState,
        cap: f64,
    },
    /// A marshal's process changed state.
    Marshal {
        marshal: u32,
        turn: ProcessEvent,
    },
    /// A node started. `capacity`: seconds of work that it does in a second when warm.
    Up {
        node: u32,
        build: u32,
        capacity: f64,
    },
    /// A node stopped.
    Down {
        node: u32,
    },
    /// A cold node failed under too much load.
    Fell {
        node: u32,
    },
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds since the run began.
    pub t: u64,
    /// The service that an `asked`, `got`, `told` or `news` event concerns; empty where there is only one service.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub service: String,
    #[serde(flatten)]
    pub seen: Event,
}

impl Line {
    /// Creates a line for a run with only one service.
    pub fn new(t: u64, seen: Event) -> Line {
        Line { t, service: String::new(), seen }
    }

    /// Serializes the line, without a line break.
    pub fn write(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses a line.
    ///
    /// # Errors
    /// When the text is not a line of a trace; the message says why.
    pub fn read(text: &str) -> Result<Line, String> {
        serde_json::from_str(text).map_err(|e| e.to_string())
    }
}
