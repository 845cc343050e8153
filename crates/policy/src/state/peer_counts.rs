//! The counts that peers exchange: their encoding, and which marshals exchange them.

use super::*;

/// The maximum number of questions in a message with its head: the bench's wire has a u16 text length, and
/// between marshals 256 bytes (14 methods) fit. With more questions nothing is encoded.
pub const MAX_QUESTIONS: usize = (u16::MAX as usize - 4) / 8;

/// Encodes counts for peers as little-endian u16 words: the build, then whether this marshal abstains from it
/// (lowest bit) and the level, then four counts per question: all and good outcomes, of the new arm and of
/// the older arm. Large counts are scaled down together. Losing or repeating a message does no harm.
pub fn encode_counts(build: Build, abstains: bool, level: u32, pairs: &[ArmPair]) -> Vec<u8> {
    let counts = || pairs.iter().flatten().flat_map(|t| [t.count, t.good]);
    let scale = (65535.0 / counts().fold(1.0, f64::max)).min(1.0);
    let head = [build as u16, u16::from(abstains) + 2 * level as u16];
    let words = head.into_iter().chain(counts().map(|x| (x.max(0.0) * scale) as u16));
    words.flat_map(u16::to_le_bytes).collect()
}

/// Decodes the build, whether the sender abstains from it, the level, and the pairs; none if even the build
/// and the level are missing.
pub fn decode_counts(payload: &[u8]) -> Option<(Build, bool, u32, Vec<ArmPair>)> {
    let words: Vec<u16> = payload.chunks_exact(2).map(|b| u16::from_le_bytes([b[0], b[1]])).collect();
    let [build, head, counts @ ..] = &words[..] else { return None };
    let tally = |n: u16, good: u16| Tally { count: n.into(), good: good.min(n).into() };
    let pairs = counts.chunks_exact(4).map(|w| [tally(w[0], w[1]), tally(w[2], w[3])]);
    Some(((*build).into(), head % 2 != 0, (head / 2).into(), pairs.collect()))
}

/// Number of marshals in a ring, and number of levels, for nested rings that cover about all marshals: as few
/// levels as keep a ring within `max_ring_size` marshals.
pub fn ring_layout(config: &Config, max_ring_size: usize) -> (usize, u32) {
    let levels = ((config.marshals.ln() / (max_ring_size as f64).ln()).ceil()).max(1.0);
    ((config.marshals.powf(1.0 / levels) + 1e-6) as usize, levels as u32)
}

/// Describes a question for the log, as good/all outcomes of the new arm beside those of the older arm.
pub fn describe_pair(question: usize, [new, old]: &ArmPair) -> String {
    let (n, o) = ((new.good, new.count), (old.good, old.count));
    format!(", question {question}: {:.0}/{:.0} beside {:.0}/{:.0}", n.0, n.1, o.0, o.1)
}
