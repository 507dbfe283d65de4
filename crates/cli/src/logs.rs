//! Lines that hosts wrote, from their log files.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::Problem;

/// One line.
pub type Line = Map<String, Value>;

/// The lines of all files that a test holds for, in order of time. What stands before the JSON of a
/// line is passed over, as is what is no JSON.
///
/// # Errors
/// A file can't be read.
pub fn read<'a>(
    paths: impl Iterator<Item = &'a PathBuf>,
    wanted: impl Fn(&Line) -> bool,
) -> Result<Vec<Line>, Problem> {
    let mut lines = Vec::new();
    for path in paths {
        lines.extend(read_one(path, &wanted)?);
    }
    lines.sort_by(|one, other| text(one, "ts").cmp(text(other, "ts")));
    Ok(lines)
}

fn read_one(path: &Path, wanted: impl Fn(&Line) -> bool) -> Result<Vec<Line>, Problem> {
    let unreadable = |cause| Problem::Unreadable { path: path.display().to_string(), cause };
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let mut found = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(unreadable)?;
        let json = line.find('{').map(|start| &line[start..]);
        let parsed = json.and_then(|json| serde_json::from_str::<Line>(json).ok());
        found.extend(parsed.filter(&wanted));
    }
    Ok(found)
}

/// A field's text; empty if it has none.
pub fn text<'a>(line: &'a Line, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// A field's whole number; 0 if it has none.
pub fn number(line: &Line, name: &str) -> u64 {
    line.get(name).and_then(Value::as_u64).unwrap_or_default()
}
