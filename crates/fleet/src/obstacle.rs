//! Reasons why a target takes no new run.

use std::fmt;

/// Why a target takes no new run, or not the one in question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// It belongs to another service.
    OtherService,
    /// The ownership isn't in force, or is being handed over.
    NotHeld,
    /// The capacity of its present incarnation isn't known.
    UnknownCapacity,
    /// It drains.
    Leaving,
    /// It has left its last hold unanswered.
    Silent,
    /// A run on it wasn't stopped in time, so that its lease isn't renewed.
    OverdueStop,
    /// It is kept free for a run that must be alone, or has one.
    Isolating,
    /// It fails more often than others.
    Ejected,
    /// It fails more often than others, and a trial run is on it.
    OnTrial,
    /// Its data centre is evacuated, or it isn't known yet which ones are.
    Evacuated,
    /// Its free capacity is too small.
    Full,
    /// No recent answer confirms the ownership.
    Unconfirmed,
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherService => "other_service",
            Self::NotHeld => "not_held",
            Self::UnknownCapacity => "unknown_capacity",
            Self::Leaving => "leaving",
            Self::Silent => "silent",
            Self::OverdueStop => "overdue_stop",
            Self::Isolating => "isolating",
            Self::Ejected => "ejected",
            Self::OnTrial => "on_trial",
            Self::Evacuated => "evacuated",
            Self::Full => "full",
            Self::Unconfirmed => "unconfirmed",
        })
    }
}
