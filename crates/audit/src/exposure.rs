//! Rule 5 for one marshal and one service: the rollout state it was told, the RPCs it accepted and the picks it
//! sent.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::trace::{Limits, Method, Repeat, RolloutState};

/// Build, stage, course and cap, as the rollout controller announced them.
type StageState = (u32, u32, RolloutState, f64);

/// Exposure accounting of one marshal for one service.
#[derive(Default)]
pub struct Exposure {
    /// The latest rollout state.
    rollout: Option<StageState>,
    /// After a cap was lowered: the time until which the previous cap still applies, and that cap.
    previous_cap: Option<(u64, f64)>,
    /// By build: picks before this time do not count against the cap.
    counted_from: BTreeMap<u32, u64>,
    /// By method slot: when RPCs were accepted.
    accepted: HashMap<usize, VecDeque<u64>>,
    /// By build and method slot: when picks were sent.
    sent: HashMap<(u32, usize), VecDeque<u64>>,
    /// By key: the newest build that answered it, and when it first did.
    answered_by: HashMap<u64, (u64, u32)>,
}

/// The result of checking one pick.
#[derive(Default)]
pub struct PickCheck {
    /// Share of the allowed exposure in use, where a cap applies; 1 is the limit.
    pub cap_used: Option<f64>,
    /// Descriptions of the breaches found.
    pub breaches: Vec<String>,
}

fn drop_before(times: &mut VecDeque<u64>, before: u64) {
    while times.front().is_some_and(|&t| t < before) {
        times.pop_front();
    }
}

impl Exposure {
    /// Records that the marshal accepted an RPC.
    pub fn record_rpc(&mut self, now: u64, slot: usize) {
        self.accepted.entry(slot).or_default().push_back(now);
    }

    /// Records the rollout state that the controller sent to the marshal.
    pub fn record_rollout(&mut self, now: u64, law: &Limits, (build, stage, course, cap): StageState) {
        let cap = if matches!(course, RolloutState::GoingBack | RolloutState::Withdrawn) { 0.0 } else { cap };
        if let Some((old, _, _, old_cap)) = self.rollout.filter(|n| n.0 == build && n.3 > cap) {
            self.previous_cap = Some((now + law.drain_grace_us, old_cap));
            self.counted_from.insert(old, now + law.drain_grace_us);
        }
        self.rollout = Some((build, stage, course, cap));
    }

    /// Records that a build answered an RPC with this key.
    pub fn record_answer(&mut self, now: u64, key: u64, build: u32) {
        let known = self.answered_by.get(&key).copied().filter(|c| c.1 >= build);
        self.answered_by.insert(key, known.unwrap_or((now, build)));
    }

    /// Checks one pick that the marshal sent to a node of this build.
    pub fn check_pick(
        &mut self, now: u64, law: &Limits, (build, slot): (u32, usize), method: &Method, key: u64,
    ) -> PickCheck {
        let mut check = PickCheck::default();
        let Some((newest, stage, course, current_cap)) = self.rollout else { return check };
        let sent = self.sent.entry((build, slot)).or_default();
        sent.push_back(now);
        // Nodes and clients see the same event at slightly different times. In the marshal's favour, picks are
        // counted over a window shortened by the slack and RPCs over one lengthened by it.
        let lookback = law.window_us + law.slack_us;
        drop_before(sent, now.saturating_sub(lookback));
        let accepted = self.accepted.entry(slot).or_default();
        drop_before(accepted, now.saturating_sub(lookback));
        let (stage, mut cap) = match build {
            b if b > newest => (0, law.first_cap),
            b if b == newest && course != RolloutState::Released => (stage, current_cap),
            _ => {
                let answered_by =
                    self.answered_by.get(&key).filter(|c| build < c.1 && now > c.0 + law.slack_us);
                let binds = matches!(course, RolloutState::OnTrial | RolloutState::Released);
                if answered_by.is_some() && binds {
                    check
                        .breaches
                        .push(format!("key {key}, which a later build answered, went to build {build}"));
                }
                return check;
            }
        };
        if let Some((_, old_cap)) = self.previous_cap.filter(|l| now <= l.0 + law.slack_us) {
            cap = cap.max(old_cap);
        }
        let from = self.counted_from.get(&build).copied().unwrap_or(0);
        let from = from.max((now + law.slack_us).saturating_sub(law.window_us));
        let used = sent.iter().filter(|&&t| t >= from).count() as f64;
        let allowed = law.free + cap * accepted.len() as f64;
        check.cap_used = Some(used / allowed.max(1.0));
        if cap <= 0.0 {
            check.breaches.push(format!("build {build} got an RPC at cap 0"));
        } else if used > allowed {
            check.breaches.push(format!(
                "build {build} got {used} RPCs in the window of a marshal where {allowed:.1} are allowed"
            ));
        }
        if stage < law.guarded && method.repeat != Repeat::Idempotent {
            check
                .breaches
                .push(format!("build {build} got {} in stage {stage}, which is guarded", method.name));
        }
        check
    }

    /// Drops times that lie before every window.
    pub fn drop_expired(&mut self, now: u64, law: &Limits) {
        let before = now.saturating_sub(law.window_us + law.slack_us);
        self.accepted.values_mut().chain(self.sent.values_mut()).for_each(|times| drop_before(times, before));
    }
}
