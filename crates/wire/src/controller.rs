//! API of the rollout controller: `GET /v1/stage?index=N&wait=10s`, a blocking query for the rollout stage, the platform's
//! sampled totals and the answers that clients disputed; and `POST /v1/votes`.

use serde::{Deserialize, Serialize};

/// Largest message accepted from the rollout controller.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Rollout state of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Running on part of the fleet.
    OnTrial,
    /// Being rolled back.
    GoingBack,
    /// Promoted to the whole fleet.
    Released,
    /// Rolled back.
    Withdrawn,
}

/// Rollout stage of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    pub build: u32,
    pub stage: u32,
    pub course: RolloutState,
    /// Exposure cap, 0 to 1.
    pub cap: f64,
    /// Time since the build entered this stage and state.
    pub age_ms: u64,
}

/// The platform's totals over a sample of the picks of one build and method in one past period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControllerCounts {
    pub build: u32,
    pub method: String,
    pub picks: u32,
    pub failed: u32,
    pub mean_ms: f64,
    pub age_ms: u64,
}

/// Report that a client disputed an answer that came through this marshal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DisputeReport {
    /// `host:port` of the node that answered.
    pub node: String,
    pub method: String,
    pub age_ms: u64,
}

/// Answer of the rollout controller to a stage query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// Value of `index=` for the next query.
    pub index: u64,
    pub stage: Option<Stage>,
    #[serde(default)]
    pub sums: Vec<ControllerCounts>,
    #[serde(default)]
    pub disputed: Vec<DisputeReport>,
}

/// A marshal's verdict on a build at its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Withdraws an earlier verdict.
    None,
    /// Promote to the next stage.
    On,
    /// Stay at this stage.
    Hold,
    /// Roll back.
    Back,
}

/// A marshal's vote on a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub marshal: u32,
    pub verdict: Verdict,
    pub stage: u32,
    pub build: u32,
}

/// A vote on a service. `service` is none for the marshal's default service (`places.service`), which keeps the format
/// used before a marshal could serve several.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVote {
    #[serde(flatten)]
    pub vote: Vote,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
}

/// Returns the request target of a stage query. `service` is none for the marshal's default service.
pub fn stage_query_target(index: u64, wait_s: u64, marshal: usize, service: Option<&str>) -> String {
    let path = format!("/v1/stage?index={index}&wait={wait_s}s&marshal={marshal}");
    service.map_or(path.clone(), |name| format!("{path}&service={name}"))
}

/// Whether a vote was counted, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Counted {
    Counts,
    /// The vote is for a build or stage that is not current, or the build is already being rolled back.
    Moot,
    /// The rate limit for votes was exceeded.
    Full,
    /// The vote was malformed or could not be processed.
    Error,
}

/// Answer to a vote: whether it was counted, and the current stage.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteAnswer {
    pub counted: Counted,
    pub stage: Stage,
}

/// Parses and validates the answer to a stage query.
///
/// # Errors
/// Returns a sentence on what is malformed; nothing of the message may be used then.
pub fn parse_update(bytes: &[u8]) -> Result<RolloutUpdate, String> {
    let rollout_update: RolloutUpdate = parse(bytes)?;
    if let Some(stage) = rollout_update.stage {
        validate(&stage)?;
    }
    Ok(rollout_update)
}

/// Parses and validates the answer to a vote.
///
/// # Errors
/// Returns a sentence on what is malformed.
pub fn parse_vote_answer(bytes: &[u8]) -> Result<VoteAnswer, String> {
    let answer: VoteAnswer = parse(bytes)?;
    validate(&answer.stage)?;
    Ok(answer)
}

/// Parses a JSON message of at most [`MAX_MESSAGE_BYTES`].
///
/// # Errors
/// Returns a sentence on what is malformed.
pub fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, String> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(format!(
            "the rollout controller's message has {} bytes, the limit is {MAX_MESSAGE_BYTES}",
            bytes.len()
        ));
    }
    serde_json::from_slice(bytes).map_err(|e| format!("malformed message from the rollout controller: {e}"))
}

/// Serializes a message as JSON.
pub fn write<T: Serialize>(message: &T) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

fn validate(stage: &Stage) -> Result<(), String> {
    if !(0.0..=1.0).contains(&stage.cap) {
        return Err(format!("the rollout controller's cap is {}, not within 0 to 1", stage.cap));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_default_service_uses_the_format_of_a_single_service() {
        let vote = Vote { marshal: 3, verdict: Verdict::Back, stage: 1, build: 42 };
        let plain = ServiceVote { vote, service: None };
        assert_eq!(write(&plain), write(&vote));
        assert_eq!(stage_query_target(7, 5, 3, None), "/v1/stage?index=7&wait=5s&marshal=3");
        let named = ServiceVote { vote, service: Some("relay".into()) };
        assert_eq!(
            stage_query_target(7, 5, 3, Some("relay")),
            "/v1/stage?index=7&wait=5s&marshal=3&service=relay"
        );
        assert_eq!(parse::<ServiceVote>(&write(&named)).unwrap(), named);
        assert_eq!(parse::<ServiceVote>(&write(&vote)).unwrap(), plain);
        assert_eq!(
            parse::<Vote>(&write(&named)).unwrap(),
            vote,
            "a controller that knows a single service must be able to read it"
        );
    }

    #[test]
    fn a_cap_out_of_range_is_rejected() {
        let rollout_update = |cap: f64| {
            let stage = Stage { build: 2, stage: 0, course: RolloutState::OnTrial, cap, age_ms: 1 };
            let rollout_update =
                RolloutUpdate { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] };
            serde_json::to_vec(&rollout_update).unwrap()
        };
        assert!(parse_update(&rollout_update(0.5)).is_ok());
        assert!(parse_update(&rollout_update(1.5)).unwrap_err().contains("cap is 1.5"));
        assert!(parse_update(b"{").is_err());
    }
}
