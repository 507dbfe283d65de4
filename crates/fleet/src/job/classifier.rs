//! Classification of jobs by declared work, relative to others of their kind.

use std::collections::BTreeMap;

use coltsfootshunt_core::name::Kind;
use derive_more::Display;

use super::Plan;

/// A job with at least this multiple of its kind's mean work is large. About one job in ten is large
/// if declared run times and task counts each vary by tens of per cent.
const LARGE_FACTOR: f64 = 2.0;
/// Weight of one job in the moving average of its kind's work.
const MEAN_WEIGHT: f64 = 0.02;

/// Size of a job relative to others of its kind.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Size {
    /// Less than twice the mean work of the kind.
    Usual,
    /// At least twice the mean work of the kind.
    Large,
}

/// Classifies jobs by a moving average of each kind's declared work.
#[derive(Debug, Default)]
pub struct Classifier {
    mean_work: BTreeMap<Kind, f64>,
}

impl Classifier {
    /// Returns the size of a new job and adds the job to the kind's average.
    pub fn classify(&mut self, kind: &Kind, plan: &Plan) -> Size {
        let work = plan.work();
        let mean_work = self.mean_work.entry(kind.clone()).or_insert(work);
        let size = if work >= *mean_work * LARGE_FACTOR { Size::Large } else { Size::Usual };
        *mean_work += (work - *mean_work) * MEAN_WEIGHT;
        size
    }
}
