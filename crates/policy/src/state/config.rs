//! The config as the decisions use it.

use std::time::Duration;

use crate::port::*;

/// The config as the decisions use it, derived from [`RolloutConfig`].
pub struct Config {
    /// By method.
    pub methods: Vec<MethodParams>,
    /// The shortest soft deadline of all methods, in seconds.
    pub min_soft_secs: f64,
    /// Limits on the traffic of a build on trial.
    pub exposure: ExposureParams,
    /// Maximum picks per RPC.
    pub max_picks: usize,
    /// An RPC may have more than one pick in flight.
    pub hedging: bool,
    /// Upper bound of the retry-after time in a push-back; none where clients are not told such a time.
    pub retry_after: Option<Duration>,
    /// Part of its full capacity that a node has right after its start, from 0 to 1.
    pub cold_start_part: f64,
    /// Time from a node's start to full capacity.
    pub warm_up: Duration,
    /// The window over which the slow-start budget is counted.
    pub slow_start_window: Duration,
    /// Slow-start budget of a window in seconds: times the node's expected answers per second, it gives the
    /// budget in picks.
    pub slow_start_secs: f64,
    /// Votes, not time, advance a rollout.
    pub by_votes: bool,
    /// Share of the fleet's node slots that run the new build, by stage, from 0 to 1.
    pub shares: Vec<f64>,
    /// How long a vote counts.
    pub vote_life: Duration,
    /// The pause before a vote whose outcome is unknown is sent again.
    pub vote_wait: Duration,
    /// Seconds between one marshal's votes if all marshals vote at the full rate that the rollout controller
    /// accepts.
    pub vote_gap_secs: f64,
    /// Votes needed to promote.
    pub promote_votes: f64,
    /// The most votes that can count at the same time: those that the rollout controller accepts within the
    /// life of a vote, and a burst of twice its rate per second.
    pub max_counted_votes: f64,
    /// The part of all marshals whose votes suffice to roll a build back, above 0.
    pub rollback_part: f64,
    /// Marshals can send data to one another.
    pub peers: bool,
    /// Index of the last stage, during which the earlier build's machines stay until the release; none where
    /// nodes are replaced in place.
    pub rehearsal_stage: Option<usize>,
    /// Number of node kinds.
    pub kinds: usize,
    /// A node does less work for a key that it has handled recently.
    pub warm_keys: bool,
    /// Base pause in seconds between calls to discovery, from 1 to 2 and different at each marshal; none
    /// where discovery needs no calls.
    pub call_pause_secs: Option<f64>,
    /// The longest time without a call to discovery while there is no subscription.
    pub max_call_gap: Duration,
    /// Seed of all pseudorandom draws.
    pub seed: u64,
    /// This marshal's index divided by the number of marshals, from 0 to below 1.
    pub phase: f64,
    /// Seconds after which an idle connection is closed.
    pub idle_timeout_secs: f64,
    /// Number of marshals, at least 1.
    pub marshals: f64,
    /// The same as an integer.
    pub marshal_count: usize,
    /// Index of this marshal.
    pub marshal: usize,
}

/// Parameters of one method.
pub struct MethodParams {
    /// Whether its RPCs may be executed more than once.
    pub repeat: Repeat,
    /// Soft deadline in seconds.
    pub soft_secs: f64,
    /// Utility of an answer in time, as a multiple of the mean of all methods.
    pub relative_utility: f64,
    /// Index of the exposure budget that counts this method: its own, or 0 where all methods share one.
    pub exposure_budget: usize,
}

/// Parameters of the exposure budget of a build on trial.
pub struct ExposureParams {
    /// Exposure cap in stage 0, from 0 to 1.
    pub first_cap: f64,
    /// The window over which exposure is counted.
    pub window: Duration,
    /// Picks that the budget grants in each window regardless of traffic.
    pub free: f64,
    /// In stages below this one, only idempotent methods may be sent to the build on trial.
    pub guarded_stages: usize,
    /// A key that the new build has answered is not sent to an earlier build, unless the new build is rolled
    /// back.
    pub one_way: bool,
}

impl Config {
    /// Derives the figures from a marshal's complete config.
    pub fn new(rollout_config: &RolloutConfig) -> Self {
        let (release, rules, limits) =
            (&rollout_config.release, &rollout_config.rules, &rollout_config.limits);
        let mean = rollout_config.methods.iter().map(|m| m.utility).sum::<f64>()
            / rollout_config.methods.len() as f64;
        let marshals = rollout_config.marshals.max(1) as f64;
        let method = |(i, m): (usize, &MethodConfig)| {
            let (soft_secs, relative_utility) = (m.soft_deadline.as_secs_f64(), m.utility / mean);
            MethodParams {
                repeat: m.repeat,
                soft_secs,
                relative_utility,
                exposure_budget: if release.exposure_by_method { i } else { 0 },
            }
        };
        let methods: Vec<MethodParams> = rollout_config.methods.iter().enumerate().map(method).collect();
        let (window, free, one_way) = (release.exposure_window, release.free_picks, release.one_way);
        let (first_cap, guarded_stages) =
            (release.exposure_caps.first().copied().unwrap_or(0.0), release.guarded_stages);
        Config {
            min_soft_secs: methods.iter().map(|m| m.soft_secs).fold(f64::INFINITY, f64::min),
            methods,
            exposure: ExposureParams { first_cap, window, free, guarded_stages, one_way },
            max_picks: limits.max_picks,
            hedging: limits.hedging,
            retry_after: limits.retry_after,
            cold_start_part: rules.cold_start_part,
            warm_up: rules.warm_up,
            slow_start_window: rules.slow_start_window,
            slow_start_secs: rules.slow_start_multiple * rules.slow_start_window.as_secs_f64(),
            by_votes: release.control == Control::Votes,
            shares: release.shares.clone(),
            vote_life: release.vote_life,
            vote_wait: release.vote_wait,
            vote_gap_secs: marshals / release.vote_rate,
            promote_votes: release.promote_votes as f64,
            max_counted_votes: release.vote_rate * (release.vote_life.as_secs_f64() + 2.0),
            rollback_part: release.rollback_votes.max(1) as f64 / marshals,
            peers: limits.peers,
            rehearsal_stage: release.shares.len().checked_sub(1).filter(|_| !release.in_place),
            kinds: rollout_config.kinds.max(1),
            warm_keys: rollout_config.warm_keys,
            call_pause_secs: rollout_config
                .polls_discovery
                .then(|| 1.0 + rollout_config.marshal as f64 / marshals),
            max_call_gap: if rules.max_call_gap.is_zero() { Duration::MAX } else { rules.max_call_gap },
            seed: rollout_config.seed,
            phase: rollout_config.marshal as f64 / marshals,
            marshals,
            idle_timeout_secs: limits.idle_timeout.as_secs_f64(),
            marshal_count: rollout_config.marshals.max(1),
            marshal: rollout_config.marshal,
        }
    }

    /// Whether an RPC of this method may ever be sent again after a pick that may have been executed.
    pub fn repeatable(&self, method: usize) -> bool {
        self.methods[method].repeat != Repeat::NonIdempotent
    }

    /// Whether a node of this age has reached full capacity for a whole slow-start window, so that no
    /// slow-start budget applies to it any more.
    pub fn is_warm(&self, age: Duration) -> bool {
        age >= self.warm_up + self.slow_start_window
    }

    /// The part of its full capacity, from 0 to 1, that a node of this age has at least. It grows linearly
    /// while the node warms up.
    pub fn capacity_part(&self, age: Duration) -> f64 {
        let warmed = age.as_secs_f64() / self.warm_up.as_secs_f64().max(0.001);
        self.cold_start_part + (1.0 - self.cold_start_part) * warmed.min(1.0)
    }
}
