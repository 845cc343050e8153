//! An immutable list of names with lookup in both directions: index to name and name to index.

#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

/// Names stored in one string, with a sorted index for binary search: 12 bytes per name besides its text, and no
/// choice of names can degrade lookups. Clones share the data.
#[derive(Clone, Default)]
pub struct Names(Arc<Held>);

#[derive(Default)]
struct Held {
    text: String,
    /// End offset of each name in `text`.
    ends: Vec<usize>,
    /// Indices sorted by name, equal names by index. `u32` suffices: no config has four billion names.
    order: Vec<u32>,
}

impl Held {
    fn get(&self, at: usize) -> &str {
        let start = at.checked_sub(1).map_or(0, |before| self.ends[before]);
        &self.text[start..self.ends[at]]
    }
}

fn compare(a: &str, b: &str) -> Ordering {
    #[cfg(test)]
    tests::count();
    a.cmp(b)
}

impl Names {
    pub fn len(&self) -> usize {
        self.0.ends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn get(&self, at: usize) -> Option<&str> {
        (at < self.len()).then(|| self.0.get(at))
    }

    pub fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).map(|at| self.0.get(at))
    }

    /// Returns the index of a name, the lowest one if it occurs several times.
    pub fn find(&self, name: &str) -> Option<usize> {
        let order = &self.0.order;
        let at = order.partition_point(|&i| compare(self.0.get(i as usize), name).is_lt());
        order.get(at).map(|&i| i as usize).filter(|&i| self.0.get(i) == name)
    }

    /// Appends the names of `more` that are not in this list. Returns the merged list and the index in it of each name of
    /// `more`.
    pub fn with(&self, more: &Names) -> (Names, Vec<usize>) {
        let mut fresh = Vec::new();
        let mut places: Vec<usize> = Vec::with_capacity(more.len());
        for (i, name) in more.iter().enumerate() {
            let twice = || more.find(name).filter(|first| *first < i).map(|first| places[first]);
            let place = self.find(name).or_else(twice).unwrap_or_else(|| {
                fresh.push(name);
                self.len() + fresh.len() - 1
            });
            places.push(place);
        }
        if fresh.is_empty() {
            return (self.clone(), places);
        }
        (self.iter().chain(fresh).collect(), places)
    }
}

impl<S: AsRef<str>> FromIterator<S> for Names {
    fn from_iter<I: IntoIterator<Item = S>>(names: I) -> Names {
        let mut held = Held::default();
        for name in names {
            held.text.push_str(name.as_ref());
            held.ends.push(held.text.len());
        }
        held.text.shrink_to_fit();
        held.ends.shrink_to_fit();
        let mut order: Vec<u32> = (0..held.ends.len() as u32).collect();
        order.sort_by(|&a, &b| compare(held.get(a as usize), held.get(b as usize)));
        held.order = order;
        Names(Arc::new(held))
    }
}

impl fmt::Debug for Names {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter()).finish()
    }
}

impl<const N: usize> PartialEq<[&str; N]> for Names {
    fn eq(&self, other: &[&str; N]) -> bool {
        self.iter().eq(other.iter().copied())
    }
}
