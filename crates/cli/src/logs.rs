//! Reads log records from the log files of hosts.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::Error;

/// Fields of one log record.
pub type Record = Map<String, Value>;

/// Reads the records of all files that match a filter, sorted by time. Text before the JSON of a
/// line is skipped, as are lines without JSON.
///
/// # Errors
/// If a file can't be read.
pub fn read<'a>(
    paths: impl Iterator<Item = &'a PathBuf>,
    filter: impl Fn(&Record) -> bool,
) -> Result<Vec<Record>, Error> {
    let mut records = Vec::new();
    for path in paths {
        records.extend(read_file(path, &filter)?);
    }
    records.sort_by(|one, other| text_field(one, "ts").cmp(text_field(other, "ts")));
    Ok(records)
}

fn read_file(path: &Path, filter: impl Fn(&Record) -> bool) -> Result<Vec<Record>, Error> {
    let read_error = |cause| Error::ReadFile { path: path.display().to_string(), cause };
    let file = std::fs::File::open(path).map_err(read_error)?;
    let mut records = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(read_error)?;
        let json = line.find('{').map(|start| &line[start..]);
        let parsed = json.and_then(|json| serde_json::from_str::<Record>(json).ok());
        records.extend(parsed.filter(&filter));
    }
    Ok(records)
}

/// Value of a text field. Empty if the record has no such field.
pub fn text_field<'a>(record: &'a Record, name: &str) -> &'a str {
    record.get(name).and_then(Value::as_str).unwrap_or_default()
}

/// Value of an integer field. 0 if the record has no such field.
pub fn number_field(record: &Record, name: &str) -> u64 {
    record.get(name).and_then(Value::as_u64).unwrap_or_default()
}
