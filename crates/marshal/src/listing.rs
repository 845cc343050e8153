//! Passes the node list from the directory to the policy.

use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::*;

use crate::{Core, HeldBack, Order};

impl Core {
    /// Nodes that the policy knows: all listed ones, or this marshal's subset of a large list.
    pub fn held(&self) -> Vec<SocketAddr> {
        self.directory.held()
    }

    /// Passes node events to the policy, and closes idle connections that the change makes obsolete.
    pub(crate) fn relist(
        &mut self, now: Duration, told: Vec<Event>, events: &mut Vec<Event>, orders: &mut Vec<Order>,
    ) {
        // A new process may run at the address by now, and connections to the earlier one may be dead without
        // notice.
        let left = self.directory.left_behind.drain(..);
        orders.extend(left.map(|node| Order::CloseIdle { node }));
        if told.iter().any(|event| matches!(event, Event::Sight(_))) {
            let (held, listed) = self.directory.counts();
            orders.push(Order::Log(format!("holds {held} of {listed} listed nodes")));
        }
        if self.desk_heard {
            events.extend(told);
            return;
        }
        let answers = |event: &Event| matches!(event, Event::Nodes { scope: Scope::Full | Scope::Delta, .. });
        if told.iter().any(answers) {
            // The nodes wait for the rollout controller's first message. That discovery has answered is
            // reported now, as it may no longer hold by then.
            events.push(Event::Nodes { scope: Scope::Delta, nodes: vec![] });
        }
        if !told.is_empty() {
            let since = self.held_back.as_ref().map_or(now, |held| held.since);
            self.held_back = Some(HeldBack { since, events: self.directory.whole(Scope::Local) });
        }
    }

    /// Passes on the node list saved before a restart, until discovery answers.
    pub(crate) fn recall(&mut self, now: Duration, events: &mut Vec<Event>) {
        self.directory.left_behind.clear();
        let told = self.directory.whole(Scope::Cached);
        if self.desk_heard {
            events.extend(told);
        } else {
            self.held_back = Some(HeldBack { since: now, events: told });
        }
    }
}
