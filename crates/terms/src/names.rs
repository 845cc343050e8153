//! Names by index, and indices by name.

#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

/// Names in one piece of text, each by its index, and the order in which they are found by halving: 12 bytes a name
/// beside its letters, and no choice of names makes a lookup longer. Clones share all of it.
#[derive(Clone, Default)]
pub struct Names(Arc<Held>);

#[derive(Default)]
struct Held {
    text: String,
    /// Where each name ends in the text.
    ends: Vec<usize>,
    /// Indices by name, equal ones by index; no file names four billion.
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

    /// The index of a name; the first, where it stands twice.
    pub fn find(&self, name: &str) -> Option<usize> {
        let order = &self.0.order;
        let at = order.partition_point(|&i| compare(self.0.get(i as usize), name).is_lt());
        order.get(at).map(|&i| i as usize).filter(|&i| self.0.get(i) == name)
    }

    /// These names, then those of `more` that are not among them, and the index of each of `more`.
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
