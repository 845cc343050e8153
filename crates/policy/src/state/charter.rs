//! The figures that decisions use, derived from the start terms.

use std::time::Duration;

use crate::port::*;

/// The figures that decisions use, derived from the start terms.
pub struct Charter {
    pub duties: Vec<Duty>,
    pub least_soft: f64,
    pub exposure: Exposure,
    pub most_picks: usize,
    pub copies: bool,
    pub retry_after: Option<Duration>,
    pub cold_from: f64,
    pub warming: Duration,
    pub fall_window: Duration,
    pub fall_budget: f64,
    pub by_votes: bool,
    pub shares: Vec<f64>,
    pub vote_life: Duration,
    pub vote_wait: Duration,
    /// Seconds a vote that all marshals together may send.
    pub vote_gap: f64,
    /// Votes that a vote on needs, and the most that can stand at once: the desk takes twice its rate at once.
    pub on_votes: f64,
    pub standing: f64,
    /// The part of all marshals that can send a build back.
    pub back_part: f64,
    pub peers: bool,
    /// The last stage, where the earlier machines stay until the release.
    pub rehearse: Option<usize>,
    pub kinds: usize,
    pub warm_keys: bool,
    pub ask_pause: Option<f64>,
    /// The longest silence towards discovery without a subscription.
    pub ask_within: Duration,
    pub seed: u64,
    /// This marshal's place among all, from 0 to 1.
    pub phase: f64,
    /// Seconds for which an idle connection is kept.
    pub kept: f64,
    pub marshals: f64,
    pub crowd: usize,
    pub marshal: usize,
}

/// What is owed to a method's RPCs.
pub struct Duty {
    pub repeat: Repeat,
    pub soft: f64,
    /// Utility against the mean of all methods.
    pub worth: f64,
    /// Where exposure counts this method.
    pub slot: usize,
}

pub struct Exposure {
    pub first_cap: f64,
    pub window: Duration,
    pub free: f64,
    pub guarded: usize,
    pub one_way: bool,
}

impl Charter {
    pub fn new(terms: &RolloutTerms) -> Self {
        let (release, rules, limits) = (&terms.release, &terms.rules, &terms.limits);
        let mean = terms.methods.iter().map(|m| m.utility).sum::<f64>() / terms.methods.len() as f64;
        let marshals = terms.marshals.max(1) as f64;
        let duty = |(i, m): (usize, &MethodTerms)| {
            let (soft, worth) = (m.soft_deadline.as_secs_f64(), m.utility / mean);
            Duty { repeat: m.repeat, soft, worth, slot: if release.by_method { i } else { 0 } }
        };
        let duties: Vec<Duty> = terms.methods.iter().enumerate().map(duty).collect();
        let (window, free, one_way) = (release.window, release.free, release.one_way);
        let (first_cap, guarded) = (release.caps.first().copied().unwrap_or(0.0), release.guarded_stages);
        Charter {
            least_soft: duties.iter().map(|d| d.soft).fold(f64::INFINITY, f64::min),
            duties,
            exposure: Exposure { first_cap, window, free, guarded, one_way },
            most_picks: limits.most_picks,
            copies: limits.second_copies,
            retry_after: limits.retry_after,
            cold_from: rules.cold_from,
            warming: rules.warm_within,
            fall_window: rules.fall_window,
            fall_budget: rules.fall_multiple * rules.fall_window.as_secs_f64(),
            by_votes: release.control == Control::Votes,
            shares: release.shares.clone(),
            vote_life: release.vote_life,
            vote_wait: release.vote_wait,
            vote_gap: marshals / release.vote_rate,
            on_votes: release.on_votes as f64,
            standing: release.vote_rate * (release.vote_life.as_secs_f64() + 2.0),
            back_part: release.back_votes.max(1) as f64 / marshals,
            peers: limits.peers,
            rehearse: release.shares.len().checked_sub(1).filter(|_| !release.in_place),
            kinds: terms.kinds.max(1),
            warm_keys: terms.warm_keys,
            ask_pause: terms.ask_discovery.then(|| 1.0 + terms.marshal as f64 / marshals),
            ask_within: if rules.ask_within.is_zero() { Duration::MAX } else { rules.ask_within },
            seed: terms.seed,
            phase: terms.marshal as f64 / marshals,
            marshals,
            kept: limits.idle_kept.as_secs_f64(),
            crowd: terms.marshals.max(1),
            marshal: terms.marshal,
        }
    }

    /// An RPC that erred may be sent again.
    pub fn repeatable(&self, method: usize) -> bool {
        self.duties[method].repeat != Repeat::NonIdempotent
    }

    /// From this age on a node needs no budget.
    pub fn warm(&self, age: Duration) -> bool {
        age >= self.warming + self.fall_window
    }

    /// The least part of its capacity that a node has at some age.
    pub fn present(&self, age: Duration) -> f64 {
        let grown = age.as_secs_f64() / self.warming.as_secs_f64().max(0.001);
        self.cold_from + (1.0 - self.cold_from) * grown.min(1.0)
    }
}
