//! What the parts of the daemon tell operators about themselves.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Debug, Display, Formatter};
use std::rc::Rc;

use serde_json::{Map, Value};

/// Describes one part of the daemon when an operator asks.
type StatusSection = Box<dyn Fn() -> Value>;

/// Collects the status of all parts; clones share the same sections.
#[derive(Clone, Default)]
pub struct StatusBoard(Rc<RefCell<BTreeMap<&'static str, StatusSection>>>);

impl StatusBoard {
    /// Adds a member to the status, made anew for each call.
    pub fn add(&self, name: &'static str, section: impl Fn() -> Value + 'static) {
        self.0.borrow_mut().insert(name, Box::new(section));
    }

    /// The status of all parts as one JSON object.
    pub fn status(&self) -> Value {
        let sections = self.0.borrow();
        let members = sections.iter().map(|(name, section)| ((*name).to_owned(), section()));
        Value::Object(members.collect::<Map<_, _>>())
    }
}

impl Debug for StatusBoard {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.0.borrow().keys()).finish()
    }
}

/// Why an instance takes no requests yet or any more.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum UnreadyCause {
    /// No tree of settings is in force, or it may be an old one.
    NoTree,
    /// The list of endpoints was not read yet.
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

/// Tells whether the instance is ready for callers; clones share the same causes.
#[derive(Clone, Debug)]
pub struct ReadinessGate(Rc<RefCell<BTreeSet<UnreadyCause>>>);

impl Default for ReadinessGate {
    fn default() -> Self {
        Self(Rc::new(RefCell::new(BTreeSet::from([UnreadyCause::NoTree]))))
    }
}

impl ReadinessGate {
    /// Makes the instance unready for a cause.
    pub fn close(&self, cause: UnreadyCause) {
        self.0.borrow_mut().insert(cause);
    }

    /// Takes a cause away.
    pub fn open(&self, cause: UnreadyCause) {
        self.0.borrow_mut().remove(&cause);
    }

    /// Whether no cause is left.
    pub fn is_ready(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// The causes that are left, as text; empty if the instance is ready.
    pub fn causes(&self) -> String {
        let causes: Vec<_> = self.0.borrow().iter().map(ToString::to_string).collect();
        causes.join(", ")
    }
}
