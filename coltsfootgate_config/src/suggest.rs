//! Suggests the known key with the spelling most similar to an unknown one.

use crate::error::ConfigFault;

/// The maximum edit distance of a suggested key.
const SUGGESTION_EDITS_MAX: usize = 4;
/// The number of leading characters of a key that are compared, which bounds the cost.
const COMPARED_CHARACTERS_MAX: usize = 64;

impl ConfigFault {
    /// The fault for an unknown key, with the nearest known key as a suggestion.
    pub(crate) fn unknown_key(
        key: &str,
        known: impl IntoIterator<Item = &'static str> + Clone,
    ) -> Self {
        let nearest = nearest_key(key, known.clone());
        let known: Vec<_> = known.into_iter().collect();
        Self::UnknownKey { nearest, known: known.join(", ") }
    }
}

fn nearest_key(key: &str, known: impl IntoIterator<Item = &'static str>) -> Option<&'static str> {
    let key: Vec<_> = key.chars().take(COMPARED_CHARACTERS_MAX).collect();
    let distances = known.into_iter().map(|known| (edit_distance(&key, known), known));
    let (distance, nearest) = distances.min_by_key(|(distance, _)| *distance)?;
    (distance <= SUGGESTION_EDITS_MAX.min(key.len().div_ceil(2))).then_some(nearest)
}

/// The Levenshtein distance between two words.
fn edit_distance(left: &[char], right: &str) -> usize {
    let mut row: Vec<usize> = (0..=left.len()).collect();
    for (right_position, right_character) in right.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = right_position + 1;
        for (left_position, left_character) in left.iter().enumerate() {
            let substituted = diagonal + usize::from(*left_character != right_character);
            diagonal = row[left_position + 1];
            row[left_position + 1] =
                substituted.min(row[left_position] + 1).min(row[left_position + 1] + 1);
        }
    }
    row[left.len()]
}
