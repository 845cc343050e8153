//! What peers tell one another: the codec of their counts, and who tells whom.

use super::*;

/// No wire carries more questions than these with their head: a text's length is a u16 at the bench, and 256 bytes (14
/// methods) among marshals. Where more are known, nothing is written.
pub const MOST_QUESTIONS: usize = (u16::MAX as usize - 4) / 8;

/// Counts for peers: the build, whether it gets nothing, the level, then four counts a question, scaled to
/// fit where they are many. Loss and repetition do no harm.
pub fn write_pairs(build: Build, abstains: bool, level: u32, pairs: &[Pair]) -> Vec<u8> {
    let counts = || pairs.iter().flatten().flat_map(|t| [t.n, t.good]);
    let scale = (65535.0 / counts().fold(1.0, f64::max)).min(1.0);
    let head = [build as u16, u16::from(abstains) + 2 * level as u16];
    let words = head.into_iter().chain(counts().map(|x| (x.max(0.0) * scale) as u16));
    words.flat_map(u16::to_le_bytes).collect()
}

pub fn read_pairs(text: &[u8]) -> Option<(Build, bool, u32, Vec<Pair>)> {
    let words: Vec<u16> = text.chunks_exact(2).map(|b| u16::from_le_bytes([b[0], b[1]])).collect();
    let [build, head, counts @ ..] = &words[..] else { return None };
    let tally = |n: u16, good: u16| Tally { n: n.into(), good: good.min(n).into() };
    let pairs = counts.chunks_exact(4).map(|w| [tally(w[0], w[1]), tally(w[2], w[3])]);
    Some(((*build).into(), head % 2 != 0, (head / 2).into(), pairs.collect()))
}

/// Rings of rings: as few levels as let each marshal tell few others, at any number of marshals.
pub fn rings(law: &Charter, most: usize) -> (usize, u32) {
    let levels = ((law.marshals.ln() / (most as f64).ln()).ceil()).max(1.0);
    ((law.marshals.powf(1.0 / levels) + 1e-6) as usize, levels as u32)
}

/// A question, and new beside old, for the log.
pub fn beside(question: usize, [new, old]: &Pair) -> String {
    let (n, o) = ((new.good, new.n), (old.good, old.n));
    format!(", question {question}: {:.0}/{:.0} beside {:.0}/{:.0}", n.0, n.1, o.0, o.1)
}
