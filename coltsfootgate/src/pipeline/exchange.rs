//! Runs one request through the stages of the pipeline, with as many attempts as it needs.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coltsfootgate_core::attempt::{
    AttemptFailure, AttemptHistory, FailureCause, FailureStage, RetryConditions,
};
use coltsfootgate_core::owner::ReleaseResult;
use coltsfootgate_core::prelude::ErrorKind;
use coltsfootgate_core::retry::RetryDecision;
use coltsfootgate_core::stream::{StreamOrigin, StreamPosition};
use futures_util::future::{Either, select};

use super::admit::{EndpointNeeds, admit_request, refusal};
use super::claim::{ClaimLease, ClaimResult, claim_request};
use super::classify::{AnswerForm, ClassifiedRequest, classify_request};
use super::context::PipelineContext;
use super::dispatch::{AttemptStart, dispatch_request};
use super::guard::ExchangeGuard;
use super::identify::{check_settings_age, identify_customer};
use super::journal::RequestJournal;
use super::lease::{AttemptMeasurements, GrantLease};
use super::limit::limit_request;
use super::quarantine::{check_quarantine, confirm_quarantine, observe_attempt};
use super::relay::{RelayEnd, RelayTask};
use super::reroute::reroute_request;
use super::resume::{endpoint_origin, find_origin, required_version};
use super::settle::{RequestEnd, settle_request};
use crate::dialect::{CallerDialect, Dialect, EndpointDialect};
use crate::endpoint::{EndpointAnswer, EndpointFailure};
use crate::entry::{AcceptedRequest, CallerLink, Refusal};

/// Minimum time without an answer before an attempt is abandoned for another one.
const ABANDON_DELAY_MIN: Duration = Duration::from_millis(400);

/// Processes one request until it has ended.
pub async fn run_exchange<D: Dialect>(
    context: Rc<PipelineContext>,
    accepted: AcceptedRequest,
    mut caller: CallerLink,
) {
    let mut journal = RequestJournal::from_accepted(&accepted, &context.own);
    let mut request = match prepare_request::<D::Callers>(&context, accepted, &mut journal) {
        Ok(request) => request,
        Err(refusal) => {
            let end = RequestEnd::Refused(refusal);
            return settle_request::<D::Callers>(&context, None, journal, caller, end).await;
        }
    };
    let guard = ExchangeGuard::new(&context, &request);
    let origin = guard.before_send(find_origin(&context, &mut request, &mut journal)).await;
    let end = match origin.flatten() {
        Ok(origin) => {
            serve_request::<D>(&context, &mut request, origin, &mut caller, &mut journal).await
        }
        Err(refusal) => Err(refusal),
    };
    let end = end.unwrap_or_else(RequestEnd::Refused);
    settle_request::<D::Callers>(&context, Some(&request), journal, caller, end).await;
}

/// Runs the stages that decide without waiting.
fn prepare_request<D: CallerDialect>(
    context: &PipelineContext,
    accepted: AcceptedRequest,
    journal: &mut RequestJournal,
) -> Result<ClassifiedRequest, Refusal> {
    let Some(active) = context.tree.current() else {
        let message = "the instance has no tree of settings in force yet";
        return Err(Refusal::new(ErrorKind::NotReady, "process.tree", message));
    };
    journal.record.config_version = active.version;
    let identified = identify_customer(Rc::new(accepted), active);
    if identified.accepted.metadata.bearer.is_some() {
        check_settings_age(context.tree.age(), context.config_age_max)?;
    }
    let request = classify_request::<D>(identified)?;
    journal.record_class(&request);
    Ok(request)
}

/// Runs the stages that wait and run once for each request.
async fn serve_request<D: Dialect>(
    context: &PipelineContext,
    request: &mut ClassifiedRequest,
    origin: Option<StreamOrigin>,
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> Result<RequestEnd, Refusal> {
    let guard = ExchangeGuard::new(context, request);
    let permit = guard.before_send(limit_request(context, request, caller)).await??;
    let end = match guard.before_send(claim_request(context, request, caller)).await?? {
        ClaimResult::NotNeeded => {
            run_routed::<D>(context, request, origin, None, caller, journal).await
        }
        ClaimResult::Granted(mut lease) => {
            let claim = Some(&mut lease);
            let end = run_routed::<D>(context, request, origin, claim, caller, journal).await;
            lease.settle(&end);
            end
        }
        ClaimResult::Replayed(end) => Ok(end),
    };
    drop(permit);
    end
}

/// Runs the attempts at the pool of a request, and at another one if newer settings drop that pool before anything
/// was sent.
async fn run_routed<D: Dialect>(
    context: &PipelineContext,
    request: &mut ClassifiedRequest,
    origin: Option<StreamOrigin>,
    mut claim: Option<&mut ClaimLease>,
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> Result<RequestEnd, Refusal> {
    context.budgets.record_request(&request.class);
    loop {
        let (origin, lease) = (origin.clone(), claim.as_deref_mut());
        let may_reroute = origin.is_none();
        let end = run_attempts::<D>(context, request, origin, lease, caller, journal).await;
        let refused = match &end {
            Err(refusal) if may_reroute && journal.record.attempts == 0 => refusal,
            _ => return end,
        };
        let Some(rerouted) = reroute_request::<D::Callers>(context, request, refused) else {
            return end;
        };
        journal.record_reroute(request, &rerouted);
        *request = rerouted;
    }
}

/// Runs the stages that wait and run once for each attempt.
async fn run_attempts<D: Dialect>(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    mut origin: Option<StreamOrigin>,
    mut claim: Option<&mut ClaimLease>,
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> Result<RequestEnd, Refusal> {
    let guard = ExchangeGuard::new(context, request);
    let mut needs = EndpointNeeds::default();
    let mut history = AttemptHistory::new(retry_conditions(request, claim.is_some()));
    let mut position = StreamPosition::Start;
    loop {
        let version = required_version(context, request, origin.as_ref());
        needs.version = version.map_err(|refusal| adjust_refusal(request, &history, refusal))?;
        let waiting_since = Instant::now();
        let admitting = admit_attempt(context, request, &needs, caller, journal);
        let admitted = guard.before_send(admitting).await;
        if admitted.is_err() {
            journal.record_wait(waiting_since.elapsed());
        }
        let lease = admitted.flatten();
        let lease = lease.map_err(|refusal| adjust_refusal(request, &history, refusal))?;
        let endpoint = lease.endpoint.id.clone();
        let attempted = endpoint_origin(request, &lease.endpoint);
        journal.record.endpoint_version = lease.endpoint.version.as_ref().map(ToString::to_string);
        if let Some(claim) = &mut claim {
            let begun = claim.begin_send(request);
            begun.map_err(|refusal| adjust_refusal(request, &history, refusal))?;
        }
        let permit = history.begin_attempt().map_err(|kind| failure_refusal(request, kind))?;
        journal.record.attempts = history.attempts();
        let offset = permit.resume_offset;
        let may_abandon = history.may_abandon();
        let resume = ResumePoint { offset, position: &mut position, may_abandon };
        let end = run_attempt::<D>(context, request, lease, resume, caller, journal).await;
        if caller.has_started() {
            origin.get_or_insert(attempted);
            history.record_relayed(journal.record.tokens - history.caller_tokens());
            history.record_position(&position);
        }
        let (failure, answer) = match end {
            RelayEnd::Served(answer) => return Ok(RequestEnd::Served(answer)),
            RelayEnd::CallerDisconnected => {
                return Err(failure_refusal(request, history.disconnect_error()));
            }
            RelayEnd::ErrorAnswer(answer) => {
                (EndpointFailure::FailedAnswer(answer.status()), Some(answer))
            }
            RelayEnd::Failed(failure) => (failure, None),
        };
        if failure == EndpointFailure::ConnectionLost {
            journal.record_lost(request, &endpoint);
        }
        let has_tokens = journal.record.tokens > 0;
        let failure = attempt_failure(failure, has_tokens);
        let (delay, reason) = match context.budgets.decide(&request.class, &mut history, failure) {
            RetryDecision::Retry { delay, reason } => (delay, reason),
            RetryDecision::Resume { delay, reason, .. } => (delay, reason),
            RetryDecision::End(kind) => {
                // The endpoint's own error answer tells the caller more than a generated refusal.
                let end = answer.map(RequestEnd::Served);
                return end.ok_or_else(|| failure_refusal(request, kind));
            }
        };
        context.metrics.retried(&request.class.id, reason);
        journal.record.retries.push(reason.name());
        needs.excluded.push(endpoint);
        let paused = guard.before_send(monoio::time::sleep(delay)).await;
        paused.map_err(|refusal| adjust_refusal(request, &history, refusal))?;
    }
}

/// Waits for the grant of an attempt, unless the request is blocked before or after.
async fn admit_attempt(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    needs: &EndpointNeeds,
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> Result<GrantLease, Refusal> {
    check_quarantine(context, request, journal)?;
    let _waiting = context.usage.record_waiting(&request.pool.id);
    let lease = admit_request(context, request, needs, caller, journal).await?;
    if let Err(refusal) = confirm_quarantine(context, request, journal).await {
        lease.release_unsent();
        return Err(refusal);
    }
    Ok(lease)
}

fn retry_conditions(request: &ClassifiedRequest, claimed: bool) -> RetryConditions {
    let can_resume = match request.form {
        AnswerForm::ModelStream => request.pool.resumes,
        AnswerForm::EventStream => true,
        AnswerForm::ModelBody | AnswerForm::Service => false,
    };
    RetryConditions {
        repeatable: request.repeatable,
        claimed,
        resumable: can_resume && request.class.resume,
        attempts_max: request.class.attempts,
        deadline: request.deadline,
    }
}

/// The point at which an attempt continues the answer of earlier attempts.
struct ResumePoint<'a> {
    /// Tokens that the caller already has.
    offset: u64,
    /// Where the caller is in a stream of events.
    position: &'a mut StreamPosition,
    /// Whether the attempt may be abandoned for another one.
    may_abandon: bool,
}

async fn run_attempt<D: Dialect>(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    lease: GrantLease,
    resume: ResumePoint<'_>,
    caller: &mut CallerLink,
    journal: &mut RequestJournal,
) -> RelayEnd {
    let attempt = D::Endpoints::attempt_id(request, journal.record.attempts);
    let _running = context.usage.record_running(&request.pool.id);
    let sent_at = Instant::now();
    let ResumePoint { offset, position, may_abandon } = resume;
    let resumed = position.clone();
    let mut task = RelayTask {
        context,
        request,
        lease: &lease,
        attempt: &attempt,
        sent_at,
        measurements: AttemptMeasurements::default(),
        has_begun: false,
        position: resumed.clone(),
    };
    let start = AttemptStart { id: &attempt, offset, last_event: resumed.last_event() };
    let sending = dispatch_request::<D::Endpoints>(context, request, &lease, start);
    let sending = await_head(context, request, may_abandon, sending);
    let running = async {
        let answer = match select(pin!(sending), pin!(caller.disconnected())).await {
            Either::Left((Ok(answer), _)) => answer,
            Either::Left((Err(failure), _)) => return RelayEnd::Failed(failure),
            Either::Right(_) => return RelayEnd::CallerDisconnected,
        };
        let relaying = task.relay::<D::Callers>(answer, caller, journal);
        let time_left = request.timeout_at.saturating_duration_since(Instant::now());
        let relayed = monoio::time::timeout(time_left, relaying).await;
        relayed.unwrap_or(RelayEnd::Failed(EndpointFailure::RequestTimeout))
    };
    let end = ExchangeGuard::new(context, request).after_send(running).await;
    let may_be_sent = lease.progress.may_be_sent();
    let end = end.unwrap_or(RelayEnd::Failed(EndpointFailure::ProcessEnding { may_be_sent }));
    if let RelayEnd::Served(_) = end {
        context.answer_times.borrow_mut().record(&request.class.id, sent_at.elapsed());
    }
    if may_have_begun(request, &end, may_be_sent) {
        task.record_begun();
    }
    let measurements = task.measurements;
    *position = task.position;
    journal.record.endpoint_limit = lease.limit();
    journal.record.via = lease.progress.via().map(|via| via.to_string());
    let (sent_to, first_token) = (&lease.endpoint, measurements.first_token);
    observe_attempt(context, request, sent_to, sent_at, first_token, &end);
    let between = measurements.between_tokens;
    journal.record.between_tokens_ms = between.map(|between| between.as_secs_f64() * 1000.0);
    let is_path_lost =
        context.endpoints.is_path_lost(&request.pool.id) && lease.progress.via().is_none();
    lease.release(release_result(&end, is_path_lost), measurements);
    end
}

/// Waits for the head of an answer, and abandons the attempt if none arrives in time and a retry is
/// allowed.
async fn await_head(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    may_abandon: bool,
    sending: impl Future<Output = Result<EndpointAnswer, EndpointFailure>>,
) -> Result<EndpointAnswer, EndpointFailure> {
    let mut sending = pin!(sending);
    if may_abandon {
        let abandon_delay = request.class.first_token.mul_f64(request.class.patience);
        let in_time =
            monoio::time::timeout(abandon_delay.max(ABANDON_DELAY_MIN), sending.as_mut()).await;
        if let Ok(answer) = in_time {
            return answer;
        }
        if context.budgets.has_retry(&request.class) {
            return Err(EndpointFailure::Abandoned);
        }
    }
    sending.await
}

/// Whether an endpoint began to run a request, as far as its end shows. A stream begins with its first token; any
/// other request that was sent and not refused is taken for begun, since endpoints seldom let requests wait.
fn may_have_begun(request: &ClassifiedRequest, end: &RelayEnd, may_be_sent: bool) -> bool {
    let is_stream = matches!(request.form, AnswerForm::ModelStream | AnswerForm::EventStream);
    let is_refused = matches!(
        end,
        RelayEnd::Failed(
            EndpointFailure::NeverSent
                | EndpointFailure::Resting
                | EndpointFailure::PathLost
                | EndpointFailure::RefusedBeforeStart
        )
    );
    !is_stream && may_be_sent && !is_refused
}

/// What the end of an attempt shows about its endpoint; nothing if this instance lost the path to all.
fn release_result(end: &RelayEnd, is_path_lost: bool) -> ReleaseResult {
    match end {
        RelayEnd::Failed(EndpointFailure::PathLost | EndpointFailure::Resting) => {
            ReleaseResult::NotSent
        }
        RelayEnd::Failed(_) if is_path_lost => ReleaseResult::Cancelled,
        RelayEnd::Served(answer) if answer.status().is_server_error() => ReleaseResult::Failed,
        RelayEnd::Served(_) => ReleaseResult::Completed,
        RelayEnd::ErrorAnswer(_) => ReleaseResult::Failed,
        RelayEnd::CallerDisconnected
        | RelayEnd::Failed(
            EndpointFailure::RequestTimeout | EndpointFailure::ProcessEnding { .. },
        ) => ReleaseResult::Cancelled,
        RelayEnd::Failed(EndpointFailure::NeverSent) => ReleaseResult::ConnectFailed,
        RelayEnd::Failed(EndpointFailure::RefusedBeforeStart) => ReleaseResult::Refused,
        RelayEnd::Failed(EndpointFailure::Stalled) => ReleaseResult::Silent,
        RelayEnd::Failed(EndpointFailure::ConnectionLost) => ReleaseResult::ConnectionLost,
        RelayEnd::Failed(
            EndpointFailure::FailedAnswer(_)
            | EndpointFailure::Abandoned
            | EndpointFailure::Mismatched,
        ) => ReleaseResult::Failed,
    }
}

/// Converts the failure of an endpoint into the failure of the request's attempt.
fn attempt_failure(failure: EndpointFailure, has_tokens: bool) -> AttemptFailure {
    let started = match has_tokens {
        true => FailureStage::PartialAnswer,
        false => FailureStage::SentNoAnswer,
    };
    let (stage, cause) = match failure {
        EndpointFailure::NeverSent | EndpointFailure::PathLost => {
            (FailureStage::NeverSent, FailureCause::Unreachable)
        }
        EndpointFailure::Resting => (FailureStage::NeverSent, FailureCause::Refused),
        EndpointFailure::RefusedBeforeStart => {
            (FailureStage::RefusedBeforeStart, FailureCause::Refused)
        }
        EndpointFailure::FailedAnswer(_) => (started, FailureCause::ErrorAnswer),
        EndpointFailure::ConnectionLost => (started, FailureCause::ConnectionLost),
        EndpointFailure::Stalled | EndpointFailure::Abandoned | EndpointFailure::RequestTimeout => {
            (started, FailureCause::Stalled)
        }
        EndpointFailure::Mismatched => (started, FailureCause::WrongId),
        EndpointFailure::ProcessEnding { may_be_sent: true } => {
            (started, FailureCause::ProcessEnding)
        }
        EndpointFailure::ProcessEnding { may_be_sent: false } => {
            (FailureStage::NeverSent, FailureCause::ProcessEnding)
        }
    };
    AttemptFailure { stage, cause }
}

/// Replaces a refusal whose outcome is "not run" if an earlier attempt may have run the request.
fn adjust_refusal(
    request: &ClassifiedRequest,
    history: &AttemptHistory,
    refused: Refusal,
) -> Refusal {
    let kind = history.refusal_error(refused.kind);
    if kind == refused.kind { refused } else { failure_refusal(request, kind) }
}

fn failure_refusal(request: &ClassifiedRequest, kind: ErrorKind) -> Refusal {
    let message = match kind {
        ErrorKind::AnswerCutShort => "the endpoint's answer broke off before its end",
        ErrorKind::CallerLeft => "the caller left before its answer was whole",
        ErrorKind::CallerLeftWaiting => "the caller left while its request was waiting",
        ErrorKind::EndpointRefused => "the endpoint refused the request before starting it",
        ErrorKind::EndpointFailed => "the endpoint answered with an error",
        ErrorKind::EndpointLost => "the connection to the endpoint broke after sending",
        ErrorKind::EndpointStalled => "the endpoint went silent after the request was sent",
        ErrorKind::AnswerMismatched => "the endpoint answered with the id of another request",
        ErrorKind::RetriesSpent => "the retries are used up, and no endpoint ran the request",
        ErrorKind::NoEndpoint => "no endpoint could be reached",
        ErrorKind::DeadlinePassed => "the deadline passed before another attempt",
        ErrorKind::InstanceLeaving => "the instance shut down before the request was sent",
        ErrorKind::InstanceStopped => "the instance shut down before the answer arrived",
        _ => "the request ended between two attempts",
    };
    refusal(request, kind, message)
}
