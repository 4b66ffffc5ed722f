//! Records the demand on one coordinator, in bounded tables for the open window. Each window that has ended
//! yields a report.
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use super::report::{ClassCounts, Report, Row, SetKey, MAX_CLASSES, MAX_SERVERS, MAX_TILES_IN_SET};
use super::sketch::{DistinctCounter, HeavyHitters};
use crate::balancer::interface::ReplicaId;
use crate::cluster::MemberId;

/// Bounds on the tables of one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandLimits {
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
    /// The most pairs of class and district that are counted. Queries for any other pair are only counted in
    /// their class.
    pub rows: usize,
    /// The most districts whose distinct clients are counted. Each of them takes 256 bytes.
    pub clients: usize,
    /// The number of pairs of class and tile that [`HeavyHitters`] tracks.
    pub tiles: usize,
    /// The number of sets of tiles that [`HeavyHitters`] tracks.
    pub sets: usize,
    /// The most reports that wait to be fetched. When there are more, the oldest is dropped.
    pub reports: usize,
}

impl Default for DemandLimits {
    fn default() -> Self {
        DemandLimits { window_ms: 60_000, rows: 1024, clients: 256, tiles: 4096, sets: 512, reports: 16 }
    }
}

/// The tiles that a query requests.
#[derive(Clone, Copy, Debug)]
pub enum RequestedTiles<'a> {
    /// All tiles that its district has when the query is executed.
    WholeDistrict,
    /// These tiles, in any order. Duplicates count once.
    Tiles(&'a [u32]),
}

/// The properties of a query that are recorded when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct QueryArrival<'a> {
    pub class: u16,
    pub district: u32,
    pub requested: RequestedTiles<'a>,
    /// A number that identifies the client, if the route provides one.
    pub client: Option<u64>,
    /// The length of the query, in bytes.
    pub bytes: u64,
    /// Whether the query has arrived before, because the client repeats it or because it was taken over from
    /// another coordinator. It is then counted as a repeat only, as it was counted as a query when it first
    /// arrived.
    pub is_repeat: bool,
}

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    First,
    Retry,
    Hedge,
}

struct OpenWindow {
    window: u64,
    events: u64,
    classes: BTreeMap<u16, ClassCounts>,
    rows: BTreeMap<(u16, u32), Row>,
    clients: BTreeMap<u32, DistinctCounter>,
    tiles: HeavyHitters<(u16, u32)>,
    sets: HeavyHitters<SetKey>,
    servers: BTreeMap<u64, u64>,
}

impl OpenWindow {
    fn new(window: u64, limits: &DemandLimits) -> OpenWindow {
        OpenWindow {
            window,
            events: 0,
            classes: BTreeMap::new(),
            rows: BTreeMap::new(),
            clients: BTreeMap::new(),
            tiles: HeavyHitters::new(limits.tiles),
            sets: HeavyHitters::new(limits.sets),
            servers: BTreeMap::new(),
        }
    }

    /// Counts an event, and returns the counts of its class, or `None` if the table of classes is full.
    fn count_event(&mut self, class: u16) -> Option<&mut ClassCounts> {
        self.events += 1;
        try_entry(&mut self.classes, class, MAX_CLASSES)
    }
}

/// Returns the entry of a bounded table. Creates the entry if the table has fewer than `capacity`; returns
/// `None` if the key is missing and the table is full.
fn try_entry<K: Ord, V: Default>(map: &mut BTreeMap<K, V>, key: K, capacity: usize) -> Option<&mut V> {
    if map.len() >= capacity && !map.contains_key(&key) {
        return None;
    }
    Some(map.entry(key).or_default())
}

/// Records the demand on one coordinator. Times are cluster time in Unix milliseconds. An event whose time is
/// before the open window is counted in the open window, so that no window is opened twice.
pub struct DemandRecorder {
    member: MemberId,
    limits: DemandLimits,
    open: Option<OpenWindow>,
    finished: VecDeque<Report>,
    /// The number of reports that were dropped because they were not fetched in time.
    pub dropped_reports: u64,
}

impl DemandRecorder {
    /// Creates a recorder for a member. Windows last at least 1 ms, and at least one report is kept, even if
    /// the limits are lower.
    pub fn new(member: MemberId, limits: DemandLimits) -> DemandRecorder {
        let limits =
            DemandLimits { window_ms: limits.window_ms.max(1), reports: limits.reports.max(1), ..limits };
        DemandRecorder { member, limits, open: None, finished: VecDeque::new(), dropped_reports: 0 }
    }

    /// Records the arrival of a query.
    pub fn record_query(&mut self, now_ms: u64, query: &QueryArrival<'_>) {
        let limits = self.limits.clone();
        let open = self.window_at(now_ms);
        let Some(class) = open.count_event(query.class) else { return };
        if query.is_repeat {
            class.repeats += 1;
            return;
        }
        class.queries += 1;
        class.bytes_in = class.bytes_in.saturating_add(query.bytes);
        if let Some(client) = query.client {
            if let Some(counter) = try_entry(&mut open.clients, query.district, limits.clients) {
                counter.add(client);
            }
        }
        let Some(row) = try_entry(&mut open.rows, (query.class, query.district), limits.rows) else { return };
        row.queries += 1;
        row.bytes = row.bytes.saturating_add(query.bytes);
        let RequestedTiles::Tiles(tiles) = query.requested else {
            row.whole_district += 1;
            return;
        };
        let mut set = tiles.to_vec();
        set.sort_unstable();
        set.dedup();
        row.parts += set.len() as u64;
        set.iter().for_each(|t| open.tiles.add((query.class, *t)));
        if (1..=MAX_TILES_IN_SET).contains(&set.len()) {
            open.sets.add(SetKey { class: query.class, district: query.district, tiles: Rc::from(set) });
        }
    }

    /// Records that an attempt of a part was sent.
    pub fn record_attempt(&mut self, now_ms: u64, class: u16, server: ReplicaId, kind: AttemptKind) {
        let open = self.window_at(now_ms);
        if let Some(n) = try_entry(&mut open.servers, server.0, MAX_SERVERS) {
            *n += 1;
        }
        let Some(class) = open.count_event(class) else { return };
        match kind {
            AttemptKind::First => class.first_attempts += 1,
            AttemptKind::Retry => class.retries += 1,
            AttemptKind::Hedge => class.hedges += 1,
        }
    }

    /// Records that a part was served, `took_us` microseconds after it was sent. `work_us` is the time that
    /// the server worked on it, in microseconds, if the server reports that.
    pub fn record_part(&mut self, now_ms: u64, class: u16, took_us: u64, work_us: Option<u64>) {
        let Some(class) = self.window_at(now_ms).count_event(class) else { return };
        class.part_latency.add(took_us, 1);
        if let Some(us) = work_us {
            class.parts_with_work += 1;
            class.work_us = class.work_us.saturating_add(us);
        }
    }

    /// Records that a query was answered, `took_us` microseconds after it was first sent. `bytes` is the
    /// length of the answer.
    pub fn record_answer(&mut self, now_ms: u64, class: u16, took_us: u64, bytes: u64) {
        let Some(class) = self.window_at(now_ms).count_event(class) else { return };
        class.query_latency.add(took_us, 1);
        class.bytes_out = class.bytes_out.saturating_add(bytes);
    }

    /// Returns the reports of the windows that have ended. Must be called at least once per window. A window
    /// in which there was neither a call nor an event gets no report, and counts as missing.
    pub fn take_reports(&mut self, now_ms: u64) -> Vec<Report> {
        self.window_at(now_ms);
        self.finished.drain(..).collect()
    }

    /// Returns the open window. First closes it and opens the one at `now_ms` if it has ended by then.
    fn window_at(&mut self, now_ms: u64) -> &mut OpenWindow {
        let window = now_ms / self.limits.window_ms;
        if self.open.as_ref().is_some_and(|o| o.window < window) {
            self.close_window();
        }
        let limits = &self.limits;
        self.open.get_or_insert_with(|| OpenWindow::new(window, limits))
    }

    fn close_window(&mut self) {
        let Some(open) = self.open.take() else { return };
        if self.finished.len() >= self.limits.reports {
            self.finished.pop_front();
            self.dropped_reports += 1;
        }
        self.finished.push_back(Report {
            member: self.member.clone(),
            window: open.window,
            window_ms: self.limits.window_ms,
            events: open.events,
            classes: open.classes,
            rows: open.rows,
            clients: open.clients,
            untracked_tile_bound: open.tiles.untracked_bound(),
            tiles: open.tiles.iter().map(|(k, n, e)| (*k, (n, e))).collect(),
            untracked_set_bound: open.sets.untracked_bound(),
            sets: open.sets.iter().map(|(k, n, e)| (k.clone(), (n, e))).collect(),
            servers: open.servers,
        });
    }
}
