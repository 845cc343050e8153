//! Decides for one marshal. Made by `Marshal::new(&terms)`, then called as `handle(now, events) -> actions`;
//! the interface is in `port.rs`. For now every RPC is pushed back unsent: the decisions follow.

use std::time::Duration;

use crate::port::*;

pub struct Marshal;

impl Marshal {
    pub fn new(_terms: &RolloutTerms) -> Self {
        Marshal
    }

    pub fn handle(&mut self, _now: Duration, events: Vec<Event>) -> Vec<Action> {
        let push_back = |event| match event {
            Event::Rpc { rpc, .. } => Some(Action::PushBack { rpc, retry_after: None }),
            _ => None,
        };
        events.into_iter().filter_map(push_back).collect()
    }
}
