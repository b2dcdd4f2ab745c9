//! Reads the decision logs of all instances and finds tier inversions across them.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

/// Reasons of refusals that are due to a lack of capacity.
const CAPACITY_REASONS: &[&str] =
    &["queue-full", "displaced", "deadline-unmeetable", "deadline-passed"];

/// The members of a decision record that the measurement uses.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DecisionLine {
    /// The id of the request.
    pub request_id: String,
    /// The class of the request.
    pub class: Option<String>,
    /// The tier of its class.
    pub tier: Option<u8>,
    /// The pool that it was routed to.
    pub pool: Option<String>,
    /// When it arrived, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// When its last grant was given, in milliseconds since the Unix epoch.
    pub granted_ms: Option<u64>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// How long it waited for grants, in milliseconds.
    pub wait_ms: f64,
    /// Tokens received from endpoints that were of no use to the caller.
    pub wasted_tokens: u64,
    /// Whether a floor granted it before a waiting request of a higher tier.
    pub by_floor: bool,
    /// The reason of each retry.
    pub retries: Vec<String>,
    /// The reason of its outcome.
    pub reason: String,
}

/// Requests refused for lack of capacity although one of a lower tier was granted meanwhile.
#[derive(Clone, Debug, Default)]
pub struct TierInversions {
    /// All inversions.
    pub count: u64,
    /// Inversions in which only floors granted requests of lower tiers.
    pub by_floor: u64,
    /// Inversions by reason and tier of the refusal.
    pub by_refusal: BTreeMap<String, u64>,
    /// The first few inversions that floors don't explain, as pairs of decisions.
    pub examples: Vec<String>,
}

/// Reads the decisions in a JSON log; other lines and unreadable files are skipped.
pub fn read_decisions(path: &Path) -> Vec<DecisionLine> {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<DecisionLine> {
    let line: Value = serde_json::from_str(line).ok()?;
    if line["part"] != "decision" {
        return None;
    }
    serde_json::from_value(line).ok()
}

/// Finds the requests that were refused for lack of capacity although a request of a lower tier was
/// granted in the same pool between their arrival and their refusal.
pub fn find_inversions(decisions: &[DecisionLine]) -> TierInversions {
    let mut grants: BTreeMap<&str, Vec<(u64, &DecisionLine)>> = BTreeMap::new();
    for decision in decisions {
        if let (Some(pool), Some(granted)) = (&decision.pool, decision.granted_ms) {
            grants.entry(pool).or_default().push((granted, decision));
        }
    }
    grants.values_mut().for_each(|grants| grants.sort_by_key(|(granted, _)| *granted));
    let mut inversions = TierInversions::default();
    for refused in decisions {
        let is_refused = CAPACITY_REASONS.contains(&refused.reason.as_str());
        if let (true, Some(pool), Some(tier)) = (is_refused, &refused.pool, refused.tier) {
            let grants = grants.get(pool.as_str()).map_or(&[][..], Vec::as_slice);
            inversions.check(refused, tier, grants);
        }
    }
    inversions
}

impl TierInversions {
    /// Counts an inversion if a request of a lower tier was granted while the refused one waited.
    ///
    /// The grants are those of its pool, ordered by time.
    fn check(&mut self, refused: &DecisionLine, tier: u8, grants: &[(u64, &DecisionLine)]) {
        let start = grants.partition_point(|(granted, _)| *granted <= refused.arrived_ms);
        let end = grants.partition_point(|(granted, _)| *granted < refused.ended_ms);
        let lower_grants = || {
            let meanwhile = grants.get(start..end).unwrap_or_default().iter();
            meanwhile.map(|(_, grant)| *grant).filter(|grant| grant.tier.is_some_and(|t| t > tier))
        };
        let without_floor = lower_grants().find(|grant| !grant.by_floor);
        let Some(example) = without_floor.or_else(|| lower_grants().next()) else {
            return;
        };
        self.count += 1;
        self.by_floor += u64::from(example.by_floor);
        *self.by_refusal.entry(format!("{} tier {tier}", refused.reason)).or_default() += 1;
        if self.examples.len() < 5 && !example.by_floor {
            self.examples.push(format!("{refused:?} after {example:?}"));
        }
    }
}
