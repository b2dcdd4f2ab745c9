//! The requests of one tier, shared out among customers by weight.

use std::collections::{BTreeSet, HashMap};

use crate::ids::CustomerId;

/// Position of a request in the order of arrival at one owner.
pub type ArrivalNumber = u64;

/// Virtual time; it advances by estimated tokens divided by the customer's weight.
type VirtualTime = u64;

/// Units of virtual time for one token of a customer with weight 1.
const UNITS_PER_TOKEN: f64 = 1024.0;
/// Smallest weight that is told apart from zero.
const LEAST_WEIGHT: f64 = 0.001;

/// Start-time fair queueing over customers; first in, first out for each of them.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    customers: HashMap<CustomerId, CustomerLine>,
    /// Customers with a waiting request, by the virtual start of their next one.
    active: BTreeSet<(VirtualTime, CustomerId)>,
    /// Customers without one, by the virtual end of their last one.
    idle: BTreeSet<(VirtualTime, CustomerId)>,
    arrivals: BTreeSet<ArrivalNumber>,
    now: VirtualTime,
}

#[derive(Clone, Debug, Default)]
struct CustomerLine {
    start: VirtualTime,
    waiting: BTreeSet<ArrivalNumber>,
}

impl FairQueue {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// The request that arrived last.
    pub fn newest(&self) -> Option<ArrivalNumber> {
        self.arrivals.last().copied()
    }

    /// The request that is served next.
    pub fn first(&self) -> Option<ArrivalNumber> {
        let (_, customer) = self.active.first()?;
        self.customers.get(customer)?.waiting.first().copied()
    }

    /// Adds a waiting request.
    pub fn push(&mut self, customer: &CustomerId, arrival: ArrivalNumber) {
        self.arrivals.insert(arrival);
        let line = self.customers.entry(customer.clone()).or_default();
        if line.waiting.is_empty() {
            self.idle.remove(&(line.start, customer.clone()));
            line.start = line.start.max(self.now);
            self.active.insert((line.start, customer.clone()));
        }
        line.waiting.insert(arrival);
    }

    /// Takes a request out without charging its customer.
    pub fn remove(&mut self, customer: &CustomerId, arrival: ArrivalNumber) {
        let Some(line) = self.customers.get_mut(customer) else { return };
        if !line.waiting.remove(&arrival) {
            return;
        }
        self.arrivals.remove(&arrival);
        if line.waiting.is_empty() {
            self.active.remove(&(line.start, customer.clone()));
            self.idle.insert((line.start, customer.clone()));
        }
    }

    /// Charges a customer for a request that was granted.
    pub fn charge(&mut self, customer: &CustomerId, tokens: u32, weight: f64) {
        let Some(line) = self.customers.get_mut(customer) else { return };
        let old = (line.start, customer.clone());
        self.now = self.now.max(line.start);
        line.start = line.start.saturating_add(virtual_cost(tokens, weight));
        let new = (line.start, customer.clone());
        if self.active.remove(&old) {
            self.active.insert(new);
        } else if self.idle.remove(&old) {
            self.idle.insert(new);
        }
        self.forget_idle();
    }

    /// Drops customers whose past service no longer counts against them.
    fn forget_idle(&mut self) {
        while let Some((end, _)) = self.idle.first() {
            if *end > self.now {
                break;
            }
            if let Some((_, customer)) = self.idle.pop_first() {
                self.customers.remove(&customer);
            }
        }
    }
}

fn virtual_cost(tokens: u32, weight: f64) -> VirtualTime {
    let cost = f64::from(tokens.max(1)) * UNITS_PER_TOKEN / weight.max(LEAST_WEIGHT);
    cost as VirtualTime
}
