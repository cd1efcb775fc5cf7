//! Texts of `verbenapass-ctl explain`: the meaning of every code and reason, and what to do about it.

use serde::Serialize;
use std::fmt;

/// Field of the protocol in which a code appears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// The `code` of an answer about a job.
    Answer,
    /// The `reason` of a refusal.
    Refusal,
    /// The `reason` of an invalid request.
    Invalid,
    /// The `status` of a change of settings.
    Change,
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answer => "answer code",
            Self::Refusal => "refusal reason",
            Self::Invalid => "reason of an invalid request",
            Self::Change => "status of a change",
        })
    }
}

/// Explanation of one code in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Topic {
    /// Code or reason as written in answers.
    pub code: &'static str,
    /// Field in which the code appears with this meaning.
    pub group: Group,
    /// What the code says about the job, the request or the change.
    pub meaning: &'static str,
    /// What the caller or the operator should do.
    pub action: &'static str,
}

/// Returns the explanations of a code, one for each group that has it; none for an unknown code.
pub fn find(code: &str) -> Vec<&'static Topic> {
    TOPICS.iter().filter(|topic| topic.code == code).collect()
}

const fn topic(
    group: Group,
    code: &'static str,
    meaning: &'static str,
    action: &'static str,
) -> Topic {
    Topic { code, group, meaning, action }
}

/// Explanations of all codes, in the order in which `explain` prints them.
pub const TOPICS: &[Topic] = &[
    topic(
        Group::Answer,
        "accepted",
        "The job is accepted and has no final answer yet (status 202).",
        "Get the job by its id later.",
    ),
    topic(
        Group::Answer,
        "running",
        "The job has no final answer yet (status 202).",
        "Get the job again later.",
    ),
    topic(
        Group::Answer,
        "complete",
        "Every task answered; the answer is complete (status 200).",
        "Nothing.",
    ),
    topic(
        Group::Answer,
        "failed",
        "A task failed. The answer names task, step and target (status 502).",
        "Look at the failure. If the job fails on every target, correct the job.",
    ),
    topic(
        Group::Answer,
        "refused",
        "No task of the job ran or will run (status 503).",
        "Submit it again at the time in retry_at_us. See the reason.",
    ),
    topic(
        Group::Answer,
        "unknown",
        "A task may have run; no task will be run again (status 504).",
        "Submit an idempotent job again. For other kinds, check in the service whether the task ran.",
    ),
    topic(
        Group::Answer,
        "expired",
        "The deadline passed (status 408). The field started tells whether a task may have run.",
        "Set a later deadline, or look for overload. With started false it is safe to submit again.",
    ),
    topic(
        Group::Answer,
        "cancelled",
        "The caller cancelled the job (status 410). The field started tells whether a task may have \
         run.",
        "Nothing.",
    ),
    topic(
        Group::Answer,
        "not_found",
        "There is no such job, or it belongs to another team (status 404).",
        "Check the id. Results are kept for result_retention_ms of the fleet's settings.",
    ),
    topic(
        Group::Answer,
        "owner_gone",
        "The instance that owned the job is gone; the job may have run (status 404).",
        "As for unknown.",
    ),
    topic(
        Group::Answer,
        "owner_unreachable",
        "The instance that owns the job is on the list but does not answer.",
        "Ask again. If it lasts, look at the connections between the entry instances.",
    ),
    topic(
        Group::Answer,
        "invalid",
        "The request is malformed or not allowed (status 4xx).",
        "Correct the request. See the reason.",
    ),
    topic(
        Group::Refusal,
        "stopping",
        "The instance is stopping.",
        "Submit again; the load balancer routes the request to another instance. If it lasts, look \
         at the readiness checks of the load balancer.",
    ),
    topic(
        Group::Refusal,
        "no_settings",
        "The instance has just started and has no settings yet from the platform or a peer.",
        "Look at the platform and at the peer connections of the instance.",
    ),
    topic(
        Group::Refusal,
        "queue_full",
        "The queue limit of the team or of the instance is reached.",
        "Submit again later. If it lasts, raise max_queued_tasks or max_queued_bytes, or add \
         targets.",
    ),
    topic(
        Group::Refusal,
        "overloaded",
        "Given the measured run times, the job can't meet its deadline at the current load.",
        "Submit again later or with a later deadline. If it lasts, add targets.",
    ),
    topic(
        Group::Refusal,
        "platform_unavailable",
        "The kind is not idempotent and its claim can't be stored because the platform can't be \
         reached.",
        "Restore the platform. Idempotent kinds are not affected.",
    ),
    topic(
        Group::Refusal,
        "no_targets",
        "No target of the service is usable.",
        "Look at the instance list and at the targets: all are leaving, suspect or gone.",
    ),
    topic(
        Group::Refusal,
        "evacuated",
        "Only targets of evacuated data centres could run a task of the job.",
        "Remove a data centre from evacuated_data_centres of the fleet, or add targets of the \
         service to another one.",
    ),
    topic(
        Group::Refusal,
        "attempts_exhausted",
        "Every start provably did not run, and no further attempt is allowed.",
        "Submit again later. If it lasts, look for targets that refuse connections or are busy.",
    ),
    topic(
        Group::Invalid,
        "missing_credential",
        "The request has no credential (status 401).",
        "Send the team's credential as a bearer token.",
    ),
    topic(
        Group::Invalid,
        "unknown_credential",
        "The credential belongs to no team (status 401).",
        "Compare its SHA-256 with credential_sha256 of the team.",
    ),
    topic(
        Group::Invalid,
        "malformed_body",
        "The body is not the JSON of the protocol.",
        "Correct the field that the message names.",
    ),
    topic(Group::Invalid, "oversized_body", "The body is longer than allowed.", "Split the job."),
    topic(
        Group::Invalid,
        "invalid_id",
        "A field is not a valid identifier.",
        "Use 1 to 96 letters, digits, '-', '_' and '.'.",
    ),
    topic(Group::Invalid, "no_tasks", "The job has no tasks.", "Send at least one."),
    topic(
        Group::Invalid,
        "too_many_tasks",
        "The job has more tasks than the instance accepts.",
        "Split the job.",
    ),
    topic(
        Group::Invalid,
        "task_count",
        "The job has no tasks or more than allowed.",
        "Split the job or raise max_job_tasks of the team.",
    ),
    topic(
        Group::Invalid,
        "two_deadlines",
        "The job has both deadline_us and timeout_ms.",
        "Send one of them.",
    ),
    topic(
        Group::Invalid,
        "no_deadline",
        "The job has neither deadline_us nor timeout_ms.",
        "Send one of them.",
    ),
    topic(
        Group::Invalid,
        "deadline_past",
        "The deadline lies in the past.",
        "Send a later one and look at the clock of the caller.",
    ),
    topic(
        Group::Invalid,
        "deadline_too_far",
        "The deadline lies too far ahead.",
        "Send an earlier one.",
    ),
    topic(
        Group::Invalid,
        "unknown_team",
        "The settings have no such team.",
        "Create the settings subtree of the team.",
    ),
    topic(
        Group::Invalid,
        "unknown_kind",
        "The team's settings have no such kind.",
        "Correct the kind or add it under kinds.",
    ),
    topic(
        Group::Invalid,
        "missing_request_id",
        "A kind that is not idempotent needs a request id.",
        "Send request_id, the same at every resubmission.",
    ),
    topic(
        Group::Invalid,
        "request_missing",
        "A kind that is not idempotent needs a request id.",
        "Send request_id, the same at every resubmission.",
    ),
    topic(
        Group::Invalid,
        "request_reused",
        "The request id belongs to another job of the team.",
        "Use a new request id for each job.",
    ),
    topic(
        Group::Change,
        "accepted",
        "The change is in force in every data centre (status 200).",
        "Nothing.",
    ),
    topic(
        Group::Change,
        "pending",
        "The change is stored and never withdrawn; some data centres have not confirmed (status \
         202).",
        "Ask again with settings status. If it lasts, the named data centres are cut off or have no \
         live instance. Remove a data centre that was given up from data_centres of the fleet.",
    ),
    topic(
        Group::Change,
        "conflict",
        "Another change won; this one has no effect (status 409).",
        "Read the current value and decide again.",
    ),
    topic(
        Group::Change,
        "refused",
        "The value is not allowed or the credential gives no access (status 400 or 403).",
        "Correct the value that the error names.",
    ),
    topic(
        Group::Change,
        "not_found",
        "No change with this id is in the history of the subtree, which keeps the last 32 (status \
         404).",
        "Read the history. If the change should be there, ask another instance.",
    ),
    topic(
        Group::Change,
        "unsettled",
        "The platform can't be reached; it is unknown whether the change took effect (status 503).",
        "Repeat the command with the same change id and the same expected version.",
    ),
];
