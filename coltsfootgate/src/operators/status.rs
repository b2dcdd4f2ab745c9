//! Status and readiness of the daemon, as shown to operators.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Debug, Display, Formatter};
use std::rc::Rc;

use serde_json::{Map, Value};

/// Builds one member of the status.
type StatusSection = Box<dyn Fn() -> Value>;

/// The sections of the status; clones share the same sections.
#[derive(Clone, Default)]
pub struct StatusRegistry(Rc<RefCell<BTreeMap<&'static str, StatusSection>>>);

impl StatusRegistry {
    /// Adds a member to the status, which is built again for each request.
    pub fn add(&self, name: &'static str, section: impl Fn() -> Value + 'static) {
        self.0.borrow_mut().insert(name, Box::new(section));
    }

    /// Builds the status, a JSON object with a member for each section.
    pub fn to_json(&self) -> Value {
        let sections = self.0.borrow();
        let members = sections.iter().map(|(name, section)| ((*name).to_owned(), section()));
        Value::Object(members.collect::<Map<_, _>>())
    }
}

impl Debug for StatusRegistry {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.0.borrow().keys()).finish()
    }
}

/// Why an instance is not ready for requests of callers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum UnreadyCause {
    /// No settings tree is in force, or the one in force may not be the newest.
    NoTree,
    /// The list of endpoints has not been read yet.
    NoEndpoints,
    /// The instance is shutting down.
    Leaving,
}

impl Display for UnreadyCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoTree => "no tree of settings that is known to be current",
            Self::NoEndpoints => "the list of endpoints was not read yet",
            Self::Leaving => "shutting down",
        })
    }
}

/// Tracks why the instance is not ready for callers; clones share the same causes.
#[derive(Clone, Debug)]
pub struct ReadinessGate(Rc<RefCell<BTreeSet<UnreadyCause>>>);

impl Default for ReadinessGate {
    fn default() -> Self {
        Self(Rc::new(RefCell::new(BTreeSet::from([UnreadyCause::NoTree]))))
    }
}

impl ReadinessGate {
    /// Adds a cause, which makes the instance unready.
    pub fn set_unready(&self, cause: UnreadyCause) {
        self.0.borrow_mut().insert(cause);
    }

    /// Removes a cause.
    pub fn clear(&self, cause: UnreadyCause) {
        self.0.borrow_mut().remove(&cause);
    }

    /// Whether the instance is ready, that is, whether no cause is set.
    pub fn is_ready(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// The current causes as text; empty if the instance is ready.
    pub fn causes(&self) -> String {
        let causes: Vec<_> = self.0.borrow().iter().map(ToString::to_string).collect();
        causes.join(", ")
    }
}
