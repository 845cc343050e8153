//! Dispatch of RPCs: retries, waiting, and final answers.

use super::*;

/// Seconds over which the rate of ok answers is averaged.
const OK_RATE_WINDOW_SECS: f64 = 3.0;
/// An RPC that gets an error from this many nodes is itself at fault; the repeat that showed it is free.
const BAD_RPC_ERRORS: usize = 2;
/// The recorded keys of the one-way rule are dropped beyond this number, once no earlier node is left.
const MAX_RECORDED_KEYS: usize = 1 << 20;
/// Seconds by which an RPC of mean utility is moved ahead in the waiting order.
const UTILITY_HEAD_START_SECS: f64 = 0.2;
/// A waiting RPC is given up this many usual latencies before its soft deadline.
const GIVE_UP_LATENCIES: f64 = 1.5;

impl Dispatcher {
    /// Handles one message.
    pub fn act(&mut self, note: Message, cx: &mut Context) {
        match note {
            Message::NodeStatus(card) => self.file(card),
            Message::ArmOrder { newest, new_first, starved } => {
                if self.newest != newest {
                    // Marshals start at different credits, so that low-traffic ones do not all try a new
                    // build at the same time.
                    (self.stale, self.due) = (true, [1.0, cx.law.phase]);
                }
                (self.newest, self.new_first, self.starved) = (newest, new_first, starved);
            }
            Message::Event(Event::Rpc { rpc, method, key, left, repeated, .. }) => {
                let duty = &cx.law.duties[method];
                self.gate.taken.entry(method).or_default().push_back(cx.now);
                self.pulse[0] += 1.0;
                let store = RETRY_BUDGET[0] * RETRY_BUDGET[1] * self.pulse[0] / self.pulse[1].max(1.0);
                self.retries += if repeated { 0.0 } else { RETRY_BUDGET[0] };
                self.retries = self.retries.min(store.clamp(RETRY_BUDGET[2], RETRY_BUDGET[3]));
                let slim = self.slim(left.as_secs_f64() / duty.soft, repeated, cx);
                let (soft, until) = (cx.now + secs(duty.soft).min(left), cx.now + left);
                let rank = soft.saturating_sub(secs(UTILITY_HEAD_START_SECS * duty.worth));
                self.rpcs.insert(rpc, Rpc { method, key, soft, until, rank, ..Rpc::default() });
                // Where the build's nodes replaced earlier ones, the remaining nodes must not get more load
                // during an abstention, or the test would show only that: the build's part is pushed back.
                self.spare += if self.starved && cx.law.rehearse.is_none() { self.lent() } else { 0.0 };
                if slim || self.spare >= 1.0 {
                    self.spare -= if slim { 0.0 } else { 1.0 };
                    self.give_up(rpc, cx);
                } else {
                    self.serve(rpc, cx);
                }
            }
            Message::Event(Event::PickEnded { rpc, pick, node, outcome, took, done, .. }) => {
                self.oks += f64::from(u8::from(outcome == Outcome::Ok));
                let NodeEntry { build, kind, zone, .. } = self.cards[node].entry;
                let lost = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::NoConnection);
                if lost || outcome == Outcome::Ok {
                    let took = took.as_secs_f64().max(if lost { cx.law.least_soft } else { 0.0 });
                    let usual =
                        self.groups.entry((kind, zone)).or_insert(INITIAL_LATENCY_PART * cx.law.least_soft);
                    *usual += 0.1 * (took - *usual);
                }
                if outcome == Outcome::Ok && cx.law.exposure.one_way {
                    let left = self.gate.left.get(&rpc).copied();
                    let sent =
                        self.rpcs.get(&rpc).and_then(|r| Some((r.key?, r.picks.get(pick)?.entry.build)));
                    left.or(sent).into_iter().for_each(|(key, sent)| self.gate.cross(key, sent.max(build)));
                }
                self.heed(rpc, outcome, took, cx);
                if let Some(r) = self.rpcs.get_mut(&rpc) {
                    if outcome == Outcome::Ok {
                        self.usual[r.method] += 0.05 * (took.as_secs_f64() - self.usual[r.method]);
                    }
                    if let Some(p) = r.picks.get_mut(pick) {
                        (p.out, p.never_ran, p.erred) =
                            (false, outcome.never_ran(), outcome == Outcome::Error);
                    }
                    r.burnt |= build == self.newest;
                    if done {
                        self.forget(rpc);
                    } else if !r.streaming && r.picks.iter().all(|p| !p.out) {
                        self.again(rpc, outcome.never_ran(), cx);
                    }
                } else {
                    self.gate.left.remove(&rpc);
                }
                self.make_room(took, cx);
                cx.put(DISPATCHER, Message::SendWaiting);
            }
            Message::Event(Event::StreamBegun { rpc, .. }) => {
                self.rpcs.entry(rpc).and_modify(|r| r.streaming = true);
            }
            Message::Event(Event::ClientLeft { rpc }) => {
                // Its pick may still be answered ok, and that build has then answered its key.
                let out = self.rpcs.get(&rpc).and_then(|r| Some((r.key?, r.picks.iter().rfind(|p| p.out)?)));
                self.gate.left.extend(out.map(|(key, pick)| (rpc, (key, pick.entry.build))));
                self.forget(rpc);
            }
            Message::Event(event) => {
                if let Some((news, VoteReply::Unasked | VoteReply::Counts)) = RolloutStatus::read(cx, &event)
                {
                    self.gate.news = Some(news);
                    if news.back() {
                        self.gate.crossed.retain(|_, build| *build != news.build);
                    }
                }
            }
            Message::Tick if cx.now >= self.counted + EVALUATION_INTERVAL => {
                let power = (self.fleet[0] + self.fleet[1]).max(1.0);
                let step = (cx.now - self.counted).as_secs_f64().min(OK_RATE_WINDOW_SECS);
                // If nothing could be sent, nothing was learned; otherwise a fleet of cold nodes only would
                // stay blocked.
                if self.out(cx) + self.oks > 0.0 || !std::mem::take(&mut self.barred) {
                    self.gate.served +=
                        step / OK_RATE_WINDOW_SECS * (self.oks / step / power - self.gate.served);
                }
                (self.oks, self.counted, self.stale) = (0.0, cx.now, true);
                let over = self.gate.news.is_some_and(|n| n.course == Course::Released);
                if over && self.arms[0].is_empty() && self.gate.crossed.len() > MAX_RECORDED_KEYS {
                    self.gate.crossed.clear(); // No earlier node is left that a key could return to.
                }
                self.pulse = self.pulse.map(|x| x * (1.0 - step / SUBSET_SIZING[2]));
                self.pulse[1] += step;
                self.ghosts.retain(|until| cx.now < *until);
                let keep = cx.law.exposure.window.max(cx.law.fall_window) + 2 * EVALUATION_INTERVAL;
                self.gate.forget(cx.now.saturating_sub(keep));
                cx.put(DISPATCHER, Message::SendWaiting);
            }
            Message::Tick | Message::SendWaiting => self.pump(cx),
            _ => {}
        }
    }

    /// Gives up waiting RPCs without time left, and tries to send those that come first.
    fn pump(&mut self, cx: &mut Context) {
        // With an expired node list nothing is sent: waiting RPCs are refused at once.
        let stale = !cx.lease.holds(cx.now);
        let late = |r: &Rpc| stale || cx.now + secs(GIVE_UP_LATENCIES * self.usual[r.method]) > r.soft;
        let hopeless = |w: &&(Duration, RpcIx)| self.rpcs.get(&w.1).is_some_and(late);
        let lost: Vec<RpcIx> = self.waiting.iter().filter(hopeless).map(|w| w.1).collect();
        lost.into_iter().for_each(|rpc| self.give_up(rpc, cx));
        let first: Vec<RpcIx> = self.waiting.iter().take(3).map(|w| w.1).collect();
        if first.into_iter().any(|rpc| self.send(rpc, cx)) {
            cx.put(DISPATCHER, Message::SendWaiting);
        }
    }

    /// Sends an RPC, or queues it if others wait or it cannot be sent now.
    fn serve(&mut self, rpc: RpcIx, cx: &mut Context) {
        if !self.waiting.is_empty() || !self.send(rpc, cx) {
            self.barred = true;
            self.waiting.extend(self.rpcs.get(&rpc).map(|r| (r.rank, rpc)));
            cx.put(DISPATCHER, Message::SendWaiting);
        }
    }

    /// Answers an RPC without an answer of a node: pushed back if a client may safely retry, otherwise
    /// aborted.
    fn give_up(&mut self, rpc: RpcIx, cx: &mut Context) {
        let Some(r) = self.rpcs.get(&rpc) else { return };
        let come_back = secs(2.0 * self.usual[r.method]);
        let retry_after = cx.law.retry_after.map(|most| come_back.min(most));
        let harmless = SendRules::may_push_back(cx, r);
        cx.out.push(if harmless { Action::PushBack { rpc, retry_after } } else { Action::Abort { rpc } });
        self.forget(rpc);
    }

    /// Repeats an RPC after a failed pick, if there is time. Repeats of picks that may have been executed
    /// draw on the retry budget, so that failing nodes or an overload do not cause a retry storm.
    fn again(&mut self, rpc: RpcIx, never_ran: bool, cx: &mut Context) {
        let (r, spent) = (&self.rpcs[&rpc], if never_ran { 0.0 } else { 1.0 });
        let bad = r.picks.iter().filter(|p| p.erred).count() >= BAD_RPC_ERRORS;
        // The RPC gets errors everywhere, or no repeat can show whether it does: its error proves nothing
        // about node or build. Only first picks were recorded.
        let doubted = bad || (self.retries < spent && cx.law.repeatable(r.method));
        if let Some(&Pick { entry, at, .. }) = r.picks.first().filter(|p| p.erred && doubted) {
            cx.put(CANARY_ANALYSIS, Message::ErrorExcused { entry, method: r.method, at });
        }
        self.retries += f64::from(u8::from(bad));
        let in_time = cx.now + secs(0.5 * self.usual[r.method]) < r.until && self.retries >= spent && !bad;
        if in_time && self.cards.iter().any(|c| self.gate.may_repeat(cx, r, &c.entry)) {
            self.retries -= spent;
            self.serve(rpc, cx);
        } else {
            self.give_up(rpc, cx);
        }
    }
}
