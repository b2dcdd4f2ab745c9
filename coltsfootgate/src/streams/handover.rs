//! Delivers the records of streams to the instances that keep them, now or after a change of the instances.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_util::future::join_all;
use log::{debug, info};
use monoio::time::sleep;

use coltsfootgate_core::prelude::InstanceId;
use coltsfootgate_core::stream::{
    KEEPERS, RecordCopy, RecordHolders, STREAM_GROUPS, StreamGroup, stream_group,
};
use coltsfootgate_wire::PeerRequest;

use super::StreamRegister;
use crate::clock;

/// Time limit for delivering a record.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of attempts to deliver the record of a new stream.
const DELIVERY_ATTEMPTS: usize = 3;
/// Pause after failed deliveries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Number of records that are passed on to an instance at the same time.
const BATCH_RECORDS: usize = 16;
/// Pause between two batches, which leaves instances with a small share of a processor time for requests.
const BATCH_PAUSE: Duration = Duration::from_millis(16);

/// Counts deliveries that have not ended; clones share the same count.
#[derive(Clone, Debug, Default)]
pub(super) struct DeliveryCount(Rc<Cell<usize>>);

/// Counts a delivery as open until it is dropped.
struct OpenDelivery(DeliveryCount);

impl DeliveryCount {
    fn open(&self) -> OpenDelivery {
        self.0.set(self.0.get() + 1);
        OpenDelivery(self.clone())
    }
}

impl Drop for OpenDelivery {
    fn drop(&mut self) {
        let DeliveryCount(count) = &self.0;
        count.set(count.get() - 1);
    }
}

impl StreamRegister {
    /// Whether an instance that may have to keep records from here does not have them all yet.
    ///
    /// While no other instance is live, that is one which the platform lists and which was not heard yet.
    pub fn has_open_deliveries(&self) -> bool {
        if self.0.deliveries.0.get() > 0 {
            return true;
        }
        let holders = self.0.holders.borrow();
        let is_successor_expected = holders.live.is_empty() && !holders.is_complete;
        is_successor_expected && !self.0.book.borrow().is_empty()
    }

    /// Delivers the record of a new stream to those that keep it; reports each acknowledgement.
    pub(super) async fn deliver_new(self, copy: RecordCopy, acknowledged: UnboundedSender<()>) {
        let _open = self.0.deliveries.open();
        self.deliver(&copy, &acknowledged).await;
    }

    /// Delivers a record to as many instances as keep one, in place of some that fail to others that are asked for
    /// it; returns how many have it.
    async fn deliver(&self, copy: &RecordCopy, acknowledged: &UnboundedSender<()>) -> usize {
        let group = stream_group(&copy.key);
        let (mut reached, mut failed) = (Vec::new(), Vec::new());
        let mut attempts = 1;
        while reached.len() < KEEPERS && clock::now() < copy.expires {
            let mut targets = self.0.holders.borrow().candidates(group, &self.0.own);
            targets.retain(|target| !reached.contains(target) && !failed.contains(target));
            targets.truncate(KEEPERS - reached.len());
            if targets.is_empty() {
                // What only a leaving instance has would end with it.
                let is_urgent = reached.is_empty() && self.is_leaving();
                if failed.is_empty() || (attempts >= DELIVERY_ATTEMPTS && !is_urgent) {
                    break;
                }
                sleep(RETRY_PAUSE).await;
                attempts += 1;
                failed.clear();
            }
            let sends = targets.iter().map(|target| async {
                let is_delivered = self.send_copy(target, copy).await;
                // Fails once another instance has acknowledged the record.
                is_delivered.then(|| drop(acknowledged.unbounded_send(())));
                is_delivered
            });
            for (is_delivered, target) in join_all(sends).await.into_iter().zip(targets.clone()) {
                if is_delivered { reached.push(target) } else { failed.push(target) }
            }
        }
        reached.len()
    }

    /// Delivers all records of this instance, which is leaving.
    async fn hand_over_all(self) {
        let _open = self.0.deliveries.open();
        let all: Vec<StreamGroup> = (0..STREAM_GROUPS).collect();
        let copies = self.0.book.borrow().copies(&all, clock::now());
        let (unheard, _) = unbounded();
        let mut delivered = 0;
        for batch in copies.chunks(BATCH_RECORDS) {
            let reached = join_all(batch.iter().map(|copy| self.deliver(copy, &unheard))).await;
            delivered += reached.into_iter().filter(|count| *count > 0).count();
            sleep(BATCH_PAUSE).await;
        }
        info!("handed over {delivered} of {} records of streams before leaving", copies.len());
    }

    /// Keeps a record of another instance. Passes it on if that instance has not noticed yet that others keep the
    /// records of its group from now on.
    pub fn receive(&self, from: &InstanceId, copy: RecordCopy) {
        if !self.keep(copy.clone()) {
            return;
        }
        let (holders, group) = (self.0.holders.borrow(), stream_group(&copy.key));
        if holders.is_target(group, &self.0.own) {
            return;
        }
        for keeper in holders.keepers(group).into_iter().filter(|keeper| keeper != from) {
            monoio::spawn(self.clone().pass_on(keeper, vec![copy.clone()]));
        }
    }

    /// Replaces the instances that hold records, and passes records on to those that keep them from now on.
    pub(super) fn set_holders(&self, holders: RecordHolders) {
        let earlier = self.0.holders.replace(holders);
        let holders = self.0.holders.borrow();
        if *holders == earlier || self.0.book.borrow().is_empty() {
            return;
        }
        if self.is_leaving() && !earlier.leaving.contains(&self.0.own) {
            monoio::spawn(self.clone().hand_over_all());
            return;
        }
        let mut groups: BTreeMap<InstanceId, Vec<StreamGroup>> = BTreeMap::new();
        for group in 0..STREAM_GROUPS {
            for instance in holders.successors(&earlier, group, &self.0.own) {
                groups.entry(instance).or_default().push(group);
            }
        }
        for (instance, groups) in groups {
            self.hand_over(instance, &groups);
        }
    }

    /// Passes on the records that an instance keeps and has lost in a restart.
    pub(super) fn restore(&self, restarted: &InstanceId) {
        let holders = self.0.holders.borrow();
        let is_restored = |group: &_| holders.replaces_records(*group, restarted, &self.0.own);
        let groups: Vec<StreamGroup> = (0..STREAM_GROUPS).filter(is_restored).collect();
        self.hand_over(restarted.clone(), &groups);
    }

    fn hand_over(&self, instance: InstanceId, groups: &[StreamGroup]) {
        let copies = self.0.book.borrow().copies(groups, clock::now());
        if !copies.is_empty() {
            monoio::spawn(self.clone().pass_on(instance, copies));
        }
    }

    /// Passes records on to an instance until it has them all, or does not keep them any more.
    async fn pass_on(self, instance: InstanceId, mut copies: Vec<RecordCopy>) {
        let _open = self.0.deliveries.open();
        let (count, mut passed) = (copies.len(), 0);
        while !copies.is_empty() {
            let batch = copies.split_off(copies.len().saturating_sub(BATCH_RECORDS));
            let sends = batch.iter().map(|copy| self.send_copy(&instance, copy));
            let results = join_all(sends).await;
            let is_failed = results.contains(&false);
            passed += results.iter().filter(|is_delivered| **is_delivered).count();
            let failed = batch.into_iter().zip(results).filter(|(_, is_delivered)| !is_delivered);
            copies.extend(failed.map(|(copy, _)| copy));
            if !copies.is_empty() {
                sleep(if is_failed { RETRY_PAUSE } else { BATCH_PAUSE }).await;
                copies.retain(|copy| self.is_kept_by(&instance, copy));
            }
        }
        info!("passed {passed} of {count} records of streams on to {instance}");
    }

    fn is_leaving(&self) -> bool {
        self.0.holders.borrow().leaving.contains(&self.0.own)
    }

    fn is_kept_by(&self, instance: &InstanceId, copy: &RecordCopy) -> bool {
        let holders = self.0.holders.borrow();
        clock::now() < copy.expires && holders.keeps(stream_group(&copy.key), instance)
    }

    /// Sends a record to an instance; returns whether it was acknowledged.
    async fn send_copy(&self, instance: &InstanceId, copy: &RecordCopy) -> bool {
        let RecordCopy { key, origin, expires } = copy.clone();
        let request = PeerRequest::RecordStream { key, origin, expires };
        let sent = self.0.peers.call(instance, request, clock::now() + DELIVERY_TIMEOUT).await;
        if let Err(error) = &sent {
            debug!("could not record a stream at {instance}: {}", error.name());
        }
        sent.is_ok()
    }
}
