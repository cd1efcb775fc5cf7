//! Replies to callers, and the owner's replies that instances forward to each other.

use crate::check::Invalid;
use crate::clock;
use crate::meter;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};
use verbenapass::engine::OwnerReply;
use verbenapass::id;
use verbenapass::job::Status;
use verbenapass::outcome::{self, Failure, Outcome, Refusal, Step};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;
use verbenapass_proto::caller::{self, Answer, Code};

/// Delay after which a caller may query again a job whose owner is unreachable.
const UNREACHABLE_RETRY_DELAY: Millis = Millis::new(1_000);

/// HTTP status and body of a reply to a caller. Peers forward it unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The code in the body.
    pub code: Code,
    /// HTTP status, which follows from the code except for an invalid request.
    pub status: StatusCode,
    /// Body: an [`Answer`] in JSON.
    pub body: Vec<u8>,
    /// When the caller may retry; only with a refusal or an unreachable owner.
    pub retry_at: Option<Timestamp>,
}

impl Reply {
    /// Creates the reply for the state of a job. `job` is `None` if the request belongs to no
    /// job.
    pub fn new(job: Option<&id::Job>, status: &Status) -> Self {
        match status {
            Status::Accepted => Self::from_code(Code::Accepted, job),
            Status::Running => Self::from_code(Code::Running, job),
            Status::NotFound => Self::from_code(Code::NotFound, job),
            Status::Final(outcome) => Self::from_outcome(job, outcome),
            Status::Invalid(invalid) => {
                Self::invalid(&Invalid::new(invalid.code(), invalid.to_string()))
            }
        }
    }

    /// Creates the reply for a job whose owner no longer exists, so that its outcome is lost.
    pub fn owner_gone(job: &id::Job) -> Self {
        Self::from_code(Code::OwnerGone, Some(job))
    }

    /// Creates the reply for a job whose owner cannot be reached at present, with a time to retry.
    pub fn owner_unreachable(job: &id::Job) -> Self {
        let reply = Self::from_code(Code::OwnerUnreachable, Some(job));
        Self { retry_at: Some(clock::now().plus(UNREACHABLE_RETRY_DELAY)), ..reply }
    }

    /// Creates the reply to an invalid request, and counts it in the metrics.
    pub fn invalid(invalid: &Invalid) -> Self {
        meter::rejected(invalid.reason);
        let body = Answer {
            invalid: Some(caller::Invalid {
                reason: invalid.reason.into(),
                message: invalid.message.clone(),
            }),
            ..Answer::new(Code::Invalid)
        };
        Self { status: invalid.status, ..Self::from_answer(&body) }
    }

    /// Creates a reply that contains only the code and the id of the job.
    pub fn from_code(code: Code, job: Option<&id::Job>) -> Self {
        Self::from_answer(&Answer { job: job.map(id::Job::to_string), ..Answer::new(code) })
    }

    /// Converts the reply to an HTTP response, with a `Retry-After` header if `retry_at` is set.
    pub fn into_response(self) -> Response<dropshot::Body> {
        let mut response = Response::new(self.body.into());
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
        if let Some(retry_at) = self.retry_at {
            // The header has whole seconds; the body of a refusal has the exact time.
            let seconds = retry_at.since(clock::now()).get().div_ceil(1_000_000).max(1);
            headers.insert(RETRY_AFTER, seconds.into());
        }
        response
    }

    fn from_answer(answer: &Answer) -> Self {
        Self {
            code: answer.code,
            status: http_status(answer.code),
            body: to_json(answer),
            retry_at: answer.refusal.as_ref().map(|r| Timestamp::from_micros(r.retry_at_us)),
        }
    }

    fn from_outcome(job: Option<&id::Job>, outcome: &Outcome) -> Self {
        let mut answer =
            Answer { job: job.map(id::Job::to_string), ..Answer::new(outcome_code(outcome)) };
        match outcome {
            Outcome::Complete(answers) => return Self::complete(&answer, answers),
            Outcome::Failed(failure) | Outcome::Unknown(failure) => {
                answer.failure = Some(caller::Failure {
                    task: failure.task,
                    step: failure.step.code().into(),
                    target: failure.target.as_ref().map(id::Target::to_string),
                    message: failure.message.clone(),
                });
            }
            Outcome::Refused { reason, retry_at } => {
                answer.refusal = Some(caller::Refusal {
                    reason: reason.code().into(),
                    retry_at_us: retry_at.as_micros(),
                });
            }
            Outcome::Expired { started } | Outcome::Cancelled { started } => {
                answer.started = Some(*started);
            }
        }
        Self::from_answer(&answer)
    }

    /// Appends the answers of the targets to the body. They are JSON already and are not parsed again.
    fn complete(head: &Answer, answers: &[outcome::Answer]) -> Self {
        let mut body = to_json(head);
        let size: usize = answers.iter().map(|answer| answer.len() + 1).sum();
        body.reserve(size + 16);
        body.pop();
        body.extend_from_slice(b",\"answers\":[");
        for (index, answer) in answers.iter().enumerate() {
            if index > 0 {
                body.push(b',');
            }
            body.extend_from_slice(answer);
        }
        body.extend_from_slice(b"]}");
        Self { code: Code::Complete, status: StatusCode::OK, body, retry_at: None }
    }
}

const fn outcome_code(outcome: &Outcome) -> Code {
    match outcome {
        Outcome::Complete(_) => Code::Complete,
        Outcome::Failed(_) => Code::Failed,
        Outcome::Refused { .. } => Code::Refused,
        Outcome::Unknown(_) => Code::Unknown,
        Outcome::Expired { .. } => Code::Expired,
        Outcome::Cancelled { .. } => Code::Cancelled,
    }
}

fn http_status(code: Code) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn to_json(answer: &Answer) -> Vec<u8> {
    // Does not fail: all keys of an answer are strings and all values are valid JSON.
    serde_json::to_vec(answer).unwrap_or_default()
}

/// Converts the reply of a job's owner to the form that the engine takes. A reply that cannot be
/// parsed counts as an unreachable owner.
pub fn owner_reply(reply: &Reply) -> OwnerReply {
    match reply.code {
        Code::OwnerGone => return OwnerReply::Gone,
        Code::OwnerUnreachable | Code::Invalid => return OwnerReply::Unreachable,
        _ => {}
    }
    let Ok(answer) = serde_json::from_slice::<Answer>(&reply.body) else {
        return OwnerReply::Unreachable;
    };
    parse_status(answer).map_or(OwnerReply::Unreachable, OwnerReply::Status)
}

/// Returns the state of the job, or `None` if the answer contains none.
fn parse_status(answer: Answer) -> Option<Status> {
    let outcome = match answer.code {
        Code::Accepted => return Some(Status::Accepted),
        Code::Running => return Some(Status::Running),
        // Only the owner itself replies that it does not know a job, so the job is lost.
        // [`owner_reply`] has handled `OwnerGone` before.
        Code::NotFound | Code::OwnerGone => return Some(Status::NotFound),
        Code::OwnerUnreachable | Code::Invalid => return None,
        Code::Complete => {
            let answers = answer.answers?.into_iter();
            Outcome::Complete(answers.map(|raw| raw.get().as_bytes().into()).collect())
        }
        Code::Failed => Outcome::Failed(parse_failure(answer.failure?)?),
        Code::Unknown => Outcome::Unknown(parse_failure(answer.failure?)?),
        Code::Refused => {
            let refusal = answer.refusal?;
            let reason = serde_json::from_value::<Refusal>(refusal.reason.into()).ok()?;
            Outcome::Refused { reason, retry_at: Timestamp::from_micros(refusal.retry_at_us) }
        }
        Code::Expired => Outcome::Expired { started: answer.started? },
        Code::Cancelled => Outcome::Cancelled { started: answer.started? },
    };
    Some(Status::Final(outcome.into()))
}

fn parse_failure(failure: caller::Failure) -> Option<Failure> {
    Some(Failure {
        task: failure.task,
        step: serde_json::from_value::<Step>(failure.step.into()).ok()?,
        target: failure.target.map(|target| target.parse()).transpose().ok()?,
        message: failure.message,
    })
}
