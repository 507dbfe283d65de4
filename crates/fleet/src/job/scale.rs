//! How large jobs are among those of their kind, by what callers declare.

use std::collections::BTreeMap;

use coltsfootshunt_core::name::Kind;
use derive_more::Display;

use super::Plan;

/// Multiple of the kind's usual work from which a job is large: about one in ten, where declared run
/// times and widths each spread by tens of per cent.
const LARGE: f64 = 2.0;
/// Weight of one job in its kind's usual work.
const WEIGHT: f64 = 0.02;

/// Size of a job among those of its kind.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Size {
    /// Not large.
    Usual,
    /// At least twice the kind's usual work.
    Large,
}

/// Usual work of each kind.
#[derive(Debug, Default)]
pub struct Classifier {
    usual: BTreeMap<Kind, f64>,
}

impl Classifier {
    /// Size of a job that comes now.
    pub fn classify(&mut self, kind: &Kind, plan: &Plan) -> Size {
        let work = plan.work();
        let usual = self.usual.entry(kind.clone()).or_insert(work);
        let size = if work >= *usual * LARGE { Size::Large } else { Size::Usual };
        *usual += (work - *usual) * WEIGHT;
        size
    }
}
