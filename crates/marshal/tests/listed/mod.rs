//! A node as the list has it.

use ivydrift_wire::list::{Listed, State};

pub fn node(port: u16, build: u32) -> Listed {
    Listed {
        host: "127.0.0.1".into(),
        port,
        state: State::Ready,
        build,
        zone: "site-a".into(),
        cell: 0,
        kind: "full-1c".into(),
        power: 1.0,
        started_ms: None,
    }
}
