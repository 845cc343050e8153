//! The trace: what clients, nodes, the list and the desk saw on their sockets, one JSON line each, under one
//! clock. `t` is in microseconds since the day began; lines stand in the order of `t`.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Idempotent,
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Method {
    pub name: String,
    pub repeat: Repeat,
    pub group: Group,
    pub window_us: u64,
}

/// What was promised: the first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Law {
    pub methods: Vec<Method>,
    pub drain_grace_us: u64,
    pub cold_from: f64,
    pub warm_us: u64,
    pub fall_multiple: f64,
    pub fall_us: u64,
    pub window_us: u64,
    pub free: f64,
    pub first_cap: f64,
    pub by_method: bool,
    pub guarded: u32,
    pub one_way: bool,
    pub copies: bool,
    /// How far the places where lines are written may lie apart in time.
    pub slack_us: u64,
    /// How late an answer may come to its client.
    pub late_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    Ok,
    PushedBack,
    Aborted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Course {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Turn {
    Started,
    /// Killed outright.
    Killed,
    /// Standing still.
    Stopped,
    Continued,
    /// Told to stop.
    Told,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "kebab-case")]
pub enum Seen {
    Law(Law),
    /// A client sent a try. `call` is the same for all tries of one RPC of the caller.
    Asked {
        marshal: u32,
        id: u64,
        call: u64,
        method: String,
        key: u64,
        left_us: u64,
    },
    /// It had a whole final answer.
    Answered {
        id: u64,
        kind: Kind,
        build: u32,
        picks: u32,
    },
    /// Its connection ended before a whole answer.
    Broken {
        id: u64,
    },
    /// It had no connection: the marshal never took the try.
    Refused {
        id: u64,
    },
    /// It waited in vain until its time was up.
    TimeUp {
        id: u64,
    },
    /// It left before its time was up.
    Left {
        id: u64,
    },
    /// Bytes came that answer nothing.
    Extra {
        id: u64,
    },
    /// A node read an RPC. `work_us`: what it costs a warm node.
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
    /// It turned the RPC away unseen.
    Turned {
        node: u32,
        id: u64,
    },
    /// It let the RPC's effect happen: once for each token while it remembers it.
    Ran {
        node: u32,
        call: u64,
        method: String,
    },
    /// It wrote its answer, or the marshal closed.
    Done {
        node: u32,
        id: u64,
        ok: bool,
    },
    /// The list told a marshal.
    Told {
        marshal: u32,
        node: u32,
        state: State,
    },
    /// The desk told a marshal.
    News {
        marshal: u32,
        build: u32,
        stage: u32,
        course: Course,
        cap: f64,
    },
    Marshal {
        marshal: u32,
        turn: Turn,
    },
    /// A node started. `capacity`: work a second when warm, in seconds.
    Up {
        node: u32,
        build: u32,
        capacity: f64,
    },
    Down {
        node: u32,
    },
    /// It was pushed over while cold.
    Fell {
        node: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub t: u64,
    /// Of what is per service (`asked`, `got`, `told`, `news`) whose it is; empty where there is one service only.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub service: String,
    #[serde(flatten)]
    pub seen: Seen,
}

impl Line {
    /// A line where there is one service only.
    pub fn new(t: u64, seen: Seen) -> Line {
        Line { t, service: String::new(), seen }
    }

    pub fn write(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// # Errors
    /// A sentence on what is wrong with the line.
    pub fn read(text: &str) -> Result<Line, String> {
        serde_json::from_str(text).map_err(|e| e.to_string())
    }
}
