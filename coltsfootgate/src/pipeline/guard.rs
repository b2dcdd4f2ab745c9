//! Bounds what a request waits for by its deadline and by the end of the process.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_config::RequestBranches;
use coltsfootgate_core::comeback::retry_after_delay;
use coltsfootgate_core::drain::CutCost;
use coltsfootgate_core::prelude::{ClassSettings, ErrorKind};
use futures_util::future::{Either, select};
use monoio::time::{sleep, timeout};

use super::classify::{AnswerForm, ClassifiedRequest};
use super::context::PipelineContext;
use crate::entry::Refusal;
use crate::tree::ActiveTree;

/// The rule of refusals by the end of the process.
pub const GRACE_RULE: &str = "process.grace-time";

/// Time after the deadline in which a stage can still end with a reason of its own.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// The process ends before what was waited for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessEnding;

/// Bounds the waits of one request by its deadline and by the end of the process.
#[derive(Clone)]
pub struct ExchangeGuard<'a> {
    context: &'a PipelineContext,
    class: Arc<ClassSettings>,
    active: Rc<ActiveTree>,
    /// When the request must not be sent any more.
    deadline: Instant,
    /// The time that an answer takes if none of the class was measured.
    target: Duration,
    cut_cost: CutCost,
}

impl<'a> ExchangeGuard<'a> {
    /// Creates the guard of a request.
    pub fn new(context: &'a PipelineContext, request: &ClassifiedRequest) -> Self {
        let class = request.class.clone();
        let target = match request.form {
            AnswerForm::ModelStream | AnswerForm::EventStream => class.first_token,
            AnswerForm::ModelBody | AnswerForm::Service => class.whole_answer,
        };
        let has_parts = !matches!(request.form, AnswerForm::ModelBody | AnswerForm::Service);
        let cut_cost = match request.repeatable || has_parts {
            true => CutCost::Wait,
            false => CutCost::UnknownOutcome,
        };
        let (active, deadline) = (request.active.clone(), request.deadline);
        Self { context, class, active, deadline, target, cut_cost }
    }

    /// Runs a stage in which nothing is sent to an endpoint, until shortly after the deadline and while an answer could
    /// still end in time.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run otherwise.
    pub async fn before_send<T>(&self, stage: impl Future<Output = T>) -> Result<T, Refusal> {
        let (too_late, stage) = (std::pin::pin!(self.too_late()), std::pin::pin!(stage));
        let end_at = self.deadline + DEADLINE_MARGIN;
        let time_left = end_at.saturating_duration_since(Instant::now());
        match timeout(time_left, select(too_late, stage)).await {
            Ok(Either::Left(_)) => Err(self.refusal()),
            Ok(Either::Right((end, _))) => Ok(end),
            Err(_) => Err(self.deadline_refusal()),
        }
    }

    /// The refusal of a request whose deadline passed while it waited, whatever for.
    fn deadline_refusal(&self) -> Refusal {
        let kind = ErrorKind::DeadlinePassed;
        let subjects = RequestBranches { class: Some(&self.class.id), customer: None, pool: None };
        let rule = self.active.tree.rule(Some(kind), subjects);
        Refusal::new(kind, rule.branch, "the request's deadline passed while it was waiting")
    }

    /// The refusal of a request that was not sent, since its answer would not end in time.
    pub fn refusal(&self) -> Refusal {
        let schedule = self.context.shutdown.schedule();
        let time_left = schedule.map(|schedule| schedule.time_left(Instant::now()));
        leaving_refusal(&format!(
            "the instance shuts down: {} ms are left for answers, and the request needs {} ms",
            time_left.unwrap_or_default().as_millis(),
            self.needed_time().as_millis(),
        ))
    }

    /// Runs a stage in which an endpoint may work on the request, until the last answers are due.
    ///
    /// # Errors
    ///
    /// Fails if they are due first.
    pub async fn after_send<T>(&self, stage: impl Future<Output = T>) -> Result<T, ProcessEnding> {
        let due = self.context.shutdown.answers_due();
        match select(std::pin::pin!(stage), std::pin::pin!(due)).await {
            Either::Left((end, _)) => Ok(end),
            Either::Right(_) => Err(ProcessEnding),
        }
    }

    /// Whether an answer ends in time if its request waits for a slot for the time `queue_time`, counted from
    /// `queued_at`.
    pub fn allows_wait(&self, queued_at: Instant, queue_time: Duration) -> bool {
        let Some(schedule) = self.context.shutdown.schedule() else { return true };
        let start = Instant::now().max(queued_at + queue_time);
        schedule.allows_start(start, self.needed_time())
    }

    /// Waits until an answer could no longer end in time.
    async fn too_late(&self) {
        let schedule = self.context.shutdown.started().await;
        let now = Instant::now();
        let time_left = schedule.latest_start(self.needed_time(), now).duration_since(now);
        // A sleep never ends when it is first polled, and a stage may.
        if !time_left.is_zero() {
            sleep(time_left).await;
        }
    }

    /// The time that must be left for the request to be sent.
    fn needed_time(&self) -> Duration {
        let times = self.context.answer_times.borrow();
        times.needed(&self.class.id, self.cut_cost, self.target)
    }
}

/// The refusal of a request that was not sent, and that another instance may serve.
pub fn leaving_refusal(message: &str) -> Refusal {
    let kind = ErrorKind::InstanceLeaving;
    let delay = retry_after_delay(kind, Duration::ZERO, rand::random());
    Refusal::new(kind, GRACE_RULE, message).with_retry_after(delay)
}
