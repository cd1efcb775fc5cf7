//! Answers to callers.

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

/// Time after which it makes sense to ask again for a job whose owner can't be reached.
const UNREACHABLE_RETRY: Millis = Millis::new(1_000);

/// Status and body of an answer to a caller, also as forwarded between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The state in the body.
    pub code: Code,
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body, an [`Answer`].
    pub body: Vec<u8>,
    /// With a refusal, when to come back.
    pub retry_at: Option<Timestamp>,
}

impl Reply {
    /// Makes the reply for the state of a job.
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

    /// Makes the reply for a job whose owner no longer exists.
    pub fn owner_gone(job: &id::Job) -> Self {
        Self::from_code(Code::OwnerGone, Some(job))
    }

    /// Makes the reply for a job whose owner can't be reached at the moment.
    pub fn owner_unreachable(job: &id::Job) -> Self {
        let reply = Self::from_code(Code::OwnerUnreachable, Some(job));
        Self { retry_at: Some(clock::now().plus(UNREACHABLE_RETRY)), ..reply }
    }

    /// Makes the reply to an invalid request.
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

    /// Makes the reply with only a code.
    pub fn from_code(code: Code, job: Option<&id::Job>) -> Self {
        Self::from_answer(&Answer { job: job.map(id::Job::to_string), ..Answer::new(code) })
    }

    /// Turns the reply into an HTTP response.
    pub fn into_response(self) -> Response<dropshot::Body> {
        let mut response = Response::new(self.body.into());
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
        if let Some(retry_at) = self.retry_at {
            // The header has whole seconds; the body has the exact time.
            let seconds = retry_at.since(clock::now()).get().div_ceil(1_000_000).max(1);
            headers.insert(RETRY_AFTER, seconds.into());
        }
        response
    }

    fn from_answer(answer: &Answer) -> Self {
        Self {
            code: answer.code,
            status: status(answer.code),
            body: json(answer),
            retry_at: answer.refusal.as_ref().map(|r| Timestamp::from_micros(r.retry_at_us)),
        }
    }

    fn from_outcome(job: Option<&id::Job>, outcome: &Outcome) -> Self {
        let mut answer = Answer { job: job.map(id::Job::to_string), ..Answer::new(code(outcome)) };
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

    /// Joins the answers of the targets, which are JSON already, without parsing them again.
    fn complete(head: &Answer, answers: &[outcome::Answer]) -> Self {
        let mut body = json(head);
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

const fn code(outcome: &Outcome) -> Code {
    match outcome {
        Outcome::Complete(_) => Code::Complete,
        Outcome::Failed(_) => Code::Failed,
        Outcome::Refused { .. } => Code::Refused,
        Outcome::Unknown(_) => Code::Unknown,
        Outcome::Expired { .. } => Code::Expired,
        Outcome::Cancelled { .. } => Code::Cancelled,
    }
}

fn status(code: Code) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn json(answer: &Answer) -> Vec<u8> {
    // An answer has only string keys and valid JSON values, so that this does not fail.
    serde_json::to_vec(answer).unwrap_or_default()
}

/// Reads the reply of the owner of a job to a question.
pub fn owner_reply(reply: &Reply) -> OwnerReply {
    match reply.code {
        Code::OwnerGone => return OwnerReply::Gone,
        Code::OwnerUnreachable | Code::Invalid => return OwnerReply::Unreachable,
        _ => {}
    }
    let Ok(answer) = serde_json::from_slice::<Answer>(&reply.body) else {
        return OwnerReply::Unreachable;
    };
    read_status(answer).map_or(OwnerReply::Unreachable, OwnerReply::Status)
}

/// Returns nothing for an answer that tells nothing about the job.
fn read_status(answer: Answer) -> Option<Status> {
    let outcome = match answer.code {
        Code::Accepted => return Some(Status::Accepted),
        Code::Running => return Some(Status::Running),
        // Only the present run of the owner answers like this, so that the job is lost.
        Code::NotFound | Code::OwnerGone => return Some(Status::NotFound),
        Code::OwnerUnreachable | Code::Invalid => return None,
        Code::Complete => {
            let answers = answer.answers?.into_iter();
            Outcome::Complete(answers.map(|raw| raw.get().as_bytes().into()).collect())
        }
        Code::Failed => Outcome::Failed(read_failure(answer.failure?)?),
        Code::Unknown => Outcome::Unknown(read_failure(answer.failure?)?),
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

fn read_failure(failure: caller::Failure) -> Option<Failure> {
    Some(Failure {
        task: failure.task,
        step: serde_json::from_value::<Step>(failure.step.into()).ok()?,
        target: failure.target.map(|target| target.parse()).transpose().ok()?,
        message: failure.message,
    })
}
