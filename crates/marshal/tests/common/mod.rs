//! Node list entries for the tests.

use ivydrift_wire::list::{ListedNode, State};

/// A ready node at 127.0.0.1 in zone `site-a`.
pub fn node(port: u16, build: u32) -> ListedNode {
    ListedNode {
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
