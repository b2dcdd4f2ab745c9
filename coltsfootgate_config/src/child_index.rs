//! Finds the child classes that the host and the path of a request allow, without testing each.

use std::collections::HashMap;
use std::sync::Arc;

use crate::class_match::{ClassMatch, RequestAttributes};

/// The children of a class by the hosts and path prefixes that their conditions require.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChildIndex {
    /// The children that require a host, by host in lowercase.
    by_host: HashMap<Arc<str>, PrefixIndex>,
    /// The children that match any host.
    any_host: PrefixIndex,
}

/// Children by the path prefixes that their conditions require.
#[derive(Clone, Debug, Default)]
struct PrefixIndex {
    by_prefix: HashMap<Arc<str>, Vec<usize>>,
    /// Length of the longest prefix in `by_prefix`, in bytes.
    longest: usize,
    /// The children that require no prefix, or one that does not end with `/`.
    others: Vec<usize>,
}

impl ChildIndex {
    /// Adds a child, which comes after those that were added before.
    pub(crate) fn add(&mut self, child: usize, conditions: &ClassMatch) {
        let prefixes = conditions.prefixes();
        let Some(hosts) = conditions.hosts() else {
            self.any_host.add(child, prefixes);
            return;
        };
        for host in hosts {
            let index = self.by_host.entry(host.to_ascii_lowercase().into()).or_default();
            index.add(child, prefixes);
        }
    }

    /// The children that may match a request, in the order in which they were added.
    pub(crate) fn candidates<H: ?Sized>(
        &self,
        attributes: &RequestAttributes<'_, H>,
    ) -> Vec<usize> {
        let path = attributes.path_without_query();
        let mut candidates = Vec::new();
        self.any_host.find(path, &mut candidates);
        let host = attributes.host_name().filter(|_| !self.by_host.is_empty());
        let index = host.and_then(|host| self.by_host.get(host.to_ascii_lowercase().as_str()));
        if let Some(index) = index {
            index.find(path, &mut candidates);
        }
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }
}

impl PrefixIndex {
    fn add(&mut self, child: usize, prefixes: Option<&[Arc<str>]>) {
        let is_indexed = |prefixes: &&[Arc<str>]| prefixes.iter().all(|one| one.ends_with('/'));
        let Some(prefixes) = prefixes.filter(is_indexed) else {
            self.others.push(child);
            return;
        };
        for prefix in prefixes {
            self.longest = self.longest.max(prefix.len());
            self.by_prefix.entry(prefix.clone()).or_default().push(child);
        }
    }

    fn find(&self, path: &str, candidates: &mut Vec<usize>) {
        candidates.extend(&self.others);
        let ends = path.match_indices('/').map(|(start, _)| start + 1);
        for end in ends.take_while(|end| *end <= self.longest) {
            candidates.extend(self.by_prefix.get(&path[..end]).into_iter().flatten());
        }
    }
}
