//! When to call discovery for the node list, where calls are needed.
//!
//! A failed call is retried until discovery itself has answered: only [`ListUpdate::Full`] and
//! [`ListUpdate::Delta`] are its answers. Updates made by the marshal ([`ListUpdate::Local`],
//! [`ListUpdate::Cached`]) never end the retries. Where the watch gives signs of life, one that gives none in
//! time counts as failed, whatever its connection looks like.
//!
//! Discovery handles calls one after another. If marshals lose their watches together and retry quickly, its
//! queue grows so long that every call times out before its turn: each still costs a turn, and none is
//! answered. Retries are therefore spread widely.

use super::*;

/// The first call after the start, where a list is known from before, is made within this many seconds.
const FIRST_CALL_WITHIN_SECS: f64 = 2.5;

/// The first retry after a failure is made after a random number of seconds in this range.
const FIRST_RETRY_SECS: [f64; 2] = [0.5, 2.9];

/// Range in seconds of each later retry: with 2 s in the queue, each marshal of a fleet makes one call per
/// 4.25 s.
const LATER_RETRY_SECS: [f64; 2] = [0.5, 4.0];

/// Where calls are not queued, the first retry is made within this many base pauses
/// (`Config::call_pause_secs`). The delay is drawn between half and all of that: marshals that started
/// together were also refused together.
const UNQUEUED_RETRY_PAUSES: f64 = 0.4;
/// Factor by which that delay grows with each further failure.
const UNQUEUED_RETRY_GROWTH: f64 = 2.0;
/// Failures in a row up to which that delay grows.
const MAX_BACKOFF_FAILURES: u32 = 3;

/// A watch counts as failed this long after its sign of life was due.
const SIGN_GRACE: Duration = ms(1000);

/// A call with neither an answer nor a reported failure is repeated after this many base pauses.
const UNANSWERED_CALL_PAUSES: f64 = 4.0;

impl DiscoveryClient {
    /// Handles one message.
    pub fn handle(&mut self, message: Message, ctx: &mut Context) {
        let Some(pause) = ctx.config.call_pause_secs else { return };
        match message {
            Message::Event(Event::Nodes { update: ListUpdate::Failed, .. }) => {
                (self.subscribed, self.failures) = (false, self.failures.saturating_add(1));
                self.next_call = ctx.now + self.retry_delay(pause, ctx);
            }
            Message::Event(Event::Nodes { update: ListUpdate::Full | ListUpdate::Delta, .. }) => {
                self.answered()
            }
            Message::Event(Event::Discovery(DiscoverySignal::Confirmed { next_within, .. })) => {
                self.answered();
                self.sign_due = Some(ctx.now + next_within);
            }
            Message::Tick
                if self.subscribed && self.sign_due.is_some_and(|due| ctx.now > due + SIGN_GRACE) =>
            {
                ctx.actions.push(Action::Log(
                    "node list watch gave no sign of life in time; subscribing again".to_owned(),
                ));
                self.subscribed = false;
            }
            Message::Tick
                if ctx.lease.is_bounded() && !std::mem::replace(&mut self.first_call_planned, true) =>
            {
                self.next_call = ctx.now + Self::random_delay([0.0, FIRST_CALL_WITHIN_SECS], ctx);
            }
            Message::Tick if !self.subscribed && (ctx.now >= self.next_call || self.knows_nothing(ctx)) => {
                self.call_made = true;
                self.next_call = ctx.now + Self::limited_delay(UNANSWERED_CALL_PAUSES * pause, ctx);
                ctx.actions.push(Action::Subscribe(true));
            }
            _ => {}
        }
    }

    /// The delay between a failure and the next call; `pause` is the base pause in seconds. It is shorter
    /// where a refusal comes at once and costs discovery nothing, as in the simulator, than where calls are
    /// queued.
    fn retry_delay(&self, pause: f64, ctx: &Context) -> Duration {
        if ctx.lease.is_bounded() {
            return Self::random_delay(
                if self.failures == 1 { FIRST_RETRY_SECS } else { LATER_RETRY_SECS },
                ctx,
            );
        }
        let part = 0.5 + 0.5 * random_unit(ctx.config.seed, ctx.now.as_nanos() as u64);
        let growth_steps = self.failures.min(MAX_BACKOFF_FAILURES) as i32 - 1;
        Self::limited_delay(
            UNQUEUED_RETRY_PAUSES * pause * UNQUEUED_RETRY_GROWTH.powi(growth_steps) * part,
            ctx,
        )
    }

    /// Whether no call has been made and no node is known from before, so that there is nothing to serve with
    /// meanwhile.
    fn knows_nothing(&self, ctx: &Context) -> bool {
        !self.call_made && ctx.listed.is_empty()
    }

    /// Records that discovery has answered.
    fn answered(&mut self) {
        (self.subscribed, self.failures) = (true, 0);
    }

    /// A random delay in this range of seconds.
    fn random_delay([min_secs, max_secs]: [f64; 2], ctx: &Context) -> Duration {
        let part = random_unit(ctx.config.seed, ctx.now.as_nanos() as u64);
        Self::limited_delay(min_secs + (max_secs - min_secs) * part, ctx)
    }

    /// A delay of this many seconds, limited to half of the longest allowed time without a call.
    fn limited_delay(seconds: f64, ctx: &Context) -> Duration {
        secs(seconds).min(ctx.config.max_call_gap / 2)
    }
}
