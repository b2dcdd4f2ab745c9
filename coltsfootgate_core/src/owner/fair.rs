//! Weighted fair queueing of requests among customers.

use std::collections::{BTreeSet, HashMap};

use crate::ids::CustomerId;

/// Sequence number of a request by arrival at one owner.
pub type ArrivalNumber = u64;

/// Virtual time, which advances by the estimated tokens divided by the customer's weight.
type VirtualTime = u64;

/// Units of virtual time per token of a customer with weight 1.
const UNITS_PER_TOKEN: f64 = 1024.0;
/// Lower bound on a customer's weight, which avoids a division by zero.
const WEIGHT_MIN: f64 = 0.001;

/// Start-time fair queueing among customers; first in, first out within each customer.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    customers: HashMap<CustomerId, CustomerQueue>,
    /// Customers with waiting requests, by the virtual start time of their next one.
    active: BTreeSet<(VirtualTime, CustomerId)>,
    /// Customers without waiting requests, by the virtual end time of their last one.
    idle: BTreeSet<(VirtualTime, CustomerId)>,
    arrivals: BTreeSet<ArrivalNumber>,
    now: VirtualTime,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    start: VirtualTime,
    waiting: BTreeSet<ArrivalNumber>,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// The waiting request that arrived last.
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
        let queue = self.customers.entry(customer.clone()).or_default();
        if queue.waiting.is_empty() {
            self.idle.remove(&(queue.start, customer.clone()));
            queue.start = queue.start.max(self.now);
            self.active.insert((queue.start, customer.clone()));
        }
        queue.waiting.insert(arrival);
    }

    /// Removes a request without charging its customer.
    pub fn remove(&mut self, customer: &CustomerId, arrival: ArrivalNumber) {
        let Some(queue) = self.customers.get_mut(customer) else { return };
        if !queue.waiting.remove(&arrival) {
            return;
        }
        self.arrivals.remove(&arrival);
        if queue.waiting.is_empty() {
            self.active.remove(&(queue.start, customer.clone()));
            self.idle.insert((queue.start, customer.clone()));
        }
    }

    /// Charges a customer for a granted request.
    pub fn charge(&mut self, customer: &CustomerId, tokens: u32, weight: f64) {
        let Some(queue) = self.customers.get_mut(customer) else { return };
        let old = (queue.start, customer.clone());
        self.now = self.now.max(queue.start);
        queue.start = queue.start.saturating_add(virtual_cost(tokens, weight));
        let new = (queue.start, customer.clone());
        if self.active.remove(&old) {
            self.active.insert(new);
        } else if self.idle.remove(&old) {
            self.idle.insert(new);
        }
        self.prune_idle();
    }

    /// Removes idle customers whose virtual end time has passed, so that their past service no
    /// longer delays them.
    fn prune_idle(&mut self) {
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
    let cost = f64::from(tokens.max(1)) * UNITS_PER_TOKEN / weight.max(WEIGHT_MIN);
    cost as VirtualTime
}
