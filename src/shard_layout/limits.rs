//! Limits on the layouts that a member retains.

/// Limits on retained data. Exceeding a limit returns a typed error and never discards data silently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayoutLimits {
    /// The maximum number of versions. The default allows ten changes a day for a year.
    pub max_versions: usize,
    /// The maximum number of tiles in one version, including retired tiles with retained history. The
    /// default is ten times the largest planned layout.
    pub max_tiles: usize,
    /// The maximum number of edits in one change. With the default, an entry stays below 1 MiB, the size of
    /// a frame between members.
    pub max_edits: usize,
    /// The maximum number of servers of one tile.
    pub max_servers: usize,
}

impl LayoutLimits {
    /// Returns the maximum number of retention spans of one tile. Advancing the horizon removes old spans.
    pub(super) fn max_retentions(&self) -> usize {
        self.max_servers * 4
    }
}

impl Default for LayoutLimits {
    fn default() -> LayoutLimits {
        LayoutLimits { max_versions: 4096, max_tiles: 1 << 20, max_edits: 16_384, max_servers: 1024 }
    }
}
