//! Passes the node list from the directory to the policy.

use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::*;

use crate::{Command, Core, PendingNodes};

impl Core {
    /// Nodes that the policy knows: all listed ones, or this marshal's subset of a large list.
    pub fn known_nodes(&self) -> Vec<SocketAddr> {
        self.directory.known_addrs()
    }

    /// Passes node events to the policy, and closes idle connections that the change makes obsolete.
    pub(crate) fn apply_node_events(
        &mut self, now: Duration, node_events: Vec<Event>, events: &mut Vec<Event>,
        commands: &mut Vec<Command>,
    ) {
        // A new process may run at the address by now, and connections to the earlier one may be dead without
        // notice.
        let obsolete = self.directory.obsolete_addrs.drain(..);
        commands.extend(obsolete.map(|node| Command::CloseIdle { node }));
        if node_events.iter().any(|event| matches!(event, Event::ListCoverage(_))) {
            let (known, listed) = self.directory.counts();
            commands.push(Command::Log(format!("holds {known} of {listed} listed nodes")));
        }
        if self.controller_heard {
            events.extend(node_events);
            return;
        }
        let is_discovery_answer = |event: &Event| {
            matches!(event, Event::Nodes { update: ListUpdate::Full | ListUpdate::Delta, .. })
        };
        if node_events.iter().any(is_discovery_answer) {
            // The nodes wait for the rollout controller's first message. That discovery has answered is
            // reported now, as it may no longer hold by then.
            events.push(Event::Nodes { update: ListUpdate::Delta, nodes: vec![] });
        }
        if !node_events.is_empty() {
            let since = self.pending_nodes.as_ref().map_or(now, |pending| pending.since);
            self.pending_nodes =
                Some(PendingNodes { since, events: self.directory.snapshot(ListUpdate::Local) });
        }
    }

    /// Passes on the node list saved before a restart, until discovery answers.
    pub(crate) fn load_saved_nodes(&mut self, now: Duration, events: &mut Vec<Event>) {
        self.directory.obsolete_addrs.clear();
        let node_events = self.directory.snapshot(ListUpdate::Cached);
        if self.controller_heard {
            events.extend(node_events);
        } else {
            self.pending_nodes = Some(PendingNodes { since: now, events: node_events });
        }
    }
}
