//! What answers say of load, and what is sent in a crowd.

use super::*;

/// An RPC with less time than its soft deadline is sent by lot: the square of so many times the part of late
/// picks answered in such time, and never by less than the second figure, or nothing would be learnt.
const ODDS: [f64; 2] = [2.0, 0.05];
/// The fleet is crowded when even this part of the latest answers, the quickest, took this part of their soft
/// deadline (queues delay all alike, far zones, ill nodes only some); how many; the part at clients' repeats.
const CROWDED: [f64; 4] = [0.25, 0.25, 24.0, 0.5];
/// Earlier nodes help in the last stage for this long after room was last cut: a backlog passes meanwhile.
const RELIEF: Duration = ms(6000);
/// Own picks in flight always allowed for each unit of power in this marshal's part of the fleet.
const FAIR: f64 = 2.0;

impl Front {
    /// What a pick's end says of load. One cut short would have taken longer, a full queue takes longest;
    /// what was given up may still stand in a node's queue, and takes room until its soft deadline.
    pub fn heed(&mut self, rpc: RpcIx, outcome: Outcome, took: Duration, cx: &Cx) {
        let soft = self.rpcs.get(&rpc).map_or(cx.law.least_soft, |r| cx.law.duties[r.method].soft);
        let part = took.as_secs_f64() / soft;
        let at = match outcome {
            Outcome::Ok => bin(part),
            Outcome::Full => bin(f64::MAX),
            Outcome::Timeout | Outcome::Cancelled => {
                self.ghosts.push_back(cx.now + secs(soft).saturating_sub(took));
                (bin(part) + 1).min(bin(f64::MAX))
            }
            _ => return,
        };
        self.odds.meet(at, CROWDED[2] / 2.0);
        if part > HASTY || matches!(outcome, Outcome::Ok | Outcome::Full) {
            self.lags.meet(at, CROWDED[2]);
        }
    }

    /// Not worth a pick now, by the time left as a part of its soft deadline. Guards against clients that
    /// leave early and come again at once: in a crowd all nodes would work for them alone. A new RPC of
    /// normal time always passes. May refuse some whose method is quicker than the others.
    pub fn slim(&mut self, left: f64, repeated: bool, cx: &Cx) -> bool {
        let (odds, draw) = (self.odds.upto(bin(left)), lot(cx.law.seed, cx.now.as_nanos() as u64));
        let part = (ODDS[0] * odds.mean()).powi(2).max(ODDS[1]);
        let late = self.lags.edge(CROWDED[3], CROWDED[2] / 6.0).is_some_and(|e| e >= bin(CROWDED[1]));
        // A client that comes again is a repeat like our own, and spends from the same store.
        let paid = !repeated || !late || self.retries >= 1.0;
        let short = left < 1.0 && odds.n >= CROWDED[2] / 6.0 && draw > part;
        self.retries -= f64::from(u8::from(repeated && late && paid && !short));
        short || !paid
    }

    /// Limits own picks in flight, not below this marshal's part of the fleet: with many marshals a node's
    /// queue grows though each has but one pick there. Guards against overload where time-outs stop no work.
    pub fn make_room(&mut self, took: Duration, cx: &mut Cx) {
        let crowded = self.lags.edge(CROWDED[0], CROWDED[2] / 3.0).is_some_and(|e| e >= bin(CROWDED[1]));
        if crowded && cx.now > self.cut + took {
            if self.last_stage(cx) {
                self.relief = cx.now + RELIEF;
                cx.put(JUDGE, Note::Relieved);
            }
            (self.room, self.cut) = ((0.8 * self.out(cx)).max(FAIR * self.fair).max(1.0), cx.now);
        } else if !crowded && self.out(cx) + 2.0 > self.room {
            self.room += 1.0 / self.room;
        }
    }
}
