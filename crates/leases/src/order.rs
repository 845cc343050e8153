//! The order of a group's marshals, which every marshal computes alike without communication.

use crate::MemberIndex;

/// A hash that is the same in every version; spreads the leaders of different groups over the marshals.
fn rank_hash(group: u64, number: MemberIndex) -> u64 {
    let mut x = group << 32 ^ u64::from(number) ^ 0x9e37_79b9_7f4a_7c15;
    for _ in 0..3 {
        x = (x ^ x >> 31).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    x ^ x >> 29
}

/// Sorts the marshals into this group's order.
pub fn order(group: u64, marshals: &[MemberIndex]) -> Vec<MemberIndex> {
    let mut sorted = marshals.to_vec();
    sorted.sort_by_key(|n| (rank_hash(group, *n), *n));
    sorted
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_marshals_agree_on_the_order_which_differs_between_groups() {
        let marshals: Vec<MemberIndex> = (0..40).collect();
        let reversed: Vec<MemberIndex> = marshals.iter().rev().copied().collect();
        assert_eq!(order(3, &marshals), order(3, &reversed));
        let leaders: std::collections::BTreeSet<MemberIndex> =
            (0..20).map(|g| order(g, &marshals)[0]).collect();
        assert!(leaders.len() > 8, "{leaders:?}");
        // Different program versions must agree: this order must never change.
        assert_eq!(order(1, &[0, 1, 2, 3]), [1, 3, 0, 2]);
    }
}
