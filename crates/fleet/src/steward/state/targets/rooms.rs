//! Free CPU of the targets that may get new tasks, in a form in which full ones are skipped.

/// Number of targets of which the largest free CPU is kept.
const BLOCK: usize = 64;

/// Free CPU by row. A row that may get no task counts as having none, not even for tasks without
/// CPU.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(in super::super) struct Rooms {
    /// Free thousandths of a core plus one, or 0.
    rows: Vec<u64>,
    /// Maximum of each block of rows.
    blocks: Vec<u64>,
}

impl Rooms {
    pub(super) fn new(free: impl Iterator<Item = Option<u64>>) -> Self {
        let rows: Vec<u64> = free.map(encode).collect();
        let blocks = rows.chunks(BLOCK).map(max).collect();
        Self { rows, blocks }
    }

    pub(super) fn set(&mut self, row: usize, free: Option<u64>) {
        let free = encode(free);
        if self.rows[row] != free {
            self.rows[row] = free;
            let block = row / BLOCK;
            let end = self.rows.len().min((block + 1) * BLOCK);
            self.blocks[block] = max(&self.rows[block * BLOCK..end]);
        }
    }

    /// Rows that may have this much free CPU, in ascending order.
    pub(in super::super) fn with(&self, cpu_millis: u64) -> impl Iterator<Item = usize> {
        let suffices = move |free: u64| free > cpu_millis || free == u64::MAX;
        let blocks = self.blocks.iter().enumerate().filter(move |(_, free)| suffices(**free));
        let rows = blocks.flat_map(|(block, _)| {
            let start = block * BLOCK;
            (start..self.rows.len().min(start + BLOCK)).map(|row| (row, self.rows[row]))
        });
        rows.filter(move |(_, free)| suffices(*free)).map(|(row, _)| row)
    }
}

fn encode(free: Option<u64>) -> u64 {
    free.map_or(0, |free| free.saturating_add(1))
}

fn max(rows: &[u64]) -> u64 {
    rows.iter().copied().max().unwrap_or_default()
}
