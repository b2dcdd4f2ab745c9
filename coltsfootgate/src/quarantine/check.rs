//! Finds out whether an endpoint whose connections were lost has crashed.

use std::collections::HashMap;
use std::time::Duration;

use monoio::time::sleep;

use coltsfootgate_core::prelude::EndpointId;
use coltsfootgate_core::quarantine::{CrashReport, LostRequest};

use super::{LostAttempt, QuarantineHandle, QuarantineMessage};
use crate::endpoint::{EndpointAccess, EndpointReach};

/// Delay of the check, in which further requests on the same endpoint may be lost.
const CHECK_DELAY: Duration = Duration::from_millis(5);

/// The lost requests of endpoints that are being checked.
pub(super) struct CrashChecks {
    access: EndpointAccess,
    lost: HashMap<EndpointId, CrashReport>,
}

impl CrashChecks {
    /// Creates the checks, without any.
    pub(super) fn new(access: EndpointAccess) -> Self {
        Self { access, lost: HashMap::new() }
    }

    /// Adds a lost request; starts a check of its endpoint unless one is running.
    pub(super) fn add(&mut self, attempt: LostAttempt, quarantine: &QuarantineHandle) {
        let LostAttempt { pool, endpoint, address, causes, sent_at } = attempt;
        let is_running = self.lost.contains_key(&endpoint);
        let report = self.lost.entry(endpoint.clone()).or_insert_with(|| CrashReport {
            pool: pool.clone(),
            endpoint: endpoint.clone(),
            lost: Vec::new(),
            crashed_at: None,
        });
        report.lost.push(LostRequest { causes, sent_at });
        if is_running {
            return;
        }
        let (quarantine, access) = (quarantine.clone(), self.access.clone());
        monoio::spawn(async move {
            sleep(CHECK_DELAY).await;
            let reach = access.find_reach(&pool, &endpoint, &address).await;
            let has_crashed = reach == EndpointReach::Unreached;
            quarantine.send(QuarantineMessage::Checked { endpoint, has_crashed });
        });
    }

    /// Ends the check of an endpoint and returns the requests that were lost on it.
    pub(super) fn finish(&mut self, endpoint: &EndpointId) -> Option<CrashReport> {
        self.lost.remove(endpoint)
    }
}
